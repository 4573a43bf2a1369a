use super::calls::MAX_ANSWERED_CALLS;
use super::reports::CallEvent;
use super::*;
use crate::core::{FinalAnswer, ID_IN_USE};
use crate::front::Invalid;
use ochreward_mqtt::Qos;
use ochreward_mqtt::packet::{Ack, Publish, Subscribe};
use std::collections::BTreeSet;

const SECOND: u64 = 1_000_000;

/// Sessions whose actions are executed and recorded by the test.
struct TestSessions {
    sessions: Sessions,
    now: u64,
    sent: BTreeMap<ConnId, Vec<Packet>>,
    closed: BTreeSet<ConnId>,
    serves: Vec<(i64, ParsedRequest, Delivery)>,
    reports: Vec<CallReport>,
    limits: Vec<Option<u64>>,
}

fn test_sessions(user_keys: &str) -> TestSessions {
    let text = format!(
        "[user.u]\npassword = \"$argon2id$\"\npublish = [\"in/{{client}}/#\"]\nsubscribe = [\"out/{{client}}/#\"]\n{user_keys}"
    );
    let rules = Rules {
        receive_maximum: 4,
        maximum_packet: 65_536,
        keep_alive: 60,
        session_expiry: 100,
        sessions: 3,
        waiting: 4,
        pushback: 500_000,
    };
    let sessions = Sessions::new(rules, Policy::read(&text).expect("a policy"));
    TestSessions {
        sessions,
        now: SECOND,
        sent: BTreeMap::new(),
        closed: BTreeSet::new(),
        serves: Vec::new(),
        reports: Vec::new(),
        limits: Vec::new(),
    }
}

fn connect(client: &str, expiry: u32) -> Connect {
    Connect {
        version: Version::V5,
        clean_start: false,
        keep_alive: 10,
        properties: Properties { session_expiry: Some(expiry), ..Properties::default() },
        client_id: client.into(),
        will: None,
        user_name: Some("u".into()),
        password: Some(b"p".to_vec()),
    }
}

fn trigger(id: u16, call: u64, class: &str) -> Publish {
    let fields = [
        pair("op", class),
        pair("call", &format!("{call:016x}")),
        pair("row", "7f3a9c21e0b4d655"),
        pair("ttl", "1000"),
    ];
    let properties = Properties {
        user: fields.to_vec(),
        response_topic: Some("out/a/answers".into()),
        correlation: Some(vec![7]),
        ..Properties::default()
    };
    let qos = if id == 0 { Qos::AtMostOnce } else { Qos::AtLeastOnce };
    Publish { packet_id: id, qos, topic: "in/a/x".into(), properties, ..Publish::default() }
}

impl TestSessions {
    fn run_actions(&mut self) {
        while !self.sessions.actions.is_empty() {
            for action in std::mem::take(&mut self.sessions.actions) {
                match action {
                    Action::Send(conn, packet, version) => {
                        assert!(packet.encode(version, 65_536).is_ok(), "{packet:?}");
                        self.sent.entry(conn).or_default().push(*packet);
                    }
                    Action::Close(conn) => drop(self.closed.insert(conn)),
                    Action::Verify(conn, password, _) => {
                        self.sessions.password_verified(self.now, self.now / 1_000, conn, password == b"p")
                    }
                    Action::Serve { number, sketch, delivery, refuse_after, .. } => {
                        self.limits.push(refuse_after);
                        self.serves.push((number, sketch, delivery))
                    }
                    Action::Report(report) => self.reports.push(report),
                }
            }
        }
    }

    fn send(&mut self, conn: ConnId, packet: Packet) -> Vec<Packet> {
        self.sessions.packet_received(self.now, self.now / 1_000, conn, packet);
        self.run_actions();
        self.sent.remove(&conn).unwrap_or_default()
    }

    fn connect(&mut self, conn: ConnId, connect: Connect) -> Option<Connack> {
        self.sessions.connection_accepted(self.now, conn);
        let sent = self.send(conn, Packet::Connect(Box::new(connect)));
        match sent.into_iter().next() {
            Some(Packet::Connack(connack)) => Some(*connack),
            _ => None,
        }
    }

    fn publish(&mut self, conn: ConnId, publish: Publish) -> Vec<Packet> {
        self.send(conn, Packet::Publish(Box::new(publish)))
    }

    fn subscribe(&mut self, conn: ConnId, filters: &[&str]) -> Vec<ReasonCode> {
        let of = |f: &&str| ochreward_mqtt::packet::Subscription {
            filter: f.to_string(),
            qos: Qos::AtLeastOnce,
            ..Default::default()
        };
        let subscribe = Subscribe {
            packet_id: 9,
            subscriptions: filters.iter().map(of).collect(),
            ..Subscribe::default()
        };
        match self.send(conn, Packet::Subscribe(subscribe)).pop() {
            Some(Packet::Suback(suback)) => suback.reasons,
            other => panic!("{other:?}"),
        }
    }

    fn answer(&mut self, conn: ConnId, number: i64, answer: FinalAnswer) -> Vec<Packet> {
        self.sessions.answer(number, answer);
        self.run_actions();
        self.sent.remove(&conn).unwrap_or_default()
    }

    fn advance_by(&mut self, time: u64) {
        self.now += time;
        self.sessions.advance(self.now);
        self.run_actions();
    }
}

fn user_property(packet: &Packet, name: &str) -> Option<String> {
    let properties = match packet {
        Packet::Puback(ack) | Packet::Pubrec(ack) => &ack.properties,
        Packet::Publish(publish) => &publish.properties,
        _ => return None,
    };
    properties.user(name).map(str::to_string)
}

#[test]
fn answer_is_sent_in_acknowledgement_and_on_subscribed_response_topic() {
    let mut fixture = test_sessions("");
    assert!(
        fixture
            .connect(1, connect("a", 100))
            .is_some_and(|c| c.reason == ReasonCode::Success && !c.session_present)
    );
    assert_eq!(
        fixture.subscribe(1, &["out/a/#", "out/b/#", "a#", "$share/g/out/a/x"]),
        [
            ReasonCode::GrantedQos1,
            ReasonCode::NotAuthorized,
            ReasonCode::TopicFilterInvalid,
            ReasonCode::SharedNotSupported
        ]
    );
    assert_eq!(fixture.publish(1, trigger(5, 1, "flow-read")), []);
    let (number, sketch, delivery) = fixture.serves[0].clone();
    assert!(&*sketch.call == "0000000000000001" && delivery == Delivery::First { age_us: 0 });
    let sent = fixture.answer(1, number, FinalAnswer::Served(b"body".to_vec()));
    assert!(matches!(&sent[0], Packet::Puback(a) if a.packet_id == 5 && a.reason == ReasonCode::Success));
    assert_eq!(user_property(&sent[0], "status").as_deref(), Some("served"));
    let Packet::Publish(answer) = &sent[1] else { panic!("{sent:?}") };
    assert_eq!((answer.topic.as_str(), &answer.payload[..]), ("out/a/answers", &b"body"[..]));
    assert_eq!(answer.properties.correlation, Some(vec![7]));
    assert_eq!(fixture.sessions.counts.answers, 1);
}

#[test]
fn broken_connection_loses_no_answer_and_repeats_no_request() {
    let mut fixture = test_sessions("");
    fixture.connect(1, connect("a", 100));
    fixture.subscribe(1, &["out/a/#"]);
    fixture.publish(1, trigger(5, 1, "alert-send"));
    let number = fixture.serves[0].0;
    fixture.sessions.connection_lost(fixture.now, 1);
    // The station reconnects while the request is running, and resends the message.
    assert!(fixture.connect(2, connect("a", 100)).is_some_and(|c| c.session_present));
    assert_eq!(fixture.publish(2, Publish { dup: true, ..trigger(5, 1, "alert-send") }), []);
    fixture.sessions.connection_lost(fixture.now, 2);
    assert_eq!(fixture.answer(2, number, FinalAnswer::Served(Vec::new())), []);
    // The answer came while the station was disconnected: it is queued, and the repeated message gets it again.
    fixture.sessions.connection_accepted(fixture.now, 3);
    let sent = fixture.send(3, Packet::Connect(Box::new(connect("a", 100))));
    assert!(matches!(&sent[1], Packet::Publish(p) if p.topic == "out/a/answers"), "{sent:?}");
    let sent = fixture.publish(3, Publish { dup: true, ..trigger(5, 1, "alert-send") });
    assert_eq!(user_property(&sent[0], "status").as_deref(), Some("served"));
    assert_eq!((fixture.serves.len(), fixture.sessions.counts.duplicates), (1, 2));
    let events: Vec<&CallEvent> = fixture.reports.iter().map(|r| &r.event).collect();
    assert_eq!(events, [&CallEvent::Joined, &CallEvent::AnsweredFromMemory { status: "served".into() }]);
}

#[test]
fn unknown_repeat_is_submitted_as_possibly_run_before() {
    let mut fixture = test_sessions("");
    fixture.connect(1, connect("a", 0));
    fixture.publish(1, Publish { dup: true, ..trigger(1, 1, "alert-send") });
    assert_eq!(fixture.serves[0].2, Delivery::Repeat { age_us: None });
}

/// Guards against: a repeat that counts as new since what was known of its call has been pushed out or has ended.
#[test]
fn repeat_of_a_call_that_is_no_longer_remembered_may_have_run() {
    let mut fixture = test_sessions("");
    fixture.connect(1, connect("a", 5));
    for call in 1..=MAX_ANSWERED_CALLS as u64 + 1 {
        fixture.publish(1, trigger(1, call, "alert-send"));
        let number = fixture.serves.last().expect("a request").0;
        fixture.answer(1, number, FinalAnswer::Served(Vec::new()));
    }
    let remembered = fixture.publish(1, Publish { dup: true, ..trigger(1, 2, "alert-send") });
    assert_eq!(user_property(&remembered[0], "status").as_deref(), Some("served"));
    fixture.publish(1, Publish { dup: true, ..trigger(1, 1, "alert-send") });
    assert_eq!(fixture.serves.last().map(|s| s.2), Some(Delivery::Repeat { age_us: None }));
}

/// Guards against: the answer of one call for another one under the same id, or none for it.
#[test]
fn call_with_other_content_under_a_known_id_is_a_call_of_its_own() {
    let mut fixture = test_sessions("");
    fixture.connect(1, connect("a", 50));
    let other = |id| Publish { payload: b"other".to_vec(), ..trigger(id, 7, "flow-read") };
    fixture.publish(1, trigger(1, 7, "flow-read"));
    // While the first one runs, the core has the last word on the second: executors know calls by their ids.
    fixture.publish(1, other(2));
    assert_eq!(fixture.serves.len(), 2);
    let sent = fixture.answer(1, 1, FinalAnswer::Served(Vec::new()));
    assert!(matches!(&sent[..], [Packet::Puback(a)] if a.packet_id == 1), "{sent:?}");
    let sent = fixture.answer(1, 2, FinalAnswer::Failed(ID_IN_USE));
    assert_eq!(user_property(&sent[0], "status").as_deref(), Some("failed"));
    // After the first one's answer it may be sent again, as it never ran, and so may a further one.
    fixture.publish(1, other(3));
    fixture.publish(1, Publish { payload: b"third".to_vec(), ..trigger(4, 7, "flow-read") });
    assert_eq!(fixture.serves.len(), 4);
}

/// Guards against: an alert that runs twice because its repeat, after its answer, came without DUP (a station that restarted).
#[test]
fn call_that_was_answered_is_not_run_again_for_a_repeat_without_dup() {
    let mut fixture = test_sessions("");
    fixture.connect(1, connect("a", 50));
    fixture.publish(1, trigger(1, 7, "alert-send"));
    fixture.answer(1, 1, FinalAnswer::Served(Vec::new()));
    let again = fixture.publish(1, trigger(2, 7, "alert-send"));
    assert_eq!(user_property(&again[0], "status").as_deref(), Some("served"));
    assert_eq!(fixture.serves.len(), 1);
}

/// Guards against: a request that was found invalid, and so never ran, being failed again without a look.
#[test]
fn invalid_request_is_not_remembered() {
    let mut fixture = test_sessions("");
    fixture.connect(1, connect("a", 50));
    fixture.publish(1, trigger(1, 7, "flow-read"));
    fixture.sessions.reject_invalid(1, &Invalid { field: "org", why: "is no tenant" });
    fixture.run_actions();
    fixture.publish(1, trigger(2, 7, "flow-read"));
    assert_eq!(fixture.serves.len(), 2);
}

/// Guards against: an age of 0 for a repeat of which only the station knows when it was sent.
#[test]
fn age_of_an_unknown_repeat_is_the_time_since_its_sent_field_or_unknown() {
    let mut fixture = test_sessions("");
    fixture.now = 5 * SECOND;
    fixture.connect(1, connect("a", 0));
    let repeats = [("2000", Some(3 * SECOND)), ("5001", None), ("yesterday", None)];
    for (number, (sent, age_us)) in (1..).zip(repeats) {
        let mut publish = trigger(number, number.into(), "level-log");
        publish.properties.user.push(pair("sent", sent));
        fixture.publish(1, Publish { dup: true, ..publish });
        assert_eq!(fixture.serves.last().map(|s| s.2), Some(Delivery::Repeat { age_us }), "{sent}");
    }
}

#[test]
fn unauthorized_actions_are_refused_with_matching_reason() {
    let mut fixture = test_sessions("classes = [\"flow-read\"]\nclients = [\"a\", \"b*\"]");
    let reason = |fixture: &mut TestSessions, conn, connect| fixture.connect(conn, connect).map(|c| c.reason);
    let base = || connect("a", 0);
    assert_eq!(
        reason(&mut fixture, 1, Connect { password: Some(b"x".to_vec()), ..base() }),
        Some(ReasonCode::BadUserNameOrPassword)
    );
    assert_eq!(
        reason(&mut fixture, 2, Connect { user_name: Some("v".into()), ..base() }),
        Some(ReasonCode::BadUserNameOrPassword)
    );
    assert_eq!(reason(&mut fixture, 3, connect("c", 0)), Some(ReasonCode::ClientIdNotValid));
    let old = Connect { version: Version::V311, properties: Properties::default(), ..base() };
    assert_eq!(reason(&mut fixture, 4, old), Some(ReasonCode::UnsupportedProtocol));
    assert!((1..=4).all(|conn| fixture.closed.contains(&conn)));
    assert_eq!(reason(&mut fixture, 5, base()), Some(ReasonCode::Success));
    let refusals = [
        (trigger(1, 1, "alert-send"), ReasonCode::NotAuthorized),
        (Publish { topic: "in/b/x".into(), ..trigger(2, 2, "flow-read") }, ReasonCode::NotAuthorized),
        (
            Publish { properties: Properties::default(), ..trigger(3, 3, "flow-read") },
            ReasonCode::PayloadFormatInvalid,
        ),
    ];
    for (publish, reason) in refusals {
        let sent = fixture.publish(5, publish);
        assert!(matches!(&sent[..], [Packet::Puback(ack)] if ack.reason == reason), "{sent:?}");
    }
    assert!(fixture.serves.is_empty());
    // Another connection takes the session over. A packet before CONNECT or a second CONNECT ends the connection.
    fixture.connect(6, base());
    let sent = fixture.sent.remove(&5).unwrap_or_default();
    assert!(matches!(&sent[..], [Packet::Disconnect(c)] if c.reason == ReasonCode::SessionTakenOver));
    fixture.sessions.connection_accepted(fixture.now, 7);
    fixture.send(7, Packet::Pingreq);
    let sent = fixture.send(6, Packet::Connect(Box::new(base())));
    assert!(matches!(&sent[..], [Packet::Disconnect(c)] if c.reason == ReasonCode::ProtocolError));
    assert!(fixture.closed.contains(&7) && fixture.closed.contains(&6));
}

#[test]
fn rate_limits_refuse_with_retry_delay() {
    let mut fixture = test_sessions("client_rate = 2\nclient_burst = 2\nuser_rate = 100\nuser_burst = 3");
    fixture.connect(1, connect("a", 0));
    fixture.publish(1, trigger(1, 1, "flow-read"));
    fixture.publish(1, trigger(2, 2, "flow-read"));
    assert_eq!(
        fixture.publish(1, trigger(3, 3, "flow-read")),
        [],
        "acknowledgements keep the order of their messages"
    );
    let first = fixture.answer(1, 1, FinalAnswer::Refused(250_000));
    assert_eq!(user_property(&first[0], "pushback").as_deref(), Some("250"));
    let rest = fixture.answer(1, 2, FinalAnswer::Failed("why not"));
    assert_eq!((user_property(&rest[0], "why"), rest.len()), (Some("why not".to_string()), 2));
    assert_eq!(user_property(&rest[1], "pushback").as_deref(), Some("500"));
    // A refused request never ran: its repeat is a new request.
    fixture.advance_by(SECOND);
    fixture.publish(1, trigger(4, 1, "flow-read"));
    assert_eq!((fixture.serves.len(), fixture.sessions.counts.limited), (3, 1));
}

/// Guards against: a refusal, which says that a call never ran, for a repeat that may have run at another process.
#[test]
fn repeat_beyond_a_rate_limit_or_during_a_stop_is_not_refused_by_the_front() {
    let mut fixture = test_sessions("client_rate = 1\nclient_burst = 1");
    fixture.connect(1, connect("a", 50));
    fixture.publish(1, trigger(1, 1, "flow-read"));
    fixture.answer(1, 1, FinalAnswer::Served(Vec::new()));
    assert_eq!(fixture.publish(1, Publish { dup: true, ..trigger(2, 2, "alert-send") }), []);
    fixture.sessions.stop();
    assert_eq!(fixture.publish(1, Publish { dup: true, ..trigger(3, 3, "alert-send") }), []);
    // A first delivery never ran: it is refused at once.
    let refused = fixture.publish(1, trigger(4, 4, "alert-send"));
    assert_eq!(refused, [], "acknowledgements keep the order of their messages");
    let limits: Vec<Option<u64>> = fixture.limits.iter().map(|l| l.map(|after| after / 1_000)).collect();
    assert_eq!(limits, [None, Some(1_000), Some(500)]);
}

#[test]
fn sessions_expire_and_silent_connections_time_out() {
    let mut fixture = test_sessions("");
    fixture.connect(1, connect("a", 5));
    fixture.advance_by(14 * SECOND);
    assert!(fixture.sessions.session_counts() == (1, 1));
    fixture.advance_by(2 * SECOND);
    let sent = fixture.sent.remove(&1).unwrap_or_default();
    assert!(matches!(&sent[..], [Packet::Disconnect(c)] if c.reason == ReasonCode::KeepAliveTimeout));
    assert_eq!(fixture.sessions.session_counts(), (1, 0));
    fixture.advance_by(5 * SECOND);
    assert_eq!(fixture.sessions.session_counts(), (0, 0));
    // A connection without a CONNECT is closed after the log-in time-out.
    fixture.sessions.connection_accepted(fixture.now, 2);
    assert_eq!(fixture.sessions.due(), fixture.now + LOGIN_TIMEOUT_US);
    fixture.advance_by(LOGIN_TIMEOUT_US);
    assert!(fixture.closed.contains(&2));
    // The session disconnected longest is evicted; with all sessions connected, a new one is refused.
    for (conn, client) in [(3, "a"), (4, "b"), (5, "c")] {
        fixture.connect(conn, connect(client, 50));
    }
    assert_eq!(fixture.connect(6, connect("d", 50)).map(|c| c.reason), Some(ReasonCode::QuotaExceeded));
    fixture.sessions.connection_lost(fixture.now, 4);
    assert_eq!(fixture.connect(7, connect("d", 50)).map(|c| c.reason), Some(ReasonCode::Success));
    assert_eq!(fixture.sessions.session_counts(), (3, 3));
}

#[test]
fn will_is_a_trigger_unless_station_disconnects_normally_or_reconnects() {
    let with = |delay| {
        let publish = trigger(0, 77, "flow-read");
        let properties = Properties { will_delay: Some(delay), ..publish.properties };
        let will = Will { topic: publish.topic, properties, ..Will::default() };
        Connect { will: Some(will), ..connect("a", 50) }
    };
    let mut fixture = test_sessions("");
    fixture.connect(1, with(3));
    fixture.sessions.connection_lost(fixture.now, 1);
    fixture.advance_by(2 * SECOND);
    fixture.connect(2, with(3));
    fixture.advance_by(2 * SECOND);
    assert!(fixture.serves.is_empty(), "the station reconnected");
    let leave = |reason| Packet::Disconnect(DisconnectOrAuth { reason, properties: Properties::default() });
    fixture.send(2, leave(ReasonCode::Success));
    fixture.advance_by(5 * SECOND);
    assert!(fixture.serves.is_empty(), "the station disconnected normally");
    fixture.connect(3, with(0));
    fixture.send(3, leave(ReasonCode::DisconnectWithWill));
    fixture.advance_by(1);
    assert_eq!(fixture.serves.len(), 1);
}

#[test]
fn stop_refuses_new_triggers_and_shutdown_disconnects_stations() {
    let mut fixture = test_sessions("");
    fixture.connect(1, connect("a", 50));
    fixture.publish(1, trigger(1, 1, "flow-read"));
    fixture.sessions.stop();
    assert_eq!(fixture.sessions.open_requests(), 1);
    fixture.publish(1, trigger(2, 2, "flow-read"));
    let sent = fixture.answer(1, 1, FinalAnswer::Served(Vec::new()));
    assert_eq!(user_property(&sent[1], "status").as_deref(), Some("refused"));
    assert_eq!(fixture.connect(2, connect("b", 0)).map(|c| c.reason), Some(ReasonCode::ServerUnavailable));
    fixture.sessions.disconnect_all(fixture.now);
    fixture.run_actions();
    let sent = fixture.sent.remove(&1).unwrap_or_default();
    assert!(matches!(&sent[..], [Packet::Disconnect(c)] if c.reason == ReasonCode::ServerShuttingDown));
}

#[test]
fn stations_of_removed_or_changed_users_are_disconnected() {
    let mut fixture = test_sessions("");
    fixture.connect(1, connect("a", 50));
    fixture
        .sessions
        .replace_policy(fixture.now, Policy::read("[user.u]\npassword = \"$argon2id$\"").expect("a policy"));
    fixture.run_actions();
    assert!(!fixture.closed.contains(&1));
    fixture.sessions.replace_policy(fixture.now, Policy::default());
    fixture.run_actions();
    assert!(fixture.closed.contains(&1));
}

/// A second user who may use the same client ids.
const SECOND_USER: &str =
    "\n[user.v]\npassword = \"$argon2id$\"\npublish = [\"in/{client}/#\"]\nsubscribe = [\"out/{client}/#\"]";

fn clean_connect(client: &str) -> Connect {
    Connect { clean_start: true, ..connect(client, 0) }
}

/// Guards against: a message that is acknowledged with the answer of another session's message under the same packet id.
#[test]
fn answer_of_a_discarded_session_acknowledges_nothing_in_the_next_one() {
    let id_after_restart = [Qos::AtLeastOnce, Qos::ExactlyOnce];
    for qos in id_after_restart {
        let mut fixture = test_sessions("");
        let publish = |call| Publish { qos, ..trigger(1, call, "alert-send") };
        fixture.connect(1, clean_connect("a"));
        fixture.publish(1, publish(0xaa));
        fixture.sessions.connection_lost(fixture.now, 1);
        fixture.connect(2, clean_connect("a"));
        fixture.subscribe(2, &["out/a/#"]);
        fixture.publish(2, publish(0xbb));
        assert_eq!(fixture.answer(2, 1, FinalAnswer::Served(b"first".to_vec())), [], "{qos:?}");
        assert_eq!(fixture.sessions.counts.answers_lost, 1);
        let sent = fixture.answer(2, 2, FinalAnswer::Served(b"second".to_vec()));
        assert_eq!(user_property(&sent[0], "call").as_deref(), Some("00000000000000bb"), "{qos:?}");
        assert!(matches!(&sent[1], Packet::Publish(p) if p.payload == b"second"));
    }
}

/// Guards against: an answer that goes to another user, who took over the client id and subscribes to the same topic.
#[test]
fn answer_of_one_user_is_neither_sent_nor_kept_for_another_one_under_the_same_client_id() {
    let mut fixture = test_sessions(SECOND_USER);
    fixture.connect(1, connect("a", 50));
    fixture.publish(1, trigger(1, 7, "flow-read"));
    fixture.connect(2, Connect { user_name: Some("v".into()), ..connect("a", 50) });
    fixture.subscribe(2, &["out/a/#"]);
    assert_eq!(fixture.answer(2, 1, FinalAnswer::Served(b"secret".to_vec())), []);
    let sent = fixture.publish(2, Publish { dup: true, ..trigger(1, 7, "flow-read") });
    assert_eq!((sent.len(), fixture.serves.len()), (0, 2), "it is a call of its own");
}

/// Guards against: an alert that fails or runs twice because the session that published it has been discarded.
#[test]
fn call_that_runs_is_known_to_the_next_session_of_the_same_user() {
    for dup in [true, false] {
        let mut fixture = test_sessions("");
        fixture.connect(1, clean_connect("a"));
        fixture.publish(1, trigger(3, 7, "alert-send"));
        fixture.sessions.connection_lost(fixture.now, 1);
        fixture.connect(2, clean_connect("a"));
        fixture.publish(2, trigger(1, 8, "alert-send"));
        fixture.publish(2, Publish { dup, ..trigger(2, 7, "alert-send") });
        assert_eq!(fixture.serves.len(), 2);
        assert_eq!(fixture.answer(2, 2, FinalAnswer::Served(Vec::new())).len(), 1);
        let sent = fixture.answer(2, 1, FinalAnswer::Served(Vec::new()));
        assert!(matches!(&sent[..], [Packet::Puback(a)] if a.packet_id == 2), "{sent:?}");
        assert_eq!(user_property(&sent[0], "call").as_deref(), Some("0000000000000007"));
    }
}

/// Guards against: an alert that runs twice because its answer was forgotten with the session that had ended.
#[test]
fn call_that_was_answered_after_its_session_is_known_to_the_next_one() {
    for dup in [true, false] {
        let mut fixture = test_sessions("");
        fixture.connect(1, clean_connect("a"));
        fixture.publish(1, trigger(1, 7, "alert-send"));
        fixture.sessions.connection_lost(fixture.now, 1);
        fixture.advance_by(SECOND);
        fixture.answer(1, 1, FinalAnswer::Served(Vec::new()));
        fixture.advance_by(SECOND);
        assert_eq!(fixture.sessions.session_counts(), (0, 0));
        fixture.connect(2, clean_connect("a"));
        let sent = fixture.publish(2, Publish { dup, ..trigger(1, 7, "alert-send") });
        assert_eq!(user_property(&sent[0], "status").as_deref(), Some("served"), "dup {dup}");
        assert_eq!(fixture.serves.len(), 1);
    }
}

/// Guards against: an acknowledgement that arrives on a connection after another one took its session over.
#[test]
fn acknowledgement_on_the_connection_before_completes_nothing() {
    let mut fixture = test_sessions("");
    fixture.connect(1, connect("a", 50));
    fixture.subscribe(1, &["out/a/#"]);
    fixture.publish(1, trigger(1, 7, "flow-read"));
    let sent = fixture.answer(1, 1, FinalAnswer::Served(Vec::new()));
    let Some(Packet::Publish(answer)) = sent.last().cloned() else { panic!("{sent:?}") };
    fixture.connect(2, connect("a", 50));
    let puback =
        Ack { packet_id: answer.packet_id, reason: ReasonCode::Success, properties: Properties::default() };
    fixture.send(1, Packet::Puback(puback));
    fixture.sessions.connection_lost(fixture.now, 2);
    fixture.sessions.connection_accepted(fixture.now, 3);
    let sent = fixture.send(3, Packet::Connect(Box::new(connect("a", 50))));
    assert!(matches!(&sent[1], Packet::Publish(p) if p.dup && p.packet_id == answer.packet_id), "{sent:?}");
}
