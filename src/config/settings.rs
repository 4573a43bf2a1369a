//! What the platform tells a dispatcher: `ROUTER_NAME`, `ROUTER_LISTEN` and the file named by `ROUTER_CONFIG`.

use crate::api::{self, Class, Effect, KeyScope, ReportField, WorkerId};
use crate::discovery::{Executor, ExecutorState, MAX_EXECUTORS, MAX_ID_BYTES, ZoneAndKindNames};
use crate::keys::{Faults, Key};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The name under which the whole list is asked for.
pub const SERVICE: &str = "_back._tcp.pool.lan";

/// Nothing new goes to an executor later than this after it was told to drain, in microseconds.
pub const MAX_DRAIN_GRACE_US: u64 = 250_000;

/// Names of classes remembered after they were taken out.
const MOST_PAST: usize = 256;

/// What the process may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Resources {
    /// Memory, in bytes.
    pub memory: usize,
    /// Descriptors.
    pub sockets: usize,
}

/// The settings: the module's, and what only the program needs.
#[derive(Clone, Debug)]
pub struct Settings {
    /// What the module is told.
    pub module: api::Settings,
    /// The classes' names.
    pub classes: Vec<String>,
    /// Whether the class in that place was taken out of the settings: it takes nothing new.
    pub retired: Vec<bool>,
    /// Names of classes that were taken out: whoever still asks for one has not heard yet.
    pub removed_classes: BTreeSet<String>,
    /// The longest time that a class has had.
    pub longest_deadline_us: u64,
    /// The tenants' names.
    pub tenants: Vec<String>,
    /// The names of zones and kinds.
    pub vocabulary: ZoneAndKindNames,
    /// Requests open on a connection to an executor.
    pub streams_per_conn: usize,
    /// How long a connection may take to come up.
    pub connect_timeout: u64,
    /// Executors close a connection idle for this long.
    pub keepalive: u64,
    /// Requests that may be held open.
    pub max_open: usize,
    /// How long an order to load is waited for.
    pub load_wait: u64,
    /// Answers tell what they found.
    pub tells_warm: bool,
    /// Answers tell how many requests were held.
    pub tells_crowd: bool,
    /// What the load reports in answers tell, in order; empty where answers carry none.
    pub report: Vec<String>,
    /// The time within which nothing more may go to an executor that drains, in microseconds.
    pub drain_grace: u64,
}

/// Everything that a dispatcher is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The descriptor of a socket that listens there already.
    pub inherited: Option<i32>,
    /// Where operators call.
    pub admin_address: Option<SocketAddr>,
    /// Where files are kept that outlive the process.
    pub folder: Option<PathBuf>,
    /// For random numbers.
    pub seed: u64,
    /// The name service.
    pub names: SocketAddr,
    /// The list of executors at the start, and the number of the last event in it.
    pub initial_list: (u64, Vec<Executor>),
    /// What a control service may change as well.
    pub parts: VersionedConfig,
    /// The file has no settings: they come from a control service, and nothing is served before.
    pub has_no_settings: bool,
    /// The file as it was written, but for the list.
    told: Value,
}

/// What the file says and a streamed version may change.
#[derive(Clone, Debug)]
pub struct VersionedConfig {
    /// What it may use.
    pub resources: Resources,
    /// The settings.
    pub settings: Settings,
}

impl Settings {
    /// Puts the classes in the places that they had, since requests under way and what was learned name them by
    /// those. A class that is gone keeps its place while it is `used`; returns the places that mean another class
    /// from now on.
    pub fn follow(&mut self, (names, classes): (&[String], &[Class]), used: &BTreeSet<usize>) -> Vec<usize> {
        let gone = names.iter().filter(|n| !self.classes.contains(n));
        self.removed_classes.extend(gone.take(MOST_PAST).cloned());
        let (mut places, mut rules) = (names.to_vec(), classes.to_vec());
        let mut retired = vec![true; places.len()];
        let mut fresh = Vec::new();
        for ((name, class), out) in self.classes.iter().zip(&self.module.classes).zip(&self.retired) {
            let free = |p: &usize| retired[*p] && !used.contains(p) && !self.classes.contains(&places[*p]);
            let place = places.iter().position(|n| n == name).or_else(|| {
                fresh.push((0..places.len()).find(free).unwrap_or(places.len()));
                fresh.last().copied()
            });
            let place = place.unwrap_or(places.len());
            if place == places.len() {
                places.push(String::new());
                rules.push(*class);
                retired.push(true);
            }
            places[place].clone_from(name);
            (rules[place], retired[place]) = (*class, *out);
        }
        (self.classes, self.module.classes, self.retired) = (places, rules, retired);
        fresh
    }

    /// The place of a class that takes requests.
    pub fn class(&self, name: &str) -> Option<usize> {
        let place = self.classes.iter().position(|n| n == name)?;
        (!self.retired[place]).then_some(place)
    }
}

impl Config {
    /// Reads the environment and the file that it names; `streamed`: that file may leave the settings out.
    pub fn from_environment(streamed: bool) -> Result<Config, Faults> {
        let var = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
        let fault = |key: &str, why: String| Faults::one(key, why);
        let path = var("ROUTER_CONFIG")
            .ok_or_else(|| fault("ROUTER_CONFIG", "the environment must name the file".to_string()))?;
        let text =
            std::fs::read_to_string(&path).map_err(|e| fault("ROUTER_CONFIG", format!("{path}: {e}")))?;
        let mut config = Config::parse(&text, streamed)?;
        // The folder is the process's own or that of its instance; a name in it tells instances apart.
        let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
        let folder = |name: &str| format!("ochreward-{}", name.chars().map(plain).collect::<String>());
        if let Some(name) = var("ROUTER_NAME") {
            config.name = name;
        }
        if let Some(listen) = var("ROUTER_LISTEN") {
            config.listen = listen
                .parse()
                .map_err(|_| fault("ROUTER_LISTEN", "an address and port is wanted".to_string()))?;
        }
        if let Some(ops) = var("ROUTER_OPS") {
            let ops = ops.parse();
            config.admin_address =
                Some(ops.map_err(|_| fault("ROUTER_OPS", "an address and port is wanted".to_string()))?);
        }
        if let Some(number) = var("ROUTER_INHERITED_FD") {
            let number = number.parse().ok().filter(|n| *n > 2);
            let wanted = || fault("ROUTER_INHERITED_FD", "a descriptor's number is wanted".to_string());
            config.inherited = Some(number.ok_or_else(wanted)?);
        }
        config.folder = var("TMPDIR").map(|dir| PathBuf::from(dir).join(folder(&config.name)));
        Ok(config)
    }

    /// Reads the text of a configuration file.
    pub fn read(text: &str) -> Result<Config, Faults> {
        Config::parse(text, false)
    }

    /// Reads the text of a configuration file which may leave the settings to a control service.
    pub fn read_streamed(text: &str) -> Result<Config, Faults> {
        Config::parse(text, true)
    }

    fn parse(text: &str, streamed: bool) -> Result<Config, Faults> {
        let value: Value = serde_json::from_str(text)
            .map_err(|e| Faults::one("(the whole file)", format!("is not JSON: {e}")))?;
        let top = Key::top(&value);
        let mut config = Config::of(&top, streamed);
        config.told = value.clone();
        // Its entries change by themselves; only that it is there counts.
        config.told.get_mut("known").into_iter().for_each(|known| *known = Value::Bool(true));
        top.finish(config)
    }

    /// The JSON Schema of the file, written down from what is read.
    pub fn schema() -> Value {
        Key::describe(|top| drop(Config::of(top, false)))
            .schema("A dispatcher's configuration (ROUTER_CONFIG)")
    }

    fn of(top: &Key, streamed: bool) -> Config {
        let seed = top.get("seed");
        let number = u64::from_str_radix(&seed.text_or("0"), 16);
        seed.must(number.is_ok(), "hex digits, 16 at most, are wanted");
        let bare = streamed && !top.get("settings").given();
        Config {
            name: top.get("name").text_or("dispatcher"),
            listen: top.get("listen").address(),
            inherited: None,
            admin_address: top.get("ops").optional(Key::address),
            folder: None,
            seed: number.unwrap_or_default(),
            names: top.get("names").address(),
            initial_list: known(&top.get("known")),
            parts: if bare { VersionedConfig::none(&top.get("limits")) } else { VersionedConfig::of(top) },
            has_no_settings: bare,
            told: Value::Null,
        }
    }

    /// Checks that a file that is to replace the one of `old` leaves nothing out.
    pub fn check_replacement(&self, old: &Config) -> Result<(), Faults> {
        let top = Key::top(&self.told);
        top.keeps(&old.told);
        top.finish(())
    }

    /// The file as it was written, but for the list.
    pub fn source(&self) -> &Value {
        &self.told
    }
}

impl VersionedConfig {
    /// Reads what a version may change out of a whole configuration.
    pub fn read(value: &Value) -> Result<VersionedConfig, Faults> {
        let top = Key::top(value);
        let parts = VersionedConfig::of(&top);
        top.finish(parts)
    }

    pub(super) fn of(top: &Key) -> VersionedConfig {
        VersionedConfig { resources: resources(&top.get("limits")), settings: settings(&top.get("settings")) }
    }

    /// Limits, and no settings yet.
    fn none(limits: &Key) -> VersionedConfig {
        let empty = serde_json::json!({"lanes": []});
        VersionedConfig { resources: resources(limits), settings: settings(&Key::top(&empty)) }
    }
}

fn resources(limits: &Key) -> Resources {
    Resources {
        memory: limits.get("memory_mb").between(16, 1 << 20, 192) as usize * (1 << 20),
        sockets: limits.get("sockets").between(32, 1 << 20, 1024) as usize,
    }
}

/// Events of the start, in order: the first holds the whole list, later ones what has changed.
fn known(key: &Key) -> (u64, Vec<Executor>) {
    let mut list = BTreeMap::<WorkerId, Executor>::new();
    for event in key.get("batch").entries() {
        let topology = event.get("topology");
        if topology.get("reset").flag_or(false) {
            list.clear();
        }
        let instances = topology.get("instances");
        let entries = instances.entries();
        let few = entries.len() <= MAX_EXECUTORS;
        instances.must(few, "names more than 65,536 executors: split the fleet into several services");
        for entry in entries.into_iter().take(MAX_EXECUTORS) {
            let name = entry.get("instanceId");
            let id: WorkerId = name.text().into();
            name.must(id.len() <= MAX_ID_BYTES, "is longer than 255 bytes: see who registered it");
            let states = ["in_service", "terminating", "terminated"];
            let state = match entry.get("lifecycle").word(&states) {
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
                cell: entry.get("cell").whole_or(0) as usize,
                state,
                started_ms: entry.get("startedAtMs").whole_or(0),
            };
            list.insert(id, executor);
        }
    }
    (key.get("offset").whole_or(0), list.into_values().collect())
}

fn names(key: &Key) -> Vec<String> {
    key.entries().iter().map(|k| k.text().to_string()).collect()
}

fn settings(key: &Key) -> Settings {
    let lanes = key.get("lanes").some_entries("class");
    let orgs = key.get("orgs").entries();
    let (limits, rules, info) = (key.get("limits"), key.get("rules"), key.get("family_info"));
    let costs = key.get("costs");
    let retry_after = limits.get("max_retry_after_us").whole_or(0);
    // Reports that only probes carry are not asked for: a probe has its price.
    let in_answers = key.get("report").get("how").text_or("off") == "inline";
    let mut reported = names(&key.get("report").get("fields"));
    reported.retain(|_| in_answers);
    let module = api::Settings {
        dispatcher_count: key.get("balancers").between(1, 1 << 20, 1) as usize,
        own_index: key.get("me").whole_or(0) as usize,
        own_zone: key.get("my_zone").whole_or(0) as usize,
        classes: lanes.iter().map(class).collect(),
        tenant_quotas: orgs.iter().map(|o| o.get("quota_per_s").number_or(0.0)).collect(),
        over_share_worth: key.get("over_share_worth").number_or(1.0),
        report_fields: reported.iter().map(|f| field(f)).collect(),
        max_attempts: limits.get("send_cap").between(1, 64, 1) as usize,
        may_duplicate: limits.get("may_duplicate").flag_or(false),
        may_cancel: limits.get("cancel").flag_or(false),
        max_retry_after: if limits.get("retry_after").flag_or(false) { retry_after } else { 0 },
        min_batch_interval: key.get("tick_us").whole_or(1000),
        cold_share: rules.get("cold_share").number_or(1.0),
        warm_after: rules.get("warm_after_us").whole_or(0),
        fall_multiple: rules.get("fall_multiple").number_or(2.0),
        fall_window: rules.get("fall_us").whole_or(1_000_000),
        load_orders_allowed: info.get("orders").flag_or(false),
        loads_on_miss: info.get("miss_mode").text_or("load") != "miss",
        keep_alive: info.get("keep_alive_us").whole_or(10_000_000),
        load_window: info.get("load_window_us").whole_or(0),
        loads_anyway: info.get("loads_anyway").number_or(0.0),
        loads_per_request: info.get("loads_per_request").number_or(0.0),
        cross_zone_price: costs.get("cross_zone").number_or(0.0),
        fetch_price: costs.get("origin").number_or(0.0),
        memory_price: info.get("memory_price").number_or(0.0),
        // The list comes by itself, from the name service.
        list_on_request: false,
    };
    Settings {
        classes: lanes.iter().map(|l| l.get("name").text().to_string()).collect(),
        tenants: orgs.iter().map(|o| o.get("name").text().to_string()).collect(),
        retired: lanes.iter().map(|l| l.get("retired").flag_or(false)).collect(),
        // Who still asks for a retired class has not heard yet.
        removed_classes: lanes
            .iter()
            .filter(|l| l.get("retired").flag_or(false))
            .map(|l| l.get("name").text().to_string())
            .collect(),
        drain_grace: rules.get("stop_sending_within_us").whole_or(MAX_DRAIN_GRACE_US),
        longest_deadline_us: module.classes.iter().map(|c| c.deadline).max().unwrap_or_default(),
        vocabulary: ZoneAndKindNames { zones: names(&key.get("zones")), kinds: names(&key.get("kinds")) },
        streams_per_conn: limits.get("streams_per_conn").between(1, 1 << 16, 32) as usize,
        connect_timeout: limits.get("connect_timeout_us").between(1_000, 60_000_000, 250_000),
        keepalive: limits.get("keepalive_us").between(1_000_000, 1 << 40, 15_000_000),
        max_open: limits.get("max_open").between(1, 1 << 30, 20_000) as usize,
        load_wait: info.get("load_wait_us").between(1, 1 << 40, 10_000_000),
        tells_warm: info.get("tells_warm").flag_or(false),
        tells_crowd: info.get("notes_peers_in_hand").flag_or(false),
        report: reported,
        module,
    }
}

fn class(key: &Key) -> Class {
    let effects = [Effect::Idempotent, Effect::Deduplicated, Effect::AtMostOnce];
    let scopes = [KeyScope::All, KeyScope::Zone, KeyScope::Cell];
    let scope = key.get("key_scope");
    Class {
        latency_target: key.get("promise_us").positive(),
        deadline: key.get("deadline_us").positive(),
        effect: effects[key.get("effect").word(&["idempotent", "deduplicated", "at_most_once"])],
        key_scope: scope.optional(|k| scopes[k.word(&["all", "zone", "cell"])]).unwrap_or(KeyScope::Cell),
        repeat_window: key.get("repeat_window_us").whole_or(0),
        credit: key.get("credit").number_or(1.0),
        late_worth: key.get("late_worth").number_or(0.0),
    }
}

fn field(name: &str) -> ReportField {
    match name {
        "inflight" => ReportField::Inflight,
        "queue" => ReportField::Queue,
        _ => ReportField::Other,
    }
}
