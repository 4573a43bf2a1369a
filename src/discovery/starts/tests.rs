use super::*;

const SECOND: u64 = 1_000_000;
const HOUR: u64 = 3_600 * SECOND;
/// The time of the list in these tests, long after the process's first one.
const LISTED_AT: u64 = 10 * HOUR;

fn executor(started_at: u64) -> Executor {
    Executor {
        id: "s0".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: String::new(),
        kind: String::new(),
        cell: 0,
        state: crate::discovery::ExecutorState::Ready,
        started_ms: started_at / 1_000,
        weight: 0,
    }
}

fn range(latest: u64) -> StartRange {
    StartRange { earliest_restart: latest - 2 * SECOND, earliest_new: latest - 9 * SECOND, latest }
}

/// Applies a list with one worker, and returns when its process counts as started and whether that is news.
fn apply(starts: &mut WorkerStarts, executor: &Executor, latest: u64) -> (Option<u64>, Vec<NewStart>) {
    let new = starts.apply(std::slice::from_ref(executor), range(latest), |ms| ms * 1_000);
    (starts.get(&executor.id).expect("a known worker").started_at, new)
}

#[test]
fn plausible_start_is_kept_as_announced() {
    for before in [0, SECOND, 8 * SECOND] {
        let mut starts = WorkerStarts::default();
        let (at, new) = apply(&mut starts, &executor(LISTED_AT - before), LISTED_AT);
        assert_eq!((at, new[0].limit), (Some(LISTED_AT - before), None));
    }
    let mut starts = WorkerStarts::default();
    let first_list = StartRange { earliest_new: 0, ..range(LISTED_AT) };
    starts.apply(&[executor(LISTED_AT - HOUR)], first_list, |ms| ms * 1_000);
    assert_eq!(starts.get(&"s0".into()).expect("known").started_at, Some(LISTED_AT - HOUR));
}

#[test]
fn start_outside_the_possible_range_counts_from_the_list() {
    for (started_at, limit) in
        [(LISTED_AT + HOUR, StartLimit::InFuture), (LISTED_AT - HOUR, StartLimit::TooEarly)]
    {
        let mut starts = WorkerStarts::default();
        let (at, new) = apply(&mut starts, &executor(started_at), LISTED_AT);
        assert_eq!((at, new[0].limit), (Some(LISTED_AT), Some(limit)), "as cold as it can be");
        // The same list again changes nothing.
        assert_eq!(apply(&mut starts, &executor(started_at), LISTED_AT + SECOND), (Some(LISTED_AT), vec![]));
    }
}

#[test]
fn newer_start_of_a_listed_worker_is_another_process() {
    let mut starts = WorkerStarts::default();
    apply(&mut starts, &executor(LISTED_AT), LISTED_AT);
    let restarted = LISTED_AT + 6 * SECOND;
    let (at, new) = apply(&mut starts, &executor(restarted), restarted + SECOND);
    assert_eq!(at, Some(restarted));
    assert_eq!((new[0].previous.expect("known").started_at, new[0].start.incarnation), (Some(LISTED_AT), 2));
}

#[test]
fn start_before_the_last_one_is_another_process_all_the_same() {
    let mut starts = WorkerStarts::default();
    apply(&mut starts, &executor(LISTED_AT), LISTED_AT);
    for back in [SECOND, HOUR] {
        let listed_at = LISTED_AT + HOUR;
        let (at, new) = apply(&mut starts, &executor(LISTED_AT - back), listed_at);
        assert_eq!((at, new[0].limit), (Some(listed_at), Some(StartLimit::TooEarly)));
    }
}

#[test]
fn start_that_is_withdrawn_and_announced_again_is_the_same_process() {
    let mut starts = WorkerStarts::default();
    apply(&mut starts, &executor(LISTED_AT), LISTED_AT);
    for (started_at, after) in [(0, 1), (LISTED_AT, 2), (0, 3)] {
        let (at, new) = apply(&mut starts, &executor(started_at), LISTED_AT + after * SECOND);
        assert_eq!((at, new), (Some(LISTED_AT), vec![]));
    }
    let restarted = LISTED_AT + 4 * SECOND;
    assert_eq!(apply(&mut starts, &executor(restarted), restarted).0, Some(restarted));
}

#[test]
fn worker_that_is_gone_and_back_is_known_by_its_start() {
    let mut starts = WorkerStarts::default();
    apply(&mut starts, &executor(LISTED_AT), LISTED_AT);
    assert_eq!(starts.apply(&[], range(LISTED_AT + SECOND), |ms| ms * 1_000), vec![]);
    assert_eq!(apply(&mut starts, &executor(LISTED_AT), LISTED_AT + HOUR), (Some(LISTED_AT), vec![]));
    let restarted = LISTED_AT + HOUR + SECOND;
    assert_eq!(apply(&mut starts, &executor(restarted), restarted).1.len(), 1);
}

#[test]
fn another_address_without_another_start_is_another_process() {
    for started_at in [0, LISTED_AT] {
        let mut starts = WorkerStarts::default();
        apply(&mut starts, &executor(started_at), LISTED_AT);
        let moved = Executor { address: SocketAddr::from(([127, 0, 0, 1], 10)), ..executor(started_at) };
        let (at, new) = apply(&mut starts, &moved, LISTED_AT + HOUR);
        assert_eq!((at, new[0].limit), (Some(LISTED_AT + HOUR), Some(StartLimit::Moved)));
        assert_eq!(apply(&mut starts, &moved, LISTED_AT + 2 * HOUR).1, vec![]);
    }
}

#[test]
fn successor_knows_the_starts_of_its_predecessor() {
    let mut predecessor = WorkerStarts::default();
    apply(&mut predecessor, &executor(LISTED_AT - HOUR), LISTED_AT);
    let mut successor = WorkerStarts::default();
    successor.restore(predecessor.to_vec());
    let (at, new) = apply(&mut successor, &executor(LISTED_AT - HOUR), LISTED_AT + SECOND);
    assert_eq!((at, new), (Some(LISTED_AT), vec![]));
}

#[test]
fn starts_of_unlisted_workers_are_bounded() {
    let mut starts = WorkerStarts::default();
    for n in 0..MAX_UNLISTED_STARTS as u64 + 100 {
        let entry = Executor { id: format!("s{n}").into(), ..executor(LISTED_AT) };
        apply(&mut starts, &entry, LISTED_AT + n);
    }
    assert_eq!(starts.to_vec().len(), MAX_UNLISTED_STARTS + 1);
    assert!(starts.get(&"s0".into()).is_none(), "the one unlisted for longest is evicted");
}
