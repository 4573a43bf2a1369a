//! Exponentially decaying sums of samples, from which the router derives its estimates.
//!
//! The caller passes in the clock, the half-life, the limit of samples and the prior. No I/O and no decisions; constant size.

use crate::api::Micros;
use serde::{Deserialize, Serialize};

/// Sum of samples that decay exponentially with time, and their weight.
#[derive(Default, Clone, Copy, Debug, Serialize, Deserialize)]
pub struct DecayingMean {
    sum: f64,
    weight: f64,
    at: Micros,
}

impl DecayingMean {
    /// Returns the share of sum and weight that is left after decay with the half-life `half_life`.
    fn remaining(&self, now: Micros, half_life: f64) -> f64 {
        // Avoids the exponential for most workers, which have no samples.
        if self.weight == 0.0 {
            return 0.0;
        }
        (-(now.saturating_sub(self.at) as f64) / half_life).exp2()
    }

    /// Adds a sample of weight 1.
    pub fn add(&mut self, now: Micros, half_life: f64, sample: f64) {
        let remaining = self.remaining(now, half_life);
        *self = DecayingMean {
            sum: self.sum * remaining + sample,
            weight: self.weight * remaining + 1.0,
            at: now,
        };
    }

    /// Adds a sample like [`DecayingMean::add`], but limits the weight of all samples to `max_samples`, so that the mean follows a
    /// change within about that many samples.
    pub fn add_limited(&mut self, now: Micros, half_life: f64, sample: f64, max_samples: f64) {
        let keep = ((max_samples - 1.0) / self.weight.max(1.0)).min(1.0);
        (self.sum, self.weight) = (self.sum * keep, self.weight * keep);
        self.add(now, half_life, sample);
    }

    /// Returns the mean of the samples and of the prior mean `expected`, which counts as `prior_samples` samples.
    pub fn mean_with_prior(&self, now: Micros, half_life: f64, expected: f64, prior_samples: f64) -> f64 {
        let remaining = self.remaining(now, half_life);
        (self.sum * remaining + prior_samples * expected) / (self.weight * remaining + prior_samples)
    }

    /// Returns the mean of the samples without a prior, however old they are; `None` without any.
    pub fn own_mean(&self) -> Option<f64> {
        (self.weight > 0.0).then(|| self.sum / self.weight)
    }

    /// Returns the weight that is left after decay, in samples.
    pub fn samples(&self, now: Micros, half_life: f64) -> f64 {
        self.weight * self.remaining(now, half_life)
    }

    /// Returns the rate of samples per microsecond.
    pub fn rate(&self, now: Micros, half_life: f64) -> f64 {
        self.samples(now, half_life) * std::f64::consts::LN_2 / half_life
    }

    /// Returns the same evidence for a clock that is `behind` this one by so many microseconds.
    pub fn rebased(self, behind: Micros) -> DecayingMean {
        DecayingMean { at: self.at.saturating_sub(behind), ..self }
    }

    /// Returns whether the weight is finite and not negative, and the sum at most `max` per sample in magnitude.
    pub fn is_plausible(&self, max: f64) -> bool {
        self.weight >= 0.0 && self.weight.is_finite() && self.sum.abs() <= max * self.weight.max(1.0)
    }
}

#[cfg(test)]
mod tests;
