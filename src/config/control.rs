//! The `[control]` table of the operator's file: the control service that a dispatcher streams its configuration from,
//! and the settings of the control service itself.

use crate::keys::Key;
use ochreward_control::RolloutPlan;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The settings of a dispatcher's configuration stream. Without them nothing is streamed.
#[derive(Clone, Debug, PartialEq)]
pub struct Stream {
    /// The control services, tried in turn.
    pub services: Vec<SocketAddr>,
    /// The instance's labels, such as `zone`; overlays and rollout waves select instances by them.
    pub labels: BTreeMap<String, String>,
    /// The directory of the last good version, kept in a subdirectory named after the instance; by default it is kept
    /// beside the bans, in `$TMPDIR`.
    pub folder: Option<PathBuf>,
    /// The first and the longest reconnect backoff, in microseconds.
    pub backoff: (u64, u64),
    /// The stream is considered dead when nothing was received from the service for this long, in microseconds.
    pub silence: u64,
    /// The length of a new version's trial, in microseconds; 0 disables trials.
    pub trial: u64,
    /// The share of requests by which failures and refusals may grow during a trial.
    pub trial_margin: f64,
    /// The number of requests below which a trial gives no verdict.
    pub trial_least: u64,
}

/// The settings of the control service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The directory in which versions are stored.
    pub store: PathBuf,
    /// The maximum number of concurrent streams.
    pub streams: usize,
    /// The heartbeat interval, in microseconds.
    pub heartbeat: u64,
    /// The plan by which a version is rolled out.
    pub rollout: RolloutPlan,
}

/// The settings of both ends of the configuration stream.
#[derive(Clone, Debug, PartialEq)]
pub struct Control {
    /// The dispatcher's end.
    pub stream: Option<Stream>,
    /// The service's end.
    pub service: Option<Service>,
}

pub(super) fn read(key: &Key) -> Control {
    key.only(&["stream", "service"]);
    Control {
        stream: key.get("stream").optional(read_stream),
        service: key.get("service").optional(read_service),
    }
}

fn read_stream(key: &Key) -> Stream {
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
    let first = key.get("backoff_first_ms").integer_in(1, 600_000, 200);
    let last = key.get("backoff_last_ms").integer_in(1, 3_600_000, 15_000);
    key.get("backoff_last_ms").must(last >= first, "is less than backoff_first_ms");
    Stream {
        services: key.get("services").nonempty_entries("service").iter().map(Key::address).collect(),
        labels: labels.collect(),
        folder: key.get("folder").optional(|k| k.text().into()),
        backoff: (first * 1000, last * 1000),
        silence: key.get("silence_ms").integer_in(10, 600_000, 5_000) * 1000,
        trial: key.get("trial_ms").integer_in(0, 3_600_000, 10_000) * 1000,
        trial_margin: key.get("trial_margin").number_or(0.05),
        trial_least: key.get("trial_least").integer_in(1, 1 << 30, 50),
    }
}

fn read_service(key: &Key) -> Service {
    key.only(&["listen", "store", "streams", "heartbeat_ms", "rollout"]);
    Service {
        listen: key.get("listen").address(),
        store: key.get("store").text().into(),
        streams: key.get("streams").integer_in(1, 60_000, 4_096) as usize,
        heartbeat: key.get("heartbeat_ms").integer_in(5, 60_000, 1_000) * 1000,
        rollout: read_rollout(&key.get("rollout")),
    }
}

fn read_rollout(key: &Key) -> RolloutPlan {
    key.is_present();
    key.only(&["canary", "waves", "answer_ms", "watch_ms"]);
    let defaults = RolloutPlan::default();
    let canary = key.get("canary");
    let pair = canary
        .optional(|k| k.text().split_once('=').map(|(label, value)| (label.to_string(), value.to_string())));
    canary.must(pair != Some(None), "expected a label and its value, such as role=canary");
    let listed: Vec<f64> = key.get("waves").entries().iter().map(Key::number).collect();
    let waves = if listed.is_empty() { defaults.waves } else { listed };
    let increasing =
        waves.windows(2).all(|pair| pair[0] < pair[1]) && waves.first().is_some_and(|share| *share > 0.0);
    key.get("waves")
        .must(increasing && waves.last() == Some(&1.0), "expected increasing shares that end with 1");
    RolloutPlan {
        canary: pair.flatten(),
        waves,
        answer_timeout_us: key.get("answer_ms").integer_in(10, 3_600_000, defaults.answer_timeout_us / 1000)
            * 1000,
        observation_us: key.get("watch_ms").integer_in(0, 3_600_000, defaults.observation_us / 1000) * 1000,
    }
}
