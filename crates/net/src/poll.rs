//! The epoll instance, and the tokens of the descriptors registered with it.

use rustix::event::Timespec;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use std::io;
use std::os::fd::{AsFd, OwnedFd};

/// The size of the shared read buffer, in bytes: the limit of one read from a socket.
const SCRATCH_BYTES: usize = 64 * 1024;
/// Limit of events handled in one turn: as many as the platform allows descriptors. With a lower limit, the close of a client
/// connection could be handled a turn later than an event that was ready with it and that sends the client's request.
const MAX_EVENTS: usize = 1_024;

/// The identity of a registered descriptor: its owner, its slot there, and a serial number that distinguishes it from
/// later ones in that slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token {
    /// The part of the program that owns it.
    pub owner: u8,
    /// Its slot within the owner.
    pub slot: u32,
    /// Distinguishes it from earlier ones in that slot: an event may arrive for one that was closed in the same turn.
    pub serial: u32,
}

impl Token {
    fn pack(self) -> u64 {
        u64::from(self.owner) << 56 | u64::from(self.slot & 0xff_ffff) << 32 | u64::from(self.serial)
    }

    fn unpack(data: u64) -> Token {
        Token { owner: (data >> 56) as u8, slot: (data >> 32) as u32 & 0xff_ffff, serial: data as u32 }
    }
}

/// The events that a descriptor waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interest {
    /// Data to read.
    pub read: bool,
    /// Space to write.
    pub write: bool,
}

impl Interest {
    fn flags(self) -> EventFlags {
        let mut flags = EventFlags::empty();
        flags.set(EventFlags::IN, self.read);
        flags.set(EventFlags::OUT, self.write);
        flags
    }
}

/// An event on a descriptor.
#[derive(Clone, Copy, Debug)]
pub struct PollEvent {
    /// The token of the descriptor.
    pub token: Token,
    /// Data or the end of the stream is ready to be read.
    pub read: bool,
    /// Space to write.
    pub write: bool,
    /// The connection failed or was closed in both directions (`EPOLLERR` or `EPOLLHUP`).
    pub hung_up: bool,
}

/// The epoll instance of the event loop.
pub struct Poll {
    epoll: OwnedFd,
    events: Vec<epoll::Event>,
    /// The buffer that all connections read into before the data is copied to their rings.
    pub read_buffer: Vec<u8>,
    last_serial: u32,
}

impl Poll {
    /// Creates an epoll instance.
    pub fn new() -> io::Result<Poll> {
        let epoll = epoll::create(CreateFlags::CLOEXEC)?;
        Ok(Poll {
            epoll,
            events: Vec::with_capacity(MAX_EVENTS),
            read_buffer: vec![0; SCRATCH_BYTES],
            last_serial: 0,
        })
    }

    /// Creates a token for a new descriptor.
    pub fn token(&mut self, owner: u8, slot: usize) -> Token {
        self.last_serial = self.last_serial.wrapping_add(1);
        Token { owner, slot: slot as u32, serial: self.last_serial }
    }

    /// Registers a descriptor.
    pub fn add(&self, fd: impl AsFd, token: Token, interest: Interest) -> io::Result<()> {
        Ok(epoll::add(&self.epoll, fd, EventData::new_u64(token.pack()), interest.flags())?)
    }

    /// Changes the events that a descriptor waits for.
    pub fn modify(&self, fd: impl AsFd, token: Token, interest: Interest) -> io::Result<()> {
        Ok(epoll::modify(&self.epoll, fd, EventData::new_u64(token.pack()), interest.flags())?)
    }

    /// Removes a descriptor.
    pub fn remove(&self, fd: impl AsFd) -> io::Result<()> {
        Ok(epoll::delete(&self.epoll, fd)?)
    }

    /// Waits for events, at most `max_wait_us` microseconds, and appends them to `out`.
    pub fn wait(&mut self, max_wait_us: u64, out: &mut Vec<PollEvent>) -> io::Result<()> {
        // Whole milliseconds, rounded up: waking before a deadline would only cost another turn.
        let ms = max_wait_us.div_ceil(1000).min(60_000);
        let limit = Timespec { tv_sec: (ms / 1000) as i64, tv_nsec: (ms % 1000 * 1_000_000) as i64 };
        self.events.clear();
        loop {
            match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(&mut self.events), Some(&limit)) {
                Ok(_) => break,
                // A call with time-out 0 must report every pending event, because its caller acts on their absence.
                Err(rustix::io::Errno::INTR) if ms == 0 => {}
                Err(rustix::io::Errno::INTR) => break,
                Err(e) => return Err(e.into()),
            }
        }
        out.extend(self.events.iter().map(|event| {
            let flags = event.flags;
            let hung = flags.intersects(EventFlags::HUP | EventFlags::ERR);
            PollEvent {
                token: Token::unpack(event.data.u64()),
                read: flags.contains(EventFlags::IN),
                write: flags.contains(EventFlags::OUT),
                hung_up: hung,
            }
        }));
        Ok(())
    }
}
