//! Simulates the zone decisions of a whole fleet under thousands of seeded schedules: zones whose workers
//! die, fall silent, slow down or flap; zones partitioned off with and without their dispatchers; members
//! that stall, restart or lie; lost and late reports.
//!
//! Each schedule ends with all faults healed. Checked: all members of a group reach the same step within a
//! bound after that; no zone is left where no zone had a fault; the traffic through the gates to a returning
//! zone never exceeds what its workers can take together. `SCHEDULES=N` runs N schedules; `SCHEDULE=seed`
//! runs a single one and prints its events. A failing schedule is shrunk first.

use ochreward_zones::{AttemptOutcome, FleetView, Opinion, Report, SafetyRules, TOP_STEP, Terms, Zones};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
const STEP: u64 = 25 * MS;
const WORKERS: usize = 2;
/// Time after the last fault within which all members agree.
const AGREEMENT_BOUND: u64 = 25 * S;

fn terms() -> Terms {
    let (stay, dwell, warm) = (500 * MS, 200 * MS, 3 * S);
    Terms { silent: 500 * MS, stay, dwell, warm, ..Terms::default() }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// A zone's workers are gone, and start anew afterwards.
    Dead(usize),
    /// A zone's workers answer nobody.
    Silent(usize),
    Slow(usize),
    /// A zone's workers are partitioned off from the members of other zones, with the zone's own members
    /// (true) or alone.
    Cut(usize, bool),
    /// All zones are equally slow.
    Store,
    /// A member stalls, or restarts.
    Stall(usize),
    Restart(usize),
    /// A member's reports are made up.
    Lies(usize),
}

#[derive(Clone, Debug)]
struct Schedule {
    seed: u64,
    members: usize,
    zones: usize,
    /// Start, end and kind of each fault.
    faults: Vec<(u64, u64, Fault)>,
    loss: u64,
}

fn random_below(rng: &mut Pcg32, most: u64) -> u64 {
    u64::from(rng.next_u32()) % most.max(1)
}

impl Schedule {
    fn generate(seed: u64, members: usize) -> Schedule {
        let mut rng = Pcg32::seed_from_u64(seed);
        let zones = 3 + random_below(&mut rng, 4) as usize;
        let members = members.max(zones);
        let count = 1 + random_below(&mut rng, 4);
        let faults = (0..count).map(|_| {
            let (zone, member) = (
                random_below(&mut rng, zones as u64) as usize,
                random_below(&mut rng, members as u64) as usize,
            );
            let fault = match random_below(&mut rng, 10) {
                0 | 1 => Fault::Dead(zone),
                2 => Fault::Silent(zone),
                3 => Fault::Slow(zone),
                4 => Fault::Cut(zone, false),
                5 => Fault::Cut(zone, true),
                6 => Fault::Store,
                7 => Fault::Stall(member),
                8 => Fault::Restart(member),
                _ => Fault::Lies(member),
            };
            let from = 2 * S + random_below(&mut rng, 6 * S);
            (from, from + 300 * MS + random_below(&mut rng, 5 * S), fault)
        });
        Schedule { seed, members, zones, faults: faults.collect(), loss: random_below(&mut rng, 10) }
    }

    fn has_fault(&self, now: u64, holds: impl Fn(Fault) -> bool) -> bool {
        self.faults.iter().any(|(from, to, f)| (*from..*to).contains(&now) && holds(*f))
    }

    fn end(&self) -> u64 {
        self.faults.iter().map(|(_, to, _)| *to).max().unwrap_or(0)
    }

    /// Returns whether no zone has a fault or is partitioned off.
    fn without_zone_fault(&self) -> bool {
        !self
            .faults
            .iter()
            .any(|(_, _, f)| matches!(f, Fault::Dead(_) | Fault::Silent(_) | Fault::Slow(_) | Fault::Cut(..)))
    }
}

/// The end of an attempt: time, serial number, member, its incarnation, the worker's zone and index, outcome,
/// and time of sending.
type AttemptEnd = Reverse<(u64, u64, usize, u64, usize, usize, u8, u64)>;
type ReportDelivery = Reverse<(u64, u64, usize, usize, Vec<u8>)>;

struct Simulation<'a> {
    schedule: &'a Schedule,
    rng: Pcg32,
    now: u64,
    members: Vec<Zones>,
    /// Number of restarts of each member; outcomes of attempts of an earlier incarnation are dropped.
    incarnations: Vec<u64>,
    names: Vec<Arc<str>>,
    zones: Vec<Arc<str>>,
    list: Vec<(Arc<str>, Arc<str>)>,
    ends: BinaryHeap<AttemptEnd>,
    deliveries: BinaryHeap<ReportDelivery>,
    serial: u64,
    rules: SafetyRules,
    /// When each zone's workers last started.
    workers_started_at: Vec<u64>,
    /// Times of the requests that went to each zone through gates.
    gate_sends: Vec<Vec<u64>>,
    departures: usize,
    violation: Option<String>,
}

impl<'a> Simulation<'a> {
    fn new(schedule: &'a Schedule, rules: SafetyRules) -> Simulation<'a> {
        let zones: Vec<Arc<str>> = (0..schedule.zones).map(|index| format!("zone-{index}").into()).collect();
        let list = zones.iter().enumerate().flat_map(|(index, zone)| {
            (0..WORKERS).map(move |w| (Arc::from(format!("s{index}-{w}")), zone.clone()))
        });
        let list: Vec<(Arc<str>, Arc<str>)> = list.collect();
        let mut simulation = Simulation {
            schedule,
            rng: Pcg32::seed_from_u64(schedule.seed ^ 0x9e37),
            now: S,
            members: Vec::new(),
            incarnations: vec![0; schedule.members],
            names: (0..schedule.members).map(|n| format!("n{n}").into()).collect(),
            zones,
            list,
            ends: BinaryHeap::new(),
            deliveries: BinaryHeap::new(),
            serial: 0,
            rules,
            workers_started_at: vec![0; schedule.zones],
            gate_sends: vec![Vec::new(); schedule.zones],
            departures: 0,
            violation: None,
        };
        simulation.members = (0..schedule.members).map(|_| simulation.start_member()).collect();
        simulation
    }

    fn start_member(&self) -> Zones {
        let mut member = Zones::new(terms(), self.now).with_rules(self.rules);
        member.set_workers(&self.list);
        member
    }

    fn home(&self, member: usize) -> usize {
        member % self.schedule.zones
    }

    /// Returns whether two members can reach each other.
    fn can_reach(&self, a: usize, b: usize) -> bool {
        let separated =
            |f| matches!(f, Fault::Cut(index, true) if (self.home(a) == index) != (self.home(b) == index));
        !self.schedule.has_fault(self.now, separated)
    }

    fn is_stalled(&self, member: usize) -> bool {
        self.schedule.has_fault(self.now, |f| f == Fault::Stall(member))
    }

    fn request(&mut self, member: usize) {
        let zone = random_below(&mut self.rng, self.schedule.zones as u64) as usize;
        // Each request prefers a random zone and falls back to others where its gate is closed.
        for zone in [zone, (zone + 1) % self.schedule.zones, (zone + 2) % self.schedule.zones] {
            let name = self.zones[zone].clone();
            let gate = self.members[member].gate_allowance(self.now, &name);
            if gate == Some(0) {
                continue;
            }
            if gate.is_some() {
                self.members[member].record_gated(&name, 1);
                self.gate_sends[zone].push(self.now);
            }
            let worker = random_below(&mut self.rng, WORKERS as u64) as usize;
            let (now, home) = (self.now, self.home(member));
            let dead = self.schedule.has_fault(now, |f| f == Fault::Dead(zone));
            let silent = self.schedule.has_fault(now, |f| match f {
                Fault::Silent(index) => index == zone,
                Fault::Cut(index, _) => (index == zone) != (index == home),
                _ => false,
            });
            let slow = self.schedule.has_fault(now, |f| f == Fault::Slow(zone) || f == Fault::Store);
            let (took, outcome) = match (dead, silent, slow) {
                (true, _, _) => (MS, 1),
                (_, true, _) => (1_500 * MS, 2),
                (_, _, true) => (250 * MS, 0),
                _ => (40 * MS + random_below(&mut self.rng, 20 * MS), 0),
            };
            self.serial += 1;
            let worker_name = self.list[zone * WORKERS + worker].0.clone();
            self.members[member].record_sent(now, &worker_name);
            let end =
                (now + took, self.serial, member, self.incarnations[member], zone, worker, outcome, now);
            self.ends.push(Reverse(end));
            return;
        }
    }

    fn step(&mut self) {
        let before = self.now;
        self.now += STEP;
        for (from, to, fault) in &self.schedule.faults {
            match fault {
                Fault::Dead(index) if (before..self.now).contains(to) => {
                    self.workers_started_at[*index] = *to
                }
                Fault::Restart(member) if (before..self.now).contains(from) => {
                    self.members[*member] = self.start_member();
                    self.incarnations[*member] += 1;
                }
                _ => {}
            }
        }
        while self.ends.peek().is_some_and(|e| e.0.0 <= self.now) {
            let Some(Reverse((at, _, member, incarnation, zone, worker, outcome, sent))) = self.ends.pop()
            else {
                break;
            };
            if incarnation != self.incarnations[member] {
                continue;
            }
            // Events that arrive while a member is stalled are handled when it resumes.
            if self.is_stalled(member) {
                let later = (self.now + STEP, self.serial, member, incarnation, zone, worker, outcome, sent);
                self.ends.push(Reverse(later));
                continue;
            }
            let (worker, at) = (self.list[zone * WORKERS + worker].0.clone(), at.max(before));
            let end = match outcome {
                0 => {
                    AttemptOutcome::Answered(1, Some(if self.slow_at(zone, at) { 250 * MS } else { 50 * MS }))
                }
                1 => AttemptOutcome::Refused,
                _ => AttemptOutcome::Abandoned,
            };
            self.members[member].record_outcome(at, &worker, sent, end);
        }
        while self.deliveries.peek().is_some_and(|w| w.0.0 <= self.now) {
            let Some(Reverse((_, _, from, to, bytes))) = self.deliveries.pop() else { break };
            if self.is_stalled(to) {
                continue;
            }
            if let Some(report) = Report::decode(&bytes) {
                let name = self.names[from].clone();
                self.members[to].record_report(self.now, &name, report);
            }
        }
        for member in 0..self.schedule.members {
            if self.is_stalled(member) {
                continue;
            }
            let others: Vec<usize> =
                (0..self.schedule.members).filter(|o| *o != member && self.can_reach(member, *o)).collect();
            let of = |o: &usize| (self.names[*o].clone(), self.zones[self.home(*o)].clone());
            let view = FleetView {
                own_name: self.names[member].clone(),
                home: self.zones[self.home(member)].clone(),
                others: others.iter().map(of).collect(),
                share: 1_000_000 / self.schedule.members as u64,
            };
            let position = |m: &Zones, name: &str| m.state(name).map_or((0, TOP_STEP), |p| (p.epoch, p.step));
            let places: Vec<(u64, u8)> =
                self.zones.iter().map(|name| position(&self.members[member], name)).collect();
            let reports = self.members[member].evaluate(self.now, &view);
            let is_lying = self.schedule.has_fault(self.now, |f| f == Fault::Lies(member));
            for (index, (epoch, before)) in places.into_iter().enumerate() {
                let (later, step) = position(&self.members[member], &self.zones[index]);
                self.departures += usize::from(step < before && before == TOP_STEP && !is_lying);
                if env_number("SCHEDULE").is_some() && (later, step) != (epoch, before) {
                    let opinion = self.members[member].opinion(&self.zones[index]);
                    let reason = self.members[member].state(&self.zones[index]).map(|p| p.reason);
                    println!(
                        "{:>8} n{member} zone {index}: {before}@{epoch} to {step}@{later} {reason:?} {opinion:?}",
                        self.now / MS
                    );
                }
                if later < epoch {
                    self.violation =
                        Some(format!("n{member} went back from epoch {epoch} to {later} at {}", self.now));
                }
                // A lying member's own decisions are not checked.
                let liar = self.schedule.faults.iter().any(|(_, _, f)| *f == Fault::Lies(member));
                if before == 0 && step > 0 && !liar && self.unreachable(member, index) {
                    self.violation = Some(format!(
                        "n{member} returns to zone {index}, which no member has reached, at {}",
                        self.now
                    ));
                }
            }
            for (to, mut report) in reports {
                let to = self.names.iter().position(|name| *name == to).unwrap_or(0);
                if is_lying {
                    for word in &mut report.zones {
                        (word.opinion, word.step, word.answers) = (Opinion::Gone, (self.serial % 5) as u8, 9);
                        word.epoch = word.epoch.saturating_add(self.serial % 9);
                    }
                }
                if random_below(&mut self.rng, 100) < self.schedule.loss {
                    continue;
                }
                let due = self.now + 200 + random_below(&mut self.rng, 20 * MS);
                self.serial += 1;
                self.deliveries.push(Reverse((due, self.serial, member, to, report.encode())));
            }
            if random_below(&mut self.rng, 2) == 0 || self.schedule.members < 20 {
                self.request(member);
            }
        }
    }

    /// Returns whether no member of this member's group can have had an answer from the zone for two seconds.
    fn unreachable(&self, member: usize, zone: usize) -> bool {
        let inside = self.home(member) == zone;
        self.schedule.faults.iter().any(|(from, to, f)| {
            let shut = match f {
                Fault::Dead(index) | Fault::Silent(index) => *index == zone,
                Fault::Cut(index, _) => *index == zone && !inside,
                _ => false,
            };
            shut && *from + 2 * S <= self.now && self.now < *to
        })
    }

    fn slow_at(&self, zone: usize, at: u64) -> bool {
        self.schedule.has_fault(at, |f| f == Fault::Slow(zone) || f == Fault::Store)
    }

    /// Returns a description of a group whose members are at different steps, if any.
    fn divergence(&self) -> Option<String> {
        for (index, zone) in self.zones.iter().enumerate() {
            for inside in [false, true] {
                let group = (0..self.schedule.members).filter(|n| (self.home(*n) == index) == inside);
                let steps: Vec<u8> =
                    group.filter_map(|n| self.members[n].state(zone).map(|p| p.step)).collect();
                if steps.windows(2).any(|w| w[0] != w[1]) {
                    return Some(format!("{zone} inside {inside}: steps {steps:?}"));
                }
            }
        }
        None
    }

    /// Runs the schedule; returns the number of departures from a zone, or the violation.
    fn run(mut self) -> Result<usize, String> {
        let end = self.schedule.end();
        while self.now < end {
            self.step();
        }
        let (mut agreeing_since, healed) = (None, self.now);
        // All must be at the top step and agree for two seconds.
        while agreeing_since.is_none_or(|since| self.now < since + 2 * S) && self.violation.is_none() {
            self.step();
            let full = self
                .zones
                .iter()
                .all(|zone| self.members.iter().all(|m| m.state(zone).is_some_and(|p| p.step == TOP_STEP)));
            agreeing_since =
                if full && self.divergence().is_none() { agreeing_since.or(Some(self.now)) } else { None };
            if self.now > healed + AGREEMENT_BOUND && self.violation.is_none() {
                let steps: Vec<String> = self
                    .members
                    .iter_mut()
                    .enumerate()
                    .map(|(n, m)| {
                        let s: Vec<String> = m
                            .status(self.now)
                            .iter()
                            .map(|s| {
                                format!(
                                    "{}@{}{:?}/{:?}",
                                    s.state.step, s.state.epoch, s.state.reason, s.opinion
                                )
                            })
                            .collect();
                        format!("n{n}: {}", s.join(" "))
                    })
                    .collect();
                return Err(format!(
                    "members do not agree {AGREEMENT_BOUND} us after the last fault: {:?}\n{}",
                    self.divergence(),
                    steps.join("\n")
                ));
            }
        }
        self.check_capacity()?;
        self.violation.map_or(Ok(self.departures), Err)
    }

    /// Checks the gated traffic of each second to a zone whose workers restarted against their capacity.
    fn check_capacity(&self) -> Result<(), String> {
        let terms = terms();
        // Requests per second for a zone while traffic is not limited.
        let usual = (self.schedule.members as f64 / if self.schedule.members < 20 { 1.0 } else { 2.0 })
            * (S / STEP) as f64
            / self.schedule.zones as f64;
        for (zone, sent) in self.gate_sends.iter().enumerate() {
            let started_at = self.workers_started_at[zone];
            let after: Vec<u64> =
                sent.iter().copied().filter(|at| *at >= started_at && started_at > 0).collect();
            for from in &after {
                let count = after.iter().filter(|at| (*from..*from + S).contains(at)).count() as f64;
                let age = (*from + S - started_at).min(terms.warm) as f64 / terms.warm as f64;
                let share = 0.15 + 0.85 * age;
                // Workers collapse at twice their capacity; a burst of one request per member is added.
                let limit = 2.0 * usual * share * 1.5 + self.schedule.members as f64 + 20.0;
                if count > limit {
                    return Err(format!(
                        "zone {zone} got {count} requests in a second, limit {limit:.0}, at {from}"
                    ));
                }
            }
        }
        Ok(())
    }
}

/// Removes faults one by one as long as the schedule still fails.
fn shrink(mut schedule: Schedule, rules: SafetyRules) -> (Schedule, String) {
    let mut violation = Simulation::new(&schedule, rules).run().err().unwrap_or_default();
    let mut at = 0;
    while at < schedule.faults.len() {
        let mut less = schedule.clone();
        less.faults.remove(at);
        match Simulation::new(&less, rules).run() {
            Err(reason) if !less.faults.is_empty() => (schedule, violation) = (less, reason),
            _ => at += 1,
        }
    }
    (schedule, violation)
}

fn run_schedules(count: u64, first: u64, members: impl Fn(u64) -> usize + Sync) -> (usize, usize) {
    let (next, faultless, with_departures) = (AtomicU64::new(0), AtomicUsize::new(0), AtomicUsize::new(0));
    let threads = std::thread::available_parallelism().map_or(4, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let n = next.fetch_add(1, Ordering::Relaxed);
                    if n >= count {
                        return;
                    }
                    let schedule = Schedule::generate(first + n, members(n));
                    match Simulation::new(&schedule, SafetyRules::default()).run() {
                        Ok(departures) if schedule.without_zone_fault() => {
                            faultless.fetch_add(1, Ordering::Relaxed);
                            with_departures.fetch_add(usize::from(departures > 0), Ordering::Relaxed);
                            if departures > 0 {
                                println!("{departures} departures without a zone fault: {schedule:?}");
                            }
                        }
                        Ok(_) => {}
                        Err(_) => {
                            let (schedule, violation) = shrink(schedule, SafetyRules::default());
                            panic!("{violation}\n{schedule:?}");
                        }
                    }
                }
            });
        }
    });
    (faultless.into_inner(), with_departures.into_inner())
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|v| v.parse().ok())
}

#[test]
fn groups_agree_after_faults_heal_and_leave_no_zone_without_a_fault() {
    if let Some(seed) = env_number("SCHEDULE") {
        let schedule = Schedule::generate(seed, 6 + (seed % 7) as usize);
        println!("{schedule:?}\n{:?}", Simulation::new(&schedule, SafetyRules::default()).run());
        return;
    }
    let (faultless, with_departures) =
        run_schedules(env_number("SCHEDULES").unwrap_or(3_000), 0, |n| 6 + (n % 7) as usize);
    println!("{faultless} schedules without a zone fault, a zone was left in {with_departures} of them");
    assert!(with_departures * 100 <= faultless, "{with_departures} of {faultless}");
}

/// Takes minutes: `cargo test --release -p ochreward-zones --test schedules -- --ignored`.
#[test]
#[ignore = "minutes long"]
fn groups_of_100_and_300_members_agree_after_faults_heal() {
    let rounds = env_number("SCHEDULES").map_or(1, |n| n / 1_000 + 1);
    run_schedules(2 * rounds, 50_002, |_| 100);
    run_schedules(rounds, 60_000, |_| 300);
}

/// Guards against checks that cannot fail: with a rule disabled some schedule must violate them.
#[test]
fn each_disabled_safety_rule_is_detected() {
    for (fault, rules) in [
        ("a step up without answers", SafetyRules { require_answers: false, ..SafetyRules::default() }),
        ("a past epoch followed", SafetyRules { check_epochs: false, ..SafetyRules::default() }),
    ] {
        let found = (0..400).find(|seed| {
            let schedule = Schedule::generate(*seed, 6 + (*seed % 7) as usize);
            Simulation::new(&schedule, rules).run().is_err()
        });
        assert!(found.is_some(), "{fault} is not detected");
        println!("{fault}: detected by seed {found:?}");
    }
}
