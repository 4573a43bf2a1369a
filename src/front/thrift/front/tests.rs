//! The front by itself, on real connections: what a turn of the loop may find in an order that only the kernel decides.

use super::{Front, Limits};
use crate::core::{FinalAnswer, Ticket};
use crate::counters::Counters;
use crate::front::Intake;
use crate::net::{Listener, Poll, PollEvent};
use ochreward_rig::stand::{Client, fields};
use std::rc::Rc;

const SECOND: u64 = 1_000_000;

/// A front for two clients at a time, and the loop's end of it.
struct Bed {
    poll: Poll,
    front: Front,
    counters: Rc<Counters>,
}

impl Bed {
    fn new(unsent: usize) -> Bed {
        let mut poll = Poll::new().expect("epoll");
        let listener =
            Listener::bind(&mut poll, 3, "127.0.0.1:0".parse().expect("an address")).expect("a listener");
        let counters = Rc::new(Counters::default());
        let limits = Limits { connections: 2, unsent };
        let front = Front::new(3, listener, limits, counters.clone());
        Bed { poll, front, counters }
    }

    fn client(&self) -> Client {
        Client::connect(self.front.address().expect("an address"))
    }

    /// What is ready now: at least one thing, waited for.
    fn happened(&mut self) -> Vec<PollEvent> {
        let mut happened = Vec::new();
        while happened.is_empty() {
            self.poll.wait(SECOND, &mut happened).expect("events");
        }
        happened
    }

    /// Handles what is ready until that much has been taken in or accepted.
    fn until(&mut self, now: u64, done: impl Fn(&Bed) -> bool) {
        while !done(self) {
            for ready in self.happened() {
                self.front.ready(&mut self.poll, now, ready);
            }
        }
    }
}

/// The client asks, and the front takes it in.
fn asked(bed: &mut Bed, client: &mut Client, seq: i32) -> Ticket {
    client.serve(seq, &fields("flow-read", &format!("{seq:016x}"), 20_000), b"");
    bed.until(0, |b| !b.front.intake.is_empty());
    match bed.front.intake.pop() {
        Some(Intake::Submit { ticket, .. }) => ticket,
        _ => panic!("a request"),
    }
}

#[test]
fn one_that_takes_no_answers_is_closed_in_its_time_whatever_it_says_meanwhile() {
    let mut bed = Bed::new(1 << 24);
    let mut client = bed.client();
    let open: Vec<Ticket> = (1..=9).map(|seq| asked(&mut bed, &mut client, seq)).collect();
    let mut seq = 9;
    // The system takes what it can hold for a client that reads nothing, and then no more.
    while !bed.front.links.iter().all(|(_, link)| link.handler.blocked) {
        seq += 1;
        let ticket = asked(&mut bed, &mut client, seq);
        bed.front.answer(&bed.poll, 0, ticket, &FinalAnswer::Served(vec![7; 600_000]));
        let mut happened = Vec::new();
        while bed.poll.wait(SECOND / 5, &mut happened).is_ok() && !happened.is_empty() {
            happened.drain(..).for_each(|ready| bed.front.ready(&mut bed.poll, 0, ready));
        }
    }
    for (second, ticket) in (1..).zip(&open) {
        client.forget(seq + second as i32, ticket.seq as i32);
        bed.until(second * SECOND, |b| !b.front.intake.is_empty());
        assert!(matches!(bed.front.intake.pop(), Some(Intake::Abandon(t)) if t == *ticket));
        bed.front.advance(&mut bed.poll, second * SECOND);
        assert_eq!(bed.front.connections(), 1, "its time is not over");
    }
    bed.front.advance(&mut bed.poll, 10 * SECOND);
    assert_eq!(bed.front.connections(), 0);
}

#[test]
fn a_place_is_made_by_closing_a_client_of_whom_nothing_lies_unread() {
    let mut bed = Bed::new(1 << 20);
    let mut clients = [bed.client(), bed.client()];
    bed.until(0, |b| b.front.connections() == 2);
    // Both were heard, the first one longer ago; both may be closed for another's sake.
    for (n, client) in (1..).zip(&mut clients) {
        client.other("isWell", 1);
        bed.until(n, |b| b.counters.health_checks.get() == n);
        assert!(client.receive().is_some());
    }
    // With both places taken accepting has paused; it goes on.
    bed.front.advance(&mut bed.poll, SECOND);
    let _third = bed.client();
    let accepts = bed.happened();
    // The first asks only after the turn has learned what is ready, and before it accepts.
    clients[0].serve(2, &fields("flow-read", "0000000000000001", 1_000), b"");
    while bed.happened().iter().all(|r| accepts.iter().any(|a| a.token == r.token)) {}
    for ready in accepts {
        bed.front.ready(&mut bed.poll, SECOND, ready);
    }
    assert_eq!((bed.counters.clients_evicted.get(), bed.front.connections()), (1, 2));
    bed.until(SECOND, |b| !b.front.intake.is_empty());
    assert!(matches!(bed.front.intake[..], [Intake::Submit { .. }]));
}
