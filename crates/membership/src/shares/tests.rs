use super::*;

#[test]
fn shares_sum_to_at_most_one_for_every_partition_of_a_group() {
    for expected in 1..=12 {
        for all in 1..=12_usize {
            for here in 0..=all {
                let side = |up: usize| {
                    let connectivity = Connectivity::of(true, all - 1, up.saturating_sub(1), false);
                    up as f64 / divisor(connectivity, true, up, all - up, expected) as f64
                };
                let sum = side(here) + side(all - here);
                assert!(sum <= 1.0 + 1e-9, "{here} of {all}, {expected} expected: {sum}");
            }
        }
    }
}

#[test]
fn departed_members_release_their_share_and_failed_ones_do_not() {
    assert_eq!(divisor(Connectivity::All, true, 6, 0, 10), 6);
    assert_eq!(divisor(Connectivity::Larger, true, 6, 4, 10), 10);
    assert_eq!(divisor(Connectivity::Larger, true, 6, 2, 10), 8);
    assert_eq!(divisor(Connectivity::Smaller, true, 3, 7, 10), 10);
    assert_eq!(divisor(Connectivity::Alone, true, 1, 9, 10), 10);
    assert_eq!(divisor(Connectivity::All, false, 6, 0, 10), 10, "not well connected");
    assert!(divisor(Connectivity::Joining, true, 1, 0, 10) > 1_000);
}

#[test]
fn connectivity_follows_from_replies_and_received_packets() {
    let cases = [
        ((false, 4, 0, false), Connectivity::Joining),
        ((true, 0, 0, false), Connectivity::Only),
        ((true, 4, 4, true), Connectivity::All),
        ((true, 4, 2, true), Connectivity::Larger),
        ((true, 5, 2, true), Connectivity::Smaller),
        ((true, 4, 0, false), Connectivity::Alone),
        ((true, 4, 0, true), Connectivity::Unheard),
    ];
    for ((joined, others, answering, heard), connectivity) in cases {
        assert_eq!(Connectivity::of(joined, others, answering, heard), connectivity);
    }
}

#[test]
fn divisor_rises_at_once_and_falls_after_the_hold_time() {
    let mut held = HeldDivisor::default();
    assert_eq!(held.update(0, 10, 6), 6);
    assert_eq!(held.update(5, 10, 8), 8);
    assert_eq!(held.update(6, 10, 4), 8);
    assert_eq!(held.update(15, 10, 5), 8, "8 applied until time 6");
    assert_eq!(held.update(16, 10, 5), 5);
    assert_eq!(held.update(30, 10, 3), 5, "5 applied until 3 was recorded");
    assert_eq!(held.update(40, 10, 3), 3);
}
