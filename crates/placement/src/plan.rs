//! The best cut of a pattern, exactly.

use crate::{Cost, Function, MOST_STEPS, MOST_ZONES, Zone};

/// A call that is expected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// Of which function.
    pub function: Function,
    /// The chance that it comes.
    pub chance: f64,
}

/// What is known of the zones.
pub trait World {
    /// How many zones there are.
    fn zones(&self) -> usize;
    /// What it costs to have a function called in a zone if the call comes: nothing where a copy stands.
    fn recompute(&self, function: Function, zone: Zone) -> Cost;
    /// What it costs a session to go on in another zone: the price and time of the crossing, and the chance that the zone is left.
    fn transfer(&self, from: Zone, to: Zone) -> Cost;
}

/// Where a pattern is cut first: the first `cut` steps here, the next in `zone`, and from there on whatever is best.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// Steps that are served here.
    pub cut: usize,
    /// Where the next one goes: here, if nothing is sent on.
    pub zone: Zone,
    /// What all of it is expected to cost.
    pub cost: Cost,
}

/// What it costs to have a step served in a zone by a session that is somewhere, if the step comes.
fn served(world: &impl World, step: &Step, from: Zone, zone: Zone) -> Cost {
    let crossing = if from == zone { Cost::default() } else { world.transfer(from, zone) };
    (crossing + world.recompute(step.function, zone)).with_chance(step.chance)
}

/// What is left of a session costs, by the step that is next and where the session is: dynamic programming from the last step on, so that
/// each way of sending the steps to zones is weighed and none is tried twice.
pub struct Ways {
    zones: usize,
    /// By step and zone: the cost of this and all later steps, and where this one goes.
    left: Vec<Vec<(Cost, Zone)>>,
}

impl Ways {
    /// Of these steps; those beyond [`MOST_STEPS`] are passed over.
    pub fn of(world: &impl World, steps: &[Step]) -> Ways {
        let steps = &steps[..steps.len().min(MOST_STEPS)];
        let zones = world.zones().min(MOST_ZONES);
        let mut left = vec![(0..zones).map(|z| (Cost::default(), z)).collect::<Vec<(Cost, Zone)>>()];
        for step in steps.iter().rev() {
            let last = &left[left.len() - 1];
            let row: Vec<(Cost, Zone)> = (0..zones)
                .map(|at| {
                    let go = |to: Zone| (served(world, step, at, to) + last[to].0, to);
                    // Of equal ones it stays.
                    let others = (0..zones).filter(|to| *to != at).map(go);
                    others.fold(go(at), |best, other| if other.0.mean < best.0.mean { other } else { best })
                })
                .collect();
            left.push(row);
        }
        left.reverse();
        Ways { zones, left }
    }

    /// The best from a zone.
    pub fn best(&self, home: Zone) -> Plan {
        let steps = self.left.len() - 1;
        let home = home.min(self.zones.saturating_sub(1));
        let cut = (0..steps).find(|n| self.left[*n][home].1 != home).unwrap_or(steps);
        let zone = self.left[cut].get(home).map_or(home, |w| w.1);
        Plan { cut, zone, cost: self.left[0].get(home).map_or(Cost::default(), |w| w.0) }
    }

    /// Where a step goes at best, if the session is there before it.
    pub fn next(&self, step: usize, at: Zone) -> Zone {
        self.left.get(step).and_then(|row| row.get(at)).map_or(at, |w| w.1)
    }

    /// What one cut costs, with the best after it.
    pub fn of_cut(&self, world: &impl World, steps: &[Step], home: Zone, cut: usize, zone: Zone) -> Cost {
        let steps = &steps[..steps.len().min(self.left.len() - 1)];
        let cut = cut.min(steps.len());
        let here: Cost = steps[..cut].iter().map(|s| served(world, s, home, home)).sum();
        match steps.get(cut) {
            Some(step) => here + served(world, step, home, zone) + self.left[cut + 1][zone].0,
            None => here,
        }
    }

    /// What the rest of a session costs more from each zone than from the best one: a term of an estimate, in microseconds, for a
    /// worker there.
    pub fn rests(&self) -> Vec<f64> {
        let least = self.left[0].iter().map(|w| w.0.mean).fold(f64::INFINITY, f64::min);
        self.left[0].iter().map(|w| w.0.mean - least).collect()
    }
}

/// The least cost of all ways to send steps to zones, by trying each. For tests and measurements.
pub fn brute_force(world: &impl World, steps: &[Step], home: Zone) -> f64 {
    match steps.split_first() {
        None => 0.0,
        Some((step, rest)) => (0..world.zones())
            .map(|to| served(world, step, home, to).mean + brute_force(world, rest, to))
            .fold(f64::INFINITY, f64::min),
    }
}
