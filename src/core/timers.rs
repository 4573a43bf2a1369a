//! A queue of the engine's timers, earliest first.
//!
//! Timers that expire at the same time fire in the order of the variants of [`TimerKind`]: attempts end
//! before the decision module is woken, so that it decides on their results, and the engine's own check of
//! the request deadline comes last.

use super::attempt_result::AttemptId;
use crate::api::{Micros, RequestId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What an expired timer stands for. The order of the variants is the firing order at equal times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerKind {
    /// The deadline of an attempt.
    AttemptTimeout(AttemptId),
    /// The latest time at which an attempt that repeats a keyed request may still be sent.
    RepeatSendDeadline(AttemptId),
    /// The time limit of a load order.
    LoadOrderTimeout(u64),
    /// A timer set by the decision module, with its cookie.
    RouterWakeup(u64),
    /// The deadline of a request.
    RequestDeadline(RequestId),
}

#[derive(Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Micros, TimerKind)>>,
}

impl Timers {
    pub fn add(&mut self, at: Micros, kind: TimerKind) {
        self.heap.push(Reverse((at, kind)));
    }

    /// Returns the expiry of the earliest timer.
    pub fn next_expiry(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes and returns the earliest timer that has expired at `now`.
    pub fn pop_expired(&mut self, now: Micros) -> Option<TimerKind> {
        if self.next_expiry()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, kind))| kind)
    }
}
