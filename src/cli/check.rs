//! The commands `check`, `schema` and `hash-password`, which need no running process.

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

/// Reports the faults of all given files together, and the features that a good configuration enables.
pub fn check(config: Option<&Path>, operator: Option<&Path>) -> Result<(), Error> {
    let mut faults = Vec::new();
    let mut config_result = None;
    if let Some(path) = config {
        let text = std::fs::read_to_string(path).map_err(io_error(path.display().to_string()))?;
        config_result = Some(Config::read(&text));
    }
    if let Some(path) = operator {
        match Operator::load(path) {
            Err(found) => faults.push(found),
            // The users' file that the operator's file names is checked as part of it.
            Ok(operator) => {
                let users = operator.stations.as_ref().and_then(|s| stations::users(&s.users).err());
                faults.extend(users.map(|why| Faults::one("stations.users", why.to_string())));
            }
        }
    }
    if config.is_none() && operator.is_none() {
        config_result = Some(Config::from_environment(false));
    }
    let config_result = config_result.map(|r| r.map_err(|e| faults.push(e)));
    if !faults.is_empty() {
        return Err(Error::Config(Faults(faults.into_iter().flat_map(|f| f.0).collect())));
    }
    // The list of features lets an operator tell a choice from an oversight.
    if let Some(Ok(config)) = config_result {
        features::features(&config.parts.settings).iter().for_each(print_line);
    }
    print_line(format_args!("the configuration is good"));
    Ok(())
}

/// Prints the JSON Schema of a kind of file.
pub fn schema(kind: Kind) {
    let schema = match kind {
        Kind::Config => Config::schema(),
        Kind::Operator => Operator::schema(),
        Kind::Version => version::schema(),
    };
    print_line(format_args!("{schema:#}"));
}

/// Reads a password from standard input, without its line end, and prints its hash.
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
    let unusable = || Error::Io("the password".to_string(), std::io::ErrorKind::InvalidInput.into());
    print_line(stations::hash(&password, &salt).ok_or_else(unusable)?);
    Ok(())
}
