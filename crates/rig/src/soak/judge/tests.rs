use super::*;
use crate::soak::record::{ProcessRecord, Told};

const LIMITS: Limits = Limits {
    drain_grace: 250_000,
    repeat_window: 1_000_000,
    fall_window: 1_500_000,
    fall_multiple: 2.0,
    cold_share: 0.15,
    warm_after: 6_000_000,
};

fn request(class: Class, end: End) -> Request {
    Request {
        dispatcher: 0,
        id: "r".to_string(),
        class,
        sent_at: 1_000_000,
        waits: 1_000_000,
        end,
        ended_at: 1_100_000,
        left_at: None,
        answers: u32::from(matches!(end, End::Served | End::Refused | End::Failed)),
    }
}

fn arrival(worker: &str, at: Micros, ran: bool) -> Arrival {
    let request = Some(("r".to_string(), Class::Safe));
    Arrival {
        worker: worker.to_string(),
        dispatcher: 0,
        request,
        at,
        timed: true,
        waits_ms: None,
        ran,
        cold_since: None,
    }
}

fn process(at: Micros, life: usize, event: ProcessEvent) -> ProcessRecord {
    ProcessRecord { dispatcher: 0, life, at, event }
}

fn broken(records: &Records) -> Vec<Rule> {
    judge(records, LIMITS).into_iter().map(|b| b.rule).collect()
}

fn with(request: Request, arrivals: Vec<Arrival>) -> Records {
    Records { requests: vec![request], arrivals, ..Records::default() }
}

#[test]
fn a_request_that_was_served_in_time_breaks_nothing() {
    let records = with(request(Class::Safe, End::Served), vec![arrival("a", 1_001_000, true)]);
    assert!(broken(&records).is_empty());
}

#[test]
fn an_answer_that_never_comes_or_comes_twice_or_far_too_late_is_lost() {
    for end in [End::NoAnswer, End::ConnectionEnded, End::ServedWrong] {
        assert_eq!(broken(&with(request(Class::Safe, end), vec![])), [Rule::Lost], "{end:?}");
    }
    let twice = Request { answers: 2, ..request(Class::Safe, End::Served) };
    assert_eq!(broken(&with(twice, vec![])), [Rule::Lost]);
    let late = Request { ended_at: 2_700_000, ..request(Class::Safe, End::Served) };
    assert_eq!(broken(&with(late.clone(), vec![])), [Rule::Lost]);
    let mut stopped = with(late, vec![]);
    stopped.processes.push(process(1_200_000, 0, ProcessEvent::Paused(500_000)));
    assert!(broken(&stopped).is_empty(), "its process was stopped for as long");
}

#[test]
fn a_connection_that_ends_by_a_kill_without_warning_is_nobodys_fault_and_by_a_planned_stop_it_is() {
    let mut records = with(request(Class::Safe, End::ConnectionEnded), vec![]);
    records.processes.push(process(1_050_000, 0, ProcessEvent::Killed));
    assert!(broken(&records).is_empty());
    records.processes[0].event = ProcessEvent::KilledAtStop;
    assert_eq!(broken(&records), [Rule::Lost]);
}

#[test]
fn an_unsafe_request_runs_once_and_not_at_all_if_it_was_refused() {
    let twice = vec![arrival("a", 1_001_000, true), arrival("b", 1_002_000, true)];
    assert_eq!(broken(&with(request(Class::Unsafe, End::Served), twice)), [Rule::Duplicate]);
    let turned_away = vec![arrival("a", 1_001_000, false), arrival("b", 1_002_000, true)];
    assert!(broken(&with(request(Class::Unsafe, End::Served), turned_away)).is_empty());
    let ran = vec![arrival("a", 1_001_000, true)];
    assert_eq!(broken(&with(request(Class::Unsafe, End::Refused), ran)), [Rule::Duplicate]);
}

#[test]
fn a_keyed_request_comes_again_within_its_window_only() {
    let within = vec![arrival("a", 1_001_000, true), arrival("b", 1_900_000, true)];
    assert!(broken(&with(request(Class::Keyed, End::Served), within)).is_empty());
    let past = vec![arrival("a", 1_001_000, true), arrival("b", 2_200_000, true)];
    assert_eq!(broken(&with(request(Class::Keyed, End::Served), past)), [Rule::Duplicate]);
}

#[test]
fn a_send_after_the_grace_breaks_drain_and_counts_for_the_process_that_was_told() {
    let told = Told { dispatcher: 0, life: 0, worker: "a".to_string(), at: 2_000_000 };
    let records = |at, started: &[(Micros, usize)]| Records {
        arrivals: vec![arrival("a", at, true)],
        told: vec![told.clone()],
        processes: started.iter().map(|(at, life)| process(*at, *life, ProcessEvent::Started)).collect(),
        ..Records::default()
    };
    assert!(broken(&records(2_300_000, &[(0, 0)])).is_empty());
    assert_eq!(broken(&records(2_500_000, &[(0, 0)])), [Rule::Drain]);
    assert!(broken(&records(2_500_000, &[(0, 0), (2_400_000, 1)])).is_empty(), "a new process was not told");
}

#[test]
fn a_cold_worker_that_gets_more_than_its_share_of_a_warm_ones_load_breaks_failback() {
    let cold = |at| Arrival { cold_since: Some(1_000_000), ..arrival("cold", at, true) };
    let warm = (0..100).map(|n| arrival("warm", 1_000_000 + n * 10_000, true));
    // At its start it bears 0.3 of what a warm one carries, which is 30 and 2 roots and 2 more.
    let few = warm.clone().chain((0..30).map(|n| cold(1_990_000 + n))).collect();
    let many = warm.chain((0..80).map(|n| cold(1_990_000 + n))).collect();
    assert!(broken(&Records { arrivals: few, ..Records::default() }).is_empty());
    assert_eq!(broken(&Records { arrivals: many, ..Records::default() }), [Rule::Failback]);
}

#[test]
fn an_attempt_that_begins_long_after_its_client_left_breaks_gone() {
    let left = Request { left_at: Some(1_100_000), ..request(Class::Safe, End::Left) };
    assert!(broken(&with(left.clone(), vec![arrival("a", 1_200_000, true)])).is_empty());
    assert_eq!(broken(&with(left, vec![arrival("a", 1_400_000, true)])), [Rule::Gone]);
}

#[test]
fn an_end_without_a_signal_or_with_an_error_and_a_panic_break_crash() {
    let of = |events: &[ProcessEvent]| Records {
        processes: events.iter().map(|e| process(5, 0, *e)).collect(),
        ..Records::default()
    };
    assert!(broken(&of(&[ProcessEvent::Terminated, ProcessEvent::Ended(Some(0))])).is_empty());
    assert_eq!(broken(&of(&[ProcessEvent::Ended(Some(0))])), [Rule::Crash]);
    assert_eq!(broken(&of(&[ProcessEvent::Terminated, ProcessEvent::Ended(Some(101))])), [Rule::Crash]);
    let records = Records { outcries: vec!["panicked at".to_string()], ..Records::default() };
    assert_eq!(broken(&records), [Rule::Crash]);
}

#[test]
fn a_line_that_may_have_waited_unread_is_not_judged_by_its_time() {
    let left = Request { left_at: Some(1_100_000), ..request(Class::Safe, End::Left) };
    let waited = Arrival { timed: false, ..arrival("a", 1_400_000, true) };
    assert!(broken(&with(left, vec![waited])).is_empty());
}
