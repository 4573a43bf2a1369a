//! The operators' door: HTTP calls that ask whether the process is ready, and leave executors out or take them back.
//!
//! It reads and writes; what a call does is up to the program's loop. Its connections are few and bounded, with
//! descriptors of their own, so that no load on the clients' side keeps an operator out.

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

/// A caller that has not sent a whole call this long after it connected is told so and closed.
const SLOW: u64 = 5_000_000;
/// An answered caller may take this long to close; closing first could cost it the answer.
const LINGER: u64 = 1_000_000;
/// Where all places are taken, accepting waits this long for one; and a caller is left at least this long to call.
const PAUSE: u64 = 5_000;
const STAY: u64 = 10_000;
/// Descriptors kept for when the process has run out of them.
const SPARES: usize = 4;
/// Bytes of an answer.
const MOST_ANSWER: usize = 64 * 1024;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Whether this process is ready to serve.
    Ready,
    /// To leave an executor out.
    Detach(WorkerId),
    /// To use it again.
    Attach(WorkerId),
    /// What is known of peers.
    Peers,
    /// Budgets that the fleet shares, and the level of admission.
    Budgets,
    /// Where the fleet stands to each zone.
    Zones,
    /// A word on a zone, for so long; none takes it back.
    Zone(String, Option<(zones::Order, u64)>),
}

struct Caller {
    link: Connection<Http>,
    since: u64,
    /// When it was answered.
    answered: Option<u64>,
}

/// The door.
pub struct AdminEndpoint {
    owner: u8,
    listener: Listener,
    callers: Slab<Caller>,
    places: usize,
    spares: Vec<OwnedFd>,
    paused_until: Option<u64>,
    counters: Rc<Counters>,
    /// Calls that wait for their answer.
    pub commands: Vec<(Token, AdminCommand)>,
}

impl AdminEndpoint {
    /// Listens on the address, with so many places for callers.
    pub fn new(
        poll: &mut Poll,
        owner: u8,
        address: SocketAddr,
        places: usize,
        counters: Rc<Counters>,
    ) -> io::Result<AdminEndpoint> {
        let listener = Listener::bind(poll, owner, address)?;
        let (callers, orders) = (Slab::new(), Vec::new());
        let (spares, paused_until) = (Vec::new(), None);
        let mut door = AdminEndpoint {
            owner,
            listener,
            callers,
            places,
            spares,
            paused_until,
            counters,
            commands: orders,
        };
        door.refill();
        Ok(door)
    }

    /// Keeps descriptors back, as many as there are. Danger: clients take all that the system gives, whatever the
    /// configuration says, and an operator would not get in.
    fn refill(&mut self) {
        while self.spares.len() < SPARES {
            let Ok(spare) = self.listener.reserve_descriptor() else { return };
            self.spares.push(spare);
        }
    }

    /// The address it listens on.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.address().ok()
    }

    /// Handles what happened to a descriptor of the door.
    pub fn ready(&mut self, poll: &mut Poll, now: u64, ready: PollEvent) {
        if self.listener.owns_token(ready.token) {
            return self.accept(poll, now);
        }
        let slot = ready.token.slot as usize;
        let Some(caller) = self.callers.get_mut(slot).filter(|c| c.link.io.token() == ready.token) else {
            return;
        };
        let mut calls = Vec::new();
        let result = caller.link.handle_event(poll, ready, &mut calls);
        let unasked = !caller.link.handler.asked();
        let ended = caller.link.io.read_closed;
        match (result, calls.pop()) {
            (_, Some(Ok(asked))) => self.call(poll, now, ready.token, &asked),
            (_, Some(Err(Bad(status)))) => self.bad(poll, now, ready.token, status),
            (Err(Closed::Malformed(_)), None) => self.bad(poll, now, ready.token, 400),
            (Err(_), None) => self.close(slot),
            // It has sent its last, and that was no whole call.
            (Ok(()), None) if ended && unasked => self.bad(poll, now, ready.token, 400),
            (Ok(()), None) => {}
        }
        // Nothing more comes, and all that was owed has gone.
        let over =
            |c: &Caller| c.link.io.read_closed && c.answered.is_some() && c.link.io.unsent_bytes() == 0;
        if self.callers.get(slot).is_some_and(over) {
            self.close(slot);
        }
    }

    fn accept(&mut self, poll: &mut Poll, now: u64) {
        loop {
            if self.callers.len() >= self.places && !self.evict(now) {
                return self.pause(poll, now);
            }
            match self.listener.accept() {
                Accepted::Connection(fd) => {
                    let entry = self.callers.vacant_entry();
                    let token = poll.token(self.owner, entry.key());
                    let limits = (MOST_CALL, MOST_ANSWER);
                    if let Ok(link) = Connection::accepted(poll, fd, token, Http::default(), limits) {
                        count(&self.counters.door_accepted);
                        entry.insert(Caller { link, since: now, answered: None });
                    }
                }
                Accepted::None => return,
                Accepted::OutOfDescriptors if self.spares.pop().is_some() || self.evict(now) => {}
                Accepted::OutOfDescriptors => return self.pause(poll, now),
            }
        }
    }

    /// Danger: with no place left, the listener stays readable and the loop would spin on it.
    fn pause(&mut self, poll: &Poll, now: u64) {
        self.paused_until = Some(now + PAUSE);
        self.listener.set_accepting(poll, false);
    }

    /// Makes room: answered callers go first, then those that have said nothing, the oldest first. Danger: idle
    /// callers must not keep the door shut for others; nor may one go whose call has come and was not read yet.
    fn evict(&mut self, now: u64) -> bool {
        let spare = |c: &Caller| c.answered.is_some() || (!c.link.handler.asked() && now >= c.since + STAY);
        let worth = |c: &Caller| (c.answered.is_none(), c.link.io.unparsed_bytes() > 0, c.since);
        let spare = self.callers.iter().filter(|(_, c)| spare(c));
        let Some((slot, _)) = spare.min_by_key(|(_, c)| worth(c)) else { return false };
        count(&self.counters.door_evicted);
        self.close(slot);
        true
    }

    fn call(&mut self, poll: &Poll, now: u64, token: Token, asked: &Asked) {
        count(&self.counters.door_calls);
        match order(asked) {
            Ok(order) => self.commands.push((token, order)),
            Err((status, why)) => self.answer(poll, now, token, status, why),
        }
    }

    fn bad(&mut self, poll: &Poll, now: u64, token: Token, status: u16) {
        count(&self.counters.door_malformed);
        self.answer(poll, now, token, status, "no call that can be read");
    }

    /// Answers a call.
    pub fn answer(&mut self, poll: &Poll, now: u64, token: Token, status: u16, text: &str) {
        let slot = token.slot as usize;
        let Some(caller) = self.callers.get_mut(slot).filter(|c| c.link.io.token() == token) else { return };
        count(if status < 300 { &self.counters.door_yes } else { &self.counters.door_no });
        caller.answered = Some(now);
        let sent = caller.link.io.queue(&http::answer(status, &format!("{text}\n")));
        if !sent || caller.link.flush(poll).is_err() {
            return self.close(slot);
        }
        // Only our side ends: a close with something unread would reset the connection, and cost the answer.
        caller.link.io.shutdown_write();
    }

    fn close(&mut self, slot: usize) {
        self.callers.try_remove(slot);
        self.refill();
    }

    /// Ends callers that kept their call back, or that were answered and stay.
    pub fn advance(&mut self, poll: &mut Poll, now: u64) {
        if self.paused_until.is_some_and(|until| now >= until) {
            self.paused_until = None;
            self.listener.set_accepting(poll, true);
            self.accept(poll, now);
        }
        let mut over = Vec::new();
        for (slot, caller) in &self.callers {
            match caller.answered {
                Some(at) if now >= at + LINGER => over.push((slot, None)),
                None if now >= caller.since + SLOW => over.push((slot, Some(caller.link.io.token()))),
                _ => {}
            }
        }
        for (slot, late) in over {
            match late {
                Some(token) => self.bad(poll, now, token, 408),
                None => self.close(slot),
            }
        }
    }

    /// When `advance` next has something to do.
    pub fn due(&self) -> u64 {
        let of = |(_, c): (usize, &Caller)| c.answered.map_or(c.since + SLOW, |at| at + LINGER);
        let callers = self.callers.iter().map(of).min().unwrap_or(u64::MAX);
        callers.min(self.paused_until.unwrap_or(u64::MAX))
    }
}

/// What a call asks for; else the status and the words of a no.
fn order(asked: &Asked) -> Result<AdminCommand, (u16, &'static str)> {
    const UNKNOWN: (u16, &str) = (404, "no such call");
    let path = asked.path.split(['?', '#']).next().unwrap_or_default();
    let worker = |id: &str| {
        let id = http::unescape(id).filter(|id| !id.is_empty() && !id.contains('/'));
        id.map(WorkerId::from).ok_or((400, "an executor's id is wanted"))
    };
    let method = asked.method.as_str();
    if path == "/_ready" {
        return if matches!(method, "GET" | "HEAD") {
            Ok(AdminCommand::Ready)
        } else {
            Err((405, "GET is wanted"))
        };
    }
    let asks = match path {
        "/_peers" => Some(AdminCommand::Peers),
        "/_budgets" => Some(AdminCommand::Budgets),
        "/_zones" => Some(AdminCommand::Zones),
        _ => None,
    };
    if let Some(order) = asks {
        return if method == "GET" { Ok(order) } else { Err((405, "GET is wanted")) };
    }
    if let Some(words) = path.strip_prefix("/_zones/") {
        let order = zone(words).ok_or((400, "/_zones/leave|stay|follow/ZONE/SECONDS is wanted"))?;
        return if method == "PUT" { Ok(order) } else { Err((405, "PUT is wanted")) };
    }
    let (verb, id) = path.strip_prefix("/_executors/").and_then(|p| p.split_once('/')).ok_or(UNKNOWN)?;
    let order = match verb {
        "detach" => AdminCommand::Detach(worker(id)?),
        "attach" => AdminCommand::Attach(worker(id)?),
        _ => return Err(UNKNOWN),
    };
    if method == "PUT" { Ok(order) } else { Err((405, "PUT is wanted")) }
}

/// A word on a zone: `leave/ZONE/SECONDS`, `stay/ZONE/SECONDS`, or `follow/ZONE`, which takes such a word back.
fn zone(words: &str) -> Option<AdminCommand> {
    let parts: Vec<&str> = words.split('/').collect();
    let seconds =
        |text: &str| text.parse::<u64>().ok().filter(|s| *s > 0).map(|s| s.saturating_mul(1_000_000));
    let (name, order) = match parts.as_slice() {
        ["leave", zone, time] => (zone, Some((zones::Order::Leave, seconds(time)?))),
        ["stay", zone, time] => (zone, Some((zones::Order::Stay, seconds(time)?))),
        ["follow", zone] => (zone, None),
        _ => return None,
    };
    Some(AdminCommand::Zone(http::unescape(name).filter(|n| !n.is_empty())?, order))
}

#[cfg(test)]
mod tests;
