//! Executes seeded soak runs of real dispatchers under faults, and checks the records of clients and workers against the
//! platform's rules.
//!
//! Exits with 1 if a rule was violated, and with 2 if a run could not be started.

use clap::Parser;
use ochreward_rig::soak::judge::Rule;
use ochreward_rig::soak::plan::{DEFAULT_RUN_MS, Plan};
use ochreward_rig::soak::run::{Build, Outcome, play};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;

/// The number of violations of a run that are printed in full.
const MAX_PRINTED: usize = 8;

/// Seeded runs of real dispatchers under faults.
#[derive(Parser)]
struct Arguments {
    /// First seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds to run, one after the other
    #[arg(long, default_value_t = 1)]
    runs: u64,
    /// Length of each run in minutes; the default is 12 s
    #[arg(long)]
    minutes: Option<f64>,
    /// Leave out worker restarts, kills in series and crowds, as in cases recorded before the soak had them
    #[arg(long)]
    without_restarts: bool,
    /// Rule that a stub violates on purpose, so that the run must fail
    #[arg(long, value_parser = parse_rule)]
    plant: Option<Rule>,
    /// The dispatcher's executable; by default the one built beside this command
    #[arg(long)]
    program: Option<PathBuf>,
    /// Library to preload that fails system calls; the executable must be built with `--features libc-calls` for it
    #[arg(long)]
    shim: Option<PathBuf>,
    /// Directory for the processes' logs of failed runs
    #[arg(long)]
    keep: Option<PathBuf>,
}

fn parse_rule(name: &str) -> Result<Rule, String> {
    let known: Vec<String> = Rule::ALL.iter().map(Rule::to_string).collect();
    let found = Rule::ALL.into_iter().find(|r| r.to_string() == name);
    found.ok_or_else(|| format!("the rules are {}", known.join(", ")))
}

fn count_by_rule(outcome: &Outcome) -> BTreeMap<Rule, usize> {
    let mut counts = BTreeMap::new();
    outcome.violations.iter().for_each(|b| *counts.entry(b.rule).or_default() += 1);
    counts
}

fn format_counts<K: std::fmt::Display, V: std::fmt::Display>(counts: &BTreeMap<K, V>) -> String {
    let parts: Vec<String> = counts.iter().map(|(k, v)| format!("{k} {v}")).collect();
    if parts.is_empty() { "none".to_string() } else { parts.join(", ") }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let program = arguments.program.clone().or_else(ochreward_rig::stand::try_binary);
    let Some(program) = program.filter(|p| p.is_file()) else {
        eprintln!("dispatcher executable not found: run cargo build --release, or pass --program");
        return ExitCode::from(2);
    };
    if arguments.shim.as_ref().is_some_and(|s| !s.is_file()) {
        eprintln!("shim library not found: run cargo build --release -p ochreward-shim");
        return ExitCode::from(2);
    }
    println!("program {}, shim {}", program.display(), arguments.shim.is_some());
    let length_ms = arguments.minutes.map_or(DEFAULT_RUN_MS, |m| (m * 60_000.0) as u64);
    let (mut requests, mut faults, mut violations) =
        (0, BTreeMap::<&str, u64>::new(), BTreeMap::<Rule, usize>::new());
    let mut failed = Vec::new();
    for seed in arguments.seed..arguments.seed + arguments.runs {
        let mut plan = Plan::draw(seed, length_ms);
        if !arguments.without_restarts {
            plan.add_worker_restarts();
        }
        let build = Build { program: program.clone(), shim: arguments.shim.clone() };
        let summary = format!(
            "{} dispatchers, {} workers, {} clients each, {} extra clients, {} events, failing calls {}, clock step {} ms, {:?}",
            plan.dispatchers,
            plan.workers,
            plan.clients,
            plan.extra_clients,
            plan.events.len(),
            plan.failing_calls_per_mille,
            plan.clock_step_ms,
            plan.service
        );
        let outcome = play(plan, build, arguments.plant);
        let counts = count_by_rule(&outcome);
        println!(
            "seed {seed}: {summary}; {} requests, {} arrivals; faults: {}; breaks: {}",
            outcome.records.requests.len(),
            outcome.records.arrivals.len(),
            format_counts(&outcome.records.faults),
            format_counts(&counts)
        );
        for violation in outcome.violations.iter().take(MAX_PRINTED) {
            println!("    {} at {:.3}: {}", violation.rule, violation.at as f64 / 1e6, violation.what);
        }
        requests += outcome.records.requests.len();
        outcome.records.faults.iter().for_each(|(kind, n)| *faults.entry(kind).or_default() += n);
        counts.iter().for_each(|(rule, n)| *violations.entry(*rule).or_default() += n);
        if !outcome.violations.is_empty() {
            failed.push(seed.to_string());
            if let Some(keep) = &arguments.keep {
                copy_logs(&outcome, &keep.join(format!("seed-{seed}")));
            }
        }
    }
    let seeds = if failed.is_empty() { "none".to_string() } else { failed.join(" ") };
    println!(
        "sum: {} runs, {requests} requests; faults: {}; breaks: {}; seeds with breaks: {seeds}",
        arguments.runs,
        format_counts(&faults),
        format_counts(&violations)
    );
    if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn copy_logs(outcome: &Outcome, to: &PathBuf) {
    let copied = std::fs::create_dir_all(to).and_then(|()| {
        for file in std::fs::read_dir(&outcome.logs)?.flatten() {
            std::fs::copy(file.path(), to.join(file.file_name()))?;
        }
        Ok(())
    });
    if let Err(error) = copied {
        eprintln!("could not copy the processes' logs: {error}");
    }
}
