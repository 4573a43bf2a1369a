//! The clock of the process: monotonic, in whole microseconds, read once in each turn of the event loop.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that starts at the Unix time of the process start, so that two processes of one dispatcher have
/// nearly the same readings.
pub struct Clock {
    start: Instant,
    start_unix_us: u64,
    /// Microseconds by which readings are ahead of the start plus the elapsed time.
    ahead_us: u64,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), start_unix_us: unix.as_micros() as u64, ahead_us: 0 }
    }

    /// Returns the current reading.
    pub fn read(&self) -> u64 {
        self.start_unix_us + self.ahead_us + self.start.elapsed().as_micros() as u64
    }

    /// Advances the clock to `reading` if it is behind it. Readings taken over from another process must not lie in the
    /// future.
    pub fn advance_to(&mut self, reading: u64) {
        self.ahead_us += reading.saturating_sub(self.read());
    }

    /// Converts a Unix time in milliseconds to a reading. Only this and [`Clock::unix_ms`] convert between the two.
    pub fn from_unix_ms(&self, ms: u64) -> u64 {
        ms.saturating_mul(1000).saturating_add(self.ahead_us)
    }

    /// Converts a reading to a Unix time in milliseconds.
    pub fn unix_ms(&self, now: u64) -> u64 {
        now.saturating_sub(self.ahead_us) / 1000
    }
}

#[cfg(test)]
mod tests;
