use super::*;
use crate::wire::{Record, State};
use std::net::SocketAddr;

fn claim(name: usize, incarnation: u64) -> Claim {
    let address = SocketAddr::from(([127, 0, 0, 1], 7));
    let name = format!("n{name}").into();
    Claim { name, address, instance: 1, incarnation, state: State::Alive, record: Record::default() }
}

#[test]
fn the_least_passed_on_goes_first_and_each_goes_out_so_often() {
    let mut gossip = Gossip::default();
    gossip.add(claim(1, 1));
    gossip.add(claim(2, 1));
    assert_eq!(gossip.next(None)[0].name, claim(2, 1).name, "the last that came");
    gossip.sent(&[claim(2, 1)], 2);
    assert_eq!(gossip.next(None)[0].name, claim(1, 1).name);
    gossip.add(claim(2, 5));
    assert_eq!(gossip.next(None)[0], claim(2, 5), "news begins anew, in place of the old");
    assert_eq!(gossip.next(Some(claim(1, 9)))[0], claim(1, 9));
    gossip.sent(&[claim(2, 5), claim(2, 5), claim(1, 1), claim(1, 1), claim(3, 1)], 2);
    assert_eq!(gossip.len(), 0);
}

#[test]
fn it_is_bounded_and_news_finds_room() {
    let mut gossip = Gossip::default();
    for n in 0..MOST + 10 {
        gossip.add(claim(n, 1));
        gossip.sent(&[claim(n, 1)], 3);
    }
    assert_eq!(gossip.len(), MOST);
    gossip.add(claim(MOST + 10, 1));
    assert_eq!((gossip.len(), &gossip.next(None)[0]), (MOST, &claim(MOST + 10, 1)));
}
