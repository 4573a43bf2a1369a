//! Calls that stations send again: to a process that does not know them, or whose answer may not call a retry harmless.

use crate::stand::config;
use crate::stations::{Fixture, Station, property, publish, start, status, trigger, unix_ms, with_sent};
use ochreward_mqtt::packet::{Packet, Publish};
use ochreward_mqtt::{Qos, ReasonCode};
use std::time::Duration;

/// Guards against: a keyed repeat that is taken for a call sent just now, and runs again after its key's window.
#[test]
fn keyed_repeat_runs_again_only_if_the_time_of_its_first_sending_is_known_to_be_inside_the_window() {
    let fixture = Fixture::new("");
    let Fixture { executor, operator, config_json, program, .. } = fixture;
    program.kill();
    let (program, stations) = start(&operator, &config_json);
    let (mut station, _) = Station::connect(stations, "st-1", "secret");
    let repeat =
        |id: u16| Publish { dup: true, ..trigger("st-1", id, Qos::AtLeastOnce, "level-log", id.into()) };
    let now = unix_ms();
    // No time; a time in the future, which only shows that the clocks differ; a time beyond the window of 15 s.
    let not_run = [repeat(1), with_sent(repeat(2), now + 60_000), with_sent(repeat(3), now - 16_000)];
    for message in not_run {
        station.send(&publish(message));
        let puback = station.receive().expect("a PUBACK");
        assert_eq!(status(&puback).as_deref(), Some("failed"), "{puback:?}");
        assert!(
            property(&puback, "why").is_some_and(|why| why.contains("may have run before")),
            "{puback:?}"
        );
        assert_eq!(executor.left(), 0);
    }
    station.send(&publish(with_sent(repeat(4), now - 5_000)));
    let mut line = executor.next();
    assert!(line.value.to_string().contains("5c0f6e1a2b3d4c59a8b7c6d5e4f30211"));
    line.ok(b"again");
    assert_eq!(station.receive().as_ref().and_then(status).as_deref(), Some("served"));
    let counters = program.counters();
    assert_eq!(
        (counters["station_repeats"], counters["repeats_run"], counters["repeats_not_run"]),
        (4, 1, 3)
    );
}

/// Guards against: a refusal, which says that a call never ran, for a keyed call that a worker has and may run.
#[test]
fn keyed_call_that_may_have_run_is_answered_as_failed_and_not_as_refused() {
    let fixture = Fixture::new("");
    let (mut station, _) = Station::connect(fixture.stations, "st-1", "secret");
    // The function is loaded, so that a call with little time is not refused for want of it.
    station.send(&publish(trigger("st-1", 1, Qos::AtLeastOnce, "flow-read", 1)));
    fixture.executor.next().ok(b"loaded");
    assert_eq!(station.receive().as_ref().and_then(status).as_deref(), Some("served"));
    let mut call = trigger("st-1", 2, Qos::AtLeastOnce, "level-log", 2);
    let ttl = call.properties.user.iter_mut().find(|(name, _)| name == "ttl").expect("a ttl");
    ttl.1 = "1000".to_string();
    station.send(&publish(call.clone()));
    let unanswered = fixture.executor.next();
    let puback = station.receive().expect("a PUBACK");
    assert_eq!(status(&puback).as_deref(), Some("failed"), "{puback:?}");
    assert!(property(&puback, "why").is_some_and(|why| why.contains("may have run")), "{puback:?}");
    // Its repeat gets the same answer.
    station.send(&publish(Publish { packet_id: 3, dup: true, ..call }));
    assert_eq!(station.receive().as_ref().and_then(status).as_deref(), Some("failed"));
    assert_eq!(fixture.executor.left(), 0);
    drop(unanswered);
}

/// Guards against: an age that was right before the process stood still, and is used after it.
#[test]
fn keyed_repeat_is_judged_by_its_age_after_the_process_stood_still() {
    let fixture = Fixture::new("");
    let (mut station, _) = Station::connect(fixture.stations, "st-1", "secret");
    // 0.3 s before the last moment at which a repeat is taken: the window of 15 s less 1.01 s for the send.
    let sent = unix_ms() - 13_690;
    let call = with_sent(trigger("st-1", 1, Qos::AtLeastOnce, "level-log", 1), sent);
    fixture.program.stand_still();
    station.send(&publish(Publish { dup: true, ..call }));
    std::thread::sleep(Duration::from_millis(600));
    fixture.program.go_on();
    let puback = station.receive().expect("a PUBACK");
    assert_eq!(property(&puback, "why").as_deref(), Some("may have run before, too long ago to repeat"));
    assert_eq!(fixture.executor.left(), 0);
}

/// Guards against: a call that runs at the dispatcher that a station left, and a second time at the one it connects to.
#[test]
fn repeat_at_another_dispatcher_runs_only_as_its_class_allows() {
    let fixture = Fixture::new("");
    let listen = crate::agent::unused_address();
    let operator = std::fs::read_to_string(&fixture.operator).expect("the operator's file");
    let operator = operator.replace(&fixture.stations.to_string(), &listen.to_string());
    let operator = crate::stand::file(&operator).display().to_string();
    let mut config_json = config(&[&fixture.executor], &fixture.names);
    config_json["name"] = "n1".into();
    let (_other, other_stations) = start(&operator, &config_json);
    let (mut first, _) = Station::connect(fixture.stations, "st-1", "secret");
    let sent = unix_ms();
    let calls = [
        trigger("st-1", 1, Qos::AtLeastOnce, "alert-send", 1),
        trigger("st-1", 2, Qos::AtLeastOnce, "level-log", 2),
        with_sent(trigger("st-1", 3, Qos::AtLeastOnce, "level-log", 3), sent),
    ];
    let mut running = Vec::new();
    for call in &calls {
        first.send(&publish(call.clone()));
        running.push(fixture.executor.next());
    }
    let (mut second, session) = Station::connect(other_stations, "st-1", "secret");
    assert_eq!(session, Ok(false));
    for call in &calls {
        second.send(&publish(Publish { dup: true, ..call.clone() }));
    }
    // Only the keyed call that tells when it was sent runs again, with its key.
    let mut again = fixture.executor.next();
    assert_eq!(again.value["rid"], "0000000000000003");
    assert_eq!(again.value["attrs"]["i"], "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
    again.ok(b"again");
    let statuses: Vec<Option<String>> = (0..3).map(|_| second.receive().as_ref().and_then(status)).collect();
    assert_eq!(statuses, ["failed", "failed", "served"].map(|s| Some(s.to_string())));
    running.iter_mut().for_each(|line| line.ok(b"first"));
    assert_eq!(first.receive().as_ref().and_then(status).as_deref(), Some("served"));
    assert_eq!(fixture.executor.left(), 0);
}

/// Guards against: a call that is acknowledged with the answer of an earlier session's call under the same packet id.
#[test]
fn call_of_a_new_session_gets_its_own_answer_and_not_that_of_the_session_before() {
    let fixture = Fixture::new("");
    for qos in [Qos::AtLeastOnce, Qos::ExactlyOnce] {
        let mut first = Station::connect_clean(fixture.stations, "st-1");
        first.send(&publish(trigger("st-1", 1, qos, "alert-send", 0xa0 + qos as u64)));
        let mut earlier = fixture.executor.next();
        drop(first);
        let mut second = Station::connect_clean(fixture.stations, "st-1");
        second.subscribe("out/st-1/#", Qos::AtMostOnce);
        second.send(&publish(trigger("st-1", 1, qos, "alert-send", 0xb0 + qos as u64)));
        let mut later = fixture.executor.next();
        earlier.ok(b"earlier");
        later.ok(b"later");
        let acknowledgement = second.receive().expect("an acknowledgement");
        let call = format!("{:016x}", 0xb0 + qos as u64);
        assert_eq!(property(&acknowledgement, "call"), Some(call), "{acknowledgement:?}");
        assert_eq!(status(&acknowledgement).as_deref(), Some("served"));
        assert!(matches!(second.receive(), Some(Packet::Publish(p)) if p.payload == b"later"));
    }
}

/// Guards against: a QoS 2 exchange of the process before that frees or runs anything in the new one.
#[test]
fn quality_of_service_2_after_a_restart_releases_nothing_and_runs_no_keyed_call_of_unknown_age() {
    let Fixture { executor, operator, config_json, program, names: _names, .. } = Fixture::new("");
    program.kill();
    let (_program, stations) = start(&operator, &config_json);
    let (mut station, _) = Station::connect(stations, "st-1", "secret");
    station.ack(Packet::Pubrel, 7);
    assert!(
        matches!(station.receive(), Some(Packet::Pubcomp(a)) if a.packet_id == 7 && a.reason == ReasonCode::PacketIdNotFound)
    );
    let call = trigger("st-1", 8, Qos::ExactlyOnce, "level-log", 8);
    for _ in 0..2 {
        station.send(&publish(Publish { dup: true, ..call.clone() }));
        let pubrec = station.receive().expect("a PUBREC");
        assert!(matches!(&pubrec, Packet::Pubrec(a) if a.packet_id == 8 && a.reason.is_failure()));
        assert_eq!(status(&pubrec).as_deref(), Some("failed"));
    }
    assert_eq!(executor.left(), 0);
}
