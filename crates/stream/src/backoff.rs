//! Waits between attempts to connect: exponential, each drawn evenly from nothing to its bound ("full jitter"), so
//! that many that lost one service do not come back at one moment.

use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// The waits of one subscriber.
pub struct Backoff {
    first: u64,
    last: u64,
    failures: u32,
    random: Pcg32,
}

impl Backoff {
    /// Bounds from `first` to `last`, in microseconds.
    pub fn new(first: u64, last: u64, seed: u64) -> Backoff {
        Backoff {
            first: first.max(1),
            last: last.max(first),
            failures: 0,
            random: Pcg32::seed_from_u64(seed),
        }
    }

    /// The wait before the next attempt, in microseconds.
    pub fn next_wait(&mut self) -> u64 {
        let bound = self.first.saturating_mul(1 << self.failures.min(40)).min(self.last);
        self.failures = self.failures.saturating_add(1);
        self.random.next_u64() % (bound + 1)
    }

    /// The connection is of use: the next loss starts from the first bound.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests;
