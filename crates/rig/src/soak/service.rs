//! The stub name service of one dispatcher. All services answer from one shared list of workers; each numbers its versions anew
//! for each process of its dispatcher, and injects the faults of the plan into its answers over UDP. It records when an answer
//! tells the process that a worker drains or has been removed.

use super::plan::ServiceFaults;
use super::record::{Dispatcher, Micros, Notice, Recorder};
use crate::name_service::ListEntry;
use crate::relay::bind_udp_and_tcp;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The longest wait of the service's thread before it sends the answers that are due.
const TICK: Duration = Duration::from_millis(2);
/// The largest answer sent over UDP, in bytes; a longer one is truncated.
const MAX_DATAGRAM_BYTES: usize = 60_000;
/// The greatest age of a stale list, in versions.
const MAX_STALE_VERSIONS: u64 = 4;

/// A worker's entry in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its id.
    pub id: String,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it is draining.
    pub draining: bool,
    /// When it started, in Unix milliseconds; 0 for long ago.
    pub started_ms: u64,
}

/// A process of a worker: the worker's id, and the start that the list announces.
type WorkerProcess = (String, u64);

impl Entry {
    fn process(&self) -> WorkerProcess {
        (self.id.clone(), self.started_ms)
    }
}

/// All versions of the list; version 0 is the initial one.
#[derive(Default)]
pub struct ListHistory {
    versions: Mutex<Vec<Vec<Entry>>>,
}

impl ListHistory {
    /// Returns a history with this initial list.
    pub fn new(entries: Vec<Entry>) -> ListHistory {
        ListHistory { versions: Mutex::new(vec![entries]) }
    }

    /// Appends a changed copy of the list as a new version.
    pub fn change(&self, change: impl FnOnce(&mut Vec<Entry>)) {
        let mut versions = self.versions.lock().expect("the list");
        let mut next = versions.last().cloned().unwrap_or_default();
        change(&mut next);
        versions.push(next);
    }

    /// Returns the number of the current version and its entries.
    pub fn now(&self) -> (u64, Vec<Entry>) {
        let versions = self.versions.lock().expect("the list");
        (versions.len() as u64 - 1, versions.last().cloned().unwrap_or_default())
    }

    /// Returns the entries of a version.
    pub fn version(&self, process_number: u64) -> Vec<Entry> {
        let versions = self.versions.lock().expect("the list");
        versions.get(process_number as usize).cloned().unwrap_or_default()
    }

    /// Returns the processes of ids that are in any version from `from` on and not among these entries.
    fn removed_since(&self, from: u64, entries: &[Entry]) -> Vec<WorkerProcess> {
        let versions = self.versions.lock().expect("the list");
        let present: BTreeSet<&str> = entries.iter().map(|e| e.id.as_str()).collect();
        let listed = versions.iter().skip(from as usize).flatten();
        let seen: BTreeSet<WorkerProcess> = listed.map(Entry::process).collect();
        seen.into_iter().filter(|(id, _)| !present.contains(id.as_str())).collect()
    }
}

/// The serial numbers that a process sees: the version current at its start has serial number 1.
#[derive(Clone, Copy, Debug, Default)]
struct Numbering {
    process_number: usize,
    first_version: u64,
}

/// A delayed answer: when it is due, its order number, its bytes, the address it goes to, the process it was made for, and what it
/// tells that process.
type DelayedAnswer = Reverse<(Micros, u64, Vec<u8>, SocketAddr, usize, News)>;

/// What an answer tells of the workers' processes.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct News {
    draining_or_removed: Vec<WorkerProcess>,
    started: Vec<WorkerProcess>,
}

impl News {
    fn of(entries: &[Entry]) -> News {
        let draining = entries.iter().filter(|e| e.draining);
        let started = entries.iter().filter(|e| e.started_ms > 0);
        News {
            draining_or_removed: draining.map(Entry::process).collect(),
            started: started.map(Entry::process).collect(),
        }
    }
}

struct Shared {
    dispatcher: Dispatcher,
    faults: ServiceFaults,
    history: Arc<ListHistory>,
    recorder: Arc<Recorder>,
    /// The numberings of the current process and of the one before it.
    numberings: Mutex<(Numbering, Numbering)>,
    /// The starts that each process of the dispatcher has been told of.
    known_starts: Mutex<HashSet<(usize, WorkerProcess)>>,
    silent_until: AtomicU64,
    stopped: AtomicBool,
    /// Whether it records drain notices that it never sent: a planted fault.
    false_notices: bool,
}

/// A running stub name service.
pub struct Service {
    /// Its address, over UDP and TCP.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Service {
    /// Starts the service of a dispatcher. With `false_notices` it records drains that it never announced, so that the judge must
    /// find a violation.
    pub fn start(
        dispatcher: Dispatcher,
        faults: ServiceFaults,
        seed: u64,
        (history, recorder): (Arc<ListHistory>, Arc<Recorder>),
        false_notices: bool,
    ) -> Service {
        let (socket, listener) = bind_udp_and_tcp();
        socket.set_read_timeout(Some(TICK)).expect("a time-out");
        let address = socket.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            dispatcher,
            faults,
            history,
            recorder,
            numberings: Mutex::default(),
            known_starts: Mutex::default(),
            silent_until: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            false_notices,
        });
        let (udp, tcp) = (shared.clone(), shared.clone());
        std::thread::spawn(move || udp.serve(&socket, seed));
        std::thread::spawn(move || tcp.serve_streams(&listener));
        Service { address, shared }
    }

    /// Starts the numbering of a new process, in which the current version has serial number 1, and returns the list for its
    /// configuration.
    pub fn start_numbering(&self, process_number: usize) -> Vec<Entry> {
        let (version, entries) = self.shared.history.now();
        let mut numberings = self.shared.numberings.lock().expect("the numbering");
        numberings.1 = numberings.0;
        numberings.0 = Numbering { process_number, first_version: version };
        // The configuration shows which workers are draining and which are absent.
        let mut news = News::of(&entries);
        news.draining_or_removed.extend(self.shared.history.removed_since(0, &entries));
        self.shared.record_notices(process_number, news);
        entries
    }

    /// Answers no query until this time.
    pub fn silence_until(&self, until: Micros) {
        self.shared.silent_until.fetch_max(until, Ordering::SeqCst);
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        // The connection wakes the listener, which then ends.
        let _ = std::net::TcpStream::connect(self.address);
    }
}

/// An answer, and what it tells.
struct Answer {
    bytes: Vec<u8>,
    news: News,
}

impl Shared {
    fn serve(&self, socket: &UdpSocket, seed: u64) {
        let mut rng = Pcg32::seed_from_u64(seed);
        let (mut delayed, mut answer_count) = (BinaryHeap::<DelayedAnswer>::new(), 0u64);
        let mut query = [0; 512];
        while !self.stopped.load(Ordering::SeqCst) {
            if let Ok((size, from)) = socket.recv_from(&mut query) {
                answer_count += 1;
                self.answer(&query[..size], from, &mut rng, answer_count, &mut delayed);
            }
            let now = self.recorder.now();
            while delayed.peek().is_some_and(|next| next.0.0 <= now) {
                let Some(Reverse((_, _, bytes, to, process_number, news))) = delayed.pop() else { break };
                if now < self.silent_until.load(Ordering::SeqCst) {
                    continue;
                }
                let _ = socket.send_to(&bytes, to);
                self.record_notices(process_number, news);
            }
        }
    }

    fn answer(
        &self,
        query: &[u8],
        from: SocketAddr,
        rng: &mut Pcg32,
        answer_count: u64,
        delayed: &mut BinaryHeap<DelayedAnswer>,
    ) {
        let now = self.recorder.now();
        if now < self.silent_until.load(Ordering::SeqCst) {
            return;
        }
        let faults = self.faults;
        let mut inject = |per_mille: u64, kind: &'static str| {
            let inject = u64::from(rng.next_u32()) % 1_000 < per_mille;
            if inject {
                self.recorder.fault(kind);
            }
            inject
        };
        if inject(faults.lost, "answer lost") {
            return;
        }
        let (stale, cut) = (inject(faults.stale, "answer stale"), inject(faults.cut, "answer cut"));
        let (error, duplicate_id) = (
            inject(faults.error, "answer error"),
            inject(faults.doubted, "answer with an id at two addresses"),
        );
        let (late, doubled) = (inject(faults.late, "answer late"), inject(faults.doubled, "answer doubled"));
        let mut delay = || u64::from(rng.next_u32()) % (faults.late_ms + 1) * 1_000;
        let (first_delay, second_delay) = (if late { delay() } else { 0 }, delay());
        let versions_back = 1 + u64::from(rng.next_u32()) % MAX_STALE_VERSIONS;
        let process_number = self.numberings.lock().expect("the numbering").0.process_number;
        let mut answer = self.compose(query, if stale { versions_back } else { 0 }, duplicate_id);
        if error {
            const SERVER_FAILURE: u8 = 2;
            answer.bytes[3] |= SERVER_FAILURE;
            answer.news = News::default();
        }
        if cut || answer.bytes.len() > MAX_DATAGRAM_BYTES {
            answer.bytes.truncate((answer.bytes.len() / 2).min(MAX_DATAGRAM_BYTES));
            // The program may use or discard a truncated answer, so it counts as no notice.
            answer.news = News::default();
        }
        if answer.bytes.len() > 8_192 {
            self.recorder.fault("answer over 8,192 bytes");
        }
        if doubled {
            let (bytes, news) = (answer.bytes.clone(), News::default());
            delayed.push(Reverse((
                now + first_delay + second_delay,
                answer_count << 1 | 1,
                bytes,
                from,
                process_number,
                news,
            )));
        }
        delayed.push(Reverse((
            now + first_delay,
            answer_count << 1,
            answer.bytes,
            from,
            process_number,
            answer.news,
        )));
    }

    /// Returns the answer to a query with the list of `versions_back` versions ago; with `duplicate_id` it lists the first id at two
    /// addresses.
    fn compose(&self, query: &[u8], versions_back: u64, duplicate_id: bool) -> Answer {
        let (version, _) = self.history.now();
        let sent_version = version.saturating_sub(versions_back);
        let entries = self.history.version(sent_version);
        let (current, previous) = *self.numberings.lock().expect("the numbering");
        // A version from before the process's start keeps the serial number that it had for the previous process.
        let numbering = if sent_version < current.first_version { previous } else { current };
        let serial = 1 + sent_version.saturating_sub(numbering.first_version);
        let mut news = News::of(&entries);
        if versions_back == 0 && !duplicate_id {
            news.draining_or_removed.extend(self.history.removed_since(current.first_version, &entries));
        }
        let listed_entry = |entry: &Entry| ListEntry {
            id: entry.id.clone(),
            address: entry.address,
            priority: u16::from(entry.draining),
            started_ms: entry.started_ms,
        };
        let mut listed: Vec<ListEntry> = entries.iter().map(listed_entry).collect();
        let unused_address = SocketAddr::from(([127, 0, 0, 1], 9));
        let padding =
            |n| ListEntry { priority: 1, ..ListEntry::ready(&format!("pad{n}"), unused_address, 0) };
        listed.extend((0..self.faults.padding).map(padding));
        if let (true, Some(first)) = (duplicate_id, listed.first().cloned()) {
            listed.push(ListEntry { address: unused_address, ..first });
        }
        if self.false_notices {
            news.draining_or_removed.extend(entries.iter().take(1).map(Entry::process));
        }
        Answer { bytes: crate::stand::list_answer(query, serial as u32, &listed), news }
    }

    fn record_notices(&self, process_number: usize, news: News) {
        let (at, dispatcher) = (self.recorder.now(), self.dispatcher);
        let mut known = self.known_starts.lock().expect("the known starts");
        let new = news.started.into_iter().filter(|start| known.insert((process_number, start.clone())));
        let start_notices: Vec<Notice> = new
            .map(|(worker, started_ms)| Notice { dispatcher, process_number, worker, started_ms, at })
            .collect();
        self.recorder.write(|r| {
            r.start_notices.extend(start_notices);
            r.drain_notices.extend(news.draining_or_removed.into_iter().map(|(worker, started_ms)| Notice {
                dispatcher,
                process_number,
                worker,
                started_ms,
                at,
            }));
        });
    }

    fn serve_streams(&self, listener: &TcpListener) {
        for mut stream in listener.incoming().map_while(Result::ok) {
            if self.stopped.load(Ordering::SeqCst) {
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
