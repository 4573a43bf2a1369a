//! The protocol state of one connection to an executor: the requests open on it, and the splitting of its
//! input into answer lines of at most [`MAX_LINE_BYTES`].

use super::line::{self, Answer};
use crate::api::WorkerId;
use crate::core::AttemptId;
use crate::net::{Malformed, ProtocolHandler, Ring};
use std::collections::BTreeMap;

/// Maximum length of an answer line: a body of 230,000 bytes in base64, its attributes, and a margin.
pub const MAX_LINE_BYTES: usize = 400 * 1024;
/// Maximum number of bytes queued for sending on a connection.
pub const MAX_UNSENT_BYTES: usize = 2 * 1024 * 1024;

/// What a command line was sent for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Purpose {
    /// An attempt.
    Attempt(AttemptId),
    /// A load order.
    LoadOrder(u64),
    /// An attempt that was cancelled or has failed. The entry is kept because an answer may cross the `halt`
    /// on its way, or arrive a second time.
    Tombstone,
}

/// A command line on the connection that may still be answered.
#[derive(Clone, Copy, Debug)]
pub struct PendingLine {
    pub purpose: Purpose,
    /// The start and end of the line, as offsets in all bytes ever queued on the connection.
    pub start: u64,
    pub end: u64,
    /// When a tombstone expires.
    pub expires_at: u64,
    /// The time-out in the line, if it carries an attempt.
    pub timeout: Option<TimeoutField>,
}

/// The field of a queued line that tells the executor how long its answer is waited for.
#[derive(Clone, Copy, Debug)]
pub struct TimeoutField {
    /// The offset of the number from the start of the line, and its width in bytes.
    pub offset: u64,
    pub width: usize,
    /// When the wait ends, and when the number was last written.
    pub deadline: u64,
    pub written_at: u64,
}

/// The protocol state of a connection to an executor.
pub struct ExecutorConnection {
    pub worker: WorkerId,
    /// The lines that may still be answered, by request id.
    pub open: BTreeMap<String, PendingLine>,
    /// When the connection attempt started.
    pub connect_started_at: u64,
    /// When a line was last written or answered, or the connection attempt started.
    pub last_used_at: u64,
    /// When the first line was queued after the executor last sent anything.
    pub unanswered_since: Option<u64>,
    /// When the first bytes of a partially received line arrived.
    pub partial_line_since: Option<u64>,
    /// When bytes last arrived.
    pub last_read_at: u64,
    /// Bytes of the partial line already searched for its end. If each small fragment caused a search from
    /// the start, a long line would take quadratic time and stall the event loop.
    scanned: usize,
    /// The connection takes no new lines and is closed once nothing on it awaits an answer.
    pub closing: bool,
}

impl ExecutorConnection {
    pub fn new(worker: WorkerId, now: u64) -> ExecutorConnection {
        ExecutorConnection {
            worker,
            open: BTreeMap::new(),
            connect_started_at: now,
            last_used_at: now,
            unanswered_since: None,
            partial_line_since: None,
            last_read_at: now,
            scanned: 0,
            closing: false,
        }
    }

    /// Returns the number of attempts and load orders that await an answer.
    pub fn awaiting(&self) -> usize {
        self.open.values().filter(|e| e.purpose != Purpose::Tombstone).count()
    }
}

impl ProtocolHandler for ExecutorConnection {
    type Out = Vec<Answer>;

    fn on_received(&mut self, input: &mut Ring, out: &mut Vec<Answer>) -> Result<(), Malformed> {
        let bytes = input.contiguous();
        let mut consumed = 0;
        let mut search_from = self.scanned.min(bytes.len());
        while let Some(length) = bytes[search_from..].iter().position(|b| *b == b'\n') {
            let line = &bytes[consumed..search_from + length];
            consumed = search_from + length + 1;
            search_from = consumed;
            if !line.trim_ascii().is_empty() {
                out.push(line::parse_answer(line).ok_or(Malformed("a line that is not a valid answer"))?);
            }
        }
        self.scanned = bytes.len() - consumed;
        input.consume(consumed);
        Ok(())
    }
}
