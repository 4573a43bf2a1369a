use super::*;

const MS: Micros = 1_000;

#[test]
fn a_persistent_queue_is_measured_and_a_peak_is_not() {
    let mut queueing = QueueingDelay::default();
    for n in 0..20 {
        queueing.record_response(n, 1, 20 * MS);
        queueing.record_response(n, 2, 300 * MS);
    }
    assert_eq!(queueing.end_interval(), Some(0), "different kinds have separate baselines");
    (0..8).for_each(|n| queueing.record_response(n, 1, if n < 3 { 20 * MS } else { 900 * MS }));
    assert_eq!(queueing.end_interval(), Some(0), "a peak");
    (0..8).for_each(|n| queueing.record_response(n, 1, 120 * MS));
    assert_eq!(queueing.end_interval(), Some(100 * MS));
    queueing.record_response(9, 1, 120 * MS);
    assert_eq!(queueing.end_interval(), None, "too few samples");
}

#[test]
fn baselines_expire_and_tables_are_bounded() {
    let mut queueing = QueueingDelay::default();
    queueing.record_response(0, 1, 10 * MS);
    for minute in 1..4 {
        (0..4).for_each(|n| queueing.record_response(minute * BASELINE_WINDOW + n, 1, 50 * MS));
    }
    queueing.end_interval();
    (0..4).for_each(|n| queueing.record_response(4 * BASELINE_WINDOW + n, 1, 50 * MS));
    assert_eq!(queueing.end_interval(), Some(0), "requests that take longer for good are no queue");
    (0..10_000).for_each(|kind| queueing.record_response(0, kind, MS));
    assert!(queueing.baselines.len() <= MAX_KINDS && queueing.samples.len() <= MAX_SAMPLES);
}
