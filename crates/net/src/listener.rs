//! A listening socket that can pause accepting.

use super::{Interest, Poll, Token};
use rustix::fs::OFlags;
use rustix::io::Errno;
use rustix::net::{AddressFamily, SocketFlags, SocketType, sockopt};
use rustix::process::{PidfdFlags, PidfdGetfdFlags};
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

/// The result of one attempt to accept a connection.
pub enum Accepted {
    /// A connection.
    Connection(OwnedFd),
    /// No connection is pending.
    None,
    /// No descriptor or memory is left; the connection stays pending.
    OutOfDescriptors,
}

/// A listening socket.
pub struct Listener {
    fd: OwnedFd,
    token: Token,
    accepting: bool,
}

impl Listener {
    /// Creates a socket that listens on the address.
    pub fn bind(poll: &mut Poll, owner: u8, address: SocketAddr) -> io::Result<Listener> {
        let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let fd = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
        sockopt::set_socket_reuseaddr(&fd, true)?;
        rustix::net::bind(&fd, &address)?;
        rustix::net::listen(&fd, 1024)?;
        Listener::register(poll, owner, fd)
    }

    /// Takes over a listening socket that the process was started with. The descriptor is duplicated through the process's
    /// own pidfd, which makes an owned descriptor of a bare number without unsafe code.
    pub fn from_inherited(poll: &mut Poll, owner: u8, number: i32) -> io::Result<Listener> {
        let own_process = rustix::process::pidfd_open(rustix::process::getpid(), PidfdFlags::empty())?;
        let fd = rustix::process::pidfd_getfd(own_process, number, PidfdGetfdFlags::empty())?;
        if !sockopt::socket_acceptconn(&fd)? {
            return Err(io::Error::other(format!("descriptor {number} is not a listening socket")));
        }
        let flags = rustix::fs::fcntl_getfl(&fd)?;
        rustix::fs::fcntl_setfl(&fd, flags | OFlags::NONBLOCK)?;
        Listener::register(poll, owner, fd)
    }

    fn register(poll: &mut Poll, owner: u8, fd: OwnedFd) -> io::Result<Listener> {
        let token = poll.token(owner, 0);
        poll.add(&fd, token, Interest { read: true, write: false })?;
        Ok(Listener { fd, token, accepting: true })
    }

    /// Closes the socket, after removing it from epoll: the open file description of an inherited socket lives on in other
    /// processes, and epoll would report events for it indefinitely.
    pub fn close(self, poll: &Poll) {
        let _ = poll.remove(&self.fd);
    }

    /// Returns the address of the socket.
    pub fn address(&self) -> io::Result<SocketAddr> {
        SocketAddr::try_from(rustix::net::getsockname(&self.fd)?).map_err(|e| io::Error::other(e.to_string()))
    }

    /// Returns whether the token belongs to this socket.
    pub fn owns_token(&self, token: Token) -> bool {
        self.token == token
    }

    /// Accepts one connection, skipping those that were aborted.
    pub fn accept(&self) -> Accepted {
        loop {
            match rustix::net::accept_with(&self.fd, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC) {
                Ok(fd) => return Accepted::Connection(fd),
                Err(Errno::INTR | Errno::CONNABORTED) => {}
                Err(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => {
                    return Accepted::OutOfDescriptors;
                }
                Err(_) => return Accepted::None,
            }
        }
    }

    /// Returns a duplicate descriptor that only reserves an entry of the descriptor table: closing it makes room to accept
    /// a connection when no descriptors are left.
    pub fn reserve_descriptor(&self) -> io::Result<OwnedFd> {
        Ok(rustix::io::fcntl_dupfd_cloexec(&self.fd, 0)?)
    }

    /// Pauses or resumes events for pending connections.
    pub fn set_accepting(&mut self, poll: &Poll, accepting: bool) {
        if self.accepting != accepting {
            self.accepting = accepting;
            let _ = poll.modify(&self.fd, self.token, Interest { read: accepting, write: false });
        }
    }
}
