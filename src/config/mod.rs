//! The one place where configuration is read, checked and given defaults. Messages name the faulty key.

mod control;
pub mod features;
mod operator;
mod settings;
pub mod version;

pub use crate::keys::{Error, Faults, Key};
pub use control::{Control, Service, Stream};
pub use operator::{Agent, Instance, Operator};
pub use settings::{Config, MAX_DRAIN_GRACE_US, Resources, SERVICE, Settings, VersionedConfig};
