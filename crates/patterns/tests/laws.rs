//! Property tests: the laws of merging, bounds under adversarial input, and rejection of invalid summaries.

use ochreward_patterns::{
    Config, MAX_PATTERNS, MAX_SUMMARY_BYTES, Patterns, Profile, Step, Summary, SummaryError,
};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

type PeerSummaries = BTreeMap<Arc<str>, Summary>;

fn profile() -> impl Strategy<Value = Profile> {
    (any::<u64>(), 0.0_f32..1e6, prop::collection::btree_map(0_u64..40, 0.0_f32..1.0, 0..8)).prop_map(
        |(id, weight, steps)| {
            let step =
                |(function, share): (u64, f32)| Step { function, weight: weight * share, at_ms: share * 1e4 };
            Profile { id, weight, steps: steps.into_iter().map(step).collect() }
        },
    )
}

/// Few versions and few origins, so that origins and versions coincide.
fn peer_summaries() -> impl Strategy<Value = PeerSummaries> {
    let summary = (0_u64..4, prop::collection::vec(profile(), 0..3))
        .prop_map(|(version, profiles)| Summary { version, profiles });
    prop::collection::btree_map((0_u8..6).prop_map(|n| Arc::from(format!("n{n}"))), summary, 0..5)
}

fn merged(order: &[&PeerSummaries]) -> PeerSummaries {
    let mut patterns = Patterns::new(Config::default(), 1);
    order.iter().for_each(|summaries| patterns.merge(summaries));
    patterns.peer_summaries().clone()
}

proptest! {
    #[test]
    fn merging_is_commutative_associative_and_idempotent(
        a in peer_summaries(), b in peer_summaries(), c in peer_summaries(),
    ) {
        prop_assert_eq!(merged(&[&a, &b]), merged(&[&b, &a]));
        prop_assert_eq!(merged(&[&a, &a, &b, &a]), merged(&[&a, &b]));
        prop_assert_eq!(merged(&[&merged(&[&a, &b]), &c]), merged(&[&a, &merged(&[&b, &c])]));
    }

    #[test]
    fn combined_patterns_do_not_depend_on_the_merge_order(a in peer_summaries(), b in peer_summaries()) {
        let combined = |order: [&PeerSummaries; 2]| {
            let mut patterns = Patterns::new(Config::default(), 1);
            order.iter().for_each(|summaries| patterns.merge(summaries));
            patterns.combined().to_vec()
        };
        prop_assert_eq!(combined([&a, &b]), combined([&b, &a]));
    }

    #[test]
    fn arbitrary_summary_bytes_stay_within_bounds(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut patterns = Patterns::new(Config::default(), 1);
        let _ = patterns.receive_summary(&"x".into(), &bytes);
        prop_assert!(patterns.stats().within_bounds() && patterns.combined().len() <= MAX_PATTERNS);
    }

    #[test]
    fn truncated_summaries_are_rejected_and_corrupted_ones_give_valid_probabilities(
        summaries in peer_summaries(), at in any::<prop::sample::Index>(), bit in 0_u8..8,
    ) {
        for summary in summaries.values() {
            let valid = summary.encode();
            prop_assert_eq!(Summary::decode(&valid), Ok(summary.clone()));
            let index = at.index(valid.len());
            prop_assert!(Summary::decode(&valid[..index]).is_err());
            let mut corrupted = valid.clone();
            corrupted[index] ^= 1 << bit;
            let mut patterns = Patterns::new(Config::default(), 1);
            let _ = patterns.receive_summary(&"x".into(), &corrupted);
            patterns.record_call(0, 1, 1);
            patterns.record_call(1, 1, 2);
            if let Some(expected) = patterns.predict(2, 1) {
                prop_assert!((0.0..=1.0).contains(&expected.chance));
            }
        }
    }

    /// Traces with only single-call sessions, random functions, more open sessions than the bound, and an endless supply of
    /// new patterns.
    #[test]
    fn memory_and_work_stay_within_bounds_on_adversarial_traces(
        kind in 0_u8..4, seed in any::<u64>(), calls in 1_000_usize..12_000,
    ) {
        use rand_pcg::rand_core::{Rng, SeedableRng};
        let mut rng = rand_pcg::Pcg32::seed_from_u64(seed);
        let mut patterns = Patterns::new(Config::default(), 1);
        let mut now = 0;
        for n in 0..calls as u64 {
            now += u64::from(rng.next_u32() % 20_000);
            let (session, function) = match kind {
                0 => (n, n),
                1 => (n / 30, u64::from(rng.next_u32())),
                2 => (u64::from(rng.next_u32() % 9_000), u64::from(rng.next_u32() % 50)),
                _ => (n / 3, n / 100 * 3 + n % 3),
            };
            patterns.record_call(now, session, function);
            prop_assert!(patterns.stats().within_bounds(), "{:?}", patterns.stats());
            if n % 64 == 0 {
                while patterns.end_idle_session(now).is_some() {
                    prop_assert!(patterns.stats().within_bounds(), "{:?}", patterns.stats());
                }
            }
        }
        let sent = patterns.summary().encode();
        prop_assert!(sent.len() <= MAX_SUMMARY_BYTES, "{} bytes", sent.len());
        prop_assert!(Summary::decode(&sent).is_ok());
    }
}

#[test]
fn implausible_malformed_and_oversized_summaries_are_rejected_with_distinct_errors() {
    let step = Step { function: 1, weight: 5.0, at_ms: 1.0 };
    let of = |profile: Profile| Summary { version: 1, profiles: vec![profile] }.encode();
    for (case, profile) in [
        ("a step that came more often than its pattern", Profile { id: 1, weight: 1.0, steps: vec![step] }),
        ("a weight that is no number", Profile { id: 1, weight: f32::NAN, steps: vec![] }),
        ("a weight without end", Profile { id: 1, weight: f32::INFINITY, steps: vec![] }),
        ("a negative time", Profile { id: 1, weight: 9.0, steps: vec![Step { at_ms: -1.0, ..step }] }),
        ("one function twice", Profile { id: 1, weight: 9.0, steps: vec![step, step] }),
    ] {
        assert_eq!(Summary::decode(&of(profile)), Err(SummaryError::Implausible), "{case}");
    }
    let too_many = Summary { version: 1, profiles: vec![Profile::default(); MAX_PATTERNS + 1] };
    assert_eq!(Summary::decode(&too_many.encode()), Err(SummaryError::Implausible));
    assert_eq!(
        Summary::decode(&vec![0; MAX_SUMMARY_BYTES + 1]),
        Err(SummaryError::TooLong(MAX_SUMMARY_BYTES + 1))
    );
    let mut long = Summary::default().encode();
    long.push(0);
    assert_eq!(Summary::decode(&long), Err(SummaryError::Malformed));
}
