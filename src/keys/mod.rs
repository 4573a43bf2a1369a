//! Reads typed values out of a JSON tree by key. A fault is recorded under its key and reading continues, so that all
//! faults of a file (up to a maximum) are found in one pass. The same readers can run without a value and record
//! what they require, from which the JSON Schema is made.

mod schema;

use schema::{Constraint, SchemaRecorder};
use serde_json::Value;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// The maximum number of faults reported for one file, so that a broken list of 100,000 entries does not flood the
/// output.
const MAX_FAULTS: usize = 100;

/// A fault in the configuration. The reason says what the value must be.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("configuration, key '{key}': {why}")]
pub struct Error {
    /// The faulty key, as a path from the root.
    pub key: String,
    /// The reason.
    pub why: String,
}

/// All faults of a configuration, at least one, in the order of reading.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", lines(.0))]
pub struct Faults(pub Vec<Error>);

fn lines(faults: &[Error]) -> String {
    faults.iter().map(Error::to_string).collect::<Vec<String>>().join("\n")
}

impl Faults {
    /// Returns a set of one fault.
    pub fn one(key: impl Into<String>, why: impl Into<String>) -> Faults {
        Faults(vec![Error { key: key.into(), why: why.into() }])
    }
}

/// The state that all keys of one read share.
#[derive(Default)]
struct ReadState {
    faults: RefCell<Vec<Error>>,
    /// The recorder, if the readers run to describe the schema instead of reading a value.
    recorder: Option<RefCell<SchemaRecorder>>,
    /// Whether the value is merged over another one, so that no key is required.
    partial: bool,
}

/// Returns the keys that both values have.
fn common_keys(one: Value, other: Value) -> Value {
    match (one, other) {
        (Value::Object(one), Value::Object(mut other)) => {
            let both = one.into_iter().filter_map(|(k, v)| other.remove(&k).map(|o| (k, common_keys(v, o))));
            Value::Object(both.collect())
        }
        (Value::Null, _) | (_, Value::Null) => Value::Null,
        (one, _) => one,
    }
}

/// A value and its path from the root. A reader that finds a fault records it and returns a placeholder value, which
/// [`Key::finish`] discards.
#[derive(Clone)]
pub struct Key<'a> {
    path: String,
    value: Option<&'a Value>,
    state: Rc<ReadState>,
}

impl<'a> Key<'a> {
    /// Returns the root key of a configuration.
    pub fn top(value: &'a Value) -> Key<'a> {
        Key { path: String::new(), value: Some(value), state: Rc::default() }
    }

    /// Returns the root key of a value that is merged over a configuration, where absent keys leave that unchanged.
    pub fn partial(value: &'a Value) -> Key<'a> {
        let state = Rc::new(ReadState { partial: true, ..ReadState::default() });
        Key { path: String::new(), value: Some(value), state }
    }

    /// Runs a reader without a value and returns what it requires of each key.
    pub fn describe(read: impl FnOnce(&Key<'static>)) -> SchemaRecorder {
        let state = Rc::new(ReadState { recorder: Some(RefCell::default()), ..ReadState::default() });
        read(&Key { path: String::new(), value: None, state: state.clone() });
        state.recorder.as_ref().map(RefCell::take).unwrap_or_default()
    }

    /// Returns what was read, or all faults found.
    pub fn finish<T>(&self, read: T) -> Result<T, Faults> {
        let faults = self.state.faults.take();
        if faults.is_empty() { Ok(read) } else { Err(Faults(faults)) }
    }

    /// Returns a member. A null counts as absent.
    pub fn get(&self, name: &str) -> Key<'a> {
        let path = if self.path.is_empty() { name.to_string() } else { format!("{}.{name}", self.path) };
        let value = self.value.and_then(|v| v.get(name)).filter(|v| !v.is_null());
        let key = Key { path, value, state: self.state.clone() };
        key.record(Constraint::Any);
        key
    }

    fn is_describing(&self) -> bool {
        self.state.recorder.is_some()
    }

    fn record(&self, constraint: Constraint) {
        if let Some(recorder) = &self.state.recorder {
            recorder.borrow_mut().record(&self.path, constraint);
        }
    }

    /// Records a fault of this key.
    pub fn fault(&self, why: impl Into<String>) {
        let mut faults = self.state.faults.borrow_mut();
        let fault = Error { key: self.path.clone(), why: why.into() };
        // A parent that is not an object would be reported again for each of its keys.
        if !self.is_describing() && faults.len() < MAX_FAULTS && !faults.contains(&fault) {
            faults.push(fault);
        }
    }

    /// Records a fault unless `holds` is true.
    pub fn must(&self, holds: bool, why: &str) {
        if !holds {
            self.fault(why);
        }
    }

    /// Checks that no key of `old` is omitted. In a file that replaces another one, an absent key is a fault and does
    /// not select the default. Keys that all entries of an old list had are required of all entries of the new one.
    pub fn require_keys_of(&self, old: &Value) {
        match (old, self.value) {
            (Value::Null, _) => {}
            (_, None) => self.fault("is missing, but was set before"),
            (Value::Object(old), Some(_)) => {
                old.iter().for_each(|(name, old)| self.get(name).require_keys_of(old))
            }
            (Value::Array(old), Some(Value::Array(_))) => {
                let Some(common) = old.iter().cloned().reduce(common_keys) else { return };
                self.entries().iter().for_each(|entry| entry.require_keys_of(&common));
            }
            _ => {}
        }
    }

    /// Checks that an object has no other keys. Otherwise a misspelt key would silently fall back to its default.
    pub fn only(&self, names: &[&str]) {
        self.record(Constraint::Closed);
        let members = self.value.and_then(Value::as_object);
        let others = members.into_iter().flat_map(|m| m.keys()).filter(|k| !names.contains(&k.as_str()));
        others.for_each(|other| self.get(other).fault("is not a known key here"));
    }

    /// Returns whether the key is present; always true while describing the schema.
    pub fn is_present(&self) -> bool {
        self.record(Constraint::Optional);
        self.value.is_some() || self.is_describing()
    }

    /// Reads the key if it is present.
    pub fn optional<T>(&self, read: impl FnOnce(&Self) -> T) -> Option<T> {
        self.is_present().then(|| read(self))
    }

    /// Returns the members of an object with arbitrary names.
    pub fn members(&self) -> Vec<(String, Key<'a>)> {
        if self.is_describing() {
            return vec![("*".to_string(), self.get("*"))];
        }
        match self.value {
            None => Vec::new(),
            Some(Value::Object(members)) => members.keys().map(|k| (k.clone(), self.get(k))).collect(),
            Some(_) => {
                self.fault("expected an object");
                Vec::new()
            }
        }
    }

    /// Returns the raw value.
    pub fn value(&self) -> Option<&'a Value> {
        self.value
    }

    fn read_required<T>(&self, expected: &str, fallback: T, read: impl Fn(&'a Value) -> Option<T>) -> T {
        let Some(value) = self.value else {
            if !self.state.partial {
                self.fault(format!("is missing; expected {expected}"));
            }
            return fallback;
        };
        read(value).unwrap_or_else(|| {
            self.fault(format!("expected {expected}"));
            fallback
        })
    }

    fn read_or<T>(&self, default: T, read: impl Fn(&Self) -> T) -> T {
        self.record(Constraint::Optional);
        if self.value.is_some() || self.is_describing() { read(self) } else { default }
    }

    /// Reads a string.
    pub fn text(&self) -> &'a str {
        self.record(Constraint::Text);
        self.read_required("text", "", Value::as_str)
    }

    /// Reads a string, or returns the default.
    pub fn text_or(&self, default: &str) -> String {
        self.read_or(default.to_string(), |k| k.text().to_string())
    }

    /// Reads a finite number of 0 or more.
    pub fn number(&self) -> f64 {
        self.record(Constraint::Number);
        self.read_required("a number of 0 or more", 0.0, |v| {
            v.as_f64().filter(|n| n.is_finite() && *n >= 0.0)
        })
    }

    /// Reads a finite number of 0 or more, and returns the default for anything else, which is no fault: for figures that only
    /// refine estimates.
    pub fn lenient_number(&self, default: f64) -> f64 {
        self.record(Constraint::Unchecked);
        let number = self.value.and_then(Value::as_f64);
        number.filter(|n| n.is_finite() && *n >= 0.0).unwrap_or(default)
    }

    /// Reads a string, and returns the default for anything else, which is no fault.
    pub fn lenient_text(&self, default: &'a str) -> &'a str {
        self.record(Constraint::Unchecked);
        self.value.and_then(Value::as_str).unwrap_or(default)
    }

    /// Reads a number, or returns the default.
    pub fn number_or(&self, default: f64) -> f64 {
        self.read_or(default, Key::number)
    }

    /// Reads a whole number of 0 or more; one written as a float without a fraction is accepted.
    pub fn integer(&self) -> u64 {
        self.record(Constraint::Whole(0, u64::MAX));
        let whole = |v: &Value| {
            v.as_u64().or_else(|| v.as_f64().filter(|n| *n >= 0.0 && n.fract() == 0.0).map(|n| n as u64))
        };
        self.read_required("a whole number of 0 or more", 0, whole)
    }

    /// Reads a whole number, or returns the default.
    pub fn integer_or(&self, default: u64) -> u64 {
        self.read_or(default, Key::integer)
    }

    /// Reads a whole number over 0.
    pub fn positive_integer(&self) -> u64 {
        self.record(Constraint::Whole(1, u64::MAX));
        let faults_before = self.state.faults.borrow().len();
        let value = self.integer();
        if value == 0 && self.value.is_some() && self.state.faults.borrow().len() == faults_before {
            self.fault("must be over 0");
        }
        value
    }

    /// Reads a whole number between inclusive bounds, or returns the default.
    pub fn integer_in(&self, least: u64, most: u64, default: u64) -> u64 {
        self.record(Constraint::Whole(least, most));
        let faults_before = self.state.faults.borrow().len();
        let value = self.integer_or(default);
        if !(least..=most).contains(&value) && self.state.faults.borrow().len() == faults_before {
            self.fault(format!("must be between {least} and {most}"));
        }
        value
    }

    /// Reads a boolean, or returns the default.
    pub fn bool_or(&self, default: bool) -> bool {
        self.record(Constraint::Flag);
        self.read_or(default, |k| k.read_required("true or false", default, Value::as_bool))
    }

    /// Reads an IP address and port.
    pub fn address(&self) -> SocketAddr {
        self.record(Constraint::Address);
        let placeholder = SocketAddr::from(([0, 0, 0, 0], 0));
        self.read_required("an address and port such as 127.0.0.1:8080", placeholder, |v| {
            v.as_str()?.parse().ok()
        })
    }

    /// Returns the entries of an array; none if it is absent.
    pub fn entries(&self) -> Vec<Key<'a>> {
        self.record(Constraint::List(0));
        self.record(Constraint::Optional);
        self.array_entries()
    }

    /// Returns the entries of an array, of which there must be at least one.
    pub fn nonempty_entries(&self, what: &str) -> Vec<Key<'a>> {
        self.record(Constraint::List(1));
        let entries = self.array_entries();
        let absent = self.value.is_none() && self.state.partial;
        if entries.is_empty() && !absent && self.value.is_none_or(Value::is_array) {
            self.fault(format!("expected at least one {what}"));
        }
        entries
    }

    fn array_entries(&self) -> Vec<Key<'a>> {
        if self.is_describing() {
            return vec![Key { path: format!("{}[]", self.path), value: None, state: self.state.clone() }];
        }
        let Some(value) = self.value else { return Vec::new() };
        let Some(entries) = value.as_array() else {
            self.fault("expected an array");
            return Vec::new();
        };
        let path = |i| format!("{}[{i}]", self.path);
        let entry = |(i, value)| Key { path: path(i), value: Some(value), state: self.state.clone() };
        entries.iter().enumerate().map(entry).collect()
    }

    /// Reads one of the given words and returns its position.
    pub fn one_of(&self, words: &[&str]) -> usize {
        self.record(Constraint::Word(words.iter().map(|w| w.to_string()).collect()));
        let expected = format!("one of {}", words.join(", "));
        self.read_required(&expected, 0, |v| words.iter().position(|w| v.as_str() == Some(w)))
    }
}

#[cfg(test)]
mod tests;
