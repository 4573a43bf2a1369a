//! The cost of a new list of executors: the check of what is believed, and the module's taking of it, each with every
//! entry changed. Prints `figure value unit`; ends non-zero if either costs more than about linearly in the list's
//! length (per entry, 100 times the entries may cost at most 4 times as much), or if a list of 36 (the most that the
//! standing fleet days bring) takes 1 ms or more in both together.

use ochreward::discovery::{Executor, ExecutorState, ListValidator, Verdict};
use ochreward::*;
use std::net::SocketAddr;
use std::time::Instant;

const S: Micros = 1_000_000;

/// The module's settings of the shipped example, as the deployment has them.
fn settings() -> Settings {
    let config = ochreward::config::Config::read(include_str!("../deploy/example.json"));
    config.expect("the shipped example reads").parts.settings.module
}

/// A list of `size` executors whose ids all differ from those of round `round - 1`.
fn executors(size: usize, round: usize) -> Vec<Executor> {
    let one = |n: usize| Executor {
        id: format!("s-{round:04}-{n:05}").into(),
        address: SocketAddr::from(([10, 1, (n / 250) as u8, (n % 250) as u8], 8080)),
        zone: ["east", "west", "south"][n % 3].into(),
        kind: "std".into(),
        cell: n % 4,
        state: ExecutorState::Ready,
        started_ms: 0,
    };
    (0..size).rev().map(one).collect()
}

/// Microseconds a list of `size` takes: in the checker, and in the module.
fn costs(size: usize, rounds: usize) -> (f64, f64) {
    let (mut checker, mut router) = (ListValidator::default(), Router::new(settings(), 7, 0));
    let (mut checked, mut taken, mut out) = (0.0, 0.0, vec![]);
    for round in 1..=rounds {
        let list = executors(size, round);
        let began = Instant::now();
        let Verdict::Accept { executors, .. } = checker.validate(round as u64 * S, list, size) else {
            panic!("a good list refused");
        };
        checked += began.elapsed().as_secs_f64();
        let entry = |(n, e): (usize, &Executor)| WorkerEntry {
            worker: e.id.clone(),
            zone: n % 3,
            kind: 0,
            cell: e.cell,
            standing: WorkerStatus::Healthy,
            ready_at: None,
        };
        let entries = executors.iter().enumerate().map(entry).collect();
        let event = Event::Workers { complete: true, entries };
        out.clear();
        let began = Instant::now();
        router.handle(round as u64 * S, &event, &mut out);
        taken += began.elapsed().as_secs_f64();
    }
    let each = |total: f64| total * 1e6 / rounds as f64;
    (each(checked), each(taken))
}

fn main() {
    let (small, large) = (36, 3_600);
    let (check_small, take_small) = costs(small, 2_000);
    let (check_large, take_large) = costs(large, 20);
    let per_entry = |large: f64, small_cost: f64| (large / 3_600.0) / (small_cost / 36.0);
    let (check_ratio, take_ratio) = (per_entry(check_large, check_small), per_entry(take_large, take_small));
    println!("check_36 {check_small:.2} us");
    println!("check_3600 {check_large:.1} us");
    println!("module_list_36 {take_small:.2} us");
    println!("module_list_3600 {take_large:.1} us");
    println!("check_per_entry_ratio {check_ratio:.2} x");
    println!("module_per_entry_ratio {take_ratio:.2} x");
    let mut missed = vec![];
    if check_ratio >= 4.0 || take_ratio >= 4.0 {
        missed.push("a list costs more than about linearly in its length");
    }
    if check_small + take_small >= 1_000.0 {
        missed.push("a list of 36 takes 1 ms or more");
    }
    for why in &missed {
        eprintln!("bound missed: {why}");
    }
    std::process::exit(i32::from(!missed.is_empty()));
}
