//! Streamed configuration with real processes: dispatchers, the control service, and a scripted service that does
//! what no good one does.

use crate::id;
use crate::stand::{Client, Executor, Names, PATIENCE, Program, Reply, config, fields, file, folder};
use ochreward_control::admin::{self, Request};
use ochreward_stream::wire::{self, Code, Entry, FromService, PROTOCOL, ToService};
use ochreward_stream::{Digest, Kind, Version};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Instant;

const LONG: u64 = 20_000;

/// Asks again and again until it holds.
fn until<T>(what: &str, mut holds: impl FnMut() -> Option<T>) -> T {
    let began = Instant::now();
    loop {
        if let Some(it) = holds() {
            return it;
        }
        assert!(began.elapsed() < PATIENCE, "never: {what}");
        std::thread::yield_now();
    }
}

// ---- The control service ----

/// A control service as a process, with a store that outlives it.
struct Control {
    program: Program,
    store: PathBuf,
    rollout: String,
}

impl Control {
    /// With these lines under `[control.service.rollout]`.
    fn start(rollout: &str) -> Control {
        Control::on(&folder(), "127.0.0.1:0", rollout)
    }

    fn on(store: &Path, listen: &str, rollout: &str) -> Control {
        let text = format!(
            "[control.service]\nlisten = {listen:?}\nstore = {:?}\nheartbeat_ms = 20\n[control.service.rollout]\n{rollout}\n",
            store.display().to_string()
        );
        let path = file(&text).display().to_string();
        let program = Program::run(&["control", "serve", "--operator", &path], &json!({}));
        Control { program, store: store.into(), rollout: rollout.to_string() }
    }

    /// Killed, and started again on the same store and address.
    fn restart(self) -> Control {
        let (store, rollout, address) = (self.store.clone(), self.rollout.clone(), self.program.address);
        self.program.kill();
        Control::on(&store, &address.to_string(), &rollout)
    }

    fn ask(&self, ask: &Request, document: Option<&str>) -> Result<Value, String> {
        let client = admin::Client::connect(self.program.address).map_err(|e| e.to_string())?;
        client.request(ask, document).map_err(|e| e.to_string())
    }

    fn publish(&self, document: &str) -> String {
        let answer = self.ask(&Request::Publish { at_once: true }, Some(document)).expect("published");
        answer["version"].as_str().expect("a version").to_string()
    }

    fn status(&self) -> Value {
        self.ask(&Request::Status {}, None).expect("a status")
    }

    /// Waits until the instance is known to run the version.
    fn until_runs(&self, instance: &str, version: &str) {
        until(&format!("{instance} runs {version}: {}", self.status()), || {
            let status = self.status();
            let mut instances = status["instances"].as_array()?.iter();
            let running = &instances.find(|i| i["instance"] == instance)?["running"];
            (running == version).then_some(())
        });
    }

    /// Waits until the instance has refused the version, and returns why.
    fn until_refuses(&self, instance: &str, version: &str) -> String {
        until(&format!("{instance} refuses {version}"), || {
            let status = self.status();
            let mut instances = status["instances"].as_array()?.iter();
            let refused = instances.find(|i| i["instance"] == instance)?["refused"].clone();
            let why = refused.as_array()?.iter().find(|r| r["version"] == version)?["why"].clone();
            why.as_str().map(str::to_string)
        })
    }
}

/// The operator's file of a dispatcher that streams from these services.
fn operator(services: &[SocketAddr], folder: Option<&Path>, more: &str) -> String {
    let services: Vec<String> = services.iter().map(|s| format!("{:?}", s.to_string())).collect();
    let folder = folder.map(|f| format!("folder = {:?}\n", f.display().to_string())).unwrap_or_default();
    let text = format!(
        "[control.stream]\nservices = [{}]\n{folder}backoff_first_ms = 2\nbackoff_last_ms = 20\n{more}\n",
        services.join(", ")
    );
    file(&text).display().to_string()
}

/// An executor, a name service, and dispatchers beside them.
struct Bed {
    executor: Executor,
    names: Names,
    versions: PathBuf,
}

impl Bed {
    fn new() -> Bed {
        let (executor, names) = (Executor::start(), Names::start());
        names.set(2, &[("s0", executor.address, 0)]);
        Bed { executor, names, versions: folder() }
    }

    fn config(&self) -> Value {
        let mut config = config(&[&self.executor], &self.names);
        config["settings"]["family_info"]["orders"] = json!(true);
        config["settings"]["family_info"]["load_window_us"] = json!(5_000_000);
        config["settings"]["family_info"]["loads_anyway"] = json!(6);
        config["settings"]["family_info"]["loads_per_request"] = json!(0.3);
        config
    }

    fn start(&self, services: &[SocketAddr], more: &str) -> Program {
        self.start_with(&self.config(), services, more)
    }

    fn start_with(&self, config: &Value, services: &[SocketAddr], more: &str) -> Program {
        Program::run(&["run", "--operator", &operator(services, Some(&self.versions), more)], config)
    }

    /// A request that is served.
    fn serves(&self, client: &mut Client, seq: i32) {
        client.serve(seq, &fields("flow-read", &id(seq as u64), LONG), b"");
        self.executor.next().ok(b"served");
        assert_eq!(client.receive(), Some((seq, Reply::Served(b"served".to_vec()))));
    }
}

/// A version with this bound on open requests.
fn open(most: u64) -> String {
    format!("[fleet.settings.limits]\nmax_open = {most}\n")
}

fn counter(program: &Program, name: &str) -> u64 {
    program.counters()[name]
}

const AT_ONCE: &str = "waves = [1.0]\nwatch_ms = 0\nanswer_ms = 5000";

#[test]
fn good_versions_run_and_bad_ones_are_turned_down_by_the_rule_that_they_break() {
    let (bed, control) = (Bed::new(), Control::start(AT_ONCE));
    let program = bed.start(&[control.program.address], "trial_ms = 0");
    let mut client = Client::connect(program.address);
    let first = control.publish(&open(900));
    control.until_runs("n0", &first);
    bed.serves(&mut client, 1);
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
    bed.serves(&mut client, 2);
    // What no version may say is not even published.
    let faults =
        control.ask(&Request::Publish { at_once: true }, Some("[fleet.settings.limits]\nsend_cap = 0"));
    assert!(faults.as_ref().is_err_and(|e| e.contains("fleet.settings.limits.send_cap")), "{faults:?}");
    // Whether a drain rule is too wide only the platform's file tells: 250 ms where it says nothing.
    let grace = control.publish("[fleet.settings.rules]\nstop_sending_within_us = 300000");
    let why = control.until_refuses("n0", &grace);
    assert!(why.starts_with("settings.rules.stop_sending_within_us") && why.contains("drain rule"), "{why}");
    control.until_runs("n0", &first);
    let last = control.publish(&open(800));
    control.until_runs("n0", &last);
    bed.serves(&mut client, 3);
    let (code, counters) = program.end();
    assert_eq!((code, counters["versions_applied"], counters["versions_refused"]), (Some(0), 2, 6));
}

#[test]
fn with_the_service_away_at_its_start_it_runs_the_last_good_version_and_without_any_settings_it_is_not_ready()
{
    let (bed, control) = (Bed::new(), Control::start(AT_ONCE));
    let address = control.program.address;
    // Nothing in the file, nothing stored.
    let mut bare = bed.config();
    bare["ops"] = json!("127.0.0.1:0");
    let whole = bare["settings"].clone();
    bare.as_object_mut().expect("an object").remove("settings");
    let program = bed.start_with(&bare, &[address], "trial_ms = 0");
    assert_eq!(program.call("GET", "/_ready"), 503);
    let document = json!({"fleet": {"settings": whole}});
    let version = control.publish(&toml::to_string(&document).expect("TOML"));
    program.until_ready();
    control.until_runs("n0", &version);
    // A promotion is on the disk once the counter says that the version is kept, and the next start reads it.
    until("kept", || {
        (counter(&program, "versions_kept") == 1 && bed.versions.join("n0/good").exists()).then_some(())
    });
    program.kill();
    control.program.kill();
    let program = bed.start_with(&bare, &[address], "trial_ms = 0");
    program.until_ready();
    assert_eq!((counter(&program, "version_number"), counter(&program, "version_epoch")), (1, 1));
    assert_eq!(counter(&program, "stream_stale_ms"), u64::MAX);
    bed.serves(&mut Client::connect(program.address), 1);
    program.kill();
    // Torn at its end: the one before is none, and it says so.
    let good = bed.versions.join("n0/good");
    let bytes = std::fs::read(&good).expect("a file");
    std::fs::write(&good, &bytes[..bytes.len() - 1]).expect("written");
    let program = bed.start_with(&bare, &[address], "trial_ms = 0");
    assert_eq!(program.call("GET", "/_ready"), 503);
    assert_eq!(counter(&program, "version_number"), 0);
}

// ---- A scripted service ----

struct Scripted {
    listener: TcpListener,
}

struct Peer {
    stream: TcpStream,
    nonce: u64,
}

impl Scripted {
    fn new() -> Scripted {
        Scripted { listener: TcpListener::bind("127.0.0.1:0").expect("a listener") }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }

    fn accept(&self) -> Peer {
        let (stream, _) = self.listener.accept().expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        Peer { stream, nonce: 0 }
    }

    /// Accepts, and welcomes with this epoch.
    fn welcome(&self, epoch: u64) -> Peer {
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

impl Peer {
    fn send(&mut self, message: &FromService) {
        self.stream.write_all(&wire::encode_frame(message)).expect("sent");
    }

    /// The next message; none once the connection has ended.
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

    /// Offers a version; `None` for an ACK, else the code of the NACK.
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

fn v(epoch: u64, number: u64) -> Version {
    Version::new(epoch, number)
}

fn bound(most: u64) -> String {
    json!({"limits": {"max_open": most}}).to_string()
}

#[test]
fn good_bad_out_of_order_oversize_truncated_and_random_bytes_leave_it_serving_on_the_last_good_version() {
    let (bed, service) = (Bed::new(), Scripted::new());
    let program = bed.start(&[service.address()], "trial_ms = 0");
    let mut client = Client::connect(program.address);
    let mut peer = service.welcome(1);
    let mut timeline = Vec::new();
    let steps = [
        (v(1, 2), bound(500), None),
        (v(1, 1), bound(400), Some(Code::OutOfOrder)),
        (v(1, 3), "[1, 2]".to_string(), Some(Code::Invalid)),
        (v(1, 3), "{\"limits\": ".to_string(), Some(Code::Invalid)),
        (v(1, 2), bound(401), Some(Code::Conflict)),
        (v(1, 2), bound(500), None),
        (v(1, 9), bound(600), None),
        (v(2, 1), bound(700), Some(Code::Damaged)),
    ];
    for (n, (version, text, outcome)) in steps.into_iter().enumerate() {
        assert_eq!(peer.offer(version, &text), outcome, "{version} {text}");
        timeline.push((counter(&program, "version_number"), outcome.is_none()));
        bed.serves(&mut client, n as i32 + 1);
    }
    let numbers: Vec<u64> = timeline.iter().map(|(n, _)| *n).collect();
    assert_eq!(numbers, [2, 2, 2, 2, 2, 2, 9, 9], "what ran after each step");
    // Truncated: the connection ends in the middle of a version, and the next one is another's.
    let messages = peer.messages(v(1, 10), &bound(800));
    peer.send(&messages[0]);
    let half = wire::encode_frame(&messages[1]);
    peer.stream.write_all(&half[..half.len() / 2]).expect("sent");
    drop(peer);
    // Oversize: what is announced is never allocated, what is no frame ends the connection.
    let mut peer = service.welcome(1);
    let mut huge = peer.messages(v(1, 10), &bound(800));
    if let FromService::Offer { entries, .. } = &mut huge[0] {
        entries[0].bytes = 1 << 50;
    }
    huge.iter().for_each(|m| peer.send(m));
    assert_eq!(peer.answer(), Some(Code::Oversize));
    peer.stream.write_all(&[0x7f, 0xff, 0xff, 0xff, b'{']).expect("sent");
    while peer.receive().is_some() {}
    // Random bytes, the same ones every time, before and after a welcome.
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
    // A service with an older store is not followed; the next good one is.
    let mut peer = service.welcome(0);
    while peer.receive().is_some() {}
    let mut peer = service.welcome(2);
    assert_eq!(peer.offer(v(2, 11), &bound(900)), None);
    bed.serves(&mut client, 99);
    assert_eq!((counter(&program, "version_number"), counter(&program, "clients_malformed")), (11, 0));
}

#[test]
fn a_service_that_falls_silent_is_given_up_for_the_next_one() {
    let (bed, silent, control) = (Bed::new(), Scripted::new(), Control::start(AT_ONCE));
    let version = control.publish(&open(700));
    let services = [silent.address(), control.program.address];
    let program = bed.start(&services, "trial_ms = 0\nsilence_ms = 200");
    // The first connection, if it comes here, is kept open and never answered: half open to the dispatcher.
    silent.listener.set_nonblocking(true).expect("set");
    let mut kept = Vec::new();
    until("the other service", || {
        kept.extend(silent.listener.accept());
        let status = control.status();
        let found = status["instances"].as_array()?.iter().any(|i| i["running"] == version.as_str());
        found.then_some(())
    });
    bed.serves(&mut Client::connect(program.address), 1);
}

#[test]
fn a_version_that_makes_things_worse_is_given_up_and_told() {
    let (bed, control) = (Bed::new(), Control::start(AT_ONCE));
    let trial = "trial_ms = 2000\ntrial_least = 10\ntrial_margin = 0.1";
    let program = bed.start(&[control.program.address], trial);
    let mut client = Client::connect(program.address);
    let first = control.publish(&open(900));
    control.until_runs("n0", &first);
    let mut seq = 0;
    let mut serve = |client: &mut Client| {
        seq += 1;
        bed.serves(client, seq);
    };
    // Served while the first is on trial, so that there is a time before to compare with.
    until("the first is kept", || {
        serve(&mut client);
        (counter(&program, "versions_kept") == 1).then_some(())
    });
    // Samples are taken ten times a trial; enough answers lie between the first one and the next version.
    let began = Instant::now();
    while began.elapsed().as_millis() < 500 {
        serve(&mut client);
    }
    // One request is held, and the version has room for no other: all the rest is refused at once.
    // It is of a class without second attempts, which would be answered in the others' place.
    client.serve(500_000, &fields("alert-send", &id(500_000), LONG), b"");
    let mut held = bed.executor.next();
    let second = control.publish(&open(1));
    until("the second runs", || (counter(&program, "version_number") == 2).then_some(()));
    seq = 500_000;
    let mut ask = |client: &mut Client| {
        seq += 1;
        client.serve(seq, &fields("flow-read", &id(seq as u64), LONG), b"");
        // Refused at once, or on its way to the executor.
        let began = Instant::now();
        client.stream.set_nonblocking(true).expect("set");
        let mut first = [0];
        let refused = loop {
            if client.stream.peek(&mut first).is_ok() {
                break true;
            }
            if let Some(mut line) = bed.executor.poll() {
                line.ok(b"served");
                break false;
            }
            assert!(began.elapsed() < PATIENCE, "neither");
        };
        client.stream.set_nonblocking(false).expect("set");
        assert!(client.receive().is_some());
        refused
    };
    let why = until("the second is given up", || {
        ask(&mut client);
        let status = control.status();
        let refused = status["instances"][0]["refused"].as_array()?.first()?.clone();
        (refused["version"] == second.as_str())
            .then(|| refused["why"].as_str().unwrap_or_default().to_string())
    });
    assert!(why.contains("refused or failed"), "{why}");
    control.until_runs("n0", &first);
    until("it serves again", || (!ask(&mut client)).then_some(()));
    assert_eq!((counter(&program, "versions_returned"), counter(&program, "version_number")), (1, 1));
    held.ok(b"served");
    until("the held one is answered", || {
        matches!(client.receive(), Some((500_000, Reply::Served(_)))).then_some(())
    });
}

#[test]
fn requests_in_flight_keep_their_class_and_a_class_in_use_goes_only_after_its_retirement() {
    let (bed, control) = (Bed::new(), Control::start(AT_ONCE));
    let program = bed.start(&[control.program.address], "trial_ms = 0");
    let mut client = Client::connect(program.address);
    client.serve(1, &fields("flow-read", &id(1), LONG), b"");
    let mut line = bed.executor.next();
    let lanes = bed.config()["settings"]["lanes"].clone();
    let with =
        |lanes: &[Value]| toml::to_string(&json!({"fleet": {"settings": {"lanes": lanes}}})).expect("TOML");
    let lanes = lanes.as_array().expect("lanes").clone();
    let gone = control.publish(&with(&lanes[1..]));
    assert!(control.until_refuses("n0", &gone).contains("retired"));
    let mut retired = lanes.clone();
    retired[0]["retired"] = json!(true);
    let version = control.publish(&with(&retired));
    control.until_runs("n0", &version);
    // Nothing new of it is taken, and what was taken is served.
    client.serve(2, &fields("flow-read", &id(2), LONG), b"");
    assert!(matches!(client.receive(), Some((2, Reply::Exception(_)))));
    let gone = control.publish(&with(&lanes[1..]));
    control.until_runs("n0", &gone);
    line.ok(b"served");
    assert_eq!(client.receive(), Some((1, Reply::Served(b"served".to_vec()))));
}

#[test]
fn a_sighup_reads_the_file_under_the_version_that_runs() {
    let (bed, control) = (Bed::new(), Control::start(AT_ONCE));
    let program = bed.start(&[control.program.address], "trial_ms = 0");
    let version = control.publish("[fleet.settings.limits]\nmax_open = 1\n");
    control.until_runs("n0", &version);
    let mut client = Client::connect(program.address);
    let mut held = |seq: i32, class: &str| client.serve(seq, &fields(class, &id(seq as u64), LONG), b"");
    held(1, "flow-read");
    let mut line = bed.executor.next();
    // The file now says 1,000, and has a new class; the version goes on saying 1.
    let mut config = bed.config();
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
    // A file that does not fit under the version is refused like one with a fault.
    config["settings"]["limits"] = json!(7);
    std::fs::write(&program.path, config.to_string()).expect("written");
    program.signal(rustix::process::Signal::HUP);
    until("refused", || (counter(&program, "reloads_refused") == 1).then_some(()));
    // Both at one moment: the version wins whichever comes first, over the file as it is then.
    std::fs::write(&program.path, bed.config().to_string()).expect("written");
    let next = control.publish("[fleet.settings.limits]\nmax_open = 2\n");
    program.signal(rustix::process::Signal::HUP);
    assert_eq!(program.line(), "ochreward: the new configuration is in use");
    control.until_runs("n0", &next);
    for seq in 10..13 {
        client.serve(seq, &fields("flow-read", &id(seq as u64), LONG), b"");
    }
    assert!(matches!(client.receive(), Some((12, Reply::Refused(_)))));
}

#[test]
fn during_an_upgrade_both_processes_run_the_same_version_and_the_successor_takes_the_stream_over() {
    let (bed, control) = (Bed::new(), Control::start(AT_ONCE));
    let (socket, shared) = (TcpListener::bind("127.0.0.1:0").expect("a socket"), folder());
    let path = operator(&[control.program.address], None, "trial_ms = 0");
    let words = ["run", "--operator", &path];
    let old = Program::beside_with(&words, &socket, &shared, &bed.config());
    old.until_ready();
    let first = control.publish(&open(900));
    control.until_runs("n0", &first);
    until("kept", || shared.join("ochreward-n0/versions/good").exists().then_some(()));
    let new = Program::beside_with(&words, &socket, &shared, &bed.config());
    new.until_ready();
    assert_eq!(counter(&new, "version_number"), 1, "the successor starts from the old one's");
    // One arrives while both serve.
    let second = control.publish(&open(800));
    control.until_runs("n0", &second);
    until("both run it", || (counter(&new, "version_number") == 2).then_some(()));
    assert_eq!((counter(&old, "version_number"), counter(&new, "stream_connects")), (2, 0));
    assert_eq!(old.end().0, Some(0));
    until("the successor streams", || (counter(&new, "stream_connects") > 0).then_some(()));
    let third = control.publish(&open(700));
    control.until_runs("n0", &third);
    assert_eq!(counter(&new, "version_number"), 3);
    bed.serves(&mut Client::connect(new.address), 1);
}

#[test]
fn killed_in_the_middle_of_a_wave_the_service_goes_on_and_a_refusal_halts_it() {
    let bed = Bed::new();
    let control =
        Control::start("canary = \"role=canary\"\nwaves = [0.5, 1.0]\nwatch_ms = 100\nanswer_ms = 1500");
    let address = control.program.address;
    let programs: Vec<Program> = (0..5)
        .map(|n| {
            let mut config = bed.config();
            config["name"] = json!(format!("n{n}"));
            // One of them can't take what the version asks for.
            config["limits"]["memory_mb"] = json!(if n == 4 { 64 } else { 192 });
            let role = if n == 0 { "canary" } else { "usual" };
            let more = format!("trial_ms = 0\nlabels = {{ role = \"{role}\", zone = \"h{}\" }}", n % 2);
            let kept = folder();
            Program::run(&["run", "--operator", &operator(&[address], Some(&kept), &more)], &config)
        })
        .collect();
    until("all are there", || (control.status()["instances"].as_array()?.len() == 5).then_some(()));
    let answer = control.ask(&Request::Publish { at_once: false }, Some(&open(900))).expect("published");
    assert_eq!(answer["version"], "1.1");
    control.until_runs("n0", "1.1");
    let control = control.restart();
    let done = |control: &Control, phase: &str| {
        until(&format!("{phase}: {}", control.status()), || {
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
        "no wave was repeated"
    );
    // The same content twice is one version; one that an instance can't take halts the rollout.
    let again = control.ask(&Request::Publish { at_once: false }, Some(&open(900))).expect("published");
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
    // Whoever had been asked may answer after the halt.
    let status = until("all who were asked have answered", || {
        Some(control.status()).filter(|s| s["rollout"]["unknown"].as_array().is_some_and(Vec::is_empty))
    });
    let rollout = &status["rollout"];
    assert!(rollout["why"].as_str().is_some_and(|w| w.contains("n4 refused: limits.memory_mb")), "{rollout}");
    let count = |key: &str| rollout[key].as_array().map_or(0, Vec::len);
    assert_eq!(count("refused"), 1);
    // What it says of each instance is what each instance says.
    for (n, program) in programs.iter().enumerate() {
        let name = json!(format!("n{n}"));
        let changed = rollout["changed"].as_array().expect("a list").contains(&name);
        assert_eq!(counter(program, "version_number"), if changed { 2 } else { 1 }, "{name}");
    }
    let explained = control.ask(&Request::Explain { instance: "n1".into() }, None).expect("an answer");
    assert_eq!(explained["version"], "1.1", "nothing more is offered while it is halted");
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
fn one_that_reads_a_byte_at_a_time_holds_up_nobody() {
    let (bed, control) = (Bed::new(), Control::start(AT_ONCE));
    // It says hello and then takes its version slowly; its rings stay bounded, and others are served.
    let mut slow = TcpStream::connect(control.program.address).expect("a connection");
    let hello = json!({"type": "hello", "protocol": PROTOCOL, "instance": "slow", "running": null});
    slow.write_all(&wire::encode_frame(&hello)).expect("sent");
    until("known", || (control.status()["instances"].as_array()?.len() == 1).then_some(()));
    let program = bed.start(&[control.program.address], "trial_ms = 0");
    let ids: Vec<String> = (0..4_000).map(|n| format!("{n:0100}")).collect();
    let document = json!({"fleet": {"bans": {"executors": ids}}});
    let version = control.publish(&toml::to_string(&document).expect("TOML"));
    let mut byte = [0];
    let mut read = 0;
    until("the other one runs it", || {
        read += slow.read(&mut byte).unwrap_or(0);
        let status = control.status();
        let found = status["instances"].as_array()?.iter().any(|i| i["running"] == version.as_str());
        found.then_some(())
    });
    assert!(read < 100_000, "{read}");
    bed.serves(&mut Client::connect(program.address), 1);
}

#[test]
fn a_standard_error_that_nobody_reads_holds_up_nothing() {
    let (bed, control) = (Bed::new(), Control::start(AT_ONCE));
    // A pipe that is full before the program starts.
    let (unread, full) = std::io::pipe().expect("a pipe");
    rustix::io::ioctl_fionbio(&full, true).expect("set");
    while (&full).write(&[b'x'; 512]).is_ok() {}
    rustix::io::ioctl_fionbio(&full, false).expect("set");
    let path = operator(&[control.program.address], Some(&bed.versions), "trial_ms = 0");
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_ochreward"));
    command.args(["run", "--log-level", "trace", "--operator", &path]).stderr(full);
    let program = Program::launched(command, &bed.config());
    let mut client = Client::connect(program.address);
    for n in 1..=50 {
        let version = control.publish(&open(900 + n));
        control.until_runs("n0", &version);
        bed.serves(&mut client, n as i32);
    }
    program.kill();
    drop(unread);
}

#[test]
fn an_agent_s_instances_stream_each_under_its_own_name() {
    let (bed, control) = (Bed::new(), Control::start(AT_ONCE));
    let version = control.publish(&open(700));
    let mut text =
        std::fs::read_to_string(operator(&[control.program.address], Some(&bed.versions), "trial_ms = 0"))
            .expect("a file");
    text += "[agent]\nlisten = \"127.0.0.1:0\"\n";
    for n in 0..2 {
        let told = file(&bed.config().to_string()).display().to_string();
        let listen = crate::agent::own();
        text += &format!("[[agent.instance]]\nname = \"a{n}\"\nlisten = \"{listen}\"\nconfig = {told:?}\n");
    }
    let path = file(&text).display().to_string();
    let _agent = Program::run(&["agent", "--operator", &path], &json!({}));
    for name in ["a0", "a1"] {
        control.until_runs(name, &version);
        until("kept", || bed.versions.join(name).join("good").exists().then_some(()));
    }
}

#[test]
fn brokers_come_and_go_with_versions() {
    let (bed, control) = (Bed::new(), Control::start(AT_ONCE));
    let program = bed.start(&[control.program.address], "trial_ms = 0");
    let broker = crate::broker::Broker::start();
    let front = |more: &str| {
        format!(
            "[[fleet.fronts.mqtt]]\nbroker = \"{}\"\nclient_id = \"one\"\ntriggers = \"t/#\"\n{more}",
            broker.address
        )
    };
    let first = control.publish(&front(""));
    control.until_runs("n0", &first);
    until("connected", || (counter(&program, "mqtt_connects") == 1).then_some(()));
    let second = control.publish(&format!("{}\n[fleet.settings.limits]\nmax_open = 500", front("")));
    control.until_runs("n0", &second);
    assert_eq!(counter(&program, "mqtt_connects"), 1, "what did not change stays connected");
    let third = control.publish(&front("keep_alive_s = 7"));
    control.until_runs("n0", &third);
    until("connected anew", || (counter(&program, "mqtt_connects") >= 2).then_some(()));
}

#[test]
fn the_command_line_publishes_tells_and_ends_with_its_codes() {
    let (bed, control) = (Bed::new(), Control::start(AT_ONCE));
    let address = control.program.address.to_string();
    let _program = bed.start(&[control.program.address], "trial_ms = 0");
    until("there", || (control.status()["instances"].as_array()?.len() == 1).then_some(()));
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
    let good = file(&open(640)).display().to_string();
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
