//! When a client sent a request, as far as its front knows. An age that is not known is never taken as 0: a repeat of
//! unknown age may be older than the time for which executors recognise it.

/// The reason of a failure in place of a refusal that a client could take for leave to send a keyed call again at any time.
pub const WHY_MAY_HAVE_RUN: &str = "may have run, and was not answered in time";

/// What a front knows of the sending of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Delivered for the first time, by the client's word.
    First {
        /// The time since the client sent it, in microseconds; 0 if the protocol does not carry that.
        age_us: u64,
    },
    /// May have been delivered before, to this process or another.
    Repeat {
        /// The time since the client first sent it, in microseconds; none if that is not known.
        age_us: Option<u64>,
    },
}

impl Delivery {
    /// Returns a repeat that its client first sent at `sent_ms`, if it tells; both times are Unix milliseconds. A time in the
    /// future only shows that the clocks differ: the age is then unknown.
    pub fn repeat(sent_ms: Option<u64>, unix_ms: u64) -> Delivery {
        let age_ms = sent_ms.and_then(|sent_ms| unix_ms.checked_sub(sent_ms));
        Delivery::Repeat { age_us: age_ms.map(|ms| ms.saturating_mul(1_000)) }
    }
}
