//! The executor list that every part works with: the list in use, with banned executors shown as draining.
//!
//! Given the resolver's list, the operators' bans and those of the running configuration version; passes the result to the
//! pool, the core, overload control and the zones whenever one of them changes.

use super::Node;
use crate::api::{WorkerEntry, WorkerId};
use crate::control::{ColdStartPhase, ColdStartReport};
use crate::counters::count;
use crate::discovery::{Executor, ExecutorState, NewStart, StartRange};
use tracing::info;

/// The most executor ids remembered as having been listed.
pub(super) const MAX_LISTED_IDS: usize = 16_384;
/// How long after an executor's ban ends its new start time is remembered, beyond its warm-up time, in microseconds.
const LIFTED_BAN_RETENTION_US: u64 = 60_000_000;

/// The longest time between a worker's start and the first list that has the worker, in microseconds: the platform's
/// protocol page ('Figures') has the name service publish any change within this time.
const MAX_LISTING_DELAY_US: u64 = 8_500_000;
/// The longest time between an event and the answers that have it, in microseconds, by the platform's protocol page ('The
/// name service'): an answer without a restart shows that the restart happened no earlier than this before its query.
const MAX_EVENT_DELAY_US: u64 = 1_500_000;

/// A worker that is first listed within this time after the first list of the name service may have started long before.
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
        self.update_worker_starts();
        let starts = &self.worker_starts;
        self.pool.set_executors(&executors, |worker| starts.get(worker).and_then(|start| start.started_at));
        let listing = |e: &Executor| -> WorkerEntry {
            let ready_at = self.started_at(&e.id).max(self.ban_lifted_at.get(&e.id).copied());
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

    /// Learns from the list in use which workers' processes are others than before, and logs them.
    fn update_worker_starts(&mut self) {
        if self.resolver.is_list_from_service() {
            self.service_list_at.get_or_insert(self.now);
        }
        let earliest_restart = self.resolver.previous_confirmed_at().saturating_sub(MAX_EVENT_DELAY_US);
        let is_first_list = self.service_list_at.is_none_or(|at| self.now <= at + FIRST_LISTS_US);
        let range = StartRange {
            earliest_restart,
            earliest_new: if is_first_list { 0 } else { self.now.saturating_sub(MAX_LISTING_DELAY_US) },
            latest: self.now,
        };
        let clock = &self.clock;
        let new = self.worker_starts.apply(&self.executors, range, |ms| clock.from_unix_ms(ms));
        for start in new {
            self.log_new_start(&start);
        }
    }

    fn log_new_start(&self, new: &NewStart) {
        let NewStart { worker, previous, start, limit } = new;
        if limit.is_some() {
            count(&self.counters.worker_starts_limited);
        }
        // The starts of the first list are no news: the process has just started itself.
        let Some(previous) = previous else { return };
        count(&self.counters.worker_restarts);
        info!(
            worker = &**worker,
            serial = self.resolver.serial(),
            previous_ms = previous.announced_ms,
            announced_ms = start.announced_ms,
            incarnation = start.incarnation,
            age_ms = start.started_at.map(|at| self.now.saturating_sub(at) / 1_000),
            ?limit,
            "another process stands behind a worker's id; it counts as cold"
        );
    }

    /// Logs the cold starts that have begun and ended at the core.
    pub(super) fn log_cold_starts(&mut self) {
        for report in self.engine.take_cold_start_reports() {
            let ColdStartReport { worker, phase, served_per_worker, parts, taken, lapsed } = report;
            let capacity_per_s = served_per_worker as u64;
            match phase {
                ColdStartPhase::Begun => {
                    info!(worker = &*worker, capacity_per_s, parts, "a cold worker's budget begins");
                }
                ColdStartPhase::Ended => {
                    info!(worker = &*worker, capacity_per_s, parts, taken, lapsed, "a cold worker is warm");
                }
            }
        }
    }

    /// Returns when a worker's process started, if that is not long ago.
    fn started_at(&self, worker: &WorkerId) -> Option<u64> {
        self.worker_starts.get(worker).and_then(|start| start.started_at)
    }
}
