//! The simulator's JSON format as serde types, and its conversion to and from the library's types.
//!
//! Unknown keys and event kinds are ignored, and most absent or null values take their defaults. The names of
//! fields and variants are the wire format.

use ochreward as api;
use serde::{Deserialize, Deserializer, Serialize};

/// Deserialises null as the default value; combined with `#[serde(default)]`, an absent value takes it too.
fn or_default<'de, D: Deserializer<'de>, T: Default + Deserialize<'de>>(
    deserializer: D,
) -> Result<T, D::Error> {
    Ok(Option::<T>::deserialize(deserializer)?.unwrap_or_default())
}

/// The events of one point in time.
#[derive(Deserialize)]
pub struct Batch {
    #[serde(default, deserialize_with = "or_default")]
    pub clock_us: u64,
    #[serde(default, deserialize_with = "or_default")]
    pub arrivals: Vec<Arrival>,
}

/// An event and the instance that it is addressed to.
#[derive(Deserialize)]
pub struct Arrival {
    #[serde(default, deserialize_with = "or_default")]
    pub i: String,
    #[serde(flatten)]
    pub body: Body,
}

/// An event, tagged by its `what` key.
#[derive(Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Body {
    Spawn {
        #[serde(default, deserialize_with = "or_default")]
        rng_seed: u64,
        #[serde(default, deserialize_with = "or_default")]
        config: Box<Config>,
    },
    Endpoints {
        #[serde(default, deserialize_with = "or_default")]
        how: String,
        #[serde(default, deserialize_with = "or_default")]
        items: Vec<Item>,
    },
    Ask {
        rid: u64,
        unit_key: String,
        #[serde(default, deserialize_with = "or_default")]
        per_copy: f64,
        #[serde(default, deserialize_with = "or_default")]
        org: usize,
        #[serde(default, deserialize_with = "or_default")]
        warm_ms: f64,
        #[serde(default, deserialize_with = "or_default")]
        predicted_us: f64,
        #[serde(default, deserialize_with = "or_default")]
        retry: bool,
        #[serde(default, deserialize_with = "or_default")]
        ttl_us: u64,
        #[serde(rename = "type", default, deserialize_with = "or_default")]
        class: usize,
    },
    Flowing {
        rid: u64,
    },
    ClosedAttempt {
        rid: u64,
        #[serde(default, deserialize_with = "or_default")]
        go: usize,
        #[serde(rename = "final", default, deserialize_with = "or_default")]
        last: bool,
        #[serde(default, deserialize_with = "or_default")]
        lag_us: u64,
        #[serde(default, deserialize_with = "or_default")]
        remark: u32,
        #[serde(default, deserialize_with = "or_default")]
        status: String,
        #[serde(default, deserialize_with = "or_default")]
        telemetry: Vec<Option<f64>>,
    },
    Aborted {
        rid: u64,
    },
    LoadResult {
        worker: String,
        unit_key: String,
        #[serde(default, deserialize_with = "or_default")]
        status: String,
        #[serde(default, deserialize_with = "or_default")]
        lag_us: u64,
        #[serde(default, deserialize_with = "or_default")]
        units_held: u32,
    },
    Wakeup {
        #[serde(default, deserialize_with = "or_default")]
        cookie: u64,
    },
    Stop,
    #[serde(other)]
    Other,
}

/// An entry of the worker list.
#[derive(Deserialize)]
pub struct Item {
    pub worker: String,
    #[serde(default, deserialize_with = "or_default")]
    failure_domain: usize,
    #[serde(default, deserialize_with = "or_default")]
    hw: usize,
    #[serde(default, deserialize_with = "or_default")]
    cohort: usize,
    #[serde(default, deserialize_with = "or_default")]
    condition: String,
    #[serde(default, deserialize_with = "or_default")]
    ready_at_us: u64,
    #[serde(default, deserialize_with = "or_default")]
    units: f64,
}

/// The configuration of an instance.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Config {
    #[serde(deserialize_with = "or_default")]
    balancers: usize,
    #[serde(deserialize_with = "or_default")]
    me: usize,
    #[serde(deserialize_with = "or_default")]
    my_zone: usize,
    #[serde(deserialize_with = "or_default")]
    lanes: Vec<Lane>,
    #[serde(deserialize_with = "or_default")]
    orgs: Vec<Org>,
    over_share_worth: Option<f64>,
    #[serde(deserialize_with = "or_default")]
    report: Report,
    #[serde(deserialize_with = "or_default")]
    limits: Limits,
    #[serde(deserialize_with = "or_default")]
    rules: Rules,
    #[serde(deserialize_with = "or_default")]
    family_info: FamilyInfo,
    #[serde(deserialize_with = "or_default")]
    costs: Costs,
    #[serde(deserialize_with = "or_default")]
    tick_us: u64,
    #[serde(deserialize_with = "or_default")]
    discovery: String,
    #[serde(deserialize_with = "or_default")]
    weight_source: String,
}

/// A class of requests.
#[derive(Deserialize, Default)]
#[serde(default)]
struct Lane {
    promise_us: f64,
    deadline_us: f64,
    effect: String,
    key_scope: String,
    #[serde(deserialize_with = "or_default")]
    repeat_window_us: f64,
    credit: f64,
    late_worth: f64,
}

/// A tenant.
#[derive(Deserialize, Default)]
#[serde(default)]
struct Org {
    #[serde(deserialize_with = "or_default")]
    quota_per_s: f64,
}

/// How workers report their load, and the values in a report.
#[derive(Deserialize, Default)]
#[serde(default)]
struct Report {
    #[serde(deserialize_with = "or_default")]
    how: String,
    #[serde(deserialize_with = "or_default")]
    fields: Vec<String>,
}

impl Report {
    /// Returns the values of load reports in answers; none if reports come only in probes, which the adapter
    /// never sends.
    fn fields_in_answers(&self) -> impl Iterator<Item = &String> {
        self.fields.iter().filter(|_| self.how == "inline")
    }
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Limits {
    cancel: bool,
    may_duplicate: bool,
    max_retry_after_us: f64,
    retry_after: bool,
    send_cap: Option<usize>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Rules {
    cold_share: f64,
    fall_multiple: f64,
    fall_us: f64,
    warm_after_us: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct FamilyInfo {
    keep_alive_us: f64,
    load_window_us: f64,
    loads_anyway: f64,
    loads_per_request: f64,
    memory_price: f64,
    miss_mode: String,
    #[serde(deserialize_with = "or_default")]
    notes_peers_in_hand: bool,
    orders: bool,
    tells_warm: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Costs {
    cross_zone: f64,
    origin: f64,
}

/// What an instance's settings say of the events that it gets.
#[derive(Clone, Copy, Default)]
pub struct InputSettings {
    /// Whether `remark % 8` reports what the request found.
    pub reports_found: bool,
    /// Whether `remark / 8` is the number of requests for the function at the worker.
    pub reports_crowd: bool,
    /// Whether `units` of a listed worker are its size.
    pub units_are_sizes: bool,
}

impl Config {
    pub fn input_settings(&self) -> InputSettings {
        InputSettings {
            reports_found: self.family_info.tells_warm,
            reports_crowd: self.family_info.notes_peers_in_hand,
            units_are_sizes: matches!(self.weight_source.as_str(), "nominal" | "rough"),
        }
    }

    pub fn settings(&self) -> api::Settings {
        let family_info = &self.family_info;
        api::Settings {
            dispatcher_count: self.balancers,
            own_index: self.me,
            own_zone: self.my_zone,
            classes: self.lanes.iter().map(class).collect(),
            tenant_quotas: self.orgs.iter().map(|org| org.quota_per_s).collect(),
            over_share_worth: self.over_share_worth.unwrap_or(1.0),
            report_fields: self.report.fields_in_answers().map(|name| report_field(name)).collect(),
            max_attempts: self.limits.send_cap.unwrap_or(1),
            may_duplicate: self.limits.may_duplicate,
            may_cancel: self.limits.cancel,
            max_retry_after: if self.limits.retry_after { self.limits.max_retry_after_us as u64 } else { 0 },
            min_batch_interval: self.tick_us,
            cold_share: self.rules.cold_share,
            warm_after: self.rules.warm_after_us as u64,
            fall_multiple: self.rules.fall_multiple,
            fall_window: self.rules.fall_us as u64,
            load_orders_allowed: family_info.orders,
            loads_on_miss: family_info.miss_mode != "miss",
            keep_alive: family_info.keep_alive_us as u64,
            load_window: family_info.load_window_us as u64,
            loads_anyway: family_info.loads_anyway,
            loads_per_request: family_info.loads_per_request,
            cross_zone_price: self.costs.cross_zone,
            fetch_price: self.costs.origin,
            memory_price: family_info.memory_price,
            list_on_request: self.discovery == "on_request",
        }
    }
}

fn class(lane: &Lane) -> api::Class {
    api::Class {
        latency_target: lane.promise_us as u64,
        deadline: lane.deadline_us as u64,
        effect: match lane.effect.as_str() {
            "idempotent" => api::Effect::Idempotent,
            "deduplicated" => api::Effect::Deduplicated,
            _ => api::Effect::AtMostOnce,
        },
        key_scope: match lane.key_scope.as_str() {
            "all" => api::KeyScope::All,
            "zone" => api::KeyScope::Zone,
            _ => api::KeyScope::Cell,
        },
        repeat_window: lane.repeat_window_us as u64,
        credit: lane.credit,
        late_worth: lane.late_worth,
    }
}

fn report_field(name: &str) -> api::ReportField {
    match name {
        "inflight" => api::ReportField::Inflight,
        "queue" => api::ReportField::Queue,
        _ => api::ReportField::Other,
    }
}

fn outcome(status: &str) -> api::Outcome {
    match status {
        "S" => api::Outcome::Ok,
        "E" => api::Outcome::Error,
        "F" => api::Outcome::Full,
        "T" => api::Outcome::Timeout,
        "C" => api::Outcome::ConnectFailed,
        "R" => api::Outcome::Reset,
        "X" => api::Outcome::Cancelled,
        "N" => api::Outcome::NotSent,
        "M" => api::Outcome::Miss,
        _ => api::Outcome::Unknown,
    }
}

fn found(status: &str, remark: u32, settings: InputSettings) -> api::ReplicaStatus {
    match (status, remark % 8) {
        ("S", 1) if settings.reports_found => api::ReplicaStatus::Warm,
        ("S", 2) if settings.reports_found => api::ReplicaStatus::LoadStarted,
        ("S", 3) if settings.reports_found => api::ReplicaStatus::WaitedForLoad,
        ("M" | "E", 4) => api::ReplicaStatus::LoadFailed,
        _ => api::ReplicaStatus::NotReported,
    }
}

fn listing(item: Item, settings: InputSettings) -> api::WorkerEntry {
    api::WorkerEntry {
        worker: item.worker.into(),
        zone: item.failure_domain,
        kind: item.hw,
        cell: item.cohort,
        standing: match item.condition.as_str() {
            "healthy" => api::WorkerStatus::Healthy,
            "deregistered" => api::WorkerStatus::Removed,
            _ => api::WorkerStatus::Draining,
        },
        ready_at: (item.ready_at_us > 0).then_some(item.ready_at_us),
        size: if settings.units_are_sizes { item.units } else { 0.0 },
    }
}

/// Converts a wire event to an event of the library; returns `None` for those that have no counterpart.
pub fn event(body: Body, remarks: InputSettings) -> Option<api::Event> {
    Some(match body {
        Body::Endpoints { how, .. } if how == "refused" => api::Event::ListRefused,
        Body::Endpoints { how, items } => {
            let entries = items.into_iter().map(|item| listing(item, remarks)).collect();
            api::Event::Workers { complete: how != "changes", entries }
        }
        Body::Ask { rid, unit_key, per_copy, org, warm_ms, predicted_us, retry, ttl_us, class } => {
            api::Event::Request {
                id: rid,
                class,
                tenant: org,
                function: unit_key.into(),
                replica_concurrency: per_copy,
                load_time: (warm_ms > 0.0).then_some((warm_ms * 1000.0) as u64),
                work_hint: (predicted_us > 0.0).then_some(predicted_us as u64),
                is_retry: retry,
                time_left: ttl_us,
            }
        }
        Body::Flowing { rid } => api::Event::Streaming { id: rid },
        Body::ClosedAttempt { rid, go, last, lag_us, remark, status, telemetry } => {
            api::Event::AttemptEnded {
                id: rid,
                attempt: go,
                is_final: last,
                outcome: outcome(&status),
                found: found(&status, remark, remarks),
                concurrent_requests: (remarks.reports_crowd && matches!(status.as_str(), "S" | "F"))
                    .then_some(remark / 8),
                latency: lag_us,
                report: telemetry.into_iter().map(|v| v.unwrap_or(f64::NAN)).collect(),
            }
        }
        Body::Aborted { rid } => api::Event::Abandoned { id: rid },
        Body::LoadResult { worker, unit_key, status, lag_us, units_held } => api::Event::Loaded {
            worker: worker.into(),
            function: unit_key.into(),
            outcome: outcome(&status),
            latency: lag_us,
            replicas: units_held,
        },
        Body::Wakeup { cookie } => api::Event::Timer { cookie },
        Body::Spawn { .. } | Body::Stop | Body::Other => return None,
    })
}

/// The actions that result from a batch, in order.
#[derive(Serialize, Default)]
pub struct Reply {
    pub orders: Vec<Order>,
}

/// An action and the instance that it comes from.
#[derive(Serialize)]
pub struct Order {
    i: String,
    #[serde(flatten)]
    body: OrderBody,
}

/// An action, tagged by its `what` key.
#[derive(Serialize)]
#[serde(tag = "what", rename_all = "snake_case")]
enum OrderBody {
    PassOn { rid: u64, worker: api::WorkerId, abandon_at_us: Option<u64> },
    PushBack { rid: u64, come_back_us: u64 },
    ReportFailure { rid: u64 },
    Withdraw { rid: u64, go: usize },
    StartCopy { worker: api::WorkerId, unit_key: api::FunctionId, units_held: u32 },
    SetTimer { alarm_time_us: u64, cookie: u64 },
    Watch { enable: bool },
}

/// Converts an action of the library to the wire format.
pub fn order(instance: &str, action: api::Action) -> Order {
    let body = match action {
        api::Action::Send { id, worker, deadline: until } => {
            OrderBody::PassOn { rid: id, worker, abandon_at_us: until }
        }
        api::Action::Refuse { id, retry_after } => OrderBody::PushBack { rid: id, come_back_us: retry_after },
        api::Action::Fail { id } => OrderBody::ReportFailure { rid: id },
        api::Action::Cancel { id, attempt } => OrderBody::Withdraw { rid: id, go: attempt },
        api::Action::Load { worker, function, replicas: copies } => {
            OrderBody::StartCopy { worker, unit_key: function, units_held: copies }
        }
        api::Action::Timer { at, cookie } => OrderBody::SetTimer { alarm_time_us: at, cookie },
        api::Action::WatchWorkers => OrderBody::Watch { enable: true },
    };
    Order { i: instance.to_string(), body }
}
