//! The calls of a client that this process knows: those that run, and the last ones that were answered. The number of
//! answered calls and the size of their bodies are bounded.

use super::Outcome;
use crate::front::Fields;
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// Answered calls that are remembered for a client.
pub(super) const MAX_ANSWERED_CALLS: usize = 64;
/// The longest body that is remembered with an answered call.
const MAX_REMEMBERED_BODY_BYTES: usize = 1_024;
/// The fields that say what a call asks for. The others may differ between its deliveries.
const CONTENT_FIELDS: [&str; 4] = ["op", "row", "org", "dedupe"];

/// Identifies a call: its id, and a digest of what it asks for, since a client may use an id anew for another call.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CallKey {
    /// The id that the client chose.
    pub(super) id: Arc<str>,
    content_digest: u64,
}

impl CallKey {
    /// Returns the key of a call with these fields and this body.
    pub(super) fn of(fields: &Fields, body: &[u8]) -> CallKey {
        let mut digest = SipHasher13::new();
        for field in CONTENT_FIELDS {
            fields.get(field).hash(&mut digest);
        }
        body.hash(&mut digest);
        let id = fields.get("call").map_or("", String::as_str).into();
        CallKey { id, content_digest: digest.finish() }
    }
}

/// The calls of one client.
#[derive(Default)]
pub(super) struct CallLog {
    open: BTreeMap<CallKey, i64>,
    answered: BTreeMap<CallKey, Outcome>,
    /// The answered calls, oldest first.
    answered_order: VecDeque<CallKey>,
}

impl CallLog {
    /// Returns the number of the request that runs this call.
    pub(super) fn open_request(&self, call: &CallKey) -> Option<i64> {
        self.open.get(call).copied()
    }

    /// Returns the numbers of the requests that run.
    pub(super) fn open_requests(&self) -> impl Iterator<Item = i64> {
        self.open.values().copied()
    }

    /// Returns whether any call runs.
    pub(super) fn has_open(&self) -> bool {
        !self.open.is_empty()
    }

    /// Returns the answer that this call was given.
    pub(super) fn answer(&self, call: &CallKey) -> Option<&Outcome> {
        self.answered.get(call)
    }

    /// Adds a call that runs.
    pub(super) fn begin(&mut self, call: CallKey, request: i64) {
        self.open.insert(call, request);
    }

    /// Ends a call that never ran, or was refused: a repeat of it is a new call.
    pub(super) fn end(&mut self, call: &CallKey) {
        self.open.remove(call);
    }

    /// Ends a call and remembers its answer, without a body that is too long.
    pub(super) fn end_answered(&mut self, call: &CallKey, mut answer: Outcome) {
        self.end(call);
        if answer.body.len() > MAX_REMEMBERED_BODY_BYTES {
            answer.forget_body();
        }
        if self.answered.insert(call.clone(), answer).is_none() {
            self.answered_order.push_back(call.clone());
        }
        if self.answered_order.len() > MAX_ANSWERED_CALLS
            && let Some(oldest) = self.answered_order.pop_front()
        {
            self.answered.remove(&oldest);
        }
    }
}
