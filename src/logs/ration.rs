//! How many events of one kind are written: a burst, and then a few a second. No clock of its own.

use std::collections::BTreeMap;

/// Events of a kind that may come at once, and how often one more may.
const BURST: u64 = 20;
const EVERY: u64 = 200_000;
/// Kinds told apart; there are far fewer places in the source.
const MOST: usize = 1_024;

/// A place in the source: its file and line.
pub type Place = (&'static str, u32);

#[derive(Default)]
struct Kind {
    /// When the burst will be whole again.
    whole_at: u64,
    dropped: u64,
}

/// What each kind has left.
#[derive(Default)]
pub struct Ration {
    kinds: BTreeMap<Place, Kind>,
}

impl Ration {
    /// Whether an event of this kind may be written at `now`, in microseconds.
    pub fn take(&mut self, now: u64, place: Place) -> bool {
        if self.kinds.len() >= MOST && !self.kinds.contains_key(&place) {
            return false;
        }
        let kind = self.kinds.entry(place).or_default();
        let whole_at = kind.whole_at.max(now) + EVERY;
        let fits = whole_at <= now + BURST * EVERY;
        if fits {
            kind.whole_at = whole_at;
        } else {
            kind.dropped += 1;
        }
        fits
    }

    /// Events of this kind that were not written since it was last asked.
    pub fn dropped(&mut self, place: Place) -> u64 {
        self.kinds.get_mut(&place).map_or(0, |kind| std::mem::take(&mut kind.dropped))
    }
}

#[cfg(test)]
mod tests;
