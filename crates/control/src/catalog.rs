//! The published versions, and the configuration that each instance receives from a version: the layer `fleet`, overlaid
//! by `zone.NAME` for the instance's label `zone`, then by `instance.NAME`.
//!
//! The numbers of versions kept and of merged snapshots cached are bounded.

use crate::record::Published;
use ochreward_stream::{Digest, Kind, Resource, Snapshot, Version, layers};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The number of versions that are kept, unless more are in use.
const MAX_VERSIONS: usize = 64;
/// The number of merged snapshots that are cached. Instances of one zone share a snapshot unless they have a layer of
/// their own.
const MAX_CACHED_SNAPSHOTS: usize = 512;

/// The published versions that are kept, by number.
#[derive(Default)]
pub struct Catalog {
    versions: BTreeMap<u64, Published>,
    /// Merged snapshots, by version number, zone, and instance name if the instance has its own layer.
    snapshot_cache: BTreeMap<(u64, String, String), Arc<Snapshot>>,
}

/// Returns the layers of a document that apply to an instance, lowest first, each with its name.
fn layers<'a>(
    document: &'a Value,
    instance: &str,
    labels: &BTreeMap<String, String>,
) -> Vec<(String, &'a Value)> {
    let zone = labels.get("zone").map_or("", String::as_str);
    let candidates = [
        ("fleet".to_string(), document.get("fleet")),
        (format!("zone.{zone}"), document.get("zone").and_then(|zones| zones.get(zone))),
        (
            format!("instance.{instance}"),
            document.get("instance").and_then(|instances| instances.get(instance)),
        ),
    ];
    candidates.into_iter().filter_map(|(name, layer)| Some((name, layer?))).collect()
}

/// Extracts what all layers set for one type, to detect whether a document changes the type.
fn settings_of_type(document: &Value, kind: Kind) -> Value {
    let of_layer = |layer: &Value| layer.get(kind.name()).cloned().unwrap_or(Value::Null);
    let group = |name: &str| -> Value {
        let members = document.get(name).and_then(Value::as_object);
        members
            .into_iter()
            .flatten()
            .map(|(name, layer)| (name.clone(), of_layer(layer)))
            .filter(|(_, value)| !value.is_null())
            .collect()
    };
    json!([document.get("fleet").map_or(Value::Null, of_layer), group("zone"), group("instance")])
}

impl Catalog {
    /// Creates the next version from a document; returns `None` if the latest version holds the same document.
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
            let unchanged = latest.filter(|latest| {
                settings_of_type(&latest.document, kind) == settings_of_type(&document, kind)
            });
            (kind, unchanged.and_then(|l| l.types.get(&kind)).copied().unwrap_or(version))
        });
        let types = BTreeMap::from(types);
        let document = Arc::new(document);
        Some(Published { version, document, types, digest, at_ms, rollback_of, at_once: false })
    }

    /// Adds a published version.
    pub fn add(&mut self, published: Published) {
        self.versions.insert(published.version.number, published);
    }

    /// Removes the oldest versions beyond the maximum number, except those in use.
    pub fn trim(&mut self, used: &[u64]) {
        let excess = self.versions.len().saturating_sub(MAX_VERSIONS);
        let old: Vec<u64> =
            self.versions.keys().filter(|n| !used.contains(n)).take(excess).copied().collect();
        old.iter().for_each(|number| drop(self.versions.remove(number)));
        self.snapshot_cache.retain(|(number, ..), _| !old.contains(number));
    }

    /// Returns the latest version.
    pub fn latest(&self) -> Option<&Published> {
        self.versions.values().next_back()
    }

    /// Returns a version by its number.
    pub fn get(&self, number: u64) -> Option<&Published> {
        self.versions.get(&number)
    }

    /// Iterates over the versions, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Published> {
        self.versions.values()
    }

    /// Returns the snapshot of a version for an instance, merged from the layers that apply to it.
    pub fn snapshot(
        &mut self,
        number: u64,
        instance: &str,
        labels: &BTreeMap<String, String>,
    ) -> Option<Arc<Snapshot>> {
        let published = self.versions.get(&number)?;
        let layers = layers(&published.document, instance, labels);
        let has_own_layer = layers.iter().any(|(name, _)| name.starts_with("instance."));
        let zone = labels.get("zone").cloned().unwrap_or_default();
        let key = (number, zone, if has_own_layer { instance.to_string() } else { String::new() });
        if let Some(snapshot) = self.snapshot_cache.get(&key) {
            return Some(snapshot.clone());
        }
        let mut merged = json!({});
        layers.iter().for_each(|(_, layer)| layers::merge(&mut merged, layer));
        let mut snapshot = Snapshot { version: published.version, resources: BTreeMap::new() };
        for kind in Kind::ALL {
            if let Some(value) = merged.get(kind.name()).filter(|v| !v.is_null()) {
                let text: Arc<str> = value.to_string().into();
                let version = published.types.get(&kind).copied().unwrap_or(published.version);
                snapshot.resources.insert(kind, Resource { version, digest: Digest::of(&text), text });
            }
        }
        let snapshot = Arc::new(snapshot);
        if self.snapshot_cache.len() >= MAX_CACHED_SNAPSHOTS {
            self.snapshot_cache.pop_first();
        }
        self.snapshot_cache.insert(key, snapshot.clone());
        Some(snapshot)
    }

    /// Returns, for each key that an instance receives in a version, the value and the layer that sets it.
    pub fn explain(
        &self,
        number: u64,
        instance: &str,
        labels: &BTreeMap<String, String>,
    ) -> Option<BTreeMap<String, (Value, String)>> {
        let published = self.versions.get(&number)?;
        let (mut merged, mut sources) = (json!({}), BTreeMap::new());
        for (name, layer) in layers(&published.document, instance, labels) {
            layers::merge(&mut merged, layer);
            layers::record_sources(layer, &name, &mut sources);
        }
        let value =
            |path: &str| path.split('.').try_fold(&merged, |value, member| value.get(member)).cloned();
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
