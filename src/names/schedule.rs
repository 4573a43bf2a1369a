//! Decides when the name service is asked again, and when a path to it counts as silent. No I/O; the clock is passed in.
//!
//! The usual pace is a query every [`ASK_EVERY_US`], whether the last was answered or not, so that a lost one is replaced. Large
//! answers are asked for less often, but often enough that what the service tells is known 1.5 s after it happened. A worker
//! that waits for confirmation is asked about at once.

/// A query goes out this often, in microseconds.
pub const ASK_EVERY_US: u64 = 100_000;
/// The longest time between two queries, however large the answers.
const MOST_PACE_US: u64 = 1_200_000;
/// Answers come to so many bytes a second at most, as long as [`MOST_PACE_US`] allows it.
const BYTES_PER_SECOND: u64 = 80 * 1024;
/// A further answer is asked for so long after one that leaves workers unconfirmed, in microseconds.
const CONFIRM_AFTER_US: u64 = 5_000;
/// A query for confirmation that has no answer by then is lost, in microseconds.
const CONFIRM_LOST_US: u64 = 300_000;
/// A path on which nothing has come for this long, while it was asked all the time, gives way to a new one, in microseconds: a
/// path may fall silent without an error, and what is told on it counts as told 1.5 s after it happened.
const SILENT_US: u64 = 600_000;
/// And the most that it may be put off by the round trips that were seen.
const MOST_SILENT_US: u64 = 2_000_000;

/// When to ask, and what is known of the answers.
#[derive(Debug, Default)]
pub struct Schedule {
    asked_at: Option<u64>,
    /// An answer has come since the last query.
    answered: bool,
    /// The size of the last answer, and how long it took.
    answer_bytes: u64,
    round_trip_us: u64,
    /// The first query since something last came.
    silent_since: Option<u64>,
    /// When a query for confirmation is due, and when the last one was sent that has no answer.
    confirm_at: Option<u64>,
    confirming_since: Option<u64>,
}

impl Schedule {
    /// When the next query is due.
    pub fn due(&self) -> u64 {
        let Some(asked_at) = self.asked_at else { return 0 };
        let regular = asked_at + self.pace();
        self.confirm_at.map_or(regular, |confirm| confirm.min(regular))
    }

    /// Has the next query be due at once.
    pub fn ask_at_once(&mut self) {
        self.asked_at = None;
    }

    /// A query is due and is sent now, or could not be.
    pub fn asked(&mut self, now: u64) {
        if self.confirm_at.take().is_some() {
            self.confirming_since = Some(now);
        }
        self.asked_at = Some(now);
        self.answered = false;
        self.silent_since.get_or_insert(now);
    }

    /// Something has come, readable or not.
    pub fn heard(&mut self) {
        self.silent_since = None;
    }

    /// An answer of so many bytes has come to a query of that time; `unconfirmed` where workers wait for more answers.
    pub fn answered(&mut self, now: u64, asked_at: u64, bytes: usize, unconfirmed: bool) {
        self.answered |= self.asked_at.is_some_and(|last| asked_at >= last);
        self.answer_bytes = bytes as u64;
        self.round_trip_us = now.saturating_sub(asked_at);
        let lost_after = CONFIRM_LOST_US.max(2 * self.round_trip_us);
        let over = |since: u64| asked_at >= since || now >= since + lost_after;
        self.confirming_since = self.confirming_since.filter(|since| !over(*since));
        if unconfirmed && self.confirming_since.is_none() {
            self.confirm_at.get_or_insert(now + CONFIRM_AFTER_US);
        }
    }

    /// Whether the path in use has been silent for so long that another should be tried.
    pub fn is_silent(&self, now: u64) -> bool {
        let most = (2 * self.round_trip_us).clamp(SILENT_US, MOST_SILENT_US);
        self.silent_since.is_some_and(|since| now >= since + most)
    }

    /// Another path is tried from now on.
    pub fn path_replaced(&mut self, now: u64) {
        self.silent_since = Some(now);
    }

    fn pace(&self) -> u64 {
        let by_size = (self.answer_bytes * 1_000_000 / BYTES_PER_SECOND).clamp(ASK_EVERY_US, MOST_PACE_US);
        if self.answered { by_size } else { by_size.min(ASK_EVERY_US.max(2 * self.round_trip_us)) }
    }
}

#[cfg(test)]
mod tests;
