use super::*;

const MS: Micros = 1_000;

fn sight() -> Sight {
    let mut sight = Sight::default();
    let list: Vec<(Arc<str>, Arc<str>)> = ["a", "b", "c"]
        .iter()
        .flat_map(|zone| (0..3).map(move |n| (format!("{zone}{n}").into(), Arc::from(*zone))))
        .collect();
    sight.listed(&list);
    sight
}

fn says(sight: &mut Sight, now: Micros) -> [Opinion; 3] {
    let zones: Vec<(Arc<str>, Micros)> = sight.zones().into_iter().map(|h| (h, 0)).collect();
    sight.opinions(now, &zones, &Terms::default()).try_into().expect("three zones")
}

fn attempt(sight: &mut Sight, now: Micros, worker: &str, end: End) {
    sight.sent(now, worker);
    sight.ended(now, worker, end, &Terms::default());
}

fn each(sight: &mut Sight, now: Micros, zone: &str, end: End) {
    (0..3).for_each(|n| attempt(sight, now, &format!("{zone}{n}"), end));
}

const OK: End = End::Answered(1, Some(50 * MS));

#[test]
fn workers_gone_are_told_from_silent_and_slow_ones() {
    use Opinion::*;
    let mut s = sight();
    ["a", "b", "c"].iter().for_each(|h| each(&mut s, MS, h, OK));
    assert_eq!(says(&mut s, 2 * MS), [Well; 3]);
    each(&mut s, 3 * MS, "c", End::Reset);
    assert_eq!(says(&mut s, 4 * MS), [Well, Well, Gone]);
    assert_eq!(says(&mut s, 3_000 * MS)[..2], [None; 2], "what is old tells nothing");
    assert_eq!(says(&mut s, 5_000 * MS), [None; 3]);
    let mut s = sight();
    (0..3).for_each(|n| s.sent(0, &format!("c{n}")));
    each(&mut s, 900 * MS, "a", OK);
    assert_eq!(says(&mut s, 900 * MS), [Well, None, None]);
    assert_eq!(says(&mut s, 1_100 * MS), [Well, None, Silent]);
    let mut s = sight();
    for n in 0..20 {
        ["a", "b"].iter().for_each(|h| each(&mut s, n * 20 * MS, h, OK));
    }
    for n in 20..120 {
        ["a", "b"].iter().for_each(|h| each(&mut s, n * 20 * MS, h, OK));
        each(&mut s, n * 20 * MS, "c", End::Answered(1, Some(250 * MS)));
        let told = says(&mut s, n * 20 * MS)[2];
        assert!(n > 70 || told != Slow, "it has to last");
    }
    assert_eq!(says(&mut s, 2_400 * MS), [Well, Well, Slow]);
}

#[test]
fn one_bad_worker_is_no_zone_and_all_zones_alike_are_no_ones_fault() {
    use Opinion::*;
    let mut s = sight();
    ["a", "b", "c"].iter().for_each(|h| each(&mut s, MS, h, OK));
    (0..50).for_each(|n| attempt(&mut s, (2 + n) * MS, "c0", End::Refused));
    assert_eq!(says(&mut s, 60 * MS)[2], Well, "one of three, however often");
    ["a", "b", "c"].iter().for_each(|h| each(&mut s, 70 * MS, h, End::Reset));
    assert_eq!(says(&mut s, 71 * MS), [None; 3], "all bad: the witness, or all");
    let mut s = sight();
    (0..20).for_each(|n| ["a", "b", "c"].iter().for_each(|h| each(&mut s, n * MS, h, OK)));
    for n in 20..60 {
        let late = End::Answered(1, Some(250 * MS));
        ["a", "b", "c"].iter().for_each(|h| each(&mut s, n * MS, h, late));
    }
    let no_fault = |o: &Opinion| matches!(o, None | Well);
    assert!(says(&mut s, 60 * MS).iter().all(no_fault), "the store stands still: all alike");
}

#[test]
fn one_that_stood_still_says_nothing_of_before() {
    let mut s = sight();
    (0..3).for_each(|n| s.sent(0, &format!("c{n}")));
    s.forget(10_000 * MS);
    each(&mut s, 10_000 * MS, "a", OK);
    assert_eq!(says(&mut s, 10_001 * MS)[2], Opinion::None);
    assert_eq!(says(&mut s, 11_000 * MS)[2], Opinion::Silent, "from then on it counts anew");
}

#[test]
fn rates_and_peaks_fade() {
    let mut s = sight();
    (0..1_000).for_each(|n| attempt(&mut s, n * 10 * MS, "a0", OK));
    let (now, peak) = s.rate(10_000 * MS, "a");
    assert!((95_000..106_000).contains(&now) && peak >= now, "{now} {peak}");
    let (now, later) = s.rate(70_000 * MS, "a");
    assert!(now == 0 && (later as f64) < 0.55 * peak as f64 && later > 0, "{later}");
}
