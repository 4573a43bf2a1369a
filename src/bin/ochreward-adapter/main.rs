//! Adapter between a simulator and the decision module.
//!
//! Reads batches of events as JSON, one per line, from standard input, passes each event to the [`Router`] of
//! its instance, and writes one JSON line with the resulting actions per batch to standard output. Exits at
//! the end of the input, or with an error at the first malformed line.
#![forbid(unsafe_code)]

mod wire;

use ochreward::{Action, Router};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

/// The routers of this process, by instance id; they share no state.
#[derive(Default)]
struct Host {
    routers: BTreeMap<String, (Router, wire::InputSettings)>,
    /// Scratch buffer for the actions of one event.
    actions: Vec<Action>,
}

impl Host {
    /// Handles the events of a batch in order and returns the resulting actions.
    fn handle_batch(&mut self, batch: wire::Batch) -> wire::Reply {
        let now = batch.clock_us;
        let mut reply = wire::Reply::default();
        for wire::Arrival { i: instance, body } in batch.arrivals {
            match body {
                wire::Body::Spawn { rng_seed, config } => {
                    let router = Router::new(config.settings(), rng_seed, now);
                    self.routers.insert(instance, (router, config.input_settings()));
                }
                wire::Body::Stop => {
                    self.routers.remove(&instance);
                }
                body => {
                    let Some((router, remarks)) = self.routers.get_mut(&instance) else { continue };
                    let Some(event) = wire::event(body, *remarks) else { continue };
                    router.handle(now, &event, &mut self.actions);
                    let orders = self.actions.drain(..).map(|action| wire::order(&instance, action));
                    reply.orders.extend(orders);
                }
            }
        }
        reply
    }
}

/// The reason why the adapter stops before the end of its input.
#[derive(Debug, thiserror::Error)]
enum AdapterError {
    /// A line is not a valid batch.
    #[error(
        "input line {line} is not a valid batch, {error}: send one batch per line in the simulator's format"
    )]
    InvalidBatch { line: usize, error: serde_json::Error },
    /// Reading standard input or writing standard output failed.
    #[error(
        "input or output failed at line {line}, {error}: check that the parent process still reads and writes"
    )]
    Io { line: usize, error: io::Error },
}

fn run() -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut out = io::BufWriter::new(io::stdout().lock());
    for (number, line) in io::stdin().lock().lines().enumerate() {
        let io_error = |error| AdapterError::Io { line: number + 1, error };
        let text = line.map_err(io_error)?;
        if text.trim().is_empty() {
            continue;
        }
        let invalid = |error| AdapterError::InvalidBatch { line: number + 1, error };
        let batch = serde_json::from_str(&text).map_err(invalid)?;
        serde_json::to_writer(&mut out, &host.handle_batch(batch)).map_err(|e| io_error(e.into()))?;
        out.write_all(b"\n").and_then(|()| out.flush()).map_err(io_error)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ochreward-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
