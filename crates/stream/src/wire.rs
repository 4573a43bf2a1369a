//! The messages of the stream and their frames: four bytes of length, big-endian, and a JSON object.
//!
//! `docs/protocol/control.md` is the page for implementers.

use crate::{Digest, Kind, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// The version of the protocol; a peer with another one is refused.
pub const PROTOCOL: u32 = 1;
/// The longest body of a frame, in bytes.
pub const MOST_FRAME: usize = 128 * 1024;
/// Bytes of a resource's text in one part; escaped, they fit a frame whatever they are.
pub const PIECE: usize = 16 * 1024;
/// Faults told in one NACK; the rest is left out.
pub const MOST_FAULTS: usize = 50;

/// Something wrong with a version: a key and what is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The faulty key, as a path.
    pub key: String,
    /// What is wrong with it.
    pub why: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.why)
    }
}

/// Why a version was turned down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Code {
    /// Its content has faults or breaks a rule.
    Invalid,
    /// A lower version than one that has run here.
    OutOfOrder,
    /// The same version as one that has run here, with another content.
    Conflict,
    /// It ran here and made things worse.
    Refused,
    /// It leaves out a type that is not held here; all types are asked for.
    Gap,
    /// What arrived is not what was announced.
    Damaged,
    /// Larger than allowed.
    Oversize,
    /// A newer one came before this one was whole or checked.
    Superseded,
    /// It could not be kept or taken into use.
    Failed,
}

/// Counts of final answers since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// All of them.
    pub answers: u64,
    /// Those that were refused or failed.
    pub bad: u64,
}

/// What a subscriber holds of a type.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The type's version.
    pub version: Version,
    /// Its digest.
    pub digest: Digest,
}

/// A subscriber's first message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`PROTOCOL`].
    pub protocol: u32,
    /// The instance's name.
    pub instance: String,
    /// Its labels.
    #[serde(default)]
    pub labels: BTreeMap<String, String>,
    /// The version that it runs.
    pub running: Option<Version>,
    /// The highest version that it ever ran.
    #[serde(default)]
    pub highest: Version,
    /// The highest epoch of a service that it has heard.
    #[serde(default)]
    pub epoch: u64,
    /// What it holds, by type: only what differs is sent.
    #[serde(default)]
    pub holds: BTreeMap<Kind, Holding>,
    /// Versions that it gave up after a trial.
    #[serde(default)]
    pub refused: Vec<Version>,
}

/// A type in an offer.
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
    /// Its text follows in parts; else the subscriber holds it.
    pub sent: bool,
}

/// From a subscriber to the service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum ToService {
    /// The first message.
    Hello(Hello),
    /// The offered version runs.
    Ack {
        /// The offer's.
        nonce: u64,
        /// The version.
        version: Version,
    },
    /// The offered version was turned down; what ran before goes on.
    Nack {
        /// The offer's.
        nonce: u64,
        /// The version.
        version: Version,
        /// Why, for programs.
        code: Code,
        /// Why, for people.
        faults: Vec<Fault>,
    },
    /// A late refusal: the version ran, made things worse, and was given up.
    Reverted {
        /// The version that was given up.
        version: Version,
        /// What runs now.
        running: Option<Version>,
        /// The figures that decided.
        why: String,
    },
    /// A sign of life.
    Beat {
        /// The version that runs.
        running: Option<Version>,
        /// How it does.
        health: Health,
    },
}

/// From the service to a subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum FromService {
    /// The first message.
    Welcome {
        /// [`PROTOCOL`].
        protocol: u32,
        /// The id of the service's store, which tells two services apart.
        store: String,
        /// The service's epoch.
        epoch: u64,
        /// The time between two signs of life, in microseconds.
        heartbeat_us: u64,
    },
    /// Begins a version.
    Offer {
        /// Goes up with each offer on a connection; answered by one ACK or NACK.
        nonce: u64,
        /// The version of the whole.
        version: Version,
        /// All its types.
        entries: Vec<Entry>,
    },
    /// A piece of a type's text.
    Part {
        /// The offer's.
        nonce: u64,
        /// The type.
        kind: Kind,
        /// The piece, cut between characters.
        text: String,
    },
    /// All has been sent.
    End {
        /// The offer's.
        nonce: u64,
    },
    /// A sign of life.
    Beat {},
    /// The service will not have this subscriber.
    Refused {
        /// Why.
        why: String,
    },
}

/// Bytes that are no frame of this protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}: see that both ends are of one version, and that the address is the control service's")]
pub struct BadFrame(pub &'static str);

/// A message as a frame.
pub fn frame(message: &impl Serialize) -> Vec<u8> {
    let mut out = vec![0; 4];
    // Writing to memory can't fail, and all keys are text.
    let _ = serde_json::to_writer(&mut out, message);
    let length = (out.len() - 4) as u32;
    out[..4].copy_from_slice(&length.to_be_bytes());
    out
}

/// The body at the front of the bytes, if it is whole; the frame's length is 4 more.
pub fn body(bytes: &[u8]) -> Result<Option<&[u8]>, BadFrame> {
    let Some((head, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length == 0 || length > MOST_FRAME {
        return Err(BadFrame("a frame with a length out of bounds"));
    }
    Ok(rest.get(..length))
}

/// Reads a body.
pub fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, BadFrame> {
    serde_json::from_slice(body).map_err(|_| BadFrame("a message that can't be read"))
}

/// The next piece of a text from a place on, cut between characters.
pub fn piece(text: &str, from: usize) -> &str {
    let mut end = text.len().min(from + PIECE);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[from..end]
}

#[cfg(test)]
mod tests;
