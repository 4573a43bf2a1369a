//! Workers that a whole fleet takes back with care: one trial at a time, then a ramp.
//!
//! A circuit opens here by what this member saw itself, never by a word of others. While it is open the worker gets trials: from its
//! owner among the members that see each other (the highest rendezvous hash of worker and member; Thaler, Ravishankar:
//! "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM ToN 1998), from the next one if the owner makes none, and from
//! anyone after that. So in a cut each side has its owner, and a dead owner is replaced after [`Terms::trial`]. Who gets an answer
//! tells all; from then on the worker is let in by a rate of the whole fleet that doubles, of which each has its part, until
//! the ramp is over.

use crate::{Bucket, Micros};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// Workers whose circuits are not closed, at the most.
pub const MOST_OPEN: usize = 1_024;
/// The rate of the whole fleet at the ramp's beginning, in thousandths of a request a second.
const FIRST_RATE: u64 = 4_000;
/// It doubles so often in a ramp.
const DOUBLINGS: f64 = 8.0;
/// A trial that was refused is made again after the usual time, then twice that, up to so many times it.
const MOST_WAIT: u32 = 8;
/// Trials of others put ours off so many times in a row.
const MOST_PUT_OFF: u32 = 8;
/// Where so many of all workers, in hundredths, would be kept from, none is: what fails may be this member.
const FAIL_OPEN: usize = 50;

/// Times of a circuit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Between two trials at first, and until the next member makes one in the owner's place.
    pub trial: Micros,
    /// How long the ramp takes.
    pub ramp: Micros,
}

#[derive(Clone, Debug)]
enum State {
    /// It gets trials: when the next is due, how many were refused, whether one of ours is under way, and how many trials of others
    /// have put ours off.
    Open { next: Micros, refused: u32, trial: bool, put_off: u32 },
    /// It answered; since when it is let in by a rate.
    Ramp { since: Micros, bucket: Bucket },
}

impl State {
    fn refusals(&self) -> Option<u32> {
        if let State::Open { refused, .. } = self { Some(*refused) } else { None }
    }
}

/// The circuits of one member that are not closed.
#[derive(Clone, Debug)]
pub struct Circuits {
    terms: Terms,
    states: BTreeMap<Arc<str>, State>,
}

/// Where a member stands for a worker among all, itself included: 0 owns it.
pub fn rank(worker: &str, own: &str, others: &[Arc<str>]) -> usize {
    let weight = |member: &str| {
        let mut hasher = SipHasher13::new();
        (worker, member).hash(&mut hasher);
        hasher.finish()
    };
    let mine = (weight(own), own);
    others.iter().filter(|o| (weight(o), &***o) > mine).count()
}

impl Circuits {
    /// All are closed.
    pub fn new(terms: Terms) -> Circuits {
        Circuits { terms, states: BTreeMap::new() }
    }

    /// A connection to it was refused, or did not come up: seen here. True if that was a trial of ours, of which others should hear.
    pub fn refused(&mut self, now: Micros, worker: &Arc<str>) -> bool {
        let (refused, ours) = match self.states.get(worker) {
            // What was sent before it opened tells nothing new.
            Some(State::Open { trial: false, .. }) => return false,
            Some(State::Open { refused, .. }) => (refused + 1, true),
            None if self.states.len() >= MOST_OPEN => return false,
            Some(State::Ramp { .. }) | None => (0, false),
        };
        let next = now + self.wait(refused);
        self.states.insert(worker.clone(), State::Open { next, refused, trial: false, put_off: 0 });
        ours
    }

    /// Another says that it made a trial, which was refused: ours is put off. Danger: one that says so without end would keep a
    /// worker out for ever; so many times, and ours is made.
    pub fn tried(&mut self, now: Micros, worker: &str) {
        let wait =
            self.states.get(worker).and_then(State::refusals).map_or(0, |refused| self.wait(refused + 1));
        if let Some(State::Open { next, refused, trial: false, put_off }) = self.states.get_mut(worker)
            && *put_off < MOST_PUT_OFF
        {
            (*next, *refused, *put_off) = (now + wait, *refused + 1, *put_off + 1);
        }
    }

    /// The time until the next trial, after so many that were refused.
    fn wait(&self, refused: u32) -> Micros {
        self.terms.trial * Micros::from((1_u32 << refused.min(8)).min(MOST_WAIT))
    }

    /// It answered here; true if that is news that others should hear.
    pub fn answered(&mut self, now: Micros, worker: &str) -> bool {
        let news = matches!(self.states.get(worker), Some(State::Open { .. }));
        if news {
            self.back(now, worker, now);
        }
        news
    }

    /// Another says that it answered, so long ago. It closes nothing and opens nothing: an open circuit becomes a ramp.
    pub fn told(&mut self, now: Micros, worker: &str, ago: Micros) {
        if matches!(self.states.get(worker), Some(State::Open { .. })) && ago < self.terms.ramp {
            self.back(now, worker, now - ago);
        }
    }

    fn back(&mut self, now: Micros, worker: &str, since: Micros) {
        if let Some(state) = self.states.get_mut(worker) {
            *state = State::Ramp { since, bucket: Bucket::new(self.terms.trial, now) };
        }
    }

    /// Of each worker whose circuit is not closed, how many requests it may get now; the others get what they get. `workers` is how
    /// many there are in all, the ramp's rate goes into `parts`.
    pub fn gates(
        &mut self,
        now: Micros,
        own: &str,
        others: &[Arc<str>],
        (workers, parts): (usize, usize),
    ) -> Vec<(Arc<str>, u64)> {
        let ramp = self.terms.ramp.max(1);
        self.states.retain(|_, s| !matches!(s, State::Ramp { since, .. } if now >= *since + ramp));
        if self.states.len() * 100 >= workers.max(1) * FAIL_OPEN {
            return Vec::new();
        }
        let trial = self.terms.trial;
        let gate = |(worker, state): (&Arc<str>, &mut State)| {
            let left = match state {
                State::Open { next, .. } => {
                    // The owner at once, the next one a while later, anyone after three.
                    let place = rank(worker, own, others).min(3) as u64;
                    u64::from(now >= *next + place * trial)
                }
                State::Ramp { since, bucket } => {
                    let passed = now.saturating_sub(*since) as f64 / ramp as f64;
                    let rate = FIRST_RATE as f64 * (passed * DOUBLINGS).exp2();
                    bucket.refill(now, (rate / parts.max(1) as f64) as u64)
                }
            };
            (worker.clone(), left)
        };
        self.states.iter_mut().map(gate).collect()
    }

    /// A request went to it through the gate.
    pub fn entered(&mut self, now: Micros, worker: &str, count: u64) {
        let wait = self.states.get(worker).and_then(State::refusals).map_or(0, |refused| self.wait(refused));
        match self.states.get_mut(worker) {
            // No second trial until this one has told, or had the time for it.
            Some(State::Open { next, trial, put_off, .. }) => {
                (*next, *trial, *put_off) = (now + wait, true, 0)
            }
            Some(State::Ramp { bucket, .. }) => {
                bucket.take(count);
            }
            None => {}
        }
    }

    /// Whether its circuit is open.
    pub fn is_open(&self, worker: &str) -> bool {
        matches!(self.states.get(worker), Some(State::Open { .. }))
    }

    /// Forgets those that are no longer there.
    pub fn retain(&mut self, there: impl Fn(&str) -> bool) {
        self.states.retain(|worker, _| there(worker));
    }

    /// Workers whose circuits are open, and those on a ramp.
    pub fn count(&self) -> (usize, usize) {
        let open = self.states.values().filter(|s| matches!(s, State::Open { .. })).count();
        (open, self.states.len() - open)
    }
}

#[cfg(test)]
mod tests;
