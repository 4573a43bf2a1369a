//! Circuit breakers for workers: one trial at a time across the fleet, then a ramp.
//!
//! A circuit opens only on this member's own observations, never on another member's message. While it is
//! open the worker is tried by its owner among the members that see each other (the highest rendezvous hash
//! of worker and member; Thaler, Ravishankar: "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM ToN
//! 1998), by the next in rank if the owner makes no trial, and by any member after that. In a partition each
//! side thus has an owner, and a failed owner is replaced after [`Terms::trial`]. A member that gets an
//! answer notifies all others; from then on the worker is admitted at a fleet-wide rate that doubles, of
//! which each member has its part, until the ramp is over.

use crate::{Micros, TokenBucket};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// Maximum number of workers whose circuits are not closed.
pub const MAX_OPEN_CIRCUITS: usize = 1_024;
/// Fleet-wide rate at the start of the ramp, in thousandths of a request per second.
const RAMP_START_MILLI_PER_S: u64 = 4_000;
/// Number of doublings of the rate in a ramp.
const RAMP_DOUBLINGS: f64 = 8.0;
/// Upper bound of the backoff between refused trials, as a multiple of [`Terms::trial`]; it doubles from one.
const MAX_BACKOFF_FACTOR: u32 = 8;
/// Maximum number of times in a row that trials of other members defer this member's.
const MAX_DEFERRALS: u32 = 8;
/// Percentage of all workers from which, if their circuits are not closed, the gates fail open: the fault may
/// be this member's own.
const FAIL_OPEN_PERCENT: usize = 50;

/// Durations of a circuit's phases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Initial time between two trials, and the time after which the next member tries in the owner's place.
    pub trial: Micros,
    /// Duration of the ramp.
    pub ramp: Micros,
}

#[derive(Clone, Debug)]
enum State {
    /// Only trials are sent: when the next is due, how many were refused, whether one of this member's is
    /// running, and how often in a row trials of other members deferred this member's.
    Open { next_trial: Micros, refused: u32, trial_running: bool, deferrals: u32 },
    /// The worker answered and is admitted at a limited rate since `started_at`.
    Ramp { started_at: Micros, bucket: TokenBucket },
}

impl State {
    fn refusals(&self) -> Option<u32> {
        if let State::Open { refused, .. } = self { Some(*refused) } else { None }
    }
}

/// The circuits of one member that are not closed.
#[derive(Clone, Debug)]
pub struct CircuitBreakers {
    terms: Terms,
    states: BTreeMap<Arc<str>, State>,
}

/// Returns the rank of a member for a worker among all members, itself included: 0 is the owner.
pub fn rank(worker: &str, own: &str, others: &[Arc<str>]) -> usize {
    let weight = |member: &str| {
        let mut hasher = SipHasher13::new();
        (worker, member).hash(&mut hasher);
        hasher.finish()
    };
    let own_weight = (weight(own), own);
    others.iter().filter(|o| (weight(o), &***o) > own_weight).count()
}

impl CircuitBreakers {
    /// Creates the table with all circuits closed.
    pub fn new(terms: Terms) -> CircuitBreakers {
        CircuitBreakers { terms, states: BTreeMap::new() }
    }

    /// Records that a connection to the worker was refused or not established at this member. Returns true if
    /// that was a trial of this member, of which the others are to be notified.
    pub fn record_refusal(&mut self, now: Micros, worker: &Arc<str>) -> bool {
        let (refused, own_trial) = match self.states.get(worker) {
            // Requests sent before the circuit opened carry no new information.
            Some(State::Open { trial_running: false, .. }) => return false,
            Some(State::Open { refused, .. }) => (refused + 1, true),
            None if self.states.len() >= MAX_OPEN_CIRCUITS => return false,
            Some(State::Ramp { .. }) | None => (0, false),
        };
        let next_trial = now + self.trial_backoff(refused);
        self.states
            .insert(worker.clone(), State::Open { next_trial, refused, trial_running: false, deferrals: 0 });
        own_trial
    }

    /// Records another member's report of a refused trial, which defers this member's own. The number of
    /// deferrals in a row is bounded: a member that sent such reports endlessly would otherwise keep a worker
    /// out for ever.
    pub fn record_peer_trial(&mut self, now: Micros, worker: &str) {
        let backoff = self
            .states
            .get(worker)
            .and_then(State::refusals)
            .map_or(0, |refused| self.trial_backoff(refused + 1));
        if let Some(State::Open { next_trial, refused, trial_running: false, deferrals }) =
            self.states.get_mut(worker)
            && *deferrals < MAX_DEFERRALS
        {
            (*next_trial, *refused, *deferrals) = (now + backoff, *refused + 1, *deferrals + 1);
        }
    }

    /// Returns the time until the next trial after this many refusals.
    fn trial_backoff(&self, refused: u32) -> Micros {
        self.terms.trial * Micros::from((1_u32 << refused.min(8)).min(MAX_BACKOFF_FACTOR))
    }

    /// Records an answer at this member; returns true if the others are to be notified.
    pub fn record_answer(&mut self, now: Micros, worker: &str) -> bool {
        let was_open = matches!(self.states.get(worker), Some(State::Open { .. }));
        if was_open {
            self.start_ramp(now, worker, now);
        }
        was_open
    }

    /// Records another member's report of an answer `ago` before now. It neither opens nor closes a circuit:
    /// an open one starts its ramp.
    pub fn record_peer_answer(&mut self, now: Micros, worker: &str, ago: Micros) {
        if matches!(self.states.get(worker), Some(State::Open { .. })) && ago < self.terms.ramp {
            self.start_ramp(now, worker, now - ago);
        }
    }

    fn start_ramp(&mut self, now: Micros, worker: &str, started_at: Micros) {
        if let Some(state) = self.states.get_mut(worker) {
            *state = State::Ramp { started_at, bucket: TokenBucket::new(self.terms.trial, now) };
        }
    }

    /// Returns, for each worker whose circuit is not closed, how many requests it may get now; other workers
    /// are not limited. `workers` is the number of all workers, and the ramp's rate is divided by `parts`.
    pub fn gates(
        &mut self,
        now: Micros,
        own: &str,
        others: &[Arc<str>],
        (workers, parts): (usize, usize),
    ) -> Vec<(Arc<str>, u64)> {
        let ramp = self.terms.ramp.max(1);
        self.states.retain(|_, s| !matches!(s, State::Ramp { started_at, .. } if now >= *started_at + ramp));
        if self.states.len() * 100 >= workers.max(1) * FAIL_OPEN_PERCENT {
            return Vec::new();
        }
        let trial = self.terms.trial;
        let gate = |(worker, state): (&Arc<str>, &mut State)| {
            let left = match state {
                State::Open { next_trial, .. } => {
                    // The owner tries at once, the next in rank one trial interval later, any member after
                    // three.
                    let rank = rank(worker, own, others).min(3) as u64;
                    u64::from(now >= *next_trial + rank * trial)
                }
                State::Ramp { started_at, bucket } => {
                    let elapsed = now.saturating_sub(*started_at) as f64 / ramp as f64;
                    let rate = RAMP_START_MILLI_PER_S as f64 * (elapsed * RAMP_DOUBLINGS).exp2();
                    bucket.refill(now, (rate / parts.max(1) as f64) as u64)
                }
            };
            (worker.clone(), left)
        };
        self.states.iter_mut().map(gate).collect()
    }

    /// Records requests sent to the worker through its gate.
    pub fn record_sent(&mut self, now: Micros, worker: &str, count: u64) {
        let backoff = self
            .states
            .get(worker)
            .and_then(State::refusals)
            .map_or(0, |refused| self.trial_backoff(refused));
        match self.states.get_mut(worker) {
            // No second trial until this one has ended, or has had the time for it.
            Some(State::Open { next_trial, trial_running, deferrals, .. }) => {
                (*next_trial, *trial_running, *deferrals) = (now + backoff, true, 0)
            }
            Some(State::Ramp { bucket, .. }) => {
                bucket.take(count);
            }
            None => {}
        }
    }

    /// Returns whether the worker's circuit is open.
    pub fn is_open(&self, worker: &str) -> bool {
        matches!(self.states.get(worker), Some(State::Open { .. }))
    }

    /// Removes workers that are no longer listed.
    pub fn retain_workers(&mut self, listed: impl Fn(&str) -> bool) {
        self.states.retain(|worker, _| listed(worker));
    }

    /// Returns the number of open circuits and of ramps.
    pub fn open_and_ramping(&self) -> (usize, usize) {
        let open = self.states.values().filter(|s| matches!(s, State::Open { .. })).count();
        (open, self.states.len() - open)
    }
}

#[cfg(test)]
mod tests;
