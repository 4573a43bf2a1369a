//! Handover of state from one process of a dispatcher to the next, by files in a folder that both share.
//!
//! The serving process holds a lock on `serving`. A process that finds it taken is the successor: it locks `next` and
//! writes a mark of its own there. The old process sees the mark, writes its state to `handover`, and continues to serve
//! until it is stopped. Locks end with their process, so a killed process leaves nothing to clean up; a state names the
//! mark it is for, so stale files are ignored. The successor waits for the state for at most [`STATE_WAIT_US`].

use crate::api::WorkerId;
use crate::control::LearnedState;
use crate::discovery::{Executor, KnownStart};
use rustix::fs::{FlockOperation, flock};
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::PathBuf;

/// How long a successor waits for the old process's state: operators who call meanwhile must be answered within 1 s.
const STATE_WAIT_US: u64 = 600_000;
/// How often a successor looks for that state.
const STATE_POLL_US: u64 = 5_000;
/// How often either process checks whether the other still runs.
const LIVENESS_POLL_US: u64 = 50_000;
/// The format of the state; any other is ignored.
const STATE_FORMAT: u32 = 1;
/// The largest state file that is read.
const MAX_STATE_BYTES: u64 = 16 << 20;

/// The state that a process hands over to its successor, or to a peer that is starting.
#[derive(Serialize, Deserialize)]
pub struct HandoverState {
    #[serde(rename = "form")]
    format: u32,
    /// The mark of the successor that it is for.
    #[serde(rename = "to")]
    recipient_mark: String,
    /// The sender's clock when the state was taken, in microseconds.
    #[serde(rename = "now")]
    pub clock_us: u64,
    /// The serial of the executor list.
    pub serial: u64,
    /// The executor list.
    pub executors: Vec<Executor>,
    /// All ids that were ever listed.
    #[serde(rename = "listed")]
    pub ever_listed: Vec<WorkerId>,
    /// When each executor's ban ended.
    #[serde(rename = "attached")]
    pub ban_lifted_at: Vec<(WorkerId, u64)>,
    /// The start of the process behind each executor's id.
    #[serde(default)]
    #[serde(rename = "starts")]
    pub worker_starts: Vec<(WorkerId, KnownStart)>,
    /// The names of the classes, in the places that `learned` refers to.
    pub classes: Vec<String>,
    /// What the decision module has learned.
    pub learned: LearnedState,
    /// The age of the list: the time since the name service was last heard, in microseconds.
    #[serde(default)]
    #[serde(rename = "age")]
    pub list_age_us: u64,
}

/// A change in the relation of the two processes.
pub enum HandoverEvent {
    /// A successor has started and waits for the state.
    SuccessorStarted,
    /// The successor has ended without taking over.
    SuccessorGone,
    /// The old process's state has arrived.
    StateReceived(Box<HandoverState>),
    /// The old process's state did not arrive in time.
    StateMissed,
    /// The old process has ended: this is the only one now.
    PredecessorGone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// The only process.
    Sole,
    /// Has waited for the old process's state since that time.
    Waiting(u64),
    /// Serves beside the old process, as its successor.
    Successor,
    /// A successor runs beside it.
    Predecessor,
}

/// One process's side of a handover.
pub struct Handover {
    folder: Option<PathBuf>,
    role: Role,
    /// This process's mark: its process id and start time.
    mark: String,
    /// The lock of the serving process, if this one holds it.
    serving_lock: Option<File>,
    /// The lock of the successor, if this process holds it.
    next_lock: Option<File>,
    /// The mark of the last successor that the state was written for.
    answered_mark: String,
    /// The wait for the old process's state timed out.
    state_missed: bool,
    /// When `advance` next checks the files and locks.
    next_check: u64,
}

impl Handover {
    /// Determines whether another process serves. Without a folder, none can be found.
    pub fn start(folder: Option<PathBuf>, now: u64) -> Handover {
        let folder = folder.filter(|f| fs::create_dir_all(f).is_ok());
        let mut handover = Handover {
            folder,
            role: Role::Sole,
            mark: format!("{}-{now}\n", std::process::id()),
            serving_lock: None,
            next_lock: None,
            answered_mark: String::new(),
            state_missed: false,
            next_check: now,
        };
        handover.serving_lock = handover.lock("serving", true);
        if handover.folder.is_some() && handover.serving_lock.is_none() {
            handover.role = Role::Waiting(now);
            handover.claim_next();
        } else {
            handover.remove_files();
        }
        handover
    }

    /// Returns whether the old process's state is still awaited.
    pub fn awaits_state(&self) -> bool {
        matches!(self.role, Role::Waiting(_))
    }

    /// Returns whether another process of this dispatcher runs.
    pub fn other_process_runs(&self) -> bool {
        self.role != Role::Sole
    }

    /// Returns whether a successor runs beside this process.
    pub fn has_successor(&self) -> bool {
        self.role == Role::Predecessor
    }

    /// Returns whether this process serves beside the old one without having received its state.
    pub fn serves_without_state(&self) -> bool {
        self.state_missed && self.other_process_runs()
    }

    /// Returns when `advance` is next due.
    pub fn due(&self) -> u64 {
        if self.folder.is_some() { self.next_check } else { u64::MAX }
    }

    /// Checks on the other process; returns what has changed, if anything.
    pub fn advance(&mut self, now: u64) -> Option<HandoverEvent> {
        if self.folder.is_none() || now < self.next_check {
            return None;
        }
        self.next_check = now + if self.awaits_state() { STATE_POLL_US } else { LIVENESS_POLL_US };
        if self.serving_lock.is_none() {
            self.serving_lock = self.lock("serving", false);
            if self.serving_lock.is_some() {
                self.remove_files();
                self.role = Role::Sole;
                return Some(HandoverEvent::PredecessorGone);
            }
        }
        match self.role {
            Role::Sole => {
                let mark = self.successor_mark().filter(|m| *m != self.answered_mark && *m != self.mark)?;
                self.answered_mark = mark;
                self.role = Role::Predecessor;
                Some(HandoverEvent::SuccessorStarted)
            }
            Role::Predecessor => {
                // Another successor may have taken the place of one that ended.
                if let Some(mark) = self.successor_mark().filter(|m| *m != self.answered_mark) {
                    self.answered_mark = mark;
                    return Some(HandoverEvent::SuccessorStarted);
                }
                self.lock("next", false)?;
                self.role = Role::Sole;
                Some(HandoverEvent::SuccessorGone)
            }
            Role::Waiting(since) => {
                if self.next_lock.is_none() {
                    self.claim_next();
                }
                let event = match self.read_state() {
                    Some(state) => HandoverEvent::StateReceived(Box::new(state)),
                    None if now >= since + STATE_WAIT_US => HandoverEvent::StateMissed,
                    None => return None,
                };
                self.role = Role::Successor;
                self.state_missed = matches!(event, HandoverEvent::StateMissed);
                Some(event)
            }
            Role::Successor => {
                if self.next_lock.is_none() {
                    self.claim_next();
                }
                None
            }
        }
    }

    /// Writes the state for the successor that waits for it.
    pub fn write_state(&self, mut state: HandoverState) -> io::Result<()> {
        let Some(folder) = &self.folder else { return Ok(()) };
        state.recipient_mark = self.answered_mark.clone();
        let text = serde_json::to_vec(&state)?;
        let part = folder.join("handover.part");
        File::create(&part)?.write_all(&text)?;
        fs::rename(part, folder.join("handover"))
    }

    /// Becomes the successor, and writes this process's mark. The lock is taken first, so that the mark of a running
    /// process is never overwritten.
    fn claim_next(&mut self) {
        self.next_lock = self.lock("next", false);
        if let Some(next) = &mut self.next_lock {
            let written = next.set_len(0).and_then(|()| next.write_all(self.mark.as_bytes()));
            // Without the mark no state will come; the wait for it times out.
            drop(written);
        }
    }

    /// Removes all files that the next successor could mistake for its own.
    fn remove_files(&mut self) {
        if let Some(folder) = &self.folder {
            for name in ["next", "handover", "handover.part"] {
                let _ = fs::remove_file(folder.join(name));
            }
        }
        self.next_lock = None;
    }

    /// Opens and locks a file of the folder; `None` if another process holds the lock.
    fn lock(&self, name: &str, create: bool) -> Option<File> {
        let path = self.folder.as_ref()?.join(name);
        let create = create || name == "next";
        let file = File::options().read(true).write(true).create(create).truncate(false).open(path).ok()?;
        flock(&file, FlockOperation::NonBlockingLockExclusive).ok()?;
        Some(file)
    }

    /// Returns the mark of the successor; `None` if there is none, or it is not completely written yet.
    fn successor_mark(&self) -> Option<String> {
        let mark = fs::read_to_string(self.folder.as_ref()?.join("next")).ok()?;
        (mark.ends_with('\n') && mark.len() < 100).then_some(mark)
    }

    /// Reads the old process's state. A file that is incomplete, of another format or for another process counts as none.
    fn read_state(&self) -> Option<HandoverState> {
        let path = self.folder.as_ref()?.join("handover");
        if fs::metadata(&path).ok()?.len() > MAX_STATE_BYTES {
            return None;
        }
        let state: HandoverState = serde_json::from_slice(&fs::read(path).ok()?).ok()?;
        (state.format == STATE_FORMAT && state.recipient_mark == self.mark).then_some(state)
    }
}

impl HandoverState {
    /// Creates a state without an executor list, of what was learned for classes by these names.
    pub fn new(now: u64, classes: Vec<String>, learned: LearnedState) -> HandoverState {
        HandoverState {
            format: STATE_FORMAT,
            recipient_mark: String::new(),
            clock_us: now,
            serial: 0,
            executors: vec![],
            ever_listed: vec![],
            ban_lifted_at: vec![],
            worker_starts: vec![],
            classes,
            learned,
            list_age_us: 0,
        }
    }

    /// Serialises the state for another member of the group.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads another member's state. Its content is not trusted: what is not of this format gives `None`.
    pub fn read(bytes: &[u8]) -> Option<HandoverState> {
        serde_json::from_slice(bytes).ok().filter(|state: &HandoverState| state.format == STATE_FORMAT)
    }
}
