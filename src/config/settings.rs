//! The configuration of a dispatcher: the platform's environment variables (`ROUTER_NAME`, `ROUTER_LISTEN` and others)
//! and the JSON file named by `ROUTER_CONFIG`.

use crate::api::{self, Class, Effect, KeyScope, ReportField, WorkerId};
use crate::discovery::{Executor, ExecutorState, MAX_EXECUTORS, MAX_ID_BYTES, ZoneAndKindNames};
use crate::keys::{Faults, Key};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The DNS name under which the complete list of executors is queried.
pub const SERVICE: &str = "_back._tcp.pool.lan";

/// The longest time after the start of an executor's drain in which new attempts may still go to it, in microseconds.
pub const MAX_DRAIN_GRACE_US: u64 = 250_000;

/// Weights of SRV records are this multiple of those in the configuration's list.
const LIST_WEIGHT_FACTOR: f64 = 10.0;
/// The sources of weights that are the workers' sizes.
const SIZE_SOURCES: [&str; 2] = ["nominal", "rough"];

/// The number of removed class names that one change of settings adds at most.
const MAX_REMOVED_CLASS_NAMES: usize = 256;

/// The resource limits of the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Resources {
    /// Memory, in bytes.
    pub memory: usize,
    /// File descriptors.
    pub sockets: usize,
}

/// The settings: those of the module, and those that only the program needs.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The settings of the decision module.
    pub module: api::Settings,
    /// The classes' names.
    pub classes: Vec<String>,
    /// Whether the class at this index was removed from the settings; a retired class takes no new requests.
    pub retired: Vec<bool>,
    /// Names of removed classes. Clients that still use one have not picked up the change yet.
    pub removed_classes: BTreeSet<String>,
    /// The longest deadline that any class has had, in microseconds.
    pub longest_deadline_us: u64,
    /// The tenants' names.
    pub tenants: Vec<String>,
    /// The names of zones and kinds.
    pub vocabulary: ZoneAndKindNames,
    /// The maximum number of requests open on one connection to an executor.
    pub streams_per_conn: usize,
    /// The connect timeout, in microseconds.
    pub connect_timeout: u64,
    /// The keep-alive time after which executors close an idle connection, in microseconds.
    pub keepalive: u64,
    /// The maximum number of open requests.
    pub max_open: usize,
    /// How long to wait for the result of a load order, in microseconds.
    pub load_wait: u64,
    /// Whether answers report if the copy was warm.
    pub tells_warm: bool,
    /// Whether answers report the number of requests that the executor held.
    pub tells_crowd: bool,
    /// The fields of the load reports in answers, in order; empty if answers carry none.
    pub report: Vec<String>,
    /// The time after the start of a drain from which nothing more may go to the executor, in microseconds.
    pub drain_grace: u64,
}

/// The complete configuration of a dispatcher at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// An inherited descriptor of a socket that already listens on that address.
    pub inherited: Option<i32>,
    /// The address of the operators' HTTP endpoint.
    pub admin_address: Option<SocketAddr>,
    /// The directory of files that outlive the process.
    pub folder: Option<PathBuf>,
    /// The seed of random numbers.
    pub seed: u64,
    /// The address of the name service.
    pub names: SocketAddr,
    /// The list of executors at the start, and the number of the last event in it.
    pub initial_list: (u64, Vec<Executor>),
    /// The settings and limits, which a control service may replace.
    pub parts: VersionedConfig,
    /// Whether the file has no settings. They then come from a control service, and nothing is served before.
    pub has_no_settings: bool,
    /// The file as written, without the list of executors.
    source: Value,
}

/// The part of the configuration that a streamed version may replace.
#[derive(Clone, Debug)]
pub struct VersionedConfig {
    /// The resource limits.
    pub resources: Resources,
    /// The settings.
    pub settings: Settings,
}

impl Settings {
    /// Keeps each class at the index that it had, since open requests and learned state refer to classes by index. A
    /// removed class keeps its index while that is in `used`. Returns the indexes that now stand for another class.
    pub fn follow(&mut self, (names, classes): (&[String], &[Class]), used: &BTreeSet<usize>) -> Vec<usize> {
        let removed = names.iter().filter(|n| !self.classes.contains(n));
        self.removed_classes.extend(removed.take(MAX_REMOVED_CLASS_NAMES).cloned());
        let (mut class_names, mut class_rules) = (names.to_vec(), classes.to_vec());
        let mut retired = vec![true; class_names.len()];
        let mut reassigned = Vec::new();
        for ((name, class), is_retired) in self.classes.iter().zip(&self.module.classes).zip(&self.retired) {
            let is_free =
                |i: &usize| retired[*i] && !used.contains(i) && !self.classes.contains(&class_names[*i]);
            let index = class_names.iter().position(|n| n == name).or_else(|| {
                reassigned.push((0..class_names.len()).find(is_free).unwrap_or(class_names.len()));
                reassigned.last().copied()
            });
            let index = index.unwrap_or(class_names.len());
            if index == class_names.len() {
                class_names.push(String::new());
                class_rules.push(*class);
                retired.push(true);
            }
            class_names[index].clone_from(name);
            (class_rules[index], retired[index]) = (*class, *is_retired);
        }
        (self.classes, self.module.classes, self.retired) = (class_names, class_rules, retired);
        reassigned
    }

    /// Returns the index of a class, unless it is retired.
    pub fn class(&self, name: &str) -> Option<usize> {
        let index = self.classes.iter().position(|n| n == name)?;
        (!self.retired[index]).then_some(index)
    }
}

impl Config {
    /// Reads the environment and the file that it names. With `streamed`, the file may omit the settings.
    pub fn from_environment(streamed: bool) -> Result<Config, Faults> {
        let var = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
        let fault = |key: &str, why: String| Faults::one(key, why);
        let path = var("ROUTER_CONFIG").ok_or_else(|| {
            fault("ROUTER_CONFIG", "must be set to the path of the configuration file".to_string())
        })?;
        let text =
            std::fs::read_to_string(&path).map_err(|e| fault("ROUTER_CONFIG", format!("{path}: {e}")))?;
        let mut config = Config::parse(&text, streamed)?;
        // `TMPDIR` may belong to this process alone or be shared by instances, so the directory carries the instance's
        // name.
        let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
        let folder = |name: &str| format!("ochreward-{}", name.chars().map(plain).collect::<String>());
        if let Some(name) = var("ROUTER_NAME") {
            config.name = name;
        }
        if let Some(listen) = var("ROUTER_LISTEN") {
            config.listen = listen
                .parse()
                .map_err(|_| fault("ROUTER_LISTEN", "expected an address and port".to_string()))?;
        }
        if let Some(ops) = var("ROUTER_OPS") {
            let ops = ops.parse();
            config.admin_address =
                Some(ops.map_err(|_| fault("ROUTER_OPS", "expected an address and port".to_string()))?);
        }
        if let Some(number) = var("ROUTER_INHERITED_FD") {
            let number = number.parse().ok().filter(|n| *n > 2);
            let invalid = || fault("ROUTER_INHERITED_FD", "expected a file descriptor over 2".to_string());
            config.inherited = Some(number.ok_or_else(invalid)?);
        }
        config.folder = var("TMPDIR").map(|dir| PathBuf::from(dir).join(folder(&config.name)));
        Ok(config)
    }

    /// Reads the text of a configuration file.
    pub fn read(text: &str) -> Result<Config, Faults> {
        Config::parse(text, false)
    }

    /// Reads the text of a configuration file that may leave the settings to a control service.
    pub fn read_streamed(text: &str) -> Result<Config, Faults> {
        Config::parse(text, true)
    }

    fn parse(text: &str, streamed: bool) -> Result<Config, Faults> {
        let value: Value = serde_json::from_str(text)
            .map_err(|e| Faults::one("(the whole file)", format!("is not JSON: {e}")))?;
        let top = Key::top(&value);
        let mut config = Config::from_key(&top, streamed);
        config.source = value.clone();
        // The entries of the executor list change without an edit of the file; only its presence is compared.
        config.source.get_mut("known").into_iter().for_each(|known| *known = Value::Bool(true));
        top.finish(config)
    }

    /// Returns the JSON Schema of the file, recorded from the readers themselves.
    pub fn schema() -> Value {
        Key::describe(|top| drop(Config::from_key(top, false)))
            .schema("A dispatcher's configuration (ROUTER_CONFIG)")
    }

    fn from_key(top: &Key, streamed: bool) -> Config {
        let seed = top.get("seed");
        let number = u64::from_str_radix(&seed.text_or("0"), 16);
        seed.must(number.is_ok(), "expected at most 16 hexadecimal digits");
        let settings_absent = streamed && !top.get("settings").is_present();
        Config {
            name: top.get("name").text_or("dispatcher"),
            listen: top.get("listen").address(),
            inherited: None,
            admin_address: top.get("ops").optional(Key::address),
            folder: None,
            seed: number.unwrap_or_default(),
            names: top.get("names").address(),
            initial_list: read_known(&top.get("known")),
            parts: if settings_absent {
                VersionedConfig::limits_only(&top.get("limits"))
            } else {
                VersionedConfig::from_key(top)
            },
            has_no_settings: settings_absent,
            source: Value::Null,
        }
    }

    /// Checks that this configuration omits no key that `old`, which it is to replace, has.
    pub fn check_replacement(&self, old: &Config) -> Result<(), Faults> {
        let top = Key::top(&self.source);
        top.require_keys_of(&old.source);
        top.finish(())
    }

    /// Returns the file as written, without the list of executors.
    pub fn source(&self) -> &Value {
        &self.source
    }
}

impl VersionedConfig {
    /// Reads the part that a version may replace out of a complete configuration.
    pub fn read(value: &Value) -> Result<VersionedConfig, Faults> {
        let top = Key::top(value);
        let parts = VersionedConfig::from_key(&top);
        top.finish(parts)
    }

    pub(super) fn from_key(top: &Key) -> VersionedConfig {
        VersionedConfig {
            resources: read_resources(&top.get("limits")),
            settings: read_settings(&top.get("settings")),
        }
    }

    /// Reads the limits, with empty settings.
    fn limits_only(limits: &Key) -> VersionedConfig {
        let empty = serde_json::json!({"lanes": []});
        VersionedConfig { resources: read_resources(limits), settings: read_settings(&Key::top(&empty)) }
    }
}

fn read_resources(limits: &Key) -> Resources {
    Resources {
        memory: limits.get("memory_mb").integer_in(16, 1 << 20, 192) as usize * (1 << 20),
        sockets: limits.get("sockets").integer_in(32, 1 << 20, 1024) as usize,
    }
}

/// Reads the executors known at the start from a series of events, in order: the first holds the complete list, later
/// ones the changes. Returns the offset of the last event and the resulting list.
fn read_known(key: &Key) -> (u64, Vec<Executor>) {
    let mut list = BTreeMap::<WorkerId, Executor>::new();
    for event in key.get("batch").entries() {
        let topology = event.get("topology");
        if topology.get("reset").bool_or(false) {
            list.clear();
        }
        let instances = topology.get("instances");
        let entries = instances.entries();
        let within_limit = entries.len() <= MAX_EXECUTORS;
        instances.must(within_limit, "has more than 65,536 executors: split the fleet into several services");
        for entry in entries.into_iter().take(MAX_EXECUTORS) {
            let name = entry.get("instanceId");
            let id: WorkerId = name.text().into();
            name.must(
                id.len() <= MAX_ID_BYTES,
                "is longer than 255 bytes: find out who registered this executor",
            );
            let states = ["in_service", "terminating", "terminated"];
            let state = match entry.get("lifecycle").one_of(&states) {
                0 => ExecutorState::Ready,
                1 => ExecutorState::Draining,
                _ => {
                    list.remove(&id);
                    continue;
                }
            };
            let executor = Executor {
                id: id.clone(),
                address: entry.get("hostPort").address(),
                zone: entry.get("zone").text_or(""),
                kind: entry.get("machineType").text_or(""),
                cell: entry.get("cell").integer_or(0) as usize,
                state,
                started_ms: entry.get("startedAtMs").integer_or(0),
                weight: (LIST_WEIGHT_FACTOR * entry.get("weight").lenient_number(0.0)).round() as u32,
            };
            list.insert(id, executor);
        }
    }
    (key.get("offset").integer_or(0), list.into_values().collect())
}

fn texts(key: &Key) -> Vec<String> {
    key.entries().iter().map(|k| k.text().to_string()).collect()
}

fn read_settings(key: &Key) -> Settings {
    let lanes = key.get("lanes").nonempty_entries("class");
    let orgs = key.get("orgs").entries();
    let (limits, rules, info) = (key.get("limits"), key.get("rules"), key.get("family_info"));
    let costs = key.get("costs");
    let retry_after = limits.get("max_retry_after_us").integer_or(0);
    // Load reports that only probes carry are not requested, since a probe has a cost of its own.
    let in_answers = key.get("report").get("how").text_or("off") == "inline";
    let mut reported = texts(&key.get("report").get("fields"));
    reported.retain(|_| in_answers);
    let module = api::Settings {
        dispatcher_count: key.get("balancers").integer_in(1, 1 << 20, 1) as usize,
        own_index: key.get("me").integer_or(0) as usize,
        own_zone: key.get("my_zone").integer_or(0) as usize,
        classes: lanes.iter().map(read_class).collect(),
        tenant_quotas: orgs.iter().map(|o| o.get("quota_per_s").number_or(0.0)).collect(),
        over_share_worth: key.get("over_share_worth").number_or(1.0),
        report_fields: reported.iter().map(|name| report_field(name)).collect(),
        max_attempts: limits.get("send_cap").integer_in(1, 64, 1) as usize,
        may_duplicate: limits.get("may_duplicate").bool_or(false),
        may_cancel: limits.get("cancel").bool_or(false),
        max_retry_after: if limits.get("retry_after").bool_or(false) { retry_after } else { 0 },
        min_batch_interval: key.get("tick_us").integer_or(1000),
        cold_share: rules.get("cold_share").number_or(1.0),
        warm_after: rules.get("warm_after_us").integer_or(0),
        fall_multiple: rules.get("fall_multiple").number_or(2.0),
        fall_window: rules.get("fall_us").integer_or(1_000_000),
        load_orders_allowed: info.get("orders").bool_or(false),
        loads_on_miss: info.get("miss_mode").text_or("load") != "miss",
        keep_alive: info.get("keep_alive_us").integer_or(10_000_000),
        load_window: info.get("load_window_us").integer_or(0),
        loads_anyway: info.get("loads_anyway").number_or(0.0),
        loads_per_request: info.get("loads_per_request").number_or(0.0),
        cross_zone_price: costs.get("cross_zone").number_or(0.0),
        fetch_price: costs.get("origin").number_or(0.0),
        memory_price: info.get("memory_price").number_or(0.0),
        // The list is polled from the name service, not requested by the module.
        list_on_request: false,
    };
    Settings {
        classes: lanes.iter().map(|lane| lane.get("name").text().to_string()).collect(),
        tenants: orgs.iter().map(|o| o.get("name").text().to_string()).collect(),
        retired: lanes.iter().map(|lane| lane.get("retired").bool_or(false)).collect(),
        // Clients that still use a retired class have not picked up the change yet.
        removed_classes: lanes
            .iter()
            .filter(|lane| lane.get("retired").bool_or(false))
            .map(|lane| lane.get("name").text().to_string())
            .collect(),
        drain_grace: rules.get("stop_sending_within_us").integer_or(MAX_DRAIN_GRACE_US),
        longest_deadline_us: module.classes.iter().map(|c| c.deadline).max().unwrap_or_default(),
        vocabulary: ZoneAndKindNames {
            zones: texts(&key.get("zones")),
            kinds: texts(&key.get("kinds")),
            weights_are_sizes: SIZE_SOURCES.contains(&key.get("weight_source").lenient_text("off")),
        },
        streams_per_conn: limits.get("streams_per_conn").integer_in(1, 1 << 16, 32) as usize,
        connect_timeout: limits.get("connect_timeout_us").integer_in(1_000, 60_000_000, 250_000),
        keepalive: limits.get("keepalive_us").integer_in(1_000_000, 1 << 40, 15_000_000),
        max_open: limits.get("max_open").integer_in(1, 1 << 30, 20_000) as usize,
        load_wait: info.get("load_wait_us").integer_in(1, 1 << 40, 10_000_000),
        tells_warm: info.get("tells_warm").bool_or(false),
        tells_crowd: info.get("notes_peers_in_hand").bool_or(false),
        report: reported,
        module,
    }
}

fn read_class(key: &Key) -> Class {
    let effects = [Effect::Idempotent, Effect::Deduplicated, Effect::AtMostOnce];
    let scopes = [KeyScope::All, KeyScope::Zone, KeyScope::Cell];
    let scope = key.get("key_scope");
    Class {
        latency_target: key.get("promise_us").positive_integer(),
        deadline: key.get("deadline_us").positive_integer(),
        effect: effects[key.get("effect").one_of(&["idempotent", "deduplicated", "at_most_once"])],
        key_scope: scope.optional(|k| scopes[k.one_of(&["all", "zone", "cell"])]).unwrap_or(KeyScope::Cell),
        repeat_window: key.get("repeat_window_us").integer_or(0),
        credit: key.get("credit").number_or(1.0),
        late_worth: key.get("late_worth").number_or(0.0),
    }
}

fn report_field(name: &str) -> ReportField {
    match name {
        "inflight" => ReportField::Inflight,
        "queue" => ReportField::Queue,
        _ => ReportField::Other,
    }
}
