//! Where a group stands to one zone: its step, the epoch of it, and the times of the way back.

use crate::{Micros, Terms};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

/// The share of the usual traffic at each step, in thousandths.
pub const SHARES: [u64; 5] = [0, 60, 250, 500, 1_000];
/// The highest step: nothing is held back.
pub const TOP: u8 = 4;
/// Leavings that follow each other within this time make the next stay longer, up to so many doublings.
const CALM: Micros = 60_000_000;
const MOST_DOUBLINGS: u32 = 4;
/// A stay is longer by up to this share of it, alike for all of a fleet and another for each zone and epoch.
const JITTER: u64 = 4;

/// Why a step is what it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// Nothing was ever wrong.
    #[default]
    Usual,
    /// Its workers were gone.
    Gone,
    /// It was silent to this group.
    Silent,
    /// It was slow.
    Slow,
    /// It is on the way back, or came back.
    Returns,
    /// It did worse on the way back.
    Worse,
}

/// A group's place, as one member knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Counts the group's changes.
    pub epoch: u64,
    /// From 0 (nothing but trials) to [`TOP`].
    pub step: u8,
    /// Why.
    pub reason: Reason,
    /// Since when.
    pub since: Micros,
    /// Not higher before this.
    pub until: Micros,
    /// When the way back began: the first answers after the zone was left.
    pub back: Option<Micros>,
    /// Answers that this member had in this epoch.
    pub good: u32,
    leaves: u32,
    left: Option<Micros>,
}

/// What bounds the way back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// Its workers start anew, with nothing loaded and a part of their capacity.
    Cold,
    /// They ran all the time: those inside say so.
    Warm,
}

impl Default for Place {
    fn default() -> Place {
        Place {
            epoch: 0,
            step: TOP,
            reason: Reason::Usual,
            since: 0,
            until: 0,
            back: None,
            good: 0,
            leaves: 0,
            left: None,
        }
    }
}

impl Place {
    /// Moves down: from the top a leaving, on the way back one step. `past` is the epoch of those that went before, if any.
    pub fn down(&mut self, now: Micros, zone: &str, step: u8, reason: Reason, past: u64, terms: &Terms) {
        self.moved(now, self.epoch.saturating_add(1).max(past), step, reason);
        self.stay(now, zone, terms);
    }

    /// One step up.
    pub fn up(&mut self, now: Micros, past: u64, terms: &Terms) {
        if self.step == 0 {
            self.back = Some(now);
        }
        self.moved(now, self.epoch.saturating_add(1).max(past), (self.step + 1).min(TOP), Reason::Returns);
        self.until = now + terms.dwell;
    }

    /// Stands where others of the group stand.
    pub fn follow(&mut self, now: Micros, zone: &str, to: (u64, u8, Reason), terms: &Terms) {
        let (epoch, step, reason) = to;
        if step != self.step {
            let down = step < self.step;
            if self.step == 0 {
                self.back = Some(now);
            }
            self.moved(now, epoch, step, reason);
            if down {
                self.stay(now, zone, terms);
            } else {
                self.until = now + terms.dwell;
            }
        }
        self.epoch = epoch;
    }

    /// A trial failed: later. One request in a stay is no burden, so that the stay is not longer for it.
    pub fn put_off(&mut self, now: Micros, terms: &Terms) {
        (self.since, self.good, self.reason) = (now, 0, Reason::Worse);
        self.until = now + terms.stay;
    }

    fn moved(&mut self, now: Micros, epoch: u64, step: u8, reason: Reason) {
        (self.epoch, self.step, self.reason, self.since, self.good) = (epoch, step, reason, now, 0);
    }

    /// Begins a stay: longer each time, as long as no calm time lies between; forgotten after one.
    fn stay(&mut self, now: Micros, zone: &str, terms: &Terms) {
        let again = self.left.is_some_and(|left| now < left + CALM);
        self.leaves = if again { (self.leaves + 1).min(MOST_DOUBLINGS) } else { 0 };
        self.left = Some(now);
        let stay = terms.stay << self.leaves;
        let mut hasher = SipHasher13::new();
        (zone, self.epoch).hash(&mut hasher);
        self.until = now + stay + hasher.finish() % (stay / JITTER).max(1);
    }

    /// What of its usual traffic the zone bears now, in thousandths.
    pub fn bears(&self, now: Micros, pace: Pace, terms: &Terms) -> u64 {
        let (Some(back), Pace::Cold) = (self.back, pace) else { return 1_000 };
        let age = now.saturating_sub(back).min(terms.warm);
        let present = terms.cold + (1_000 - terms.cold.min(1_000)) * age / terms.warm.max(1);
        (present * terms.bears / 1_000).min(1_000)
    }

    /// Whether the next step's time has come: the stay is over, and the workers together bear it.
    pub fn may_rise(&self, now: Micros, pace: Pace, terms: &Terms) -> bool {
        let next = SHARES[usize::from((self.step + 1).min(TOP))];
        let bears = self.step == 0 || self.bears(now, pace, terms) >= next;
        self.step < TOP && now >= self.until && bears
    }

    /// For how long it has stood so, in milliseconds.
    pub fn age_ms(&self, now: Micros) -> u32 {
        (now.saturating_sub(self.since) / 1_000).min(u64::from(u32::MAX)) as u32
    }
}

#[cfg(test)]
mod tests;
