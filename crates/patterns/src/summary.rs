//! What a dispatcher tells others of its patterns, and how what many tell is put together.
//!
//! A map from each origin to its latest summary is a join-semilattice: of two summaries of one origin the higher one stays, by version and then
//! by content, so that merging is commutative, associative and idempotent whatever arrives twice, late or in another order. A member
//! that lies changes only what it says of itself, and that counts for so much at the most ([`MOST_BELIEVED`]).

use crate::{MOST_PATTERNS, Profile};
use serde::{Deserialize, Serialize};

/// The longest summary in bytes, as it is sent.
pub const MOST_BYTES: usize = 48 * 1024;
/// A pattern that a peer tells of counts as so many sessions at the most, however many it claims.
pub(crate) const MOST_BELIEVED: f32 = 50.0;

/// The patterns of one origin at one time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Rises with each summary of an origin, also over its restarts.
    pub version: u64,
    /// Its patterns, heaviest first.
    pub profiles: Vec<Profile>,
}

/// Bytes that are no summary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadSummary {
    /// More than may be sent.
    #[error("a summary of patterns has {0} bytes: bring the dispatcher that sends it to this version")]
    Long(usize),
    /// They can't be read.
    #[error("a summary of patterns can't be read: bring the dispatcher that sends it to this version")]
    Malformed,
    /// They say what can't be so.
    #[error(
        "a summary of patterns holds impossible figures: look at the dispatcher that sends it, it is broken or forged"
    )]
    Absurd,
}

impl Summary {
    /// As it is sent.
    pub fn written(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads another's. Danger: the bytes may be any.
    pub fn read(bytes: &[u8]) -> Result<Summary, BadSummary> {
        if bytes.len() > MOST_BYTES {
            return Err(BadSummary::Long(bytes.len()));
        }
        let (summary, rest): (Summary, _) =
            postcard::take_from_bytes(bytes).map_err(|_| BadSummary::Malformed)?;
        if !rest.is_empty() {
            return Err(BadSummary::Malformed);
        }
        let sane = summary.profiles.len() <= MOST_PATTERNS && summary.profiles.iter().all(Profile::sane);
        if sane { Ok(summary) } else { Err(BadSummary::Absurd) }
    }

    /// The higher of two of one origin; which of them comes first makes no difference.
    pub fn join(self, other: Summary) -> Summary {
        let higher = (self.version, self.written()) >= (other.version, other.written());
        if higher { self } else { other }
    }

    /// The same, with what it claims cut to what is believed of a peer.
    pub(crate) fn believed(&self) -> impl Iterator<Item = Profile> + '_ {
        self.profiles.iter().filter(|p| p.weight > 0.0).map(|p| {
            let mut profile = p.clone();
            profile.fade((MOST_BELIEVED / p.weight).min(1.0));
            profile
        })
    }
}
