//! What time brings: silent connections, due wills, and sessions that expire.

use super::{Action, ConnState, LOGIN_TIMEOUT_US, Session, Sessions};
use crate::front::Delivery;
use ochreward_mqtt::Properties;
use ochreward_mqtt::ReasonCode;
use ochreward_mqtt::packet::Publish;
use std::collections::BTreeSet;

impl Sessions {
    /// Returns when `advance` next has work to do.
    pub fn due(&self) -> u64 {
        let links = self.connections.values().map(|link| match link {
            ConnState::New { since } | ConnState::Authenticating { since, .. } => since + LOGIN_TIMEOUT_US,
            ConnState::Connected { last_received, keep_alive, .. } => last_received + keep_alive,
        });
        let disconnected = self.sessions.values().filter(|s| s.conn.is_none());
        let sessions = disconnected.map(|s| {
            (s.disconnected_at + u64::from(s.expiry) * 1_000_000).min(s.will_at.unwrap_or(u64::MAX))
        });
        links.chain(sessions).min().unwrap_or(u64::MAX)
    }

    /// Closes connections whose keep-alive or log-in time-out has passed, ends expired sessions and publishes due wills.
    pub fn advance(&mut self, now: u64) {
        let mut silent = Vec::new();
        for (conn, link) in &self.connections {
            match link {
                ConnState::New { since } | ConnState::Authenticating { since, .. }
                    if now >= since + LOGIN_TIMEOUT_US =>
                {
                    silent.push((*conn, None));
                }
                ConnState::Connected { last_received, keep_alive, .. }
                    if now >= last_received + keep_alive =>
                {
                    silent.push((*conn, Some(ReasonCode::KeepAliveTimeout)));
                }
                _ => {}
            }
        }
        for (conn, reason) in silent {
            match reason {
                Some(reason) => self.disconnect(now, conn, reason),
                None => {
                    self.connections.remove(&conn);
                    self.actions.push(Action::Close(conn));
                }
            }
        }
        let due = |s: &&Session| s.conn.is_none() && s.will_at.is_some_and(|at| now >= at);
        let wills: Vec<String> =
            self.sessions.iter().filter(|(_, s)| due(s)).map(|(c, _)| c.clone()).collect();
        for client in wills {
            let will = self.sessions.get_mut(&client).and_then(|s| {
                s.will_at = None;
                s.will.take()
            });
            if let Some(will) = will {
                let properties = Properties { will_delay: None, ..will.properties };
                let publish =
                    Publish { topic: will.topic, properties, payload: will.payload, ..Publish::default() };
                self.handle_trigger(now, Delivery::First { age_us: 0 }, &client, publish);
            }
        }
        let expired =
            |s: &&Session| s.conn.is_none() && now >= s.disconnected_at + u64::from(s.expiry) * 1_000_000;
        let expired: BTreeSet<String> =
            self.sessions.iter().filter(|(_, s)| expired(s)).map(|(c, _)| c.clone()).collect();
        expired.iter().for_each(|client| self.drop_session(client));
    }
}
