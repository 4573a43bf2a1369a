//! The list of executors: read from the configuration at the start, from the name service afterwards.

mod dns;
mod list;
mod resolver;

pub use list::{Executor, State, Vocabulary};
pub use resolver::Resolver;
