//! The records that a router keeps of workers, functions, classes and requests, and small helpers on them. No
//! request is decided here. `Worker`, `Replica`, `Function` and `ClassEstimates` are handed to the next process, so the
//! order and the serialised names of their fields are fixed. Times are in microseconds.

use super::cold_start::ColdBudget;
use super::hints::{HintExponent, HintMean, WorkHint};
use super::reports::LoadReport;
use super::{DecayingMean, Estimate};
use crate::api::*;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// A worker, whether it is in the current list or not.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(super) struct Worker {
    pub(super) id: WorkerId,
    pub(super) zone: usize,
    pub(super) cell: usize,
    /// Healthy by the list: requests may be sent there.
    pub(super) up: bool,
    pub(super) listed: bool,
    /// When its process last started, if that is not long past.
    pub(super) ready_at: Option<Micros>,
    /// Its replicas, by the slot of their function.
    #[serde(rename = "marks")]
    pub(super) replicas: BTreeMap<usize, Replica>,
    /// Open attempts there: the request, and the number of the attempt.
    #[serde(rename = "open")]
    pub(super) open_attempts: Vec<(RequestId, usize)>,
    /// Observed over predicted times. Above 1 for slow machines and for queues fed by other routers.
    #[serde(rename = "slow")]
    pub(super) slowness: DecayingMean,
    /// The share of lost attempts, by class.
    #[serde(rename = "lost")]
    pub(super) losses_by_class: Vec<DecayingMean>,
    /// When it last answered, by class.
    #[serde(rename = "heard")]
    pub(super) last_answer_by_class: Vec<Micros>,
    /// When a connection to it last broke or was refused.
    #[serde(rename = "broke")]
    pub(super) last_broken: Micros,
    /// When it last served a request or reported a miss.
    #[serde(rename = "heard_any")]
    pub(super) last_answer: Micros,
    /// When this router last sent a request there.
    #[serde(rename = "sent")]
    pub(super) last_sent: Micros,
    /// When it last stopped being healthy, by the list.
    #[serde(rename = "fell")]
    pub(super) down_since: Micros,
    /// Its last load report.
    #[serde(default)]
    pub(super) report: LoadReport,
    /// Permits that this router took there since the start of the worker's process.
    #[serde(rename = "turn")]
    pub(super) cold_permits_taken: u64,
    /// While cold: the permits that this router may still take.
    #[serde(default)]
    pub(super) cold_budget: ColdBudget,
    /// Its size relative to other workers'; 0 if unknown.
    #[serde(default)]
    pub(super) size: f64,
    /// Requests that it served, for their rate.
    #[serde(default)]
    pub(super) answers: DecayingMean,
}

/// The assumed state of a function's replicas at a worker.
#[derive(Default, Clone, Copy, Serialize, Deserialize)]
pub(super) struct Replica {
    #[serde(rename = "copies")]
    pub(super) count: u32,
    /// When the load under way began, and when it is expected to end.
    pub(super) loading: Option<(Micros, Micros)>,
    /// When a replica was last used or ordered loaded.
    #[serde(rename = "used")]
    pub(super) last_used: Micros,
    /// When this router last sent a request for it there.
    #[serde(rename = "asked")]
    pub(super) last_requested: Micros,
    /// Open attempts of this router.
    #[serde(rename = "own")]
    pub(super) own_in_flight: u32,
    /// Requests of other routers for the function, by the last answer.
    #[serde(rename = "others")]
    pub(super) others_in_flight: f64,
}

/// A function that was requested.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(super) struct Function {
    pub(super) id: FunctionId,
    pub(super) class: usize,
    /// Requests that one replica runs at a time.
    pub(super) lanes: f64,
    /// Load time given by requests.
    #[serde(rename = "told_load")]
    pub(super) stated_load_time: Option<f64>,
    /// Learned load time.
    #[serde(rename = "load")]
    pub(super) load_time: Option<f64>,
    /// Learned run time.
    #[serde(rename = "run")]
    pub(super) run_time: f64,
    /// Answers that the run time was learned from.
    #[serde(rename = "answers")]
    pub(super) answer_count: u32,
    /// The usual hint of its requests.
    #[serde(default)]
    #[serde(rename = "hinted")]
    pub(super) usual_hint: HintMean,
    /// Whether any request for it was served.
    pub(super) served: bool,
    /// Requests for it at this router.
    #[serde(rename = "seen")]
    pub(super) request_rate: DecayingMean,
    /// Whether a replica was found at homes where this router had observed none.
    #[serde(rename = "found")]
    pub(super) home_hits: DecayingMean,
    /// The first workers in its order of preference, which all dispatchers share.
    #[serde(skip)]
    pub(super) preferred_workers: Vec<u32>,
    /// The version of the ring that `preferred` was taken from.
    #[serde(skip)]
    pub(super) preferred_version: u64,
    /// Workers that have a mark for it.
    #[serde(skip)]
    pub(super) holders: Vec<u32>,
    /// Requests for it under way at this router.
    #[serde(skip)]
    pub(super) in_flight: u32,
    /// Requests for it running or waiting at all its homes together, as estimated from answers.
    #[serde(rename = "crowd")]
    pub(super) concurrency: DecayingMean,
}

/// What is learned for a class over all its functions.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(super) struct ClassEstimates {
    /// Learned run time.
    #[serde(rename = "run")]
    pub(super) run_time: f64,
    /// Learned load time.
    #[serde(rename = "load")]
    pub(super) load_time: Option<f64>,
    /// Whether a replica was found at homes where this router had observed none.
    #[serde(rename = "found")]
    pub(super) home_hits: DecayingMean,
    /// Concurrency of a function of the class, as in [`Function`].
    #[serde(rename = "crowd")]
    pub(super) concurrency: DecayingMean,
    /// The usual hint of its requests.
    #[serde(default)]
    #[serde(rename = "hinted")]
    pub(super) usual_hint: HintMean,
    /// How well hints predict run times.
    #[serde(default, rename = "power")]
    pub(super) hint_power: HintExponent,
    /// The share of its aim within which a request must be expected to finish, loads aside.
    #[serde(rename = "queue")]
    pub(super) queue_aim_share: f64,
}

/// One send of a request.
pub(super) struct Attempt {
    /// The prediction by which its worker was chosen.
    pub(super) estimate: Estimate,
    pub(super) sent_at: Micros,
    /// No outcome has arrived yet.
    pub(super) open: bool,
    pub(super) may_have_run: bool,
    /// The worker was full.
    pub(super) rejected: bool,
    /// Open for so long that it counts as lost.
    pub(super) presumed_lost: bool,
}

/// A request under way.
#[derive(Default)]
pub(super) struct Request {
    pub(super) class: usize,
    pub(super) tenant: usize,
    /// The settings of its class when it arrived.
    pub(super) class_settings: Class,
    /// The attempts allowed when it arrived.
    pub(super) max_attempts: usize,
    /// The slot of its function.
    pub(super) function: usize,
    /// Its hint, as weighed on arrival.
    pub(super) size: WorkHint,
    /// Its tenant's quota was exhausted when it arrived.
    pub(super) over_quota: bool,
    pub(super) deadline: Micros,
    /// Answered, refused, failed or abandoned; attempts may still be open.
    pub(super) ended: bool,
    /// The client is receiving a streamed answer.
    pub(super) streaming: bool,
    pub(super) attempts: Vec<Attempt>,
}

impl Worker {
    /// Records that a connection broke or was `refused`. A broken connection alone does not mean that the
    /// process has died and its replicas are gone. That is assumed only if a new connection is refused after
    /// it, without an answer in between.
    pub(super) fn connection_failed(&mut self, now: Micros, refused: bool) {
        if refused && self.last_broken > self.last_answer && self.last_broken < now {
            self.forget_replicas();
        }
        self.last_broken = now;
    }

    /// Assumes that no replica is loaded there any more. Open attempts stay counted.
    pub(super) fn forget_replicas(&mut self) {
        self.replicas
            .values_mut()
            .for_each(|m| *m = Replica { own_in_flight: m.own_in_flight, ..Replica::default() });
    }
}

/// Replaces out-of-range settings, so that no estimate divides by zero or overflows.
pub(super) fn sanitized(mut settings: Settings) -> Settings {
    settings.dispatcher_count = settings.dispatcher_count.max(1);
    settings.keep_alive = settings.keep_alive.max(1);
    settings.cold_share = settings.cold_share.clamp(0.05, 1.0);
    settings.max_attempts = settings.max_attempts.max(1);
    settings.classes.iter_mut().for_each(|c| c.latency_target = c.latency_target.max(1));
    settings
}

/// Returns the rendezvous hash of a worker for a function, the same at all routers. The highest is preferred.
pub(super) fn rendezvous(function: &FunctionId, worker: &WorkerId) -> u64 {
    let mut hasher = SipHasher13::new();
    function.as_bytes().hash(&mut hasher);
    worker.as_bytes().hash(&mut hasher);
    hasher.finish()
}

/// Returns the mark of a function at a worker. Creates an empty one, and lists the worker as a holder, if
/// there is none.
pub(super) fn replica_mut<'a>(
    worker: &'a mut Worker,
    worker_slot: usize,
    function: &mut Function,
    function_slot: usize,
) -> &'a mut Replica {
    worker.replicas.entry(function_slot).or_insert_with(|| {
        function.holders.push(worker_slot as u32);
        Replica::default()
    })
}
