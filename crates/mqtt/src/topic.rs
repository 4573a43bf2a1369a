//! Validation and matching of topic names and topic filters (MQTT 5.0, section 4.7), including the filters of shared
//! subscriptions (4.8.2).

use crate::reason::{ReasonCode, Violation};

/// The maximum length of a topic name or filter in bytes [MQTT-4.7.3-3].
pub const MAX_TOPIC_BYTES: usize = 65_535;

fn invalid(reason: ReasonCode, statement: &'static str, what: &'static str) -> Violation {
    Violation { reason, statement, description: what }
}

fn check_common(text: &str, reason: ReasonCode) -> Result<(), Violation> {
    if text.is_empty() {
        return Err(invalid(reason, "MQTT-4.7.3-1", "an empty topic"));
    }
    if text.contains('\0') {
        return Err(invalid(reason, "MQTT-4.7.3-2", "a topic with a null character"));
    }
    if text.len() > MAX_TOPIC_BYTES {
        return Err(invalid(reason, "MQTT-4.7.3-3", "a topic longer than 65535 bytes"));
    }
    Ok(())
}

/// Checks the topic name of a PUBLISH or a will.
pub fn check_name(name: &str) -> Result<(), Violation> {
    check_common(name, ReasonCode::TopicNameInvalid)?;
    if name.contains(['+', '#']) {
        return Err(invalid(ReasonCode::TopicNameInvalid, "MQTT-3.3.2-2", "a topic name with a wildcard"));
    }
    Ok(())
}

/// The parsed topic filter of a subscription.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TopicFilter {
    /// The share name of a shared subscription.
    pub share_name: Option<String>,
    /// The topic filter without the `$share/` prefix and the share name.
    pub filter: String,
}

impl TopicFilter {
    /// Parses and validates a topic filter.
    pub fn parse(text: &str) -> Result<TopicFilter, Violation> {
        let violation = |statement, what| invalid(ReasonCode::TopicFilterInvalid, statement, what);
        check_common(text, ReasonCode::TopicFilterInvalid)?;
        let (share, filter) = match text.strip_prefix("$share/") {
            None => (None, text),
            Some(rest) => {
                let (share, filter) = rest
                    .split_once('/')
                    .ok_or(violation("MQTT-4.8.2-2", "a shared subscription without a filter"))?;
                if share.is_empty() {
                    return Err(violation("MQTT-4.8.2-1", "a shared subscription without a share name"));
                }
                if share.contains(['+', '#']) {
                    return Err(violation("MQTT-4.8.2-2", "a share name with a wildcard"));
                }
                check_common(filter, ReasonCode::TopicFilterInvalid)?;
                (Some(share.to_string()), filter)
            }
        };
        let levels: Vec<&str> = filter.split('/').collect();
        for (index, level) in levels.iter().enumerate() {
            if level.contains('#') && (*level != "#" || index + 1 < levels.len()) {
                return Err(violation("MQTT-4.7.1-1", "a multi-level wildcard that is not the last level"));
            }
            if level.contains('+') && *level != "+" {
                return Err(violation("MQTT-4.7.1-2", "a single-level wildcard that is not a whole level"));
            }
        }
        Ok(TopicFilter { share_name: share, filter: filter.to_string() })
    }

    /// Returns whether the filter contains wildcards.
    pub fn has_wildcards(&self) -> bool {
        self.filter.contains(['+', '#'])
    }

    /// Returns whether a topic name matches the filter.
    pub fn matches(&self, name: &str) -> bool {
        // A leading wildcard does not match a topic name that begins with `$` [MQTT-4.7.2-1].
        if name.starts_with('$') && self.filter.starts_with(['+', '#']) {
            return false;
        }
        let (mut filter_levels, mut name_levels) = (self.filter.split('/'), name.split('/'));
        loop {
            match (filter_levels.next(), name_levels.next()) {
                (Some("#"), _) => return true,
                (Some("+"), Some(_)) => {}
                (Some(expected), Some(level)) if expected == level => {}
                (None, None) => return true,
                _ => return false,
            }
        }
    }
}

#[cfg(test)]
mod tests;
