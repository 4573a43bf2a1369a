//! The decisions of a router; its interface (settings, events, actions) is src/api.rs.
//! The design is smallest-EET: a request goes to the worker whose predicted finish (load time if its copy is
//! not believed warm + own pending work there + learned run time) is smallest, and is refused at once when
//! even that passes the time left. All else feeds that estimate, takes workers out of it, or keeps copies.

mod budget;
mod candidates;
mod evidence;
mod fleet;
mod functions;
mod hints;
mod learned;
mod places;
mod preference;
mod renewal;
mod reports;
mod tables;

use crate::api::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

pub use budget::{Budget, Tokens, ZoneGate};
use candidates::{Known, MOST_RANKED, Rank, Search, least, least_of};
use evidence::Evidence;
use fleet::FleetSums;
use functions::FunctionTable;
pub use functions::{LEAST_FUNCTION_BYTES, USUAL_FUNCTION_BYTES};
use hints::Size;
pub use learned::Learned;
pub use places::{Sizes, Tally};
use preference::PreferenceRing;
use renewal::{RenewalQueue, Use, drop_while};
use reports::{Fields, Report};
use tables::{Attempt, Function, Mark, Pool, Request, Worker, mark, rendezvous, usable};

/// Run time of a class before any answer, as a share of its aim: aims leave room for waits.
const PRIOR_RUN: f64 = 0.25;
/// Load time where none is told or learned (the design's stand-in).
const PRIOR_LOAD: f64 = 1_000_000.0;
/// Weight of a new answer in a function's and a class's run time: small, since they change less than workers.
const LEARN_RUN: f64 = 0.03;
/// What is expected of a worker or a function counts as this many answers: run times vary, a few tell little.
const DOUBT: f64 = 3.0;
/// This many answers of a worker tell, however many come: it must be seen to turn slow at once.
const LAST: f64 = 10.0;
/// Weight of a new load in the store's factor and in a function's load time.
const LEARN_LOAD: f64 = 0.25;
/// One answer counts as this multiple of the expected at most, so that an outlier cannot upset an estimate.
const ERROR_CAP: f64 = 4.0;
/// A load that took less than this share of what was expected was not a whole one.
const LOAD_LEAST: f64 = 0.3;
/// Half of what was observed is forgotten in this share of the keep-alive: workers and the store recover.
const FORGET: f64 = 0.5;
/// And never less than this: of a single answer within a moment, rates would come out as absurd.
const LEAST_HALF: f64 = 1_000_000.0;
/// Share of the keep-alive for which an idle copy is believed: clocks and messages are late.
const BELIEVE: f64 = 0.95;
/// A load is believed to be under way for this multiple of its expected time.
const LOAD_PATIENCE: f64 = 4.0;
/// Cold workers within this multiple of a load time are a tie, broken by a hash that all routers share; a
/// narrower one where workers tell their queues.
const COLD_TIE: f64 = 2.0;
const COLD_TIE_TOLD: f64 = 1.0;
/// A second look comes after this multiple of the expected time (the design's backup factor), past long work.
const SECOND_LOOK: f64 = 5.0;
/// An attempt past this multiple of its expected time counts as lost.
const SILENCE: f64 = 6.0;
/// What a spoilt answer, and being turned away, count as where a lost answer counts as 1: the worker runs.
const SPOILT: f64 = 0.3;
const TURNED_AWAY: f64 = 0.25;
/// What a resend takes of the budget for them where the attempt before proved not to have run.
const NEVER_RAN: f64 = 0.3;
/// Resends after failures come to this share of the requests at most, and backups to that.
const EXTRA_SHARE: f64 = 0.1;
const BACKUP_SHARE: f64 = 0.05;
const EXTRA_MOST: f64 = 10.0;
/// Share of the repeat window of a keyed class that is used: clocks and messages are late.
const WINDOW_USED: f64 = 0.8;
/// Share of a cold worker's budget that the routers use.
const COLD_USED: f64 = 0.6;
/// A router's turn at a cold worker lapses after this share of the rule's window, not to be saved up.
const TURN_KEPT: f64 = 0.5;
/// Of a router's requests, a cold worker draws up to this many times its even part.
const COLD_DRAW: f64 = 2.0;
/// At least so large a share of the turns is held to be used.
const LEAST_USED: f64 = 0.3;
/// A cold worker's share of its capacity is usually this power of the least that the settings tell.
const USUAL_COLD: f64 = 0.5;
/// Load that one copy is meant to carry, as a share of its lanes: beyond it, a function has one more home.
const FILL: f64 = 0.3;
/// Danger: who sees little guesses homes badly, and all together hold what the boldest guess. So it fills up.
const FILL_THIN: f64 = 0.6;
/// Where workers tell what they hold, a copy is filled further before the function has one more home: what
/// others send is seen, and a load costs more than a short wait.
const FILL_TOLD: f64 = 1.2;
/// There, too, own work counts for itself alone: a worker runs so many requests side by side, whatever a
/// copy does.
const BESIDE_TOLD: f64 = 3.0;
/// Of the time that each of others' requests runs, so much is left on average, and more where they come
/// unevenly.
const LEFT_TOLD: f64 = 0.7;
/// Workers report nothing: a request of ours in flight at one speaks for up to this many of others'.
const UNSEEN: f64 = 2.0;
/// Warm workers are told apart only beyond this share of a run: one router of many sees little, and late.
const VIEW_ERROR: f64 = 0.5;
/// So many of the last attempts in a zone tell whether it is lost: what of them failed beyond this share.
const ZONE_LAST: f64 = 5.0;
const ZONE_DOUBT: f64 = 0.4;
/// A router that had this many requests for each worker within the ration's window sees half enough of them.
const SIGHT: f64 = 4.0;
/// A crossing of zones weighs so many times its price: an answer that is a little later earns no less.
const ZONE: f64 = 10.0;
/// Before any answer, the chance that others keep a function warm at its homes.
const PRIOR_FOUND: f64 = 0.5;
/// A tenant's quota may be saved up for this long: an uneven stream within it is not beyond it.
const QUOTA_SAVED: f64 = 1_000_000.0;
/// Requests turned away that are remembered for each tenant.
const MOST_TURNED: f64 = 1_000.0;
/// Waits and runs within this share of an aim are no queue: all that a request beyond its quota may spend.
const IDLE: f64 = 0.4;

/// A copy idle for this share of the keep-alive is ordered held.
const REFRESH: f64 = 0.75;
/// A copy that this router has not used for so many keep-alives is let go.
const WANTED: f64 = 3.0;
/// Copies that others use this often in a keep-alive need no orders: one in twenty goes unused for so long.
const KEPT: f64 = 3.0;
/// Where loads are not rationed, what came within this share of the keep-alive tells how much this router
/// sees.
const SIGHT_KEPT: f64 = 0.5;
/// Share of the ration of loads that is used: clocks differ.
const RATION: f64 = 0.9;

/// A function that nobody has asked for in so many keep-alives is kept as a compact record.
const DORMANT: f64 = 8.0;

#[derive(Clone, Copy)]
struct Estimate {
    worker: usize,
    total: f64,
    /// What the chance of a loss and the price of a crossing add to it in a choice: they refuse nothing.
    risk: f64,
    /// The part of it that is a load, own or awaited.
    load: f64,
    run: f64,
    /// What the hint makes of a usual run: a heavy request's own work is no queue.
    size: f64,
    cold: bool,
    /// A home whose copy this router has not seen, but others may have kept.
    blind: bool,
    /// The finish if a copy stands, and if it has to be loaded.
    warm: f64,
    whole: f64,
    turn: u64,
    /// Nothing of this router's is in flight there, nor has been for a while.
    idle: bool,
}

impl Estimate {
    /// What a choice goes by.
    fn key(&self) -> f64 {
        self.total + self.risk
    }

    /// What queues, slowness and a slow store make of a usual request: all but the usual time of a load.
    fn beside_load(&self) -> f64 {
        self.total - self.load - (self.run - self.run / self.size)
    }

    /// The finish that is more likely than not: a copy that probably stands needs no time to load.
    fn likely(&self) -> f64 {
        if self.blind && !self.cold { self.warm } else { self.total }
    }
}

/// One front end.
pub struct Router {
    set: Settings,
    fields: Fields,
    rng: Pcg32,
    now: Micros,
    half: f64,
    workers: Vec<Worker>,
    worker_ids: HashMap<WorkerId, usize>,
    /// Slots of workers that are not listed.
    unlisted: BTreeSet<usize>,
    fleet: FleetSums,
    ring: PreferenceRing,
    /// The order of preference is by rendezvous over all, up to so many listed workers.
    ranks_all: bool,
    most_ranked: usize,
    functions: FunctionTable,
    renewals: RenewalQueue,
    /// Every choice looks at every worker: for tests and benchmarks alone.
    scans: bool,
    requests: BTreeMap<RequestId, Request>,
    pools: Vec<Pool>,
    served: Evidence,
    /// What attempts in each zone came to of late, whichever the worker: 1 is lost.
    zones: BTreeMap<usize, Evidence>,
    store: Evidence,
    /// How little this router sees of each worker, from 0 to 1: who sees enough needs no hints from others.
    thin: f64,
    tally: Tally,
    /// Where dispatchers know each other: how many serve, into how many parts a cold budget goes, and which
    /// is ours.
    division: Option<(usize, usize, usize)>,
    budget: Budget,
    extra: f64,
    spare: f64,
    /// Requests taken and loads ordered within the window of the ration.
    taken: VecDeque<Micros>,
    ordered: VecDeque<Micros>,
    tended: Micros,
    /// This router's part of each tenant's quota: what is left, since when, and the requests turned away
    /// that may come again uncounted.
    quota_left: Vec<(f64, Micros, f64)>,
}

impl Router {
    /// A router that knows its settings and nothing else yet.
    pub fn new(set: Settings, seed: u64, now: Micros) -> Router {
        let mut router = Router {
            set: set.clone(),
            fields: Fields::default(),
            half: 1.0,
            rng: Pcg32::seed_from_u64(seed),
            now,
            workers: Vec::new(),
            worker_ids: HashMap::new(),
            unlisted: BTreeSet::new(),
            fleet: FleetSums::default(),
            ring: PreferenceRing::default(),
            ranks_all: true,
            most_ranked: MOST_RANKED,
            functions: FunctionTable::new(USUAL_FUNCTION_BYTES),
            renewals: RenewalQueue::default(),
            scans: false,
            requests: BTreeMap::new(),
            pools: Vec::new(),
            served: Evidence::default(),
            zones: BTreeMap::new(),
            store: Evidence::default(),
            thin: 1.0,
            tally: Tally::default(),
            division: None,
            budget: Budget::default(),
            extra: EXTRA_MOST,
            spare: EXTRA_MOST,
            taken: VecDeque::new(),
            ordered: VecDeque::new(),
            tended: 0,
            quota_left: Vec::new(),
        };
        router.configure(set, &[]);
        router
    }

    /// Workers, functions and requests that it holds something of.
    pub fn held(&self) -> (usize, usize, usize) {
        (self.workers.len(), self.functions.counts().0, self.requests.len())
    }

    /// From now on a cold worker's budget goes into so many parts, of which one is ours, and so many
    /// routers serve; with `None` both are what the settings say.
    pub fn divide(&mut self, division: Option<(usize, usize, usize)>) {
        self.division = division;
    }

    /// No connection came up to a worker that was only looked at.
    pub fn unreached(&mut self, now: Micros, worker: &WorkerId) {
        if let Some(n) = self.worker_ids.get(worker) {
            self.workers[*n].cut_off(now, true);
        }
    }

    /// New settings. What was learned of a class stays with its place, unless that is `fresh`; requests under
    /// way keep what their class asked for.
    pub fn configure(&mut self, set: Settings, fresh: &[usize]) {
        let set = usable(set);
        self.half = (FORGET * set.keep_alive as f64).max(LEAST_HALF);
        let most = set.classes.iter().map(|c| c.credit).fold(f64::MIN_POSITIVE, f64::max);
        let mut old = std::mem::take(&mut self.pools);
        for (n, c) in set.classes.iter().enumerate() {
            let known = old.get_mut(n).filter(|_| !fresh.contains(&n)).map(std::mem::take);
            let first = || Pool { run: c.aim as f64 * PRIOR_RUN, ..Pool::default() };
            let queue = IDLE + (1.0 - IDLE) * (c.credit / most).clamp(0.0, 1.0).sqrt();
            self.pools.push(Pool { queue, ..known.unwrap_or_else(first) });
        }
        for w in &mut self.workers {
            w.lost.resize(set.classes.len(), Evidence::default());
            w.heard.resize(set.classes.len(), 0);
        }
        self.quota_left = set.tenant_quotas.iter().map(|q| (q * QUOTA_SAVED / 1e6, self.now, 0.0)).collect();
        self.fields = Fields::of(&set.report_fields);
        self.set = set;
        self.rebuild();
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Workers { complete, entries } => self.list(*complete, entries, out),
            Event::ListRefused if self.set.list_on_request => out.push(Action::Watch),
            Event::Loaded { worker, function, outcome: Outcome::Full | Outcome::Error, copies, .. } => {
                let at = self.worker_ids.get(worker).zip(self.functions.slot(function));
                if let Some(mark) = at.and_then(|(w, f)| self.workers[*w].marks.get_mut(&f)) {
                    (mark.copies, mark.loading) = (*copies, None);
                }
            }
            Event::ListRefused | Event::Loaded { .. } => {}
            Event::Request { id, class, tenant, function, lanes, load_time, work, again, time_left } => {
                if *class >= self.set.classes.len() || self.requests.contains_key(id) {
                    return out.push(Action::Refuse { id: *id, retry_after: 0 });
                }
                let function = self.function(function, *class, *lanes, *load_time);
                let (f, pool) = (&mut self.functions[function], &mut self.pools[*class]);
                let size = Size::weigh(*work, &mut f.hinted, &mut pool.hinted, pool.power);
                let up = self.fleet.up().max(1) as f64;
                self.thin = 1.0 / (1.0 + self.taken.len() as f64 / up / SIGHT);
                let deadline = self.now.saturating_add(*time_left);
                self.extra = (self.extra + EXTRA_SHARE).min(EXTRA_MOST);
                self.spare = (self.spare + BACKUP_SHARE).min(EXTRA_MOST);
                let (class, tenant, over_quota) = (*class, *tenant, self.over_quota(*tenant, *again));
                let (rules, most) = (self.set.classes[class], self.set.max_attempts);
                if *again {
                    self.budget.came_again();
                }
                let request = Request {
                    class,
                    tenant,
                    rules,
                    most,
                    function,
                    size,
                    over_quota,
                    deadline,
                    ..Request::default()
                };
                self.requests.insert(*id, request);
                self.functions[function].in_flight += 1;
                // Danger: a request that no event concerns any more. The timer ends it, whatever went wrong.
                out.push(Action::Timer { at: deadline, cookie: *id });
                self.decide(*id, out);
                self.functions[function].seen.add(self.now, self.half, 1.0);
                self.tend(out);
                self.retire_functions();
            }
            Event::Outcome { id, last, .. } => {
                self.closed(event);
                let Some(request) = self.requests.get_mut(id) else { return };
                request.ended |= *last;
                if request.ended {
                    return self.tidy(*id, out);
                }
                if request.attempts.iter().all(|a| !a.open) {
                    self.decide(*id, out);
                }
            }
            Event::Streaming { id } => {
                self.requests.entry(*id).and_modify(|r| r.streaming = true);
            }
            Event::Abandoned { id } => {
                self.requests.entry(*id).and_modify(|r| r.ended = true);
                self.tidy(*id, out);
            }
            Event::Timer { cookie } => self.look(*cookie, out),
        }
    }

    // ---- Copies kept and loaded ahead ----

    /// Danger: a copy unused for a while is unloaded, and the next request waits. Orders hold it.
    fn tend(&mut self, out: &mut Vec<Action>) {
        self.taken.push_back(self.now);
        if self.set.load_window == 0 || !self.set.orders {
            // Danger: copies held beyond any ration push out what others need, and memory has its price.
            let since = self.now.saturating_sub((SIGHT_KEPT * self.set.keep_alive as f64) as Micros);
            self.renewals.clear();
            return drop_while(&mut self.taken, |t| t <= since);
        }
        let early = self.now < self.tended + self.set.load_window / 100;
        if early {
            return;
        }
        self.tended = self.now;
        let keep = self.set.keep_alive as f64;
        let workers = &self.workers;
        let last =
            |used: &Use| workers[used.worker].marks.get(&used.function).is_some_and(|m| m.used == used.at);
        let uses: Vec<Use> = self.renewals.due(self.now, keep, (REFRESH, BELIEVE), last).copied().collect();
        let mut due: Vec<(f64, usize, usize)> = Vec::new();
        for Use { worker: n, function: f, .. } in uses {
            let (w, function) = (&self.workers[n], &self.functions[f]);
            let m = &w.marks[&f];
            let unasked = (self.now - m.asked) as f64 / keep;
            let held = w.up && m.copies > 0 && m.loading.is_none() && m.own == 0;
            if held && unasked < WANTED && function.served {
                // Danger: many routers that each hold what all use give as many orders as requests.
                let rate = function.seen.rate(self.now, self.half);
                let others = (self.set.balancers - 1) as f64 * (rate * keep).max(1.0 / unasked);
                let left = others / self.demand(function).1 >= KEPT;
                self.tally.loads_left += u64::from(left);
                due.extend((!left).then_some((rate, n, f)));
            }
        }
        due.sort_by(|a, b| b.0.total_cmp(&a.0).then((a.1, a.2).cmp(&(b.1, b.2))));
        let since = self.now.saturating_sub(self.set.load_window);
        drop_while(&mut self.taken, |t| t <= since);
        drop_while(&mut self.ordered, |t| t < since);
        let most = self.set.loads_anyway + self.set.loads_per_request * self.taken.len() as f64;
        let left = (RATION * most) as usize;
        for (_, worker, function) in due.into_iter().take(left.saturating_sub(self.ordered.len())) {
            if !self.budget.order() {
                break;
            }
            self.ordered.push_back(self.now);
            let (w, id) = (&mut self.workers[worker], self.functions[function].id.clone());
            w.marks.entry(function).and_modify(|m| m.used = self.now);
            self.renewals.push(Use { at: self.now, worker, function });
            out.push(Action::Load { worker: w.id.clone(), function: id, copies: 1 });
        }
    }

    // ---- Run- and load-time estimates ----

    /// What a worker tells of all, and how much that counts: one sample at the most, of a cold one none.
    fn speaks(&self, w: &Worker) -> (f64, f64) {
        let cold = self.present_share(w) < 1.0;
        let voice = if cold { 0.0 } else { self.thin * w.slow.samples(self.now, self.half).min(1.0) };
        (voice * w.slow.own_mean().unwrap_or(1.0), voice)
    }

    /// Danger: of many routers each hears little of any worker. One not heard of is as slow as its peers;
    /// the colder it is, the less of their queues it has.
    fn slowness(&self, worker: &Worker, peers: (f64, f64)) -> f64 {
        let own = self.speaks(worker);
        let peers = (DOUBT + peers.0 - own.0) / (DOUBT + peers.1 - own.1);
        worker.slow.mean(self.now, self.half, peers.powf(self.present_share(worker)), DOUBT)
    }

    /// What all workers tell, and how much that counts.
    fn peers(&self) -> (f64, f64) {
        let (sum, count) = self.fleet.slowness(self.now);
        (self.thin * sum, self.thin * count)
    }

    fn base_load(&self, function: &Function) -> f64 {
        function.told_load.or(function.load).or(self.pools[function.class].load).unwrap_or(PRIOR_LOAD)
    }

    fn load_time(&self, function: usize) -> f64 {
        self.base_load(&self.functions[function]) * self.store.mean(self.now, self.half, 1.0, DOUBT).max(0.5)
    }

    /// Moves a worker's slowness by the relative error of a prediction.
    fn learn_slowness(&mut self, worker: usize, error: f64) {
        self.fleet.advance(self.now);
        let slow = self.slowness(&self.workers[worker], self.peers());
        self.workers[worker].slow.learn(self.now, self.half, slow * (1.0 + error), LAST);
        self.fleet.update(worker, &self.workers[worker], self.now);
    }

    /// A warm answer against its prediction teaches the function, the worker and the class.
    fn learn_run(&mut self, function: usize, worker: usize, took: f64, expected: f64) {
        let error = (took / expected.max(1.0)).min(ERROR_CAP) - 1.0;
        self.learn_slowness(worker, error);
        let f = &mut self.functions[function];
        f.answers += 1;
        // Danger: a queue is taken for a function's nature. What is far over tells of the worker alone.
        let error = error.min(1.0);
        f.run += (1.0 / (f64::from(f.answers) + DOUBT)).max(LEARN_RUN) * f.run * error;
        let class = &mut self.pools[f.class].run;
        *class += LEARN_RUN * (f.run - *class);
    }

    /// A load that this router began teaches the load time and the store's factor; a far shorter one is none.
    fn learn_load(&mut self, function: usize, took: f64) {
        let base = self.base_load(&self.functions[function]);
        if took < LOAD_LEAST * base {
            return;
        }
        let store = self.store.mean(self.now, self.half, 1.0, DOUBT);
        let f = &mut self.functions[function];
        if f.told_load.or(f.load).is_some() {
            self.store.add(self.now, self.half, (took / base).min(ERROR_CAP));
        }
        let sample = took / store.max(1.0);
        let load = f.load.unwrap_or(sample);
        f.load = Some(load + LEARN_LOAD * (sample - load));
        let class = self.pools[f.class].load.unwrap_or(sample);
        self.pools[f.class].load = Some(class + LEARN_LOAD * (sample - class));
    }

    // ---- Requests and attempts: what is legal ----

    /// Whether the request may be sent to the worker now. Every send passes here.
    fn legal(&self, request: &Request, worker: usize) -> bool {
        let (class, w) = (&request.rules, &self.workers[worker]);
        let over = request.ended || request.streaming || self.now >= request.deadline;
        let bars = |a: &Attempt| a.open && (!self.set.may_duplicate || a.e.worker == worker);
        let spent = request.attempts.len() >= request.most.min(self.set.max_attempts);
        if over || !w.up || spent || !self.budget.open(w) || request.attempts.iter().any(bars) {
            return false;
        }
        let Some(first) = request.attempts.iter().find(|a| a.may_have_run) else { return true };
        let group = &self.workers[first.e.worker];
        match class.effect {
            Effect::Idempotent => true,
            Effect::AtMostOnce => false,
            Effect::Deduplicated => {
                let same = match class.key_scope {
                    KeyScope::All => true,
                    KeyScope::Zone => group.zone == w.zone,
                    KeyScope::Cell => group.zone == w.zone && group.cell == w.cell,
                };
                // Danger: an attempt proved not to have run still starts the window where it was pending.
                let began = request.attempts[0].sent;
                same && ((self.now - began) as f64) < WINDOW_USED * class.repeat_window as f64
            }
        }
    }

    fn may_refuse(&self, request: &Request) -> bool {
        let class = &request.rules;
        class.effect == Effect::Idempotent
            || (class.effect == Effect::Deduplicated && class.key_scope == KeyScope::All)
            || request.attempts.iter().all(|a| !a.may_have_run)
    }

    /// The share of its full capacity that a worker has now, at the least.
    fn present_share(&self, w: &Worker) -> f64 {
        let Some(age) = w.ready_at.map(|r| self.now.saturating_sub(r)) else { return 1.0 };
        let (least, warm) = (self.set.cold_share, self.set.warm_after.max(1) as f64);
        (least + (1.0 - least) * age as f64 / warm).min(1.0)
    }

    /// Danger: all routers together push a fresh worker over. Its budget goes round them in turn; a turn not
    /// used lapses. Its capacity is what its peers serve, or one core's. The turn to take, if it is ours.
    fn turn(&self, w: &Worker, f: &Function, known: &Known) -> Option<u64> {
        let age = w.ready_at.map_or(f64::INFINITY, |r| self.now.saturating_sub(r) as f64);
        let warm = self.set.warm_after as f64;
        if age >= warm {
            return Some(w.turn);
        }
        let (alive, routers, me) =
            self.division.unwrap_or((self.set.balancers, self.set.balancers, self.set.me));
        let routers = routers.max(1) as u64;
        let up = known.capacity.get_or_init(|| self.capacity()).max(1.0);
        let each = self.served.rate(self.now, self.half) * alive as f64 / up;
        let each = each.max(1.0 / self.pools[f.class].run.max(1.0));
        // Danger: of many routers, one with a turn has few requests for it. As many more go round as lapse.
        let kept = TURN_KEPT * self.set.fall_window as f64;
        let since = self.taken.front().map_or(1.0, |t| (self.now - t).max(1) as f64);
        let wanted = COLD_DRAW * kept / up * (self.taken.len() + 1) as f64 / since;
        let used = (1.0 - (-wanted).exp()).max(LEAST_USED);
        let most = COLD_USED / used * self.set.fall_multiple * each;
        let least = self.set.cold_share;
        let turns = |age: f64| (most * (least * age + (1.0 - least) * age * age / (2.0 * warm))) as u64;
        let lapsed = turns((age - kept).max(0.0));
        let after = lapsed.max(w.turn);
        let mine = rendezvous(&w.id, &w.id).wrapping_add(me as u64) % routers;
        let next = after + 1 + (mine + routers - (after + 1) % routers) % routers;
        (next <= turns(age)).then_some(next)
    }

    // ---- EET: choice and admission ----

    /// Counts a request against this router's part of its tenant's quota; a client's retry belongs to its
    /// first try.
    fn over_quota(&mut self, tenant: usize, again: bool) -> bool {
        let Some(quota) = self.set.tenant_quotas.get(tenant).filter(|q| **q > 0.0) else { return false };
        let part = quota / self.set.balancers as f64 / 1e6;
        let (left, at, turned) = self.quota_left[tenant];
        let left = (left + part * (self.now - at) as f64).min((part * QUOTA_SAVED).max(1.0));
        // Danger: a client may mark all that it sends. Only as many go uncounted as this router turned away.
        let free = if again && turned >= 1.0 { 1.0 } else { 0.0 };
        let drawn = if left < 1.0 { 0.0 } else { 1.0 - free };
        self.quota_left[tenant] = (left - drawn, self.now, turned - free);
        left < 1.0
    }

    /// The time of a load, and what its fetch costs in time.
    fn whole_load(&self, request: &Request) -> f64 {
        self.load_time(request.function) + self.set.fetch_price * request.rules.aim as f64
    }

    fn estimate(
        &self,
        request: &Request,
        worker: usize,
        rank: Option<&Rank>,
        known: &Known,
    ) -> Option<Estimate> {
        let w = &self.workers[worker];
        let f = &self.functions[request.function];
        let class = &request.rules;
        let slow = self.slowness(w, known.peers) / self.present_share(w).powf(USUAL_COLD);
        let run = f.run * slow * request.size.size;
        let turn = self.turn(w, f, known).filter(|_| self.legal(request, worker))?;
        let mark = w.marks.get(&request.function).copied().unwrap_or_default();
        let warmth = self.warmth(&mark);
        let whole_load = self.whole_load(request);
        let rank = rank.filter(|_| matches!(warmth, Warmth::Cold));
        let kept = rank.map(|rank| self.kept_by_others(f, rank, known));
        let (load, copies) = match warmth {
            Warmth::Warm => (0.0, mark.copies),
            Warmth::Loading(left) => (left, 1),
            Warmth::Cold => ((1.0 - kept.unwrap_or(0.0)) * whole_load, 1),
        };
        let run_of = |(id, n): &(RequestId, usize)| Some(self.requests.get(id)?.attempts.get(*n)?.e.run);
        let own: f64 = w.open.iter().filter_map(run_of).sum();
        let n = self.set.balancers as f64;
        let unseen = UNSEEN * own * (n - 1.0) / (n + 1.0);
        let (others, worth) = w.report.others(self.now);
        let told = worth * LEFT_TOLD * others * self.pools[request.class].run;
        let beside = if self.fields.told() { BESIDE_TOLD } else { f.lanes.min(2.0) };
        let pending = (own + told + (1.0 - worth) * unseen) / beside;
        let held = f64::from(mark.own) + mark.others;
        let slots = f.lanes * f64::from(copies.max(1));
        let lane_wait = run * ((held + 1.0 - slots) / slots).max(0.0);
        let total = self.set.tick as f64 + load + pending.max(lane_wait) + run;
        // A worker that has just turned a request away does so again: any other comes first.
        let turned_away = request.attempts.iter().any(|a| a.e.worker == worker && a.turned_away);
        let crossing = if w.zone == self.set.my_zone { 0.0 } else { ZONE * self.set.cross_zone_price };
        // A zone that is lost shows in all its workers: a few tell of the rest.
        let zone = self.zones.get(&w.zone).map_or(0.0, |h| h.mean(self.now, self.half, 0.0, 1.0));
        let zone = self.thin * ((zone - ZONE_DOUBT) / (1.0 - ZONE_DOUBT)).max(0.0);
        // Danger: fast failures make a worker look idle and would draw all traffic; a hang or a cut link are
        // silence. A loss costs the client's whole patience; no risk refuses.
        let risk = w.lost[request.class].mean(self.now, self.half, zone, DOUBT) * class.deadline as f64
            + crossing * class.aim as f64
            + if turned_away { class.deadline as f64 } else { 0.0 };
        // Only the usual time of a load is nobody's fault: what a slow store adds counts as a queue.
        let expected_load = load;
        let load = load.min(self.base_load(f));
        Some(Estimate {
            worker,
            total,
            risk,
            load,
            run,
            size: request.size.size,
            cold: matches!(warmth, Warmth::Cold) && kept.is_none_or(|p| p <= PRIOR_FOUND),
            blind: kept.is_some(),
            warm: total - expected_load,
            whole: if kept.is_some() { total - expected_load + whole_load } else { total },
            turn,
            // All routers' tries together come to about one request at a time.
            idle: w.open.is_empty()
                && (self.now - w.sent) as f64
                    >= (self.set.balancers - 1) as f64 * self.pools[request.class].run,
        })
    }

    /// All routers' requests for the function, and the number of its homes, by the crowds that answers told.
    fn demand(&self, f: &Function) -> (f64, f64) {
        // Danger: of many functions each router sees a few by chance, and all would spread all. The request
        // that made it known here counts once, what came besides for all routers.
        let (seen, routers) = (f.seen.samples(self.now, self.half), self.set.balancers as f64);
        let besides = (seen - 1.0).max(0.0) / seen.max(1.0);
        let rate = f.seen.rate(self.now, self.half) * (1.0 + (routers - 1.0) * besides);
        let of_class = self.pools[f.class].crowd.mean(self.now, self.half, rate * f.run, 1.0);
        let expected = (of_class + seen * rate * f.run) / (1.0 + seen);
        let busy = f.crowd.mean(self.now, self.half, expected, 1.0);
        let fill = if self.fields.told() { FILL_TOLD } else { FILL + (FILL_THIN - FILL) * self.thin };
        (rate, (busy / (f.lanes.min(2.0) * fill)).max(1.0).ceil())
    }

    /// The chance that others keep the function warm at the worker, one of its first ranks. Danger: after a
    /// loss of many, all believe in copies that none has loaded yet. What rose has had its time from then on.
    fn kept_by_others(&self, f: &Function, rank: &Rank, known: &Known) -> f64 {
        let (rate, homes, up) = (known.rate, known.homes, rank.up);
        let fell = Some(rank.fell).filter(|_| rank.all >= homes);
        let age = match self.workers[rank.worker].ready_at.max(fell) {
            Some(since) => (self.now.saturating_sub(since) as f64 - self.base_load(f)).max(0.0),
            None => f64::INFINITY,
        };
        let uses = (rate / homes).max(1.0 / self.set.keep_alive as f64) * age;
        // The first ranks are homes by all guesses, the last by few: all fill them in one order.
        known.found * (1.0 - (-uses).exp()) * (-self.thin * up / homes).exp()
    }

    /// The chance that a function is found at its homes where this router does not know, given time.
    fn found(&self, f: &Function) -> f64 {
        let of_class = self.pools[f.class].found.mean(self.now, self.half, PRIOR_FOUND, 1.0);
        f.found.mean(self.now, self.half, of_class, 1.0)
    }

    fn warmth(&self, mark: &Mark) -> Warmth {
        if let Some((began, due)) = mark.loading {
            let patience = LOAD_PATIENCE * (due - began) as f64;
            if ((self.now - began) as f64) < patience {
                let (left, so_far) = (due.saturating_sub(self.now), self.now.saturating_sub(began));
                return Warmth::Loading(left.max(so_far.min(due - began)) as f64);
            }
        }
        let idle = self.now.saturating_sub(mark.used) as f64;
        if mark.copies > 0 && (mark.own > 0 || idle < BELIEVE * self.set.keep_alive as f64) {
            return Warmth::Warm;
        }
        Warmth::Cold
    }

    /// The smallest estimate; cold ties are broken by a hash that all routers share, warm ones at random.
    fn best(&mut self, request: &Request, only_cold: bool) -> Option<Estimate> {
        let known = self.known(request.function);
        let load = self.load_time(request.function);
        let tie = load * if self.fields.told() { COLD_TIE_TOLD } else { COLD_TIE };
        // Danger: routers with the same late view choose alike and flood the worker that looked best.
        let error = VIEW_ERROR * (1.0 - 1.0 / (1.0 + self.set.balancers as f64));
        let draw = u64::from(self.rng.next_u32()) << 32 | u64::from(self.rng.next_u32());
        let key = |e: &Estimate| e.key() + error * preference::unit(draw, e.worker) * e.run;
        if self.scans {
            return self.best_of_all(request, &known, only_cold, tie, key);
        }
        self.find_preferred(request.function, 0);
        let mut search = Search::new(self, request, &known);
        search.take_warm(key);
        let least_warm = least(&search.warm, Estimate::key);
        let cold = only_cold || search.any_cold_before(least_warm);
        let found = if cold { search.first_cold(tie) } else { least_of(&search.warm, key) };
        // As many again next time without a search of the ring for each.
        let wanted = search.end();
        self.find_preferred(request.function, wanted);
        found
    }

    /// Sends a request that has no attempt out, or ends it.
    fn decide(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(&id) else { return };
        if let Some(retry_after) = self.sheds(&request) {
            self.requests.insert(id, request);
            return self.end(id, Action::Refuse { id, retry_after }, out);
        }
        let worth = self.worth(request.class);
        let left = request.deadline.saturating_sub(self.now) as f64;
        let over = if request.over_quota { IDLE } else { self.pools[request.class].queue };
        let (function, whole_aim) = (request.function, request.rules.aim as f64);
        let aim = over * whole_aim;
        let mut choice = self.trial(&request).or_else(|| self.best(&request, false));
        if choice.is_some_and(|e| !e.idle && e.beside_load() > aim) {
            choice = self.best(&request, true).filter(|e| e.beside_load() <= IDLE * aim).or(choice);
        }
        let refusable = self.may_refuse(&request);
        let again = request.attempts.last().map_or(0.0, |a| if a.may_have_run { 1.0 } else { NEVER_RAN });
        self.requests.insert(id, request);
        match choice {
            // Danger: under overload all answers come late. What queues alone make late is refused; a load is
            // waited for. A worker with nothing of ours is tried even so: only answers correct an estimate.
            Some(e)
                if e.likely() <= left
                    && (e.idle || e.beside_load() <= aim)
                    && self.extra >= again
                    && self.budget.resend(again > 0.0, worth) =>
            {
                self.extra -= again;
                self.send(id, e, out);
            }
            _ if refusable => {
                // Danger: an estimate that refuses everything is never corrected by an answer, but by this.
                let f = &mut self.functions[function];
                f.run -= LEARN_RUN * (f.run - PRIOR_RUN * whole_aim).max(0.0);
                let wait = |e: Estimate| (e.likely() - left).max(e.beside_load() - aim).max(0.0);
                let over = choice.map_or(self.set.max_retry_after as f64, wait);
                let retry_after = (over as Micros).min(self.set.max_retry_after);
                self.end(id, Action::Refuse { id, retry_after }, out);
            }
            _ => self.end(id, Action::Fail { id }, out),
        }
    }

    fn send(&mut self, id: RequestId, e: Estimate, out: &mut Vec<Action>) {
        let load = self.load_time(self.requests[&id].function) as Micros;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let function = request.function;
        let w = &mut self.workers[e.worker];
        self.budget.enter(w);
        w.open.push((id, request.attempts.len()));
        let mark = mark(w, e.worker, &mut self.functions[function], function);
        self.renewals.push(Use { at: self.now, worker: e.worker, function });
        mark.own += 1;
        (mark.used, mark.asked) = (self.now, self.now);
        if e.cold {
            (mark.copies, mark.others) = (0, 0.0);
            mark.loading = Some((self.now, self.now.saturating_add(load)));
        }
        let (sent, open, may_have_run, turned_away, lost) = (self.now, true, true, false, false);
        request.attempts.push(Attempt { e, sent, open, may_have_run, turned_away, lost });
        self.tally.cold_turns += u64::from(w.turn != e.turn);
        (w.sent, w.turn) = (self.now, e.turn);
        let look = self.now.saturating_add((SECOND_LOOK * e.whole) as Micros);
        out.push(Action::Send { id, worker: w.id.clone(), until: None });
        if look < request.deadline {
            out.push(Action::Timer { at: look, cookie: id });
        }
    }

    /// A timer of a request: its deadline, or a second look at an attempt that takes long.
    fn look(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| !r.ended && !r.streaming) else { return };
        if self.now >= request.deadline || request.attempts.is_empty() {
            return self.end(id, Action::Fail { id }, out);
        }
        let (class, number) = (request.class, request.attempts.len() - 1);
        let mut due = Micros::MAX;
        for a in request.attempts.iter_mut().filter(|a| a.open && !a.lost) {
            let silence = a.sent.saturating_add((SILENCE * a.e.whole) as Micros);
            let quiet = self.workers[a.e.worker].heard[class] <= a.sent;
            a.lost = self.now >= silence;
            if !a.lost {
                due = due.min(silence);
            } else if quiet {
                self.workers[a.e.worker].lost[class].learn(self.now, self.half, 1.0, LAST);
            }
        }
        if due < request.deadline {
            out.push(Action::Timer { at: due, cookie: id });
        }
        // Danger: a hang, a loss or a stall; long work looks alike: only a budget goes into second attempts.
        let last = request.attempts.last().filter(|a| a.open);
        let early = |a: &Attempt| {
            (self.now - a.sent) as f64 + 1.0 < SECOND_LOOK * a.e.whole
                || self.workers[a.e.worker].heard[class] > a.sent
        };
        if self.spare < 1.0 || last.is_none_or(early) {
            return;
        }
        if self.set.may_duplicate {
            self.back_up(id, out);
        } else if self.set.may_cancel && request.rules.effect == Effect::Idempotent {
            out.push(Action::Cancel { id, attempt: number });
        }
    }

    fn back_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(&id) else { return };
        let left = request.deadline.saturating_sub(self.now) as f64;
        // Danger: a copy loaded for a second attempt drives out others and mostly comes too late.
        let aim = request.rules.aim as f64;
        let spent = (self.now - request.attempts[0].sent) as f64;
        let worth_it = |e: &Estimate| e.likely() <= left && (!e.cold || spent + e.likely() <= aim);
        let choice = self.best(&request, false).filter(worth_it);
        let twice = request.attempts.iter().filter(|a| a.open).count() > 1;
        self.requests.insert(id, request);
        if let Some(e) = choice.filter(|_| !twice) {
            self.spare -= 1.0;
            self.send(id, e, out);
        }
    }

    fn end(&mut self, id: RequestId, action: Action, out: &mut Vec<Action>) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.ended = true;
            if let Some(quota) = self.quota_left.get_mut(request.tenant) {
                quota.2 = (quota.2 + 1.0).min(MOST_TURNED);
            }
            out.push(action);
            self.tidy(id, out);
        }
    }

    /// After the end: withdraws what is still out, and forgets the request once nothing is.
    fn tidy(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let open = request.attempts.iter().enumerate().filter(|(_, a)| a.open && !a.e.cold);
        if self.set.may_cancel {
            out.extend(open.map(|(attempt, _)| Action::Cancel { id, attempt }));
        }
        if request.attempts.iter().all(|a| !a.open) {
            let function = &mut self.functions[request.function];
            function.in_flight = function.in_flight.saturating_sub(1);
            self.requests.remove(&id);
        }
    }

    fn closed(&mut self, event: &Event) {
        let Event::Outcome { id, attempt, outcome, found, crowd, latency, report, .. } = event else {
            return;
        };
        let (id, number, outcome, found) = (*id, *attempt, *outcome, *found);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (function, size) = (request.function, request.size);
        let Some(attempt) = request.attempts.get_mut(number).filter(|a| a.open) else { return };
        attempt.open = false;
        let (now, worker) = (self.now, attempt.e.worker);
        let lost = match outcome {
            Outcome::Ok | Outcome::Miss => Some(0.0),
            Outcome::Full => Some(TURNED_AWAY),
            // Danger: requests that no worker can use end in errors everywhere, which must condemn none.
            Outcome::Error if !self.functions[function].served => None,
            // Danger: a connection that breaks ends all that is out on it; that is one event, not many.
            Outcome::Reset | Outcome::ConnectFailed | Outcome::Unknown
                if self.workers[worker].broke == now =>
            {
                None
            }
            Outcome::Unknown => Some(SPOILT),
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed => Some(1.0),
            // Clients with little time left go before an answer is due.
            Outcome::Timeout if !attempt.lost && *latency as f64 > SILENCE * attempt.e.whole => Some(1.0),
            _ => None,
        };
        attempt.turned_away = outcome == Outcome::Full;
        attempt.may_have_run =
            !matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot | Outcome::Miss);
        let e = attempt.e;
        let class = self.functions[function].class;
        if let Some(crowd) = crowd.filter(|_| found == Found::Warm) {
            let f = &self.functions[function];
            let busy = f64::from(crowd).min(f.lanes) * self.demand(f).1;
            self.functions[function].crowd.learn(now, self.half, busy, LAST);
            self.pools[class].crowd.add(now, self.half, busy);
        }
        let w = &mut self.workers[worker];
        if let Some(sample) = lost.filter(|_| found != Found::LoadFailed) {
            w.lost[class].learn(now, self.half, sample, LAST);
            self.zones.entry(w.zone).or_default().learn(now, self.half, sample, ZONE_LAST);
            w.heard[class] = now;
            w.heard_any = if sample == 0.0 { now } else { w.heard_any };
        }
        w.open.retain(|o| *o != (id, number));
        if let Some(held) = self.fields.held(report) {
            w.report = Report::hear(now, held, w.open.len());
        }
        let mark = mark(w, worker, &mut self.functions[function], function);
        mark.own = mark.own.saturating_sub(1);
        if let Some(crowd) = crowd {
            mark.others = f64::from(crowd.saturating_sub(mark.own));
        }
        // Danger: a load that outlasts its request is never told of; the next would be sent into it as well.
        // Of the class it tells nothing: queues under overload look alike.
        let outlasted = self.thin > 0.5 && outcome == Outcome::Timeout && *latency as f64 > SILENCE * e.warm;
        if e.blind && (outlasted || matches!(found, Found::Warm | Found::BeganLoad)) {
            let sample = if found == Found::Warm { 1.0 } else { 0.0 };
            let f = &mut self.functions[function];
            f.found.add(now, self.half, sample);
            if !outlasted {
                self.pools[f.class].found.add(now, self.half, sample);
            }
        }
        match outcome {
            Outcome::Ok => {
                self.served.add(now, self.half, 1.0);
                self.functions.served(now, function);
                self.renewals.push(Use { at: now, worker, function });
                mark.used = now;
                mark.copies = mark.copies.max(1);
                mark.loading = None;
                let took = *latency as f64;
                match found {
                    Found::BeganLoad => self.learn_load(function, (took - e.run).max(0.0)),
                    Found::Warm => {
                        let usual = (e.warm / size.size).max(1.0);
                        self.pools[class].power.learn(size.ratio, took / usual);
                        self.learn_run(function, worker, took, e.warm)
                    }
                    Found::Untold if !e.cold && took < e.warm => {
                        self.learn_run(function, worker, took, e.warm)
                    }
                    _ => {}
                }
            }
            Outcome::Miss => *mark = Mark { copies: 0, loading: None, ..*mark },
            Outcome::Error | Outcome::Full => {
                if found == Found::LoadFailed {
                    mark.loading = None;
                } else if outcome == Outcome::Full {
                    // Its refusal counts as an answer that took twice the expected time.
                    self.learn_slowness(worker, 1.0);
                }
            }
            Outcome::Reset | Outcome::ConnectFailed | Outcome::Unknown => {
                w.cut_off(now, outcome == Outcome::ConnectFailed);
            }
            // The load that it was to begin was never asked for.
            Outcome::Moot if e.cold && mark.own == 0 => mark.loading = None,
            Outcome::Timeout | Outcome::Cancelled | Outcome::Moot => {}
        }
    }
}

enum Warmth {
    Warm,
    Loading(f64),
    Cold,
}
