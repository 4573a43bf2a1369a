//! Message delivery at QoS 0, 1 and 2 (MQTT 5.0, sections 4.3, 4.4, 4.6 and 4.9), for clients and servers alike:
//! [`Outbound`] for the messages that this side publishes, [`Inbound`] for those that it receives.
//!
//! Both are session state that outlives a connection: deliveries that are unfinished when a connection ends are resumed on
//! the next one if the peer kept the session. Memory is bounded by the length of the outbound queue and by the receive
//! maximum of either side.

use crate::packet::{Ack, Packet, Publish, Qos};
use crate::property::Properties;
use crate::reason::{ReasonCode, Violation};
use std::collections::{BTreeMap, VecDeque};

fn ack_without_properties(id: u16, reason: ReasonCode) -> Ack {
    Ack { packet_id: id, reason, properties: Properties::default() }
}

/// The outbound queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

/// The outcome of a published message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The sequence number that `publish` returned.
    pub sequence: u64,
    /// The peer's reason code; a failure means that the peer did not accept the message.
    pub reason: ReasonCode,
}

#[derive(Clone, Debug)]
enum Stage {
    /// Sent and kept for retransmission until a PUBACK or PUBREC arrives.
    AwaitingAck(Box<Publish>),
    /// A PUBREC has arrived (QoS 2); the PUBREL is sent until a PUBCOMP arrives.
    AwaitingPubcomp,
}

#[derive(Debug)]
struct InFlight {
    sequence: u64,
    stage: Stage,
    /// Whether the packet still has to be resent on this connection.
    resend: bool,
}

/// The messages that this side publishes: queued, or in flight by packet identifier.
#[derive(Debug)]
pub struct Outbound {
    next_sequence: u64,
    next_id: u16,
    /// The peer's receive maximum on this connection.
    receive_maximum: u16,
    /// QoS 1 and 2 messages sent or resent on this connection whose delivery is unfinished.
    quota_used: u16,
    connected: bool,
    in_flight: BTreeMap<u16, InFlight>,
    queue: VecDeque<(u64, Box<Publish>)>,
    max_queued: usize,
    aliases: TopicAliases,
}

/// The topic aliases that this side assigns (3.3.2.3.4): one for each of the first topics of a connection, up to the
/// peer's topic alias maximum.
#[derive(Debug, Default)]
struct TopicAliases {
    maximum: u16,
    assigned: BTreeMap<String, u16>,
}

impl TopicAliases {
    /// Replaces the topic by its alias if the peer has received it, or assigns a free alias.
    fn apply(&mut self, publish: &mut Publish) {
        if let Some(alias) = self.assigned.get(&publish.topic) {
            publish.properties.topic_alias = Some(*alias);
            publish.topic.clear();
        } else if self.assigned.len() < usize::from(self.maximum) {
            let alias = self.assigned.len() as u16 + 1;
            self.assigned.insert(publish.topic.clone(), alias);
            publish.properties.topic_alias = Some(alias);
        }
    }
}

impl Outbound {
    /// Returns an empty queue that holds at most `max_queued` messages.
    pub fn new(max_queued: usize) -> Outbound {
        Outbound {
            next_sequence: 0,
            next_id: 1,
            receive_maximum: 0,
            quota_used: 0,
            connected: false,
            in_flight: BTreeMap::new(),
            queue: VecDeque::new(),
            max_queued,
            aliases: TopicAliases::default(),
        }
    }

    /// Queues a message and returns its sequence number, by which its [`Outcome`] is reported. A QoS 0 message has no
    /// outcome: its delivery ends when it is sent.
    pub fn publish(&mut self, publish: Publish) -> Result<u64, QueueFull> {
        if self.queue.len() >= self.max_queued {
            return Err(QueueFull);
        }
        self.next_sequence += 1;
        self.queue.push_back((self.next_sequence, Box::new(publish)));
        Ok(self.next_sequence)
    }

    /// Returns the numbers of queued messages and of messages in flight.
    pub fn queued_and_in_flight(&self) -> (usize, usize) {
        (self.queue.len(), self.in_flight.len())
    }

    /// Starts a connection. If the peer kept the session, messages in flight are resent in the order in which they were
    /// first sent [MQTT-4.4.0-1, MQTT-4.6.0-1]; otherwise they are discarded here too [MQTT-3.2.2-5] and returned, without
    /// the message if the peer had already received it.
    pub fn connected(
        &mut self,
        session_present: bool,
        receive_maximum: u16,
        alias_maximum: u16,
    ) -> Vec<(u64, Option<Publish>)> {
        (self.receive_maximum, self.quota_used, self.connected) = (receive_maximum.max(1), 0, true);
        self.aliases = TopicAliases { maximum: alias_maximum, assigned: BTreeMap::new() };
        if session_present {
            self.in_flight.values_mut().for_each(|message| message.resend = true);
            return Vec::new();
        }
        let mut discarded: Vec<(u64, Option<Publish>)> = std::mem::take(&mut self.in_flight)
            .into_values()
            .map(|m| (m.sequence, if let Stage::AwaitingAck(p) = m.stage { Some(*p) } else { None }))
            .collect();
        discarded.sort_by_key(|(sequence, _)| *sequence);
        discarded
    }

    /// Ends the connection; no packet is sent until the next one.
    pub fn disconnected(&mut self) {
        self.connected = false;
    }

    /// Returns the next packet to send, or `None` if there is none or the peer's receive maximum is reached
    /// [MQTT-3.3.4-7].
    pub fn next_packet(&mut self) -> Option<Packet> {
        if !self.connected {
            return None;
        }
        let to_resend = self.in_flight.iter().filter(|(_, message)| message.resend);
        let next_resend = to_resend.min_by_key(|(_, message)| message.sequence).map(|(id, _)| *id);
        if let Some(id) = next_resend {
            if self.quota_used >= self.receive_maximum {
                return None;
            }
            let message = self.in_flight.get_mut(&id)?;
            message.resend = false;
            self.quota_used += 1;
            return Some(match &message.stage {
                Stage::AwaitingAck(publish) => {
                    let mut publish = publish.clone();
                    publish.dup = true;
                    self.aliases.apply(&mut publish);
                    Packet::Publish(publish)
                }
                Stage::AwaitingPubcomp => Packet::Pubrel(ack_without_properties(id, ReasonCode::Success)),
            });
        }
        let qos = self.queue.front()?.1.qos;
        if qos != Qos::AtMostOnce && self.quota_used >= self.receive_maximum {
            return None;
        }
        let (sequence, mut publish) = self.queue.pop_front()?;
        publish.dup = false;
        if qos != Qos::AtMostOnce {
            publish.packet_id = self.next_free_id();
            self.quota_used += 1;
            let stage = Stage::AwaitingAck(publish.clone());
            self.in_flight.insert(publish.packet_id, InFlight { sequence, stage, resend: false });
        }
        self.aliases.apply(&mut publish);
        Some(Packet::Publish(publish))
    }

    /// Returns a packet identifier that no message in flight uses [MQTT-2.2.1-3]. There is always one, since the receive
    /// maximum keeps fewer messages in flight than there are identifiers.
    fn next_free_id(&mut self) -> u16 {
        loop {
            let id = self.next_id;
            self.next_id = self.next_id.checked_add(1).unwrap_or(1);
            if !self.in_flight.contains_key(&id) {
                return id;
            }
        }
    }

    /// Ends the delivery of a message and frees its packet identifier.
    fn complete(&mut self, id: u16, reason: ReasonCode) -> Option<Outcome> {
        let message = self.in_flight.remove(&id)?;
        if !message.resend {
            self.quota_used -= 1;
        }
        Some(Outcome { sequence: message.sequence, reason })
    }

    /// Handles a PUBACK and returns the message's outcome. A PUBACK for an unknown packet identifier is ignored.
    pub fn puback(&mut self, puback: &Ack) -> Result<Option<Outcome>, Violation> {
        match self.in_flight.get(&puback.packet_id).map(|message| &message.stage) {
            Some(Stage::AwaitingAck(p)) if p.qos == Qos::AtLeastOnce => {
                Ok(self.complete(puback.packet_id, puback.reason))
            }
            Some(_) => Err(Violation::protocol("MQTT-4.3.3-6", "a PUBACK of a message with QoS 2")),
            None => Ok(None),
        }
    }

    /// Handles a PUBREC and returns the packet to send, and the message's outcome if the peer refused it.
    pub fn pubrec(&mut self, pubrec: &Ack) -> Result<(Option<Packet>, Option<Outcome>), Violation> {
        let Some(message) = self.in_flight.get_mut(&pubrec.packet_id) else {
            let pubrel = ack_without_properties(pubrec.packet_id, ReasonCode::PacketIdNotFound);
            return Ok((Some(Packet::Pubrel(pubrel)), None));
        };
        if matches!(&message.stage, Stage::AwaitingAck(p) if p.qos != Qos::ExactlyOnce) {
            return Err(Violation::protocol("MQTT-4.3.2-2", "a PUBREC of a message with QoS 1"));
        }
        if pubrec.reason.is_failure() {
            return Ok((None, self.complete(pubrec.packet_id, pubrec.reason)));
        }
        // The PUBLISH must not be resent after a PUBREC [MQTT-4.3.3-5].
        message.stage = Stage::AwaitingPubcomp;
        Ok((Some(Packet::Pubrel(ack_without_properties(pubrec.packet_id, ReasonCode::Success))), None))
    }

    /// Handles a PUBCOMP and returns the message's outcome. A PUBCOMP for an unknown packet identifier is ignored.
    pub fn pubcomp(&mut self, pubcomp: &Ack) -> Result<Option<Outcome>, Violation> {
        match self.in_flight.get(&pubcomp.packet_id).map(|message| &message.stage) {
            Some(Stage::AwaitingPubcomp) => Ok(self.complete(pubcomp.packet_id, ReasonCode::Success)),
            Some(_) => Err(Violation::protocol("MQTT-4.3.3-7", "a PUBCOMP before its PUBREL")),
            None => Ok(None),
        }
    }
}

/// How a received PUBLISH is to be handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// A new message. Unless its packet identifier is 0 (QoS 0), [`Inbound::acknowledge`] must be called for it.
    New,
    /// A duplicate of a message that is still being processed; it is acknowledged once, with that message.
    Pending,
    /// A duplicate of a QoS 2 message that has been acknowledged: the PUBREC to resend.
    Acknowledged(Box<Packet>),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// Not processed yet.
    Pending,
    /// Processed; the acknowledgment is held back until those of earlier messages are sent
    /// [MQTT-4.6.0-2, MQTT-4.6.0-3].
    AckHeld(ReasonCode, Box<Properties>),
    /// The PUBREC was sent; the packet identifier is in use until the PUBREL arrives.
    AwaitingPubrel,
}

/// The messages that this side receives, by packet identifier until their delivery ends.
#[derive(Debug)]
pub struct Inbound {
    /// The receive maximum of this side.
    receive_maximum: u16,
    messages: BTreeMap<u16, (Qos, State)>,
    /// The packet identifiers of unacknowledged messages, in the order of arrival.
    unacknowledged: VecDeque<u16>,
    alias_maximum: u16,
    aliases: BTreeMap<u16, String>,
}

impl Inbound {
    /// Returns a receiver that accepts at most `receive_maximum` unfinished messages at a time, and topic aliases up to
    /// `alias_maximum`.
    pub fn new(receive_maximum: u16, alias_maximum: u16) -> Inbound {
        let (messages, unacknowledged, aliases) = (BTreeMap::new(), VecDeque::new(), BTreeMap::new());
        Inbound { receive_maximum: receive_maximum.max(1), messages, unacknowledged, alias_maximum, aliases }
    }

    /// Starts a connection. Without a session all state is discarded. With one, only QoS 2 messages whose PUBREC was sent
    /// are kept, since the peer resends all others. Topic aliases do not outlive a connection [MQTT-3.3.2-7].
    pub fn connected(&mut self, session_present: bool) {
        self.aliases.clear();
        if session_present {
            self.messages.retain(|_, (_, state)| *state == State::AwaitingPubrel);
        } else {
            self.messages.clear();
        }
        self.unacknowledged.clear();
    }

    /// Returns the number of messages that are not acknowledged.
    pub fn unacknowledged(&self) -> usize {
        self.unacknowledged.len()
    }

    /// Handles a PUBLISH and replaces a topic alias by its topic.
    pub fn publish(&mut self, publish: &mut Publish) -> Result<Received, Violation> {
        if let Some(alias) = publish.properties.topic_alias {
            if alias > self.alias_maximum {
                let (statement, what) = ("MQTT-3.3.2-9", "a topic alias above the topic alias maximum");
                return Err(Violation {
                    reason: ReasonCode::TopicAliasInvalid,
                    statement,
                    description: what,
                });
            }
            if publish.topic.is_empty() {
                let topic = self.aliases.get(&alias);
                let topic =
                    topic.ok_or(Violation::protocol("MQTT 3.3.2.3.4", "a topic alias without a topic"))?;
                publish.topic.clone_from(topic);
            } else {
                self.aliases.insert(alias, publish.topic.clone());
            }
        }
        if publish.qos == Qos::AtMostOnce {
            return Ok(Received::New);
        }
        match self.messages.get(&publish.packet_id) {
            Some((Qos::ExactlyOnce, State::AwaitingPubrel)) if publish.qos == Qos::ExactlyOnce => {
                let pubrec = ack_without_properties(publish.packet_id, ReasonCode::Success);
                return Ok(Received::Acknowledged(Box::new(Packet::Pubrec(pubrec))));
            }
            Some((qos, _)) if *qos == publish.qos => return Ok(Received::Pending),
            Some(_) => {
                let (statement, what) = ("MQTT-2.2.1-3", "a packet identifier that is in use");
                return Err(Violation { reason: ReasonCode::PacketIdInUse, statement, description: what });
            }
            None => {}
        }
        if self.messages.len() >= usize::from(self.receive_maximum) {
            let (statement, what) = ("MQTT-3.3.4-9", "more unacknowledged messages than the receive maximum");
            return Err(Violation {
                reason: ReasonCode::ReceiveMaximumExceeded,
                statement,
                description: what,
            });
        }
        self.messages.insert(publish.packet_id, (publish.qos, State::Pending));
        self.unacknowledged.push_back(publish.packet_id);
        Ok(Received::New)
    }

    /// Records the acknowledgment of a processed message and returns the acknowledgments that may be sent now, in the
    /// order in which their messages arrived.
    pub fn acknowledge(&mut self, id: u16, reason: ReasonCode, properties: Properties) -> Vec<Packet> {
        if let Some((_, state @ State::Pending)) = self.messages.get_mut(&id) {
            *state = State::AckHeld(reason, Box::new(properties));
        }
        let mut acknowledgments = Vec::new();
        while let Some(id) = self.unacknowledged.front().copied() {
            let Some((qos, State::AckHeld(reason, properties))) = self.messages.get(&id).cloned() else {
                break;
            };
            self.unacknowledged.pop_front();
            let ack = Ack { packet_id: id, reason, properties: *properties };
            if qos == Qos::ExactlyOnce && !reason.is_failure() {
                self.messages.insert(id, (qos, State::AwaitingPubrel));
                acknowledgments.push(Packet::Pubrec(ack));
            } else {
                self.messages.remove(&id);
                acknowledgments.push(if qos == Qos::ExactlyOnce {
                    Packet::Pubrec(ack)
                } else {
                    Packet::Puback(ack)
                });
            }
        }
        acknowledgments
    }

    /// Handles a PUBREL and returns the PUBCOMP to send [MQTT-4.3.3-11].
    pub fn pubrel(&mut self, pubrel: &Ack) -> Packet {
        let known =
            self.messages.get(&pubrel.packet_id).is_some_and(|(_, state)| *state == State::AwaitingPubrel);
        if known {
            self.messages.remove(&pubrel.packet_id);
        }
        let reason = if known { ReasonCode::Success } else { ReasonCode::PacketIdNotFound };
        Packet::Pubcomp(ack_without_properties(pubrel.packet_id, reason))
    }
}
