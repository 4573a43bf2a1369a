//! A name service that answers with the list that a test sets, and as late, cut off or silent as it says.

use crate::relay::both;
use crate::stand::until;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

type List = Arc<Mutex<(u32, Vec<(String, SocketAddr, u16)>)>>;

/// An id alone stands in zone `a`; `s1.b` in zone `b`.
fn host(id: &str) -> String {
    if id.contains('.') { format!("{id}.hosts") } else { format!("{id}.a.hosts") }
}

/// Queries and who sent them, while none is answered.
type Held = Arc<Mutex<Option<Vec<(Vec<u8>, SocketAddr)>>>>;

/// A name service that answers with a list of ids, addresses and priorities.
pub struct Names {
    pub address: SocketAddr,
    list: List,
    /// Answers nonsense to so many queries first.
    pub nonsense: Arc<AtomicU32>,
    /// Sends the first half of each answer before the whole, with the same id.
    pub spoilt_first: Arc<AtomicBool>,
    heard: Arc<Mutex<BTreeSet<SocketAddr>>>,
    deaf: Arc<Mutex<BTreeSet<SocketAddr>>>,
    /// How long each answer travels, in milliseconds.
    pub travel_ms: Arc<AtomicU32>,
    /// Answers over UDP are cut off after so many bytes; 0: none is.
    pub cut_at: Arc<AtomicU32>,
    /// Answers that are cut off say so, and the whole is there over TCP.
    pub over_tcp: Arc<AtomicBool>,
    /// Queries that wait for their answers, while answers are held back.
    held: Held,
    socket: UdpSocket,
    /// When an answer with each number was first sent.
    first_sent: Arc<Mutex<BTreeMap<u32, Instant>>>,
}

impl Names {
    pub fn start() -> Names {
        let (socket, listener) = both();
        let address = socket.local_addr().expect("an address");
        let (list, nonsense) = (List::default(), Arc::new(AtomicU32::new(0)));
        let spoilt_first = Arc::new(AtomicBool::new(false));
        let (known, odd, spoil) = (list.clone(), nonsense.clone(), spoilt_first.clone());
        let (heard, deaf) =
            (Arc::<Mutex<BTreeSet<SocketAddr>>>::default(), Arc::<Mutex<BTreeSet<SocketAddr>>>::default());
        let (hears, ignores) = (heard.clone(), deaf.clone());
        let first_sent = Arc::<Mutex<BTreeMap<u32, Instant>>>::default();
        let sent = first_sent.clone();
        let travel_ms = Arc::new(AtomicU32::new(0));
        let travel = travel_ms.clone();
        let (cut_at, over_tcp) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicBool::new(false)));
        let (cut, says_so) = (cut_at.clone(), over_tcp.clone());
        let held = Held::default();
        let (keeps, answers) = (held.clone(), socket.try_clone().expect("the socket"));
        serve_over_tcp(listener, list.clone());
        std::thread::spawn(move || {
            let mut query = [0; 512];
            while let Ok((size, from)) = socket.recv_from(&mut query) {
                hears.lock().expect("who asked").insert(from);
                if ignores.lock().expect("who is ignored").contains(&from) {
                    continue;
                }
                if let Some(held) = &mut *keeps.lock().expect("what is held") {
                    held.push((query[..size].to_vec(), from));
                    continue;
                }
                let (serial, list) = known.lock().expect("a list").clone();
                let good = dns_answer(&query[..size], serial, &list);
                if odd.load(Ordering::SeqCst) > 0 {
                    odd.fetch_sub(1, Ordering::SeqCst);
                    let _ = socket.send_to(&good[..good.len() / 2], from);
                    let mut forged = good.clone();
                    forged[0] ^= 0xff;
                    let _ = socket.send_to(&forged, from);
                    continue;
                }
                if spoil.load(Ordering::SeqCst) {
                    let _ = socket.send_to(&good[..good.len() / 2], from);
                }
                sent.lock().expect("what was sent").entry(serial).or_insert_with(Instant::now);
                let good = match cut.load(Ordering::SeqCst) as usize {
                    0 => good,
                    most => cut_off(good, most, says_so.load(Ordering::SeqCst)),
                };
                let travels = Duration::from_millis(u64::from(travel.load(Ordering::SeqCst)));
                if travels.is_zero() {
                    let _ = socket.send_to(&good, from);
                } else {
                    let socket = socket.try_clone().expect("the socket");
                    std::thread::spawn(move || {
                        std::thread::sleep(travels);
                        let _ = socket.send_to(&good, from);
                    });
                }
            }
        });
        Names {
            address,
            list,
            nonsense,
            spoilt_first,
            heard,
            deaf,
            travel_ms,
            cut_at,
            over_tcp,
            held,
            socket: answers,
            first_sent,
        }
    }

    /// From here on says nothing to any address that has asked so far: those paths have fallen silent.
    pub fn fall_silent(&self) {
        let heard = self.heard.lock().expect("who asked").clone();
        self.deaf.lock().expect("who is ignored").extend(heard);
    }

    /// Answers no query from here on, until `let_go`; waits until one is held.
    pub fn hold(&self) {
        *self.held.lock().expect("what is held") = Some(Vec::new());
        until("nothing is asked", || {
            self.held.lock().expect("what is held").as_ref().is_some_and(|h| !h.is_empty())
        });
    }

    /// Answers all that was held with the list as it is now, and goes on answering.
    pub fn let_go(&self) {
        let held = self.held.lock().expect("what is held").take().unwrap_or_default();
        self.answer_all(&held);
    }

    /// Answers the first query that is held with the list as it is now, and nothing else.
    pub fn answer_held(&self) {
        let first: Vec<_> = self
            .held
            .lock()
            .expect("what is held")
            .iter_mut()
            .flat_map(|held| held.drain(..).take(1))
            .collect();
        self.answer_all(&first);
    }

    fn answer_all(&self, queries: &[(Vec<u8>, SocketAddr)]) {
        let (serial, list) = self.list.lock().expect("a list").clone();
        for (query, from) in queries {
            let _ = self.socket.send_to(&dns_answer(query, serial, &list), from);
        }
    }

    /// When an answer with this number was first sent; waits until one is.
    pub fn sent(&self, serial: u32) -> Instant {
        let first = || self.first_sent.lock().expect("what was sent").get(&serial).copied();
        until("no answer with that number is sent", || first().is_some());
        first().expect("it was sent")
    }

    /// Sets the whole list.
    pub fn set(&self, serial: u32, list: &[(&str, SocketAddr, u16)]) {
        let list = list.iter().map(|(id, a, p)| (id.to_string(), *a, *p)).collect();
        *self.list.lock().expect("a list") = (serial, list);
    }
}

/// The first bytes of an answer, with or without the flag that tells that it was cut off.
fn cut_off(mut answer: Vec<u8>, most: usize, says_so: bool) -> Vec<u8> {
    const TRUNCATED: u8 = 0x02;
    answer.truncate(most);
    if says_so {
        answer[2] |= TRUNCATED;
    }
    answer
}

/// Answers queries over TCP, each message preceded by its size.
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
            let answer = dns_answer(&query, serial, &entries);
            let mut message = (answer.len() as u16).to_be_bytes().to_vec();
            message.extend(answer);
            let _ = stream.write_all(&message);
        }
    });
}

fn dns_answer(query: &[u8], serial: u32, list: &[(String, SocketAddr, u16)]) -> Vec<u8> {
    let long_ago: Vec<_> = list.iter().map(|(id, a, p)| (id.clone(), *a, *p, 0)).collect();
    list_answer(query, serial, &long_ago)
}

/// An answer that lists ids, addresses, priorities and when each started, in Unix milliseconds.
pub fn list_answer(query: &[u8], serial: u32, list: &[(String, SocketAddr, u16, u64)]) -> Vec<u8> {
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
    for (id, address, priority, _) in list {
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
    for (id, _, _, started) in list {
        let host = name(&host(id));
        record(&mut out, &host, 1, &[127, 0, 0, 1]);
        let mut texts = Vec::new();
        for text in ["kind=std".to_string(), "cell=0".to_string(), format!("started={started}")] {
            texts.push(text.len() as u8);
            texts.extend(text.bytes());
        }
        record(&mut out, &host, 16, &texts);
    }
    out
}
