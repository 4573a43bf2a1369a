//! What is versioned, and how versions are told apart: `(epoch, number)`, compared in that order.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::fmt;
use std::str::FromStr;

/// A type of resource. Each has a version of its own; a snapshot holds one of each at the most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Classes, tenants, attempts, deadlines: `settings` of the platform's file.
    Settings,
    /// Memory and descriptors: `limits` of the platform's file.
    Limits,
    /// Executors left out.
    Bans,
    /// MQTT brokers.
    Fronts,
}

impl Kind {
    /// All of them, in the order in which they are sent and applied.
    pub const ALL: [Kind; 4] = [Kind::Settings, Kind::Limits, Kind::Bans, Kind::Fronts];

    /// Its name in files and messages.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Settings => "settings",
            Kind::Limits => "limits",
            Kind::Bans => "bans",
            Kind::Fronts => "fronts",
        }
    }
}

/// A version: the epoch of the service that published it, and its number, which goes on over epochs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "(u64, u64)", from = "(u64, u64)")]
pub struct Version {
    /// Raised by each start of a control service; compared first.
    pub epoch: u64,
    /// From 1.
    pub number: u64,
}

impl Version {
    /// A version.
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

/// The text is no version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no version: EPOCH.NUMBER is wanted, such as 3.17")]
pub struct NoVersion;

impl FromStr for Version {
    type Err = NoVersion;

    fn from_str(text: &str) -> Result<Version, NoVersion> {
        let (epoch, number) = text.split_once('.').ok_or(NoVersion)?;
        let digits = |t: &str| t.parse().ok().filter(|_| t.bytes().all(|b| b.is_ascii_digit()));
        Ok(Version { epoch: digits(epoch).ok_or(NoVersion)?, number: digits(number).ok_or(NoVersion)? })
    }
}

/// SHA-256 of a resource's text, in hex; tells equal contents apart from equal numbers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub String);

impl Digest {
    /// The digest of a text.
    pub fn of(text: &str) -> Digest {
        let mut hasher = Hasher::default();
        hasher.update(text);
        hasher.finish()
    }
}

/// Makes a digest piece by piece, so that a long text costs no long turn.
#[derive(Clone, Default)]
pub struct Hasher(Sha256);

impl Hasher {
    /// Takes in the next piece.
    pub fn update(&mut self, piece: &str) {
        self.0.update(piece.as_bytes());
    }

    /// The digest of all pieces.
    pub fn finish(self) -> Digest {
        Digest(self.0.finalize().iter().map(|byte| format!("{byte:02x}")).collect())
    }
}

#[cfg(test)]
mod tests;
