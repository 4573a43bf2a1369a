use super::*;

fn plan() -> RolloutPlan {
    let canary = Some(("role".to_string(), "canary".to_string()));
    RolloutPlan { canary, waves: vec![0.25, 1.0], answer_timeout_us: 100, observation_us: 50 }
}

fn fleet(count: usize) -> BTreeMap<String, InstanceView> {
    let view = |i: usize| {
        let role = if i == 0 { "canary" } else { "usual" };
        let labels = BTreeMap::from([("role".to_string(), role.to_string())]);
        (format!("n{i:02}"), InstanceView { labels, connected: true, last_heard: 1_000_000 })
    };
    (0..count).map(view).collect()
}

/// Runs a rollout in which each instance answers with `outcome`; returns the sizes of the waves and the final state.
fn run_rollout(count: usize, outcome: impl Fn(&str) -> Option<InstanceOutcome>) -> (Vec<usize>, Rollout) {
    let (plan, fleet) = (plan(), fleet(count));
    let (mut rollout, mut sizes) = (Rollout::new(7, false), Vec::new());
    for now in 0..1_000 {
        match rollout.next(now, &plan, &fleet) {
            Some(Transition::Wave(wave, members)) => {
                sizes.push(members.len());
                let answers = members.iter().filter_map(|name| Some((name.clone(), outcome(name)?)));
                let answers: Vec<_> = answers.collect();
                rollout.wave_began(now, wave, members);
                answers.into_iter().for_each(|(name, outcome)| rollout.answered(&name, outcome));
            }
            Some(Transition::Watch(_)) => rollout.watched(now, &plan),
            Some(Transition::Halt(why)) => rollout.halted(why),
            Some(Transition::Done) => rollout.phase = Phase::Done,
            None => {}
        }
    }
    (sizes, rollout)
}

#[test]
fn the_canary_is_the_first_wave_and_each_wave_runs_once() {
    let (sizes, rollout) = run_rollout(21, |_| Some(InstanceOutcome::Running));
    assert_eq!((sizes, rollout.phase), (vec![1, 5, 15], Phase::Done));
    let members: BTreeSet<&String> = rollout.waves.iter().flatten().collect();
    assert_eq!(members.len(), 21);
}

#[test]
fn the_first_refusal_halts_the_rollout_and_the_report_names_the_changed_instances() {
    let (sizes, rollout) = run_rollout(21, |name| {
        Some(if name == "n00" {
            InstanceOutcome::Refused("a reason".to_string())
        } else {
            InstanceOutcome::Running
        })
    });
    assert_eq!(sizes, [1]);
    assert_eq!(rollout.phase, Phase::Halted { why: "n00 refused: a reason".to_string() });
    let report = rollout.report(&fleet(21));
    assert_eq!((report.changed.len(), report.refused.len(), report.unchanged.len()), (0, 1, 20));
    assert!(!rollout.covers(&plan(), "n05"));
}

#[test]
fn a_missing_answer_halts_the_rollout_and_names_the_silent_instance() {
    let (sizes, rollout) = run_rollout(5, |name| (name == "n00").then_some(InstanceOutcome::Running));
    assert_eq!(sizes, [1, 1]);
    assert!(
        matches!(&rollout.phase, Phase::Halted { why } if why.starts_with("no answer from n0")),
        "{rollout:?}"
    );
    assert_eq!(rollout.report(&fleet(5)).unknown.len(), 1);
}

#[test]
fn a_resumed_rollout_excludes_refusals_and_continues_with_the_same_wave() {
    let (_, mut rollout) = run_rollout(3, |_| Some(InstanceOutcome::Refused("no".to_string())));
    rollout.resumed(5_000);
    let fleet = fleet(3);
    assert_eq!(rollout.waves.len(), 1);
    assert_eq!(rollout.next(5_000, &plan(), &fleet), Some(Transition::Watch(0)));
    rollout.watched(5_000, &plan());
    assert!(matches!(rollout.next(5_050, &plan(), &fleet), Some(Transition::Wave(1, _))));
}

#[test]
fn an_instance_that_falls_silent_during_observation_halts_the_rollout() {
    let (plan, mut fleet) = (plan(), fleet(2));
    let mut rollout = Rollout::new(1, true);
    rollout.wave_began(0, 0, fleet.keys().cloned().collect());
    fleet.keys().for_each(|name| rollout.answered(name, InstanceOutcome::Running));
    rollout.watched(10, &plan);
    fleet.values_mut().for_each(|view| view.last_heard = 20);
    assert_eq!(rollout.next(59, &plan, &fleet), None);
    fleet.get_mut("n01").expect("an instance").last_heard = 0;
    let halt = rollout.next(100, &plan, &fleet);
    assert_eq!(halt, Some(Transition::Halt("no sign of life from n01".to_string())));
    rollout.restarted(100, &plan);
    assert_eq!((&rollout.phase, rollout.hold_until), (&Phase::Watching { until: 150 }, 200));
}

#[test]
fn an_instance_that_connects_late_is_covered_only_once_the_last_wave_has_begun() {
    let plan = plan();
    let mut rollout = Rollout::new(1, false);
    rollout.wave_began(0, 0, BTreeSet::new());
    rollout.wave_began(0, 1, BTreeSet::from(["n1".to_string()]));
    assert!(rollout.covers(&plan, "n1") && !rollout.covers(&plan, "late"));
    rollout.wave_began(0, 2, BTreeSet::new());
    assert!(rollout.covers(&plan, "late"));
}
