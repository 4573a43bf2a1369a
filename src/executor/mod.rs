//! Executors: their connections, and the JSON lines spoken on them.

mod json;
mod line;
mod peer;
mod pool;

pub use pool::{Limits, Pool, Report, Sighting};
