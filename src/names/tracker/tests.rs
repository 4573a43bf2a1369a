use super::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::net::SocketAddr;

const READY: State = State::Ready;
const DRAINING: State = State::Draining;

fn worker(id: &str, state: State) -> Executor {
    Executor {
        id: id.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        zone: "east".into(),
        kind: "std".into(),
        cell: 0,
        state,
        started_ms: 0,
    }
}

fn workers(states: &[(&str, State)]) -> Vec<Executor> {
    states.iter().map(|(id, state)| worker(id, *state)).collect()
}

/// A list that was asked for at `at` and came 1 ms later.
fn list(serial: u64, at: u64, states: &[(&str, State)]) -> ReceivedList {
    ReceivedList { serial, executors: workers(states), asked_at: at, received_at: at + 1_000 }
}

/// The workers that may be sent to.
fn usable(tracker: &ListTracker) -> Vec<String> {
    let ready = tracker.in_use().iter().filter(|e| e.state == READY);
    ready.map(|e| e.id.to_string()).collect()
}

fn tracker(states: &[(&str, State)]) -> ListTracker {
    ListTracker::new(0, 1, workers(states))
}

const MS: u64 = 1_000;

#[test]
fn a_drain_is_believed_under_a_lower_number_too() {
    let mut tracker = tracker(&[("a", READY), ("b", READY)]);
    assert_eq!(tracker.take(list(8, 0, &[("a", READY), ("b", READY)])).0, Decision::Newer);
    let (decision, changed) = tracker.take(list(3, 100 * MS, &[("a", DRAINING), ("b", READY)]));
    assert_eq!((decision, changed), (Decision::Contradicts, true));
    assert_eq!(usable(&tracker), ["b"]);
}

#[test]
fn a_worker_that_is_absent_under_a_lower_number_is_drained_unless_the_answer_is_the_older_one() {
    let mut tracker = tracker(&[("a", READY), ("b", READY)]);
    tracker.take(list(8, 100 * MS, &[("a", READY), ("b", READY)]));
    let older = ReceivedList { received_at: 150 * MS, ..list(3, 50 * MS, &[("b", READY)]) };
    assert_eq!(tracker.take(older), (Decision::Older, false));
    assert_eq!(tracker.take(list(3, 200 * MS, &[("b", READY)])).0, Decision::Contradicts);
    assert_eq!(usable(&tracker), ["b"]);
}

#[test]
fn lower_numbers_replace_the_list_once_three_answers_have_kept_to_them_for_300_ms() {
    let mut tracker = tracker(&[("a", READY), ("b", READY)]);
    tracker.take(list(8, 0, &[("a", READY), ("b", READY)]));
    let now = [("a", READY), ("b", READY), ("c", READY)];
    for at in [100, 200, 300] {
        assert_eq!(tracker.take(list(3, at * MS, &now)).0, Decision::Contradicts);
    }
    assert_eq!(tracker.take(list(3, 400 * MS, &now)).0, Decision::Renumbered);
    assert_eq!(tracker.serial(), 3);
    tracker.take(list(3, 500 * MS, &now));
    assert_eq!(usable(&tracker), ["a", "b", "c"]);
}

#[test]
fn single_older_states_do_not_replace_the_list() {
    let mut tracker = tracker(&[("a", READY)]);
    tracker.take(list(8, 0, &[("a", READY), ("b", READY)]));
    tracker.take(list(8, 100 * MS, &[("a", READY), ("b", READY)]));
    for at in (200..2_000).step_by(200) {
        assert_eq!(tracker.take(list(7, at * MS, &[("a", READY)])).0, Decision::Contradicts);
        assert_eq!(
            tracker.take(list(8, (at + 100) * MS, &[("a", READY), ("b", READY)])).0,
            Decision::Confirms
        );
    }
    assert_eq!(tracker.serial(), 8);
}

#[test]
fn a_drained_worker_is_used_again_after_two_further_answers_that_were_asked_for_later() {
    let mut tracker = tracker(&[("a", READY), ("b", READY)]);
    tracker.take(list(2, 0, &[("a", DRAINING), ("b", READY)]));
    let ready = [("a", READY), ("b", READY)];
    tracker.take(list(3, 100 * MS, &ready));
    assert_eq!(usable(&tracker), ["b"]);
    assert!(tracker.awaits_confirmation());
    assert!(!tracker.repeat(110 * MS));
    assert!(tracker.repeat(120 * MS));
    assert_eq!(usable(&tracker), ["a", "b"]);
    assert!(!tracker.awaits_confirmation());
}

#[test]
fn an_answer_that_was_asked_for_before_the_drain_came_does_not_confirm() {
    let mut tracker = tracker(&[("a", READY), ("b", READY)]);
    tracker.take(list(2, 100 * MS, &[("a", DRAINING), ("b", READY)]));
    tracker.take(list(3, 100 * MS, &[("a", READY), ("b", READY)]));
    for _ in 0..5 {
        tracker.repeat(100 * MS);
    }
    assert_eq!(usable(&tracker), ["b"]);
}

#[test]
fn a_new_worker_is_used_after_one_further_answer_or_at_once_where_there_is_no_other() {
    let mut held = tracker(&[("a", READY)]);
    held.take(list(2, 0, &[("a", READY), ("b", READY)]));
    assert_eq!(usable(&held), ["a"]);
    held.repeat(10 * MS);
    assert_eq!(usable(&held), ["a", "b"]);
    let mut alone = tracker(&[("a", READY)]);
    alone.take(list(2, 0, &[("a", DRAINING), ("b", READY)]));
    assert_eq!(usable(&alone), ["b"]);
}

#[test]
fn an_older_state_under_a_higher_number_brings_no_drained_worker_back() {
    let mut tracker = tracker(&[("a", READY), ("b", READY)]);
    tracker.take(list(2, 0, &[("a", DRAINING), ("b", READY)]));
    // The state of the life before, under its number, told twice among the true answers.
    for at in [100, 300] {
        tracker.take(list(8, at * MS, &[("a", READY), ("b", READY)]));
        assert_eq!(usable(&tracker), ["b"]);
        tracker.take(list(2, (at + 100) * MS, &[("a", DRAINING), ("b", READY)]));
        assert_eq!(usable(&tracker), ["b"]);
    }
}

#[test]
fn a_list_of_the_configuration_tells_only_drains_once_the_service_has_spoken() {
    let mut tracker = tracker(&[("a", READY), ("b", READY)]);
    tracker.take(list(2, 0, &[("a", READY), ("b", READY)]));
    assert!(!tracker.offer(50 * MS, 90, workers(&[("a", READY), ("b", READY), ("gone", READY)])));
    assert!(tracker.offer(60 * MS, 91, workers(&[("a", DRAINING)])));
    assert_eq!((usable(&tracker), tracker.serial()), (vec!["b".to_string()], 2));
}

#[test]
fn a_list_of_another_origin_stands_until_the_service_speaks_under_whatever_number() {
    let mut tracker = tracker(&[("a", READY)]);
    assert!(tracker.offer(10 * MS, 41, workers(&[("a", READY), ("b", READY)])));
    assert_eq!(usable(&tracker), ["a", "b"]);
    assert_eq!(tracker.take(list(2, 20 * MS, &[("b", READY)])).0, Decision::Newer);
    assert_eq!(usable(&tracker), ["b"]);
}

#[test]
fn the_drains_of_a_doubted_list_count() {
    let mut tracker = tracker(&[("a", READY), ("b", READY), ("c", READY)]);
    assert!(tracker.doubt(0, &workers(&[("a", DRAINING), ("b", READY)]), false));
    assert_eq!(usable(&tracker), ["b", "c"]);
    assert!(tracker.doubt(1, &workers(&[("b", READY)]), true));
    assert_eq!(usable(&tracker), ["b"]);
    // An empty one tells nothing of absence.
    assert!(!tracker.doubt(2, &[], true));
    assert!(tracker.drain(3, &["b".into()]));
    assert!(usable(&tracker).is_empty());
}

#[test]
fn what_is_remembered_is_bounded_however_many_workers_come_and_go() {
    let mut tracker = tracker(&[]);
    for round in 0..400u64 {
        let ids: Vec<String> = (0..100).map(|n| format!("s{round}-{n}")).collect();
        let states: Vec<(&str, State)> = ids.iter().map(|id| (id.as_str(), READY)).collect();
        tracker.take(list(round + 2, round * 1_000 * MS, &states));
        assert!(tracker.marks.len() <= MOST_MARKS + 200, "round {round}: {}", tracker.marks.len());
    }
}

/// A name service whose answers may be late, doubled, of an older state, or of another numbering. Whatever comes in whatever
/// order, no worker is usable that an answer which has come told to drain, unless the service itself took that back.
#[test]
fn no_drained_worker_is_usable_under_random_faults_of_the_name_service() {
    for seed in 0..2_000u64 {
        let mut random = Pcg32::seed_from_u64(seed);
        let ids = ["a", "b", "c", "d", "e", "f"];
        let mut truth: Vec<(&str, State)> = ids[..3].iter().map(|id| (*id, READY)).collect();
        let mut history = vec![(101u64, truth.clone()), (1, truth.clone())];
        let mut tracker = ListTracker::new(0, 1, workers(&truth));
        let (mut serial, mut next, mut gone) = (1u64, 3, Vec::<&str>::new());
        let mut flights: Vec<(u64, ReceivedList)> = Vec::new();
        let mut told: Vec<&str> = Vec::new();
        for step in 0..200u64 {
            let now = step * 100 * MS;
            if random.next_u32() % 10 == 0 {
                let n = random.next_u32() as usize % truth.len().max(1);
                match truth.get(n).copied() {
                    Some((id, DRAINING)) => {
                        truth.remove(n);
                        gone.push(id);
                    }
                    Some((id, READY)) if random.next_u32() % 2 == 0 => truth[n] = (id, DRAINING),
                    _ if next < ids.len() => {
                        truth.push((ids[next], READY));
                        next += 1;
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
            let arrives = now + u64::from(random.next_u32() % 1_500) * MS * u64::from(fault < 5);
            let list = ReceivedList {
                serial: number,
                executors: workers(&state),
                asked_at: now,
                received_at: arrives,
            };
            flights.push((arrives, list));
            flights.sort_by_key(|(at, _)| *at);
            while flights.first().is_some_and(|(at, _)| *at <= now) {
                let (_, list) = flights.remove(0);
                let drains = list.executors.iter().filter(|e| e.state == DRAINING);
                told.extend(drains.filter_map(|e| ids.iter().find(|id| **id == &*e.id)));
                tracker.take(list);
                // Nothing is taken back in this schedule, so that what was told to drain stays out of use.
                for id in usable(&tracker) {
                    assert!(!told.contains(&id.as_str()), "seed {seed}, step {step}: {id} is usable");
                }
            }
        }
    }
}
