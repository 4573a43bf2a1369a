//! Applies streamed configuration versions to a running dispatcher.
//!
//! A version is applied over the instance's own file, whichever of the two changed last, and the file's limits hold for
//! it in any case: a version that they forbid gives way to the last good one, or else to the file alone. What comes into
//! use without an offer is selected by [`Selection`], at a start, after a reload, from the other process of this
//! dispatcher and after a trial alike. A version that is being checked when the file changes is checked again.

use super::reload::ReloadError;
use super::{Node, STREAM, VERSION_THREAD};
use crate::api::WorkerId;
use crate::config::version::Effective;
use crate::config::{Config, Stream as StreamConfig};
use crate::counters::Counters;
use crate::front::mqtt;
use crate::net::{Poll, PollEvent};
use crate::versions::rules::{self, CheckContext, Usage};
use crate::versions::{ConfigStream, OwnFile, Selection, StartOptions, StreamEvent};
use ochreward_stream::Version;
use ochreward_stream::wire::Code;
use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use tracing::{info, warn};

/// The stream, and what its stored version adds to the configuration at the start.
#[derive(Default)]
pub(super) struct StreamStart {
    pub stream: Option<ConfigStream>,
    pub bans: BTreeSet<WorkerId>,
    pub brokers: Option<Vec<mqtt::Options>>,
}

/// The way by which a configuration comes into use, as the log names it.
#[derive(Clone, Copy, Debug)]
pub(super) enum Origin {
    /// The start of the process.
    Start,
    /// A SIGHUP.
    Reload,
    /// A version of the control service.
    Version,
    /// The version that the other process of this dispatcher runs.
    OtherProcess,
    /// The end of a trial that found a version worse.
    Rollback,
}

impl Origin {
    /// Returns the rules that a version was held against on this way.
    fn rules(self) -> &'static str {
        match self {
            Origin::Version => "the platform's limits and what is in use",
            Origin::Start | Origin::Reload | Origin::OtherProcess | Origin::Rollback => {
                "the platform's limits"
            }
        }
    }
}

/// Logs which configuration comes into use. A version among it has been held against the rules of its way.
fn log_configuration_in_use(config: &Config, origin: Origin, version: Option<Version>) {
    let version = version.map_or_else(|| "none".to_string(), |v| v.to_string());
    info!(instance = config.name, ?origin, version, rules = origin.rules(), "a configuration is in use");
}

/// Starts the stream, and applies the stored version to the configuration.
pub(super) fn start_stream(
    poll: &mut Poll,
    now: u64,
    config: &mut Config,
    (stream_config, own_file): (&StreamConfig, Arc<OwnFile>),
    standby: bool,
    counters: &Rc<Counters>,
) -> io::Result<StreamStart> {
    let start = StartOptions {
        config: stream_config,
        own_file: own_file.clone(),
        name: &config.name,
        folder: config.folder.clone(),
        memory_bytes: config.parts.resources.memory,
        seed: config.seed ^ u64::from(std::process::id()) << 32,
        standby,
    };
    let mut stream = ConfigStream::new(poll, (STREAM, VERSION_THREAD), now, start, counters.clone())?;
    let selection = stream.select(&own_file);
    stream.selected(poll, now, &selection);
    let mut started = StreamStart::default();
    match (selection.version, selection.effective) {
        (Some(version), Some(effective)) => {
            info!(instance = config.name, %version, "starting on the last good version");
            config.parts = effective.parts;
            started.bans = ids(effective.bans);
            started.brokers = effective.fronts;
        }
        (_, None) => {
            warn!(
                instance = config.name,
                "no settings in the file or in a stored version: not ready until a version arrives"
            )
        }
        (None, Some(_)) => {
            info!(
                instance = config.name,
                "no version is stored that can be used: starting on the instance's own file"
            )
        }
    }
    log_configuration_in_use(config, Origin::Start, stream.version());
    started.stream = Some(stream);
    Ok(started)
}

fn ids(bans: Vec<String>) -> BTreeSet<WorkerId> {
    bans.into_iter().map(WorkerId::from).collect()
}

impl Node {
    /// Returns the instance's own file, which versions are applied over.
    pub(super) fn own_file(config: &Config) -> Arc<OwnFile> {
        Arc::new(OwnFile { content: config.source().clone(), has_settings: !config.has_no_settings })
    }

    /// Returns what a version is checked against: the platform's file, the running settings and what is in use now.
    fn version_check_context(&self) -> CheckContext {
        let classes =
            self.engine.classes_in_use().into_iter().filter_map(|p| self.settings.classes.get(p).cloned());
        let usage = Usage {
            classes: classes.collect(),
            requests: self.engine.open_requests(),
            descriptors: self.thrift.connections()
                + self.pool.connections()
                + self.stations.as_ref().map_or(0, crate::front::stations::Front::connections),
            held_bytes: self.engine.held_bytes(),
        };
        let platform = self.stream.as_ref().and_then(|stream| stream.own_file().platform());
        CheckContext { platform, running: (!self.unconfigured).then(|| self.settings.clone()), usage }
    }

    /// Advances the stream, and handles its events.
    pub(super) fn advance_stream(&mut self) {
        if let Some(stream) = &mut self.stream {
            stream.advance(&mut self.poll, self.now);
            self.handle_stream_events();
        }
    }

    /// Handles a ready descriptor of the stream, and its events.
    pub(super) fn handle_stream_ready(&mut self, ready: PollEvent) {
        if let Some(stream) = &mut self.stream {
            stream.ready(&mut self.poll, self.now, ready);
            self.handle_stream_events();
        }
    }

    /// Handles the stream's events until none is left: answering one may cause more.
    fn handle_stream_events(&mut self) {
        while let Some(stream) = &mut self.stream
            && !stream.events.is_empty()
        {
            for event in std::mem::take(&mut stream.events) {
                match event {
                    StreamEvent::Check(ticket, snapshot) => {
                        let context = self.version_check_context();
                        if let Some(stream) = &self.stream {
                            stream.check(ticket, snapshot, context);
                        }
                    }
                    StreamEvent::Apply(ticket, effective) => {
                        // What is in use may have changed since the check in the background.
                        let violations = rules::violations(&self.version_check_context(), &effective.parts);
                        let result =
                            if violations.is_empty() { Ok(()) } else { Err((Code::Invalid, violations)) };
                        if result.is_ok() {
                            self.apply_version(*effective);
                        }
                        let applied = result.is_ok();
                        if let Some(stream) = &mut self.stream {
                            stream.applied(&mut self.poll, self.now, ticket, result);
                        }
                        if applied {
                            self.log_configuration(Origin::Version);
                        }
                    }
                    StreamEvent::RollBack(selection) => self.apply_selection(*selection, Origin::Rollback),
                }
            }
        }
    }

    /// Takes a version into use; requests, counters and everything learned are kept.
    fn apply_version(&mut self, effective: Effective) {
        self.config.parts = effective.parts;
        self.adopt_settings();
        let old_bans = std::mem::replace(&mut self.version_bans, ids(effective.bans));
        // An executor may have been restarted during its ban, so it counts as started now.
        let lifted: Vec<WorkerId> = old_bans.difference(&self.version_bans).cloned().collect();
        for id in lifted.into_iter().filter(|id| !self.bans.contains(id)) {
            self.ban_lifted_at.insert(id, self.now);
        }
        self.publish_list();
        self.version_brokers = effective.fronts;
        self.connect_brokers();
        self.unconfigured = false;
        self.update_accepting();
        self.answer_operators();
    }

    /// Logs which configuration has come into use; without a stream it is always the instance's own file.
    pub(super) fn log_configuration(&self, origin: Origin) {
        if let Some(stream) = &self.stream {
            log_configuration_in_use(&self.config, origin, stream.version());
        }
    }

    /// Takes what was selected into use, and records it.
    pub(super) fn apply_selection(&mut self, selection: Selection, origin: Origin) {
        if let Some(stream) = &mut self.stream {
            stream.selected(&mut self.poll, self.now, &selection);
        }
        match selection.effective {
            Some(effective) => self.apply_version(*effective),
            None => warn!(
                instance = self.config.name,
                "no settings in the file or in a usable version: what is in use stays until a version arrives"
            ),
        }
        self.log_configuration(origin);
    }

    /// Selects what is to run over a reread file; the dispatcher itself is not changed yet. Returns `None` without a stream,
    /// and as long as the instance waits for its first version.
    pub(super) fn select_over(&self, config: &Config) -> Result<Option<Selection>, ReloadError> {
        let Some(stream) = &self.stream else { return Ok(None) };
        let selection = stream.select(&Node::own_file(config));
        if selection.effective.is_some() {
            return Ok(Some(selection));
        }
        match selection.withdrawn.into_iter().next() {
            Some(withdrawal) => Err(ReloadError::Overlaid(withdrawal.faults)),
            None if self.unconfigured => Ok(None),
            None => Err(ReloadError::Bare),
        }
    }

    /// Passes the instance's own file to the stream after a reload.
    pub(super) fn update_own_file(&mut self) {
        let own_file = Node::own_file(&self.config);
        if let Some(stream) = &mut self.stream {
            stream.set_own_file(own_file);
        }
    }

    /// Takes the version into use that the other process of this dispatcher runs, if that has changed.
    pub(super) fn follow_other_process_version(&mut self) {
        let Some(stream) = &mut self.stream else { return };
        if stream.follow() {
            let selection = stream.select(stream.own_file());
            self.apply_selection(selection, Origin::OtherProcess);
        }
    }

    /// Takes the stream over after the other process has ended.
    pub(super) fn take_over_stream(&mut self) {
        self.follow_other_process_version();
        if let Some(stream) = &mut self.stream {
            stream.take_over(self.now);
        }
    }
}
