//! Recurring sequences of calls (patterns), found online and without labels in what sessions ask.
//!
//! A session is what one client connection or station asks for; a call is a call of a function. Patterns are found by a
//! mixture of Bernoulli profiles, assigned to at the end of each session (Celeux and Govaert, 'Clustering for binary data and mixture
//! models', 1991), with bounded tables in the manner of Space-Saving (Metwally, Agrawal and El Abbadi, 2005) and counts that fade. A profile
//! is a set with chances, so that optional and swapped steps cost little; docs/design/patterns.md weighs the other ways.
//!
//! Everything is bounded, whatever sessions and peers do; no I/O, the clock passed in.

mod patterns;
mod profile;
mod sessions;
mod summary;

pub use patterns::{Call, Expected, Held, Patterns};
pub use profile::{Profile, Step};
pub use summary::{BadSummary, MOST_BYTES, Summary};

use serde::{Deserialize, Serialize};

/// Microseconds on the host's monotonic clock.
pub type Micros = u64;
/// A function, by a number that all dispatchers of a group give it: a hash of its id.
pub type Function = u64;
/// A session, by a number of the host's.
pub type Session = u64;

/// Sessions of which something is kept; beyond, the one that was quiet longest is taken for over.
pub const MOST_SESSIONS: usize = 4_096;
/// Different functions of a session that count; later ones are passed over.
pub const MOST_CALLS: usize = 24;
/// Patterns that are kept; beyond, the one that was seen least gives way.
pub const MOST_PATTERNS: usize = 64;
/// Functions that are kept of a pattern; beyond, the one that was seen least gives way.
pub const MOST_STEPS: usize = 32;
/// Peers whose patterns are kept.
pub const MOST_ORIGINS: usize = 64;

/// What is held to be a session, and how fast counts fade.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// A session that asks nothing for so long is over.
    pub gap: Micros,
    /// Half of a count is forgotten in this time.
    pub half: Micros,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms { gap: 5_000_000, half: 120_000_000 }
    }
}

/// A chance, and the bounds within which it lies nine times in ten by the counts that tell of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Interval {
    /// The lower bound.
    pub low: f64,
    /// The chance itself.
    pub mean: f64,
    /// The upper bound.
    pub high: f64,
}

impl Interval {
    /// Of so many yes out of so many, which may be fractions, since counts fade: the beta distribution's 5% and 95% points, before
    /// anything was seen evenly spread.
    pub fn of(yes: f64, all: f64) -> Interval {
        use statrs::distribution::{Beta, ContinuousCDF};
        let (yes, no) = (yes.max(0.0), (all - yes).max(0.0));
        let mean = (yes + 1.0) / (yes + no + 2.0);
        match Beta::new(yes + 1.0, no + 1.0) {
            Ok(beta) => Interval { low: beta.inverse_cdf(0.05), mean, high: beta.inverse_cdf(0.95) },
            Err(_) => Interval { low: 0.0, mean, high: 1.0 },
        }
    }

    /// The chance of both, where the other is certain.
    pub fn times(self, chance: f64) -> Interval {
        Interval { low: self.low * chance, mean: self.mean * chance, high: self.high * chance }
    }
}
