//! The executors that operators have taken out of use. A ban holds until it is lifted, whatever the list says.
//!
//! Each ban is an empty file, named after the executor's id: made and removed in one step, so that it outlives the
//! process, two processes see each other's, and none of them can read half of one.

use crate::api::WorkerId;
use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::path::PathBuf;

/// Bans held at the most.
const MOST: usize = 4_096;
/// The longest id that a file can be named after.
const MOST_ID: usize = 120;

/// The bans.
#[derive(Default)]
pub struct Bans {
    /// Where the files are; without it, bans end with the process.
    dir: Option<PathBuf>,
    held: BTreeSet<WorkerId>,
}

impl Bans {
    /// Reads the bans that stand. Danger: whatever else lies there must not stop a start; it is passed over, and
    /// where no files can be kept, bans are held in memory alone.
    pub fn open(dir: Option<PathBuf>) -> Bans {
        let dir = dir.filter(|d| fs::create_dir_all(d).is_ok());
        let mut bans = Bans { dir, held: BTreeSet::new() };
        bans.reread();
        bans
    }

    /// Whether the executor is banned.
    pub fn holds(&self, id: &str) -> bool {
        self.held.contains(id)
    }

    /// The banned ones.
    pub fn iter(&self) -> impl Iterator<Item = &WorkerId> {
        self.held.iter()
    }

    /// Bans an executor; twice is once. It is banned only where that can be kept.
    pub fn ban(&mut self, id: &WorkerId) -> io::Result<()> {
        if !self.holds(id) && (self.held.len() >= MOST || id.len() > MOST_ID) {
            return Err(io::Error::other("too many bans, or too long an id"));
        }
        if let Some(dir) = &self.dir {
            fs::File::create(dir.join(name(id)))?;
        }
        self.held.insert(id.clone());
        Ok(())
    }

    /// Ends a ban; one that does not stand is ended too.
    pub fn lift(&mut self, id: &WorkerId) -> io::Result<()> {
        if let Some(dir) = &self.dir {
            match fs::remove_file(dir.join(name(id))) {
                Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
                _ => {}
            }
        }
        self.held.remove(id);
        Ok(())
    }

    /// Takes over what another process has changed; returns whose bans began or ended.
    pub fn reread(&mut self) -> Vec<WorkerId> {
        let Some(files) = self.dir.as_ref().and_then(|d| fs::read_dir(d).ok()) else { return Vec::new() };
        let ids = files.take(2 * MOST).filter_map(|f| id(f.ok()?.file_name().to_str()?));
        let held: BTreeSet<WorkerId> = ids.take(MOST).collect();
        let changed = self.held.symmetric_difference(&held).cloned().collect();
        self.held = held;
        changed
    }
}

/// The name of a ban's file: the id's bytes in hex, since an id may hold anything.
fn name(id: &str) -> String {
    id.bytes().fold("ban-".to_string(), |name, byte| name + &format!("{byte:02x}"))
}

fn id(name: &str) -> Option<WorkerId> {
    let hex = name.strip_prefix("ban-")?.as_bytes();
    if hex.is_empty() || hex.len() > 2 * MOST_ID || hex.len() % 2 == 1 {
        return None;
    }
    let digit = |byte: u8| char::from(byte).to_digit(16);
    let byte = |pair: &[u8]| Some((digit(pair[0])? * 16 + digit(pair[1])?) as u8);
    let bytes = hex.chunks_exact(2).map(byte).collect::<Option<Vec<u8>>>()?;
    String::from_utf8(bytes).ok().map(WorkerId::from)
}

#[cfg(test)]
mod tests;
