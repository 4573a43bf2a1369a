//! Streamed configuration: versions, messages, and the decisions of a subscriber. No socket and no clock; only
//! [`last_good`] touches a disk, and only when its caller says so.
//!
//! The semantics follow the xDS transport protocol: an offer carries a version and a nonce, and is answered by one
//! ACK or NACK with an error detail; a subscriber that comes back says what it holds. `docs/protocol/control.md`
//! holds the page for implementers, `docs/design/streamed-configuration.md` the choices.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod backoff;
pub mod last_good;
pub mod overlay;
mod snapshot;
pub mod subscriber;
pub mod trial;
mod version;
pub mod wire;

pub use backoff::Backoff;
pub use snapshot::{Assembly, Resource, Snapshot, content};
pub use subscriber::{Memory, Step, Subscriber};
pub use version::{Digest, Hasher, Kind, NoVersion, Version};
