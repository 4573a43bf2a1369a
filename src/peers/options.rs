//! How a dispatcher finds its peers: `[peers]` of an operator's file.

use ochreward_membership::Settings;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Seeds at the most.
pub const MOST_SEEDS: usize = 64;

/// What the operator says.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Where this dispatcher is heard, if `at` does not name it.
    pub listen: SocketAddr,
    /// Where each instance is heard that shares this file.
    pub at: BTreeMap<String, SocketAddr>,
    /// Where others reach each instance, if that is another address than it listens on.
    pub reach: BTreeMap<String, SocketAddr>,
    /// Addresses at which some member is usually found.
    pub seeds: Vec<SocketAddr>,
    /// The zone of this dispatcher.
    pub zone: String,
    /// Times and bounds.
    pub settings: Settings,
}

impl Options {
    /// Where the instance listens.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.at.get(name).copied().unwrap_or(self.listen)
    }

    /// Where others reach it, if it says so.
    pub fn advertise(&self, name: &str) -> Option<SocketAddr> {
        self.reach.get(name).copied()
    }
}
