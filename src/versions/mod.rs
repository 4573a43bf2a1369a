//! Streamed configuration, on the dispatcher's side.
//!
//! [`ConfigStream`] holds the connection to the control service and the subscriber's state machine, [`rules`] says which
//! versions may run, [`selection`] which of the stored ones does, and a thread ([`VersionThread`]) reads, checks and stores versions, so that none of this blocks the
//! event loop. A version's size is bounded by a part of the memory limit.

pub mod rules;
pub mod selection;
mod store_thread;
mod stream;

pub use selection::{OwnFile, Selection};
pub use store_thread::{JobResult, VersionThread, read};
pub use stream::{ConfigStream, StartOptions, StreamEvent};
