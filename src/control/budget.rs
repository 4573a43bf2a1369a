//! Applies the fleet's budgets and admission level to this router's requests, one at a time.
//!
//! The host computes what is left to this router and passes it in at intervals with [`Router::replace_budget`]. Without a budget of
//! the fleet, only the router's own limits apply. No I/O; the size is bounded by the numbers of workers and zones.

use super::tables::{Request, Worker, rendezvous};
use super::{Estimate, Router, candidates};
use crate::api::*;
use ochreward_budget::admission;
use rand_pcg::rand_core::Rng;
use std::collections::BTreeMap;

/// Tokens of one budget, and their use since the host last replaced it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tokens {
    /// Tokens available.
    pub available: u64,
    /// Tokens taken.
    pub taken: u64,
    /// Tokens asked for, whether one was available or not.
    pub requested: u64,
}

impl Tokens {
    /// Takes a token if one is available; returns whether it did.
    fn take(&mut self) -> bool {
        self.requested += 1;
        let available = self.available > 0;
        self.available -= u64::from(available);
        self.taken += u64::from(available);
        available
    }
}

/// Limit on the requests sent to a zone whose traffic is reduced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneGate {
    /// Requests that may still be sent to the zone.
    pub remaining: u64,
    /// Requests sent to the zone.
    pub sent: u64,
    /// Whether requests are sent there as probes even if other workers are nearer or warmer: the fleet judges the zone by
    /// their answers.
    pub probe: bool,
}

/// What the fleet leaves to this router, and what this router has used of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Budget {
    /// Workers that the fleet readmits in a slow start: requests that each may still get, and requests that it got.
    pub worker_gates: BTreeMap<WorkerId, (u64, u64)>,
    /// Zones with reduced traffic, by index.
    pub zone_gates: BTreeMap<usize, ZoneGate>,
    /// Tokens for second and later attempts; `None` if the fleet sets no budget for them.
    pub resend_tokens: Option<Tokens>,
    /// Tokens for load orders; `None` if the fleet sets no budget for them.
    pub load_order_tokens: Option<Tokens>,
    /// Admission level: requests whose standing is below it are shed; 0 sheds none.
    pub admission_level: u8,
    /// Mean of the retry-after times given to requests that the level sheds.
    pub mean_retry_after: Micros,
    /// Highest worth among the requests that asked for a resend since the host last replaced the budget, in hundredths of the
    /// highest worth of any class.
    pub max_resend_worth: u32,
    /// Requests shed by the level since then.
    pub shed: u64,
    /// Highest standing among the requests shed.
    pub shed_up_to: u8,
}

impl Budget {
    /// Returns whether a request of this worth may be sent, and takes a token for a resend. A first attempt is always allowed.
    pub(super) fn take_resend(&mut self, again: bool, worth: f64) -> bool {
        let Some(tokens) = self.resend_tokens.as_mut().filter(|_| again) else { return true };
        self.max_resend_worth = self.max_resend_worth.max((worth * 100.0) as u32);
        // The last token is reserved for requests of the highest worth.
        let reserved = if worth < 1.0 { tokens.available.min(2) / 2 } else { 0 };
        if tokens.available <= reserved {
            tokens.requested += 1;
            return false;
        }
        tokens.take()
    }

    /// Returns whether the gates of the worker and of its zone allow another request.
    pub(super) fn allows(&self, worker: &Worker) -> bool {
        self.worker_gates.get(&worker.id).is_none_or(|(left, _)| *left > 0)
            && self.zone_gates.get(&worker.zone).is_none_or(|gate| gate.remaining > 0)
    }

    /// Counts a request sent to the worker against its gate and that of its zone.
    pub(super) fn count_sent(&mut self, worker: &Worker) {
        if let Some((left, got)) = self.worker_gates.get_mut(&worker.id) {
            (*left, *got) = (left.saturating_sub(1), *got + 1);
        }
        if let Some(gate) = self.zone_gates.get_mut(&worker.zone) {
            (gate.remaining, gate.sent) = (gate.remaining.saturating_sub(1), gate.sent + 1);
        }
    }

    /// Returns whether a load order may be sent, and takes a token for it.
    pub(super) fn take_load_order(&mut self) -> bool {
        self.load_order_tokens.as_mut().is_none_or(Tokens::take)
    }

    /// Counts a client's own retry as a resend. It cannot be prevented here, but it adds to the load like any other.
    pub(super) fn count_client_retry(&mut self) {
        if let Some(tokens) = &mut self.resend_tokens {
            tokens.take();
        }
    }
}

impl Router {
    /// Replaces the budget and returns the previous one with what was used of it.
    pub fn replace_budget(&mut self, next: Budget) -> Budget {
        for (zone, gate) in &next.zone_gates {
            // When the fleet readmits a zone, its failures and slowness are forgotten. Otherwise what was observed before it
            // was shut would keep this router from sending requests there for long.
            if gate.remaining > 0
                && self.budget.zone_gates.get(zone).is_some_and(|previous| previous.remaining == 0)
            {
                self.zone_losses.remove(zone);
                let workers = self.workers.iter_mut().enumerate();
                for (slot, worker) in workers.filter(|(_, worker)| worker.zone == *zone) {
                    worker.losses_by_class.fill(Default::default());
                    worker.slowness = Default::default();
                    self.fleet.update(slot, worker, self.now);
                }
            }
        }
        std::mem::replace(&mut self.budget, Budget { max_resend_worth: 0, shed: 0, shed_up_to: 0, ..next })
    }

    /// Chooses a worker for a probe of a zone that the fleet tests: the one with the smallest estimate there, if it meets the
    /// deadline. Only first attempts of idempotent requests are used, since a failed one is safe to repeat elsewhere.
    pub(super) fn zone_probe(&mut self, request: &Request) -> Option<Estimate> {
        let repeatable = request.attempts.is_empty() && request.class_settings.effect == Effect::Idempotent;
        if !repeatable || !self.budget.zone_gates.values().any(|gate| gate.probe && gate.remaining > 0) {
            return None;
        }
        let inputs = self.choice_inputs(request.function);
        let ranks = self.home_ranks(request.function, inputs.homes);
        let probed = |zone: &usize| {
            self.budget.zone_gates.get(zone).is_some_and(|gate| gate.probe && gate.remaining > 0)
        };
        let workers = (0..self.workers.len()).filter(|worker| probed(&self.workers[*worker].zone));
        let time_left = request.deadline.saturating_sub(self.now) as f64;
        let estimate = |worker| self.estimate(request, worker, candidates::rank_of(&ranks, worker), &inputs);
        let in_time = workers.filter_map(estimate).filter(|estimate| estimate.total <= time_left);
        in_time.min_by(|a, b| a.total.total_cmp(&b.total))
    }

    /// Returns a class's credit relative to the highest of any class, from 0 to 1.
    pub(super) fn relative_credit(&self, class: usize) -> f64 {
        let max = self.settings.classes.iter().map(|class| class.credit).fold(f64::MIN_POSITIVE, f64::max);
        (self.settings.classes[class].credit / max).clamp(0.0, 1.0)
    }

    /// Returns the retry-after time if the fleet's admission level sheds the request. Only requests without an attempt are
    /// shed. The times are spread over the time of recovery, at random from half to one and a half times [`Budget::mean_retry_after`], so
    /// that shed requests do not all return at once.
    pub(super) fn shed_retry_after(&mut self, request: &Request) -> Option<Micros> {
        if self.budget.admission_level == 0 || !request.attempts.is_empty() {
            return None;
        }
        let credit = |class: usize| self.settings.classes[class].credit;
        let mut credits: Vec<f64> = self.settings.classes.iter().map(|class| class.credit).collect();
        credits.sort_by(f64::total_cmp);
        credits.dedup();
        let rank = credits.iter().filter(|other| **other < credit(request.class)).count();
        let id = &self.functions[request.function].id;
        let standing = admission::priority(rank, credits.len(), request.over_quota, rendezvous(id, id));
        if admission::admits(self.budget.admission_level, standing) {
            return None;
        }
        self.budget.shed += 1;
        self.budget.shed_up_to = self.budget.shed_up_to.max(standing);
        let mean = self.budget.mean_retry_after;
        Some((mean / 2 + u64::from(self.rng.next_u32()) % (mean + 1)).min(self.settings.max_retry_after))
    }
}

#[cfg(test)]
mod tests;
