//! What a member may conclude from its table, and what share of a common budget it may take. Arithmetic alone.
//!
//! **A cut is never taken for a death.** One that is silent may be dead, stopped, or on the other side of a cut, where it
//! goes on; nothing here can tell. So a silent member keeps its part: with `expected` (S) dispatchers by the platform's
//! settings or by the table, whichever is more, a silent one may go on taking 1/S of a budget. Those that hear each other,
//! m of them, share what k silent ones leave: (1 - k/S) / m each. A member in the smaller part, or alone, takes 1/S, as
//! without any of this. Then the shares of all that run sum to 1 at the most: with m members on the larger side and k on
//! the other, m (1 - k/S) / m + k / S = 1; with halves, S members at 1/S. Only those that left on purpose, or were never
//! there, free their part; and a share rises no sooner than [`crate::Settings::hold`] after the reason for the smaller
//! one, in which nothing that one that left had begun can still land. One that is cut off must know it sooner than the
//! others let their parts grow: two of its last four probes without an answer tell it, long before any suspicion and the
//! hold after it are over. One that starts takes nothing until it has been heard by another, or has waited for that in vain,
//! and a hold has passed, in which the others hear of it; one that starts inside a cut adds 1/S at the most.

use crate::Micros;
use std::collections::VecDeque;

/// How a member stands to the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// It has begun, and nobody has answered yet.
    Joining,
    /// No other is known: it is the whole group.
    Only,
    /// It hears all that are known.
    All,
    /// It hears more than half of them, itself among them.
    Larger,
    /// It hears a half of them or less.
    Smaller,
    /// It hears none of them.
    Alone,
    /// It hears others, and none of them answers it: it is heard by nobody.
    Unheard,
}

impl Part {
    /// From what is known: others that are not known to have left, those of them that answer, and whether any is heard.
    pub fn of(joined: bool, others: usize, answering: usize, heard: bool) -> Part {
        match (joined, others, answering) {
            (false, _, _) => Part::Joining,
            (_, 0, _) => Part::Only,
            (_, others, answering) if answering >= others => Part::All,
            (_, _, 0) if heard => Part::Unheard,
            (_, _, 0) => Part::Alone,
            (_, others, answering) if (answering + 1) * 2 > others + 1 => Part::Larger,
            _ => Part::Smaller,
        }
    }

    /// Whether it may take the part of ones that left or never were there.
    pub fn may_grow(self) -> bool {
        matches!(self, Part::Only | Part::All | Part::Larger)
    }
}

/// Whether the views agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Agreement {
    /// How this member stands.
    pub part: Part,
    /// The digest of its own table.
    pub digest: u64,
    /// Members that it holds for alive or suspect, itself among them.
    pub alive: usize,
    /// Members that are silent.
    pub silent: usize,
    /// Of the others alive, those whose last word had the same digest.
    pub same: usize,
}

impl Agreement {
    /// Whether all that are alive see the same.
    pub fn agreed(&self) -> bool {
        self.same + 1 >= self.alive
    }
}

/// The divisor of a common budget: a member may take one part of so many. `m` members hear each other, `silent` do not,
/// `expected` are told by the platform; `part` decides who may take more than one of `expected`.
/// Without being `sure` that it hears most others, a member takes one of `expected` as well.
pub fn divisor(part: Part, sure: bool, m: usize, silent: usize, expected: usize) -> usize {
    let all = expected.max(m + silent).max(1);
    match part {
        Part::Joining => all.saturating_mul(1_024),
        _ if !part.may_grow() || !sure || silent >= all => all,
        _ => (m * all).div_ceil(all - silent).clamp(m.max(1), all),
    }
}

/// A divisor that rises at once, and falls only once the larger one has not held for `hold`.
#[derive(Clone, Debug, Default)]
pub struct Held {
    /// Falling values, each until when it holds.
    marks: VecDeque<(Micros, usize)>,
}

impl Held {
    /// The divisor to go by, `now` being the raw one.
    pub fn update(&mut self, now: Micros, hold: Micros, raw: usize) -> usize {
        // What held until now holds on from now.
        if let Some(last) = self.marks.back_mut() {
            last.0 = now.saturating_add(hold);
        }
        while self.marks.back().is_some_and(|(_, value)| *value <= raw) {
            self.marks.pop_back();
        }
        self.marks.push_back((now.saturating_add(hold), raw));
        while self.marks.len() > 1 && self.marks.front().is_some_and(|(until, _)| *until <= now) {
            self.marks.pop_front();
        }
        self.marks.front().map_or(raw, |(_, value)| *value)
    }

    /// When it may next fall.
    pub fn due(&self) -> Micros {
        if self.marks.len() > 1 { self.marks[0].0 } else { Micros::MAX }
    }
}

#[cfg(test)]
mod tests;
