//! Streamed configuration: versions, messages, and the decisions of a subscriber. No socket and no clock; only
//! [`last_good`] touches a disk, and only when its caller says so.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod overlay;
mod version;

pub use version::{Digest, Hasher, Kind, NoVersion, Version};
