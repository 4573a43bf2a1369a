//! Zones as one fleet: when the machine of `crates/zones` is told and asked, and what an operator reads of it.
//!
//! No I/O, the clock passed in: reports go out and come in by the host as notes between members. Off without `[zones]`; then no
//! decision changes. Without peers a dispatcher goes by its own evidence.

mod options;
mod report;

pub use ochreward_zones::{Order, View};
pub use options::Options;
pub use report::{lines, report};

use crate::api::{Micros, Outcome, Settings, WorkerId};
use crate::control::ZoneGate;
use crate::core::AttemptTrace;
use crate::names::Executor;
use ochreward_zones::{End, Report, TOP};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The channel of the membership's notes.
pub const CHANNEL: u8 = 3;
/// The longest time for which an operator's word stands.
pub const MOST_ORDER: Micros = 24 * 3_600 * 1_000_000;

/// A word at the door that can't be obeyed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ZoneError {
    /// No executor stands in such a zone.
    #[error("no executor is listed in zone '{0}': `GET /_zones` names those that are")]
    Unknown(String),
    /// The feature is off.
    #[error("zones are off: put [zones] into this dispatcher's operator's file and start it again")]
    Off,
}

/// The zones as one dispatcher knows them.
pub struct Zones {
    machine: ochreward_zones::Zones,
    /// Places of zones in the settings, by name.
    places: BTreeMap<Arc<str>, usize>,
    home: Arc<str>,
    moves: u64,
}

impl Zones {
    /// One that begins now; `home` is the zone that it stands in.
    pub fn new(options: &Options, settings: &Settings, home: &str, now: Micros) -> Zones {
        let machine = ochreward_zones::Zones::new(options.terms(settings), now);
        Zones { machine, places: BTreeMap::new(), home: home.into(), moves: 0 }
    }

    /// The list of executors, and the settings' names of zones.
    pub fn listed(&mut self, executors: &[Executor], names: &[String]) {
        let place = |e: &Executor| names.iter().position(|n| *n == e.zone).unwrap_or(names.len());
        self.places = executors.iter().map(|e| (Arc::from(e.zone.as_str()), place(e))).collect();
        let list: Vec<(WorkerId, Arc<str>)> =
            executors.iter().map(|e| (e.id.clone(), e.zone.as_str().into())).collect();
        self.machine.listed(&list);
    }

    /// Takes what became of attempts.
    pub fn seen(&mut self, now: Micros, trace: AttemptTrace) {
        let AttemptTrace { worker, sent, end } = trace;
        let Some((outcome, kind, took)) = end else { return self.machine.sent(now, &worker) };
        let end = match outcome {
            Outcome::ConnectFailed => End::Refused,
            Outcome::Reset => End::Reset,
            Outcome::Timeout | Outcome::Cancelled | Outcome::NotSent => End::GivenUp,
            Outcome::Ok => End::Answered(kind, took),
            Outcome::Full | Outcome::Error | Outcome::Miss | Outcome::Unknown => End::Answered(kind, None),
        };
        self.machine.ended(now, &worker, sent, end);
    }

    /// Another's words. Danger: they may be any bytes.
    pub fn heard(&mut self, now: Micros, from: &Arc<str>, bytes: &[u8]) {
        if let Some(report) = Report::read(bytes) {
            self.machine.told(now, from, report);
        }
    }

    /// Does what is due; what is to be said, and to whom.
    pub fn advance(&mut self, now: Micros, view: View) -> Vec<(Arc<str>, Vec<u8>)> {
        if now < self.machine.due() {
            return Vec::new();
        }
        let steps = |h: &Zones| -> Vec<u8> {
            h.machine.names().filter_map(|(zone, _)| h.machine.place(zone)).map(|p| p.step).collect()
        };
        let before = steps(self);
        let words = self.machine.advance(now, &View { home: self.home.clone(), ..view });
        self.moves += u64::from(steps(self) != before);
        words.into_iter().map(|(to, report)| (to, report.written())).collect()
    }

    /// When `advance` next has something to do.
    pub fn due(&self) -> Micros {
        self.machine.due()
    }

    /// Requests that may go to each zone now, by its place in the settings, where something is held back; `last` is what the module
    /// sent through the gates that it was given before.
    pub fn gates(&mut self, now: Micros, last: &BTreeMap<usize, ZoneGate>) -> BTreeMap<usize, ZoneGate> {
        let mut gates = BTreeMap::new();
        for (zone, place) in &self.places {
            if let Some(gate) = last.get(place).filter(|g| g.sent > 0) {
                self.machine.entered(zone, gate.sent);
            }
            if let Some(left) = self.machine.gate(now, zone) {
                gates.insert(*place, ZoneGate { remaining: left, sent: 0, probe: self.machine.wants(zone) });
            }
        }
        gates
    }

    /// An operator's word for so long; none ends the one before.
    pub fn say(&mut self, now: Micros, zone: &str, order: Option<(Order, Micros)>) -> Result<(), ZoneError> {
        let until = order.map(|(order, time)| (order, now + time.min(MOST_ORDER)));
        let known = self.machine.say(zone, until);
        known.then_some(()).ok_or_else(|| ZoneError::Unknown(zone.to_string()))
    }

    /// Zones of which less than the usual is used, and changes of step that were seen.
    pub fn counts(&self) -> (u64, u64) {
        let held =
            |(zone, held): (&Arc<str>, bool)| held || self.machine.place(zone).is_some_and(|p| p.step < TOP);
        (self.machine.names().filter(|n| held(*n)).count() as u64, self.moves)
    }
}

#[cfg(test)]
mod tests;
