//! A token bucket whose rate may change at any time. It never holds more than the current rate yields in the
//! burst time plus one token, so an expired lease leaves no saved-up tokens behind.

use crate::Micros;

/// One token, in the bucket's unit: thousandths of a token per second (the unit of rates) times microseconds.
const TOKEN: u128 = 1_000 * 1_000_000;

/// A token bucket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenBucket {
    /// Thousandths of a token per second, times microseconds.
    held: u128,
    refilled_at: Micros,
    burst: Micros,
}

impl TokenBucket {
    /// Creates an empty bucket that saves up for at most `burst`.
    pub fn new(burst: Micros, now: Micros) -> TokenBucket {
        TokenBucket { held: 0, refilled_at: now, burst }
    }

    /// Refills the bucket and returns the whole tokens available; `rate`, in thousandths of a token per
    /// second, is applied to the time since the last call.
    pub fn refill(&mut self, now: Micros, rate: u64) -> u64 {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let capacity = u128::from(rate) * u128::from(self.burst) + if rate > 0 { TOKEN } else { 0 };
        self.held = (self.held + u128::from(rate) * u128::from(elapsed)).min(capacity);
        (self.held / TOKEN) as u64
    }

    /// Takes up to `wanted` tokens and returns how many were taken.
    pub fn take(&mut self, wanted: u64) -> u64 {
        let taken = u128::from(wanted).min(self.held / TOKEN);
        self.held -= taken * TOKEN;
        taken as u64
    }
}

#[cfg(test)]
mod tests;
