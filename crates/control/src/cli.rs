//! The subcommands of `ochreward control` that query or change a running control service.

use crate::admin::{Client, Error, Request};
use clap::{Args, Subcommand};
use comfy_table::{Table, presets};
use ochreward_stream::layers;
use serde_json::Value;
use std::fmt;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// The polling interval while waiting for a rollout.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The address of the control service.
#[derive(Args, Clone, Debug)]
pub struct ServiceAddress {
    /// Address that the control service listens on
    #[arg(long, value_name = "ADDRESS", default_value = "127.0.0.1:8750", env = "OCHREWARD_CONTROL")]
    control: SocketAddr,
}

/// The subcommands.
#[derive(Subcommand, Debug)]
pub enum Command {
    /// Publish a version; the same content published twice is one version
    #[command(after_help = "Example: ochreward control publish version.toml --wait")]
    Publish {
        /// File of the version, in TOML
        file: PathBuf,
        /// Roll out to all instances at once, without canary and waves
        #[arg(long)]
        at_once: bool,
        /// Wait until the rollout is done (exit code 0) or has halted (1)
        #[arg(long)]
        wait: bool,
        /// Longest time to wait, in seconds
        #[arg(long, default_value_t = 3600, value_name = "SECONDS")]
        timeout: u64,
        /// Address of the control service
        #[command(flatten)]
        at: ServiceAddress,
    },
    /// Show the keys in which two versions differ
    Diff {
        /// Number of one version
        before: u64,
        /// Number of the other version
        after: u64,
        /// Address of the control service
        #[command(flatten)]
        at: ServiceAddress,
    },
    /// List the published versions
    History {
        /// Print JSON
        #[arg(long)]
        json: bool,
        /// Address of the control service
        #[command(flatten)]
        at: ServiceAddress,
    },
    /// Publish the content of an earlier version again, under a new number
    Rollback {
        /// Number of the earlier version
        number: u64,
        /// Roll out through canary and waves instead of to all instances at once
        #[arg(long)]
        staged: bool,
        /// Address of the control service
        #[command(flatten)]
        at: ServiceAddress,
    },
    /// Resume a halted rollout, without the instances that refused the version
    Resume {
        /// Address of the control service
        #[command(flatten)]
        at: ServiceAddress,
    },
    /// Show the version that each instance runs, and which instances lag behind or refused a version and why
    Status {
        /// Print JSON
        #[arg(long)]
        json: bool,
        /// Show the layer that each key of this instance's configuration comes from
        #[arg(long, value_name = "INSTANCE")]
        explain: Option<String>,
        /// Address of the control service
        #[command(flatten)]
        at: ServiceAddress,
    },
    /// Print all events from now on, as one JSON object per line
    Watch {
        /// Address of the control service
        #[command(flatten)]
        at: ServiceAddress,
    },
}

/// The reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The file can't be read.
    #[error("{path}, {why}: name a readable file", path = .0.display(), why = .1)]
    File(PathBuf, io::Error),
    /// The service refused the request or can't be reached.
    #[error(transparent)]
    Service(#[from] Error),
    /// The rollout did not complete.
    #[error("the rollout {0}: see `ochreward control status`, correct the version and publish it again")]
    Rollout(String),
}

/// Sends a request without a document.
fn ask(at: &ServiceAddress, ask: &Request) -> Result<Value, Failure> {
    Ok(Client::connect(at.control)?.request(ask, None)?)
}

/// Prints a line; returns whether that succeeded. `println` would panic once the reader of the output has closed it.
fn print_line(line: impl fmt::Display) -> bool {
    writeln!(io::stdout().lock(), "{line}").is_ok()
}

/// Returns a JSON value as text for a table.
fn cell_text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_string(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Creates a table without borders.
fn table(header: &[&str], rows: impl Iterator<Item = Vec<String>>) -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING).set_header(header.iter().copied());
    table.add_rows(rows);
    table
}

/// Runs a subcommand.
pub fn run(words: Command) -> Result<(), Failure> {
    match words {
        Command::Publish { file, at_once, wait, timeout, at } => {
            let document = std::fs::read_to_string(&file).map_err(|e| Failure::File(file, e))?;
            let answer =
                Client::connect(at.control)?.request(&Request::Publish { at_once }, Some(&document))?;
            let version = cell_text(&answer["version"]);
            let new = if answer["new"] == true { "published" } else { "is already the latest version" };
            print_line(format_args!("{version} {new}"));
            if wait { wait_for(&at, &version, Duration::from_secs(timeout)) } else { Ok(()) }
        }
        Command::Rollback { number, staged, at } => {
            let answer = ask(&at, &Request::Rollback { number, at_once: !staged })?;
            print_line(format_args!("{} holds what version {number} held", cell_text(&answer["version"])));
            Ok(())
        }
        Command::Resume { at } => {
            ask(&at, &Request::Resume {})?;
            print_line("the rollout continues");
            Ok(())
        }
        Command::Diff { before, after, at } => {
            let (old, new) =
                (ask(&at, &Request::Show { number: before })?, ask(&at, &Request::Show { number: after })?);
            let shown = |v: Option<Value>| v.map_or_else(|| "-".to_string(), |v| v.to_string());
            let rows = layers::differences(&old, &new).into_iter();
            print_line(table(
                &["KEY", &before.to_string(), &after.to_string()],
                rows.map(|(key, old, new)| vec![key, shown(old), shown(new)]),
            ));
            Ok(())
        }
        Command::History { json, at } => {
            let history = ask(&at, &Request::History {})?;
            if json {
                print_line(history);
                return Ok(());
            }
            let entries = history.as_array().into_iter().flatten();
            let row = |v: &Value| {
                let types = v["types"].as_object().into_iter().flatten();
                let types: Vec<String> =
                    types.map(|(kind, at)| format!("{kind} {}", cell_text(at))).collect();
                let complete = if v["complete"] == true { "complete" } else { "" };
                vec![
                    cell_text(&v["version"]),
                    cell_text(&v["at_ms"]),
                    types.join(", "),
                    cell_text(&v["rollback_of"]),
                    complete.into(),
                ]
            };
            print_line(table(&["VERSION", "UNIX MS", "TYPES", "ROLLBACK OF", ""], entries.map(row)));
            Ok(())
        }
        Command::Status { json, explain: Some(instance), at } => {
            let answer = ask(&at, &Request::Explain { instance })?;
            if json {
                print_line(answer);
                return Ok(());
            }
            let keys = answer["keys"].as_array().into_iter().flatten();
            let row = |v: &Value| vec![cell_text(&v["key"]), v["value"].to_string(), cell_text(&v["layer"])];
            print_line(format_args!(
                "{} runs, or will run, {}",
                cell_text(&answer["instance"]),
                cell_text(&answer["version"])
            ));
            print_line(table(&["KEY", "VALUE", "LAYER"], keys.map(row)));
            print_line("keys that are not listed come from the instance's own file");
            Ok(())
        }
        Command::Status { json, explain: None, at } => {
            let status = ask(&at, &Request::Status {})?;
            if json {
                print_line(status)
            } else {
                print_status(&status)
            };
            Ok(())
        }
        Command::Watch { at } => Ok(Client::connect(at.control)?.watch(print_line)?),
    }
}

/// Returns the length of a JSON array.
fn count(value: &Value) -> usize {
    value.as_array().map_or(0, Vec::len)
}

/// Prints the status for operators.
fn print_status(status: &Value) -> bool {
    print_line(format_args!(
        "epoch {}, latest {}, complete {}",
        status["epoch"],
        cell_text(&status["latest"]),
        cell_text(&status["complete"])
    ));
    if let Some(epoch) = status["deposed_by"].as_u64() {
        print_line(format_args!("a service with epoch {epoch} has taken over; this one publishes nothing"));
    }
    let rollout = &status["rollout"];
    if rollout.is_object() {
        let why = rollout["why"].as_str().map(|w| format!(": {w}")).unwrap_or_default();
        print_line(format_args!(
            "rollout of {} {}{why}; wave {} of {}; {} changed, {} refused, {} not offered, {} unknown",
            cell_text(&rollout["version"]),
            cell_text(&rollout["phase"]),
            rollout["waves_begun"],
            rollout["waves"],
            count(&rollout["changed"]),
            count(&rollout["refused"]),
            count(&rollout["unchanged"]),
            count(&rollout["unknown"])
        ));
    }
    let instances = status["instances"].as_array().into_iter().flatten();
    let row = |v: &Value| {
        let refused = v["refused"].as_array().and_then(|r| r.last());
        let why = refused
            .map(|r| format!("{}: {}", cell_text(&r["version"]), cell_text(&r["why"])))
            .unwrap_or_default();
        let heard =
            v["heard_ms_ago"].as_u64().map_or_else(String::new, |ms| format!("{:.1} s", ms as f64 / 1e3));
        let cells = [&v["instance"], &v["standing"], &v["running"], &v["target"]];
        cells.into_iter().map(cell_text).chain([heard, why]).collect()
    };
    print_line(table(
        &["INSTANCE", "STANDING", "RUNNING", "TARGET", "HEARD", "LAST REFUSAL"],
        instances.map(row),
    ))
}

/// Waits until the rollout of a version is done, has halted, or the time-out has passed.
fn wait_for(at: &ServiceAddress, version: &str, timeout: Duration) -> Result<(), Failure> {
    let started = Instant::now();
    loop {
        let status = ask(at, &Request::Status {})?;
        let rollout = &status["rollout"];
        match rollout["phase"].as_str() {
            _ if rollout["version"] != version => {
                return Err(Failure::Rollout("has ended: another version was published".to_string()));
            }
            Some("done") => {
                print_status(&status);
                return Ok(());
            }
            Some("halted") => {
                print_status(&status);
                return Err(Failure::Rollout(format!("halted: {}", cell_text(&rollout["why"]))));
            }
            _ if started.elapsed() >= timeout => {
                return Err(Failure::Rollout("is still in progress after the longest wait".to_string()));
            }
            _ => std::thread::sleep(POLL_INTERVAL),
        }
    }
}
