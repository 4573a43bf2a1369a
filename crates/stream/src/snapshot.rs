//! The content of a version, and its assembly from an offer and the parts that follow.
//!
//! An [`Assembly`] verifies every announced length and digest, and is bounded by the maximum size that its caller allows.

use crate::wire::{Code, Entry, Fault, Holding};
use crate::{Digest, Hasher, Kind, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The content of one type.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resource {
    /// The type's own version.
    pub version: Version,
    /// The digest of `text`.
    pub digest: Digest,
    /// The content as JSON, an object.
    pub text: Arc<str>,
}

/// One version of the whole configuration, which is applied as a whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The version of the snapshot.
    pub version: Version,
    /// The resources, by type.
    pub resources: BTreeMap<Kind, Resource>,
}

impl Snapshot {
    /// Returns the holdings that a subscriber running this snapshot reports in its `Hello`.
    pub fn holds(&self) -> BTreeMap<Kind, Holding> {
        let holding = |r: &Resource| Holding { version: r.version, digest: r.digest.clone() };
        self.resources.iter().map(|(kind, r)| (*kind, holding(r))).collect()
    }

    /// Returns a digest of all resources that ignores their versions: equal contents have equal digests.
    pub fn content_digest(&self) -> Digest {
        content_digest(self.resources.iter().map(|(kind, r)| (*kind, &r.digest)))
    }

    /// Returns the texts, by type.
    pub fn texts(&self) -> BTreeMap<Kind, &str> {
        self.resources.iter().map(|(kind, r)| (*kind, &*r.text)).collect()
    }

    /// Returns whether each text matches its digest.
    pub fn is_intact(&self) -> bool {
        self.resources.values().all(|r| Digest::of(&r.text) == r.digest)
    }
}

/// Computes the digest of a content from the digests of its types, in any order.
pub fn content_digest<'a>(types: impl Iterator<Item = (Kind, &'a Digest)>) -> Digest {
    let sorted: BTreeMap<Kind, &Digest> = types.collect();
    let mut hasher = Hasher::default();
    for (kind, digest) in sorted {
        hasher.update(kind.name());
        hasher.update(&digest.0);
    }
    hasher.finish()
}

/// The reason why an offer can't become a snapshot.
pub type Rejection = (Code, Fault);

fn reject(code: Code, key: &str, why: impl Into<String>) -> Rejection {
    (code, Fault { key: key.to_string(), why: why.into() })
}

/// A version that is being received.
pub struct Assembly {
    /// The nonce of the offer.
    pub nonce: u64,
    /// The offered version.
    pub version: Version,
    entries: Vec<Entry>,
    /// The resources that the offer leaves out because the subscriber already holds them.
    retained: BTreeMap<Kind, Resource>,
    received: BTreeMap<Kind, (String, Hasher)>,
}

impl Assembly {
    /// Starts an assembly from an offer; types that are not sent are taken from the held snapshot.
    pub fn begin(
        (nonce, version): (u64, Version),
        entries: Vec<Entry>,
        held: Option<&Snapshot>,
        most_bytes: u64,
    ) -> Result<Assembly, Rejection> {
        let mut retained = BTreeMap::new();
        for (i, entry) in entries.iter().enumerate() {
            let name = entry.kind.name();
            if entries[..i].iter().any(|e| e.kind == entry.kind) {
                return Err(reject(Code::Damaged, name, "is announced twice"));
            }
            if entry.version > version {
                return Err(reject(Code::Invalid, name, "has a higher version than the whole"));
            }
            if !entry.sent {
                let held =
                    held.and_then(|h| h.resources.get(&entry.kind)).filter(|r| r.digest == entry.digest);
                let held = held.ok_or_else(|| reject(Code::Gap, name, "is left out and not held here"))?;
                retained.insert(entry.kind, Resource { version: entry.version, ..held.clone() });
            }
        }
        let total = entries.iter().fold(0_u64, |sum, e| sum.saturating_add(e.bytes));
        if total > most_bytes {
            return Err(reject(
                Code::Oversize,
                "(the whole)",
                format!("{total} bytes, {most_bytes} allowed"),
            ));
        }
        Ok(Assembly { nonce, version, entries, retained, received: BTreeMap::new() })
    }

    /// Adds a part. Memory grows with the bytes received, never with the length announced, so that an offer can't make
    /// the subscriber allocate more than the service has sent.
    pub fn add_part(&mut self, kind: Kind, text: &str) -> Result<(), Rejection> {
        let entry = self.entries.iter().find(|e| e.kind == kind && e.sent);
        let entry = entry.ok_or_else(|| reject(Code::Damaged, kind.name(), "was not announced"))?;
        let (received, hasher) = self.received.entry(kind).or_default();
        if received.len() as u64 + text.len() as u64 > entry.bytes {
            return Err(reject(Code::Damaged, kind.name(), "is longer than announced"));
        }
        received.push_str(text);
        hasher.update(text);
        Ok(())
    }

    /// Completes the assembly after the last part; rejects it if a length or digest does not match.
    pub fn finish(mut self) -> Result<Snapshot, Rejection> {
        let mut resources = self.retained;
        for entry in self.entries.into_iter().filter(|e| e.sent) {
            let (text, hasher) = self.received.remove(&entry.kind).unwrap_or_default();
            if text.len() as u64 != entry.bytes || hasher.finish() != entry.digest {
                return Err(reject(Code::Damaged, entry.kind.name(), "is not what was announced"));
            }
            let resource = Resource { version: entry.version, digest: entry.digest, text: text.into() };
            resources.insert(entry.kind, resource);
        }
        Ok(Snapshot { version: self.version, resources })
    }
}
