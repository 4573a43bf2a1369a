//! The MQTT front against a test broker: each message gets exactly one final answer.

use crate::broker::{Broker, Message};
use crate::stand::{Executor, Names, Program, config, fields, file};
use serde_json::{Value, json};
use std::time::{SystemTime, UNIX_EPOCH};

const LONG_TTL_MS: u64 = 20_000;

struct Fixture {
    program: Program,
    executor: Executor,
    _names: Names,
    broker: Broker,
    config: Value,
    operator: String,
}

impl Fixture {
    fn new() -> Fixture {
        let (executor, names, broker) = (Executor::start(), Names::start(), Broker::start());
        let config = config(&[&executor], &names);
        let operator = format!("[[mqtt]]\nbroker = \"{}\"\nreceive_maximum = 8\n", broker.address);
        let operator = file(&operator).display().to_string();
        let program = Program::run(&["run", "--operator", &operator], &config);
        broker.subscribed(1);
        Fixture { program, executor, _names: names, broker, config, operator }
    }

    /// Starts a second dispatcher under the same name and kills the first.
    fn restart(&mut self) {
        let new = Program::run(&["run", "--operator", &self.operator], &self.config);
        std::mem::replace(&mut self.program, new).kill();
    }
}

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

/// Returns a trigger that was sent `age_ms` ago.
pub fn trigger(class: &str, number: u64, age_ms: u64) -> Message {
    let id = format!("{number:016x}");
    let mut user = fields(class, &id, LONG_TTL_MS);
    user.insert("sent".to_string(), (now_ms() - age_ms).to_string());
    Message {
        topic: "ochreward/n0/triggers/station-7".to_string(),
        retain: false,
        response_topic: Some(format!("stations/7/answers/{id}")),
        correlation: Some(vec![0, number as u8]),
        user,
        payload: b"\x00reading".to_vec(),
    }
}

pub fn status(answer: &Message) -> (&str, &[u8]) {
    (&answer.user["status"], &answer.payload)
}

#[test]
fn a_trigger_is_acknowledged_only_after_the_broker_has_its_answer() {
    let fixture = Fixture::new();
    fixture.broker.mute(true);
    fixture.broker.publish(&trigger("level-log", 1, 0));
    let mut line = fixture.executor.next();
    assert_eq!(
        (line.body().as_slice(), &line.value["attrs"]["c"]),
        (&b"\x00reading"[..], &json!("level-log"))
    );
    assert!(line.value["attrs"]["i"].is_string());
    line.ok(b"\xffflow");
    let answers = fixture.broker.published(1);
    // The broker has not acknowledged the answer, so that the trigger is not acknowledged either.
    assert_eq!(fixture.broker.unacknowledged(), 1);
    assert_eq!((status(&answers[0]), answers[0].retain), (("served", &b"\xffflow"[..]), true));
    assert_eq!(answers[0].topic, "stations/7/answers/0000000000000001");
    assert_eq!(answers[0].correlation, Some(vec![0, 1]));
    // After a reconnect the retained answer is found, and nothing is published again.
    fixture.broker.mute(false);
    fixture.broker.cut();
    assert_eq!(fixture.broker.answers(1).len(), 1);
    let (code, counters) = fixture.program.end();
    assert_eq!((code, counters["mqtt_messages"], counters["requests_taken"]), (Some(0), 2, 1));
}

#[test]
fn expired_refused_and_failed_triggers_are_answered() {
    let fixture = Fixture::new();
    // Sent too long ago to be served in time: refused before it ran.
    fixture.broker.publish(&trigger("alert-send", 1, LONG_TTL_MS - 5));
    let answers = fixture.broker.answers(1);
    assert_eq!(status(&answers[0]).0, "refused");
    assert!(answers[0].user["pushback"].parse::<u64>().is_ok());
    fixture.broker.publish(&trigger("alert-send", 2, 0));
    fixture.executor.next().answer("ERR", json!({}), b"");
    assert_eq!(status(&fixture.broker.answers(2)[1]).0, "failed");
    // Its deadline passes while it runs.
    fixture.broker.publish(&trigger("alert-send", 3, LONG_TTL_MS - 4_000));
    fixture.executor.next();
    assert_eq!(status(&fixture.broker.answers(3)[2]).0, "failed");
    // An empty body is an answer too; the retained message has a payload, since an empty one would delete it.
    fixture.broker.publish(&trigger("flow-read", 4, 0));
    fixture.executor.next().ok(b"");
    let last = fixture.broker.answers(4).remove(3);
    assert_eq!(
        (status(&last).0, last.user["body"].as_str(), last.payload.is_empty()),
        ("served", "empty", false)
    );
}

#[test]
fn an_invalid_trigger_is_answered_with_the_name_of_its_field() {
    let fixture = Fixture::new();
    let bad = ["op", "ttl", "row", "sent", "info", "dedupe"];
    for (n, name) in (1..).zip(bad) {
        let mut message = trigger("level-log", n, 0);
        message.user.insert(name.to_string(), "-".to_string());
        fixture.broker.publish(&message);
        let answer = fixture.broker.answers(n as usize).pop().expect("an answer");
        assert_eq!((status(&answer).0, answer.user["field"].as_str()), ("failed", name));
    }
    let mut message = trigger("flow-read", 20, 0);
    message.correlation = None;
    fixture.broker.publish(&message);
    assert_eq!(fixture.broker.answers(7)[6].user["field"], "correlation-data");
    let mut message = trigger("flow-read", 21, 0);
    message.response_topic = Some("stations/7/answers".to_string());
    fixture.broker.publish(&message);
    assert_eq!(fixture.broker.answers(8)[7].user["field"], "response-topic");
    message.response_topic = None;
    fixture.broker.publish(&message);
    assert_eq!(
        (fixture.broker.answers(9).len(), fixture.broker.rejected(), fixture.executor.left()),
        (8, 1, 0)
    );
}

#[test]
fn a_kill_between_taking_and_acknowledging_leads_to_one_answer_per_message() {
    let mut fixture = Fixture::new();
    for (n, class) in (1..).zip(["flow-read", "level-log", "alert-send"]) {
        fixture.broker.publish(&trigger(class, n, 0));
    }
    // Older than the repeat window of 15 s when it is redelivered, but still within its time to live.
    fixture.broker.publish(&trigger("level-log", 4, 14_999));
    let before: Vec<Value> = (0..4).map(|_| fixture.executor.next().value).collect();
    fixture.restart();
    // The alert and the old repeat may have run and are not run again. The others run again, the log with its key.
    let mut again = [fixture.executor.next(), fixture.executor.next()];
    again.sort_by_key(|line| line.value["rid"].to_string());
    for line in &mut again {
        let first = before.iter().find(|v| v["rid"] == line.value["rid"]).expect("it ran before");
        assert_eq!(first["attrs"]["i"], line.value["attrs"]["i"]);
        line.ok(b"again");
    }
    assert_eq!(again[0].value["attrs"]["c"], "flow-read");
    assert_eq!(again[1].value["attrs"]["c"], "level-log");
    let mut answers = fixture.broker.answers(4);
    answers.sort_by_key(|a| a.topic.clone());
    let statuses: Vec<&str> = answers.iter().map(|a| status(a).0).collect();
    assert_eq!(statuses, ["served", "served", "failed", "failed"]);
    assert_eq!((fixture.broker.unacknowledged(), fixture.executor.left()), (0, 0));
}

/// Guards against: a sending time in the future that counts as 'just now', so that an old keyed repeat runs again.
#[test]
fn a_keyed_repeat_with_a_sending_time_in_the_future_is_not_run_again() {
    let mut fixture = Fixture::new();
    let mut message = trigger("level-log", 1, 0);
    message.user.insert("sent".to_string(), (now_ms() + 60_000).to_string());
    fixture.broker.publish(&message);
    drop(fixture.executor.next());
    fixture.restart();
    let answers = fixture.broker.answers(1);
    assert_eq!(status(&answers[0]).0, "failed");
    assert!(answers[0].user["why"].contains("at an unknown time"), "{:?}", answers[0].user);
    assert_eq!((fixture.broker.unacknowledged(), fixture.executor.left()), (0, 0));
}

#[test]
fn a_kill_after_publishing_leads_to_no_second_answer() {
    let mut fixture = Fixture::new();
    fixture.broker.mute(true);
    for (n, class) in (1..).zip(["flow-read", "level-log", "alert-send"]) {
        fixture.broker.publish(&trigger(class, n, 0));
        fixture.executor.next().ok(b"");
    }
    fixture.broker.published(3);
    fixture.restart();
    fixture.broker.mute(false);
    assert_eq!(fixture.broker.answers(3).len(), 3);
    assert_eq!((fixture.broker.unacknowledged(), fixture.executor.left()), (0, 0));
}

#[test]
fn a_retained_trigger_redelivered_on_each_reconnect_is_answered_once() {
    let mut fixture = Fixture::new();
    let (mut read, mut alert) = (trigger("flow-read", 1, 0), trigger("alert-send", 2, 0));
    (read.retain, alert.retain) = (true, true);
    alert.topic.push_str("/alert");
    fixture.broker.publish(&read);
    fixture.executor.next().ok(b"flow");
    fixture.broker.publish(&alert);
    // The alert is redelivered as a retained message and may have run: it is not run.
    fixture.broker.answers(2);
    fixture.broker.cut();
    fixture.broker.answers(4);
    fixture.restart();
    let answers = fixture.broker.answers(6);
    let statuses: Vec<&str> = answers.iter().map(|a| status(a).0).collect();
    assert_eq!((statuses, fixture.executor.left()), (vec!["served", "failed"], 0));
}

#[test]
fn a_message_redelivered_while_it_runs_is_run_and_answered_once() {
    let fixture = Fixture::new();
    fixture.broker.publish(&trigger("alert-send", 1, 0));
    let mut line = fixture.executor.next();
    fixture.broker.cut();
    fixture.broker.subscribed(2);
    // Another message with the same id is a repeat as well.
    fixture.broker.publish(&trigger("alert-send", 1, 0));
    line.ok(b"sent");
    fixture.broker.publish(&trigger("alert-send", 1, 0));
    // Three deliveries, each acknowledged, and one answer.
    let answers = fixture.broker.answers(3);
    assert_eq!((answers.len(), status(&answers[0]).0, fixture.executor.left()), (1, "served", 0));
}

/// Guards against: a trigger that is taken for a repeat of another client's, under the same id, and never gets an answer.
#[test]
fn triggers_of_two_clients_under_one_id_are_each_answered_on_their_own_topic() {
    let fixture = Fixture::new();
    let from = |client: u8| Message {
        response_topic: Some(format!("stations/{client}/answers/0000000000000001")),
        correlation: Some(vec![client]),
        ..trigger("flow-read", 1, 0)
    };
    fixture.broker.publish(&from(7));
    let mut line = fixture.executor.next();
    // Executors know calls by their ids, so that a second one is not run while the first is.
    fixture.broker.publish(&from(8));
    let answers = fixture.broker.answers(1);
    assert_eq!((status(&answers[0]).0, answers[0].correlation.as_deref()), ("failed", Some(&[8][..])));
    line.ok(b"for 7");
    fixture.broker.answers(2);
    fixture.broker.publish(&from(9));
    fixture.executor.next().ok(b"for 9");
    let answers = fixture.broker.answers(3);
    let told: Vec<(&str, &[u8])> = answers[1..].iter().map(status).collect();
    assert_eq!(told, [("served", &b"for 7"[..]), ("served", &b"for 9"[..])]);
    assert_eq!((fixture.broker.unacknowledged(), fixture.executor.left()), (0, 0));
}

#[test]
fn a_connection_is_reopened_after_malformed_bytes_from_the_broker() {
    let fixture = Fixture::new();
    fixture.broker.babble();
    fixture.broker.subscribed(2);
    fixture.broker.publish(&trigger("flow-read", 1, 0));
    fixture.executor.next().ok(b"flow");
    assert_eq!(fixture.broker.answers(1).len(), 1);
    assert_eq!(fixture.program.counters()["mqtt_malformed"], 1);
}

#[test]
fn an_answer_refused_by_the_broker_is_republished_before_its_trigger_is_acknowledged() {
    let fixture = Fixture::new();
    fixture.broker.refuse(1);
    fixture.broker.publish(&trigger("alert-send", 1, 0));
    fixture.executor.next().ok(b"sent");
    let answers = fixture.broker.answers(1);
    assert_eq!((answers.len(), fixture.broker.refused(), status(&answers[0]).0), (1, 1, "served"));
    assert_eq!(fixture.executor.left(), 0);
}

#[test]
fn a_planned_stop_answers_every_trigger_taken() {
    let mut fixture = Fixture::new();
    fixture.broker.publish(&trigger("alert-send", 1, 0));
    let mut line = fixture.executor.next();
    fixture.program.signal(rustix::process::Signal::TERM);
    // Triggers are still taken, since the stop is not announced to the broker yet.
    fixture.broker.publish(&trigger("flow-read", 2, 0));
    fixture.executor.next().ok(b"flow");
    line.ok(b"sent");
    assert_eq!(fixture.program.child.wait().expect("an end").code(), Some(0));
    assert_eq!((fixture.broker.answers(2).len(), fixture.broker.unacknowledged()), (2, 0));
}

#[test]
fn more_triggers_than_the_receive_maximum_are_each_answered_once() {
    let fixture = Fixture::new();
    for round in 0..5 {
        for n in 0..8 {
            fixture.broker.publish(&trigger("flow-read", round * 8 + n + 1, LONG_TTL_MS - 5));
        }
        fixture.broker.answers((round as usize + 1) * 8);
    }
    let mut topics: Vec<String> = fixture.broker.answers(40).into_iter().map(|a| a.topic).collect();
    topics.sort();
    topics.dedup();
    assert_eq!((topics.len(), fixture.broker.answers(40).len()), (40, 40));
}
