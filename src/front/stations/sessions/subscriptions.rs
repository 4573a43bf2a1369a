//! Subscriptions of sessions: SUBSCRIBE and UNSUBSCRIBE.

use super::{MAX_FILTERS, Sessions};
use ochreward_mqtt::packet::{Packet, Suback, Subscribe, Unsubscribe};
use ochreward_mqtt::topic::TopicFilter;
use ochreward_mqtt::{Properties, Qos, ReasonCode};

impl Sessions {
    pub(super) fn handle_subscribe(&mut self, client: &str, subscribe: &Subscribe) {
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

    pub(super) fn handle_unsubscribe(&mut self, client: &str, unsubscribe: &Unsubscribe) {
        let Some(session) = self.sessions.get_mut(client) else { return };
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
}
