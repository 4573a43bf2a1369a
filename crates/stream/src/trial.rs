//! The trial (probation) of a newly applied version: decides whether the version makes the share of bad answers worse.
//!
//! The share of final answers that are refusals or failures is compared with a baseline: the window before the trial,
//! as long as the trial itself. The version counts as worse if the share grew by more than the margin, if the growth is
//! statistically significant (three standard deviations of the difference of two shares), and if two consecutive
//! samples agree, so that a single bad moment causes no rollback. The subscriber keeps refusing a version that was
//! rolled back, so that it does not oscillate between two versions.

use crate::wire::Health;
use std::collections::VecDeque;

/// The number of samples in a window.
const SAMPLES_PER_WINDOW: u64 = 10;
/// Consecutive samples that must find the version worse before it is rolled back.
const WORSE_SAMPLES_FOR_ROLLBACK: u32 = 2;
/// A difference of shares is significant beyond this number of standard deviations.
const SIGNIFICANT_DEVIATIONS: f64 = 3.0;

/// The parameters of trials.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// The duration of a trial, in microseconds; 0 disables trials.
    pub length: u64,
    /// The growth of the share of bad answers that is tolerated.
    pub margin: f64,
    /// The minimum number of answers, both in the baseline and in the trial, for a verdict on the version.
    pub least: u64,
}

/// The result of a trial.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The version did not make the share of bad answers worse.
    Passed,
    /// There were too few answers for a comparison; the version is kept.
    Untested,
    /// The version made the share of bad answers worse.
    Worse {
        /// The share of bad answers in the baseline.
        before: f64,
        /// The share of bad answers since the start of the trial.
        after: f64,
        /// The number of answers since the start of the trial.
        answers: u64,
    },
}

struct Trial {
    ends_at: u64,
    start: Health,
    baseline: Health,
    /// Consecutive samples that found the version worse.
    worse_samples: u32,
}

/// Keeps the samples of the baseline window and monitors the trial of a version.
pub struct TrialMonitor {
    rules: Rules,
    samples: VecDeque<Health>,
    next_sample_at: u64,
    trial: Option<Trial>,
}

fn difference(later: Health, earlier: Health) -> Health {
    Health {
        answers: later.answers.saturating_sub(earlier.answers),
        failed: later.failed.saturating_sub(earlier.failed),
    }
}

fn bad_share(health: Health) -> f64 {
    health.failed as f64 / health.answers.max(1) as f64
}

/// Returns whether the second share is larger by more than the margin and the difference is significant.
fn is_worse(before: Health, after: Health, margin: f64) -> bool {
    let beyond_margin = bad_share(after) - bad_share(before) - margin;
    let (answers_before, answers_after) = (before.answers as f64, after.answers as f64);
    let pooled = (before.failed + after.failed) as f64 / (answers_before + answers_after);
    let deviation = (pooled * (1.0 - pooled) * (1.0 / answers_before + 1.0 / answers_after)).sqrt();
    beyond_margin > 0.0 && bad_share(after) - bad_share(before) > SIGNIFICANT_DEVIATIONS * deviation
}

impl TrialMonitor {
    /// Creates a monitor with no version on trial.
    pub fn new(rules: Rules) -> TrialMonitor {
        TrialMonitor { rules, samples: VecDeque::new(), next_sample_at: 0, trial: None }
    }

    /// Returns whether a version is on trial.
    pub fn is_active(&self) -> bool {
        self.trial.is_some()
    }

    /// Starts the trial of a version that was just applied. If it replaces another version on trial, it is compared with
    /// the baseline of that one; otherwise the errors of each bad version would raise the baseline of the next.
    pub fn begin(&mut self, now: u64, health: Health) {
        let baseline = match &self.trial {
            Some(trial) => trial.baseline,
            None => difference(health, self.samples.front().copied().unwrap_or(health)),
        };
        let ends_at = now + self.rules.length;
        self.trial = Some(Trial { ends_at, start: health, baseline, worse_samples: 0 });
    }

    /// Ends the trial without a verdict.
    pub fn cancel(&mut self) {
        self.trial = None;
        self.samples.clear();
    }

    /// Returns when the next sample is due.
    pub fn next_due(&self) -> u64 {
        if self.rules.length == 0 { u64::MAX } else { self.next_sample_at }
    }

    /// Takes a sample if one is due, and returns the verdict if that ends the trial.
    pub fn sample(&mut self, now: u64, health: Health) -> Option<Verdict> {
        if now < self.next_due() {
            return None;
        }
        self.next_sample_at = now + (self.rules.length / SAMPLES_PER_WINDOW).max(1);
        // Samples are taken during a trial too: the window of a passed trial is the baseline of the next one.
        self.samples.push_back(health);
        while self.samples.len() as u64 > SAMPLES_PER_WINDOW + 1 {
            self.samples.pop_front();
        }
        let trial = self.trial.as_mut()?;
        let after = difference(health, trial.start);
        let enough_answers = after.answers >= self.rules.least && trial.baseline.answers >= self.rules.least;
        trial.worse_samples = if enough_answers && is_worse(trial.baseline, after, self.rules.margin) {
            trial.worse_samples + 1
        } else {
            0
        };
        let verdict = if trial.worse_samples >= WORSE_SAMPLES_FOR_ROLLBACK {
            let (before, after_share) = (bad_share(trial.baseline), bad_share(after));
            Verdict::Worse { before, after: after_share, answers: after.answers }
        } else if now >= trial.ends_at && trial.worse_samples == 0 {
            if enough_answers { Verdict::Passed } else { Verdict::Untested }
        } else {
            return None;
        };
        self.trial = None;
        if matches!(verdict, Verdict::Worse { .. }) {
            self.samples.clear();
        }
        Some(verdict)
    }
}

#[cfg(test)]
mod tests;
