//! Finds the best worker for a request without estimating every worker of the fleet.
//!
//! The search distinguishes two kinds of worker. Workers that, by this router's own observations, hold or load a replica of
//! the function are few, and each is estimated. All others are visited in the preference order that all dispatchers share
//! for the function. The first of them are its homes, which may hold a replica kept by other dispatchers; the chance of
//! that falls along the order. The rest would have to load the function and differ only in slowness, in pending work, and
//! in risks that can only raise an estimate. No unvisited worker can therefore finish before [`Search::unvisited_bound`],
//! which follows from the fastest worker of the fleet and rises from one home to the next. Where that bound does not settle
//! the question, workers are estimated in the order of their own mean slowness for as long as one of those left could be
//! better. The result is exactly that of estimating every worker. [`estimate_all`] does the latter; tests and a benchmark
//! compare the search with it.
//!
//! No I/O; the clock is passed in. The cost grows with the number of workers that hold the function and with the logarithm
//! of the fleet's size. Where much of the fleet is failing or nearly all of it is slow, every worker may be estimated.

use super::tables::{Function, Request, Worker, rendezvous};
use super::{Estimate, PRIOR_HOME_HIT_PROBABILITY, PRIOR_SAMPLES, Router, Warmth, preference};
use crate::api::{FunctionId, Micros};
use std::cell::OnceCell;

/// Workers visited in preference order before the bound is made exact.
const MAX_BOUNDED_VISITS: usize = 16;
/// Least number of a function's preferred workers that are looked up and cached at once.
const MIN_PREFERRED_CACHED: usize = 8;
/// Limit of cached preferred workers per function.
const MAX_PREFERRED_CACHED: usize = 4_096;
/// Up to this number of listed workers, the preference order is rendezvous hashing over all of them: it costs no more there
/// than the ring, and functions keep the homes that earlier versions gave them.
pub(super) const MAX_RENDEZVOUS_WORKERS: usize = 256;
/// Relative margin by which bounds are lowered, so that floating-point rounding cannot make one too high.
const ROUNDING_MARGIN: f64 = 1e-9;

/// Inputs that all estimates of one choice share.
#[derive(Default)]
pub(super) struct ChoiceInputs {
    /// Rate of requests for the function at all routers together, per microsecond.
    pub(super) request_rate: f64,
    /// Number of the function's homes.
    pub(super) homes: f64,
    /// Probability that a home which had enough time to load the function holds it.
    pub(super) home_hit_probability: f64,
    /// Sum of the observed slowness of all workers, and the weight of that sum in samples.
    pub(super) fleet_slowness: (f64, f64),
    /// Lower bound of the slowness expected of any worker without observations of its own.
    pub(super) min_expected_slowness: f64,
    /// Capacity of all workers that are up, in units of one warm worker; computed on first use.
    pub(super) capacity: OnceCell<f64>,
}

/// Position of a worker in a function's preference order.
pub(super) struct Rank {
    pub(super) worker: usize,
    /// Number of workers before it that are up.
    pub(super) up_before: f64,
    /// Number of all workers before it.
    pub(super) workers_before: f64,
    /// Latest time at which one of the workers before it went down, among those that are down; 0 for none.
    pub(super) last_down_at: Micros,
}

/// Estimates of all workers that may take a request, by whether a load is needed, each in the order of slots.
pub(super) struct Estimates {
    /// Workers that hold the function, or probably do.
    pub(super) warm: Vec<Estimate>,
    /// Workers that would have to load it.
    pub(super) cold: Vec<Estimate>,
}

impl Estimates {
    fn partition(all: impl Iterator<Item = Estimate>) -> Estimates {
        let (cold, warm) = all.partition(|estimate| estimate.cold);
        Estimates { warm, cold }
    }
}

/// Estimates every worker of the fleet: the reference for [`Search`].
pub(super) fn estimate_all(
    router: &Router,
    request: &Request,
    inputs: &ChoiceInputs,
    ranks: &[Rank],
) -> Estimates {
    let estimate = |worker| router.estimate(request, worker, rank_of(ranks, worker), inputs);
    Estimates::partition((0..router.workers.len()).filter_map(estimate))
}

/// Returns the rank of a worker in `ranks`, which are sorted by slot.
pub(super) fn rank_of(ranks: &[Rank], worker: usize) -> Option<&Rank> {
    ranks.binary_search_by_key(&worker, |rank| rank.worker).ok().map(|index| &ranks[index])
}

/// Search for the best worker for a request; see the module documentation.
pub(super) struct Search<'a> {
    router: &'a Router,
    request: &'a Request,
    inputs: &'a ChoiceInputs,
    /// Workers that hold or load a replica by this router's own observations, sorted by slot.
    holders: Vec<usize>,
    /// Estimates of workers that need no load: holders, and visited homes that probably have a replica.
    pub(super) warm: Vec<Estimate>,
    /// Estimates of visited workers that would have to load the function, the most preferred first.
    cold: Vec<Estimate>,
    /// Workers not visited yet, the most preferred first.
    unvisited: Box<dyn Iterator<Item = usize> + 'a>,
    visited: usize,
    visited_up: f64,
    /// Latest time at which one of the visited workers that are down went down.
    last_down_at: Micros,
    load_time: f64,
    /// Run time at a slowness of 1.
    run_time: f64,
}

impl<'a> Search<'a> {
    /// Estimates the workers that hold a replica.
    pub(super) fn new(router: &'a Router, request: &'a Request, inputs: &'a ChoiceInputs) -> Search<'a> {
        let function = &router.functions[request.function];
        let holds = |worker: &usize| {
            let replica = router.workers[*worker].replicas.get(&request.function);
            replica.is_some_and(|replica| !matches!(router.warmth(replica), Warmth::Cold))
        };
        let mut holders: Vec<usize> =
            function.holders.iter().map(|worker| *worker as usize).filter(holds).collect();
        holders.sort_unstable();
        let warm =
            holders.iter().filter_map(|worker| router.estimate(request, *worker, None, inputs)).collect();
        Search {
            router,
            request,
            inputs,
            holders,
            warm,
            cold: Vec::new(),
            unvisited: Box::new(router.preferred_workers(function)),
            visited: 0,
            visited_up: 0.0,
            last_down_at: 0,
            load_time: router.load_cost(request),
            run_time: function.run_time * request.size.run_time_factor,
        }
    }

    /// Returns whether the next worker in preference order is still a home.
    fn homes_remain(&self) -> bool {
        self.visited_up < self.inputs.homes && self.visited < self.router.ring.count()
    }

    /// Returns an upper bound of the chance that the next worker, or any after it, holds a replica.
    fn max_found_chance(&self) -> f64 {
        let homes = self.inputs.homes;
        if self.homes_remain() {
            self.inputs.home_hit_probability * (-self.router.sparsity * self.visited_up / homes).exp()
        } else {
            0.0
        }
    }

    /// Returns a lower bound of the finish of any worker whose own mean slowness is at least `slowness` and that holds a
    /// replica with a chance of at most `found`.
    fn finish_bound(&self, found: f64, slowness: f64) -> f64 {
        let run_time = self.run_time * slowness.min(self.inputs.min_expected_slowness);
        (self.router.settings.min_batch_interval as f64 + (1.0 - found) * self.load_time + run_time)
            * (1.0 - ROUNDING_MARGIN)
    }

    fn min_slowness(&self) -> f64 {
        self.router.fleet.slowness_range().map_or(f64::INFINITY, |(min, _)| min)
    }

    /// Returns a lower bound of the finish of any unvisited worker.
    fn unvisited_bound(&self) -> f64 {
        self.finish_bound(self.max_found_chance(), self.min_slowness())
    }

    /// Returns a lower bound of the finish of any unvisited worker that would have to load the function.
    fn unvisited_cold_bound(&self) -> f64 {
        self.finish_bound(self.max_found_chance().min(PRIOR_HOME_HIT_PROBABILITY), self.min_slowness())
    }

    /// Visits the next worker in preference order and records its estimate; returns false if none is left.
    fn visit_next(&mut self) -> bool {
        let Some(worker) = self.unvisited.next() else { return false };
        let rank = Rank {
            worker,
            up_before: self.visited_up,
            workers_before: self.visited as f64,
            last_down_at: self.last_down_at,
        };
        let rank = Some(&rank).filter(|_| self.homes_remain());
        if !self.is_holder(worker)
            && let Some(estimate) = self.router.estimate(self.request, worker, rank, self.inputs)
        {
            if estimate.cold { self.cold.push(estimate) } else { self.warm.push(estimate) }
        }
        let visited = &self.router.workers[worker];
        (self.visited_up, self.last_down_at) = if visited.up {
            (self.visited_up + 1.0, self.last_down_at)
        } else {
            (self.visited_up, self.last_down_at.max(visited.down_since))
        };
        self.visited += 1;
        true
    }

    /// Visits homes for as long as one that is left could have a smaller key than all workers found to need no load.
    pub(super) fn visit_warm_homes(&mut self, key: impl Fn(&Estimate) -> f64) {
        let mut min_key = min_key(&self.warm, &key);
        while self.homes_remain()
            && self.max_found_chance() > PRIOR_HOME_HIT_PROBABILITY
            && self.unvisited_bound() <= min_key
        {
            let before = self.warm.len();
            if !self.visit_next() {
                return;
            }
            min_key = self.warm[before..].iter().map(&key).fold(min_key, f64::min);
        }
    }

    /// Returns whether any worker that would have to load the function finishes before `bound`.
    pub(super) fn any_cold_before(&mut self, bound: f64) -> bool {
        for _ in 0..MAX_BOUNDED_VISITS {
            if self.min_cold_finish() < bound {
                return true;
            }
            if self.unvisited_cold_bound() >= bound || !self.visit_next() {
                return false;
            }
        }
        self.visit_remaining_homes();
        self.min_cold_finish() < bound || self.non_homes(|| bound).any(|estimate| estimate.key() < bound)
    }

    fn min_cold_finish(&self) -> f64 {
        min_key(&self.cold, Estimate::key)
    }

    fn visit_remaining_homes(&mut self) {
        while self.homes_remain() && self.visit_next() {}
    }

    /// Estimates workers that are neither holders nor homes and have no estimate yet, the fastest first, for as long as one
    /// of those left could finish before `bound`. All homes must have been visited.
    fn non_homes(&self, bound: impl Fn() -> f64) -> impl Iterator<Item = Estimate> {
        let mut estimated: Vec<usize> =
            self.warm.iter().chain(&self.cold).map(|estimate| estimate.worker).collect();
        estimated.sort_unstable();
        let is_new =
            move |worker: &usize| estimated.binary_search(worker).is_err() && !self.is_holder(*worker);
        let workers = self.router.fleet.by_slowness();
        workers
            .take_while(move |(slowness, _)| self.finish_bound(0.0, *slowness) < bound())
            .map(|(_, worker)| worker)
            .filter(is_new)
            .filter_map(|worker| self.router.estimate(self.request, worker, None, self.inputs))
    }

    /// Returns whether the worker holds or loads a replica by this router's own observations.
    fn is_holder(&self, worker: usize) -> bool {
        self.holders.binary_search(&worker).is_ok()
    }

    /// Returns the first worker in preference order that would have to load the function and finishes at most `tie` after
    /// the earliest finish of all such workers.
    pub(super) fn first_cold_within(&mut self, tie: f64) -> Option<Estimate> {
        for _ in 0..MAX_BOUNDED_VISITS {
            // The first worker within the tie of the best visited so far is the result if it is also within the tie of the
            // lower bound of all unvisited workers. Otherwise the bound cannot decide yet.
            let max_finish = self.min_cold_finish() + tie;
            let candidate = self.cold.iter().find(|estimate| estimate.key() <= max_finish);
            let min_finish = self.min_cold_finish().min(self.unvisited_cold_bound());
            if let Some(found) = candidate.filter(|estimate| estimate.key() <= min_finish + tie) {
                return Some(*found);
            }
            if !self.visit_next() {
                break;
            }
        }
        // Makes the earliest finish exact: every worker that could be below the earliest found so far is estimated.
        self.visit_remaining_homes();
        let min_finish = std::cell::Cell::new(self.min_cold_finish());
        self.non_homes(|| min_finish.get())
            .for_each(|estimate| min_finish.set(min_finish.get().min(estimate.key())));
        let (max_finish, mut checked) = (min_finish.get() + tie, 0);
        loop {
            if let Some(found) = self.cold[checked..].iter().find(|estimate| estimate.key() <= max_finish) {
                return Some(*found);
            }
            checked = self.cold.len();
            if !self.visit_next() {
                return None;
            }
        }
    }

    /// Ends the search and returns the number of workers visited in preference order.
    pub(super) fn finish(self) -> usize {
        self.visited
    }
}

/// Returns the smallest key of the estimates; infinity for none.
pub(super) fn min_key(estimates: &[Estimate], key: impl Fn(&Estimate) -> f64) -> f64 {
    estimates.iter().map(key).fold(f64::INFINITY, f64::min)
}

impl Router {
    /// Iterates over all workers in the function's preference order, from the cache as far as it reaches.
    pub(super) fn preferred_workers<'a>(
        &'a self,
        function: &'a Function,
    ) -> impl Iterator<Item = usize> + 'a {
        let cached = if function.preferred_version == self.ring.version() {
            &function.preferred_workers[..]
        } else {
            &[]
        };
        // The order is computed only once the cached part is exhausted.
        let rest = std::iter::once(()).flat_map(|()| self.preference_order(&function.id).skip(cached.len()));
        cached.iter().map(|worker| *worker as usize).chain(rest)
    }

    /// Iterates over all workers, the most preferred for the function first: by rendezvous hashing over all of them in a
    /// small fleet, by the ring in a large one.
    fn preference_order<'a>(&'a self, function: &FunctionId) -> Box<dyn Iterator<Item = usize> + 'a> {
        if !self.uses_rendezvous {
            return Box::new(self.ring.order(function));
        }
        let score = |(slot, worker): (usize, &Worker)| (rendezvous(function, &worker.id), slot);
        let mut scores: Vec<(u64, usize)> = self.workers.iter().enumerate().map(score).collect();
        scores.sort_unstable_by(|a, b| b.cmp(a));
        Box::new(scores.into_iter().map(|(_, slot)| slot))
    }

    /// Returns the key by which [`Router::preference_order`] sorts workers; the smaller, the more preferred.
    fn preference_distance(&self, function: &FunctionId, worker: usize) -> (u64, usize) {
        let id = &self.workers[worker].id;
        if self.uses_rendezvous {
            return (!rendezvous(function, id), usize::MAX - worker);
        }
        (preference::distance(function, id), worker)
    }

    /// Selects rendezvous hashing or the ring by the number of listed workers, so that all dispatchers with the same list
    /// use the same order.
    pub(super) fn update_preference_order(&mut self) {
        let ranks_all = self.workers.len() - self.unlisted.len() <= self.max_rendezvous_workers;
        if std::mem::replace(&mut self.uses_rendezvous, ranks_all) != ranks_all {
            self.ring.invalidate_orders();
        }
    }

    /// Returns the capacity of all workers that are up, in units of one warm worker.
    pub(super) fn capacity(&self) -> f64 {
        self.fleet.capacity(|slot| self.present_share(&self.workers[slot]))
    }

    /// Caches at least the `wanted` most preferred workers of a function, within the limits, unless they are cached already.
    pub(super) fn cache_preferred(&mut self, function: usize, wanted: usize) {
        let entry = &self.functions[function];
        let wanted = wanted.clamp(MIN_PREFERRED_CACHED, MAX_PREFERRED_CACHED).min(self.ring.count());
        if entry.preferred_version == self.ring.version() && entry.preferred_workers.len() >= wanted {
            return;
        }
        // Rounded up to a power of two, so that a function which needs one more each time is not looked up each time.
        let order = self.preference_order(&entry.id);
        let preferred = order.take(wanted.next_power_of_two()).map(|worker| worker as u32).collect();
        let entry = &mut self.functions[function];
        (entry.preferred_workers, entry.preferred_version) = (preferred, self.ring.version());
    }

    /// Returns the ranks of a function's homes, sorted by slot.
    pub(super) fn home_ranks(&self, function: usize, homes: f64) -> Vec<Rank> {
        let (mut ranks, mut up, mut last_down_at) = (Vec::new(), 0.0, 0);
        for worker in self.preferred_workers(&self.functions[function]) {
            if up >= homes {
                break;
            }
            ranks.push(Rank { worker, up_before: up, workers_before: ranks.len() as f64, last_down_at });
            let visited = &self.workers[worker];
            (up, last_down_at) = if visited.up {
                (up + 1.0, last_down_at)
            } else {
                (up, last_down_at.max(visited.down_since))
            };
        }
        ranks.sort_unstable_by_key(|rank| rank.worker);
        ranks
    }

    /// Computes the inputs that all estimates of one choice of a worker for the function share.
    pub(super) fn choice_inputs(&mut self, function: usize) -> ChoiceInputs {
        self.fleet.advance(self.now);
        let (rate, homes) = self.demand(&self.functions[function]);
        let peers = self.fleet_slowness();
        // The slowness expected of a worker leaves out its own samples, which are at most one sample of the slowest mean:
        // taking out that much of the sum, and none of the weight, gives a lower bound for every worker.
        let slowest = self.fleet.slowness_range().map_or(0.0, |(_, max)| max);
        let min_slowness =
            (PRIOR_SAMPLES + (peers.0 - self.sparsity * slowest).max(0.0)) / (PRIOR_SAMPLES + peers.1);
        let found = self.home_hit_probability(&self.functions[function]);
        ChoiceInputs {
            request_rate: rate,
            homes,
            home_hit_probability: found,
            fleet_slowness: peers,
            min_expected_slowness: min_slowness.min(1.0),
            capacity: OnceCell::new(),
        }
    }

    /// Returns the best worker by estimates of all workers, the same one that [`Router::best_worker`] finds by a search.
    pub(super) fn best_by_scan(
        &self,
        request: &Request,
        inputs: &ChoiceInputs,
        only_cold: bool,
        tie: f64,
        key: impl Fn(&Estimate) -> f64,
    ) -> Option<Estimate> {
        let ranks = self.home_ranks(request.function, inputs.homes);
        let estimates = estimate_all(self, request, inputs, &ranks);
        let min_cold = min_key(&estimates.cold, Estimate::key);
        if min_key(&estimates.warm, Estimate::key) <= min_cold && !only_cold {
            return min_by_key(&estimates.warm, key);
        }
        let function = &self.functions[request.function].id;
        let distance = |estimate: &Estimate| self.preference_distance(function, estimate.worker);
        let tied = estimates.cold.into_iter().filter(|estimate| estimate.key() <= min_cold + tie);
        tied.min_by_key(distance)
    }
}

/// Returns the estimate with the smallest key; of equal ones, that of the lowest slot.
pub(super) fn min_by_key(estimates: &[Estimate], key: impl Fn(&Estimate) -> f64) -> Option<Estimate> {
    let order = |a: &&Estimate, b: &&Estimate| key(a).total_cmp(&key(b)).then(a.worker.cmp(&b.worker));
    estimates.iter().min_by(order).copied()
}

#[cfg(test)]
mod tests;
