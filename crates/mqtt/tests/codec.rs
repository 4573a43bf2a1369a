//! Property tests of the codec: encoded packets decode to themselves, and truncated, corrupted or random input yields an
//! error or a packet, never a panic. A table checks the statement and the reason code of each violation.

use ochreward_mqtt::packet::{
    Ack, Connack, Connect, DisconnectOrAuth, EncodeError, Packet, Publish, Qos, Suback, Subscribe,
    Subscription, Unsubscribe, Version, Will, decode,
};
use ochreward_mqtt::{PacketType, Properties, ReasonCode};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MAX_SIZE: usize = 1 << 20;

fn string() -> impl Strategy<Value = String> {
    "[a-z\u{e9}\u{20ac}]{0,12}"
}

fn topic() -> impl Strategy<Value = String> {
    "[a-z]{1,6}(/[a-z]{0,4}){0,3}"
}

fn optional<T: std::fmt::Debug + Clone + 'static>(
    of: impl Strategy<Value = T> + 'static,
) -> BoxedStrategy<Option<T>> {
    prop::option::of(of).boxed()
}

fn user() -> BoxedStrategy<Vec<(String, String)>> {
    prop::collection::vec((string(), string()), 0..3).boxed()
}

fn bytes() -> BoxedStrategy<Vec<u8>> {
    prop::collection::vec(any::<u8>(), 0..20).boxed()
}

/// Properties that are allowed in a PUBLISH and in a will.
fn message_properties() -> impl Strategy<Value = Properties> {
    (
        optional(any::<bool>()),
        optional(any::<u32>()),
        optional(string()),
        optional(topic()),
        optional(bytes()),
        user(),
    )
        .prop_map(
            |(payload_is_utf8, message_expiry, content_type, response_topic, correlation, user)| Properties {
                payload_is_utf8,
                message_expiry,
                content_type,
                response_topic,
                correlation,
                user,
                ..Properties::default()
            },
        )
}

fn acknowledgment_properties() -> impl Strategy<Value = Properties> {
    (optional(string()), user()).prop_map(|(reason_string, user)| Properties {
        reason_string,
        user,
        ..Properties::default()
    })
}

fn connection_properties() -> impl Strategy<Value = Properties> {
    let numbers =
        (optional(any::<u32>()), optional(1..=u16::MAX), optional(any::<u16>()), optional(1..=u32::MAX));
    (numbers, optional((string(), bytes())), user()).prop_map(|(numbers, authentication, user)| {
        let (session_expiry, receive_maximum, topic_alias_maximum, maximum_packet) = numbers;
        let (authentication_method, authentication_data) = authentication.unzip();
        Properties {
            session_expiry,
            receive_maximum,
            topic_alias_maximum,
            maximum_packet,
            authentication_method,
            authentication_data,
            user,
            ..Properties::default()
        }
    })
}

fn qos() -> impl Strategy<Value = Qos> {
    prop_oneof![Just(Qos::AtMostOnce), Just(Qos::AtLeastOnce), Just(Qos::ExactlyOnce)]
}

fn reason(packet_type: PacketType) -> impl Strategy<Value = ReasonCode> {
    let allowed: Vec<ReasonCode> =
        ReasonCode::ALL.iter().copied().filter(|r| r.is_allowed_in(packet_type)).collect();
    prop::sample::select(allowed)
}

fn ack(packet_type: PacketType) -> impl Strategy<Value = Ack> {
    (1..=u16::MAX, reason(packet_type), acknowledgment_properties())
        .prop_map(|(id, reason, properties)| Ack { packet_id: id, reason, properties })
}

fn suback(packet_type: PacketType) -> impl Strategy<Value = Suback> {
    (1..=u16::MAX, acknowledgment_properties(), prop::collection::vec(reason(packet_type), 1..4))
        .prop_map(|(id, properties, reasons)| Suback { packet_id: id, properties, reasons })
}

fn publish() -> impl Strategy<Value = Packet> {
    (any::<[bool; 2]>(), qos(), topic(), 1..=u16::MAX, message_properties(), optional(1..=u16::MAX), bytes())
        .prop_map(|([dup, retain], qos, topic, id, properties, topic_alias, payload)| {
            let is_qos_0 = qos == Qos::AtMostOnce;
            let properties = Properties { topic_alias, ..properties };
            let id = if is_qos_0 { 0 } else { id };
            Packet::Publish(Box::new(Publish {
                dup: dup && !is_qos_0,
                qos,
                retain,
                topic,
                packet_id: id,
                properties,
                payload,
            }))
        })
}

fn connect() -> impl Strategy<Value = Packet> {
    let will = (qos(), any::<bool>(), message_properties(), optional(any::<u32>()), topic(), bytes())
        .prop_map(|(qos, retain, properties, will_delay, topic, payload)| Will {
            qos,
            retain,
            properties: Properties { will_delay, ..properties },
            topic,
            payload,
        });
    (
        any::<bool>(),
        any::<u16>(),
        connection_properties(),
        string(),
        optional(will),
        optional(string()),
        optional(bytes()),
    )
        .prop_map(|(clean_start, keep_alive, properties, client_id, will, user, password)| {
            let version = Version::V5;
            Packet::Connect(Box::new(Connect {
                version,
                clean_start,
                keep_alive,
                properties,
                client_id,
                will,
                user_name: user,
                password,
            }))
        })
}

fn subscription() -> impl Strategy<Value = Subscription> {
    (topic(), qos(), any::<[bool; 2]>(), 0..3u8).prop_map(
        |(filter, qos, [no_local, retain_as_published], retain_handling)| Subscription {
            filter,
            qos,
            no_local,
            retain_as_published,
            retain_handling,
        },
    )
}

/// A packet of any type of MQTT 5.0.
fn packet() -> impl Strategy<Value = Packet> {
    let connack = (any::<bool>(), reason(PacketType::Connack), connection_properties()).prop_map(
        |(session, reason, properties)| {
            let session_present = session && !reason.is_failure();
            Packet::Connack(Box::new(Connack { session_present, reason, properties }))
        },
    );
    let subscribe = (1..=u16::MAX, optional(1..=268_435_455u32), prop::collection::vec(subscription(), 1..4))
        .prop_map(|(id, subscription_id, subscriptions)| {
            let subscription_ids = subscription_id.into_iter().collect();
            let properties = Properties { subscription_ids, ..Properties::default() };
            Packet::Subscribe(Subscribe { packet_id: id, properties, subscriptions })
        });
    let unsubscribe =
        (1..=u16::MAX, user(), prop::collection::vec(topic(), 1..4)).prop_map(|(id, user, filters)| {
            Packet::Unsubscribe(Unsubscribe {
                packet_id: id,
                properties: Properties { user, ..Properties::default() },
                filters,
            })
        });
    let disconnect = (reason(PacketType::Disconnect), acknowledgment_properties())
        .prop_map(|(reason, properties)| Packet::Disconnect(DisconnectOrAuth { reason, properties }));
    let auth = (reason(PacketType::Auth), string(), bytes()).prop_map(|(reason, method, data)| {
        let properties = Properties {
            authentication_method: Some(method),
            authentication_data: Some(data),
            ..Properties::default()
        };
        Packet::Auth(DisconnectOrAuth { reason, properties })
    });
    prop_oneof![
        connect(),
        connack,
        publish(),
        ack(PacketType::Puback).prop_map(Packet::Puback),
        ack(PacketType::Pubrec).prop_map(Packet::Pubrec),
        ack(PacketType::Pubrel).prop_map(Packet::Pubrel),
        ack(PacketType::Pubcomp).prop_map(Packet::Pubcomp),
        subscribe,
        suback(PacketType::Suback).prop_map(Packet::Suback),
        unsubscribe,
        suback(PacketType::Unsuback).prop_map(Packet::Unsuback),
        Just(Packet::Pingreq),
        Just(Packet::Pingresp),
        disconnect,
        auth,
    ]
}

/// Reduces a packet to what 3.1.1 can express.
fn as_v311(packet: Packet) -> Packet {
    let none = Properties::default;
    match packet {
        Packet::Connect(mut c) => {
            c.version = Version::V311;
            c.properties = none();
            c.will.iter_mut().for_each(|w| w.properties = none());
            c.password = c.password.filter(|_| c.user_name.is_some());
            Packet::Connect(c)
        }
        Packet::Connack(mut c) => {
            (c.properties, c.reason) = (none(), ReasonCode::Success);
            Packet::Connack(c)
        }
        Packet::Publish(mut p) => {
            p.properties = none();
            Packet::Publish(p)
        }
        Packet::Puback(a) => Packet::Puback(Ack { reason: ReasonCode::Success, properties: none(), ..a }),
        Packet::Pubrec(a) => Packet::Pubrec(Ack { reason: ReasonCode::Success, properties: none(), ..a }),
        Packet::Pubrel(a) => Packet::Pubrel(Ack { reason: ReasonCode::Success, properties: none(), ..a }),
        Packet::Pubcomp(a) => Packet::Pubcomp(Ack { reason: ReasonCode::Success, properties: none(), ..a }),
        Packet::Subscribe(mut s) => {
            s.properties = none();
            for subscription in &mut s.subscriptions {
                subscription.no_local = false;
                subscription.retain_as_published = false;
                subscription.retain_handling = 0;
            }
            Packet::Subscribe(s)
        }
        Packet::Suback(s) => {
            let reasons = s
                .reasons
                .into_iter()
                .map(|r| if r.is_failure() { ReasonCode::Unspecified } else { r })
                .collect();
            Packet::Suback(Suback { properties: none(), reasons, ..s })
        }
        Packet::Unsubscribe(u) => Packet::Unsubscribe(Unsubscribe { properties: none(), ..u }),
        Packet::Unsuback(s) => Packet::Unsuback(Suback { properties: none(), reasons: Vec::new(), ..s }),
        Packet::Disconnect(_) | Packet::Auth(_) => {
            Packet::Disconnect(DisconnectOrAuth { reason: ReasonCode::Success, properties: none() })
        }
        other => other,
    }
}

fn settings(cases: u32) -> ProptestConfig {
    // A fixed seed makes the generated packets reproducible.
    let rng_seed = RngSeed::Fixed(0x3117);
    ProptestConfig { cases, failure_persistence: None, rng_seed, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(settings(3_000))]

    #[test]
    fn packets_round_trip_in_both_versions(packet in packet()) {
        let bytes = packet.encode(Version::V5, MAX_SIZE).expect("encoded");
        prop_assert_eq!(decode(&bytes, Version::V5, MAX_SIZE), Ok(Some((packet.clone(), bytes.len()))));
        let v311_packet = as_v311(packet);
        let bytes = v311_packet.encode(Version::V311, MAX_SIZE).expect("encoded");
        prop_assert_eq!(decode(&bytes, Version::V311, MAX_SIZE), Ok(Some((v311_packet, bytes.len()))));
    }

    #[test]
    fn truncated_packets_need_more_bytes_and_bytes_after_a_packet_are_not_consumed(packet in packet(), more in bytes()) {
        let mut bytes = packet.encode(Version::V5, MAX_SIZE).expect("encoded");
        let size = bytes.len();
        for cut in 0..size {
            prop_assert_eq!(decode(&bytes[..cut], Version::V5, MAX_SIZE), Ok(None));
        }
        bytes.extend(more);
        prop_assert_eq!(decode(&bytes, Version::V5, MAX_SIZE), Ok(Some((packet, size))));
    }

    #[test]
    fn a_flipped_bit_yields_an_error_or_a_packet_that_round_trips(packet in packet(), bit in 0..8u8) {
        let valid = packet.encode(Version::V5, MAX_SIZE).expect("encoded");
        for index in 0..valid.len() {
            let mut bytes = valid.clone();
            bytes[index] ^= 1 << bit;
            for version in [Version::V5, Version::V311] {
                if let Ok(Some((decoded, size))) = decode(&bytes, version, MAX_SIZE) {
                    prop_assert!(size <= bytes.len());
                    let version = if let Packet::Connect(c) = &decoded { c.version } else { version };
                    let encoded = decoded.encode(version, MAX_SIZE);
                    prop_assert!(encoded.is_ok(), "{:?}: {:?}", decoded, encoded);
                    let encoded = encoded.expect("encoded");
                    prop_assert_eq!(
                        decode(&encoded, version, MAX_SIZE).map(|r| r.map(|(p, _)| p)),
                        Ok(Some(decoded))
                    );
                }
            }
        }
    }

    #[test]
    fn random_bytes_yield_an_error_a_packet_or_a_request_for_more(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        for version in [Version::V5, Version::V311] {
            if let Ok(Some((_, size))) = decode(&bytes, version, MAX_SIZE) {
                prop_assert!(size <= bytes.len());
            }
        }
    }

    #[test]
    fn packets_above_the_maximum_size_are_not_encoded(packet in packet()) {
        let size = packet.encode(Version::V5, MAX_SIZE).expect("encoded").len();
        prop_assert_eq!(packet.encode(Version::V5, size - 1), Err(EncodeError::PacketTooLarge));
    }
}

#[test]
fn violations_report_the_statement_and_reason_code_of_the_specification() {
    let table: [(&[u8], Version, &str, ReasonCode); 38] = [
        (&[0x00, 0], Version::V5, "MQTT 2.1.2", ReasonCode::MalformedPacket),
        (&[0xc1, 0], Version::V5, "MQTT-2.1.3-1", ReasonCode::MalformedPacket),
        (&[0x60, 2, 0, 1], Version::V5, "MQTT-2.1.3-1", ReasonCode::MalformedPacket),
        (&[0x80, 6, 0, 1, 0, 0, 0, 0], Version::V5, "MQTT-2.1.3-1", ReasonCode::MalformedPacket),
        (&[0x40, 0xff, 0xff, 0xff, 0xff, 1], Version::V5, "MQTT 1.5.5", ReasonCode::MalformedPacket),
        (&[0xc0, 0x80, 0x00], Version::V5, "MQTT-1.5.5-1", ReasonCode::MalformedPacket),
        (&[0x30, 0xff, 0xff, 0xff, 0x7f], Version::V5, "MQTT-3.1.2-24", ReasonCode::PacketTooLarge),
        (&[0xc0, 1, 0], Version::V5, "MQTT 2.1.4", ReasonCode::MalformedPacket),
        (&[0x40, 2, 0, 0], Version::V5, "MQTT-2.2.1-3", ReasonCode::ProtocolError),
        (&[0x40, 1, 0], Version::V5, "MQTT 1.5", ReasonCode::MalformedPacket),
        (&[0x40, 3, 0, 1, 0x01], Version::V5, "MQTT 2.4", ReasonCode::MalformedPacket),
        (&[0x40, 3, 0, 1, 0x55], Version::V5, "MQTT 2.4", ReasonCode::MalformedPacket),
        (&[0x10, 6, 0, 3, b'M', b'Q', b'T', 5], Version::V5, "MQTT-3.1.2-1", ReasonCode::UnsupportedProtocol),
        (
            &[0x10, 7, 0, 4, b'M', b'Q', b'T', b'T', 3],
            Version::V5,
            "MQTT-3.1.2-2",
            ReasonCode::UnsupportedProtocol,
        ),
        (
            &[0x10, 8, 0, 4, b'M', b'Q', b'T', b'T', 5, 1],
            Version::V5,
            "MQTT-3.1.2-3",
            ReasonCode::MalformedPacket,
        ),
        (
            &[0x10, 8, 0, 4, b'M', b'Q', b'T', b'T', 5, 0x08],
            Version::V5,
            "MQTT-3.1.2-11",
            ReasonCode::MalformedPacket,
        ),
        (
            &[0x10, 8, 0, 4, b'M', b'Q', b'T', b'T', 5, 0x1c],
            Version::V5,
            "MQTT-3.1.2-12",
            ReasonCode::MalformedPacket,
        ),
        (
            &[0x10, 8, 0, 4, b'M', b'Q', b'T', b'T', 5, 0x20],
            Version::V5,
            "MQTT-3.1.2-13",
            ReasonCode::MalformedPacket,
        ),
        (
            &[0x10, 8, 0, 4, b'M', b'Q', b'T', b'T', 4, 0x40],
            Version::V5,
            "MQTT-3.1.2-22",
            ReasonCode::MalformedPacket,
        ),
        (&[0x20, 3, 2, 0, 0], Version::V5, "MQTT-3.2.2-1", ReasonCode::MalformedPacket),
        (&[0x20, 3, 1, 0x87, 0], Version::V5, "MQTT-3.2.2-6", ReasonCode::ProtocolError),
        (&[0x20, 2, 0, 6], Version::V311, "MQTT 3.1.1 3.2.2.3", ReasonCode::MalformedPacket),
        (&[0x36, 4, 0, 1, b'a', 0], Version::V5, "MQTT-3.3.1-4", ReasonCode::MalformedPacket),
        (&[0x38, 4, 0, 1, b'a', 0], Version::V5, "MQTT-3.3.1-2", ReasonCode::MalformedPacket),
        (&[0x30, 4, 0, 1, b'#', 0], Version::V5, "MQTT-3.3.2-2", ReasonCode::TopicNameInvalid),
        (&[0x30, 3, 0, 0, 0], Version::V5, "MQTT 3.3.2.1", ReasonCode::ProtocolError),
        (&[0x30, 7, 0, 1, b'a', 3, 0x23, 0, 0], Version::V5, "MQTT-3.3.2-8", ReasonCode::TopicAliasInvalid),
        (
            &[0x30, 8, 0, 1, b'a', 4, 0x08, 0, 1, b'+'],
            Version::V5,
            "MQTT-3.3.2-14",
            ReasonCode::ProtocolError,
        ),
        (&[0x82, 3, 0, 1, 0], Version::V5, "MQTT-3.8.3-2", ReasonCode::ProtocolError),
        (&[0x82, 7, 0, 1, 0, 0, 1, b'a', 0x40], Version::V5, "MQTT-3.8.3-5", ReasonCode::MalformedPacket),
        (&[0x82, 7, 0, 1, 0, 0, 1, b'a', 0x03], Version::V5, "MQTT 3.8.3.1", ReasonCode::ProtocolError),
        (&[0x82, 7, 0, 1, 0, 0, 1, b'a', 0x30], Version::V5, "MQTT 3.8.3.1", ReasonCode::ProtocolError),
        (&[0x82, 6, 0, 1, 0, 1, b'a', 0x04], Version::V311, "MQTT-3.8.3-5", ReasonCode::MalformedPacket),
        (&[0x90, 3, 0, 1, 0x01], Version::V311, "", ReasonCode::Success),
        (&[0x90, 3, 0, 1, 0x87], Version::V311, "MQTT-3.9.3-2", ReasonCode::MalformedPacket),
        (&[0xa2, 3, 0, 1, 0], Version::V5, "MQTT-3.10.3-2", ReasonCode::ProtocolError),
        (&[0xf0, 2, 0x18, 0], Version::V5, "MQTT 3.15.2.2.2", ReasonCode::ProtocolError),
        (&[0xf0, 0], Version::V311, "MQTT 3.1.1 2.2.1", ReasonCode::MalformedPacket),
    ];
    for (bytes, version, statement, reason) in table {
        let decoded = decode(bytes, version, MAX_SIZE).map_err(|v| (v.statement, v.reason));
        if statement.is_empty() {
            assert!(matches!(decoded, Ok(Some(_))), "{bytes:x?}: {decoded:?}");
        } else {
            assert_eq!(decoded, Err((statement, reason)), "{bytes:x?}");
        }
    }
    let mut shared = vec![0x82, 14, 0, 1, 0, 0, 10];
    shared.extend(b"$share/g/a");
    shared[1] = (shared.len() - 2 + 1) as u8;
    shared.push(0x04);
    assert_eq!(decode(&shared, Version::V5, MAX_SIZE).map_err(|v| v.statement), Err("MQTT-3.8.3-4"));
}
