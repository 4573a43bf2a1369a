//! The protocol state machine of one member. It is given packets, the time and the member's own record, and produces
//! packets, notes and events for the host to take. Probes, claims and table exchange are in its submodules; this one
//! has the interface, the dispatch of packets and the timers. Queues that the host does not drain are bounded.

mod claims;
mod exchange;
mod probes;

use crate::gossip::Gossip;
use crate::health::LocalHealth;
use crate::shares::{Connectivity, HeldDivisor, ViewSummary, divisor};
use crate::table::{BucketSync, Member, Source, Table};
use crate::wire::{self, Body, Claim, DecodeError, Header, Packet, Record, State};
use crate::{Micros, Settings};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// The most queued notes; further ones are dropped.
const MAX_QUEUED_NOTES: usize = 256;
/// The most queued packets, and the most queued events; further ones are dropped, as a network may drop packets.
const MAX_QUEUED_OUTPUT: usize = 1_024;
/// The most open probes relayed for other members.
const MAX_RELAYED_PROBES: usize = 256;
/// The most packets of claims in one table exchange; the next exchange continues where it ended.
const MAX_SYNC_PACKETS: usize = 16;
/// How far a claim may exceed the known incarnation: a claim of the highest incarnation could never be refuted.
const MAX_INCARNATION_JUMP: u64 = 1 << 40;
/// Confirmations that shorten a suspicion to its minimum (Lifeguard's K).
const SUSPICION_CONFIRMATIONS: usize = 3;
/// The most members included in a probe round that this one never received a packet from.
const MAX_UNVERIFIED_PER_ROUND: usize = 8;
/// Retried probes among the last sixteen from which the network counts as lossy.
const LOSSY_RETRIES: u32 = 4;
/// Members that a leaving member notifies directly.
const LEAVE_NOTICES: usize = 32;
/// Delay of a turn past its due time that counts as a stall of this process, in probe time-outs.
const STALL_PROBE_TIMEOUTS: u64 = 1;

/// The identity of a member at its start.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The name, unique among the dispatchers of a group.
    pub name: Arc<str>,
    /// The address at which others reach it.
    pub address: SocketAddr,
    /// The process: Unix milliseconds of its start times 65,536, plus a random remainder.
    pub instance: u64,
    /// The first incarnation: Unix milliseconds. If the clock stepped back, the incarnation that others remember raises
    /// it.
    pub incarnation: u64,
    /// The record that it publishes about itself.
    pub record: Record,
}

/// A change for the host to handle.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A member is new or changed state: its name, previous state, state, and the source of the information.
    Changed(Arc<str>, Option<State>, State, Source),
    /// This member refuted a claim that it is suspect, failed or has left.
    Refuted,
    /// This process stalled for this time.
    Stalled(Micros),
    /// Two processes use the same name, at these addresses.
    NameConflict(Arc<str>, SocketAddr, SocketAddr),
    /// A process that started earlier has this member's name; this member sends nothing until it retries.
    NameYielded,
    /// This member's connectivity to the group changed.
    ConnectivityChanged(Connectivity),
}

/// A message of another part of the program, received from another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The sender.
    pub from: Arc<str>,
    /// The sender's process.
    pub instance: u64,
    /// The part of the program that it is for.
    pub channel: u8,
    /// The content, not validated.
    pub bytes: Vec<u8>,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Packets sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Packets accepted.
    pub accepted: u64,
    /// Packets that are malformed or out of bounds.
    pub malformed: u64,
    /// Packets of another protocol version.
    pub other_version: u64,
    /// Packets of another group.
    pub other_group: u64,
    /// Replayed packets.
    pub replayed: u64,
    /// Claims with an implausibly high incarnation.
    pub implausible: u64,
    /// Probes started.
    pub probes: u64,
    /// Probes without an ack.
    pub probes_failed: u64,
    /// Suspicions started by this member's probes.
    pub suspicions_started: u64,
    /// Refutations of claims about this member.
    pub refutations: u64,
    /// Stalls of this process.
    pub stalls: u64,
    /// Name conflicts detected.
    pub conflicts: u64,
    /// Claims dropped because the table was full.
    pub claims_dropped_table_full: u64,
}

/// The open probe.
struct Probe {
    number: u64,
    target: Arc<str>,
    sent_at: Micros,
    /// When indirect probes start.
    direct_deadline: Micros,
    /// Whether indirect probes have been sent.
    indirect: bool,
    /// When the ping is sent again, so that one lost packet does not cause a suspicion.
    retry_at: Micros,
    retried: bool,
    /// When the probe fails.
    deadline: Micros,
}

/// A probe made on behalf of another member.
struct RelayedProbe {
    /// The requester's probe number.
    number: u64,
    requester: SocketAddr,
    started_at: Micros,
}

/// One member's view of its group.
pub struct Membership {
    settings: Settings,
    group: u64,
    own: Claim,
    load: u16,
    seeds: Vec<SocketAddr>,
    rng: Pcg32,
    now: Micros,
    started_at: Micros,
    /// Sequence number of the last packet sent.
    packet_sequence: u64,
    last_probe_number: u64,
    table: Table,
    gossip: Gossip,
    health: LocalHealth,
    probe: Option<Probe>,
    relayed_probes: BTreeMap<u64, RelayedProbe>,
    /// Members still to be probed in this round, in random order (SWIM 4.3).
    probe_round: Vec<Arc<str>>,
    next_probe_at: Micros,
    next_sync_at: Micros,
    /// Index of the claim at which the next table exchange continues.
    sync_offset: usize,
    /// When another member first replied, or the join timeout expired.
    joined_at: Option<Micros>,
    /// The last sixteen probes: a bit is set for each that was retried or failed.
    retry_history: u16,
    /// The last eight probes: a bit is set for each that failed.
    failure_history: u8,
    /// When the last reply to a packet of this member came.
    last_answered_at: Option<Micros>,
    /// When the last packet of any known member came.
    last_heard_at: Option<Micros>,
    /// Members that may be under suspicion.
    suspects: BTreeSet<Arc<str>>,
    /// The table's count revision, and the share counts computed from it.
    cached_counts: Option<(u64, (usize, usize))>,
    /// Another process with this member's name, and how many of its claims this one had to refute.
    name_conflict: Option<(u64, u32)>,
    yielded_at: Option<Micros>,
    left: bool,
    held_divisor: HeldDivisor,
    connectivity: Connectivity,
    stats: Stats,
    /// Packets to send, with their destinations.
    pub packets: VecDeque<(SocketAddr, Vec<u8>)>,
    /// Notes received for other parts of the program.
    pub messages: VecDeque<Message>,
    /// Events for the host.
    pub events: VecDeque<Event>,
}

impl Membership {
    /// Creates a member that has no peers yet but the addresses of its seeds.
    pub fn new(
        own: Identity,
        settings: Settings,
        seeds: Vec<SocketAddr>,
        rng_seed: u64,
        now: Micros,
    ) -> Membership {
        let Identity { name, address, instance, incarnation, record } = own;
        let own = Claim { name, address, instance, incarnation, state: State::Alive, record };
        let seeds: Vec<SocketAddr> = seeds.into_iter().filter(|s| *s != address).collect();
        Membership {
            group: wire::group_hash(&settings.group),
            own,
            load: 0,
            rng: Pcg32::seed_from_u64(rng_seed),
            now,
            started_at: now,
            packet_sequence: 0,
            last_probe_number: 0,
            table: Table::default(),
            gossip: Gossip::default(),
            health: LocalHealth::default(),
            probe: None,
            relayed_probes: BTreeMap::new(),
            probe_round: Vec::new(),
            next_probe_at: now,
            next_sync_at: now,
            sync_offset: 0,
            joined_at: None,
            retry_history: 0,
            failure_history: 0,
            last_answered_at: None,
            last_heard_at: None,
            suspects: BTreeSet::new(),
            cached_counts: None,
            name_conflict: None,
            yielded_at: None,
            left: false,
            held_divisor: HeldDivisor::default(),
            connectivity: Connectivity::Joining,
            stats: Stats::default(),
            packets: VecDeque::new(),
            messages: VecDeque::new(),
            events: VecDeque::new(),
            seeds,
            settings,
        }
    }

    // ---- State ----

    /// Returns all other members, by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.members.values()
    }

    /// Returns this member's claim about itself.
    pub fn own(&self) -> &Claim {
        &self.own
    }

    /// Returns the counts since the start.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Returns the local health score: 0 is healthy, 8 the worst.
    pub fn local_health(&self) -> u32 {
        self.health.score()
    }

    /// Returns the number of claims queued for gossip.
    pub fn queued_claims(&self) -> usize {
        self.gossip.len()
    }

    /// Returns the digest of this member's view.
    pub fn digest(&self) -> u64 {
        self.table.digest() ^ wire::claim_digest(&self.own)
    }

    /// Returns the number of members that are alive or suspect, this one included.
    pub fn up_count(&self) -> usize {
        self.table.counts().0 + 1
    }

    /// Returns this member's connectivity, and whether the views of the group agree.
    pub fn view_summary(&self) -> ViewSummary {
        let digest = self.digest();
        let (up, silent) = self.table.counts();
        let same =
            self.members().filter(|m| m.is_up() && m.last_heard.is_some() && m.digest == digest).count();
        ViewSummary {
            connectivity: self.connectivity,
            digest,
            alive: up + 1,
            failed: silent,
            same_view: same,
        }
    }

    /// Returns the divisor of a common budget for this member: rises at once, falls after the hold time
    /// ([`crate::standing`]).
    pub fn share_divisor(&mut self, now: Micros) -> usize {
        self.now = self.now.max(now);
        self.update_connectivity();
        let (up, failed) = self.share_counts();
        let connectivity = if self.yielded_at.is_some() { Connectivity::Joining } else { self.connectivity };
        // A partitioned member takes time to mark all others as failed. Two failures among its last four probes already
        // limit it to one of `expected` shares. A member that never had a reply may have been partitioned since its
        // start.
        let well_connected = (self.failure_history & 0xf).count_ones() < 2 && self.last_answered_at.is_some();
        let raw = divisor(connectivity, well_connected, up, failed, self.settings.expected_members);
        self.held_divisor.update(self.now, self.settings.share_hold, raw)
    }

    /// Returns this member's index, by name, among the members that hold a share: from 0, below the divisor.
    pub fn share_index(&self) -> usize {
        self.members().filter(|m| m.state != State::Left && m.name < self.own.name).count()
    }

    /// Returns when [`Membership::advance`] is next due.
    pub fn next_deadline(&self) -> Micros {
        // The next probe starts only after the open one has ended.
        let open = |p: &Probe| p.deadline.min(p.direct_deadline).min(p.retry_at);
        let probe = self.probe.as_ref().map_or(self.next_probe_at, open);
        let suspicion = |name| self.table.members.get(name)?.suspicion.as_ref();
        let suspicions =
            self.suspects.iter().filter_map(suspicion).map(|s| s.deadline(SUSPICION_CONFIRMATIONS));
        let joining = self.joined_at.is_none().then_some(self.started_at + self.settings.join_timeout);
        let all = suspicions.chain(joining).chain([probe, self.next_sync_at, self.held_divisor.due()]);
        if self.left { Micros::MAX } else { all.min().unwrap_or(Micros::MAX) }
    }

    // ---- Input ----

    /// Updates the load, and the record that this member publishes; a changed record raises its incarnation.
    pub fn set_record(&mut self, record: Record, load: u16) {
        self.load = load.min(1_000);
        if record != self.own.record {
            self.own.record = record;
            self.own.incarnation += 1;
            self.gossip.add(self.own.clone());
        }
    }

    /// Merges members that the host has learned of elsewhere, with the same trust as claims by others, and does not
    /// gossip them.
    pub fn merge_introduced<'a>(&mut self, now: Micros, claims: impl Iterator<Item = &'a Claim>) {
        self.now = self.now.max(now);
        for claim in claims.filter(|c| c.name != self.own.name) {
            self.table.merge(self.now, claim, Source::Told, self.settings.max_members);
        }
    }

    /// Sends a message of another part of the program to one member. Returns false if that member is not up, this one
    /// has left, or the message is too long. Delivery is at most once per process, and may be late or out of order.
    pub fn send_message(&mut self, now: Micros, to: &str, channel: u8, bytes: Vec<u8>) -> bool {
        self.now = self.now.max(now);
        let recipient = self
            .table
            .members
            .get(to)
            .filter(|m| m.is_up() && bytes.len() <= wire::MAX_NOTE_BYTES && !self.left);
        let Some(address) = recipient.map(|m| m.address) else { return false };
        self.send(address, &Body::Message { channel, bytes }, None);
        true
    }

    /// Leaves the group: notifies up to [`LEAVE_NOTICES`] members, whose gossip reaches the rest. Nothing is sent or
    /// accepted after this.
    pub fn leave(&mut self, now: Micros) {
        if self.left {
            return;
        }
        self.now = self.now.max(now);
        self.own.state = State::Left;
        let mut to = self.up_addresses();
        self.shuffle(&mut to);
        let quiet = self.yielded_at.is_some();
        for address in to.into_iter().take(if quiet { 0 } else { LEAVE_NOTICES }) {
            self.send(address, &Body::Claims, None);
        }
        self.left = true;
    }

    /// Runs the timers that are due.
    pub fn advance(&mut self, now: Micros) {
        if self.left {
            return;
        }
        let due = self.next_deadline();
        self.now = self.now.max(now);
        let late = self.now.saturating_sub(due);
        // Acks that this process had no time to receive during a stall are no evidence against other members. Open
        // probes are dropped, and suspicions are extended by the stall, as no refutation could be received during it.
        if late > STALL_PROBE_TIMEOUTS * self.settings.probe_timeout && due > 0 {
            self.stats.stalls += 1;
            self.health.degrade_after_stall();
            self.probe = None;
            self.relayed_probes.clear();
            for name in &self.suspects {
                let member = self.table.members.get_mut(name);
                member.and_then(|m| m.suspicion.as_mut()).into_iter().for_each(|s| s.started_at += late);
            }
            self.next_probe_at = self.now;
            self.push_event(Event::Stalled(late));
        }
        if self.now >= self.started_at + self.settings.join_timeout {
            self.joined_at.get_or_insert(self.now);
        }
        // A member that yielded its name retries after four hold times.
        if self.yielded_at.is_some_and(|since| self.now >= since + 4 * self.settings.share_hold) {
            (self.yielded_at, self.name_conflict) = (None, None);
        }
        self.run_probes();
        self.expire_suspicions();
        if self.now >= self.next_sync_at {
            self.next_sync_at =
                self.now + self.settings.sync_period / 2 + self.random_below(self.settings.sync_period);
            self.sync_tables();
            self.remove_departed();
        }
        self.update_connectivity();
    }

    /// Handles a packet received from `from`.
    pub fn handle_packet(&mut self, now: Micros, from: SocketAddr, packet: &[u8]) {
        self.now = self.now.max(now);
        if self.left {
            return;
        }
        let Packet { header, body, claims } = match wire::decode(packet, self.group) {
            Ok(packet) => packet,
            Err(error) => {
                *match error {
                    DecodeError::Malformed | DecodeError::OutOfBounds => &mut self.stats.malformed,
                    DecodeError::OtherVersion(_) => &mut self.stats.other_version,
                    DecodeError::OtherGroup => &mut self.stats.other_group,
                } += 1;
                return;
            }
        };
        let sender = header.own.name.clone();
        if sender == self.own.name {
            // Either a packet of this process that came back, or one of another process with the same name.
            if header.own.instance != self.own.instance {
                self.handle_own_claim(&header.own);
            }
            return;
        }
        if !self.record_sender(&header, from) {
            return;
        }
        self.stats.accepted += 1;
        for claim in claims.iter().take(128) {
            self.apply_claim(claim, Source::Told, &sender);
        }
        match body {
            Body::Ping { number, target } => {
                if target == self.own.name {
                    self.reply(from, &Body::Ack { number }, &sender);
                }
            }
            Body::Ack { number } => self.handle_ack(number, &sender),
            Body::PingRequest { number, target, .. } => self.relay_probe(number, from, target),
            Body::CompareDigest { answer } => {
                let same = header.digest == self.digest();
                if !answer {
                    self.reply(from, &Body::CompareDigest { answer: true }, &sender);
                } else {
                    self.record_reply();
                }
                // Only the member that sent the request continues, so that one exchange runs instead of two.
                if !same && answer {
                    self.compare_buckets(from, &sender);
                }
            }
            Body::CompareBuckets { digests, answer } => {
                if let Some(member) = self.table.members.get_mut(&sender) {
                    member.bucket_sync = BucketSync::Supported;
                }
                let own = self.bucket_digests();
                if !answer {
                    let digests = own.to_vec();
                    self.reply(from, &Body::CompareBuckets { digests, answer: true }, &sender);
                }
                let differs = |name: &str| {
                    let bucket = wire::bucket_of(name);
                    digests.get(bucket) != Some(&own[bucket])
                };
                self.send_claims(from, differs);
            }
            Body::Message { channel, bytes } => {
                if self.messages.len() < MAX_QUEUED_NOTES {
                    self.messages.push_back(Message {
                        from: sender,
                        instance: header.own.instance,
                        channel,
                        bytes,
                    });
                }
            }
            Body::Claims => {}
        }
        self.update_connectivity();
    }

    /// Updates the sender of a packet in the table. Returns false if the packet is a replay.
    fn record_sender(&mut self, header: &Header, from: SocketAddr) -> bool {
        let mut own = header.own.clone();
        // The observed address takes precedence: a member behind a relay may not have its own.
        own.address = from;
        if own.state != State::Left {
            own.state = State::Alive;
        }
        if let Some(known) = self.table.members.get_mut(&own.name) {
            if own.instance == known.instance {
                if !known.replay_window.accept(self.now, header.sequence) {
                    self.stats.replayed += 1;
                    return false;
                }
                if known.last_heard.replace(self.now).is_none() {
                    self.table.count_revision += 1;
                }
                self.last_heard_at = Some(self.now);
                if known.is_up() {
                    known.address = from;
                }
            } else if known.is_up()
                && known.last_heard.is_some_and(|at| at + self.settings.share_hold > self.now)
                && known.address != from
            {
                let (name, old) = (own.name.clone(), known.address);
                if own.incarnation > known.incarnation {
                    self.stats.conflicts += 1;
                    self.push_event(Event::NameConflict(name, old, from));
                }
            }
        }
        self.apply_claim(&own, Source::Direct, &own.name);
        if let Some(known) = self.table.members.get_mut(&own.name)
            && known.instance == own.instance
        {
            if known.last_heard.replace(self.now).is_none() {
                self.table.count_revision += 1;
            }
            self.last_heard_at = Some(self.now);
            known.replay_window.accept(self.now, header.sequence);
            (known.digest, known.load) = (header.digest, header.load);
        }
        true
    }

    // ---- Connectivity ----

    /// Derives this member's connectivity from the table and from the last packets and replies.
    fn update_connectivity(&mut self) {
        let (up, failed) = self.table.counts();
        let window = self.settings.share_hold;
        let recent = |at: Option<Micros>| at.is_some_and(|at| at + window > self.now);
        // Members stay up in the table until their suspicion expires; a member that has had no reply within the hold
        // time must not count them as answering.
        let answering = if up == 0 || recent(self.last_answered_at) || self.now < self.started_at + window {
            up
        } else {
            0
        };
        let heard = recent(self.last_heard_at);
        // A joining member takes no share until the hold time has passed, in which the rest of the group learns of it.
        let joined = self.joined_at.is_some_and(|at| at + window <= self.now);
        let connectivity = Connectivity::of(joined, up + failed, answering, heard);
        if connectivity != self.connectivity {
            self.connectivity = connectivity;
            self.push_event(Event::ConnectivityChanged(connectivity));
        }
    }

    // ---- Output ----

    /// Replies to a packet. A sender that is not alive in the table gets that claim first, so that it can refute it.
    fn reply(&mut self, to: SocketAddr, body: &Body, sender: &Arc<str>) {
        let known = self.table.members.get(sender).filter(|m| m.state != State::Alive).map(Member::claim);
        self.send(to, body, known);
    }

    /// Sends a packet with queued gossip, and `first` before all of it.
    fn send(&mut self, to: SocketAddr, body: &Body, first: Option<Claim>) {
        let claims = self.gossip.next(first);
        let count = self.enqueue_packet(to, body, &claims);
        let max_transmissions = self.settings.max_transmissions(self.table.counts().0);
        self.gossip.record_sent(&claims[..count], max_transmissions);
    }

    /// Encodes and queues a packet. Returns the number of claims in it.
    fn enqueue_packet(&mut self, to: SocketAddr, body: &Body, claims: &[Claim]) -> usize {
        if self.yielded_at.is_some() || self.packets.len() >= MAX_QUEUED_OUTPUT {
            return 0;
        }
        self.packet_sequence += 1;
        let header = Header {
            group: self.group,
            own: self.own.clone(),
            sequence: self.packet_sequence,
            digest: self.digest(),
            alive: (self.table.counts().0 + 1).min(usize::from(u16::MAX)) as u16,
            load: self.load,
        };
        let (packet, count) = wire::encode(&header, body, claims);
        self.stats.sent += 1;
        self.stats.sent_bytes += packet.len() as u64;
        self.packets.push_back((to, packet));
        count
    }

    fn push_event(&mut self, event: Event) {
        if self.events.len() < MAX_QUEUED_OUTPUT {
            self.events.push_back(event);
        }
    }

    fn up_addresses(&self) -> Vec<SocketAddr> {
        self.members().filter(|m| m.is_up()).map(|m| m.address).collect()
    }

    fn next_probe_number(&mut self) -> u64 {
        self.last_probe_number += 1;
        self.last_probe_number
    }

    /// Returns a random number below `bound`; 0 if that is 0.
    fn random_below(&mut self, bound: u64) -> u64 {
        if bound == 0 { 0 } else { u64::from(self.rng.next_u32()) % bound }
    }

    fn shuffle<T>(&mut self, list: &mut [T]) {
        for at in (1..list.len()).rev() {
            let other = self.random_below(at as u64 + 1) as usize;
            list.swap(at, other);
        }
    }
}
