//! Properties (MQTT 5.0, section 2.2.2): which there are, where they may stand, and how often.

use crate::reason::{Kind, Violation};
use crate::wire::{Reader, put_binary, put_variable};

/// Where a property stands: in a kind of packet, or in the will of a CONNECT.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// In a packet of this kind.
    Packet(Kind),
    /// In a will.
    Will,
}

const CONNECT: u16 = 1 << 1;
const CONNACK: u16 = 1 << 2;
const PUBLISH: u16 = 1 << 3;
const ACKS: u16 = 1 << 4 | 1 << 5 | 1 << 6 | 1 << 7;
const SUBSCRIBE: u16 = 1 << 8;
const SUBACK: u16 = 1 << 9;
const UNSUBACK: u16 = 1 << 11;
const DISCONNECT: u16 = 1 << 14;
const AUTH: u16 = 1 << 15;
const WILL: u16 = 1;

impl Place {
    fn bit(self) -> u16 {
        match self {
            Place::Will => WILL,
            Place::Packet(kind) => 1 << kind as u8,
        }
    }
}

const TWICE: Violation = Violation::protocol("MQTT 2.2.2.2", "a property that stands twice");
const MISPLACED: Violation = Violation::malformed("MQTT 2.2.2", "a property that has no place in its packet");
const UNKNOWN: Violation = Violation::malformed("MQTT 2.2.2", "an unknown property");

/// How a value is written, read, and checked.
trait Value: Sized {
    fn read(r: &mut Reader) -> Result<Self, Violation>;
    fn write(&self, out: &mut Vec<u8>);
}

impl Value for bool {
    fn read(r: &mut Reader) -> Result<bool, Violation> {
        match r.u8()? {
            0 => Ok(false),
            1 => Ok(true),
            _ => Err(Violation::protocol("MQTT 2.2.2.2", "a property that must be 0 or 1")),
        }
    }
    fn write(&self, out: &mut Vec<u8>) {
        out.push(u8::from(*self));
    }
}

impl Value for u16 {
    fn read(r: &mut Reader) -> Result<u16, Violation> {
        r.u16()
    }
    fn write(&self, out: &mut Vec<u8>) {
        out.extend(self.to_be_bytes());
    }
}

impl Value for u32 {
    fn read(r: &mut Reader) -> Result<u32, Violation> {
        r.u32()
    }
    fn write(&self, out: &mut Vec<u8>) {
        out.extend(self.to_be_bytes());
    }
}

impl Value for String {
    fn read(r: &mut Reader) -> Result<String, Violation> {
        r.text().map(str::to_string)
    }
    fn write(&self, out: &mut Vec<u8>) {
        put_binary(out, self.as_bytes());
    }
}

impl Value for Vec<u8> {
    fn read(r: &mut Reader) -> Result<Vec<u8>, Violation> {
        r.binary().map(<[u8]>::to_vec)
    }
    fn write(&self, out: &mut Vec<u8>) {
        put_binary(out, self);
    }
}

macro_rules! properties {
    ($($name:ident: $kind:ty = $id:literal, $places:expr, $text:literal;)*) => {
        /// The properties of a packet, or of a will. What is absent has the specification's default.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct Properties {
            $(#[doc = $text] pub $name: Option<$kind>,)*
            /// Subscription identifiers (0x0b): one in a SUBSCRIBE, any number in a PUBLISH.
            pub subscription_ids: Vec<u32>,
            /// User properties (0x26), in order; names may come again.
            pub user: Vec<(String, String)>,
        }

        impl Properties {
            fn one(&mut self, id: u8, place: Place, r: &mut Reader) -> Result<(), Violation> {
                match id {
                    $($id => {
                        if $places & place.bit() == 0 {
                            return Err(MISPLACED);
                        }
                        if self.$name.is_some() {
                            return Err(TWICE);
                        }
                        self.$name = Some(Value::read(r)?);
                    })*
                    _ => return Err(UNKNOWN),
                }
                Ok(())
            }

            fn put(&self, out: &mut Vec<u8>) {
                $(if let Some(value) = &self.$name {
                    out.push($id);
                    value.write(out);
                })*
            }

            /// The first property that has no place there, by its number.
            pub fn misplaced(&self, place: Place) -> Option<u8> {
                $(if self.$name.is_some() && $places & place.bit() == 0 {
                    return Some($id);
                })*
                let ids = (PUBLISH | SUBSCRIBE) & place.bit() != 0;
                (!self.subscription_ids.is_empty() && !ids).then_some(0x0b)
            }
        }
    };
}

properties! {
    payload_is_text: bool = 0x01, PUBLISH | WILL, "Payload format indicator: the payload is UTF-8.";
    message_expiry: u32 = 0x02, PUBLISH | WILL, "Message expiry interval, in seconds.";
    content_type: String = 0x03, PUBLISH | WILL, "Content type.";
    response_topic: String = 0x08, PUBLISH | WILL, "Response topic.";
    correlation: Vec<u8> = 0x09, PUBLISH | WILL, "Correlation data.";
    session_expiry: u32 = 0x11, CONNECT | CONNACK | DISCONNECT, "Session expiry interval, in seconds.";
    assigned_client_id: String = 0x12, CONNACK, "Assigned client identifier.";
    server_keep_alive: u16 = 0x13, CONNACK, "Server keep alive, in seconds.";
    authentication_method: String = 0x15, CONNECT | CONNACK | AUTH, "Authentication method.";
    authentication_data: Vec<u8> = 0x16, CONNECT | CONNACK | AUTH, "Authentication data.";
    request_problem_info: bool = 0x17, CONNECT, "Request problem information.";
    will_delay: u32 = 0x18, WILL, "Will delay interval, in seconds.";
    request_response_info: bool = 0x19, CONNECT, "Request response information.";
    response_info: String = 0x1a, CONNACK, "Response information.";
    server_reference: String = 0x1c, CONNACK | DISCONNECT, "Server reference.";
    reason_string: String = 0x1f, CONNACK | ACKS | SUBACK | UNSUBACK | DISCONNECT | AUTH, "Reason string.";
    receive_maximum: u16 = 0x21, CONNECT | CONNACK, "Receive maximum, over 0.";
    topic_alias_maximum: u16 = 0x22, CONNECT | CONNACK, "Topic alias maximum.";
    topic_alias: u16 = 0x23, PUBLISH, "Topic alias, over 0.";
    maximum_qos_1: bool = 0x24, CONNACK, "Maximum QoS: 1 if set, else 0; 2 if absent.";
    retain_available: bool = 0x25, CONNACK, "Retain available.";
    maximum_packet: u32 = 0x27, CONNECT | CONNACK, "Maximum packet size in bytes, over 0.";
    wildcards_available: bool = 0x28, CONNACK, "Wildcard subscription available.";
    subscription_ids_available: bool = 0x29, CONNACK, "Subscription identifier available.";
    shared_available: bool = 0x2a, CONNACK, "Shared subscription available.";
}

impl Properties {
    /// Reads the properties at the front, with their length.
    pub fn read(r: &mut Reader, place: Place) -> Result<Properties, Violation> {
        let size = r.variable()?;
        let mut r = Reader::new(r.take(size as usize)?);
        let mut it = Properties::default();
        while !r.is_empty() {
            // A property's identifier is a variable byte integer; all known ones take one byte.
            let id = u8::try_from(r.variable()?).map_err(|_| UNKNOWN)?;
            match id {
                0x26 => it.user.push((r.text()?.to_string(), r.text()?.to_string())),
                0x0b => {
                    if (PUBLISH | SUBSCRIBE) & place.bit() == 0 {
                        return Err(MISPLACED);
                    }
                    let value = r.variable()?;
                    if value == 0 {
                        return Err(Violation::protocol("MQTT 3.8.2.1.2", "a subscription identifier of 0"));
                    }
                    if place == Place::Packet(Kind::Subscribe) && !it.subscription_ids.is_empty() {
                        return Err(TWICE);
                    }
                    it.subscription_ids.push(value);
                }
                _ => it.one(id, place, &mut r)?,
            }
        }
        let zero = |statement, what| Err(Violation::protocol(statement, what));
        if it.receive_maximum == Some(0) {
            return zero("MQTT 3.1.2.11.3", "a receive maximum of 0");
        }
        if it.maximum_packet == Some(0) {
            return zero("MQTT 3.1.2.11.4", "a maximum packet size of 0");
        }
        if it.authentication_data.is_some() && it.authentication_method.is_none() {
            return zero("MQTT 3.1.2.11.10", "authentication data without a method");
        }
        Ok(it)
    }

    /// Appends them with their length.
    pub fn write(&self, out: &mut Vec<u8>) {
        let mut body = Vec::new();
        self.put(&mut body);
        for id in &self.subscription_ids {
            body.push(0x0b);
            put_variable(&mut body, *id);
        }
        for (name, value) in &self.user {
            body.push(0x26);
            put_binary(&mut body, name.as_bytes());
            put_binary(&mut body, value.as_bytes());
        }
        put_variable(out, body.len() as u32);
        out.extend(body);
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        *self == Properties::default()
    }

    /// The first user property of this name.
    pub fn user(&self, name: &str) -> Option<&str> {
        self.user.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

#[cfg(test)]
mod tests;
