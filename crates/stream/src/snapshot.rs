//! A version's content, and how it is put together from an offer and its parts.

use crate::wire::{Code, Entry, Fault, Holding};
use crate::{Digest, Hasher, Kind, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A type's content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resource {
    /// The type's own version.
    pub version: Version,
    /// The digest of the text.
    pub digest: Digest,
    /// Its text, a JSON object.
    pub text: Arc<str>,
}

/// One version of everything: taken whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The version of the whole.
    pub version: Version,
    /// What it holds, by type.
    pub resources: BTreeMap<Kind, Resource>,
}

impl Snapshot {
    /// What a subscriber that runs it tells of what it holds.
    pub fn holds(&self) -> BTreeMap<Kind, Holding> {
        let holding = |r: &Resource| Holding { version: r.version, digest: r.digest.clone() };
        self.resources.iter().map(|(kind, r)| (*kind, holding(r))).collect()
    }

    /// A digest of all that it holds, whatever the versions: equal for equal contents.
    pub fn content(&self) -> Digest {
        content(self.resources.iter().map(|(kind, r)| (*kind, &r.digest)))
    }

    /// Its texts, by type.
    pub fn texts(&self) -> BTreeMap<Kind, &str> {
        self.resources.iter().map(|(kind, r)| (*kind, &*r.text)).collect()
    }

    /// Whether each text is what its digest says.
    pub fn is_whole(&self) -> bool {
        self.resources.values().all(|r| Digest::of(&r.text) == r.digest)
    }
}

/// The digest of a content that is known by its types' digests, in any order.
pub fn content<'a>(types: impl Iterator<Item = (Kind, &'a Digest)>) -> Digest {
    let sorted: BTreeMap<Kind, &Digest> = types.collect();
    let mut hasher = Hasher::default();
    for (kind, digest) in sorted {
        hasher.update(kind.name());
        hasher.update(&digest.0);
    }
    hasher.finish()
}

/// Why an offer can't become a snapshot.
pub type Unfit = (Code, Fault);

fn unfit(code: Code, key: &str, why: impl Into<String>) -> Unfit {
    (code, Fault { key: key.to_string(), why: why.into() })
}

/// A version on its way in.
pub struct Assembly {
    /// The offer's.
    pub nonce: u64,
    /// The version.
    pub version: Version,
    entries: Vec<Entry>,
    held: BTreeMap<Kind, Resource>,
    arrived: BTreeMap<Kind, (String, Hasher)>,
}

impl Assembly {
    /// Begins with an offer; what it does not send is taken from what is held.
    pub fn begin(
        (nonce, version): (u64, Version),
        entries: Vec<Entry>,
        held: Option<&Snapshot>,
        most_bytes: u64,
    ) -> Result<Assembly, Unfit> {
        let mut kept = BTreeMap::new();
        for (i, entry) in entries.iter().enumerate() {
            let name = entry.kind.name();
            if entries[..i].iter().any(|e| e.kind == entry.kind) {
                return Err(unfit(Code::Damaged, name, "is announced twice"));
            }
            if entry.version > version {
                return Err(unfit(Code::Invalid, name, "has a higher version than the whole"));
            }
            if !entry.sent {
                let held =
                    held.and_then(|h| h.resources.get(&entry.kind)).filter(|r| r.digest == entry.digest);
                let held = held.ok_or_else(|| unfit(Code::Gap, name, "is left out and not held here"))?;
                kept.insert(entry.kind, Resource { version: entry.version, ..held.clone() });
            }
        }
        let total = entries.iter().fold(0_u64, |sum, e| sum.saturating_add(e.bytes));
        if total > most_bytes {
            return Err(unfit(Code::Oversize, "(the whole)", format!("{total} bytes, {most_bytes} allowed")));
        }
        Ok(Assembly { nonce, version, entries, held: kept, arrived: BTreeMap::new() })
    }

    /// Takes a part in. Memory grows with what has arrived, never with what was announced.
    pub fn part(&mut self, kind: Kind, text: &str) -> Result<(), Unfit> {
        let entry = self.entries.iter().find(|e| e.kind == kind && e.sent);
        let entry = entry.ok_or_else(|| unfit(Code::Damaged, kind.name(), "was not announced"))?;
        let (whole, hasher) = self.arrived.entry(kind).or_default();
        if whole.len() as u64 + text.len() as u64 > entry.bytes {
            return Err(unfit(Code::Damaged, kind.name(), "is longer than announced"));
        }
        whole.push_str(text);
        hasher.update(text);
        Ok(())
    }

    /// All has been sent.
    pub fn end(mut self) -> Result<Snapshot, Unfit> {
        let mut resources = self.held;
        for entry in self.entries.into_iter().filter(|e| e.sent) {
            let (text, hasher) = self.arrived.remove(&entry.kind).unwrap_or_default();
            if text.len() as u64 != entry.bytes || hasher.finish() != entry.digest {
                return Err(unfit(Code::Damaged, entry.kind.name(), "is not what was announced"));
            }
            let resource = Resource { version: entry.version, digest: entry.digest, text: text.into() };
            resources.insert(entry.kind, resource);
        }
        Ok(Snapshot { version: self.version, resources })
    }
}
