//! A client of one dispatcher. It sends requests one after the other on a kept-open connection, abandons some of them by a cancel
//! message or by closing the connection, and records how each one ended. All choices are drawn from its seed.

use super::record::{Class, Dispatcher, Micros, Recorder, Request, RequestEnd};
use super::worker::answer_body;
use crate::stand::{Client, Reply, fields};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// If the connection ends within this time after a request was sent, the close and the request may have crossed on the wire; the
/// request is then sent once more.
const CLOSE_RACE_US: Micros = 50_000;
/// How long a client keeps reading after its stated timeout, to observe late answers.
const LATE_ANSWER_WAIT: Duration = Duration::from_millis(3_500);
/// The longest pause between two requests, in milliseconds.
const MAX_PAUSE_MS: u64 = 60;
/// The pause between two requests in a crowd.
const CROWD_PAUSE: Duration = Duration::from_millis(1);
/// The interval between attempts to connect.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(20);
/// How many of a thousand requests the client cancels, and for how many it closes its connection.
const CANCELLED_PER_MILLE: u64 = 30;
const CLOSED_PER_MILLE: u64 = 20;
/// The number of functions that the clients of a dispatcher request.
const FUNCTIONS_PER_DISPATCHER: u64 = 5;

/// The address of a dispatcher and whether clients may open new connections to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// The address, once the dispatcher is ready.
    pub address: Option<SocketAddr>,
    /// Whether new connections may be opened.
    pub accepts_connections: bool,
}

/// The settings of a client.
#[derive(Clone)]
pub struct ClientSettings {
    /// The dispatcher that it connects to.
    pub dispatcher: Dispatcher,
    /// Its number among the clients of the dispatcher, which follows the dispatcher's number in its request ids.
    pub number: u64,
    /// The seed of its random choices.
    pub seed: u64,
    /// The timeout of each class, in milliseconds.
    pub deadlines_ms: [u64; 3],
    /// The false record that the client writes, to verify that the judge finds it.
    pub planted: Option<PlantedRecord>,
    /// The client sends without pauses until this time.
    pub crowd_until: Arc<AtomicU64>,
}

/// A false record that a client writes on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedRecord {
    /// No answer was received.
    Lost,
    /// The request was abandoned before it was sent.
    Gone,
}

struct ClientState {
    settings: ClientSettings,
    endpoint: Arc<Mutex<Endpoint>>,
    recorder: Arc<Recorder>,
    random: Pcg32,
    client: Option<Client>,
    connected_to: Option<SocketAddr>,
    seq: i32,
    request_count: u64,
}

/// Sends requests until `over` is set.
pub fn run(
    settings: ClientSettings,
    endpoint: Arc<Mutex<Endpoint>>,
    recorder: Arc<Recorder>,
    over: &AtomicBool,
) {
    let random = Pcg32::seed_from_u64(settings.seed);
    let mut client_state = ClientState {
        settings,
        endpoint,
        recorder,
        random,
        client: None,
        connected_to: None,
        seq: 0,
        request_count: 0,
    };
    while !over.load(Ordering::SeqCst) {
        let pause_ms = client_state.below(MAX_PAUSE_MS);
        let in_crowd = client_state.recorder.now() < client_state.settings.crowd_until.load(Ordering::SeqCst);
        std::thread::sleep(if in_crowd { CROWD_PAUSE } else { Duration::from_millis(pause_ms) });
        if client_state.connect() {
            client_state.send_request();
        } else {
            std::thread::sleep(RECONNECT_INTERVAL);
        }
    }
}

impl ClientState {
    fn below(&mut self, max: u64) -> u64 {
        u64::from(self.random.next_u32()) % max
    }

    fn connect(&mut self) -> bool {
        if self.client.is_some() {
            return true;
        }
        let endpoint = *self.endpoint.lock().expect("the endpoint lock");
        let Some(address) = endpoint.address.filter(|_| endpoint.accepts_connections) else { return false };
        self.seq = 0;
        self.connected_to = Some(address);
        self.client = Client::try_connect(address).ok();
        self.client.is_some()
    }

    /// Sends one request, or abandons it, and records its end.
    fn send_request(&mut self) {
        let class = Class::ALL[self.below(3) as usize];
        self.request_count += 1;
        let id =
            format!("{:04x}{:04x}{:08x}", self.settings.dispatcher, self.settings.number, self.request_count);
        let timeout_ms = self.settings.deadlines_ms[class as usize];
        let mut request_fields = fields(class.name(), &id, timeout_ms);
        let function = self.below(FUNCTIONS_PER_DISPATCHER);
        let function = format!("{:04x}{function:012x}", self.settings.dispatcher);
        request_fields.insert("row".to_string(), function);
        if class == Class::Keyed {
            request_fields.insert("dedupe".to_string(), format!("{id}{id}"));
        }
        let body = id.clone().into_bytes();
        let mut request = Request {
            dispatcher: self.settings.dispatcher,
            id,
            class,
            sent_at: self.recorder.now(),
            timeout: timeout_ms * 1_000,
            end: RequestEnd::NotAccepted,
            ended_at: 0,
            abandoned_at: None,
            answers: 0,
        };
        for attempt in 0..2 {
            self.seq += 1;
            let Some(client) = &mut self.client else { break };
            if client.try_serve(self.seq, &request_fields, &body).is_err() {
                // An incomplete request was not accepted.
                self.client = None;
                (request.end, request.ended_at) = (RequestEnd::NotAccepted, self.recorder.now());
                if attempt == 0 && self.connect() { continue } else { break }
            }
            request.sent_at = self.recorder.now();
            let choice = self.below(1_000);
            if choice < CANCELLED_PER_MILLE + CLOSED_PER_MILLE {
                self.abandon(&mut request, choice < CANCELLED_PER_MILLE);
                break;
            }
            self.read(&mut request, &body);
            let may_have_crossed = request.end == RequestEnd::ConnectionEnded
                && request.ended_at < request.sent_at + CLOSE_RACE_US;
            if !(attempt == 0 && may_have_crossed) {
                break;
            }
            if !self.connect() {
                request.end = RequestEnd::NotAccepted;
                break;
            }
        }
        if request.end == RequestEnd::NotAccepted && request.ended_at == 0 {
            request.ended_at = self.recorder.now();
        }
        match self.settings.planted {
            Some(PlantedRecord::Lost) => request.end = RequestEnd::NoAnswer,
            Some(PlantedRecord::Gone) => {
                request.abandoned_at = Some(request.sent_at.saturating_sub(5_000_000))
            }
            None => {}
        }
        self.recorder.write(|r| r.requests.push(request));
    }

    fn read(&mut self, request: &mut Request, body: &[u8]) {
        let Some(client) = &mut self.client else { return };
        let read_timeout = Duration::from_micros(request.timeout) + LATE_ANSWER_WAIT;
        let _ = client.stream.set_read_timeout(Some(read_timeout));
        let started = std::time::Instant::now();
        request.end = match client.receive() {
            Some((seq, reply)) => {
                request.answers = 1;
                match reply {
                    _ if seq != self.seq => RequestEnd::ServedWrong,
                    Reply::Served(got) if got == answer_body(body) => RequestEnd::Served,
                    Reply::Served(_) | Reply::Well(_) => RequestEnd::ServedWrong,
                    Reply::Refused(_) => RequestEnd::Refused,
                    Reply::Failed | Reply::Exception(_) => RequestEnd::Failed,
                }
            }
            None if started.elapsed() >= read_timeout => RequestEnd::NoAnswer,
            None => RequestEnd::ConnectionEnded,
        };
        request.ended_at = self.recorder.now();
        if request.answers == 0 {
            self.client = None;
        }
    }

    /// Abandons the request after a short time, by a cancel message or by closing the connection.
    fn abandon(&mut self, request: &mut Request, by_cancel: bool) {
        let delay_ms = self.below(40);
        std::thread::sleep(Duration::from_millis(delay_ms));
        let seq = self.seq;
        if by_cancel && let Some(client) = &mut self.client {
            self.seq += 1;
            let _ = client.try_forget(self.seq, seq);
            self.recorder.fault("request cancelled");
        } else {
            self.recorder.fault("client closed its connection");
        }
        // An answer may cross the cancel message on the wire, so the connection is not used again.
        self.client = None;
        (request.abandoned_at, request.end) = (Some(self.recorder.now()), RequestEnd::Abandoned);
        request.ended_at = self.recorder.now();
    }
}
