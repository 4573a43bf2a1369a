//! The request engine: tracks requests, attempts and load orders, and drives the decision module.
//!
//! Fronts submit requests under a [`Ticket`]. The engine passes events to the [`Router`] and turns its
//! actions into [`Command`]s for the fronts and the executor pool; it does no I/O and handles no wire format.
//! It gives exactly one final answer for each accepted request, by the request's deadline regardless of what
//! executors do. [`EngineLimits`] limits the attempts per request, and the requests and bytes of bodies held.

mod attempt_result;
mod repeats;
mod timers;

use crate::api::{
    Action, Class, Event, FunctionId, Micros, Outcome, ReplicaStatus, RequestId, Settings, WorkerEntry,
    WorkerId,
};
use crate::control::{Budget, BudgetDivision, ColdStartReport, LearnedState, Router};
use crate::counters::{Counters, count};
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::sync::Arc;
use timers::{TimerKind, Timers};

pub use attempt_result::{AttemptId, AttemptResult};
use repeats::Admission;
pub use repeats::PriorDelivery;

/// The origin of a request and the destination of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// The front.
    pub front: u8,
    /// The connection of that front.
    pub conn: u64,
    /// The sequence number of the request on that connection.
    pub seq: i64,
}

/// A request as submitted by a front.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Its class, by position in the settings.
    pub class: usize,
    /// Its tenant, by position in the settings.
    pub tenant: usize,
    /// Its function.
    pub function: FunctionId,
    /// The number of requests that one replica runs concurrently.
    pub replica_concurrency: f64,
    /// The typical load time, if known.
    pub load_time: Option<Micros>,
    /// A rough prediction of its run time, if known.
    pub work_hint: Option<Micros>,
    /// Whether it is a client's retry, where clients mark retries.
    pub is_retry: bool,
    /// The time left until the final answer is due.
    pub time_left: Micros,
    /// The client's id for the request.
    pub client_request_id: Arc<str>,
    /// The client's idempotency key.
    pub idempotency_key: Option<Arc<str>>,
    /// The request body.
    pub body: Vec<u8>,
    /// Whether it may have been delivered before, and have run.
    pub prior_delivery: PriorDelivery,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer {
    /// The request was served; holds the executor's response body.
    Served(Vec<u8>),
    /// The request was refused. A retry is harmless after the given time.
    Refused(Micros),
    /// The request was refused, but it may have run: a retry after the given time is harmless only within its key's
    /// repeat window.
    RefusedMayHaveRun(Micros),
    /// The request failed for the given reason; it may have run.
    Failed(&'static str),
}

/// An operation that the host carries out for the engine.
#[derive(Debug)]
pub enum Command {
    /// Send an attempt.
    Send {
        /// The attempt.
        attempt: AttemptId,
        /// The destination.
        worker: WorkerId,
        /// How long to wait for the answer.
        wait: Micros,
        /// The request.
        job: Rc<RequestSpec>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Cancel an attempt only if none of it has been sent; it then ends as [`Outcome::NotSent`].
    CancelIfUnsent {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Order a worker to load replicas of a function.
    OrderLoad {
        /// Identifies the order.
        order: u64,
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// The minimum number of replicas to keep loaded.
        replicas: u32,
    },
    /// Give the final answer.
    Answer {
        /// The destination of the answer.
        ticket: Ticket,
        /// The answer.
        answer: FinalAnswer,
    },
}

/// Limits of the engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineLimits {
    /// Maximum number of attempts per request.
    pub attempts: usize,
    /// Time limit of a load order.
    pub load_wait: Micros,
    /// Maximum total size of the request bodies held, in bytes.
    pub held_bytes: usize,
    /// Maximum number of requests held.
    pub held_requests: usize,
    /// The longest retry-after that clients honour; refusals for lack of space carry it.
    pub retry_after: Micros,
    /// The longest time from an attempt's `Send` command until its first byte is written.
    pub send_lag: Micros,
}

struct Attempt {
    worker: WorkerId,
    sent_at: Micros,
    open: bool,
    /// Set unless the outcome proves that the request did not run.
    may_have_run: bool,
}

struct TrackedRequest {
    ticket: Ticket,
    job: Rc<RequestSpec>,
    /// Its class as of the submission, which later settings do not change; `None` if the index named none.
    class: Option<Class>,
    deadline: Micros,
    /// The final answer has been given, or is no longer needed.
    answered: bool,
    max_attempts: usize,
    attempts: Vec<Attempt>,
}

struct LoadOrder {
    worker: WorkerId,
    function: FunctionId,
    sent_at: Micros,
}

/// Tracks requests, attempts and load orders, and drives the decision module.
pub struct Engine {
    router: Router,
    bounds: EngineLimits,
    classes: Vec<Class>,
    requests: BTreeMap<RequestId, TrackedRequest>,
    /// The requests that still need a final answer.
    tickets: BTreeMap<Ticket, RequestId>,
    /// The client ids of the tracked requests.
    open_calls: BTreeSet<Arc<str>>,
    load_orders: BTreeMap<u64, LoadOrder>,
    timers: Timers,
    /// The next id of a request or load order.
    next_id: u64,
    /// Total size of the request bodies held.
    held_bytes: usize,
    /// Events not yet passed to the decision module, including those caused by its own actions.
    pending_events: VecDeque<Event>,
    actions: Vec<Action>,
    counters: Rc<Counters>,
    /// Operations for the host, in order.
    pub commands: VecDeque<Command>,
    /// Answers of workers, recorded once [`Engine::replace_budget`] has been called: the worker, a hash of the
    /// function, and the latency, or `None` if the worker was full. Requests that started a load are left
    /// out.
    pub answers: Vec<(WorkerId, u64, Option<Micros>)>,
    records_answers: bool,
    /// Starts and ends of attempts, recorded once [`Engine::enable_tracing`] has been called.
    pub traces: Vec<AttemptTrace>,
    records_traces: bool,
}

/// The start or the end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptTrace {
    /// The worker.
    pub worker: WorkerId,
    /// When the attempt was sent.
    pub sent: Micros,
    /// `None` for a start. For an end: the outcome, a hash of the function (0 where the decision module
    /// cancelled the attempt), and the latency if a replica was already loaded.
    pub end: Option<(Outcome, u64, Option<Micros>)>,
}

/// The reason of a request that failed unrun since another one under its id is open.
pub const ID_IN_USE: &str = "its id is that of a request which is open";
/// Fraction of a class's repeat window within which a repeat must be sent: the rest allows for its transit
/// time.
const REPEAT_SEND_FRACTION: f64 = 0.95;
/// Maximum number of traces that the host has not yet collected; further ones are dropped.
const MAX_TRACES: usize = 4_096;
/// Maximum number of recorded answers that the host has not yet collected; further ones are dropped.
const MAX_RECORDED_ANSWERS: usize = 1_024;

impl Engine {
    /// Returns an engine without requests.
    pub fn new(
        settings: &Settings,
        seed: u64,
        now: Micros,
        bounds: EngineLimits,
        counters: Rc<Counters>,
    ) -> Engine {
        Engine {
            router: Router::new(settings.clone(), seed, now),
            bounds,
            classes: settings.classes.clone(),
            requests: BTreeMap::new(),
            tickets: BTreeMap::new(),
            open_calls: BTreeSet::new(),
            load_orders: BTreeMap::new(),
            timers: Timers::default(),
            next_id: 1,
            held_bytes: 0,
            pending_events: VecDeque::new(),
            actions: Vec::new(),
            counters,
            commands: VecDeque::new(),
            answers: Vec::new(),
            records_answers: false,
            traces: Vec::new(),
            records_traces: false,
        }
    }

    /// Applies new settings and bounds. Classes are identified by their index; the indices in `fresh` now
    /// denote other classes than before.
    pub fn configure(&mut self, settings: &Settings, fresh: &[usize], bounds: EngineLimits) {
        self.router.configure(settings.clone(), fresh);
        self.classes = settings.classes.clone();
        self.bounds = bounds;
    }

    /// Returns what there is to log of cold starts since the last call.
    pub fn take_cold_start_reports(&mut self) -> Vec<ColdStartReport> {
        self.router.take_cold_start_reports()
    }

    /// Sets how the budget of a worker in cold start is divided among dispatchers that know of each other:
    /// the number of serving dispatchers, the number of parts, and the index of this dispatcher's part.
    /// `None` restores the division of the settings.
    pub fn set_cold_budget_division(&mut self, division: Option<BudgetDivision>) {
        self.router.set_cold_budget_division(division);
    }

    /// Sets what the decision module may spend of the fleet's budgets from now on, and returns what remains
    /// of the previous budget. Starts the recording of `answers`.
    pub fn replace_budget(&mut self, next: Budget) -> Budget {
        self.records_answers = true;
        self.router.replace_budget(next)
    }

    /// Starts the recording of `traces`.
    pub fn enable_tracing(&mut self) {
        self.records_traces = true;
    }

    /// Handles a failed connection probe of a worker.
    pub fn probe_failed(&mut self, now: Micros, worker: &WorkerId) {
        self.router.probe_failed(now, worker);
    }

    /// Returns the indices of the classes that have open requests.
    pub fn classes_in_use(&self) -> BTreeSet<usize> {
        self.requests.values().map(|r| r.job.class).collect()
    }

    /// Returns the decision module's learned state, for a handover to another process.
    pub fn learned(&self) -> LearnedState {
        self.router.learned()
    }

    /// Adopts the learned state of another process; returns false if it cannot be used. The caller must then
    /// call `configure` and `list`.
    pub fn restore(&mut self, now: Micros, learned: LearnedState) -> bool {
        self.router.restore(now, learned)
    }

    /// Returns the number of requests that still need a final answer.
    pub fn open_requests(&self) -> usize {
        self.tickets.len()
    }

    /// Returns the total size of the request bodies held, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns when the next timer expires.
    pub fn next_timer_at(&self) -> Option<Micros> {
        self.timers.next_expiry()
    }

    /// Limits the memory that the decision module may use for functions.
    pub fn set_max_function_bytes(&mut self, bytes: usize) {
        self.router.set_max_function_bytes(bytes);
    }

    /// Passes the complete worker list to the decision module; workers absent from it have been removed.
    pub fn set_workers(&mut self, now: Micros, entries: Vec<WorkerEntry>) {
        self.handle_event(now, Event::Workers { complete: true, entries });
    }

    /// Accepts a request. Exactly one final answer follows for the ticket, unless `forget` is called for it.
    pub fn submit(&mut self, now: Micros, ticket: Ticket, job: RequestSpec) {
        // Bodies that wait for slow workers could exceed the memory limit, and the process would be killed.
        // Requests that do not fit are refused before they run.
        let full = self.held_bytes + job.body.len() > self.bounds.held_bytes
            || self.requests.len() >= self.bounds.held_requests;
        let (mut rejection, max_attempts) = self.check_repeat(&job);
        // Executors identify a request by its client's id. A second request under an open id could be
        // cancelled or answered in place of the first.
        if rejection.is_none() && self.open_calls.contains(&job.client_request_id) {
            rejection = Some(ID_IN_USE);
        }
        let id = self.track(now, ticket, job, max_attempts);
        if let Some(reason) = rejection {
            return self.answer_unrun(id, FinalAnswer::Failed(reason));
        }
        if full {
            return self.answer_unrun(id, FinalAnswer::Refused(self.bounds.retry_after));
        }
        let Some(request) = self.requests.get(&id) else { return };
        let (job, deadline) = (request.job.clone(), request.deadline);
        if job.prior_delivery != PriorDelivery::None {
            count(&self.counters.repeats_run);
        }
        self.open_calls.insert(job.client_request_id.clone());
        self.timers.add(deadline, TimerKind::RequestDeadline(id));
        let event = Event::Request {
            id,
            class: job.class,
            tenant: job.tenant,
            function: job.function.clone(),
            replica_concurrency: job.replica_concurrency,
            load_time: job.load_time,
            work_hint: job.work_hint,
            is_retry: job.is_retry,
            time_left: job.time_left,
        };
        self.handle_event(now, event);
    }

    /// Answers a request that its front's limits don't allow to run: as refused, or as failed if it may have run before and
    /// must not simply be sent again.
    pub fn refuse(&mut self, now: Micros, ticket: Ticket, job: RequestSpec, retry_after: Micros) {
        let (rejection, max_attempts) = self.check_repeat(&job);
        let id = self.track(now, ticket, job, max_attempts);
        self.answer_unrun(id, rejection.map_or(FinalAnswer::Refused(retry_after), FinalAnswer::Failed));
    }

    /// Adds a request that still needs its final answer, and returns its id.
    fn track(&mut self, now: Micros, ticket: Ticket, job: RequestSpec, max_attempts: usize) -> RequestId {
        count(&self.counters.requests_taken);
        let id = self.next_id;
        self.next_id += 1;
        self.tickets.insert(ticket, id);
        self.held_bytes += job.body.len();
        let deadline = now.saturating_add(job.time_left);
        let class = self.classes.get(job.class).copied();
        let (job, attempts) = (Rc::new(job), Vec::new());
        let request =
            TrackedRequest { ticket, job, class, deadline, answered: false, max_attempts, attempts };
        self.requests.insert(id, request);
        id
    }

    /// Gives the final answer to a request without an attempt, and removes it.
    fn answer_unrun(&mut self, id: RequestId, answer: FinalAnswer) {
        let repeated = |r: &TrackedRequest| r.job.prior_delivery != PriorDelivery::None;
        if self.requests.get(&id).is_some_and(repeated) {
            count(&self.counters.repeats_not_run);
        }
        self.answer(id, answer);
        self.remove(id);
    }

    /// Returns the reason why a request that may have run before must not run again, if there is one, and the
    /// maximum number of its attempts.
    fn check_repeat(&self, job: &RequestSpec) -> (Option<&'static str>, usize) {
        let class = self.classes.get(job.class);
        match class.map(|class| repeats::admit(class, job, self.bounds.send_lag)) {
            None | Some(Admission::Unrestricted) => (None, self.bounds.attempts),
            Some(Admission::SingleAttempt) => (None, 1),
            Some(Admission::Denied(reason)) => (Some(reason), 0),
        }
    }

    /// Drops a request whose client no longer waits: no answer is given, and unsent attempts are cancelled.
    pub fn abandon(&mut self, now: Micros, ticket: Ticket) {
        let Some(id) = self.tickets.remove(&ticket) else { return };
        count(&self.counters.requests_forgotten);
        if let Some(request) = self.requests.get_mut(&id) {
            request.answered = true;
        }
        self.handle_event(now, Event::Abandoned { id });
        self.recall_unsent(id);
        self.remove_if_finished(id);
    }

    /// Handles a client that has closed its end of the connection and has probably gone: no further attempt
    /// is sent for the request. Attempts already sent may still be answered.
    pub fn client_closed(&mut self, ticket: Ticket) {
        let Some(id) = self.tickets.get(&ticket).copied() else { return };
        count(&self.counters.requests_hung_up);
        if let Some(request) = self.requests.get_mut(&id) {
            request.max_attempts = request.attempts.len();
        }
        self.recall_unsent(id);
    }

    /// Cancels the attempts of a request of which nothing has been sent. Otherwise an attempt that waits for
    /// its connection could still be sent long after the client has gone.
    fn recall_unsent(&mut self, id: RequestId) {
        let attempts = self.requests.get(&id).map_or(&[][..], |r| &r.attempts);
        let open = attempts.iter().enumerate().filter(|(_, a)| a.open);
        let command = |(number, _)| Command::CancelIfUnsent { attempt: AttemptId { request: id, number } };
        self.commands.extend(open.map(command));
    }

    /// Fails every request that still needs an answer, because the process is about to exit.
    pub fn fail_open_requests(&mut self, now: Micros) {
        let unanswered: Vec<RequestId> = self.tickets.values().copied().collect();
        for id in unanswered {
            self.answer(id, FinalAnswer::Failed("the dispatcher is being stopped"));
            self.handle_event(now, Event::Abandoned { id });
            self.remove_if_finished(id);
        }
    }

    /// Handles the end of an attempt.
    pub fn attempt_ended(&mut self, now: Micros, id: AttemptId, result: AttemptResult) {
        let counters = self.counters.clone();
        let Some(request) = self.requests.get_mut(&id.request) else { return count(&counters.late_answers) };
        let Some(attempt) = request.attempts.get_mut(id.number).filter(|a| a.open) else {
            return count(&counters.late_answers);
        };
        attempt.open = false;
        attempt.may_have_run = !matches!(
            result.outcome,
            Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Miss
        );
        count(match result.outcome {
            Outcome::Ok => &counters.ended_ok,
            Outcome::Error | Outcome::Unknown => &counters.ended_error,
            Outcome::Full => &counters.ended_full,
            Outcome::Timeout => &counters.ended_timeout,
            Outcome::ConnectFailed => &counters.ended_no_connect,
            Outcome::Reset => &counters.ended_reset,
            Outcome::Cancelled => &counters.ended_cancelled,
            Outcome::NotSent => &counters.ended_moot,
            Outcome::Miss => &counters.ended_miss,
        });
        let latency = now.saturating_sub(attempt.sent_at);
        if self.records_answers
            && self.answers.len() < MAX_RECORDED_ANSWERS
            && matches!(result.outcome, Outcome::Ok | Outcome::Full)
        {
            let mut function_hash = SipHasher13::new();
            request.job.function.hash(&mut function_hash);
            let sample = (result.outcome == Outcome::Ok && result.found != ReplicaStatus::LoadStarted)
                .then_some(latency);
            if sample.is_some() || result.outcome == Outcome::Full {
                self.answers.push((attempt.worker.clone(), function_hash.finish(), sample));
            }
        }
        if self.records_traces && self.traces.len() < MAX_TRACES {
            let mut function_hash = SipHasher13::new();
            request.job.function.hash(&mut function_hash);
            let sample = (result.found == ReplicaStatus::Warm).then_some(latency);
            let end = Some((result.outcome, function_hash.finish(), sample));
            self.traces.push(AttemptTrace { worker: attempt.worker.clone(), sent: attempt.sent_at, end });
        }
        if result.outcome == Outcome::Ok {
            self.answer(id.request, FinalAnswer::Served(result.body));
        }
        let last = self.requests.get(&id.request).is_none_or(|r| r.answered);
        let AttemptResult { outcome, found, concurrent_requests: crowd, report, .. } = result;
        let AttemptId { request: id, number: attempt } = id;
        self.handle_event(
            now,
            Event::AttemptEnded {
                id,
                attempt,
                is_final: last,
                outcome,
                found,
                concurrent_requests: crowd,
                latency,
                report,
            },
        );
        self.remove_if_finished(id);
    }

    /// Handles the end of a load order.
    pub fn load_order_ended(&mut self, now: Micros, order: u64, outcome: Outcome, replicas: u32) {
        let Some(LoadOrder { worker, function, sent_at }) = self.load_orders.remove(&order) else { return };
        self.handle_event(now, Event::Loaded { worker, function, outcome, latency: now - sent_at, replicas });
    }

    /// Handles the timers that have expired.
    pub fn advance(&mut self, now: Micros) {
        while let Some(timer) = self.timers.pop_expired(now) {
            match timer {
                TimerKind::AttemptTimeout(attempt) => {
                    let state =
                        self.requests.get(&attempt.request).and_then(|r| r.attempts.get(attempt.number));
                    if state.is_some_and(|a| a.open) {
                        self.commands.push_back(Command::Cancel { attempt });
                        self.attempt_ended(now, attempt, AttemptResult::from_outcome(Outcome::Timeout));
                    }
                }
                TimerKind::RepeatSendDeadline(attempt) => {
                    let state =
                        self.requests.get(&attempt.request).and_then(|r| r.attempts.get(attempt.number));
                    if state.is_some_and(|a| a.open) {
                        self.commands.push_back(Command::CancelIfUnsent { attempt });
                    }
                }
                TimerKind::RouterWakeup(cookie) => self.handle_event(now, Event::Timer { cookie }),
                TimerKind::RequestDeadline(id) => {
                    // The engine enforces the deadline itself, so that a request the decision module keeps
                    // for too long still gets its final answer in time.
                    if self.requests.get(&id).is_some_and(|r| !r.answered) {
                        self.answer(id, FinalAnswer::Failed("out of time"));
                        self.handle_event(now, Event::Abandoned { id });
                        self.remove_if_finished(id);
                    }
                }
                TimerKind::LoadOrderTimeout(order) => self.load_order_ended(now, order, Outcome::Timeout, 0),
            }
        }
    }

    /// Passes an event to the decision module and carries out its actions, until no events are pending.
    fn handle_event(&mut self, now: Micros, event: Event) {
        self.pending_events.push_back(event);
        while let Some(event) = self.pending_events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.router.handle(now, &event, &mut actions);
            let tally = self.router.counters();
            self.counters.cold_turns.set(tally.cold_turns);
            self.counters.cold_sends_without_permit.set(tally.cold_sends_without_permit);
            self.counters.loads_left.set(tally.renewals_skipped);
            actions.drain(..).for_each(|action| self.apply(now, action));
            self.actions = actions;
        }
    }

    /// Carries out one action of the decision module.
    fn apply(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { id, worker, deadline: until } => self.start_attempt(now, id, worker, until),
            Action::Refuse { id, retry_after } => {
                self.answer(id, FinalAnswer::Refused(retry_after));
                self.remove_if_finished(id);
            }
            Action::Fail { id } => {
                self.answer(id, FinalAnswer::Failed("not served in time"));
                self.remove_if_finished(id);
            }
            Action::Cancel { id, attempt: number } => {
                let Some(request) = self.requests.get_mut(&id) else { return };
                let Some(attempt) = request.attempts.get_mut(number).filter(|a| a.open) else { return };
                attempt.open = false;
                let (latency, last) = (now - attempt.sent_at, request.answered);
                if self.records_traces && self.traces.len() < MAX_TRACES {
                    let end = Some((Outcome::Cancelled, 0, None));
                    self.traces.push(AttemptTrace {
                        worker: attempt.worker.clone(),
                        sent: attempt.sent_at,
                        end,
                    });
                }
                count(&self.counters.ended_cancelled);
                self.commands.push_back(Command::Cancel { attempt: AttemptId { request: id, number } });
                self.queue_outcome(id, number, last, Outcome::Cancelled, latency);
                self.remove_if_finished(id);
            }
            Action::Load { worker, function, replicas } => {
                let order = self.next_id;
                self.next_id += 1;
                let load_order =
                    LoadOrder { worker: worker.clone(), function: function.clone(), sent_at: now };
                self.load_orders.insert(order, load_order);
                self.timers.add(now + self.bounds.load_wait, TimerKind::LoadOrderTimeout(order));
                self.commands.push_back(Command::OrderLoad { order, worker, function, replicas });
            }
            Action::Timer { at, cookie } => self.timers.add(at, TimerKind::RouterWakeup(cookie)),
            // The host passes the worker list without being asked.
            Action::WatchWorkers => {}
        }
    }

    /// Queues the end of an attempt that no executor answered as an event for the decision module.
    fn queue_outcome(
        &mut self,
        id: RequestId,
        attempt: usize,
        last: bool,
        outcome: Outcome,
        latency: Micros,
    ) {
        let (found, crowd, report) = (ReplicaStatus::NotReported, None, vec![]);
        self.pending_events.push_back(Event::AttemptEnded {
            id,
            attempt,
            is_final: last,
            outcome,
            found,
            concurrent_requests: crowd,
            latency,
            report,
        });
    }

    /// Starts an attempt, or ends it as moot if the request's deadline, answer or number of attempts rules it
    /// out.
    fn start_attempt(&mut self, now: Micros, id: RequestId, worker: WorkerId, until: Option<Micros>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let number = request.attempts.len();
        let until = until.unwrap_or(request.deadline).min(request.deadline);
        let allowed = !request.answered && number < request.max_attempts && until > now;
        let attempt = Attempt { worker: worker.clone(), sent_at: now, open: allowed, may_have_run: allowed };
        request.attempts.push(attempt);
        if !allowed {
            let last = request.answered;
            count(&self.counters.ended_moot);
            return self.queue_outcome(id, number, last, Outcome::NotSent, 0);
        }
        count(&self.counters.attempts_sent);
        if self.records_traces && self.traces.len() < MAX_TRACES {
            self.traces.push(AttemptTrace { worker: worker.clone(), sent: now, end: None });
        }
        let attempt = AttemptId { request: id, number };
        let job = request.job.clone();
        self.timers.add(until, TimerKind::AttemptTimeout(attempt));
        if let Some(send_deadline) = self.repeat_send_deadline(id, now) {
            self.timers.add(send_deadline, TimerKind::RepeatSendDeadline(attempt));
        }
        self.commands.push_back(Command::Send { attempt, worker, wait: until - now, job });
    }

    /// Returns the latest time at which the attempt just started may be sent, if an earlier one may have run.
    fn repeat_send_deadline(&self, id: RequestId, now: Micros) -> Option<Micros> {
        let request = self.requests.get(&id)?;
        repeats::send_deadline(request.class.as_ref()?, request.job.prior_delivery, &request.attempts, now)
    }

    /// Gives the final answer, unless it has been given or is no longer needed.
    fn answer(&mut self, id: RequestId, answer: FinalAnswer) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| !r.answered) else { return };
        request.answered = true;
        let may_have_run = request.class.as_ref().is_some_and(|class| {
            repeats::retry_may_run_twice(class, request.job.prior_delivery, &request.attempts)
        });
        let answer = match answer {
            FinalAnswer::Refused(retry_after) if may_have_run => FinalAnswer::RefusedMayHaveRun(retry_after),
            answer => answer,
        };
        count(match answer {
            FinalAnswer::Served(_) => &self.counters.answers_served,
            FinalAnswer::Refused(_) | FinalAnswer::RefusedMayHaveRun(_) => &self.counters.answers_refused,
            FinalAnswer::Failed(_) => &self.counters.answers_failed,
        });
        self.tickets.remove(&request.ticket);
        self.commands.push_back(Command::Answer { ticket: request.ticket, answer });
    }

    /// Removes a request once it is answered and none of its attempts is open.
    fn remove_if_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|r| r.answered && r.attempts.iter().all(|a| !a.open)) {
            if let Some(request) = self.requests.get(&id) {
                self.open_calls.remove(&request.job.client_request_id);
            }
            self.remove(id);
        }
    }

    fn remove(&mut self, id: RequestId) {
        let request = self.requests.remove(&id);
        self.held_bytes -= request.map_or(0, |r| r.job.body.len());
    }
}

#[cfg(test)]
mod tests;
