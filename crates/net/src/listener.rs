//! A listening socket that can stop accepting for a while.

use super::{Interest, Poll, Token};
use rustix::fs::OFlags;
use rustix::io::Errno;
use rustix::net::{AddressFamily, SocketFlags, SocketType, sockopt};
use rustix::process::{PidfdFlags, PidfdGetfdFlags};
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

/// What one try to accept brought.
pub enum Accepted {
    /// A connection.
    One(OwnedFd),
    /// None waits.
    None,
    /// No descriptors are left; the connection still waits.
    OutOfDescriptors,
}

/// A listening socket.
pub struct Listener {
    fd: OwnedFd,
    token: Token,
    open: bool,
}

impl Listener {
    /// Listens on the address.
    pub fn bind(poll: &mut Poll, owner: u8, address: SocketAddr) -> io::Result<Listener> {
        let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let fd = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
        sockopt::set_socket_reuseaddr(&fd, true)?;
        rustix::net::bind(&fd, &address)?;
        rustix::net::listen(&fd, 1024)?;
        Listener::register(poll, owner, fd)
    }

    /// Takes over a listening socket that the process was started with, by a descriptor of its own: duplicated
    /// through the process's own pidfd, which asks for no trust in a bare number.
    pub fn inherit(poll: &mut Poll, owner: u8, number: i32) -> io::Result<Listener> {
        let myself = rustix::process::pidfd_open(rustix::process::getpid(), PidfdFlags::empty())?;
        let fd = rustix::process::pidfd_getfd(myself, number, PidfdGetfdFlags::empty())?;
        if !sockopt::socket_acceptconn(&fd)? {
            return Err(io::Error::other(format!("descriptor {number} is no socket that listens")));
        }
        let flags = rustix::fs::fcntl_getfl(&fd)?;
        rustix::fs::fcntl_setfl(&fd, flags | OFlags::NONBLOCK)?;
        Listener::register(poll, owner, fd)
    }

    fn register(poll: &mut Poll, owner: u8, fd: OwnedFd) -> io::Result<Listener> {
        let token = poll.token(owner, 0);
        poll.add(&fd, token, Interest { read: true, write: false })?;
        Ok(Listener { fd, token, open: true })
    }

    /// Listens no more. Danger: the description of an inherited socket lives on in other processes, and epoll
    /// would go on telling of it for ever; so it is taken out first.
    pub fn close(self, poll: &Poll) {
        let _ = poll.remove(&self.fd);
    }

    /// The address it listens on.
    pub fn address(&self) -> io::Result<SocketAddr> {
        SocketAddr::try_from(rustix::net::getsockname(&self.fd)?).map_err(|e| io::Error::other(e.to_string()))
    }

    /// Whether the token is its own.
    pub fn is(&self, token: Token) -> bool {
        self.token == token
    }

    /// Accepts one connection.
    pub fn accept(&self) -> Accepted {
        loop {
            match rustix::net::accept_with(&self.fd, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC) {
                Ok(fd) => return Accepted::One(fd),
                Err(Errno::INTR | Errno::CONNABORTED) => {}
                Err(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => {
                    return Accepted::OutOfDescriptors;
                }
                Err(_) => return Accepted::None,
            }
        }
    }

    /// A descriptor that does nothing but keep a place: given up, it leaves room for a connection.
    pub fn spare(&self) -> io::Result<OwnedFd> {
        Ok(rustix::io::fcntl_dupfd_cloexec(&self.fd, 0)?)
    }

    /// Stops or resumes being told of connections that wait.
    pub fn listen(&mut self, poll: &Poll, open: bool) {
        if self.open != open {
            self.open = open;
            let _ = poll.change(&self.fd, self.token, Interest { read: open, write: false });
        }
    }
}
