//! Decides which list of workers is in use, and which of its workers may be sent to. No I/O; the clock is passed in.
//!
//! The name service numbers its lists. A number orders lists of one numbering only, and a list may come from another: a state
//! of the service from before this process started, a configuration file, a process before this one, a service that
//! lost its count. The service may also answer a later query with an older state. So a single list proves little:
//!
//! - A drain is believed from any list, whatever its number: a worker that is told to drain, or that is absent from a list
//!   asked for no earlier than the one in use, gets nothing new from that moment on.
//! - Readiness has to be confirmed. A worker that is new, or that was told to drain, is used once further answers,
//!   asked for after that, agree with the list in use.
//! - A list with a higher number replaces the one in use. One with a lower number replaces it once [`RENUMBERED_ANSWERS`] in a
//!   row, all of them asked for after the list in use had come, have contradicted it for [`RENUMBERED_US`].
//!
//! A list that did not come from the service (the configuration's, a predecessor's, a peer's) stands until the service speaks.
//! State is bounded by [`MOST_MARKS`] workers that are not usable, and the list itself.

use super::{Executor, State};
use crate::api::WorkerId;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Answers in a row that contradict the list in use before they replace it under a lower number.
pub const RENUMBERED_ANSWERS: u32 = 3;
/// And the time from the first of them to the last, in microseconds: longer than a few answers of one state that is late.
pub const RENUMBERED_US: u64 = 300_000;
/// Further answers that must list a new worker before it is used.
const NEW_CONFIRMATIONS: u32 = 1;
/// Further answers that must list a worker as ready that was told to drain, or was absent, before it is used again.
const DRAINED_CONFIRMATIONS: u32 = 2;
/// How long a worker that is not listed any more is remembered as drained, in microseconds: longer than any answer travels.
const MARK_MEMORY_US: u64 = 600_000_000;
/// Workers that are remembered as not usable while they are not listed.
const MOST_MARKS: usize = 16_384;

/// A whole list of workers, as the name service told it.
#[derive(Clone, Debug)]
pub struct ReceivedList {
    /// The number of its last event; never 0.
    pub serial: u64,
    /// Its entries, each id once.
    pub executors: Vec<Executor>,
    /// When the query that it answers was sent.
    pub asked_at: u64,
    /// When it came.
    pub received_at: u64,
}

/// What a list was taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It has a higher number, or is the first one of the service, and is in use now.
    Newer,
    /// It has a lower number and is in use now: the service counts anew, or the list before came from another numbering.
    Renumbered,
    /// It is the list in use.
    Confirms,
    /// It was asked for after the list in use had come, and is another under no higher number. Only its drains count yet.
    Contradicts,
    /// It is older than the list in use. Only its drains count.
    Older,
}

/// Why a worker is not usable although the list in use may say that it is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reason {
    /// It was not in the list before.
    New,
    /// A list told that it drains, or did not name it.
    Drained,
}

#[derive(Clone, Copy, Debug)]
struct Mark {
    reason: Reason,
    /// When that was last told.
    told_at: u64,
    /// Lists since that agree with the one in use and name the worker as ready.
    confirmations: u32,
}

impl Mark {
    fn confirmed(&self) -> bool {
        self.confirmations
            >= match self.reason {
                Reason::New => NEW_CONFIRMATIONS,
                Reason::Drained => DRAINED_CONFIRMATIONS,
            }
    }
}

/// Answers in a row that contradict the list in use.
#[derive(Clone, Copy, Debug)]
struct Contradiction {
    since: u64,
    answers: u32,
}

#[derive(Debug)]
struct Held {
    serial: u64,
    executors: Vec<Executor>,
    asked_at: u64,
    received_at: u64,
    /// The name service told it.
    from_service: bool,
}

/// The list in use and what is known against it.
#[derive(Debug)]
pub struct ListTracker {
    held: Held,
    marks: BTreeMap<WorkerId, Mark>,
    contradiction: Option<Contradiction>,
    in_use: Vec<Executor>,
    /// The list that was in use before the last change, and how many changes there were.
    previous: Vec<Executor>,
    changes: u64,
    /// Workers that the held list names as ready and that further answers have to confirm.
    awaiting: Vec<WorkerId>,
}

impl ListTracker {
    /// Starts with the list of the configuration, which stands until the service speaks.
    pub fn new(now: u64, serial: u64, executors: Vec<Executor>) -> ListTracker {
        let held =
            Held { serial, executors: Vec::new(), asked_at: now, received_at: now, from_service: false };
        let (marks, in_use, awaiting) = (BTreeMap::new(), Vec::new(), Vec::new());
        let previous = Vec::new();
        let mut tracker =
            ListTracker { held, marks, contradiction: None, in_use, previous, changes: 0, awaiting };
        tracker.stand_in(now, serial, executors);
        tracker.publish();
        tracker
    }

    /// Takes a whole list of the service; true if the list in use has changed by it.
    pub fn take(&mut self, list: ReceivedList) -> (Decision, bool) {
        let decision = self.decide(&list);
        let absence_counts = list.asked_at >= self.held.asked_at || decision == Decision::Newer;
        self.believe_drains(list.received_at, &list.executors, absence_counts);
        match decision {
            Decision::Newer | Decision::Renumbered => self.replace(list),
            Decision::Confirms => self.confirm(list.asked_at),
            Decision::Contradicts | Decision::Older => {}
        }
        (decision, self.publish())
    }

    /// The service has told the list in use once more, in answer to a query of that time; true if the list in use has
    /// changed, since workers are confirmed by it.
    pub fn repeat(&mut self, asked_at: u64) -> bool {
        self.contradiction = None;
        if self.awaiting.is_empty() {
            return false;
        }
        self.confirm(asked_at);
        self.publish()
    }

    /// Takes only the drains of a list that is doubted or cut off; absence counts where the list is whole. True if the
    /// list in use has changed by it.
    pub fn doubt(&mut self, now: u64, executors: &[Executor], whole: bool) -> bool {
        self.believe_drains(now, executors, whole && !executors.is_empty());
        self.publish()
    }

    /// Takes the drains of workers known by their ids alone; true if the list in use has changed by it.
    pub fn drain(&mut self, now: u64, workers: &[WorkerId]) -> bool {
        for id in workers {
            self.mark_drained(now, id);
        }
        self.publish()
    }

    /// Takes a list that did not come from the service: whole while the service has not spoken, later only its drains. True
    /// if the list in use has changed by it.
    pub fn offer(&mut self, now: u64, serial: u64, executors: Vec<Executor>) -> bool {
        if self.held.from_service {
            self.believe_drains(now, &executors, false);
        } else {
            self.stand_in(now, serial, executors);
        }
        self.publish()
    }

    /// The list in use: workers that are not usable are draining in it, or not in it.
    pub fn in_use(&self) -> &[Executor] {
        &self.in_use
    }

    /// The list that was in use before the last change.
    pub fn previous(&self) -> &[Executor] {
        &self.previous
    }

    /// How often the list in use has changed.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// The number of the list in use.
    pub fn serial(&self) -> u64 {
        self.held.serial
    }

    /// Whether the service itself has told the list in use.
    pub fn from_service(&self) -> bool {
        self.held.from_service
    }

    /// Whether a worker that the list in use names as ready waits for further answers.
    pub fn awaits_confirmation(&self) -> bool {
        !self.awaiting.is_empty()
    }

    fn decide(&mut self, list: &ReceivedList) -> Decision {
        if !self.held.from_service || list.serial > self.held.serial {
            return Decision::Newer;
        }
        if list.serial == self.held.serial && same_workers(&list.executors, &self.held.executors) {
            self.contradiction = None;
            return Decision::Confirms;
        }
        if list.asked_at < self.held.received_at {
            return Decision::Older;
        }
        let now = list.received_at;
        let contradiction = self.contradiction.get_or_insert(Contradiction { since: now, answers: 0 });
        contradiction.answers += 1;
        let lasts = now.saturating_sub(contradiction.since) >= RENUMBERED_US;
        if lasts && contradiction.answers >= RENUMBERED_ANSWERS {
            Decision::Renumbered
        } else {
            Decision::Contradicts
        }
    }

    fn replace(&mut self, list: ReceivedList) {
        let known: HashSet<&WorkerId> = self.in_use.iter().map(|e| &e.id).collect();
        for executor in list.executors.iter().filter(|e| e.state == State::Ready) {
            if !known.contains(&executor.id) {
                let new = Mark { reason: Reason::New, told_at: list.received_at, confirmations: 0 };
                self.marks.entry(executor.id.clone()).or_insert(new);
            }
        }
        self.contradiction = None;
        self.held = Held {
            serial: list.serial,
            executors: list.executors,
            asked_at: list.asked_at,
            received_at: list.received_at,
            from_service: true,
        };
        self.forget_old_marks();
    }

    /// A list that did not come from the service: what it says is ready is used at once, unless it was told to drain.
    fn stand_in(&mut self, now: u64, serial: u64, executors: Vec<Executor>) {
        self.believe_drains(now, &executors, true);
        self.held = Held { serial, executors, asked_at: now, received_at: now, from_service: false };
    }

    fn believe_drains(&mut self, now: u64, executors: &[Executor], absence_counts: bool) {
        let told: HashMap<&WorkerId, State> = executors.iter().map(|e| (&e.id, e.state)).collect();
        for (id, _) in told.iter().filter(|(_, state)| **state == State::Draining) {
            self.mark_drained(now, id);
        }
        if !absence_counts {
            return;
        }
        let listed = self.in_use.iter().filter(|e| e.state == State::Ready).map(|e| &e.id);
        let absent = listed.chain(&self.awaiting).filter(|id| !told.contains_key(id));
        let absent: Vec<WorkerId> = absent.cloned().collect();
        for id in absent {
            self.mark_drained(now, &id);
        }
    }

    fn mark_drained(&mut self, now: u64, id: &WorkerId) {
        let mark = Mark { reason: Reason::Drained, told_at: now, confirmations: 0 };
        self.marks.insert(id.clone(), mark);
    }

    /// Counts an answer that agrees with the list in use.
    fn confirm(&mut self, asked_at: u64) {
        for id in &self.awaiting {
            let Some(mark) = self.marks.get_mut(id) else { continue };
            if asked_at >= mark.told_at {
                mark.confirmations += 1;
            }
            if mark.confirmed() {
                self.marks.remove(id);
            }
        }
    }

    /// Works out the list in use anew; true if it differs.
    fn publish(&mut self) -> bool {
        let before: HashMap<&WorkerId, State> = self.in_use.iter().map(|e| (&e.id, e.state)).collect();
        let was_ready = |id: &WorkerId| before.get(id) == Some(&State::Ready);
        let ready = |e: &&Executor| e.state == State::Ready;
        // A new worker serves unconfirmed where there is no other: refusing all that comes would be worse.
        let mut usable = self.held.executors.iter().filter(ready);
        let none_confirmed = !usable.any(|e| !self.marks.contains_key(&e.id));
        let mut in_use = Vec::with_capacity(self.held.executors.len());
        for executor in &self.held.executors {
            let state = match self.marks.get(&executor.id).map(|m| m.reason) {
                None => executor.state,
                Some(Reason::Drained) => State::Draining,
                Some(Reason::New) if was_ready(&executor.id) || none_confirmed => executor.state,
                Some(Reason::New) => continue,
            };
            in_use.push(Executor { state, ..executor.clone() });
        }
        let waits = |e: &&Executor| e.state == State::Ready && self.marks.contains_key(&e.id);
        self.awaiting = self.held.executors.iter().filter(waits).map(|e| e.id.clone()).collect();
        let changed = in_use != self.in_use;
        if changed {
            self.previous = std::mem::replace(&mut self.in_use, in_use);
            self.changes += 1;
        }
        changed
    }

    /// Drops what was told of workers that have long gone.
    fn forget_old_marks(&mut self) {
        let listed: HashSet<&WorkerId> = self.held.executors.iter().map(|e| &e.id).collect();
        let now = self.held.received_at;
        self.marks.retain(|id, mark| listed.contains(id) || now < mark.told_at + MARK_MEMORY_US);
        let excess = self.marks.len().saturating_sub(MOST_MARKS + listed.len());
        if excess == 0 {
            return;
        }
        let unlisted = self.marks.iter().filter(|(id, _)| !listed.contains(id));
        let mut oldest: Vec<(u64, WorkerId)> = unlisted.map(|(id, m)| (m.told_at, id.clone())).collect();
        oldest.sort_unstable();
        for (_, id) in oldest.into_iter().take(excess) {
            self.marks.remove(&id);
        }
    }
}

/// Whether two lists say the same, in whatever order.
fn same_workers(one: &[Executor], other: &[Executor]) -> bool {
    if one == other {
        return true;
    }
    let by_id: HashMap<&WorkerId, &Executor> = other.iter().map(|e| (&e.id, e)).collect();
    one.len() == other.len() && one.iter().all(|e| by_id.get(&e.id).is_some_and(|o| *o == e))
}

#[cfg(test)]
mod tests;
