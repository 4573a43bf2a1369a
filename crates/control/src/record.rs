//! The records of the service's log. The state of the service is the result of applying all records in order, so that a
//! service that is killed at any moment continues from the last record written.

use ochreward_stream::wire::{Code, Fault};
use ochreward_stream::{Digest, Kind, Version};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A published version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Published {
    /// The version.
    pub version: Version,
    /// The layers of the version: `fleet`, `zone` and `instance`.
    pub document: Arc<Value>,
    /// For each type, the version in which it last changed.
    pub types: BTreeMap<Kind, Version>,
    /// The digest of the document.
    pub digest: Digest,
    /// The time of publication, in Unix milliseconds.
    pub at_ms: u64,
    /// The earlier version whose content was published again, if this is a rollback.
    pub rollback_of: Option<Version>,
    /// Whether its rollout, which begins with its publication, skips canary and waves.
    #[serde(default)]
    pub at_once: bool,
}

/// An instance's answer to a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The instance runs the version.
    Acked,
    /// The instance rejected the version.
    Nacked {
        /// The machine-readable reason.
        code: Code,
        /// The human-readable reasons.
        faults: Vec<Fault>,
    },
    /// The instance ran the version and rolled it back.
    Reverted {
        /// The reason.
        why: String,
    },
}

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "kebab-case")]
pub enum Record {
    /// The service started.
    Epoch {
        /// The epoch of this start.
        epoch: u64,
        /// The id of the store.
        store: String,
    },
    /// A version was published: its rollout begins, and the rollout of the previous version ends.
    Published(Published),
    /// A wave of the rollout began.
    Wave {
        /// The version's number.
        number: u64,
        /// The wave, from 0.
        wave: usize,
        /// The instances in the wave.
        members: BTreeSet<String>,
    },
    /// All instances of a wave have answered; the wave is under observation.
    Watching {
        /// The version's number.
        number: u64,
        /// The wave, from 0.
        wave: usize,
    },
    /// The rollout halted.
    Halted {
        /// The version's number.
        number: u64,
        /// The reason.
        why: String,
    },
    /// A halted rollout was resumed without the instances that refused the version.
    Resumed {
        /// The version's number.
        number: u64,
    },
    /// All waves are complete.
    Done {
        /// The version's number.
        number: u64,
    },
    /// An instance connected with these labels.
    Seen {
        /// The instance name.
        instance: String,
        /// The instance labels.
        labels: BTreeMap<String, String>,
    },
    /// An instance answered an offer, or reported in its `Hello` what it runs or has rolled back.
    Answered {
        /// The instance name.
        instance: String,
        /// The version.
        version: Version,
        /// The answer.
        answer: Answer,
        /// The time of the answer, in Unix milliseconds.
        at_ms: u64,
    },
}

impl Record {
    /// Returns whether the record must be synced to disk before it takes effect. The others need no sync:
    /// an instance repeats its labels and its answers when it reconnects or is offered the version again.
    pub fn must_sync(&self) -> bool {
        !matches!(self, Record::Seen { .. } | Record::Answered { .. })
    }
}
