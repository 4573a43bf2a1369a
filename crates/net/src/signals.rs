//! Signals as events of the loop: each signal sets a flag and wakes the loop through a socket pair of its own.
//!
//! The flag is authoritative. The write that wakes the loop is made in a signal handler, where a failure cannot be handled;
//! the flag is then read in the next turn.

use super::{Interest, Poll, Token};
use rustix::net::RecvFlags;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::io;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// The request that a signal stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    /// Finish the work in progress and exit.
    Stop,
    /// Print the counters.
    PrintCounters,
    /// Reload the configuration.
    Reload,
}

/// A handled signal.
struct HandledSignal {
    token: Token,
    /// The end of the socket pair that the loop reads.
    wake_receiver: UnixStream,
    /// Set by the signal handler.
    raised: Arc<AtomicBool>,
    wish: SignalRequest,
}

/// All handled signals.
pub struct Signals {
    signals: Vec<HandledSignal>,
}

impl Signals {
    /// Registers the handlers.
    pub fn new(poll: &mut Poll, owner: u8) -> io::Result<Signals> {
        let mut signals = Vec::new();
        // The default action of each of these, SIGHUP included, would end the process.
        let wishes = [
            (SIGTERM, SignalRequest::Stop),
            (SIGINT, SignalRequest::Stop),
            (SIGUSR1, SignalRequest::PrintCounters),
            (SIGHUP, SignalRequest::Reload),
        ];
        for (slot, (signal, wish)) in wishes.into_iter().enumerate() {
            let (wake_receiver, wake_sender) = UnixStream::pair()?;
            wake_receiver.set_nonblocking(true)?;
            let token = poll.token(owner, slot);
            poll.add(&wake_receiver, token, Interest { read: true, write: false })?;
            // Handlers run in the order of registration: the flag is set before the loop is woken.
            let raised = Arc::new(AtomicBool::new(false));
            signal_hook::flag::register(signal, raised.clone())?;
            signal_hook::low_level::pipe::register(signal, wake_sender)?;
            signals.push(HandledSignal { token, wake_receiver, raised, wish });
        }
        Ok(Signals { signals })
    }

    /// Reads the bytes that woke the loop under this token.
    pub fn drain_wakeup(&self, token: Token) {
        let mut bytes = [0; 64];
        for signal in self.signals.iter().filter(|s| s.token == token) {
            while let Ok((1.., _)) = rustix::net::recv(&signal.wake_receiver, &mut bytes, RecvFlags::empty())
            {
            }
        }
    }

    /// Returns the requests since the last call, at most one for each signal.
    pub fn take_requests(&self) -> Vec<SignalRequest> {
        let raised = self.signals.iter().filter(|s| s.raised.swap(false, Ordering::SeqCst));
        raised.map(|s| s.wish).collect()
    }
}
