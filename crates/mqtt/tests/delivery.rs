//! Two peers and a connection that breaks anywhere: what each quality of service promises holds on every history.

use ochreward_mqtt::delivery::{Full, Inbound, Outbound, Taken};
use ochreward_mqtt::packet::{Ack, Packet, Publish, Qos};
use ochreward_mqtt::{Properties, Reason};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, VecDeque};

fn message(n: u64, qos: Qos) -> Publish {
    Publish { qos, topic: format!("t/{}", n % 3), payload: n.to_be_bytes().to_vec(), ..Publish::default() }
}

fn number(publish: &Publish) -> u64 {
    u64::from_be_bytes(publish.payload[..].try_into().expect("a number"))
}

/// A publisher, a receiver, and what is on its way between them.
struct World {
    out: Outbound,
    inn: Inbound,
    there: VecDeque<Packet>,
    back: VecDeque<Packet>,
    up: bool,
    window: u16,
    /// How often each message was handed on, and its quality.
    delivered: BTreeMap<u64, usize>,
    sent: BTreeMap<u64, Qos>,
    settled: BTreeMap<u64, usize>,
    orders: BTreeMap<u64, u64>,
    /// Numbers of messages that the receiver has yet to settle.
    open: Vec<u16>,
    first_seen: Vec<u64>,
}

#[derive(Clone, Debug)]
enum Op {
    Publish(Qos),
    /// Packets carried there, or back.
    There(usize),
    Back(usize),
    /// The receiver settles one of the open messages.
    Settle(usize),
    /// The connection breaks, and comes back with another window.
    Break(u16),
}

fn op() -> impl Strategy<Value = Op> {
    let qos = prop_oneof![Just(Qos::AtMostOnce), Just(Qos::AtLeastOnce), Just(Qos::ExactlyOnce)];
    prop_oneof![
        4 => qos.prop_map(Op::Publish),
        5 => (1..4usize).prop_map(Op::There),
        5 => (1..4usize).prop_map(Op::Back),
        5 => (0..8usize).prop_map(Op::Settle),
        1 => (1..6u16).prop_map(Op::Break),
    ]
}

impl World {
    fn new() -> World {
        let mut out = Outbound::new(64);
        out.connected(true, 3, 2);
        World {
            out,
            inn: Inbound::new(6, 2),
            there: VecDeque::new(),
            back: VecDeque::new(),
            up: true,
            window: 3,
            delivered: BTreeMap::new(),
            sent: BTreeMap::new(),
            settled: BTreeMap::new(),
            orders: BTreeMap::new(),
            open: Vec::new(),
            first_seen: Vec::new(),
        }
    }

    fn pump(&mut self) {
        while let Some(packet) = self.out.take_packet() {
            self.there.push_back(packet);
        }
    }

    fn run(&mut self, op: &Op) {
        match op {
            Op::Publish(qos) => {
                let n = self.sent.len() as u64;
                match self.out.publish(message(n, *qos)) {
                    Ok(order) => {
                        self.sent.insert(n, *qos);
                        self.orders.insert(order, n);
                    }
                    Err(Full) => assert_eq!(self.out.load().0, 64),
                }
            }
            Op::There(count) => (0..*count).for_each(|_| self.there()),
            Op::Back(count) => (0..*count).for_each(|_| self.back()),
            Op::Settle(which) => {
                if !self.open.is_empty() {
                    let id = self.open.remove(which % self.open.len());
                    self.back.extend(self.inn.settle(id, Reason::Success, Properties::default()));
                }
            }
            Op::Break(window) => {
                self.there.clear();
                self.back.clear();
                self.open.clear();
                self.out.disconnected();
                assert_eq!(self.out.take_packet(), None);
                self.window = *window;
                self.out.connected(true, *window, 2);
                self.inn.connected(true);
            }
        }
        self.pump();
    }

    fn there(&mut self) {
        match self.there.pop_front() {
            Some(Packet::Publish(mut publish)) => {
                let had_alias = publish.properties.topic_alias;
                match self.inn.publish(&mut publish).expect("no violation") {
                    Taken::New => {
                        let n = number(&publish);
                        assert_eq!(publish.topic, format!("t/{}", n % 3), "{had_alias:?}");
                        *self.delivered.entry(n).or_default() += 1;
                        if !publish.dup {
                            self.first_seen.push(n);
                        }
                        if publish.id > 0 {
                            self.open.push(publish.id);
                        }
                        assert!(self.inn.open() <= usize::from(self.window), "more than the window");
                    }
                    Taken::Pending => {}
                    Taken::Again(answer) => self.back.push_back(*answer),
                }
            }
            Some(Packet::Pubrel(ack)) => {
                let answer = self.inn.pubrel(&ack);
                self.back.push_back(answer);
            }
            Some(other) => panic!("{other:?}"),
            None => {}
        }
    }

    fn back(&mut self) {
        let settled = match self.back.pop_front() {
            Some(Packet::Puback(ack)) => self.out.puback(&ack).expect("no violation"),
            Some(Packet::Pubrec(ack)) => {
                let (answer, settled) = self.out.pubrec(&ack).expect("no violation");
                self.there.extend(answer);
                settled
            }
            Some(Packet::Pubcomp(ack)) => self.out.pubcomp(&ack).expect("no violation"),
            Some(other) => panic!("{other:?}"),
            None => None,
        };
        if let Some(settled) = settled {
            let n = self.orders[&settled.order];
            assert!(self.delivered.contains_key(&n), "settled and never delivered");
            *self.settled.entry(n).or_default() += 1;
        }
        self.pump();
    }

    /// Lets everything come to its end.
    fn finish(&mut self) {
        for _ in 0..5_000 {
            self.pump();
            self.there();
            self.run(&Op::Settle(0));
            self.back();
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_500, failure_persistence: None, rng_seed: RngSeed::Fixed(0x9053), ..ProptestConfig::default()
    })]

    #[test]
    fn each_quality_of_service_keeps_its_promise_however_connections_break(
        ops in prop::collection::vec(op(), 1..150)
    ) {
        let mut world = World::new();
        for op in &ops {
            world.run(op);
        }
        world.finish();
        prop_assert_eq!(world.out.load(), (0, 0));
        for (n, qos) in &world.sent {
            let times = world.delivered.get(n).copied().unwrap_or_default();
            match qos {
                Qos::AtMostOnce => prop_assert!(times <= 1, "{}: {}", n, times),
                Qos::AtLeastOnce => prop_assert!(times >= 1, "{}: {}", n, times),
                // What was taken and not settled when the connection broke comes again; the receiver had not
                // promised anything yet. It is settled once.
                Qos::ExactlyOnce => prop_assert!(times >= 1, "{}: {}", n, times),
            }
            if *qos != Qos::AtMostOnce {
                prop_assert_eq!(world.settled.get(n), Some(&1), "{}", n);
            }
        }
        prop_assert!(world.first_seen.is_sorted(), "order: {:?}", world.first_seen);
        prop_assert!(world.up);
    }

    #[test]
    fn at_qos_2_a_message_that_is_settled_as_it_comes_is_delivered_once(
        breaks in prop::collection::vec((0..12usize, 0..12usize, 1..5u16), 0..12)
    ) {
        let mut world = World::new();
        (0..20).for_each(|_| world.run(&Op::Publish(Qos::ExactlyOnce)));
        for (there, back, window) in breaks {
            // Some answers, and some releases, are lost with the connection.
            for step in 0..there.max(back) {
                if step < there {
                    world.there();
                }
                // Settled in the same breath in which it was taken.
                while !world.open.is_empty() {
                    world.run(&Op::Settle(0));
                }
                if step < back {
                    world.back();
                }
            }
            world.run(&Op::Break(window));
        }
        world.finish();
        prop_assert!(world.delivered.values().all(|times| *times == 1), "{:?}", world.delivered);
        prop_assert_eq!(world.delivered.len(), 20);
    }
}

fn ack(id: u16, reason: Reason) -> Ack {
    Ack { id, reason, properties: Properties::default() }
}

#[test]
fn numbers_wrap_and_skip_those_in_use() {
    let mut out = Outbound::new(8);
    out.connected(true, 2, 0);
    out.publish(message(0, Qos::AtLeastOnce)).expect("room");
    assert!(out.take_packet().is_some());
    for n in 1..=70_000 {
        out.publish(message(n, Qos::AtLeastOnce)).expect("room");
        let Some(Packet::Publish(p)) = out.take_packet() else { panic!("no packet") };
        assert!(p.id > 1, "the number of the unsettled one, or 0");
        assert!(out.puback(&ack(p.id, Reason::Success)).expect("no violation").is_some());
    }
    assert_eq!(out.load(), (0, 1));
}

#[test]
fn answers_go_out_in_the_order_in_which_their_messages_came() {
    let mut inn = Inbound::new(10, 0);
    for id in 1..=4 {
        let qos = if id % 2 == 0 { Qos::ExactlyOnce } else { Qos::AtLeastOnce };
        let mut publish = Publish { id, ..message(0, qos) };
        assert_eq!(inn.publish(&mut publish), Ok(Taken::New));
    }
    assert_eq!(inn.settle(3, Reason::Success, Properties::default()), []);
    assert_eq!(inn.settle(2, Reason::QuotaExceeded, Properties::default()), []);
    let sent = inn.settle(1, Reason::Success, Properties::default());
    let wanted = [
        Packet::Puback(ack(1, Reason::Success)),
        Packet::Pubrec(ack(2, Reason::QuotaExceeded)),
        Packet::Puback(ack(3, Reason::Success)),
    ];
    assert_eq!(sent, wanted);
    // A refused one is over: its number is free at once.
    let mut again = Publish { id: 2, ..message(0, Qos::ExactlyOnce) };
    assert_eq!(inn.publish(&mut again), Ok(Taken::New));
}

#[test]
fn what_a_peer_does_against_the_rules_is_named() {
    let mut inn = Inbound::new(1, 1);
    let take = |inn: &mut Inbound, publish: Publish| inn.publish(&mut publish.clone()).map_err(|v| v.reason);
    let with = |id, qos| Publish { id, ..message(0, qos) };
    assert_eq!(take(&mut inn, with(1, Qos::AtLeastOnce)), Ok(Taken::New));
    assert_eq!(take(&mut inn, with(1, Qos::AtLeastOnce)), Ok(Taken::Pending));
    assert_eq!(take(&mut inn, with(1, Qos::ExactlyOnce)), Err(Reason::PacketIdInUse));
    assert_eq!(take(&mut inn, with(2, Qos::AtLeastOnce)), Err(Reason::ReceiveMaximumExceeded));
    let alias = |alias, topic: &str| {
        let properties = Properties { topic_alias: Some(alias), ..Properties::default() };
        Publish { topic: topic.into(), properties, ..message(0, Qos::AtMostOnce) }
    };
    assert_eq!(take(&mut inn, alias(2, "t")), Err(Reason::TopicAliasInvalid));
    assert_eq!(take(&mut inn, alias(1, "")), Err(Reason::ProtocolError));
    assert_eq!(take(&mut inn, alias(1, "t")), Ok(Taken::New));
    assert_eq!(take(&mut inn, alias(1, "")), Ok(Taken::New));
    // An alias does not outlive its connection.
    inn.connected(true);
    assert_eq!(take(&mut inn, alias(1, "")), Err(Reason::ProtocolError));
    assert_eq!(inn.pubrel(&ack(9, Reason::Success)), Packet::Pubcomp(ack(9, Reason::PacketIdNotFound)));

    let mut out = Outbound::new(4);
    out.connected(true, 9, 0);
    for (n, qos) in [(1, Qos::AtLeastOnce), (2, Qos::ExactlyOnce)] {
        out.publish(message(n, qos)).expect("room");
        assert!(out.take_packet().is_some());
    }
    assert!(out.puback(&ack(2, Reason::Success)).is_err());
    assert!(out.pubrec(&ack(1, Reason::Success)).is_err());
    assert!(out.pubcomp(&ack(2, Reason::Success)).is_err());
    assert_eq!(out.puback(&ack(7, Reason::Success)), Ok(None));
    let unknown = Packet::Pubrel(ack(7, Reason::PacketIdNotFound));
    assert_eq!(out.pubrec(&ack(7, Reason::Success)), Ok((Some(unknown), None)));
    let (answer, settled) = out.pubrec(&ack(2, Reason::QuotaExceeded)).expect("no violation");
    assert!(answer.is_none() && settled.is_some_and(|s| s.reason == Reason::QuotaExceeded));
    // A peer that lost the session: what was unsettled is handed back, in order.
    out.disconnected();
    let lost = out.connected(false, 9, 0);
    assert_eq!(lost.len(), 1);
    assert_eq!(lost[0].1.as_ref().map(number), Some(1));
}
