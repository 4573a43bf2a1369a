//! What a configuration switches on, leaves off, or asks for in vain: said before a deployment is brought up.
//!
//! Settings alone decide. Each line names the keys that it follows from, so that an operator can tell a choice from an
//! oversight. Nothing here changes what the program does.

use super::Settings;
use crate::api::{Effect, KeyScope, ReportField};
use std::fmt;

/// How a part of the program stands under a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// In use.
    On,
    /// Not in use, and nothing is amiss.
    Off,
    /// The settings want what the program does not do.
    Unmet,
}

/// One part of the program under a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Feature {
    /// Its name.
    pub name: String,
    /// How it stands.
    pub standing: Standing,
    /// Why, with the keys that decide it.
    pub why: String,
}

impl fmt::Display for Feature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = match self.standing {
            Standing::On => "on",
            Standing::Off => "off",
            Standing::Unmet => "UNMET",
        };
        write!(f, "{word:<6}{}: {}", self.name, self.why)
    }
}

fn feature(name: &str, on: bool, why: impl Into<String>) -> Feature {
    let standing = if on { Standing::On } else { Standing::Off };
    Feature { name: name.to_string(), standing, why: why.into() }
}

/// What these settings make of each part, in a fixed order: first the rules' parts, then one line a class.
pub fn features(settings: &Settings) -> Vec<Feature> {
    let m = &settings.module;
    let seconds = |us: u64| us as f64 / 1e6;
    let mut list = vec![
        feature(
            "backups",
            m.may_duplicate,
            if m.may_duplicate {
                "limits.may_duplicate: a second attempt may be out beside a slow first one"
            } else if m.may_cancel {
                "limits.may_duplicate is false: a slow attempt of a safe class is cancelled, then tried elsewhere"
            } else {
                "limits.may_duplicate and limits.cancel are false: a slow attempt is waited for"
            },
        ),
        feature(
            "attempts",
            m.max_attempts > 1,
            format!("limits.send_cap: {} for a request, as its class allows", m.max_attempts),
        ),
        reports(settings),
        orders(settings),
        feature(
            "pushback",
            m.max_retry_after > 0,
            if m.max_retry_after > 0 {
                format!(
                    "limits.retry_after: refusals tell when to come back, at most {} s",
                    seconds(m.max_retry_after)
                )
            } else {
                "limits.retry_after is false, or max_retry_after_us is 0".to_string()
            },
        ),
        feature(
            "cold workers",
            m.warm_after > 0,
            format!(
                "rules.*: {} dispatchers share {} times the capacity of one that starts at {}, for {} s",
                m.dispatcher_count,
                m.fall_multiple,
                m.cold_share,
                seconds(m.warm_after)
            ),
        ),
        feature(
            "drains",
            true,
            format!(
                "nothing new from the moment of being told; rules.stop_sending_within_us would allow {} s",
                seconds(settings.drain_grace)
            ),
        ),
        feature(
            "shares",
            m.tenant_quotas.iter().any(|q| *q > 0.0),
            format!(
                "orgs[].quota_per_s: {} tenants; beyond a quota only idle workers serve",
                settings.tenants.len()
            ),
        ),
        feature("notes on copies", settings.tells_warm, "family_info.tells_warm"),
        feature("notes on crowds", settings.tells_crowd, "family_info.notes_peers_in_hand"),
        feature(
            "crossing zones",
            m.cross_zone_price > 0.0,
            format!("costs.cross_zone: {} of a request's worth weighs against it", m.cross_zone_price),
        ),
    ];
    if !m.loads_on_miss {
        list.push(Feature {
            name: "loads on a miss".to_string(),
            standing: Standing::Unmet,
            why: "family_info.miss_mode 'miss' wants an order before the first request of a function, which is not given: \
                  such requests end in misses"
                .to_string(),
        });
    }
    list.extend(m.classes.iter().zip(&settings.classes).map(|(class, name)| {
        let repeats = match (class.effect, class.key_scope) {
            (Effect::Idempotent, _) => "may be repeated anywhere".to_string(),
            (Effect::AtMostOnce, _) => "never repeated once it may have run".to_string(),
            (Effect::Deduplicated, scope) => {
                let within = match scope {
                    KeyScope::All => "all workers",
                    KeyScope::Zone => "the workers of one zone",
                    KeyScope::Cell => "the workers of one cell",
                };
                format!("repeated within {within} for {} s at the most", seconds(class.repeat_window))
            }
        };
        feature(&format!("class {name}"), true, repeats)
    }));
    list
}

fn reports(settings: &Settings) -> Feature {
    let held = settings.module.report_fields.contains(&ReportField::Inflight);
    let why = if settings.report.is_empty() {
        "report.how is not 'inline', or report.fields is empty: others' work is guessed from our own"
            .to_string()
    } else if held {
        format!("report.fields: answers tell {}; 'inflight' is used", settings.report.join(", "))
    } else {
        format!(
            "report.fields: answers tell {}, not 'inflight', which alone is used",
            settings.report.join(", ")
        )
    };
    feature("load reports", held, why)
}

fn orders(settings: &Settings) -> Feature {
    let m = &settings.module;
    let why = if !m.load_orders_allowed {
        "family_info.orders is false".to_string()
    } else if m.load_window == 0 {
        "family_info.load_window_us is 0: copies that no ration bounds push out what others need, so none are held"
            .to_string()
    } else {
        format!(
            "family_info: copies in use are held, {} orders and {} a request in {} s at the most",
            m.loads_anyway,
            m.loads_per_request,
            m.load_window as f64 / 1e6
        )
    };
    feature("orders to hold copies", m.load_orders_allowed && m.load_window > 0, why)
}

#[cfg(test)]
mod tests;
