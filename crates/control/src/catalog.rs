//! The published versions, and what each instance gets out of one: its layers merged, `fleet`, then `zone.NAME` by its
//! label `zone`, then `instance.NAME`.

use crate::record::Published;
use ochreward_stream::{Digest, Kind, Resource, Snapshot, Version, overlay};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Versions kept beside those in use.
const MOST_KEPT: usize = 64;
/// Merged snapshots kept at hand; instances of one zone share theirs.
const MOST_MERGED: usize = 512;

/// All versions that are kept, by number.
#[derive(Default)]
pub struct Catalog {
    versions: BTreeMap<u64, Published>,
    /// By number and the layers that apply.
    merged: BTreeMap<(u64, String, String), Arc<Snapshot>>,
}

/// The layers of a document that apply to an instance, lowest first, each with its name.
fn layers<'a>(
    document: &'a Value,
    instance: &str,
    labels: &BTreeMap<String, String>,
) -> Vec<(String, &'a Value)> {
    let zone = labels.get("zone").map_or("", String::as_str);
    let places = [
        ("fleet".to_string(), document.get("fleet")),
        (format!("zone.{zone}"), document.get("zone").and_then(|h| h.get(zone))),
        (format!("instance.{instance}"), document.get("instance").and_then(|i| i.get(instance))),
    ];
    places.into_iter().filter_map(|(name, layer)| Some((name, layer?))).collect()
}

/// All that any layer says of a type.
fn of_type(document: &Value, kind: Kind) -> Value {
    let of = |layer: &Value| layer.get(kind.name()).cloned().unwrap_or(Value::Null);
    let group = |name: &str| -> Value {
        let members = document.get(name).and_then(Value::as_object);
        members
            .into_iter()
            .flatten()
            .map(|(n, layer)| (n.clone(), of(layer)))
            .filter(|(_, v)| !v.is_null())
            .collect()
    };
    json!([document.get("fleet").map_or(Value::Null, of), group("zone"), group("instance")])
}

impl Catalog {
    /// What publishing a document comes to; `None` if it is what the latest version holds.
    pub fn next(
        &self,
        epoch: u64,
        document: Value,
        rollback_of: Option<Version>,
        at_ms: u64,
    ) -> Option<Published> {
        let digest = Digest::of(&document.to_string());
        let latest = self.latest();
        if latest.is_some_and(|l| l.digest == digest) {
            return None;
        }
        let version = Version::new(epoch, latest.map_or(0, |l| l.version.number) + 1);
        let types = Kind::ALL.map(|kind| {
            let before = latest.filter(|l| of_type(&l.document, kind) == of_type(&document, kind));
            (kind, before.and_then(|l| l.types.get(&kind)).copied().unwrap_or(version))
        });
        let types = BTreeMap::from(types);
        let document = Arc::new(document);
        Some(Published { version, document, types, digest, at_ms, rollback_of, at_once: false })
    }

    /// Takes a version in.
    pub fn add(&mut self, published: Published) {
        self.versions.insert(published.version.number, published);
    }

    /// Forgets the oldest versions beyond those kept, but for those in use.
    pub fn trim(&mut self, used: &[u64]) {
        let spare = self.versions.len().saturating_sub(MOST_KEPT);
        let old: Vec<u64> = self.versions.keys().filter(|n| !used.contains(n)).take(spare).copied().collect();
        old.iter().for_each(|number| drop(self.versions.remove(number)));
        self.merged.retain(|(number, ..), _| !old.contains(number));
    }

    /// The latest version.
    pub fn latest(&self) -> Option<&Published> {
        self.versions.values().next_back()
    }

    /// A version.
    pub fn get(&self, number: u64) -> Option<&Published> {
        self.versions.get(&number)
    }

    /// All of them, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Published> {
        self.versions.values()
    }

    /// What an instance is to run of a version.
    pub fn snapshot(
        &mut self,
        number: u64,
        instance: &str,
        labels: &BTreeMap<String, String>,
    ) -> Option<Arc<Snapshot>> {
        let published = self.versions.get(&number)?;
        let layers = layers(&published.document, instance, labels);
        let own = layers.iter().any(|(name, _)| name.starts_with("instance."));
        let zone = labels.get("zone").cloned().unwrap_or_default();
        let key = (number, zone, if own { instance.to_string() } else { String::new() });
        if let Some(merged) = self.merged.get(&key) {
            return Some(merged.clone());
        }
        let mut whole = json!({});
        layers.iter().for_each(|(_, layer)| overlay::lay(&mut whole, layer));
        let mut snapshot = Snapshot { version: published.version, resources: BTreeMap::new() };
        for kind in Kind::ALL {
            if let Some(value) = whole.get(kind.name()).filter(|v| !v.is_null()) {
                let text: Arc<str> = value.to_string().into();
                let version = published.types.get(&kind).copied().unwrap_or(published.version);
                snapshot.resources.insert(kind, Resource { version, digest: Digest::of(&text), text });
            }
        }
        let snapshot = Arc::new(snapshot);
        if self.merged.len() >= MOST_MERGED {
            self.merged.pop_first();
        }
        self.merged.insert(key, snapshot.clone());
        Some(snapshot)
    }

    /// Where each key that an instance gets comes from: the key's value and its layer.
    pub fn explain(
        &self,
        number: u64,
        instance: &str,
        labels: &BTreeMap<String, String>,
    ) -> Option<BTreeMap<String, (Value, String)>> {
        let published = self.versions.get(&number)?;
        let (mut whole, mut sources) = (json!({}), BTreeMap::new());
        for (name, layer) in layers(&published.document, instance, labels) {
            overlay::lay(&mut whole, layer);
            overlay::sources(layer, &name, &mut sources);
        }
        let value = |path: &str| path.split('.').try_fold(&whole, |v, part| v.get(part)).cloned();
        Some(
            sources
                .into_iter()
                .map(|(key, layer)| (key.clone(), (value(&key).unwrap_or_default(), layer)))
                .collect(),
        )
    }
}

#[cfg(test)]
mod tests;
