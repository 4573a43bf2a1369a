//! One small scenario for each failure of the decision module that was found or foreseen. No sockets and no
//! clock: each test passes events to a router and checks its actions.

use ochreward::*;
use serde_json::json;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

fn class(effect: Effect) -> Class {
    Class {
        latency_target: 500 * MS,
        deadline: 4 * S,
        effect,
        key_scope: KeyScope::Zone,
        repeat_window: 3 * S,
        credit: 1.0,
        late_worth: 0.1,
    }
}

fn settings() -> Settings {
    Settings {
        dispatcher_count: 1,
        own_index: 0,
        own_zone: 0,
        classes: vec![class(Effect::Idempotent), class(Effect::Deduplicated), class(Effect::AtMostOnce)],
        tenant_quotas: vec![],
        over_share_worth: 0.1,
        report_fields: vec![ReportField::Inflight],
        max_attempts: 4,
        may_duplicate: true,
        may_cancel: true,
        max_retry_after: S,
        min_batch_interval: MS,
        cold_share: 0.2,
        warm_after: 10 * S,
        fall_multiple: 2.0,
        fall_window: S,
        load_orders_allowed: false,
        loads_on_miss: true,
        keep_alive: 10 * S,
        load_window: 0,
        loads_anyway: 0.0,
        loads_per_request: 0.0,
        cross_zone_price: 0.01,
        fetch_price: 0.1,
        memory_price: 0.0,
        list_on_request: false,
    }
}

/// Settings whose aims leave room for a load after the hedge delay.
fn settings_with_long_aims() -> Settings {
    let mut set = settings();
    set.classes.iter_mut().for_each(|c| c.latency_target = 3200 * MS);
    set
}

/// A router under test with its clock and the actions of the last event.
struct TestRouter {
    router: Router,
    now: Micros,
    out: Vec<Action>,
    next_id: RequestId,
}

impl TestRouter {
    fn new(settings: Settings, seed: u64, workers: usize) -> TestRouter {
        let mut test = TestRouter { router: Router::new(settings, seed, 0), now: 0, out: vec![], next_id: 1 };
        test.list(true, (0..workers).map(|n| healthy(n, None)).collect());
        test
    }

    fn handle(&mut self, event: Event) -> &[Action] {
        self.out.clear();
        self.router.handle(self.now, &event, &mut self.out);
        &self.out
    }

    fn list(&mut self, complete: bool, entries: Vec<WorkerEntry>) {
        self.handle(Event::Workers { complete, entries });
    }

    fn request(&mut self, class: usize, function: &str, time_left: Micros) -> RequestId {
        self.request_for(0, class, function, time_left)
    }

    fn request_for(&mut self, tenant: usize, class: usize, function: &str, time_left: Micros) -> RequestId {
        let id = self.next_id;
        self.next_id += 1;
        let (function, load_time) = (function.into(), Some(600 * MS));
        self.handle(Event::Request {
            id,
            class,
            tenant,
            function,
            replica_concurrency: 2.0,
            load_time,
            work_hint: None,
            is_retry: false,
            time_left,
        });
        id
    }

    fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
        found: ReplicaStatus,
        latency: Micros,
    ) {
        let last = outcome == Outcome::Ok;
        let (crowd, report) = (None, vec![]);
        self.handle(Event::AttemptEnded {
            id,
            attempt,
            is_final: last,
            outcome,
            found,
            concurrent_requests: crowd,
            latency,
            report,
        });
    }

    /// Returns the worker that the last actions sent to.
    fn sent_to(&self) -> Option<WorkerId> {
        self.out.iter().find_map(|a| match a {
            Action::Send { worker, .. } => Some(worker.clone()),
            _ => None,
        })
    }

    fn refused(&self) -> bool {
        self.out.iter().any(|a| matches!(a, Action::Refuse { .. }))
    }

    /// Sends `count` requests for the function, each answered by a warm replica in 100 ms.
    fn serve_warm(&mut self, class: usize, function: &str, count: usize) {
        for _ in 0..count {
            let id = self.request(class, function, 4 * S);
            self.now += 100 * MS;
            self.end_attempt(id, 0, Outcome::Ok, ReplicaStatus::Warm, 100 * MS);
        }
    }

    /// Leaves a request for a fast function unanswered beyond the hedge delay.
    fn request_past_hedge_delay(&mut self, class: usize, function: &str) -> RequestId {
        self.warm_up(class, function);
        self.serve_warm(class, function, 20);
        let id = self.request(class, function, 4 * S);
        self.now += 1_500 * MS;
        self.handle(Event::Timer { cookie: id });
        id
    }

    /// Sends a request for the function and answers it after a load, so that the chosen worker holds a replica.
    fn warm_up(&mut self, class: usize, function: &str) -> WorkerId {
        let id = self.request(class, function, 4 * S);
        let worker = self.sent_to().expect("sent");
        self.now += 700 * MS;
        self.end_attempt(id, 0, Outcome::Ok, ReplicaStatus::LoadStarted, 700 * MS);
        worker
    }
}

fn worker_id(n: usize) -> WorkerId {
    format!("w{n}").into()
}

fn healthy(n: usize, ready_at: Option<Micros>) -> WorkerEntry {
    WorkerEntry {
        worker: worker_id(n),
        zone: n % 2,
        kind: 0,
        cell: n,
        standing: WorkerStatus::Healthy,
        ready_at,
        size: 0.0,
    }
}

#[test]
fn requests_go_to_the_warm_replica_while_a_lane_is_free() {
    let mut test = TestRouter::new(settings(), 1, 6);
    let worker = test.warm_up(0, "f");
    test.request(0, "f", 4 * S);
    assert_eq!(test.sent_to(), Some(worker.clone()));
    // The second lane of the replica is used as well. Only then is a queue there compared with a load elsewhere.
    test.request(0, "f", 4 * S);
    assert_eq!(test.sent_to(), Some(worker));
}

#[test]
fn a_replica_idle_past_its_keep_alive_is_not_assumed_loaded() {
    let mut test = TestRouter::new(settings(), 1, 6);
    test.warm_up(0, "f");
    test.now += 11 * S;
    test.request(0, "f", 500 * MS);
    assert!(test.refused(), "a load does not fit into the time left: {:?}", test.out);
}

#[test]
fn a_request_that_cannot_finish_in_time_is_refused_with_a_retry_after() {
    let mut test = TestRouter::new(settings(), 1, 6);
    let id = test.request(0, "f", 300 * MS);
    let retry_after = test.out.iter().find_map(|a| match a {
        Action::Refuse { id: refused, retry_after } if *refused == id => Some(*retry_after),
        _ => None,
    });
    assert!(retry_after.is_some_and(|h| h > 0 && h <= S), "{:?}", test.out);
}

#[test]
fn routers_without_observations_choose_the_same_cold_worker() {
    let choice = |seed| {
        let mut test = TestRouter::new(settings(), seed, 12);
        (0..20).map(|n| test.warm_up(0, &format!("f{n}"))).collect::<Vec<_>>()
    };
    assert_eq!(choice(1), choice(2));
}

#[test]
fn a_draining_or_removed_worker_gets_no_requests() {
    let mut test = TestRouter::new(settings(), 1, 2);
    let worker = test.warm_up(0, "f");
    let other = if worker == worker_id(0) { 1 } else { 0 };
    test.list(false, vec![WorkerEntry { standing: WorkerStatus::Draining, ..healthy(1 - other, None) }]);
    test.request(0, "f", 4 * S);
    assert_eq!(test.sent_to(), Some(worker_id(other)));
    test.list(true, vec![]);
    test.request(0, "f", 4 * S);
    assert!(test.refused(), "there is no worker left");
}

#[test]
fn a_worker_restart_clears_its_replicas() {
    let mut test = TestRouter::new(settings(), 1, 1);
    test.warm_up(0, "f");
    let now = test.now;
    test.list(false, vec![healthy(0, Some(now))]);
    test.request(0, "f", 500 * MS);
    assert!(test.refused(), "the copy was lost with the restart");
}

#[test]
fn an_at_most_once_request_that_may_have_run_is_neither_resent_nor_refused() {
    let mut test = TestRouter::new(settings(), 1, 6);
    let id = test.request(2, "f", 4 * S);
    test.end_attempt(id, 0, Outcome::Error, ReplicaStatus::NotReported, 10 * MS);
    assert_eq!(test.out, vec![Action::Fail { id }]);
    let id = test.request(2, "f", 4 * S);
    test.end_attempt(id, 0, Outcome::Full, ReplicaStatus::NotReported, 10 * MS);
    assert!(test.sent_to().is_some(), "a full worker proves that it never ran");
}

#[test]
fn a_keyed_request_that_may_have_run_is_resent_only_in_its_key_scope_and_repeat_window() {
    let mut test = TestRouter::new(settings(), 1, 6);
    let id = test.request(1, "f", 4 * S);
    let zone = |w: &WorkerId| w[1..].parse::<usize>().expect("a number") % 2;
    let first = test.sent_to().expect("sent");
    test.end_attempt(id, 0, Outcome::Reset, ReplicaStatus::NotReported, 10 * MS);
    assert_eq!(zone(&test.sent_to().expect("resent")), zone(&first));
    test.now += 2900 * MS;
    test.end_attempt(id, 1, Outcome::Reset, ReplicaStatus::NotReported, 10 * MS);
    assert_eq!(test.out, vec![Action::Fail { id }], "the window is about to close");
}

#[test]
fn an_unanswered_request_is_hedged_unless_its_worker_answers_others() {
    for answers_others in [false, true] {
        let mut test = TestRouter::new(settings_with_long_aims(), 1, 2);
        let worker = test.warm_up(0, "f");
        test.serve_warm(0, "f", 20);
        let slow = test.request(0, "f", 4 * S);
        assert_eq!(test.sent_to(), Some(worker.clone()));
        test.now += 1_200 * MS;
        if answers_others {
            let id = test.request(0, "f", 4 * S);
            assert_eq!(test.sent_to(), Some(worker.clone()));
            test.now += 100 * MS;
            test.end_attempt(id, 0, Outcome::Ok, ReplicaStatus::Warm, 100 * MS);
        }
        test.now += 500 * MS;
        test.handle(Event::Timer { cookie: slow });
        assert_eq!(test.sent_to().is_some(), !answers_others, "{:?}", test.out);
        assert_ne!(test.sent_to(), Some(worker));
    }
}

#[test]
fn without_duplicates_an_unanswered_attempt_is_cancelled_before_the_resend() {
    let mut test = TestRouter::new(Settings { may_duplicate: false, ..settings() }, 1, 3);
    let worker = test.warm_up(0, "f");
    let id = test.request(0, "f", 4 * S);
    test.now += 1_500 * MS;
    test.handle(Event::Timer { cookie: id });
    assert!(test.out.contains(&Action::Cancel { id, attempt: 0 }), "{:?}", test.out);
    assert_eq!(test.sent_to(), None);
    test.now += 700 * MS;
    test.handle(Event::Timer { cookie: id });
    test.end_attempt(id, 0, Outcome::Cancelled, ReplicaStatus::NotReported, 1300 * MS);
    assert!(test.sent_to().is_some_and(|w| w != worker), "{:?}", test.out);
}

#[test]
fn a_worker_that_fails_fast_does_not_attract_traffic() {
    let mut test = TestRouter::new(settings(), 1, 3);
    let bad = test.warm_up(0, "f");
    let mut sends = 0;
    for _ in 0..30 {
        let id = test.request(0, "f", 4 * S);
        for attempt in 0..3 {
            test.now += 5 * MS;
            let Some(worker) = test.sent_to() else { break };
            let fails = worker == bad;
            sends += usize::from(fails);
            let outcome = if fails { Outcome::Error } else { Outcome::Ok };
            test.end_attempt(
                id,
                attempt,
                outcome,
                if fails { ReplicaStatus::NotReported } else { ReplicaStatus::Warm },
                5 * MS,
            );
        }
    }
    assert!(sends < 12, "{sends} sends to a worker that only fails");
}

#[test]
fn requests_that_fail_everywhere_do_not_count_against_a_worker() {
    let mut test = TestRouter::new(settings(), 1, 3);
    let warm = test.warm_up(0, "f");
    test.serve_warm(0, "f", 5);
    for n in 0..60 {
        let id = test.request(0, &format!("nobody's-{n}"), 4 * S);
        for attempt in 0..3 {
            test.now += 5 * MS;
            let Some(worker) = test.sent_to() else { break };
            let outcome = if worker == warm { Outcome::Error } else { Outcome::Miss };
            test.end_attempt(id, attempt, outcome, ReplicaStatus::NotReported, 5 * MS);
        }
    }
    test.request(0, "f", 4 * S);
    assert_eq!(test.sent_to(), Some(warm), "a good worker is avoided because of bad requests");
}

#[test]
fn a_broken_connection_keeps_the_replicas_and_the_worker_in_use() {
    for outcome in [Outcome::Reset, Outcome::Unknown] {
        let mut test = TestRouter::new(settings(), 1, 3);
        let worker = test.warm_up(0, "f");
        test.serve_warm(0, "f", 20);
        let open: Vec<RequestId> = (0..4).map(|_| test.request(0, "f", 4 * S)).collect();
        test.now += 10 * MS;
        for id in open {
            test.end_attempt(id, 0, outcome, ReplicaStatus::NotReported, 10 * MS);
        }
        test.now += 1_000 * MS;
        let id = test.request(0, "f", 4 * S);
        assert_eq!(test.sent_to(), Some(worker), "{outcome:?}");
        // The hedge delay is a multiple of the expected time. It is short here, because no load is expected.
        let latest = Action::Timer { at: test.now + 2_500 * MS, cookie: id };
        let hedged_early = |a: &Action| matches!((a, &latest), (Action::Timer { at, .. }, Action::Timer { at: most, .. }) if at < most);
        assert!(test.out.iter().any(hedged_early), "{outcome:?}: {:?}", test.out);
    }
}

#[test]
fn recently_used_replicas_are_renewed_within_the_load_ration() {
    let rationed = Settings {
        load_orders_allowed: true,
        load_window: 5 * S,
        loads_anyway: 6.0,
        loads_per_request: 0.3,
        ..settings()
    };
    let mut test = TestRouter::new(rationed, 1, 3);
    let replicas: Vec<(String, WorkerId)> =
        (0..20).map(|n| (format!("f{n}"), test.warm_up(0, &format!("f{n}")))).collect();
    let mut orders: Vec<(Micros, FunctionId)> = Vec::new();
    let mut taken: Vec<Micros> = Vec::new();
    for _ in 0..400 {
        test.now += 50 * MS;
        taken.push(test.now);
        let id = test.request(0, "other", 4 * S);
        let loads: Vec<_> = test.out.iter().filter(|a| matches!(a, Action::Load { .. })).cloned().collect();
        for load in loads {
            let Action::Load { worker, function, replicas: 1 } = load else { panic!("{load:?}") };
            assert!(replicas.iter().any(|(f, w)| **f == *function && *w == worker) || &*function == "other");
            orders.push((test.now, function));
            let since = test.now - 5 * S;
            let within =
                |times: &mut dyn Iterator<Item = Micros>| times.filter(|t| *t > since).count() as f64;
            let ordered = within(&mut orders.iter().map(|o| o.0));
            assert!(
                ordered <= 6.0 + 0.3 * within(&mut taken.iter().copied()),
                "{ordered} orders by {}",
                test.now
            );
        }
        test.end_attempt(id, 0, Outcome::Ok, ReplicaStatus::Warm, 0);
    }
    // The last of the replicas is renewed, and replicas without requests are dropped in the end.
    assert!(orders.iter().any(|(_, f)| &**f == "f19"), "{orders:?}");
    let before = orders.len();
    test.now += 60 * S;
    test.request(0, "other", 4 * S);
    assert!(
        !test.out.iter().any(|a| matches!(a, Action::Load { .. })),
        "{before} orders, then {:?}",
        test.out
    );
}

#[test]
fn the_price_of_crossing_zones_affects_the_choice_but_refuses_nothing() {
    let mut test = TestRouter::new(Settings { cross_zone_price: 0.04, ..settings() }, 1, 1);
    // The only worker is in the other zone. Its estimate is within the time left; with the price added it
    // would not be.
    test.list(true, vec![WorkerEntry { zone: 1, ..healthy(0, None) }]);
    test.warm_up(0, "f");
    test.serve_warm(0, "f", 30);
    test.request(0, "f", 250 * MS);
    assert!(test.sent_to().is_some(), "{:?}", test.out);
    // With warm replicas in both zones, the one in the router's own zone is chosen though it is no faster.
    let mut test = TestRouter::new(Settings { cross_zone_price: 0.04, ..settings() }, 1, 2);
    test.list(true, vec![healthy(1, None)]);
    assert_eq!(test.warm_up(0, "f"), worker_id(1));
    test.list(true, vec![healthy(0, None)]);
    assert_eq!(test.warm_up(0, "f"), worker_id(0));
    test.list(true, vec![healthy(0, None), healthy(1, None)]);
    for _ in 0..20 {
        let id = test.request(0, "f", 4 * S);
        assert_eq!(test.sent_to(), Some(worker_id(0)));
        test.now += 100 * MS;
        test.end_attempt(id, 0, Outcome::Ok, ReplicaStatus::Warm, 100 * MS);
    }
}

#[test]
fn tables_stay_bounded_as_workers_and_functions_come_and_go() {
    let mut test = TestRouter::new(settings(), 1, 4);
    let kept = test.warm_up(0, "kept");
    for n in 0..3_000 {
        test.now += 20 * S;
        let workers =
            [kept.clone(), worker_id(10 + n)].map(|worker| WorkerEntry { worker, ..healthy(0, None) });
        test.list(true, workers.to_vec());
        test.warm_up(0, &format!("f{n}"));
    }
    let (workers, functions, requests) = test.router.entry_counts();
    assert!(workers <= 8 && functions <= 1024 && requests == 0, "{workers} {functions} {requests}");
    test.list(true, vec![WorkerEntry { worker: kept.clone(), ..healthy(0, None) }]);
    assert_eq!(test.warm_up(0, "kept"), kept);
}

#[test]
fn a_worker_that_rejects_gets_few_requests_and_misses_do_not_exhaust_the_resend_budget() {
    let mut test = TestRouter::new(settings(), 1, 2);
    let full = test.warm_up(0, "f");
    test.serve_warm(0, "f", 10);
    let mut rejected = 0;
    for n in 0..60 {
        let id = test.request(0, "f", 4 * S);
        test.now += 5 * MS;
        let mut attempt = 0;
        if test.sent_to().expect("sent") == full {
            rejected += 1;
            test.end_attempt(id, attempt, Outcome::Full, ReplicaStatus::NotReported, 5 * MS);
            attempt += 1;
        }
        assert!(test.sent_to().is_some_and(|w| w != full) || attempt == 0, "request {n}: {:?}", test.out);
        test.now += 95 * MS;
        test.end_attempt(id, attempt, Outcome::Ok, ReplicaStatus::Warm, 95 * MS);
    }
    assert!(rejected < 20, "{rejected} of 60 went to a worker that rejects all");
    // A miss proves that nothing ran: twenty in a row are all resent.
    let mut test = TestRouter::new(settings(), 1, 3);
    for n in 0..20 {
        let id = test.request(0, &format!("f{n}"), 4 * S);
        test.end_attempt(id, 0, Outcome::Miss, ReplicaStatus::NotReported, 5 * MS);
        assert!(test.sent_to().is_some(), "request {n}: {:?}", test.out);
        test.end_attempt(id, 1, Outcome::Ok, ReplicaStatus::Warm, 100 * MS);
    }
}

#[test]
fn a_refusal_because_of_a_queue_carries_a_retry_after() {
    let mut test = TestRouter::new(settings(), 1, 1);
    test.warm_up(0, "f");
    test.serve_warm(0, "f", 10);
    while !test.refused() {
        test.request(0, "f", 4 * S);
    }
    let has_retry_after = |a: &Action| matches!(a, Action::Refuse { retry_after, .. } if *retry_after > 0);
    assert!(test.out.iter().any(has_retry_after), "{:?}", test.out);
}

#[test]
fn all_routers_together_use_a_cold_worker_and_stay_within_its_budget() {
    for balancers in [1, 2, 40, 200] {
        let mut routers: Vec<TestRouter> = (0..balancers)
            .map(|me| {
                TestRouter::new(
                    Settings { dispatcher_count: balancers, own_index: me, ..settings() },
                    me as u64,
                    0,
                )
            })
            .collect();
        // Each router always has a request to send there, and every request takes the expected 125 ms.
        let mut sends: Vec<Micros> = vec![];
        for test in &mut routers {
            test.now = 100 * S;
            test.list(true, vec![healthy(0, Some(100 * S))]);
        }
        for step in 0..60 {
            for test in &mut routers {
                test.now = 100 * S + step * 100 * MS;
                let id = test.request(0, "f", 4 * S);
                if test.sent_to().is_some() {
                    sends.push(test.now);
                    test.end_attempt(id, 0, Outcome::Ok, ReplicaStatus::Warm, 125 * MS);
                }
            }
        }
        for end in sends.iter().copied() {
            let window = sends.iter().filter(|t| (end.saturating_sub(S) + 1..=end).contains(*t)).count();
            let share = 0.2 + 0.8 * (end - 100 * S) as f64 / 10e6;
            let most = 2.0 * share * 1e6 / 125e3;
            assert!(window as f64 <= most.max(1.0), "{balancers} routers sent {window} of {most} by {end}");
        }
        let least = 8; // of about 33 that one core could take in these six seconds
        assert!(sends.len() >= least, "{balancers} routers left a cold worker idle: {}", sends.len());
    }
}

#[test]
fn a_request_with_little_time_is_sent_to_a_home_that_is_probably_warm() {
    let mut test = TestRouter::new(Settings { dispatcher_count: 80, ..settings() }, 1, 6);
    (0..4).for_each(|n| test.serve_warm(0, &format!("f{n}"), 1));
    // The expected load time and the run together exceed these 160 ms; the run alone does not.
    test.request(0, "new", 160 * MS);
    assert!(test.sent_to().is_some(), "{:?}", test.out);
}

#[test]
fn a_hedged_request_does_not_load_a_replica_that_would_miss_the_aim() {
    let mut test = TestRouter::new(settings(), 1, 2);
    test.request_past_hedge_delay(0, "f");
    assert_eq!(test.sent_to(), None, "a load of 600 ms can't end within the aim of 500 ms");
}

#[test]
fn losses_of_one_class_at_a_worker_do_not_affect_another_class() {
    let mut test = TestRouter::new(settings_with_long_aims(), 1, 2);
    let worker = test.warm_up(1, "g");
    let other = (0..20).map(|n| format!("f{n}")).find(|f| test.warm_up(0, f) == worker).expect("same worker");
    test.warm_up(1, "g");
    for _ in 0..4 {
        let id = test.request(1, "g", 4 * S);
        if test.sent_to() == Some(worker.clone()) {
            test.end_attempt(id, 0, Outcome::Error, ReplicaStatus::NotReported, MS);
        }
    }
    test.request(1, "g", 4 * S);
    assert_ne!(test.sent_to(), Some(worker.clone()), "its failures count");
    test.request(0, &other, 4 * S);
    assert_eq!(test.sent_to(), Some(worker), "the other class is served there as usual");
}

#[test]
fn the_repeat_window_counts_from_a_first_send_that_proved_not_to_have_run() {
    let mut test = TestRouter::new(settings_with_long_aims(), 1, 6);
    let id = test.request_past_hedge_delay(1, "f");
    assert!(test.sent_to().is_some(), "hedged after the delay");
    test.end_attempt(id, 0, Outcome::Miss, ReplicaStatus::LoadFailed, 1_500 * MS);
    test.now += 1000 * MS;
    test.end_attempt(id, 1, Outcome::Reset, ReplicaStatus::NotReported, 1000 * MS);
    assert_eq!(test.sent_to(), None, "2.5 s of 3 have passed since the first send");
}

#[test]
fn homes_are_assumed_warm_once_answers_show_that_other_routers_keep_them_warm() {
    for others_keep_it in [true, false] {
        let mut test = TestRouter::new(Settings { dispatcher_count: 80, ..settings() }, 1, 6);
        for n in 0..12 {
            let id = test.request(0, &format!("f{n}"), 4 * S);
            assert!(test.sent_to().is_some());
            test.now += 100 * MS;
            let (found, took) = match others_keep_it {
                true => (ReplicaStatus::Warm, 100 * MS),
                false => (ReplicaStatus::LoadStarted, 700 * MS),
            };
            test.end_attempt(id, 0, Outcome::Ok, found, took);
        }
        test.request(0, "new", 500 * MS);
        assert_eq!(test.sent_to().is_some(), others_keep_it, "{:?}", test.out);
    }
}

#[test]
fn a_few_lost_attempts_in_a_zone_count_against_its_other_workers() {
    // Twenty workers are in the router's own zone, which is lost, and twenty in the other.
    let set = Settings { dispatcher_count: 100, own_zone: 1, ..settings() };
    let mut test = TestRouter::new(set, 1, 40);
    let mut failed = 0;
    for n in 0..60 {
        test.now += 120 * MS;
        let id = test.request(0, &format!("f{n}"), 4 * S);
        for attempt in 0.. {
            let Some(worker) = test.sent_to() else { break };
            let number: usize = worker[1..].parse().expect("a number");
            if number.is_multiple_of(2) {
                test.end_attempt(id, attempt, Outcome::Ok, ReplicaStatus::Warm, 100 * MS);
                break;
            }
            failed += 1;
            test.end_attempt(id, attempt, Outcome::ConnectFailed, ReplicaStatus::NotReported, MS);
        }
    }
    assert!(failed <= 10, "{failed} attempts went to a zone that is lost");
}

#[test]
fn a_worker_that_has_just_become_a_home_is_not_assumed_warm() {
    let mut test = TestRouter::new(Settings { dispatcher_count: 2, ..settings() }, 1, 6);
    // Answers show that other routers keep functions warm at their homes.
    for n in 0..40 {
        let id = test.request(0, &format!("f{n}"), 4 * S);
        test.now += 50 * MS;
        test.end_attempt(id, 0, Outcome::Ok, ReplicaStatus::Warm, 50 * MS);
    }
    let home = test.warm_up(0, "f");
    test.request(0, "f", 500 * MS);
    assert_eq!(test.sent_to(), Some(home.clone()));
    let gone = WorkerEntry { standing: WorkerStatus::Removed, worker: home, ..healthy(0, None) };
    test.list(false, vec![gone]);
    // The load takes 600 ms.
    test.request(0, "f", 500 * MS);
    assert!(test.refused(), "sent to a copy that no router can have loaded yet");
}

#[test]
fn a_request_ends_at_its_deadline_without_any_outcome() {
    let mut test = TestRouter::new(settings(), 1, 2);
    let id = test.request(1, "f", 2 * S);
    test.now += 2 * S;
    test.handle(Event::Timer { cookie: id });
    assert!(test.out.contains(&Action::Fail { id }), "{:?}", test.out);
    test.end_attempt(id, 0, Outcome::Timeout, ReplicaStatus::NotReported, 2 * S);
    assert!(test.out.is_empty(), "actions after the request ended: {:?}", test.out);
}

#[test]
fn a_slow_worker_is_abandoned_for_a_peer() {
    let mut test = TestRouter::new(settings(), 1, 2);
    let slow = test.warm_up(0, "f");
    test.serve_warm(0, "f", 20);
    test.request(0, "other", 0);
    let mut sent_to_slow = 0;
    while test.sent_to().is_none_or(|w| w == slow) {
        sent_to_slow += 1;
        assert!(
            sent_to_slow < 20,
            "a worker many times slower than its peer is still used; a load at the peer would be faster"
        );
        let id = test.request(0, "f", 4 * S);
        if test.sent_to() == Some(slow.clone()) {
            test.now += 100 * MS; // shorter than the latency: as if several requests were under way at once
            let sent = std::mem::take(&mut test.out);
            test.end_attempt(id, 0, Outcome::Ok, ReplicaStatus::Warm, 1200 * MS);
            test.out = sent;
        }
    }
}

#[test]
fn a_queue_that_would_miss_the_aim_spreads_to_idle_workers_and_is_refused_without_any() {
    for (workers, spread) in [(2, true), (1, false)] {
        let mut test = TestRouter::new(settings(), 1, workers);
        let hot = test.warm_up(0, "f");
        let mut elsewhere = 0;
        for _ in 0..12 {
            test.request(0, "f", 4 * S);
            elsewhere += usize::from(test.sent_to().is_some_and(|w| w != hot));
        }
        assert_eq!(elsewhere > 0, spread);
        assert!(test.refused(), "twelve at once are too many even for two: {:?}", test.out);
    }
}

#[test]
fn a_request_beyond_its_tenants_quota_is_not_queued() {
    let mut test = TestRouter::new(Settings { tenant_quotas: vec![1_000.0, 2.0], ..settings() }, 1, 1);
    test.warm_up(0, "f");
    let mut served = [0, 0];
    for _ in 0..3 {
        for tenant in [1, 0] {
            test.request_for(tenant, 0, "f", 4 * S);
            served[tenant] += usize::from(test.sent_to().is_some());
        }
    }
    assert_eq!(served, [3, 2], "the third of tenant 1 is beyond its quota and would have to queue");
}

#[test]
fn an_estimate_learned_under_overload_does_not_refuse_forever() {
    let mut test = TestRouter::new(settings(), 1, 2);
    test.warm_up(0, "f");
    for _ in 0..60 {
        let id = test.request(0, "f", 60 * S);
        test.now += 100 * MS; // shorter than the latency: as if several requests were under way at once
        test.end_attempt(id, 0, Outcome::Ok, ReplicaStatus::Warm, 20 * S);
    }
    test.request(0, "f", 2 * S);
    assert!(test.refused(), "the long run times were not learned: {:?}", test.out);
    test.now += 60 * S;
    let refusals = (0..200).take_while(|_| {
        test.request(0, "f", 2 * S);
        test.refused()
    });
    assert!(refusals.count() < 200, "200 refusals in a row: the estimate is never corrected");
}

#[test]
fn invalid_settings_and_events_are_ignored() {
    let absurd = Settings {
        dispatcher_count: 0,
        keep_alive: 0,
        max_attempts: 0,
        cold_share: -1.0,
        fall_multiple: f64::NAN,
        fall_window: 0,
        warm_after: 0,
        classes: vec![Class { latency_target: 0, ..class(Effect::Idempotent) }],
        ..settings()
    };
    for set in [settings(), absurd] {
        let mut test = TestRouter::new(set, 1, 2);
        (test.next_id, test.now) = (50, S);
        test.end_attempt(99, 7, Outcome::Ok, ReplicaStatus::Warm, 0);
        test.handle(Event::Timer { cookie: u64::MAX });
        test.handle(Event::Abandoned { id: 99 });
        test.handle(Event::Streaming { id: 99 });
        let (worker, function) = ("never seen".into(), "never asked".into());
        let (outcome, latency) = (Outcome::Ok, 0);
        test.handle(Event::Loaded { worker, function, outcome, latency, replicas: 3 });
        let (function, load_time) = ("f".into(), Some(0));
        let odd = Event::Request {
            id: 5,
            class: 77,
            tenant: 9,
            function,
            replica_concurrency: f64::NAN,
            load_time,
            work_hint: None,
            is_retry: false,
            time_left: 0,
        };
        test.handle(odd);
        assert!(test.refused(), "a class that the settings lack: {:?}", test.out);
        let (function, load_time) = ("g".into(), Some(Micros::MAX));
        let (id, time_left) = (6, Micros::MAX);
        test.handle(Event::Request {
            id,
            class: 0,
            tenant: 9,
            function,
            replica_concurrency: -1.0,
            load_time,
            work_hint: None,
            is_retry: false,
            time_left,
        });
        test.handle(Event::Timer { cookie: 6 });
        let id = test.request(0, "f", S);
        test.end_attempt(id, 9, Outcome::Ok, ReplicaStatus::Warm, 1);
        test.end_attempt(id, 0, Outcome::Unknown, ReplicaStatus::NotReported, 0);
    }
}

/// Returns what the router has learned, serialised for the handover to another process.
fn handover_text(test: &TestRouter) -> String {
    serde_json::to_string(&test.router.learned()).expect("written")
}

/// Creates a router that inherits the handover, and returns whether it was accepted.
fn successor(set: Settings, now: Micros, handover: &str, workers: usize) -> (bool, TestRouter) {
    let mut test = TestRouter { router: Router::new(set.clone(), 9, now), now, out: vec![], next_id: 1 };
    let learned = serde_json::from_str::<ochreward::control::LearnedState>(handover);
    let taken = learned.is_ok_and(|l| test.router.restore(now, l));
    test.router.configure(set, &[]);
    test.list(true, (0..workers).map(|n| healthy(n, None)).collect());
    (taken, test)
}

#[test]
fn a_successor_inherits_replicas_and_learned_times() {
    let mut old = TestRouter::new(settings(), 1, 6);
    let warm = old.warm_up(0, "f");
    old.serve_warm(0, "f", 20);
    let (taken, mut new) = successor(settings(), old.now, &handover_text(&old), 6);
    assert!(taken);
    // Too little time for a load: only a router that inherited the replica and the run time sends this.
    new.request(0, "f", 300 * MS);
    assert_eq!(new.sent_to(), Some(warm));
}

#[test]
fn a_successor_inherits_the_used_part_of_the_load_ration() {
    let mut set = settings();
    (set.load_orders_allowed, set.load_window, set.loads_anyway) = (true, 5 * S, 1.0 / 0.9);
    let ordered = |test: &mut TestRouter| {
        // The replica of f is due for renewal; a request for another function triggers the check.
        test.now += 8 * S;
        test.request(0, "other", 4 * S);
        test.out.iter().any(|a| matches!(a, Action::Load { .. }))
    };
    let mut old = TestRouter::new(set.clone(), 1, 3);
    old.warm_up(0, "f");
    old.warm_up(0, "g");
    let before = handover_text(&old);
    let (_, mut alone) = successor(set.clone(), old.now, &before, 3);
    assert!(ordered(&mut alone), "it renews copies that its predecessor loaded");
    assert!(ordered(&mut old), "and so does the predecessor");
    let (_, mut new) = successor(set, old.now, &handover_text(&old), 3);
    new.now += S;
    new.request(0, "other", 4 * S);
    assert!(!new.out.iter().any(|a| matches!(a, Action::Load { .. })), "its order counts against the ration");
}

#[test]
fn an_inconsistent_handover_is_rejected() {
    let mut old = TestRouter::new(settings(), 1, 3);
    old.warm_up(0, "f");
    let good = handover_text(&old);
    assert!(successor(settings(), old.now, &good, 3).0);
    let mut bad = vec!["{}".to_string(), good.replace("\"class\":0", "\"class\":7")];
    // A mark of a function that is missing. Below: times in the future.
    bad.push(good.replace("\"marks\":{\"0\"", "\"marks\":{\"5\""));
    for text in &bad {
        assert!(*text != good && !successor(settings(), old.now, text, 3).0, "{text}");
    }
    assert!(!successor(settings(), old.now / 2, &good, 3).0, "its times lie in the future");
}

#[test]
fn a_request_keeps_the_class_settings_of_its_arrival() {
    let mut set = settings();
    let mut test = TestRouter::new(set.clone(), 1, 3);
    let old = test.request(0, "f", 4 * S);
    set.classes[0].effect = Effect::AtMostOnce;
    set.max_attempts = 2;
    test.router.configure(set, &[]);
    test.end_attempt(old, 0, Outcome::Error, ReplicaStatus::NotReported, 10 * MS);
    assert!(test.sent_to().is_some(), "it may be resent, as when it arrived");
    test.end_attempt(old, 1, Outcome::Error, ReplicaStatus::NotReported, 10 * MS);
    assert!(test.sent_to().is_none(), "but only as often as the new settings allow");
    let new = test.request(0, "f", 4 * S);
    test.end_attempt(new, 0, Outcome::Error, ReplicaStatus::NotReported, 10 * MS);
    assert!(test.sent_to().is_none() && !test.refused());
}

/// Runs one router for 45 minutes with 36 workers, of which 12 are replaced every half minute, and requests
/// for 5,000 functions, most of them new. Every table stays under its bound, and no larger in the last
/// quarter than before.
#[test]
fn every_table_stays_bounded_over_45_minutes() {
    use ochreward::control::TableSizes;
    let mut test = TestRouter::new(settings(), 45, 36);
    const FUNCTION_BYTES: usize = 768 << 10;
    test.router.set_max_function_bytes(FUNCTION_BYTES);
    let (mut generation, mut most_early, mut most_late) = (0, TableSizes::default(), TableSizes::default());
    let end = 45 * 60 * S;
    let mut n = 0usize;
    while test.now < end {
        test.now += 20 * MS;
        n += 1;
        if n.is_multiple_of(1_500) {
            // Every 30 s a third of the workers is replaced; the list is complete.
            generation += 1;
            let list =
                (0..36).map(|w| healthy(if w < 12 { 1_000 * generation + w } else { w }, None)).collect();
            test.list(true, list);
        }
        // One of 5,000 functions, chosen so that a few are requested often and most rarely.
        let function = format!("f{}", (n * 7_919) % (if n.is_multiple_of(3) { 20 } else { 5_000 }));
        let id = test.request(0, &function, 2 * S);
        if test.sent_to().is_some() {
            test.end_attempt(id, 0, Outcome::Ok, ReplicaStatus::Warm, 40 * MS);
        }
        let sizes = test.router.sizes();
        let most = if test.now < end * 3 / 4 { &mut most_early } else { &mut most_late };
        *most = TableSizes {
            workers: most.workers.max(sizes.workers),
            functions: most.functions.max(sizes.functions),
            dormant_functions: most.dormant_functions.max(sizes.dormant_functions),
            function_bytes: most.function_bytes.max(sizes.function_bytes),
            ring_bytes: most.ring_bytes.max(sizes.ring_bytes),
            renewals: most.renewals.max(sizes.renewals),
            requests: most.requests.max(sizes.requests),
            replicas: most.replicas.max(sizes.replicas),
            open_attempts: most.open_attempts.max(sizes.open_attempts),
            zones: most.zones.max(sizes.zones),
            ration_window: most.ration_window.max(sizes.ration_window),
        };
    }
    println!("early {most_early:?}\nlate {most_late:?}");
    // Slots of removed workers are reused once no attempt refers to them: at most a few generations are kept.
    assert!(most_late.workers <= 36 + 3 * 12, "{most_late:?}");
    assert!(most_late.functions <= 1_024, "{most_late:?}");
    assert!(most_late.function_bytes <= FUNCTION_BYTES, "{most_late:?}");
    // Every request has ended: none is left under way.
    assert!(most_late.requests <= 2 && most_late.open_attempts <= 2, "{most_late:?}");
    assert!(most_late.replicas <= most_late.workers * 1_024, "{most_late:?}");
    // No growth: the last quarter needs no more entries than the three before it.
    assert!(
        most_late.workers <= most_early.workers && most_late.functions <= most_early.functions,
        "{most_late:?}"
    );
    assert!(
        most_late.replicas <= most_early.replicas && most_late.ration_window <= most_early.ration_window,
        "{most_late:?}"
    );
    assert!(
        most_late.dormant_functions <= most_early.dormant_functions
            && most_late.renewals <= most_early.renewals,
        "{most_late:?}"
    );
    // The size of the ring is bounded by the number of workers; the spread of its points varies with the
    // list.
    assert!(most_late.ring_bytes <= most_late.workers * 1_024, "{most_late:?}");
}

// ---- Load reports, quotas, hints and other optional settings ----

impl TestRouter {
    /// Ends an attempt with an answer of a warm replica and a load report.
    fn end_with_report(&mut self, id: RequestId, attempt: usize, latency: Micros, report: Vec<f64>) {
        let (last, outcome, found, crowd) = (true, Outcome::Ok, ReplicaStatus::Warm, None);
        self.handle(Event::AttemptEnded {
            id,
            attempt,
            is_final: last,
            outcome,
            found,
            concurrent_requests: crowd,
            latency,
            report,
        });
    }

    /// Sends one request to each of two workers, so that both hold a replica, and answers it with that worker's
    /// report.
    fn warm_up_two(&mut self, reports: [&[f64]; 2]) -> [WorkerId; 2] {
        let first = self.request(0, "f", 4 * S);
        let (a, second) = (self.sent_to().expect("sent"), self.next_id);
        let other = if &*a == "w0" { 1 } else { 0 };
        // The first worker drains for a moment, so that the next request goes to the other.
        let at = 1 - other;
        self.list(false, vec![WorkerEntry { standing: WorkerStatus::Draining, ..healthy(at, None) }]);
        self.request(0, "f", 4 * S);
        let b = self.sent_to().expect("sent");
        self.list(false, vec![healthy(at, None)]);
        self.now += 100 * MS;
        self.end_with_report(first, 0, 100 * MS, reports[0].to_vec());
        self.end_with_report(second, 0, 100 * MS, reports[1].to_vec());
        [a, b]
    }

    /// Sends `count` requests one at a time and returns how many went to the worker.
    fn count_sent_to(&mut self, worker: &WorkerId, count: usize, report: &[f64]) -> usize {
        let mut there = 0;
        for _ in 0..count {
            let id = self.request(0, "f", 4 * S);
            let to = self.sent_to().expect("sent");
            there += usize::from(to == *worker);
            self.now += 10 * MS;
            // Only answers of the other worker carry a report.
            let values = if to == *worker { vec![] } else { report.to_vec() };
            self.end_with_report(id, 0, 100 * MS, values);
        }
        there
    }
}

#[test]
fn a_worker_that_reports_a_queue_is_avoided_while_the_report_is_recent() {
    // Crossing zones costs nothing here, so that both workers are equal otherwise.
    let mut set = settings();
    set.cross_zone_price = 0.0;
    for seed in 0..8 {
        let mut test = TestRouter::new(set.clone(), seed, 2);
        let [busy, _] = test.warm_up_two([&[20.0], &[0.0]]);
        assert_eq!(
            test.count_sent_to(&busy, 5, &[0.0]),
            0,
            "seed {seed}: the worker reported twenty requests"
        );
        // A report must age: a worker that reported a queue and then got no requests could never report that
        // it is gone.
        test.now += 5 * S;
        assert!(
            test.count_sent_to(&busy, 20, &[0.0]) > 0,
            "seed {seed}: the old report still keeps requests away"
        );
    }
}

#[test]
fn load_reports_that_are_unnamed_in_the_settings_or_invalid_are_ignored() {
    let mut plain = settings();
    plain.cross_zone_price = 0.0;
    let mut unnamed = plain.clone();
    unnamed.report_fields = vec![ReportField::Queue];
    let ignored: [(Settings, &[f64]); 5] = [
        (unnamed, &[20.0]),
        (plain.clone(), &[f64::NAN]),
        (plain.clone(), &[-5.0]),
        (plain.clone(), &[1e300]),
        (plain.clone(), &[]),
    ];
    for (set, report) in ignored {
        let there = (0..8).map(|seed| {
            let mut test = TestRouter::new(set.clone(), seed, 2);
            let [told, _] = test.warm_up_two([report, &[]]);
            test.count_sent_to(&told, 5, &[])
        });
        assert!(there.sum::<usize>() > 0, "the report {report:?} keeps requests away");
    }
}

#[test]
fn a_retry_of_a_refused_request_is_not_charged_to_the_quota_again() {
    let mut set = settings();
    (set.tenant_quotas, set.report_fields, set.classes[0].latency_target) = (vec![10.0], vec![], 500 * MS);
    // Two requests stay open, so that a third would wait longer than a request beyond its quota may, but less
    // than the aim.
    let test = || {
        let mut test = TestRouter::new(set.clone(), 1, 1);
        test.serve_warm(0, "f", 30);
        test.now += 2 * S;
        test.request(0, "f", 4 * S);
        test.request(0, "f", 4 * S);
        test
    };
    // Sends `count` requests, answers each at once, and returns how many were within the quota.
    let within = |test: &mut TestRouter, again: bool, count: usize| {
        let try_one = |test: &mut TestRouter| {
            let (id, function) = (test.next_id, "f".into());
            test.next_id += 1;
            let (class, tenant, lanes, load_time, work, time_left) = (0, 0, 2.0, Some(MS), None, 4 * S);
            test.handle(Event::Request {
                id,
                class,
                tenant,
                function,
                replica_concurrency: lanes,
                load_time,
                work_hint: work,
                is_retry: again,
                time_left,
            });
            let sent = test.sent_to().is_some();
            if sent {
                test.end_attempt(id, 0, Outcome::Ok, ReplicaStatus::NotReported, 300 * MS);
            }
            sent
        };
        (0..count).filter(|_| try_one(test)).count()
    };
    // The retry flag alone has no effect: no request was refused before.
    assert_eq!(within(&mut test(), false, 20), 8, "ten in a second, and two are open");
    assert_eq!(within(&mut test(), true, 20), 8);
    // Twelve were refused. A second later nine are retried: flagged as retries, they leave that second's
    // quota to new requests.
    for (again, left) in [(false, 1), (true, 10)] {
        let mut test = test();
        within(&mut test, false, 20);
        test.now += S;
        assert_eq!(within(&mut test, again, 9), 9);
        assert_eq!(within(&mut test, false, 20), left, "again: {again}");
    }
}

#[test]
fn without_a_load_ration_requests_are_counted_but_no_replicas_are_renewed() {
    let mut set = settings();
    (set.load_orders_allowed, set.load_window, set.keep_alive) = (true, 0, 10 * S);
    let mut test = TestRouter::new(set, 1, 3);
    let mut ordered = 0;
    for _ in 0..400 {
        let id = test.request(0, "f", 4 * S);
        ordered += test.out.iter().filter(|a| matches!(a, Action::Load { .. })).count();
        test.now += 100 * MS;
        test.end_attempt(id, 0, Outcome::Ok, ReplicaStatus::Warm, 100 * MS);
    }
    let window = test.router.sizes().ration_window;
    assert!((40..=51).contains(&window), "half a keep-alive of requests: {window}");
    assert_eq!(ordered, 0);
}

#[test]
fn a_work_hint_counts_as_far_as_hints_predicted_run_times() {
    let mut set = settings();
    set.report_fields = vec![];
    let mut test = TestRouter::new(set, 3, 1);
    let ask = |test: &mut TestRouter, work: Micros, time_left: Micros| {
        let (id, function) = (test.next_id, "f".into());
        test.next_id += 1;
        let (class, tenant, lanes, load_time, again) = (0, 0, 1.0, Some(MS), false);
        let work = Some(work);
        test.handle(Event::Request {
            id,
            class,
            tenant,
            function,
            replica_concurrency: lanes,
            load_time,
            work_hint: work,
            is_retry: again,
            time_left,
        });
        id
    };
    for n in 0..300 {
        let work = [20 * MS, 60 * MS, 180 * MS][n % 3];
        let id = ask(&mut test, work, 4 * S);
        assert!(test.sent_to().is_some(), "{n}: a heavy request's own work is no queue");
        test.now += work;
        test.end_attempt(id, 0, Outcome::Ok, ReplicaStatus::Warm, work);
    }
    // With 100 ms left, a light request can finish and a heavy one cannot.
    let light = ask(&mut test, 20 * MS, 100 * MS);
    assert!(test.sent_to().is_some());
    test.now += 20 * MS;
    test.end_attempt(light, 0, Outcome::Ok, ReplicaStatus::Warm, 20 * MS);
    ask(&mut test, 180 * MS, 100 * MS);
    assert!(test.refused());
}

#[test]
fn a_load_whose_attempt_was_never_sent_is_not_waited_for() {
    // The attempt that would have started the load is withdrawn before it is sent, so the next request must
    // be treated as the first. Otherwise it would be assumed to wait for a load under way that does not
    // exist, and its hedge timer would fire too early.
    let mut test = TestRouter::new(settings(), 1, 1);
    let first = test.request(0, "f", 4 * S);
    assert!(test.out.iter().any(|a| matches!(a, Action::Send { .. })));
    test.handle(Event::Abandoned { id: first });
    test.end_attempt(first, 0, Outcome::NotSent, ReplicaStatus::NotReported, 0);
    test.now = 500 * MS;
    test.request(0, "f", 4 * S);
    let timers = |out: &[Action]| {
        out.iter()
            .filter_map(|a| if let Action::Timer { at, .. } = a { Some(*at) } else { None })
            .collect::<Vec<_>>()
    };
    let second_timers = timers(&test.out);
    let mut fresh = TestRouter::new(settings(), 1, 1);
    fresh.now = 500 * MS;
    fresh.request(0, "f", 4 * S);
    assert_eq!(second_timers, timers(&fresh.out));
}

#[test]
fn answer_to_a_request_sent_before_a_restart_says_nothing_of_the_new_process() {
    let mut test = TestRouter::new(settings(), 1, 1);
    test.warm_up(0, "f");
    let id = test.request(0, "f", 4 * S);
    test.now += 100 * MS;
    let started = test.now;
    test.list(true, vec![healthy(0, Some(started))]);
    test.now += 10 * MS;
    test.end_attempt(id, 0, Outcome::Ok, ReplicaStatus::Warm, 110 * MS);
    let learned = serde_json::to_value(test.router.learned()).expect("a state that can be written");
    let worker = &learned["workers"][0];
    assert_eq!(worker["marks"]["0"]["copies"], 0, "the new process holds no replica");
    assert_eq!((&worker["slow"]["weight"], &worker["answers"]["weight"]), (&json!(0.0), &json!(0.0)));
    // An answer of the new process counts.
    let id = (0..100).find_map(|_| {
        test.now += 100 * MS;
        let id = test.request(0, "f", 4 * S);
        test.sent_to().map(|_| id)
    });
    test.now += 700 * MS;
    test.end_attempt(id.expect("a permit"), 0, Outcome::Ok, ReplicaStatus::LoadStarted, 700 * MS);
    let learned = serde_json::to_value(test.router.learned()).expect("a state that can be written");
    assert_eq!(learned["workers"][0]["marks"]["0"]["copies"], 1);
}
