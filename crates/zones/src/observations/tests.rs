use super::*;

const MS: Micros = 1_000;

fn nine_workers_in_three_zones() -> Observations {
    let mut observations = Observations::default();
    let list: Vec<(Arc<str>, Arc<str>)> = ["a", "b", "c"]
        .iter()
        .flat_map(|zone| (0..3).map(move |n| (format!("{zone}{n}").into(), Arc::from(*zone))))
        .collect();
    observations.listed(&list);
    observations
}

fn opinions(observations: &mut Observations, now: Micros) -> [Opinion; 3] {
    let zones: Vec<(Arc<str>, Micros)> = observations.zones().into_iter().map(|zone| (zone, 0)).collect();
    observations.opinions(now, &zones, &Terms::default()).try_into().expect("three zones")
}

fn attempt(observations: &mut Observations, now: Micros, worker: &str, end: AttemptOutcome) {
    observations.sent(now, worker);
    observations.ended(now, worker, end, &Terms::default());
}

fn attempt_each(observations: &mut Observations, now: Micros, zone: &str, end: AttemptOutcome) {
    (0..3).for_each(|n| attempt(observations, now, &format!("{zone}{n}"), end));
}

const OK: AttemptOutcome = AttemptOutcome::Answered(1, Some(50 * MS));

#[test]
fn gone_silent_and_slow_workers_are_distinguished() {
    use Opinion::*;
    let mut observations = nine_workers_in_three_zones();
    ["a", "b", "c"].iter().for_each(|zone| attempt_each(&mut observations, MS, zone, OK));
    assert_eq!(opinions(&mut observations, 2 * MS), [Well; 3]);
    attempt_each(&mut observations, 3 * MS, "c", AttemptOutcome::Reset);
    assert_eq!(opinions(&mut observations, 4 * MS), [Well, Well, Gone]);
    assert_eq!(opinions(&mut observations, 3_000 * MS)[..2], [None; 2], "old observations are not used");
    assert_eq!(opinions(&mut observations, 5_000 * MS), [None; 3]);
    let mut observations = nine_workers_in_three_zones();
    (0..3).for_each(|n| observations.sent(0, &format!("c{n}")));
    attempt_each(&mut observations, 900 * MS, "a", OK);
    assert_eq!(opinions(&mut observations, 900 * MS), [Well, None, None]);
    assert_eq!(opinions(&mut observations, 1_100 * MS), [Well, None, Silent]);
    let mut observations = nine_workers_in_three_zones();
    for n in 0..20 {
        ["a", "b"].iter().for_each(|zone| attempt_each(&mut observations, n * 20 * MS, zone, OK));
    }
    for n in 20..120 {
        ["a", "b"].iter().for_each(|zone| attempt_each(&mut observations, n * 20 * MS, zone, OK));
        attempt_each(&mut observations, n * 20 * MS, "c", AttemptOutcome::Answered(1, Some(250 * MS)));
        let opinion = opinions(&mut observations, n * 20 * MS)[2];
        assert!(n > 70 || opinion != Slow, "slowness must persist");
    }
    assert_eq!(opinions(&mut observations, 2_400 * MS), [Well, Well, Slow]);
}

#[test]
fn one_failing_worker_or_a_fault_of_all_zones_blames_no_zone() {
    use Opinion::*;
    let mut observations = nine_workers_in_three_zones();
    ["a", "b", "c"].iter().for_each(|zone| attempt_each(&mut observations, MS, zone, OK));
    (0..50).for_each(|n| attempt(&mut observations, (2 + n) * MS, "c0", AttemptOutcome::Refused));
    assert_eq!(opinions(&mut observations, 60 * MS)[2], Well, "one of three workers, however often it fails");
    ["a", "b", "c"]
        .iter()
        .for_each(|zone| attempt_each(&mut observations, 70 * MS, zone, AttemptOutcome::Reset));
    assert_eq!(
        opinions(&mut observations, 71 * MS),
        [None; 3],
        "all zones fail: the fault may be the member's own"
    );
    let mut observations = nine_workers_in_three_zones();
    (0..20).for_each(|n| {
        ["a", "b", "c"].iter().for_each(|zone| attempt_each(&mut observations, n * MS, zone, OK))
    });
    for n in 20..60 {
        let late = AttemptOutcome::Answered(1, Some(250 * MS));
        ["a", "b", "c"].iter().for_each(|zone| attempt_each(&mut observations, n * MS, zone, late));
    }
    let no_fault = |o: &Opinion| matches!(o, None | Well);
    assert!(opinions(&mut observations, 60 * MS).iter().all(no_fault), "a slow store slows all zones alike");
}

#[test]
fn observations_from_before_a_stall_are_discarded() {
    let mut observations = nine_workers_in_three_zones();
    (0..3).for_each(|n| observations.sent(0, &format!("c{n}")));
    observations.forget(10_000 * MS);
    attempt_each(&mut observations, 10_000 * MS, "a", OK);
    assert_eq!(opinions(&mut observations, 10_001 * MS)[2], Opinion::None);
    assert_eq!(
        opinions(&mut observations, 11_000 * MS)[2],
        Opinion::Silent,
        "silence is measured anew from the end of the stall"
    );
}

#[test]
fn rates_and_peaks_decay() {
    let mut observations = nine_workers_in_three_zones();
    (0..1_000).for_each(|n| attempt(&mut observations, n * 10 * MS, "a0", OK));
    let (now, peak) = observations.rate(10_000 * MS, "a");
    assert!((95_000..106_000).contains(&now) && peak >= now, "{now} {peak}");
    let (now, later) = observations.rate(70_000 * MS, "a");
    assert!(now == 0 && (later as f64) < 0.55 * peak as f64 && later > 0, "{later}");
}
