use super::*;

const HOUR: u64 = 3_600_000_000;

#[test]
fn a_plausible_start_time_is_kept() {
    let listed = 10 * HOUR;
    for added_later in [false, true] {
        assert_eq!(clamp_start(listed - 2_000_000, listed, added_later), listed - 2_000_000);
    }
    assert_eq!(clamp_start(listed - HOUR, listed, false), listed - HOUR);
}

#[test]
fn a_start_time_from_a_wrong_clock_is_clamped_to_the_first_listing() {
    let listed = 10 * HOUR;
    assert_eq!(clamp_start(listed + HOUR, listed, true), listed, "it is not cold for an hour");
    assert_eq!(clamp_start(listed + HOUR, listed, false), listed);
    assert_eq!(clamp_start(listed - HOUR, listed, true), listed - MAX_LISTING_DELAY_US, "it is cold");
}
