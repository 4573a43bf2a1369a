//! The lines of the executor protocol: serialises commands and parses answers.
//!
//! Each line is one JSON object. The length of an answer line is bounded by the connection that receives it.

use super::json::{self, Json};
use crate::api::{Outcome, ReplicaStatus};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use std::ops::Range;

/// Formats the time-out of an attempt as it appears in its line: in milliseconds, padded to at least `width`
/// bytes. The padding lets a smaller number overwrite a larger one in place; JSON ignores the leading spaces.
pub fn format_timeout(timeout_us: u64, width: usize) -> String {
    format!("{:>width$}", timeout_us / 1000)
}

/// Returns a `go` line, and the byte range in it that holds the time-out written by [`format_timeout`].
pub fn go_line(
    rid: &str,
    class: &str,
    function: &str,
    timeout_us: u64,
    key: Option<&str>,
    body: &[u8],
) -> (Vec<u8>, Range<usize>) {
    let mut out = begin_line("go", rid);
    out.push_str(",\"attrs\":{\"c\":");
    json::write_string(&mut out, class);
    out.push_str(",\"k\":");
    json::write_string(&mut out, function);
    out.push_str(",\"w\":");
    let timeout_start = out.len();
    out.push_str(&format_timeout(timeout_us, 0));
    let timeout_range = timeout_start..out.len();
    if let Some(key) = key {
        out.push_str(",\"i\":");
        json::write_string(&mut out, key);
    }
    out.push_str("},\"content\":\"");
    STANDARD.encode_string(body, &mut out);
    out.push_str("\"}\n");
    (out.into_bytes(), timeout_range)
}

/// Returns a `halt` line, which cancels an attempt.
pub fn halt_line(rid: &str) -> Vec<u8> {
    end_line(begin_line("halt", rid))
}

/// Returns a `stage` line, which orders an executor to load replicas of a function.
pub fn stage_line(tag: &str, function: &str, replicas: u32) -> Vec<u8> {
    let mut out = begin_line("stage", tag);
    out.push_str(",\"attrs\":{\"k\":");
    json::write_string(&mut out, function);
    out.push_str(&format!(",\"pods\":{replicas}}}"));
    end_line(out)
}

fn begin_line(verb: &str, rid: &str) -> String {
    let mut out = format!("{{\"verb\":\"{verb}\",\"rid\":");
    json::write_string(&mut out, rid);
    out
}

fn end_line(mut line: String) -> Vec<u8> {
    line.push_str("}\n");
    line.into_bytes()
}

/// Maximum length of a load report that is parsed: it holds at most four values with their names (protocol,
/// 'The settings').
pub const MAX_LOAD_REPORT_BYTES: usize = 256;

/// Returns the values of a load report (`inflight:7;util:0.61`) for `names`, in the same order. A missing or
/// malformed value is NaN. The result is empty if there is no report or the settings name no values.
pub fn load_values(names: &[String], load: Option<&str>) -> Vec<f64> {
    let Some(load) = load.filter(|_| !names.is_empty()) else { return Vec::new() };
    let field =
        |name: &str| load.split(';').find_map(|part| part.trim().strip_prefix(name)?.strip_prefix(':'));
    let value = |name: &String| field(name).and_then(|v| v.trim().parse().ok()).unwrap_or(f64::NAN);
    names.iter().map(value).collect()
}

/// An answer from an executor.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The id of the request or load order that it answers.
    pub rid: String,
    /// The result.
    pub outcome: Outcome,
    /// What the answer reports about the replica.
    pub found: ReplicaStatus,
    /// The number of requests for the function at the executor, for outcomes that report it.
    pub crowd: Option<u32>,
    /// The load report in its original notation, if it is no longer than [`MAX_LOAD_REPORT_BYTES`].
    pub load: Option<String>,
    /// The number of replicas loaded, in answers to load orders.
    pub replicas: u32,
    /// The response body.
    pub body: Vec<u8>,
}

/// Parses an answer line; returns `None` if it is malformed. An unknown verb still counts as an answer: the
/// attempt has ended and may have run.
pub fn parse_answer(line: &[u8]) -> Option<Answer> {
    let value = json::parse(std::str::from_utf8(line).ok()?)?;
    let rid = value.get("rid")?.text()?.to_string();
    let verb = value.get("verb")?.text()?;
    let attr = |name: &str| value.get("attrs").and_then(|a| a.get(name)).and_then(Json::text);
    let number = |name: &str| attr(name).and_then(|t| t.parse().ok()).unwrap_or(0);
    let outcome = match verb {
        "OK" | "UP" => Outcome::Ok,
        "MISS" => Outcome::Miss,
        "BUSY" => Outcome::Full,
        "ERR" | "DOWN" => Outcome::Error,
        "VOID" => Outcome::NotSent,
        _ => Outcome::Unknown,
    };
    let found = match (outcome, attr("note")) {
        (Outcome::Ok, Some("up")) => ReplicaStatus::Warm,
        (Outcome::Ok, Some("fresh")) => ReplicaStatus::LoadStarted,
        (Outcome::Ok, Some("behind")) => ReplicaStatus::WaitedForLoad,
        (Outcome::Miss | Outcome::Error, Some("crashed")) => ReplicaStatus::LoadFailed,
        _ => ReplicaStatus::NotReported,
    };
    let crowd = matches!(outcome, Outcome::Ok | Outcome::Full).then(|| number("depth"));
    let body = match value.get("content") {
        None => Vec::new(),
        Some(Json::Text(text)) => STANDARD.decode(text.as_bytes()).ok()?,
        Some(_) => return None,
    };
    let load = attr("load").filter(|l| l.len() <= MAX_LOAD_REPORT_BYTES).map(str::to_string);
    Some(Answer { rid, outcome, found, crowd, load, replicas: number("pods"), body })
}

#[cfg(test)]
mod tests;
