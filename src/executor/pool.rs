//! The pool of connections to executors.
//!
//! The pool chooses the connection for each attempt and load order, opens and closes connections, matches
//! answers to requests, and reports how each attempt and order ended. It is given the list of executors by
//! the name service and writes nothing to one that the list does not show as ready. [`PoolSettings`] bounds the
//! connections, the requests open on each, and the bytes of partially received answers. Times are in
//! microseconds.

use super::connection::{
    ExecutorConnection, MAX_LINE_BYTES, MAX_UNSENT_BYTES, PendingLine, Purpose, TimeoutField,
};
use super::line::{self, Answer};
use crate::api::{FunctionId, Outcome, ReplicaStatus, WorkerId};
use crate::core::{AttemptId, AttemptResult, RequestSpec};
use crate::counters::{Counters, count};
use crate::discovery::{Executor, ExecutorState};
use crate::net::{Closed, Connection, Poll, PollEvent};
use slab::Slab;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Margin by which idle connections are closed before the executors' own idle limit, so that no request is
/// sent on a connection that its executor is closing. At most a quarter of that limit.
const IDLE_MARGIN_US: u64 = 1_000_000;
/// Time without any data after a send from which a connection gets no new lines. Its machine may have
/// vanished, which only a new connection attempt reveals.
const UNRESPONSIVE_AFTER_US: u64 = 500_000;
/// Time without further data after which a partially received line counts as broken off. Nothing after it can
/// be parsed, so the connection is closed for everything open on it. The time runs from the last bytes
/// received, since a long line in fragments may take longer in total.
const LINE_STALL_TIMEOUT_US: u64 = 120_000;
/// Time for which a line may be partially received before its connection gets no new lines.
const PARTIAL_LINE_GRACE_US: u64 = 20_000;
/// Time for which the id of a failed attempt is not reused on its connection. An answer which proves that
/// nothing ran may arrive a second time; taken for the answer to a second attempt under the same id, it would
/// let a request that is not idempotent run twice.
const DUPLICATE_ANSWER_WINDOW_US: u64 = 2_000_000;
/// Time that a line may wait for its connection before the time-out in it is rewritten. The platform allows a
/// slack of 150 ms in that value.
const TIMEOUT_REFRESH_AFTER_US: u64 = 20_000;
/// Maximum number of tombstones on a connection. One with more takes no new lines, and is closed once nothing
/// on it awaits an answer.
const MAX_TOMBSTONES: usize = 4_096;

/// Maximum age of the last read of the name service's answers at which lines may be written to executors.
/// After a longer gap (the process may have been stopped, or a system call may have taken long) an unread
/// answer may report that an executor drains, so writes wait until the answers have been read. An iteration
/// of the event loop takes far less.
const MAX_LIST_READ_AGE: Duration = Duration::from_millis(50);

/// Limits and protocol settings of the pool.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Maximum number of bytes of partially received answers, over all connections.
    pub max_unread_bytes: usize,
    /// Maximum number of attempts and load orders that await an answer on a connection.
    pub max_requests_per_connection: usize,
    /// Time limit for establishing a connection.
    pub connect_timeout: u64,
    /// The idle time after which executors close a connection.
    pub keepalive: u64,
    /// The names of the classes, by index.
    pub classes: Vec<String>,
    /// Whether answers report if a replica was loaded.
    pub reports_warm: bool,
    /// Whether answers report the number of requests for the function at the executor.
    pub reports_concurrency: bool,
    /// The names of the values in load reports, in order; empty if answers carry none.
    pub report: Vec<String>,
}

impl PoolSettings {
    /// Returns how long an idle connection is kept.
    fn idle_timeout(&self) -> u64 {
        self.keepalive - IDLE_MARGIN_US.min(self.keepalive / 4)
    }
}

/// The end of an attempt or a load order.
#[derive(Debug)]
pub enum Completion {
    /// An attempt ended.
    Attempt(AttemptId, AttemptResult),
    /// A load order ended, with the number of replicas now loaded.
    Order(u64, Outcome, u32),
}

/// Maximum number of sightings that the host has not yet collected; further ones are dropped.
const MAX_SIGHTINGS: usize = 64;

/// A connection failure that indicates a fault of the executor itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionFailure {
    /// The executor.
    pub worker: WorkerId,
    /// Whether the connection could not be established.
    pub connect_refused: bool,
    /// Whether the failed connection was a probe, with nothing to send.
    pub is_probe: bool,
}

/// An executor of the list, as the pool needs it.
#[derive(Clone, Copy, Debug)]
struct ListedExecutor {
    address: SocketAddr,
    state: ExecutorState,
    /// When its process started; `None` for long ago.
    started_at: Option<u64>,
}

/// The connections to all executors.
pub struct Pool {
    /// The owner id of the pool's sockets in the event loop.
    owner: u8,
    limits: PoolSettings,
    listed: BTreeMap<WorkerId, ListedExecutor>,
    links: Slab<Connection<ExecutorConnection>>,
    /// The connection and request id of each attempt that awaits an answer.
    attempts: BTreeMap<AttemptId, (usize, String)>,
    /// Scratch buffer for parsed answers.
    answers: Vec<Answer>,
    /// Bytes of partially received answers on all connections.
    unread_bytes: usize,
    /// When all received answers of the name service were last read.
    list_read_at: Instant,
    /// Set between `hold_writes` and `release_writes`.
    writes_on_hold: bool,
    /// Whether any connection has lines whose write was held back.
    has_held_lines: bool,
    counters: Rc<Counters>,
    /// Ended attempts and load orders, in order.
    pub completions: Vec<Completion>,
    /// Executors whose connections broke while an answer was awaited, or could not be established.
    pub connection_failures: Vec<ConnectionFailure>,
}

impl Pool {
    /// Returns a pool without connections.
    pub fn new(owner: u8, limits: PoolSettings, counters: Rc<Counters>) -> Pool {
        Pool {
            owner,
            limits,
            listed: BTreeMap::new(),
            links: Slab::new(),
            attempts: BTreeMap::new(),
            answers: Vec::new(),
            unread_bytes: 0,
            list_read_at: Instant::now(),
            writes_on_hold: false,
            has_held_lines: false,
            counters,
            completions: Vec::new(),
            connection_failures: Vec::new(),
        }
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.links.len()
    }

    /// Applies new limits and closes idle connections beyond them; connections in use are kept.
    pub fn set_limits(&mut self, limits: PoolSettings) {
        self.limits = limits;
        while self.links.len() > self.limits.max_connections && self.evict_idle() {}
    }

    /// Closes the least recently used connection on which no answer is awaited; returns false if there is
    /// none.
    fn evict_idle(&mut self) -> bool {
        let idle = self.links.iter().filter(|(_, l)| l.handler.awaiting() == 0);
        let Some(slot) = idle.min_by_key(|(_, l)| l.handler.last_used_at).map(|(slot, _)| slot) else {
            return false;
        };
        self.close(slot, Closed::Broken);
        true
    }

    /// Records that all answers of the name service received so far have been read.
    pub fn mark_list_read(&mut self) {
        self.list_read_at = Instant::now();
    }

    /// Holds back all writes until `release_writes`.
    pub fn hold_writes(&mut self) {
        self.writes_on_hold = true;
    }

    /// Returns whether writes are held back, by `hold_writes` or because the executor list was not read
    /// recently.
    pub fn has_held_writes(&self) -> bool {
        self.writes_on_hold || self.has_held_lines
    }

    /// Writes the lines that were held back and not withdrawn. The caller must have read the name service's
    /// answers just before.
    pub fn release_writes(&mut self, poll: &Poll, now: u64) {
        (self.writes_on_hold, self.has_held_lines) = (false, false);
        let held: Vec<usize> =
            self.links.iter().filter(|(_, link)| link.io.writes_held()).map(|(slot, _)| slot).collect();
        for slot in held {
            self.flush(poll, now, slot);
        }
    }

    /// Returns whether writes to executors must be held back now; every write checks this. Lines held back
    /// stay queued, and are withdrawn if the name service's next answers show that their executor drains.
    fn must_hold_writes(&self) -> bool {
        self.writes_on_hold || self.list_read_at.elapsed() > MAX_LIST_READ_AGE
    }

    /// Sets whether the queued lines of a connection are held back; returns whether there are any that are.
    fn set_hold(link: &mut Connection<ExecutorConnection>, hold: bool, counters: &Counters) -> bool {
        let hold = hold && link.io.unsent_bytes() > 0;
        if hold {
            count(&counters.writes_held);
        }
        link.io.hold_writes(hold);
        hold
    }

    /// Applies the complete executor list; `started_at` returns when an executor's process started, `None` for long ago. Lines
    /// still queued for an executor that drains or has been removed, or for the process before the present one, are withdrawn.
    pub fn set_executors(&mut self, executors: &[Executor], started_at: impl Fn(&WorkerId) -> Option<u64>) {
        let listed = |e: &Executor| ListedExecutor {
            address: e.address,
            state: e.state,
            started_at: started_at(&e.id),
        };
        let new = executors.iter().map(|e| (e.id.clone(), listed(e))).collect();
        let old = std::mem::replace(&mut self.listed, new);
        let slots: Vec<usize> = self.links.iter().map(|(slot, _)| slot).collect();
        for slot in slots {
            let peer = &mut self.links[slot].handler;
            let (before, now) = (old.get(&peer.worker), self.listed.get(&peer.worker));
            let Some(now) = now.filter(|now| now.state == ExecutorState::Ready) else {
                // A line queued on a connecting or blocked socket would otherwise be sent after the drain was announced.
                peer.closing = true;
                self.withdraw_unsent(slot);
                continue;
            };
            let moved = before.is_some_and(|before| before.address != now.address);
            let restarted = before.is_some_and(|before| before.started_at != now.started_at);
            // A connection that is older than the process leads to the one before, or to none.
            peer.closing |= moved || restarted && Some(peer.connect_started_at) < now.started_at;
            if moved || restarted {
                self.withdraw_unsent(slot);
            }
        }
    }

    /// Returns the address of an executor that the list has as ready.
    fn ready_address(&self, worker: &WorkerId) -> Option<SocketAddr> {
        let listed = self.listed.get(worker)?;
        (listed.state == ExecutorState::Ready).then_some(listed.address)
    }

    /// Withdraws the queued lines of a connection of which nothing has been sent.
    fn withdraw_unsent(&mut self, slot: usize) {
        let link = &mut self.links[slot];
        let written = if link.io.connecting() { 0 } else { link.io.written };
        let started = |e: &PendingLine| e.start < written;
        // A partially sent line is sent to its end: a truncated line would corrupt the connection's framing.
        let keep = link.handler.open.values().filter(|e| started(e)).map(|e| e.end).max().unwrap_or(0);
        link.io.truncate_queue(keep);
        let unsent: Vec<(String, PendingLine)> =
            link.handler.open.iter().filter(|(_, e)| !started(e)).map(|(rid, e)| (rid.clone(), *e)).collect();
        for (rid, pending_line) in unsent {
            self.links[slot].handler.open.remove(&rid);
            count(&self.counters.attempts_withdrawn);
            self.end_unanswered(pending_line.purpose, Outcome::NotSent);
        }
        self.close_if_idle(slot);
    }

    /// Sends an attempt.
    pub fn send(
        &mut self,
        poll: &mut Poll,
        now: u64,
        id: AttemptId,
        worker: &WorkerId,
        wait: u64,
        job: &RequestSpec,
    ) {
        let Some(class) = self.limits.classes.get(job.class) else {
            return self.end_attempt(id, Outcome::NotSent);
        };
        let (line, timeout) = line::go_line(
            &job.client_request_id,
            class,
            &job.function,
            wait,
            job.idempotency_key.as_deref(),
            &job.body,
        );
        let deadline = now.saturating_add(wait);
        let timeout =
            TimeoutField { offset: timeout.start as u64, width: timeout.len(), deadline, written_at: now };
        match self.queue_line(poll, now, worker, &job.client_request_id, Purpose::Attempt(id), &line) {
            Ok(slot) => {
                let pending_line = self.links[slot].handler.open.get_mut(&*job.client_request_id);
                pending_line.into_iter().for_each(|e| e.timeout = Some(timeout));
                self.attempts.insert(id, (slot, job.client_request_id.to_string()));
                self.flush(poll, now, slot);
            }
            Err(outcome) => self.end_attempt(id, outcome),
        }
    }

    /// Sends a load order.
    pub fn load(
        &mut self,
        poll: &mut Poll,
        now: u64,
        order: u64,
        worker: &WorkerId,
        function: &FunctionId,
        replicas: u32,
    ) {
        let tag = format!("L{order}");
        let line = line::stage_line(&tag, function, replicas);
        match self.queue_line(poll, now, worker, &tag, Purpose::LoadOrder(order), &line) {
            Ok(slot) => {
                count(&self.counters.loads_ordered);
                self.flush(poll, now, slot);
            }
            Err(outcome) => self.completions.push(Completion::Order(order, outcome, 0)),
        }
    }

    /// Probes an executor to which there is no connection by opening one. Returns false if no probe is made:
    /// the executor is not ready or already connected, or the limit on connections is reached.
    pub fn probe(&mut self, poll: &mut Poll, now: u64, worker: &WorkerId) -> bool {
        let Some(address) = self.ready_address(worker) else { return false };
        let connected = self.links.iter().any(|(_, l)| l.handler.worker == *worker && !l.handler.closing);
        // A probe must not take up a connection that a request may need.
        if connected || self.links.len() >= self.limits.max_connections {
            return false;
        }
        if self.connect(poll, now, worker, address).is_err() {
            self.record_connection_failure(worker, true, true);
        }
        true
    }

    fn record_connection_failure(&mut self, worker: &WorkerId, refused: bool, looked: bool) {
        if self.connection_failures.len() < MAX_SIGHTINGS {
            self.connection_failures.push(ConnectionFailure {
                worker: worker.clone(),
                connect_refused: refused,
                is_probe: looked,
            });
        }
    }

    /// Cancels an attempt: its answer is no longer awaited.
    pub fn cancel(&mut self, poll: &Poll, now: u64, id: AttemptId) {
        // A line that is still queued would otherwise be sent, and run, long after its request ended.
        if self.unqueue_attempt(id) {
            return;
        }
        let Some((slot, rid)) = self.attempts.remove(&id) else { return };
        let Some(link) = self.links.get_mut(slot) else { return };
        let Some(pending_line) = link.handler.open.get_mut(&rid) else { return };
        count(&self.counters.attempts_cancelled);
        pending_line.purpose = Purpose::Tombstone;
        pending_line.expires_at = now + self.limits.idle_timeout();
        // A `halt` that does not fit in the queue is dropped: it only saves the executor work.
        let _ = link.io.queue(&line::halt_line(&rid));
        self.flush(poll, now, slot);
    }

    /// Ends an attempt as moot if nothing of it has been sent; otherwise the attempt continues.
    pub fn cancel_if_unsent(&mut self, id: AttemptId) {
        if self.unqueue_attempt(id) {
            self.end_attempt(id, Outcome::NotSent);
        }
    }

    /// Removes an attempt's line from the send queue; returns false if part of it has been sent.
    fn unqueue_attempt(&mut self, id: AttemptId) -> bool {
        let Some((slot, rid)) = self.attempts.get(&id) else { return false };
        let Some(link) = self.links.get_mut(*slot) else { return false };
        let Some(PendingLine { start, end, .. }) = link.handler.open.get(rid).copied() else { return false };
        if !link.io.remove_queued(start, end) {
            return false;
        }
        count(&self.counters.attempts_withdrawn);
        link.handler.open.remove(rid);
        self.attempts.remove(&id);
        for later in link.handler.open.values_mut().filter(|e| e.start >= end) {
            later.start -= end - start;
            later.end -= end - start;
        }
        true
    }

    /// Queues a line on a connection to the executor, opening a new connection if none is usable.
    fn queue_line(
        &mut self,
        poll: &mut Poll,
        now: u64,
        worker: &WorkerId,
        rid: &str,
        purpose: Purpose,
        line: &[u8],
    ) -> Result<usize, Outcome> {
        let Some(address) = self.ready_address(worker) else { return Err(Outcome::NotSent) };
        let limits = &self.limits;
        let usable = |link: &Connection<ExecutorConnection>| {
            let peer = &link.handler;
            !peer.closing
                && peer.awaiting() < limits.max_requests_per_connection
                && !peer.open.contains_key(rid)
                && (peer.awaiting() > 0 || now < peer.last_used_at + limits.idle_timeout())
                && peer.unanswered_since.is_none_or(|since| now < since + UNRESPONSIVE_AFTER_US)
                && peer.partial_line_since.is_none_or(|since| now < since + PARTIAL_LINE_GRACE_US)
                && link.io.unsent_bytes() + line.len() <= MAX_UNSENT_BYTES
        };
        let found = (self.links.iter())
            .filter(|(_, link)| link.handler.worker == *worker && usable(link))
            .min_by_key(|(_, link)| (link.io.connecting(), link.io.unsent_bytes()))
            .map(|(slot, _)| slot);
        let slot = match found {
            Some(slot) => slot,
            None => self.connect(poll, now, worker, address)?,
        };
        let link = &mut self.links[slot];
        let start = link.io.queued;
        if !link.io.queue(line) {
            return Err(Outcome::NotSent);
        }
        let pending_line =
            PendingLine { purpose, start, end: link.io.queued, expires_at: u64::MAX, timeout: None };
        link.handler.open.insert(rid.to_string(), pending_line);
        link.handler.unanswered_since.get_or_insert(now);
        Ok(slot)
    }

    /// Opens a connection, evicting an idle one if the limit on connections is reached.
    fn connect(
        &mut self,
        poll: &mut Poll,
        now: u64,
        worker: &WorkerId,
        address: SocketAddr,
    ) -> Result<usize, Outcome> {
        // The limit keeps the process within its file descriptors; at the limit an idle connection is
        // evicted.
        if self.links.len() >= self.limits.max_connections && !self.evict_idle() {
            return Err(Outcome::ConnectFailed);
        }
        count(&self.counters.executor_connects);
        let entry = self.links.vacant_entry();
        let token = poll.token(self.owner, entry.key());
        let peer = ExecutorConnection::new(worker.clone(), now);
        match Connection::connect(poll, address, token, peer, (MAX_LINE_BYTES, MAX_UNSENT_BYTES)) {
            Ok(link) => Ok(entry.insert(link).io.token().slot as usize),
            Err(_) => {
                count(&self.counters.executor_connects_failed);
                Err(Outcome::ConnectFailed)
            }
        }
    }

    /// Writes the queued lines of a connection as far as the socket accepts them, unless writes are held
    /// back.
    fn flush(&mut self, poll: &Poll, now: u64, slot: usize) {
        let hold = self.must_hold_writes();
        let Some(link) = self.links.get_mut(slot) else { return };
        link.handler.last_used_at = now;
        Self::refresh_timeouts(link, now);
        self.has_held_lines |= Self::set_hold(link, hold, &self.counters);
        if link.flush(poll).is_err() {
            // An answer may have arrived before the reset that broke the send, and not have been read yet.
            // The connection therefore only stops taking new lines; the event for its end reads the remaining
            // input first.
            link.handler.closing = true;
        }
    }

    /// Rewrites the time-outs in lines that have waited for their connection. An executor given more time
    /// than the client has left would work for a client that has gone.
    fn refresh_timeouts(link: &mut Connection<ExecutorConnection>, now: u64) {
        if link.io.unsent_bytes() == 0 {
            return;
        }
        for pending_line in link.handler.open.values_mut() {
            let stale = |t: &&mut TimeoutField| now > t.written_at + TIMEOUT_REFRESH_AFTER_US;
            let Some(timeout) = pending_line.timeout.as_mut().filter(stale) else { continue };
            let number = line::format_timeout(timeout.deadline.saturating_sub(now), timeout.width);
            if pending_line.start >= link.io.written
                && link.io.overwrite(pending_line.start + timeout.offset, number.as_bytes())
            {
                timeout.written_at = now;
            }
        }
    }

    /// Handles an I/O event on a connection.
    pub fn handle_event(&mut self, poll: &mut Poll, now: u64, ready: PollEvent) {
        let (slot, hold) = (ready.token.slot as usize, self.must_hold_writes());
        let Some(link) = self.links.get_mut(slot).filter(|l| l.io.token() == ready.token) else { return };
        let mut answers = std::mem::take(&mut self.answers);
        let unread_before = link.io.unparsed_bytes();
        Self::refresh_timeouts(link, now);
        self.has_held_lines |= Self::set_hold(link, hold, &self.counters);
        let result = link.handle_event(poll, ready, &mut answers);
        self.unread_bytes = self.unread_bytes + link.io.unparsed_bytes() - unread_before;
        if ready.read {
            link.handler.unanswered_since = None;
            // The time runs from the line's first bytes, or from the last complete line before it.
            let since = link.handler.partial_line_since.filter(|_| answers.is_empty()).unwrap_or(now);
            link.handler.partial_line_since = (link.io.unparsed_bytes() > 0).then_some(since);
            link.handler.last_read_at = now;
        }
        for answer in answers.drain(..) {
            self.handle_answer(now, slot, answer);
        }
        self.answers = answers;
        match result {
            Err(reason) => self.close(slot, reason),
            Ok(()) if self.links[slot].io.read_closed => self.close(slot, Closed::Broken),
            Ok(()) => self.close_if_idle(slot),
        }
        // Long answers on many connections at once must not exhaust the memory: closes the connection that
        // holds most.
        while self.unread_bytes > self.limits.max_unread_bytes {
            let longest = self.links.iter().max_by_key(|(_, l)| l.io.unparsed_bytes()).map(|(slot, _)| slot);
            let Some(longest) = longest else { return };
            self.close(longest, Closed::Malformed("partially received answers exceed the memory limit"));
        }
    }

    /// Matches an answer to its attempt or load order and reports the result.
    fn handle_answer(&mut self, now: u64, slot: usize, answer: Answer) {
        let peer = &mut self.links[slot].handler;
        peer.last_used_at = now;
        let Some(pending_line) = peer.open.remove(&answer.rid) else {
            return count(&self.counters.late_answers);
        };
        let Answer { outcome, found, crowd, load, replicas, body, .. } = answer;
        if let Purpose::Attempt(id) = pending_line.purpose {
            self.attempts.remove(&id);
            if outcome != Outcome::Ok {
                let expires_at = now + DUPLICATE_ANSWER_WINDOW_US;
                let tombstone = PendingLine { purpose: Purpose::Tombstone, expires_at, ..pending_line };
                peer.open.insert(answer.rid.clone(), tombstone);
            }
        } else if pending_line.purpose == Purpose::Tombstone {
            count(&self.counters.late_answers);
        }
        let found = if self.limits.reports_warm || found == ReplicaStatus::LoadFailed {
            found
        } else {
            ReplicaStatus::NotReported
        };
        let report = line::load_values(&self.limits.report, load.as_deref());
        let crowd = crowd.filter(|_| self.limits.reports_concurrency);
        let result = AttemptResult { outcome, found, concurrent_requests: crowd, report, body };
        Self::push_completion(&mut self.completions, pending_line.purpose, result, replicas);
    }

    fn push_completion(
        reports: &mut Vec<Completion>,
        purpose: Purpose,
        result: AttemptResult,
        replicas: u32,
    ) {
        match purpose {
            Purpose::Attempt(id) => reports.push(Completion::Attempt(id, result)),
            Purpose::LoadOrder(order) => reports.push(Completion::Order(order, result.outcome, replicas)),
            Purpose::Tombstone => {}
        }
    }

    /// Reports the end of an attempt or load order that got no answer.
    fn end_unanswered(&mut self, purpose: Purpose, outcome: Outcome) {
        if let Purpose::Attempt(id) = purpose {
            self.attempts.remove(&id);
        }
        Self::push_completion(&mut self.completions, purpose, AttemptResult::from_outcome(outcome), 0);
    }

    fn end_attempt(&mut self, id: AttemptId, outcome: Outcome) {
        self.completions.push(Completion::Attempt(id, AttemptResult::from_outcome(outcome)));
    }

    /// Closes a connection and ends the attempts and load orders open on it.
    fn close(&mut self, slot: usize, reason: Closed) {
        let Some(link) = self.links.try_remove(slot) else { return };
        self.unread_bytes -= link.io.unparsed_bytes();
        match reason {
            Closed::NoConnect => count(&self.counters.executor_connects_failed),
            Closed::Malformed(_) => count(&self.counters.executors_malformed),
            Closed::Broken => {}
        }
        let refused = reason == Closed::NoConnect;
        if refused || (reason == Closed::Broken && link.handler.awaiting() > 0 && !link.handler.closing) {
            self.record_connection_failure(
                &link.handler.worker,
                refused,
                refused && link.handler.open.is_empty(),
            );
        }
        let written = if link.io.connecting() { 0 } else { link.io.written };
        // A malformed or truncated answer ends the connection for everything on it, but does not show that
        // the executor's process died. Reported as a reset, it would make the router assume that all replicas
        // there are lost.
        let malformed = matches!(reason, Closed::Malformed(_)) || link.io.unparsed_bytes() > 0;
        for pending_line in link.handler.open.into_values() {
            // A line that was not sent completely cannot have run; one that was sent completely may have.
            let outcome = match pending_line.end > written {
                true => Outcome::ConnectFailed,
                false if malformed => Outcome::Unknown,
                false => Outcome::Reset,
            };
            self.end_unanswered(pending_line.purpose, outcome);
        }
    }

    /// Closes a connection marked as closing once no answer is awaited on it and nothing is left to send.
    fn close_if_idle(&mut self, slot: usize) {
        let finished = |l: &Connection<ExecutorConnection>| {
            l.handler.closing && l.handler.awaiting() == 0 && l.io.unsent_bytes() == 0
        };
        if self.links.get(slot).is_some_and(finished) {
            self.close(slot, Closed::Broken);
        }
    }

    /// Applies the time limits: closes connections that were not established in time, have a stalled line, or
    /// are idle (before their executors close them), and removes expired tombstones.
    pub fn advance(&mut self, now: u64) {
        let idle_timeout = self.limits.idle_timeout();
        let connect_timeout = self.limits.connect_timeout;
        let mut expired = Vec::new();
        for (slot, link) in &mut self.links {
            let peer = &mut link.handler;
            peer.open.retain(|_, e| e.purpose != Purpose::Tombstone || now < e.expires_at);
            if link.io.connecting() && now >= peer.connect_started_at + connect_timeout {
                expired.push((slot, Closed::NoConnect));
            } else if peer.partial_line_since.is_some() && now >= peer.last_read_at + LINE_STALL_TIMEOUT_US {
                expired.push((slot, Closed::Malformed("a line that was not completed in time")));
            } else if peer.awaiting() == 0 && now >= peer.last_used_at + idle_timeout {
                count(&self.counters.executor_idle_closed);
                expired.push((slot, Closed::Broken));
            } else if peer.open.len() - peer.awaiting() > MAX_TOMBSTONES {
                peer.closing = true;
            }
        }
        expired.into_iter().for_each(|(slot, reason)| self.close(slot, reason));
    }

    /// Returns when `advance` is next due.
    pub fn due(&self) -> Option<u64> {
        let idle_timeout = self.limits.idle_timeout();
        let link_due = |(_, l): (usize, &Connection<ExecutorConnection>)| match (
            l.io.connecting(),
            l.handler.partial_line_since,
            l.handler.awaiting(),
        ) {
            (true, ..) => l.handler.connect_started_at + self.limits.connect_timeout,
            (false, Some(_), _) => l.handler.last_read_at + LINE_STALL_TIMEOUT_US,
            (false, None, 0) => l.handler.last_used_at + idle_timeout,
            (false, None, _) => u64::MAX,
        };
        self.links.iter().map(link_due).min()
    }
}

#[cfg(test)]
mod tests;
