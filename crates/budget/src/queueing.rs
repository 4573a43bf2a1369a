//! Estimates the queueing delay at workers, as one dispatcher observes it: the response time beyond the
//! shortest of the same kind of request.
//!
//! After CoDel (RFC 8289, sections 3.1 and 3.2) the measure is the queue that persists through an interval,
//! not its peaks. The lower quartile of an interval is used in place of the minimum: a kind of request with a
//! worker of its own must not hide a queue at all other workers.

use crate::Micros;
use std::collections::BTreeMap;

/// The baseline of a kind is the minimum over the current window of this length and the one before it.
const BASELINE_WINDOW: Micros = 60_000_000;
/// Maximum number of kinds of request.
const MAX_KINDS: usize = 2_048;
/// Maximum number of samples kept in an interval.
const MAX_SAMPLES: usize = 512;
/// Minimum number of samples for an interval to yield an estimate.
const MIN_SAMPLES: usize = 4;

#[derive(Clone, Copy, Debug)]
struct Baseline {
    current: Micros,
    previous: Micros,
    since: Micros,
}

/// The estimator of the queueing delay.
#[derive(Clone, Debug, Default)]
pub struct QueueingDelay {
    baselines: BTreeMap<u64, Baseline>,
    samples: Vec<Micros>,
    seen: u64,
}

impl QueueingDelay {
    /// Records the response time of a request of this kind.
    pub fn record_response(&mut self, now: Micros, kind: u64, took: Micros) {
        if self.baselines.len() >= MAX_KINDS && !self.baselines.contains_key(&kind) {
            return;
        }
        let baseline =
            self.baselines.entry(kind).or_insert(Baseline { current: took, previous: took, since: now });
        if now >= baseline.since + BASELINE_WINDOW {
            *baseline = Baseline { current: took, previous: baseline.current, since: now };
        }
        baseline.current = baseline.current.min(took);
        let queued = took - baseline.current.min(baseline.previous);
        self.seen += 1;
        if self.samples.len() < MAX_SAMPLES {
            self.samples.push(queued);
        } else {
            // Further samples replace older ones in turn. This weighs the end of the interval more, which is
            // the better bias.
            let index = self.seen as usize % MAX_SAMPLES;
            self.samples[index] = queued;
        }
    }

    /// Records that a worker refused a request because its queue was full, as a delay of `full`.
    pub fn record_full_queue(&mut self, full: Micros) {
        if self.samples.len() < MAX_SAMPLES {
            self.samples.push(full);
        }
    }

    /// Ends the interval and returns the delay that persisted through it, if there were enough samples.
    pub fn end_interval(&mut self) -> Option<Micros> {
        let mut samples = std::mem::take(&mut self.samples);
        samples.sort_unstable();
        if self.baselines.len() >= MAX_KINDS {
            self.baselines.clear();
        }
        (samples.len() >= MIN_SAMPLES).then(|| samples[samples.len() / 4])
    }
}

#[cfg(test)]
mod tests;
