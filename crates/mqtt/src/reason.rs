//! Reason codes (MQTT 5.0, table 2-6), and which packets may carry which.

use std::fmt;

macro_rules! reasons {
    ($($name:ident = $code:literal, $text:literal;)*) => {
        /// A reason code of MQTT 5.0. Codes of 0x80 and over are failures.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[repr(u8)]
        pub enum Reason { $(#[doc = $text] $name = $code,)* }

        impl Reason {
            /// All of them.
            pub const ALL: &[Reason] = &[$(Reason::$name,)*];

            /// The reason with this code.
            pub fn of(code: u8) -> Option<Reason> {
                match code { $($code => Some(Reason::$name),)* _ => None }
            }

            /// Its name in the specification.
            pub fn text(self) -> &'static str {
                match self { $(Reason::$name => $text,)* }
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
    BadLogin = 0x86, "bad user name or password";
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

impl Reason {
    /// Its code.
    pub fn code(self) -> u8 {
        self as u8
    }

    /// Whether it tells of a failure.
    pub fn failed(self) -> bool {
        self.code() >= 0x80
    }

    /// Whether a packet of this kind may carry it.
    pub fn fits(self, kind: Kind) -> bool {
        let code = self.code();
        match kind {
            Kind::Connack => {
                matches!(code, 0x00 | 0x80..=0x8a | 0x8c | 0x90 | 0x95 | 0x97 | 0x99..=0x9d | 0x9f)
            }
            Kind::Puback | Kind::Pubrec => {
                matches!(code, 0x00 | 0x10 | 0x80 | 0x83 | 0x87 | 0x90 | 0x91 | 0x97 | 0x99)
            }
            Kind::Pubrel | Kind::Pubcomp => matches!(code, 0x00 | 0x92),
            Kind::Suback => {
                matches!(code, 0x00..=0x02 | 0x80 | 0x83 | 0x87 | 0x8f | 0x91 | 0x97 | 0x9e | 0xa1 | 0xa2)
            }
            Kind::Unsuback => matches!(code, 0x00 | 0x11 | 0x80 | 0x83 | 0x87 | 0x8f | 0x91),
            Kind::Disconnect => {
                matches!(code, 0x00 | 0x04 | 0x80..=0x83 | 0x87 | 0x89 | 0x8b | 0x8d..=0x90 | 0x93..=0xa2)
            }
            Kind::Auth => matches!(code, 0x00 | 0x18 | 0x19),
            _ => false,
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} (0x{:02x})", self.text(), self.code())
    }
}

/// The kinds of control packet (MQTT 5.0, table 2-1), by their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum Kind {
    /// A client asks to be connected.
    Connect = 1,
    /// The answer to it.
    Connack = 2,
    /// A message.
    Publish = 3,
    /// The answer at QoS 1.
    Puback = 4,
    /// The first answer at QoS 2.
    Pubrec = 5,
    /// The release at QoS 2.
    Pubrel = 6,
    /// The last answer at QoS 2.
    Pubcomp = 7,
    /// A client asks for messages.
    Subscribe = 8,
    /// The answer to it.
    Suback = 9,
    /// A client wants some no more.
    Unsubscribe = 10,
    /// The answer to it.
    Unsuback = 11,
    /// A sign of life.
    Pingreq = 12,
    /// The answer to it.
    Pingresp = 13,
    /// A side closes.
    Disconnect = 14,
    /// A step of an enhanced authentication; 5.0 only.
    Auth = 15,
}

impl Kind {
    /// All of them.
    pub const ALL: [Kind; 15] = [
        Kind::Connect,
        Kind::Connack,
        Kind::Publish,
        Kind::Puback,
        Kind::Pubrec,
        Kind::Pubrel,
        Kind::Pubcomp,
        Kind::Subscribe,
        Kind::Suback,
        Kind::Unsubscribe,
        Kind::Unsuback,
        Kind::Pingreq,
        Kind::Pingresp,
        Kind::Disconnect,
        Kind::Auth,
    ];

    /// The kind with this number.
    pub fn of(number: u8) -> Option<Kind> {
        Kind::ALL.into_iter().find(|k| *k as u8 == number)
    }
}

/// What a peer did against the specification: the reason to close with, the statement, and what it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{what} [{statement}], {reason}: look at the station or broker that sends it")]
pub struct Violation {
    /// The reason that the specification names for it.
    pub reason: Reason,
    /// The statement, such as `MQTT-2.1.3-1`, or the section where it has no number.
    pub statement: &'static str,
    /// What it was.
    pub what: &'static str,
}

impl Violation {
    /// A malformed packet.
    pub const fn malformed(statement: &'static str, what: &'static str) -> Violation {
        Violation { reason: Reason::MalformedPacket, statement, what }
    }

    /// A protocol error.
    pub const fn protocol(statement: &'static str, what: &'static str) -> Violation {
        Violation { reason: Reason::ProtocolError, statement, what }
    }
}

#[cfg(test)]
mod tests;
