//! Communication with the other dispatchers of a group: runs the membership protocol over UDP, gossips hints of executor
//! failures, and hands state to late starters over TCP.
//!
//! Disabled without `[peers]` in an operator's file, and on the platform, which does not allow instances to communicate.
//! Requests never wait for this module: a turn of the loop reads a bounded number of packets, and a dispatcher that has
//! lost all its peers behaves as it does without any.

mod exchange;
mod hints;
mod list_search;
mod options;
mod report;

pub use options::{MAX_SEEDS, Options};
pub use report::{lines, report};

use crate::api::WorkerId;
use crate::counters::{Counters, add, count};
use crate::handover::HandoverState;
use crate::net::{Interest, Poll, PollEvent, Token};
use exchange::Exchange;
use hints::Hints;
use list_search::{ListSearch, Offer, Step};
use ochreward_membership::{Event, Identity, Membership, Record, Serving, sample};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::SeedableRng;
use rustix::net::{AddressFamily, RecvFlags, SendFlags, SocketFlags, SocketType};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::sync::Arc;
use tracing::{info, warn};

/// Maximum packets read in one turn of the loop; unread packets make the next turn start at once.
const MAX_PACKETS_PER_TURN: usize = 64;
/// Attempts to find a port that is free for both UDP and TCP where the system chooses the port.
const PORT_BIND_ATTEMPTS: usize = 16;
/// Maximum received notes that are held until the host takes them.
const MAX_PENDING_NOTES: usize = 256;
/// Maximum state snapshots of peers that are held while further ones are awaited.
const MAX_HELD_SNAPSHOTS: usize = 4;

/// The division of a shared budget among the dispatchers of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Division {
    /// Number of dispatchers known to be alive, including this one.
    pub alive: usize,
    /// Number of parts; each member uses at most one.
    pub divisor: usize,
    /// Index of this dispatcher's part, from 0.
    pub part_index: usize,
}

/// The identity and initial state with which a dispatcher joins its group.
pub struct InitialState<'a> {
    /// Name of this dispatcher.
    pub name: &'a str,
    /// Number of instances according to the platform's settings.
    pub expected_instances: usize,
    /// Version of the configuration in use; 0 for none.
    pub configuration_version: u64,
    /// Unix time in milliseconds.
    pub unix_ms: u64,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// The peer sockets and the protocol state machines that run on them.
pub struct Peers {
    fd: OwnedFd,
    token: Token,
    address: SocketAddr,
    membership: Membership,
    exchange: Exchange,
    hints: Hints,
    /// Received notes for other modules: channel, sender and content.
    pub received_notes: Vec<(u8, Arc<str>, Vec<u8>)>,
    /// Executors reported by peers that are still to be probed.
    reported: Vec<WorkerId>,
    /// The search for an executor list while the name service is silent, and the snapshots received for it.
    list_search: ListSearch,
    snapshots: BTreeMap<Arc<str>, HandoverState>,
    rng: Pcg32,
    division: Option<Division>,
    /// Whether the membership may have changed since the division was last computed.
    division_stale: bool,
    name: String,
    record: Record,
    counters: Rc<Counters>,
}

impl Peers {
    /// Binds the sockets and starts contacting the seeds.
    pub fn new(
        poll: &mut Poll,
        owner: u8,
        options: &Options,
        start: &InitialState,
        now: u64,
        counters: Rc<Counters>,
    ) -> io::Result<Peers> {
        let listen = options.address(start.name);
        let (mut attempts, group) =
            (if listen.port() == 0 { PORT_BIND_ATTEMPTS } else { 1 }, &options.settings.group);
        let (fd, address, exchange) = loop {
            attempts -= 1;
            let (fd, address) = bind_udp(listen)?;
            match Exchange::new(poll, owner, address, group) {
                Ok(exchange) => break (fd, address, exchange),
                Err(_) if attempts > 0 => {}
                Err(e) => return Err(e),
            }
        };
        let token = poll.token(owner, 0);
        poll.add(&fd, token, Interest { read: true, write: false })?;
        let record = Record {
            zone: options.zone.as_str().into(),
            program: env!("CARGO_PKG_VERSION").into(),
            configuration: start.configuration_version,
            serving: Serving::Serves,
        };
        let own = Identity {
            name: start.name.into(),
            address: options.advertise(start.name).unwrap_or(address),
            instance: start.unix_ms << 16 | start.seed & 0xffff,
            incarnation: start.unix_ms,
            record: record.clone(),
        };
        let mut settings = options.settings.clone();
        settings.expected_members = start.expected_instances;
        let membership = Membership::new(own, settings, options.seeds.clone(), start.seed, now);
        Ok(Peers {
            fd,
            token,
            address,
            membership,
            exchange,
            hints: Hints::new(now),
            received_notes: Vec::new(),
            reported: Vec::new(),
            list_search: ListSearch::default(),
            snapshots: BTreeMap::new(),
            rng: Pcg32::seed_from_u64(start.seed),
            division: None,
            division_stale: true,
            name: start.name.to_string(),
            record,
            counters,
        })
    }

    /// Returns the address at which this dispatcher receives packets.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Handles a readiness event of one of the sockets.
    pub fn ready(&mut self, poll: &mut Poll, now: u64, ready: PollEvent) {
        if ready.token == self.token {
            self.read_packets(now);
        } else {
            self.exchange.ready(poll, now, ready);
        }
    }

    /// Reads a bounded number of packets.
    fn read_packets(&mut self, now: u64) {
        // After a pause of the process, packets that waited in the socket are older than their time of reading. Advancing
        // first lets the membership detect the stall before it takes them.
        if self.membership.next_deadline() <= now {
            self.membership.advance(now);
        }
        let mut buffer = [0; ochreward_membership::wire::MAX_PACKET_BYTES + 1];
        for _ in 0..MAX_PACKETS_PER_TURN {
            let (size, from) = match rustix::net::recvfrom(&self.fd, &mut buffer, RecvFlags::empty()) {
                Ok((_, size, from)) => (size, from),
                Err(rustix::io::Errno::INTR | rustix::io::Errno::CONNREFUSED) => continue,
                Err(_) => break,
            };
            let from = from.and_then(|f| SocketAddr::try_from(f).ok());
            if let (Some(from), Some(packet)) = (from, buffer.get(..size)) {
                count(&self.counters.peers_received);
                add(&self.counters.peers_received_bytes, size);
                self.membership.handle_packet(now, from, packet);
            }
        }
        self.take_notes(now);
        self.flush();
    }

    /// Runs the timers that are due: membership, hints and exchange.
    pub fn advance(&mut self, now: u64) {
        let due = self.membership.next_deadline() <= now;
        if due {
            self.membership.advance(now);
        }
        let hint_note = self.hints.next_note(now);
        hint_note.iter().for_each(|bytes| self.gossip(now, hints::CHANNEL, hints::FANOUT, bytes));
        if due || hint_note.is_some() {
            self.flush();
        }
        self.exchange.advance(now);
    }

    /// Returns the time at which `advance` next has work to do.
    pub fn due(&self) -> u64 {
        self.membership.next_deadline().min(self.hints.due()).min(self.exchange.due())
    }

    /// Takes the received notes: hints are handled here, the others are kept for the host.
    fn take_notes(&mut self, now: u64) {
        let others = self.membership.up_count().saturating_sub(1);
        while let Some(note) = self.membership.messages.pop_front() {
            if note.channel == hints::CHANNEL {
                let new_workers = self.hints.receive(now, &note.bytes, others);
                self.counters.hints_heard.set(self.counters.hints_heard.get() + new_workers.len() as u64);
                self.reported.extend(new_workers);
            } else if self.received_notes.len() < MAX_PENDING_NOTES {
                self.received_notes.push((note.channel, note.from, note.bytes));
            }
        }
    }

    /// Sends a note to one peer, if it is up.
    pub fn send_note(&mut self, now: u64, to: &str, channel: u8, bytes: Vec<u8>) {
        self.queue_note(now, to, channel, bytes);
        self.flush();
    }

    /// Queues a note in the membership protocol and counts it for the module that sends on the channel.
    fn queue_note(&mut self, now: u64, to: &str, channel: u8, bytes: Vec<u8>) {
        let size = bytes.len();
        if !self.membership.send_message(now, to, channel, bytes) {
            return;
        }
        let counters = &self.counters;
        let (packets, sent_bytes) = match channel {
            hints::CHANNEL => (&counters.hints_sent, &counters.hints_sent_bytes),
            crate::overload::CHANNEL => (&counters.overload_sent, &counters.overload_sent_bytes),
            crate::zones::CHANNEL => (&counters.zones_sent, &counters.zones_sent_bytes),
            _ => return,
        };
        count(packets);
        add(sent_bytes, size);
    }

    /// Returns the peers that are up and from which at least one packet has arrived.
    pub fn reachable_peers(&self) -> Vec<Arc<str>> {
        self.membership
            .members()
            .filter(|m| m.is_up() && m.last_heard.is_some())
            .map(|m| m.name.clone())
            .collect()
    }

    /// Returns the same peers as [`Peers::reachable_peers`], with their zones.
    pub fn reachable_peers_with_zones(&self) -> Vec<(Arc<str>, Arc<str>)> {
        let up = self.membership.members().filter(|m| m.is_up() && m.last_heard.is_some());
        up.map(|m| (m.name.clone(), m.record.zone.clone())).collect()
    }

    /// Returns the zone that this dispatcher announces as its own.
    pub fn own_zone(&self) -> Arc<str> {
        self.record.zone.clone()
    }

    /// Sends a note to `fanout` peers, drawn at random on each call.
    fn gossip(&mut self, now: u64, channel: u8, fanout: usize, bytes: &[u8]) {
        let up = self.reachable_peers();
        for name in sample(&mut self.rng, up, fanout) {
            self.queue_note(now, &name, channel, bytes.to_vec());
        }
    }

    // ---- Hints of executor failures ----

    /// Records that a connection to an executor broke or could not be established here, and gossips it to the peers.
    pub fn report_failure(&mut self, now: u64, worker: &WorkerId) {
        if self.hints.observe(now, worker, self.membership.up_count().saturating_sub(1)) {
            count(&self.counters.hints_told);
        }
    }

    /// Returns an executor that is to be probed now.
    pub fn next_probe(&mut self, now: u64) -> Option<WorkerId> {
        if let Some(worker) = self.hints.next_retry(now) {
            return Some(worker);
        }
        while let Some(worker) = self.reported.pop() {
            if self.hints.may_probe(now, &worker) {
                return Some(worker);
            }
        }
        None
    }

    /// Records that the probe of an executor was refused.
    pub fn probe_refused(&mut self, now: u64, worker: &WorkerId) {
        count(&self.counters.hints_refused);
        self.hints.probe_refused(now, worker);
    }

    // ---- The list of executors from a peer ----

    /// Asks peers for their list of executors while the name service is silent. Returns the sender and the snapshot that
    /// is to be used, once one has been chosen.
    pub fn poll_list_search(&mut self, poll: &mut Poll, now: u64) -> Option<(Arc<str>, HandoverState)> {
        for (from, line) in std::mem::take(&mut self.exchange.outcomes) {
            let Some(snapshot) = line.and_then(|l| HandoverState::read(&l)) else {
                self.list_search.failed(&from);
                continue;
            };
            let (serial, age, executors) =
                (snapshot.serial, snapshot.list_age_us, snapshot.executors.clone());
            // Snapshots are large, so their number is bounded; one beyond the bound counts as a failed request.
            let has_room = self.snapshots.len() < MAX_HELD_SNAPSHOTS || self.snapshots.contains_key(&from);
            if !has_room {
                self.list_search.failed(&from);
            } else if self.list_search.add_offer(now, Offer { from: from.clone(), serial, age, executors }) {
                self.snapshots.insert(from, snapshot);
            }
        }
        let serves = |m: &&ochreward_membership::Member| {
            m.is_up() && m.last_heard.is_some() && m.record.serving == Serving::Serves
        };
        let mut up: Vec<Arc<str>> =
            self.membership.members().filter(serves).map(|m| m.name.clone()).collect();
        if !up.is_empty() {
            // Dispatchers that start at the same time begin with different peers, to spread the load.
            let first = self.membership.own().instance as usize % up.len();
            up.rotate_left(first);
        }
        let accepted = loop {
            match self.list_search.step(now, &up) {
                Step::Wait => break None,
                Step::Accept(from) => break self.snapshots.remove_entry(&from),
                Step::Ask(member) => {
                    let Some(to) = self.membership.members().find(|m| m.name == member).map(|m| m.address)
                    else {
                        self.list_search.failed(&member);
                        continue;
                    };
                    self.exchange.request(poll, now, &self.name, &member, to);
                }
            }
        };
        self.counters.peers_lists_refused.set(self.list_search.rejected);
        if accepted.is_some() {
            count(&self.counters.peers_lists_taken);
        }
        if accepted.is_some() || self.list_search.is_empty() {
            self.snapshots.clear();
        }
        accepted
    }

    /// Returns how long after the start the name service may be silent before peers are asked for the list.
    pub fn name_service_silence_us() -> u64 {
        list_search::NAME_SERVICE_SILENCE_US
    }

    /// Returns whether a peer waits for a snapshot of this dispatcher's state and a new one has to be made.
    pub fn wants_snapshot(&mut self, poll: &Poll, now: u64) -> bool {
        self.exchange.wants_reply(poll, now)
    }

    /// Sends a snapshot of this dispatcher's state to all peers that wait for one.
    pub fn send_snapshot(&mut self, poll: &Poll, now: u64, word: Vec<u8>) {
        count(&self.counters.peers_words_given);
        self.exchange.reply(poll, now, word);
    }

    /// Returns the division of a shared budget if it has changed since the last call.
    pub fn changed_division(&mut self, now: u64) -> Option<Division> {
        // Computing the division visits all members; most turns of the loop serve requests and leave it unchanged.
        if !std::mem::take(&mut self.division_stale) {
            return None;
        }
        let parts = self.membership.share_divisor(now);
        let alive = self.membership.up_count();
        let division = Division {
            alive,
            divisor: parts,
            part_index: self.membership.share_index().min(parts.saturating_sub(1)),
        };
        let changed = self.division != Some(division);
        self.division = Some(division);
        changed.then_some(division)
    }

    /// Returns the division of a shared budget as last computed.
    pub fn division(&self) -> Option<Division> {
        self.division
    }

    /// Sets the serving state, configuration version and load that are announced to the peers.
    pub fn announce(&mut self, serving: Serving, configuration: u64, load: u16) {
        self.record.serving = serving;
        self.record.configuration = configuration;
        self.membership.set_record(self.record.clone(), load);
    }

    /// Announces to the peers that this dispatcher leaves the group.
    pub fn leave(&mut self, now: u64) {
        self.membership.leave(now);
        self.flush();
    }

    /// Returns the membership state, for reports.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Sends the queued packets, logs the membership events and updates the counters.
    fn flush(&mut self) {
        self.division_stale = true;
        while let Some((to, packet)) = self.membership.packets.pop_front() {
            // The protocol tolerates packet loss, so a failed send is treated as a lost packet.
            let _ = rustix::net::sendto(&self.fd, &packet, SendFlags::NOSIGNAL, &to);
        }
        while let Some(event) = self.membership.events.pop_front() {
            let instance = self.name.as_str();
            match event {
                Event::Changed(peer, was, state, source) => {
                    info!(instance, peer = &*peer, ?was, ?state, ?source, "a peer's state changed");
                }
                Event::Refuted => {
                    info!(instance, "refuted a report that this dispatcher is suspect or failed")
                }
                Event::Stalled(us) => warn!(
                    instance,
                    us, "process stalled; pending probes dropped, no peer is suspected for them"
                ),
                Event::NameConflict(peer, one, other) => {
                    warn!(instance, peer = &*peer, %one, %other, "two processes have one name");
                }
                Event::NameYielded => {
                    warn!(instance, "another process with this name started earlier; this one stays silent")
                }
                Event::ConnectivityChanged(part) => {
                    info!(instance, ?part, "reachability within the group changed")
                }
            }
        }
        let (stats, counters) = (self.membership.stats(), &self.counters);
        counters.peers_sent.set(stats.sent);
        counters.peers_sent_bytes.set(stats.sent_bytes);
        counters.peers_taken.set(stats.accepted);
        counters.peers_garbage.set(stats.malformed + stats.other_version + stats.other_group);
        counters.peers_replayed.set(stats.replayed);
        counters.peers_absurd.set(stats.implausible + stats.claims_dropped_table_full);
        counters.peers_accusations.set(stats.suspicions_started);
        counters.peers_denials.set(stats.refutations);
        counters.peers_stalls.set(stats.stalls);
        counters.peers_conflicts.set(stats.conflicts);
        counters.peers_alive.set(self.membership.up_count() as u64);
    }
}

/// Binds a non-blocking UDP socket and returns it with its address.
fn bind_udp(listen: SocketAddr) -> io::Result<(OwnedFd, SocketAddr)> {
    let family = if listen.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let fd = rustix::net::socket_with(family, SocketType::DGRAM, flags, None)?;
    rustix::net::bind(&fd, &listen)?;
    let address = SocketAddr::try_from(rustix::net::getsockname(&fd)?)?;
    Ok((fd, address))
}
