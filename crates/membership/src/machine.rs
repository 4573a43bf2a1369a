//! The machine: probes, suspicions, what is passed on, and what is concluded.

mod claims;
mod exchange;
mod probes;

use crate::gossip::Gossip;
use crate::health::Health;
use crate::standing::{Agreement, Held, Part, divisor};
use crate::table::{Compares, Member, Source, Table};
use crate::wire::{self, Body, Claim, Header, Packet, Record, State, Unread};
use crate::{Micros, Settings};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// Notes that the host has not taken, at the most.
const MOST_NOTES: usize = 256;
/// Packets and events that the host has not taken, at the most: what comes on top is dropped, as a network may.
const MOST_OUT: usize = 1_024;
/// Probes made for others that may be open at a time.
const MOST_SOUGHT: usize = 256;
/// Packets of claims in an exchange of tables; the next exchange goes on where this one ended.
const MOST_PAGES: usize = 16;
/// A claim may be ahead of the known incarnation by so much. Danger: one of the highest could never be denied.
const MOST_AHEAD: u64 = 1 << 40;
/// Others whose accusation shortens a suspicion.
const ENOUGH: usize = 3;
/// Members known by others' words alone that are probed in a round.
const MOST_STRANGERS: usize = 8;
/// So many of the last sixteen probes sent again tell that packets get lost.
const LOSSY: u32 = 4;
/// Packets that say that this member leaves.
const FAREWELLS: usize = 32;
/// A turn this much later than it was due, in probe time-outs, means that this member stood still.
const STALL: u64 = 1;

/// What a member is at its start.
#[derive(Clone, Debug)]
pub struct Own {
    /// Its name; no two dispatchers of a group may have the same.
    pub name: Arc<str>,
    /// Where others reach it.
    pub address: SocketAddr,
    /// Its process: Unix milliseconds of its start times 65,536, and a random rest.
    pub instance: u64,
    /// Its first incarnation: Unix milliseconds. If the clock stepped back, what others remember raises it.
    pub incarnation: u64,
    /// What it tells of itself.
    pub record: Record,
}

/// What became known.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A member's state changed, or it is new: its name, what it was, what it is, and how that is known.
    Changed(Arc<str>, Option<State>, State, Source),
    /// Somebody said that this member is suspect or failed; it denied that.
    Denied,
    /// This member stood still for so long.
    Stalled(Micros),
    /// The name is that of two processes, at these addresses.
    Conflict(Arc<str>, SocketAddr, SocketAddr),
    /// This member's own name is another's, that began earlier: it stays quiet.
    Yielded,
    /// This member stands otherwise to the group than before.
    Stands(Part),
}

/// What another part of the program said at another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// The member.
    pub from: Arc<str>,
    /// Its process.
    pub instance: u64,
    /// Which part of the program it is for.
    pub channel: u8,
    /// What it says. Danger: any bytes.
    pub bytes: Vec<u8>,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Packets sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Packets taken.
    pub taken: u64,
    /// Packets that could not be read, or are out of bounds.
    pub garbage: u64,
    /// Packets of another version.
    pub other_version: u64,
    /// Packets of another group.
    pub other_group: u64,
    /// Packets that came again.
    pub replayed: u64,
    /// Claims that no member could have made.
    pub absurd: u64,
    /// Probes begun.
    pub probes: u64,
    /// Probes that nobody answered.
    pub unanswered: u64,
    /// Suspicions begun here.
    pub accusations: u64,
    /// Times that this member denied being gone.
    pub denials: u64,
    /// Times that it stood still.
    pub stalls: u64,
    /// Names seen at two addresses.
    pub conflicts: u64,
    /// Claims for which there was no room.
    pub crowded: u64,
}

struct Probe {
    number: u64,
    target: Arc<str>,
    sent: Micros,
    /// When others are asked, and whether they were.
    direct_until: Micros,
    through_others: bool,
    /// When it is asked again: one lost packet must not make a suspect.
    again: Micros,
    repeated: bool,
    until: Micros,
}

/// A probe made for another.
struct Sought {
    /// The number that the other gave, and where it is.
    number: u64,
    asker: SocketAddr,
    at: Micros,
}

/// One member's view of its group.
pub struct Membership {
    set: Settings,
    group: u64,
    own: Claim,
    load: u16,
    seeds: Vec<SocketAddr>,
    rng: Pcg32,
    now: Micros,
    began: Micros,
    stamp: u64,
    number: u64,
    table: Table,
    gossip: Gossip,
    health: Health,
    probe: Option<Probe>,
    sought: BTreeMap<u64, Sought>,
    /// Members still to be probed in this round, in random order (SWIM 4.3).
    round: Vec<Arc<str>>,
    next_probe: Micros,
    next_sync: Micros,
    /// Where the next exchange of tables goes on.
    page: usize,
    /// When another first answered, or the patience for that was over.
    joined: Option<Micros>,
    /// The last sixteen probes: a bit for each that had to be sent again.
    repeats: u16,
    /// The last four probes: a bit for each that nobody answered.
    recent: u8,
    /// When the last packet came that answered something of ours, and when any came.
    answered: Option<Micros>,
    heard: Option<Micros>,
    /// Members that may be under suspicion.
    suspects: BTreeSet<Arc<str>>,
    /// Members as they count for a share, by the table's count of changes.
    counted: Option<(u64, (usize, usize))>,
    /// Another process with our name, and how often it outdid us.
    twin: Option<(u64, u32)>,
    yielded: Option<Micros>,
    left: bool,
    held: Held,
    part: Part,
    stats: Stats,
    /// Packets to send, and where.
    pub packets: VecDeque<(SocketAddr, Vec<u8>)>,
    /// What came for other parts of the program.
    pub notes: VecDeque<Note>,
    /// What became known.
    pub events: VecDeque<Event>,
}

impl Membership {
    /// One that knows nobody yet but the addresses of its seeds.
    pub fn new(own: Own, set: Settings, seeds: Vec<SocketAddr>, seed: u64, now: Micros) -> Membership {
        let Own { name, address, instance, incarnation, record } = own;
        let own = Claim { name, address, instance, incarnation, state: State::Alive, record };
        let seeds: Vec<SocketAddr> = seeds.into_iter().filter(|s| *s != address).collect();
        Membership {
            group: wire::group(&set.group),
            own,
            load: 0,
            rng: Pcg32::seed_from_u64(seed),
            now,
            began: now,
            stamp: 0,
            number: 0,
            table: Table::default(),
            gossip: Gossip::default(),
            health: Health::default(),
            probe: None,
            sought: BTreeMap::new(),
            round: Vec::new(),
            next_probe: now,
            next_sync: now,
            page: 0,
            joined: None,
            repeats: 0,
            recent: 0,
            answered: None,
            heard: None,
            suspects: BTreeSet::new(),
            counted: None,
            twin: None,
            yielded: None,
            left: false,
            held: Held::default(),
            part: Part::Joining,
            stats: Stats::default(),
            packets: VecDeque::new(),
            notes: VecDeque::new(),
            events: VecDeque::new(),
            seeds,
            set,
        }
    }

    // ---- What is known ----

    /// All others, by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.members.values()
    }

    /// This member's claim about itself.
    pub fn own(&self) -> &Claim {
        &self.own
    }

    /// Counts since the start.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// How this member itself does: 0 is well, 8 the worst.
    pub fn health(&self) -> u32 {
        self.health.score()
    }

    /// Claims that wait to be passed on.
    pub fn waiting(&self) -> usize {
        self.gossip.len()
    }

    /// The digest of this member's view.
    pub fn digest(&self) -> u64 {
        self.table.digest() ^ wire::digest(&self.own)
    }

    /// Members that are alive or suspect, this one among them.
    pub fn alive(&self) -> usize {
        self.table.counts().0 + 1
    }

    /// How this member stands, and whether the views agree.
    pub fn agreement(&self) -> Agreement {
        let digest = self.digest();
        let (up, silent) = self.table.counts();
        let same = self.members().filter(|m| m.is_up() && m.heard.is_some() && m.digest == digest).count();
        Agreement { part: self.part, digest, alive: up + 1, silent, same }
    }

    /// A common budget is divided by this here: rises at once, falls after the hold ([`crate::standing`]).
    pub fn divisor(&mut self, now: Micros) -> usize {
        self.now = self.now.max(now);
        self.stand();
        let (up, silent) = self.counted();
        let part = if self.yielded.is_some() { Part::Joining } else { self.part };
        // Danger: one that is cut off takes time to find all others silent. Two of its last four probes without an answer
        // are enough to take no more than one of `expected`; one that never met another may be cut off from its start.
        let sure = (self.recent & 0xf).count_ones() < 2 && self.answered.is_some();
        let raw = divisor(part, sure, up, silent, self.set.expected);
        self.held.update(self.now, self.set.hold, raw)
    }

    /// The place of this member among those that hold a part, by name: from 0, under the divisor.
    pub fn place(&self) -> usize {
        self.members().filter(|m| m.state != State::Left && m.name < self.own.name).count()
    }

    /// When something is next to be done.
    pub fn due(&self) -> Micros {
        // The next probe waits for the one that is open.
        let open = |p: &Probe| p.until.min(p.direct_until).min(p.again);
        let probe = self.probe.as_ref().map_or(self.next_probe, open);
        let suspect = |name| self.table.members.get(name)?.suspicion.as_ref();
        let suspicions = self.suspects.iter().filter_map(suspect).map(|s| s.due(ENOUGH));
        let joining = self.joined.is_none().then_some(self.began + self.set.join_patience);
        let all = suspicions.chain(joining).chain([probe, self.next_sync, self.held.due()]);
        if self.left { Micros::MAX } else { all.min().unwrap_or(Micros::MAX) }
    }

    // ---- What the host tells ----

    /// Tells others something new of this member.
    pub fn tell(&mut self, record: Record, load: u16) {
        self.load = load.min(1_000);
        if record != self.own.record {
            self.own.record = record;
            self.own.incarnation += 1;
            self.gossip.add(self.own.clone());
        }
    }

    /// Takes in members that the host knows from elsewhere. They are as good as told by others, and are not passed on.
    pub fn introduce<'a>(&mut self, now: Micros, claims: impl Iterator<Item = &'a Claim>) {
        self.now = self.now.max(now);
        for claim in claims.filter(|c| c.name != self.own.name) {
            self.table.merge(self.now, claim, Source::Told, self.set.most_members);
        }
    }

    /// Tells one member something for another part of the program; false if it is not up, or this is too long. It may get
    /// lost, come late, or come out of order, and never comes twice to one process.
    pub fn note(&mut self, now: Micros, to: &str, channel: u8, bytes: Vec<u8>) -> bool {
        self.now = self.now.max(now);
        let up =
            self.table.members.get(to).filter(|m| m.is_up() && bytes.len() <= wire::MOST_NOTE && !self.left);
        let Some(address) = up.map(|m| m.address) else { return false };
        self.send(address, &Body::Note { channel, bytes }, None);
        true
    }

    /// Leaves on purpose: some are told at once, they tell the rest. Nothing is sent or taken after this.
    pub fn leave(&mut self, now: Micros) {
        if self.left {
            return;
        }
        self.now = self.now.max(now);
        self.own.state = State::Left;
        let mut to = self.up_addresses();
        self.shuffle(&mut to);
        let quiet = self.yielded.is_some();
        for address in to.into_iter().take(if quiet { 0 } else { FAREWELLS }) {
            self.send(address, &Body::Claims, None);
        }
        self.left = true;
    }

    /// Does what is due.
    pub fn advance(&mut self, now: Micros) {
        if self.left {
            return;
        }
        let due = self.due();
        self.now = self.now.max(now);
        let late = self.now.saturating_sub(due);
        // Danger: one that stood still would hold others to account for its own silence. What was open is dropped, and
        // suspicions run on only for the time in which a denial could have been heard.
        if late > STALL * self.set.probe_timeout && due > 0 {
            self.stats.stalls += 1;
            self.health.stalled();
            self.probe = None;
            self.sought.clear();
            for name in &self.suspects {
                let member = self.table.members.get_mut(name);
                member.and_then(|m| m.suspicion.as_mut()).into_iter().for_each(|s| s.began += late);
            }
            self.next_probe = self.now;
            self.event(Event::Stalled(late));
        }
        if self.now >= self.began + self.set.join_patience {
            self.joined.get_or_insert(self.now);
        }
        // One that stayed quiet for long looks again whether its name is free.
        if self.yielded.is_some_and(|since| self.now >= since + 4 * self.set.hold) {
            (self.yielded, self.twin) = (None, None);
        }
        self.probes();
        self.suspicions();
        if self.now >= self.next_sync {
            self.next_sync = self.now + self.set.sync_every / 2 + self.below(self.set.sync_every);
            self.sync();
            self.forget();
        }
        self.stand();
    }

    /// Takes a packet in.
    pub fn received(&mut self, now: Micros, from: SocketAddr, packet: &[u8]) {
        self.now = self.now.max(now);
        if self.left {
            return;
        }
        let Packet { header, body, claims } = match wire::read(packet, self.group) {
            Ok(packet) => packet,
            Err(why) => {
                *match why {
                    Unread::Garbage | Unread::Bounds => &mut self.stats.garbage,
                    Unread::Version(_) => &mut self.stats.other_version,
                    Unread::Group => &mut self.stats.other_group,
                } += 1;
                return;
            }
        };
        let sender = header.own.name.clone();
        if sender == self.own.name {
            // Our own packet come back, or a twin's: claims about our name tell which.
            if header.own.instance != self.own.instance {
                self.about_own(&header.own);
            }
            return;
        }
        if !self.listen(&header, from) {
            return;
        }
        self.stats.taken += 1;
        for claim in claims.iter().take(128) {
            self.claim(claim, Source::Told, &sender);
        }
        match body {
            Body::Ping { number, target } => {
                if target == self.own.name {
                    self.reply(from, &Body::Ack { number }, &sender);
                }
            }
            Body::Ack { number } => self.answer(number, &sender),
            Body::Seek { number, target, .. } => self.seek(number, from, target),
            Body::Hello { answer } => {
                let same = header.digest == self.digest();
                if !answer {
                    self.reply(from, &Body::Hello { answer: true }, &sender);
                } else {
                    self.met();
                }
                // Who asked goes on, so that one exchange is under way and not two.
                if !same && answer {
                    self.differ(from, &sender);
                }
            }
            Body::Differ { marks, answer } => {
                if let Some(member) = self.table.members.get_mut(&sender) {
                    member.compares = Compares::Yes;
                }
                let own = self.marks();
                if !answer {
                    self.reply(from, &Body::Differ { marks: own.to_vec(), answer: true }, &sender);
                }
                let differs = |name: &str| {
                    let mark = wire::mark_of(name);
                    marks.get(mark) != Some(&own[mark])
                };
                self.pages(from, differs);
            }
            Body::Note { channel, bytes } => {
                if self.notes.len() < MOST_NOTES {
                    self.notes.push_back(Note {
                        from: sender,
                        instance: header.own.instance,
                        channel,
                        bytes,
                    });
                }
            }
            Body::Claims => {}
        }
        self.stand();
    }

    /// Takes note of the sender of a packet; false if the packet is a replay.
    fn listen(&mut self, header: &Header, from: SocketAddr) -> bool {
        let mut own = header.own.clone();
        // Where it is heard is where it is; a member behind a relay may not know.
        own.address = from;
        if own.state != State::Left {
            own.state = State::Alive;
        }
        if let Some(known) = self.table.members.get_mut(&own.name) {
            if own.instance == known.instance {
                if !known.window.take(self.now, header.stamp) {
                    self.stats.replayed += 1;
                    return false;
                }
                if known.heard.replace(self.now).is_none() {
                    self.table.changes += 1;
                }
                self.heard = Some(self.now);
                if known.is_up() {
                    known.address = from;
                }
            } else if known.is_up()
                && known.heard.is_some_and(|at| at + self.set.hold > self.now)
                && known.address != from
            {
                let (name, old) = (own.name.clone(), known.address);
                if own.incarnation > known.incarnation {
                    self.stats.conflicts += 1;
                    self.event(Event::Conflict(name, old, from));
                }
            }
        }
        self.claim(&own, Source::Direct, &own.name);
        if let Some(known) = self.table.members.get_mut(&own.name)
            && known.instance == own.instance
        {
            if known.heard.replace(self.now).is_none() {
                self.table.changes += 1;
            }
            self.heard = Some(self.now);
            known.window.take(self.now, header.stamp);
            (known.digest, known.load) = (header.digest, header.load);
        }
        true
    }

    // ---- Where this member stands ----

    fn stand(&mut self) {
        let (up, silent) = self.table.counts();
        let window = self.set.hold;
        let recent = |at: Option<Micros>| at.is_some_and(|at| at + window > self.now);
        // Others are up in the table until they have failed there; one that nobody answers may not rely on it.
        let answering =
            if up == 0 || recent(self.answered) || self.now < self.began + window { up } else { 0 };
        let heard = recent(self.heard);
        // The rest of the group must have heard of one that joins before it takes a part.
        let joined = self.joined.is_some_and(|at| at + window <= self.now);
        let part = Part::of(joined, up + silent, answering, heard);
        if part != self.part {
            self.part = part;
            self.event(Event::Stands(part));
        }
    }

    // ---- Sending ----

    fn reply(&mut self, to: SocketAddr, body: &Body, sender: &Arc<str>) {
        // One that we hold for gone hears of it first, and can deny it.
        let known = self.table.members.get(sender).filter(|m| m.state != State::Alive).map(Member::claim);
        self.send(to, body, known);
    }

    fn send(&mut self, to: SocketAddr, body: &Body, first: Option<Claim>) {
        let claims = self.gossip.next(first);
        let count = self.post(to, body, &claims);
        let copies = self.set.copies(self.table.counts().0);
        self.gossip.sent(&claims[..count], copies);
    }

    /// Writes a packet; the number of claims in it.
    fn post(&mut self, to: SocketAddr, body: &Body, claims: &[Claim]) -> usize {
        if self.yielded.is_some() || self.packets.len() >= MOST_OUT {
            return 0;
        }
        self.stamp += 1;
        let header = Header {
            group: self.group,
            own: self.own.clone(),
            stamp: self.stamp,
            digest: self.digest(),
            alive: (self.table.counts().0 + 1).min(usize::from(u16::MAX)) as u16,
            load: self.load,
        };
        let (packet, count) = wire::write(&header, body, claims);
        self.stats.sent += 1;
        self.stats.sent_bytes += packet.len() as u64;
        self.packets.push_back((to, packet));
        count
    }

    fn event(&mut self, event: Event) {
        if self.events.len() < MOST_OUT {
            self.events.push_back(event);
        }
    }

    fn up_addresses(&self) -> Vec<SocketAddr> {
        self.members().filter(|m| m.is_up()).map(|m| m.address).collect()
    }

    fn number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    fn below(&mut self, most: u64) -> u64 {
        if most == 0 { 0 } else { u64::from(self.rng.next_u32()) % most }
    }

    fn shuffle<T>(&mut self, list: &mut [T]) {
        for at in (1..list.len()).rev() {
            let other = self.below(at as u64 + 1) as usize;
            list.swap(at, other);
        }
    }
}
