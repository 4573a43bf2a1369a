//! The one place where configuration is read, checked and given defaults. Messages name the faulty key.

mod keys;
mod operator;
mod settings;

pub use keys::Error;
pub use operator::{Agent, Instance, Operator};
pub use settings::{Config, Resources, SERVICE, Settings};
