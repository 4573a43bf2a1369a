//! What one dispatcher sees of an executor on its own sockets, told to the others as a hint: it makes them look, and bans
//! nobody. Decisions and state, without I/O, the clock passed in.
//!
//! Spread as a rumour that dies out (Demers and others: "Epidemic Algorithms for Replicated Database Maintenance", PODC
//! 1987, section 1.4): whoever hears one passes it on for some rounds, each time to a few others drawn anew.

use crate::api::{Micros, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The channel of the membership's notes.
pub const CHANNEL: u8 = 1;
/// Others that a hint is passed on to in a round.
pub const FANOUT: usize = 3;

/// A round takes this long.
const ROUND: Micros = 50_000;
/// What is seen of one executor within this time is one event.
const SAME: Micros = 1_000_000;
/// What is older is told and heard no more.
const STALE: Micros = 10_000_000;
/// Executors of which something is kept.
const MOST: usize = 1_024;
/// The longest id that is told.
const MOST_ID: usize = 128;
/// Bytes of one note.
const MOST_BYTES: usize = 800;
/// Looks that may be made at once, and how long one takes to be allowed again. Danger: a peer that lies would have every
/// dispatcher connect to every executor.
const LOOKS: u32 = 16;
const LOOK_EVERY: Micros = 100_000;
/// One executor is looked at no more often than this, but for the second look.
const LOOK_AGAIN: Micros = 5_000_000;
/// A refused look is made once more after this: one refusal may be a full queue.
const AGAIN: Micros = 300_000;

/// A hint on its way.
#[derive(Debug, Serialize, Deserialize)]
struct Told {
    worker: WorkerId,
    age_ms: u32,
}

struct Rumour {
    at: Micros,
    /// Rounds in which it is still passed on.
    left: u32,
    /// When it was last looked at, and how often for that.
    looked: Option<Micros>,
    looks: u8,
}

/// Hints that were seen or heard, and the looks that come of them.
#[derive(Default)]
pub struct Hints {
    rumours: BTreeMap<WorkerId, Rumour>,
    next_round: Micros,
    /// Looks in hand, and since when they come back.
    looks: u32,
    looks_at: Micros,
    /// Looks to be made again.
    again: VecDeque<(Micros, WorkerId)>,
}

impl Hints {
    /// None yet.
    pub fn new(now: Micros) -> Hints {
        Hints { looks: LOOKS, looks_at: now, ..Hints::default() }
    }

    /// Something was seen here that tells of a death; true if it is news, and will be told.
    pub fn seen(&mut self, now: Micros, worker: &WorkerId, others: usize) -> bool {
        self.learn(now, now, worker, others)
    }

    /// Takes what another tells; the executors of which that is news.
    pub fn heard(&mut self, now: Micros, bytes: &[u8], others: usize) -> Vec<WorkerId> {
        let told: Vec<Told> = postcard::from_bytes(bytes).unwrap_or_default();
        let at = |age_ms: u32| now.saturating_sub(u64::from(age_ms) * 1_000);
        told.into_iter()
            .filter(|t| self.learn(now, at(t.age_ms), &t.worker, others))
            .map(|t| t.worker)
            .collect()
    }

    fn learn(&mut self, now: Micros, at: Micros, worker: &WorkerId, others: usize) -> bool {
        let known = self.rumours.get(worker).is_some_and(|r| at < r.at + SAME);
        if known || at + STALE <= now || worker.is_empty() || worker.len() > MOST_ID {
            return false;
        }
        if self.rumours.len() >= MOST && !self.rumours.contains_key(worker) {
            let oldest = self.rumours.iter().min_by_key(|(_, r)| r.at).map(|(w, _)| w.clone());
            if let Some(worker) = oldest {
                self.rumours.remove(&worker);
            }
        }
        // Reaches all but surely: each round multiplies those that know by up to one more than the fan-out.
        let left = (others + 1).ilog2() + 2;
        if self.rumours.values().all(|r| r.left == 0) {
            self.next_round = now;
        }
        let (looked, looks) = self.rumours.get(worker).map_or((None, 0), |r| (r.looked, r.looks));
        self.rumours.insert(worker.clone(), Rumour { at, left, looked, looks });
        true
    }

    /// Whether a look at an executor may be made now; it is counted. Danger: each look at one that stays dead would be seen, told,
    /// and looked at again by all, without end.
    pub fn may_look(&mut self, now: Micros, worker: &WorkerId) -> bool {
        if let Some(rumour) = self.rumours.get_mut(worker) {
            if rumour.looked.is_some_and(|at| now < at + LOOK_AGAIN) {
                return false;
            }
            (rumour.looked, rumour.looks) = (Some(now), 1);
        }
        let back = now.saturating_sub(self.looks_at) / LOOK_EVERY;
        self.looks = (u64::from(self.looks) + back).min(u64::from(LOOKS)) as u32;
        self.looks_at = if self.looks == LOOKS { now } else { self.looks_at + back * LOOK_EVERY };
        let may = self.looks > 0;
        self.looks -= u32::from(may);
        may
    }

    /// A look was refused: it is made again, once.
    pub fn refused(&mut self, now: Micros, worker: &WorkerId) {
        if let Some(rumour) = self.rumours.get_mut(worker).filter(|r| r.looks == 1)
            && self.again.len() < MOST
        {
            rumour.looks = 2;
            self.again.push_back((now + AGAIN, worker.clone()));
        }
    }

    /// An executor that is to be looked at again now.
    pub fn look_again(&mut self, now: Micros) -> Option<WorkerId> {
        self.again.pop_front_if(|(at, _)| *at <= now).map(|(_, worker)| worker)
    }

    /// When something is next to be done.
    pub fn due(&self) -> Micros {
        let round = self.rumours.values().any(|r| r.left > 0).then_some(self.next_round);
        round.into_iter().chain(self.again.front().map(|(at, _)| *at)).min().unwrap_or(Micros::MAX)
    }

    /// What is to be told to [`FANOUT`] others now, if anything.
    pub fn round(&mut self, now: Micros) -> Option<Vec<u8>> {
        if now < self.next_round || self.rumours.values().all(|r| r.left == 0) {
            return None;
        }
        self.next_round = now + ROUND;
        self.rumours.retain(|_, r| r.at + STALE > now);
        let mut fresh: Vec<(&WorkerId, &mut Rumour)> =
            self.rumours.iter_mut().filter(|(_, r)| r.left > 0).collect();
        // The least told goes first.
        fresh.sort_by_key(|(_, r)| u32::MAX - r.left);
        let (mut told, mut bytes) = (Vec::new(), 2);
        for (worker, rumour) in fresh {
            bytes += worker.len() + 7;
            if bytes > MOST_BYTES {
                break;
            }
            rumour.left -= 1;
            let age_ms = (now.saturating_sub(rumour.at) / 1_000) as u32;
            told.push(Told { worker: worker.clone(), age_ms });
        }
        postcard::to_stdvec(&told).ok().filter(|_| !told.is_empty())
    }
}

#[cfg(test)]
mod tests;
