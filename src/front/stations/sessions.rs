//! The stations' sessions, without I/O: connections, subscriptions, open requests and queued answers. The input is packets,
//! results of password checks, final answers and the time; the output is a list of [`Action`]s. [`Rules`] bounds the
//! sessions and what each may hold.
//!
//! A message at QoS 1 or 2 is acknowledged when its final answer is known, and the acknowledgement's user properties carry
//! the answer; if the message has a response topic that its session subscribes to, the answer is published there too.
//! Until then the message stays unacknowledged, so that a station whose connection breaks sends it again: either to this
//! process, which continues the request or repeats the remembered answer, or to another, which treats it as one that may
//! already have run.

use super::policy::{Policy, User};
use super::quota::Bucket;
use crate::core::FinalAnswer;
use crate::front::{Fields, Invalid, ParsedRequest};
use ochreward_mqtt::delivery::{Inbound, Outbound, Received};
use ochreward_mqtt::packet::{
    Connack, Connect, DisconnectOrAuth, Packet, Publish, Suback, Subscribe, Version, Will,
};
use ochreward_mqtt::topic::TopicFilter;
use ochreward_mqtt::{Properties, Qos, ReasonCode, Violation};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// The id of a connection.
pub type ConnId = usize;

/// The topic alias maximum announced to stations.
const TOPIC_ALIAS_MAXIMUM: u16 = 16;
/// Subscriptions per session.
const MAX_FILTERS: usize = 32;
/// Answered calls that a session remembers.
const MAX_ANSWERED_CALLS: usize = 64;
/// The longest body that is remembered with an answered call.
const MAX_REMEMBERED_BODY_BYTES: usize = 1_024;
/// Packets of a connection that are queued while its password is checked.
const MAX_EARLY_PACKETS: usize = 64;
/// A connection is closed if it has not sent a CONNECT and had its password checked within this time.
const LOGIN_TIMEOUT_US: u64 = 2_500_000;
/// The message expiry of an answer: how long it waits for a disconnected station, if the session lives as long.
const ANSWER_EXPIRY_S: u32 = 600;

/// The limits of the sessions.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Unacknowledged messages from a station.
    pub receive_maximum: u16,
    /// The largest accepted packet, in bytes.
    pub maximum_packet: u32,
    /// The longest keep-alive, in seconds.
    pub keep_alive: u16,
    /// The longest time that a session outlives its connection, in seconds.
    pub session_expiry: u32,
    /// The number of sessions, connected or not.
    pub sessions: usize,
    /// Answers queued per session.
    pub waiting: usize,
    /// The retry delay in a refusal during shutdown, in microseconds.
    pub pushback: u64,
}

/// An action for the caller to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a packet.
    Send(ConnId, Box<Packet>, Version),
    /// Close a connection after sending what is queued.
    Close(ConnId),
    /// Check a password against a hash, and report the result to `password_verified`.
    Verify(ConnId, Vec<u8>, String),
    /// Submit a request to the core; the answer is returned under the number.
    Serve {
        /// Its number.
        number: i64,
        /// Its parameters.
        sketch: ParsedRequest,
        /// Its body.
        body: Vec<u8>,
        /// Whether it may have run before.
        again: bool,
    },
}

/// Counts of events since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Triggers received.
    pub triggers: u64,
    /// Triggers whose request was already running or answered.
    pub duplicates: u64,
    /// Triggers refused by a rate limit.
    pub limited: u64,
    /// Final answers sent to a station or queued for it.
    pub answers: u64,
    /// Final answers whose session had ended, or for which there was no room.
    pub answers_lost: u64,
    /// Connections ended because of a protocol violation.
    pub violations: u64,
    /// Connections refused.
    pub refused: u64,
}

/// The state of a connection.
enum ConnState {
    /// No CONNECT has been received.
    New { since: u64 },
    /// The password is being checked; packets received meanwhile are queued in `early`.
    Authenticating { since: u64, connect: Box<Connect>, early: Vec<Packet> },
    /// The connection belongs to this client's session.
    Connected { client: String, last_received: u64, keep_alive: u64 },
}

/// An answer, remembered for a message that is delivered again.
#[derive(Clone, Debug)]
struct Outcome {
    reason: ReasonCode,
    user_properties: Vec<(String, String)>,
    body: Vec<u8>,
}

/// A client's session, which may outlive its connection.
struct Session {
    conn: Option<ConnId>,
    user: String,
    inbound: Inbound,
    outbound: Outbound,
    filters: Vec<(TopicFilter, Qos)>,
    /// How long the session outlives its connection, in seconds.
    expiry: u32,
    disconnected_at: u64,
    will: Option<Will>,
    /// When the will is to be published; set when the connection is lost.
    will_at: Option<u64>,
    bucket: Bucket,
    open_calls: BTreeMap<Arc<str>, i64>,
    answered_calls: BTreeMap<Arc<str>, Outcome>,
    answered_order: VecDeque<Arc<str>>,
}

/// A request that the core has.
struct Request {
    client: String,
    call: Arc<str>,
    /// The packet ids under which it was delivered on the current connection.
    packet_ids: Vec<u16>,
    response_topic: Option<String>,
    correlation: Option<Vec<u8>>,
}

/// All sessions.
pub struct Sessions {
    rules: Rules,
    policy: Policy,
    connections: BTreeMap<ConnId, ConnState>,
    sessions: BTreeMap<String, Session>,
    user_buckets: BTreeMap<String, Bucket>,
    requests: BTreeMap<i64, Request>,
    next_number: i64,
    stopping: bool,
    /// Counts of events.
    pub counts: Counts,
    /// Actions for the caller, in order.
    pub actions: Vec<Action>,
}

fn pair(name: &str, value: &str) -> (String, String) {
    (name.to_string(), value.to_string())
}

impl Sessions {
    /// Creates an empty set of sessions.
    pub fn new(rules: Rules, policy: Policy) -> Sessions {
        Sessions {
            rules,
            policy,
            connections: BTreeMap::new(),
            sessions: BTreeMap::new(),
            user_buckets: BTreeMap::new(),
            requests: BTreeMap::new(),
            next_number: 1,
            stopping: false,
            counts: Counts::default(),
            actions: Vec::new(),
        }
    }

    /// Replaces the users. Stations whose user was removed or has a new password are disconnected.
    pub fn replace_policy(&mut self, now: u64, policy: Policy) {
        let old = std::mem::replace(&mut self.policy, policy);
        let revoked = |s: &Session| {
            let (was, is) = (old.user(&s.user), self.policy.user(&s.user));
            is.is_none() || was.map(|u| &u.password) != is.map(|u| &u.password)
        };
        let conns: Vec<ConnId> =
            self.sessions.values().filter(|s| revoked(s)).filter_map(|s| s.conn).collect();
        conns.into_iter().for_each(|conn| self.disconnect(now, conn, ReasonCode::NotAuthorized));
    }

    /// Returns the number of requests that the core has.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of sessions.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Returns whether there are no sessions.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// Returns the number of sessions, and of those that are connected.
    pub fn session_counts(&self) -> (usize, usize) {
        (self.sessions.len(), self.sessions.values().filter(|s| s.conn.is_some()).count())
    }

    // ---- Connections ----

    /// Registers an accepted connection.
    pub fn connection_accepted(&mut self, now: u64, conn: ConnId) {
        self.connections.insert(conn, ConnState::New { since: now });
    }

    /// Handles the loss of a connection: its session is kept until it expires, and its will is scheduled.
    pub fn connection_lost(&mut self, now: u64, conn: ConnId) {
        if let Some(ConnState::Connected { client, .. }) = self.connections.remove(&conn)
            && let Some(session) = self.sessions.get_mut(&client).filter(|s| s.conn == Some(conn))
        {
            session.conn = None;
            session.disconnected_at = now;
            session.outbound.disconnected();
            let delay =
                session.will.as_ref().map(|w| w.properties.will_delay.unwrap_or(0).min(session.expiry));
            session.will_at = delay.map(|s| now + u64::from(s) * 1_000_000);
        }
    }

    /// Disconnects a station with a reason; its session is kept and its will is published.
    fn disconnect(&mut self, now: u64, conn: ConnId, reason: ReasonCode) {
        let closing = Packet::Disconnect(DisconnectOrAuth { reason, properties: Properties::default() });
        self.actions.push(Action::Send(conn, Box::new(closing), Version::V5));
        self.actions.push(Action::Close(conn));
        self.connection_lost(now, conn);
    }

    /// Handles a protocol violation by a station.
    pub fn protocol_violated(&mut self, now: u64, conn: ConnId, violation: &Violation) {
        self.counts.violations += 1;
        match self.connections.get(&conn) {
            // Before a CONNECT is accepted, the answer is a CONNACK or none (MQTT 5.0, 4.13.1).
            Some(ConnState::Connected { .. }) => self.disconnect(now, conn, violation.reason),
            Some(_) if violation.reason == ReasonCode::UnsupportedProtocol => {
                self.refuse_connection(conn, Version::V5, violation.reason);
            }
            _ => {
                self.connections.remove(&conn);
                self.actions.push(Action::Close(conn));
            }
        }
    }

    fn refuse_connection(&mut self, conn: ConnId, version: Version, reason: ReasonCode) {
        self.counts.refused += 1;
        let connack = Connack { session_present: false, reason, properties: Properties::default() };
        self.actions.push(Action::Send(conn, Box::new(Packet::Connack(Box::new(connack))), version));
        self.actions.push(Action::Close(conn));
        self.connections.remove(&conn);
    }

    /// Handles a packet from a station.
    pub fn packet_received(&mut self, now: u64, conn: ConnId, packet: Packet) {
        match (self.connections.get_mut(&conn), packet) {
            (None, _) => {}
            (Some(ConnState::New { since }), Packet::Connect(connect)) => {
                let since = *since;
                self.handle_connect(conn, since, connect);
            }
            (Some(ConnState::Authenticating { early, .. }), packet) if early.len() < MAX_EARLY_PACKETS => {
                early.push(packet)
            }
            (Some(ConnState::Connected { client, last_received, .. }), packet) => {
                *last_received = now;
                let client = client.clone();
                if let Err(violation) = self.handle_packet(now, conn, &client, packet) {
                    self.protocol_violated(now, conn, &violation);
                }
            }
            // A packet before CONNECT [MQTT-3.1.0-1], or too many before CONNACK.
            (Some(_), _) => {
                let what = "a packet before the connection was up";
                self.protocol_violated(now, conn, &Violation::protocol("MQTT-3.1.0-1", what));
            }
        }
    }

    fn handle_connect(&mut self, conn: ConnId, since: u64, connect: Box<Connect>) {
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

    /// Handles the result of a password check: opens or resumes the session, or refuses the connection.
    pub fn password_verified(&mut self, now: u64, conn: ConnId, matches: bool) {
        let Some(ConnState::Authenticating { connect, early, .. }) = self.connections.remove(&conn) else {
            return;
        };
        if !matches {
            return self.refuse_connection(conn, connect.version, ReasonCode::BadUserNameOrPassword);
        }
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
        let rules = &self.rules;
        let user = connect.user_name.clone().unwrap_or_default();
        let rate = self.policy.user(&user).map_or((0.0, 0.0), |u| u.client_rate);
        let expiry = connect.properties.session_expiry.unwrap_or(0).min(rules.session_expiry);
        let resumed = self.sessions.remove(&client).filter(|s| {
            // A session that belongs to another user or has expired is not resumed.
            !connect.clean_start
                && s.user == user
                && now < s.disconnected_at + u64::from(s.expiry) * 1_000_000
        });
        let present = resumed.is_some();
        let mut session = resumed.unwrap_or_else(|| Session {
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
            open_calls: BTreeMap::new(),
            answered_calls: BTreeMap::new(),
            answered_order: VecDeque::new(),
        });
        session.conn = Some(conn);
        (session.expiry, session.will, session.will_at) = (expiry, connect.will.clone(), None);
        session.inbound.connected(present);
        let requested = &connect.properties;
        let (window, aliases) =
            (requested.receive_maximum.unwrap_or(u16::MAX), requested.topic_alias_maximum.unwrap_or(0));
        session.outbound.connected(present, window, aliases);
        // Messages of the previous connection are unacknowledged, so the station resends them.
        for number in session.open_calls.values() {
            if let Some(request) = self.requests.get_mut(number) {
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
        early.into_iter().for_each(|packet| self.packet_received(now, conn, packet));
    }

    /// Evicts the session that has been disconnected longest, unless it has open requests.
    fn evict_session(&mut self) -> bool {
        let disconnected = self.sessions.iter().filter(|(_, s)| s.conn.is_none() && s.open_calls.is_empty());
        let Some(oldest) =
            disconnected.min_by_key(|(_, s)| s.disconnected_at).map(|(client, _)| client.clone())
        else {
            return false;
        };
        self.drop_session(&oldest);
        true
    }

    fn drop_session(&mut self, client: &str) {
        if let Some(session) = self.sessions.remove(client) {
            self.counts.answers_lost += session.outbound.queued_and_in_flight().0 as u64;
        }
    }

    fn send(&mut self, client: &str, packets: impl IntoIterator<Item = Packet>) {
        let Some(conn) = self.sessions.get(client).and_then(|s| s.conn) else { return };
        self.actions.extend(packets.into_iter().map(|p| Action::Send(conn, Box::new(p), Version::V5)));
    }

    /// Sends queued answers, as many as the station's receive maximum allows.
    fn send_queued(&mut self, client: &str) {
        let mut out = Vec::new();
        if let Some(session) = self.sessions.get_mut(client) {
            while let Some(packet) = session.outbound.next_packet() {
                out.push(packet);
            }
        }
        self.send(client, out);
    }

    // ---- Packets ----

    fn handle_packet(
        &mut self,
        now: u64,
        conn: ConnId,
        client: &str,
        packet: Packet,
    ) -> Result<(), Violation> {
        let Some(session) = self.sessions.get_mut(client) else { return Ok(()) };
        match packet {
            Packet::Publish(publish) => self.handle_publish(now, client, *publish)?,
            Packet::Puback(ack) => {
                session.outbound.puback(&ack)?;
                self.send_queued(client);
            }
            Packet::Pubrec(ack) => {
                let (answer, _) = session.outbound.pubrec(&ack)?;
                self.send(client, answer);
                self.send_queued(client);
            }
            Packet::Pubcomp(ack) => {
                session.outbound.pubcomp(&ack)?;
                self.send_queued(client);
            }
            Packet::Pubrel(ack) => {
                let answer = session.inbound.pubrel(&ack);
                self.send(client, [answer]);
            }
            Packet::Subscribe(subscribe) => self.handle_subscribe(client, &subscribe),
            Packet::Unsubscribe(unsubscribe) => {
                let remove = |filter: &String| {
                    let before = session.filters.len();
                    session.filters.retain(|(f, _)| f.filter != *filter);
                    if session.filters.len() < before {
                        ReasonCode::Success
                    } else {
                        ReasonCode::NoSubscriptionExisted
                    }
                };
                let reasons = unsubscribe.filters.iter().map(remove).collect();
                let unsuback =
                    Suback { packet_id: unsubscribe.packet_id, properties: Properties::default(), reasons };
                self.send(client, [Packet::Unsuback(unsuback)]);
            }
            Packet::Pingreq => self.send(client, [Packet::Pingresp]),
            Packet::Disconnect(closing) => {
                if let Some(expiry) = closing.properties.session_expiry {
                    if session.expiry == 0 && expiry > 0 {
                        let what = "a session expiry in DISCONNECT after 0 in CONNECT";
                        return Err(Violation::protocol("MQTT 3.14.2.2.2", what));
                    }
                    session.expiry = expiry.min(self.rules.session_expiry);
                }
                if closing.reason != ReasonCode::DisconnectWithWill {
                    session.will = None;
                }
                self.actions.push(Action::Close(conn));
                self.connection_lost(now, conn);
            }
            // A second CONNECT [MQTT-3.1.0-2], or a packet that only servers send.
            _ => return Err(Violation::protocol("MQTT-3.1.0-2", "a packet that a client may not send here")),
        }
        Ok(())
    }

    fn handle_subscribe(&mut self, client: &str, subscribe: &Subscribe) {
        let Some(session) = self.sessions.get_mut(client) else { return };
        let user = self.policy.user(&session.user);
        let mut reasons = Vec::new();
        for wanted in &subscribe.subscriptions {
            let filter = match TopicFilter::parse(&wanted.filter) {
                _ if !subscribe.properties.subscription_ids.is_empty() => {
                    reasons.push(ReasonCode::SubscriptionIdsNotSupported);
                    continue;
                }
                Err(violation) => {
                    reasons.push(violation.reason);
                    continue;
                }
                Ok(filter) if filter.share_name.is_some() => {
                    reasons.push(ReasonCode::SharedNotSupported);
                    continue;
                }
                Ok(filter) => filter,
            };
            if !user.is_some_and(|u| u.may_subscribe(client, &filter.filter)) {
                reasons.push(ReasonCode::NotAuthorized);
                continue;
            }
            // A subscription with the same filter replaces the previous one [MQTT-3.8.4-3].
            session.filters.retain(|(f, _)| *f != filter);
            if session.filters.len() >= MAX_FILTERS {
                reasons.push(ReasonCode::QuotaExceeded);
                continue;
            }
            session.filters.push((filter, wanted.qos));
            reasons.push(match wanted.qos {
                Qos::AtMostOnce => ReasonCode::Success,
                Qos::AtLeastOnce => ReasonCode::GrantedQos1,
                Qos::ExactlyOnce => ReasonCode::GrantedQos2,
            });
        }
        let suback = Suback { packet_id: subscribe.packet_id, properties: Properties::default(), reasons };
        self.send(client, [Packet::Suback(suback)]);
    }

    fn handle_publish(&mut self, now: u64, client: &str, mut publish: Publish) -> Result<(), Violation> {
        let Some(session) = self.sessions.get_mut(client) else { return Ok(()) };
        if publish.retain {
            let (statement, what) = ("MQTT-3.2.2-14", "a retained message, which is not supported");
            return Err(Violation { reason: ReasonCode::RetainNotSupported, statement, description: what });
        }
        match session.inbound.publish(&mut publish)? {
            Received::New => {}
            Received::Pending => return Ok(()),
            Received::Acknowledged(answer) => {
                self.send(client, [*answer]);
                return Ok(());
            }
        }
        self.handle_trigger(now, client, publish);
        Ok(())
    }

    /// Turns a message into a request, or answers it with the reason why it is refused.
    fn handle_trigger(&mut self, now: u64, client: &str, publish: Publish) {
        let Some(session) = self.sessions.get_mut(client) else { return };
        self.counts.triggers += 1;
        let user = self.policy.user(&session.user);
        let fields: Fields = publish.properties.user.iter().cloned().collect();
        let call: Arc<str> = fields.get("call").map_or("", String::as_str).into();
        let number = self.next_number;
        self.next_number += 1;
        let request = Request {
            client: client.to_string(),
            call: call.clone(),
            packet_ids: if publish.packet_id > 0 { vec![publish.packet_id] } else { Vec::new() },
            response_topic: publish.properties.response_topic.clone(),
            correlation: publish.properties.correlation.clone(),
        };
        // The request is running: its answer acknowledges this delivery too.
        if let Some(known) = session.open_calls.get(&call).and_then(|number| self.requests.get_mut(number)) {
            self.counts.duplicates += 1;
            known.packet_ids.extend(request.packet_ids);
            return;
        }
        if let Some(outcome) =
            session.answered_calls.get(&call).filter(|_| publish.dup || publish.packet_id == 0).cloned()
        {
            self.counts.duplicates += 1;
            return self.deliver(request, outcome);
        }
        let refuse = |reason: ReasonCode, why: &str| Outcome {
            reason,
            user_properties: vec![pair("status", "failed"), pair("why", why)],
            body: Vec::new(),
        };
        let sketch = match ParsedRequest::read(&fields) {
            Ok(sketch) => sketch,
            Err(invalid) => {
                let mut outcome = refuse(ReasonCode::PayloadFormatInvalid, invalid.why);
                outcome.user_properties.push(pair("field", invalid.field));
                return self.deliver(request, outcome);
            }
        };
        let may = |u: &User| {
            u.may_publish(client, &publish.topic) && u.may_request(&sketch.class, sketch.tenant.as_deref())
        };
        if !user.is_some_and(may) {
            return self
                .deliver(request, refuse(ReasonCode::NotAuthorized, "may not be asked for by this client"));
        }
        let rate = user.map_or((0.0, 0.0), |u| u.user_rate);
        let shared =
            self.user_buckets.entry(session.user.clone()).or_insert_with(|| Bucket::new(now, rate.0, rate.1));
        let wait = session.bucket.wait_us(now).max(shared.wait_us(now));
        if self.stopping || wait > 0 {
            self.counts.limited += u64::from(wait > 0);
            let after = if self.stopping { self.rules.pushback } else { wait };
            return self.deliver(request, refused(after));
        }
        session.bucket.take();
        shared.take();
        session.open_calls.insert(call, number);
        self.requests.insert(number, request);
        self.actions.push(Action::Serve { number, sketch, body: publish.payload, again: publish.dup });
    }

    /// Delivers the core's final answer to a request.
    pub fn answer(&mut self, number: i64, answer: FinalAnswer) {
        let outcome = match answer {
            FinalAnswer::Served(body) => {
                Outcome { reason: ReasonCode::Success, user_properties: vec![pair("status", "served")], body }
            }
            FinalAnswer::Refused(after) => refused(after),
            FinalAnswer::Failed(why) => Outcome {
                reason: ReasonCode::Implementation,
                user_properties: vec![pair("status", "failed"), pair("why", why)],
                body: Vec::new(),
            },
        };
        self.settle(number, outcome);
    }

    /// Answers a request that has an invalid field.
    pub fn reject_invalid(&mut self, number: i64, invalid: &Invalid) {
        let user_properties =
            vec![pair("status", "failed"), pair("field", invalid.field), pair("why", invalid.why)];
        self.settle(
            number,
            Outcome { reason: ReasonCode::PayloadFormatInvalid, user_properties, body: Vec::new() },
        );
    }

    fn settle(&mut self, number: i64, outcome: Outcome) {
        let Some(request) = self.requests.remove(&number) else { return };
        let Some(session) = self.sessions.get_mut(&request.client) else {
            self.counts.answers_lost += 1;
            return;
        };
        session.open_calls.remove(&request.call);
        // A refused request never ran: its repeat is a new request.
        if outcome.user_properties.first().is_some_and(|(_, status)| status != "refused") {
            let mut remembered = outcome.clone();
            if remembered.body.len() > MAX_REMEMBERED_BODY_BYTES {
                remembered.body.clear();
                remembered.user_properties.push(pair("body", "not kept"));
            }
            if session.answered_calls.insert(request.call.clone(), remembered).is_none() {
                session.answered_order.push_back(request.call.clone());
            }
            while session.answered_order.len() > MAX_ANSWERED_CALLS {
                if let Some(old) = session.answered_order.pop_front() {
                    session.answered_calls.remove(&old);
                }
            }
        }
        self.deliver(request, outcome);
    }

    /// Sends a station its final answer: in the acknowledgement, and on the response topic if the session subscribes to
    /// it.
    fn deliver(&mut self, request: Request, outcome: Outcome) {
        let client = request.client;
        let Some(session) = self.sessions.get_mut(&client) else {
            self.counts.answers_lost += 1;
            return;
        };
        let mut user = vec![pair("call", &request.call)];
        user.extend(outcome.user_properties);
        let mut out = Vec::new();
        for id in &request.packet_ids {
            let properties = Properties { user: user.clone(), ..Properties::default() };
            out.extend(session.inbound.acknowledge(*id, outcome.reason, properties));
        }
        let subscribed_qos = |topic: &String| {
            session.filters.iter().filter(|(f, _)| f.matches(topic)).map(|(_, qos)| *qos).max()
        };
        let mut delivered = !request.packet_ids.is_empty();
        if let Some((topic, qos)) =
            request.response_topic.and_then(|t| subscribed_qos(&t).map(|qos| (t, qos)))
        {
            let properties = Properties {
                correlation: request.correlation,
                message_expiry: Some(ANSWER_EXPIRY_S),
                user,
                ..Properties::default()
            };
            let publish = Publish { qos, topic, properties, payload: outcome.body, ..Publish::default() };
            delivered |= session.outbound.publish(publish).is_ok();
        }
        *(if delivered { &mut self.counts.answers } else { &mut self.counts.answers_lost }) += 1;
        self.send(&client, out);
        self.send_queued(&client);
    }

    // ---- Time ----

    /// Stops taking requests; those already taken are still answered.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Disconnects every station with reason Server shutting down.
    pub fn disconnect_all(&mut self, now: u64) {
        let conns: Vec<ConnId> = self.connections.keys().copied().collect();
        for conn in conns {
            if matches!(self.connections.get(&conn), Some(ConnState::Connected { .. })) {
                self.disconnect(now, conn, ReasonCode::ServerShuttingDown);
            }
        }
    }

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
                self.handle_trigger(now, &client, publish);
            }
        }
        // An expired session is kept until its open requests are answered, so that repeats of them are still recognised.
        let expired =
            |s: &&Session| s.conn.is_none() && now >= s.disconnected_at + u64::from(s.expiry) * 1_000_000;
        let expired: BTreeSet<String> = self
            .sessions
            .iter()
            .filter(|(_, s)| expired(s) && s.open_calls.is_empty())
            .map(|(c, _)| c.clone())
            .collect();
        expired.iter().for_each(|client| self.drop_session(client));
    }
}

/// Returns a refusal with the delay after which to retry, given in microseconds.
fn refused(after: u64) -> Outcome {
    let ms = after.div_ceil(1000).to_string();
    Outcome {
        reason: ReasonCode::QuotaExceeded,
        user_properties: vec![pair("status", "refused"), pair("pushback", &ms)],
        body: Vec::new(),
    }
}

#[cfg(test)]
mod tests;
