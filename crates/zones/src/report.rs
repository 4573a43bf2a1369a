//! Reports on zones that members send to each other, first hand only. Each is a postcard message of its own;
//! the order of fields is the wire format.

use crate::{MAX_NAME_LEN, MAX_ZONES, Opinion, Reason, TOP_STEP};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The part of a report about one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneReport {
    /// Name of the zone.
    pub zone: Arc<str>,
    /// The sender's opinion of the zone.
    pub opinion: Opinion,
    /// The sender's epoch for the zone.
    pub epoch: u64,
    /// The sender's step in that epoch.
    pub step: u8,
    /// Reason for the step.
    pub reason: Reason,
    /// Time since the step was taken, in milliseconds.
    pub age_ms: u32,
    /// Number of answers that the sender had from the zone in this epoch.
    #[serde(rename = "good")]
    pub answers: u32,
    /// Current rate of answers that the sender gets from the zone, in thousandths of an answer per second.
    pub rate: u32,
    /// Recent peak of `rate`.
    pub peak: u32,
}

/// A member's report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// One entry per zone.
    pub zones: Vec<ZoneReport>,
}

impl Report {
    /// Encodes the report.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a report; returns `None` for malformed bytes, trailing data, too many zones, a step that does
    /// not exist, or a zone name that is empty or too long.
    pub fn decode(bytes: &[u8]) -> Option<Report> {
        let (report, rest) = postcard::take_from_bytes::<Report>(bytes).ok()?;
        let valid_entry =
            |w: &ZoneReport| w.step <= TOP_STEP && w.zone.len() <= MAX_NAME_LEN && !w.zone.is_empty();
        let valid =
            rest.is_empty() && report.zones.len() <= MAX_ZONES && report.zones.iter().all(valid_entry);
        valid.then_some(report)
    }
}

#[cfg(test)]
mod tests;
