//! The command line. Exit codes: 0 yes or done, 1 no or failed, 2 words that make no command.

mod agent;
mod check;
mod control;

use crate::config::{self, Config, Operator};
use crate::counters::print_line;
use crate::logs::{self, Format};
use crate::node::Node;
use clap::{Args, CommandFactory, Parser, Subcommand};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A dispatcher that sends each request to the worker expected to finish it first, and the tools around it.
#[derive(Parser)]
#[command(
    name = "ochreward",
    version,
    args_conflicts_with_subcommands = true,
    after_help = "\
Examples:
  ochreward                                     one dispatcher, told by the environment
  ochreward run --operator operator.toml        the same, with MQTT triggers or streamed configuration
  ochreward agent --operator operator.toml      many dispatchers, and what balancers ask of them
  ochreward check --config n0.json              names every faulty key of a file

Environment of a dispatcher: ROUTER_NAME, ROUTER_LISTEN, ROUTER_CONFIG; ROUTER_OPS, ROUTER_INHERITED_FD, TMPDIR.
SIGUSR1 prints its counters, SIGHUP has it read its configuration again, SIGTERM settles everything and ends it.
Exit codes: 0 yes or done, 1 no or failed, 2 words that make no command."
)]
struct Words {
    #[command(flatten)]
    run: Run,
    #[command(flatten)]
    logs: Logs,
    #[command(subcommand)]
    verb: Option<Verb>,
}

#[derive(Args)]
struct Logs {
    /// How events are written to standard error
    #[arg(long, global = true, value_enum, default_value_t = Format::Text, value_name = "FORMAT")]
    log_format: Format,
    /// What is written: a level, or a filter such as `warn,ochreward::node=debug`
    #[arg(long, global = true, env = "OCHREWARD_LOG", default_value = "info", value_name = "FILTER")]
    log_level: String,
}

#[derive(Args)]
struct Run {
    /// The operator's file: MQTT brokers, and the control service that configuration comes from
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Take no MQTT triggers, whatever the operator's file says
    #[arg(long, hide = true)]
    without_mqtt: bool,
    /// End when the process that started this one ends
    #[arg(long, hide = true)]
    with_parent: bool,
}

#[derive(Args)]
struct At {
    /// Where the agent answers
    #[arg(long, value_name = "ADDRESS", default_value = "127.0.0.1:8700")]
    agent: SocketAddr,
}

#[derive(Subcommand)]
enum Verb {
    /// One dispatcher, told by ROUTER_NAME, ROUTER_LISTEN and ROUTER_CONFIG
    Run(Run),
    /// Keeps the file's instances running and answers balancers
    Agent {
        /// The operator's file
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
    },
    /// Reads configuration and names every faulty key
    #[command(
        after_help = "Without a file it reads what the environment names.\nExample: ochreward check --config n0.json --operator operator.toml"
    )]
    Check {
        /// A dispatcher's configuration, in the platform's JSON
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// An operator's file
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
    },
    /// Prints the JSON Schema of a kind of file
    #[command(after_help = "Example: ochreward schema operator > operator.schema.json")]
    Schema {
        /// The kind of file
        #[arg(value_enum)]
        kind: check::Kind,
    },
    /// The agent's instances, a line each
    Status {
        /// Nothing but this one
        name: Option<String>,
        #[command(flatten)]
        at: At,
    },
    /// Ready, drain or down; ends with 0 if ready
    Health {
        /// The instance; without it, whether any is ready
        name: Option<String>,
        #[command(flatten)]
        at: At,
    },
    /// Has balancers send an instance nothing new
    Drain(Named),
    /// Has balancers use an instance again
    Ready(Named),
    /// Drains an instance, ends it and starts it again
    Restart(Named),
    /// Drains an instance and ends it
    Stop(Named),
    /// What a dispatcher knows of the others of its group
    #[command(
        after_help = "Ends with 0 where all that are alive see the same.\nExample: ochreward peers --door 127.0.0.1:8081"
    )]
    Peers {
        /// What: all that is known; budgets, leases and the level of admission; or zones
        #[arg(value_parser = ["all", "budgets", "zones"], default_value = "all")]
        what: String,
        /// The dispatcher's door
        #[arg(long, value_name = "ADDRESS", default_value = "127.0.0.1:8081")]
        door: SocketAddr,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// The control service, and what it is asked: versions, rollouts, who runs which
    #[command(subcommand)]
    Control(control::Words),
    /// Reads a password from standard input and prints its hash for a users' file
    #[command(after_help = "Example: ochreward hash-password < password.txt")]
    HashPassword,
    /// Prints the shell's completions
    #[command(after_help = "Example: ochreward completions bash > /etc/bash_completion.d/ochreward")]
    Completions {
        /// The shell
        #[arg(value_enum)]
        shell: clap_complete::Shell,
    },
}

#[derive(Args)]
struct Named {
    /// The instance
    name: String,
    #[command(flatten)]
    at: At,
}

/// Why a command came to nothing.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The configuration has faults.
    #[error(transparent)]
    Config(#[from] config::Faults),
    /// Something else went wrong: what, and how.
    #[error("{0}, {1}: see to the address, the file or the rights that this names")]
    Io(String, io::Error),
    /// The agent would not.
    #[error("the agent answered {0}: `ochreward status` names the instances that it has")]
    Agent(u16),
    /// The operators' door would not.
    #[error("the door answered {0}: docs/on-call.md says what each status wants")]
    Door(u16),
    /// The dispatchers of a group see different things.
    #[error(
        "not all that are alive see the same: ask again in some seconds, then look at `ochreward peers --json`"
    )]
    Disagree,
    /// The control service would not, or a rollout did not get through.
    #[error(transparent)]
    Control(ochreward_control::cli::Failure),
    /// The log filter has a fault.
    #[error(transparent)]
    Filter(#[from] logs::FilterError),
}

fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> Error {
    |e| Error::Io(what.into(), e)
}

/// Does what the words ask for. The error is for standard error; words that make no command end the process with 2.
pub fn main() -> Result<(), Error> {
    let words = Words::parse();
    let _flushed_at_the_end = logs::start(words.logs.log_format, &words.logs.log_level)?;
    match words.verb.unwrap_or(Verb::Run(words.run)) {
        Verb::Run(asked) => run(&asked),
        Verb::Agent { operator } => agent::serve(operator),
        Verb::Check { config, operator } => check::check(config.as_deref(), operator.as_deref()),
        Verb::Schema { kind } => {
            check::schema(kind);
            Ok(())
        }
        Verb::Status { name, at } => agent::order("status", name.as_deref(), at.agent),
        Verb::Health { name, at } => agent::order("health", name.as_deref(), at.agent),
        Verb::Drain(named) => agent::order("drain", Some(&named.name), named.at.agent),
        Verb::Ready(named) => agent::order("ready", Some(&named.name), named.at.agent),
        Verb::Restart(named) => agent::order("restart", Some(&named.name), named.at.agent),
        Verb::Stop(named) => agent::order("stop", Some(&named.name), named.at.agent),
        Verb::Peers { what, door, json } => agent::peers(door, json, &what),
        Verb::Control(words) => control::run(words),
        Verb::HashPassword => check::hash_password(),
        Verb::Completions { shell } => {
            clap_complete::generate(shell, &mut Words::command(), "ochreward", &mut io::stdout());
            Ok(())
        }
    }
}

fn load(path: &Path) -> Result<Operator, Error> {
    Ok(Operator::load(path)?)
}

fn run(asked: &Run) -> Result<(), Error> {
    if asked.with_parent {
        // An agent that is killed takes its instances along: the next one could not listen where they do.
        let signal = Some(rustix::process::Signal::TERM);
        rustix::process::set_parent_process_death_signal(signal)
            .map_err(|e| Error::Io("can't start".to_string(), e.into()))?;
    }
    let operator = asked.operator.as_deref().map(load).transpose()?.unwrap_or_default();
    let stream = operator.control.as_ref().and_then(|c| c.stream.clone());
    let config = Config::from_environment(stream.is_some())?;
    let name = config.name.clone();
    let brokers = if asked.without_mqtt { Vec::new() } else { operator.brokers_of(&name) };
    let mut node = Node::new(
        config,
        brokers,
        stream.as_ref(),
        operator.stations,
        (operator.peers, operator.overload, operator.zones),
        operator.function_bytes,
    )
    .map_err(io_error("can't start"))?;
    let address = node.address().map_or_else(String::new, |a| a.to_string());
    if let Some(door) = node.admin_address() {
        print_line(format_args!("ochreward {name} answers operators on {door}"));
    }
    if let Some(stations) = node.station_address() {
        print_line(format_args!("ochreward {name} takes stations on {stations}"));
    }
    if let Some(peers) = node.peer_address() {
        print_line(format_args!("ochreward {name} meets others on {peers}"));
    }
    print_line(format_args!("ochreward {name} serves on {address}"));
    node.run().map_err(io_error("the loop ended"))?;
    print_line(node.counters_line());
    Ok(())
}

#[cfg(test)]
mod tests;
