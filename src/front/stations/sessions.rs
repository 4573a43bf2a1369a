//! The stations' sessions, without I/O: who is connected, what each message of theirs comes to, and which answers are
//! kept for whom. Told of packets, verdicts on passwords, final answers and time, it leaves [`Act`]s.
//!
//! A message at QoS 1 or 2 is acknowledged when its final answer is known, and carries it in the acknowledgement's
//! user properties; where the message has a response topic that its session subscribes to, the answer is published
//! there too. Until then it stays unacknowledged, so that a station whose connection breaks sends it again: to this process,
//! which goes on with it or tells the answer it remembers, or to another, which takes it for one that may have run.

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

/// Names a connection.
pub type Conn = usize;

/// Topic aliases that a station may use.
const ALIASES: u16 = 16;
/// Filters of a session.
const MOST_FILTERS: usize = 32;
/// Answered calls that a session remembers, and the longest body kept with one.
const MOST_ANSWERED: usize = 64;
const MOST_KEPT_BODY: usize = 1_024;
/// Packets that may come before the password is checked.
const MOST_EARLY: usize = 64;
/// A connection that has not sent a CONNECT after this long is closed, in microseconds.
const UNKNOWN: u64 = 2_500_000;
/// How long an answer waits for a station that is away, in seconds, if its session lives as long.
const ANSWER_EXPIRY: u32 = 600;

/// What bounds the sessions.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Unsettled messages of a session.
    pub receive_maximum: u16,
    /// The largest packet taken, in bytes.
    pub maximum_packet: u32,
    /// The longest keep-alive, in seconds.
    pub keep_alive: u16,
    /// The longest that a session outlives its connection, in seconds.
    pub session_expiry: u32,
    /// Sessions, connected or not.
    pub sessions: usize,
    /// Answers that wait for a session's station.
    pub waiting: usize,
    /// What a refusal tells a station to wait where nothing better is known, in microseconds.
    pub pushback: u64,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Send a packet.
    Send(Conn, Box<Packet>, Version),
    /// End a connection, after what was sent.
    Close(Conn),
    /// Check a password against a hash, and say so by `verified`.
    Verify(Conn, Vec<u8>, String),
    /// Hand a request to the core; the number comes back with its answer.
    Serve {
        /// Its number.
        number: i64,
        /// Its figures.
        sketch: ParsedRequest,
        /// Its body.
        body: Vec<u8>,
        /// It may have run before.
        again: bool,
    },
}

/// Things that are counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Triggers taken in.
    pub triggers: u64,
    /// Triggers that were under way or answered before.
    pub duplicates: u64,
    /// Triggers turned down by quota.
    pub limited: u64,
    /// Final answers given to a station.
    pub answers: u64,
    /// Final answers whose session had gone, or that found no room.
    pub lost: u64,
    /// Connections ended for what they did against the specification.
    pub violations: u64,
    /// Connections refused.
    pub refused: u64,
}

/// A connection that is not, or not yet, a session's.
enum Link {
    /// Nothing has come.
    New { since: u64 },
    /// Its password is being checked.
    Checking { since: u64, connect: Box<Connect>, early: Vec<Packet> },
    /// It is the session's of this client.
    Up { client: String, heard: u64, keep_alive: u64 },
}

/// What was answered, for a message that comes again.
#[derive(Clone, Debug)]
struct Outcome {
    reason: ReasonCode,
    told: Vec<(String, String)>,
    body: Vec<u8>,
}

struct Session {
    conn: Option<Conn>,
    user: String,
    inbound: Inbound,
    outbound: Outbound,
    filters: Vec<(TopicFilter, Qos)>,
    /// How long it outlives its connection, in seconds.
    expiry: u32,
    gone_at: u64,
    will: Option<Will>,
    /// When the will is due, after the connection was lost.
    will_at: Option<u64>,
    bucket: Bucket,
    calls: BTreeMap<Arc<str>, i64>,
    answered: BTreeMap<Arc<str>, Outcome>,
    order: VecDeque<Arc<str>>,
}

struct Request {
    client: String,
    call: Arc<str>,
    /// The numbers under which it came on the connection that stands.
    packets: Vec<u16>,
    response: Option<String>,
    correlation: Option<Vec<u8>>,
}

/// All sessions.
pub struct Sessions {
    rules: Rules,
    policy: Policy,
    links: BTreeMap<Conn, Link>,
    sessions: BTreeMap<String, Session>,
    users: BTreeMap<String, Bucket>,
    requests: BTreeMap<i64, Request>,
    next: i64,
    stopping: bool,
    /// What is counted.
    pub counts: Counts,
    /// What is to be done, in order.
    pub acts: Vec<Act>,
}

fn pair(name: &str, value: &str) -> (String, String) {
    (name.to_string(), value.to_string())
}

impl Sessions {
    /// No sessions yet.
    pub fn new(rules: Rules, policy: Policy) -> Sessions {
        Sessions {
            rules,
            policy,
            links: BTreeMap::new(),
            sessions: BTreeMap::new(),
            users: BTreeMap::new(),
            requests: BTreeMap::new(),
            next: 1,
            stopping: false,
            counts: Counts::default(),
            acts: Vec::new(),
        }
    }

    /// New users; whoever is connected and is none any more, or has another password, is told to go.
    pub fn replace(&mut self, now: u64, policy: Policy) {
        let old = std::mem::replace(&mut self.policy, policy);
        let gone = |s: &Session| {
            let (was, is) = (old.user(&s.user), self.policy.user(&s.user));
            is.is_none() || was.map(|u| &u.password) != is.map(|u| &u.password)
        };
        let conns: Vec<Conn> = self.sessions.values().filter(|s| gone(s)).filter_map(|s| s.conn).collect();
        conns.into_iter().for_each(|conn| self.end(now, conn, ReasonCode::NotAuthorized));
    }

    /// Requests that the core has.
    pub fn owed(&self) -> usize {
        self.requests.len()
    }

    /// Sessions.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// Sessions, and connected ones.
    pub fn count(&self) -> (usize, usize) {
        (self.sessions.len(), self.sessions.values().filter(|s| s.conn.is_some()).count())
    }

    // ---- Connections ----

    /// A connection was accepted.
    pub fn accepted(&mut self, now: u64, conn: Conn) {
        self.links.insert(conn, Link::New { since: now });
    }

    /// A connection is gone.
    pub fn lost(&mut self, now: u64, conn: Conn) {
        if let Some(Link::Up { client, .. }) = self.links.remove(&conn)
            && let Some(session) = self.sessions.get_mut(&client).filter(|s| s.conn == Some(conn))
        {
            session.conn = None;
            session.gone_at = now;
            session.outbound.disconnected();
            let delay =
                session.will.as_ref().map(|w| w.properties.will_delay.unwrap_or(0).min(session.expiry));
            session.will_at = delay.map(|s| now + u64::from(s) * 1_000_000);
        }
    }

    /// Ends a connection by rule: its session goes on, and its will is published.
    fn end(&mut self, now: u64, conn: Conn, reason: ReasonCode) {
        let closing = Packet::Disconnect(DisconnectOrAuth { reason, properties: Properties::default() });
        self.acts.push(Act::Send(conn, Box::new(closing), Version::V5));
        self.acts.push(Act::Close(conn));
        self.lost(now, conn);
    }

    /// The station did something against the specification.
    pub fn violated(&mut self, now: u64, conn: Conn, violation: &Violation) {
        self.counts.violations += 1;
        match self.links.get(&conn) {
            // Before a CONNECT was taken, the answer is a CONNACK, or none (4.13.1).
            Some(Link::Up { .. }) => self.end(now, conn, violation.reason),
            Some(_) if violation.reason == ReasonCode::UnsupportedProtocol => {
                self.turn_away(conn, Version::V5, violation.reason);
            }
            _ => {
                self.links.remove(&conn);
                self.acts.push(Act::Close(conn));
            }
        }
    }

    fn turn_away(&mut self, conn: Conn, version: Version, reason: ReasonCode) {
        self.counts.refused += 1;
        let connack = Connack { session_present: false, reason, properties: Properties::default() };
        self.acts.push(Act::Send(conn, Box::new(Packet::Connack(Box::new(connack))), version));
        self.acts.push(Act::Close(conn));
        self.links.remove(&conn);
    }

    /// A packet has come.
    pub fn received(&mut self, now: u64, conn: Conn, packet: Packet) {
        match (self.links.get_mut(&conn), packet) {
            (None, _) => {}
            (Some(Link::New { since }), Packet::Connect(connect)) => {
                let since = *since;
                self.connect(conn, since, connect);
            }
            (Some(Link::Checking { early, .. }), packet) if early.len() < MOST_EARLY => early.push(packet),
            (Some(Link::Up { client, heard, .. }), packet) => {
                *heard = now;
                let client = client.clone();
                if let Err(violation) = self.packet(now, conn, &client, packet) {
                    self.violated(now, conn, &violation);
                }
            }
            // Anything before a CONNECT [MQTT-3.1.0-1], or too much before its answer.
            (Some(_), _) => {
                let what = "a packet before the connection was up";
                self.violated(now, conn, &Violation::protocol("MQTT-3.1.0-1", what));
            }
        }
    }

    fn connect(&mut self, conn: Conn, since: u64, connect: Box<Connect>) {
        let version = connect.version;
        let user = connect.user_name.as_deref().and_then(|name| self.policy.user(name));
        let refused = match user {
            // 3.1.1 has no room for what an answer must tell.
            _ if version == Version::V311 => Some(ReasonCode::UnsupportedProtocol),
            _ if self.stopping => Some(ReasonCode::ServerShuttingDown),
            _ if connect.properties.authentication_method.is_some() => {
                Some(ReasonCode::BadAuthenticationMethod)
            }
            None => Some(ReasonCode::BadUserNameOrPassword),
            Some(user) if connect.client_id.is_empty() || !user.may_be(&connect.client_id) => {
                Some(ReasonCode::ClientIdNotValid)
            }
            _ if connect.will.as_ref().is_some_and(|w| w.retain) => Some(ReasonCode::RetainNotSupported),
            _ => None,
        };
        // A server that goes is no reason of a CONNACK's table; it is unavailable.
        let refused = refused
            .map(|r| if r == ReasonCode::ServerShuttingDown { ReasonCode::ServerUnavailable } else { r });
        if let Some(reason) = refused {
            return self.turn_away(conn, version, reason);
        }
        let hash = user.map(|u| u.password.clone()).unwrap_or_default();
        let password = connect.password.clone().unwrap_or_default();
        self.links.insert(conn, Link::Checking { since, connect, early: Vec::new() });
        self.acts.push(Act::Verify(conn, password, hash));
    }

    /// The password of a connection was checked.
    pub fn verified(&mut self, now: u64, conn: Conn, yes: bool) {
        let Some(Link::Checking { connect, early, .. }) = self.links.remove(&conn) else { return };
        if !yes {
            return self.turn_away(conn, connect.version, ReasonCode::BadUserNameOrPassword);
        }
        let client = connect.client_id.clone();
        if !self.sessions.contains_key(&client) && self.sessions.len() >= self.rules.sessions && !self.evict()
        {
            return self.turn_away(conn, connect.version, ReasonCode::QuotaExceeded);
        }
        // One session has one connection: the later one takes it over [MQTT-3.1.4-3].
        if let Some(old) = self.sessions.get(&client).and_then(|s| s.conn) {
            self.end(now, old, ReasonCode::SessionTakenOver);
        }
        let rules = &self.rules;
        let user = connect.user_name.clone().unwrap_or_default();
        let rate = self.policy.user(&user).map_or((0.0, 0.0), |u| u.client_rate);
        let expiry = connect.properties.session_expiry.unwrap_or(0).min(rules.session_expiry);
        let kept = self.sessions.remove(&client).filter(|s| {
            // A will that is due comes first; a session of another user's is none of this one's.
            !connect.clean_start && s.user == user && now < s.gone_at + u64::from(s.expiry) * 1_000_000
        });
        let present = kept.is_some();
        let mut session = kept.unwrap_or_else(|| Session {
            conn: None,
            user: user.clone(),
            inbound: Inbound::new(rules.receive_maximum, ALIASES),
            outbound: Outbound::new(rules.waiting),
            filters: Vec::new(),
            expiry,
            gone_at: now,
            will: None,
            will_at: None,
            bucket: Bucket::new(now, rate.0, rate.1),
            calls: BTreeMap::new(),
            answered: BTreeMap::new(),
            order: VecDeque::new(),
        });
        session.conn = Some(conn);
        (session.expiry, session.will, session.will_at) = (expiry, connect.will.clone(), None);
        session.inbound.connected(present);
        let theirs = &connect.properties;
        let (window, aliases) =
            (theirs.receive_maximum.unwrap_or(u16::MAX), theirs.topic_alias_maximum.unwrap_or(0));
        session.outbound.connected(present, window, aliases);
        // What came on the connection before is unacknowledged, and comes again.
        for number in session.calls.values() {
            if let Some(request) = self.requests.get_mut(number) {
                request.packets.clear();
            }
        }
        let capped = connect.keep_alive == 0 || connect.keep_alive > rules.keep_alive;
        let keep_alive = if capped { rules.keep_alive } else { connect.keep_alive };
        let properties = Properties {
            session_expiry: (expiry != theirs.session_expiry.unwrap_or(0)).then_some(expiry),
            receive_maximum: Some(rules.receive_maximum),
            maximum_packet: Some(rules.maximum_packet),
            topic_alias_maximum: Some(ALIASES),
            server_keep_alive: capped.then_some(keep_alive),
            retain_available: Some(false),
            subscription_ids_available: Some(false),
            shared_available: Some(false),
            ..Properties::default()
        };
        let connack = Connack { session_present: present, reason: ReasonCode::Success, properties };
        self.acts.push(Act::Send(conn, Box::new(Packet::Connack(Box::new(connack))), Version::V5));
        self.sessions.insert(client.clone(), session);
        let keep_alive = u64::from(keep_alive) * 1_500_000;
        self.links.insert(conn, Link::Up { client: client.clone(), heard: now, keep_alive });
        self.pump(&client);
        early.into_iter().for_each(|packet| self.received(now, conn, packet));
    }

    /// Makes room by the session that has been away for longest.
    fn evict(&mut self) -> bool {
        let away = self.sessions.iter().filter(|(_, s)| s.conn.is_none() && s.calls.is_empty());
        let Some(oldest) = away.min_by_key(|(_, s)| s.gone_at).map(|(client, _)| client.clone()) else {
            return false;
        };
        self.drop_session(&oldest);
        true
    }

    fn drop_session(&mut self, client: &str) {
        if let Some(session) = self.sessions.remove(client) {
            self.counts.lost += session.outbound.queued_and_in_flight().0 as u64;
        }
    }

    fn send(&mut self, client: &str, packets: impl IntoIterator<Item = Packet>) {
        let Some(conn) = self.sessions.get(client).and_then(|s| s.conn) else { return };
        self.acts.extend(packets.into_iter().map(|p| Act::Send(conn, Box::new(p), Version::V5)));
    }

    /// Sends what waits, as much as the station takes.
    fn pump(&mut self, client: &str) {
        let mut out = Vec::new();
        if let Some(session) = self.sessions.get_mut(client) {
            while let Some(packet) = session.outbound.next_packet() {
                out.push(packet);
            }
        }
        self.send(client, out);
    }

    // ---- Packets ----

    fn packet(&mut self, now: u64, conn: Conn, client: &str, packet: Packet) -> Result<(), Violation> {
        let Some(session) = self.sessions.get_mut(client) else { return Ok(()) };
        match packet {
            Packet::Publish(publish) => self.published(now, client, *publish)?,
            Packet::Puback(ack) => {
                session.outbound.puback(&ack)?;
                self.pump(client);
            }
            Packet::Pubrec(ack) => {
                let (answer, _) = session.outbound.pubrec(&ack)?;
                self.send(client, answer);
                self.pump(client);
            }
            Packet::Pubcomp(ack) => {
                session.outbound.pubcomp(&ack)?;
                self.pump(client);
            }
            Packet::Pubrel(ack) => {
                let answer = session.inbound.pubrel(&ack);
                self.send(client, [answer]);
            }
            Packet::Subscribe(subscribe) => self.subscribe(client, &subscribe),
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
                        let what = "a session expiry at the end that was 0 at the start";
                        return Err(Violation::protocol("MQTT 3.14.2.2.2", what));
                    }
                    session.expiry = expiry.min(self.rules.session_expiry);
                }
                if closing.reason != ReasonCode::DisconnectWithWill {
                    session.will = None;
                }
                self.acts.push(Act::Close(conn));
                self.lost(now, conn);
            }
            // Only servers send these, or nothing asked for them [MQTT-3.1.0-2].
            _ => return Err(Violation::protocol("MQTT-3.1.0-2", "a packet that has no place here")),
        }
        Ok(())
    }

    fn subscribe(&mut self, client: &str, subscribe: &Subscribe) {
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
            // A subscription by the same filter takes the place of the one before [MQTT-3.8.4-3].
            session.filters.retain(|(f, _)| *f != filter);
            if session.filters.len() >= MOST_FILTERS {
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

    fn published(&mut self, now: u64, client: &str, mut publish: Publish) -> Result<(), Violation> {
        let Some(session) = self.sessions.get_mut(client) else { return Ok(()) };
        if publish.retain {
            let (statement, what) = ("MQTT-3.2.2-14", "a message to be kept, which is not done here");
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
        self.trigger(now, client, publish);
        Ok(())
    }

    /// A message that is to be served, or told why not.
    fn trigger(&mut self, now: u64, client: &str, publish: Publish) {
        let Some(session) = self.sessions.get_mut(client) else { return };
        self.counts.triggers += 1;
        let user = self.policy.user(&session.user);
        let fields: Fields = publish.properties.user.iter().cloned().collect();
        let call: Arc<str> = fields.get("call").map_or("", String::as_str).into();
        let number = self.next;
        self.next += 1;
        let request = Request {
            client: client.to_string(),
            call: call.clone(),
            packets: if publish.packet_id > 0 { vec![publish.packet_id] } else { Vec::new() },
            response: publish.properties.response_topic.clone(),
            correlation: publish.properties.correlation.clone(),
        };
        // Under way: the one answer goes to this delivery too.
        if let Some(known) = session.calls.get(&call).and_then(|number| self.requests.get_mut(number)) {
            self.counts.duplicates += 1;
            known.packets.extend(request.packets);
            return;
        }
        if let Some(outcome) =
            session.answered.get(&call).filter(|_| publish.dup || publish.packet_id == 0).cloned()
        {
            self.counts.duplicates += 1;
            return self.tell(request, outcome);
        }
        let refuse = |reason: ReasonCode, why: &str| Outcome {
            reason,
            told: vec![pair("status", "failed"), pair("why", why)],
            body: Vec::new(),
        };
        let sketch = match ParsedRequest::read(&fields) {
            Ok(sketch) => sketch,
            Err(invalid) => {
                let mut outcome = refuse(ReasonCode::PayloadFormatInvalid, invalid.why);
                outcome.told.push(pair("field", invalid.field));
                return self.tell(request, outcome);
            }
        };
        let may = |u: &User| {
            u.may_publish(client, &publish.topic) && u.may_ask(&sketch.class, sketch.tenant.as_deref())
        };
        if !user.is_some_and(may) {
            return self
                .tell(request, refuse(ReasonCode::NotAuthorized, "may not be asked for by this client"));
        }
        let rate = user.map_or((0.0, 0.0), |u| u.user_rate);
        let shared =
            self.users.entry(session.user.clone()).or_insert_with(|| Bucket::new(now, rate.0, rate.1));
        let wait = session.bucket.wait(now).max(shared.wait(now));
        if self.stopping || wait > 0 {
            self.counts.limited += u64::from(wait > 0);
            let after = if self.stopping { self.rules.pushback } else { wait };
            return self.tell(request, refused(after));
        }
        session.bucket.take();
        shared.take();
        session.calls.insert(call, number);
        self.requests.insert(number, request);
        self.acts.push(Act::Serve { number, sketch, body: publish.payload, again: publish.dup });
    }

    /// The core's final answer to a request.
    pub fn answered(&mut self, number: i64, answer: FinalAnswer) {
        let outcome = match answer {
            FinalAnswer::Served(body) => {
                Outcome { reason: ReasonCode::Success, told: vec![pair("status", "served")], body }
            }
            FinalAnswer::Refused(after) => refused(after),
            FinalAnswer::Failed(why) => Outcome {
                reason: ReasonCode::Implementation,
                told: vec![pair("status", "failed"), pair("why", why)],
                body: Vec::new(),
            },
        };
        self.settle(number, outcome);
    }

    /// A request has a field that can't be used.
    pub fn invalid(&mut self, number: i64, invalid: &Invalid) {
        let told = vec![pair("status", "failed"), pair("field", invalid.field), pair("why", invalid.why)];
        self.settle(number, Outcome { reason: ReasonCode::PayloadFormatInvalid, told, body: Vec::new() });
    }

    fn settle(&mut self, number: i64, outcome: Outcome) {
        let Some(request) = self.requests.remove(&number) else { return };
        let Some(session) = self.sessions.get_mut(&request.client) else {
            self.counts.lost += 1;
            return;
        };
        session.calls.remove(&request.call);
        // A refusal never ran: a repeat of it is a new request.
        if outcome.told.first().is_some_and(|(_, status)| status != "refused") {
            let mut kept = outcome.clone();
            if kept.body.len() > MOST_KEPT_BODY {
                kept.body.clear();
                kept.told.push(pair("body", "not kept"));
            }
            if session.answered.insert(request.call.clone(), kept).is_none() {
                session.order.push_back(request.call.clone());
            }
            while session.order.len() > MOST_ANSWERED {
                if let Some(old) = session.order.pop_front() {
                    session.answered.remove(&old);
                }
            }
        }
        self.tell(request, outcome);
    }

    /// Gives a station its final answer: with the acknowledgement, and on its response topic if it listens there.
    fn tell(&mut self, request: Request, outcome: Outcome) {
        let client = request.client;
        let Some(session) = self.sessions.get_mut(&client) else {
            self.counts.lost += 1;
            return;
        };
        let mut user = vec![pair("call", &request.call)];
        user.extend(outcome.told);
        let mut out = Vec::new();
        for id in &request.packets {
            let properties = Properties { user: user.clone(), ..Properties::default() };
            out.extend(session.inbound.acknowledge(*id, outcome.reason, properties));
        }
        let listens = |topic: &String| {
            session.filters.iter().filter(|(f, _)| f.matches(topic)).map(|(_, qos)| *qos).max()
        };
        let mut told = !request.packets.is_empty();
        if let Some((topic, qos)) = request.response.and_then(|t| listens(&t).map(|qos| (t, qos))) {
            let properties = Properties {
                correlation: request.correlation,
                message_expiry: Some(ANSWER_EXPIRY),
                user,
                ..Properties::default()
            };
            let publish = Publish { qos, topic, properties, payload: outcome.body, ..Publish::default() };
            told |= session.outbound.publish(publish).is_ok();
        }
        *(if told { &mut self.counts.answers } else { &mut self.counts.lost }) += 1;
        self.send(&client, out);
        self.pump(&client);
    }

    // ---- Time ----

    /// Takes nothing more; what was taken is still answered.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Tells every station that the server goes.
    pub fn leave(&mut self, now: u64) {
        let up: Vec<Conn> = self.links.keys().copied().collect();
        for conn in up {
            if matches!(self.links.get(&conn), Some(Link::Up { .. })) {
                self.end(now, conn, ReasonCode::ServerShuttingDown);
            }
        }
    }

    /// When `advance` next has something to do.
    pub fn due(&self) -> u64 {
        let links = self.links.values().map(|link| match link {
            Link::New { since } | Link::Checking { since, .. } => since + UNKNOWN,
            Link::Up { heard, keep_alive, .. } => heard + keep_alive,
        });
        let away = self.sessions.values().filter(|s| s.conn.is_none());
        let sessions =
            away.map(|s| (s.gone_at + u64::from(s.expiry) * 1_000_000).min(s.will_at.unwrap_or(u64::MAX)));
        links.chain(sessions).min().unwrap_or(u64::MAX)
    }

    /// Ends what is silent, and sessions whose time is over; publishes wills that are due.
    pub fn advance(&mut self, now: u64) {
        let mut silent = Vec::new();
        for (conn, link) in &self.links {
            match link {
                Link::New { since } | Link::Checking { since, .. } if now >= since + UNKNOWN => {
                    silent.push((*conn, None));
                }
                Link::Up { heard, keep_alive, .. } if now >= heard + keep_alive => {
                    silent.push((*conn, Some(ReasonCode::KeepAliveTimeout)));
                }
                _ => {}
            }
        }
        for (conn, reason) in silent {
            match reason {
                Some(reason) => self.end(now, conn, reason),
                None => {
                    self.links.remove(&conn);
                    self.acts.push(Act::Close(conn));
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
                self.trigger(now, &client, publish);
            }
        }
        // Requests of a session that is over are answered to nobody, but its calls are not lost sight of before.
        let over = |s: &&Session| s.conn.is_none() && now >= s.gone_at + u64::from(s.expiry) * 1_000_000;
        let over: BTreeSet<String> = self
            .sessions
            .iter()
            .filter(|(_, s)| over(s) && s.calls.is_empty())
            .map(|(c, _)| c.clone())
            .collect();
        over.iter().for_each(|client| self.drop_session(client));
    }
}

/// A refusal, with the time after which to come back.
fn refused(after: u64) -> Outcome {
    let ms = after.div_ceil(1000).to_string();
    Outcome {
        reason: ReasonCode::QuotaExceeded,
        told: vec![pair("status", "refused"), pair("pushback", &ms)],
        body: Vec::new(),
    }
}

#[cfg(test)]
mod tests;
