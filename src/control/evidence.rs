//! Sums of samples that fade with time: the arithmetic of what a router learns. Nothing is decided here: how fast
//! samples fade, how many count, and what is expected without them, the caller says.

use crate::api::Micros;
use serde::{Deserialize, Serialize};

/// A sum of samples that fade with time, and their weight.
#[derive(Default, Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Evidence {
    sum: f64,
    weight: f64,
    at: Micros,
}

impl Evidence {
    /// The share of what was added that is left, `half` being the time in which half of it fades.
    fn left(&self, now: Micros, half: f64) -> f64 {
        // Without samples nothing is left, whatever the time; most workers are like that.
        if self.weight == 0.0 {
            return 0.0;
        }
        (-(now.saturating_sub(self.at) as f64) / half).exp2()
    }

    /// Adds a sample.
    pub fn add(&mut self, now: Micros, half: f64, sample: f64) {
        let left = self.left(now, half);
        *self = Evidence { sum: self.sum * left + sample, weight: self.weight * left + 1.0, at: now };
    }

    /// Like `add`, but only the `last` few samples count, however many come.
    pub fn learn(&mut self, now: Micros, half: f64, sample: f64, last: f64) {
        let keep = ((last - 1.0) / self.weight.max(1.0)).min(1.0);
        (self.sum, self.weight) = (self.sum * keep, self.weight * keep);
        self.add(now, half, sample);
    }

    /// The mean of the samples and of what is expected without them, which counts as `doubt` samples.
    pub fn mean(&self, now: Micros, half: f64, expected: f64, doubt: f64) -> f64 {
        let left = self.left(now, half);
        (self.sum * left + doubt * expected) / (self.weight * left + doubt)
    }

    /// The mean of the samples alone, however old they are; `None` without any.
    pub fn own_mean(&self) -> Option<f64> {
        (self.weight > 0.0).then(|| self.sum / self.weight)
    }

    /// Samples that are left.
    pub fn samples(&self, now: Micros, half: f64) -> f64 {
        self.weight * self.left(now, half)
    }

    /// Samples for each microsecond.
    pub fn rate(&self, now: Micros, half: f64) -> f64 {
        self.samples(now, half) * std::f64::consts::LN_2 / half
    }

    /// The same, as it would be for a clock that is `behind`.
    pub fn earlier(self, behind: Micros) -> Evidence {
        Evidence { at: self.at.saturating_sub(behind), ..self }
    }

    /// Whether its figures are numbers of a sum of samples, none above `most` on the average.
    pub fn sane(&self, most: f64) -> bool {
        self.weight >= 0.0 && self.weight.is_finite() && self.sum.abs() <= most * self.weight.max(1.0)
    }
}

#[cfg(test)]
mod tests;
