//! TCP proxies between dispatchers and workers. Each pair has a listener of its own, so that any dispatcher can be cut off from any
//! worker, in one direction or both. A cut is silent: connections stay open, and no data passes until it is healed.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Directions that are cut: the dispatcher, the worker, and whether it is the direction towards the worker.
type Cuts = BTreeSet<(usize, usize, bool)>;

struct Shared {
    cuts: Mutex<Cuts>,
    stopped: AtomicBool,
}

/// The running proxies.
pub struct Crossing {
    shared: Arc<Shared>,
    addresses: Vec<Vec<SocketAddr>>,
}

impl Crossing {
    /// Starts a proxy from each of `dispatchers` dispatchers to each of these workers.
    pub fn start(dispatchers: usize, workers: &[SocketAddr]) -> Crossing {
        let shared = Arc::new(Shared { cuts: Mutex::default(), stopped: AtomicBool::new(false) });
        let start_proxy = |from: usize, (worker, to): (usize, &SocketAddr)| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
            let (address, shared, to) = (listener.local_addr().expect("an address"), shared.clone(), *to);
            std::thread::spawn(move || shared.accept(&listener, from, worker, to));
            address
        };
        let proxies = |from: usize| workers.iter().enumerate().map(|w| start_proxy(from, w)).collect();
        Crossing { addresses: (0..dispatchers).map(proxies).collect(), shared }
    }

    /// Returns the addresses at which a dispatcher reaches the workers.
    pub fn addresses(&self, dispatcher: usize) -> &[SocketAddr] {
        &self.addresses[dispatcher]
    }

    /// Cuts the connections of these dispatchers to these workers; in `ways`, true is the direction towards the worker and false the
    /// one back.
    pub fn cut(&self, dispatchers: &[usize], workers: &[usize], ways: &[bool]) {
        let mut cuts = self.shared.cuts.lock().expect("cuts");
        for d in dispatchers {
            cuts.extend(workers.iter().flat_map(|w| ways.iter().map(|way| (*d, *w, *way))));
        }
    }

    /// Removes all cuts.
    pub fn heal(&self) {
        self.shared.cuts.lock().expect("cuts").clear();
    }
}

impl Drop for Crossing {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        // A connection wakes each listener, which then ends.
        self.addresses.iter().flatten().for_each(|a| drop(TcpStream::connect(a)));
    }
}

impl Shared {
    fn accept(self: Arc<Shared>, listener: &TcpListener, from: usize, worker: usize, to: SocketAddr) {
        for stream in listener.incoming().map_while(Result::ok) {
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            let shared = self.clone();
            std::thread::spawn(move || shared.forward(stream, from, worker, to));
        }
    }

    /// Waits while the direction is cut.
    fn wait(&self, direction: (usize, usize, bool)) {
        let is_cut = || self.cuts.lock().expect("cuts").contains(&direction);
        while is_cut() && !self.stopped.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn forward(&self, dispatcher_side: TcpStream, from: usize, worker: usize, to: SocketAddr) {
        self.wait((from, worker, true));
        // The worker refuses connections: the dispatcher sees a reset.
        let Ok(worker_side) = TcpStream::connect(to) else {
            let _ = rustix::net::sockopt::set_socket_linger(&dispatcher_side, Some(Duration::ZERO));
            return;
        };
        let _ = (dispatcher_side.set_nodelay(true), worker_side.set_nodelay(true));
        let clones = (dispatcher_side.try_clone(), worker_side.try_clone());
        if let (Ok(reader), Ok(writer)) = clones {
            std::thread::scope(|scope| {
                scope.spawn(|| self.pump((from, worker, true), reader, writer));
                self.pump((from, worker, false), worker_side, dispatcher_side);
            });
        }
    }

    fn pump(&self, direction: (usize, usize, bool), mut reader: TcpStream, mut writer: TcpStream) {
        let mut buffer = [0; 8_192];
        while let Ok(size @ 1..) = reader.read(&mut buffer) {
            self.wait(direction);
            if writer.write_all(&buffer[..size]).is_err() {
                break;
            }
        }
        self.wait(direction);
        let _ = (reader.shutdown(Shutdown::Both), writer.shutdown(Shutdown::Both));
    }
}
