//! What a client's rough hint at a request's work is worth: arithmetic alone, nothing is decided here.
//!
//! Hints are noisy, and nobody tells how noisy. A request's hint over what its function usually hints at gives its
//! size; the power to which that ratio foretells run times is learned for each class by least squares on logarithms
//! (run time over what was expected of a usual request, against the ratio). A hint that foretells nothing thus comes
//! to a power of 0, and the request to a size of 1; so does a request without a hint.

use crate::api::Micros;
use serde::{Deserialize, Serialize};

/// So many hints of a function tell what is usual; older ones fade.
const LAST: f64 = 200.0;
/// What the class usually hints at counts as this many of a function's own hints.
const DOUBT: f64 = 2.0;
/// A ratio outside of this and its inverse is taken for a slip.
const MOST_RATIO: f64 = 10.0;
/// A power of 0 counts as so much spread already seen, and each sample leaves so much of the older ones.
const POWER_DOUBT: f64 = 20.0;
const POWER_KEPT: f64 = 0.995;
/// A run time outside of this and its inverse, over what was expected, tells no more than that.
const MOST_ERROR: f64 = 20.0;

/// The mean of the hints seen, in microseconds of work.
#[derive(Default, Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Usual {
    mean: f64,
    seen: f64,
}

impl Usual {
    /// Its figures in half the room: the mean, and how many hints it stands for.
    pub fn parts(&self) -> (f32, f32) {
        (self.mean as f32, self.seen as f32)
    }

    /// What [`Usual::parts`] told.
    pub fn of_parts((mean, seen): (f32, f32)) -> Usual {
        Usual { mean: f64::from(mean), seen: f64::from(seen) }
    }

    /// Takes one more hint into account.
    pub fn add(&mut self, work: f64) {
        self.seen = (self.seen + 1.0).min(LAST);
        self.mean += (work - self.mean) / self.seen;
    }

    /// A hint over what is usual here, where `class` tells what is usual of any function of the class.
    pub fn ratio(&self, work: f64, class: &Usual) -> f64 {
        let beside = if class.seen > 0.0 { class.mean } else { work };
        let usual = (self.mean * self.seen + beside * DOUBT) / (self.seen + DOUBT);
        (work / usual.max(1.0)).clamp(1.0 / MOST_RATIO, MOST_RATIO)
    }
}

/// How far hints foretell run times: the power of the ratio.
#[derive(Default, Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Power {
    xy: f64,
    xx: f64,
}

impl Power {
    /// The power, from 0 (hints tell nothing) to 1 (they tell the run time).
    pub fn get(&self) -> f64 {
        (self.xy / (self.xx + POWER_DOUBT)).clamp(0.0, 1.0)
    }

    /// A request of that ratio took `error` times what a usual one would have taken.
    pub fn learn(&mut self, ratio: f64, error: f64) {
        let x = ratio.ln();
        let y = error.clamp(1.0 / MOST_ERROR, MOST_ERROR).ln();
        if x.is_finite() && y.is_finite() {
            self.xy = self.xy * POWER_KEPT + x * y;
            self.xx = self.xx * POWER_KEPT + x * x;
        }
    }
}

/// A request's hint as it was weighed when it came.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    /// Its hint over what its function usually hints at; 1 without a hint.
    pub ratio: f64,
    /// Its run time over that of a usual request, as far as the hint foretells it.
    pub size: f64,
}

impl Default for Size {
    fn default() -> Size {
        Size { ratio: 1.0, size: 1.0 }
    }
}

impl Size {
    /// Weighs a hint, and takes it into account for those that follow.
    pub fn weigh(work: Option<Micros>, function: &mut Usual, class: &mut Usual, power: Power) -> Size {
        let Some(work) = work.filter(|w| *w > 0).map(|w| w as f64) else { return Size::default() };
        let ratio = function.ratio(work, class);
        function.add(work);
        class.add(work);
        Size { ratio, size: ratio.powf(power.get()) }
    }
}

#[cfg(test)]
mod tests;
