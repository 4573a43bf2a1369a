//! Messages between members on budgets, circuits and the admission level. Each is a postcard message of its
//! own; the order of variants and fields is the wire format.

use crate::{Ask, Grant};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// A lease request for the resource with this number.
    Ask(u8, Ask),
    /// The answer to a lease request for the resource with this number.
    Grant(u8, Grant),
    /// The admission level that the sender asks for.
    Wish(u8),
    /// A worker answered the sender again, this many milliseconds ago.
    Back(Arc<str>, u32),
    /// A trial of a worker by the sender was refused.
    Tried(Arc<str>),
}

impl Word {
    /// Encodes the message.
    pub fn written(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a message; returns `None` for malformed bytes or trailing data.
    pub fn read(bytes: &[u8]) -> Option<Word> {
        postcard::take_from_bytes(bytes).ok().filter(|(_, rest)| rest.is_empty()).map(|(word, _)| word)
    }
}

#[cfg(test)]
mod tests;
