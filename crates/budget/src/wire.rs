//! Messages between members on budgets, circuits and the admission level. Each is a postcard message of its
//! own; the order of variants and fields is the wire format.

use crate::{LeaseGrant, LeaseRequest};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A lease request for the resource with this number.
    Ask(u8, LeaseRequest),
    /// The answer to a lease request for the resource with this number.
    Grant(u8, LeaseGrant),
    /// The admission level that the sender asks for.
    Wish(u8),
    /// A worker answered the sender again, this many milliseconds ago.
    Back(Arc<str>, u32),
    /// A trial of a worker by the sender was refused.
    Tried(Arc<str>),
}

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a message; returns `None` for malformed bytes or trailing data.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        postcard::take_from_bytes(bytes).ok().filter(|(_, rest)| rest.is_empty()).map(|(word, _)| word)
    }
}

#[cfg(test)]
mod tests;
