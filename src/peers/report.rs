//! Reports on the peers for operators: as JSON from the operators' endpoint, and as text lines for the command line.

use super::Peers;
use serde_json::{Value, json};

/// Maximum members listed in a report; for a larger group only the total count is complete.
const MAX_LISTED_MEMBERS: usize = 256;

/// Returns the membership state as JSON.
pub fn report(peers: &Peers, now: u64) -> Value {
    let membership = peers.membership();
    let agreement = membership.view_summary();
    let ms_since = |at: Option<u64>| at.map(|at| now.saturating_sub(at) / 1_000);
    let lower_case = |value: &dyn std::fmt::Debug| format!("{value:?}").to_lowercase();
    let members: Vec<Value> = (membership.members().take(MAX_LISTED_MEMBERS))
        .map(|member| {
            json!({
                "name": &*member.name, "address": member.address.to_string(),
                "state": lower_case(&member.state), "known": lower_case(&member.source),
                "since_ms": ms_since(Some(member.since)), "heard_ms": ms_since(member.last_heard),
                "answered_ms": ms_since(member.last_answered), "incarnation": member.incarnation,
                "zone": &*member.record.zone, "program": &*member.record.program,
                "configuration": member.record.configuration, "serving": lower_case(&member.record.serving),
                "load": member.load, "same_view": member.digest == agreement.digest,
            })
        })
        .collect();
    json!({
        "name": &*membership.own().name, "address": peers.address().to_string(),
        "part": lower_case(&agreement.connectivity), "alive": agreement.alive, "silent": agreement.failed, "same": agreement.same_view,
        "agreed": agreement.agreed(), "digest": format!("{:016x}", agreement.digest), "incarnation": membership.own().incarnation,
        "health": membership.local_health(), "waiting": membership.queued_claims(),
        "parts": peers.division().map(|d| d.divisor), "place": peers.division().map(|d| d.part_index),
        "known": membership.members().count(), "members": members,
    })
}

/// Formats a report as text lines: a summary, then one line for each member.
pub fn lines(report: &Value) -> Vec<String> {
    let plain_text = |v: &Value| v.as_str().map_or_else(|| v.to_string(), str::to_string);
    let mut lines = vec![format!(
        "{} has reachability '{}': {} alive, {} silent, {} peers with the same view; uses one of {} budget parts; own health {}",
        plain_text(&report["name"]),
        plain_text(&report["part"]),
        report["alive"],
        report["silent"],
        report["same"],
        report["parts"],
        report["health"]
    )];
    for member in report["members"].as_array().into_iter().flatten() {
        lines.push(format!(
            "{:<20} {:<8} {:>8} ms  source: {:<7} last packet: {:>8} ms ago  {} {} {} config {}",
            plain_text(&member["name"]),
            plain_text(&member["state"]),
            member["since_ms"],
            plain_text(&member["known"]),
            member["heard_ms"],
            plain_text(&member["address"]),
            plain_text(&member["serving"]),
            plain_text(&member["program"]),
            member["configuration"]
        ));
    }
    lines
}
