//! A TCP connection with a bounded ring for each direction, and a protocol handler that consumes the received bytes.

use super::{Interest, Poll, PollEvent, Ring, Token};
use rustix::net::{AddressFamily, RecvFlags, SendFlags, SocketFlags, SocketType, sockopt};
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

/// Bytes read from one connection in a turn, so that no connection delays the others. The number of reads is not limited: the
/// kernel may return the pending data in any number of pieces, and a close behind them must be detected in the same turn.
const MAX_READ_BYTES_PER_TURN: usize = 256 * 1024;

/// The kernel send buffer of an outgoing connection.
const SEND_BUFFER_BYTES: usize = 64 * 1024;

/// A protocol violation by the peer; says which.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closed {
    /// It could not be established.
    NoConnect,
    /// The peer closed or reset it.
    Broken,
    /// The peer violated the protocol; says how.
    Malformed(&'static str),
}

/// The protocol handler of a connection.
pub trait ProtocolHandler {
    /// Where the handler puts the messages that it has parsed.
    type Out;
    /// Consumes the complete messages in `input`, which has received bytes.
    fn on_received(&mut self, input: &mut Ring, out: &mut Self::Out) -> Result<(), Malformed>;
    /// Returns whether to continue reading while the ring has space for `_room` more bytes; otherwise the peer is subject to
    /// backpressure.
    fn wants_more(&self, _room: usize) -> bool {
        true
    }
}

/// The socket of a connection with its buffers.
pub struct BufferedSocket {
    fd: OwnedFd,
    token: Token,
    interest: Interest,
    connecting: bool,
    writes_held: bool,
    input: Ring,
    output: Ring,
    /// Whether the peer has closed its sending side.
    pub read_closed: bool,
    /// Bytes queued since the start, less those that were taken back. It is the stream position of the next byte queued.
    pub queued: u64,
    /// Bytes passed to the kernel since the start.
    pub written: u64,
    /// Bytes received since the start.
    pub received: u64,
}

/// A connection and its protocol handler.
pub struct Connection<C> {
    /// The socket and its buffers.
    pub io: BufferedSocket,
    /// The protocol handler.
    pub handler: C,
}

impl BufferedSocket {
    /// Returns whether the connection is still being established.
    pub fn connecting(&self) -> bool {
        self.connecting
    }

    /// Holds back writes, or releases them. Held bytes are written by a later [`Connection::flush`], or once the descriptor is
    /// ready.
    pub fn hold_writes(&mut self, held: bool) {
        self.writes_held = held;
    }

    /// Returns whether writes are held back.
    pub fn writes_held(&self) -> bool {
        self.writes_held
    }

    /// Returns the token of the descriptor.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Returns the number of queued bytes that are not written yet.
    pub fn unsent_bytes(&self) -> usize {
        self.output.len()
    }

    /// Returns the number of received bytes that are not yet consumed as part of a message.
    pub fn unparsed_bytes(&self) -> usize {
        self.input.len()
    }

    /// Queues all of `data`, or nothing if it does not fit. Returns whether it was queued.
    #[must_use]
    pub fn queue(&mut self, data: &[u8]) -> bool {
        let fits = self.output.push(data);
        self.queued += if fits { data.len() as u64 } else { 0 };
        fits
    }

    /// Takes back all queued bytes from stream position `keep` on that are not written yet.
    pub fn truncate_queue(&mut self, keep: u64) {
        let dropped = self.queued.saturating_sub(keep.max(self.written)) as usize;
        self.output.truncate(dropped);
        self.queued -= dropped as u64;
    }

    /// Takes back the queued bytes from stream position `begins` to `ends`. Returns false, and changes nothing, if some of
    /// them were written already or are not queued.
    #[must_use]
    pub fn remove_queued(&mut self, begins: u64, ends: u64) -> bool {
        let unsent = begins >= self.written && begins <= ends && ends <= self.queued;
        if unsent {
            self.output.remove_range((begins - self.written) as usize, (ends - begins) as usize);
            self.queued -= ends - begins;
        }
        unsent
    }

    /// Overwrites queued bytes from stream position `begins` on with `data`. Returns false, and changes nothing, if some of
    /// them were written already or are not queued.
    #[must_use]
    pub fn overwrite(&mut self, begins: u64, data: &[u8]) -> bool {
        let at = begins.checked_sub(self.written).and_then(|at| usize::try_from(at).ok());
        at.is_some_and(|at| self.output.overwrite(at, data))
    }

    /// Returns whether the socket has something to report that was not read yet: data, the end of the stream or an error.
    pub fn has_unread_input(&self) -> bool {
        !matches!(rustix::net::recv(&self.fd, &mut [0u8; 1], RecvFlags::PEEK), Err(rustix::io::Errno::AGAIN))
    }

    /// Shuts down the sending side.
    pub fn shutdown_write(&self) {
        let _ = rustix::net::shutdown(&self.fd, rustix::net::Shutdown::Write);
    }

    fn flush(&mut self) -> Result<(), Closed> {
        while !self.connecting && !self.writes_held && !self.output.is_empty() {
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

impl<C: ProtocolHandler> Connection<C> {
    /// Creates a link of an accepted connection. `limits` are the sizes of the input and output ring, in bytes.
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
        Ok(Connection { io: BufferedSocket::new(fd, token, interest, false, limits), handler: peer })
    }

    /// Starts to connect. `limits` are the sizes of the input and output ring, in bytes.
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
        // A small buffer, because bytes in the kernel cannot be taken back when the peer drains without reading them.
        let _ = sockopt::set_socket_send_buffer_size(&fd, SEND_BUFFER_BYTES);
        match rustix::net::connect(&fd, &to) {
            Ok(()) | Err(rustix::io::Errno::INPROGRESS) => {}
            Err(e) => return Err(e.into()),
        }
        let interest = Interest { read: true, write: true };
        poll.add(&fd, token, interest)?;
        Ok(Connection { io: BufferedSocket::new(fd, token, interest, true, limits), handler: peer })
    }

    /// Handles an event on the descriptor. After an error the owner must drop the connection.
    pub fn handle_event(
        &mut self,
        poll: &mut Poll,
        ready: PollEvent,
        out: &mut C::Out,
    ) -> Result<(), Closed> {
        if self.io.connecting {
            if !ready.write && !ready.hung_up {
                return Ok(());
            }
            match sockopt::socket_error(&self.io.fd) {
                Ok(Ok(())) if !ready.hung_up => self.io.connecting = false,
                _ => return Err(Closed::NoConnect),
            }
        }
        let mut broken = None;
        if (ready.read || ready.hung_up) && !self.io.read_closed {
            broken = self.read(poll, out)?;
        }
        if let Some(why) = broken {
            return Err(why);
        }
        // A reset of a connection that is not being read would otherwise wake the loop in every turn without being read.
        if ready.hung_up && (self.io.read_closed || !self.wants_more()) {
            return Err(Closed::Broken);
        }
        self.flush(poll)
    }

    /// Passes the bytes that the handler left in the ring to it again.
    pub fn parse_buffered(&mut self, out: &mut C::Out) -> Result<(), Closed> {
        self.parse(out)
    }

    fn wants_more(&self) -> bool {
        self.handler.wants_more(self.io.input.free_space())
    }

    /// Reads and parses all pending data, up to the limit of a turn. A failure of the connection is returned only after the
    /// data before it has been parsed. A close is detected in the same turn as the data before it, because messages that a
    /// peer sent just before it closed must not be handled as if it were still connected.
    fn read(&mut self, poll: &mut Poll, out: &mut C::Out) -> Result<Option<Closed>, Closed> {
        let mut read = 0;
        while read < MAX_READ_BYTES_PER_TURN {
            let read_limit = poll.read_buffer.len().min(self.io.input.free_space());
            if !self.wants_more() {
                break;
            }
            if read_limit == 0 {
                return Err(Closed::Malformed("a message larger than allowed"));
            }
            match rustix::net::recv(&self.io.fd, &mut poll.read_buffer[..read_limit], RecvFlags::empty()) {
                Ok((0, _)) => {
                    self.io.read_closed = true;
                    break;
                }
                Ok((count, _)) => {
                    // Always fits: the read is limited to the space in the ring.
                    let _ = self.io.input.push(&poll.read_buffer[..count]);
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
        self.handler.on_received(&mut self.io.input, out).map_err(|m| Closed::Malformed(m.0))
    }

    /// Writes as much as possible, and registers for write readiness if bytes are left.
    pub fn flush(&mut self, poll: &Poll) -> Result<(), Closed> {
        self.io.flush()?;
        let write = self.io.connecting || !self.io.output.is_empty();
        let interest = Interest { read: !self.io.read_closed && self.wants_more(), write };
        if interest != self.io.interest {
            self.io.interest = interest;
            poll.modify(&self.io.fd, self.io.token, interest).map_err(|_| Closed::Broken)?;
        }
        Ok(())
    }
}

impl BufferedSocket {
    fn new(
        fd: OwnedFd,
        token: Token,
        interest: Interest,
        connecting: bool,
        limits: (usize, usize),
    ) -> BufferedSocket {
        let (input, output) = (Ring::new(limits.0), Ring::new(limits.1));
        BufferedSocket {
            fd,
            token,
            interest,
            connecting,
            writes_held: false,
            input,
            output,
            read_closed: false,
            queued: 0,
            written: 0,
            received: 0,
        }
    }
}

#[cfg(test)]
mod tests;
