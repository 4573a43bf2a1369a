//! Asks the name service for the list of workers, over and over, and keeps the list in use.
//!
//! [`Schedule`] decides when to ask, [`Checker`] which lists are believed, [`ListTracker`] which one is in use; this module
//! owns the sockets. Bounds: [`MOST_CHANNELS`] sockets, one query over TCP at a time.

use super::channel::Channel;
use super::check::{Checker, Doubt, Verdict};
use super::dns::{self, MOST_ANSWER};
use super::schedule::Schedule;
use super::stream::Exchange;
use super::tracker::{Decision, ListTracker, ReceivedList};
use super::{Executor, State};
use crate::counters::{Counters, add, count};
use crate::net::{Poll, Ready};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::{debug, info, warn};

/// Sockets that answers may still come to. A path is replaced after 0.6 s of silence, and answers are awaited for 2.5 s.
const MOST_CHANNELS: usize = 5;
/// The slot of the connection over TCP; sockets are numbered below it.
const STREAM_SLOT: usize = 0xffff;
/// Errors of a socket that are passed over in one turn.
const MOST_ERRORS: usize = 16;
/// Ids of workers that one event names.
const MOST_NAMED: usize = 16;
/// A list that no answer has agreed with for this long is reported as old, in microseconds: what happens counts as told by then.
const OLD_US: u64 = 1_500_000;

/// Asks the name service.
pub struct Resolver {
    owner: u8,
    server: SocketAddr,
    service: String,
    /// The newest, which queries go out on, is the last.
    channels: Vec<Channel>,
    opened: usize,
    stream: Option<Exchange>,
    next_id: u16,
    schedule: Schedule,
    checker: Checker,
    tracker: ListTracker,
    /// The answer, less its id, that told the list in use: most answers repeat it to the byte.
    confirmed: Vec<u8>,
    /// When the last answer was asked for that agreed with the list in use, and whether its age was reported.
    fresh_at: u64,
    old: bool,
    buffer: Vec<u8>,
    counters: Rc<Counters>,
}

/// The list that a process starts with, and what its random numbers begin with.
pub struct Start {
    /// The number of the last event of the list.
    pub serial: u64,
    /// The list.
    pub executors: Vec<Executor>,
    /// Where the ids of queries begin.
    pub seed: u64,
    /// The time now.
    pub now: u64,
}

impl Resolver {
    /// A resolver that holds the list of the start.
    pub fn new(
        poll: &mut Poll,
        owner: u8,
        server: SocketAddr,
        service: &str,
        start: Start,
        counters: Rc<Counters>,
    ) -> io::Result<Resolver> {
        let channel = Channel::open(poll, owner, 0, server)?;
        let (serial, listed) = (start.serial, start.executors.len());
        info!(serial, listed, port = channel.port(), "the list of the start is in use");
        Ok(Resolver {
            owner,
            server,
            service: service.to_string(),
            channels: vec![channel],
            opened: 1,
            stream: None,
            next_id: start.seed as u16,
            schedule: Schedule::default(),
            checker: Checker::default(),
            tracker: ListTracker::new(start.now, start.serial, start.executors),
            confirmed: Vec::new(),
            fresh_at: start.now,
            old: false,
            buffer: vec![0; MOST_ANSWER],
            counters,
        })
    }

    /// Asks at another address from now on, and at once. Answers of the old one that are on their way still count.
    pub fn move_to(&mut self, poll: &mut Poll, server: SocketAddr) -> io::Result<()> {
        if server != self.server {
            self.open_channel(poll, server)?;
            self.server = server;
            self.stream = None;
            self.schedule = Schedule::default();
        }
        self.schedule.ask_at_once();
        Ok(())
    }

    /// Takes a list that did not come from the name service; `origin` names where from. True if the list in use has changed.
    pub fn offer(&mut self, now: u64, origin: &'static str, serial: u64, executors: Vec<Executor>) -> bool {
        let (listed, held) = (executors.len(), self.tracker.serial());
        let whole = !self.tracker.from_service();
        let changed = self.tracker.offer(now, serial, executors);
        info!(
            origin,
            serial, held, listed, whole, changed, "a list came by another way than the name service"
        );
        if changed {
            self.report_change();
        }
        changed
    }

    /// The list in use.
    pub fn in_use(&self) -> &[Executor] {
        self.tracker.in_use()
    }

    /// The number of the list in use.
    pub fn serial(&self) -> u64 {
        self.tracker.serial()
    }

    /// How long ago the last answer was asked for that agreed with the list in use, in microseconds.
    pub fn age(&self, now: u64) -> u64 {
        now.saturating_sub(self.fresh_at)
    }

    /// When it next has something to do.
    pub fn due(&self) -> u64 {
        self.schedule.due()
    }

    /// Sends the next query when it is time.
    pub fn advance(&mut self, poll: &mut Poll, now: u64) {
        if now < self.schedule.due() {
            return;
        }
        self.drop_old_channels(now);
        self.report_age(now);
        if self.schedule.is_silent(now) {
            self.replace_path(poll, now);
        }
        self.schedule.asked(now);
        self.ask(now);
    }

    /// Handles what happened on a socket of the name service; true if a newer list has come, or the list in use has changed.
    pub fn ready(&mut self, poll: &mut Poll, now: u64, ready: Ready) -> bool {
        let changes = self.tracker.changes();
        let news = self.read_stream(poll, now, ready);
        if self.tracker.changes() > changes {
            self.report_change();
        }
        self.read(poll, now) || news
    }

    /// Reads what has come over UDP; true if a newer list has come, or the list in use has changed.
    pub fn read(&mut self, poll: &mut Poll, now: u64) -> bool {
        let (changes, mut news) = (self.tracker.changes(), false);
        let mut buffer = std::mem::take(&mut self.buffer);
        for index in 0..self.channels.len() {
            news |= self.read_channel(poll, now, index, &mut buffer);
        }
        self.buffer = buffer;
        if self.tracker.changes() > changes {
            self.report_change();
        }
        news
    }

    fn ask(&mut self, now: u64) {
        let id = self.fresh_id();
        let Some(channel) = self.channels.last_mut() else { return };
        match channel.ask(now, id, &self.service) {
            Ok(sent) => {
                count(&self.counters.dns_queries);
                add(&self.counters.dns_sent_bytes, sent);
            }
            Err(error) => {
                count(&self.counters.dns_send_errors);
                debug!(%error, "a query to the name service could not be sent");
            }
        }
    }

    /// An id that can't be foreseen from one answer; a full period before one comes again.
    fn fresh_id(&mut self) -> u16 {
        self.next_id = self.next_id.wrapping_mul(25_173).wrapping_add(13_849);
        self.next_id
    }

    fn open_channel(&mut self, poll: &mut Poll, server: SocketAddr) -> io::Result<()> {
        let channel = Channel::open(poll, self.owner, self.opened % STREAM_SLOT, server)?;
        self.opened += 1;
        self.channels.push(channel);
        if self.channels.len() > MOST_CHANNELS {
            self.channels.remove(0);
        }
        Ok(())
    }

    /// Asks on a new socket from now on. Where none can be opened the old one serves on, and the next query tries again.
    fn replace_path(&mut self, poll: &mut Poll, now: u64) {
        match self.open_channel(poll, self.server) {
            Ok(()) => {
                self.schedule.path_replaced(now);
                count(&self.counters.dns_reopened);
                let port = self.channels.last().map_or(0, Channel::port);
                info!(
                    serial = self.serial(),
                    port, "nothing came for a while: a new socket to the name service"
                );
            }
            Err(error) => debug!(%error, "no new socket to the name service could be opened"),
        }
    }

    fn drop_old_channels(&mut self, now: u64) {
        let newest = self.channels.len().saturating_sub(1);
        let mut index = 0;
        self.channels.retain_mut(|channel| {
            index += 1;
            channel.awaits(now) || index > newest
        });
        self.stream = self.stream.take().filter(|stream| !stream.is_over(now));
    }

    fn read_channel(&mut self, poll: &mut Poll, now: u64, index: usize, buffer: &mut [u8]) -> bool {
        let (mut news, mut errors) = (false, 0);
        while errors < MOST_ERRORS {
            let size = match self.channels[index].receive(buffer) {
                Ok(Some(size)) => size,
                Ok(None) => break,
                Err(_) => {
                    count(&self.counters.dns_receive_errors);
                    errors += 1;
                    continue;
                }
            };
            self.schedule.heard();
            add(&self.counters.dns_received_bytes, size);
            let message = &buffer[..size];
            // A packet may be forged, late or doubled: only an id that is out counts, and only once.
            let Some((id, asked_at)) =
                dns::id(message).and_then(|id| Some((id, self.channels[index].asked_at(id)?)))
            else {
                count(&self.counters.dns_dropped);
                continue;
            };
            // An unreadable packet leaves its id out: the real answer may still come.
            let (readable, told) = self.take(now, asked_at, message);
            if readable {
                self.channels[index].answered(id);
            }
            news |= told;
            if dns::is_cut_off(message) {
                self.ask_over_tcp(poll, now);
            }
        }
        news
    }

    fn ask_over_tcp(&mut self, poll: &mut Poll, now: u64) {
        if self.stream.is_some() {
            return;
        }
        let (id, place) = (self.fresh_id(), (self.owner, STREAM_SLOT));
        match Exchange::begin(poll, place, self.server, (now, id), &self.service) {
            Ok(exchange) => {
                count(&self.counters.dns_streams);
                self.stream = Some(exchange);
            }
            Err(error) => debug!(%error, "the name service can't be asked over TCP"),
        }
    }

    fn read_stream(&mut self, poll: &mut Poll, now: u64, ready: Ready) -> bool {
        let Some(mut stream) = self.stream.take_if(|s| s.owns(ready)) else { return false };
        match stream.ready(poll, ready) {
            Ok(None) => {
                self.stream = Some(stream);
                false
            }
            Ok(Some(message)) => {
                add(&self.counters.dns_received_bytes, message.len());
                self.take(now, stream.asked_at(), &message).1
            }
            Err(why) => {
                debug!(?why, "the connection to the name service ended without an answer");
                false
            }
        }
    }

    /// Takes an answer to a query of that time: whether it could be read whole, and whether it brings news.
    fn take(&mut self, now: u64, asked_at: u64, message: &[u8]) -> (bool, bool) {
        let body = message.get(2..).unwrap_or_default();
        if !body.is_empty() && body == self.confirmed {
            count(&self.counters.dns_answers);
            count(&self.counters.lists_stale);
            let changed = self.tracker.repeat(asked_at);
            self.confirmed_by(now, asked_at, message.len());
            return (true, changed);
        }
        match dns::read(message, &self.service) {
            Err(bad) => {
                if let Verdict::Refuse { doubt, first } = self.checker.unreadable(bad.0) {
                    self.report_refusal(&doubt, first, message.len());
                }
                let draining = dns::draining(message, &self.service);
                (false, !draining.is_empty() && self.tracker.drain(now, &draining))
            }
            // Events are counted from 1: a service that has none yet tells nothing.
            Ok(answer) if answer.serial == 0 => {
                count(&self.counters.dns_answers);
                count(&self.counters.lists_stale);
                self.schedule.answered(now, asked_at, message.len(), false);
                (true, false)
            }
            Ok(answer) => {
                count(&self.counters.dns_answers);
                let changed = self.take_list(now, asked_at, answer, message);
                let unconfirmed = self.tracker.awaits_confirmation();
                self.schedule.answered(now, asked_at, message.len(), unconfirmed);
                (true, changed)
            }
        }
    }

    fn take_list(&mut self, now: u64, asked_at: u64, answer: dns::Answer, message: &[u8]) -> bool {
        let held = self.tracker.in_use().len();
        let (serial, told) = (u64::from(answer.serial), answer.executors.clone());
        let (executors, merged) = match self.checker.judge(now, answer.executors, held) {
            Verdict::Take { executors, merged } => (executors, merged),
            Verdict::Refuse { doubt, first } => {
                self.report_refusal(&doubt, first, message.len());
                return self.tracker.doubt(now, &told, asked_at >= self.fresh_at);
            }
        };
        add(&self.counters.lists_merged, merged);
        let before = self.tracker.serial();
        let (listed, list) =
            (executors.len(), ReceivedList { serial, executors, asked_at, received_at: now });
        let (decision, changed) = self.tracker.take(list);
        let asked_ms = now.saturating_sub(asked_at) / 1_000;
        match decision {
            Decision::Newer | Decision::Renumbered | Decision::Confirms => {
                self.confirmed.clear();
                self.confirmed.extend(message.get(2..).unwrap_or_default());
                self.fresh_at = self.fresh_at.max(asked_at);
            }
            Decision::Contradicts | Decision::Older => {}
        }
        match decision {
            Decision::Newer => {
                let bytes = message.len();
                info!(serial, before, asked_ms, bytes, listed, "a list with a higher number is in use");
            }
            Decision::Renumbered => {
                count(&self.counters.lists_renumbered);
                warn!(
                    serial,
                    before, asked_ms, listed, "the name service keeps to lower numbers: its list is in use"
                );
            }
            Decision::Confirms => count(&self.counters.lists_stale),
            Decision::Contradicts | Decision::Older => {
                count(&self.counters.lists_stale);
                count(&self.counters.lists_lower);
                info!(
                    serial,
                    held = before,
                    asked_ms,
                    ?decision,
                    "a list with no higher number: only its drains count"
                );
            }
        }
        changed || matches!(decision, Decision::Newer | Decision::Renumbered)
    }

    fn confirmed_by(&mut self, now: u64, asked_at: u64, bytes: usize) {
        self.fresh_at = self.fresh_at.max(asked_at);
        self.schedule.answered(now, asked_at, bytes, self.tracker.awaits_confirmation());
    }

    fn report_refusal(&self, doubt: &Doubt, first: bool, bytes: usize) {
        count(&self.counters.lists_refused);
        if first {
            warn!(serial = self.serial(), bytes, %doubt, "the last good list of executors stays in use");
        }
    }

    /// Tells of a list that has grown old, and of its end.
    fn report_age(&mut self, now: u64) {
        let age = self.age(now);
        self.counters.list_age_ms.set(age / 1_000);
        let old = age >= OLD_US;
        if old != self.old {
            self.old = old;
            let (serial, age_ms) = (self.serial(), age / 1_000);
            if old {
                warn!(serial, age_ms, "no answer has agreed with the list in use for a while");
            } else {
                info!(serial, age_ms, "answers agree with the list in use again");
            }
        }
    }

    fn report_change(&self) {
        let ready = |list: &[Executor]| -> HashMap<_, _> {
            list.iter().map(|e| (e.id.clone(), e.state == State::Ready)).collect()
        };
        let (old, new) = (ready(self.tracker.previous()), ready(self.in_use()));
        let is_ready = |list: &HashMap<_, bool>, id| list.get(id) == Some(&true);
        let ended = old.keys().filter(|id| is_ready(&old, *id) && !is_ready(&new, *id));
        let begun = new.keys().filter(|id| is_ready(&new, *id) && !is_ready(&old, *id));
        let (ended, begun): (Vec<_>, Vec<_>) =
            (ended.take(MOST_NAMED).collect(), begun.take(MOST_NAMED).collect());
        info!(serial = self.serial(), ?ended, ?begun, "which workers are used has changed");
    }
}
