//! Sums over all workers that a decision needs, kept up to date worker by worker: how many are up, what those that are
//! still cold can do, and how slow workers are on the whole. Nothing is decided here; the clock is passed in.

use super::Evidence;
use super::tables::Worker;
use crate::api::Micros;
use std::collections::BTreeSet;

/// What one worker tells of all counts as so many samples at the most.
const ONE_VOICE: f64 = 1.0;

/// The times by which samples fade and workers become warm.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Times {
    /// Half of what was observed is forgotten in this time.
    pub(super) half: f64,
    /// A worker is warm this long after its start.
    pub(super) warm_after: Micros,
}

/// What is counted of a worker.
#[derive(Clone, Copy, Debug, Default)]
struct Counted {
    up: bool,
    /// When it is warm; `None`: it is.
    warm_at: Option<Micros>,
    slow: Evidence,
    voice: Voice,
    /// Its place in the order by slowness.
    order: Option<u64>,
}

/// How much a worker tells of all.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Voice {
    /// Nothing.
    #[default]
    Silent,
    /// As one whole sample, until then.
    Whole { until: Micros },
    /// As what is left of less than one.
    Fading,
}

/// A sum whose parts all fade alike.
#[derive(Clone, Copy, Debug, Default)]
struct FadingSum {
    value: f64,
    at: Micros,
}

impl FadingSum {
    fn at(&self, now: Micros, half: f64) -> f64 {
        self.value * (-(now.saturating_sub(self.at) as f64) / half).exp2()
    }

    fn add(&mut self, now: Micros, half: f64, part: f64) {
        *self = FadingSum { value: self.at(now, half) + part, at: now };
    }
}

/// The sums.
#[derive(Clone, Debug, Default)]
pub(super) struct FleetSums {
    times: Times,
    workers: Vec<Counted>,
    up: usize,
    /// Workers that are not warm yet, by when they are.
    young: BTreeSet<(Micros, usize)>,
    /// Those that count as whole samples, by until when; and their sum.
    whole: BTreeSet<(Micros, usize)>,
    whole_sum: f64,
    fading: usize,
    fading_sum: FadingSum,
    fading_weight: FadingSum,
    /// All by their own mean slowness, those without any last; `f64`s of one sign are ordered as their bits are.
    by_slowness: BTreeSet<(u64, usize)>,
}

impl FleetSums {
    /// Sums over these workers.
    pub(super) fn of(times: Times, workers: &[Worker], now: Micros) -> FleetSums {
        let mut sums = FleetSums { times, ..FleetSums::default() };
        workers.iter().enumerate().for_each(|(slot, worker)| sums.update(slot, worker, now));
        sums
    }

    /// A worker is another one than it was.
    pub(super) fn update(&mut self, slot: usize, worker: &Worker, now: Micros) {
        self.advance(now);
        if self.workers.len() <= slot {
            self.workers.resize(slot + 1, Counted::default());
        }
        self.count(slot, now, false);
        let warm_at = worker.ready_at.map(|ready| ready.saturating_add(self.times.warm_after));
        self.workers[slot] = Counted {
            up: worker.up,
            warm_at: warm_at.filter(|at| now < *at),
            slow: worker.slow,
            ..Counted::default()
        };
        self.count(slot, now, true);
    }

    /// Lets time pass: who has become warm counts, and who is less than a whole sample fades.
    pub(super) fn advance(&mut self, now: Micros) {
        while let Some((_, slot)) = self.young.first().copied().filter(|(at, _)| *at <= now) {
            self.count(slot, now, false);
            self.workers[slot].warm_at = None;
            self.count(slot, now, true);
        }
        while let Some((_, slot)) = self.whole.first().copied().filter(|(until, _)| *until <= now) {
            self.count(slot, now, false);
            self.count(slot, now, true);
        }
    }

    fn count(&mut self, slot: usize, now: Micros, adds: bool) {
        let half = self.times.half;
        let counted = &mut self.workers[slot];
        let mean = counted.slow.own_mean();
        if adds {
            counted.voice = voice(counted, now, half);
            counted.order = Some(mean.map_or(f64::INFINITY, |m| m.max(0.0) + 0.0).to_bits());
        }
        let Counted { up, warm_at, slow, voice, order } = *counted;
        let sign = if adds { 1.0 } else { -1.0 };
        match (up, adds) {
            (true, true) => self.up += 1,
            (true, false) => self.up -= 1,
            (false, _) => {}
        }
        let change = |set: &mut BTreeSet<(u64, usize)>, key: u64| {
            if adds {
                set.insert((key, slot))
            } else {
                set.remove(&(key, slot))
            };
        };
        warm_at.into_iter().for_each(|at| change(&mut self.young, at));
        order.into_iter().for_each(|bits| change(&mut self.by_slowness, bits));
        match voice {
            Voice::Silent => {}
            Voice::Whole { until } => {
                change(&mut self.whole, until);
                self.whole_sum += sign * mean.unwrap_or_default();
            }
            Voice::Fading => {
                let left = slow.samples(now, half);
                self.fading_weight.add(now, half, sign * left);
                self.fading_sum.add(now, half, sign * left * mean.unwrap_or_default());
                self.fading = if adds { self.fading + 1 } else { self.fading.saturating_sub(1) };
            }
        }
        // What rounding leaves of a sum of nothing must not stay.
        if self.whole.is_empty() {
            self.whole_sum = 0.0;
        }
        if self.fading == 0 {
            (self.fading_sum, self.fading_weight) = Default::default();
        }
        if !adds {
            self.workers[slot].order = None;
            self.workers[slot].voice = Voice::Silent;
        }
    }

    /// Workers that are up.
    pub(super) fn up(&self) -> usize {
        self.up
    }

    /// The sum of the mean slowness of all that tell of it, each by how much it counts, and of how much they count;
    /// [`FleetSums::advance`] must have been told the time.
    pub(super) fn slowness(&self, now: Micros) -> (f64, f64) {
        let half = self.times.half;
        let fading = (self.fading_sum.at(now, half).max(0.0), self.fading_weight.at(now, half).max(0.0));
        (self.whole_sum.max(0.0) + fading.0, self.whole.len() as f64 + fading.1)
    }

    /// What all that are up can do, in warm workers, where one that is not warm yet can do `share` of that.
    pub(super) fn capacity(&self, share: impl Fn(usize) -> f64) -> f64 {
        let young = self.young.iter().map(|(_, slot)| *slot).filter(|slot| self.workers[*slot].up);
        let (count, shares) = young.fold((0, 0.0), |(count, sum), slot| (count + 1, sum + share(slot)));
        (self.up - count) as f64 + shares
    }

    /// All workers by their own mean slowness, the fastest first; those that nothing is known of come last, as
    /// infinitely slow.
    pub(super) fn by_slowness(&self) -> impl Iterator<Item = (f64, usize)> + '_ {
        self.by_slowness.iter().map(|(bits, slot)| (f64::from_bits(*bits), *slot))
    }

    /// The fastest and the slowest mean of any worker that something is known of.
    pub(super) fn slowness_range(&self) -> Option<(f64, f64)> {
        let unknown = (f64::INFINITY.to_bits(), 0);
        let most = self.by_slowness.range(..unknown).next_back()?;
        let least = self.by_slowness.first()?;
        Some((f64::from_bits(least.0), f64::from_bits(most.0)))
    }
}

fn voice(counted: &Counted, now: Micros, half: f64) -> Voice {
    let samples = counted.slow.samples(now, half);
    if counted.warm_at.is_some() || samples <= 0.0 {
        return Voice::Silent;
    }
    let whole_for = (samples / ONE_VOICE).log2() * half;
    if whole_for >= 1.0 { Voice::Whole { until: now + whole_for as Micros } } else { Voice::Fading }
}

#[cfg(test)]
pub(in crate::control) mod tests;
