//! The listener for stations and their connections. It decodes packets, passes them to [`Sessions`] and executes the
//! actions that [`Sessions`] returns. Connections and unsent bytes are limited.

use super::policy::Policy;
use super::sessions::{Action, Rules, Sessions};
use super::verifier::Verifier;
use crate::core::{FinalAnswer, Ticket};
use crate::counters::Counters;
use crate::front::{Intake, Invalid, Submission};
use crate::keys::Faults;
use crate::net::{Accepted, Closed, Connection, Listener, Malformed, Poll, PollEvent, ProtocolHandler, Ring};
use ochreward_mqtt::packet::Packet;
use ochreward_mqtt::{Version, Violation, decode};
use slab::Slab;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// Unsent bytes that may wait for a station; beyond, its connection is closed and its session is kept.
const MAX_UNSENT_BYTES: usize = 512 * 1024;
/// The token slot of the verifier; the listener's is 0.
const VERIFIER_SLOT: usize = 1;
/// The token slot of the first connection.
const FIRST_CONN_SLOT: usize = 2;
/// Connections accepted per turn of the event loop.
const MAX_ACCEPTS_PER_TURN: usize = 64;
/// How long accepting pauses when connections or descriptors have run out.
const ACCEPT_PAUSE_US: u64 = 50_000;
/// How long a station may take to close a connection whose sending side the front has shut down.
const LINGER_US: u64 = 1_000_000;

/// How often keep-alives, wills and session expiry are checked: not every turn, since each check scans all sessions.
const SWEEP_INTERVAL_US: u64 = 50_000;

/// The settings for stations from the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The address that stations connect to.
    pub listen: SocketAddr,
    /// The users file.
    pub users: PathBuf,
    /// Concurrent connections.
    pub connections: usize,
    /// The limits of the sessions.
    pub rules: Rules,
}

/// Decodes a station's packets.
struct Decoder {
    max_packet_bytes: usize,
    version: Version,
    /// A protocol violation that has not been handled yet.
    violation: Option<Violation>,
    /// Whether further input is discarded, since the connection is ending.
    discarding: bool,
}

impl ProtocolHandler for Decoder {
    type Out = Vec<Packet>;

    fn on_received(&mut self, input: &mut Ring, out: &mut Vec<Packet>) -> Result<(), Malformed> {
        if self.discarding {
            input.consume(input.len());
            return Ok(());
        }
        let bytes = input.contiguous();
        let mut done = 0;
        loop {
            match decode(&bytes[done..], self.version, self.max_packet_bytes) {
                Ok(Some((packet, size))) => {
                    if let Packet::Connect(connect) = &packet {
                        self.version = connect.version;
                    }
                    out.push(packet);
                    done += size;
                }
                Ok(None) => break,
                Err(violation) => {
                    // Handled after the packets before it.
                    self.violation = Some(violation);
                    self.discarding = true;
                    done = bytes.len();
                    break;
                }
            }
        }
        input.consume(done);
        Ok(())
    }
}

struct Station {
    link: Connection<Decoder>,
    /// When the front began to close the connection.
    closing_since: Option<u64>,
}

/// The front for stations.
pub struct Front {
    id: u8,
    options: Options,
    listener: Option<Listener>,
    stations: Slab<Station>,
    sessions: Sessions,
    verifier: Verifier,
    paused_until: Option<u64>,
    next_sweep: u64,
    packets: Vec<Packet>,
    counters: Rc<Counters>,
    /// Requests from stations, in order of arrival.
    pub intake: Vec<Intake>,
}

/// The reason why a users file is rejected.
#[derive(Debug, thiserror::Error)]
pub enum UsersError {
    /// The file can't be read.
    #[error("{path}, {why}: name a file that can be read", path = .0.display(), why = .1)]
    Unreadable(PathBuf, io::Error),
    /// The file has faults.
    #[error("{path}, {why}: correct the keys that are named", path = .0.display(), why = .1)]
    Faulty(PathBuf, Faults),
}

/// Reads and parses a users file.
pub fn users(path: &PathBuf) -> Result<Policy, UsersError> {
    let text = std::fs::read_to_string(path).map_err(|e| UsersError::Unreadable(path.clone(), e))?;
    Policy::read(&text).map_err(|faults| UsersError::Faulty(path.clone(), faults))
}

impl Front {
    /// Reads the users file, binds the listener and starts the password verifier.
    pub fn new(poll: &mut Poll, id: u8, options: Options, counters: Rc<Counters>) -> io::Result<Front> {
        let policy = users(&options.users).map_err(io::Error::other)?;
        let listener = Listener::bind(poll, id, options.listen)?;
        let verifier = Verifier::start(poll, id, VERIFIER_SLOT)?;
        Ok(Front {
            id,
            sessions: Sessions::new(options.rules.clone(), policy),
            options,
            listener: Some(listener),
            stations: Slab::new(),
            verifier,
            paused_until: None,
            next_sweep: 0,
            packets: Vec::new(),
            counters,
            intake: Vec::new(),
        })
    }

    /// Returns the address that the front listens on.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref().and_then(|l| l.address().ok())
    }

    /// Reads the users file again; a file with a fault changes nothing.
    pub fn reload(&mut self, poll: &mut Poll, now: u64) -> Result<(), UsersError> {
        let policy = users(&self.options.users)?;
        self.sessions.replace_policy(now, policy);
        self.run_actions(poll, now);
        Ok(())
    }

    /// Handles readiness of one of this front's descriptors.
    pub fn ready(&mut self, poll: &mut Poll, now: u64, unix_ms: u64, ready: PollEvent) {
        if self.listener.as_ref().is_some_and(|l| l.owns_token(ready.token)) {
            return self.accept(poll, now);
        }
        if self.verifier.owns(ready.token) {
            for (conn, serial, matches) in self.verifier.take_results() {
                let same = |s: &Station| s.link.io.token().serial == serial;
                if self.stations.get(conn).is_some_and(same) {
                    self.sessions.password_verified(now, unix_ms, conn, matches);
                }
            }
            return self.run_actions(poll, now);
        }
        let conn = (ready.token.slot as usize).wrapping_sub(FIRST_CONN_SLOT);
        let Some(station) = self.stations.get_mut(conn).filter(|s| s.link.io.token() == ready.token) else {
            return;
        };
        let mut packets = std::mem::take(&mut self.packets);
        let result = station.link.handle_event(poll, ready, &mut packets);
        let (violation, ended) = (station.link.handler.violation.take(), station.link.io.read_closed);
        for packet in packets.drain(..) {
            self.sessions.packet_received(now, unix_ms, conn, packet);
        }
        self.packets = packets;
        if let Some(violation) = violation {
            self.sessions.protocol_violated(now, conn, &violation);
        }
        self.run_actions(poll, now);
        let too_large = matches!(result, Err(Closed::Malformed(_)));
        if too_large {
            let what = "a packet larger than was allowed";
            let reason = ochreward_mqtt::ReasonCode::PacketTooLarge;
            self.sessions.protocol_violated(
                now,
                conn,
                &Violation { reason, statement: "MQTT-3.1.2-24", description: what },
            );
            self.run_actions(poll, now);
        }
        if result.is_err() || ended {
            self.close(now, conn);
        }
    }

    fn accept(&mut self, poll: &mut Poll, now: u64) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Some(listener) = &mut self.listener else { return };
            if self.stations.len() >= self.options.connections {
                self.paused_until = Some(now + ACCEPT_PAUSE_US);
                return listener.set_accepting(poll, false);
            }
            let fd = match listener.accept() {
                Accepted::Connection(fd) => fd,
                Accepted::None => return,
                Accepted::OutOfDescriptors => {
                    self.paused_until = Some(now + ACCEPT_PAUSE_US);
                    return listener.set_accepting(poll, false);
                }
            };
            let entry = self.stations.vacant_entry();
            let conn = entry.key();
            let token = poll.token(self.id, FIRST_CONN_SLOT + conn);
            let max_packet_bytes = self.options.rules.maximum_packet as usize;
            let decoder =
                Decoder { max_packet_bytes, version: Version::V5, violation: None, discarding: false };
            if let Ok(link) =
                Connection::accepted(poll, fd, token, decoder, (max_packet_bytes + 5, MAX_UNSENT_BYTES))
            {
                entry.insert(Station { link, closing_since: None });
                self.sessions.connection_accepted(now, conn);
            }
        }
    }

    fn close(&mut self, now: u64, conn: usize) {
        if self.stations.try_remove(conn).is_some() {
            self.sessions.connection_lost(now, conn);
        }
    }

    /// Executes the actions of the sessions, and publishes their counts.
    fn run_actions(&mut self, poll: &mut Poll, now: u64) {
        while !self.sessions.actions.is_empty() {
            for action in std::mem::take(&mut self.sessions.actions) {
                self.run_action(poll, now, action);
            }
        }
        let counters = &self.counters;
        let counts = self.sessions.counts;
        let gauges = [
            (&counters.station_triggers, counts.triggers),
            (&counters.station_duplicates, counts.duplicates),
            (&counters.station_repeats, counts.repeats),
            (&counters.station_limited, counts.limited),
            (&counters.station_answers, counts.answers),
            (&counters.station_answers_lost, counts.answers_lost),
            (&counters.station_violations, counts.violations),
            (&counters.station_refused, counts.refused),
            (&counters.station_sessions, self.sessions.len() as u64),
        ];
        gauges.into_iter().for_each(|(gauge, count)| gauge.set(count));
    }

    fn run_action(&mut self, poll: &mut Poll, now: u64, action: Action) {
        match action {
            Action::Send(conn, packet, version) => {
                let Some(station) = self.stations.get_mut(conn).filter(|s| s.closing_since.is_none()) else {
                    return;
                };
                // If the packet can't be encoded, or does not fit because the station does not read, the connection
                // ends; the session resends it on the next one.
                let sent =
                    packet.encode(version, MAX_UNSENT_BYTES).is_ok_and(|bytes| station.link.io.queue(&bytes));
                if !sent || station.link.flush(poll).is_err() {
                    self.close(now, conn);
                }
            }
            Action::Close(conn) => {
                let Some(station) = self.stations.get_mut(conn) else { return };
                // Only the sending side is shut down: closing with unread input could lose the last packet to the
                // station.
                let _ = station.link.flush(poll);
                station.link.io.shutdown_write();
                station.link.handler.discarding = true;
                station.closing_since.get_or_insert(now);
            }
            Action::Verify(conn, password, hash) => {
                let Some(station) = self.stations.get(conn) else { return };
                if !self.verifier.submit(conn, station.link.io.token().serial, password, hash) {
                    self.sessions.password_unverified(conn);
                }
            }
            Action::Serve { number, sketch, body, delivery, refuse_after } => {
                let ticket = Ticket { front: self.id, conn: 0, seq: number };
                let submission = Submission { ticket, sketch, body, delivery, refuse_after };
                self.intake.push(Intake::Submit(Box::new(submission)));
            }
            Action::Report(report) => report.log(),
        }
    }

    /// Delivers the final answer to a request.
    pub fn answer(&mut self, poll: &mut Poll, now: u64, ticket: Ticket, answer: FinalAnswer) {
        self.sessions.answer(ticket.seq, answer);
        self.run_actions(poll, now);
    }

    /// Rejects a request that has an invalid field.
    pub fn invalid(&mut self, poll: &mut Poll, now: u64, ticket: Ticket, invalid: &Invalid) {
        self.sessions.reject_invalid(ticket.seq, invalid);
        self.run_actions(poll, now);
    }

    /// Resumes accepting after a pause, and checks keep-alives, session expiry and wills.
    pub fn advance(&mut self, poll: &mut Poll, now: u64) {
        if self.paused_until.is_some_and(|until| now >= until) {
            self.paused_until = None;
            if let Some(listener) = &mut self.listener {
                listener.set_accepting(poll, true);
            }
            self.accept(poll, now);
        }
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL_US;
        self.sessions.advance(now);
        self.run_actions(poll, now);
        let over = |s: &Station| s.closing_since.is_some_and(|at| now >= at + LINGER_US);
        let over: Vec<usize> = self.stations.iter().filter(|(_, s)| over(s)).map(|(conn, _)| conn).collect();
        over.into_iter().for_each(|conn| self.close(now, conn));
    }

    /// Returns when `advance` next has work to do.
    pub fn due(&self) -> u64 {
        let idle = self.stations.is_empty() && self.sessions.is_empty();
        let sweep = if idle { u64::MAX } else { self.next_sweep };
        sweep.min(self.paused_until.unwrap_or(u64::MAX))
    }

    /// Stops taking requests; those already taken are still answered.
    pub fn stop(&mut self, poll: &Poll) {
        if let Some(listener) = self.listener.take() {
            listener.close(poll);
        }
        self.sessions.stop();
    }

    /// Returns whether every request has been answered and every answer sent.
    pub fn settled(&self) -> bool {
        self.sessions.open_requests() == 0 && self.stations.iter().all(|(_, s)| s.link.io.unsent_bytes() == 0)
    }

    /// Disconnects every station with reason Server shutting down.
    pub fn leave(&mut self, poll: &mut Poll, now: u64) {
        self.sessions.disconnect_all(now);
        self.run_actions(poll, now);
    }

    /// Returns the number of station connections.
    pub fn connections(&self) -> usize {
        self.stations.len()
    }
}
