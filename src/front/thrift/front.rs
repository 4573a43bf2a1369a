//! The listener, its connections, and what is open on each.

use super::wire::{self, Call};
use crate::core::{FinalAnswer, Ticket};
use crate::counters::{Counters, count};
use crate::front::{Intake, Invalid, ParsedRequest};
use crate::net::{Accepted, Closed, Connection, Listener, Malformed, Poll, PollEvent, ProtocolHandler, Ring};
use slab::Slab;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// Requests that may be open on a connection.
const MOST_OPEN: usize = 32;
/// Bytes of answers that may wait for a client; beyond, it is not read from.
const MUCH_UNSENT: usize = 1024 * 1024;
/// Bytes of answers after which its connection is closed: more than all that may be open on it can come to.
const MOST_UNSENT: usize = 16 * 1024 * 1024;
/// A client that takes no answer for this long is closed.
const STALLED: u64 = 10_000_000;
/// A client that has not sent a whole message this long after it connected, or after a message of its began, is
/// closed: silent connections and messages that never end must not hold descriptors that others need.
const SILENT: u64 = 2_500_000;
/// One that has stopped half way through a message for this long may be closed where another waits for its place.
const STUCK: u64 = 500_000;
/// Messages that break the protocol, after which a connection is closed: one that sends the same again the moment
/// it is turned away would else take the loop's time without end.
const MOST_OFFENCES: u32 = 16;
/// A connection with nothing open on it is closed after this long.
const IDLE: u64 = 60_000_000;
/// One that never sent a whole message may be closed after this long, where another waits for its place.
const EVICTABLE: u64 = 250_000;
/// One that was answered may be closed after this long: a request that crosses a close within 50 ms is sent again.
const ANSWERED: u64 = 60_000;
/// After running out of descriptors accepting stops for this long.
const PAUSE: u64 = 5_000;
/// How often connections are looked through for those that stalled.
const SWEEP: u64 = 100_000;
/// A client that was told that nothing more will come may take this long to close.
const LINGER: u64 = 300_000;

/// What bounds the front.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections at a time.
    pub connections: usize,
    /// Bytes of answers that may wait in all connections together.
    pub unsent: usize,
}

struct Client {
    open: BTreeSet<i32>,
    used: u64,
    /// When bytes last came.
    heard: u64,
    /// When the message that is not whole yet began, or the connection where none has come.
    partial: Option<u64>,
    /// Whole messages that came, and the highest number of a request among them.
    messages: u64,
    highest: i32,
    offences: u32,
    /// It takes no answers: what it asks waits on the ring, of which so many bytes were looked through.
    blocked: bool,
    scanned: usize,
    /// Requests that were refused since, as there was no room for them to wait.
    unkept: usize,
    /// It was seen that it has closed its end.
    hung_up: bool,
    /// When the client was told that nothing more will be sent to it.
    finished: Option<u64>,
    /// When it broke the protocol once too often: it has its answers and is read no more.
    expelled: Option<u64>,
}

impl Client {
    /// Danger: on each connection numbers start at 1 and go up. One that begins elsewhere, or goes back, is no
    /// client of ours: what it sends must not take the executors' time, nor break the connections that others'
    /// requests share.
    fn in_order(&mut self, seq: i32) -> bool {
        let first = self.highest == 0 && u64::try_from(seq).is_ok_and(|s| s > self.messages);
        let good = seq > self.highest && !first;
        self.highest = self.highest.max(if good { seq } else { 0 });
        good
    }
}

impl ProtocolHandler for Client {
    type Out = Vec<Call>;

    fn on_received(&mut self, input: &mut Ring, out: &mut Vec<Call>) -> Result<(), Malformed> {
        if self.expelled.is_some() {
            input.consume(input.len());
            return Ok(());
        }
        let bytes = input.contiguous();
        let mut done = if self.blocked { self.scanned } else { 0 };
        while let Some(size) = wire::frame(&bytes[done..])? {
            let call = wire::read(&bytes[done + 4..done + size])?;
            done += size;
            // Danger: a client that takes no answers may still take back what it asked; that must not wait.
            if !self.blocked || matches!(call, Call::Forget { .. }) {
                out.push(call);
            }
        }
        if self.blocked {
            self.scanned = done;
            return self.make_room(input, out);
        }
        (self.scanned, self.unkept) = (0, 0);
        input.consume(done);
        Ok(())
    }

    fn wants_more(&self, room: usize) -> bool {
        !self.blocked || room > 0
    }
}

impl Client {
    /// Danger: behind more requests than are kept while it takes no answers lies word that it has gone. Those that wait are handed
    /// on, to be refused: as many as may be open at a time, so that one that asks without end is left to wait all the same.
    fn make_room(&mut self, input: &mut Ring, out: &mut Vec<Call>) -> Result<(), Malformed> {
        let mut at = 0;
        while input.free_space() < wire::MOST_FRAME && at < self.scanned && self.unkept < MOST_OPEN {
            let bytes = &input.contiguous()[at..];
            let Some(size) = wire::frame(bytes)? else { break };
            let call = wire::read(&bytes[4..size])?;
            if matches!(call, Call::Serve { .. }) {
                out.push(call);
                input.remove_range(at, size);
                (self.scanned, self.unkept) = (self.scanned - size, self.unkept + 1);
            } else {
                at += size;
            }
        }
        Ok(())
    }
}

/// The front.
pub struct Front {
    id: u8,
    listener: Option<Listener>,
    limits: Limits,
    links: Slab<Connection<Client>>,
    unsent: usize,
    paused_until: Option<u64>,
    next_sweep: u64,
    /// Connections are being ended; what comes after this time is refused, since the process is about to go.
    leaving: Option<u64>,
    calls: Vec<Call>,
    counters: Rc<Counters>,
    /// Whether health checks are answered well.
    pub well: bool,
    /// What clients asked, in order.
    pub intake: Vec<Intake>,
}

impl Front {
    /// Takes connections from the listener.
    pub fn new(id: u8, listener: Listener, limits: Limits, counters: Rc<Counters>) -> Front {
        Front {
            id,
            listener: Some(listener),
            limits,
            links: Slab::new(),
            unsent: 0,
            paused_until: None,
            next_sweep: 0,
            leaving: None,
            calls: Vec::new(),
            counters,
            well: true,
            intake: Vec::new(),
        }
    }

    /// Leaves connections to wait, or takes them.
    pub fn accepting(&mut self, poll: &Poll, open: bool) {
        if let Some(listener) = &mut self.listener {
            listener.set_accepting(poll, open);
        }
    }

    /// The address it listens on.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref().and_then(|l| l.address().ok())
    }

    /// Connections of clients.
    pub fn connections(&self) -> usize {
        self.links.len()
    }

    /// New bounds; idle connections beyond them are closed.
    pub fn set_limits(&mut self, now: u64, limits: Limits) {
        self.limits = limits;
        while self.links.len() > self.limits.connections && self.evict(now) {}
    }

    /// Accepts no more, once all that wait have been accepted. Danger: those in the system's queue have asked already,
    /// and a listener that closes resets them.
    pub fn stop_listening(&mut self, poll: &mut Poll, now: u64) {
        if self.is_listening() && self.accept(poll, now) {
            self.close_listener(poll);
        }
    }

    /// Accepts no more, whoever waits: another process takes those, or there is no time left for them.
    pub fn close_listener(&mut self, poll: &Poll) {
        if let Some(listener) = self.listener.take() {
            listener.close(poll);
        }
    }

    /// Whether it still accepts.
    pub fn is_listening(&self) -> bool {
        self.listener.is_some()
    }

    /// Ends each connection as soon as nothing is open on it, so that its client goes elsewhere.
    pub fn close_idle_connections(&mut self, now: u64, last_calls: u64) {
        self.leaving.get_or_insert(last_calls);
        let slots: Vec<usize> = self.links.iter().map(|(slot, _)| slot).collect();
        slots.into_iter().for_each(|slot| self.finish(now, slot));
    }

    /// Tells a client that nothing more will be sent, if nothing is owed to it. Danger: a close with something
    /// unread would reset the connection and could cost the client its last answer; so it closes first.
    fn finish(&mut self, now: u64, slot: usize) {
        let leaving = self.leaving.is_some();
        let Some(link) = self.links.get_mut(slot).filter(|l| leaving || l.handler.expelled.is_some()) else {
            return;
        };
        let idle =
            link.handler.open.is_empty() && link.io.unsent_bytes() == 0 && link.io.unparsed_bytes() == 0;
        if idle && link.handler.finished.is_none() && !link.io.has_unread_input() {
            link.io.shutdown_write();
            link.handler.finished = Some(now);
        }
    }

    /// Whether all connections have ended, or could have.
    pub fn left(&self, now: u64) -> bool {
        self.links.iter().all(|(_, l)| l.handler.finished.is_some_and(|at| now >= at + LINGER))
    }

    /// Whether answers wait to be taken.
    pub fn has_unsent_answers(&self) -> bool {
        self.links.iter().any(|(_, l)| l.io.unsent_bytes() > 0)
    }

    fn ticket(&self, slot: usize, seq: i32) -> Ticket {
        let serial = self.links.get(slot).map_or(0, |l| l.io.token().serial);
        Ticket { front: self.id, conn: (slot as u64) << 32 | u64::from(serial), seq: i64::from(seq) }
    }

    /// Handles what happened to a descriptor of this front.
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
            link.handler.heard = now;
        }
        // Answers leave while the client reads: only so is it known to be alive.
        if link.io.unsent_bytes() < before {
            link.handler.used = now;
        }
        self.unsent = self.unsent + link.io.unsent_bytes() - before;
        for call in calls.drain(..) {
            if let Err(m) = self.call(now, slot, call) {
                result = Err(Closed::Malformed(m.0));
            }
        }
        self.calls = calls;
        self.hung_up(slot);
        if let Some(link) = self.links.get_mut(slot) {
            let since = link.handler.partial.unwrap_or(now);
            link.handler.partial =
                (link.handler.messages == 0 || link.io.unparsed_bytes() > 0).then_some(since);
            if link.handler.offences >= MOST_OFFENCES && link.handler.expelled.is_none() {
                result = result.and(Err(Closed::Malformed("one offence after another")));
            }
        }
        match result {
            Err(Closed::Malformed(_)) => self.expel(poll, now, slot),
            Err(_) => self.close(slot),
            Ok(()) => self.flush(poll, now, slot),
        }
    }

    /// Ends the connection of a client that breaks the protocol. Each request that was read on it gets its final answer
    /// first: a connection that ends without one loses the request, whatever else its client has sent.
    fn expel(&mut self, poll: &Poll, now: u64, slot: usize) {
        let Some(link) = self.links.get_mut(slot) else { return };
        if link.handler.expelled.is_none() {
            count(&self.counters.clients_malformed);
        }
        link.handler.expelled.get_or_insert(now);
        let open = std::mem::take(&mut link.handler.open);
        for seq in open {
            let ticket = self.ticket(slot, seq);
            self.forget(ticket);
            self.queue(slot, &wire::failed(seq, "its connection broke the protocol"));
        }
        self.flush(poll, now, slot);
    }

    /// Whether it has closed its end for the first time: nothing more is begun for what it has asked, but what runs may
    /// still be answered, since a client that only says that it sends no more looks the same.
    fn hung_up(&mut self, slot: usize) {
        let Some(link) = self.links.get_mut(slot).filter(|l| l.io.read_closed && !l.handler.hung_up) else {
            return;
        };
        link.handler.hung_up = true;
        let open: Vec<i32> = link.handler.open.iter().copied().collect();
        for seq in open {
            let ticket = self.ticket(slot, seq);
            self.intake.push(Intake::ClientClosed(ticket));
        }
    }

    /// Accepts who waits; whether nobody waits any more.
    fn accept(&mut self, poll: &mut Poll, now: u64) -> bool {
        loop {
            if self.links.len() >= self.limits.connections && !self.evict(now) {
                self.pause(poll, now);
                return false;
            }
            let Some(listener) = &self.listener else { return true };
            match listener.accept() {
                Accepted::Connection(fd) => {
                    let entry = self.links.vacant_entry();
                    let token = poll.token(self.id, entry.key());
                    let client = Client {
                        open: BTreeSet::new(),
                        used: now,
                        heard: now,
                        partial: Some(now),
                        messages: 0,
                        highest: 0,
                        offences: 0,
                        blocked: false,
                        scanned: 0,
                        unkept: 0,
                        hung_up: false,
                        finished: None,
                        expelled: None,
                    };
                    let limits = (wire::MOST_FRAME * 2, MOST_UNSENT);
                    if let Ok(link) = Connection::accepted(poll, fd, token, client, limits) {
                        count(&self.counters.clients_accepted);
                        entry.insert(link);
                    }
                }
                Accepted::None => return true,
                Accepted::OutOfDescriptors if self.evict(now) => {}
                Accepted::OutOfDescriptors => {
                    self.pause(poll, now);
                    return false;
                }
            }
        }
    }

    /// Danger: with no descriptor left, the listener stays readable and the loop would spin on it.
    fn pause(&mut self, poll: &Poll, now: u64) {
        count(&self.counters.accepts_paused);
        self.paused_until = Some(now + PAUSE);
        if let Some(listener) = &mut self.listener {
            listener.set_accepting(poll, false);
        }
    }

    /// Closes the connection that has been idle longest, if one has nothing open.
    fn evict(&mut self, now: u64) -> bool {
        // Danger: a request may be on its way on a connection that has just been accepted or used.
        let rank = |l: &Connection<Client>| match (l.io.unparsed_bytes() > 0, l.handler.messages > 0) {
            (false, false) => (0, EVICTABLE),
            (false, true) => (1, ANSWERED),
            (true, _) => (2, STUCK),
        };
        let idle = |l: &Connection<Client>| {
            let quiet = l.handler.open.is_empty() && l.io.unsent_bytes() == 0;
            quiet && now >= l.handler.used.max(l.handler.heard) + rank(l).1
        };
        let first = |l: &Connection<Client>| (rank(l).0, l.handler.used.max(l.handler.heard));
        let idle = self.links.iter().filter(|(_, l)| idle(l));
        let mut oldest: Vec<_> = idle.map(|(slot, l)| (first(l), slot)).collect();
        oldest.sort_unstable();
        // Danger: a request may have come and not been read, in this turn or while the process stood still.
        let unread = |slot: usize| self.links.get(slot).is_some_and(|l| l.io.has_unread_input());
        let Some(slot) = oldest.into_iter().map(|(_, slot)| slot).find(|slot| !unread(*slot)) else {
            return false;
        };
        count(&self.counters.clients_evicted);
        self.close(slot);
        true
    }

    fn call(&mut self, now: u64, slot: usize, call: Call) -> Result<(), Malformed> {
        let Some(link) = self.links.get_mut(slot) else { return Ok(()) };
        // It crossed the end of the connection; its client sends it again.
        if link.handler.finished.is_some() {
            count(&self.counters.requests_crossed);
            return Ok(());
        }
        // Danger: one that takes no answers is not kept alive by what it asks.
        if !link.handler.blocked {
            link.handler.used = now;
        }
        link.handler.partial = None;
        link.handler.messages += 1;
        match call {
            Call::Serve { seq, fields, body } => {
                // Danger: two answers under one number could not be told apart.
                if link.handler.open.contains(&seq) {
                    return Err(Malformed("a sequence number that is still open"));
                }
                if !link.handler.in_order(seq) {
                    let text = "sequence numbers start at 1 and go up";
                    self.offence(slot, &wire::exception("serve", seq, wire::BAD_SEQUENCE_ID, text));
                    return Ok(());
                }
                if link.handler.open.len() >= MOST_OPEN {
                    let text = "too many requests open on this connection";
                    self.offence(slot, &wire::exception("serve", seq, wire::INTERNAL_ERROR, text));
                    return Ok(());
                }
                if self.leaving.is_some_and(|last| now >= last) {
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
                    // Danger: it waited here, in the system or in its queue of connections, and its client has gone.
                    Ok(_) if link.io.read_closed => {
                        count(&self.counters.requests_deserted);
                        self.queue(slot, &wire::refused(seq, Some(0)));
                    }
                    Ok(sketch) => {
                        link.handler.open.insert(seq);
                        let ticket = self.ticket(slot, seq);
                        self.intake.push(Intake::Submit { ticket, sketch, body, age_us: 0, again: false });
                    }
                    Err(invalid) => {
                        let text = invalid.to_string();
                        self.offence(slot, &wire::exception("serve", seq, wire::PROTOCOL_ERROR, &text));
                    }
                }
            }
            Call::Forget { seq } => {
                if link.handler.open.remove(&seq) {
                    let ticket = self.ticket(slot, seq);
                    self.forget(ticket);
                }
            }
            Call::IsWell { seq } => {
                count(&self.counters.health_checks);
                let well = self.well;
                self.queue(slot, &wire::answer("isWell", seq, &[], well));
            }
            Call::Unknown { seq, method } => {
                self.offence(slot, &wire::exception(&method, seq, wire::UNKNOWN_METHOD, "no such method"));
            }
        }
        Ok(())
    }

    /// Answers a message that breaks the protocol.
    fn offence(&mut self, slot: usize, message: &[u8]) {
        count(&self.counters.requests_invalid);
        if let Some(link) = self.links.get_mut(slot) {
            link.handler.offences += 1;
            self.queue(slot, message);
        }
    }

    /// Nothing is owed under the ticket any more. Danger: hundreds of requests that are taken back in the same
    /// breath would all go out to executors first; what has not been handed on yet never is.
    fn forget(&mut self, ticket: Ticket) {
        let same = |i: &Intake| matches!(i, Intake::Submit { ticket: t, .. } if *t == ticket);
        match self.intake.iter().rposition(same) {
            Some(place) => {
                self.intake.remove(place);
                count(&self.counters.requests_unread);
            }
            None => self.intake.push(Intake::Abandon(ticket)),
        }
    }

    /// A request whose class or tenant the settings lack: nothing was taken in. It is no offence of a client that
    /// could not know better.
    pub fn invalid(&mut self, poll: &Poll, now: u64, ticket: Ticket, invalid: &Invalid, offence: bool) {
        let here = self.ticket((ticket.conn >> 32) as usize, ticket.seq as i32) == ticket;
        if let Some(link) = self.links.get_mut((ticket.conn >> 32) as usize).filter(|_| here && offence) {
            link.handler.offences += 1;
        }
        count(&self.counters.requests_invalid);
        self.reply(poll, now, ticket, |seq| {
            wire::exception("serve", seq, wire::PROTOCOL_ERROR, &invalid.to_string())
        });
    }

    /// Writes the final answer of a request.
    pub fn answer(&mut self, poll: &Poll, now: u64, ticket: Ticket, answer: &FinalAnswer) {
        self.reply(poll, now, ticket, |seq| match answer {
            FinalAnswer::Served(body) => wire::answer("serve", seq, body, true),
            FinalAnswer::Refused(after) => wire::refused(seq, Some(after.div_ceil(1000))),
            FinalAnswer::Failed(why) => wire::failed(seq, why),
        });
    }

    fn reply(&mut self, poll: &Poll, now: u64, ticket: Ticket, message: impl FnOnce(i32) -> Vec<u8>) {
        let (slot, seq) = ((ticket.conn >> 32) as usize, ticket.seq as i32);
        let here = self.ticket(slot, seq) == ticket;
        let Some(link) = self.links.get_mut(slot).filter(|l| here && l.handler.open.contains(&seq)) else {
            return count(&self.counters.answers_lost);
        };
        link.handler.open.remove(&seq);
        link.handler.used = now;
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
            // Danger: clients that take no answers fill the memory. The one that holds most goes.
            let worst = self.links.iter().max_by_key(|(_, l)| l.io.unsent_bytes()).map(|(slot, _)| slot);
            if let Some(worst) = worst {
                self.close(worst);
            }
        }
    }

    /// Sends what can be sent; a client that takes no answers is not read from until it does.
    fn flush(&mut self, poll: &Poll, now: u64, slot: usize) {
        let mut calls = Vec::new();
        let mut result = Ok(());
        let link = loop {
            for call in calls.drain(..) {
                result = result.and(self.call(now, slot, call).map_err(|m| Closed::Malformed(m.0)));
            }
            let Some(link) = self.links.get_mut(slot) else { return };
            let before = link.io.unsent_bytes();
            let was = std::mem::replace(&mut link.handler.blocked, before > MUCH_UNSENT);
            result = result.and_then(|()| link.flush(poll));
            let left = link.io.unsent_bytes();
            self.unsent = self.unsent + left - before;
            let freed = (was || link.handler.blocked) && left <= MUCH_UNSENT;
            if result.is_err() || !freed {
                if link.handler.blocked && !was {
                    count(&self.counters.clients_blocked);
                }
                break link;
            }
            // It takes answers again: what it asked meanwhile has waited on the ring.
            link.handler.blocked = false;
            result = link.parse_buffered(&mut calls);
        };
        let over = link.io.read_closed && link.handler.open.is_empty() && link.io.unsent_bytes() == 0;
        match result {
            Err(Closed::Malformed(_)) => self.expel(poll, now, slot),
            Err(_) => self.close(slot),
            // A client that has sent its last still gets what it asked for.
            Ok(()) if over => self.close(slot),
            Ok(()) => self.finish(now, slot),
        }
    }

    fn close(&mut self, slot: usize) {
        let serial = self.ticket(slot, 0);
        let Some(link) = self.links.try_remove(slot) else { return };
        count(&self.counters.clients_closed);
        self.unsent -= link.io.unsent_bytes();
        for seq in link.handler.open {
            self.forget(Ticket { seq: i64::from(seq), ..serial });
        }
    }

    /// Resumes accepting, and closes connections that stalled.
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
        self.next_sweep = now + SWEEP;
        if let Some(last) = self.leaving {
            self.close_idle_connections(now, last);
        }
        let mut over = Vec::new();
        for (slot, link) in &self.links {
            // One that goes on sending what nobody reads is not waited for longer.
            let ended =
                link.handler.expelled.filter(|_| link.io.unsent_bytes() == 0).or(link.handler.finished);
            if ended.is_some_and(|at| now >= at + LINGER) {
                over.push(slot);
                continue;
            }
            let silent = link.handler.partial.is_some_and(|since| now >= since + SILENT);
            let stalled = link.io.unsent_bytes() > 0 && now >= link.handler.used + STALLED;
            let idle = silent || now >= link.handler.used + IDLE;
            if stalled || (link.handler.open.is_empty() && link.io.unsent_bytes() == 0 && idle) {
                over.push(slot);
            }
        }
        over.into_iter().for_each(|slot| self.close(slot));
    }

    /// When `advance` next has something to do.
    pub fn due(&self) -> u64 {
        self.paused_until.unwrap_or(u64::MAX).min(self.next_sweep)
    }
}

#[cfg(test)]
mod tests;
