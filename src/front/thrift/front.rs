//! The Thrift listener, its client connections and the requests open on each. It passes decoded requests to the core and
//! writes the final answers. Connections, open requests and unsent bytes are limited, and connections that stall, stay
//! idle or break the protocol are closed.

use super::wire::{self, Call};
use crate::core::{FinalAnswer, Ticket};
use crate::counters::{Counters, count};
use crate::front::{Delivery, Intake, Invalid, ParsedRequest, Submission};
use crate::net::{Accepted, Closed, Connection, Listener, Malformed, Poll, PollEvent, ProtocolHandler, Ring};
use slab::Slab;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// Requests that may be open on one connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// Unsent bytes above which nothing more is read from a client.
const READ_PAUSE_UNSENT_BYTES: usize = 1024 * 1024;
/// Unsent bytes above which a connection is closed: more than the answers to all requests that may be open on it.
const MAX_UNSENT_BYTES: usize = 16 * 1024 * 1024;
/// A connection whose client reads no answer for this long is closed.
const STALL_TIMEOUT_US: u64 = 10_000_000;
/// A connection is closed if its client has not sent a whole message this long after connecting, or after the start of a
/// message: silent connections and messages that never end must not hold descriptors that others need.
const MESSAGE_TIMEOUT_US: u64 = 2_500_000;
/// A connection on which an incomplete message has made no progress for this long may be evicted for a new client.
const PARTIAL_EVICT_AFTER_US: u64 = 500_000;
/// Protocol errors after which a connection is closed: a client that resends an invalid message as soon as it is refused
/// would otherwise use the loop's time without end.
const MAX_PROTOCOL_ERRORS: u32 = 16;
/// A connection without open requests is closed after this long.
const IDLE_TIMEOUT_US: u64 = 60_000_000;
/// A connection that never sent a whole message may be evicted for a new client after this long.
const UNUSED_EVICT_AFTER_US: u64 = 250_000;
/// An idle connection that has sent messages may be evicted after this long: clients resend a request that crosses a
/// close within 50 ms.
const IDLE_EVICT_AFTER_US: u64 = 60_000;
/// How long accepting pauses when connections or descriptors have run out.
const ACCEPT_PAUSE_US: u64 = 5_000;
/// How often all connections are checked for stalled and idle ones.
const SWEEP_INTERVAL_US: u64 = 100_000;
/// How long a client may take to close after the front has shut down its sending side.
const LINGER_US: u64 = 300_000;

/// The limits of the front.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Concurrent connections.
    pub connections: usize,
    /// Unsent bytes of answers over all connections.
    pub unsent: usize,
}

struct Client {
    open_requests: BTreeSet<i32>,
    /// When the client last sent a message while not blocked, read part of an answer, or got one queued.
    last_activity: u64,
    /// When bytes were last received.
    last_received: u64,
    /// When the current incomplete message began; before the first message, when the connection was accepted.
    partial_since: Option<u64>,
    /// Whole messages received.
    messages_received: u64,
    /// The highest accepted sequence number of a request.
    highest_seq: i32,
    /// Messages that broke the protocol.
    protocol_errors: u32,
    /// Whether the client has stopped reading answers: its messages then wait in the input ring.
    blocked: bool,
    /// Bytes of the input ring already decoded while blocked.
    scanned_bytes: usize,
    /// Requests refused while blocked because the input ring had no room for them.
    refused_while_blocked: usize,
    /// Whether the client's close of its sending side has been handled.
    hang_up_reported: bool,
    /// When the front shut down its sending side.
    finished_at: Option<u64>,
    /// When the connection was expelled for breaking the protocol: its requests are answered, and further input is
    /// discarded.
    expelled_at: Option<u64>,
}

impl Client {
    /// Returns whether a sequence number is in order, and records it. On each connection numbers start at 1 and increase.
    /// A peer that starts elsewhere or goes back is not a valid client: its requests must not use the executors' time or
    /// break the connections to executors that other clients' requests share.
    fn accept_seq(&mut self, seq: i32) -> bool {
        let first = self.highest_seq == 0 && u64::try_from(seq).is_ok_and(|s| s > self.messages_received);
        let valid = seq > self.highest_seq && !first;
        self.highest_seq = self.highest_seq.max(if valid { seq } else { 0 });
        valid
    }
}

impl ProtocolHandler for Client {
    type Out = Vec<Call>;

    fn on_received(&mut self, input: &mut Ring, out: &mut Vec<Call>) -> Result<(), Malformed> {
        if self.expelled_at.is_some() {
            input.consume(input.len());
            return Ok(());
        }
        let bytes = input.contiguous();
        let mut done = if self.blocked { self.scanned_bytes } else { 0 };
        while let Some(size) = wire::frame_size(&bytes[done..])? {
            let call = wire::read_call(&bytes[done + 4..done + size])?;
            done += size;
            // A client that reads no answers may still cancel its requests; a cancellation must not wait behind them.
            if !self.blocked || matches!(call, Call::Forget { .. }) {
                out.push(call);
            }
        }
        if self.blocked {
            self.scanned_bytes = done;
            return self.free_input_space(input, out);
        }
        (self.scanned_bytes, self.refused_while_blocked) = (0, 0);
        input.consume(done);
        Ok(())
    }

    fn wants_more(&self, room: usize) -> bool {
        !self.blocked || room > 0
    }
}

impl Client {
    /// Frees space in a full input ring of a blocked client. Without space the end of the stream behind the waiting
    /// requests is not read, and the client's hang-up goes unnoticed. Waiting requests are passed on to be refused, at most
    /// `MAX_OPEN_REQUESTS` of them, so that a client that sends without end is blocked all the same.
    fn free_input_space(&mut self, input: &mut Ring, out: &mut Vec<Call>) -> Result<(), Malformed> {
        let mut at = 0;
        while input.free_space() < wire::MAX_FRAME_BYTES
            && at < self.scanned_bytes
            && self.refused_while_blocked < MAX_OPEN_REQUESTS
        {
            let bytes = &input.contiguous()[at..];
            let Some(size) = wire::frame_size(bytes)? else { break };
            let call = wire::read_call(&bytes[4..size])?;
            if matches!(call, Call::Serve { .. }) {
                out.push(call);
                input.remove_range(at, size);
                (self.scanned_bytes, self.refused_while_blocked) =
                    (self.scanned_bytes - size, self.refused_while_blocked + 1);
            } else {
                at += size;
            }
        }
        Ok(())
    }
}

/// The Thrift front.
pub struct Front {
    id: u8,
    listener: Option<Listener>,
    limits: Limits,
    links: Slab<Connection<Client>>,
    unsent: usize,
    paused_until: Option<u64>,
    next_sweep: u64,
    /// Set while draining: requests received after this time are refused, since the process is about to exit.
    refuse_from: Option<u64>,
    calls: Vec<Call>,
    counters: Rc<Counters>,
    /// Whether health checks are answered as healthy.
    pub well: bool,
    /// Events from clients, in order of arrival.
    pub intake: Vec<Intake>,
}

impl Front {
    /// Creates a front that accepts connections from the listener.
    pub fn new(id: u8, listener: Listener, limits: Limits, counters: Rc<Counters>) -> Front {
        Front {
            id,
            listener: Some(listener),
            limits,
            links: Slab::new(),
            unsent: 0,
            paused_until: None,
            next_sweep: 0,
            refuse_from: None,
            calls: Vec::new(),
            counters,
            well: true,
            intake: Vec::new(),
        }
    }

    /// Starts or pauses accepting; while paused, connections wait in the kernel's queue.
    pub fn accepting(&mut self, poll: &Poll, open: bool) {
        if let Some(listener) = &mut self.listener {
            listener.set_accepting(poll, open);
        }
    }

    /// Returns the address that the front listens on.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref().and_then(|l| l.address().ok())
    }

    /// Returns the number of client connections.
    pub fn connections(&self) -> usize {
        self.links.len()
    }

    /// Sets new limits and closes idle connections beyond them.
    pub fn set_limits(&mut self, now: u64, limits: Limits) {
        self.limits = limits;
        while self.links.len() > self.limits.connections && self.evict_idle(now) {}
    }

    /// Closes the listener once all waiting connections have been accepted: those in the kernel's queue may already have
    /// sent requests, and closing the listener resets them.
    pub fn stop_listening(&mut self, poll: &mut Poll, now: u64) {
        if self.is_listening() && self.accept(poll, now) {
            self.close_listener(poll);
        }
    }

    /// Closes the listener even if connections wait: another process accepts them, or no time is left for them.
    pub fn close_listener(&mut self, poll: &Poll) {
        if let Some(listener) = self.listener.take() {
            listener.close(poll);
        }
    }

    /// Returns whether the listener is open.
    pub fn is_listening(&self) -> bool {
        self.listener.is_some()
    }

    /// Drains the front: ends each connection as soon as nothing is open on it, so that its client connects elsewhere.
    /// Requests received from `refuse_from` on are refused.
    pub fn close_idle_connections(&mut self, now: u64, refuse_from: u64) {
        self.refuse_from.get_or_insert(refuse_from);
        let slots: Vec<usize> = self.links.iter().map(|(slot, _)| slot).collect();
        slots.into_iter().for_each(|slot| self.finish_if_idle(now, slot));
    }

    /// Shuts down the sending side of a connection that is draining or expelled and owes no answer. The client closes
    /// first: closing with unread input would reset the connection and could lose the client's last answer.
    fn finish_if_idle(&mut self, now: u64, slot: usize) {
        let draining = self.refuse_from.is_some();
        let Some(link) = self.links.get_mut(slot).filter(|l| draining || l.handler.expelled_at.is_some())
        else {
            return;
        };
        let idle = link.handler.open_requests.is_empty()
            && link.io.unsent_bytes() == 0
            && link.io.unparsed_bytes() == 0;
        if idle && link.handler.finished_at.is_none() && !link.io.has_unread_input() {
            link.io.shutdown_write();
            link.handler.finished_at = Some(now);
        }
    }

    /// Returns whether every connection has been closed or has had its time to close.
    pub fn left(&self, now: u64) -> bool {
        self.links.iter().all(|(_, l)| l.handler.finished_at.is_some_and(|at| now >= at + LINGER_US))
    }

    /// Returns whether any answer is unsent.
    pub fn has_unsent_answers(&self) -> bool {
        self.links.iter().any(|(_, l)| l.io.unsent_bytes() > 0)
    }

    fn ticket(&self, slot: usize, seq: i32) -> Ticket {
        let serial = self.links.get(slot).map_or(0, |l| l.io.token().serial);
        Ticket { front: self.id, conn: (slot as u64) << 32 | u64::from(serial), seq: i64::from(seq) }
    }

    /// Handles readiness of one of this front's descriptors.
    pub fn ready(&mut self, poll: &mut Poll, now: u64, ready: PollEvent) {
        if self.listener.as_ref().is_some_and(|l| l.owns_token(ready.token)) {
            self.accept(poll, now);
            return;
        }
        let slot = ready.token.slot as usize;
        let Some(link) = self.links.get_mut(slot).filter(|l| l.io.token() == ready.token) else { return };
        let before = link.io.unsent_bytes();
        let mut calls = std::mem::take(&mut self.calls);
        let mut result = link.handle_event(poll, ready, &mut calls);
        if ready.read {
            link.handler.last_received = now;
        }
        // Unsent bytes shrink only while the client reads, which shows that it is alive.
        if link.io.unsent_bytes() < before {
            link.handler.last_activity = now;
        }
        self.unsent = self.unsent + link.io.unsent_bytes() - before;
        for call in calls.drain(..) {
            if let Err(m) = self.handle_call(now, slot, call) {
                result = Err(Closed::Malformed(m.0));
            }
        }
        self.calls = calls;
        self.report_hang_up(slot);
        if let Some(link) = self.links.get_mut(slot) {
            let since = link.handler.partial_since.unwrap_or(now);
            link.handler.partial_since =
                (link.handler.messages_received == 0 || link.io.unparsed_bytes() > 0).then_some(since);
            if link.handler.protocol_errors >= MAX_PROTOCOL_ERRORS && link.handler.expelled_at.is_none() {
                result = result.and(Err(Closed::Malformed("too many protocol errors on one connection")));
            }
        }
        match result {
            Err(Closed::Malformed(_)) => self.expel(poll, now, slot),
            Err(_) => self.close(slot),
            Ok(()) => self.flush(poll, now, slot),
        }
    }

    /// Ends the connection of a client that breaks the protocol. Each request that was read from it gets its final answer
    /// first: a connection that ends without it loses the request, whatever else the client has sent.
    fn expel(&mut self, poll: &Poll, now: u64, slot: usize) {
        let Some(link) = self.links.get_mut(slot) else { return };
        if link.handler.expelled_at.is_none() {
            count(&self.counters.clients_malformed);
        }
        link.handler.expelled_at.get_or_insert(now);
        let open = std::mem::take(&mut link.handler.open_requests);
        for seq in open {
            let ticket = self.ticket(slot, seq);
            self.cancel(ticket);
            self.queue(slot, &wire::failed(seq, "its connection broke the protocol"));
        }
        self.flush(poll, now, slot);
    }

    /// Reports the open requests of a client that has just closed its sending side: no further attempts start for them, but
    /// running ones may still be answered, since a client that only shuts down its sending side looks the same.
    fn report_hang_up(&mut self, slot: usize) {
        let Some(link) = self.links.get_mut(slot).filter(|l| l.io.read_closed && !l.handler.hang_up_reported)
        else {
            return;
        };
        link.handler.hang_up_reported = true;
        let open: Vec<i32> = link.handler.open_requests.iter().copied().collect();
        for seq in open {
            let ticket = self.ticket(slot, seq);
            self.intake.push(Intake::ClientClosed(ticket));
        }
    }

    /// Accepts waiting connections; returns whether none is left waiting.
    fn accept(&mut self, poll: &mut Poll, now: u64) -> bool {
        loop {
            if self.links.len() >= self.limits.connections && !self.evict_idle(now) {
                self.pause_accepting(poll, now);
                return false;
            }
            let Some(listener) = &self.listener else { return true };
            match listener.accept() {
                Accepted::Connection(fd) => {
                    let entry = self.links.vacant_entry();
                    let token = poll.token(self.id, entry.key());
                    let client = Client {
                        open_requests: BTreeSet::new(),
                        last_activity: now,
                        last_received: now,
                        partial_since: Some(now),
                        messages_received: 0,
                        highest_seq: 0,
                        protocol_errors: 0,
                        blocked: false,
                        scanned_bytes: 0,
                        refused_while_blocked: 0,
                        hang_up_reported: false,
                        finished_at: None,
                        expelled_at: None,
                    };
                    let limits = (wire::MAX_FRAME_BYTES * 2, MAX_UNSENT_BYTES);
                    if let Ok(link) = Connection::accepted(poll, fd, token, client, limits) {
                        count(&self.counters.clients_accepted);
                        entry.insert(link);
                    }
                }
                Accepted::None => return true,
                Accepted::OutOfDescriptors if self.evict_idle(now) => {}
                Accepted::OutOfDescriptors => {
                    self.pause_accepting(poll, now);
                    return false;
                }
            }
        }
    }

    /// Pauses accepting. While no connection can be accepted the listener stays readable, and the loop would spin on it.
    fn pause_accepting(&mut self, poll: &Poll, now: u64) {
        count(&self.counters.accepts_paused);
        self.paused_until = Some(now + ACCEPT_PAUSE_US);
        if let Some(listener) = &mut self.listener {
            listener.set_accepting(poll, false);
        }
    }

    /// Closes an evictable connection, if there is one: first those that never sent a message, then idle ones, then those
    /// with an incomplete message; within each group the one idle longest.
    fn evict_idle(&mut self, now: u64) -> bool {
        // Connections are not evicted right after being accepted or used: a request may be in flight on them.
        let rank = |l: &Connection<Client>| match (l.io.unparsed_bytes() > 0, l.handler.messages_received > 0)
        {
            (false, false) => (0, UNUSED_EVICT_AFTER_US),
            (false, true) => (1, IDLE_EVICT_AFTER_US),
            (true, _) => (2, PARTIAL_EVICT_AFTER_US),
        };
        let idle = |l: &Connection<Client>| {
            let settled = l.handler.open_requests.is_empty() && l.io.unsent_bytes() == 0;
            settled && now >= l.handler.last_activity.max(l.handler.last_received) + rank(l).1
        };
        let first =
            |l: &Connection<Client>| (rank(l).0, l.handler.last_activity.max(l.handler.last_received));
        let idle = self.links.iter().filter(|(_, l)| idle(l));
        let mut oldest: Vec<_> = idle.map(|(slot, l)| (first(l), slot)).collect();
        oldest.sort_unstable();
        // A request may have arrived and not been read yet, in this turn or while the process was stalled.
        let unread = |slot: usize| self.links.get(slot).is_some_and(|l| l.io.has_unread_input());
        let Some(slot) = oldest.into_iter().map(|(_, slot)| slot).find(|slot| !unread(*slot)) else {
            return false;
        };
        count(&self.counters.clients_evicted);
        self.close(slot);
        true
    }

    fn handle_call(&mut self, now: u64, slot: usize, call: Call) -> Result<(), Malformed> {
        let Some(link) = self.links.get_mut(slot) else { return Ok(()) };
        // The message crossed the end of the connection; its client resends it elsewhere.
        if link.handler.finished_at.is_some() {
            count(&self.counters.requests_crossed);
            return Ok(());
        }
        // Requests do not keep a client alive that reads no answers.
        if !link.handler.blocked {
            link.handler.last_activity = now;
        }
        link.handler.partial_since = None;
        link.handler.messages_received += 1;
        match call {
            Call::Serve { seq, fields, body } => {
                // Two answers under one sequence number could not be told apart.
                if link.handler.open_requests.contains(&seq) {
                    return Err(Malformed("a sequence number that is still open"));
                }
                if !link.handler.accept_seq(seq) {
                    let text = "sequence numbers start at 1 and go up";
                    self.reply_protocol_error(
                        slot,
                        &wire::exception("serve", seq, wire::BAD_SEQUENCE_ID, text),
                    );
                    return Ok(());
                }
                if link.handler.open_requests.len() >= MAX_OPEN_REQUESTS {
                    let text = "too many requests open on this connection";
                    self.reply_protocol_error(
                        slot,
                        &wire::exception("serve", seq, wire::INTERNAL_ERROR, text),
                    );
                    return Ok(());
                }
                if self.refuse_from.is_some_and(|last| now >= last) {
                    count(&self.counters.requests_too_late);
                    self.queue(slot, &wire::refused(seq, Some(0)));
                    return Ok(());
                }
                if link.handler.blocked {
                    count(&self.counters.requests_unkept);
                    self.queue(slot, &wire::refused(seq, Some(0)));
                    return Ok(());
                }
                match ParsedRequest::read(&fields) {
                    // The request waited here or in the kernel, and its client has closed in the meantime.
                    Ok(_) if link.io.read_closed => {
                        count(&self.counters.requests_deserted);
                        self.queue(slot, &wire::refused(seq, Some(0)));
                    }
                    Ok(sketch) => {
                        link.handler.open_requests.insert(seq);
                        let ticket = self.ticket(slot, seq);
                        let delivery = Delivery::First { age_us: 0 };
                        let submission = Submission { ticket, sketch, body, delivery, refuse_after: None };
                        self.intake.push(Intake::Submit(Box::new(submission)));
                    }
                    Err(invalid) => {
                        let text = invalid.to_string();
                        self.reply_protocol_error(
                            slot,
                            &wire::exception("serve", seq, wire::PROTOCOL_ERROR, &text),
                        );
                    }
                }
            }
            Call::Forget { seq } => {
                if link.handler.open_requests.remove(&seq) {
                    let ticket = self.ticket(slot, seq);
                    self.cancel(ticket);
                }
            }
            Call::IsWell { seq } => {
                count(&self.counters.health_checks);
                let well = self.well;
                self.queue(slot, &wire::answer("isWell", seq, &[], well));
            }
            Call::Unknown { seq, method } => {
                self.reply_protocol_error(
                    slot,
                    &wire::exception(&method, seq, wire::UNKNOWN_METHOD, "no such method"),
                );
            }
        }
        Ok(())
    }

    /// Answers a message that breaks the protocol, and counts it against the connection.
    fn reply_protocol_error(&mut self, slot: usize, message: &[u8]) {
        count(&self.counters.requests_invalid);
        if let Some(link) = self.links.get_mut(slot) {
            link.handler.protocol_errors += 1;
            self.queue(slot, message);
        }
    }

    /// Cancels a request. One that is still in the intake is removed from it: otherwise hundreds of requests that are
    /// cancelled right after they were sent would all go to executors first.
    fn cancel(&mut self, ticket: Ticket) {
        let same = |i: &Intake| matches!(i, Intake::Submit(submission) if submission.ticket == ticket);
        match self.intake.iter().rposition(same) {
            Some(place) => {
                self.intake.remove(place);
                count(&self.counters.requests_unread);
            }
            None => self.intake.push(Intake::Abandon(ticket)),
        }
    }

    /// Rejects a request whose class or tenant is not in the settings. `counts_as_error` says whether it counts as a
    /// protocol error of the client; it does not if the client could not have known.
    pub fn invalid(
        &mut self,
        poll: &Poll,
        now: u64,
        ticket: Ticket,
        invalid: &Invalid,
        counts_as_error: bool,
    ) {
        let here = self.ticket((ticket.conn >> 32) as usize, ticket.seq as i32) == ticket;
        if let Some(link) =
            self.links.get_mut((ticket.conn >> 32) as usize).filter(|_| here && counts_as_error)
        {
            link.handler.protocol_errors += 1;
        }
        count(&self.counters.requests_invalid);
        self.reply(poll, now, ticket, |seq| {
            wire::exception("serve", seq, wire::PROTOCOL_ERROR, &invalid.to_string())
        });
    }

    /// Writes the final answer to a request.
    pub fn answer(&mut self, poll: &Poll, now: u64, ticket: Ticket, answer: &FinalAnswer) {
        self.reply(poll, now, ticket, |seq| match answer {
            FinalAnswer::Served(body) => wire::answer("serve", seq, body, true),
            // Clients of the platform retry a keyed request only inside its window.
            FinalAnswer::Refused(after) | FinalAnswer::RefusedMayHaveRun(after) => {
                wire::refused(seq, Some(after.div_ceil(1000)))
            }
            FinalAnswer::Failed(why) => wire::failed(seq, why),
        });
    }

    fn reply(&mut self, poll: &Poll, now: u64, ticket: Ticket, message: impl FnOnce(i32) -> Vec<u8>) {
        let (slot, seq) = ((ticket.conn >> 32) as usize, ticket.seq as i32);
        let here = self.ticket(slot, seq) == ticket;
        let Some(link) = self.links.get_mut(slot).filter(|l| here && l.handler.open_requests.contains(&seq))
        else {
            return count(&self.counters.answers_lost);
        };
        link.handler.open_requests.remove(&seq);
        link.handler.last_activity = now;
        self.queue(slot, &message(seq));
        self.flush(poll, now, slot);
    }

    fn queue(&mut self, slot: usize, message: &[u8]) {
        let Some(link) = self.links.get_mut(slot) else { return };
        if link.io.queue(message) {
            self.unsent += message.len();
        } else {
            count(&self.counters.answers_lost);
            return self.close(slot);
        }
        if self.unsent > self.limits.unsent {
            // Clients that read no answers would exhaust the memory: the one with the most unsent bytes is closed.
            let worst = self.links.iter().max_by_key(|(_, l)| l.io.unsent_bytes()).map(|(slot, _)| slot);
            if let Some(worst) = worst {
                self.close(worst);
            }
        }
    }

    /// Sends what can be sent; a client that does not read its answers is not read from until it does.
    fn flush(&mut self, poll: &Poll, now: u64, slot: usize) {
        let mut calls = Vec::new();
        let mut result = Ok(());
        let link = loop {
            for call in calls.drain(..) {
                result = result.and(self.handle_call(now, slot, call).map_err(|m| Closed::Malformed(m.0)));
            }
            let Some(link) = self.links.get_mut(slot) else { return };
            let before = link.io.unsent_bytes();
            let was = std::mem::replace(&mut link.handler.blocked, before > READ_PAUSE_UNSENT_BYTES);
            result = result.and_then(|()| link.flush(poll));
            let left = link.io.unsent_bytes();
            self.unsent = self.unsent + left - before;
            let freed = (was || link.handler.blocked) && left <= READ_PAUSE_UNSENT_BYTES;
            if result.is_err() || !freed {
                if link.handler.blocked && !was {
                    count(&self.counters.clients_blocked);
                }
                break link;
            }
            // The client reads again: the messages that waited in the input ring are handled now.
            link.handler.blocked = false;
            result = link.parse_buffered(&mut calls);
        };
        let over =
            link.io.read_closed && link.handler.open_requests.is_empty() && link.io.unsent_bytes() == 0;
        match result {
            Err(Closed::Malformed(_)) => self.expel(poll, now, slot),
            Err(_) => self.close(slot),
            // A client that has closed its sending side still gets its answers before the close.
            Ok(()) if over => self.close(slot),
            Ok(()) => self.finish_if_idle(now, slot),
        }
    }

    fn close(&mut self, slot: usize) {
        let ticket = self.ticket(slot, 0);
        let Some(link) = self.links.try_remove(slot) else { return };
        count(&self.counters.clients_closed);
        self.unsent -= link.io.unsent_bytes();
        for seq in link.handler.open_requests {
            self.cancel(Ticket { seq: i64::from(seq), ..ticket });
        }
    }

    /// Resumes accepting after a pause, and closes stalled and idle connections.
    pub fn advance(&mut self, poll: &mut Poll, now: u64) {
        if self.paused_until.is_some_and(|until| now >= until) {
            self.paused_until = None;
            if let Some(listener) = &mut self.listener {
                listener.set_accepting(poll, true);
            }
        }
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL_US;
        if let Some(last) = self.refuse_from {
            self.close_idle_connections(now, last);
        }
        let mut over = Vec::new();
        for (slot, link) in &self.links {
            // A client that keeps sending after its connection ended gets no longer than `LINGER_US`.
            let ended =
                link.handler.expelled_at.filter(|_| link.io.unsent_bytes() == 0).or(link.handler.finished_at);
            if ended.is_some_and(|at| now >= at + LINGER_US) {
                over.push(slot);
                continue;
            }
            let silent = link.handler.partial_since.is_some_and(|since| now >= since + MESSAGE_TIMEOUT_US);
            let stalled = link.io.unsent_bytes() > 0 && now >= link.handler.last_activity + STALL_TIMEOUT_US;
            let idle = silent || now >= link.handler.last_activity + IDLE_TIMEOUT_US;
            if stalled || (link.handler.open_requests.is_empty() && link.io.unsent_bytes() == 0 && idle) {
                over.push(slot);
            }
        }
        over.into_iter().for_each(|slot| self.close(slot));
    }

    /// Returns when `advance` next has work to do.
    pub fn due(&self) -> u64 {
        self.paused_until.unwrap_or(u64::MAX).min(self.next_sweep)
    }
}

#[cfg(test)]
mod tests;
