//! Counts the votes of a group on a zone. Pure arithmetic.
//!
//! A member without observations of a zone has no vote on it. An opinion carries if it is held by more than
//! half of the members that vote and by at least a quarter of the group ([`quorum`]). So a minority of the
//! members that use the zone changes nothing, and neither do fewer than a quarter of the group, whatever the
//! others observe.

use crate::{GroupState, Opinion, Reason, SafetyRules, TOP_STEP, ZoneReport};

/// Returns the number of members of a group that must share an opinion for it to carry: both of two,
/// otherwise a quarter, at least two.
pub fn quorum(group: usize) -> usize {
    if group <= 2 { group.max(1) } else { group.div_ceil(4).max(2) }
}

/// The votes on one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Votes {
    /// Members of the group, this one included.
    pub group: usize,
    pub well: usize,
    pub slow: usize,
    pub silent: usize,
    pub gone: usize,
    /// Members that had an answer in this epoch.
    pub members_with_answers: usize,
    /// Answers of all members in this epoch.
    pub answers: u64,
}

impl Votes {
    pub fn add(&mut self, opinion: Opinion) {
        match opinion {
            Opinion::None => {}
            Opinion::Well => self.well += 1,
            Opinion::Slow => self.slow += 1,
            Opinion::Silent => self.silent += 1,
            Opinion::Gone => self.gone += 1,
        }
    }

    pub fn failing(&self) -> usize {
        self.silent + self.gone
    }

    fn total(&self) -> usize {
        self.well + self.slow + self.failing()
    }

    fn carries(&self, count: usize) -> bool {
        count >= quorum(self.group) && 2 * count > self.total()
    }

    /// Returns whether the zone is to be left.
    pub fn must_leave(&self) -> bool {
        self.carries(self.failing())
    }

    /// Returns whether the zone's workers are gone, for members inside and outside alike.
    pub fn workers_gone(&self) -> bool {
        self.carries(self.gone)
    }

    /// Returns whether the zone is slow to most voters and to half of the group. The bar is higher than for
    /// leaving because a slow zone is not urgent.
    pub fn is_slow(&self) -> bool {
        self.carries(self.slow) && 2 * self.slow >= self.group
    }

    /// Returns whether the zone is well to at least half of the members that vote now; answers of this epoch
    /// are counted separately.
    pub fn is_well(&self) -> bool {
        2 * self.well >= self.total()
    }

    /// Adds the report of a member of the same group, which may be in another epoch. A report of a past epoch
    /// describes an earlier state and is not counted.
    pub fn add_report(&mut self, word: &ZoneReport, state: &GroupState, rules: SafetyRules) {
        let same_epoch = word.epoch == state.epoch
            || (word.step == TOP_STEP && state.step == TOP_STEP)
            || !rules.check_epochs;
        if same_epoch {
            self.add(word.opinion);
        }
        // Two parts of a partitioned group may have reached the same epoch through different steps.
        if (word.epoch, word.step) == (state.epoch, state.step) && word.answers > 0 {
            self.members_with_answers += 1;
            self.answers += u64::from(word.answers);
        }
        // A member that has already left the zone votes by its step; during the return each step is judged by
        // its own answers.
        if !same_epoch && word.epoch > state.epoch && state.step == TOP_STEP {
            self.add(match (word.step, word.reason) {
                (0, Reason::Gone) => Opinion::Gone,
                (0, _) => Opinion::Silent,
                (_, Reason::Slow) => Opinion::Slow,
                _ => word.opinion,
            });
        }
    }
}

#[cfg(test)]
mod tests;
