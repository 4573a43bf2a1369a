use super::*;

#[test]
fn samples_decay_by_half_in_a_half_life() {
    let mut evidence = DecayingMean::default();
    evidence.add(0, 100.0, 4.0);
    assert_eq!(evidence.samples(100, 100.0), 0.5);
    assert_eq!(
        evidence.mean_with_prior(100, 100.0, 1.0, 0.5),
        2.5,
        "prior and remaining samples have the same weight"
    );
    assert_eq!(
        DecayingMean::default().mean_with_prior(5, 100.0, 7.0, 1.0),
        7.0,
        "without samples the mean is the prior"
    );
}

#[test]
fn learned_mean_follows_a_change_within_the_sample_limit() {
    let mut evidence = DecayingMean::default();
    (0..100).for_each(|_| evidence.add_limited(0, 100.0, 1.0, 10.0));
    assert!(evidence.samples(0, 100.0) <= 10.0);
    (0..20).for_each(|_| evidence.add_limited(0, 100.0, 5.0, 10.0));
    assert!(evidence.mean_with_prior(0, 100.0, 1.0, 0.0) > 4.0, "20 new samples must outweigh 100 old ones");
}

#[test]
fn rate_of_an_even_stream_is_its_frequency() {
    let mut evidence = DecayingMean::default();
    (0..2_000).for_each(|n| evidence.add(n * 10, 100.0, 1.0));
    let rate = evidence.rate(20_000, 100.0);
    assert!((rate - 0.1).abs() < 0.01, "{rate}");
}
