//! The functions that a router knows, in a bounded number of bytes: in full while they are asked for, as compact records
//! once they have been idle for a while, and forgotten by last use where there is no room. No request is decided here; the
//! clock is passed in.

use super::hints::Usual;
use super::tables::Function;
use crate::api::{FunctionId, Micros};
use hashlink::LinkedHashMap;
use slab::Slab;
use std::collections::HashMap;
use std::ops::{Index, IndexMut};

/// Bytes for functions where nobody says another number: with all else that a dispatcher holds, it fits 256 MB.
pub const USUAL_FUNCTION_BYTES: usize = 96 << 20;
/// Fewer bytes than this hold no function worth the name: a setting below it is a fault.
pub const LEAST_FUNCTION_BYTES: usize = 64 << 10;
/// Bytes of a function that is asked for, beside its name: the record, where it is listed, its preferred workers, and what
/// those that hold it have of it. Measured by `cargo bench --bench routing`.
const ACTIVE_BYTES: usize = size_of::<Function>() + 512;
/// Bytes of a compact record, beside the name: the record, its links, its place in the table, and the allocator's own.
const DORMANT_BYTES: usize = size_of::<Dormant>() + 64;
/// Bytes that a name takes beside its text.
const NAME_BYTES: usize = 32;
/// Steps of upkeep in one event: what falls due at once is spread over those that follow.
const UPKEEP_STEPS: usize = 16;

/// What is kept of a function that nobody asks for at the moment.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Dormant {
    class: u32,
    answers: u32,
    lanes: f32,
    told_load: Option<f32>,
    load: Option<f32>,
    run: f32,
    hinted: (f32, f32),
}

impl Dormant {
    fn of(function: &Function) -> Dormant {
        Dormant {
            class: function.class as u32,
            answers: function.answers,
            lanes: function.lanes as f32,
            told_load: function.told_load.map(|t| t as f32),
            load: function.load.map(|t| t as f32),
            run: function.run as f32,
            hinted: function.hinted.parts(),
        }
    }

    fn woken(self, id: FunctionId, served: bool) -> Function {
        Function {
            id,
            served,
            class: self.class as usize,
            answers: self.answers,
            lanes: f64::from(self.lanes),
            told_load: self.told_load.map(f64::from),
            load: self.load.map(f64::from),
            run: f64::from(self.run),
            hinted: Usual::of_parts(self.hinted),
            ..Function::default()
        }
    }
}

/// All functions that are known.
#[derive(Default)]
pub(super) struct FunctionTable {
    active: Slab<Function>,
    slots: HashMap<FunctionId, usize>,
    /// The active ones by last use, those that never were served and those that were.
    used: [LinkedHashMap<usize, Micros>; 2],
    /// The others by last use, likewise.
    dormant: [LinkedHashMap<FunctionId, Dormant>; 2],
    bytes: usize,
    most_bytes: usize,
}

/// A function that was active and is not any more: what others hold of it by its slot must go.
#[derive(Debug)]
pub(super) struct Retired {
    /// Its slot.
    pub(super) slot: usize,
    /// Workers that hold something of it.
    pub(super) holders: Vec<u32>,
}

impl FunctionTable {
    /// An empty one.
    pub(super) fn new(most_bytes: usize) -> FunctionTable {
        FunctionTable { most_bytes, ..FunctionTable::default() }
    }

    /// From now on so many bytes may be used.
    pub(super) fn bound(&mut self, most_bytes: usize) {
        self.most_bytes = most_bytes;
        // A table that grows moves all that it holds at once, which no request should wait for.
        let room = most_bytes / (DORMANT_BYTES + NAME_BYTES + 16);
        self.dormant[1].reserve(room.saturating_sub(self.dormant[1].len()));
    }

    /// Functions known in full, and as compact records.
    pub(super) fn counts(&self) -> (usize, usize) {
        (self.active.len(), self.dormant.iter().map(LinkedHashMap::len).sum())
    }

    /// Bytes in use, by the table's own count.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// The slot of a function that is known in full.
    pub(super) fn slot(&self, id: &FunctionId) -> Option<usize> {
        self.slots.get(id).copied()
    }

    /// All that are known in full, by their slots.
    pub(super) fn iter(&self) -> impl Iterator<Item = (usize, &Function)> {
        self.active.iter()
    }

    /// Compact records, those used last first, as functions.
    pub(super) fn dormant(&self) -> impl Iterator<Item = Function> + '_ {
        let of = |served: usize| {
            self.dormant[served].iter().rev().map(move |(id, d)| d.woken(id.clone(), served == 1))
        };
        of(1).chain(of(0))
    }

    /// Forgets all and takes these in; their slots, in order.
    pub(super) fn replace(&mut self, now: Micros, functions: Vec<Function>) -> Vec<usize> {
        *self = FunctionTable::new(self.most_bytes);
        functions.into_iter().map(|function| self.insert(now, function)).collect()
    }

    /// The slot of a function that is asked for now: one that is dormant wakes, one that is not known begins as `first` says.
    pub(super) fn wake(&mut self, now: Micros, id: &FunctionId, first: impl FnOnce() -> Function) -> usize {
        if let Some(slot) = self.slot(id) {
            self.touch(now, slot);
            return slot;
        }
        let kept = (0..2).find_map(|served| Some((served == 1, self.dormant[served].remove(id)?)));
        let function = match kept {
            Some((served, dormant)) => {
                self.bytes -= dormant_bytes(id);
                dormant.woken(id.clone(), served)
            }
            None => first(),
        };
        self.insert(now, function)
    }

    /// Takes in a function that is not known.
    pub(super) fn insert(&mut self, now: Micros, function: Function) -> usize {
        let (id, served) = (function.id.clone(), function.served);
        self.bytes += active_bytes(&id);
        let slot = self.active.insert(function);
        self.slots.insert(id, slot);
        self.used[usize::from(served)].insert(slot, now);
        slot
    }

    fn touch(&mut self, now: Micros, slot: usize) {
        let served = usize::from(self.active[slot].served);
        self.used[1 - served].remove(&slot);
        self.used[served].insert(slot, now);
    }

    /// An answer of it came: it is worth keeping longer.
    pub(super) fn served(&mut self, now: Micros, slot: usize) {
        if !std::mem::replace(&mut self.active[slot].served, true) {
            self.touch(now, slot);
        }
    }

    /// Makes dormant what nobody has asked for since `idle_since`, and forgets what there is no room for: those that never
    /// were served first, the longest unused first. A few at a time; what is in flight stays.
    pub(super) fn maintain(&mut self, now: Micros, idle_since: Micros) -> Vec<Retired> {
        let mut retired = Vec::new();
        for _ in 0..UPKEEP_STEPS {
            let over = self.bytes > self.most_bytes;
            let idle = (0..2).find_map(|served| self.oldest(now, served, idle_since));
            if let Some((slot, served)) = idle {
                let function = self.take_out(slot);
                self.bytes += dormant_bytes(&function.id);
                self.dormant[served].insert(function.id.clone(), Dormant::of(&function));
                retired.push(Retired { slot, holders: function.holders });
            } else if over && let Some((id, _)) = self.dormant[0].pop_front() {
                self.bytes -= dormant_bytes(&id);
            } else if over && let Some((slot, _)) = self.oldest(now, 0, now) {
                retired.push(Retired { slot, holders: self.take_out(slot).holders });
            } else if over && let Some((id, _)) = self.dormant[1].pop_front() {
                self.bytes -= dormant_bytes(&id);
            } else if over && let Some((slot, _)) = self.oldest(now, 1, now) {
                retired.push(Retired { slot, holders: self.take_out(slot).holders });
            } else {
                break;
            }
        }
        retired
    }

    /// The active one that was used longest ago, before `since`. One in flight counts as used now.
    fn oldest(&mut self, now: Micros, served: usize, since: Micros) -> Option<(usize, usize)> {
        let (slot, _) =
            self.used[served].front().map(|(slot, at)| (*slot, *at)).filter(|(_, at)| *at < since)?;
        if self.active[slot].in_flight > 0 {
            self.touch(now, slot);
            return None;
        }
        Some((slot, served))
    }

    fn take_out(&mut self, slot: usize) -> Function {
        let function = self.active.remove(slot);
        self.slots.remove(&function.id);
        for used in &mut self.used {
            used.remove(&slot);
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
    ACTIVE_BYTES + NAME_BYTES + id.len()
}

fn dormant_bytes(id: &FunctionId) -> usize {
    DORMANT_BYTES + NAME_BYTES + id.len()
}

#[cfg(test)]
mod tests;
