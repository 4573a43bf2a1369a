//! Reason codes (MQTT 5.0, table 2-6), control packet types (table 2-1), the reason codes allowed in each type, and
//! [`Violation`], the error for a peer that breaks the specification.

use std::fmt;

macro_rules! reasons {
    ($($name:ident = $code:literal, $text:literal;)*) => {
        /// A reason code of MQTT 5.0. Codes of 0x80 and over are failures.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[repr(u8)]
        pub enum ReasonCode { $(#[doc = $text] $name = $code,)* }

        impl ReasonCode {
            /// All reason codes.
            pub const ALL: &[ReasonCode] = &[$(ReasonCode::$name,)*];

            /// Returns the reason with this code, or `None` if the specification defines none.
            pub fn from_code(code: u8) -> Option<ReasonCode> {
                match code { $($code => Some(ReasonCode::$name),)* _ => None }
            }

            /// Returns the name of the reason code in the specification.
            pub fn name(self) -> &'static str {
                match self { $(ReasonCode::$name => $text,)* }
            }
        }
    };
}

reasons! {
    Success = 0x00, "success, normal disconnection, or granted QoS 0";
    GrantedQos1 = 0x01, "granted QoS 1";
    GrantedQos2 = 0x02, "granted QoS 2";
    DisconnectWithWill = 0x04, "disconnect with will message";
    NoMatchingSubscribers = 0x10, "no matching subscribers";
    NoSubscriptionExisted = 0x11, "no subscription existed";
    ContinueAuthentication = 0x18, "continue authentication";
    Reauthenticate = 0x19, "re-authenticate";
    Unspecified = 0x80, "unspecified error";
    MalformedPacket = 0x81, "malformed packet";
    ProtocolError = 0x82, "protocol error";
    Implementation = 0x83, "implementation specific error";
    UnsupportedProtocol = 0x84, "unsupported protocol version";
    ClientIdNotValid = 0x85, "client identifier not valid";
    BadUserNameOrPassword = 0x86, "bad user name or password";
    NotAuthorized = 0x87, "not authorized";
    ServerUnavailable = 0x88, "server unavailable";
    ServerBusy = 0x89, "server busy";
    Banned = 0x8a, "banned";
    ServerShuttingDown = 0x8b, "server shutting down";
    BadAuthenticationMethod = 0x8c, "bad authentication method";
    KeepAliveTimeout = 0x8d, "keep alive timeout";
    SessionTakenOver = 0x8e, "session taken over";
    TopicFilterInvalid = 0x8f, "topic filter invalid";
    TopicNameInvalid = 0x90, "topic name invalid";
    PacketIdInUse = 0x91, "packet identifier in use";
    PacketIdNotFound = 0x92, "packet identifier not found";
    ReceiveMaximumExceeded = 0x93, "receive maximum exceeded";
    TopicAliasInvalid = 0x94, "topic alias invalid";
    PacketTooLarge = 0x95, "packet too large";
    MessageRateTooHigh = 0x96, "message rate too high";
    QuotaExceeded = 0x97, "quota exceeded";
    AdministrativeAction = 0x98, "administrative action";
    PayloadFormatInvalid = 0x99, "payload format invalid";
    RetainNotSupported = 0x9a, "retain not supported";
    QosNotSupported = 0x9b, "QoS not supported";
    UseAnotherServer = 0x9c, "use another server";
    ServerMoved = 0x9d, "server moved";
    SharedNotSupported = 0x9e, "shared subscriptions not supported";
    ConnectionRateExceeded = 0x9f, "connection rate exceeded";
    MaximumConnectTime = 0xa0, "maximum connect time";
    SubscriptionIdsNotSupported = 0xa1, "subscription identifiers not supported";
    WildcardsNotSupported = 0xa2, "wildcard subscriptions not supported";
}

impl ReasonCode {
    /// Returns the code on the wire.
    pub fn code(self) -> u8 {
        self as u8
    }

    /// Returns whether the code denotes a failure.
    pub fn is_failure(self) -> bool {
        self.code() >= 0x80
    }

    /// Returns whether a packet of this type may carry the code.
    pub fn is_allowed_in(self, packet_type: PacketType) -> bool {
        let code = self.code();
        match packet_type {
            PacketType::Connack => {
                matches!(code, 0x00 | 0x80..=0x8a | 0x8c | 0x90 | 0x95 | 0x97 | 0x99..=0x9d | 0x9f)
            }
            PacketType::Puback | PacketType::Pubrec => {
                matches!(code, 0x00 | 0x10 | 0x80 | 0x83 | 0x87 | 0x90 | 0x91 | 0x97 | 0x99)
            }
            PacketType::Pubrel | PacketType::Pubcomp => matches!(code, 0x00 | 0x92),
            PacketType::Suback => {
                matches!(code, 0x00..=0x02 | 0x80 | 0x83 | 0x87 | 0x8f | 0x91 | 0x97 | 0x9e | 0xa1 | 0xa2)
            }
            PacketType::Unsuback => matches!(code, 0x00 | 0x11 | 0x80 | 0x83 | 0x87 | 0x8f | 0x91),
            PacketType::Disconnect => {
                matches!(code, 0x00 | 0x04 | 0x80..=0x83 | 0x87 | 0x89 | 0x8b | 0x8d..=0x90 | 0x93..=0xa2)
            }
            PacketType::Auth => matches!(code, 0x00 | 0x18 | 0x19),
            _ => false,
        }
    }
}

impl fmt::Display for ReasonCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} (0x{:02x})", self.name(), self.code())
    }
}

/// A control packet type (MQTT 5.0, table 2-1) with its number on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum PacketType {
    /// Connection request.
    Connect = 1,
    /// Connect acknowledgment.
    Connack = 2,
    /// Publish message.
    Publish = 3,
    /// Publish acknowledgment (QoS 1).
    Puback = 4,
    /// Publish received (QoS 2, first acknowledgment).
    Pubrec = 5,
    /// Publish release (QoS 2).
    Pubrel = 6,
    /// Publish complete (QoS 2, last acknowledgment).
    Pubcomp = 7,
    /// Subscribe request.
    Subscribe = 8,
    /// Subscribe acknowledgment.
    Suback = 9,
    /// Unsubscribe request.
    Unsubscribe = 10,
    /// Unsubscribe acknowledgment.
    Unsuback = 11,
    /// Ping request.
    Pingreq = 12,
    /// Ping response.
    Pingresp = 13,
    /// Disconnect notification.
    Disconnect = 14,
    /// Authentication exchange; 5.0 only.
    Auth = 15,
}

impl PacketType {
    /// All packet types, by number.
    pub const ALL: [PacketType; 15] = [
        PacketType::Connect,
        PacketType::Connack,
        PacketType::Publish,
        PacketType::Puback,
        PacketType::Pubrec,
        PacketType::Pubrel,
        PacketType::Pubcomp,
        PacketType::Subscribe,
        PacketType::Suback,
        PacketType::Unsubscribe,
        PacketType::Unsuback,
        PacketType::Pingreq,
        PacketType::Pingresp,
        PacketType::Disconnect,
        PacketType::Auth,
    ];

    /// Returns the packet type with this number; 0 is reserved.
    pub fn from_number(number: u8) -> Option<PacketType> {
        PacketType::ALL.into_iter().find(|packet_type| *packet_type as u8 == number)
    }
}

/// A violation of the specification by the peer: the reason code to close with, the conformance statement, and a
/// description.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{description} [{statement}], {reason}: look at the station or broker that sends it")]
pub struct Violation {
    /// The reason code that the specification prescribes.
    pub reason: ReasonCode,
    /// The conformance statement, such as `MQTT-2.1.3-1`, or the section if the rule has no number.
    pub statement: &'static str,
    /// A description of what the peer sent.
    pub description: &'static str,
}

impl Violation {
    /// Returns a violation with the reason code "malformed packet".
    pub const fn malformed(statement: &'static str, what: &'static str) -> Violation {
        Violation { reason: ReasonCode::MalformedPacket, statement, description: what }
    }

    /// Returns a violation with the reason code "protocol error".
    pub const fn protocol(statement: &'static str, what: &'static str) -> Violation {
        Violation { reason: ReasonCode::ProtocolError, statement, description: what }
    }
}

#[cfg(test)]
mod tests;
