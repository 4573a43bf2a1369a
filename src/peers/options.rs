//! Settings for finding and talking to peers: `[peers]` of an operator's file.

use ochreward_membership::Settings;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of seed addresses.
pub const MAX_SEEDS: usize = 64;

/// The peer settings of one dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Address on which this dispatcher listens if `at` has no entry for it.
    pub listen: SocketAddr,
    /// Listen address of each instance that shares this file, by instance name.
    pub at: BTreeMap<String, SocketAddr>,
    /// Address at which peers reach an instance, where it differs from its listen address.
    pub reach: BTreeMap<String, SocketAddr>,
    /// Addresses that are contacted to join the group; usually at least one belongs to a member.
    pub seeds: Vec<SocketAddr>,
    /// Zone of this dispatcher.
    pub zone: String,
    /// Timing and limits of the membership protocol.
    pub settings: Settings,
}

impl Options {
    /// Returns the address on which the named instance listens.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.at.get(name).copied().unwrap_or(self.listen)
    }

    /// Returns the address at which peers reach the named instance, if one is set.
    pub fn advertise(&self, name: &str) -> Option<SocketAddr> {
        self.reach.get(name).copied()
    }
}
