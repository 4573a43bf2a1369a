//! Queries the name service for the list of workers periodically and holds the list in use.
//!
//! [`QuerySchedule`] decides when to query, [`ListValidator`] which lists are valid, [`ListTracker`] which list is in use; this
//! module owns the sockets. It opens at most [`MAX_CHANNELS`] UDP sockets and runs one query over TCP at a time.

use super::dns::{self, MAX_MESSAGE_BYTES};
use super::schedule::QuerySchedule;
use super::tcp_exchange::TcpExchange;
use super::tracker::{Decision, ListOrigin, ListTracker, ReceivedList};
use super::udp_channel::Channel;
use super::validate::{Doubt, ListValidator, Verdict};
use super::{Executor, ExecutorState};
use crate::counters::{Counters, add, count};
use crate::net::{Poll, PollEvent};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::{debug, info, warn};

/// Limit of open UDP sockets. A socket is replaced after 0.6 s of silence, and answers are accepted for 2.5 s, so that
/// five sockets can have outstanding queries.
const MAX_CHANNELS: usize = 5;
/// The poll slot of the TCP connection; UDP sockets are numbered below it.
const TCP_SLOT: usize = 0xffff;
/// Receive errors of one socket that are skipped in one turn of the event loop.
const MAX_RECEIVE_ERRORS: usize = 16;
/// Limit of worker ids that one log event names.
const MAX_LOGGED_IDS: usize = 16;
/// Age at which a list that no answer has confirmed is logged as stale. The platform counts an event as announced 1.5 s
/// after it happened, so that an older list may violate its rules.
const STALE_AFTER_US: u64 = 1_500_000;

/// A client of the name service that holds the list of workers in use.
pub struct Resolver {
    owner: u8,
    server: SocketAddr,
    service_name: String,
    /// In the order in which they were opened; queries are sent on the last.
    channels: Vec<Channel>,
    channels_opened: usize,
    tcp_exchange: Option<TcpExchange>,
    last_query_id: u16,
    schedule: QuerySchedule,
    checker: ListValidator,
    tracker: ListTracker,
    /// The answer that carried the list in use, without its message id. Most answers repeat it byte for byte and need not
    /// be parsed.
    confirmed_answer: Vec<u8>,
    /// When the latest query was sent whose answer agreed with the list in use.
    confirmed_at: u64,
    /// When the latest query was sent whose answer agreed with the list before the one in use.
    previous_confirmed_at: u64,
    /// Whether the list in use has been logged as stale.
    logged_stale: bool,
    receive_buffer: Vec<u8>,
    counters: Rc<Counters>,
}

/// The initial list of a process, and the seed of its query ids.
pub struct InitialList {
    /// The number of the last event of the list.
    pub serial: u64,
    /// The list.
    pub executors: Vec<Executor>,
    /// The seed of the query ids.
    pub seed: u64,
    /// The time now.
    pub now: u64,
}

impl Resolver {
    /// Creates a resolver that holds the initial list, and opens its first socket.
    pub fn new(
        poll: &mut Poll,
        owner: u8,
        server: SocketAddr,
        service: &str,
        start: InitialList,
        counters: Rc<Counters>,
    ) -> io::Result<Resolver> {
        let channel = Channel::open(poll, owner, 0, server)?;
        let (serial, listed) = (start.serial, start.executors.len());
        info!(serial, listed, port = channel.port(), "using the initial list of workers");
        Ok(Resolver {
            owner,
            server,
            service_name: service.to_string(),
            channels: vec![channel],
            channels_opened: 1,
            tcp_exchange: None,
            last_query_id: start.seed as u16,
            schedule: QuerySchedule::default(),
            checker: ListValidator::default(),
            tracker: ListTracker::new(start.now, start.serial, start.executors),
            confirmed_answer: Vec::new(),
            confirmed_at: start.now,
            previous_confirmed_at: start.now,
            logged_stale: false,
            receive_buffer: vec![0; MAX_MESSAGE_BYTES],
            counters,
        })
    }

    /// Sends queries to another address from now on, and schedules the first at once. Answers from the old address to
    /// outstanding queries are still accepted.
    pub fn set_server(&mut self, poll: &mut Poll, server: SocketAddr) -> io::Result<()> {
        if server != self.server {
            self.open_channel(poll, server)?;
            self.server = server;
            self.tcp_exchange = None;
            self.schedule = QuerySchedule::default();
        }
        self.schedule.query_now();
        Ok(())
    }

    /// Applies a list that did not come from the name service. Returns whether the
    /// list in use has changed.
    pub fn offer_list(
        &mut self,
        now: u64,
        origin: ListOrigin,
        serial: u64,
        executors: Vec<Executor>,
    ) -> bool {
        let (listed, held) = (executors.len(), self.tracker.serial());
        let whole = !self.tracker.is_from_service();
        let changed = self.tracker.apply_external(now, origin, serial, executors);
        info!(
            ?origin,
            serial, held, listed, whole, changed, "received a list from a source other than the name service"
        );
        if changed {
            self.log_change();
        }
        changed
    }

    /// Returns the list in use.
    pub fn executors(&self) -> &[Executor] {
        self.tracker.in_use()
    }

    /// Returns the number of the list in use.
    pub fn serial(&self) -> u64 {
        self.tracker.serial()
    }

    /// Returns the time since the latest query whose answer agreed with the list in use, in microseconds.
    pub fn age(&self, now: u64) -> u64 {
        now.saturating_sub(self.confirmed_at)
    }

    /// Returns when the latest query was sent whose answer still agreed with the list before the one in use.
    pub fn previous_confirmed_at(&self) -> u64 {
        self.previous_confirmed_at
    }

    /// Returns whether the list in use came from the name service.
    pub fn is_list_from_service(&self) -> bool {
        self.tracker.is_from_service()
    }

    /// Returns when [`Resolver::advance`] has to be called next.
    pub fn next_query_at(&self) -> u64 {
        self.schedule.next_query_at()
    }

    /// Sends the next query if it is due.
    pub fn advance(&mut self, poll: &mut Poll, now: u64) {
        if now < self.schedule.next_query_at() {
            return;
        }
        self.drop_expired_sockets(now);
        self.update_staleness(now);
        if self.schedule.is_path_silent(now) {
            self.replace_channel(poll, now);
        }
        self.schedule.query_sent(now);
        self.send_query(now);
    }

    /// Handles an event on one of the sockets. Returns whether a newer list was accepted or the list in use has changed.
    pub fn handle_event(&mut self, poll: &mut Poll, now: u64, ready: PollEvent) -> bool {
        let changes = self.tracker.change_count();
        let updated = self.read_tcp(poll, now, ready);
        if self.tracker.change_count() > changes {
            self.log_change();
        }
        self.read_pending(poll, now) || updated
    }

    /// Reads all packets that have arrived over UDP. Returns whether a newer list was accepted or the list in use has
    /// changed.
    pub fn read_pending(&mut self, poll: &mut Poll, now: u64) -> bool {
        let (changes, mut updated) = (self.tracker.change_count(), false);
        let mut buffer = std::mem::take(&mut self.receive_buffer);
        for index in 0..self.channels.len() {
            updated |= self.read_channel(poll, now, index, &mut buffer);
        }
        self.receive_buffer = buffer;
        if self.tracker.change_count() > changes {
            self.log_change();
        }
        updated
    }

    fn send_query(&mut self, now: u64) {
        let id = self.next_query_id();
        let Some(channel) = self.channels.last_mut() else { return };
        match channel.send_query(now, id, &self.service_name) {
            Ok(sent) => {
                count(&self.counters.dns_queries);
                add(&self.counters.dns_sent_bytes, sent);
            }
            Err(error) => {
                count(&self.counters.dns_send_errors);
                debug!(%error, "failed to send a query to the name service");
            }
        }
    }

    /// Returns the next id of a linear congruential generator: not predictable from one answer, and of full period, so
    /// that no id repeats within 65,536 queries.
    fn next_query_id(&mut self) -> u16 {
        self.last_query_id = self.last_query_id.wrapping_mul(25_173).wrapping_add(13_849);
        self.last_query_id
    }

    fn open_channel(&mut self, poll: &mut Poll, server: SocketAddr) -> io::Result<()> {
        let channel = Channel::open(poll, self.owner, self.channels_opened % TCP_SLOT, server)?;
        self.channels_opened += 1;
        self.channels.push(channel);
        if self.channels.len() > MAX_CHANNELS {
            self.channels.remove(0);
        }
        Ok(())
    }

    /// Opens a new socket for queries. If that fails, the old one stays in use and the next query tries again.
    fn replace_channel(&mut self, poll: &mut Poll, now: u64) {
        match self.open_channel(poll, self.server) {
            Ok(()) => {
                self.schedule.path_replaced(now);
                count(&self.counters.dns_reopened);
                let port = self.channels.last().map_or(0, Channel::port);
                info!(
                    serial = self.serial(),
                    port, "no packet from the name service within the silence time-out; opened a new socket"
                );
            }
            Err(error) => debug!(%error, "failed to open a new socket to the name service"),
        }
    }

    fn drop_expired_sockets(&mut self, now: u64) {
        let newest = self.channels.len().saturating_sub(1);
        let mut index = 0;
        self.channels.retain_mut(|channel| {
            index += 1;
            channel.expire_queries(now) || index > newest
        });
        self.tcp_exchange = self.tcp_exchange.take().filter(|exchange| !exchange.is_expired(now));
    }

    fn read_channel(&mut self, poll: &mut Poll, now: u64, index: usize, buffer: &mut [u8]) -> bool {
        let (mut updated, mut errors) = (false, 0);
        while errors < MAX_RECEIVE_ERRORS {
            let size = match self.channels[index].receive(buffer) {
                Ok(Some(size)) => size,
                Ok(None) => break,
                Err(_) => {
                    count(&self.counters.dns_receive_errors);
                    errors += 1;
                    continue;
                }
            };
            self.schedule.packet_received();
            add(&self.counters.dns_received_bytes, size);
            let message = &buffer[..size];
            // A packet may be forged, late or duplicated: only the id of an outstanding query is accepted, once.
            let Some((id, queried_at)) =
                dns::message_id(message).and_then(|id| Some((id, self.channels[index].query_sent_at(id)?)))
            else {
                count(&self.counters.dns_dropped);
                continue;
            };
            // An unreadable packet leaves its query outstanding: the real answer may still arrive.
            let (readable, updates) = self.handle_answer(now, queried_at, message);
            if readable {
                self.channels[index].complete_query(id);
            }
            updated |= updates;
            if dns::is_truncated(message) {
                self.query_over_tcp(poll, now);
            }
        }
        updated
    }

    fn query_over_tcp(&mut self, poll: &mut Poll, now: u64) {
        if self.tcp_exchange.is_some() {
            return;
        }
        let (id, place) = (self.next_query_id(), (self.owner, TCP_SLOT));
        match TcpExchange::start(poll, place, self.server, (now, id), &self.service_name) {
            Ok(exchange) => {
                count(&self.counters.dns_streams);
                self.tcp_exchange = Some(exchange);
            }
            Err(error) => debug!(%error, "failed to query the name service over TCP"),
        }
    }

    fn read_tcp(&mut self, poll: &mut Poll, now: u64, ready: PollEvent) -> bool {
        let Some(mut exchange) = self.tcp_exchange.take_if(|exchange| exchange.owns(ready)) else {
            return false;
        };
        match exchange.ready(poll, ready) {
            Ok(None) => {
                self.tcp_exchange = Some(exchange);
                false
            }
            Ok(Some(message)) => {
                add(&self.counters.dns_received_bytes, message.len());
                self.handle_answer(now, exchange.started_at(), &message).1
            }
            Err(why) => {
                debug!(?why, "TCP connection to the name service closed without an answer");
                false
            }
        }
    }

    /// Handles an answer to the query sent at `queried_at`. Returns whether the message could be parsed whole, and
    /// whether a newer list was accepted or the list in use has changed.
    fn handle_answer(&mut self, now: u64, queried_at: u64, message: &[u8]) -> (bool, bool) {
        let body = message.get(2..).unwrap_or_default();
        if !body.is_empty() && body == self.confirmed_answer {
            count(&self.counters.dns_answers);
            count(&self.counters.lists_stale);
            let changed = self.tracker.confirm_repeated(queried_at);
            self.record_confirmation(now, queried_at, message.len());
            return (true, changed);
        }
        match dns::parse_answer(message, &self.service_name) {
            Err(invalid) => {
                if let Verdict::Refuse { doubt, first } = self.checker.unreadable(invalid.0) {
                    self.log_refusal(&doubt, first, message.len());
                }
                let partial = dns::parse_partial(message, &self.service_name);
                (false, self.tracker.apply_partial(now, &partial.draining, &partial.starts))
            }
            // Events are numbered from 1: serial 0 is a service that has no list yet.
            Ok(answer) if answer.serial == 0 => {
                count(&self.counters.dns_answers);
                count(&self.counters.lists_stale);
                self.schedule.answer_received(now, queried_at, message.len(), false);
                (true, false)
            }
            Ok(answer) => {
                count(&self.counters.dns_answers);
                let updated = self.handle_list(now, queried_at, answer, message);
                let unconfirmed = self.tracker.has_unconfirmed();
                self.schedule.answer_received(now, queried_at, message.len(), unconfirmed);
                (true, updated)
            }
        }
    }

    fn handle_list(&mut self, now: u64, queried_at: u64, answer: dns::Answer, message: &[u8]) -> bool {
        let executors_in_use = self.tracker.in_use().len();
        let (serial, unchecked) = (u64::from(answer.serial), answer.executors.clone());
        let (executors, merged) = match self.checker.validate(now, answer.executors, executors_in_use) {
            Verdict::Accept { executors, merged } => (executors, merged),
            Verdict::Refuse { doubt, first } => {
                self.log_refusal(&doubt, first, message.len());
                return self.tracker.apply_refused(now, &unchecked, queried_at >= self.confirmed_at);
            }
        };
        add(&self.counters.lists_merged, merged);
        let before = self.tracker.serial();
        let (listed, list) =
            (executors.len(), ReceivedList { serial, executors, queried_at, received_at: now });
        let (decision, changed) = self.tracker.apply(list);
        let asked_ms = now.saturating_sub(queried_at) / 1_000;
        if matches!(decision, Decision::Newer | Decision::Renumbered) {
            self.previous_confirmed_at = self.confirmed_at;
        }
        match decision {
            Decision::Newer | Decision::Renumbered | Decision::Confirms => {
                self.confirmed_answer.clear();
                self.confirmed_answer.extend(message.get(2..).unwrap_or_default());
                self.confirmed_at = self.confirmed_at.max(queried_at);
            }
            Decision::Contradicts | Decision::Older => {}
        }
        match decision {
            Decision::Newer => {
                let bytes = message.len();
                info!(serial, before, asked_ms, bytes, listed, "using a list with a higher number");
            }
            Decision::Renumbered => {
                count(&self.counters.lists_renumbered);
                warn!(
                    serial,
                    before,
                    asked_ms,
                    listed,
                    "the name service keeps sending lower numbers; using its list under the new numbering"
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
                    "received a list whose number is not higher; applying only its drains"
                );
            }
        }
        changed || matches!(decision, Decision::Newer | Decision::Renumbered)
    }

    fn record_confirmation(&mut self, now: u64, queried_at: u64, bytes: usize) {
        self.confirmed_at = self.confirmed_at.max(queried_at);
        self.schedule.answer_received(now, queried_at, bytes, self.tracker.has_unconfirmed());
    }

    fn log_refusal(&self, doubt: &Doubt, first: bool, bytes: usize) {
        count(&self.counters.lists_refused);
        if first {
            warn!(serial = self.serial(), bytes, %doubt, "refused a list of executors; the last valid list stays in use");
        }
    }

    /// Updates the age counter, and logs when the list in use becomes stale and when it is confirmed again.
    fn update_staleness(&mut self, now: u64) {
        let age = self.age(now);
        self.counters.list_age_ms.set(age / 1_000);
        let stale = age >= STALE_AFTER_US;
        if stale != self.logged_stale {
            self.logged_stale = stale;
            let (serial, age_ms) = (self.serial(), age / 1_000);
            if stale {
                warn!(serial, age_ms, "the list in use is stale: no answer has confirmed it recently");
            } else {
                info!(serial, age_ms, "the list in use is confirmed again");
            }
        }
    }

    fn log_change(&self) {
        let readiness_by_id = |list: &[Executor]| -> HashMap<_, _> {
            list.iter().map(|e| (e.id.clone(), e.state == ExecutorState::Ready)).collect()
        };
        let (old, new) = (readiness_by_id(self.tracker.previous()), readiness_by_id(self.executors()));
        let is_ready = |list: &HashMap<_, bool>, id| list.get(id) == Some(&true);
        let ended = old.keys().filter(|id| is_ready(&old, *id) && !is_ready(&new, *id));
        let begun = new.keys().filter(|id| is_ready(&new, *id) && !is_ready(&old, *id));
        let (ended, begun): (Vec<_>, Vec<_>) =
            (ended.take(MAX_LOGGED_IDS).collect(), begun.take(MAX_LOGGED_IDS).collect());
        info!(serial = self.serial(), ?ended, ?begun, "the set of usable workers has changed");
    }
}
