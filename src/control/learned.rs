//! What a router has learned, as one process hands it to the next. Nothing is decided here.

use super::preference::PreferenceRing;
use super::tables::{Function, Mark, Pool, Worker};
use super::{Evidence, Router};
use crate::api::{Micros, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet, VecDeque};

/// Times and counts above this are nonsense: three hours, in microseconds.
const MOST_FIGURE: f64 = 1e10;
/// Copies of one function at one worker, likewise.
const MOST_COPIES: u32 = 1_024;

/// Compact records that are handed on at the most: a word to the next process must stay short.
const MOST_DORMANT: usize = 4_096;

/// What a router has learned.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Learned {
    workers: Vec<Worker>,
    functions: Vec<Function>,
    pools: Vec<Pool>,
    /// Answers, and the store's slowness.
    rates: (Evidence, Evidence),
    /// The requests and orders that the ration counts.
    ration: (VecDeque<Micros>, VecDeque<Micros>),
}

impl Learned {
    /// What of it another router may go on from, whose clock is `behind`: how long things take and where copies stand, by
    /// age. What its owner alone may count on is left out: rations, own requests, breaks and refusals it met itself. None
    /// where a figure is nonsense.
    pub fn of_peer(self, behind: Micros) -> Option<Learned> {
        let back = |at: Micros| at.saturating_sub(behind);
        let time = |figure: f64| (0.0..=MOST_FIGURE).contains(&figure);
        let sane = |e: &Evidence| e.sane(MOST_FIGURE);
        let sound = |f: &Function| {
            let told = f.told_load.iter().chain(&f.load).all(|t| time(*t));
            told && time(f.run) && time(f.lanes) && sane(&f.seen) && sane(&f.found)
        };
        let usual = |p: &Pool| p.load.is_none_or(time) && time(p.run) && sane(&p.found);
        let marks = |w: &Worker| w.marks.values().all(|m| m.copies <= MOST_COPIES);
        let good = self.functions.iter().all(sound)
            && self.pools.iter().all(usual)
            && self.workers.iter().all(|w| sane(&w.slow) && marks(w));
        if !good {
            return None;
        }
        let classes = self.pools.len();
        let mark =
            |m: Mark| Mark { copies: m.copies, used: back(m.used), asked: back(m.asked), ..Mark::default() };
        let worker = |w: Worker| Worker {
            ready_at: w.ready_at.map(back),
            marks: w.marks.into_iter().map(|(f, m)| (f, mark(m))).collect(),
            slow: w.slow.earlier(behind),
            lost: vec![Evidence::default(); classes],
            heard: vec![0; classes],
            id: w.id,
            zone: w.zone,
            cell: w.cell,
            ..Worker::default()
        };
        let function = |f: Function| Function {
            seen: f.seen.earlier(behind),
            found: f.found.earlier(behind),
            id: f.id,
            class: f.class,
            lanes: f.lanes,
            told_load: f.told_load,
            load: f.load,
            run: f.run,
            answers: f.answers,
            served: f.served,
            ..Function::default()
        };
        let pool =
            |p: Pool| Pool { found: p.found.earlier(behind), run: p.run, load: p.load, ..Pool::default() };
        Some(Learned {
            workers: self.workers.into_iter().map(worker).collect(),
            functions: self.functions.into_iter().map(function).collect(),
            pools: self.pools.into_iter().map(pool).collect(),
            ..Learned::default()
        })
    }

    /// Whether all that refers to something by its place refers to something that is there. Danger: a word from
    /// outside the program may hold anything.
    fn sound(&self, now: Micros) -> bool {
        let (functions, classes) = (self.functions.len(), self.pools.len());
        let worker = |w: &Worker| {
            let told = w.lost.len() == classes && w.heard.len() == classes;
            let marks = w.marks.iter().all(|(f, m)| {
                let began = m.loading.is_none_or(|(began, due)| began <= now && began <= due);
                *f < functions && began && m.used <= now && m.asked <= now
            });
            told && marks && w.sent <= now
        };
        // Danger: two entries of one name would be two slots of one worker or function.
        let workers: HashSet<&str> = self.workers.iter().map(|w| &*w.id).collect();
        let names: HashSet<&str> = self.functions.iter().map(|f| &*f.id).collect();
        let once = workers.len() == self.workers.len() && names.len() == functions;
        let times = self.ration.0.iter().chain(&self.ration.1);
        once && self.workers.iter().all(worker)
            && self.functions.iter().all(|f| f.class < classes)
            && times.into_iter().all(|t| *t <= now)
    }
}

impl Router {
    /// What it has learned.
    pub fn learned(&self) -> Learned {
        // Functions are numbered anew, without gaps: the successor puts them into slots of its own.
        let numbers: HashMap<usize, usize> =
            self.functions.iter().enumerate().map(|(number, (slot, _))| (slot, number)).collect();
        let mut functions: Vec<Function> = self.functions.iter().map(|(_, f)| f.clone()).collect();
        functions.extend(self.functions.dormant().take(MOST_DORMANT));
        let renumbered = |w: &Worker| {
            let marks = w.marks.iter().filter_map(|(slot, m)| Some((*numbers.get(slot)?, *m))).collect();
            Worker { marks, ..w.clone() }
        };
        Learned {
            workers: self.workers.iter().map(renumbered).collect(),
            functions,
            pools: self.pools.clone(),
            rates: (self.served, self.store),
            ration: (self.taken.clone(), self.ordered.clone()),
        }
    }

    /// Goes on from what another has learned, whose requests stay its own; false, and nothing is taken, if that
    /// can't be used. Settings, whose classes have the same places, and the list must follow.
    pub fn inherit(&mut self, now: Micros, learned: Learned) -> bool {
        let idle = self.requests.is_empty() && learned.sound(now);
        if !idle {
            return false;
        }
        let Learned { workers, functions, pools, rates, ration } = learned;
        (self.workers, self.pools) = (workers, pools);
        ((self.served, self.store), (self.taken, self.ordered)) = (rates, ration);
        for times in [&mut self.taken, &mut self.ordered] {
            times.make_contiguous().sort_unstable();
        }
        let slots = self.functions.replace(now, functions);
        for (n, w) in self.workers.iter_mut().enumerate() {
            w.open.clear();
            let marks = std::mem::take(&mut w.marks).into_iter();
            w.marks = marks.map(|(number, m)| (slots[number], Mark { own: 0, ..m })).collect();
            w.marks.keys().for_each(|slot| self.functions[*slot].holders.push(n as u32));
        }
        self.worker_ids = self.workers.iter().enumerate().map(|(n, w)| (w.id.clone(), n)).collect();
        self.unlisted = (0..self.workers.len()).filter(|n| !self.workers[*n].listed).collect();
        let all: Vec<(usize, WorkerId)> =
            self.workers.iter().enumerate().map(|(n, w)| (n, w.id.clone())).collect();
        self.ring = PreferenceRing::default();
        self.ring.change(&[], &all);
        self.choose_order();
        self.rebuild();
        true
    }
}
