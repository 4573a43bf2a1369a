//! The users file: who may connect, which topics each user may publish and subscribe to, and which classes and tenants it
//! may request. The file is read as a whole; all its faults are reported together.

use crate::keys::{Faults, Key};
use ochreward_mqtt::topic::TopicFilter;
use serde_json::Value;
use std::collections::BTreeMap;

/// A user and its permissions. In patterns, `{client}` stands for the client id.
#[derive(Clone, Debug, PartialEq)]
pub struct User {
    /// The hash of its password, in the PHC string format (argon2id).
    pub password: String,
    /// Client ids that it may use; a `*` at the end matches any suffix. An empty list allows all.
    pub clients: Vec<String>,
    /// Filters of the topics that it may publish to.
    pub publish: Vec<String>,
    /// Filters that it may subscribe to; narrower filters are allowed too.
    pub subscribe: Vec<String>,
    /// Classes that it may request; an empty list allows all.
    pub classes: Vec<String>,
    /// Tenants that it may name in requests; an empty list allows all.
    pub tenants: Vec<String>,
    /// The rate limit of each client: triggers per second, and the burst. A rate of 0 means no limit.
    pub client_rate: (f64, f64),
    /// The rate limit of all its clients together, in the same form.
    pub user_rate: (f64, f64),
}

/// All users, by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    users: BTreeMap<String, User>,
}

fn text_list(key: &Key) -> Vec<String> {
    key.entries().iter().map(|k| k.text().to_string()).collect()
}

fn filter_list(key: &Key) -> Vec<String> {
    let check = |k: &Key| {
        let text = k.text().to_string();
        k.must(
            TopicFilter::parse(&text).is_ok_and(|f| f.share_name.is_none()),
            "must be a valid topic filter that is not shared",
        );
        text
    };
    key.entries().iter().map(check).collect()
}

fn user(key: &Key) -> User {
    key.only(&[
        "password",
        "clients",
        "publish",
        "subscribe",
        "classes",
        "tenants",
        "client_rate",
        "client_burst",
        "user_rate",
        "user_burst",
    ]);
    let password = key.get("password");
    password
        .must(password.text().starts_with("$argon2"), "must be a password hash; see ochreward hash-password");
    User {
        password: password.text().to_string(),
        clients: text_list(&key.get("clients")),
        publish: filter_list(&key.get("publish")),
        subscribe: filter_list(&key.get("subscribe")),
        classes: text_list(&key.get("classes")),
        tenants: text_list(&key.get("tenants")),
        client_rate: (key.get("client_rate").number_or(0.0), key.get("client_burst").number_or(1.0)),
        user_rate: (key.get("user_rate").number_or(0.0), key.get("user_burst").number_or(1.0)),
    }
}

impl Policy {
    /// Parses the text of a users file.
    pub fn read(text: &str) -> Result<Policy, Faults> {
        let value: Value =
            toml::from_str(text).map_err(|e| Faults::one("(the whole file)", format!("is not TOML: {e}")))?;
        let top = Key::top(&value);
        top.only(&["user"]);
        let users = top.get("user").members().into_iter().map(|(name, key)| (name, user(&key))).collect();
        top.finish(Policy { users })
    }

    /// Returns the user with this name.
    pub fn user(&self, name: &str) -> Option<&User> {
        self.users.get(name)
    }
}

impl User {
    /// Returns whether the user may connect with this client id.
    pub fn may_use_client_id(&self, client: &str) -> bool {
        let matches = |pattern: &String| match pattern.strip_suffix('*') {
            Some(prefix) => client.starts_with(prefix),
            None => pattern == client,
        };
        self.clients.is_empty() || self.clients.iter().any(matches)
    }

    /// Returns whether the user may publish to this topic.
    pub fn may_publish(&self, client: &str, topic: &str) -> bool {
        let own = |pattern: &String| TopicFilter::parse(&pattern.replace("{client}", client));
        self.publish.iter().any(|p| own(p).is_ok_and(|f| f.matches(topic)))
    }

    /// Returns whether the user may subscribe to this filter: one of the user's own filters must match every topic that it
    /// matches.
    pub fn may_subscribe(&self, client: &str, filter: &str) -> bool {
        self.subscribe.iter().any(|p| covers(&p.replace("{client}", client), filter))
    }

    /// Returns whether the user may request this class for this tenant.
    pub fn may_request(&self, class: &str, tenant: Option<&str>) -> bool {
        let any = |list: &[String], name: &str| list.is_empty() || list.iter().any(|n| n == name);
        any(&self.classes, class) && tenant.is_none_or(|tenant| any(&self.tenants, tenant))
    }
}

/// Returns whether the wide filter matches every topic that the narrow one matches.
fn covers(wide: &str, narrow: &str) -> bool {
    if narrow.starts_with(['+', '#']) && wide.starts_with('$') {
        return false;
    }
    let (mut wide, mut narrow) = (wide.split('/'), narrow.split('/'));
    loop {
        match (wide.next(), narrow.next()) {
            (Some("#"), _) => return true,
            (Some("+"), Some(level)) if level != "#" => {}
            (Some(one), Some(other)) if one == other => {}
            (None, None) => return true,
            _ => return false,
        }
    }
}

#[cfg(test)]
mod tests;
