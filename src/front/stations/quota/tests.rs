use super::*;

#[test]
fn a_burst_passes_then_the_rate_and_the_wait_told_is_enough() {
    let mut bucket = Bucket::new(0, 10.0, 3.0);
    let (mut now, mut taken) = (0, 0);
    while now < 1_000_000 {
        let wait = bucket.wait(now);
        if wait == 0 {
            bucket.take();
            taken += 1;
        } else {
            assert!(bucket.wait(now + wait) == 0 && wait <= 100_000);
            now += wait;
        }
    }
    assert!((12..=13).contains(&taken), "{taken}");
    let mut free = Bucket::new(0, 0.0, 0.0);
    assert!((0..1_000).all(|_| free.wait(0) == 0));
}
