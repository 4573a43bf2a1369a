//! The gossip queue: claims to piggyback on outgoing packets (SWIM 4.1). Each claim is transmitted a bounded number of
//! times, the least transmitted first; the queue holds at most [`MAX_CLAIMS`] claims.

use crate::wire::Claim;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The most claims in the queue. A full queue evicts the most transmitted one; table exchange still spreads that claim.
const MAX_CLAIMS: usize = 1_024;
/// The most claims considered for one packet.
const MAX_CANDIDATES: usize = 64;

/// The number of transmissions and the insertion number: the least transmitted claim goes first, then the latest one.
type Priority = (u32, Reverse<u64>);

/// Claims to transmit, one for each member name.
#[derive(Default)]
pub(crate) struct Gossip {
    queued: BTreeMap<Arc<str>, (Priority, Claim)>,
    order: BTreeSet<(Priority, Arc<str>)>,
    insertions: u64,
}

impl Gossip {
    /// Queues a claim in place of an older one about the same member.
    pub fn add(&mut self, claim: Claim) {
        self.insertions += 1;
        if !self.remove(&claim.name.clone())
            && self.queued.len() >= MAX_CLAIMS
            && let Some((_, last)) = self.order.last().cloned()
        {
            self.remove(&last);
        }
        self.insert((0, Reverse(self.insertions)), claim);
    }

    fn insert(&mut self, priority: Priority, claim: Claim) {
        self.order.insert((priority, claim.name.clone()));
        self.queued.insert(claim.name.clone(), (priority, claim));
    }

    fn remove(&mut self, name: &Arc<str>) -> bool {
        let removed = self.queued.remove(name);
        removed.as_ref().is_some_and(|(priority, _)| self.order.remove(&(*priority, name.clone())))
    }

    /// Returns the claims to transmit next, by priority; `first` precedes all others.
    pub fn next(&self, first: Option<Claim>) -> Vec<Claim> {
        let listed = self.order.iter().filter_map(|(_, name)| Some(&self.queued.get(name)?.1));
        let rest = listed.filter(|c| first.as_ref().is_none_or(|f| f.name != c.name));
        first.iter().chain(rest).take(MAX_CANDIDATES).cloned().collect()
    }

    /// Records a transmission of these claims, and removes those transmitted `max_transmissions` times.
    pub fn record_sent(&mut self, claims: &[Claim], max_transmissions: u32) {
        for claim in claims {
            let Some((((transmissions, inserted), queued), name)) =
                self.queued.get(&claim.name).cloned().map(|entry| (entry, &claim.name))
            else {
                continue;
            };
            self.remove(name);
            if transmissions + 1 < max_transmissions {
                self.insert((transmissions + 1, inserted), queued);
            }
        }
    }

    /// Returns the number of queued claims.
    pub fn len(&self) -> usize {
        self.queued.len()
    }
}

#[cfg(test)]
mod tests;
