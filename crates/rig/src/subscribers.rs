//! Subscribers of a control service without a dispatcher around them: the program's own state machine on real sockets,
//! many of them on one thread. They say yes to every check and apply every version at once.

use ochreward_net::{Connection, Malformed, Poll, PollEvent, ProtocolHandler, Ring};
use ochreward_stream::subscriber::Options;
use ochreward_stream::trial::Rules;
use ochreward_stream::wire::{self, FromService, Health, ToService};
use ochreward_stream::{Memory, Step, Subscriber};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::time::Instant;

/// What they are.
pub struct Setup {
    /// How many.
    pub count: usize,
    /// Their instances' names begin with this.
    pub prefix: String,
    /// The control service.
    pub service: SocketAddr,
    /// The first and the last wait between connections, in milliseconds.
    pub backoff: (u64, u64),
}

/// What happened to one of them.
pub enum Event {
    /// A stream is up.
    Up(Instant),
    /// A version runs.
    Ran(Instant),
}

struct Frames;

impl ProtocolHandler for Frames {
    type Out = Vec<FromService>;

    fn on_received(&mut self, input: &mut Ring, out: &mut Vec<FromService>) -> Result<(), Malformed> {
        while let Some(body) = wire::body(input.contiguous()).map_err(|e| Malformed(e.0))? {
            let size = body.len() + 4;
            out.push(wire::parse(body).map_err(|e| Malformed(e.0))?);
            input.consume(size);
        }
        Ok(())
    }
}

struct One {
    subscriber: Subscriber,
    link: Option<Connection<Frames>>,
}

/// All of them, on one thread.
pub struct Subscribers {
    poll: Poll,
    start: Instant,
    streams: Vec<One>,
}

impl Subscribers {
    /// As many as the setup says; nothing is connected yet.
    pub fn new(setup: &Setup) -> Subscribers {
        let one = |n: usize| {
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
            One { subscriber: Subscriber::new(options, 0, Memory::default(), None, None), link: None }
        };
        Subscribers {
            poll: Poll::new().expect("a poll"),
            start: Instant::now(),
            streams: (0..setup.count).map(one).collect(),
        }
    }

    /// Streams until it is told to stop.
    pub fn run(&mut self, tell: &Sender<Event>, stop: &AtomicBool) {
        let mut happened: Vec<PollEvent> = Vec::new();
        while !stop.load(Ordering::SeqCst) {
            self.poll.wait(5_000, &mut happened).expect("a wait");
            let now = self.start.elapsed().as_micros() as u64;
            for ready in happened.drain(..) {
                let one = &mut self.streams[ready.token.slot as usize];
                let Some(link) = one.link.as_mut().filter(|l| l.io.token() == ready.token) else { continue };
                let rising = link.io.connecting();
                let mut said = Vec::new();
                let ended =
                    link.handle_event(&mut self.poll, ready, &mut said).is_err() || link.io.read_closed;
                if rising && !ended && !link.io.connecting() {
                    one.subscriber.connected_now(now);
                    let _ = tell.send(Event::Up(Instant::now()));
                }
                said.into_iter().for_each(|m| one.subscriber.received(now, m));
                if ended {
                    one.link = None;
                    one.subscriber.lost(now);
                }
            }
            for slot in 0..self.streams.len() {
                let one = &mut self.streams[slot];
                if now >= one.subscriber.due() {
                    one.subscriber.advance(now, Health::default());
                }
                carry(&mut self.poll, one, slot, now, tell);
            }
        }
    }
}

fn carry(poll: &mut Poll, one: &mut One, slot: usize, now: u64, tell: &Sender<Event>) {
    while let Some(step) = one.subscriber.steps.pop_front() {
        match step {
            Step::Connect(to) => {
                let token = poll.token(0, slot);
                match Connection::connect(poll, to, token, Frames, (1 << 19, 1 << 19)) {
                    Ok(link) => one.link = Some(link),
                    Err(_) => one.subscriber.lost(now),
                }
            }
            Step::Disconnect(_) => one.link = None,
            Step::Send(message) => {
                if matches!(message, ToService::Ack { .. }) {
                    let _ = tell.send(Event::Ran(Instant::now()));
                }
                if let Some(link) = &mut one.link {
                    let _ = link.io.queue(&wire::frame(&message));
                    let _ = link.flush(poll);
                }
            }
            Step::Check(ticket, _) => one.subscriber.checked(ticket, Ok(())),
            Step::Apply(ticket, _) => one.subscriber.applied(now, ticket, Ok(())),
            _ => {}
        }
    }
}
