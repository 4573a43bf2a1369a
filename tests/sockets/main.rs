//! Runs the real program as a process against simulated clients, executors, name services and brokers over sockets.

mod agent;
mod broker;
mod brokers;
mod configurations;
mod control_kit;
mod crossings;
mod deployments;
mod discovery;
mod mqtt;
mod operators;
mod repeats;
mod restarts;
mod stations;
mod thrift;
mod versions;

use ochreward_rig::stand;
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Returns the id of request number `n`.
fn id(n: u64) -> String {
    format!("{n:016x}")
}

/// Accepts the first connection that stays open and sends nothing; the others only filled the queue.
fn accept_silent(listener: &TcpListener) -> TcpStream {
    let silent = |mut stream: TcpStream| {
        stream.set_read_timeout(Some(Duration::from_millis(50))).expect("a time-out");
        stream.read(&mut [0]).is_err().then_some(stream)
    };
    listener.incoming().map_while(Result::ok).find_map(silent).expect("a connection that stays open")
}

/// Returns a listener whose accept queue is full: a new connection is established only once `fill` is dropped.
fn hung() -> (SocketAddr, TcpListener, Vec<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("a local address");
    let mut fill = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) {
        fill.push(stream);
        assert!(fill.len() < 100_000, "the accept queue never fills");
    }
    (address, listener, fill)
}
