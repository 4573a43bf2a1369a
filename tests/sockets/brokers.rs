//! Brokers that a configuration leaves out and brings back before they have been drained: every trigger is answered once,
//! whether it arrives before, while or after the broker is drained.

use crate::broker::{Broker, Message};
use crate::control_kit::{Control, Fixture, SINGLE_WAVE, counter, operator_file, wait_for};
use crate::mqtt::{status, trigger};
use crate::stand::{Line, Program, folder};
use ochreward_control::admin::Request;
use rustix::process::Signal;
use serde_json::json;
use std::net::TcpListener;

const NO_TRIAL: &str = "trial_ms = 0";
const RECEIVE_MAXIMUM: usize = 4;
const FILTER: &str = "ochreward/n0/triggers/#";

fn document(broker: &Broker, filter: &str) -> String {
    format!(
        "[[fleet.fronts.mqtt]]\nbroker = \"{}\"\nclient_id = \"one\"\ntriggers = \"{filter}\"\nreceive_maximum = {RECEIVE_MAXIMUM}\n",
        broker.address
    )
}

/// A dispatcher that a version has connected to the first of two brokers.
struct Stage {
    fixture: Fixture,
    control: Control,
    program: Program,
    first: Broker,
    second: Broker,
}

impl Stage {
    fn new() -> Stage {
        let (fixture, control) = (Fixture::new(), Control::start(SINGLE_WAVE));
        let program = fixture.start(&[control.program.address], NO_TRIAL);
        let (first, second) = (Broker::start(), Broker::start());
        let stage = Stage { fixture, control, program, first, second };
        stage.publish(&document(&stage.first, FILTER));
        stage.first.subscribed(1);
        stage
    }

    /// Publishes a version and waits until it runs.
    fn publish(&self, document: &str) {
        let version = self.control.publish(document);
        self.control.until_runs("n0", &version);
    }

    /// Publishes the content of an earlier version again and waits until it runs.
    fn roll_back(&self, number: u64) {
        let request = Request::Rollback { number, at_once: true };
        let answer = self.control.ask(&request, None).expect("published");
        self.control.until_runs("n0", answer["version"].as_str().expect("a version"));
    }

    /// Publishes a trigger whose call stays open until its line is answered.
    fn open_call(&self, number: u64) -> Line {
        self.first.publish(&trigger("alert-send", number, 0));
        self.fixture.executor.next()
    }

    /// Publishes a trigger that arrives while its broker is drained.
    fn publish_while_draining(&self, number: u64) {
        let before = counter(&self.program, "mqtt_while_draining");
        self.first.publish(&trigger("alert-send", number, 0));
        wait_for("the trigger arrives while its broker is drained", || {
            (counter(&self.program, "mqtt_while_draining") > before).then_some(())
        });
    }

    /// Has the executor serve the next calls, and asserts that the first broker gets this many answers, all served.
    fn serve_all(&self, calls: usize, answers: usize) {
        (0..calls).for_each(|_| self.fixture.executor.next().ok(b"ran"));
        let published: Vec<Message> = self.first.answers(answers);
        assert_eq!(published.len(), answers);
        assert!(published.iter().all(|answer| status(answer).0 == "served"), "{published:?}");
        assert_eq!((self.first.unacknowledged(), self.fixture.executor.left()), (0, 0));
    }
}

// Guards against a broker that is wanted again while its front drains: its triggers were neither answered nor acknowledged.
#[test]
fn broker_that_a_version_brings_back_is_served_again_with_what_came_meanwhile() {
    let stage = Stage::new();
    let mut open = stage.open_call(1);
    stage.publish(&document(&stage.second, FILTER));
    stage.second.subscribed(1);
    stage.publish_while_draining(2);
    stage.roll_back(1);
    open.ok(b"ran");
    stage.first.publish(&trigger("alert-send", 3, 0));
    stage.serve_all(2, 3);
    assert_eq!((counter(&stage.program, "mqtt_resumed"), counter(&stage.program, "mqtt_connects")), (1, 2));
}

// Guards against messages of a drained broker that count against its receive maximum for as long as the front is kept.
#[test]
fn messages_that_come_while_draining_twice_in_a_row_do_not_use_up_the_receive_maximum() {
    let stage = Stage::new();
    let mut open = stage.open_call(1);
    for number in [2, 3] {
        stage.publish(&document(&stage.second, FILTER));
        stage.publish_while_draining(number);
        stage.roll_back(1);
        stage.fixture.executor.next().ok(b"ran");
    }
    open.ok(b"ran");
    stage.first.answers(3);
    for number in 4..=4 + RECEIVE_MAXIMUM as u64 {
        stage.first.publish(&trigger("alert-send", number, 0));
        stage.fixture.executor.next().ok(b"ran");
        stage.first.answers(number as usize);
    }
    stage.serve_all(0, 4 + RECEIVE_MAXIMUM);
}

// Guards against the same session under a changed filter, and then under the old one again.
#[test]
fn changed_filter_that_is_taken_back_leaves_the_session_served() {
    let stage = Stage::new();
    let mut open = stage.open_call(1);
    stage.publish(&document(&stage.first, "other/#"));
    stage.publish_while_draining(2);
    stage.roll_back(1);
    open.ok(b"ran");
    stage.first.publish(&trigger("alert-send", 3, 0));
    stage.serve_all(2, 3);
    assert_eq!(counter(&stage.program, "mqtt_connects"), 1, "the session stays on its connection");
}

// Guards against a broker that says nothing while it is drained, so that the drain has no end, and is then wanted again.
#[test]
fn broker_that_is_silent_while_drained_is_served_again_after_it_came_back() {
    let stage = Stage::new();
    let mut open = stage.open_call(1);
    stage.first.mute(true);
    stage.publish(&document(&stage.second, FILTER));
    open.ok(b"ran");
    stage.first.published(1);
    stage.first.cut();
    stage.first.mute(false);
    stage.roll_back(1);
    stage.first.answers(1);
    stage.first.subscribed(2);
    stage.first.publish(&trigger("alert-send", 2, 0));
    stage.serve_all(1, 2);
}

// Guards against a version that gives way to the own file, whose brokers are drained, and returns with the next file.
#[test]
fn broker_of_a_version_that_returns_with_the_file_is_served_again() {
    let stage = Stage::new();
    stage.publish(&(document(&stage.first, FILTER) + "[fleet.limits]\nmemory_mb = 128\n"));
    wait_for("the version is stored as good", || {
        (counter(&stage.program, "versions_kept") == 2).then_some(())
    });
    let mut open = stage.open_call(1);
    for (memory_mb, number) in [(64, 0), (192, 2)] {
        let mut config = stage.fixture.config();
        config["limits"]["memory_mb"] = json!(memory_mb);
        std::fs::write(&stage.program.path, config.to_string()).expect("written");
        stage.program.signal(Signal::HUP);
        assert_eq!(stage.program.line(), "ochreward: the new configuration is in use");
        assert_eq!(counter(&stage.program, "version_number"), number);
    }
    open.ok(b"ran");
    stage.first.publish(&trigger("alert-send", 2, 0));
    stage.serve_all(1, 2);
}

// Guards against a version whose brokers are never connected, since it came while a successor ran that then died.
#[test]
fn brokers_that_change_during_an_upgrade_that_is_given_up_are_connected() {
    let (fixture, control) = (Fixture::new(), Control::start(SINGLE_WAVE));
    let (first, second) = (Broker::start(), Broker::start());
    let (socket, shared) = (TcpListener::bind("127.0.0.1:0").expect("a socket"), folder());
    let path = operator_file(&[control.program.address], None, NO_TRIAL);
    let arguments = ["run", "--operator", &path];
    let old = Program::beside_with(&arguments, &socket, &shared, &fixture.config());
    old.until_ready();
    let version = control.publish(&document(&first, FILTER));
    control.until_runs("n0", &version);
    first.subscribed(1);
    let new = Program::beside_with(&arguments, &socket, &shared, &fixture.config());
    new.until_ready();
    let version = control.publish(&document(&second, FILTER));
    control.until_runs("n0", &version);
    new.kill();
    second.subscribed(1);
    second.publish(&trigger("alert-send", 1, 0));
    fixture.executor.next().ok(b"ran");
    assert_eq!(second.answers(1).len(), 1);
    assert_eq!(old.end().0, Some(0));
}
