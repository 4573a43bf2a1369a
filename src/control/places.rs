//! Where workers and functions are kept, by dense numbers, and which give theirs up so that both stay bounded.
//! No request is decided here.

use super::fleet::{FleetSums, Times};
use super::functions::{LEAST_FUNCTION_BYTES, Retired};
use super::renewal::{RenewalQueue, Use};
use super::tables::{Function, Mark, Worker};
use super::{DORMANT, Evidence, Router, Warmth};
use crate::api::{Action, FunctionId, Listing, Micros, Standing, WorkerId};
use std::collections::HashSet;

/// What a router did of its own accord, counted since it began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Attempts that took a turn at a cold worker.
    pub cold_turns: u64,
    /// Times that an idle copy was looked at, every twentieth of a second at the most, and left for others to keep.
    pub loads_left: u64,
}

/// How many entries each table of a router holds: all of its state that grows with what it is told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sizes {
    /// Workers with a place, listed or not.
    pub workers: usize,
    /// Functions known in full.
    pub functions: usize,
    /// Functions known by a compact record.
    pub dormant: usize,
    /// Bytes that functions take, by the table's own count: at most what [`Router::bound_functions`] says.
    pub function_bytes: usize,
    /// Bytes of the ring by which workers are preferred.
    pub ring_bytes: usize,
    /// Uses of replicas that may be due for renewal.
    pub renewals: usize,
    /// Requests under way.
    pub requests: usize,
    /// Marks of copies, over all workers.
    pub marks: usize,
    /// Attempts out, over all workers.
    pub open: usize,
    /// Zones with evidence of late.
    pub zones: usize,
    /// Requests taken and loads ordered within the ration's window.
    pub window: usize,
}

/// Workers that leave the ring and that come to it, by slot.
#[derive(Default)]
struct RingChanges {
    gone: Vec<(usize, WorkerId)>,
    new: Vec<(usize, WorkerId)>,
}

impl Router {
    /// From now on functions may take so many bytes, at least [`LEAST_FUNCTION_BYTES`].
    pub fn bound_functions(&mut self, bytes: usize) {
        self.functions.bound(bytes.max(LEAST_FUNCTION_BYTES));
    }

    /// From now on every choice looks at every worker, or does no more: the choices are the same.
    pub fn scan(&mut self, scans: bool) {
        self.scans = scans;
    }

    /// Takes a list of workers, whole or only what changed.
    pub(super) fn list(&mut self, complete: bool, entries: &[Listing], out: &mut Vec<Action>) {
        if self.worker_ids.is_empty() && self.set.list_on_request {
            out.push(Action::Watch);
        }
        if complete {
            let named: HashSet<&WorkerId> = entries.iter().map(|e| &e.worker).collect();
            let workers = &mut self.workers;
            self.unlisted.retain(|slot| {
                let w = &mut workers[*slot];
                w.listed = named.contains(&w.id);
                !w.listed
            });
            for (index, w) in self.workers.iter_mut().enumerate().filter(|(_, w)| !named.contains(&w.id)) {
                if w.up {
                    (w.fell, w.up) = (self.now, false);
                    self.fleet.update(index, w, self.now);
                }
                w.listed = false;
                self.unlisted.insert(index);
            }
        }
        for (index, entry) in self.place_all(entries).into_iter().zip(entries) {
            let worker = &mut self.workers[index];
            worker.listed = entry.standing != Standing::Gone;
            if entry.standing != Standing::Gone {
                // The last word on a machine that is gone tells nothing of where it stood.
                (worker.zone, worker.cell) = (entry.zone, entry.cell);
            }
            if entry.ready_at.is_some() && entry.ready_at != worker.ready_at {
                // A restarted process holds no copies and owes nothing for its past.
                worker.ready_at = entry.ready_at;
                self.zones.remove(&entry.zone);
                worker.forget_copies();
                worker.slow = Evidence::default();
                worker.turn = 0;
                worker.lost.fill(Evidence::default());
            }
            let up = entry.standing == Standing::Healthy;
            (worker.fell, worker.up) = (if worker.up && !up { self.now } else { worker.fell }, up);
            if worker.listed {
                self.unlisted.remove(&index)
            } else {
                self.unlisted.insert(index)
            };
            self.fleet.update(index, worker, self.now);
        }
        self.choose_order();
    }

    /// The size of each table, to show that all state is bounded.
    pub fn sizes(&self) -> Sizes {
        Sizes {
            workers: self.workers.len(),
            functions: self.functions.counts().0,
            dormant: self.functions.counts().1,
            function_bytes: self.functions.bytes(),
            ring_bytes: self.ring.bytes(),
            renewals: self.renewals.len(),
            requests: self.requests.len(),
            marks: self.workers.iter().map(|w| w.marks.len()).sum(),
            open: self.workers.iter().map(|w| w.open.len()).sum(),
            zones: self.zones.len(),
            window: self.taken.len() + self.ordered.len(),
        }
    }

    /// What it did of its own accord.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// The slots of listed workers; new ones get one. Danger: workers replaced all day long would fill the memory; one
    /// that is gone gives up its slot.
    pub(super) fn place_all(&mut self, entries: &[Listing]) -> Vec<usize> {
        let mut changes = RingChanges::default();
        let mut free = self.free_slots().into_iter();
        let mut slots = Vec::with_capacity(entries.len());
        for entry in entries {
            let slot = match self.worker_ids.get(&entry.worker) {
                Some(slot) => *slot,
                None => self.place(entry, free.next(), &mut changes),
            };
            slots.push(slot);
        }
        self.ring.change(&changes.gone, &changes.new);
        slots
    }

    /// Slots of workers that are not listed and of which nothing is owed.
    fn free_slots(&self) -> Vec<usize> {
        if self.unlisted.is_empty() {
            return Vec::new();
        }
        let attempts = self.requests.values().flat_map(|r| &r.attempts);
        let named: HashSet<usize> = attempts.map(|a| a.e.worker).collect();
        // What was sent to one that is back soon still counts against its budget.
        let old = |w: &Worker| w.sent + self.set.warm_after < self.now && w.open.is_empty();
        let over = |slot: &&usize| old(&self.workers[**slot]) && !named.contains(*slot);
        self.unlisted.iter().filter(over).copied().collect()
    }

    fn place(&mut self, entry: &Listing, free: Option<usize>, changes: &mut RingChanges) -> usize {
        let (id, ready_at, classes) = (entry.worker.clone(), entry.ready_at, self.set.classes.len());
        let (lost, heard) = (vec![Evidence::default(); classes], vec![0; classes]);
        let worker = Worker { id: id.clone(), ready_at, lost, heard, ..Worker::default() };
        let slot = free.unwrap_or(self.workers.len());
        if free.is_some() {
            let old = std::mem::replace(&mut self.workers[slot], worker);
            for function in old.marks.keys() {
                self.functions[*function].holders.retain(|w| *w as usize != slot);
            }
            self.worker_ids.remove(&old.id);
            self.unlisted.remove(&slot);
            changes.gone.push((slot, old.id));
        } else {
            self.workers.push(worker);
        }
        self.worker_ids.insert(id.clone(), slot);
        changes.new.push((slot, id));
        slot
    }

    /// The slot of a function that a request names, with what the request tells of it.
    pub(super) fn function(
        &mut self,
        id: &FunctionId,
        class: usize,
        lanes: f64,
        load: Option<Micros>,
    ) -> usize {
        let run = self.pools[class].run;
        let first = || Function { id: id.clone(), class, lanes: 1.0, run, ..Function::default() };
        let index = self.functions.wake(self.now, id, first);
        self.drop_old_marks(index);
        let function = &mut self.functions[index];
        function.class = class;
        function.lanes = if lanes.is_finite() { lanes.max(1.0) } else { 1.0 };
        function.told_load = load.filter(|l| *l > 0).map(|l| l as f64).or(function.told_load);
        index
    }

    /// Marks of a function that have aged out go, so that those kept are bounded by one keep-alive.
    fn drop_old_marks(&mut self, function: usize) {
        let old = self.now.saturating_sub((DORMANT * self.set.keep_alive as f64) as Micros);
        let mut holders = std::mem::take(&mut self.functions[function].holders);
        holders.retain(|worker| {
            let mark = self.workers[*worker as usize].marks.get(&function);
            let believed = |m: &Mark| !matches!(self.warmth(m), Warmth::Cold);
            let kept = mark.is_some_and(|m| m.own > 0 || m.used >= old || believed(m));
            if !kept {
                self.workers[*worker as usize].marks.remove(&function);
            }
            kept
        });
        self.functions[function].holders = holders;
    }

    /// Makes functions dormant that have been idle for long, and forgets those that there is no room for.
    pub(super) fn retire_functions(&mut self) {
        let idle = (DORMANT * self.set.keep_alive as f64) as Micros;
        for Retired { slot, holders } in self.functions.maintain(self.now, self.now.saturating_sub(idle)) {
            for worker in holders {
                self.workers[worker as usize].marks.remove(&slot);
            }
        }
    }

    /// Makes anew what follows from the tables of workers and functions.
    pub(super) fn rebuild(&mut self) {
        let times = Times { half: self.half, warm_after: self.set.warm_after };
        self.fleet = FleetSums::of(times, &self.workers, self.now);
        let mut uses = Vec::new();
        for (worker, w) in self.workers.iter().enumerate() {
            uses.extend(w.marks.iter().map(|(function, m)| Use { at: m.used, worker, function: *function }));
        }
        uses.sort_unstable_by_key(|u| (u.at, u.worker, u.function));
        self.renewals = RenewalQueue::default();
        uses.into_iter().for_each(|used| self.renewals.push(used));
    }
}
