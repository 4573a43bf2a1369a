//! What became of calls that stations delivered more than once: typed events, which the front logs.

use std::sync::Arc;

/// A delivery of a call, and what became of it.
#[derive(Clone, Debug, PartialEq)]
pub struct CallReport {
    /// The delivery.
    pub delivery: CallDelivery,
    /// What became of it.
    pub event: CallEvent,
}

/// A delivery of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct CallDelivery {
    /// The client id of the station.
    pub client: String,
    /// The serial number of its session in this process.
    pub session: u64,
    /// The packet id of the delivery; 0 at QoS 0.
    pub packet_id: u16,
    /// The id of the call.
    pub call: Arc<str>,
}

/// What became of a delivery.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEvent {
    /// The call is running here: its answer acknowledges this delivery too.
    Joined,
    /// The call was answered here before: that answer was given again.
    AnsweredFromMemory {
        /// The status of the answer.
        status: String,
    },
    /// The call is not known here and may have run: it was submitted as a repeat.
    SubmittedAsRepeat {
        /// The time since the station first sent it, in microseconds; none if that is not known.
        age_us: Option<u64>,
    },
    /// The session of the call has ended before its answer.
    AnsweredAfterSession {
        /// The serial number of the session that the client has now, if any.
        present_session: Option<u64>,
        /// The status of the answer.
        status: String,
    },
    /// The final answer to a call that was submitted as a repeat.
    RepeatAnswered {
        /// The status of the answer.
        status: String,
        /// The reason of a failure.
        why: Option<String>,
    },
}

impl CallReport {
    /// Writes the report to the log.
    pub fn log(&self) {
        let CallDelivery { client, session, packet_id, call } = &self.delivery;
        let (client, call) = (client.as_str(), &**call);
        match &self.event {
            CallEvent::Joined => {
                tracing::info!(client, session, packet_id, call, "a repeated call joins the one that runs")
            }
            CallEvent::AnsweredFromMemory { status } => {
                tracing::info!(
                    client,
                    session,
                    packet_id,
                    call,
                    status,
                    "a repeated call gets its answer again"
                )
            }
            CallEvent::SubmittedAsRepeat { age_us } => {
                let age_ms = age_us.map(|age_us| age_us / 1_000);
                tracing::info!(
                    client,
                    session,
                    packet_id,
                    call,
                    ?age_ms,
                    "a call that may have run is submitted"
                )
            }
            CallEvent::AnsweredAfterSession { present_session, status } => {
                tracing::info!(
                    client,
                    session,
                    packet_id,
                    call,
                    ?present_session,
                    status,
                    "a call is answered after its session has ended"
                )
            }
            CallEvent::RepeatAnswered { status, why } => {
                let why = why.as_deref().unwrap_or_default();
                tracing::info!(
                    client,
                    session,
                    packet_id,
                    call,
                    status,
                    why,
                    "a call that may have run is answered"
                )
            }
        }
    }
}
