//! The listener for stations and their connections. It reads and writes; [`Sessions`] decides.

use super::policy::Policy;
use super::sessions::{Act, Rules, Sessions};
use super::verifier::Verifier;
use crate::core::{FinalAnswer, Ticket};
use crate::counters::Counters;
use crate::front::{Intake, Invalid};
use crate::keys::Faults;
use crate::net::{Accepted, Closed, Connection, Listener, Malformed, Poll, PollEvent, ProtocolHandler, Ring};
use ochreward_mqtt::packet::Packet;
use ochreward_mqtt::{Version, Violation, decode};
use slab::Slab;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// Bytes that may wait for a station; one that takes less is dropped, and its session waits for it.
const OUT: usize = 512 * 1024;
/// The place of the verifier among the tokens, behind the listener's; connections come after it.
const VERIFIER: usize = 1;
const FIRST: usize = 2;
/// Connections accepted in a turn, and how long accepting rests without room, in microseconds.
const ACCEPTS: usize = 64;
const PAUSE: u64 = 50_000;
/// How long a connection that was told to go may take to do so, in microseconds.
const LINGER: u64 = 1_000_000;

/// How often silence, wills and the ends of sessions are looked for: not every turn, since all are looked through.
const SWEEP: u64 = 50_000;

/// What the operator's file says of stations.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Where stations connect.
    pub listen: SocketAddr,
    /// The users' file.
    pub users: PathBuf,
    /// Connections at a time.
    pub connections: usize,
    /// What bounds the sessions.
    pub rules: Rules,
}

struct Speaker {
    most: usize,
    version: Version,
    violation: Option<Violation>,
    ending: bool,
}

impl ProtocolHandler for Speaker {
    type Out = Vec<Packet>;

    fn on_received(&mut self, input: &mut Ring, out: &mut Vec<Packet>) -> Result<(), Malformed> {
        if self.ending {
            input.consume(input.len());
            return Ok(());
        }
        let bytes = input.contiguous();
        let mut done = 0;
        loop {
            match decode(&bytes[done..], self.version, self.most) {
                Ok(Some((packet, size))) => {
                    if let Packet::Connect(connect) = &packet {
                        self.version = connect.version;
                    }
                    out.push(packet);
                    done += size;
                }
                Ok(None) => break,
                Err(violation) => {
                    // Told once all that came before it is done.
                    self.violation = Some(violation);
                    self.ending = true;
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
    link: Connection<Speaker>,
    /// When it was told to go.
    ended: Option<u64>,
}

/// The front.
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
    /// What stations asked, in order.
    pub intake: Vec<Intake>,
}

/// Why a users' file is not used.
#[derive(Debug, thiserror::Error)]
pub enum UsersError {
    /// It can't be read.
    #[error("{path}, {why}: name a file that can be read", path = .0.display(), why = .1)]
    Unreadable(PathBuf, io::Error),
    /// It has faults.
    #[error("{path}, {why}: correct the keys that are named", path = .0.display(), why = .1)]
    Faulty(PathBuf, Faults),
}

/// Reads a users' file.
pub fn users(path: &PathBuf) -> Result<Policy, UsersError> {
    let text = std::fs::read_to_string(path).map_err(|e| UsersError::Unreadable(path.clone(), e))?;
    Policy::read(&text).map_err(|faults| UsersError::Faulty(path.clone(), faults))
}

impl Front {
    /// Listens for stations.
    pub fn new(poll: &mut Poll, id: u8, options: Options, counters: Rc<Counters>) -> io::Result<Front> {
        let policy = users(&options.users).map_err(io::Error::other)?;
        let listener = Listener::bind(poll, id, options.listen)?;
        let verifier = Verifier::start(poll, id, VERIFIER)?;
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

    /// Where it listens.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref().and_then(|l| l.address().ok())
    }

    /// Reads the users' file again; one with a fault changes nothing.
    pub fn reload(&mut self, poll: &mut Poll, now: u64) -> Result<(), UsersError> {
        let policy = users(&self.options.users)?;
        self.sessions.replace(now, policy);
        self.carry(poll, now);
        Ok(())
    }

    /// Handles what happened to a descriptor.
    pub fn ready(&mut self, poll: &mut Poll, now: u64, ready: PollEvent) {
        if self.listener.as_ref().is_some_and(|l| l.owns_token(ready.token)) {
            return self.accept(poll, now);
        }
        if self.verifier.is(ready.token) {
            for (conn, serial, yes) in self.verifier.take() {
                let same = |s: &Station| s.link.io.token().serial == serial;
                if self.stations.get(conn).is_some_and(same) {
                    self.sessions.verified(now, conn, yes);
                }
            }
            return self.carry(poll, now);
        }
        let conn = (ready.token.slot as usize).wrapping_sub(FIRST);
        let Some(station) = self.stations.get_mut(conn).filter(|s| s.link.io.token() == ready.token) else {
            return;
        };
        let mut packets = std::mem::take(&mut self.packets);
        let result = station.link.handle_event(poll, ready, &mut packets);
        let (violation, ended) = (station.link.handler.violation.take(), station.link.io.read_closed);
        for packet in packets.drain(..) {
            self.sessions.received(now, conn, packet);
        }
        self.packets = packets;
        if let Some(violation) = violation {
            self.sessions.violated(now, conn, &violation);
        }
        self.carry(poll, now);
        let too_large = matches!(result, Err(Closed::Malformed(_)));
        if too_large {
            let what = "a packet larger than was allowed";
            let reason = ochreward_mqtt::ReasonCode::PacketTooLarge;
            self.sessions.violated(
                now,
                conn,
                &Violation { reason, statement: "MQTT-3.1.2-24", description: what },
            );
            self.carry(poll, now);
        }
        if result.is_err() || ended {
            self.close(now, conn);
        }
    }

    fn accept(&mut self, poll: &mut Poll, now: u64) {
        for _ in 0..ACCEPTS {
            let Some(listener) = &mut self.listener else { return };
            if self.stations.len() >= self.options.connections {
                self.paused_until = Some(now + PAUSE);
                return listener.set_accepting(poll, false);
            }
            let fd = match listener.accept() {
                Accepted::Connection(fd) => fd,
                Accepted::None => return,
                Accepted::OutOfDescriptors => {
                    self.paused_until = Some(now + PAUSE);
                    return listener.set_accepting(poll, false);
                }
            };
            let entry = self.stations.vacant_entry();
            let conn = entry.key();
            let token = poll.token(self.id, FIRST + conn);
            let most = self.options.rules.maximum_packet as usize;
            let speaker = Speaker { most, version: Version::V5, violation: None, ending: false };
            if let Ok(link) = Connection::accepted(poll, fd, token, speaker, (most + 5, OUT)) {
                entry.insert(Station { link, ended: None });
                self.sessions.accepted(now, conn);
            }
        }
    }

    fn close(&mut self, now: u64, conn: usize) {
        if self.stations.try_remove(conn).is_some() {
            self.sessions.lost(now, conn);
        }
    }

    /// Does what was decided.
    fn carry(&mut self, poll: &mut Poll, now: u64) {
        while !self.sessions.acts.is_empty() {
            for act in std::mem::take(&mut self.sessions.acts) {
                self.act(poll, now, act);
            }
        }
        let c = &self.counters;
        let counts = self.sessions.counts;
        let cells = [
            (&c.station_triggers, counts.triggers),
            (&c.station_duplicates, counts.duplicates),
            (&c.station_limited, counts.limited),
            (&c.station_answers, counts.answers),
            (&c.station_answers_lost, counts.lost),
            (&c.station_violations, counts.violations),
            (&c.station_refused, counts.refused),
            (&c.station_sessions, self.sessions.len() as u64),
        ];
        cells.into_iter().for_each(|(cell, count)| cell.set(count));
    }

    fn act(&mut self, poll: &mut Poll, now: u64, act: Act) {
        match act {
            Act::Send(conn, packet, version) => {
                let Some(station) = self.stations.get_mut(conn).filter(|s| s.ended.is_none()) else { return };
                // What can't be written, or finds no room since the station does not read, ends the connection; the
                // session sends it again on the next one.
                let sent = packet.encode(version, OUT).is_ok_and(|bytes| station.link.io.queue(&bytes));
                if !sent || station.link.flush(poll).is_err() {
                    self.close(now, conn);
                }
            }
            Act::Close(conn) => {
                let Some(station) = self.stations.get_mut(conn) else { return };
                // Only our side ends: a close with something unread could cost the station the last packet.
                let _ = station.link.flush(poll);
                station.link.io.shutdown_write();
                station.link.handler.ending = true;
                station.ended.get_or_insert(now);
            }
            Act::Verify(conn, password, hash) => {
                let Some(station) = self.stations.get(conn) else { return };
                if !self.verifier.ask(conn, station.link.io.token().serial, password, hash) {
                    self.sessions.verified(now, conn, false);
                }
            }
            Act::Serve { number, sketch, body, again } => {
                let ticket = Ticket { front: self.id, conn: 0, seq: number };
                self.intake.push(Intake::Submit { ticket, sketch, body, age_us: 0, again });
            }
        }
    }

    /// Takes the final answer of a request.
    pub fn answer(&mut self, poll: &mut Poll, now: u64, ticket: Ticket, answer: FinalAnswer) {
        self.sessions.answered(ticket.seq, answer);
        self.carry(poll, now);
    }

    /// Says that a request can't be used.
    pub fn invalid(&mut self, poll: &mut Poll, now: u64, ticket: Ticket, invalid: &Invalid) {
        self.sessions.invalid(ticket.seq, invalid);
        self.carry(poll, now);
    }

    /// Looks after silent connections, sessions and wills.
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
        self.next_sweep = now + SWEEP;
        self.sessions.advance(now);
        self.carry(poll, now);
        let over = |s: &Station| s.ended.is_some_and(|at| now >= at + LINGER);
        let over: Vec<usize> = self.stations.iter().filter(|(_, s)| over(s)).map(|(conn, _)| conn).collect();
        over.into_iter().for_each(|conn| self.close(now, conn));
    }

    /// When `advance` next has something to do.
    pub fn due(&self) -> u64 {
        let idle = self.stations.is_empty() && self.sessions.is_empty();
        let sweep = if idle { u64::MAX } else { self.next_sweep };
        sweep.min(self.paused_until.unwrap_or(u64::MAX))
    }

    /// Takes nothing more; what was taken is still answered.
    pub fn stop(&mut self, poll: &Poll) {
        if let Some(listener) = self.listener.take() {
            listener.close(poll);
        }
        self.sessions.stop();
    }

    /// Whether nothing is owed to a station.
    pub fn settled(&self) -> bool {
        self.sessions.owed() == 0 && self.stations.iter().all(|(_, s)| s.link.io.unsent_bytes() == 0)
    }

    /// Tells every station that the server goes.
    pub fn leave(&mut self, poll: &mut Poll, now: u64) {
        self.sessions.leave(now);
        self.carry(poll, now);
    }

    /// Connections of stations.
    pub fn connections(&self) -> usize {
        self.stations.len()
    }
}
