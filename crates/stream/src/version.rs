//! Resource types, versions and content digests. A version is `(epoch, number)`, compared in that order.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::fmt;
use std::str::FromStr;

/// A type of resource. Each type has its own version; a snapshot holds at most one resource of each type.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Classes, tenants, attempts and deadlines: `settings` in the platform's file.
    Settings,
    /// Memory and file descriptors: `limits` in the platform's file.
    Limits,
    /// Executors excluded from dispatch.
    Bans,
    /// MQTT brokers.
    Fronts,
}

impl Kind {
    /// All types, in the order in which they are sent and applied.
    pub const ALL: [Kind; 4] = [Kind::Settings, Kind::Limits, Kind::Bans, Kind::Fronts];

    /// Returns the type's name in files and messages.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Settings => "settings",
            Kind::Limits => "limits",
            Kind::Bans => "bans",
            Kind::Fronts => "fronts",
        }
    }
}

/// A version: the epoch of the service that published it, and a number that keeps counting across epochs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "(u64, u64)", from = "(u64, u64)")]
pub struct Version {
    /// Incremented at each start of a control service; compared first.
    pub epoch: u64,
    /// Counted from 1.
    pub number: u64,
}

impl Version {
    /// Creates a version from its two components.
    pub fn new(epoch: u64, number: u64) -> Version {
        Version { epoch, number }
    }
}

impl From<(u64, u64)> for Version {
    fn from((epoch, number): (u64, u64)) -> Version {
        Version { epoch, number }
    }
}

impl From<Version> for (u64, u64) {
    fn from(version: Version) -> (u64, u64) {
        (version.epoch, version.number)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.number)
    }
}

/// The error for text that does not parse as a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid version: expected EPOCH.NUMBER, such as 3.17")]
pub struct ParseVersionError;

impl FromStr for Version {
    type Err = ParseVersionError;

    fn from_str(text: &str) -> Result<Version, ParseVersionError> {
        let (epoch, number) = text.split_once('.').ok_or(ParseVersionError)?;
        // `u64::from_str` accepts a leading `+`, which `Display` never writes.
        let parse_digits =
            |text: &str| text.parse().ok().filter(|_| text.bytes().all(|byte| byte.is_ascii_digit()));
        Ok(Version {
            epoch: parse_digits(epoch).ok_or(ParseVersionError)?,
            number: parse_digits(number).ok_or(ParseVersionError)?,
        })
    }
}

/// SHA-256 of a resource's text, in hex. Detects different contents published under the same version number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub String);

impl Digest {
    /// Computes the digest of a text.
    pub fn of(text: &str) -> Digest {
        let mut hasher = Hasher::default();
        hasher.update(text);
        hasher.finish()
    }
}

/// An incremental digest: hashing a long text piece by piece does not block the event loop for long.
#[derive(Clone, Default)]
pub struct Hasher(Sha256);

impl Hasher {
    /// Hashes the next piece.
    pub fn update(&mut self, piece: &str) {
        self.0.update(piece.as_bytes());
    }

    /// Returns the digest of all pieces.
    pub fn finish(self) -> Digest {
        Digest(self.0.finalize().iter().map(|byte| format!("{byte:02x}")).collect())
    }
}

#[cfg(test)]
mod tests;
