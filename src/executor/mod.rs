//! The client side of the executor protocol: connections to executors and the JSON lines exchanged on them.
//!
//! [`Pool`] is given attempts and load orders and reports how each one ended; [`PoolSettings`] bounds its
//! connections, the requests open on each, and the memory for partially received answers.

mod connection;
mod json;
mod line;
mod pool;

pub use pool::{Completion, ConnectionFailure, Pool, PoolSettings};
