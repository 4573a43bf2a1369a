use super::*;

#[test]
fn waits_spread_and_stay_within_their_bounds() {
    let with_seed = |seed| Backoff::new(1_000, 16_000, seed);
    for failures in 0..10 {
        let bound = (1_000 << failures).min(16_000);
        let waits: Vec<u64> = (0..400)
            .map(|seed| {
                let mut backoff = with_seed(seed);
                for _ in 0..failures {
                    backoff.next_wait();
                }
                backoff.next_wait()
            })
            .collect();
        assert!(waits.iter().all(|wait| *wait <= bound));
        // The waits are uniform: the lowest quarter of the range holds about a quarter of them.
        let low = waits.iter().filter(|wait| **wait < bound / 4).count();
        assert!((60..140).contains(&low), "{failures}: {low}");
    }
}
