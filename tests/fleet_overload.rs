//! Simulated fleets of a hundred and of three hundred dispatchers that run the program's own state machine ([`Overload`]):
//! the total that all may spend, and the agreement and stability of their admission levels, through message loss and a
//! partition and its end.

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
const TARGET_QUEUE: u64 = 50 * MS;
/// Resends a second of the whole fleet, in thousandths of a resend.
const FLEET_MILLIRESENDS_PER_SECOND: u64 = 600_000;

/// A message in flight: its time of arrival, serial number, sender, receiver and content.
type QueuedMessage = Reverse<(u64, u64, usize, usize, Vec<u8>)>;

struct Fleet {
    rng: Pcg32,
    now: u64,
    members: Vec<Overload>,
    names: Vec<Arc<str>>,
    messages: BinaryHeap<QueuedMessage>,
    serial: u64,
    /// Members from this index on are cut off from those before.
    cut: Option<usize>,
    /// The queueing time at the workers of a request that arrives now, and of one at each earlier step.
    queue: f64,
    queues: Vec<f64>,
}

/// The request rate of each class as a share of the workers' capacity; the last class has the highest priority.
const OFFERED: [f64; 3] = [0.5, 0.5, 0.5];

impl Fleet {
    fn new(count: usize, seed: u64) -> Fleet {
        let options = Options {
            resends_per_s: FLEET_MILLIRESENDS_PER_SECOND / 1_000,
            orders_per_s: 0,
            floor: 500,
            lease_us: 2_000 * MS,
            max_queue_us: TARGET_QUEUE,
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
            messages: BinaryHeap::new(),
            serial: 0,
            cut: None,
            queue: 0.0,
            queues: Vec::new(),
        }
    }

    fn below(&mut self, most: u64) -> u64 {
        u64::from(self.rng.next_u32()) % most
    }

    fn separated(&self, a: usize, b: usize) -> bool {
        self.cut.is_some_and(|at| (a < at) != (b < at))
    }

    fn send_message(&mut self, from: usize, to: usize, message: Vec<u8>) {
        if self.separated(from, to) || self.below(100) < 5 {
            return;
        }
        let due = self.now + 200 + self.below(20 * MS);
        self.serial += 1;
        self.messages.push(Reverse((due, self.serial, from, to, message)));
    }

    /// Returns the share of a class's requests that a member at this level admits.
    fn admitted_share(level: u8, class: usize) -> f64 {
        (0..32).filter(|kind| admits(level, priority(class, 3, false, *kind))).count() as f64 / 32.0
    }

    fn step(&mut self, demand: impl Fn(usize) -> u64) {
        self.now += STEP;
        while self.messages.peek().is_some_and(|w| w.0.0 <= self.now) {
            let Some(Reverse((_, _, from, to, message))) = self.messages.pop() else { break };
            let name = self.names[from].clone();
            if let Some(answer) = self.members[to].handle_message(self.now, &name, &message) {
                self.send_message(to, from, answer);
            }
        }
        let count = self.members.len();
        // The requests answered now are those that arrived as long ago as the queue was then.
        let steps = self.queues.iter().rev().enumerate();
        let arrival =
            steps.map(|(n, queue)| (n as f64 * STEP as f64, *queue)).find(|(ago, queue)| ago >= queue);
        let waited = arrival.map_or(0, |(_, queue)| queue as u64);
        let (mut admitted, worker) = (0.0, Arc::from("s1"));
        for n in 0..count {
            let level = self.members[n].level();
            admitted +=
                (0..3).map(|c| OFFERED[c] * Fleet::admitted_share(level, c)).sum::<f64>() / count as f64;
            // It observes answers that took the queueing time plus a varying service time.
            for _ in 0..2 {
                let took = 20 * MS + waited + self.below(8 * MS);
                self.members[n].record_answer(self.now, &worker, 1, Some(took));
            }
            let requested = demand(n);
            let tokens = Tokens { requested, ..Tokens::default() };
            let last = Budget { resend_tokens: Some(tokens), max_resend_worth: 50, ..Budget::default() };
            self.members[n].budget(self.now, &last);
            if self.members[n].due(self.now) <= self.now {
                let others: Vec<Arc<str>> = (0..count)
                    .filter(|o| *o != n && !self.separated(n, *o))
                    .map(|o| self.names[o].clone())
                    .collect();
                let messages = self.members[n].advance(
                    self.now,
                    &GroupView { own: self.names[n].clone(), parts: count, peers: others },
                );
                for (to, message) in messages {
                    let to = to[1..].parse().expect("a number");
                    self.send_message(n, to, message);
                }
            }
        }
        self.queue = (self.queue + (admitted - 1.0) * STEP as f64).clamp(0.0, 5e6);
        self.queues.push(self.queue);
        let sum: u64 = self.members.iter().map(|m| m.spendable_rate(0, self.now)).sum();
        assert!(
            sum <= FLEET_MILLIRESENDS_PER_SECOND,
            "at {} us the fleet may spend {sum} of {FLEET_MILLIRESENDS_PER_SECOND}",
            self.now
        );
    }

    /// Returns the lowest, the mean and the highest admission level.
    fn levels(&self) -> (f64, f64, f64) {
        let levels: Vec<f64> = self.members.iter().map(|m| f64::from(m.level())).collect();
        let mean = levels.iter().sum::<f64>() / levels.len() as f64;
        (levels.iter().copied().fold(64.0, f64::min), mean, levels.iter().copied().fold(0.0, f64::max))
    }
}

/// Returns the autocorrelation of a series at a lag in steps, from -1 to 1.
fn autocorrelation(series: &[f64], lag: usize) -> f64 {
    let mean = series.iter().sum::<f64>() / series.len() as f64;
    let variance = series.iter().map(|x| (x - mean).powi(2)).sum::<f64>();
    let pairs = series.iter().zip(&series[lag..]).map(|(a, b)| (a - mean) * (b - mean)).sum::<f64>();
    if variance > 0.0 { pairs / variance } else { 0.0 }
}

fn check_admission_under_overload(count: usize, seed: u64) {
    let mut fleet = Fleet::new(count, seed);
    let (mut means, mut level_ranges, mut queues) = (Vec::new(), Vec::new(), Vec::new());
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
                "the highest class within its share is always admitted: level {high} at step {step}"
            );
            means.push(mean);
            level_ranges.push(high - low);
            queues.push(fleet.queue);
        }
    }
    level_ranges.sort_by(f64::total_cmp);
    let worst = queues.iter().copied().fold(0.0, f64::max);
    let queue = queues.iter().sum::<f64>() / queues.len() as f64;
    // Lags of one to ten seconds, in steps of 200 ms.
    let max_autocorrelation =
        (50..=500).step_by(10).map(|lag| autocorrelation(&means, lag)).fold(f64::MIN, f64::max);
    let (low, high) = means.iter().fold((64.0_f64, 0.0_f64), |(l, h), m| (l.min(*m), h.max(*m)));
    println!(
        "{count} members, seed {seed}: mean queue {:.0} ms (highest {:.0}), mean level {low:.1} to {high:.1}, range of levels {} at p95, \
         highest autocorrelation at 1 to 10 s {max_autocorrelation:.2}",
        queue / 1e3,
        worst / 1e3,
        level_ranges[level_ranges.len() * 95 / 100]
    );
    assert!(queue < 4.0 * TARGET_QUEUE as f64, "the queue is bounded: {queue}");
    assert!(level_ranges[level_ranges.len() * 95 / 100] <= 8.0, "levels agree within a few steps");
    assert!(high - low < 32.0 && max_autocorrelation < 0.9, "the level does not oscillate");
}

#[test]
fn a_hundred_dispatchers_bound_the_queue_and_agree_on_the_level() {
    check_admission_under_overload(100, 1);
}

#[test]
fn three_hundred_dispatchers_bound_the_queue_and_agree_on_the_level() {
    check_admission_under_overload(300, 2);
}

#[test]
fn idle_dispatchers_lend_their_budget_and_the_total_holds_through_a_partition() {
    let mut fleet = Fleet::new(100, 3);
    let own = FLEET_MILLIRESENDS_PER_SECOND / 100;
    // Four want far more than their shares; the others want nothing.
    let demand = |n: usize| u64::from(n < 4);
    let mut reached = None;
    for step in 0..1_500 {
        fleet.cut = (700..1_100).contains(&step).then_some(50);
        fleet.step(demand);
        let least = (0..4).map(|n| fleet.members[n].spendable_rate(0, fleet.now)).min().unwrap_or(0);
        if step > 150 && least >= 5 * own && reached.is_none() {
            reached = Some(step);
        }
        for n in 0..100 {
            assert!(
                fleet.members[n].spendable_rate(0, fleet.now) >= own / 2 || step < 200,
                "the floor is kept"
            );
        }
    }
    let after = reached.expect("each of the four reaches five shares") as u64 * STEP / MS;
    println!("four of a hundred have five shares each after {after} ms");
    assert!(after < 8_000);
}
