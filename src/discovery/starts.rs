//! Decides when the process behind each worker's id started. No I/O; the clock is passed in.
//!
//! An id stays the same when a worker's process is replaced; the list then announces another start. The announced start is a
//! time of the worker's wall clock, which may be wrong, or may have been set back since the last start. So a start is
//! recognised by its being another one, never by its being later, and its time is believed only within the limits that
//! follow from the lists themselves: the process cannot have started after the list that announces it had arrived, nor well
//! before the last list that did not. Outside these limits the process counts as started when its list arrived, which
//! makes it colder than it may be, never warmer. State is bounded by the list and [`MAX_UNLISTED_STARTS`].

use super::Executor;
use crate::api::WorkerId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;

/// Limit of the workers whose starts are remembered although they are not listed.
const MAX_UNLISTED_STARTS: usize = 16_384;

/// The start of the process that is known behind a worker's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownStart {
    /// The start as announced last, in Unix milliseconds; 0 if none was ever announced.
    pub announced_ms: u64,
    /// When the process counts as started, on the clock of this process; `None` for long ago.
    pub started_at: Option<u64>,
    /// How many processes have been seen behind the id, the present one included.
    pub incarnation: u32,
    address: SocketAddr,
    listed_at: u64,
}

/// Why a process does not count as started when it was announced to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartLimit {
    /// The announced time is later than the list.
    InFuture,
    /// The announced time is earlier than the start can have been.
    TooEarly,
    /// The worker has another address, but no other start was announced.
    Moved,
}

/// A process that has taken the place of another one, or that is the first one seen behind an id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewStart {
    /// The worker.
    pub worker: WorkerId,
    /// The start known before; `None` for a worker that was not known.
    pub previous: Option<KnownStart>,
    /// The new start.
    pub start: KnownStart,
    /// Why the announced time is not used, if it is not.
    pub limit: Option<StartLimit>,
}

/// The times between which a process that a list announces may have started, on the clock of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartRange {
    /// The earliest time for a worker that was known before with another start.
    pub earliest_restart: u64,
    /// The earliest time for a worker that was not known before.
    pub earliest_new: u64,
    /// When the list arrived.
    pub latest: u64,
}

/// The known starts of all listed workers, and of some that are no longer listed.
#[derive(Debug, Default)]
pub struct WorkerStarts {
    starts: BTreeMap<WorkerId, KnownStart>,
}

impl WorkerStarts {
    /// Applies the list in use. `to_clock` converts Unix milliseconds to the clock of this process. Returns the starts that
    /// are new.
    pub fn apply(
        &mut self,
        executors: &[Executor],
        range: StartRange,
        to_clock: impl Fn(u64) -> u64,
    ) -> Vec<NewStart> {
        let new = executors.iter().filter_map(|e| self.apply_entry(e, range, &to_clock)).collect();
        self.evict_unlisted(executors);
        new
    }

    /// Returns the start that is known for a worker.
    pub fn get(&self, worker: &WorkerId) -> Option<&KnownStart> {
        self.starts.get(worker)
    }

    /// Returns all known starts, for a successor process.
    pub fn to_vec(&self) -> Vec<(WorkerId, KnownStart)> {
        self.starts.iter().map(|(id, start)| (id.clone(), *start)).collect()
    }

    /// Takes over the starts that a predecessor process knew, whose clock this process continues.
    pub fn restore(&mut self, starts: Vec<(WorkerId, KnownStart)>) {
        self.starts.extend(starts.into_iter().take(MAX_UNLISTED_STARTS));
    }

    fn apply_entry(
        &mut self,
        executor: &Executor,
        range: StartRange,
        to_clock: impl Fn(u64) -> u64,
    ) -> Option<NewStart> {
        let previous = self.starts.get(&executor.id).copied();
        let announced = (executor.started_ms > 0).then(|| to_clock(executor.started_ms));
        let (started_at, limit) = match previous {
            None => limited(announced, range.earliest_new, range.latest),
            Some(known) if executor.started_ms > 0 && executor.started_ms != known.announced_ms => {
                limited(announced, range.earliest_restart, range.latest)
            }
            Some(known) if executor.address != known.address => (Some(range.latest), Some(StartLimit::Moved)),
            Some(_) => {
                let known = self.starts.get_mut(&executor.id)?;
                known.listed_at = range.latest;
                return None;
            }
        };
        let start = KnownStart {
            announced_ms: executor
                .started_ms
                .max(previous.filter(|_| announced.is_none()).map_or(0, |p| p.announced_ms)),
            started_at,
            incarnation: previous.map_or(0, |known| known.incarnation) + 1,
            address: executor.address,
            listed_at: range.latest,
        };
        self.starts.insert(executor.id.clone(), start);
        let is_news = previous.is_some() || started_at.is_some();
        is_news.then(|| NewStart { worker: executor.id.clone(), previous, start, limit })
    }

    /// Evicts the starts of unlisted workers above the limit, those unlisted for longest first.
    fn evict_unlisted(&mut self, executors: &[Executor]) {
        let excess = self.starts.len().saturating_sub(MAX_UNLISTED_STARTS + executors.len());
        if excess == 0 {
            return;
        }
        let listed: HashSet<&WorkerId> = executors.iter().map(|e| &e.id).collect();
        let unlisted = self.starts.iter().filter(|(id, _)| !listed.contains(id));
        let mut oldest: Vec<(u64, WorkerId)> =
            unlisted.map(|(id, start)| (start.listed_at, id.clone())).collect();
        oldest.sort_unstable();
        for (_, id) in oldest.into_iter().take(excess) {
            self.starts.remove(&id);
        }
    }
}

/// Returns when a process counts as started, and why that is not the announced time.
fn limited(announced: Option<u64>, earliest: u64, latest: u64) -> (Option<u64>, Option<StartLimit>) {
    match announced {
        Some(at) if at > latest => (Some(latest), Some(StartLimit::InFuture)),
        Some(at) if at < earliest => (Some(latest), Some(StartLimit::TooEarly)),
        announced => (announced, None),
    }
}

#[cfg(test)]
mod tests;
