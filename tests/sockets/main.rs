//! Starts the real program as a process and plays its clients, executors, name service and broker over sockets.

mod agent;
mod broker;
mod crossings;
mod deployments;
mod discovery;
mod mqtt;
mod operators;
mod stations;
mod thrift;
mod versions;

use ochreward_rig::stand;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// The id of a request.
fn id(n: u64) -> String {
    format!("{n:016x}")
}

/// A listener whose queue of connections is full: one that is begun comes up only after a place is made.
fn hung() -> (SocketAddr, TcpListener, Vec<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let mut fill = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) {
        fill.push(stream);
        assert!(fill.len() < 100_000, "the queue never fills");
    }
    (address, listener, fill)
}
