//! The one clock: whole microseconds, monotonic, read once a turn of the loop.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Reads as the Unix clock did at the program's start, and goes on monotonically from there: so two processes of one
/// dispatcher read nearly the same.
pub struct Clock {
    start: Instant,
    unix_us: u64,
    /// How far the readings are ahead of that.
    ahead: u64,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_us: unix.as_micros() as u64, ahead: 0 }
    }

    /// The monotonic time.
    pub fn read(&self) -> u64 {
        self.unix_us + self.ahead + self.start.elapsed().as_micros() as u64
    }

    /// Never reads less than this from now on. Danger: figures of another process must not lie in the future.
    pub fn catch_up(&mut self, reading: u64) {
        self.ahead += reading.saturating_sub(self.read());
    }

    /// A Unix time in milliseconds, as a reading of this clock. The only place where the two meet.
    pub fn from_unix_ms(&self, ms: u64) -> u64 {
        ms.saturating_mul(1000).saturating_add(self.ahead)
    }

    /// The Unix time of a reading, in milliseconds.
    pub fn unix_ms(&self, now: u64) -> u64 {
        now.saturating_sub(self.ahead) / 1000
    }
}

#[cfg(test)]
mod tests;
