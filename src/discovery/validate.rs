//! Validates the lists of the name service. No I/O; the clock is passed in.
//!
//! A list is accepted or refused as a whole. One that contradicts itself (an id at two addresses) or exceeds a limit is
//! refused, and so is a sudden empty list: the last valid list stays in use and serving continues. An empty list is
//! accepted once the name service has repeated it for `EMPTY_HOLD_US`, which takes three answers at the regular query
//! interval. It cannot be refused for longer, because it announces that every worker is gone, and nothing may be sent to a
//! worker after the drain grace period that starts then.

use super::{Executor, MAX_EXECUTORS, MAX_ID_BYTES};
use crate::api::WorkerId;
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;

/// How long an empty list must be repeated before it replaces one with executors, in microseconds. With the wait for the
/// answer that ends it, this is less than the 250 ms and 50 ms that the platform allows after a drain is announced.
pub const EMPTY_HOLD_US: u64 = 150_000;

/// Why a list was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// The answer could not be parsed or was truncated; carries the parser's reason.
    Unreadable(&'static str),
    /// The list is empty, while the one in use is not, and has not been so for `EMPTY_HOLD_US` yet.
    Empty,
    /// One id has two addresses.
    TwoAddresses(WorkerId, SocketAddr, SocketAddr),
    /// The list has this many entries, more than [`MAX_EXECUTORS`].
    TooMany(usize),
    /// An id has this many bytes, more than [`MAX_ID_BYTES`].
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
                    "{count} executors, {MAX_EXECUTORS} at the most: split the fleet into several services"
                )
            }
            Doubt::LongId(bytes) => {
                write!(
                    f,
                    "an executor's id of {bytes} bytes, {MAX_ID_BYTES} at the most: see who registered it"
                )
            }
        }
    }
}

/// The result of validating a list.
#[derive(Debug, PartialEq)]
pub enum Verdict {
    /// The list is valid.
    Accept {
        /// The list in its original order, each id once.
        executors: Vec<Executor>,
        /// Entries dropped because they repeated the id and address of an earlier one.
        merged: usize,
    },
    /// The list is refused.
    Refuse {
        /// The reason.
        doubt: Doubt,
        /// Whether the reason differs from that of the last refusal, so that it is logged once and not with every answer.
        first: bool,
    },
}

/// A validator of lists.
#[derive(Debug, Default)]
pub struct ListValidator {
    /// When the first of the consecutive empty lists arrived.
    empty_since: Option<u64>,
    /// The reason of the last refusal, until a list is accepted.
    last_refusal: Option<Doubt>,
}

impl ListValidator {
    /// Validates a list that was parsed whole; `in_use_count` is the number of executors in the list in use.
    pub fn validate(&mut self, now: u64, mut executors: Vec<Executor>, in_use_count: usize) -> Verdict {
        if executors.len() > MAX_EXECUTORS {
            return self.refuse(Doubt::TooMany(executors.len()));
        }
        if let Some(too_long) = executors.iter().map(|e| e.id.len()).find(|bytes| *bytes > MAX_ID_BYTES) {
            return self.refuse(Doubt::LongId(too_long));
        }
        if executors.is_empty() && in_use_count > 0 {
            let since = *self.empty_since.get_or_insert(now);
            if now.saturating_sub(since) < EMPTY_HOLD_US {
                return self.refuse(Doubt::Empty);
            }
        } else {
            self.empty_since = None;
        }
        // The order is kept: the decision module assigns places to new workers in list order.
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
        // Entries with the same id and address are one executor; the first entry is kept.
        if seen.len() < before {
            let mut kept = HashSet::with_capacity(seen.len());
            executors.retain(|e| kept.insert(e.id.clone()));
        }
        self.last_refusal = None;
        Verdict::Accept { merged: before - executors.len(), executors }
    }

    /// Refuses an answer that could not be parsed.
    pub fn unreadable(&mut self, why: &'static str) -> Verdict {
        self.refuse(Doubt::Unreadable(why))
    }

    fn refuse(&mut self, doubt: Doubt) -> Verdict {
        let first = self.last_refusal.as_ref() != Some(&doubt);
        self.last_refusal = Some(doubt.clone());
        Verdict::Refuse { doubt, first }
    }
}

#[cfg(test)]
mod tests;
