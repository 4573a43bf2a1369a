//! Who may connect, what each may publish and subscribe to, and which classes and tenants it may ask for.

use crate::keys::{Faults, Key};
use ochreward_mqtt::topic::TopicFilter;
use serde_json::Value;
use std::collections::BTreeMap;

/// What a user may do. In patterns, `{client}` stands for the client's id.
#[derive(Clone, Debug, PartialEq)]
pub struct User {
    /// The hash of its password, in the PHC string format (argon2id).
    pub password: String,
    /// Client ids that it may take; a `*` at the end stands for anything. None: any.
    pub clients: Vec<String>,
    /// Filters of the topics that it may publish to.
    pub publish: Vec<String>,
    /// Filters that it may subscribe by, or by narrower ones.
    pub subscribe: Vec<String>,
    /// Classes that it may ask for; none: all.
    pub classes: Vec<String>,
    /// Tenants that it may ask as; none: all.
    pub tenants: Vec<String>,
    /// Triggers a second for each client, and at once; a rate of 0 is no bound.
    pub client_rate: (f64, f64),
    /// The same for all its clients together.
    pub user_rate: (f64, f64),
}

/// All users, by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    users: BTreeMap<String, User>,
}

fn texts(key: &Key) -> Vec<String> {
    key.entries().iter().map(|k| k.text().to_string()).collect()
}

fn filters(key: &Key) -> Vec<String> {
    let check = |k: &Key| {
        let text = k.text().to_string();
        k.must(
            TopicFilter::parse(&text).is_ok_and(|f| f.share_name.is_none()),
            "is no topic filter that can be used here",
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
    password.must(password.text().starts_with("$argon2"), "a hash is wanted; see ochreward hash-password");
    User {
        password: password.text().to_string(),
        clients: texts(&key.get("clients")),
        publish: filters(&key.get("publish")),
        subscribe: filters(&key.get("subscribe")),
        classes: texts(&key.get("classes")),
        tenants: texts(&key.get("tenants")),
        client_rate: (key.get("client_rate").number_or(0.0), key.get("client_burst").number_or(1.0)),
        user_rate: (key.get("user_rate").number_or(0.0), key.get("user_burst").number_or(1.0)),
    }
}

impl Policy {
    /// Reads the text of a users' file.
    pub fn read(text: &str) -> Result<Policy, Faults> {
        let value: Value =
            toml::from_str(text).map_err(|e| Faults::one("(the whole file)", format!("is not TOML: {e}")))?;
        let top = Key::top(&value);
        top.only(&["user"]);
        let users = top.get("user").members().into_iter().map(|(name, key)| (name, user(&key))).collect();
        top.finish(Policy { users })
    }

    /// A user.
    pub fn user(&self, name: &str) -> Option<&User> {
        self.users.get(name)
    }
}

impl User {
    /// Whether it may take this client id.
    pub fn may_be(&self, client: &str) -> bool {
        let fits = |pattern: &String| match pattern.strip_suffix('*') {
            Some(front) => client.starts_with(front),
            None => pattern == client,
        };
        self.clients.is_empty() || self.clients.iter().any(fits)
    }

    /// Whether it may publish there.
    pub fn may_publish(&self, client: &str, topic: &str) -> bool {
        let own = |pattern: &String| TopicFilter::parse(&pattern.replace("{client}", client));
        self.publish.iter().any(|p| own(p).is_ok_and(|f| f.matches(topic)))
    }

    /// Whether it may subscribe by this filter: all that the filter lets through, one of its own does.
    pub fn may_subscribe(&self, client: &str, filter: &str) -> bool {
        self.subscribe.iter().any(|p| covers(&p.replace("{client}", client), filter))
    }

    /// Whether it may ask for this class, as this tenant.
    pub fn may_ask(&self, class: &str, tenant: Option<&str>) -> bool {
        let any = |list: &[String], name: &str| list.is_empty() || list.iter().any(|n| n == name);
        any(&self.classes, class) && tenant.is_none_or(|tenant| any(&self.tenants, tenant))
    }
}

/// Whether every topic under the narrow filter is under the wide one.
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
