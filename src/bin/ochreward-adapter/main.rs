//! Drives one [`Router`] per instance from batches on standard input, one reply a line on standard output.
#![forbid(unsafe_code)]

mod wire;

use ochreward::{Action, Router};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

/// The routers of this process; they share nothing.
#[derive(Default)]
struct Host {
    routers: BTreeMap<String, (Router, wire::Notes)>,
    actions: Vec<Action>,
}

impl Host {
    fn answer(&mut self, batch: wire::Batch) -> wire::Reply {
        let now = batch.clock_us;
        let mut reply = wire::Reply::default();
        for wire::Arrival { i, body } in batch.arrivals {
            match body {
                wire::Body::Spawn { rng_seed, config } => {
                    let router = Router::new(config.settings(), rng_seed, now);
                    self.routers.insert(i, (router, config.notes()));
                }
                wire::Body::Stop => {
                    self.routers.remove(&i);
                }
                body => {
                    let Some((router, notes)) = self.routers.get_mut(&i) else { continue };
                    let Some(event) = wire::event(body, *notes) else { continue };
                    router.handle(now, &event, &mut self.actions);
                    reply.orders.extend(self.actions.drain(..).map(|action| wire::order(&i, action)));
                }
            }
        }
        reply
    }
}

/// Why the adapter ends before its input does.
#[derive(Debug, thiserror::Error)]
enum AdapterError {
    /// A line can't be read, or is no batch.
    #[error("standard input, line {line}, {why}: send one batch a line, as the simulator's wire says")]
    Line { line: usize, why: serde_json::Error },
    /// Standard input or output is broken.
    #[error("line {line}, {why}: see that whoever started the adapter still reads and writes")]
    Broken { line: usize, why: io::Error },
}

fn run() -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut out = io::BufWriter::new(io::stdout().lock());
    for (number, line) in io::stdin().lock().lines().enumerate() {
        let broken = |why| AdapterError::Broken { line: number + 1, why };
        let text = line.map_err(broken)?;
        if text.trim().is_empty() {
            continue;
        }
        let unread = |why| AdapterError::Line { line: number + 1, why };
        let batch = serde_json::from_str(&text).map_err(unread)?;
        serde_json::to_writer(&mut out, &host.answer(batch)).map_err(|e| broken(e.into()))?;
        out.write_all(b"\n").and_then(|()| out.flush()).map_err(broken)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("ochreward-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}
