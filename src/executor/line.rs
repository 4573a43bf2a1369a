//! The lines exchanged with executors: commands written, answers read.

use super::json::{self, Json};
use crate::api::{Found, Outcome};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;

/// A `go` line.
pub fn go(rid: &str, class: &str, function: &str, wait_us: u64, key: Option<&str>, body: &[u8]) -> Vec<u8> {
    let mut out = start("go", rid);
    out.push_str(",\"attrs\":{\"c\":");
    json::quote(&mut out, class);
    out.push_str(",\"k\":");
    json::quote(&mut out, function);
    out.push_str(&format!(",\"w\":{}", wait_us / 1000));
    if let Some(key) = key {
        out.push_str(",\"i\":");
        json::quote(&mut out, key);
    }
    out.push_str("},\"content\":\"");
    STANDARD.encode_string(body, &mut out);
    out.push_str("\"}\n");
    out.into_bytes()
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
    Some(Answer { rid, outcome, found, crowd, copies: figure("pods"), body })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_word_maps_to_its_outcome() {
        let of =
            |verb: &str| read(format!(r#"{{"verb":"{verb}","rid":"r"}}"#).as_bytes()).expect(verb).outcome;
        assert_eq!(of("OK"), Outcome::Ok);
        assert_eq!(of("MISS"), Outcome::Miss);
        assert_eq!(of("BUSY"), Outcome::Full);
        assert_eq!(of("ERR"), Outcome::Error);
        assert_eq!(of("VOID"), Outcome::Moot);
        assert_eq!(of("WHAT"), Outcome::Unknown);
    }

    #[test]
    fn notes_and_depths_are_read_as_text_or_numbers() {
        let line = br#"{"verb":"OK","rid":7,"attrs":{"note":"fresh","depth":"3"},"content":"AGI="}"#;
        let answer = read(line).expect("good");
        assert_eq!((answer.rid.as_str(), answer.found, answer.crowd), ("7", Found::BeganLoad, Some(3)));
        assert_eq!(answer.body, b"\x00b");
        let failed = read(br#"{"verb":"ERR","rid":"r","attrs":{"note":"crashed","depth":9}}"#).expect("good");
        assert_eq!((failed.found, failed.crowd), (Found::LoadFailed, None));
        assert_eq!(read(br#"{"verb":"OK","rid":"r","content":"%%"}"#), None);
        assert_eq!(read(b"\xff\xfe"), None);
    }

    #[test]
    fn a_request_is_written_as_the_protocol_shows() {
        let line = go("9b", "level-log", "7f", 1_234_567, Some("5c"), b"\x00b");
        let want = "{\"verb\":\"go\",\"rid\":\"9b\",\"attrs\":{\"c\":\"level-log\",\"k\":\"7f\",\"w\":1234,\"i\":\"5c\"},\"content\":\"AGI=\"}\n";
        assert_eq!(String::from_utf8_lossy(&line), want);
        assert_eq!(String::from_utf8_lossy(&halt("9b")), "{\"verb\":\"halt\",\"rid\":\"9b\"}\n");
        let stage = stage("L1", "7f", 2);
        let want = "{\"verb\":\"stage\",\"rid\":\"L1\",\"attrs\":{\"k\":\"7f\",\"pods\":2}}\n";
        assert_eq!(String::from_utf8_lossy(&stage), want);
    }
}
