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
mod tests {
    use super::*;

    const RULES: Rules = Rules { length: 1_000, margin: 0.05, least: 50 };

    /// Plays a share of bad answers before and after, 100 answers a sample.
    fn play(before: &[u64], after: &[u64]) -> Option<Verdict> {
        let (mut guard, mut now, mut health) = (Guard::new(RULES), 0, Health::default());
        for bad in before {
            assert_eq!(guard.look(now, health), None);
            now += 100;
            health = Health { answers: health.answers + 100, bad: health.bad + bad };
        }
        guard.look(now, health);
        guard.begin(now, health);
        after.iter().find_map(|bad| {
            now += 100;
            health = Health { answers: health.answers + 100, bad: health.bad + bad };
            guard.look(now, health)
        })
    }

    #[test]
    fn a_share_that_grows_past_the_margin_gives_the_version_up_early() {
        match play(&[2; 12], &[30; 10]) {
            Some(Verdict::Worse { before, after, answers }) => {
                assert!((before - 0.02).abs() < 1e-9 && (after - 0.3).abs() < 1e-9 && answers == 200);
            }
            other => panic!("{other:?}"),
        }
    }

    #[test]
    fn one_bad_moment_or_a_small_growth_does_not() {
        assert_eq!(play(&[2; 12], &[9, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2]), Some(Verdict::Passed));
        assert_eq!(play(&[2; 12], &[6; 11]), Some(Verdict::Passed));
        assert_eq!(play(&[40; 12], &[41; 11]), Some(Verdict::Passed));
    }

    #[test]
    fn without_enough_answers_nothing_is_said() {
        assert_eq!(play(&[], &[100; 11]), Some(Verdict::Untested));
        let mut guard = Guard::new(RULES);
        guard.begin(0, Health::default());
        assert_eq!(guard.look(1_000, Health { answers: 10, bad: 10 }), Some(Verdict::Untested));
    }

    #[test]
    fn a_second_version_on_trial_is_held_against_the_time_before_the_first() {
        let (mut guard, mut health) = (Guard::new(RULES), Health::default());
        for step in 0..12 {
            guard.look(step * 100, health);
            health.answers += 100;
        }
        guard.begin(1_200, health);
        health = Health { answers: health.answers + 40, bad: 40 };
        guard.begin(1_250, health);
        for step in 0..2 {
            health = Health { answers: health.answers + 100, bad: health.bad + 50 };
            let verdict = guard.look(1_300 + step * 100, health);
            assert_eq!(verdict.is_some(), step == 1, "{verdict:?}");
        }
    }
}
