//! Timers, earliest first. Of those due at one time, attempts end before the module is woken, and the engine's
//! own guard on deadlines comes last.

use super::attempt::AttemptId;
use crate::api::{Micros, RequestId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// An attempt has had its time.
    Attempt(AttemptId),
    /// An attempt that repeats a keyed request must have been sent.
    Window(AttemptId),
    /// An order to load has had its time.
    Order(u64),
    /// The module asked to be woken.
    Router(u64),
    /// A request must have been answered.
    Deadline(RequestId),
}

#[derive(Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Micros, Due)>>,
}

impl Timers {
    pub fn add(&mut self, at: Micros, due: Due) {
        self.heap.push(Reverse((at, due)));
    }

    pub fn due(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    pub fn pop(&mut self, now: Micros) -> Option<Due> {
        if self.due()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, due))| due)
    }
}
