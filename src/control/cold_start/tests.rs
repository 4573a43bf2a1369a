use super::*;

const SECOND: Micros = 1_000_000;
/// One permit in 100 ms, each lapsing after half a second.
const RATE: PermitRate =
    PermitRate { full_per_us: 1e-5, cold_share: 1.0, share_per_us: 0.0, started_at: 0, lifetime: SECOND / 2 };

/// Takes all permits that there are now, and returns the budget after that and how many there were.
fn take_all(mut budget: ColdBudget, now: Micros, rate: PermitRate) -> (ColdBudget, usize) {
    let mut taken = 0;
    while let Some(next) = budget.take(now, rate) {
        (budget, taken) = (next, taken + 1);
    }
    (budget, taken)
}

#[test]
fn permits_accrue_from_the_start_at_the_rate() {
    let mut budget = ColdBudget::starting(SECOND, 0.0);
    let mut taken = 0;
    for ms in 0..10_000 {
        let (next, count) = take_all(budget, SECOND + ms * 1_000, RATE);
        (budget, taken) = (next, taken + count);
    }
    assert_eq!(taken, 99, "none at the start, one in 100 ms after that");
}

#[test]
fn permits_follow_the_ramp_however_seldom_they_are_taken() {
    let ramp = PermitRate {
        cold_share: 0.2,
        share_per_us: 0.8 / (10 * SECOND) as f64,
        lifetime: 20 * SECOND,
        ..RATE
    };
    for step in [10_000, SECOND, 5 * SECOND] {
        let mut budget = ColdBudget::starting(0, 0.0);
        let mut taken = 0;
        for now in (0..=10 * SECOND).step_by(step as usize) {
            let (next, count) = take_all(budget, now, ramp);
            (budget, taken) = (next, taken + count);
        }
        assert!((59..=60).contains(&taken), "{taken} permits, 0.6 x 100 on the ramp, at steps of {step}");
    }
}

#[test]
fn permits_that_are_not_taken_lapse() {
    let budget = ColdBudget::starting(0, 0.0);
    let (budget, taken) = take_all(budget, 60 * SECOND, RATE);
    assert_eq!(taken, 5, "those of the last half second");
    assert_eq!(take_all(budget, 60 * SECOND + 50_000, RATE).1, 0);
}

#[test]
fn higher_rate_does_not_bring_back_lapsed_permits() {
    let faster = PermitRate { full_per_us: 10.0 * RATE.full_per_us, ..RATE };
    let (budget, _) = take_all(ColdBudget::starting(0, 0.0), 10 * SECOND, RATE);
    assert!(take_all(budget, 11 * SECOND, faster).1 <= 50, "half a second's permits at the new rate");
    let (budget, _) = take_all(budget, 11 * SECOND, faster);
    assert_eq!(take_all(budget, 11 * SECOND + 100_000, faster).1, 10);
}

#[test]
fn lower_rate_leaves_the_permits_that_were_taken_taken() {
    let (budget, _) = take_all(ColdBudget::starting(0, 0.0), 10 * SECOND, RATE);
    let slower = PermitRate { full_per_us: 0.1 * RATE.full_per_us, ..RATE };
    let taken: usize = (1..=100)
        .scan(budget, |budget, step| {
            let (next, taken) = take_all(*budget, 10 * SECOND + step * SECOND / 10, slower);
            *budget = next;
            Some(taken)
        })
        .sum();
    assert!((9..=10).contains(&taken), "{taken} permits in 10 s at one a second");
}

#[test]
fn sum_of_all_parts_keeps_to_the_rate_whatever_the_parts_start_with() {
    for parts in [1, 7, 40, 300] {
        let rate = PermitRate { full_per_us: 1e-4 / parts as f64, ..RATE };
        let start = |part: usize| ColdBudget::starting(0, part as f64 / parts as f64);
        let mut budgets: Vec<ColdBudget> = (0..parts).map(start).collect();
        let mut times = Vec::new();
        for now in (0..5 * SECOND).step_by(10_000) {
            for budget in &mut budgets {
                let (next, taken) = take_all(*budget, now, rate);
                *budget = next;
                times.extend(std::iter::repeat_n(now, taken));
            }
        }
        for (first, at) in times.iter().enumerate() {
            let window = times[first..].iter().take_while(|other| **other < at + SECOND).count();
            assert!(window <= 103, "{parts} parts: {window} permits in a second, 100 expected");
        }
    }
}

#[test]
fn dealt_share_leaves_room_for_saved_permits() {
    for requests in [1.0, 4.0, 10.0, 29.0, 30.0, 100.0, 1_000.0] {
        for lifetime in [MIN_LIFETIME_WINDOWS, 0.5, 1.0, MAX_LIFETIME_WINDOWS] {
            let most = max_dealt_share(requests, lifetime) * requests * (1.0 + lifetime);
            assert!(most <= requests + 2.0 * f64::sqrt(requests) + 2.0 + 1e-9, "{most} of {requests}");
        }
    }
}

#[test]
fn lifetime_uses_most_of_the_budget() {
    let used = |x: f64, lifetime: f64| (1.0 - (-x * lifetime).exp()) / (1.0 + lifetime);
    for x in [0.2, 0.5, 1.0, 3.0, 10.0, 30.0] {
        let chosen = lifetime_windows(x);
        for other in [0.9 * chosen, 1.1 * chosen] {
            assert!(
                used(x, chosen) >= used(x, other) - 1e-6,
                "{x} requests a window: {chosen}, better {other}"
            );
        }
    }
    assert_eq!(lifetime_windows(0.0), MAX_LIFETIME_WINDOWS);
    assert_eq!(lifetime_windows(1e9), MIN_LIFETIME_WINDOWS);
}
