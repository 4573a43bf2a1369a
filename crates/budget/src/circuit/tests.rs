use super::*;

const MS: Micros = 1_000;

fn names(count: usize) -> Vec<Arc<str>> {
    (0..count).map(|n| format!("n{n}").into()).collect()
}

fn circuits() -> Circuits {
    Circuits::new(Terms { trial: 250 * MS, ramp: 4_000 * MS })
}

/// What each of them lets through now.
fn left(all: &mut [Circuits], now: Micros, names: &[Arc<str>]) -> Vec<u64> {
    let parts = all.len();
    let one = |(n, c): (usize, &mut Circuits)| {
        let others: Vec<Arc<str>> = names.iter().filter(|o| **o != names[n]).cloned().collect();
        c.gates(now, &names[n], &others, (12, parts)).first().map_or(u64::MAX, |(_, left)| *left)
    };
    all.iter_mut().enumerate().map(one).collect()
}

#[test]
fn one_tries_at_a_time_and_the_next_where_the_owner_does_not() {
    let names = names(9);
    let (mut all, worker): (Vec<Circuits>, Arc<str>) = ((0..9).map(|_| circuits()).collect(), "s1".into());
    for c in &mut all {
        assert!(!c.refused(0, &worker), "no trial of its own");
    }
    assert_eq!(left(&mut all, 249 * MS, &names).iter().sum::<u64>(), 0);
    let at_first = left(&mut all, 250 * MS, &names);
    assert_eq!(at_first.iter().sum::<u64>(), 1, "the owner alone");
    assert_eq!(
        left(&mut all, 500 * MS, &names).iter().sum::<u64>(),
        2,
        "and its deputy, if nothing came of it"
    );
    let owner = at_first.iter().position(|l| *l == 1).expect("an owner");
    all[owner].entered(250 * MS, &worker, 1);
    assert_eq!(left(&mut all, 260 * MS, &names).iter().sum::<u64>(), 0, "its trial runs");
    assert!(all[owner].answered(270 * MS, &worker) && !all[owner].answered(271 * MS, &worker));
    (0..9).filter(|n| *n != owner).for_each(|n| all[n].told(280 * MS, &worker, 10 * MS));
    let mut sum = 0;
    for step in 0..200 {
        let now = 280 * MS + step * 10 * MS;
        for (n, l) in left(&mut all, now, &names).into_iter().enumerate() {
            all[n].entered(now, &worker, l);
            sum += l;
        }
    }
    assert!((15..=60).contains(&sum), "two seconds of the ramp: {sum}");
    assert!(left(&mut all, 4_300 * MS, &names).iter().all(|l| *l == u64::MAX), "it is over");
}

#[test]
fn trials_that_are_refused_come_ever_later_and_others_words_open_nothing() {
    let (mut c, worker): (Circuits, Arc<str>) = (circuits(), "s1".into());
    let (mut now, mut trials) = (0, 0);
    c.refused(now, &worker);
    while now < 20_000 * MS {
        now += 10 * MS;
        if c.gates(now, "n0", &[], (12, 1))[0].1 > 0 {
            c.entered(now, &worker, 1);
            c.refused(now + MS, &worker);
            trials += 1;
        }
    }
    assert!((9..=40).contains(&trials), "{trials} trials in 20 s");
    c.told(now, "s2", 0);
    c.tried(now, "s2");
    assert_eq!(c.count(), (1, 0));
    // One that tells of its trials without end puts ours off, and does not end them.
    let mut mine = 0;
    for step in 0..6_000 {
        let now = now + step * 10 * MS;
        c.tried(now, &worker);
        if c.gates(now, "n0", &[], (12, 1))[0].1 > 0 {
            c.entered(now, &worker, 1);
            c.refused(now + MS, &worker);
            mine += 1;
        }
    }
    assert!(mine > 10, "{mine} trials of ours in a minute");
}

#[test]
fn where_half_of_all_would_be_shut_none_is_and_all_is_bounded() {
    let mut c = circuits();
    for n in 0..6 {
        c.refused(0, &format!("s{n}").into());
    }
    assert!(c.gates(1, "n0", &[], (12, 1)).is_empty());
    assert_eq!(c.gates(1, "n0", &[], (13, 1)).len(), 6);
    for n in 0..5_000 {
        c.refused(0, &format!("s{n}").into());
    }
    assert_eq!(c.count().0, MOST_OPEN);
}
