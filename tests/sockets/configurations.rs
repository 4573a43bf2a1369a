//! The ways by which a configuration comes into use: whichever of the instance's own file and the version changed last, a
//! version that the file forbids is not used, and the control service is told.

use crate::control_kit::{Control, Fixture, LONG_TTL_MS, SINGLE_WAVE, counter, operator_file, wait_for};
use crate::id;
use crate::stand::{Client, Executor, Names, Program, Reply, config, fields, folder};
use rustix::process::Signal;
use serde_json::{Value, json};
use std::net::TcpListener;

const NO_TRIAL: &str = "trial_ms = 0";

/// A value of the instance's own file, the value in a version that it permits, and a later one that forbids the version.
struct Change {
    pointer: &'static str,
    permits: Value,
    version: String,
    forbids: Value,
    /// The key that the refusal names.
    key: &'static str,
}

fn changes() -> Vec<Change> {
    let change = |pointer, permits, version: &str, forbids, key| {
        let version = version.to_string();
        Change { pointer, permits, version, forbids, key }
    };
    let classes = |pointer: &str, value: Value| {
        let mut lanes = base_config()["settings"]["lanes"].clone();
        *lanes.pointer_mut(pointer).expect("a key") = value;
        lanes_document(&lanes)
    };
    vec![
        change(
            "/settings/lanes/1/repeat_window_us",
            json!(15_000_000),
            &classes("/1/repeat_window_us", json!(15_000_000)),
            json!(2_000_000),
            "settings.lanes[level-log].repeat_window_us",
        ),
        change(
            "/settings/lanes/1/key_scope",
            json!("all"),
            &classes("/1/key_scope", json!("all")),
            json!("zone"),
            "settings.lanes[level-log].key_scope",
        ),
        change(
            "/settings/lanes/1/effect",
            json!("idempotent"),
            &classes("/1/effect", json!("idempotent")),
            json!("deduplicated"),
            "settings.lanes[level-log].repeat_window_us",
        ),
        change(
            "/settings/family_info/loads_anyway",
            json!(6),
            "[fleet.settings.family_info]\nloads_anyway = 5",
            json!(4),
            "settings.family_info.loads_anyway",
        ),
        change(
            "/settings/family_info/orders",
            json!(true),
            "[fleet.settings.family_info]\norders = true",
            json!(false),
            "settings.family_info.orders",
        ),
        change(
            "/settings/rules/cold_share",
            json!(0.15),
            "[fleet.settings.rules]\ncold_share = 0.1",
            json!(0.05),
            "settings.rules.cold_share",
        ),
        change(
            "/settings/rules/stop_sending_within_us",
            json!(200_000),
            "[fleet.settings.rules]\nstop_sending_within_us = 150000",
            json!(100_000),
            "settings.rules.stop_sending_within_us",
        ),
        change(
            "/limits/memory_mb",
            json!(192),
            "[fleet.limits]\nmemory_mb = 128",
            json!(64),
            "limits.memory_mb",
        ),
        change("/limits/sockets", json!(1024), "[fleet.limits]\nsockets = 512", json!(256), "limits.sockets"),
        change(
            "/settings/zones",
            json!(["a", "b"]),
            "[fleet.settings]\nzones = [\"a\", \"b\", \"c\"]",
            json!(["a", "b", "d"]),
            "settings.zones",
        ),
    ]
}

/// Returns the fixture's file with this value.
fn with(fixture: &Fixture, pointer: &str, value: &Value) -> Value {
    let mut config = fixture.config();
    config["settings"]["rules"]["stop_sending_within_us"] = json!(250_000);
    *config.pointer_mut(pointer).expect("a key") = value.clone();
    config
}

fn base_config() -> Value {
    config(&[&Executor::start()], &Names::start())
}

/// Returns a version's document that sets the classes.
fn lanes_document(lanes: &Value) -> String {
    toml::to_string(&json!({"fleet": {"settings": {"lanes": lanes}}})).expect("TOML")
}

/// Returns a version's document that sets the fixture's classes, with the effect of `alert-send`.
fn classes_document(effect: &str) -> String {
    let mut lanes = base_config()["settings"]["lanes"].clone();
    lanes[2]["effect"] = json!(effect);
    lanes_document(&lanes)
}

/// Returns the fixture's file in which `alert-send` has this effect.
fn config_with_effect(fixture: &Fixture, effect: &str) -> Value {
    with(fixture, "/settings/lanes/2/effect", &json!(effect))
}

/// Waits until the instance's version is stored as its last good one.
fn until_stored(fixture: &Fixture, program: &Program) {
    wait_for("the version is stored as good", || {
        (counter(program, "versions_kept") > 0 && fixture.versions.join("n0/good").exists()).then_some(())
    });
}

/// Starts a dispatcher on a stored version in which `alert-send` may be repeated, as in its file; returns both.
fn start_on_repeatable_alerts(fixture: &Fixture, control: &Control) -> (Program, String) {
    let config = config_with_effect(fixture, "idempotent");
    let program = fixture.start_with(&config, &[control.program.address], NO_TRIAL);
    let version = control.publish(&classes_document("idempotent"));
    control.until_runs("n0", &version);
    until_stored(fixture, &program);
    (program, version)
}

fn reload(program: &Program, config: &Value) {
    std::fs::write(&program.path, config.to_string()).expect("written");
    program.signal(Signal::HUP);
    assert_eq!(program.line(), "ochreward: the new configuration is in use");
}

/// Asserts that a call of `alert-send` whose executor answers with an error goes to no executor again.
fn assert_runs_once(fixture: &Fixture, client: &mut Client, seq: i32) {
    client.serve(seq, &fields("alert-send", &id(seq as u64), LONG_TTL_MS), b"");
    fixture.executor.next().answer("ERR", json!({}), b"");
    let answer = client.receive();
    assert!(fixture.executor.poll().is_none(), "a call of an at-most-once class was sent again");
    assert!(matches!(answer, Some((answered, Reply::Failed)) if answered == seq), "{answer:?}");
}

// Guards against a stored version that brings back, at a start, what the changed file forbids: an at-most-once call ran twice.
#[test]
fn stored_version_that_the_changed_file_forbids_is_not_used_at_a_start() {
    let (fixture, control) = (Fixture::new(), Control::start(SINGLE_WAVE));
    let services = [control.program.address];
    let (program, version) = start_on_repeatable_alerts(&fixture, &control);
    assert_eq!(program.end().0, Some(0));
    let program = fixture.start_with(&config_with_effect(&fixture, "at_most_once"), &services, NO_TRIAL);
    assert_eq!(counter(&program, "version_number"), 0);
    assert_eq!(counter(&program, "versions_withdrawn"), 1);
    assert_runs_once(&fixture, &mut Client::connect(program.address), 1);
    let why = control.until_refuses("n0", &version);
    assert!(why.starts_with("settings.lanes[alert-send].effect"), "{why}");
    // The same start again comes to the same end.
    assert_eq!(program.end().0, Some(0));
    let program = fixture.start_with(&config_with_effect(&fixture, "at_most_once"), &services, NO_TRIAL);
    assert_eq!(counter(&program, "version_number"), 0);
}

// Guards against any other limit of the platform that holds for an offered version and not for a stored one.
#[test]
fn each_limit_of_the_platform_holds_for_a_stored_version_and_at_a_reload() {
    for change in changes() {
        let (fixture, control) = (Fixture::new(), Control::start(SINGLE_WAVE));
        let services = [control.program.address];
        let permits = with(&fixture, change.pointer, &change.permits);
        let forbids = with(&fixture, change.pointer, &change.forbids);
        let program = fixture.start_with(&permits, &services, NO_TRIAL);
        let version = control.publish(&change.version);
        control.until_runs("n0", &version);
        until_stored(&fixture, &program);
        reload(&program, &forbids);
        assert_eq!(counter(&program, "version_number"), 0, "reload: {}", change.key);
        let why = control.until_refuses("n0", &version);
        assert!(why.starts_with(change.key), "{why}");
        assert_eq!(program.end().0, Some(0));
        let program = fixture.start_with(&forbids, &services, NO_TRIAL);
        assert_eq!(counter(&program, "version_number"), 0, "start: {}", change.key);
    }
}

// Guards against a running version that keeps a looser class over the file that a SIGHUP brings: an at-most-once call ran twice.
#[test]
fn running_version_gives_way_to_a_reloaded_file_and_returns_with_it() {
    let (fixture, control) = (Fixture::new(), Control::start(SINGLE_WAVE));
    let (program, version) = start_on_repeatable_alerts(&fixture, &control);
    reload(&program, &config_with_effect(&fixture, "at_most_once"));
    assert_eq!(counter(&program, "version_number"), 0);
    assert_eq!(counter(&program, "versions_withdrawn"), 1);
    let mut client = Client::connect(program.address);
    assert_runs_once(&fixture, &mut client, 1);
    let why = control.until_refuses("n0", &version);
    assert!(why.starts_with("settings.lanes[alert-send].effect"), "{why}");
    // The file permits the last good version again, so it runs again, and the service no longer reports a refusal.
    reload(&program, &config_with_effect(&fixture, "idempotent"));
    assert_eq!(counter(&program, "version_number"), 1);
    wait_for("the service reports the version as current", || {
        (control.status()["instances"][0]["standing"] == "current").then_some(())
    });
    fixture.serve_one(&mut client, 2);
}

// Guards against two processes of a dispatcher with different files: the newer file's process ran the older one's version.
#[test]
fn version_of_the_other_process_is_held_against_the_own_file() {
    let (fixture, control) = (Fixture::new(), Control::start(SINGLE_WAVE));
    let (socket, shared) = (TcpListener::bind("127.0.0.1:0").expect("a socket"), folder());
    let path = operator_file(&[control.program.address], None, NO_TRIAL);
    let arguments = ["run", "--operator", &path];
    let old = Program::beside_with(&arguments, &socket, &shared, &config_with_effect(&fixture, "idempotent"));
    old.until_ready();
    let first = control.publish(&classes_document("idempotent"));
    control.until_runs("n0", &first);
    wait_for("the version is stored as good", || {
        shared.join("ochreward-n0/versions/good").exists().then_some(())
    });
    let new =
        Program::beside_with(&arguments, &socket, &shared, &config_with_effect(&fixture, "at_most_once"));
    new.until_ready();
    assert_eq!(counter(&new, "version_number"), 0, "the stored version at the start");
    // A version that comes while both run is followed only as far as the own file permits it.
    let second =
        control.publish(&(classes_document("idempotent") + "[fleet.settings.limits]\nmax_open = 900\n"));
    control.until_runs("n0", &second);
    wait_for("the successor has seen the second version", || {
        (counter(&new, "versions_withdrawn") == 2).then_some(())
    });
    assert_eq!((counter(&old, "version_number"), counter(&new, "version_number")), (2, 0));
    assert_eq!(old.end().0, Some(0));
    assert!(control.until_refuses("n0", &second).starts_with("settings.lanes[alert-send].effect"));
    assert_eq!(counter(&new, "version_number"), 0);
    assert_runs_once(&fixture, &mut Client::connect(new.address), 1);
}

// Guards against settings that appear in the file while a version runs: the version's own went on against them.
#[test]
fn settings_that_appear_in_the_file_bind_the_running_version() {
    let (fixture, control) = (Fixture::new(), Control::start(SINGLE_WAVE));
    let mut bare = config_with_effect(&fixture, "idempotent");
    let settings = bare.as_object_mut().expect("an object").remove("settings").expect("settings");
    let document = toml::to_string(&json!({"fleet": {"settings": settings}})).expect("TOML");
    let version = control.publish(&document);
    let program = fixture.start_with(&bare, &[control.program.address], NO_TRIAL);
    control.until_runs("n0", &version);
    reload(&program, &config_with_effect(&fixture, "at_most_once"));
    assert_eq!(counter(&program, "version_number"), 0);
    assert_runs_once(&fixture, &mut Client::connect(program.address), 1);
    assert!(control.until_refuses("n0", &version).starts_with("settings.lanes[alert-send].effect"));
}
