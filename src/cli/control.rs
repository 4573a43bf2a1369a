//! The commands under `control`: running the service and checking a version without one. The commands that query a
//! running service are in its own crate.

use super::{Error, io_error, load};
use crate::config::version;
use crate::counters::print_line;
use clap::Subcommand;
use ochreward_control::{Options, Server, cli};
use ochreward_stream::wire::Fault;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Subcommand)]
pub enum ControlCommand {
    /// Stores versions and streams them to instances
    #[command(after_help = "\
Without an operator's file, a rollout has two waves: a quarter, then all.
Example: ochreward control serve --store /var/lib/ochreward/control --listen 127.0.0.1:8750")]
    Serve {
        /// The operator's file; [control.service] sets how versions are rolled out
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
        /// The directory where versions are stored
        #[arg(long, value_name = "DIR", required_unless_present = "operator")]
        store: Option<PathBuf>,
        /// The address that instances and commands connect to
        #[arg(long, value_name = "ADDRESS", required_unless_present = "operator")]
        listen: Option<SocketAddr>,
    },
    /// Checks the file of a version, without a service
    Validate {
        /// The file of the version, TOML
        file: PathBuf,
    },
    #[command(flatten)]
    Ask(cli::Command),
}

/// Reads and checks the text of a version for the service.
fn read_version(text: &str) -> Result<Value, Vec<Fault>> {
    let fault = |e: crate::config::Error| Fault { key: e.key, why: e.why };
    version::read(text).map_err(|faults| faults.0.into_iter().map(fault).collect())
}

/// Runs a subcommand of `control`.
pub fn run(command: ControlCommand) -> Result<(), Error> {
    match command {
        ControlCommand::Serve { operator, store, listen } => serve(operator, store, listen),
        ControlCommand::Validate { file } => {
            let text = std::fs::read_to_string(&file).map_err(io_error(file.display().to_string()))?;
            version::read(&text)?;
            print_line(format_args!("the version is good"));
            Ok(())
        }
        ControlCommand::Ask(command) => cli::run(command).map_err(Error::Control),
    }
}

fn serve(file: Option<PathBuf>, store: Option<PathBuf>, listen: Option<SocketAddr>) -> Result<(), Error> {
    let operator = file.as_deref().map(load).transpose()?.unwrap_or_default();
    let settings = operator.control.and_then(|c| c.service);
    let missing =
        |what: &str| Error::Io(format!("{what} is missing"), std::io::ErrorKind::InvalidInput.into());
    let plan = settings.as_ref().map(|s| s.rollout.clone()).unwrap_or_default();
    let options = Options {
        listen: listen.or(settings.as_ref().map(|s| s.listen)).ok_or_else(|| missing("--listen"))?,
        store_folder: store
            .or(settings.as_ref().map(|s| s.store.clone()))
            .ok_or_else(|| missing("--store"))?,
        max_connections: settings.as_ref().map_or(4_096, |s| s.streams),
        heartbeat_us: settings.as_ref().map_or(1_000_000, |s| s.heartbeat),
        plan,
        parse_document: read_version,
    };
    let server_error = |e: ochreward_control::ServerError| {
        Error::Io("the control service".to_string(), std::io::Error::other(e))
    };
    let mut server = Server::new(options).map_err(server_error)?;
    let address = server.address().map_err(io_error("the control service"))?;
    print_line(format_args!("ochreward control, epoch {}, listens on {address}", server.epoch()));
    server.run().map_err(server_error)
}
