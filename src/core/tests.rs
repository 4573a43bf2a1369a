//! The engine against what a module and a host may do to it.

use super::*;

const S: Micros = 1_000_000;

/// An engine with one worker, and one class of each effect.
fn engine() -> Engine {
    let class = |effect| Class {
        aim: S,
        deadline: 4 * S,
        effect,
        key_scope: KeyScope::All,
        repeat_window: 2 * S,
        credit: 1.0,
        late_worth: 0.0,
    };
    let settings = Settings {
        balancers: 1,
        me: 0,
        my_zone: 0,
        classes: [Effect::Idempotent, Effect::Deduplicated, Effect::AtMostOnce].map(class).to_vec(),
        tenant_quotas: vec![],
        over_share_worth: 1.0,
        report_fields: vec![],
        max_attempts: 3,
        may_duplicate: false,
        may_cancel: true,
        max_retry_after: S,
        tick: 1_000,
        cold_share: 1.0,
        warm_after: 0,
        fall_multiple: 2.0,
        fall_window: S,
        orders: false,
        loads_on_miss: true,
        keep_alive: 10 * S,
        load_window: 0,
        loads_anyway: 0.0,
        loads_per_request: 0.0,
        cross_zone_price: 0.0,
        fetch_price: 0.0,
        memory_price: 0.0,
        list_on_request: false,
    };
    let (attempts, load_wait, held_bytes) = (3, S, 1000);
    let (held_requests, retry_after, send_lag) = (10, S, S / 4);
    let bounds = Bounds { attempts, load_wait, held_bytes, held_requests, retry_after, send_lag };
    let mut engine = Engine::new(&settings, 1, 0, bounds, Rc::default());
    let (zone, kind, cell, ready_at) = (0, 0, 0, None);
    let standing = crate::api::Standing::Healthy;
    engine.list(0, vec![Listing { worker: "w".into(), zone, kind, cell, standing, ready_at }]);
    engine
}

fn take(engine: &mut Engine, seq: i64, class: usize, repeat: Option<Micros>, body: usize) -> Vec<Command> {
    let job = Job {
        class,
        tenant: 0,
        function: "f".into(),
        lanes: 1.0,
        load_time: None,
        work: None,
        again: false,
        time_left: 4 * S,
        call: format!("c{seq}").into(),
        key: Some("k".into()),
        body: vec![0; body],
        repeat,
    };
    engine.take(10, Ticket { front: 0, conn: 0, seq }, job);
    engine.commands.drain(..).collect()
}

fn runs(commands: &[Command]) -> bool {
    commands.iter().any(|c| matches!(c, Command::Send { .. }))
}

fn answers(commands: &[Command]) -> Vec<&Final> {
    let answers = commands.iter().filter_map(|c| match c {
        Command::Answer { answer, .. } => Some(answer),
        _ => None,
    });
    answers.collect()
}

#[test]
fn what_may_have_run_runs_again_only_as_its_class_allows() {
    assert!(runs(&take(&mut engine(), 1, 0, Some(3 * S), 0)));
    assert!(runs(&take(&mut engine(), 1, 1, Some(S), 0)));
    for (class, age) in [(1, 2 * S - S / 4), (2, 0)] {
        let commands = take(&mut engine(), 1, class, Some(age), 0);
        assert!(!runs(&commands) && matches!(answers(&commands)[..], [Final::Failed(_)]), "{class}");
    }
}

#[test]
fn an_id_that_is_open_is_not_taken_a_second_time() {
    let mut engine = engine();
    assert!(runs(&take(&mut engine, 1, 0, None, 0)));
    let second = take(&mut engine, 1, 0, None, 5);
    assert!(!runs(&second) && matches!(answers(&second)[..], [Final::Failed(_)]), "{second:?}");
    engine.ended(20, AttemptId { request: 1, number: 0 }, Ended::bare(Outcome::Ok));
    engine.commands.clear();
    assert!(runs(&take(&mut engine, 1, 0, None, 0)), "the id is free again");
}

#[test]
fn a_keyed_repeat_has_one_attempt() {
    let mut engine = engine();
    take(&mut engine, 1, 1, Some(S), 0);
    engine.ended(20, AttemptId { request: 1, number: 0 }, Ended::bare(Outcome::Error));
    let commands: Vec<Command> = engine.commands.drain(..).collect();
    assert!(!runs(&commands) && answers(&commands).len() == 1, "{commands:?}");
}

#[test]
fn bodies_beyond_the_bound_are_refused_and_room_comes_back() {
    let mut engine = engine();
    assert!(runs(&take(&mut engine, 1, 0, None, 900)));
    assert!(matches!(answers(&take(&mut engine, 2, 0, None, 101))[..], [Final::Refused(_)]));
    engine.ended(20, AttemptId { request: 1, number: 0 }, Ended::bare(Outcome::Ok));
    engine.commands.clear();
    assert!(runs(&take(&mut engine, 3, 0, None, 1000)));
}

#[test]
fn a_request_is_settled_by_its_deadline_and_once() {
    let mut engine = engine();
    take(&mut engine, 1, 2, None, 0);
    engine.advance(10 + 4 * S);
    let commands: Vec<Command> = engine.commands.drain(..).collect();
    assert!(matches!(answers(&commands)[..], [Final::Failed(_)]), "{commands:?}");
    engine.ended(5 * S, AttemptId { request: 1, number: 0 }, Ended::bare(Outcome::Ok));
    engine.forget(5 * S, Ticket { front: 0, conn: 0, seq: 1 });
    assert!(engine.commands.is_empty() && engine.owed() == 0);
}

#[test]
fn what_is_given_up_is_settled_at_once_and_once() {
    let mut engine = engine();
    take(&mut engine, 1, 2, None, 0);
    engine.give_up(20);
    let commands: Vec<Command> = engine.commands.drain(..).collect();
    assert!(matches!(answers(&commands)[..], [Final::Failed(_)]) && engine.owed() == 0, "{commands:?}");
    engine.give_up(30);
    engine.advance(10 + 4 * S);
    assert!(answers(&engine.commands.drain(..).collect::<Vec<_>>()).is_empty());
}

fn recalls(commands: &[Command]) -> usize {
    commands.iter().filter(|c| matches!(c, Command::Recall { .. })).count()
}

fn ended(engine: &mut Engine, now: Micros, number: usize, outcome: Outcome) -> Vec<Command> {
    engine.ended(now, AttemptId { request: 1, number }, Ended::bare(outcome));
    engine.commands.drain(..).collect()
}

#[test]
fn nothing_is_begun_for_a_client_that_has_closed_its_end_but_what_runs_is_answered() {
    let ticket = Ticket { front: 0, conn: 0, seq: 1 };
    // Turned away, or never sent: no second attempt, and one final answer that says so.
    for outcome in [Outcome::Full, Outcome::Moot] {
        let mut engine = engine();
        assert!(runs(&take(&mut engine, 1, 0, None, 0)));
        engine.hung_up(ticket);
        assert_eq!(recalls(&engine.commands.drain(..).collect::<Vec<_>>()), 1);
        let commands = ended(&mut engine, 20, 0, outcome);
        assert!(!runs(&commands) && matches!(answers(&commands)[..], [Final::Refused(_)]), "{commands:?}");
        assert_eq!((engine.owed(), engine.held_bytes()), (0, 0));
    }
    let mut engine = engine();
    take(&mut engine, 1, 2, None, 0);
    engine.hung_up(ticket);
    let commands = ended(&mut engine, 20, 0, Outcome::Ok);
    assert!(matches!(answers(&commands)[..], [Final::Served(_)]), "{commands:?}");
}

#[test]
fn what_a_client_takes_back_is_recalled_though_the_load_that_it_began_may_go_on() {
    let mut engine = engine();
    // The first request for a function begins a load, which the module does not cancel.
    take(&mut engine, 1, 0, None, 0);
    engine.forget(20, Ticket { front: 0, conn: 0, seq: 1 });
    let commands: Vec<Command> = engine.commands.drain(..).collect();
    assert!(recalls(&commands) == 1 && answers(&commands).is_empty(), "{commands:?}");
    assert!(ended(&mut engine, 30, 0, Outcome::Moot).is_empty());
    assert_eq!(engine.held_bytes(), 0);
}

#[test]
fn a_keyed_repeat_that_waits_is_recalled_at_the_end_of_its_window_and_only_where_one_may_have_run() {
    for (first, recalled) in [(Outcome::Error, 1), (Outcome::Full, 0)] {
        let mut engine = engine();
        take(&mut engine, 1, 1, None, 0);
        let commands = ended(&mut engine, 20, 0, first);
        assert!(runs(&commands), "{first:?}: {commands:?}");
        // The window of 2 s is counted from the first send, and a little is kept for the way.
        engine.advance(10 + 2 * S * 94 / 100);
        assert_eq!(recalls(&engine.commands.drain(..).collect::<Vec<_>>()), 0, "{first:?}");
        engine.advance(10 + 2 * S * 96 / 100);
        assert_eq!(recalls(&engine.commands.drain(..).collect::<Vec<_>>()), recalled, "{first:?}");
    }
}
