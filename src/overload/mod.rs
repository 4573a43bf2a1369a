//! Overload as the fleet handles it: budgets of resends and of load orders, shared by lease, and the level of admission.
//!
//! The machines are `crates/budget`; here is when they are asked, whom they ask, and what the module is told. No I/O, the
//! clock passed in: words go out and come in by the host. Without peers a dispatcher goes by its own part and its own
//! evidence.

mod options;
mod report;

pub use options::Options;
pub use report::{lines, report};

use crate::api::{Micros, WorkerId};
use crate::control::{Budget, Tokens};
use ochreward_budget::wire::Word;
use ochreward_budget::{Admission, Bucket, Circuits, Ledger, Queueing, Terms, admission, circuit};
use ochreward_membership::draw;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The channel of the membership's notes.
pub const CHANNEL: u8 = 2;
/// Tokens are saved up for this long at the most.
const BURST: Micros = 100_000;
/// Others are asked for leases this often, and so many at a time.
const ASK_EVERY: Micros = 100_000;
const ASKS: usize = 3;
/// Demand is a mean over about this long, and a lease is asked for a fifth more.
const DEMAND: f64 = 1_000_000.0;
const AHEAD: f64 = 1.2;
/// Wishes are told to so many others: while there is a level, and while all is calm.
const TOLD: usize = 8;
const TOLD_CALM: usize = 3;
const CALM_EVERY: Micros = 700_000;
/// Gates are looked at this often while there are any.
const GATES_EVERY: Micros = 20_000;
/// Others that are told at once that an executor answers again; the rest find out by trials of their own.
const MOST_TOLD: usize = 64;
/// A worker that turns a request away has a queue that counts as so many times the one that raises the level.
const FULL: u64 = 2;

/// The resources, by their numbers on the wire.
pub const RESOURCES: [&str; 2] = ["resends", "orders"];

/// One shared budget.
struct Shared {
    ledger: Ledger,
    bucket: Bucket,
    /// Pieces wanted a second, the mean of late.
    demand: f64,
    wanted: u64,
    worth: u32,
}

/// What the host sees of the group.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Our own name.
    pub own: Arc<str>,
    /// The whole goes into so many parts, of which one is ours.
    pub parts: usize,
    /// The others that are up, by name.
    pub others: Vec<Arc<str>>,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Resends wanted, and those there were tokens for.
    pub wanted: u64,
    /// See `wanted`.
    pub resent: u64,
    /// Requests that the level turned away.
    pub shed: u64,
    /// The highest standing among those, of 64.
    pub shed_up_to: u8,
    /// Leases given and had.
    pub lent: u64,
    /// See `lent`.
    pub borrowed: u64,
    /// Trials of executors whose circuits are open.
    pub trials: u64,
}

/// The budgets and the level of one dispatcher.
pub struct Overload {
    options: Options,
    shared: [Option<Shared>; 2],
    admission: Admission,
    queueing: Queueing,
    circuits: Option<Circuits>,
    /// Executors listed, and those that have begun to answer again, of which the others are to hear.
    workers: usize,
    back: Vec<WorkerId>,
    /// Trials of ours that were refused, likewise.
    tried: Vec<WorkerId>,
    /// The group as it was last seen.
    view: View,
    next_gate: Micros,
    next_interval: Micros,
    next_ask: Micros,
    next_tell: Micros,
    rng: Pcg32,
    stats: Stats,
}

impl Overload {
    /// That of a process that begins now; `instance` tells it from earlier ones of its name.
    pub fn new(options: Options, instance: u64, now: Micros) -> Overload {
        let shared = |whole: u64| {
            let whole = whole.saturating_mul(1_000);
            let terms = Terms { whole, floor: options.floor, lease: options.lease, ..Terms::default() };
            let ledger = Ledger::new(terms, instance, now);
            (whole > 0).then(|| Shared {
                ledger,
                bucket: Bucket::new(BURST, now),
                demand: 0.0,
                wanted: 0,
                worth: 1,
            })
        };
        let terms =
            admission::Terms { queue: options.queue, stay: options.stay, ..admission::Terms::default() };
        Overload {
            shared: [shared(options.resends), shared(options.orders)],
            admission: Admission::new(terms),
            queueing: Queueing::default(),
            circuits: (options.ramp > 0)
                .then(|| Circuits::new(circuit::Terms { trial: options.trial, ramp: options.ramp })),
            workers: 0,
            back: Vec::new(),
            tried: Vec::new(),
            view: View::default(),
            next_gate: now,
            next_interval: now,
            next_ask: now,
            next_tell: now,
            rng: Pcg32::seed_from_u64(instance),
            stats: Stats::default(),
            options,
        }
    }

    /// Counts since the start.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// The level in force.
    pub fn level(&self) -> u8 {
        self.admission.level()
    }

    /// What may be spent of a resource now, by its number, in thousandths a second.
    pub fn spendable(&self, place: usize, now: Micros) -> u64 {
        self.shared.get(place).and_then(Option::as_ref).map_or(0, |s| s.ledger.spendable(now))
    }

    /// Executors whose circuits are open, and those on a ramp.
    pub fn circuits(&self) -> (usize, usize) {
        self.circuits.as_ref().map_or((0, 0), Circuits::count)
    }

    /// The list is this now.
    pub fn listed(&mut self, workers: BTreeSet<WorkerId>) {
        self.workers = workers.len();
        self.circuits.iter_mut().for_each(|c| c.retain(|worker| workers.contains(worker)));
    }

    /// No connection to an executor came up.
    pub fn refused(&mut self, now: Micros, worker: &WorkerId) {
        if self.circuits.as_mut().is_some_and(|c| c.refused(now, worker)) {
            self.tried.push(worker.clone());
        }
        self.next_gate = self.next_gate.min(now);
    }

    /// An answer of this kind came from an executor after this long; or it turned it away.
    pub fn answered(&mut self, now: Micros, worker: &WorkerId, kind: u64, took: Option<Micros>) {
        if self.circuits.as_mut().is_some_and(|c| c.answered(now, worker)) {
            self.back.push(worker.clone());
            self.next_gate = now;
        }
        if self.options.queue > 0 {
            match took {
                Some(took) => self.queueing.answered(now, kind, took),
                None => self.queueing.turned_away(self.options.queue * FULL),
            }
        }
    }

    /// When something is next to be done.
    pub fn due(&self, now: Micros) -> Micros {
        let ends = self.shared.iter().flatten().map(|s| s.ledger.due(now)).min().unwrap_or(Micros::MAX);
        let asks = if self.shared.iter().any(Option::is_some) { self.next_ask } else { Micros::MAX };
        let level = if self.options.queue > 0 { self.next_interval.min(self.next_tell) } else { Micros::MAX };
        let gates = if self.circuits() == (0, 0) { Micros::MAX } else { self.next_gate };
        ends.min(asks).min(level).min(gates)
    }

    /// What the module may spend from now on, with what it spent before.
    pub fn budget(&mut self, now: Micros, last: &Budget) -> Budget {
        let tokens = [last.resend_tokens, last.load_order_tokens];
        for (shared, tokens) in self.shared.iter_mut().zip(tokens) {
            if let (Some(shared), Some(tokens)) = (shared, tokens) {
                shared.bucket.take(tokens.taken);
                shared.wanted += tokens.requested;
                shared.worth = shared.worth.max(last.max_resend_worth);
            }
        }
        if let Some(tokens) = last.resend_tokens {
            self.stats.wanted += tokens.requested;
            self.stats.resent += tokens.taken;
        }
        for (worker, (_, got)) in last.worker_gates.iter().filter(|(_, (_, got))| *got > 0) {
            self.stats.trials += u64::from(self.circuits.as_ref().is_some_and(|c| c.is_open(worker)));
            self.circuits.iter_mut().for_each(|c| c.entered(now, worker, *got));
        }
        self.stats.shed += last.shed;
        self.stats.shed_up_to = self.stats.shed_up_to.max(last.shed_up_to);
        let mut left = |place: usize| {
            let shared = self.shared[place].as_mut()?;
            // Danger: what was lent ends by the clock of now, whatever was in hand before a stall.
            let rate = shared.ledger.spendable(now);
            Some(Tokens { available: shared.bucket.refill(now, rate), ..Tokens::default() })
        };
        let (resends, orders) = (left(0), left(1));
        let (level, back) = (self.admission.level(), self.admission.back());
        let view = &self.view;
        let circuits = self.circuits.as_mut().filter(|c| c.count() != (0, 0));
        let gates = circuits.map(|c| c.gates(now, &view.own, &view.others, (self.workers, view.parts)));
        let gates = gates.into_iter().flatten().map(|(worker, left)| (worker, (left, 0))).collect();
        Budget {
            worker_gates: gates,
            resend_tokens: resends,
            load_order_tokens: orders,
            admission_level: level,
            mean_retry_after: back,
            ..Budget::default()
        }
    }

    /// Does what is due; words to others.
    pub fn advance(&mut self, now: Micros, view: &View) -> Vec<(Arc<str>, Vec<u8>)> {
        let mut words = Vec::new();
        for shared in self.shared.iter_mut().flatten() {
            shared.ledger.divide(view.parts);
        }
        self.view = view.clone();
        if now >= self.next_gate {
            self.next_gate = now + GATES_EVERY;
        }
        let back = std::mem::take(&mut self.back).into_iter().map(|worker| Word::Back(worker, 0));
        let tried = std::mem::take(&mut self.tried).into_iter().map(Word::Tried);
        for word in back.chain(tried) {
            let word = word.written();
            let to = draw(&mut self.rng, view.others.clone(), MOST_TOLD);
            words.extend(to.into_iter().map(|name| (name, word.clone())));
        }
        if now >= self.next_interval {
            self.next_interval = now + admission::Terms::default().interval;
            let queue = self.queueing.interval();
            self.admission.measured(now, queue);
        }
        if now >= self.next_ask {
            let passed = ASK_EVERY + now.saturating_sub(self.next_ask);
            self.next_ask = now + ASK_EVERY;
            for place in 0..self.shared.len() {
                self.ask(now, place, passed, view, &mut words);
            }
        }
        if self.options.queue > 0 && now >= self.next_tell {
            let calm = self.admission.level() == 0 && self.admission.wish() == 0;
            let (every, most) = if calm { (CALM_EVERY, TOLD_CALM) } else { (CALM_EVERY / 4, TOLD) };
            // Each its own time, so that not all speak at once.
            self.next_tell = now + every - every / 10 + u64::from(self.rng.next_u32()) % (every / 5);
            let word = Word::Wish(self.admission.wish()).written();
            let to = draw(&mut self.rng, view.others.clone(), most);
            words.extend(to.into_iter().map(|name| (name, word.clone())));
        }
        words
    }

    /// Asks others for what is wanted and not there.
    fn ask(
        &mut self,
        now: Micros,
        place: usize,
        passed: Micros,
        view: &View,
        words: &mut Vec<(Arc<str>, Vec<u8>)>,
    ) {
        let Some(shared) = self.shared[place].as_mut() else { return };
        let weight = (passed as f64 / DEMAND).min(1.0);
        let rate = std::mem::take(&mut shared.wanted) as f64 * 1e6 / passed as f64;
        shared.demand += (rate - shared.demand) * weight;
        let wants = (shared.demand * AHEAD * 1_000.0) as u64;
        let (worth, has) = (std::mem::replace(&mut shared.worth, 1).max(1), shared.ledger.spendable(now));
        shared.ledger.need(wants, worth);
        // Less than a piece in a lease's time is not worth a word.
        if wants <= has || wants - has < 500 {
            return;
        }
        let (missing, free) = (wants - has, |n: &&Arc<str>| !shared.ledger.deals_with(now, n));
        let open: Vec<Arc<str>> = view.others.iter().filter(free).cloned().collect();
        let to = draw(&mut self.rng, open, ASKS);
        let Some(shared) = self.shared[place].as_mut() else { return };
        for name in &to {
            let part = missing.div_ceil(to.len() as u64);
            if let Some(ask) = shared.ledger.ask(now, name, part, worth) {
                words.push((name.clone(), Word::Ask(place as u8, ask).written()));
            }
        }
    }

    /// Takes another's word; what it is answered. Danger: it may say anything.
    pub fn heard(&mut self, now: Micros, from: &Arc<str>, bytes: &[u8]) -> Option<Vec<u8>> {
        match Word::read(bytes)? {
            Word::Ask(place, ask) => {
                let shared = self.shared.get_mut(usize::from(place))?.as_mut()?;
                let grant = shared.ledger.asked(now, from, &ask);
                self.stats.lent += u64::from(grant.amount > 0);
                Some(Word::Grant(place, grant).written())
            }
            Word::Grant(place, grant) => {
                let shared = self.shared.get_mut(usize::from(place))?.as_mut()?;
                self.stats.borrowed += u64::from(shared.ledger.granted(now, from, &grant));
                None
            }
            Word::Back(worker, ago_ms) => {
                self.circuits.iter_mut().for_each(|c| c.told(now, &worker, u64::from(ago_ms) * 1_000));
                None
            }
            Word::Tried(worker) => {
                self.circuits.iter_mut().for_each(|c| c.tried(now, &worker));
                None
            }
            Word::Wish(level) => {
                if self.options.queue > 0 {
                    self.admission.told(now, from, level);
                }
                None
            }
        }
    }
}

#[cfg(test)]
mod tests;
