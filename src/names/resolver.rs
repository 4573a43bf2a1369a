//! Asks the name service for the list, over and over.

use super::check::{Checker, Verdict};
use super::dns::{self, MOST_ANSWER};
use super::{Executor, State};
use crate::counters::{Counters, add, count};
use crate::net::{Interest, Poll};
use rustix::net::{AddressFamily, RecvFlags, SendFlags, SocketFlags, SocketType};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use tracing::{info, warn};

/// A query goes out this often, whether the last was answered or not: so a lost one is replaced.
const EVERY: u64 = 100_000;
/// A socket on which nothing has come for this long, while it was asked all the time, gives way to a new one. Danger: a
/// path may fall silent without an error, and what is told on it counts as told 1.5 s after it happened.
const SILENT: u64 = 600_000;
/// Queries whose answers are still taken.
const OPEN: usize = 20;

/// Asks the name service.
pub struct Resolver {
    fd: OwnedFd,
    owner: u8,
    server: SocketAddr,
    service: String,
    next_id: u16,
    /// Ids of queries whose answers are awaited, and when each was sent.
    open: VecDeque<(u16, u64)>,
    at: u64,
    /// Since when nothing has come on the socket.
    silent: Option<u64>,
    serial: u64,
    checker: Checker,
    counters: Rc<Counters>,
}

impl Resolver {
    /// A resolver that holds the list up to the event `serial`.
    pub fn new(
        poll: &mut Poll,
        owner: u8,
        server: SocketAddr,
        service: &str,
        (serial, seed): (u64, u64),
        counters: Rc<Counters>,
    ) -> io::Result<Resolver> {
        let fd = socket(poll, owner, server)?;
        let service = service.to_string();
        let (next_id, open, at, silent) = (seed as u16, VecDeque::new(), 0, None);
        let checker = Checker::default();
        info!(serial, port = local_port(&fd), "the list of the start is in use");
        Ok(Resolver { fd, owner, server, service, next_id, open, at, silent, serial, checker, counters })
    }

    /// Asks at another address from now on, and at once. The numbers carry on: a list that is older than what
    /// the last server told is still none.
    pub fn move_to(&mut self, poll: &mut Poll, server: SocketAddr) -> io::Result<()> {
        if server != self.server {
            // Danger: the old socket goes only once the new one stands; without either no list would come.
            self.fd = socket(poll, self.owner, server)?;
            self.server = server;
            self.open.clear();
            self.silent = None;
        }
        self.at = 0;
        Ok(())
    }

    /// Takes a list that came by another way; false if what is held is as new.
    pub fn told(&mut self, serial: u64) -> bool {
        let news = serial > self.serial;
        self.serial = self.serial.max(serial);
        news
    }

    /// The number of the last event in the list that it holds.
    pub fn serial(&self) -> u64 {
        self.serial
    }

    /// When it next has something to do.
    pub fn due(&self) -> u64 {
        self.at
    }

    /// Sends the next query when it is time.
    pub fn advance(&mut self, poll: &mut Poll, now: u64) {
        if now < self.at {
            return;
        }
        self.at = now + EVERY;
        if now >= self.silent.get_or_insert(now).saturating_add(SILENT) {
            self.silent = Some(now);
            // Where no descriptor is left the old one stays: that it is silent does not tell that it is lost.
            if let Ok(fd) = socket(poll, self.owner, self.server) {
                info!(
                    serial = self.serial,
                    port = local_port(&fd),
                    "nothing came for a while: a new socket to the name service"
                );
                self.fd = fd;
                count(&self.counters.dns_reopened);
            }
        }
        // Ids that can't be foreseen from one answer; a full period before one comes again.
        self.next_id = self.next_id.wrapping_mul(25_173).wrapping_add(13_849);
        let query = dns::query(self.next_id, &self.service);
        if rustix::net::send(&self.fd, &query, SendFlags::NOSIGNAL).is_ok() {
            count(&self.counters.dns_queries);
            add(&self.counters.dns_sent_bytes, query.len());
            self.open.push_back((self.next_id, now));
            if self.open.len() > OPEN {
                self.open.pop_front();
            }
        }
    }

    /// Reads what has come; returns the newest list, if it is news and can be believed. `held` is how many
    /// executors the list in use names. A list refused leaves the serial where it was, so that the next answer
    /// is judged anew.
    pub fn ready(&mut self, now: u64, held: usize) -> Option<Vec<Executor>> {
        let mut news = None;
        let mut buffer = [0; MOST_ANSWER];
        loop {
            let size = match rustix::net::recv(&self.fd, &mut buffer, RecvFlags::empty()) {
                Ok((_, size)) => size,
                Err(rustix::io::Errno::INTR | rustix::io::Errno::CONNREFUSED) => continue,
                Err(_) => return news,
            };
            self.silent = None;
            add(&self.counters.dns_received_bytes, size);
            // Danger: a forged, late or doubled packet. Only an id that is out counts, and only once.
            let message = buffer.get(..size).unwrap_or_default();
            let Some(place) = dns::id(message).and_then(|id| self.open.iter().position(|(o, _)| *o == id))
            else {
                count(&self.counters.dns_dropped);
                continue;
            };
            // An unreadable packet leaves its id out: the real answer may still come.
            let verdict = match dns::read(message, &self.service) {
                Err(bad) => self.checker.unreadable(bad.0),
                // Packets overtake each other: an older list must not undo a newer one.
                Ok(answer) if u64::from(answer.serial) <= self.serial => {
                    let asked_ms = self.open.remove(place).map_or(0, |(_, sent)| (now - sent) / 1_000);
                    count(&self.counters.dns_answers);
                    count(&self.counters.lists_stale);
                    if u64::from(answer.serial) < self.serial {
                        count(&self.counters.lists_lower);
                        let (serial, held) = (answer.serial, self.serial);
                        info!(
                            serial,
                            held, asked_ms, "a list with a lower number than the one in use is dropped"
                        );
                    }
                    continue;
                }
                Ok(answer) => {
                    let asked_ms = self.open.remove(place).map_or(0, |(_, sent)| (now - sent) / 1_000);
                    count(&self.counters.dns_answers);
                    let draining = answer.executors.iter().filter(|e| e.state == State::Draining).count();
                    let (serial, before, listed) = (answer.serial, self.serial, answer.executors.len());
                    info!(
                        serial,
                        held,
                        asked_ms,
                        bytes = size,
                        listed,
                        draining,
                        "a list with a higher number came"
                    );
                    let held = news.as_ref().map_or(held, Vec::len);
                    let verdict = self.checker.judge(now, answer.executors, held);
                    if matches!(verdict, Verdict::Take { .. }) {
                        self.serial = u64::from(answer.serial);
                    }
                    verdict
                }
            };
            match verdict {
                Verdict::Take { executors, merged } => {
                    self.counters.lists_merged.set(self.counters.lists_merged.get() + merged as u64);
                    news = Some(executors);
                }
                Verdict::Refuse { doubt, first } => {
                    count(&self.counters.lists_refused);
                    if first {
                        warn!(serial = self.serial, bytes = size, %doubt, "the last good list of executors stays in use");
                    }
                }
            }
        }
    }
}

/// The port that answers come to; 0 if the system does not tell.
fn local_port(fd: &OwnedFd) -> u16 {
    let address = rustix::net::getsockname(fd).ok().and_then(|a| SocketAddr::try_from(a).ok());
    address.map_or(0, |a| a.port())
}

/// A socket that speaks with this server alone.
fn socket(poll: &mut Poll, owner: u8, server: SocketAddr) -> io::Result<OwnedFd> {
    let family = if server.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let fd = rustix::net::socket_with(family, SocketType::DGRAM, flags, None)?;
    rustix::net::connect(&fd, &server)?;
    let token = poll.token(owner, 0);
    poll.add(&fd, token, Interest { read: true, write: false })?;
    Ok(fd)
}
