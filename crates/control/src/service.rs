//! The state machine of the control service: decides which version each instance is offered, evaluates the answers, and
//! produces the records of the log.
//!
//! It uses no socket, no disk and no clock: its inputs are events and the time, its outputs [`Record`]s and [`Action`]s.
//! Durable state changes only through records. The caller appends the records that [`Service::flush`] returns to the log
//! before it carries out the actions, so that no action takes effect that a restarted service would not find in its log.

use crate::catalog::Catalog;
use crate::record::{Answer, Published, Record};
use crate::rollout::{InstanceOutcome, InstanceView, Phase, Rollout, RolloutPlan, RolloutReport, Transition};
use ochreward_stream::wire::{Code, Fault, FromService, Health, Hello, PROTOCOL, ToService};
use ochreward_stream::{Snapshot, Version};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The number of instances remembered; beyond it the disconnected ones heard least recently are forgotten.
const MAX_INSTANCES: usize = 20_000;
/// The number of refused versions remembered for each instance.
const MAX_REFUSALS_PER_INSTANCE: usize = 8;
/// The maximum length of an instance name, in bytes.
const MAX_NAME_BYTES: usize = 200;
/// The maximum number of labels of an instance.
const MAX_LABELS: usize = 64;

/// Identifies a connection.
pub type ConnectionId = usize;

/// The reason for refusing a subscriber, which is sent to it before its connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// A message arrived before the `Hello`.
    #[error("a hello is wanted first: start a dispatcher of this version")]
    NoHello,
    /// A second `Hello` arrived.
    #[error("a second hello came: start a dispatcher of this version")]
    SecondHello,
    /// The subscriber uses another protocol version.
    #[error(
        "protocol {0} came, {PROTOCOL} is spoken here: bring the dispatcher and the control service to one version"
    )]
    Protocol(u32),
    /// The name is empty or too long, or there are too many labels.
    #[error(
        "the name or the labels are out of bounds: give it a name of 1 to 200 bytes and at most 64 labels"
    )]
    Name,
    /// An answer does not match the open offer.
    #[error("an answer came to no offer: nothing to do, the dispatcher connects again")]
    NoOffer,
    /// The subscriber has followed a service with a higher epoch.
    #[error("epoch {leads} leads, this service has {own}: end this control service, or the other one")]
    Deposed {
        /// The higher epoch, reported by the subscriber.
        leads: u64,
        /// This service's epoch.
        own: u64,
    },
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message.
    Send(ConnectionId, FromService),
    /// Send a version under this nonce; the texts of the listed types are omitted, as the subscriber holds them.
    Offer(ConnectionId, u64, Arc<Snapshot>, Vec<ochreward_stream::Kind>),
    /// Close a connection.
    Close(ConnectionId),
    /// Send an event to all clients that watch.
    Notify(Value),
}

/// The state of an instance.
#[derive(Clone, Debug, Default)]
pub struct Instance {
    /// The part of the state that rollouts use.
    pub view: InstanceView,
    /// The version that it runs, as last reported by itself.
    pub running: Option<Version>,
    /// The last version offered to it since this service started.
    pub offered: Option<Version>,
    /// The last version that it acknowledged.
    pub acked: Option<Version>,
    /// The versions that it rejected or rolled back, with the reasons.
    pub refused: BTreeMap<Version, String>,
    /// The time of its last message, in Unix milliseconds.
    pub heard_ms: u64,
    /// Its counts of final answers.
    pub health: Health,
}

/// The connection of a subscriber.
struct Stream {
    instance: String,
    last_nonce: u64,
    /// The offer that has not been answered yet; there is at most one.
    open_offer: Option<(u64, Arc<Snapshot>)>,
    /// The digests of the resources that the subscriber holds.
    holds: BTreeMap<ochreward_stream::Kind, ochreward_stream::Digest>,
    /// Whether all types are sent, since the subscriber reported a gap.
    send_all: bool,
}

/// The current time, as read by the caller.
#[derive(Clone, Copy, Debug, Default)]
pub struct Timestamp {
    /// Monotonic time, in microseconds: for all decisions.
    pub us: u64,
    /// Unix time, in milliseconds: for display only.
    pub unix_ms: u64,
}

/// The control service, without I/O.
pub struct Service {
    plan: RolloutPlan,
    heartbeat: u64,
    epoch: u64,
    store: String,
    catalog: Catalog,
    rollout: Option<Rollout>,
    /// The number of the last version whose rollout is complete.
    complete: Option<u64>,
    fleet: BTreeMap<String, Instance>,
    streams: BTreeMap<ConnectionId, Stream>,
    records: Vec<Record>,
    actions: Vec<Action>,
    /// The higher epoch of another service that a subscriber has followed; this service publishes nothing any more.
    deposed: Option<u64>,
    /// No wave begins before this time, in microseconds; see [`Rollout::hold_until`].
    hold_until: u64,
}

/// The result of publishing a version.
#[derive(Clone, Debug, PartialEq)]
pub enum PublishOutcome {
    /// A new version was published.
    New(Version),
    /// The latest version already has this content.
    Same(Version),
    /// The version to roll back to does not exist.
    Unknown,
    /// Another service, with this higher epoch, has taken over.
    Deposed(u64),
}

impl Service {
    /// Rebuilds the state from the records of the store and starts the next epoch. A new store gets `fresh_id` as its id.
    pub fn recover(
        plan: RolloutPlan,
        heartbeat: u64,
        records: Vec<Record>,
        now: Timestamp,
        fresh_id: &str,
    ) -> Service {
        let mut service = Service {
            plan,
            heartbeat,
            epoch: 0,
            store: String::new(),
            catalog: Catalog::default(),
            rollout: None,
            complete: None,
            fleet: BTreeMap::new(),
            streams: BTreeMap::new(),
            records: Vec::new(),
            actions: Vec::new(),
            deposed: None,
            hold_until: 0,
        };
        records.into_iter().for_each(|record| service.apply(now, record));
        if !service.fleet.is_empty() {
            service.hold_until = now.us + service.plan.answer_timeout_us;
        }
        if let Some(rollout) = &mut service.rollout {
            rollout.restarted(now.us, &service.plan);
        }
        let store = if service.store.is_empty() { fresh_id.to_string() } else { service.store.clone() };
        service.commit(now, Record::Epoch { epoch: service.epoch + 1, store });
        service
    }

    /// Returns the epoch of this start of the service.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the published versions.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Returns the instances by name.
    pub fn fleet(&self) -> &BTreeMap<String, Instance> {
        &self.fleet
    }

    /// Returns the records to append to the log, and the actions to carry out once they are appended.
    pub fn flush(&mut self) -> (Vec<Record>, Vec<Action>) {
        (std::mem::take(&mut self.records), std::mem::take(&mut self.actions))
    }

    /// Returns a small set of records that describes the current state, for the compaction of the log.
    pub fn snapshot_records(&self) -> Vec<Record> {
        let mut out = vec![Record::Epoch { epoch: self.epoch, store: self.store.clone() }];
        out.extend(self.catalog.iter().cloned().map(Record::Published));
        out.extend(self.complete.map(|number| Record::Done { number }));
        if let Some(r) = self.rollout.as_ref().filter(|r| r.phase != Phase::Done) {
            let number = r.number;
            let waves = r.waves.iter().cloned().enumerate();
            out.extend(waves.map(|(wave, members)| Record::Wave { number, wave, members }));
        }
        for (name, instance) in &self.fleet {
            out.push(Record::Seen { instance: name.clone(), labels: instance.view.labels.clone() });
            let at_ms = instance.heard_ms;
            let answer =
                |version, answer| Record::Answered { instance: name.clone(), version, answer, at_ms };
            out.extend(instance.acked.map(|version| answer(version, Answer::Acked)));
            let refused = instance.refused.iter();
            out.extend(refused.map(|(v, why)| answer(*v, Answer::Reverted { why: why.clone() })));
        }
        if let Some(r) = self.rollout.as_ref().filter(|r| r.phase != Phase::Done) {
            let number = r.number;
            // `Resumed` excludes the instances whose refusal is already known, so it follows the answers.
            if !r.excluded.is_empty() {
                out.push(Record::Resumed { number });
            }
            match &r.phase {
                Phase::Watching { .. } => out.push(Record::Watching { number, wave: r.waves.len() - 1 }),
                Phase::Halted { why } => out.push(Record::Halted { number, why: why.clone() }),
                _ => {}
            }
        }
        out
    }

    /// Queues a record for the log and applies it.
    fn commit(&mut self, now: Timestamp, record: Record) {
        self.records.push(record.clone());
        self.apply(now, record);
    }

    /// Applies a record. Recovery and normal operation share this function, so that both lead to the same state.
    fn apply(&mut self, now: Timestamp, record: Record) {
        let update = |rollout: &mut Option<Rollout>, number: u64, change: &mut dyn FnMut(&mut Rollout)| {
            rollout.as_mut().filter(|r| r.number == number).into_iter().for_each(change);
        };
        match record {
            Record::Epoch { epoch, store } => (self.epoch, self.store) = (epoch, store),
            Record::Published(published) => {
                let mut rollout = Rollout::new(published.version.number, published.at_once);
                rollout.hold_until = self.hold_until;
                self.rollout = Some(rollout);
                self.catalog.add(published);
            }
            Record::Wave { number, wave, members } => {
                update(&mut self.rollout, number, &mut |r| r.wave_began(now.us, wave, members.clone()))
            }
            Record::Watching { number, .. } => {
                update(&mut self.rollout, number, &mut |r| r.watched(now.us, &self.plan))
            }
            Record::Halted { number, why } => {
                update(&mut self.rollout, number, &mut |r| r.halted(why.clone()))
            }
            Record::Resumed { number } => update(&mut self.rollout, number, &mut |r| r.resumed(now.us)),
            Record::Done { number } => {
                update(&mut self.rollout, number, &mut |r| r.phase = Phase::Done);
                self.complete = Some(number);
            }
            Record::Seen { instance, labels } => {
                self.fleet.entry(instance).or_default().view.labels = labels;
            }
            Record::Answered { instance, version, answer, at_ms } => {
                let known = self.fleet.entry(instance.clone()).or_default();
                known.heard_ms = known.heard_ms.max(at_ms);
                let outcome = match answer {
                    Answer::Acked => {
                        (known.running, known.acked) = (Some(version), Some(version));
                        known.refused.remove(&version);
                        InstanceOutcome::Running
                    }
                    Answer::Nacked { code, faults } => {
                        let why = faults.first().map_or_else(|| format!("{code:?}"), Fault::to_string);
                        known.refused.insert(version, why.clone());
                        InstanceOutcome::Refused(why)
                    }
                    Answer::Reverted { why } => {
                        known.refused.insert(version, why.clone());
                        InstanceOutcome::Refused(why)
                    }
                };
                while known.refused.len() > MAX_REFUSALS_PER_INSTANCE {
                    known.refused.pop_first();
                }
                update(&mut self.rollout, version.number, &mut |r| r.answered(&instance, outcome.clone()));
            }
        }
    }

    // ---- Streams ----

    /// Returns whether the connection is a subscriber's, that is, whether its `Hello` was accepted.
    pub fn is_subscriber(&self, conn: ConnectionId) -> bool {
        self.streams.contains_key(&conn)
    }

    /// Handles a subscriber's message. The text of an error is sent to the subscriber before its connection is closed.
    pub fn received(
        &mut self,
        now: Timestamp,
        conn: ConnectionId,
        message: ToService,
    ) -> Result<(), StreamError> {
        let Some(stream) = self.streams.get(&conn) else {
            return match message {
                ToService::Hello(hello) => self.hello(now, conn, hello),
                _ => Err(StreamError::NoHello),
            };
        };
        let name = stream.instance.clone();
        let known = self.fleet.entry(name.clone()).or_default();
        (known.view.last_heard, known.heard_ms) = (now.us, now.unix_ms);
        match message {
            ToService::Hello(_) => return Err(StreamError::SecondHello),
            ToService::Heartbeat { running, health } => {
                known.health = health;
                let refused_running = running.filter(|version| known.refused.contains_key(version));
                if let Some(version) = refused_running {
                    // It gave the version up for its own file, which permits it again.
                    self.record_answer(now, name, version, Answer::Acked);
                } else if running != known.running {
                    known.running = running;
                    self.notify_instance(&name);
                }
            }
            ToService::Ack { nonce, version } => {
                let snapshot = self.close_offer(conn, nonce, version)?;
                if let Some(stream) = self.streams.get_mut(&conn) {
                    stream.send_all = false;
                    let held = snapshot.resources.iter().map(|(kind, r)| (*kind, r.digest.clone()));
                    stream.holds = held.collect();
                }
                self.record_answer(now, name, version, Answer::Acked);
            }
            ToService::Nack { nonce, version, code, faults } => {
                self.close_offer(conn, nonce, version)?;
                match (code, self.streams.get_mut(&conn)) {
                    // A gap says nothing about the content: the version is offered again with all types.
                    (Code::Gap, Some(stream)) if !stream.send_all => stream.send_all = true,
                    (Code::Superseded, _) => {}
                    _ => self.record_answer(now, name, version, Answer::Nacked { code, faults }),
                }
            }
            ToService::Reverted { version, running, why } => {
                known.running = running;
                if let Some(stream) = self.streams.get_mut(&conn) {
                    // The message does not say what the subscriber holds after the rollback.
                    stream.holds.clear();
                }
                self.record_answer(now, name, version, Answer::Reverted { why });
            }
        }
        self.offer(conn);
        Ok(())
    }

    /// Closes the open offer of a connection if the answer matches it, and returns its snapshot.
    fn close_offer(
        &mut self,
        conn: ConnectionId,
        nonce: u64,
        version: Version,
    ) -> Result<Arc<Snapshot>, StreamError> {
        let stream = self.streams.get_mut(&conn).ok_or(StreamError::NoHello)?;
        match stream.open_offer.take() {
            Some((offered_nonce, snapshot)) if offered_nonce == nonce && snapshot.version == version => {
                Ok(snapshot)
            }
            _ => Err(StreamError::NoOffer),
        }
    }

    /// Records an instance's answer and notifies watching clients.
    fn record_answer(&mut self, now: Timestamp, instance: String, version: Version, answer: Answer) {
        let at_ms = now.unix_ms;
        self.commit(now, Record::Answered { instance: instance.clone(), version, answer, at_ms });
        self.notify_instance(&instance);
    }

    /// Sends the state of an instance to watching clients.
    fn notify_instance(&mut self, name: &str) {
        if let Some(known) = self.fleet.get(name) {
            let event = json!({"event": "instance", "instance": name, "running": known.running.map(|v| v.to_string()),
                "refused": known.refused.keys().map(Version::to_string).collect::<Vec<_>>(), "at_ms": known.heard_ms});
            self.actions.push(Action::Notify(event));
        }
    }

    /// Handles the first message of a subscriber: registers its connection, and makes up for lost answers.
    fn hello(&mut self, now: Timestamp, conn: ConnectionId, hello: Hello) -> Result<(), StreamError> {
        if hello.protocol != PROTOCOL {
            return Err(StreamError::Protocol(hello.protocol));
        }
        if hello.instance.is_empty()
            || hello.instance.len() > MAX_NAME_BYTES
            || hello.labels.len() > MAX_LABELS
        {
            return Err(StreamError::Name);
        }
        if hello.epoch > self.epoch {
            // Another service has taken over: its epoch is higher, since its store is newer or it started later.
            self.deposed = Some(hello.epoch);
            return Err(StreamError::Deposed { leads: hello.epoch, own: self.epoch });
        }
        let name = hello.instance;
        // A new connection of an instance replaces an earlier one, which may be half-open.
        let older: Vec<ConnectionId> =
            self.streams.iter().filter(|(_, s)| s.instance == name).map(|(conn, _)| *conn).collect();
        for old in older {
            self.streams.remove(&old);
            self.actions.push(Action::Close(old));
        }
        let known = self.fleet.entry(name.clone()).or_default();
        let labels_changed = known.view.labels != hello.labels || known.heard_ms == 0;
        let refused_running = hello.running.is_some_and(|version| known.refused.contains_key(&version));
        let unrecorded = refused_running || hello.running != known.acked;
        known.view = InstanceView { labels: hello.labels.clone(), connected: true, last_heard: now.us };
        (known.heard_ms, known.running) = (now.unix_ms, hello.running);
        let unrecorded_refusals: Vec<Version> =
            hello.refused.iter().filter(|v| !known.refused.contains_key(v)).copied().collect();
        if labels_changed {
            self.commit(now, Record::Seen { instance: name.clone(), labels: hello.labels });
        }
        // The answer to an earlier offer may have been lost with its connection; the `Hello` makes up for it.
        if let Some(version) = hello.running.filter(|_| unrecorded) {
            self.record_answer(now, name.clone(), version, Answer::Acked);
        }
        for version in unrecorded_refusals {
            let why = "given up while away".to_string();
            self.record_answer(now, name.clone(), version, Answer::Reverted { why });
        }
        let holds = hello.holds.into_iter().map(|(kind, holding)| (kind, holding.digest)).collect();
        self.streams
            .insert(conn, Stream { instance: name, last_nonce: 0, open_offer: None, holds, send_all: false });
        let (store, epoch) = (self.store.clone(), self.epoch);
        let welcome = FromService::Welcome { protocol: PROTOCOL, store, epoch, heartbeat_us: self.heartbeat };
        self.actions.push(Action::Send(conn, welcome));
        self.offer(conn);
        self.forget_oldest_instances();
        Ok(())
    }

    /// Handles the end of a connection.
    pub fn lost(&mut self, conn: ConnectionId) {
        if let Some(stream) = self.streams.remove(&conn)
            && let Some(known) = self.fleet.get_mut(&stream.instance)
        {
            known.view.connected = false;
        }
    }

    /// Forgets the disconnected instances heard least recently, beyond the maximum number.
    fn forget_oldest_instances(&mut self) {
        while self.fleet.len() > MAX_INSTANCES {
            let disconnected = self.fleet.iter().filter(|(_, i)| !i.view.connected);
            let Some(oldest) = disconnected.min_by_key(|(_, i)| i.heard_ms).map(|(name, _)| name.clone())
            else {
                return;
            };
            self.fleet.remove(&oldest);
        }
    }

    /// Returns the number of the version that an instance is to run: the one being rolled out if its wave has begun, or
    /// else the last complete one.
    pub fn target(&self, instance: &str) -> Option<u64> {
        let rolling_out = self.rollout.as_ref().filter(|r| r.covers(&self.plan, instance)).map(|r| r.number);
        rolling_out.or(self.complete)
    }

    /// Offers an instance its target version, if it runs a lower one and has not refused the target.
    fn offer(&mut self, conn: ConnectionId) {
        let Some(stream) = self.streams.get(&conn).filter(|s| s.open_offer.is_none()) else { return };
        let name = stream.instance.clone();
        let Some(number) = self.target(&name) else { return };
        let Some(known) = self.fleet.get_mut(&name) else { return };
        let Some(snapshot) = self.catalog.snapshot(number, &name, &known.view.labels) else { return };
        let wanted = known.running.is_none_or(|r| r < snapshot.version);
        if !wanted || known.refused.contains_key(&snapshot.version) {
            return;
        }
        known.offered = Some(snapshot.version);
        let Some(stream) = self.streams.get_mut(&conn) else { return };
        stream.last_nonce += 1;
        stream.open_offer = Some((stream.last_nonce, snapshot.clone()));
        let held = snapshot.resources.iter().filter(|(kind, r)| stream.holds.get(kind) == Some(&r.digest));
        let held = if stream.send_all { Vec::new() } else { held.map(|(kind, _)| *kind).collect() };
        self.actions.push(Action::Offer(conn, stream.last_nonce, snapshot, held));
    }

    fn offer_all(&mut self) {
        let conns: Vec<ConnectionId> = self.streams.keys().copied().collect();
        conns.into_iter().for_each(|conn| self.offer(conn));
    }

    /// Sends a heartbeat to all subscribers.
    pub fn send_heartbeats(&mut self) {
        self.actions.extend(self.streams.keys().map(|conn| Action::Send(*conn, FromService::Heartbeat {})));
    }

    // ---- Versions ----

    /// Publishes a document, which the caller has validated.
    pub fn publish(&mut self, now: Timestamp, document: Value, at_once: bool) -> PublishOutcome {
        self.publish_document(now, document, at_once, None)
    }

    /// Publishes the content of an earlier version again under a new number, so that numbers only increase.
    pub fn rollback(&mut self, now: Timestamp, number: u64, at_once: bool) -> PublishOutcome {
        let Some(old) = self.catalog.get(number) else { return PublishOutcome::Unknown };
        let (document, version) = ((*old.document).clone(), old.version);
        self.publish_document(now, document, at_once, Some(version))
    }

    fn publish_document(
        &mut self,
        now: Timestamp,
        document: Value,
        at_once: bool,
        rollback_of: Option<Version>,
    ) -> PublishOutcome {
        if let Some(epoch) = self.deposed {
            return PublishOutcome::Deposed(epoch);
        }
        let Some(mut next) = self.catalog.next(self.epoch, document, rollback_of, now.unix_ms) else {
            return self
                .catalog
                .latest()
                .map_or(PublishOutcome::Unknown, |l| PublishOutcome::Same(l.version));
        };
        (next.at_once, next.rollback_of) = (at_once, rollback_of);
        let version = next.version;
        // One record both publishes the version and begins its rollout: if the service were killed between two records,
        // the version would exist without a rollout and never run anywhere.
        self.commit(now, Record::Published(next));
        self.actions.push(Action::Notify(json!({"event": "published", "version": version.to_string()})));
        let used: Vec<u64> = self.complete.into_iter().chain([version.number]).collect();
        self.catalog.trim(&used);
        self.advance(now);
        PublishOutcome::New(version)
    }

    /// Resumes a halted rollout; returns false if there is none.
    pub fn resume(&mut self, now: Timestamp) -> bool {
        let halted = self.rollout.as_ref().filter(|r| matches!(r.phase, Phase::Halted { .. }));
        let Some(number) = halted.map(|r| r.number) else { return false };
        self.commit(now, Record::Resumed { number });
        self.offer_all();
        self.advance(now);
        true
    }

    /// Advances the rollout by all transitions that are due now.
    pub fn advance(&mut self, now: Timestamp) {
        if self.rollout.as_ref().is_none_or(|r| matches!(r.phase, Phase::Done | Phase::Halted { .. })) {
            return;
        }
        let views: BTreeMap<String, InstanceView> =
            self.fleet.iter().map(|(name, i)| (name.clone(), i.view.clone())).collect();
        loop {
            let Some(rollout) = &self.rollout else { return };
            let number = rollout.number;
            let Some(next) = rollout.next(now.us, &self.plan, &views) else { return };
            let event = json!({"event": "rollout", "number": number, "next": match &next {
                Transition::Wave(wave, members) => format!("wave {wave} of {} instances", members.len()),
                Transition::Watch(wave) => format!("wave {wave} runs it and is watched"),
                Transition::Halt(why) => format!("halted: {why}"),
                Transition::Done => "done".to_string(),
            }, "at_ms": now.unix_ms});
            let record = match next {
                Transition::Wave(wave, members) => Record::Wave { number, wave, members },
                Transition::Watch(wave) => Record::Watching { number, wave },
                Transition::Halt(why) => Record::Halted { number, why },
                Transition::Done => Record::Done { number },
            };
            self.commit(now, record);
            self.actions.push(Action::Notify(event));
            self.offer_all();
        }
    }

    /// Returns the next time, after `now`, at which `advance` may have something to do, in microseconds.
    pub fn due(&self, now: u64) -> u64 {
        let deadlines = match self.rollout.as_ref().map(|r| (&r.phase, r.hold_until)) {
            Some((Phase::Offering { since }, _)) => [since + self.plan.answer_timeout_us, u64::MAX],
            Some((Phase::Watching { until }, hold)) => [*until, hold],
            Some((Phase::Pending, hold)) => [hold, u64::MAX],
            _ => [u64::MAX; 2],
        };
        deadlines.into_iter().filter(|at| *at > now).min().unwrap_or(u64::MAX)
    }

    // ---- Queries ----

    /// Returns an instance's standing, as shown in the status.
    fn standing(&self, name: &str, instance: &Instance) -> &'static str {
        let target = self.target(name).and_then(|n| self.catalog.get(n)).map(|p| p.version);
        match target {
            _ if !instance.view.connected => "away",
            Some(target) if instance.refused.contains_key(&target) => "refused",
            Some(target) if instance.running.is_none_or(|r| r < target) => "lagging",
            _ => "current",
        }
    }

    /// Returns the whole state as JSON.
    pub fn status(&self, now: Timestamp) -> Value {
        let text = |v: Option<Version>| v.map(|v| v.to_string());
        let instances: Vec<Value> = self
            .fleet
            .iter()
            .map(|(name, i)| {
                let refused = i.refused.iter().map(|(v, why)| json!({"version": v.to_string(), "why": why}));
                let target = self.target(name).and_then(|n| self.catalog.get(n)).map(|p| p.version);
                json!({"instance": name, "labels": i.view.labels, "standing": self.standing(name, i),
                    "running": text(i.running), "target": text(target), "offered": text(i.offered),
                    "acked": text(i.acked), "refused": refused.collect::<Vec<_>>(),
                    "heard_ms_ago": now.unix_ms.saturating_sub(i.heard_ms),
                    "answers": i.health.answers, "bad": i.health.failed})
            })
            .collect();
        let rollout = self.rollout.as_ref().map(|r| {
            let views = self.fleet.iter().map(|(name, i)| (name.clone(), i.view.clone())).collect();
            let RolloutReport { changed, refused, unchanged, unknown } = r.report(&views);
            let (phase, why) = match &r.phase {
                Phase::Pending => ("begun", None),
                Phase::Offering { .. } => ("offering", None),
                Phase::Watching { .. } => ("watching", None),
                Phase::Halted { why } => ("halted", Some(why)),
                Phase::Done => ("done", None),
            };
            let refused: Vec<Value> =
                refused.into_iter().map(|(n, why)| json!({"instance": n, "why": why})).collect();
            json!({"version": text(self.catalog.get(r.number).map(|p| p.version)), "phase": phase, "why": why,
                "waves_begun": r.waves.len(), "waves": r.wave_count(&self.plan), "changed": changed,
                "refused": refused, "unchanged": unchanged, "unknown": unknown})
        });
        let complete = self.complete.and_then(|n| self.catalog.get(n)).map(|p| p.version);
        json!({"store": self.store, "epoch": self.epoch, "deposed_by": self.deposed,
            "latest": text(self.catalog.latest().map(|p| p.version)), "complete": text(complete),
            "rollout": rollout, "instances": instances})
    }

    /// Returns the published versions as JSON, oldest first.
    pub fn history(&self) -> Value {
        let entry = |p: &Published| {
            let types: BTreeMap<&str, String> =
                p.types.iter().map(|(kind, v)| (kind.name(), v.to_string())).collect();
            json!({"version": p.version.to_string(), "at_ms": p.at_ms, "types": types,
                "digest": p.digest.0, "rollback_of": p.rollback_of.map(|v| v.to_string()),
                "complete": self.complete == Some(p.version.number)})
        };
        Value::Array(self.catalog.iter().map(entry).collect())
    }

    /// Returns as JSON, for each key of an instance's target version, the value and the layer that sets it.
    pub fn explain(&self, instance: &str) -> Option<Value> {
        let known = self.fleet.get(instance)?;
        let number = self.target(instance)?;
        let keys = self.catalog.explain(number, instance, &known.view.labels)?;
        let keys: Vec<Value> = keys
            .into_iter()
            .map(|(key, (value, layer))| json!({"key": key, "value": value, "layer": layer}))
            .collect();
        let version = self.catalog.get(number).map(|p| p.version.to_string());
        Some(json!({"instance": instance, "version": version, "labels": known.view.labels, "keys": keys}))
    }
}
