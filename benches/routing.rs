//! Measures the cost of a routing decision by fleet size: the indexed search against an exhaustive scan of all
//! workers, in one run.
//!
//! Each call is a request and its outcome, at 169 calls per second of simulated time (2.7 million over 16,000
//! dispatchers); only time spent inside the decision module is counted. Functions are requested either uniformly rarely
//! (always the least recently requested one) or skewed (the n-th with weight 1/n). Prints `figure value unit` and exits
//! non-zero on a missed bound. `cargo bench --bench routing`, under 50 s.

use hdrhistogram::Histogram;
use ochreward::*;
use ochreward_rig::process;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::time::Instant;

const SECOND: Micros = 1_000_000;
/// Time between two calls at one dispatcher.
const CALL_INTERVAL: Micros = SECOND / 169;
/// Shortest run time of a request.
const RUN_TIME: Micros = 120_000;
/// Bounds at 15,600 workers: cost of a call relative to 12 workers, cost of a call, cost of a scan relative to the
/// indexed search, longest single event, longest full worker list, memory.
const MAX_SCALING_RATIO: f64 = 3.0;
const MAX_CALL_US: f64 = 154.0;
const MIN_SCAN_RATIO: f64 = 100.0;
const MAX_EVENT_US: f64 = 1_000.0;
const MAX_FULL_LIST_MS: f64 = 50.0;
const MAX_MEMORY_MB: f64 = 200.0;
/// Numbers of workers and functions of each fleet size.
const SIZES: [(usize, usize); 5] =
    [(12, 1_000), (100, 1_000), (1_000, 1_000), (5_000, 60_000), (15_600, 560_000)];
/// Timed calls with the indexed search, and, for each fleet size, with the exhaustive scan.
const TIMED_CALLS: usize = 12_000;
const TIMED_SCAN_CALLS: [usize; 5] = [3_000, 2_000, 600, 200, 100];

fn settings(workers: usize) -> Settings {
    let config = ochreward::config::Config::read(include_str!("../deploy/example.json"));
    let mut settings = config.expect("the shipped example reads").parts.settings.module;
    // The target fleet's ratio of dispatchers to workers: 173 calls per second at each dispatcher.
    settings.dispatcher_count = (workers * 16_000 / 15_600).max(1);
    settings
}

fn worker_entry(n: usize, standing: WorkerStatus, ready_at: Option<Micros>) -> WorkerEntry {
    WorkerEntry {
        worker: format!("s-{n:05}").into(),
        zone: n % 9,
        kind: 0,
        cell: n % 4,
        standing,
        ready_at,
        size: 0.0,
    }
}

/// Distribution of requests over the functions.
#[derive(Clone, Copy, PartialEq)]
enum Traffic {
    Rare,
    Skewed,
}

/// One dispatcher's decision module with simulated workers and clients.
struct Harness {
    router: Router,
    rng: Pcg32,
    now: Micros,
    next_id: RequestId,
    functions: usize,
    traffic: Traffic,
    in_flight: VecDeque<(RequestId, Micros)>,
    actions: Vec<Action>,
    /// Times of single events, in nanoseconds.
    event_times: Histogram<u64>,
    /// Time spent in the module since the measurement began, in nanoseconds.
    spent_ns: u64,
    calls: usize,
    /// Percentage of attempts that end with a failed connect.
    failure_percent: u32,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000_000, 3).expect("bounds")
}

impl Harness {
    fn new(workers: usize, functions: usize, traffic: Traffic) -> Harness {
        let mut harness = Harness {
            router: Router::new(settings(workers), 7, 0),
            rng: Pcg32::seed_from_u64(11),
            now: 100 * SECOND,
            next_id: 1,
            functions,
            traffic,
            in_flight: VecDeque::new(),
            actions: Vec::new(),
            event_times: histogram(),
            spent_ns: 0,
            calls: 0,
            failure_percent: 0,
        };
        harness.router.set_max_function_bytes(ochreward::control::DEFAULT_FUNCTION_BYTES);
        let entries = (0..workers).map(|n| worker_entry(n, WorkerStatus::Healthy, None)).collect();
        harness.handle_event(&Event::Workers { complete: true, entries });
        harness
    }

    /// Passes the event to the module and returns the time that took, in nanoseconds.
    fn handle_event(&mut self, event: &Event) -> u64 {
        self.actions.clear();
        let started = Instant::now();
        self.router.handle(self.now, event, &mut self.actions);
        let elapsed_ns = started.elapsed().as_nanos() as u64;
        self.event_times.saturating_record(elapsed_ns.max(1));
        self.spent_ns += elapsed_ns;
        elapsed_ns
    }

    fn pick_function(&mut self) -> usize {
        match self.traffic {
            // Cycles through all functions, so that each is the least recently used one; the step is coprime to their
            // number.
            Traffic::Rare => (self.next_id as usize * 7_919) % self.functions,
            Traffic::Skewed => {
                let draw = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
                ((self.functions as f64).powf(draw) as usize).saturating_sub(1).min(self.functions - 1)
            }
        }
    }

    fn make_call(&mut self) {
        self.now += CALL_INTERVAL;
        while let Some((id, _)) = self.in_flight.pop_front_if(|(_, due)| *due <= self.now) {
            let fails = self.rng.next_u32() % 100 < self.failure_percent;
            let outcome = if fails { Outcome::ConnectFailed } else { Outcome::Ok };
            let found = if fails { ReplicaStatus::NotReported } else { ReplicaStatus::Warm };
            let latency = RUN_TIME + Micros::from(self.rng.next_u32() % 40_000);
            let concurrent_requests = Some(1);
            let event = Event::AttemptEnded {
                id,
                attempt: 0,
                is_final: true,
                outcome,
                found,
                concurrent_requests,
                latency,
                report: vec![],
            };
            self.handle_event(&event);
        }
        let function = format!("{:016x}", self.pick_function()).as_str().into();
        let id = self.next_id;
        self.next_id += 1;
        let event = Event::Request {
            id,
            class: 0,
            tenant: 0,
            function,
            replica_concurrency: 2.0,
            load_time: Some(600_000),
            work_hint: None,
            is_retry: false,
            time_left: 3 * SECOND,
        };
        self.handle_event(&event);
        if self.actions.iter().any(|a| matches!(a, Action::Send { .. })) {
            self.in_flight.push_back((id, self.now + RUN_TIME));
        }
        self.calls += 1;
    }

    /// Makes `count` calls and returns the mean time of one with its outcome, in microseconds.
    fn run_calls(&mut self, count: usize) -> f64 {
        (self.event_times, self.spent_ns, self.calls) = (histogram(), 0, 0);
        (0..count).for_each(|_| self.make_call());
        self.spent_ns as f64 / 1e3 / count as f64
    }

    fn event_quantile_us(&self, quantile: f64) -> f64 {
        self.event_times.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    process::resident(std::process::id()) as f64
}

/// Returns the longest times to apply a change of one worker, of a zone and of the full list, in milliseconds.
fn time_list_changes(harness: &mut Harness, workers: usize) -> [f64; 3] {
    let mut worst = [0_u64; 3];
    for n in 0..300 {
        harness.now += 10_000;
        let (standing, ready_at) = match n % 3 {
            0 => (WorkerStatus::Draining, None),
            1 => (WorkerStatus::Removed, None),
            _ => (WorkerStatus::Healthy, Some(harness.now)),
        };
        // Every 30th change adds a worker that was not listed before.
        let index = if n % 30 == 29 { workers + n } else { n / 3 % workers };
        let entries = vec![worker_entry(index, standing, ready_at)];
        worst[0] = worst[0].max(harness.handle_event(&Event::Workers { complete: false, entries }));
    }
    for standing in [WorkerStatus::Removed, WorkerStatus::Healthy] {
        harness.now += SECOND;
        let ready_at = (standing == WorkerStatus::Healthy).then_some(harness.now);
        let entries =
            (0..workers).filter(|n| n % 9 == 3).map(|n| worker_entry(n, standing, ready_at)).collect();
        worst[1] = worst[1].max(harness.handle_event(&Event::Workers { complete: false, entries }));
    }
    for first in [0, workers / 10] {
        harness.now += SECOND;
        let entries =
            (first..first + workers).map(|n| worker_entry(n, WorkerStatus::Healthy, None)).collect();
        worst[2] = worst[2].max(harness.handle_event(&Event::Workers { complete: true, entries }));
    }
    worst.map(|ns| ns as f64 / 1e6)
}

/// Returns the bytes that the module holds for a worker without observations, including its points on the hash ring.
fn bytes_per_worker() -> f64 {
    const WORKERS: usize = 15_600;
    let before = resident_bytes();
    let harness = Harness::new(WORKERS, 1, Traffic::Rare);
    let bytes = (resident_bytes() - before) / WORKERS as f64;
    assert_eq!(harness.router.sizes().workers, WORKERS);
    bytes
}

/// Returns the bytes that the module holds per pair of function and worker, with each pair used once.
fn bytes_per_pair() -> f64 {
    const WORKERS: usize = 200;
    const FUNCTIONS: usize = 500;
    let mut harness = Harness::new(WORKERS, FUNCTIONS, Traffic::Rare);
    let mut before = 0.0;
    for worker in 0..WORKERS {
        let entries = (0..WORKERS).map(|n| {
            worker_entry(n, if n == worker { WorkerStatus::Healthy } else { WorkerStatus::Draining }, None)
        });
        harness.handle_event(&Event::Workers { complete: true, entries: entries.collect() });
        for _ in 0..FUNCTIONS {
            // Simulated time advances by 50 us only, so that all pairs stay within one keep-alive.
            harness.now -= CALL_INTERVAL;
            harness.make_call();
            if let Some((id, _)) = harness.in_flight.pop_back() {
                let (outcome, found, latency, report) = (Outcome::Ok, ReplicaStatus::Warm, RUN_TIME, vec![]);
                harness.handle_event(&Event::AttemptEnded {
                    id,
                    attempt: 0,
                    is_final: true,
                    outcome,
                    found,
                    concurrent_requests: None,
                    latency,
                    report,
                });
            }
            harness.now += 50;
        }
        if worker == 0 {
            before = resident_bytes();
        }
    }
    (resident_bytes() - before) / (harness.router.sizes().replicas - FUNCTIONS) as f64
}

fn main() {
    let started = Instant::now();
    let mut missed = Vec::new();
    let mut check_bound = |met: bool, what: String| {
        if !met {
            missed.push(what);
        }
    };
    println!("bytes_a_worker {:.0} bytes", bytes_per_worker());
    println!("bytes_a_pair {:.0} bytes", bytes_per_pair());
    for traffic in [Traffic::Rare, Traffic::Skewed] {
        let kind = if traffic == Traffic::Rare { "rare" } else { "skewed" };
        let mut smallest = 0.0;
        for ((workers, functions), scans) in SIZES.into_iter().zip(TIMED_SCAN_CALLS) {
            let baseline_bytes = resident_bytes();
            let mut harness = Harness::new(workers, functions, traffic);
            let listed_bytes = resident_bytes();
            // Warm-up: with rare traffic each function is requested once, with skewed traffic the frequent ones often
            // enough to have estimates.
            harness.run_calls(if traffic == Traffic::Rare { functions.max(5_000) } else { TIMED_CALLS });
            let warm_bytes = resident_bytes();
            let mean = harness.run_calls(TIMED_CALLS);
            let label = format!("{kind}_{workers}_workers_{functions}_functions");
            println!("{label}_mean {mean:.2} us a call");
            println!("{label}_event_p99 {:.2} us", harness.event_quantile_us(0.99));
            println!("{label}_event_p9999 {:.2} us", harness.event_quantile_us(0.9999));
            println!("{label}_event_worst {:.2} us", harness.event_quantile_us(1.0));
            println!("{label}_memory {:.1} MB", (warm_bytes - baseline_bytes) / 1e6);
            let worst = harness.event_quantile_us(1.0);
            let sizes = harness.router.sizes();
            if workers == 12 {
                smallest = mean;
            }
            if workers == 15_600 {
                println!("{label}_over_12_workers {:.2} ratio", mean / smallest);
                println!("{label}_of_a_core_at_169 {:.3} %", mean * 169.0 / 1e4);
                let known = sizes.functions + sizes.dormant_functions;
                println!("{label}_functions_known {known} functions");
                println!("{label}_bytes_a_function {:.0} bytes", (warm_bytes - listed_bytes) / known as f64);
                println!("{label}_counted {:.1} MB", sizes.function_bytes as f64 / 1e6);
                check_bound(
                    mean <= MAX_SCALING_RATIO * smallest,
                    format!(
                        "{label}: {:.2} times the cost at 12 workers, bound {MAX_SCALING_RATIO}",
                        mean / smallest
                    ),
                );
                check_bound(
                    mean < MAX_CALL_US,
                    format!("{label}: {mean:.1} us per call, bound {MAX_CALL_US} us"),
                );
                check_bound(
                    worst < MAX_EVENT_US,
                    format!("{label}: an event took {worst:.0} us, bound {MAX_EVENT_US} us"),
                );
                check_bound(
                    warm_bytes - baseline_bytes < MAX_MEMORY_MB * 1e6,
                    format!(
                        "{label}: {:.0} MB of memory, bound {MAX_MEMORY_MB} MB",
                        (warm_bytes - baseline_bytes) / 1e6
                    ),
                );
                if traffic == Traffic::Rare {
                    check_bound(
                        known == functions,
                        format!("{label}: {known} of {functions} functions are tracked"),
                    );
                }
            }
            harness.router.set_exhaustive_search(true);
            let scan_mean = harness.run_calls(scans);
            println!("{label}_scan_mean {scan_mean:.2} us a call");
            println!("{label}_scan_over_search {:.1} ratio", scan_mean / mean);
            if workers == 15_600 {
                check_bound(
                    scan_mean >= MIN_SCAN_RATIO * mean,
                    format!(
                        "{label}: scan costs only {:.1} times the indexed search, bound {MIN_SCAN_RATIO}",
                        scan_mean / mean
                    ),
                );
            }
            harness.router.set_exhaustive_search(false);
            if workers == 15_600 {
                let [one, zone, full] = time_list_changes(&mut harness, workers);
                println!("{label}_list_one_changed {one:.3} ms");
                println!("{label}_list_zone_changed {zone:.3} ms");
                println!("{label}_list_whole {full:.3} ms");
                check_bound(
                    one * 1e3 < MAX_EVENT_US,
                    format!("{label}: a change of one worker took {one:.2} ms, bound {MAX_EVENT_US} us"),
                );
                check_bound(
                    full < MAX_FULL_LIST_MS,
                    format!("{label}: a full list took {full:.1} ms, bound {MAX_FULL_LIST_MS} ms"),
                );
                // About a ninth of the fleet is cold after these list changes; the second measurement adds failures on half
                // of all attempts.
                let cold = harness.run_calls(TIMED_CALLS / 10);
                println!(
                    "{label}_tenth_cold {cold:.2} us a call, worst event {:.0} us",
                    harness.event_quantile_us(1.0)
                );
                harness.failure_percent = 50;
                let failing = harness.run_calls(TIMED_CALLS / 10);
                println!(
                    "{label}_half_failing {failing:.2} us a call, worst event {:.0} us",
                    harness.event_quantile_us(1.0)
                );
            }
        }
    }
    println!("run_time {:.1} s", started.elapsed().as_secs_f64());
    missed.iter().for_each(|why| eprintln!("missed: {why}"));
    std::process::exit(i32::from(!missed.is_empty()));
}
