//! Applies the fleet's decisions to leave a failing zone and to return to it: feeds attempts and reports to the state
//! machine in `crates/zones`, limits the requests to each zone accordingly, and reports the state to operators.
//!
//! This module does no I/O: the clock is passed in, and the host carries reports between members as notes. Disabled without
//! `[zones]`; then no decision changes. Without peers a dispatcher uses its own observations. The tables are bounded by
//! `crates/zones`.

mod options;
mod report;

pub use ochreward_zones::{FleetView, Order};
pub use options::Options;
pub use report::{lines, report};

use crate::api::{Micros, Outcome, Settings, WorkerId};
use crate::control::ZoneGate;
use crate::core::AttemptTrace;
use crate::discovery::Executor;
use ochreward_zones::{AttemptOutcome, Report, TOP_STEP};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Channel of zone reports among the membership's notes.
pub const CHANNEL: u8 = 3;
/// Maximum duration of an operator's order.
pub const MOST_ORDER: Micros = 24 * 3_600 * 1_000_000;

/// The reason why an operator's order is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ZoneError {
    /// No executor is listed in the zone.
    #[error("no executor is listed in zone '{0}': `GET /_zones` names those that are")]
    UnknownZone(String),
    /// Zone handling is disabled.
    #[error("zone handling is disabled: add [zones] to this dispatcher's operator's file and restart it")]
    Disabled,
}

/// The state of the zones at one dispatcher.
pub struct Zones {
    fleet_state: ochreward_zones::Zones,
    /// Index of each zone in the settings, by name.
    indices: BTreeMap<Arc<str>, usize>,
    home: Arc<str>,
    /// Number of times that the steps of the zones have changed.
    step_changes: u64,
}

impl Zones {
    /// Creates the state of a dispatcher that starts now in the zone `home`.
    pub fn new(options: &Options, settings: &Settings, home: &str, now: Micros) -> Zones {
        let fleet_state = ochreward_zones::Zones::new(options.terms(settings), now);
        Zones { fleet_state, indices: BTreeMap::new(), home: home.into(), step_changes: 0 }
    }

    /// Takes a new list of executors; `names` are the zones of the settings in order.
    pub fn set_executors(&mut self, executors: &[Executor], names: &[String]) {
        let index = |e: &Executor| names.iter().position(|n| *n == e.zone).unwrap_or(names.len());
        self.indices = executors.iter().map(|e| (Arc::from(e.zone.as_str()), index(e))).collect();
        let list: Vec<(WorkerId, Arc<str>)> =
            executors.iter().map(|e| (e.id.clone(), e.zone.as_str().into())).collect();
        self.fleet_state.set_workers(&list);
    }

    /// Records the start or the end of an attempt.
    pub fn record_attempt(&mut self, now: Micros, trace: AttemptTrace) {
        let AttemptTrace { worker, sent, end } = trace;
        let Some((outcome, kind, took)) = end else { return self.fleet_state.record_sent(now, &worker) };
        let end = match outcome {
            Outcome::ConnectFailed => AttemptOutcome::Refused,
            Outcome::Reset => AttemptOutcome::Reset,
            Outcome::Timeout | Outcome::Cancelled | Outcome::NotSent => AttemptOutcome::Abandoned,
            Outcome::Ok => AttemptOutcome::Answered(kind, took),
            Outcome::Full | Outcome::Error | Outcome::Miss | Outcome::Unknown => {
                AttemptOutcome::Answered(kind, None)
            }
        };
        self.fleet_state.record_outcome(now, &worker, sent, end);
    }

    /// Takes a report from a peer. The content is untrusted: it may be any bytes.
    pub fn handle_report(&mut self, now: Micros, from: &Arc<str>, bytes: &[u8]) {
        if let Some(report) = Report::decode(bytes) {
            self.fleet_state.record_report(now, from, report);
        }
    }

    /// Runs the timers that are due. Returns the reports to be sent, each with its receiver.
    pub fn advance(&mut self, now: Micros, view: FleetView) -> Vec<(Arc<str>, Vec<u8>)> {
        if now < self.fleet_state.next_evaluation() {
            return Vec::new();
        }
        let steps = |zones: &Zones| -> Vec<u8> {
            let state = &zones.fleet_state;
            state.names().filter_map(|(zone, _)| state.state(zone)).map(|p| p.step).collect()
        };
        let before = steps(self);
        let reports = self.fleet_state.evaluate(now, &FleetView { home: self.home.clone(), ..view });
        self.step_changes += u64::from(steps(self) != before);
        reports.into_iter().map(|(to, report)| (to, report.encode())).collect()
    }

    /// Returns the time at which `advance` next has work to do.
    pub fn due(&self) -> Micros {
        self.fleet_state.next_evaluation()
    }

    /// Returns the number of requests that may go to each restricted zone now, by the zone's index in the settings;
    /// `last` is what the decision module sent through the previous gates.
    pub fn request_gates(
        &mut self,
        now: Micros,
        last: &BTreeMap<usize, ZoneGate>,
    ) -> BTreeMap<usize, ZoneGate> {
        let mut gates = BTreeMap::new();
        for (zone, index) in &self.indices {
            if let Some(gate) = last.get(index).filter(|g| g.sent > 0) {
                self.fleet_state.record_gated(zone, gate.sent);
            }
            if let Some(left) = self.fleet_state.gate_allowance(now, zone) {
                gates.insert(
                    *index,
                    ZoneGate { remaining: left, sent: 0, probe: self.fleet_state.needs_answers(zone) },
                );
            }
        }
        gates
    }

    /// Applies an operator's order to a zone for a limited time; `None` cancels the order in force.
    pub fn set_order(
        &mut self,
        now: Micros,
        zone: &str,
        order: Option<(Order, Micros)>,
    ) -> Result<(), ZoneError> {
        let until = order.map(|(order, duration)| (order, now + duration.min(MOST_ORDER)));
        let known = self.fleet_state.set_order(zone, until);
        known.then_some(()).ok_or_else(|| ZoneError::UnknownZone(zone.to_string()))
    }

    /// Returns the number of zones that receive less than their usual traffic, and the number of step changes.
    pub fn restricted_zones_and_step_changes(&self) -> (u64, u64) {
        let is_restricted = |(zone, restricted): (&Arc<str>, bool)| {
            restricted || self.fleet_state.state(zone).is_some_and(|p| p.step < TOP_STEP)
        };
        let restricted = self.fleet_state.names().filter(|zone| is_restricted(*zone)).count();
        (restricted as u64, self.step_changes)
    }
}

#[cfg(test)]
mod tests;
