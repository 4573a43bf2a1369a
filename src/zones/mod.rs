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
use crate::core::Trace;
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
    pub fn seen(&mut self, now: Micros, trace: Trace) {
        let Trace { worker, sent, end } = trace;
        let Some((outcome, kind, took)) = end else { return self.machine.sent(now, &worker) };
        let end = match outcome {
            Outcome::ConnectFailed => End::Refused,
            Outcome::Reset => End::Reset,
            Outcome::Timeout | Outcome::Cancelled | Outcome::Moot => End::GivenUp,
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
            if let Some(gate) = last.get(place).filter(|g| g.got > 0) {
                self.machine.entered(zone, gate.got);
            }
            if let Some(left) = self.machine.gate(now, zone) {
                gates.insert(*place, ZoneGate { left, got: 0, wanted: self.machine.wants(zone) });
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
mod tests {
    use super::*;
    use crate::names::State;

    const MS: Micros = 1_000;

    fn zones() -> Zones {
        let options = Options { silent: 300 * MS, stay: 500 * MS, dwell: 200 * MS };
        let settings = crate::config::Config::read(include_str!("../../deploy/example.json"))
            .expect("the shipped example")
            .parts
            .settings
            .module;
        let mut zones = Zones::new(&options, &settings, "a", 0);
        let executor = |zone: &str, n: usize| Executor {
            id: format!("{zone}{n}").into(),
            address: ([127, 0, 0, 1], 9).into(),
            zone: zone.into(),
            kind: "std".into(),
            cell: 0,
            state: State::Ready,
            started_ms: 0,
        };
        let list: Vec<Executor> =
            ["a", "b"].iter().flat_map(|z| (0..2).map(move |n| executor(z, n))).collect();
        zones.listed(&list, &["b".into(), "a".into()]);
        zones
    }

    fn attempt(zones: &mut Zones, now: Micros, worker: &str, outcome: Outcome) {
        let trace = |end| Trace { worker: worker.into(), sent: now, end };
        zones.seen(now, trace(None));
        zones.seen(now, trace(Some((outcome, 1, Some(50 * MS)))));
    }

    #[test]
    fn alone_it_leaves_a_zone_whose_executors_are_gone_and_the_gate_is_that_of_its_place() {
        let mut h = zones();
        ["a0", "a1", "b0", "b1"].iter().for_each(|w| attempt(&mut h, 10 * MS, w, Outcome::Ok));
        h.advance(50 * MS, View::default());
        assert!(h.gates(50 * MS, &BTreeMap::new()).is_empty());
        ["b0", "b1"].iter().for_each(|w| attempt(&mut h, 60 * MS, w, Outcome::Reset));
        ["a0", "a1"].iter().for_each(|w| attempt(&mut h, 70 * MS, w, Outcome::Ok));
        h.advance(100 * MS, View::default());
        let shut = |wanted| ZoneGate { left: 0, got: 0, wanted };
        assert_eq!(h.gates(100 * MS, &BTreeMap::new()), [(0, shut(true))].into());
        assert_eq!(h.counts(), (1, 1));
    }

    #[test]
    fn an_operators_word_goes_before_evidence_until_it_is_over() {
        let mut h = zones();
        assert_eq!(h.say(0, "c", Some((Order::Leave, MS))), Err(ZoneError::Unknown("c".into())));
        assert_eq!(h.say(0, "a", Some((Order::Leave, 500 * MS))), Ok(()));
        let shut = ZoneGate { left: 0, got: 0, wanted: false };
        assert_eq!(h.gates(100 * MS, &BTreeMap::new()), [(1, shut)].into());
        assert!(h.gates(600 * MS, &BTreeMap::new()).is_empty(), "it is over");
        assert_eq!(h.say(700 * MS, "a", Some((Order::Leave, MOST_ORDER * 9))), Ok(()));
        assert_eq!(h.say(800 * MS, "a", None), Ok(()));
        assert!(h.gates(900 * MS, &BTreeMap::new()).is_empty(), "it was taken back");
    }

    #[test]
    fn bytes_that_are_no_report_change_nothing() {
        let mut h = zones();
        h.heard(0, &"x".into(), &[255; 50]);
        h.heard(0, &"x".into(), &[]);
        assert_eq!(h.counts(), (0, 0));
    }
}
