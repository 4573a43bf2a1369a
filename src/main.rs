//! Wires the program up from its environment.
#![forbid(unsafe_code)]

use ochreward::config::Config;
use ochreward::node::Node;
use std::process::ExitCode;

fn run() -> Result<(), String> {
    let config = Config::from_environment().map_err(|e| e.to_string())?;
    let name = config.name.clone();
    let mut node = Node::new(config).map_err(|e| format!("can't start: {e}"))?;
    let address = node.address().map_or_else(String::new, |a| a.to_string());
    println!("ochreward {name} serves on {address}");
    node.run().map_err(|e| format!("the loop ended: {e}"))?;
    println!("{}", node.counters());
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("ochreward: {message}");
            ExitCode::FAILURE
        }
    }
}
