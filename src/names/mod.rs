//! The list of executors: read from the configuration at the start, from the name service afterwards.

mod check;
mod dns;
mod list;
mod resolver;

pub use check::{Checker, Doubt, EMPTY_HOLD_US, Verdict};
pub use list::{Executor, State, Vocabulary};
pub use resolver::Resolver;
