//! `[control]` of the operator's file: where a dispatcher gets its configuration from, and what the control service
//! of such a fleet is told.

use crate::keys::Key;
use ochreward_control::RolloutPlan;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// What a dispatcher is told of its control service. Without it nothing is streamed.
#[derive(Clone, Debug, PartialEq)]
pub struct Stream {
    /// The services, tried in turn.
    pub services: Vec<SocketAddr>,
    /// What the instance says of itself, such as `zone`: overlays and waves go by it.
    pub labels: BTreeMap<String, String>,
    /// Where the last good version is kept, in a folder of the instance's name; else beside the bans, in `$TMPDIR`.
    pub folder: Option<PathBuf>,
    /// The first wait after a lost connection, and the longest, in microseconds.
    pub backoff: (u64, u64),
    /// Without a word from the service for this long the stream counts as dead, in microseconds.
    pub silence: u64,
    /// How long a version is on trial, in microseconds; 0: never.
    pub trial: u64,
    /// Failures and refusals may grow by this share of the requests during a trial.
    pub trial_margin: f64,
    /// A trial with fewer requests than this says nothing.
    pub trial_least: u64,
}

/// What the control service is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where versions are kept.
    pub store: PathBuf,
    /// Streams at a time.
    pub streams: usize,
    /// The time between two signs of life, in microseconds.
    pub heartbeat: u64,
    /// How a version is rolled out.
    pub rollout: RolloutPlan,
}

/// Both ends of the stream.
#[derive(Clone, Debug, PartialEq)]
pub struct Control {
    /// The dispatcher's end.
    pub stream: Option<Stream>,
    /// The service's end.
    pub service: Option<Service>,
}

pub(super) fn read(key: &Key) -> Control {
    key.only(&["stream", "service"]);
    Control { stream: key.get("stream").optional(stream), service: key.get("service").optional(service) }
}

fn stream(key: &Key) -> Stream {
    key.only(&[
        "services",
        "labels",
        "folder",
        "backoff_first_ms",
        "backoff_last_ms",
        "silence_ms",
        "trial_ms",
        "trial_margin",
        "trial_least",
    ]);
    let labels = key.get("labels").members().into_iter().map(|(name, k)| (name, k.text().to_string()));
    let first = key.get("backoff_first_ms").between(1, 600_000, 200);
    let last = key.get("backoff_last_ms").between(1, 3_600_000, 15_000);
    key.get("backoff_last_ms").must(last >= first, "is less than backoff_first_ms");
    Stream {
        services: key.get("services").some_entries("service").iter().map(Key::address).collect(),
        labels: labels.collect(),
        folder: key.get("folder").optional(|k| k.text().into()),
        backoff: (first * 1000, last * 1000),
        silence: key.get("silence_ms").between(10, 600_000, 5_000) * 1000,
        trial: key.get("trial_ms").between(0, 3_600_000, 10_000) * 1000,
        trial_margin: key.get("trial_margin").number_or(0.05),
        trial_least: key.get("trial_least").between(1, 1 << 30, 50),
    }
}

fn service(key: &Key) -> Service {
    key.only(&["listen", "store", "streams", "heartbeat_ms", "rollout"]);
    Service {
        listen: key.get("listen").address(),
        store: key.get("store").text().into(),
        streams: key.get("streams").between(1, 60_000, 4_096) as usize,
        heartbeat: key.get("heartbeat_ms").between(5, 60_000, 1_000) * 1000,
        rollout: rollout(&key.get("rollout")),
    }
}

fn rollout(key: &Key) -> RolloutPlan {
    key.given();
    key.only(&["canary", "waves", "answer_ms", "watch_ms"]);
    let usual = RolloutPlan::default();
    let canary = key.get("canary");
    let pair = canary.optional(|k| k.text().split_once('=').map(|(l, v)| (l.to_string(), v.to_string())));
    canary.must(pair != Some(None), "a label and its value are wanted, such as role=canary");
    let listed: Vec<f64> = key.get("waves").entries().iter().map(Key::number).collect();
    let waves = if listed.is_empty() { usual.waves } else { listed };
    let rising = waves.windows(2).all(|w| w[0] < w[1]) && waves.first().is_some_and(|w| *w > 0.0);
    key.get("waves").must(rising && waves.last() == Some(&1.0), "shares that rise to 1 are wanted");
    RolloutPlan {
        canary: pair.flatten(),
        waves,
        answer_timeout_us: key.get("answer_ms").between(10, 3_600_000, usual.answer_timeout_us / 1000) * 1000,
        observation_us: key.get("watch_ms").between(0, 3_600_000, usual.observation_us / 1000) * 1000,
    }
}
