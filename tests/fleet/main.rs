//! Many instances of the module with one clock: what they ask for in sum, against the rules and stated bounds.
//! One router, two, a prime number and a hundred. Seeds are printed with what fails.

mod cold_budget;

use ochreward::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const FLEETS: [usize; 4] = [1, 2, 37, 100];

fn settings(balancers: usize, me: usize) -> Settings {
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
        dispatcher_count: balancers,
        own_index: me,
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

/// Something out at a worker: who sent it, its number, where, and when it is done.
struct Out {
    router: usize,
    id: RequestId,
    sent: Micros,
    done: Micros,
    /// The function and the worker, and the requests for the one that the other held when this one came.
    of: (String, String),
    crowd: u32,
}

/// The routers, and plain books of what they ask for.
struct Fleet {
    routers: Vec<Router>,
    rng: Pcg32,
    now: Micros,
    next: RequestId,
    out: Vec<Out>,
    sends: Vec<(Micros, String)>,
    orders: usize,
    /// The workers that each function was sent to.
    spread: BTreeMap<String, BTreeSet<String>>,
    requests: usize,
    /// The share of all requests that comes to the routers up to each, where it is not the same for all.
    shares: Vec<f64>,
}

fn entries(workers: &[(&str, Option<Micros>)]) -> Vec<WorkerEntry> {
    let entry = |(name, ready_at): &(&str, Option<Micros>)| WorkerEntry {
        worker: (*name).into(),
        zone: 0,
        kind: 0,
        cell: 0,
        standing: WorkerStatus::Healthy,
        ready_at: *ready_at,
    };
    workers.iter().map(entry).collect()
}

impl Fleet {
    fn new(balancers: usize, seed: u64) -> Fleet {
        let router = |me| Router::new(settings(balancers, me), seed * 1_000 + me as u64, 0);
        let routers = (0..balancers).map(router).collect();
        let rng = Pcg32::seed_from_u64(seed);
        let (out, sends, spread) = (vec![], vec![], BTreeMap::new());
        let shares = (1..=balancers).map(|n| n as f64 / balancers as f64).collect();
        Fleet { routers, rng, now: 0, next: 1, out, sends, orders: 0, spread, requests: 0, shares }
    }

    /// From here on each router has its weight of all requests.
    fn weigh(&mut self, weights: &[f64]) {
        let whole: f64 = weights.iter().sum();
        let mut sum = 0.0;
        self.shares = weights.iter().map(|w| (sum += w / whole, sum).1).collect();
    }

    /// The router that the next request comes to.
    fn draw(&mut self) -> usize {
        let at = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        self.shares.partition_point(|s| *s < at).min(self.routers.len() - 1)
    }

    fn list(&mut self, complete: bool, workers: &[(&str, Option<Micros>)]) {
        let entries = entries(workers);
        for r in &mut self.routers {
            r.handle(self.now, &Event::Workers { complete, entries: entries.clone() }, &mut vec![]);
        }
    }

    /// Runs on until `end` with `rate` requests a second in all, at random routers, over so many functions; a
    /// run at a worker takes `run(worker)`. Replicas stand everywhere.
    fn run(&mut self, end: Micros, rate: f64, functions: u32, run: impl Fn(&str) -> Micros) {
        let gap = (1e6 / rate) as Micros;
        while self.now < end {
            self.now += gap / 2 + Micros::from(self.rng.next_u32()) % gap;
            while let Some(n) = (0..self.out.len()).find(|n| self.out[*n].done <= self.now) {
                let Out { router, id, sent, done, crowd, .. } = self.out.swap_remove(n);
                let event = Event::AttemptEnded {
                    id,
                    attempt: 0,
                    is_final: true,
                    outcome: Outcome::Ok,
                    found: ReplicaStatus::Warm,
                    concurrent_requests: Some(crowd),
                    latency: done - sent,
                    report: vec![],
                };
                self.tell(router, &event);
            }
            let router = self.draw();
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
            for action in self.tell(router, &event) {
                if let Action::Send { worker, .. } = action {
                    let worker = worker.to_string();
                    let done = self.now + run(&worker);
                    self.spread.entry(name.clone()).or_default().insert(worker.clone());
                    self.sends.push((self.now, worker.clone()));
                    let of = (name.clone(), worker);
                    let crowd = self.out.iter().filter(|o| o.of == of).count() as u32;
                    self.out.push(Out { router, id, sent: self.now, done, of, crowd });
                }
            }
        }
    }

    /// The router's process starts anew: it knows the list and nothing else.
    fn restart(&mut self, router: usize, workers: &[(&str, Option<Micros>)]) {
        let seed = self.rng.next_u32().into();
        self.routers[router] = Router::new(settings(self.routers.len(), router), seed, self.now);
        self.out.retain(|o| o.router != router);
        let entries = entries(workers);
        self.routers[router].handle(self.now, &Event::Workers { complete: true, entries }, &mut vec![]);
    }

    fn tell(&mut self, router: usize, event: &Event) -> Vec<Action> {
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

/// From start to warm, all routers' sends to a fresh worker stay inside the rule's budget in every window, and use
/// a fair part of it. Before the mend a hundred routers sent a tenth of it: few of them had their turn
/// while they had a request for it.
#[test]
fn a_cold_workers_budget_is_kept_and_used_by_any_number_of_routers() {
    const WARM: [&str; 7] = ["a", "b", "c", "d", "e", "f", "g"];
    for (balancers, seed) in FLEETS.into_iter().flat_map(|n| [(n, 1), (n, 2), (n, 3)]) {
        let mut fleet = Fleet::new(balancers, seed);
        fleet.list(true, &WARM.map(|w| (w, None)));
        fleet.run(20 * S, 160.0, 40, |_| 100 * MS);
        // Where peers queue, all want the fresh one. It is told of a second after its start.
        let start = fleet.now;
        fleet.now += S;
        fleet.list(false, &[("new", Some(start))]);
        fleet.run(start + 14 * S, 160.0, 40, |w| if w == "new" { 100 * MS } else { 300 * MS });
        let sends = fleet.sent_to("new", start, start + 14 * S);
        // What peers serve is a low figure for what one can do: 160 a second over seven.
        let capacity = 160.0 / 7.0;
        let share = |t: Micros| (0.15 + 0.85 * (t - start) as f64 / 14e6).min(1.0);
        for t in &sends {
            let window = sends.iter().filter(|s| (t.saturating_sub(1500 * MS)..=*t).contains(s)).count();
            let most = 2.0 * capacity * share(*t) * 1.5;
            let at = (*t - start) / MS;
            assert!(
                window as f64 <= most + 3.0,
                "{balancers} routers, seed {seed}: {window} of {most} at {at} ms"
            );
        }
        let least = 0.2 * capacity * (0.15 + 0.85 / 2.0) * 14.0;
        let sent = sends.len();
        assert!(sent as f64 >= least, "{balancers} routers, seed {seed}: {sent} sent, {least} wanted");
        let turns: u64 = fleet.routers.iter().map(|r| r.counters().cold_turns).sum();
        assert_eq!(turns, sends.len() as u64, "{balancers} routers, seed {seed}: each takes a turn");
    }
}

/// What many routers use needs no orders to be held: in sum they are few beside the requests. Before the mend there
/// were half as many orders as requests.
#[test]
fn routers_that_use_the_same_replicas_do_not_all_order_them_held() {
    for (balancers, seed) in [(37, 1), (37, 2), (100, 1), (100, 2)] {
        let mut fleet = Fleet::new(balancers, seed);
        fleet.list(true, &["a", "b", "c", "d", "e", "f", "g", "h"].map(|w| (w, None)));
        fleet.run(40 * S, 160.0, 40, |_| 100 * MS);
        let (orders, requests) = (fleet.orders, fleet.requests);
        assert!(
            orders * 50 < requests,
            "{balancers} routers, seed {seed}: {orders} orders, {requests} requests"
        );
        assert!(
            fleet.routers.iter().all(|r| r.counters().renewals_skipped > 0),
            "what is left to others is counted"
        );
    }
}

/// Functions asked for twice a second by all routers together, a run of 100 ms each, need one worker. Before the mend
/// the second request that a router saw spoke for a hundred more, and every fifth function went to another
/// worker too, a load there.
#[test]
fn functions_asked_for_now_and_then_are_not_spread_by_thin_sight() {
    for (balancers, seed) in [(100, 1), (100, 2), (100, 3)] {
        let mut fleet = Fleet::new(balancers, seed);
        fleet.list(true, &["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"].map(|w| (w, None)));
        fleet.run(30 * S, 160.0, 400, |_| 100 * MS);
        let rare = (0..50).filter_map(|f| fleet.spread.get(&format!("f{f}")));
        let (count, workers) = rare.fold((0, 0), |(n, w), at| (n + 1, w + at.len()));
        let mean = f64::from(workers as u32) / f64::from(count);
        assert!(mean < 1.1, "{balancers} routers, seed {seed}: {mean} workers a function");
    }
}

/// Functions that all ask for fill their homes in one order: the first ranks take most, however the guesses differ. Before the
/// mend each router held all homes of its own guess for equally likely, and the boldest guesses decided what was loaded.
#[test]
fn popular_functions_fill_their_homes_in_one_order_at_all_routers() {
    for seed in 1..=3 {
        let mut fleet = Fleet::new(100, seed);
        let names: Vec<String> = (0..24).map(|n| format!("w{n}")).collect();
        let list: Vec<(&str, Option<Micros>)> = names.iter().map(|n| (n.as_str(), None)).collect();
        fleet.list(true, &list);
        fleet.run(20 * S, 800.0, 64, |_| 100 * MS);
        let popular = (0..8).filter_map(|f| fleet.spread.get(&format!("f{f}")));
        let workers = popular.map(BTreeSet::len).sum::<usize>() as f64 / 8.0;
        assert!(workers < 8.0, "seed {seed}: {workers} workers a function");
    }
}
