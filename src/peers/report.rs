//! What is known of peers, for operators: as JSON from the door, and as lines of the command line.

use super::Peers;
use serde_json::{Value, json};

/// Members that a report lists; of more only the number is told.
const MOST_LISTED: usize = 256;

/// All that is known, as JSON.
pub fn report(peers: &Peers, now: u64) -> Value {
    let machine = peers.machine();
    let agreement = machine.agreement();
    let ago = |at: Option<u64>| at.map(|at| now.saturating_sub(at) / 1_000);
    let word = |value: &dyn std::fmt::Debug| format!("{value:?}").to_lowercase();
    let members: Vec<Value> = (machine.members().take(MOST_LISTED))
        .map(|m| {
            json!({
                "name": &*m.name, "address": m.address.to_string(), "state": word(&m.state), "known": word(&m.source),
                "since_ms": ago(Some(m.since)), "heard_ms": ago(m.heard), "answered_ms": ago(m.answered),
                "incarnation": m.incarnation, "zone": &*m.record.zone, "program": &*m.record.program,
                "configuration": m.record.configuration, "serving": word(&m.record.serving), "load": m.load,
                "same_view": m.digest == agreement.digest,
            })
        })
        .collect();
    json!({
        "name": &*machine.own().name, "address": peers.address().to_string(), "part": word(&agreement.part),
        "alive": agreement.alive, "silent": agreement.silent, "same": agreement.same, "agreed": agreement.agreed(),
        "digest": format!("{:016x}", agreement.digest), "incarnation": machine.own().incarnation,
        "health": machine.health(), "waiting": machine.waiting(),
        "parts": peers.division().map(|d| d.parts), "place": peers.division().map(|d| d.place),
        "known": machine.members().count(), "members": members,
    })
}

/// The same for people, a line each.
pub fn lines(report: &Value) -> Vec<String> {
    let text = |v: &Value| v.as_str().map_or_else(|| v.to_string(), str::to_string);
    let mut lines = vec![format!(
        "{} is in part '{}': {} alive, {} silent, {} others see the same; takes one part of {}; own health {}",
        text(&report["name"]),
        text(&report["part"]),
        report["alive"],
        report["silent"],
        report["same"],
        report["parts"],
        report["health"]
    )];
    for m in report["members"].as_array().into_iter().flatten() {
        lines.push(format!(
            "{:<20} {:<8} {:>8} ms  known: {:<7} heard: {:>8} ms ago  {} {} {} config {}",
            text(&m["name"]),
            text(&m["state"]),
            m["since_ms"],
            text(&m["known"]),
            m["heard_ms"],
            text(&m["address"]),
            text(&m["serving"]),
            text(&m["program"]),
            m["configuration"]
        ));
    }
    lines
}
