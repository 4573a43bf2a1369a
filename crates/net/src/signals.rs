//! Signals, as events like all others: each kind sets a flag, and wakes the loop by a socket pair of its own.
//!
//! The flag is what counts. The write that wakes the loop is made in a signal handler, where nothing can be done if it fails; the
//! flag is then seen in the next turn.

use super::{Interest, Poll, Token};
use rustix::net::RecvFlags;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::io;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

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

/// One kind of signal.
struct Kind {
    token: Token,
    /// The end that is read.
    wakes: UnixStream,
    came: Arc<AtomicBool>,
    wish: Wish,
}

/// All kinds that are handled.
pub struct Signals {
    kinds: Vec<Kind>,
}

impl Signals {
    /// Registers the handlers.
    pub fn new(poll: &mut Poll, owner: u8) -> io::Result<Signals> {
        let mut kinds = Vec::new();
        // Danger: a signal that is not handled ends the process, SIGHUP among them.
        let wishes =
            [(SIGTERM, Wish::Stop), (SIGINT, Wish::Stop), (SIGUSR1, Wish::Print), (SIGHUP, Wish::Reload)];
        for (slot, (signal, wish)) in wishes.into_iter().enumerate() {
            let (read, write) = UnixStream::pair()?;
            read.set_nonblocking(true)?;
            let token = poll.token(owner, slot);
            poll.add(&read, token, Interest { read: true, write: false })?;
            // Handlers run in this order: whoever is woken finds the flag.
            let came = Arc::new(AtomicBool::new(false));
            signal_hook::flag::register(signal, came.clone())?;
            signal_hook::low_level::pipe::register(signal, write)?;
            kinds.push(Kind { token, wakes: read, came, wish });
        }
        Ok(Signals { kinds })
    }

    /// Takes what has woken the loop under the token.
    pub fn ready(&self, token: Token) {
        let mut bytes = [0; 64];
        for kind in self.kinds.iter().filter(|k| k.token == token) {
            while let Ok((1.., _)) = rustix::net::recv(&kind.wakes, &mut bytes, RecvFlags::empty()) {}
        }
    }

    /// What has been asked for since this was last called, each wish once for each kind of signal.
    pub fn asked(&self) -> Vec<Wish> {
        let came = self.kinds.iter().filter(|k| k.came.swap(false, Ordering::SeqCst));
        came.map(|k| k.wish).collect()
    }
}
