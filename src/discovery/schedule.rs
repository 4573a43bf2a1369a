//! Decides when the name service is queried next, and when the path to it counts as silent. No I/O; the clock is passed in.
//!
//! A query is sent every [`QUERY_INTERVAL_US`], whether the last was answered or not, so that a lost one is replaced.
//! Large answers are requested less often, but often enough that an event is known 1.5 s after it happened. While a
//! worker needs confirmation, the next query is sent at once.

/// The regular time between two queries, in microseconds.
pub const QUERY_INTERVAL_US: u64 = 100_000;
/// The longest time between two queries, however large the answers, in microseconds.
const MAX_QUERY_INTERVAL_US: u64 = 1_200_000;
/// Limit of the rate at which answers are requested, unless it would need more than [`MAX_QUERY_INTERVAL_US`] between two.
const MAX_ANSWER_BYTES_PER_SECOND: u64 = 80 * 1024;
/// Delay of the next query after an answer that leaves workers unconfirmed, in microseconds.
const CONFIRMATION_DELAY_US: u64 = 5_000;
/// A query for confirmation that has no answer after this long counts as lost, in microseconds.
const CONFIRMATION_TIMEOUT_US: u64 = 300_000;
/// A path on which nothing has arrived for this long, although queries were sent, is replaced, in microseconds. A path may
/// fail without an error, and the platform counts an event as announced 1.5 s after it happened.
const SILENCE_TIMEOUT_US: u64 = 600_000;
/// The upper bound of the silence time-out, which grows with the round-trip time, in microseconds.
const MAX_SILENCE_TIMEOUT_US: u64 = 2_000_000;

/// The times of the last queries, and the size and round-trip time of the last answer.
#[derive(Debug, Default)]
pub struct QuerySchedule {
    last_query_at: Option<u64>,
    /// An answer has arrived since the last query.
    answered: bool,
    /// The size of the last answer, and its round-trip time.
    answer_bytes: u64,
    round_trip_us: u64,
    /// When the first query was sent since a packet last arrived.
    silent_since: Option<u64>,
    /// When a query for confirmation is due.
    confirmation_due_at: Option<u64>,
    /// When the last query for confirmation was sent, while it has no answer.
    confirmation_sent_at: Option<u64>,
}

impl QuerySchedule {
    /// Returns when the next query is due.
    pub fn next_query_at(&self) -> u64 {
        let Some(last_query_at) = self.last_query_at else { return 0 };
        let regular = last_query_at + self.interval();
        self.confirmation_due_at.map_or(regular, |confirmation| confirmation.min(regular))
    }

    /// Makes the next query due at once.
    pub fn query_now(&mut self) {
        self.last_query_at = None;
    }

    /// Records that a query was due and was sent, or that sending it failed.
    pub fn query_sent(&mut self, now: u64) {
        if self.confirmation_due_at.take().is_some() {
            self.confirmation_sent_at = Some(now);
        }
        self.last_query_at = Some(now);
        self.answered = false;
        self.silent_since.get_or_insert(now);
    }

    /// Records that a packet has arrived, readable or not.
    pub fn packet_received(&mut self) {
        self.silent_since = None;
    }

    /// Records an answer of `bytes` bytes to the query sent at `queried_at`; `unconfirmed` if workers need further answers.
    pub fn answer_received(&mut self, now: u64, queried_at: u64, bytes: usize, unconfirmed: bool) {
        self.answered |= self.last_query_at.is_some_and(|last| queried_at >= last);
        self.answer_bytes = bytes as u64;
        self.round_trip_us = now.saturating_sub(queried_at);
        let lost_after = CONFIRMATION_TIMEOUT_US.max(2 * self.round_trip_us);
        let over = |sent_at: u64| queried_at >= sent_at || now >= sent_at + lost_after;
        self.confirmation_sent_at = self.confirmation_sent_at.filter(|sent_at| !over(*sent_at));
        if unconfirmed && self.confirmation_sent_at.is_none() {
            self.confirmation_due_at.get_or_insert(now + CONFIRMATION_DELAY_US);
        }
    }

    /// Returns whether the path has been silent for long enough to be replaced.
    pub fn is_path_silent(&self, now: u64) -> bool {
        let timeout = (2 * self.round_trip_us).clamp(SILENCE_TIMEOUT_US, MAX_SILENCE_TIMEOUT_US);
        self.silent_since.is_some_and(|since| now >= since + timeout)
    }

    /// Restarts the silence time-out for a new path.
    pub fn path_replaced(&mut self, now: u64) {
        self.silent_since = Some(now);
    }

    fn interval(&self) -> u64 {
        let by_size = (self.answer_bytes * 1_000_000 / MAX_ANSWER_BYTES_PER_SECOND)
            .clamp(QUERY_INTERVAL_US, MAX_QUERY_INTERVAL_US);
        // An unanswered query is repeated at the regular interval, however large the answer was before it.
        if self.answered { by_size } else { by_size.min(QUERY_INTERVAL_US.max(2 * self.round_trip_us)) }
    }
}

#[cfg(test)]
mod tests;
