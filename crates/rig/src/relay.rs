//! Every directed link between two processes goes through here: datagrams are lost, delayed, doubled or cut by link;
//! connections are cut, throttled, reset, or fall silent while they stay up.
//!
//! Each process has one public address, a socket of the relay. What comes there from one process's real address goes on to
//! the other's from the sender's public address, so that each sees the others where all see them.

use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// What is done to datagrams; all links alike, but for those that are cut.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Links on which nothing passes, from one to the other.
    pub cut: BTreeSet<(usize, usize)>,
    /// So many of a hundred are lost.
    pub loss: u32,
    /// They take up to so long; each its own time, so that they overtake each other.
    pub delay: Duration,
    /// So many of a hundred come twice.
    pub doubled: u32,
    /// Connections from the one to the other stay up, and nothing passes that way.
    pub silent: BTreeSet<(usize, usize)>,
    /// Connections to this one get a byte at a time, each after so long.
    pub throttled: BTreeMap<usize, Duration>,
    /// Connections to this one are reset after so many bytes from the other.
    pub reset: BTreeMap<usize, usize>,
}

type Waiting = BinaryHeap<Reverse<(Instant, u64, usize, usize, Vec<u8>)>>;

struct Shared {
    sockets: Vec<UdpSocket>,
    /// Connections that passed through, by the one that began them.
    passed: Mutex<Vec<usize>>,
    real: Mutex<Vec<Option<SocketAddr>>>,
    faults: Mutex<Faults>,
    waiting: Mutex<(Waiting, u64, Pcg32)>,
    more: Condvar,
    over: AtomicBool,
}

/// The relay.
pub struct Relay {
    shared: Arc<Shared>,
}

impl Relay {
    /// For so many processes; the seed decides what is lost and when what comes.
    pub fn start(count: usize, seed: u64) -> Relay {
        let (sockets, listeners): (Vec<UdpSocket>, Vec<TcpListener>) = (0..count).map(|_| both()).unzip();
        let shared = Arc::new(Shared {
            sockets,
            passed: Mutex::new(vec![0; count]),
            real: Mutex::new(vec![None; count]),
            faults: Mutex::default(),
            waiting: Mutex::new((BinaryHeap::new(), 0, Pcg32::seed_from_u64(seed))),
            more: Condvar::new(),
            over: AtomicBool::new(false),
        });
        for (to, listener) in listeners.into_iter().enumerate() {
            let (datagrams, streams) = (shared.clone(), shared.clone());
            std::thread::spawn(move || datagrams.listen(to));
            std::thread::spawn(move || {
                for stream in listener.incoming().map_while(Result::ok) {
                    if streams.over.load(Ordering::SeqCst) {
                        return;
                    }
                    let shared = streams.clone();
                    std::thread::spawn(move || shared.connected(to, stream));
                }
            });
        }
        let sender = shared.clone();
        std::thread::spawn(move || sender.send());
        Relay { shared }
    }

    /// The public address of a process.
    pub fn address(&self, n: usize) -> SocketAddr {
        self.shared.sockets[n].local_addr().expect("an address")
    }

    /// Where a process really is.
    pub fn place(&self, n: usize, real: Option<SocketAddr>) {
        self.shared.real.lock().expect("addresses")[n] = real;
    }

    /// Changes what is done to datagrams.
    pub fn faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.faults.lock().expect("faults"));
    }

    /// Cuts every link from these to those.
    pub fn cut(&self, from: &[usize], to: &[usize]) {
        self.faults(|f| {
            for a in from {
                f.cut.extend(to.iter().filter(|b| *b != a).map(|b| (*a, *b)));
            }
        });
    }

    /// Cuts every link between these and those, both ways.
    pub fn part(&self, here: &[usize], there: &[usize]) {
        self.cut(here, there);
        self.cut(there, here);
    }

    /// Connections that this one began, through here.
    pub fn connections(&self, from: usize) -> usize {
        self.shared.passed.lock().expect("counts")[from]
    }

    /// All passes again.
    pub fn heal(&self) {
        self.faults(|f| *f = Faults::default());
    }

    /// Sends a process bytes that come from the public address of another: what a forged packet is.
    pub fn forge(&self, from: usize, to: usize, packet: &[u8]) {
        self.shared.post(from, to, packet.to_vec(), Instant::now());
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::SeqCst);
        self.shared.more.notify_all();
        // Each listener wakes once more, and ends.
        for socket in &self.shared.sockets {
            let own = socket.local_addr();
            let _ = own.as_ref().map(|own| (socket.send_to(b"", own), TcpStream::connect(own)));
        }
    }
}

/// A port for datagrams and one for connections, of the same number.
pub(crate) fn both() -> (UdpSocket, TcpListener) {
    loop {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
        if let Ok(listener) = TcpListener::bind(socket.local_addr().expect("an address")) {
            return (socket, listener);
        }
    }
}

/// The first line, with its end; who begins a connection says his name in it.
fn first_line(stream: &mut TcpStream) -> Vec<u8> {
    let (mut line, mut byte) = (Vec::new(), [0]);
    while line.len() < 256 && !line.ends_with(b"\n") && matches!(stream.read(&mut byte), Ok(1)) {
        line.push(byte[0]);
    }
    line
}

impl Shared {
    /// A connection to a process: what goes each way passes as the faults let it.
    fn connected(&self, to: usize, mut asker: TcpStream) {
        let line = first_line(&mut asker);
        let text = String::from_utf8_lossy(&line);
        let name = text.trim_end().rsplit(" n").next().and_then(|n| n.parse::<usize>().ok());
        let Some(from) = name.filter(|n| *n < self.sockets.len()) else { return };
        self.passed.lock().expect("counts")[from] += 1;
        let real = self.real.lock().expect("addresses")[to];
        let Some(mut other) = real.and_then(|real| TcpStream::connect(real).ok()) else { return };
        self.wait_open(from, to);
        let clones = (asker.try_clone(), other.try_clone());
        if other.write_all(&line).is_err() {
            return;
        }
        if let (Ok(reader), Ok(writer)) = clones {
            std::thread::scope(|scope| {
                scope.spawn(|| self.pump(from, to, reader, writer));
                self.pump(to, from, other, asker);
            });
        }
    }

    /// Waits while nothing passes that way.
    fn wait_open(&self, from: usize, to: usize) {
        let shut = || {
            let faults = self.faults.lock().expect("faults");
            faults.silent.contains(&(from, to)) || faults.cut.contains(&(from, to))
        };
        while shut() && !self.over.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn pump(&self, from: usize, to: usize, mut reader: TcpStream, mut writer: TcpStream) {
        let (mut buffer, mut passed) = ([0; 4_096], 0);
        while let Ok(size @ 1..) = reader.read(&mut buffer) {
            self.wait_open(from, to);
            let (throttle, reset) = {
                let faults = self.faults.lock().expect("faults");
                (faults.throttled.get(&to).copied(), faults.reset.get(&to).copied())
            };
            for piece in buffer[..size].chunks(if throttle.is_some() { 1 } else { 256 }) {
                throttle.into_iter().for_each(std::thread::sleep);
                if reset.is_some_and(|after| passed >= after) {
                    let _ = rustix::net::sockopt::set_socket_linger(&writer, Some(Duration::ZERO));
                    let _ = reader.shutdown(std::net::Shutdown::Both);
                    return;
                }
                if writer.write_all(piece).is_err() {
                    let _ = reader.shutdown(std::net::Shutdown::Both);
                    return;
                }
                passed += piece.len();
            }
        }
        let _ = writer.shutdown(std::net::Shutdown::Write);
    }

    fn listen(&self, to: usize) {
        let mut buffer = [0; 2_048];
        while let Ok((size, from)) = self.sockets[to].recv_from(&mut buffer) {
            if self.over.load(Ordering::SeqCst) {
                return;
            }
            let from = self.real.lock().expect("addresses").iter().position(|r| *r == Some(from));
            let Some(from) = from else { continue };
            let faults = self.faults.lock().expect("faults").clone();
            if faults.cut.contains(&(from, to)) {
                continue;
            }
            let (lost, doubled, wait) = {
                let rng = &mut self.waiting.lock().expect("a queue").2;
                let mut below = |most: u64| u64::from(rng.next_u32()) % most.max(1);
                let wait = Duration::from_micros(below(faults.delay.as_micros() as u64));
                (below(100) < u64::from(faults.loss), below(100) < u64::from(faults.doubled), wait)
            };
            if lost {
                continue;
            }
            let due = Instant::now() + wait;
            for _ in 0..1 + usize::from(doubled) {
                self.post(from, to, buffer[..size].to_vec(), due);
            }
        }
    }

    fn post(&self, from: usize, to: usize, packet: Vec<u8>, due: Instant) {
        let mut waiting = self.waiting.lock().expect("a queue");
        waiting.1 += 1;
        let number = waiting.1;
        waiting.0.push(Reverse((due, number, from, to, packet)));
        self.more.notify_one();
    }

    fn send(&self) {
        let mut waiting = self.waiting.lock().expect("a queue");
        while !self.over.load(Ordering::SeqCst) {
            let now = Instant::now();
            match waiting.0.peek().map(|next| next.0.0) {
                Some(due) if due <= now => {
                    let Some(Reverse((_, _, from, to, packet))) = waiting.0.pop() else { continue };
                    let real = self.real.lock().expect("addresses")[to];
                    if let Some(real) = real {
                        let _ = self.sockets[from].send_to(&packet, real);
                    }
                }
                Some(due) => waiting = self.more.wait_timeout(waiting, due - now).expect("a queue").0,
                None => waiting = self.more.wait(waiting).expect("a queue"),
            }
        }
    }
}
