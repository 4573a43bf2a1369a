//! The operators' HTTP endpoint: readiness, the state of peers, budgets and zones, and commands that ban executors or
//! override the handling of a zone.
//!
//! This module accepts connections, parses requests into [`AdminCommand`]s and writes responses; the program's loop
//! executes the commands. The number of connections is small and bounded, and descriptors are reserved for them, so
//! that client load cannot lock operators out.

use crate::api::WorkerId;
use crate::counters::{Counters, count};
use crate::http::{self, Asked, Bad, Http, MOST_CALL};
use crate::net::{Accepted, Closed, Connection, Listener, Poll, PollEvent, Token};
use crate::zones;
use slab::Slab;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::rc::Rc;

/// The time in which a complete request must arrive after the connect; later the caller gets a 408 and is closed.
const REQUEST_TIMEOUT_US: u64 = 5_000_000;
/// The time that an answered caller has to close its end. Closing first could reset the connection and lose the
/// response.
const LINGER_US: u64 = 1_000_000;
/// The pause of accepting while all connections are in use.
const ACCEPT_PAUSE_US: u64 = 5_000;
/// The minimum age at which a caller without a request may be evicted.
const MIN_IDLE_AGE_US: u64 = 10_000;
/// The number of descriptors reserved for when the process has run out of them.
const RESERVED_DESCRIPTORS: usize = 4;
/// The maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// A command of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Reports whether this process is ready to serve.
    Ready,
    /// Bans an executor: nothing new is sent to it.
    Detach(WorkerId),
    /// Lifts the ban of an executor.
    Attach(WorkerId),
    /// Reports the known state of peers.
    Peers,
    /// Reports the budgets shared by the fleet and the admission level.
    Budgets,
    /// Reports the state of each zone.
    Zones,
    /// Sets an override for a zone for a time in microseconds; `None` removes it.
    Zone(String, Option<(zones::Order, u64)>),
}

struct Caller {
    connection: Connection<Http>,
    connected_at: u64,
    answered_at: Option<u64>,
}

/// The operators' HTTP endpoint.
pub struct AdminEndpoint {
    owner: u8,
    listener: Listener,
    callers: Slab<Caller>,
    max_callers: usize,
    reserved: Vec<OwnedFd>,
    paused_until: Option<u64>,
    counters: Rc<Counters>,
    /// Commands that wait for their response, with the token of their connection.
    pub commands: Vec<(Token, AdminCommand)>,
}

impl AdminEndpoint {
    /// Listens on `address`, for at most `max_callers` concurrent connections.
    pub fn new(
        poll: &mut Poll,
        owner: u8,
        address: SocketAddr,
        max_callers: usize,
        counters: Rc<Counters>,
    ) -> io::Result<AdminEndpoint> {
        let listener = Listener::bind(poll, owner, address)?;
        let (callers, commands) = (Slab::new(), Vec::new());
        let (reserved, paused_until) = (Vec::new(), None);
        let mut endpoint = AdminEndpoint {
            owner,
            listener,
            callers,
            max_callers,
            reserved,
            paused_until,
            counters,
            commands,
        };
        endpoint.reserve_descriptors();
        Ok(endpoint)
    }

    /// Reserves descriptors, as far as there are any. Clients may use up all descriptors of the process whatever the
    /// configured limit, and operators could then not connect.
    fn reserve_descriptors(&mut self) {
        while self.reserved.len() < RESERVED_DESCRIPTORS {
            let Ok(descriptor) = self.listener.reserve_descriptor() else { return };
            self.reserved.push(descriptor);
        }
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.address().ok()
    }

    /// Handles an event of the listener or of a connection.
    pub fn ready(&mut self, poll: &mut Poll, now: u64, ready: PollEvent) {
        if self.listener.owns_token(ready.token) {
            return self.accept(poll, now);
        }
        let slot = ready.token.slot as usize;
        let Some(caller) = self.callers.get_mut(slot).filter(|c| c.connection.io.token() == ready.token)
        else {
            return;
        };
        let mut requests = Vec::new();
        let result = caller.connection.handle_event(poll, ready, &mut requests);
        let no_request = !caller.connection.handler.asked();
        let ended = caller.connection.io.read_closed;
        match (result, requests.pop()) {
            (_, Some(Ok(request))) => self.handle_request(poll, now, ready.token, &request),
            (_, Some(Err(Bad(status)))) => self.reject_malformed(poll, now, ready.token, status),
            (Err(Closed::Malformed(_)), None) => self.reject_malformed(poll, now, ready.token, 400),
            (Err(_), None) => self.close(slot),
            // The caller has closed its end without a complete request.
            (Ok(()), None) if ended && no_request => self.reject_malformed(poll, now, ready.token, 400),
            (Ok(()), None) => {}
        }
        // The caller has closed its end and the response has been sent.
        let finished = |c: &Caller| {
            c.connection.io.read_closed && c.answered_at.is_some() && c.connection.io.unsent_bytes() == 0
        };
        if self.callers.get(slot).is_some_and(finished) {
            self.close(slot);
        }
    }

    fn accept(&mut self, poll: &mut Poll, now: u64) {
        loop {
            if self.callers.len() >= self.max_callers && !self.evict(now) {
                return self.pause(poll, now);
            }
            match self.listener.accept() {
                Accepted::Connection(fd) => {
                    let entry = self.callers.vacant_entry();
                    let token = poll.token(self.owner, entry.key());
                    let limits = (MOST_CALL, MAX_RESPONSE_BYTES);
                    if let Ok(connection) = Connection::accepted(poll, fd, token, Http::default(), limits) {
                        count(&self.counters.door_accepted);
                        entry.insert(Caller { connection, connected_at: now, answered_at: None });
                    }
                }
                Accepted::None => return,
                Accepted::OutOfDescriptors if self.reserved.pop().is_some() || self.evict(now) => {}
                Accepted::OutOfDescriptors => return self.pause(poll, now),
            }
        }
    }

    /// Stops accepting for a short time. While all connections are in use the listener stays readable, and the loop
    /// would spin on it.
    fn pause(&mut self, poll: &Poll, now: u64) {
        self.paused_until = Some(now + ACCEPT_PAUSE_US);
        self.listener.set_accepting(poll, false);
    }

    /// Closes one caller to make room: answered callers first, then those that have sent nothing, the oldest first.
    /// Idle callers must not lock others out, and a caller whose request has arrived but was not read yet should not be
    /// evicted before them.
    fn evict(&mut self, now: u64) -> bool {
        let evictable = |c: &Caller| {
            c.answered_at.is_some()
                || (!c.connection.handler.asked() && now >= c.connected_at + MIN_IDLE_AGE_US)
        };
        let priority =
            |c: &Caller| (c.answered_at.is_none(), c.connection.io.unparsed_bytes() > 0, c.connected_at);
        let candidates = self.callers.iter().filter(|(_, c)| evictable(c));
        let Some((slot, _)) = candidates.min_by_key(|(_, c)| priority(c)) else { return false };
        count(&self.counters.door_evicted);
        self.close(slot);
        true
    }

    fn handle_request(&mut self, poll: &Poll, now: u64, token: Token, request: &Asked) {
        count(&self.counters.door_calls);
        match parse_command(request) {
            Ok(command) => self.commands.push((token, command)),
            Err((status, why)) => self.answer(poll, now, token, status, why),
        }
    }

    fn reject_malformed(&mut self, poll: &Poll, now: u64, token: Token, status: u16) {
        count(&self.counters.door_malformed);
        self.answer(poll, now, token, status, "no call that can be read");
    }

    /// Sends the response to a request.
    pub fn answer(&mut self, poll: &Poll, now: u64, token: Token, status: u16, text: &str) {
        let slot = token.slot as usize;
        let Some(caller) = self.callers.get_mut(slot).filter(|c| c.connection.io.token() == token) else {
            return;
        };
        count(if status < 300 { &self.counters.door_yes } else { &self.counters.door_no });
        caller.answered_at = Some(now);
        let queued = caller.connection.io.queue(&http::answer(status, &format!("{text}\n")));
        if !queued || caller.connection.flush(poll).is_err() {
            return self.close(slot);
        }
        // Only the sending side is shut down: closing a socket with unread input resets the connection, and the
        // response could be lost.
        caller.connection.io.shutdown_write();
    }

    fn close(&mut self, slot: usize) {
        self.callers.try_remove(slot);
        self.reserve_descriptors();
    }

    /// Closes callers whose request is overdue, and answered ones that do not close their end; resumes accepting.
    pub fn advance(&mut self, poll: &mut Poll, now: u64) {
        if self.paused_until.is_some_and(|until| now >= until) {
            self.paused_until = None;
            self.listener.set_accepting(poll, true);
            self.accept(poll, now);
        }
        let mut expired = Vec::new();
        for (slot, caller) in &self.callers {
            match caller.answered_at {
                Some(at) if now >= at + LINGER_US => expired.push((slot, None)),
                None if now >= caller.connected_at + REQUEST_TIMEOUT_US => {
                    expired.push((slot, Some(caller.connection.io.token())))
                }
                _ => {}
            }
        }
        for (slot, overdue) in expired {
            match overdue {
                Some(token) => self.reject_malformed(poll, now, token, 408),
                None => self.close(slot),
            }
        }
    }

    /// Returns the time at which `advance` is next due.
    pub fn due(&self) -> u64 {
        let due = |(_, c): (usize, &Caller)| {
            c.answered_at.map_or(c.connected_at + REQUEST_TIMEOUT_US, |at| at + LINGER_US)
        };
        let callers = self.callers.iter().map(due).min().unwrap_or(u64::MAX);
        callers.min(self.paused_until.unwrap_or(u64::MAX))
    }
}

/// Parses a request into a command; on failure returns the status and text of the response.
fn parse_command(request: &Asked) -> Result<AdminCommand, (u16, &'static str)> {
    const UNKNOWN: (u16, &str) = (404, "no such call");
    let path = request.path.split(['?', '#']).next().unwrap_or_default();
    let worker = |id: &str| {
        let id = http::unescape(id).filter(|id| !id.is_empty() && !id.contains('/'));
        id.map(WorkerId::from).ok_or((400, "an executor's id is wanted"))
    };
    let method = request.method.as_str();
    if path == "/_ready" {
        return if matches!(method, "GET" | "HEAD") {
            Ok(AdminCommand::Ready)
        } else {
            Err((405, "GET is wanted"))
        };
    }
    let query = match path {
        "/_peers" => Some(AdminCommand::Peers),
        "/_budgets" => Some(AdminCommand::Budgets),
        "/_zones" => Some(AdminCommand::Zones),
        _ => None,
    };
    if let Some(command) = query {
        return if method == "GET" { Ok(command) } else { Err((405, "GET is wanted")) };
    }
    if let Some(words) = path.strip_prefix("/_zones/") {
        let command =
            parse_zone_command(words).ok_or((400, "/_zones/leave|stay|follow/ZONE/SECONDS is wanted"))?;
        return if method == "PUT" { Ok(command) } else { Err((405, "PUT is wanted")) };
    }
    let (verb, id) = path.strip_prefix("/_executors/").and_then(|p| p.split_once('/')).ok_or(UNKNOWN)?;
    let command = match verb {
        "detach" => AdminCommand::Detach(worker(id)?),
        "attach" => AdminCommand::Attach(worker(id)?),
        _ => return Err(UNKNOWN),
    };
    if method == "PUT" { Ok(command) } else { Err((405, "PUT is wanted")) }
}

/// Parses an override for a zone: `leave/ZONE/SECONDS` or `stay/ZONE/SECONDS`, or `follow/ZONE`, which removes it.
fn parse_zone_command(words: &str) -> Option<AdminCommand> {
    let parts: Vec<&str> = words.split('/').collect();
    let seconds =
        |text: &str| text.parse::<u64>().ok().filter(|s| *s > 0).map(|s| s.saturating_mul(1_000_000));
    let (name, override_order) = match parts.as_slice() {
        ["leave", zone, time] => (zone, Some((zones::Order::Leave, seconds(time)?))),
        ["stay", zone, time] => (zone, Some((zones::Order::Stay, seconds(time)?))),
        ["follow", zone] => (zone, None),
        _ => return None,
    };
    Some(AdminCommand::Zone(http::unescape(name).filter(|n| !n.is_empty())?, override_order))
}

#[cfg(test)]
mod tests;
