//! The operator's file (TOML): MQTT brokers, the agent, the control service, stations, peers, budgets and zones.
//! A feature whose table is absent is off.

use super::control::{self, Control};
use crate::front::mqtt::Options;
use crate::front::stations;
use crate::keys::{Faults, Key};
use crate::{overload, peers, zones};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A dispatcher instance that the agent keeps running.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// The name.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The configuration file.
    pub config: PathBuf,
    /// The address on which load balancers read its agent-check line.
    pub check: Option<SocketAddr>,
    /// Whether it takes MQTT triggers.
    pub mqtt: bool,
}

/// The settings of the agent.
#[derive(Clone, Debug, PartialEq)]
pub struct Agent {
    /// The address of its HTTP endpoint: health, status, and the commands of the command line.
    pub listen: SocketAddr,
    /// The interval between health checks of an instance, in microseconds.
    pub check_every: u64,
    /// An instance that has not answered a health check for this long is down, in microseconds.
    pub check_timeout: u64,
    /// How long an instance is reported as draining to load balancers before it is stopped, in microseconds.
    pub drain: u64,
    /// How long an instance may take to exit after SIGTERM before it is killed, in microseconds.
    pub stop_timeout: u64,
    /// The instances.
    pub instances: Vec<Instance>,
}

/// The contents of the operator's file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operator {
    /// The brokers to take triggers from; the placeholder `{name}` is not yet replaced by the instance's name.
    pub brokers: Vec<Options>,
    /// The settings of the agent.
    pub agent: Option<Agent>,
    /// The control service that configuration is streamed from, or that this process runs.
    pub control: Option<Control>,
    /// The endpoint on which stations connect to the dispatcher directly.
    pub stations: Option<stations::Options>,
    /// Peer discovery and membership among dispatchers.
    pub peers: Option<peers::Options>,
    /// Budgets shared by the fleet, and load shedding.
    pub overload: Option<overload::Options>,
    /// Zone failover, coordinated across the fleet.
    pub zones: Option<zones::Options>,
    /// The memory that functions may take in the module, in bytes; `None` allows what the memory limit leaves.
    pub function_bytes: Option<usize>,
}

impl Operator {
    /// Reads the file at `path`.
    pub fn load(path: &Path) -> Result<Operator, Faults> {
        let fault = |why: String| Faults::one(path.display().to_string(), why);
        let text = std::fs::read_to_string(path).map_err(|e| fault(e.to_string()))?;
        Operator::read(&text)
    }

    /// Reads the text of an operator's file.
    pub fn read(text: &str) -> Result<Operator, Faults> {
        let value: Value =
            toml::from_str(text).map_err(|e| Faults::one("(the whole file)", format!("is not TOML: {e}")))?;
        let top = Key::top(&value);
        let operator = Operator::from_key(&top);
        top.finish(operator)
    }

    /// Returns the JSON Schema of the file, recorded from the readers themselves.
    pub fn schema() -> Value {
        Key::describe(|top| drop(Operator::from_key(top))).schema("An operator's file")
    }

    fn from_key(top: &Key) -> Operator {
        top.only(&["mqtt", "agent", "control", "stations", "peers", "overload", "zones", "routing"]);
        let peers = top.get("peers").optional(read_peers);
        // A share of the budget may grow only after earlier leases have expired; otherwise it would be spent twice.
        // So leases must end before membership changes take effect on shares.
        let share_hold = peers.as_ref().map_or(u64::MAX, |p| p.settings.share_hold);
        Operator {
            brokers: brokers(&top.get("mqtt")),
            agent: top.get("agent").optional(read_agent),
            control: top.get("control").optional(control::read),
            stations: top.get("stations").optional(read_stations),
            peers,
            overload: top.get("overload").optional(|key| read_overload(key, share_hold)),
            zones: top.get("zones").optional(read_zones),
            function_bytes: top.get("routing").optional(read_function_bytes).flatten(),
        }
    }

    /// Returns the brokers with `{name}` replaced by the name of an instance.
    pub fn brokers_of(&self, name: &str) -> Vec<Options> {
        let expand = |options: &Options| Options {
            client_id: options.client_id.replace("{name}", name),
            triggers: options.triggers.replace("{name}", name),
            ..options.clone()
        };
        self.brokers.iter().map(expand).collect()
    }
}

/// Reads a list of brokers, which has the same form in the operator's file and in a version's `fronts`.
pub(super) fn brokers(key: &Key) -> Vec<Options> {
    key.entries().iter().map(read_broker).collect()
}

fn read_broker(key: &Key) -> Options {
    key.only(&[
        "broker",
        "client_id",
        "triggers",
        "receive_maximum",
        "maximum_packet",
        "keep_alive_s",
        "session_expiry_s",
        "record_expiry_s",
        "user",
        "password",
    ]);
    let (user, triggers) = (key.get("user"), key.get("triggers"));
    let filter = triggers.text_or("ochreward/{name}/triggers/#");
    triggers.must(!filter.is_empty(), "expected a topic filter");
    Options {
        broker: key.get("broker").address(),
        client_id: key.get("client_id").text_or("ochreward-{name}"),
        triggers: filter,
        receive_maximum: key.get("receive_maximum").integer_in(1, 1024, 64) as u16,
        maximum_packet: key.get("maximum_packet").integer_in(1024, 1 << 20, 64 << 10) as usize,
        keep_alive: key.get("keep_alive_s").integer_in(1, 65_535, 30) as u16,
        session_expiry: key.get("session_expiry_s").integer_in(1, u64::from(u32::MAX), 3_600) as u32,
        record_expiry: key.get("record_expiry_s").integer_in(1, u64::from(u32::MAX), 86_400) as u32,
        login: user.optional(|user| (user.text().to_string(), key.get("password").text_or(""))),
    }
}

fn read_stations(key: &Key) -> stations::Options {
    key.only(&[
        "listen",
        "users",
        "connections",
        "receive_maximum",
        "maximum_packet",
        "keep_alive_s",
        "session_expiry_s",
        "sessions",
        "waiting",
        "pushback_ms",
    ]);
    stations::Options {
        listen: key.get("listen").address(),
        users: key.get("users").text().into(),
        connections: key.get("connections").integer_in(1, 60_000, 256) as usize,
        rules: stations::Rules {
            receive_maximum: key.get("receive_maximum").integer_in(1, 1024, 16) as u16,
            maximum_packet: key.get("maximum_packet").integer_in(1024, 1 << 18, 32 << 10) as u32,
            keep_alive: key.get("keep_alive_s").integer_in(1, 43_690, 60) as u16,
            session_expiry: key.get("session_expiry_s").integer_in(0, 604_800, 3_600) as u32,
            sessions: key.get("sessions").integer_in(1, 60_000, 1_024) as usize,
            waiting: key.get("waiting").integer_in(1, 4_096, 32) as usize,
            pushback: key.get("pushback_ms").integer_in(1, 600_000, 500) * 1000,
        },
    }
}

fn read_peers(key: &Key) -> peers::Options {
    key.only(&[
        "listen",
        "at",
        "reach",
        "seeds",
        "group",
        "zone",
        "probe_ms",
        "probe_timeout_ms",
        "indirect",
        "sync_ms",
        "hold_ms",
        "join_patience_ms",
        "members",
    ]);
    let defaults = ochreward_membership::Settings::default();
    let ms = |name: &str, least: u64, most: u64, default: u64| {
        key.get(name).integer_in(least, most, default / 1000) * 1000
    };
    let addresses =
        |name: &str| key.get(name).members().into_iter().map(|(name, at)| (name, at.address())).collect();
    let (seeds, group, zone) = (key.get("seeds"), key.get("group"), key.get("zone"));
    let list: Vec<SocketAddr> = seeds.entries().iter().map(Key::address).collect();
    seeds.must(list.len() <= peers::MAX_SEEDS, "holds more than 64 addresses");
    let (group_name, zone_name) = (group.text_or(&defaults.group), zone.text_or(""));
    let fits = |text: &str| text.len() <= ochreward_membership::wire::MAX_TEXT_BYTES;
    group.must(!group_name.is_empty(), "expected a name");
    zone.must(fits(&zone_name), "is longer than 32 bytes");
    let (probe_every, probe_timeout) = (
        ms("probe_ms", 20, 60_000, defaults.probe_period),
        ms("probe_timeout_ms", 5, 30_000, defaults.probe_timeout),
    );
    key.get("probe_timeout_ms").must(probe_timeout * 2 <= probe_every, "must be at most half of probe_ms");
    peers::Options {
        listen: key.get("listen").address(),
        at: addresses("at"),
        reach: addresses("reach"),
        seeds: list,
        zone: zone_name,
        settings: ochreward_membership::Settings {
            group: group_name,
            probe_period: probe_every,
            probe_timeout,
            indirect_probes: key.get("indirect").integer_in(0, 16, defaults.indirect_probes as u64) as usize,
            sync_period: ms("sync_ms", 50, 600_000, defaults.sync_period),
            share_hold: ms("hold_ms", 100, 600_000, defaults.share_hold),
            join_timeout: ms("join_patience_ms", 100, 600_000, defaults.join_timeout),
            max_members: key.get("members").integer_in(2, 4_096, defaults.max_members as u64) as usize,
            ..defaults
        },
    }
}

fn read_overload(key: &Key, share_hold: u64) -> overload::Options {
    key.only(&[
        "resends_per_s",
        "orders_per_s",
        "floor_percent",
        "lease_ms",
        "queue_ms",
        "stay_ms",
        "ramp_ms",
        "trial_ms",
    ]);
    let lease = key.get("lease_ms").integer_in(100, 60_000, 2_000) * 1_000;
    let lease_key = key.get("lease_ms");
    let (resends, orders) = (
        key.get("resends_per_s").integer_in(0, 1_000_000, 0),
        key.get("orders_per_s").integer_in(0, 1_000_000, 0),
    );
    let lends = resends + orders > 0;
    lease_key.must(
        !lends || lease + lease / 10 <= share_hold,
        "must be at least a tenth shorter than hold_ms of [peers]",
    );
    overload::Options {
        resends_per_s: resends,
        orders_per_s: orders,
        floor: key.get("floor_percent").integer_in(0, 100, 50) * 10,
        lease_us: lease,
        max_queue_us: key.get("queue_ms").integer_in(0, 60_000, 0) * 1_000,
        level_hold_us: key.get("stay_ms").integer_in(100, 600_000, 1_000) * 1_000,
        ramp_us: key.get("ramp_ms").integer_in(0, 600_000, 0) * 1_000,
        trial_interval_us: key.get("trial_ms").integer_in(20, 60_000, 250) * 1_000,
    }
}

fn read_zones(key: &Key) -> zones::Options {
    key.only(&["silent_ms", "stay_ms", "dwell_ms"]);
    zones::Options {
        silence_us: key.get("silent_ms").integer_in(50, 60_000, 1_000) * 1_000,
        leave_us: key.get("stay_ms").integer_in(100, 600_000, 2_000) * 1_000,
        step_interval_us: key.get("dwell_ms").integer_in(50, 600_000, 500) * 1_000,
    }
}

fn read_function_bytes(key: &Key) -> Option<usize> {
    key.only(&["function_memory_mb"]);
    let megabytes = |key: &Key| (key.integer_in(1, 65_536, 96) as usize) << 20;
    key.get("function_memory_mb").optional(megabytes)
}

fn read_agent(key: &Key) -> Agent {
    key.only(&["listen", "check_every_ms", "check_timeout_ms", "drain_ms", "stop_timeout_ms", "instance"]);
    let instances: Vec<Instance> = key.get("instance").entries().iter().map(read_instance).collect();
    for (i, instance) in instances.iter().enumerate() {
        let duplicate = instances[..i].iter().any(|other| other.name == instance.name);
        key.get(&format!("instance[{i}]")).get("name").must(!duplicate, "another instance has this name");
    }
    Agent {
        listen: key.get("listen").address(),
        check_every: key.get("check_every_ms").integer_in(10, 600_000, 500) * 1000,
        check_timeout: key.get("check_timeout_ms").integer_in(10, 600_000, 2_000) * 1000,
        drain: key.get("drain_ms").integer_in(0, 600_000, 2_000) * 1000,
        stop_timeout: key.get("stop_timeout_ms").integer_in(1_000, 600_000, 10_000) * 1000,
        instances,
    }
}

fn read_instance(key: &Key) -> Instance {
    key.only(&["name", "listen", "config", "check", "mqtt"]);
    let (name, check) = (key.get("name"), key.get("check"));
    let text = name.text();
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    name.must(!text.is_empty() && text.bytes().all(allowed), "expected letters, digits, - and _ only");
    Instance {
        name: text.to_string(),
        listen: key.get("listen").address(),
        config: key.get("config").text().into(),
        check: check.optional(Key::address),
        mqtt: key.get("mqtt").bool_or(false),
    }
}
