//! `check` and `schema`: what may stand in a file, and what is wrong with one.

use super::{Error, io_error};
use crate::config::{Config, Faults, Operator, version};
use crate::counters::say;
use clap::ValueEnum;
use std::path::Path;

/// A kind of file that has a schema.
#[derive(Clone, Copy, ValueEnum)]
pub enum Kind {
    /// A dispatcher's configuration, JSON
    Config,
    /// An operator's file, TOML
    Operator,
    /// A version that a control service publishes, TOML
    Version,
}

/// Names the faults of all files, not only of the first that has one.
pub fn check(config: Option<&Path>, operator: Option<&Path>) -> Result<(), Error> {
    let mut faults = Vec::new();
    if let Some(path) = config {
        let text = std::fs::read_to_string(path).map_err(io_error(path.display().to_string()))?;
        faults.extend(Config::read(&text).err());
    }
    if let Some(path) = operator {
        faults.extend(Operator::load(path).err());
    }
    if config.is_none() && operator.is_none() {
        faults.extend(Config::from_environment(false).err());
    }
    if !faults.is_empty() {
        return Err(Error::Config(Faults(faults.into_iter().flat_map(|f| f.0).collect())));
    }
    say(format_args!("the configuration is good"));
    Ok(())
}

pub fn schema(kind: Kind) {
    let schema = match kind {
        Kind::Config => Config::schema(),
        Kind::Operator => Operator::schema(),
        Kind::Version => version::schema(),
    };
    say(format_args!("{schema:#}"));
}
