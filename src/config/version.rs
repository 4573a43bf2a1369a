//! What a control service publishes: a file of layers, and the resources that an instance gets out of them.
//!
//! A layer is `fleet`, `zone.NAME` or `instance.NAME`. Each may hold the resource types `settings` and `limits` (laid
//! over the platform's file key by key), `bans` and `fronts`. The readers are those of the files themselves.

use super::operator;
use super::settings::VersionedConfig;
use crate::front::mqtt;
use crate::keys::{Faults, Key};
use ochreward_stream::Kind;
use serde_json::Value;
use std::collections::BTreeMap;

/// Executors that a version may leave out.
const MOST_BANS: usize = 4_096;

/// Reads the text of a published file; the value is what is sent and kept.
pub fn read(text: &str) -> Result<Value, Faults> {
    let value: Value =
        toml::from_str(text).map_err(|e| Faults::one("(the whole file)", format!("is not TOML: {e}")))?;
    check(&value)?;
    Ok(value)
}

/// Checks a published value.
pub fn check(value: &Value) -> Result<(), Faults> {
    let top = Key::partial(value);
    layers(&top);
    top.must(value.as_object().is_some_and(|o| !o.is_empty()), "at least one layer is wanted");
    top.finish(())
}

/// The JSON Schema of the file, written down from what is read.
pub fn schema() -> Value {
    Key::describe(layers).all_optional().schema("A version that a control service publishes")
}

fn layers(top: &Key) {
    top.only(&["fleet", "zone", "instance"]);
    layer(&top.get("fleet"));
    for group in ["zone", "instance"] {
        top.get(group).members().iter().for_each(|(_, key)| layer(key));
    }
}

fn layer(key: &Key) {
    key.only(&Kind::ALL.map(Kind::name));
    drop(VersionedConfig::of(key));
    bans(&key.get("bans"));
    fronts(&key.get("fronts"));
}

fn bans(key: &Key) -> Vec<String> {
    key.only(&["executors"]);
    let list = key.get("executors");
    let ids: Vec<String> = list.entries().iter().map(|k| k.text().to_string()).collect();
    list.must(ids.len() <= MOST_BANS, "holds more than 4096 executors");
    ids
}

fn fronts(key: &Key) -> Vec<mqtt::Options> {
    key.only(&["mqtt"]);
    operator::brokers(&key.get("mqtt"))
}

/// What an instance runs by: its own file with the resources of a version laid over it.
#[derive(Clone, Debug)]
pub struct Effective {
    /// Settings and limits.
    pub parts: VersionedConfig,
    /// Executors left out.
    pub bans: Vec<String>,
    /// Brokers; `None` where the version says nothing of them.
    pub fronts: Option<Vec<mqtt::Options>>,
}

/// Lays the resources, JSON texts by type, over an instance's own file, and reads the whole.
pub fn effective(told: &Value, resources: &BTreeMap<Kind, &str>) -> Result<Effective, Faults> {
    let mut whole = told.clone();
    let (mut banned, mut brokers) = (Vec::new(), None);
    let mut faults = Vec::new();
    for (kind, text) in resources {
        let value: Value = match serde_json::from_str(text) {
            Ok(value) => value,
            Err(e) => {
                faults.extend(Faults::one(kind.name(), format!("is not JSON: {e}")).0);
                continue;
            }
        };
        let holder = serde_json::json!({ kind.name(): value });
        let top = Key::top(&holder);
        let key = top.get(kind.name());
        key.must(value.is_object(), "an object is wanted");
        match kind {
            Kind::Settings | Kind::Limits => {
                let place = whole.as_object_mut().map(|o| o.entry(kind.name()).or_insert(Value::Null));
                place.into_iter().for_each(|place| ochreward_stream::layers::merge(place, &value));
            }
            Kind::Bans => banned = bans(&key),
            Kind::Fronts => brokers = Some(fronts(&key)),
        }
        faults.extend(top.finish(()).err().map_or_else(Vec::new, |f| f.0));
    }
    let parts = VersionedConfig::read(&whole);
    faults.extend(parts.as_ref().err().map_or_else(Vec::new, |f| f.0.clone()));
    match parts {
        Ok(parts) if faults.is_empty() => Ok(Effective { parts, bans: banned, fronts: brokers }),
        _ => Err(Faults(faults)),
    }
}
