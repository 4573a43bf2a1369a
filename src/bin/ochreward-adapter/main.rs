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

fn run() -> Result<(), String> {
    let mut host = Host::default();
    let mut out = io::BufWriter::new(io::stdout().lock());
    for (number, line) in io::stdin().lock().lines().enumerate() {
        let at = |e: &dyn std::fmt::Display| format!("standard input, line {}: {e}", number + 1);
        let line = line.map_err(|e| at(&e))?;
        if line.trim().is_empty() {
            continue;
        }
        let batch = serde_json::from_str(&line).map_err(|e| at(&e))?;
        serde_json::to_writer(&mut out, &host.answer(batch)).map_err(|e| at(&e))?;
        out.write_all(b"\n").and_then(|()| out.flush()).map_err(|e| at(&e))?;
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
