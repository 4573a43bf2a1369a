//! Reloads the configuration of a running dispatcher.
//!
//! Given a SIGHUP or new settings from the stream; reads and checks the whole configuration before any part uses it, so
//! that a faulty one changes nothing.

use super::Node;
use super::limits::derive_limits;
use super::versions::Origin;
use crate::config::{Config, Faults};
use crate::counters::{count, print_line};
use crate::discovery::ListOrigin;
use ochreward_stream::wire::Fault;
use std::fs::File;
use std::io;
use tracing::warn;

/// The reason why a new configuration was refused; the old one stays in use.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReloadError {
    /// Keys of the file are invalid.
    #[error(transparent)]
    Faulty(#[from] Faults),
    /// The file has no settings, and the running version can't be used over it.
    #[error(
        "under the version that runs, {}: correct the keys that are named, in the file or in the next version",
        fault_list(.0)
    )]
    Overlaid(Vec<Fault>),
    /// The file has no settings, and no version provides any.
    #[error(
        "the settings are missing, and no version runs: put `settings` into the file, or publish a version"
    )]
    Bare,
    /// No socket could be opened to the name service that the file names.
    #[error("configuration, key 'names', {0}: name an address that can be reached from here")]
    Names(io::Error),
}

fn fault_list(faults: &[Fault]) -> String {
    faults.iter().map(Fault::to_string).collect::<Vec<String>>().join("; ")
}

impl Node {
    /// Opens the reserve descriptor, if it is not open.
    pub(super) fn reserve_descriptor(&mut self) {
        if self.reserved_descriptor.is_none() {
            self.reserved_descriptor = File::open("/dev/null").ok();
        }
    }

    /// Rereads the configuration. A faulty one must change nothing, so none of it is used before all of it has been checked.
    /// The reserve descriptor is released first, so that the file can be read while clients hold all the others.
    pub(super) fn reload(&mut self) {
        drop(self.reserved_descriptor.take());
        if let Some(front) = &mut self.stations
            && let Err(why) = front.reload(&mut self.poll, self.now)
        {
            warn!(instance = self.config.name, %why, "the file of stations' users was not reloaded; the old users stay");
        }
        let outcome = Config::from_environment(self.stream.is_some())
            .map_err(ReloadError::from)
            .and_then(|c| self.adopt_config(c));
        match outcome {
            Ok(()) => {
                count(&self.counters.reloads);
                print_line("ochreward: the new configuration is in use");
            }
            Err(why) => {
                count(&self.counters.reloads_refused);
                warn!(instance = self.config.name, %why, "the new configuration was refused; the old one stays in use");
            }
        }
        self.reserve_descriptor();
    }

    /// Takes a new configuration into use; requests, counters and everything learned are kept.
    pub(super) fn adopt_config(&mut self, mut config: Config) -> Result<(), ReloadError> {
        config.check_replacement(&self.config)?;
        let selection = self.select_over(&config)?;
        self.resolver.set_server(&mut self.poll, config.names).map_err(ReloadError::Names)?;
        let (serial, executors) = std::mem::take(&mut config.initial_list);
        self.config = config;
        self.update_own_file();
        let is_list_published = selection.is_some();
        match selection {
            Some(selection) => self.apply_selection(selection, Origin::Reload),
            None => self.adopt_settings(),
        }
        if self.resolver.offer_list(self.now, ListOrigin::Configuration, serial, executors) {
            self.list_changed();
        } else if !is_list_published {
            self.publish_list();
        }
        Ok(())
    }

    /// Takes the configuration's settings into use; requests under way keep the classes that they came with.
    pub(super) fn adopt_settings(&mut self) {
        let old_settings = std::mem::replace(&mut self.settings, self.config.parts.settings.clone());
        let in_use = self.engine.classes_in_use();
        let new_places = self.settings.follow((&old_settings.classes, &old_settings.module.classes), &in_use);
        self.settings.longest_deadline_us =
            self.settings.longest_deadline_us.max(old_settings.longest_deadline_us);
        self.apply_settings(&new_places);
    }

    /// Applies the settings and limits to all parts. `new_places` holds the places of classes that are new; limits are halved
    /// while another process of this dispatcher runs.
    pub(super) fn apply_settings(&mut self, new_places: &[usize]) {
        let shared = self.handover.other_process_runs();
        let (bounds, pool_limits, front_limits, _) = derive_limits(
            &self.config,
            &self.settings,
            shared,
            self.station_options.as_ref().map_or(0, |o| o.connections),
        );
        let mut module = self.settings.module.clone();
        // Only one process may order loads: the ration passes to the successor together with the loads that count against
        // it, and a successor without the predecessor's state orders none until that process has ended.
        module.load_orders_allowed &=
            !shared || !(self.handover.has_successor() || self.handover.serves_without_state());
        self.engine.configure(&module, new_places, bounds);
        self.divide_cold_budget();
        self.pool.set_limits(pool_limits);
        self.thrift.set_limits(self.now, front_limits);
    }
}
