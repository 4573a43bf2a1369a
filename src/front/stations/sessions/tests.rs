use super::*;

const SECOND: u64 = 1_000_000;

struct Bench {
    it: Sessions,
    now: u64,
    sent: BTreeMap<Conn, Vec<Packet>>,
    closed: BTreeSet<Conn>,
    serves: Vec<(i64, ParsedRequest, bool)>,
}

fn bench(more: &str) -> Bench {
    let text = format!(
        "[user.u]\npassword = \"$argon2id$\"\npublish = [\"in/{{client}}/#\"]\nsubscribe = [\"out/{{client}}/#\"]\n{more}"
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
    let it = Sessions::new(rules, Policy::read(&text).expect("a policy"));
    Bench { it, now: SECOND, sent: BTreeMap::new(), closed: BTreeSet::new(), serves: Vec::new() }
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

impl Bench {
    fn carry(&mut self) {
        while !self.it.acts.is_empty() {
            for act in std::mem::take(&mut self.it.acts) {
                match act {
                    Act::Send(conn, packet, version) => {
                        assert!(packet.encode(version, 65_536).is_ok(), "{packet:?}");
                        self.sent.entry(conn).or_default().push(*packet);
                    }
                    Act::Close(conn) => drop(self.closed.insert(conn)),
                    Act::Verify(conn, password, _) => self.it.verified(self.now, conn, password == b"p"),
                    Act::Serve { number, sketch, again, .. } => self.serves.push((number, sketch, again)),
                }
            }
        }
    }

    fn send(&mut self, conn: Conn, packet: Packet) -> Vec<Packet> {
        self.it.received(self.now, conn, packet);
        self.carry();
        self.sent.remove(&conn).unwrap_or_default()
    }

    fn connect(&mut self, conn: Conn, connect: Connect) -> Option<Connack> {
        self.it.accepted(self.now, conn);
        let sent = self.send(conn, Packet::Connect(Box::new(connect)));
        match sent.into_iter().next() {
            Some(Packet::Connack(connack)) => Some(*connack),
            _ => None,
        }
    }

    fn publish(&mut self, conn: Conn, publish: Publish) -> Vec<Packet> {
        self.send(conn, Packet::Publish(Box::new(publish)))
    }

    fn subscribe(&mut self, conn: Conn, filters: &[&str]) -> Vec<ReasonCode> {
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

    fn answer(&mut self, conn: Conn, number: i64, answer: FinalAnswer) -> Vec<Packet> {
        self.it.answered(number, answer);
        self.carry();
        self.sent.remove(&conn).unwrap_or_default()
    }

    fn pass(&mut self, time: u64) {
        self.now += time;
        self.it.advance(self.now);
        self.carry();
    }
}

fn told(packet: &Packet, name: &str) -> Option<String> {
    let properties = match packet {
        Packet::Puback(ack) | Packet::Pubrec(ack) => &ack.properties,
        Packet::Publish(publish) => &publish.properties,
        _ => return None,
    };
    properties.user(name).map(str::to_string)
}

#[test]
fn a_trigger_is_acknowledged_with_its_answer_and_answered_where_the_station_listens() {
    let mut b = bench("");
    assert!(
        b.connect(1, connect("a", 100))
            .is_some_and(|c| c.reason == ReasonCode::Success && !c.session_present)
    );
    assert_eq!(
        b.subscribe(1, &["out/a/#", "out/b/#", "a#", "$share/g/out/a/x"]),
        [
            ReasonCode::GrantedQos1,
            ReasonCode::NotAuthorized,
            ReasonCode::TopicFilterInvalid,
            ReasonCode::SharedNotSupported
        ]
    );
    assert_eq!(b.publish(1, trigger(5, 1, "flow-read")), []);
    let (number, sketch, again) = b.serves[0].clone();
    assert!(&*sketch.call == "0000000000000001" && !again);
    let sent = b.answer(1, number, FinalAnswer::Served(b"body".to_vec()));
    assert!(matches!(&sent[0], Packet::Puback(a) if a.packet_id == 5 && a.reason == ReasonCode::Success));
    assert_eq!(told(&sent[0], "status").as_deref(), Some("served"));
    let Packet::Publish(answer) = &sent[1] else { panic!("{sent:?}") };
    assert_eq!((answer.topic.as_str(), &answer.payload[..]), ("out/a/answers", &b"body"[..]));
    assert_eq!(answer.properties.correlation, Some(vec![7]));
    assert_eq!(b.it.counts.answers, 1);
}

#[test]
fn a_broken_connection_costs_no_answer_and_runs_nothing_twice() {
    let mut b = bench("");
    b.connect(1, connect("a", 100));
    b.subscribe(1, &["out/a/#"]);
    b.publish(1, trigger(5, 1, "alert-send"));
    let number = b.serves[0].0;
    b.it.lost(b.now, 1);
    // It comes back while the request is under way, and sends the message again.
    assert!(b.connect(2, connect("a", 100)).is_some_and(|c| c.session_present));
    assert_eq!(b.publish(2, Publish { dup: true, ..trigger(5, 1, "alert-send") }), []);
    b.it.lost(b.now, 2);
    assert_eq!(b.answer(2, number, FinalAnswer::Served(Vec::new())), []);
    // It was answered while the station was away: the answer waits, and the repeat is told it again.
    b.it.accepted(b.now, 3);
    let sent = b.send(3, Packet::Connect(Box::new(connect("a", 100))));
    assert!(matches!(&sent[1], Packet::Publish(p) if p.topic == "out/a/answers"), "{sent:?}");
    let sent = b.publish(3, Publish { dup: true, ..trigger(5, 1, "alert-send") });
    assert_eq!(told(&sent[0], "status").as_deref(), Some("served"));
    assert_eq!((b.serves.len(), b.it.counts.duplicates), (1, 2));
}

#[test]
fn a_repeat_that_this_process_does_not_know_may_have_run_elsewhere() {
    let mut b = bench("");
    b.connect(1, connect("a", 0));
    b.publish(1, Publish { dup: true, ..trigger(1, 1, "alert-send") });
    assert!(b.serves[0].2);
}

#[test]
fn who_may_not_is_told_so_by_the_reason_that_fits() {
    let mut b = bench("classes = [\"flow-read\"]\nclients = [\"a\", \"b*\"]");
    let reason = |b: &mut Bench, conn, connect| b.connect(conn, connect).map(|c| c.reason);
    let base = || connect("a", 0);
    assert_eq!(
        reason(&mut b, 1, Connect { password: Some(b"x".to_vec()), ..base() }),
        Some(ReasonCode::BadUserNameOrPassword)
    );
    assert_eq!(
        reason(&mut b, 2, Connect { user_name: Some("v".into()), ..base() }),
        Some(ReasonCode::BadUserNameOrPassword)
    );
    assert_eq!(reason(&mut b, 3, connect("c", 0)), Some(ReasonCode::ClientIdNotValid));
    let old = Connect { version: Version::V311, properties: Properties::default(), ..base() };
    assert_eq!(reason(&mut b, 4, old), Some(ReasonCode::UnsupportedProtocol));
    assert!((1..=4).all(|conn| b.closed.contains(&conn)));
    assert_eq!(reason(&mut b, 5, base()), Some(ReasonCode::Success));
    let refusals = [
        (trigger(1, 1, "alert-send"), ReasonCode::NotAuthorized),
        (Publish { topic: "in/b/x".into(), ..trigger(2, 2, "flow-read") }, ReasonCode::NotAuthorized),
        (
            Publish { properties: Properties::default(), ..trigger(3, 3, "flow-read") },
            ReasonCode::PayloadFormatInvalid,
        ),
    ];
    for (publish, reason) in refusals {
        let sent = b.publish(5, publish);
        assert!(matches!(&sent[..], [Packet::Puback(ack)] if ack.reason == reason), "{sent:?}");
    }
    assert!(b.serves.is_empty());
    // Another connection takes the session over; anything before a CONNECT, and a second one, end it.
    b.connect(6, base());
    let sent = b.sent.remove(&5).unwrap_or_default();
    assert!(matches!(&sent[..], [Packet::Disconnect(c)] if c.reason == ReasonCode::SessionTakenOver));
    b.it.accepted(b.now, 7);
    b.send(7, Packet::Pingreq);
    let sent = b.send(6, Packet::Connect(Box::new(base())));
    assert!(matches!(&sent[..], [Packet::Disconnect(c)] if c.reason == ReasonCode::ProtocolError));
    assert!(b.closed.contains(&7) && b.closed.contains(&6));
}

#[test]
fn quotas_refuse_with_a_time_to_come_back() {
    let mut b = bench("client_rate = 2\nclient_burst = 2\nuser_rate = 100\nuser_burst = 3");
    b.connect(1, connect("a", 0));
    b.publish(1, trigger(1, 1, "flow-read"));
    b.publish(1, trigger(2, 2, "flow-read"));
    assert_eq!(b.publish(1, trigger(3, 3, "flow-read")), [], "answers keep the order of their messages");
    let first = b.answer(1, 1, FinalAnswer::Refused(250_000));
    assert_eq!(told(&first[0], "pushback").as_deref(), Some("250"));
    let rest = b.answer(1, 2, FinalAnswer::Failed("why not"));
    assert_eq!((told(&rest[0], "why"), rest.len()), (Some("why not".to_string()), 2));
    assert_eq!(told(&rest[1], "pushback").as_deref(), Some("500"));
    // What was refused never ran: its repeat is a new request.
    b.pass(SECOND);
    b.publish(1, trigger(4, 1, "flow-read"));
    assert_eq!((b.serves.len(), b.it.counts.limited), (3, 1));
}

#[test]
fn sessions_end_with_their_time_and_a_silent_connection_with_its_keep_alive() {
    let mut b = bench("");
    b.connect(1, connect("a", 5));
    b.pass(14 * SECOND);
    assert!(b.it.count() == (1, 1));
    b.pass(2 * SECOND);
    let sent = b.sent.remove(&1).unwrap_or_default();
    assert!(matches!(&sent[..], [Packet::Disconnect(c)] if c.reason == ReasonCode::KeepAliveTimeout));
    assert_eq!(b.it.count(), (1, 0));
    b.pass(5 * SECOND);
    assert_eq!(b.it.count(), (0, 0));
    // One that never says who it is goes too.
    b.it.accepted(b.now, 2);
    assert_eq!(b.it.due(), b.now + UNKNOWN);
    b.pass(UNKNOWN);
    assert!(b.closed.contains(&2));
    // The longest away makes room; with all connected, the next is refused.
    for (conn, client) in [(3, "a"), (4, "b"), (5, "c")] {
        b.connect(conn, connect(client, 50));
    }
    assert_eq!(b.connect(6, connect("d", 50)).map(|c| c.reason), Some(ReasonCode::QuotaExceeded));
    b.it.lost(b.now, 4);
    assert_eq!(b.connect(7, connect("d", 50)).map(|c| c.reason), Some(ReasonCode::Success));
    assert_eq!(b.it.count(), (3, 3));
}

#[test]
fn a_will_is_a_trigger_unless_the_station_takes_its_leave_or_comes_back() {
    let with = |delay| {
        let publish = trigger(0, 77, "flow-read");
        let properties = Properties { will_delay: Some(delay), ..publish.properties };
        let will = Will { topic: publish.topic, properties, ..Will::default() };
        Connect { will: Some(will), ..connect("a", 50) }
    };
    let mut b = bench("");
    b.connect(1, with(3));
    b.it.lost(b.now, 1);
    b.pass(2 * SECOND);
    b.connect(2, with(3));
    b.pass(2 * SECOND);
    assert!(b.serves.is_empty(), "it came back");
    let leave = |reason| Packet::Disconnect(DisconnectOrAuth { reason, properties: Properties::default() });
    b.send(2, leave(ReasonCode::Success));
    b.pass(5 * SECOND);
    assert!(b.serves.is_empty(), "it took its leave");
    b.connect(3, with(0));
    b.send(3, leave(ReasonCode::DisconnectWithWill));
    b.pass(1);
    assert_eq!(b.serves.len(), 1);
}

#[test]
fn a_stop_refuses_new_triggers_at_once_and_tells_stations_when_it_goes() {
    let mut b = bench("");
    b.connect(1, connect("a", 50));
    b.publish(1, trigger(1, 1, "flow-read"));
    b.it.stop();
    assert_eq!(b.it.owed(), 1);
    b.publish(1, trigger(2, 2, "flow-read"));
    let sent = b.answer(1, 1, FinalAnswer::Served(Vec::new()));
    assert_eq!(told(&sent[1], "status").as_deref(), Some("refused"));
    assert_eq!(b.connect(2, connect("b", 0)).map(|c| c.reason), Some(ReasonCode::ServerUnavailable));
    b.it.leave(b.now);
    b.carry();
    let sent = b.sent.remove(&1).unwrap_or_default();
    assert!(matches!(&sent[..], [Packet::Disconnect(c)] if c.reason == ReasonCode::ServerShuttingDown));
}

#[test]
fn users_that_go_or_get_another_password_are_told_to_go() {
    let mut b = bench("");
    b.connect(1, connect("a", 50));
    b.it.replace(b.now, Policy::read("[user.u]\npassword = \"$argon2id$\"").expect("a policy"));
    b.carry();
    assert!(!b.closed.contains(&1));
    b.it.replace(b.now, Policy::default());
    b.carry();
    assert!(b.closed.contains(&1));
}
