//! Reads values by their keys. A fault is noted under its key and reading goes on, so that all faults of a file are
//! found at once; what was asked for can also be written down, which is how the schema is made.

mod schema;

use schema::{Ask, Asks};
use serde_json::Value;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Faults told of one file: a broken list of 100,000 entries needs no more words than this.
const MOST_FAULTS: usize = 100;

/// A fault in the configuration; why it is one says what the value must be.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("configuration, key '{key}': {why}")]
pub struct Error {
    /// The faulty key, as a path from the top.
    pub key: String,
    /// What is wrong with it.
    pub why: String,
}

/// All faults of a configuration, at least one; in the order of reading.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", lines(.0))]
pub struct Faults(pub Vec<Error>);

fn lines(faults: &[Error]) -> String {
    faults.iter().map(Error::to_string).collect::<Vec<String>>().join("\n")
}

impl Faults {
    /// A single fault.
    pub fn one(key: impl Into<String>, why: impl Into<String>) -> Faults {
        Faults(vec![Error { key: key.into(), why: why.into() }])
    }
}

/// What reading leaves beside the values.
#[derive(Default)]
struct Notes {
    faults: RefCell<Vec<Error>>,
    /// Where the form is described instead of read: what was asked for.
    asks: Option<RefCell<Asks>>,
    /// What is read is laid over something else, so that nothing need be there.
    partial: bool,
}

/// The keys that both values have.
fn common(one: Value, other: Value) -> Value {
    match (one, other) {
        (Value::Object(one), Value::Object(mut other)) => {
            let both = one.into_iter().filter_map(|(k, v)| other.remove(&k).map(|o| (k, common(v, o))));
            Value::Object(both.collect())
        }
        (Value::Null, _) | (_, Value::Null) => Value::Null,
        (one, _) => one,
    }
}

/// A value and the path that leads to it. A reader that finds a fault notes it and returns a stand-in value, which
/// [`Key::finish`] never lets out.
#[derive(Clone)]
pub struct Key<'a> {
    path: String,
    value: Option<&'a Value>,
    notes: Rc<Notes>,
}

impl<'a> Key<'a> {
    /// The whole of a configuration.
    pub fn top(value: &'a Value) -> Key<'a> {
        Key { path: String::new(), value: Some(value), notes: Rc::default() }
    }

    /// The whole of something that is laid over a configuration: whatever is absent stays as it is there.
    pub fn partial(value: &'a Value) -> Key<'a> {
        let notes = Rc::new(Notes { partial: true, ..Notes::default() });
        Key { path: String::new(), value: Some(value), notes }
    }

    /// What a reader asks for, written down.
    pub fn describe(read: impl FnOnce(&Key<'static>)) -> Asks {
        let notes = Rc::new(Notes { asks: Some(RefCell::default()), ..Notes::default() });
        read(&Key { path: String::new(), value: None, notes: notes.clone() });
        notes.asks.as_ref().map(RefCell::take).unwrap_or_default()
    }

    /// What was read, if no fault was found anywhere.
    pub fn finish<T>(&self, read: T) -> Result<T, Faults> {
        let faults = self.notes.faults.take();
        if faults.is_empty() { Ok(read) } else { Err(Faults(faults)) }
    }

    /// A member. A null counts as absent.
    pub fn get(&self, name: &str) -> Key<'a> {
        let path = if self.path.is_empty() { name.to_string() } else { format!("{}.{name}", self.path) };
        let value = self.value.and_then(|v| v.get(name)).filter(|v| !v.is_null());
        let key = Key { path, value, notes: self.notes.clone() };
        key.ask(Ask::Any);
        key
    }

    fn describes(&self) -> bool {
        self.notes.asks.is_some()
    }

    fn ask(&self, ask: Ask) {
        if let Some(asks) = &self.notes.asks {
            asks.borrow_mut().note(&self.path, ask);
        }
    }

    /// Notes a fault of this key.
    pub fn fault(&self, why: impl Into<String>) {
        let mut faults = self.notes.faults.borrow_mut();
        let fault = Error { key: self.path.clone(), why: why.into() };
        // A parent that is no object would be told of once for each key.
        if !self.describes() && faults.len() < MOST_FAULTS && !faults.contains(&fault) {
            faults.push(fault);
        }
    }

    /// Notes a fault unless it holds.
    pub fn must(&self, holds: bool, why: &str) {
        if !holds {
            self.fault(why);
        }
    }

    /// Checks that nothing is left out that `old` told: in a file that replaces another, a key that is absent is a
    /// fault, not a wish for its default. What all entries of a list had, all new ones must have.
    pub fn keeps(&self, old: &Value) {
        match (old, self.value) {
            (Value::Null, _) => {}
            (_, None) => self.fault("is missing, and was told before"),
            (Value::Object(old), Some(_)) => old.iter().for_each(|(name, old)| self.get(name).keeps(old)),
            (Value::Array(old), Some(Value::Array(_))) => {
                let Some(common) = old.iter().cloned().reduce(common) else { return };
                self.entries().iter().for_each(|entry| entry.keeps(&common));
            }
            _ => {}
        }
    }

    /// Checks that an object has no other keys: a key that is misspelt would pass for its default.
    pub fn only(&self, names: &[&str]) {
        self.ask(Ask::Closed);
        let members = self.value.and_then(Value::as_object);
        let others = members.into_iter().flat_map(|m| m.keys()).filter(|k| !names.contains(&k.as_str()));
        others.for_each(|other| self.get(other).fault("is not a key known here"));
    }

    /// Whether the key is there.
    pub fn given(&self) -> bool {
        self.ask(Ask::Optional);
        self.value.is_some() || self.describes()
    }

    /// Reads the key if it is there.
    pub fn optional<T>(&self, read: impl FnOnce(&Self) -> T) -> Option<T> {
        self.given().then(|| read(self))
    }

    /// The members of an object, whatever their names.
    pub fn members(&self) -> Vec<(String, Key<'a>)> {
        if self.describes() {
            return vec![("*".to_string(), self.get("*"))];
        }
        match self.value {
            None => Vec::new(),
            Some(Value::Object(members)) => members.keys().map(|k| (k.clone(), self.get(k))).collect(),
            Some(_) => {
                self.fault("an object is wanted");
                Vec::new()
            }
        }
    }

    /// The value itself.
    pub fn value(&self) -> Option<&'a Value> {
        self.value
    }

    fn want<T>(&self, what: &str, fallback: T, read: impl Fn(&'a Value) -> Option<T>) -> T {
        let Some(value) = self.value else {
            if !self.notes.partial {
                self.fault(format!("is missing; {what} is wanted"));
            }
            return fallback;
        };
        read(value).unwrap_or_else(|| {
            self.fault(format!("{what} is wanted"));
            fallback
        })
    }

    fn or<T>(&self, default: T, read: impl Fn(&Self) -> T) -> T {
        self.ask(Ask::Optional);
        if self.value.is_some() || self.describes() { read(self) } else { default }
    }

    /// Text.
    pub fn text(&self) -> &'a str {
        self.ask(Ask::Text);
        self.want("text", "", Value::as_str)
    }

    /// Text, or a default.
    pub fn text_or(&self, default: &str) -> String {
        self.or(default.to_string(), |k| k.text().to_string())
    }

    /// A number of 0 or more.
    pub fn number(&self) -> f64 {
        self.ask(Ask::Number);
        self.want("a number of 0 or more", 0.0, |v| v.as_f64().filter(|n| n.is_finite() && *n >= 0.0))
    }

    /// A number, or a default.
    pub fn number_or(&self, default: f64) -> f64 {
        self.or(default, Key::number)
    }

    /// A whole number of 0 or more; one written with a point is taken for it.
    pub fn whole(&self) -> u64 {
        self.ask(Ask::Whole(0, u64::MAX));
        let whole = |v: &Value| {
            v.as_u64().or_else(|| v.as_f64().filter(|n| *n >= 0.0 && n.fract() == 0.0).map(|n| n as u64))
        };
        self.want("a whole number of 0 or more", 0, whole)
    }

    /// A whole number, or a default.
    pub fn whole_or(&self, default: u64) -> u64 {
        self.or(default, Key::whole)
    }

    /// A whole number over 0.
    pub fn positive(&self) -> u64 {
        self.ask(Ask::Whole(1, u64::MAX));
        let before = self.notes.faults.borrow().len();
        let value = self.whole();
        if value == 0 && self.value.is_some() && self.notes.faults.borrow().len() == before {
            self.fault("must be over 0");
        }
        value
    }

    /// A whole number between bounds, or a default.
    pub fn between(&self, least: u64, most: u64, default: u64) -> u64 {
        self.ask(Ask::Whole(least, most));
        let before = self.notes.faults.borrow().len();
        let value = self.whole_or(default);
        if !(least..=most).contains(&value) && self.notes.faults.borrow().len() == before {
            self.fault(format!("must be between {least} and {most}"));
        }
        value
    }

    /// A truth value, or a default.
    pub fn flag_or(&self, default: bool) -> bool {
        self.ask(Ask::Flag);
        self.or(default, |k| k.want("true or false", default, Value::as_bool))
    }

    /// An address and port.
    pub fn address(&self) -> SocketAddr {
        self.ask(Ask::Address);
        let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
        self.want("an address and port such as 127.0.0.1:8080", nowhere, |v| v.as_str()?.parse().ok())
    }

    /// The entries of an array; none where it is absent.
    pub fn entries(&self) -> Vec<Key<'a>> {
        self.ask(Ask::List(0));
        self.ask(Ask::Optional);
        self.listed()
    }

    /// The entries of an array, at least one.
    pub fn some_entries(&self, what: &str) -> Vec<Key<'a>> {
        self.ask(Ask::List(1));
        let entries = self.listed();
        let absent = self.value.is_none() && self.notes.partial;
        if entries.is_empty() && !absent && self.value.is_none_or(Value::is_array) {
            self.fault(format!("at least one {what} is wanted"));
        }
        entries
    }

    fn listed(&self) -> Vec<Key<'a>> {
        if self.describes() {
            return vec![Key { path: format!("{}[]", self.path), value: None, notes: self.notes.clone() }];
        }
        let Some(value) = self.value else { return Vec::new() };
        let Some(entries) = value.as_array() else {
            self.fault("an array is wanted");
            return Vec::new();
        };
        let path = |i| format!("{}[{i}]", self.path);
        let entry = |(i, value)| Key { path: path(i), value: Some(value), notes: self.notes.clone() };
        entries.iter().enumerate().map(entry).collect()
    }

    /// One of the words; the position is returned.
    pub fn word(&self, words: &[&str]) -> usize {
        self.ask(Ask::Word(words.iter().map(|w| w.to_string()).collect()));
        let what = format!("one of {}", words.join(", "));
        self.want(&what, 0, |v| words.iter().position(|w| v.as_str() == Some(w)))
    }
}

#[cfg(test)]
mod tests;
