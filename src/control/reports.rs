//! Load reports of workers, weighted by their age.
//!
//! Where the settings say that answers carry load reports, a report states how many requests the worker holds. Reports are
//! refreshed now and then, arrive late and are noisy, and the settings state none of these figures. A report therefore has
//! full weight only when it is received, and its weight decays from then on. This router's own requests at the worker are
//! known exactly and are subtracted. A report without a valid figure (missing, negative or implausibly large) is ignored:
//! such a worker is used as one that does not report. No I/O and no decisions; constant size per worker.

use crate::api::{Micros, ReportField};
use serde::{Deserialize, Serialize};

/// Time constant of a report's weight, in microseconds: after it, nearly two thirds of the weight are gone. It is the time
/// of a few answers at a busy worker, and no longer than the reports' own delay (protocol, 'Load reports': refreshed now and
/// then, late, a little noisy).
const WEIGHT_DECAY_US: f64 = 400_000.0;
/// A report of more requests held than this is invalid.
const MAX_HELD: f64 = 10_000.0;

/// Index of the number of requests held among the values of a report, if the settings name it.
#[derive(Default, Clone, Copy, Debug, PartialEq)]
pub struct ReportFields {
    held: Option<usize>,
}

impl ReportFields {
    /// Finds the value among the report fields of the settings.
    pub fn of(fields: &[ReportField]) -> ReportFields {
        ReportFields { held: fields.iter().position(|f| *f == ReportField::Inflight) }
    }

    /// Returns whether workers report how many requests they hold.
    pub fn reports_held(&self) -> bool {
        self.held.is_some()
    }

    /// Returns the number of requests held, if the report contains a plausible one.
    pub fn held(&self, report: &[f64]) -> Option<f64> {
        let value = report.get(self.held?).copied()?;
        (0.0..=MAX_HELD).contains(&value).then_some(value)
    }
}

/// Last valid report of a worker.
#[derive(Default, Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    #[serde(rename = "at")]
    received_at: Micros,
    /// Requests held for other routers.
    others: f64,
    /// False until the first report.
    #[serde(rename = "heard")]
    received: bool,
}

impl LoadReport {
    /// Creates a report of `held` requests, received while this router had `own` requests at the worker.
    pub fn new(now: Micros, held: f64, own: usize) -> LoadReport {
        LoadReport { received_at: now, others: (held - own as f64).max(0.0), received: true }
    }

    /// Returns the number of requests held for other routers and the weight of that figure, from 0 (no report) to 1.
    pub fn held_for_others(&self, now: Micros) -> (f64, f64) {
        if !self.received {
            return (0.0, 0.0);
        }
        (self.others, (-(now.saturating_sub(self.received_at) as f64) / WEIGHT_DECAY_US).exp())
    }
}

#[cfg(test)]
mod tests;
