//! Where copies stand, as far as it is known: by function and zone, however many workers there are.

use crate::plan::World;
use crate::{Cost, Function, MOST_FUNCTIONS, MOST_ZONES, Micros, Zone};
use std::collections::BTreeMap;

/// A figure that no zone can have.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum Unusable {
    /// There is no such zone.
    #[error("zone {0} is beyond the {MOST_ZONES} that are told apart: name fewer zones in the settings")]
    Zone(Zone),
    /// It is no number, or a negative one.
    #[error("{0} is no cost: look where it comes from, in `costs` of the settings or in what a peer tells")]
    Figure(f64),
}

/// What is known of a function in a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stand {
    /// When a copy was last used there, if one was.
    pub used: Option<Micros>,
    /// Calls a second by sessions that stood there, wherever they were answered, at the last of them, and when that was.
    pub rate: f64,
    /// See `rate`.
    pub asked: Micros,
}

/// What is known of all.
#[derive(Clone, Debug)]
pub struct Stands {
    zones: usize,
    now: Micros,
    keep: f64,
    stands: BTreeMap<Function, [Stand; MOST_ZONES]>,
    /// When each function was last called, so that the one that was not for longest gives way.
    called: BTreeMap<Function, Micros>,
    load: BTreeMap<Function, Cost>,
    usual_load: Cost,
    /// The share of the ration and of cold workers' budgets that is left in each zone, and the chance that it is left.
    left: [f64; MOST_ZONES],
    leaving: [f64; MOST_ZONES],
    /// The worth that a copy drives out when it is loaded, in microseconds.
    displaced: [f64; MOST_ZONES],
    crossing: Cost,
}

/// Rates fade to half in this time.
const RATE_HALF: f64 = 30_000_000.0;
/// A load counts as shared by so many uses at the most.
const MOST_USES: f64 = 64.0;
/// A copy is believed for this share of its time: clocks and messages are late.
const BELIEVED: f64 = 0.97;

fn faded(since: Micros, now: Micros) -> f64 {
    0.5_f64.powf(now.saturating_sub(since) as f64 / RATE_HALF)
}

impl Stands {
    /// Knowing nothing. A copy stands for `keep` after its last call; a crossing costs so much, and a load where none was seen so much.
    pub fn new(zones: usize, keep: Micros, crossing: Cost, load: Cost) -> Result<Stands, Unusable> {
        if zones > MOST_ZONES {
            return Err(Unusable::Zone(zones));
        }
        figure(crossing.mean)?;
        figure(load.mean)?;
        Ok(Stands {
            zones,
            now: 0,
            keep: keep.max(1) as f64,
            stands: BTreeMap::new(),
            called: BTreeMap::new(),
            load: BTreeMap::new(),
            usual_load: load,
            left: [1.0; MOST_ZONES],
            leaving: [0.0; MOST_ZONES],
            displaced: [0.0; MOST_ZONES],
            crossing,
        })
    }

    /// The time that what is asked of it is for.
    pub fn at(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }

    /// A session in a zone called a function, and a copy in a zone, that one or another, answered: it stands there.
    pub fn called(&mut self, now: Micros, function: Function, from: Zone, zone: Zone) {
        self.at(now);
        if zone >= self.zones || from >= self.zones {
            return;
        }
        let none = [Stand { used: None, rate: 0.0, asked: 0 }; MOST_ZONES];
        let stands = self.stands.entry(function).or_insert(none);
        let asked = &mut stands[from];
        asked.rate = asked.rate * faded(asked.asked, now) + std::f64::consts::LN_2 * 1e6 / RATE_HALF;
        asked.asked = now;
        stands[zone].used = Some(now);
        self.called.insert(function, now);
        if self.stands.len() > MOST_FUNCTIONS {
            let oldest = self.called.iter().min_by_key(|(_, at)| **at).map(|(f, _)| *f);
            if let Some(function) = oldest {
                self.stands.remove(&function);
                self.called.remove(&function);
                self.load.remove(&function);
            }
        }
    }

    /// A load took so long.
    pub fn loaded(&mut self, function: Function, took: f64) -> Result<(), Unusable> {
        figure(took)?;
        if self.stands.contains_key(&function) {
            let usual = self.usual_load;
            let load = self.load.entry(function).or_insert(usual);
            let error = took - load.mean;
            load.mean += 0.25 * error;
            load.var = 0.75 * (load.var + 0.25 * error * error);
        }
        Ok(())
    }

    /// A zone was lost, or all its copies are void.
    pub fn lost(&mut self, zone: Zone) {
        self.stands.values_mut().filter_map(|s| s.get_mut(zone)).for_each(|s| (s.used, s.rate) = (None, 0.0));
    }

    /// A release voids a function's copies everywhere.
    pub fn released(&mut self, function: Function) {
        self.stands.get_mut(&function).into_iter().flatten().for_each(|s| s.used = None);
    }

    /// How a zone is: the share of its budgets for loads that is left, the chance that it is left, the worth that a load drives out.
    pub fn zone(&mut self, zone: Zone, left: f64, leaving: f64, displaced: f64) -> Result<(), Unusable> {
        if zone >= self.zones {
            return Err(Unusable::Zone(zone));
        }
        [left, leaving, displaced].into_iter().try_for_each(figure)?;
        (self.left[zone], self.leaving[zone]) = (left.min(1.0), leaving.min(1.0));
        self.displaced[zone] = displaced;
        Ok(())
    }

    /// The chance that a copy stands in a zone.
    pub fn standing(&self, function: Function, zone: Zone) -> f64 {
        let used = self.stands.get(&function).and_then(|s| s.get(zone)).and_then(|s| s.used);
        match used.map(|u| self.now.saturating_sub(u) as f64 / self.keep) {
            Some(idle) if idle < BELIEVED => 0.98,
            Some(idle) if idle < 1.0 => 0.98 * (1.0 - idle) / (1.0 - BELIEVED),
            _ => 0.02,
        }
    }

    /// Calls that a copy would serve before it ages out, were it loaded there: more than one where sessions there call more often.
    pub fn uses(&self, function: Function, zone: Zone) -> f64 {
        let stand = self.stands.get(&function).and_then(|s| s.get(zone));
        let rate = stand.map_or(0.0, |s| s.rate * faded(s.asked, self.now));
        (rate * self.keep / 1e6).clamp(1.0, MOST_USES)
    }

    /// Functions of which something is kept.
    pub fn functions(&self) -> usize {
        self.stands.len()
    }
}

fn figure(figure: f64) -> Result<(), Unusable> {
    let good = figure.is_finite() && figure >= 0.0;
    good.then_some(()).ok_or(Unusable::Figure(figure))
}

impl World for Stands {
    fn zones(&self) -> usize {
        self.zones
    }

    fn recompute(&self, function: Function, zone: Zone) -> Cost {
        let load = self.load.get(&function).copied().unwrap_or(self.usual_load);
        // With little budget left a load waits for its turn.
        let wait = 1.0 / self.left.get(zone).copied().unwrap_or(1.0).max(0.1);
        let displaced = self.displaced.get(zone).copied().unwrap_or(0.0);
        let uses = self.uses(function, zone);
        let whole = Cost { mean: load.mean * wait, var: load.var * wait * wait };
        (whole + Cost::sure(displaced)).shared(uses).with_chance(1.0 - self.standing(function, zone))
    }

    fn transfer(&self, from: Zone, to: Zone) -> Cost {
        if from == to {
            return Cost::default();
        }
        let lost = self.usual_load.with_chance(self.leaving.get(to).copied().unwrap_or(0.0));
        self.crossing + lost
    }
}
