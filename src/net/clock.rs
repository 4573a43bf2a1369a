//! The one clock: whole microseconds, monotonic, read once a turn of the loop.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The monotonic reading at the program's start. Not 0, so that starts of workers before ours have a reading.
const ORIGIN: u64 = 10_000_000_000_000;

/// Ties the monotonic clock to the Unix clock once, at the program's start.
pub struct Clock {
    start: Instant,
    unix_us: u64,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_us: unix.as_micros() as u64 }
    }

    /// The monotonic time.
    pub fn read(&self) -> u64 {
        ORIGIN + self.start.elapsed().as_micros() as u64
    }

    /// A Unix time in milliseconds, as a reading of this clock. The only place where the two meet.
    pub fn from_unix_ms(&self, ms: u64) -> u64 {
        ORIGIN.saturating_add(ms.saturating_mul(1000)).saturating_sub(self.unix_us)
    }

    /// The Unix time of a reading, in milliseconds.
    pub fn unix_ms(&self, now: u64) -> u64 {
        (self.unix_us + now.saturating_sub(ORIGIN)) / 1000
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_unix_time_before_the_start_is_a_reading_before_the_start() {
        let clock = Clock::start();
        let (now, unix) = (clock.read(), clock.unix_ms(clock.read()));
        let earlier = clock.from_unix_ms(unix - 5_000);
        assert!((4_990_000..5_010_000).contains(&(now - earlier)), "{}", now - earlier);
    }
}
