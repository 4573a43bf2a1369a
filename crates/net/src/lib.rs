//! The event loop, its clock, and what hangs on it: connections, their rings, listeners, signals.
//!
//! One thread, one epoll instance; nothing here knows a protocol. Times are whole microseconds on [`Clock`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod clock;
mod link;
mod listener;
mod poll;
mod reader;
mod ring;
mod signals;
mod worker;

pub use clock::Clock;
pub use link::{Callbacks, Closed, Io, Link, Malformed};
pub use listener::{Accepted, Listener};
pub use poll::{Interest, Poll, Ready, Token};
pub use reader::Reader;
pub use ring::Ring;
pub use signals::{Signals, Wish};
pub use worker::Worker;
