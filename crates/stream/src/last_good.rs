//! The versions that a subscriber stores on disk: the last good one, the previous good one, the one on trial, and the
//! subscriber's [`SubscriberState`].
//!
//! Each has its own file, which is written under a temporary name, synced and renamed into place, so that a crash or
//! power failure leaves either the old or the new file. The layout is magic (8 bytes), format version and CRC-32 of the
//! body (4 bytes each, little-endian), length of the body (8 bytes, little-endian), and the body, a JSON object. A file
//! that is truncated, foreign, damaged or of a later format is never used.

use crate::subscriber::SubscriberState;
use crate::{Snapshot, Version};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

const MAGIC: &[u8; 8] = b"OCHRCFG\n";
const FORMAT_VERSION: u32 = 1;
/// Magic, format version, checksum and body length.
const HEADER_BYTES: usize = 24;
/// The maximum size of a file that is read, in bytes.
const MAX_FILE_BYTES: u64 = 64 << 20;

/// The file of the last good version.
const GOOD: &str = "good";
/// The file of the previous good version.
const PREVIOUS_GOOD: &str = "good.prev";
/// The file of the version on trial.
const TRIAL: &str = "trial";
/// The file of the subscriber's memory.
const MEMORY: &str = "memory";

/// The reason why a file is not used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unusable {
    /// The file does not exist.
    #[error("does not exist: nothing to do, the next version that passes its trial is written")]
    Missing,
    /// The file is shorter or longer than its header says.
    #[error(
        "is truncated or too long: nothing to do, the previous version is used; check that the disk is not full"
    )]
    Truncated,
    /// The file was written by another program or for another instance.
    #[error("belongs to another program or instance: give each instance its own folder")]
    Foreign,
    /// The file was written by a later release in a newer format.
    #[error(
        "has format {0}, this program reads format {FORMAT_VERSION}: start the newer program again, or delete the file"
    )]
    UnknownFormat(u32),
    /// The checksum, or the digest of a resource, does not match.
    #[error("is damaged: nothing to do, the previous version is used; check the disk for errors")]
    Damaged,
    /// The file can't be read or parsed.
    #[error("can't be read, {0}: check the file's permissions and its disk")]
    Unreadable(String),
}

#[derive(Serialize, Deserialize)]
struct FileBody<T> {
    instance: String,
    content: T,
}

/// The result of loading a version at start-up.
#[derive(Debug, Default)]
pub struct Loaded {
    /// The version to run, and the file that it was read from.
    pub snapshot: Option<(Snapshot, &'static str)>,
    /// Files that could not be used, each with the reason.
    pub unusable_files: Vec<(&'static str, Unusable)>,
}

/// The files of one instance.
#[derive(Clone, Debug)]
pub struct VersionStore {
    folder: PathBuf,
    instance: String,
}

/// Encodes a body as the bytes of a file.
pub fn encode_file(body: &[u8]) -> Vec<u8> {
    let mut out = MAGIC.to_vec();
    out.extend(FORMAT_VERSION.to_le_bytes());
    out.extend(crc32fast::hash(body).to_le_bytes());
    out.extend((body.len() as u64).to_le_bytes());
    out.extend(body);
    out
}

/// Verifies the bytes of a file and returns the body.
pub fn decode_file(bytes: &[u8]) -> Result<&[u8], Unusable> {
    let magic = &bytes[..bytes.len().min(MAGIC.len())];
    if !MAGIC.starts_with(magic) {
        return Err(Unusable::Foreign);
    }
    if bytes.len() < HEADER_BYTES {
        return Err(Unusable::Truncated);
    }
    let u32_at = |offset: usize| {
        u32::from_le_bytes([bytes[offset], bytes[offset + 1], bytes[offset + 2], bytes[offset + 3]])
    };
    if u32_at(8) != FORMAT_VERSION {
        return Err(Unusable::UnknownFormat(u32_at(8)));
    }
    let (length, body) = (u64::from(u32_at(16)) | u64::from(u32_at(20)) << 32, &bytes[HEADER_BYTES..]);
    if body.len() as u64 != length {
        return Err(Unusable::Truncated);
    }
    if crc32fast::hash(body) != u32_at(12) { Err(Unusable::Damaged) } else { Ok(body) }
}

/// Syncs the folder itself, without which a rename or removal may be lost in a power failure.
fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

impl VersionStore {
    /// Opens the files of an instance in a folder, which is created if it does not exist.
    pub fn open(folder: PathBuf, instance: &str) -> io::Result<VersionStore> {
        fs::create_dir_all(&folder)?;
        Ok(VersionStore { folder, instance: instance.to_string() })
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    fn write(&self, name: &str, content: &impl Serialize) -> io::Result<()> {
        let body = serde_json::to_vec(&FileBody { instance: self.instance.clone(), content })?;
        let temporary = self.path(&format!("{name}.part"));
        let mut file = File::create(&temporary)?;
        file.write_all(&encode_file(&body))?;
        file.sync_all()?;
        fs::rename(temporary, self.path(name))?;
        sync_folder(&self.folder)
    }

    fn read<T: DeserializeOwned>(&self, name: &str) -> Result<T, Unusable> {
        let path = self.path(name);
        let unreadable = |e: io::Error| match e.kind() {
            io::ErrorKind::NotFound => Unusable::Missing,
            _ => Unusable::Unreadable(e.to_string()),
        };
        if fs::metadata(&path).map_err(unreadable)?.len() > MAX_FILE_BYTES {
            return Err(Unusable::Foreign);
        }
        let bytes = fs::read(&path).map_err(unreadable)?;
        let body: FileBody<T> =
            serde_json::from_slice(decode_file(&bytes)?).map_err(|e| Unusable::Unreadable(e.to_string()))?;
        if body.instance == self.instance { Ok(body.content) } else { Err(Unusable::Foreign) }
    }

    fn snapshot(&self, name: &str) -> Result<Snapshot, Unusable> {
        let snapshot: Snapshot = self.read(name)?;
        if snapshot.is_intact() { Ok(snapshot) } else { Err(Unusable::Damaged) }
    }

    /// Loads the first of these files that is usable.
    fn first_usable(&self, names: &[&'static str]) -> Loaded {
        let mut loaded = Loaded::default();
        for name in names {
            match self.snapshot(name) {
                Ok(snapshot) => {
                    loaded.snapshot = Some((snapshot, name));
                    break;
                }
                Err(Unusable::Missing) => {}
                Err(why) => loaded.unusable_files.push((name, why)),
            }
        }
        loaded
    }

    /// Loads the version to start with: the last good one, or else the previous one. A version that was on trial when
    /// the process ended is not used, since it may have caused the end; the service will offer it again.
    pub fn load(&self) -> Loaded {
        self.first_usable(&[GOOD, PREVIOUS_GOOD])
    }

    /// Loads the version that another process of this instance runs, on trial or not.
    pub fn load_running(&self) -> Loaded {
        self.first_usable(&[TRIAL, GOOD, PREVIOUS_GOOD])
    }

    /// Returns the version on trial, if there is one.
    pub fn on_trial(&self) -> Option<Version> {
        self.snapshot(TRIAL).ok().map(|s| s.version)
    }

    /// Stores a version as the one on trial, before it is applied.
    pub fn put_on_trial(&self, snapshot: &Snapshot) -> io::Result<()> {
        self.write(TRIAL, snapshot)
    }

    /// Makes the version on trial the last good one, and the last good one the previous one. A crash between any two
    /// steps leaves a usable version.
    pub fn promote(&self) -> io::Result<()> {
        self.keep_previous_good()?;
        fs::rename(self.path(TRIAL), self.path(GOOD))?;
        sync_folder(&self.folder)
    }

    /// Stores a version that has passed its trial as the last good one, when the next version is already the one on trial.
    pub fn store_good(&self, snapshot: &Snapshot) -> io::Result<()> {
        self.keep_previous_good()?;
        self.write(GOOD, snapshot)
    }

    /// Makes a copy of the last good version the previous one.
    fn keep_previous_good(&self) -> io::Result<()> {
        let temporary = self.path("good.prev.part");
        match fs::remove_file(&temporary) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        // An unusable file must not replace the previous good version, which may be the only usable one.
        if self.snapshot(GOOD).is_ok() {
            fs::hard_link(self.path(GOOD), &temporary)?;
            fs::rename(temporary, self.path(PREVIOUS_GOOD))?;
        }
        Ok(())
    }

    /// Deletes the version on trial, after it was rolled back.
    pub fn discard_trial(&self) -> io::Result<()> {
        match fs::remove_file(self.path(TRIAL)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => sync_folder(&self.folder),
        }
    }

    /// Stores the subscriber's memory.
    pub fn store_memory(&self, memory: &SubscriberState) -> io::Result<()> {
        self.write(MEMORY, memory)
    }

    /// Loads the subscriber's memory.
    pub fn load_memory(&self) -> Result<SubscriberState, Unusable> {
        self.read(MEMORY)
    }
}
