//! A dispatcher that starts while the name service is silent: which peers it asks for the list of executors, and what of
//! their words it takes. Decisions and state, without I/O, the clock passed in.
//!
//! A peer's list is a stand-in until the name service speaks: it never raises the serial by which that one's lists are
//! judged, so that no peer can keep the real list out.

use crate::api::Micros;
use crate::names::{Executor, MAX_EXECUTORS, MAX_ID_BYTES};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The name service counts as silent once it has said nothing for this long.
pub const SILENT: Micros = 500_000;
/// Words that are waited for; one of them may be a liar's.
const WANTED: usize = 2;
/// Once a word has come, others are waited for this long.
const PATIENCE: Micros = 1_000_000;
/// Peers that are being asked at a time.
const ASKED: usize = 2;
/// All are asked again after this.
const ANEW: Micros = 3_000_000;
/// A list that its giver has not heard confirmed for longer is not taken.
const OLD: Micros = 600_000_000;

/// What a peer knows of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// Who says it.
    pub from: Arc<str>,
    /// The number of the last event in it.
    pub serial: u64,
    /// Since when its giver has not heard the name service.
    pub age: Micros,
    /// The executors.
    pub executors: Vec<Executor>,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Nothing now.
    Wait,
    /// This peer is to be asked.
    Ask(Arc<str>),
    /// This peer's word is to be taken.
    Take(Arc<str>),
}

/// The state of the search.
#[derive(Default)]
pub struct Starting {
    asked: BTreeSet<Arc<str>>,
    open: BTreeSet<Arc<str>>,
    offers: Vec<Offer>,
    first: Option<Micros>,
    anew: Micros,
    /// Words that were not taken.
    pub refused: u64,
}

impl Starting {
    /// A peer's word has come; false if it is not one that could be taken.
    pub fn offered(&mut self, now: Micros, mut offer: Offer) -> bool {
        self.open.remove(&offer.from);
        let mut ids = BTreeSet::new();
        let named = |e: &Executor| (1..=MAX_ID_BYTES).contains(&e.id.len());
        let sound = !offer.executors.is_empty()
            && offer.executors.len() <= MAX_EXECUTORS
            && offer.age <= OLD
            && offer.executors.iter().all(|e| named(e) && ids.insert(e.id.clone()));
        if !sound {
            self.refused += 1;
            return false;
        }
        offer.executors.sort_by(|a, b| a.id.cmp(&b.id));
        self.first.get_or_insert(now);
        self.offers.push(offer);
        true
    }

    /// Whether no peer's word waits to be chosen.
    pub fn is_empty(&self) -> bool {
        self.offers.is_empty()
    }

    /// A peer that was asked said nothing that can be read, or nothing in time.
    pub fn failed(&mut self, from: &Arc<str>) {
        self.open.remove(from);
    }

    /// What is to be done next, with these peers up that serve.
    pub fn step(&mut self, now: Micros, up: &[Arc<str>]) -> Step {
        let more = up.iter().find(|p| !self.asked.contains(*p));
        let enough = self.offers.len() >= WANTED
            || (more.is_none() && self.open.is_empty())
            || self.first.is_some_and(|at| at + PATIENCE <= now);
        if enough && !self.offers.is_empty() {
            if let Some(from) = self.chosen(up.len()) {
                return Step::Take(from);
            }
            // They contradict each other: a further one may settle it.
            if more.is_none() && self.open.is_empty() {
                self.again(now);
                return Step::Wait;
            }
        }
        if more.is_none() && self.open.is_empty() && self.offers.is_empty() && now >= self.anew {
            self.again(now);
        }
        match more {
            Some(peer) if self.open.len() < ASKED => {
                self.asked.insert(peer.clone());
                self.open.insert(peer.clone());
                self.anew = now + ANEW;
                Step::Ask(peer.clone())
            }
            _ => Step::Wait,
        }
    }

    fn again(&mut self, now: Micros) {
        self.refused += self.offers.len() as u64;
        (self.asked, self.offers, self.first, self.anew) = (BTreeSet::new(), Vec::new(), None, now + ANEW);
    }

    /// The newest list. Where those that tell it contradict each other, one that more than half of all that are up tell.
    fn chosen(&self, up: usize) -> Option<Arc<str>> {
        let newest = self.offers.iter().map(|o| o.serial).max()?;
        let of: Vec<&Offer> = self.offers.iter().filter(|o| o.serial == newest).collect();
        let votes = |o: &Offer| of.iter().filter(|other| same(o, other)).count();
        let best = of.iter().max_by_key(|o| votes(o))?;
        let rivals = of.iter().any(|o| !same(o, best));
        (!rivals || votes(best) * 2 > up).then(|| best.from.clone())
    }
}

fn same(one: &Offer, other: &Offer) -> bool {
    let of = |o: &Offer| o.executors.iter().map(|e| (e.id.clone(), e.address, e.state)).collect::<Vec<_>>();
    of(one) == of(other)
}

#[cfg(test)]
mod tests;
