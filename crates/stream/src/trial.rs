//! The guarded trial: whether a version that was just taken into use makes things worse.
//!
//! The share of final answers that are refused or failed is compared with the time before: the last window ahead of
//! the trial, as long as the trial itself. It counts as worse where it grew by more than the margin, where that is no
//! accident (three standard deviations of the difference of two shares), and where it says so twice in a row: one
//! bad moment returns nothing. A version that was given up stays refused, so that nothing flips to and fro.

use crate::wire::Health;
use std::collections::VecDeque;

/// Samples in a window.
const SAMPLES: u64 = 10;
/// Looks in a row that must say the same.
const STRIKES: u32 = 2;
/// Standard deviations that make a difference.
const DEVIATIONS: f64 = 3.0;

/// How trials go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// How long a trial lasts, in microseconds; 0: there is none.
    pub length: u64,
    /// By how much the share of bad answers may grow.
    pub margin: f64,
    /// Fewer answers than this say nothing.
    pub least: u64,
}

/// What came of a trial.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The version is good.
    Passed,
    /// Too little happened to tell; the version is kept.
    Untested,
    /// The shares before and after, and the answers since.
    Worse {
        /// Bad answers before, as a share.
        before: f64,
        /// Bad answers since.
        after: f64,
        /// All answers since.
        answers: u64,
    },
}

struct Watch {
    until: u64,
    start: Health,
    before: Health,
    strikes: u32,
}

/// Keeps the time before, and watches the trial.
pub struct Guard {
    rules: Rules,
    samples: VecDeque<Health>,
    next: u64,
    watch: Option<Watch>,
}

fn since(now: Health, then: Health) -> Health {
    Health { answers: now.answers.saturating_sub(then.answers), bad: now.bad.saturating_sub(then.bad) }
}

fn share(health: Health) -> f64 {
    health.bad as f64 / health.answers.max(1) as f64
}

/// Whether the second share is larger by more than the margin, and by no accident.
fn worse(before: Health, after: Health, margin: f64) -> bool {
    let grown = share(after) - share(before) - margin;
    let (n, m) = (before.answers as f64, after.answers as f64);
    let pooled = (before.bad + after.bad) as f64 / (n + m);
    let deviation = (pooled * (1.0 - pooled) * (1.0 / n + 1.0 / m)).sqrt();
    grown > 0.0 && share(after) - share(before) > DEVIATIONS * deviation
}

impl Guard {
    /// Nothing is on trial.
    pub fn new(rules: Rules) -> Guard {
        Guard { rules, samples: VecDeque::new(), next: 0, watch: None }
    }

    /// Whether a version is on trial.
    pub fn watches(&self) -> bool {
        self.watch.is_some()
    }

    /// A version was just taken into use. One that takes the place of another on trial is held against the time
    /// before that one: else each would excuse the next.
    pub fn begin(&mut self, now: u64, health: Health) {
        let before = match &self.watch {
            Some(watch) => watch.before,
            None => since(health, self.samples.front().copied().unwrap_or(health)),
        };
        self.watch = Some(Watch { until: now + self.rules.length, start: health, before, strikes: 0 });
    }

    /// The trial ends without a verdict.
    pub fn abandon(&mut self) {
        self.watch = None;
        self.samples.clear();
    }

    /// When `look` next has something to do.
    pub fn due(&self) -> u64 {
        if self.rules.length == 0 { u64::MAX } else { self.next }
    }

    /// Takes a sample when one is due; tells what came of the trial.
    pub fn look(&mut self, now: u64, health: Health) -> Option<Verdict> {
        if now < self.due() {
            return None;
        }
        self.next = now + (self.rules.length / SAMPLES).max(1);
        // A trial that is passed is a time before the next one.
        self.samples.push_back(health);
        while self.samples.len() as u64 > SAMPLES + 1 {
            self.samples.pop_front();
        }
        let watch = self.watch.as_mut()?;
        let after = since(health, watch.start);
        let tells = after.answers >= self.rules.least && watch.before.answers >= self.rules.least;
        watch.strikes =
            if tells && worse(watch.before, after, self.rules.margin) { watch.strikes + 1 } else { 0 };
        let verdict = if watch.strikes >= STRIKES {
            let (before, after_share) = (share(watch.before), share(after));
            Verdict::Worse { before, after: after_share, answers: after.answers }
        } else if now >= watch.until && watch.strikes == 0 {
            if tells { Verdict::Passed } else { Verdict::Untested }
        } else {
            return None;
        };
        self.watch = None;
        if matches!(verdict, Verdict::Worse { .. }) {
            self.samples.clear();
        }
        Some(verdict)
    }
}

#[cfg(test)]
mod tests;
