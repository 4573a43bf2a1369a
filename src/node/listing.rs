//! The executor list that every part works with: the list in use, with banned executors shown as draining.
//!
//! Given the resolver's list, the operators' bans and those of the running configuration version; passes the result to the
//! pool, the core, overload control and the zones whenever one of them changes.

use super::Node;
use crate::api::{WorkerEntry, WorkerId};
use crate::counters::count;
use crate::discovery::{Executor, ExecutorState};
use std::collections::BTreeSet;

/// The most executor ids remembered as having been listed.
pub(super) const MAX_LISTED_IDS: usize = 16_384;
/// How long after an executor's ban ends its new start time is remembered, beyond its warm-up time, in microseconds.
const LIFTED_BAN_RETENTION_US: u64 = 60_000_000;

/// The longest time between a worker's start and its listing, in microseconds: the platform's protocol page ('Figures') has
/// the name service publish any change within this time, and an event within 1.5 s.
const MAX_LISTING_DELAY_US: u64 = 8_500_000;

/// A worker first listed within this time after the process started may have started long before: the first lists arrive
/// within it.
const FIRST_LISTS_US: u64 = 1_500_000;

impl Node {
    /// Takes the resolver's list into use.
    pub(super) fn list_changed(&mut self) {
        count(&self.counters.lists_applied);
        self.executors = self.resolver.executors().to_vec();
        self.publish_list();
    }

    /// Passes the list to all parts, with the executors banned by operators or the running version as draining.
    pub(super) fn publish_list(&mut self) {
        let forget_before =
            self.now.saturating_sub(self.settings.module.warm_after + LIFTED_BAN_RETENTION_US);
        // The entry of a listed executor is kept: without it, the start time would change and the executor would seem to
        // have restarted and lost its replicas.
        let in_list = |id: &WorkerId| self.executors.iter().any(|e| e.id == *id);
        self.ban_lifted_at.retain(|id, at| *at > forget_before || in_list(id));
        let (bans, version_bans) = (&self.bans, &self.version_bans);
        let with_bans = |e: &Executor| Executor {
            state: if bans.contains(&e.id) || version_bans.contains(&e.id) {
                ExecutorState::Draining
            } else {
                e.state
            },
            ..e.clone()
        };
        let executors: Vec<Executor> = self.executors.iter().map(with_bans).collect();
        if self.ever_listed.len() < MAX_LISTED_IDS {
            self.ever_listed.extend(executors.iter().map(|e| e.id.clone()));
        }
        self.pool.set_executors(&executors);
        self.record_first_listed();
        let listing = |e: &Executor| -> WorkerEntry {
            let ready_at = self.started_at(e).max(self.ban_lifted_at.get(&e.id).copied());
            self.settings.vocabulary.to_entry(e, ready_at)
        };
        let entries = executors.iter().map(listing).collect();
        if let Some(overload) = &mut self.overload {
            overload.set_workers(executors.iter().map(|e| e.id.clone()).collect());
        }
        if let Some(zones) = &mut self.zones {
            zones.set_executors(&executors, &self.settings.vocabulary.zones);
        }
        self.engine.set_workers(self.now, entries);
    }

    /// Records when workers that announce their start time were first listed.
    fn record_first_listed(&mut self) {
        let with_start: BTreeSet<&WorkerId> =
            self.executors.iter().filter(|e| e.started_ms > 0).map(|e| &e.id).collect();
        self.first_listed_at.retain(|id, _| with_start.contains(id));
        for id in with_start {
            self.first_listed_at.entry(id.clone()).or_insert(self.now);
        }
    }

    /// Returns when a worker started, if it announces that. The announced time is a wall-clock time, and the clock there or
    /// here may be wrong, so it is limited by when the worker was first listed.
    fn started_at(&self, executor: &Executor) -> Option<u64> {
        let announced = (executor.started_ms > 0).then(|| self.clock.from_unix_ms(executor.started_ms))?;
        let listed = self.first_listed_at.get(&executor.id).copied().unwrap_or(self.now);
        let added_later = listed > self.started + FIRST_LISTS_US;
        Some(clamp_start(announced, listed, added_later))
    }
}

/// Clamps an announced start time to the possible range: no later than the first listing, and, for a worker that was added
/// to a list this process already had, no earlier than [`MAX_LISTING_DELAY_US`] before it.
fn clamp_start(announced: u64, listed: u64, added_later: bool) -> u64 {
    let earliest = if added_later { listed.saturating_sub(MAX_LISTING_DELAY_US) } else { 0 };
    announced.clamp(earliest, listed)
}

#[cfg(test)]
mod tests;
