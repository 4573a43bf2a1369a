//! Local health score (Lifeguard, 'Local Health Multiplier'): a member that is itself slow waits longer before it
//! suspects others. The score is bounded by [`MAX_SCORE`].

/// The score of the worst health.
pub(crate) const MAX_SCORE: u32 = 8;

/// The local health score: 0 is healthy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LocalHealth(u32);

impl LocalHealth {
    /// Records a probe that was answered in time.
    pub fn improve(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// Records a failed probe, or a suspicion of this member that it had to refute.
    pub fn degrade(&mut self) {
        self.0 = (self.0 + 1).min(MAX_SCORE);
    }

    /// Records a stall of this process: packets missed during it are no evidence against other members.
    pub fn degrade_after_stall(&mut self) {
        self.0 = (self.0 + 3).min(MAX_SCORE);
    }

    /// Returns the score, from 0 (healthy) to [`MAX_SCORE`].
    pub fn score(self) -> u32 {
        self.0
    }

    /// Multiplies a time-out or period by the score plus one.
    pub fn scale(self, time: u64) -> u64 {
        time.saturating_mul(u64::from(self.0) + 1)
    }
}
