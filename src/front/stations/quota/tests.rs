use super::*;

#[test]
fn burst_passes_then_rate_limits_and_returned_wait_suffices() {
    let mut bucket = Bucket::new(0, 10.0, 3.0);
    let (mut now, mut taken) = (0, 0);
    while now < 1_000_000 {
        let wait = bucket.wait_us(now);
        if wait == 0 {
            bucket.take();
            taken += 1;
        } else {
            assert!(bucket.wait_us(now + wait) == 0 && wait <= 100_000);
            now += wait;
        }
    }
    assert!((12..=13).contains(&taken), "{taken}");
    let mut unlimited = Bucket::new(0, 0.0, 0.0);
    assert!((0..1_000).all(|_| unlimited.wait_us(0) == 0));
}
