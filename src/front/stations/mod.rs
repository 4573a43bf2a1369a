//! The front for stations that connect to the dispatcher directly by MQTT 5.0: a listener, the stations' sessions and
//! their permissions. Connections, sessions, packet sizes and queued answers are bounded by [`Options`] and [`Rules`].
//!
//! [`Sessions`], [`Policy`] and the quotas decide without I/O; [`Front`] owns the sockets and the thread that checks
//! passwords.

mod front;
mod policy;
mod quota;
mod sessions;
mod verifier;

pub use front::{Front, Options, users};
pub use policy::{Policy, User};
pub use sessions::{Action, ConnId, Counts, Rules, Sessions};
pub use verifier::hash;
