//! What one member sees of the zones: a bounded, fading record of its own attempts for each worker, causes apart.
//!
//! A zone is judged by its workers and not by its requests: one worker that fails fast draws many requests and is one worker. And
//! a member judges itself first: where no zone is well to it, the fault may be its own, or everybody's (the shared store), and
//! it says nothing of zones.

use crate::{MOST_KINDS, MOST_WORKERS, Micros, Terms};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Of the workers that tell something, so many hundredths decide what is said of their zone.
const MOST_OF: usize = 60;
/// A worker is slow beyond this multiple of what is usual, over the best of the other zones.
const SLOW: f64 = 3.0;
/// The last answers of a worker tell whether it is slow: the one in the middle.
const LAST: usize = 3;
/// Weight of a new answer in the usual time of a kind of request: of one that was quicker, and of one that was not, so that a zone
/// that is slow for long does not become the usual.
const LEARN_QUICKER: f64 = 0.05;
const LEARN_SLOWER: f64 = 0.005;
/// Rates are means over about this long, and peaks fade to half in that.
const RATE: f64 = 1_000_000.0;
const PEAK_HALF: f64 = 60_000_000.0;

/// How an attempt at a worker ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It was answered: of which kind the request was, and after how long where a copy stood.
    Answered(u64, Option<Micros>),
    /// No connection came up.
    Refused,
    /// The connection broke.
    Reset,
    /// Nothing came, and it was given up.
    GivenUp,
}

/// What is said of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Opinion {
    /// Too little was seen, or the fault may be the witness's own.
    #[default]
    None,
    /// Its workers answer as usual.
    Well,
    /// They answer far later than usual.
    Slow,
    /// They say nothing: dead, or cut off.
    Silent,
    /// They are gone: connections are refused or break.
    Gone,
}

impl Opinion {
    /// Whether nothing should go there.
    pub fn bad(self) -> bool {
        matches!(self, Opinion::Silent | Opinion::Gone)
    }
}

#[derive(Clone, Debug, Default)]
struct Worker {
    zone: Arc<str>,
    open: u32,
    /// The oldest send since it was last heard, where something is open.
    waiting: Option<Micros>,
    heard: Option<Micros>,
    broke: Option<Micros>,
    /// When it was last found silent.
    silent: Option<Micros>,
    /// The last answers: when, and how long they took against the usual.
    last: VecDeque<(Micros, f64)>,
    slow_since: Option<Micros>,
}

impl Worker {
    /// What is in the middle of the last answers, if there are as many.
    fn slowness(&self) -> Option<f64> {
        let mut of: Vec<f64> = self.last.iter().map(|(_, ratio)| *ratio).collect();
        of.sort_by(f64::total_cmp);
        of.get(LAST / 2).copied().filter(|_| of.len() == LAST)
    }

    fn took(&mut self, now: Micros, ratio: f64) {
        if self.last.len() >= LAST {
            self.last.pop_front();
        }
        self.last.push_back((now, ratio));
        let slow = ratio >= SLOW && self.slowness().is_some_and(|s| s >= SLOW);
        self.slow_since = if slow { self.slow_since.or(Some(now)) } else { None };
    }

    /// How slow it is by answers since then alone.
    fn slowness_since(&self, since: Micros) -> Option<f64> {
        self.last.front().filter(|(at, _)| *at >= since).and_then(|_| self.slowness())
    }

    /// What it tells by what was seen since then.
    fn tells(&self, now: Micros, since: Micros, terms: &Terms) -> Opinion {
        let within = |at: Option<Micros>, time| at.filter(|at| *at >= since && now < *at + time);
        // Danger: who last heard of it before it fell silent would outvote those that find it so.
        let last = within(self.heard, terms.heard());
        // What failed is sent nothing more by itself, so that it counts for longer.
        let failed = |at: Option<Micros>| within(at, 2 * terms.fresh) > self.heard;
        if failed(self.broke) {
            return Opinion::Gone;
        }
        let waits = self.waiting.is_some_and(|at| at >= since && now >= at + terms.silent);
        if waits || failed(self.silent) {
            return Opinion::Silent;
        }
        match last {
            Some(_) if self.slow_since.is_some() => Opinion::Slow,
            Some(_) => Opinion::Well,
            None => Opinion::None,
        }
    }
}

/// Answers a second from a zone, now and at the most.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    at: Micros,
    now: f64,
    peak: f64,
}

impl Rate {
    fn fade(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.at) as f64;
        self.now *= (-passed / RATE).exp();
        self.peak = (self.peak * 0.5_f64.powf(passed / PEAK_HALF)).max(self.now);
        self.at = self.at.max(now);
    }
}

/// What this member sees.
#[derive(Clone, Debug, Default)]
pub struct Sight {
    workers: BTreeMap<Arc<str>, Worker>,
    /// The usual time of a kind of request, over all zones.
    usual: BTreeMap<u64, f64>,
    rates: BTreeMap<Arc<str>, Rate>,
    /// Since when each zone has been slower than others.
    slower: BTreeMap<Arc<str>, Micros>,
}

impl Sight {
    /// The workers there are, and their zones; of others all is forgotten.
    pub fn listed(&mut self, list: &[(Arc<str>, Arc<str>)]) {
        let mut old = std::mem::take(&mut self.workers);
        for (worker, zone) in list.iter().take(MOST_WORKERS) {
            let known = old.remove(worker).filter(|w| w.zone == *zone);
            let fresh = || Worker { zone: zone.clone(), ..Worker::default() };
            self.workers.insert(worker.clone(), known.unwrap_or_else(fresh));
        }
        let workers = &self.workers;
        self.rates.retain(|zone, _| workers.values().any(|w| w.zone == *zone));
    }

    /// The zone of a worker.
    pub fn zone(&self, worker: &str) -> Option<Arc<str>> {
        self.workers.get(worker).map(|w| w.zone.clone())
    }

    /// Something was sent to a worker.
    pub fn sent(&mut self, now: Micros, worker: &str) {
        if let Some(w) = self.workers.get_mut(worker) {
            w.open += 1;
            w.waiting.get_or_insert(now);
        }
    }

    /// That came to its end; true if the worker answered.
    pub fn ended(&mut self, now: Micros, worker: &str, end: End, terms: &Terms) -> bool {
        let Some(w) = self.workers.get_mut(worker) else { return false };
        w.open = w.open.saturating_sub(1);
        match end {
            End::Answered(kind, took) => {
                w.heard = Some(now);
                if let Some(took) = took {
                    let room = self.usual.len() < MOST_KINDS;
                    if let Some(usual) = self.usual.get_mut(&kind) {
                        let ratio = took as f64 / usual.max(1.0);
                        let learn = if ratio < 1.0 { LEARN_QUICKER } else { LEARN_SLOWER };
                        *usual += learn * (took as f64 - *usual).min(*usual);
                        w.took(now, ratio);
                    } else if room {
                        self.usual.insert(kind, took as f64);
                    }
                }
                let rate = self.rates.entry(w.zone.clone()).or_default();
                rate.fade(now);
                rate.now += 1e6 / RATE;
                rate.peak = rate.peak.max(rate.now);
            }
            End::Refused | End::Reset => w.broke = Some(now),
            End::GivenUp => {
                if w.waiting.is_some_and(|at| now >= at + terms.silent) {
                    w.silent = Some(now);
                }
            }
        }
        // What is still open waits from now on, if anything was heard.
        w.waiting = match (w.open, end) {
            (0, _) => None,
            (_, End::GivenUp) => w.waiting,
            _ => Some(now),
        };
        matches!(end, End::Answered(..))
    }

    /// Nothing that was seen counts any more: the process stood still, and what it knows is of before.
    pub fn forget(&mut self, now: Micros) {
        for w in self.workers.values_mut() {
            (w.heard, w.broke, w.silent) = (None, None, None);
            w.waiting = w.waiting.map(|_| now);
        }
    }

    /// Whether anything was answered from a zone of late.
    pub fn answers(&self, now: Micros, zone: &str, terms: &Terms) -> bool {
        let lately = |w: &Worker| w.heard.is_some_and(|at| now < at + terms.heard());
        self.workers.values().any(|w| &*w.zone == zone && lately(w))
    }

    /// The zones with workers.
    pub fn zones(&self) -> Vec<Arc<str>> {
        let mut zones: Vec<Arc<str>> = self.workers.values().map(|w| w.zone.clone()).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// Answers a second from a zone, now and at its best of late, in thousandths.
    pub fn rate(&mut self, now: Micros, zone: &str) -> (u32, u32) {
        let Some(rate) = self.rates.get_mut(zone) else { return (0, 0) };
        rate.fade(now);
        ((rate.now * 1e3) as u32, (rate.peak * 1e3) as u32)
    }

    /// What the workers of a zone tell by themselves, by what was seen since then.
    fn plain(&self, now: Micros, zone: &str, since: Micros, terms: &Terms) -> Opinion {
        let all = || self.workers.values().filter(|w| &*w.zone == zone);
        let told: Vec<Opinion> =
            all().map(|w| w.tells(now, since, terms)).filter(|o| *o != Opinion::None).collect();
        let known = told.len();
        let of = |opinion: Opinion| told.iter().filter(|o| **o == opinion).count();
        let most = |count: usize| count * 100 >= known * MOST_OF;
        let (gone, silent, slow) = (of(Opinion::Gone), of(Opinion::Silent), of(Opinion::Slow));
        match known {
            0 => Opinion::None,
            // Two, or half of them: one that fails is no zone.
            _ if known < all().count().div_ceil(2).min(2) && gone + silent + slow > 0 => Opinion::None,
            _ if most(gone + silent) && gone >= silent => Opinion::Gone,
            _ if most(gone + silent) => Opinion::Silent,
            _ if most(slow) => Opinion::Slow,
            _ if 2 * of(Opinion::Well) >= known => Opinion::Well,
            _ => Opinion::None,
        }
    }

    /// Whether a zone is slow against the best worker of another, by answers of the same time, and has answered late after that showed
    /// for a while. Danger: where the store slows all, zones get slow and quick again one after the other, as answers come.
    fn slower(&mut self, now: Micros, zone: &Arc<str>, terms: &Terms) -> bool {
        let own = || self.workers.values().filter(|w| w.zone == *zone && w.slow_since.is_some());
        let since = own().filter_map(|w| w.slow_since).min().unwrap_or(now);
        let last = own().filter_map(|w| w.last.back()).map(|(at, _)| *at).max().unwrap_or(0);
        let slowness = own().filter_map(Worker::slowness).fold(f64::INFINITY, f64::min);
        let others = self.workers.values().filter(|w| w.zone != *zone);
        let answers = |w: &&Worker| w.heard.is_some_and(|at| now < at + terms.fresh);
        let best =
            others.filter(answers).filter_map(|w| w.slowness_since(since)).fold(f64::INFINITY, f64::min);
        if !(best.is_finite() && slowness.is_finite() && slowness >= SLOW * best) {
            self.slower.remove(zone);
            return false;
        }
        let began = *self.slower.entry(zone.clone()).or_insert(now);
        last >= began + terms.silent
    }

    /// What this member says of each of these zones, each by what was seen since its own time.
    pub fn opinions(&mut self, now: Micros, zones: &[(Arc<str>, Micros)], terms: &Terms) -> Vec<Opinion> {
        let plain: Vec<Opinion> =
            zones.iter().map(|(zone, since)| self.plain(now, zone, *since, terms)).collect();
        let slower: Vec<bool> = zones.iter().map(|(zone, _)| self.slower(now, zone, terms)).collect();
        let says = |place: usize| {
            let others = || plain.iter().enumerate().filter(|(n, _)| *n != place).map(|(_, p)| p);
            let well = others().any(|o| *o == Opinion::Well);
            match plain[place] {
                // A refusal comes from the other side, so that it is no fault of one's own link; still, where another zone
                // fails as well and none is well, nothing is said.
                Opinion::Gone if well || !others().any(|o| o.bad()) => Opinion::Gone,
                Opinion::Silent if well => Opinion::Silent,
                // All zones slow alike is the store, a release or the load, and no zone's fault.
                Opinion::Slow if slower[place] => Opinion::Slow,
                Opinion::Well => Opinion::Well,
                _ => Opinion::None,
            }
        };
        (0..plain.len()).map(says).collect()
    }
}

#[cfg(test)]
mod tests;
