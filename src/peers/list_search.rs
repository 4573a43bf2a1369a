//! Start of a dispatcher while the name service is silent: chooses the peers that are asked for the list of executors, and
//! the offer that is accepted. The module makes decisions and keeps state without I/O; the clock is passed in. The number of
//! pending requests, the size of a list and its age are bounded.
//!
//! A peer's list is a substitute until the name service answers. It never raises the serial against which the name
//! service's lists are checked, so that no peer can keep the authoritative list out.

use crate::api::Micros;
use crate::discovery::{Executor, MAX_EXECUTORS, MAX_ID_BYTES};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Time without an answer after which the name service counts as silent.
pub const NAME_SERVICE_SILENCE_US: Micros = 500_000;
/// Number of offers to wait for; more than one, because a single peer may send a false list.
const OFFERS_WANTED: usize = 2;
/// Time to wait for further offers after the first.
const FURTHER_OFFERS_WAIT_US: Micros = 1_000_000;
/// Maximum number of requests pending at a time.
const MAX_PENDING_REQUESTS: usize = 2;
/// Time after which all peers are asked again.
const RETRY_DELAY_US: Micros = 3_000_000;
/// Maximum time since the sender of an offer last received an answer of the name service.
const MAX_LIST_AGE_US: Micros = 600_000_000;

/// A list of executors offered by a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// Name of the peer.
    pub from: Arc<str>,
    /// Number of the last event in the list.
    pub serial: u64,
    /// Time since the peer last received an answer of the name service.
    pub age: Micros,
    /// The listed executors.
    pub executors: Vec<Executor>,
}

/// The next action of the search.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// No action now.
    Wait,
    /// Request the list from this peer.
    Ask(Arc<str>),
    /// Use the list offered by this peer.
    Accept(Arc<str>),
}

/// The state of the search for a list of executors among the peers.
#[derive(Default)]
pub struct ListSearch {
    asked: BTreeSet<Arc<str>>,
    pending: BTreeSet<Arc<str>>,
    offers: Vec<Offer>,
    first_offer_at: Option<Micros>,
    retry_at: Micros,
    /// Number of offers that were rejected.
    pub rejected: u64,
}

impl ListSearch {
    /// Adds a peer's offer. Returns false and rejects the offer if its list is empty, too large or too old, or has a
    /// duplicate or invalid id.
    pub fn add_offer(&mut self, now: Micros, mut offer: Offer) -> bool {
        self.pending.remove(&offer.from);
        let mut ids = BTreeSet::new();
        let has_valid_id = |e: &Executor| (1..=MAX_ID_BYTES).contains(&e.id.len());
        let valid = !offer.executors.is_empty()
            && offer.executors.len() <= MAX_EXECUTORS
            && offer.age <= MAX_LIST_AGE_US
            && offer.executors.iter().all(|e| has_valid_id(e) && ids.insert(e.id.clone()));
        if !valid {
            self.rejected += 1;
            return false;
        }
        offer.executors.sort_by(|a, b| a.id.cmp(&b.id));
        self.first_offer_at.get_or_insert(now);
        self.offers.push(offer);
        true
    }

    /// Returns whether there is no offer to choose from.
    pub fn is_empty(&self) -> bool {
        self.offers.is_empty()
    }

    /// Records that a peer's reply was unreadable, did not arrive in time or could not be held.
    pub fn failed(&mut self, from: &Arc<str>) {
        self.pending.remove(from);
    }

    /// Returns the next action, given the peers that are up and serving.
    pub fn step(&mut self, now: Micros, up: &[Arc<str>]) -> Step {
        let next_peer = up.iter().find(|p| !self.asked.contains(*p));
        let exhausted = next_peer.is_none() && self.pending.is_empty();
        let enough = self.offers.len() >= OFFERS_WANTED
            || exhausted
            || self.first_offer_at.is_some_and(|at| at + FURTHER_OFFERS_WAIT_US <= now);
        if enough && !self.offers.is_empty() {
            if let Some(from) = self.best_offer(up.len()) {
                return Step::Accept(from);
            }
            // The offers contradict each other; one from a further peer may decide between them.
            if exhausted {
                self.restart(now);
                return Step::Wait;
            }
        }
        if exhausted && self.offers.is_empty() && now >= self.retry_at {
            self.restart(now);
        }
        match next_peer {
            Some(peer) if self.pending.len() < MAX_PENDING_REQUESTS => {
                self.asked.insert(peer.clone());
                self.pending.insert(peer.clone());
                self.retry_at = now + RETRY_DELAY_US;
                Step::Ask(peer.clone())
            }
            _ => Step::Wait,
        }
    }

    /// Rejects all offers and lets every peer be asked again.
    fn restart(&mut self, now: Micros) {
        self.rejected += self.offers.len() as u64;
        (self.asked, self.offers, self.first_offer_at) = (BTreeSet::new(), Vec::new(), None);
        self.retry_at = now + RETRY_DELAY_US;
    }

    /// Returns the sender of the newest list. Where offers of the newest serial contradict each other, a list is chosen only
    /// if more than half of all peers that are up offer it.
    fn best_offer(&self, up: usize) -> Option<Arc<str>> {
        let newest = self.offers.iter().map(|o| o.serial).max()?;
        let candidates: Vec<&Offer> = self.offers.iter().filter(|o| o.serial == newest).collect();
        let votes = |o: &Offer| candidates.iter().filter(|other| same_list(o, other)).count();
        let best = candidates.iter().max_by_key(|o| votes(o))?;
        let contradicted = candidates.iter().any(|o| !same_list(o, best));
        (!contradicted || votes(best) * 2 > up).then(|| best.from.clone())
    }
}

fn same_list(one: &Offer, other: &Offer) -> bool {
    let entries =
        |o: &Offer| o.executors.iter().map(|e| (e.id.clone(), e.address, e.state)).collect::<Vec<_>>();
    entries(one) == entries(other)
}

#[cfg(test)]
mod tests;
