//! Hints of executor failures that a dispatcher observes on its own sockets and gossips to its peers. A hint makes the
//! receiver probe the executor; it never bans one. The module makes decisions and keeps state without I/O; the clock is
//! passed in. Tables, note sizes and the rate of probes are bounded.
//!
//! Hints spread by rumour mongering (Demers and others: "Epidemic Algorithms for Replicated Database Maintenance", PODC
//! 1987, section 1.4): each receiver passes a rumour on for a number of rounds, each time to a few randomly drawn peers.

use crate::api::{Micros, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Channel of hints among the membership's notes.
pub const CHANNEL: u8 = 1;
/// Number of peers to which a hint is passed on in a round.
pub const FANOUT: usize = 3;

/// Interval between two rounds of gossip.
const ROUND_US: Micros = 50_000;
/// Failures of one executor within this time count as one event.
const SAME_EVENT_US: Micros = 1_000_000;
/// Age from which a hint is neither sent nor accepted.
const MAX_HINT_AGE_US: Micros = 10_000_000;
/// Maximum number of executors for which a rumour is kept.
const MAX_RUMOURS: usize = 1_024;
/// Maximum length of an executor id in a hint.
const MAX_ID_BYTES: usize = 128;
/// Maximum size of one note.
const MAX_NOTE_BYTES: usize = 800;
/// Burst size of the limit on probes. Without the limit, a peer that sends false hints could make every dispatcher connect
/// to every executor.
const PROBE_BURST: u32 = 16;
/// Time after which the limit on probes allows one more.
const PROBE_REFILL_US: Micros = 100_000;
/// Minimum interval between two probes of one executor, except for the retry of a refused one.
const PROBE_INTERVAL_US: Micros = 5_000_000;
/// Delay before the one retry of a refused probe; a single refusal may be due to a full accept queue.
const PROBE_RETRY_US: Micros = 300_000;

/// One hint as sent in a note.
#[derive(Debug, Serialize, Deserialize)]
struct HintEntry {
    worker: WorkerId,
    age_ms: u32,
}

/// A failure of one executor that is being gossiped.
struct Rumour {
    /// Time at which the failure was observed.
    observed_at: Micros,
    /// Number of rounds in which it is still passed on.
    rounds_left: u32,
    /// Time of the last probe that was not a retry.
    probed_at: Option<Micros>,
    /// Number of probes since then, including that one and its retry.
    probes: u8,
}

/// Rumours observed here or received from peers, and the limits on the probes that they cause.
#[derive(Default)]
pub struct Hints {
    rumours: BTreeMap<WorkerId, Rumour>,
    next_round: Micros,
    /// Probes that may be made now, and the time up to which the allowance has been refilled.
    probe_tokens: u32,
    refilled_at: Micros,
    /// Refused probes to be retried, by time.
    retries: VecDeque<(Micros, WorkerId)>,
}

impl Hints {
    /// Creates an empty state with a full allowance of probes.
    pub fn new(now: Micros) -> Hints {
        Hints { probe_tokens: PROBE_BURST, refilled_at: now, ..Hints::default() }
    }

    /// Records a failure observed here. Returns whether it is a new event, which is then gossiped.
    pub fn observe(&mut self, now: Micros, worker: &WorkerId, others: usize) -> bool {
        self.record(now, now, worker, others)
    }

    /// Takes a note from a peer. Returns the executors of which it reports a new event.
    pub fn receive(&mut self, now: Micros, bytes: &[u8], others: usize) -> Vec<WorkerId> {
        let entries: Vec<HintEntry> = postcard::from_bytes(bytes).unwrap_or_default();
        let observed_at = |age_ms: u32| now.saturating_sub(u64::from(age_ms) * 1_000);
        entries
            .into_iter()
            .filter(|e| self.record(now, observed_at(e.age_ms), &e.worker, others))
            .map(|e| e.worker)
            .collect()
    }

    fn record(&mut self, now: Micros, observed_at: Micros, worker: &WorkerId, others: usize) -> bool {
        let known = self.rumours.get(worker).is_some_and(|r| observed_at < r.observed_at + SAME_EVENT_US);
        let stale = observed_at + MAX_HINT_AGE_US <= now;
        if known || stale || worker.is_empty() || worker.len() > MAX_ID_BYTES {
            return false;
        }
        if self.rumours.len() >= MAX_RUMOURS && !self.rumours.contains_key(worker) {
            let oldest = self.rumours.iter().min_by_key(|(_, r)| r.observed_at).map(|(w, _)| w.clone());
            if let Some(worker) = oldest {
                self.rumours.remove(&worker);
            }
        }
        // Almost always enough to reach all members: a round multiplies the number of informed members by up to one more
        // than the fan-out.
        let rounds_left = (others + 1).ilog2() + 2;
        if self.rumours.values().all(|r| r.rounds_left == 0) {
            self.next_round = now;
        }
        let (probed_at, probes) = self.rumours.get(worker).map_or((None, 0), |r| (r.probed_at, r.probes));
        self.rumours.insert(worker.clone(), Rumour { observed_at, rounds_left, probed_at, probes });
        true
    }

    /// Returns whether an executor may be probed now, and counts the probe. Without the interval per executor, each probe of
    /// one that stays down would be observed, gossiped and repeated by all members without end.
    pub fn may_probe(&mut self, now: Micros, worker: &WorkerId) -> bool {
        if let Some(rumour) = self.rumours.get_mut(worker) {
            if rumour.probed_at.is_some_and(|at| now < at + PROBE_INTERVAL_US) {
                return false;
            }
            (rumour.probed_at, rumour.probes) = (Some(now), 1);
        }
        let refill = now.saturating_sub(self.refilled_at) / PROBE_REFILL_US;
        self.probe_tokens = (u64::from(self.probe_tokens) + refill).min(u64::from(PROBE_BURST)) as u32;
        let full = self.probe_tokens == PROBE_BURST;
        self.refilled_at = if full { now } else { self.refilled_at + refill * PROBE_REFILL_US };
        let allowed = self.probe_tokens > 0;
        self.probe_tokens -= u32::from(allowed);
        allowed
    }

    /// Records that a probe was refused, and schedules its one retry.
    pub fn probe_refused(&mut self, now: Micros, worker: &WorkerId) {
        if let Some(rumour) = self.rumours.get_mut(worker).filter(|r| r.probes == 1)
            && self.retries.len() < MAX_RUMOURS
        {
            rumour.probes = 2;
            self.retries.push_back((now + PROBE_RETRY_US, worker.clone()));
        }
    }

    /// Returns an executor whose refused probe is to be retried now.
    pub fn next_retry(&mut self, now: Micros) -> Option<WorkerId> {
        self.retries.pop_front_if(|(at, _)| *at <= now).map(|(_, worker)| worker)
    }

    /// Returns the time of the next round or retry.
    pub fn due(&self) -> Micros {
        let round = self.rumours.values().any(|r| r.rounds_left > 0).then_some(self.next_round);
        round.into_iter().chain(self.retries.front().map(|(at, _)| *at)).min().unwrap_or(Micros::MAX)
    }

    /// Returns the note to be sent to [`FANOUT`] peers now, if a round is due and there are rumours to pass on.
    pub fn next_note(&mut self, now: Micros) -> Option<Vec<u8>> {
        if now < self.next_round || self.rumours.values().all(|r| r.rounds_left == 0) {
            return None;
        }
        self.next_round = now + ROUND_US;
        self.rumours.retain(|_, r| r.observed_at + MAX_HINT_AGE_US > now);
        let mut active: Vec<(&WorkerId, &mut Rumour)> =
            self.rumours.iter_mut().filter(|(_, r)| r.rounds_left > 0).collect();
        // Rumours with the most rounds left, hence the least widely spread, go first.
        active.sort_by_key(|(_, r)| u32::MAX - r.rounds_left);
        let (mut entries, mut bytes) = (Vec::new(), 2);
        for (worker, rumour) in active {
            bytes += worker.len() + 7;
            if bytes > MAX_NOTE_BYTES {
                break;
            }
            rumour.rounds_left -= 1;
            let age_ms = (now.saturating_sub(rumour.observed_at) / 1_000) as u32;
            entries.push(HintEntry { worker: worker.clone(), age_ms });
        }
        postcard::to_stdvec(&entries).ok().filter(|_| !entries.is_empty())
    }
}

#[cfg(test)]
mod tests;
