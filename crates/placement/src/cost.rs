//! A cost estimate with its uncertainty.

use std::iter::Sum;
use std::ops::Add;

/// An estimated cost in microseconds, in the unit of the module's other estimates. The variance is that of the estimate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// The mean.
    pub mean: f64,
    /// The variance of the estimate of the mean, not that of single observations.
    pub var: f64,
}

impl Cost {
    /// Returns a cost that is known exactly.
    pub fn exact(mean: f64) -> Cost {
        Cost { mean, var: 0.0 }
    }

    /// Returns a cost from its mean and standard deviation.
    pub fn with_deviation(mean: f64, deviation: f64) -> Cost {
        Cost { mean, var: deviation * deviation }
    }

    /// Returns the expected cost of an event with this probability. The variance stays that of the mean: whether the event
    /// happens in one session is random, and no reason to delay a choice that applies to all sessions.
    pub fn with_chance(self, chance: f64) -> Cost {
        let chance = chance.clamp(0.0, 1.0);
        Cost { mean: chance * self.mean, var: chance * chance * self.var }
    }

    /// Returns the cost divided by a number of uses, at least 1.
    pub fn per_use(self, uses: f64) -> Cost {
        let uses = uses.max(1.0);
        Cost { mean: self.mean / uses, var: self.var / (uses * uses) }
    }

    /// Returns whether the cost is less than another by more than this many standard deviations of their difference.
    pub fn is_clearly_less(self, other: Cost, deviations: f64) -> bool {
        self.mean + deviations * (self.var + other.var).sqrt() < other.mean
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
