use super::*;

#[test]
fn burst_of_one_call_site_is_limited_without_affecting_others() {
    let mut limiter = RateLimiter::default();
    let allowed = (0..1_000).filter(|n| limiter.allow(n * 1_000, ("a.rs", 1))).count();
    assert_eq!(allowed, 20 + 4);
    assert_eq!(limiter.take_dropped(("a.rs", 1)), 1_000 - 24);
    assert_eq!(limiter.take_dropped(("a.rs", 1)), 0);
    assert!(limiter.allow(1_000_000, ("a.rs", 2)));
    assert!(limiter.allow(10_000_000, ("a.rs", 1)));
}
