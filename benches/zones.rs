//! A zone lost and back, on real processes, paired runs in one go: worth served over the loss and the return with `[zones]`, without it,
//! and by an ideal that knows the truth at once; time until all have left, and their spread; cold workers that got more than they
//! bear; time back to full use; moves in a zone that flaps; bytes. Ends non-zero if a bound is missed.

use ochreward_rig::fleet::{Fleet, Setup};
use ochreward_rig::load::Manner;
use ochreward_rig::worker::Power;
use std::time::{Duration, Instant};

const CREDITS: [f64; 3] = [1.0, 2.0, 4.0];
const WARM: Duration = Duration::from_secs(3);
const BEFORE: Duration = Duration::from_secs(3);
const LOST: Duration = Duration::from_secs(3);
const BACK: Duration = Duration::from_secs(6);
/// Of what is served at rest, the ideal loses nothing: two zones carry all.
const LEAST_WHOLE: f64 = 0.95;
const MOST_SPREAD_MS: u128 = 300;

fn setup(told: bool) -> Setup {
    Setup {
        power: Power { service: Duration::from_millis(20), lanes: 8, queue: 4_096 },
        workers: 6,
        clients: 4,
        credits: CREDITS,
        zones: 3,
        zones_told: if told {
            "[zones]\nsilent_ms = 400\nstay_ms = 500\ndwell_ms = 200\n".into()
        } else {
            String::new()
        },
        warm: WARM,
        manner: Manner { load_ms: 1, ttl_ms: 2_000, ..Manner::default() },
        strict: false,
        ..Setup::default()
    }
}

fn worth(fleet: &Fleet) -> f64 {
    let of = |n: usize| fleet.classes(n).iter().zip(CREDITS).map(|(c, w)| c[0] as f64 * w).sum::<f64>();
    (0..fleet.count()).map(of).sum()
}

struct Played {
    /// Worth a second at rest, over loss and return, and in the worst second after the first.
    rest: f64,
    whole: f64,
    worst: f64,
    /// When each had left, since the loss, in milliseconds.
    left: Vec<u128>,
    full: Option<u128>,
    knocked: u64,
    bytes: f64,
}

/// One zone dies, silently or not, and comes back cold.
fn play(told: bool, silent: bool, seed: u64) -> Played {
    let mut fleet = Fleet::made(seed, 6, setup(told));
    std::thread::sleep(BEFORE);
    let (from, began) = (worth(&fleet), Instant::now());
    std::thread::sleep(BEFORE);
    let rest = (worth(&fleet) - from) / began.elapsed().as_secs_f64();
    let bytes = fleet.counter(0, "peers_sent_bytes") as f64;
    let workers = fleet.workers_of(2);
    match silent {
        true => workers.iter().for_each(|w| fleet.workers[*w].silent(true)),
        false => workers.iter().for_each(|w| fleet.kill_worker(*w)),
    }
    let (lost, start) = (Instant::now(), worth(&fleet));
    let (mut left, mut full, mut returned) = (vec![None; 6], None, None::<Instant>);
    let (mut seconds, mut mark) = (Vec::new(), (Instant::now(), start));
    while lost.elapsed() < LOST + BACK {
        if returned.is_none() && lost.elapsed() >= LOST {
            if silent {
                workers.iter().for_each(|w| fleet.kill_worker(*w));
                workers.iter().for_each(|w| fleet.workers[*w].silent(false));
            }
            workers.iter().for_each(|w| fleet.workers[*w].restart_cold(WARM));
            returned = Some(Instant::now());
        }
        if told {
            let steps: Vec<Option<u64>> = (0..6).map(|n| fleet.step(n, 2).map(|s| s.0)).collect();
            for (at, step) in left.iter_mut().zip(&steps) {
                if *step == Some(0) {
                    at.get_or_insert(lost.elapsed().as_millis());
                }
            }
            if let Some(at) = returned.filter(|_| full.is_none() && steps.iter().all(|s| *s == Some(4))) {
                full = Some(at.elapsed().as_millis());
            }
        }
        if mark.0.elapsed() >= Duration::from_secs(1) {
            let now = worth(&fleet);
            seconds.push((now - mark.1) / mark.0.elapsed().as_secs_f64());
            mark = (Instant::now(), now);
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    let whole = (worth(&fleet) - start) / lost.elapsed().as_secs_f64();
    let spoken = (fleet.counter(0, "peers_sent_bytes") as f64 - bytes) / lost.elapsed().as_secs_f64();
    Played {
        rest,
        whole,
        worst: seconds.iter().skip(1).copied().fold(f64::INFINITY, f64::min),
        left: left.into_iter().flatten().collect(),
        full,
        knocked: fleet.workers.iter().map(|w| w.knocked_over()).sum(),
        bytes: spoken,
    }
}

fn main() {
    let mut missed = Vec::new();
    for (what, silent, seed) in [("dead", false, 81), ("silent", true, 83)] {
        let (without, with) = (play(false, silent, seed), play(true, silent, seed + 1));
        let whole = with.whole / with.rest;
        println!("{what}_worth_of_ideal_without {:.3} ratio", without.whole / without.rest);
        println!("{what}_worth_of_ideal_with {whole:.3} ratio");
        println!("{what}_worst_second_without {:.3} ratio", without.worst / without.rest);
        println!("{what}_worst_second_with {:.3} ratio", with.worst / with.rest);
        let mut left = with.left.clone();
        left.sort_unstable();
        let (first, last) = (left.first().copied().unwrap_or(0), left.last().copied().unwrap_or(0));
        println!("{what}_left_median {} ms", left.get(left.len() / 2).copied().unwrap_or(0));
        println!("{what}_left_last {last} ms");
        println!("{what}_left_spread {} ms", last - first);
        let full = with.full.map_or("never".to_string(), |ms| ms.to_string());
        println!("{what}_back_to_full_use {full} ms");
        println!("{what}_overfilled_without {} requests", without.knocked);
        println!("{what}_overfilled_with {} requests", with.knocked);
        println!("{what}_bytes_of_a_member_without {:.0} a second", without.bytes);
        println!("{what}_bytes_of_a_member_with {:.0} a second", with.bytes);
        if with.left.len() < 6 {
            missed.push(format!("{what}: {} of 6 have left", with.left.len()));
        }
        if last - first > MOST_SPREAD_MS {
            missed.push(format!("{what}: spread {} ms, {MOST_SPREAD_MS} at the most", last - first));
        }
        if whole < LEAST_WHOLE {
            missed.push(format!("{what}: {whole:.3} of the ideal, {LEAST_WHOLE} at the least"));
        }
        if with.knocked > 0 {
            missed.push(format!("{what}: cold workers got more than they bear {} times", with.knocked));
        }
        if with.full.is_none() {
            missed.push(format!("{what}: not back to full use {BACK:?} after the return"));
        }
    }
    missed.iter().for_each(|why| eprintln!("missed: {why}"));
    std::process::exit(i32::from(!missed.is_empty()));
}
