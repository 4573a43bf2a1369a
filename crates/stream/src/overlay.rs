//! Layers of configuration: what a later layer says goes over what earlier ones said, key by key.
//!
//! Objects are merged member by member; whatever else (numbers, texts, lists) is replaced whole. Nothing can be
//! removed: a key that a lower layer gives can be given another value, not taken away.

use serde_json::Value;
use std::collections::BTreeMap;

/// Lays a value over another.
pub fn lay(under: &mut Value, over: &Value) {
    match (under, over) {
        (Value::Object(under), Value::Object(over)) => {
            for (name, value) in over {
                lay(under.entry(name.clone()).or_insert(Value::Null), value);
            }
        }
        (under, over) => *under = over.clone(),
    }
}

/// Notes for each key that `over` gives, as a path, that it comes from `layer`.
pub fn sources(over: &Value, layer: &str, out: &mut BTreeMap<String, String>) {
    walk(over, "", &mut |path, _| {
        // What a replaced object held is gone with it.
        let below = format!("{path}.");
        out.retain(|known, _| !known.starts_with(&below));
        out.insert(path.to_string(), layer.to_string());
    });
}

/// The keys that differ between two values: path, before, after.
pub fn differences(before: &Value, after: &Value) -> Vec<(String, Option<Value>, Option<Value>)> {
    let leaves = |value: &Value| {
        let mut out = BTreeMap::new();
        walk(value, "", &mut |path, leaf| drop(out.insert(path.to_string(), leaf.clone())));
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

/// Calls for each value that is no object with members, with the path that leads to it.
fn walk(value: &Value, path: &str, each: &mut impl FnMut(&str, &Value)) {
    match value.as_object().filter(|members| !members.is_empty()) {
        Some(members) => members.iter().for_each(|(name, value)| {
            let below = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
            walk(value, &below, each);
        }),
        None if path.is_empty() => {}
        None => each(path, value),
    }
}

#[cfg(test)]
mod tests;
