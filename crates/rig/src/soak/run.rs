//! Executes a plan: starts the dispatchers, the stub workers, the name services and the clients, applies the plan's events at
//! their times, stops everything and has the records judged. One loop on the calling thread applies all events; clients and stubs
//! run on threads of their own.

use super::client::{self, Endpoint, PlantedRecord};
use super::judge::{self, Rule, RuleLimits, Violation};
use super::plan::{Event, Plan, WARM_UP_MS};
use super::record::{Dispatcher, Micros, ProcessEvent, ProcessRecord, Recorder, Records};
use super::service::{Entry, ListHistory, Service};
use super::worker::{self, Worker};
use crate::stand::{self, Client, Program, Reply};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// SIGKILL follows SIGTERM after this and the longest deadline of a class.
const KILL_AFTER_US: Micros = 700_000;
/// The upper limit on the longest deadline in that sum.
const MAX_LONGEST_DEADLINE_US: Micros = 3_000_000;
/// Clients may open new connections for this long after SIGTERM.
const CONNECTIONS_AFTER_STOP_US: Micros = 300_000;
/// A dispatcher is restarted this long after its end.
const RESTART_DELAY_US: Micros = 300_000;
/// A draining worker is removed from the list after this.
const DRAIN_DURATION_US: Micros = 2_500_000;
/// A worker keeps running this long after its removal from the list, to record what is still sent to it.
const RUNS_AFTER_REMOVAL_US: Micros = 2_500_000;
/// The interval at which the run's loop checks for due events.
const TICK: Duration = Duration::from_millis(2);
/// The number of ready workers that no event may reduce further.
const MIN_READY_WORKERS: usize = 2;
/// A planted violation of `failback` records each request to a cold worker this many times.
const PLANTED_RECORDS_PER_REQUEST: usize = 100;
/// How long to wait for a process to report that it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// The files that the processes of a run are started from.
#[derive(Clone, Debug)]
pub struct Build {
    /// The dispatcher's executable.
    pub program: PathBuf,
    /// The preloaded library that fails system calls; `None` for no such faults.
    pub shim: Option<PathBuf>,
}

/// The result of a run.
pub struct Outcome {
    /// All records.
    pub records: Records,
    /// The violations that the judge found.
    pub violations: Vec<Violation>,
    /// The directory with the processes' standard error.
    pub logs: PathBuf,
}

/// An action that an earlier event scheduled.
enum DeferredAction {
    RefuseConnections(Dispatcher),
    KillAfterTerm(Dispatcher, usize),
    Restart(Dispatcher),
    Resume(u32),
    RemoveFromList(String),
    StopWorker(String),
    StartWorkerAgain(String, SocketAddr),
}

struct DispatcherState {
    service: Service,
    program: Option<Program>,
    process_number: usize,
    endpoint: Arc<Mutex<Endpoint>>,
    state_dir: Option<PathBuf>,
    paused_until: Micros,
    /// It is being stopped, started or restarted, so that no event selects it.
    in_transition: bool,
}

struct Run {
    plan: Plan,
    build: Build,
    plant: Option<Rule>,
    recorder: Arc<Recorder>,
    list_history: Arc<ListHistory>,
    workers: BTreeMap<String, Worker>,
    old_addresses: Vec<SocketAddr>,
    /// The ids and addresses of workers that were removed from the list and stopped.
    stopped_workers: Vec<(String, SocketAddr)>,
    first_restarted: Option<String>,
    last_restarted: Option<String>,
    /// Clients send without pauses until this time.
    crowd_until: Arc<AtomicU64>,
    next_worker: usize,
    dispatchers: Vec<DispatcherState>,
    deferred: Vec<(Micros, DeferredAction)>,
    stopped: Arc<AtomicBool>,
    starting: Vec<(Dispatcher, usize, JoinHandle<bool>)>,
    logs: PathBuf,
}

/// Executes a plan and judges its records. With `plant` a stub breaks that rule on purpose, to verify that the judge finds it.
pub fn play(plan: Plan, build: Build, plant: Option<Rule>) -> Outcome {
    let limits = limits(&plan);
    let mut run = Run::set_up(plan, build, plant);
    let clients = run.clients();
    run.apply_events();
    run.stopped.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|c| c.join().expect("a client ends"));
    run.finish();
    let mut records = run.recorder.records();
    records.process_errors.extend(panics(&run.logs));
    let violations = judge::judge(&records, limits);
    Outcome { records, violations, logs: run.logs.clone() }
}

fn limits(plan: &Plan) -> RuleLimits {
    RuleLimits {
        drain_grace: 250_000,
        repeat_window: plan.deadlines_ms[1] * 1_000,
        overload_window: 1_500_000,
        overload_multiple: 2.0,
        cold_share: 0.15,
        warm_after: WARM_UP_MS * 1_000,
    }
}

/// Returns the panics in the processes' standard error.
fn panics(logs: &PathBuf) -> Vec<String> {
    let files = std::fs::read_dir(logs).into_iter().flatten().flatten();
    let texts = files.filter_map(|f| Some((f.file_name(), std::fs::read_to_string(f.path()).ok()?)));
    let panic_lines = |(name, text): (std::ffi::OsString, String)| {
        let lines = text.lines().filter(|l| l.contains("panicked at"));
        lines.map(|l| format!("{}: {l}", name.display())).collect::<Vec<String>>()
    };
    texts.flat_map(panic_lines).collect()
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Run {
    fn set_up(plan: Plan, build: Build, plant: Option<Rule>) -> Run {
        let recorder = Arc::new(Recorder::default());
        let mut run = Run {
            plant,
            recorder: recorder.clone(),
            list_history: Arc::default(),
            workers: BTreeMap::new(),
            old_addresses: Vec::new(),
            stopped_workers: Vec::new(),
            first_restarted: None,
            last_restarted: None,
            crowd_until: Arc::default(),
            next_worker: 0,
            dispatchers: Vec::new(),
            deferred: Vec::new(),
            stopped: Arc::default(),
            starting: Vec::new(),
            logs: stand::folder(),
            plan,
            build,
        };
        let entries = (0..run.plan.workers).map(|_| run.start_worker(None, false)).collect();
        run.list_history = Arc::new(ListHistory::new(entries));
        for n in 0..run.plan.dispatchers {
            let shared = (run.list_history.clone(), recorder.clone());
            let false_notices = run.plant == Some(Rule::Drain);
            let seed = run.plan.seed << 8 | n as u64;
            let service = Service::start(n, run.plan.service, seed, shared, false_notices);
            let state_dir = run.plan.persistent_state_dir.then(stand::folder);
            let (endpoint, program) = (Arc::default(), None);
            run.dispatchers.push(DispatcherState {
                service,
                program,
                process_number: 0,
                endpoint,
                state_dir,
                paused_until: 0,
                in_transition: false,
            });
            run.start(n);
        }
        while !run.starting.is_empty() {
            run.collect_ready();
            std::thread::sleep(TICK);
        }
        run
    }

    fn start_worker(&mut self, address: Option<SocketAddr>, cold: bool) -> Entry {
        let id = format!("s{}", self.next_worker);
        self.next_worker += 1;
        self.start_worker_as(id, address, cold)
    }

    /// Starts a worker's process under this id, at this address if it is free.
    fn start_worker_as(&mut self, id: String, address: Option<SocketAddr>, cold: bool) -> Entry {
        let started_ms = if cold { unix_ms() } else { 0 };
        let settings = |address| worker::WorkerSettings {
            id: id.clone(),
            address,
            cold,
            started_ms,
            seed: self.plan.seed << 8 | self.next_worker as u64,
            records_per_line: match self.plant {
                Some(Rule::Duplicate) => 2,
                Some(Rule::Failback) if cold => PLANTED_RECORDS_PER_REQUEST,
                _ => 1,
            },
        };
        // Another process may have taken the old address since.
        let worker = Worker::start(settings(address), self.recorder.clone());
        let worker =
            worker.or_else(|_| Worker::start(settings(None), self.recorder.clone())).expect("a worker");
        let entry = Entry { id: id.clone(), address: worker.address, draining: false, started_ms };
        self.workers.insert(id, worker);
        entry
    }

    fn record_process(&self, dispatcher: Dispatcher, process_number: usize, event: ProcessEvent) {
        let at = self.recorder.now();
        self.recorder.write(|r| r.processes.push(ProcessRecord { dispatcher, process_number, at, event }));
    }

    fn config(&self, n: Dispatcher, entries: &[Entry], offset: u64) -> Value {
        let instances: Vec<Value> = entries
            .iter()
            .map(|e| {
                let state = if e.draining { "terminating" } else { "in_service" };
                json!({"instanceId": e.id, "hostPort": e.address.to_string(), "zone": "a", "machineType": "std",
                       "cell": 0, "lifecycle": state, "weight": 4, "startedAtMs": e.started_ms})
            })
            .collect();
        let plan = &self.plan;
        let effects = ["idempotent", "deduplicated", "at_most_once"];
        let lanes: Vec<Value> = (super::record::Class::ALL.iter().zip(effects).zip(plan.deadlines_ms))
            .map(|((class, effect), deadline_ms)| {
                json!({"name": class.name(), "effect": effect, "key_scope": "all",
                       "promise_us": deadline_ms * 500, "deadline_us": deadline_ms * 1_000,
                       "repeat_window_us": deadline_ms * 1_000, "credit": 1.0, "late_worth": 0.2})
            })
            .collect();
        let limits = limits(plan);
        json!({
            "name": format!("n{n}"), "listen": "127.0.0.1:0",
            "seed": format!("{:016x}", plan.seed << 16 | (n as u64) << 8 | self.dispatchers[n].process_number as u64),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "names": self.dispatchers[n].service.address.to_string(),
            "known": {"offset": offset, "batch": [
                {"offset": offset, "topology": {"generation": 1, "reset": true, "instances": instances}}]},
            "settings": {
                "balancers": plan.dispatchers, "me": n, "my_zone": 0, "zones": ["a"], "kinds": ["std"],
                "tick_us": 4000, "lanes": lanes,
                "orgs": [{"name": "acme", "quota_per_s": 10_000.0}],
                "limits": {"cancel": true, "may_duplicate": plan.seed.is_multiple_of(2), "send_cap": 3, "retry_after": true,
                           "max_retry_after_us": 200_000, "connect_timeout_us": plan.connect_timeout_ms * 1_000,
                           "keepalive_us": plan.keep_alive_ms * 1_000, "streams_per_conn": 32, "max_open": 1000},
                "rules": {"cold_share": limits.cold_share, "fall_multiple": limits.overload_multiple,
                          "fall_us": limits.overload_window, "warm_after_us": limits.warm_after,
                          "stop_sending_within_us": limits.drain_grace},
                "family_info": {"keep_alive_us": 3_000_000, "tells_warm": true, "miss_mode": "load",
                                "notes_peers_in_hand": true, "orders": true, "load_window_us": 5_000_000,
                                "loads_anyway": 6.0, "loads_per_request": 0.3, "load_wait_us": 10_000_000}}})
    }

    fn start(&mut self, n: Dispatcher) {
        let process_number = self.dispatchers[n].process_number;
        let entries = self.dispatchers[n].service.start_numbering(process_number);
        let config = self.config(n, &entries, 1);
        let mut command = stand::tied(&self.build.program);
        let log = File::create(self.logs.join(format!("n{n}-{process_number}.log"))).expect("a log");
        command.arg("run").stderr(log);
        if let Some(shim) = &self.build.shim {
            let plan = &self.plan;
            let shim_settings = format!(
                "seed={};per_mille={};from_ms={};to_ms={};step_at_ms={};step_ms={}",
                plan.seed << 8 | n as u64,
                plan.failing_calls_per_mille,
                plan.failing_period_ms.0,
                plan.failing_period_ms.1,
                plan.clock_step_at_ms,
                plan.clock_step_ms
            );
            command.env("LD_PRELOAD", shim).env("OCHREWARD_SHIM", shim_settings);
        }
        self.record_process(n, process_number, ProcessEvent::Started);
        let state_dir = self.dispatchers[n].state_dir.clone();
        let program = match &state_dir {
            Some(state_dir) => Program::launched_in(command, state_dir, &config),
            None => Program::launched(command, &config),
        };
        let address = program.address;
        let dispatcher = &mut self.dispatchers[n];
        dispatcher.program = Some(program);
        dispatcher.in_transition = true;
        let ready = std::thread::spawn(move || wait_until_ready(address));
        self.starting.push((n, process_number, ready));
    }

    fn collect_ready(&mut self) {
        let mut index = 0;
        while index < self.starting.len() {
            if !self.starting[index].2.is_finished() {
                index += 1;
                continue;
            }
            let (n, process_number, ready) = self.starting.remove(index);
            let dispatcher = &mut self.dispatchers[n];
            if process_number != dispatcher.process_number {
                continue;
            }
            dispatcher.in_transition = false;
            if ready.join().unwrap_or(false) {
                let address = dispatcher.program.as_ref().map(|p| p.address);
                *dispatcher.endpoint.lock().expect("the endpoint lock") =
                    Endpoint { address, accepts_connections: true };
                self.record_process(n, process_number, ProcessEvent::Ready);
            } else {
                let error = format!("n{n} process {process_number} did not become ready");
                self.recorder.write(|r| r.process_errors.push(error));
            }
        }
    }

    fn clients(&self) -> Vec<JoinHandle<()>> {
        let mut clients = Vec::new();
        for (n, dispatcher) in self.dispatchers.iter().enumerate() {
            let extra = if n == 0 { self.plan.extra_clients } else { 0 };
            for number in 0..(self.plan.clients + extra) as u64 {
                let planted = match self.plant {
                    Some(Rule::Lost) => Some(PlantedRecord::Lost),
                    Some(Rule::Gone) => Some(PlantedRecord::Gone),
                    _ => None,
                };
                let seed = self.plan.seed << 20 | (n as u64) << 10 | number;
                let deadlines_ms = self.plan.deadlines_ms;
                let crowd_until = self.crowd_until.clone();
                let settings = client::ClientSettings {
                    dispatcher: n,
                    number,
                    seed,
                    deadlines_ms,
                    planted,
                    crowd_until,
                };
                let (endpoint, recorder) = (dispatcher.endpoint.clone(), self.recorder.clone());
                let stopped = self.stopped.clone();
                clients.push(std::thread::spawn(move || client::run(settings, endpoint, recorder, &stopped)));
            }
        }
        clients
    }

    fn apply_events(&mut self) {
        let started = self.recorder.now();
        let mut events = std::mem::take(&mut self.plan.events).into_iter().peekable();
        while self.recorder.now() < started + self.plan.length_ms * 1_000 {
            let now = self.recorder.now();
            while let Some((_, event)) = events.next_if(|(at, _)| started + at * 1_000 <= now) {
                self.apply_event(event);
            }
            self.run_due_actions(now);
            self.collect_ready();
            self.detect_exits();
            std::thread::sleep(TICK);
        }
    }

    fn run_due_actions(&mut self, now: Micros) {
        let mut index = 0;
        while index < self.deferred.len() {
            if self.deferred[index].0 > now {
                index += 1;
                continue;
            }
            let (_, deferred) = self.deferred.swap_remove(index);
            self.run_deferred(deferred);
        }
    }

    fn schedule(&mut self, time: Micros, deferred: DeferredAction) {
        self.deferred.push((self.recorder.now() + time, deferred));
    }

    fn run_deferred(&mut self, deferred: DeferredAction) {
        match deferred {
            DeferredAction::RefuseConnections(n) => {
                self.dispatchers[n].endpoint.lock().expect("the endpoint lock").accepts_connections = false
            }
            DeferredAction::KillAfterTerm(n, process_number) => self.kill_after_term(n, process_number),
            DeferredAction::Restart(n) => {
                self.dispatchers[n].process_number += 1;
                self.start(n);
            }
            DeferredAction::Resume(pid) => signal(pid, Signal::CONT),
            DeferredAction::RemoveFromList(id) => {
                self.list_history.change(|entries| entries.retain(|e| e.id != id));
                self.schedule(RUNS_AFTER_REMOVAL_US, DeferredAction::StopWorker(id));
            }
            DeferredAction::StopWorker(id) => {
                if let Some(mut worker) = self.workers.remove(&id) {
                    worker.stop();
                    self.old_addresses.push(worker.address);
                    self.stopped_workers.push((id, worker.address));
                }
            }
            DeferredAction::StartWorkerAgain(id, address) => self.start_worker_again(id, address),
        }
    }

    /// Selects a worker that is listed as ready; `None` if too few would be left.
    fn ready_worker(&self, selector: u64) -> Option<String> {
        let (_, entries) = self.list_history.now();
        let ready: Vec<&Entry> = entries.iter().filter(|e| !e.draining).collect();
        (ready.len() > MIN_READY_WORKERS).then(|| ready[selector as usize % ready.len()].id.clone())
    }

    /// Selects a running worker, listed or not.
    fn running_worker(&self, selector: u64) -> Option<&Worker> {
        self.workers.values().nth(selector as usize % self.workers.len().max(1))
    }

    /// Selects a dispatcher; `None` if it is paused, stopping or starting.
    fn serving_dispatcher(&self, selector: u64) -> Option<Dispatcher> {
        let n = selector as usize % self.dispatchers.len();
        let dispatcher = &self.dispatchers[n];
        let selectable = !dispatcher.in_transition
            && dispatcher.program.is_some()
            && self.recorder.now() > dispatcher.paused_until;
        selectable.then_some(n)
    }

    fn apply_event(&mut self, event: Event) {
        let now = self.recorder.now();
        match event {
            Event::Drain(selector) => {
                let Some(id) = self.ready_worker(selector) else { return };
                self.recorder.fault("worker drains");
                self.list_history.change(|entries| {
                    entries.iter_mut().filter(|e| e.id == id).for_each(|e| e.draining = true);
                });
                self.schedule(DRAIN_DURATION_US, DeferredAction::RemoveFromList(id));
            }
            Event::Remove(selector) => {
                let Some(id) = self.ready_worker(selector) else { return };
                self.recorder.fault("worker removed without drain");
                self.run_deferred(DeferredAction::RemoveFromList(id));
            }
            Event::Add => self.add_worker(None),
            Event::AddAtReusedAddress => {
                let old = self.old_addresses.pop();
                self.add_worker(old);
            }
            Event::Hang(selector, ms) => {
                self.recorder.fault("worker hangs");
                self.running_worker(selector).into_iter().for_each(|w| w.hang(now + ms * 1_000));
            }
            Event::Reset(selector) => {
                self.recorder.fault("worker resets connections");
                self.running_worker(selector).into_iter().for_each(Worker::reset);
            }
            Event::CloseConnections(selector) => {
                self.recorder.fault("worker closes connections");
                self.running_worker(selector).into_iter().for_each(Worker::close);
            }
            Event::DelayConnections(selector, ms) => {
                self.recorder.fault("connections delayed");
                self.running_worker(selector).into_iter().for_each(|w| w.delay_connections(now + ms * 1_000));
            }
            Event::Pause(selector, ms) => self.pause(selector, ms * 1_000),
            Event::Reload(selector, initial_list) => self.reload(selector, initial_list),
            Event::Stop(selector) => self.stop(selector),
            Event::Kill(selector) => self.kill(selector),
            Event::RestartWorker(selector, ms) => {
                let Some(id) = self.ready_worker(selector) else { return };
                self.restart_worker(id, ms);
            }
            Event::RestartWorkerAgain(ms) => {
                let Some(id) = self.last_restarted.clone() else { return };
                self.restart_worker(id, ms);
            }
            Event::RestartFirstAgain(ms) => {
                let Some(id) = self.first_restarted.clone() else { return };
                self.restart_worker(id, ms);
            }
            Event::ReturnWorker(same_address) => self.return_worker(same_address),
            Event::Crowd(ms) => {
                self.recorder.fault("crowd of requests");
                self.crowd_until.fetch_max(now + ms * 1_000, Ordering::SeqCst);
            }
            Event::SilenceNames(ms) => {
                self.recorder.fault("name service silent");
                self.dispatchers.iter().for_each(|m| m.service.silence_until(now + ms * 1_000));
            }
        }
    }

    fn add_worker(&mut self, address: Option<SocketAddr>) {
        self.recorder.fault(if address.is_some() {
            "worker added at an old address"
        } else {
            "worker added"
        });
        let entry = self.start_worker(address, true);
        self.list_history.change(|entries| entries.push(entry));
    }

    /// Ends a listed worker's process, and starts another one in its place after some milliseconds.
    fn restart_worker(&mut self, id: String, ms: u64) {
        let Some(mut worker) = self.workers.remove(&id) else { return };
        worker.stop();
        self.first_restarted.get_or_insert(id.clone());
        self.last_restarted = Some(id.clone());
        self.schedule(ms * 1_000, DeferredAction::StartWorkerAgain(id, worker.address));
    }

    fn start_worker_again(&mut self, id: String, address: SocketAddr) {
        let (_, entries) = self.list_history.now();
        if !entries.iter().any(|e| e.id == id) || self.workers.contains_key(&id) {
            return;
        }
        let new = self.start_worker_as(id.clone(), Some(address), true);
        let is_cold = entries.iter().any(|e| {
            e.id == id && new.started_ms.saturating_sub(e.started_ms) < limits(&self.plan).warm_after / 1_000
        });
        self.recorder.fault(if is_cold { "worker restarted while warming" } else { "worker restarted" });
        self.list_history.change(|entries| {
            for entry in entries.iter_mut().filter(|e| e.id == id) {
                (entry.address, entry.started_ms) = (new.address, new.started_ms);
            }
        });
    }

    fn return_worker(&mut self, same_address: bool) {
        let Some((id, address)) = self.stopped_workers.pop() else { return };
        self.recorder.fault(if same_address { "worker returned" } else { "worker returned elsewhere" });
        let entry = self.start_worker_as(id, Some(address).filter(|_| same_address), true);
        self.list_history.change(|entries| entries.push(entry));
    }

    fn pause(&mut self, selector: u64, time: Micros) {
        let Some(n) = self.serving_dispatcher(selector) else { return };
        let Some(pid) = self.dispatchers[n].program.as_ref().map(|p| p.child.id()) else { return };
        self.recorder.fault("SIGSTOP");
        self.dispatchers[n].paused_until = self.recorder.now() + time;
        self.record_process(n, self.dispatchers[n].process_number, ProcessEvent::Paused(time));
        signal(pid, Signal::STOP);
        self.schedule(time, DeferredAction::Resume(pid));
    }

    fn reload(&mut self, selector: u64, initial_list: bool) {
        let n = selector as usize % self.dispatchers.len();
        let (_, now) = self.list_history.now();
        let entries = if initial_list { self.list_history.version(0) } else { now };
        let offset = if initial_list { 1_000 } else { 1 };
        let config = self.config(n, &entries, offset);
        let Some(program) = &self.dispatchers[n].program else { return };
        if std::fs::write(&program.path, config.to_string()).is_ok() {
            self.recorder.fault(if initial_list { "SIGHUP, an old list" } else { "SIGHUP" });
            signal(program.child.id(), Signal::HUP);
        }
    }

    fn stop(&mut self, selector: u64) {
        let Some(n) = self.serving_dispatcher(selector) else { return };
        let Some(pid) = self.dispatchers[n].program.as_ref().map(|p| p.child.id()) else { return };
        self.recorder.fault("SIGTERM");
        let process_number = self.dispatchers[n].process_number;
        self.dispatchers[n].in_transition = true;
        self.record_process(n, process_number, ProcessEvent::Terminated);
        signal(pid, Signal::TERM);
        let longest_deadline = self.plan.deadlines_ms.iter().max().copied().unwrap_or_default() * 1_000;
        self.schedule(CONNECTIONS_AFTER_STOP_US, DeferredAction::RefuseConnections(n));
        self.schedule(
            longest_deadline.min(MAX_LONGEST_DEADLINE_US) + KILL_AFTER_US,
            DeferredAction::KillAfterTerm(n, process_number),
        );
    }

    fn kill_after_term(&mut self, n: Dispatcher, process_number: usize) {
        let Some(mut program) = self.dispatchers[n].program.take() else { return };
        match program.child.try_wait() {
            Ok(Some(status)) => self.record_process(n, process_number, ProcessEvent::Ended(status.code())),
            _ => {
                self.recorder.fault("SIGKILL at the stop deadline");
                self.record_process(n, process_number, ProcessEvent::KilledAtStop);
                program.kill();
            }
        }
        self.dispatchers[n].endpoint.lock().expect("the endpoint lock").address = None;
        self.schedule(RESTART_DELAY_US, DeferredAction::Restart(n));
    }

    fn kill(&mut self, selector: u64) {
        let Some(n) = self.serving_dispatcher(selector) else { return };
        let Some(program) = self.dispatchers[n].program.take() else { return };
        self.recorder.fault("SIGKILL");
        self.dispatchers[n].in_transition = true;
        self.record_process(n, self.dispatchers[n].process_number, ProcessEvent::Killed);
        program.kill();
        *self.dispatchers[n].endpoint.lock().expect("the endpoint lock") = Endpoint::default();
        self.schedule(RESTART_DELAY_US, DeferredAction::Restart(n));
    }

    /// Records processes that ended without a signal of the run, and schedules their restart.
    fn detect_exits(&mut self) {
        if self.plant == Some(Rule::Crash) {
            self.plant = None;
            let pid = self.dispatchers[0].program.as_ref().map(|p| p.child.id());
            pid.into_iter().for_each(|pid| signal(pid, Signal::KILL));
        }
        for n in 0..self.dispatchers.len() {
            let dispatcher = &mut self.dispatchers[n];
            if dispatcher.in_transition {
                continue;
            }
            let ended = dispatcher.program.as_mut().and_then(|p| p.child.try_wait().ok().flatten());
            if let Some(status) = ended {
                let process_number = dispatcher.process_number;
                dispatcher.program = None;
                dispatcher.in_transition = true;
                *dispatcher.endpoint.lock().expect("the endpoint lock") = Endpoint::default();
                self.record_process(n, process_number, ProcessEvent::Ended(status.code()));
                self.schedule(RESTART_DELAY_US, DeferredAction::Restart(n));
            }
        }
    }

    /// Stops all processes by SIGTERM and waits as long as a planned stop allows.
    fn finish(&mut self) {
        for (_, deferred) in std::mem::take(&mut self.deferred) {
            if let DeferredAction::Resume(pid) = deferred {
                signal(pid, Signal::CONT);
            }
        }
        for n in 0..self.dispatchers.len() {
            let process_number = self.dispatchers[n].process_number;
            let Some(program) = &self.dispatchers[n].program else { continue };
            let pid = program.child.id();
            self.record_process(n, process_number, ProcessEvent::Terminated);
            signal(pid, Signal::TERM);
        }
        let longest_deadline = self.plan.deadlines_ms.iter().max().copied().unwrap_or_default() * 1_000;
        let until = self.recorder.now() + longest_deadline + KILL_AFTER_US;
        for n in 0..self.dispatchers.len() {
            let process_number = self.dispatchers[n].process_number;
            let Some(mut program) = self.dispatchers[n].program.take() else { continue };
            let ended = loop {
                if let Ok(Some(status)) = program.child.try_wait() {
                    break Some(status.code());
                }
                if self.recorder.now() > until {
                    break None;
                }
                std::thread::sleep(TICK);
            };
            match ended {
                Some(code) => self.record_process(n, process_number, ProcessEvent::Ended(code)),
                None => program.kill(),
            }
        }
    }
}

fn signal(pid: u32, signal: Signal) {
    if let Some(pid) = i32::try_from(pid).ok().and_then(Pid::from_raw) {
        let _ = kill_process(pid, signal);
    }
}

/// Polls a process's health check until it reports ready; returns false after the timeout.
fn wait_until_ready(address: SocketAddr) -> bool {
    let started = std::time::Instant::now();
    while started.elapsed() < READY_TIMEOUT {
        if let Ok(mut client) = Client::try_connect(address)
            && client.stream.set_read_timeout(Some(Duration::from_secs(3))).is_ok()
            && client.try_other("isWell", 1).is_ok()
            && matches!(client.receive(), Some((1, Reply::Well(true))))
        {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}
