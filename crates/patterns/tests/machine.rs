//! What is found in sessions, and what is foretold of them.

use ochreward_patterns::{Interval, MOST_SESSIONS, Micros, Patterns, Terms};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::sync::Arc;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

struct Bed {
    patterns: Patterns,
    now: Micros,
    session: u64,
    rng: Pcg32,
}

impl Bed {
    fn new(instance: u64) -> Bed {
        let rng = Pcg32::seed_from_u64(instance);
        Bed { patterns: Patterns::new(Terms::default(), instance), now: 0, session: 0, rng }
    }

    /// A session of these calls, 100 ms apart; its pattern.
    fn session(&mut self, calls: &[u64]) -> Option<u64> {
        self.session += 1;
        for function in calls {
            self.now += 100 * MS;
            self.patterns.called(self.now, self.session, *function);
        }
        self.patterns.ended(self.now, self.session)
    }

    /// Sessions of each of these in turn.
    fn sessions(&mut self, of: &[&[u64]], times: usize) {
        for calls in (0..times).flat_map(|_| of) {
            self.session(calls);
        }
    }

    fn begin(&mut self, calls: &[u64]) -> u64 {
        self.session += 1;
        for function in calls {
            self.now += 100 * MS;
            self.patterns.called(self.now, self.session, *function);
        }
        self.session
    }
}

const A: &[u64] = &[1, 2, 3, 4, 5];
const B: &[u64] = &[11, 12, 13, 14];

#[test]
fn sessions_of_one_kind_are_one_pattern_and_those_of_another_another() {
    let mut bed = Bed::new(1);
    bed.sessions(&[A, B], 20);
    let (a, b) = (bed.session(A).expect("a pattern"), bed.session(B).expect("a pattern"));
    assert_ne!(a, b);
    assert_eq!(bed.session(&[2, 1, 3, 5, 4]), Some(a), "swapped steps");
    assert_eq!(bed.session(&[1, 2, 4]), Some(a), "steps left out");
    assert_eq!(bed.session(&[1, 2, 99, 3, 5]), Some(a), "a call that belongs to nothing");
    assert_eq!(bed.session(&[1]), None, "one call tells nothing");
}

#[test]
fn what_comes_next_is_foretold_with_its_chance_and_time() {
    let mut bed = Bed::new(2);
    bed.sessions(&[A, B], 30);
    // Every other session leaves the last step out.
    bed.sessions(&[A, &A[..4]], 15);
    let session = bed.begin(&[1, 2]);
    let expected = bed.patterns.expected(bed.now, session).expect("a pattern");
    assert!(expected.chance > 0.9, "{expected:?}");
    let functions: Vec<u64> = expected.calls.iter().map(|c| c.function).collect();
    assert_eq!(functions, [3, 4, 5], "soonest first");
    let chance = |n: usize| expected.calls[n].chance;
    assert!(chance(0).low > 0.85 && chance(0).mean < 1.0, "{expected:?}");
    assert!((0.6..0.9).contains(&chance(2).mean), "three of four sessions: {expected:?}");
    assert!(chance(2).low < chance(2).mean && chance(2).mean < chance(2).high);
    assert!((50 * MS..150 * MS).contains(&expected.calls[0].after), "{expected:?}");
    // A session that fits nothing is not told much of.
    let session = bed.begin(&[77, 78]);
    assert!(bed.patterns.expected(bed.now, session).is_none_or(|e| e.chance < 0.5));
    assert_eq!(bed.patterns.expected(bed.now, 9_999), None);
}

#[test]
fn two_patterns_side_by_side_on_one_session_are_told_apart() {
    let mut bed = Bed::new(3);
    bed.sessions(&[A, B], 30);
    let weight = |bed: &Bed, function: u64| {
        let of = bed.patterns.own().iter().find(|p| p.core().any(|s| s.function == function));
        of.expect("a pattern").weight
    };
    let before = (weight(&bed, 1), weight(&bed, 11));
    bed.session(&[1, 11, 2, 12, 3, 13, 4, 14, 5]);
    let after = (weight(&bed, 1), weight(&bed, 11));
    assert!(after.0 > before.0 + 0.9 && after.1 > before.1 + 0.9, "{before:?} {after:?}");
}

#[test]
fn a_pattern_that_changes_is_followed() {
    let mut bed = Bed::new(4);
    bed.sessions(&[A, B], 30);
    let changed: &[u64] = &[1, 2, 3, 24, 25];
    let mut until = 0;
    loop {
        until += 1;
        bed.session(changed);
        let session = bed.begin(&[1, 2]);
        let expected = bed.patterns.expected(bed.now, session).expect("a pattern");
        bed.patterns.ended(bed.now, session);
        if expected.calls.iter().any(|c| c.function == 24 && c.chance.mean > 0.4) {
            break;
        }
        assert!(until < 60, "it is not followed: {expected:?}");
    }
    // What nobody calls any more fades.
    for _ in 0..400 {
        bed.now += S;
        bed.session(changed);
    }
    let session = bed.begin(&[1, 2]);
    let expected = bed.patterns.expected(bed.now, session).expect("a pattern");
    assert!(expected.calls.iter().all(|c| c.function != 4 || c.chance.mean < 0.2), "{expected:?}");
}

#[test]
fn one_that_starts_anew_goes_on_from_what_a_peer_tells() {
    let mut old = Bed::new(5);
    old.sessions(&[A, B], 30);
    let told = old.patterns.summary().written();
    let mut new = Bed::new(6);
    new.patterns.heard(&"n0".into(), &told).expect("a summary");
    let session = new.begin(&[11, 12]);
    let expected = new.patterns.expected(new.now, session).expect("a pattern");
    assert_eq!(expected.calls.iter().map(|c| c.function).collect::<Vec<u64>>(), [13, 14]);
    // A peer that has gone is forgotten.
    new.patterns.keep(|_| false);
    assert!(new.patterns.expected(new.now, session).is_none_or(|e| e.calls.iter().all(|c| c.function != 13)));
}

#[test]
fn a_liar_is_believed_no_more_than_fifty_sessions() {
    let mut bed = Bed::new(7);
    bed.sessions(&[A, B], 60);
    let mut liar = Bed::new(8);
    // The same beginning, and then something else; claimed a million times.
    liar.sessions(&[&[1, 2, 666, 667, 668]], 40);
    let mut lie = liar.patterns.summary();
    lie.profiles.iter_mut().for_each(|p| p.fade(1e4));
    bed.patterns.heard(&"liar".into(), &lie.written()).expect("it can be read");
    let session = bed.begin(&[1, 2, 3]);
    let expected = bed.patterns.expected(bed.now, session).expect("a pattern");
    assert!(expected.calls.iter().any(|c| c.function == 4 && c.chance.mean > 0.5), "{expected:?}");
    let from: Vec<Arc<str>> = bed.patterns.origins().keys().cloned().collect();
    assert_eq!(from, ["liar".into()]);
}

#[test]
fn quiet_sessions_are_over_and_the_oldest_gives_way_where_there_are_too_many() {
    let mut bed = Bed::new(9);
    bed.patterns.called(0, 1, 1);
    bed.patterns.called(0, 1, 2);
    let due = bed.patterns.due().expect("one goes on");
    assert_eq!(bed.patterns.sweep(due - 1), None);
    assert!(bed.patterns.sweep(due).is_some_and(|p| p.is_some()));
    assert_eq!((bed.patterns.sweep(due), bed.patterns.due()), (None, None));
    for n in 0..2 * MOST_SESSIONS as u64 {
        bed.patterns.called(due + n, n, n % 7);
        assert!(bed.patterns.held().sessions <= MOST_SESSIONS);
    }
}

#[test]
fn patterns_that_began_apart_become_one() {
    let mut bed = Bed::new(10);
    let whole: Vec<u64> = (1..=8).collect();
    for _ in 0..300 {
        let calls: Vec<u64> = whole.iter().copied().filter(|_| bed.rng.next_u32() % 10 < 7).collect();
        bed.session(&calls);
    }
    let heavy = bed.patterns.own().iter().filter(|p| p.weight > 20.0).count();
    assert_eq!(heavy, 1, "{:?}", bed.patterns.own());
}

#[test]
fn intervals_are_those_of_the_beta_distribution() {
    let none = Interval::of(0.0, 0.0);
    assert!(
        (none.mean - 0.5).abs() < 1e-9 && (none.low - 0.05).abs() < 1e-6 && (none.high - 0.95).abs() < 1e-6
    );
    let sure = Interval::of(98.0, 98.0);
    assert!(sure.low > 0.96 && sure.high > 0.99, "{sure:?}");
    let absurd = Interval::of(-1.0, f64::NAN);
    assert!((0.0..=1.0).contains(&absurd.low) && absurd.high <= 1.0);
}
