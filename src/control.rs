//! The decisions of a router; its interface (settings, events, actions) is src/api.rs.
//!
//! The policy is smallest estimated completion time: a request goes to the worker with the smallest predicted
//! finish (load time if its replica of the function is not known to be warm, plus own pending work there, plus
//! the learned run time). It is refused at once when even that exceeds the time left. Everything else here
//! feeds that estimate, excludes workers from it, or keeps replicas loaded.
//!
//! The first workers of a function in an order of preference that all routers share are its homes. A router
//! sends there even without knowing of a replica, because other routers probably keep one loaded.
//!
//! No I/O and no clock: the time comes with each event. All tables are bounded (`Router::sizes`).

mod budget;
mod candidates;
mod cold_start;
mod evidence;
mod fleet;
mod functions;
mod hints;
mod learned;
mod preference;
mod renewal;
mod reports;
mod slots;
mod tables;

use crate::api::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

pub use budget::{Budget, Tokens, ZoneGate};
use candidates::{ChoiceInputs, MAX_RENDEZVOUS_WORKERS, Rank, Search, min_by_key, min_key};
use cold_start::ColdBudget;
pub use cold_start::{BudgetDivision, ColdStartPhase, ColdStartReport};
use evidence::DecayingMean;
use fleet::FleetSums;
use functions::FunctionTable;
pub use functions::{DEFAULT_FUNCTION_BYTES, MIN_FUNCTION_BYTES};
use hints::WorkHint;
pub use learned::LearnedState;
use preference::PreferenceRing;
use renewal::{RenewalQueue, ReplicaUse, pop_expired};
use reports::{LoadReport, ReportFields};
pub use slots::{DecisionCounters, TableSizes};
use tables::{Attempt, ClassEstimates, Function, Replica, Request, Worker, replica_mut, sanitized};

// ---- Learning of run times, load times and losses ----

/// Expected run time of a class before any answer, as a share of its aim: aims leave room for waits.
const PRIOR_RUN_AIM_SHARE: f64 = 0.25;
/// Load time where none is given or learned.
const PRIOR_LOAD_US: f64 = 1_000_000.0;
/// Weight of a new answer in the run time of a function and of a class. Small, since run times change less
/// than workers do.
const RUN_TIME_LEARNING_RATE: f64 = 0.03;
/// The prior expectation of a worker or function weighs as much as this many answers: run times vary, so that
/// the first few answers say little.
const PRIOR_SAMPLES: f64 = 3.0;
/// At most this many answers of a worker are weighed, so that one that turns slow is noticed quickly.
const MAX_WORKER_SAMPLES: f64 = 10.0;
/// Weight of a new load in the load time of a function and of a class.
const LOAD_TIME_LEARNING_RATE: f64 = 0.25;
/// An answer counts as at most this multiple of the expected time, so that one outlier cannot ruin an
/// estimate.
const MAX_ERROR_RATIO: f64 = 4.0;
/// An answer in less than this share of the expected load time cannot include a whole load.
const MIN_LOAD_TIME_SHARE: f64 = 0.3;
/// Half-life of observations, as a share of the keep-alive: workers and the store recover.
const HALF_LIFE_KEEP_ALIVE_SHARE: f64 = 0.5;
/// Shortest half-life. With a shorter one, a rate taken from a single recent answer would be absurdly high.
const MIN_HALF_LIFE_US: f64 = 1_000_000.0;
/// An unknown outcome and a rejection count as this share of a lost answer, because the worker does run.
const UNKNOWN_OUTCOME_LOSS: f64 = 0.3;
const REJECTION_LOSS: f64 = 0.25;
/// At most this many attempts in a zone are weighed when judging whether it is lost; only the share of
/// failures beyond the threshold counts against its workers.
const MAX_ZONE_SAMPLES: f64 = 5.0;
const ZONE_LOSS_THRESHOLD: f64 = 0.4;
/// Probability, before any answer, that other routers keep a function warm at its homes.
const PRIOR_HOME_HIT_PROBABILITY: f64 = 0.5;

// ---- Which replicas exist ----

/// An idle replica counts as warm for this share of the keep-alive: clocks differ and messages are late.
const WARM_KEEP_ALIVE_SHARE: f64 = 0.95;
/// A load counts as under way for this multiple of its expected time.
const LOAD_TIMEOUT_FACTOR: f64 = 4.0;

// ---- Choice of a worker ----

/// Cold workers whose estimates differ by less than this multiple of a load time are tied; the tie is broken
/// by an order of preference that all routers share. The range is narrower where workers report their load.
const COLD_TIE_LOAD_TIMES: f64 = 2.0;
const COLD_TIE_LOAD_TIMES_REPORTED: f64 = 1.0;
/// Estimates of warm workers are randomized by up to this share of a run: one router of many sees little of
/// the load, and sees it late.
const VIEW_ERROR_RUN_SHARE: f64 = 0.5;
/// Multiplier on the price of crossing zones: an answer that comes a little later earns no less, so the price
/// weighs more than the time that it equals.
const CROSSING_PRICE_FACTOR: f64 = 10.0;
/// Concurrent requests per lane that one replica is meant to carry. Beyond that, the function gets one more
/// home.
const TARGET_LANE_USE: f64 = 0.3;
/// The same for a router that sees little of the traffic. It guesses the number of homes badly, and all
/// routers together hold as many replicas as the highest guess asks for, so it fills replicas further.
const TARGET_LANE_USE_SPARSE: f64 = 0.6;
/// The same where workers report the requests they hold: the load from other routers is visible, and loading
/// a replica costs more than a short wait.
const TARGET_LANE_USE_REPORTED: f64 = 1.2;
/// Concurrent requests that a worker is assumed to run, whatever one replica does, where workers report the
/// requests they hold. Pending work is divided by it.
const WORKER_CONCURRENCY_REPORTED: f64 = 3.0;
/// Share of a run that is left, on average, of each request that a worker reports for other routers. Evenly
/// spread arrivals would leave half; uneven ones leave more.
const REMAINING_RUN_SHARE: f64 = 0.7;
/// Without a fresh load report, one own request in flight at a worker stands for up to this many of other
/// routers.
const MAX_UNSEEN_PER_OWN: f64 = 2.0;
/// Requests per worker within the window at which a router counts as seeing half of what it would need to.
const HALF_SIGHT_REQUESTS_PER_WORKER: f64 = 4.0;
/// Waits and runs within this share of an aim do not count as queueing. A request beyond its tenant's quota
/// may spend no more than this.
const IDLE_AIM_SHARE: f64 = 0.4;

// ---- Cold workers ----

/// The usual capacity of a cold worker, as a share of full capacity, is the guaranteed share raised to this
/// power.
const COLD_CAPACITY_EXPONENT: f64 = 0.5;

// ---- Resends, hedged requests and quotas ----

/// An attempt may be hedged or cancelled after this multiple of its expected time, when ordinary long work is
/// past.
const HEDGE_DELAY_FACTOR: f64 = 5.0;
/// An attempt counts as lost after this multiple of its expected time.
const LOST_DELAY_FACTOR: f64 = 6.0;
/// Resend tokens that a resend costs where the attempt before it is known not to have run; otherwise it costs
/// 1.
const UNRUN_RESEND_COST: f64 = 0.3;
/// Tokens that each request adds to the resend budget and to the hedge budget: resends after failures and
/// hedged requests are at most these shares of all requests.
const RESEND_SHARE: f64 = 0.1;
const HEDGE_SHARE: f64 = 0.05;
/// Upper bound of each of the two budgets.
const MAX_TOKENS: f64 = 10.0;
/// Share of the repeat window of a keyed class that is used: clocks differ and messages are late.
const REPEAT_WINDOW_SHARE: f64 = 0.8;
/// A tenant's unused quota accumulates for this long, so that an uneven stream within the quota is not
/// refused.
const QUOTA_BURST_US: f64 = 1_000_000.0;
/// Upper bound of the refused requests that are remembered for each tenant.
const MAX_REFUSALS_REMEMBERED: f64 = 1_000.0;

// ---- Replicas kept loaded ----

/// An idle replica is renewed after this share of the keep-alive.
const RENEW_KEEP_ALIVE_SHARE: f64 = 0.75;
/// A replica that this router has not used for this many keep-alives is no longer renewed.
const RENEWAL_MAX_UNUSED_KEEP_ALIVES: f64 = 3.0;
/// Replicas that other routers use this often per keep-alive need no renewal: with random arrivals only one in
/// twenty goes unused for a whole keep-alive (e^-3).
const MIN_PEER_USES_PER_KEEP_ALIVE: f64 = 3.0;
/// Where loads are not rationed, requests within this share of the keep-alive show how much this router sees.
const SIGHT_KEEP_ALIVE_SHARE: f64 = 0.5;
/// Share of the ration of loads that is used: clocks differ.
const LOAD_RATION_SHARE: f64 = 0.9;
/// A function without a request for this many keep-alives is kept as a compact record.
const DORMANT_AFTER_KEEP_ALIVES: f64 = 8.0;

/// The predicted completion of a request at one worker. Times are in microseconds.
#[derive(Clone, Copy)]
struct Estimate {
    worker: usize,
    /// Predicted time until the answer.
    total: f64,
    /// Added to `total` when workers are compared, for the probability of a loss and the price of crossing
    /// zones. It never causes a refusal.
    risk_penalty: f64,
    /// The part of `total` spent on a load, whether this request starts it or waits for it.
    load_wait: f64,
    run_time: f64,
    /// Run time relative to a usual request, by the client's hint. What it adds to the run is not queueing.
    work_factor: f64,
    /// The function would have to be loaded, more probably than not.
    cold: bool,
    /// The worker is a home where this router has observed no replica, but other routers may keep one.
    unobserved: bool,
    /// The total if a replica is loaded.
    total_if_warm: f64,
    /// The total if the replica has to be loaded.
    total_if_cold: f64,
    /// The worker's budget in slow start once this request is sent.
    cold_budget: ColdBudget,
    /// This router has no request in flight there and has sent none for a while.
    idle: bool,
}

impl Estimate {
    /// Returns the value by which workers are compared.
    fn key(&self) -> f64 {
        self.total + self.risk_penalty
    }

    /// Returns what a usual request would take with queues, slowness and a slow store, but without the usual
    /// time of a load.
    fn total_without_load(&self) -> f64 {
        self.total - self.load_wait - (self.run_time - self.run_time / self.work_factor)
    }

    /// Returns the more probable of the two totals: a replica that probably exists needs no time to load.
    fn probable_total(&self) -> f64 {
        if self.unobserved && !self.cold { self.total_if_warm } else { self.total }
    }
}

/// This router's part of a tenant's quota, as a token bucket.
struct TenantQuota {
    /// Requests that may still be taken within the quota, as of `updated_at`.
    tokens: f64,
    updated_at: Micros,
    /// Requests refused by this router; as many retries are not charged again.
    refused: f64,
}

/// One dispatcher's decision logic.
pub struct Router {
    settings: Settings,
    report_fields: ReportFields,
    rng: Pcg32,
    now: Micros,
    /// Half-life of observations, in microseconds.
    half_life_us: f64,
    workers: Vec<Worker>,
    worker_ids: HashMap<WorkerId, usize>,
    /// Slots of workers that are not listed.
    unlisted: BTreeSet<usize>,
    fleet: FleetSums,
    ring: PreferenceRing,
    /// Whether the order of preference is by rendezvous hashing over all workers, as it is with up to
    /// `most_ranked` listed workers. Larger fleets use the ring.
    uses_rendezvous: bool,
    max_rendezvous_workers: usize,
    functions: FunctionTable,
    renewals: RenewalQueue,
    /// Whether every choice estimates every worker. For tests and benchmarks only.
    exhaustive_search: bool,
    requests: BTreeMap<RequestId, Request>,
    /// What is learned for each class.
    class_estimates: Vec<ClassEstimates>,
    /// Recent losses in each zone over all its workers: 0 is an answer, 1 a loss.
    zone_losses: BTreeMap<usize, DecayingMean>,
    /// Observed load times over expected ones: the slowness of the store.
    store_slowness: DecayingMean,
    /// How little of each worker's load this router sees, from 0 (enough) to 1 (nothing). The more it sees,
    /// the less it infers from other workers.
    sparsity: f64,
    counters: DecisionCounters,
    /// How a cold worker's budget is divided, if not by the settings.
    division: Option<BudgetDivision>,
    /// The rate at which each warm worker has served this router's requests, per microsecond, while any was warm.
    served_per_worker: f64,
    /// The mean size of the warm workers, while any was warm.
    mean_worker_size: f64,
    /// Reports of cold starts that the host has not collected yet.
    cold_start_reports: Vec<ColdStartReport>,
    budget: Budget,
    resend_tokens: f64,
    hedge_tokens: f64,
    /// Times of the requests taken and the loads ordered within the ration's window.
    recent_requests: VecDeque<Micros>,
    recent_load_orders: VecDeque<Micros>,
    /// When replicas were last checked for renewal.
    renewals_checked_at: Micros,
    tenant_quotas: Vec<TenantQuota>,
}

impl Router {
    /// Creates a router with these settings and nothing learned.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Router {
        let mut router = Router {
            settings: settings.clone(),
            report_fields: ReportFields::default(),
            half_life_us: 1.0,
            rng: Pcg32::seed_from_u64(seed),
            now,
            workers: Vec::new(),
            worker_ids: HashMap::new(),
            unlisted: BTreeSet::new(),
            fleet: FleetSums::default(),
            ring: PreferenceRing::default(),
            uses_rendezvous: true,
            max_rendezvous_workers: MAX_RENDEZVOUS_WORKERS,
            functions: FunctionTable::new(DEFAULT_FUNCTION_BYTES),
            renewals: RenewalQueue::default(),
            exhaustive_search: false,
            requests: BTreeMap::new(),
            class_estimates: Vec::new(),
            zone_losses: BTreeMap::new(),
            store_slowness: DecayingMean::default(),
            sparsity: 1.0,
            counters: DecisionCounters::default(),
            division: None,
            served_per_worker: 0.0,
            mean_worker_size: 0.0,
            cold_start_reports: Vec::new(),
            budget: Budget::default(),
            resend_tokens: MAX_TOKENS,
            hedge_tokens: MAX_TOKENS,
            recent_requests: VecDeque::new(),
            recent_load_orders: VecDeque::new(),
            renewals_checked_at: 0,
            tenant_quotas: Vec::new(),
        };
        router.configure(settings, &[]);
        router
    }

    /// Returns the number of workers, of functions known in full, and of requests in its tables.
    pub fn entry_counts(&self) -> (usize, usize, usize) {
        (self.workers.len(), self.functions.counts().0, self.requests.len())
    }

    /// Records that a connection to a worker was refused although no attempt was sent there, as by a probe.
    pub fn probe_failed(&mut self, now: Micros, worker: &WorkerId) {
        if let Some(slot) = self.worker_ids.get(worker) {
            self.workers[*slot].connection_failed(now, true);
        }
    }

    /// Applies new settings. What was learned of a class stays with its index unless that is in `fresh`.
    /// Requests under way keep the rules that their class had when they arrived.
    pub fn configure(&mut self, settings: Settings, fresh: &[usize]) {
        let settings = sanitized(settings);
        self.half_life_us = (HALF_LIFE_KEEP_ALIVE_SHARE * settings.keep_alive as f64).max(MIN_HALF_LIFE_US);
        let highest_credit = settings.classes.iter().map(|c| c.credit).fold(f64::MIN_POSITIVE, f64::max);
        let mut old_pools = std::mem::take(&mut self.class_estimates);
        for (index, class) in settings.classes.iter().enumerate() {
            let inputs = old_pools.get_mut(index).filter(|_| !fresh.contains(&index)).map(std::mem::take);
            let initial = || ClassEstimates {
                run_time: class.latency_target as f64 * PRIOR_RUN_AIM_SHARE,
                ..ClassEstimates::default()
            };
            let worth = (class.credit / highest_credit).clamp(0.0, 1.0);
            let queue_aim_share = IDLE_AIM_SHARE + (1.0 - IDLE_AIM_SHARE) * worth.sqrt();
            self.class_estimates.push(ClassEstimates { queue_aim_share, ..inputs.unwrap_or_else(initial) });
        }
        for worker in &mut self.workers {
            worker.losses_by_class.resize(settings.classes.len(), DecayingMean::default());
            worker.last_answer_by_class.resize(settings.classes.len(), 0);
        }
        let full = |quota: &f64| TenantQuota {
            tokens: quota * QUOTA_BURST_US / 1e6,
            updated_at: self.now,
            refused: 0.0,
        };
        self.tenant_quotas = settings.tenant_quotas.iter().map(full).collect();
        self.report_fields = ReportFields::of(&settings.report_fields);
        self.settings = settings;
        self.rebuild_indexes();
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.fleet.advance(self.now);
        self.report_ended_cold_starts();
        match event {
            Event::Workers { complete, entries } => self.apply_worker_list(*complete, entries, out),
            Event::ListRefused if self.settings.list_on_request => out.push(Action::WatchWorkers),
            Event::Loaded { worker, function, outcome: Outcome::Full | Outcome::Error, replicas, .. } => {
                let slots = self.worker_ids.get(worker).zip(self.functions.slot(function));
                if let Some(replica) = slots.and_then(|(w, f)| self.workers[*w].replicas.get_mut(&f)) {
                    (replica.count, replica.loading) = (*replicas, None);
                }
            }
            Event::ListRefused | Event::Loaded { .. } => {}
            Event::Request {
                id,
                class,
                tenant,
                function,
                replica_concurrency: lanes,
                load_time,
                work_hint: work,
                is_retry: again,
                time_left,
            } => {
                if *class >= self.settings.classes.len() || self.requests.contains_key(id) {
                    return out.push(Action::Refuse { id: *id, retry_after: 0 });
                }
                let function = self.function_slot(function, *class, *lanes, *load_time);
                let (f, pool) = (&mut self.functions[function], &mut self.class_estimates[*class]);
                let size =
                    WorkHint::estimate(*work, &mut f.usual_hint, &mut pool.usual_hint, pool.hint_power);
                let up = self.fleet.up().max(1) as f64;
                self.sparsity =
                    1.0 / (1.0 + self.recent_requests.len() as f64 / up / HALF_SIGHT_REQUESTS_PER_WORKER);
                let deadline = self.now.saturating_add(*time_left);
                self.resend_tokens = (self.resend_tokens + RESEND_SHARE).min(MAX_TOKENS);
                self.hedge_tokens = (self.hedge_tokens + HEDGE_SHARE).min(MAX_TOKENS);
                let (class, tenant, over_quota) = (*class, *tenant, self.charge_quota(*tenant, *again));
                let (rules, max_attempts) = (self.settings.classes[class], self.settings.max_attempts);
                if *again {
                    self.budget.count_client_retry();
                }
                let request = Request {
                    class,
                    tenant,
                    class_settings: rules,
                    max_attempts,
                    function,
                    size,
                    over_quota,
                    deadline,
                    ..Request::default()
                };
                self.requests.insert(*id, request);
                self.functions[function].in_flight += 1;
                // Guarantees that the request ends by its deadline even if no other event for it ever
                // arrives.
                out.push(Action::Timer { at: deadline, cookie: *id });
                self.dispatch(*id, out);
                self.functions[function].request_rate.add(self.now, self.half_life_us, 1.0);
                self.renew_replicas(out);
                self.retire_functions();
            }
            Event::AttemptEnded { id, is_final: last, .. } => {
                self.close_attempt(event);
                let Some(request) = self.requests.get_mut(id) else { return };
                request.ended |= *last;
                if request.ended {
                    return self.clean_up(*id, out);
                }
                if request.attempts.iter().all(|a| !a.open) {
                    self.dispatch(*id, out);
                }
            }
            Event::Streaming { id } => {
                self.requests.entry(*id).and_modify(|r| r.streaming = true);
            }
            Event::Abandoned { id } => {
                self.requests.entry(*id).and_modify(|r| r.ended = true);
                self.clean_up(*id, out);
            }
            Event::Timer { cookie } => self.on_timer(*cookie, out),
        }
    }

    // ---- Replicas kept and loaded ahead ----

    /// Orders idle replicas loaded again before their keep-alive runs out, within the ration of loads.
    /// Otherwise they would be unloaded, and the next request would wait for a load.
    fn renew_replicas(&mut self, out: &mut Vec<Action>) {
        self.recent_requests.push_back(self.now);
        if self.settings.load_window == 0 || !self.settings.load_orders_allowed {
            // Without a ration nothing would bound the replicas held: they would displace those that others
            // need, and memory has a price. So none is renewed.
            let since =
                self.now.saturating_sub((SIGHT_KEEP_ALIVE_SHARE * self.settings.keep_alive as f64) as Micros);
            self.renewals.clear();
            return pop_expired(&mut self.recent_requests, |t| t <= since);
        }
        let too_early = self.now < self.renewals_checked_at + self.settings.load_window / 100;
        if too_early {
            return;
        }
        self.renewals_checked_at = self.now;
        let keep_alive = self.settings.keep_alive as f64;
        let workers = &self.workers;
        let is_latest = |used: &ReplicaUse| {
            workers[used.worker].replicas.get(&used.function).is_some_and(|m| m.last_used == used.at)
        };
        let uses: Vec<ReplicaUse> = self
            .renewals
            .due(self.now, keep_alive, (RENEW_KEEP_ALIVE_SHARE, WARM_KEEP_ALIVE_SHARE), is_latest)
            .copied()
            .collect();
        let mut due: Vec<(f64, usize, usize)> = Vec::new();
        for ReplicaUse { worker: worker_slot, function: function_slot, .. } in uses {
            let (worker, function) = (&self.workers[worker_slot], &self.functions[function_slot]);
            let replica = &worker.replicas[&function_slot];
            let unused_keep_alives = (self.now - replica.last_requested) as f64 / keep_alive;
            let idle_replica =
                worker.up && replica.count > 0 && replica.loading.is_none() && replica.own_in_flight == 0;
            if idle_replica && unused_keep_alives < RENEWAL_MAX_UNUSED_KEEP_ALIVES && function.served {
                // If every router renewed the replicas that all of them use, there would be as many load orders
                // as requests. So a replica that the others use often enough is left to them.
                let rate = function.request_rate.rate(self.now, self.half_life_us);
                let peers = (self.settings.dispatcher_count - 1) as f64;
                let peer_uses = peers * (rate * keep_alive).max(1.0 / unused_keep_alives);
                let left_to_peers = peer_uses / self.demand(function).1 >= MIN_PEER_USES_PER_KEEP_ALIVE;
                self.counters.renewals_skipped += u64::from(left_to_peers);
                due.extend((!left_to_peers).then_some((rate, worker_slot, function_slot)));
            }
        }
        due.sort_by(|a, b| b.0.total_cmp(&a.0).then((a.1, a.2).cmp(&(b.1, b.2))));
        let since = self.now.saturating_sub(self.settings.load_window);
        pop_expired(&mut self.recent_requests, |t| t <= since);
        pop_expired(&mut self.recent_load_orders, |t| t < since);
        let ration =
            self.settings.loads_anyway + self.settings.loads_per_request * self.recent_requests.len() as f64;
        let usable_ration = (LOAD_RATION_SHARE * ration) as usize;
        for (_, worker, function) in
            due.into_iter().take(usable_ration.saturating_sub(self.recent_load_orders.len()))
        {
            if !self.budget.take_load_order() {
                break;
            }
            self.recent_load_orders.push_back(self.now);
            let (w, id) = (&mut self.workers[worker], self.functions[function].id.clone());
            w.replicas.entry(function).and_modify(|m| m.last_used = self.now);
            self.renewals.push(ReplicaUse { at: self.now, worker, function });
            out.push(Action::Load { worker: w.id.clone(), function: id, replicas: 1 });
        }
    }

    // ---- Run- and load-time estimates ----

    /// Returns a worker's contribution to the slowness of the fleet: its mean slowness times its weight, and
    /// the weight. The weight is one sample at most, and none for a cold worker.
    fn slowness_sample(&self, worker: &Worker) -> (f64, f64) {
        let cold = self.present_share(worker) < 1.0;
        let weight = if cold {
            0.0
        } else {
            self.sparsity * worker.slowness.samples(self.now, self.half_life_us).min(1.0)
        };
        (weight * worker.slowness.own_mean().unwrap_or(1.0), weight)
    }

    /// Returns the estimated slowness of a worker: observed over expected times. One of many routers observes
    /// few answers of any one worker, so a worker without observations is assumed as slow as its peers. The
    /// colder it is, the less of their queueing is assumed.
    fn slowness(&self, worker: &Worker, peers: (f64, f64)) -> f64 {
        let own = self.slowness_sample(worker);
        let peers = (PRIOR_SAMPLES + peers.0 - own.0) / (PRIOR_SAMPLES + peers.1 - own.1);
        worker.slowness.mean_with_prior(
            self.now,
            self.half_life_us,
            peers.powf(self.present_share(worker)),
            PRIOR_SAMPLES,
        )
    }

    /// Returns the weighted sum of the slowness of all workers, and the sum of the weights.
    fn fleet_slowness(&self) -> (f64, f64) {
        let (sum, weight) = self.fleet.slowness(self.now);
        (self.sparsity * sum, self.sparsity * weight)
    }

    /// Returns the load time of a function while the store works at its usual speed.
    fn base_load_time(&self, function: &Function) -> f64 {
        function
            .stated_load_time
            .or(function.load_time)
            .or(self.class_estimates[function.class].load_time)
            .unwrap_or(PRIOR_LOAD_US)
    }

    /// Returns the expected load time of a function at the present speed of the store.
    fn load_time(&self, function: usize) -> f64 {
        self.base_load_time(&self.functions[function])
            * self.store_slowness.mean_with_prior(self.now, self.half_life_us, 1.0, PRIOR_SAMPLES).max(0.5)
    }

    /// Adjusts a worker's slowness by the relative error of a prediction.
    fn learn_slowness(&mut self, worker: usize, error: f64) {
        self.fleet.advance(self.now);
        let slow = self.slowness(&self.workers[worker], self.fleet_slowness());
        self.workers[worker].slowness.add_limited(
            self.now,
            self.half_life_us,
            slow * (1.0 + error),
            MAX_WORKER_SAMPLES,
        );
        self.fleet.update(worker, &self.workers[worker], self.now);
    }

    /// Updates the run times of the function and its class and the worker's slowness from an answer of a warm
    /// replica.
    fn learn_run_time(&mut self, function: usize, worker: usize, took: f64, expected: f64) {
        let error = (took / expected.max(1.0)).min(MAX_ERROR_RATIO) - 1.0;
        self.learn_slowness(worker, error);
        let f = &mut self.functions[function];
        f.answer_count += 1;
        // A large excess is a queue at the worker and says nothing about the function, whose run time would
        // otherwise grow with every queue. So the error is capped here.
        let error = error.min(1.0);
        f.run_time += (1.0 / (f64::from(f.answer_count) + PRIOR_SAMPLES)).max(RUN_TIME_LEARNING_RATE)
            * f.run_time
            * error;
        let class = &mut self.class_estimates[f.class].run_time;
        *class += RUN_TIME_LEARNING_RATE * (f.run_time - *class);
    }

    /// Updates the load times of the function and its class and the slowness of the store from a load that
    /// one of this router's requests started. A far shorter time than expected was not a whole load and is
    /// ignored.
    fn learn_load_time(&mut self, function: usize, took: f64) {
        let base = self.base_load_time(&self.functions[function]);
        if took < MIN_LOAD_TIME_SHARE * base {
            return;
        }
        let store = self.store_slowness.mean_with_prior(self.now, self.half_life_us, 1.0, PRIOR_SAMPLES);
        let f = &mut self.functions[function];
        if f.stated_load_time.or(f.load_time).is_some() {
            self.store_slowness.add(self.now, self.half_life_us, (took / base).min(MAX_ERROR_RATIO));
        }
        let sample = took / store.max(1.0);
        let load = f.load_time.unwrap_or(sample);
        f.load_time = Some(load + LOAD_TIME_LEARNING_RATE * (sample - load));
        let class = self.class_estimates[f.class].load_time.unwrap_or(sample);
        self.class_estimates[f.class].load_time = Some(class + LOAD_TIME_LEARNING_RATE * (sample - class));
    }

    // ---- Requests and attempts: which sends are allowed ----

    /// Returns whether the request may be sent to the worker now. Every send is checked here.
    fn may_send(&self, request: &Request, worker: usize) -> bool {
        let (class, target) = (&request.class_settings, &self.workers[worker]);
        let over = request.ended || request.streaming || self.now >= request.deadline;
        let blocks = |a: &Attempt| a.open && (!self.settings.may_duplicate || a.estimate.worker == worker);
        let exhausted = request.attempts.len() >= request.max_attempts.min(self.settings.max_attempts);
        let allowed = !over && target.up && !exhausted && self.budget.allows(target);
        if !allowed || request.attempts.iter().any(blocks) {
            return false;
        }
        let Some(first) = request.attempts.iter().find(|a| a.may_have_run) else { return true };
        let first_worker = &self.workers[first.estimate.worker];
        match class.effect {
            Effect::Idempotent => true,
            Effect::AtMostOnce => false,
            Effect::Deduplicated => {
                let same_scope = match class.key_scope {
                    KeyScope::All => true,
                    KeyScope::Zone => first_worker.zone == target.zone,
                    KeyScope::Cell => first_worker.zone == target.zone && first_worker.cell == target.cell,
                };
                // The window is counted from the first send, even if that attempt proved not to have run:
                // while it was pending, it may have started the window.
                let window_start = request.attempts[0].sent_at;
                same_scope
                    && ((self.now - window_start) as f64) < REPEAT_WINDOW_SHARE * class.repeat_window as f64
            }
        }
    }

    /// Returns whether the request may be refused: if the client may retry it, or if no attempt can have run.
    fn may_refuse(&self, request: &Request) -> bool {
        let class = &request.class_settings;
        class.effect == Effect::Idempotent
            || (class.effect == Effect::Deduplicated && class.key_scope == KeyScope::All)
            || request.attempts.iter().all(|a| !a.may_have_run)
    }

    // ---- Estimated completion times: choice and admission ----

    /// Charges a request to this router's part of its tenant's quota and returns whether the quota was
    /// exhausted. A client's retry of a request that this router refused is not charged again.
    fn charge_quota(&mut self, tenant: usize, is_retry: bool) -> bool {
        let Some(quota) = self.settings.tenant_quotas.get(tenant).filter(|q| **q > 0.0) else { return false };
        let tokens_per_us = quota / self.settings.dispatcher_count as f64 / 1e6;
        let TenantQuota { tokens, updated_at, refused } = self.tenant_quotas[tenant];
        let refilled = tokens + tokens_per_us * (self.now - updated_at) as f64;
        let tokens = refilled.min((tokens_per_us * QUOTA_BURST_US).max(1.0));
        // A client could mark every request as a retry. So no more go uncharged than this router refused.
        let uncharged = if is_retry && refused >= 1.0 { 1.0 } else { 0.0 };
        let charge = if tokens < 1.0 { 0.0 } else { 1.0 - uncharged };
        self.tenant_quotas[tenant] =
            TenantQuota { tokens: tokens - charge, updated_at: self.now, refused: refused - uncharged };
        tokens < 1.0
    }

    /// Returns the time of a load, plus the price of its fetch converted to time.
    fn load_cost(&self, request: &Request) -> f64 {
        self.load_time(request.function)
            + self.settings.fetch_price * request.class_settings.latency_target as f64
    }

    /// Predicts the completion of a request at a worker; `None` if it may not be sent there now. `rank` is
    /// the worker's rank if it is one of the function's homes.
    fn estimate(
        &self,
        request: &Request,
        worker: usize,
        rank: Option<&Rank>,
        inputs: &ChoiceInputs,
    ) -> Option<Estimate> {
        let target = &self.workers[worker];
        let function = &self.functions[request.function];
        let class = &request.class_settings;
        let slowness = self.slowness(target, inputs.fleet_slowness)
            / self.present_share(target).powf(COLD_CAPACITY_EXPONENT);
        let run_time = function.run_time * slowness * request.size.run_time_factor;
        let cold_budget =
            self.take_cold_permit(target, function, inputs).filter(|_| self.may_send(request, worker))?;
        let replica = target.replicas.get(&request.function).copied().unwrap_or_default();
        let warmth = self.warmth(&replica);
        let whole_load = self.load_cost(request);
        let rank = rank.filter(|_| matches!(warmth, Warmth::Cold));
        let peer_replica = rank.map(|rank| self.peer_replica_probability(function, rank, inputs));
        let (load_wait, replicas) = match warmth {
            Warmth::Warm => (0.0, replica.count),
            Warmth::Loading(left) => (left, 1),
            Warmth::Cold => ((1.0 - peer_replica.unwrap_or(0.0)) * whole_load, 1),
        };
        let run_time_of =
            |(id, n): &(RequestId, usize)| Some(self.requests.get(id)?.attempts.get(*n)?.estimate.run_time);
        let own_work: f64 = target.open_attempts.iter().filter_map(run_time_of).sum();
        let routers = self.settings.dispatcher_count as f64;
        let unseen_work = MAX_UNSEEN_PER_OWN * own_work * (routers - 1.0) / (routers + 1.0);
        let (reported, report_weight) = target.report.held_for_others(self.now);
        let reported_work =
            report_weight * REMAINING_RUN_SHARE * reported * self.class_estimates[request.class].run_time;
        let concurrency = if self.report_fields.reports_held() {
            WORKER_CONCURRENCY_REPORTED
        } else {
            function.lanes.min(2.0)
        };
        let pending = (own_work + reported_work + (1.0 - report_weight) * unseen_work) / concurrency;
        let in_flight = f64::from(replica.own_in_flight) + replica.others_in_flight;
        let lanes = function.lanes * f64::from(replicas.max(1));
        let lane_wait = run_time * ((in_flight + 1.0 - lanes) / lanes).max(0.0);
        let total = self.settings.min_batch_interval as f64 + load_wait + pending.max(lane_wait) + run_time;
        // A worker that has just rejected this request would probably do so again: every other worker comes
        // first.
        let rejected = request.attempts.iter().any(|a| a.estimate.worker == worker && a.rejected);
        let crossing = if target.zone == self.settings.own_zone {
            0.0
        } else {
            CROSSING_PRICE_FACTOR * self.settings.cross_zone_price
        };
        // When a zone is lost, attempts fail at all its workers: failures at a few are held against the rest
        // too.
        let zone_loss = self
            .zone_losses
            .get(&target.zone)
            .map_or(0.0, |h| h.mean_with_prior(self.now, self.half_life_us, 0.0, 1.0));
        let excess_loss = ((zone_loss - ZONE_LOSS_THRESHOLD) / (1.0 - ZONE_LOSS_THRESHOLD)).max(0.0);
        let expected_loss = self.sparsity * excess_loss;
        // Fast failures make a worker look idle, and without this penalty it would attract all traffic. A
        // hang or a broken link shows only as missing answers. A loss costs the client its whole deadline.
        // The penalty only ranks workers; it causes no refusal.
        let risk_penalty = target.losses_by_class[request.class].mean_with_prior(
            self.now,
            self.half_life_us,
            expected_loss,
            PRIOR_SAMPLES,
        ) * class.deadline as f64
            + crossing * class.latency_target as f64
            + if rejected { class.deadline as f64 } else { 0.0 };
        let total_if_warm = total - load_wait;
        Some(Estimate {
            worker,
            total,
            risk_penalty,
            // Only the usual load time is excused as a load: what a slow store adds counts as queueing.
            load_wait: load_wait.min(self.base_load_time(function)),
            run_time,
            work_factor: request.size.run_time_factor,
            cold: matches!(warmth, Warmth::Cold)
                && peer_replica.is_none_or(|p| p <= PRIOR_HOME_HIT_PROBABILITY),
            unobserved: peer_replica.is_some(),
            total_if_warm,
            total_if_cold: if peer_replica.is_some() { total_if_warm + whole_load } else { total },
            cold_budget,
            // The wait grows with the number of routers, so that all of them together try an unused worker
            // with about one request at a time.
            idle: target.open_attempts.is_empty()
                && (self.now - target.last_sent) as f64
                    >= (self.settings.dispatcher_count - 1) as f64
                        * self.class_estimates[request.class].run_time,
        })
    }

    /// Returns the request rate for the function over all routers, per microsecond, and the number of its
    /// homes. Both are estimates; the homes follow from the concurrency that answers report.
    fn demand(&self, function: &Function) -> (f64, f64) {
        // Of many rarely used functions each router sees a few by chance. Scaling every request up by the
        // number of routers would give all of them many homes. So the request that made the function known
        // here counts once, and only further ones are scaled up.
        let (seen, routers) = (
            function.request_rate.samples(self.now, self.half_life_us),
            self.settings.dispatcher_count as f64,
        );
        let further_share = (seen - 1.0).max(0.0) / seen.max(1.0);
        let rate =
            function.request_rate.rate(self.now, self.half_life_us) * (1.0 + (routers - 1.0) * further_share);
        let rate_times_run = rate * function.run_time;
        let of_class = self.class_estimates[function.class].concurrency.mean_with_prior(
            self.now,
            self.half_life_us,
            rate_times_run,
            1.0,
        );
        let expected = (of_class + seen * rate * function.run_time) / (1.0 + seen);
        let concurrency = function.concurrency.mean_with_prior(self.now, self.half_life_us, expected, 1.0);
        let lane_use = if self.report_fields.reports_held() {
            TARGET_LANE_USE_REPORTED
        } else {
            TARGET_LANE_USE + (TARGET_LANE_USE_SPARSE - TARGET_LANE_USE) * self.sparsity
        };
        (rate, (concurrency / (function.lanes.min(2.0) * lane_use)).max(1.0).ceil())
    }

    /// Returns the probability that other routers keep the function warm at a worker, one of its homes. A
    /// worker that became a home only because others left counts as one from the time they left: otherwise,
    /// after the loss of many workers, all routers would assume replicas that none has loaded yet.
    fn peer_replica_probability(&self, function: &Function, rank: &Rank, inputs: &ChoiceInputs) -> f64 {
        let (rate, homes, up_before) = (inputs.request_rate, inputs.homes, rank.up_before);
        let home_since = Some(rank.last_down_at).filter(|_| rank.workers_before >= homes);
        let age = match self.workers[rank.worker].ready_at.max(home_since) {
            Some(since) => (self.now.saturating_sub(since) as f64 - self.base_load_time(function)).max(0.0),
            None => f64::INFINITY,
        };
        let uses = (rate / homes).max(1.0 / self.settings.keep_alive as f64) * age;
        // All routers fill the homes in the same order, but estimate different numbers of them: the first
        // workers are homes by every estimate, the last ones by few.
        inputs.home_hit_probability * (1.0 - (-uses).exp()) * (-self.sparsity * up_before / homes).exp()
    }

    /// Returns the probability that a function is found warm at one of its homes where this router has
    /// observed no replica, once there has been time to load it.
    fn home_hit_probability(&self, f: &Function) -> f64 {
        let of_class = self.class_estimates[f.class].home_hits.mean_with_prior(
            self.now,
            self.half_life_us,
            PRIOR_HOME_HIT_PROBABILITY,
            1.0,
        );
        f.home_hits.mean_with_prior(self.now, self.half_life_us, of_class, 1.0)
    }

    /// Returns whether a replica is assumed to be loaded, and if not, how much of a load under way is left.
    fn warmth(&self, replica: &Replica) -> Warmth {
        if let Some((began, due)) = replica.loading {
            let timeout = LOAD_TIMEOUT_FACTOR * (due - began) as f64;
            if ((self.now - began) as f64) < timeout {
                // A load that is overdue is expected to take as long again, up to the whole expected time.
                let (left, so_far) = (due.saturating_sub(self.now), self.now.saturating_sub(began));
                return Warmth::Loading(left.max(so_far.min(due - began)) as f64);
            }
        }
        let idle = self.now.saturating_sub(replica.last_used) as f64;
        if replica.count > 0
            && (replica.own_in_flight > 0 || idle < WARM_KEEP_ALIVE_SHARE * self.settings.keep_alive as f64)
        {
            return Warmth::Warm;
        }
        Warmth::Cold
    }

    /// Returns the worker with the smallest estimate. Ties between cold workers are broken by the order of
    /// preference that all routers share, ties between warm ones at random.
    fn best_worker(&mut self, request: &Request, only_cold: bool) -> Option<Estimate> {
        let inputs = self.choice_inputs(request.function);
        let load = self.load_time(request.function);
        let tie = load
            * if self.report_fields.reports_held() {
                COLD_TIE_LOAD_TIMES_REPORTED
            } else {
                COLD_TIE_LOAD_TIMES
            };
        // Without randomness, routers with the same delayed view would all choose the worker that looked best
        // and overload it.
        let error = VIEW_ERROR_RUN_SHARE * (1.0 - 1.0 / (1.0 + self.settings.dispatcher_count as f64));
        let draw = u64::from(self.rng.next_u32()) << 32 | u64::from(self.rng.next_u32());
        let key = |e: &Estimate| e.key() + error * preference::slot_jitter(draw, e.worker) * e.run_time;
        if self.exhaustive_search {
            return self.best_by_scan(request, &inputs, only_cold, tie, key);
        }
        self.cache_preferred(request.function, 0);
        let mut search = Search::new(self, request, &inputs);
        search.visit_warm_homes(key);
        let least_warm = min_key(&search.warm, Estimate::key);
        let cold = only_cold || search.any_cold_before(least_warm);
        let found = if cold { search.first_cold_within(tie) } else { min_by_key(&search.warm, key) };
        // Keeps as many preferred workers for the next choice, so that the ring is not searched again for
        // each.
        let taken = search.finish();
        self.cache_preferred(request.function, taken);
        found
    }

    /// Sends a request that has no open attempt to a worker, or refuses or fails it.
    fn dispatch(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(&id) else { return };
        if let Some(retry_after) = self.shed_retry_after(&request) {
            self.requests.insert(id, request);
            return self.finish(id, Action::Refuse { id, retry_after }, out);
        }
        let worth = self.relative_credit(request.class);
        let left = request.deadline.saturating_sub(self.now) as f64;
        let aim_share = if request.over_quota {
            IDLE_AIM_SHARE
        } else {
            self.class_estimates[request.class].queue_aim_share
        };
        let (function, aim) = (request.function, request.class_settings.latency_target as f64);
        let queue_limit = aim_share * aim;
        let mut choice = self.zone_probe(&request).or_else(|| self.best_worker(&request, false));
        if choice.is_some_and(|e| !e.idle && e.total_without_load() > queue_limit) {
            let unqueued = |e: &Estimate| e.total_without_load() <= IDLE_AIM_SHARE * queue_limit;
            choice = self.best_worker(&request, true).filter(unqueued).or(choice);
        }
        let may_refuse = self.may_refuse(&request);
        let resend_cost =
            request.attempts.last().map_or(0.0, |a| if a.may_have_run { 1.0 } else { UNRUN_RESEND_COST });
        self.requests.insert(id, request);
        match choice {
            // Under overload every answer would come late, so a request that queues alone make late is
            // refused. A load is waited for. An unused worker is tried regardless, because only answers
            // correct an estimate.
            Some(e)
                if e.probable_total() <= left
                    && (e.idle || e.total_without_load() <= queue_limit)
                    && self.resend_tokens >= resend_cost
                    && self.budget.take_resend(resend_cost > 0.0, worth) =>
            {
                self.resend_tokens -= resend_cost;
                self.send(id, e, out);
            }
            _ if may_refuse => {
                // An estimate that refuses every request gets no answers to correct it. So each refusal moves
                // the run time back towards its prior.
                let f = &mut self.functions[function];
                f.run_time -= RUN_TIME_LEARNING_RATE * (f.run_time - PRIOR_RUN_AIM_SHARE * aim).max(0.0);
                let excess = |e: Estimate| {
                    (e.probable_total() - left).max(e.total_without_load() - queue_limit).max(0.0)
                };
                let wait = choice.map_or(self.settings.max_retry_after as f64, excess);
                let retry_after = (wait as Micros).min(self.settings.max_retry_after);
                self.finish(id, Action::Refuse { id, retry_after }, out);
            }
            _ => self.finish(id, Action::Fail { id }, out),
        }
    }

    /// Sends an attempt to the worker of the estimate and records it.
    fn send(&mut self, id: RequestId, e: Estimate, out: &mut Vec<Action>) {
        let load = self.load_time(self.requests[&id].function) as Micros;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let function = request.function;
        let w = &mut self.workers[e.worker];
        self.budget.count_sent(w);
        w.open_attempts.push((id, request.attempts.len()));
        let replica = replica_mut(w, e.worker, &mut self.functions[function], function);
        self.renewals.push(ReplicaUse { at: self.now, worker: e.worker, function });
        replica.own_in_flight += 1;
        (replica.last_used, replica.last_requested) = (self.now, self.now);
        if e.cold {
            (replica.count, replica.others_in_flight) = (0, 0.0);
            replica.loading = Some((self.now, self.now.saturating_add(load)));
        }
        request.attempts.push(Attempt {
            estimate: e,
            sent_at: self.now,
            open: true,
            may_have_run: true,
            rejected: false,
            presumed_lost: false,
        });
        let is_cold = w.ready_at.is_some_and(|at| self.now.saturating_sub(at) < self.settings.warm_after);
        self.counters.cold_sends_without_permit += u64::from(is_cold && w.cold_budget == e.cold_budget);
        if w.cold_budget != e.cold_budget {
            self.counters.cold_turns += 1;
            w.cold_permits_taken += 1;
        }
        (w.last_sent, w.cold_budget) = (self.now, e.cold_budget);
        let hedge_at = self.now.saturating_add((HEDGE_DELAY_FACTOR * e.total_if_cold) as Micros);
        out.push(Action::Send { id, worker: w.id.clone(), deadline: None });
        if hedge_at < request.deadline {
            out.push(Action::Timer { at: hedge_at, cookie: id });
        }
    }

    /// Handles a timer of a request: fails it at its deadline, marks attempts as lost, and hedges or cancels
    /// one that takes long.
    fn on_timer(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| !r.ended && !r.streaming) else { return };
        if self.now >= request.deadline || request.attempts.is_empty() {
            return self.finish(id, Action::Fail { id }, out);
        }
        let (class, last_number) = (request.class, request.attempts.len() - 1);
        let mut due = Micros::MAX;
        for a in request.attempts.iter_mut().filter(|a| a.open && !a.presumed_lost) {
            let lost_at = a.sent_at.saturating_add((LOST_DELAY_FACTOR * a.estimate.total_if_cold) as Micros);
            let no_answer_since = self.workers[a.estimate.worker].last_answer_by_class[class] <= a.sent_at;
            a.presumed_lost = self.now >= lost_at;
            if !a.presumed_lost {
                due = due.min(lost_at);
            } else if no_answer_since {
                self.workers[a.estimate.worker].losses_by_class[class].add_limited(
                    self.now,
                    self.half_life_us,
                    1.0,
                    MAX_WORKER_SAMPLES,
                );
            }
        }
        if due < request.deadline {
            out.push(Action::Timer { at: due, cookie: id });
        }
        // A hang, a loss or a stall looks the same as long work. So hedged requests are limited by a budget,
        // and none is sent while the worker still answers others of the class.
        let last = request.attempts.last().filter(|a| a.open);
        let too_early = |a: &Attempt| {
            (self.now - a.sent_at) as f64 + 1.0 < HEDGE_DELAY_FACTOR * a.estimate.total_if_cold
                || self.workers[a.estimate.worker].last_answer_by_class[class] > a.sent_at
        };
        if self.hedge_tokens < 1.0 || last.is_none_or(too_early) {
            return;
        }
        if self.settings.may_duplicate {
            self.send_hedge(id, out);
        } else if self.settings.may_cancel && request.class_settings.effect == Effect::Idempotent {
            out.push(Action::Cancel { id, attempt: last_number });
        }
    }

    /// Sends a second attempt of a request to another worker, if it can be expected to help.
    fn send_hedge(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(&id) else { return };
        let left = request.deadline.saturating_sub(self.now) as f64;
        // A replica loaded for a second attempt displaces others and mostly comes too late. So a cold worker
        // qualifies only if the answer is still expected within the aim.
        let aim = request.class_settings.latency_target as f64;
        let spent = (self.now - request.attempts[0].sent_at) as f64;
        let worth_it =
            |e: &Estimate| e.probable_total() <= left && (!e.cold || spent + e.probable_total() <= aim);
        let choice = self.best_worker(&request, false).filter(worth_it);
        let already_hedged = request.attempts.iter().filter(|a| a.open).count() > 1;
        self.requests.insert(id, request);
        if let Some(e) = choice.filter(|_| !already_hedged) {
            self.hedge_tokens -= 1.0;
            self.send(id, e, out);
        }
    }

    /// Ends a request with its final action, a refusal or a failure.
    fn finish(&mut self, id: RequestId, action: Action, out: &mut Vec<Action>) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.ended = true;
            if let Some(quota) = self.tenant_quotas.get_mut(request.tenant) {
                quota.refused = (quota.refused + 1.0).min(MAX_REFUSALS_REMEMBERED);
            }
            out.push(action);
            self.clean_up(id, out);
        }
    }

    /// Cancels the open attempts of a request that has ended, and removes the request once none is open. An
    /// attempt that starts a load is not cancelled.
    fn clean_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let open = request.attempts.iter().enumerate().filter(|(_, a)| a.open && !a.estimate.cold);
        if self.settings.may_cancel {
            out.extend(open.map(|(attempt, _)| Action::Cancel { id, attempt }));
        }
        if request.attempts.iter().all(|a| !a.open) {
            let function = &mut self.functions[request.function];
            function.in_flight = function.in_flight.saturating_sub(1);
            self.requests.remove(&id);
        }
    }

    /// Records the outcome of an attempt and learns from it.
    fn close_attempt(&mut self, event: &Event) {
        let Event::AttemptEnded {
            id,
            attempt,
            outcome,
            found,
            concurrent_requests: crowd,
            latency,
            report,
            ..
        } = event
        else {
            return;
        };
        let (id, number, outcome, found) = (*id, *attempt, *outcome, *found);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (function, size) = (request.function, request.size);
        let Some(attempt) = request.attempts.get_mut(number).filter(|a| a.open) else { return };
        attempt.open = false;
        let (now, worker) = (self.now, attempt.estimate.worker);
        // How far the attempt counts as lost, from 0 (answered) to 1; `None` if it says nothing about the
        // worker.
        let loss = match outcome {
            Outcome::Ok | Outcome::Miss => Some(0.0),
            Outcome::Full => Some(REJECTION_LOSS),
            // A request that no worker can serve ends in errors everywhere. It must not count against any
            // worker.
            Outcome::Error if !self.functions[function].served => None,
            // A connection that breaks ends all open attempts on it. They count as one loss, not as many.
            Outcome::Reset | Outcome::ConnectFailed | Outcome::Unknown
                if self.workers[worker].last_broken == now =>
            {
                None
            }
            Outcome::Unknown => Some(UNKNOWN_OUTCOME_LOSS),
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed => Some(1.0),
            // A client with little time left gives up before an answer is due, so a timeout counts only after
            // that.
            Outcome::Timeout
                if !attempt.presumed_lost
                    && *latency as f64 > LOST_DELAY_FACTOR * attempt.estimate.total_if_cold =>
            {
                Some(1.0)
            }
            _ => None,
        };
        attempt.rejected = outcome == Outcome::Full;
        attempt.may_have_run =
            !matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Miss);
        let (e, sent_at) = (attempt.estimate, attempt.sent_at);
        let class = self.functions[function].class;
        if let Some(crowd) = crowd.filter(|_| found == ReplicaStatus::Warm) {
            let f = &self.functions[function];
            let concurrency = f64::from(crowd).min(f.lanes) * self.demand(f).1;
            self.functions[function].concurrency.add_limited(
                now,
                self.half_life_us,
                concurrency,
                MAX_WORKER_SAMPLES,
            );
            self.class_estimates[class].concurrency.add(now, self.half_life_us, concurrency);
        }
        let w = &mut self.workers[worker];
        // The process that the attempt was sent to is another than the present one.
        let sent_before_restart = w.ready_at.is_some_and(|ready_at| sent_at < ready_at);
        if let Some(sample) = loss.filter(|_| found != ReplicaStatus::LoadFailed && !sent_before_restart) {
            w.losses_by_class[class].add_limited(now, self.half_life_us, sample, MAX_WORKER_SAMPLES);
            self.zone_losses.entry(w.zone).or_default().add_limited(
                now,
                self.half_life_us,
                sample,
                MAX_ZONE_SAMPLES,
            );
            w.last_answer_by_class[class] = now;
            w.last_answer = if sample == 0.0 { now } else { w.last_answer };
        }
        w.open_attempts.retain(|o| *o != (id, number));
        let replica = replica_mut(w, worker, &mut self.functions[function], function);
        replica.own_in_flight = replica.own_in_flight.saturating_sub(1);
        if sent_before_restart {
            if outcome == Outcome::Ok {
                self.functions.served(now, function);
            }
            return;
        }
        if let Some(held) = self.report_fields.held(report) {
            w.report = LoadReport::new(now, held, w.open_attempts.len());
        }
        if outcome == Outcome::Ok {
            w.answers.add(now, self.half_life_us, 1.0);
        }
        let replica = replica_mut(w, worker, &mut self.functions[function], function);
        if let Some(crowd) = crowd {
            replica.others_in_flight = f64::from(crowd.saturating_sub(replica.own_in_flight));
        }
        // A load that outlasts its request is never reported, and the next request would be sent there to
        // wait for it too. So such a timeout counts as a replica not found. It is not counted for the class,
        // because queues under overload look the same.
        let outlasted = self.sparsity > 0.5
            && outcome == Outcome::Timeout
            && *latency as f64 > LOST_DELAY_FACTOR * e.total_if_warm;
        if e.unobserved && (outlasted || matches!(found, ReplicaStatus::Warm | ReplicaStatus::LoadStarted)) {
            let sample = if found == ReplicaStatus::Warm { 1.0 } else { 0.0 };
            let f = &mut self.functions[function];
            f.home_hits.add(now, self.half_life_us, sample);
            if !outlasted {
                self.class_estimates[f.class].home_hits.add(now, self.half_life_us, sample);
            }
        }
        match outcome {
            Outcome::Ok => {
                self.fleet.add_answer(now, worker);
                self.functions.served(now, function);
                self.renewals.push(ReplicaUse { at: now, worker, function });
                replica.last_used = now;
                replica.count = replica.count.max(1);
                replica.loading = None;
                let took = *latency as f64;
                match found {
                    ReplicaStatus::LoadStarted => {
                        self.learn_load_time(function, (took - e.run_time).max(0.0))
                    }
                    ReplicaStatus::Warm => {
                        let usual = (e.total_if_warm / size.run_time_factor).max(1.0);
                        self.class_estimates[class].hint_power.learn(size.ratio, took / usual);
                        self.learn_run_time(function, worker, took, e.total_if_warm)
                    }
                    ReplicaStatus::NotReported if !e.cold && took < e.total_if_warm => {
                        self.learn_run_time(function, worker, took, e.total_if_warm)
                    }
                    _ => {}
                }
            }
            Outcome::Miss => *replica = Replica { count: 0, loading: None, ..*replica },
            Outcome::Error | Outcome::Full => {
                if found == ReplicaStatus::LoadFailed {
                    replica.loading = None;
                } else if outcome == Outcome::Full {
                    // A rejection counts as an answer that took twice the expected time.
                    self.learn_slowness(worker, 1.0);
                }
            }
            Outcome::Reset | Outcome::ConnectFailed | Outcome::Unknown => {
                w.connection_failed(now, outcome == Outcome::ConnectFailed);
            }
            // The attempt was never sent, so the load that it was meant to start is not under way.
            Outcome::NotSent if e.cold && replica.own_in_flight == 0 => replica.loading = None,
            Outcome::Timeout | Outcome::Cancelled | Outcome::NotSent => {}
        }
        if outcome == Outcome::Ok {
            self.update_worker_capacity();
        }
    }
}

/// Whether a worker is assumed to hold a replica of a function.
enum Warmth {
    Warm,
    /// A load is under way; the expected time left, in microseconds.
    Loading(f64),
    Cold,
}
