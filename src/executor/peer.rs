//! One connection to an executor: what is open on it, and the reading of its lines.

use super::line::{self, Answer};
use crate::api::WorkerId;
use crate::core::AttemptId;
use crate::net::{Callbacks, Malformed, Ring};
use std::collections::BTreeMap;

/// The largest line read: a body of 230,000 bytes in base64, its attributes, and room to spare.
pub const MOST_LINE: usize = 400 * 1024;
/// Bytes that may wait to be sent.
pub const MOST_UNSENT: usize = 2 * 1024 * 1024;

/// What an entry on the connection is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Purpose {
    /// An attempt.
    Attempt(AttemptId),
    /// An order to load.
    Order(u64),
    /// An attempt that was given up or has failed: an answer may still cross the halt, or come a second time.
    Halted,
}

/// Something written to the connection, to which an answer may come.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    pub purpose: Purpose,
    /// Where its line begins and ends in all that was ever queued.
    pub begins: u64,
    pub ends: u64,
    /// Until when answers to it are known as late ones, once nothing waits for it.
    pub until: u64,
    /// Of an attempt's line: the figure that tells how long its answer is waited for.
    pub wait: Option<Wait>,
}

/// How long the answer to a line is waited for, as the line tells it.
#[derive(Clone, Copy, Debug)]
pub struct Wait {
    /// Where the figure begins, from the line's beginning, and its width.
    pub at: u64,
    pub width: usize,
    /// When the wait is over, and when the figure was written.
    pub deadline: u64,
    pub written: u64,
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
    /// Since when a line has been there in part, and when bytes of it last came.
    pub half_read: Option<u64>,
    pub piece: u64,
    /// Bytes of it that were looked through for its end. Danger: looked through anew with each small piece, a long
    /// line would take the loop's time without end.
    scanned: usize,
    /// It takes nothing new and ends with what is open.
    pub closing: bool,
}

impl Peer {
    pub fn new(worker: WorkerId, now: u64) -> Peer {
        Peer {
            worker,
            open: BTreeMap::new(),
            begun: now,
            used: now,
            unheard: None,
            half_read: None,
            piece: now,
            scanned: 0,
            closing: false,
        }
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
        let mut from = self.scanned.min(bytes.len());
        while let Some(length) = bytes[from..].iter().position(|b| *b == b'\n') {
            let line = &bytes[done..from + length];
            done = from + length + 1;
            from = done;
            if !line.trim_ascii().is_empty() {
                out.push(line::read(line).ok_or(Malformed("a line that is no answer"))?);
            }
        }
        self.scanned = bytes.len() - done;
        input.consume(done);
        Ok(())
    }
}
