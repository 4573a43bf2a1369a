//! The connection to one broker, and the processing of each message until its single answer is acknowledged. Messages come
//! from the broker, final answers from the core. The receive maximums of both sides and the packet sizes bound what is
//! outstanding; a broker that does not respond in time is disconnected and reconnected with backoff.

use super::options::Options;
use super::packets;
use super::records::{Message, MessageKey, Records, Stage};
use super::session::{BrokerLimits, Decoder, Ping, Session};
use super::trigger::parse_trigger;
use crate::core::{FinalAnswer, Ticket};
use crate::counters::{Counters, count};
use crate::front::{Delivery, Fields, Intake, Invalid, Submission, WHY_MAY_HAVE_RUN};
use crate::net::{Closed, Connection, Malformed, Poll, PollEvent};
use ochreward_mqtt::packet::{Connack, Packet, Publish};
use ochreward_mqtt::{Qos, ReasonCode, Violation};
use std::rc::Rc;
use std::sync::Arc;

/// The delay before the first reconnect; it doubles with each failure, up to the maximum.
const BACKOFF_MIN_US: u64 = 100_000;
const BACKOFF_MAX_US: u64 = 10_000_000;
/// The connection is dropped if the broker does not respond to a CONNECT, SUBSCRIBE or PINGREQ within this time.
const RESPONSE_TIMEOUT_US: u64 = 5_000_000;
/// The delay before an answer that the broker rejected is published again.
const PUBLISH_RETRY_DELAY_US: u64 = 1_000_000;

/// Whether the front takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It takes requests.
    Serving,
    /// It takes none, and publishes the answers to those already taken. It may serve again.
    Draining,
}

/// The front to one broker.
pub struct Front {
    id: u8,
    options: Options,
    session: Option<Session>,
    records: Records,
    connect_at: u64,
    backoff: u64,
    retry_at: Option<u64>,
    state: State,
    packets: Vec<Packet>,
    counters: Rc<Counters>,
    /// Requests from clients, in order of arrival.
    pub intake: Vec<Intake>,
}

impl Front {
    /// Creates a front that connects at the first `advance`.
    pub fn new(id: u8, options: Options, counters: Rc<Counters>) -> Front {
        Front {
            id,
            options,
            session: None,
            records: Records::default(),
            connect_at: 0,
            backoff: BACKOFF_MIN_US,
            retry_at: None,
            state: State::Serving,
            packets: Vec::new(),
            counters,
            intake: Vec::new(),
        }
    }

    /// Returns the options that the front was created with.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Stops taking requests; those already taken are still answered.
    pub fn drain(&mut self) {
        if std::mem::replace(&mut self.state, State::Draining) == State::Serving {
            self.log_transition("a broker is being drained");
        }
    }

    /// Takes requests again, first those that arrived while draining.
    pub fn resume(&mut self) {
        if std::mem::replace(&mut self.state, State::Serving) == State::Draining {
            count(&self.counters.mqtt_resumed);
            self.log_transition("a broker that was being drained is served again");
        }
    }

    fn log_transition(&self, transition: &'static str) {
        let (broker, client) = (self.options.broker, self.options.client_id.as_str());
        let open = self.records.messages.len();
        let unacknowledged = self.session.as_ref().map(|s| s.unacknowledged.len());
        tracing::info!(%broker, client, open, ?unacknowledged, "{transition}");
    }

    /// Returns whether the broker has acknowledged the answer to every request that the core was given.
    pub fn settled(&self) -> bool {
        self.records.messages.values().all(|m| m.stage == Stage::LookingUp)
    }

    /// Disconnects from the broker, which keeps the session.
    pub fn leave(&mut self, poll: &Poll) {
        self.log_transition("disconnected from a broker");
        if let Some(session) = &mut self.session {
            let _ = session.link.io.queue(&packets::disconnect(ReasonCode::Success));
            let _ = session.link.flush(poll);
        }
        self.session = None;
    }

    fn connect(&mut self, poll: &mut Poll, now: u64) {
        count(&self.counters.mqtt_connects);
        let options = &self.options;
        // Exponential backoff, so that not all dispatchers connect at once to a broker that comes back.
        self.connect_at = now + self.backoff;
        self.backoff = (self.backoff * 2).min(BACKOFF_MAX_US);
        let token = poll.token(self.id, 0);
        let limits = (options.maximum_packet * 2, 4 << 20);
        let Ok(mut link) = Connection::connect(
            poll,
            options.broker,
            token,
            Decoder { max_packet_bytes: options.maximum_packet, violation: None },
            limits,
        ) else {
            return;
        };
        let _ = link.io.queue(&packets::connect(options));
        self.session = Some(Session::new(link, now));
    }

    fn drop_session(&mut self, why: Closed) {
        if self.session.take().is_some() {
            if matches!(why, Closed::Malformed(_)) {
                count(&self.counters.mqtt_malformed);
            }
            self.records.disconnected();
        }
    }

    /// Handles readiness of the connection.
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
            if let Err(m) = self.handle_packet(now, unix_ms, packet) {
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

    fn handle_packet(&mut self, now: u64, unix_ms: u64, packet: Packet) -> Result<(), Malformed> {
        let Some(session) = &mut self.session else { return Ok(()) };
        if session.broker_limits.is_none() && !matches!(packet, Packet::Connack(_) | Packet::Disconnect(_)) {
            return Err(Malformed("an MQTT packet before CONNACK"));
        }
        match packet {
            Packet::Connack(connack) => self.handle_connack(now, &connack)?,
            Packet::Publish(publish) => self.handle_publish(now, unix_ms, *publish)?,
            Packet::Puback(ack) => self.handle_puback(now, ack.packet_id, ack.reason),
            Packet::Suback(suback) => {
                let id = suback.packet_id;
                session.awaiting_since = None;
                session.used_ids.remove(&id);
                if suback.reasons.iter().any(|r| r.is_failure()) {
                    return Err(Malformed("an MQTT subscription that the broker rejected"));
                }
                if let Some(at) = session.record_lookups.iter().position(|(i, _)| *i == id) {
                    // The broker sends a retained message upon the subscription, hence before the response to a ping.
                    let (_, number) = session.record_lookups.remove(at);
                    session.ping(now, Ping::RecordLookup(number));
                }
            }
            Packet::Pingresp => {
                session.awaiting_since = None;
                if let Some(Ping::RecordLookup(number)) = session.pings.pop_front() {
                    self.record_not_found(now, unix_ms, number);
                }
            }
            Packet::Unsuback(unsuback) => {
                session.used_ids.remove(&unsuback.packet_id);
            }
            Packet::Disconnect(_) => return Err(Malformed("a DISCONNECT from the MQTT broker")),
            _ => {
                session.link.handler.violation =
                    Some(Violation::protocol("MQTT 4.13", "an unexpected MQTT packet"));
                return Err(Malformed("an unexpected MQTT packet"));
            }
        }
        Ok(())
    }

    fn handle_connack(&mut self, now: u64, connack: &Connack) -> Result<(), Malformed> {
        let Some(session) = &mut self.session else { return Ok(()) };
        let announced = &connack.properties;
        if connack.reason.is_failure()
            || announced.maximum_qos_1 == Some(false)
            || announced.retain_available == Some(false)
        {
            return Err(Malformed(
                "an MQTT broker that refuses the connection or lacks QoS 1 or retained messages",
            ));
        }
        self.backoff = BACKOFF_MIN_US;
        session.awaiting_since = None;
        session.broker_limits = Some(BrokerLimits {
            receive_maximum: announced.receive_maximum.unwrap_or(u16::MAX),
            maximum_packet: announced.maximum_packet,
            keep_alive: announced.server_keep_alive,
        });
        let id = session.next_packet_id();
        session.send(now, &packets::subscribe(id, &self.options.triggers, Qos::AtLeastOnce));
        session.awaiting_since = Some(now);
        // The broker may hold an answer that was published before the connection broke. Its record is looked up first,
        // so that it is not published twice.
        let again =
            self.records.messages.iter().filter(|(_, m)| m.stage == Stage::LookingUp || m.unchecked());
        for number in again.map(|(n, _)| *n).collect::<Vec<_>>() {
            self.look_up_record(now, number);
        }
        self.publish_answers(now);
        Ok(())
    }

    fn handle_publish(&mut self, now: u64, unix_ms: u64, publish: Publish) -> Result<(), Malformed> {
        if let Some(number) = self.records.on_topic(&publish.topic) {
            // A record, or the broker's echo of an answer published here.
            if self.records.messages[&number].awaits_record() {
                self.complete(now, number, true);
            }
            self.acknowledge(now, publish.packet_id);
            return Ok(());
        }
        let is_deferred = self.state == State::Draining && !self.is_known(&publish);
        let Some(session) = &mut self.session else { return Ok(()) };
        if publish.qos == Qos::ExactlyOnce {
            // The subscription is of QoS 1, and a broker may not exceed that [MQTT-3.8.4-8].
            session.link.handler.violation = Some(Violation {
                reason: ReasonCode::QosNotSupported,
                statement: "MQTT-3.8.4-8",
                description: "a message of QoS 2",
            });
            return Err(Malformed("an MQTT message of a higher QoS than was granted"));
        }
        let mut is_new_delivery = false;
        if publish.packet_id > 0 {
            is_new_delivery = session.unacknowledged.insert(publish.packet_id);
            if session.unacknowledged.len() > usize::from(self.options.receive_maximum) {
                session.link.handler.violation = Some(Violation {
                    reason: ReasonCode::ReceiveMaximumExceeded,
                    statement: "MQTT-3.3.4-9",
                    description: "more messages than may be unacknowledged",
                });
                return Err(Malformed("more MQTT messages than may be unacknowledged"));
            }
        }
        if is_deferred {
            count(&self.counters.mqtt_while_draining);
            // Those of QoS 0, and repeats under one packet id, are dropped: nothing would bound their number.
            if is_new_delivery {
                session.deferred.push_back(publish);
            }
            return Ok(());
        }
        self.take_message(now, unix_ms, publish)
    }

    /// Returns whether the request of a message is open, or was answered.
    fn is_known(&self, publish: &Publish) -> bool {
        let call = publish.properties.user.iter().rev().find(|(name, _)| name == "call");
        let call: Arc<str> = call.map_or("", |(_, call)| call.as_str()).into();
        let key = MessageKey::of(&call, publish.properties.response_topic.as_deref().unwrap_or_default());
        self.records.open(&key).is_some() || self.records.answered(&key)
    }

    /// Takes a message as a request, or as a repeat of one.
    fn take_message(&mut self, now: u64, unix_ms: u64, publish: Publish) -> Result<(), Malformed> {
        count(&self.counters.mqtt_messages);
        let fields: Fields = publish.properties.user.iter().cloned().collect();
        let call: Arc<str> = fields.get("call").map_or("", String::as_str).into();
        let topic = publish.properties.response_topic.clone().unwrap_or_default();
        let key = MessageKey::of(&call, &topic);
        if let Some(number) = self.records.open(&key) {
            // Delivered again while the request is open: its answer acknowledges this delivery too.
            count(&self.counters.mqtt_duplicates);
            if let Some(message) = self.records.messages.get_mut(&number) {
                message.packet_ids.push(publish.packet_id);
            }
            return Ok(());
        }
        if self.records.answered(&key) {
            count(&self.counters.mqtt_duplicates);
            self.acknowledge(now, publish.packet_id);
            return Ok(());
        }
        let again = publish.dup || publish.retain;
        if topic.is_empty() || topic.starts_with('$') || topic.contains(['+', '#', '\0']) {
            // There is no response topic, or no record can be looked up on it: subscribing to a name that starts with
            // `$share` would make a shared subscription.
            count(&self.counters.requests_invalid);
            return self.reject(now, publish.packet_id);
        }
        let retained = !call.is_empty() && topic.rsplit('/').next() == Some(&*call);
        let (request, fault) = match parse_trigger(&publish, &fields, retained) {
            Ok((sketch, sent_ms)) => (Some((sketch, publish.payload, sent_ms)), None),
            Err(invalid) => (None, Some(invalid)),
        };
        let sent_ms = request.as_ref().map_or(unix_ms, |r| r.2);
        if again && unix_ms.saturating_sub(sent_ms) > u64::from(self.options.record_expiry) * 1000 {
            // Its record may have expired, and its client has long stopped waiting.
            count(&self.counters.mqtt_duplicates);
            self.acknowledge(now, publish.packet_id);
            return Ok(());
        }
        let message = Message {
            call,
            topic,
            correlation: publish.properties.correlation.unwrap_or_default(),
            packet_ids: vec![publish.packet_id],
            stage: Stage::Running,
            retained,
            request: request.map(|(sketch, body, _)| (sketch, body)),
            sent_ms,
            answer: Default::default(),
        };
        let number = self.records.add(message);
        if let Some(invalid) = fault {
            count(&self.counters.requests_invalid);
            self.answer_invalid(number, &invalid, !(again && retained));
            self.publish_answers(now);
            if again && retained {
                self.look_up_record(now, number);
            }
        } else if again {
            self.look_up_record(now, number);
        } else {
            self.submit(unix_ms, number, false);
        }
        Ok(())
    }

    /// Takes the messages that arrived while draining, once the front serves again.
    fn take_deferred(&mut self, now: u64, unix_ms: u64) {
        while self.state == State::Serving
            && let Some(publish) = self.session.as_mut().and_then(|s| s.deferred.pop_front())
        {
            if let Err(malformed) = self.take_message(now, unix_ms, publish) {
                return self.drop_session(Closed::Malformed(malformed.0));
            }
        }
    }

    /// Acknowledges a message that can't be answered, with reason Payload format invalid.
    fn reject(&mut self, now: u64, id: u16) -> Result<(), Malformed> {
        let Some(session) = self.session.as_mut().filter(|_| id > 0) else { return Ok(()) };
        session.unacknowledged.remove(&id);
        session.send(now, &packets::puback(id, ReasonCode::PayloadFormatInvalid));
        Ok(())
    }

    /// Looks up with the broker whether the message was answered before, by subscribing to its response topic.
    fn look_up_record(&mut self, now: u64, number: i64) {
        let Some(message) = self.records.messages.get_mut(&number) else { return };
        if message.stage == Stage::Running {
            message.stage = Stage::LookingUp;
        }
        let Some(session) = self.session.as_mut().filter(|s| s.broker_limits.is_some()) else { return };
        let id = session.next_packet_id();
        // At QoS 0, since the broker withholds QoS 1 messages beyond this client's receive maximum.
        session.send(now, &packets::subscribe(id, &message.topic, Qos::AtMostOnce));
        session.awaiting_since = Some(now);
        session.record_lookups.push((id, number));
    }

    /// Handles the end of a record lookup that found no record.
    fn record_not_found(&mut self, now: u64, unix_ms: u64, number: i64) {
        let Some(message) = self.records.messages.get_mut(&number) else { return };
        if let Some(session) = &mut self.session {
            let id = session.next_packet_id();
            session.send(now, &packets::unsubscribe(id, &message.topic));
        }
        match message.stage {
            Stage::LookingUp => self.submit(unix_ms, number, true),
            Stage::Answered { .. } => {
                message.stage = Stage::Answered { checked: true };
                self.publish_answers(now);
            }
            Stage::Running | Stage::Publishing { .. } => {}
        }
    }

    /// Submits the request to the core.
    fn submit(&mut self, unix_ms: u64, number: i64, again: bool) {
        let Some(message) = self.records.messages.get_mut(&number) else { return };
        message.stage = Stage::Running;
        let delivery = if again {
            let delivery = Delivery::repeat(Some(message.sent_ms), unix_ms);
            let (client, call) = (self.options.client_id.as_str(), &*message.call);
            let packet_ids = &message.packet_ids;
            tracing::info!(client, call, ?packet_ids, ?delivery, "a message that may have run is submitted");
            delivery
        } else {
            let age_ms = unix_ms.saturating_sub(message.sent_ms);
            Delivery::First { age_us: age_ms.saturating_mul(1_000) }
        };
        if let Some((sketch, body)) = message.request.take() {
            let ticket = Ticket { front: self.id, conn: 0, seq: number };
            let submission = Submission { ticket, sketch, body, delivery, refuse_after: None };
            self.intake.push(Intake::Submit(Box::new(submission)));
        }
    }

    /// Delivers the final answer to a request.
    pub fn answer(&mut self, poll: &Poll, now: u64, ticket: Ticket, answer: FinalAnswer) {
        let pair = |n: &str, v: &str| (n.to_string(), v.to_string());
        let answer = match answer {
            FinalAnswer::Served(body) => (vec![pair("status", "served")], body),
            FinalAnswer::Refused(after) => {
                let ms = after.div_ceil(1000).to_string();
                (vec![pair("status", "refused"), pair("pushback", &ms)], Vec::new())
            }
            FinalAnswer::RefusedMayHaveRun(_) => {
                (vec![pair("status", "failed"), pair("why", WHY_MAY_HAVE_RUN)], Vec::new())
            }
            FinalAnswer::Failed(why) => (vec![pair("status", "failed"), pair("why", why)], Vec::new()),
        };
        self.set_answer(ticket.seq, answer, true);
        self.publish_answers(now);
        self.flush(poll, now);
    }

    /// Rejects a request that has an invalid field: the answer is a failure that names the field.
    pub fn invalid(&mut self, poll: &Poll, now: u64, ticket: Ticket, invalid: &Invalid) {
        count(&self.counters.requests_invalid);
        self.answer_invalid(ticket.seq, invalid, true);
        self.publish_answers(now);
        self.flush(poll, now);
    }

    fn answer_invalid(&mut self, number: i64, invalid: &Invalid, checked: bool) {
        let pairs = [("status", "failed"), ("field", invalid.field), ("why", invalid.why)];
        let pairs = pairs.map(|(n, v)| (n.to_string(), v.to_string()));
        self.set_answer(number, (pairs.to_vec(), Vec::new()), checked);
    }

    fn set_answer(&mut self, number: i64, answer: (Vec<(String, String)>, Vec<u8>), checked: bool) {
        match self.records.messages.get_mut(&number) {
            Some(message) => {
                message.answer = answer;
                message.request = None;
                message.stage = Stage::Answered { checked };
            }
            None => count(&self.counters.answers_lost),
        }
    }

    /// Publishes waiting answers, as many as the broker's receive maximum allows.
    fn publish_answers(&mut self, now: u64) {
        let Some(session) = &mut self.session else { return };
        let Some(broker) = session.broker_limits else { return };
        for message in self.records.messages.values_mut() {
            if message.stage != (Stage::Answered { checked: true }) {
                continue;
            }
            if session.unacknowledged_answers >= usize::from(broker.receive_maximum) {
                return;
            }
            let id = session.next_packet_id();
            let written = message.publish(id, self.options.record_expiry, broker.maximum_packet);
            let packet = written.or_else(|_| {
                let pairs = [("status", "failed"), ("why", "the answer is larger than the broker takes")];
                message.answer = (pairs.map(|(n, v)| (n.to_string(), v.to_string())).to_vec(), Vec::new());
                message.publish(id, self.options.record_expiry, None)
            });
            if !packet.is_ok_and(|packet| session.send(now, &packet)) {
                return;
            }
            message.stage = Stage::Publishing { id };
            session.unacknowledged_answers += 1;
        }
    }

    /// Handles a PUBACK: the broker accepted an answer or rejected it.
    fn handle_puback(&mut self, now: u64, id: u16, reason: ReasonCode) {
        if let Some(session) = &mut self.session {
            session.used_ids.remove(&id);
        }
        let stage = Stage::Publishing { id };
        let found = self.records.messages.iter_mut().find(|(_, m)| m.stage == stage);
        let Some((number, message)) = found else { return };
        if let Some(session) = &mut self.session {
            session.unacknowledged_answers -= 1;
        }
        if reason.is_failure() {
            // The broker does not hold the answer, so the message is not acknowledged; publishing is retried.
            message.stage = Stage::Answered { checked: false };
            self.retry_at = Some(now + PUBLISH_RETRY_DELAY_US);
            return;
        }
        let number = *number;
        count(&self.counters.mqtt_answers);
        self.complete(now, number, false);
        self.publish_answers(now);
    }

    /// Acknowledges a message whose answer the broker holds. `recorded` is set if a record lookup showed that.
    fn complete(&mut self, now: u64, number: i64, recorded: bool) {
        let Some(message) = self.records.complete(number) else { return };
        if recorded {
            count(&self.counters.mqtt_duplicates);
            if let Some(session) = &mut self.session {
                let id = session.next_packet_id();
                session.send(now, &packets::unsubscribe(id, &message.topic));
            }
        }
        for id in message.packet_ids {
            self.acknowledge(now, id);
        }
    }

    fn acknowledge(&mut self, now: u64, id: u16) {
        let Some(session) = self.session.as_mut().filter(|_| id > 0) else { return };
        session.unacknowledged.remove(&id);
        if session.send(now, &packets::puback(id, ReasonCode::Success)) {
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

    /// Connects, takes deferred messages, sends keep-alive pings, drops a connection whose broker does not respond, and retries rejected answers.
    pub fn advance(&mut self, poll: &mut Poll, now: u64, unix_ms: u64) {
        self.take_deferred(now, unix_ms);
        let Some(session) = &mut self.session else {
            if now >= self.connect_at {
                self.connect(poll, now);
            }
            return;
        };
        if session.awaiting_since.is_some_and(|at| now >= at + RESPONSE_TIMEOUT_US) {
            return self.drop_session(Closed::Broken);
        }
        let keep_alive = session.keep_alive(&self.options);
        if session.broker_limits.is_some() && keep_alive > 0 && now >= session.last_sent + keep_alive / 2 {
            session.ping(now, Ping::KeepAlive);
        }
        if self.retry_at.is_some_and(|at| now >= at) {
            self.retry_at = None;
            let again: Vec<i64> =
                self.records.messages.iter().filter(|(_, m)| m.unchecked()).map(|(n, _)| *n).collect();
            again.into_iter().for_each(|number| self.look_up_record(now, number));
        }
        self.flush(poll, now);
    }

    /// Returns when `advance` next has work to do.
    pub fn due(&self) -> u64 {
        let Some(session) = &self.session else { return self.connect_at };
        if self.state == State::Serving && !session.deferred.is_empty() {
            return 0;
        }
        let ping_due = match session.keep_alive(&self.options) {
            0 => u64::MAX,
            keep_alive => session.last_sent + keep_alive / 2,
        };
        let timeout = session.awaiting_since.map_or(u64::MAX, |at| at + RESPONSE_TIMEOUT_US);
        let ping_due = if session.broker_limits.is_some() { ping_due } else { u64::MAX };
        ping_due.min(timeout).min(self.retry_at.unwrap_or(u64::MAX))
    }
}
