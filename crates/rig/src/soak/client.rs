//! A client of one dispatcher that asks, leaves, takes back, and uses its connection for as long as that stands.

use super::record::{Class, Dispatcher, End, Micros, Recorder, Request};
use super::worker::answer_body;
use crate::stand::{Client, Reply, fields};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A request that crosses the end of its connection by less than this is sent once more.
const CROSSES_US: Micros = 50_000;
/// How much longer than it says a client reads on, to see what comes late.
const READS_ON: Duration = Duration::from_millis(3_500);
/// The longest rest between two requests, in milliseconds.
const MOST_REST_MS: u64 = 60;
/// A client that finds nobody looks again after this.
const LOOKS_AGAIN: Duration = Duration::from_millis(20);
/// Parts of a thousand of the requests that are taken back, or whose client closes its connection.
const TAKEN_BACK: u64 = 30;
const CLOSED: u64 = 20;
/// Functions that the clients of a dispatcher ask for.
const FUNCTIONS: u64 = 5;

/// Where a dispatcher is, and whether new connections still come.
#[derive(Clone, Copy, Debug, Default)]
pub struct Place {
    /// Its address, once it is ready.
    pub address: Option<SocketAddr>,
    /// A new connection may be made.
    pub open: bool,
}

/// What a client is.
#[derive(Clone)]
pub struct Make {
    /// Whom it asks.
    pub dispatcher: Dispatcher,
    /// Its place among all clients, which its ids begin with after the dispatcher's.
    pub number: u64,
    /// What it does is drawn from this.
    pub seed: u64,
    /// How long it waits, by class, in milliseconds.
    pub deadlines_ms: [u64; 3],
    /// It writes down that an answer came twice, was lost, or that it had left long ago: a planted fault.
    pub lies: Option<Lie>,
}

/// What a client that plants a fault writes down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lie {
    /// Its answers never came.
    Lost,
    /// It had left before it sent.
    Gone,
}

struct Asking {
    make: Make,
    place: Arc<Mutex<Place>>,
    recorder: Arc<Recorder>,
    random: Pcg32,
    client: Option<Client>,
    connected_to: Option<SocketAddr>,
    seq: i32,
    count: u64,
}

/// Asks until it is over.
pub fn ask(make: Make, place: Arc<Mutex<Place>>, recorder: Arc<Recorder>, over: &AtomicBool) {
    let random = Pcg32::seed_from_u64(make.seed);
    let mut asking =
        Asking { make, place, recorder, random, client: None, connected_to: None, seq: 0, count: 0 };
    while !over.load(Ordering::SeqCst) {
        let rest = asking.below(MOST_REST_MS);
        std::thread::sleep(Duration::from_millis(rest));
        if asking.connect() {
            asking.ask_once();
        } else {
            std::thread::sleep(LOOKS_AGAIN);
        }
    }
}

impl Asking {
    fn below(&mut self, most: u64) -> u64 {
        u64::from(self.random.next_u32()) % most
    }

    fn connect(&mut self) -> bool {
        if self.client.is_some() {
            return true;
        }
        let place = *self.place.lock().expect("a place");
        let Some(address) = place.address.filter(|_| place.open) else { return false };
        self.seq = 0;
        self.connected_to = Some(address);
        self.client = Client::try_connect(address).ok();
        self.client.is_some()
    }

    /// One request, from its sending to its end.
    fn ask_once(&mut self) {
        let class = Class::ALL[self.below(3) as usize];
        self.count += 1;
        let id = format!("{:04x}{:04x}{:08x}", self.make.dispatcher, self.make.number, self.count);
        let waits_ms = self.make.deadlines_ms[class as usize];
        let mut told = fields(class.name(), &id, waits_ms);
        let function = self.below(FUNCTIONS);
        let function = format!("{:04x}{function:012x}", self.make.dispatcher);
        told.insert("row".to_string(), function);
        if class == Class::Keyed {
            told.insert("dedupe".to_string(), format!("{id}{id}"));
        }
        let body = id.clone().into_bytes();
        let mut request = Request {
            dispatcher: self.make.dispatcher,
            id,
            class,
            sent_at: self.recorder.now(),
            waits: waits_ms * 1_000,
            end: End::NotTaken,
            ended_at: 0,
            left_at: None,
            answers: 0,
        };
        for attempt in 0..2 {
            self.seq += 1;
            let Some(client) = &mut self.client else { break };
            if client.try_serve(self.seq, &told, &body).is_err() {
                // Not all of it could be written: it was not taken.
                self.client = None;
                (request.end, request.ended_at) = (End::NotTaken, self.recorder.now());
                if attempt == 0 && self.connect() { continue } else { break }
            }
            request.sent_at = self.recorder.now();
            let lot = self.below(1_000);
            if lot < TAKEN_BACK + CLOSED {
                self.leave(&mut request, lot < TAKEN_BACK);
                break;
            }
            self.read(&mut request, &body);
            let crossed =
                request.end == End::ConnectionEnded && request.ended_at < request.sent_at + CROSSES_US;
            if !(attempt == 0 && crossed) {
                break;
            }
            if !self.connect() {
                request.end = End::NotTaken;
                break;
            }
        }
        if request.end == End::NotTaken && request.ended_at == 0 {
            request.ended_at = self.recorder.now();
        }
        match self.make.lies {
            Some(Lie::Lost) => request.end = End::NoAnswer,
            Some(Lie::Gone) => request.left_at = Some(request.sent_at.saturating_sub(5_000_000)),
            None => {}
        }
        self.recorder.write(|r| r.requests.push(request));
    }

    fn read(&mut self, request: &mut Request, body: &[u8]) {
        let Some(client) = &mut self.client else { return };
        let patience = Duration::from_micros(request.waits) + READS_ON;
        let _ = client.stream.set_read_timeout(Some(patience));
        let began = std::time::Instant::now();
        request.end = match client.receive() {
            Some((seq, reply)) => {
                request.answers = 1;
                match reply {
                    _ if seq != self.seq => End::ServedWrong,
                    Reply::Served(got) if got == answer_body(body) => End::Served,
                    Reply::Served(_) | Reply::Well(_) => End::ServedWrong,
                    Reply::Refused(_) => End::Refused,
                    Reply::Failed | Reply::Exception(_) => End::Failed,
                }
            }
            None if began.elapsed() >= patience => End::NoAnswer,
            None => End::ConnectionEnded,
        };
        request.ended_at = self.recorder.now();
        if request.answers == 0 {
            self.client = None;
        }
    }

    /// Takes the request back, or closes the connection.
    fn leave(&mut self, request: &mut Request, by_word: bool) {
        let after = self.below(40);
        std::thread::sleep(Duration::from_millis(after));
        let seq = self.seq;
        if by_word && let Some(client) = &mut self.client {
            self.seq += 1;
            let _ = client.try_forget(self.seq, seq);
            self.recorder.fault("request taken back");
        } else {
            self.recorder.fault("client closes");
        }
        // An answer may cross the word, so that the connection is of no more use here.
        self.client = None;
        (request.left_at, request.end) = (Some(self.recorder.now()), End::Left);
        request.ended_at = self.recorder.now();
    }
}
