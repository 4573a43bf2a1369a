//! `control`: the service itself, and checks that need none; the rest is in the service's own crate.

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
pub enum Words {
    /// Keeps versions and streams them to instances
    #[command(after_help = "\
Without a file, a rollout has two waves: a quarter, then all.
Example: ochreward control serve --store /var/lib/ochreward/control --listen 127.0.0.1:8750")]
    Serve {
        /// The operator's file: [control.service] says how versions are rolled out
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
        /// Where versions are kept
        #[arg(long, value_name = "DIR", required_unless_present = "operator")]
        store: Option<PathBuf>,
        /// Where streams and questions come in
        #[arg(long, value_name = "ADDRESS", required_unless_present = "operator")]
        listen: Option<SocketAddr>,
    },
    /// Checks a version's file, without a service
    Validate {
        /// The version's file, TOML
        file: PathBuf,
    },
    #[command(flatten)]
    Ask(cli::Command),
}

/// Reads a document for the service.
fn reader(text: &str) -> Result<Value, Vec<Fault>> {
    let fault = |e: crate::config::Error| Fault { key: e.key, why: e.why };
    version::read(text).map_err(|faults| faults.0.into_iter().map(fault).collect())
}

pub fn run(words: Words) -> Result<(), Error> {
    match words {
        Words::Serve { operator, store, listen } => serve(operator, store, listen),
        Words::Validate { file } => {
            let text = std::fs::read_to_string(&file).map_err(io_error(file.display().to_string()))?;
            version::read(&text)?;
            print_line(format_args!("the version is good"));
            Ok(())
        }
        Words::Ask(words) => cli::run(words).map_err(Error::Control),
    }
}

fn serve(file: Option<PathBuf>, store: Option<PathBuf>, listen: Option<SocketAddr>) -> Result<(), Error> {
    let operator = file.as_deref().map(load).transpose()?.unwrap_or_default();
    let told = operator.control.and_then(|c| c.service);
    let missing =
        |what: &str| Error::Io(format!("{what} is missing"), std::io::ErrorKind::InvalidInput.into());
    let plan = told.as_ref().map(|t| t.rollout.clone()).unwrap_or_default();
    let options = Options {
        listen: listen.or(told.as_ref().map(|t| t.listen)).ok_or_else(|| missing("--listen"))?,
        store_folder: store.or(told.as_ref().map(|t| t.store.clone())).ok_or_else(|| missing("--store"))?,
        max_connections: told.as_ref().map_or(4_096, |t| t.streams),
        heartbeat_us: told.as_ref().map_or(1_000_000, |t| t.heartbeat),
        plan,
        parse_document: reader,
    };
    let broken = |e: ochreward_control::ServerError| {
        Error::Io("the control service".to_string(), std::io::Error::other(e))
    };
    let mut server = Server::new(options).map_err(broken)?;
    let address = server.address().map_err(io_error("the control service"))?;
    print_line(format_args!("ochreward control, epoch {}, listens on {address}", server.epoch()));
    server.run().map_err(broken)
}
