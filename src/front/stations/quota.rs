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
mod tests {
    use super::*;

    #[test]
    fn a_burst_passes_then_the_rate_and_the_wait_told_is_enough() {
        let mut bucket = Bucket::new(0, 10.0, 3.0);
        let (mut now, mut taken) = (0, 0);
        while now < 1_000_000 {
            let wait = bucket.wait(now);
            if wait == 0 {
                bucket.take();
                taken += 1;
            } else {
                assert!(bucket.wait(now + wait) == 0 && wait <= 100_000);
                now += wait;
            }
        }
        assert!((12..=13).contains(&taken), "{taken}");
        let mut free = Bucket::new(0, 0.0, 0.0);
        assert!((0..1_000).all(|_| free.wait(0) == 0));
    }
}
