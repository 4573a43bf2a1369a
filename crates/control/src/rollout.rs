//! The staged rollout of one version: a canary, then waves, each of which must answer and then stand a watch.
//!
//! Told who is there and what they answered, it says what happens next. It has no clock and no disk; what it decides
//! becomes a record before it counts, and a service that was killed goes on from its records: the wave that was under
//! way is neither skipped nor begun again.

use ochreward_stream::Digest;
use std::collections::{BTreeMap, BTreeSet};

/// How versions are rolled out.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The first wave: instances with this label and value.
    pub canary: Option<(String, String)>,
    /// Shares of the rest, rising to 1.
    pub waves: Vec<f64>,
    /// All of a wave must have answered within this time, in microseconds.
    pub answer: u64,
    /// A wave is watched for this long, in microseconds.
    pub watch: u64,
}

impl Default for Plan {
    /// A quarter, then all; 10 s to answer, 15 s of watch.
    fn default() -> Plan {
        Plan { canary: None, waves: vec![0.25, 1.0], answer: 10_000_000, watch: 15_000_000 }
    }
}

/// Where a rollout stands.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// No wave has begun.
    Begun,
    /// The wave was offered the version, counted from then.
    Offering {
        /// Since then.
        since: u64,
    },
    /// The wave runs the version and is watched until then.
    Watching {
        /// Until then.
        until: u64,
    },
    /// It stopped.
    Halted {
        /// Why.
        why: String,
    },
    /// All waves have passed.
    Done,
}

/// What an instance made of the version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Made {
    /// It runs it.
    Runs,
    /// It turned it down or gave it up.
    Refused(String),
}

/// What happens next.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// A wave begins with these members.
    Wave(usize, BTreeSet<String>),
    /// The wave is complete, and is watched.
    Watch(usize),
    /// Stop.
    Halt(String),
    /// All is done.
    Done,
}

/// An instance, as the rollout sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Seen {
    /// Its labels.
    pub labels: BTreeMap<String, String>,
    /// It is connected.
    pub connected: bool,
    /// When it was last heard, in microseconds.
    pub heard: u64,
}

/// The rollout of a version.
#[derive(Clone, Debug, PartialEq)]
pub struct Rollout {
    /// The version's number.
    pub number: u64,
    /// All at once.
    pub at_once: bool,
    /// Where it stands.
    pub phase: Phase,
    /// The waves that have begun.
    pub waves: Vec<BTreeSet<String>>,
    /// What instances made of it.
    pub made: BTreeMap<String, Made>,
    /// Refusals that a resumption leaves aside.
    pub excused: BTreeSet<String>,
    /// No wave begins before this time: a service that has just started has not heard from everybody yet, and a wave
    /// made of those who are there would leave the others out.
    pub hold_until: u64,
}

impl Rollout {
    /// A rollout that begins.
    pub fn new(number: u64, at_once: bool) -> Rollout {
        let (waves, made, excused) = (Vec::new(), BTreeMap::new(), BTreeSet::new());
        Rollout { number, at_once, phase: Phase::Begun, waves, made, excused, hold_until: 0 }
    }

    /// The number of waves, the canary's among them.
    pub fn total(&self, plan: &Plan) -> usize {
        if self.at_once { 1 } else { plan.waves.len() + usize::from(plan.canary.is_some()) }
    }

    /// Whether the instance is to run the version: it is in a wave that has begun, or came after the last one had.
    pub fn covers(&self, plan: &Plan, instance: &str) -> bool {
        match self.phase {
            Phase::Begun => false,
            Phase::Halted { .. } => false,
            Phase::Done => true,
            Phase::Offering { .. } | Phase::Watching { .. } => {
                self.waves.len() == self.total(plan) || self.waves.iter().any(|w| w.contains(instance))
            }
        }
    }

    /// Who the next wave is made of: those that are there now. The same instances come to the same places of the
    /// order for one version, and to others for the next, so that no part of the fleet always goes first.
    fn members(&self, plan: &Plan, wave: usize, fleet: &BTreeMap<String, Seen>) -> BTreeSet<String> {
        let there = fleet.iter().filter(|(_, s)| s.connected);
        if self.at_once {
            return there.map(|(name, _)| name.clone()).collect();
        }
        let canary = |seen: &Seen| {
            plan.canary.as_ref().is_some_and(|(label, value)| seen.labels.get(label) == Some(value))
        };
        if plan.canary.is_some() && wave == 0 {
            return there.filter(|(_, s)| canary(s)).map(|(name, _)| name.clone()).collect();
        }
        let mut rest: Vec<(Digest, &String)> = there
            .filter(|(_, s)| !canary(s))
            .map(|(name, _)| (Digest::of(&format!("{}/{name}", self.number)), name))
            .collect();
        rest.sort();
        let share = plan.waves.get(wave - usize::from(plan.canary.is_some())).copied().unwrap_or(1.0);
        let upto = (rest.len() as f64 * share).ceil() as usize;
        let before: BTreeSet<&String> = self.waves.iter().flatten().collect();
        let names = rest.into_iter().take(upto).map(|(_, name)| name);
        names.filter(|name| !before.contains(name)).cloned().collect()
    }

    /// What happens next, if anything does at this moment.
    pub fn next(&self, now: u64, plan: &Plan, fleet: &BTreeMap<String, Seen>) -> Option<Next> {
        let begun: BTreeSet<&String> = self.waves.iter().flatten().collect();
        let refused = self.made.iter().find_map(|(name, made)| match made {
            Made::Refused(why) if !self.excused.contains(name) => Some(format!("{name} refused: {why}")),
            _ => None,
        });
        match &self.phase {
            Phase::Halted { .. } | Phase::Done => None,
            _ if refused.is_some() => refused.map(Next::Halt),
            Phase::Begun if now < self.hold_until => None,
            Phase::Begun => Some(Next::Wave(0, self.members(plan, 0, fleet))),
            Phase::Offering { since } => {
                let last = self.waves.last()?;
                let missing: Vec<&String> =
                    last.iter().filter(|name| !self.made.contains_key(*name)).collect();
                if missing.is_empty() {
                    return Some(Next::Watch(self.waves.len() - 1));
                }
                let late = now >= since + plan.answer;
                late.then(|| Next::Halt(format!("no answer from {}", names(missing))))
            }
            Phase::Watching { until } => {
                let silent = |name: &&&String| {
                    self.made.get(**name) == Some(&Made::Runs)
                        && now >= self.hold_until
                        && fleet.get(**name).is_none_or(|s| now >= s.heard + plan.answer)
                };
                let silent: Vec<&String> = begun.iter().filter(silent).copied().collect();
                if !silent.is_empty() {
                    return Some(Next::Halt(format!("no sign of life from {}", names(silent))));
                }
                if now < (*until).max(self.hold_until) {
                    return None;
                }
                let next = self.waves.len();
                if next >= self.total(plan) {
                    return Some(Next::Done);
                }
                Some(Next::Wave(next, self.members(plan, next, fleet)))
            }
        }
    }

    /// A record says that a wave began.
    pub fn wave_began(&mut self, now: u64, wave: usize, members: BTreeSet<String>) {
        if wave == self.waves.len() {
            self.waves.push(members);
            self.phase = Phase::Offering { since: now };
        }
    }

    /// A record says that a wave is watched.
    pub fn watched(&mut self, now: u64, plan: &Plan) {
        self.phase = Phase::Watching { until: now + plan.watch };
    }

    /// A record says that it stopped.
    pub fn halted(&mut self, why: String) {
        self.phase = Phase::Halted { why };
    }

    /// A record says that it goes on: those who refused are left aside, the rest of the wave is offered again.
    pub fn resumed(&mut self, now: u64) {
        let refused = self.made.iter().filter(|(_, made)| matches!(made, Made::Refused(_)));
        self.excused.extend(refused.map(|(name, _)| name.clone()));
        self.phase = if self.waves.is_empty() { Phase::Begun } else { Phase::Offering { since: now } };
    }

    /// A record says what an instance made of it.
    pub fn answered(&mut self, instance: &str, made: Made) {
        self.made.insert(instance.to_string(), made);
    }

    /// The service starts anew: times begin again, since nobody was heard meanwhile.
    pub fn restarted(&mut self, now: u64, plan: &Plan) {
        self.hold_until = now + plan.answer;
        match &mut self.phase {
            Phase::Offering { since } => *since = now,
            Phase::Watching { until } => *until = now + plan.watch,
            _ => {}
        }
    }

    /// Who changed, who did not, and of whom that is not known.
    pub fn report(&self, fleet: &BTreeMap<String, Seen>) -> Report {
        let mut report = Report::default();
        let begun: BTreeSet<&String> = self.waves.iter().flatten().collect();
        for (name, seen) in fleet {
            match self.made.get(name) {
                Some(Made::Runs) => report.changed.push(name.clone()),
                Some(Made::Refused(why)) => report.refused.push((name.clone(), why.clone())),
                None if begun.contains(name) || !seen.connected => report.unknown.push(name.clone()),
                None => report.unchanged.push(name.clone()),
            }
        }
        report
    }
}

/// Where the instances stand in a rollout.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// They run the version.
    pub changed: Vec<String>,
    /// They turned it down or gave it up.
    pub refused: Vec<(String, String)>,
    /// They were not asked, and run what they ran.
    pub unchanged: Vec<String>,
    /// They were asked and did not answer, or are away.
    pub unknown: Vec<String>,
}

fn names(mut list: Vec<&String>) -> String {
    let more = list.len().saturating_sub(5);
    list.truncate(5);
    let shown = list.iter().map(|n| n.as_str()).collect::<Vec<_>>().join(", ");
    if more > 0 { format!("{shown} and {more} more") } else { shown }
}

#[cfg(test)]
mod tests;
