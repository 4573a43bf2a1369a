//! How long requests queue at workers, as one dispatcher sees it: the time of an answer beyond the shortest of its kind.
//!
//! After CoDel (RFC 8289, sections 3.1 and 3.2): what counts is the queue that stands through an interval, not its peaks. The
//! lower quartile of an interval is taken in place of the least: a kind of request that has a worker of its own must not
//! hide a queue at all others.

use crate::Micros;
use std::collections::BTreeMap;

/// The shortest time of a kind is the least of this long and the same before it.
const AGE: Micros = 60_000_000;
/// Kinds of request at the most.
const MOST_KINDS: usize = 2_048;
/// Answers of an interval that are held.
const MOST_SAMPLES: usize = 512;
/// With fewer an interval tells nothing.
const LEAST_SAMPLES: usize = 4;

#[derive(Clone, Copy, Debug)]
struct Least {
    now: Micros,
    before: Micros,
    since: Micros,
}

/// The measure.
#[derive(Clone, Debug, Default)]
pub struct Queueing {
    least: BTreeMap<u64, Least>,
    samples: Vec<Micros>,
    seen: u64,
}

impl Queueing {
    /// An answer of this kind came after this long.
    pub fn answered(&mut self, now: Micros, kind: u64, took: Micros) {
        if self.least.len() >= MOST_KINDS && !self.least.contains_key(&kind) {
            return;
        }
        let least = self.least.entry(kind).or_insert(Least { now: took, before: took, since: now });
        if now >= least.since + AGE {
            *least = Least { now: took, before: least.now, since: now };
        }
        least.now = least.now.min(took);
        let queued = took - least.now.min(least.before);
        self.seen += 1;
        if self.samples.len() < MOST_SAMPLES {
            self.samples.push(queued);
        } else {
            // Every later one takes a place in turn: the interval's end weighs more, which is the better side.
            let place = self.seen as usize % MOST_SAMPLES;
            self.samples[place] = queued;
        }
    }

    /// A worker turned a request away for its full queue: as long as `full`.
    pub fn turned_away(&mut self, full: Micros) {
        if self.samples.len() < MOST_SAMPLES {
            self.samples.push(full);
        }
    }

    /// The interval is over: the queue that stood through it, if enough was seen.
    pub fn interval(&mut self) -> Option<Micros> {
        let mut samples = std::mem::take(&mut self.samples);
        samples.sort_unstable();
        if self.least.len() >= MOST_KINDS {
            self.least.clear();
        }
        (samples.len() >= LEAST_SAMPLES).then(|| samples[samples.len() / 4])
    }
}

#[cfg(test)]
mod tests;
