//! Requests from publishing to the final answer: a message becomes a request, joins one that is running, or is answered from
//! memory; a final answer is remembered and delivered.

use super::calls::{CallKey, Owner};
use super::reports::{CallEvent, CallReport};
use super::{ANSWER_EXPIRY_S, Action, Sessions, pair};
use crate::core::{FinalAnswer, ID_IN_USE};
use crate::front::stations::policy::User;
use crate::front::stations::quota::Bucket;
use crate::front::{Delivery, Fields, Invalid, ParsedRequest, WHY_MAY_HAVE_RUN};
use ochreward_mqtt::delivery::Received;
use ochreward_mqtt::packet::Publish;
use ochreward_mqtt::{Properties, ReasonCode, Violation};

/// An answer, remembered for a message that is delivered again.
#[derive(Clone, Debug)]
pub(super) struct Outcome {
    pub(super) reason: ReasonCode,
    pub(super) user_properties: Vec<(String, String)>,
    pub(super) body: Vec<u8>,
    /// Whether the call may have run. One that never ran is not remembered: a repeat of it is a new call.
    pub(super) may_have_run: bool,
}

impl Outcome {
    /// Drops the body, and says so.
    pub(super) fn forget_body(&mut self) {
        if !self.body.is_empty() {
            self.body.clear();
            self.user_properties.push(pair("body", "not kept"));
        }
    }

    fn property(&self, name: &str) -> Option<&str> {
        self.user_properties.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Returns what the answer says of the call: `served`, `refused` or `failed`.
    fn status(&self) -> &str {
        self.property("status").unwrap_or_default()
    }

    /// Returns the reason of a failure.
    fn why(&self) -> Option<&str> {
        self.property("why")
    }
}

/// A request that the core has.
pub(super) struct Request {
    /// The serial number of the session that published it.
    pub(super) session: u64,
    pub(super) owner: Owner,
    pub(super) call: CallKey,
    /// The packet ids under which it was delivered on the current connection.
    pub(super) packet_ids: Vec<u16>,
    pub(super) response_topic: Option<String>,
    pub(super) correlation: Option<Vec<u8>>,
    /// It was submitted as a call that may have run: the delivery, to be completed by its answer.
    pub(super) repeat: Option<CallReport>,
}

impl Request {
    /// Adds a later delivery of the same call. If that is a delivery to another session, the answer goes to that one alone.
    fn join(&mut self, later: Request) {
        if self.session == later.session {
            self.packet_ids.extend(later.packet_ids);
        } else {
            let repeat = self.repeat.take();
            *self = Request { repeat, ..later };
        }
    }
}

/// Returns when the station says that it first sent a message, in Unix milliseconds.
fn sent_ms(publish: &Publish) -> Option<u64> {
    publish.properties.user("sent").and_then(|sent| sent.parse().ok())
}

impl Sessions {
    pub(super) fn handle_publish(
        &mut self,
        now: u64,
        unix_ms: u64,
        client: &str,
        mut publish: Publish,
    ) -> Result<(), Violation> {
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
        let delivery = if publish.dup {
            Delivery::repeat(sent_ms(&publish), unix_ms)
        } else {
            Delivery::First { age_us: 0 }
        };
        self.handle_trigger(now, delivery, client, publish);
        Ok(())
    }

    /// Turns a message into a request, or answers it with the reason why it is refused.
    pub(super) fn handle_trigger(&mut self, now: u64, delivery: Delivery, client: &str, publish: Publish) {
        let Some(session) = self.sessions.get_mut(client) else { return };
        self.counts.triggers += 1;
        let user = self.policy.user(&session.user);
        let fields: Fields = publish.properties.user.iter().cloned().collect();
        let call = CallKey::of(&fields, &publish.payload);
        let number = self.next_number;
        self.next_number += 1;
        let mut request = Request {
            session: session.serial,
            owner: session.owner(client),
            call: call.clone(),
            packet_ids: if publish.packet_id > 0 { vec![publish.packet_id] } else { Vec::new() },
            response_topic: publish.properties.response_topic.clone(),
            correlation: publish.properties.correlation.clone(),
            repeat: None,
        };
        let report = |event: CallEvent| CallReport {
            client: client.to_string(),
            session: session.serial,
            packet_id: publish.packet_id,
            call: call.id.clone(),
            event,
        };
        let log = self.calls.of(&request.owner);
        // The request is running: its answer acknowledges this delivery too.
        if let Some(known) = log.open_request(&call).and_then(|number| self.requests.get_mut(&number)) {
            self.counts.duplicates += 1;
            self.actions.push(Action::Report(report(CallEvent::Joined)));
            known.join(request);
            return;
        }
        if let Some(outcome) = log.answer(&call).cloned() {
            self.counts.duplicates += 1;
            let status = outcome.status().to_string();
            self.actions.push(Action::Report(report(CallEvent::AnsweredFromMemory { status })));
            return self.deliver(request, outcome);
        }
        let sketch = match ParsedRequest::read(&fields) {
            Ok(sketch) => sketch,
            Err(invalid) => {
                return self.deliver(request, invalid_field(&invalid));
            }
        };
        let may = |u: &User| {
            u.may_publish(client, &publish.topic) && u.may_request(&sketch.class, sketch.tenant.as_deref())
        };
        if !user.is_some_and(may) {
            return self
                .deliver(request, failed(ReasonCode::NotAuthorized, "may not be asked for by this client"));
        }
        let rate = user.map_or((0.0, 0.0), |u| u.user_rate);
        let shared =
            self.user_buckets.entry(session.user.clone()).or_insert_with(|| Bucket::new(now, rate.0, rate.1));
        let wait = session.bucket.wait_us(now).max(shared.wait_us(now));
        self.counts.limited += u64::from(wait > 0);
        let stop_delay = self.stopping.then_some(self.rules.pushback);
        let refuse_after = stop_delay.or((wait > 0).then_some(wait));
        if refuse_after.is_none() {
            session.bucket.take();
            shared.take();
        }
        // A repeat may have run: whether it may be refused is for the core to say.
        if let (Some(after), Delivery::First { .. }) = (refuse_after, delivery) {
            return self.deliver(request, refused(after));
        }
        if let Delivery::Repeat { age_us } = delivery {
            let submitted = report(CallEvent::SubmittedAsRepeat { age_us });
            self.counts.repeats += 1;
            self.actions.push(Action::Report(submitted.clone()));
            request.repeat = Some(submitted);
        }
        log.begin(call, number);
        self.requests.insert(number, request);
        self.actions.push(Action::Serve { number, sketch, body: publish.payload, delivery, refuse_after });
    }

    /// Delivers the core's final answer to a request.
    pub fn answer(&mut self, number: i64, answer: FinalAnswer) {
        let failed_run = |why| Outcome { may_have_run: true, ..failed(ReasonCode::Implementation, why) };
        let outcome = match answer {
            FinalAnswer::Served(body) => served(body),
            FinalAnswer::Refused(after) => refused(after),
            FinalAnswer::RefusedMayHaveRun(_) => failed_run(WHY_MAY_HAVE_RUN),
            FinalAnswer::Failed(ID_IN_USE) => failed(ReasonCode::Implementation, ID_IN_USE),
            FinalAnswer::Failed(why) => failed_run(why),
        };
        self.settle(number, outcome);
    }

    /// Answers a request that has an invalid field.
    pub fn reject_invalid(&mut self, number: i64, invalid: &Invalid) {
        self.settle(number, invalid_field(invalid));
    }

    pub(super) fn settle(&mut self, number: i64, outcome: Outcome) {
        let Some(mut request) = self.requests.remove(&number) else { return };
        if let Some(report) = request.repeat.take() {
            let (status, why) = (outcome.status().to_string(), outcome.why().map(str::to_string));
            let event = CallEvent::RepeatAnswered { status, why };
            self.actions.push(Action::Report(CallReport { event, ..report }));
        }
        self.calls.of(&request.owner).end(&request.call, &outcome);
        let present_session = self.sessions.get(&request.owner.client).map(|session| session.serial);
        if present_session != Some(request.session) {
            let status = outcome.status().to_string();
            self.actions.push(Action::Report(CallReport {
                client: request.owner.client.clone(),
                session: request.session,
                packet_id: request.packet_ids.first().copied().unwrap_or_default(),
                call: request.call.id.clone(),
                event: CallEvent::AnsweredAfterSession { present_session, status },
            }));
        }
        // The client may have another session by now, even of another user, whose messages have the same packet ids.
        if present_session != Some(request.session) {
            self.counts.answers_lost += 1;
            return;
        }
        self.deliver(request, outcome);
    }

    /// Sends a station its final answer: in the acknowledgement, and on the response topic if the session subscribes to
    /// it.
    pub(super) fn deliver(&mut self, request: Request, outcome: Outcome) {
        let client = request.owner.client;
        let Some(session) = self.sessions.get_mut(&client) else {
            self.counts.answers_lost += 1;
            return;
        };
        let mut user = vec![pair("call", &request.call.id)];
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
}

fn served(body: Vec<u8>) -> Outcome {
    let user_properties = vec![pair("status", "served")];
    Outcome { reason: ReasonCode::Success, user_properties, body, may_have_run: true }
}

/// Returns the failure of a call that never ran.
fn failed(reason: ReasonCode, why: &str) -> Outcome {
    let user_properties = vec![pair("status", "failed"), pair("why", why)];
    Outcome { reason, user_properties, body: Vec::new(), may_have_run: false }
}

fn invalid_field(invalid: &Invalid) -> Outcome {
    let mut outcome = failed(ReasonCode::PayloadFormatInvalid, invalid.why);
    outcome.user_properties.push(pair("field", invalid.field));
    outcome
}

/// Returns a refusal with the delay after which to retry, given in microseconds.
fn refused(after: u64) -> Outcome {
    let ms = after.div_ceil(1000).to_string();
    Outcome {
        reason: ReasonCode::QuotaExceeded,
        user_properties: vec![pair("status", "refused"), pair("pushback", &ms)],
        body: Vec::new(),
        may_have_run: false,
    }
}
