//! A connection: an object with two rings, whose callbacks are told of what happens on it.

use super::{Interest, Poll, Ready, Ring, Token};
use rustix::net::{AddressFamily, RecvFlags, SendFlags, SocketFlags, SocketType, sockopt};
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

/// Bytes read a turn from one connection, so that none holds up the others. Reads are not counted: the system may give what is
/// there in any number of pieces, and an end that lies behind them must be seen in the same turn.
const MOST_READ: usize = 256 * 1024;

/// Bytes that the system may hold for the peer of a connection of ours.
const SEND_BUFFER: usize = 64 * 1024;

/// The peer sent what no well-behaved one sends; says what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closed {
    /// It never came up.
    NoConnect,
    /// The peer closed or reset it.
    Broken,
    /// The peer sent nonsense.
    Malformed(&'static str),
}

/// What happens on a connection, told to the object that speaks its protocol.
pub trait Callbacks {
    /// Where that object leaves what it has read.
    type Out;
    /// Bytes have come; takes off the ring what it can read.
    fn received(&mut self, input: &mut Ring, out: &mut Self::Out) -> Result<(), Malformed>;
    /// Whether reading should go on with so much room left for what is not taken off the ring yet; else the peer is
    /// left to wait.
    fn wants_more(&self, _room: usize) -> bool {
        true
    }
}

/// The bytes' side of a connection.
pub struct Io {
    fd: OwnedFd,
    token: Token,
    interest: Interest,
    connecting: bool,
    held: bool,
    input: Ring,
    output: Ring,
    /// The peer will send no more.
    pub ended: bool,
    /// Bytes ever queued for sending.
    pub queued: u64,
    /// Bytes that the system has taken.
    pub written: u64,
    /// Bytes ever received.
    pub received: u64,
}

/// A connection and the object that speaks on it.
pub struct Link<C> {
    /// The bytes' side.
    pub io: Io,
    /// The object that speaks.
    pub peer: C,
}

impl Io {
    /// Whether the connection is not up yet.
    pub fn connecting(&self) -> bool {
        self.connecting
    }

    /// Has writes wait, or no longer wait. What waits is written by a later [`Link::flush`], or once the descriptor is ready.
    pub fn hold(&mut self, held: bool) {
        self.held = held;
    }

    /// Whether writes wait.
    pub fn is_held(&self) -> bool {
        self.held
    }

    /// The token it is registered under.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Bytes that wait to be sent.
    pub fn unsent(&self) -> usize {
        self.output.len()
    }

    /// Bytes received and not yet read as a whole message.
    pub fn unread(&self) -> usize {
        self.input.len()
    }

    /// Queues bytes: all of them, or none if they do not fit.
    #[must_use]
    pub fn queue(&mut self, data: &[u8]) -> bool {
        let fits = self.output.push(data);
        self.queued += if fits { data.len() as u64 } else { 0 };
        fits
    }

    /// Takes back everything queued beyond `keep` bytes ever queued.
    pub fn unqueue_after(&mut self, keep: u64) {
        let drop = self.queued.saturating_sub(keep.max(self.written)) as usize;
        self.output.truncate(drop);
        self.queued -= drop as u64;
    }

    /// Takes back the bytes from `begins` to `ends`, as counted in all ever queued, if none of them has been sent.
    #[must_use]
    pub fn unqueue(&mut self, begins: u64, ends: u64) -> bool {
        let unsent = begins >= self.written && begins <= ends && ends <= self.queued;
        if unsent {
            self.output.cut((begins - self.written) as usize, (ends - begins) as usize);
            self.queued -= ends - begins;
        }
        unsent
    }

    /// Writes `data` over bytes that wait to be sent, from `begins` on as counted in all ever queued; false where some of
    /// them have been sent, or are not there.
    #[must_use]
    pub fn overwrite(&mut self, begins: u64, data: &[u8]) -> bool {
        let at = begins.checked_sub(self.written).and_then(|at| usize::try_from(at).ok());
        at.is_some_and(|at| self.output.overwrite(at, data))
    }

    /// Whether the peer has sent something that was not read yet.
    pub fn pending(&self) -> bool {
        !matches!(rustix::net::recv(&self.fd, &mut [0u8; 1], RecvFlags::PEEK), Err(rustix::io::Errno::AGAIN))
    }

    /// Tells the peer that nothing more will be sent.
    pub fn finish(&self) {
        let _ = rustix::net::shutdown(&self.fd, rustix::net::Shutdown::Write);
    }

    fn flush(&mut self) -> Result<(), Closed> {
        while !self.connecting && !self.held && !self.output.is_empty() {
            match rustix::net::send(&self.fd, self.output.front(), SendFlags::NOSIGNAL) {
                Ok(count) => {
                    self.output.consume(count);
                    self.written += count as u64;
                }
                Err(rustix::io::Errno::AGAIN) => break,
                Err(rustix::io::Errno::INTR) => {}
                Err(_) => return Err(Closed::Broken),
            }
        }
        Ok(())
    }
}

impl<C: Callbacks> Link<C> {
    /// Takes over an accepted connection.
    pub fn accepted(
        poll: &Poll,
        fd: OwnedFd,
        token: Token,
        peer: C,
        limits: (usize, usize),
    ) -> io::Result<Self> {
        let _ = sockopt::set_tcp_nodelay(&fd, true);
        let interest = Interest { read: true, write: false };
        poll.add(&fd, token, interest)?;
        Ok(Link { io: Io::new(fd, token, interest, false, limits), peer })
    }

    /// Begins a connection.
    pub fn connect(
        poll: &Poll,
        to: SocketAddr,
        token: Token,
        peer: C,
        limits: (usize, usize),
    ) -> io::Result<Self> {
        let family = if to.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let fd = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
        let _ = sockopt::set_tcp_nodelay(&fd, true);
        // Danger: what the system holds for a peer that does not read can't be taken back when it drains.
        let _ = sockopt::set_socket_send_buffer_size(&fd, SEND_BUFFER);
        match rustix::net::connect(&fd, &to) {
            Ok(()) | Err(rustix::io::Errno::INPROGRESS) => {}
            Err(e) => return Err(e.into()),
        }
        let interest = Interest { read: true, write: true };
        poll.add(&fd, token, interest)?;
        Ok(Link { io: Io::new(fd, token, interest, true, limits), peer })
    }

    /// Handles what happened to the descriptor. After an error the owner drops the connection.
    pub fn ready(&mut self, poll: &mut Poll, ready: Ready, out: &mut C::Out) -> Result<(), Closed> {
        if self.io.connecting {
            if !ready.write && !ready.hung {
                return Ok(());
            }
            match sockopt::socket_error(&self.io.fd) {
                Ok(Ok(())) if !ready.hung => self.io.connecting = false,
                _ => return Err(Closed::NoConnect),
            }
        }
        let mut broken = None;
        if (ready.read || ready.hung) && !self.io.ended {
            broken = self.read(poll, out)?;
        }
        if let Some(why) = broken {
            return Err(why);
        }
        // Danger: a peer that resets while it is left to wait would wake every turn and never be read.
        if ready.hung && (self.io.ended || !self.wants_more()) {
            return Err(Closed::Broken);
        }
        self.flush(poll)
    }

    /// Reads on from what is held already: the object takes now what it left on the ring.
    pub fn resume(&mut self, out: &mut C::Out) -> Result<(), Closed> {
        self.parse(out)
    }

    fn wants_more(&self) -> bool {
        self.peer.wants_more(self.io.input.room())
    }

    /// Reads what is there, to its end. A break is returned only after all that came before it has been read.
    /// Danger: what a peer sent just before it closed must not be acted on as if the peer were still there, so that
    /// the end is looked for in the same turn.
    fn read(&mut self, poll: &mut Poll, out: &mut C::Out) -> Result<Option<Closed>, Closed> {
        let mut read = 0;
        while read < MOST_READ {
            let most = poll.scratch.len().min(self.io.input.room());
            if !self.wants_more() {
                break;
            }
            if most == 0 {
                return Err(Closed::Malformed("a message larger than allowed"));
            }
            match rustix::net::recv(&self.io.fd, &mut poll.scratch[..most], RecvFlags::empty()) {
                Ok((0, _)) => {
                    self.io.ended = true;
                    break;
                }
                Ok((count, _)) => {
                    // Fits: no more than the room was asked for.
                    let _ = self.io.input.push(&poll.scratch[..count]);
                    self.io.received += count as u64;
                    read += count;
                    self.parse(out)?;
                }
                Err(rustix::io::Errno::AGAIN) => break,
                Err(rustix::io::Errno::INTR) => {}
                Err(_) => return Ok(Some(Closed::Broken)),
            }
        }
        Ok(None)
    }

    fn parse(&mut self, out: &mut C::Out) -> Result<(), Closed> {
        self.peer.received(&mut self.io.input, out).map_err(|m| Closed::Malformed(m.0))
    }

    /// Sends what can be sent and waits for what is left.
    pub fn flush(&mut self, poll: &Poll) -> Result<(), Closed> {
        self.io.flush()?;
        let write = self.io.connecting || !self.io.output.is_empty();
        let interest = Interest { read: !self.io.ended && self.wants_more(), write };
        if interest != self.io.interest {
            self.io.interest = interest;
            poll.change(&self.io.fd, self.io.token, interest).map_err(|_| Closed::Broken)?;
        }
        Ok(())
    }
}

impl Io {
    fn new(fd: OwnedFd, token: Token, interest: Interest, connecting: bool, limits: (usize, usize)) -> Io {
        let (input, output) = (Ring::new(limits.0), Ring::new(limits.1));
        Io {
            fd,
            token,
            interest,
            connecting,
            held: false,
            input,
            output,
            ended: false,
            queued: 0,
            written: 0,
            received: 0,
        }
    }
}

#[cfg(test)]
mod tests;
