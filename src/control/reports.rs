//! What a worker's load report is worth by its age: arithmetic alone, nothing is decided here.
//!
//! Where the settings say that answers carry load reports, a worker tells how many requests it holds. A report is
//! refreshed now and then, comes late and is noisy, and the settings tell none of those figures; so it counts in full
//! only at the moment it is heard and fades from then on. What this router has out there itself is known better and is
//! taken off. A report that can't be read (no figure, negative, absurd) is as good as none: a worker may report wrongly
//! or not at all, and is used as if nobody reported.

use crate::api::{Micros, ReportField};
use serde::{Deserialize, Serialize};

/// A report has lost two thirds of its worth after this long: a few answers' time at a busy worker, and no more than
/// the reports' own lateness (protocol, 'Load reports': refreshed now and then, late, a little noisy).
const WORTH_FADES: f64 = 400_000.0;
/// A report of more requests held than this is taken for a slip.
const MOST_HELD: f64 = 10_000.0;

/// Where in a report the requests held stand, if the settings name them.
#[derive(Default, Clone, Copy, Debug, PartialEq)]
pub struct Fields {
    held: Option<usize>,
}

impl Fields {
    /// What the settings say of the values.
    pub fn of(fields: &[ReportField]) -> Fields {
        Fields { held: fields.iter().position(|f| *f == ReportField::Inflight) }
    }

    /// Whether workers tell how many requests they hold.
    pub fn told(&self) -> bool {
        self.held.is_some()
    }

    /// The requests held, where the report tells them and they can be believed.
    pub fn held(&self, report: &[f64]) -> Option<f64> {
        let value = report.get(self.held?).copied()?;
        (0.0..=MOST_HELD).contains(&value).then_some(value)
    }
}

/// The last report of a worker.
#[derive(Default, Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    at: Micros,
    /// Requests that it held for others.
    others: f64,
    heard: bool,
}

impl Report {
    /// A worker that told `held` while this router had `own` requests out there.
    pub fn hear(now: Micros, held: f64, own: usize) -> Report {
        Report { at: now, others: (held - own as f64).max(0.0), heard: true }
    }

    /// Requests held for others, and what that is worth now, from 0 (nothing) to 1.
    pub fn others(&self, now: Micros) -> (f64, f64) {
        if !self.heard {
            return (0.0, 0.0);
        }
        (self.others, (-(now.saturating_sub(self.at) as f64) / WORTH_FADES).exp())
    }
}

#[cfg(test)]
mod tests;
