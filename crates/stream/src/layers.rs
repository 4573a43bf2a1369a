//! Layered configuration: a later layer overrides earlier layers key by key.
//!
//! Objects are merged member by member; any other value (number, string, list) is replaced whole. A later layer can
//! override a key of a lower layer but not remove it.

use serde_json::Value;
use std::collections::BTreeMap;

/// Merges `overlay` into `base`; where both set a key, `overlay` wins.
pub fn merge(base: &mut Value, overlay: &Value) {
    match (base, overlay) {
        (Value::Object(base), Value::Object(overlay)) => {
            for (name, value) in overlay {
                merge(base.entry(name.clone()).or_insert(Value::Null), value);
            }
        }
        (base, overlay) => *base = overlay.clone(),
    }
}

/// Records `layer` in `out` as the source of each key, as a path, that `overlay` sets.
pub fn record_sources(overlay: &Value, layer: &str, out: &mut BTreeMap<String, String>) {
    for_each_leaf(overlay, "", &mut |path, _| {
        // A value that replaces an object also replaces the keys inside it.
        let prefix = format!("{path}.");
        out.retain(|key, _| !key.starts_with(&prefix));
        out.insert(path.to_string(), layer.to_string());
    });
}

/// Returns the keys that differ between two values, as (path, value before, value after).
pub fn differences(before: &Value, after: &Value) -> Vec<(String, Option<Value>, Option<Value>)> {
    let leaves = |value: &Value| {
        let mut out = BTreeMap::new();
        for_each_leaf(value, "", &mut |path, value| drop(out.insert(path.to_string(), value.clone())));
        out
    };
    let (mut before, mut after) = (leaves(before), leaves(after));
    let paths: std::collections::BTreeSet<String> = before.keys().chain(after.keys()).cloned().collect();
    let pairs = paths.into_iter().map(|path| {
        let (old, new) = (before.remove(&path), after.remove(&path));
        (path, old, new)
    });
    pairs.filter(|(_, old, new)| old != new).collect()
}

/// Calls `visit` with the path and value of each leaf: any value but a non-empty object.
fn for_each_leaf(value: &Value, path: &str, visit: &mut impl FnMut(&str, &Value)) {
    match value.as_object().filter(|members| !members.is_empty()) {
        Some(members) => members.iter().for_each(|(member, value)| {
            let prefix = if path.is_empty() { member.clone() } else { format!("{path}.{member}") };
            for_each_leaf(value, &prefix, visit);
        }),
        None if path.is_empty() => {}
        None => visit(path, value),
    }
}

#[cfg(test)]
mod tests;
