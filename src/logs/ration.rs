//! A rate limiter for log events: each call site may log a burst, then a few events per second. The caller passes the
//! time; the module reads no clock.

use std::collections::BTreeMap;

/// The number of events that one call site may log at once.
const BURST: u64 = 20;
/// The period after which one more event is allowed.
const REFILL_PERIOD_US: u64 = 200_000;
/// The maximum number of call sites tracked; the source has far fewer.
const MAX_CALL_SITES: usize = 1_024;

/// A call site: its file and line.
pub type CallSite = (&'static str, u32);

#[derive(Default)]
struct Bucket {
    /// The time at which the full burst is available again, in microseconds.
    full_at: u64,
    dropped: u64,
}

/// A token bucket per call site.
#[derive(Default)]
pub struct RateLimiter {
    buckets: BTreeMap<CallSite, Bucket>,
}

impl RateLimiter {
    /// Returns whether this call site may log an event at `now`, in microseconds, and counts the event as logged or
    /// dropped.
    pub fn allow(&mut self, now: u64, call_site: CallSite) -> bool {
        if self.buckets.len() >= MAX_CALL_SITES && !self.buckets.contains_key(&call_site) {
            return false;
        }
        let bucket = self.buckets.entry(call_site).or_default();
        let full_at = bucket.full_at.max(now) + REFILL_PERIOD_US;
        let allowed = full_at <= now + BURST * REFILL_PERIOD_US;
        if allowed {
            bucket.full_at = full_at;
        } else {
            bucket.dropped += 1;
        }
        allowed
    }

    /// Returns the number of events of this call site dropped since the last call, and resets it.
    pub fn take_dropped(&mut self, call_site: CallSite) -> u64 {
        self.buckets.get_mut(&call_site).map_or(0, |bucket| std::mem::take(&mut bucket.dropped))
    }
}

#[cfg(test)]
mod tests;
