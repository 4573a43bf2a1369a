//! Token buckets: how much a client, and all clients of a user, may ask at a time. The clock is passed in.

/// A bucket that fills at a rate, up to a burst.
#[derive(Clone, Debug, PartialEq)]
pub struct Bucket {
    /// Tokens a second; 0: it never runs dry.
    rate: f64,
    burst: f64,
    level: f64,
    at: u64,
}

impl Bucket {
    /// A full bucket.
    pub fn new(now: u64, rate: f64, burst: f64) -> Bucket {
        Bucket { rate, burst: burst.max(1.0), level: burst.max(1.0), at: now }
    }

    fn fill(&mut self, now: u64) {
        let passed = now.saturating_sub(self.at) as f64 / 1e6;
        self.level = (self.level + passed * self.rate).min(self.burst);
        self.at = self.at.max(now);
    }

    /// When a token is there, in microseconds from now; 0 if one is there now.
    pub fn wait(&mut self, now: u64) -> u64 {
        if self.rate <= 0.0 {
            return 0;
        }
        self.fill(now);
        if self.level >= 1.0 { 0 } else { ((1.0 - self.level) / self.rate * 1e6).ceil() as u64 }
    }

    /// Takes a token, which `wait` said is there.
    pub fn take(&mut self) {
        if self.rate > 0.0 {
            self.level -= 1.0;
        }
    }
}

#[cfg(test)]
mod tests;
