//! The lines exchanged with executors: commands written, answers read.

use super::json::{self, Json};
use crate::api::{Found, Outcome};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use std::ops::Range;

/// How long an answer is waited for, in milliseconds, as it stands in a line, at least `width` bytes wide: a smaller
/// figure fills the place of a larger one with blanks, which mean nothing in JSON.
pub fn wait_figure(wait_us: u64, width: usize) -> String {
    format!("{:>width$}", wait_us / 1000)
}

/// A `go` line, and the bytes in it that are the figure of [`wait_figure`].
pub fn go(
    rid: &str,
    class: &str,
    function: &str,
    wait_us: u64,
    key: Option<&str>,
    body: &[u8],
) -> (Vec<u8>, Range<usize>) {
    let mut out = start("go", rid);
    out.push_str(",\"attrs\":{\"c\":");
    json::quote(&mut out, class);
    out.push_str(",\"k\":");
    json::quote(&mut out, function);
    out.push_str(",\"w\":");
    let wait_at = out.len();
    out.push_str(&wait_figure(wait_us, 0));
    let wait = wait_at..out.len();
    if let Some(key) = key {
        out.push_str(",\"i\":");
        json::quote(&mut out, key);
    }
    out.push_str("},\"content\":\"");
    STANDARD.encode_string(body, &mut out);
    out.push_str("\"}\n");
    (out.into_bytes(), wait)
}

/// A `halt` line.
pub fn halt(rid: &str) -> Vec<u8> {
    end(start("halt", rid))
}

/// A `stage` line: an order to load.
pub fn stage(tag: &str, function: &str, copies: u32) -> Vec<u8> {
    let mut out = start("stage", tag);
    out.push_str(",\"attrs\":{\"k\":");
    json::quote(&mut out, function);
    out.push_str(&format!(",\"pods\":{copies}}}"));
    end(out)
}

fn start(verb: &str, rid: &str) -> String {
    let mut out = format!("{{\"verb\":\"{verb}\",\"rid\":");
    json::quote(&mut out, rid);
    out
}

fn end(mut line: String) -> Vec<u8> {
    line.push_str("}\n");
    line.into_bytes()
}

/// The longest load report read, in bytes: four figures with their names (protocol, 'The settings').
pub const MOST_REPORT: usize = 256;

/// The values that a load report (`inflight:7;util:0.61`) tells under `names`, in the order of those; what it leaves
/// out, or what is no figure, is no number (NaN). Empty where the settings name none.
pub fn report(names: &[String], load: Option<&str>) -> Vec<f64> {
    let Some(load) = load.filter(|_| !names.is_empty()) else { return Vec::new() };
    let told =
        |name: &str| load.split(';').find_map(|part| part.trim().strip_prefix(name)?.strip_prefix(':'));
    let figure = |name: &String| told(name).and_then(|v| v.trim().parse().ok()).unwrap_or(f64::NAN);
    names.iter().map(figure).collect()
}

/// An answer of an executor.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// What it answers.
    pub rid: String,
    /// How it ended.
    pub outcome: Outcome,
    /// What it found.
    pub found: Found,
    /// Requests for the function held there, where the word tells it.
    pub crowd: Option<u32>,
    /// The load report as it was told, if it is no longer than [`MOST_REPORT`].
    pub load: Option<String>,
    /// Copies that stand, for an order.
    pub copies: u32,
    /// The body.
    pub body: Vec<u8>,
}

/// Reads an answer. An unknown word is an answer all the same: the attempt has ended and may have run.
pub fn read(line: &[u8]) -> Option<Answer> {
    let value = json::read(std::str::from_utf8(line).ok()?)?;
    let rid = value.get("rid")?.text()?.to_string();
    let verb = value.get("verb")?.text()?;
    let attr = |name: &str| value.get("attrs").and_then(|a| a.get(name)).and_then(Json::text);
    let figure = |name: &str| attr(name).and_then(|t| t.parse().ok()).unwrap_or(0);
    let outcome = match verb {
        "OK" | "UP" => Outcome::Ok,
        "MISS" => Outcome::Miss,
        "BUSY" => Outcome::Full,
        "ERR" | "DOWN" => Outcome::Error,
        "VOID" => Outcome::Moot,
        _ => Outcome::Unknown,
    };
    let found = match (outcome, attr("note")) {
        (Outcome::Ok, Some("up")) => Found::Warm,
        (Outcome::Ok, Some("fresh")) => Found::BeganLoad,
        (Outcome::Ok, Some("behind")) => Found::WaitedForLoad,
        (Outcome::Miss | Outcome::Error, Some("crashed")) => Found::LoadFailed,
        _ => Found::Untold,
    };
    let crowd = matches!(outcome, Outcome::Ok | Outcome::Full).then(|| figure("depth"));
    let body = match value.get("content") {
        None => Vec::new(),
        Some(Json::Text(text)) => STANDARD.decode(text.as_bytes()).ok()?,
        Some(_) => return None,
    };
    let load = attr("load").filter(|l| l.len() <= MOST_REPORT).map(str::to_string);
    Some(Answer { rid, outcome, found, crowd, load, copies: figure("pods"), body })
}

#[cfg(test)]
mod tests;
