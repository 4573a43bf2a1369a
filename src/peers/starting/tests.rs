use super::*;
use crate::names::ExecutorState;

fn offer(from: &str, serial: u64, ports: &[u16]) -> Offer {
    let executor = |port: &u16| Executor {
        id: format!("s{port}").into(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], *port)),
        zone: "a".into(),
        kind: "std".into(),
        cell: 0,
        state: ExecutorState::Ready,
        started_ms: 0,
    };
    Offer { from: from.into(), serial, age: 0, executors: ports.iter().map(executor).collect() }
}

fn peers(names: &[&str]) -> Vec<Arc<str>> {
    names.iter().map(|n| Arc::from(*n)).collect()
}

/// Asks all that it wants to ask.
fn asks(starting: &mut Starting, now: Micros, up: &[Arc<str>]) -> Vec<String> {
    let mut asked = Vec::new();
    while let Step::Ask(peer) = starting.step(now, up) {
        asked.push(peer.to_string());
    }
    asked
}

#[test]
fn two_are_asked_and_the_newest_list_is_taken() {
    let (mut starting, up) = (Starting::default(), peers(&["a", "b", "c"]));
    assert_eq!(asks(&mut starting, 0, &up), ["a", "b"]);
    assert!(starting.offered(1, offer("a", 3, &[1, 2])));
    assert_eq!(asks(&mut starting, 1, &up), ["c"], "one place is free");
    assert!(starting.offered(2, offer("b", 4, &[1])));
    assert_eq!(starting.step(2, &up), Step::Take("b".into()));
}

#[test]
fn one_that_never_answers_is_waited_for_no_longer_than_that() {
    let (mut starting, up) = (Starting::default(), peers(&["a", "b"]));
    asks(&mut starting, 0, &up);
    assert!(starting.offered(5, offer("b", 4, &[1])));
    assert_eq!(starting.step(6, &up), Step::Wait);
    assert_eq!(starting.step(5 + PATIENCE, &up), Step::Take("b".into()));
}

#[test]
fn lists_that_contradict_each_other_are_settled_by_a_third_or_not_taken() {
    let (mut starting, up) = (Starting::default(), peers(&["a", "b", "c"]));
    asks(&mut starting, 0, &up);
    starting.offered(1, offer("a", 4, &[1, 2]));
    starting.offered(1, offer("b", 4, &[1, 3]));
    assert_eq!(asks(&mut starting, 2, &up), ["c"]);
    starting.offered(3, offer("c", 4, &[1, 3]));
    assert!(matches!(starting.step(3, &up), Step::Take(from) if &*from != "a"));
    let (mut starting, up) = (Starting::default(), peers(&["a", "b"]));
    asks(&mut starting, 0, &up);
    starting.offered(1, offer("a", 4, &[1, 2]));
    starting.offered(1, offer("b", 4, &[1, 3]));
    assert_eq!(starting.step(2, &up), Step::Wait);
    assert_eq!(starting.refused, 2);
    assert_eq!(asks(&mut starting, 3, &up), ["a", "b"], "all are asked again");
}

#[test]
fn old_empty_and_doubled_lists_are_none() {
    let mut starting = Starting::default();
    assert!(!starting.offered(1, offer("a", 4, &[])));
    assert!(!starting.offered(1, offer("a", 4, &[1, 1])));
    assert!(!starting.offered(1, Offer { age: OLD + 1, ..offer("a", 4, &[1]) }));
    assert_eq!(starting.refused, 3);
}

#[test]
fn all_that_fail_are_asked_again_after_a_while() {
    let (mut starting, up) = (Starting::default(), peers(&["a"]));
    assert_eq!(asks(&mut starting, 0, &up), ["a"]);
    starting.failed(&up[0]);
    assert_eq!(starting.step(1, &up), Step::Wait);
    assert_eq!(starting.step(ANEW, &up), Step::Wait);
    assert_eq!(asks(&mut starting, ANEW + 1, &up), ["a"]);
}
