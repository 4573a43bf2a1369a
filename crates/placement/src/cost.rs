//! A cost that is not known exactly.

use std::iter::Sum;
use std::ops::Add;

/// A cost in microseconds, as the module's estimates are: its mean and its variance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// What is expected.
    pub mean: f64,
    /// The square of how far off that usually is: what is not known, not what varies.
    pub var: f64,
}

impl Cost {
    /// One that is known exactly.
    pub fn sure(mean: f64) -> Cost {
        Cost { mean, var: 0.0 }
    }

    /// One that is known to within a standard deviation.
    pub fn within(mean: f64, deviation: f64) -> Cost {
        Cost { mean, var: deviation * deviation }
    }

    /// The same if it comes with this chance, else nothing. What is uncertain stays what is not known of the mean: whether one session
    /// happens to make the call is chance, and no reason to wait with a choice for all sessions.
    pub fn with_chance(self, chance: f64) -> Cost {
        let chance = chance.clamp(0.0, 1.0);
        Cost { mean: chance * self.mean, var: chance * chance * self.var }
    }

    /// Shared by so many.
    pub fn shared(self, by: f64) -> Cost {
        let by = by.max(1.0);
        Cost { mean: self.mean / by, var: self.var / (by * by) }
    }

    /// Whether it is smaller by more than what is uncertain of both, `sure` standard deviations.
    pub fn is_clearly_under(self, other: Cost, sure: f64) -> bool {
        self.mean + sure * (self.var + other.var).sqrt() < other.mean
    }
}

impl Add for Cost {
    type Output = Cost;

    fn add(self, other: Cost) -> Cost {
        Cost { mean: self.mean + other.mean, var: self.var + other.var }
    }
}

impl Sum for Cost {
    fn sum<I: Iterator<Item = Cost>>(costs: I) -> Cost {
        costs.fold(Cost::default(), Cost::add)
    }
}
