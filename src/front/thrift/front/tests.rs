//! Tests of the front alone on real connections, with orders of events that only the kernel decides in production.

use super::{Front, Limits};
use crate::core::{FinalAnswer, Ticket};
use crate::counters::Counters;
use crate::front::Intake;
use crate::net::{Listener, Poll, PollEvent};
use ochreward_rig::stand::{Client, fields};
use std::rc::Rc;

const SECOND: u64 = 1_000_000;

/// A front for two concurrent clients, with its event loop driven by the test.
struct TestFront {
    poll: Poll,
    front: Front,
    counters: Rc<Counters>,
}

impl TestFront {
    fn new(unsent: usize) -> TestFront {
        let mut poll = Poll::new().expect("epoll");
        let listener =
            Listener::bind(&mut poll, 3, "127.0.0.1:0".parse().expect("an address")).expect("a listener");
        let counters = Rc::new(Counters::default());
        let limits = Limits { connections: 2, unsent };
        let front = Front::new(3, listener, limits, counters.clone());
        TestFront { poll, front, counters }
    }

    fn client(&self) -> Client {
        Client::connect(self.front.address().expect("an address"))
    }

    /// Waits for at least one event and returns the events that are ready.
    fn wait_ready(&mut self) -> Vec<PollEvent> {
        let mut events = Vec::new();
        while events.is_empty() {
            self.poll.wait(SECOND, &mut events).expect("events");
        }
        events
    }

    /// Handles events until the condition holds.
    fn run_until(&mut self, now: u64, done: impl Fn(&TestFront) -> bool) {
        while !done(self) {
            for ready in self.wait_ready() {
                self.front.ready(&mut self.poll, now, ready);
            }
        }
    }
}

/// Sends a request and returns its ticket once the front has taken it in.
fn submit(fixture: &mut TestFront, client: &mut Client, seq: i32) -> Ticket {
    client.serve(seq, &fields("flow-read", &format!("{seq:016x}"), 20_000), b"");
    fixture.run_until(0, |b| !b.front.intake.is_empty());
    match fixture.front.intake.pop() {
        Some(Intake::Submit(submission)) => submission.ticket,
        _ => panic!("a request"),
    }
}

#[test]
fn client_that_reads_no_answers_is_closed_after_stall_timeout_even_if_it_sends() {
    let mut fixture = TestFront::new(1 << 24);
    let mut client = fixture.client();
    let open: Vec<Ticket> = (1..=9).map(|seq| submit(&mut fixture, &mut client, seq)).collect();
    let mut seq = 9;
    // The kernel buffers answers for a client that reads nothing until its buffers are full.
    while !fixture.front.links.iter().all(|(_, link)| link.handler.blocked) {
        seq += 1;
        let ticket = submit(&mut fixture, &mut client, seq);
        fixture.front.answer(&fixture.poll, 0, ticket, &FinalAnswer::Served(vec![7; 600_000]));
        let mut events = Vec::new();
        while fixture.poll.wait(SECOND / 5, &mut events).is_ok() && !events.is_empty() {
            events.drain(..).for_each(|ready| fixture.front.ready(&mut fixture.poll, 0, ready));
        }
    }
    for (second, ticket) in (1..).zip(&open) {
        client.forget(seq + second as i32, ticket.seq as i32);
        fixture.run_until(second * SECOND, |b| !b.front.intake.is_empty());
        assert!(matches!(fixture.front.intake.pop(), Some(Intake::Abandon(t)) if t == *ticket));
        fixture.front.advance(&mut fixture.poll, second * SECOND);
        assert_eq!(fixture.front.connections(), 1, "its stall time-out is not over");
    }
    fixture.front.advance(&mut fixture.poll, 10 * SECOND);
    assert_eq!(fixture.front.connections(), 0);
}

#[test]
fn client_with_unread_input_is_not_evicted_for_a_new_one() {
    let mut fixture = TestFront::new(1 << 20);
    let mut clients = [fixture.client(), fixture.client()];
    fixture.run_until(0, |b| b.front.connections() == 2);
    // Both have sent a message, the first one earlier; both may be evicted for a new client.
    for (n, client) in (1..).zip(&mut clients) {
        client.other("isWell", 1);
        fixture.run_until(n, |b| b.counters.health_checks.get() == n);
        assert!(client.receive().is_some());
    }
    // Accepting paused with both slots taken; it resumes here.
    fixture.front.advance(&mut fixture.poll, SECOND);
    let _third = fixture.client();
    let accepts = fixture.wait_ready();
    // The first client sends its request after the loop has polled and before it accepts.
    clients[0].serve(2, &fields("flow-read", "0000000000000001", 1_000), b"");
    while fixture.wait_ready().iter().all(|r| accepts.iter().any(|a| a.token == r.token)) {}
    for ready in accepts {
        fixture.front.ready(&mut fixture.poll, SECOND, ready);
    }
    assert_eq!((fixture.counters.clients_evicted.get(), fixture.front.connections()), (1, 2));
    fixture.run_until(SECOND, |b| !b.front.intake.is_empty());
    assert!(matches!(fixture.front.intake[..], [Intake::Submit(_)]));
}
