//! Reports on budgets, leases and the admission level for operators: as JSON, and as text lines for the command line.

use super::{Overload, RESOURCES};
use serde_json::{Value, json};

/// Maximum leases listed for each budget; further ones appear in the sums only.
const MAX_LISTED_LEASES: usize = 64;

/// Returns the overload state as JSON.
pub fn report(overload: &Overload, now: u64) -> Value {
    let budget = |(place, name): (usize, &&str)| {
        let shared = overload.budgets[place].as_ref()?;
        let ledger = &shared.ledger;
        let leases: Vec<Value> = (ledger.leases(now).take(MAX_LISTED_LEASES))
            .map(|(lent, peer, amount, left)| {
                json!({"lent": lent, "with": peer, "per_s": per_s(amount), "left_ms": left / 1_000})
            })
            .collect();
        Some(json!({
            "name": name, "own_per_s": per_s(ledger.owned()), "floor_per_s": per_s(ledger.floor()),
            "lent_per_s": per_s(ledger.lent(now)), "borrowed_per_s": per_s(ledger.borrowed(now)),
            "spendable_per_s": per_s(ledger.spendable(now)), "wanted_per_s": shared.demand, "leases": leases,
        }))
    };
    let stats = overload.stats();
    json!({
        "level": overload.admission.level(), "wish": overload.admission.requested_level(), "heard": overload.admission.wish_count(),
        "shed": stats.shed, "shed_up_to": stats.shed_up_to, "resends_wanted": stats.resends_wanted, "resends": stats.resends_made,
        "budgets": RESOURCES.iter().enumerate().filter_map(budget).collect::<Vec<Value>>(),
    })
}

fn per_s(thousandths: u64) -> f64 {
    thousandths as f64 / 1_000.0
}

/// Formats a report as text lines: the admission level, then each budget with its leases.
pub fn lines(report: &Value) -> Vec<String> {
    let plain_text = |v: &Value| v.as_str().map_or_else(|| v.to_string(), str::to_string);
    let mut lines = vec![format!(
        "level {} (own proposal {}, proposals of {} peers), {} requests shed, up to standing {}; resends {} of {} wanted",
        report["level"],
        report["wish"],
        report["heard"],
        report["shed"],
        report["shed_up_to"],
        report["resends"],
        report["resends_wanted"]
    )];
    for budget in report["budgets"].as_array().into_iter().flatten() {
        lines.push(format!(
            "{:<8} may spend {} per second: owns {} (never lends {}), lent {}, borrowed {}; wants {:.1}",
            plain_text(&budget["name"]),
            budget["spendable_per_s"],
            budget["own_per_s"],
            budget["floor_per_s"],
            budget["lent_per_s"],
            budget["borrowed_per_s"],
            budget["wanted_per_s"].as_f64().unwrap_or_default()
        ));
        for lease in budget["leases"].as_array().into_iter().flatten() {
            let direction = if lease["lent"] == true { "lent to" } else { "borrowed from" };
            lines.push(format!(
                "  {} {:<20} {} per second, {} ms left",
                direction,
                plain_text(&lease["with"]),
                lease["per_s"],
                lease["left_ms"]
            ));
        }
    }
    lines
}
