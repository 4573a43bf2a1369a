//! The command line.

use super::supervisor::Supervisor;
use crate::config::{Config, Operator};
use crate::counters::say;
use crate::node::Node;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

const USAGE: &str = "\
ochreward: a dispatcher, and the agent that keeps many of them

ochreward [run] [--operator FILE]     one dispatcher, told by ROUTER_NAME, ROUTER_LISTEN and ROUTER_CONFIG;
                                      with an operator's file it takes MQTT triggers too
ochreward agent --operator FILE       keeps the file's instances running and answers balancers
ochreward check [--config FILE] [--operator FILE]
                                      reads configuration and names the faulty key
ochreward status [--agent ADDRESS]    the agent's instances, a line each
ochreward health [NAME] [--agent ADDRESS]
                                      ready, drain or down; ends with 0 if ready
ochreward drain|ready|restart|stop NAME [--agent ADDRESS]
                                      what is to become of an instance
ochreward --version

The agent's address is 127.0.0.1:8700 unless --agent names another.
SIGUSR1 prints the counters of a dispatcher, SIGTERM settles everything and ends it.
";

/// The longest that the command line waits for the agent.
const PATIENCE: Duration = Duration::from_secs(5);

/// What the words on the command line ask for.
#[derive(Debug, Default, PartialEq)]
struct Asked {
    verb: String,
    name: Option<String>,
    operator: Option<PathBuf>,
    config: Option<PathBuf>,
    agent: Option<SocketAddr>,
    with_parent: bool,
}

fn parse(words: impl Iterator<Item = String>) -> Result<Asked, String> {
    let mut asked = Asked::default();
    let mut words = words.peekable();
    while let Some(word) = words.next() {
        let mut value = || words.next().ok_or(format!("{word} wants a value"));
        match word.as_str() {
            "--operator" => asked.operator = Some(value()?.into()),
            "--config" => asked.config = Some(value()?.into()),
            "--agent" => {
                let address = value()?;
                asked.agent = Some(address.parse().map_err(|_| format!("--agent: {address} is no address"))?);
            }
            "--with-parent" => asked.with_parent = true,
            "--help" | "-h" => asked.verb = "help".to_string(),
            "--version" => asked.verb = "version".to_string(),
            _ if word.starts_with('-') => return Err(format!("{word} is unknown; see --help")),
            _ if asked.verb.is_empty() => asked.verb = word,
            _ if asked.name.is_none() => asked.name = Some(word),
            _ => return Err(format!("'{word}' is one word too many; see --help")),
        }
    }
    Ok(asked)
}

/// Does what the words ask for. The error is for standard error.
pub fn main(words: impl Iterator<Item = String>) -> Result<(), String> {
    let asked = parse(words)?;
    match asked.verb.as_str() {
        "" | "run" => return run(&asked),
        "agent" => return agent(asked.operator.ok_or("agent wants --operator FILE")?),
        "check" => return check(&asked),
        "status" | "health" | "drain" | "ready" | "restart" | "stop" => return order(&asked),
        "help" => print!("{USAGE}"),
        "version" => say(format_args!("ochreward {}", env!("CARGO_PKG_VERSION"))),
        other => return Err(format!("'{other}' is unknown; see --help")),
    }
    Ok(())
}

fn load(path: &Path) -> Result<Operator, String> {
    Operator::load(path).map_err(|e| e.to_string())
}

fn run(asked: &Asked) -> Result<(), String> {
    if asked.with_parent {
        // An agent that is killed takes its instances along: the next one could not listen where they do.
        let signal = Some(rustix::process::Signal::TERM);
        rustix::process::set_parent_process_death_signal(signal).map_err(|e| e.to_string())?;
    }
    let config = Config::from_environment().map_err(|e| e.to_string())?;
    let operator = asked.operator.as_deref().map(load).transpose()?.unwrap_or_default();
    let (name, brokers) = (config.name.clone(), operator.brokers_of(&config.name));
    let mut node = Node::new(config, brokers).map_err(|e| format!("can't start: {e}"))?;
    let address = node.address().map_or_else(String::new, |a| a.to_string());
    say(format_args!("ochreward {name} serves on {address}"));
    node.run().map_err(|e| format!("the loop ended: {e}"))?;
    say(node.counters());
    Ok(())
}

fn agent(file: PathBuf) -> Result<(), String> {
    let operator = load(&file)?;
    let mut supervisor =
        Supervisor::new(operator, file).map_err(|e| format!("the agent can't start: {e}"))?;
    let address = supervisor.address().map_or_else(String::new, |a| a.to_string());
    say(format_args!("ochreward agent answers on {address}"));
    supervisor.run().map_err(|e| format!("the agent's loop ended: {e}"))
}

fn check(asked: &Asked) -> Result<(), String> {
    if let Some(path) = &asked.config {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Config::read(&text).map_err(|e| e.to_string())?;
    }
    if let Some(path) = &asked.operator {
        load(path)?;
    }
    if asked.config.is_none() && asked.operator.is_none() {
        Config::from_environment().map_err(|e| e.to_string())?;
    }
    say(format_args!("the configuration is good"));
    Ok(())
}

fn order(asked: &Asked) -> Result<(), String> {
    let (verb, name) = (asked.verb.as_str(), asked.name.as_deref());
    let method = if verb == "status" || verb == "health" { "GET" } else { "POST" };
    let path = match name {
        Some(name) => format!("/{verb}/{name}"),
        None if method == "GET" => format!("/{verb}"),
        None => return Err(format!("{verb} wants the name of an instance")),
    };
    let agent = asked.agent.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 8700)));
    let (status, body) = ask(agent, method, &path).map_err(|e| format!("the agent at {agent}: {e}"))?;
    print!("{body}");
    if status == 200 { Ok(()) } else { Err(format!("the agent answered {status}")) }
}

fn ask(agent: SocketAddr, method: &str, path: &str) -> std::io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&agent, PATIENCE)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: {agent}\r\nConnection: close\r\n\r\n")?;
    let mut text = String::new();
    stream.take(1 << 20).read_to_string(&mut text)?;
    let bad = || std::io::Error::other("not an HTTP answer");
    let (head, body) = text.split_once("\r\n\r\n").ok_or_else(bad)?;
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or_else(bad)?;
    Ok((status, body.to_string()))
}
