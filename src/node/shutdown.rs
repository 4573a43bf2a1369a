//! The steps of a shutdown, from SIGTERM to the end of the process.
//!
//! Given the time of SIGTERM; decides until when requests are taken, how long open ones are awaited, and when unsettled
//! ones are answered as failed. Bounded by the longest class deadline and, for brokers, by [`MAX_SHUTDOWN_US`].

use super::Node;
use crate::front::stations;

/// After SIGTERM, requests keep arriving for this long and are served as usual.
const ACCEPT_GRACE_US: u64 = 750_000;
/// Requests that are still open this long after SIGTERM plus the longest class deadline are answered as failed: the
/// platform's kill, which would leave them without an answer, comes 0.7 s after that deadline.
const FAIL_OPEN_AFTER_US: u64 = 400_000;
/// The cap on the longest class deadline, as the platform counts it at a stop.
const MAX_COUNTED_DEADLINE_US: u64 = 3_000_000;
/// Requests are taken until this long before the longest class deadline, counted from SIGTERM, has passed: most are answered
/// sooner than this.
pub(super) const LAST_REQUESTS_US: u64 = 500_000;
/// The process ends this long after SIGTERM at the latest, with whatever brokers have not acknowledged by then.
const MAX_SHUTDOWN_US: u64 = 30_000_000;

impl Node {
    /// Returns when the shutdown's next step is due, once it has started.
    pub(super) fn shutdown_deadline(&self) -> Option<u64> {
        let steps = |since| [since + ACCEPT_GRACE_US, since + self.longest_deadline() + FAIL_OPEN_AFTER_US];
        self.shutdown_started.and_then(|s| steps(s).into_iter().find(|step| *step > self.now))
    }

    /// Returns the longest deadline of a class that is not retired, capped as the platform caps it at a stop.
    pub(super) fn longest_deadline(&self) -> u64 {
        let active_classes = self.settings.module.classes.iter().zip(&self.settings.retired);
        let longest = active_classes.filter(|(_, retired)| !**retired).map(|(c, _)| c.deadline).max();
        longest.unwrap_or_default().min(MAX_COUNTED_DEADLINE_US)
    }

    /// Carries out the shutdown's steps that are due; returns whether the process may end.
    pub(super) fn finish_shutdown(&mut self) -> bool {
        let Some(since) = self.shutdown_started else { return false };
        if self.now < since + ACCEPT_GRACE_US && !(self.handover.has_successor() && self.mqtt.is_empty()) {
            return false;
        }
        self.thrift.stop_listening(&mut self.poll, self.now);
        self.thrift.close_idle_connections(
            self.now,
            since + self.longest_deadline().saturating_sub(LAST_REQUESTS_US),
        );
        if self.now >= since + self.longest_deadline() + FAIL_OPEN_AFTER_US {
            self.thrift.close_listener(&self.poll);
            self.engine.fail_open_requests(self.now);
            self.deliver_messages();
        }
        self.mqtt.stop();
        if let Some(front) = &mut self.stations {
            front.stop(&self.poll);
        }
        let all_settled = self.engine.open_requests() == 0
            && !self.thrift.is_listening()
            && !self.thrift.has_unsent_answers()
            && self.thrift.left(self.now)
            && self.mqtt.settled()
            && self.stations.as_ref().is_none_or(stations::Front::settled);
        let over = all_settled || self.now >= since + MAX_SHUTDOWN_US;
        if over {
            self.leave_peers();
            self.mqtt.disconnect(&self.poll);
            if let Some(front) = &mut self.stations {
                front.leave(&mut self.poll, self.now);
            }
        }
        over
    }
}
