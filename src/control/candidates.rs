//! Which workers a request can go to, without looking at all of them.
//!
//! Two kinds of worker matter to a choice. Those at which a replica of the function is believed to stand or to be loaded are
//! few, and each is estimated. All others are taken in the order in which all dispatchers prefer them for the function: the
//! first of them, its homes, may hold a replica that others keep, which is the less likely the later they come; the rest would
//! have to load it, and differ only in how slow they are, in what is under way there, and in risks that add to an estimate.
//! So no worker that has not been taken yet finishes before [`Search::floor`], which rises from one home to the next and
//! follows from the fastest of all workers. Where that bound does not settle a question, workers are estimated in the order
//! of their own mean slowness for as long as one of those left could still be better. What is found is therefore what a look
//! at every worker would find, exactly; that look is kept as [`scan`], by which the tests and a benchmark judge the search.
//!
//! No I/O, the clock passed in. What a search costs grows with the workers that hold the function and with the logarithm of
//! the fleet; where much of the fleet is failing, or nearly all of it is slow, it may come to an estimate of each worker.

use super::tables::{Function, Request, Worker, rendezvous};
use super::{DOUBT, Estimate, PRIOR_FOUND, Router, Warmth, preference};
use crate::api::{FunctionId, Micros};
use std::cell::OnceCell;

/// Workers in the order of preference that are tried before the bound is made exact.
const FIRST_TRIES: usize = 16;
/// So many of the preferred workers of a function are found at once, and so many are kept at the most.
const FIRST_PREFERRED: usize = 8;
const MOST_PREFERRED: usize = 4_096;
/// Up to so many listed workers the order of preference is that of rendezvous over all: it costs no more there than the ring,
/// and the homes of functions are those that earlier versions knew.
pub(super) const MOST_RANKED: usize = 256;
/// What rounding may take from a bound, as a share of it.
const ROUNDING: f64 = 1e-9;

/// What all estimates of a choice have in common.
#[derive(Default)]
pub(super) struct Known {
    /// All routers' requests for the function, and the number of its homes.
    pub(super) rate: f64,
    pub(super) homes: f64,
    /// The chance that the function is found at one of its homes, if that had all the time for it.
    pub(super) found: f64,
    /// What workers' answers say of all, and how much that counts.
    pub(super) peers: (f64, f64),
    /// No worker of which this router knows nothing is expected to be faster.
    pub(super) least_expected: f64,
    /// What all workers that are up can do, in warm ones.
    pub(super) capacity: OnceCell<f64>,
}

/// Where a worker stands among those that are preferred for a function.
pub(super) struct Rank {
    pub(super) worker: usize,
    /// Workers before it: those that are up, all, and when the last of those that are not fell.
    pub(super) up: f64,
    pub(super) all: f64,
    pub(super) fell: Micros,
}

/// The estimates of all workers that may take a request: those that need no load, and those that do, each in the order of
/// their slots.
pub(super) struct Estimates {
    /// Those that hold the function, or probably do.
    pub(super) warm: Vec<Estimate>,
    /// Those that would load it.
    pub(super) cold: Vec<Estimate>,
}

impl Estimates {
    fn of(all: impl Iterator<Item = Estimate>) -> Estimates {
        let (cold, warm) = all.partition(|e| e.cold);
        Estimates { warm, cold }
    }
}

/// A look at every worker.
pub(super) fn scan(router: &Router, request: &Request, known: &Known, ranks: &[Rank]) -> Estimates {
    let of = |worker| router.estimate(request, worker, rank(ranks, worker), known);
    Estimates::of((0..router.workers.len()).filter_map(of))
}

/// The rank of a worker among those that were found by preference, which are in the order of their slots.
pub(super) fn rank(ranks: &[Rank], worker: usize) -> Option<&Rank> {
    ranks.binary_search_by_key(&worker, |r| r.worker).ok().map(|place| &ranks[place])
}

/// A search for the best worker of a request.
pub(super) struct Search<'a> {
    router: &'a Router,
    request: &'a Request,
    known: &'a Known,
    /// Workers that hold a replica, by what this router knows, in the order of their slots; and estimates of those that may
    /// take the request.
    holders: Vec<usize>,
    /// Estimates of workers that need no load: of the holders, and of homes that have been taken.
    pub(super) warm: Vec<Estimate>,
    /// Estimates of workers that have been taken and would load the function, the most preferred first.
    cold: Vec<Estimate>,
    /// All others, the most preferred first; how many have been taken, and how many of those were up.
    order: Box<dyn Iterator<Item = usize> + 'a>,
    taken: usize,
    up: f64,
    /// When the last of those that are not up fell.
    fell: Micros,
    /// The time of a load, and of a run at a slowness of one.
    load: f64,
    run: f64,
}

impl<'a> Search<'a> {
    /// Estimates the workers that hold a replica.
    pub(super) fn new(router: &'a Router, request: &'a Request, known: &'a Known) -> Search<'a> {
        let function = &router.functions[request.function];
        let holds = |worker: &usize| {
            let mark = router.workers[*worker].marks.get(&request.function);
            mark.is_some_and(|m| !matches!(router.warmth(m), Warmth::Cold))
        };
        let mut holders: Vec<usize> = function.holders.iter().map(|w| *w as usize).filter(holds).collect();
        holders.sort_unstable();
        let warm = holders.iter().filter_map(|w| router.estimate(request, *w, None, known)).collect();
        Search {
            router,
            request,
            known,
            holders,
            warm,
            cold: Vec::new(),
            order: Box::new(router.preferred(function)),
            taken: 0,
            up: 0.0,
            fell: 0,
            load: router.whole_load(request),
            run: function.run * request.size.size,
        }
    }

    /// Whether workers that come next may still be homes.
    fn at_homes(&self) -> bool {
        self.up < self.known.homes && self.taken < self.router.ring.count()
    }

    /// The chance that a replica is found at the next worker or at any after it is no higher than this.
    fn most_found(&self) -> f64 {
        let homes = self.known.homes;
        if self.at_homes() { self.known.found * (-self.router.thin * self.up / homes).exp() } else { 0.0 }
    }

    /// No worker whose own mean slowness is `slowness` or more, and that finds a replica with a chance of `found` at the most,
    /// finishes before this.
    fn bound(&self, found: f64, slowness: f64) -> f64 {
        let run = self.run * slowness.min(self.known.least_expected);
        (self.router.set.tick as f64 + (1.0 - found) * self.load + run) * (1.0 - ROUNDING)
    }

    fn fastest(&self) -> f64 {
        self.router.fleet.slowness_range().map_or(f64::INFINITY, |(least, _)| least)
    }

    /// No worker that has not been taken yet finishes before this.
    fn floor(&self) -> f64 {
        self.bound(self.most_found(), self.fastest())
    }

    /// Nor does one of them that would load the function finish before this.
    fn cold_floor(&self) -> f64 {
        self.bound(self.most_found().min(PRIOR_FOUND), self.fastest())
    }

    /// Takes the next worker in the order of preference; false where there is none.
    fn take(&mut self) -> bool {
        let Some(worker) = self.order.next() else { return false };
        let rank = Rank { worker, up: self.up, all: self.taken as f64, fell: self.fell };
        let rank = Some(&rank).filter(|_| self.at_homes());
        if !self.holds(worker)
            && let Some(estimate) = self.router.estimate(self.request, worker, rank, self.known)
        {
            if estimate.cold { self.cold.push(estimate) } else { self.warm.push(estimate) }
        }
        let taken = &self.router.workers[worker];
        (self.up, self.fell) =
            if taken.up { (self.up + 1.0, self.fell) } else { (self.up, self.fell.max(taken.fell)) };
        self.taken += 1;
        true
    }

    /// Takes homes while one that is left could come before the least key of those that need no load.
    pub(super) fn take_warm(&mut self, key: impl Fn(&Estimate) -> f64) {
        let mut least = least(&self.warm, &key);
        while self.at_homes() && self.most_found() > PRIOR_FOUND && self.floor() <= least {
            let before = self.warm.len();
            if !self.take() {
                return;
            }
            least = self.warm[before..].iter().map(&key).fold(least, f64::min);
        }
    }

    /// Whether any worker that would load the function finishes before `bound`.
    pub(super) fn any_cold_before(&mut self, bound: f64) -> bool {
        for _ in 0..FIRST_TRIES {
            if self.least_cold() < bound {
                return true;
            }
            if self.cold_floor() >= bound || !self.take() {
                return false;
            }
        }
        self.take_homes();
        self.least_cold() < bound || self.others(|| bound).any(|e| e.key() < bound)
    }

    fn least_cold(&self) -> f64 {
        least(&self.cold, Estimate::key)
    }

    fn take_homes(&mut self) {
        while self.at_homes() && self.take() {}
    }

    /// Estimates those that are no homes, whether they have been taken or not, the fastest first, while one of those left
    /// could finish before `bound`; all homes must have been taken.
    fn others(&self, bound: impl Fn() -> f64) -> impl Iterator<Item = Estimate> {
        let mut taken: Vec<usize> = self.warm.iter().chain(&self.cold).map(|e| e.worker).collect();
        taken.sort_unstable();
        let new = move |worker: &usize| taken.binary_search(worker).is_err() && !self.holds(*worker);
        let all = self.router.fleet.by_slowness();
        all.take_while(move |(slowness, _)| self.bound(0.0, *slowness) < bound())
            .map(|(_, worker)| worker)
            .filter(new)
            .filter_map(|worker| self.router.estimate(self.request, worker, None, self.known))
    }

    /// Whether a worker holds a replica, by what this router knows.
    fn holds(&self, worker: usize) -> bool {
        self.holders.binary_search(&worker).is_ok()
    }

    /// The first worker in the order of preference that would load the function and finishes at most `tie` after the least
    /// finish of any such.
    pub(super) fn first_cold(&mut self, tie: f64) -> Option<Estimate> {
        for _ in 0..FIRST_TRIES {
            // Whoever is not surely too slow is the one, or can't be told by bounds.
            let most = self.least_cold() + tie;
            let open = self.cold.iter().find(|e| e.key() <= most);
            let least = self.least_cold().min(self.cold_floor());
            if let Some(found) = open.filter(|e| e.key() <= least + tie) {
                return Some(*found);
            }
            if !self.take() {
                break;
            }
        }
        // The least finish, exactly: whoever could be below the least that was found is estimated.
        self.take_homes();
        let least = std::cell::Cell::new(self.least_cold());
        self.others(|| least.get()).for_each(|e| least.set(least.get().min(e.key())));
        let (most, mut from) = (least.get() + tie, 0);
        loop {
            if let Some(found) = self.cold[from..].iter().find(|e| e.key() <= most) {
                return Some(*found);
            }
            from = self.cold.len();
            if !self.take() {
                return None;
            }
        }
    }

    /// Ends the search; how many workers it took in the order of preference.
    pub(super) fn end(self) -> usize {
        self.taken
    }
}

/// The least key of these; infinite for none.
pub(super) fn least(of: &[Estimate], key: impl Fn(&Estimate) -> f64) -> f64 {
    of.iter().map(key).fold(f64::INFINITY, f64::min)
}

impl Router {
    /// The workers that are preferred for a function, the first ones first.
    pub(super) fn preferred<'a>(&'a self, function: &'a Function) -> impl Iterator<Item = usize> + 'a {
        let found =
            if function.preferred_version == self.ring.version() { &function.preferred[..] } else { &[] };
        let rest = std::iter::once(()).flat_map(|()| self.order(&function.id).skip(found.len()));
        found.iter().map(|w| *w as usize).chain(rest)
    }

    /// All workers, the one preferred for the function first: in a small fleet by rendezvous over all, in a large one by the
    /// ring.
    fn order<'a>(&'a self, function: &FunctionId) -> Box<dyn Iterator<Item = usize> + 'a> {
        if !self.ranks_all {
            return Box::new(self.ring.order(function));
        }
        let rank = |(slot, w): (usize, &Worker)| (rendezvous(function, &w.id), slot);
        let mut ranks: Vec<(u64, usize)> = self.workers.iter().enumerate().map(rank).collect();
        ranks.sort_unstable_by(|a, b| b.cmp(a));
        Box::new(ranks.into_iter().map(|r| r.1))
    }

    /// How far a worker is from being preferred for a function: what [`Router::order`] goes by.
    fn distance(&self, function: &FunctionId, worker: usize) -> (u64, usize) {
        let id = &self.workers[worker].id;
        if self.ranks_all {
            return (!rendezvous(function, id), usize::MAX - worker);
        }
        (preference::distance(function, id), worker)
    }

    /// The order of preference follows from how many workers are listed, alike at all dispatchers of one list.
    pub(super) fn choose_order(&mut self) {
        let ranks_all = self.workers.len() - self.unlisted.len() <= self.most_ranked;
        if std::mem::replace(&mut self.ranks_all, ranks_all) != ranks_all {
            self.ring.renew();
        }
    }

    /// What all workers that are up can do, in warm ones.
    pub(super) fn capacity(&self) -> f64 {
        self.fleet.capacity(|slot| self.present_share(&self.workers[slot]))
    }

    /// Finds the first of a function's preferred workers, so many of them, unless they are known.
    pub(super) fn find_preferred(&mut self, function: usize, wanted: usize) {
        let f = &self.functions[function];
        let wanted = wanted.clamp(FIRST_PREFERRED, MOST_PREFERRED).min(self.ring.count());
        if f.preferred_version == self.ring.version() && f.preferred.len() >= wanted {
            return;
        }
        // By powers of two, so that a function that needs one more each time is not searched for each time.
        let found = self.order(&f.id).take(wanted.next_power_of_two()).map(|w| w as u32).collect();
        let f = &mut self.functions[function];
        (f.preferred, f.preferred_version) = (found, self.ring.version());
    }

    /// Where a function's homes stand among those preferred for it, in the order of their slots.
    pub(super) fn ranks(&self, function: usize, homes: f64) -> Vec<Rank> {
        let (mut ranks, mut up, mut fell) = (Vec::new(), 0.0, 0);
        for worker in self.preferred(&self.functions[function]) {
            if up >= homes {
                break;
            }
            ranks.push(Rank { worker, up, all: ranks.len() as f64, fell });
            let w = &self.workers[worker];
            (up, fell) = if w.up { (up + 1.0, fell) } else { (up, fell.max(w.fell)) };
        }
        ranks.sort_unstable_by_key(|r| r.worker);
        ranks
    }

    /// What all estimates of a choice of a worker for the function have in common.
    pub(super) fn known(&mut self, function: usize) -> Known {
        self.fleet.advance(self.now);
        let (rate, homes) = self.demand(&self.functions[function]);
        let peers = self.peers();
        let slowest = self.fleet.slowness_range().map_or(0.0, |(_, most)| most);
        let least = (DOUBT + (peers.0 - self.thin * slowest).max(0.0)) / (DOUBT + peers.1);
        let found = self.found(&self.functions[function]);
        Known { rate, homes, found, peers, least_expected: least.min(1.0), capacity: OnceCell::new() }
    }

    /// The best worker by estimates of all: what [`Router::best`] finds by a search.
    pub(super) fn best_of_all(
        &self,
        request: &Request,
        known: &Known,
        only_cold: bool,
        tie: f64,
        key: impl Fn(&Estimate) -> f64,
    ) -> Option<Estimate> {
        let all = scan(self, request, known, &self.ranks(request.function, known.homes));
        let least_cold = least(&all.cold, Estimate::key);
        if least(&all.warm, Estimate::key) <= least_cold && !only_cold {
            return least_of(&all.warm, key);
        }
        let function = &self.functions[request.function].id;
        let distance = |e: &Estimate| self.distance(function, e.worker);
        all.cold.into_iter().filter(|e| e.key() <= least_cold + tie).min_by_key(distance)
    }
}

/// The one whose key is least.
pub(super) fn least_of(of: &[Estimate], key: impl Fn(&Estimate) -> f64) -> Option<Estimate> {
    let order = |a: &&Estimate, b: &&Estimate| key(a).total_cmp(&key(b)).then(a.worker.cmp(&b.worker));
    of.iter().min_by(order).copied()
}

#[cfg(test)]
mod tests;
