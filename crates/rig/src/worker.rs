//! A stub worker with a limited number of concurrent requests, a bounded queue and a fixed run time, which can be killed, silenced
//! and restarted cold. It counts the requests that it is sent.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// The capacity of a worker.
#[derive(Clone, Copy, Debug)]
pub struct Power {
    /// The run time of a request.
    pub service: Duration,
    /// The number of requests that run concurrently.
    pub lanes: usize,
    /// The length of the queue; requests beyond it are rejected as busy.
    pub queue: usize,
}

impl Default for Power {
    fn default() -> Power {
        Power { service: Duration::ZERO, lanes: 64, queue: 4_096 }
    }
}

/// The record of one request id at a worker.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// The class of the request.
    pub class: String,
    /// How often it was received.
    pub tries: u32,
    /// How often it was accepted and not rejected as busy.
    pub ran: u32,
}

/// A scheduled answer: when it is due, its order number, its bytes and its connection.
type ScheduledAnswer = Reverse<(Instant, u64, Vec<u8>, usize)>;

#[derive(Default)]
struct Work {
    due: BinaryHeap<ScheduledAnswer>,
    /// When each concurrent slot becomes free.
    free_at: Vec<Instant>,
    /// The number of requests running or queued, and its maximum so far.
    held: usize,
    most_held: usize,
    serial: u64,
    /// The times of requests since the worker last started.
    received_at: Vec<Instant>,
    /// When the worker last started cold and how long its warm-up takes, and the number of requests that overloaded it meanwhile.
    cold_start: Option<(Instant, Duration)>,
    overloads: u64,
    connections: BTreeMap<usize, TcpStream>,
    runs: BTreeMap<String, Run>,
}

#[derive(Default)]
struct Shared {
    power: Mutex<Power>,
    work: Mutex<Work>,
    work_changed: Condvar,
    up: AtomicBool,
    silent: AtomicBool,
    stopped: AtomicBool,
    tries: AtomicU64,
    turned_away: AtomicU64,
    accepted: AtomicU64,
    answered: AtomicU64,
    late: AtomicU64,
}

/// An answer sent later than this after it was due counts as late: the machine was too busy to run the worker's thread.
pub const LATE: Duration = Duration::from_millis(5);

/// A running stub worker.
pub struct Worker {
    /// Its address.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    listener: Option<std::thread::JoinHandle<()>>,
}

impl Worker {
    /// Starts a worker that answers each request at once with the request's body.
    pub fn start() -> Worker {
        Worker::with(Power::default())
    }

    /// Starts a worker with this capacity.
    pub fn with(power: Power) -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared { power: Mutex::new(power), ..Shared::default() });
        let answers = shared.clone();
        std::thread::spawn(move || answers.send_answers());
        let mut worker = Worker { address, shared, listener: None };
        worker.listen(listener);
        worker
    }

    fn listen(&mut self, listener: TcpListener) {
        self.shared.up.store(true, Ordering::SeqCst);
        let shared = self.shared.clone();
        self.listener = Some(std::thread::spawn(move || {
            for (n, connection) in listener.incoming().map_while(Result::ok).enumerate() {
                if !shared.up.load(Ordering::SeqCst) {
                    return;
                }
                shared.accepted.fetch_add(1, Ordering::SeqCst);
                let shared = shared.clone();
                std::thread::spawn(move || shared.read_requests(n, connection));
            }
        }));
    }

    /// Kills the worker: it stops listening, closes all connections and drops its open requests.
    pub fn kill(&mut self) {
        self.shared.up.store(false, Ordering::SeqCst);
        // A connection wakes the listener, which then ends.
        let _ = TcpStream::connect(self.address);
        self.listener.take().into_iter().for_each(|l| l.join().expect("a listener's end"));
        let mut work = self.shared.work.lock().expect("work");
        work.connections.values().for_each(|c| drop(c.shutdown(Shutdown::Both)));
        work.connections.clear();
        work.due.clear();
        (work.held, work.free_at, work.received_at) = (0, Vec::new(), Vec::new());
    }

    /// Starts the worker again at the same address, without open requests.
    pub fn restart(&mut self) {
        let listener = TcpListener::bind(self.address).expect("its address again");
        self.listen(listener);
    }

    /// Starts the worker again as cold: its capacity grows from 0.15 of the full one to all of it within `warm`. The lower capacity
    /// only counts overloads; it does not slow the worker's answers.
    pub fn restart_cold(&mut self, warm: Duration) {
        self.shared.work.lock().expect("work").cold_start = Some((Instant::now(), warm));
        self.restart();
    }

    /// Returns how many requests overloaded the worker while it was cold: those with which the requests of the last 1.5 s exceeded
    /// twice its present capacity for that time, plus three square roots of this and three as tolerance.
    pub fn knocked_over(&self) -> u64 {
        self.shared.work.lock().expect("work").overloads
    }

    /// Makes the worker ignore requests while keeping connections open, or answer new requests again.
    pub fn silent(&self, silent: bool) {
        self.shared.silent.store(silent, Ordering::SeqCst);
    }

    /// Changes the worker's capacity.
    pub fn power(&self, power: Power) {
        *self.shared.power.lock().expect("power") = power;
    }

    /// Returns the number of requests that it was sent, including rejected ones.
    pub fn tries(&self) -> u64 {
        self.shared.tries.load(Ordering::SeqCst)
    }

    /// Returns the number of requests within `time` of the first one since the worker last started.
    pub fn within(&self, time: Duration) -> usize {
        let work = self.shared.work.lock().expect("work");
        work.received_at
            .first()
            .map_or(0, |first| work.received_at.iter().filter(|at| **at < *first + time).count())
    }

    /// Returns the number of requests rejected as busy.
    pub fn turned_away(&self) -> u64 {
        self.shared.turned_away.load(Ordering::SeqCst)
    }

    /// Returns the number of accepted connections.
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::SeqCst)
    }

    /// Returns the number of answers sent late, because the machine was busy, and the number of all answers.
    pub fn late(&self) -> (u64, u64) {
        (self.shared.late.load(Ordering::SeqCst), self.shared.answered.load(Ordering::SeqCst))
    }

    /// Returns the largest number of requests running or queued at a time.
    pub fn most_held(&self) -> usize {
        self.shared.work.lock().expect("work").most_held
    }

    /// Returns the record of each request, by id.
    pub fn runs(&self) -> BTreeMap<String, Run> {
        self.shared.work.lock().expect("work").runs.clone()
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        self.shared.work_changed.notify_all();
        if self.listener.is_some() {
            self.kill();
        }
    }
}

impl Shared {
    fn read_requests(&self, n: usize, connection: TcpStream) {
        let Ok(reader) = connection.try_clone() else { return };
        {
            let mut work = self.work.lock().expect("work");
            if !self.up.load(Ordering::SeqCst) {
                return;
            }
            work.connections.insert(n, connection);
        }
        for line in BufReader::new(reader).lines().map_while(Result::ok) {
            let Ok(line) = serde_json::from_str::<Value>(&line) else { break };
            if line["verb"] == "go" && !self.silent.load(Ordering::SeqCst) {
                self.accept_request(n, &line);
            }
        }
        self.work.lock().expect("work").connections.remove(&n);
    }

    fn accept_request(&self, n: usize, line: &Value) {
        self.tries.fetch_add(1, Ordering::SeqCst);
        let power = *self.power.lock().expect("power");
        let text = |v: &Value| v.as_str().unwrap_or_default().to_string();
        let rid = text(&line["rid"]);
        let mut work = self.work.lock().expect("work");
        let now = Instant::now();
        let full = work.held >= power.lanes + power.queue;
        if work.received_at.len() < 100_000 {
            work.received_at.push(now);
        }
        if let Some((started, warm_up)) =
            work.cold_start.filter(|(started, warm_up)| now < *started + *warm_up)
        {
            let window = Duration::from_millis(1_500);
            let capacity = power.lanes as f64 / power.service.as_secs_f64().max(1e-3);
            let present = 0.15 + 0.85 * (now - started).as_secs_f64() / warm_up.as_secs_f64();
            let bearable = 2.0 * capacity * present * window.as_secs_f64();
            let got = work.received_at.iter().rev().take_while(|at| **at + window > now).count() as f64;
            work.overloads += u64::from(got > bearable + 3.0 * bearable.sqrt() + 3.0);
        }
        let run = work.runs.entry(rid.clone()).or_default();
        run.class = text(&line["attrs"]["c"]);
        run.tries += 1;
        run.ran += u32::from(!full);
        let due = if full {
            self.turned_away.fetch_add(1, Ordering::SeqCst);
            now
        } else {
            work.held += 1;
            work.most_held = work.most_held.max(work.held);
            work.free_at.resize(power.lanes.max(1), now);
            let slot = (0..work.free_at.len()).min_by_key(|l| work.free_at[*l]).unwrap_or(0);
            work.free_at[slot] = work.free_at[slot].max(now) + power.service;
            work.free_at[slot]
        };
        let depth = work.held;
        let (verb, attrs) = if full {
            ("BUSY", json!({"depth": depth}))
        } else {
            ("OK", json!({"note": "up", "depth": depth}))
        };
        let body = STANDARD
            .encode(STANDARD.decode(line["content"].as_str().unwrap_or_default()).unwrap_or_default());
        let answer = json!({"verb": verb, "rid": rid, "attrs": attrs, "content": body});
        work.serial += 1;
        let serial = work.serial;
        work.due.push(Reverse((due, serial, format!("{answer}\n").into_bytes(), n)));
        self.work_changed.notify_one();
    }

    fn send_answers(&self) {
        let mut work = self.work.lock().expect("work");
        while !self.stopped.load(Ordering::SeqCst) {
            let now = Instant::now();
            match work.due.peek().map(|next| next.0.0) {
                Some(due) if due <= now => {
                    let Some(Reverse((_, _, bytes, n))) = work.due.pop() else { continue };
                    self.answered.fetch_add(1, Ordering::SeqCst);
                    self.late.fetch_add(u64::from(now > due + LATE), Ordering::SeqCst);
                    if bytes.windows(4).any(|w| w == b"\"OK\"") {
                        work.held = work.held.saturating_sub(1);
                    }
                    if let Some(connection) = work.connections.get_mut(&n) {
                        let _ = connection.write_all(&bytes);
                    }
                }
                Some(due) => work = self.work_changed.wait_timeout(work, due - now).expect("work").0,
                None => work = self.work_changed.wait(work).expect("work"),
            }
        }
    }
}
