//! The delivery of messages at QoS 0, 1 and 2 (MQTT 5.0, sections 4.3, 4.4, 4.6 and 4.9), one way each: [`Outbound`] for
//! what this side publishes, [`Inbound`] for what it is sent. Client and server are alike here.
//!
//! Both outlive connections: what is unsettled when one ends is resumed on the next, if the peer kept its side.

use crate::packet::{Ack, Packet, Publish, Qos};
use crate::property::Properties;
use crate::reason::{Reason, Violation};
use std::collections::{BTreeMap, VecDeque};

fn ack(id: u16, reason: Reason) -> Ack {
    Ack { id, reason, properties: Properties::default() }
}

/// There is no room for another message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// What became of a message that was published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settled {
    /// The number that `publish` gave it.
    pub order: u64,
    /// The peer's word; a failure says that it does not have the message.
    pub reason: Reason,
}

#[derive(Clone, Debug)]
enum Stage {
    /// Sent, or to be sent again: kept until it is acknowledged.
    Published(Box<Publish>),
    /// The peer has it (QoS 2); it is being released.
    Released,
}

#[derive(Debug)]
struct Sent {
    order: u64,
    stage: Stage,
    /// It is to be sent again on this connection.
    again: bool,
}

/// What this side publishes.
#[derive(Debug)]
pub struct Outbound {
    next_order: u64,
    next_id: u16,
    /// The peer's receive maximum, on this connection.
    window: u16,
    /// Sent on this connection and not settled.
    used: u16,
    connected: bool,
    sent: BTreeMap<u16, Sent>,
    waiting: VecDeque<(u64, Box<Publish>)>,
    most_waiting: usize,
    aliases: Aliases,
}

/// Topic aliases that this side uses (3.3.2.3.4): the first topics of a connection get one each.
#[derive(Debug, Default)]
struct Aliases {
    most: u16,
    given: BTreeMap<String, u16>,
}

impl Aliases {
    /// Shortens the topic where the peer knows it.
    fn apply(&mut self, publish: &mut Publish) {
        if let Some(alias) = self.given.get(&publish.topic) {
            publish.properties.topic_alias = Some(*alias);
            publish.topic.clear();
        } else if self.given.len() < usize::from(self.most) {
            let alias = self.given.len() as u16 + 1;
            self.given.insert(publish.topic.clone(), alias);
            publish.properties.topic_alias = Some(alias);
        }
    }
}

impl Outbound {
    /// Nothing is published yet; so many messages may wait for room at the peer.
    pub fn new(most_waiting: usize) -> Outbound {
        Outbound {
            next_order: 0,
            next_id: 1,
            window: 0,
            used: 0,
            connected: false,
            sent: BTreeMap::new(),
            waiting: VecDeque::new(),
            most_waiting,
            aliases: Aliases::default(),
        }
    }

    /// Takes a message in; its number here, by which its fate is told. At QoS 0 its fate is to be sent.
    pub fn publish(&mut self, publish: Publish) -> Result<u64, Full> {
        if self.waiting.len() >= self.most_waiting {
            return Err(Full);
        }
        self.next_order += 1;
        self.waiting.push_back((self.next_order, Box::new(publish)));
        Ok(self.next_order)
    }

    /// Messages that wait, and those that are unsettled.
    pub fn load(&self) -> (usize, usize) {
        (self.waiting.len(), self.sent.len())
    }

    /// A connection is up. If the peer kept the session, what is unsettled is sent again, in the order in which it was
    /// first sent [MQTT-4.4.0-1, MQTT-4.6.0-1]; else it is forgotten here too [MQTT-3.2.2-5], and returned.
    pub fn connected(
        &mut self,
        session: bool,
        window: u16,
        alias_maximum: u16,
    ) -> Vec<(u64, Option<Publish>)> {
        (self.window, self.used, self.connected) = (window.max(1), 0, true);
        self.aliases = Aliases { most: alias_maximum, given: BTreeMap::new() };
        if session {
            self.sent.values_mut().for_each(|s| s.again = true);
            return Vec::new();
        }
        let mut lost: Vec<(u64, Option<Publish>)> = std::mem::take(&mut self.sent)
            .into_values()
            .map(|s| (s.order, if let Stage::Published(p) = s.stage { Some(*p) } else { None }))
            .collect();
        lost.sort_by_key(|(order, _)| *order);
        lost
    }

    /// The connection is gone.
    pub fn disconnected(&mut self) {
        self.connected = false;
    }

    /// The next packet to send, while the peer has room for one; never more than its receive maximum at a time
    /// [MQTT-3.3.4-7].
    pub fn take_packet(&mut self) -> Option<Packet> {
        if !self.connected {
            return None;
        }
        let again = self.sent.iter().filter(|(_, s)| s.again).min_by_key(|(_, s)| s.order).map(|(id, _)| *id);
        if let Some(id) = again {
            if self.used >= self.window {
                return None;
            }
            let sent = self.sent.get_mut(&id)?;
            sent.again = false;
            self.used += 1;
            return Some(match &sent.stage {
                Stage::Published(publish) => {
                    let mut publish = publish.clone();
                    publish.dup = true;
                    self.aliases.apply(&mut publish);
                    Packet::Publish(publish)
                }
                Stage::Released => Packet::Pubrel(ack(id, Reason::Success)),
            });
        }
        let qos = self.waiting.front()?.1.qos;
        if qos != Qos::AtMostOnce && self.used >= self.window {
            return None;
        }
        let (order, mut publish) = self.waiting.pop_front()?;
        publish.dup = false;
        if qos != Qos::AtMostOnce {
            publish.id = self.free_id();
            self.used += 1;
            let stage = Stage::Published(publish.clone());
            self.sent.insert(publish.id, Sent { order, stage, again: false });
        }
        self.aliases.apply(&mut publish);
        Some(Packet::Publish(publish))
    }

    /// A number that no unsettled message has [MQTT-2.2.1-3]: the window is smaller than the numbers there are.
    fn free_id(&mut self) -> u16 {
        loop {
            let id = self.next_id;
            self.next_id = self.next_id.checked_add(1).unwrap_or(1);
            if !self.sent.contains_key(&id) {
                return id;
            }
        }
    }

    fn settle(&mut self, id: u16, reason: Reason) -> Option<Settled> {
        let sent = self.sent.remove(&id)?;
        if !sent.again {
            self.used -= 1;
        }
        Some(Settled { order: sent.order, reason })
    }

    /// A PUBACK has come. One for no message of ours changes nothing.
    pub fn puback(&mut self, puback: &Ack) -> Result<Option<Settled>, Violation> {
        match self.sent.get(&puback.id).map(|s| &s.stage) {
            Some(Stage::Published(p)) if p.qos == Qos::AtLeastOnce => {
                Ok(self.settle(puback.id, puback.reason))
            }
            Some(_) => Err(Violation::protocol("MQTT-4.3.3-6", "a PUBACK of a message with QoS 2")),
            None => Ok(None),
        }
    }

    /// A PUBREC has come: what to send for it, and the message's fate if that is sealed.
    pub fn pubrec(&mut self, pubrec: &Ack) -> Result<(Option<Packet>, Option<Settled>), Violation> {
        let Some(sent) = self.sent.get_mut(&pubrec.id) else {
            return Ok((Some(Packet::Pubrel(ack(pubrec.id, Reason::PacketIdNotFound))), None));
        };
        if matches!(&sent.stage, Stage::Published(p) if p.qos != Qos::ExactlyOnce) {
            return Err(Violation::protocol("MQTT-4.3.2-2", "a PUBREC of a message with QoS 1"));
        }
        if pubrec.reason.failed() {
            return Ok((None, self.settle(pubrec.id, pubrec.reason)));
        }
        // From here on the message is not sent again [MQTT-4.3.3-5].
        sent.stage = Stage::Released;
        Ok((Some(Packet::Pubrel(ack(pubrec.id, Reason::Success))), None))
    }

    /// A PUBCOMP has come.
    pub fn pubcomp(&mut self, pubcomp: &Ack) -> Result<Option<Settled>, Violation> {
        match self.sent.get(&pubcomp.id).map(|s| &s.stage) {
            Some(Stage::Released) => Ok(self.settle(pubcomp.id, Reason::Success)),
            Some(_) => Err(Violation::protocol("MQTT-4.3.3-7", "a PUBCOMP before its PUBREL")),
            None => Ok(None),
        }
    }
}

/// What to make of a message that has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It is new; it is to be settled by its number, unless that is 0 (QoS 0).
    New,
    /// It was taken before and is not settled: it will be, once.
    Pending,
    /// It was settled before (QoS 2): the answer to send again.
    Again(Box<Packet>),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Got {
    /// Not settled.
    Open,
    /// Settled, and the answer waits for those before it [MQTT-4.6.0-2, MQTT-4.6.0-3].
    Held(Reason, Box<Properties>),
    /// Answered by a PUBREC; the number is kept until its PUBREL.
    Recorded,
}

/// What this side is sent.
#[derive(Debug)]
pub struct Inbound {
    /// Our receive maximum.
    window: u16,
    got: BTreeMap<u16, (Qos, Got)>,
    /// Numbers in the order in which they came, as long as their answer is owed.
    owed: VecDeque<u16>,
    alias_maximum: u16,
    aliases: BTreeMap<u16, String>,
}

impl Inbound {
    /// Takes at most `window` unsettled messages at a time, and topic aliases up to a maximum.
    pub fn new(window: u16, alias_maximum: u16) -> Inbound {
        let (got, owed, aliases) = (BTreeMap::new(), VecDeque::new(), BTreeMap::new());
        Inbound { window: window.max(1), got, owed, alias_maximum, aliases }
    }

    /// A connection is up. Without a session all that was under way is forgotten; with one, QoS 1 messages come
    /// again, and so do those of QoS 2 that were not recorded. Aliases never outlive a connection [MQTT-3.3.2-7].
    pub fn connected(&mut self, session: bool) {
        self.aliases.clear();
        if session {
            self.got.retain(|_, (_, got)| *got == Got::Recorded);
        } else {
            self.got.clear();
        }
        self.owed.clear();
    }

    /// Unsettled messages.
    pub fn open(&self) -> usize {
        self.owed.len()
    }

    /// A message has come; its topic is filled in where an alias stands for it.
    pub fn publish(&mut self, publish: &mut Publish) -> Result<Taken, Violation> {
        if let Some(alias) = publish.properties.topic_alias {
            if alias > self.alias_maximum {
                let (statement, what) = ("MQTT-3.3.2-9", "a topic alias over the maximum");
                return Err(Violation { reason: Reason::TopicAliasInvalid, statement, what });
            }
            if publish.topic.is_empty() {
                let known = self.aliases.get(&alias);
                let known = known
                    .ok_or(Violation::protocol("MQTT 3.3.2.3.4", "a topic alias that stands for nothing"))?;
                publish.topic.clone_from(known);
            } else {
                self.aliases.insert(alias, publish.topic.clone());
            }
        }
        if publish.qos == Qos::AtMostOnce {
            return Ok(Taken::New);
        }
        match self.got.get(&publish.id) {
            Some((Qos::ExactlyOnce, Got::Recorded)) if publish.qos == Qos::ExactlyOnce => {
                return Ok(Taken::Again(Box::new(Packet::Pubrec(ack(publish.id, Reason::Success)))));
            }
            Some((qos, _)) if *qos == publish.qos => return Ok(Taken::Pending),
            Some(_) => {
                let (statement, what) = ("MQTT-2.2.1-3", "a packet identifier that is in use");
                return Err(Violation { reason: Reason::PacketIdInUse, statement, what });
            }
            None => {}
        }
        if self.got.len() >= usize::from(self.window) {
            let (statement, what) = ("MQTT-3.3.4-9", "more messages than may be unsettled");
            return Err(Violation { reason: Reason::ReceiveMaximumExceeded, statement, what });
        }
        self.got.insert(publish.id, (publish.qos, Got::Open));
        self.owed.push_back(publish.id);
        Ok(Taken::New)
    }

    /// A message is settled: the answers that may be sent now, in the order in which their messages came.
    pub fn settle(&mut self, id: u16, reason: Reason, properties: Properties) -> Vec<Packet> {
        if let Some((_, got @ Got::Open)) = self.got.get_mut(&id) {
            *got = Got::Held(reason, Box::new(properties));
        }
        let mut out = Vec::new();
        while let Some(id) = self.owed.front().copied() {
            let Some((qos, Got::Held(reason, properties))) = self.got.get(&id).cloned() else { break };
            self.owed.pop_front();
            let answer = Ack { id, reason, properties: *properties };
            if qos == Qos::ExactlyOnce && !reason.failed() {
                self.got.insert(id, (qos, Got::Recorded));
                out.push(Packet::Pubrec(answer));
            } else {
                self.got.remove(&id);
                out.push(if qos == Qos::ExactlyOnce {
                    Packet::Pubrec(answer)
                } else {
                    Packet::Puback(answer)
                });
            }
        }
        out
    }

    /// A PUBREL has come: the PUBCOMP to send [MQTT-4.3.3-11].
    pub fn pubrel(&mut self, pubrel: &Ack) -> Packet {
        let known = self.got.get(&pubrel.id).is_some_and(|(_, got)| *got == Got::Recorded);
        if known {
            self.got.remove(&pubrel.id);
        }
        Packet::Pubcomp(ack(pubrel.id, if known { Reason::Success } else { Reason::PacketIdNotFound }))
    }
}
