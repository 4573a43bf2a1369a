use super::*;
use crate::discovery::ExecutorState;

fn offer(from: &str, serial: u64, ports: &[u16]) -> Offer {
    let executor = |port: &u16| Executor {
        id: format!("s{port}").into(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], *port)),
        zone: "a".into(),
        kind: "std".into(),
        cell: 0,
        state: ExecutorState::Ready,
        started_ms: 0,
        weight: 0,
    };
    Offer { from: from.into(), serial, age: 0, executors: ports.iter().map(executor).collect() }
}

fn peers(names: &[&str]) -> Vec<Arc<str>> {
    names.iter().map(|n| Arc::from(*n)).collect()
}

/// Returns the peers that are asked until no further request is made.
fn ask_all(search: &mut ListSearch, now: Micros, up: &[Arc<str>]) -> Vec<String> {
    let mut asked = Vec::new();
    while let Step::Ask(peer) = search.step(now, up) {
        asked.push(peer.to_string());
    }
    asked
}

#[test]
fn asks_two_peers_and_accepts_the_newest_list() {
    let (mut search, up) = (ListSearch::default(), peers(&["a", "b", "c"]));
    assert_eq!(ask_all(&mut search, 0, &up), ["a", "b"]);
    assert!(search.add_offer(1, offer("a", 3, &[1, 2])));
    assert_eq!(ask_all(&mut search, 1, &up), ["c"], "one request slot is free");
    assert!(search.add_offer(2, offer("b", 4, &[1])));
    assert_eq!(search.step(2, &up), Step::Accept("b".into()));
}

#[test]
fn waits_a_bounded_time_for_a_peer_that_never_answers() {
    let (mut search, up) = (ListSearch::default(), peers(&["a", "b"]));
    ask_all(&mut search, 0, &up);
    assert!(search.add_offer(5, offer("b", 4, &[1])));
    assert_eq!(search.step(6, &up), Step::Wait);
    assert_eq!(search.step(5 + FURTHER_OFFERS_WAIT_US, &up), Step::Accept("b".into()));
}

#[test]
fn contradicting_lists_are_decided_by_a_third_peer_or_rejected() {
    let (mut search, up) = (ListSearch::default(), peers(&["a", "b", "c"]));
    ask_all(&mut search, 0, &up);
    search.add_offer(1, offer("a", 4, &[1, 2]));
    search.add_offer(1, offer("b", 4, &[1, 3]));
    assert_eq!(ask_all(&mut search, 2, &up), ["c"]);
    search.add_offer(3, offer("c", 4, &[1, 3]));
    assert!(matches!(search.step(3, &up), Step::Accept(from) if &*from != "a"));
    let (mut search, up) = (ListSearch::default(), peers(&["a", "b"]));
    ask_all(&mut search, 0, &up);
    search.add_offer(1, offer("a", 4, &[1, 2]));
    search.add_offer(1, offer("b", 4, &[1, 3]));
    assert_eq!(search.step(2, &up), Step::Wait);
    assert_eq!(search.rejected, 2);
    assert_eq!(ask_all(&mut search, 3, &up), ["a", "b"], "all peers are asked again");
}

#[test]
fn rejects_old_and_empty_lists_and_duplicate_ids() {
    let mut search = ListSearch::default();
    assert!(!search.add_offer(1, offer("a", 4, &[])));
    assert!(!search.add_offer(1, offer("a", 4, &[1, 1])));
    assert!(!search.add_offer(1, Offer { age: MAX_LIST_AGE_US + 1, ..offer("a", 4, &[1]) }));
    assert_eq!(search.rejected, 3);
}

#[test]
fn failed_peers_are_asked_again_after_the_retry_delay() {
    let (mut search, up) = (ListSearch::default(), peers(&["a"]));
    assert_eq!(ask_all(&mut search, 0, &up), ["a"]);
    search.failed(&up[0]);
    assert_eq!(search.step(1, &up), Step::Wait);
    assert_eq!(search.step(RETRY_DELAY_US, &up), Step::Wait);
    assert_eq!(ask_all(&mut search, RETRY_DELAY_US + 1, &up), ["a"]);
}
