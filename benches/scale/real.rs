//! Real dispatchers beside hollow members: processes of the program, each with other parts switched on, so that what a part
//! costs is the difference between two of them.

use ochreward_rig::load::{Asker, Manner};
use ochreward_rig::process;
use ochreward_rig::stand::{self, Names, Program};
use ochreward_rig::worker::{Power, Worker};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Zones of the group, and of its workers.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Workers.
pub const WORKERS: usize = 6;
/// The real dispatchers, by the parts that are switched on.
pub const PARTS: [Part; 6] =
    [Part::Nothing, Part::Membership, Part::Budgets, Part::Zones, Part::Configuration, Part::All];

/// What a real dispatcher has switched on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// None of it: what it costs to stand there and ask the name service.
    Nothing,
    /// `[peers]`.
    Membership,
    /// `[peers]` and `[overload]`.
    Budgets,
    /// `[peers]` and `[zones]`.
    Zones,
    /// `[control.stream]`.
    Configuration,
    /// All of these.
    All,
}

impl Part {
    fn has(self, part: Part) -> bool {
        let meets = matches!(part, Part::Membership) && matches!(self, Part::Budgets | Part::Zones);
        self == part || self == Part::All || meets
    }
}

/// What real and hollow ones share.
pub struct Ground {
    /// The workers.
    pub workers: Vec<Worker>,
    /// The name service.
    pub names: Names,
    /// The control service.
    pub service: Program,
}

impl Ground {
    /// Starts the workers, the name service and the control service.
    pub fn new() -> Ground {
        let power = Power { service: Duration::from_millis(5), ..Power::default() };
        let workers = (0..WORKERS).map(|_| Worker::with(power)).collect();
        let store = stand::folder().display().to_string();
        let text = format!(
            "[control.service]\nlisten = \"127.0.0.1:0\"\nstore = {store:?}\nheartbeat_ms = 1000\n\
             [control.service.rollout]\nwaves = [1.0]\nwatch_ms = 0\n"
        );
        let path = stand::file(&text).display().to_string();
        let words = ["control", "serve", "--log-level", "error", "--operator", &path];
        Ground { workers, names: Names::start(), service: Program::run(&words, &json!({})) }
    }

    /// The workers' names, addresses and zones.
    pub fn listed(&self) -> Vec<(String, SocketAddr, String)> {
        let entry = |(n, w): (usize, &Worker)| (format!("s{n}"), w.address, ZONES[n % 3].to_string());
        self.workers.iter().enumerate().map(entry).collect()
    }
}

/// What of the operator's file real and hollow ones have in common.
pub fn operator(group: &str, zone: &str, seeds: &[SocketAddr]) -> String {
    let seeds: Vec<String> = seeds.iter().map(|s| format!("{:?}", s.to_string())).collect();
    format!(
        "[peers]\ngroup = {group:?}\nlisten = \"127.0.0.1:0\"\nseeds = [{}]\nzone = {zone:?}\n\
         [overload]\nresends_per_s = 200\norders_per_s = 200\nqueue_ms = 50\n[zones]\nsilent_ms = 1000\n",
        seeds.join(", ")
    )
}

/// A real dispatcher and its client.
pub struct Real {
    /// The process.
    pub program: Program,
    /// Its client.
    pub asker: Asker,
    /// What it has switched on.
    pub part: Part,
    /// Its name.
    pub name: String,
}

impl Real {
    /// Starts one in a group of so many.
    pub fn start(ground: &Ground, n: usize, members: usize, group: &str, seeds: &[SocketAddr]) -> Real {
        let part = PARTS[n % PARTS.len()];
        let name = format!("n{n}");
        let zone = ZONES[n % 3];
        let listed = ground.listed();
        let addresses: Vec<SocketAddr> = listed.iter().map(|(_, address, _)| *address).collect();
        let mut config = stand::config_at(&addresses, &ground.names);
        let list = &mut config["known"]["batch"][0]["topology"]["instances"];
        for (worker, (_, _, zone)) in listed.iter().enumerate() {
            list[worker]["zone"] = json!(zone);
        }
        config["settings"]["zones"] = json!(ZONES);
        config["settings"]["my_zone"] = json!(n % 3);
        config["settings"]["balancers"] = json!(members);
        config["settings"]["me"] = json!(n);
        config["settings"]["rules"]["warm_after_us"] = json!(1_000_000);
        config["name"] = json!(name);
        config["ops"] = json!("127.0.0.1:0");
        let path = stand::file(&file(ground, part, group, zone, seeds)).display().to_string();
        let program = Program::run(&["run", "--log-level", "error", "--operator", &path], &config);
        let manner = Manner { functions: 24, load_ms: 20, ..Manner::default() };
        let asker = Asker::start(n as u64 + 1, Some(program.address), manner);
        Real { program, asker, part, name }
    }

    /// Processor time used, in nanoseconds.
    pub fn used(&self) -> u64 {
        process::used(self.program.child.id())
    }

    /// One of its counters.
    pub fn counters(&self) -> BTreeMap<String, u64> {
        self.program.counters()
    }
}

fn file(ground: &Ground, part: Part, group: &str, zone: &str, seeds: &[SocketAddr]) -> String {
    let shared = operator(group, zone, seeds);
    let mut text = String::new();
    let sections = [("[peers]", Part::Membership), ("[overload]", Part::Budgets), ("[zones]", Part::Zones)];
    for (section, _) in sections.into_iter().filter(|(_, of)| part.has(*of)) {
        let from = shared.find(section).expect("a section");
        let rest = &shared[from..];
        let end = rest[1..].find("\n[").map_or(rest.len(), |at| at + 2);
        text.push_str(&rest[..end]);
    }
    if part.has(Part::Configuration) {
        let folder = stand::folder().display().to_string();
        let service = ground.service.address;
        text.push_str(&format!(
            "[control.stream]\nservices = [\"{service}\"]\nfolder = {folder:?}\ntrial_ms = 0\n"
        ));
    }
    text
}

/// The answer of the control service to a question.
pub fn ask_service(
    address: SocketAddr,
    ask: &ochreward_control::admin::Request,
    document: Option<&str>,
) -> Option<Value> {
    ochreward_control::admin::Client::connect(address).ok()?.request(ask, document).ok()
}
