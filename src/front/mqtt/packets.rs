//! The packets that the front sends to a broker, in MQTT 5.0.

use super::options::Options;
use ochreward_mqtt::packet::{
    Ack, Connect, DisconnectOrAuth, EncodeError, Packet, Publish, Subscribe, Subscription, Unsubscribe,
};
use ochreward_mqtt::wire::MOST_VARIABLE;
use ochreward_mqtt::{Properties, Qos, ReasonCode, Version};

/// The bytes of a packet. Nothing is sent in place of one that can't be written; only a message can be too large, and
/// [`message`] says so.
fn bytes(packet: &Packet) -> Vec<u8> {
    packet.encode(Version::V5, MOST_VARIABLE as usize).unwrap_or_default()
}

/// A CONNECT that resumes the session, if there is one.
pub fn connect(o: &Options) -> Vec<u8> {
    let properties = Properties {
        session_expiry: Some(o.session_expiry),
        receive_maximum: Some(o.receive_maximum),
        maximum_packet: Some(o.maximum_packet as u32),
        ..Properties::default()
    };
    let (user, password) = o.login.clone().unzip();
    bytes(&Packet::Connect(Box::new(Connect {
        version: Version::V5,
        clean_start: false,
        keep_alive: o.keep_alive,
        properties,
        client_id: o.client_id.clone(),
        will: None,
        user_name: user,
        password: password.map(String::into_bytes),
    })))
}

/// A PUBLISH, if it can be written and is no larger than the broker takes.
pub fn message(publish: Publish, most: Option<u32>) -> Result<Vec<u8>, EncodeError> {
    Packet::Publish(Box::new(publish)).encode(Version::V5, most.unwrap_or(MOST_VARIABLE) as usize)
}

/// A PUBACK.
pub fn puback(id: u16, reason: ReasonCode) -> Vec<u8> {
    bytes(&Packet::Puback(Ack { packet_id: id, reason, properties: Properties::default() }))
}

/// A SUBSCRIBE to one filter. Retain as published: a message that its sender wants kept is marked also where it comes
/// live.
pub fn subscribe(id: u16, filter: &str, qos: Qos) -> Vec<u8> {
    let subscription = Subscription {
        filter: filter.to_string(),
        qos,
        retain_as_published: true,
        ..Subscription::default()
    };
    bytes(&Packet::Subscribe(Subscribe {
        packet_id: id,
        subscriptions: vec![subscription],
        ..Subscribe::default()
    }))
}

/// An UNSUBSCRIBE from one filter.
pub fn unsubscribe(id: u16, filter: &str) -> Vec<u8> {
    bytes(&Packet::Unsubscribe(Unsubscribe {
        packet_id: id,
        filters: vec![filter.to_string()],
        ..Unsubscribe::default()
    }))
}

/// A PINGREQ.
pub fn pingreq() -> Vec<u8> {
    bytes(&Packet::Pingreq)
}

/// A DISCONNECT; the session stays.
pub fn disconnect(reason: ReasonCode) -> Vec<u8> {
    bytes(&Packet::Disconnect(DisconnectOrAuth { reason, properties: Properties::default() }))
}
