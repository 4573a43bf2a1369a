//! The fields of a request, which both fronts carry under the same names, read into what the core takes.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// Fields by name.
pub type Fields = BTreeMap<String, String>;

/// Names a field that can't be used, and says why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Invalid {
    /// The field.
    pub field: &'static str,
    /// What is wrong with it.
    pub why: &'static str,
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "field '{}': {}", self.field, self.why)
    }
}

/// The figures of a request as its fields tell them.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedRequest {
    /// The name of its class.
    pub class: String,
    /// The client's id for it.
    pub call: Arc<str>,
    /// How long the client waits, in microseconds from when it sent.
    pub ttl_us: u64,
    /// The name of its tenant, where given.
    pub tenant: Option<String>,
    /// The client's idempotency key.
    pub key: Option<Arc<str>>,
    /// The function.
    pub function: Arc<str>,
    /// Requests that one copy runs at a time.
    pub lanes: f64,
    /// The usual time of a load.
    pub load_us: Option<u64>,
    /// A rough hint at the work.
    pub work_us: Option<u64>,
    /// A client's own retry, where clients mark those.
    pub again: bool,
}

/// The longest time that a client may say it waits, or that a load may take, in milliseconds.
const MOST_TTL: f64 = 600_000.0;
/// The most that a figure of a request may say.
const MOST_FIGURE: f64 = 1e6;

fn hex(text: &str, least: usize, most: usize) -> bool {
    (least..=most).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_hexdigit())
}

fn number(text: &str) -> Option<f64> {
    text.parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0)
}

impl ParsedRequest {
    /// Reads the fields; the first that can't be used is named.
    pub fn read(fields: &Fields) -> Result<ParsedRequest, Invalid> {
        let want = |field: &'static str| {
            fields.get(field).map(String::as_str).ok_or(Invalid { field, why: "is missing" })
        };
        let call = want("call")?;
        if !hex(call, 16, 16) {
            return Err(Invalid { field: "call", why: "must be 16 hex digits" });
        }
        let row = want("row")?;
        if !hex(row, 16, 16) {
            return Err(Invalid { field: "row", why: "must be 16 hex digits" });
        }
        let ttl = number(want("ttl")?).filter(|ms| *ms <= MOST_TTL);
        let ttl = ttl.ok_or(Invalid { field: "ttl", why: "must be milliseconds, 600000 at most" })?;
        let key = fields.get("dedupe").map(String::as_str);
        if key.is_some_and(|k| !hex(k, 1, 64)) {
            return Err(Invalid { field: "dedupe", why: "must be hex digits, 64 at most" });
        }
        // A hint may be absent; but what is no figure is no request of a sound client.
        let work = fields.get("work").map(|w| number(w).filter(|w| *w <= MOST_FIGURE));
        if work == Some(None) {
            return Err(Invalid { field: "work", why: "must be a figure, 1000000 at most" });
        }
        let (mut lanes, mut load_us) = (1.0, None);
        for part in fields.get("info").map_or("", String::as_str).split(';').filter(|p| !p.is_empty()) {
            let figure = |v: &str, least: f64, most: f64| {
                let figure = number(v).filter(|n| (least..=most).contains(n));
                figure.ok_or(Invalid { field: "info", why: "holds a figure that is none, or out of range" })
            };
            match part.split_once(':') {
                Some(("lanes", v)) => lanes = figure(v, 1.0, 1024.0)?,
                Some(("load_ms", v)) => {
                    load_us = Some((figure(v, 0.0, MOST_TTL)? * 1000.0) as u64).filter(|l| *l > 0)
                }
                Some(("memory_mb", v)) => drop(figure(v, 0.0, MOST_FIGURE)?),
                Some(_) => {}
                None => return Err(Invalid { field: "info", why: "must be name:figure pairs" }),
            }
        }
        Ok(ParsedRequest {
            class: want("op")?.to_string(),
            call: call.into(),
            ttl_us: (ttl * 1000.0) as u64,
            tenant: fields.get("org").cloned(),
            key: key.map(Arc::from),
            function: row.into(),
            lanes,
            load_us,
            work_us: work.flatten().map(|ms| (ms * 1000.0) as u64).filter(|w| *w > 0),
            again: fields.get("rep").is_some_and(|r| r == "1"),
        })
    }
}

#[cfg(test)]
mod tests;
