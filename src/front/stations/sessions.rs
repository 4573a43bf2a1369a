//! The stations' sessions, without I/O: connections, subscriptions, open requests and queued answers. The input is packets,
//! results of password checks, final answers and the time; the output is a list of [`Action`]s. [`Rules`] bounds the
//! sessions and what each may hold.
//!
//! A message at QoS 1 or 2 is acknowledged when its final answer is known, and the acknowledgement's user properties carry
//! the answer; if the message has a response topic that its session subscribes to, the answer is published there too.
//! Until then the message stays unacknowledged, so that a station whose connection breaks sends it again: either to this
//! process, which continues the request or repeats the remembered answer, or to another, which treats it as one that may
//! already have run.

mod calls;
mod expiry;
mod login;
mod reports;
mod requests;
mod subscriptions;

use super::policy::Policy;
use super::quota::Bucket;
use crate::front::{Delivery, ParsedRequest};
use calls::{CallLogs, Owner};
use ochreward_mqtt::delivery::{Inbound, Outbound};
use ochreward_mqtt::packet::{Connack, Connect, DisconnectOrAuth, Packet, Version, Will};
use ochreward_mqtt::topic::TopicFilter;
use ochreward_mqtt::{Properties, Qos, ReasonCode, Violation};
use requests::{Outcome, Request};
use std::collections::BTreeMap;

pub use reports::CallReport;

/// The id of a connection.
pub type ConnId = usize;

/// The topic alias maximum announced to stations.
const TOPIC_ALIAS_MAXIMUM: u16 = 16;
/// Subscriptions per session.
const MAX_FILTERS: usize = 32;
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
        /// When the station sent it, as far as known.
        delivery: Delivery,
        /// Set if the limits don't allow it to run: the delay after which the station may retry, in microseconds.
        refuse_after: Option<u64>,
    },
    /// Log what became of a call that was delivered more than once.
    Report(CallReport),
}

/// Counts of events since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Triggers received.
    pub triggers: u64,
    /// Triggers whose request was already running or answered.
    pub duplicates: u64,
    /// Triggers marked as delivered before whose call is not known here.
    pub repeats: u64,
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

/// A client's session, which may outlive its connection.
struct Session {
    /// Tells the session from others of the same client.
    serial: u64,
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
}

impl Session {
    fn owner(&self, client: &str) -> Owner {
        Owner { client: client.to_string(), user: self.user.clone() }
    }
}

/// All sessions.
pub struct Sessions {
    rules: Rules,
    policy: Policy,
    connections: BTreeMap<ConnId, ConnState>,
    sessions: BTreeMap<String, Session>,
    user_buckets: BTreeMap<String, Bucket>,
    requests: BTreeMap<i64, Request>,
    calls: CallLogs,
    next_number: i64,
    next_session: u64,
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
        let calls = CallLogs::new(rules.sessions);
        Sessions {
            rules,
            policy,
            connections: BTreeMap::new(),
            sessions: BTreeMap::new(),
            user_buckets: BTreeMap::new(),
            requests: BTreeMap::new(),
            calls,
            next_number: 1,
            next_session: 1,
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

    /// Handles a packet from a station. `unix_ms` is the time of the wall clock, in Unix milliseconds.
    pub fn packet_received(&mut self, now: u64, unix_ms: u64, conn: ConnId, packet: Packet) {
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
                if let Err(violation) = self.handle_packet(now, unix_ms, conn, &client, packet) {
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
        unix_ms: u64,
        conn: ConnId,
        client: &str,
        packet: Packet,
    ) -> Result<(), Violation> {
        let Some(session) = self.sessions.get_mut(client) else { return Ok(()) };
        match packet {
            Packet::Publish(publish) => self.handle_publish(now, unix_ms, client, *publish)?,
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
            Packet::Unsubscribe(unsubscribe) => self.handle_unsubscribe(client, &unsubscribe),
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
}

#[cfg(test)]
mod tests;
