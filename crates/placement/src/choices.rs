//! The placement chosen for each pattern and home zone, with hysteresis: a choice is kept until another is clearly better.
//! At most [`MAX_CHOICES`] choices are kept.

use crate::{Cost, CostModel, MAX_CHOICES, Micros, Plan, Planner, Step, Zone};
use std::collections::BTreeMap;

/// The number of standard deviations of both costs by which another choice must be better.
const SWITCH_DEVIATIONS: f64 = 1.0;
/// The share of the current cost by which another choice must be better in any case, so that costs that are known exactly
/// do not cause a switch for a negligible gain.
const MIN_RELATIVE_GAIN: f64 = 0.02;

/// The placement chosen for a pattern and a home zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The number of leading steps served in the home zone.
    pub cut: usize,
    /// The zone of the next step.
    pub zone: Zone,
    /// When the choice was made.
    pub since: Micros,
}

/// The choices of one dispatcher.
#[derive(Clone, Debug, Default)]
pub struct Choices {
    by_pattern: BTreeMap<(u64, Zone), Choice>,
    switches: u64,
}

impl Choices {
    /// Returns the placement of a session of this pattern in zone `home` with these remaining steps. The cost returned is
    /// that of the placement under the current estimates.
    pub fn decide(
        &mut self,
        now: Micros,
        pattern: u64,
        home: Zone,
        steps: &[Step],
        world: &impl CostModel,
    ) -> Plan {
        let ways = Planner::new(world, steps);
        let best = ways.best(home);
        let current = self.by_pattern.get(&(pattern, home)).copied().filter(|c| c.zone < world.zones());
        if let Some(current) = current {
            let cut = current.cut.min(steps.len());
            let zone = if cut == steps.len() { home } else { current.zone };
            let cost = ways.cost_of_cut(world, steps, home, cut, zone);
            let best_with_margin = Cost { mean: best.cost.mean + MIN_RELATIVE_GAIN * cost.mean, ..best.cost };
            if !best_with_margin.is_clearly_less(cost, SWITCH_DEVIATIONS) {
                return Plan { cut, zone, cost };
            }
            self.switches += 1;
        }
        self.by_pattern.insert((pattern, home), Choice { cut: best.cut, zone: best.zone, since: now });
        while self.by_pattern.len() > MAX_CHOICES {
            let oldest = self.by_pattern.iter().min_by_key(|(_, c)| c.since).map(|(k, _)| *k);
            if let Some(key) = oldest {
                self.by_pattern.remove(&key);
            }
        }
        best
    }

    /// Removes all choices that lead to a lost zone.
    pub fn zone_lost(&mut self, zone: Zone) {
        self.by_pattern.retain(|_, c| c.zone != zone);
    }

    /// Returns how many times a choice was replaced by a better one.
    pub fn flips(&self) -> u64 {
        self.switches
    }

    /// Returns the number of choices kept.
    pub fn len(&self) -> usize {
        self.by_pattern.len()
    }

    /// Returns whether no choices are kept.
    pub fn is_empty(&self) -> bool {
        self.by_pattern.is_empty()
    }
}
