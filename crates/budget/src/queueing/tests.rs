use super::*;

const MS: Micros = 1_000;

#[test]
fn a_queue_that_stands_is_told_and_a_peak_is_not() {
    let mut q = Queueing::default();
    for n in 0..20 {
        q.answered(n, 1, 20 * MS);
        q.answered(n, 2, 300 * MS);
    }
    assert_eq!(q.interval(), Some(0), "kinds that differ are no queue");
    (0..8).for_each(|n| q.answered(n, 1, if n < 3 { 20 * MS } else { 900 * MS }));
    assert_eq!(q.interval(), Some(0), "a peak");
    (0..8).for_each(|n| q.answered(n, 1, 120 * MS));
    assert_eq!(q.interval(), Some(100 * MS));
    q.answered(9, 1, 120 * MS);
    assert_eq!(q.interval(), None, "too few to tell");
}

#[test]
fn the_shortest_time_is_forgotten_after_a_while_and_all_is_bounded() {
    let mut q = Queueing::default();
    q.answered(0, 1, 10 * MS);
    for minute in 1..4 {
        (0..4).for_each(|n| q.answered(minute * AGE + n, 1, 50 * MS));
    }
    q.interval();
    (0..4).for_each(|n| q.answered(4 * AGE + n, 1, 50 * MS));
    assert_eq!(q.interval(), Some(0), "work that has become longer is no queue");
    (0..10_000).for_each(|kind| q.answered(0, kind, MS));
    assert!(q.least.len() <= MOST_KINDS && q.samples.len() <= MOST_SAMPLES);
}
