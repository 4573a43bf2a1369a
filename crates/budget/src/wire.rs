//! What members tell each other of budgets and the level: one word a note, in postcard's encoding.

use crate::{Ask, Grant};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A word.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// A question for a lease of the resource with this number.
    Ask(u8, Ask),
    /// The answer.
    Grant(u8, Grant),
    /// The sender's wish for the level of admission.
    Wish(u8),
    /// A worker answered the sender again, so many milliseconds ago.
    Back(Arc<str>, u32),
    /// A trial of a worker by the sender was refused.
    Tried(Arc<str>),
}

impl Word {
    /// As bytes.
    pub fn written(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// From bytes; none for what is no word, or has more behind it.
    pub fn read(bytes: &[u8]) -> Option<Word> {
        postcard::take_from_bytes(bytes).ok().filter(|(_, rest)| rest.is_empty()).map(|(word, _)| word)
    }
}

#[cfg(test)]
mod tests;
