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
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn what_is_written_is_read() {
        let ask = Ask { instance: u64::MAX, number: 1, amount: 2, lease: 3, worth: 4 };
        let grant = Grant { instance: 1, number: 2, amount: 3, lease: 4 };
        for word in [
            Word::Ask(0, ask),
            Word::Grant(0, grant),
            Word::Wish(9),
            Word::Back("s1".into(), 7),
            Word::Tried("s1".into()),
        ] {
            let bytes = word.written();
            assert_eq!(Word::read(&bytes), Some(word));
            assert_eq!(Word::read(&bytes[..bytes.len() - 1]), None);
        }
    }

    proptest! {
        #[test]
        fn no_bytes_make_it_panic(bytes in prop::collection::vec(any::<u8>(), 0..40)) {
            let _ = Word::read(&bytes);
        }
    }
}
