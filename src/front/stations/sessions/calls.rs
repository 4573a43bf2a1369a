//! The calls of clients that this process knows: those that run, and the last ones that were answered. The numbers of
//! answered calls and of logs, and the size of the bodies, are bounded.

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

/// Whose calls a log holds. Calls of one user are never known to another one under the same client id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Owner {
    pub(super) client: String,
    pub(super) user: String,
}

/// The calls of one owner.
#[derive(Default)]
pub(super) struct CallLog {
    open: BTreeMap<CallKey, i64>,
    answered: BTreeMap<CallKey, Outcome>,
    /// The answered calls, oldest first.
    answered_order: VecDeque<CallKey>,
    /// Set while the owner has no session: the place in the order in which such logs are dropped.
    ended: Option<u64>,
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

    /// Returns the answer that this call was given.
    pub(super) fn answer(&self, call: &CallKey) -> Option<&Outcome> {
        self.answered.get(call)
    }

    /// Adds a call that runs.
    pub(super) fn begin(&mut self, call: CallKey, request: i64) {
        self.open.insert(call, request);
    }

    /// Ends a call. If it may have run its answer is remembered; else a repeat of it is a new call.
    pub(super) fn end(&mut self, call: &CallKey, answer: &Outcome) {
        self.open.remove(call);
        if answer.may_have_run {
            self.remember(call, answer.clone());
        }
    }

    fn remember(&mut self, call: &CallKey, mut answer: Outcome) {
        if answer.body.len() > MAX_REMEMBERED_BODY_BYTES || self.ended.is_some() {
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

    fn is_empty(&self) -> bool {
        self.open.is_empty() && self.answered.is_empty()
    }
}

/// The call logs of all owners. A log outlives the session of its owner, so that a call is recognised by the next one; its
/// bodies don't. The number of logs without a session is bounded, but for those with a call that runs.
pub(super) struct CallLogs {
    logs: BTreeMap<Owner, CallLog>,
    /// The owners without a session, in the order in which their sessions ended.
    ended: BTreeMap<u64, Owner>,
    next_ended: u64,
    max_ended: usize,
}

impl CallLogs {
    /// Returns an empty set that keeps at most `max_ended` logs of owners without a session.
    pub(super) fn new(max_ended: usize) -> CallLogs {
        CallLogs { logs: BTreeMap::new(), ended: BTreeMap::new(), next_ended: 0, max_ended }
    }

    /// Returns the log of an owner.
    pub(super) fn of(&mut self, owner: &Owner) -> &mut CallLog {
        self.logs.entry(owner.clone()).or_default()
    }

    /// Returns whether a call of the owner runs.
    pub(super) fn has_open(&self, owner: &Owner) -> bool {
        self.logs.get(owner).is_some_and(|log| !log.open.is_empty())
    }

    /// Notes that the owner has a session.
    pub(super) fn session_began(&mut self, owner: &Owner) {
        if let Some(order) = self.of(owner).ended.take() {
            self.ended.remove(&order);
        }
    }

    /// Notes that the owner has no session any more.
    pub(super) fn session_ended(&mut self, owner: &Owner) {
        let order = self.next_ended;
        let log = self.of(owner);
        if log.is_empty() {
            self.logs.remove(owner);
            return;
        }
        log.ended = Some(order);
        log.answered.values_mut().for_each(Outcome::forget_body);
        self.ended.insert(order, owner.clone());
        self.next_ended += 1;
        if self.ended.len() > self.max_ended {
            self.drop_oldest_ended();
        }
    }

    fn drop_oldest_ended(&mut self) {
        let oldest = self.ended.iter().find(|(_, owner)| !self.has_open(owner)).map(|(order, _)| *order);
        if let Some(owner) = oldest.and_then(|order| self.ended.remove(&order)) {
            self.logs.remove(&owner);
        }
    }
}
