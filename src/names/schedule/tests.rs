use super::*;

/// A schedule whose last query, at `asked_at`, was answered after `round_trip` by so many bytes.
fn answered(asked_at: u64, round_trip: u64, bytes: usize) -> Schedule {
    let mut schedule = Schedule::default();
    schedule.asked(asked_at);
    schedule.heard();
    schedule.answered(asked_at + round_trip, asked_at, bytes, false);
    schedule
}

#[test]
fn a_query_is_due_at_once_and_then_at_the_usual_pace_whether_answered_or_not() {
    let mut schedule = Schedule::default();
    assert_eq!(schedule.due(), 0);
    schedule.asked(1_000);
    assert_eq!(schedule.due(), 1_000 + ASK_EVERY_US);
    assert_eq!(answered(1_000, 50, 5_000).due(), 1_000 + ASK_EVERY_US);
}

#[test]
fn large_answers_are_asked_for_less_often_and_never_less_than_every_1_2_s() {
    assert_eq!(answered(0, 50, 40 * 1024).due(), 500_000);
    assert_eq!(answered(0, 50, 65_535).due(), 799_987);
    assert_eq!(answered(0, 50, 1_000_000).due(), MOST_PACE_US);
}

#[test]
fn a_lost_large_answer_is_asked_for_again_at_the_usual_pace() {
    let mut schedule = answered(0, 50, 65_535);
    schedule.asked(800_000);
    assert_eq!(schedule.due(), 800_000 + ASK_EVERY_US);
}

#[test]
fn a_worker_to_be_confirmed_is_asked_about_at_once_and_one_query_at_a_time() {
    let mut schedule = Schedule::default();
    schedule.asked(0);
    schedule.answered(200, 0, 5_000, true);
    assert_eq!(schedule.due(), 200 + CONFIRM_AFTER_US);
    schedule.asked(6_000);
    // An answer to a query before that one: no further query beside the one that is out.
    schedule.answered(7_000, 0, 5_000, true);
    assert_eq!(schedule.due(), 6_000 + ASK_EVERY_US);
    schedule.answered(8_000, 6_000, 5_000, true);
    assert_eq!(schedule.due(), 8_000 + CONFIRM_AFTER_US);
}

#[test]
fn a_path_is_silent_after_its_time_and_the_time_grows_with_the_round_trips_seen() {
    let mut schedule = Schedule::default();
    schedule.asked(0);
    assert!(!schedule.is_silent(SILENT_US - 1));
    assert!(schedule.is_silent(SILENT_US));
    schedule.path_replaced(SILENT_US);
    assert!(!schedule.is_silent(SILENT_US + 1));
    let mut slow = answered(0, 900_000, 5_000);
    slow.asked(1_000_000);
    assert!(!slow.is_silent(1_000_000 + 1_799_999));
    assert!(slow.is_silent(1_000_000 + 1_800_000));
}
