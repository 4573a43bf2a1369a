//! The service's loop: streams and questions on one listener, one thread, one epoll instance.
//!
//! Each connection has bounded rings. An offer is put into the outgoing ring piece by piece as room comes, all
//! connections sharing one copy of the text, so that a thousand slow readers cost little more than a thousand rings.

use crate::admin::{Answer, Ask, MOST_DOCUMENT};
use crate::log::{self, Log};
use crate::rollout::Plan;
use crate::service::{Act, Conn, Now, Outcome, Service};
use ochreward_net::{
    Accepted, Clock, Closed, Connection, Listener, Malformed, Poll, PollEvent, ProtocolHandler, Ring,
    SignalRequest, Signals,
};
use ochreward_stream::wire::{self, Entry, Fault, FromService, MOST_FRAME, ToService};
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
const PEERS: u8 = 2;

/// Room for messages in, and out.
const IN: usize = 2 * (MOST_FRAME + 4);
const OUT: usize = 4 * (MOST_FRAME + 4);
/// A connection that has not said who it is after this long is closed, in microseconds.
const UNKNOWN: u64 = 5_000_000;
/// A stream without a word for so many heartbeats is closed.
const SILENT_BEATS: u64 = 5;
/// The longest wait of a turn.
const EVERY: u64 = 250_000;
/// Frames put out to a connection at a time, so that one that reads fast holds up no other.
const FRAMES: usize = 16;
/// Connections accepted in a turn.
const ACCEPTS: usize = 64;

/// Reads a document that is to be published.
pub type Reader = fn(&str) -> Result<Value, Vec<Fault>>;

/// What a server is told.
pub struct Options {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where the log is.
    pub store: PathBuf,
    /// Connections at a time.
    pub streams: usize,
    /// The time between signs of life, in microseconds.
    pub heartbeat: u64,
    /// How versions are rolled out.
    pub plan: Plan,
    /// Reads documents.
    pub reader: Reader,
}

/// Why a server could not start or go on.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The log.
    #[error(transparent)]
    Log(#[from] log::Error),
    /// The network or the disk.
    #[error("the control service can't go on, {0}: see to its address, its descriptors and its disk")]
    Io(#[from] io::Error),
}

/// Takes frames off a connection.
struct Frames {
    /// What can't be read ends the connection.
    spoilt: bool,
}

enum Said {
    Stream(ToService),
    Ask(Ask),
}

impl ProtocolHandler for Frames {
    type Out = Vec<Said>;

    fn on_received(&mut self, input: &mut Ring, out: &mut Vec<Said>) -> Result<(), Malformed> {
        if self.spoilt {
            input.consume(input.len());
            return Ok(());
        }
        loop {
            let bytes = input.contiguous();
            let Some(body) = wire::body(bytes).map_err(|e| Malformed(e.0))? else { return Ok(()) };
            let size = body.len() + 4;
            let said = match wire::parse(body) {
                Ok(message) => Said::Stream(message),
                Err(e) => Said::Ask(wire::parse(body).map_err(|_| Malformed(e.0))?),
            };
            out.push(said);
            input.consume(size);
        }
    }
}

/// A text on its way out.
enum Outgoing {
    Offer { nonce: u64, snapshot: Arc<Snapshot>, kinds: Vec<Kind>, at: usize },
    Answer { text: String, at: usize, ok: bool },
}

struct Peer {
    link: Connection<Frames>,
    since: u64,
    heard: u64,
    outgoing: Option<Outgoing>,
    document: String,
    watches: bool,
    /// It was answered, and ends once all has gone out.
    ending: bool,
}

/// The server.
pub struct Server {
    poll: Poll,
    clock: Clock,
    listener: Listener,
    signals: Signals,
    options: Options,
    service: Service,
    log: Log,
    peers: Slab<Peer>,
    beat_at: u64,
    said: Vec<Said>,
    /// Connections that took all they were given, and are to be given more.
    hungry: Vec<usize>,
    /// The log failed: what was decided since is not written down, and nothing more is done.
    broken: Option<io::Error>,
}

fn now(clock: &Clock) -> Now {
    let us = clock.read();
    Now { us, unix_ms: clock.unix_ms(us) }
}

impl Server {
    /// Opens the store and listens.
    pub fn new(options: Options) -> Result<Server, Error> {
        let (mut log, records) = Log::open(&options.store)?;
        let clock = Clock::start();
        let time = now(&clock);
        let mut poll = Poll::new()?;
        let listener = Listener::bind(&mut poll, LISTENER, options.listen)?;
        let signals = Signals::new(&mut poll, SIGNALS)?;
        // Two stores that were begun at one microsecond by one process number would pass for one.
        let fresh = format!("{:x}-{:x}", time.us, std::process::id());
        let mut service = Service::recover(options.plan.clone(), options.heartbeat, records, time, &fresh);
        let (records, _) = service.flush();
        log.append(&records)?;
        let (peers, said) = (Slab::new(), Vec::new());
        let beat_at = time.us + options.heartbeat;
        let (hungry, broken) = (Vec::new(), None);
        Ok(Server {
            poll,
            clock,
            listener,
            signals,
            options,
            service,
            log,
            peers,
            beat_at,
            said,
            hungry,
            broken,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.address()
    }

    /// Its epoch.
    pub fn epoch(&self) -> u64 {
        self.service.epoch()
    }

    /// Serves until SIGTERM.
    pub fn run(&mut self) -> Result<(), Error> {
        let mut happened = Vec::new();
        loop {
            let time = self.clock.read();
            let due = self.beat_at.min(self.service.due(time)).saturating_sub(time).min(EVERY);
            self.poll.wait(if self.hungry.is_empty() { due } else { 0 }, &mut happened)?;
            let time = now(&self.clock);
            std::mem::take(&mut self.hungry).into_iter().for_each(|slot| self.pump(slot));
            for ready in happened.drain(..) {
                match ready.token.owner {
                    SIGNALS => self.signals.drain_wakeup(ready.token),
                    LISTENER => self.accept(time),
                    _ => self.ready(time, ready),
                }
                if let Some(e) = self.broken.take() {
                    return Err(e.into());
                }
                self.carry()?;
            }
            if self.signals.take_requests().contains(&SignalRequest::Stop) {
                return Ok(());
            }
            if time.us >= self.beat_at {
                self.beat_at = time.us + self.options.heartbeat;
                self.service.beat();
                self.close_silent(time);
            }
            self.service.advance(time);
            self.carry()?;
            if self.log.wants_compaction() {
                self.log.compact(&self.service.condensed())?;
                info!("the log was compacted");
            }
        }
    }

    fn accept(&mut self, time: Now) {
        for _ in 0..ACCEPTS {
            let fd = match self.listener.accept() {
                Accepted::Connection(fd) => fd,
                Accepted::None => return,
                Accepted::OutOfDescriptors => return warn!("no descriptors are left for streams"),
            };
            if self.peers.len() >= self.options.streams {
                warn!(streams = self.peers.len(), "a connection was closed for want of room");
                continue;
            }
            let entry = self.peers.vacant_entry();
            let token = self.poll.token(PEERS, entry.key());
            if let Ok(link) = Connection::accepted(&self.poll, fd, token, Frames { spoilt: false }, (IN, OUT))
            {
                entry.insert(Peer {
                    link,
                    since: time.us,
                    heard: time.us,
                    outgoing: None,
                    document: String::new(),
                    watches: false,
                    ending: false,
                });
            }
        }
    }

    fn ready(&mut self, time: Now, ready: PollEvent) {
        let slot = ready.token.slot as usize;
        let Some(peer) = self.peers.get_mut(slot).filter(|p| p.link.io.token() == ready.token) else {
            return;
        };
        let mut said = std::mem::take(&mut self.said);
        let result = peer.link.handle_event(&mut self.poll, ready, &mut said);
        if !said.is_empty() {
            peer.heard = time.us;
        }
        for said in said.drain(..) {
            if !self.peers.contains(slot) {
                break;
            }
            match said {
                Said::Stream(message) => {
                    if let Err(why) = self.service.received(time, slot, message) {
                        self.turn_away(slot, why.to_string());
                    }
                }
                Said::Ask(ask) => self.asked(time, slot, ask),
            }
        }
        self.said = said;
        match result {
            Err(why) => {
                if let Closed::Malformed(why) = why {
                    warn!(why, "a connection sent what can't be read");
                }
                self.close(slot);
            }
            Ok(()) => self.pump(slot),
        }
        if self.peers.get(slot).is_some_and(|p| p.link.io.read_closed) {
            self.close(slot);
        }
    }

    /// Tells a subscriber why it is not had, and ends its connection.
    fn turn_away(&mut self, slot: usize, why: String) {
        warn!(why, "a subscriber was turned away");
        self.service.lost(slot);
        if let Some(peer) = self.peers.get_mut(slot) {
            let _ = peer.link.io.queue(&wire::frame(&FromService::Refused { why }));
            (peer.ending, peer.outgoing, peer.link.handler.spoilt) = (true, None, true);
        }
    }

    fn close(&mut self, slot: Conn) {
        self.service.lost(slot);
        self.peers.try_remove(slot);
    }

    fn close_silent(&mut self, time: Now) {
        let silence = self.options.heartbeat * SILENT_BEATS;
        let over = |(slot, p): (usize, &Peer)| {
            let stream = self.service.knows(slot);
            let unknown = !stream && !p.watches && time.us >= p.since + UNKNOWN;
            (unknown || (stream && time.us >= p.heard + silence)).then_some(slot)
        };
        let over: Vec<usize> = self.peers.iter().filter_map(over).collect();
        over.into_iter().for_each(|slot| self.close(slot));
    }

    /// Writes down what was decided, and then does it. Danger: without its records nothing may be done; a disk that
    /// fails ends the service, which a restart brings back to what was written.
    fn carry(&mut self) -> io::Result<()> {
        loop {
            let (records, acts) = self.service.flush();
            if records.is_empty() && acts.is_empty() {
                return Ok(());
            }
            self.log.append(&records)?;
            for act in acts {
                self.act(act);
            }
        }
    }

    fn act(&mut self, act: Act) {
        match act {
            Act::Send(slot, message) => {
                let Some(peer) = self.peers.get_mut(slot) else { return };
                // Danger: a sign of life between two parts of an offer is fine, one that finds no room is not
                // worth a connection: whoever has a full ring is being sent to.
                let fits = peer.link.io.queue(&wire::frame(&message));
                if !fits && !matches!(message, FromService::Beat {}) {
                    return self.close(slot);
                }
                self.pump(slot);
            }
            Act::Offer(slot, nonce, snapshot, held) => self.offer(slot, nonce, snapshot, &held),
            Act::Close(slot) => self.close(slot),
            Act::Tell(event) => {
                info!(target: "ochreward_control", "{event}");
                let frame = wire::frame(&Answer::Event { event });
                let watching: Vec<usize> =
                    self.peers.iter().filter(|(_, p)| p.watches).map(|(slot, _)| slot).collect();
                for slot in watching {
                    // One that does not keep up is closed rather than told of a part.
                    if self.peers.get_mut(slot).is_some_and(|p| p.link.io.queue(&frame)) {
                        self.pump(slot);
                    } else {
                        self.close(slot);
                    }
                }
            }
        }
    }

    fn offer(&mut self, slot: usize, nonce: u64, snapshot: Arc<Snapshot>, held: &[Kind]) {
        let Some(peer) = self.peers.get_mut(slot) else { return };
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
        if !peer.link.io.queue(&wire::frame(&offer)) {
            return self.close(slot);
        }
        peer.outgoing = Some(Outgoing::Offer { nonce, snapshot, kinds, at: 0 });
        self.pump(slot);
    }

    /// Puts out what there is room for.
    fn pump(&mut self, slot: usize) {
        let Some(peer) = self.peers.get_mut(slot) else { return };
        for _ in 0..FRAMES {
            if peer.link.io.unsent_bytes() + MOST_FRAME + 4 > OUT {
                break;
            }
            let Some(outgoing) = &mut peer.outgoing else { break };
            let (frame, over) = outgoing.next();
            // There is room for the longest frame.
            let _ = peer.link.io.queue(&frame);
            if over {
                peer.ending |= matches!(outgoing, Outgoing::Answer { .. });
                peer.outgoing = None;
            }
            if peer.link.flush(&self.poll).is_err() {
                return self.close(slot);
            }
        }
        if peer.link.flush(&self.poll).is_err() {
            return self.close(slot);
        }
        if peer.outgoing.is_some() && peer.link.io.unsent_bytes() == 0 {
            self.hungry.push(slot);
        }
        if peer.ending && peer.link.io.unsent_bytes() == 0 {
            // Only our side ends: a close with something unread could cost the last words.
            peer.link.io.shutdown_write();
        }
    }

    // ---- Questions ----

    fn asked(&mut self, time: Now, slot: usize, ask: Ask) {
        let Some(peer) = self.peers.get_mut(slot) else { return };
        if self.service.knows(slot) || peer.outgoing.is_some() || peer.ending {
            return self.close(slot);
        }
        let faults = |faults: Vec<Fault>| (false, json!({"faults": faults}));
        let (ok, value) = match ask {
            Ask::Piece { text } => {
                if peer.document.len() + text.len() > MOST_DOCUMENT {
                    return self.close(slot);
                }
                peer.since = time.us;
                peer.document += &text;
                return;
            }
            Ask::Watch {} => {
                peer.watches = true;
                return;
            }
            Ask::Validate {} => match (self.options.reader)(&peer.document) {
                Ok(_) => (true, json!({"valid": true})),
                Err(found) => faults(found),
            },
            Ask::Publish { at_once } => match (self.options.reader)(&peer.document) {
                Ok(document) => outcome(self.service.publish(time, document, at_once)),
                Err(found) => faults(found),
            },
            Ask::Rollback { number, at_once } => outcome(self.service.rollback(time, number, at_once)),
            Ask::Resume {} => match self.service.resume(time) {
                true => (true, json!({"resumed": true})),
                false => (false, json!({"why": "no rollout has halted"})),
            },
            Ask::Status {} => (true, self.service.status(time)),
            Ask::History {} => (true, self.service.history()),
            Ask::Show { number } => match self.service.catalog().get(number) {
                Some(published) => (true, (*published.document).clone()),
                None => (false, json!({"why": "there is no such version"})),
            },
            Ask::Explain { instance } => match self.service.explain(&instance) {
                Some(value) => (true, value),
                None => (false, json!({"why": "no such instance, or nothing that it is to run"})),
            },
        };
        // Danger: a yes must not be told before it is written down.
        if let Err(e) = self.carry() {
            self.broken = Some(e);
            return;
        }
        if let Some(peer) = self.peers.get_mut(slot) {
            peer.document = String::new();
            peer.outgoing = Some(Outgoing::Answer { text: value.to_string(), at: 0, ok });
        }
        self.pump(slot);
    }
}

fn outcome(outcome: Outcome) -> (bool, Value) {
    match outcome {
        Outcome::New(version) => (true, json!({"version": version.to_string(), "new": true})),
        Outcome::Same(version) => (true, json!({"version": version.to_string(), "new": false})),
        Outcome::Unknown => (false, json!({"why": "there is no such version"})),
        Outcome::Deposed(epoch) => {
            (false, json!({"why": format!("a service with epoch {epoch} leads; this one only answers")}))
        }
    }
}

impl Outgoing {
    /// The next frame, and whether it is the last.
    fn next(&mut self) -> (Vec<u8>, bool) {
        match self {
            Outgoing::Offer { nonce, snapshot, kinds, at } => {
                let nonce = *nonce;
                let text = kinds.first().and_then(|k| Some((*k, &snapshot.resources.get(k)?.text)));
                let Some((kind, text)) = text else {
                    return (wire::frame(&FromService::End { nonce }), true);
                };
                let piece = wire::piece(text, *at);
                *at += piece.len();
                if *at >= text.len() {
                    kinds.remove(0);
                    *at = 0;
                }
                (wire::frame(&FromService::Part { nonce, kind, text: piece.to_string() }), false)
            }
            Outgoing::Answer { text, at, ok } => {
                let piece = wire::piece(text, *at).to_string();
                *at += piece.len();
                let over = piece.is_empty();
                let answer = if over { Answer::Done { ok: *ok } } else { Answer::Piece { text: piece } };
                (wire::frame(&answer), over)
            }
        }
    }
}
