use super::*;

#[test]
fn samples_fade_by_half_in_the_time_told() {
    let mut e = Evidence::default();
    e.add(0, 100.0, 4.0);
    assert_eq!(e.samples(100, 100.0), 0.5);
    assert_eq!(e.mean(100, 100.0, 1.0, 0.5), 2.5, "as much is expected as is left");
    assert_eq!(Evidence::default().mean(5, 100.0, 7.0, 1.0), 7.0, "nothing seen: what is expected");
}

#[test]
fn only_the_last_few_count() {
    let mut e = Evidence::default();
    (0..100).for_each(|_| e.learn(0, 100.0, 1.0, 10.0));
    assert!(e.samples(0, 100.0) <= 10.0);
    (0..20).for_each(|_| e.learn(0, 100.0, 5.0, 10.0));
    assert!(e.mean(0, 100.0, 1.0, 0.0) > 4.0, "it turns within a few samples");
}

#[test]
fn an_even_stream_has_its_rate() {
    let mut e = Evidence::default();
    (0..2_000).for_each(|n| e.add(n * 10, 100.0, 1.0));
    let rate = e.rate(20_000, 100.0);
    assert!((rate - 0.1).abs() < 0.01, "{rate}");
}
