//! A stub DNS name service that answers with the worker list that the test sets, over UDP and TCP. Over UDP it can delay,
//! truncate, garble or withhold its answers as the test says.

use crate::relay::bind_udp_and_tcp;
use crate::stand::until;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A worker's entry in an answer of the name service.
#[derive(Clone, Debug)]
pub struct ListEntry {
    /// Its id.
    pub id: String,
    /// Its address.
    pub address: SocketAddr,
    /// 0 for ready, 1 for draining.
    pub priority: u16,
    /// When its process started, in Unix milliseconds; 0 for long ago.
    pub started_ms: u64,
}

impl ListEntry {
    /// Returns the entry of a ready worker whose process started at this time.
    pub fn ready(id: &str, address: SocketAddr, started_ms: u64) -> ListEntry {
        ListEntry { id: id.to_string(), address, priority: 0, started_ms }
    }
}

type List = Arc<Mutex<(u32, Vec<ListEntry>)>>;

/// Returns the host name of a worker's id: an id without a zone is in zone `a`, `s1.b` in zone `b`.
fn host(id: &str) -> String {
    if id.contains('.') { format!("{id}.hosts") } else { format!("{id}.a.hosts") }
}

/// Withheld queries and their senders; `None` while queries are answered at once.
type Withheld = Arc<Mutex<Option<Vec<(Vec<u8>, SocketAddr)>>>>;

/// A running stub name service, whose list has ids, addresses and priorities.
pub struct Names {
    /// Its address, over UDP and TCP.
    pub address: SocketAddr,
    list: List,
    /// The number of queries still to be answered with garbage: a truncated answer, then one with a wrong id.
    pub nonsense: Arc<AtomicU32>,
    /// Whether the first half of each answer is sent before the whole, with the same id.
    pub spoilt_first: Arc<AtomicBool>,
    senders: Arc<Mutex<BTreeSet<SocketAddr>>>,
    ignored: Arc<Mutex<BTreeSet<SocketAddr>>>,
    /// The delay of each answer, in milliseconds.
    pub travel_ms: Arc<AtomicU32>,
    /// The size to which answers over UDP are truncated, in bytes; 0 for no truncation.
    pub cut_at: Arc<AtomicU32>,
    /// Whether truncated answers set the TC flag, so that the client asks for the whole over TCP.
    pub over_tcp: Arc<AtomicBool>,
    /// The queries withheld since `hold`.
    withheld: Withheld,
    socket: UdpSocket,
    /// When an answer with each serial number was first sent.
    first_sent: Arc<Mutex<BTreeMap<u32, Instant>>>,
}

impl Names {
    pub fn start() -> Names {
        let (socket, listener) = bind_udp_and_tcp();
        let address = socket.local_addr().expect("an address");
        let (list, nonsense) = (List::default(), Arc::new(AtomicU32::new(0)));
        let spoilt_first = Arc::new(AtomicBool::new(false));
        let (current_list, garbage, half_first) = (list.clone(), nonsense.clone(), spoilt_first.clone());
        let (senders, ignored) =
            (Arc::<Mutex<BTreeSet<SocketAddr>>>::default(), Arc::<Mutex<BTreeSet<SocketAddr>>>::default());
        let (thread_senders, thread_ignored) = (senders.clone(), ignored.clone());
        let first_sent = Arc::<Mutex<BTreeMap<u32, Instant>>>::default();
        let send_times = first_sent.clone();
        let travel_ms = Arc::new(AtomicU32::new(0));
        let delay_ms = travel_ms.clone();
        let (cut_at, over_tcp) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicBool::new(false)));
        let (cut_at_bytes, set_flag) = (cut_at.clone(), over_tcp.clone());
        let withheld = Withheld::default();
        let (thread_withheld, answer_socket) = (withheld.clone(), socket.try_clone().expect("the socket"));
        serve_over_tcp(listener, list.clone());
        std::thread::spawn(move || {
            let mut query = [0; 512];
            while let Ok((size, from)) = socket.recv_from(&mut query) {
                thread_senders.lock().expect("the senders").insert(from);
                if thread_ignored.lock().expect("the ignored senders").contains(&from) {
                    continue;
                }
                if let Some(withheld) = &mut *thread_withheld.lock().expect("the withheld queries") {
                    withheld.push((query[..size].to_vec(), from));
                    continue;
                }
                let (serial, list) = current_list.lock().expect("a list").clone();
                let answer = list_answer(&query[..size], serial, &list);
                if garbage.load(Ordering::SeqCst) > 0 {
                    garbage.fetch_sub(1, Ordering::SeqCst);
                    let _ = socket.send_to(&answer[..answer.len() / 2], from);
                    let mut forged = answer.clone();
                    forged[0] ^= 0xff;
                    let _ = socket.send_to(&forged, from);
                    continue;
                }
                if half_first.load(Ordering::SeqCst) {
                    let _ = socket.send_to(&answer[..answer.len() / 2], from);
                }
                send_times.lock().expect("the send times").entry(serial).or_insert_with(Instant::now);
                let answer = match cut_at_bytes.load(Ordering::SeqCst) as usize {
                    0 => answer,
                    max_bytes => truncated(answer, max_bytes, set_flag.load(Ordering::SeqCst)),
                };
                let delay = Duration::from_millis(u64::from(delay_ms.load(Ordering::SeqCst)));
                if delay.is_zero() {
                    let _ = socket.send_to(&answer, from);
                } else {
                    let socket = socket.try_clone().expect("the socket");
                    std::thread::spawn(move || {
                        std::thread::sleep(delay);
                        let _ = socket.send_to(&answer, from);
                    });
                }
            }
        });
        Names {
            address,
            list,
            nonsense,
            spoilt_first,
            senders,
            ignored,
            travel_ms,
            cut_at,
            over_tcp,
            withheld,
            socket: answer_socket,
            first_sent,
        }
    }

    /// Answers no more queries from any address that has sent one so far, as if these paths were cut.
    pub fn fall_silent(&self) {
        let senders = self.senders.lock().expect("the senders").clone();
        self.ignored.lock().expect("the ignored senders").extend(senders);
    }

    /// Withholds answers until `let_go`; waits until one query is withheld.
    pub fn hold(&self) {
        *self.withheld.lock().expect("the withheld queries") = Some(Vec::new());
        until("no query arrived", || {
            self.withheld.lock().expect("the withheld queries").as_ref().is_some_and(|h| !h.is_empty())
        });
    }

    /// Answers all withheld queries with the current list, and later queries at once.
    pub fn let_go(&self) {
        let withheld = self.withheld.lock().expect("the withheld queries").take().unwrap_or_default();
        self.answer_all(&withheld);
    }

    /// Answers the oldest withheld query with the current list, and keeps withholding the others.
    pub fn answer_held(&self) {
        let first: Vec<_> = self
            .withheld
            .lock()
            .expect("the withheld queries")
            .iter_mut()
            .flat_map(|withheld| withheld.drain(..).take(1))
            .collect();
        self.answer_all(&first);
    }

    fn answer_all(&self, queries: &[(Vec<u8>, SocketAddr)]) {
        let (serial, list) = self.list.lock().expect("a list").clone();
        for (query, from) in queries {
            let _ = self.socket.send_to(&list_answer(query, serial, &list), from);
        }
    }

    /// Waits until an answer with this serial number has been sent, and returns when the first one was.
    pub fn sent(&self, serial: u32) -> Instant {
        let first = || self.first_sent.lock().expect("the send times").get(&serial).copied();
        until("no answer with that serial number was sent", || first().is_some());
        first().expect("it was sent")
    }

    /// Replaces the list and its serial number; all workers of it have started long ago.
    pub fn set(&self, serial: u32, list: &[(&str, SocketAddr, u16)]) {
        let entry = |(id, address, priority): &(&str, SocketAddr, u16)| ListEntry {
            priority: *priority,
            ..ListEntry::ready(id, *address, 0)
        };
        self.set_entries(serial, list.iter().map(entry).collect());
    }

    /// Replaces the list and its serial number.
    pub fn set_entries(&self, serial: u32, list: Vec<ListEntry>) {
        *self.list.lock().expect("a list") = (serial, list);
    }
}

/// Truncates an answer, and sets the TC flag if asked to.
fn truncated(mut answer: Vec<u8>, max_bytes: usize, set_flag: bool) -> Vec<u8> {
    const TRUNCATED: u8 = 0x02;
    answer.truncate(max_bytes);
    if set_flag {
        answer[2] |= TRUNCATED;
    }
    answer
}

/// Answers queries over TCP, one per connection, each message preceded by its size.
fn serve_over_tcp(listener: TcpListener, list: List) {
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let (mut size, mut query) = ([0; 2], Vec::new());
            if stream.read_exact(&mut size).is_err() {
                continue;
            }
            query.resize(usize::from(u16::from_be_bytes(size)), 0);
            if stream.read_exact(&mut query).is_err() {
                continue;
            }
            let (serial, entries) = list.lock().expect("a list").clone();
            let answer = list_answer(&query, serial, &entries);
            let mut message = (answer.len() as u16).to_be_bytes().to_vec();
            message.extend(answer);
            let _ = stream.write_all(&message);
        }
    });
}

/// Encodes a DNS answer with this list.
pub fn list_answer(query: &[u8], serial: u32, list: &[ListEntry]) -> Vec<u8> {
    let name = |name: &str| {
        let mut out = Vec::new();
        for label in name.split('.') {
            out.push(label.len() as u8);
            out.extend(label.bytes());
        }
        out.push(0);
        out
    };
    let service = name("_back._tcp.pool.lan");
    let mut out = query[..2].to_vec();
    out.extend([0x84, 0, 0, 1]);
    out.extend((list.len() as u16).to_be_bytes());
    out.extend([0, 1]);
    out.extend((2 * list.len() as u16).to_be_bytes());
    out.extend(&query[12..12 + service.len() + 4]);
    let record = |out: &mut Vec<u8>, owner: &[u8], kind: u8, data: &[u8]| {
        out.extend(owner);
        out.extend([0, kind, 0, 1, 0, 0, 0, 0]);
        out.extend((data.len() as u16).to_be_bytes());
        out.extend(data);
    };
    for ListEntry { id, address, priority, .. } in list {
        let mut data = priority.to_be_bytes().to_vec();
        data.extend([0, 40]);
        data.extend(address.port().to_be_bytes());
        data.extend(name(&host(id)));
        record(&mut out, &service, 33, &data);
    }
    let mut soa = vec![0, 0];
    soa.extend(serial.to_be_bytes());
    soa.extend([0; 16]);
    record(&mut out, &service, 6, &soa);
    for ListEntry { id, started_ms, .. } in list {
        let host = name(&host(id));
        record(&mut out, &host, 1, &[127, 0, 0, 1]);
        let mut texts = Vec::new();
        for text in ["kind=std".to_string(), "cell=0".to_string(), format!("started={started_ms}")] {
            texts.push(text.len() as u8);
            texts.extend(text.bytes());
        }
        record(&mut out, &host, 16, &texts);
    }
    out
}
