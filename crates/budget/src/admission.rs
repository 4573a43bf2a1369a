//! The admission level: requests whose priority is below it are refused before anything runs, those of the
//! lowest worth first, and alike at every dispatcher.
//!
//! Each member derives a requested level, its wish, from the queueing delay that it measures; the level is
//! the median of the recent wishes that members sent *first hand*. It takes at least half of the members with
//! a recent wish to move it, so a single member that lies, or that alone has a bad link to the workers,
//! cannot. The level rises at once and falls step by step, each step after a hold time. A member that
//! receives no wishes uses its own, but leaves the last agreed level only after that level's hold time, step
//! by step.

use crate::Micros;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The highest level: only requests of the highest priority are admitted.
pub const MAX_LEVEL: u8 = 64;
/// Maximum number of members whose wishes are stored.
pub const MAX_REPORTS: usize = 512;
/// Maximum rise of a wish in one interval, in levels.
const MAX_RISE_LEVELS: u64 = 3;

/// Maximum time between two rises while the queue is too long and does not drain.
const MAX_RISE_INTERVAL: Micros = 600_000;
/// Number of levels above an insufficient level that count as near it, for [`INSUFFICIENT_MEMORY`].
const NEAR_ABOVE_LEVELS: u8 = 6;
/// Number of levels below an insufficient level that count as near it. A wish further down without a queue
/// shows that the level is no longer needed.
const NEAR_BELOW_LEVELS: u8 = 2;
/// Time for which an insufficient level is remembered.
const INSUFFICIENT_MEMORY: Micros = 30_000_000;
/// Maximum lead of a wish over the level in force.
const MAX_WISH_LEAD_LEVELS: u8 = 6;

/// Times and bounds of the level.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    /// A queueing delay that stays above this raises the level; one of less than half of it lowers the level.
    pub queue: Micros,
    /// Time between two evaluations of the queueing delay (CoDel's interval).
    pub interval: Micros,
    /// Time that the level is held before it falls; further steps follow after a fourth of it.
    pub stay: Micros,
    /// Lifetime of a received wish that is not repeated.
    pub wish_ttl: Micros,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms { queue: 50_000, interval: 100_000, stay: 1_000_000, wish_ttl: 2_000_000 }
    }
}

#[derive(Clone, Debug)]
struct Report {
    level: u8,
    at: Micros,
}

/// The admission level as one member computes it.
#[derive(Clone, Debug)]
pub struct Admission {
    terms: Terms,
    wish: u8,
    /// When the wish last rose or fell.
    wish_changed_at: Micros,
    reports: BTreeMap<Arc<str>, Report>,
    /// Since when wishes of other members have been received. The first ones may be those of lying members,
    /// so a member waits before it counts them.
    receiving_since: Option<Micros>,
    level: u8,
    /// When the level last rose or fell.
    level_changed_at: Micros,
    /// The level in force when the queue last became too long, which was therefore insufficient, and when
    /// that was.
    insufficient: Option<(u8, Micros)>,
    /// The queueing delay of the previous interval.
    last_queue: Micros,
    /// Whether the last interval had no queue that requires a higher level.
    calm: bool,
}

impl Admission {
    /// Creates the state that admits all requests.
    pub fn new(terms: Terms) -> Admission {
        Admission {
            terms,
            wish: 0,
            wish_changed_at: 0,
            reports: BTreeMap::new(),
            receiving_since: None,
            level: 0,
            level_changed_at: 0,
            insufficient: None,
            last_queue: 0,
            calm: true,
        }
    }

    /// Returns the level in force.
    pub fn level(&self) -> u8 {
        self.level
    }

    /// Returns this member's own wish.
    pub fn requested_level(&self) -> u8 {
        self.wish
    }

    /// Returns the number of members whose wishes count.
    pub fn wish_count(&self) -> usize {
        self.reports.len()
    }

    /// Records the queueing delay that persisted through an interval; `None` if there were too few samples.
    pub fn record_queueing_delay(&mut self, now: Micros, queue: Option<Micros>) {
        let target = self.terms.queue.max(1);
        match queue {
            Some(queue) if queue > target => {
                // A higher level takes effect only as the existing queue drains. While the queue drains by at
                // least a sixteenth of the elapsed time the wish does not rise, and never sooner than answers
                // can show the effect of the last rise.
                let draining = queue + self.terms.interval / 16 <= self.last_queue;
                let rise_interval = (queue / 2).clamp(2 * self.terms.interval, MAX_RISE_INTERVAL);
                if self.wish == 0 || (!draining && now >= self.wish_changed_at + rise_interval) {
                    if self.last_queue <= target {
                        self.insufficient = Some((self.level, now));
                    }
                    // A level not far above the insufficient one is enough, but answers show that late:
                    // beyond it the wish rises slowly, unless the queue is far too long.
                    let above_insufficient = queue < 4 * target
                        && self
                            .insufficient
                            .is_some_and(|(low, _)| self.wish > low.saturating_add(NEAR_ABOVE_LEVELS));
                    let rise =
                        if above_insufficient { 1 } else { (queue / target).clamp(1, MAX_RISE_LEVELS) as u8 };
                    // Start from the level in force: a wish below it has already had its effect.
                    let base = self.wish.max(self.level.saturating_sub(1));
                    // Without a bound the wish of a member that the others do not share would wind up
                    // endlessly, and unwind long after.
                    self.wish = base
                        .saturating_add(rise)
                        .min(self.level.saturating_add(MAX_WISH_LEAD_LEVELS))
                        .min(MAX_LEVEL);
                    self.wish_changed_at = now;
                }
                self.calm = false;
            }
            Some(queue) if queue > target / 2 => self.calm = false,
            // Too few samples count as a short queue: refused requests leave nothing to measure.
            _ => {
                // Near a recently insufficient level the wish falls slowly, as a window that has seen loss
                // grows slowly near the size where it did (CUBIC, RFC 9438, section 4.4).
                let is_recent = |at: Micros| now < at + INSUFFICIENT_MEMORY;
                let band =
                    |low: u8| low.saturating_sub(NEAR_BELOW_LEVELS)..=low.saturating_add(NEAR_ABOVE_LEVELS);
                let near = self
                    .insufficient
                    .is_some_and(|(low, at)| band(low).contains(&self.wish) && is_recent(at));
                let step = match (near, self.calm) {
                    (true, _) => self.terms.stay * 2,
                    (false, true) => self.terms.stay / 4,
                    (false, false) => self.terms.stay,
                };
                if self.wish > 0 && now >= self.wish_changed_at + step {
                    (self.wish, self.wish_changed_at, self.calm) = (self.wish - 1, now, true);
                }
            }
        }
        self.last_queue = queue.unwrap_or(0);
        self.update_level(now);
    }

    /// Records another member's wish, received first hand.
    pub fn record_wish(&mut self, now: Micros, member: &Arc<str>, level: u8) {
        if self.reports.len() >= MAX_REPORTS && !self.reports.contains_key(member) {
            let oldest = self.reports.iter().min_by_key(|(_, r)| r.at).map(|(name, _)| name.clone());
            if let Some(name) = oldest {
                self.reports.remove(&name);
            }
        }
        self.reports.insert(member.clone(), Report { level: level.min(MAX_LEVEL), at: now });
        self.receiving_since.get_or_insert(now);
        self.update_level(now);
    }

    /// Returns the median of the recent wishes, its own included, the lower of two in the middle; its own
    /// wish alone while no other is received.
    fn agreed_level(&mut self, now: Micros) -> u8 {
        let wish_ttl = self.terms.wish_ttl;
        self.reports.retain(|_, r| now < r.at + wish_ttl);
        if self.reports.is_empty() {
            self.receiving_since = None;
        }
        if self.receiving_since.is_none_or(|since| now < since + wish_ttl / 2) {
            return self.wish;
        }
        let mut wishes: Vec<u8> = self.reports.values().map(|r| r.level).chain([self.wish]).collect();
        wishes.sort_unstable();
        wishes[(wishes.len() - 1) / 2]
    }

    /// Moves the level towards the agreed one: up at once, down by steps.
    fn update_level(&mut self, now: Micros) {
        let agreed = self.agreed_level(now);
        let step = if agreed + 1 < self.level { self.terms.stay / 4 } else { self.terms.stay };
        if agreed > self.level {
            (self.level, self.level_changed_at) = (agreed, now);
        } else if agreed < self.level && now >= self.level_changed_at + step {
            (self.level, self.level_changed_at) = (self.level - 1, now);
        }
    }

    /// Returns the retry delay for refused requests: the shortest time in which the level could fall to zero.
    pub fn retry_delay(&self) -> Micros {
        self.terms.stay + u64::from(self.level) * self.terms.stay / 4
    }
}

/// Returns the priority of a request, from 0 to [`MAX_LEVEL`] - 1: by the rank of its class among the
/// `classes` by worth, the least worthy lowest; within the class, requests over their share are lower; then
/// by `kind`, the same everywhere, so that the same kinds are refused at every dispatcher. A request is
/// admitted if its priority is at or above the level; the highest always is.
pub fn priority(class_rank: usize, classes: usize, over_share: bool, kind: u64) -> u8 {
    let classes = classes.clamp(1, usize::from(MAX_LEVEL) / 2) as u64;
    let (class_rank, width) = ((class_rank as u64).min(classes - 1), u64::from(MAX_LEVEL) / classes);
    let quarter = (width / 4).max(1);
    let within = if over_share { kind % quarter } else { quarter + kind % (width - quarter).max(1) };
    (class_rank * width + within).min(u64::from(MAX_LEVEL) - 1) as u8
}

/// Returns whether a request of this priority is admitted at the level.
pub fn admits(level: u8, standing: u8) -> bool {
    standing >= level.min(MAX_LEVEL - 1)
}

#[cfg(test)]
mod tests;
