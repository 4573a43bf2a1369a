//! Requests from publishing to the final answer: a message becomes a request, joins one that is running, or is answered from
//! memory; a final answer is remembered and delivered.

use super::calls::{CallKey, Owner};
use super::reports::{CallDelivery, CallEvent, CallReport};
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
    pub(super) repeat: Option<CallDelivery>,
}

impl Request {
    fn last_delivery(&self) -> CallDelivery {
        CallDelivery {
            client: self.owner.client.clone(),
            session: self.session,
            packet_id: self.packet_ids.last().copied().unwrap_or_default(),
            call: self.call.id.clone(),
        }
    }

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
        let Some(session) = self.sessions.get(client) else { return };
        self.counts.triggers += 1;
        let fields: Fields = publish.properties.user.iter().cloned().collect();
        let call = CallKey::of(&fields, &publish.payload);
        let request = Request {
            session: session.serial,
            owner: session.owner(client),
            call,
            packet_ids: if publish.packet_id > 0 { vec![publish.packet_id] } else { Vec::new() },
            response_topic: publish.properties.response_topic.clone(),
            correlation: publish.properties.correlation.clone(),
            repeat: None,
        };
        let delivered = request.last_delivery();
        let Some(mut request) = self.answer_known_call(request, &delivered) else { return };
        let sketch = match self.read_request(&request.owner, &publish.topic, &fields) {
            Ok(sketch) => sketch,
            Err(outcome) => return self.deliver(request, outcome),
        };
        let refuse_after = self.refusal_delay(now, client);
        match (refuse_after, delivery) {
            (Some(after), Delivery::First { .. }) => return self.deliver(request, refused(after)),
            (None, Delivery::First { .. }) => {}
            // A repeat may have run: whether it may be refused is for the core to say.
            (_, Delivery::Repeat { age_us }) => {
                self.counts.repeats += 1;
                self.report(&delivered, CallEvent::SubmittedAsRepeat { age_us });
                request.repeat = Some(delivered);
            }
        }
        let number = self.next_number;
        self.next_number += 1;
        self.calls.of(&request.owner).begin(request.call.clone(), number);
        self.requests.insert(number, request);
        self.actions.push(Action::Serve { number, sketch, body: publish.payload, delivery, refuse_after });
    }

    fn report(&mut self, delivery: &CallDelivery, event: CallEvent) {
        self.actions.push(Action::Report(CallReport { delivery: delivery.clone(), event }));
    }

    /// Lets a delivery of a known call wait for the answer, or gives it the remembered one. Returns the request if its call
    /// is not known.
    fn answer_known_call(&mut self, request: Request, delivered: &CallDelivery) -> Option<Request> {
        let log = self.calls.of(&request.owner);
        if let Some(known) = log.open_request(&request.call).and_then(|number| self.requests.get_mut(&number))
        {
            known.join(request);
            self.counts.duplicates += 1;
            self.report(delivered, CallEvent::Joined);
            return None;
        }
        let Some(outcome) = log.answer(&request.call).cloned() else { return Some(request) };
        self.counts.duplicates += 1;
        self.report(delivered, CallEvent::AnsweredFromMemory { status: outcome.status().to_string() });
        self.deliver(request, outcome);
        None
    }

    /// Reads the parameters of a request and checks that its user may make it.
    fn read_request(&self, owner: &Owner, topic: &str, fields: &Fields) -> Result<ParsedRequest, Outcome> {
        let sketch = ParsedRequest::read(fields).map_err(|invalid| invalid_field(&invalid))?;
        let may = |user: &User| {
            user.may_publish(&owner.client, topic)
                && user.may_request(&sketch.class, sketch.tenant.as_deref())
        };
        if !self.policy.user(&owner.user).is_some_and(may) {
            return Err(failed(ReasonCode::NotAuthorized, "may not be asked for by this client"));
        }
        Ok(sketch)
    }

    /// Returns the delay after which a request may be sent again if the limits don't allow it now; else counts it against
    /// them.
    fn refusal_delay(&mut self, now: u64, client: &str) -> Option<u64> {
        let session = self.sessions.get_mut(client)?;
        let rate = self.policy.user(&session.user).map_or((0.0, 0.0), |user| user.user_rate);
        let shared =
            self.user_buckets.entry(session.user.clone()).or_insert_with(|| Bucket::new(now, rate.0, rate.1));
        let wait = session.bucket.wait_us(now).max(shared.wait_us(now));
        self.counts.limited += u64::from(wait > 0);
        if self.stopping {
            return Some(self.rules.pushback);
        }
        if wait > 0 {
            return Some(wait);
        }
        session.bucket.take();
        shared.take();
        None
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
        let status = outcome.status().to_string();
        if let Some(delivered) = request.repeat.take() {
            let why = outcome.why().map(str::to_string);
            self.report(&delivered, CallEvent::RepeatAnswered { status: status.clone(), why });
        }
        self.calls.of(&request.owner).end(&request.call, &outcome);
        // The client may have another session by now, even of another user, whose messages have the same packet ids.
        let present_session = self.sessions.get(&request.owner.client).map(|session| session.serial);
        if present_session != Some(request.session) {
            let delivered = request.last_delivery();
            self.report(&delivered, CallEvent::AnsweredAfterSession { present_session, status });
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
