use super::*;
use crate::wire::{Record, State};
use std::net::SocketAddr;

fn claim(name: usize, incarnation: u64) -> Claim {
    let address = SocketAddr::from(([127, 0, 0, 1], 7));
    let name = format!("n{name}").into();
    Claim { name, address, instance: 1, incarnation, state: State::Alive, record: Record::default() }
}

#[test]
fn least_transmitted_claim_goes_first_and_each_is_sent_a_bounded_number_of_times() {
    let mut gossip = Gossip::default();
    gossip.add(claim(1, 1));
    gossip.add(claim(2, 1));
    assert_eq!(gossip.next(None)[0].name, claim(2, 1).name, "the latest of equally transmitted claims");
    gossip.record_sent(&[claim(2, 1)], 2);
    assert_eq!(gossip.next(None)[0].name, claim(1, 1).name);
    gossip.add(claim(2, 5));
    assert_eq!(gossip.next(None)[0], claim(2, 5), "a newer claim replaces the old one and its count");
    assert_eq!(gossip.next(Some(claim(1, 9)))[0], claim(1, 9));
    gossip.record_sent(&[claim(2, 5), claim(2, 5), claim(1, 1), claim(1, 1), claim(3, 1)], 2);
    assert_eq!(gossip.len(), 0);
}

#[test]
fn full_queue_evicts_a_transmitted_claim_for_a_new_one() {
    let mut gossip = Gossip::default();
    for n in 0..MAX_CLAIMS + 10 {
        gossip.add(claim(n, 1));
        gossip.record_sent(&[claim(n, 1)], 3);
    }
    assert_eq!(gossip.len(), MAX_CLAIMS);
    gossip.add(claim(MAX_CLAIMS + 10, 1));
    assert_eq!((gossip.len(), &gossip.next(None)[0]), (MAX_CLAIMS, &claim(MAX_CLAIMS + 10, 1)));
}
