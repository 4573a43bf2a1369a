//! Wires the command line up.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    match ochreward::agent::cli::main(std::env::args().skip(1)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("ochreward: {message}");
            ExitCode::FAILURE
        }
    }
}
