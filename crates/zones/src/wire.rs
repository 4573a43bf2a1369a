//! What members tell each other of zones: one report a note, in postcard's encoding, first hand only.

use crate::{MOST_NAME, MOST_ZONES, Opinion, Reason, TOP};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Of one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneWord {
    /// Its name.
    pub zone: Arc<str>,
    /// What the sender sees of it.
    pub opinion: Opinion,
    /// The sender's epoch, and its step in it.
    pub epoch: u64,
    /// See `epoch`.
    pub step: u8,
    /// Why it stands there.
    pub reason: Reason,
    /// For how long, in milliseconds.
    pub age_ms: u32,
    /// Answers that it had from there in this epoch.
    pub good: u32,
    /// Answers a second that it has from there, and that it had at best of late, in thousandths.
    pub rate: u32,
    /// See `rate`.
    pub peak: u32,
}

/// All that a member tells.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Zone by zone.
    pub zones: Vec<ZoneWord>,
}

impl Report {
    /// As bytes.
    pub fn written(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// From bytes; none for what is no report, has more behind it, or names more zones or steps than there may be.
    pub fn read(bytes: &[u8]) -> Option<Report> {
        let (report, rest) = postcard::take_from_bytes::<Report>(bytes).ok()?;
        let sound = |w: &ZoneWord| w.step <= TOP && w.zone.len() <= MOST_NAME && !w.zone.is_empty();
        let whole = rest.is_empty() && report.zones.len() <= MOST_ZONES && report.zones.iter().all(sound);
        whole.then_some(report)
    }
}

#[cfg(test)]
mod tests;
