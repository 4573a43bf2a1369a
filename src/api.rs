//! The interface between a router and its host: settings, events and actions.
//!
//! This module defines types only. The host passes [`Event`]s to the router and carries out the [`Action`]s
//! that it returns. Times are microseconds on the host's clock; durations are microseconds too.

use std::sync::Arc;

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
/// Identifies a request; unique over the lifetime of the router.
pub type RequestId = u64;
/// Identifies a worker; an opaque value that encodes no zone, machine kind or age.
pub type WorkerId = Arc<str>;
/// Identifies a function.
pub type FunctionId = Arc<str>;

/// The delivery guarantee of a class: how often a request may take effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Running a request repeatedly is harmless.
    Idempotent,
    /// Workers within a [`KeyScope`] drop repeats of a key until the repeat window ends.
    Deduplicated,
    /// At most one attempt may ever run.
    #[default]
    AtMostOnce,
}

/// The set of workers that share deduplication state for a keyed request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum KeyScope {
    /// All workers.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    #[default]
    Cell,
}

/// A class of requests with its latency objective, delivery guarantee and value.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Class {
    /// The latency objective: an answer within this time earns the full value.
    pub latency_target: Micros,
    /// The time after which the client stops waiting.
    pub deadline: Micros,
    /// The delivery guarantee.
    pub effect: Effect,
    /// Which workers drop repeats, for deduplicated classes.
    pub key_scope: KeyScope,
    /// How long repeats are dropped, counted from the first attempt that may have run.
    pub repeat_window: Micros,
    /// The value of one request.
    pub credit: f64,
    /// The fraction of the value that an answer after the latency objective still earns.
    pub late_worth: f64,
}

/// The meaning of one value in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Requests in progress or queued at the worker.
    Inflight,
    /// Requests queued at the worker.
    Queue,
    /// A value that the router ignores.
    Other,
}

/// The configuration of a router.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of routers in this tier.
    pub dispatcher_count: usize,
    /// Index of this router among them, from 0.
    pub own_index: usize,
    /// The zone of this router.
    pub own_zone: usize,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// Quota of each tenant in requests per second, summed over all routers.
    pub tenant_quotas: Vec<f64>,
    /// The fraction of its value that a request above its tenant's quota keeps.
    pub over_share_worth: f64,
    /// The meaning of each value in a load report, in order.
    pub report_fields: Vec<ReportField>,
    /// Maximum number of attempts per request.
    pub max_attempts: usize,
    /// Whether two attempts of a request may be in flight at once (hedged requests).
    pub may_duplicate: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// The longest retry-after that clients honour; 0 if refusals carry none.
    pub max_retry_after: Micros,
    /// The minimum time between two batches of events.
    pub min_batch_interval: Micros,
    /// The minimum fraction of its capacity that a worker has at its start.
    pub cold_share: f64,
    /// The time after its start at which a worker has full capacity at the latest.
    pub warm_after: Micros,
    /// A worker in cold start fails if it receives more than this multiple of its present capacity throughout
    /// `fall_window`.
    pub fall_multiple: f64,
    /// How long that overload lasts before the worker fails.
    pub fall_window: Micros,
    /// Whether the router may order workers to load and unload functions.
    pub load_orders_allowed: bool,
    /// Whether a worker without the function loads it while the request waits; otherwise it answers with a
    /// miss.
    pub loads_on_miss: bool,
    /// The minimum time for which an idle replica stays loaded.
    pub keep_alive: Micros,
    /// The window of the rate limit on loads; 0 if loads are not limited.
    pub load_window: Micros,
    /// Loads allowed in each window regardless of traffic.
    pub loads_anyway: f64,
    /// Additional loads allowed per request accepted in the window.
    pub loads_per_request: f64,
    /// The cost of an attempt that crosses zones, relative to the value of a request.
    pub cross_zone_price: f64,
    /// The cost of a fetch from the store, relative to the value of a request.
    pub fetch_price: f64,
    /// The cost of the memory held by idle replicas.
    pub memory_price: f64,
    /// Whether the worker list is sent only on request ([`Action::WatchWorkers`]).
    pub list_on_request: bool,
}

/// The state of a worker according to the worker list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerStatus {
    /// Accepts requests.
    Healthy,
    /// Draining: must receive no new requests.
    Draining,
    /// Removed from the list.
    Removed,
}

/// One entry of the worker list.
#[derive(Clone, Debug)]
pub struct WorkerEntry {
    /// The worker.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: usize,
    /// Its machine kind.
    pub kind: usize,
    /// Its cell.
    pub cell: usize,
    /// Its listed state.
    pub standing: WorkerStatus,
    /// When its process last started, if that was recent.
    pub ready_at: Option<Micros>,
    /// Its size relative to other workers', in any unit; 0 if unknown.
    pub size: f64,
}

/// The result of an attempt, a probe or a load order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request was served, or the replicas are loaded.
    Ok,
    /// The worker answered with an error; the request may have run.
    Error,
    /// The worker was full and rejected the request before running any of it.
    Full,
    /// No answer came in time; the request may have run or may still run.
    Timeout,
    /// No connection could be established; the request never ran.
    ConnectFailed,
    /// The connection broke; the request may have run.
    Reset,
    /// The attempt was cancelled; the request may have run.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
    /// The function is not loaded on the worker; the request never ran.
    Miss,
    /// The status is unknown to the router; the request may have run.
    Unknown,
}

/// What an answer reports about the replica that handled the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaStatus {
    /// Nothing was reported.
    NotReported,
    /// A replica was already loaded.
    Warm,
    /// The request started a load.
    LoadStarted,
    /// The request waited for a load already in progress.
    WaitedForLoad,
    /// The load that the request waited for failed.
    LoadFailed,
}

/// An input to the router.
#[derive(Clone, Debug)]
pub enum Event {
    /// The worker list, either complete or as a set of changes.
    Workers {
        /// Whether the list is complete: workers absent from it have been removed.
        complete: bool,
        /// Its entries.
        entries: Vec<WorkerEntry>,
    },
    /// The request for the worker list failed.
    ListRefused,
    /// A new request; the router owes it exactly one final answer.
    Request {
        /// The request.
        id: RequestId,
        /// Its class.
        class: usize,
        /// Its tenant.
        tenant: usize,
        /// Its function.
        function: FunctionId,
        /// The number of requests that one replica runs concurrently.
        replica_concurrency: f64,
        /// The typical load time, if known.
        load_time: Option<Micros>,
        /// A rough prediction of its run time, if known.
        work_hint: Option<Micros>,
        /// Whether the request is a client's retry, where clients mark retries; its first try was already
        /// counted against the tenant's quota.
        is_retry: bool,
        /// The time until the client stops waiting.
        time_left: Micros,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The index of the attempt, from 0.
        attempt: usize,
        /// Whether the request has ended.
        is_final: bool,
        /// How the attempt ended.
        outcome: Outcome,
        /// What the answer reports about the replica.
        found: ReplicaStatus,
        /// The number of requests for the function at the worker, if reported.
        concurrent_requests: Option<u32>,
        /// Time since the send.
        latency: Micros,
        /// The load report of the answer; empty if there is none.
        report: Vec<f64>,
    },
    /// The answer of a streamed class has begun: the router starts no further attempt of the request.
    Streaming {
        /// The request.
        id: RequestId,
    },
    /// A load order ended.
    Loaded {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// The result of the order.
        outcome: Outcome,
        /// Time since the order.
        latency: Micros,
        /// The number of replicas now loaded on the worker.
        replicas: u32,
    },
    /// The client has disconnected, or the request's deadline has passed.
    Abandoned {
        /// The request.
        id: RequestId,
    },
    /// A timer has expired.
    Timer {
        /// The value that the router gave with the timer.
        cookie: u64,
    },
}

/// An output of the router, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a worker. Attempts are numbered in the order of their `Send` actions.
    Send {
        /// The request.
        id: RequestId,
        /// The worker.
        worker: WorkerId,
        /// The deadline of the attempt; `None` means the deadline of the request.
        deadline: Option<Micros>,
    },
    /// Refuse the request; a retry is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it retries; 0 gives no advice.
        retry_after: Micros,
    },
    /// Fail the request; whether it took effect is unspecified.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The index of the attempt.
        attempt: usize,
    },
    /// Order a worker to keep at least `replicas` replicas loaded; 0 only queries how many are loaded.
    Load {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// The minimum number of replicas.
        replicas: u32,
    },
    /// Set a timer that wakes the router.
    Timer {
        /// When the timer expires.
        at: Micros,
        /// The value that the router gave with the timer.
        cookie: u64,
    },
    /// Subscribe to changes of the worker list.
    WatchWorkers,
}
