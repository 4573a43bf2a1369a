//! Relative sizes of requests, estimated from the clients' hints at their work.
//!
//! Hints are noisy to an unknown degree. The ratio of a request's hint to the usual hint of its function is raised to a power
//! that gives the request's size. The power is learned for each class by least squares on logarithms (of the run time over
//! that expected of a usual request, against the ratio). Hints that predict nothing thus lead to a power of 0 and a size of
//! 1, as for a request without a hint. No I/O and no decisions; constant size.

use crate::api::Micros;
use serde::{Deserialize, Serialize};

/// Limit of the number of hints that a mean represents; beyond it, the mean becomes an exponential moving average.
const MAX_SAMPLES: f64 = 200.0;
/// The usual hint of the class counts as this many hints of a function.
const CLASS_SAMPLES: f64 = 2.0;
/// Ratios are limited to this value and its inverse, as larger ones are mistakes.
const MAX_RATIO: f64 = 10.0;
/// Prior for a power of 0, as a sum of squared logarithms of ratios.
const POWER_PRIOR: f64 = 20.0;
/// Share of the older samples' weight that is left after each new sample.
const POWER_DECAY: f64 = 0.995;
/// Run times relative to the expected ones are limited to this value and its inverse, so that an outlier counts no more.
const MAX_ERROR: f64 = 20.0;

/// Mean of the hints received, in microseconds of work.
#[derive(Default, Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HintMean {
    mean: f64,
    /// Number of hints that the mean represents, at most [`MAX_SAMPLES`].
    #[serde(rename = "seen")]
    count: f64,
}

impl HintMean {
    /// Returns the mean and the number of hints in single precision, for a compact record.
    pub fn to_compact(self) -> (f32, f32) {
        (self.mean as f32, self.count as f32)
    }

    /// Restores the result of [`HintMean::to_compact`].
    pub fn from_compact((mean, count): (f32, f32)) -> HintMean {
        HintMean { mean: f64::from(mean), count: f64::from(count) }
    }

    /// Includes a hint in the mean.
    pub fn add(&mut self, work: f64) {
        self.count = (self.count + 1.0).min(MAX_SAMPLES);
        self.mean += (work - self.mean) / self.count;
    }

    /// Returns the ratio of a hint to the usual one, with the mean of the class as prior.
    pub fn ratio(&self, work: f64, class: &HintMean) -> f64 {
        let prior = if class.count > 0.0 { class.mean } else { work };
        let usual = (self.mean * self.count + prior * CLASS_SAMPLES) / (self.count + CLASS_SAMPLES);
        (work / usual.max(1.0)).clamp(1.0 / MAX_RATIO, MAX_RATIO)
    }
}

/// Learned power of the hint ratio that predicts run times: the slope of a regression line through the origin.
#[derive(Default, Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HintExponent {
    /// Decaying sum of products of the logarithms of ratio and relative run time.
    xy: f64,
    /// Decaying sum of squared logarithms of ratios.
    xx: f64,
}

impl HintExponent {
    /// Returns the power, from 0 (hints predict nothing) to 1 (run times are proportional to hints).
    pub fn exponent(&self) -> f64 {
        (self.xy / (self.xx + POWER_PRIOR)).clamp(0.0, 1.0)
    }

    /// Includes the observation that a request with this hint ratio ran `error` times as long as a usual one.
    pub fn learn(&mut self, ratio: f64, error: f64) {
        let x = ratio.ln();
        let y = error.clamp(1.0 / MAX_ERROR, MAX_ERROR).ln();
        if x.is_finite() && y.is_finite() {
            self.xy = self.xy * POWER_DECAY + x * y;
            self.xx = self.xx * POWER_DECAY + x * x;
        }
    }
}

/// Relative size of a request, as estimated on its arrival.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkHint {
    /// Ratio of its hint to the usual hint of its function; 1 without a hint.
    pub ratio: f64,
    /// Predicted ratio of its run time to that of a usual request.
    pub run_time_factor: f64,
}

impl Default for WorkHint {
    fn default() -> WorkHint {
        WorkHint { ratio: 1.0, run_time_factor: 1.0 }
    }
}

impl WorkHint {
    /// Estimates the size of a request from its hint, and includes the hint in the means.
    pub fn estimate(
        work: Option<Micros>,
        function: &mut HintMean,
        class: &mut HintMean,
        power: HintExponent,
    ) -> WorkHint {
        let Some(work) = work.filter(|work| *work > 0).map(|work| work as f64) else {
            return WorkHint::default();
        };
        let ratio = function.ratio(work, class);
        function.add(work);
        class.add(work);
        WorkHint { ratio, run_time_factor: ratio.powf(power.exponent()) }
    }
}

#[cfg(test)]
mod tests;
