//! The command line: parses the arguments and runs the command. Exit codes: 0 for yes or done, 1 for no or failed, 2
//! for arguments that form no command.

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
  ochreward                                     one dispatcher, configured by the environment
  ochreward run --operator operator.toml        the same, with MQTT triggers or streamed configuration
  ochreward agent --operator operator.toml      many dispatchers, with health checks for balancers
  ochreward check --config n0.json              reports every faulty key of a file

Environment of a dispatcher: ROUTER_NAME, ROUTER_LISTEN, ROUTER_CONFIG; ROUTER_OPS, ROUTER_INHERITED_FD, TMPDIR.
SIGUSR1 prints its counters, SIGHUP reloads its configuration, SIGTERM completes open requests and ends it.
Exit codes: 0 yes or done, 1 no or failed, 2 arguments that form no command."
)]
struct Cli {
    #[command(flatten)]
    run: RunArguments,
    #[command(flatten)]
    logs: LogArguments,
    #[command(subcommand)]
    verb: Option<Command>,
}

#[derive(Args)]
struct LogArguments {
    /// The format of log events on standard error
    #[arg(long, global = true, value_enum, default_value_t = Format::Text, value_name = "FORMAT")]
    log_format: Format,
    /// The log filter: a level, or a filter such as `warn,ochreward::node=debug`
    #[arg(long, global = true, env = "OCHREWARD_LOG", default_value = "info", value_name = "FILTER")]
    log_level: String,
}

#[derive(Args)]
struct RunArguments {
    /// The operator's file: MQTT brokers, and the control service that configuration is streamed from
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
struct AgentAddress {
    /// The address of the agent
    #[arg(long, value_name = "ADDRESS", default_value = "127.0.0.1:8700")]
    agent: SocketAddr,
}

#[derive(Subcommand)]
enum Command {
    /// Runs one dispatcher, configured by ROUTER_NAME, ROUTER_LISTEN and ROUTER_CONFIG
    Run(RunArguments),
    /// Keeps the instances of an operator's file running and answers balancers' health checks
    Agent {
        /// The operator's file
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
    },
    /// Checks configuration and reports every faulty key
    #[command(
        after_help = "Without a file it checks the configuration that the environment names.\nExample: ochreward check --config n0.json --operator operator.toml"
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
    /// Lists the agent's instances, one per line
    Status {
        /// Only this instance
        name: Option<String>,
        #[command(flatten)]
        at: AgentAddress,
    },
    /// Prints ready, drain or down; exits with 0 if ready
    Health {
        /// The instance; without it, checks whether any is ready
        name: Option<String>,
        #[command(flatten)]
        at: AgentAddress,
    },
    /// Makes balancers send an instance nothing new
    Drain(InstanceArguments),
    /// Makes balancers use an instance again
    Ready(InstanceArguments),
    /// Drains, stops and restarts an instance
    Restart(InstanceArguments),
    /// Drains and stops an instance
    Stop(InstanceArguments),
    /// Shows a dispatcher's view of its group
    #[command(
        after_help = "Exits with 0 if all dispatchers alive have the same view.\nExample: ochreward peers --door 127.0.0.1:8081"
    )]
    Peers {
        /// What to show: everything known of peers; budgets, leases and the admission level; or zones
        #[arg(value_parser = ["all", "budgets", "zones"], default_value = "all")]
        what: String,
        /// The address of the dispatcher's operators' endpoint
        #[arg(long, value_name = "ADDRESS", default_value = "127.0.0.1:8081")]
        door: SocketAddr,
        /// Prints JSON
        #[arg(long)]
        json: bool,
    },
    /// Runs or queries the control service: versions, rollouts, and which instance runs which version
    #[command(subcommand)]
    Control(control::ControlCommand),
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
struct InstanceArguments {
    /// The instance
    name: String,
    #[command(flatten)]
    at: AgentAddress,
}

/// The reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The configuration has faults.
    #[error(transparent)]
    Config(#[from] config::Faults),
    /// Another operation failed: which, and how.
    #[error("{0}, {1}: check the address, the file or the permissions that this names")]
    Io(String, io::Error),
    /// The agent answered with an error status.
    #[error("the agent answered {0}: `ochreward status` names the instances that it has")]
    Agent(u16),
    /// The operators' endpoint answered with an error status.
    #[error("the operators' endpoint answered {0}: docs/on-call.md says what to do for each status")]
    Door(u16),
    /// The dispatchers of a group have different views.
    #[error(
        "not all dispatchers alive have the same view: ask again in some seconds, then look at `ochreward peers --json`"
    )]
    Disagree,
    /// The control service refused, or a rollout failed.
    #[error(transparent)]
    Control(ochreward_control::cli::Failure),
    /// The log filter is invalid.
    #[error(transparent)]
    Filter(#[from] logs::FilterError),
}

fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> Error {
    |e| Error::Io(what.into(), e)
}

/// Parses the arguments and runs the command. The caller prints the error to standard error; arguments that form no
/// command end the process with code 2.
pub fn main() -> Result<(), Error> {
    let cli = Cli::parse();
    let _log_guard = logs::start(cli.logs.log_format, &cli.logs.log_level)?;
    match cli.verb.unwrap_or(Command::Run(cli.run)) {
        Command::Run(arguments) => run(&arguments),
        Command::Agent { operator } => agent::serve(operator),
        Command::Check { config, operator } => check::check(config.as_deref(), operator.as_deref()),
        Command::Schema { kind } => {
            check::schema(kind);
            Ok(())
        }
        Command::Status { name, at } => agent::send_command("status", name.as_deref(), at.agent),
        Command::Health { name, at } => agent::send_command("health", name.as_deref(), at.agent),
        Command::Drain(instance) => agent::send_command("drain", Some(&instance.name), instance.at.agent),
        Command::Ready(instance) => agent::send_command("ready", Some(&instance.name), instance.at.agent),
        Command::Restart(instance) => agent::send_command("restart", Some(&instance.name), instance.at.agent),
        Command::Stop(instance) => agent::send_command("stop", Some(&instance.name), instance.at.agent),
        Command::Peers { what, door, json } => agent::peers(door, json, &what),
        Command::Control(command) => control::run(command),
        Command::HashPassword => check::hash_password(),
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Cli::command(), "ochreward", &mut io::stdout());
            Ok(())
        }
    }
}

fn load(path: &Path) -> Result<Operator, Error> {
    Ok(Operator::load(path)?)
}

fn run(arguments: &RunArguments) -> Result<(), Error> {
    if arguments.with_parent {
        // If the agent is killed its instances must end too: those of the next agent could not listen on their
        // addresses.
        let signal = Some(rustix::process::Signal::TERM);
        rustix::process::set_parent_process_death_signal(signal)
            .map_err(|e| Error::Io("can't start".to_string(), e.into()))?;
    }
    let operator = arguments.operator.as_deref().map(load).transpose()?.unwrap_or_default();
    let stream_settings = operator.control.as_ref().and_then(|c| c.stream.clone());
    let config = Config::from_environment(stream_settings.is_some())?;
    let name = config.name.clone();
    let brokers = if arguments.without_mqtt { Vec::new() } else { operator.brokers_of(&name) };
    let mut node = Node::new(
        config,
        brokers,
        stream_settings.as_ref(),
        operator.stations,
        (operator.peers, operator.overload, operator.zones),
        operator.function_bytes,
    )
    .map_err(io_error("can't start"))?;
    let address = node.address().map_or_else(String::new, |a| a.to_string());
    if let Some(endpoint) = node.admin_address() {
        print_line(format_args!("ochreward {name} answers operators on {endpoint}"));
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
