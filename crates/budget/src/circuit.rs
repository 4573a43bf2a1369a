//! Workers that a whole fleet takes back with care: one trial at a time, then a ramp.
//!
//! A circuit opens here by what this member saw itself, never by a word of others. While it is open the worker gets trials: from its
//! owner among the members that see each other (the highest rendezvous hash of worker and member; Thaler, Ravishankar:
//! "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM ToN 1998), from the next one if the owner makes none, and from
//! anyone after that. So in a cut each side has its owner, and a dead owner is replaced after [`Terms::trial`]. Who gets an answer
//! tells all; from then on the worker is let in by a rate of the whole fleet that doubles, of which each has its part, until
//! the ramp is over.

use crate::{Bucket, Micros};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// Workers whose circuits are not closed, at the most.
pub const MOST_OPEN: usize = 1_024;
/// The rate of the whole fleet at the ramp's beginning, in thousandths of a request a second.
const FIRST_RATE: u64 = 4_000;
/// It doubles so often in a ramp.
const DOUBLINGS: f64 = 8.0;
/// A trial that was refused is made again after the usual time, then twice that, up to so many times it.
const MOST_WAIT: u32 = 8;
/// Trials of others put ours off so many times in a row.
const MOST_PUT_OFF: u32 = 8;
/// Where so many of all workers, in hundredths, would be kept from, none is: what fails may be this member.
const FAIL_OPEN: usize = 50;

/// Times of a circuit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Between two trials at first, and until the next member makes one in the owner's place.
    pub trial: Micros,
    /// How long the ramp takes.
    pub ramp: Micros,
}

#[derive(Clone, Debug)]
enum State {
    /// It gets trials: when the next is due, how many were refused, whether one of ours is under way, and how many trials of others
    /// have put ours off.
    Open { next: Micros, refused: u32, trial: bool, put_off: u32 },
    /// It answered; since when it is let in by a rate.
    Ramp { since: Micros, bucket: Bucket },
}

impl State {
    fn refusals(&self) -> Option<u32> {
        if let State::Open { refused, .. } = self { Some(*refused) } else { None }
    }
}

/// The circuits of one member that are not closed.
#[derive(Clone, Debug)]
pub struct Circuits {
    terms: Terms,
    states: BTreeMap<Arc<str>, State>,
}

/// Where a member stands for a worker among all, itself included: 0 owns it.
pub fn rank(worker: &str, own: &str, others: &[Arc<str>]) -> usize {
    let weight = |member: &str| {
        let mut hasher = SipHasher13::new();
        (worker, member).hash(&mut hasher);
        hasher.finish()
    };
    let mine = (weight(own), own);
    others.iter().filter(|o| (weight(o), &***o) > mine).count()
}

impl Circuits {
    /// All are closed.
    pub fn new(terms: Terms) -> Circuits {
        Circuits { terms, states: BTreeMap::new() }
    }

    /// A connection to it was refused, or did not come up: seen here. True if that was a trial of ours, of which others should hear.
    pub fn refused(&mut self, now: Micros, worker: &Arc<str>) -> bool {
        let (refused, ours) = match self.states.get(worker) {
            // What was sent before it opened tells nothing new.
            Some(State::Open { trial: false, .. }) => return false,
            Some(State::Open { refused, .. }) => (refused + 1, true),
            None if self.states.len() >= MOST_OPEN => return false,
            Some(State::Ramp { .. }) | None => (0, false),
        };
        let next = now + self.wait(refused);
        self.states.insert(worker.clone(), State::Open { next, refused, trial: false, put_off: 0 });
        ours
    }

    /// Another says that it made a trial, which was refused: ours is put off. Danger: one that says so without end would keep a
    /// worker out for ever; so many times, and ours is made.
    pub fn tried(&mut self, now: Micros, worker: &str) {
        let wait =
            self.states.get(worker).and_then(State::refusals).map_or(0, |refused| self.wait(refused + 1));
        if let Some(State::Open { next, refused, trial: false, put_off }) = self.states.get_mut(worker)
            && *put_off < MOST_PUT_OFF
        {
            (*next, *refused, *put_off) = (now + wait, *refused + 1, *put_off + 1);
        }
    }

    /// The time until the next trial, after so many that were refused.
    fn wait(&self, refused: u32) -> Micros {
        self.terms.trial * Micros::from((1_u32 << refused.min(8)).min(MOST_WAIT))
    }

    /// It answered here; true if that is news that others should hear.
    pub fn answered(&mut self, now: Micros, worker: &str) -> bool {
        let news = matches!(self.states.get(worker), Some(State::Open { .. }));
        if news {
            self.back(now, worker, now);
        }
        news
    }

    /// Another says that it answered, so long ago. It closes nothing and opens nothing: an open circuit becomes a ramp.
    pub fn told(&mut self, now: Micros, worker: &str, ago: Micros) {
        if matches!(self.states.get(worker), Some(State::Open { .. })) && ago < self.terms.ramp {
            self.back(now, worker, now - ago);
        }
    }

    fn back(&mut self, now: Micros, worker: &str, since: Micros) {
        if let Some(state) = self.states.get_mut(worker) {
            *state = State::Ramp { since, bucket: Bucket::new(self.terms.trial, now) };
        }
    }

    /// Of each worker whose circuit is not closed, how many requests it may get now; the others get what they get. `workers` is how
    /// many there are in all, the ramp's rate goes into `parts`.
    pub fn gates(
        &mut self,
        now: Micros,
        own: &str,
        others: &[Arc<str>],
        (workers, parts): (usize, usize),
    ) -> Vec<(Arc<str>, u64)> {
        let ramp = self.terms.ramp.max(1);
        self.states.retain(|_, s| !matches!(s, State::Ramp { since, .. } if now >= *since + ramp));
        if self.states.len() * 100 >= workers.max(1) * FAIL_OPEN {
            return Vec::new();
        }
        let trial = self.terms.trial;
        let gate = |(worker, state): (&Arc<str>, &mut State)| {
            let left = match state {
                State::Open { next, .. } => {
                    // The owner at once, the next one a while later, anyone after three.
                    let place = rank(worker, own, others).min(3) as u64;
                    u64::from(now >= *next + place * trial)
                }
                State::Ramp { since, bucket } => {
                    let passed = now.saturating_sub(*since) as f64 / ramp as f64;
                    let rate = FIRST_RATE as f64 * (passed * DOUBLINGS).exp2();
                    bucket.refill(now, (rate / parts.max(1) as f64) as u64)
                }
            };
            (worker.clone(), left)
        };
        self.states.iter_mut().map(gate).collect()
    }

    /// A request went to it through the gate.
    pub fn entered(&mut self, now: Micros, worker: &str, count: u64) {
        let wait = self.states.get(worker).and_then(State::refusals).map_or(0, |refused| self.wait(refused));
        match self.states.get_mut(worker) {
            // No second trial until this one has told, or had the time for it.
            Some(State::Open { next, trial, put_off, .. }) => {
                (*next, *trial, *put_off) = (now + wait, true, 0)
            }
            Some(State::Ramp { bucket, .. }) => {
                bucket.take(count);
            }
            None => {}
        }
    }

    /// Whether its circuit is open.
    pub fn is_open(&self, worker: &str) -> bool {
        matches!(self.states.get(worker), Some(State::Open { .. }))
    }

    /// Forgets those that are no longer there.
    pub fn retain(&mut self, there: impl Fn(&str) -> bool) {
        self.states.retain(|worker, _| there(worker));
    }

    /// Workers whose circuits are open, and those on a ramp.
    pub fn count(&self) -> (usize, usize) {
        let open = self.states.values().filter(|s| matches!(s, State::Open { .. })).count();
        (open, self.states.len() - open)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Micros = 1_000;

    fn names(count: usize) -> Vec<Arc<str>> {
        (0..count).map(|n| format!("n{n}").into()).collect()
    }

    fn circuits() -> Circuits {
        Circuits::new(Terms { trial: 250 * MS, ramp: 4_000 * MS })
    }

    /// What each of them lets through now.
    fn left(all: &mut [Circuits], now: Micros, names: &[Arc<str>]) -> Vec<u64> {
        let parts = all.len();
        let one = |(n, c): (usize, &mut Circuits)| {
            let others: Vec<Arc<str>> = names.iter().filter(|o| **o != names[n]).cloned().collect();
            c.gates(now, &names[n], &others, (12, parts)).first().map_or(u64::MAX, |(_, left)| *left)
        };
        all.iter_mut().enumerate().map(one).collect()
    }

    #[test]
    fn one_tries_at_a_time_and_the_next_where_the_owner_does_not() {
        let names = names(9);
        let (mut all, worker): (Vec<Circuits>, Arc<str>) =
            ((0..9).map(|_| circuits()).collect(), "s1".into());
        for c in &mut all {
            assert!(!c.refused(0, &worker), "no trial of its own");
        }
        assert_eq!(left(&mut all, 249 * MS, &names).iter().sum::<u64>(), 0);
        let at_first = left(&mut all, 250 * MS, &names);
        assert_eq!(at_first.iter().sum::<u64>(), 1, "the owner alone");
        assert_eq!(
            left(&mut all, 500 * MS, &names).iter().sum::<u64>(),
            2,
            "and its deputy, if nothing came of it"
        );
        let owner = at_first.iter().position(|l| *l == 1).expect("an owner");
        all[owner].entered(250 * MS, &worker, 1);
        assert_eq!(left(&mut all, 260 * MS, &names).iter().sum::<u64>(), 0, "its trial runs");
        assert!(all[owner].answered(270 * MS, &worker) && !all[owner].answered(271 * MS, &worker));
        (0..9).filter(|n| *n != owner).for_each(|n| all[n].told(280 * MS, &worker, 10 * MS));
        let mut sum = 0;
        for step in 0..200 {
            let now = 280 * MS + step * 10 * MS;
            for (n, l) in left(&mut all, now, &names).into_iter().enumerate() {
                all[n].entered(now, &worker, l);
                sum += l;
            }
        }
        assert!((15..=60).contains(&sum), "two seconds of the ramp: {sum}");
        assert!(left(&mut all, 4_300 * MS, &names).iter().all(|l| *l == u64::MAX), "it is over");
    }

    #[test]
    fn trials_that_are_refused_come_ever_later_and_others_words_open_nothing() {
        let (mut c, worker): (Circuits, Arc<str>) = (circuits(), "s1".into());
        let (mut now, mut trials) = (0, 0);
        c.refused(now, &worker);
        while now < 20_000 * MS {
            now += 10 * MS;
            if c.gates(now, "n0", &[], (12, 1))[0].1 > 0 {
                c.entered(now, &worker, 1);
                c.refused(now + MS, &worker);
                trials += 1;
            }
        }
        assert!((9..=40).contains(&trials), "{trials} trials in 20 s");
        c.told(now, "s2", 0);
        c.tried(now, "s2");
        assert_eq!(c.count(), (1, 0));
        // One that tells of its trials without end puts ours off, and does not end them.
        let mut mine = 0;
        for step in 0..6_000 {
            let now = now + step * 10 * MS;
            c.tried(now, &worker);
            if c.gates(now, "n0", &[], (12, 1))[0].1 > 0 {
                c.entered(now, &worker, 1);
                c.refused(now + MS, &worker);
                mine += 1;
            }
        }
        assert!(mine > 10, "{mine} trials of ours in a minute");
    }

    #[test]
    fn where_half_of_all_would_be_shut_none_is_and_all_is_bounded() {
        let mut c = circuits();
        for n in 0..6 {
            c.refused(0, &format!("s{n}").into());
        }
        assert!(c.gates(1, "n0", &[], (12, 1)).is_empty());
        assert_eq!(c.gates(1, "n0", &[], (13, 1)).len(), 6);
        for n in 0..5_000 {
            c.refused(0, &format!("s{n}").into());
        }
        assert_eq!(c.count().0, MOST_OPEN);
    }
}
