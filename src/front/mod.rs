//! The fronts: each turns the bytes of its protocol into requests of the core, and answers into bytes. They
//! decide nothing.

mod info;
pub mod mqtt;
pub mod stations;
pub mod thrift;

use crate::core::Ticket;

pub use info::{Fields, Invalid, ParsedRequest};

/// What clients ask, whichever front they come by.
#[derive(Debug)]
pub enum Intake {
    /// A request whose figures are usable.
    Submit {
        /// Where its answer goes.
        ticket: Ticket,
        /// Its figures.
        sketch: ParsedRequest,
        /// Its body.
        body: Vec<u8>,
        /// How long ago its client sent it, in microseconds; 0 where that is not told.
        age_us: u64,
        /// It may have been handed in before, to this program or another.
        again: bool,
    },
    /// The client waits for this no more.
    Abandon(Ticket),
    /// The client has closed its end: no further attempt is to begin for this, but what runs may still be answered.
    ClientClosed(Ticket),
}
