//! Measures the cost of a new list of executors: its validation and its application in the decision module, each with
//! every entry changed. Prints `figure value unit`; exits non-zero if either grows clearly faster than linearly with the
//! length of the list (with 100 times the entries, an entry may cost at most 4 times as much), or if validation and
//! application of a list of 36, the longest that the standing fleet workloads produce, take 1 ms or more together.

use ochreward::discovery::{Executor, ExecutorState, ListValidator, Verdict};
use ochreward::*;
use std::net::SocketAddr;
use std::time::Instant;

const SECOND: Micros = 1_000_000;

/// Returns the decision module's settings from the shipped example configuration.
fn settings() -> Settings {
    let config = ochreward::config::Config::read(include_str!("../deploy/example.json"));
    config.expect("the shipped example reads").parts.settings.module
}

/// Returns a list of `size` executors whose ids all differ from those of the round before.
fn executors(size: usize, round: usize) -> Vec<Executor> {
    let executor = |n: usize| Executor {
        id: format!("s-{round:04}-{n:05}").into(),
        address: SocketAddr::from(([10, 1, (n / 250) as u8, (n % 250) as u8], 8080)),
        zone: ["east", "west", "south"][n % 3].into(),
        kind: "std".into(),
        cell: n % 4,
        state: ExecutorState::Ready,
        started_ms: 0,
        weight: 0,
    };
    (0..size).rev().map(executor).collect()
}

/// Returns the microseconds that a list of `size` takes in the validator and in the module.
fn measure(size: usize, rounds: usize) -> (f64, f64) {
    let (mut validator, mut router) = (ListValidator::default(), Router::new(settings(), 7, 0));
    let (mut validate_seconds, mut apply_seconds, mut actions) = (0.0, 0.0, vec![]);
    for round in 1..=rounds {
        let list = executors(size, round);
        let started = Instant::now();
        let Verdict::Accept { executors, .. } = validator.validate(round as u64 * SECOND, list, size) else {
            panic!("the validator refused a valid list");
        };
        validate_seconds += started.elapsed().as_secs_f64();
        let entry = |(n, executor): (usize, &Executor)| WorkerEntry {
            worker: executor.id.clone(),
            zone: n % 3,
            kind: 0,
            cell: executor.cell,
            standing: WorkerStatus::Healthy,
            ready_at: None,
            size: 0.0,
        };
        let entries = executors.iter().enumerate().map(entry).collect();
        let event = Event::Workers { complete: true, entries };
        actions.clear();
        let started = Instant::now();
        router.handle(round as u64 * SECOND, &event, &mut actions);
        apply_seconds += started.elapsed().as_secs_f64();
    }
    let mean_us = |total: f64| total * 1e6 / rounds as f64;
    (mean_us(validate_seconds), mean_us(apply_seconds))
}

fn main() {
    let (small, large) = (36, 3_600);
    let (validate_small, apply_small) = measure(small, 2_000);
    let (validate_large, apply_large) = measure(large, 20);
    let per_entry = |large_cost: f64, small_cost: f64| (large_cost / 3_600.0) / (small_cost / 36.0);
    let (validate_ratio, apply_ratio) =
        (per_entry(validate_large, validate_small), per_entry(apply_large, apply_small));
    println!("check_36 {validate_small:.2} us");
    println!("check_3600 {validate_large:.1} us");
    println!("module_list_36 {apply_small:.2} us");
    println!("module_list_3600 {apply_large:.1} us");
    println!("check_per_entry_ratio {validate_ratio:.2} x");
    println!("module_per_entry_ratio {apply_ratio:.2} x");
    let mut missed = vec![];
    if validate_ratio >= 4.0 || apply_ratio >= 4.0 {
        missed.push("the cost of a list grows faster than linearly with its length");
    }
    if validate_small + apply_small >= 1_000.0 {
        missed.push("a list of 36 takes 1 ms or more to validate and apply");
    }
    for reason in &missed {
        eprintln!("bound missed: {reason}");
    }
    std::process::exit(i32::from(!missed.is_empty()));
}
