//! Settings of zone handling: `[zones]` of an operator's file.

use crate::api::{Micros, Settings};
use ochreward_zones::Terms;

/// Fraction of the maximum load of a cold worker that is used, in thousandths; the rest is a margin for late messages and
/// clocks.
const COLD_LOAD_PER_MILLE: f64 = 600.0;

/// Settings of `[zones]`; they must be the same at all dispatchers of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Time without an answer to something sent after which a worker counts as silent.
    pub silence_us: Micros,
    /// Initial time for which a zone that was left receives no trials.
    pub leave_us: Micros,
    /// Minimum time between two steps of the return to a zone.
    pub step_interval_us: Micros,
}

impl Options {
    /// Returns the terms of the zone state machine; the load that cold workers can take comes from the platform's settings.
    pub fn terms(&self, settings: &Settings) -> Terms {
        Terms {
            silent: self.silence_us,
            stay: self.leave_us,
            dwell: self.step_interval_us,
            cold: (settings.cold_share * 1_000.0) as u64,
            warm: settings.warm_after.max(1),
            bears: (settings.fall_multiple * COLD_LOAD_PER_MILLE) as u64,
            ..Terms::default()
        }
    }
}
