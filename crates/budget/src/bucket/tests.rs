use super::*;
use proptest::prelude::*;

#[test]
fn it_brings_its_rate_and_saves_no_more_than_its_burst() {
    let mut bucket = Bucket::new(100_000, 0);
    let taken: u64 = (1..=100).map(|n| (bucket.refill(n * 100_000, 5_000), bucket.take(9)).1).sum();
    assert!((49..=51).contains(&taken), "five a second for ten seconds: {taken}");
    assert_eq!(bucket.refill(100_000_000, 50_000), 6, "a tenth of a second's, and one");
    assert_eq!(bucket.refill(100_000_000, 0), 0, "a rate that is gone leaves nothing");
}

proptest! {
    #[test]
    fn it_never_gives_more_than_the_rates_brought(steps in prop::collection::vec((0..500_000_u64, 0..50_000_u64), 1..60)) {
        let (mut bucket, mut now, mut brought, mut taken) = (Bucket::new(100_000, 0), 0, 0_u128, 0);
        for (passed, rate) in steps {
            now += passed;
            brought += u128::from(rate) * u128::from(passed);
            bucket.refill(now, rate);
            taken += bucket.take(1_000);
            prop_assert!(u128::from(taken) * PIECE <= brought);
        }
    }
}
