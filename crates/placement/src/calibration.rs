//! What was foretold, held against what came.

use crate::Cost;

/// Chances are told apart in so many parts.
const PARTS: usize = 10;
/// Nine in ten fall within so many standard deviations, if the deviations are right.
const NINE_IN_TEN: f64 = 1.645;

/// A part of the chances: how many there were, what was foretold on the mean, and what came.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reliability {
    /// How many.
    pub count: u64,
    /// The mean of the chances that were foretold.
    pub foretold: f64,
    /// The share that came.
    pub came: f64,
}

/// The books of all that was foretold.
#[derive(Clone, Debug, Default)]
pub struct Calibration {
    parts: [(u64, f64, u64); PARTS],
    squares: f64,
    costs: (u64, u64, f64, f64),
}

impl Calibration {
    /// A chance was foretold, and it came or not.
    pub fn chance(&mut self, foretold: f64, came: bool) {
        let foretold = foretold.clamp(0.0, 1.0);
        let part = &mut self.parts[((foretold * PARTS as f64) as usize).min(PARTS - 1)];
        *part = (part.0 + 1, part.1 + foretold, part.2 + u64::from(came));
        self.squares += (foretold - f64::from(u8::from(came))).powi(2);
    }

    /// A cost was foretold, and came to so much.
    pub fn cost(&mut self, foretold: Cost, came: f64) {
        let inside = (came - foretold.mean).abs() <= NINE_IN_TEN * foretold.var.sqrt() + 1.0;
        let (count, within, sum, all) = self.costs;
        self.costs = (count + 1, within + u64::from(inside), sum + foretold.mean, all + came);
    }

    /// Chances by parts of a tenth; those without any are left out.
    pub fn reliability(&self) -> Vec<Reliability> {
        let of = |(count, sum, came): &(u64, f64, u64)| {
            let all = *count as f64;
            (*count > 0).then(|| Reliability { count: *count, foretold: sum / all, came: *came as f64 / all })
        };
        self.parts.iter().filter_map(of).collect()
    }

    /// The mean of the squared errors of chances (Brier, 1950): 0 is perfect, 0.25 is a coin.
    pub fn brier(&self) -> f64 {
        let count: u64 = self.parts.iter().map(|p| p.0).sum();
        self.squares / count.max(1) as f64
    }

    /// The share of costs that came within what nine in ten should, and all that came over all that was foretold.
    pub fn costs(&self) -> (f64, f64) {
        let (count, within, foretold, came) = self.costs;
        (within as f64 / count.max(1) as f64, if foretold > 0.0 { came / foretold } else { 1.0 })
    }
}
