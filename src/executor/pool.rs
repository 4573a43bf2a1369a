//! The connections to all executors: which one a request goes out on, and how its attempt ends.

use super::line::{self, Answer};
use super::peer::{Entry, MOST_LINE, MOST_UNSENT, Peer, Purpose, Wait};
use crate::api::{Found, FunctionId, Outcome, WorkerId};
use crate::core::{AttemptId, Ended, Job};
use crate::counters::{Counters, count};
use crate::names::{Executor, State};
use crate::net::{Closed, Link, Poll, Ready};
use slab::Slab;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A connection idle for longer than the executors' limit less this is not used: they may be closing it. A short
/// limit is cut by a quarter at the most.
const IDLE_MARGIN: u64 = 1_000_000;
/// A connection on which something was sent this long ago, and nothing heard since, gets nothing new: its machine
/// may have vanished, which only a new connection shows.
const SILENT: u64 = 500_000;
/// A line of which nothing has come for this long has broken off, and nothing that can be read will follow it: its
/// connection is done for all that is open on it. A long line in pieces takes longer than that in all.
const BROKEN_OFF: u64 = 120_000;
/// A connection on which a line has been half read for this long gets nothing new.
const HALF_READ: u64 = 20_000;
/// An answer that proves nothing done may come a second time for this long: its id is not used again here meanwhile.
/// Danger: taken for that of a second attempt under the same id, it would let an unsafe request run twice.
const SECOND_ANSWER: u64 = 2_000_000;
/// A line that has waited for its connection for longer than this tells its executor anew how long its answer is
/// waited for. The platform allows 150 ms of slack in that figure.
const WAIT_STALE: u64 = 20_000;
/// Entries given up whose answers may still cross the halt; a connection with more of them is used up.
const MOST_HALTED: usize = 4_096;

/// Nothing is written to an executor this long after the answers of the name service were last read, until they are read
/// again: the process may have been stopped, or a call of the system may have taken long, and an answer that came meanwhile may
/// tell of a drain. A turn of the loop takes far less.
const LIST_READ_MOST: Duration = Duration::from_millis(50);

/// What bounds the pool.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Connections at a time.
    pub connections: usize,
    /// Bytes of answers that may be half read on all connections together.
    pub unread: usize,
    /// Requests open on a connection.
    pub streams: usize,
    /// How long a connection may take to come up.
    pub connect_timeout: u64,
    /// Executors close a connection idle for this long.
    pub keepalive: u64,
    /// The names of the classes, by position.
    pub classes: Vec<String>,
    /// Answers tell what they found.
    pub tells_warm: bool,
    /// Answers tell how many requests were held.
    pub tells_crowd: bool,
    /// What the load reports in answers tell, in order; empty where answers carry none.
    pub report: Vec<String>,
}

impl Limits {
    /// How long an idle connection is kept.
    fn idle(&self) -> u64 {
        self.keepalive - IDLE_MARGIN.min(self.keepalive / 4)
    }
}

/// What came of something sent.
#[derive(Debug)]
pub enum Report {
    /// An attempt has ended.
    Attempt(AttemptId, Ended),
    /// An order to load has ended, with so many copies standing.
    Order(u64, Outcome, u32),
}

/// Sightings that the host has not taken, at the most.
const MOST_SIGHTINGS: usize = 64;

/// What a connection's end tells of its executor, beside what it tells of the attempts on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sighting {
    /// The executor.
    pub worker: WorkerId,
    /// No connection came up.
    pub refused: bool,
    /// Nor was anything to be sent on it: it was only looked at.
    pub looked: bool,
}

/// The connections to all executors.
pub struct Pool {
    owner: u8,
    limits: Limits,
    listed: BTreeMap<WorkerId, (SocketAddr, State)>,
    links: Slab<Link<Peer>>,
    attempts: BTreeMap<AttemptId, (usize, String)>,
    answers: Vec<Answer>,
    /// Bytes of answers that are half read.
    unread: usize,
    /// When the answers of the name service that had come were last read.
    list_read_at: Instant,
    /// Nothing is written for now, and something has waited for that or for the list.
    writes_wait: bool,
    has_held: bool,
    counters: Rc<Counters>,
    /// What has come to its end, in order.
    pub reports: Vec<Report>,
    /// Executors whose connections broke with something open on them, or did not come up.
    pub sightings: Vec<Sighting>,
}

impl Pool {
    /// A pool without connections.
    pub fn new(owner: u8, limits: Limits, counters: Rc<Counters>) -> Pool {
        Pool {
            owner,
            limits,
            listed: BTreeMap::new(),
            links: Slab::new(),
            attempts: BTreeMap::new(),
            answers: Vec::new(),
            unread: 0,
            list_read_at: Instant::now(),
            writes_wait: false,
            has_held: false,
            counters,
            reports: Vec::new(),
            sightings: Vec::new(),
        }
    }

    /// Connections to executors.
    pub fn connections(&self) -> usize {
        self.links.len()
    }

    /// New bounds, for what is begun from now on.
    pub fn bound(&mut self, limits: Limits) {
        self.limits = limits;
        while self.links.len() > self.limits.connections && self.make_room() {}
    }

    /// Closes the connection on which nothing has been awaited for longest.
    fn make_room(&mut self) -> bool {
        let idle = self.links.iter().filter(|(_, l)| l.peer.awaiting() == 0);
        let Some(slot) = idle.min_by_key(|(_, l)| l.peer.used).map(|(slot, _)| slot) else { return false };
        self.close(slot, Closed::Broken);
        true
    }

    /// All answers of the name service that had come by now are read before anything else is done.
    pub fn list_was_read(&mut self) {
        self.list_read_at = Instant::now();
    }

    /// Has all writes wait until `release_writes`.
    pub fn hold_writes(&mut self) {
        self.writes_wait = true;
    }

    /// Whether writes wait, for `hold_writes` or since the list was not read for a while.
    pub fn holds_writes(&self) -> bool {
        self.writes_wait || self.has_held
    }

    /// Writes what has waited and was not withdrawn. The answers of the name service must have been read just before.
    pub fn release_writes(&mut self, poll: &Poll, now: u64) {
        (self.writes_wait, self.has_held) = (false, false);
        let held: Vec<usize> =
            self.links.iter().filter(|(_, link)| link.io.is_held()).map(|(slot, _)| slot).collect();
        for slot in held {
            self.push(poll, now, slot);
        }
    }

    /// Whether a write to an executor must wait now: all of them ask here. What waits stays queued, and is withdrawn if the
    /// answers that are read next tell that its executor drains.
    fn must_wait(&self) -> bool {
        self.writes_wait || self.list_read_at.elapsed() > LIST_READ_MOST
    }

    /// Has what is queued on a connection wait, if it must.
    fn hold(link: &mut Link<Peer>, wait: bool, counters: &Counters) -> bool {
        let wait = wait && link.io.unsent() > 0;
        if wait {
            count(&counters.writes_held);
        }
        link.io.hold(wait);
        wait
    }

    /// Takes the whole list. What is still queued for an executor that drains or is gone is withdrawn.
    pub fn list(&mut self, executors: &[Executor]) {
        let new = executors.iter().map(|e| (e.id.clone(), (e.address, e.state))).collect();
        let old = std::mem::replace(&mut self.listed, new);
        let slots: Vec<usize> = self.links.iter().map(|(slot, _)| slot).collect();
        for slot in slots {
            let worker = self.links[slot].peer.worker.clone();
            match self.listed.get(&worker) {
                Some((address, State::Ready)) if old.get(&worker).is_none_or(|(a, _)| a == address) => {}
                // Danger: a line queued on a connecting or blocked socket would go out after the drain was told.
                _ => self.withdraw(slot),
            }
        }
    }

    /// Takes back what has not begun to go out on a connection, and lets nothing new on it.
    fn withdraw(&mut self, slot: usize) {
        let link = &mut self.links[slot];
        link.peer.closing = true;
        let written = if link.io.connecting() { 0 } else { link.io.written };
        let begun = |e: &Entry| e.begins < written;
        // A line that has begun goes out whole: half of one would make nonsense of the connection.
        let keep = link.peer.open.values().filter(|e| begun(e)).map(|e| e.ends).max().unwrap_or(0);
        link.io.unqueue_after(keep);
        let unsent: Vec<(String, Entry)> =
            link.peer.open.iter().filter(|(_, e)| !begun(e)).map(|(r, e)| (r.clone(), *e)).collect();
        for (rid, entry) in unsent {
            self.links[slot].peer.open.remove(&rid);
            count(&self.counters.attempts_withdrawn);
            self.over(entry.purpose, Outcome::Moot);
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
        job: &Job,
    ) {
        let Some(class) = self.limits.classes.get(job.class) else {
            return self.end(id, Outcome::Moot);
        };
        let (line, figure) = line::go(&job.call, class, &job.function, wait, job.key.as_deref(), &job.body);
        let deadline = now.saturating_add(wait);
        let wait = Wait { at: figure.start as u64, width: figure.len(), deadline, written: now };
        match self.queue(poll, now, worker, &job.call, Purpose::Attempt(id), &line) {
            Ok(slot) => {
                let entry = self.links[slot].peer.open.get_mut(&*job.call);
                entry.into_iter().for_each(|e| e.wait = Some(wait));
                self.attempts.insert(id, (slot, job.call.to_string()));
                self.push(poll, now, slot);
            }
            Err(outcome) => self.end(id, outcome),
        }
    }

    /// Orders a load.
    pub fn load(
        &mut self,
        poll: &mut Poll,
        now: u64,
        order: u64,
        worker: &WorkerId,
        function: &FunctionId,
        copies: u32,
    ) {
        let tag = format!("L{order}");
        let line = line::stage(&tag, function, copies);
        match self.queue(poll, now, worker, &tag, Purpose::Order(order), &line) {
            Ok(slot) => {
                count(&self.counters.loads_ordered);
                self.push(poll, now, slot);
            }
            Err(outcome) => self.reports.push(Report::Order(order, outcome, 0)),
        }
    }

    /// Begins a connection to an executor to which none stands, to find out whether one comes up; false where there is
    /// nothing to find out.
    pub fn look(&mut self, poll: &mut Poll, now: u64, worker: &WorkerId) -> bool {
        let Some((address, State::Ready)) = self.listed.get(worker).copied() else { return false };
        let stands = self.links.iter().any(|(_, l)| l.peer.worker == *worker && !l.peer.closing);
        // Danger: a look must not cost a request its connection.
        if stands || self.links.len() >= self.limits.connections {
            return false;
        }
        if self.connect(poll, now, worker, address).is_err() {
            self.sight(worker, true, true);
        }
        true
    }

    fn sight(&mut self, worker: &WorkerId, refused: bool, looked: bool) {
        if self.sightings.len() < MOST_SIGHTINGS {
            self.sightings.push(Sighting { worker: worker.clone(), refused, looked });
        }
    }

    /// Gives an attempt up: its answer is waited for no more.
    pub fn halt(&mut self, poll: &Poll, now: u64, id: AttemptId) {
        // Danger: a line that is still queued would go out, and run, long after its request was over.
        if self.unqueue(id) {
            return;
        }
        let Some((slot, rid)) = self.attempts.remove(&id) else { return };
        let Some(link) = self.links.get_mut(slot) else { return };
        let Some(entry) = link.peer.open.get_mut(&rid) else { return };
        count(&self.counters.attempts_cancelled);
        entry.purpose = Purpose::Halted;
        entry.until = now + self.limits.idle();
        // What does not fit is left out: a halt only spares work.
        let _ = link.io.queue(&line::halt(&rid));
        self.push(poll, now, slot);
    }

    /// Ends an attempt of which nothing has been sent yet; one that has begun goes on.
    pub fn recall(&mut self, id: AttemptId) {
        if self.unqueue(id) {
            self.end(id, Outcome::Moot);
        }
    }

    /// Takes an attempt's line back, if none of it has been sent.
    fn unqueue(&mut self, id: AttemptId) -> bool {
        let Some((slot, rid)) = self.attempts.get(&id) else { return false };
        let Some(link) = self.links.get_mut(*slot) else { return false };
        let Some(Entry { begins, ends, .. }) = link.peer.open.get(rid).copied() else { return false };
        if !link.io.unqueue(begins, ends) {
            return false;
        }
        count(&self.counters.attempts_withdrawn);
        link.peer.open.remove(rid);
        self.attempts.remove(&id);
        for later in link.peer.open.values_mut().filter(|e| e.begins >= ends) {
            later.begins -= ends - begins;
            later.ends -= ends - begins;
        }
        true
    }

    /// Puts a line on a connection to the executor, on a new one if need be.
    fn queue(
        &mut self,
        poll: &mut Poll,
        now: u64,
        worker: &WorkerId,
        rid: &str,
        purpose: Purpose,
        line: &[u8],
    ) -> Result<usize, Outcome> {
        let Some((address, State::Ready)) = self.listed.get(worker).copied() else {
            return Err(Outcome::Moot);
        };
        let limits = &self.limits;
        let usable = |link: &Link<Peer>| {
            let peer = &link.peer;
            !peer.closing
                && peer.awaiting() < limits.streams
                && !peer.open.contains_key(rid)
                && (peer.awaiting() > 0 || now < peer.used + limits.idle())
                && peer.unheard.is_none_or(|since| now < since + SILENT)
                && peer.half_read.is_none_or(|since| now < since + HALF_READ)
                && link.io.unsent() + line.len() <= MOST_UNSENT
        };
        let found = (self.links.iter())
            .filter(|(_, link)| link.peer.worker == *worker && usable(link))
            .min_by_key(|(_, link)| (link.io.connecting(), link.io.unsent()))
            .map(|(slot, _)| slot);
        let slot = match found {
            Some(slot) => slot,
            None => self.connect(poll, now, worker, address)?,
        };
        let link = &mut self.links[slot];
        let begins = link.io.queued;
        if !link.io.queue(line) {
            return Err(Outcome::Moot);
        }
        let entry = Entry { purpose, begins, ends: link.io.queued, until: u64::MAX, wait: None };
        link.peer.open.insert(rid.to_string(), entry);
        link.peer.unheard.get_or_insert(now);
        Ok(slot)
    }

    fn connect(
        &mut self,
        poll: &mut Poll,
        now: u64,
        worker: &WorkerId,
        address: SocketAddr,
    ) -> Result<usize, Outcome> {
        // Danger: the budget of descriptors is used up. An idle connection gives way to one that is needed.
        if self.links.len() >= self.limits.connections && !self.make_room() {
            return Err(Outcome::ConnectFailed);
        }
        count(&self.counters.executor_connects);
        let entry = self.links.vacant_entry();
        let token = poll.token(self.owner, entry.key());
        let peer = Peer::new(worker.clone(), now);
        match Link::connect(poll, address, token, peer, (MOST_LINE, MOST_UNSENT)) {
            Ok(link) => Ok(entry.insert(link).io.token().slot as usize),
            Err(_) => {
                count(&self.counters.executor_connects_failed);
                Err(Outcome::ConnectFailed)
            }
        }
    }

    fn push(&mut self, poll: &Poll, now: u64, slot: usize) {
        let wait = self.must_wait();
        let Some(link) = self.links.get_mut(slot) else { return };
        link.peer.used = now;
        Self::renew_waits(link, now);
        self.has_held |= Self::hold(link, wait, &self.counters);
        if link.flush(poll).is_err() {
            // Danger: an answer may have come before the reset that broke the send, and not have been read. The
            // connection takes nothing new; its end is an event of its own, which reads first.
            link.peer.closing = true;
        }
    }

    /// Lines that have waited for their connection are told how long their answers are waited for now. An executor that
    /// is told more than the client has left would work for one that has gone.
    fn renew_waits(link: &mut Link<Peer>, now: u64) {
        if link.io.unsent() == 0 {
            return;
        }
        for entry in link.peer.open.values_mut() {
            let Some(wait) = entry.wait.as_mut().filter(|w| now > w.written + WAIT_STALE) else { continue };
            let figure = line::wait_figure(wait.deadline.saturating_sub(now), wait.width);
            if entry.begins >= link.io.written && link.io.overwrite(entry.begins + wait.at, figure.as_bytes())
            {
                wait.written = now;
            }
        }
    }

    /// Handles what happened to a connection.
    pub fn ready(&mut self, poll: &mut Poll, now: u64, ready: Ready) {
        let (slot, wait) = (ready.token.slot as usize, self.must_wait());
        let Some(link) = self.links.get_mut(slot).filter(|l| l.io.token() == ready.token) else { return };
        let mut answers = std::mem::take(&mut self.answers);
        let before = link.io.unread();
        Self::renew_waits(link, now);
        self.has_held |= Self::hold(link, wait, &self.counters);
        let result = link.ready(poll, ready, &mut answers);
        self.unread = self.unread + link.io.unread() - before;
        if ready.read {
            link.peer.unheard = None;
            // The time runs from the line's first bytes, or from the last whole one before it.
            let began = link.peer.half_read.filter(|_| answers.is_empty()).unwrap_or(now);
            link.peer.half_read = (link.io.unread() > 0).then_some(began);
            link.peer.piece = now;
        }
        for answer in answers.drain(..) {
            self.answer(now, slot, answer);
        }
        self.answers = answers;
        match result {
            Err(why) => self.close(slot, why),
            Ok(()) if self.links[slot].io.ended => self.close(slot, Closed::Broken),
            Ok(()) => self.close_if_idle(slot),
        }
        // Danger: long answers on many connections at once must not fill the memory. The longest goes.
        while self.unread > self.limits.unread {
            let longest = self.links.iter().max_by_key(|(_, l)| l.io.unread()).map(|(slot, _)| slot);
            let Some(longest) = longest else { return };
            self.close(longest, Closed::Malformed("more than there is memory for"));
        }
    }

    fn answer(&mut self, now: u64, slot: usize, answer: Answer) {
        let peer = &mut self.links[slot].peer;
        peer.used = now;
        let Some(entry) = peer.open.remove(&answer.rid) else {
            return count(&self.counters.late_answers);
        };
        let Answer { outcome, found, crowd, load, copies, body, .. } = answer;
        if let Purpose::Attempt(id) = entry.purpose {
            self.attempts.remove(&id);
            if outcome != Outcome::Ok {
                let halted = Entry { purpose: Purpose::Halted, until: now + SECOND_ANSWER, ..entry };
                peer.open.insert(answer.rid.clone(), halted);
            }
        } else if entry.purpose == Purpose::Halted {
            count(&self.counters.late_answers);
        }
        let found = if self.limits.tells_warm || found == Found::LoadFailed { found } else { Found::Untold };
        let report = line::report(&self.limits.report, load.as_deref());
        let crowd = crowd.filter(|_| self.limits.tells_crowd);
        let ended = Ended { outcome, found, crowd, report, body };
        Self::report(&mut self.reports, entry.purpose, ended, copies);
    }

    fn report(reports: &mut Vec<Report>, purpose: Purpose, ended: Ended, copies: u32) {
        match purpose {
            Purpose::Attempt(id) => reports.push(Report::Attempt(id, ended)),
            Purpose::Order(order) => reports.push(Report::Order(order, ended.outcome, copies)),
            Purpose::Halted => {}
        }
    }

    /// Ends what got no answer.
    fn over(&mut self, purpose: Purpose, outcome: Outcome) {
        if let Purpose::Attempt(id) = purpose {
            self.attempts.remove(&id);
        }
        Self::report(&mut self.reports, purpose, Ended::bare(outcome), 0);
    }

    fn end(&mut self, id: AttemptId, outcome: Outcome) {
        self.reports.push(Report::Attempt(id, Ended::bare(outcome)));
    }

    /// Drops a connection and ends what was open on it.
    fn close(&mut self, slot: usize, why: Closed) {
        let Some(link) = self.links.try_remove(slot) else { return };
        self.unread -= link.io.unread();
        match why {
            Closed::NoConnect => count(&self.counters.executor_connects_failed),
            Closed::Malformed(_) => count(&self.counters.executors_malformed),
            Closed::Broken => {}
        }
        let refused = why == Closed::NoConnect;
        if refused || (why == Closed::Broken && link.peer.awaiting() > 0 && !link.peer.closing) {
            self.sight(&link.peer.worker, refused, refused && link.peer.open.is_empty());
        }
        let written = if link.io.connecting() { 0 } else { link.io.written };
        // Danger: a spoilt answer, or one cut off in the middle, ends the connection for all on it, but it does
        // not tell that the process died; taken for that, each would have all copies there believed lost.
        let spoilt = matches!(why, Closed::Malformed(_)) || link.io.unread() > 0;
        for entry in link.peer.open.into_values() {
            // A line that did not go out whole proves that nothing ran; a whole one may have run.
            let outcome = match entry.ends > written {
                true => Outcome::ConnectFailed,
                false if spoilt => Outcome::Unknown,
                false => Outcome::Reset,
            };
            self.over(entry.purpose, outcome);
        }
    }

    /// Closes a connection that takes nothing new once nothing is awaited on it.
    fn close_if_idle(&mut self, slot: usize) {
        let done = |l: &Link<Peer>| l.peer.closing && l.peer.awaiting() == 0 && l.io.unsent() == 0;
        if self.links.get(slot).is_some_and(done) {
            self.close(slot, Closed::Broken);
        }
    }

    /// Ends what has waited too long: connections that do not come up, and idle ones before the executors do.
    pub fn advance(&mut self, now: u64) {
        let idle = self.limits.idle();
        let connect = self.limits.connect_timeout;
        let mut over = Vec::new();
        for (slot, link) in &mut self.links {
            let peer = &mut link.peer;
            peer.open.retain(|_, e| e.purpose != Purpose::Halted || now < e.until);
            if link.io.connecting() && now >= peer.begun + connect {
                over.push((slot, Closed::NoConnect));
            } else if peer.half_read.is_some() && now >= peer.piece + BROKEN_OFF {
                over.push((slot, Closed::Malformed("a line that breaks off")));
            } else if peer.awaiting() == 0 && now >= peer.used + idle {
                count(&self.counters.executor_idle_closed);
                over.push((slot, Closed::Broken));
            } else if peer.open.len() - peer.awaiting() > MOST_HALTED {
                peer.closing = true;
            }
        }
        over.into_iter().for_each(|(slot, why)| self.close(slot, why));
    }

    /// When `advance` next has something to do.
    pub fn due(&self) -> Option<u64> {
        let idle = self.limits.idle();
        let of = |(_, l): (usize, &Link<Peer>)| match (l.io.connecting(), l.peer.half_read, l.peer.awaiting())
        {
            (true, ..) => l.peer.begun + self.limits.connect_timeout,
            (false, Some(_), _) => l.peer.piece + BROKEN_OFF,
            (false, None, 0) => l.peer.used + idle,
            (false, None, _) => u64::MAX,
        };
        self.links.iter().map(of).min()
    }
}

#[cfg(test)]
mod tests;
