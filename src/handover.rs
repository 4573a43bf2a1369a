//! How one process of a dispatcher takes over from another, by files in a folder that both share.
//!
//! Who serves holds a lock on `serving`. A process that finds it taken is the successor: it locks `next` and writes
//! a mark of its own there. The old process sees the mark, writes all that the successor must know to `handover`,
//! and goes on serving until it is told to stop. Locks end with their process, so that nothing has to be cleaned up
//! after one that was killed; a mark makes stale files harmless. Nobody waits for a peer longer than [`PATIENCE`].

use crate::api::WorkerId;
use crate::control::Learned;
use crate::names::Executor;
use rustix::fs::{FlockOperation, flock};
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::PathBuf;

/// How long a successor waits for the old process's word: operators who call meanwhile are owed an answer in 1 s.
const PATIENCE: u64 = 600_000;
/// How often a successor looks for that word, and how often either looks whether the other lives.
const SOON: u64 = 5_000;
const EVERY: u64 = 50_000;
/// The form of what is handed over; another one is not read.
const FORM: u32 = 1;
/// The largest word read.
const MOST_WORD: u64 = 16 << 20;

/// What a successor must know.
#[derive(Serialize, Deserialize)]
pub struct Word {
    form: u32,
    /// The mark of the successor that it is for.
    to: String,
    /// The old process's clock.
    pub now: u64,
    /// The number of the last event of the list, and the list.
    pub serial: u64,
    /// The executors.
    pub executors: Vec<Executor>,
    /// All ids that were ever listed.
    pub listed: Vec<WorkerId>,
    /// When executors were taken back into use.
    pub attached: Vec<(WorkerId, u64)>,
    /// The classes by their places, which what was learned refers to.
    pub classes: Vec<String>,
    /// What the module has learned.
    pub learned: Learned,
    /// Since when the name service has said nothing, in microseconds.
    #[serde(default)]
    pub age: u64,
}

/// What has changed between the two.
pub enum News {
    /// A successor runs and wants the word.
    Asked,
    /// The successor has gone without taking over.
    Deserted,
    /// The old process's word.
    Told(Box<Word>),
    /// The old process said nothing in time.
    Untold,
    /// The old process has gone: all is this one's.
    Alone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// The only process.
    Alone,
    /// Waits for the old process's word, since then.
    Waiting(u64),
    /// Serves beside the old process.
    Beside,
    /// A successor serves beside it.
    Followed,
}

/// This process's part in a handover.
pub struct Handover {
    dir: Option<PathBuf>,
    role: Role,
    mark: String,
    /// Locked while it is the one in service, and while it is the next.
    serving: Option<File>,
    next: Option<File>,
    /// The last mark that was handed over to.
    answered: String,
    untold: bool,
    at: u64,
}

impl Handover {
    /// Finds out whether another process serves. Without a folder there is none that could be known.
    pub fn begin(dir: Option<PathBuf>, now: u64) -> Handover {
        let dir = dir.filter(|d| fs::create_dir_all(d).is_ok());
        let mark = format!("{}-{now}\n", std::process::id());
        let (role, answered, at) = (Role::Alone, String::new(), now);
        let mut it = Handover { dir, role, mark, serving: None, next: None, answered, untold: false, at };
        it.serving = it.locked("serving", true);
        if it.dir.is_some() && it.serving.is_none() {
            it.role = Role::Waiting(now);
            it.claim();
        } else {
            it.clear();
        }
        it
    }

    /// Whether the old process's word is still waited for.
    pub fn waits(&self) -> bool {
        matches!(self.role, Role::Waiting(_))
    }

    /// Whether another process of this dispatcher runs.
    pub fn shared(&self) -> bool {
        self.role != Role::Alone
    }

    /// Whether a successor serves.
    pub fn followed(&self) -> bool {
        self.role == Role::Followed
    }

    /// Whether it serves beside the old process without having been told anything.
    pub fn untold(&self) -> bool {
        self.untold && self.shared()
    }

    /// When `advance` next has something to do.
    pub fn due(&self) -> u64 {
        if self.dir.is_some() { self.at } else { u64::MAX }
    }

    /// Looks after the other process.
    pub fn advance(&mut self, now: u64) -> Option<News> {
        if self.dir.is_none() || now < self.at {
            return None;
        }
        self.at = now + if self.waits() { SOON } else { EVERY };
        if self.serving.is_none() {
            self.serving = self.locked("serving", false);
            if self.serving.is_some() {
                self.clear();
                self.role = Role::Alone;
                return Some(News::Alone);
            }
        }
        match self.role {
            Role::Alone => {
                let mark = self.mark_of_next().filter(|m| *m != self.answered && *m != self.mark)?;
                self.answered = mark;
                self.role = Role::Followed;
                Some(News::Asked)
            }
            Role::Followed => {
                // Another successor takes the place of one that ended.
                if let Some(mark) = self.mark_of_next().filter(|m| *m != self.answered) {
                    self.answered = mark;
                    return Some(News::Asked);
                }
                self.locked("next", false)?;
                self.role = Role::Alone;
                Some(News::Deserted)
            }
            Role::Waiting(since) => {
                if self.next.is_none() {
                    self.claim();
                }
                let news = match self.word() {
                    Some(word) => News::Told(Box::new(word)),
                    None if now >= since + PATIENCE => News::Untold,
                    None => return None,
                };
                self.role = Role::Beside;
                self.untold = matches!(news, News::Untold);
                Some(news)
            }
            Role::Beside => {
                if self.next.is_none() {
                    self.claim();
                }
                None
            }
        }
    }

    /// Hands over to the successor that asked.
    pub fn tell(&self, mut word: Word) -> io::Result<()> {
        let Some(dir) = &self.dir else { return Ok(()) };
        word.to = self.answered.clone();
        let text = serde_json::to_vec(&word)?;
        let part = dir.join("handover.part");
        File::create(&part)?.write_all(&text)?;
        fs::rename(part, dir.join("handover"))
    }

    /// Becomes the next in service, and says so. Danger: the lock comes first, so that no living process ever finds
    /// its mark overwritten.
    fn claim(&mut self) {
        self.next = self.locked("next", false);
        if let Some(next) = &mut self.next {
            let told = next.set_len(0).and_then(|()| next.write_all(self.mark.as_bytes()));
            // Without the mark nothing will be told; the wait for it ends by itself.
            drop(told);
        }
    }

    /// Leaves nothing behind that the next successor could take for its own.
    fn clear(&mut self) {
        if let Some(dir) = &self.dir {
            for name in ["next", "handover", "handover.part"] {
                let _ = fs::remove_file(dir.join(name));
            }
        }
        self.next = None;
    }

    /// A file of the folder, locked; `None` where another process holds it.
    fn locked(&self, name: &str, make: bool) -> Option<File> {
        let path = self.dir.as_ref()?.join(name);
        let make = make || name == "next";
        let file = File::options().read(true).write(true).create(make).truncate(false).open(path).ok()?;
        flock(&file, FlockOperation::NonBlockingLockExclusive).ok()?;
        Some(file)
    }

    /// The mark of the successor; one that is not written whole yet is none.
    fn mark_of_next(&self) -> Option<String> {
        let mark = fs::read_to_string(self.dir.as_ref()?.join("next")).ok()?;
        (mark.ends_with('\n') && mark.len() < 100).then_some(mark)
    }

    /// The old process's word, if it is whole and meant for this one. Danger: a torn or foreign file is none.
    fn word(&self) -> Option<Word> {
        let path = self.dir.as_ref()?.join("handover");
        if fs::metadata(&path).ok()?.len() > MOST_WORD {
            return None;
        }
        let word: Word = serde_json::from_slice(&fs::read(path).ok()?).ok()?;
        (word.form == FORM && word.to == self.mark).then_some(word)
    }
}

impl Word {
    /// A word to whoever asked, of classes by these names.
    pub fn new(now: u64, classes: Vec<String>, learned: Learned) -> Word {
        let (to, executors, listed, attached) = (String::new(), vec![], vec![], vec![]);
        Word { form: FORM, to, now, serial: 0, executors, listed, attached, classes, learned, age: 0 }
    }

    /// The word as another member of the group is told it.
    pub fn written(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads another member's word. Danger: it may hold anything.
    pub fn read(bytes: &[u8]) -> Option<Word> {
        serde_json::from_slice(bytes).ok().filter(|w: &Word| w.form == FORM)
    }
}
