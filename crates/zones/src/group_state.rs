//! State of a group with respect to one zone: its step, the step's epoch, and the timing of the return.

use crate::{Micros, Terms};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

/// Share of the usual traffic at each step, in thousandths.
pub const STEP_SHARES_PER_MILLE: [u64; 5] = [0, 60, 250, 500, 1_000];
/// The highest step, at which traffic is not limited.
pub const TOP_STEP: u8 = 4;
/// If a zone is left again within this time of the last departure, the hold is doubled, up to
/// [`MAX_HOLD_DOUBLINGS`] times.
const CALM_TIME: Micros = 60_000_000;
const MAX_HOLD_DOUBLINGS: u32 = 4;
/// A hold is extended by up to one part in this number, the same at all members and different for each zone
/// and epoch, so that zones do not return at the same time.
const JITTER_DIVISOR: u64 = 4;

/// Reason for the current step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The zone was never left.
    #[default]
    Usual,
    /// Its workers were gone.
    Gone,
    /// It was silent to this group.
    Silent,
    /// It was slow.
    Slow,
    /// It is returning, or has returned.
    Returns,
    /// It failed or slowed down during the return.
    Worse,
}

/// The state of a group for one zone, as one member holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupState {
    /// Counts the group's changes of step.
    pub epoch: u64,
    /// From 0 (trials only) to [`TOP_STEP`].
    pub step: u8,
    /// Reason for the step.
    pub reason: Reason,
    /// When the step was taken.
    pub changed_at: Micros,
    /// No step up before this time.
    pub until: Micros,
    /// When the return began: at the first answers after the zone was left.
    pub return_started_at: Option<Micros>,
    /// Answers that this member had in this epoch.
    pub answers: u32,
    hold_doublings: u32,
    last_left_at: Option<Micros>,
}

/// State of a returning zone's workers, which bounds the return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// Its workers start anew, with nothing loaded and a part of their capacity.
    Cold,
    /// Its workers never stopped, as the members inside report.
    Warm,
}

impl Default for GroupState {
    fn default() -> GroupState {
        GroupState {
            epoch: 0,
            step: TOP_STEP,
            reason: Reason::Usual,
            changed_at: 0,
            until: 0,
            return_started_at: None,
            answers: 0,
            hold_doublings: 0,
            last_left_at: None,
        }
    }
}

impl GroupState {
    /// Moves down: from the top step the group leaves the zone, during a return it goes back one step.
    /// `reported_epoch` is the highest epoch that other members reported for that step, if any.
    pub fn step_down(
        &mut self,
        now: Micros,
        zone: &str,
        step: u8,
        reason: Reason,
        reported_epoch: u64,
        terms: &Terms,
    ) {
        self.change_step(now, self.epoch.saturating_add(1).max(reported_epoch), step, reason);
        self.start_hold(now, zone, terms);
    }

    /// Moves up one step.
    pub fn step_up(&mut self, now: Micros, reported_epoch: u64, terms: &Terms) {
        if self.step == 0 {
            self.return_started_at = Some(now);
        }
        self.change_step(
            now,
            self.epoch.saturating_add(1).max(reported_epoch),
            (self.step + 1).min(TOP_STEP),
            Reason::Returns,
        );
        self.until = now + terms.dwell;
    }

    /// Adopts the epoch and step of other members of the group.
    pub fn follow(&mut self, now: Micros, zone: &str, to: (u64, u8, Reason), terms: &Terms) {
        let (epoch, step, reason) = to;
        if step != self.step {
            let down = step < self.step;
            if self.step == 0 {
                self.return_started_at = Some(now);
            }
            self.change_step(now, epoch, step, reason);
            if down {
                self.start_hold(now, zone, terms);
            } else {
                self.until = now + terms.dwell;
            }
        }
        self.epoch = epoch;
    }

    /// Defers the return after a failed trial. The hold is not doubled: one request per hold is no load.
    pub fn defer_return(&mut self, now: Micros, terms: &Terms) {
        (self.changed_at, self.answers, self.reason) = (now, 0, Reason::Worse);
        self.until = now + terms.stay;
    }

    fn change_step(&mut self, now: Micros, epoch: u64, step: u8, reason: Reason) {
        (self.epoch, self.step, self.reason, self.changed_at, self.answers) = (epoch, step, reason, now, 0);
    }

    /// Starts a hold: longer for each departure that follows the last one within [`CALM_TIME`], back to the
    /// initial length otherwise.
    fn start_hold(&mut self, now: Micros, zone: &str, terms: &Terms) {
        let left_recently = self.last_left_at.is_some_and(|left| now < left + CALM_TIME);
        self.hold_doublings =
            if left_recently { (self.hold_doublings + 1).min(MAX_HOLD_DOUBLINGS) } else { 0 };
        self.last_left_at = Some(now);
        let hold = terms.stay << self.hold_doublings;
        let mut hasher = SipHasher13::new();
        (zone, self.epoch).hash(&mut hasher);
        self.until = now + hold + hasher.finish() % (hold / JITTER_DIVISOR).max(1);
    }

    /// Returns the share of its usual traffic that the zone can take now, in thousandths.
    pub fn capacity_share(&self, now: Micros, workers: WorkerState, terms: &Terms) -> u64 {
        let (Some(return_started_at), WorkerState::Cold) = (self.return_started_at, workers) else {
            return 1_000;
        };
        let age = now.saturating_sub(return_started_at).min(terms.warm);
        let capacity = terms.cold + (1_000 - terms.cold.min(1_000)) * age / terms.warm.max(1);
        (capacity * terms.bears / 1_000).min(1_000)
    }

    /// Returns whether the next step is due: the hold is over, and the workers together can take the load.
    pub fn may_step_up(&self, now: Micros, workers: WorkerState, terms: &Terms) -> bool {
        let next = STEP_SHARES_PER_MILLE[usize::from((self.step + 1).min(TOP_STEP))];
        let within_capacity = self.step == 0 || self.capacity_share(now, workers, terms) >= next;
        self.step < TOP_STEP && now >= self.until && within_capacity
    }

    /// Returns the time since the last change of step, in milliseconds.
    pub fn age_ms(&self, now: Micros) -> u32 {
        (now.saturating_sub(self.changed_at) / 1_000).min(u64::from(u32::MAX)) as u32
    }
}

#[cfg(test)]
mod tests;
