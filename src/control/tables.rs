//! What a router holds of workers, functions, classes and requests. Nothing is decided here.

use super::hints::{Power, Size, Usual};
use super::reports::Report;
use super::{Estimate, Evidence};
use crate::api::*;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// A worker, listed or not.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(super) struct Worker {
    pub(super) id: WorkerId,
    pub(super) zone: usize,
    pub(super) cell: usize,
    pub(super) up: bool,
    pub(super) listed: bool,
    pub(super) ready_at: Option<Micros>,
    pub(super) marks: BTreeMap<usize, Mark>,
    pub(super) open: Vec<(RequestId, usize)>,
    /// Observed over predicted times: slow machines, and queues that other routers feed.
    pub(super) slow: Evidence,
    pub(super) lost: Vec<Evidence>,
    pub(super) heard: Vec<Micros>,
    /// When a connection to it last broke, and when it last answered anything.
    pub(super) broke: Micros,
    pub(super) heard_any: Micros,
    pub(super) sent: Micros,
    /// When it was last told to drain or to be gone.
    pub(super) fell: Micros,
    /// What it last told of its load.
    #[serde(default)]
    pub(super) report: Report,
    /// While cold: the last of its turns that this router took.
    pub(super) turn: u64,
}

/// What is believed of a function's copies at a worker.
#[derive(Default, Clone, Copy, Serialize, Deserialize)]
pub(super) struct Mark {
    pub(super) copies: u32,
    /// When the load under way began and should end.
    pub(super) loading: Option<(Micros, Micros)>,
    pub(super) used: Micros,
    pub(super) asked: Micros,
    pub(super) own: u32,
    /// Requests for the function from others, by the last note.
    pub(super) others: f64,
}

/// A function that was asked for.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(super) struct Function {
    pub(super) id: FunctionId,
    pub(super) class: usize,
    pub(super) lanes: f64,
    pub(super) told_load: Option<f64>,
    pub(super) load: Option<f64>,
    pub(super) run: f64,
    pub(super) answers: u32,
    /// The work that requests for it usually hint at.
    #[serde(default)]
    pub(super) hinted: Usual,
    pub(super) served: bool,
    pub(super) seen: Evidence,
    /// Whether it was found loaded at homes where this router did not know.
    pub(super) found: Evidence,
    /// The first of the workers that all dispatchers prefer for it, and the version of the ring that they are from.
    #[serde(skip)]
    pub(super) preferred: Vec<u32>,
    #[serde(skip)]
    pub(super) preferred_version: u64,
    /// Workers that hold a mark of it.
    #[serde(skip)]
    pub(super) holders: Vec<u32>,
    /// Requests for it that are under way.
    #[serde(skip)]
    pub(super) in_flight: u32,
    /// Requests for it that ran or waited at all its homes together, by the notes on answers.
    pub(super) crowd: Evidence,
}

/// What a class has in common.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(super) struct Pool {
    pub(super) run: f64,
    pub(super) load: Option<f64>,
    pub(super) found: Evidence,
    pub(super) crowd: Evidence,
    /// The work that its requests usually hint at, and how far hints foretell run times.
    #[serde(default)]
    pub(super) hinted: Usual,
    #[serde(default)]
    pub(super) power: Power,
    /// The share of its aim that a request may spend in queues.
    pub(super) queue: f64,
}

/// One send of a request.
pub(super) struct Attempt {
    pub(super) e: Estimate,
    pub(super) sent: Micros,
    pub(super) open: bool,
    pub(super) may_have_run: bool,
    pub(super) turned_away: bool,
    pub(super) lost: bool,
}

/// A request under way.
#[derive(Default)]
pub(super) struct Request {
    pub(super) class: usize,
    pub(super) tenant: usize,
    /// What the class asked for, and the attempts allowed, when the request came.
    pub(super) rules: Class,
    pub(super) most: usize,
    pub(super) function: usize,
    /// What its hint tells.
    pub(super) size: Size,
    pub(super) over_quota: bool,
    pub(super) deadline: Micros,
    pub(super) ended: bool,
    pub(super) streaming: bool,
    pub(super) attempts: Vec<Attempt>,
}

impl Worker {
    /// A connection to it broke, or none came up. Danger: connections break while the process lives on. It is dead where
    /// no new one comes up.
    pub(super) fn cut_off(&mut self, now: Micros, refused: bool) {
        if refused && self.broke > self.heard_any && self.broke < now {
            self.forget_copies();
        }
        self.broke = now;
    }

    /// Nothing stands there any more, as far as is known.
    pub(super) fn forget_copies(&mut self) {
        self.marks.values_mut().for_each(|m| *m = Mark { own: m.own, ..Mark::default() });
    }
}

/// Absurd figures are replaced, so that no estimate divides by zero or overflows.
pub(super) fn usable(mut set: Settings) -> Settings {
    set.balancers = set.balancers.max(1);
    set.keep_alive = set.keep_alive.max(1);
    set.cold_share = set.cold_share.clamp(0.05, 1.0);
    set.max_attempts = set.max_attempts.max(1);
    set.classes.iter_mut().for_each(|c| c.aim = c.aim.max(1));
    set
}

/// Ranks a worker for a function alike at all routers.
pub(super) fn rendezvous(function: &FunctionId, worker: &WorkerId) -> u64 {
    let mut hasher = SipHasher13::new();
    function.as_bytes().hash(&mut hasher);
    worker.as_bytes().hash(&mut hasher);
    hasher.finish()
}

/// What a worker holds of a function; nothing as yet, where nothing was known.
pub(super) fn mark<'a>(
    worker: &'a mut Worker,
    slot: usize,
    function: &mut Function,
    number: usize,
) -> &'a mut Mark {
    worker.marks.entry(number).or_insert_with(|| {
        function.holders.push(slot as u32);
        Mark::default()
    })
}
