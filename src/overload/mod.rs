//! Fleet-wide overload control: budgets of resends and of load orders that dispatchers lend each other by lease, the
//! admission level for load shedding, and circuit breakers for executors that fail.
//!
//! The state machines are in `crates/budget`. This module decides when they run and which peers they contact, and passes
//! their results to the decision module. It does no I/O: the clock is passed in, and the host carries messages to and from
//! peers. Without peers a dispatcher uses its own part of the budgets and its own observations. Rates of messages and the
//! number of their receivers are bounded.

mod options;
mod report;

pub use options::Options;
pub use report::{lines, report};

use crate::api::{Micros, WorkerId};
use crate::control::{Budget, Tokens};
use ochreward_budget::wire::Message;
use ochreward_budget::{
    Admission, CircuitBreakers, Ledger, QueueingDelay, ResourceTerms, TokenBucket, admission, circuit,
};
use ochreward_membership::sample;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Channel of overload messages among the membership's notes.
pub const CHANNEL: u8 = 2;
/// Time for which unused tokens accumulate.
const BURST_US: Micros = 100_000;
/// Interval between two rounds of lease requests.
const ASK_INTERVAL_US: Micros = 100_000;
/// Number of peers asked for a lease in one round.
const ASK_FANOUT: usize = 3;
/// Averaging time of the demand estimate.
const DEMAND_WINDOW_US: f64 = 1_000_000.0;
/// Factor by which leases are requested for more than the demand.
const DEMAND_HEADROOM: f64 = 1.2;
/// Number of peers to which the proposed level is sent while requests are shed or shedding is proposed.
const PROPOSAL_FANOUT: usize = 8;
/// Number of peers to which it is sent while both levels are zero.
const IDLE_PROPOSAL_FANOUT: usize = 3;
/// Mean interval between proposals while both levels are zero; a fourth of it otherwise.
const IDLE_PROPOSAL_INTERVAL_US: Micros = 700_000;
/// Interval at which gates are updated while any circuit is not closed.
const GATE_INTERVAL_US: Micros = 20_000;
/// Maximum peers that are notified at once of a trial's result; the others find out by trials of their own.
const TRIAL_RESULT_FANOUT: usize = 64;
/// Smallest shortage for which a lease is requested, in thousandths of a token per second.
const MIN_SHORTAGE_MILLITOKENS_PER_S: u64 = 500;
/// Queueing time attributed to a worker that rejects a request, as a multiple of the one that raises the level.
const FULL_QUEUE_FACTOR: u64 = 2;

/// Names of the resources, indexed by their number on the wire.
pub const RESOURCES: [&str; 2] = ["resends", "orders"];

/// One budget that the dispatchers of a fleet share.
struct SharedBudget {
    ledger: Ledger,
    bucket: TokenBucket,
    /// Moving average of the tokens wanted per second.
    demand: f64,
    /// Tokens wanted since the last round of lease requests.
    wanted: u64,
    /// Highest worth of what they were wanted for.
    worth: u32,
}

/// The group as the host sees it.
#[derive(Clone, Debug, Default)]
pub struct GroupView {
    /// Name of this dispatcher.
    pub own: Arc<str>,
    /// Number of parts into which a budget is divided, of which this dispatcher has one.
    pub parts: usize,
    /// Names of the peers that are up.
    pub peers: Vec<Arc<str>>,
}

/// Totals since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Resends wanted.
    pub resends_wanted: u64,
    /// Resends made, those for which there was a token.
    pub resends_made: u64,
    /// Requests shed because of the admission level.
    pub shed: u64,
    /// Highest standing among the shed requests, out of 64.
    pub shed_up_to: u8,
    /// Leases granted to peers.
    pub lent: u64,
    /// Leases obtained from peers.
    pub borrowed: u64,
    /// Trial requests to executors whose circuits are open.
    pub trials: u64,
}

/// The shared budgets, the admission level and the circuits of one dispatcher.
pub struct Overload {
    options: Options,
    budgets: [Option<SharedBudget>; 2],
    admission: Admission,
    queueing: QueueingDelay,
    circuits: Option<CircuitBreakers>,
    /// Number of listed executors.
    workers: usize,
    /// Executors that have started to answer again, to be announced to the peers.
    recovered: Vec<WorkerId>,
    /// Executors that refused a trial of this dispatcher, to be announced to the peers.
    failed_trials: Vec<WorkerId>,
    /// The group as of the last `advance`.
    view: GroupView,
    next_gate: Micros,
    next_interval: Micros,
    next_ask: Micros,
    next_proposal: Micros,
    rng: Pcg32,
    stats: Stats,
}

impl Overload {
    /// Creates the state of a process that starts now; `instance` distinguishes it from earlier processes of the same name.
    pub fn new(options: Options, instance: u64, now: Micros) -> Overload {
        let shared_budget = |whole: u64| {
            let whole = whole.saturating_mul(1_000);
            let terms = ResourceTerms {
                total: whole,
                floor_per_mille: options.floor,
                lease_time: options.lease_us,
                ..ResourceTerms::default()
            };
            let ledger = Ledger::new(terms, instance, now);
            (whole > 0).then(|| SharedBudget {
                ledger,
                bucket: TokenBucket::new(BURST_US, now),
                demand: 0.0,
                wanted: 0,
                worth: 1,
            })
        };
        let terms = admission::Terms {
            queue: options.max_queue_us,
            stay: options.level_hold_us,
            ..admission::Terms::default()
        };
        Overload {
            budgets: [shared_budget(options.resends_per_s), shared_budget(options.orders_per_s)],
            admission: Admission::new(terms),
            queueing: QueueingDelay::default(),
            circuits: (options.ramp_us > 0).then(|| {
                CircuitBreakers::new(circuit::Terms {
                    trial: options.trial_interval_us,
                    ramp: options.ramp_us,
                })
            }),
            workers: 0,
            recovered: Vec::new(),
            failed_trials: Vec::new(),
            view: GroupView::default(),
            next_gate: now,
            next_interval: now,
            next_ask: now,
            next_proposal: now,
            rng: Pcg32::seed_from_u64(instance),
            stats: Stats::default(),
            options,
        }
    }

    /// Returns the totals since the start.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Returns the admission level in force.
    pub fn level(&self) -> u8 {
        self.admission.level()
    }

    /// Returns the rate at which a resource, given by its number, may be spent now, in thousandths per second.
    pub fn spendable_rate(&self, place: usize, now: Micros) -> u64 {
        self.budgets.get(place).and_then(Option::as_ref).map_or(0, |b| b.ledger.spendable(now))
    }

    /// Returns the number of executors whose circuits are open, and of those on a slow-start ramp.
    pub fn circuit_counts(&self) -> (usize, usize) {
        self.circuits.as_ref().map_or((0, 0), CircuitBreakers::open_and_ramping)
    }

    /// Takes a new list of executors, and drops the circuits of those that are no longer listed.
    pub fn set_workers(&mut self, workers: BTreeSet<WorkerId>) {
        self.workers = workers.len();
        self.circuits.iter_mut().for_each(|c| c.retain_workers(|worker| workers.contains(worker)));
    }

    /// Records that no connection to an executor could be established.
    pub fn connect_failed(&mut self, now: Micros, worker: &WorkerId) {
        if self.circuits.as_mut().is_some_and(|c| c.record_refusal(now, worker)) {
            self.failed_trials.push(worker.clone());
        }
        self.next_gate = self.next_gate.min(now);
    }

    /// Records an executor's answer to a request of this kind and the time it took; `None` if it rejected the request.
    pub fn record_answer(&mut self, now: Micros, worker: &WorkerId, kind: u64, took: Option<Micros>) {
        if self.circuits.as_mut().is_some_and(|c| c.record_answer(now, worker)) {
            self.recovered.push(worker.clone());
            self.next_gate = now;
        }
        if self.options.max_queue_us > 0 {
            match took {
                Some(took) => self.queueing.record_response(now, kind, took),
                None => self.queueing.record_full_queue(self.options.max_queue_us * FULL_QUEUE_FACTOR),
            }
        }
    }

    /// Returns the time at which `advance` or `budget` next has work to do.
    pub fn due(&self, now: Micros) -> Micros {
        let lease_end =
            self.budgets.iter().flatten().map(|b| b.ledger.next_change(now)).min().unwrap_or(Micros::MAX);
        let ask = if self.budgets.iter().any(Option::is_some) { self.next_ask } else { Micros::MAX };
        let has_level = self.options.max_queue_us > 0;
        let level = if has_level { self.next_interval.min(self.next_proposal) } else { Micros::MAX };
        let gates = if self.circuit_counts() == (0, 0) { Micros::MAX } else { self.next_gate };
        lease_end.min(ask).min(level).min(gates)
    }

    /// Returns what the decision module may spend from now on; `last` is what it has spent of the previous budget.
    pub fn budget(&mut self, now: Micros, last: &Budget) -> Budget {
        let last_tokens = [last.resend_tokens, last.load_order_tokens];
        for (shared, tokens) in self.budgets.iter_mut().zip(last_tokens) {
            if let (Some(shared), Some(tokens)) = (shared, tokens) {
                shared.bucket.take(tokens.taken);
                shared.wanted += tokens.requested;
                shared.worth = shared.worth.max(last.max_resend_worth);
            }
        }
        if let Some(tokens) = last.resend_tokens {
            self.stats.resends_wanted += tokens.requested;
            self.stats.resends_made += tokens.taken;
        }
        for (worker, (_, sent)) in last.worker_gates.iter().filter(|(_, (_, sent))| *sent > 0) {
            self.stats.trials += u64::from(self.circuits.as_ref().is_some_and(|c| c.is_open(worker)));
            self.circuits.iter_mut().for_each(|c| c.record_sent(now, worker, *sent));
        }
        self.stats.shed += last.shed;
        self.stats.shed_up_to = self.stats.shed_up_to.max(last.shed_up_to);
        let mut tokens = |place: usize| {
            let shared = self.budgets[place].as_mut()?;
            // The rate is read at the present time, so that a lease that ended while the process was stalled adds nothing.
            let rate = shared.ledger.spendable(now);
            Some(Tokens { available: shared.bucket.refill(now, rate), ..Tokens::default() })
        };
        let (resends, orders) = (tokens(0), tokens(1));
        let (level, back) = (self.admission.level(), self.admission.retry_delay());
        let view = &self.view;
        let circuits = self.circuits.as_mut().filter(|c| c.open_and_ramping() != (0, 0));
        let gates = circuits.map(|c| c.gates(now, &view.own, &view.peers, (self.workers, view.parts)));
        let gates = gates.into_iter().flatten().map(|(worker, left)| (worker, (left, 0))).collect();
        Budget {
            worker_gates: gates,
            resend_tokens: resends,
            load_order_tokens: orders,
            admission_level: level,
            mean_retry_after: back,
            ..Budget::default()
        }
    }

    /// Runs the timers that are due. Returns the messages to be sent, each with its receiver.
    pub fn advance(&mut self, now: Micros, view: &GroupView) -> Vec<(Arc<str>, Vec<u8>)> {
        let mut messages = Vec::new();
        for shared in self.budgets.iter_mut().flatten() {
            shared.ledger.set_parts(view.parts);
        }
        self.view = view.clone();
        if now >= self.next_gate {
            self.next_gate = now + GATE_INTERVAL_US;
        }
        let recovered =
            std::mem::take(&mut self.recovered).into_iter().map(|worker| Message::Back(worker, 0));
        let failed_trials = std::mem::take(&mut self.failed_trials).into_iter().map(Message::Tried);
        for word in recovered.chain(failed_trials) {
            let message = word.encode();
            let to = sample(&mut self.rng, view.peers.clone(), TRIAL_RESULT_FANOUT);
            messages.extend(to.into_iter().map(|name| (name, message.clone())));
        }
        if now >= self.next_interval {
            self.next_interval = now + admission::Terms::default().interval;
            let queue = self.queueing.end_interval();
            self.admission.record_queueing_delay(now, queue);
        }
        if now >= self.next_ask {
            let elapsed = ASK_INTERVAL_US + now.saturating_sub(self.next_ask);
            self.next_ask = now + ASK_INTERVAL_US;
            for place in 0..self.budgets.len() {
                self.request_leases(now, place, elapsed, view, &mut messages);
            }
        }
        if self.options.max_queue_us > 0 && now >= self.next_proposal {
            let idle = self.admission.level() == 0 && self.admission.requested_level() == 0;
            let (interval, fanout) = if idle {
                (IDLE_PROPOSAL_INTERVAL_US, IDLE_PROPOSAL_FANOUT)
            } else {
                (IDLE_PROPOSAL_INTERVAL_US / 4, PROPOSAL_FANOUT)
            };
            // The jitter of 10 % either way keeps the dispatchers from sending at the same time.
            let jitter = u64::from(self.rng.next_u32()) % (interval / 5);
            self.next_proposal = now + interval - interval / 10 + jitter;
            let message = Message::Wish(self.admission.requested_level()).encode();
            let to = sample(&mut self.rng, view.peers.clone(), fanout);
            messages.extend(to.into_iter().map(|name| (name, message.clone())));
        }
        messages
    }

    /// Requests leases from peers for the part of the demand that cannot be met.
    fn request_leases(
        &mut self,
        now: Micros,
        place: usize,
        elapsed: Micros,
        view: &GroupView,
        messages: &mut Vec<(Arc<str>, Vec<u8>)>,
    ) {
        let Some(shared) = self.budgets[place].as_mut() else { return };
        let weight = (elapsed as f64 / DEMAND_WINDOW_US).min(1.0);
        let rate = std::mem::take(&mut shared.wanted) as f64 * 1e6 / elapsed as f64;
        shared.demand += (rate - shared.demand) * weight;
        let wanted = (shared.demand * DEMAND_HEADROOM * 1_000.0) as u64;
        let (worth, available) =
            (std::mem::replace(&mut shared.worth, 1).max(1), shared.ledger.spendable(now));
        shared.ledger.set_own_need(wanted, worth);
        // A shortage of less than about one token within the time of a lease does not justify a message.
        if wanted <= available || wanted - available < MIN_SHORTAGE_MILLITOKENS_PER_S {
            return;
        }
        let missing = wanted - available;
        let has_no_dealings = |name: &&Arc<str>| !shared.ledger.deals_with(now, name);
        let eligible: Vec<Arc<str>> = view.peers.iter().filter(has_no_dealings).cloned().collect();
        let to = sample(&mut self.rng, eligible, ASK_FANOUT);
        let Some(shared) = self.budgets[place].as_mut() else { return };
        for name in &to {
            let part = missing.div_ceil(to.len() as u64);
            if let Some(ask) = shared.ledger.request_lease(now, name, part, worth) {
                messages.push((name.clone(), Message::Ask(place as u8, ask).encode()));
            }
        }
    }

    /// Takes a message from a peer and returns the reply, if there is one. The content is untrusted: it may be any bytes.
    pub fn handle_message(&mut self, now: Micros, from: &Arc<str>, bytes: &[u8]) -> Option<Vec<u8>> {
        match Message::decode(bytes)? {
            Message::Ask(place, ask) => {
                let shared = self.budgets.get_mut(usize::from(place))?.as_mut()?;
                let grant = shared.ledger.handle_request(now, from, &ask);
                self.stats.lent += u64::from(grant.amount > 0);
                Some(Message::Grant(place, grant).encode())
            }
            Message::Grant(place, grant) => {
                let shared = self.budgets.get_mut(usize::from(place))?.as_mut()?;
                self.stats.borrowed += u64::from(shared.ledger.handle_grant(now, from, &grant));
                None
            }
            Message::Back(worker, ago_ms) => {
                self.circuits
                    .iter_mut()
                    .for_each(|c| c.record_peer_answer(now, &worker, u64::from(ago_ms) * 1_000));
                None
            }
            Message::Tried(worker) => {
                self.circuits.iter_mut().for_each(|c| c.record_peer_trial(now, &worker));
                None
            }
            Message::Wish(level) => {
                if self.options.max_queue_us > 0 {
                    self.admission.record_wish(now, from, level);
                }
                None
            }
        }
    }
}

#[cfg(test)]
mod tests;
