//! What all routers together send to cold workers, over many drawn fleets: inside the budget of the settings but for what
//! is put down to chance. The platform allows N + 2 x root of N + 2 calls, and under 30 calls N + 3 x root of N + 3; the
//! narrower of the two is held here for every N, on fleets from one router to 300. `SEEDS=1000 cargo test --release --test fleet cold -- --nocapture` plays as many of each size.

use super::{Fleet, MS, S};
use ochreward::Micros;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::VecDeque;

/// Routers in a fleet.
const SIZES: [usize; 7] = [1, 2, 3, 12, 20, 30, 300];
/// Budgets below and above this are allowed different excess by the platform: both have to come up.
const FEW_CALLS: f64 = 30.0;
/// Seeds of each size where `SEEDS` tells no other number.
const SEEDS: u64 = 24;
/// The settings of the fleet: what a worker may be sent is this multiple of its capacity, in this window; it starts at
/// this share of it, and is warm after this time.
const MULTIPLE: f64 = 2.0;
const WINDOW: Micros = 1_500 * MS;
const SHARE: f64 = 0.15;
const WARM: Micros = 14 * S;

/// What came of one fleet.
struct Outcome {
    /// The window that went furthest beyond its budget, in roots of the budget.
    worst: f64,
    /// A sentence on that window.
    what: String,
    /// The windows over the budget and what is put down to chance.
    over: usize,
    /// The windows whose budget is under, and over, [`FEW_CALLS`].
    few: usize,
    many: usize,
    /// The sends to the cold workers, and what the budget allowed them while they were cold.
    sent: f64,
    allowed: f64,
}

fn unit(rng: &mut Pcg32) -> f64 {
    f64::from(rng.next_u32()) / f64::from(u32::MAX)
}

fn play(routers: usize, seed: u64) -> Outcome {
    play_with(routers, seed, None)
}

/// A fleet with unequal traffic, of which up to half of the workers are replaced while the rest queue.
fn play_with(routers: usize, seed: u64, division: Option<(usize, usize, usize)>) -> Outcome {
    let mut rng = Pcg32::seed_from_u64(seed ^ (routers as u64) << 40);
    let mut fleet = Fleet::new(routers, seed);
    fleet.routers.iter_mut().for_each(|r| r.set_cold_budget_division(division));
    // Some see several times the mean, many far less.
    let weights: Vec<f64> =
        (0..routers).map(|_| (1.6 * (unit(&mut rng) + unit(&mut rng) - 1.0)).exp()).collect();
    fleet.weigh(&weights);
    let workers = 4 + (unit(&mut rng) * 9.0) as usize;
    let fresh = 1 + (unit(&mut rng) * (workers / 2) as f64) as usize;
    let names: Vec<String> = (0..workers).map(|n| format!("w{n}-{seed}")).collect();
    let new: Vec<String> = (0..fresh).map(|n| format!("new{n}-{seed}")).collect();
    let list: Vec<(&str, Option<Micros>)> = names.iter().map(|n| (n.as_str(), None)).collect();
    fleet.list(true, &list);
    // A run takes 100 ms on four cores; the fleet carries between a third and nine tenths of what it could.
    let rate = 40.0 * workers as f64 * (0.35 + 0.55 * unit(&mut rng));
    let functions = 20 + (unit(&mut rng) * 60.0) as u32;
    fleet.run(12 * S, rate, functions, |_| 100 * MS);
    let start = fleet.now;
    let told = (300.0 + 1_500.0 * unit(&mut rng)) as Micros * MS;
    fleet.now += told;
    // The replaced ones go as the new ones come; the others queue by then, and all want the new ones.
    let left = &list[fresh..];
    let starts: Vec<(&str, Option<Micros>)> = new.iter().map(|n| (n.as_str(), Some(start))).collect();
    let list = [left, &starts].concat();
    fleet.list(true, &list);
    let queue = (100.0 + 500.0 * unit(&mut rng)) as Micros * MS;
    let took = |w: &str| if w.starts_with("new") { 100 * MS } else { queue };
    // In every other fleet some of the routers start anew meanwhile, in two steps.
    let anew = if seed.is_multiple_of(2) { 0.0 } else { 0.6 * unit(&mut rng) };
    for age in [3 * S, 5 * S] {
        fleet.run(start + age, rate, functions, took);
        for router in 0..routers {
            if unit(&mut rng) < anew {
                fleet.restart(router, &list);
            }
        }
    }
    fleet.run(start + 9 * S, rate, functions, took);
    // What peers carry is the guide to what one can do.
    let capacity = rate / workers as f64;
    let budget = |t: Micros| {
        let share = SHARE + (1.0 - SHARE) * (t - start) as f64 / WARM as f64;
        MULTIPLE * capacity * share.min(1.0) * WINDOW as f64 / 1e6
    };
    let mut outcome =
        Outcome { worst: f64::MIN, what: String::new(), over: 0, few: 0, many: 0, sent: 0.0, allowed: 0.0 };
    for name in &new {
        let mut window: VecDeque<Micros> = VecDeque::new();
        for t in fleet.sent_to(name, start, Micros::MAX) {
            window.push_back(t);
            window.retain(|s| *s + WINDOW > t);
            let (count, n) = (window.len() as f64, budget(t));
            let beyond = (count - n) / n.sqrt();
            outcome.few += usize::from(n < FEW_CALLS);
            outcome.many += usize::from(n >= FEW_CALLS);
            outcome.over += usize::from(count > n + 2.0 * n.sqrt() + 2.0);
            if beyond > outcome.worst {
                let at = (t - start) / MS;
                outcome.worst = beyond;
                outcome.what = format!(
                    "{count} of {n:.1} at {at} ms, {workers} workers, {fresh} of them new, {rate:.0} a second"
                );
            }
            outcome.sent += 1.0;
        }
        let steps = (told..9 * S).step_by(10_000);
        outcome.allowed += steps.map(|age| budget(start + age) * 1e4 / WINDOW as f64).sum::<f64>();
    }
    outcome
}

#[test]
fn the_sum_of_all_sends_to_cold_workers_stays_inside_their_budget() {
    let seeds = std::env::var("SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(SEEDS);
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get() as u64);
    let mut faults = Vec::new();
    for routers in SIZES {
        let part = |first: u64| (first..seeds).step_by(threads as usize).map(move |s| (s, play(routers, s)));
        let all: Vec<(u64, Outcome)> = std::thread::scope(|scope| {
            let parts: Vec<_> =
                (0..threads).map(|n| scope.spawn(move || part(n).collect::<Vec<_>>())).collect();
            parts.into_iter().flat_map(|p| p.join().expect("a part")).collect()
        });
        let (seed, worst) =
            all.iter().max_by(|a, b| a.1.worst.total_cmp(&b.1.worst)).map(|(s, o)| (s, o)).expect("a seed");
        let over = all.iter().filter(|(_, o)| o.over > 0).count();
        let few: usize = all.iter().map(|(_, o)| o.few).sum();
        let many: usize = all.iter().map(|(_, o)| o.many).sum();
        assert!(few > 0 && many > 0, "{routers} routers: {few} windows of few calls and {many} of many");
        let used =
            all.iter().map(|(_, o)| o.sent).sum::<f64>() / all.iter().map(|(_, o)| o.allowed).sum::<f64>();
        println!(
            "{routers} routers, {seeds} seeds: {over} beyond chance; {few} windows under 30 calls, {many} over; share of the budget used {used:.2}; worst {:+.2} roots \
             (seed {seed}: {})",
            worst.worst, worst.what
        );
        if over > 0 {
            faults.push(format!(
                "{routers} routers: {over} of {seeds} seeds, worst seed {seed}: {}",
                worst.what
            ));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

#[test]
fn the_check_finds_routers_that_each_take_the_whole_budget() {
    // The fault is planted: each router holds all parts for its own.
    for routers in [20, 300] {
        let found = (0..4).filter(|seed| play_with(routers, *seed, Some((routers, 1, 0))).over > 0).count();
        assert!(found > 0, "{routers} routers");
    }
}
