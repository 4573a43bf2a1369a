//! Which replicas may be due for renewal: each use is queued once, and the queue is read from its old end, so that what
//! is due is found without looking at what is not. Whether a replica is renewed is decided elsewhere; no I/O, the clock is
//! passed in.

use crate::api::Micros;
use std::collections::VecDeque;

/// A use of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Use {
    /// When.
    pub(super) at: Micros,
    /// The slot of its worker.
    pub(super) worker: usize,
    /// The slot of its function.
    pub(super) function: usize,
}

/// Uses by age: those that are too young to matter, and those that may be due.
#[derive(Clone, Debug, Default)]
pub(super) struct RenewalQueue {
    young: VecDeque<Use>,
    due: VecDeque<Use>,
}

impl RenewalQueue {
    /// Uses that are queued.
    pub(super) fn len(&self) -> usize {
        self.young.len() + self.due.len()
    }

    /// Forgets all uses: nothing is renewed.
    pub(super) fn clear(&mut self) {
        self.young.clear();
        self.due.clear();
    }

    /// A replica was used; uses must come in the order of their times.
    pub(super) fn push(&mut self, used: Use) {
        // A second use in one moment says nothing new.
        if self.young.back() != Some(&used) {
            self.young.push_back(used);
        }
    }

    /// Goes through the uses whose age in shares of `keep_alive` lies between `from` and `to`. `current` tells whether a use
    /// is still the last one of its replica; one that is not is dropped, and so is one that is older.
    pub(super) fn due(
        &mut self,
        now: Micros,
        keep_alive: f64,
        (from, to): (f64, f64),
        current: impl Fn(&Use) -> bool,
    ) -> impl Iterator<Item = &Use> {
        let age = |used: &Use| now.saturating_sub(used.at) as f64 / keep_alive;
        while let Some(used) = self.young.pop_front_if(|used| age(used) >= from) {
            self.due.push_back(used);
        }
        self.due.retain(|used| age(used) < to && current(used));
        self.due.iter()
    }
}

/// Takes off the front what is over; times are in order.
pub(super) fn drop_while(times: &mut VecDeque<Micros>, over: impl Fn(Micros) -> bool) {
    while times.pop_front_if(|t| over(*t)).is_some() {}
}

#[cfg(test)]
mod tests;
