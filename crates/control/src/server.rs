//! The event loop of the control service: subscriber streams and admin requests on one listener, one thread and one epoll
//! instance.
//!
//! Each connection has bounded input and output rings. An offer is written to the output ring piece by piece as space
//! becomes free, and all connections share one copy of the text, so that a thousand slow readers cost little more memory
//! than a thousand rings.

use crate::admin::{Answer, MAX_DOCUMENT_BYTES, Request};
use crate::log::{self, Log};
use crate::rollout::RolloutPlan;
use crate::service::{Action, ConnectionId, PublishOutcome, Service, Timestamp};
use ochreward_net::{
    Accepted, Clock, Closed, Connection, Listener, Malformed, Poll, PollEvent, ProtocolHandler, Ring,
    SignalRequest, Signals,
};
use ochreward_stream::wire::{self, Entry, Fault, FromService, MAX_FRAME_BYTES, ToService};
use ochreward_stream::{Kind, Snapshot};
use serde_json::{Value, json};
use slab::Slab;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use tracing::{info, warn};

const SIGNALS: u8 = 0;
const LISTENER: u8 = 1;
const CONNECTIONS: u8 = 2;

/// The capacities of a connection's input and output rings, in bytes.
const INPUT_RING_BYTES: usize = 2 * (MAX_FRAME_BYTES + 4);
const OUTPUT_RING_BYTES: usize = 4 * (MAX_FRAME_BYTES + 4);
/// A connection that is neither a subscriber's nor a watching client's after this long is closed, in microseconds.
const IDENTIFY_TIMEOUT_US: u64 = 5_000_000;
/// A stream without a message for this number of heartbeat intervals is closed.
const MAX_MISSED_HEARTBEATS: u64 = 5;
/// The longest wait for events in one iteration of the loop, in microseconds.
const MAX_WAIT_US: u64 = 250_000;
/// The number of frames written to a connection at a time, so that a fast reader does not delay the others.
const MAX_FRAMES_PER_TURN: usize = 16;
/// The number of connections accepted in one iteration of the loop.
const MAX_ACCEPTS_PER_TURN: usize = 64;

/// Parses and validates a document that is to be published.
pub type Reader = fn(&str) -> Result<Value, Vec<Fault>>;

/// The configuration of a server.
pub struct Options {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The folder of the log.
    pub store_folder: PathBuf,
    /// The maximum number of concurrent connections.
    pub max_connections: usize,
    /// The heartbeat interval, in microseconds.
    pub heartbeat_us: u64,
    /// The parameters of rollouts.
    pub plan: RolloutPlan,
    /// Parses and validates documents.
    pub parse_document: Reader,
}

/// The reason why the server could not start or had to stop.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The log can't be used.
    #[error(transparent)]
    Log(#[from] log::Error),
    /// The network or the file system returned an error.
    #[error("the control service can't continue, {0}: check its address, its file descriptors and its disk")]
    Io(#[from] io::Error),
}

/// Decodes the frames that a connection receives.
struct FrameReader {
    /// Whether further input is discarded, since the connection is being closed.
    discard: bool,
}

/// A message from a connection.
enum Incoming {
    Stream(ToService),
    Admin(Request),
}

impl ProtocolHandler for FrameReader {
    type Out = Vec<Incoming>;

    fn on_received(&mut self, input: &mut Ring, out: &mut Vec<Incoming>) -> Result<(), Malformed> {
        if self.discard {
            input.consume(input.len());
            return Ok(());
        }
        loop {
            let bytes = input.contiguous();
            let Some(body) = wire::body(bytes).map_err(|e| Malformed(e.0))? else { return Ok(()) };
            let size = body.len() + 4;
            let message = match wire::decode(body) {
                Ok(message) => Incoming::Stream(message),
                Err(e) => Incoming::Admin(wire::decode(body).map_err(|_| Malformed(e.0))?),
            };
            out.push(message);
            input.consume(size);
        }
    }
}

/// A text that is being sent in pieces. `at` is the offset of the next piece in the current text, `kinds` lists the types
/// that are still to be sent.
enum Outgoing {
    Offer { nonce: u64, snapshot: Arc<Snapshot>, kinds: Vec<Kind>, at: usize },
    Answer { text: String, at: usize, ok: bool },
}

/// A connection of a subscriber or an admin client.
struct ClientConnection {
    link: Connection<FrameReader>,
    /// The time of acceptance, or of the last piece of a document.
    active_since: u64,
    last_received: u64,
    outgoing: Option<Outgoing>,
    /// The pieces of a document received so far.
    document: String,
    watches: bool,
    /// Whether the connection is closed once its output has been sent.
    closing: bool,
}

/// The control service with its listener, its log and its connections.
pub struct Server {
    poll: Poll,
    clock: Clock,
    listener: Listener,
    signals: Signals,
    options: Options,
    service: Service,
    log: Log,
    connections: Slab<ClientConnection>,
    next_heartbeat_at: u64,
    incoming: Vec<Incoming>,
    /// Connections that have sent all their output and have more to send.
    ready_to_send: Vec<usize>,
    /// The error of a failed write to the log: decisions taken since are not recorded, so the server must stop.
    log_failure: Option<io::Error>,
}

/// Reads the current time.
fn now(clock: &Clock) -> Timestamp {
    let us = clock.read();
    Timestamp { us, unix_ms: clock.unix_ms(us) }
}

impl Server {
    /// Opens the store, recovers the service from it, and starts to listen.
    pub fn new(options: Options) -> Result<Server, Error> {
        let (mut log, records) = Log::open(&options.store_folder)?;
        let clock = Clock::start();
        let time = now(&clock);
        let mut poll = Poll::new()?;
        let listener = Listener::bind(&mut poll, LISTENER, options.listen)?;
        let signals = Signals::new(&mut poll, SIGNALS)?;
        // The id of a new store is unique unless two processes with the same id create stores in the same microsecond.
        let fresh_id = format!("{:x}-{:x}", time.us, std::process::id());
        let mut service =
            Service::recover(options.plan.clone(), options.heartbeat_us, records, time, &fresh_id);
        let (records, _) = service.flush();
        log.append(&records)?;
        let next_heartbeat_at = time.us + options.heartbeat_us;
        Ok(Server {
            poll,
            clock,
            listener,
            signals,
            options,
            service,
            log,
            connections: Slab::new(),
            next_heartbeat_at,
            incoming: Vec::new(),
            ready_to_send: Vec::new(),
            log_failure: None,
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.address()
    }

    /// Returns the epoch of the service.
    pub fn epoch(&self) -> u64 {
        self.service.epoch()
    }

    /// Serves until SIGTERM.
    pub fn run(&mut self) -> Result<(), Error> {
        let mut events = Vec::new();
        loop {
            let time = self.clock.read();
            let due =
                self.next_heartbeat_at.min(self.service.due(time)).saturating_sub(time).min(MAX_WAIT_US);
            self.poll.wait(if self.ready_to_send.is_empty() { due } else { 0 }, &mut events)?;
            let time = now(&self.clock);
            std::mem::take(&mut self.ready_to_send).into_iter().for_each(|slot| self.send_pending(slot));
            for ready in events.drain(..) {
                match ready.token.owner {
                    SIGNALS => self.signals.drain_wakeup(ready.token),
                    LISTENER => self.accept(time),
                    _ => self.ready(time, ready),
                }
                if let Some(e) = self.log_failure.take() {
                    return Err(e.into());
                }
                self.commit_and_act()?;
            }
            if self.signals.take_requests().contains(&SignalRequest::Stop) {
                return Ok(());
            }
            if time.us >= self.next_heartbeat_at {
                self.next_heartbeat_at = time.us + self.options.heartbeat_us;
                self.service.send_heartbeats();
                self.close_silent(time);
            }
            self.service.advance(time);
            self.commit_and_act()?;
            if self.log.needs_compaction() {
                self.log.compact(&self.service.snapshot_records())?;
                info!("compacted the log");
            }
        }
    }

    fn accept(&mut self, time: Timestamp) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let fd = match self.listener.accept() {
                Accepted::Connection(fd) => fd,
                Accepted::None => return,
                Accepted::OutOfDescriptors => {
                    return warn!("out of file descriptors: new connections are not accepted");
                }
            };
            if self.connections.len() >= self.options.max_connections {
                warn!(
                    streams = self.connections.len(),
                    "closed a new connection: the maximum number of connections is reached"
                );
                continue;
            }
            let entry = self.connections.vacant_entry();
            let token = self.poll.token(CONNECTIONS, entry.key());
            if let Ok(link) = Connection::accepted(
                &self.poll,
                fd,
                token,
                FrameReader { discard: false },
                (INPUT_RING_BYTES, OUTPUT_RING_BYTES),
            ) {
                entry.insert(ClientConnection {
                    link,
                    active_since: time.us,
                    last_received: time.us,
                    outgoing: None,
                    document: String::new(),
                    watches: false,
                    closing: false,
                });
            }
        }
    }

    fn ready(&mut self, time: Timestamp, ready: PollEvent) {
        let slot = ready.token.slot as usize;
        let Some(connection) =
            self.connections.get_mut(slot).filter(|connection| connection.link.io.token() == ready.token)
        else {
            return;
        };
        let mut incoming = std::mem::take(&mut self.incoming);
        let result = connection.link.handle_event(&mut self.poll, ready, &mut incoming);
        if !incoming.is_empty() {
            connection.last_received = time.us;
        }
        for message in incoming.drain(..) {
            if !self.connections.contains(slot) {
                break;
            }
            match message {
                Incoming::Stream(message) => {
                    if let Err(why) = self.service.received(time, slot, message) {
                        self.refuse(slot, why.to_string());
                    }
                }
                Incoming::Admin(ask) => self.on_admin_request(time, slot, ask),
            }
        }
        self.incoming = incoming;
        match result {
            Err(why) => {
                if let Closed::Malformed(why) = why {
                    warn!(why, "closed a connection: malformed input");
                }
                self.close(slot);
            }
            Ok(()) => self.send_pending(slot),
        }
        if self.connections.get(slot).is_some_and(|connection| connection.link.io.read_closed) {
            self.close(slot);
        }
    }

    /// Sends a subscriber the reason for refusing it, and closes its connection.
    fn refuse(&mut self, slot: usize, why: String) {
        warn!(why, "refused a subscriber");
        self.service.lost(slot);
        if let Some(connection) = self.connections.get_mut(slot) {
            let _ = connection.link.io.queue(&wire::encode_frame(&FromService::Refused { why }));
            (connection.closing, connection.outgoing, connection.link.handler.discard) = (true, None, true);
        }
    }

    fn close(&mut self, slot: ConnectionId) {
        self.service.lost(slot);
        self.connections.try_remove(slot);
    }

    /// Closes connections that have not identified themselves in time, and streams that miss their heartbeats.
    fn close_silent(&mut self, time: Timestamp) {
        let silence = self.options.heartbeat_us * MAX_MISSED_HEARTBEATS;
        let timed_out = |(slot, connection): (usize, &ClientConnection)| {
            let is_subscriber = self.service.is_subscriber(slot);
            let unidentified = !is_subscriber
                && !connection.watches
                && time.us >= connection.active_since + IDENTIFY_TIMEOUT_US;
            let silent = is_subscriber && time.us >= connection.last_received + silence;
            (unidentified || silent).then_some(slot)
        };
        let timed_out: Vec<usize> = self.connections.iter().filter_map(timed_out).collect();
        timed_out.into_iter().for_each(|slot| self.close(slot));
    }

    /// Appends the service's records to the log, then carries out its actions. An action must not take effect before its
    /// records are written. If the log can't be written the service stops, and a restart resumes from the last record.
    fn commit_and_act(&mut self) -> io::Result<()> {
        loop {
            let (records, actions) = self.service.flush();
            if records.is_empty() && actions.is_empty() {
                return Ok(());
            }
            self.log.append(&records)?;
            for action in actions {
                self.act(action);
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send(slot, message) => {
                let Some(connection) = self.connections.get_mut(slot) else { return };
                // A heartbeat that does not fit is dropped rather than closing the connection: a full output ring means
                // that other data is being sent. Between two parts of an offer a heartbeat is harmless.
                let fits = connection.link.io.queue(&wire::encode_frame(&message));
                if !fits && !matches!(message, FromService::Heartbeat {}) {
                    return self.close(slot);
                }
                self.send_pending(slot);
            }
            Action::Offer(slot, nonce, snapshot, held) => self.offer(slot, nonce, snapshot, &held),
            Action::Close(slot) => self.close(slot),
            Action::Notify(event) => {
                info!(target: "ochreward_control", "{event}");
                let frame = wire::encode_frame(&Answer::Event { event });
                let watching: Vec<usize> = self
                    .connections
                    .iter()
                    .filter(|(_, connection)| connection.watches)
                    .map(|(slot, _)| slot)
                    .collect();
                for slot in watching {
                    // A client that can't keep up is closed rather than sent an incomplete sequence of events.
                    if self
                        .connections
                        .get_mut(slot)
                        .is_some_and(|connection| connection.link.io.queue(&frame))
                    {
                        self.send_pending(slot);
                    } else {
                        self.close(slot);
                    }
                }
            }
        }
    }

    fn offer(&mut self, slot: usize, nonce: u64, snapshot: Arc<Snapshot>, held: &[Kind]) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let entry = |(kind, r): (&Kind, &ochreward_stream::Resource)| Entry {
            kind: *kind,
            version: r.version,
            digest: r.digest.clone(),
            bytes: r.text.len() as u64,
            sent: !held.contains(kind),
        };
        let entries: Vec<Entry> = snapshot.resources.iter().map(entry).collect();
        let kinds = entries.iter().filter(|e| e.sent).map(|e| e.kind).collect();
        let offer = FromService::Offer { nonce, version: snapshot.version, entries };
        if !connection.link.io.queue(&wire::encode_frame(&offer)) {
            return self.close(slot);
        }
        connection.outgoing = Some(Outgoing::Offer { nonce, snapshot, kinds, at: 0 });
        self.send_pending(slot);
    }

    /// Writes to a connection as much of its outgoing text as fits the output ring.
    fn send_pending(&mut self, slot: usize) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        for _ in 0..MAX_FRAMES_PER_TURN {
            if connection.link.io.unsent_bytes() + MAX_FRAME_BYTES + 4 > OUTPUT_RING_BYTES {
                break;
            }
            let Some(outgoing) = &mut connection.outgoing else { break };
            let (frame, is_last) = outgoing.next_frame();
            // The ring has space for the longest frame.
            let _ = connection.link.io.queue(&frame);
            if is_last {
                connection.closing |= matches!(outgoing, Outgoing::Answer { .. });
                connection.outgoing = None;
            }
            if connection.link.flush(&self.poll).is_err() {
                return self.close(slot);
            }
        }
        if connection.link.flush(&self.poll).is_err() {
            return self.close(slot);
        }
        if connection.outgoing.is_some() && connection.link.io.unsent_bytes() == 0 {
            self.ready_to_send.push(slot);
        }
        if connection.closing && connection.link.io.unsent_bytes() == 0 {
            // Shut down only the sending side: closing a socket with unread input could reset it and lose the last frames.
            connection.link.io.shutdown_write();
        }
    }

    // ---- Admin requests ----

    /// Handles an admin request. A connection is closed if it sends a request while another is being answered, or if it is
    /// a subscriber's.
    fn on_admin_request(&mut self, time: Timestamp, slot: usize, ask: Request) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        if self.service.is_subscriber(slot) || connection.outgoing.is_some() || connection.closing {
            return self.close(slot);
        }
        let rejected = |faults: Vec<Fault>| (false, json!({"faults": faults}));
        let (ok, value) = match ask {
            Request::Piece { text } => {
                if connection.document.len() + text.len() > MAX_DOCUMENT_BYTES {
                    return self.close(slot);
                }
                connection.active_since = time.us;
                connection.document += &text;
                return;
            }
            Request::Watch {} => {
                connection.watches = true;
                return;
            }
            Request::Validate {} => match (self.options.parse_document)(&connection.document) {
                Ok(_) => (true, json!({"valid": true})),
                Err(faults) => rejected(faults),
            },
            Request::Publish { at_once } => match (self.options.parse_document)(&connection.document) {
                Ok(document) => publish_reply(self.service.publish(time, document, at_once)),
                Err(faults) => rejected(faults),
            },
            Request::Rollback { number, at_once } => {
                publish_reply(self.service.rollback(time, number, at_once))
            }
            Request::Resume {} => match self.service.resume(time) {
                true => (true, json!({"resumed": true})),
                false => (false, json!({"why": "no rollout has halted"})),
            },
            Request::Status {} => (true, self.service.status(time)),
            Request::History {} => (true, self.service.history()),
            Request::Show { number } => match self.service.catalog().get(number) {
                Some(published) => (true, (*published.document).clone()),
                None => (false, json!({"why": "there is no such version"})),
            },
            Request::Explain { instance } => match self.service.explain(&instance) {
                Some(value) => (true, value),
                None => (false, json!({"why": "no such instance, or nothing that it is to run"})),
            },
        };
        // A request must not be confirmed before its records are written.
        if let Err(e) = self.commit_and_act() {
            self.log_failure = Some(e);
            return;
        }
        if let Some(connection) = self.connections.get_mut(slot) {
            connection.document = String::new();
            connection.outgoing = Some(Outgoing::Answer { text: value.to_string(), at: 0, ok });
        }
        self.send_pending(slot);
    }
}

/// Returns the reply to a request to publish.
fn publish_reply(outcome: PublishOutcome) -> (bool, Value) {
    match outcome {
        PublishOutcome::New(version) => (true, json!({"version": version.to_string(), "new": true})),
        PublishOutcome::Same(version) => (true, json!({"version": version.to_string(), "new": false})),
        PublishOutcome::Unknown => (false, json!({"why": "there is no such version"})),
        PublishOutcome::Deposed(epoch) => {
            (false, json!({"why": format!("a service with epoch {epoch} leads; this one only answers")}))
        }
    }
}

impl Outgoing {
    /// Returns the next frame, and whether it is the last.
    fn next_frame(&mut self) -> (Vec<u8>, bool) {
        match self {
            Outgoing::Offer { nonce, snapshot, kinds, at } => {
                let nonce = *nonce;
                let text = kinds.first().and_then(|k| Some((*k, &snapshot.resources.get(k)?.text)));
                let Some((kind, text)) = text else {
                    return (wire::encode_frame(&FromService::End { nonce }), true);
                };
                let piece = wire::next_piece(text, *at);
                *at += piece.len();
                if *at >= text.len() {
                    kinds.remove(0);
                    *at = 0;
                }
                (wire::encode_frame(&FromService::Part { nonce, kind, text: piece.to_string() }), false)
            }
            Outgoing::Answer { text, at, ok } => {
                let piece = wire::next_piece(text, *at).to_string();
                *at += piece.len();
                let is_last = piece.is_empty();
                let answer = if is_last { Answer::Done { ok: *ok } } else { Answer::Piece { text: piece } };
                (wire::encode_frame(&answer), is_last)
            }
        }
    }
}
