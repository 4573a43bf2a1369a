//! What the service writes down. Its state is what comes of applying all records in order, so that a service killed
//! at any moment goes on from there.

use ochreward_stream::wire::{Code, Fault};
use ochreward_stream::{Digest, Kind, Version};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A version as it was published.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Published {
    /// The version.
    pub version: Version,
    /// Its layers.
    pub document: Arc<Value>,
    /// The version in which each type last changed.
    pub types: BTreeMap<Kind, Version>,
    /// The digest of the document.
    pub digest: Digest,
    /// When, in Unix milliseconds.
    pub at_ms: u64,
    /// The version whose content it brings back.
    pub rollback_of: Option<Version>,
    /// Its rollout, which begins with it, has no canary and no waves.
    #[serde(default)]
    pub at_once: bool,
}

/// What an instance answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// It runs the version.
    Acked,
    /// It turned the version down.
    Nacked {
        /// Why, for programs.
        code: Code,
        /// Why, for people.
        faults: Vec<Fault>,
    },
    /// It ran the version and gave it up.
    Reverted {
        /// Why.
        why: String,
    },
}

/// A record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "kebab-case")]
pub enum Record {
    /// A service began.
    Epoch {
        /// Its epoch.
        epoch: u64,
        /// The id of the store.
        store: String,
    },
    /// A version was published; its rollout begins, and that of the one before is over.
    Published(Published),
    /// A wave began.
    Wave {
        /// The version's number.
        number: u64,
        /// The wave, from 0.
        wave: usize,
        /// Who is in it.
        members: BTreeSet<String>,
    },
    /// A wave answered in full; it is watched.
    Watching {
        /// The version's number.
        number: u64,
        /// The wave.
        wave: usize,
    },
    /// The rollout halted.
    Halted {
        /// The version's number.
        number: u64,
        /// Why.
        why: String,
    },
    /// It goes on, without those who refused.
    Resumed {
        /// The version's number.
        number: u64,
    },
    /// All waves have passed.
    Done {
        /// The version's number.
        number: u64,
    },
    /// An instance was seen with these labels.
    Seen {
        /// Its name.
        instance: String,
        /// Its labels.
        labels: BTreeMap<String, String>,
    },
    /// An instance answered an offer, or runs this by its own word.
    Answered {
        /// Its name.
        instance: String,
        /// The version.
        version: Version,
        /// The answer.
        answer: Answer,
        /// When, in Unix milliseconds.
        at_ms: u64,
    },
}

impl Record {
    /// Whether it must be on the disk before anything is done about it. What instances say, they say again.
    pub fn must_last(&self) -> bool {
        !matches!(self, Record::Seen { .. } | Record::Answered { .. })
    }
}
