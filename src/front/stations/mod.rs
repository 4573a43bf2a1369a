//! Stations that connect to the dispatcher itself, by MQTT 5.0: a listener, their sessions, and what each may do.
//!
//! [`Sessions`] and what it goes by decide without I/O; [`Front`] has the sockets and the thread that checks
//! passwords.

mod front;
mod policy;
mod quota;
mod sessions;
mod verifier;

pub use front::{Front, Options, users};
pub use policy::{Policy, User};
pub use sessions::{Act, Conn, Counts, Rules, Sessions};
pub use verifier::hash;
