use super::*;

const S: Micros = 1_000_000;

#[test]
fn repeated_departures_double_the_hold_and_a_calm_time_resets_it() {
    let (mut state, terms) = (GroupState::default(), Terms::default());
    let (mut now, mut holds) = (S, Vec::new());
    for _ in 0..7 {
        state.step_down(now, "a", 0, Reason::Gone, 0, &terms);
        holds.push(state.until - now);
        now = state.until + 3 * S;
    }
    assert!(holds.windows(2).take(4).all(|w| w[1] * 10 > w[0] * 15), "{holds:?}");
    assert!(holds.iter().all(|s| *s <= 16 * terms.stay * 5 / 4), "{holds:?}");
    state.step_down(now + CALM_TIME, "a", 0, Reason::Gone, 0, &terms);
    assert!(state.until - now - CALM_TIME <= terms.stay * 5 / 4);
    assert_eq!(state.epoch, 8);
}

#[test]
fn the_return_of_cold_workers_stays_within_their_capacity() {
    let (mut state, terms) = (GroupState::default(), Terms::default());
    state.step_down(S, "a", 0, Reason::Gone, 0, &terms);
    let mut now = state.until;
    let (began, mut steps) = (now, Vec::new());
    state.step_up(now, 0, &terms);
    while state.step < TOP_STEP {
        now += S / 20;
        let share = STEP_SHARES_PER_MILLE[usize::from(state.step)];
        assert!(state.capacity_share(now, WorkerState::Cold, &terms) >= share, "{share} at {now}");
        if state.may_step_up(now, WorkerState::Cold, &terms) {
            state.step_up(now, 0, &terms);
            steps.push((now - began) / 1_000);
        }
    }
    // The capacity 1.2 * (0.15 + 0.85 * t / 14 s) is a quarter after 0.96 s, a half after 4.4 s, all after
    // 11.3 s.
    assert_eq!(steps, [1_000, 4_400, 11_300]);
    state.return_started_at = Some(now);
    assert_eq!(state.capacity_share(now, WorkerState::Warm, &terms), 1_000);
}
