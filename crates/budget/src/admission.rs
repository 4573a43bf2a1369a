//! The level of admission: requests below it are refused before anything runs, the lowest worth first, and at every
//! dispatcher alike.
//!
//! Each member has a wish, by the queue that it measures; the level is the median of the wishes that members told *themselves*
//! of late. So no less than half of those that are heard can move it: one that lies, or that alone has a bad link to the workers,
//! can't. It rises at once and falls step by step, each step after a stay. One that hears nobody goes by its own wish,
//! and no laxer than what was agreed last until that level's stay is over, step by step.

use crate::Micros;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The highest level: nothing but the most worthy is let in.
pub const MOST_LEVEL: u8 = 64;
/// Members whose wishes are held.
pub const MOST_REPORTS: usize = 512;
/// The most that a wish rises in one interval, in levels.
const MOST_RISE: u64 = 3;

/// The longest time between two rises while the queue is too long and does not drain.
const SLOWEST_RISE: Micros = 600_000;
/// So many levels above one that was too low count as near it, for so long.
const NEAR: u8 = 6;
/// And so many below it: who is further down without a queue needs none of it any more.
const BELOW: u8 = 2;
const MEMORY: Micros = 30_000_000;
/// How far a wish may be ahead of the level in force.
const AHEAD: u8 = 6;

/// Times and bounds of the level.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    /// A queue at workers that stands longer than this raises the level; one of less than half of it lowers it.
    pub queue: Micros,
    /// The queue is looked at this often (CoDel's interval).
    pub interval: Micros,
    /// The level stays this long before it falls, and a fourth of it between further steps.
    pub stay: Micros,
    /// A wish that was not told again for this long counts no more.
    pub fresh: Micros,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms { queue: 50_000, interval: 100_000, stay: 1_000_000, fresh: 2_000_000 }
    }
}

#[derive(Clone, Debug)]
struct Report {
    level: u8,
    at: Micros,
}

/// The level as one member knows it.
#[derive(Clone, Debug)]
pub struct Admission {
    terms: Terms,
    wish: u8,
    /// When the wish last rose or fell, and since when the queue has been short.
    wished: Micros,
    reports: BTreeMap<Arc<str>, Report>,
    /// Since when others have been heard. Danger: those that speak first may be the ones that lie, so that one that has only
    /// begun to hear listens for a while.
    hears: Option<Micros>,
    level: u8,
    /// When the level last rose, or stepped down.
    moved: Micros,
    /// The level in force when the queue last became too long, and when that was: too low.
    low: Option<(u8, Micros)>,
    /// The queue of the interval before.
    last: Micros,
    /// The last interval without a queue that asks for a higher level.
    calm: bool,
}

impl Admission {
    /// All are let in.
    pub fn new(terms: Terms) -> Admission {
        Admission {
            terms,
            wish: 0,
            wished: 0,
            reports: BTreeMap::new(),
            hears: None,
            level: 0,
            moved: 0,
            low: None,
            last: 0,
            calm: true,
        }
    }

    /// The level in force.
    pub fn level(&self) -> u8 {
        self.level
    }

    /// This member's own wish.
    pub fn wish(&self) -> u8 {
        self.wish
    }

    /// Members whose wishes count now.
    pub fn heard(&self) -> usize {
        self.reports.len()
    }

    /// An interval is over: the queue that stood through it, if enough was seen to tell.
    pub fn measured(&mut self, now: Micros, queue: Option<Micros>) {
        let target = self.terms.queue.max(1);
        match queue {
            Some(queue) if queue > target => {
                // Danger: an effect shows only as the queue of before drains. While it does, by a sixteenth of the time that
                // passes or more, it rises no further; and in no case sooner than answers of now can tell.
                let drains = queue + self.terms.interval / 16 <= self.last;
                let again = (queue / 2).clamp(2 * self.terms.interval, SLOWEST_RISE);
                if self.wish == 0 || (!drains && now >= self.wished + again) {
                    if self.last <= target {
                        self.low = Some((self.level, now));
                    }
                    // Not far above what was too low something is enough, and answers tell that late: slowly from there, while the
                    // queue is not far too long.
                    let far = queue < 4 * target
                        && self.low.is_some_and(|(low, _)| self.wish > low.saturating_add(NEAR));
                    let rise = if far { 1 } else { (queue / target).clamp(1, MOST_RISE) as u8 };
                    // From what is in force: a wish below it has had its effect already.
                    let base = self.wish.max(self.level.saturating_sub(1));
                    // Danger: one whose wish others do not share would wind it up without end, and unwind it long after.
                    self.wish =
                        base.saturating_add(rise).min(self.level.saturating_add(AHEAD)).min(MOST_LEVEL);
                    self.wished = now;
                }
                self.calm = false;
            }
            Some(queue) if queue > target / 2 => self.calm = false,
            // Nothing to tell counts as short: what is refused leaves nothing to measure.
            _ => {
                // Not far above what was too low of late it goes down slowly (as a window that has lost grows slowly near where it
                // lost: CUBIC, RFC 9438, section 4.4).
                let lately = |at: Micros| now < at + MEMORY;
                let band = |low: u8| low.saturating_sub(BELOW)..=low.saturating_add(NEAR);
                let near = self.low.is_some_and(|(low, at)| band(low).contains(&self.wish) && lately(at));
                let step = match (near, self.calm) {
                    (true, _) => self.terms.stay * 2,
                    (false, true) => self.terms.stay / 4,
                    (false, false) => self.terms.stay,
                };
                if self.wish > 0 && now >= self.wished + step {
                    (self.wish, self.wished, self.calm) = (self.wish - 1, now, true);
                }
            }
        }
        self.last = queue.unwrap_or(0);
        self.settle(now);
    }

    /// Another told its wish, itself.
    pub fn told(&mut self, now: Micros, by: &Arc<str>, level: u8) {
        if self.reports.len() >= MOST_REPORTS && !self.reports.contains_key(by) {
            let oldest = self.reports.iter().min_by_key(|(_, r)| r.at).map(|(name, _)| name.clone());
            if let Some(name) = oldest {
                self.reports.remove(&name);
            }
        }
        self.reports.insert(by.clone(), Report { level: level.min(MOST_LEVEL), at: now });
        self.hears.get_or_insert(now);
        self.settle(now);
    }

    /// The median of the wishes told of late and one's own, the lower of two in the middle; one's own alone where nobody is heard.
    fn agreed(&mut self, now: Micros) -> u8 {
        let fresh = self.terms.fresh;
        self.reports.retain(|_, r| now < r.at + fresh);
        if self.reports.is_empty() {
            self.hears = None;
        }
        if self.hears.is_none_or(|since| now < since + fresh / 2) {
            return self.wish;
        }
        let mut wishes: Vec<u8> = self.reports.values().map(|r| r.level).chain([self.wish]).collect();
        wishes.sort_unstable();
        wishes[(wishes.len() - 1) / 2]
    }

    /// Brings the level to what is agreed: up at once, down by steps.
    fn settle(&mut self, now: Micros) {
        let agreed = self.agreed(now);
        let step = if agreed + 1 < self.level { self.terms.stay / 4 } else { self.terms.stay };
        if agreed > self.level {
            (self.level, self.moved) = (agreed, now);
        } else if agreed < self.level && now >= self.moved + step {
            (self.level, self.moved) = (self.level - 1, now);
        }
    }

    /// How long those that are turned away should stay away: the time in which the level would be gone at the soonest.
    pub fn back(&self) -> Micros {
        self.terms.stay + u64::from(self.level) * self.terms.stay / 4
    }
}

/// Where a request stands among all, from 0 to [`MOST_LEVEL`] - 1: by its class's place among the `classes` by worth, the least
/// worthy first; within the class those beyond their share first; then by `kind`, alike everywhere, so that the same kinds
/// are turned away at every door. Let in is what stands at the level or above; the highest always is.
pub fn standing(place: usize, classes: usize, beyond: bool, kind: u64) -> u8 {
    let classes = classes.clamp(1, usize::from(MOST_LEVEL) / 2) as u64;
    let (place, width) = ((place as u64).min(classes - 1), u64::from(MOST_LEVEL) / classes);
    let quarter = (width / 4).max(1);
    let within = if beyond { kind % quarter } else { quarter + kind % (width - quarter).max(1) };
    (place * width + within).min(u64::from(MOST_LEVEL) - 1) as u8
}

/// Whether a request that stands there is let in at the level.
pub fn admits(level: u8, standing: u8) -> bool {
    standing >= level.min(MOST_LEVEL - 1)
}

#[cfg(test)]
mod tests;
