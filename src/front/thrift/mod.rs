//! The platform's front: framed Thrift over TCP. Bytes to requests and back; nothing is decided here.

mod front;
mod wire;

pub use front::{Front, Limits};
pub use wire::{ask_well, read_well};
