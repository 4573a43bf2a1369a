//! Discovery of executors: the list read from the configuration at the start, and from the DNS name service afterwards.
//!
//! [`Resolver`] queries the service and owns its sockets. [`Checker`] validates each received list, and [`ListTracker`]
//! decides which list is in use and which of its executors may be sent requests.

mod channel;
mod check;
mod dns;
mod list;
mod resolver;
mod schedule;
mod stream;
mod tracker;

pub use check::{Checker, Doubt, EMPTY_HOLD_US, Verdict};
pub use list::{Executor, MOST_EXECUTORS, MOST_ID_BYTES, State, Vocabulary};
pub use resolver::{Resolver, Start};
pub use tracker::{Decision, ListTracker, ReceivedList};
