//! A proxy for all messages between dispatchers that injects faults per link: datagrams are lost, delayed, duplicated or cut;
//! connections are cut, throttled, reset, or kept open while nothing passes. Losses and delays are drawn from a seed.
//!
//! Each process has one public address, a UDP socket and a TCP listener of the relay. A datagram that arrives there from another
//! process's real address is forwarded from the sender's public address, so that every process has the same address for all
//! others. The sender of a connection is taken from the process name in its first line.

use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// The faults in force. Loss, delay and duplication apply to all links alike.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Directed links, from sender to receiver, on which nothing passes.
    pub cut: BTreeSet<(usize, usize)>,
    /// The percentage of datagrams that are lost.
    pub loss: u32,
    /// The longest delay of a datagram. Each has its own delay, so datagrams can overtake each other.
    pub delay: Duration,
    /// The percentage of datagrams that are delivered twice.
    pub doubled: u32,
    /// Directed links on which connections stay open but no data passes.
    pub silent: BTreeSet<(usize, usize)>,
    /// For each receiver with throttled connections, the delay before each single byte.
    pub throttled: BTreeMap<usize, Duration>,
    /// For each receiver, the number of bytes after which connections to it are reset.
    pub reset: BTreeMap<usize, usize>,
}

type DelayQueue = BinaryHeap<Reverse<(Instant, u64, usize, usize, Vec<u8>)>>;

struct Shared {
    sockets: Vec<UdpSocket>,
    /// The number of connections opened so far, by sender.
    opened: Mutex<Vec<usize>>,
    real_addresses: Mutex<Vec<Option<SocketAddr>>>,
    faults: Mutex<Faults>,
    delayed: Mutex<(DelayQueue, u64, Pcg32)>,
    queue_changed: Condvar,
    stopped: AtomicBool,
}

/// A running relay.
pub struct Relay {
    shared: Arc<Shared>,
}

impl Relay {
    /// Starts a relay for `count` processes; losses, duplicates and delays are drawn from the seed.
    pub fn start(count: usize, seed: u64) -> Relay {
        let (sockets, listeners): (Vec<UdpSocket>, Vec<TcpListener>) =
            (0..count).map(|_| bind_udp_and_tcp()).unzip();
        let shared = Arc::new(Shared {
            sockets,
            opened: Mutex::new(vec![0; count]),
            real_addresses: Mutex::new(vec![None; count]),
            faults: Mutex::default(),
            delayed: Mutex::new((BinaryHeap::new(), 0, Pcg32::seed_from_u64(seed))),
            queue_changed: Condvar::new(),
            stopped: AtomicBool::new(false),
        });
        for (to, listener) in listeners.into_iter().enumerate() {
            let (datagrams, streams) = (shared.clone(), shared.clone());
            std::thread::spawn(move || datagrams.receive_datagrams(to));
            std::thread::spawn(move || {
                for stream in listener.incoming().map_while(Result::ok) {
                    if streams.stopped.load(Ordering::SeqCst) {
                        return;
                    }
                    let shared = streams.clone();
                    std::thread::spawn(move || shared.forward_connection(to, stream));
                }
            });
        }
        let sender = shared.clone();
        std::thread::spawn(move || sender.send_due());
        Relay { shared }
    }

    /// Returns the public address of a process.
    pub fn address(&self, n: usize) -> SocketAddr {
        self.shared.sockets[n].local_addr().expect("an address")
    }

    /// Sets the real address of a process; `None` while it is not running.
    pub fn place(&self, n: usize, real: Option<SocketAddr>) {
        self.shared.real_addresses.lock().expect("addresses")[n] = real;
    }

    /// Changes the faults in force.
    pub fn faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.faults.lock().expect("faults"));
    }

    /// Cuts every link from the first set of processes to the second, in that direction only.
    pub fn cut(&self, from: &[usize], to: &[usize]) {
        self.faults(|f| {
            for a in from {
                f.cut.extend(to.iter().filter(|b| *b != a).map(|b| (*a, *b)));
            }
        });
    }

    /// Cuts every link between the two sets of processes, in both directions.
    pub fn part(&self, here: &[usize], there: &[usize]) {
        self.cut(here, there);
        self.cut(there, here);
    }

    /// Returns the number of connections that a process has opened through the relay.
    pub fn connections(&self, from: usize) -> usize {
        self.shared.opened.lock().expect("counts")[from]
    }

    /// Removes all faults.
    pub fn heal(&self) {
        self.faults(|f| *f = Faults::default());
    }

    /// Sends a process a forged packet, whose source is the public address of another process.
    pub fn forge(&self, from: usize, to: usize, packet: &[u8]) {
        self.shared.enqueue(from, to, packet.to_vec(), Instant::now());
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        self.shared.queue_changed.notify_all();
        // A datagram and a connection wake each listener, which then ends.
        for socket in &self.shared.sockets {
            let address = socket.local_addr();
            let _ = address.as_ref().map(|to| (socket.send_to(b"", to), TcpStream::connect(to)));
        }
    }
}

/// Returns a UDP socket and a TCP listener on the same port number.
pub(crate) fn bind_udp_and_tcp() -> (UdpSocket, TcpListener) {
    loop {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
        if let Ok(listener) = TcpListener::bind(socket.local_addr().expect("an address")) {
            return (socket, listener);
        }
    }
}

/// Reads the first line of a connection, with its line end; it ends with the name of the process that opened the connection.
fn first_line(stream: &mut TcpStream) -> Vec<u8> {
    let (mut line, mut byte) = (Vec::new(), [0]);
    while line.len() < 256 && !line.ends_with(b"\n") && matches!(stream.read(&mut byte), Ok(1)) {
        line.push(byte[0]);
    }
    line
}

impl Shared {
    /// Forwards a connection to a process in both directions, subject to the faults.
    fn forward_connection(&self, to: usize, mut client: TcpStream) {
        let line = first_line(&mut client);
        let text = String::from_utf8_lossy(&line);
        let name = text.trim_end().rsplit(" n").next().and_then(|n| n.parse::<usize>().ok());
        let Some(from) = name.filter(|n| *n < self.sockets.len()) else { return };
        self.opened.lock().expect("counts")[from] += 1;
        let real = self.real_addresses.lock().expect("addresses")[to];
        let Some(mut server) = real.and_then(|real| TcpStream::connect(real).ok()) else { return };
        self.wait_open(from, to);
        let clones = (client.try_clone(), server.try_clone());
        if server.write_all(&line).is_err() {
            return;
        }
        if let (Ok(reader), Ok(writer)) = clones {
            std::thread::scope(|scope| {
                scope.spawn(|| self.pump(from, to, reader, writer));
                self.pump(to, from, server, client);
            });
        }
    }

    /// Waits while the link is cut or silent.
    fn wait_open(&self, from: usize, to: usize) {
        let blocked = || {
            let faults = self.faults.lock().expect("faults");
            faults.silent.contains(&(from, to)) || faults.cut.contains(&(from, to))
        };
        while blocked() && !self.stopped.load(Ordering::SeqCst) {
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

    fn receive_datagrams(&self, to: usize) {
        let mut buffer = [0; 2_048];
        while let Ok((size, from)) = self.sockets[to].recv_from(&mut buffer) {
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            let from = self.real_addresses.lock().expect("addresses").iter().position(|r| *r == Some(from));
            let Some(from) = from else { continue };
            let faults = self.faults.lock().expect("faults").clone();
            if faults.cut.contains(&(from, to)) {
                continue;
            }
            let (lost, doubled, wait) = {
                let rng = &mut self.delayed.lock().expect("a queue").2;
                let mut below = |most: u64| u64::from(rng.next_u32()) % most.max(1);
                let wait = Duration::from_micros(below(faults.delay.as_micros() as u64));
                (below(100) < u64::from(faults.loss), below(100) < u64::from(faults.doubled), wait)
            };
            if lost {
                continue;
            }
            let due = Instant::now() + wait;
            for _ in 0..1 + usize::from(doubled) {
                self.enqueue(from, to, buffer[..size].to_vec(), due);
            }
        }
    }

    fn enqueue(&self, from: usize, to: usize, packet: Vec<u8>, due: Instant) {
        let mut delayed = self.delayed.lock().expect("a queue");
        delayed.1 += 1;
        let number = delayed.1;
        delayed.0.push(Reverse((due, number, from, to, packet)));
        self.queue_changed.notify_one();
    }

    fn send_due(&self) {
        let mut delayed = self.delayed.lock().expect("a queue");
        while !self.stopped.load(Ordering::SeqCst) {
            let now = Instant::now();
            match delayed.0.peek().map(|next| next.0.0) {
                Some(due) if due <= now => {
                    let Some(Reverse((_, _, from, to, packet))) = delayed.0.pop() else { continue };
                    let real = self.real_addresses.lock().expect("addresses")[to];
                    if let Some(real) = real {
                        let _ = self.sockets[from].send_to(&packet, real);
                    }
                }
                Some(due) => {
                    delayed = self.queue_changed.wait_timeout(delayed, due - now).expect("a queue").0
                }
                None => delayed = self.queue_changed.wait(delayed).expect("a queue"),
            }
        }
    }
}
