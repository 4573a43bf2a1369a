//! The connection to a broker and the way of each message to its one answer.

use super::options::Options;
use super::packets;
use super::records::{Message, Records, Stage};
use crate::core::{FinalAnswer, Ticket};
use crate::counters::{Counters, count};
use crate::front::{Fields, Intake, Invalid, ParsedRequest};
use crate::net::{Closed, Connection, Malformed, Poll, PollEvent, ProtocolHandler, Ring};
use ochreward_mqtt::packet::{Connack, EncodeError, Packet, Publish};
use ochreward_mqtt::{Properties, Qos, ReasonCode, Version, Violation, decode};
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

/// The first wait before a new connection; it doubles up to the last.
const BACKOFF_FIRST: u64 = 100_000;
const BACKOFF_LAST: u64 = 10_000_000;
/// A broker that does not answer a connect, a subscription or a ping for this long is given up.
const SILENT: u64 = 5_000_000;
/// An answer that the broker would not take is tried again after this long.
const RETRY: u64 = 1_000_000;

struct Speaker {
    most: usize,
    /// What the broker did against the specification: it is told before the connection ends.
    violation: Option<Violation>,
}

impl ProtocolHandler for Speaker {
    type Out = Vec<Packet>;

    fn on_received(&mut self, input: &mut Ring, out: &mut Vec<Packet>) -> Result<(), Malformed> {
        let bytes = input.contiguous();
        let mut done = 0;
        loop {
            match decode(&bytes[done..], Version::V5, self.most) {
                Ok(Some((packet, size))) => {
                    out.push(packet);
                    done += size;
                }
                Ok(None) => break,
                Err(violation) => {
                    self.violation = Some(violation);
                    return Err(Malformed(violation.description));
                }
            }
        }
        input.consume(done);
        Ok(())
    }
}

/// What a ping stands for: once it is answered, all that was asked before it has been.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ping {
    /// A sign of life.
    Life,
    /// The end of the look for this message's record.
    Record(i64),
}

/// What a broker said at connect.
#[derive(Clone, Copy, Debug)]
struct Broker {
    /// QoS 1 messages that it takes unacknowledged.
    receive_maximum: u16,
    /// The largest packet that it takes.
    maximum_packet: Option<u32>,
    /// The keep-alive that it wants, in seconds.
    keep_alive: Option<u16>,
}

/// What hangs on the connection that stands.
struct Session {
    link: Connection<Speaker>,
    /// What the broker said at connect; none before.
    broker: Option<Broker>,
    /// When something was last asked that must be answered.
    asked: Option<u64>,
    sent: u64,
    pings: VecDeque<Ping>,
    /// Subscriptions to records, by packet number.
    looks: Vec<(u16, i64)>,
    /// Messages taken and not acknowledged.
    unacknowledged: BTreeSet<u16>,
    /// Answers published and not acknowledged.
    publishing: usize,
    /// Numbers of our packets that await an answer.
    out: BTreeSet<u16>,
    next_id: u16,
}

/// The front.
pub struct Front {
    id: u8,
    options: Options,
    session: Option<Session>,
    records: Records,
    connect_at: u64,
    backoff: u64,
    retry_at: Option<u64>,
    stopping: bool,
    packets: Vec<Packet>,
    counters: Rc<Counters>,
    /// What clients asked, in order.
    pub intake: Vec<Intake>,
}

impl Front {
    /// A front that connects at its first turn.
    pub fn new(id: u8, options: Options, counters: Rc<Counters>) -> Front {
        Front {
            id,
            options,
            session: None,
            records: Records::default(),
            connect_at: 0,
            backoff: BACKOFF_FIRST,
            retry_at: None,
            stopping: false,
            packets: Vec::new(),
            counters,
            intake: Vec::new(),
        }
    }

    /// What it was told.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Takes nothing more; what was taken is still answered.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Whether every message that the core had has its answer with the broker.
    pub fn settled(&self) -> bool {
        self.records.messages.values().all(|m| m.stage == Stage::Looking)
    }

    /// Takes leave of the broker, which keeps the session.
    pub fn leave(&mut self, poll: &Poll) {
        if let Some(session) = &mut self.session {
            let _ = session.link.io.queue(&packets::disconnect(ReasonCode::Success));
            let _ = session.link.flush(poll);
        }
        self.session = None;
    }

    fn connect(&mut self, poll: &mut Poll, now: u64) {
        count(&self.counters.mqtt_connects);
        let o = &self.options;
        // Waits double, so that a broker that comes back is not met by all at once.
        self.connect_at = now + self.backoff;
        self.backoff = (self.backoff * 2).min(BACKOFF_LAST);
        let token = poll.token(self.id, 0);
        let limits = (o.maximum_packet * 2, 4 << 20);
        let Ok(mut link) = Connection::connect(
            poll,
            o.broker,
            token,
            Speaker { most: o.maximum_packet, violation: None },
            limits,
        ) else {
            return;
        };
        let hello = packets::connect(o);
        let _ = link.io.queue(&hello);
        self.session = Some(Session {
            link,
            broker: None,
            asked: Some(now),
            sent: now,
            pings: VecDeque::new(),
            looks: Vec::new(),
            unacknowledged: BTreeSet::new(),
            publishing: 0,
            out: BTreeSet::new(),
            next_id: 1,
        });
    }

    fn drop_session(&mut self, why: Closed) {
        if self.session.take().is_some() {
            if matches!(why, Closed::Malformed(_)) {
                count(&self.counters.mqtt_malformed);
            }
            self.records.disconnected();
        }
    }

    /// Handles what happened to the connection.
    pub fn ready(&mut self, poll: &mut Poll, now: u64, unix_ms: u64, ready: PollEvent) {
        let Some(session) = self.session.as_mut().filter(|s| s.link.io.token() == ready.token) else {
            return;
        };
        let mut packets = std::mem::take(&mut self.packets);
        let mut result = session.link.handle_event(poll, ready, &mut packets);
        if session.link.io.read_closed {
            result = result.and(Err(Closed::Broken));
        }
        for packet in packets.drain(..) {
            if let Err(m) = self.packet(now, unix_ms, packet) {
                result = Err(Closed::Malformed(m.0));
                break;
            }
        }
        packets.clear();
        self.packets = packets;
        match result {
            Ok(()) => self.flush(poll, now),
            Err(why) => {
                if let Some(session) = &mut self.session
                    && let Some(violation) = session.link.handler.violation
                {
                    let _ = session.link.io.queue(&packets::disconnect(violation.reason));
                    let _ = session.link.flush(poll);
                }
                self.drop_session(why);
            }
        }
    }

    fn packet(&mut self, now: u64, unix_ms: u64, packet: Packet) -> Result<(), Malformed> {
        let Some(session) = &mut self.session else { return Ok(()) };
        if session.broker.is_none() && !matches!(packet, Packet::Connack(_) | Packet::Disconnect(_)) {
            return Err(Malformed("an MQTT packet before CONNACK"));
        }
        match packet {
            Packet::Connack(connack) => self.connected(now, &connack)?,
            Packet::Publish(publish) => self.published(now, unix_ms, *publish)?,
            Packet::Puback(ack) => self.acknowledged(now, ack.packet_id, ack.reason),
            Packet::Suback(suback) => {
                let id = suback.packet_id;
                session.asked = None;
                session.out.remove(&id);
                if suback.reasons.iter().any(|r| r.is_failure()) {
                    return Err(Malformed("an MQTT subscription that was turned down"));
                }
                if let Some(at) = session.looks.iter().position(|(i, _)| *i == id) {
                    // What is kept on the topic is sent on the subscription, hence before the answer to a ping.
                    let (_, number) = session.looks.remove(at);
                    session.ping(now, Ping::Record(number));
                }
            }
            Packet::Pingresp => {
                session.asked = None;
                if let Some(Ping::Record(number)) = session.pings.pop_front() {
                    self.not_answered(now, unix_ms, number);
                }
            }
            Packet::Unsuback(unsuback) => {
                session.out.remove(&unsuback.packet_id);
            }
            Packet::Disconnect(_) => return Err(Malformed("an MQTT broker that closes")),
            _ => {
                session.link.handler.violation =
                    Some(Violation::protocol("MQTT 4.13", "an MQTT packet that nothing asked for"));
                return Err(Malformed("an MQTT packet that nothing asked for"));
            }
        }
        Ok(())
    }

    fn connected(&mut self, now: u64, connack: &Connack) -> Result<(), Malformed> {
        let Some(session) = &mut self.session else { return Ok(()) };
        let told = &connack.properties;
        if connack.reason.is_failure()
            || told.maximum_qos_1 == Some(false)
            || told.retain_available == Some(false)
        {
            return Err(Malformed("an MQTT broker that turns us down or lacks QoS 1 or retained messages"));
        }
        self.backoff = BACKOFF_FIRST;
        session.asked = None;
        session.broker = Some(Broker {
            receive_maximum: told.receive_maximum.unwrap_or(u16::MAX),
            maximum_packet: told.maximum_packet,
            keep_alive: told.server_keep_alive,
        });
        let id = session.id();
        session.say(now, &packets::subscribe(id, &self.options.triggers, Qos::AtLeastOnce));
        session.asked = Some(now);
        // Danger: an answer published before the connection broke may be with the broker. Its record is asked
        // for first, so that it is not published twice.
        let again = self.records.messages.iter().filter(|(_, m)| m.stage == Stage::Looking || m.unchecked());
        for number in again.map(|(n, _)| *n).collect::<Vec<_>>() {
            self.look(now, number);
        }
        self.publish_answers(now);
        Ok(())
    }

    fn published(&mut self, now: u64, unix_ms: u64, p: Publish) -> Result<(), Malformed> {
        if let Some(number) = self.records.on_topic(&p.topic) {
            // A record, or the echo of one.
            if self.records.messages[&number].waits_for_record() {
                self.finish(now, number, true);
            }
            self.acknowledge(now, p.packet_id);
            return Ok(());
        }
        let Some(session) = &mut self.session else { return Ok(()) };
        if p.qos == Qos::ExactlyOnce {
            // The subscription is of QoS 1, and a broker never sends more [MQTT-3.8.4-8].
            session.link.handler.violation = Some(Violation {
                reason: ReasonCode::QosNotSupported,
                statement: "MQTT-3.8.4-8",
                description: "a message of QoS 2",
            });
            return Err(Malformed("an MQTT message of a higher QoS than was granted"));
        }
        if p.packet_id > 0 {
            session.unacknowledged.insert(p.packet_id);
            if session.unacknowledged.len() > usize::from(self.options.receive_maximum) {
                session.link.handler.violation = Some(Violation {
                    reason: ReasonCode::ReceiveMaximumExceeded,
                    statement: "MQTT-3.3.4-9",
                    description: "more messages than may be unacknowledged",
                });
                return Err(Malformed("more MQTT messages than may be unacknowledged"));
            }
        }
        if self.stopping {
            return Ok(());
        }
        count(&self.counters.mqtt_messages);
        let fields: Fields = p.properties.user.iter().cloned().collect();
        let call: Arc<str> = fields.get("call").map_or("", String::as_str).into();
        if let Some(number) = self.records.under_way(&call) {
            // Delivered again while it is under way: the one answer acknowledges this delivery too.
            count(&self.counters.mqtt_duplicates);
            if let Some(message) = self.records.messages.get_mut(&number) {
                message.packets.push(p.packet_id);
            }
            return Ok(());
        }
        if self.records.answered(&call) {
            count(&self.counters.mqtt_duplicates);
            self.acknowledge(now, p.packet_id);
            return Ok(());
        }
        let again = p.dup || p.retain;
        let topic = p.properties.response_topic.clone().unwrap_or_default();
        if topic.is_empty() || topic.starts_with('$') || topic.contains(['+', '#', '\0']) {
            // There is nowhere to answer to, or no record could be found there: `$share` is no topic.
            count(&self.counters.requests_invalid);
            return self.reject(now, p.packet_id);
        }
        let kept = !call.is_empty() && topic.rsplit('/').next() == Some(&*call);
        let (request, fault) = match read(&p, &fields, kept) {
            Ok((sketch, sent_ms)) => (Some((sketch, p.payload, sent_ms)), None),
            Err(invalid) => (None, Some(invalid)),
        };
        let sent_ms = request.as_ref().map_or(unix_ms, |r| r.2);
        if again && unix_ms.saturating_sub(sent_ms) > u64::from(self.options.record_expiry) * 1000 {
            // Its record may have gone by age; its client has long stopped waiting.
            count(&self.counters.mqtt_duplicates);
            self.acknowledge(now, p.packet_id);
            return Ok(());
        }
        let message = Message {
            call,
            topic,
            correlation: p.properties.correlation.unwrap_or_default(),
            packets: vec![p.packet_id],
            stage: Stage::Running,
            kept,
            request: request.map(|(sketch, body, _)| (sketch, body)),
            sent_ms,
            answer: Default::default(),
        };
        let number = self.records.add(message);
        if let Some(invalid) = fault {
            count(&self.counters.requests_invalid);
            self.fault(number, &invalid, !(again && kept));
            self.publish_answers(now);
            if again && kept {
                self.look(now, number);
            }
        } else if again {
            self.look(now, number);
        } else {
            self.hand_in(unix_ms, number, false);
        }
        Ok(())
    }

    /// A message that can't be answered is acknowledged as unusable.
    fn reject(&mut self, now: u64, id: u16) -> Result<(), Malformed> {
        let Some(session) = self.session.as_mut().filter(|_| id > 0) else { return Ok(()) };
        session.unacknowledged.remove(&id);
        session.say(now, &packets::puback(id, ReasonCode::PayloadFormatInvalid));
        Ok(())
    }

    /// Asks the broker whether the message was answered before.
    fn look(&mut self, now: u64, number: i64) {
        let Some(message) = self.records.messages.get_mut(&number) else { return };
        if message.stage == Stage::Running {
            message.stage = Stage::Looking;
        }
        let Some(session) = self.session.as_mut().filter(|s| s.broker.is_some()) else { return };
        let id = session.id();
        // At QoS 0, since the broker holds back what would pass our receive maximum.
        session.say(now, &packets::subscribe(id, &message.topic, Qos::AtMostOnce));
        session.asked = Some(now);
        session.looks.push((id, number));
    }

    /// The broker holds no record of the message.
    fn not_answered(&mut self, now: u64, unix_ms: u64, number: i64) {
        let Some(message) = self.records.messages.get_mut(&number) else { return };
        if let Some(session) = &mut self.session {
            let id = session.id();
            session.say(now, &packets::unsubscribe(id, &message.topic));
        }
        match message.stage {
            Stage::Looking => self.hand_in(unix_ms, number, true),
            Stage::Answered { .. } => {
                message.stage = Stage::Answered { checked: true };
                self.publish_answers(now);
            }
            Stage::Running | Stage::Publishing { .. } => {}
        }
    }

    /// Gives the request to the core.
    fn hand_in(&mut self, unix_ms: u64, number: i64, again: bool) {
        let Some(message) = self.records.messages.get_mut(&number) else { return };
        message.stage = Stage::Running;
        let age_us = unix_ms.saturating_sub(message.sent_ms) * 1000;
        if let Some((sketch, body)) = message.request.take() {
            let ticket = Ticket { front: self.id, conn: 0, seq: number };
            self.intake.push(Intake::Submit { ticket, sketch, body, age_us, again });
        }
    }

    /// Takes the final answer of a request.
    pub fn answer(&mut self, poll: &Poll, now: u64, ticket: Ticket, answer: FinalAnswer) {
        let pair = |n: &str, v: &str| (n.to_string(), v.to_string());
        let answer = match answer {
            FinalAnswer::Served(body) => (vec![pair("status", "served")], body),
            FinalAnswer::Refused(after) => {
                let ms = after.div_ceil(1000).to_string();
                (vec![pair("status", "refused"), pair("pushback", &ms)], Vec::new())
            }
            FinalAnswer::Failed(why) => (vec![pair("status", "failed"), pair("why", why)], Vec::new()),
        };
        self.answered(ticket.seq, answer, true);
        self.publish_answers(now);
        self.flush(poll, now);
    }

    /// A request with a field that can't be used: failed, and the field is named.
    pub fn invalid(&mut self, poll: &Poll, now: u64, ticket: Ticket, invalid: &Invalid) {
        count(&self.counters.requests_invalid);
        self.fault(ticket.seq, invalid, true);
        self.publish_answers(now);
        self.flush(poll, now);
    }

    fn fault(&mut self, number: i64, invalid: &Invalid, checked: bool) {
        let pairs = [("status", "failed"), ("field", invalid.field), ("why", invalid.why)];
        let pairs = pairs.map(|(n, v)| (n.to_string(), v.to_string()));
        self.answered(number, (pairs.to_vec(), Vec::new()), checked);
    }

    fn answered(&mut self, number: i64, answer: (Vec<(String, String)>, Vec<u8>), checked: bool) {
        match self.records.messages.get_mut(&number) {
            Some(message) => {
                message.answer = answer;
                message.request = None;
                message.stage = Stage::Answered { checked };
            }
            None => count(&self.counters.answers_lost),
        }
    }

    /// Publishes the answers that wait, as many as the broker takes at a time.
    fn publish_answers(&mut self, now: u64) {
        let Some(session) = &mut self.session else { return };
        let Some(broker) = session.broker else { return };
        for message in self.records.messages.values_mut() {
            if message.stage != (Stage::Answered { checked: true }) {
                continue;
            }
            if session.publishing >= usize::from(broker.receive_maximum) {
                return;
            }
            let id = session.id();
            let written = message.publish(id, self.options.record_expiry, broker.maximum_packet);
            let packet = written.or_else(|_| {
                let pairs = [("status", "failed"), ("why", "the answer is larger than the broker takes")];
                message.answer = (pairs.map(|(n, v)| (n.to_string(), v.to_string())).to_vec(), Vec::new());
                message.publish(id, self.options.record_expiry, None)
            });
            if !packet.is_ok_and(|packet| session.say(now, &packet)) {
                return;
            }
            message.stage = Stage::Publishing { id };
            session.publishing += 1;
        }
    }

    /// The broker has taken an answer, or would not.
    fn acknowledged(&mut self, now: u64, id: u16, reason: ReasonCode) {
        if let Some(session) = &mut self.session {
            session.out.remove(&id);
        }
        let stage = Stage::Publishing { id };
        let found = self.records.messages.iter_mut().find(|(_, m)| m.stage == stage);
        let Some((number, message)) = found else { return };
        if let Some(session) = &mut self.session {
            session.publishing -= 1;
        }
        if reason.is_failure() {
            // Not with the broker, so not acknowledged either: it is tried again.
            message.stage = Stage::Answered { checked: false };
            self.retry_at = Some(now + RETRY);
            return;
        }
        let number = *number;
        count(&self.counters.mqtt_answers);
        self.finish(now, number, false);
        self.publish_answers(now);
    }

    /// The message's one answer is with the broker: the message is acknowledged.
    fn finish(&mut self, now: u64, number: i64, recorded: bool) {
        let Some(message) = self.records.done(number) else { return };
        if recorded {
            count(&self.counters.mqtt_duplicates);
            if let Some(session) = &mut self.session {
                let id = session.id();
                session.say(now, &packets::unsubscribe(id, &message.topic));
            }
        }
        for id in message.packets {
            self.acknowledge(now, id);
        }
    }

    fn acknowledge(&mut self, now: u64, id: u16) {
        let Some(session) = self.session.as_mut().filter(|_| id > 0) else { return };
        session.unacknowledged.remove(&id);
        if session.say(now, &packets::puback(id, ReasonCode::Success)) {
            count(&self.counters.mqtt_acknowledged);
        }
    }

    fn flush(&mut self, poll: &Poll, _now: u64) {
        if let Some(session) = &mut self.session
            && let Err(why) = session.link.flush(poll)
        {
            self.drop_session(why);
        }
    }

    /// Connects, gives signs of life, and gives up a broker that gives none.
    pub fn advance(&mut self, poll: &mut Poll, now: u64) {
        let Some(session) = &mut self.session else {
            if now >= self.connect_at {
                self.connect(poll, now);
            }
            return;
        };
        if session.asked.is_some_and(|at| now >= at + SILENT) {
            return self.drop_session(Closed::Broken);
        }
        let keep_alive = session.keep_alive(&self.options);
        if session.broker.is_some() && keep_alive > 0 && now >= session.sent + keep_alive / 2 {
            session.ping(now, Ping::Life);
        }
        if self.retry_at.is_some_and(|at| now >= at) {
            self.retry_at = None;
            let again: Vec<i64> =
                self.records.messages.iter().filter(|(_, m)| m.unchecked()).map(|(n, _)| *n).collect();
            again.into_iter().for_each(|number| self.look(now, number));
        }
        self.flush(poll, now);
    }

    /// When `advance` next has something to do.
    pub fn due(&self) -> u64 {
        let Some(session) = &self.session else { return self.connect_at };
        let life = match session.keep_alive(&self.options) {
            0 => u64::MAX,
            keep_alive => session.sent + keep_alive / 2,
        };
        let silent = session.asked.map_or(u64::MAX, |at| at + SILENT);
        let life = if session.broker.is_some() { life } else { u64::MAX };
        life.min(silent).min(self.retry_at.unwrap_or(u64::MAX))
    }
}

impl Session {
    fn id(&mut self) -> u16 {
        // Danger: a number that comes round while its packet is still out would be acknowledged for another.
        // Far fewer are out at a time than there are; 0 is none.
        while !self.out.insert(self.next_id) {
            self.next_id = self.next_id.checked_add(1).unwrap_or(1);
        }
        self.next_id
    }

    fn say(&mut self, now: u64, packet: &[u8]) -> bool {
        self.sent = now;
        self.link.io.queue(packet)
    }

    fn ping(&mut self, now: u64, ping: Ping) {
        if self.say(now, &packets::pingreq()) {
            self.pings.push_back(ping);
            self.asked = Some(now);
        }
    }

    fn keep_alive(&self, options: &Options) -> u64 {
        let wanted = self.broker.as_ref().and_then(|b| b.keep_alive);
        u64::from(wanted.unwrap_or(options.keep_alive)) * 1_000_000
    }
}

impl Message {
    fn unchecked(&self) -> bool {
        self.stage == Stage::Answered { checked: false }
    }

    fn waits_for_record(&self) -> bool {
        self.stage == Stage::Looking || self.unchecked()
    }

    fn publish(&self, id: u16, expiry: u32, most: Option<u32>) -> Result<Vec<u8>, EncodeError> {
        let pair = |n: &str, v: &str| (n.to_string(), v.to_string());
        let mut user = vec![pair("call", &self.call)];
        user.extend(self.answer.0.iter().cloned());
        let mut payload = self.answer.1.clone();
        if payload.is_empty() {
            // Danger: a retained message without a payload is not kept; it wipes out the record.
            user.push(pair("body", "empty"));
            payload.push(b'-');
        }
        let properties = Properties {
            correlation: Some(self.correlation.clone()),
            message_expiry: Some(expiry),
            user,
            ..Properties::default()
        };
        let topic = self.topic.clone();
        let publish = Publish {
            retain: self.kept,
            qos: Qos::AtLeastOnce,
            packet_id: id,
            topic,
            properties,
            payload,
            ..Publish::default()
        };
        packets::message(publish, most)
    }
}

/// Reads a trigger: the figures of its request, and when its client sent it.
fn read(p: &Publish, fields: &Fields, kept: bool) -> Result<(ParsedRequest, u64), Invalid> {
    let sketch = ParsedRequest::read(fields)?;
    let sent = fields.get("sent").ok_or(Invalid { field: "sent", why: "is missing" })?;
    let sent = sent.parse().map_err(|_| Invalid { field: "sent", why: "must be Unix milliseconds" })?;
    if !kept {
        return Err(Invalid { field: "response-topic", why: "must end with a level that is the call's id" });
    }
    if p.properties.correlation.is_none() {
        return Err(Invalid { field: "correlation-data", why: "is missing" });
    }
    if p.qos != Qos::AtLeastOnce {
        return Err(Invalid { field: "qos", why: "must be 1" });
    }
    Ok((sketch, sent))
}
