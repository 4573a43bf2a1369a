//! State exchange over TCP: a member requests another member's state snapshot at its membership address.
//!
//! A connection carries one line each way and is then closed. Connections are few and bounded in bytes and time. The
//! snapshot is built at most once a second regardless of the number of requests, so that peers cannot use up the loop's
//! time.

use crate::net::{Accepted, Connection, Listener, Malformed, Poll, PollEvent, ProtocolHandler, Ring, Token};
use slab::Slab;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum size of a reply.
const MAX_REPLY_BYTES: usize = 4 << 20;
/// Maximum size of a request line.
const MAX_REQUEST_BYTES: usize = 256;
/// Maximum concurrent incoming connections.
const MAX_INCOMING: usize = 8;
/// Time limit for a whole exchange.
const EXCHANGE_TIMEOUT_US: u64 = 2_000_000;
/// Time for which a reply is reused for further requests.
const REPLY_REUSE_US: u64 = 1_000_000;
/// Start of each request line; the group and the sender's name follow.
const REQUEST_PREFIX: &str = "ochreward exchange 1";

/// Reads one line and discards everything after it.
#[derive(Default)]
struct LineReader {
    done: bool,
    /// Number of buffered bytes already searched for the line end.
    scanned: usize,
}

impl ProtocolHandler for LineReader {
    type Out = Vec<Vec<u8>>;

    fn on_received(&mut self, input: &mut Ring, out: &mut Vec<Vec<u8>>) -> Result<(), Malformed> {
        if self.done {
            input.consume(input.len());
            return Ok(());
        }
        let bytes = input.contiguous();
        match bytes.get(self.scanned..).and_then(|rest| rest.iter().position(|b| *b == b'\n')) {
            Some(end) => {
                out.push(bytes[..self.scanned + end].to_vec());
                self.done = true;
                input.consume(input.len());
            }
            None => self.scanned = input.len(),
        }
        Ok(())
    }
}

enum Role {
    /// A member requests a snapshot from this one.
    Incoming { answered: bool },
    /// This member requests a snapshot from the named one.
    Outgoing(Arc<str>),
}

struct PeerConnection {
    link: Connection<LineReader>,
    role: Role,
    opened_at: u64,
}

/// The result of an outgoing request: the member asked and its reply, if one arrived.
pub type Outcome = (Arc<str>, Option<Vec<u8>>);

/// The listener, the open exchanges and the reply shared by incoming requests.
pub struct Exchange {
    owner: u8,
    group: String,
    listener: Listener,
    connections: Slab<PeerConnection>,
    /// Incoming connections that wait for the reply.
    waiting: Vec<Token>,
    /// The last reply and the time at which it was made.
    cached_reply: Option<(u64, Vec<u8>)>,
    /// Results of outgoing requests that the host has not taken yet.
    pub outcomes: Vec<Outcome>,
}

impl Exchange {
    /// Starts to listen on the address.
    pub fn new(poll: &mut Poll, owner: u8, address: SocketAddr, group: &str) -> io::Result<Exchange> {
        let listener = Listener::bind(poll, owner, address)?;
        let (connections, waiting, outcomes) = (Slab::new(), Vec::new(), Vec::new());
        let group = group.replace(char::is_whitespace, "_");
        Ok(Exchange { owner, group, listener, connections, waiting, cached_reply: None, outcomes })
    }

    /// Requests a snapshot from a member; the result is added to `outcomes`.
    pub fn request(&mut self, poll: &mut Poll, now: u64, own: &str, member: &Arc<str>, to: SocketAddr) {
        let entry = self.connections.vacant_entry();
        let token = poll.token(self.owner, entry.key());
        let request = format!("{REQUEST_PREFIX} {} {own}\n", self.group);
        let link =
            Connection::connect(poll, to, token, LineReader::default(), (MAX_REPLY_BYTES, MAX_REQUEST_BYTES));
        let connected = link.ok().and_then(|mut link| link.io.queue(request.as_bytes()).then_some(link));
        if let Some(link) = connected {
            entry.insert(PeerConnection { link, role: Role::Outgoing(member.clone()), opened_at: now });
        } else {
            self.outcomes.push((member.clone(), None));
        }
    }

    /// Handles a readiness event of the listener or a connection.
    pub fn ready(&mut self, poll: &mut Poll, now: u64, ready: PollEvent) {
        if self.listener.owns_token(ready.token) {
            return self.accept(poll, now);
        }
        let slot = ready.token.slot as usize;
        let Some(connection) = self.connections.get_mut(slot).filter(|c| c.link.io.token() == ready.token)
        else {
            return;
        };
        let mut lines = Vec::new();
        let result = connection.link.handle_event(poll, ready, &mut lines);
        let line = lines.pop();
        let (ended, sent) = (connection.link.io.read_closed, connection.link.io.unsent_bytes() == 0);
        match connection.role {
            Role::Outgoing(_) => {
                if line.is_some() || result.is_err() || ended {
                    self.close(slot, line);
                }
            }
            Role::Incoming { answered } => {
                let valid = line.as_deref().is_some_and(|l| self.is_valid_request(l));
                let finished = result.is_err() || (ended && (sent || !answered));
                if valid && result.is_ok() {
                    self.waiting.push(ready.token);
                } else if finished || line.is_some() {
                    self.close(slot, None);
                }
            }
        }
    }

    /// Returns whether a line is a request from a named member of this group.
    fn is_valid_request(&self, line: &[u8]) -> bool {
        let text = std::str::from_utf8(line).unwrap_or_default();
        let rest = text.strip_prefix(REQUEST_PREFIX).and_then(|r| r.strip_prefix(' '));
        rest.and_then(|r| r.split_once(' '))
            .is_some_and(|(group, name)| group == self.group && !name.is_empty())
    }

    fn accept(&mut self, poll: &mut Poll, now: u64) {
        while let Accepted::Connection(fd) = self.listener.accept() {
            let incoming =
                self.connections.iter().filter(|(_, c)| matches!(c.role, Role::Incoming { .. })).count();
            // A connection over the limit is closed at once; its sender then asks another member.
            if incoming >= MAX_INCOMING {
                continue;
            }
            let entry = self.connections.vacant_entry();
            let token = poll.token(self.owner, entry.key());
            let limits = (MAX_REQUEST_BYTES, MAX_REPLY_BYTES);
            if let Ok(link) = Connection::accepted(poll, fd, token, LineReader::default(), limits) {
                entry.insert(PeerConnection {
                    link,
                    role: Role::Incoming { answered: false },
                    opened_at: now,
                });
            }
        }
    }

    /// Returns whether a request waits and a new reply has to be made. Requests that a recent reply can answer are
    /// answered at once.
    pub fn wants_reply(&mut self, poll: &Poll, now: u64) -> bool {
        let expired = self.cached_reply.take_if(|(at, _)| now >= *at + REPLY_REUSE_US).is_some();
        let reusable = !expired && self.cached_reply.is_some();
        if reusable && !self.waiting.is_empty() {
            self.send_reply(poll);
        }
        !self.waiting.is_empty()
    }

    /// Sends a new reply to all waiting requests and keeps it for further ones.
    pub fn reply(&mut self, poll: &Poll, now: u64, mut reply: Vec<u8>) {
        reply.push(b'\n');
        self.cached_reply = Some((now, reply));
        self.send_reply(poll);
    }

    fn send_reply(&mut self, poll: &Poll) {
        let Some((_, reply)) = &self.cached_reply else { return };
        for token in std::mem::take(&mut self.waiting) {
            let slot = token.slot as usize;
            let Some(connection) = self.connections.get_mut(slot).filter(|c| c.link.io.token() == token)
            else {
                continue;
            };
            connection.role = Role::Incoming { answered: true };
            if !connection.link.io.queue(reply) || connection.link.flush(poll).is_err() {
                self.connections.remove(slot);
            }
        }
    }

    /// Closes connections that have exceeded the time limit.
    pub fn advance(&mut self, now: u64) {
        let timed_out = |c: &PeerConnection| now >= c.opened_at + EXCHANGE_TIMEOUT_US;
        let slots: Vec<usize> =
            self.connections.iter().filter(|(_, c)| timed_out(c)).map(|(slot, _)| slot).collect();
        slots.into_iter().for_each(|slot| self.close(slot, None));
    }

    /// Returns the time at which `advance` next has work to do.
    pub fn due(&self) -> u64 {
        self.connections.iter().map(|(_, c)| c.opened_at + EXCHANGE_TIMEOUT_US).min().unwrap_or(u64::MAX)
    }

    fn close(&mut self, slot: usize, reply: Option<Vec<u8>>) {
        let Some(connection) = self.connections.try_remove(slot) else { return };
        if let Role::Outgoing(member) = connection.role {
            self.outcomes.push((member, reply));
        }
    }
}
