//! The fronts: each decodes the bytes of its protocol into requests for the core and encodes final answers into bytes.
//! Scheduling decisions are left to the core; each front's own limits bound its connections, buffers and sessions.

mod delivery;
mod info;
pub mod mqtt;
pub mod stations;
pub mod thrift;

use crate::core::Ticket;

pub use delivery::Delivery;
pub use info::{Fields, Invalid, ParsedRequest};

/// An event from a client, in the form that all fronts share.
#[derive(Debug)]
pub enum Intake {
    /// A request whose fields are valid.
    Submit {
        /// Identifies the request; its answer is returned under it.
        ticket: Ticket,
        /// Its parameters.
        sketch: ParsedRequest,
        /// Its body.
        body: Vec<u8>,
        /// When its client sent it, as far as known.
        delivery: Delivery,
    },
    /// The client no longer waits for this request.
    Abandon(Ticket),
    /// The client has closed its sending side: no further attempt starts for this request, but one that is running may
    /// still be answered.
    ClientClosed(Ticket),
}
