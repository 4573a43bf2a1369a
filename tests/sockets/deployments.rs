//! The rules under two kinds of deployment settings, which differ in the scope of idempotency keys, in hedged attempts and in
//! load reports. Tests run under both kinds where the rule holds for both.

use crate::id;
use crate::stand::{Client, Executor, Names, Program, Reply, config, fields, until, until_counted};
use serde_json::{Value, json};
use std::net::Shutdown;

const LONG_TTL_MS: u64 = 20_000;

/// The kind of settings of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Deployment {
    /// All workers drop repeats of a key; answers carry no load reports.
    Zones,
    /// Only workers of one zone drop repeats of a key; no concurrent attempts; answers carry load reports.
    Rooms,
}

const DEPLOYMENTS: [Deployment; 2] = [Deployment::Zones, Deployment::Rooms];

struct Fixture {
    program: Program,
    executors: Vec<Executor>,
    names: Names,
    client: Client,
}

/// Starts a dispatcher with executors in zones `a`, `b`, `a`, `b`.
fn fixture(kind: Deployment, count: usize) -> Fixture {
    let executors: Vec<Executor> = (0..count).map(|_| Executor::start()).collect();
    let names = Names::start();
    let mut config = config(&executors.iter().collect::<Vec<_>>(), &names);
    for (n, instance) in config["known"]["batch"][0]["topology"]["instances"]
        .as_array_mut()
        .expect("a list")
        .iter_mut()
        .enumerate()
    {
        instance["zone"] = json!(["a", "b"][n % 2]);
    }
    if kind == Deployment::Rooms {
        merge(
            &mut config["settings"],
            &json!({"report": {"how": "inline", "fields": ["inflight", "queue"]}, "clients": {"marks_retry": true},
                "limits": {"send_cap": 5}, "rules": {"stop_sending_within_us": 2_000_000}}),
        );
        config["settings"]["lanes"][1]["key_scope"] = json!("zone");
    }
    let program = Program::start(&config);
    let client = Client::connect(program.address);
    Fixture { program, executors, names, client }
}

fn merge(under: &mut Value, over: &Value) {
    match (under, over) {
        (Value::Object(under), Value::Object(over)) => {
            over.iter().for_each(|(name, value)| merge(under.entry(name).or_insert(Value::Null), value));
        }
        (under, over) => *under = over.clone(),
    }
}

impl Fixture {
    /// Returns the next request at any executor, with the index of the executor.
    fn next(&self) -> (usize, crate::stand::Line) {
        let began = std::time::Instant::now();
        loop {
            if let Some(got) = self.executors.iter().enumerate().find_map(|(n, e)| Some((n, e.poll()?))) {
                return got;
            }
            assert!(began.elapsed() < crate::stand::PATIENCE, "no request arrived");
            std::thread::yield_now();
        }
    }
}

#[test]
fn a_keyed_repeat_stays_within_the_scope_of_its_key() {
    for kind in DEPLOYMENTS {
        for n in 1..=6 {
            let mut fixture = fixture(kind, 4);
            fixture.client.serve(1, &fields("level-log", &id(n), LONG_TTL_MS), b"");
            let (first, line) = fixture.next();
            line.connection.shutdown(Shutdown::Both).expect("broken");
            let (second, mut line) = fixture.next();
            if kind == Deployment::Rooms {
                assert_eq!(first % 2, second % 2, "the repeat left the zone that holds its key");
            }
            assert!(line.value["attrs"]["i"].is_string(), "the repeat carries its key");
            line.ok(b"kept");
            assert_eq!(fixture.client.receive(), Some((1, Reply::Served(b"kept".to_vec()))), "{kind:?}");
        }
    }
}

#[test]
fn a_keyed_request_whose_zone_is_gone_fails_and_is_not_run_elsewhere() {
    let mut fixture = fixture(Deployment::Rooms, 2);
    fixture.client.serve(1, &fields("level-log", &id(1), 3_000), b"");
    let (first, line) = fixture.next();
    // Only the other zone's executor stays on the list.
    let other = &fixture.executors[1 - first];
    fixture.names.set(2, &[(["s0.a", "s1.b"][1 - first], other.address, 0)]);
    until_counted(&fixture.program, "lists_applied", "the list is never applied");
    line.connection.shutdown(Shutdown::Both).expect("broken");
    assert_eq!(fixture.client.receive(), Some((1, Reply::Failed)));
    assert_eq!(other.left(), 0, "the request ran outside the scope of its key");
}

#[test]
fn a_non_idempotent_request_runs_once_in_every_deployment() {
    for kind in DEPLOYMENTS {
        let mut fixture = fixture(kind, 4);
        fixture.client.serve(1, &fields("alert-send", &id(1), LONG_TTL_MS), b"");
        let (_, line) = fixture.next();
        line.connection.shutdown(Shutdown::Both).expect("broken");
        assert_eq!(fixture.client.receive(), Some((1, Reply::Failed)), "{kind:?}");
        assert_eq!(
            fixture.executors.iter().map(Executor::left).sum::<usize>(),
            0,
            "{kind:?}: the request was resent"
        );
    }
}

#[test]
fn a_drain_is_respected_at_once_though_the_rule_allows_seconds() {
    for kind in DEPLOYMENTS {
        let mut fixture = fixture(kind, 2);
        let list: Vec<(String, _, u16)> = fixture
            .executors
            .iter()
            .enumerate()
            .map(|(n, e)| (format!("s{n}"), e.address, u16::from(n == 0)))
            .collect();
        let list: Vec<(&str, _, u16)> = list.iter().map(|(n, a, p)| (n.as_str(), *a, *p)).collect();
        fixture.names.set(2, &list);
        until_counted(&fixture.program, "lists_applied", "the list is never applied");
        for seq in 1..=20 {
            fixture.client.serve(seq, &fields("flow-read", &id(seq as u64), LONG_TTL_MS), b"");
            fixture.executors[1].next().ok(b"");
            assert_eq!(fixture.client.receive(), Some((seq, Reply::Served(vec![]))));
        }
        assert_eq!(fixture.executors[0].left(), 0, "{kind:?}: a request was sent to a draining executor");
    }
}

#[test]
fn malformed_load_reports_cost_no_answer() {
    let loads =
        ["inflight:3;queue:0", "inflight:-1", "inflight:1e400;queue:x", "", ";;:", "util:0.5", "inflight"];
    for kind in DEPLOYMENTS {
        let mut fixture = fixture(kind, 2);
        for (seq, load) in (1..).zip(loads.iter().cycle().take(28)) {
            fixture.client.serve(seq, &fields("flow-read", &id(seq as u64), LONG_TTL_MS), b"");
            let (_, mut line) = fixture.next();
            line.answer("OK", json!({"note": "up", "load": load}), b"fine");
            assert_eq!(
                fixture.client.receive(),
                Some((seq, Reply::Served(b"fine".to_vec()))),
                "{kind:?} {load}"
            );
        }
        let (code, counters) = fixture.program.end();
        assert_eq!(
            (code, counters["answers_served"], counters["executors_malformed"]),
            (Some(0), 28, 0),
            "{kind:?}"
        );
    }
}

#[test]
fn a_worker_that_reports_a_queue_is_avoided_while_another_is_idle() {
    let mut fixture = fixture(Deployment::Rooms, 1);
    // One executor serves until its replica counts as loaded, then a second one starts.
    let serve = |fixture: &mut Fixture, seq: i32, load: &str| {
        fixture.client.serve(seq, &fields("flow-read", &id(seq as u64), LONG_TTL_MS), b"");
        let (n, mut line) = fixture.next();
        line.answer("OK", json!({"note": "up", "load": load}), b"");
        assert!(fixture.client.receive().is_some());
        n
    };
    for seq in 1..=5 {
        assert_eq!(serve(&mut fixture, seq, "inflight:0"), 0);
    }
    fixture.executors.push(Executor::start());
    let both = [("s0", fixture.executors[0].address, 0), ("s1", fixture.executors[1].address, 0)];
    fixture.names.set(2, &both);
    // Applied once with the list, and again when a further answer confirms the new worker, which is used from then on.
    until("the new worker is never confirmed", || fixture.program.counters()["lists_applied"] >= 2);
    // Each answer of the first worker reports 200 requests in flight, so that all later requests go to the other.
    let mut receivers = vec![];
    for seq in 6..=25 {
        receivers.push(serve(
            &mut fixture,
            seq,
            if receivers.last() == Some(&1) { "inflight:0" } else { "inflight:200" },
        ));
    }
    assert!(receivers.contains(&1), "a reported queue of 200 has no effect: {receivers:?}");
}
