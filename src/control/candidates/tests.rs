//! Compares the search with estimating every worker: two routers that differ in nothing else process the same randomly
//! generated histories and must return the same actions for every event.

use super::*;
use crate::api::*;
use crate::control::fleet::TimeConstants;
use crate::control::fleet::tests::{approx_eq, recompute_sums};
use crate::control::{Budget, Tokens, ZoneGate};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// Number of histories, and events of each: over a million events in all.
const HISTORIES: u64 = 208;
const EVENTS: usize = 5_000;
/// Events between two comparisons of the incrementally kept sums and indexes with a recomputation from the tables.
const AUDIT_INTERVAL: usize = 500;
const ZONES: usize = 3;

/// An attempt without an outcome yet.
#[derive(Clone)]
struct OpenAttempt {
    id: RequestId,
    attempt: usize,
    sent: Micros,
}

/// One generated history and the two routers that process it.
struct History {
    rng: Pcg32,
    now: Micros,
    search: Router,
    /// The reference, which estimates every worker.
    scan: Router,
    settings: Settings,
    workers: BTreeMap<usize, WorkerEntry>,
    next_worker: usize,
    next_request: RequestId,
    functions: u64,
    open: Vec<OpenAttempt>,
    attempts: BTreeMap<RequestId, usize>,
    orders: Vec<(WorkerId, FunctionId)>,
    timers: BTreeSet<(Micros, u64)>,
    /// Attempts sent, to show that the histories are not empty.
    sent: usize,
}

impl History {
    fn new(seed: u64) -> History {
        let mut rng = Pcg32::seed_from_u64(seed);
        let settings = random_settings(&mut rng);
        let router = || Router::new(settings.clone(), seed, 0);
        let (mut search, mut scan) = (router(), router());
        // Small and large fleets use different preference orders; some histories cross the limit between them.
        let most_ranked = [0, 0, 11, 40, usize::MAX][seed as usize % 5];
        (search.max_rendezvous_workers, scan.max_rendezvous_workers) = (most_ranked, most_ranked);
        scan.set_exhaustive_search(true);
        let functions = [5, 40, 400][seed as usize % 3];
        let mut history = History {
            rng,
            now: 20 * S,
            search,
            scan,
            settings,
            workers: BTreeMap::new(),
            next_worker: 0,
            next_request: 1,
            functions,
            open: Vec::new(),
            attempts: BTreeMap::new(),
            orders: Vec::new(),
            timers: BTreeSet::new(),
            sent: 0,
        };
        let count = [3, 12, 40, 120][(seed / 3) as usize % 4];
        let joins = (0..count).map(|_| history.join(None)).collect();
        history.handle(&Event::Workers { complete: true, entries: joins });
        history
    }

    fn below(&mut self, most: u64) -> u64 {
        u64::from(self.rng.next_u32()) % most
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    fn join(&mut self, ready_at: Option<Micros>) -> WorkerEntry {
        let n = self.next_worker;
        self.next_worker += 1;
        let (zone, cell) = (n % ZONES, n % 4);
        let worker = format!("w{n}").into();
        let listing =
            WorkerEntry { worker, zone, kind: 0, cell, standing: WorkerStatus::Healthy, ready_at, size: 0.0 };
        self.workers.insert(n, listing.clone());
        listing
    }

    /// Passes the event to both routers, whose actions must be equal, and applies the actions.
    fn handle(&mut self, event: &Event) {
        let (mut actions, mut expected) = (Vec::new(), Vec::new());
        self.search.handle(self.now, event, &mut actions);
        self.scan.handle(self.now, event, &mut expected);
        assert_eq!(actions, expected, "search and scan at {} us, {event:?}", self.now);
        for action in actions {
            self.apply(action);
        }
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Send { id, .. } => {
                self.sent += 1;
                let count = self.attempts.entry(id).or_default();
                let attempt = *count;
                *count += 1;
                self.open.push(OpenAttempt { id, attempt, sent: self.now });
            }
            Action::Load { worker, function, .. } => self.orders.push((worker, function)),
            Action::Timer { at, cookie } => drop(self.timers.insert((at, cookie))),
            Action::Cancel { id, attempt } => {
                if let Some(place) = self.open.iter().position(|o| o.id == id && o.attempt == attempt) {
                    let open = self.open.swap_remove(place);
                    self.end(&open, Outcome::Cancelled, ReplicaStatus::NotReported);
                }
            }
            Action::Refuse { .. } | Action::Fail { .. } | Action::WatchWorkers => {}
        }
    }

    fn end(&mut self, open: &OpenAttempt, outcome: Outcome, found: ReplicaStatus) {
        let report = if self.chance(50) { vec![self.below(30) as f64] } else { Vec::new() };
        let crowd = self.chance(60).then(|| self.below(5) as u32);
        self.handle(&Event::AttemptEnded {
            id: open.id,
            attempt: open.attempt,
            is_final: false,
            outcome,
            found,
            concurrent_requests: crowd,
            latency: self.now - open.sent,
            report,
        });
    }

    /// Advances the clock and fires the timers that fall due.
    fn advance(&mut self, duration: Micros) {
        let until = self.now + duration;
        while let Some((at, cookie)) = self.timers.first().copied().filter(|(at, _)| *at <= until) {
            self.timers.pop_first();
            self.now = self.now.max(at);
            self.handle(&Event::Timer { cookie });
        }
        self.now = until;
    }

    fn send_request(&mut self) {
        // Half of all requests go to an eighth of the functions.
        let candidates = if self.chance(50) { self.functions.div_ceil(8) } else { self.functions };
        let function = format!("f{}", self.below(candidates)).as_str().into();
        let class = self.below(self.settings.classes.len() as u64) as usize;
        let time_left = if self.chance(10) { 200 * MS } else { 3 * S };
        let work = self.chance(30).then(|| 20 * MS + self.below(300 * MS));
        let load_time = self.chance(70).then_some(400 * MS);
        let (tenant, again) = (self.below(2) as usize, self.chance(10));
        let id = self.next_request;
        self.next_request += 1;
        self.handle(&Event::Request {
            id,
            class,
            tenant,
            function,
            replica_concurrency: 2.0,
            load_time,
            work_hint: work,
            is_retry: again,
            time_left,
        });
    }

    fn end_random_attempt(&mut self) {
        if self.open.is_empty() {
            return;
        }
        let place = self.below(self.open.len() as u64) as usize;
        let open = self.open.swap_remove(place);
        let (outcome, found) = match self.below(40) {
            0..24 => (Outcome::Ok, ReplicaStatus::Warm),
            24..28 => (Outcome::Ok, ReplicaStatus::LoadStarted),
            28..30 => (Outcome::Ok, ReplicaStatus::WaitedForLoad),
            30 => (Outcome::Ok, ReplicaStatus::NotReported),
            31 => (Outcome::Full, ReplicaStatus::NotReported),
            32 => (Outcome::Miss, ReplicaStatus::NotReported),
            33 => (Outcome::Error, ReplicaStatus::LoadFailed),
            34 => (Outcome::Error, ReplicaStatus::NotReported),
            35 => (Outcome::Timeout, ReplicaStatus::NotReported),
            36 => (Outcome::ConnectFailed, ReplicaStatus::NotReported),
            37 => (Outcome::Reset, ReplicaStatus::NotReported),
            38 => (Outcome::NotSent, ReplicaStatus::NotReported),
            _ => (Outcome::Unknown, ReplicaStatus::NotReported),
        };
        self.end(&open, outcome, found);
    }

    fn end_ordered_load(&mut self) {
        if let Some((worker, function)) = self.orders.pop() {
            let (outcome, replicas) =
                [(Outcome::Ok, 1), (Outcome::Full, 0), (Outcome::Error, 0)][self.below(3) as usize];
            self.handle(&Event::Loaded { worker, function, outcome, latency: 300 * MS, replicas });
        }
    }

    fn random_worker(&mut self) -> Option<usize> {
        let all: Vec<usize> = self.workers.keys().copied().collect();
        if all.is_empty() { None } else { Some(all[self.below(all.len() as u64) as usize]) }
    }

    fn set_standing(&mut self, n: usize, standing: WorkerStatus, ready_at: Option<Micros>) -> WorkerEntry {
        let listing = self.workers.get_mut(&n).expect("a worker");
        listing.standing = standing;
        listing.ready_at = ready_at.or(listing.ready_at);
        listing.clone()
    }

    /// Reports a random change of the worker list: a join, drain, restart or replacement, the loss or return of a zone, or a
    /// complete list.
    fn change_list(&mut self) {
        let Some(n) = self.random_worker() else { return };
        let now = self.now;
        let (complete, entries) = match self.below(8) {
            0 => (false, vec![self.join(Some(now))]),
            1 => (false, vec![self.set_standing(n, WorkerStatus::Draining, None)]),
            2 => (false, vec![self.set_standing(n, WorkerStatus::Healthy, None)]),
            3 => (false, vec![self.set_standing(n, WorkerStatus::Healthy, Some(now))]),
            4 if self.workers.len() > 3 => {
                let gone = self.set_standing(n, WorkerStatus::Removed, None);
                self.workers.remove(&n);
                (false, vec![gone])
            }
            5 => {
                let zone = n % ZONES;
                let standing = if self.chance(50) { WorkerStatus::Removed } else { WorkerStatus::Healthy };
                let there: Vec<usize> = self.workers.keys().copied().filter(|w| w % ZONES == zone).collect();
                let ready_at = (standing == WorkerStatus::Healthy).then_some(now);
                (false, there.into_iter().map(|w| self.set_standing(w, standing, ready_at)).collect())
            }
            6 => {
                // A complete list in another order, with some workers replaced.
                let replaced: Vec<usize> = self.workers.keys().copied().filter(|w| w % 7 == n % 7).collect();
                if self.workers.len() > replaced.len() + 2 {
                    replaced.iter().for_each(|w| drop(self.workers.remove(w)));
                    replaced.iter().for_each(|_| drop(self.join(Some(now))));
                }
                (true, self.workers.values().rev().cloned().collect())
            }
            _ => (true, self.workers.values().cloned().collect()),
        };
        self.handle(&Event::Workers { complete, entries });
    }

    /// Sets a random budget, with gates of workers and zones, an admission level and tokens for resends and load orders; or
    /// an empty one.
    fn change_budget(&mut self) {
        let mut next = Budget::default();
        if self.chance(60) {
            if let Some(n) = self.random_worker() {
                next.worker_gates.insert(self.workers[&n].worker.clone(), (self.below(3), 0));
            }
            if self.chance(50) {
                let zone = self.below(ZONES as u64) as usize;
                next.zone_gates
                    .insert(zone, ZoneGate { remaining: self.below(4), sent: 0, probe: self.chance(50) });
            }
            next.resend_tokens =
                self.chance(50).then(|| Tokens { available: self.below(5), ..Tokens::default() });
            next.load_order_tokens =
                self.chance(50).then(|| Tokens { available: self.below(5), ..Tokens::default() });
            (next.admission_level, next.mean_retry_after) =
                (if self.chance(20) { self.below(40) as u8 } else { 0 }, 200 * MS);
        }
        let spent = self.search.replace_budget(next.clone());
        let expected = self.scan.replace_budget(next);
        assert_eq!(spent, expected, "budget spent since the last one");
    }

    fn change_settings(&mut self) {
        self.settings.keep_alive = [4 * S, 10 * S, 14 * S][self.below(3) as usize];
        self.settings.may_duplicate = self.chance(50);
        let (search, scan) = (&mut self.search, &mut self.scan);
        search.configure(self.settings.clone(), &[]);
        scan.configure(self.settings.clone(), &[]);
    }

    fn step(&mut self) {
        let duration = if self.chance(1) { 5 * S + self.below(20 * S) } else { self.below(20 * MS) };
        self.advance(duration);
        match self.below(1_000) {
            0..480 => self.send_request(),
            480..930 => self.end_random_attempt(),
            930..950 => self.end_ordered_load(),
            950..975 => self.change_list(),
            975..985 => self.change_budget(),
            985..995 => {
                let id = self.next_request.saturating_sub(1 + self.below(10));
                self.handle(&Event::Abandoned { id });
            }
            995..997 => {
                if let Some(worker) = self.random_worker().map(|n| self.workers[&n].worker.clone()) {
                    self.search.probe_failed(self.now, &worker);
                    self.scan.probe_failed(self.now, &worker);
                }
            }
            997 => self.change_settings(),
            _ => {
                let id = self.next_request.saturating_sub(1 + self.below(5));
                self.handle(&Event::Streaming { id });
            }
        }
    }

    /// Compares the incrementally kept sums and indexes with a recomputation from the tables.
    fn audit(&mut self) {
        let now = self.now;
        let router = &mut self.search;
        router.fleet.advance(now);
        let times = TimeConstants { half_life: router.half_life_us, warm_after: router.settings.warm_after };
        let recomputed = recompute_sums(&router.workers, times, |w| router.present_share(w), now);
        let (sum, weight) = router.fleet.slowness(now);
        let capacity = router.fleet.capacity(|slot| router.present_share(&router.workers[slot]));
        let kept = [sum, weight, capacity, router.fleet.up() as f64];
        assert!(
            kept.iter().zip(recomputed).all(|(kept, recomputed)| approx_eq(*kept, recomputed)),
            "{kept:?}, recomputed {recomputed:?}"
        );
        let mut replicas: BTreeSet<(usize, u32)> = BTreeSet::new();
        for (slot, worker) in router.workers.iter().enumerate() {
            replicas.extend(worker.replicas.keys().map(|function| (*function, slot as u32)));
            assert_eq!(router.worker_ids[&worker.id], slot);
            assert_eq!(router.unlisted.contains(&slot), !worker.listed, "{}", worker.id);
        }
        let holders = router.functions.iter().flat_map(|(slot, f)| f.holders.iter().map(move |w| (slot, *w)));
        assert_eq!(
            holders.collect::<BTreeSet<_>>(),
            replicas,
            "the holders of a function are the workers with a mark of it"
        );
        let mut in_flight: BTreeMap<usize, u32> = BTreeMap::new();
        router.requests.values().for_each(|r| *in_flight.entry(r.function).or_default() += 1);
        for (slot, function) in router.functions.iter() {
            assert_eq!(function.in_flight, in_flight.get(&slot).copied().unwrap_or(0));
        }
        let Some((slot, _)) = router.functions.iter().next() else { return };
        let function = router.functions[slot].id.clone();
        let mut sorted: Vec<usize> = (0..router.workers.len()).collect();
        sorted.sort_by_key(|w| router.preference_distance(&function, *w));
        let homes = router.choice_inputs(slot).homes;
        let mut expected = Vec::new();
        let mut up = 0.0;
        for worker in &sorted {
            if up >= homes {
                break;
            }
            expected.push(*worker);
            up += f64::from(u8::from(router.workers[*worker].up));
        }
        expected.sort_unstable();
        let homes: Vec<usize> = router.home_ranks(slot, homes).iter().map(|rank| rank.worker).collect();
        assert_eq!(homes, expected, "homes come first in preference order");
        assert_eq!(router.preferred_workers(&router.functions[slot]).collect::<Vec<_>>(), sorted);
    }
}

fn random_settings(rng: &mut Pcg32) -> Settings {
    let mut below = |most: u32| rng.next_u32() % most;
    let class = |effect, key_scope| Class {
        latency_target: 800 * MS,
        deadline: 3 * S,
        effect,
        key_scope,
        repeat_window: 1_500 * MS,
        credit: 1.0,
        late_worth: 0.1,
    };
    Settings {
        dispatcher_count: [1, 3, 30, 300][below(4) as usize],
        own_index: 0,
        own_zone: 0,
        classes: vec![
            class(Effect::Idempotent, KeyScope::All),
            class(Effect::Deduplicated, KeyScope::Zone),
            class(Effect::AtMostOnce, KeyScope::Cell),
        ],
        tenant_quotas: vec![20.0],
        over_share_worth: 0.2,
        report_fields: if below(2) == 0 { vec![ReportField::Inflight] } else { vec![] },
        max_attempts: 3,
        may_duplicate: below(2) == 0,
        may_cancel: below(4) > 0,
        max_retry_after: S,
        min_batch_interval: MS,
        cold_share: 0.15,
        warm_after: 14 * S,
        fall_multiple: 2.0,
        fall_window: 1_500 * MS,
        load_orders_allowed: below(4) > 0,
        loads_on_miss: true,
        keep_alive: 10 * S,
        load_window: if below(4) > 0 { 5 * S } else { 0 },
        loads_anyway: 6.0,
        loads_per_request: 0.3,
        cross_zone_price: [0.0, 0.04][below(2) as usize],
        fetch_price: 0.15,
        memory_price: 0.0,
        list_on_request: false,
    }
}

/// Runs a history and returns the number of attempts sent. `fault` is injected into the tables of the search before each
/// event; such a history is not audited, since the comparison with the scan alone must reveal the fault.
fn run_history(seed: u64, events: usize, fault: Option<&dyn Fn(&mut Router)>) -> usize {
    let mut history = History::new(seed);
    for n in 0..events {
        fault.iter().for_each(|inject| inject(&mut history.search));
        history.step();
        if n % AUDIT_INTERVAL == 0 && fault.is_none() {
            history.audit();
        }
    }
    history.sent
}

/// Runs the histories on all cores and returns the number of attempts sent in all of them.
fn run_histories(histories: u64, events: usize) -> usize {
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get() as u64);
    std::thread::scope(|scope| {
        let part = |first: u64| {
            (first..histories)
                .step_by(threads as usize)
                .map(|seed| run_history(seed, events, None))
                .sum::<usize>()
        };
        let parts: Vec<_> = (0..threads).map(|n| scope.spawn(move || part(n))).collect();
        parts.into_iter().map(|p| p.join().expect("a history without a failed assertion")).sum()
    })
}

#[test]
fn search_makes_the_same_choices_as_estimating_every_worker() {
    let sent = run_histories(HISTORIES, EVENTS);
    println!("{HISTORIES} histories, {} events, {sent} sends", HISTORIES * EVENTS as u64);
    assert!(sent > 200_000, "too few attempts sent in all histories: {sent}");
}

fn assert_detected(what: &str, fault: impl Fn(&mut Router) + std::panic::RefUnwindSafe) {
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let detected =
        (0..12).any(|seed| std::panic::catch_unwind(|| run_history(seed, 2_000, Some(&fault))).is_err());
    std::panic::set_hook(hook);
    assert!(detected, "an injected fault was not detected: {what}");
}

#[test]
fn comparison_detects_faults_injected_into_the_indexes() {
    assert_detected("a holder is missing from each function", |router| {
        let slots: Vec<usize> = router.functions.iter().map(|(slot, _)| slot).collect();
        for slot in slots {
            router.functions[slot].holders.pop();
        }
    });
    assert_detected("cached preference orders are reversed", |router| {
        let slots: Vec<usize> = router.functions.iter().map(|(slot, _)| slot).collect();
        slots.into_iter().for_each(|slot| router.functions[slot].preferred_workers.reverse());
    });
    assert_detected("all workers are indexed as slow", |router| router.fleet.corrupt_slowness_index());
}
