//! Decides when a fleet leaves a failing zone as one, and how it returns to it at a rate that the zone's
//! workers can take (slow start).
//!
//! A *zone* is a location with workers and dispatchers of its own; a dispatcher's *home* is the zone it runs
//! in. For each zone the members at home in it form the *inside* group and all others the *outside* group. A
//! zone that is partitioned off works for the inside group and is silent to the outside one, so each group
//! decides for itself. A *step* is the share of its usual traffic that a group sends to a zone ([`STEP_SHARES_PER_MILLE`]);
//! an *epoch* counts the group's changes of step.
//!
//! - [`Observations`]: what this member observes of each zone through its own attempts, by cause of failure,
//!   and the opinion that follows from it.
//! - [`Report`]: the opinions that members send to each other, first hand only.
//! - [`Zones`]: the group's steps, derived from this member's own observations and the reports; trials of a
//!   zone that was left; the return to it.
//!
//! The crate does no I/O. The caller passes in the clock, in whole microseconds of a monotonic clock that
//! also advances while the process is suspended, and sends and receives the reports. All tables are bounded
//! ([`MAX_ZONES`], [`MAX_WORKERS`], [`MAX_MEMBERS`]). Design choices and failure cases:
//! `docs/design/zones.md`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod group_state;
mod observations;
mod report;
mod votes;
mod zones;

pub use group_state::{GroupState, Reason, STEP_SHARES_PER_MILLE, TOP_STEP, WorkerState};
pub use observations::{AttemptOutcome, Observations, Opinion};
pub use report::{Report, ZoneReport};
pub use votes::quorum;
pub use zones::{FleetView, Order, ZoneStatus, Zones};

/// A time or a duration in microseconds.
pub type Micros = u64;

/// Maximum number of zones.
pub const MAX_ZONES: usize = 12;
/// Maximum number of workers observed.
pub const MAX_WORKERS: usize = 4_096;
/// Maximum number of kinds of request whose usual time is tracked.
pub const MAX_KINDS: usize = 1_024;
/// Maximum number of members whose reports are stored.
pub const MAX_MEMBERS: usize = 512;
/// Maximum length of a zone's name, in bytes.
pub const MAX_NAME_LEN: usize = 32;

/// Times and bounds; they must be the same throughout a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    /// A worker with an open attempt that answers nothing for this long is silent.
    pub silent: Micros,
    /// Age beyond which an observation is no longer used.
    pub max_age: Micros,
    /// Initial time for which a zone that was left gets no traffic.
    pub stay: Micros,
    /// Minimum time between two steps of the return, and between a trial and that of the next member.
    pub dwell: Micros,
    /// Share of its capacity that a starting process has, in thousandths; it reaches all of it after `warm`.
    pub cold: u64,
    /// Time in which a started process reaches its full capacity, see `cold`.
    pub warm: Micros,
    /// Load that a warming worker can take, in thousandths of its capacity at that moment.
    pub bears: u64,
}

impl Terms {
    /// Returns how long an answer counts for a worker. This is shorter than a failure counts against it,
    /// because a failed worker is sent nothing that could renew the failure.
    pub(crate) fn answer_ttl(&self) -> Micros {
        (2 * self.silent).clamp(self.max_age / 2, self.max_age.max(self.max_age / 2))
    }
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            silent: 1_000_000,
            max_age: 2_000_000,
            stay: 2_000_000,
            dwell: 500_000,
            cold: 150,
            warm: 14_000_000,
            bears: 1_200,
        }
    }
}

/// Safety rules. Only tests disable any of them, to show that their checks can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SafetyRules {
    /// Ignore reports of past epochs.
    pub check_epochs: bool,
    /// Require answers in the current step before a step up.
    pub require_answers: bool,
}

impl Default for SafetyRules {
    fn default() -> SafetyRules {
        SafetyRules { check_epochs: true, require_answers: true }
    }
}
