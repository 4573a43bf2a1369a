//! MQTT 5.0 and 3.1.1 without I/O: decoding and encoding of control packets, topic names and filters, and the delivery
//! of messages at QoS 0, 1 and 2. The caller passes in the bytes received and sends the bytes and packets returned.
//!
//! Sources: the OASIS standards *MQTT Version 5.0* (7 March 2019) and *MQTT Version 3.1.1* (29 October 2014). A
//! [`Violation`] holds the conformance statement that a peer violated and the reason code to close the connection with.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod delivery;
pub mod packet;
pub mod property;
pub mod reason;
pub mod topic;
pub mod wire;

pub use packet::{Packet, Qos, Version, decode};
pub use property::Properties;
pub use reason::{PacketType, ReasonCode, Violation};
