//! Control packets of MQTT 5.0 and 3.1.1 (section 3 of either standard): their types, [`decode`] and [`Packet::encode`].
//! Sizes are bounded by the maximum that the caller passes in; nothing is allocated for content that has not arrived.

use crate::property::{Location, Properties};
use crate::reason::{PacketType, ReasonCode, Violation};
use crate::topic;
use crate::wire::{
    MOST_VARIABLE, Reader, decode_variable_byte_integer, put_binary, put_variable_byte_integer,
};

/// A protocol version with its number on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Version {
    /// MQTT 3.1.1.
    V311 = 4,
    /// MQTT 5.0.
    V5 = 5,
}

/// A quality of service level.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Qos {
    /// At most once.
    #[default]
    AtMostOnce = 0,
    /// At least once.
    AtLeastOnce = 1,
    /// Exactly once.
    ExactlyOnce = 2,
}

impl Qos {
    /// Returns the level with this number; 3 is reserved.
    pub fn from_number(number: u8) -> Option<Qos> {
        [Qos::AtMostOnce, Qos::AtLeastOnce, Qos::ExactlyOnce].get(usize::from(number)).copied()
    }
}

/// The will message, which the server publishes when the connection ends without a normal DISCONNECT.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Will {
    /// The will QoS.
    pub qos: Qos,
    /// The will retain flag.
    pub retain: bool,
    /// The will properties; none in 3.1.1.
    pub properties: Properties,
    /// The will topic.
    pub topic: String,
    /// The will payload.
    pub payload: Vec<u8>,
}

/// CONNECT (3.1).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Connect {
    /// The protocol version.
    pub version: Version,
    /// Whether an existing session is discarded; *clean session* in 3.1.1.
    pub clean_start: bool,
    /// The keep alive interval in seconds; 0 turns the keep alive off.
    pub keep_alive: u16,
    /// Properties; none in 3.1.1.
    pub properties: Properties,
    /// The client identifier; if it is empty, the server assigns one.
    pub client_id: String,
    /// The will message.
    pub will: Option<Will>,
    /// The user name.
    pub user_name: Option<String>,
    /// The password.
    pub password: Option<Vec<u8>>,
}

/// CONNACK (3.2).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Connack {
    /// Whether the server resumes a session of this client.
    pub session_present: bool,
    /// Whether the connection is accepted. Return codes of 3.1.1 are mapped to reason codes.
    pub reason: ReasonCode,
    /// Properties; none in 3.1.1.
    pub properties: Properties,
}

/// PUBLISH (3.3).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Publish {
    /// Whether the packet may be a re-delivery of an earlier one.
    pub dup: bool,
    /// The quality of service level.
    pub qos: Qos,
    /// Whether the message was, or is to be, retained by the server.
    pub retain: bool,
    /// The topic name; may be empty if a topic alias is set.
    pub topic: String,
    /// The packet identifier; 0 at QoS 0.
    pub packet_id: u16,
    /// Properties; none in 3.1.1.
    pub properties: Properties,
    /// The application message.
    pub payload: Vec<u8>,
}

/// PUBACK, PUBREC, PUBREL or PUBCOMP (3.4 to 3.7).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ack {
    /// The packet identifier of the message.
    pub packet_id: u16,
    /// The reason code.
    pub reason: ReasonCode,
    /// Properties; none in 3.1.1.
    pub properties: Properties,
}

/// One topic filter of a SUBSCRIBE with its subscription options.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Subscription {
    /// The topic filter, not validated.
    pub filter: String,
    /// The maximum QoS at which the server may send messages.
    pub qos: Qos,
    /// Whether the client's own messages are left out.
    pub no_local: bool,
    /// Whether messages are forwarded with the retain flag they were published with.
    pub retain_as_published: bool,
    /// When retained messages are sent: 0 at the time of the subscribe, 1 only if the subscription is new, 2 never.
    pub retain_handling: u8,
}

/// SUBSCRIBE (3.8).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Subscribe {
    /// The packet identifier.
    pub packet_id: u16,
    /// Properties; none in 3.1.1.
    pub properties: Properties,
    /// The subscriptions, at least one.
    pub subscriptions: Vec<Subscription>,
}

/// SUBACK or UNSUBACK (3.9, 3.11).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suback {
    /// The packet identifier of the SUBSCRIBE or UNSUBSCRIBE.
    pub packet_id: u16,
    /// Properties; none in 3.1.1.
    pub properties: Properties,
    /// One reason code for each topic filter; none in an UNSUBACK of 3.1.1.
    pub reasons: Vec<ReasonCode>,
}

/// UNSUBSCRIBE (3.10).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Unsubscribe {
    /// The packet identifier.
    pub packet_id: u16,
    /// Properties; none in 3.1.1.
    pub properties: Properties,
    /// The topic filters, at least one.
    pub filters: Vec<String>,
}

/// DISCONNECT or AUTH (3.14, 3.15).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DisconnectOrAuth {
    /// The disconnect or authenticate reason code.
    pub reason: ReasonCode,
    /// Properties; none in 3.1.1.
    pub properties: Properties,
}

/// A control packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Packet {
    /// Connection request.
    Connect(Box<Connect>),
    /// Connect acknowledgment.
    Connack(Box<Connack>),
    /// Publish message.
    Publish(Box<Publish>),
    /// Publish acknowledgment (QoS 1).
    Puback(Ack),
    /// Publish received (QoS 2, first acknowledgment).
    Pubrec(Ack),
    /// Publish release (QoS 2).
    Pubrel(Ack),
    /// Publish complete (QoS 2, last acknowledgment).
    Pubcomp(Ack),
    /// Subscribe request.
    Subscribe(Subscribe),
    /// Subscribe acknowledgment.
    Suback(Suback),
    /// Unsubscribe request.
    Unsubscribe(Unsubscribe),
    /// Unsubscribe acknowledgment.
    Unsuback(Suback),
    /// Ping request.
    Pingreq,
    /// Ping response.
    Pingresp,
    /// Disconnect notification.
    Disconnect(DisconnectOrAuth),
    /// Authentication exchange.
    Auth(DisconnectOrAuth),
}

/// Why a packet cannot be encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EncodeError {
    /// A string or binary value is longer than 65,535 bytes.
    ValueTooLong,
    /// The packet exceeds the protocol's limit or the maximum packet size of the peer.
    PacketTooLarge,
    /// A property, option, reason code or packet type is not allowed in the protocol version or in this packet type.
    NotAllowed,
    /// The packet identifier is 0 where one is required, or is not 0, or `dup` is set, at QoS 0.
    InvalidPacketId,
    /// A SUBSCRIBE, UNSUBSCRIBE or their acknowledgment has no entries (or an UNSUBACK of 3.1.1 has some).
    InvalidEntryCount,
}

/// Reads the fixed header at the start of `bytes` and returns the size of the whole packet and the offset of its content;
/// `None` if the header is incomplete. A packet larger than `max_size` is an error as soon as its length is known, before
/// its content has arrived [MQTT-3.1.2-24].
pub fn fixed_header(bytes: &[u8], max_size: usize) -> Result<Option<(usize, usize)>, Violation> {
    let Some(first) = bytes.first() else { return Ok(None) };
    if PacketType::from_number(first >> 4).is_none() {
        return Err(Violation::malformed("MQTT 2.1.2", "an unknown packet type"));
    }
    let Some((remaining_length, length_size)) = decode_variable_byte_integer(&bytes[1..])? else {
        return Ok(None);
    };
    let packet_size = 1 + length_size + remaining_length as usize;
    if packet_size > max_size {
        let what = "a packet larger than the maximum packet size";
        return Err(Violation {
            reason: ReasonCode::PacketTooLarge,
            statement: "MQTT-3.1.2-24",
            description: what,
        });
    }
    Ok(Some((packet_size, 1 + length_size)))
}

/// Decodes the packet at the start of `bytes` and returns it with its size; `None` if more bytes are needed. A CONNECT is
/// decoded in the version that it states, all other packets in `version`.
pub fn decode(bytes: &[u8], version: Version, max_size: usize) -> Result<Option<(Packet, usize)>, Violation> {
    let Some((packet_size, content_start)) = fixed_header(bytes, max_size)? else { return Ok(None) };
    let Some(content) = bytes.get(content_start..packet_size) else { return Ok(None) };
    Ok(Some((read_packet(bytes[0], content, version)?, packet_size)))
}

const RESERVED_FLAGS: Violation =
    Violation::malformed("MQTT-2.1.3-1", "reserved fixed header flags with the wrong value");
const ZERO_PACKET_ID: Violation = Violation::protocol("MQTT-2.2.1-3", "a packet identifier of 0");
const TRAILING_BYTES: Violation =
    Violation::malformed("MQTT 2.1.4", "trailing bytes after the packet's content");

fn read_packet(first: u8, content: &[u8], version: Version) -> Result<Packet, Violation> {
    let packet_type = PacketType::from_number(first >> 4)
        .ok_or(Violation::malformed("MQTT 2.1.2", "an unknown packet type"))?;
    let flags = first & 0x0f;
    let expected_flags =
        if matches!(packet_type, PacketType::Pubrel | PacketType::Subscribe | PacketType::Unsubscribe) {
            2
        } else {
            0
        };
    if packet_type != PacketType::Publish && flags != expected_flags {
        return Err(RESERVED_FLAGS);
    }
    let mut reader = Reader::new(content);
    let v5 = version == Version::V5;
    let packet = match packet_type {
        PacketType::Connect => Packet::Connect(Box::new(connect(&mut reader)?)),
        PacketType::Connack => Packet::Connack(Box::new(connack(&mut reader, version)?)),
        PacketType::Publish => return publish(flags, reader, version).map(|p| Packet::Publish(Box::new(p))),
        PacketType::Puback => Packet::Puback(ack(&mut reader, packet_type, version)?),
        PacketType::Pubrec => Packet::Pubrec(ack(&mut reader, packet_type, version)?),
        PacketType::Pubrel => Packet::Pubrel(ack(&mut reader, packet_type, version)?),
        PacketType::Pubcomp => Packet::Pubcomp(ack(&mut reader, packet_type, version)?),
        PacketType::Subscribe => Packet::Subscribe(subscribe(&mut reader, version)?),
        PacketType::Suback => Packet::Suback(suback(&mut reader, packet_type, version)?),
        PacketType::Unsubscribe => Packet::Unsubscribe(unsubscribe(&mut reader, version)?),
        PacketType::Unsuback => Packet::Unsuback(suback(&mut reader, packet_type, version)?),
        PacketType::Pingreq => Packet::Pingreq,
        PacketType::Pingresp => Packet::Pingresp,
        PacketType::Disconnect => Packet::Disconnect(closing(&mut reader, packet_type, v5)?),
        PacketType::Auth if v5 => Packet::Auth(closing(&mut reader, packet_type, v5)?),
        PacketType::Auth => return Err(Violation::malformed("MQTT 3.1.1 2.2.1", "an unknown packet type")),
    };
    if reader.is_empty() { Ok(packet) } else { Err(TRAILING_BYTES) }
}

fn properties(
    reader: &mut Reader,
    packet_type: PacketType,
    version: Version,
) -> Result<Properties, Violation> {
    if version == Version::V5 {
        Properties::read(reader, Location::Packet(packet_type))
    } else {
        Ok(Properties::default())
    }
}

fn packet_id(reader: &mut Reader) -> Result<u16, Violation> {
    let id = reader.u16()?;
    if id == 0 { Err(ZERO_PACKET_ID) } else { Ok(id) }
}

fn reason(code: u8, packet_type: PacketType) -> Result<ReasonCode, Violation> {
    let violation = Violation::malformed("MQTT 2.4", "a reason code that is not allowed in this packet");
    ReasonCode::from_code(code).filter(|reason| reason.is_allowed_in(packet_type)).ok_or(violation)
}

fn connect(reader: &mut Reader) -> Result<Connect, Violation> {
    let unsupported =
        |statement, what| Violation { reason: ReasonCode::UnsupportedProtocol, statement, description: what };
    if reader.string()? != "MQTT" {
        return Err(unsupported("MQTT-3.1.2-1", "a protocol name other than MQTT"));
    }
    let version = match reader.u8()? {
        4 => Version::V311,
        5 => Version::V5,
        _ => return Err(unsupported("MQTT-3.1.2-2", "an unsupported protocol version")),
    };
    let flags = reader.u8()?;
    let flag = |bit: u8| flags >> bit & 1 == 1;
    if flag(0) {
        return Err(Violation::malformed("MQTT-3.1.2-3", "the reserved flag of a CONNECT that is set"));
    }
    let qos =
        Qos::from_number(flags >> 3 & 3).ok_or(Violation::malformed("MQTT-3.1.2-12", "a will of QoS 3"))?;
    if !flag(2) && qos != Qos::AtMostOnce {
        return Err(Violation::malformed("MQTT-3.1.2-11", "a will QoS without a will"));
    }
    if !flag(2) && flag(5) {
        return Err(Violation::malformed("MQTT-3.1.2-13", "a will retain flag without a will"));
    }
    if version == Version::V311 && flag(6) && !flag(7) {
        return Err(Violation::malformed("MQTT-3.1.2-22", "a password without a user name"));
    }
    let keep_alive = reader.u16()?;
    let properties = properties(reader, PacketType::Connect, version)?;
    let client_id = reader.string()?.to_string();
    let will = if flag(2) {
        let v5 = version == Version::V5;
        let properties = if v5 { Properties::read(reader, Location::Will)? } else { Properties::default() };
        let topic = reader.string()?.to_string();
        topic::check_name(&topic)?;
        Some(Will { qos, retain: flag(5), properties, topic, payload: reader.binary()?.to_vec() })
    } else {
        None
    };
    let user = if flag(7) { Some(reader.string()?.to_string()) } else { None };
    let password = if flag(6) { Some(reader.binary()?.to_vec()) } else { None };
    Ok(Connect {
        version,
        clean_start: flag(1),
        keep_alive,
        properties,
        client_id,
        will,
        user_name: user,
        password,
    })
}

/// The reason codes of the CONNACK return codes of 3.1.1, indexed by return code.
const RETURN_CODES: [ReasonCode; 6] = [
    ReasonCode::Success,
    ReasonCode::UnsupportedProtocol,
    ReasonCode::ClientIdNotValid,
    ReasonCode::ServerUnavailable,
    ReasonCode::BadUserNameOrPassword,
    ReasonCode::NotAuthorized,
];

fn connack(reader: &mut Reader, version: Version) -> Result<Connack, Violation> {
    let flags = reader.u8()?;
    if flags > 1 {
        return Err(Violation::malformed("MQTT-3.2.2-1", "reserved flags of a CONNACK that are set"));
    }
    let code = reader.u8()?;
    let reason = match version {
        Version::V5 => reason(code, PacketType::Connack)?,
        Version::V311 => *RETURN_CODES
            .get(usize::from(code))
            .ok_or(Violation::malformed("MQTT 3.1.1 3.2.2.3", "a reserved return code"))?,
    };
    let session_present = flags == 1;
    if session_present && reason.is_failure() {
        return Err(Violation::protocol(
            "MQTT-3.2.2-6",
            "session present set in a CONNACK that refuses the connection",
        ));
    }
    Ok(Connack { session_present, reason, properties: properties(reader, PacketType::Connack, version)? })
}

fn publish(flags: u8, mut reader: Reader, version: Version) -> Result<Publish, Violation> {
    let qos =
        Qos::from_number(flags >> 1 & 3).ok_or(Violation::malformed("MQTT-3.3.1-4", "a message of QoS 3"))?;
    let (dup, retain) = (flags & 8 != 0, flags & 1 != 0);
    if dup && qos == Qos::AtMostOnce {
        return Err(Violation::malformed("MQTT-3.3.1-2", "a message of QoS 0 with the DUP flag set"));
    }
    let topic = reader.string()?.to_string();
    let id = if qos == Qos::AtMostOnce { 0 } else { packet_id(&mut reader)? };
    let properties = properties(&mut reader, PacketType::Publish, version)?;
    if properties.topic_alias == Some(0) {
        let what = "a topic alias of 0";
        return Err(Violation {
            reason: ReasonCode::TopicAliasInvalid,
            statement: "MQTT-3.3.2-8",
            description: what,
        });
    }
    if topic.is_empty() && properties.topic_alias.is_none() {
        return Err(Violation::protocol("MQTT 3.3.2.1", "a message without a topic name or a topic alias"));
    }
    if !topic.is_empty() {
        topic::check_name(&topic)?;
    }
    if let Some(response) = &properties.response_topic {
        topic::check_name(response)
            .map_err(|_| Violation::protocol("MQTT-3.3.2-14", "a response topic with wildcards"))?;
    }
    Ok(Publish { dup, qos, retain, topic, packet_id: id, properties, payload: reader.remaining().to_vec() })
}

fn ack(reader: &mut Reader, packet_type: PacketType, version: Version) -> Result<Ack, Violation> {
    let id = packet_id(reader)?;
    // An omitted reason code means success (3.4.2.1).
    if version == Version::V311 || reader.is_empty() {
        return Ok(Ack { packet_id: id, reason: ReasonCode::Success, properties: Properties::default() });
    }
    let reason = reason(reader.u8()?, packet_type)?;
    let properties = if reader.is_empty() {
        Properties::default()
    } else {
        Properties::read(reader, Location::Packet(packet_type))?
    };
    Ok(Ack { packet_id: id, reason, properties })
}

fn subscribe(reader: &mut Reader, version: Version) -> Result<Subscribe, Violation> {
    let id = packet_id(reader)?;
    let properties = properties(reader, PacketType::Subscribe, version)?;
    let mut subscriptions = Vec::new();
    while !reader.is_empty() {
        let filter = reader.string()?.to_string();
        let options = reader.u8()?;
        let reserved = if version == Version::V5 { options & 0xc0 } else { options & 0xfc };
        if reserved != 0 {
            return Err(Violation::malformed(
                "MQTT-3.8.3-5",
                "reserved bits of the subscription options that are set",
            ));
        }
        let qos = Qos::from_number(options & 3)
            .ok_or(Violation::protocol("MQTT 3.8.3.1", "a subscription with QoS 3"))?;
        let retain_handling = options >> 4 & 3;
        if retain_handling == 3 {
            return Err(Violation::protocol("MQTT 3.8.3.1", "a subscription with retain handling 3"));
        }
        let no_local = options & 4 != 0;
        if no_local && filter.starts_with("$share/") {
            return Err(Violation::protocol(
                "MQTT-3.8.3-4",
                "a shared subscription with the no local option",
            ));
        }
        let retain_as_published = options & 8 != 0;
        subscriptions.push(Subscription { filter, qos, no_local, retain_as_published, retain_handling });
    }
    if subscriptions.is_empty() {
        return Err(Violation::protocol("MQTT-3.8.3-2", "a SUBSCRIBE without a filter"));
    }
    Ok(Subscribe { packet_id: id, properties, subscriptions })
}

fn suback(reader: &mut Reader, packet_type: PacketType, version: Version) -> Result<Suback, Violation> {
    let id = packet_id(reader)?;
    let properties = properties(reader, packet_type, version)?;
    let mut reasons = Vec::new();
    while !reader.is_empty() {
        let code = reader.u8()?;
        let reserved_in_v311 = version == Version::V311 && !matches!(code, 0..=2 | 0x80);
        if reserved_in_v311 || (version == Version::V311 && packet_type == PacketType::Unsuback) {
            return Err(Violation::malformed("MQTT-3.9.3-2", "a reserved return code"));
        }
        reasons.push(reason(code, packet_type)?);
    }
    if reasons.is_empty() && !(version == Version::V311 && packet_type == PacketType::Unsuback) {
        return Err(Violation::protocol("MQTT-3.8.4-6", "an acknowledgment without a reason code"));
    }
    Ok(Suback { packet_id: id, properties, reasons })
}

fn unsubscribe(reader: &mut Reader, version: Version) -> Result<Unsubscribe, Violation> {
    let id = packet_id(reader)?;
    let properties = properties(reader, PacketType::Unsubscribe, version)?;
    let mut filters = Vec::new();
    while !reader.is_empty() {
        filters.push(reader.string()?.to_string());
    }
    if filters.is_empty() {
        return Err(Violation::protocol("MQTT-3.10.3-2", "an UNSUBSCRIBE without a filter"));
    }
    Ok(Unsubscribe { packet_id: id, properties, filters })
}

fn closing(reader: &mut Reader, packet_type: PacketType, v5: bool) -> Result<DisconnectOrAuth, Violation> {
    if !v5 || reader.is_empty() {
        return Ok(DisconnectOrAuth { reason: ReasonCode::Success, properties: Properties::default() });
    }
    let reason = reason(reader.u8()?, packet_type)?;
    let properties = if reader.is_empty() {
        Properties::default()
    } else {
        Properties::read(reader, Location::Packet(packet_type))?
    };
    if packet_type == PacketType::Auth && properties.authentication_method.is_none() {
        return Err(Violation::protocol("MQTT 3.15.2.2.2", "an AUTH without an authentication method"));
    }
    Ok(DisconnectOrAuth { reason, properties })
}

// ---- Encoding ----

/// Encodes the content of a packet and keeps the first error, so that an invalid packet is rejected as a whole.
struct Writer {
    out: Vec<u8>,
    v5: bool,
    error: Option<EncodeError>,
}

impl Writer {
    fn fail(&mut self, error: EncodeError) {
        self.error.get_or_insert(error);
    }

    fn binary(&mut self, bytes: &[u8]) {
        if bytes.len() > usize::from(u16::MAX) {
            self.fail(EncodeError::ValueTooLong);
        }
        put_binary(&mut self.out, bytes);
    }

    fn string(&mut self, string: &str) {
        self.binary(string.as_bytes());
    }

    fn packet_id(&mut self, id: u16) {
        if id == 0 {
            self.fail(EncodeError::InvalidPacketId);
        }
        self.out.extend(id.to_be_bytes());
    }

    fn properties(&mut self, properties: &Properties, location: Location) {
        if properties.first_disallowed(location).is_some() || (!self.v5 && !properties.is_empty()) {
            self.fail(EncodeError::NotAllowed);
        }
        let strings = [
            &properties.content_type,
            &properties.response_topic,
            &properties.assigned_client_id,
            &properties.authentication_method,
            &properties.response_information,
            &properties.server_reference,
            &properties.reason_string,
        ];
        let string_lengths = strings.into_iter().flatten().map(String::len);
        let binaries = [&properties.correlation, &properties.authentication_data];
        let binary_lengths = binaries.into_iter().flatten().map(Vec::len);
        let user_lengths = properties.user.iter().flat_map(|(name, value)| [name.len(), value.len()]);
        let lengths = string_lengths.chain(binary_lengths).chain(user_lengths);
        if lengths.max().unwrap_or_default() > usize::from(u16::MAX) {
            self.fail(EncodeError::ValueTooLong);
        }
        if self.v5 {
            properties.write(&mut self.out);
        }
    }

    /// Writes a reason code and properties. Success without properties is omitted, and so are empty properties.
    fn reason_and_properties(
        &mut self,
        reason: ReasonCode,
        properties: &Properties,
        packet_type: PacketType,
    ) {
        if !self.v5 {
            if !properties.is_empty() {
                self.fail(EncodeError::NotAllowed);
            }
            return;
        }
        if !reason.is_allowed_in(packet_type) {
            self.fail(EncodeError::NotAllowed);
        }
        if reason == ReasonCode::Success && properties.is_empty() {
            return;
        }
        self.out.push(reason.code());
        if !properties.is_empty() {
            self.properties(properties, Location::Packet(packet_type));
        }
    }
}

impl Packet {
    /// Returns the packet type.
    pub fn packet_type(&self) -> PacketType {
        match self {
            Packet::Connect(_) => PacketType::Connect,
            Packet::Connack(_) => PacketType::Connack,
            Packet::Publish(_) => PacketType::Publish,
            Packet::Puback(_) => PacketType::Puback,
            Packet::Pubrec(_) => PacketType::Pubrec,
            Packet::Pubrel(_) => PacketType::Pubrel,
            Packet::Pubcomp(_) => PacketType::Pubcomp,
            Packet::Subscribe(_) => PacketType::Subscribe,
            Packet::Suback(_) => PacketType::Suback,
            Packet::Unsubscribe(_) => PacketType::Unsubscribe,
            Packet::Unsuback(_) => PacketType::Unsuback,
            Packet::Pingreq => PacketType::Pingreq,
            Packet::Pingresp => PacketType::Pingresp,
            Packet::Disconnect(_) => PacketType::Disconnect,
            Packet::Auth(_) => PacketType::Auth,
        }
    }

    /// Encodes the packet, at most `max_size` bytes. A CONNECT is encoded in the version that it states, all other packets
    /// in `version`.
    pub fn encode(&self, version: Version, max_size: usize) -> Result<Vec<u8>, EncodeError> {
        let packet_type = self.packet_type();
        let location = Location::Packet(packet_type);
        let version = if let Packet::Connect(connect) = self { connect.version } else { version };
        let mut writer = Writer { out: Vec::new(), v5: version == Version::V5, error: None };
        let mut flags =
            if matches!(packet_type, PacketType::Pubrel | PacketType::Subscribe | PacketType::Unsubscribe) {
                2
            } else {
                0
            };
        match self {
            Packet::Connect(connect) => connect.write(&mut writer),
            Packet::Connack(connack) => {
                writer.out.push(u8::from(connack.session_present));
                let return_code = RETURN_CODES.iter().position(|reason| *reason == connack.reason);
                let code =
                    if writer.v5 { Some(connack.reason.code()) } else { return_code.map(|code| code as u8) };
                if code.is_none() || !connack.reason.is_allowed_in(packet_type) {
                    writer.fail(EncodeError::NotAllowed);
                }
                writer.out.push(code.unwrap_or_default());
                writer.properties(&connack.properties, location);
            }
            Packet::Publish(publish) => {
                flags = u8::from(publish.dup) << 3 | (publish.qos as u8) << 1 | u8::from(publish.retain);
                writer.string(&publish.topic);
                if publish.qos != Qos::AtMostOnce {
                    writer.packet_id(publish.packet_id);
                } else if publish.packet_id != 0 || publish.dup {
                    writer.fail(EncodeError::InvalidPacketId);
                }
                writer.properties(&publish.properties, location);
                writer.out.extend(&publish.payload);
            }
            Packet::Puback(ack) | Packet::Pubrec(ack) | Packet::Pubrel(ack) | Packet::Pubcomp(ack) => {
                writer.packet_id(ack.packet_id);
                writer.reason_and_properties(ack.reason, &ack.properties, packet_type);
            }
            Packet::Subscribe(subscribe) => {
                writer.packet_id(subscribe.packet_id);
                writer.properties(&subscribe.properties, location);
                if subscribe.subscriptions.is_empty() {
                    writer.fail(EncodeError::InvalidEntryCount);
                }
                for subscription in &subscribe.subscriptions {
                    writer.string(&subscription.filter);
                    let v5_options = u8::from(subscription.no_local) << 2
                        | u8::from(subscription.retain_as_published) << 3
                        | subscription.retain_handling.min(2) << 4;
                    if v5_options != 0 && !writer.v5 {
                        writer.fail(EncodeError::NotAllowed);
                    }
                    writer.out.push(subscription.qos as u8 | v5_options);
                }
            }
            Packet::Suback(suback) | Packet::Unsuback(suback) => {
                writer.packet_id(suback.packet_id);
                writer.properties(&suback.properties, location);
                let without_reasons = !writer.v5 && packet_type == PacketType::Unsuback;
                if suback.reasons.is_empty() != without_reasons {
                    writer.fail(EncodeError::InvalidEntryCount);
                }
                for reason in &suback.reasons {
                    let defined_in_v311 = matches!(reason.code(), 0..=2 | 0x80);
                    if !reason.is_allowed_in(packet_type) || (!writer.v5 && !defined_in_v311) {
                        writer.fail(EncodeError::NotAllowed);
                    }
                    writer.out.push(reason.code());
                }
            }
            Packet::Unsubscribe(unsubscribe) => {
                writer.packet_id(unsubscribe.packet_id);
                writer.properties(&unsubscribe.properties, location);
                if unsubscribe.filters.is_empty() {
                    writer.fail(EncodeError::InvalidEntryCount);
                }
                unsubscribe.filters.iter().for_each(|filter| writer.string(filter));
            }
            Packet::Pingreq | Packet::Pingresp => {}
            Packet::Disconnect(closing) => {
                writer.reason_and_properties(closing.reason, &closing.properties, packet_type)
            }
            Packet::Auth(closing) => {
                if !writer.v5 {
                    writer.fail(EncodeError::NotAllowed);
                }
                writer.reason_and_properties(closing.reason, &closing.properties, packet_type);
            }
        }
        if writer.out.len() > MOST_VARIABLE as usize {
            writer.fail(EncodeError::PacketTooLarge);
        }
        let mut out = Vec::with_capacity(writer.out.len() + 5);
        out.push((packet_type as u8) << 4 | flags);
        put_variable_byte_integer(&mut out, writer.out.len() as u32);
        out.extend(writer.out);
        match writer.error {
            Some(error) => Err(error),
            None if out.len() > max_size => Err(EncodeError::PacketTooLarge),
            None => Ok(out),
        }
    }
}

impl Connect {
    fn write(&self, writer: &mut Writer) {
        writer.string("MQTT");
        writer.out.push(self.version as u8);
        let mut flags = u8::from(self.clean_start) << 1;
        if let Some(will) = &self.will {
            flags |= 1 << 2 | (will.qos as u8) << 3 | u8::from(will.retain) << 5;
        }
        flags |= u8::from(self.password.is_some()) << 6 | u8::from(self.user_name.is_some()) << 7;
        if !writer.v5 && self.password.is_some() && self.user_name.is_none() {
            writer.fail(EncodeError::NotAllowed);
        }
        writer.out.push(flags);
        writer.out.extend(self.keep_alive.to_be_bytes());
        writer.properties(&self.properties, Location::Packet(PacketType::Connect));
        writer.string(&self.client_id);
        if let Some(will) = &self.will {
            writer.properties(&will.properties, Location::Will);
            writer.string(&will.topic);
            writer.binary(&will.payload);
        }
        if let Some(user) = &self.user_name {
            writer.string(user);
        }
        if let Some(password) = &self.password {
            writer.binary(password);
        }
    }
}
