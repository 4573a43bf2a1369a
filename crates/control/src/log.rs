//! The service's log: an append-only sequence of records, each with its length and checksum, for a single writer.
//!
//! Layout: 8 bytes of magic, then for each record its length and its CRC-32 (4 bytes each, little-endian) and its
//! body, a JSON object. An incomplete tail, left by a crash or power failure, is truncated at the next start. Damage
//! followed by valid records is not a tail: the log is refused rather than read with records missing in the middle.

use crate::record::Record;
use rustix::fs::{FlockOperation, flock};
use std::fs::{self, File};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

const MAGIC: &[u8; 8] = b"OCHRLOG1";
/// The length and the checksum in front of a record's body.
const HEADER_BYTES: usize = 8;
/// The maximum length of a record's body, in bytes.
pub const MAX_RECORD_BYTES: usize = 32 << 20;
/// A log shorter than this is not compacted, in bytes.
const MIN_COMPACTION_BYTES: u64 = 1 << 20;
/// The log is compacted when it exceeds this multiple of its length after the last compaction.
const COMPACTION_GROWTH_FACTOR: u64 = 4;

/// The reason why a log can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file system returned an error.
    #[error("the log can't be read or written, {0}: check the store's folder, its permissions and its disk")]
    Io(#[from] io::Error),
    /// Another process holds the lock.
    #[error("another control service has this store open: stop it, or give this one its own folder")]
    Taken,
    /// The file was written by another program.
    #[error("the log is another program's file: give the service its own folder")]
    Foreign,
    /// A record is damaged, and valid records follow it.
    #[error("the log is damaged at byte {at}, with valid records after it: restore the folder from a backup")]
    Damaged {
        /// The offset of the damage, in bytes from the start of the log.
        at: u64,
    },
}

/// The log, open for one writer.
pub struct Log {
    folder: PathBuf,
    file: File,
    length: u64,
    /// The length after the last compaction; 0 before the first.
    compacted_length: u64,
    /// Holds the exclusive lock while the log is open.
    _lock: File,
}

/// Reads the records in a log's bytes; returns them with the offset at which the valid part ends.
fn scan(bytes: &[u8]) -> Result<(Vec<Record>, usize), Error> {
    if bytes.len() < MAGIC.len() && MAGIC.starts_with(bytes) {
        return Ok((Vec::new(), 0));
    }
    if !bytes.starts_with(MAGIC) {
        return Err(Error::Foreign);
    }
    let (mut records, mut valid_length) = (Vec::new(), MAGIC.len());
    while let Some((record, size)) = decode_first(&bytes[valid_length..]) {
        records.push(record);
        valid_length += size;
    }
    // The rest may be a truncated tail, but a valid record anywhere in it means that the damage is in the middle.
    let rest = &bytes[valid_length..];
    if (1..rest.len()).any(|skip| decode_first(&rest[skip..]).is_some()) {
        return Err(Error::Damaged { at: valid_length as u64 });
    }
    Ok((records, valid_length))
}

/// Decodes the record at the start of the bytes; returns it with its size including the header.
fn decode_first(bytes: &[u8]) -> Option<(Record, usize)> {
    let u32_at = |offset: usize| -> Option<u32> {
        Some(u32::from_le_bytes(bytes.get(offset..offset + 4)?.try_into().ok()?))
    };
    let (length, checksum) = (u32_at(0)? as usize, u32_at(4)?);
    if length == 0 || length > MAX_RECORD_BYTES {
        return None;
    }
    let body = bytes.get(HEADER_BYTES..HEADER_BYTES + length)?;
    if crc32fast::hash(body) != checksum {
        return None;
    }
    Some((serde_json::from_slice(body).ok()?, HEADER_BYTES + length))
}

fn encode(record: &Record) -> io::Result<Vec<u8>> {
    let body = serde_json::to_vec(record)?;
    if body.len() > MAX_RECORD_BYTES {
        return Err(io::Error::other("a record exceeds the maximum record size of the log"));
    }
    let mut out = (body.len() as u32).to_le_bytes().to_vec();
    out.extend(crc32fast::hash(&body).to_le_bytes());
    out.extend(body);
    Ok(out)
}

impl Log {
    /// Opens the log in a folder, which is created if it does not exist, and reads its records.
    pub fn open(folder: &Path) -> Result<(Log, Vec<Record>), Error> {
        fs::create_dir_all(folder)?;
        let lock = File::options().write(true).create(true).truncate(false).open(folder.join("lock"))?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive).map_err(|_| Error::Taken)?;
        let path = folder.join("log");
        let mut file = File::options().read(true).write(true).create(true).truncate(false).open(path)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let (records, valid_length) = scan(&bytes)?;
        if valid_length < bytes.len() {
            fs::write(folder.join("log.torn"), &bytes[valid_length..])?;
            tracing::warn!(
                bytes = bytes.len() - valid_length,
                "truncated an incomplete record at the end of the log"
            );
        }
        let mut log = Log {
            folder: folder.into(),
            file,
            length: valid_length as u64,
            compacted_length: 0,
            _lock: lock,
        };
        log.file.set_len(log.length)?;
        log.file.seek(SeekFrom::Start(log.length))?;
        if valid_length == 0 {
            log.file.write_all(MAGIC)?;
            log.length = MAGIC.len() as u64;
        }
        log.file.sync_all()?;
        File::open(folder)?.sync_all()?;
        Ok((log, records))
    }

    /// Appends records, and syncs them before returning if any of them must survive a power failure. After an error none
    /// of the records is kept: the log is truncated to its previous length.
    pub fn append(&mut self, records: &[Record]) -> io::Result<()> {
        let mut bytes = Vec::new();
        for record in records {
            bytes.extend(encode(record)?);
        }
        let sync = records.iter().any(Record::must_sync);
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

    /// Returns whether the log has grown to several times its length after the last compaction.
    pub fn needs_compaction(&self) -> bool {
        self.length > MIN_COMPACTION_BYTES.max(self.compacted_length * COMPACTION_GROWTH_FACTOR)
    }

    /// Replaces all records by these, which describe the same state in fewer records.
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
        (self.file, self.length, self.compacted_length) = (file, length as u64, length as u64);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
