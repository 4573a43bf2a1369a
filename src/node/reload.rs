//! New settings in a dispatcher that runs: read whole, checked whole, then told to every part.

use super::Node;
use super::limits::limits;
use crate::config::{Config, Faults};
use crate::counters::{count, say};
use ochreward_stream::wire::Fault;
use std::fs::File;
use std::io;
use tracing::warn;

/// Why a new configuration is not taken; the old one stays in use.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReloadError {
    /// Its keys have faults.
    #[error(transparent)]
    Faulty(#[from] Faults),
    /// Laid under the version that runs, its keys have faults.
    #[error(
        "under the version that runs, {}: correct the keys that are named, in the file or in the next version",
        told(.0)
    )]
    Overlaid(Vec<Fault>),
    /// It has no settings, and no version brings any.
    #[error(
        "the settings are missing, and no version runs: put `settings` into the file, or publish a version"
    )]
    Bare,
    /// The name service that it tells of can't be asked.
    #[error("configuration, key 'names', {0}: name an address that can be reached from here")]
    Names(io::Error),
}

fn told(faults: &[Fault]) -> String {
    faults.iter().map(Fault::to_string).collect::<Vec<String>>().join("; ")
}

impl Node {
    /// Keeps a descriptor back, if none is kept.
    pub(super) fn spare(&mut self) {
        if self.spare.is_none() {
            self.spare = File::open("/dev/null").ok();
        }
    }

    /// Reads the configuration again. Danger: a faulty one must cost nothing, so that nothing of it is taken
    /// before all of it has been checked; and it must be read while clients hold all descriptors.
    pub(super) fn reload(&mut self) {
        drop(self.spare.take());
        if let Some(front) = &mut self.stations
            && let Err(why) = front.reload(&mut self.poll, self.now)
        {
            warn!(instance = self.config.name, %why, "the old users stay");
        }
        let outcome = Config::from_environment(self.stream.is_some())
            .map_err(ReloadError::from)
            .and_then(|c| self.adopt(c));
        match outcome {
            Ok(()) => {
                count(&self.counters.reloads);
                say("ochreward: the new configuration is in use");
            }
            Err(why) => {
                count(&self.counters.reloads_refused);
                warn!(instance = self.config.name, %why, "the old configuration stays in use");
            }
        }
        self.spare();
    }

    /// Goes on with a new configuration; requests, numbers and all that was learned stay.
    pub(super) fn adopt(&mut self, mut config: Config) -> Result<(), ReloadError> {
        config.replaces(&self.config)?;
        self.overlay(&mut config)?;
        self.resolver.move_to(&mut self.poll, config.names).map_err(ReloadError::Names)?;
        let (serial, executors) = std::mem::take(&mut config.known);
        self.config = config;
        self.adopt_settings();
        self.stream_file();
        if self.resolver.offer(self.now, "configuration", serial, executors) {
            self.list_changed();
        } else {
            self.relist();
        }
        Ok(())
    }

    /// Goes on with the configuration's settings; requests keep the classes that they came with.
    pub(super) fn adopt_settings(&mut self) {
        let old = std::mem::replace(&mut self.settings, self.config.parts.settings.clone());
        let used = self.engine.classes_in_use();
        let fresh = self.settings.follow((&old.classes, &old.module.classes), &used);
        self.settings.longest = self.settings.longest.max(old.longest);
        self.apply(&fresh);
    }

    /// Has all parts go by the settings, and by whether another process shares the limits.
    pub(super) fn apply(&mut self, fresh: &[usize]) {
        let shared = self.handover.shared();
        let (bounds, pool_limits, front_limits, _) =
            limits(&self.config, &self.settings, shared, self.listen.as_ref().map_or(0, |l| l.connections));
        let mut module = self.settings.module.clone();
        // The ration of orders passes to the successor with all that counts against it; one that was told
        // nothing orders nothing while the other process may.
        module.orders &= !shared || !(self.handover.followed() || self.handover.untold());
        self.engine.configure(&module, fresh, bounds);
        self.pool.bound(pool_limits);
        self.thrift.bound(self.now, front_limits);
    }
}
