//! The command line's words for a service that runs: `ochreward control ...`.

use crate::admin::{Ask, Client, Error};
use clap::{Args, Subcommand};
use comfy_table::{Table, presets};
use ochreward_stream::overlay;
use serde_json::Value;
use std::fmt;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// How often the state of a rollout is asked for while it is waited for.
const EVERY: Duration = Duration::from_millis(100);

/// Where the service is.
#[derive(Args, Clone, Debug)]
pub struct At {
    /// Where the control service listens
    #[arg(long, value_name = "ADDRESS", default_value = "127.0.0.1:8750", env = "OCHREWARD_CONTROL")]
    control: SocketAddr,
}

/// The words.
#[derive(Subcommand, Debug)]
pub enum Words {
    /// Publishes a version; the same content twice is one version
    #[command(after_help = "Example: ochreward control publish version.toml --wait")]
    Publish {
        /// The version's file, TOML
        file: PathBuf,
        /// To all instances, without canary and waves
        #[arg(long)]
        at_once: bool,
        /// Wait until the rollout is done (0) or has halted (1)
        #[arg(long)]
        wait: bool,
        /// The longest wait, in seconds
        #[arg(long, default_value_t = 3600, value_name = "SECONDS")]
        timeout: u64,
        /// Where the service is
        #[command(flatten)]
        at: At,
    },
    /// The keys in which two versions differ
    Diff {
        /// One version's number
        before: u64,
        /// The other's
        after: u64,
        /// Where the service is
        #[command(flatten)]
        at: At,
    },
    /// The published versions
    History {
        /// For programs
        #[arg(long)]
        json: bool,
        /// Where the service is
        #[command(flatten)]
        at: At,
    },
    /// Publishes the content of an earlier version again, under a new number
    Rollback {
        /// The earlier version's number
        number: u64,
        /// Through canary and waves; else to all at once
        #[arg(long)]
        staged: bool,
        /// Where the service is
        #[command(flatten)]
        at: At,
    },
    /// Goes on with a rollout that halted, leaving those who refused aside
    Resume {
        /// Where the service is
        #[command(flatten)]
        at: At,
    },
    /// Which version each instance runs, who lags, and who refused and why
    Status {
        /// For programs
        #[arg(long)]
        json: bool,
        /// Where each key that this instance gets comes from
        #[arg(long, value_name = "INSTANCE")]
        explain: Option<String>,
        /// Where the service is
        #[command(flatten)]
        at: At,
    },
    /// Everything that happens from now on, a JSON object a line
    Watch {
        /// Where the service is
        #[command(flatten)]
        at: At,
    },
}

/// Why a command came to nothing.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The file can't be read.
    #[error("{path}, {why}: name a file that can be read", path = .0.display(), why = .1)]
    File(PathBuf, io::Error),
    /// The service said no, or can't be reached.
    #[error(transparent)]
    Service(#[from] Error),
    /// The rollout did not get through.
    #[error("the rollout {0}: see `ochreward control status`, mend the version and publish it anew")]
    Rollout(String),
}

fn ask(at: &At, ask: &Ask) -> Result<Value, Failure> {
    Ok(Client::connect(at.control)?.ask(ask, None)?)
}

/// Writes a line. Danger: where nobody reads it any more, `println` would panic.
fn say(line: impl fmt::Display) -> bool {
    writeln!(io::stdout().lock(), "{line}").is_ok()
}

fn text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_string(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn table(head: &[&str], rows: impl Iterator<Item = Vec<String>>) -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING).set_header(head.iter().copied());
    table.add_rows(rows);
    table
}

/// Does what the words ask for.
pub fn run(words: Words) -> Result<(), Failure> {
    match words {
        Words::Publish { file, at_once, wait, timeout, at } => {
            let document = std::fs::read_to_string(&file).map_err(|e| Failure::File(file, e))?;
            let answer = Client::connect(at.control)?.ask(&Ask::Publish { at_once }, Some(&document))?;
            let version = text(&answer["version"]);
            let new = if answer["new"] == true { "published" } else { "is the latest already" };
            say(format_args!("{version} {new}"));
            if wait { wait_for(&at, &version, Duration::from_secs(timeout)) } else { Ok(()) }
        }
        Words::Rollback { number, staged, at } => {
            let answer = ask(&at, &Ask::Rollback { number, at_once: !staged })?;
            say(format_args!("{} holds what version {number} held", text(&answer["version"])));
            Ok(())
        }
        Words::Resume { at } => {
            ask(&at, &Ask::Resume {})?;
            say("the rollout goes on");
            Ok(())
        }
        Words::Diff { before, after, at } => {
            let (old, new) =
                (ask(&at, &Ask::Show { number: before })?, ask(&at, &Ask::Show { number: after })?);
            let shown = |v: Option<Value>| v.map_or_else(|| "-".to_string(), |v| v.to_string());
            let rows = overlay::differences(&old, &new).into_iter();
            say(table(
                &["KEY", &before.to_string(), &after.to_string()],
                rows.map(|(key, old, new)| vec![key, shown(old), shown(new)]),
            ));
            Ok(())
        }
        Words::History { json, at } => {
            let history = ask(&at, &Ask::History {})?;
            if json {
                say(history);
                return Ok(());
            }
            let entries = history.as_array().into_iter().flatten();
            let row = |v: &Value| {
                let types = v["types"].as_object().into_iter().flatten();
                let types: Vec<String> = types.map(|(kind, at)| format!("{kind} {}", text(at))).collect();
                let complete = if v["complete"] == true { "complete" } else { "" };
                vec![
                    text(&v["version"]),
                    text(&v["at_ms"]),
                    types.join(", "),
                    text(&v["rollback_of"]),
                    complete.into(),
                ]
            };
            say(table(&["VERSION", "UNIX MS", "TYPES", "ROLLBACK OF", ""], entries.map(row)));
            Ok(())
        }
        Words::Status { json, explain: Some(instance), at } => {
            let answer = ask(&at, &Ask::Explain { instance })?;
            if json {
                say(answer);
                return Ok(());
            }
            let keys = answer["keys"].as_array().into_iter().flatten();
            let row = |v: &Value| vec![text(&v["key"]), v["value"].to_string(), text(&v["layer"])];
            say(format_args!(
                "{} runs, or is to run, {}",
                text(&answer["instance"]),
                text(&answer["version"])
            ));
            say(table(&["KEY", "VALUE", "LAYER"], keys.map(row)));
            say("what is not listed comes from the instance's own file");
            Ok(())
        }
        Words::Status { json, explain: None, at } => {
            let status = ask(&at, &Ask::Status {})?;
            if json {
                say(status)
            } else {
                tell(&status)
            };
            Ok(())
        }
        Words::Watch { at } => Ok(Client::connect(at.control)?.watch(say)?),
    }
}

fn names(value: &Value) -> usize {
    value.as_array().map_or(0, Vec::len)
}

fn tell(status: &Value) -> bool {
    say(format_args!(
        "epoch {}, latest {}, complete {}",
        status["epoch"],
        text(&status["latest"]),
        text(&status["complete"])
    ));
    if let Some(epoch) = status["deposed_by"].as_u64() {
        say(format_args!("a service with epoch {epoch} leads; this one publishes nothing"));
    }
    let rollout = &status["rollout"];
    if rollout.is_object() {
        let why = rollout["why"].as_str().map(|w| format!(": {w}")).unwrap_or_default();
        say(format_args!(
            "rollout of {} {}{why}; wave {} of {}; {} changed, {} refused, {} not asked, {} unknown",
            text(&rollout["version"]),
            text(&rollout["phase"]),
            rollout["waves_begun"],
            rollout["waves"],
            names(&rollout["changed"]),
            names(&rollout["refused"]),
            names(&rollout["unchanged"]),
            names(&rollout["unknown"])
        ));
    }
    let instances = status["instances"].as_array().into_iter().flatten();
    let row = |v: &Value| {
        let refused = v["refused"].as_array().and_then(|r| r.last());
        let why =
            refused.map(|r| format!("{}: {}", text(&r["version"]), text(&r["why"]))).unwrap_or_default();
        let heard =
            v["heard_ms_ago"].as_u64().map_or_else(String::new, |ms| format!("{:.1} s", ms as f64 / 1e3));
        let cells = [&v["instance"], &v["standing"], &v["running"], &v["target"]];
        cells.into_iter().map(text).chain([heard, why]).collect()
    };
    say(table(&["INSTANCE", "STANDING", "RUNNING", "TARGET", "HEARD", "LAST REFUSAL"], instances.map(row)))
}

/// Waits until the rollout of a version is over.
fn wait_for(at: &At, version: &str, longest: Duration) -> Result<(), Failure> {
    let began = Instant::now();
    loop {
        let status = ask(at, &Ask::Status {})?;
        let rollout = &status["rollout"];
        match rollout["phase"].as_str() {
            _ if rollout["version"] != version => {
                return Err(Failure::Rollout("is over: another version was published".to_string()));
            }
            Some("done") => {
                tell(&status);
                return Ok(());
            }
            Some("halted") => {
                tell(&status);
                return Err(Failure::Rollout(format!("halted: {}", text(&rollout["why"]))));
            }
            _ if began.elapsed() >= longest => {
                return Err(Failure::Rollout("goes on; the wait for it is over".to_string()));
            }
            _ => std::thread::sleep(EVERY),
        }
    }
}
