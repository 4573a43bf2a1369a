//! Requests, attempts and their outcomes: drives the decision module and knows no wire.
//!
//! Fronts hand in requests under a ticket; the engine asks the [`Router`] and leaves [`Command`]s. It owes one
//! final answer for each request that it took, and settles that debt by the deadline whatever else happens.

mod attempt;
mod timers;

use crate::api::{
    Action, Class, Effect, Event, Found, FunctionId, KeyScope, Listing, Micros, Outcome, RequestId, Settings,
    WorkerId,
};
use crate::control::{Budget, Learned, Router};
use crate::counters::{Counters, count};
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::sync::Arc;
use timers::{Due, Timers};

pub use attempt::{AttemptId, Ended};

/// Where a request came from and its answer goes: a front, a connection of it, and a number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// The front.
    pub front: u8,
    /// Its connection.
    pub conn: u64,
    /// The request's number there.
    pub seq: i64,
}

/// A request as a front hands it in.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its class, by position in the settings.
    pub class: usize,
    /// Its tenant, by position in the settings.
    pub tenant: usize,
    /// Its function.
    pub function: FunctionId,
    /// Requests that one copy runs at a time.
    pub lanes: f64,
    /// The usual time of a load, where told.
    pub load_time: Option<Micros>,
    /// A rough hint at its work, where told.
    pub work: Option<Micros>,
    /// A client's own retry, where clients mark those.
    pub again: bool,
    /// The time within which the final answer must be given.
    pub time_left: Micros,
    /// The client's id for it.
    pub call: Arc<str>,
    /// The client's idempotency key.
    pub key: Option<Arc<str>>,
    /// Its body.
    pub body: Vec<u8>,
    /// It may have run before, its client having sent it this long ago.
    pub repeat: Option<Micros>,
}

/// A final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Final {
    /// Served, with the executor's body.
    Served(Vec<u8>),
    /// Refused: a retry is harmless, after this long.
    Refused(Micros),
    /// Failed, and why.
    Failed(&'static str),
}

/// What the engine wants done.
#[derive(Debug)]
pub enum Command {
    /// Begin an attempt.
    Send {
        /// The attempt.
        attempt: AttemptId,
        /// Where to.
        worker: WorkerId,
        /// How long its answer is waited for.
        wait: Micros,
        /// The request.
        job: Rc<Job>,
    },
    /// Give an attempt up.
    Halt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Let an attempt go on only if it has begun to be sent; else it has ended as moot.
    Recall {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Order a load.
    Load {
        /// The order's number.
        order: u64,
        /// Where.
        worker: WorkerId,
        /// What.
        function: FunctionId,
        /// Copies to hold.
        copies: u32,
    },
    /// Give the final answer.
    Answer {
        /// Whose.
        ticket: Ticket,
        /// The answer.
        answer: Final,
    },
}

/// What bounds the engine.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Attempts for a request.
    pub attempts: usize,
    /// How long an order to load is waited for.
    pub load_wait: Micros,
    /// Bytes of bodies held for requests.
    pub held_bytes: usize,
    /// Requests held open.
    pub held_requests: usize,
    /// The longest time that clients stay away when told.
    pub retry_after: Micros,
    /// The longest time from an attempt's send to its first byte.
    pub send_lag: Micros,
}

struct Attempt {
    worker: WorkerId,
    sent: Micros,
    open: bool,
    /// Nothing has proved that it did not run.
    may_have_run: bool,
}

struct Held {
    ticket: Ticket,
    job: Rc<Job>,
    deadline: Micros,
    /// The final answer was given, or is owed no more.
    settled: bool,
    /// Attempts it may have.
    most: usize,
    attempts: Vec<Attempt>,
}

struct Order {
    worker: WorkerId,
    function: FunctionId,
    sent: Micros,
}

/// Drives the module.
pub struct Engine {
    router: Router,
    bounds: Bounds,
    classes: Vec<Class>,
    held: BTreeMap<RequestId, Held>,
    tickets: BTreeMap<Ticket, RequestId>,
    /// The clients' ids of the requests that are held.
    calls: BTreeSet<Arc<str>>,
    orders: BTreeMap<u64, Order>,
    timers: Timers,
    next: u64,
    held_bytes: usize,
    /// Events that actions of the module gave rise to.
    events: VecDeque<Event>,
    actions: Vec<Action>,
    counters: Rc<Counters>,
    /// What is to be done, in order.
    pub commands: VecDeque<Command>,
    /// Answers of workers while that is watched: whose, of which kind, and after how long; none: turned away.
    pub answers: Vec<(WorkerId, u64, Option<Micros>)>,
    watched: bool,
    /// What became of attempts, while that is traced.
    pub traces: Vec<Trace>,
    traced: bool,
}

/// An attempt that was sent, or came to its end.
#[derive(Clone, Debug)]
pub struct Trace {
    /// Where it went.
    pub worker: WorkerId,
    /// When it was sent.
    pub sent: Micros,
    /// How it ended, of which kind it was, and after how long where a copy stood; none while it is out.
    pub end: Option<(Outcome, u64, Option<Micros>)>,
}

/// Share of a keyed class's window within which a repeat is sent at the latest: the rest is for its way.
const WINDOW_SENT: f64 = 0.95;
/// Traces that the host has not taken, at the most.
const MOST_TRACES: usize = 4_096;
/// Answers that the host has not taken, at the most.
const MOST_ANSWERS: usize = 1_024;

impl Engine {
    /// An engine that holds nothing.
    pub fn new(
        settings: &Settings,
        seed: u64,
        now: Micros,
        bounds: Bounds,
        counters: Rc<Counters>,
    ) -> Engine {
        Engine {
            router: Router::new(settings.clone(), seed, now),
            bounds,
            classes: settings.classes.clone(),
            held: BTreeMap::new(),
            tickets: BTreeMap::new(),
            calls: BTreeSet::new(),
            orders: BTreeMap::new(),
            timers: Timers::default(),
            next: 1,
            held_bytes: 0,
            events: VecDeque::new(),
            actions: Vec::new(),
            counters,
            commands: VecDeque::new(),
            answers: Vec::new(),
            watched: false,
            traces: Vec::new(),
            traced: false,
        }
    }

    /// New settings and bounds. Classes are known by their places; the `fresh` ones mean other classes than before.
    pub fn configure(&mut self, settings: &Settings, fresh: &[usize], bounds: Bounds) {
        self.router.configure(settings.clone(), fresh);
        self.classes = settings.classes.clone();
        self.bounds = bounds;
    }

    /// How a cold worker's budget is divided from now on, where dispatchers know each other: how many serve, into how
    /// many parts it goes, and which is ours.
    pub fn divide(&mut self, division: Option<(usize, usize, usize)>) {
        self.router.divide(division);
    }

    /// What the module may spend of the fleet's budgets from now on; what it spent before. From here on answers are watched.
    pub fn budget(&mut self, next: Budget) -> Budget {
        self.watched = true;
        self.router.budget(next)
    }

    /// From here on attempts are traced.
    pub fn trace(&mut self) {
        self.traced = true;
    }

    /// No connection to a worker came up that was only to be looked at.
    pub fn unreached(&mut self, now: Micros, worker: &WorkerId) {
        self.router.unreached(now, worker);
    }

    /// The places of the classes that requests under way belong to.
    pub fn classes_in_use(&self) -> BTreeSet<usize> {
        self.held.values().map(|h| h.job.class).collect()
    }

    /// What the module has learned, for the process that takes over.
    pub fn learned(&self) -> Learned {
        self.router.learned()
    }

    /// Goes on from what another process has learned; false if that can't be used. `configure` and the list must
    /// follow.
    pub fn inherit(&mut self, now: Micros, learned: Learned) -> bool {
        self.router.inherit(now, learned)
    }

    /// Requests that are owed an answer.
    pub fn owed(&self) -> usize {
        self.tickets.len()
    }

    /// Bytes of bodies held.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// When the next timer is due.
    pub fn due(&self) -> Option<Micros> {
        self.timers.due()
    }

    /// From now on the module may keep functions in so many bytes.
    pub fn bound_functions(&mut self, bytes: usize) {
        self.router.bound_functions(bytes);
    }

    /// Tells the module the list of workers; who is absent is gone.
    pub fn list(&mut self, now: Micros, entries: Vec<Listing>) {
        self.tell(now, Event::Workers { complete: true, entries });
    }

    /// Takes a request in. From here on one final answer is owed under the ticket.
    pub fn take(&mut self, now: Micros, ticket: Ticket, job: Job) {
        count(&self.counters.requests_taken);
        let id = self.next;
        self.next += 1;
        self.tickets.insert(ticket, id);
        let deadline = now.saturating_add(job.time_left);
        // Danger: bodies that wait for slow workers fill the memory limit and the process is killed. What does
        // not fit is refused before anything ran.
        let full = self.held_bytes + job.body.len() > self.bounds.held_bytes
            || self.held.len() >= self.bounds.held_requests;
        self.held_bytes += job.body.len();
        let (mut barred, attempts) = self.repeat(&job);
        // Danger: executors know a request by its client's id. A second one under an id that is out could be
        // given up, or answered, in place of the first.
        if barred.is_none() && self.calls.contains(&job.call) {
            barred = Some("its id is that of a request which is open");
        }
        let call = job.call.clone();
        let event = Event::Request {
            id,
            class: job.class,
            tenant: job.tenant,
            function: job.function.clone(),
            lanes: job.lanes,
            load_time: job.load_time,
            work: job.work,
            again: job.again,
            time_left: job.time_left,
        };
        let held =
            Held { ticket, job: Rc::new(job), deadline, settled: false, most: attempts, attempts: vec![] };
        self.held.insert(id, held);
        if let Some(why) = barred {
            self.settle(id, Final::Failed(why));
            return self.drop_held(id);
        }
        if full {
            self.settle(id, Final::Refused(self.bounds.retry_after));
            return self.drop_held(id);
        }
        self.calls.insert(call);
        self.timers.add(deadline, Due::Deadline(id));
        self.tell(now, event);
    }

    /// Why a request that may have run before must not run, and how many attempts it may have.
    fn repeat(&self, job: &Job) -> (Option<&'static str>, usize) {
        let most = self.bounds.attempts;
        let (Some(age), Some(class)) = (job.repeat, self.classes.get(job.class)) else { return (None, most) };
        match class.effect {
            Effect::Idempotent => (None, most),
            Effect::AtMostOnce => (Some("may have run before"), most),
            // Danger: executors drop repeats for a while only, and the first attempt may have gone out as soon
            // as the client had sent. A second attempt of this one could come too late for them.
            Effect::Deduplicated => {
                let known = class.key_scope == KeyScope::All && job.key.is_some();
                let late = age.saturating_add(self.bounds.send_lag) >= class.repeat_window;
                (Some("may have run before, too long ago to repeat").filter(|_| late || !known), 1)
            }
        }
    }

    /// The client waits no more: nothing is owed.
    pub fn forget(&mut self, now: Micros, ticket: Ticket) {
        let Some(id) = self.tickets.remove(&ticket) else { return };
        count(&self.counters.requests_forgotten);
        if let Some(held) = self.held.get_mut(&id) {
            held.settled = true;
        }
        self.tell(now, Event::Abandoned { id });
        self.recall(id);
        self.tidy(id);
    }

    /// The client has closed its end, and has probably gone: nothing is begun for the request from here on. What runs
    /// may still be answered.
    pub fn hung_up(&mut self, ticket: Ticket) {
        let Some(id) = self.tickets.get(&ticket).copied() else { return };
        count(&self.counters.requests_hung_up);
        if let Some(held) = self.held.get_mut(&id) {
            held.most = held.attempts.len();
        }
        self.recall(id);
    }

    /// Has no attempt of the request begin that has not begun yet. Danger: one may wait for its connection to come up
    /// long after the client has gone.
    fn recall(&mut self, id: RequestId) {
        let attempts = self.held.get(&id).map_or(&[][..], |h| &h.attempts);
        let open = attempts.iter().enumerate().filter(|(_, a)| a.open);
        let recall = |(number, _)| Command::Recall { attempt: AttemptId { request: id, number } };
        self.commands.extend(open.map(recall));
    }

    /// Settles all that is still owed: the process is about to end.
    pub fn give_up(&mut self, now: Micros) {
        let owed: Vec<RequestId> = self.tickets.values().copied().collect();
        for id in owed {
            self.settle(id, Final::Failed("the dispatcher is being stopped"));
            self.tell(now, Event::Abandoned { id });
            self.tidy(id);
        }
    }

    /// An attempt has come to its end.
    pub fn ended(&mut self, now: Micros, id: AttemptId, ended: Ended) {
        let c = self.counters.clone();
        let Some(held) = self.held.get_mut(&id.request) else { return count(&c.late_answers) };
        let Some(attempt) = held.attempts.get_mut(id.number).filter(|a| a.open) else {
            return count(&c.late_answers);
        };
        attempt.open = false;
        attempt.may_have_run =
            !matches!(ended.outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot | Outcome::Miss);
        count(match ended.outcome {
            Outcome::Ok => &c.ended_ok,
            Outcome::Error | Outcome::Unknown => &c.ended_error,
            Outcome::Full => &c.ended_full,
            Outcome::Timeout => &c.ended_timeout,
            Outcome::ConnectFailed => &c.ended_no_connect,
            Outcome::Reset => &c.ended_reset,
            Outcome::Cancelled => &c.ended_cancelled,
            Outcome::Moot => &c.ended_moot,
            Outcome::Miss => &c.ended_miss,
        });
        let latency = now.saturating_sub(attempt.sent);
        if self.watched
            && self.answers.len() < MOST_ANSWERS
            && matches!(ended.outcome, Outcome::Ok | Outcome::Full)
        {
            let mut kind = SipHasher13::new();
            held.job.function.hash(&mut kind);
            let took = (ended.outcome == Outcome::Ok && ended.found != Found::BeganLoad).then_some(latency);
            if took.is_some() || ended.outcome == Outcome::Full {
                self.answers.push((attempt.worker.clone(), kind.finish(), took));
            }
        }
        if self.traced && self.traces.len() < MOST_TRACES {
            let mut kind = SipHasher13::new();
            held.job.function.hash(&mut kind);
            let took = (ended.found == Found::Warm).then_some(latency);
            let end = Some((ended.outcome, kind.finish(), took));
            self.traces.push(Trace { worker: attempt.worker.clone(), sent: attempt.sent, end });
        }
        if ended.outcome == Outcome::Ok {
            self.settle(id.request, Final::Served(ended.body));
        }
        let last = self.held.get(&id.request).is_none_or(|h| h.settled);
        let Ended { outcome, found, crowd, report, .. } = ended;
        let (request, attempt) = (id.request, id.number);
        self.tell(now, Event::Outcome { id: request, attempt, last, outcome, found, crowd, latency, report });
        self.tidy(id.request);
    }

    /// An order to load has come to its end.
    pub fn loaded(&mut self, now: Micros, order: u64, outcome: Outcome, copies: u32) {
        let Some(Order { worker, function, sent }) = self.orders.remove(&order) else { return };
        self.tell(now, Event::Loaded { worker, function, outcome, latency: now - sent, copies });
    }

    /// Handles the timers that are due.
    pub fn advance(&mut self, now: Micros) {
        while let Some(due) = self.timers.pop(now) {
            match due {
                Due::Attempt(attempt) => {
                    let open = self.held.get(&attempt.request).and_then(|h| h.attempts.get(attempt.number));
                    if open.is_some_and(|a| a.open) {
                        self.commands.push_back(Command::Halt { attempt });
                        self.ended(now, attempt, Ended::bare(Outcome::Timeout));
                    }
                }
                Due::Window(attempt) => {
                    let open = self.held.get(&attempt.request).and_then(|h| h.attempts.get(attempt.number));
                    if open.is_some_and(|a| a.open) {
                        self.commands.push_back(Command::Recall { attempt });
                    }
                }
                Due::Router(cookie) => self.tell(now, Event::Timer { cookie }),
                Due::Deadline(id) => {
                    // Danger: a request that the module holds past its time breaks the first rule.
                    if self.held.get(&id).is_some_and(|h| !h.settled) {
                        self.settle(id, Final::Failed("out of time"));
                        self.tell(now, Event::Abandoned { id });
                        self.tidy(id);
                    }
                }
                Due::Order(order) => self.loaded(now, order, Outcome::Timeout, 0),
            }
        }
    }

    fn tell(&mut self, now: Micros, event: Event) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.router.handle(now, &event, &mut actions);
            let tally = self.router.tally();
            self.counters.cold_turns.set(tally.cold_turns);
            self.counters.loads_left.set(tally.loads_left);
            actions.drain(..).for_each(|action| self.act(now, action));
            self.actions = actions;
        }
    }

    fn act(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { id, worker, until } => self.send(now, id, worker, until),
            Action::Refuse { id, retry_after } => {
                self.settle(id, Final::Refused(retry_after));
                self.tidy(id);
            }
            Action::Fail { id } => {
                self.settle(id, Final::Failed("not served in time"));
                self.tidy(id);
            }
            Action::Cancel { id, attempt: number } => {
                let Some(held) = self.held.get_mut(&id) else { return };
                let Some(attempt) = held.attempts.get_mut(number).filter(|a| a.open) else { return };
                attempt.open = false;
                let (latency, last) = (now - attempt.sent, held.settled);
                if self.traced && self.traces.len() < MOST_TRACES {
                    let end = Some((Outcome::Cancelled, 0, None));
                    self.traces.push(Trace { worker: attempt.worker.clone(), sent: attempt.sent, end });
                }
                count(&self.counters.ended_cancelled);
                self.commands.push_back(Command::Halt { attempt: AttemptId { request: id, number } });
                self.outcome(id, number, last, Outcome::Cancelled, latency);
                self.tidy(id);
            }
            Action::Load { worker, function, copies } => {
                let order = self.next;
                self.next += 1;
                let (w, f) = (worker.clone(), function.clone());
                self.orders.insert(order, Order { worker: w, function: f, sent: now });
                self.timers.add(now + self.bounds.load_wait, Due::Order(order));
                self.commands.push_back(Command::Load { order, worker, function, copies });
            }
            Action::Timer { at, cookie } => self.timers.add(at, Due::Router(cookie)),
            // The list of workers comes by itself.
            Action::Watch => {}
        }
    }

    fn outcome(&mut self, id: RequestId, attempt: usize, last: bool, outcome: Outcome, latency: Micros) {
        let (found, crowd, report) = (Found::Untold, None, vec![]);
        self.events.push_back(Event::Outcome { id, attempt, last, outcome, found, crowd, latency, report });
    }

    fn send(&mut self, now: Micros, id: RequestId, worker: WorkerId, until: Option<Micros>) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let number = held.attempts.len();
        let until = until.unwrap_or(held.deadline).min(held.deadline);
        let legal = !held.settled && number < held.most && until > now;
        held.attempts.push(Attempt { worker: worker.clone(), sent: now, open: legal, may_have_run: legal });
        if !legal {
            let last = held.settled;
            count(&self.counters.ended_moot);
            return self.outcome(id, number, last, Outcome::Moot, 0);
        }
        count(&self.counters.attempts_sent);
        if self.traced && self.traces.len() < MOST_TRACES {
            self.traces.push(Trace { worker: worker.clone(), sent: now, end: None });
        }
        let attempt = AttemptId { request: id, number };
        let job = held.job.clone();
        self.timers.add(until, Due::Attempt(attempt));
        if let Some(last) = self.window(id, now) {
            self.timers.add(last, Due::Window(attempt));
        }
        self.commands.push_back(Command::Send { attempt, worker, wait: until - now, job });
    }

    /// The last moment at which the attempt just begun may be sent, where one before it may have run. Danger: executors
    /// drop repeats by their key for a while only, counted from the first run that was possible, and a connection may
    /// take long to come up.
    fn window(&self, id: RequestId, now: Micros) -> Option<Micros> {
        let held = self.held.get(&id)?;
        let class = self.classes.get(held.job.class).filter(|c| c.effect == Effect::Deduplicated)?;
        let first = held.attempts.first().map_or(now, |a| a.sent);
        let before = held.attempts.split_last().map_or(&[][..], |(_, before)| before);
        let began = match held.job.repeat {
            Some(age) => first.saturating_sub(age),
            None if before.iter().any(|a| a.may_have_run) => first,
            None => return None,
        };
        Some(began.saturating_add((WINDOW_SENT * class.repeat_window as f64) as Micros))
    }

    /// Gives the final answer, unless it was given or is owed no more.
    fn settle(&mut self, id: RequestId, answer: Final) {
        let Some(held) = self.held.get_mut(&id).filter(|h| !h.settled) else { return };
        held.settled = true;
        count(match answer {
            Final::Served(_) => &self.counters.answers_served,
            Final::Refused(_) => &self.counters.answers_refused,
            Final::Failed(_) => &self.counters.answers_failed,
        });
        self.tickets.remove(&held.ticket);
        self.commands.push_back(Command::Answer { ticket: held.ticket, answer });
    }

    /// Drops a request once nothing is owed and nothing is out.
    fn tidy(&mut self, id: RequestId) {
        if self.held.get(&id).is_some_and(|h| h.settled && h.attempts.iter().all(|a| !a.open)) {
            if let Some(held) = self.held.get(&id) {
                self.calls.remove(&held.job.call);
            }
            self.drop_held(id);
        }
    }

    fn drop_held(&mut self, id: RequestId) {
        let held = self.held.remove(&id);
        self.held_bytes -= held.map_or(0, |h| h.job.body.len());
    }
}

#[cfg(test)]
mod tests;
