//! Tests of pattern detection, prediction, exchange with peers and session expiry.

use ochreward_patterns::{Config, Interval, MAX_SESSIONS, Micros, Patterns};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::sync::Arc;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

struct Simulation {
    patterns: Patterns,
    now: Micros,
    session: u64,
    rng: Pcg32,
}

impl Simulation {
    fn new(instance: u64) -> Simulation {
        let rng = Pcg32::seed_from_u64(instance);
        Simulation { patterns: Patterns::new(Config::default(), instance), now: 0, session: 0, rng }
    }

    /// Runs a session of these calls, 100 ms apart, and returns its pattern.
    fn run_session(&mut self, calls: &[u64]) -> Option<u64> {
        self.session += 1;
        for function in calls {
            self.now += 100 * MS;
            self.patterns.record_call(self.now, self.session, *function);
        }
        self.patterns.end_session(self.now, self.session)
    }

    /// Runs one session of each call list in turn, `times` times.
    fn run_sessions(&mut self, call_lists: &[&[u64]], times: usize) {
        for calls in (0..times).flat_map(|_| call_lists) {
            self.run_session(calls);
        }
    }

    /// Starts a session of these calls, 100 ms apart, and leaves it open.
    fn start_session(&mut self, calls: &[u64]) -> u64 {
        self.session += 1;
        for function in calls {
            self.now += 100 * MS;
            self.patterns.record_call(self.now, self.session, *function);
        }
        self.session
    }
}

const A: &[u64] = &[1, 2, 3, 4, 5];
const B: &[u64] = &[11, 12, 13, 14];

#[test]
fn similar_sessions_share_a_pattern_and_different_ones_do_not() {
    let mut simulation = Simulation::new(1);
    simulation.run_sessions(&[A, B], 20);
    let (a, b) =
        (simulation.run_session(A).expect("a pattern"), simulation.run_session(B).expect("a pattern"));
    assert_ne!(a, b);
    assert_eq!(simulation.run_session(&[2, 1, 3, 5, 4]), Some(a), "reordered steps");
    assert_eq!(simulation.run_session(&[1, 2, 4]), Some(a), "omitted steps");
    assert_eq!(simulation.run_session(&[1, 2, 99, 3, 5]), Some(a), "an unrelated call");
    assert_eq!(simulation.run_session(&[1]), None, "one call is too few");
}

#[test]
fn remaining_calls_are_predicted_with_probability_and_time() {
    let mut simulation = Simulation::new(2);
    simulation.run_sessions(&[A, B], 30);
    // Every other session omits the last step.
    simulation.run_sessions(&[A, &A[..4]], 15);
    let session = simulation.start_session(&[1, 2]);
    let expected = simulation.patterns.predict(simulation.now, session).expect("a pattern");
    assert!(expected.chance > 0.9, "{expected:?}");
    let functions: Vec<u64> = expected.calls.iter().map(|c| c.function).collect();
    assert_eq!(functions, [3, 4, 5], "soonest first");
    let chance = |n: usize| expected.calls[n].chance;
    assert!(chance(0).low > 0.85 && chance(0).mean < 1.0, "{expected:?}");
    assert!((0.6..0.9).contains(&chance(2).mean), "three of four sessions: {expected:?}");
    assert!(chance(2).low < chance(2).mean && chance(2).mean < chance(2).high);
    assert!((50 * MS..150 * MS).contains(&expected.calls[0].after), "{expected:?}");
    // A session that matches no pattern gets no confident prediction.
    let session = simulation.start_session(&[77, 78]);
    assert!(simulation.patterns.predict(simulation.now, session).is_none_or(|e| e.chance < 0.5));
    assert_eq!(simulation.patterns.predict(simulation.now, 9_999), None);
}

#[test]
fn two_patterns_interleaved_in_one_session_are_both_counted() {
    let mut simulation = Simulation::new(3);
    simulation.run_sessions(&[A, B], 30);
    let weight = |simulation: &Simulation, function: u64| {
        let of = simulation.patterns.local().iter().find(|p| p.core_steps().any(|s| s.function == function));
        of.expect("a pattern").weight
    };
    let before = (weight(&simulation, 1), weight(&simulation, 11));
    simulation.run_session(&[1, 11, 2, 12, 3, 13, 4, 14, 5]);
    let after = (weight(&simulation, 1), weight(&simulation, 11));
    assert!(after.0 > before.0 + 0.9 && after.1 > before.1 + 0.9, "{before:?} {after:?}");
}

#[test]
fn a_changing_pattern_is_tracked() {
    let mut simulation = Simulation::new(4);
    simulation.run_sessions(&[A, B], 30);
    let changed: &[u64] = &[1, 2, 3, 24, 25];
    let mut sessions = 0;
    loop {
        sessions += 1;
        simulation.run_session(changed);
        let session = simulation.start_session(&[1, 2]);
        let expected = simulation.patterns.predict(simulation.now, session).expect("a pattern");
        simulation.patterns.end_session(simulation.now, session);
        if expected.calls.iter().any(|c| c.function == 24 && c.chance.mean > 0.4) {
            break;
        }
        assert!(sessions < 60, "the change is not tracked: {expected:?}");
    }
    // Functions that are no longer called decay.
    for _ in 0..400 {
        simulation.now += S;
        simulation.run_session(changed);
    }
    let session = simulation.start_session(&[1, 2]);
    let expected = simulation.patterns.predict(simulation.now, session).expect("a pattern");
    assert!(expected.calls.iter().all(|c| c.function != 4 || c.chance.mean < 0.2), "{expected:?}");
}

#[test]
fn a_restarted_dispatcher_predicts_from_a_peers_summary() {
    let mut old = Simulation::new(5);
    old.run_sessions(&[A, B], 30);
    let summary = old.patterns.summary().encode();
    let mut new = Simulation::new(6);
    new.patterns.receive_summary(&"n0".into(), &summary).expect("a summary");
    let session = new.start_session(&[11, 12]);
    let expected = new.patterns.predict(new.now, session).expect("a pattern");
    assert_eq!(expected.calls.iter().map(|c| c.function).collect::<Vec<u64>>(), [13, 14]);
    // The summary of a peer that left is removed.
    new.patterns.retain_members(|_| false);
    assert!(new.patterns.predict(new.now, session).is_none_or(|e| e.calls.iter().all(|c| c.function != 13)));
}

#[test]
fn the_weight_of_a_lying_peer_is_capped_at_fifty_sessions() {
    let mut simulation = Simulation::new(7);
    simulation.run_sessions(&[A, B], 60);
    let mut lying_peer = Simulation::new(8);
    // The same first calls followed by others, claimed with the weights scaled up ten thousand times.
    lying_peer.run_sessions(&[&[1, 2, 666, 667, 668]], 40);
    let mut forged_summary = lying_peer.patterns.summary();
    forged_summary.profiles.iter_mut().for_each(|p| p.decay(1e4));
    simulation.patterns.receive_summary(&"liar".into(), &forged_summary.encode()).expect("a valid summary");
    let session = simulation.start_session(&[1, 2, 3]);
    let expected = simulation.patterns.predict(simulation.now, session).expect("a pattern");
    assert!(expected.calls.iter().any(|c| c.function == 4 && c.chance.mean > 0.5), "{expected:?}");
    let origins: Vec<Arc<str>> = simulation.patterns.peer_summaries().keys().cloned().collect();
    assert_eq!(origins, ["liar".into()]);
}

#[test]
fn idle_sessions_end_and_the_longest_idle_one_is_evicted_above_the_bound() {
    let mut simulation = Simulation::new(9);
    simulation.patterns.record_call(0, 1, 1);
    simulation.patterns.record_call(0, 1, 2);
    let due = simulation.patterns.next_idle_timeout().expect("an open session");
    assert_eq!(simulation.patterns.end_idle_session(due - 1), None);
    assert!(simulation.patterns.end_idle_session(due).is_some_and(|p| p.is_some()));
    assert_eq!(
        (simulation.patterns.end_idle_session(due), simulation.patterns.next_idle_timeout()),
        (None, None)
    );
    for n in 0..2 * MAX_SESSIONS as u64 {
        simulation.patterns.record_call(due + n, n, n % 7);
        assert!(simulation.patterns.stats().sessions <= MAX_SESSIONS);
    }
}

#[test]
fn patterns_that_become_similar_are_merged() {
    let mut simulation = Simulation::new(10);
    let whole: Vec<u64> = (1..=8).collect();
    for _ in 0..300 {
        let calls: Vec<u64> = whole.iter().copied().filter(|_| simulation.rng.next_u32() % 10 < 7).collect();
        simulation.run_session(&calls);
    }
    let frequent = simulation.patterns.local().iter().filter(|p| p.weight > 20.0).count();
    assert_eq!(frequent, 1, "{:?}", simulation.patterns.local());
}

#[test]
fn intervals_match_the_beta_distribution() {
    let none = Interval::from_counts(0.0, 0.0);
    assert!(
        (none.mean - 0.5).abs() < 1e-9 && (none.low - 0.05).abs() < 1e-6 && (none.high - 0.95).abs() < 1e-6
    );
    let certain = Interval::from_counts(98.0, 98.0);
    assert!(certain.low > 0.96 && certain.high > 0.99, "{certain:?}");
    let invalid = Interval::from_counts(-1.0, f64::NAN);
    assert!((0.0..=1.0).contains(&invalid.low) && invalid.high <= 1.0);
}
