//! Laws that hold whatever is told and asked: merging, bounds, bytes that are no summary.

use ochreward_patterns::{BadSummary, MOST_BYTES, MOST_PATTERNS, Patterns, Profile, Step, Summary, Terms};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

type Told = BTreeMap<Arc<str>, Summary>;

fn profile() -> impl Strategy<Value = Profile> {
    (any::<u64>(), 0.0_f32..1e6, prop::collection::btree_map(0_u64..40, 0.0_f32..1.0, 0..8)).prop_map(
        |(id, weight, steps)| {
            let step =
                |(function, share): (u64, f32)| Step { function, weight: weight * share, at_ms: share * 1e4 };
            Profile { id, weight, steps: steps.into_iter().map(step).collect() }
        },
    )
}

/// Few versions and few origins, so that they meet.
fn told() -> impl Strategy<Value = Told> {
    let summary = (0_u64..4, prop::collection::vec(profile(), 0..3))
        .prop_map(|(version, profiles)| Summary { version, profiles });
    prop::collection::btree_map((0_u8..6).prop_map(|n| Arc::from(format!("n{n}"))), summary, 0..5)
}

fn after(order: &[&Told]) -> Told {
    let mut patterns = Patterns::new(Terms::default(), 1);
    order.iter().for_each(|told| patterns.merge(told));
    patterns.origins().clone()
}

proptest! {
    #[test]
    fn merging_is_commutative_associative_and_idempotent(a in told(), b in told(), c in told()) {
        prop_assert_eq!(after(&[&a, &b]), after(&[&b, &a]));
        prop_assert_eq!(after(&[&a, &a, &b, &a]), after(&[&a, &b]));
        prop_assert_eq!(after(&[&after(&[&a, &b]), &c]), after(&[&a, &after(&[&b, &c])]));
    }

    #[test]
    fn what_is_known_of_all_does_not_depend_on_the_order(a in told(), b in told()) {
        let known = |order: [&Told; 2]| {
            let mut patterns = Patterns::new(Terms::default(), 1);
            order.iter().for_each(|told| patterns.merge(told));
            patterns.known().to_vec()
        };
        prop_assert_eq!(known([&a, &b]), known([&b, &a]));
    }

    #[test]
    fn any_bytes_are_read_or_refused_and_never_more_than_bounded(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut patterns = Patterns::new(Terms::default(), 1);
        let _ = patterns.heard(&"x".into(), &bytes);
        prop_assert!(patterns.held().bounded() && patterns.known().len() <= MOST_PATTERNS);
    }

    #[test]
    fn a_summary_that_is_cut_or_bent_is_refused_or_still_sane(told in told(), at in any::<prop::sample::Index>(), bit in 0_u8..8) {
        for summary in told.values() {
            let good = summary.written();
            prop_assert_eq!(Summary::read(&good), Ok(summary.clone()));
            let place = at.index(good.len());
            prop_assert!(Summary::read(&good[..place]).is_err());
            let mut bent = good.clone();
            bent[place] ^= 1 << bit;
            let mut patterns = Patterns::new(Terms::default(), 1);
            let _ = patterns.heard(&"x".into(), &bent);
            patterns.called(0, 1, 1);
            patterns.called(1, 1, 2);
            if let Some(expected) = patterns.expected(2, 1) {
                prop_assert!((0.0..=1.0).contains(&expected.chance));
            }
        }
    }

    /// Sessions without end, all functions different, all the same, far too many at once.
    #[test]
    fn memory_and_work_stay_within_bounds_on_adversarial_traces(
        kind in 0_u8..4, seed in any::<u64>(), calls in 1_000_usize..12_000,
    ) {
        use rand_pcg::rand_core::{Rng, SeedableRng};
        let mut rng = rand_pcg::Pcg32::seed_from_u64(seed);
        let mut patterns = Patterns::new(Terms::default(), 1);
        let mut now = 0;
        for n in 0..calls as u64 {
            now += u64::from(rng.next_u32() % 20_000);
            let (session, function) = match kind {
                0 => (n, n),
                1 => (n / 30, u64::from(rng.next_u32())),
                2 => (u64::from(rng.next_u32() % 9_000), u64::from(rng.next_u32() % 50)),
                _ => (n / 3, n / 100 * 3 + n % 3),
            };
            patterns.called(now, session, function);
            prop_assert!(patterns.held().bounded(), "{:?}", patterns.held());
            if n % 64 == 0 {
                while patterns.sweep(now).is_some() {
                    prop_assert!(patterns.held().bounded(), "{:?}", patterns.held());
                }
            }
        }
        let sent = patterns.summary().written();
        prop_assert!(sent.len() <= MOST_BYTES, "{} bytes", sent.len());
        prop_assert!(Summary::read(&sent).is_ok());
    }
}

#[test]
fn impossible_figures_are_refused_by_name() {
    let step = Step { function: 1, weight: 5.0, at_ms: 1.0 };
    let of = |profile: Profile| Summary { version: 1, profiles: vec![profile] }.written();
    for (what, profile) in [
        ("a step that came more often than its pattern", Profile { id: 1, weight: 1.0, steps: vec![step] }),
        ("a weight that is no number", Profile { id: 1, weight: f32::NAN, steps: vec![] }),
        ("a weight without end", Profile { id: 1, weight: f32::INFINITY, steps: vec![] }),
        ("a negative time", Profile { id: 1, weight: 9.0, steps: vec![Step { at_ms: -1.0, ..step }] }),
        ("one function twice", Profile { id: 1, weight: 9.0, steps: vec![step, step] }),
    ] {
        assert_eq!(Summary::read(&of(profile)), Err(BadSummary::Absurd), "{what}");
    }
    let many = Summary { version: 1, profiles: vec![Profile::default(); MOST_PATTERNS + 1] };
    assert_eq!(Summary::read(&many.written()), Err(BadSummary::Absurd));
    assert_eq!(Summary::read(&vec![0; MOST_BYTES + 1]), Err(BadSummary::Long(MOST_BYTES + 1)));
    let mut long = Summary::default().written();
    long.push(0);
    assert_eq!(Summary::read(&long), Err(BadSummary::Malformed));
}
