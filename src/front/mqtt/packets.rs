//! Encodes the packets that the front sends to a broker, in MQTT 5.0.

use super::options::Options;
use ochreward_mqtt::packet::{
    Ack, Connect, DisconnectOrAuth, EncodeError, Packet, Publish, Subscribe, Subscription, Unsubscribe,
};
use ochreward_mqtt::wire::MOST_VARIABLE;
use ochreward_mqtt::{Properties, Qos, ReasonCode, Version};

/// Encodes a packet, or returns no bytes if that is impossible. Only a PUBLISH can be too large, and [`publish`] returns
/// an error for it.
fn encode(packet: &Packet) -> Vec<u8> {
    packet.encode(Version::V5, MOST_VARIABLE as usize).unwrap_or_default()
}

/// Encodes a CONNECT that resumes the session, if there is one.
pub fn connect(options: &Options) -> Vec<u8> {
    let properties = Properties {
        session_expiry: Some(options.session_expiry),
        receive_maximum: Some(options.receive_maximum),
        maximum_packet: Some(options.maximum_packet as u32),
        ..Properties::default()
    };
    let (user, password) = options.login.clone().unzip();
    encode(&Packet::Connect(Box::new(Connect {
        version: Version::V5,
        clean_start: false,
        keep_alive: options.keep_alive,
        properties,
        client_id: options.client_id.clone(),
        will: None,
        user_name: user,
        password: password.map(String::into_bytes),
    })))
}

/// Encodes a PUBLISH; fails if it is larger than the broker's maximum packet size.
pub fn publish(message: Publish, max_packet_bytes: Option<u32>) -> Result<Vec<u8>, EncodeError> {
    Packet::Publish(Box::new(message)).encode(Version::V5, max_packet_bytes.unwrap_or(MOST_VARIABLE) as usize)
}

/// Encodes a PUBACK.
pub fn puback(id: u16, reason: ReasonCode) -> Vec<u8> {
    encode(&Packet::Puback(Ack { packet_id: id, reason, properties: Properties::default() }))
}

/// Encodes a SUBSCRIBE to one filter, with Retain As Published: the broker then keeps the retain flag that the sender set
/// also on messages that it forwards live.
pub fn subscribe(id: u16, filter: &str, qos: Qos) -> Vec<u8> {
    let subscription = Subscription {
        filter: filter.to_string(),
        qos,
        retain_as_published: true,
        ..Subscription::default()
    };
    encode(&Packet::Subscribe(Subscribe {
        packet_id: id,
        subscriptions: vec![subscription],
        ..Subscribe::default()
    }))
}

/// Encodes an UNSUBSCRIBE from one filter.
pub fn unsubscribe(id: u16, filter: &str) -> Vec<u8> {
    encode(&Packet::Unsubscribe(Unsubscribe {
        packet_id: id,
        filters: vec![filter.to_string()],
        ..Unsubscribe::default()
    }))
}

/// Encodes a PINGREQ.
pub fn pingreq() -> Vec<u8> {
    encode(&Packet::Pingreq)
}

/// Encodes a DISCONNECT; the broker keeps the session.
pub fn disconnect(reason: ReasonCode) -> Vec<u8> {
    encode(&Packet::Disconnect(DisconnectOrAuth { reason, properties: Properties::default() }))
}
