//! The combined sends of all routers to cold workers, over many random fleets of one to 300 routers, stay within the budget
//! of the settings plus the platform's allowance for chance: N + 2 x root of N + 2 calls, or N + 3 x root of N + 3 under 30
//! calls. The narrower of the two is checked for every N.
//! `SEEDS=1000 cargo test --release --test fleet cold -- --nocapture` runs 1,000 fleets of each size.

use super::{MS, S, Simulation};
use ochreward::{BudgetDivision, Micros};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::VecDeque;

/// Numbers of routers in a fleet.
const FLEET_SIZES: [usize; 7] = [1, 2, 3, 12, 20, 30, 300];
/// The platform allows different excess for budgets below and above this: both must occur.
const FEW_CALLS: f64 = 30.0;
/// Seeds per fleet size unless the environment variable `SEEDS` sets another number.
const DEFAULT_SEEDS: u64 = 24;
/// The settings of the fleet. A worker may be sent this multiple of its capacity in each window; a cold one starts at this
/// share of it and is warm after this time.
const BUDGET_MULTIPLE: f64 = 2.0;
const BUDGET_WINDOW: Micros = 1_500 * MS;
const INITIAL_SHARE: f64 = 0.15;
const WARM_AFTER: Micros = 14 * S;

/// The result of one fleet.
struct Outcome {
    /// The excess of the worst window over its budget, in square roots of the budget.
    worst: f64,
    /// The description of that window.
    what: String,
    /// The number of windows over the budget plus the allowance for chance.
    over: usize,
    /// The numbers of windows with a budget under, and of at least, [`FEW_CALLS`].
    few: usize,
    many: usize,
    /// The sends to the cold workers, and those that their budget allowed while they were cold.
    sent: f64,
    allowed: f64,
}

fn draw_unit(rng: &mut Pcg32) -> f64 {
    f64::from(rng.next_u32()) / f64::from(u32::MAX)
}

fn run_fleet(routers: usize, seed: u64) -> Outcome {
    run_fleet_with_division(routers, seed, None)
}

/// Runs a fleet with unequal traffic, in which up to half of the workers are replaced while the rest queue.
fn run_fleet_with_division(routers: usize, seed: u64, division: Option<BudgetDivision>) -> Outcome {
    let mut rng = Pcg32::seed_from_u64(seed ^ (routers as u64) << 40);
    let mut fleet = Simulation::new(routers, seed);
    fleet.routers.iter_mut().for_each(|r| r.set_cold_budget_division(division));
    // Some routers receive several times the mean, many far less.
    let weights: Vec<f64> =
        (0..routers).map(|_| (1.6 * (draw_unit(&mut rng) + draw_unit(&mut rng) - 1.0)).exp()).collect();
    fleet.set_router_weights(&weights);
    let workers = 4 + (draw_unit(&mut rng) * 9.0) as usize;
    let new_count = 1 + (draw_unit(&mut rng) * (workers / 2) as f64) as usize;
    let names: Vec<String> = (0..workers).map(|n| format!("w{n}-{seed}")).collect();
    let new: Vec<String> = (0..new_count).map(|n| format!("new{n}-{seed}")).collect();
    let list: Vec<(&str, Option<Micros>)> = names.iter().map(|n| (n.as_str(), None)).collect();
    fleet.set_workers(true, &list);
    // A run takes 100 ms on four cores; the fleet is loaded to between a third and nine tenths of its capacity.
    let rate = 40.0 * workers as f64 * (0.35 + 0.55 * draw_unit(&mut rng));
    let functions = 20 + (draw_unit(&mut rng) * 60.0) as u32;
    fleet.run(12 * S, rate, functions, |_| 100 * MS);
    let start = fleet.now;
    let listed_after = (300.0 + 1_500.0 * draw_unit(&mut rng)) as Micros * MS;
    fleet.now += listed_after;
    // The replaced workers leave as the new ones come. The others queue by then, so that all routers prefer the new ones.
    let remaining = &list[new_count..];
    let starts: Vec<(&str, Option<Micros>)> = new.iter().map(|n| (n.as_str(), Some(start))).collect();
    let list = [remaining, &starts].concat();
    fleet.set_workers(true, &list);
    let queue = (100.0 + 500.0 * draw_unit(&mut rng)) as Micros * MS;
    let run_time = |w: &str| if w.starts_with("new") { 100 * MS } else { queue };
    // In every other fleet some of the routers restart meanwhile, in two steps.
    let restart_probability = if seed.is_multiple_of(2) { 0.0 } else { 0.6 * draw_unit(&mut rng) };
    for age in [3 * S, 5 * S] {
        fleet.run(start + age, rate, functions, run_time);
        for router in 0..routers {
            if draw_unit(&mut rng) < restart_probability {
                fleet.restart(router, &list);
            }
        }
    }
    fleet.run(start + 9 * S, rate, functions, run_time);
    // The mean rate per worker stands for a worker's capacity.
    let capacity = rate / workers as f64;
    let budget = |t: Micros| {
        let share = INITIAL_SHARE + (1.0 - INITIAL_SHARE) * (t - start) as f64 / WARM_AFTER as f64;
        BUDGET_MULTIPLE * capacity * share.min(1.0) * BUDGET_WINDOW as f64 / 1e6
    };
    let mut outcome =
        Outcome { worst: f64::MIN, what: String::new(), over: 0, few: 0, many: 0, sent: 0.0, allowed: 0.0 };
    for name in &new {
        let mut window: VecDeque<Micros> = VecDeque::new();
        for t in fleet.sent_to(name, start, Micros::MAX) {
            window.push_back(t);
            window.retain(|s| *s + BUDGET_WINDOW > t);
            let (count, n) = (window.len() as f64, budget(t));
            let excess = (count - n) / n.sqrt();
            outcome.few += usize::from(n < FEW_CALLS);
            outcome.many += usize::from(n >= FEW_CALLS);
            outcome.over += usize::from(count > n + 2.0 * n.sqrt() + 2.0);
            if excess > outcome.worst {
                let at = (t - start) / MS;
                outcome.worst = excess;
                outcome.what = format!(
                    "{count} sends, budget {n:.1} at {at} ms, {workers} workers, {new_count} of them new, {rate:.0} requests a second"
                );
            }
            outcome.sent += 1.0;
        }
        let steps = (listed_after..9 * S).step_by(10_000);
        outcome.allowed += steps.map(|age| budget(start + age) * 1e4 / BUDGET_WINDOW as f64).sum::<f64>();
    }
    outcome
}

#[test]
fn all_routers_sends_to_cold_workers_stay_within_their_budget() {
    let seeds = std::env::var("SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(DEFAULT_SEEDS);
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get() as u64);
    let mut faults = Vec::new();
    for routers in FLEET_SIZES {
        let part =
            |first: u64| (first..seeds).step_by(threads as usize).map(move |s| (s, run_fleet(routers, s)));
        let all: Vec<(u64, Outcome)> = std::thread::scope(|scope| {
            let parts: Vec<_> =
                (0..threads).map(|n| scope.spawn(move || part(n).collect::<Vec<_>>())).collect();
            parts.into_iter().flat_map(|p| p.join().expect("a thread that does not panic")).collect()
        });
        let (seed, worst) =
            all.iter().max_by(|a, b| a.1.worst.total_cmp(&b.1.worst)).map(|(s, o)| (s, o)).expect("a seed");
        let over = all.iter().filter(|(_, o)| o.over > 0).count();
        let few: usize = all.iter().map(|(_, o)| o.few).sum();
        let many: usize = all.iter().map(|(_, o)| o.many).sum();
        assert!(few > 0 && many > 0, "{routers} routers: {few} windows with few calls and {many} with many");
        let used =
            all.iter().map(|(_, o)| o.sent).sum::<f64>() / all.iter().map(|(_, o)| o.allowed).sum::<f64>();
        println!(
            "{routers} routers, {seeds} seeds: {over} excess chance; {few} windows under 30 calls, {many} over; share of the budget used {used:.2}; worst {:+.2} roots \
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
fn routers_that_each_take_the_whole_budget_are_detected() {
    // Injected fault: each router takes the whole budget for its own part.
    for routers in [20, 300] {
        let found = (0..4)
            .filter(|seed| {
                run_fleet_with_division(
                    routers,
                    *seed,
                    Some(BudgetDivision { alive: routers, parts: 1, part_index: 0 }),
                )
                .over
                    > 0
            })
            .count();
        assert!(found > 0, "{routers} routers");
    }
}
