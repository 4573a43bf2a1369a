use super::*;

fn plan() -> Plan {
    let canary = Some(("role".to_string(), "canary".to_string()));
    Plan { canary, waves: vec![0.25, 1.0], answer: 100, watch: 50 }
}

fn fleet(count: usize) -> BTreeMap<String, Seen> {
    let seen = |i: usize| {
        let role = if i == 0 { "canary" } else { "usual" };
        let labels = BTreeMap::from([("role".to_string(), role.to_string())]);
        (format!("n{i:02}"), Seen { labels, connected: true, heard: 1_000_000 })
    };
    (0..count).map(seen).collect()
}

/// Plays a rollout where all answer by `made`; the waves and how it ended.
fn play(count: usize, made: impl Fn(&str) -> Option<Made>) -> (Vec<usize>, Rollout) {
    let (plan, fleet) = (plan(), fleet(count));
    let (mut it, mut sizes) = (Rollout::new(7, false), Vec::new());
    for now in 0..1_000 {
        match it.next(now, &plan, &fleet) {
            Some(Next::Wave(wave, members)) => {
                sizes.push(members.len());
                let answers = members.iter().filter_map(|m| Some((m.clone(), made(m)?)));
                let answers: Vec<_> = answers.collect();
                it.wave_began(now, wave, members);
                answers.into_iter().for_each(|(name, made)| it.answered(&name, made));
            }
            Some(Next::Watch(_)) => it.watched(now, &plan),
            Some(Next::Halt(why)) => it.halted(why),
            Some(Next::Done) => it.phase = Phase::Done,
            None => {}
        }
    }
    (sizes, it)
}

#[test]
fn a_canary_goes_first_and_each_wave_once() {
    let (sizes, it) = play(21, |_| Some(Made::Runs));
    assert_eq!((sizes, it.phase), (vec![1, 5, 15], Phase::Done));
    let whole: BTreeSet<&String> = it.waves.iter().flatten().collect();
    assert_eq!(whole.len(), 21);
}

#[test]
fn the_first_refusal_halts_it_and_the_report_tells_who_changed() {
    let (sizes, it) =
        play(21, |name| Some(if name == "n00" { Made::Refused("a reason".to_string()) } else { Made::Runs }));
    assert_eq!(sizes, [1]);
    assert_eq!(it.phase, Phase::Halted { why: "n00 refused: a reason".to_string() });
    let report = it.report(&fleet(21));
    assert_eq!((report.changed.len(), report.refused.len(), report.unchanged.len()), (0, 1, 20));
    assert!(!it.covers(&plan(), "n05"));
}

#[test]
fn silence_past_the_bound_halts_it_and_names_who_is_silent() {
    let (sizes, it) = play(5, |name| (name == "n00").then_some(Made::Runs));
    assert_eq!(sizes, [1, 1]);
    assert!(matches!(&it.phase, Phase::Halted { why } if why.starts_with("no answer from n0")), "{it:?}");
    assert_eq!(it.report(&fleet(5)).unknown.len(), 1);
}

#[test]
fn a_resumed_one_leaves_refusals_aside_and_goes_on_with_the_same_wave() {
    let (_, mut it) = play(3, |_| Some(Made::Refused("no".to_string())));
    it.resumed(5_000);
    let fleet = fleet(3);
    assert_eq!(it.waves.len(), 1);
    assert_eq!(it.next(5_000, &plan(), &fleet), Some(Next::Watch(0)));
    it.watched(5_000, &plan());
    assert!(matches!(it.next(5_050, &plan(), &fleet), Some(Next::Wave(1, _))));
}

#[test]
fn one_that_falls_silent_during_the_watch_halts_it() {
    let (plan, mut fleet) = (plan(), fleet(2));
    let mut it = Rollout::new(1, true);
    it.wave_began(0, 0, fleet.keys().cloned().collect());
    fleet.keys().for_each(|name| it.answered(name, Made::Runs));
    it.watched(10, &plan);
    fleet.values_mut().for_each(|s| s.heard = 20);
    assert_eq!(it.next(59, &plan, &fleet), None);
    fleet.get_mut("n01").expect("one").heard = 0;
    let halt = it.next(100, &plan, &fleet);
    assert_eq!(halt, Some(Next::Halt("no sign of life from n01".to_string())));
    it.restarted(100, &plan);
    assert_eq!((&it.phase, it.hold_until), (&Phase::Watching { until: 150 }, 200));
}

#[test]
fn one_that_comes_after_the_last_wave_began_is_covered_and_before_it_is_not() {
    let plan = plan();
    let mut it = Rollout::new(1, false);
    it.wave_began(0, 0, BTreeSet::new());
    it.wave_began(0, 1, BTreeSet::from(["n1".to_string()]));
    assert!(it.covers(&plan, "n1") && !it.covers(&plan, "late"));
    it.wave_began(0, 2, BTreeSet::new());
    assert!(it.covers(&plan, "late"));
}
