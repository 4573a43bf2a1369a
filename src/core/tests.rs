//! Tests of the engine: final answers, repeats of requests, limits, and recalls of attempts.

use super::*;
use crate::api::{Effect, KeyScope};

const SECOND: Micros = 1_000_000;

/// Returns settings with three classes, one per [`Effect`].
fn settings() -> Settings {
    let class = |effect| Class {
        latency_target: SECOND,
        deadline: 4 * SECOND,
        effect,
        key_scope: KeyScope::All,
        repeat_window: 2 * SECOND,
        credit: 1.0,
        late_worth: 0.0,
    };
    Settings {
        dispatcher_count: 1,
        own_index: 0,
        own_zone: 0,
        classes: [Effect::Idempotent, Effect::Deduplicated, Effect::AtMostOnce].map(class).to_vec(),
        tenant_quotas: vec![],
        over_share_worth: 1.0,
        report_fields: vec![],
        max_attempts: 3,
        may_duplicate: false,
        may_cancel: true,
        max_retry_after: SECOND,
        min_batch_interval: 1_000,
        cold_share: 1.0,
        warm_after: 0,
        fall_multiple: 2.0,
        fall_window: SECOND,
        load_orders_allowed: false,
        loads_on_miss: true,
        keep_alive: 10 * SECOND,
        load_window: 0,
        loads_anyway: 0.0,
        loads_per_request: 0.0,
        cross_zone_price: 0.0,
        fetch_price: 0.0,
        memory_price: 0.0,
        list_on_request: false,
    }
}

fn limits() -> EngineLimits {
    let (attempts, load_wait, held_bytes) = (3, SECOND, 1000);
    let (held_requests, retry_after, send_lag) = (10, SECOND, SECOND / 4);
    EngineLimits { attempts, load_wait, held_bytes, held_requests, retry_after, send_lag }
}

/// Returns an engine with one worker and three classes, one per [`Effect`].
fn engine() -> Engine {
    let mut engine = Engine::new(&settings(), 1, 0, limits(), Rc::default());
    let (zone, kind, cell, ready_at) = (0, 0, 0, None);
    let standing = crate::api::WorkerStatus::Healthy;
    engine.set_workers(
        0,
        vec![WorkerEntry { worker: "w".into(), zone, kind, cell, standing, ready_at, size: 0.0 }],
    );
    engine
}

fn submit(engine: &mut Engine, seq: i64, class: usize, repeat: Option<Micros>, body: usize) -> Vec<Command> {
    let prior_delivery = repeat.map_or(PriorDelivery::None, PriorDelivery::SentAgo);
    submit_delivered(engine, seq, class, prior_delivery, body)
}

fn submit_delivered(
    engine: &mut Engine,
    seq: i64,
    class: usize,
    prior_delivery: PriorDelivery,
    body: usize,
) -> Vec<Command> {
    let job = job(seq, class, prior_delivery, body);
    engine.submit(10, Ticket { front: 0, conn: 0, seq }, job);
    engine.commands.drain(..).collect()
}

fn job(seq: i64, class: usize, prior_delivery: PriorDelivery, body: usize) -> RequestSpec {
    RequestSpec {
        class,
        tenant: 0,
        function: "f".into(),
        replica_concurrency: 1.0,
        load_time: None,
        work_hint: None,
        is_retry: false,
        time_left: 4 * SECOND,
        client_request_id: format!("c{seq}").into(),
        idempotency_key: Some("k".into()),
        body: vec![0; body],
        prior_delivery,
    }
}

fn sends_attempt(commands: &[Command]) -> bool {
    commands.iter().any(|c| matches!(c, Command::Send { .. }))
}

fn answers(commands: &[Command]) -> Vec<&FinalAnswer> {
    let answers = commands.iter().filter_map(|c| match c {
        Command::Answer { answer, .. } => Some(answer),
        _ => None,
    });
    answers.collect()
}

#[test]
fn repeated_request_runs_again_only_if_its_class_allows() {
    assert!(sends_attempt(&submit(&mut engine(), 1, 0, Some(3 * SECOND), 0)));
    assert!(sends_attempt(&submit(&mut engine(), 1, 1, Some(SECOND), 0)));
    for (class, age) in [(1, 2 * SECOND - SECOND / 4), (2, 0)] {
        let commands = submit(&mut engine(), 1, class, Some(age), 0);
        assert!(
            !sends_attempt(&commands) && matches!(answers(&commands)[..], [FinalAnswer::Failed(_)]),
            "{class}"
        );
    }
}

/// Guards against: a repeat of unknown age that is taken for one sent just now, and runs after its key's window.
#[test]
fn repeat_of_unknown_age_runs_again_only_if_its_class_is_idempotent() {
    for (class, runs) in [(0, true), (1, false), (2, false)] {
        let mut engine = engine();
        let commands = submit_delivered(&mut engine, 1, class, PriorDelivery::AtUnknownTime, 0);
        assert_eq!(sends_attempt(&commands), runs, "{class}");
        if !runs {
            assert!(matches!(answers(&commands)[..], [FinalAnswer::Failed(_)]), "{class}");
        }
    }
}

/// Guards against: a refusal that calls a retry harmless, for a keyed request that may have run.
#[test]
fn refusal_of_a_keyed_request_tells_if_it_may_have_run() {
    for (class, first, may_have_run) in
        [(0, Outcome::Timeout, false), (1, Outcome::Timeout, true), (1, Outcome::Full, false)]
    {
        let mut engine = engine();
        submit(&mut engine, 1, class, None, 0);
        engine.client_closed(Ticket { front: 0, conn: 0, seq: 1 });
        engine.commands.clear();
        let commands = end_attempt(&mut engine, 20, 0, first);
        let told = match answers(&commands)[..] {
            [FinalAnswer::Refused(_)] => false,
            [FinalAnswer::RefusedMayHaveRun(_)] => true,
            ref other => panic!("{other:?}"),
        };
        assert_eq!(told, may_have_run, "{class} {first:?}");
    }
}

/// Guards against: a refusal, which says that a request never ran, for a repeat beyond its front's limits.
#[test]
fn refused_repeat_is_failed_if_it_may_not_simply_be_sent_again() {
    for (class, prior_delivery, failed) in [
        (2, PriorDelivery::AtUnknownTime, true),
        (1, PriorDelivery::AtUnknownTime, true),
        (0, PriorDelivery::AtUnknownTime, false),
        (2, PriorDelivery::None, false),
    ] {
        let mut engine = engine();
        engine.refuse(10, Ticket { front: 0, conn: 0, seq: 1 }, job(1, class, prior_delivery, 5), SECOND);
        let commands: Vec<Command> = engine.commands.drain(..).collect();
        match answers(&commands)[..] {
            [FinalAnswer::Failed(_)] => assert!(failed, "{class} {prior_delivery:?}"),
            [FinalAnswer::Refused(SECOND)] => assert!(!failed, "{class} {prior_delivery:?}"),
            ref other => panic!("{other:?}"),
        }
        assert_eq!((engine.open_requests(), engine.held_bytes()), (0, 0));
    }
}

#[test]
fn second_request_with_an_open_id_fails() {
    let mut engine = engine();
    assert!(sends_attempt(&submit(&mut engine, 1, 0, None, 0)));
    let second = submit(&mut engine, 1, 0, None, 5);
    assert!(
        !sends_attempt(&second) && matches!(answers(&second)[..], [FinalAnswer::Failed(_)]),
        "{second:?}"
    );
    engine.attempt_ended(20, AttemptId { request: 1, number: 0 }, AttemptResult::from_outcome(Outcome::Ok));
    engine.commands.clear();
    assert!(sends_attempt(&submit(&mut engine, 1, 0, None, 0)), "the id is free again");
}

#[test]
fn repeated_keyed_request_gets_one_attempt() {
    let mut engine = engine();
    submit(&mut engine, 1, 1, Some(SECOND), 0);
    engine.attempt_ended(
        20,
        AttemptId { request: 1, number: 0 },
        AttemptResult::from_outcome(Outcome::Error),
    );
    let commands: Vec<Command> = engine.commands.drain(..).collect();
    assert!(!sends_attempt(&commands) && answers(&commands).len() == 1, "{commands:?}");
}

#[test]
fn bodies_beyond_the_limit_are_refused_until_space_is_freed() {
    let mut engine = engine();
    assert!(sends_attempt(&submit(&mut engine, 1, 0, None, 900)));
    assert!(matches!(answers(&submit(&mut engine, 2, 0, None, 101))[..], [FinalAnswer::Refused(_)]));
    engine.attempt_ended(20, AttemptId { request: 1, number: 0 }, AttemptResult::from_outcome(Outcome::Ok));
    engine.commands.clear();
    assert!(sends_attempt(&submit(&mut engine, 3, 0, None, 1000)));
}

#[test]
fn request_gets_one_final_answer_by_its_deadline() {
    let mut engine = engine();
    submit(&mut engine, 1, 2, None, 0);
    engine.advance(10 + 4 * SECOND);
    let commands: Vec<Command> = engine.commands.drain(..).collect();
    assert!(matches!(answers(&commands)[..], [FinalAnswer::Failed(_)]), "{commands:?}");
    engine.attempt_ended(
        5 * SECOND,
        AttemptId { request: 1, number: 0 },
        AttemptResult::from_outcome(Outcome::Ok),
    );
    engine.abandon(5 * SECOND, Ticket { front: 0, conn: 0, seq: 1 });
    assert!(engine.commands.is_empty() && engine.open_requests() == 0);
}

#[test]
fn give_up_fails_open_requests_immediately_and_once() {
    let mut engine = engine();
    submit(&mut engine, 1, 2, None, 0);
    engine.fail_open_requests(20);
    let commands: Vec<Command> = engine.commands.drain(..).collect();
    assert!(
        matches!(answers(&commands)[..], [FinalAnswer::Failed(_)]) && engine.open_requests() == 0,
        "{commands:?}"
    );
    engine.fail_open_requests(30);
    engine.advance(10 + 4 * SECOND);
    assert!(answers(&engine.commands.drain(..).collect::<Vec<_>>()).is_empty());
}

fn recall_count(commands: &[Command]) -> usize {
    commands.iter().filter(|c| matches!(c, Command::CancelIfUnsent { .. })).count()
}

fn end_attempt(engine: &mut Engine, now: Micros, number: usize, outcome: Outcome) -> Vec<Command> {
    engine.attempt_ended(now, AttemptId { request: 1, number }, AttemptResult::from_outcome(outcome));
    engine.commands.drain(..).collect()
}

#[test]
fn hung_up_client_gets_no_new_attempt_but_a_running_attempt_is_answered() {
    let ticket = Ticket { front: 0, conn: 0, seq: 1 };
    // The attempt was rejected or never sent: there is no second attempt, and the one final answer is a
    // refusal.
    for outcome in [Outcome::Full, Outcome::NotSent] {
        let mut engine = engine();
        assert!(sends_attempt(&submit(&mut engine, 1, 0, None, 0)));
        engine.client_closed(ticket);
        assert_eq!(recall_count(&engine.commands.drain(..).collect::<Vec<_>>()), 1);
        let commands = end_attempt(&mut engine, 20, 0, outcome);
        assert!(
            !sends_attempt(&commands) && matches!(answers(&commands)[..], [FinalAnswer::Refused(_)]),
            "{commands:?}"
        );
        assert_eq!((engine.open_requests(), engine.held_bytes()), (0, 0));
    }
    let mut engine = engine();
    submit(&mut engine, 1, 2, None, 0);
    engine.client_closed(ticket);
    let commands = end_attempt(&mut engine, 20, 0, Outcome::Ok);
    assert!(matches!(answers(&commands)[..], [FinalAnswer::Served(_)]), "{commands:?}");
}

#[test]
fn forgotten_request_is_recalled_while_the_load_it_started_may_continue() {
    let mut engine = engine();
    // The first request for a function starts a load, which the decision module does not cancel.
    submit(&mut engine, 1, 0, None, 0);
    engine.abandon(20, Ticket { front: 0, conn: 0, seq: 1 });
    let commands: Vec<Command> = engine.commands.drain(..).collect();
    assert!(recall_count(&commands) == 1 && answers(&commands).is_empty(), "{commands:?}");
    assert!(end_attempt(&mut engine, 30, 0, Outcome::NotSent).is_empty());
    assert_eq!(engine.held_bytes(), 0);
}

#[test]
fn unsent_keyed_retry_is_recalled_at_the_end_of_its_window_only_if_an_earlier_attempt_may_have_run() {
    for (first, recalled) in [(Outcome::Error, 1), (Outcome::Full, 0)] {
        let mut engine = engine();
        submit(&mut engine, 1, 1, None, 0);
        let commands = end_attempt(&mut engine, 20, 0, first);
        assert!(sends_attempt(&commands), "{first:?}: {commands:?}");
        // The window of 2 s starts at the first send; 5% of it is reserved for the transit time of the
        // repeat.
        engine.advance(10 + 2 * SECOND * 94 / 100);
        assert_eq!(recall_count(&engine.commands.drain(..).collect::<Vec<_>>()), 0, "{first:?}");
        engine.advance(10 + 2 * SECOND * 96 / 100);
        assert_eq!(recall_count(&engine.commands.drain(..).collect::<Vec<_>>()), recalled, "{first:?}");
    }
}

/// Guards against a keyed request whose window grows, or ends, with a configuration that comes into use while it is open.
#[test]
fn open_request_keeps_the_class_that_it_came_with() {
    for (effect, window) in [(Effect::Deduplicated, 20 * SECOND), (Effect::Idempotent, 2 * SECOND)] {
        let mut engine = engine();
        submit(&mut engine, 1, 1, None, 0);
        let mut settings = settings();
        (settings.classes[1].effect, settings.classes[1].repeat_window) = (effect, window);
        engine.configure(&settings, &[], limits());
        assert!(sends_attempt(&end_attempt(&mut engine, 20, 0, Outcome::Error)), "{effect:?}");
        engine.advance(10 + 2 * SECOND * 96 / 100);
        let commands: Vec<Command> = engine.commands.drain(..).collect();
        assert_eq!(recall_count(&commands), 1, "{effect:?}: the repeat is not sent after the window");
    }
}
