//! What the operator says of zones: `[zones]` of an operator's file.

use crate::api::{Micros, Settings};
use ochreward_zones::Terms;

/// The share of what a cold worker may be sent at the most that is used, in thousandths: messages and clocks are late.
const USED: f64 = 600.0;

/// Figures of `[zones]`, which must be alike at all dispatchers of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// A worker that was sent something and says nothing for so long is silent.
    pub silent: Micros,
    /// A zone that was left is left alone for so long at first.
    pub stay: Micros,
    /// The time between two steps of the way back at the least.
    pub dwell: Micros,
}

impl Options {
    /// Times and bounds; what cold workers bear is the platform's to tell.
    pub fn terms(&self, settings: &Settings) -> Terms {
        Terms {
            silent: self.silent,
            stay: self.stay,
            dwell: self.dwell,
            cold: (settings.cold_share * 1_000.0) as u64,
            warm: settings.warm_after.max(1),
            bears: (settings.fall_multiple * USED) as u64,
            ..Terms::default()
        }
    }
}
