//! The subscriber's decisions: which service to follow, which version to take, turn down, keep or give up.
//!
//! Told what happens (connections, messages, checks done, time), it leaves [`Step`]s to be carried out. It has no
//! socket, no disk and no clock. What it promises, whatever the other side sends:
//!
//! - nothing runs that was not checked;
//! - after a version has run, no lower one does, but for the last good one when a trial fails;
//! - each nonce gets one ACK or NACK, as long as its connection lives;
//! - of a version, all is taken or nothing.

use crate::backoff::Backoff;
use crate::snapshot::{Assembly, Snapshot, content};
use crate::trial::{Guard, Rules, Verdict};
use crate::wire::{Code, Entry, Fault, FromService, Health, Hello, MOST_FAULTS, PROTOCOL, ToService};
use crate::{Digest, Kind, Version};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// Given-up versions remembered.
const MOST_REFUSED: usize = 32;

/// What a subscriber is told at its start.
#[derive(Clone, Debug)]
pub struct Options {
    /// The instance's name and labels.
    pub instance: String,
    /// What the instance says of itself.
    pub labels: BTreeMap<String, String>,
    /// The services, tried in turn.
    pub services: Vec<SocketAddr>,
    /// Bounds of the waits between connections, in microseconds.
    pub backoff: (u64, u64),
    /// A connection without a word for this long is dead, in microseconds.
    pub silence: u64,
    /// How trials go.
    pub trial: Rules,
    /// The largest version taken, in bytes.
    pub most_bytes: u64,
    /// There is something to run without any version: the instance's own file.
    pub has_base: bool,
    /// For random waits.
    pub seed: u64,
}

/// A service that was followed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leader {
    /// Its epoch.
    pub epoch: u64,
    /// Its store's id.
    pub store: String,
}

/// What must outlive the process, beside the versions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Memory {
    /// The service with the highest epoch that was followed.
    pub leader: Leader,
    /// The highest version that ran.
    pub highest: Version,
    /// The digest of what it held.
    pub content: Option<Digest>,
    /// Versions that were given up after a trial.
    pub refused: VecDeque<Version>,
}

/// Names an offer: the connection that it came on, and its nonce there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// The connection, counted from 1.
    pub connection: u64,
    /// The offer's nonce.
    pub nonce: u64,
}

/// Why a connection is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It never came up, or was never welcomed.
    NeverUp,
    /// No word for too long.
    Silent,
    /// The service broke the protocol; says how.
    Protocol(&'static str),
    /// The service has a lower epoch than one that was followed.
    OlderEpoch,
    /// Another service with the same epoch was followed.
    Rival,
    /// The service would not have this subscriber.
    TurnedAway,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Connect to a service.
    Connect(SocketAddr),
    /// End the connection.
    Disconnect(Ending),
    /// Send a message.
    Send(ToService),
    /// Check a version, keep it as the one on trial, and say so by `checked`.
    Check(Ticket, Arc<Snapshot>),
    /// Take a version that was checked into use, and say so by `applied`.
    Apply(Ticket, Arc<Snapshot>),
    /// The version on trial is the last good one from now on.
    Keep(Version, Verdict),
    /// Go back to the last good version, or with `None` to the instance's own file.
    Return(Option<Arc<Snapshot>>, Version, Verdict),
    /// Keep this.
    Remember(Memory),
    /// A version was turned down; for logs.
    TurnedDown(Version, Code, Vec<Fault>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Link {
    /// The next attempt is due then.
    Down { at: u64 },
    /// Being connected since then.
    Rising { since: u64 },
    /// Up; last heard, and when the next sign of life is due. The heartbeat is 0 until welcomed.
    Up { heard: u64, beat_at: u64, heartbeat: u64 },
}

/// The state machine.
pub struct Subscriber {
    options: Options,
    link: Link,
    service: usize,
    connection: u64,
    backoff: Backoff,
    memory: Memory,
    running: Option<Arc<Snapshot>>,
    good: Option<Arc<Snapshot>>,
    last_nonce: u64,
    assembly: Option<Assembly>,
    /// An offer that was turned down and is still being sent.
    ignored: Option<u64>,
    /// Being checked, or checked and being applied.
    checking: Option<(Ticket, Arc<Snapshot>)>,
    /// Next to be checked.
    waiting: Option<(Ticket, Arc<Snapshot>)>,
    guard: Guard,
    health: Health,
    heard_at: Option<u64>,
    /// What is to be done, in order.
    pub steps: VecDeque<Step>,
}

impl Subscriber {
    /// Starts with what was kept: what is remembered, and the version that runs, which is the last good one unless it
    /// is on trial.
    pub fn new(
        options: Options,
        now: u64,
        memory: Memory,
        running: Option<Snapshot>,
        good: Option<Snapshot>,
    ) -> Subscriber {
        let mut backoff = Backoff::new(options.backoff.0, options.backoff.1, options.seed);
        // Many may start at one moment.
        let at = now + backoff.next_wait();
        backoff.reset();
        let guard = Guard::new(options.trial);
        let (running, good) = (running.map(Arc::new), good.map(Arc::new));
        let mut memory = memory;
        memory.highest = memory.highest.max(running.as_ref().map(|r| r.version).unwrap_or_default());
        let mut it = Subscriber {
            service: (options.seed % options.services.len().max(1) as u64) as usize,
            options,
            link: Link::Down { at },
            connection: 0,
            backoff,
            memory,
            running,
            good,
            last_nonce: 0,
            assembly: None,
            ignored: None,
            checking: None,
            waiting: None,
            guard,
            health: Health::default(),
            heard_at: None,
            steps: VecDeque::new(),
        };
        if it.version() != it.good.as_ref().map(|g| g.version) {
            it.guard.begin(now, it.health);
        }
        it
    }

    /// The version that runs.
    pub fn version(&self) -> Option<Version> {
        self.running.as_ref().map(|r| r.version)
    }

    /// What runs.
    pub fn running(&self) -> Option<&Snapshot> {
        self.running.as_deref()
    }

    /// The last good version.
    pub fn good(&self) -> Option<Version> {
        self.good.as_ref().map(|g| g.version)
    }

    /// Whether the running version is on trial.
    pub fn on_trial(&self) -> bool {
        self.guard.watches()
    }

    /// What is remembered.
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    /// For how long no service has been heard, in microseconds; `None` if never.
    pub fn stale_for(&self, now: u64) -> Option<u64> {
        self.heard_at.map(|at| now.saturating_sub(at))
    }

    /// Whether a service is connected and has welcomed this subscriber.
    pub fn connected(&self) -> bool {
        matches!(self.link, Link::Up { heartbeat: 1.., .. })
    }

    /// When `advance` next has something to do.
    pub fn due(&self) -> u64 {
        let silent = |since: u64| since + self.options.silence;
        let link = match self.link {
            Link::Down { at } => at,
            Link::Rising { since } => silent(since),
            Link::Up { heard, beat_at, heartbeat } => {
                silent(heard).min(if heartbeat > 0 { beat_at } else { u64::MAX })
            }
        };
        link.min(self.guard.due())
    }

    /// Time has passed; so many answers were given by now.
    pub fn advance(&mut self, now: u64, health: Health) {
        self.health = health;
        match self.link {
            Link::Down { at } if now >= at && !self.options.services.is_empty() => {
                self.link = Link::Rising { since: now };
                self.connection += 1;
                self.steps.push_back(Step::Connect(self.options.services[self.service]));
            }
            Link::Rising { since } if now >= since + self.options.silence => {
                self.disconnect(now, Ending::NeverUp)
            }
            Link::Up { heard, .. } if now >= heard + self.options.silence => {
                self.disconnect(now, Ending::Silent)
            }
            Link::Up { heard, beat_at, heartbeat } if heartbeat > 0 && now >= beat_at => {
                self.link = Link::Up { heard, beat_at: now + heartbeat, heartbeat };
                self.send(ToService::Beat { running: self.version(), health });
            }
            _ => {}
        }
        if let Some(verdict) = self.guard.look(now, health) {
            self.judged(verdict);
        }
    }

    fn send(&mut self, message: ToService) {
        self.steps.push_back(Step::Send(message));
    }

    // ---- The connection ----

    /// The connection is up.
    pub fn connected_now(&mut self, now: u64) {
        self.link = Link::Up { heard: now, beat_at: u64::MAX, heartbeat: 0 };
        (self.last_nonce, self.assembly, self.ignored) = (0, None, None);
        self.send(ToService::Hello(Hello {
            protocol: PROTOCOL,
            instance: self.options.instance.clone(),
            labels: self.options.labels.clone(),
            running: self.version(),
            highest: self.memory.highest,
            epoch: self.memory.leader.epoch,
            holds: self.running.as_ref().map(|r| r.holds()).unwrap_or_default(),
            refused: self.memory.refused.iter().copied().collect(),
        }));
    }

    /// The connection is gone, or never came up.
    pub fn lost(&mut self, now: u64) {
        // What is being checked goes on: the version may still run; its ACK has nowhere to go.
        (self.assembly, self.ignored, self.waiting) = (None, None, None);
        self.service = (self.service + 1) % self.options.services.len().max(1);
        self.link = Link::Down { at: now + self.backoff.next_wait() };
    }

    fn disconnect(&mut self, now: u64, why: Ending) {
        self.steps.push_back(Step::Disconnect(why));
        self.lost(now);
    }

    /// A message has come.
    pub fn received(&mut self, now: u64, message: FromService) {
        let Link::Up { beat_at, heartbeat, .. } = self.link else { return };
        self.link = Link::Up { heard: now, beat_at, heartbeat };
        if heartbeat == 0 {
            return self.first(now, message);
        }
        self.heard_at = Some(now);
        match message {
            FromService::Offer { nonce, version, entries } => self.offered(now, nonce, version, entries),
            FromService::Part { nonce, kind, text } => self.part(now, nonce, kind, &text),
            FromService::End { nonce } => self.end(now, nonce),
            FromService::Beat {} => {}
            FromService::Welcome { .. } => self.disconnect(now, Ending::Protocol("a second welcome")),
            FromService::Refused { .. } => self.disconnect(now, Ending::TurnedAway),
        }
    }

    /// The first message decides whether this service is followed.
    fn first(&mut self, now: u64, message: FromService) {
        let FromService::Welcome { protocol, store, epoch, heartbeat_us } = message else {
            let refused = matches!(message, FromService::Refused { .. });
            let why = if refused { Ending::TurnedAway } else { Ending::Protocol("no welcome") };
            return self.disconnect(now, why);
        };
        let leader = &self.memory.leader;
        let why = if protocol != PROTOCOL || heartbeat_us == 0 {
            Some(Ending::Protocol("another version of the protocol"))
        } else if epoch < leader.epoch {
            Some(Ending::OlderEpoch)
        } else if epoch == leader.epoch && store != leader.store && !leader.store.is_empty() {
            Some(Ending::Rival)
        } else {
            None
        };
        if let Some(why) = why {
            return self.disconnect(now, why);
        }
        let leader = Leader { epoch, store };
        if leader != self.memory.leader {
            self.memory.leader = leader;
            self.remember();
        }
        self.backoff.reset();
        self.heard_at = Some(now);
        let heartbeat = heartbeat_us.clamp(1_000, 600_000_000);
        self.link = Link::Up { heard: now, beat_at: now, heartbeat };
    }

    fn remember(&mut self) {
        self.steps.push_back(Step::Remember(self.memory.clone()));
    }

    // ---- Versions ----

    fn ticket(&self, nonce: u64) -> Ticket {
        Ticket { connection: self.connection, nonce }
    }

    fn ack(&mut self, ticket: Ticket, version: Version) {
        if ticket.connection == self.connection && matches!(self.link, Link::Up { .. }) {
            self.send(ToService::Ack { nonce: ticket.nonce, version });
        }
    }

    fn nack(&mut self, ticket: Ticket, version: Version, code: Code, mut faults: Vec<Fault>) {
        faults.truncate(MOST_FAULTS);
        self.steps.push_back(Step::TurnedDown(version, code, faults.clone()));
        if ticket.connection == self.connection && matches!(self.link, Link::Up { .. }) {
            self.send(ToService::Nack { nonce: ticket.nonce, version, code, faults });
        }
    }

    /// Why a version is not to run, whatever its types say.
    fn unwanted(&self, version: Version, content: &Digest) -> Option<(Code, String)> {
        if self.memory.refused.contains(&version) {
            return Some((Code::Refused, "ran here and was given up".to_string()));
        }
        let highest = self.memory.highest;
        if version < highest && self.version() != Some(version) {
            return Some((Code::OutOfOrder, format!("{highest} has run here")));
        }
        let running = self.running.as_ref().filter(|r| r.version == version).map(|r| r.content());
        let known = (version == highest).then(|| self.memory.content.clone()).flatten();
        let other = running.or(known).is_some_and(|c| c != *content);
        other.then(|| (Code::Conflict, "has run here with another content".to_string()))
    }

    fn offered(&mut self, now: u64, nonce: u64, version: Version, entries: Vec<Entry>) {
        if nonce <= self.last_nonce {
            return self.disconnect(now, Ending::Protocol("a nonce that does not go up"));
        }
        self.last_nonce = nonce;
        self.ignored = None;
        if let Some(old) = self.assembly.take() {
            let why = Fault { key: "(the whole)".to_string(), why: format!("{version} came before its end") };
            self.nack(self.ticket(old.nonce), old.version, Code::Superseded, vec![why]);
        }
        let ticket = self.ticket(nonce);
        let unfit = match self.unwanted(version, &content(entries.iter().map(|e| (e.kind, &e.digest)))) {
            Some((code, why)) => Err((code, Fault { key: "version".to_string(), why })),
            None if version.epoch > self.memory.leader.epoch => {
                let why =
                    format!("is of an epoch that the service, with {}, has not", self.memory.leader.epoch);
                Err((Code::Damaged, Fault { key: "version".to_string(), why }))
            }
            None => {
                Assembly::begin((nonce, version), entries, self.running.as_deref(), self.options.most_bytes)
            }
        };
        match unfit {
            Ok(assembly) => self.assembly = Some(assembly),
            Err((code, fault)) => {
                self.ignored = Some(nonce);
                self.nack(ticket, version, code, vec![fault]);
            }
        }
    }

    fn part(&mut self, now: u64, nonce: u64, kind: Kind, text: &str) {
        if self.ignored == Some(nonce) {
            return;
        }
        let Some(assembly) = self.assembly.as_mut().filter(|a| a.nonce == nonce) else {
            return self.disconnect(now, Ending::Protocol("a part of nothing"));
        };
        if let Err((code, fault)) = assembly.part(kind, text) {
            let version = assembly.version;
            (self.assembly, self.ignored) = (None, Some(nonce));
            self.nack(self.ticket(nonce), version, code, vec![fault]);
        }
    }

    fn end(&mut self, now: u64, nonce: u64) {
        if self.ignored == Some(nonce) {
            self.ignored = None;
            return;
        }
        let Some(assembly) = self.assembly.take_if(|a| a.nonce == nonce) else {
            return self.disconnect(now, Ending::Protocol("an end of nothing"));
        };
        let (ticket, version) = (self.ticket(nonce), assembly.version);
        match assembly.end() {
            Err((code, fault)) => self.nack(ticket, version, code, vec![fault]),
            Ok(snapshot) => {
                if let Some((old, snapshot)) = self.waiting.take() {
                    let why = format!("{version} came before it was checked");
                    let fault = Fault { key: "(the whole)".to_string(), why };
                    self.nack(old, snapshot.version, Code::Superseded, vec![fault]);
                }
                self.waiting = Some((ticket, Arc::new(snapshot)));
                self.check_next();
            }
        }
    }

    /// Begins to check what waits, once nothing else is being checked.
    fn check_next(&mut self) {
        if self.checking.is_some() {
            return;
        }
        let Some((ticket, snapshot)) = self.waiting.take() else { return };
        // What ran before may have changed since it was offered.
        if let Some((code, why)) = self.unwanted(snapshot.version, &snapshot.content()) {
            let fault = Fault { key: "version".to_string(), why };
            return self.nack(ticket, snapshot.version, code, vec![fault]);
        }
        if self.version() == Some(snapshot.version) {
            return self.ack(ticket, snapshot.version);
        }
        self.checking = Some((ticket, snapshot.clone()));
        self.steps.push_back(Step::Check(ticket, snapshot));
    }

    /// The check of a version, and its keeping on disk, came to this.
    pub fn checked(&mut self, ticket: Ticket, result: Result<(), (Code, Vec<Fault>)>) {
        let Some((_, snapshot)) = self.checking.as_ref().filter(|(t, _)| *t == ticket) else { return };
        match result {
            Ok(()) => self.steps.push_back(Step::Apply(ticket, snapshot.clone())),
            Err((code, faults)) => self.turned_down(ticket, code, faults),
        }
    }

    fn turned_down(&mut self, ticket: Ticket, code: Code, faults: Vec<Fault>) {
        if let Some((_, snapshot)) = self.checking.take() {
            self.nack(ticket, snapshot.version, code, faults);
        }
        self.check_next();
    }

    /// A version that was checked is in use now, or could not be taken into use.
    pub fn applied(&mut self, now: u64, ticket: Ticket, result: Result<(), (Code, Vec<Fault>)>) {
        if self.checking.as_ref().is_none_or(|(t, _)| *t != ticket) {
            return;
        }
        if let Err((code, faults)) = result {
            return self.turned_down(ticket, code, faults);
        }
        let Some((_, snapshot)) = self.checking.take() else { return };
        let version = snapshot.version;
        if version >= self.memory.highest {
            (self.memory.highest, self.memory.content) = (version, Some(snapshot.content()));
        }
        self.running = Some(snapshot);
        self.remember();
        self.ack(ticket, version);
        if self.options.trial.length == 0 {
            self.judged(Verdict::Untested);
        } else {
            self.guard.begin(now, self.health);
        }
        self.check_next();
    }

    /// A trial is over.
    fn judged(&mut self, verdict: Verdict) {
        let Some(running) = self.running.clone() else { return };
        let version = running.version;
        let worse = matches!(verdict, Verdict::Worse { .. });
        // With nothing to go back to, what runs is better than nothing.
        if !worse || (self.good.is_none() && !self.options.has_base) {
            self.good = Some(running);
            return self.steps.push_back(Step::Keep(version, verdict));
        }
        self.running = self.good.clone();
        self.memory.refused.push_back(version);
        if self.memory.refused.len() > MOST_REFUSED {
            self.memory.refused.pop_front();
        }
        let why = match &verdict {
            Verdict::Worse { before, after, answers } => format!(
                "{:.1}% of {answers} answers were refused or failed, {:.1}% before",
                after * 100.0,
                before * 100.0
            ),
            Verdict::Passed | Verdict::Untested => String::new(),
        };
        self.steps.push_back(Step::Return(self.running.clone(), version, verdict));
        self.remember();
        if self.connected() {
            self.send(ToService::Reverted { version, running: self.version(), why });
        }
    }

    /// Another process of this dispatcher took a version into use, and this one follows it.
    pub fn follow(&mut self, running: Option<Snapshot>, good: Option<Snapshot>, memory: Memory) {
        let version = running.as_ref().map(|r| r.version).unwrap_or_default();
        (self.running, self.good) = (running.map(Arc::new), good.map(Arc::new));
        self.memory = memory;
        self.memory.highest = self.memory.highest.max(version);
        self.guard.abandon();
    }
}
