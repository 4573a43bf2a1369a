//! The stations' sessions, without I/O: who is connected, what each message of theirs comes to, and which answers are
//! kept for whom. Told of packets, verdicts on passwords, final answers and time, it leaves [`Act`]s.
//!
//! A message at QoS 1 or 2 is acknowledged when its final answer is known, and carries it in the acknowledgement's
//! user properties; where the message has a response topic that its session subscribes to, the answer is published
//! there too. Until then it stays unacknowledged, so that a station whose connection breaks sends it again: to this process,
//! which goes on with it or tells the answer it remembers, or to another, which takes it for one that may have run.

use super::policy::{Policy, User};
use super::quota::Bucket;
use crate::core::Final;
use crate::front::{Fields, Invalid, Sketch};
use ochreward_mqtt::delivery::{Inbound, Outbound, Taken};
use ochreward_mqtt::packet::{Closing, Connack, Connect, Packet, Publish, Suback, Subscribe, Version, Will};
use ochreward_mqtt::topic::Filter;
use ochreward_mqtt::{Properties, Qos, Reason, Violation};
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
        sketch: Sketch,
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
    reason: Reason,
    told: Vec<(String, String)>,
    body: Vec<u8>,
}

struct Session {
    conn: Option<Conn>,
    user: String,
    inbound: Inbound,
    outbound: Outbound,
    filters: Vec<(Filter, Qos)>,
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
        conns.into_iter().for_each(|conn| self.end(now, conn, Reason::NotAuthorized));
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
    fn end(&mut self, now: u64, conn: Conn, reason: Reason) {
        let closing = Packet::Disconnect(Closing { reason, properties: Properties::default() });
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
            Some(_) if violation.reason == Reason::UnsupportedProtocol => {
                self.turn_away(conn, Version::V5, violation.reason);
            }
            _ => {
                self.links.remove(&conn);
                self.acts.push(Act::Close(conn));
            }
        }
    }

    fn turn_away(&mut self, conn: Conn, version: Version, reason: Reason) {
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
        let user = connect.user.as_deref().and_then(|name| self.policy.user(name));
        let refused = match user {
            // 3.1.1 has no room for what an answer must tell.
            _ if version == Version::V311 => Some(Reason::UnsupportedProtocol),
            _ if self.stopping => Some(Reason::ServerShuttingDown),
            _ if connect.properties.authentication_method.is_some() => Some(Reason::BadAuthenticationMethod),
            None => Some(Reason::BadLogin),
            Some(user) if connect.client_id.is_empty() || !user.may_be(&connect.client_id) => {
                Some(Reason::ClientIdNotValid)
            }
            _ if connect.will.as_ref().is_some_and(|w| w.retain) => Some(Reason::RetainNotSupported),
            _ => None,
        };
        // A server that goes is no reason of a CONNACK's table; it is unavailable.
        let refused =
            refused.map(|r| if r == Reason::ServerShuttingDown { Reason::ServerUnavailable } else { r });
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
            return self.turn_away(conn, connect.version, Reason::BadLogin);
        }
        let client = connect.client_id.clone();
        if !self.sessions.contains_key(&client) && self.sessions.len() >= self.rules.sessions && !self.evict()
        {
            return self.turn_away(conn, connect.version, Reason::QuotaExceeded);
        }
        // One session has one connection: the later one takes it over [MQTT-3.1.4-3].
        if let Some(old) = self.sessions.get(&client).and_then(|s| s.conn) {
            self.end(now, old, Reason::SessionTakenOver);
        }
        let rules = &self.rules;
        let user = connect.user.clone().unwrap_or_default();
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
        let connack = Connack { session_present: present, reason: Reason::Success, properties };
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
            self.counts.lost += session.outbound.load().0 as u64;
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
            while let Some(packet) = session.outbound.take_packet() {
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
                        Reason::Success
                    } else {
                        Reason::NoSubscriptionExisted
                    }
                };
                let reasons = unsubscribe.filters.iter().map(remove).collect();
                let unsuback = Suback { id: unsubscribe.id, properties: Properties::default(), reasons };
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
                if closing.reason != Reason::DisconnectWithWill {
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
            let filter = match Filter::read(&wanted.filter) {
                _ if !subscribe.properties.subscription_ids.is_empty() => {
                    reasons.push(Reason::SubscriptionIdsNotSupported);
                    continue;
                }
                Err(violation) => {
                    reasons.push(violation.reason);
                    continue;
                }
                Ok(filter) if filter.share.is_some() => {
                    reasons.push(Reason::SharedNotSupported);
                    continue;
                }
                Ok(filter) => filter,
            };
            if !user.is_some_and(|u| u.may_subscribe(client, &filter.filter)) {
                reasons.push(Reason::NotAuthorized);
                continue;
            }
            // A subscription by the same filter takes the place of the one before [MQTT-3.8.4-3].
            session.filters.retain(|(f, _)| *f != filter);
            if session.filters.len() >= MOST_FILTERS {
                reasons.push(Reason::QuotaExceeded);
                continue;
            }
            session.filters.push((filter, wanted.qos));
            reasons.push(match wanted.qos {
                Qos::AtMostOnce => Reason::Success,
                Qos::AtLeastOnce => Reason::GrantedQos1,
                Qos::ExactlyOnce => Reason::GrantedQos2,
            });
        }
        let suback = Suback { id: subscribe.id, properties: Properties::default(), reasons };
        self.send(client, [Packet::Suback(suback)]);
    }

    fn published(&mut self, now: u64, client: &str, mut publish: Publish) -> Result<(), Violation> {
        let Some(session) = self.sessions.get_mut(client) else { return Ok(()) };
        if publish.retain {
            let (statement, what) = ("MQTT-3.2.2-14", "a message to be kept, which is not done here");
            return Err(Violation { reason: Reason::RetainNotSupported, statement, what });
        }
        match session.inbound.publish(&mut publish)? {
            Taken::New => {}
            Taken::Pending => return Ok(()),
            Taken::Again(answer) => {
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
            packets: if publish.id > 0 { vec![publish.id] } else { Vec::new() },
            response: publish.properties.response_topic.clone(),
            correlation: publish.properties.correlation.clone(),
        };
        // Under way: the one answer goes to this delivery too.
        if let Some(known) = session.calls.get(&call).and_then(|number| self.requests.get_mut(number)) {
            self.counts.duplicates += 1;
            known.packets.extend(request.packets);
            return;
        }
        if let Some(outcome) = session.answered.get(&call).filter(|_| publish.dup || publish.id == 0).cloned()
        {
            self.counts.duplicates += 1;
            return self.tell(request, outcome);
        }
        let refuse = |reason: Reason, why: &str| Outcome {
            reason,
            told: vec![pair("status", "failed"), pair("why", why)],
            body: Vec::new(),
        };
        let sketch = match Sketch::read(&fields) {
            Ok(sketch) => sketch,
            Err(invalid) => {
                let mut outcome = refuse(Reason::PayloadFormatInvalid, invalid.why);
                outcome.told.push(pair("field", invalid.field));
                return self.tell(request, outcome);
            }
        };
        let may = |u: &User| {
            u.may_publish(client, &publish.topic) && u.may_ask(&sketch.class, sketch.tenant.as_deref())
        };
        if !user.is_some_and(may) {
            return self.tell(request, refuse(Reason::NotAuthorized, "may not be asked for by this client"));
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
    pub fn answered(&mut self, number: i64, answer: Final) {
        let outcome = match answer {
            Final::Served(body) => {
                Outcome { reason: Reason::Success, told: vec![pair("status", "served")], body }
            }
            Final::Refused(after) => refused(after),
            Final::Failed(why) => Outcome {
                reason: Reason::Implementation,
                told: vec![pair("status", "failed"), pair("why", why)],
                body: Vec::new(),
            },
        };
        self.settle(number, outcome);
    }

    /// A request has a field that can't be used.
    pub fn invalid(&mut self, number: i64, invalid: &Invalid) {
        let told = vec![pair("status", "failed"), pair("field", invalid.field), pair("why", invalid.why)];
        self.settle(number, Outcome { reason: Reason::PayloadFormatInvalid, told, body: Vec::new() });
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
            out.extend(session.inbound.settle(*id, outcome.reason, properties));
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
                self.end(now, conn, Reason::ServerShuttingDown);
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
                    silent.push((*conn, Some(Reason::KeepAliveTimeout)));
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
        reason: Reason::QuotaExceeded,
        told: vec![pair("status", "refused"), pair("pushback", &ms)],
        body: Vec::new(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: u64 = 1_000_000;

    struct Bench {
        it: Sessions,
        now: u64,
        sent: BTreeMap<Conn, Vec<Packet>>,
        closed: BTreeSet<Conn>,
        serves: Vec<(i64, Sketch, bool)>,
    }

    fn bench(more: &str) -> Bench {
        let text = format!(
            "[user.u]\npassword = \"$argon2id$\"\npublish = [\"in/{{client}}/#\"]\nsubscribe = [\"out/{{client}}/#\"]\n{more}"
        );
        let rules = Rules {
            receive_maximum: 4,
            maximum_packet: 65_536,
            keep_alive: 60,
            session_expiry: 100,
            sessions: 3,
            waiting: 4,
            pushback: 500_000,
        };
        let it = Sessions::new(rules, Policy::read(&text).expect("a policy"));
        Bench { it, now: SECOND, sent: BTreeMap::new(), closed: BTreeSet::new(), serves: Vec::new() }
    }

    fn connect(client: &str, expiry: u32) -> Connect {
        Connect {
            version: Version::V5,
            clean_start: false,
            keep_alive: 10,
            properties: Properties { session_expiry: Some(expiry), ..Properties::default() },
            client_id: client.into(),
            will: None,
            user: Some("u".into()),
            password: Some(b"p".to_vec()),
        }
    }

    fn trigger(id: u16, call: u64, class: &str) -> Publish {
        let fields = [
            pair("op", class),
            pair("call", &format!("{call:016x}")),
            pair("row", "7f3a9c21e0b4d655"),
            pair("ttl", "1000"),
        ];
        let properties = Properties {
            user: fields.to_vec(),
            response_topic: Some("out/a/answers".into()),
            correlation: Some(vec![7]),
            ..Properties::default()
        };
        let qos = if id == 0 { Qos::AtMostOnce } else { Qos::AtLeastOnce };
        Publish { id, qos, topic: "in/a/x".into(), properties, ..Publish::default() }
    }

    impl Bench {
        fn carry(&mut self) {
            while !self.it.acts.is_empty() {
                for act in std::mem::take(&mut self.it.acts) {
                    match act {
                        Act::Send(conn, packet, version) => {
                            assert!(packet.encode(version, 65_536).is_ok(), "{packet:?}");
                            self.sent.entry(conn).or_default().push(*packet);
                        }
                        Act::Close(conn) => drop(self.closed.insert(conn)),
                        Act::Verify(conn, password, _) => self.it.verified(self.now, conn, password == b"p"),
                        Act::Serve { number, sketch, again, .. } => self.serves.push((number, sketch, again)),
                    }
                }
            }
        }

        fn send(&mut self, conn: Conn, packet: Packet) -> Vec<Packet> {
            self.it.received(self.now, conn, packet);
            self.carry();
            self.sent.remove(&conn).unwrap_or_default()
        }

        fn connect(&mut self, conn: Conn, connect: Connect) -> Option<Connack> {
            self.it.accepted(self.now, conn);
            let sent = self.send(conn, Packet::Connect(Box::new(connect)));
            match sent.into_iter().next() {
                Some(Packet::Connack(connack)) => Some(*connack),
                _ => None,
            }
        }

        fn publish(&mut self, conn: Conn, publish: Publish) -> Vec<Packet> {
            self.send(conn, Packet::Publish(Box::new(publish)))
        }

        fn subscribe(&mut self, conn: Conn, filters: &[&str]) -> Vec<Reason> {
            let of = |f: &&str| ochreward_mqtt::packet::Subscription {
                filter: f.to_string(),
                qos: Qos::AtLeastOnce,
                ..Default::default()
            };
            let subscribe =
                Subscribe { id: 9, subscriptions: filters.iter().map(of).collect(), ..Subscribe::default() };
            match self.send(conn, Packet::Subscribe(subscribe)).pop() {
                Some(Packet::Suback(suback)) => suback.reasons,
                other => panic!("{other:?}"),
            }
        }

        fn answer(&mut self, conn: Conn, number: i64, answer: Final) -> Vec<Packet> {
            self.it.answered(number, answer);
            self.carry();
            self.sent.remove(&conn).unwrap_or_default()
        }

        fn pass(&mut self, time: u64) {
            self.now += time;
            self.it.advance(self.now);
            self.carry();
        }
    }

    fn told(packet: &Packet, name: &str) -> Option<String> {
        let properties = match packet {
            Packet::Puback(ack) | Packet::Pubrec(ack) => &ack.properties,
            Packet::Publish(publish) => &publish.properties,
            _ => return None,
        };
        properties.user(name).map(str::to_string)
    }

    #[test]
    fn a_trigger_is_acknowledged_with_its_answer_and_answered_where_the_station_listens() {
        let mut b = bench("");
        assert!(
            b.connect(1, connect("a", 100))
                .is_some_and(|c| c.reason == Reason::Success && !c.session_present)
        );
        assert_eq!(
            b.subscribe(1, &["out/a/#", "out/b/#", "a#", "$share/g/out/a/x"]),
            [
                Reason::GrantedQos1,
                Reason::NotAuthorized,
                Reason::TopicFilterInvalid,
                Reason::SharedNotSupported
            ]
        );
        assert_eq!(b.publish(1, trigger(5, 1, "flow-read")), []);
        let (number, sketch, again) = b.serves[0].clone();
        assert!(&*sketch.call == "0000000000000001" && !again);
        let sent = b.answer(1, number, Final::Served(b"body".to_vec()));
        assert!(matches!(&sent[0], Packet::Puback(a) if a.id == 5 && a.reason == Reason::Success));
        assert_eq!(told(&sent[0], "status").as_deref(), Some("served"));
        let Packet::Publish(answer) = &sent[1] else { panic!("{sent:?}") };
        assert_eq!((answer.topic.as_str(), &answer.payload[..]), ("out/a/answers", &b"body"[..]));
        assert_eq!(answer.properties.correlation, Some(vec![7]));
        assert_eq!(b.it.counts.answers, 1);
    }

    #[test]
    fn a_broken_connection_costs_no_answer_and_runs_nothing_twice() {
        let mut b = bench("");
        b.connect(1, connect("a", 100));
        b.subscribe(1, &["out/a/#"]);
        b.publish(1, trigger(5, 1, "alert-send"));
        let number = b.serves[0].0;
        b.it.lost(b.now, 1);
        // It comes back while the request is under way, and sends the message again.
        assert!(b.connect(2, connect("a", 100)).is_some_and(|c| c.session_present));
        assert_eq!(b.publish(2, Publish { dup: true, ..trigger(5, 1, "alert-send") }), []);
        b.it.lost(b.now, 2);
        assert_eq!(b.answer(2, number, Final::Served(Vec::new())), []);
        // It was answered while the station was away: the answer waits, and the repeat is told it again.
        b.it.accepted(b.now, 3);
        let sent = b.send(3, Packet::Connect(Box::new(connect("a", 100))));
        assert!(matches!(&sent[1], Packet::Publish(p) if p.topic == "out/a/answers"), "{sent:?}");
        let sent = b.publish(3, Publish { dup: true, ..trigger(5, 1, "alert-send") });
        assert_eq!(told(&sent[0], "status").as_deref(), Some("served"));
        assert_eq!((b.serves.len(), b.it.counts.duplicates), (1, 2));
    }

    #[test]
    fn a_repeat_that_this_process_does_not_know_may_have_run_elsewhere() {
        let mut b = bench("");
        b.connect(1, connect("a", 0));
        b.publish(1, Publish { dup: true, ..trigger(1, 1, "alert-send") });
        assert!(b.serves[0].2);
    }

    #[test]
    fn who_may_not_is_told_so_by_the_reason_that_fits() {
        let mut b = bench("classes = [\"flow-read\"]\nclients = [\"a\", \"b*\"]");
        let reason = |b: &mut Bench, conn, connect| b.connect(conn, connect).map(|c| c.reason);
        let base = || connect("a", 0);
        assert_eq!(
            reason(&mut b, 1, Connect { password: Some(b"x".to_vec()), ..base() }),
            Some(Reason::BadLogin)
        );
        assert_eq!(reason(&mut b, 2, Connect { user: Some("v".into()), ..base() }), Some(Reason::BadLogin));
        assert_eq!(reason(&mut b, 3, connect("c", 0)), Some(Reason::ClientIdNotValid));
        let old = Connect { version: Version::V311, properties: Properties::default(), ..base() };
        assert_eq!(reason(&mut b, 4, old), Some(Reason::UnsupportedProtocol));
        assert!((1..=4).all(|conn| b.closed.contains(&conn)));
        assert_eq!(reason(&mut b, 5, base()), Some(Reason::Success));
        let refusals = [
            (trigger(1, 1, "alert-send"), Reason::NotAuthorized),
            (Publish { topic: "in/b/x".into(), ..trigger(2, 2, "flow-read") }, Reason::NotAuthorized),
            (
                Publish { properties: Properties::default(), ..trigger(3, 3, "flow-read") },
                Reason::PayloadFormatInvalid,
            ),
        ];
        for (publish, reason) in refusals {
            let sent = b.publish(5, publish);
            assert!(matches!(&sent[..], [Packet::Puback(ack)] if ack.reason == reason), "{sent:?}");
        }
        assert!(b.serves.is_empty());
        // Another connection takes the session over; anything before a CONNECT, and a second one, end it.
        b.connect(6, base());
        let sent = b.sent.remove(&5).unwrap_or_default();
        assert!(matches!(&sent[..], [Packet::Disconnect(c)] if c.reason == Reason::SessionTakenOver));
        b.it.accepted(b.now, 7);
        b.send(7, Packet::Pingreq);
        let sent = b.send(6, Packet::Connect(Box::new(base())));
        assert!(matches!(&sent[..], [Packet::Disconnect(c)] if c.reason == Reason::ProtocolError));
        assert!(b.closed.contains(&7) && b.closed.contains(&6));
    }

    #[test]
    fn quotas_refuse_with_a_time_to_come_back() {
        let mut b = bench("client_rate = 2\nclient_burst = 2\nuser_rate = 100\nuser_burst = 3");
        b.connect(1, connect("a", 0));
        b.publish(1, trigger(1, 1, "flow-read"));
        b.publish(1, trigger(2, 2, "flow-read"));
        assert_eq!(b.publish(1, trigger(3, 3, "flow-read")), [], "answers keep the order of their messages");
        let first = b.answer(1, 1, Final::Refused(250_000));
        assert_eq!(told(&first[0], "pushback").as_deref(), Some("250"));
        let rest = b.answer(1, 2, Final::Failed("why not"));
        assert_eq!((told(&rest[0], "why"), rest.len()), (Some("why not".to_string()), 2));
        assert_eq!(told(&rest[1], "pushback").as_deref(), Some("500"));
        // What was refused never ran: its repeat is a new request.
        b.pass(SECOND);
        b.publish(1, trigger(4, 1, "flow-read"));
        assert_eq!((b.serves.len(), b.it.counts.limited), (3, 1));
    }

    #[test]
    fn sessions_end_with_their_time_and_a_silent_connection_with_its_keep_alive() {
        let mut b = bench("");
        b.connect(1, connect("a", 5));
        b.pass(14 * SECOND);
        assert!(b.it.count() == (1, 1));
        b.pass(2 * SECOND);
        let sent = b.sent.remove(&1).unwrap_or_default();
        assert!(matches!(&sent[..], [Packet::Disconnect(c)] if c.reason == Reason::KeepAliveTimeout));
        assert_eq!(b.it.count(), (1, 0));
        b.pass(5 * SECOND);
        assert_eq!(b.it.count(), (0, 0));
        // One that never says who it is goes too.
        b.it.accepted(b.now, 2);
        assert_eq!(b.it.due(), b.now + UNKNOWN);
        b.pass(UNKNOWN);
        assert!(b.closed.contains(&2));
        // The longest away makes room; with all connected, the next is refused.
        for (conn, client) in [(3, "a"), (4, "b"), (5, "c")] {
            b.connect(conn, connect(client, 50));
        }
        assert_eq!(b.connect(6, connect("d", 50)).map(|c| c.reason), Some(Reason::QuotaExceeded));
        b.it.lost(b.now, 4);
        assert_eq!(b.connect(7, connect("d", 50)).map(|c| c.reason), Some(Reason::Success));
        assert_eq!(b.it.count(), (3, 3));
    }

    #[test]
    fn a_will_is_a_trigger_unless_the_station_takes_its_leave_or_comes_back() {
        let with = |delay| {
            let publish = trigger(0, 77, "flow-read");
            let properties = Properties { will_delay: Some(delay), ..publish.properties };
            let will = Will { topic: publish.topic, properties, ..Will::default() };
            Connect { will: Some(will), ..connect("a", 50) }
        };
        let mut b = bench("");
        b.connect(1, with(3));
        b.it.lost(b.now, 1);
        b.pass(2 * SECOND);
        b.connect(2, with(3));
        b.pass(2 * SECOND);
        assert!(b.serves.is_empty(), "it came back");
        let leave = |reason| Packet::Disconnect(Closing { reason, properties: Properties::default() });
        b.send(2, leave(Reason::Success));
        b.pass(5 * SECOND);
        assert!(b.serves.is_empty(), "it took its leave");
        b.connect(3, with(0));
        b.send(3, leave(Reason::DisconnectWithWill));
        b.pass(1);
        assert_eq!(b.serves.len(), 1);
    }

    #[test]
    fn a_stop_refuses_new_triggers_at_once_and_tells_stations_when_it_goes() {
        let mut b = bench("");
        b.connect(1, connect("a", 50));
        b.publish(1, trigger(1, 1, "flow-read"));
        b.it.stop();
        assert_eq!(b.it.owed(), 1);
        b.publish(1, trigger(2, 2, "flow-read"));
        let sent = b.answer(1, 1, Final::Served(Vec::new()));
        assert_eq!(told(&sent[1], "status").as_deref(), Some("refused"));
        assert_eq!(b.connect(2, connect("b", 0)).map(|c| c.reason), Some(Reason::ServerUnavailable));
        b.it.leave(b.now);
        b.carry();
        let sent = b.sent.remove(&1).unwrap_or_default();
        assert!(matches!(&sent[..], [Packet::Disconnect(c)] if c.reason == Reason::ServerShuttingDown));
    }

    #[test]
    fn users_that_go_or_get_another_password_are_told_to_go() {
        let mut b = bench("");
        b.connect(1, connect("a", 50));
        b.it.replace(b.now, Policy::read("[user.u]\npassword = \"$argon2id$\"").expect("a policy"));
        b.carry();
        assert!(!b.closed.contains(&1));
        b.it.replace(b.now, Policy::default());
        b.carry();
        assert!(b.closed.contains(&1));
    }
}
