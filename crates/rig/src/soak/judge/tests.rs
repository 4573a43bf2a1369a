use super::*;
use crate::soak::record::{Notice, ProcessRecord};

const LIMITS: RuleLimits = RuleLimits {
    drain_grace: 250_000,
    repeat_window: 1_000_000,
    overload_window: 1_500_000,
    overload_multiple: 2.0,
    cold_share: 0.15,
    warm_after: 6_000_000,
};

fn request(class: Class, end: RequestEnd) -> Request {
    Request {
        dispatcher: 0,
        id: "r".to_string(),
        class,
        sent_at: 1_000_000,
        timeout: 1_000_000,
        end,
        ended_at: 1_100_000,
        abandoned_at: None,
        answers: u32::from(matches!(end, RequestEnd::Served | RequestEnd::Refused | RequestEnd::Failed)),
    }
}

fn arrival(worker: &str, at: Micros, ran: bool) -> Arrival {
    let request = Some(("r".to_string(), Class::Safe));
    Arrival {
        worker: worker.to_string(),
        dispatcher: 0,
        request,
        at,
        read_on_arrival: true,
        stated_timeout_ms: None,
        ran,
        cold_since: None,
        started_ms: 0,
    }
}

fn process(at: Micros, process_number: usize, event: ProcessEvent) -> ProcessRecord {
    ProcessRecord { dispatcher: 0, process_number, at, event }
}

fn violated_rules(records: &Records) -> Vec<Rule> {
    judge(records, LIMITS).into_iter().map(|b| b.rule).collect()
}

fn records_of(request: Request, arrivals: Vec<Arrival>) -> Records {
    Records { requests: vec![request], arrivals, ..Records::default() }
}

#[test]
fn a_request_served_in_time_violates_no_rule() {
    let records = records_of(request(Class::Safe, RequestEnd::Served), vec![arrival("a", 1_001_000, true)]);
    assert!(violated_rules(&records).is_empty());
}

#[test]
fn a_missing_duplicate_or_far_too_late_answer_violates_lost() {
    for end in [RequestEnd::NoAnswer, RequestEnd::ConnectionEnded, RequestEnd::ServedWrong] {
        assert_eq!(violated_rules(&records_of(request(Class::Safe, end), vec![])), [Rule::Lost], "{end:?}");
    }
    let twice = Request { answers: 2, ..request(Class::Safe, RequestEnd::Served) };
    assert_eq!(violated_rules(&records_of(twice, vec![])), [Rule::Lost]);
    let late = Request { ended_at: 2_700_000, ..request(Class::Safe, RequestEnd::Served) };
    assert_eq!(violated_rules(&records_of(late.clone(), vec![])), [Rule::Lost]);
    let mut stopped = records_of(late, vec![]);
    stopped.processes.push(process(1_200_000, 0, ProcessEvent::Paused(500_000)));
    assert!(violated_rules(&stopped).is_empty(), "the process was stopped during the delay");
}

#[test]
fn a_connection_lost_by_sigkill_is_excused_except_in_a_planned_stop() {
    let mut records = records_of(request(Class::Safe, RequestEnd::ConnectionEnded), vec![]);
    records.processes.push(process(1_050_000, 0, ProcessEvent::Killed));
    assert!(violated_rules(&records).is_empty());
    records.processes[0].event = ProcessEvent::KilledAtStop;
    assert_eq!(violated_rules(&records), [Rule::Lost]);
}

#[test]
fn an_at_most_once_request_may_run_once_and_never_if_refused() {
    let twice = vec![arrival("a", 1_001_000, true), arrival("b", 1_002_000, true)];
    assert_eq!(
        violated_rules(&records_of(request(Class::Unsafe, RequestEnd::Served), twice)),
        [Rule::Duplicate]
    );
    let rejected_first = vec![arrival("a", 1_001_000, false), arrival("b", 1_002_000, true)];
    assert!(
        violated_rules(&records_of(request(Class::Unsafe, RequestEnd::Served), rejected_first)).is_empty()
    );
    let ran = vec![arrival("a", 1_001_000, true)];
    assert_eq!(
        violated_rules(&records_of(request(Class::Unsafe, RequestEnd::Refused), ran)),
        [Rule::Duplicate]
    );
}

#[test]
fn a_keyed_request_may_arrive_again_only_within_the_repeat_window() {
    let within = vec![arrival("a", 1_001_000, true), arrival("b", 1_900_000, true)];
    assert!(violated_rules(&records_of(request(Class::Keyed, RequestEnd::Served), within)).is_empty());
    let past = vec![arrival("a", 1_001_000, true), arrival("b", 2_200_000, true)];
    assert_eq!(
        violated_rules(&records_of(request(Class::Keyed, RequestEnd::Served), past)),
        [Rule::Duplicate]
    );
}

#[test]
fn a_send_after_the_drain_grace_violates_drain_only_for_the_notified_process() {
    let notice =
        Notice { dispatcher: 0, process_number: 0, worker: "a".to_string(), started_ms: 0, at: 2_000_000 };
    let records = |at, started: &[(Micros, usize)]| Records {
        arrivals: vec![arrival("a", at, true)],
        drain_notices: vec![notice.clone()],
        processes: started
            .iter()
            .map(|(at, process_number)| process(*at, *process_number, ProcessEvent::Started))
            .collect(),
        ..Records::default()
    };
    assert!(violated_rules(&records(2_300_000, &[(0, 0)])).is_empty());
    assert_eq!(violated_rules(&records(2_500_000, &[(0, 0)])), [Rule::Drain]);
    assert!(
        violated_rules(&records(2_500_000, &[(0, 0), (2_400_000, 1)])).is_empty(),
        "the new process received no notice"
    );
}

#[test]
fn a_cold_worker_with_more_than_its_share_of_requests_violates_failback() {
    let cold = |at| Arrival { cold_since: Some(1_000_000), ..arrival("cold", at, true) };
    let warm = (0..100).map(|n| arrival("warm", 1_000_000 + n * 10_000, true));
    // At its start it may get 0.3 of the 100 requests of the warm worker: 30, and 2 square roots and 2 more as tolerance.
    let few = warm.clone().chain((0..30).map(|n| cold(1_990_000 + n))).collect();
    let many = warm.chain((0..80).map(|n| cold(1_990_000 + n))).collect();
    assert!(violated_rules(&Records { arrivals: few, ..Records::default() }).is_empty());
    assert_eq!(violated_rules(&Records { arrivals: many, ..Records::default() }), [Rule::Failback]);
}

#[test]
fn an_attempt_long_after_its_client_abandoned_the_request_violates_gone() {
    let abandoned = Request { abandoned_at: Some(1_100_000), ..request(Class::Safe, RequestEnd::Abandoned) };
    assert!(violated_rules(&records_of(abandoned.clone(), vec![arrival("a", 1_200_000, true)])).is_empty());
    assert_eq!(violated_rules(&records_of(abandoned, vec![arrival("a", 1_400_000, true)])), [Rule::Gone]);
}

#[test]
fn an_exit_without_a_signal_an_error_code_or_a_panic_violates_crash() {
    let of = |events: &[ProcessEvent]| Records {
        processes: events.iter().map(|e| process(5, 0, *e)).collect(),
        ..Records::default()
    };
    assert!(violated_rules(&of(&[ProcessEvent::Terminated, ProcessEvent::Ended(Some(0))])).is_empty());
    assert_eq!(violated_rules(&of(&[ProcessEvent::Ended(Some(0))])), [Rule::Crash]);
    assert_eq!(
        violated_rules(&of(&[ProcessEvent::Terminated, ProcessEvent::Ended(Some(101))])),
        [Rule::Crash]
    );
    let records = Records { process_errors: vec!["panicked at".to_string()], ..Records::default() };
    assert_eq!(violated_rules(&records), [Rule::Crash]);
}

#[test]
fn a_line_that_may_have_waited_in_the_accept_queue_is_not_judged_by_its_time() {
    let abandoned = Request { abandoned_at: Some(1_100_000), ..request(Class::Safe, RequestEnd::Abandoned) };
    let waited = Arrival { read_on_arrival: false, ..arrival("a", 1_400_000, true) };
    assert!(violated_rules(&records_of(abandoned, vec![waited])).is_empty());
}
