//! What a decision costs by the size of the fleet: the search by index against a look at every worker, in one run.
//!
//! Each call is a request and its outcome, at 169 calls a second of simulated time (2.7 million over 16,000 dispatchers); only
//! the module's own time counts. Functions are asked for equally rarely (each time the one asked for longest ago) or skewed
//! (the n-th by 1/n). Prints `figure value unit`; ends non-zero on a missed bound. `cargo bench --bench routing`, under 50 s.

use hdrhistogram::Histogram;
use ochreward::*;
use ochreward_rig::process;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::time::Instant;

const S: Micros = 1_000_000;
/// Time between two calls of one dispatcher.
const GAP: Micros = S / 169;
/// How long a run takes.
const RUN: Micros = 120_000;
/// Bounds, as the issue has them.
const MOST_RATIO: f64 = 3.0;
const MOST_US_A_CALL: f64 = 154.0;
const LEAST_GAIN: f64 = 100.0;
const MOST_TURN_US: f64 = 1_000.0;
const MOST_LIST_MS: f64 = 50.0;
const MOST_MB: f64 = 200.0;
/// Workers and functions of each size.
const SIZES: [(usize, usize); 5] =
    [(12, 1_000), (100, 1_000), (1_000, 1_000), (5_000, 60_000), (15_600, 560_000)];
/// Calls that are timed, by index; and by a look at every worker, for each size.
const CALLS: usize = 12_000;
const SCANS: [usize; 5] = [3_000, 2_000, 600, 200, 100];

fn settings(workers: usize) -> Settings {
    let config = ochreward::config::Config::read(include_str!("../deploy/example.json"));
    let mut settings = config.expect("the shipped example reads").parts.settings.module;
    // As many dispatchers as the target has for so many workers: 173 calls a second at each.
    settings.dispatcher_count = (workers * 16_000 / 15_600).max(1);
    settings
}

fn listing(n: usize, standing: WorkerStatus, ready_at: Option<Micros>) -> WorkerEntry {
    WorkerEntry { worker: format!("s-{n:05}").into(), zone: n % 9, kind: 0, cell: n % 4, standing, ready_at }
}

/// How functions are asked for.
#[derive(Clone, Copy, PartialEq)]
enum Traffic {
    Rare,
    Skewed,
}

/// One dispatcher's module, its fleet and its clients.
struct Bed {
    router: Router,
    rng: Pcg32,
    now: Micros,
    next: RequestId,
    functions: usize,
    traffic: Traffic,
    open: VecDeque<(RequestId, Micros)>,
    out: Vec<Action>,
    /// Single events, in nanoseconds; and calls, with their outcomes.
    events: Histogram<u64>,
    spent: u64,
    calls: usize,
    /// Of so many outcomes in a hundred no connection came up.
    failing: u32,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000_000, 3).expect("bounds")
}

impl Bed {
    fn new(workers: usize, functions: usize, traffic: Traffic) -> Bed {
        let mut bed = Bed {
            router: Router::new(settings(workers), 7, 0),
            rng: Pcg32::seed_from_u64(11),
            now: 100 * S,
            next: 1,
            functions,
            traffic,
            open: VecDeque::new(),
            out: Vec::new(),
            events: histogram(),
            spent: 0,
            calls: 0,
            failing: 0,
        };
        bed.router.set_max_function_bytes(ochreward::control::DEFAULT_FUNCTION_BYTES);
        let entries = (0..workers).map(|n| listing(n, WorkerStatus::Healthy, None)).collect();
        bed.tell(&Event::Workers { complete: true, entries });
        bed
    }

    /// Tells the module; how long it took, in nanoseconds.
    fn tell(&mut self, event: &Event) -> u64 {
        self.out.clear();
        let began = Instant::now();
        self.router.handle(self.now, event, &mut self.out);
        let took = began.elapsed().as_nanos() as u64;
        self.events.saturating_record(took.max(1));
        self.spent += took;
        took
    }

    fn function(&mut self) -> usize {
        match self.traffic {
            // Each in its turn, so that it is always the one used longest ago; a step that is prime to their number.
            Traffic::Rare => (self.next as usize * 7_919) % self.functions,
            Traffic::Skewed => {
                let draw = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
                ((self.functions as f64).powf(draw) as usize).saturating_sub(1).min(self.functions - 1)
            }
        }
    }

    fn call(&mut self) {
        self.now += GAP;
        while let Some((id, _)) = self.open.pop_front_if(|(_, due)| *due <= self.now) {
            let fails = self.rng.next_u32() % 100 < self.failing;
            let outcome = if fails { Outcome::ConnectFailed } else { Outcome::Ok };
            let found = if fails { ReplicaStatus::NotReported } else { ReplicaStatus::Warm };
            let latency = RUN + Micros::from(self.rng.next_u32() % 40_000);
            let crowd = Some(1);
            let event = Event::AttemptEnded {
                id,
                attempt: 0,
                is_final: true,
                outcome,
                found,
                concurrent_requests: crowd,
                latency,
                report: vec![],
            };
            self.tell(&event);
        }
        let function = format!("{:016x}", self.function()).as_str().into();
        let id = self.next;
        self.next += 1;
        let event = Event::Request {
            id,
            class: 0,
            tenant: 0,
            function,
            replica_concurrency: 2.0,
            load_time: Some(600_000),
            work_hint: None,
            is_retry: false,
            time_left: 3 * S,
        };
        self.tell(&event);
        if self.out.iter().any(|a| matches!(a, Action::Send { .. })) {
            self.open.push_back((id, self.now + RUN));
        }
        self.calls += 1;
    }

    /// So many calls; the mean time of one with its outcome, in microseconds.
    fn calls(&mut self, count: usize) -> f64 {
        (self.events, self.spent, self.calls) = (histogram(), 0, 0);
        (0..count).for_each(|_| self.call());
        self.spent as f64 / 1e3 / count as f64
    }

    fn event_us(&self, quantile: f64) -> f64 {
        self.events.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// Resident memory of this process, in bytes.
fn resident() -> f64 {
    process::resident(std::process::id()) as f64
}

/// The time of a change of one worker, of a zone, and of a whole list, in milliseconds; the worst of some.
fn lists(bed: &mut Bed, workers: usize) -> [f64; 3] {
    let mut worst = [0_u64; 3];
    for n in 0..300 {
        bed.now += 10_000;
        let (standing, ready_at) = match n % 3 {
            0 => (WorkerStatus::Draining, None),
            1 => (WorkerStatus::Removed, None),
            _ => (WorkerStatus::Healthy, Some(bed.now)),
        };
        // Now and then one that was not there before.
        let which = if n % 30 == 29 { workers + n } else { n / 3 % workers };
        let entries = vec![listing(which, standing, ready_at)];
        worst[0] = worst[0].max(bed.tell(&Event::Workers { complete: false, entries }));
    }
    for standing in [WorkerStatus::Removed, WorkerStatus::Healthy] {
        bed.now += S;
        let ready_at = (standing == WorkerStatus::Healthy).then_some(bed.now);
        let entries = (0..workers).filter(|n| n % 9 == 3).map(|n| listing(n, standing, ready_at)).collect();
        worst[1] = worst[1].max(bed.tell(&Event::Workers { complete: false, entries }));
    }
    for first in [0, workers / 10] {
        bed.now += S;
        let entries = (first..first + workers).map(|n| listing(n, WorkerStatus::Healthy, None)).collect();
        worst[2] = worst[2].max(bed.tell(&Event::Workers { complete: true, entries }));
    }
    worst.map(|ns| ns as f64 / 1e6)
}

/// Bytes that the module holds for a worker of which nothing is known, its points on the ring among them.
fn bytes_a_worker() -> f64 {
    const WORKERS: usize = 15_600;
    let before = resident();
    let bed = Bed::new(WORKERS, 1, Traffic::Rare);
    let bytes = (resident() - before) / WORKERS as f64;
    assert_eq!(bed.router.sizes().workers, WORKERS);
    bytes
}

/// Bytes that the module holds for a function at a worker: so many of each, each pair used once.
fn bytes_a_pair() -> f64 {
    const WORKERS: usize = 200;
    const FUNCTIONS: usize = 500;
    let mut bed = Bed::new(WORKERS, FUNCTIONS, Traffic::Rare);
    let mut before = 0.0;
    for worker in 0..WORKERS {
        let entries = (0..WORKERS).map(|n| {
            listing(n, if n == worker { WorkerStatus::Healthy } else { WorkerStatus::Draining }, None)
        });
        bed.tell(&Event::Workers { complete: true, entries: entries.collect() });
        for _ in 0..FUNCTIONS {
            // All within one keep-alive.
            bed.now -= GAP;
            bed.call();
            if let Some((id, _)) = bed.open.pop_back() {
                let (outcome, found, latency, report) = (Outcome::Ok, ReplicaStatus::Warm, RUN, vec![]);
                bed.tell(&Event::AttemptEnded {
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
            bed.now += 50;
        }
        if worker == 0 {
            before = resident();
        }
    }
    (resident() - before) / (bed.router.sizes().replicas - FUNCTIONS) as f64
}

fn main() {
    let began = Instant::now();
    let mut missed = Vec::new();
    let mut bound = |holds: bool, what: String| {
        if !holds {
            missed.push(what);
        }
    };
    println!("bytes_a_worker {:.0} bytes", bytes_a_worker());
    println!("bytes_a_pair {:.0} bytes", bytes_a_pair());
    for traffic in [Traffic::Rare, Traffic::Skewed] {
        let kind = if traffic == Traffic::Rare { "rare" } else { "skewed" };
        let mut smallest = 0.0;
        for ((workers, functions), scans) in SIZES.into_iter().zip(SCANS) {
            let empty = resident();
            let mut bed = Bed::new(workers, functions, traffic);
            let listed = resident();
            // All functions are seen once, and those that matter often enough to be known.
            bed.calls(if traffic == Traffic::Rare { functions.max(5_000) } else { CALLS });
            let seen = resident();
            let mean = bed.calls(CALLS);
            let label = format!("{kind}_{workers}_workers_{functions}_functions");
            println!("{label}_mean {mean:.2} us a call");
            println!("{label}_event_p99 {:.2} us", bed.event_us(0.99));
            println!("{label}_event_p9999 {:.2} us", bed.event_us(0.9999));
            println!("{label}_event_worst {:.2} us", bed.event_us(1.0));
            println!("{label}_memory {:.1} MB", (seen - empty) / 1e6);
            let worst = bed.event_us(1.0);
            let sizes = bed.router.sizes();
            if workers == 12 {
                smallest = mean;
            }
            if workers == 15_600 {
                println!("{label}_over_12_workers {:.2} ratio", mean / smallest);
                println!("{label}_of_a_core_at_169 {:.3} %", mean * 169.0 / 1e4);
                let known = sizes.functions + sizes.dormant_functions;
                println!("{label}_functions_known {known} functions");
                println!("{label}_bytes_a_function {:.0} bytes", (seen - listed) / known as f64);
                println!("{label}_counted {:.1} MB", sizes.function_bytes as f64 / 1e6);
                bound(
                    mean <= MOST_RATIO * smallest,
                    format!("{label}: {:.2} times 12 workers", mean / smallest),
                );
                bound(mean < MOST_US_A_CALL, format!("{label}: {mean:.1} us a call"));
                bound(worst < MOST_TURN_US, format!("{label}: an event took {worst:.0} us"));
                bound(seen - empty < MOST_MB * 1e6, format!("{label}: {:.0} MB", (seen - empty) / 1e6));
                if traffic == Traffic::Rare {
                    bound(known == functions, format!("{label}: {known} functions are known"));
                }
            }
            bed.router.set_exhaustive_search(true);
            let scanned = bed.calls(scans);
            println!("{label}_scan_mean {scanned:.2} us a call");
            println!("{label}_scan_over_search {:.1} ratio", scanned / mean);
            if workers == 15_600 {
                bound(
                    scanned >= LEAST_GAIN * mean,
                    format!("{label}: only {:.1} times cheaper than the scan", scanned / mean),
                );
            }
            bed.router.set_exhaustive_search(false);
            if workers == 15_600 {
                let [one, zone, whole] = lists(&mut bed, workers);
                println!("{label}_list_one_changed {one:.3} ms");
                println!("{label}_list_zone_changed {zone:.3} ms");
                println!("{label}_list_whole {whole:.3} ms");
                bound(one * 1e3 < MOST_TURN_US, format!("{label}: a change of one worker took {one:.2} ms"));
                bound(whole < MOST_LIST_MS, format!("{label}: a whole list took {whole:.1} ms"));
                // A ninth of the fleet is cold now; and then half of all attempts fail.
                let cold = bed.calls(CALLS / 10);
                println!("{label}_tenth_cold {cold:.2} us a call, worst event {:.0} us", bed.event_us(1.0));
                bed.failing = 50;
                let failing = bed.calls(CALLS / 10);
                println!(
                    "{label}_half_failing {failing:.2} us a call, worst event {:.0} us",
                    bed.event_us(1.0)
                );
            }
        }
    }
    println!("run_time {:.1} s", began.elapsed().as_secs_f64());
    missed.iter().for_each(|why| eprintln!("missed: {why}"));
    std::process::exit(i32::from(!missed.is_empty()));
}
