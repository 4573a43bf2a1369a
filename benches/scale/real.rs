//! Real dispatchers alongside the hollow members: processes of the program, each with another set of features enabled,
//! so that the cost of a feature is the difference between two of them.

use ochreward_rig::load::{Asker, Manner};
use ochreward_rig::process;
use ochreward_rig::stand::{self, Names, Program};
use ochreward_rig::worker::{Power, Worker};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Zones of the dispatchers and of the workers.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Number of workers.
pub const WORKERS: usize = 6;
/// Feature sets of the real dispatchers, one dispatcher for each.
pub const FEATURE_SETS: [FeatureSet; 6] = [
    FeatureSet::Nothing,
    FeatureSet::Membership,
    FeatureSet::Budgets,
    FeatureSet::Zones,
    FeatureSet::Configuration,
    FeatureSet::All,
];

/// The control features that a real dispatcher has enabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeatureSet {
    /// None of them: only the base cost, including discovery through the name service.
    Nothing,
    /// Only `[peers]`.
    Membership,
    /// `[peers]` and `[overload]`.
    Budgets,
    /// `[peers]` and `[zones]`.
    Zones,
    /// Only `[control.stream]`.
    Configuration,
    /// All of these.
    All,
}

impl FeatureSet {
    /// Returns whether the feature is enabled; budgets and zones depend on the membership.
    fn includes(self, features: FeatureSet) -> bool {
        let through_dependency = matches!(features, FeatureSet::Membership)
            && matches!(self, FeatureSet::Budgets | FeatureSet::Zones);
        self == features || self == FeatureSet::All || through_dependency
    }
}

/// Workers and services shared by real dispatchers and hollow members.
pub struct Environment {
    /// The workers.
    pub workers: Vec<Worker>,
    /// The name service.
    pub names: Names,
    /// The control service.
    pub service: Program,
}

impl Environment {
    /// Starts the workers, the name service and the control service.
    pub fn new() -> Environment {
        let power = Power { service: Duration::from_millis(5), ..Power::default() };
        let workers = (0..WORKERS).map(|_| Worker::with(power)).collect();
        let store = stand::folder().display().to_string();
        let text = format!(
            "[control.service]\nlisten = \"127.0.0.1:0\"\nstore = {store:?}\nheartbeat_ms = 1000\n\
             [control.service.rollout]\nwaves = [1.0]\nwatch_ms = 0\n"
        );
        let path = stand::file(&text).display().to_string();
        let words = ["control", "serve", "--log-level", "error", "--operator", &path];
        Environment { workers, names: Names::start(), service: Program::run(&words, &json!({})) }
    }

    /// Returns the workers' names, addresses and zones.
    pub fn listed(&self) -> Vec<(String, SocketAddr, String)> {
        let entry = |(n, w): (usize, &Worker)| (format!("s{n}"), w.address, ZONES[n % 3].to_string());
        self.workers.iter().enumerate().map(entry).collect()
    }
}

/// Returns the sections of the operator's file that real dispatchers and hollow members share.
pub fn operator_file(group: &str, zone: &str, seeds: &[SocketAddr]) -> String {
    let seeds: Vec<String> = seeds.iter().map(|s| format!("{:?}", s.to_string())).collect();
    format!(
        "[peers]\ngroup = {group:?}\nlisten = \"127.0.0.1:0\"\nseeds = [{}]\nzone = {zone:?}\n\
         [overload]\nresends_per_s = 200\norders_per_s = 200\nqueue_ms = 50\n[zones]\nsilent_ms = 1000\n",
        seeds.join(", ")
    )
}

/// A real dispatcher and its client.
pub struct RealDispatcher {
    /// The process.
    pub program: Program,
    /// Its client.
    pub client: Asker,
    /// The features that it has enabled.
    pub features: FeatureSet,
    /// Its name.
    pub name: String,
}

impl RealDispatcher {
    /// Starts dispatcher number `n` of a group of `members`.
    pub fn start(
        environment: &Environment,
        n: usize,
        members: usize,
        group: &str,
        seeds: &[SocketAddr],
    ) -> RealDispatcher {
        let features = FEATURE_SETS[n % FEATURE_SETS.len()];
        let name = format!("n{n}");
        let zone = ZONES[n % 3];
        let listed = environment.listed();
        let addresses: Vec<SocketAddr> = listed.iter().map(|(_, address, _)| *address).collect();
        let mut config = stand::config_at(&addresses, &environment.names);
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
        let path =
            stand::file(&dispatcher_file(environment, features, group, zone, seeds)).display().to_string();
        let program = Program::run(&["run", "--log-level", "error", "--operator", &path], &config);
        let manner = Manner { functions: 24, load_ms: 20, ..Manner::default() };
        let client = Asker::start(n as u64 + 1, Some(program.address), manner);
        RealDispatcher { program, client, features, name }
    }

    /// Returns the processor time used so far, in nanoseconds.
    pub fn cpu_time_ns(&self) -> u64 {
        process::used(self.program.child.id())
    }

    /// Returns its counters by name.
    pub fn counters(&self) -> BTreeMap<String, u64> {
        self.program.counters()
    }
}

/// Returns the operator's file of a real dispatcher: the shared sections of its features, and its configuration stream.
fn dispatcher_file(
    environment: &Environment,
    features: FeatureSet,
    group: &str,
    zone: &str,
    seeds: &[SocketAddr],
) -> String {
    let shared_sections = operator_file(group, zone, seeds);
    let mut text = String::new();
    let sections = [
        ("[peers]", FeatureSet::Membership),
        ("[overload]", FeatureSet::Budgets),
        ("[zones]", FeatureSet::Zones),
    ];
    for (section, _) in sections.into_iter().filter(|(_, feature)| features.includes(*feature)) {
        let start = shared_sections.find(section).expect("the shared operator file has the section");
        let rest = &shared_sections[start..];
        let end = rest[1..].find("\n[").map_or(rest.len(), |at| at + 2);
        text.push_str(&rest[..end]);
    }
    if features.includes(FeatureSet::Configuration) {
        let folder = stand::folder().display().to_string();
        let service = environment.service.address;
        text.push_str(&format!(
            "[control.stream]\nservices = [\"{service}\"]\nfolder = {folder:?}\ntrial_ms = 0\n"
        ));
    }
    text
}

/// Returns the control service's answer, or `None` if it could not be reached or refused.
pub fn query_control_service(
    address: SocketAddr,
    ask: &ochreward_control::admin::Request,
    document: Option<&str>,
) -> Option<Value> {
    ochreward_control::admin::Client::connect(address).ok()?.request(ask, document).ok()
}
