//! The order in which all dispatchers prefer workers for a function, found in less than linear time.
//!
//! Multi-probe consistent hashing (Appleton and O'Reilly, 2015) with several points a worker: each worker stands at
//! [`POINTS`] places of a circle, each function looks from [`PROBES`] places on, and the worker whose point comes soonest
//! after any of the probes is preferred. How far a worker is from a function depends on these two alone, so that the order is
//! the same whatever the rest of the list is and in whatever order it came, and one worker's coming or going moves its own
//! share and nothing else. No I/O, no clock; bounded by the number of workers.

use crate::api::{FunctionId, WorkerId};
use siphasher::sip::SipHasher13;
use std::collections::BinaryHeap;
use std::hash::{Hash, Hasher};

/// Points of a worker on the circle, and probes of a function: the more of both, the more even the shares. With these the
/// share of one worker differs from the mean by about 1.6%.
const POINTS: usize = 16;
const PROBES: usize = 128;
/// The circle is cut into arcs that hold about so many points when they are made.
const POINTS_AN_ARC: usize = 4;
/// Arcs are made anew when they hold so many times more or less than that.
const FULL: usize = 16;

/// A worker's point on the circle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Point {
    at: u64,
    slot: u32,
}

/// Where a point is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Place {
    arc: usize,
    index: usize,
}

/// All workers' points, in order, by arcs of the circle that are all of one length.
#[derive(Clone, Debug, Default)]
pub struct PreferenceRing {
    /// As many as some power of two, or none.
    arcs: Vec<Vec<Point>>,
    workers: usize,
    version: u64,
}

impl PreferenceRing {
    /// A number that changes with the workers on the ring.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The order is to be another one from now on, though the workers are the same.
    pub fn renew(&mut self) {
        self.version += 1;
    }

    /// Workers on the ring.
    pub fn count(&self) -> usize {
        self.workers
    }

    /// Bytes that it holds.
    pub fn bytes(&self) -> usize {
        let points: usize = self.arcs.iter().map(Vec::capacity).sum();
        points * size_of::<Point>() + self.arcs.capacity() * size_of::<Vec<Point>>()
    }

    /// Takes workers out by their slots and ids, and puts others in.
    pub fn change(&mut self, gone: &[(usize, WorkerId)], new: &[(usize, WorkerId)]) {
        if gone.is_empty() && new.is_empty() {
            return;
        }
        self.version += 1;
        self.workers = (self.workers + new.len()).saturating_sub(gone.len());
        self.make_arcs();
        for point in gone.iter().flat_map(points) {
            let arc = self.arc(point.at);
            if let Ok(index) = self.arcs[arc].binary_search(&point) {
                self.arcs[arc].remove(index);
                // Workers that are replaced all day must not leave each arc as large as it ever was.
                self.arcs[arc].shrink_to(2 * POINTS_AN_ARC);
            }
        }
        for point in new.iter().flat_map(points) {
            let arc = self.arc(point.at);
            let index = self.arcs[arc].partition_point(|p| *p < point);
            self.arcs[arc].insert(index, point);
        }
    }

    /// Cuts the circle anew where there are far more points, or far fewer, than when it was cut last.
    fn make_arcs(&mut self) {
        let points = self.workers * POINTS;
        let wanted = (points / POINTS_AN_ARC).next_power_of_two().max(1);
        let fits = wanted < self.arcs.len() * FULL && self.arcs.len() < wanted * FULL;
        if fits {
            return;
        }
        let old = std::mem::replace(&mut self.arcs, vec![Vec::new(); wanted]);
        for point in old.into_iter().flatten() {
            let arc = self.arc(point.at);
            self.arcs[arc].push(point);
        }
    }

    /// The arc that a point of the circle lies in.
    fn arc(&self, at: u64) -> usize {
        ((u128::from(at) * self.arcs.len() as u128) >> u64::BITS) as usize
    }

    /// The first point at that place or after it.
    fn first_from(&self, mut place: Place) -> Place {
        while place.index >= self.arcs[place.arc].len() {
            place = Place { arc: (place.arc + 1) % self.arcs.len(), index: 0 };
        }
        place
    }

    fn point(&self, place: Place) -> Point {
        self.arcs[place.arc][place.index]
    }

    /// The slots of all workers, the most preferred first.
    pub fn order(&self, function: &FunctionId) -> PreferenceOrder<'_> {
        let nearest = if self.workers == 0 {
            BinaryHeap::new()
        } else {
            probes_of(function).map(|probe| self.nearest(probe)).to_vec().into()
        };
        PreferenceOrder { ring: self, nearest, seen: Vec::new() }
    }

    fn nearest(&self, probe: u64) -> Nearest {
        let arc = self.arc(probe);
        let index = self.arcs[arc].partition_point(|p| p.at < probe);
        let place = self.first_from(Place { arc, index });
        Nearest { distance: self.point(place).at.wrapping_sub(probe), probe, place, walked: 1 }
    }
}

fn points((slot, id): &(usize, WorkerId)) -> [Point; POINTS] {
    points_of(id).map(|at| Point { at, slot: *slot as u32 })
}

/// How far a worker is from a function: the smaller, the more preferred. What [`PreferenceRing::order`] goes by.
pub fn distance(function: &FunctionId, worker: &WorkerId) -> u64 {
    let points = points_of(worker);
    let nearest = |probe: u64| points.iter().map(|at| at.wrapping_sub(probe)).min().unwrap_or(u64::MAX);
    probes_of(function).map(nearest).into_iter().min().unwrap_or(u64::MAX)
}

/// The next point after one of the probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Nearest {
    distance: u64,
    probe: u64,
    place: Place,
    /// Points that this probe has come to.
    walked: usize,
}

impl Ord for Nearest {
    /// The nearest is the greatest, as a heap gives that first.
    fn cmp(&self, other: &Nearest) -> std::cmp::Ordering {
        (other.distance, other.probe).cmp(&(self.distance, self.probe))
    }
}

impl PartialOrd for Nearest {
    fn partial_cmp(&self, other: &Nearest) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Workers in the order of preference, found one after the other.
pub struct PreferenceOrder<'a> {
    ring: &'a PreferenceRing,
    nearest: BinaryHeap<Nearest>,
    /// Slots that were given, in order.
    seen: Vec<u32>,
}

impl Iterator for PreferenceOrder<'_> {
    type Item = usize;

    fn next(&mut self) -> Option<usize> {
        while self.seen.len() < self.ring.workers {
            let mut nearest = self.nearest.pop()?;
            let slot = self.ring.point(nearest.place).slot;
            if nearest.walked < self.ring.workers * POINTS {
                let next = Place { index: nearest.place.index + 1, ..nearest.place };
                nearest.place = self.ring.first_from(next);
                nearest.distance = self.ring.point(nearest.place).at.wrapping_sub(nearest.probe);
                nearest.walked += 1;
                self.nearest.push(nearest);
            }
            if let Err(place) = self.seen.binary_search(&slot) {
                self.seen.insert(place, slot);
                return Some(slot as usize);
            }
        }
        None
    }
}

/// What an id is of: a worker and a function of one name have nothing in common.
const WORKER: &[u8] = b"worker";
const FUNCTION: &[u8] = b"function";

fn hashed(kind: &[u8], id: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    kind.hash(&mut hasher);
    id.as_bytes().hash(&mut hasher);
    hasher.finish()
}

/// Numbers that follow from one as if they were drawn (the finalizer of SplitMix64, Steele and others, 2014).
fn drawn<const COUNT: usize>(from: u64) -> [u64; COUNT] {
    std::array::from_fn(|n| {
        let mut z = from.wrapping_add((n as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    })
}

/// A number from 0 to 1 that a draw gives to a slot.
pub fn unit(draw: u64, slot: usize) -> f64 {
    let [number] = drawn(draw ^ (slot as u64) << 1);
    number as f64 / u64::MAX as f64
}

fn points_of(worker: &WorkerId) -> [u64; POINTS] {
    drawn(hashed(WORKER, worker))
}

fn probes_of(function: &FunctionId) -> [u64; PROBES] {
    drawn(hashed(FUNCTION, function))
}

#[cfg(test)]
mod tests;
