//! Queue of the uses of replicas, by which those due for renewal are found.
//!
//! Uses are queued in the order of time and read from the oldest on, so that replicas which are not due cost nothing. The
//! caller decides whether a replica is renewed. No I/O; the clock is passed in. Uses past the age of renewal are dropped.

use crate::api::Micros;
use std::collections::VecDeque;

/// A use of a replica, given by the slots of its worker and its function.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReplicaUse {
    pub(super) at: Micros,
    pub(super) worker: usize,
    pub(super) function: usize,
}

/// Uses in the order of time: those too recent for a renewal, and those that may be due.
#[derive(Clone, Debug, Default)]
pub(super) struct RenewalQueue {
    recent: VecDeque<ReplicaUse>,
    due: VecDeque<ReplicaUse>,
}

impl RenewalQueue {
    /// Returns the number of queued uses.
    pub(super) fn len(&self) -> usize {
        self.recent.len() + self.due.len()
    }

    /// Drops all uses, so that nothing becomes due.
    pub(super) fn clear(&mut self) {
        self.recent.clear();
        self.due.clear();
    }

    /// Queues a use of a replica. Uses must be pushed in the order of their times.
    pub(super) fn push(&mut self, used: ReplicaUse) {
        // Repeated uses with the same time are queued once.
        if self.recent.back() != Some(&used) {
            self.recent.push_back(used);
        }
    }

    /// Iterates over the uses whose age, as a share of `keep_alive`, is at least `from` and less than `to`. Drops older uses,
    /// and those for which `current` returns false because the replica has been used again since.
    pub(super) fn due(
        &mut self,
        now: Micros,
        keep_alive: f64,
        (from, to): (f64, f64),
        current: impl Fn(&ReplicaUse) -> bool,
    ) -> impl Iterator<Item = &ReplicaUse> {
        let age = |used: &ReplicaUse| now.saturating_sub(used.at) as f64 / keep_alive;
        while let Some(used) = self.recent.pop_front_if(|used| age(used) >= from) {
            self.due.push_back(used);
        }
        self.due.retain(|used| age(used) < to && current(used));
        self.due.iter()
    }
}

/// Removes times from the front for as long as `expired` holds; the times are in ascending order.
pub(super) fn pop_expired(times: &mut VecDeque<Micros>, expired: impl Fn(Micros) -> bool) {
    while times.pop_front_if(|time| expired(*time)).is_some() {}
}

#[cfg(test)]
mod tests;
