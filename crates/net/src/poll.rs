//! The epoll instance and the tokens of what is registered with it.

use rustix::event::Timespec;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use std::io;
use std::os::fd::{AsFd, OwnedFd};

/// Bytes read from a socket at a time.
const SCRATCH: usize = 64 * 1024;
/// Events taken in one turn: as many as the platform allows descriptors. Danger: of what is ready at a time, a client's
/// leaving must not be seen a turn later than what would send its request on.
const EVENTS: usize = 1_024;

/// Names a registered descriptor: its owner, its place there, and a number that no later one in that place has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token {
    /// Which part of the program owns it.
    pub owner: u8,
    /// Its place there.
    pub slot: u32,
    /// Tells it from earlier ones in that place: an event may come for one that closed in the same turn.
    pub serial: u32,
}

impl Token {
    fn pack(self) -> u64 {
        u64::from(self.owner) << 56 | u64::from(self.slot & 0xff_ffff) << 32 | u64::from(self.serial)
    }

    fn unpack(word: u64) -> Token {
        Token { owner: (word >> 56) as u8, slot: (word >> 32) as u32 & 0xff_ffff, serial: word as u32 }
    }
}

/// What a descriptor waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interest {
    /// Something to read.
    pub read: bool,
    /// Room to write.
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

/// What happened to a descriptor.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    /// Which one.
    pub token: Token,
    /// Something to read, or its end.
    pub read: bool,
    /// Room to write.
    pub write: bool,
    /// It broke or was closed by the peer.
    pub hung: bool,
}

/// The event loop's descriptor.
pub struct Poll {
    epoll: OwnedFd,
    buffer: Vec<epoll::Event>,
    /// Where all connections read to before their rings take it.
    pub scratch: Vec<u8>,
    serial: u32,
}

impl Poll {
    /// A new epoll instance.
    pub fn new() -> io::Result<Poll> {
        let epoll = epoll::create(CreateFlags::CLOEXEC)?;
        Ok(Poll { epoll, buffer: Vec::with_capacity(EVENTS), scratch: vec![0; SCRATCH], serial: 0 })
    }

    /// A token for a new descriptor.
    pub fn token(&mut self, owner: u8, slot: usize) -> Token {
        self.serial = self.serial.wrapping_add(1);
        Token { owner, slot: slot as u32, serial: self.serial }
    }

    /// Registers a descriptor.
    pub fn add(&self, fd: impl AsFd, token: Token, interest: Interest) -> io::Result<()> {
        Ok(epoll::add(&self.epoll, fd, EventData::new_u64(token.pack()), interest.flags())?)
    }

    /// Changes what a descriptor waits for.
    pub fn change(&self, fd: impl AsFd, token: Token, interest: Interest) -> io::Result<()> {
        Ok(epoll::modify(&self.epoll, fd, EventData::new_u64(token.pack()), interest.flags())?)
    }

    /// Takes a descriptor out.
    pub fn remove(&self, fd: impl AsFd) -> io::Result<()> {
        Ok(epoll::delete(&self.epoll, fd)?)
    }

    /// Waits until something happens, at most so many microseconds.
    pub fn wait(&mut self, most_us: u64, out: &mut Vec<Ready>) -> io::Result<()> {
        // Whole milliseconds, rounded up: a turn that wakes too soon only turns again.
        let ms = most_us.div_ceil(1000).min(60_000);
        let limit = Timespec { tv_sec: (ms / 1000) as i64, tv_nsec: (ms % 1000 * 1_000_000) as i64 };
        self.buffer.clear();
        loop {
            match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(&mut self.buffer), Some(&limit)) {
                Ok(_) => break,
                // A look that does not wait has to see what is there: who asks for it acts on that.
                Err(rustix::io::Errno::INTR) if ms == 0 => {}
                Err(rustix::io::Errno::INTR) => break,
                Err(e) => return Err(e.into()),
            }
        }
        out.extend(self.buffer.iter().map(|event| {
            let flags = event.flags;
            let hung = flags.intersects(EventFlags::HUP | EventFlags::ERR);
            Ready {
                token: Token::unpack(event.data.u64()),
                read: flags.contains(EventFlags::IN),
                write: flags.contains(EventFlags::OUT),
                hung,
            }
        }));
        Ok(())
    }
}
