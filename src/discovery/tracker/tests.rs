use super::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::net::SocketAddr;

const READY: ExecutorState = ExecutorState::Ready;
const DRAINING: ExecutorState = ExecutorState::Draining;

fn worker(id: &str, state: ExecutorState) -> Executor {
    Executor {
        id: id.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        zone: "east".into(),
        kind: "std".into(),
        cell: 0,
        state,
        started_ms: 0,
        weight: 0,
    }
}

fn workers(states: &[(&str, ExecutorState)]) -> Vec<Executor> {
    states.iter().map(|(id, state)| worker(id, *state)).collect()
}

/// A list that was queried at `at` and arrived 1 ms later.
fn list(serial: u64, at: u64, states: &[(&str, ExecutorState)]) -> ReceivedList {
    ReceivedList { serial, executors: workers(states), queried_at: at, received_at: at + 1_000 }
}

/// Returns the ids of the workers that may be sent requests.
fn usable(tracker: &ListTracker) -> Vec<String> {
    let ready = tracker.in_use().iter().filter(|e| e.state == READY);
    ready.map(|e| e.id.to_string()).collect()
}

fn tracker(states: &[(&str, ExecutorState)]) -> ListTracker {
    ListTracker::new(0, 1, workers(states))
}

const MS: u64 = 1_000;

#[test]
fn drain_is_applied_from_a_list_with_a_lower_number() {
    let mut tracker = tracker(&[("a", READY), ("b", READY)]);
    assert_eq!(tracker.apply(list(8, 0, &[("a", READY), ("b", READY)])).0, Decision::Newer);
    let (decision, changed) = tracker.apply(list(3, 100 * MS, &[("a", DRAINING), ("b", READY)]));
    assert_eq!((decision, changed), (Decision::Contradicts, true));
    assert_eq!(usable(&tracker), ["b"]);
}

#[test]
fn worker_absent_from_a_list_with_a_lower_number_is_drained_unless_the_list_was_queried_earlier() {
    let mut tracker = tracker(&[("a", READY), ("b", READY)]);
    tracker.apply(list(8, 100 * MS, &[("a", READY), ("b", READY)]));
    let older = ReceivedList { received_at: 150 * MS, ..list(3, 50 * MS, &[("b", READY)]) };
    assert_eq!(tracker.apply(older), (Decision::Older, false));
    assert_eq!(tracker.apply(list(3, 200 * MS, &[("b", READY)])).0, Decision::Contradicts);
    assert_eq!(usable(&tracker), ["b"]);
}

#[test]
fn list_with_a_lower_number_is_accepted_after_at_least_three_contradicting_answers_over_300_ms() {
    let mut tracker = tracker(&[("a", READY), ("b", READY)]);
    tracker.apply(list(8, 0, &[("a", READY), ("b", READY)]));
    let renumbered = [("a", READY), ("b", READY), ("c", READY)];
    for at in [100, 200, 300] {
        assert_eq!(tracker.apply(list(3, at * MS, &renumbered)).0, Decision::Contradicts);
    }
    assert_eq!(tracker.apply(list(3, 400 * MS, &renumbered)).0, Decision::Renumbered);
    assert_eq!(tracker.serial(), 3);
    tracker.apply(list(3, 500 * MS, &renumbered));
    assert_eq!(usable(&tracker), ["a", "b", "c"]);
}

#[test]
fn contradicting_answers_that_alternate_with_confirming_ones_do_not_replace_the_list() {
    let mut tracker = tracker(&[("a", READY)]);
    tracker.apply(list(8, 0, &[("a", READY), ("b", READY)]));
    tracker.apply(list(8, 100 * MS, &[("a", READY), ("b", READY)]));
    for at in (200..2_000).step_by(200) {
        assert_eq!(tracker.apply(list(7, at * MS, &[("a", READY)])).0, Decision::Contradicts);
        assert_eq!(
            tracker.apply(list(8, (at + 100) * MS, &[("a", READY), ("b", READY)])).0,
            Decision::Confirms
        );
    }
    assert_eq!(tracker.serial(), 8);
}

#[test]
fn drained_worker_is_used_again_after_two_further_answers_that_were_queried_later() {
    let mut tracker = tracker(&[("a", READY), ("b", READY)]);
    tracker.apply(list(2, 0, &[("a", DRAINING), ("b", READY)]));
    let ready = [("a", READY), ("b", READY)];
    tracker.apply(list(3, 100 * MS, &ready));
    assert_eq!(usable(&tracker), ["b"]);
    assert!(tracker.has_unconfirmed());
    assert!(!tracker.confirm_repeated(110 * MS));
    assert!(tracker.confirm_repeated(120 * MS));
    assert_eq!(usable(&tracker), ["a", "b"]);
    assert!(!tracker.has_unconfirmed());
}

#[test]
fn answers_queried_before_the_drain_arrived_do_not_confirm() {
    let mut tracker = tracker(&[("a", READY), ("b", READY)]);
    tracker.apply(list(2, 100 * MS, &[("a", DRAINING), ("b", READY)]));
    tracker.apply(list(3, 100 * MS, &[("a", READY), ("b", READY)]));
    for _ in 0..5 {
        tracker.confirm_repeated(100 * MS);
    }
    assert_eq!(usable(&tracker), ["b"]);
}

#[test]
fn new_worker_is_used_after_one_further_answer_or_at_once_if_there_is_no_other() {
    let mut with_other = tracker(&[("a", READY)]);
    with_other.apply(list(2, 0, &[("a", READY), ("b", READY)]));
    assert_eq!(usable(&with_other), ["a"]);
    with_other.confirm_repeated(10 * MS);
    assert_eq!(usable(&with_other), ["a", "b"]);
    let mut without_other = tracker(&[("a", READY)]);
    without_other.apply(list(2, 0, &[("a", DRAINING), ("b", READY)]));
    assert_eq!(usable(&without_other), ["b"]);
}

#[test]
fn outdated_list_with_a_higher_number_does_not_restore_a_drained_worker() {
    let mut tracker = tracker(&[("a", READY), ("b", READY)]);
    tracker.apply(list(2, 0, &[("a", DRAINING), ("b", READY)]));
    // A state of the previous numbering, under its higher number, arrives twice between current answers.
    for at in [100, 300] {
        tracker.apply(list(8, at * MS, &[("a", READY), ("b", READY)]));
        assert_eq!(usable(&tracker), ["b"]);
        tracker.apply(list(2, (at + 100) * MS, &[("a", DRAINING), ("b", READY)]));
        assert_eq!(usable(&tracker), ["b"]);
    }
}

#[test]
fn configuration_list_applies_only_its_drains_once_the_service_has_answered() {
    let mut tracker = tracker(&[("a", READY), ("b", READY)]);
    tracker.apply(list(2, 0, &[("a", READY), ("b", READY)]));
    assert!(!tracker.apply_external(
        50 * MS,
        ListOrigin::Configuration,
        90,
        workers(&[("a", READY), ("b", READY), ("gone", READY)])
    ));
    assert!(tracker.apply_external(60 * MS, ListOrigin::Configuration, 91, workers(&[("a", DRAINING)])));
    assert_eq!((usable(&tracker), tracker.serial()), (vec!["b".to_string()], 2));
}

#[test]
fn external_list_is_used_until_the_service_answers_with_any_number() {
    for origin in [ListOrigin::Predecessor, ListOrigin::Peer] {
        let mut tracker = tracker(&[("a", READY)]);
        assert!(tracker.apply_external(10 * MS, origin, 41, workers(&[("a", READY), ("b", READY)])));
        assert_eq!(usable(&tracker), ["a", "b"]);
        assert_eq!(tracker.apply(list(2, 20 * MS, &[("b", READY)])).0, Decision::Newer);
        assert_eq!(usable(&tracker), ["b"]);
    }
}

#[test]
fn drains_of_a_refused_list_are_applied() {
    let mut tracker = tracker(&[("a", READY), ("b", READY), ("c", READY)]);
    assert!(tracker.apply_refused(0, &workers(&[("a", DRAINING), ("b", READY)]), false));
    assert_eq!(usable(&tracker), ["b", "c"]);
    assert!(tracker.apply_refused(1, &workers(&[("b", READY)]), true));
    assert_eq!(usable(&tracker), ["b"]);
    // Absence from an empty list does not drain.
    assert!(!tracker.apply_refused(2, &[], true));
    assert!(tracker.apply_partial(3, &["b".into()], &[]));
    assert!(usable(&tracker).is_empty());
}

#[test]
fn quarantines_stay_bounded_however_many_workers_join_and_leave() {
    let mut tracker = tracker(&[]);
    for round in 0..400u64 {
        let ids: Vec<String> = (0..100).map(|n| format!("s{round}-{n}")).collect();
        let states: Vec<(&str, ExecutorState)> = ids.iter().map(|id| (id.as_str(), READY)).collect();
        tracker.apply(list(round + 2, round * 1_000 * MS, &states));
        assert!(
            tracker.quarantines.len() <= MAX_UNLISTED_QUARANTINES + 200,
            "round {round}: {}",
            tracker.quarantines.len()
        );
    }
}

/// Simulates a name service whose answers may be late, reordered, of an older state, or of another numbering. A worker that
/// any received answer had as draining must not be usable afterwards; the simulated service never reverts a drain.
#[test]
fn drained_workers_stay_unusable_under_random_faults_of_the_name_service() {
    for seed in 0..2_000u64 {
        let mut random = Pcg32::seed_from_u64(seed);
        let ids = ["a", "b", "c", "d", "e", "f"];
        let mut truth: Vec<(&str, ExecutorState)> = ids[..3].iter().map(|id| (*id, READY)).collect();
        let mut history = vec![(101u64, truth.clone()), (1, truth.clone())];
        let mut tracker = ListTracker::new(0, 1, workers(&truth));
        let (mut serial, mut next_new, mut removed) = (1u64, 3, Vec::<&str>::new());
        let mut in_flight: Vec<(u64, ReceivedList)> = Vec::new();
        let mut drained: Vec<&str> = Vec::new();
        for step in 0..200u64 {
            let now = step * 100 * MS;
            if random.next_u32() % 10 == 0 {
                let index = random.next_u32() as usize % truth.len().max(1);
                match truth.get(index).copied() {
                    Some((id, DRAINING)) => {
                        truth.remove(index);
                        removed.push(id);
                    }
                    Some((id, READY)) if random.next_u32() % 2 == 0 => truth[index] = (id, DRAINING),
                    _ if next_new < ids.len() => {
                        truth.push((ids[next_new], READY));
                        next_new += 1;
                    }
                    _ => {}
                }
                serial += 1;
                history.push((serial, truth.clone()));
            }
            let fault = random.next_u32() % 10;
            let pick = random.next_u32() as usize % history.len();
            let (number, state) = match fault {
                0 => history[pick].clone(),
                _ => (serial, truth.clone()),
            };
            let arrives_at = now + u64::from(random.next_u32() % 1_500) * MS * u64::from(fault < 5);
            let list = ReceivedList {
                serial: number,
                executors: workers(&state),
                queried_at: now,
                received_at: arrives_at,
            };
            in_flight.push((arrives_at, list));
            in_flight.sort_by_key(|(at, _)| *at);
            while in_flight.first().is_some_and(|(at, _)| *at <= now) {
                let (_, list) = in_flight.remove(0);
                let draining = list.executors.iter().filter(|e| e.state == DRAINING);
                drained.extend(draining.filter_map(|e| ids.iter().find(|id| **id == &*e.id)));
                tracker.apply(list);
                // No drain is reverted in this schedule.
                for id in usable(&tracker) {
                    assert!(!drained.contains(&id.as_str()), "seed {seed}, step {step}: {id} is usable");
                }
            }
        }
    }
}

/// A list whose worker `a` has this start.
fn list_with_start(serial: u64, at: u64, started_ms: u64) -> ReceivedList {
    let mut list = list(serial, at, &[("a", READY), ("b", READY)]);
    list.executors[0].started_ms = started_ms;
    list
}

#[test]
fn later_start_is_applied_from_a_list_that_is_not_accepted() {
    let mut tracker = tracker(&[("a", READY), ("b", READY)]);
    tracker.apply(list_with_start(8, 0, 1_000));
    assert_eq!(tracker.apply(list_with_start(3, 100 * MS, 5_000)), (Decision::Contradicts, true));
    assert_eq!(tracker.in_use()[0].started_ms, 5_000);
    let refused = list_with_start(9, 200 * MS, 6_000);
    assert!(tracker.apply_refused(201 * MS, &refused.executors, false));
    assert!(tracker.apply_partial(202 * MS, &[], &[("a".into(), 7_000), ("unknown".into(), 7_000)]));
    assert_eq!(tracker.in_use()[0].started_ms, 7_000);
    assert_eq!(tracker.in_use().len(), 2);
}

#[test]
fn earlier_start_counts_only_in_a_list_that_is_accepted() {
    let mut tracker = tracker(&[("a", READY), ("b", READY)]);
    tracker.apply(list_with_start(8, 0, 5_000));
    assert_eq!(tracker.apply(list_with_start(3, 100 * MS, 1_000)), (Decision::Contradicts, false));
    assert_eq!(tracker.in_use()[0].started_ms, 5_000);
    tracker.apply(list_with_start(9, 200 * MS, 1_000));
    assert_eq!(tracker.in_use()[0].started_ms, 1_000, "a worker whose clock was set back");
}

/// A dispatcher once sent requests to a worker that was gone by its first list, as a configuration read anew still had it.
#[test]
fn older_configuration_does_not_bring_a_removed_worker_back_before_the_service_answers() {
    let mut tracker = tracker(&[("b", READY)]);
    let older = || workers(&[("a", READY), ("b", READY)]);
    tracker.apply_external(MS, ListOrigin::Configuration, 1_000, older());
    assert_eq!(usable(&tracker), ["b"]);
    tracker.apply(list(2, 2 * MS, &[("a", READY), ("b", READY)]));
    tracker.apply(list(2, 100 * MS, &[("a", READY), ("b", READY)]));
    assert_eq!(usable(&tracker), ["a", "b"], "the service confirms it");
    // A predecessor's list came from the service, and one that replaces all workers is the only one there is.
    let mut successor = self::tracker(&[("b", READY)]);
    successor.apply_external(MS, ListOrigin::Predecessor, 8, older());
    assert_eq!(usable(&successor), ["a", "b"]);
    let mut replaced = self::tracker(&[("b", READY)]);
    replaced.apply_external(MS, ListOrigin::Configuration, 8, workers(&[("c", READY)]));
    assert_eq!(usable(&replaced), ["c"]);
}
