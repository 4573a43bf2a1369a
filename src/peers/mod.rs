//! The other dispatchers of a group: the membership's packets over UDP, and what it says to the rest of the program.
//!
//! Off without `[peers]` in an operator's file, and on the platform, which allows no talk among instances. Nothing that
//! serves a request waits for anything here: a turn of the loop reads a bounded number of packets, and with all peers
//! gone the program does what it does without them.

mod exchange;
mod hints;
mod options;
mod report;
mod starting;

pub use options::{MOST_SEEDS, Options};
pub use report::{lines, report};

use crate::api::WorkerId;
use crate::counters::{Counters, add, count};
use crate::handover::HandoverState;
use crate::net::{Interest, Poll, PollEvent, Token};
use exchange::Exchange;
use hints::Hints;
use ochreward_membership::{Event, Membership, Own, Record, Serving, draw};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::SeedableRng;
use rustix::net::{AddressFamily, RecvFlags, SendFlags, SocketFlags, SocketType};
use starting::{Offer, Starting, Step};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::sync::Arc;
use tracing::{info, warn};

/// Packets read in one turn of the loop; what is left makes the next turn come at once.
const MOST_READ: usize = 64;
/// Tries to find a port that is free for both UDP and TCP, where the system chooses.
const PORTS: usize = 16;
/// Notes that the host has not taken, at the most.
const MOST_NOTES: usize = 256;
/// Words of peers that are kept while further ones are waited for.
const MOST_WORDS: usize = 4;

/// How a common budget is divided: among so many that serve, into so many parts, and which part is ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Division {
    /// Dispatchers that serve, this one among them, as far as is known.
    pub alive: usize,
    /// Parts of the budget; each member takes one at the most.
    pub parts: usize,
    /// Our part, from 0.
    pub place: usize,
}

/// What a dispatcher is at the time it begins to speak.
pub struct Start<'a> {
    /// Its name.
    pub name: &'a str,
    /// Instances that the platform's settings tell.
    pub expected: usize,
    /// The version of the configuration in use; 0 for none.
    pub configuration: u64,
    /// The Unix time, in milliseconds.
    pub unix_ms: u64,
    /// For random numbers.
    pub seed: u64,
}

/// The sockets and the machines.
pub struct Peers {
    fd: OwnedFd,
    token: Token,
    address: SocketAddr,
    machine: Membership,
    exchange: Exchange,
    hints: Hints,
    /// What other dispatchers said on channels that are not ours: the channel, who, and what.
    pub notes: Vec<(u8, Arc<str>, Vec<u8>)>,
    /// Executors that others have told of, to be looked at.
    looks: Vec<WorkerId>,
    /// The search for a list while the name service is silent, and the words that came.
    starting: Starting,
    words: BTreeMap<Arc<str>, HandoverState>,
    rng: Pcg32,
    division: Option<Division>,
    /// The machine has taken or done something since the division was last looked at.
    touched: bool,
    name: String,
    record: Record,
    counters: Rc<Counters>,
}

impl Peers {
    /// Binds the socket and begins to look for others.
    pub fn new(
        poll: &mut Poll,
        owner: u8,
        options: &Options,
        start: &Start,
        now: u64,
        counters: Rc<Counters>,
    ) -> io::Result<Peers> {
        let listen = options.address(start.name);
        let (mut tries, group) = (if listen.port() == 0 { PORTS } else { 1 }, &options.settings.group);
        let (fd, address, exchange) = loop {
            tries -= 1;
            let (fd, address) = datagrams(listen)?;
            match Exchange::new(poll, owner, address, group) {
                Ok(exchange) => break (fd, address, exchange),
                Err(_) if tries > 0 => {}
                Err(e) => return Err(e),
            }
        };
        let token = poll.token(owner, 0);
        poll.add(&fd, token, Interest { read: true, write: false })?;
        let record = Record {
            zone: options.zone.as_str().into(),
            program: env!("CARGO_PKG_VERSION").into(),
            configuration: start.configuration,
            serving: Serving::Serves,
        };
        let own = Own {
            name: start.name.into(),
            address: options.advertise(start.name).unwrap_or(address),
            instance: start.unix_ms << 16 | start.seed & 0xffff,
            incarnation: start.unix_ms,
            record: record.clone(),
        };
        let mut settings = options.settings.clone();
        settings.expected = start.expected;
        let machine = Membership::new(own, settings, options.seeds.clone(), start.seed, now);
        Ok(Peers {
            fd,
            token,
            address,
            machine,
            exchange,
            hints: Hints::new(now),
            notes: Vec::new(),
            looks: Vec::new(),
            starting: Starting::default(),
            words: BTreeMap::new(),
            rng: Pcg32::seed_from_u64(start.seed),
            division: None,
            touched: true,
            name: start.name.to_string(),
            record,
            counters,
        })
    }

    /// Where it is heard.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Handles what happened to a descriptor.
    pub fn ready(&mut self, poll: &mut Poll, now: u64, ready: PollEvent) {
        if ready.token == self.token {
            self.read(now);
        } else {
            self.exchange.ready(poll, now, ready);
        }
    }

    /// Reads packets, a bounded number of them.
    fn read(&mut self, now: u64) {
        // Danger: after a pause, what waited in the socket is older than it looks; the clock is looked at first.
        if self.machine.due() <= now {
            self.machine.advance(now);
        }
        let mut buffer = [0; ochreward_membership::wire::MOST_PACKET + 1];
        for _ in 0..MOST_READ {
            let (size, from) = match rustix::net::recvfrom(&self.fd, &mut buffer, RecvFlags::empty()) {
                Ok((_, size, from)) => (size, from),
                Err(rustix::io::Errno::INTR | rustix::io::Errno::CONNREFUSED) => continue,
                Err(_) => break,
            };
            let from = from.and_then(|f| SocketAddr::try_from(f).ok());
            if let (Some(from), Some(packet)) = (from, buffer.get(..size)) {
                count(&self.counters.peers_received);
                add(&self.counters.peers_received_bytes, size);
                self.machine.received(now, from, packet);
            }
        }
        self.hear(now);
        self.carry();
    }

    /// Does what is due.
    pub fn advance(&mut self, now: u64) {
        let due = self.machine.due() <= now;
        if due {
            self.machine.advance(now);
        }
        let told = self.hints.round(now);
        told.iter().for_each(|bytes| self.spread(now, hints::CHANNEL, hints::FANOUT, bytes));
        if due || told.is_some() {
            self.carry();
        }
        self.exchange.advance(now);
    }

    /// When `advance` next has something to do.
    pub fn due(&self) -> u64 {
        self.machine.due().min(self.hints.due()).min(self.exchange.due())
    }

    /// Takes what other parts of the program said elsewhere.
    fn hear(&mut self, now: u64) {
        let others = self.machine.alive().saturating_sub(1);
        while let Some(note) = self.machine.notes.pop_front() {
            if note.channel == hints::CHANNEL {
                let news = self.hints.heard(now, &note.bytes, others);
                self.counters.hints_heard.set(self.counters.hints_heard.get() + news.len() as u64);
                self.looks.extend(news);
            } else if self.notes.len() < MOST_NOTES {
                self.notes.push((note.channel, note.from, note.bytes));
            }
        }
    }

    /// Tells one other, if it is up.
    pub fn tell_one(&mut self, now: u64, to: &str, channel: u8, bytes: Vec<u8>) {
        self.note(now, to, channel, bytes);
        self.carry();
    }

    /// Hands the machine a note, and counts it with the part of the program that it is from.
    fn note(&mut self, now: u64, to: &str, channel: u8, bytes: Vec<u8>) {
        let size = bytes.len();
        if !self.machine.note(now, to, channel, bytes) {
            return;
        }
        let c = &self.counters;
        let (packets, sent_bytes) = match channel {
            hints::CHANNEL => (&c.hints_sent, &c.hints_sent_bytes),
            crate::overload::CHANNEL => (&c.overload_sent, &c.overload_sent_bytes),
            crate::zones::CHANNEL => (&c.zones_sent, &c.zones_sent_bytes),
            _ => return,
        };
        count(packets);
        add(sent_bytes, size);
    }

    /// The others that are up and have been heard.
    pub fn up(&self) -> Vec<Arc<str>> {
        self.machine.members().filter(|m| m.is_up() && m.heard.is_some()).map(|m| m.name.clone()).collect()
    }

    /// The others that are up and have been heard, with their zones.
    pub fn up_with_zones(&self) -> Vec<(Arc<str>, Arc<str>)> {
        let up = self.machine.members().filter(|m| m.is_up() && m.heard.is_some());
        up.map(|m| (m.name.clone(), m.record.zone.clone())).collect()
    }

    /// The zone that this one says it stands in.
    pub fn home(&self) -> Arc<str> {
        self.record.zone.clone()
    }

    /// Tells so many others, drawn anew each time.
    fn spread(&mut self, now: u64, channel: u8, most: usize, bytes: &[u8]) {
        let up = self.up();
        for name in draw(&mut self.rng, up, most) {
            self.note(now, &name, channel, bytes.to_vec());
        }
    }

    // ---- Hints of executors' deaths ----

    /// An executor's connection broke here, or none came up: the others are told.
    pub fn sighted(&mut self, now: u64, worker: &WorkerId) {
        if self.hints.seen(now, worker, self.machine.alive().saturating_sub(1)) {
            count(&self.counters.hints_told);
        }
    }

    /// An executor that is to be looked at now.
    pub fn look(&mut self, now: u64) -> Option<WorkerId> {
        if let Some(worker) = self.hints.look_again(now) {
            return Some(worker);
        }
        while let Some(worker) = self.looks.pop() {
            if self.hints.may_look(now, &worker) {
                return Some(worker);
            }
        }
        None
    }

    /// A look was refused.
    pub fn refused(&mut self, now: u64, worker: &WorkerId) {
        count(&self.counters.hints_refused);
        self.hints.refused(now, worker);
    }

    // ---- The list of executors from a peer ----

    /// Looks for a list among peers, the name service having been silent; a word that is to be taken.
    pub fn seek_list(&mut self, poll: &mut Poll, now: u64) -> Option<(Arc<str>, HandoverState)> {
        for (from, line) in std::mem::take(&mut self.exchange.outcomes) {
            let Some(word) = line.and_then(|l| HandoverState::read(&l)) else {
                self.starting.failed(&from);
                continue;
            };
            let (serial, age, executors) = (word.serial, word.list_age_us, word.executors.clone());
            // Danger: words are large. One that finds no place is as good as not told.
            let room = self.words.len() < MOST_WORDS || self.words.contains_key(&from);
            if !room {
                self.starting.failed(&from);
            } else if self.starting.offered(now, Offer { from: from.clone(), serial, age, executors }) {
                self.words.insert(from, word);
            }
        }
        let serves = |m: &&ochreward_membership::Member| {
            m.is_up() && m.heard.is_some() && m.record.serving == Serving::Serves
        };
        let mut up: Vec<Arc<str>> = self.machine.members().filter(serves).map(|m| m.name.clone()).collect();
        if !up.is_empty() {
            // Not all of those that start at once ask the same.
            let first = self.machine.own().instance as usize % up.len();
            up.rotate_left(first);
        }
        let taken = loop {
            match self.starting.step(now, &up) {
                Step::Wait => break None,
                Step::Take(from) => break self.words.remove_entry(&from),
                Step::Ask(member) => {
                    let Some(to) = self.machine.members().find(|m| m.name == member).map(|m| m.address)
                    else {
                        self.starting.failed(&member);
                        continue;
                    };
                    self.exchange.ask(poll, now, &self.name, &member, to);
                }
            }
        };
        self.counters.peers_lists_refused.set(self.starting.refused);
        if taken.is_some() {
            count(&self.counters.peers_lists_taken);
        }
        if taken.is_some() || self.starting.is_empty() {
            self.words.clear();
        }
        taken
    }

    /// When a silent name service makes peers be asked for the list, after the start.
    pub fn patience() -> u64 {
        starting::SILENT
    }

    /// Whether a peer waits for what this dispatcher knows.
    pub fn wants_word(&mut self, poll: &Poll, now: u64) -> bool {
        self.exchange.wants_word(poll, now)
    }

    /// What this dispatcher knows, for all that wait.
    pub fn give_word(&mut self, poll: &Poll, now: u64, word: Vec<u8>) {
        count(&self.counters.peers_words_given);
        self.exchange.give(poll, now, word);
    }

    /// How a common budget is divided, if that has changed.
    pub fn news(&mut self, now: u64) -> Option<Division> {
        // It looks at all members; most turns of the loop are for requests and change nothing here.
        if !std::mem::take(&mut self.touched) {
            return None;
        }
        let parts = self.machine.divisor(now);
        let alive = self.machine.alive();
        let division = Division { alive, parts, place: self.machine.place().min(parts.saturating_sub(1)) };
        let changed = self.division != Some(division);
        self.division = Some(division);
        changed.then_some(division)
    }

    /// How it is divided, as last told.
    pub fn division(&self) -> Option<Division> {
        self.division
    }

    /// Tells the others what this dispatcher does, and how loaded it is.
    pub fn tell(&mut self, serving: Serving, configuration: u64, load: u16) {
        self.record.serving = serving;
        self.record.configuration = configuration;
        self.machine.tell(self.record.clone(), load);
    }

    /// Leaves on purpose.
    pub fn leave(&mut self, now: u64) {
        self.machine.leave(now);
        self.carry();
    }

    /// The machine, to report on it.
    pub fn machine(&self) -> &Membership {
        &self.machine
    }

    /// Sends what is to be sent, tells what has become known.
    fn carry(&mut self) {
        self.touched = true;
        while let Some((to, packet)) = self.machine.packets.pop_front() {
            // A packet that does not go out is one that got lost.
            let _ = rustix::net::sendto(&self.fd, &packet, SendFlags::NOSIGNAL, &to);
        }
        while let Some(event) = self.machine.events.pop_front() {
            let instance = self.name.as_str();
            match event {
                Event::Changed(peer, was, state, source) => {
                    info!(instance, peer = &*peer, ?was, ?state, ?source, "a peer's state changed");
                }
                Event::Denied => info!(instance, "denied that it is gone"),
                Event::Stalled(us) => warn!(instance, us, "stood still, and accuses nobody"),
                Event::Conflict(peer, one, other) => {
                    warn!(instance, peer = &*peer, %one, %other, "two processes have one name");
                }
                Event::Yielded => warn!(instance, "its name is another's that began earlier: it stays quiet"),
                Event::Stands(part) => info!(instance, ?part, "stands otherwise to its group"),
            }
        }
        let (stats, c) = (self.machine.stats(), &self.counters);
        c.peers_sent.set(stats.sent);
        c.peers_sent_bytes.set(stats.sent_bytes);
        c.peers_taken.set(stats.taken);
        c.peers_garbage.set(stats.garbage + stats.other_version + stats.other_group);
        c.peers_replayed.set(stats.replayed);
        c.peers_absurd.set(stats.absurd + stats.crowded);
        c.peers_accusations.set(stats.accusations);
        c.peers_denials.set(stats.denials);
        c.peers_stalls.set(stats.stalls);
        c.peers_conflicts.set(stats.conflicts);
        c.peers_alive.set(self.machine.alive() as u64);
    }
}

/// A socket for datagrams, and its address.
fn datagrams(listen: SocketAddr) -> io::Result<(OwnedFd, SocketAddr)> {
    let family = if listen.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let fd = rustix::net::socket_with(family, SocketType::DGRAM, flags, None)?;
    rustix::net::bind(&fd, &listen)?;
    let address = SocketAddr::try_from(rustix::net::getsockname(&fd)?)?;
    Ok((fd, address))
}
