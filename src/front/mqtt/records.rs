//! The state of each message until its single answer is acknowledged, and the ids of messages answered before. The
//! ids are bounded in number; unacknowledged QoS 1 messages are bounded by the receive maximum.

use super::packets;
use crate::front::ParsedRequest;
use ochreward_mqtt::packet::{EncodeError, Publish};
use ochreward_mqtt::{Properties, Qos};
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// Ids of answered messages that are remembered.
const MAX_REMEMBERED_IDS: usize = 65_536;

/// The stage that a message has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It may have been answered before: its record is being looked up with the broker.
    LookingUp,
    /// The core has it.
    Running,
    /// The answer is known and waits to be published; `checked` is set once the broker is known to hold no record of it.
    Answered { checked: bool },
    /// The answer was published under this packet id and is not acknowledged yet.
    Publishing { id: u16 },
}

/// Identifies a message: its id, and a digest of its response topic, since two clients may choose the same id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageKey {
    call: Arc<str>,
    topic_digest: u64,
}

impl MessageKey {
    /// Returns the key of a message with this id and response topic.
    pub fn of(call: &Arc<str>, topic: &str) -> MessageKey {
        let mut digest = SipHasher13::new();
        topic.hash(&mut digest);
        MessageKey { call: call.clone(), topic_digest: digest.finish() }
    }
}

/// A message that has no acknowledged answer yet.
#[derive(Debug)]
pub struct Message {
    /// The request id that the client chose.
    pub call: Arc<str>,
    /// The response topic, which holds the answer and its record.
    pub topic: String,
    /// The correlation data, returned with the answer.
    pub correlation: Vec<u8>,
    /// The packet ids under which it was delivered on the current connection: more than one if it was delivered again.
    pub packet_ids: Vec<u16>,
    /// Its stage.
    pub stage: Stage,
    /// Whether the answer is retained by the broker: only if the response topic belongs to this message alone.
    pub retained: bool,
    /// Its parameters and body, until they are submitted to the core.
    pub request: Option<(ParsedRequest, Vec<u8>)>,
    /// When its client sent it, in Unix milliseconds.
    pub sent_ms: u64,
    /// The answer: its user properties and its body.
    pub answer: (Vec<(String, String)>, Vec<u8>),
}

impl Message {
    fn key(&self) -> MessageKey {
        MessageKey::of(&self.call, &self.topic)
    }

    /// Returns whether the answer waits for a look at whether the broker holds it already.
    pub fn unchecked(&self) -> bool {
        self.stage == Stage::Answered { checked: false }
    }

    /// Returns whether its record is being looked up.
    pub fn awaits_record(&self) -> bool {
        self.stage == Stage::LookingUp || self.unchecked()
    }

    /// Encodes the PUBLISH of the answer under this packet id; fails if it is larger than the broker takes.
    pub fn publish(
        &self,
        id: u16,
        expiry: u32,
        max_packet_bytes: Option<u32>,
    ) -> Result<Vec<u8>, EncodeError> {
        let pair = |n: &str, v: &str| (n.to_string(), v.to_string());
        let mut user = vec![pair("call", &self.call)];
        user.extend(self.answer.0.iter().cloned());
        let mut payload = self.answer.1.clone();
        if payload.is_empty() {
            // A retained message without a payload would delete the record instead of storing it.
            user.push(pair("body", "empty"));
            payload.push(b'-');
        }
        let properties = Properties {
            correlation: Some(self.correlation.clone()),
            message_expiry: Some(expiry),
            user,
            ..Properties::default()
        };
        let topic = self.topic.clone();
        let publish = Publish {
            retain: self.retained,
            qos: Qos::AtLeastOnce,
            packet_id: id,
            topic,
            properties,
            payload,
            ..Publish::default()
        };
        packets::publish(publish, max_packet_bytes)
    }
}

/// All messages without an acknowledged answer, and the ids of those answered.
#[derive(Default)]
pub struct Records {
    last_number: i64,
    /// The messages by a number that is local to this process.
    pub messages: BTreeMap<i64, Message>,
    open: BTreeMap<MessageKey, i64>,
    answered: BTreeSet<MessageKey>,
    answered_order: VecDeque<MessageKey>,
}

impl Records {
    /// Adds a message and returns its number.
    pub fn add(&mut self, message: Message) -> i64 {
        self.last_number += 1;
        // Messages without a valid id must not be taken for repeats of each other.
        if message.retained {
            self.open.insert(message.key(), self.last_number);
        }
        self.messages.insert(self.last_number, message);
        self.last_number
    }

    /// Returns the number of the open message with this key.
    pub fn open(&self, key: &MessageKey) -> Option<i64> {
        self.open.get(key).copied()
    }

    /// Returns whether the message with this key is remembered as answered.
    pub fn answered(&self, key: &MessageKey) -> bool {
        self.answered.contains(key)
    }

    /// Returns the number of the message whose answer or record is on this topic.
    pub fn on_topic(&self, topic: &str) -> Option<i64> {
        self.messages.iter().find(|(_, m)| m.retained && m.topic == topic).map(|(n, _)| *n)
    }

    /// Removes a message whose answer the broker holds, and remembers its id.
    pub fn complete(&mut self, number: i64) -> Option<Message> {
        let message = self.messages.remove(&number)?;
        let key = message.key();
        if self.open.get(&key) == Some(&number) {
            self.open.remove(&key);
        }
        if message.retained && self.answered.insert(key.clone()) {
            self.answered_order.push_back(key);
        }
        // Unlimited ids would exhaust the memory. A repeat whose id was dropped is looked up with the broker.
        while self.answered_order.len() > MAX_REMEMBERED_IDS {
            if let Some(oldest) = self.answered_order.pop_front() {
                self.answered.remove(&oldest);
            }
        }
        Some(message)
    }

    /// Handles the loss of the connection: packet ids become void, and published answers may or may not have arrived.
    pub fn disconnected(&mut self) {
        for message in self.messages.values_mut() {
            message.packet_ids.clear();
            if let Stage::Publishing { .. } = message.stage {
                message.stage = Stage::Answered { checked: false };
            }
        }
    }
}
