//! Slow start: how many requests this router may send to a worker that has just started.
//!
//! A cold worker bears a multiple of its present capacity in each window, from all routers together, and fails if it gets more.
//! Its full capacity is taken to be what the warm workers serve each, and at least what one core could. Each router spends its
//! part of that budget alone: permits accrue at its part of the rate, one request takes one, and a permit that is not taken
//! lapses, so that permits cannot be saved up and spent at once. Permits of different routers are staggered, and none accrue
//! before a router has learned of the start.
//!
//! No I/O and no clock. The state is one [`ColdBudget`] per worker.

use super::Router;
use super::candidates::ChoiceInputs;
use super::tables::{Function, Worker, rendezvous};
use crate::api::{Micros, WorkerId};
use serde::{Deserialize, Serialize};

const MICROS_PER_SECOND: f64 = 1e6;
/// Share of a cold worker's budget that the routers use, where every permit is taken.
const BUDGET_SHARE: f64 = 0.6;
/// A cold worker attracts up to this multiple of its even share of a router's requests.
const ATTRACTION_FACTOR: f64 = 2.0;
/// Bounds of a permit's lifetime, in fall windows.
const MIN_LIFETIME_WINDOWS: f64 = 0.1;
const MAX_LIFETIME_WINDOWS: f64 = 4.0;
/// Fewer requests in a window than this give the longest lifetime.
const MIN_REQUESTS_PER_WINDOW: f64 = 1e-6;
/// Steps in which the lifetime converges to well under a hundredth.
const LIFETIME_ITERATIONS: usize = 6;

/// The rate at which one router's permits for one worker accrue: it grows with the worker's present capacity.
#[derive(Clone, Copy, Debug)]
pub(super) struct PermitRate {
    /// Permits per microsecond at full capacity.
    pub(super) full_per_us: f64,
    /// The shares of its capacity that the worker has at its start, and what it gains per microsecond.
    pub(super) cold_share: f64,
    pub(super) share_per_us: f64,
    /// When the worker started.
    pub(super) started_at: Micros,
    /// The time after which a permit lapses.
    pub(super) lifetime: Micros,
}

impl PermitRate {
    /// Returns how many permits accrue between two times.
    fn between(&self, from: Micros, to: Micros) -> f64 {
        let share = |at: Micros| {
            (self.cold_share + self.share_per_us * at.saturating_sub(self.started_at) as f64).min(1.0)
        };
        self.full_per_us * to.saturating_sub(from) as f64 * (share(from) + share(to)) / 2.0
    }
}

/// One router's permits for one worker that is not warm yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct ColdBudget {
    /// Permits that had accrued at `updated_at`, those taken and lapsed included.
    accrued: f64,
    /// Permits taken or lapsed.
    settled: f64,
    updated_at: Micros,
}

impl ColdBudget {
    /// Returns a budget without a permit, which begins at `now` with a part of the first one.
    pub(super) fn starting(now: Micros, part_of_first: f64) -> ColdBudget {
        ColdBudget { accrued: part_of_first.clamp(0.0, 1.0 - f64::EPSILON), settled: 0.0, updated_at: now }
    }

    /// Returns the budget after a permit was taken; `None` if there is no permit now.
    pub(super) fn take(self, now: Micros, rate: PermitRate) -> Option<ColdBudget> {
        let accrued = self.accrued + rate.between(self.updated_at, now);
        let lapsed = (accrued - rate.between(now.saturating_sub(rate.lifetime), now)).floor();
        let settled = self.settled.max(lapsed);
        (accrued >= settled + 1.0).then_some(ColdBudget { accrued, settled: settled + 1.0, updated_at: now })
    }

    /// Returns how many permits lapsed, if this many were taken.
    fn lapsed(self, taken: u64) -> u64 {
        (self.settled as u64).saturating_sub(taken)
    }
}

/// What a cold start's report tells of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdStartPhase {
    /// This router has learned of the start.
    Begun,
    /// The worker is warm.
    Ended,
}

/// A worker's cold start, as this router sees it, for logs.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdStartReport {
    /// The worker.
    pub worker: WorkerId,
    /// Whether its budget begins or has ended.
    pub phase: ColdStartPhase,
    /// Requests per second that each warm worker serves, estimated for all routers; 0 if unknown.
    pub served_per_worker: f64,
    /// Into how many parts the budget is divided.
    pub parts: usize,
    /// Permits that this router has taken.
    pub taken: u64,
    /// Permits that lapsed before one was taken, as far as was noticed.
    pub lapsed: u64,
}

/// Limit of the reports that the host has not collected; further ones are dropped.
const MAX_REPORTS: usize = 256;

/// How routers divide the budget of a cold worker among them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetDivision {
    /// How many routers serve.
    pub alive: usize,
    /// Into how many parts the budget is divided.
    pub parts: usize,
    /// Which part is this router's, from 0.
    pub part_index: usize,
}

impl BudgetDivision {
    /// Returns the division for one of two processes of a dispatcher that both serve: each has half of its part.
    pub fn halved(self, is_first: bool) -> BudgetDivision {
        let part_index = 2 * self.part_index + usize::from(!is_first);
        BudgetDivision { parts: 2 * self.parts, part_index, ..self }
    }
}

impl Router {
    /// Sets how a cold worker's budget is divided. With `None`, the settings apply: each router has one part.
    pub fn set_cold_budget_division(&mut self, division: Option<BudgetDivision>) {
        self.division = division;
    }

    fn budget_division(&self) -> BudgetDivision {
        let alive = self.settings.dispatcher_count;
        self.division.unwrap_or(BudgetDivision { alive, parts: alive, part_index: self.settings.own_index })
    }

    /// Returns the budget for a worker whose start this router learns of now. The first permits of all routers are spread over
    /// the time in which one permit of each accrues.
    pub(super) fn starting_cold_budget(&self, worker: &WorkerId) -> ColdBudget {
        let BudgetDivision { parts, part_index, .. } = self.budget_division();
        let parts = parts.max(1) as u64;
        let position = rendezvous(worker, worker).wrapping_add(part_index as u64) % parts;
        ColdBudget::starting(self.now, position as f64 / parts as f64)
    }

    /// Records the beginning or the end of a worker's cold start for the host.
    pub(super) fn report_cold_start(&mut self, slot: usize, phase: ColdStartPhase) {
        if self.cold_start_reports.len() >= MAX_REPORTS {
            return;
        }
        let worker = &self.workers[slot];
        let BudgetDivision { alive, parts, .. } = self.budget_division();
        let report = ColdStartReport {
            worker: worker.id.clone(),
            phase,
            served_per_worker: self.served_per_worker * alive as f64 * MICROS_PER_SECOND,
            parts,
            taken: worker.cold_permits_taken,
            lapsed: worker.cold_budget.lapsed(worker.cold_permits_taken),
        };
        self.cold_start_reports.push(report);
    }

    /// Records the cold starts that have ended.
    pub(super) fn report_ended_cold_starts(&mut self) {
        for slot in self.fleet.take_warmed_up() {
            self.report_cold_start(slot, ColdStartPhase::Ended);
        }
    }

    /// Returns the reports since the last call.
    pub fn take_cold_start_reports(&mut self) -> Vec<ColdStartReport> {
        std::mem::take(&mut self.cold_start_reports)
    }

    /// Returns the share of its full capacity that a worker is sure to have now.
    pub(super) fn present_share(&self, worker: &Worker) -> f64 {
        let Some(age) = worker.ready_at.map(|r| self.now.saturating_sub(r)) else { return 1.0 };
        let (least, warm) = (self.settings.cold_share, self.settings.warm_after.max(1) as f64);
        (least + (1.0 - least) * age as f64 / warm).min(1.0)
    }

    /// Returns whether a worker is not warm yet.
    pub(super) fn is_cold(&self, worker: &Worker) -> bool {
        worker.ready_at.is_some_and(|ready_at| self.now.saturating_sub(ready_at) < self.settings.warm_after)
    }

    /// Returns the worker's budget after one request was sent there, for a warm worker the unchanged one; `None` if this router
    /// may not send one now.
    pub(super) fn take_cold_permit(
        &self,
        worker: &Worker,
        function: &Function,
        inputs: &ChoiceInputs,
    ) -> Option<ColdBudget> {
        if !self.is_cold(worker) {
            return Some(worker.cold_budget);
        }
        worker.cold_budget.take(self.now, self.cold_permit_rate(worker, function, inputs))
    }

    /// Returns the rate of this router's permits for a cold worker.
    fn cold_permit_rate(&self, worker: &Worker, function: &Function, inputs: &ChoiceInputs) -> PermitRate {
        let window = self.settings.fall_window as f64;
        let capacity = self.size_share(worker) * self.worker_capacity(function);
        let full_rate = self.settings.fall_multiple * capacity;
        let budget = full_rate * self.present_share(worker) * window;
        let requests_per_window = self.expected_requests(window, inputs);
        let lifetime_windows = lifetime_windows(requests_per_window);
        let taken_share = 1.0 - (-requests_per_window * lifetime_windows).exp();
        let dealt_share = (BUDGET_SHARE / taken_share).min(max_dealt_share(budget, lifetime_windows));
        let parts = self.budget_division().parts.max(1) as f64;
        PermitRate {
            full_per_us: dealt_share * full_rate / parts,
            cold_share: self.settings.cold_share,
            share_per_us: (1.0 - self.settings.cold_share) / self.settings.warm_after.max(1) as f64,
            started_at: worker.ready_at.unwrap_or_default(),
            lifetime: (lifetime_windows * window) as Micros,
        }
    }

    /// Returns the estimated capacity of a warm worker, in requests per microsecond: what the warm workers serve each for all
    /// routers, and at least what one core could serve.
    fn worker_capacity(&self, function: &Function) -> f64 {
        let run_time =
            self.class_estimates[function.class].run_time + self.settings.min_batch_interval as f64;
        let alive = self.budget_division().alive as f64;
        (self.served_per_worker * alive).max(1.0 / run_time.max(1.0))
    }

    /// Returns the capacity of a worker by its size, relative to the mean warm worker's: at most 1, since sizes are rough.
    fn size_share(&self, worker: &Worker) -> f64 {
        let comparable = worker.size > 0.0 && self.mean_worker_size > 0.0;
        if comparable { (worker.size / self.mean_worker_size).min(1.0) } else { 1.0 }
    }

    /// Updates what is known of the warm workers; without any, the last values stay.
    pub(super) fn update_worker_capacity(&mut self) {
        if let Some(rate) = self.fleet.answer_rate_per_warm_worker(self.now) {
            self.served_per_worker = rate;
        }
        if let Some(size) = self.fleet.mean_warm_size() {
            self.mean_worker_size = size;
        }
    }

    /// Returns how many of this router's requests may prefer a cold worker in a window.
    fn expected_requests(&self, window: f64, inputs: &ChoiceInputs) -> f64 {
        let fleet_capacity = inputs.capacity.get_or_init(|| self.capacity()).max(1.0);
        let observed_for = self.recent_requests.front().map_or(1.0, |t| (self.now - t).max(1) as f64);
        let requests = (self.recent_requests.len() + 1) as f64;
        ATTRACTION_FACTOR * window / fleet_capacity * requests / observed_for
    }
}

/// Returns the lifetime of a permit, in windows, at which most of a budget is used. With few requests a permit has to wait long
/// for one; but the longer permits last, the more of them may be saved up, and the fewer may be dealt out. For `x` requests in a
/// window, the share that is dealt out and taken, `(1 - exp(-x l)) / (1 + l)`, is largest where `exp(x l) = 1 + x + x l`.
fn lifetime_windows(requests_per_window: f64) -> f64 {
    let x = requests_per_window.clamp(MIN_REQUESTS_PER_WINDOW, f64::MAX);
    let mut exponent = (1.0 + x).ln();
    for _ in 0..LIFETIME_ITERATIONS {
        exponent = (1.0 + x + exponent).ln();
    }
    (exponent / x).clamp(MIN_LIFETIME_WINDOWS, MAX_LIFETIME_WINDOWS)
}

/// Returns the largest share of a budget of `requests` in a window that may be dealt out in permits of this lifetime. If all are
/// taken, those saved up before the window and those of the window itself exceed the budget by no more than the platform's
/// allowance for chance, 2 x root of N + 2 for a budget of N.
fn max_dealt_share(requests: f64, lifetime_windows: f64) -> f64 {
    let bound = requests + 2.0 * requests.sqrt() + 2.0;
    bound / requests.max(f64::MIN_POSITIVE) / (1.0 + lifetime_windows)
}

#[cfg(test)]
mod tests;
