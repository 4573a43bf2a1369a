//! The list of executors: read from the configuration at the start, from the name service afterwards.

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
