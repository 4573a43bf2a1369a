//! The service's decisions: who is offered what, what an answer means, and what is written down.
//!
//! No socket, no disk and no clock: it is told what happens and leaves [`Act`]s. Whatever changes its state is first a
//! [`Record`]; the host appends what [`Service::flush`] hands out, and only then carries the acts out, so that nothing
//! is ever done that a restart would not know of.

use crate::catalog::Catalog;
use crate::record::{Answer, Published, Record};
use crate::rollout::{Made, Next, Phase, Plan, Report, Rollout, Seen};
use ochreward_stream::wire::{Code, Fault, FromService, Health, Hello, PROTOCOL, ToService};
use ochreward_stream::{Snapshot, Version};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Instances remembered; beyond it the ones longest away are forgotten.
const MOST_INSTANCES: usize = 20_000;
/// Refusals remembered for each instance.
const MOST_REFUSALS: usize = 8;

/// Names a connection.
pub type Conn = usize;

/// What a subscriber is told before its connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// Something came before it said who it is.
    #[error("a hello is wanted first: start a dispatcher of this version")]
    NoHello,
    /// It said so twice.
    #[error("a second hello came: start a dispatcher of this version")]
    SecondHello,
    /// Its protocol is not spoken here.
    #[error(
        "protocol {0} came, {PROTOCOL} is spoken here: bring the dispatcher and the control service to one version"
    )]
    Protocol(u32),
    /// Its name or labels are out of bounds.
    #[error(
        "the name or the labels are out of bounds: give it a name of 1 to 200 bytes and at most 64 labels"
    )]
    Name,
    /// It answers what it was not offered.
    #[error("an answer came to no offer: nothing to do, the dispatcher connects again")]
    NoOffer,
    /// Another service leads.
    #[error("epoch {leads} leads, this service has {own}: end this control service, or the other one")]
    Deposed {
        /// The epoch that the subscriber knows.
        leads: u64,
        /// The service's own.
        own: u64,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Send a message.
    Send(Conn, FromService),
    /// Send a version under this nonce: its types but for those held, or all of them.
    Offer(Conn, u64, Arc<Snapshot>, Vec<ochreward_stream::Kind>),
    /// End a connection.
    Close(Conn),
    /// Tell those who watch.
    Tell(Value),
}

/// What is known of an instance.
#[derive(Clone, Debug, Default)]
pub struct Instance {
    /// What the rollout sees of it.
    pub seen: Seen,
    /// What it runs by its own last word.
    pub running: Option<Version>,
    /// The last version that it was offered in this service's time.
    pub offered: Option<Version>,
    /// The last that it acknowledged.
    pub acked: Option<Version>,
    /// What it turned down or gave up, and why.
    pub refused: BTreeMap<Version, String>,
    /// When it was last heard, in Unix milliseconds.
    pub heard_ms: u64,
    /// How it does.
    pub health: Health,
}

struct Stream {
    instance: String,
    nonce: u64,
    /// What was offered and not answered.
    open: Option<(u64, Arc<Snapshot>)>,
    /// What it holds.
    holds: BTreeMap<ochreward_stream::Kind, ochreward_stream::Digest>,
    /// It said that something is missing: all types are sent.
    whole: bool,
}

/// A time, as the host reads it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// Monotonic, in microseconds.
    pub us: u64,
    /// Unix, in milliseconds: for people.
    pub unix_ms: u64,
}

/// The service.
pub struct Service {
    plan: Plan,
    heartbeat: u64,
    epoch: u64,
    store: String,
    catalog: Catalog,
    rollout: Option<Rollout>,
    /// The last version whose rollout is done.
    complete: Option<u64>,
    fleet: BTreeMap<String, Instance>,
    streams: BTreeMap<Conn, Stream>,
    records: Vec<Record>,
    acts: Vec<Act>,
    /// A subscriber has followed a service with a higher epoch: this one leads no more.
    deposed: Option<u64>,
    /// No wave begins before this time.
    hold_until: u64,
}

/// What publishing came to.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A new version.
    New(Version),
    /// The latest version holds this already.
    Same(Version),
    /// There is no such version.
    Unknown,
    /// Another service leads.
    Deposed(u64),
}

impl Service {
    /// Goes on from the records of its store, under the next epoch. `fresh_id` names a new store.
    pub fn recover(plan: Plan, heartbeat: u64, records: Vec<Record>, now: Now, fresh_id: &str) -> Service {
        let mut it = Service {
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
            acts: Vec::new(),
            deposed: None,
            hold_until: 0,
        };
        records.into_iter().for_each(|record| it.apply(now, record));
        if !it.fleet.is_empty() {
            it.hold_until = now.us + it.plan.answer;
        }
        if let Some(rollout) = &mut it.rollout {
            rollout.restarted(now.us, &it.plan);
        }
        let store = if it.store.is_empty() { fresh_id.to_string() } else { it.store.clone() };
        it.commit(now, Record::Epoch { epoch: it.epoch + 1, store });
        it
    }

    /// The epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The published versions.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// What is known of the instances.
    pub fn fleet(&self) -> &BTreeMap<String, Instance> {
        &self.fleet
    }

    /// The records to append, and the acts to carry out once they are.
    pub fn flush(&mut self) -> (Vec<Record>, Vec<Act>) {
        (std::mem::take(&mut self.records), std::mem::take(&mut self.acts))
    }

    /// Records that say, in few, all that is known.
    pub fn condensed(&self) -> Vec<Record> {
        let mut out = vec![Record::Epoch { epoch: self.epoch, store: self.store.clone() }];
        out.extend(self.catalog.iter().cloned().map(Record::Published));
        out.extend(self.complete.map(|number| Record::Done { number }));
        if let Some(r) = self.rollout.as_ref().filter(|r| r.phase != Phase::Done) {
            let number = r.number;
            let waves = r.waves.iter().cloned().enumerate();
            out.extend(waves.map(|(wave, members)| Record::Wave { number, wave, members }));
        }
        for (name, instance) in &self.fleet {
            out.push(Record::Seen { instance: name.clone(), labels: instance.seen.labels.clone() });
            let at_ms = instance.heard_ms;
            let answer =
                |version, answer| Record::Answered { instance: name.clone(), version, answer, at_ms };
            out.extend(instance.acked.map(|version| answer(version, Answer::Acked)));
            let refused = instance.refused.iter();
            out.extend(refused.map(|(v, why)| answer(*v, Answer::Reverted { why: why.clone() })));
        }
        if let Some(r) = self.rollout.as_ref().filter(|r| r.phase != Phase::Done) {
            let number = r.number;
            if !r.excused.is_empty() {
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

    /// Writes a record down and has it count.
    fn commit(&mut self, now: Now, record: Record) {
        self.records.push(record.clone());
        self.apply(now, record);
    }

    /// The only place where records change the state; recovery and service share it.
    fn apply(&mut self, now: Now, record: Record) {
        let of = |rollout: &mut Option<Rollout>, number: u64, change: &mut dyn FnMut(&mut Rollout)| {
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
                of(&mut self.rollout, number, &mut |r| r.wave_began(now.us, wave, members.clone()))
            }
            Record::Watching { number, .. } => {
                of(&mut self.rollout, number, &mut |r| r.watched(now.us, &self.plan))
            }
            Record::Halted { number, why } => of(&mut self.rollout, number, &mut |r| r.halted(why.clone())),
            Record::Resumed { number } => of(&mut self.rollout, number, &mut |r| r.resumed(now.us)),
            Record::Done { number } => {
                of(&mut self.rollout, number, &mut |r| r.phase = Phase::Done);
                self.complete = Some(number);
            }
            Record::Seen { instance, labels } => {
                self.fleet.entry(instance).or_default().seen.labels = labels;
            }
            Record::Answered { instance, version, answer, at_ms } => {
                let known = self.fleet.entry(instance.clone()).or_default();
                known.heard_ms = known.heard_ms.max(at_ms);
                let made = match answer {
                    Answer::Acked => {
                        (known.running, known.acked) = (Some(version), Some(version));
                        known.refused.remove(&version);
                        Made::Runs
                    }
                    Answer::Nacked { code, faults } => {
                        let why = faults.first().map_or_else(|| format!("{code:?}"), Fault::to_string);
                        known.refused.insert(version, why.clone());
                        Made::Refused(why)
                    }
                    Answer::Reverted { why } => {
                        known.refused.insert(version, why.clone());
                        Made::Refused(why)
                    }
                };
                while known.refused.len() > MOST_REFUSALS {
                    known.refused.pop_first();
                }
                of(&mut self.rollout, version.number, &mut |r| r.answered(&instance, made.clone()));
            }
        }
    }

    // ---- Streams ----

    /// Whether the connection has said who it is.
    pub fn knows(&self, conn: Conn) -> bool {
        self.streams.contains_key(&conn)
    }

    /// A subscriber's message. An error is what it is told before its connection ends.
    pub fn received(&mut self, now: Now, conn: Conn, message: ToService) -> Result<(), StreamError> {
        let Some(stream) = self.streams.get(&conn) else {
            return match message {
                ToService::Hello(hello) => self.hello(now, conn, hello),
                _ => Err(StreamError::NoHello),
            };
        };
        let name = stream.instance.clone();
        let known = self.fleet.entry(name.clone()).or_default();
        (known.seen.heard, known.heard_ms) = (now.us, now.unix_ms);
        match message {
            ToService::Hello(_) => return Err(StreamError::SecondHello),
            ToService::Beat { running, health } => {
                known.health = health;
                if running != known.running {
                    known.running = running;
                    self.told(&name);
                }
            }
            ToService::Ack { nonce, version } => {
                let snapshot = self.close_offer(conn, nonce, version)?;
                if let Some(stream) = self.streams.get_mut(&conn) {
                    stream.whole = false;
                    let held = snapshot.resources.iter().map(|(kind, r)| (*kind, r.digest.clone()));
                    stream.holds = held.collect();
                }
                self.answered(now, name, version, Answer::Acked);
            }
            ToService::Nack { nonce, version, code, faults } => {
                self.close_offer(conn, nonce, version)?;
                match (code, self.streams.get_mut(&conn)) {
                    // No word on the content: all of it is sent.
                    (Code::Gap, Some(stream)) if !stream.whole => stream.whole = true,
                    (Code::Superseded, _) => {}
                    _ => self.answered(now, name, version, Answer::Nacked { code, faults }),
                }
            }
            ToService::Reverted { version, running, why } => {
                known.running = running;
                if let Some(stream) = self.streams.get_mut(&conn) {
                    // What it holds now was not told.
                    stream.holds.clear();
                }
                self.answered(now, name, version, Answer::Reverted { why });
            }
        }
        self.offer(conn);
        Ok(())
    }

    fn close_offer(
        &mut self,
        conn: Conn,
        nonce: u64,
        version: Version,
    ) -> Result<Arc<Snapshot>, StreamError> {
        let stream = self.streams.get_mut(&conn).ok_or(StreamError::NoHello)?;
        match stream.open.take() {
            Some((open, snapshot)) if open == nonce && snapshot.version == version => Ok(snapshot),
            _ => Err(StreamError::NoOffer),
        }
    }

    fn answered(&mut self, now: Now, instance: String, version: Version, answer: Answer) {
        let at_ms = now.unix_ms;
        self.commit(now, Record::Answered { instance: instance.clone(), version, answer, at_ms });
        self.told(&instance);
    }

    /// Tells those who watch how an instance is.
    fn told(&mut self, name: &str) {
        if let Some(known) = self.fleet.get(name) {
            let told = json!({"event": "instance", "instance": name, "running": known.running.map(|v| v.to_string()),
                "refused": known.refused.keys().map(Version::to_string).collect::<Vec<_>>(), "at_ms": known.heard_ms});
            self.acts.push(Act::Tell(told));
        }
    }

    fn hello(&mut self, now: Now, conn: Conn, hello: Hello) -> Result<(), StreamError> {
        if hello.protocol != PROTOCOL {
            return Err(StreamError::Protocol(hello.protocol));
        }
        if hello.instance.is_empty() || hello.instance.len() > 200 || hello.labels.len() > 64 {
            return Err(StreamError::Name);
        }
        if hello.epoch > self.epoch {
            // Another service leads, with a newer store or a later start.
            self.deposed = Some(hello.epoch);
            return Err(StreamError::Deposed { leads: hello.epoch, own: self.epoch });
        }
        let name = hello.instance;
        // A later connection of an instance takes the place of an earlier one, which may be half open.
        let older: Vec<Conn> =
            self.streams.iter().filter(|(_, s)| s.instance == name).map(|(conn, _)| *conn).collect();
        for old in older {
            self.streams.remove(&old);
            self.acts.push(Act::Close(old));
        }
        let known = self.fleet.entry(name.clone()).or_default();
        let (labels_changed, unheard) =
            (known.seen.labels != hello.labels || known.heard_ms == 0, hello.running != known.acked);
        known.seen = Seen { labels: hello.labels.clone(), connected: true, heard: now.us };
        (known.heard_ms, known.running) = (now.unix_ms, hello.running);
        let forgotten: Vec<Version> =
            hello.refused.iter().filter(|v| !known.refused.contains_key(v)).copied().collect();
        if labels_changed {
            self.commit(now, Record::Seen { instance: name.clone(), labels: hello.labels });
        }
        // An answer that was lost with its connection is made up for here.
        if let Some(version) = hello.running.filter(|_| unheard) {
            self.answered(now, name.clone(), version, Answer::Acked);
        }
        for version in forgotten {
            let why = "given up while away".to_string();
            self.answered(now, name.clone(), version, Answer::Reverted { why });
        }
        let holds = hello.holds.into_iter().map(|(kind, holding)| (kind, holding.digest)).collect();
        self.streams.insert(conn, Stream { instance: name, nonce: 0, open: None, holds, whole: false });
        let (store, epoch) = (self.store.clone(), self.epoch);
        let welcome = FromService::Welcome { protocol: PROTOCOL, store, epoch, heartbeat_us: self.heartbeat };
        self.acts.push(Act::Send(conn, welcome));
        self.offer(conn);
        self.trim();
        Ok(())
    }

    /// A connection has ended.
    pub fn lost(&mut self, conn: Conn) {
        if let Some(stream) = self.streams.remove(&conn)
            && let Some(known) = self.fleet.get_mut(&stream.instance)
        {
            known.seen.connected = false;
        }
    }

    fn trim(&mut self) {
        while self.fleet.len() > MOST_INSTANCES {
            let away = self.fleet.iter().filter(|(_, i)| !i.seen.connected);
            let Some(oldest) = away.min_by_key(|(_, i)| i.heard_ms).map(|(name, _)| name.clone()) else {
                return;
            };
            self.fleet.remove(&oldest);
        }
    }

    /// The number of the version that an instance is to run.
    pub fn target(&self, instance: &str) -> Option<u64> {
        let rolling = self.rollout.as_ref().filter(|r| r.covers(&self.plan, instance)).map(|r| r.number);
        rolling.or(self.complete)
    }

    /// Offers an instance what it is to run, if it runs something lower and has not turned it down.
    fn offer(&mut self, conn: Conn) {
        let Some(stream) = self.streams.get(&conn).filter(|s| s.open.is_none()) else { return };
        let name = stream.instance.clone();
        let Some(number) = self.target(&name) else { return };
        let Some(known) = self.fleet.get_mut(&name) else { return };
        let Some(snapshot) = self.catalog.snapshot(number, &name, &known.seen.labels) else { return };
        let wanted = known.running.is_none_or(|r| r < snapshot.version);
        if !wanted || known.refused.contains_key(&snapshot.version) {
            return;
        }
        known.offered = Some(snapshot.version);
        let Some(stream) = self.streams.get_mut(&conn) else { return };
        stream.nonce += 1;
        stream.open = Some((stream.nonce, snapshot.clone()));
        let held = snapshot.resources.iter().filter(|(kind, r)| stream.holds.get(kind) == Some(&r.digest));
        let held = if stream.whole { Vec::new() } else { held.map(|(kind, _)| *kind).collect() };
        self.acts.push(Act::Offer(conn, stream.nonce, snapshot, held));
    }

    fn offer_all(&mut self) {
        let conns: Vec<Conn> = self.streams.keys().copied().collect();
        conns.into_iter().for_each(|conn| self.offer(conn));
    }

    /// Sends a sign of life to everybody.
    pub fn beat(&mut self) {
        self.acts.extend(self.streams.keys().map(|conn| Act::Send(*conn, FromService::Beat {})));
    }

    // ---- Versions ----

    /// Publishes a document that was checked.
    pub fn publish(&mut self, now: Now, document: Value, at_once: bool) -> Outcome {
        self.release(now, document, at_once, None)
    }

    /// Publishes the content of an earlier version again, under a new number, so that numbers only go up.
    pub fn rollback(&mut self, now: Now, number: u64, at_once: bool) -> Outcome {
        let Some(old) = self.catalog.get(number) else { return Outcome::Unknown };
        let (document, version) = ((*old.document).clone(), old.version);
        self.release(now, document, at_once, Some(version))
    }

    fn release(&mut self, now: Now, document: Value, at_once: bool, of: Option<Version>) -> Outcome {
        if let Some(epoch) = self.deposed {
            return Outcome::Deposed(epoch);
        }
        let Some(mut next) = self.catalog.next(self.epoch, document, of, now.unix_ms) else {
            return self.catalog.latest().map_or(Outcome::Unknown, |l| Outcome::Same(l.version));
        };
        (next.at_once, next.rollback_of) = (at_once, of);
        let version = next.version;
        // One record: a version whose rollout had not begun would never run anywhere.
        self.commit(now, Record::Published(next));
        self.acts.push(Act::Tell(json!({"event": "published", "version": version.to_string()})));
        let used: Vec<u64> = self.complete.into_iter().chain([version.number]).collect();
        self.catalog.trim(&used);
        self.advance(now);
        Outcome::New(version)
    }

    /// Goes on with a rollout that halted; false if there is none.
    pub fn resume(&mut self, now: Now) -> bool {
        let halted = self.rollout.as_ref().filter(|r| matches!(r.phase, Phase::Halted { .. }));
        let Some(number) = halted.map(|r| r.number) else { return false };
        self.commit(now, Record::Resumed { number });
        self.offer_all();
        self.advance(now);
        true
    }

    /// Moves the rollout on, as far as it goes at this moment.
    pub fn advance(&mut self, now: Now) {
        if self.rollout.as_ref().is_none_or(|r| matches!(r.phase, Phase::Done | Phase::Halted { .. })) {
            return;
        }
        let seen: BTreeMap<String, Seen> =
            self.fleet.iter().map(|(name, i)| (name.clone(), i.seen.clone())).collect();
        loop {
            let Some(rollout) = &self.rollout else { return };
            let number = rollout.number;
            let Some(next) = rollout.next(now.us, &self.plan, &seen) else { return };
            let told = json!({"event": "rollout", "number": number, "next": match &next {
                Next::Wave(wave, members) => format!("wave {wave} of {} instances", members.len()),
                Next::Watch(wave) => format!("wave {wave} runs it and is watched"),
                Next::Halt(why) => format!("halted: {why}"),
                Next::Done => "done".to_string(),
            }, "at_ms": now.unix_ms});
            let record = match next {
                Next::Wave(wave, members) => Record::Wave { number, wave, members },
                Next::Watch(wave) => Record::Watching { number, wave },
                Next::Halt(why) => Record::Halted { number, why },
                Next::Done => Record::Done { number },
            };
            self.commit(now, record);
            self.acts.push(Act::Tell(told));
            self.offer_all();
        }
    }

    /// When something is next to be done without a message, in microseconds; later than `now`.
    pub fn due(&self, now: u64) -> u64 {
        let times = match self.rollout.as_ref().map(|r| (&r.phase, r.hold_until)) {
            Some((Phase::Offering { since }, _)) => [since + self.plan.answer, u64::MAX],
            Some((Phase::Watching { until }, hold)) => [*until, hold],
            Some((Phase::Begun, hold)) => [hold, u64::MAX],
            _ => [u64::MAX; 2],
        };
        times.into_iter().filter(|at| *at > now).min().unwrap_or(u64::MAX)
    }

    // ---- What people ask ----

    /// How an instance stands.
    fn standing(&self, name: &str, instance: &Instance) -> &'static str {
        let target = self.target(name).and_then(|n| self.catalog.get(n)).map(|p| p.version);
        match target {
            _ if !instance.seen.connected => "away",
            Some(target) if instance.refused.contains_key(&target) => "refused",
            Some(target) if instance.running.is_none_or(|r| r < target) => "lagging",
            _ => "current",
        }
    }

    /// All that is known, for programs.
    pub fn status(&self, now: Now) -> Value {
        let text = |v: Option<Version>| v.map(|v| v.to_string());
        let instances: Vec<Value> = self
            .fleet
            .iter()
            .map(|(name, i)| {
                let refused = i.refused.iter().map(|(v, why)| json!({"version": v.to_string(), "why": why}));
                let target = self.target(name).and_then(|n| self.catalog.get(n)).map(|p| p.version);
                json!({"instance": name, "labels": i.seen.labels, "standing": self.standing(name, i),
                    "running": text(i.running), "target": text(target), "offered": text(i.offered),
                    "acked": text(i.acked), "refused": refused.collect::<Vec<_>>(),
                    "heard_ms_ago": now.unix_ms.saturating_sub(i.heard_ms),
                    "answers": i.health.answers, "bad": i.health.bad})
            })
            .collect();
        let rollout = self.rollout.as_ref().map(|r| {
            let seen = self.fleet.iter().map(|(name, i)| (name.clone(), i.seen.clone())).collect();
            let Report { changed, refused, unchanged, unknown } = r.report(&seen);
            let (phase, why) = match &r.phase {
                Phase::Begun => ("begun", None),
                Phase::Offering { .. } => ("offering", None),
                Phase::Watching { .. } => ("watching", None),
                Phase::Halted { why } => ("halted", Some(why)),
                Phase::Done => ("done", None),
            };
            let refused: Vec<Value> =
                refused.into_iter().map(|(n, why)| json!({"instance": n, "why": why})).collect();
            json!({"version": text(self.catalog.get(r.number).map(|p| p.version)), "phase": phase, "why": why,
                "waves_begun": r.waves.len(), "waves": r.total(&self.plan), "changed": changed,
                "refused": refused, "unchanged": unchanged, "unknown": unknown})
        });
        let complete = self.complete.and_then(|n| self.catalog.get(n)).map(|p| p.version);
        json!({"store": self.store, "epoch": self.epoch, "deposed_by": self.deposed,
            "latest": text(self.catalog.latest().map(|p| p.version)), "complete": text(complete),
            "rollout": rollout, "instances": instances})
    }

    /// The published versions, oldest first.
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

    /// Where each key of what an instance is to run comes from.
    pub fn explain(&self, instance: &str) -> Option<Value> {
        let known = self.fleet.get(instance)?;
        let number = self.target(instance)?;
        let keys = self.catalog.explain(number, instance, &known.seen.labels)?;
        let keys: Vec<Value> = keys
            .into_iter()
            .map(|(key, (value, layer))| json!({"key": key, "value": value, "layer": layer}))
            .collect();
        let version = self.catalog.get(number).map(|p| p.version.to_string());
        Some(json!({"instance": instance, "version": version, "labels": known.seen.labels, "keys": keys}))
    }
}
