//! A UDP socket that asks one name service, with the queries on it that may still be answered.
//!
//! A channel is kept for as long as answers may be on their way to it, also when queries go out on a newer one.

use super::dns;
use crate::net::{Interest, Poll};
use rustix::io::Errno;
use rustix::net::{AddressFamily, RecvFlags, SendFlags, SocketFlags, SocketType};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

/// How long the answer to a query is awaited, in microseconds.
pub const ANSWER_LIFETIME_US: u64 = 2_500_000;
/// Queries of a channel whose answers are awaited at a time.
const MOST_QUERIES: usize = 64;

/// A query whose answer is awaited.
#[derive(Clone, Copy, Debug)]
struct Query {
    id: u16,
    sent_at: u64,
}

/// The socket and its queries.
pub struct Channel {
    fd: OwnedFd,
    queries: VecDeque<Query>,
}

impl Channel {
    /// Opens a socket that speaks with this server alone, registered under `owner` and `slot`.
    pub fn open(poll: &mut Poll, owner: u8, slot: usize, server: SocketAddr) -> io::Result<Channel> {
        let family = if server.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let fd = rustix::net::socket_with(family, SocketType::DGRAM, flags, None)?;
        rustix::net::connect(&fd, &server)?;
        let token = poll.token(owner, slot);
        poll.add(&fd, token, Interest { read: true, write: false })?;
        Ok(Channel { fd, queries: VecDeque::new() })
    }

    /// The port that answers come to; 0 if the system does not tell.
    pub fn port(&self) -> u16 {
        let address = rustix::net::getsockname(&self.fd).ok().and_then(|a| SocketAddr::try_from(a).ok());
        address.map_or(0, |a| a.port())
    }

    /// Sends a query; the bytes sent.
    pub fn ask(&mut self, now: u64, id: u16, service: &str) -> Result<usize, Errno> {
        let query = dns::query(id, service);
        let send = || rustix::io::retry_on_intr(|| rustix::net::send(&self.fd, &query, SendFlags::NOSIGNAL));
        // What a query before this one met is told by the next call, which then sends nothing.
        let sent = match send() {
            Err(Errno::CONNREFUSED) => send(),
            other => other,
        }?;
        self.queries.push_back(Query { id, sent_at: now });
        if self.queries.len() > MOST_QUERIES {
            self.queries.pop_front();
        }
        Ok(sent)
    }

    /// Reads the next packet; none if there is none. An error tells of the path: more packets may be there.
    pub fn receive(&mut self, buffer: &mut [u8]) -> Result<Option<usize>, Errno> {
        let received =
            rustix::io::retry_on_intr(|| rustix::net::recv(&self.fd, &mut *buffer, RecvFlags::empty()));
        match received {
            Ok((_, size)) => Ok(Some(size)),
            Err(Errno::AGAIN) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// When the query of this id was sent, if its answer is awaited.
    pub fn asked_at(&self, id: u16) -> Option<u64> {
        self.queries.iter().find(|q| q.id == id).map(|q| q.sent_at)
    }

    /// Awaits no further answer to this query.
    pub fn answered(&mut self, id: u16) {
        self.queries.retain(|q| q.id != id);
    }

    /// Gives up what has waited too long; false once nothing is awaited.
    pub fn awaits(&mut self, now: u64) -> bool {
        while self.queries.front().is_some_and(|q| now >= q.sent_at + ANSWER_LIFETIME_US) {
            self.queries.pop_front();
        }
        !self.queries.is_empty()
    }
}
