//! Spends a rate: a token bucket whose rate may change at any time. What it holds never exceeds what the rate of now brings in
//! its burst time, and one piece; so leases that have ended leave nothing behind.

use crate::Micros;

/// One piece, in the thousandths that rates are told in, times a second's microseconds.
const PIECE: u128 = 1_000 * 1_000_000;

/// The bucket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bucket {
    /// In thousandths of a piece times microseconds.
    held: u128,
    at: Micros,
    burst: Micros,
}

impl Bucket {
    /// An empty one, that saves up for this long at the most.
    pub fn new(burst: Micros, now: Micros) -> Bucket {
        Bucket { held: 0, at: now, burst }
    }

    /// Pieces in hand now, at a rate in thousandths of a piece a second that held since the last call.
    pub fn refill(&mut self, now: Micros, rate: u64) -> u64 {
        let passed = now.saturating_sub(self.at);
        self.at = self.at.max(now);
        let most = u128::from(rate) * u128::from(self.burst) + if rate > 0 { PIECE } else { 0 };
        self.held = (self.held + u128::from(rate) * u128::from(passed)).min(most);
        (self.held / PIECE) as u64
    }

    /// Takes pieces, as many as are there of those wanted.
    pub fn take(&mut self, wanted: u64) -> u64 {
        let taken = u128::from(wanted).min(self.held / PIECE);
        self.held -= taken * PIECE;
        taken as u64
    }
}

#[cfg(test)]
mod tests;
