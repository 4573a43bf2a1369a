use super::*;

const MS: Micros = 1_000;

fn name(n: usize) -> Arc<str> {
    format!("n{n}").into()
}

#[test]
fn a_persistent_queue_raises_the_level_and_its_end_lowers_it_by_steps() {
    let mut a = Admission::new(Terms::default());
    let mut now = 0;
    for _ in 0..20 {
        now += 100 * MS;
        a.record_queueing_delay(now, Some(120 * MS));
    }
    let top = a.level();
    assert!((10..=30).contains(&top), "{top}");
    let mut levels = vec![top];
    while a.level() > 0 {
        now += 100 * MS;
        a.record_queueing_delay(now, Some(0));
        levels.push(a.level());
        assert!(now < 60_000 * MS, "the level falls to zero");
    }
    assert!(levels.windows(2).all(|w| w[0] - w[1] <= 1), "step by step");
    assert!(levels.iter().filter(|l| **l == top).count() >= 5, "the level is held before it falls");
}

#[test]
fn the_level_moves_only_by_a_majority_of_wishes() {
    let mut a = Admission::new(Terms::default());
    (1..=2).for_each(|n| a.record_wish(0, &name(n), MAX_LEVEL));
    assert_eq!(a.level(), 0, "first wishes are not counted yet");
    (3..=4).for_each(|n| a.record_wish(900 * MS, &name(n), 0));
    a.record_queueing_delay(1_000 * MS, None);
    assert_eq!(a.level(), 0, "two liars of five");
    a.record_wish(1_100 * MS, &name(3), 9);
    assert_eq!(a.level(), 9);
    (0..5_000).for_each(|n| a.record_wish(1_200 * MS, &name(n), 1));
    assert!(a.wish_count() <= MAX_REPORTS);
}

#[test]
fn an_isolated_member_leaves_the_agreed_level_only_by_steps() {
    let mut a = Admission::new(Terms::default());
    (1..=4).for_each(|n| a.record_wish(0, &name(n), 12));
    (1..=4).for_each(|n| a.record_wish(1_000 * MS, &name(n), 12));
    assert_eq!(a.level(), 12);
    a.record_queueing_delay(3_100 * MS, None);
    assert!(a.level() >= 11, "wishes have expired");
    let mut now = 3_100 * MS;
    while a.level() > 0 {
        now += 100 * MS;
        a.record_queueing_delay(now, None);
        assert!(now < 30_000 * MS);
    }
    assert!(now >= 5_000 * MS, "twelve steps of a fourth of the hold time");
}

#[test]
fn priority_is_by_worth_then_by_share_and_the_highest_is_always_admitted() {
    for classes in 1..=40 {
        for kind in 0..200 {
            for class_rank in 1..classes {
                assert!(
                    priority(class_rank, classes, true, kind)
                        >= priority(class_rank - 1, classes, false, kind)
                        || classes > 32
                );
            }
            assert!(priority(0, classes, true, kind) < MAX_LEVEL);
        }
    }
    assert!(priority(1, 3, true, 5) < priority(1, 3, false, 5));
    assert!(admits(MAX_LEVEL, MAX_LEVEL - 1) && !admits(MAX_LEVEL, MAX_LEVEL - 2) && admits(0, 0));
}
