//! `check` and `schema`: what may stand in a file, and what is wrong with one.

use super::{Error, io_error};
use crate::config::{Config, Faults, Operator, features, version};
use crate::counters::print_line;
use crate::front::stations;
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
    let mut read = None;
    if let Some(path) = config {
        let text = std::fs::read_to_string(path).map_err(io_error(path.display().to_string()))?;
        read = Some(Config::read(&text));
    }
    if let Some(path) = operator {
        match Operator::load(path) {
            Err(found) => faults.push(found),
            // The users' file is part of what the operator's file says.
            Ok(operator) => {
                let users = operator.stations.as_ref().and_then(|s| stations::users(&s.users).err());
                faults.extend(users.map(|why| Faults::one("stations.users", why.to_string())));
            }
        }
    }
    if config.is_none() && operator.is_none() {
        read = Some(Config::from_environment(false));
    }
    let read = read.map(|r| r.map_err(|e| faults.push(e)));
    if !faults.is_empty() {
        return Err(Error::Config(Faults(faults.into_iter().flat_map(|f| f.0).collect())));
    }
    // What the settings make of each part, so that a choice can be told from an oversight.
    if let Some(Ok(config)) = read {
        features::features(&config.parts.settings).iter().for_each(print_line);
    }
    print_line(format_args!("the configuration is good"));
    Ok(())
}

pub fn schema(kind: Kind) {
    let schema = match kind {
        Kind::Config => Config::schema(),
        Kind::Operator => Operator::schema(),
        Kind::Version => version::schema(),
    };
    print_line(format_args!("{schema:#}"));
}

/// Prints the hash of the password that standard input holds, without its line end.
pub fn hash_password() -> Result<(), Error> {
    use std::io::Read;
    let mut password = Vec::new();
    std::io::stdin().take(4_096).read_to_end(&mut password).map_err(io_error("standard input"))?;
    while password.last().is_some_and(|b| matches!(b, b'\r' | b'\n')) {
        password.pop();
    }
    let mut salt = [0; 16];
    let random = std::fs::File::open("/dev/urandom").and_then(|mut f| f.read_exact(&mut salt));
    random.map_err(io_error("/dev/urandom"))?;
    let unfit = || Error::Io("the password".to_string(), std::io::ErrorKind::InvalidInput.into());
    print_line(stations::hash(&password, &salt).ok_or_else(unfit)?);
    Ok(())
}
