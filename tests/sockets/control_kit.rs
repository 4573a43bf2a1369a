//! A control service process, dispatchers that stream from it, and what their tests wait for.

use crate::id;
use crate::stand::{Client, Executor, Names, PATIENCE, Program, Reply, config, fields, file, folder};
use ochreward_control::admin::{self, Request};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Instant;

pub const LONG_TTL_MS: u64 = 20_000;

/// Polls until `holds` returns a value, and fails after the time limit.
pub fn wait_for<T>(what: &str, mut holds: impl FnMut() -> Option<T>) -> T {
    let began = Instant::now();
    loop {
        if let Some(it) = holds() {
            return it;
        }
        assert!(began.elapsed() < PATIENCE, "never: {what}");
        std::thread::yield_now();
    }
}

// ---- The control service ----

/// A control service process with a store that outlives it.
pub struct Control {
    pub program: Program,
    store: PathBuf,
    rollout: String,
}

impl Control {
    /// Starts a service with these lines under `[control.service.rollout]`.
    pub fn start(rollout: &str) -> Control {
        Control::on(&folder(), "127.0.0.1:0", rollout)
    }

    pub fn on(store: &Path, listen: &str, rollout: &str) -> Control {
        let text = format!(
            "[control.service]\nlisten = {listen:?}\nstore = {:?}\nheartbeat_ms = 20\n[control.service.rollout]\n{rollout}\n",
            store.display().to_string()
        );
        let path = file(&text).display().to_string();
        let program = Program::run(&["control", "serve", "--operator", &path], &json!({}));
        Control { program, store: store.into(), rollout: rollout.to_string() }
    }

    /// Kills the service and starts it again on the same store and address.
    pub fn restart(self) -> Control {
        let (store, rollout, address) = (self.store.clone(), self.rollout.clone(), self.program.address);
        self.program.kill();
        Control::on(&store, &address.to_string(), &rollout)
    }

    pub fn ask(&self, ask: &Request, document: Option<&str>) -> Result<Value, String> {
        let client = admin::Client::connect(self.program.address).map_err(|e| e.to_string())?;
        client.request(ask, document).map_err(|e| e.to_string())
    }

    pub fn publish(&self, document: &str) -> String {
        let answer = self.ask(&Request::Publish { at_once: true }, Some(document)).expect("published");
        answer["version"].as_str().expect("a version").to_string()
    }

    pub fn status(&self) -> Value {
        self.ask(&Request::Status {}, None).expect("a status")
    }

    /// Waits until the service reports that the instance runs the version.
    pub fn until_runs(&self, instance: &str, version: &str) {
        wait_for(&format!("{instance} runs {version}: {}", self.status()), || {
            let status = self.status();
            let mut instances = status["instances"].as_array()?.iter();
            let running = &instances.find(|i| i["instance"] == instance)?["running"];
            (running == version).then_some(())
        });
    }

    /// Waits until the instance has refused the version, and returns why.
    pub fn until_refuses(&self, instance: &str, version: &str) -> String {
        wait_for(&format!("{instance} refuses {version}"), || {
            let status = self.status();
            let mut instances = status["instances"].as_array()?.iter();
            let refused = instances.find(|i| i["instance"] == instance)?["refused"].clone();
            let why = refused.as_array()?.iter().find(|r| r["version"] == version)?["why"].clone();
            why.as_str().map(str::to_string)
        })
    }
}

/// Writes the operator's file of a dispatcher that streams from these services, and returns its path.
pub fn operator_file(services: &[SocketAddr], folder: Option<&Path>, more: &str) -> String {
    let services: Vec<String> = services.iter().map(|s| format!("{:?}", s.to_string())).collect();
    let folder = folder.map(|f| format!("folder = {:?}\n", f.display().to_string())).unwrap_or_default();
    let text = format!(
        "[control.stream]\nservices = [{}]\n{folder}backoff_first_ms = 2\nbackoff_last_ms = 20\n{more}\n",
        services.join(", ")
    );
    file(&text).display().to_string()
}

/// An executor, a name service, and the directory of dispatchers' stored versions.
pub struct Fixture {
    pub executor: Executor,
    pub names: Names,
    pub versions: PathBuf,
}

impl Fixture {
    pub fn new() -> Fixture {
        let (executor, names) = (Executor::start(), Names::start());
        names.set(2, &[("s0", executor.address, 0)]);
        Fixture { executor, names, versions: folder() }
    }

    pub fn config(&self) -> Value {
        let mut config = config(&[&self.executor], &self.names);
        config["settings"]["family_info"]["orders"] = json!(true);
        config["settings"]["family_info"]["load_window_us"] = json!(5_000_000);
        config["settings"]["family_info"]["loads_anyway"] = json!(6);
        config["settings"]["family_info"]["loads_per_request"] = json!(0.3);
        config
    }

    pub fn start(&self, services: &[SocketAddr], more: &str) -> Program {
        self.start_with(&self.config(), services, more)
    }

    pub fn start_with(&self, config: &Value, services: &[SocketAddr], more: &str) -> Program {
        Program::run(&["run", "--operator", &operator_file(services, Some(&self.versions), more)], config)
    }

    /// Sends a request and asserts that it is served.
    pub fn serve_one(&self, client: &mut Client, seq: i32) {
        client.serve(seq, &fields("flow-read", &id(seq as u64), LONG_TTL_MS), b"");
        self.executor.next().ok(b"served");
        assert_eq!(client.receive(), Some((seq, Reply::Served(b"served".to_vec()))));
    }
}

/// Returns a version's document that limits open requests.
pub fn max_open_document(most: u64) -> String {
    format!("[fleet.settings.limits]\nmax_open = {most}\n")
}

pub fn counter(program: &Program, name: &str) -> u64 {
    program.counters()[name]
}

pub const SINGLE_WAVE: &str = "waves = [1.0]\nwatch_ms = 0\nanswer_ms = 5000";
