//! Measures the detection of call patterns on synthetic sessions: how well sessions are clustered by the randomly drawn
//! pattern that generated them, against two simpler methods; function loads and zone crossings with and without pattern
//! affinity on the same traffic; the overhead of affinity where there are no patterns; bytes per session; and the number
//! of sessions until a changed pattern is predicted. Exits non-zero if a bound is missed.

use ochreward_patterns::{Config, Micros, Patterns};
use ochreward_placement::{Cost, CostModel, Planner, Step, WarmCopies};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Instant;

const SEEDS: u64 = 8;
const CATALOG: u64 = 150;
const PLANTED: usize = 12;
const SESSIONS: usize = 4_000;
/// Sessions used for training before those that are scored.
const TRAINING_SESSIONS: usize = 2_000;

fn below(rng: &mut Pcg32, n: u64) -> u64 {
    u64::from(rng.next_u32()) % n.max(1)
}

fn chance(rng: &mut Pcg32, of: f64) -> bool {
    f64::from(rng.next_u32()) / f64::from(u32::MAX) < of
}

/// Draws random patterns of 5 to 9 distinct functions each; patterns may share functions.
fn random_patterns(rng: &mut Pcg32) -> Vec<Vec<u64>> {
    let draw_pattern = |rng: &mut Pcg32| {
        let length = 5 + below(rng, 5) as usize;
        let mut steps = Vec::new();
        while steps.len() < length {
            let function = below(rng, CATALOG);
            if !steps.contains(&function) {
                steps.push(function);
            }
        }
        steps
    };
    (0..PLANTED).map(|_| draw_pattern(rng)).collect()
}

/// Draws a session of a pattern: some steps left out, some swapped, and some replaced by random calls.
fn session(rng: &mut Pcg32, pattern: &[u64], noise: f64) -> Vec<u64> {
    let mut calls: Vec<u64> = pattern.iter().copied().filter(|_| !chance(rng, 0.15)).collect();
    for n in 1..calls.len() {
        if chance(rng, 0.2) {
            calls.swap(n - 1, n);
        }
    }
    for call in &mut calls {
        if chance(rng, noise) {
            *call = below(rng, CATALOG);
        }
    }
    calls
}

/// Draws the sessions of a day, each with the index of its pattern. One in twenty is interleaved with the calls of a
/// second pattern and has no index.
fn day(rng: &mut Pcg32, patterns: &[Vec<u64>], noise: f64) -> Vec<(Option<usize>, Vec<u64>)> {
    let draw_popular =
        |rng: &mut Pcg32| (below(rng, PLANTED as u64) * below(rng, PLANTED as u64) / PLANTED as u64) as usize;
    (0..SESSIONS)
        .map(|_| {
            let index = draw_popular(rng);
            let mut calls = session(rng, &patterns[index], noise);
            if !chance(rng, 0.05) {
                return (Some(index), calls);
            }
            let second = draw_popular(rng);
            let other = session(rng, &patterns[second], noise);
            for (n, call) in other.into_iter().enumerate() {
                calls.insert((2 * n + 1).min(calls.len()), call);
            }
            (None, calls)
        })
        .collect()
}

/// The clusters that one item is assigned to by two clusterings.
type Assignment = (u64, u64);

/// Returns the adjusted Rand index of two clusterings of the same items (Hubert and Arabie, 1985).
fn rand_index(pairs: &[Assignment]) -> f64 {
    let pairs_of = |n: u64| (n * n.saturating_sub(1)) as f64 / 2.0;
    let count = |of: fn(&Assignment) -> Assignment| {
        let mut sizes = HashMap::<Assignment, u64>::new();
        pairs.iter().for_each(|p| *sizes.entry(of(p)).or_default() += 1);
        sizes.into_values().map(pairs_of).sum::<f64>()
    };
    let (both, left, right) = (count(|p| *p), count(|p| (p.0, 0)), count(|p| (p.1, 0)));
    let all = pairs_of(pairs.len() as u64).max(1.0);
    let (by_chance, most) = (left * right / all, (left + right) / 2.0);
    if most == by_chance { 1.0 } else { (both - by_chance) / (most - by_chance) }
}

/// Clusters the sessions with the library; returns pattern and cluster of the scored ones, and the trained state.
fn cluster_by_library(sessions: &[(Option<usize>, Vec<u64>)]) -> (Vec<(u64, u64)>, Patterns) {
    let mut patterns = Patterns::new(Config::default(), 1);
    let mut assignments = Vec::new();
    let mut now: Micros = 0;
    for (n, (label, calls)) in sessions.iter().enumerate() {
        for function in calls {
            now += 5_000;
            patterns.record_call(now, n as u64, *function);
        }
        let group = patterns.end_session(now, n as u64);
        if let (Some(label), Some(group), true) = (label, group, n >= TRAINING_SESSIONS) {
            assignments.push((*label as u64, group));
        }
    }
    let assignments =
        assignments.into_iter().map(|(label, group)| (label, patterns.resolve_merged(group))).collect();
    (assignments, patterns)
}

fn hash(value: u64, salt: u64) -> u64 {
    let mut x = value.wrapping_add(salt.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    x = (x ^ x >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ x >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ x >> 31
}

/// Clusters the sessions by locality-sensitive hashing, the other published method compared: MinHash signatures in bands,
/// with sessions that share bands in one cluster.
fn cluster_by_minhash(sessions: &[(Option<usize>, Vec<u64>)]) -> Vec<(u64, u64)> {
    const BANDS: u64 = 16;
    let mut groups = HashMap::<(u64, u64, u64), u64>::new();
    let (mut next, mut assignments) = (0, Vec::new());
    for (n, (label, calls)) in sessions.iter().enumerate() {
        let smallest = |salt: u64| calls.iter().map(|f| hash(*f, salt)).min().unwrap_or(0);
        let bands: Vec<(u64, u64, u64)> =
            (0..BANDS).map(|b| (b, smallest(2 * b), smallest(2 * b + 1))).collect();
        let mut votes = BTreeMap::<u64, u32>::new();
        bands.iter().filter_map(|b| groups.get(b)).for_each(|g| *votes.entry(*g).or_default() += 1);
        let group = votes.into_iter().max_by_key(|(_, votes)| *votes).map(|(g, _)| g);
        let group = group.unwrap_or_else(|| {
            next += 1;
            next
        });
        groups.extend(bands.into_iter().map(|b| (b, group)));
        if let (Some(label), true) = (label, n >= TRAINING_SESSIONS) {
            assignments.push((*label as u64, group));
        }
    }
    assignments
}

/// Clusters the sessions by the function of theirs that is called most often overall, as a baseline.
fn cluster_by_frequent_function(sessions: &[(Option<usize>, Vec<u64>)]) -> Vec<(u64, u64)> {
    let mut call_counts = HashMap::<u64, u64>::new();
    sessions.iter().flat_map(|(_, calls)| calls).for_each(|f| *call_counts.entry(*f).or_default() += 1);
    let most = |calls: &[u64]| calls.iter().copied().max_by_key(|f| (call_counts[f], *f)).unwrap_or(0);
    let scored = sessions[TRAINING_SESSIONS..].iter();
    scored.filter_map(|(label, calls)| Some(((*label)? as u64, most(calls)))).collect()
}

// ---- Loads and crossings ----

const ZONES: usize = 3;
/// Most loaded functions in a zone. A catalog takes at most 0.42 of all spare memory (the platform's bench page), so one
/// zone of three has room for four fifths of it.
const MAX_LOADED: usize = 120;
/// Keep-alive of a loaded function after its last call.
const KEEP_ALIVE: Micros = 8_000_000;
/// Cost of loading a function and of crossing into another zone, in milliseconds.
const LOAD_COST_MS: f64 = 500.0;
const CROSSING_COST_MS: f64 = 10.0;

#[derive(Default)]
struct Zone {
    /// Time of last use of each loaded function.
    last_used: BTreeMap<u64, Micros>,
}

impl Zone {
    fn is_loaded(&self, now: Micros, function: u64) -> bool {
        self.last_used.get(&function).is_some_and(|used| now < used + KEEP_ALIVE)
    }

    /// Calls the function, evicts what has expired or exceeds the room, and returns whether the call had to load it.
    fn call(&mut self, now: Micros, function: u64) -> bool {
        let was_loaded = self.is_loaded(now, function);
        self.last_used.insert(function, now);
        self.last_used.retain(|_, used| now < *used + KEEP_ALIVE);
        while self.last_used.len() > MAX_LOADED {
            let oldest = self.last_used.iter().min_by_key(|(_, used)| **used).map(|(f, _)| *f);
            if let Some(function) = oldest {
                self.last_used.remove(&function);
            }
        }
        !was_loaded
    }
}

/// Replays the sessions and returns loads, crossings and the total cost in milliseconds. Each call goes to the zone where
/// it costs least by itself; with affinity the lowest expected cost of the rest of the session from there
/// (crates/placement) is added.
fn replay(sessions: &[(Option<usize>, Vec<u64>)], affinity: bool) -> (u64, u64, f64) {
    let mut zones: Vec<Zone> = (0..ZONES).map(|_| Zone::default()).collect();
    let mut patterns = Patterns::new(Config::default(), 1);
    let mut residency =
        WarmCopies::new(ZONES, KEEP_ALIVE, Cost::exact(CROSSING_COST_MS), Cost::exact(LOAD_COST_MS))
            .expect("valid zones, keep-alive and costs");
    let (mut loads, mut crossings, mut now) = (0, 0, 0);
    // Sessions run concurrently: each step a random open one makes its next call.
    let mut open: Vec<(u64, usize, usize)> = Vec::new();
    let (mut next, mut rng) = (0, Pcg32::seed_from_u64(7));
    while next < sessions.len() || !open.is_empty() {
        while open.len() < 30 && next < sessions.len() {
            open.push((next as u64, 0, below(&mut rng, ZONES as u64) as usize));
            next += 1;
        }
        now += 4_000;
        let index = below(&mut rng, open.len() as u64) as usize;
        let (session, step, at) = open[index];
        let calls = &sessions[session as usize].1;
        let Some(function) = calls.get(step).copied() else {
            patterns.end_session(now, session);
            open.swap_remove(index);
            continue;
        };
        patterns.record_call(now, session, function);
        residency.advance_to(now);
        let expected = if affinity { patterns.predict(now, session) } else { None };
        // Uncertain predictions count with the lower bound of their probability.
        let steps = |e: &ochreward_patterns::Prediction| -> Vec<Step> {
            e.calls.iter().map(|c| Step { function: c.function, chance: c.chance.low }).collect()
        };
        let rest = expected
            .as_ref()
            .map_or(vec![0.0; ZONES], |e| Planner::new(&residency, &steps(e)).extra_cost_by_zone());
        let cost = |z: usize| {
            let missing = if zones[z].is_loaded(now, function) { 0.0 } else { LOAD_COST_MS };
            let crossing = if z == at { 0.0 } else { CROSSING_COST_MS };
            let own_cost = missing + crossing;
            expected.as_ref().map_or(own_cost, |_| residency.recompute(function, z).mean + crossing + rest[z])
        };
        let costs: Vec<f64> = (0..ZONES).map(cost).collect();
        let best =
            (0..ZONES).min_by(|a, b| costs[*a].total_cmp(&costs[*b]).then((*a != at).cmp(&(*b != at))));
        let best = best.unwrap_or(at);
        crossings += u64::from(best != at);
        loads += u64::from(zones[best].call(now, function));
        residency.record_call(now, function, at, best);
        open[index] = (session, step + 1, best);
    }
    (loads, crossings, loads as f64 * LOAD_COST_MS + crossings as f64 * CROSSING_COST_MS)
}

/// Returns after how many sessions of a pattern whose second half has changed more than half of its new calls are
/// predicted; 500 if they never are.
fn sessions_until_followed(seed: u64) -> u64 {
    let mut rng = Pcg32::seed_from_u64(seed);
    let patterns = random_patterns(&mut rng);
    let mut detector = Patterns::new(Config::default(), 1);
    let (mut now, mut number) = (0, 0);
    let mut run_session = |detector: &mut Patterns, calls: &[u64]| {
        number += 1;
        for function in calls {
            now += 20_000;
            detector.record_call(now, number, *function);
        }
        detector.end_session(now, number);
        (now, number + 1_000_000)
    };
    for (_, calls) in day(&mut rng, &patterns, 0.1).into_iter().take(1_000) {
        run_session(&mut detector, &calls);
    }
    let mut changed = patterns[0].clone();
    let half = changed.len() / 2;
    changed[half..].iter_mut().zip(CATALOG..).for_each(|(step, new)| *step = new);
    for sessions in 1..500 {
        let calls = session(&mut rng, &changed, 0.1);
        let (now, probe) = run_session(&mut detector, &calls);
        for function in &changed[..half] {
            detector.record_call(now, probe, *function);
        }
        let predicted: BTreeSet<u64> = detector
            .predict(now, probe)
            .map(|e| e.calls.into_iter().filter(|c| c.chance.mean > 0.4).map(|c| c.function).collect())
            .unwrap_or_default();
        detector.end_session(now, probe);
        if changed[half..].iter().filter(|f| predicted.contains(f)).count() * 2 > changed.len() - half {
            return sessions;
        }
    }
    500
}

fn main() {
    let started = Instant::now();
    let mut missed = Vec::new();
    for (noise, bound) in [(0.1, 0.9), (0.3, 0.75)] {
        let (mut library, mut minhash, mut frequent) = (Vec::new(), Vec::new(), Vec::new());
        for seed in 1..=SEEDS {
            let mut rng = Pcg32::seed_from_u64(seed * 97 + 5);
            let patterns = random_patterns(&mut rng);
            let sessions = day(&mut rng, &patterns, noise);
            library.push(rand_index(&cluster_by_library(&sessions).0));
            minhash.push(rand_index(&cluster_by_minhash(&sessions)));
            frequent.push(rand_index(&cluster_by_frequent_function(&sessions)));
        }
        let smallest = |of: &[f64]| of.iter().copied().fold(f64::INFINITY, f64::min);
        let mean = |of: &[f64]| of.iter().sum::<f64>() / of.len() as f64;
        let at = (noise * 100.0) as u32;
        println!("rand_index_at_{at}_percent_noise {:.3} mean of {SEEDS}", mean(&library));
        println!("rand_index_at_{at}_percent_noise_least {:.3} of {SEEDS}", smallest(&library));
        println!("rand_index_by_minhash_at_{at}_percent_noise {:.3} mean of {SEEDS}", mean(&minhash));
        println!(
            "rand_index_by_most_frequent_function_at_{at}_percent_noise {:.3} mean of {SEEDS}",
            mean(&frequent)
        );
        if mean(&library) < bound {
            missed.push(format!(
                "adjusted Rand index {:.3} at {at}% noise, bound {bound} at the least",
                mean(&library)
            ));
        }
    }
    let mut rng = Pcg32::seed_from_u64(99);
    let patterns = random_patterns(&mut rng);
    let sessions = day(&mut rng, &patterns, 0.1);
    let (with, without) = (replay(&sessions, true), replay(&sessions, false));
    println!("loads_with_affinity {} of {SESSIONS} sessions", with.0);
    println!("loads_without_affinity {} of {SESSIONS} sessions", without.0);
    println!("crossings_with_affinity {} of {SESSIONS} sessions", with.1);
    println!("crossings_without_affinity {} of {SESSIONS} sessions", without.1);
    println!("cost_with_over_without {:.3} ratio", with.2 / without.2);
    if with.2 > without.2 {
        missed.push(format!("cost with affinity is {:.3} times that without, bound 1", with.2 / without.2));
    }
    let plain: Vec<(Option<usize>, Vec<u64>)> =
        (0..SESSIONS).map(|_| (None, (0..6).map(|_| below(&mut rng, CATALOG)).collect())).collect();
    let (with, without) = (replay(&plain, true), replay(&plain, false));
    println!("harm_without_patterns {:.4} ratio", with.2 / without.2);
    if with.2 > 1.01 * without.2 {
        missed.push(format!(
            "cost with affinity is {:.3} times that without where there are no patterns, bound 1.01",
            with.2 / without.2
        ));
    }
    let (_, mut trained) = cluster_by_library(&sessions);
    let summary_bytes = trained.summary().encode().len();
    println!("bytes_told_a_session {:.1} bytes", summary_bytes as f64 / TRAINING_SESSIONS as f64);
    println!("bytes_of_a_summary {summary_bytes} bytes");
    let until_followed: Vec<u64> = (1..=SEEDS).map(|seed| sessions_until_followed(seed * 17)).collect();
    println!(
        "sessions_until_a_change_is_followed {:.1} mean of {SEEDS}",
        until_followed.iter().sum::<u64>() as f64 / SEEDS as f64
    );
    let calls = 200_000;
    let mut detector = Patterns::new(Config::default(), 1);
    let timed = Instant::now();
    for n in 0..calls {
        detector.record_call(n * 100, n / 6, hash(n, 3) % CATALOG);
        if n % 6 == 5 {
            detector.end_session(n * 100, n / 6);
        }
    }
    println!("time_of_a_call {:.2} us", timed.elapsed().as_micros() as f64 / calls as f64);
    println!("bench_took {:.1} s", started.elapsed().as_secs_f64());
    missed.iter().for_each(|why| eprintln!("missed: {why}"));
    std::process::exit(i32::from(!missed.is_empty()));
}
