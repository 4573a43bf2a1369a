//! A seeded soak: real dispatchers, stand-ins that misbehave, signals and failing system calls, and a judge over what clients
//! and workers have recorded.
//!
//! [`plan::Plan`] is drawn from the seed alone. [`run::play`] plays it. [`judge::judge`] reads the records and knows nothing of
//! the dispatchers' own words. `examples/soak.rs` is the command.

pub mod client;
pub mod judge;
pub mod plan;
pub mod record;
pub mod run;
pub mod service;
pub mod worker;
