//! Reports on zones for operators: as JSON, and as text lines for the command line.

use super::Zones;
use ochreward_zones::STEP_SHARES_PER_MILLE;
use serde_json::{Value, json};

/// Returns the state of all zones as JSON.
pub fn report(zones: &mut Zones, now: u64) -> Value {
    let lower_case = |value: &dyn std::fmt::Debug| format!("{value:?}").to_lowercase();
    let (heard, stalls) = (zones.fleet_state.report_count(), zones.fleet_state.stalls());
    let standings = zones.fleet_state.status(now).into_iter().map(|standing| {
        let ms_left = |until: u64| until.saturating_sub(now) / 1_000;
        json!({
            "zone": &*standing.zone, "inside": standing.inside,
            "epoch": standing.state.epoch, "step": standing.state.step,
            "share": STEP_SHARES_PER_MILLE[usize::from(standing.state.step.min(4))], "reason": lower_case(&standing.state.reason),
            "since_ms": standing.state.age_ms(now), "not_higher_for_ms": ms_left(standing.state.until),
            "sees": lower_case(&standing.opinion),
            "order": standing.order.map(|(order, _)| lower_case(&order)),
            "order_ms": standing.order.map(|(_, until)| ms_left(until)),
            "peak_per_s": standing.peak as f64 / 1_000.0,
        })
    });
    let list: Vec<Value> = standings.collect();
    json!({"home": &*zones.home, "heard": heard, "stood_still": stalls, "moves": zones.step_changes, "zones": list})
}

/// Formats a report as text lines: a summary, then one line for each zone.
pub fn lines(report: &Value) -> Vec<String> {
    let plain_text = |v: &Value| v.as_str().map_or_else(|| v.to_string(), str::to_string);
    let mut lines = vec![format!(
        "in zone '{}', receives reports from {} peers; {} step changes, {} process stalls",
        plain_text(&report["home"]),
        report["heard"],
        report["moves"],
        report["stood_still"]
    )];
    for zone in report["zones"].as_array().into_iter().flatten() {
        let order = match &zone["order"] {
            Value::Null => String::new(),
            order => format!("; operator's order: {} for {} ms", plain_text(order), zone["order_ms"]),
        };
        lines.push(format!(
            "{:<16} {} of 1000, step {} in epoch {} ({}) for {} ms; observed as {}; peak {} per second{}",
            plain_text(&zone["zone"]),
            zone["share"],
            zone["step"],
            zone["epoch"],
            plain_text(&zone["reason"]),
            zone["since_ms"],
            plain_text(&zone["sees"]),
            zone["peak_per_s"],
            order
        ));
    }
    lines
}
