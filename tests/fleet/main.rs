//! Simulated fleets of decision modules on one clock: their combined sends and load orders are checked against the rules
//! and stated bounds, with one router, two, a prime number and a hundred. Failures print their seed.

mod cold_budget;
mod cold_sum;

use ochreward::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// Workers whose id begins so are of this size, the others of size 1.
const SMALL_WORKER: &str = "small";
const SMALL_WORKER_SIZE: f64 = 0.25;
const FLEET_SIZES: [usize; 4] = [1, 2, 37, 100];

fn settings(router_count: usize, own_index: usize) -> Settings {
    let class = Class {
        latency_target: 800 * MS,
        deadline: 3 * S,
        effect: Effect::Idempotent,
        key_scope: KeyScope::All,
        repeat_window: 1500 * MS,
        credit: 1.0,
        late_worth: 0.1,
    };
    Settings {
        dispatcher_count: router_count,
        own_index,
        own_zone: 0,
        classes: vec![class],
        tenant_quotas: vec![],
        over_share_worth: 0.2,
        report_fields: vec![],
        max_attempts: 3,
        may_duplicate: true,
        may_cancel: true,
        max_retry_after: S,
        min_batch_interval: MS,
        cold_share: 0.15,
        warm_after: 14 * S,
        fall_multiple: 2.0,
        fall_window: 1500 * MS,
        load_orders_allowed: true,
        loads_on_miss: true,
        keep_alive: 10 * S,
        load_window: 5 * S,
        loads_anyway: 6.0,
        loads_per_request: 0.3,
        cross_zone_price: 0.0,
        fetch_price: 0.15,
        memory_price: 0.0,
        list_on_request: false,
    }
}

/// An attempt in flight: the router that sent it, its request, its times and its worker.
struct InFlight {
    router: usize,
    id: RequestId,
    sent: Micros,
    done: Micros,
    outcome: Outcome,
    /// The function and the worker.
    target: (String, String),
    /// The requests for this function that the worker already held when this one arrived.
    same_function_requests: u32,
}

/// The routers, and a record of what they send and order.
struct Simulation {
    routers: Vec<Router>,
    rng: Pcg32,
    now: Micros,
    next: RequestId,
    in_flight: Vec<InFlight>,
    sends: Vec<(Micros, String)>,
    orders: usize,
    /// The workers to which each function was sent.
    workers_by_function: BTreeMap<String, BTreeSet<String>>,
    requests: usize,
    /// The cumulative share of all requests that each router and those before it receive.
    cumulative_shares: Vec<f64>,
}

fn entries(workers: &[(&str, Option<Micros>)]) -> Vec<WorkerEntry> {
    let entry = |(name, ready_at): &(&str, Option<Micros>)| WorkerEntry {
        worker: (*name).into(),
        zone: 0,
        kind: 0,
        cell: 0,
        standing: WorkerStatus::Healthy,
        ready_at: *ready_at,
        size: if name.starts_with(SMALL_WORKER) { SMALL_WORKER_SIZE } else { 1.0 },
    };
    workers.iter().map(entry).collect()
}

impl Simulation {
    fn new(router_count: usize, seed: u64) -> Simulation {
        let router =
            |own_index| Router::new(settings(router_count, own_index), seed * 1_000 + own_index as u64, 0);
        let routers = (0..router_count).map(router).collect();
        let rng = Pcg32::seed_from_u64(seed);
        let (in_flight, sends, workers_by_function) = (vec![], vec![], BTreeMap::new());
        let cumulative_shares = (1..=router_count).map(|n| n as f64 / router_count as f64).collect();
        Simulation {
            routers,
            rng,
            now: 0,
            next: 1,
            in_flight,
            sends,
            orders: 0,
            workers_by_function,
            requests: 0,
            cumulative_shares,
        }
    }

    /// Distributes further requests over the routers by these weights.
    fn set_router_weights(&mut self, weights: &[f64]) {
        let total: f64 = weights.iter().sum();
        let mut sum = 0.0;
        self.cumulative_shares = weights.iter().map(|w| (sum += w / total, sum).1).collect();
    }

    /// Gives half of the requests of some of the first `routers` routers to the routers after these, one each, in order. The others
    /// receive equal parts.
    fn share_requests(&mut self, routers: usize, shared: &[usize]) {
        let mut weights = vec![1.0; routers];
        shared.iter().for_each(|router| weights[*router] = 0.5);
        weights.extend(shared.iter().map(|_| 0.5));
        self.set_router_weights(&weights);
    }

    /// Draws the router that receives the next request.
    fn draw_router(&mut self) -> usize {
        let at = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        self.cumulative_shares.partition_point(|s| *s < at).min(self.routers.len() - 1)
    }

    fn set_workers(&mut self, complete: bool, workers: &[(&str, Option<Micros>)]) {
        let entries = entries(workers);
        for r in &mut self.routers {
            r.handle(self.now, &Event::Workers { complete, entries: entries.clone() }, &mut vec![]);
        }
    }

    /// Runs until `end` with `rate` requests a second in total, at random routers, over `functions` functions. A run at a
    /// worker takes `run(worker)`, and every worker holds a replica of each function.
    fn run(&mut self, end: Micros, rate: f64, functions: u32, run: impl Fn(&str) -> Micros) {
        self.run_with(end, rate, functions, |_, worker| Some(run(worker)));
    }

    /// Runs like [`Simulation::run`]. `serve(now, worker)` returns when the worker answers a request that it gets now; with
    /// `None` it is full, and says so at once.
    fn run_with(
        &mut self,
        end: Micros,
        rate: f64,
        functions: u32,
        mut serve: impl FnMut(Micros, &str) -> Option<Micros>,
    ) {
        let gap = (1e6 / rate) as Micros;
        while self.now < end {
            self.now += gap / 2 + Micros::from(self.rng.next_u32()) % gap;
            while let Some(n) = (0..self.in_flight.len()).find(|n| self.in_flight[*n].done <= self.now) {
                let InFlight { router, id, sent, done, outcome, same_function_requests, .. } =
                    self.in_flight.swap_remove(n);
                let event = Event::AttemptEnded {
                    id,
                    attempt: 0,
                    is_final: true,
                    outcome,
                    found: if outcome == Outcome::Ok {
                        ReplicaStatus::Warm
                    } else {
                        ReplicaStatus::NotReported
                    },
                    concurrent_requests: Some(same_function_requests),
                    latency: done - sent,
                    report: vec![],
                };
                self.deliver(router, &event);
            }
            let router = self.draw_router();
            // Half of all requests are for an eighth of the functions.
            let few = if self.rng.next_u32().is_multiple_of(2) { functions.div_ceil(8) } else { functions };
            let name = format!("f{}", self.rng.next_u32() % few);
            let function = name.as_str().into();
            let (id, lanes, load_time) = (self.next, 2.0, Some(600 * MS));
            self.next += 1;
            self.requests += 1;
            let (class, tenant, time_left) = (0, 0, 3 * S);
            let event = Event::Request {
                id,
                class,
                tenant,
                function,
                replica_concurrency: lanes,
                load_time,
                work_hint: None,
                is_retry: false,
                time_left,
            };
            for action in self.deliver(router, &event) {
                if let Action::Send { worker, .. } = action {
                    let worker = worker.to_string();
                    let served = serve(self.now, &worker);
                    let outcome = if served.is_some() { Outcome::Ok } else { Outcome::Full };
                    let done = self.now + served.unwrap_or(MS);
                    self.workers_by_function.entry(name.clone()).or_default().insert(worker.clone());
                    self.sends.push((self.now, worker.clone()));
                    let target = (name.clone(), worker);
                    let same_function_requests =
                        self.in_flight.iter().filter(|attempt| attempt.target == target).count() as u32;
                    self.in_flight.push(InFlight {
                        router,
                        id,
                        sent: self.now,
                        done,
                        outcome,
                        target,
                        same_function_requests,
                    });
                }
            }
        }
    }

    /// Restarts a router's process, which starts with the worker list and no learned state.
    fn restart(&mut self, router: usize, workers: &[(&str, Option<Micros>)]) {
        let seed = self.rng.next_u32().into();
        self.routers[router] = Router::new(settings(self.routers.len(), router), seed, self.now);
        self.in_flight.retain(|attempt| attempt.router != router);
        let entries = entries(workers);
        self.routers[router].handle(self.now, &Event::Workers { complete: true, entries }, &mut vec![]);
    }

    fn deliver(&mut self, router: usize, event: &Event) -> Vec<Action> {
        let mut actions = vec![];
        self.routers[router].handle(self.now, event, &mut actions);
        self.orders += actions.iter().filter(|a| matches!(a, Action::Load { .. })).count();
        actions
    }

    fn sent_to(&self, worker: &str, from: Micros, to: Micros) -> Vec<Micros> {
        let at = |(t, w): &(Micros, String)| (w == worker && (from..to).contains(t)).then_some(*t);
        self.sends.iter().filter_map(at).collect()
    }
}

/// From its start until it is warm, the sends of all routers to a new worker stay within the rule's budget in every window
/// and use a fair part of it. A hundred routers once used only a tenth, since few had a request for the worker in their turn.
#[test]
fn any_number_of_routers_keeps_and_uses_a_cold_workers_budget() {
    const WARM: [&str; 7] = ["a", "b", "c", "d", "e", "f", "g"];
    for (router_count, seed) in FLEET_SIZES.into_iter().flat_map(|n| [(n, 1), (n, 2), (n, 3)]) {
        let mut fleet = Simulation::new(router_count, seed);
        fleet.set_workers(true, &WARM.map(|w| (w, None)));
        fleet.run(20 * S, 160.0, 40, |_| 100 * MS);
        // The other workers queue, so that all routers prefer the new one. It is listed a second after its start.
        let start = fleet.now;
        fleet.now += S;
        fleet.set_workers(false, &[("new", Some(start))]);
        fleet.run(start + 14 * S, 160.0, 40, |w| if w == "new" { 100 * MS } else { 300 * MS });
        let sends = fleet.sent_to("new", start, start + 14 * S);
        // The rate that each of the seven others serves underestimates a worker's capacity: 160 a second over seven.
        let capacity = 160.0 / 7.0;
        let share = |t: Micros| (0.15 + 0.85 * (t - start) as f64 / 14e6).min(1.0);
        for t in &sends {
            let window = sends.iter().filter(|s| (t.saturating_sub(1500 * MS)..=*t).contains(s)).count();
            let most = 2.0 * capacity * share(*t) * 1.5;
            let at = (*t - start) / MS;
            assert!(
                window as f64 <= most + 3.0,
                "{router_count} routers, seed {seed}: {window} sends, {most} allowed at {at} ms"
            );
        }
        let least = 0.2 * capacity * (0.15 + 0.85 / 2.0) * 14.0;
        let sent = sends.len();
        assert!(
            sent as f64 >= least,
            "{router_count} routers, seed {seed}: {sent} sent, at least {least} expected"
        );
        let turns: u64 = fleet.routers.iter().map(|r| r.counters().cold_turns).sum();
        assert_eq!(turns, sends.len() as u64, "{router_count} routers, seed {seed}: each send takes a turn");
    }
}

/// Replicas that many routers use need no load orders to stay loaded, so orders must be few beside the requests. There were
/// once half as many orders as requests, as every router renewed the same replicas.
#[test]
fn routers_sharing_replicas_order_few_renewals() {
    for (router_count, seed) in [(37, 1), (37, 2), (100, 1), (100, 2)] {
        let mut fleet = Simulation::new(router_count, seed);
        fleet.set_workers(true, &["a", "b", "c", "d", "e", "f", "g", "h"].map(|w| (w, None)));
        fleet.run(40 * S, 160.0, 40, |_| 100 * MS);
        let (orders, requests) = (fleet.orders, fleet.requests);
        assert!(
            orders * 50 < requests,
            "{router_count} routers, seed {seed}: {orders} orders, {requests} requests"
        );
        assert!(
            fleet.routers.iter().all(|r| r.counters().renewals_skipped > 0),
            "renewals left to other routers are counted"
        );
    }
}

/// Functions that all routers together receive twice a second, with runs of 100 ms, need one worker. Each router sees so few
/// of these requests that it once took its second one for a hundred times the rate, and every fifth function was also loaded
/// on another worker.
#[test]
fn rarely_requested_functions_stay_on_one_worker_despite_sparse_observations() {
    for (router_count, seed) in [(100, 1), (100, 2), (100, 3)] {
        let mut fleet = Simulation::new(router_count, seed);
        fleet.set_workers(
            true,
            &["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"].map(|w| (w, None)),
        );
        fleet.run(30 * S, 160.0, 400, |_| 100 * MS);
        let rare_functions = (0..50).filter_map(|f| fleet.workers_by_function.get(&format!("f{f}")));
        let (count, workers) = rare_functions.fold((0, 0), |(n, w), at| (n + 1, w + at.len()));
        let mean = f64::from(workers as u32) / f64::from(count);
        assert!(mean < 1.1, "{router_count} routers, seed {seed}: {mean} workers per function");
    }
}

/// Functions requested at all routers fill their homes in one order: the first ranks take most, however the routers' estimates
/// of the number of homes differ. Each router once held all homes within its own estimate equally likely, and the largest
/// estimates decided what was loaded.
#[test]
fn all_routers_fill_the_homes_of_popular_functions_in_one_order() {
    for seed in 1..=3 {
        let mut fleet = Simulation::new(100, seed);
        let names: Vec<String> = (0..24).map(|n| format!("w{n}")).collect();
        let list: Vec<(&str, Option<Micros>)> = names.iter().map(|n| (n.as_str(), None)).collect();
        fleet.set_workers(true, &list);
        fleet.run(20 * S, 800.0, 64, |_| 100 * MS);
        let popular = (0..8).filter_map(|f| fleet.workers_by_function.get(&format!("f{f}")));
        let workers = popular.map(BTreeSet::len).sum::<usize>() as f64 / 8.0;
        assert!(workers < 8.0, "seed {seed}: {workers} workers per function");
    }
}
