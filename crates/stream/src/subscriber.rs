//! The subscriber's state machine: decides which service to follow and which version to accept, reject, keep or roll
//! back.
//!
//! Its inputs are events (connections, messages, results of checks, the passing of time); its outputs are [`Action`]s for
//! the caller to carry out. It uses no socket, no disk and no clock. Whatever the service sends, these invariants hold:
//!
//! - only a version that was checked is applied;
//! - after a version has run, no lower version is applied, except for the last good one when a trial fails;
//! - each nonce is answered by exactly one ACK or NACK while its connection is open;
//! - a version is applied as a whole or not at all.

use crate::backoff::Backoff;
use crate::snapshot::{Assembly, Snapshot, content_digest};
use crate::trial::{Rules, TrialMonitor, Verdict};
use crate::wire::{Code, Entry, Fault, FromService, Health, Hello, MAX_FAULTS, PROTOCOL, ToService};
use crate::{Digest, Kind, Version};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// The number of rolled-back versions that are remembered.
const MAX_REMEMBERED_REFUSALS: usize = 32;
/// The bounds, in microseconds, to which the service's heartbeat interval is clamped: 1 ms to 10 minutes.
const MIN_HEARTBEAT_US: u64 = 1_000;
const MAX_HEARTBEAT_US: u64 = 600_000_000;

/// The configuration of a subscriber.
#[derive(Clone, Debug)]
pub struct Options {
    /// The instance name.
    pub instance: String,
    /// The instance labels, which the service uses to select layers and the canary.
    pub labels: BTreeMap<String, String>,
    /// The addresses of the control services, tried in turn.
    pub services: Vec<SocketAddr>,
    /// The first and the last backoff bound between connection attempts, in microseconds.
    pub backoff: (u64, u64),
    /// A connection is closed after this long without a message, in microseconds.
    pub silence: u64,
    /// The parameters of trials.
    pub trial: Rules,
    /// The maximum size of a version, in bytes.
    pub most_bytes: u64,
    /// Whether the instance can run without any version, on its own configuration file.
    pub has_base: bool,
    /// The seed for the backoff jitter and for the choice of the first service.
    pub seed: u64,
}

/// A control service that this subscriber has followed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowedService {
    /// The service's epoch.
    pub epoch: u64,
    /// The id of the service's store.
    pub store: String,
}

/// The state that must survive a restart of the process, besides the versions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubscriberState {
    /// The service with the highest epoch that has been followed.
    pub leader: FollowedService,
    /// The highest version that has run.
    pub highest: Version,
    /// The content digest of that version.
    pub content: Option<Digest>,
    /// Versions that were rolled back after a trial.
    pub refused: VecDeque<Version>,
}

/// Identifies an offer: the connection on which it arrived, and its nonce on that connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OfferId {
    /// The number of the connection, counted from 1.
    pub connection: u64,
    /// The offer's nonce.
    pub nonce: u64,
}

/// The reason why the subscriber closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The connection was not established in time.
    NeverUp,
    /// No message arrived for too long.
    Silent,
    /// The service violated the protocol, as described.
    Protocol(&'static str),
    /// The service has a lower epoch than a service that was followed.
    OlderEpoch,
    /// Another service, with the same epoch but a different store, was followed.
    Rival,
    /// The service refused this subscriber.
    TurnedAway,
}

/// A version that is not used because the instance's own file does not permit it.
#[derive(Clone, Debug, PartialEq)]
pub struct Withdrawal {
    /// The version.
    pub version: Version,
    /// What the file does not permit, by key.
    pub faults: Vec<Fault>,
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Connect to a service.
    Connect(SocketAddr),
    /// Close the connection.
    Disconnect(CloseReason),
    /// Send a message.
    Send(ToService),
    /// Check a version, store it as the one on trial, and report the result with `checked`.
    Check(OfferId, Arc<Snapshot>),
    /// Apply a version that was checked, and report the result with `applied`.
    Apply(OfferId, Arc<Snapshot>),
    /// Promote a version that was on trial to the last good one.
    Promote(Arc<Snapshot>, Verdict),
    /// Roll back from the given version to the last good one, or with `None` to the instance's own file.
    RollBack(Option<Arc<Snapshot>>, Version, Verdict),
    /// Store the memory.
    StoreState(SubscriberState),
    /// Log that a version was rejected.
    Rejected(Version, Code, Vec<Fault>),
    /// Log that the running version was withdrawn; delete it if it was on trial.
    Withdrawn(Withdrawal),
}

/// The state of the connection to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Link {
    /// Disconnected; the next attempt is due at `retry_at`.
    Down { retry_at: u64 },
    /// Connecting since `since`.
    Connecting { since: u64 },
    /// Connected; the last message arrived at `last_received`, and the next heartbeat is due at `beat_at`. The heartbeat
    /// interval is 0 until the service's `Welcome`.
    Up { last_received: u64, beat_at: u64, heartbeat: u64 },
}

/// The state machine of a subscriber.
pub struct Subscriber {
    options: Options,
    link: Link,
    /// The index into `options.services` of the service that is tried or connected.
    service_index: usize,
    connection: u64,
    backoff: Backoff,
    memory: SubscriberState,
    running: Option<Arc<Snapshot>>,
    last_good: Option<Arc<Snapshot>>,
    last_nonce: u64,
    assembly: Option<Assembly>,
    /// The nonce of a rejected offer whose parts are still arriving.
    rejected_nonce: Option<u64>,
    /// The version that is being checked, or was checked and is being applied.
    checking: Option<(OfferId, Arc<Snapshot>)>,
    /// The complete version that is checked next.
    pending_check: Option<(OfferId, Arc<Snapshot>)>,
    trial: TrialMonitor,
    health: Health,
    last_service_message_at: Option<u64>,
    /// The actions to carry out, in order.
    pub steps: VecDeque<Action>,
}

impl Subscriber {
    /// Creates a subscriber from the stored memory and versions. The running version is on trial unless it is the last
    /// good one.
    pub fn new(
        options: Options,
        now: u64,
        memory: SubscriberState,
        running: Option<Snapshot>,
        good: Option<Snapshot>,
    ) -> Subscriber {
        let mut backoff = Backoff::new(options.backoff.0, options.backoff.1, options.seed);
        // Jitter the first attempt too: many subscribers may start at the same moment.
        let retry_at = now + backoff.next_wait();
        backoff.reset();
        let trial = TrialMonitor::new(options.trial);
        let (running, last_good) = (running.map(Arc::new), good.map(Arc::new));
        let mut memory = memory;
        memory.highest = memory.highest.max(running.as_ref().map(|r| r.version).unwrap_or_default());
        let mut subscriber = Subscriber {
            service_index: (options.seed % options.services.len().max(1) as u64) as usize,
            options,
            link: Link::Down { retry_at },
            connection: 0,
            backoff,
            memory,
            running,
            last_good,
            last_nonce: 0,
            assembly: None,
            rejected_nonce: None,
            checking: None,
            pending_check: None,
            trial,
            health: Health::default(),
            last_service_message_at: None,
            steps: VecDeque::new(),
        };
        if subscriber.running.is_some() && subscriber.version() != subscriber.last_good_version() {
            subscriber.trial.begin(now, subscriber.health);
        }
        subscriber
    }

    /// Returns the running version.
    pub fn version(&self) -> Option<Version> {
        self.running.as_ref().map(|r| r.version)
    }

    /// Returns the running snapshot.
    pub fn running(&self) -> Option<&Snapshot> {
        self.running.as_deref()
    }

    /// Returns the last good version.
    pub fn last_good_version(&self) -> Option<Version> {
        self.last_good.as_ref().map(|g| g.version)
    }

    /// Returns whether the running version is on trial.
    pub fn on_trial(&self) -> bool {
        self.trial.is_active()
    }

    /// Returns the state that must survive a restart.
    pub fn memory(&self) -> &SubscriberState {
        &self.memory
    }

    /// Returns the time since the last message of an accepted service, in microseconds; `None` if there was none.
    pub fn stale_for(&self, now: u64) -> Option<u64> {
        self.last_service_message_at.map(|at| now.saturating_sub(at))
    }

    /// Returns whether a service is connected and its `Welcome` was accepted.
    pub fn connected(&self) -> bool {
        matches!(self.link, Link::Up { heartbeat: 1.., .. })
    }

    /// Returns when `advance` next has something to do.
    pub fn next_due(&self) -> u64 {
        let times_out = |since: u64| since + self.options.silence;
        let link = match self.link {
            Link::Down { retry_at } => retry_at,
            Link::Connecting { since } => times_out(since),
            Link::Up { last_received, beat_at, heartbeat } => {
                times_out(last_received).min(if heartbeat > 0 { beat_at } else { u64::MAX })
            }
        };
        link.min(self.trial.next_due())
    }

    /// Acts on the passing of time; `health` counts the final answers so far.
    pub fn advance(&mut self, now: u64, health: Health) {
        self.health = health;
        match self.link {
            Link::Down { retry_at } if now >= retry_at && !self.options.services.is_empty() => {
                self.link = Link::Connecting { since: now };
                self.connection += 1;
                self.steps.push_back(Action::Connect(self.options.services[self.service_index]));
            }
            Link::Connecting { since } if now >= since + self.options.silence => {
                self.disconnect(now, CloseReason::NeverUp)
            }
            Link::Up { last_received, .. } if now >= last_received + self.options.silence => {
                self.disconnect(now, CloseReason::Silent)
            }
            Link::Up { last_received, beat_at, heartbeat } if heartbeat > 0 && now >= beat_at => {
                self.link = Link::Up { last_received, beat_at: now + heartbeat, heartbeat };
                self.send(ToService::Heartbeat { running: self.version(), health });
            }
            _ => {}
        }
        if let Some(verdict) = self.trial.sample(now, health) {
            self.finish_trial(verdict);
        }
    }

    fn send(&mut self, message: ToService) {
        self.steps.push_back(Action::Send(message));
    }

    // ---- The connection ----

    /// Handles an established connection: sends the `Hello`.
    pub fn on_connected(&mut self, now: u64) {
        self.link = Link::Up { last_received: now, beat_at: u64::MAX, heartbeat: 0 };
        (self.last_nonce, self.assembly, self.rejected_nonce) = (0, None, None);
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

    /// Handles a connection that was lost or could not be established: the next service is tried after a backoff.
    pub fn on_connection_lost(&mut self, now: u64) {
        // A check in progress continues, and its version may still be applied; only its ACK can't be sent any more.
        (self.assembly, self.rejected_nonce, self.pending_check) = (None, None, None);
        self.service_index = (self.service_index + 1) % self.options.services.len().max(1);
        self.link = Link::Down { retry_at: now + self.backoff.next_wait() };
    }

    fn disconnect(&mut self, now: u64, why: CloseReason) {
        self.steps.push_back(Action::Disconnect(why));
        self.on_connection_lost(now);
    }

    /// Handles a message from the service.
    pub fn on_message(&mut self, now: u64, message: FromService) {
        let Link::Up { beat_at, heartbeat, .. } = self.link else { return };
        self.link = Link::Up { last_received: now, beat_at, heartbeat };
        if heartbeat == 0 {
            return self.on_first_message(now, message);
        }
        self.last_service_message_at = Some(now);
        match message {
            FromService::Offer { nonce, version, entries } => self.on_offer(now, nonce, version, entries),
            FromService::Part { nonce, kind, text } => self.on_part(now, nonce, kind, &text),
            FromService::End { nonce } => self.on_end(now, nonce),
            FromService::Heartbeat {} => {}
            FromService::Welcome { .. } => self.disconnect(now, CloseReason::Protocol("a second welcome")),
            FromService::Refused { .. } => self.disconnect(now, CloseReason::TurnedAway),
        }
    }

    /// Decides by the first message of a connection whether to follow the service. Epochs must not go down, and at one
    /// epoch only one store is followed: two services could publish the same version with different content.
    fn on_first_message(&mut self, now: u64, message: FromService) {
        let FromService::Welcome { protocol, store, epoch, heartbeat_us } = message else {
            let refused = matches!(message, FromService::Refused { .. });
            let why = if refused { CloseReason::TurnedAway } else { CloseReason::Protocol("no welcome") };
            return self.disconnect(now, why);
        };
        let leader = &self.memory.leader;
        let why = if protocol != PROTOCOL || heartbeat_us == 0 {
            Some(CloseReason::Protocol("another version of the protocol"))
        } else if epoch < leader.epoch {
            Some(CloseReason::OlderEpoch)
        } else if epoch == leader.epoch && store != leader.store && !leader.store.is_empty() {
            Some(CloseReason::Rival)
        } else {
            None
        };
        if let Some(why) = why {
            return self.disconnect(now, why);
        }
        let leader = FollowedService { epoch, store };
        if leader != self.memory.leader {
            self.memory.leader = leader;
            self.remember();
        }
        self.backoff.reset();
        self.last_service_message_at = Some(now);
        let heartbeat = heartbeat_us.clamp(MIN_HEARTBEAT_US, MAX_HEARTBEAT_US);
        self.link = Link::Up { last_received: now, beat_at: now, heartbeat };
    }

    fn remember(&mut self) {
        self.steps.push_back(Action::StoreState(self.memory.clone()));
    }

    // ---- Versions ----

    fn ticket(&self, nonce: u64) -> OfferId {
        OfferId { connection: self.connection, nonce }
    }

    fn ack(&mut self, ticket: OfferId, version: Version) {
        if ticket.connection == self.connection && matches!(self.link, Link::Up { .. }) {
            self.send(ToService::Ack { nonce: ticket.nonce, version });
        }
    }

    fn nack(&mut self, ticket: OfferId, version: Version, code: Code, mut faults: Vec<Fault>) {
        faults.truncate(MAX_FAULTS);
        self.steps.push_back(Action::Rejected(version, code, faults.clone()));
        if ticket.connection == self.connection && matches!(self.link, Link::Up { .. }) {
            self.send(ToService::Nack { nonce: ticket.nonce, version, code, faults });
        }
    }

    /// Returns why a version must not run regardless of the contents of its types, if there is a reason.
    fn rejection(&self, version: Version, content: &Digest) -> Option<(Code, String)> {
        if self.memory.refused.contains(&version) {
            return Some((Code::Refused, "ran here and was given up".to_string()));
        }
        let highest = self.memory.highest;
        if version < highest && self.version() != Some(version) {
            return Some((Code::OutOfOrder, format!("{highest} has run here")));
        }
        let running_content =
            self.running.as_ref().filter(|r| r.version == version).map(|r| r.content_digest());
        let highest_content = (version == highest).then(|| self.memory.content.clone()).flatten();
        let conflicts = running_content.or(highest_content).is_some_and(|known| known != *content);
        conflicts.then(|| (Code::Conflict, "has run here with another content".to_string()))
    }

    fn on_offer(&mut self, now: u64, nonce: u64, version: Version, entries: Vec<Entry>) {
        if nonce <= self.last_nonce {
            return self.disconnect(now, CloseReason::Protocol("a nonce that does not go up"));
        }
        self.last_nonce = nonce;
        self.rejected_nonce = None;
        if let Some(old) = self.assembly.take() {
            let fault =
                Fault { key: "(the whole)".to_string(), why: format!("{version} came before its end") };
            self.nack(self.ticket(old.nonce), old.version, Code::Superseded, vec![fault]);
        }
        let ticket = self.ticket(nonce);
        let content = content_digest(entries.iter().map(|entry| (entry.kind, &entry.digest)));
        let assembly = match self.rejection(version, &content) {
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
        match assembly {
            Ok(assembly) => self.assembly = Some(assembly),
            Err((code, fault)) => {
                self.rejected_nonce = Some(nonce);
                self.nack(ticket, version, code, vec![fault]);
            }
        }
    }

    fn on_part(&mut self, now: u64, nonce: u64, kind: Kind, text: &str) {
        if self.rejected_nonce == Some(nonce) {
            return;
        }
        let Some(assembly) = self.assembly.as_mut().filter(|a| a.nonce == nonce) else {
            return self.disconnect(now, CloseReason::Protocol("a part of nothing"));
        };
        if let Err((code, fault)) = assembly.add_part(kind, text) {
            let version = assembly.version;
            (self.assembly, self.rejected_nonce) = (None, Some(nonce));
            self.nack(self.ticket(nonce), version, code, vec![fault]);
        }
    }

    fn on_end(&mut self, now: u64, nonce: u64) {
        if self.rejected_nonce == Some(nonce) {
            self.rejected_nonce = None;
            return;
        }
        let Some(assembly) = self.assembly.take_if(|a| a.nonce == nonce) else {
            return self.disconnect(now, CloseReason::Protocol("an end of nothing"));
        };
        let (ticket, version) = (self.ticket(nonce), assembly.version);
        match assembly.finish() {
            Err((code, fault)) => self.nack(ticket, version, code, vec![fault]),
            Ok(snapshot) => {
                if let Some((old, snapshot)) = self.pending_check.take() {
                    let why = format!("{version} came before it was checked");
                    let fault = Fault { key: "(the whole)".to_string(), why };
                    self.nack(old, snapshot.version, Code::Superseded, vec![fault]);
                }
                self.pending_check = Some((ticket, Arc::new(snapshot)));
                self.check_next();
            }
        }
    }

    /// Starts the pending check, unless another version is still being checked or applied.
    fn check_next(&mut self) {
        if self.checking.is_some() {
            return;
        }
        let Some((ticket, snapshot)) = self.pending_check.take() else { return };
        // The running and the refused versions may have changed since the offer arrived.
        if let Some((code, why)) = self.rejection(snapshot.version, &snapshot.content_digest()) {
            let fault = Fault { key: "version".to_string(), why };
            return self.nack(ticket, snapshot.version, code, vec![fault]);
        }
        if self.version() == Some(snapshot.version) {
            return self.ack(ticket, snapshot.version);
        }
        self.checking = Some((ticket, snapshot.clone()));
        self.steps.push_back(Action::Check(ticket, snapshot));
    }

    /// Handles the result of [`Action::Check`]: the check of a version and its storage on disk.
    pub fn on_checked(&mut self, ticket: OfferId, result: Result<(), (Code, Vec<Fault>)>) {
        let Some((_, snapshot)) = self.checking.as_ref().filter(|(t, _)| *t == ticket) else { return };
        match result {
            Ok(()) => self.steps.push_back(Action::Apply(ticket, snapshot.clone())),
            Err((code, faults)) => self.reject_checked(ticket, code, faults),
        }
    }

    fn reject_checked(&mut self, ticket: OfferId, code: Code, faults: Vec<Fault>) {
        if let Some((_, snapshot)) = self.checking.take() {
            self.nack(ticket, snapshot.version, code, faults);
        }
        self.check_next();
    }

    /// Handles the result of [`Action::Apply`]: the version is in use, or could not be applied.
    pub fn on_applied(&mut self, now: u64, ticket: OfferId, result: Result<(), (Code, Vec<Fault>)>) {
        if self.checking.as_ref().is_none_or(|(t, _)| *t != ticket) {
            return;
        }
        if let Err((code, faults)) = result {
            return self.reject_checked(ticket, code, faults);
        }
        let Some((_, snapshot)) = self.checking.take() else { return };
        let version = snapshot.version;
        if version >= self.memory.highest {
            (self.memory.highest, self.memory.content) = (version, Some(snapshot.content_digest()));
        }
        self.running = Some(snapshot);
        self.remember();
        self.ack(ticket, version);
        if self.options.trial.length == 0 {
            self.finish_trial(Verdict::Untested);
        } else {
            self.trial.begin(now, self.health);
        }
        self.check_next();
    }

    /// Ends a trial: keeps the running version, or rolls back to the last good one and refuses this one from now on.
    fn finish_trial(&mut self, verdict: Verdict) {
        let Some(running) = self.running.clone() else { return };
        let version = running.version;
        let worse = matches!(verdict, Verdict::Worse { .. });
        // Without a version or a file to roll back to, a worse version is better than none.
        if !worse || (self.last_good.is_none() && !self.options.has_base) {
            self.last_good = Some(running.clone());
            return self.steps.push_back(Action::Promote(running, verdict));
        }
        self.running = self.last_good.clone();
        self.memory.refused.push_back(version);
        if self.memory.refused.len() > MAX_REMEMBERED_REFUSALS {
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
        self.steps.push_back(Action::RollBack(self.running.clone(), version, verdict));
        self.remember();
        if self.connected() {
            self.send(ToService::Reverted { version, running: self.version(), why });
        }
    }

    /// Returns the versions that may run without an offer, the preferred one first: the running one and the last good one.
    pub fn candidates(&self) -> Vec<Arc<Snapshot>> {
        let last_good = self.last_good.as_ref().filter(|good| Some(good.version) != self.version());
        self.running.iter().chain(last_good).cloned().collect()
    }

    /// Sets whether the instance can run without any version.
    pub fn set_has_base(&mut self, has_base: bool) {
        self.options.has_base = has_base;
    }

    /// Handles the selection of one of the [candidates](Subscriber::candidates), or of the instance's own file if `selected`
    /// is `None`. A last good version that was withdrawn stays a candidate, unless the instance can't run without one.
    pub fn on_selected(&mut self, selected: Option<Version>, withdrawn: Vec<Withdrawal>) {
        let previous = self.version();
        if selected != previous {
            self.running = self.candidates().into_iter().find(|c| Some(c.version) == selected);
            self.trial.cancel();
        }
        for withdrawal in withdrawn {
            let version = withdrawal.version;
            if !self.options.has_base && self.last_good_version() == Some(version) {
                self.last_good = None;
            }
            if previous == Some(version) {
                self.report_withdrawal(withdrawal);
            }
        }
    }

    /// Reports to the service that a version which ran is withdrawn. Without a connection the next `Hello` tells it.
    fn report_withdrawal(&mut self, withdrawal: Withdrawal) {
        if self.connected() {
            let why = withdrawal.faults.first().map(Fault::to_string).unwrap_or_default();
            let version = withdrawal.version;
            self.send(ToService::Reverted { version, running: self.version(), why });
        }
        self.steps.push_back(Action::Withdrawn(withdrawal));
    }

    /// Takes over the versions and memory that another process of this dispatcher has applied.
    pub fn adopt(&mut self, running: Option<Snapshot>, good: Option<Snapshot>, memory: SubscriberState) {
        let version = running.as_ref().map(|r| r.version).unwrap_or_default();
        (self.running, self.last_good) = (running.map(Arc::new), good.map(Arc::new));
        self.memory = memory;
        self.memory.highest = self.memory.highest.max(version);
        self.trial.cancel();
    }
}
