//! The rules for requests that may have run before they were submitted: which may run again, how often, and until when an
//! attempt may be sent.

use super::{Attempt, REPEAT_SEND_FRACTION, RequestSpec};
use crate::api::{Class, Effect, KeyScope, Micros};

/// What is known of an earlier delivery of a request, which may have run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PriorDelivery {
    /// This is the first delivery.
    None,
    /// The client first sent it this long ago.
    SentAgo(Micros),
    /// There may have been one at an unknown time.
    AtUnknownTime,
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// With as many attempts as the limits allow.
    Unrestricted,
    /// With a single attempt.
    SingleAttempt,
    /// Not at all, for this reason.
    Denied(&'static str),
}

/// Decides whether a request may run, in view of its earlier deliveries. `send_lag` is the longest time from the
/// submission until the first byte is written.
pub(super) fn admit(class: &Class, job: &RequestSpec, send_lag: Micros) -> Admission {
    if job.prior_delivery == PriorDelivery::None {
        return Admission::Unrestricted;
    }
    match class.effect {
        Effect::Idempotent => Admission::Unrestricted,
        Effect::AtMostOnce => Admission::Denied("may have run before"),
        Effect::Deduplicated => admit_keyed_repeat(class, job, send_lag),
    }
}

/// Executors drop repeats only within the repeat window, and the first attempt may have been sent as soon as the client sent
/// the request. A second attempt of a repeat could arrive after the window, so a repeat gets one attempt.
fn admit_keyed_repeat(class: &Class, job: &RequestSpec, send_lag: Micros) -> Admission {
    if class.key_scope != KeyScope::All || job.idempotency_key.is_none() {
        return Admission::Denied("may have run before, where its key is not known everywhere");
    }
    match job.prior_delivery {
        PriorDelivery::SentAgo(age) if age.saturating_add(send_lag) < class.repeat_window => {
            Admission::SingleAttempt
        }
        PriorDelivery::SentAgo(_) => Admission::Denied("may have run before, too long ago to repeat"),
        PriorDelivery::None | PriorDelivery::AtUnknownTime => {
            Admission::Denied("may have run before, at an unknown time")
        }
    }
}

/// Returns the latest time at which the last of the attempts may be sent, if an earlier one or an earlier delivery may have
/// run. The repeat window starts at the first possible run, and the attempt may wait long for its connection; sent after
/// the window, it could run a second time.
pub(super) fn send_deadline(
    class: &Class,
    prior: PriorDelivery,
    attempts: &[Attempt],
    now: Micros,
) -> Option<Micros> {
    if class.effect != Effect::Deduplicated {
        return None;
    }
    let first_sent_at = attempts.first().map_or(now, |a| a.sent_at);
    let earlier = attempts.split_last().map_or(&[][..], |(_, earlier)| earlier);
    let window_start = match prior {
        PriorDelivery::SentAgo(age) => first_sent_at.saturating_sub(age),
        // Not admitted; were it, the window would have passed.
        PriorDelivery::AtUnknownTime => 0,
        PriorDelivery::None if earlier.iter().any(|a| a.may_have_run) => first_sent_at,
        PriorDelivery::None => return None,
    };
    Some(window_start.saturating_add((REPEAT_SEND_FRACTION * class.repeat_window as f64) as Micros))
}

/// Returns whether a client's retry of a refused request could run a second time: a keyed one that may have run is recognised
/// only within its repeat window. The decision module refuses no at-most-once request that may have run.
pub(super) fn retry_may_run_twice(class: &Class, prior: PriorDelivery, attempts: &[Attempt]) -> bool {
    class.effect == Effect::Deduplicated
        && (prior != PriorDelivery::None || attempts.iter().any(|a| a.may_have_run))
}
