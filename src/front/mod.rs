//! The fronts: each decodes the bytes of its protocol into requests for the core and encodes final answers into bytes.
//! Scheduling decisions are left to the core; each front's own limits bound its connections, buffers and sessions.

mod delivery;
mod info;
pub mod mqtt;
pub mod stations;
pub mod thrift;

use crate::core::Ticket;

pub use delivery::{Delivery, WHY_MAY_HAVE_RUN};
pub use info::{Fields, Invalid, ParsedRequest};

/// An event from a client, in the form that all fronts share.
#[derive(Debug)]
pub enum Intake {
    /// A request whose fields are valid.
    Submit(Box<Submission>),
    /// The client no longer waits for this request.
    Abandon(Ticket),
    /// The client has closed its sending side: no further attempt starts for this request, but one that is running may
    /// still be answered.
    ClientClosed(Ticket),
}

/// A request from a client.
#[derive(Debug)]
pub struct Submission {
    /// Identifies the request; its answer is returned under it.
    pub ticket: Ticket,
    /// Its parameters.
    pub sketch: ParsedRequest,
    /// Its body.
    pub body: Vec<u8>,
    /// When its client sent it, as far as known.
    pub delivery: Delivery,
    /// Set if the front's limits don't allow it to run: the delay after which a client may retry, in microseconds.
    pub refuse_after: Option<u64>,
}
