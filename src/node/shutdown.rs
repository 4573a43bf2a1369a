//! From SIGTERM to the end: what is still taken, what is awaited, and what is given up.

use super::Node;
use crate::front::stations;

/// After SIGTERM, requests keep coming for this long and are served as always.
const GRACE: u64 = 750_000;
/// What is still unsettled this long after SIGTERM and the longest time of a class is given up: the kill, which would
/// leave it without an answer, comes 0.7 s after that time.
const SETTLED: u64 = 400_000;
/// The longest time of a class counts as this at the most.
const MOST_LONGEST: u64 = 3_000_000;
/// Requests are taken until this long before the longest time is over: most are answered sooner.
pub(super) const LAST_CALLS: u64 = 500_000;
/// What brokers have not taken this long after SIGTERM is given up.
const PATIENCE: u64 = 30_000_000;

impl Node {
    /// When the end has its next step, once it has begun.
    pub(super) fn shutdown_due(&self) -> Option<u64> {
        let ends = |since| [since + GRACE, since + self.longest() + SETTLED];
        self.draining.and_then(|s| ends(s).into_iter().find(|end| *end > self.now))
    }

    /// The longest time of a class, as the platform counts it at a stop.
    pub(super) fn longest(&self) -> u64 {
        let live = self.settings.module.classes.iter().zip(&self.settings.retired);
        let longest = live.filter(|(_, retired)| !**retired).map(|(c, _)| c.deadline).max();
        longest.unwrap_or_default().min(MOST_LONGEST)
    }

    pub(super) fn finished(&mut self) -> bool {
        let Some(since) = self.draining else { return false };
        if self.now < since + GRACE && !(self.handover.followed() && self.mqtt.is_empty()) {
            return false;
        }
        self.thrift.stop_listening(&mut self.poll, self.now);
        self.thrift.leave(self.now, since + self.longest().saturating_sub(LAST_CALLS));
        if self.now >= since + self.longest() + SETTLED {
            self.thrift.shut(&self.poll);
            self.engine.give_up(self.now);
            self.settle();
        }
        self.mqtt.stop();
        if let Some(front) = &mut self.stations {
            front.stop(&self.poll);
        }
        let settled = self.engine.owed() == 0
            && !self.thrift.listens()
            && !self.thrift.unsent()
            && self.thrift.left(self.now)
            && self.mqtt.settled()
            && self.stations.as_ref().is_none_or(stations::Front::settled);
        let over = settled || self.now >= since + PATIENCE;
        if over {
            self.part();
            self.mqtt.leave(&self.poll);
            if let Some(front) = &mut self.stations {
                front.leave(&mut self.poll, self.now);
            }
        }
        over
    }
}
