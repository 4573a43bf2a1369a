//! One connection to an executor: what is open on it, and the reading of its lines.

use super::line::{self, Answer};
use crate::api::WorkerId;
use crate::core::AttemptId;
use crate::net::{Callbacks, Malformed, Ring};
use std::collections::BTreeMap;

/// The largest line read, however much memory there is.
pub const MOST_LINE: usize = 512 * 1024;
/// Bytes that may wait to be sent.
pub const MOST_UNSENT: usize = 2 * 1024 * 1024;

/// What an entry on the connection is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Purpose {
    /// An attempt.
    Attempt(AttemptId),
    /// An order to load.
    Order(u64),
    /// An attempt that was given up: an answer may still cross the halt.
    Halted,
}

/// Something written to the connection, to which an answer may come.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    pub purpose: Purpose,
    /// Where its line begins and ends in all that was ever queued.
    pub begins: u64,
    pub ends: u64,
    pub at: u64,
}

/// The speaker on a connection to an executor.
pub struct Peer {
    pub worker: WorkerId,
    pub open: BTreeMap<String, Entry>,
    pub begun: u64,
    /// When it last had something open, or began.
    pub used: u64,
    /// The first send since it was last heard.
    pub unheard: Option<u64>,
    /// Since when a line has been there in part.
    pub half_read: Option<u64>,
    /// It takes nothing new and ends with what is open.
    pub closing: bool,
}

impl Peer {
    pub fn new(worker: WorkerId, now: u64) -> Peer {
        let (begun, used) = (now, now);
        Peer { worker, open: BTreeMap::new(), begun, used, unheard: None, half_read: None, closing: false }
    }

    /// Requests and orders that await an answer.
    pub fn awaiting(&self) -> usize {
        self.open.values().filter(|e| e.purpose != Purpose::Halted).count()
    }
}

impl Callbacks for Peer {
    type Out = Vec<Answer>;

    fn received(&mut self, input: &mut Ring, out: &mut Vec<Answer>) -> Result<(), Malformed> {
        let bytes = input.contiguous();
        let mut done = 0;
        while let Some(length) = bytes[done..].iter().position(|b| *b == b'\n') {
            let line = &bytes[done..done + length];
            done += length + 1;
            if !line.trim_ascii().is_empty() {
                out.push(line::read(line).ok_or(Malformed("a line that is no answer"))?);
            }
        }
        input.consume(done);
        Ok(())
    }
}
