//! The `ochreward` program: runs the command line, prints its error, and sets the exit code.
#![forbid(unsafe_code)]

use std::io::Write;
use std::process::ExitCode;

fn main() -> ExitCode {
    match ochreward::cli::main() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            let _ = writeln!(std::io::stderr(), "ochreward: {message}");
            ExitCode::FAILURE
        }
    }
}
