//! The executors that operators have banned. A ban holds until it is lifted, whatever the executor list says.
//!
//! Each ban is an empty file named after the executor's id. Creating and removing it are atomic, so bans outlive the
//! process, two processes of a dispatcher see each other's, and neither can read half of one. At most [`MAX_BANS`] hold.

use crate::api::WorkerId;
use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::path::PathBuf;

/// The most bans at a time.
const MAX_BANS: usize = 4_096;
/// The longest id that can be banned: its hex form has to fit into a file name.
const MAX_ID_BYTES: usize = 120;

/// The set of banned executors, with its files.
#[derive(Default)]
pub struct Bans {
    /// The folder of the files; without it, bans end with the process.
    folder: Option<PathBuf>,
    banned: BTreeSet<WorkerId>,
}

impl Bans {
    /// Reads the stored bans. Nothing in the folder may prevent a start: foreign files are ignored, and if the folder can't
    /// be created, bans are kept in memory only.
    pub fn open(folder: Option<PathBuf>) -> Bans {
        let folder = folder.filter(|f| fs::create_dir_all(f).is_ok());
        let mut bans = Bans { folder, banned: BTreeSet::new() };
        bans.reload();
        bans
    }

    /// Returns whether the executor is banned.
    pub fn contains(&self, id: &str) -> bool {
        self.banned.contains(id)
    }

    /// Returns the ids of the banned executors.
    pub fn iter(&self) -> impl Iterator<Item = &WorkerId> {
        self.banned.iter()
    }

    /// Bans an executor, which changes nothing if it is banned already. If the file can't be created, it is not banned.
    pub fn ban(&mut self, id: &WorkerId) -> io::Result<()> {
        if !self.contains(id) && (self.banned.len() >= MAX_BANS || id.len() > MAX_ID_BYTES) {
            return Err(io::Error::other("too many bans, or too long an id"));
        }
        if let Some(folder) = &self.folder {
            fs::File::create(folder.join(file_name(id)))?;
        }
        self.banned.insert(id.clone());
        Ok(())
    }

    /// Lifts a ban; succeeds also if the executor is not banned.
    pub fn lift(&mut self, id: &WorkerId) -> io::Result<()> {
        if let Some(folder) = &self.folder {
            match fs::remove_file(folder.join(file_name(id))) {
                Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
                _ => {}
            }
        }
        self.banned.remove(id);
        Ok(())
    }

    /// Rereads the files, which another process may have changed; returns the executors whose bans began or ended.
    pub fn reload(&mut self) -> Vec<WorkerId> {
        let Some(files) = self.folder.as_ref().and_then(|f| fs::read_dir(f).ok()) else { return Vec::new() };
        let ids = files.take(2 * MAX_BANS).filter_map(|f| parse_file_name(f.ok()?.file_name().to_str()?));
        let banned: BTreeSet<WorkerId> = ids.take(MAX_BANS).collect();
        let changed = self.banned.symmetric_difference(&banned).cloned().collect();
        self.banned = banned;
        changed
    }
}

/// Returns the name of a ban's file: the id's bytes in hex, since an id may contain any character.
fn file_name(id: &str) -> String {
    id.bytes().fold("ban-".to_string(), |name, byte| name + &format!("{byte:02x}"))
}

/// Returns the id that a file is named after; `None` for a foreign file.
fn parse_file_name(name: &str) -> Option<WorkerId> {
    let hex = name.strip_prefix("ban-")?.as_bytes();
    if hex.is_empty() || hex.len() > 2 * MAX_ID_BYTES || hex.len() % 2 == 1 {
        return None;
    }
    let digit = |byte: u8| char::from(byte).to_digit(16);
    let byte = |pair: &[u8]| Some((digit(pair[0])? * 16 + digit(pair[1])?) as u8);
    let bytes = hex.chunks_exact(2).map(byte).collect::<Option<Vec<u8>>>()?;
    String::from_utf8(bytes).ok().map(WorkerId::from)
}

#[cfg(test)]
mod tests;
