//! Sums over all workers that decisions need: the number of workers up, their capacity, and their mean slowness. Each change
//! of a worker updates them incrementally, so that a decision does not iterate over the fleet.
//!
//! No I/O and no decisions; the clock is passed in. The size is bounded by the number of workers.

use super::DecayingMean;
use super::tables::Worker;
use crate::api::Micros;
use std::collections::BTreeSet;

/// Limit of the weight, in samples, that the observations of one worker have in the sums.
const MAX_WORKER_WEIGHT: f64 = 1.0;

/// Times that govern the decay of samples and the warm-up of workers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TimeConstants {
    /// Half-life of samples, in microseconds.
    pub(super) half_life: f64,
    /// Time from the start of a worker until it is warm.
    pub(super) warm_after: Micros,
}

/// State of one worker as it is included in the sums.
#[derive(Clone, Copy, Debug, Default)]
struct WorkerTerms {
    up: bool,
    /// Time at which it becomes warm; `None` if it is warm.
    warm_at: Option<Micros>,
    slowness: DecayingMean,
    answers: DecayingMean,
    size: f64,
    weight: Weight,
    /// Its key in the order by slowness.
    slowness_key: Option<u64>,
}

/// Weight of a worker's observations in the sums.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Weight {
    /// The worker is cold or has no samples.
    #[default]
    None,
    /// The limit, until decay leaves fewer samples than that.
    Full { until: Micros },
    /// The samples that decay has left, fewer than the limit.
    Decaying,
}

/// A sum whose terms all decay with the same half-life.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingSum {
    value: f64,
    at: Micros,
}

impl DecayingSum {
    fn value_at(&self, now: Micros, half_life: f64) -> f64 {
        self.value * (-(now.saturating_sub(self.at) as f64) / half_life).exp2()
    }

    fn add(&mut self, now: Micros, half_life: f64, term: f64) {
        *self = DecayingSum { value: self.value_at(now, half_life) + term, at: now };
    }
}

/// The sums and the indexes by which they are kept up to date.
#[derive(Clone, Debug, Default)]
pub(super) struct FleetSums {
    times: TimeConstants,
    workers: Vec<WorkerTerms>,
    up: usize,
    /// Workers that are up and warm, and the requests that they served.
    warm: usize,
    warm_answers: DecayingSum,
    /// The sum of the sizes of these workers.
    warm_size: f64,
    /// Workers that are not warm yet, by the time at which they become warm.
    warming: BTreeSet<(Micros, usize)>,
    /// Workers that have become warm since they were last taken.
    warmed_up: Vec<usize>,
    /// Workers of full weight, by the time until which they have it.
    full: BTreeSet<(Micros, usize)>,
    full_sum: f64,
    decaying: usize,
    decaying_sum: DecayingSum,
    decaying_weight: DecayingSum,
    /// All workers by their own mean slowness, those without one last. Keys are the bits of the means: for non-negative `f64`
    /// values both have the same order.
    by_slowness: BTreeSet<(u64, usize)>,
}

impl FleetSums {
    /// Builds the sums over these workers.
    pub(super) fn of(times: TimeConstants, workers: &[Worker], now: Micros) -> FleetSums {
        let mut sums = FleetSums { times, ..FleetSums::default() };
        workers.iter().enumerate().for_each(|(slot, worker)| sums.update(slot, worker, now));
        sums
    }

    /// Replaces what the sums include of a worker by its present state.
    pub(super) fn update(&mut self, slot: usize, worker: &Worker, now: Micros) {
        self.advance(now);
        if self.workers.len() <= slot {
            self.workers.resize(slot + 1, WorkerTerms::default());
        }
        self.apply(slot, now, false);
        let warm_at = worker.ready_at.map(|ready| ready.saturating_add(self.times.warm_after));
        self.workers[slot] = WorkerTerms {
            up: worker.up,
            warm_at: warm_at.filter(|at| now < *at),
            slowness: worker.slowness,
            answers: worker.answers,
            size: worker.size,
            ..WorkerTerms::default()
        };
        self.apply(slot, now, true);
    }

    /// Moves the sums on to `now`: includes workers that have become warm, and lets those decay whose weight has fallen below
    /// the limit.
    pub(super) fn advance(&mut self, now: Micros) {
        while let Some((_, slot)) = self.warming.first().copied().filter(|(at, _)| *at <= now) {
            self.apply(slot, now, false);
            self.workers[slot].warm_at = None;
            self.warmed_up.push(slot);
            self.apply(slot, now, true);
        }
        while let Some((_, slot)) = self.full.first().copied().filter(|(until, _)| *until <= now) {
            self.apply(slot, now, false);
            self.apply(slot, now, true);
        }
    }

    /// Adds a worker to the sums and indexes, or removes it.
    fn apply(&mut self, slot: usize, now: Micros, adds: bool) {
        let half_life = self.times.half_life;
        let terms = &mut self.workers[slot];
        let mean = terms.slowness.own_mean();
        if adds {
            terms.weight = weight(terms, now, half_life);
            terms.slowness_key = Some(mean.map_or(f64::INFINITY, |m| m.max(0.0) + 0.0).to_bits());
        }
        let WorkerTerms { up, warm_at, slowness, answers, size, weight, slowness_key } = *terms;
        let sign = if adds { 1.0 } else { -1.0 };
        match (up, adds) {
            (true, true) => self.up += 1,
            (true, false) => self.up -= 1,
            (false, _) => {}
        }
        if up && warm_at.is_none() {
            self.warm = if adds { self.warm + 1 } else { self.warm.saturating_sub(1) };
            self.warm_answers.add(now, half_life, sign * answers.samples(now, half_life));
            self.warm_size += sign * size;
        }
        let change = |index: &mut BTreeSet<(u64, usize)>, key: u64| {
            if adds {
                index.insert((key, slot))
            } else {
                index.remove(&(key, slot))
            };
        };
        warm_at.into_iter().for_each(|at| change(&mut self.warming, at));
        slowness_key.into_iter().for_each(|bits| change(&mut self.by_slowness, bits));
        match weight {
            Weight::None => {}
            Weight::Full { until } => {
                change(&mut self.full, until);
                self.full_sum += sign * mean.unwrap_or_default();
            }
            Weight::Decaying => {
                let samples = slowness.samples(now, half_life);
                self.decaying_weight.add(now, half_life, sign * samples);
                self.decaying_sum.add(now, half_life, sign * samples * mean.unwrap_or_default());
                self.decaying = if adds { self.decaying + 1 } else { self.decaying.saturating_sub(1) };
            }
        }
        // An empty sum is exactly zero: rounding errors of additions and removals must not accumulate.
        if self.full.is_empty() {
            self.full_sum = 0.0;
        }
        if self.warm == 0 {
            (self.warm_answers, self.warm_size) = (DecayingSum::default(), 0.0);
        }
        if self.decaying == 0 {
            (self.decaying_sum, self.decaying_weight) = Default::default();
        }
        if !adds {
            self.workers[slot].slowness_key = None;
            self.workers[slot].weight = Weight::None;
        }
    }

    /// Returns the workers that have become warm since the last call.
    pub(super) fn take_warmed_up(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.warmed_up)
    }

    /// Counts an answer of a worker, which the caller has added to the worker's own.
    pub(super) fn add_answer(&mut self, now: Micros, slot: usize) {
        self.advance(now);
        let half_life = self.times.half_life;
        let Some(terms) = self.workers.get_mut(slot) else { return };
        terms.answers.add(now, half_life, 1.0);
        if terms.up && terms.warm_at.is_none() {
            self.warm_answers.add(now, half_life, 1.0);
        }
    }

    /// Returns the mean rate at which the warm workers serve requests, per microsecond; `None` if none is warm and up.
    /// Answers of workers that are gone, or cold, do not count. [`FleetSums::advance`] must have been called with the same time.
    pub(super) fn answer_rate_per_warm_worker(&self, now: Micros) -> Option<f64> {
        let half_life = self.times.half_life;
        let answers = self.warm_answers.value_at(now, half_life).max(0.0);
        (self.warm > 0).then(|| answers * std::f64::consts::LN_2 / half_life / self.warm as f64)
    }

    /// Returns the mean size of the warm workers; `None` if none is warm and up.
    pub(super) fn mean_warm_size(&self) -> Option<f64> {
        (self.warm > 0).then(|| self.warm_size / self.warm as f64)
    }

    /// Returns the number of workers that are up.
    pub(super) fn up(&self) -> usize {
        self.up
    }

    /// Returns the sum of the workers' mean slowness, each multiplied by its weight, and the sum of the weights.
    /// [`FleetSums::advance`] must have been called with the same time.
    pub(super) fn slowness(&self, now: Micros) -> (f64, f64) {
        let half_life = self.times.half_life;
        let decaying_sum = self.decaying_sum.value_at(now, half_life).max(0.0);
        let decaying_weight = self.decaying_weight.value_at(now, half_life).max(0.0);
        (self.full_sum.max(0.0) + decaying_sum, self.full.len() as f64 + decaying_weight)
    }

    /// Returns the capacity of all workers that are up, in units of one warm worker; `share` gives that of a worker which is
    /// not warm yet.
    pub(super) fn capacity(&self, share: impl Fn(usize) -> f64) -> f64 {
        let warming = self.warming.iter().map(|(_, slot)| *slot).filter(|slot| self.workers[*slot].up);
        let (count, shares) = warming.fold((0, 0.0), |(count, sum), slot| (count + 1, sum + share(slot)));
        (self.up - count) as f64 + shares
    }

    /// Iterates over all workers by their own mean slowness, the fastest first. Workers without samples come last, with an
    /// infinite slowness.
    pub(super) fn by_slowness(&self) -> impl Iterator<Item = (f64, usize)> + '_ {
        self.by_slowness.iter().map(|(bits, slot)| (f64::from_bits(*bits), *slot))
    }

    /// Returns the lowest and the highest mean slowness of all workers with samples.
    pub(super) fn slowness_range(&self) -> Option<(f64, f64)> {
        let without_samples = (f64::INFINITY.to_bits(), 0);
        let max = self.by_slowness.range(..without_samples).next_back()?;
        let min = self.by_slowness.first()?;
        Some((f64::from_bits(min.0), f64::from_bits(max.0)))
    }
}

fn weight(terms: &WorkerTerms, now: Micros, half_life: f64) -> Weight {
    let samples = terms.slowness.samples(now, half_life);
    if terms.warm_at.is_some() || samples <= 0.0 {
        return Weight::None;
    }
    let full_for = (samples / MAX_WORKER_WEIGHT).log2() * half_life;
    if full_for >= 1.0 { Weight::Full { until: now + full_for as Micros } } else { Weight::Decaying }
}

#[cfg(test)]
pub(in crate::control) mod tests;
