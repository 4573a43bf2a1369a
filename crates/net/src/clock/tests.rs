use super::*;

#[test]
fn clock_catches_up_and_never_goes_back() {
    let mut clock = Clock::start();
    let unix = clock.unix_ms(clock.read());
    clock.advance_to(clock.read() + 7_000_000);
    let now = clock.read();
    assert!(clock.unix_ms(now) - unix < 5_000, "{now}");
    clock.advance_to(now - 9_000_000);
    assert!((now..now + 5_000_000).contains(&clock.read()));
}

#[test]
fn unix_time_before_the_start_converts_to_a_reading_before_the_start() {
    let clock = Clock::start();
    let (now, unix) = (clock.read(), clock.unix_ms(clock.read()));
    let earlier = clock.from_unix_ms(unix - 5_000);
    assert!((4_990_000..5_010_000).contains(&(now - earlier)), "{}", now - earlier);
}
