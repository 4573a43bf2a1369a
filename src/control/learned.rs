//! The state that a router has learned, as one process hands it over to its successor or to a peer.
//!
//! A successor takes over all of it, a peer only what holds for any router. The data comes from outside the process and is
//! checked before it is used. The tables of the sender bound its size; dormant functions are limited to [`MAX_DORMANT`].
//! No requests are decided here.

use super::cold_start::ColdBudget;
use super::preference::PreferenceRing;
use super::tables::{ClassEstimates, Function, Replica, Worker};
use super::{DecayingMean, Router};
use crate::api::{Micros, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet, VecDeque};

/// Limit of plausible times and counts: about three hours, in microseconds.
const MAX_FIGURE: f64 = 1e10;
/// Limit of plausible replicas of one function at one worker.
const MAX_REPLICAS: u32 = 1_024;
/// Limit of the dormant functions that are handed over, which keeps the handover message short.
const MAX_DORMANT: usize = 4_096;

/// State that a router has learned. The field names and their order are the format of the handover.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct LearnedState {
    workers: Vec<Worker>,
    functions: Vec<Function>,
    #[serde(rename = "pools")]
    class_estimates: Vec<ClassEstimates>,
    /// Evidence of the slowness of the function store, in second place. The first place is of an earlier format and is ignored.
    rates: (DecayingMean, DecayingMean),
    /// Times of the requests and of the load orders that the load ration counts.
    ration: (VecDeque<Micros>, VecDeque<Micros>),
}

impl LearnedState {
    /// Returns the part of a peer's state that this router may start from: run and load times, and the replicas with their
    /// ages. All times are moved back by `behind`, by which this router's clock is behind the peer's. State that holds for the peer alone is left out: its rations, requests in
    /// progress, broken connections and refusals. Returns `None` if a figure is implausible.
    pub fn from_peer(self, behind: Micros) -> Option<LearnedState> {
        let rebased = |at: Micros| at.saturating_sub(behind);
        let plausible = |figure: f64| (0.0..=MAX_FIGURE).contains(&figure);
        let plausible_evidence = |evidence: &DecayingMean| evidence.is_plausible(MAX_FIGURE);
        let plausible_function = |f: &Function| {
            let loads = f.stated_load_time.iter().chain(&f.load_time).all(|load| plausible(*load));
            let figures = loads && plausible(f.run_time) && plausible(f.lanes);
            figures && plausible_evidence(&f.request_rate) && plausible_evidence(&f.home_hits)
        };
        let plausible_estimates = |p: &ClassEstimates| {
            p.load_time.is_none_or(plausible) && plausible(p.run_time) && plausible_evidence(&p.home_hits)
        };
        let plausible_replicas =
            |w: &Worker| w.replicas.values().all(|replica| replica.count <= MAX_REPLICAS);
        let all_plausible = self.functions.iter().all(plausible_function)
            && self.class_estimates.iter().all(plausible_estimates)
            && self.workers.iter().all(|w| plausible_evidence(&w.slowness) && plausible_replicas(w));
        if !all_plausible {
            return None;
        }
        let classes = self.class_estimates.len();
        let replica = |m: Replica| Replica {
            count: m.count,
            last_used: rebased(m.last_used),
            last_requested: rebased(m.last_requested),
            ..Replica::default()
        };
        let worker = |w: Worker| Worker {
            ready_at: w.ready_at.map(rebased),
            replicas: w.replicas.into_iter().map(|(f, m)| (f, replica(m))).collect(),
            slowness: w.slowness.rebased(behind),
            losses_by_class: vec![DecayingMean::default(); classes],
            last_answer_by_class: vec![0; classes],
            id: w.id,
            zone: w.zone,
            cell: w.cell,
            ..Worker::default()
        };
        let function = |f: Function| Function {
            request_rate: f.request_rate.rebased(behind),
            home_hits: f.home_hits.rebased(behind),
            id: f.id,
            class: f.class,
            lanes: f.lanes,
            stated_load_time: f.stated_load_time,
            load_time: f.load_time,
            run_time: f.run_time,
            answer_count: f.answer_count,
            served: f.served,
            ..Function::default()
        };
        let pool = |p: ClassEstimates| ClassEstimates {
            home_hits: p.home_hits.rebased(behind),
            run_time: p.run_time,
            load_time: p.load_time,
            ..ClassEstimates::default()
        };
        Some(LearnedState {
            workers: self.workers.into_iter().map(worker).collect(),
            functions: self.functions.into_iter().map(function).collect(),
            class_estimates: self.class_estimates.into_iter().map(pool).collect(),
            ..LearnedState::default()
        })
    }

    /// Returns whether all indexes refer to existing entries, all times are in the past and ids are unique. A message from
    /// another process may contain anything.
    fn is_consistent(&self, now: Micros) -> bool {
        let (functions, classes) = (self.functions.len(), self.class_estimates.len());
        let worker = |w: &Worker| {
            let per_class = w.losses_by_class.len() == classes && w.last_answer_by_class.len() == classes;
            let replicas = w.replicas.iter().all(|(function, replica)| {
                let loading = replica.loading.is_none_or(|(began, due)| began <= now && began <= due);
                *function < functions && loading && replica.last_used <= now && replica.last_requested <= now
            });
            per_class && replicas && w.last_sent <= now
        };
        // Two entries with one id would give one worker or function two slots.
        let worker_ids: HashSet<&str> = self.workers.iter().map(|w| &*w.id).collect();
        let function_ids: HashSet<&str> = self.functions.iter().map(|f| &*f.id).collect();
        let unique = worker_ids.len() == self.workers.len() && function_ids.len() == functions;
        let times = self.ration.0.iter().chain(&self.ration.1);
        unique
            && self.workers.iter().all(worker)
            && self.functions.iter().all(|f| f.class < classes)
            && times.into_iter().all(|t| *t <= now)
    }
}

impl Router {
    /// Returns the learned state for a handover.
    pub fn learned(&self) -> LearnedState {
        // Functions are renumbered without gaps; the successor assigns slots of its own.
        let numbers: HashMap<usize, usize> =
            self.functions.iter().enumerate().map(|(number, (slot, _))| (slot, number)).collect();
        let mut functions: Vec<Function> = self.functions.iter().map(|(_, f)| f.clone()).collect();
        functions.extend(self.functions.dormant_functions().take(MAX_DORMANT));
        let renumbered = |w: &Worker| {
            let replicas = w
                .replicas
                .iter()
                .filter_map(|(slot, replica)| Some((*numbers.get(slot)?, *replica)))
                .collect();
            Worker { replicas, ..w.clone() }
        };
        LearnedState {
            workers: self.workers.iter().map(renumbered).collect(),
            functions,
            class_estimates: self.class_estimates.clone(),
            rates: (DecayingMean::default(), self.store_slowness),
            ration: (self.recent_requests.clone(), self.recent_load_orders.clone()),
        }
    }

    /// Replaces the state of this router by the learned one, without requests in progress. Returns false and changes nothing
    /// if this router has requests or the state is inconsistent. Settings whose classes have the same indexes, and a worker
    /// list, must be applied afterwards.
    pub fn restore(&mut self, now: Micros, learned: LearnedState) -> bool {
        let usable = self.requests.is_empty() && learned.is_consistent(now);
        if !usable {
            return false;
        }
        let LearnedState { workers, functions, class_estimates: pools, rates, ration } = learned;
        (self.workers, self.class_estimates) = (workers, pools);
        ((_, self.store_slowness), (self.recent_requests, self.recent_load_orders)) = (rates, ration);
        for times in [&mut self.recent_requests, &mut self.recent_load_orders] {
            times.make_contiguous().sort_unstable();
        }
        let slots = self.functions.replace(now, functions);
        // The predecessor may spend the permits that it holds.
        let cold_budgets: Vec<ColdBudget> =
            self.workers.iter().map(|worker| self.starting_cold_budget(&worker.id)).collect();
        for (worker_slot, worker) in self.workers.iter_mut().enumerate() {
            worker.open_attempts.clear();
            worker.cold_budget = cold_budgets[worker_slot];
            let replicas = std::mem::take(&mut worker.replicas).into_iter();
            worker.replicas = replicas
                .map(|(number, replica)| (slots[number], Replica { own_in_flight: 0, ..replica }))
                .collect();
            for function_slot in worker.replicas.keys() {
                self.functions[*function_slot].holders.push(worker_slot as u32);
            }
        }
        self.worker_ids =
            self.workers.iter().enumerate().map(|(slot, worker)| (worker.id.clone(), slot)).collect();
        self.unlisted = (0..self.workers.len()).filter(|slot| !self.workers[*slot].listed).collect();
        let all: Vec<(usize, WorkerId)> =
            self.workers.iter().enumerate().map(|(slot, worker)| (slot, worker.id.clone())).collect();
        self.ring = PreferenceRing::default();
        self.ring.update(&[], &all);
        self.update_preference_order();
        self.rebuild_indexes();
        self.update_worker_capacity();
        true
    }
}
