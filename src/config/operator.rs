//! The operator's file: MQTT brokers and the agent. Without it both are off.

use super::control::{self, Control};
use crate::front::mqtt::Options;
use crate::front::stations;
use crate::keys::{Faults, Key};
use crate::{overload, peers, zones};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// An instance that the agent keeps running.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Where its clients connect.
    pub listen: SocketAddr,
    /// Its configuration file.
    pub config: PathBuf,
    /// Where balancers ask for its agent-check line.
    pub check: Option<SocketAddr>,
    /// It takes MQTT triggers.
    pub mqtt: bool,
}

/// What the agent is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Agent {
    /// Where it answers HTTP: health, status, and the command line's orders.
    pub listen: SocketAddr,
    /// The time between two health checks of an instance, in microseconds.
    pub check_every: u64,
    /// An instance that does not answer a health check for this long is down, in microseconds.
    pub check_timeout: u64,
    /// How long balancers are told to drain an instance before it is ended, in microseconds.
    pub drain: u64,
    /// How long an instance may take to end before it is killed, in microseconds.
    pub stop_timeout: u64,
    /// The instances.
    pub instances: Vec<Instance>,
}

/// The operator's file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operator {
    /// The brokers to take triggers from; `{name}` still stands for the instance's name.
    pub brokers: Vec<Options>,
    /// What the agent is told.
    pub agent: Option<Agent>,
    /// The control service that configuration comes from, or that this process is.
    pub control: Option<Control>,
    /// Where stations connect to the dispatcher itself.
    pub stations: Option<stations::Options>,
    /// How dispatchers find each other.
    pub peers: Option<peers::Options>,
    /// Budgets that the fleet shares, and its level of admission.
    pub overload: Option<overload::Options>,
    /// Zones, left and returned to by the fleet as one.
    pub zones: Option<zones::Options>,
    /// Bytes that functions may take in the module; `None`: as many as the limit on memory leaves.
    pub function_bytes: Option<usize>,
}

impl Operator {
    /// Reads the file.
    pub fn load(path: &Path) -> Result<Operator, Faults> {
        let fault = |why: String| Faults::one(path.display().to_string(), why);
        let text = std::fs::read_to_string(path).map_err(|e| fault(e.to_string()))?;
        Operator::read(&text)
    }

    /// Reads the text of such a file.
    pub fn read(text: &str) -> Result<Operator, Faults> {
        let value: Value =
            toml::from_str(text).map_err(|e| Faults::one("(the whole file)", format!("is not TOML: {e}")))?;
        let top = Key::top(&value);
        let operator = Operator::of(&top);
        top.finish(operator)
    }

    /// The JSON Schema of the file, written down from what is read.
    pub fn schema() -> Value {
        Key::describe(|top| drop(Operator::of(top))).schema("An operator's file")
    }

    fn of(top: &Key) -> Operator {
        top.only(&["mqtt", "agent", "control", "stations", "peers", "overload", "zones", "routing"]);
        let peers = top.get("peers").optional(read_peers);
        // Danger: a part that grows while leases of before still run would be spent twice.
        let hold = peers.as_ref().map_or(u64::MAX, |p| p.settings.share_hold);
        Operator {
            brokers: brokers(&top.get("mqtt")),
            agent: top.get("agent").optional(read_agent),
            control: top.get("control").optional(control::read),
            stations: top.get("stations").optional(stations),
            peers,
            overload: top.get("overload").optional(|key| read_overload(key, hold)),
            zones: top.get("zones").optional(read_zones),
            function_bytes: top.get("routing").optional(read_function_bytes).flatten(),
        }
    }

    /// The brokers of the instance with this name.
    pub fn brokers_of(&self, name: &str) -> Vec<Options> {
        let own = |o: &Options| Options {
            client_id: o.client_id.replace("{name}", name),
            triggers: o.triggers.replace("{name}", name),
            ..o.clone()
        };
        self.brokers.iter().map(own).collect()
    }
}

/// Reads a list of brokers, as the operator's file and a version's `fronts` have it.
pub(super) fn brokers(key: &Key) -> Vec<Options> {
    key.entries().iter().map(broker).collect()
}

fn broker(key: &Key) -> Options {
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
    triggers.must(!filter.is_empty(), "a topic filter is wanted");
    Options {
        broker: key.get("broker").address(),
        client_id: key.get("client_id").text_or("ochreward-{name}"),
        triggers: filter,
        receive_maximum: key.get("receive_maximum").between(1, 1024, 64) as u16,
        maximum_packet: key.get("maximum_packet").between(1024, 1 << 20, 64 << 10) as usize,
        keep_alive: key.get("keep_alive_s").between(1, 65_535, 30) as u16,
        session_expiry: key.get("session_expiry_s").between(1, u64::from(u32::MAX), 3_600) as u32,
        record_expiry: key.get("record_expiry_s").between(1, u64::from(u32::MAX), 86_400) as u32,
        login: user.optional(|user| (user.text().to_string(), key.get("password").text_or(""))),
    }
}

fn stations(key: &Key) -> stations::Options {
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
        connections: key.get("connections").between(1, 60_000, 256) as usize,
        rules: stations::Rules {
            receive_maximum: key.get("receive_maximum").between(1, 1024, 16) as u16,
            maximum_packet: key.get("maximum_packet").between(1024, 1 << 18, 32 << 10) as u32,
            keep_alive: key.get("keep_alive_s").between(1, 43_690, 60) as u16,
            session_expiry: key.get("session_expiry_s").between(0, 604_800, 3_600) as u32,
            sessions: key.get("sessions").between(1, 60_000, 1_024) as usize,
            waiting: key.get("waiting").between(1, 4_096, 32) as usize,
            pushback: key.get("pushback_ms").between(1, 600_000, 500) * 1000,
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
    let usual = ochreward_membership::Settings::default();
    let ms = |name: &str, least: u64, most: u64, usual: u64| {
        key.get(name).between(least, most, usual / 1000) * 1000
    };
    let addresses =
        |name: &str| key.get(name).members().into_iter().map(|(name, at)| (name, at.address())).collect();
    let (seeds, group, zone) = (key.get("seeds"), key.get("group"), key.get("zone"));
    let list: Vec<SocketAddr> = seeds.entries().iter().map(Key::address).collect();
    seeds.must(list.len() <= peers::MAX_SEEDS, "holds more than 64 addresses");
    let (named, place) = (group.text_or(&usual.group), zone.text_or(""));
    let short = |text: &str| text.len() <= ochreward_membership::wire::MAX_TEXT_BYTES;
    group.must(!named.is_empty(), "a name is wanted");
    zone.must(short(&place), "is longer than 32 bytes");
    let (probe_every, probe_timeout) = (
        ms("probe_ms", 20, 60_000, usual.probe_period),
        ms("probe_timeout_ms", 5, 30_000, usual.probe_timeout),
    );
    key.get("probe_timeout_ms")
        .must(probe_timeout * 2 <= probe_every, "must be half of probe_ms at the most");
    peers::Options {
        listen: key.get("listen").address(),
        at: addresses("at"),
        reach: addresses("reach"),
        seeds: list,
        zone: place,
        settings: ochreward_membership::Settings {
            group: named,
            probe_period: probe_every,
            probe_timeout,
            indirect_probes: key.get("indirect").between(0, 16, usual.indirect_probes as u64) as usize,
            sync_period: ms("sync_ms", 50, 600_000, usual.sync_period),
            share_hold: ms("hold_ms", 100, 600_000, usual.share_hold),
            join_timeout: ms("join_patience_ms", 100, 600_000, usual.join_timeout),
            max_members: key.get("members").between(2, 4_096, usual.max_members as u64) as usize,
            ..usual
        },
    }
}

fn read_overload(key: &Key, hold: u64) -> overload::Options {
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
    let lease = key.get("lease_ms").between(100, 60_000, 2_000) * 1_000;
    let least = key.get("lease_ms");
    let (resends, orders) =
        (key.get("resends_per_s").between(0, 1_000_000, 0), key.get("orders_per_s").between(0, 1_000_000, 0));
    let lends = resends + orders > 0;
    least.must(
        !lends || lease + lease / 10 <= hold,
        "must be a tenth shorter than hold_ms of [peers] at the least",
    );
    overload::Options {
        resends_per_s: resends,
        orders_per_s: orders,
        floor: key.get("floor_percent").between(0, 100, 50) * 10,
        lease_us: lease,
        max_queue_us: key.get("queue_ms").between(0, 60_000, 0) * 1_000,
        level_hold_us: key.get("stay_ms").between(100, 600_000, 1_000) * 1_000,
        ramp_us: key.get("ramp_ms").between(0, 600_000, 0) * 1_000,
        trial_interval_us: key.get("trial_ms").between(20, 60_000, 250) * 1_000,
    }
}

fn read_zones(key: &Key) -> zones::Options {
    key.only(&["silent_ms", "stay_ms", "dwell_ms"]);
    zones::Options {
        silence_us: key.get("silent_ms").between(50, 60_000, 1_000) * 1_000,
        leave_us: key.get("stay_ms").between(100, 600_000, 2_000) * 1_000,
        step_interval_us: key.get("dwell_ms").between(50, 600_000, 500) * 1_000,
    }
}

fn read_function_bytes(key: &Key) -> Option<usize> {
    key.only(&["function_memory_mb"]);
    let megabytes = |key: &Key| (key.between(1, 65_536, 96) as usize) << 20;
    key.get("function_memory_mb").optional(megabytes)
}

fn read_agent(key: &Key) -> Agent {
    key.only(&["listen", "check_every_ms", "check_timeout_ms", "drain_ms", "stop_timeout_ms", "instance"]);
    let instances: Vec<Instance> = key.get("instance").entries().iter().map(instance).collect();
    for (i, instance) in instances.iter().enumerate() {
        let other = instances[..i].iter().any(|other| other.name == instance.name);
        key.get(&format!("instance[{i}]")).get("name").must(!other, "another instance has this name");
    }
    Agent {
        listen: key.get("listen").address(),
        check_every: key.get("check_every_ms").between(10, 600_000, 500) * 1000,
        check_timeout: key.get("check_timeout_ms").between(10, 600_000, 2_000) * 1000,
        drain: key.get("drain_ms").between(0, 600_000, 2_000) * 1000,
        stop_timeout: key.get("stop_timeout_ms").between(1_000, 600_000, 10_000) * 1000,
        instances,
    }
}

fn instance(key: &Key) -> Instance {
    key.only(&["name", "listen", "config", "check", "mqtt"]);
    let (name, check) = (key.get("name"), key.get("check"));
    let text = name.text();
    let plain = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    name.must(!text.is_empty() && text.bytes().all(plain), "letters, digits, - and _ are wanted");
    Instance {
        name: text.to_string(),
        listen: key.get("listen").address(),
        config: key.get("config").text().into(),
        check: check.optional(Key::address),
        mqtt: key.get("mqtt").flag_or(false),
    }
}
