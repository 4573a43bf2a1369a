//! The service's log: records appended one after the other, each with its length and checksum.
//!
//! Layout: 8 bytes of magic, then for each record its length and its CRC-32 (4 bytes each, little-endian) and its
//! body, a JSON object. A tail that a kill or a power cut left half written is cut off at the next start; damage with
//! good records behind it is no tail, and the log is refused rather than read with a hole in it.

use crate::record::Record;
use rustix::fs::{FlockOperation, flock};
use std::fs::{self, File};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

const MAGIC: &[u8; 8] = b"OCHRLOG1";
const HEAD: usize = 8;
/// The longest record, in bytes.
pub const MOST_RECORD: usize = 32 << 20;
/// A log shorter than this is not compacted.
const LEAST_COMPACTED: u64 = 1 << 20;

/// Why a log can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The disk would not.
    #[error("the log can't be read or written, {0}: see to the store's folder, its rights and its disk")]
    Io(#[from] io::Error),
    /// Another process writes it.
    #[error("another control service has this store open: end it, or give this one a folder of its own")]
    Taken,
    /// It is another program's file.
    #[error("the log is another program's file: give the service a folder of its own")]
    Foreign,
    /// A record is damaged, and good ones follow it.
    #[error(
        "the log is damaged at byte {at}, with good records behind it: put a copy of the folder in its place"
    )]
    Damaged {
        /// Where the damage begins, in bytes from the start.
        at: u64,
    },
}

/// The log, open for one writer.
pub struct Log {
    folder: PathBuf,
    file: File,
    length: u64,
    /// The length after the last compaction.
    compacted: u64,
    _lock: File,
}

/// What reading a log's bytes comes to: the records, and where the good part ends.
fn scan(bytes: &[u8]) -> Result<(Vec<Record>, usize), Error> {
    if bytes.len() < MAGIC.len() && MAGIC.starts_with(bytes) {
        return Ok((Vec::new(), 0));
    }
    if !bytes.starts_with(MAGIC) {
        return Err(Error::Foreign);
    }
    let (mut records, mut at) = (Vec::new(), MAGIC.len());
    while let Some((record, size)) = one(&bytes[at..]) {
        records.push(record);
        at += size;
    }
    // What follows the first bad byte may be a torn tail, but a whole record in it means that the middle is bad.
    let rest = &bytes[at..];
    if (1..rest.len()).any(|skip| one(&rest[skip..]).is_some()) {
        return Err(Error::Damaged { at: at as u64 });
    }
    Ok((records, at))
}

/// The record at the front of the bytes, and its size with its head.
fn one(bytes: &[u8]) -> Option<(Record, usize)> {
    let word =
        |at: usize| -> Option<u32> { Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?)) };
    let (length, sum) = (word(0)? as usize, word(4)?);
    if length == 0 || length > MOST_RECORD {
        return None;
    }
    let body = bytes.get(HEAD..HEAD + length)?;
    if crc32fast::hash(body) != sum {
        return None;
    }
    Some((serde_json::from_slice(body).ok()?, HEAD + length))
}

fn encode(record: &Record) -> io::Result<Vec<u8>> {
    let body = serde_json::to_vec(record)?;
    if body.len() > MOST_RECORD {
        return Err(io::Error::other("a record larger than the log takes"));
    }
    let mut out = (body.len() as u32).to_le_bytes().to_vec();
    out.extend(crc32fast::hash(&body).to_le_bytes());
    out.extend(body);
    Ok(out)
}

impl Log {
    /// Opens the log in a folder, which is made where there is none, and reads it.
    pub fn open(folder: &Path) -> Result<(Log, Vec<Record>), Error> {
        fs::create_dir_all(folder)?;
        let lock = File::options().write(true).create(true).truncate(false).open(folder.join("lock"))?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive).map_err(|_| Error::Taken)?;
        let path = folder.join("log");
        let mut file = File::options().read(true).write(true).create(true).truncate(false).open(path)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let (records, good) = scan(&bytes)?;
        if good < bytes.len() {
            fs::write(folder.join("log.torn"), &bytes[good..])?;
            tracing::warn!(bytes = bytes.len() - good, "a torn end of the log was cut off");
        }
        let mut log = Log { folder: folder.into(), file, length: good as u64, compacted: 0, _lock: lock };
        log.file.set_len(log.length)?;
        log.file.seek(SeekFrom::Start(log.length))?;
        if good == 0 {
            log.file.write_all(MAGIC)?;
            log.length = MAGIC.len() as u64;
        }
        log.file.sync_all()?;
        File::open(folder)?.sync_all()?;
        Ok((log, records))
    }

    /// Appends records; what must outlive a power cut is synced before this returns. After an error nothing of them
    /// counts: the log is cut back to what it was.
    pub fn append(&mut self, records: &[Record]) -> io::Result<()> {
        let mut bytes = Vec::new();
        for record in records {
            bytes.extend(encode(record)?);
        }
        let sync = records.iter().any(Record::must_last);
        let written =
            self.file.write_all(&bytes).and_then(|()| if sync { self.file.sync_data() } else { Ok(()) });
        match written {
            Ok(()) => {
                self.length += bytes.len() as u64;
                Ok(())
            }
            Err(e) => {
                self.file.set_len(self.length)?;
                self.file.seek(SeekFrom::Start(self.length))?;
                Err(e)
            }
        }
    }

    /// Whether it has grown to several times what it was after the last compaction.
    pub fn wants_compaction(&self) -> bool {
        self.length > LEAST_COMPACTED.max(self.compacted * 4)
    }

    /// Replaces all records by these, which say the same in fewer.
    pub fn compact(&mut self, records: &[Record]) -> io::Result<()> {
        let path = self.folder.join("log.new");
        let mut file = File::options().read(true).write(true).create(true).truncate(true).open(&path)?;
        let mut length = MAGIC.len();
        file.write_all(MAGIC)?;
        for record in records {
            let bytes = encode(record)?;
            length += bytes.len();
            file.write_all(&bytes)?;
        }
        file.sync_all()?;
        fs::rename(path, self.folder.join("log"))?;
        File::open(&self.folder)?.sync_all()?;
        (self.file, self.length, self.compacted) = (file, length as u64, length as u64);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
