//! The platform's front: framed Thrift over TCP. It decodes calls into requests and encodes replies; the number of
//! connections, the requests open on each and the bytes of unsent answers are bounded.

mod front;
mod wire;

pub use front::{Front, Limits};
pub use wire::{ask_well, read_well};
