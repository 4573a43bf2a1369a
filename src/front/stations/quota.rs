//! Token buckets, which limit the request rate of a client and of all clients of a user. The time is passed in.

/// A token bucket that refills at a constant rate, up to a burst of at least 1.
#[derive(Clone, Debug, PartialEq)]
pub struct Bucket {
    /// Tokens per second; 0 means no limit.
    rate: f64,
    burst: f64,
    tokens: f64,
    updated_at: u64,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn new(now: u64, rate: f64, burst: f64) -> Bucket {
        Bucket { rate, burst: burst.max(1.0), tokens: burst.max(1.0), updated_at: now }
    }

    fn refill(&mut self, now: u64) {
        let elapsed_s = now.saturating_sub(self.updated_at) as f64 / 1e6;
        self.tokens = (self.tokens + elapsed_s * self.rate).min(self.burst);
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the microseconds until a token is available; 0 if one is available now.
    pub fn wait_us(&mut self, now: u64) -> u64 {
        if self.rate <= 0.0 {
            return 0;
        }
        self.refill(now);
        if self.tokens >= 1.0 { 0 } else { ((1.0 - self.tokens) / self.rate * 1e6).ceil() as u64 }
    }

    /// Takes a token; to be called only after `wait_us` returned 0.
    pub fn take(&mut self) {
        if self.rate > 0.0 {
            self.tokens -= 1.0;
        }
    }
}

#[cfg(test)]
mod tests;
