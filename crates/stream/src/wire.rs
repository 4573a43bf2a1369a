//! The messages of the configuration stream and their framing: a length of four bytes, big-endian, then a JSON object
//! of at most [`MAX_FRAME_BYTES`] bytes.
//!
//! `docs/protocol/control.md` specifies the protocol for implementers.

use crate::{Digest, Kind, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// The protocol version; a peer with another version is refused.
pub const PROTOCOL: u32 = 1;
/// The maximum length of a frame's body, in bytes.
pub const MAX_FRAME_BYTES: usize = 128 * 1024;
/// The maximum length of the text in one part, in bytes. JSON escapes a byte to at most six bytes, so that any text of
/// this length fits a frame.
pub const PIECE_BYTES: usize = 16 * 1024;
/// The maximum number of faults in one NACK; further faults are omitted.
pub const MAX_FAULTS: usize = 50;

/// An error in a version: the faulty key and the reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The faulty key, as a path.
    pub key: String,
    /// The reason.
    pub why: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.why)
    }
}

/// The reason code of a rejected version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Code {
    /// The content has faults or violates a rule.
    Invalid,
    /// The version is lower than one that has already run on this instance.
    OutOfOrder,
    /// The same version has already run on this instance with different content.
    Conflict,
    /// The version ran on this instance and was rolled back because it made the share of bad answers worse.
    Refused,
    /// The offer omits a type that the subscriber does not hold; requests that all types be sent.
    Gap,
    /// The received content does not match what was announced.
    Damaged,
    /// The version is larger than allowed.
    Oversize,
    /// A newer offer arrived before this one was complete or checked.
    Superseded,
    /// The version could not be stored or applied.
    Failed,
}

/// Counts of final answers since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// All final answers.
    pub answers: u64,
    /// Final answers that were refusals or failures.
    #[serde(rename = "bad")]
    pub failed: u64,
}

/// The resource that a subscriber holds for one type.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The type's version.
    pub version: Version,
    /// The digest of its text.
    pub digest: Digest,
}

/// A subscriber's first message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`PROTOCOL`].
    pub protocol: u32,
    /// The instance name.
    pub instance: String,
    /// The instance labels.
    #[serde(default)]
    pub labels: BTreeMap<String, String>,
    /// The running version.
    pub running: Option<Version>,
    /// The highest version that has ever run on this instance.
    #[serde(default)]
    pub highest: Version,
    /// The highest epoch of a service that the subscriber has followed.
    #[serde(default)]
    pub epoch: u64,
    /// The resources that it holds, by type; the service sends only those that differ.
    #[serde(default)]
    pub holds: BTreeMap<Kind, Holding>,
    /// Versions that it rolled back after a trial.
    #[serde(default)]
    pub refused: Vec<Version>,
}

/// One type in an offer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The type.
    pub kind: Kind,
    /// The type's own version.
    pub version: Version,
    /// The digest of its text.
    pub digest: Digest,
    /// The length of its text, in bytes.
    pub bytes: u64,
    /// Whether the text follows in parts; if not, the subscriber already holds it.
    pub sent: bool,
}

/// Messages from a subscriber to the service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum ToService {
    /// The subscriber's first message on a connection.
    Hello(Hello),
    /// The offered version was applied and is running.
    Ack {
        /// The nonce of the offer.
        nonce: u64,
        /// The version.
        version: Version,
    },
    /// The offered version was rejected; the version that ran before stays in use.
    Nack {
        /// The nonce of the offer.
        nonce: u64,
        /// The version.
        version: Version,
        /// The machine-readable reason.
        code: Code,
        /// The human-readable reasons.
        faults: Vec<Fault>,
    },
    /// A late rejection: the version ran, made the share of bad answers worse, and was rolled back.
    Reverted {
        /// The version that was rolled back.
        version: Version,
        /// The version that runs now.
        running: Option<Version>,
        /// The shares of bad answers that led to the rollback.
        why: String,
    },
    /// A heartbeat.
    #[serde(rename = "beat")]
    Heartbeat {
        /// The running version.
        running: Option<Version>,
        /// The instance's counts of final answers.
        health: Health,
    },
}

/// Messages from the service to a subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum FromService {
    /// The service's first message on a connection.
    Welcome {
        /// [`PROTOCOL`].
        protocol: u32,
        /// The id of the service's store, which distinguishes two services with the same epoch.
        store: String,
        /// The service's epoch.
        epoch: u64,
        /// The heartbeat interval, in microseconds.
        heartbeat_us: u64,
    },
    /// Starts the transfer of a version.
    Offer {
        /// Increases with each offer on a connection; answered by exactly one ACK or NACK.
        nonce: u64,
        /// The version of the snapshot.
        version: Version,
        /// All types of the version.
        entries: Vec<Entry>,
    },
    /// A piece of one type's text.
    Part {
        /// The nonce of the offer.
        nonce: u64,
        /// The type.
        kind: Kind,
        /// The piece; it begins and ends on a character boundary.
        text: String,
    },
    /// Ends the transfer of a version: all parts have been sent.
    End {
        /// The nonce of the offer.
        nonce: u64,
    },
    /// A heartbeat.
    #[serde(rename = "beat")]
    Heartbeat {},
    /// The service refuses this subscriber and closes the connection.
    Refused {
        /// The reason.
        why: String,
    },
}

/// The error for bytes that are not a frame of this protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}: check that both ends run the same version and that the address is the control service's")]
pub struct InvalidFrame(pub &'static str);

/// Encodes a message as a frame.
pub fn encode_frame(message: &impl Serialize) -> Vec<u8> {
    let mut out = vec![0; 4];
    // Serialisation can't fail here: writes to memory always succeed and all map keys are strings.
    let _ = serde_json::to_writer(&mut out, message);
    let length = (out.len() - 4) as u32;
    out[..4].copy_from_slice(&length.to_be_bytes());
    out
}

/// Returns the body of the first frame in `bytes`, or `None` while it is incomplete. The frame is 4 bytes longer than
/// its body.
pub fn body(bytes: &[u8]) -> Result<Option<&[u8]>, InvalidFrame> {
    let Some((head, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length == 0 || length > MAX_FRAME_BYTES {
        return Err(InvalidFrame("frame length out of bounds"));
    }
    Ok(rest.get(..length))
}

/// Parses a frame's body.
pub fn decode<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, InvalidFrame> {
    serde_json::from_slice(body).map_err(|_| InvalidFrame("unreadable message"))
}

/// Returns the piece of `text` that begins at byte `from`, cut at a character boundary.
pub fn next_piece(text: &str, from: usize) -> &str {
    let mut end = text.len().min(from + PIECE_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[from..end]
}

#[cfg(test)]
mod tests;
