//! The staged rollout of one version: a canary, then waves. All instances of a wave must answer and then pass a period of
//! observation before the next wave begins.
//!
//! Given the connected instances and their answers, [`Rollout::next`] returns the next transition. It uses no clock and no
//! disk. A transition is recorded in the log before it takes effect, so that a service that was killed continues from its
//! records and neither skips nor repeats the wave in progress.

use ochreward_stream::Digest;
use std::collections::{BTreeMap, BTreeSet};

/// The number of instance names given in the reason of a halt.
const MAX_NAMES_SHOWN: usize = 5;

/// The parameters of rollouts.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutPlan {
    /// The first wave: the instances with this label and value.
    pub canary: Option<(String, String)>,
    /// The cumulative shares of the remaining instances in each further wave, rising to 1.
    pub waves: Vec<f64>,
    /// The time within which all instances of a wave must answer, in microseconds. It also bounds how long an instance
    /// under observation may be silent.
    pub answer_timeout_us: u64,
    /// The time for which a wave is observed, in microseconds.
    pub observation_us: u64,
}

impl Default for RolloutPlan {
    /// Returns a plan without canary: a quarter, then all; 10 s to answer, 15 s of observation.
    fn default() -> RolloutPlan {
        RolloutPlan {
            canary: None,
            waves: vec![0.25, 1.0],
            answer_timeout_us: 10_000_000,
            observation_us: 15_000_000,
        }
    }
}

/// The phase of a rollout.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// No wave has begun.
    Pending,
    /// The version is being offered to the current wave.
    Offering {
        /// The start of the wave, in microseconds.
        since: u64,
    },
    /// The wave has answered and is under observation.
    Watching {
        /// The end of the observation, in microseconds.
        until: u64,
    },
    /// The rollout halted until an operator resumes it or publishes another version.
    Halted {
        /// The reason.
        why: String,
    },
    /// All waves are complete.
    Done,
}

/// The outcome of the version on one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InstanceOutcome {
    /// The instance runs the version.
    Running,
    /// The instance rejected the version or rolled it back, for this reason.
    Refused(String),
}

/// The next step of a rollout.
#[derive(Clone, Debug, PartialEq)]
pub enum Transition {
    /// Begin the wave with this index and these members.
    Wave(usize, BTreeSet<String>),
    /// Observe the wave with this index: all its members have answered.
    Watch(usize),
    /// Halt, for this reason.
    Halt(String),
    /// Complete the rollout.
    Done,
}

/// What a rollout needs to know of an instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InstanceView {
    /// The instance labels.
    pub labels: BTreeMap<String, String>,
    /// Whether the instance is connected.
    pub connected: bool,
    /// The time of its last message, in microseconds.
    pub last_heard: u64,
}

/// The rollout of a version.
#[derive(Clone, Debug, PartialEq)]
pub struct Rollout {
    /// The version's number.
    pub number: u64,
    /// Whether all instances form a single wave, without canary.
    pub at_once: bool,
    /// The current phase.
    pub phase: Phase,
    /// The waves that have begun.
    pub waves: Vec<BTreeSet<String>>,
    /// The outcome on each instance that has answered.
    pub outcomes: BTreeMap<String, InstanceOutcome>,
    /// Instances whose refusal is ignored since the rollout was resumed.
    pub excluded: BTreeSet<String>,
    /// No wave begins before this time, in microseconds. After a restart of the service not all instances have
    /// reconnected yet, and a wave formed from the connected ones would leave the others out.
    pub hold_until: u64,
}

impl Rollout {
    /// Creates a rollout in which no wave has begun.
    pub fn new(number: u64, at_once: bool) -> Rollout {
        Rollout {
            number,
            at_once,
            phase: Phase::Pending,
            waves: Vec::new(),
            outcomes: BTreeMap::new(),
            excluded: BTreeSet::new(),
            hold_until: 0,
        }
    }

    /// Returns the number of waves, including the canary's.
    pub fn wave_count(&self, plan: &RolloutPlan) -> usize {
        if self.at_once { 1 } else { plan.waves.len() + usize::from(plan.canary.is_some()) }
    }

    /// Returns whether the instance is to run the version: it is in a wave that has begun, or the last wave has begun.
    pub fn covers(&self, plan: &RolloutPlan, instance: &str) -> bool {
        match self.phase {
            Phase::Pending => false,
            Phase::Halted { .. } => false,
            Phase::Done => true,
            Phase::Offering { .. } | Phase::Watching { .. } => {
                self.waves.len() == self.wave_count(plan)
                    || self.waves.iter().any(|members| members.contains(instance))
            }
        }
    }

    /// Returns the members of a wave, chosen from the connected instances. Their order is a hash of the version's number
    /// and the instance name: it is stable for one version and differs between versions, so that no part of the fleet
    /// always goes first.
    fn members(
        &self,
        plan: &RolloutPlan,
        wave: usize,
        fleet: &BTreeMap<String, InstanceView>,
    ) -> BTreeSet<String> {
        let connected = fleet.iter().filter(|(_, s)| s.connected);
        if self.at_once {
            return connected.map(|(name, _)| name.clone()).collect();
        }
        let is_canary = |view: &InstanceView| {
            plan.canary.as_ref().is_some_and(|(label, value)| view.labels.get(label) == Some(value))
        };
        if plan.canary.is_some() && wave == 0 {
            return connected.filter(|(_, view)| is_canary(view)).map(|(name, _)| name.clone()).collect();
        }
        let mut rest: Vec<(Digest, &String)> = connected
            .filter(|(_, view)| !is_canary(view))
            .map(|(name, _)| (Digest::of(&format!("{}/{name}", self.number)), name))
            .collect();
        rest.sort();
        let share = plan.waves.get(wave - usize::from(plan.canary.is_some())).copied().unwrap_or(1.0);
        let end = (rest.len() as f64 * share).ceil() as usize;
        let earlier: BTreeSet<&String> = self.waves.iter().flatten().collect();
        let names = rest.into_iter().take(end).map(|(_, name)| name);
        names.filter(|name| !earlier.contains(name)).cloned().collect()
    }

    /// Returns the next transition, if one is due now.
    pub fn next(
        &self,
        now: u64,
        plan: &RolloutPlan,
        fleet: &BTreeMap<String, InstanceView>,
    ) -> Option<Transition> {
        let begun: BTreeSet<&String> = self.waves.iter().flatten().collect();
        let refused = self.outcomes.iter().find_map(|(name, outcome)| match outcome {
            InstanceOutcome::Refused(why) if !self.excluded.contains(name) => {
                Some(format!("{name} refused: {why}"))
            }
            _ => None,
        });
        match &self.phase {
            Phase::Halted { .. } | Phase::Done => None,
            _ if refused.is_some() => refused.map(Transition::Halt),
            Phase::Pending if now < self.hold_until => None,
            Phase::Pending => Some(Transition::Wave(0, self.members(plan, 0, fleet))),
            Phase::Offering { since } => {
                let members = self.waves.last()?;
                let missing: Vec<&String> =
                    members.iter().filter(|name| !self.outcomes.contains_key(*name)).collect();
                if missing.is_empty() {
                    return Some(Transition::Watch(self.waves.len() - 1));
                }
                let timed_out = now >= since + plan.answer_timeout_us;
                timed_out.then(|| Transition::Halt(format!("no answer from {}", join_names(missing))))
            }
            Phase::Watching { until } => {
                let is_silent = |name: &&&String| {
                    self.outcomes.get(**name) == Some(&InstanceOutcome::Running)
                        && now >= self.hold_until
                        && fleet
                            .get(**name)
                            .is_none_or(|view| now >= view.last_heard + plan.answer_timeout_us)
                };
                let silent: Vec<&String> = begun.iter().filter(is_silent).copied().collect();
                if !silent.is_empty() {
                    return Some(Transition::Halt(format!("no sign of life from {}", join_names(silent))));
                }
                if now < (*until).max(self.hold_until) {
                    return None;
                }
                let next_wave = self.waves.len();
                if next_wave >= self.wave_count(plan) {
                    return Some(Transition::Done);
                }
                Some(Transition::Wave(next_wave, self.members(plan, next_wave, fleet)))
            }
        }
    }

    /// Applies the record that a wave began. A record of a wave that is already known has no effect.
    pub fn wave_began(&mut self, now: u64, wave: usize, members: BTreeSet<String>) {
        if wave == self.waves.len() {
            self.waves.push(members);
            self.phase = Phase::Offering { since: now };
        }
    }

    /// Applies the record that a wave is under observation.
    pub fn watched(&mut self, now: u64, plan: &RolloutPlan) {
        self.phase = Phase::Watching { until: now + plan.observation_us };
    }

    /// Applies the record that the rollout halted.
    pub fn halted(&mut self, why: String) {
        self.phase = Phase::Halted { why };
    }

    /// Applies the record that the rollout was resumed: instances that refused are excluded, and the current wave is
    /// offered the version again.
    pub fn resumed(&mut self, now: u64) {
        let refused =
            self.outcomes.iter().filter(|(_, outcome)| matches!(outcome, InstanceOutcome::Refused(_)));
        self.excluded.extend(refused.map(|(name, _)| name.clone()));
        self.phase = if self.waves.is_empty() { Phase::Pending } else { Phase::Offering { since: now } };
    }

    /// Applies the record of an instance's answer.
    pub fn answered(&mut self, instance: &str, outcome: InstanceOutcome) {
        self.outcomes.insert(instance.to_string(), outcome);
    }

    /// Restarts the time limits after a restart of the service, during which no instance could answer.
    pub fn restarted(&mut self, now: u64, plan: &RolloutPlan) {
        self.hold_until = now + plan.answer_timeout_us;
        match &mut self.phase {
            Phase::Offering { since } => *since = now,
            Phase::Watching { until } => *until = now + plan.observation_us,
            _ => {}
        }
    }

    /// Reports which instances changed to the version, which did not, and for which that is unknown.
    pub fn report(&self, fleet: &BTreeMap<String, InstanceView>) -> RolloutReport {
        let mut report = RolloutReport::default();
        let begun: BTreeSet<&String> = self.waves.iter().flatten().collect();
        for (name, view) in fleet {
            match self.outcomes.get(name) {
                Some(InstanceOutcome::Running) => report.changed.push(name.clone()),
                Some(InstanceOutcome::Refused(why)) => report.refused.push((name.clone(), why.clone())),
                None if begun.contains(name) || !view.connected => report.unknown.push(name.clone()),
                None => report.unchanged.push(name.clone()),
            }
        }
        report
    }
}

/// The instances of the fleet by their state in a rollout.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutReport {
    /// Instances that run the version.
    pub changed: Vec<String>,
    /// Instances that rejected the version or rolled it back, with the reason.
    pub refused: Vec<(String, String)>,
    /// Connected instances that have not been offered the version.
    pub unchanged: Vec<String>,
    /// Instances that were offered the version and have not answered, or are disconnected.
    pub unknown: Vec<String>,
}

/// Joins names for a message; beyond a few, only their number is given.
fn join_names(mut list: Vec<&String>) -> String {
    let more = list.len().saturating_sub(MAX_NAMES_SHOWN);
    list.truncate(MAX_NAMES_SHOWN);
    let shown = list.iter().map(|n| n.as_str()).collect::<Vec<_>>().join(", ");
    if more > 0 { format!("{shown} and {more} more") } else { shown }
}

#[cfg(test)]
mod tests;
