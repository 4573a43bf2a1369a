//! What the fleet's budgets and its level of admission leave this router. It is told from outside, turn by turn; without that
//! all is as the router's own limits say. Here it is only applied to one request at a time.

use super::tables::{Request, Worker, rendezvous};
use super::{Estimate, Router, candidates};
use crate::api::*;
use ochreward_budget::admission;
use rand_pcg::rand_core::Rng;
use std::collections::BTreeMap;

/// Tokens of one budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tokens {
    /// In hand.
    pub left: u64,
    /// Taken since the host last asked.
    pub spent: u64,
    /// Wanted since then, had or not.
    pub wanted: u64,
}

impl Tokens {
    /// Takes one, if there is one.
    fn take(&mut self) -> bool {
        self.wanted += 1;
        let has = self.left > 0;
        self.left -= u64::from(has);
        self.spent += u64::from(has);
        has
    }
}

/// A zone to which less than the usual goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneGate {
    /// Requests that may go there now.
    pub left: u64,
    /// Those that did.
    pub got: u64,
    /// Some should, whatever else is nearer or warmer: the fleet judges by their answers.
    pub wanted: bool,
}

/// What is left.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Budget {
    /// Workers that the fleet takes back with care: how many requests each may get now, and how many it got.
    pub gates: BTreeMap<WorkerId, (u64, u64)>,
    /// Zones to which less than the usual goes, by place.
    pub zones: BTreeMap<usize, ZoneGate>,
    /// Second and later tries at workers; `None`: the fleet has no budget for them.
    pub resends: Option<Tokens>,
    /// Orders to load.
    pub orders: Option<Tokens>,
    /// The level of admission, and how long those stay away that it turns away.
    pub level: u8,
    /// See `level`.
    pub back: Micros,
    /// The worth of what wanted a resend since the host last asked, in hundredths of the highest: the most of it.
    pub worth: u32,
    /// Requests that the level turned away since then, and the highest standing among them.
    pub shed: u64,
    /// See `shed`.
    pub shed_up_to: u8,
}

impl Budget {
    /// Whether a request of this worth may be sent again; a first try always may.
    pub(super) fn resend(&mut self, again: bool, worth: f64) -> bool {
        let Some(tokens) = self.resends.as_mut().filter(|_| again) else { return true };
        self.worth = self.worth.max((worth * 100.0) as u32);
        // The last tokens in hand are kept for what is worth most.
        let kept = if worth < 1.0 { tokens.left.min(2) / 2 } else { 0 };
        if tokens.left <= kept {
            tokens.wanted += 1;
            return false;
        }
        tokens.take()
    }

    /// Whether a worker may get a request now.
    pub(super) fn open(&self, worker: &Worker) -> bool {
        self.gates.get(&worker.id).is_none_or(|(left, _)| *left > 0)
            && self.zones.get(&worker.zone).is_none_or(|gate| gate.left > 0)
    }

    /// It gets one.
    pub(super) fn enter(&mut self, worker: &Worker) {
        if let Some((left, got)) = self.gates.get_mut(&worker.id) {
            (*left, *got) = (left.saturating_sub(1), *got + 1);
        }
        if let Some(gate) = self.zones.get_mut(&worker.zone) {
            (gate.left, gate.got) = (gate.left.saturating_sub(1), gate.got + 1);
        }
    }

    /// Whether an order to load may be given.
    pub(super) fn order(&mut self) -> bool {
        self.orders.as_mut().is_none_or(Tokens::take)
    }

    /// A client's own retry, which is no one's to allow: it counts all the same.
    pub(super) fn came_again(&mut self) {
        if let Some(tokens) = &mut self.resends {
            tokens.take();
        }
    }
}

impl Router {
    /// What may be spent from now on; what was spent before.
    pub fn budget(&mut self, next: Budget) -> Budget {
        for (zone, gate) in &next.zones {
            // Danger: what failed before a zone was left would keep this router from it for long. The fleet lets it in again: it is tried.
            if gate.left > 0 && self.budget.zones.get(zone).is_some_and(|last| last.left == 0) {
                self.zones.remove(zone);
                for (slot, w) in self.workers.iter_mut().enumerate().filter(|(_, w)| w.zone == *zone) {
                    w.lost.fill(Default::default());
                    w.slow = Default::default();
                    self.fleet.update(slot, w, self.now);
                }
            }
        }
        std::mem::replace(&mut self.budget, Budget { worth: 0, shed: 0, shed_up_to: 0, ..next })
    }

    /// A first try that may be repeated and goes to a zone which the fleet tries, if it can be in time there: its smallest estimate.
    pub(super) fn trial(&mut self, request: &Request) -> Option<Estimate> {
        let may = request.attempts.is_empty() && request.rules.effect == Effect::Idempotent;
        if !may || !self.budget.zones.values().any(|g| g.wanted && g.left > 0) {
            return None;
        }
        let known = self.known(request.function);
        let ranks = self.ranks(request.function, known.homes);
        let wanted = |zone: &usize| self.budget.zones.get(zone).is_some_and(|g| g.wanted && g.left > 0);
        let there = (0..self.workers.len()).filter(|w| wanted(&self.workers[*w].zone));
        let left = request.deadline.saturating_sub(self.now) as f64;
        let estimate = |w| self.estimate(request, w, candidates::rank(&ranks, w), &known);
        let fits = there.filter_map(estimate).filter(|e| e.total <= left);
        fits.min_by(|a, b| a.total.total_cmp(&b.total))
    }

    /// A class's worth against the highest.
    pub(super) fn worth(&self, class: usize) -> f64 {
        let most = self.set.classes.iter().map(|c| c.credit).fold(f64::MIN_POSITIVE, f64::max);
        (self.set.classes[class].credit / most).clamp(0.0, 1.0)
    }

    /// Whether the fleet's level turns the request away before anything of it ran, and for how long it should stay away: spread
    /// over the time of recovery, so that all do not come back at one moment.
    pub(super) fn sheds(&mut self, request: &Request) -> Option<Micros> {
        if self.budget.level == 0 || !request.attempts.is_empty() {
            return None;
        }
        let credit = |class: usize| self.set.classes[class].credit;
        let mut below: Vec<f64> = self.set.classes.iter().map(|c| c.credit).collect();
        below.sort_by(f64::total_cmp);
        below.dedup();
        let place = below.iter().filter(|c| **c < credit(request.class)).count();
        let id = &self.functions[request.function].id;
        let standing = admission::standing(place, below.len(), request.over_quota, rendezvous(id, id));
        if admission::admits(self.budget.level, standing) {
            return None;
        }
        self.budget.shed += 1;
        self.budget.shed_up_to = self.budget.shed_up_to.max(standing);
        let back = self.budget.back;
        Some((back / 2 + u64::from(self.rng.next_u32()) % (back + 1)).min(self.set.max_retry_after))
    }
}

#[cfg(test)]
mod tests;
