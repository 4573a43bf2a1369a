//! Streamed configuration with real processes: dispatchers, the control service, and a scripted service that violates
//! the protocol.

use crate::control_kit::{
    Control, Fixture, LONG_TTL_MS, SINGLE_WAVE, counter, max_open_document, operator_file, wait_for,
};
use crate::id;
use crate::stand::{Client, PATIENCE, Program, Reply, fields, file, folder};
use ochreward_control::admin::Request;
use ochreward_stream::wire::{self, Code, Entry, FromService, PROTOCOL, ToService};
use ochreward_stream::{Digest, Kind, Version};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Instant;

#[test]
fn valid_versions_run_and_invalid_ones_are_refused_by_key() {
    let (fixture, control) = (Fixture::new(), Control::start(SINGLE_WAVE));
    let program = fixture.start(&[control.program.address], "trial_ms = 0");
    let mut client = Client::connect(program.address);
    let first = control.publish(&max_open_document(900));
    control.until_runs("n0", &first);
    fixture.serve_one(&mut client, 1);
    let bad = [
        ("[fleet.settings.family_info]\nloads_anyway = 7", "settings.family_info.loads_anyway"),
        ("[fleet.settings.family_info]\nloads_per_request = 0.5", "settings.family_info.loads_per_request"),
        ("[fleet.limits]\nmemory_mb = 4096", "limits.memory_mb"),
        ("[fleet.settings]\nzones = [\"b\"]", "settings.zones"),
        (
            "[[fleet.settings.lanes]]\nname = \"alert-send\"\neffect = \"idempotent\"\npromise_us = 1\ndeadline_us = 9",
            "settings.lanes[alert-send].effect",
        ),
    ];
    for (text, key) in bad {
        let version = control.publish(text);
        let why = control.until_refuses("n0", &version);
        assert!(why.starts_with(key), "{why}");
        control.until_runs("n0", &first);
    }
    fixture.serve_one(&mut client, 2);
    // An invalid document is rejected before it is published.
    let faults =
        control.ask(&Request::Publish { at_once: true }, Some("[fleet.settings.limits]\nsend_cap = 0"));
    assert!(faults.as_ref().is_err_and(|e| e.contains("fleet.settings.limits.send_cap")), "{faults:?}");
    // Only the platform's file sets the limit of the drain rule: 250 ms by default.
    let grace = control.publish("[fleet.settings.rules]\nstop_sending_within_us = 300000");
    let why = control.until_refuses("n0", &grace);
    assert!(why.starts_with("settings.rules.stop_sending_within_us") && why.contains("drain rule"), "{why}");
    control.until_runs("n0", &first);
    let last = control.publish(&max_open_document(800));
    control.until_runs("n0", &last);
    fixture.serve_one(&mut client, 3);
    let (code, counters) = program.end();
    assert_eq!((code, counters["versions_applied"], counters["versions_refused"]), (Some(0), 2, 6));
}

#[test]
fn a_start_without_the_control_service_uses_the_last_good_version_or_is_not_ready() {
    let (fixture, control) = (Fixture::new(), Control::start(SINGLE_WAVE));
    let address = control.program.address;
    // No settings in the file and no stored version.
    let mut bare = fixture.config();
    bare["ops"] = json!("127.0.0.1:0");
    let settings = bare["settings"].clone();
    bare.as_object_mut().expect("an object").remove("settings");
    let program = fixture.start_with(&bare, &[address], "trial_ms = 0");
    assert_eq!(program.call("GET", "/_ready"), 503);
    let document = json!({"fleet": {"settings": settings}});
    let version = control.publish(&toml::to_string(&document).expect("TOML"));
    program.until_ready();
    control.until_runs("n0", &version);
    // Once the counter shows that the version is kept, the promoted file is on disk for the next start.
    wait_for("the version is stored as good", || {
        (counter(&program, "versions_kept") == 1 && fixture.versions.join("n0/good").exists()).then_some(())
    });
    program.kill();
    control.program.kill();
    let program = fixture.start_with(&bare, &[address], "trial_ms = 0");
    program.until_ready();
    assert_eq!((counter(&program, "version_number"), counter(&program, "version_epoch")), (1, 1));
    assert_eq!(counter(&program, "stream_stale_ms"), u64::MAX);
    fixture.serve_one(&mut Client::connect(program.address), 1);
    program.kill();
    // The stored file is truncated and there is no earlier version: the dispatcher is not ready.
    let good = fixture.versions.join("n0/good");
    let bytes = std::fs::read(&good).expect("a file");
    std::fs::write(&good, &bytes[..bytes.len() - 1]).expect("written");
    let program = fixture.start_with(&bare, &[address], "trial_ms = 0");
    assert_eq!(program.call("GET", "/_ready"), 503);
    assert_eq!(counter(&program, "version_number"), 0);
}

// ---- A scripted service ----

struct ScriptedService {
    listener: TcpListener,
}

struct DispatcherConnection {
    stream: TcpStream,
    nonce: u64,
}

impl ScriptedService {
    fn new() -> ScriptedService {
        ScriptedService { listener: TcpListener::bind("127.0.0.1:0").expect("a listener") }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }

    fn accept(&self) -> DispatcherConnection {
        let (stream, _) = self.listener.accept().expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        DispatcherConnection { stream, nonce: 0 }
    }

    /// Accepts a connection and answers its hello with a welcome of this epoch.
    fn welcome(&self, epoch: u64) -> DispatcherConnection {
        let mut peer = self.accept();
        assert!(matches!(peer.receive(), Some(ToService::Hello(_))));
        peer.send(&FromService::Welcome {
            protocol: PROTOCOL,
            store: "scripted".into(),
            epoch,
            heartbeat_us: 20_000,
        });
        peer
    }
}

impl DispatcherConnection {
    fn send(&mut self, message: &FromService) {
        self.stream.write_all(&wire::encode_frame(message)).expect("sent");
    }

    /// Returns the next message, or `None` once the connection has ended.
    fn receive(&mut self) -> Option<ToService> {
        let mut head = [0; 4];
        self.stream.read_exact(&mut head).ok()?;
        let mut body = vec![0; u32::from_be_bytes(head) as usize];
        self.stream.read_exact(&mut body).ok()?;
        Some(wire::decode(&body).expect("a message"))
    }

    fn messages(&mut self, version: Version, text: &str) -> Vec<FromService> {
        self.nonce += 1;
        let (nonce, kind) = (self.nonce, Kind::Settings);
        let entry = Entry { kind, version, digest: Digest::of(text), bytes: text.len() as u64, sent: true };
        let mut out = vec![FromService::Offer { nonce, version, entries: vec![entry] }];
        let mut from = 0;
        while from < text.len() {
            let piece = wire::next_piece(text, from).to_string();
            from += piece.len();
            out.push(FromService::Part { nonce, kind, text: piece });
        }
        out.push(FromService::End { nonce });
        out
    }

    /// Offers a version and returns `None` for an ACK, else the code of the NACK.
    fn offer(&mut self, version: Version, text: &str) -> Option<Code> {
        for message in self.messages(version, text) {
            self.send(&message);
        }
        self.answer()
    }

    fn answer(&mut self) -> Option<Code> {
        loop {
            match self.receive().expect("an answer") {
                ToService::Ack { nonce, .. } if nonce == self.nonce => return None,
                ToService::Nack { nonce, code, .. } if nonce == self.nonce => return Some(code),
                ToService::Heartbeat { .. } | ToService::Reverted { .. } => {}
                other => panic!("{other:?}"),
            }
        }
    }
}

fn version_of(epoch: u64, number: u64) -> Version {
    Version::new(epoch, number)
}

fn max_open_settings(most: u64) -> String {
    json!({"limits": {"max_open": most}}).to_string()
}

#[test]
fn invalid_versions_and_bytes_leave_the_last_good_version_in_use() {
    let (fixture, service) = (Fixture::new(), ScriptedService::new());
    let program = fixture.start(&[service.address()], "trial_ms = 0");
    let mut client = Client::connect(program.address);
    let mut peer = service.welcome(1);
    let mut timeline = Vec::new();
    let steps = [
        (version_of(1, 2), max_open_settings(500), None),
        (version_of(1, 1), max_open_settings(400), Some(Code::OutOfOrder)),
        (version_of(1, 3), "[1, 2]".to_string(), Some(Code::Invalid)),
        (version_of(1, 3), "{\"limits\": ".to_string(), Some(Code::Invalid)),
        (version_of(1, 2), max_open_settings(401), Some(Code::Conflict)),
        (version_of(1, 2), max_open_settings(500), None),
        (version_of(1, 9), max_open_settings(600), None),
        (version_of(2, 1), max_open_settings(700), Some(Code::Damaged)),
    ];
    for (n, (version, text, outcome)) in steps.into_iter().enumerate() {
        assert_eq!(peer.offer(version, &text), outcome, "{version} {text}");
        timeline.push((counter(&program, "version_number"), outcome.is_none()));
        fixture.serve_one(&mut client, n as i32 + 1);
    }
    let numbers: Vec<u64> = timeline.iter().map(|(n, _)| *n).collect();
    assert_eq!(numbers, [2, 2, 2, 2, 2, 2, 9, 9], "the version in use after each step");
    // Truncated: the connection ends in the middle of a version, and a new connection follows.
    let messages = peer.messages(version_of(1, 10), &max_open_settings(800));
    peer.send(&messages[0]);
    let half = wire::encode_frame(&messages[1]);
    peer.stream.write_all(&half[..half.len() / 2]).expect("sent");
    drop(peer);
    // Oversize: an announced size is never allocated, and an invalid frame length ends the connection.
    let mut peer = service.welcome(1);
    let mut huge = peer.messages(version_of(1, 10), &max_open_settings(800));
    if let FromService::Offer { entries, .. } = &mut huge[0] {
        entries[0].bytes = 1 << 50;
    }
    huge.iter().for_each(|m| peer.send(m));
    assert_eq!(peer.answer(), Some(Code::Oversize));
    peer.stream.write_all(&[0x7f, 0xff, 0xff, 0xff, b'{']).expect("sent");
    while peer.receive().is_some() {}
    // Reproducible random bytes, before and after a welcome.
    let mut random = 0x9e37_79b9_7f4a_7c15_u64;
    for round in 0..20 {
        let mut peer = if round % 2 == 0 { service.welcome(1) } else { service.accept() };
        let bytes: Vec<u8> = (0..200)
            .map(|_| {
                random =
                    random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                (random >> 56) as u8
            })
            .collect();
        let _ = peer.stream.write_all(&bytes);
        let _ = peer.stream.shutdown(std::net::Shutdown::Write);
        while peer.receive().is_some() {}
    }
    // A service with an older epoch is rejected; the next valid one is accepted.
    let mut peer = service.welcome(0);
    while peer.receive().is_some() {}
    let mut peer = service.welcome(2);
    assert_eq!(peer.offer(version_of(2, 11), &max_open_settings(900)), None);
    fixture.serve_one(&mut client, 99);
    assert_eq!((counter(&program, "version_number"), counter(&program, "clients_malformed")), (11, 0));
}

#[test]
fn a_silent_control_service_is_abandoned_for_the_next_one() {
    let (fixture, silent, control) = (Fixture::new(), ScriptedService::new(), Control::start(SINGLE_WAVE));
    let version = control.publish(&max_open_document(700));
    let services = [silent.address(), control.program.address];
    let program = fixture.start(&services, "trial_ms = 0\nsilence_ms = 200");
    // A connection to the silent service is kept open and never answered, like a half-open one.
    silent.listener.set_nonblocking(true).expect("set");
    let mut kept = Vec::new();
    wait_for("the dispatcher runs the other service's version", || {
        kept.extend(silent.listener.accept());
        let status = control.status();
        let found = status["instances"].as_array()?.iter().any(|i| i["running"] == version.as_str());
        found.then_some(())
    });
    fixture.serve_one(&mut Client::connect(program.address), 1);
}

#[test]
fn a_version_that_makes_things_worse_is_reverted_and_reported() {
    let (fixture, control) = (Fixture::new(), Control::start(SINGLE_WAVE));
    let trial = "trial_ms = 2000\ntrial_least = 10\ntrial_margin = 0.1";
    let program = fixture.start(&[control.program.address], trial);
    let mut client = Client::connect(program.address);
    let first = control.publish(&max_open_document(900));
    control.until_runs("n0", &first);
    let mut seq = 0;
    let mut serve = |client: &mut Client| {
        seq += 1;
        fixture.serve_one(client, seq);
    };
    // Requests are served while the first version is on trial, as a baseline for the second.
    wait_for("the first version is kept", || {
        serve(&mut client);
        (counter(&program, "versions_kept") == 1).then_some(())
    });
    // The baseline is sampled ten times per trial length; 500 ms bring enough answers between its first sample and the
    // next version.
    let began = Instant::now();
    while began.elapsed().as_millis() < 500 {
        serve(&mut client);
    }
    // One request is held open and the second version allows only one, so that all others are refused at once. The held
    // request is of a class without second attempts, which could otherwise be answered by mistake.
    client.serve(500_000, &fields("alert-send", &id(500_000), LONG_TTL_MS), b"");
    let mut held = fixture.executor.next();
    let second = control.publish(&max_open_document(1));
    wait_for("the second version runs", || (counter(&program, "version_number") == 2).then_some(()));
    seq = 500_000;
    let mut ask = |client: &mut Client| {
        seq += 1;
        client.serve(seq, &fields("flow-read", &id(seq as u64), LONG_TTL_MS), b"");
        // The request is either refused at once or sent to the executor.
        let began = Instant::now();
        client.stream.set_nonblocking(true).expect("set");
        let mut first = [0];
        let refused = loop {
            if client.stream.peek(&mut first).is_ok() {
                break true;
            }
            if let Some(mut line) = fixture.executor.poll() {
                line.ok(b"served");
                break false;
            }
            assert!(began.elapsed() < PATIENCE, "the request is neither refused nor sent");
        };
        client.stream.set_nonblocking(false).expect("set");
        assert!(client.receive().is_some());
        refused
    };
    let why = wait_for("the second version is reverted", || {
        ask(&mut client);
        let status = control.status();
        let refused = status["instances"][0]["refused"].as_array()?.first()?.clone();
        (refused["version"] == second.as_str())
            .then(|| refused["why"].as_str().unwrap_or_default().to_string())
    });
    assert!(why.contains("refused or failed"), "{why}");
    control.until_runs("n0", &first);
    wait_for("requests are served again", || (!ask(&mut client)).then_some(()));
    assert_eq!((counter(&program, "versions_returned"), counter(&program, "version_number")), (1, 1));
    held.ok(b"served");
    wait_for("the held request is answered", || {
        matches!(client.receive(), Some((500_000, Reply::Served(_)))).then_some(())
    });
}

#[test]
fn a_class_is_removed_only_after_retirement_and_requests_in_flight_keep_theirs() {
    let (fixture, control) = (Fixture::new(), Control::start(SINGLE_WAVE));
    let program = fixture.start(&[control.program.address], "trial_ms = 0");
    let mut client = Client::connect(program.address);
    client.serve(1, &fields("flow-read", &id(1), LONG_TTL_MS), b"");
    let mut line = fixture.executor.next();
    let lanes = fixture.config()["settings"]["lanes"].clone();
    let with =
        |lanes: &[Value]| toml::to_string(&json!({"fleet": {"settings": {"lanes": lanes}}})).expect("TOML");
    let lanes = lanes.as_array().expect("lanes").clone();
    let without_class = control.publish(&with(&lanes[1..]));
    assert!(control.until_refuses("n0", &without_class).contains("retired"));
    let mut retired = lanes.clone();
    retired[0]["retired"] = json!(true);
    let version = control.publish(&with(&retired));
    control.until_runs("n0", &version);
    // New requests of the class are rejected, and the accepted one is served.
    client.serve(2, &fields("flow-read", &id(2), LONG_TTL_MS), b"");
    assert!(matches!(client.receive(), Some((2, Reply::Exception(_)))));
    let without_class = control.publish(&with(&lanes[1..]));
    control.until_runs("n0", &without_class);
    line.ok(b"served");
    assert_eq!(client.receive(), Some((1, Reply::Served(b"served".to_vec()))));
}

#[test]
fn sighup_reloads_the_file_beneath_the_running_version() {
    let (fixture, control) = (Fixture::new(), Control::start(SINGLE_WAVE));
    let program = fixture.start(&[control.program.address], "trial_ms = 0");
    let version = control.publish("[fleet.settings.limits]\nmax_open = 1\n");
    control.until_runs("n0", &version);
    let mut client = Client::connect(program.address);
    let mut held =
        |seq: i32, class: &str| client.serve(seq, &fields(class, &id(seq as u64), LONG_TTL_MS), b"");
    held(1, "flow-read");
    let mut line = fixture.executor.next();
    // The file now allows 1,000 and has a new class; the version still limits open requests to 1.
    let mut config = fixture.config();
    let mut class = config["settings"]["lanes"][0].clone();
    class["name"] = json!("gate-read");
    config["settings"]["lanes"].as_array_mut().expect("lanes").push(class);
    std::fs::write(&program.path, config.to_string()).expect("written");
    program.signal(rustix::process::Signal::HUP);
    assert_eq!(program.line(), "ochreward: the new configuration is in use");
    held(2, "gate-read");
    assert!(matches!(client.receive(), Some((2, Reply::Refused(_)))));
    line.ok(b"served");
    assert_eq!(client.receive(), Some((1, Reply::Served(b"served".to_vec()))));
    // A file that cannot be combined with the version is refused like a faulty one.
    config["settings"]["limits"] = json!(7);
    std::fs::write(&program.path, config.to_string()).expect("written");
    program.signal(rustix::process::Signal::HUP);
    wait_for("the file is refused", || (counter(&program, "reloads_refused") == 1).then_some(()));
    // With both changes at once, the version overrides the current file whichever is applied first.
    std::fs::write(&program.path, fixture.config().to_string()).expect("written");
    let next = control.publish("[fleet.settings.limits]\nmax_open = 2\n");
    program.signal(rustix::process::Signal::HUP);
    assert_eq!(program.line(), "ochreward: the new configuration is in use");
    control.until_runs("n0", &next);
    for seq in 10..13 {
        client.serve(seq, &fields("flow-read", &id(seq as u64), LONG_TTL_MS), b"");
    }
    assert!(matches!(client.receive(), Some((12, Reply::Refused(_)))));
}

#[test]
fn during_an_upgrade_both_processes_run_one_version_and_the_successor_takes_over_the_stream() {
    let (fixture, control) = (Fixture::new(), Control::start(SINGLE_WAVE));
    let (socket, shared) = (TcpListener::bind("127.0.0.1:0").expect("a socket"), folder());
    let path = operator_file(&[control.program.address], None, "trial_ms = 0");
    let arguments = ["run", "--operator", &path];
    let old = Program::beside_with(&arguments, &socket, &shared, &fixture.config());
    old.until_ready();
    let first = control.publish(&max_open_document(900));
    control.until_runs("n0", &first);
    wait_for("the version is stored as good", || {
        shared.join("ochreward-n0/versions/good").exists().then_some(())
    });
    let new = Program::beside_with(&arguments, &socket, &shared, &fixture.config());
    new.until_ready();
    assert_eq!(counter(&new, "version_number"), 1, "the successor starts with the old process's version");
    // A version arrives while both processes serve.
    let second = control.publish(&max_open_document(800));
    control.until_runs("n0", &second);
    wait_for("the successor runs the second version", || {
        (counter(&new, "version_number") == 2).then_some(())
    });
    assert_eq!((counter(&old, "version_number"), counter(&new, "stream_connects")), (2, 0));
    assert_eq!(old.end().0, Some(0));
    wait_for("the successor streams", || (counter(&new, "stream_connects") > 0).then_some(()));
    let third = control.publish(&max_open_document(700));
    control.until_runs("n0", &third);
    assert_eq!(counter(&new, "version_number"), 3);
    fixture.serve_one(&mut Client::connect(new.address), 1);
}

#[test]
fn a_rollout_resumes_after_a_service_kill_and_halts_on_a_refusal() {
    let fixture = Fixture::new();
    let control =
        Control::start("canary = \"role=canary\"\nwaves = [0.5, 1.0]\nwatch_ms = 100\nanswer_ms = 1500");
    let address = control.program.address;
    let programs: Vec<Program> = (0..5)
        .map(|n| {
            let mut config = fixture.config();
            config["name"] = json!(format!("n{n}"));
            // The last instance lacks the memory that a later version requires.
            config["limits"]["memory_mb"] = json!(if n == 4 { 64 } else { 192 });
            let role = if n == 0 { "canary" } else { "usual" };
            let more = format!("trial_ms = 0\nlabels = {{ role = \"{role}\", zone = \"h{}\" }}", n % 2);
            let kept = folder();
            Program::run(&["run", "--operator", &operator_file(&[address], Some(&kept), &more)], &config)
        })
        .collect();
    wait_for("all instances are connected", || {
        (control.status()["instances"].as_array()?.len() == 5).then_some(())
    });
    let answer =
        control.ask(&Request::Publish { at_once: false }, Some(&max_open_document(900))).expect("published");
    assert_eq!(answer["version"], "1.1");
    control.until_runs("n0", "1.1");
    let control = control.restart();
    let done = |control: &Control, phase: &str| {
        wait_for(&format!("{phase}: {}", control.status()), || {
            (control.status()["rollout"]["phase"] == phase).then_some(())
        })
    };
    done(&control, "done");
    for n in 0..5 {
        control.until_runs(&format!("n{n}"), "1.1");
    }
    assert_eq!(
        programs.iter().map(|p| counter(p, "versions_applied")).sum::<u64>(),
        5,
        "no wave is repeated"
    );
    // The same content twice is one version. A version that an instance refuses halts the rollout.
    let again =
        control.ask(&Request::Publish { at_once: false }, Some(&max_open_document(900))).expect("published");
    assert_eq!((&again["version"], &again["new"]), (&json!("1.1"), &json!(false)));
    let version = control
        .ask(
            &Request::Publish { at_once: false },
            Some("[fleet.limits]\nmemory_mb = 128\n[zone.h1.settings.limits]\nmax_open = 10"),
        )
        .expect("published")["version"]
        .as_str()
        .expect("a version")
        .to_string();
    assert_eq!(version, "2.2", "a restarted service has the next epoch");
    done(&control, "halted");
    // Instances already asked may answer after the halt.
    let status = wait_for("all instances asked have answered", || {
        Some(control.status()).filter(|s| s["rollout"]["unknown"].as_array().is_some_and(Vec::is_empty))
    });
    let rollout = &status["rollout"];
    assert!(rollout["why"].as_str().is_some_and(|w| w.contains("n4 refused: limits.memory_mb")), "{rollout}");
    let count = |key: &str| rollout[key].as_array().map_or(0, Vec::len);
    assert_eq!(count("refused"), 1);
    // The service's report on each instance matches the instance's own counters.
    for (n, program) in programs.iter().enumerate() {
        let name = json!(format!("n{n}"));
        let changed = rollout["changed"].as_array().expect("a list").contains(&name);
        assert_eq!(counter(program, "version_number"), if changed { 2 } else { 1 }, "{name}");
    }
    let explained = control.ask(&Request::Explain { instance: "n1".into() }, None).expect("an answer");
    assert_eq!(explained["version"], "1.1", "no version is offered while the rollout is halted");
    control.ask(&Request::Resume {}, None).expect("resumed");
    done(&control, "done");
    control.until_runs("n1", &version);
    let explained = control.ask(&Request::Explain { instance: "n1".into() }, None).expect("an answer");
    let layer = |key: &str| {
        let keys = explained["keys"].as_array().expect("keys");
        keys.iter().find(|k| k["key"] == key).map(|k| k["layer"].clone())
    };
    assert_eq!(layer("settings.limits.max_open"), Some(json!("zone.h1")));
    assert_eq!(layer("limits.memory_mb"), Some(json!("fleet")));
}

#[test]
fn a_subscriber_reading_a_byte_at_a_time_delays_no_other() {
    let (fixture, control) = (Fixture::new(), Control::start(SINGLE_WAVE));
    // The slow subscriber sends its hello and then reads its version a byte at a time. The service must bound what it buffers
    // for it and serve others meanwhile.
    let mut slow = TcpStream::connect(control.program.address).expect("a connection");
    let hello = json!({"type": "hello", "protocol": PROTOCOL, "instance": "slow", "running": null});
    slow.write_all(&wire::encode_frame(&hello)).expect("sent");
    wait_for("the instance is known", || {
        (control.status()["instances"].as_array()?.len() == 1).then_some(())
    });
    let program = fixture.start(&[control.program.address], "trial_ms = 0");
    let ids: Vec<String> = (0..4_000).map(|n| format!("{n:0100}")).collect();
    let document = json!({"fleet": {"bans": {"executors": ids}}});
    let version = control.publish(&toml::to_string(&document).expect("TOML"));
    let mut byte = [0];
    let mut read = 0;
    wait_for("the dispatcher runs the version", || {
        read += slow.read(&mut byte).unwrap_or(0);
        let status = control.status();
        let found = status["instances"].as_array()?.iter().any(|i| i["running"] == version.as_str());
        found.then_some(())
    });
    assert!(read < 100_000, "{read}");
    fixture.serve_one(&mut Client::connect(program.address), 1);
}

#[test]
fn a_full_standard_error_pipe_blocks_nothing() {
    let (fixture, control) = (Fixture::new(), Control::start(SINGLE_WAVE));
    // A pipe that is full before the program starts.
    let (unread, full) = std::io::pipe().expect("a pipe");
    rustix::io::ioctl_fionbio(&full, true).expect("set");
    while (&full).write(&[b'x'; 512]).is_ok() {}
    rustix::io::ioctl_fionbio(&full, false).expect("set");
    let path = operator_file(&[control.program.address], Some(&fixture.versions), "trial_ms = 0");
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_ochreward"));
    command.args(["run", "--log-level", "trace", "--operator", &path]).stderr(full);
    let program = Program::launched(command, &fixture.config());
    let mut client = Client::connect(program.address);
    for n in 1..=50 {
        let version = control.publish(&max_open_document(900 + n));
        control.until_runs("n0", &version);
        fixture.serve_one(&mut client, n as i32);
    }
    program.kill();
    drop(unread);
}

#[test]
fn each_instance_of_an_agent_streams_under_its_own_name() {
    let (fixture, control) = (Fixture::new(), Control::start(SINGLE_WAVE));
    let version = control.publish(&max_open_document(700));
    let mut text = std::fs::read_to_string(operator_file(
        &[control.program.address],
        Some(&fixture.versions),
        "trial_ms = 0",
    ))
    .expect("a file");
    text += "[agent]\nlisten = \"127.0.0.1:0\"\n";
    for n in 0..2 {
        let config_path = file(&fixture.config().to_string()).display().to_string();
        let listen = crate::agent::unused_address();
        text += &format!(
            "[[agent.instance]]\nname = \"a{n}\"\nlisten = \"{listen}\"\nconfig = {config_path:?}\n"
        );
    }
    let path = file(&text).display().to_string();
    let _agent = Program::run(&["agent", "--operator", &path], &json!({}));
    for name in ["a0", "a1"] {
        control.until_runs(name, &version);
        wait_for("the version is stored as good", || {
            fixture.versions.join(name).join("good").exists().then_some(())
        });
    }
}

#[test]
fn versions_add_and_change_brokers() {
    let (fixture, control) = (Fixture::new(), Control::start(SINGLE_WAVE));
    let program = fixture.start(&[control.program.address], "trial_ms = 0");
    let broker = crate::broker::Broker::start();
    let front = |more: &str| {
        format!(
            "[[fleet.fronts.mqtt]]\nbroker = \"{}\"\nclient_id = \"one\"\ntriggers = \"t/#\"\n{more}",
            broker.address
        )
    };
    let first = control.publish(&front(""));
    control.until_runs("n0", &first);
    wait_for("the broker is connected", || (counter(&program, "mqtt_connects") == 1).then_some(()));
    let second = control.publish(&format!("{}\n[fleet.settings.limits]\nmax_open = 500", front("")));
    control.until_runs("n0", &second);
    assert_eq!(counter(&program, "mqtt_connects"), 1, "an unchanged broker stays connected");
    let third = control.publish(&front("keep_alive_s = 7"));
    control.until_runs("n0", &third);
    wait_for("the broker is connected again", || (counter(&program, "mqtt_connects") >= 2).then_some(()));
}

#[test]
fn the_command_line_publishes_reports_and_returns_exit_codes() {
    let (fixture, control) = (Fixture::new(), Control::start(SINGLE_WAVE));
    let address = control.program.address.to_string();
    let _program = fixture.start(&[control.program.address], "trial_ms = 0");
    wait_for("the instance is connected", || {
        (control.status()["instances"].as_array()?.len() == 1).then_some(())
    });
    let run = |words: &[&str]| {
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_ochreward"))
            .arg("control")
            .args(words)
            .env("OCHREWARD_CONTROL", &address)
            .output()
            .expect("the command line runs");
        let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
        (output.status.code(), text(output.stdout) + &text(output.stderr))
    };
    let good = file(&max_open_document(640)).display().to_string();
    let bad = file("[fleet.settings.limits]\nsend_cap = 0\nmax_open = \"x\"").display().to_string();
    let unfit = file("[fleet.limits]\nmemory_mb = 2048").display().to_string();
    assert_eq!(run(&["validate", &good]).0, Some(0));
    let (code, text) = run(&["validate", &bad]);
    assert!(code == Some(1) && text.contains("send_cap") && text.contains("max_open"), "{text}");
    let (code, text) = run(&["publish", &good, "--wait"]);
    assert!(code == Some(0) && text.contains("1.1 published") && text.contains("current"), "{text}");
    let (code, text) = run(&["publish", &unfit, "--wait"]);
    assert!(code == Some(1) && text.contains("halted") && text.contains("limits.memory_mb"), "{text}");
    let (code, text) = run(&["diff", "1", "2"]);
    assert!(code == Some(0) && text.contains("fleet.limits.memory_mb"), "{text}");
    assert!(run(&["rollback", "1"]).1.contains("1.3 holds what version 1 held"));
    control.until_runs("n0", "1.3");
    let (code, text) = run(&["history"]);
    assert!(code == Some(0) && text.lines().count() == 4 && text.contains("settings 1.3"), "{text}");
    let (_, text) = run(&["status", "--json"]);
    let status: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(
        (&status["complete"], &status["instances"][0]["standing"]),
        (&json!("1.3"), &json!("current"))
    );
    assert!(run(&["status", "--explain", "n0"]).1.contains("fleet"));
    assert_eq!(run(&["rollback", "77"]).0, Some(1));
    assert_eq!(run(&["jump"]).0, Some(2));
}
