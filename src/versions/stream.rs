//! The connection to the control service, driven by the subscriber's state machine.
//!
//! Given the connection's input, the time and the results of the version thread; carries out the subscriber's steps, except
//! those that change the running configuration: these are left to the caller as [`StreamEvent`]s. Two messages fit into
//! each buffer, and the size of a version is bounded by the memory limit and [`MAX_VERSION_BYTES`].

use super::rules::CheckContext;
use super::selection::{OwnFile, Selection, select};
use super::store_thread::{self, Job, JobResult, Rollback, VersionThread};
use crate::config::{Stream as StreamConfig, version::Effective};
use crate::counters::{Counters, add, count};
use crate::net::{Connection, Malformed, Poll, PollEvent, ProtocolHandler, Ring};
use ochreward_stream::last_good::VersionStore;
use ochreward_stream::subscriber::{Action, OfferId, Options, Subscriber, SubscriberState, Withdrawal};
use ochreward_stream::trial::{Rules, Verdict};
use ochreward_stream::wire::{self, Code, Fault, FromService, Health, MAX_FRAME_BYTES};
use ochreward_stream::{Snapshot, Version};
use std::collections::VecDeque;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::SystemTime;
use tracing::{info, warn};

/// The sizes of the buffers for received and sent messages, in bytes.
const INPUT_BYTES: usize = 2 * (MAX_FRAME_BYTES + 4);
const OUTPUT_BYTES: usize = 2 * (MAX_FRAME_BYTES + 4);
/// The largest version accepted, whatever the memory limit.
const MAX_VERSION_BYTES: u64 = 16 << 20;
/// A version may take the memory limit divided by this.
const VERSION_MEMORY_DIVISOR: usize = 8;

/// Parses the messages of the connection.
struct FrameParser;

impl ProtocolHandler for FrameParser {
    type Out = Vec<FromService>;

    fn on_received(&mut self, input: &mut Ring, out: &mut Vec<FromService>) -> Result<(), Malformed> {
        loop {
            let Some(body) = wire::body(input.contiguous()).map_err(|e| Malformed(e.0))? else {
                return Ok(());
            };
            let size = body.len() + 4;
            out.push(wire::decode(body).map_err(|e| Malformed(e.0))?);
            input.consume(size);
        }
    }
}

/// An action for the caller.
pub enum StreamEvent {
    /// A version has arrived: call `check` with what it is to be checked against.
    Check(OfferId, Arc<Snapshot>),
    /// Check a version against the rules as of now, take it into use, and report the result with `applied`.
    Apply(OfferId, Box<Effective>),
    /// Roll back to this configuration, and report it with `selected`.
    RollBack(Box<Selection>),
}

/// The parameters of a new stream.
pub struct StartOptions<'a> {
    /// The stream's section of the operator's file.
    pub config: &'a StreamConfig,
    /// The content of the instance's own file.
    pub own_file: Arc<OwnFile>,
    /// The instance's name.
    pub name: &'a str,
    /// The folder for stored state, if there is one.
    pub folder: Option<PathBuf>,
    /// The memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// The seed for random backoff.
    pub seed: u64,
    /// Whether another process of the instance has the stream: this one then follows its files, and connects once it ends.
    pub standby: bool,
}

/// The subscription to the control service.
pub struct ConfigStream {
    options: Options,
    subscriber: Subscriber,
    link: Option<Connection<FrameParser>>,
    owner: u8,
    thread: VersionThread,
    files: Option<VersionStore>,
    /// Whether another process of the instance has the stream.
    standby: bool,
    /// The modification times and sizes of the files when they were last read on standby.
    file_stamps: Vec<Option<(SystemTime, u64)>>,
    folder: Option<PathBuf>,
    /// Versions that passed the check, in the order in which they are to be applied.
    checked: VecDeque<(OfferId, Box<Effective>)>,
    /// The buffer for received messages, kept for its capacity.
    received: Vec<FromService>,
    /// The current content of the instance's own file.
    own_file: Arc<OwnFile>,
    /// Actions for the caller, in order.
    pub events: Vec<StreamEvent>,
    counters: Rc<Counters>,
}

impl ConfigStream {
    /// Reads the stored state and starts the thread. The caller then has to `select` what to run.
    pub fn new(
        poll: &mut Poll,
        (owner, thread_owner): (u8, u8),
        now: u64,
        start: StartOptions,
        counters: Rc<Counters>,
    ) -> io::Result<ConfigStream> {
        let config = start.config;
        // Several instances may share one operator's file, so each has its own subfolder.
        let configured = config.folder.as_ref().map(|f| f.join(start.name));
        let folder = configured.or(start.folder.map(|f| f.join("versions")));
        let files = folder.clone().and_then(|folder| {
            let opened = VersionStore::open(folder, start.name);
            opened
                .inspect_err(
                    |e| warn!(reason = %e, "versions can't be stored; they are lost when the process ends"),
                )
                .ok()
        });
        let loaded = match (&files, start.standby) {
            (None, _) => Default::default(),
            (Some(files), true) => files.load_running(),
            (Some(files), false) => files.load(),
        };
        for (file, why) in &loaded.unusable_files {
            warn!(instance = start.name, file, %why, "a stored version is not used");
        }
        let memory = files.as_ref().map(VersionStore::load_memory);
        let memory = match memory {
            Some(Ok(memory)) => memory,
            Some(Err(why)) if why != ochreward_stream::last_good::Unusable::Missing => {
                warn!(instance = start.name, %why, "the stored state of the subscription is not used");
                SubscriberState::default()
            }
            _ => SubscriberState::default(),
        };
        if !start.standby
            && let Some(files) = &files
        {
            let _ = files.discard_trial();
        }
        let options = Options {
            instance: start.name.to_string(),
            labels: config.labels.clone(),
            services: config.services.clone(),
            backoff: config.backoff,
            silence: config.silence,
            trial: Rules { length: config.trial, margin: config.trial_margin, least: config.trial_least },
            most_bytes: ((start.memory_bytes / VERSION_MEMORY_DIVISOR) as u64).min(MAX_VERSION_BYTES),
            has_base: start.own_file.has_settings,
            seed: start.seed,
        };
        let running = loaded.snapshot.map(|(snapshot, _)| snapshot);
        let good = files.as_ref().and_then(|f| f.load().snapshot).map(|(s, _)| s);
        let subscriber = Subscriber::new(options.clone(), now, memory, running, good);
        let thread = store_thread::start(poll, thread_owner, files.clone())?;
        let mut stream = ConfigStream {
            options,
            subscriber,
            link: None,
            owner,
            thread,
            files,
            standby: start.standby,
            file_stamps: Vec::new(),
            folder,
            checked: VecDeque::new(),
            received: Vec::new(),
            own_file: start.own_file,
            events: Vec::new(),
            counters,
        };
        stream.file_stamps = stream.read_file_stamps();
        stream.update_gauges();
        Ok(stream)
    }

    /// Returns the running version.
    pub fn version(&self) -> Option<Version> {
        self.subscriber.version()
    }

    /// Selects what is to run over this own file: the running version, the last good one, or the file alone.
    pub fn select(&self, own_file: &OwnFile) -> Selection {
        select(&self.subscriber.candidates(), own_file)
    }

    /// Records what was selected.
    pub fn selected(&mut self, poll: &mut Poll, now: u64, selection: &Selection) {
        self.subscriber.on_selected(selection.version, selection.withdrawn.clone());
        self.update_gauges();
        self.run_steps(poll, now);
    }

    /// Returns when `advance` is next due.
    pub fn due(&self) -> u64 {
        if self.standby { u64::MAX } else { self.subscriber.next_due() }
    }

    /// Sets the counters of the running version.
    fn update_gauges(&self) {
        let version = self.version().unwrap_or_default();
        self.counters.version_epoch.set(version.epoch);
        self.counters.version_number.set(version.number);
    }

    /// Sets the counter of the time since a control service was last heard.
    pub fn update_staleness(&self, now: u64) {
        self.counters.stream_stale_ms.set(self.subscriber.stale_for(now).map_or(u64::MAX, |us| us / 1000));
    }

    /// Runs the subscriber's timers, with the counts of answers so far as the measure of health.
    pub fn advance(&mut self, poll: &mut Poll, now: u64) {
        if self.standby {
            return;
        }
        let counters = &self.counters;
        let bad = counters.answers_refused.get() + counters.answers_failed.get();
        let health = Health { answers: counters.answers_served.get() + bad, failed: bad };
        self.subscriber.advance(now, health);
        self.run_steps(poll, now);
    }

    /// Handles a ready descriptor of the stream or of the version thread.
    pub fn ready(&mut self, poll: &mut Poll, now: u64, ready: PollEvent) {
        if self.thread.owns_token(ready.token) {
            self.handle_results();
        } else if let Some(link) = self.link.as_mut().filter(|l| l.io.token() == ready.token) {
            let was_connecting = link.io.connecting();
            let mut received = std::mem::take(&mut self.received);
            let before = link.io.received;
            let mut result = link.handle_event(poll, ready, &mut received);
            add(&self.counters.stream_received_bytes, (link.io.received - before) as usize);
            if was_connecting && result.is_ok() && !link.io.connecting() {
                self.subscriber.on_connected(now);
            }
            if link.io.read_closed && result.is_ok() {
                result = Err(crate::net::Closed::Broken);
            }
            for message in received.drain(..) {
                if let FromService::Refused { why } = &message {
                    warn!(instance = self.options.instance, why, "the control service refused this instance");
                }
                self.subscriber.on_message(now, message);
            }
            self.received = received;
            // The subscriber may have decided to disconnect already.
            let disconnecting = self.subscriber.steps.iter().any(|s| matches!(s, Action::Disconnect(_)));
            if let Err(why) = result
                && !disconnecting
            {
                let stale_ms = self.subscriber.stale_for(now).map(|us| us / 1000);
                info!(
                    instance = self.options.instance,
                    ?why,
                    stale_ms,
                    "the connection to the control service was lost"
                );
                count(&self.counters.stream_closes);
                self.link = None;
                self.subscriber.on_connection_lost(now);
            }
        }
        self.run_steps(poll, now);
    }

    /// Handles the results of the version thread.
    fn handle_results(&mut self) {
        for result in self.thread.take_results() {
            match result {
                // A SIGHUP has changed the own file meanwhile, so the checked configuration is not the one that would run.
                JobResult::Checked(ticket, snapshot, own_file, _)
                    if !Arc::ptr_eq(&own_file, &self.own_file) =>
                {
                    self.events.push(StreamEvent::Check(ticket, snapshot));
                }
                JobResult::Checked(ticket, _, _, Ok(effective)) => {
                    self.checked.push_back((ticket, effective));
                    self.subscriber.on_checked(ticket, Ok(()));
                }
                JobResult::Checked(ticket, _, _, Err(why)) => self.subscriber.on_checked(ticket, Err(why)),
                JobResult::RolledBack(rollback) if self.is_outdated(&rollback) => {}
                JobResult::RolledBack(rollback) => {
                    self.events.push(StreamEvent::RollBack(Box::new(rollback.selection)))
                }
                JobResult::WriteFailed(what, reason) => warn!(what, %reason, "could not be written to disk"),
            }
        }
    }

    /// Returns whether something else has come into use since the rollback was decided: a SIGHUP has selected anew over
    /// another own file, or a version whose check was under way has been applied.
    fn is_outdated(&self, rollback: &Rollback) -> bool {
        !Arc::ptr_eq(&rollback.own_file, &self.own_file) || rollback.to != self.version()
    }

    /// Has the version thread check a version against the context.
    pub fn check(&self, ticket: OfferId, snapshot: Arc<Snapshot>, context: CheckContext) {
        self.thread.submit(Job::Check(ticket, snapshot, self.own_file.clone(), Box::new(context)));
    }

    /// Replaces the instance's own file.
    pub fn set_own_file(&mut self, own_file: Arc<OwnFile>) {
        self.subscriber.set_has_base(own_file.has_settings);
        self.options.has_base = own_file.has_settings;
        self.own_file = own_file;
        // The version that the other process runs may be permitted now.
        self.file_stamps.clear();
    }

    /// Returns the instance's own file.
    pub fn own_file(&self) -> &Arc<OwnFile> {
        &self.own_file
    }

    /// Records that a version was taken into use, or why it could not be.
    pub fn applied(
        &mut self,
        poll: &mut Poll,
        now: u64,
        ticket: OfferId,
        result: Result<(), (Code, Vec<Fault>)>,
    ) {
        let succeeded = result.is_ok();
        self.subscriber.on_applied(now, ticket, result);
        if succeeded {
            count(&self.counters.versions_applied);
            let version = self.version().unwrap_or_default();
            info!(instance = self.options.instance, %version, trial = self.subscriber.on_trial(), "a new version is in use");
        }
        self.update_gauges();
        self.run_steps(poll, now);
    }

    /// Carries out the subscriber's pending steps.
    fn run_steps(&mut self, poll: &mut Poll, now: u64) {
        while let Some(step) = self.subscriber.steps.pop_front() {
            match step {
                Action::Connect(to) => {
                    count(&self.counters.stream_connects);
                    let token = poll.token(self.owner, 0);
                    match Connection::connect(poll, to, token, FrameParser, (INPUT_BYTES, OUTPUT_BYTES)) {
                        Ok(link) => self.link = Some(link),
                        Err(_) => self.subscriber.on_connection_lost(now),
                    }
                }
                Action::Disconnect(why) => {
                    count(&self.counters.stream_closes);
                    let stale_ms = self.subscriber.stale_for(now).map(|us| us / 1000);
                    info!(
                        instance = self.options.instance,
                        ?why,
                        stale_ms,
                        "disconnected from the control service"
                    );
                    self.link = None;
                }
                Action::Send(message) => {
                    let Some(link) = &mut self.link else { continue };
                    let frame = wire::encode_frame(&message);
                    add(&self.counters.stream_sent_bytes, frame.len());
                    if !link.io.queue(&frame) || link.flush(poll).is_err() {
                        count(&self.counters.stream_closes);
                        self.link = None;
                        self.subscriber.on_connection_lost(now);
                    }
                }
                Action::Check(ticket, snapshot) => self.events.push(StreamEvent::Check(ticket, snapshot)),
                // What is applied is the configuration that the version thread has read and checked.
                Action::Apply(ticket, _) => {
                    while let Some((checked_ticket, effective)) = self.checked.pop_front() {
                        if checked_ticket == ticket {
                            self.events.push(StreamEvent::Apply(ticket, effective));
                            break;
                        }
                    }
                }
                Action::Promote(snapshot, verdict) => {
                    let version = snapshot.version;
                    let untested = verdict == Verdict::Untested;
                    info!(instance = self.options.instance, %version, untested, "the version on trial is kept as the last good one");
                    count(&self.counters.versions_kept);
                    self.thread.submit(Job::Promote(snapshot));
                }
                Action::RollBack(to, from, verdict) => {
                    let running = self.version().map_or_else(|| "none".to_string(), |v| v.to_string());
                    warn!(instance = self.options.instance, %from, running, ?verdict, "the version on trial is rolled back");
                    count(&self.counters.versions_returned);
                    self.update_gauges();
                    self.thread.submit(Job::RollBack { to, from, own_file: self.own_file.clone() });
                }
                Action::StoreState(memory) => self.thread.submit(Job::SaveMemory(memory)),
                Action::Withdrawn(withdrawal) => self.log_withdrawal(&withdrawal),
                Action::Rejected(version, code, faults) => {
                    count(&self.counters.versions_refused);
                    let fault = faults.first().map(Fault::to_string).unwrap_or_default();
                    warn!(instance = self.options.instance, %version, ?code, faults = faults.len(), fault, "a version was refused");
                }
            }
        }
    }

    /// Logs and counts a version that gave way to the own file, and deletes it if it was on trial.
    fn log_withdrawal(&self, withdrawal: &Withdrawal) {
        count(&self.counters.versions_withdrawn);
        let running = self.version().map_or_else(|| "none".to_string(), |v| v.to_string());
        let (version, faults) = (withdrawal.version, withdrawal.faults.len());
        let fault = withdrawal.faults.first().map(Fault::to_string).unwrap_or_default();
        warn!(instance = self.options.instance, %version, running, faults, fault, "a version gives way to the instance's own file and is not used");
        if !self.standby {
            self.thread.submit(Job::DiscardTrial(version));
        }
    }

    // ---- Two processes of one instance ----

    /// Returns the modification times and sizes of the files that the process with the stream writes.
    fn read_file_stamps(&self) -> Vec<Option<(SystemTime, u64)>> {
        let Some(folder) = &self.folder else { return Vec::new() };
        let stamp = |name: &&str| {
            let meta = std::fs::metadata(folder.join(name)).ok()?;
            Some((meta.modified().ok()?, meta.len()))
        };
        ["trial", "good", "memory"].iter().map(stamp).collect()
    }

    /// Adopts the version that the other process runs while this one is on standby; returns whether it has changed. The
    /// caller then has to `select` what to run.
    pub fn follow(&mut self) -> bool {
        let Some(files) = self.files.clone().filter(|_| self.standby) else { return false };
        let file_stamps = self.read_file_stamps();
        if file_stamps == self.file_stamps {
            return false;
        }
        self.file_stamps = file_stamps;
        let running = files.load_running().snapshot.map(|(s, _)| s);
        if running.as_ref().map(|r| r.version) == self.version() {
            return false;
        }
        let good = files.load().snapshot.map(|(s, _)| s);
        let memory = files.load_memory().unwrap_or_else(|_| self.subscriber.memory().clone());
        self.subscriber.adopt(running, good, memory);
        true
    }

    /// Takes the stream over after the other process has ended. A version that was on trial starts its trial again.
    pub fn take_over(&mut self, now: u64) {
        if !std::mem::take(&mut self.standby) {
            return;
        }
        let files = self.files.clone();
        let load = |load: fn(&VersionStore) -> ochreward_stream::last_good::Loaded| {
            files.as_ref().and_then(|f| load(f).snapshot).map(|(s, _)| s)
        };
        let (running, good) = (load(VersionStore::load_running), load(VersionStore::load));
        let memory = files.as_ref().and_then(|f| f.load_memory().ok());
        let memory = memory.unwrap_or_else(|| self.subscriber.memory().clone());
        // This process runs the version it last followed. The files may be newer, by at most one reading interval; a newer
        // version is not used here, as it does not run here yet.
        let running = running.filter(|r| Some(r.version) == self.version());
        self.subscriber = Subscriber::new(self.options.clone(), now, memory, running, good);
        self.update_gauges();
    }
}

#[cfg(test)]
mod tests;
