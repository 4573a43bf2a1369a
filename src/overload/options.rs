//! Settings of overload control: `[overload]` of an operator's file.

use crate::api::Micros;

/// Settings of `[overload]`; they must be the same at all dispatchers of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Second and later attempts at workers that the whole fleet may make per second; 0 disables the budget.
    pub resends_per_s: u64,
    /// Load orders that the whole fleet may give per second; 0 disables the budget.
    pub orders_per_s: u64,
    /// Fraction of each dispatcher's part that is never lent, in thousandths.
    pub floor: u64,
    /// Duration of a lease.
    pub lease_us: Micros,
    /// Standing queueing time at workers above which the admission level rises; 0 disables admission control.
    pub max_queue_us: Micros,
    /// Time for which a level is held before it falls.
    pub level_hold_us: Micros,
    /// Duration of the slow start of an executor that answers again after a failure; 0 disables circuits.
    pub ramp_us: Micros,
    /// Initial interval between two trials of a failed executor.
    pub trial_interval_us: Micros,
}
