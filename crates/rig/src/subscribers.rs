//! Subscribers of a control service without dispatchers: the dispatcher's own subscriber state machine on real sockets, many of
//! them on one thread. They accept every check and apply every version at once.

use ochreward_net::{Connection, Malformed, Poll, PollEvent, ProtocolHandler, Ring};
use ochreward_stream::subscriber::Options;
use ochreward_stream::trial::Rules;
use ochreward_stream::wire::{self, FromService, Health, ToService};
use ochreward_stream::{Action, Subscriber, SubscriberState};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::time::Instant;

/// The settings of a set of subscribers.
pub struct Setup {
    /// The number of subscribers.
    pub count: usize,
    /// The prefix of their instance names.
    pub prefix: String,
    /// The address of the control service.
    pub service: SocketAddr,
    /// The first and the longest backoff between connections, in milliseconds.
    pub backoff: (u64, u64),
}

/// An event of a subscriber.
pub enum Event {
    /// A stream was established.
    Up(Instant),
    /// A version was applied and acknowledged.
    Ran(Instant),
}

struct FrameParser;

impl ProtocolHandler for FrameParser {
    type Out = Vec<FromService>;

    fn on_received(&mut self, input: &mut Ring, out: &mut Vec<FromService>) -> Result<(), Malformed> {
        while let Some(body) = wire::body(input.contiguous()).map_err(|e| Malformed(e.0))? {
            let size = body.len() + 4;
            out.push(wire::decode(body).map_err(|e| Malformed(e.0))?);
            input.consume(size);
        }
        Ok(())
    }
}

struct SubscriberConnection {
    subscriber: Subscriber,
    link: Option<Connection<FrameParser>>,
}

/// A set of subscribers that one thread drives.
pub struct Subscribers {
    poll: Poll,
    start: Instant,
    streams: Vec<SubscriberConnection>,
}

impl Subscribers {
    /// Creates the subscribers; they connect when `run` is called.
    pub fn new(setup: &Setup) -> Subscribers {
        let connection = |n: usize| {
            let options = Options {
                instance: format!("{}{n:03}", setup.prefix),
                labels: BTreeMap::new(),
                services: vec![setup.service],
                backoff: (setup.backoff.0 * 1000, setup.backoff.1 * 1000),
                silence: 5_000_000,
                trial: Rules { length: 0, margin: 0.0, least: 1 },
                most_bytes: 1 << 24,
                has_base: true,
                seed: n as u64,
            };
            SubscriberConnection {
                subscriber: Subscriber::new(options, 0, SubscriberState::default(), None, None),
                link: None,
            }
        };
        Subscribers {
            poll: Poll::new().expect("a poll"),
            start: Instant::now(),
            streams: (0..setup.count).map(connection).collect(),
        }
    }

    /// Drives the subscribers until `stop` is set, and reports their events.
    pub fn run(&mut self, events: &Sender<Event>, stop: &AtomicBool) {
        let mut poll_events: Vec<PollEvent> = Vec::new();
        while !stop.load(Ordering::SeqCst) {
            self.poll.wait(5_000, &mut poll_events).expect("a wait");
            let now = self.start.elapsed().as_micros() as u64;
            for ready in poll_events.drain(..) {
                let connection = &mut self.streams[ready.token.slot as usize];
                let Some(link) = connection.link.as_mut().filter(|l| l.io.token() == ready.token) else {
                    continue;
                };
                let was_connecting = link.io.connecting();
                let mut messages = Vec::new();
                let ended =
                    link.handle_event(&mut self.poll, ready, &mut messages).is_err() || link.io.read_closed;
                if was_connecting && !ended && !link.io.connecting() {
                    connection.subscriber.on_connected(now);
                    let _ = events.send(Event::Up(Instant::now()));
                }
                messages.into_iter().for_each(|m| connection.subscriber.on_message(now, m));
                if ended {
                    connection.link = None;
                    connection.subscriber.on_connection_lost(now);
                }
            }
            for slot in 0..self.streams.len() {
                let connection = &mut self.streams[slot];
                if now >= connection.subscriber.next_due() {
                    connection.subscriber.advance(now, Health::default());
                }
                perform_steps(&mut self.poll, connection, slot, now, events);
            }
        }
    }
}

fn perform_steps(
    poll: &mut Poll,
    connection: &mut SubscriberConnection,
    slot: usize,
    now: u64,
    events: &Sender<Event>,
) {
    while let Some(step) = connection.subscriber.steps.pop_front() {
        match step {
            Action::Connect(to) => {
                let token = poll.token(0, slot);
                match Connection::connect(poll, to, token, FrameParser, (1 << 19, 1 << 19)) {
                    Ok(link) => connection.link = Some(link),
                    Err(_) => connection.subscriber.on_connection_lost(now),
                }
            }
            Action::Disconnect(_) => connection.link = None,
            Action::Send(message) => {
                if matches!(message, ToService::Ack { .. }) {
                    let _ = events.send(Event::Ran(Instant::now()));
                }
                if let Some(link) = &mut connection.link {
                    let _ = link.io.queue(&wire::encode_frame(&message));
                    let _ = link.flush(poll);
                }
            }
            Action::Check(ticket, _) => connection.subscriber.on_checked(ticket, Ok(())),
            Action::Apply(ticket, _) => connection.subscriber.on_applied(now, ticket, Ok(())),
            _ => {}
        }
    }
}
