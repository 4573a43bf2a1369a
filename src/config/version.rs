//! The file that a control service publishes as a version, and the resources that an instance derives from it.
//!
//! The file consists of layers: `fleet`, `zone.NAME` or `instance.NAME`. Each may hold the resource types `settings`
//! and `limits` (merged over the platform's file key by key), `bans` and `fronts`. They are checked by the same readers as
//! the platform's file and the operator's file.

use super::operator;
use super::settings::VersionedConfig;
use crate::front::mqtt;
use crate::keys::{Faults, Key};
use ochreward_stream::Kind;
use serde_json::Value;
use std::collections::BTreeMap;

/// The maximum number of executors that a version may ban.
const MAX_BANS: usize = 4_096;

/// Reads the text of a file to publish. The returned value is what is stored and sent.
pub fn read(text: &str) -> Result<Value, Faults> {
    let value: Value =
        toml::from_str(text).map_err(|e| Faults::one("(the whole file)", format!("is not TOML: {e}")))?;
    check(&value)?;
    Ok(value)
}

/// Checks a published value.
pub fn check(value: &Value) -> Result<(), Faults> {
    let top = Key::partial(value);
    read_layers(&top);
    top.must(value.as_object().is_some_and(|o| !o.is_empty()), "expected at least one layer");
    top.finish(())
}

/// Returns the JSON Schema of the file, recorded from the readers themselves.
pub fn schema() -> Value {
    Key::describe(read_layers).all_optional().schema("A version that a control service publishes")
}

fn read_layers(top: &Key) {
    top.only(&["fleet", "zone", "instance"]);
    read_layer(&top.get("fleet"));
    for group in ["zone", "instance"] {
        top.get(group).members().iter().for_each(|(_, key)| read_layer(key));
    }
}

fn read_layer(key: &Key) {
    key.only(&Kind::ALL.map(Kind::name));
    drop(VersionedConfig::from_key(key));
    read_bans(&key.get("bans"));
    read_fronts(&key.get("fronts"));
}

fn read_bans(key: &Key) -> Vec<String> {
    key.only(&["executors"]);
    let list = key.get("executors");
    let ids: Vec<String> = list.entries().iter().map(|k| k.text().to_string()).collect();
    list.must(ids.len() <= MAX_BANS, "holds more than 4096 executors");
    ids
}

fn read_fronts(key: &Key) -> Vec<mqtt::Options> {
    key.only(&["mqtt"]);
    operator::brokers(&key.get("mqtt"))
}

/// The configuration in effect at an instance: its own file with the resources of a version merged over it.
#[derive(Clone, Debug)]
pub struct Effective {
    /// Settings and limits.
    pub parts: VersionedConfig,
    /// The banned executors.
    pub bans: Vec<String>,
    /// The brokers; `None` if the version does not set them.
    pub fronts: Option<Vec<mqtt::Options>>,
}

/// Merges the resources, JSON texts by type, over an instance's own file `source`, and reads the result.
pub fn effective(source: &Value, resources: &BTreeMap<Kind, &str>) -> Result<Effective, Faults> {
    let mut merged = source.clone();
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
        key.must(value.is_object(), "expected an object");
        match kind {
            Kind::Settings | Kind::Limits => {
                let place = merged.as_object_mut().map(|o| o.entry(kind.name()).or_insert(Value::Null));
                place.into_iter().for_each(|place| ochreward_stream::layers::merge(place, &value));
            }
            Kind::Bans => banned = read_bans(&key),
            Kind::Fronts => brokers = Some(read_fronts(&key)),
        }
        faults.extend(top.finish(()).err().map_or_else(Vec::new, |f| f.0));
    }
    let parts = VersionedConfig::read(&merged);
    faults.extend(parts.as_ref().err().map_or_else(Vec::new, |f| f.0.clone()));
    match parts {
        Ok(parts) if faults.is_empty() => Ok(Effective { parts, bans: banned, fronts: brokers }),
        _ => Err(Faults(faults)),
    }
}
