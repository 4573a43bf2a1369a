//! The test kit for the dispatcher, never linked into it: starts real dispatcher processes on loopback, stubs every service that
//! they talk to, and injects faults between them. Tests wait for observed conditions with generous timeouts instead of fixed
//! delays, and check invariants over the merged event history of all processes.
#![forbid(unsafe_code)]

pub mod capacity;
pub mod crossing;
pub mod fit;
pub mod fleet;
pub mod history;
pub mod load;
#[allow(missing_docs)]
pub mod name_service;
pub mod process;
pub mod relay;
pub mod soak;
#[allow(missing_docs)]
pub mod stand;
pub mod subscribers;
#[allow(missing_docs)]
pub mod thrift_client;
pub mod worker;
