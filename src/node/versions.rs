//! What a streamed version changes in a dispatcher that runs.
//!
//! What the version says goes over the instance's own file, whichever of the two changed last: a SIGHUP reads the file
//! again under the version that runs, and a version that is being checked when the file changes is checked again. A
//! file that does not fit under the running version is refused like one with a fault.

use super::reload::ReloadError;
use super::{KEEPER, Node, STREAM};
use crate::api::WorkerId;
use crate::config::version::Effective;
use crate::config::{Config, Parts, Stream as Told};
use crate::counters::Counters;
use crate::front::mqtt;
use crate::net::{Poll, Ready};
use crate::versions::rules::{self, Grounds, Usage};
use crate::versions::{News, Start, Stream, read};
use ochreward_stream::wire::Code;
use serde_json::Value;
use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use tracing::{info, warn};

/// What a stream brings to a start.
#[derive(Default)]
pub(super) struct Begun {
    pub stream: Option<Stream>,
    pub bans: BTreeSet<WorkerId>,
    pub brokers: Option<Vec<mqtt::Options>>,
}

/// Starts the stream, and has the configuration say what the stored version says.
pub(super) fn begin(
    poll: &mut Poll,
    now: u64,
    config: &mut Config,
    (told, own): (&Told, Arc<Value>),
    dormant: bool,
    counters: &Rc<Counters>,
) -> io::Result<Begun> {
    let start = Start {
        told,
        own: own.clone(),
        name: &config.name,
        folder: config.folder.clone(),
        memory: config.parts.resources.memory,
        has_base: !config.bare,
        seed: config.seed ^ u64::from(std::process::id()) << 32,
        dormant,
    };
    let (mut stream, stored) = Stream::new(poll, (STREAM, KEEPER), now, start, counters.clone())?;
    let mut begun = Begun::default();
    match stored.as_ref().map(|s| (s.version, read(Some(s), &own))) {
        Some((version, Ok(effective))) => {
            info!(instance = config.name, %version, "starts on the last good version");
            config.parts = effective.parts;
            begun.bans = ids(effective.bans);
            begun.brokers = effective.fronts;
        }
        Some((version, Err(faults))) => {
            let fault = faults.first().map(ToString::to_string).unwrap_or_default();
            warn!(instance = config.name, %version, fault, "the last good version does not fit the file");
            stream.disown(now);
        }
        None if config.bare => {
            warn!(
                instance = config.name,
                "there are no settings, in the file or stored: not ready until some come"
            )
        }
        None => info!(instance = config.name, "starts on its own file: no version is stored"),
    }
    begun.stream = Some(stream);
    Ok(begun)
}

fn ids(bans: Vec<String>) -> BTreeSet<WorkerId> {
    bans.into_iter().map(WorkerId::from).collect()
}

impl Node {
    /// The instance's own file, as versions are laid over it.
    pub(super) fn own_file(config: &Config) -> Arc<Value> {
        Arc::new(config.told().clone())
    }

    /// What a version is held against at this moment.
    fn grounds(&self) -> Grounds {
        let names =
            self.engine.classes_in_use().into_iter().filter_map(|p| self.settings.classes.get(p).cloned());
        let usage = Usage {
            classes: names.collect(),
            requests: self.engine.owed(),
            descriptors: self.thrift.connections()
                + self.pool.connections()
                + self.stations.as_ref().map_or(0, crate::front::stations::Front::connections),
            held: self.engine.held_bytes(),
        };
        let platform = if self.config.bare { None } else { Parts::read(self.config.told()).ok() };
        Grounds { platform, running: (!self.unconfigured).then(|| self.settings.clone()), usage }
    }

    pub(super) fn stream_advance(&mut self) {
        if let Some(stream) = &mut self.stream {
            stream.advance(&mut self.poll, self.now);
            self.stream_news();
        }
    }

    pub(super) fn stream_ready(&mut self, ready: Ready) {
        if let Some(stream) = &mut self.stream {
            stream.ready(&mut self.poll, self.now, ready);
            self.stream_news();
        }
    }

    fn stream_news(&mut self) {
        while let Some(stream) = &mut self.stream
            && !stream.news.is_empty()
        {
            for news in std::mem::take(&mut stream.news) {
                match news {
                    News::Check(ticket, snapshot) => {
                        let grounds = self.grounds();
                        if let Some(stream) = &self.stream {
                            stream.check(ticket, snapshot, grounds);
                        }
                    }
                    News::Apply(ticket, effective) => {
                        // What is in use may have changed since the check.
                        let broken = rules::broken(&self.grounds(), &effective.parts);
                        let result = if broken.is_empty() { Ok(()) } else { Err((Code::Invalid, broken)) };
                        if result.is_ok() {
                            self.run_by(*effective);
                        }
                        if let Some(stream) = &mut self.stream {
                            stream.applied(&mut self.poll, self.now, ticket, result);
                        }
                    }
                    News::Return(effective) => self.run_by(*effective),
                }
            }
        }
    }

    /// Goes on with what a version says; requests, numbers and all that was learned stay.
    fn run_by(&mut self, effective: Effective) {
        self.config.parts = effective.parts;
        self.adopt_settings();
        let old = std::mem::replace(&mut self.streamed_bans, ids(effective.bans));
        // Who was left out may have been restarted meanwhile: it counts as started now.
        let back: Vec<WorkerId> = old.difference(&self.streamed_bans).cloned().collect();
        for id in back.into_iter().filter(|id| !self.bans.holds(id)) {
            self.attached.insert(id, self.now);
        }
        self.relist();
        self.streamed_brokers = effective.fronts;
        self.trigger();
        self.unconfigured = false;
        self.open();
        self.obey();
    }

    /// Lays the version that runs over a file that was read again; nothing is changed yet.
    pub(super) fn overlay(&self, config: &mut Config) -> Result<(), ReloadError> {
        let Some(stream) = &self.stream else { return Ok(()) };
        if stream.running().is_some() {
            let effective = read(stream.running(), config.told()).map_err(ReloadError::Overlaid)?;
            config.parts = effective.parts;
        } else if config.bare && !self.unconfigured {
            return Err(ReloadError::Bare);
        }
        Ok(())
    }

    /// The instance's own file was read again, and is in use.
    pub(super) fn stream_file(&mut self) {
        let Some(stream) = &mut self.stream else { return };
        stream.own_file(Node::own_file(&self.config));
        if !self.config.bare {
            self.unconfigured = false;
            self.open();
        }
    }

    /// Beside another process of this dispatcher: runs what that one runs.
    pub(super) fn stream_follow(&mut self) {
        let Some(followed) = self.stream.as_mut().and_then(Stream::follow) else { return };
        match read(followed.as_ref(), &Node::own_file(&self.config)) {
            Ok(effective) => self.run_by(*effective),
            Err(faults) => warn!(fault = ?faults.first(), "what the other process runs can't be read here"),
        }
    }

    /// The other process has gone.
    pub(super) fn stream_take_over(&mut self) {
        self.stream_follow();
        if let Some(stream) = &mut self.stream {
            stream.take_over(self.now);
        }
    }
}
