//! Exponential backoff with full jitter between connection attempts: each wait is drawn uniformly from zero to a bound
//! that doubles with every failure, so that subscribers that lost the same service do not all reconnect at once.

use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// The backoff state of one subscriber.
pub struct Backoff {
    first_bound_us: u64,
    last_bound_us: u64,
    failures: u32,
    rng: Pcg32,
}

impl Backoff {
    /// Creates a backoff whose bound grows from `first_us` to `last_us`, in microseconds.
    pub fn new(first_us: u64, last_us: u64, seed: u64) -> Backoff {
        Backoff {
            first_bound_us: first_us.max(1),
            last_bound_us: last_us.max(first_us),
            failures: 0,
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// Returns the wait before the next attempt, in microseconds, and counts a failure.
    pub fn next_wait(&mut self) -> u64 {
        let bound = self.first_bound_us.saturating_mul(1 << self.failures.min(40)).min(self.last_bound_us);
        self.failures = self.failures.saturating_add(1);
        self.rng.next_u64() % (bound + 1)
    }

    /// Resets the bound after a connection proved usable: the next failure waits at most the first bound.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests;
