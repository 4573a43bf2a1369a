//! Properties (MQTT 5.0, section 2.2.2): decoding and encoding of a property list, and which properties are allowed in
//! which packet types and how often.

use crate::reason::{PacketType, Violation};
use crate::wire::{Reader, put_binary, put_variable_byte_integer};

/// The property list that a property is part of: that of a packet type, or the will properties of a CONNECT.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Location {
    /// The properties of a packet of this type.
    Packet(PacketType),
    /// The will properties.
    Will,
}

// Sets of locations, one bit each: bit 0 is the will, bit N the packet type with number N.
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

impl Location {
    fn bit(self) -> u16 {
        match self {
            Location::Will => WILL,
            Location::Packet(packet_type) => 1 << packet_type as u8,
        }
    }
}

const DUPLICATE: Violation = Violation::protocol("MQTT 2.2.2.2", "a duplicate property");
const DISALLOWED: Violation =
    Violation::malformed("MQTT 2.2.2", "a property that is not allowed in this packet");
const UNKNOWN: Violation = Violation::malformed("MQTT 2.2.2", "an unknown property");

/// The encoding of a property's value type.
trait PropertyValue: Sized {
    fn read(reader: &mut Reader) -> Result<Self, Violation>;
    fn write(&self, out: &mut Vec<u8>);
}

impl PropertyValue for bool {
    fn read(reader: &mut Reader) -> Result<bool, Violation> {
        match reader.u8()? {
            0 => Ok(false),
            1 => Ok(true),
            _ => Err(Violation::protocol("MQTT 2.2.2.2", "a property whose value must be 0 or 1")),
        }
    }
    fn write(&self, out: &mut Vec<u8>) {
        out.push(u8::from(*self));
    }
}

impl PropertyValue for u16 {
    fn read(reader: &mut Reader) -> Result<u16, Violation> {
        reader.u16()
    }
    fn write(&self, out: &mut Vec<u8>) {
        out.extend(self.to_be_bytes());
    }
}

impl PropertyValue for u32 {
    fn read(reader: &mut Reader) -> Result<u32, Violation> {
        reader.u32()
    }
    fn write(&self, out: &mut Vec<u8>) {
        out.extend(self.to_be_bytes());
    }
}

impl PropertyValue for String {
    fn read(reader: &mut Reader) -> Result<String, Violation> {
        reader.string().map(str::to_string)
    }
    fn write(&self, out: &mut Vec<u8>) {
        put_binary(out, self.as_bytes());
    }
}

impl PropertyValue for Vec<u8> {
    fn read(reader: &mut Reader) -> Result<Vec<u8>, Violation> {
        reader.binary().map(<[u8]>::to_vec)
    }
    fn write(&self, out: &mut Vec<u8>) {
        put_binary(out, self);
    }
}

macro_rules! properties {
    ($($name:ident: $value_type:ty = $id:literal, $locations:expr, $doc:literal;)*) => {
        /// The properties of a packet or of a will. An absent property has the specification's default.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct Properties {
            $(#[doc = $doc] pub $name: Option<$value_type>,)*
            /// Subscription identifiers (0x0b): one in a SUBSCRIBE, any number in a PUBLISH.
            pub subscription_ids: Vec<u32>,
            /// User properties (0x26), in order; a name may occur more than once.
            pub user: Vec<(String, String)>,
        }

        impl Properties {
            /// Reads the value of a property that may occur only once.
            fn read_single(&mut self, id: u8, location: Location, reader: &mut Reader) -> Result<(), Violation> {
                match id {
                    $($id => {
                        if $locations & location.bit() == 0 {
                            return Err(DISALLOWED);
                        }
                        if self.$name.is_some() {
                            return Err(DUPLICATE);
                        }
                        self.$name = Some(PropertyValue::read(reader)?);
                    })*
                    _ => return Err(UNKNOWN),
                }
                Ok(())
            }

            /// Appends the properties that may occur only once, in the order of their identifiers.
            fn write_single(&self, out: &mut Vec<u8>) {
                $(if let Some(value) = &self.$name {
                    out.push($id);
                    value.write(out);
                })*
            }

            /// Returns the identifier of the first property that is not allowed in this location.
            pub fn first_disallowed(&self, location: Location) -> Option<u8> {
                $(if self.$name.is_some() && $locations & location.bit() == 0 {
                    return Some($id);
                })*
                let subscription_ids_allowed = (PUBLISH | SUBSCRIBE) & location.bit() != 0;
                (!self.subscription_ids.is_empty() && !subscription_ids_allowed).then_some(0x0b)
            }
        }
    };
}

properties! {
    payload_is_utf8: bool = 0x01, PUBLISH | WILL, "Payload format indicator: the payload is UTF-8.";
    message_expiry: u32 = 0x02, PUBLISH | WILL, "Message expiry interval, in seconds.";
    content_type: String = 0x03, PUBLISH | WILL, "Content type.";
    response_topic: String = 0x08, PUBLISH | WILL, "Response topic.";
    correlation: Vec<u8> = 0x09, PUBLISH | WILL, "Correlation data.";
    session_expiry: u32 = 0x11, CONNECT | CONNACK | DISCONNECT, "Session expiry interval, in seconds.";
    assigned_client_id: String = 0x12, CONNACK, "Assigned client identifier.";
    server_keep_alive: u16 = 0x13, CONNACK, "Server keep alive, in seconds.";
    authentication_method: String = 0x15, CONNECT | CONNACK | AUTH, "Authentication method.";
    authentication_data: Vec<u8> = 0x16, CONNECT | CONNACK | AUTH, "Authentication data.";
    request_problem_information: bool = 0x17, CONNECT, "Request problem information.";
    will_delay: u32 = 0x18, WILL, "Will delay interval, in seconds.";
    request_response_information: bool = 0x19, CONNECT, "Request response information.";
    response_information: String = 0x1a, CONNACK, "Response information.";
    server_reference: String = 0x1c, CONNACK | DISCONNECT, "Server reference.";
    reason_string: String = 0x1f, CONNACK | ACKS | SUBACK | UNSUBACK | DISCONNECT | AUTH, "Reason string.";
    receive_maximum: u16 = 0x21, CONNECT | CONNACK, "Receive maximum, not 0.";
    topic_alias_maximum: u16 = 0x22, CONNECT | CONNACK, "Topic alias maximum.";
    topic_alias: u16 = 0x23, PUBLISH, "Topic alias, not 0.";
    maximum_qos_1: bool = 0x24, CONNACK, "Maximum QoS: 1 if set, else 0; 2 if absent.";
    retain_available: bool = 0x25, CONNACK, "Retain available.";
    maximum_packet: u32 = 0x27, CONNECT | CONNACK, "Maximum packet size in bytes, not 0.";
    wildcard_subscription_available: bool = 0x28, CONNACK, "Wildcard subscription available.";
    subscription_ids_available: bool = 0x29, CONNACK, "Subscription identifier available.";
    shared_available: bool = 0x2a, CONNACK, "Shared subscription available.";
}

impl Properties {
    /// Reads a property list with its length prefix.
    pub fn read(reader: &mut Reader, location: Location) -> Result<Properties, Violation> {
        let size = reader.variable_byte_integer()?;
        let mut reader = Reader::new(reader.take(size as usize)?);
        let mut properties = Properties::default();
        while !reader.is_empty() {
            // A property identifier is a variable byte integer; all defined ones take one byte.
            let id = u8::try_from(reader.variable_byte_integer()?).map_err(|_| UNKNOWN)?;
            match id {
                0x26 => properties.user.push((reader.string()?.to_string(), reader.string()?.to_string())),
                0x0b => {
                    if (PUBLISH | SUBSCRIBE) & location.bit() == 0 {
                        return Err(DISALLOWED);
                    }
                    let value = reader.variable_byte_integer()?;
                    if value == 0 {
                        return Err(Violation::protocol("MQTT 3.8.2.1.2", "a subscription identifier of 0"));
                    }
                    if location == Location::Packet(PacketType::Subscribe)
                        && !properties.subscription_ids.is_empty()
                    {
                        return Err(DUPLICATE);
                    }
                    properties.subscription_ids.push(value);
                }
                _ => properties.read_single(id, location, &mut reader)?,
            }
        }
        let violation = |statement, what| Err(Violation::protocol(statement, what));
        if properties.receive_maximum == Some(0) {
            return violation("MQTT 3.1.2.11.3", "a receive maximum of 0");
        }
        if properties.maximum_packet == Some(0) {
            return violation("MQTT 3.1.2.11.4", "a maximum packet size of 0");
        }
        if properties.authentication_data.is_some() && properties.authentication_method.is_none() {
            return violation("MQTT 3.1.2.11.10", "authentication data without a method");
        }
        Ok(properties)
    }

    /// Appends the property list with its length prefix.
    pub fn write(&self, out: &mut Vec<u8>) {
        let mut body = Vec::new();
        self.write_single(&mut body);
        for id in &self.subscription_ids {
            body.push(0x0b);
            put_variable_byte_integer(&mut body, *id);
        }
        for (name, value) in &self.user {
            body.push(0x26);
            put_binary(&mut body, name.as_bytes());
            put_binary(&mut body, value.as_bytes());
        }
        put_variable_byte_integer(out, body.len() as u32);
        out.extend(body);
    }

    /// Returns whether there are no properties.
    pub fn is_empty(&self) -> bool {
        *self == Properties::default()
    }

    /// Returns the value of the first user property with this name.
    pub fn user(&self, name: &str) -> Option<&str> {
        self.user.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

#[cfg(test)]
mod tests;
