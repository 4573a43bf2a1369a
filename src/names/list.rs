//! Executors as the list names them, and what the module is told of them.

use crate::api::{Listing, Standing, WorkerId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Executors that a list may name: four times as many as any fleet in view has.
pub const MOST_EXECUTORS: usize = 65_536;
/// Bytes of an executor's id: more than a label of DNS can have.
pub const MOST_ID_BYTES: usize = 255;

/// What the list says of an executor. One that is absent is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Takes work.
    Ready,
    /// Takes nothing new.
    Draining,
}

/// An entry of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Executor {
    /// Its id; a new one may have the address of one that has gone.
    pub id: WorkerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its machine kind.
    pub kind: String,
    /// Its cell.
    pub cell: usize,
    /// What the list says of it.
    pub state: State,
    /// When it started, if that is not long past, in Unix milliseconds.
    pub started_ms: u64,
}

/// The settings' names for zones and kinds, which the module knows by position.
#[derive(Clone, Debug, Default)]
pub struct Vocabulary {
    /// Zones.
    pub zones: Vec<String>,
    /// Machine kinds.
    pub kinds: Vec<String>,
}

impl Vocabulary {
    /// The entry as the module takes it. `ready_at` is the start on the program's own clock.
    pub fn listing(&self, executor: &Executor, ready_at: Option<u64>) -> Listing {
        // A name that the settings lack gets a place of its own: it equals no known zone.
        let place =
            |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(names.len());
        Listing {
            worker: executor.id.clone(),
            zone: place(&self.zones, &executor.zone),
            kind: place(&self.kinds, &executor.kind),
            cell: executor.cell,
            standing: match executor.state {
                State::Ready => Standing::Healthy,
                State::Draining => Standing::Draining,
            },
            ready_at,
        }
    }
}
