//! The combined sends of all routers to a cold worker stay within what it bears, also while everything prefers it: a crowd of
//! requests, a zone that returns, workers that restart again, and routers that restart or hand over meanwhile.
//!
//! Workers run four requests of 100 ms at a time, cold ones fewer, and reject what they can't queue. Clients that are refused or
//! rejected try again, so that far more is asked than the workers serve. Each window of a cold worker is checked: N + 2 x root of N + 2 sends, N being the budget of the settings.
//! `SEEDS=100 cargo test --release --test fleet cold_sum` runs 100 fleets of each size.

use super::{MS, S, Simulation, settings};
use ochreward::{BudgetDivision, Event, Micros, Router};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};

/// Numbers of routers in a fleet.
const FLEET_SIZES: [usize; 6] = [1, 3, 12, 40, 120, 300];
/// Seeds per fleet size unless the environment variable `SEEDS` sets another number.
const DEFAULT_SEEDS: u64 = 6;
/// The requests that a worker runs at a time.
const CORES: usize = 4;
/// The same for a small worker.
const SMALL_CORES: usize = 1;
/// The run time of a request at a warm worker.
const RUN_TIME: Micros = 100 * MS;
/// Requests per second that a warm worker can serve.
const WORKER_CAPACITY: f64 = CORES as f64 * S as f64 / RUN_TIME as f64;
/// A request that would wait longer is rejected by the worker.
const MAX_QUEUE_TIME: Micros = S;
/// The requests of the clients while workers are cold, as a multiple of what the warm ones can serve.
const CROWD: f64 = 4.0;
/// The settings of the fleet.
const BUDGET_MULTIPLE: f64 = 2.0;
const BUDGET_WINDOW: Micros = 1_500 * MS;
const INITIAL_SHARE: f64 = 0.15;
const WARM_AFTER: Micros = 14 * S;
/// How long routers learn before the workers restart.
const LEARNING_TIME: Micros = 12 * S;
/// How long the cold workers are observed.
const OBSERVED_TIME: Micros = 9 * S;
/// How long both processes of a router serve during a handover.
const HANDOVER_TIME: Micros = S;

/// What happens while the workers are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disturbance {
    /// Half of the workers restart.
    Crowd,
    /// Half of the workers are gone for 5 s and return under their ids.
    Return,
    /// A worker restarts again after 2 s, without a crowd.
    SecondRestart,
    /// Routers are killed and started again, several times.
    RouterRestarts,
    /// Routers hand their state over to a successor, and both serve for a time.
    Handovers,
    /// The warm workers are removed one after the other until only cold ones are left.
    Removals,
    /// The workers that restart have a quarter of the others' cores.
    SmallWorkers,
}

struct Fleet {
    simulation: Simulation,
    rng: Pcg32,
    rate: f64,
    functions: u32,
    /// When each core of each worker is free.
    free_at: BTreeMap<String, [Micros; CORES]>,
    /// Cold workers have fewer cores.
    small: bool,
}

/// The worst window of a cold worker.
#[derive(Debug, Default)]
struct Worst {
    excess: f64,
    what: String,
}

impl Fleet {
    fn draw(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    /// Runs until `end`; the `cold` workers started at `start`.
    fn run(&mut self, end: Micros, cold: &[String], start: Micros) {
        let (free_at, small) = (&mut self.free_at, self.small);
        let serve = |now: Micros, worker: &str| {
            let share = if cold.iter().any(|c| c == worker) { present_share(now - start) } else { 1.0 };
            let cores = free_at.entry(worker.to_string()).or_default();
            let count = if small && share < 1.0 { SMALL_CORES } else { CORES };
            let core = cores[..count].iter_mut().min().expect("a core");
            let begin = now.max(*core);
            (begin < now + MAX_QUEUE_TIME).then(|| {
                *core = begin + (RUN_TIME as f64 / share) as Micros;
                *core - now
            })
        };
        self.simulation.run_with(end, self.rate, self.functions, serve);
    }

    /// Kills some routers and starts them again, with the list and nothing learned.
    fn restart_routers(&mut self, probability: f64, list: &[(&str, Option<Micros>)]) {
        for router in 0..self.simulation.routers.len() {
            if self.draw() < probability {
                self.simulation.restart(router, list);
            }
        }
    }

    /// Starts a successor of some routers, which takes over their state and half of their requests.
    fn start_successors(&mut self, probability: f64, list: &[(&str, Option<Micros>)]) -> Vec<(usize, usize)> {
        let routers = self.simulation.routers.len();
        let mut pairs = Vec::new();
        for predecessor in 0..routers {
            if self.draw() >= probability {
                continue;
            }
            let seed = self.rng.next_u32().into();
            let now = self.simulation.now;
            let mut successor = Router::new(settings(routers, predecessor), seed, now);
            assert!(successor.restore(now, self.simulation.routers[predecessor].learned()), "a usable state");
            let entries = super::entries(list);
            successor.handle(now, &Event::Workers { complete: true, entries }, &mut vec![]);
            let whole = BudgetDivision { alive: routers, parts: routers, part_index: predecessor };
            successor.set_cold_budget_division(Some(whole.halved(false)));
            self.simulation.routers[predecessor].set_cold_budget_division(Some(whole.halved(true)));
            pairs.push((predecessor, self.simulation.routers.len()));
            self.simulation.routers.push(successor);
        }
        let shared: Vec<usize> = pairs.iter().map(|(predecessor, _)| *predecessor).collect();
        self.simulation.share_requests(routers, &shared);
        pairs
    }

    /// Ends the predecessors; their successors take their places.
    fn end_predecessors(&mut self, pairs: Vec<(usize, usize)>) {
        let routers = self.simulation.routers.len() - pairs.len();
        for (predecessor, successor) in pairs {
            self.simulation.routers.swap(predecessor, successor);
            self.simulation.routers[predecessor].set_cold_budget_division(None);
            self.simulation.in_flight.retain(|attempt| attempt.router != predecessor);
            for attempt in self.simulation.in_flight.iter_mut().filter(|a| a.router == successor) {
                attempt.router = predecessor;
            }
        }
        self.simulation.routers.truncate(routers);
        self.simulation.set_router_weights(&vec![1.0; routers]);
    }
}

/// Returns the share of its capacity that a worker has at this age.
fn present_share(age: Micros) -> f64 {
    (INITIAL_SHARE + (1.0 - INITIAL_SHARE) * age as f64 / WARM_AFTER as f64).min(1.0)
}

fn run_fleet(routers: usize, seed: u64, disturbance: Disturbance) -> Worst {
    let mut fleet = Fleet {
        simulation: Simulation::new(routers, seed),
        rng: Pcg32::seed_from_u64(seed ^ (routers as u64) << 40),
        rate: 0.0,
        functions: 0,
        free_at: BTreeMap::new(),
        small: disturbance == Disturbance::SmallWorkers,
    };
    let workers = 4 + (fleet.draw() * 9.0) as usize;
    let cold_count = if disturbance == Disturbance::SecondRestart { 1 } else { workers / 2 };
    let name = |n| if fleet.small && n < cold_count { super::SMALL_WORKER } else { "w" };
    let ids: Vec<String> = (0..workers).map(|n| format!("{}{n}-{seed}", name(n))).collect();
    let cold: Vec<String> = ids[..cold_count].to_vec();
    let serving_capacity = WORKER_CAPACITY * (workers - cold_count) as f64;
    fleet.rate = serving_capacity * (0.4 + 0.5 * fleet.draw());
    fleet.functions = 20 + (fleet.draw() * 60.0) as u32;
    let weights: Vec<f64> = (0..routers).map(|_| (1.6 * (fleet.draw() + fleet.draw() - 1.0)).exp()).collect();
    fleet.simulation.set_router_weights(&weights);
    let warm: Vec<(&str, Option<Micros>)> = ids.iter().map(|id| (id.as_str(), None)).collect();
    fleet.simulation.set_workers(true, &warm);
    fleet.run(LEARNING_TIME, &[], 0);
    if disturbance == Disturbance::Return {
        fleet.simulation.set_workers(true, &warm[cold_count..]);
        let end = fleet.simulation.now + 5 * S;
        fleet.run(end, &[], 0);
    }
    let mut start = fleet.simulation.now;
    if disturbance != Disturbance::SecondRestart {
        fleet.rate = CROWD * serving_capacity;
    }
    let listed_after = (100.0 + 1_400.0 * fleet.draw()) as Micros * MS;
    fleet.run(start + listed_after, &cold, start);
    let list_with_start = |start: Micros| -> Vec<(&str, Option<Micros>)> {
        let cold = cold.iter().map(|id| (id.as_str(), Some(start)));
        cold.chain(warm[cold_count..].iter().copied()).collect()
    };
    let mut list = list_with_start(start);
    fleet.simulation.set_workers(true, &list);
    let mut worst = Worst::default();
    if disturbance == Disturbance::SecondRestart {
        let first = fleet.simulation.now;
        fleet.run(first + 2 * S, &cold, start);
        check_windows(&fleet, &cold, (start, first), &mut worst);
        start = fleet.simulation.now;
        fleet.run(start + listed_after, &cold, start);
        list = list_with_start(start);
        fleet.simulation.set_workers(true, &list);
    }
    let first = fleet.simulation.now;
    let end = start + OBSERVED_TIME;
    while fleet.simulation.now < end {
        let next = fleet.simulation.now + 700 * MS;
        match disturbance {
            Disturbance::RouterRestarts => fleet.restart_routers(0.4, &list),
            Disturbance::Handovers => {
                let pairs = fleet.start_successors(0.6, &list);
                fleet.run(fleet.simulation.now + HANDOVER_TIME, &cold, start);
                fleet.end_predecessors(pairs);
            }
            Disturbance::Removals => {
                list.pop_if(|(_, started)| started.is_none());
                fleet.simulation.set_workers(true, &list);
            }
            _ => {}
        }
        fleet.run(next.max(fleet.simulation.now + 300 * MS), &cold, start);
    }
    check_windows(&fleet, &cold, (start, first), &mut worst);
    worst
}

/// Records the window with the largest excess over what a worker bears that started at `start`, among those that begin after
/// `first`, when the routers had been told.
fn check_windows(fleet: &Fleet, cold: &[String], (start, first): (Micros, Micros), worst: &mut Worst) {
    for id in cold {
        let mut window: VecDeque<Micros> = VecDeque::new();
        for at in fleet.simulation.sent_to(id, first, Micros::MAX) {
            window.push_back(at);
            window.retain(|sent| *sent + BUDGET_WINDOW > at);
            let cores = if fleet.small { SMALL_CORES } else { CORES };
            let capacity = WORKER_CAPACITY * cores as f64 / CORES as f64;
            let budget = BUDGET_MULTIPLE * capacity * present_share(at - start) * BUDGET_WINDOW as f64 / 1e6;
            let allowed = budget + 2.0 * budget.sqrt() + 2.0;
            let excess = window.len() as f64 / allowed;
            if excess > worst.excess {
                let (age, sends) = ((at - start) / MS, window.len());
                let what = format!("{sends} sends, {allowed:.0} allowed, {age} ms after its start");
                *worst = Worst { excess, what };
            }
        }
    }
}

/// Runs fleets of all sizes and asserts that no cold worker gets more than it bears.
fn assert_budget_is_kept(disturbance: Disturbance) {
    let seeds = std::env::var("SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(DEFAULT_SEEDS);
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get() as u64);
    let mut faults = Vec::new();
    for routers in FLEET_SIZES {
        let part = |first: u64| {
            let seeds = (first..seeds).step_by(threads as usize);
            seeds.map(|seed| (seed, run_fleet(routers, seed, disturbance))).collect::<Vec<_>>()
        };
        let all: Vec<(u64, Worst)> = std::thread::scope(|scope| {
            let parts: Vec<_> = (0..threads).map(|n| scope.spawn(move || part(n))).collect();
            parts.into_iter().flat_map(|p| p.join().expect("a thread that does not panic")).collect()
        });
        let over = all.iter().filter(|(_, worst)| worst.excess > 1.0).count();
        let (seed, worst) = all.iter().max_by(|a, b| a.1.excess.total_cmp(&b.1.excess)).expect("a seed");
        println!(
            "{disturbance:?}, {routers} routers: {over} of {seeds} over; worst seed {seed}: {}",
            worst.what
        );
        if over > 0 {
            faults.push(format!("{routers} routers: {over} of {seeds}, worst seed {seed}: {}", worst.what));
        }
    }
    assert!(faults.is_empty(), "{disturbance:?}: {faults:#?}");
}

#[test]
fn crowd_that_prefers_cold_workers_does_not_overload_them() {
    assert_budget_is_kept(Disturbance::Crowd);
}

#[test]
fn workers_that_return_to_a_loaded_fleet_are_not_overloaded() {
    assert_budget_is_kept(Disturbance::Return);
}

#[test]
fn worker_that_restarts_again_while_warming_is_not_overloaded() {
    assert_budget_is_kept(Disturbance::SecondRestart);
}

#[test]
fn routers_that_restart_beside_cold_workers_do_not_overload_them() {
    assert_budget_is_kept(Disturbance::RouterRestarts);
}

#[test]
fn cold_workers_that_are_left_alone_are_not_overloaded() {
    assert_budget_is_kept(Disturbance::Removals);
}

#[test]
fn handovers_between_routers_do_not_overload_cold_workers() {
    assert_budget_is_kept(Disturbance::Handovers);
}

#[test]
fn small_worker_beside_large_ones_is_not_overloaded() {
    assert_budget_is_kept(Disturbance::SmallWorkers);
}
