//! Table of the functions that a router has seen, within a bounded number of bytes.
//!
//! A function is held in full while it is requested, becomes a compact dormant record once it has been idle for a while, and
//! is evicted, least recently used first, when there is no room. No requests are decided here; the clock is passed in.

use super::hints::HintMean;
use super::tables::Function;
use crate::api::{FunctionId, Micros};
use hashlink::LinkedHashMap;
use slab::Slab;
use std::collections::HashMap;
use std::ops::{Index, IndexMut};

/// Default bound of the table: together with the rest of a dispatcher's state it fits into 256 MB.
pub const DEFAULT_FUNCTION_BYTES: usize = 96 << 20;
/// Smallest accepted bound of the table. Less holds too few functions to be useful.
pub const MIN_FUNCTION_BYTES: usize = 64 << 10;
/// Bytes of an active function besides its id: the record, its index entries, its preferred workers, and the marks that
/// workers hold of it. Measured by `cargo bench --bench routing`.
const ACTIVE_BYTES: usize = size_of::<Function>() + 512;
/// Bytes of a dormant record besides its id: the record, its links, its table entry, and the allocator's overhead.
const DORMANT_BYTES: usize = size_of::<DormantRecord>() + 64;
/// Overhead of an id besides its text.
const ID_OVERHEAD_BYTES: usize = 32;
/// Functions moved or evicted per call of [`FunctionTable::maintain`]: work that falls due at once is spread over the events
/// that follow.
const MAX_MAINTENANCE_STEPS: usize = 16;

/// Compact record of an idle function.
#[derive(Clone, Copy, Debug, PartialEq)]
struct DormantRecord {
    class: u32,
    answers: u32,
    lanes: f32,
    told_load: Option<f32>,
    load: Option<f32>,
    run: f32,
    hinted: (f32, f32),
}

impl DormantRecord {
    fn of(function: &Function) -> DormantRecord {
        DormantRecord {
            class: function.class as u32,
            answers: function.answer_count,
            lanes: function.lanes as f32,
            told_load: function.stated_load_time.map(|time| time as f32),
            load: function.load_time.map(|time| time as f32),
            run: function.run_time as f32,
            hinted: function.usual_hint.to_compact(),
        }
    }

    fn into_function(self, id: FunctionId, served: bool) -> Function {
        Function {
            id,
            served,
            class: self.class as usize,
            answer_count: self.answers,
            lanes: f64::from(self.lanes),
            stated_load_time: self.told_load.map(f64::from),
            load_time: self.load.map(f64::from),
            run_time: f64::from(self.run),
            usual_hint: HintMean::from_compact(self.hinted),
            ..Function::default()
        }
    }
}

/// All functions that the router has seen and not evicted.
#[derive(Default)]
pub(super) struct FunctionTable {
    active: Slab<Function>,
    slots: HashMap<FunctionId, usize>,
    /// Active functions by last use: those that have never been served at index 0, the others at index 1.
    last_used: [LinkedHashMap<usize, Micros>; 2],
    /// Dormant functions by last use, at the same indexes.
    dormant: [LinkedHashMap<FunctionId, DormantRecord>; 2],
    bytes: usize,
    max_bytes: usize,
}

/// A function that is no longer active. All references to its slot must be removed, since the slot will be reused.
#[derive(Debug)]
pub(super) struct RetiredFunction {
    pub(super) slot: usize,
    /// Workers that hold a mark of it.
    pub(super) holders: Vec<u32>,
}

impl FunctionTable {
    pub(super) fn new(max_bytes: usize) -> FunctionTable {
        FunctionTable { max_bytes, ..FunctionTable::default() }
    }

    /// Sets the bound of the table in bytes.
    pub(super) fn set_max_bytes(&mut self, max_bytes: usize) {
        self.max_bytes = max_bytes;
        // Reserved ahead, since a hash table that grows moves all entries at once, and a request would wait for that.
        let max_records = max_bytes / (DORMANT_BYTES + ID_OVERHEAD_BYTES + 16);
        self.dormant[1].reserve(max_records.saturating_sub(self.dormant[1].len()));
    }

    /// Returns the numbers of active and of dormant functions.
    pub(super) fn counts(&self) -> (usize, usize) {
        (self.active.len(), self.dormant.iter().map(LinkedHashMap::len).sum())
    }

    /// Returns the estimated number of bytes in use, which the bound applies to.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the slot of an active function.
    pub(super) fn slot(&self, id: &FunctionId) -> Option<usize> {
        self.slots.get(id).copied()
    }

    /// Iterates over all active functions and their slots.
    pub(super) fn iter(&self) -> impl Iterator<Item = (usize, &Function)> {
        self.active.iter()
    }

    /// Iterates over all dormant functions: those that have been served before the others, the most recently used first.
    pub(super) fn dormant_functions(&self) -> impl Iterator<Item = Function> + '_ {
        let functions = |served: usize| {
            let records = self.dormant[served].iter().rev();
            records.map(move |(id, record)| record.into_function(id.clone(), served == 1))
        };
        functions(1).chain(functions(0))
    }

    /// Replaces all functions by these as active ones; returns their slots, in the same order.
    pub(super) fn replace(&mut self, now: Micros, functions: Vec<Function>) -> Vec<usize> {
        *self = FunctionTable::new(self.max_bytes);
        functions.into_iter().map(|function| self.insert(now, function)).collect()
    }

    /// Returns the slot of a function that is requested now. A dormant function becomes active, an unknown one is created by
    /// `create`.
    pub(super) fn activate(
        &mut self,
        now: Micros,
        id: &FunctionId,
        create: impl FnOnce() -> Function,
    ) -> usize {
        if let Some(slot) = self.slot(id) {
            self.touch(now, slot);
            return slot;
        }
        let dormant = (0..2).find_map(|served| Some((served == 1, self.dormant[served].remove(id)?)));
        let function = match dormant {
            Some((served, record)) => {
                self.bytes -= dormant_bytes(id);
                record.into_function(id.clone(), served)
            }
            None => create(),
        };
        self.insert(now, function)
    }

    /// Inserts a function that is not in the table as an active one; returns its slot.
    pub(super) fn insert(&mut self, now: Micros, function: Function) -> usize {
        let (id, served) = (function.id.clone(), function.served);
        self.bytes += active_bytes(&id);
        let slot = self.active.insert(function);
        self.slots.insert(id, slot);
        self.last_used[usize::from(served)].insert(slot, now);
        slot
    }

    /// Makes the function the most recently used one of its kind.
    fn touch(&mut self, now: Micros, slot: usize) {
        let served = usize::from(self.active[slot].served);
        self.last_used[1 - served].remove(&slot);
        self.last_used[served].insert(slot, now);
    }

    /// Records that a request for the function was answered: it is evicted only after those never served.
    pub(super) fn served(&mut self, now: Micros, slot: usize) {
        if !std::mem::replace(&mut self.active[slot].served, true) {
            self.touch(now, slot);
        }
    }

    /// Makes functions dormant that have not been requested since `idle_since`, and evicts functions while the table is over
    /// its bound: first those that have never been served, and of these the least recently used first. Each call takes at
    /// most [`MAX_MAINTENANCE_STEPS`] steps. Functions with requests in flight stay active.
    pub(super) fn maintain(&mut self, now: Micros, idle_since: Micros) -> Vec<RetiredFunction> {
        let mut retired = Vec::new();
        for _ in 0..MAX_MAINTENANCE_STEPS {
            let over_bound = self.bytes > self.max_bytes;
            let idle = (0..2).find_map(|served| self.least_recently_used(now, served, idle_since));
            if let Some((slot, served)) = idle {
                let function = self.remove_active(slot);
                self.bytes += dormant_bytes(&function.id);
                self.dormant[served].insert(function.id.clone(), DormantRecord::of(&function));
                retired.push(RetiredFunction { slot, holders: function.holders });
            } else if over_bound && let Some((id, _)) = self.dormant[0].pop_front() {
                self.bytes -= dormant_bytes(&id);
            } else if over_bound && let Some((slot, _)) = self.least_recently_used(now, 0, now) {
                retired.push(RetiredFunction { slot, holders: self.remove_active(slot).holders });
            } else if over_bound && let Some((id, _)) = self.dormant[1].pop_front() {
                self.bytes -= dormant_bytes(&id);
            } else if over_bound && let Some((slot, _)) = self.least_recently_used(now, 1, now) {
                retired.push(RetiredFunction { slot, holders: self.remove_active(slot).holders });
            } else {
                break;
            }
        }
        retired
    }

    /// Returns the least recently used active function and `served`, if it was last used before `since`. If it has requests in
    /// flight, it counts as used now instead.
    fn least_recently_used(&mut self, now: Micros, served: usize, since: Micros) -> Option<(usize, usize)> {
        let (slot, _) =
            self.last_used[served].front().map(|(slot, at)| (*slot, *at)).filter(|(_, at)| *at < since)?;
        if self.active[slot].in_flight > 0 {
            self.touch(now, slot);
            return None;
        }
        Some((slot, served))
    }

    fn remove_active(&mut self, slot: usize) -> Function {
        let function = self.active.remove(slot);
        self.slots.remove(&function.id);
        for last_used in &mut self.last_used {
            last_used.remove(&slot);
        }
        self.bytes -= active_bytes(&function.id);
        function
    }
}

impl Index<usize> for FunctionTable {
    type Output = Function;

    fn index(&self, slot: usize) -> &Function {
        &self.active[slot]
    }
}

impl IndexMut<usize> for FunctionTable {
    fn index_mut(&mut self, slot: usize) -> &mut Function {
        &mut self.active[slot]
    }
}

fn active_bytes(id: &FunctionId) -> usize {
    ACTIVE_BYTES + ID_OVERHEAD_BYTES + id.len()
}

fn dormant_bytes(id: &FunctionId) -> usize {
    DORMANT_BYTES + ID_OVERHEAD_BYTES + id.len()
}

#[cfg(test)]
mod tests;
