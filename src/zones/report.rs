//! Zones for operators: as JSON, and as lines of the command line.

use super::Zones;
use ochreward_zones::SHARES;
use serde_json::{Value, json};

/// All that is known, as JSON.
pub fn report(zones: &mut Zones, now: u64) -> Value {
    let word = |value: &dyn std::fmt::Debug| format!("{value:?}").to_lowercase();
    let (heard, stalls) = (zones.machine.heard(), zones.machine.stalls());
    let standings = zones.machine.standings(now).into_iter().map(|s| {
        let left = |until: u64| until.saturating_sub(now) / 1_000;
        json!({
            "zone": &*s.zone, "inside": s.inside, "epoch": s.place.epoch, "step": s.place.step,
            "share": SHARES[usize::from(s.place.step.min(4))], "reason": word(&s.place.reason),
            "since_ms": s.place.age_ms(now), "not_higher_for_ms": left(s.place.until), "sees": word(&s.opinion),
            "order": s.order.map(|(order, _)| word(&order)), "order_ms": s.order.map(|(_, until)| left(until)),
            "peak_per_s": s.peak as f64 / 1_000.0,
        })
    });
    let list: Vec<Value> = standings.collect();
    json!({"home": &*zones.home, "heard": heard, "stood_still": stalls, "moves": zones.moves, "zones": list})
}

/// The same for people, a line each.
pub fn lines(report: &Value) -> Vec<String> {
    let text = |v: &Value| v.as_str().map_or_else(|| v.to_string(), str::to_string);
    let mut lines = vec![format!(
        "stands in '{}', hears {} others of zones; {} changes of step, stood still {} times",
        text(&report["home"]),
        report["heard"],
        report["moves"],
        report["stood_still"]
    )];
    for h in report["zones"].as_array().into_iter().flatten() {
        let order = match &h["order"] {
            Value::Null => String::new(),
            order => format!("; an operator says {} for {} ms", text(order), h["order_ms"]),
        };
        lines.push(format!(
            "{:<16} {} of 1000, step {} in epoch {} ({}) for {} ms; sees it {}; best {} a second{}",
            text(&h["zone"]),
            h["share"],
            h["step"],
            h["epoch"],
            text(&h["reason"]),
            h["since_ms"],
            text(&h["sees"]),
            h["peak_per_s"],
            order
        ));
    }
    lines
}
