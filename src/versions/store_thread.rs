//! The thread for work on versions that would block the event loop: parsing megabytes of JSON, checking them against the
//! rules, writing and syncing files. Jobs run one after the other; each result wakes the loop.

use super::rules::{self, CheckContext};
use super::selection::{OwnFile, Selection, select};
use crate::config::version::{Effective, effective};
use crate::net::{BackgroundThread, Poll};
use ochreward_stream::last_good::VersionStore;
use ochreward_stream::subscriber::OfferId;
use ochreward_stream::wire::{Code, Fault};
use ochreward_stream::{Snapshot, SubscriberState, Version};
use serde_json::Value;
use std::io;
use std::sync::Arc;

/// A job for the thread.
pub enum Job {
    /// Read a version over the instance's own file, check it against the rules, and store it as the one on trial.
    Check(OfferId, Arc<Snapshot>, Arc<OwnFile>, Box<CheckContext>),
    /// Read the version to roll back to, and delete the one on trial.
    RollBack {
        /// The version to roll back to; `None` for the own file.
        to: Option<Arc<Snapshot>>,
        /// The version on trial.
        from: Version,
        /// The instance's own file.
        own_file: Arc<OwnFile>,
    },
    /// Delete the version on trial, if it is this one.
    DiscardTrial(Version),
    /// Store a version that has passed its trial as the last good one.
    Promote(Arc<Snapshot>),
    /// Store the subscriber's memory.
    SaveMemory(SubscriberState),
}

/// The outcome of a check: the configuration to run, or why the version is refused.
pub type CheckOutcome = Result<Box<Effective>, (Code, Vec<Fault>)>;

/// The result of a job.
pub enum JobResult {
    /// The outcome of a check, with the own file that the version was read over.
    Checked(OfferId, Arc<Snapshot>, Arc<OwnFile>, CheckOutcome),
    /// The configuration to use after a rollback.
    RolledBack(Box<Rollback>),
    /// A file could not be written: what it holds, and why.
    WriteFailed(&'static str, io::Error),
}

/// What a rollback leads to.
pub struct Rollback {
    /// The version to roll back to; `None` for the own file.
    pub to: Option<Version>,
    /// The own file that the selection is for.
    pub own_file: Arc<OwnFile>,
    /// What to use: that version, or the own file if the version is not permitted.
    pub selection: Selection,
}

/// The event loop's handle of the thread.
pub type VersionThread = BackgroundThread<Job, JobResult>;

/// Starts the thread.
pub fn start(poll: &mut Poll, owner: u8, files: Option<VersionStore>) -> io::Result<VersionThread> {
    BackgroundThread::start(poll, (owner, 0), "versions", move |job| run_job(files.as_ref(), job))
}

/// Runs one job; returns its result if the loop has to act on it.
fn run_job(files: Option<&VersionStore>, job: Job) -> Option<JobResult> {
    let write_failed = |what, result: io::Result<()>| result.err().map(|e| JobResult::WriteFailed(what, e));
    match job {
        Job::Check(ticket, snapshot, own_file, context) => {
            let checked = check(&snapshot, &own_file.content, &context).and_then(|effective| {
                // Stored before it is used, so that the running version can be found again after a crash.
                let written = files.map_or(Ok(()), |f| f.put_on_trial(&snapshot));
                let write_error = |e: io::Error| {
                    let why = format!("can't be kept: {e}");
                    (Code::Failed, vec![Fault { key: "(the whole)".to_string(), why }])
                };
                written.map_err(write_error).map(|()| effective)
            });
            Some(JobResult::Checked(ticket, snapshot, own_file, checked))
        }
        Job::RollBack { to, from, own_file } => {
            discard_trial(files, from);
            let selection = select(to.as_slice(), &own_file);
            let to = to.map(|snapshot| snapshot.version);
            Some(JobResult::RolledBack(Box::new(Rollback { to, own_file, selection })))
        }
        Job::DiscardTrial(version) => {
            discard_trial(files, version);
            None
        }
        Job::Promote(snapshot) => {
            write_failed("the last good version", files.map_or(Ok(()), |files| promote(files, &snapshot)))
        }
        Job::SaveMemory(memory) => write_failed(
            "what is remembered of the service",
            files.map_or(Ok(()), |f| f.store_memory(&memory)),
        ),
    }
}

/// Stores a version as the last good one. The next version may already be the one on trial, and stays so.
fn promote(files: &VersionStore, snapshot: &Snapshot) -> io::Result<()> {
    if files.on_trial() == Some(snapshot.version) { files.promote() } else { files.store_good(snapshot) }
}

/// Deletes the file of the version on trial, if it is this one.
fn discard_trial(files: Option<&VersionStore>, version: Version) {
    let files = files.filter(|files| files.on_trial() == Some(version));
    if let Some(Err(e)) = files.map(VersionStore::discard_trial) {
        tracing::warn!(reason = %e, "the file of the version on trial could not be removed");
    }
}

/// Reads a version over the instance's own file, or that file alone; returns the effective configuration.
pub fn read(snapshot: Option<&Snapshot>, own_file: &Value) -> Result<Box<Effective>, Vec<Fault>> {
    let texts = snapshot.map(Snapshot::texts).unwrap_or_default();
    let faults =
        |f: crate::config::Faults| f.0.into_iter().map(|e| Fault { key: e.key, why: e.why }).collect();
    effective(own_file, &texts).map(Box::new).map_err(faults)
}

/// Reads a version and checks it against the rules.
fn check(snapshot: &Snapshot, own_file: &Value, context: &CheckContext) -> CheckOutcome {
    let effective = read(Some(snapshot), own_file).map_err(|faults| (Code::Invalid, faults))?;
    let violations = rules::violations(context, &effective.parts);
    if violations.is_empty() { Ok(effective) } else { Err((Code::Invalid, violations)) }
}

#[cfg(test)]
mod tests;
