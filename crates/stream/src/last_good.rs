//! The versions that a subscriber keeps on disk: the last good one, the one before it, the one on trial, and what it
//! remembers of the service.
//!
//! Each is a file of its own: written beside, synced, and renamed into place, so that a cut leaves the old or the new
//! one. The layout is magic (8 bytes), form, CRC-32 of the body (4 bytes each, little-endian), the body's length (8
//! bytes), and the body, a JSON object. A file that is torn, foreign, damaged or of a later form is never used.

use crate::subscriber::Memory;
use crate::{Snapshot, Version};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

const MAGIC: &[u8; 8] = b"OCHRCFG\n";
const FORM: u32 = 1;
const HEAD: usize = 24;
/// The longest file that is read.
const MOST: u64 = 64 << 20;

/// The file of the last good version, of the one before, and of the one on trial.
const GOOD: &str = "good";
const BEFORE: &str = "good.prev";
const TRIAL: &str = "trial";
const MEMORY: &str = "memory";

/// Why a file is not used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unusable {
    /// It is not there.
    #[error("is not there: nothing to do, a version that proves good is written anew")]
    Missing,
    /// It ends early, or goes on after its end.
    #[error("is torn: nothing to do, the one before it serves; see that the disk is not full")]
    Torn,
    /// It is no such file at all, or another instance's.
    #[error("is another program's or instance's: give each instance a folder of its own")]
    Foreign,
    /// It was written by a later program.
    #[error("has form {0}, {FORM} is known: start the newer program again, or delete the file")]
    FutureForm(u32),
    /// Its checksum, or a digest in it, does not fit.
    #[error("is damaged: nothing to do, the one before it serves; see that the disk is sound")]
    Damaged,
    /// It can't be read.
    #[error("can't be read, {0}: see to the file's rights and its disk")]
    Unreadable(String),
}

#[derive(Serialize, Deserialize)]
struct Body<T> {
    instance: String,
    content: T,
}

/// What was found at a start.
#[derive(Debug, Default)]
pub struct Loaded {
    /// The version to run, and the file that it came from.
    pub snapshot: Option<(Snapshot, &'static str)>,
    /// Files that could not be used, and why.
    pub passed_over: Vec<(&'static str, Unusable)>,
}

/// The files of one instance.
#[derive(Clone, Debug)]
pub struct LastGood {
    folder: PathBuf,
    instance: String,
}

/// The bytes of a file with this body.
pub fn seal(body: &[u8]) -> Vec<u8> {
    let mut out = MAGIC.to_vec();
    out.extend(FORM.to_le_bytes());
    out.extend(crc32fast::hash(body).to_le_bytes());
    out.extend((body.len() as u64).to_le_bytes());
    out.extend(body);
    out
}

/// The body in the bytes of a file.
pub fn unseal(bytes: &[u8]) -> Result<&[u8], Unusable> {
    let magic = &bytes[..bytes.len().min(MAGIC.len())];
    if !MAGIC.starts_with(magic) {
        return Err(Unusable::Foreign);
    }
    if bytes.len() < HEAD {
        return Err(Unusable::Torn);
    }
    let word = |at: usize| u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
    if word(8) != FORM {
        return Err(Unusable::FutureForm(word(8)));
    }
    let (length, body) = (u64::from(word(16)) | u64::from(word(20)) << 32, &bytes[HEAD..]);
    if body.len() as u64 != length {
        return Err(Unusable::Torn);
    }
    if crc32fast::hash(body) != word(12) { Err(Unusable::Damaged) } else { Ok(body) }
}

/// Has the folder's entries outlive a power cut.
fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

impl LastGood {
    /// The files of an instance in a folder, which is made where there is none.
    pub fn open(folder: PathBuf, instance: &str) -> io::Result<LastGood> {
        fs::create_dir_all(&folder)?;
        Ok(LastGood { folder, instance: instance.to_string() })
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    fn write(&self, name: &str, content: &impl Serialize) -> io::Result<()> {
        let body = serde_json::to_vec(&Body { instance: self.instance.clone(), content })?;
        let part = self.path(&format!("{name}.part"));
        let mut file = File::create(&part)?;
        file.write_all(&seal(&body))?;
        file.sync_all()?;
        fs::rename(part, self.path(name))?;
        sync_folder(&self.folder)
    }

    fn read<T: DeserializeOwned>(&self, name: &str) -> Result<T, Unusable> {
        let path = self.path(name);
        let unreadable = |e: io::Error| match e.kind() {
            io::ErrorKind::NotFound => Unusable::Missing,
            _ => Unusable::Unreadable(e.to_string()),
        };
        if fs::metadata(&path).map_err(unreadable)?.len() > MOST {
            return Err(Unusable::Foreign);
        }
        let bytes = fs::read(&path).map_err(unreadable)?;
        let body: Body<T> =
            serde_json::from_slice(unseal(&bytes)?).map_err(|e| Unusable::Unreadable(e.to_string()))?;
        if body.instance == self.instance { Ok(body.content) } else { Err(Unusable::Foreign) }
    }

    fn snapshot(&self, name: &str) -> Result<Snapshot, Unusable> {
        let snapshot: Snapshot = self.read(name)?;
        if snapshot.is_whole() { Ok(snapshot) } else { Err(Unusable::Damaged) }
    }

    fn first(&self, names: &[&'static str]) -> Loaded {
        let mut loaded = Loaded::default();
        for name in names {
            match self.snapshot(name) {
                Ok(snapshot) => {
                    loaded.snapshot = Some((snapshot, name));
                    break;
                }
                Err(Unusable::Missing) => {}
                Err(why) => loaded.passed_over.push((name, why)),
            }
        }
        loaded
    }

    /// The version to start with: the last good one, else the one before. One that was on trial when the process
    /// ended may be why it ended; it is not used, and will be offered again.
    pub fn load(&self) -> Loaded {
        self.first(&[GOOD, BEFORE])
    }

    /// The version that the process beside this one runs, on trial or not.
    pub fn load_running(&self) -> Loaded {
        self.first(&[TRIAL, GOOD, BEFORE])
    }

    /// Whether a version is on trial, and which.
    pub fn on_trial(&self) -> Option<Version> {
        self.snapshot(TRIAL).ok().map(|s| s.version)
    }

    /// Writes a version ahead of its use.
    pub fn put_on_trial(&self, snapshot: &Snapshot) -> io::Result<()> {
        self.write(TRIAL, snapshot)
    }

    /// The version on trial becomes the last good one, and that the one before. At no moment is there none.
    pub fn promote(&self) -> io::Result<()> {
        let part = self.path("good.prev.part");
        match fs::remove_file(&part) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        // Danger: a file that can't be used must not take the place of the one before, which may be all there is.
        if self.snapshot(GOOD).is_ok() {
            fs::hard_link(self.path(GOOD), &part)?;
            fs::rename(part, self.path(BEFORE))?;
        }
        fs::rename(self.path(TRIAL), self.path(GOOD))?;
        sync_folder(&self.folder)
    }

    /// The version on trial was given up.
    pub fn discard_trial(&self) -> io::Result<()> {
        match fs::remove_file(self.path(TRIAL)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => sync_folder(&self.folder),
        }
    }

    /// Keeps what must be remembered beside the versions.
    pub fn remember(&self, memory: &Memory) -> io::Result<()> {
        self.write(MEMORY, memory)
    }

    /// What was remembered.
    pub fn memory(&self) -> Result<Memory, Unusable> {
        self.read(MEMORY)
    }
}
