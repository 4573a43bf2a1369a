//! Where workers and functions are kept, by dense numbers, and which give theirs up so that both stay bounded.
//! No request is decided here.

use super::Router;
use super::tables::{Function, Mark, Worker};
use crate::api::{FunctionId, Listing, Micros};
use crate::control::Evidence;
use std::collections::BTreeSet;

/// Functions remembered: all that are in use, many times over.
const MOST_FUNCTIONS: usize = 1024;

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
    /// Functions remembered; at most 1,024.
    pub functions: usize,
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

impl Router {
    /// The size of each table, to show that all state is bounded.
    pub fn sizes(&self) -> Sizes {
        Sizes {
            workers: self.workers.len(),
            functions: self.functions.len(),
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

    /// The number of a listed worker; a new one gets one. Danger: workers replaced all day long would fill the
    /// memory; one that is gone gives up its place. `free_from`: no place before it is free, within one list; so a
    /// list of new workers is placed in one pass.
    pub(super) fn place(&mut self, entry: &Listing, free_from: &mut usize) -> usize {
        if let Some(index) = self.worker_ids.get(&entry.worker) {
            return *index;
        }
        let told = |n| self.requests.values().any(|r| r.attempts.iter().any(|a| a.e.worker == n));
        // What was sent to one that is back soon still counts against its budget.
        let old = |w: &Worker| w.sent + self.set.warm_after < self.now && w.open.is_empty();
        let over = |n: &usize| !self.workers[*n].listed && old(&self.workers[*n]) && !told(*n);
        let free = (*free_from..self.workers.len()).find(over);
        let (id, ready_at, classes) = (entry.worker.clone(), entry.ready_at, self.set.classes.len());
        let (lost, heard) = (vec![Evidence::default(); classes], vec![0; classes]);
        let worker = Worker { id: id.clone(), ready_at, lost, heard, ..Worker::default() };
        let index = free.unwrap_or(self.workers.len());
        match free {
            Some(n) => drop(self.worker_ids.remove(&std::mem::replace(&mut self.workers[n], worker).id)),
            None => self.workers.push(worker),
        }
        self.worker_ids.insert(id, index);
        *free_from = index + 1;
        index
    }

    /// The number of a function that a request names, with what the request tells of it.
    pub(super) fn function(
        &mut self,
        id: &FunctionId,
        class: usize,
        lanes: f64,
        load: Option<Micros>,
    ) -> usize {
        let index = self.function_ids.get(id).copied().unwrap_or_else(|| {
            // Danger: functions that clients make up would fill the memory. The oldest gives way.
            let free = Some(self.functions.len()).filter(|n| *n < MOST_FUNCTIONS).or_else(|| {
                let named: BTreeSet<usize> = self.requests.values().map(|r| r.function).collect();
                let over = (0..self.functions.len()).filter(|f| !named.contains(f));
                over.min_by_key(|f| (self.functions[*f].served, self.functions[*f].seen.at()))
            });
            let (index, run) = (free.unwrap_or(self.functions.len()), self.pools[class].run);
            // Marks aged out go as functions come, so that those kept are bounded by one keep-alive.
            let old = self.now.saturating_sub(self.set.keep_alive);
            let kept = |f: usize, m: &Mark| f != index && (m.own > 0 || m.used >= old);
            self.workers.iter_mut().for_each(|w| w.marks.retain(|f, m| kept(*f, m)));
            let function = Function { id: id.clone(), class, lanes: 1.0, run, ..Function::default() };
            if index < self.functions.len() {
                self.function_ids.remove(&std::mem::replace(&mut self.functions[index], function).id);
            } else {
                self.functions.push(function);
            }
            self.function_ids.insert(id.clone(), index);
            index
        });
        let function = &mut self.functions[index];
        function.class = class;
        function.lanes = if lanes.is_finite() { lanes.max(1.0) } else { 1.0 };
        function.told_load = load.filter(|l| *l > 0).map(|l| l as f64).or(function.told_load);
        index
    }
}
