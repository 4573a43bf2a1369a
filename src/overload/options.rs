//! What the operator says of budgets and the level: `[overload]` of an operator's file.

use crate::api::Micros;

/// Figures of `[overload]`; those of a whole fleet must be alike at all its dispatchers.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Second and later tries at workers that the whole fleet may make in a second; 0: no such budget.
    pub resends: u64,
    /// Orders to load that it may give in a second; 0: no such budget.
    pub orders: u64,
    /// Of each dispatcher's part so many thousandths are never lent.
    pub floor: u64,
    /// How long a lease lasts.
    pub lease: Micros,
    /// A queue at workers that stands longer than this raises the level; 0: there is no level.
    pub queue: Micros,
    /// How long a level stays before it falls.
    pub stay: Micros,
    /// How long an executor that failed is let in by a ramp once it answers again; 0: there are no circuits.
    pub ramp: Micros,
    /// The time between two trials of one that fails, at first.
    pub trial: Micros,
}
