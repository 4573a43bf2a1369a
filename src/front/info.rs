//! Parses and validates the fields of a request, which all fronts carry under the same names. Each value has an upper
//! bound; the first invalid field is reported by name.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// Fields by name.
pub type Fields = BTreeMap<String, String>;

/// An invalid field, and the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Invalid {
    /// The field.
    pub field: &'static str,
    /// The reason, as sent to the client.
    pub why: &'static str,
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "field '{}': {}", self.field, self.why)
    }
}

/// The parameters of a request, parsed from its fields.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedRequest {
    /// The name of its class.
    pub class: String,
    /// The request id that the client chose.
    pub call: Arc<str>,
    /// How long the client waits, in microseconds from sending.
    pub ttl_us: u64,
    /// The name of its tenant, if given.
    pub tenant: Option<String>,
    /// The client's idempotency key.
    pub key: Option<Arc<str>>,
    /// The function.
    pub function: Arc<str>,
    /// Requests that one copy of the function runs concurrently.
    pub lanes: f64,
    /// The usual time to load the function, in microseconds.
    pub load_us: Option<u64>,
    /// The client's rough estimate of the execution time, in microseconds.
    pub work_us: Option<u64>,
    /// Whether the client marked the request as its own retry.
    pub again: bool,
}

/// The upper bound on a client's time-out and on a load time.
const MAX_TTL_MS: f64 = 600_000.0;
/// The upper bound on other numeric fields.
const MAX_FIELD_VALUE: f64 = 1e6;

fn is_hex(text: &str, min_len: usize, max_len: usize) -> bool {
    (min_len..=max_len).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_hexdigit())
}

fn parse_non_negative(text: &str) -> Option<f64> {
    text.parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0)
}

impl ParsedRequest {
    /// Parses the fields, or returns the first invalid one.
    pub fn read(fields: &Fields) -> Result<ParsedRequest, Invalid> {
        let required = |field: &'static str| {
            fields.get(field).map(String::as_str).ok_or(Invalid { field, why: "is missing" })
        };
        let call = required("call")?;
        if !is_hex(call, 16, 16) {
            return Err(Invalid { field: "call", why: "must be 16 hex digits" });
        }
        let row = required("row")?;
        if !is_hex(row, 16, 16) {
            return Err(Invalid { field: "row", why: "must be 16 hex digits" });
        }
        let ttl = parse_non_negative(required("ttl")?).filter(|ms| *ms <= MAX_TTL_MS);
        let ttl = ttl.ok_or(Invalid { field: "ttl", why: "must be milliseconds, 600000 at most" })?;
        let key = fields.get("dedupe").map(String::as_str);
        if key.is_some_and(|k| !is_hex(k, 1, 64)) {
            return Err(Invalid { field: "dedupe", why: "must be hex digits, 64 at most" });
        }
        // The hint is optional, but a value that is not a number means that the client is faulty.
        let work = fields.get("work").map(|w| parse_non_negative(w).filter(|w| *w <= MAX_FIELD_VALUE));
        if work == Some(None) {
            return Err(Invalid { field: "work", why: "must be a figure, 1000000 at most" });
        }
        let (mut lanes, mut load_us) = (1.0, None);
        for part in fields.get("info").map_or("", String::as_str).split(';').filter(|p| !p.is_empty()) {
            let bounded = |v: &str, min: f64, max: f64| {
                let value = parse_non_negative(v).filter(|n| (min..=max).contains(n));
                value.ok_or(Invalid { field: "info", why: "holds a figure that is none, or out of range" })
            };
            match part.split_once(':') {
                Some(("lanes", v)) => lanes = bounded(v, 1.0, 1024.0)?,
                Some(("load_ms", v)) => {
                    load_us = Some((bounded(v, 0.0, MAX_TTL_MS)? * 1000.0) as u64).filter(|l| *l > 0)
                }
                Some(("memory_mb", v)) => drop(bounded(v, 0.0, MAX_FIELD_VALUE)?),
                Some(_) => {}
                None => return Err(Invalid { field: "info", why: "must be name:figure pairs" }),
            }
        }
        Ok(ParsedRequest {
            class: required("op")?.to_string(),
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
