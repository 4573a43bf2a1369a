//! Measures the loss and return of a zone on real processes, in paired runs: the value served (requests weighted by the
//! credit of their class) over loss and return with and without `[zones]`, against an ideal that learns of the loss at
//! once; the time until all dispatchers have left the zone, and the spread of these times; overloads of cold workers; the
//! time until the zone is fully used again; and the bytes that members send. Exits non-zero if a bound is missed.

use ochreward_rig::fleet::{Fleet, Setup};
use ochreward_rig::load::Manner;
use ochreward_rig::worker::Power;
use std::time::{Duration, Instant};

const CREDITS: [f64; 3] = [1.0, 2.0, 4.0];
const COLD_START: Duration = Duration::from_secs(3);
const BASELINE: Duration = Duration::from_secs(3);
const OUTAGE: Duration = Duration::from_secs(3);
const RECOVERY: Duration = Duration::from_secs(6);
/// Lowest value served over loss and return, as a share of that at rest. The ideal loses nothing, as two zones can carry
/// the whole load.
const MIN_VALUE_RATIO: f64 = 0.95;
const MAX_SPREAD_MS: u128 = 300;

/// Returns the set-up of the fleet, with or without `[zones]` in the operator's files.
fn setup(with_zones: bool) -> Setup {
    Setup {
        power: Power { service: Duration::from_millis(20), lanes: 8, queue: 4_096 },
        workers: 6,
        clients: 4,
        credits: CREDITS,
        zones: 3,
        zones_told: if with_zones {
            "[zones]\nsilent_ms = 400\nstay_ms = 500\ndwell_ms = 200\n".into()
        } else {
            String::new()
        },
        warm: COLD_START,
        manner: Manner { load_ms: 1, ttl_ms: 2_000, ..Manner::default() },
        strict: false,
        ..Setup::default()
    }
}

/// Returns the value served so far.
fn served_value(fleet: &Fleet) -> f64 {
    let of = |n: usize| fleet.classes(n).iter().zip(CREDITS).map(|(c, w)| c[0] as f64 * w).sum::<f64>();
    (0..fleet.count()).map(of).sum()
}

struct Outcome {
    /// Value per second before the loss.
    baseline_value: f64,
    /// Value per second over loss and return.
    value: f64,
    /// Value per second in the worst second after the first one of the loss.
    worst_second: f64,
    /// Milliseconds from the loss until each dispatcher had left the zone.
    left_ms: Vec<u128>,
    /// Milliseconds from the return until all dispatchers use the zone fully again.
    full_use_ms: Option<u128>,
    /// How often cold workers were overloaded.
    overloads: u64,
    /// Bytes per second that one member sends to its peers.
    bytes_per_s: f64,
}

/// Runs one loss: a zone fails, either by its workers' death or by their silence, and comes back cold.
fn run_outage(with_zones: bool, silent: bool, seed: u64) -> Outcome {
    let mut fleet = Fleet::made(seed, 6, setup(with_zones));
    std::thread::sleep(BASELINE);
    let (from, started) = (served_value(&fleet), Instant::now());
    std::thread::sleep(BASELINE);
    let baseline_value = (served_value(&fleet) - from) / started.elapsed().as_secs_f64();
    let bytes_before = fleet.counter(0, "peers_sent_bytes") as f64;
    let workers = fleet.workers_of(2);
    match silent {
        true => workers.iter().for_each(|w| fleet.workers[*w].silent(true)),
        false => workers.iter().for_each(|w| fleet.kill_worker(*w)),
    }
    let (lost_at, value_at_loss) = (Instant::now(), served_value(&fleet));
    let (mut left_ms, mut full_use_ms, mut returned_at) = (vec![None; 6], None, None::<Instant>);
    let (mut value_per_second, mut second_start) = (Vec::new(), (Instant::now(), value_at_loss));
    while lost_at.elapsed() < OUTAGE + RECOVERY {
        if returned_at.is_none() && lost_at.elapsed() >= OUTAGE {
            if silent {
                workers.iter().for_each(|w| fleet.kill_worker(*w));
                workers.iter().for_each(|w| fleet.workers[*w].silent(false));
            }
            workers.iter().for_each(|w| fleet.workers[*w].restart_cold(COLD_START));
            returned_at = Some(Instant::now());
        }
        if with_zones {
            let steps: Vec<Option<u64>> = (0..6).map(|n| fleet.step(n, 2).map(|s| s.0)).collect();
            for (at, step) in left_ms.iter_mut().zip(&steps) {
                if *step == Some(0) {
                    at.get_or_insert(lost_at.elapsed().as_millis());
                }
            }
            if let Some(at) =
                returned_at.filter(|_| full_use_ms.is_none() && steps.iter().all(|s| *s == Some(4)))
            {
                full_use_ms = Some(at.elapsed().as_millis());
            }
        }
        if second_start.0.elapsed() >= Duration::from_secs(1) {
            let now = served_value(&fleet);
            value_per_second.push((now - second_start.1) / second_start.0.elapsed().as_secs_f64());
            second_start = (Instant::now(), now);
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    let value = (served_value(&fleet) - value_at_loss) / lost_at.elapsed().as_secs_f64();
    let bytes_per_s =
        (fleet.counter(0, "peers_sent_bytes") as f64 - bytes_before) / lost_at.elapsed().as_secs_f64();
    Outcome {
        baseline_value,
        value,
        worst_second: value_per_second.iter().skip(1).copied().fold(f64::INFINITY, f64::min),
        left_ms: left_ms.into_iter().flatten().collect(),
        full_use_ms,
        overloads: fleet.workers.iter().map(|w| w.knocked_over()).sum(),
        bytes_per_s,
    }
}

fn main() {
    let mut missed = Vec::new();
    for (what, silent, seed) in [("dead", false, 81), ("silent", true, 83)] {
        let (without, with) = (run_outage(false, silent, seed), run_outage(true, silent, seed + 1));
        let value = with.value / with.baseline_value;
        println!("{what}_worth_of_ideal_without {:.3} ratio", without.value / without.baseline_value);
        println!("{what}_worth_of_ideal_with {value:.3} ratio");
        println!("{what}_worst_second_without {:.3} ratio", without.worst_second / without.baseline_value);
        println!("{what}_worst_second_with {:.3} ratio", with.worst_second / with.baseline_value);
        let mut left_ms = with.left_ms.clone();
        left_ms.sort_unstable();
        let (first, last) = (left_ms.first().copied().unwrap_or(0), left_ms.last().copied().unwrap_or(0));
        println!("{what}_left_median {} ms", left_ms.get(left_ms.len() / 2).copied().unwrap_or(0));
        println!("{what}_left_last {last} ms");
        println!("{what}_left_spread {} ms", last - first);
        let full_use_ms = with.full_use_ms.map_or("never".to_string(), |ms| ms.to_string());
        println!("{what}_back_to_full_use {full_use_ms} ms");
        println!("{what}_overfilled_without {} requests", without.overloads);
        println!("{what}_overfilled_with {} requests", with.overloads);
        println!("{what}_bytes_of_a_member_without {:.0} a second", without.bytes_per_s);
        println!("{what}_bytes_of_a_member_with {:.0} a second", with.bytes_per_s);
        if with.left_ms.len() < 6 {
            missed.push(format!("{what}: only {} of 6 dispatchers left the zone", with.left_ms.len()));
        }
        if last - first > MAX_SPREAD_MS {
            missed.push(format!(
                "{what}: dispatchers left over a span of {} ms, bound {MAX_SPREAD_MS} at the most",
                last - first
            ));
        }
        if value < MIN_VALUE_RATIO {
            missed
                .push(format!("{what}: {value:.3} of the ideal value, bound {MIN_VALUE_RATIO} at the least"));
        }
        if with.overloads > 0 {
            missed.push(format!("{what}: cold workers were overloaded {} times", with.overloads));
        }
        if with.full_use_ms.is_none() {
            missed.push(format!("{what}: zone not fully used again {RECOVERY:?} after its return"));
        }
    }
    missed.iter().for_each(|why| eprintln!("missed: {why}"));
    std::process::exit(i32::from(!missed.is_empty()));
}
