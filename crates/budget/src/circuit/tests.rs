use super::*;

const MS: Micros = 1_000;

fn names(count: usize) -> Vec<Arc<str>> {
    (0..count).map(|n| format!("n{n}").into()).collect()
}

fn circuits() -> CircuitBreakers {
    CircuitBreakers::new(Terms { trial: 250 * MS, ramp: 4_000 * MS })
}

/// Returns how many requests each member's gate admits now.
fn left(all: &mut [CircuitBreakers], now: Micros, names: &[Arc<str>]) -> Vec<u64> {
    let parts = all.len();
    let one = |(n, c): (usize, &mut CircuitBreakers)| {
        let others: Vec<Arc<str>> = names.iter().filter(|o| **o != names[n]).cloned().collect();
        c.gates(now, &names[n], &others, (12, parts)).first().map_or(u64::MAX, |(_, left)| *left)
    };
    all.iter_mut().enumerate().map(one).collect()
}

#[test]
fn the_owner_tries_first_and_the_next_in_rank_if_it_does_not() {
    let names = names(9);
    let (mut all, worker): (Vec<CircuitBreakers>, Arc<str>) =
        ((0..9).map(|_| circuits()).collect(), "s1".into());
    for c in &mut all {
        assert!(!c.record_refusal(0, &worker), "the first refusal is no trial");
    }
    assert_eq!(left(&mut all, 249 * MS, &names).iter().sum::<u64>(), 0);
    let at_first = left(&mut all, 250 * MS, &names);
    assert_eq!(at_first.iter().sum::<u64>(), 1, "the owner alone");
    assert_eq!(
        left(&mut all, 500 * MS, &names).iter().sum::<u64>(),
        2,
        "and the next in rank, if the owner made no trial"
    );
    let owner = at_first.iter().position(|l| *l == 1).expect("an owner");
    all[owner].record_sent(250 * MS, &worker, 1);
    assert_eq!(left(&mut all, 260 * MS, &names).iter().sum::<u64>(), 0, "the owner's trial is running");
    assert!(all[owner].record_answer(270 * MS, &worker) && !all[owner].record_answer(271 * MS, &worker));
    (0..9).filter(|n| *n != owner).for_each(|n| all[n].record_peer_answer(280 * MS, &worker, 10 * MS));
    let mut sum = 0;
    for step in 0..200 {
        let now = 280 * MS + step * 10 * MS;
        for (n, l) in left(&mut all, now, &names).into_iter().enumerate() {
            all[n].record_sent(now, &worker, l);
            sum += l;
        }
    }
    assert!((15..=60).contains(&sum), "two seconds of the ramp: {sum}");
    assert!(left(&mut all, 4_300 * MS, &names).iter().all(|l| *l == u64::MAX), "the ramp is over");
}

#[test]
fn refused_trials_back_off_and_reports_of_others_open_no_circuit() {
    let (mut c, worker): (CircuitBreakers, Arc<str>) = (circuits(), "s1".into());
    let (mut now, mut trials) = (0, 0);
    c.record_refusal(now, &worker);
    while now < 20_000 * MS {
        now += 10 * MS;
        if c.gates(now, "n0", &[], (12, 1))[0].1 > 0 {
            c.record_sent(now, &worker, 1);
            c.record_refusal(now + MS, &worker);
            trials += 1;
        }
    }
    assert!((9..=40).contains(&trials), "{trials} trials in 20 s");
    c.record_peer_answer(now, "s2", 0);
    c.record_peer_trial(now, "s2");
    assert_eq!(c.open_and_ramping(), (1, 0));
    // Endless reports of refused trials defer this member's trials but do not stop them.
    let mut own_trials = 0;
    for step in 0..6_000 {
        let now = now + step * 10 * MS;
        c.record_peer_trial(now, &worker);
        if c.gates(now, "n0", &[], (12, 1))[0].1 > 0 {
            c.record_sent(now, &worker, 1);
            c.record_refusal(now + MS, &worker);
            own_trials += 1;
        }
    }
    assert!(own_trials > 10, "{own_trials} own trials in a minute");
}

#[test]
fn gates_fail_open_at_half_of_all_workers_and_the_table_is_bounded() {
    let mut c = circuits();
    for n in 0..6 {
        c.record_refusal(0, &format!("s{n}").into());
    }
    assert!(c.gates(1, "n0", &[], (12, 1)).is_empty());
    assert_eq!(c.gates(1, "n0", &[], (13, 1)).len(), 6);
    for n in 0..5_000 {
        c.record_refusal(0, &format!("s{n}").into());
    }
    assert_eq!(c.open_and_ramping().0, MAX_OPEN_CIRCUITS);
}
