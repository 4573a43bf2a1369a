//! A seeded soak test: real dispatchers run against faulty stub workers and name services, under signals and failing system
//! calls, and the records of clients and workers are checked against the platform's rules.
//!
//! [`plan::Plan`] is drawn from the seed alone and [`run::play`] executes it. [`judge::judge`] checks the records that clients,
//! workers and name services have written, without using any dispatcher's own logs, so that a wrong log cannot hide a fault; only
//! panics are taken from the processes' standard error. `examples/soak.rs` is the command line.

pub mod client;
pub mod judge;
pub mod plan;
pub mod record;
pub mod run;
pub mod service;
pub mod worker;
