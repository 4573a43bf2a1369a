//! Where the rest of a session should go: to the zone where its pattern's copies stand (transfer), or here, with what is missing loaded
//! (recompute).
//!
//! The leading part of a pattern whose copies stand in a zone is a cached prefix. For each way to cut a pattern into what is served here and
//! what is sent on, both costs are summed with what is uncertain of them; the smallest is found exactly (docs/design/placement.md).
//! A choice once made stays until another is better by more than what is uncertain. What came is held against what was foretold.
//!
//! Everything is bounded; no I/O, the clock passed in.

mod calibration;
mod choices;
mod cost;
mod plan;
mod stands;

pub use calibration::{Calibration, Reliability};
pub use choices::{Choice, Choices};
pub use cost::Cost;
pub use plan::{Plan, Step, Ways, World, brute_force};
pub use stands::{Stand, Stands, Unusable};

/// Microseconds on the host's monotonic clock.
pub type Micros = u64;
/// A function, by the number that all dispatchers give it.
pub type Function = u64;
/// A zone, by its place in the settings.
pub type Zone = usize;

/// Zones that are told apart.
pub const MOST_ZONES: usize = 16;
/// Steps of a pattern that count.
pub const MOST_STEPS: usize = 32;
/// Functions of which it is kept where they stand.
pub const MOST_FUNCTIONS: usize = 4_096;
/// Patterns whose choice is kept.
pub const MOST_CHOICES: usize = 256;
