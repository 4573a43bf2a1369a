//! Estimates of where warm copies of functions are and of what loads and transfers cost, by function and zone. The tables
//! do not depend on the number of workers and hold at most [`MAX_FUNCTIONS`] functions in [`MAX_ZONES`] zones.

use crate::plan::CostModel;
use crate::{Cost, Function, MAX_FUNCTIONS, MAX_ZONES, Micros, Zone};
use std::collections::BTreeMap;

/// Why an input was rejected.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum InvalidInput {
    /// The zone, or the number of zones, is out of range.
    #[error("zone {0} is beyond the maximum of {MAX_ZONES} zones: name fewer zones in the settings")]
    Zone(Zone),
    /// The value is negative or not a finite number.
    #[error("{0} is not a valid cost: check its source, `costs` of the settings or a peer's messages")]
    Value(f64),
}

/// The estimates for a function in a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ZoneEstimate {
    /// When a copy in the zone was last used.
    last_used: Option<Micros>,
    /// The rate of calls by sessions in the zone, wherever they were served, in calls per second as of `last_call`.
    rate: f64,
    /// When a session in the zone last called the function.
    last_call: Micros,
}

/// The estimates for all functions and zones of one dispatcher.
#[derive(Clone, Debug)]
pub struct WarmCopies {
    zones: usize,
    now: Micros,
    keep_alive: f64,
    estimates: BTreeMap<Function, [ZoneEstimate; MAX_ZONES]>,
    /// When each function was last called; the function that was not called for longest is evicted.
    last_call: BTreeMap<Function, Micros>,
    load_cost: BTreeMap<Function, Cost>,
    default_load_cost: Cost,
    /// The share of each zone's ration and of its cold workers' budgets that is left.
    budget_left: [f64; MAX_ZONES],
    /// The probability that each zone is abandoned.
    leave_chance: [f64; MAX_ZONES],
    /// The value of the copies that a load evicts in each zone, in microseconds.
    eviction_cost: [f64; MAX_ZONES],
    transfer_cost: Cost,
}

/// The half-life of call rates in microseconds.
const RATE_HALF_LIFE: f64 = 30_000_000.0;
/// The maximum number of uses over which the cost of a load is shared.
const MAX_USES: f64 = 64.0;
/// The share of the keep-alive time up to which an idle copy counts as fully warm. Clocks and messages lag, so a copy near
/// its keep-alive time may already be gone.
const CERTAIN_SHARE: f64 = 0.97;

fn decay_factor(since: Micros, now: Micros) -> f64 {
    0.5_f64.powf(now.saturating_sub(since) as f64 / RATE_HALF_LIFE)
}

impl WarmCopies {
    /// Returns estimates without any observation. A copy stays warm for `keep_alive` after its last call; `transfer_cost`
    /// is the cost of a transfer between zones, and `load_cost` that of a load of a function without observations.
    pub fn new(
        zones: usize,
        keep_alive: Micros,
        transfer_cost: Cost,
        load_cost: Cost,
    ) -> Result<WarmCopies, InvalidInput> {
        if zones > MAX_ZONES {
            return Err(InvalidInput::Zone(zones));
        }
        check_value(transfer_cost.mean)?;
        check_value(load_cost.mean)?;
        Ok(WarmCopies {
            zones,
            now: 0,
            keep_alive: keep_alive.max(1) as f64,
            estimates: BTreeMap::new(),
            last_call: BTreeMap::new(),
            load_cost: BTreeMap::new(),
            default_load_cost: load_cost,
            budget_left: [1.0; MAX_ZONES],
            leave_chance: [0.0; MAX_ZONES],
            eviction_cost: [0.0; MAX_ZONES],
            transfer_cost,
        })
    }

    /// Advances the time as of which estimates are returned.
    pub fn advance_to(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }

    /// Records that a session in zone `from` called a function and that a worker in `zone`, the same or another, answered.
    /// The copy in `zone` is then warm.
    pub fn record_call(&mut self, now: Micros, function: Function, from: Zone, zone: Zone) {
        self.advance_to(now);
        if zone >= self.zones || from >= self.zones {
            return;
        }
        let none = [ZoneEstimate { last_used: None, rate: 0.0, last_call: 0 }; MAX_ZONES];
        let estimates = self.estimates.entry(function).or_insert(none);
        let caller = &mut estimates[from];
        caller.rate =
            caller.rate * decay_factor(caller.last_call, now) + std::f64::consts::LN_2 * 1e6 / RATE_HALF_LIFE;
        caller.last_call = now;
        estimates[zone].last_used = Some(now);
        self.last_call.insert(function, now);
        if self.estimates.len() > MAX_FUNCTIONS {
            let oldest = self.last_call.iter().min_by_key(|(_, at)| **at).map(|(f, _)| *f);
            if let Some(function) = oldest {
                self.estimates.remove(&function);
                self.last_call.remove(&function);
                self.load_cost.remove(&function);
            }
        }
    }

    /// Records the duration of a load in microseconds.
    pub fn record_load(&mut self, function: Function, duration: f64) -> Result<(), InvalidInput> {
        check_value(duration)?;
        if self.estimates.contains_key(&function) {
            let default = self.default_load_cost;
            let load = self.load_cost.entry(function).or_insert(default);
            let error = duration - load.mean;
            load.mean += 0.25 * error;
            load.var = 0.75 * (load.var + 0.25 * error * error);
        }
        Ok(())
    }

    /// Records that a zone was lost or that all its copies are invalid.
    pub fn zone_lost(&mut self, zone: Zone) {
        let in_zone = self.estimates.values_mut().filter_map(|zones| zones.get_mut(zone));
        in_zone.for_each(|estimate| (estimate.last_used, estimate.rate) = (None, 0.0));
    }

    /// Records a release, which invalidates a function's copies in all zones.
    pub fn released(&mut self, function: Function) {
        let zones = self.estimates.get_mut(&function).into_iter().flatten();
        zones.for_each(|estimate| estimate.last_used = None);
    }

    /// Sets the state of a zone: the share of its load budgets that is left, the probability that the zone is abandoned, and
    /// the value in microseconds of the copies that a load evicts.
    pub fn update_zone(
        &mut self,
        zone: Zone,
        budget_left: f64,
        leave_chance: f64,
        eviction_cost: f64,
    ) -> Result<(), InvalidInput> {
        if zone >= self.zones {
            return Err(InvalidInput::Zone(zone));
        }
        [budget_left, leave_chance, eviction_cost].into_iter().try_for_each(check_value)?;
        (self.budget_left[zone], self.leave_chance[zone]) = (budget_left.min(1.0), leave_chance.min(1.0));
        self.eviction_cost[zone] = eviction_cost;
        Ok(())
    }

    /// Returns the probability that a warm copy is in a zone.
    pub fn warm_chance(&self, function: Function, zone: Zone) -> f64 {
        let last_used = self.estimates.get(&function).and_then(|e| e.get(zone)).and_then(|e| e.last_used);
        match last_used.map(|used| self.now.saturating_sub(used) as f64 / self.keep_alive) {
            Some(idle_share) if idle_share < CERTAIN_SHARE => 0.98,
            Some(idle_share) if idle_share < 1.0 => 0.98 * (1.0 - idle_share) / (1.0 - CERTAIN_SHARE),
            _ => 0.02,
        }
    }

    /// Returns how many calls a copy loaded in the zone is expected to serve within its keep-alive time, at least 1, from
    /// the rate of calls by sessions in the zone.
    pub fn expected_uses(&self, function: Function, zone: Zone) -> f64 {
        let estimate = self.estimates.get(&function).and_then(|zones| zones.get(zone));
        let rate = estimate.map_or(0.0, |e| e.rate * decay_factor(e.last_call, self.now));
        (rate * self.keep_alive / 1e6).clamp(1.0, MAX_USES)
    }

    /// Returns the number of functions tracked.
    pub fn functions(&self) -> usize {
        self.estimates.len()
    }
}

fn check_value(value: f64) -> Result<(), InvalidInput> {
    let valid = value.is_finite() && value >= 0.0;
    valid.then_some(()).ok_or(InvalidInput::Value(value))
}

impl CostModel for WarmCopies {
    fn zones(&self) -> usize {
        self.zones
    }

    fn recompute(&self, function: Function, zone: Zone) -> Cost {
        let load = self.load_cost.get(&function).copied().unwrap_or(self.default_load_cost);
        // A load waits longer for its turn the less budget is left.
        let slowdown = 1.0 / self.budget_left.get(zone).copied().unwrap_or(1.0).max(0.1);
        let eviction_cost = self.eviction_cost.get(zone).copied().unwrap_or(0.0);
        let uses = self.expected_uses(function, zone);
        let delayed_load = Cost { mean: load.mean * slowdown, var: load.var * slowdown * slowdown };
        let cold_chance = 1.0 - self.warm_chance(function, zone);
        (delayed_load + Cost::exact(eviction_cost)).per_use(uses).with_chance(cold_chance)
    }

    fn transfer(&self, from: Zone, to: Zone) -> Cost {
        if from == to {
            return Cost::default();
        }
        // If the destination is abandoned, its copies are lost and have to be loaded again.
        let lost_copies =
            self.default_load_cost.with_chance(self.leave_chance.get(to).copied().unwrap_or(0.0));
        self.transfer_cost + lost_copies
    }
}
