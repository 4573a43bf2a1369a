//! The building blocks of the event loop: the epoll instance, its clock, connections with bounded buffers, listeners,
//! signals, and a background thread for blocking jobs.
//!
//! The loop is one thread with one epoll instance. This package is independent of any protocol. Times are whole
//! microseconds on [`Clock`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod background_thread;
mod clock;
mod connection;
mod listener;
mod poll;
mod reader;
mod ring;
mod signals;

pub use background_thread::BackgroundThread;
pub use clock::Clock;
pub use connection::{BufferedSocket, Closed, Connection, Malformed, ProtocolHandler};
pub use listener::{Accepted, Listener};
pub use poll::{Interest, Poll, PollEvent, Token};
pub use reader::Reader;
pub use ring::Ring;
pub use signals::{SignalRequest, Signals};
