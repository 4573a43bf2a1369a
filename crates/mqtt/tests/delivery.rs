//! Property tests of message delivery between two peers over a connection that may break at any point: the guarantee of
//! each QoS level holds in every history.

use ochreward_mqtt::delivery::{Inbound, Outbound, QueueFull, Received};
use ochreward_mqtt::packet::{Ack, Packet, Publish, Qos};
use ochreward_mqtt::{Properties, ReasonCode};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, VecDeque};

fn message(n: u64, qos: Qos) -> Publish {
    Publish { qos, topic: format!("t/{}", n % 3), payload: n.to_be_bytes().to_vec(), ..Publish::default() }
}

fn number(publish: &Publish) -> u64 {
    u64::from_be_bytes(publish.payload[..].try_into().expect("a number"))
}

/// A publisher, a receiver and the packets in transit between them.
struct Simulation {
    outbound: Outbound,
    inbound: Inbound,
    to_receiver: VecDeque<Packet>,
    to_publisher: VecDeque<Packet>,
    up: bool,
    receive_maximum: u16,
    /// How often each message was delivered to the application.
    delivered: BTreeMap<u64, usize>,
    published: BTreeMap<u64, Qos>,
    completed: BTreeMap<u64, usize>,
    message_by_sequence: BTreeMap<u64, u64>,
    /// Packet identifiers of the messages that the receiver has not acknowledged.
    unacknowledged: Vec<u16>,
    first_deliveries: Vec<u64>,
}

#[derive(Clone, Debug)]
enum Op {
    Publish(Qos),
    /// Carries a number of packets to the receiver, or to the publisher.
    ToReceiver(usize),
    ToPublisher(usize),
    /// The receiver acknowledges one of the unacknowledged messages.
    Acknowledge(usize),
    /// The connection breaks, and is resumed with another receive maximum.
    Reconnect(u16),
}

fn op() -> impl Strategy<Value = Op> {
    let qos = prop_oneof![Just(Qos::AtMostOnce), Just(Qos::AtLeastOnce), Just(Qos::ExactlyOnce)];
    prop_oneof![
        4 => qos.prop_map(Op::Publish),
        5 => (1..4usize).prop_map(Op::ToReceiver),
        5 => (1..4usize).prop_map(Op::ToPublisher),
        5 => (0..8usize).prop_map(Op::Acknowledge),
        1 => (1..6u16).prop_map(Op::Reconnect),
    ]
}

impl Simulation {
    fn new() -> Simulation {
        let mut outbound = Outbound::new(64);
        outbound.connected(true, 3, 2);
        Simulation {
            outbound,
            inbound: Inbound::new(6, 2),
            to_receiver: VecDeque::new(),
            to_publisher: VecDeque::new(),
            up: true,
            receive_maximum: 3,
            delivered: BTreeMap::new(),
            published: BTreeMap::new(),
            completed: BTreeMap::new(),
            message_by_sequence: BTreeMap::new(),
            unacknowledged: Vec::new(),
            first_deliveries: Vec::new(),
        }
    }

    fn send_packets(&mut self) {
        while let Some(packet) = self.outbound.next_packet() {
            self.to_receiver.push_back(packet);
        }
    }

    fn run(&mut self, op: &Op) {
        match op {
            Op::Publish(qos) => {
                let n = self.published.len() as u64;
                match self.outbound.publish(message(n, *qos)) {
                    Ok(sequence) => {
                        self.published.insert(n, *qos);
                        self.message_by_sequence.insert(sequence, n);
                    }
                    Err(QueueFull) => assert_eq!(self.outbound.queued_and_in_flight().0, 64),
                }
            }
            Op::ToReceiver(count) => (0..*count).for_each(|_| self.carry_to_receiver()),
            Op::ToPublisher(count) => (0..*count).for_each(|_| self.carry_to_publisher()),
            Op::Acknowledge(which) => {
                if !self.unacknowledged.is_empty() {
                    let id = self.unacknowledged.remove(which % self.unacknowledged.len());
                    let acknowledgments =
                        self.inbound.acknowledge(id, ReasonCode::Success, Properties::default());
                    self.to_publisher.extend(acknowledgments);
                }
            }
            Op::Reconnect(receive_maximum) => {
                self.to_receiver.clear();
                self.to_publisher.clear();
                self.unacknowledged.clear();
                self.outbound.disconnected();
                assert_eq!(self.outbound.next_packet(), None);
                self.receive_maximum = *receive_maximum;
                self.outbound.connected(true, *receive_maximum, 2);
                self.inbound.connected(true);
            }
        }
        self.send_packets();
    }

    fn carry_to_receiver(&mut self) {
        match self.to_receiver.pop_front() {
            Some(Packet::Publish(mut publish)) => {
                let had_alias = publish.properties.topic_alias;
                match self.inbound.publish(&mut publish).expect("no violation") {
                    Received::New => {
                        let n = number(&publish);
                        assert_eq!(publish.topic, format!("t/{}", n % 3), "{had_alias:?}");
                        *self.delivered.entry(n).or_default() += 1;
                        if !publish.dup {
                            self.first_deliveries.push(n);
                        }
                        if publish.packet_id > 0 {
                            self.unacknowledged.push(publish.packet_id);
                        }
                        assert!(
                            self.inbound.unacknowledged() <= usize::from(self.receive_maximum),
                            "more than the receive maximum"
                        );
                    }
                    Received::Pending => {}
                    Received::Acknowledged(pubrec) => self.to_publisher.push_back(*pubrec),
                }
            }
            Some(Packet::Pubrel(ack)) => {
                let pubcomp = self.inbound.pubrel(&ack);
                self.to_publisher.push_back(pubcomp);
            }
            Some(other) => panic!("{other:?}"),
            None => {}
        }
    }

    fn carry_to_publisher(&mut self) {
        let outcome = match self.to_publisher.pop_front() {
            Some(Packet::Puback(ack)) => self.outbound.puback(&ack).expect("no violation"),
            Some(Packet::Pubrec(ack)) => {
                let (pubrel, outcome) = self.outbound.pubrec(&ack).expect("no violation");
                self.to_receiver.extend(pubrel);
                outcome
            }
            Some(Packet::Pubcomp(ack)) => self.outbound.pubcomp(&ack).expect("no violation"),
            Some(other) => panic!("{other:?}"),
            None => None,
        };
        if let Some(outcome) = outcome {
            let n = self.message_by_sequence[&outcome.sequence];
            assert!(self.delivered.contains_key(&n), "completed but never delivered");
            *self.completed.entry(n).or_default() += 1;
        }
        self.send_packets();
    }

    /// Runs until all deliveries are complete.
    fn finish(&mut self) {
        for _ in 0..5_000 {
            self.send_packets();
            self.carry_to_receiver();
            self.run(&Op::Acknowledge(0));
            self.carry_to_publisher();
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_500, failure_persistence: None, rng_seed: RngSeed::Fixed(0x9053), ..ProptestConfig::default()
    })]

    #[test]
    fn qos_guarantees_hold_across_reconnects(
        ops in prop::collection::vec(op(), 1..150)
    ) {
        let mut simulation = Simulation::new();
        for op in &ops {
            simulation.run(op);
        }
        simulation.finish();
        prop_assert_eq!(simulation.outbound.queued_and_in_flight(), (0, 0));
        for (n, qos) in &simulation.published {
            let times = simulation.delivered.get(n).copied().unwrap_or_default();
            match qos {
                Qos::AtMostOnce => prop_assert!(times <= 1, "{}: {}", n, times),
                Qos::AtLeastOnce => prop_assert!(times >= 1, "{}: {}", n, times),
                // A message that was delivered but not acknowledged when the connection broke is resent and delivered
                // again: the receiver is bound only by the PUBREC. The delivery completes once.
                Qos::ExactlyOnce => prop_assert!(times >= 1, "{}: {}", n, times),
            }
            if *qos != Qos::AtMostOnce {
                prop_assert_eq!(simulation.completed.get(n), Some(&1), "{}", n);
            }
        }
        prop_assert!(simulation.first_deliveries.is_sorted(), "order: {:?}", simulation.first_deliveries);
        prop_assert!(simulation.up);
    }

    #[test]
    fn qos_2_messages_acknowledged_on_arrival_are_delivered_exactly_once(
        breaks in prop::collection::vec((0..12usize, 0..12usize, 1..5u16), 0..12)
    ) {
        let mut simulation = Simulation::new();
        (0..20).for_each(|_| simulation.run(&Op::Publish(Qos::ExactlyOnce)));
        for (to_receiver, to_publisher, receive_maximum) in breaks {
            // Some acknowledgments and some PUBRELs are lost with the connection.
            for step in 0..to_receiver.max(to_publisher) {
                if step < to_receiver {
                    simulation.carry_to_receiver();
                }
                // Each message is acknowledged before the connection can break.
                while !simulation.unacknowledged.is_empty() {
                    simulation.run(&Op::Acknowledge(0));
                }
                if step < to_publisher {
                    simulation.carry_to_publisher();
                }
            }
            simulation.run(&Op::Reconnect(receive_maximum));
        }
        simulation.finish();
        prop_assert!(simulation.delivered.values().all(|times| *times == 1), "{:?}", simulation.delivered);
        prop_assert_eq!(simulation.delivered.len(), 20);
    }
}

fn ack(id: u16, reason: ReasonCode) -> Ack {
    Ack { packet_id: id, reason, properties: Properties::default() }
}

#[test]
fn packet_ids_wrap_around_and_skip_those_in_use() {
    let mut outbound = Outbound::new(8);
    outbound.connected(true, 2, 0);
    outbound.publish(message(0, Qos::AtLeastOnce)).expect("room");
    assert!(outbound.next_packet().is_some());
    for n in 1..=70_000 {
        outbound.publish(message(n, Qos::AtLeastOnce)).expect("room");
        let Some(Packet::Publish(p)) = outbound.next_packet() else { panic!("no packet") };
        assert!(p.packet_id > 1, "the identifier of the message in flight, or 0");
        assert!(outbound.puback(&ack(p.packet_id, ReasonCode::Success)).expect("no violation").is_some());
    }
    assert_eq!(outbound.queued_and_in_flight(), (0, 1));
}

#[test]
fn acknowledgments_are_sent_in_the_order_of_arrival() {
    let mut inbound = Inbound::new(10, 0);
    for id in 1..=4 {
        let qos = if id % 2 == 0 { Qos::ExactlyOnce } else { Qos::AtLeastOnce };
        let mut publish = Publish { packet_id: id, ..message(0, qos) };
        assert_eq!(inbound.publish(&mut publish), Ok(Received::New));
    }
    assert_eq!(inbound.acknowledge(3, ReasonCode::Success, Properties::default()), []);
    assert_eq!(inbound.acknowledge(2, ReasonCode::QuotaExceeded, Properties::default()), []);
    let sent = inbound.acknowledge(1, ReasonCode::Success, Properties::default());
    let expected = [
        Packet::Puback(ack(1, ReasonCode::Success)),
        Packet::Pubrec(ack(2, ReasonCode::QuotaExceeded)),
        Packet::Puback(ack(3, ReasonCode::Success)),
    ];
    assert_eq!(sent, expected);
    // A PUBREC with a failure ends the delivery, so the packet identifier is free at once.
    let mut again = Publish { packet_id: 2, ..message(0, Qos::ExactlyOnce) };
    assert_eq!(inbound.publish(&mut again), Ok(Received::New));
}

#[test]
fn violations_and_unknown_packet_ids_are_reported_by_reason() {
    let mut inbound = Inbound::new(1, 1);
    let receive =
        |inbound: &mut Inbound, publish: Publish| inbound.publish(&mut publish.clone()).map_err(|v| v.reason);
    let with = |id, qos| Publish { packet_id: id, ..message(0, qos) };
    assert_eq!(receive(&mut inbound, with(1, Qos::AtLeastOnce)), Ok(Received::New));
    assert_eq!(receive(&mut inbound, with(1, Qos::AtLeastOnce)), Ok(Received::Pending));
    assert_eq!(receive(&mut inbound, with(1, Qos::ExactlyOnce)), Err(ReasonCode::PacketIdInUse));
    assert_eq!(receive(&mut inbound, with(2, Qos::AtLeastOnce)), Err(ReasonCode::ReceiveMaximumExceeded));
    let alias = |alias, topic: &str| {
        let properties = Properties { topic_alias: Some(alias), ..Properties::default() };
        Publish { topic: topic.into(), properties, ..message(0, Qos::AtMostOnce) }
    };
    assert_eq!(receive(&mut inbound, alias(2, "t")), Err(ReasonCode::TopicAliasInvalid));
    assert_eq!(receive(&mut inbound, alias(1, "")), Err(ReasonCode::ProtocolError));
    assert_eq!(receive(&mut inbound, alias(1, "t")), Ok(Received::New));
    assert_eq!(receive(&mut inbound, alias(1, "")), Ok(Received::New));
    // Topic aliases do not outlive the connection.
    inbound.connected(true);
    assert_eq!(receive(&mut inbound, alias(1, "")), Err(ReasonCode::ProtocolError));
    assert_eq!(
        inbound.pubrel(&ack(9, ReasonCode::Success)),
        Packet::Pubcomp(ack(9, ReasonCode::PacketIdNotFound))
    );

    let mut outbound = Outbound::new(4);
    outbound.connected(true, 9, 0);
    for (n, qos) in [(1, Qos::AtLeastOnce), (2, Qos::ExactlyOnce)] {
        outbound.publish(message(n, qos)).expect("room");
        assert!(outbound.next_packet().is_some());
    }
    assert!(outbound.puback(&ack(2, ReasonCode::Success)).is_err());
    assert!(outbound.pubrec(&ack(1, ReasonCode::Success)).is_err());
    assert!(outbound.pubcomp(&ack(2, ReasonCode::Success)).is_err());
    assert_eq!(outbound.puback(&ack(7, ReasonCode::Success)), Ok(None));
    let unknown = Packet::Pubrel(ack(7, ReasonCode::PacketIdNotFound));
    assert_eq!(outbound.pubrec(&ack(7, ReasonCode::Success)), Ok((Some(unknown), None)));
    let (pubrel, outcome) = outbound.pubrec(&ack(2, ReasonCode::QuotaExceeded)).expect("no violation");
    assert!(pubrel.is_none() && outcome.is_some_and(|o| o.reason == ReasonCode::QuotaExceeded));
    // If the peer lost the session, the messages in flight are returned in order.
    outbound.disconnected();
    let discarded = outbound.connected(false, 9, 0);
    assert_eq!(discarded.len(), 1);
    assert_eq!(discarded[0].1.as_ref().map(number), Some(1));
}
