//! Assigns slots to workers and functions and applies worker lists.
//!
//! Slots are dense indexes into the router's tables. Those of unlisted workers and of idle or evicted functions are reused,
//! so that the tables stay bounded however many workers and functions come and go. No requests are decided here.

use super::cold_start::ColdStartPhase;
use super::fleet::{FleetSums, TimeConstants};
use super::functions::{MIN_FUNCTION_BYTES, RetiredFunction};
use super::renewal::{RenewalQueue, ReplicaUse};
use super::reports::LoadReport;
use super::tables::{Function, Replica, Worker};
use super::{DORMANT_AFTER_KEEP_ALIVES, DecayingMean, Router, Warmth};
use crate::api::{Action, FunctionId, Micros, WorkerEntry, WorkerId, WorkerStatus};
use std::collections::HashSet;

/// Counters of the router's decisions about cold workers and renewals, since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DecisionCounters {
    /// Attempts that used one of this router's turns at a cold worker.
    pub cold_turns: u64,
    /// Attempts at cold workers that used no permit: always 0.
    pub cold_sends_without_permit: u64,
    /// Times that an idle replica was due for renewal but got no load order, since other routers use it often enough. One
    /// replica may be counted repeatedly, at most once in a hundredth of the load window (50 ms with a window of 5 s).
    pub renewals_skipped: u64,
}

/// Number of entries in each table of a router: all of its state that can grow with the events it receives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Workers with a slot, listed or not.
    pub workers: usize,
    /// Active functions.
    pub functions: usize,
    /// Dormant functions, held as compact records.
    pub dormant_functions: usize,
    /// Estimated bytes of the function table, at most the bound set by [`Router::set_max_function_bytes`].
    pub function_bytes: usize,
    /// Bytes of the preference ring.
    pub ring_bytes: usize,
    /// Queued uses of replicas that may become due for renewal.
    pub renewals: usize,
    /// Requests in progress.
    pub requests: usize,
    /// Marks of functions at workers, over all workers.
    pub replicas: usize,
    /// Attempts without an outcome yet, over all workers.
    pub open_attempts: usize,
    /// Zones with evidence of recent attempts.
    pub zones: usize,
    /// Requests received and loads ordered within the window of the load ration.
    pub ration_window: usize,
}

/// Workers to remove from the ring and to add to it, with their slots.
#[derive(Default)]
struct RingChanges {
    removed: Vec<(usize, WorkerId)>,
    added: Vec<(usize, WorkerId)>,
}

/// The slot of a worker in a list.
struct AssignedSlot {
    slot: usize,
    /// The worker had no slot before.
    is_new: bool,
}

impl Router {
    /// Sets the bound of the function table in bytes, at least [`MIN_FUNCTION_BYTES`].
    pub fn set_max_function_bytes(&mut self, bytes: usize) {
        self.functions.set_max_bytes(bytes.max(MIN_FUNCTION_BYTES));
    }

    /// Sets whether each choice estimates every worker instead of searching; the choices are the same.
    pub fn set_exhaustive_search(&mut self, scans: bool) {
        self.exhaustive_search = scans;
    }

    /// Applies a list of workers: a complete one, or one of changes only.
    pub(super) fn apply_worker_list(
        &mut self,
        complete: bool,
        entries: &[WorkerEntry],
        out: &mut Vec<Action>,
    ) {
        if self.worker_ids.is_empty() && self.settings.list_on_request {
            out.push(Action::WatchWorkers);
        }
        if complete {
            let named: HashSet<&WorkerId> = entries.iter().map(|e| &e.worker).collect();
            let workers = &mut self.workers;
            self.unlisted.retain(|slot| {
                let worker = &mut workers[*slot];
                worker.listed = named.contains(&worker.id);
                !worker.listed
            });
            let workers = self.workers.iter_mut().enumerate();
            for (slot, worker) in workers.filter(|(_, worker)| !named.contains(&worker.id)) {
                if worker.up {
                    (worker.down_since, worker.up) = (self.now, false);
                    self.fleet.update(slot, worker, self.now);
                }
                worker.listed = false;
                self.unlisted.insert(slot);
            }
        }
        for (AssignedSlot { slot, is_new }, entry) in self.assign_slots(entries).into_iter().zip(entries) {
            let cold_budget = self.starting_cold_budget(&entry.worker);
            let worker = &mut self.workers[slot];
            worker.listed = entry.standing != WorkerStatus::Removed;
            if entry.standing != WorkerStatus::Removed {
                // An entry that reports a worker as gone carries no valid zone or cell.
                (worker.zone, worker.cell) = (entry.zone, entry.cell);
                worker.size = if entry.size.is_finite() { entry.size.max(0.0) } else { 0.0 };
            }
            let is_new_start = entry.ready_at.is_some() && (entry.ready_at != worker.ready_at || is_new);
            if entry.ready_at.is_some() && entry.ready_at != worker.ready_at {
                // A restarted process holds no replicas, and what was observed of its predecessor does not apply to it.
                worker.ready_at = entry.ready_at;
                self.zone_losses.remove(&entry.zone);
                worker.forget_replicas();
                worker.slowness = DecayingMean::default();
                worker.answers = DecayingMean::default();
                worker.report = LoadReport::default();
                worker.losses_by_class.fill(DecayingMean::default());
                worker.cold_permits_taken = 0;
                worker.cold_budget = cold_budget;
            }
            let up = entry.standing == WorkerStatus::Healthy;
            (worker.down_since, worker.up) =
                (if worker.up && !up { self.now } else { worker.down_since }, up);
            if worker.listed {
                self.unlisted.remove(&slot)
            } else {
                self.unlisted.insert(slot)
            };
            self.fleet.update(slot, worker, self.now);
            if is_new_start && self.is_cold(&self.workers[slot]) {
                self.report_cold_start(slot, ColdStartPhase::Begun);
            }
        }
        self.update_preference_order();
    }

    /// Returns the size of each table, by which tests check that all state is bounded.
    pub fn sizes(&self) -> TableSizes {
        TableSizes {
            workers: self.workers.len(),
            functions: self.functions.counts().0,
            dormant_functions: self.functions.counts().1,
            function_bytes: self.functions.bytes(),
            ring_bytes: self.ring.bytes(),
            renewals: self.renewals.len(),
            requests: self.requests.len(),
            replicas: self.workers.iter().map(|w| w.replicas.len()).sum(),
            open_attempts: self.workers.iter().map(|w| w.open_attempts.len()).sum(),
            zones: self.zone_losses.len(),
            ration_window: self.recent_requests.len() + self.recent_load_orders.len(),
        }
    }

    /// Returns the counters of decisions about cold workers and renewals.
    pub fn counters(&self) -> DecisionCounters {
        self.counters
    }

    /// Returns the slots of the workers in a list, and assigns slots to new ones. Slots of unlisted workers are reused, since
    /// otherwise a fleet whose workers are replaced all the time would fill the memory.
    fn assign_slots(&mut self, entries: &[WorkerEntry]) -> Vec<AssignedSlot> {
        let mut changes = RingChanges::default();
        let mut reusable = self.reusable_slots().into_iter();
        let mut slots = Vec::with_capacity(entries.len());
        for entry in entries {
            let known = self.worker_ids.get(&entry.worker).copied();
            let slot = known.unwrap_or_else(|| self.add_worker(entry, reusable.next(), &mut changes));
            slots.push(AssignedSlot { slot, is_new: known.is_none() });
        }
        self.ring.update(&changes.removed, &changes.added);
        slots
    }

    /// Returns the slots of unlisted workers that no request refers to and no budget still counts.
    fn reusable_slots(&self) -> Vec<usize> {
        if self.unlisted.is_empty() {
            return Vec::new();
        }
        let attempts = self.requests.values().flat_map(|r| &r.attempts);
        let referenced: HashSet<usize> = attempts.map(|attempt| attempt.estimate.worker).collect();
        // Requests sent recently still count against the cold budget of a worker that is listed again soon.
        let settled = |worker: &Worker| {
            worker.last_sent + self.settings.warm_after < self.now && worker.open_attempts.is_empty()
        };
        let reusable = |slot: &&usize| settled(&self.workers[**slot]) && !referenced.contains(*slot);
        self.unlisted.iter().filter(reusable).copied().collect()
    }

    fn add_worker(
        &mut self,
        entry: &WorkerEntry,
        reusable: Option<usize>,
        changes: &mut RingChanges,
    ) -> usize {
        let (id, ready_at, classes) = (entry.worker.clone(), entry.ready_at, self.settings.classes.len());
        let (lost, heard) = (vec![DecayingMean::default(); classes], vec![0; classes]);
        let worker = Worker {
            id: id.clone(),
            ready_at,
            cold_budget: self.starting_cold_budget(&id),
            losses_by_class: lost,
            last_answer_by_class: heard,
            ..Worker::default()
        };
        let slot = reusable.unwrap_or(self.workers.len());
        if reusable.is_some() {
            let old = std::mem::replace(&mut self.workers[slot], worker);
            for function in old.replicas.keys() {
                self.functions[*function].holders.retain(|worker| *worker as usize != slot);
            }
            self.worker_ids.remove(&old.id);
            self.unlisted.remove(&slot);
            changes.removed.push((slot, old.id));
        } else {
            self.workers.push(worker);
        }
        self.worker_ids.insert(id.clone(), slot);
        changes.added.push((slot, id));
        slot
    }

    /// Returns the slot of the function that a request names, after updating it with what the request states.
    pub(super) fn function_slot(
        &mut self,
        id: &FunctionId,
        class: usize,
        lanes: f64,
        load: Option<Micros>,
    ) -> usize {
        let run = self.class_estimates[class].run_time;
        let create = || Function { id: id.clone(), class, lanes: 1.0, run_time: run, ..Function::default() };
        let slot = self.functions.activate(self.now, id, create);
        self.drop_expired_replicas(slot);
        let function = &mut self.functions[slot];
        function.class = class;
        function.lanes = if lanes.is_finite() { lanes.max(1.0) } else { 1.0 };
        function.stated_load_time =
            load.filter(|load| *load > 0).map(|load| load as f64).or(function.stated_load_time);
        slot
    }

    /// Removes marks of a function that have not been used for [`DORMANT_AFTER_KEEP_ALIVES`] keep-alives and stand for no replica, so that the
    /// number of marks is bounded by recent use.
    fn drop_expired_replicas(&mut self, function: usize) {
        let oldest =
            self.now.saturating_sub((DORMANT_AFTER_KEEP_ALIVES * self.settings.keep_alive as f64) as Micros);
        let mut holders = std::mem::take(&mut self.functions[function].holders);
        holders.retain(|worker| {
            let replica = self.workers[*worker as usize].replicas.get(&function);
            let warm = |replica: &Replica| !matches!(self.warmth(replica), Warmth::Cold);
            let kept = replica.is_some_and(|replica| {
                replica.own_in_flight > 0 || replica.last_used >= oldest || warm(replica)
            });
            if !kept {
                self.workers[*worker as usize].replicas.remove(&function);
            }
            kept
        });
        self.functions[function].holders = holders;
    }

    /// Makes functions dormant that have been idle for [`DORMANT_AFTER_KEEP_ALIVES`] keep-alives, evicts functions beyond the bound of the table,
    /// and removes the marks of both.
    pub(super) fn retire_functions(&mut self) {
        let idle = (DORMANT_AFTER_KEEP_ALIVES * self.settings.keep_alive as f64) as Micros;
        for RetiredFunction { slot, holders } in
            self.functions.maintain(self.now, self.now.saturating_sub(idle))
        {
            for worker in holders {
                self.workers[worker as usize].replicas.remove(&slot);
            }
        }
    }

    /// Rebuilds the fleet sums and the renewal queue from the workers and their marks.
    pub(super) fn rebuild_indexes(&mut self) {
        let times = TimeConstants { half_life: self.half_life_us, warm_after: self.settings.warm_after };
        self.fleet = FleetSums::of(times, &self.workers, self.now);
        let mut uses = Vec::new();
        for (slot, worker) in self.workers.iter().enumerate() {
            let replicas = worker.replicas.iter();
            uses.extend(replicas.map(|(function, replica)| ReplicaUse {
                at: replica.last_used,
                worker: slot,
                function: *function,
            }));
        }
        uses.sort_unstable_by_key(|used| (used.at, used.worker, used.function));
        self.renewals = RenewalQueue::default();
        uses.into_iter().for_each(|used| self.renewals.push(used));
    }
}
