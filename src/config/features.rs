//! Reports which features a configuration enables, disables, or requires although the program does not support them,
//! so that this is visible before a deployment is started.
//!
//! The report is derived from the settings alone. Each line names the keys that it follows from, so that an operator
//! can tell a choice from an oversight. Nothing here changes what the program does.

use super::Settings;
use crate::api::{Effect, KeyScope, ReportField};
use std::fmt;

/// The status of a feature under a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeatureStatus {
    /// In use.
    On,
    /// Not in use, as the settings have it.
    Off,
    /// Required by the settings, but not supported by the program.
    Unmet,
}

/// A feature of the program and its status under a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Feature {
    /// The name.
    pub name: String,
    /// The status.
    pub status: FeatureStatus,
    /// The reason, with the keys that decide it.
    pub why: String,
}

impl fmt::Display for Feature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let status = match self.status {
            FeatureStatus::On => "on",
            FeatureStatus::Off => "off",
            FeatureStatus::Unmet => "UNMET",
        };
        write!(f, "{status:<6}{}: {}", self.name, self.why)
    }
}

fn feature(name: &str, on: bool, why: impl Into<String>) -> Feature {
    let status = if on { FeatureStatus::On } else { FeatureStatus::Off };
    Feature { name: name.to_string(), status, why: why.into() }
}

/// Returns the status of each feature under these settings, in a fixed order: first the general features, then one per
/// class.
pub fn features(settings: &Settings) -> Vec<Feature> {
    let module = &settings.module;
    let seconds = |us: u64| us as f64 / 1e6;
    let mut list = vec![
        feature(
            "backups",
            module.may_duplicate,
            if module.may_duplicate {
                "limits.may_duplicate: a second attempt may be sent while a slow first one is open"
            } else if module.may_cancel {
                "limits.may_duplicate is false: a slow attempt of a safe class is cancelled, then tried elsewhere"
            } else {
                "limits.may_duplicate and limits.cancel are false: a slow attempt is waited for"
            },
        ),
        feature(
            "attempts",
            module.max_attempts > 1,
            format!("limits.send_cap: at most {} per request, as its class allows", module.max_attempts),
        ),
        load_reports(settings),
        load_orders(settings),
        feature(
            "pushback",
            module.max_retry_after > 0,
            if module.max_retry_after > 0 {
                format!(
                    "limits.retry_after: refusals carry the time to wait before a retry, at most {} s",
                    seconds(module.max_retry_after)
                )
            } else {
                "limits.retry_after is false, or max_retry_after_us is 0".to_string()
            },
        ),
        feature(
            "cold workers",
            module.warm_after > 0,
            format!(
                "rules.*: {} dispatchers share {} times the capacity of a worker that starts at {}, for {} s",
                module.dispatcher_count,
                module.fall_multiple,
                module.cold_share,
                seconds(module.warm_after)
            ),
        ),
        feature(
            "drains",
            true,
            format!(
                "a draining worker gets nothing new at once; rules.stop_sending_within_us would allow {} s",
                seconds(settings.drain_grace)
            ),
        ),
        feature(
            "shares",
            module.tenant_quotas.iter().any(|q| *q > 0.0),
            format!(
                "orgs[].quota_per_s: {} tenants; beyond its quota a tenant is served by idle workers only",
                settings.tenants.len()
            ),
        ),
        feature("notes on copies", settings.tells_warm, "family_info.tells_warm"),
        feature("notes on crowds", settings.tells_crowd, "family_info.notes_peers_in_hand"),
        feature(
            "crossing zones",
            module.cross_zone_price > 0.0,
            format!("costs.cross_zone: crossing costs {} of a request's worth", module.cross_zone_price),
        ),
    ];
    if !module.loads_on_miss {
        list.push(Feature {
            name: "loads on a miss".to_string(),
            status: FeatureStatus::Unmet,
            why:
                "family_info.miss_mode 'miss' requires a load order before the first request of a function, \
                  which is not sent: such requests end in misses"
                    .to_string(),
        });
    }
    list.extend(module.classes.iter().zip(&settings.classes).map(|(class, name)| {
        let repeats = match (class.effect, class.key_scope) {
            (Effect::Idempotent, _) => "may be repeated anywhere".to_string(),
            (Effect::AtMostOnce, _) => "never repeated once it may have run".to_string(),
            (Effect::Deduplicated, scope) => {
                let within = match scope {
                    KeyScope::All => "all workers",
                    KeyScope::Zone => "the workers of one zone",
                    KeyScope::Cell => "the workers of one cell",
                };
                format!("repeated within {within} for at most {} s", seconds(class.repeat_window))
            }
        };
        feature(&format!("class {name}"), true, repeats)
    }));
    list
}

fn load_reports(settings: &Settings) -> Feature {
    let inflight_reported = settings.module.report_fields.contains(&ReportField::Inflight);
    let why = if settings.report.is_empty() {
        "report.how is not 'inline', or report.fields is empty: the load of other dispatchers is estimated from our own"
            .to_string()
    } else if inflight_reported {
        format!("report.fields: answers carry {}; 'inflight' is used", settings.report.join(", "))
    } else {
        format!(
            "report.fields: answers carry {}, but not 'inflight', the only field used",
            settings.report.join(", ")
        )
    };
    feature("load reports", inflight_reported, why)
}

fn load_orders(settings: &Settings) -> Feature {
    let module = &settings.module;
    let why = if !module.load_orders_allowed {
        "family_info.orders is false".to_string()
    } else if module.load_window == 0 {
        "family_info.load_window_us is 0: unbounded load orders would evict copies that others need, so none are sent"
            .to_string()
    } else {
        format!(
            "family_info: copies in use are kept loaded by at most {} orders, plus {} per request, in {} s",
            module.loads_anyway,
            module.loads_per_request,
            module.load_window as f64 / 1e6
        )
    };
    feature("orders to hold copies", module.load_orders_allowed && module.load_window > 0, why)
}

#[cfg(test)]
mod tests;
