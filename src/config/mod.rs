//! Configuration: reads, checks and defaults every setting of a dispatcher, of the operator's file and of published
//! versions. Only the file of the stations' users is read elsewhere. Each fault names the key that it concerns.

mod control;
pub mod features;
mod operator;
mod settings;
pub mod version;

pub use crate::keys::{Error, Faults, Key};
pub use control::{Control, Service, Stream};
pub use operator::{Agent, Instance, Operator};
pub use settings::{Config, MAX_DRAIN_GRACE_US, Resources, SERVICE, Settings, VersionedConfig};
