//! A member's connectivity to its group, and the share of a common budget that follows from it. Pure arithmetic on
//! counts and times.
//!
//! **A partition is never treated as a death.** An unreachable member may be dead, stopped, or running on the other
//! side of a partition; these cannot be distinguished here. So it keeps its share. Let S be the number of dispatchers
//! by the platform's settings (`expected`) or by the table, whichever is greater: an unreachable member may go on
//! taking 1/S of a budget. The m members that reach each other divide what k unreachable ones leave: (1 - k/S) / m
//! each. A member in the minority, or alone, takes 1/S, as it would without this rule. The shares of all running
//! members then sum to at most 1: with m members on the majority side and k on the other, m (1 - k/S) / m + k / S = 1;
//! with two halves, each of at most S members takes 1/S.
//!
//! Only members that left on purpose, or never existed, release their share. A share rises no sooner than
//! [`crate::Settings::hold`] after the reason for the smaller one has ended, so that nothing which a departed member
//! started can still take effect. A partitioned member must detect the partition before the others raise their shares:
//! two failures among its last four probes suffice, long before a suspicion and the hold time after it have passed. A
//! starting member takes no share until another has replied to it or its join timeout has expired, and a hold time has
//! passed in which the others learn of it; one that starts inside a partition adds at most 1/S.

use crate::Micros;
use std::collections::VecDeque;

/// A member's connectivity to its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connectivity {
    /// It has started, and its join is not complete yet.
    Joining,
    /// No other member is known: it is the whole group.
    Only,
    /// It reaches all known members.
    All,
    /// It is in the majority: it reaches more than half of them, itself included.
    Larger,
    /// It is in the minority: it reaches half of them or less.
    Smaller,
    /// It neither receives packets nor replies.
    Alone,
    /// It receives packets but no replies: its own packets do not arrive.
    Unheard,
}

impl Connectivity {
    /// Derives the connectivity from the number of other members that have not left, the number of those that answer,
    /// and whether packets are received from any.
    pub fn of(joined: bool, others: usize, answering: usize, heard: bool) -> Connectivity {
        match (joined, others, answering) {
            (false, _, _) => Connectivity::Joining,
            (_, 0, _) => Connectivity::Only,
            (_, others, answering) if answering >= others => Connectivity::All,
            (_, _, 0) if heard => Connectivity::Unheard,
            (_, _, 0) => Connectivity::Alone,
            (_, others, answering) if (answering + 1) * 2 > others + 1 => Connectivity::Larger,
            _ => Connectivity::Smaller,
        }
    }

    /// Returns whether the member may take over shares of members that left or never existed.
    pub fn may_grow(self) -> bool {
        matches!(self, Connectivity::Only | Connectivity::All | Connectivity::Larger)
    }
}

/// A member's connectivity, and whether its view agrees with those of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewSummary {
    /// The connectivity of this member.
    pub connectivity: Connectivity,
    /// The digest of its view.
    pub digest: u64,
    /// The number of members that are alive or suspect in its view, itself included.
    pub alive: usize,
    /// The number of failed members.
    pub failed: usize,
    /// The number of those alive or suspect, without itself, whose last packet had the same digest.
    pub same_view: usize,
}

impl ViewSummary {
    /// Returns whether all members that are up have the same view.
    pub fn agreed(&self) -> bool {
        self.same_view + 1 >= self.alive
    }
}

/// Makes the share of a joining member negligible.
const JOINING_FACTOR: usize = 1_024;

/// Returns the divisor of a common budget: a member takes one share of that many. `up` members reach each other,
/// `failed` are unreachable, and the platform's settings list `expected`. A member whose connectivity does not allow a
/// larger share ([`Connectivity::may_grow`]), or that is not `well_connected`, takes one share of all: of `expected`, or of `up
/// + failed` if that is greater.
pub fn divisor(
    connectivity: Connectivity,
    well_connected: bool,
    up: usize,
    failed: usize,
    expected: usize,
) -> usize {
    let all = expected.max(up + failed).max(1);
    match connectivity {
        Connectivity::Joining => all.saturating_mul(JOINING_FACTOR),
        _ if !connectivity.may_grow() || !well_connected || failed >= all => all,
        _ => (up * all).div_ceil(all - failed).clamp(up.max(1), all),
    }
}

/// A divisor that rises at once, and falls only after the larger value has not applied for the hold time.
#[derive(Clone, Debug, Default)]
pub struct HeldDivisor {
    /// Decreasing values, each with the time until which it is held.
    values: VecDeque<(Micros, usize)>,
}

impl HeldDivisor {
    /// Records the raw divisor at `now`, and returns the held one.
    pub fn update(&mut self, now: Micros, hold: Micros, raw: usize) -> usize {
        // The last value applied until now, so its hold time starts now.
        if let Some(last) = self.values.back_mut() {
            last.0 = now.saturating_add(hold);
        }
        while self.values.back().is_some_and(|(_, value)| *value <= raw) {
            self.values.pop_back();
        }
        self.values.push_back((now.saturating_add(hold), raw));
        while self.values.len() > 1 && self.values.front().is_some_and(|(held_until, _)| *held_until <= now) {
            self.values.pop_front();
        }
        self.values.front().map_or(raw, |(_, value)| *value)
    }

    /// Returns when the divisor may next fall.
    pub fn due(&self) -> Micros {
        if self.values.len() > 1 { self.values[0].0 } else { Micros::MAX }
    }
}

#[cfg(test)]
mod tests;
