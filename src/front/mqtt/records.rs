//! What is known of each message: where it stands on its way to one answer, and which were answered before.

use crate::front::ParsedRequest;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Answered messages that are remembered.
const MOST_REMEMBERED: usize = 65_536;

/// How far a message has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It may have been answered before: its record is asked for before anything else.
    Looking,
    /// The core has it.
    Running,
    /// The answer is known and waits to be published; `checked` once no record of it can be with the broker.
    Answered { checked: bool },
    /// The answer was published under this number and is not acknowledged.
    Publishing { id: u16 },
}

/// A message that has no acknowledged answer yet.
#[derive(Debug)]
pub struct Message {
    /// The client's id for it.
    pub call: Arc<str>,
    /// Where its answer goes, and its record stands.
    pub topic: String,
    /// Given back with the answer.
    pub correlation: Vec<u8>,
    /// The numbers under which it came on the connection that stands: more than one where it came again.
    pub packets: Vec<u16>,
    /// How far it has come.
    pub stage: Stage,
    /// The answer is kept by the broker: only where the topic is the message's own.
    pub kept: bool,
    /// Its figures and body, until the core has them.
    pub request: Option<(ParsedRequest, Vec<u8>)>,
    /// When its client sent it, in Unix milliseconds.
    pub sent_ms: u64,
    /// The answer: its properties and its body.
    pub answer: (Vec<(String, String)>, Vec<u8>),
}

/// All messages under way, and the ids of those answered.
#[derive(Default)]
pub struct Records {
    next: i64,
    /// By a number of this process's own.
    pub messages: BTreeMap<i64, Message>,
    calls: BTreeMap<Arc<str>, i64>,
    answered: BTreeSet<Arc<str>>,
    order: VecDeque<Arc<str>>,
}

impl Records {
    /// Takes a message in and numbers it.
    pub fn add(&mut self, message: Message) -> i64 {
        self.next += 1;
        // Danger: messages without a usable id are not repeats of each other.
        if message.kept {
            self.calls.insert(message.call.clone(), self.next);
        }
        self.messages.insert(self.next, message);
        self.next
    }

    /// The number of the message under way with this id.
    pub fn under_way(&self, call: &str) -> Option<i64> {
        self.calls.get(call).copied()
    }

    /// Whether this process has seen it answered.
    pub fn answered(&self, call: &str) -> bool {
        self.answered.contains(call)
    }

    /// The messages whose answers or records are on this topic.
    pub fn on_topic(&self, topic: &str) -> Option<i64> {
        self.messages.iter().find(|(_, m)| m.kept && m.topic == topic).map(|(n, _)| *n)
    }

    /// The message has its answer with the broker.
    pub fn done(&mut self, number: i64) -> Option<Message> {
        let message = self.messages.remove(&number)?;
        if self.calls.get(&message.call) == Some(&number) {
            self.calls.remove(&message.call);
        }
        if message.kept && self.answered.insert(message.call.clone()) {
            self.order.push_back(message.call.clone());
        }
        // Danger: ids kept for ever fill the memory. Those forgotten are looked up with the broker.
        while self.order.len() > MOST_REMEMBERED {
            if let Some(oldest) = self.order.pop_front() {
                self.answered.remove(&oldest);
            }
        }
        Some(message)
    }

    /// The connection is gone: numbers of packets mean nothing more, and what was published may have arrived.
    pub fn disconnected(&mut self) {
        for message in self.messages.values_mut() {
            message.packets.clear();
            if let Stage::Publishing { .. } = message.stage {
                message.stage = Stage::Answered { checked: false };
            }
        }
    }
}
