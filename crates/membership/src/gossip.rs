//! What is still to be passed on: each claim a bounded number of times, the least passed on first (SWIM 4.1).

use crate::wire::Claim;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Claims that wait to be passed on, at the most: the one passed on most gives way, and the comparison of tables carries it.
const MOST: usize = 1_024;
/// Claims that are tried for one packet.
const MOST_TRIED: usize = 64;

/// Times passed on, and the number of its coming: the least passed on and last come goes first.
type Place = (u32, Reverse<u64>);

/// Claims on their way, one for each name.
#[derive(Default)]
pub(crate) struct Gossip {
    waiting: BTreeMap<Arc<str>, (Place, Claim)>,
    order: BTreeSet<(Place, Arc<str>)>,
    came: u64,
}

impl Gossip {
    /// Passes a claim on from now on, in place of an older one about the same member.
    pub fn add(&mut self, claim: Claim) {
        self.came += 1;
        if !self.remove(&claim.name.clone())
            && self.waiting.len() >= MOST
            && let Some((_, last)) = self.order.last().cloned()
        {
            self.remove(&last);
        }
        self.place((0, Reverse(self.came)), claim);
    }

    fn place(&mut self, place: Place, claim: Claim) {
        self.order.insert((place, claim.name.clone()));
        self.waiting.insert(claim.name.clone(), (place, claim));
    }

    fn remove(&mut self, name: &Arc<str>) -> bool {
        let gone = self.waiting.remove(name);
        gone.as_ref().is_some_and(|(place, _)| self.order.remove(&(*place, name.clone())))
    }

    /// The next claims; `first` goes before all.
    pub fn next(&self, first: Option<Claim>) -> Vec<Claim> {
        let listed = self.order.iter().filter_map(|(_, name)| Some(&self.waiting.get(name)?.1));
        let rest = listed.filter(|c| first.as_ref().is_none_or(|f| f.name != c.name));
        first.iter().chain(rest).take(MOST_TRIED).cloned().collect()
    }

    /// These went out; what has gone out `copies` times is done.
    pub fn sent(&mut self, claims: &[Claim], copies: u32) {
        for claim in claims {
            let Some((((times, came), kept), name)) =
                self.waiting.get(&claim.name).cloned().map(|entry| (entry, &claim.name))
            else {
                continue;
            };
            self.remove(name);
            if times + 1 < copies {
                self.place((times + 1, came), kept);
            }
        }
    }

    /// Claims that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }
}

#[cfg(test)]
mod tests;
