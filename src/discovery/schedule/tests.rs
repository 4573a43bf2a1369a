use super::*;

/// Returns a schedule whose last query, at `queried_at`, was answered after `round_trip` with `bytes` bytes.
fn answered(queried_at: u64, round_trip: u64, bytes: usize) -> QuerySchedule {
    let mut schedule = QuerySchedule::default();
    schedule.query_sent(queried_at);
    schedule.packet_received();
    schedule.answer_received(queried_at + round_trip, queried_at, bytes, false);
    schedule
}

#[test]
fn first_query_is_due_at_once_and_later_ones_at_the_regular_interval_answered_or_not() {
    let mut schedule = QuerySchedule::default();
    assert_eq!(schedule.next_query_at(), 0);
    schedule.query_sent(1_000);
    assert_eq!(schedule.next_query_at(), 1_000 + QUERY_INTERVAL_US);
    assert_eq!(answered(1_000, 50, 5_000).next_query_at(), 1_000 + QUERY_INTERVAL_US);
}

#[test]
fn large_answers_lengthen_the_query_interval_to_at_most_1_2_s() {
    assert_eq!(answered(0, 50, 40 * 1024).next_query_at(), 500_000);
    assert_eq!(answered(0, 50, 65_535).next_query_at(), 799_987);
    assert_eq!(answered(0, 50, 1_000_000).next_query_at(), MAX_QUERY_INTERVAL_US);
}

#[test]
fn query_for_a_lost_large_answer_is_repeated_at_the_regular_interval() {
    let mut schedule = answered(0, 50, 65_535);
    schedule.query_sent(800_000);
    assert_eq!(schedule.next_query_at(), 800_000 + QUERY_INTERVAL_US);
}

#[test]
fn confirmation_is_queried_at_once_with_one_outstanding_query_at_a_time() {
    let mut schedule = QuerySchedule::default();
    schedule.query_sent(0);
    schedule.answer_received(200, 0, 5_000, true);
    assert_eq!(schedule.next_query_at(), 200 + CONFIRMATION_DELAY_US);
    schedule.query_sent(6_000);
    // The answer belongs to an earlier query: no second confirmation query is sent beside the outstanding one.
    schedule.answer_received(7_000, 0, 5_000, true);
    assert_eq!(schedule.next_query_at(), 6_000 + QUERY_INTERVAL_US);
    schedule.answer_received(8_000, 6_000, 5_000, true);
    assert_eq!(schedule.next_query_at(), 8_000 + CONFIRMATION_DELAY_US);
}

#[test]
fn path_is_silent_after_a_timeout_that_grows_with_the_round_trip_time() {
    let mut schedule = QuerySchedule::default();
    schedule.query_sent(0);
    assert!(!schedule.is_path_silent(SILENCE_TIMEOUT_US - 1));
    assert!(schedule.is_path_silent(SILENCE_TIMEOUT_US));
    schedule.path_replaced(SILENCE_TIMEOUT_US);
    assert!(!schedule.is_path_silent(SILENCE_TIMEOUT_US + 1));
    let mut slow = answered(0, 900_000, 5_000);
    slow.query_sent(1_000_000);
    assert!(!slow.is_path_silent(1_000_000 + 1_799_999));
    assert!(slow.is_path_silent(1_000_000 + 1_800_000));
}
