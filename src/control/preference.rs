//! A consistent-hash ring that gives each function an order of preference over all workers, in less than linear time.
//!
//! Multi-probe consistent hashing (Appleton and O'Reilly, 2015) with several points per worker: each worker has
//! [`POINTS_PER_WORKER`] points on the ring, each function has [`PROBES_PER_FUNCTION`] probes, and the worker whose point
//! follows soonest after any of the probes is preferred. The distance of a worker from a function depends on these two alone.
//! All dispatchers therefore compute the same order, however their lists were assembled, and a worker that joins or leaves
//! moves only its own share of the functions.
//!
//! No I/O, no clock; memory is bounded by the number of workers.

use crate::api::{FunctionId, WorkerId};
use siphasher::sip::SipHasher13;
use std::collections::BinaryHeap;
use std::hash::{Hash, Hasher};

/// Points of a worker on the ring. More points and more probes make the shares of workers more even: with these numbers the
/// share of one worker differs from the mean by about 1.6%.
const POINTS_PER_WORKER: usize = 16;
/// Probes of a function; see [`POINTS_PER_WORKER`].
const PROBES_PER_FUNCTION: usize = 128;
/// Mean number of points in an arc when the ring is divided into arcs.
const POINTS_PER_ARC: usize = 4;
/// The ring is divided anew when the wanted number of arcs is this many times larger or smaller than the present one.
const ARC_RESIZE_FACTOR: usize = 16;

/// A worker's point on the ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Point {
    at: u64,
    slot: u32,
}

/// Position of a point in the arcs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PointPosition {
    arc: usize,
    index: usize,
}

/// The points of all workers, sorted, in arcs of the ring of equal length.
#[derive(Clone, Debug, Default)]
pub struct PreferenceRing {
    /// Empty, or a power of two of them.
    arcs: Vec<Vec<Point>>,
    workers: usize,
    version: u64,
}

impl PreferenceRing {
    /// Returns a number that increases whenever orders computed before may be out of date.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Makes cached orders invalid although the workers are the same.
    pub fn invalidate_orders(&mut self) {
        self.version += 1;
    }

    /// Returns the number of workers on the ring.
    pub fn count(&self) -> usize {
        self.workers
    }

    /// Returns the number of bytes allocated.
    pub fn bytes(&self) -> usize {
        let points: usize = self.arcs.iter().map(Vec::capacity).sum();
        points * size_of::<Point>() + self.arcs.capacity() * size_of::<Vec<Point>>()
    }

    /// Removes and adds workers, given by slot and id.
    pub fn update(&mut self, removed: &[(usize, WorkerId)], added: &[(usize, WorkerId)]) {
        if removed.is_empty() && added.is_empty() {
            return;
        }
        self.version += 1;
        self.workers = (self.workers + added.len()).saturating_sub(removed.len());
        self.resize_arcs();
        for point in removed.iter().flat_map(points) {
            let arc = self.arc(point.at);
            if let Ok(index) = self.arcs[arc].binary_search(&point) {
                self.arcs[arc].remove(index);
                // Otherwise each arc would keep the capacity of its largest size when workers are replaced all the time.
                self.arcs[arc].shrink_to(2 * POINTS_PER_ARC);
            }
        }
        for point in added.iter().flat_map(points) {
            let arc = self.arc(point.at);
            let index = self.arcs[arc].partition_point(|p| *p < point);
            self.arcs[arc].insert(index, point);
        }
    }

    /// Divides the ring anew when there are far more points, or far fewer, than when it was last divided.
    fn resize_arcs(&mut self) {
        let points = self.workers * POINTS_PER_WORKER;
        let wanted = (points / POINTS_PER_ARC).next_power_of_two().max(1);
        let fits =
            wanted < self.arcs.len() * ARC_RESIZE_FACTOR && self.arcs.len() < wanted * ARC_RESIZE_FACTOR;
        if fits {
            return;
        }
        let old = std::mem::replace(&mut self.arcs, vec![Vec::new(); wanted]);
        for point in old.into_iter().flatten() {
            let arc = self.arc(point.at);
            self.arcs[arc].push(point);
        }
    }

    /// Returns the index of the arc that contains the hash value `at`.
    fn arc(&self, at: u64) -> usize {
        ((u128::from(at) * self.arcs.len() as u128) >> u64::BITS) as usize
    }

    /// Returns the first point at this position or after it, across empty arcs and the end of the ring.
    fn first_from(&self, mut position: PointPosition) -> PointPosition {
        while position.index >= self.arcs[position.arc].len() {
            position = PointPosition { arc: (position.arc + 1) % self.arcs.len(), index: 0 };
        }
        position
    }

    fn point(&self, position: PointPosition) -> Point {
        self.arcs[position.arc][position.index]
    }

    /// Iterates over the slots of all workers, the most preferred first.
    pub fn order(&self, function: &FunctionId) -> PreferenceOrder<'_> {
        let nearest = if self.workers == 0 {
            BinaryHeap::new()
        } else {
            probes_of(function).map(|probe| self.nearest(probe)).to_vec().into()
        };
        PreferenceOrder { ring: self, nearest, yielded: Vec::new() }
    }

    fn nearest(&self, probe: u64) -> Nearest {
        let arc = self.arc(probe);
        let index = self.arcs[arc].partition_point(|p| p.at < probe);
        let position = self.first_from(PointPosition { arc, index });
        Nearest { distance: self.point(position).at.wrapping_sub(probe), probe, position, visited: 1 }
    }
}

fn points((slot, id): &(usize, WorkerId)) -> [Point; POINTS_PER_WORKER] {
    points_of(id).map(|at| Point { at, slot: *slot as u32 })
}

/// Returns the distance of a worker from a function, by which [`PreferenceRing::order`] sorts: the smaller, the more
/// preferred.
pub fn distance(function: &FunctionId, worker: &WorkerId) -> u64 {
    let points = points_of(worker);
    let nearest = |probe: u64| points.iter().map(|at| at.wrapping_sub(probe)).min().unwrap_or(u64::MAX);
    probes_of(function).map(nearest).into_iter().min().unwrap_or(u64::MAX)
}

/// The next point that one of the probes has not visited yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Nearest {
    distance: u64,
    probe: u64,
    position: PointPosition,
    /// Points that this probe has visited, this one included.
    visited: usize,
}

impl Ord for Nearest {
    /// Reverses the order of distances, since the heap pops the greatest element first.
    fn cmp(&self, other: &Nearest) -> std::cmp::Ordering {
        (other.distance, other.probe).cmp(&(self.distance, self.probe))
    }
}

impl PartialOrd for Nearest {
    fn partial_cmp(&self, other: &Nearest) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Iterator over workers in preference order, which finds one worker at a time.
pub struct PreferenceOrder<'a> {
    ring: &'a PreferenceRing,
    nearest: BinaryHeap<Nearest>,
    /// Slots returned so far, sorted.
    yielded: Vec<u32>,
}

impl Iterator for PreferenceOrder<'_> {
    type Item = usize;

    fn next(&mut self) -> Option<usize> {
        while self.yielded.len() < self.ring.workers {
            let mut nearest = self.nearest.pop()?;
            let slot = self.ring.point(nearest.position).slot;
            if nearest.visited < self.ring.workers * POINTS_PER_WORKER {
                let next = PointPosition { index: nearest.position.index + 1, ..nearest.position };
                nearest.position = self.ring.first_from(next);
                nearest.distance = self.ring.point(nearest.position).at.wrapping_sub(nearest.probe);
                nearest.visited += 1;
                self.nearest.push(nearest);
            }
            if let Err(index) = self.yielded.binary_search(&slot) {
                self.yielded.insert(index, slot);
                return Some(slot as usize);
            }
        }
        None
    }
}

/// Prefix of a worker's id when it is hashed, so that a worker and a function of the same name have unrelated hashes.
const WORKER_DOMAIN: &[u8] = b"worker";
/// Prefix of a function's id when it is hashed; see [`WORKER_DOMAIN`].
const FUNCTION_DOMAIN: &[u8] = b"function";

fn hash_id(domain: &[u8], id: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    domain.hash(&mut hasher);
    id.as_bytes().hash(&mut hasher);
    hasher.finish()
}

/// Derives pseudo-random numbers from a seed (the finalizer of SplitMix64, Steele and others, 2014).
fn split_mix<const COUNT: usize>(seed: u64) -> [u64; COUNT] {
    std::array::from_fn(|n| {
        let mut z = seed.wrapping_add((n as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    })
}

/// Derives a pseudo-random number from 0 to 1 for a slot from a random number.
pub fn slot_jitter(draw: u64, slot: usize) -> f64 {
    let [number] = split_mix(draw ^ (slot as u64) << 1);
    number as f64 / u64::MAX as f64
}

fn points_of(worker: &WorkerId) -> [u64; POINTS_PER_WORKER] {
    split_mix(hash_id(WORKER_DOMAIN, worker))
}

fn probes_of(function: &FunctionId) -> [u64; PROBES_PER_FUNCTION] {
    split_mix(hash_id(FUNCTION_DOMAIN, function))
}

#[cfg(test)]
mod tests;
