//! Opens and resumes sessions: CONNECT, the result of the password check, and the limit on the number of sessions.

use super::Action;
use super::{ConnId, ConnState, Session, Sessions, TOPIC_ALIAS_MAXIMUM};
use crate::front::stations::quota::Bucket;
use ochreward_mqtt::delivery::{Inbound, Outbound};
use ochreward_mqtt::packet::{Connack, Connect, Packet, Version};
use ochreward_mqtt::{Properties, ReasonCode};

impl Sessions {
    pub(super) fn handle_connect(&mut self, conn: ConnId, since: u64, connect: Box<Connect>) {
        let version = connect.version;
        let user = connect.user_name.as_deref().and_then(|name| self.policy.user(name));
        let refused = match user {
            // MQTT 3.1.1 has no user properties, which an answer needs.
            _ if version == Version::V311 => Some(ReasonCode::UnsupportedProtocol),
            _ if self.stopping => Some(ReasonCode::ServerShuttingDown),
            _ if connect.properties.authentication_method.is_some() => {
                Some(ReasonCode::BadAuthenticationMethod)
            }
            None => Some(ReasonCode::BadUserNameOrPassword),
            Some(user) if connect.client_id.is_empty() || !user.may_use_client_id(&connect.client_id) => {
                Some(ReasonCode::ClientIdNotValid)
            }
            _ if connect.will.as_ref().is_some_and(|w| w.retain) => Some(ReasonCode::RetainNotSupported),
            _ => None,
        };
        // CONNACK has no Server shutting down reason; Server unavailable is used instead.
        let refused = refused
            .map(|r| if r == ReasonCode::ServerShuttingDown { ReasonCode::ServerUnavailable } else { r });
        if let Some(reason) = refused {
            return self.refuse_connection(conn, version, reason);
        }
        let hash = user.map(|u| u.password.clone()).unwrap_or_default();
        let password = connect.password.clone().unwrap_or_default();
        self.connections.insert(conn, ConnState::Authenticating { since, connect, early: Vec::new() });
        self.actions.push(Action::Verify(conn, password, hash));
    }

    /// Refuses a connection whose password can't be checked.
    pub fn password_unverified(&mut self, conn: ConnId) {
        if let Some(ConnState::Authenticating { connect, .. }) = self.connections.remove(&conn) {
            self.refuse_connection(conn, connect.version, ReasonCode::BadUserNameOrPassword);
        }
    }

    /// Handles the result of a password check: opens or resumes the session, or refuses the connection. `unix_ms` is the
    /// time of the wall clock, in Unix milliseconds.
    pub fn password_verified(&mut self, now: u64, unix_ms: u64, conn: ConnId, matches: bool) {
        if !matches {
            return self.password_unverified(conn);
        }
        let Some(ConnState::Authenticating { connect, early, .. }) = self.connections.remove(&conn) else {
            return;
        };
        let client = connect.client_id.clone();
        if !self.sessions.contains_key(&client)
            && self.sessions.len() >= self.rules.sessions
            && !self.evict_session()
        {
            return self.refuse_connection(conn, connect.version, ReasonCode::QuotaExceeded);
        }
        // A session has one connection: the later one takes it over [MQTT-3.1.4-3].
        if let Some(old) = self.sessions.get(&client).and_then(|s| s.conn) {
            self.disconnect(now, old, ReasonCode::SessionTakenOver);
        }
        let user = connect.user_name.clone().unwrap_or_default();
        let rate = self.policy.user(&user).map_or((0.0, 0.0), |u| u.client_rate);
        let expiry = connect.properties.session_expiry.unwrap_or(0).min(self.rules.session_expiry);
        // A session that belongs to another user or has expired is not resumed.
        let resumable = |s: &Session| {
            !connect.clean_start
                && s.user == user
                && now < s.disconnected_at + u64::from(s.expiry) * 1_000_000
        };
        if !self.sessions.get(&client).is_some_and(resumable) {
            self.drop_session(&client);
        }
        let rules = &self.rules;
        let resumed = self.sessions.remove(&client);
        let present = resumed.is_some();
        let serial = self.next_session;
        self.next_session += 1;
        let mut session = resumed.unwrap_or_else(|| Session {
            serial,
            conn: None,
            user: user.clone(),
            inbound: Inbound::new(rules.receive_maximum, TOPIC_ALIAS_MAXIMUM),
            outbound: Outbound::new(rules.waiting),
            filters: Vec::new(),
            expiry,
            disconnected_at: now,
            will: None,
            will_at: None,
            bucket: Bucket::new(now, rate.0, rate.1),
        });
        session.conn = Some(conn);
        (session.expiry, session.will, session.will_at) = (expiry, connect.will.clone(), None);
        session.inbound.connected(present);
        let requested = &connect.properties;
        let (window, aliases) =
            (requested.receive_maximum.unwrap_or(u16::MAX), requested.topic_alias_maximum.unwrap_or(0));
        session.outbound.connected(present, window, aliases);
        // Messages of the previous connection are unacknowledged, so the station resends them.
        let owner = session.owner(&client);
        self.calls.session_began(&owner);
        for number in self.calls.of(&owner).open_requests() {
            if let Some(request) = self.requests.get_mut(&number) {
                request.packet_ids.clear();
            }
        }
        let capped = connect.keep_alive == 0 || connect.keep_alive > rules.keep_alive;
        let keep_alive = if capped { rules.keep_alive } else { connect.keep_alive };
        let properties = Properties {
            session_expiry: (expiry != requested.session_expiry.unwrap_or(0)).then_some(expiry),
            receive_maximum: Some(rules.receive_maximum),
            maximum_packet: Some(rules.maximum_packet),
            topic_alias_maximum: Some(TOPIC_ALIAS_MAXIMUM),
            server_keep_alive: capped.then_some(keep_alive),
            retain_available: Some(false),
            subscription_ids_available: Some(false),
            shared_available: Some(false),
            ..Properties::default()
        };
        let connack = Connack { session_present: present, reason: ReasonCode::Success, properties };
        self.actions.push(Action::Send(conn, Box::new(Packet::Connack(Box::new(connack))), Version::V5));
        self.sessions.insert(client.clone(), session);
        let keep_alive = u64::from(keep_alive) * 1_500_000;
        self.connections
            .insert(conn, ConnState::Connected { client: client.clone(), last_received: now, keep_alive });
        self.send_queued(&client);
        early.into_iter().for_each(|packet| self.packet_received(now, unix_ms, conn, packet));
    }

    /// Evicts the session that has been disconnected longest, unless it has open requests.
    pub(super) fn evict_session(&mut self) -> bool {
        let evictable =
            |(client, s): &(&String, &Session)| s.conn.is_none() && !self.calls.has_open(&s.owner(client));
        let disconnected = self.sessions.iter().filter(evictable);
        let Some(oldest) =
            disconnected.min_by_key(|(_, s)| s.disconnected_at).map(|(client, _)| client.clone())
        else {
            return false;
        };
        self.drop_session(&oldest);
        true
    }

    pub(super) fn drop_session(&mut self, client: &str) {
        if let Some(session) = self.sessions.remove(client) {
            self.counts.answers_lost += session.outbound.queued_and_in_flight().0 as u64;
            self.calls.session_ended(&session.owner(client));
        }
    }
}
