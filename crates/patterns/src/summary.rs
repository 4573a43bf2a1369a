//! The summary of a dispatcher's patterns that is sent to its peers, and how the summaries of several peers are merged.
//!
//! A map from each origin to its latest summary is a join-semilattice: of two summaries of one origin the higher one is
//! kept, by version and then by content. Merging is therefore commutative, associative and idempotent, and duplicated,
//! delayed or reordered summaries do no harm. A faulty or malicious member changes only its own entry, whose weight per
//! pattern is capped at [`MAX_PEER_WEIGHT`].

use crate::{MAX_PATTERNS, Profile};
use serde::{Deserialize, Serialize};

/// The maximum size of an encoded summary in bytes.
pub const MAX_SUMMARY_BYTES: usize = 48 * 1024;
/// The maximum weight, in sessions, of a pattern received from a peer, whatever weight it claims.
pub(crate) const MAX_PEER_WEIGHT: f32 = 50.0;

/// The patterns of one origin at one time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Increases with each summary of an origin, also across its restarts.
    pub version: u64,
    /// The patterns in descending order of weight.
    pub profiles: Vec<Profile>,
}

/// Why the bytes received are not a valid summary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SummaryError {
    /// The summary exceeds [`MAX_SUMMARY_BYTES`].
    #[error("a pattern summary has {0} bytes: upgrade the sending dispatcher to this version")]
    TooLong(usize),
    /// The bytes cannot be decoded.
    #[error("a pattern summary cannot be decoded: upgrade the sending dispatcher to this version")]
    Malformed,
    /// The summary decodes to values that counting cannot produce.
    #[error(
        "a pattern summary holds implausible values: check the sending dispatcher, it is faulty or forged"
    )]
    Implausible,
}

impl Summary {
    /// Encodes the summary for sending.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes and validates a peer's summary. The bytes are untrusted.
    pub fn decode(bytes: &[u8]) -> Result<Summary, SummaryError> {
        if bytes.len() > MAX_SUMMARY_BYTES {
            return Err(SummaryError::TooLong(bytes.len()));
        }
        let (summary, rest): (Summary, _) =
            postcard::take_from_bytes(bytes).map_err(|_| SummaryError::Malformed)?;
        if !rest.is_empty() {
            return Err(SummaryError::Malformed);
        }
        let plausible =
            summary.profiles.len() <= MAX_PATTERNS && summary.profiles.iter().all(Profile::is_plausible);
        if plausible { Ok(summary) } else { Err(SummaryError::Implausible) }
    }

    /// Returns the higher of two summaries of one origin, independent of their order.
    pub fn join(self, other: Summary) -> Summary {
        let higher = (self.version, self.encode()) >= (other.version, other.encode());
        if higher { self } else { other }
    }

    /// Returns the profiles with their weights capped at [`MAX_PEER_WEIGHT`].
    pub(crate) fn capped_profiles(&self) -> impl Iterator<Item = Profile> + '_ {
        self.profiles.iter().filter(|p| p.weight > 0.0).map(|p| {
            let mut profile = p.clone();
            profile.decay((MAX_PEER_WEIGHT / p.weight).min(1.0));
            profile
        })
    }
}
