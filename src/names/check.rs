//! Which lists of the name service are believed. No I/O; the clock is passed in.
//!
//! A list replaces the one held only whole. One that contradicts itself (an id at two addresses) is refused, and so is
//! one that empties a list at once: the last good list stands and serving goes on until a list can be believed. An
//! empty list is believed once the name service has said so for `EMPTY_HOLD_US`, which takes three answers at the usual pace:
//! it tells of every worker that it is gone, and nothing may be sent to one later than the grace of a drain after that.

use super::{Executor, MOST_EXECUTORS, MOST_ID_BYTES};
use crate::api::WorkerId;
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;

/// How long an empty list must stand before it replaces one that names executors, in microseconds: with the answer that ends it
/// less than the 250 ms and 50 ms that the platform allows from the telling of a drain.
pub const EMPTY_HOLD_US: u64 = 150_000;

/// Why a list was not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// The answer can't be read, or was cut off (the reason of the DNS reader).
    Unreadable(&'static str),
    /// No executor at all, while the list held names some; not yet for `EMPTY_HOLD_US`.
    Empty,
    /// One id at two addresses.
    TwoAddresses(WorkerId, SocketAddr, SocketAddr),
    /// More entries than a list may have.
    TooMany(usize),
    /// An id of so many bytes, more than one may have.
    LongId(usize),
}

impl fmt::Display for Doubt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Doubt::Unreadable(why) => write!(f, "an answer that can't be used: {why}"),
            Doubt::Empty => write!(f, "an empty list, while executors were listed"),
            Doubt::TwoAddresses(id, a, b) => write!(f, "executor {id} at two addresses, {a} and {b}"),
            Doubt::TooMany(count) => {
                write!(
                    f,
                    "{count} executors, {MOST_EXECUTORS} at the most: split the fleet into several services"
                )
            }
            Doubt::LongId(bytes) => {
                write!(
                    f,
                    "an executor's id of {bytes} bytes, {MOST_ID_BYTES} at the most: see who registered it"
                )
            }
        }
    }
}

/// What became of a list.
#[derive(Debug, PartialEq)]
pub enum Verdict {
    /// Taken.
    Take {
        /// The list in its order, each id once.
        executors: Vec<Executor>,
        /// Entries that repeated another exactly and were dropped.
        merged: usize,
    },
    /// Refused.
    Refuse {
        /// Why.
        doubt: Doubt,
        /// True when the doubt is new, so that it is told once and not with every answer.
        first: bool,
    },
}

/// The checker's memory: since when the service says the list is empty, and the last doubt told.
#[derive(Debug, Default)]
pub struct Checker {
    empty_since: Option<u64>,
    told: Option<Doubt>,
}

impl Checker {
    /// Judges a readable list that is newer than the one held; `held` is how many executors that one names.
    pub fn judge(&mut self, now: u64, mut executors: Vec<Executor>, held: usize) -> Verdict {
        if executors.len() > MOST_EXECUTORS {
            return self.refuse(Doubt::TooMany(executors.len()));
        }
        if let Some(long) = executors.iter().map(|e| e.id.len()).find(|bytes| *bytes > MOST_ID_BYTES) {
            return self.refuse(Doubt::LongId(long));
        }
        if executors.is_empty() && held > 0 {
            let since = *self.empty_since.get_or_insert(now);
            if now.saturating_sub(since) < EMPTY_HOLD_US {
                return self.refuse(Doubt::Empty);
            }
        } else {
            self.empty_since = None;
        }
        // The list keeps its order: new workers take their places in it, as before the check.
        let before = executors.len();
        let mut seen: HashMap<WorkerId, SocketAddr> = HashMap::with_capacity(before);
        for e in &executors {
            match seen.get(&e.id) {
                Some(first) if *first != e.address => {
                    return self.refuse(Doubt::TwoAddresses(e.id.clone(), *first, e.address));
                }
                Some(_) => {}
                None => drop(seen.insert(e.id.clone(), e.address)),
            }
        }
        // Same id and address: one executor said twice. The first saying counts.
        if seen.len() < before {
            let mut kept = HashSet::with_capacity(seen.len());
            executors.retain(|e| kept.insert(e.id.clone()));
        }
        self.told = None;
        Verdict::Take { merged: before - executors.len(), executors }
    }

    /// Refuses an answer that can't be read.
    pub fn unreadable(&mut self, why: &'static str) -> Verdict {
        self.refuse(Doubt::Unreadable(why))
    }

    fn refuse(&mut self, doubt: Doubt) -> Verdict {
        let first = self.told.as_ref() != Some(&doubt);
        self.told = Some(doubt.clone());
        Verdict::Refuse { doubt, first }
    }
}

#[cfg(test)]
mod tests;
