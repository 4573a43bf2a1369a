use super::*;
use crate::names::ExecutorState;

const MS: Micros = 1_000;

fn zones() -> Zones {
    let options = Options { silent: 300 * MS, stay: 500 * MS, dwell: 200 * MS };
    let settings = crate::config::Config::read(include_str!("../../deploy/example.json"))
        .expect("the shipped example")
        .parts
        .settings
        .module;
    let mut zones = Zones::new(&options, &settings, "a", 0);
    let executor = |zone: &str, n: usize| Executor {
        id: format!("{zone}{n}").into(),
        address: ([127, 0, 0, 1], 9).into(),
        zone: zone.into(),
        kind: "std".into(),
        cell: 0,
        state: ExecutorState::Ready,
        started_ms: 0,
    };
    let list: Vec<Executor> = ["a", "b"].iter().flat_map(|z| (0..2).map(move |n| executor(z, n))).collect();
    zones.listed(&list, &["b".into(), "a".into()]);
    zones
}

fn attempt(zones: &mut Zones, now: Micros, worker: &str, outcome: Outcome) {
    let trace = |end| AttemptTrace { worker: worker.into(), sent: now, end };
    zones.seen(now, trace(None));
    zones.seen(now, trace(Some((outcome, 1, Some(50 * MS)))));
}

#[test]
fn alone_it_leaves_a_zone_whose_executors_are_gone_and_the_gate_is_that_of_its_place() {
    let mut h = zones();
    ["a0", "a1", "b0", "b1"].iter().for_each(|w| attempt(&mut h, 10 * MS, w, Outcome::Ok));
    h.advance(50 * MS, View::default());
    assert!(h.gates(50 * MS, &BTreeMap::new()).is_empty());
    ["b0", "b1"].iter().for_each(|w| attempt(&mut h, 60 * MS, w, Outcome::Reset));
    ["a0", "a1"].iter().for_each(|w| attempt(&mut h, 70 * MS, w, Outcome::Ok));
    h.advance(100 * MS, View::default());
    let shut = |wanted| ZoneGate { remaining: 0, sent: 0, probe: wanted };
    assert_eq!(h.gates(100 * MS, &BTreeMap::new()), [(0, shut(true))].into());
    assert_eq!(h.counts(), (1, 1));
}

#[test]
fn an_operators_word_goes_before_evidence_until_it_is_over() {
    let mut h = zones();
    assert_eq!(h.say(0, "c", Some((Order::Leave, MS))), Err(ZoneError::Unknown("c".into())));
    assert_eq!(h.say(0, "a", Some((Order::Leave, 500 * MS))), Ok(()));
    let shut = ZoneGate { remaining: 0, sent: 0, probe: false };
    assert_eq!(h.gates(100 * MS, &BTreeMap::new()), [(1, shut)].into());
    assert!(h.gates(600 * MS, &BTreeMap::new()).is_empty(), "it is over");
    assert_eq!(h.say(700 * MS, "a", Some((Order::Leave, MOST_ORDER * 9))), Ok(()));
    assert_eq!(h.say(800 * MS, "a", None), Ok(()));
    assert!(h.gates(900 * MS, &BTreeMap::new()).is_empty(), "it was taken back");
}

#[test]
fn bytes_that_are_no_report_change_nothing() {
    let mut h = zones();
    h.heard(0, &"x".into(), &[255; 50]);
    h.heard(0, &"x".into(), &[]);
    assert_eq!(h.counts(), (0, 0));
}
