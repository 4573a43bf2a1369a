//! A UDP socket connected to one name service, with its outstanding queries.
//!
//! A channel is kept for as long as answers to it may arrive, also after queries have moved to a newer one. It tracks at
//! most [`MAX_OUTSTANDING_QUERIES`].

use super::dns;
use crate::net::{Interest, Poll};
use rustix::io::Errno;
use rustix::net::{AddressFamily, RecvFlags, SendFlags, SocketFlags, SocketType};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

/// How long the answer to a query is accepted, in microseconds.
pub const ANSWER_TIMEOUT_US: u64 = 2_500_000;
/// Limit of outstanding queries of a channel; beyond it the oldest is dropped.
const MAX_OUTSTANDING_QUERIES: usize = 64;

/// An outstanding query.
#[derive(Clone, Copy, Debug)]
struct Query {
    id: u16,
    sent_at: u64,
}

/// The socket and its outstanding queries, oldest first.
pub struct Channel {
    fd: OwnedFd,
    queries: VecDeque<Query>,
}

impl Channel {
    /// Opens a socket connected to this server alone, registered under `owner` and `slot`.
    pub fn open(poll: &mut Poll, owner: u8, slot: usize, server: SocketAddr) -> io::Result<Channel> {
        let family = if server.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let fd = rustix::net::socket_with(family, SocketType::DGRAM, flags, None)?;
        rustix::net::connect(&fd, &server)?;
        let token = poll.token(owner, slot);
        poll.add(&fd, token, Interest { read: true, write: false })?;
        Ok(Channel { fd, queries: VecDeque::new() })
    }

    /// Returns the local port, or 0 if it is unavailable.
    pub fn port(&self) -> u16 {
        let address = rustix::net::getsockname(&self.fd).ok().and_then(|a| SocketAddr::try_from(a).ok());
        address.map_or(0, |a| a.port())
    }

    /// Sends a query and returns the bytes sent.
    pub fn send_query(&mut self, now: u64, id: u16, service: &str) -> Result<usize, Errno> {
        let query = dns::encode_query(id, service);
        let send = || rustix::io::retry_on_intr(|| rustix::net::send(&self.fd, &query, SendFlags::NOSIGNAL));
        // An ICMP error caused by an earlier query is returned by the next send, which then sends nothing: send again.
        let sent = match send() {
            Err(Errno::CONNREFUSED) => send(),
            other => other,
        }?;
        self.queries.push_back(Query { id, sent_at: now });
        if self.queries.len() > MAX_OUTSTANDING_QUERIES {
            self.queries.pop_front();
        }
        Ok(sent)
    }

    /// Reads the next packet and returns its size, or `None` if no packet is pending. After an error more packets may be
    /// pending: it reports the state of the path, not of the socket.
    pub fn receive(&mut self, buffer: &mut [u8]) -> Result<Option<usize>, Errno> {
        let received =
            rustix::io::retry_on_intr(|| rustix::net::recv(&self.fd, &mut *buffer, RecvFlags::empty()));
        match received {
            Ok((_, size)) => Ok(Some(size)),
            Err(Errno::AGAIN) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Returns when the query with this id was sent, if it is outstanding.
    pub fn query_sent_at(&self, id: u16) -> Option<u64> {
        self.queries.iter().find(|q| q.id == id).map(|q| q.sent_at)
    }

    /// Removes an answered query from the outstanding ones.
    pub fn complete_query(&mut self, id: u16) {
        self.queries.retain(|q| q.id != id);
    }

    /// Drops the queries that have timed out. Returns whether any is still outstanding.
    pub fn expire_queries(&mut self, now: u64) -> bool {
        while self.queries.front().is_some_and(|q| now >= q.sent_at + ANSWER_TIMEOUT_US) {
            self.queries.pop_front();
        }
        !self.queries.is_empty()
    }
}
