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
