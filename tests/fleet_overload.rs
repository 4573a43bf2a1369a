//! A hundred and three hundred dispatchers in simulated time, with the machine that the program runs ([`Overload`]): the sum of
//! what all may spend, and how their levels of admission agree and swing, through loss, a cut and its end.

use ochreward::control::{Budget, Tokens};
use ochreward::overload::{GroupView, Options, Overload};
use ochreward_budget::admission::{admits, priority};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

const MS: u64 = 1_000;
const STEP: u64 = 20 * MS;
const QUEUE: u64 = 50 * MS;
/// Resends a second of the whole fleet, in thousandths.
const WHOLE: u64 = 600_000;

/// A word on its way: when it comes, its number, from whom, to whom.
type OnItsWay = Reverse<(u64, u64, usize, usize, Vec<u8>)>;

struct Fleet {
    rng: Pcg32,
    now: u64,
    members: Vec<Overload>,
    names: Vec<Arc<str>>,
    words: BinaryHeap<OnItsWay>,
    serial: u64,
    /// Members from here on are cut off from those before.
    cut: Option<usize>,
    /// The time that a request waits at workers which comes now, and at each step before.
    queue: f64,
    queues: Vec<f64>,
}

/// Requests a second against what the workers can do, of each class; the last is worth most.
const OFFERED: [f64; 3] = [0.5, 0.5, 0.5];

impl Fleet {
    fn new(count: usize, seed: u64) -> Fleet {
        let options = Options {
            resends_per_s: WHOLE / 1_000,
            orders_per_s: 0,
            floor: 500,
            lease_us: 2_000 * MS,
            max_queue_us: QUEUE,
            level_hold_us: 1_000 * MS,
            ramp_us: 0,
            trial_interval_us: 250 * MS,
        };
        let member = |n: usize| Overload::new(options.clone(), seed << 20 | n as u64, 0);
        Fleet {
            rng: Pcg32::seed_from_u64(seed),
            now: 10_000 * MS,
            members: (0..count).map(member).collect(),
            names: (0..count).map(|n| format!("n{n}").into()).collect(),
            words: BinaryHeap::new(),
            serial: 0,
            cut: None,
            queue: 0.0,
            queues: Vec::new(),
        }
    }

    fn below(&mut self, most: u64) -> u64 {
        u64::from(self.rng.next_u32()) % most
    }

    fn apart(&self, a: usize, b: usize) -> bool {
        self.cut.is_some_and(|at| (a < at) != (b < at))
    }

    fn post(&mut self, from: usize, to: usize, word: Vec<u8>) {
        if self.apart(from, to) || self.below(100) < 5 {
            return;
        }
        let due = self.now + 200 + self.below(20 * MS);
        self.serial += 1;
        self.words.push(Reverse((due, self.serial, from, to, word)));
    }

    /// Of one class, the share that a member at this level lets in.
    fn lets_in(level: u8, class: usize) -> f64 {
        (0..32).filter(|kind| admits(level, priority(class, 3, false, *kind))).count() as f64 / 32.0
    }

    fn step(&mut self, wants: impl Fn(usize) -> u64) {
        self.now += STEP;
        while self.words.peek().is_some_and(|w| w.0.0 <= self.now) {
            let Some(Reverse((_, _, from, to, word))) = self.words.pop() else { break };
            let name = self.names[from].clone();
            if let Some(answer) = self.members[to].handle_message(self.now, &name, &word) {
                self.post(to, from, answer);
            }
        }
        let count = self.members.len();
        // What is answered now came before the queue that it waited in.
        let steps = self.queues.iter().rev().enumerate();
        let came = steps.map(|(n, queue)| (n as f64 * STEP as f64, *queue)).find(|(ago, queue)| ago >= queue);
        let waited = came.map_or(0, |(_, queue)| queue as u64);
        let (mut admitted, worker) = (0.0, Arc::from("s1"));
        for n in 0..count {
            let level = self.members[n].level();
            admitted += (0..3).map(|c| OFFERED[c] * Fleet::lets_in(level, c)).sum::<f64>() / count as f64;
            // What it sees: answers after the queue and a service time that differs.
            for _ in 0..2 {
                let took = 20 * MS + waited + self.below(8 * MS);
                self.members[n].record_answer(self.now, &worker, 1, Some(took));
            }
            let wanted = wants(n);
            let tokens = Tokens { requested: wanted, ..Tokens::default() };
            let last = Budget { resend_tokens: Some(tokens), max_resend_worth: 50, ..Budget::default() };
            self.members[n].budget(self.now, &last);
            if self.members[n].due(self.now) <= self.now {
                let others: Vec<Arc<str>> = (0..count)
                    .filter(|o| *o != n && !self.apart(n, *o))
                    .map(|o| self.names[o].clone())
                    .collect();
                let words = self.members[n].advance(
                    self.now,
                    &GroupView { own: self.names[n].clone(), parts: count, peers: others },
                );
                for (to, word) in words {
                    let to = to[1..].parse().expect("a number");
                    self.post(n, to, word);
                }
            }
        }
        self.queue = (self.queue + (admitted - 1.0) * STEP as f64).clamp(0.0, 5e6);
        self.queues.push(self.queue);
        let sum: u64 = self.members.iter().map(|m| m.spendable_rate(0, self.now)).sum();
        assert!(sum <= WHOLE, "at {} us all may spend {sum} of {WHOLE}", self.now);
    }

    /// The lowest, the mean and the highest level.
    fn levels(&self) -> (f64, f64, f64) {
        let levels: Vec<f64> = self.members.iter().map(|m| f64::from(m.level())).collect();
        let mean = levels.iter().sum::<f64>() / levels.len() as f64;
        (levels.iter().copied().fold(64.0, f64::min), mean, levels.iter().copied().fold(0.0, f64::max))
    }
}

/// How alike a series is to itself so many steps later, from -1 to 1.
fn autocorrelation(series: &[f64], lag: usize) -> f64 {
    let mean = series.iter().sum::<f64>() / series.len() as f64;
    let variance = series.iter().map(|x| (x - mean).powi(2)).sum::<f64>();
    let pairs = series.iter().zip(&series[lag..]).map(|(a, b)| (a - mean) * (b - mean)).sum::<f64>();
    if variance > 0.0 { pairs / variance } else { 0.0 }
}

fn overloaded(count: usize, seed: u64) {
    let mut fleet = Fleet::new(count, seed);
    let (mut means, mut spreads, mut queues) = (Vec::new(), Vec::new(), Vec::new());
    for step in 0..2_000 {
        fleet.cut = (800..1_200).contains(&step).then_some(count / 2);
        fleet.step(|_| 0);
        if std::env::var("SERIES").is_ok() && step % 25 == 0 {
            println!(
                "{:>6} ms level {:.1} queue {:.0} ms",
                step as u64 * STEP / MS,
                fleet.levels().1,
                fleet.queue / 1e3
            );
        }
        if step >= 400 {
            let (low, mean, high) = fleet.levels();
            assert!(
                high < 52.0,
                "the most worthy of their share are let in at all times: {high} at step {step}"
            );
            means.push(mean);
            spreads.push(high - low);
            queues.push(fleet.queue);
        }
    }
    spreads.sort_by(f64::total_cmp);
    let worst = queues.iter().copied().fold(0.0, f64::max);
    let queue = queues.iter().sum::<f64>() / queues.len() as f64;
    // Steps of 200 ms, lags of one to ten seconds.
    let swings = (50..=500).step_by(10).map(|lag| autocorrelation(&means, lag)).fold(f64::MIN, f64::max);
    let (low, high) = means.iter().fold((64.0_f64, 0.0_f64), |(l, h), m| (l.min(*m), h.max(*m)));
    println!(
        "{count} members, seed {seed}: queue {:.0} ms (most {:.0}), mean level {low:.1} to {high:.1}, doors apart by {} at p95, \
         autocorrelation at 1 to 10 s {swings:.2} at the most",
        queue / 1e3,
        worst / 1e3,
        spreads[spreads.len() * 95 / 100]
    );
    assert!(queue < 4.0 * QUEUE as f64, "the queue is held down: {queue}");
    assert!(spreads[spreads.len() * 95 / 100] <= 8.0, "doors agree but for a few steps");
    assert!(high - low < 32.0 && swings < 0.9, "the level does not swing as one");
}

#[test]
fn a_hundred_hold_the_queue_down_and_agree() {
    overloaded(100, 1);
}

#[test]
fn three_hundred_hold_the_queue_down_and_agree() {
    overloaded(300, 2);
}

#[test]
fn what_a_few_want_is_lent_by_the_others_and_the_sum_holds_through_a_cut() {
    let mut fleet = Fleet::new(100, 3);
    let own = WHOLE / 100;
    // Four want far more than their parts; the others nothing.
    let wants = |n: usize| u64::from(n < 4);
    let mut reached = None;
    for step in 0..1_500 {
        fleet.cut = (700..1_100).contains(&step).then_some(50);
        fleet.step(wants);
        let least = (0..4).map(|n| fleet.members[n].spendable_rate(0, fleet.now)).min().unwrap_or(0);
        if step > 150 && least >= 5 * own && reached.is_none() {
            reached = Some(step);
        }
        for n in 0..100 {
            assert!(
                fleet.members[n].spendable_rate(0, fleet.now) >= own / 2 || step < 200,
                "the floor stays"
            );
        }
    }
    let after = reached.expect("each of the four has five parts in the end") as u64 * STEP / MS;
    println!("four of a hundred have five parts each after {after} ms");
    assert!(after < 8_000);
}
