//! Decides which list of workers is in use, and which of its workers may be sent requests. No I/O; the clock is passed in.
//!
//! The name service numbers its lists. A number orders lists of one numbering only, and a list may come from another: a
//! state of the service from before this process started, a configuration file, a predecessor process, or a service
//! that lost its count. The service may also answer a later query with an older state. A single list is therefore weak
//! evidence:
//!
//! - A drain is applied from any list, whatever its number: a worker that is listed as draining, or that is absent from a
//!   list queried no earlier than the accepted one, gets no new request from that moment on.
//! - A start is applied from any list too, if it is later than that of the accepted list: the worker then is another, cold
//!   process. An earlier one counts only in a list that is accepted.
//! - Readiness has to be confirmed. A worker that is new, or that was drained, is quarantined until further answers to
//!   later queries agree with the accepted list.
//! - A list with a higher number replaces the accepted one. One with a lower number replaces it once
//!   [`RENUMBERING_ANSWERS`] in a row, all queried after the accepted list had arrived, have contradicted it for
//!   [`RENUMBERING_TIME_US`].
//!
//! A list that did not come from the service (the configuration's, a predecessor's, a peer's) is provisional: it stays
//! accepted until the service answers. State is bounded by the list itself and [`MAX_UNLISTED_QUARANTINES`].

use super::{Executor, ExecutorState};
use crate::api::WorkerId;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Consecutive answers that contradict the accepted list before they replace it under a lower number.
pub const RENUMBERING_ANSWERS: u32 = 3;
/// The least time from the first of these answers to the last, in microseconds: longer than a few answers that all carry
/// the same outdated state take.
pub const RENUMBERING_TIME_US: u64 = 300_000;
/// Further answers that must list a new worker before it is used.
const NEW_CONFIRMATIONS: u32 = 1;
/// Further answers that must list a drained or absent worker as ready before it is used again.
const DRAINED_CONFIRMATIONS: u32 = 2;
/// How long a worker that is no longer listed stays quarantined, in microseconds: longer than any answer is under way.
const QUARANTINE_RETENTION_US: u64 = 600_000_000;
/// Limit of quarantined workers that are not listed.
const MAX_UNLISTED_QUARANTINES: usize = 16_384;

/// A complete list of workers from the name service.
#[derive(Clone, Debug)]
pub struct ReceivedList {
    /// The number of its last event; never 0.
    pub serial: u64,
    /// Its entries, each id once.
    pub executors: Vec<Executor>,
    /// When the query that it answers was sent.
    pub queried_at: u64,
    /// When it arrived.
    pub received_at: u64,
}

/// Where a list comes from that is not an answer of the name service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListOrigin {
    /// A configuration that was read anew. It may be older than the list that the process started with, so that workers which
    /// it adds have to be confirmed by the service.
    Configuration,
    /// The process before this one.
    Predecessor,
    /// Another dispatcher.
    Peer,
}

/// The outcome of comparing a received list with the accepted one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It has a higher number, or is the first one of the service, and is accepted.
    Newer,
    /// It has a lower number and is accepted: the service counts anew, or the list before came from another numbering.
    Renumbered,
    /// It equals the accepted list.
    Confirms,
    /// It was queried after the accepted list had arrived, and differs from it without a higher number. Only its drains
    /// are applied so far.
    Contradicts,
    /// It is older than the accepted list. Only its drains are applied.
    Older,
}

/// Why a worker is not usable although the accepted list may have it as ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QuarantineReason {
    /// It was not in the list before.
    New,
    /// A list had it as draining, or did not contain it.
    Drained,
}

/// The exclusion of one worker until enough answers have listed it as ready.
#[derive(Clone, Copy, Debug)]
struct Quarantine {
    reason: QuarantineReason,
    /// When a list last gave the reason.
    since: u64,
    /// Answers since then that agree with the accepted list, which has the worker as ready.
    confirmations: u32,
}

impl Quarantine {
    fn is_over(&self) -> bool {
        self.confirmations
            >= match self.reason {
                QuarantineReason::New => NEW_CONFIRMATIONS,
                QuarantineReason::Drained => DRAINED_CONFIRMATIONS,
            }
    }
}

/// Consecutive answers that contradict the accepted list.
#[derive(Clone, Copy, Debug)]
struct Contradiction {
    since: u64,
    answers: u32,
}

/// The list accepted last, before quarantines are applied to it.
#[derive(Debug)]
struct AcceptedList {
    serial: u64,
    executors: Vec<Executor>,
    queried_at: u64,
    received_at: u64,
    /// Whether it came from the name service; otherwise it is provisional.
    from_service: bool,
}

/// The accepted list, the quarantines of its workers, and the list in use that results from both.
#[derive(Debug)]
pub struct ListTracker {
    accepted: AcceptedList,
    quarantines: BTreeMap<WorkerId, Quarantine>,
    /// Starts of listed workers, in Unix milliseconds, that lists which were not accepted have announced.
    later_starts: BTreeMap<WorkerId, u64>,
    contradiction: Option<Contradiction>,
    in_use: Vec<Executor>,
    /// The list that was in use before the last change.
    previous: Vec<Executor>,
    change_count: u64,
    /// Quarantined workers that the accepted list has as ready: further answers have to confirm them.
    unconfirmed: Vec<WorkerId>,
}

impl ListTracker {
    /// Creates a tracker with the list of the configuration, which is provisional until the service answers.
    pub fn new(now: u64, serial: u64, executors: Vec<Executor>) -> ListTracker {
        let accepted = AcceptedList {
            serial,
            executors: Vec::new(),
            queried_at: now,
            received_at: now,
            from_service: false,
        };
        let mut tracker = ListTracker {
            accepted,
            quarantines: BTreeMap::new(),
            later_starts: BTreeMap::new(),
            contradiction: None,
            in_use: Vec::new(),
            previous: Vec::new(),
            change_count: 0,
            unconfirmed: Vec::new(),
        };
        tracker.accept_provisional(now, serial, executors);
        tracker.update_in_use();
        tracker
    }

    /// Applies a complete list of the service. Returns the decision and whether the list in use has changed.
    pub fn apply(&mut self, list: ReceivedList) -> (Decision, bool) {
        let decision = self.decide(&list);
        let absent_is_drained = list.queried_at >= self.accepted.queried_at || decision == Decision::Newer;
        self.quarantine_drained(list.received_at, &list.executors, absent_is_drained);
        match decision {
            Decision::Newer | Decision::Renumbered => self.accept(list),
            Decision::Confirms => self.count_confirmation(list.queried_at),
            Decision::Contradicts | Decision::Older => self.record_later_starts(starts(&list.executors)),
        }
        (decision, self.update_in_use())
    }

    /// Records that the service has sent the accepted list once more, in answer to a query sent at `queried_at`. Returns
    /// whether the list in use has changed, because workers were confirmed.
    pub fn confirm_repeated(&mut self, queried_at: u64) -> bool {
        self.contradiction = None;
        if self.unconfirmed.is_empty() {
            return false;
        }
        self.count_confirmation(queried_at);
        self.update_in_use()
    }

    /// Applies only the drains and starts of a list that was refused; absent workers count as drained if `complete`. Returns
    /// whether the list in use has changed.
    pub fn apply_refused(&mut self, now: u64, executors: &[Executor], complete: bool) -> bool {
        self.quarantine_drained(now, executors, complete && !executors.is_empty());
        self.record_later_starts(starts(executors));
        self.update_in_use()
    }

    /// Applies the drains and the starts, in Unix milliseconds, that an answer shows which could be parsed only in part.
    /// Returns whether the list in use has changed.
    pub fn apply_partial(&mut self, now: u64, draining: &[WorkerId], starts: &[(WorkerId, u64)]) -> bool {
        if draining.is_empty() && starts.is_empty() {
            return false;
        }
        for id in draining {
            self.quarantine_as_drained(now, id);
        }
        self.record_later_starts(starts.iter().map(|(id, started_ms)| (id, *started_ms)));
        self.update_in_use()
    }

    /// Applies a list that did not come from the service: whole until the service has answered, afterwards only its
    /// drains. Returns whether the list in use has changed.
    pub fn apply_external(
        &mut self,
        now: u64,
        origin: ListOrigin,
        serial: u64,
        executors: Vec<Executor>,
    ) -> bool {
        if self.accepted.from_service {
            self.quarantine_drained(now, &executors, false);
            self.record_later_starts(starts(&executors));
        } else {
            if origin == ListOrigin::Configuration {
                self.quarantine_new(now, &executors);
            }
            self.accept_provisional(now, serial, executors);
        }
        self.update_in_use()
    }

    /// Returns the list in use: quarantined workers are draining in it, or absent.
    pub fn in_use(&self) -> &[Executor] {
        &self.in_use
    }

    /// Returns the list that was in use before the last change.
    pub fn previous(&self) -> &[Executor] {
        &self.previous
    }

    /// Returns how often the list in use has changed.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Returns the number of the accepted list.
    pub fn serial(&self) -> u64 {
        self.accepted.serial
    }

    /// Returns whether the accepted list came from the service itself.
    pub fn is_from_service(&self) -> bool {
        self.accepted.from_service
    }

    /// Returns whether a worker that the accepted list has as ready needs further answers before it is used.
    pub fn has_unconfirmed(&self) -> bool {
        !self.unconfirmed.is_empty()
    }

    fn decide(&mut self, list: &ReceivedList) -> Decision {
        if !self.accepted.from_service || list.serial > self.accepted.serial {
            return Decision::Newer;
        }
        if list.serial == self.accepted.serial && same_workers(&list.executors, &self.accepted.executors) {
            self.contradiction = None;
            return Decision::Confirms;
        }
        if list.queried_at < self.accepted.received_at {
            return Decision::Older;
        }
        let now = list.received_at;
        let contradiction = self.contradiction.get_or_insert(Contradiction { since: now, answers: 0 });
        contradiction.answers += 1;
        let lasts = now.saturating_sub(contradiction.since) >= RENUMBERING_TIME_US;
        if lasts && contradiction.answers >= RENUMBERING_ANSWERS {
            Decision::Renumbered
        } else {
            Decision::Contradicts
        }
    }

    fn accept(&mut self, list: ReceivedList) {
        self.quarantine_new(list.received_at, &list.executors);
        self.contradiction = None;
        self.later_starts.clear();
        self.accepted = AcceptedList {
            serial: list.serial,
            executors: list.executors,
            queried_at: list.queried_at,
            received_at: list.received_at,
            from_service: true,
        };
        self.evict_quarantines();
    }

    /// Quarantines the ready workers of a list that are not in the list in use.
    fn quarantine_new(&mut self, now: u64, executors: &[Executor]) {
        let known: HashSet<&WorkerId> = self.in_use.iter().map(|e| &e.id).collect();
        for executor in executors.iter().filter(|e| e.state == ExecutorState::Ready) {
            if !known.contains(&executor.id) {
                let quarantine = Quarantine { reason: QuarantineReason::New, since: now, confirmations: 0 };
                self.quarantines.entry(executor.id.clone()).or_insert(quarantine);
            }
        }
    }

    /// Accepts a list that did not come from the service: its ready workers are used at once, unless they were drained.
    fn accept_provisional(&mut self, now: u64, serial: u64, executors: Vec<Executor>) {
        self.quarantine_drained(now, &executors, true);
        self.later_starts.clear();
        self.accepted =
            AcceptedList { serial, executors, queried_at: now, received_at: now, from_service: false };
    }

    /// Quarantines the workers that a list has as draining and, if `absent_is_drained`, those that it does not contain.
    fn quarantine_drained(&mut self, now: u64, executors: &[Executor], absent_is_drained: bool) {
        let states: HashMap<&WorkerId, ExecutorState> = executors.iter().map(|e| (&e.id, e.state)).collect();
        for (id, _) in states.iter().filter(|(_, state)| **state == ExecutorState::Draining) {
            self.quarantine_as_drained(now, id);
        }
        if !absent_is_drained {
            return;
        }
        let listed = self.in_use.iter().filter(|e| e.state == ExecutorState::Ready).map(|e| &e.id);
        let absent = listed.chain(&self.unconfirmed).filter(|id| !states.contains_key(id));
        let absent: Vec<WorkerId> = absent.cloned().collect();
        for id in absent {
            self.quarantine_as_drained(now, &id);
        }
    }

    /// Records the starts that are later than those of the accepted list, of workers that it has.
    fn record_later_starts<'a>(&mut self, starts: impl Iterator<Item = (&'a WorkerId, u64)>) {
        let accepted: HashMap<&WorkerId, u64> =
            self.accepted.executors.iter().map(|e| (&e.id, e.started_ms)).collect();
        for (id, started_ms) in starts {
            if accepted.get(id).is_some_and(|known| *known < started_ms) {
                let latest = self.later_starts.entry(id.clone()).or_default();
                *latest = started_ms.max(*latest);
            }
        }
    }

    fn quarantine_as_drained(&mut self, now: u64, id: &WorkerId) {
        let quarantine = Quarantine { reason: QuarantineReason::Drained, since: now, confirmations: 0 };
        self.quarantines.insert(id.clone(), quarantine);
    }

    /// Counts an answer that agrees with the accepted list, and ends the quarantines that it completes.
    fn count_confirmation(&mut self, queried_at: u64) {
        for id in &self.unconfirmed {
            let Some(quarantine) = self.quarantines.get_mut(id) else { continue };
            if queried_at >= quarantine.since {
                quarantine.confirmations += 1;
            }
            if quarantine.is_over() {
                self.quarantines.remove(id);
            }
        }
    }

    /// Recomputes the list in use from the accepted list and the quarantines. Returns whether it differs.
    fn update_in_use(&mut self) -> bool {
        let before: HashMap<&WorkerId, ExecutorState> =
            self.in_use.iter().map(|e| (&e.id, e.state)).collect();
        let was_ready = |id: &WorkerId| before.get(id) == Some(&ExecutorState::Ready);
        let ready = |e: &&Executor| e.state == ExecutorState::Ready;
        // New workers are used unconfirmed if there is no other: refusing all requests would be worse.
        let mut ready_workers = self.accepted.executors.iter().filter(ready);
        let none_confirmed = !ready_workers.any(|e| !self.quarantines.contains_key(&e.id));
        let mut in_use = Vec::with_capacity(self.accepted.executors.len());
        for executor in &self.accepted.executors {
            let state = match self.quarantines.get(&executor.id).map(|q| q.reason) {
                None => executor.state,
                Some(QuarantineReason::Drained) => ExecutorState::Draining,
                Some(QuarantineReason::New) if was_ready(&executor.id) || none_confirmed => executor.state,
                Some(QuarantineReason::New) => continue,
            };
            let later_start = self.later_starts.get(&executor.id).copied().unwrap_or_default();
            let started_ms = executor.started_ms.max(later_start);
            in_use.push(Executor { state, started_ms, ..executor.clone() });
        }
        let unconfirmed =
            |e: &&Executor| e.state == ExecutorState::Ready && self.quarantines.contains_key(&e.id);
        self.unconfirmed = self.accepted.executors.iter().filter(unconfirmed).map(|e| e.id.clone()).collect();
        let changed = in_use != self.in_use;
        if changed {
            self.previous = std::mem::replace(&mut self.in_use, in_use);
            self.change_count += 1;
        }
        changed
    }

    /// Evicts the quarantines of unlisted workers that are past their retention, then the oldest above the limit.
    fn evict_quarantines(&mut self) {
        let listed: HashSet<&WorkerId> = self.accepted.executors.iter().map(|e| &e.id).collect();
        let now = self.accepted.received_at;
        self.quarantines.retain(|id, q| listed.contains(id) || now < q.since + QUARANTINE_RETENTION_US);
        let excess = self.quarantines.len().saturating_sub(MAX_UNLISTED_QUARANTINES + listed.len());
        if excess == 0 {
            return;
        }
        let unlisted = self.quarantines.iter().filter(|(id, _)| !listed.contains(id));
        let mut oldest: Vec<(u64, WorkerId)> = unlisted.map(|(id, q)| (q.since, id.clone())).collect();
        oldest.sort_unstable();
        for (_, id) in oldest.into_iter().take(excess) {
            self.quarantines.remove(&id);
        }
    }
}

/// Returns the starts that a list announces, in Unix milliseconds.
fn starts(executors: &[Executor]) -> impl Iterator<Item = (&WorkerId, u64)> {
    executors.iter().map(|e| (&e.id, e.started_ms))
}

/// Returns whether two lists have the same entries, in any order.
fn same_workers(one: &[Executor], other: &[Executor]) -> bool {
    if one == other {
        return true;
    }
    let by_id: HashMap<&WorkerId, &Executor> = other.iter().map(|e| (&e.id, e)).collect();
    one.len() == other.len() && one.iter().all(|e| by_id.get(&e.id).is_some_and(|o| *o == e))
}

#[cfg(test)]
mod tests;
