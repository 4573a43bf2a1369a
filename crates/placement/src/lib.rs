//! Where the remaining calls of a session should be served: in the zone that holds warm copies of its pattern's functions
//! (transfer), or in the session's home zone, loading the missing copies (recompute).
//!
//! The leading steps of a pattern whose copies are warm in a zone correspond to a cached prefix. For each way to divide a
//! pattern between the home zone and others, the cost is summed together with its uncertainty, and the minimum is found
//! exactly (docs/design/placement.md). A choice is kept until another is better by more than the uncertainty of both.
//! [`Calibration`] compares predictions with what happened.
//!
//! All tables are bounded. The crate does no I/O, and the caller passes in the time.

mod calibration;
mod choices;
mod cost;
mod plan;
mod warm_copies;

pub use calibration::{Calibration, Reliability};
pub use choices::{Choice, Choices};
pub use cost::Cost;
pub use plan::{CostModel, Plan, Planner, Step, brute_force};
pub use warm_copies::{InvalidInput, WarmCopies};

/// Microseconds on the host's monotonic clock.
pub type Micros = u64;
/// A function identifier that all dispatchers share.
pub type Function = u64;
/// A zone, by its index in the settings.
pub type Zone = usize;

/// The maximum number of zones.
pub const MAX_ZONES: usize = 16;
/// The maximum number of steps of a pattern that are planned; later ones are ignored.
pub const MAX_STEPS: usize = 32;
/// The maximum number of functions whose copies are tracked.
pub const MAX_FUNCTIONS: usize = 4_096;
/// The maximum number of choices that are kept.
pub const MAX_CHOICES: usize = 256;
