//! Entries of the list of executors, and their translation into what the decision module takes.

use crate::api::{WorkerEntry, WorkerId, WorkerStatus};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Limit of executors in a list: four times the largest fleet that is planned for.
pub const MAX_EXECUTORS: usize = 65_536;
/// Limit of an executor's id, in bytes: more than a DNS label can have.
pub const MAX_ID_BYTES: usize = 255;

/// The state of an executor in the list. An executor that is absent from the list has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExecutorState {
    /// Accepts requests.
    Ready,
    /// Accepts no new requests.
    Draining,
}

/// An entry of the list. Entries that differ in their weight alone are equal: it may vary from answer to answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Executor {
    /// Its id; a new executor may have the address of one that has left.
    pub id: WorkerId,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its machine kind.
    pub kind: String,
    /// Its cell.
    pub cell: usize,
    /// Its state.
    pub state: ExecutorState,
    /// When it started, in Unix milliseconds, if recently; otherwise 0.
    pub started_ms: u64,
    /// Its weight, in any unit; 0 if the list has none.
    #[serde(default)]
    pub weight: u32,
}

impl PartialEq for Executor {
    fn eq(&self, other: &Executor) -> bool {
        let compared = |e: &Executor| (e.address, e.cell, e.state, e.started_ms);
        compared(self) == compared(other)
            && self.id == other.id
            && self.zone == other.zone
            && self.kind == other.kind
    }
}

/// The zone and machine kind names of the settings; the decision module refers to them by position.
#[derive(Clone, Debug, Default)]
pub struct ZoneAndKindNames {
    /// Zones.
    pub zones: Vec<String>,
    /// Machine kinds.
    pub kinds: Vec<String>,
    /// Whether the weights of the list are the workers' sizes.
    pub weights_are_sizes: bool,
}

impl ZoneAndKindNames {
    /// Converts an entry for the decision module. `ready_at` is the executor's start on the process clock.
    pub fn to_entry(&self, executor: &Executor, ready_at: Option<u64>) -> WorkerEntry {
        // A name that the settings lack gets the position after the last: it equals no known name.
        let position =
            |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(names.len());
        WorkerEntry {
            worker: executor.id.clone(),
            zone: position(&self.zones, &executor.zone),
            kind: position(&self.kinds, &executor.kind),
            cell: executor.cell,
            standing: match executor.state {
                ExecutorState::Ready => WorkerStatus::Healthy,
                ExecutorState::Draining => WorkerStatus::Draining,
            },
            ready_at,
            size: if self.weights_are_sizes { f64::from(executor.weight) } else { 0.0 },
        }
    }
}
