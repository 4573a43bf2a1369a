//! Streamed configuration: versions, the messages that carry them, and the subscriber's state machine. The crate opens
//! no socket and reads no clock; only [`last_good`] accesses the disk, and only when its caller asks for it.
//!
//! The semantics follow the xDS transport protocol: an offer carries a version and a nonce and is answered by exactly
//! one ACK, or one NACK with an error detail; a subscriber that reconnects reports what it already holds.
//! `docs/protocol/control.md` specifies the protocol for implementers, `docs/design/streamed-configuration.md` gives
//! the reasons for the design.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod backoff;
pub mod last_good;
pub mod layers;
mod snapshot;
pub mod subscriber;
pub mod trial;
mod version;
pub mod wire;

pub use backoff::Backoff;
pub use snapshot::{Assembly, Resource, Snapshot, content_digest};
pub use subscriber::{Action, Subscriber, SubscriberState};
pub use version::{Digest, Hasher, Kind, ParseVersionError, Version};
