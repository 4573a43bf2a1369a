//! Signals, as events like all others: each kind writes to a socket pair of its own.

use super::{Interest, Poll, Token};
use rustix::net::RecvFlags;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::io;
use std::os::unix::net::UnixStream;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wish {
    /// To settle everything and end.
    Stop,
    /// To print the counters.
    Print,
    /// To read the configuration again.
    Reload,
}

/// The reading ends of the pairs.
pub struct Signals {
    pairs: Vec<(Token, UnixStream, Wish)>,
}

impl Signals {
    /// Registers the handlers.
    pub fn new(poll: &mut Poll, owner: u8) -> io::Result<Signals> {
        let mut pairs = Vec::new();
        // Danger: a signal that is not handled ends the process, SIGHUP among them.
        let wishes =
            [(SIGTERM, Wish::Stop), (SIGINT, Wish::Stop), (SIGUSR1, Wish::Print), (SIGHUP, Wish::Reload)];
        for (slot, (signal, wish)) in wishes.into_iter().enumerate() {
            let (read, write) = UnixStream::pair()?;
            read.set_nonblocking(true)?;
            let token = poll.token(owner, slot);
            poll.add(&read, token, Interest { read: true, write: false })?;
            signal_hook::low_level::pipe::register(signal, write)?;
            pairs.push((token, read, wish));
        }
        Ok(Signals { pairs })
    }

    /// What has been asked for under the token.
    pub fn ready(&self, token: Token) -> Option<Wish> {
        let (_, read, wish) = self.pairs.iter().find(|(t, ..)| *t == token)?;
        let mut bytes = [0; 64];
        let mut asked = None;
        while let Ok((1.., _)) = rustix::net::recv(read, &mut bytes, RecvFlags::empty()) {
            asked = Some(*wish);
        }
        asked
    }
}
