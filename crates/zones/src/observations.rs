//! One member's observations of the zones: a bounded, decaying record of its own attempts per worker, by
//! cause of failure.
//!
//! A zone is judged by its workers and not by its requests: a worker that fails fast draws many requests but
//! counts once. A member also considers its own faults: where no zone is well to it, the cause may be the
//! member itself or something shared by all zones (the store), and it gives no opinion.

use crate::{MAX_KINDS, MAX_WORKERS, Micros, Terms};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Percentage of the workers with an opinion that decides the opinion of their zone.
const MAJORITY_PERCENT: usize = 60;
/// A worker is slow if its response times exceed the usual ones by this ratio, and its zone is slow if they
/// do so relative to the best worker of the other zones.
const SLOW_RATIO: f64 = 3.0;
/// Number of recent answers of a worker whose median decides whether it is slow.
const RECENT_ANSWERS: usize = 3;
/// Weights of a new answer in the usual time of a kind of request, for an answer faster than usual and for
/// any other. The second is lower so that a zone that is slow for long does not become the usual.
const FASTER_ANSWER_WEIGHT: f64 = 0.05;
const SLOWER_ANSWER_WEIGHT: f64 = 0.005;
/// Time constant of rates and half-life of peaks, in microseconds.
const RATE_WINDOW_US: f64 = 1_000_000.0;
const PEAK_HALF_LIFE_US: f64 = 60_000_000.0;

/// Outcome of an attempt at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The worker answered; with the kind of the request and, where one copy was in place, the response time.
    Answered(u64, Option<Micros>),
    /// No connection was established.
    Refused,
    /// The connection broke.
    Reset,
    /// No answer came and the attempt was abandoned.
    Abandoned,
}

/// A member's opinion of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Opinion {
    /// Too few observations, or the fault may be the member's own.
    #[default]
    None,
    /// Its workers answer as usual.
    Well,
    /// They answer far later than usual.
    Slow,
    /// They do not answer: dead, or partitioned off.
    Silent,
    /// They are gone: connections are refused or break.
    Gone,
}

impl Opinion {
    /// Returns whether the zone should get no traffic.
    pub fn is_failing(self) -> bool {
        matches!(self, Opinion::Silent | Opinion::Gone)
    }
}

#[derive(Clone, Debug, Default)]
struct Worker {
    zone: Arc<str>,
    open_attempts: u32,
    /// When the oldest attempt was sent since the last answer, while any is open.
    waiting_since: Option<Micros>,
    last_answer_at: Option<Micros>,
    connection_failed_at: Option<Micros>,
    /// When it was last found silent.
    silent_at: Option<Micros>,
    /// Recent answers: when, and the ratio of the response time to the usual one.
    recent: VecDeque<(Micros, f64)>,
    slow_since: Option<Micros>,
}

impl Worker {
    /// Returns the median ratio of the recent answers, if there are enough.
    fn slowness(&self) -> Option<f64> {
        let mut ratios: Vec<f64> = self.recent.iter().map(|(_, ratio)| *ratio).collect();
        ratios.sort_by(f64::total_cmp);
        ratios.get(RECENT_ANSWERS / 2).copied().filter(|_| ratios.len() == RECENT_ANSWERS)
    }

    fn record_time(&mut self, now: Micros, ratio: f64) {
        if self.recent.len() >= RECENT_ANSWERS {
            self.recent.pop_front();
        }
        self.recent.push_back((now, ratio));
        let slow = ratio >= SLOW_RATIO && self.slowness().is_some_and(|s| s >= SLOW_RATIO);
        self.slow_since = if slow { self.slow_since.or(Some(now)) } else { None };
    }

    /// Returns the median ratio if all recent answers came after `since`.
    fn slowness_since(&self, since: Micros) -> Option<f64> {
        self.recent.front().filter(|(at, _)| *at >= since).and_then(|_| self.slowness())
    }

    /// Returns the opinion that follows from observations since `since`.
    fn opinion(&self, now: Micros, since: Micros, terms: &Terms) -> Opinion {
        let within = |at: Option<Micros>, time| at.filter(|at| *at >= since && now < *at + time);
        // An answer expires early: otherwise a member that last had one before the worker fell silent would
        // outvote those that find it silent.
        let recent_answer = within(self.last_answer_at, terms.answer_ttl());
        // A failed worker is sent nothing that could renew the failure, so a failure counts for longer.
        let failed = |at: Option<Micros>| within(at, 2 * terms.max_age) > self.last_answer_at;
        if failed(self.connection_failed_at) {
            return Opinion::Gone;
        }
        let overdue = self.waiting_since.is_some_and(|at| at >= since && now >= at + terms.silent);
        if overdue || failed(self.silent_at) {
            return Opinion::Silent;
        }
        match recent_answer {
            Some(_) if self.slow_since.is_some() => Opinion::Slow,
            Some(_) => Opinion::Well,
            None => Opinion::None,
        }
    }
}

/// Rate of answers from a zone, now and at its peak, per second.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    at: Micros,
    now: f64,
    peak: f64,
}

impl Rate {
    fn decay(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.at) as f64;
        self.now *= (-elapsed / RATE_WINDOW_US).exp();
        self.peak = (self.peak * 0.5_f64.powf(elapsed / PEAK_HALF_LIFE_US)).max(self.now);
        self.at = self.at.max(now);
    }
}

/// One member's observations.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    workers: BTreeMap<Arc<str>, Worker>,
    /// The usual time of each kind of request, over all zones.
    usual_times: BTreeMap<u64, f64>,
    rates: BTreeMap<Arc<str>, Rate>,
    /// Since when each zone has been slower than others.
    slower_since: BTreeMap<Arc<str>, Micros>,
}

impl Observations {
    /// Sets the list of workers and their zones; everything about other workers is dropped.
    pub fn listed(&mut self, list: &[(Arc<str>, Arc<str>)]) {
        let mut old = std::mem::take(&mut self.workers);
        for (worker, zone) in list.iter().take(MAX_WORKERS) {
            let known = old.remove(worker).filter(|w| w.zone == *zone);
            let new_worker = || Worker { zone: zone.clone(), ..Worker::default() };
            self.workers.insert(worker.clone(), known.unwrap_or_else(new_worker));
        }
        let workers = &self.workers;
        self.rates.retain(|zone, _| workers.values().any(|w| w.zone == *zone));
    }

    /// Returns the zone of a worker.
    pub fn zone(&self, worker: &str) -> Option<Arc<str>> {
        self.workers.get(worker).map(|w| w.zone.clone())
    }

    /// Records an attempt sent to a worker.
    pub fn sent(&mut self, now: Micros, worker: &str) {
        if let Some(w) = self.workers.get_mut(worker) {
            w.open_attempts += 1;
            w.waiting_since.get_or_insert(now);
        }
    }

    /// Records the outcome of an attempt; returns true if the worker answered.
    pub fn ended(&mut self, now: Micros, worker: &str, end: AttemptOutcome, terms: &Terms) -> bool {
        let Some(state) = self.workers.get_mut(worker) else { return false };
        state.open_attempts = state.open_attempts.saturating_sub(1);
        match end {
            AttemptOutcome::Answered(kind, took) => {
                state.last_answer_at = Some(now);
                if let Some(took) = took {
                    let has_room = self.usual_times.len() < MAX_KINDS;
                    if let Some(usual) = self.usual_times.get_mut(&kind) {
                        let ratio = took as f64 / usual.max(1.0);
                        let weight = if ratio < 1.0 { FASTER_ANSWER_WEIGHT } else { SLOWER_ANSWER_WEIGHT };
                        *usual += weight * (took as f64 - *usual).min(*usual);
                        state.record_time(now, ratio);
                    } else if has_room {
                        self.usual_times.insert(kind, took as f64);
                    }
                }
                let rate = self.rates.entry(state.zone.clone()).or_default();
                rate.decay(now);
                rate.now += 1e6 / RATE_WINDOW_US;
                rate.peak = rate.peak.max(rate.now);
            }
            AttemptOutcome::Refused | AttemptOutcome::Reset => state.connection_failed_at = Some(now),
            AttemptOutcome::Abandoned => {
                if state.waiting_since.is_some_and(|at| now >= at + terms.silent) {
                    state.silent_at = Some(now);
                }
            }
        }
        // Attempts still open wait from now on if the worker showed any reaction.
        state.waiting_since = match (state.open_attempts, end) {
            (0, _) => None,
            (_, AttemptOutcome::Abandoned) => state.waiting_since,
            _ => Some(now),
        };
        matches!(end, AttemptOutcome::Answered(..))
    }

    /// Discards all observations. Used after a stall of this process, when they describe the state before it.
    pub fn forget(&mut self, now: Micros) {
        for w in self.workers.values_mut() {
            (w.last_answer_at, w.connection_failed_at, w.silent_at) = (None, None, None);
            w.waiting_since = w.waiting_since.map(|_| now);
        }
    }

    /// Returns whether the zone gave an answer recently.
    pub fn answers(&self, now: Micros, zone: &str, terms: &Terms) -> bool {
        let recently = |w: &Worker| w.last_answer_at.is_some_and(|at| now < at + terms.answer_ttl());
        self.workers.values().any(|w| &*w.zone == zone && recently(w))
    }

    /// Returns the zones that have workers.
    pub fn zones(&self) -> Vec<Arc<str>> {
        let mut zones: Vec<Arc<str>> = self.workers.values().map(|w| w.zone.clone()).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// Returns the rate of answers from a zone, now and at its recent peak, in thousandths of an answer per
    /// second.
    pub fn rate(&mut self, now: Micros, zone: &str) -> (u32, u32) {
        let Some(rate) = self.rates.get_mut(zone) else { return (0, 0) };
        rate.decay(now);
        ((rate.now * 1e3) as u32, (rate.peak * 1e3) as u32)
    }

    /// Returns the opinion of a zone from its own workers alone, by observations since `since`.
    fn zone_opinion(&self, now: Micros, zone: &str, since: Micros, terms: &Terms) -> Opinion {
        let all = || self.workers.values().filter(|w| &*w.zone == zone);
        let opinions: Vec<Opinion> =
            all().map(|w| w.opinion(now, since, terms)).filter(|o| *o != Opinion::None).collect();
        let known = opinions.len();
        let of = |opinion: Opinion| opinions.iter().filter(|o| **o == opinion).count();
        let is_majority = |count: usize| count * 100 >= known * MAJORITY_PERCENT;
        let (gone, silent, slow) = (of(Opinion::Gone), of(Opinion::Silent), of(Opinion::Slow));
        match known {
            0 => Opinion::None,
            // A failure needs two workers, or half of them: a single failing worker says nothing about its
            // zone.
            _ if known < all().count().div_ceil(2).min(2) && gone + silent + slow > 0 => Opinion::None,
            _ if is_majority(gone + silent) && gone >= silent => Opinion::Gone,
            _ if is_majority(gone + silent) => Opinion::Silent,
            _ if is_majority(slow) => Opinion::Slow,
            _ if 2 * of(Opinion::Well) >= known => Opinion::Well,
            _ => Opinion::None,
        }
    }

    /// Returns whether a zone is slow relative to the best worker of another by answers of the same period,
    /// and still gave late answers [`Terms::silent`] after that first showed. Where the store slows all
    /// zones, they become slow and fast again one after the other as answers arrive, and a shorter
    /// observation would blame the zones that come first.
    fn slower_than_others(&mut self, now: Micros, zone: &Arc<str>, terms: &Terms) -> bool {
        let own = || self.workers.values().filter(|w| w.zone == *zone && w.slow_since.is_some());
        let since = own().filter_map(|w| w.slow_since).min().unwrap_or(now);
        let last = own().filter_map(|w| w.recent.back()).map(|(at, _)| *at).max().unwrap_or(0);
        let slowness = own().filter_map(Worker::slowness).fold(f64::INFINITY, f64::min);
        let others = self.workers.values().filter(|w| w.zone != *zone);
        let answers = |w: &&Worker| w.last_answer_at.is_some_and(|at| now < at + terms.max_age);
        let best =
            others.filter(answers).filter_map(|w| w.slowness_since(since)).fold(f64::INFINITY, f64::min);
        if !(best.is_finite() && slowness.is_finite() && slowness >= SLOW_RATIO * best) {
            self.slower_since.remove(zone);
            return false;
        }
        let first_seen = *self.slower_since.entry(zone.clone()).or_insert(now);
        last >= first_seen + terms.silent
    }

    /// Returns this member's opinion of each zone, by observations since the time given for it.
    pub fn opinions(&mut self, now: Micros, zones: &[(Arc<str>, Micros)], terms: &Terms) -> Vec<Opinion> {
        let zone_opinions: Vec<Opinion> =
            zones.iter().map(|(zone, since)| self.zone_opinion(now, zone, *since, terms)).collect();
        let slower: Vec<bool> =
            zones.iter().map(|(zone, _)| self.slower_than_others(now, zone, terms)).collect();
        let opinion_of = |index: usize| {
            let others = || zone_opinions.iter().enumerate().filter(|(n, _)| *n != index).map(|(_, p)| p);
            let well = others().any(|o| *o == Opinion::Well);
            match zone_opinions[index] {
                // A refusal is sent by the other side, so it is no fault of this member's own link. Still,
                // where another zone fails as well and none is well, no opinion is given.
                Opinion::Gone if well || !others().any(|o| o.is_failing()) => Opinion::Gone,
                Opinion::Silent if well => Opinion::Silent,
                // If all zones are slow alike, the cause is the store, a release or the load, and not a zone.
                Opinion::Slow if slower[index] => Opinion::Slow,
                Opinion::Well => Opinion::Well,
                _ => Opinion::None,
            }
        };
        (0..zone_opinions.len()).map(opinion_of).collect()
    }
}

#[cfg(test)]
mod tests;
