//! Control packets of MQTT 5.0 and 3.1.1 (section 3 of either), both ways.

use crate::property::{Place, Properties};
use crate::reason::{Kind, Reason, Violation};
use crate::topic;
use crate::wire::{MOST_VARIABLE, Reader, put_binary, put_variable, variable};

/// A version of the protocol, by its number on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Version {
    /// MQTT 3.1.1.
    V311 = 4,
    /// MQTT 5.0.
    V5 = 5,
}

/// How surely a message is delivered.
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
    /// The quality with this number.
    pub fn of(number: u8) -> Option<Qos> {
        [Qos::AtMostOnce, Qos::AtLeastOnce, Qos::ExactlyOnce].get(usize::from(number)).copied()
    }
}

/// What is published for a client that goes without leave.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Will {
    /// Its quality of service.
    pub qos: Qos,
    /// It is to be kept.
    pub retain: bool,
    /// Its properties; none in 3.1.1.
    pub properties: Properties,
    /// Its topic.
    pub topic: String,
    /// Its payload.
    pub payload: Vec<u8>,
}

/// CONNECT (3.1).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Connect {
    /// The version that the client speaks.
    pub version: Version,
    /// It begins anew; *clean session* in 3.1.1.
    pub clean_start: bool,
    /// Seconds between its signs of life; 0: it gives none.
    pub keep_alive: u16,
    /// Properties; none in 3.1.1.
    pub properties: Properties,
    /// Its id; empty: the server is to give it one.
    pub client_id: String,
    /// Its will.
    pub will: Option<Will>,
    /// Its name.
    pub user: Option<String>,
    /// Its password.
    pub password: Option<Vec<u8>>,
}

/// CONNACK (3.2).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Connack {
    /// The server holds a session of this client.
    pub session_present: bool,
    /// Whether it takes the client. Return codes of 3.1.1 are turned into reasons.
    pub reason: Reason,
    /// Properties; none in 3.1.1.
    pub properties: Properties,
}

/// PUBLISH (3.3).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Publish {
    /// It may have been sent before.
    pub dup: bool,
    /// Its quality of service.
    pub qos: Qos,
    /// It was kept, or is to be.
    pub retain: bool,
    /// Its topic; empty with a topic alias.
    pub topic: String,
    /// Its number; 0 at QoS 0.
    pub id: u16,
    /// Properties; none in 3.1.1.
    pub properties: Properties,
    /// The body.
    pub payload: Vec<u8>,
}

/// PUBACK, PUBREC, PUBREL or PUBCOMP (3.4 to 3.7).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ack {
    /// The number of the message.
    pub id: u16,
    /// What became of it.
    pub reason: Reason,
    /// Properties; none in 3.1.1.
    pub properties: Properties,
}

/// A subscription asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Subscription {
    /// The topic filter, as it was written.
    pub filter: String,
    /// The highest quality of service wanted.
    pub qos: Qos,
    /// Not what this client publishes itself.
    pub no_local: bool,
    /// Retain flags are passed on as they were published.
    pub retain_as_published: bool,
    /// Kept messages are sent: 0 at once, 1 if the subscription is new, 2 not.
    pub retain_handling: u8,
}

/// SUBSCRIBE (3.8).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Subscribe {
    /// Its number.
    pub id: u16,
    /// Properties; none in 3.1.1.
    pub properties: Properties,
    /// What is asked for, at least one.
    pub subscriptions: Vec<Subscription>,
}

/// SUBACK or UNSUBACK (3.9, 3.11).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suback {
    /// The number of what it answers.
    pub id: u16,
    /// Properties; none in 3.1.1.
    pub properties: Properties,
    /// One for each filter; none in an UNSUBACK of 3.1.1.
    pub reasons: Vec<Reason>,
}

/// UNSUBSCRIBE (3.10).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Unsubscribe {
    /// Its number.
    pub id: u16,
    /// Properties; none in 3.1.1.
    pub properties: Properties,
    /// The filters, at least one.
    pub filters: Vec<String>,
}

/// DISCONNECT or AUTH (3.14, 3.15).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Closing {
    /// Why, or how far an authentication is.
    pub reason: Reason,
    /// Properties; none in 3.1.1.
    pub properties: Properties,
}

/// A control packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Packet {
    /// A client asks to be connected.
    Connect(Box<Connect>),
    /// The answer to it.
    Connack(Box<Connack>),
    /// A message.
    Publish(Box<Publish>),
    /// The answer at QoS 1.
    Puback(Ack),
    /// The first answer at QoS 2.
    Pubrec(Ack),
    /// The release at QoS 2.
    Pubrel(Ack),
    /// The last answer at QoS 2.
    Pubcomp(Ack),
    /// A client asks for messages.
    Subscribe(Subscribe),
    /// The answer to it.
    Suback(Suback),
    /// A client wants some no more.
    Unsubscribe(Unsubscribe),
    /// The answer to it.
    Unsuback(Suback),
    /// A sign of life.
    Pingreq,
    /// The answer to it.
    Pingresp,
    /// A side closes.
    Disconnect(Closing),
    /// A step of an enhanced authentication.
    Auth(Closing),
}

/// Why a packet can't be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unwritable {
    /// A text or binary of more than 65,535 bytes.
    TooLong,
    /// More than a packet can hold, or than the peer takes.
    TooLarge,
    /// It has what its version, or its kind, has no place for.
    NotInVersion,
    /// Its number is 0 where one is wanted, or not 0 at QoS 0.
    Number,
    /// A subscription, or an answer, without entries.
    Empty,
}

/// The size of the whole packet at the front, and where its content begins, once its head is whole. What is larger than
/// allowed is told as soon as its length has come [MQTT-3.1.2-24].
pub fn head(bytes: &[u8], most: usize) -> Result<Option<(usize, usize)>, Violation> {
    let Some(first) = bytes.first() else { return Ok(None) };
    if Kind::of(first >> 4).is_none() {
        return Err(Violation::malformed("MQTT 2.1.2", "a packet of no known kind"));
    }
    let Some((size, used)) = variable(&bytes[1..])? else { return Ok(None) };
    let whole = 1 + used + size as usize;
    if whole > most {
        let what = "a packet larger than was allowed";
        return Err(Violation { reason: Reason::PacketTooLarge, statement: "MQTT-3.1.2-24", what });
    }
    Ok(Some((whole, 1 + used)))
}

/// Takes the packet at the front off the bytes: it, and its size; `None` until it is whole. A CONNECT says its own
/// version; all others are read as `version` has them.
pub fn decode(bytes: &[u8], version: Version, most: usize) -> Result<Option<(Packet, usize)>, Violation> {
    let Some((whole, start)) = head(bytes, most)? else { return Ok(None) };
    let Some(content) = bytes.get(start..whole) else { return Ok(None) };
    Ok(Some((read(bytes[0], content, version)?, whole)))
}

const RESERVED: Violation = Violation::malformed("MQTT-2.1.3-1", "reserved flags that are set");
const NUMBER: Violation = Violation::protocol("MQTT-2.2.1-3", "a packet identifier of 0");
const TRAILING: Violation = Violation::malformed("MQTT 2.1.4", "a packet that goes on after its end");

fn read(first: u8, content: &[u8], version: Version) -> Result<Packet, Violation> {
    let kind = Kind::of(first >> 4).ok_or(Violation::malformed("MQTT 2.1.2", "a packet of no known kind"))?;
    let flags = first & 0x0f;
    let wanted = if matches!(kind, Kind::Pubrel | Kind::Subscribe | Kind::Unsubscribe) { 2 } else { 0 };
    if kind != Kind::Publish && flags != wanted {
        return Err(RESERVED);
    }
    let mut r = Reader::new(content);
    let v5 = version == Version::V5;
    let packet = match kind {
        Kind::Connect => Packet::Connect(Box::new(connect(&mut r)?)),
        Kind::Connack => Packet::Connack(Box::new(connack(&mut r, version)?)),
        Kind::Publish => return publish(flags, r, version).map(|p| Packet::Publish(Box::new(p))),
        Kind::Puback => Packet::Puback(ack(&mut r, kind, version)?),
        Kind::Pubrec => Packet::Pubrec(ack(&mut r, kind, version)?),
        Kind::Pubrel => Packet::Pubrel(ack(&mut r, kind, version)?),
        Kind::Pubcomp => Packet::Pubcomp(ack(&mut r, kind, version)?),
        Kind::Subscribe => Packet::Subscribe(subscribe(&mut r, version)?),
        Kind::Suback => Packet::Suback(suback(&mut r, kind, version)?),
        Kind::Unsubscribe => Packet::Unsubscribe(unsubscribe(&mut r, version)?),
        Kind::Unsuback => Packet::Unsuback(suback(&mut r, kind, version)?),
        Kind::Pingreq => Packet::Pingreq,
        Kind::Pingresp => Packet::Pingresp,
        Kind::Disconnect => Packet::Disconnect(closing(&mut r, kind, v5)?),
        Kind::Auth if v5 => Packet::Auth(closing(&mut r, kind, v5)?),
        Kind::Auth => return Err(Violation::malformed("MQTT 3.1.1 2.2.1", "a packet of no known kind")),
    };
    if r.is_empty() { Ok(packet) } else { Err(TRAILING) }
}

fn properties(r: &mut Reader, kind: Kind, version: Version) -> Result<Properties, Violation> {
    if version == Version::V5 { Properties::read(r, Place::Packet(kind)) } else { Ok(Properties::default()) }
}

fn number(r: &mut Reader) -> Result<u16, Violation> {
    let id = r.u16()?;
    if id == 0 { Err(NUMBER) } else { Ok(id) }
}

fn reason(code: u8, kind: Kind) -> Result<Reason, Violation> {
    let wrong = Violation::malformed("MQTT 2.4", "a reason code that has no place in its packet");
    Reason::of(code).filter(|r| r.fits(kind)).ok_or(wrong)
}

fn connect(r: &mut Reader) -> Result<Connect, Violation> {
    let unsupported = |statement, what| Violation { reason: Reason::UnsupportedProtocol, statement, what };
    if r.text()? != "MQTT" {
        return Err(unsupported("MQTT-3.1.2-1", "a protocol of another name"));
    }
    let version = match r.u8()? {
        4 => Version::V311,
        5 => Version::V5,
        _ => return Err(unsupported("MQTT-3.1.2-2", "a version that is not spoken here")),
    };
    let flags = r.u8()?;
    let flag = |bit: u8| flags >> bit & 1 == 1;
    if flag(0) {
        return Err(Violation::malformed("MQTT-3.1.2-3", "the reserved flag of a CONNECT"));
    }
    let qos = Qos::of(flags >> 3 & 3).ok_or(Violation::malformed("MQTT-3.1.2-12", "a will of QoS 3"))?;
    if !flag(2) && qos != Qos::AtMostOnce {
        return Err(Violation::malformed("MQTT-3.1.2-11", "the QoS of a will that is not there"));
    }
    if !flag(2) && flag(5) {
        return Err(Violation::malformed("MQTT-3.1.2-13", "the retain flag of a will that is not there"));
    }
    if version == Version::V311 && flag(6) && !flag(7) {
        return Err(Violation::malformed("MQTT-3.1.2-22", "a password without a name"));
    }
    let keep_alive = r.u16()?;
    let properties = properties(r, Kind::Connect, version)?;
    let client_id = r.text()?.to_string();
    let will = if flag(2) {
        let v5 = version == Version::V5;
        let properties = if v5 { Properties::read(r, Place::Will)? } else { Properties::default() };
        let topic = r.text()?.to_string();
        topic::check_name(&topic)?;
        Some(Will { qos, retain: flag(5), properties, topic, payload: r.binary()?.to_vec() })
    } else {
        None
    };
    let user = if flag(7) { Some(r.text()?.to_string()) } else { None };
    let password = if flag(6) { Some(r.binary()?.to_vec()) } else { None };
    Ok(Connect { version, clean_start: flag(1), keep_alive, properties, client_id, will, user, password })
}

/// The return codes of a CONNACK in 3.1.1, from 0 on.
const RETURN_CODES: [Reason; 6] = [
    Reason::Success,
    Reason::UnsupportedProtocol,
    Reason::ClientIdNotValid,
    Reason::ServerUnavailable,
    Reason::BadLogin,
    Reason::NotAuthorized,
];

fn connack(r: &mut Reader, version: Version) -> Result<Connack, Violation> {
    let flags = r.u8()?;
    if flags > 1 {
        return Err(Violation::malformed("MQTT-3.2.2-1", "reserved flags of a CONNACK"));
    }
    let code = r.u8()?;
    let reason = match version {
        Version::V5 => reason(code, Kind::Connack)?,
        Version::V311 => *RETURN_CODES
            .get(usize::from(code))
            .ok_or(Violation::malformed("MQTT 3.1.1 3.2.2.3", "a reserved return code"))?,
    };
    let session_present = flags == 1;
    if session_present && reason.failed() {
        return Err(Violation::protocol("MQTT-3.2.2-6", "a session that is present beside a refusal"));
    }
    Ok(Connack { session_present, reason, properties: properties(r, Kind::Connack, version)? })
}

fn publish(flags: u8, mut r: Reader, version: Version) -> Result<Publish, Violation> {
    let qos = Qos::of(flags >> 1 & 3).ok_or(Violation::malformed("MQTT-3.3.1-4", "a message of QoS 3"))?;
    let (dup, retain) = (flags & 8 != 0, flags & 1 != 0);
    if dup && qos == Qos::AtMostOnce {
        return Err(Violation::malformed(
            "MQTT-3.3.1-2",
            "a message of QoS 0 that may have been sent before",
        ));
    }
    let topic = r.text()?.to_string();
    let id = if qos == Qos::AtMostOnce { 0 } else { number(&mut r)? };
    let properties = properties(&mut r, Kind::Publish, version)?;
    if properties.topic_alias == Some(0) {
        let what = "a topic alias of 0";
        return Err(Violation { reason: Reason::TopicAliasInvalid, statement: "MQTT-3.3.2-8", what });
    }
    if topic.is_empty() && properties.topic_alias.is_none() {
        return Err(Violation::protocol("MQTT 3.3.2.1", "a message without topic and alias"));
    }
    if !topic.is_empty() {
        topic::check_name(&topic)?;
    }
    if let Some(response) = &properties.response_topic {
        topic::check_name(response)
            .map_err(|_| Violation::protocol("MQTT-3.3.2-14", "a response topic with wildcards"))?;
    }
    Ok(Publish { dup, qos, retain, topic, id, properties, payload: r.rest().to_vec() })
}

fn ack(r: &mut Reader, kind: Kind, version: Version) -> Result<Ack, Violation> {
    let id = number(r)?;
    // What is left out says that all went well (3.4.2.1).
    if version == Version::V311 || r.is_empty() {
        return Ok(Ack { id, reason: Reason::Success, properties: Properties::default() });
    }
    let reason = reason(r.u8()?, kind)?;
    let properties =
        if r.is_empty() { Properties::default() } else { Properties::read(r, Place::Packet(kind))? };
    Ok(Ack { id, reason, properties })
}

fn subscribe(r: &mut Reader, version: Version) -> Result<Subscribe, Violation> {
    let id = number(r)?;
    let properties = properties(r, Kind::Subscribe, version)?;
    let mut subscriptions = Vec::new();
    while !r.is_empty() {
        let filter = r.text()?.to_string();
        let options = r.u8()?;
        let reserved = if version == Version::V5 { options & 0xc0 } else { options & 0xfc };
        if reserved != 0 {
            return Err(Violation::malformed("MQTT-3.8.3-5", "reserved bits of a subscription"));
        }
        let qos =
            Qos::of(options & 3).ok_or(Violation::protocol("MQTT 3.8.3.1", "a subscription with QoS 3"))?;
        let retain_handling = options >> 4 & 3;
        if retain_handling == 3 {
            return Err(Violation::protocol("MQTT 3.8.3.1", "a subscription with retain handling 3"));
        }
        let no_local = options & 4 != 0;
        if no_local && filter.starts_with("$share/") {
            return Err(Violation::protocol("MQTT-3.8.3-4", "a shared subscription with no local"));
        }
        let retain_as_published = options & 8 != 0;
        subscriptions.push(Subscription { filter, qos, no_local, retain_as_published, retain_handling });
    }
    if subscriptions.is_empty() {
        return Err(Violation::protocol("MQTT-3.8.3-2", "a SUBSCRIBE without a filter"));
    }
    Ok(Subscribe { id, properties, subscriptions })
}

fn suback(r: &mut Reader, kind: Kind, version: Version) -> Result<Suback, Violation> {
    let id = number(r)?;
    let properties = properties(r, kind, version)?;
    let mut reasons = Vec::new();
    while !r.is_empty() {
        let code = r.u8()?;
        let old = version == Version::V311 && !matches!(code, 0..=2 | 0x80);
        if old || (version == Version::V311 && kind == Kind::Unsuback) {
            return Err(Violation::malformed("MQTT-3.9.3-2", "a reserved return code"));
        }
        reasons.push(reason(code, kind)?);
    }
    if reasons.is_empty() && !(version == Version::V311 && kind == Kind::Unsuback) {
        return Err(Violation::protocol("MQTT-3.8.4-6", "an answer without a reason code"));
    }
    Ok(Suback { id, properties, reasons })
}

fn unsubscribe(r: &mut Reader, version: Version) -> Result<Unsubscribe, Violation> {
    let id = number(r)?;
    let properties = properties(r, Kind::Unsubscribe, version)?;
    let mut filters = Vec::new();
    while !r.is_empty() {
        filters.push(r.text()?.to_string());
    }
    if filters.is_empty() {
        return Err(Violation::protocol("MQTT-3.10.3-2", "an UNSUBSCRIBE without a filter"));
    }
    Ok(Unsubscribe { id, properties, filters })
}

fn closing(r: &mut Reader, kind: Kind, v5: bool) -> Result<Closing, Violation> {
    if !v5 || r.is_empty() {
        return Ok(Closing { reason: Reason::Success, properties: Properties::default() });
    }
    let reason = reason(r.u8()?, kind)?;
    let properties =
        if r.is_empty() { Properties::default() } else { Properties::read(r, Place::Packet(kind))? };
    if kind == Kind::Auth && properties.authentication_method.is_none() {
        return Err(Violation::protocol("MQTT 3.15.2.2.2", "an AUTH without its method"));
    }
    Ok(Closing { reason, properties })
}

// ---- Writing ----

/// A packet on its way out: what does not fit is found before anything is sent.
struct Writer {
    out: Vec<u8>,
    v5: bool,
    fault: Option<Unwritable>,
}

impl Writer {
    fn fail(&mut self, fault: Unwritable) {
        self.fault.get_or_insert(fault);
    }

    fn binary(&mut self, bytes: &[u8]) {
        if bytes.len() > usize::from(u16::MAX) {
            self.fail(Unwritable::TooLong);
        }
        put_binary(&mut self.out, bytes);
    }

    fn text(&mut self, text: &str) {
        self.binary(text.as_bytes());
    }

    fn number(&mut self, id: u16) {
        if id == 0 {
            self.fail(Unwritable::Number);
        }
        self.out.extend(id.to_be_bytes());
    }

    fn properties(&mut self, properties: &Properties, place: Place) {
        if properties.misplaced(place).is_some() || (!self.v5 && !properties.is_empty()) {
            self.fail(Unwritable::NotInVersion);
        }
        let texts = [
            &properties.content_type,
            &properties.response_topic,
            &properties.assigned_client_id,
            &properties.authentication_method,
            &properties.response_info,
            &properties.server_reference,
            &properties.reason_string,
        ];
        let texts = texts.into_iter().flatten().map(String::len);
        let binaries = [&properties.correlation, &properties.authentication_data];
        let user = properties.user.iter().flat_map(|(n, v)| [n.len(), v.len()]);
        let lengths = texts.chain(binaries.into_iter().flatten().map(Vec::len)).chain(user);
        if lengths.max().unwrap_or_default() > usize::from(u16::MAX) {
            self.fail(Unwritable::TooLong);
        }
        if self.v5 {
            properties.write(&mut self.out);
        }
    }

    /// A reason and properties, of which what goes without saying is left out.
    fn outcome(&mut self, reason: Reason, properties: &Properties, kind: Kind) {
        if !self.v5 {
            if !properties.is_empty() {
                self.fail(Unwritable::NotInVersion);
            }
            return;
        }
        if !reason.fits(kind) {
            self.fail(Unwritable::NotInVersion);
        }
        if reason == Reason::Success && properties.is_empty() {
            return;
        }
        self.out.push(reason.code());
        if !properties.is_empty() {
            self.properties(properties, Place::Packet(kind));
        }
    }
}

impl Packet {
    /// Its kind.
    pub fn kind(&self) -> Kind {
        match self {
            Packet::Connect(_) => Kind::Connect,
            Packet::Connack(_) => Kind::Connack,
            Packet::Publish(_) => Kind::Publish,
            Packet::Puback(_) => Kind::Puback,
            Packet::Pubrec(_) => Kind::Pubrec,
            Packet::Pubrel(_) => Kind::Pubrel,
            Packet::Pubcomp(_) => Kind::Pubcomp,
            Packet::Subscribe(_) => Kind::Subscribe,
            Packet::Suback(_) => Kind::Suback,
            Packet::Unsubscribe(_) => Kind::Unsubscribe,
            Packet::Unsuback(_) => Kind::Unsuback,
            Packet::Pingreq => Kind::Pingreq,
            Packet::Pingresp => Kind::Pingresp,
            Packet::Disconnect(_) => Kind::Disconnect,
            Packet::Auth(_) => Kind::Auth,
        }
    }

    /// The bytes of the packet, at most so many.
    pub fn encode(&self, version: Version, most: usize) -> Result<Vec<u8>, Unwritable> {
        let kind = self.kind();
        let place = Place::Packet(kind);
        let version = if let Packet::Connect(connect) = self { connect.version } else { version };
        let mut w = Writer { out: Vec::new(), v5: version == Version::V5, fault: None };
        let mut flags =
            if matches!(kind, Kind::Pubrel | Kind::Subscribe | Kind::Unsubscribe) { 2 } else { 0 };
        match self {
            Packet::Connect(connect) => connect.write(&mut w),
            Packet::Connack(connack) => {
                w.out.push(u8::from(connack.session_present));
                let old = RETURN_CODES.iter().position(|r| *r == connack.reason);
                let code = if w.v5 { Some(connack.reason.code()) } else { old.map(|code| code as u8) };
                if code.is_none() || !connack.reason.fits(kind) {
                    w.fail(Unwritable::NotInVersion);
                }
                w.out.push(code.unwrap_or_default());
                w.properties(&connack.properties, place);
            }
            Packet::Publish(publish) => {
                flags = u8::from(publish.dup) << 3 | (publish.qos as u8) << 1 | u8::from(publish.retain);
                w.text(&publish.topic);
                if publish.qos != Qos::AtMostOnce {
                    w.number(publish.id);
                } else if publish.id != 0 || publish.dup {
                    w.fail(Unwritable::Number);
                }
                w.properties(&publish.properties, place);
                w.out.extend(&publish.payload);
            }
            Packet::Puback(ack) | Packet::Pubrec(ack) | Packet::Pubrel(ack) | Packet::Pubcomp(ack) => {
                w.number(ack.id);
                w.outcome(ack.reason, &ack.properties, kind);
            }
            Packet::Subscribe(subscribe) => {
                w.number(subscribe.id);
                w.properties(&subscribe.properties, place);
                if subscribe.subscriptions.is_empty() {
                    w.fail(Unwritable::Empty);
                }
                for s in &subscribe.subscriptions {
                    w.text(&s.filter);
                    let extra = u8::from(s.no_local) << 2
                        | u8::from(s.retain_as_published) << 3
                        | s.retain_handling.min(2) << 4;
                    if extra != 0 && !w.v5 {
                        w.fail(Unwritable::NotInVersion);
                    }
                    w.out.push(s.qos as u8 | extra);
                }
            }
            Packet::Suback(suback) | Packet::Unsuback(suback) => {
                w.number(suback.id);
                w.properties(&suback.properties, place);
                let none = !w.v5 && kind == Kind::Unsuback;
                if suback.reasons.is_empty() != none {
                    w.fail(Unwritable::Empty);
                }
                for reason in &suback.reasons {
                    let old = matches!(reason.code(), 0..=2 | 0x80);
                    if !reason.fits(kind) || (!w.v5 && !old) {
                        w.fail(Unwritable::NotInVersion);
                    }
                    w.out.push(reason.code());
                }
            }
            Packet::Unsubscribe(unsubscribe) => {
                w.number(unsubscribe.id);
                w.properties(&unsubscribe.properties, place);
                if unsubscribe.filters.is_empty() {
                    w.fail(Unwritable::Empty);
                }
                unsubscribe.filters.iter().for_each(|f| w.text(f));
            }
            Packet::Pingreq | Packet::Pingresp => {}
            Packet::Disconnect(closing) => w.outcome(closing.reason, &closing.properties, kind),
            Packet::Auth(closing) => {
                if !w.v5 {
                    w.fail(Unwritable::NotInVersion);
                }
                w.outcome(closing.reason, &closing.properties, kind);
            }
        }
        if w.out.len() > MOST_VARIABLE as usize {
            w.fail(Unwritable::TooLarge);
        }
        let mut out = Vec::with_capacity(w.out.len() + 5);
        out.push((kind as u8) << 4 | flags);
        put_variable(&mut out, w.out.len() as u32);
        out.extend(w.out);
        match w.fault {
            Some(fault) => Err(fault),
            None if out.len() > most => Err(Unwritable::TooLarge),
            None => Ok(out),
        }
    }
}

impl Connect {
    fn write(&self, w: &mut Writer) {
        w.text("MQTT");
        w.out.push(self.version as u8);
        let mut flags = u8::from(self.clean_start) << 1;
        if let Some(will) = &self.will {
            flags |= 1 << 2 | (will.qos as u8) << 3 | u8::from(will.retain) << 5;
        }
        flags |= u8::from(self.password.is_some()) << 6 | u8::from(self.user.is_some()) << 7;
        if !w.v5 && self.password.is_some() && self.user.is_none() {
            w.fail(Unwritable::NotInVersion);
        }
        w.out.push(flags);
        w.out.extend(self.keep_alive.to_be_bytes());
        w.properties(&self.properties, Place::Packet(Kind::Connect));
        w.text(&self.client_id);
        if let Some(will) = &self.will {
            w.properties(&will.properties, Place::Will);
            w.text(&will.topic);
            w.binary(&will.payload);
        }
        if let Some(user) = &self.user {
            w.text(user);
        }
        if let Some(password) = &self.password {
            w.binary(password);
        }
    }
}
