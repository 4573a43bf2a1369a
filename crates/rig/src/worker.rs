//! A stand-in worker with lanes, a queue, and ways to fail; it counts what it is sent.

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

/// What a worker can do.
#[derive(Clone, Copy, Debug)]
pub struct Power {
    /// The time that a request runs.
    pub service: Duration,
    /// Requests that run at a time.
    pub lanes: usize,
    /// Requests that wait at the most: what comes on top is turned away.
    pub queue: usize,
}

impl Default for Power {
    fn default() -> Power {
        Power { service: Duration::ZERO, lanes: 64, queue: 4_096 }
    }
}

/// What became of a request here.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// Its class.
    pub class: String,
    /// How often it came.
    pub tries: u32,
    /// How often it was taken, and not turned away.
    pub ran: u32,
}

/// An answer on its way: when it is due, and to whom.
type Due = Reverse<(Instant, u64, Vec<u8>, usize)>;

#[derive(Default)]
struct Work {
    due: BinaryHeap<Due>,
    /// When each lane is free.
    free: Vec<Instant>,
    /// Requests held, and the most there ever were.
    held: usize,
    most_held: usize,
    serial: u64,
    /// When requests came since it last began.
    came: Vec<Instant>,
    /// When it last began cold, and when it is warm; and how often it got more than it bears.
    cold: Option<(Instant, Duration)>,
    knocked: u64,
    connections: BTreeMap<usize, TcpStream>,
    runs: BTreeMap<String, Run>,
}

#[derive(Default)]
struct Shared {
    power: Mutex<Power>,
    work: Mutex<Work>,
    more: Condvar,
    up: AtomicBool,
    silent: AtomicBool,
    over: AtomicBool,
    tries: AtomicU64,
    turned_away: AtomicU64,
    accepted: AtomicU64,
    answered: AtomicU64,
    late: AtomicU64,
}

/// An answer that leaves so long after it was due is late: the machine was busy elsewhere.
pub const LATE: Duration = Duration::from_millis(5);

/// A worker.
pub struct Worker {
    /// Where it is.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    listener: Option<std::thread::JoinHandle<()>>,
}

impl Worker {
    /// One that answers each request at once with its own body.
    pub fn start() -> Worker {
        Worker::with(Power::default())
    }

    /// One with so much power.
    pub fn with(power: Power) -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared { power: Mutex::new(power), ..Shared::default() });
        let answers = shared.clone();
        std::thread::spawn(move || answers.answer());
        let mut worker = Worker { address, shared, listener: None };
        worker.open(listener);
        worker
    }

    fn open(&mut self, listener: TcpListener) {
        self.shared.up.store(true, Ordering::SeqCst);
        let shared = self.shared.clone();
        self.listener = Some(std::thread::spawn(move || {
            for (n, connection) in listener.incoming().map_while(Result::ok).enumerate() {
                if !shared.up.load(Ordering::SeqCst) {
                    return;
                }
                shared.accepted.fetch_add(1, Ordering::SeqCst);
                let shared = shared.clone();
                std::thread::spawn(move || shared.listen(n, connection));
            }
        }));
    }

    /// Dies: nothing listens any more, all connections break, and what it held is lost.
    pub fn kill(&mut self) {
        self.shared.up.store(false, Ordering::SeqCst);
        // The listener wakes once more, and ends.
        let _ = TcpStream::connect(self.address);
        self.listener.take().into_iter().for_each(|l| l.join().expect("a listener's end"));
        let mut work = self.shared.work.lock().expect("work");
        work.connections.values().for_each(|c| drop(c.shutdown(Shutdown::Both)));
        work.connections.clear();
        work.due.clear();
        (work.held, work.free, work.came) = (0, Vec::new(), Vec::new());
    }

    /// Stands at the same address again, knowing nothing.
    pub fn restart(&mut self) {
        let listener = TcpListener::bind(self.address).expect("its address again");
        self.open(listener);
    }

    /// Stands again, cold: from 0.15 of its capacity it comes to all of it within `warm`. What it bears is counted, and no more than that.
    pub fn restart_cold(&mut self, warm: Duration) {
        self.shared.work.lock().expect("work").cold = Some((Instant::now(), warm));
        self.restart();
    }

    /// How often it got more than twice of what it could do at that moment for 1.5 s, and three and three roots of that on top.
    pub fn knocked_over(&self) -> u64 {
        self.shared.work.lock().expect("work").knocked
    }

    /// Takes all and answers nothing, or answers again what comes from now on.
    pub fn silent(&self, silent: bool) {
        self.shared.silent.store(silent, Ordering::SeqCst);
    }

    /// Another power from now on.
    pub fn power(&self, power: Power) {
        *self.shared.power.lock().expect("power") = power;
    }

    /// Requests that it was sent, turned away or not.
    pub fn tries(&self) -> u64 {
        self.shared.tries.load(Ordering::SeqCst)
    }

    /// Requests within so long after the first since it last began.
    pub fn within(&self, time: Duration) -> usize {
        let work = self.shared.work.lock().expect("work");
        work.came.first().map_or(0, |first| work.came.iter().filter(|at| **at < *first + time).count())
    }

    /// Requests that it turned away.
    pub fn turned_away(&self) -> u64 {
        self.shared.turned_away.load(Ordering::SeqCst)
    }

    /// Connections that it accepted.
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::SeqCst)
    }

    /// Answers that left late, by the machine's fault, and all that it gave.
    pub fn late(&self) -> (u64, u64) {
        (self.shared.late.load(Ordering::SeqCst), self.shared.answered.load(Ordering::SeqCst))
    }

    /// The most requests that it ever held at a time.
    pub fn most_held(&self) -> usize {
        self.shared.work.lock().expect("work").most_held
    }

    /// What became of each request that came.
    pub fn runs(&self) -> BTreeMap<String, Run> {
        self.shared.work.lock().expect("work").runs.clone()
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::SeqCst);
        self.shared.more.notify_all();
        if self.listener.is_some() {
            self.kill();
        }
    }
}

impl Shared {
    fn listen(&self, n: usize, connection: TcpStream) {
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
                self.take(n, &line);
            }
        }
        self.work.lock().expect("work").connections.remove(&n);
    }

    fn take(&self, n: usize, line: &Value) {
        self.tries.fetch_add(1, Ordering::SeqCst);
        let power = *self.power.lock().expect("power");
        let word = |v: &Value| v.as_str().unwrap_or_default().to_string();
        let rid = word(&line["rid"]);
        let mut work = self.work.lock().expect("work");
        let now = Instant::now();
        let full = work.held >= power.lanes + power.queue;
        if work.came.len() < 100_000 {
            work.came.push(now);
        }
        if let Some((began, warm)) = work.cold.filter(|(began, warm)| now < *began + *warm) {
            let window = Duration::from_millis(1_500);
            let capacity = power.lanes as f64 / power.service.as_secs_f64().max(1e-3);
            let present = 0.15 + 0.85 * (now - began).as_secs_f64() / warm.as_secs_f64();
            let bears = 2.0 * capacity * present * window.as_secs_f64();
            let got = work.came.iter().rev().take_while(|at| **at + window > now).count() as f64;
            work.knocked += u64::from(got > bears + 3.0 * bears.sqrt() + 3.0);
        }
        let run = work.runs.entry(rid.clone()).or_default();
        run.class = word(&line["attrs"]["c"]);
        run.tries += 1;
        run.ran += u32::from(!full);
        let due = if full {
            self.turned_away.fetch_add(1, Ordering::SeqCst);
            now
        } else {
            work.held += 1;
            work.most_held = work.most_held.max(work.held);
            work.free.resize(power.lanes.max(1), now);
            let lane = (0..work.free.len()).min_by_key(|l| work.free[*l]).unwrap_or(0);
            work.free[lane] = work.free[lane].max(now) + power.service;
            work.free[lane]
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
        self.more.notify_one();
    }

    fn answer(&self) {
        let mut work = self.work.lock().expect("work");
        while !self.over.load(Ordering::SeqCst) {
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
                Some(due) => work = self.more.wait_timeout(work, due - now).expect("work").0,
                None => work = self.more.wait(work).expect("work"),
            }
        }
    }
}
