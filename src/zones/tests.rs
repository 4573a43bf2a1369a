use super::*;
use crate::discovery::ExecutorState;

const MS: Micros = 1_000;

fn two_zones() -> Zones {
    let options = Options { silence_us: 300 * MS, leave_us: 500 * MS, step_interval_us: 200 * MS };
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
        weight: 0,
    };
    let list: Vec<Executor> = ["a", "b"].iter().flat_map(|z| (0..2).map(move |n| executor(z, n))).collect();
    zones.set_executors(&list, &["b".into(), "a".into()]);
    zones
}

fn attempt(zones: &mut Zones, now: Micros, worker: &str, outcome: Outcome) {
    let trace = |end| AttemptTrace { worker: worker.into(), sent: now, end };
    zones.record_attempt(now, trace(None));
    zones.record_attempt(now, trace(Some((outcome, 1, Some(50 * MS)))));
}

#[test]
fn without_peers_leaves_a_zone_of_failed_executors_and_closes_the_gate_at_its_index() {
    let mut zones = two_zones();
    ["a0", "a1", "b0", "b1"].iter().for_each(|w| attempt(&mut zones, 10 * MS, w, Outcome::Ok));
    zones.advance(50 * MS, FleetView::default());
    assert!(zones.request_gates(50 * MS, &BTreeMap::new()).is_empty());
    ["b0", "b1"].iter().for_each(|w| attempt(&mut zones, 60 * MS, w, Outcome::Reset));
    ["a0", "a1"].iter().for_each(|w| attempt(&mut zones, 70 * MS, w, Outcome::Ok));
    zones.advance(100 * MS, FleetView::default());
    let closed = |wanted| ZoneGate { remaining: 0, sent: 0, probe: wanted };
    assert_eq!(zones.request_gates(100 * MS, &BTreeMap::new()), [(0, closed(true))].into());
    assert_eq!(zones.restricted_zones_and_step_changes(), (1, 1));
}

#[test]
fn operator_order_overrides_observations_until_it_ends() {
    let mut zones = two_zones();
    assert_eq!(zones.set_order(0, "c", Some((Order::Leave, MS))), Err(ZoneError::UnknownZone("c".into())));
    assert_eq!(zones.set_order(0, "a", Some((Order::Leave, 500 * MS))), Ok(()));
    let closed = ZoneGate { remaining: 0, sent: 0, probe: false };
    assert_eq!(zones.request_gates(100 * MS, &BTreeMap::new()), [(1, closed)].into());
    assert!(zones.request_gates(600 * MS, &BTreeMap::new()).is_empty(), "the order has expired");
    assert_eq!(zones.set_order(700 * MS, "a", Some((Order::Leave, MOST_ORDER * 9))), Ok(()));
    assert_eq!(zones.set_order(800 * MS, "a", None), Ok(()));
    assert!(zones.request_gates(900 * MS, &BTreeMap::new()).is_empty(), "the order was cancelled");
}

#[test]
fn invalid_reports_change_nothing() {
    let mut zones = two_zones();
    zones.handle_report(0, &"x".into(), &[255; 50]);
    zones.handle_report(0, &"x".into(), &[]);
    assert_eq!(zones.restricted_zones_and_step_changes(), (0, 0));
}
