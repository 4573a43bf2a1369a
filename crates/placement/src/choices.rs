//! The choice for each pattern, which stays until another is clearly better.

use crate::{Cost, MOST_CHOICES, Micros, Plan, Step, Ways, World, Zone};
use std::collections::BTreeMap;

/// Another choice has to be better by so many standard deviations of both.
const SURE: f64 = 1.0;
/// And by so much of the cost in any case: what is exactly known flips over nothing else.
const LEAST: f64 = 0.02;

/// What was chosen for a pattern at a home.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Steps that are served here.
    pub cut: usize,
    /// Where the rest goes.
    pub zone: Zone,
    /// Since when.
    pub since: Micros,
}

/// The choices of one dispatcher.
#[derive(Clone, Debug, Default)]
pub struct Choices {
    made: BTreeMap<(u64, Zone), Choice>,
    flips: u64,
}

impl Choices {
    /// What is to become of a session of this pattern at `home`, with these steps to come. The cost is that of the choice as it stands now.
    pub fn decide(
        &mut self,
        now: Micros,
        pattern: u64,
        home: Zone,
        steps: &[Step],
        world: &impl World,
    ) -> Plan {
        let ways = Ways::of(world, steps);
        let new = ways.best(home);
        let held = self.made.get(&(pattern, home)).copied().filter(|c| c.zone < world.zones());
        if let Some(held) = held {
            let cut = held.cut.min(steps.len());
            let zone = if cut == steps.len() { home } else { held.zone };
            let cost = ways.of_cut(world, steps, home, cut, zone);
            let least = Cost { mean: new.cost.mean + LEAST * cost.mean, ..new.cost };
            if !least.is_clearly_under(cost, SURE) {
                return Plan { cut, zone, cost };
            }
            self.flips += 1;
        }
        self.made.insert((pattern, home), Choice { cut: new.cut, zone: new.zone, since: now });
        while self.made.len() > MOST_CHOICES {
            let oldest = self.made.iter().min_by_key(|(_, c)| c.since).map(|(k, _)| *k);
            if let Some(key) = oldest {
                self.made.remove(&key);
            }
        }
        new
    }

    /// A zone is lost: nothing stays chosen that leads there.
    pub fn lost(&mut self, zone: Zone) {
        self.made.retain(|_, c| c.zone != zone);
    }

    /// Choices that changed.
    pub fn flips(&self) -> u64 {
        self.flips
    }

    /// Choices that are kept.
    pub fn len(&self) -> usize {
        self.made.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.made.is_empty()
    }
}
