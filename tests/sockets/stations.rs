//! Stations connected directly to a dispatcher process: broken sockets, malformed bytes, and a dispatcher that is stopped or
//! killed.

use crate::stand::{Executor, Names, PATIENCE, Program, config, file};
use ochreward_mqtt::packet::{
    Ack, Connect, DisconnectOrAuth, Packet, Publish, Subscribe, Subscription, decode,
};
use ochreward_mqtt::{Properties, Qos, ReasonCode, Version};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

const MAX_PACKET_BYTES: usize = 1 << 20;

pub struct Fixture {
    pub executor: Executor,
    pub names: Names,
    pub program: Program,
    pub stations: SocketAddr,
    pub users: PathBuf,
    pub operator: String,
    pub config_json: serde_json::Value,
}

fn users(more: &str) -> String {
    let hash = ochreward::front::stations::hash(b"secret", b"0123456789abcdef").expect("a hash");
    format!(
        "[user.east]\npassword = \"{hash}\"\npublish = [\"in/{{client}}/#\"]\nsubscribe = [\"out/{{client}}/#\"]\n{more}"
    )
}

pub fn start(operator: &str, config_json: &serde_json::Value) -> (Program, SocketAddr) {
    Program::run_with_stations(&["run", "--operator", operator], config_json)
}

impl Fixture {
    pub fn new(more: &str) -> Fixture {
        let (executor, names) = (Executor::start(), Names::start());
        names.set(2, &[("s0", executor.address, 0)]);
        let users = file(&users(more));
        let listen = crate::agent::unused_address();
        let text = format!(
            "[stations]\nlisten = \"{listen}\"\nusers = {:?}\nreceive_maximum = 4\nmaximum_packet = 20000\n",
            users.display().to_string()
        );
        let operator = file(&text).display().to_string();
        let config_json = config(&[&executor], &names);
        let (program, stations) = start(&operator, &config_json);
        Fixture { executor, names, program, stations, users, operator, config_json }
    }
}

pub struct Station {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Station {
    pub fn open(to: SocketAddr) -> Station {
        let stream = TcpStream::connect(to).expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        stream.set_nodelay(true).expect("set");
        Station { stream, buffer: Vec::new() }
    }

    /// Connects as this client. The result is whether its session was present, or the reason of a refusal.
    pub fn connect(to: SocketAddr, client: &str, password: &str) -> (Station, Result<bool, ReasonCode>) {
        let properties = Properties { session_expiry: Some(600), ..Properties::default() };
        Station::connect_with(
            to,
            Connect {
                version: Version::V5,
                clean_start: false,
                keep_alive: 30,
                properties,
                client_id: client.into(),
                will: None,
                user_name: Some("east".into()),
                password: Some(password.into()),
            },
        )
    }

    /// Connects as this client, which keeps no session.
    pub fn connect_clean(to: SocketAddr, client: &str) -> Station {
        let connect = Connect {
            version: Version::V5,
            clean_start: true,
            keep_alive: 30,
            properties: Properties::default(),
            client_id: client.into(),
            will: None,
            user_name: Some("east".into()),
            password: Some(b"secret".to_vec()),
        };
        let (station, session) = Station::connect_with(to, connect);
        assert_eq!(session, Ok(false));
        station
    }

    fn connect_with(to: SocketAddr, connect: Connect) -> (Station, Result<bool, ReasonCode>) {
        let mut station = Station::open(to);
        station.send(&Packet::Connect(Box::new(connect)));
        let Some(Packet::Connack(connack)) = station.receive() else { panic!("no CONNACK") };
        let result =
            if connack.reason.is_failure() { Err(connack.reason) } else { Ok(connack.session_present) };
        (station, result)
    }

    pub fn send(&mut self, packet: &Packet) {
        let bytes = packet.encode(Version::V5, MAX_PACKET_BYTES).expect("written");
        self.stream.write_all(&bytes).expect("sent");
    }

    /// Returns the next packet, or `None` once the connection has ended.
    pub fn receive(&mut self) -> Option<Packet> {
        loop {
            if let Some((packet, size)) =
                decode(&self.buffer, Version::V5, MAX_PACKET_BYTES).expect("a good packet")
            {
                self.buffer.drain(..size);
                return Some(packet);
            }
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(count @ 1..) => self.buffer.extend(&bytes[..count]),
                _ => return None,
            }
        }
    }

    pub fn subscribe(&mut self, filter: &str, qos: Qos) {
        let subscription = Subscription { filter: filter.into(), qos, ..Subscription::default() };
        self.send(&Packet::Subscribe(Subscribe {
            packet_id: 1,
            subscriptions: vec![subscription],
            ..Subscribe::default()
        }));
        let Some(Packet::Suback(suback)) = self.receive() else { panic!("no SUBACK") };
        assert!(!suback.reasons[0].is_failure());
    }

    pub fn ack(&mut self, kind: fn(Ack) -> Packet, id: u16) {
        self.send(&kind(Ack {
            packet_id: id,
            reason: ReasonCode::Success,
            properties: Properties::default(),
        }));
    }
}

pub fn trigger(client: &str, id: u16, qos: Qos, class: &str, call: u64) -> Publish {
    let pair = |n: &str, v: &str| (n.to_string(), v.to_string());
    let mut user = vec![
        pair("op", class),
        pair("call", &format!("{call:016x}")),
        pair("ttl", "20000"),
        pair("org", "acme"),
        pair("row", "7f3a9c21e0b4d655"),
    ];
    if class == "level-log" {
        user.push(pair("dedupe", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"));
    }
    let properties = Properties {
        user,
        response_topic: Some(format!("out/{client}/answers")),
        correlation: Some(call.to_be_bytes().to_vec()),
        ..Properties::default()
    };
    let topic = format!("in/{client}/triggers");
    Publish { packet_id: id, qos, topic, properties, payload: b"in".to_vec(), ..Publish::default() }
}

/// Adds the time at which the station first sent the call.
pub fn with_sent(mut publish: Publish, unix_ms: u64) -> Publish {
    publish.properties.user.push(("sent".to_string(), unix_ms.to_string()));
    publish
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

pub fn publish(publish: Publish) -> Packet {
    Packet::Publish(Box::new(publish))
}

pub fn property(packet: &Packet, name: &str) -> Option<String> {
    let properties = match packet {
        Packet::Puback(ack) | Packet::Pubrec(ack) => &ack.properties,
        Packet::Publish(publish) => &publish.properties,
        _ => return None,
    };
    properties.user(name).map(str::to_string)
}

pub fn status(packet: &Packet) -> Option<String> {
    property(packet, "status")
}

#[test]
fn a_station_is_served_at_each_quality_of_service() {
    let fixture = Fixture::new("");
    let (mut station, session) = Station::connect(fixture.stations, "st-1", "secret");
    assert_eq!(session, Ok(false));
    station.subscribe("out/st-1/#", Qos::ExactlyOnce);
    // QoS 0: the answer comes on the response topic only.
    station.send(&publish(trigger("st-1", 0, Qos::AtMostOnce, "flow-read", 1)));
    fixture.executor.next().ok(b"one");
    let Some(Packet::Publish(answer)) = station.receive() else { panic!("no answer") };
    assert_eq!((&answer.payload[..], answer.qos), (&b"one"[..], Qos::ExactlyOnce));
    assert_eq!(answer.properties.correlation, Some(1_u64.to_be_bytes().to_vec()));
    station.ack(Packet::Pubrec, answer.packet_id);
    assert!(matches!(station.receive(), Some(Packet::Pubrel(a)) if a.packet_id == answer.packet_id));
    station.ack(Packet::Pubcomp, answer.packet_id);
    // QoS 1: the acknowledgement carries the status too.
    station.send(&publish(trigger("st-1", 7, Qos::AtLeastOnce, "level-log", 2)));
    let mut line = fixture.executor.next();
    assert!(
        line.value.to_string().contains("5c0f6e1a2b3d4c59a8b7c6d5e4f30211"),
        "the idempotency key is forwarded"
    );
    line.ok(b"two");
    let puback = station.receive().expect("a PUBACK");
    assert!(
        matches!(&puback, Packet::Puback(a) if a.packet_id == 7)
            && status(&puback).as_deref() == Some("served")
    );
    assert!(matches!(station.receive(), Some(Packet::Publish(p)) if p.payload == b"two"));
    // QoS 2: taken once, however often the message is sent before its release.
    let twice = trigger("st-1", 8, Qos::ExactlyOnce, "alert-send", 3);
    station.send(&publish(twice.clone()));
    fixture.executor.next().ok(b"three");
    let pubrec = station.receive().expect("a PUBREC");
    assert!(
        matches!(&pubrec, Packet::Pubrec(a) if a.packet_id == 8)
            && status(&pubrec).as_deref() == Some("served")
    );
    assert!(matches!(station.receive(), Some(Packet::Publish(p)) if p.payload == b"three"));
    station.send(&publish(Publish { dup: true, ..twice }));
    assert!(matches!(station.receive(), Some(Packet::Pubrec(a)) if a.packet_id == 8));
    station.ack(Packet::Pubrel, 8);
    assert!(
        matches!(station.receive(), Some(Packet::Pubcomp(a)) if a.packet_id == 8 && a.reason == ReasonCode::Success)
    );
    station.send(&Packet::Pingreq);
    assert_eq!(station.receive(), Some(Packet::Pingresp));
    assert_eq!(fixture.executor.left(), 0);
    let counters = fixture.program.counters();
    assert_eq!((counters["station_triggers"], counters["station_answers"]), (3, 3));
}

#[test]
fn passwords_policies_and_reloads_control_access() {
    let fixture = Fixture::new("classes = [\"flow-read\"]\nclients = [\"st-*\"]");
    assert_eq!(Station::connect(fixture.stations, "st-1", "wrong").1, Err(ReasonCode::BadUserNameOrPassword));
    assert_eq!(Station::connect(fixture.stations, "xx-1", "secret").1, Err(ReasonCode::ClientIdNotValid));
    let (mut station, _) = Station::connect(fixture.stations, "st-1", "secret");
    station.send(&publish(trigger("st-1", 1, Qos::AtLeastOnce, "alert-send", 1)));
    assert!(matches!(station.receive(), Some(Packet::Puback(a)) if a.reason == ReasonCode::NotAuthorized));
    station.send(&publish(trigger("st-2", 2, Qos::AtLeastOnce, "flow-read", 2)));
    assert!(matches!(station.receive(), Some(Packet::Puback(a)) if a.reason == ReasonCode::NotAuthorized));
    // A faulty users file changes nothing; one without the user ends the user's connection.
    std::fs::write(&fixture.users, "[user.east]\npassword = 7").expect("written");
    fixture.program.signal(rustix::process::Signal::HUP);
    assert_eq!(fixture.program.line(), "ochreward: the new configuration is in use");
    station.send(&Packet::Pingreq);
    assert_eq!(station.receive(), Some(Packet::Pingresp));
    std::fs::write(&fixture.users, "").expect("written");
    fixture.program.signal(rustix::process::Signal::HUP);
    assert!(
        matches!(station.receive(), Some(Packet::Disconnect(c)) if c.reason == ReasonCode::NotAuthorized)
    );
    assert_eq!(station.receive(), None);
    assert_eq!(fixture.executor.left(), 0);
}

#[test]
fn a_broken_connection_loses_no_answer_and_runs_no_alert_twice() {
    let fixture = Fixture::new("");
    let alert = |dup| Publish { dup, ..trigger("st-1", 5, Qos::AtLeastOnce, "alert-send", 9) };
    let (mut station, _) = Station::connect(fixture.stations, "st-1", "secret");
    station.subscribe("out/st-1/#", Qos::AtLeastOnce);
    station.send(&publish(alert(false)));
    let mut line = fixture.executor.next();
    drop(station);
    let (mut station, session) = Station::connect(fixture.stations, "st-1", "secret");
    assert_eq!(session, Ok(true));
    station.send(&publish(alert(true)));
    drop(station);
    // The answer arrives while the station is away or just reconnecting.
    line.ok(b"sent");
    let (mut station, session) = Station::connect(fixture.stations, "st-1", "secret");
    assert_eq!(session, Ok(true));
    station.send(&publish(alert(true)));
    let (mut puback, mut answer) = (None, None);
    while puback.is_none() || answer.is_none() {
        match station.receive().expect("a packet") {
            packet @ Packet::Puback(_) => puback = status(&packet),
            Packet::Publish(publish) => answer = Some(publish.payload),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!((puback.as_deref(), answer.as_deref()), (Some("served"), Some(&b"sent"[..])));
    assert_eq!(fixture.executor.left(), 0);
}

#[test]
fn after_a_kill_repeats_run_except_alerts() {
    let fixture = Fixture::new("");
    let (mut station, _) = Station::connect(fixture.stations, "st-1", "secret");
    let classes = ["alert-send", "flow-read", "level-log"];
    let sent = unix_ms();
    let of = |i: usize, dup| Publish {
        dup,
        ..with_sent(trigger("st-1", i as u16 + 1, Qos::AtLeastOnce, classes[i], 100 + i as u64), sent)
    };
    for i in 0..3 {
        station.send(&publish(of(i, false)));
        drop(fixture.executor.next());
    }
    fixture.program.kill();
    let (program, stations) = start(&fixture.operator, &fixture.config_json);
    let (mut station, session) = Station::connect(stations, "st-1", "secret");
    assert_eq!(session, Ok(false), "sessions do not outlive the process");
    for i in 0..3 {
        station.send(&publish(of(i, true)));
    }
    for _ in 0..2 {
        let mut line = fixture.executor.next();
        assert!(!line.value.to_string().contains("alert-send"));
        line.ok(b"again");
    }
    let statuses: Vec<Option<String>> = (0..3).map(|_| station.receive().as_ref().and_then(status)).collect();
    let expected = ["failed", "served", "served"].map(|s| Some(s.to_string()));
    assert_eq!(statuses, expected, "in the order of the messages");
    assert_eq!(fixture.executor.left(), 0);
    drop(program);
}

/// The step that a message has reached when the dispatcher is killed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Sent,
    AtTheExecutor,
    Answered,
    Acknowledged,
}

#[test]
fn a_kill_at_any_step_leaves_one_final_answer_and_runs_no_alert_twice() {
    let fixture = Fixture::new("");
    let Fixture { executor, operator, config_json, mut program, mut stations, .. } = fixture;
    let steps = [Step::Sent, Step::AtTheExecutor, Step::Answered, Step::Acknowledged];
    let (mut kills, mut finals, mut call) = (0, 0, 0x7000);
    // A keyed call runs again only if it tells when it was sent.
    for (class, tells_sent) in
        [("alert-send", true), ("level-log", true), ("level-log", false), ("flow-read", false)]
    {
        for qos in [Qos::AtLeastOnce, Qos::ExactlyOnce] {
            for step in steps {
                call += 1;
                // Each case has its own client, since a QoS 2 packet id stays in use until it is released.
                let client = format!("st-{call}");
                let sent = unix_ms();
                let of = |dup| {
                    let message = Publish { dup, ..trigger(&client, 1, qos, class, call) };
                    if tells_sent { with_sent(message, sent) } else { message }
                };
                let (mut station, _) = Station::connect(stations, &client, "secret");
                station.send(&publish(of(false)));
                let (mut runs, mut answers) = (0, Vec::new());
                if step != Step::Sent {
                    let mut line = executor.next();
                    runs += 1;
                    if step != Step::AtTheExecutor {
                        line.ok(b"done");
                    }
                }
                if step == Step::Acknowledged {
                    answers.push(station.receive().as_ref().and_then(status).expect("a status"));
                }
                program.kill();
                kills += 1;
                // An answer that reached the station before the kill counts as well.
                if step == Step::Answered {
                    answers.extend(station.receive().as_ref().and_then(status));
                }
                (program, stations) = start(&operator, &config_json);
                let (mut station, session) = Station::connect(stations, &client, "secret");
                assert_eq!(session, Ok(false));
                if answers.is_empty() {
                    station.send(&publish(of(true)));
                    station.stream.set_nonblocking(true).expect("set");
                    let began = Instant::now();
                    while station.stream.peek(&mut [0]).is_err() {
                        assert!(began.elapsed() < PATIENCE, "never answered: {class} {qos:?} {step:?}");
                        if let Some(mut line) = executor.poll() {
                            runs += 1;
                            let key = line.value.to_string().contains("5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
                            assert_eq!(
                                key,
                                class == "level-log",
                                "the idempotency key is forwarded for its class only"
                            );
                            line.ok(b"again");
                        }
                    }
                    station.stream.set_nonblocking(false).expect("set");
                    answers.extend(station.receive().as_ref().and_then(status));
                }
                // An attempt that the first process sent may be read only now.
                runs += executor.left();
                let [answer] = &answers[..] else { panic!("{answers:?}: {class} {qos:?} {step:?}") };
                finals += 1;
                if class == "alert-send" || !tells_sent && class == "level-log" {
                    assert!(runs <= 1, "{runs} runs of {class}: {qos:?} {step:?}");
                    let was_not_run = answer == "failed";
                    assert!(was_not_run || answer == "served", "{answer}: {qos:?} {step:?}");
                } else {
                    assert_eq!(answer, "served", "{class} {qos:?} {step:?}");
                }
            }
        }
    }
    assert_eq!((kills, finals), (32, 32));
}

#[test]
fn a_stop_answers_open_requests_and_disconnects_stations() {
    let fixture = Fixture::new("");
    let (mut station, _) = Station::connect(fixture.stations, "st-1", "secret");
    station.send(&publish(trigger("st-1", 1, Qos::AtLeastOnce, "flow-read", 1)));
    let mut line = fixture.executor.next();
    fixture.program.signal(rustix::process::Signal::TERM);
    // The dispatcher serves for as long as it accepts requests; then it refuses at once, with a retry time.
    let began = Instant::now();
    let mut id = 1;
    let mut refused = false;
    while !refused {
        assert!(began.elapsed() < PATIENCE, "never refused");
        id += 1;
        station.send(&publish(trigger("st-1", 0, Qos::AtMostOnce, "flow-read", 100 + id)));
        if let Some(mut served) = fixture.executor.poll() {
            served.ok(b"served");
        }
        refused = began.elapsed().as_millis() > 900;
        std::thread::yield_now();
    }
    line.ok(b"last");
    let packets: Vec<Packet> = std::iter::from_fn(|| station.receive()).collect();
    let first = packets.first().expect("a PUBACK");
    assert_eq!(status(first).as_deref(), Some("served"));
    assert!(
        matches!(packets.last(), Some(Packet::Disconnect(c)) if c.reason == ReasonCode::ServerShuttingDown)
    );
    let Fixture { mut program, .. } = fixture;
    assert_eq!(program.child.wait().expect("an end").code(), Some(0));
}

#[test]
fn malformed_bytes_end_their_connection_with_the_reason_and_harm_no_other() {
    let fixture = Fixture::new("");
    let (mut good, _) = Station::connect(fixture.stations, "st-good", "secret");
    let bad: [(&[u8], ReasonCode); 5] = [
        (&[0xc1, 0], ReasonCode::MalformedPacket),
        (&[0x36, 4, 0, 1, b'a', 0], ReasonCode::MalformedPacket),
        (&[0x31, 4, 0, 1, b'a', 0], ReasonCode::RetainNotSupported),
        (&[0x30, 0xff, 0xff, 0x7f], ReasonCode::PacketTooLarge),
        (&[0x10, 0], ReasonCode::MalformedPacket),
    ];
    for (n, (bytes, reason)) in bad.into_iter().enumerate() {
        let (mut station, _) = Station::connect(fixture.stations, &format!("st-{n}"), "secret");
        station.stream.write_all(bytes).expect("sent");
        let Some(Packet::Disconnect(DisconnectOrAuth { reason: received, .. })) = station.receive() else {
            panic!("no DISCONNECT for {bytes:x?}")
        };
        assert_eq!(received, reason, "{bytes:x?}");
        assert_eq!(station.receive(), None);
    }
    // More unacknowledged messages than the receive maximum allows.
    let (mut station, _) = Station::connect(fixture.stations, "st-many", "secret");
    for id in 1..=5 {
        station.send(&publish(trigger("st-many", id, Qos::AtLeastOnce, "flow-read", 50 + u64::from(id))));
    }
    assert!(
        matches!(station.receive(), Some(Packet::Disconnect(c)) if c.reason == ReasonCode::ReceiveMaximumExceeded)
    );
    // The requests already taken still run to an answer that nobody receives, which frees their slots.
    let began = Instant::now();
    loop {
        assert!(began.elapsed() < PATIENCE, "never answered");
        if let Some(mut line) = fixture.executor.poll() {
            line.ok(b"");
        }
        let c = fixture.program.counters();
        let answers = c["answers_served"] + c["answers_refused"] + c["answers_failed"];
        if c["requests_taken"] > 0 && c["requests_taken"] == answers {
            break;
        }
    }
    // Reproducible random bytes before any CONNECT.
    let mut random = 0x1234_5678_9abc_def1_u64;
    for _ in 0..50 {
        let bytes: Vec<u8> = (0..64)
            .map(|_| {
                random ^= random << 13;
                random ^= random >> 7;
                random ^= random << 17;
                random as u8
            })
            .collect();
        let mut station = Station::open(fixture.stations);
        let _ = station.stream.write_all(&bytes);
        let _ = station.stream.shutdown(std::net::Shutdown::Write);
        let mut rest = Vec::new();
        let _ = station.stream.read_to_end(&mut rest);
    }
    // A station that sends a byte at a time is served.
    let bytes = publish(trigger("st-good", 1, Qos::AtLeastOnce, "flow-read", 1))
        .encode(Version::V5, MAX_PACKET_BYTES);
    for byte in bytes.expect("written") {
        good.stream.write_all(&[byte]).expect("sent");
    }
    good.stream.set_nonblocking(true).expect("set");
    let began = Instant::now();
    while good.stream.peek(&mut [0]).is_err() {
        assert!(began.elapsed() < PATIENCE, "never served");
        if let Some(mut line) = fixture.executor.poll() {
            line.ok(b"slow");
        }
    }
    good.stream.set_nonblocking(false).expect("set");
    assert_eq!(good.receive().as_ref().and_then(status).as_deref(), Some("served"));
}
