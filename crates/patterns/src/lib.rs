//! Online, unsupervised detection of recurring call sequences (patterns) in sessions, and prediction of the calls that a
//! session has yet to make.
//!
//! A session is the sequence of function calls of one client connection or station. Patterns are the components of a
//! mixture of Bernoulli profiles; each session is assigned when it ends (Celeux and Govaert, 'Clustering for binary data
//! and mixture models', 1991). Tables are bounded in the manner of Space-Saving (Metwally, Agrawal and El Abbadi, 2005) and
//! counts decay. Since a profile is a set of functions with probabilities, optional and reordered steps cost little;
//! docs/design/patterns.md compares the alternatives.
//!
//! Memory and work are bounded whatever sessions and peers do. The crate does no I/O, and the caller passes in the time.

mod patterns;
mod profile;
mod sessions;
mod summary;

pub use patterns::{Patterns, PredictedCall, Prediction, Stats};
pub use profile::{Profile, Step};
pub use summary::{MAX_SUMMARY_BYTES, Summary, SummaryError};

use serde::{Deserialize, Serialize};

/// Microseconds on the host's monotonic clock.
pub type Micros = u64;
/// A function identifier that all dispatchers of a group share: a hash of the function's name.
pub type FunctionId = u64;
/// A session identifier, assigned by the host.
pub type SessionId = u64;

/// The maximum number of open sessions; above it, the session that has been idle longest is ended.
pub const MAX_SESSIONS: usize = 4_096;
/// The maximum number of distinct functions recorded per session; later ones are ignored.
pub const MAX_CALLS_PER_SESSION: usize = 24;
/// The maximum number of patterns; above it, the pattern with the smallest weight is evicted.
pub const MAX_PATTERNS: usize = 64;
/// The maximum number of functions per pattern; above it, the one with the smallest weight is evicted.
pub const MAX_STEPS: usize = 32;
/// The maximum number of peers whose summaries are kept.
pub const MAX_ORIGINS: usize = 64;

/// When a session ends, and how fast counts decay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// A session without a call for this long has ended.
    pub idle_timeout: Micros,
    /// The half-life of all counts.
    pub half_life: Micros,
}

impl Default for Config {
    fn default() -> Config {
        Config { idle_timeout: 5_000_000, half_life: 120_000_000 }
    }
}

/// An estimated probability with its 90% credible interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Interval {
    /// The lower bound.
    pub low: f64,
    /// The estimate.
    pub mean: f64,
    /// The upper bound.
    pub high: f64,
}

impl Interval {
    /// Estimates the probability from `successes` out of `trials`, which may be fractional since counts decay. The bounds
    /// are the 5% and 95% quantiles of the beta distribution with a uniform prior.
    pub fn from_counts(successes: f64, trials: f64) -> Interval {
        use statrs::distribution::{Beta, ContinuousCDF};
        let (successes, failures) = (successes.max(0.0), (trials - successes).max(0.0));
        let mean = (successes + 1.0) / (successes + failures + 2.0);
        match Beta::new(successes + 1.0, failures + 1.0) {
            Ok(beta) => Interval { low: beta.inverse_cdf(0.05), mean, high: beta.inverse_cdf(0.95) },
            Err(_) => Interval { low: 0.0, mean, high: 1.0 },
        }
    }

    /// Returns the interval multiplied by the probability of an independent event, which is taken as exact.
    pub fn scaled(self, chance: f64) -> Interval {
        Interval { low: self.low * chance, mean: self.mean * chance, high: self.high * chance }
    }
}
