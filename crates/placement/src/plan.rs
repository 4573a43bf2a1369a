//! The exact minimum-cost assignment of a pattern's steps to zones, for at most [`MAX_STEPS`] steps and [`MAX_ZONES`] zones.

use crate::{Cost, Function, MAX_STEPS, MAX_ZONES, Zone};

/// An expected call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// The function.
    pub function: Function,
    /// The probability of the call.
    pub chance: f64,
}

/// The costs that a plan is made from.
pub trait CostModel {
    /// Returns the number of zones.
    fn zones(&self) -> usize;
    /// Returns the cost of serving a call of a function in a zone, given that the call is made: that of loading a copy, or
    /// nothing if a copy is warm.
    fn recompute(&self, function: Function, zone: Zone) -> Cost;
    /// Returns the cost of continuing a session in another zone: the price and time of the transfer, and the risk that the
    /// other zone is abandoned.
    fn transfer(&self, from: Zone, to: Zone) -> Cost;
}

/// The start of an assignment: the first `cut` steps are served in the home zone and the next one in `zone`. The steps after
/// that follow the minimum-cost assignment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// The number of leading steps served in the home zone.
    pub cut: usize,
    /// The zone of the next step; the home zone if there is no next step.
    pub zone: Zone,
    /// The expected cost of all steps.
    pub cost: Cost,
}

/// Returns the expected cost of serving a step in `zone` for a session that is in `from`.
fn step_cost(world: &impl CostModel, step: &Step, from: Zone, zone: Zone) -> Cost {
    let transfer = if from == zone { Cost::default() } else { world.transfer(from, zone) };
    (transfer + world.recompute(step.function, zone)).with_chance(step.chance)
}

/// The minimum costs of the remaining steps, by next step and the session's zone. They are computed by dynamic programming
/// from the last step backwards, which covers every assignment of steps to zones without evaluating any twice.
pub struct Planner {
    zones: usize,
    /// By step and zone: the minimum cost of this and all later steps, and the zone of this step.
    cost_to_go: Vec<Vec<(Cost, Zone)>>,
}

impl Planner {
    /// Computes the minimum costs of these steps; those beyond [`MAX_STEPS`] are ignored.
    pub fn new(world: &impl CostModel, steps: &[Step]) -> Planner {
        let steps = &steps[..steps.len().min(MAX_STEPS)];
        let zones = world.zones().min(MAX_ZONES);
        let mut cost_to_go = vec![(0..zones).map(|z| (Cost::default(), z)).collect::<Vec<(Cost, Zone)>>()];
        for step in steps.iter().rev() {
            let later = &cost_to_go[cost_to_go.len() - 1];
            let row: Vec<(Cost, Zone)> = (0..zones)
                .map(|at| {
                    let option = |to: Zone| (step_cost(world, step, at, to) + later[to].0, to);
                    // At equal cost the session stays in its zone.
                    let others = (0..zones).filter(|to| *to != at).map(option);
                    others
                        .fold(option(at), |best, other| if other.0.mean < best.0.mean { other } else { best })
                })
                .collect();
            cost_to_go.push(row);
        }
        cost_to_go.reverse();
        Planner { zones, cost_to_go }
    }

    /// Returns the minimum-cost plan for a session in zone `home`.
    pub fn best(&self, home: Zone) -> Plan {
        let steps = self.cost_to_go.len() - 1;
        let home = home.min(self.zones.saturating_sub(1));
        let cut = (0..steps).find(|step| self.cost_to_go[*step][home].1 != home).unwrap_or(steps);
        let zone = self.cost_to_go[cut].get(home).map_or(home, |(_, zone)| *zone);
        Plan { cut, zone, cost: self.cost_to_go[0].get(home).map_or(Cost::default(), |(cost, _)| *cost) }
    }

    /// Returns the minimum-cost zone of a step for a session that is in zone `at` before it.
    pub fn next_zone(&self, step: usize, at: Zone) -> Zone {
        self.cost_to_go.get(step).and_then(|row| row.get(at)).map_or(at, |(_, zone)| *zone)
    }

    /// Returns the cost of a given cut and next zone, followed by the minimum-cost assignment.
    pub fn cost_of_cut(
        &self,
        world: &impl CostModel,
        steps: &[Step],
        home: Zone,
        cut: usize,
        zone: Zone,
    ) -> Cost {
        let steps = &steps[..steps.len().min(self.cost_to_go.len() - 1)];
        let cut = cut.min(steps.len());
        let home_cost: Cost = steps[..cut].iter().map(|s| step_cost(world, s, home, home)).sum();
        match steps.get(cut) {
            Some(step) => home_cost + step_cost(world, step, home, zone) + self.cost_to_go[cut + 1][zone].0,
            None => home_cost,
        }
    }

    /// Returns for each zone by how much the minimum cost of all steps from there exceeds that from the best zone, in
    /// microseconds: a term to add to the estimate for a worker in the zone.
    pub fn extra_cost_by_zone(&self) -> Vec<f64> {
        let least = self.cost_to_go[0].iter().map(|(cost, _)| cost.mean).fold(f64::INFINITY, f64::min);
        self.cost_to_go[0].iter().map(|(cost, _)| cost.mean - least).collect()
    }
}

/// Returns the minimum cost over all assignments of steps to zones by trying each. For tests and benchmarks.
pub fn brute_force(world: &impl CostModel, steps: &[Step], home: Zone) -> f64 {
    match steps.split_first() {
        None => 0.0,
        Some((step, rest)) => (0..world.zones())
            .map(|to| step_cost(world, step, home, to).mean + brute_force(world, rest, to))
            .fold(f64::INFINITY, f64::min),
    }
}
