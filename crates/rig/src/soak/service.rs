//! The name service of one dispatcher: the list that all share, numbered anew for each process, told with faults.

use super::plan::ServiceFaults;
use super::record::{Dispatcher, Micros, Recorder, Told};
use crate::relay::both;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How often the thread of a service looks for what is due.
const TICK: Duration = Duration::from_millis(2);
/// A message over UDP holds this much at the most; what is longer is cut off and says so.
const MOST_DATAGRAM: usize = 60_000;
/// How far back a state lies that is told late, in versions.
const MOST_STALE: u64 = 4;

/// A worker as the list names it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// It drains.
    pub draining: bool,
    /// When it started, in Unix milliseconds; 0: long ago.
    pub started_ms: u64,
}

/// The list through time; version 0 is that of the start.
#[derive(Default)]
pub struct History {
    versions: Mutex<Vec<Vec<Entry>>>,
}

impl History {
    /// A list that was this at the start.
    pub fn new(entries: Vec<Entry>) -> History {
        History { versions: Mutex::new(vec![entries]) }
    }

    /// Changes the list: a new version.
    pub fn change(&self, change: impl FnOnce(&mut Vec<Entry>)) {
        let mut versions = self.versions.lock().expect("the list");
        let mut next = versions.last().cloned().unwrap_or_default();
        change(&mut next);
        versions.push(next);
    }

    /// The number of the version of now, and its entries.
    pub fn now(&self) -> (u64, Vec<Entry>) {
        let versions = self.versions.lock().expect("the list");
        (versions.len() as u64 - 1, versions.last().cloned().unwrap_or_default())
    }

    /// The entries of a version.
    pub fn version(&self, number: u64) -> Vec<Entry> {
        let versions = self.versions.lock().expect("the list");
        versions.get(number as usize).cloned().unwrap_or_default()
    }

    /// Ids that were in a version from `from` on and are not in this one.
    fn gone_since(&self, from: u64, entries: &[Entry]) -> Vec<String> {
        let versions = self.versions.lock().expect("the list");
        let present: BTreeSet<&str> = entries.iter().map(|e| e.id.as_str()).collect();
        let seen: BTreeSet<&str> =
            versions.iter().skip(from as usize).flatten().map(|e| e.id.as_str()).collect();
        seen.difference(&present).map(ToString::to_string).collect()
    }
}

/// The numbering of a process: its start's version is event 1.
#[derive(Clone, Copy, Debug, Default)]
struct Life {
    number: usize,
    first_version: u64,
}

/// An answer on its way: when it is due, its bytes, to whom, and what it tells to be draining or gone.
type Due = Reverse<(Micros, u64, Vec<u8>, SocketAddr, usize, Vec<String>)>;

struct Shared {
    dispatcher: Dispatcher,
    faults: ServiceFaults,
    history: Arc<History>,
    recorder: Arc<Recorder>,
    life: Mutex<(Life, Life)>,
    silent_until: AtomicU64,
    over: AtomicBool,
    /// Tells processes nothing, and claims that it did: a planted fault.
    lies: bool,
}

/// A name service.
pub struct Service {
    /// Where it is asked.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Service {
    /// The service of a dispatcher. One that lies claims a drain that it never told, which a judge must find.
    pub fn start(
        dispatcher: Dispatcher,
        faults: ServiceFaults,
        seed: u64,
        (history, recorder): (Arc<History>, Arc<Recorder>),
        lies: bool,
    ) -> Service {
        let (socket, listener) = both();
        socket.set_read_timeout(Some(TICK)).expect("a time-out");
        let address = socket.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            dispatcher,
            faults,
            history,
            recorder,
            life: Mutex::default(),
            silent_until: AtomicU64::new(0),
            over: AtomicBool::new(false),
            lies,
        });
        let (asked, streams) = (shared.clone(), shared.clone());
        std::thread::spawn(move || asked.serve(&socket, seed));
        std::thread::spawn(move || streams.serve_streams(&listener));
        Service { address, shared }
    }

    /// A process begins: the version of now is event 1 of its numbering. What it is told by its configuration.
    pub fn begin_life(&self, number: usize) -> Vec<Entry> {
        let (version, entries) = self.shared.history.now();
        let mut life = self.shared.life.lock().expect("the numbering");
        life.1 = life.0;
        life.0 = Life { number, first_version: version };
        // Its configuration tells it what drains, and what is gone.
        let drains = entries.iter().filter(|e| e.draining).map(|e| e.id.clone());
        let gone = self.shared.history.gone_since(0, &entries);
        self.shared.tell(number, drains.chain(gone).collect());
        entries
    }

    /// Says nothing until then.
    pub fn silence(&self, until: Micros) {
        self.shared.silent_until.fetch_max(until, Ordering::SeqCst);
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::SeqCst);
        // The listener wakes and ends.
        let _ = std::net::TcpStream::connect(self.address);
    }
}

/// An answer as it is sent, and the workers that it tells to be draining or gone.
struct Answer {
    bytes: Vec<u8>,
    drains: Vec<String>,
}

impl Shared {
    fn serve(&self, socket: &UdpSocket, seed: u64) {
        let mut random = Pcg32::seed_from_u64(seed);
        let (mut waiting, mut count) = (BinaryHeap::<Due>::new(), 0u64);
        let mut query = [0; 512];
        while !self.over.load(Ordering::SeqCst) {
            if let Ok((size, from)) = socket.recv_from(&mut query) {
                count += 1;
                self.answer(&query[..size], from, &mut random, count, &mut waiting);
            }
            let now = self.recorder.now();
            while waiting.peek().is_some_and(|next| next.0.0 <= now) {
                let Some(Reverse((_, _, bytes, to, life, drains))) = waiting.pop() else { break };
                if now < self.silent_until.load(Ordering::SeqCst) {
                    continue;
                }
                let _ = socket.send_to(&bytes, to);
                self.tell(life, drains);
            }
        }
    }

    fn answer(
        &self,
        query: &[u8],
        from: SocketAddr,
        random: &mut Pcg32,
        count: u64,
        waiting: &mut BinaryHeap<Due>,
    ) {
        let now = self.recorder.now();
        if now < self.silent_until.load(Ordering::SeqCst) {
            return;
        }
        let faults = self.faults;
        let mut happens = |per_mille: u64, kind: &'static str| {
            let happens = u64::from(random.next_u32()) % 1_000 < per_mille;
            if happens {
                self.recorder.fault(kind);
            }
            happens
        };
        if happens(faults.lost, "answer lost") {
            return;
        }
        let (stale, cut) = (happens(faults.stale, "answer stale"), happens(faults.cut, "answer cut"));
        let (error, doubted) =
            (happens(faults.error, "answer error"), happens(faults.doubted, "answer doubted"));
        let (late, doubled) =
            (happens(faults.late, "answer late"), happens(faults.doubled, "answer doubled"));
        let mut delay = || u64::from(random.next_u32()) % (faults.late_ms + 1) * 1_000;
        let (first, second) = (if late { delay() } else { 0 }, delay());
        let back = 1 + u64::from(random.next_u32()) % MOST_STALE;
        let life = self.life.lock().expect("the numbering").0.number;
        let mut answer = self.compose(query, if stale { back } else { 0 }, doubted);
        if error {
            const SERVER_FAILURE: u8 = 2;
            answer.bytes[3] |= SERVER_FAILURE;
            answer.drains.clear();
        }
        if cut || answer.bytes.len() > MOST_DATAGRAM {
            answer.bytes.truncate((answer.bytes.len() / 2).min(MOST_DATAGRAM));
            // What such an answer holds is left to the program: nothing of it counts as told here.
            answer.drains.clear();
        }
        if answer.bytes.len() > 8_192 {
            self.recorder.fault("answer over 8,192 bytes");
        }
        if doubled {
            let (bytes, drains) = (answer.bytes.clone(), Vec::new());
            waiting.push(Reverse((now + first + second, count << 1 | 1, bytes, from, life, drains)));
        }
        waiting.push(Reverse((now + first, count << 1, answer.bytes, from, life, answer.drains)));
    }

    /// The answer to a query, with the state of so many versions ago.
    fn compose(&self, query: &[u8], back: u64, doubted: bool) -> Answer {
        let (version, _) = self.history.now();
        let told = version.saturating_sub(back);
        let entries = self.history.version(told);
        let (life, before) = *self.life.lock().expect("the numbering");
        // A state from before the process started has the number that it had for the process before.
        let numbering = if told < life.first_version { before } else { life };
        let serial = 1 + told.saturating_sub(numbering.first_version);
        let mut drains: Vec<String> = entries.iter().filter(|e| e.draining).map(|e| e.id.clone()).collect();
        if back == 0 && !doubted {
            drains.extend(self.history.gone_since(life.first_version, &entries));
        }
        let mut listed: Vec<(String, SocketAddr, u16, u64)> =
            entries.iter().map(|e| (e.id.clone(), e.address, u16::from(e.draining), e.started_ms)).collect();
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
        listed.extend((0..self.faults.padding).map(|n| (format!("pad{n}"), nowhere, 1, 0)));
        if let (true, Some(first)) = (doubted, listed.first().cloned()) {
            listed.push((first.0, nowhere, first.2, first.3));
        }
        if self.lies {
            drains.extend(entries.iter().take(1).map(|e| e.id.clone()));
        }
        Answer { bytes: crate::stand::list_answer(query, serial as u32, &listed), drains }
    }

    fn tell(&self, life: usize, drains: Vec<String>) {
        let at = self.recorder.now();
        self.recorder.write(|r| {
            r.told.extend(drains.into_iter().map(|worker| Told {
                dispatcher: self.dispatcher,
                life,
                worker,
                at,
            }));
        });
    }

    fn serve_streams(&self, listener: &TcpListener) {
        for mut stream in listener.incoming().map_while(Result::ok) {
            if self.over.load(Ordering::SeqCst) {
                return;
            }
            let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
            let mut size = [0; 2];
            if stream.read_exact(&mut size).is_err() {
                continue;
            }
            let mut query = vec![0; usize::from(u16::from_be_bytes(size))];
            if stream.read_exact(&mut query).is_err() {
                continue;
            }
            let answer = self.compose(&query, 0, false);
            let mut message = (answer.bytes.len() as u16).to_be_bytes().to_vec();
            message.extend(answer.bytes);
            let _ = stream.write_all(&message);
        }
    }
}
