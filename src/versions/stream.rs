//! The connection to the control service, and the subscriber behind it. It carries the subscriber's steps out, but for
//! those that change what runs: these are the program's to do, as [`News`].

use super::keeper::{self, Done, Job, Keeper};
use super::rules::Grounds;
use crate::config::{Stream as Told, version::Effective};
use crate::counters::{Counters, add, count};
use crate::net::{Callbacks, Link, Malformed, Poll, Ready, Ring};
use ochreward_stream::last_good::LastGood;
use ochreward_stream::subscriber::{Memory, Options, Step, Subscriber, Ticket};
use ochreward_stream::trial::{Rules, Verdict};
use ochreward_stream::wire::{self, Code, Fault, FromService, Health, MOST_FRAME};
use ochreward_stream::{Snapshot, Version};
use serde_json::Value;
use std::collections::VecDeque;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::SystemTime;
use tracing::{info, warn};

/// Room for messages of the service, and for ours.
const IN: usize = 2 * (MOST_FRAME + 4);
const OUT: usize = 2 * (MOST_FRAME + 4);
/// The largest version taken, whatever the memory.
const MOST_VERSION: u64 = 16 << 20;
/// Its part of the memory.
const MEMORY_PART: usize = 8;

/// Takes messages off the connection.
struct Frames;

impl Callbacks for Frames {
    type Out = Vec<FromService>;

    fn received(&mut self, input: &mut Ring, out: &mut Vec<FromService>) -> Result<(), Malformed> {
        loop {
            let Some(body) = wire::body(input.contiguous()).map_err(|e| Malformed(e.0))? else {
                return Ok(());
            };
            let size = body.len() + 4;
            out.push(wire::parse(body).map_err(|e| Malformed(e.0))?);
            input.consume(size);
        }
    }
}

/// What the program must do.
pub enum News {
    /// Say how things stand, by `check`: a version has come.
    Check(Ticket, Arc<Snapshot>),
    /// Hold a version against the rules, as things stand now, and take it into use; then say so by `applied`.
    Apply(Ticket, Box<Effective>),
    /// Go back to this, whatever stands against it.
    Return(Box<Effective>),
}

/// What a stream starts with.
pub struct Start<'a> {
    /// What the operator's file says.
    pub told: &'a Told,
    /// The instance's own file.
    pub own: Arc<Value>,
    /// The instance's name.
    pub name: &'a str,
    /// The folder that outlives the process, if there is one.
    pub folder: Option<PathBuf>,
    /// The memory that the process may use, in bytes.
    pub memory: usize,
    /// There is something to run without any version.
    pub has_base: bool,
    /// For random waits.
    pub seed: u64,
    /// Another process of the instance serves: this one follows its files, and connects when it is gone.
    pub dormant: bool,
}

/// The stream.
pub struct Stream {
    options: Options,
    subscriber: Subscriber,
    link: Option<Link<Frames>>,
    owner: u8,
    keeper: Keeper,
    files: Option<LastGood>,
    /// Whether another process of the instance has the stream.
    dormant: bool,
    /// The files as they were last read, while dormant.
    seen: Vec<Option<(SystemTime, u64)>>,
    folder: Option<PathBuf>,
    /// Versions that were checked, as they were read; applied in this order.
    ready: VecDeque<(Ticket, Box<Effective>)>,
    said: Vec<FromService>,
    /// The instance's own file, as it stands.
    told: Arc<Value>,
    /// What the program must do, in order.
    pub news: Vec<News>,
    counters: Rc<Counters>,
}

impl Stream {
    /// Reads what is kept, and starts the thread; the version to run, if there is one.
    pub fn new(
        poll: &mut Poll,
        (owner, keeper_owner): (u8, u8),
        now: u64,
        start: Start,
        counters: Rc<Counters>,
    ) -> io::Result<(Stream, Option<Snapshot>)> {
        let told = start.told;
        // Several instances may be told by one file.
        let own = told.folder.as_ref().map(|f| f.join(start.name));
        let folder = own.or(start.folder.map(|f| f.join("versions")));
        let files = folder.clone().and_then(|folder| {
            let opened = LastGood::open(folder, start.name);
            opened
                .inspect_err(|e| warn!(reason = %e, "versions can't be kept; they end with the process"))
                .ok()
        });
        let loaded = match (&files, start.dormant) {
            (None, _) => Default::default(),
            (Some(files), true) => files.load_running(),
            (Some(files), false) => files.load(),
        };
        for (file, why) in &loaded.passed_over {
            warn!(instance = start.name, file, %why, "a kept version is not used");
        }
        let memory = files.as_ref().map(LastGood::memory);
        let memory = match memory {
            Some(Ok(memory)) => memory,
            Some(Err(why)) if why != ochreward_stream::last_good::Unusable::Missing => {
                warn!(instance = start.name, %why, "what was remembered of the service is not used");
                Memory::default()
            }
            _ => Memory::default(),
        };
        if !start.dormant
            && let Some(files) = &files
        {
            let _ = files.discard_trial();
        }
        let options = Options {
            instance: start.name.to_string(),
            labels: told.labels.clone(),
            services: told.services.clone(),
            backoff: told.backoff,
            silence: told.silence,
            trial: Rules { length: told.trial, margin: told.trial_margin, least: told.trial_least },
            most_bytes: ((start.memory / MEMORY_PART) as u64).min(MOST_VERSION),
            has_base: start.has_base,
            seed: start.seed,
        };
        let running = loaded.snapshot.map(|(snapshot, _)| snapshot);
        let good = files.as_ref().and_then(|f| f.load().snapshot).map(|(s, _)| s);
        let subscriber = Subscriber::new(options.clone(), now, memory, running.clone(), good);
        let keeper = keeper::start(poll, keeper_owner, files.clone())?;
        let mut stream = Stream {
            options,
            subscriber,
            link: None,
            owner,
            keeper,
            files,
            dormant: start.dormant,
            seen: Vec::new(),
            folder,
            ready: VecDeque::new(),
            said: Vec::new(),
            told: start.own,
            news: Vec::new(),
            counters,
        };
        stream.seen = stream.look();
        stream.gauge();
        Ok((stream, running))
    }

    /// The version that runs.
    pub fn version(&self) -> Option<Version> {
        self.subscriber.version()
    }

    /// The stored version can't be used with the instance's own file: it is as if there were none.
    pub fn disown(&mut self, now: u64) {
        let memory =
            Memory { highest: Version::default(), content: None, ..self.subscriber.memory().clone() };
        self.subscriber = Subscriber::new(self.options.clone(), now, memory, None, None);
        self.gauge();
    }

    /// When `advance` next has something to do.
    pub fn due(&self) -> u64 {
        if self.dormant { u64::MAX } else { self.subscriber.due() }
    }

    fn gauge(&self) {
        let version = self.version().unwrap_or_default();
        self.counters.version_epoch.set(version.epoch);
        self.counters.version_number.set(version.number);
    }

    /// For how long no service has been heard, for the counters.
    pub fn tell_staleness(&self, now: u64) {
        self.counters.stream_stale_ms.set(self.subscriber.stale_for(now).map_or(u64::MAX, |us| us / 1000));
    }

    /// Time has passed.
    pub fn advance(&mut self, poll: &mut Poll, now: u64) {
        if self.dormant {
            return;
        }
        let c = &self.counters;
        let bad = c.answers_refused.get() + c.answers_failed.get();
        let health = Health { answers: c.answers_served.get() + bad, bad };
        self.subscriber.advance(now, health);
        self.carry(poll, now);
    }

    /// Handles what happened to a descriptor of the stream.
    pub fn ready(&mut self, poll: &mut Poll, now: u64, ready: Ready) {
        if self.keeper.is(ready.token) {
            self.done();
        } else if let Some(link) = self.link.as_mut().filter(|l| l.io.token() == ready.token) {
            let rising = link.io.connecting();
            let mut said = std::mem::take(&mut self.said);
            let before = link.io.received;
            let mut result = link.ready(poll, ready, &mut said);
            add(&self.counters.stream_received_bytes, (link.io.received - before) as usize);
            if rising && result.is_ok() && !link.io.connecting() {
                self.subscriber.connected_now(now);
            }
            if link.io.ended && result.is_ok() {
                result = Err(crate::net::Closed::Broken);
            }
            for message in said.drain(..) {
                if let FromService::Refused { why } = &message {
                    warn!(
                        instance = self.options.instance,
                        why, "the control service turned this instance away"
                    );
                }
                self.subscriber.received(now, message);
            }
            self.said = said;
            // What it decided may have ended the connection already.
            let ended = self.subscriber.steps.iter().any(|s| matches!(s, Step::Disconnect(_)));
            if let Err(why) = result
                && !ended
            {
                let stale_ms = self.subscriber.stale_for(now).map(|us| us / 1000);
                info!(instance = self.options.instance, ?why, stale_ms, "the stream of configuration ended");
                count(&self.counters.stream_closes);
                self.link = None;
                self.subscriber.lost(now);
            }
        }
        self.carry(poll, now);
    }

    fn done(&mut self) {
        for done in self.keeper.take() {
            match done {
                // The file changed meanwhile, by SIGHUP: what was checked would not be what runs.
                Done::Checked(ticket, snapshot, told, _) if !Arc::ptr_eq(&told, &self.told) => {
                    self.news.push(News::Check(ticket, snapshot));
                }
                Done::Checked(ticket, _, _, Ok(effective)) => {
                    self.ready.push_back((ticket, effective));
                    self.subscriber.checked(ticket, Ok(()));
                }
                Done::Checked(ticket, _, _, Err(why)) => self.subscriber.checked(ticket, Err(why)),
                Done::Returned(Ok(effective)) => self.news.push(News::Return(effective)),
                Done::Returned(Err(faults)) => {
                    warn!(fault = ?faults.first(), "the version to go back to can't be read; what runs stays")
                }
                Done::Unkept(what, reason) => warn!(what, %reason, "could not be kept on disk"),
            }
        }
    }

    /// Says how things stand, for a version to be held against.
    pub fn check(&self, ticket: Ticket, snapshot: Arc<Snapshot>, grounds: Grounds) {
        self.keeper.ask(Job::Check(ticket, snapshot, self.told.clone(), Box::new(grounds)));
    }

    /// The instance's own file has changed.
    pub fn own_file(&mut self, told: Arc<Value>) {
        self.told = told;
    }

    /// The version that runs, whole.
    pub fn running(&self) -> Option<&Snapshot> {
        self.subscriber.running()
    }

    /// A version is in use, or could not be taken into use.
    pub fn applied(
        &mut self,
        poll: &mut Poll,
        now: u64,
        ticket: Ticket,
        result: Result<(), (Code, Vec<Fault>)>,
    ) {
        let yes = result.is_ok();
        self.subscriber.applied(now, ticket, result);
        if yes {
            count(&self.counters.versions_applied);
            let version = self.version().unwrap_or_default();
            info!(instance = self.options.instance, %version, trial = self.subscriber.on_trial(), "a version is in use");
        }
        self.gauge();
        self.carry(poll, now);
    }

    fn carry(&mut self, poll: &mut Poll, now: u64) {
        while let Some(step) = self.subscriber.steps.pop_front() {
            match step {
                Step::Connect(to) => {
                    count(&self.counters.stream_connects);
                    let token = poll.token(self.owner, 0);
                    match Link::connect(poll, to, token, Frames, (IN, OUT)) {
                        Ok(link) => self.link = Some(link),
                        Err(_) => self.subscriber.lost(now),
                    }
                }
                Step::Disconnect(why) => {
                    count(&self.counters.stream_closes);
                    let stale_ms = self.subscriber.stale_for(now).map(|us| us / 1000);
                    info!(
                        instance = self.options.instance,
                        ?why,
                        stale_ms,
                        "the stream of configuration is ended"
                    );
                    self.link = None;
                }
                Step::Send(message) => {
                    let Some(link) = &mut self.link else { continue };
                    let frame = wire::frame(&message);
                    add(&self.counters.stream_sent_bytes, frame.len());
                    if !link.io.queue(&frame) || link.flush(poll).is_err() {
                        count(&self.counters.stream_closes);
                        self.link = None;
                        self.subscriber.lost(now);
                    }
                }
                Step::Check(ticket, snapshot) => self.news.push(News::Check(ticket, snapshot)),
                // Only what the keeper has read is applied.
                Step::Apply(ticket, _) => {
                    while let Some((of, effective)) = self.ready.pop_front() {
                        if of == ticket {
                            self.news.push(News::Apply(ticket, effective));
                            break;
                        }
                    }
                }
                Step::Keep(version, verdict) => {
                    let untested = verdict == Verdict::Untested;
                    info!(instance = self.options.instance, %version, untested, "a version is the last good one");
                    count(&self.counters.versions_kept);
                    self.keeper.ask(Job::Promote(version));
                }
                Step::Return(to, from, verdict) => {
                    let running = self.version().map_or_else(|| "none".to_string(), |v| v.to_string());
                    warn!(instance = self.options.instance, %from, running, ?verdict, "a version was given up");
                    count(&self.counters.versions_returned);
                    self.gauge();
                    self.keeper.ask(Job::Return(to, self.told.clone()));
                }
                Step::Remember(memory) => self.keeper.ask(Job::Remember(memory)),
                Step::TurnedDown(version, code, faults) => {
                    count(&self.counters.versions_refused);
                    let fault = faults.first().map(Fault::to_string).unwrap_or_default();
                    warn!(instance = self.options.instance, %version, ?code, faults = faults.len(), fault, "a version was turned down");
                }
            }
        }
    }

    // ---- Two processes ----

    fn look(&self) -> Vec<Option<(SystemTime, u64)>> {
        let Some(folder) = &self.folder else { return Vec::new() };
        let mark = |name: &&str| {
            let meta = std::fs::metadata(folder.join(name)).ok()?;
            Some((meta.modified().ok()?, meta.len()))
        };
        ["trial", "good", "memory"].iter().map(mark).collect()
    }

    /// While another process has the stream: what it runs now, if that has changed. The outer `None` says that
    /// nothing has; the inner one that it runs its own file.
    pub fn follow(&mut self) -> Option<Option<Snapshot>> {
        let files = self.files.clone().filter(|_| self.dormant)?;
        let seen = self.look();
        if seen == self.seen {
            return None;
        }
        self.seen = seen;
        let running = files.load_running().snapshot.map(|(s, _)| s);
        if running.as_ref().map(|r| r.version) == self.version() {
            return None;
        }
        let good = files.load().snapshot.map(|(s, _)| s);
        let memory = files.memory().unwrap_or_else(|_| self.subscriber.memory().clone());
        self.subscriber.follow(running.clone(), good, memory);
        self.gauge();
        Some(running)
    }

    /// The other process has gone: the stream is this one's. A version that was on trial is tried anew.
    pub fn take_over(&mut self, now: u64) {
        if !std::mem::take(&mut self.dormant) {
            return;
        }
        let files = self.files.clone();
        let of = |load: fn(&LastGood) -> ochreward_stream::last_good::Loaded| {
            files.as_ref().and_then(|f| load(f).snapshot).map(|(s, _)| s)
        };
        let (running, good) = (of(LastGood::load_running), of(LastGood::load));
        let memory = files.as_ref().and_then(|f| f.memory().ok());
        let memory = memory.unwrap_or_else(|| self.subscriber.memory().clone());
        // What runs here is what was last followed; the files can't be ahead by more than a moment.
        let running = running.filter(|r| Some(r.version) == self.version());
        let good = good.filter(|_| running.is_some());
        self.subscriber = Subscriber::new(self.options.clone(), now, memory, running, good);
        self.gauge();
    }
}
