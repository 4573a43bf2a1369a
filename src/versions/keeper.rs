//! The thread that does for versions what would hold up the loop: reading megabytes of JSON, holding them against the
//! rules, writing and syncing files. One job after the other; the loop is woken when one is done.

use super::rules::{self, Grounds};
use crate::config::version::{Effective, effective};
use crate::net::{Poll, Worker};
use ochreward_stream::last_good::LastGood;
use ochreward_stream::subscriber::Ticket;
use ochreward_stream::wire::{Code, Fault};
use ochreward_stream::{Memory, Snapshot, Version};
use serde_json::Value;
use std::io;
use std::sync::Arc;

/// What is to be done.
pub enum Job {
    /// Read a version over the instance's own file, hold it against the rules, and keep it as the one on trial.
    Check(Ticket, Arc<Snapshot>, Arc<Value>, Box<Grounds>),
    /// Read the version to go back to, and forget the one on trial.
    Return(Option<Arc<Snapshot>>, Arc<Value>),
    /// The version on trial is the last good one.
    Promote(Version),
    /// Keep what is remembered.
    Remember(Memory),
}

/// What a check came to: what is to run, or why not.
pub type Checked = Result<Box<Effective>, (Code, Vec<Fault>)>;

/// What came of a job.
pub enum Done {
    /// Of a check: what is to run, or why not; and the file that it was read over.
    Checked(Ticket, Arc<Snapshot>, Arc<Value>, Checked),
    /// What to go back to.
    Returned(Result<Box<Effective>, Vec<Fault>>),
    /// A file could not be written: what, and why.
    Unkept(&'static str, io::Error),
}

/// The loop's side of the thread.
pub type Keeper = Worker<Job, Done>;

/// Starts the thread.
pub fn start(poll: &mut Poll, owner: u8, files: Option<LastGood>) -> io::Result<Keeper> {
    Worker::start(poll, (owner, 0), "versions", move |job| work(files.as_ref(), job))
}

fn work(files: Option<&LastGood>, job: Job) -> Option<Done> {
    let kept = |what, result: io::Result<()>| result.err().map(|e| Done::Unkept(what, e));
    match job {
        Job::Check(ticket, snapshot, told, grounds) => {
            let checked = check(&snapshot, &told, &grounds).and_then(|effective| {
                // Written ahead: what runs can be found again whatever happens from here on.
                let written = files.map_or(Ok(()), |f| f.put_on_trial(&snapshot));
                let unkept = |e: io::Error| {
                    let why = format!("can't be kept: {e}");
                    (Code::Failed, vec![Fault { key: "(the whole)".to_string(), why }])
                };
                written.map_err(unkept).map(|()| effective)
            });
            Some(Done::Checked(ticket, snapshot, told, checked))
        }
        Job::Return(snapshot, told) => {
            let discarded = files.map_or(Ok(()), LastGood::discard_trial);
            if let Err(e) = discarded {
                tracing::warn!(reason = %e, "the version on trial could not be removed");
            }
            Some(Done::Returned(read(snapshot.as_deref(), &told)))
        }
        Job::Promote(_) => kept("the last good version", files.map_or(Ok(()), LastGood::promote)),
        Job::Remember(memory) => {
            kept("what is remembered of the service", files.map_or(Ok(()), |f| f.remember(&memory)))
        }
    }
}

/// Reads a version, or nothing but the instance's own file.
pub fn read(snapshot: Option<&Snapshot>, told: &Value) -> Result<Box<Effective>, Vec<Fault>> {
    let texts = snapshot.map(Snapshot::texts).unwrap_or_default();
    let faults =
        |f: crate::config::Faults| f.0.into_iter().map(|e| Fault { key: e.key, why: e.why }).collect();
    effective(told, &texts).map(Box::new).map_err(faults)
}

fn check(snapshot: &Snapshot, told: &Value, grounds: &Grounds) -> Checked {
    let effective = read(Some(snapshot), told).map_err(|faults| (Code::Invalid, faults))?;
    let broken = rules::broken(grounds, &effective.parts);
    if broken.is_empty() { Ok(effective) } else { Err((Code::Invalid, broken)) }
}
