//! Leaving a zone that fails as a fleet, and returning to it at a pace that its workers bear.
//!
//! A *zone* is a place with workers and dispatchers of its own; a dispatcher's *home* is the zone it stands in. To the members
//! of a zone it is *inside*, to all others *outside*: a zone that is cut off is well to the one group and silent to the other, so
//! that each group decides for itself. A *step* is the share of its usual traffic that a group sends to a zone ([`SHARES`]), an
//! *epoch* counts the group's changes of step.
//!
//! - [`Sight`]: what this member sees of each zone by its own attempts, causes apart, and what it may conclude.
//! - [`Report`]: that, as members tell it each other; first hand only.
//! - [`Zones`]: the group's steps out of one's own sight and the reports, trials of a zone that was left, the way back.
//!
//! No I/O: the clock is passed in, in whole microseconds of a monotonic clock that counts time in which the process was stopped;
//! reports go out and come in by the host. All tables are bounded ([`MOST_ZONES`], [`MOST_WORKERS`], [`MOST_MEMBERS`]).
//! Choices and failure cases: `docs/design/zones.md`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod place;
mod sight;
mod votes;
mod wire;
mod zones;

pub use place::{Pace, Place, Reason, SHARES, TOP};
pub use sight::{End, Opinion, Sight};
pub use votes::quorum;
pub use wire::{Report, ZoneWord};
pub use zones::{Order, Standing, View, Zones};

/// A time or a duration in microseconds.
pub type Micros = u64;

/// Zones that are known at the most.
pub const MOST_ZONES: usize = 12;
/// Workers that are watched at the most.
pub const MOST_WORKERS: usize = 4_096;
/// Kinds of request whose usual time is known.
pub const MOST_KINDS: usize = 1_024;
/// Members whose reports are held.
pub const MOST_MEMBERS: usize = 512;
/// The longest name of a zone, in bytes.
pub const MOST_NAME: usize = 32;

/// Times and bounds. Those of a whole fleet must be alike.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    /// A worker that was sent something and says nothing for this long is silent.
    pub silent: Micros,
    /// What was seen longer ago than this tells nothing.
    pub fresh: Micros,
    /// A zone that was left is left alone for this long at first.
    pub stay: Micros,
    /// The time between two steps of the way back at the least, and between a trial and the next member's.
    pub dwell: Micros,
    /// A process that starts has this share of its capacity, in thousandths, and all of it after `warm`.
    pub cold: u64,
    /// See `cold`.
    pub warm: Micros,
    /// A cold worker bears so many thousandths of what it can do at that moment.
    pub bears: u64,
}

impl Terms {
    /// An answer speaks for a worker for so long: for less than a failure speaks against it, which nothing more is sent to.
    pub(crate) fn heard(&self) -> Micros {
        (2 * self.silent).clamp(self.fresh / 2, self.fresh.max(self.fresh / 2))
    }
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            silent: 1_000_000,
            fresh: 2_000_000,
            stay: 2_000_000,
            dwell: 500_000,
            cold: 150,
            warm: 14_000_000,
            bears: 1_200,
        }
    }
}

/// Rules that tests leave out, to show that their checks can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// Words of an epoch that is over move nothing.
    pub epochs: bool,
    /// A step up needs answers from the step before.
    pub evidence: bool,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules { epochs: true, evidence: true }
    }
}
