use super::*;
use proptest::prelude::*;

#[test]
fn a_bucket_yields_its_rate_and_saves_at_most_its_burst() {
    let mut bucket = TokenBucket::new(100_000, 0);
    let taken: u64 = (1..=100).map(|n| (bucket.refill(n * 100_000, 5_000), bucket.take(9)).1).sum();
    assert!((49..=51).contains(&taken), "five a second for ten seconds: {taken}");
    assert_eq!(bucket.refill(100_000_000, 50_000), 6, "a tenth of a second's tokens, and one");
    assert_eq!(bucket.refill(100_000_000, 0), 0, "a rate of zero leaves no tokens");
}

proptest! {
    #[test]
    fn a_bucket_never_gives_more_than_its_rates_yielded(steps in prop::collection::vec((0..500_000_u64, 0..50_000_u64), 1..60)) {
        let (mut bucket, mut now, mut yielded, mut taken) = (TokenBucket::new(100_000, 0), 0, 0_u128, 0);
        for (elapsed, rate) in steps {
            now += elapsed;
            yielded += u128::from(rate) * u128::from(elapsed);
            bucket.refill(now, rate);
            taken += bucket.take(1_000);
            prop_assert!(u128::from(taken) * TOKEN <= yielded);
        }
    }
}
