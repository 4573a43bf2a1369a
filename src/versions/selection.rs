//! Selects the configuration that comes into use without an offer: at a start, after a reload, from another process, or
//! after a rollback.
//!
//! Given the versions that may run, the preferred one first, and the instance's own file, returns the first version that
//! can be read over the file and keeps the platform's limits. If there is none, the own file comes into use alone. The
//! versions passed over are returned with the reasons. Does no I/O.

use super::rules;
use super::store_thread::read;
use crate::config::VersionedConfig;
use crate::config::version::Effective;
use ochreward_stream::subscriber::Withdrawal;
use ochreward_stream::wire::Fault;
use ochreward_stream::{Snapshot, Version};
use serde_json::Value;
use std::sync::Arc;

/// The instance's own file, which versions are applied over.
#[derive(Debug)]
pub struct OwnFile {
    /// The content, without the list of executors.
    pub content: Value,
    /// Whether it has settings, so that it can be used without any version.
    pub has_settings: bool,
}

impl OwnFile {
    /// Returns the platform's settings and limits; `None` if it leaves the settings to versions.
    pub fn platform(&self) -> Option<VersionedConfig> {
        if self.has_settings { VersionedConfig::read(&self.content).ok() } else { None }
    }
}

/// The configuration to take into use.
#[derive(Debug)]
pub struct Selection {
    /// The version that runs; `None` for the own file alone.
    pub version: Option<Version>,
    /// The effective configuration; `None` if there is neither a usable version nor an own file with settings.
    pub effective: Option<Box<Effective>>,
    /// The versions passed over.
    pub withdrawn: Vec<Withdrawal>,
}

/// Selects from `candidates`, the preferred one first.
pub fn select(candidates: &[Arc<Snapshot>], own_file: &OwnFile) -> Selection {
    let platform = own_file.platform();
    let mut withdrawn = Vec::new();
    for snapshot in candidates {
        match read_permitted(snapshot, own_file, platform.as_ref()) {
            Ok(effective) => {
                return Selection { version: Some(snapshot.version), effective: Some(effective), withdrawn };
            }
            Err(faults) => withdrawn.push(Withdrawal { version: snapshot.version, faults }),
        }
    }
    let effective = if own_file.has_settings { read(None, &own_file.content).ok() } else { None };
    Selection { version: None, effective, withdrawn }
}

/// Reads a version over the own file; returns the faults if it can't be read or violates the platform's limits.
fn read_permitted(
    snapshot: &Snapshot,
    own_file: &OwnFile,
    platform: Option<&VersionedConfig>,
) -> Result<Box<Effective>, Vec<Fault>> {
    let effective = read(Some(snapshot), &own_file.content)?;
    let violations = rules::platform_violations(platform, &effective.parts);
    if violations.is_empty() { Ok(effective) } else { Err(violations) }
}

#[cfg(test)]
mod tests;
