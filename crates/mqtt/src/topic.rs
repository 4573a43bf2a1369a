//! Topic names and filters (MQTT 5.0, section 4.7), and shared subscriptions (4.8.2).

use crate::reason::{Reason, Violation};

/// The longest name or filter, in bytes [MQTT-4.7.3-3].
pub const MOST: usize = 65_535;

fn invalid(reason: Reason, statement: &'static str, what: &'static str) -> Violation {
    Violation { reason, statement, what }
}

fn usable(text: &str, reason: Reason) -> Result<(), Violation> {
    if text.is_empty() {
        return Err(invalid(reason, "MQTT-4.7.3-1", "an empty topic"));
    }
    if text.contains('\0') {
        return Err(invalid(reason, "MQTT-4.7.3-2", "a topic with a null character"));
    }
    if text.len() > MOST {
        return Err(invalid(reason, "MQTT-4.7.3-3", "a topic longer than 65535 bytes"));
    }
    Ok(())
}

/// Checks a name that something is published to.
pub fn check_name(name: &str) -> Result<(), Violation> {
    usable(name, Reason::TopicNameInvalid)?;
    if name.contains(['+', '#']) {
        return Err(invalid(Reason::TopicNameInvalid, "MQTT-3.3.2-2", "a topic name with a wildcard"));
    }
    Ok(())
}

/// A filter that something subscribes by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Filter {
    /// The name that a subscription is shared under.
    pub share: Option<String>,
    /// The filter itself.
    pub filter: String,
}

impl Filter {
    /// Reads and checks a filter.
    pub fn read(text: &str) -> Result<Filter, Violation> {
        let bad = |statement, what| invalid(Reason::TopicFilterInvalid, statement, what);
        usable(text, Reason::TopicFilterInvalid)?;
        let (share, filter) = match text.strip_prefix("$share/") {
            None => (None, text),
            Some(rest) => {
                let (share, filter) = rest
                    .split_once('/')
                    .ok_or(bad("MQTT-4.8.2-2", "a shared subscription without a filter"))?;
                if share.is_empty() {
                    return Err(bad("MQTT-4.8.2-1", "a shared subscription without a name"));
                }
                if share.contains(['+', '#']) {
                    return Err(bad("MQTT-4.8.2-2", "a share name with a wildcard"));
                }
                usable(filter, Reason::TopicFilterInvalid)?;
                (Some(share.to_string()), filter)
            }
        };
        let levels: Vec<&str> = filter.split('/').collect();
        for (i, level) in levels.iter().enumerate() {
            if level.contains('#') && (*level != "#" || i + 1 < levels.len()) {
                return Err(bad("MQTT-4.7.1-1", "a multi-level wildcard that is not the last level"));
            }
            if level.contains('+') && *level != "+" {
                return Err(bad("MQTT-4.7.1-2", "a single-level wildcard that is not a whole level"));
            }
        }
        Ok(Filter { share, filter: filter.to_string() })
    }

    /// Whether it has wildcards.
    pub fn has_wildcards(&self) -> bool {
        self.filter.contains(['+', '#'])
    }

    /// Whether a name falls under it.
    pub fn matches(&self, name: &str) -> bool {
        // Wildcards at the front do not match names that begin with `$` [MQTT-4.7.2-1].
        if name.starts_with('$') && self.filter.starts_with(['+', '#']) {
            return false;
        }
        let (mut filter, mut levels) = (self.filter.split('/'), name.split('/'));
        loop {
            match (filter.next(), levels.next()) {
                (Some("#"), _) => return true,
                (Some("+"), Some(_)) => {}
                (Some(wanted), Some(level)) if wanted == level => {}
                (None, None) => return true,
                _ => return false,
            }
        }
    }
}

#[cfg(test)]
mod tests;
