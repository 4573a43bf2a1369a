//! MQTT 5.0 and 3.1.1 without I/O: bytes in, packets out, and the other way round.
//!
//! Sources: the OASIS standards *MQTT Version 5.0* (7 March 2019) and *MQTT Version 3.1.1* (29 October 2014). A
//! [`Violation`] names the statement that a peer broke and the reason to close with.
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
pub use reason::{Kind, Reason, Violation};
