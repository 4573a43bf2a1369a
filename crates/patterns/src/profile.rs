//! The profile of one pattern: the probability of each function in its sessions, and the mean time of its first call. A
//! profile holds at most [`MAX_STEPS`] functions.

use crate::{FunctionId, MAX_STEPS, Micros};
use serde::{Deserialize, Serialize};

/// The probability of a function that a pattern does not contain, relative to the function's overall probability. It
/// allows for calls that belong to no pattern.
const UNKNOWN_FUNCTION_RATIO: f64 = 0.4;
/// The weight, in sessions, of the prior that a step occurs in half of the sessions.
const PRIOR_SESSIONS: f64 = 0.6;
/// The upper bound of a step's probability when its absence from a session is scored, since any step may be omitted.
const MAX_ABSENT_STEP_CHANCE: f64 = 0.85;
/// The maximum weight of a profile in sessions. Above it the counts are scaled down, so that recent sessions count.
const MAX_WEIGHT: f32 = 50.0;
/// The cosine similarity from which two profiles are the same pattern.
const MIN_SIMILARITY: f64 = 0.6;
/// The probability from which a function is a core step of a pattern.
const MIN_CORE_CHANCE: f64 = 0.2;

/// A function in a pattern.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The function.
    pub function: FunctionId,
    /// The decayed number of sessions in which it was called.
    pub weight: f32,
    /// The time of its first call in milliseconds from the start of the session, as a recency-weighted mean.
    pub at_ms: f32,
}

/// A pattern with its steps.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Profile {
    /// The number of the pattern, assigned by the dispatcher that created it. Numbers of different dispatchers are
    /// unrelated.
    pub id: u64,
    /// The decayed number of its sessions.
    pub weight: f32,
    /// Its steps, ordered by function.
    pub steps: Vec<Step>,
}

impl Profile {
    /// Returns a profile of one session, given each function with the time of its first call.
    pub fn new(id: u64, calls: &[(FunctionId, Micros)]) -> Profile {
        let mut profile = Profile { id, ..Profile::default() };
        profile.add(calls, 1.0);
        profile
    }

    /// Multiplies all counts by a factor.
    pub fn decay(&mut self, factor: f32) {
        self.weight *= factor;
        self.steps.iter_mut().for_each(|s| s.weight *= factor);
    }

    /// Adds a session's calls with the weight `count`.
    pub fn add(&mut self, calls: &[(FunctionId, Micros)], count: f32) {
        self.weight += count;
        for (function, at) in calls {
            self.add_step(Step { function: *function, weight: count, at_ms: *at as f32 / 1e3 });
        }
        self.limit_weight();
    }

    fn limit_weight(&mut self) {
        if self.weight > MAX_WEIGHT {
            self.decay(MAX_WEIGHT / self.weight);
        }
    }

    fn add_step(&mut self, new: Step) {
        match self.steps.binary_search_by_key(&new.function, |s| s.function) {
            Ok(index) => {
                let step = &mut self.steps[index];
                step.weight += new.weight;
                let share = (new.weight / step.weight).clamp(0.0, 1.0);
                step.at_ms += share * (new.at_ms - step.at_ms);
            }
            Err(index) => {
                self.steps.insert(index, new);
                if self.steps.len() > MAX_STEPS {
                    // The new step has the smallest weight. If it could be evicted, a full profile would never learn a new
                    // function.
                    let candidates =
                        self.steps.iter().enumerate().filter(|(_, s)| s.function != new.function);
                    let lightest =
                        candidates.min_by(|a, b| a.1.weight.total_cmp(&b.1.weight)).map(|(index, _)| index);
                    if let Some(index) = lightest {
                        self.steps.remove(index);
                    }
                }
            }
        }
    }

    /// Adds the sessions of another profile to this one.
    pub fn merge(&mut self, other: &Profile) {
        self.weight += other.weight;
        other.steps.iter().for_each(|s| self.add_step(*s));
        self.limit_weight();
    }

    /// Returns the probability that the step occurs in a session of this pattern.
    pub fn chance(&self, step: &Step) -> f64 {
        let (occurrences, sessions) = (f64::from(step.weight), f64::from(self.weight));
        ((occurrences + 0.5 * PRIOR_SESSIONS) / (sessions + PRIOR_SESSIONS)).clamp(0.01, 0.99)
    }

    /// Returns the steps that are more than occasional.
    pub fn core_steps(&self) -> impl Iterator<Item = &Step> {
        self.steps.iter().filter(|s| self.chance(s) >= MIN_CORE_CHANCE)
    }

    /// Returns the log-likelihood ratio of the calls under this pattern against all sessions, where `overall` returns a
    /// function's overall probability. Steps that were not called count against the pattern only if the session has
    /// `ended`, since an open session may still call them.
    pub fn log_likelihood_ratio(
        &self,
        calls: &[(FunctionId, Micros)],
        ended: bool,
        overall: impl Fn(FunctionId) -> f64,
    ) -> f64 {
        let mut sum = 0.0;
        for (function, _) in calls {
            sum += match self.steps.binary_search_by_key(function, |s| s.function) {
                Ok(index) => {
                    let overall_chance = overall(*function);
                    let chance = self.chance(&self.steps[index]).max(UNKNOWN_FUNCTION_RATIO * overall_chance);
                    (chance / overall_chance).ln()
                }
                Err(_) => UNKNOWN_FUNCTION_RATIO.ln(),
            };
        }
        if ended {
            let absent = |s: &&Step| !calls.iter().any(|(function, _)| *function == s.function);
            sum += self
                .steps
                .iter()
                .filter(absent)
                .map(|s| (1.0 - self.chance(s).min(MAX_ABSENT_STEP_CHANCE)).ln())
                .sum::<f64>();
        }
        sum
    }

    /// Returns whether two profiles are the same pattern, by the cosine similarity of their step probabilities.
    pub fn is_similar(&self, other: &Profile) -> bool {
        let (mut dot_product, mut own_square, mut other_square) = (0.0, 0.0, 0.0);
        for step in &self.steps {
            let chance = self.chance(step);
            own_square += chance * chance;
            if let Ok(index) = other.steps.binary_search_by_key(&step.function, |s| s.function) {
                dot_product += chance * other.chance(&other.steps[index]);
            }
        }
        for step in &other.steps {
            other_square += other.chance(step).powi(2);
        }
        own_square > 0.0
            && other_square > 0.0
            && dot_product / (own_square * other_square).sqrt() >= MIN_SIMILARITY
    }

    /// Returns whether the profile can be the result of counting; a profile from a peer may hold any values.
    pub(crate) fn is_plausible(&self) -> bool {
        let valid = |value: f32| value.is_finite() && (0.0..=1e9).contains(&value);
        let ordered = self.steps.windows(2).all(|pair| pair[0].function < pair[1].function);
        let steps =
            self.steps.iter().all(|s| valid(s.weight) && valid(s.at_ms) && s.weight <= self.weight * 1.01);
        ordered && steps && valid(self.weight) && self.steps.len() <= MAX_STEPS
    }
}
