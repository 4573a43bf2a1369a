//! Plays seeded runs of real dispatchers under faults, and judges them by what clients and workers have recorded.
//!
//! Ends with 1 where a rule was broken, and with 2 where a run could not be played.

use clap::Parser;
use ochreward_rig::soak::judge::Rule;
use ochreward_rig::soak::plan::{Plan, USUAL_MS};
use ochreward_rig::soak::run::{Build, Outcome, play};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;

/// Breaks of a run that are printed one by one.
const MOST_PRINTED: usize = 8;

/// Seeded runs of real dispatchers under faults.
#[derive(Parser)]
struct Arguments {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds, one after the other
    #[arg(long, default_value_t = 1)]
    runs: u64,
    /// How long each run lasts, in minutes; the usual is 12 s
    #[arg(long)]
    minutes: Option<f64>,
    /// A rule that a stand-in breaks on purpose: the run must then fail
    #[arg(long, value_parser = rule)]
    plant: Option<Rule>,
    /// The program; by default the one that is built beside this
    #[arg(long)]
    program: Option<PathBuf>,
    /// The library that fails calls of the system; the program must be built with `--features libc-calls` for it
    #[arg(long)]
    shim: Option<PathBuf>,
    /// Folder to keep the processes' events of failed runs in
    #[arg(long)]
    keep: Option<PathBuf>,
}

fn rule(name: &str) -> Result<Rule, String> {
    let known: Vec<String> = Rule::ALL.iter().map(Rule::to_string).collect();
    let found = Rule::ALL.into_iter().find(|r| r.to_string() == name);
    found.ok_or_else(|| format!("name one of {}", known.join(", ")))
}

fn by_rule(outcome: &Outcome) -> BTreeMap<Rule, usize> {
    let mut counts = BTreeMap::new();
    outcome.breaks.iter().for_each(|b| *counts.entry(b.rule).or_default() += 1);
    counts
}

fn text<K: std::fmt::Display, V: std::fmt::Display>(counts: &BTreeMap<K, V>) -> String {
    let parts: Vec<String> = counts.iter().map(|(k, v)| format!("{k} {v}")).collect();
    if parts.is_empty() { "none".to_string() } else { parts.join(", ") }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let program = arguments.program.clone().or_else(ochreward_rig::stand::try_binary);
    let Some(program) = program.filter(|p| p.is_file()) else {
        eprintln!("the program is not built: cargo build --release, or name it by --program");
        return ExitCode::from(2);
    };
    if arguments.shim.as_ref().is_some_and(|s| !s.is_file()) {
        eprintln!("the library is not there: cargo build --release -p ochreward-shim");
        return ExitCode::from(2);
    }
    println!("program {}, shim {}", program.display(), arguments.shim.is_some());
    let length_ms = arguments.minutes.map_or(USUAL_MS, |m| (m * 60_000.0) as u64);
    let (mut requests, mut faults, mut breaks) =
        (0, BTreeMap::<&str, u64>::new(), BTreeMap::<Rule, usize>::new());
    let mut failed = Vec::new();
    for seed in arguments.seed..arguments.seed + arguments.runs {
        let plan = Plan::draw(seed, length_ms);
        let build = Build { program: program.clone(), shim: arguments.shim.clone() };
        let drawn = format!(
            "{} dispatchers, {} workers, {} clients each, crowd {}, {} events, failing calls {}, clock step {} ms, {:?}",
            plan.dispatchers,
            plan.workers,
            plan.clients,
            plan.crowd,
            plan.events.len(),
            plan.failing_calls,
            plan.clock_step_ms,
            plan.service
        );
        let outcome = play(plan, build, arguments.plant);
        let counts = by_rule(&outcome);
        println!(
            "seed {seed}: {drawn}; {} requests, {} arrivals; faults: {}; breaks: {}",
            outcome.records.requests.len(),
            outcome.records.arrivals.len(),
            text(&outcome.records.faults),
            text(&counts)
        );
        for broken in outcome.breaks.iter().take(MOST_PRINTED) {
            println!("    {} at {:.3}: {}", broken.rule, broken.at as f64 / 1e6, broken.what);
        }
        requests += outcome.records.requests.len();
        outcome.records.faults.iter().for_each(|(kind, n)| *faults.entry(kind).or_default() += n);
        counts.iter().for_each(|(rule, n)| *breaks.entry(*rule).or_default() += n);
        if !outcome.breaks.is_empty() {
            failed.push(seed.to_string());
            if let Some(keep) = &arguments.keep {
                keep_logs(&outcome, &keep.join(format!("seed-{seed}")));
            }
        }
    }
    let seeds = if failed.is_empty() { "none".to_string() } else { failed.join(" ") };
    println!(
        "sum: {} runs, {requests} requests; faults: {}; breaks: {}; seeds with breaks: {seeds}",
        arguments.runs,
        text(&faults),
        text(&breaks)
    );
    if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn keep_logs(outcome: &Outcome, to: &PathBuf) {
    let kept = std::fs::create_dir_all(to).and_then(|()| {
        for file in std::fs::read_dir(&outcome.logs)?.flatten() {
            std::fs::copy(file.path(), to.join(file.file_name()))?;
        }
        Ok(())
    });
    if let Err(error) = kept {
        eprintln!("the processes' events could not be kept: {error}");
    }
}
