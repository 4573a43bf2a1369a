//! Calibration of predictions: predicted probabilities and costs compared with what happened. Memory is constant, since only
//! sums are kept.

use crate::Cost;

/// The number of bins of equal width for predicted probabilities.
const BINS: usize = 10;
/// Half the width of a 90% interval of the normal distribution, in standard deviations.
const INTERVAL_90_DEVIATIONS: f64 = 1.645;

/// One bin of a reliability diagram: the mean predicted probability and the observed frequency.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reliability {
    /// The number of predictions.
    pub count: u64,
    /// The mean of the predicted probabilities.
    pub predicted: f64,
    /// The share of the predicted events that occurred.
    pub observed: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bin {
    count: u64,
    predicted_sum: f64,
    occurred: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct CostTotals {
    count: u64,
    within_interval: u64,
    predicted_sum: f64,
    actual_sum: f64,
}

/// The accumulated comparison of predictions with observations.
#[derive(Clone, Debug, Default)]
pub struct Calibration {
    bins: [Bin; BINS],
    squared_error_sum: f64,
    costs: CostTotals,
}

impl Calibration {
    /// Records a predicted probability and whether the event occurred.
    pub fn chance(&mut self, predicted: f64, occurred: bool) {
        let predicted = predicted.clamp(0.0, 1.0);
        let bin = &mut self.bins[((predicted * BINS as f64) as usize).min(BINS - 1)];
        bin.count += 1;
        bin.predicted_sum += predicted;
        bin.occurred += u64::from(occurred);
        self.squared_error_sum += (predicted - f64::from(u8::from(occurred))).powi(2);
    }

    /// Records a predicted cost and the actual one.
    pub fn cost(&mut self, predicted: Cost, actual: f64) {
        let within = (actual - predicted.mean).abs() <= INTERVAL_90_DEVIATIONS * predicted.var.sqrt() + 1.0;
        self.costs.count += 1;
        self.costs.within_interval += u64::from(within);
        self.costs.predicted_sum += predicted.mean;
        self.costs.actual_sum += actual;
    }

    /// Returns the reliability of the predicted probabilities in bins of a tenth, without empty bins.
    pub fn reliability(&self) -> Vec<Reliability> {
        let reliability_of = |bin: &Bin| {
            let count = bin.count as f64;
            (bin.count > 0).then(|| Reliability {
                count: bin.count,
                predicted: bin.predicted_sum / count,
                observed: bin.occurred as f64 / count,
            })
        };
        self.bins.iter().filter_map(reliability_of).collect()
    }

    /// Returns the mean squared error of the predicted probabilities (Brier, 1950): 0 is perfect, 0.25 is that of always
    /// predicting one half.
    pub fn brier(&self) -> f64 {
        let count: u64 = self.bins.iter().map(|bin| bin.count).sum();
        self.squared_error_sum / count.max(1) as f64
    }

    /// Returns the share of costs within their 90% interval, and the ratio of the total actual to the total predicted cost.
    pub fn costs(&self) -> (f64, f64) {
        let totals = &self.costs;
        let within_share = totals.within_interval as f64 / totals.count.max(1) as f64;
        let ratio = if totals.predicted_sum > 0.0 { totals.actual_sum / totals.predicted_sum } else { 1.0 };
        (within_share, ratio)
    }
}
