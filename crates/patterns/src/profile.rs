//! One pattern: how often each function was called in its sessions, and when.

use crate::{Function, MOST_STEPS, Micros};
use serde::{Deserialize, Serialize};

/// Of a function that a pattern has never seen, its chance there is this share of its chance anywhere: calls that belong to nothing.
const STRAY: f64 = 0.4;
/// What is held of a step before it was seen often: so many sessions in which it came half of the time.
const PRIOR: f64 = 0.6;
/// A step that is missing from a session counts as if it came no more often than this: any may be left out.
const OPTIONAL: f64 = 0.85;
/// A pattern remembers about so many of its last sessions, however many there were: what it has become counts, not what it was.
const MEMORY: f32 = 50.0;
/// Two profiles whose angle's cosine is over this are one pattern.
const ALIKE: f64 = 0.6;
/// A function counts as one of the pattern's steps from this chance on.
const STEP: f64 = 0.2;

/// A function in a pattern.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The function.
    pub function: Function,
    /// Sessions in which it was called, faded.
    pub weight: f32,
    /// When it was first called, in milliseconds from the session's beginning: the mean of late.
    pub at_ms: f32,
}

/// A pattern, steps by function.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Profile {
    /// Its number, that of the session it began with; the numbers of different dispatchers tell nothing of each other.
    pub id: u64,
    /// Its sessions, faded.
    pub weight: f32,
    /// Its functions, in the order of their numbers.
    pub steps: Vec<Step>,
}

impl Profile {
    /// One that begins with these calls: each function, and when it was first called.
    pub fn begin(id: u64, calls: &[(Function, Micros)]) -> Profile {
        let mut profile = Profile { id, ..Profile::default() };
        profile.add(calls, 1.0);
        profile
    }

    /// All that it has counted fades by this factor.
    pub fn fade(&mut self, factor: f32) {
        self.weight *= factor;
        self.steps.iter_mut().for_each(|s| s.weight *= factor);
    }

    /// Counts a session's calls.
    pub fn add(&mut self, calls: &[(Function, Micros)], count: f32) {
        self.weight += count;
        for (function, at) in calls {
            self.step(Step { function: *function, weight: count, at_ms: *at as f32 / 1e3 });
        }
        self.remember();
    }

    fn remember(&mut self) {
        if self.weight > MEMORY {
            self.fade(MEMORY / self.weight);
        }
    }

    fn step(&mut self, new: Step) {
        match self.steps.binary_search_by_key(&new.function, |s| s.function) {
            Ok(place) => {
                let step = &mut self.steps[place];
                step.weight += new.weight;
                let share = (new.weight / step.weight).clamp(0.0, 1.0);
                step.at_ms += share * (new.at_ms - step.at_ms);
            }
            Err(place) => {
                self.steps.insert(place, new);
                if self.steps.len() > MOST_STEPS {
                    // Danger: the newest has been seen least; were it always the one to go, nothing new would ever be learned.
                    let old = self.steps.iter().enumerate().filter(|(_, s)| s.function != new.function);
                    let least = old.min_by(|a, b| a.1.weight.total_cmp(&b.1.weight)).map(|(n, _)| n);
                    if let Some(place) = least {
                        self.steps.remove(place);
                    }
                }
            }
        }
    }

    /// Takes another's sessions as its own.
    pub fn absorb(&mut self, other: &Profile) {
        self.weight += other.weight;
        other.steps.iter().for_each(|s| self.step(*s));
        self.remember();
    }

    /// The chance that a function is called in one of its sessions.
    pub fn chance(&self, step: &Step) -> f64 {
        let (yes, all) = (f64::from(step.weight), f64::from(self.weight));
        ((yes + 0.5 * PRIOR) / (all + PRIOR)).clamp(0.01, 0.99)
    }

    /// Its steps that come more than now and then.
    pub fn core(&self) -> impl Iterator<Item = &Step> {
        self.steps.iter().filter(|s| self.chance(s) >= STEP)
    }

    /// How much more likely these calls are here than anywhere, as a logarithm; `anywhere` is the chance that any call is of a function.
    /// Of a session that goes on, what was not called yet tells little: `over` says whether it counts.
    pub fn tells(&self, calls: &[(Function, Micros)], over: bool, anywhere: impl Fn(Function) -> f64) -> f64 {
        let mut sum = 0.0;
        for (function, _) in calls {
            sum += match self.steps.binary_search_by_key(function, |s| s.function) {
                Ok(place) => {
                    let usual = anywhere(*function);
                    (self.chance(&self.steps[place]).max(STRAY * usual) / usual).ln()
                }
                Err(_) => STRAY.ln(),
            };
        }
        if over {
            let called = |s: &&Step| !calls.iter().any(|(f, _)| *f == s.function);
            sum += self
                .steps
                .iter()
                .filter(called)
                .map(|s| (1.0 - self.chance(s).min(OPTIONAL)).ln())
                .sum::<f64>();
        }
        sum
    }

    /// Whether two are one pattern: the cosine of their chances.
    pub fn is_like(&self, other: &Profile) -> bool {
        let (mut both, mut own, mut theirs) = (0.0, 0.0, 0.0);
        for step in &self.steps {
            let chance = self.chance(step);
            own += chance * chance;
            if let Ok(place) = other.steps.binary_search_by_key(&step.function, |s| s.function) {
                both += chance * other.chance(&other.steps[place]);
            }
        }
        for step in &other.steps {
            theirs += other.chance(step).powi(2);
        }
        own > 0.0 && theirs > 0.0 && both / (own * theirs).sqrt() >= ALIKE
    }

    /// Whether it could have been counted: peers may say anything.
    pub(crate) fn sane(&self) -> bool {
        let number = |n: f32| n.is_finite() && (0.0..=1e9).contains(&n);
        let ordered = self.steps.windows(2).all(|w| w[0].function < w[1].function);
        let steps =
            self.steps.iter().all(|s| number(s.weight) && number(s.at_ms) && s.weight <= self.weight * 1.01);
        ordered && steps && number(self.weight) && self.steps.len() <= MOST_STEPS
    }
}
