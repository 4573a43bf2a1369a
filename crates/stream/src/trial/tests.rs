use super::*;

const RULES: Rules = Rules { length: 1_000, margin: 0.05, least: 50 };

/// Runs a trial with these counts of bad answers per sample before and during it; each sample has 100 answers.
fn run_trial(before: &[u64], after: &[u64]) -> Option<Verdict> {
    let (mut monitor, mut now, mut health) = (TrialMonitor::new(RULES), 0, Health::default());
    for bad in before {
        assert_eq!(monitor.sample(now, health), None);
        now += 100;
        health = Health { answers: health.answers + 100, failed: health.failed + bad };
    }
    monitor.sample(now, health);
    monitor.begin(now, health);
    after.iter().find_map(|bad| {
        now += 100;
        health = Health { answers: health.answers + 100, failed: health.failed + bad };
        monitor.sample(now, health)
    })
}

#[test]
fn a_share_of_bad_answers_beyond_the_margin_ends_the_trial_early_as_worse() {
    match run_trial(&[2; 12], &[30; 10]) {
        Some(Verdict::Worse { before, after, answers }) => {
            assert!((before - 0.02).abs() < 1e-9 && (after - 0.3).abs() < 1e-9 && answers == 200);
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn one_bad_sample_or_growth_within_the_margin_passes() {
    assert_eq!(run_trial(&[2; 12], &[9, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2]), Some(Verdict::Passed));
    assert_eq!(run_trial(&[2; 12], &[6; 11]), Some(Verdict::Passed));
    assert_eq!(run_trial(&[40; 12], &[41; 11]), Some(Verdict::Passed));
}

#[test]
fn too_few_answers_leave_the_version_untested() {
    assert_eq!(run_trial(&[], &[100; 11]), Some(Verdict::Untested));
    let mut monitor = TrialMonitor::new(RULES);
    monitor.begin(0, Health::default());
    assert_eq!(monitor.sample(1_000, Health { answers: 10, failed: 10 }), Some(Verdict::Untested));
}

#[test]
fn a_second_version_on_trial_is_compared_with_the_baseline_of_the_first() {
    let (mut monitor, mut health) = (TrialMonitor::new(RULES), Health::default());
    for step in 0..12 {
        monitor.sample(step * 100, health);
        health.answers += 100;
    }
    monitor.begin(1_200, health);
    health = Health { answers: health.answers + 40, failed: 40 };
    monitor.begin(1_250, health);
    for step in 0..2 {
        health = Health { answers: health.answers + 100, failed: health.failed + 50 };
        let verdict = monitor.sample(1_300 + step * 100, health);
        assert_eq!(verdict.is_some(), step == 1, "{verdict:?}");
    }
}
