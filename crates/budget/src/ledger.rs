//! Tracks what one member owns, has lent and has borrowed of a fleet-wide resource.
//!
//! **Why the sum is bounded.** Each part is owned by exactly one member. The membership layer assigns the
//! parts and keeps their sum at or below the whole. A lease moves an amount from its lender to its borrower.
//! The borrower measures the lease from when it *sent the request*; the lender measures it from when it
//! *granted* it, which is later, and adds [`ResourceTerms::clock_margin_percent`], so clock rates may differ by half
//! of that margin. The borrower's lease therefore expires, by its own clock, before the lender counts the
//! amount as its own again, and a grant that arrives after its expiry is worthless. A restarted member has no
//! record of the leases of its earlier process: until those must have expired it spends only its floor, which
//! is never lent.
//!
//! **Why the sum holds.** A part is owned by one member alone; who owns how much is the membership's to say, whose rules
//! keep the parts' sum at one. A lease moves an amount from its lender to its borrower. The borrower counts the lease's
//! time from when it *asked*, the lender from when it *granted*, which is later, and for longer by [`ResourceTerms::margin`], so
//! that clocks may run at different rates by half of that. So the borrower's lease is over, by its own clock, before the
//! lender counts the amount as its own again; and a grant that is late is worth nothing. A member that starts anew does not
//! know what an earlier process of its name had lent: until that must be over it spends only what is never lent.

use crate::Micros;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Maximum number of leases held, lent and borrowed counted separately.
pub const MAX_LEASES: usize = 512;
/// Maximum number of lease requests awaiting an answer.
pub const MAX_PENDING_REQUESTS: usize = 16;
/// Upper bound on the duration of a lease, whatever duration is requested.
const MAX_LEASE_TIME: Micros = 60_000_000;

/// Parameters of a resource, the same at all members. The caller chooses the unit: thousandths of something
/// per second, or items held.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ResourceTerms {
    /// Total amount of the resource in the fleet.
    pub total: u64,
    /// Share of each member's part that is never lent, in thousandths.
    pub floor_per_mille: u64,
    /// Duration of a lease.
    pub lease_time: Micros,
    /// Time for which a use that began within a lease may continue after its expiry; zero for rates.
    pub grace: Micros,
    /// Percentage by which the lender extends its own count of a lease. Clock rates may differ by half of it.
    pub clock_margin_percent: u64,
}

impl Default for ResourceTerms {
    fn default() -> ResourceTerms {
        ResourceTerms {
            total: 0,
            floor_per_mille: 500,
            lease_time: 2_000_000,
            grace: 0,
            clock_margin_percent: 5,
        }
    }
}

impl ResourceTerms {
    /// Returns how long the lender counts a lease of this duration as lent.
    fn lender_lease_time(&self, lease: Micros) -> Micros {
        lease + lease * self.clock_margin_percent / 100 + self.grace
    }

    /// Returns the time after which no lease granted by a member can still be in use.
    pub fn max_lease_lifetime(&self) -> Micros {
        self.lender_lease_time(MAX_LEASE_TIME.min(self.lease_time))
    }
}

/// Rules that keep the sum bounded. Only tests disable any of them, to show that each is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SafetyRules {
    /// Measure a lease from its request, not from the arrival of the grant.
    pub from_request: bool,
    /// After a start, spend only the floor until all leases of an earlier process must have expired.
    pub limit_after_start: bool,
    /// Drop expired leases. Without this a further grant of the same lender extends them.
    pub drop_expired: bool,
    /// Ignore a grant addressed to an earlier process of the same name.
    pub check_instance: bool,
}

impl Default for SafetyRules {
    fn default() -> SafetyRules {
        SafetyRules { from_request: true, limit_after_start: true, drop_expired: true, check_instance: true }
    }
}

/// A request for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Identifier of the requesting process.
    pub instance: u64,
    /// Request number, unique within that process.
    pub number: u64,
    /// Requested amount.
    pub amount: u64,
    /// Requested duration.
    pub lease: Micros,
    /// Worth of the requested use, weighed against the lender's own use: 1 or more.
    pub worth: u32,
}

/// The answer to a lease request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Identifier of the process that sent the request.
    pub instance: u64,
    /// Number of the request.
    pub number: u64,
    /// Amount lent; zero is a refusal.
    pub amount: u64,
    /// Duration of the lease, measured from the request.
    pub lease: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LentLease {
    to: Arc<str>,
    instance: u64,
    number: u64,
    amount: u64,
    lease: Micros,
    expires_at: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct BorrowedLease {
    from: Arc<str>,
    amount: u64,
    expires_at: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingRequest {
    to: Arc<str>,
    number: u64,
    sent_at: Micros,
    lease: Micros,
}

/// The ledger of one resource at one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ledger {
    terms: ResourceTerms,
    rules: SafetyRules,
    instance: u64,
    started_at: Micros,
    /// Number of parts that the whole is divided into, one of them this member's; 0 while this member has no
    /// part.
    parts: u64,
    /// Amount that this member needs itself, and the worth of that use.
    need: u64,
    worth: u32,
    number: u64,
    lent: Vec<LentLease>,
    borrowed: Vec<BorrowedLease>,
    pending: Vec<PendingRequest>,
}

impl Ledger {
    /// Creates the ledger of a process that starts now; `instance` distinguishes it from earlier processes of
    /// the same name.
    pub fn new(terms: ResourceTerms, instance: u64, now: Micros) -> Ledger {
        Ledger {
            terms,
            rules: SafetyRules::default(),
            instance,
            started_at: now,
            parts: 0,
            need: 0,
            worth: 1,
            number: 0,
            lent: Vec::new(),
            borrowed: Vec::new(),
            pending: Vec::new(),
        }
    }

    /// Replaces the safety rules, for tests.
    pub fn with_rules(mut self, rules: SafetyRules) -> Ledger {
        self.rules = rules;
        self
    }

    /// Sets the number of parts that the whole is divided into. The caller must raise the number at once but
    /// lower it only after [`ResourceTerms::max_lease_lifetime`], and must give a member that starts no part for that
    /// long; otherwise the sum can exceed the whole.
    pub fn set_parts(&mut self, parts: usize) {
        self.parts = parts as u64;
    }

    /// Sets the amount that this member needs itself, in the resource's units, and its worth. That amount is
    /// not lent to members that request it at the same or a lower worth.
    pub fn set_own_need(&mut self, amount: u64, worth: u32) {
        (self.need, self.worth) = (amount, worth.max(1));
    }

    /// Returns the amount that this member owns.
    pub fn owned(&self) -> u64 {
        self.terms.total.checked_div(self.parts).unwrap_or(0)
    }

    /// Returns the part of the owned amount that is never lent.
    pub fn floor(&self) -> u64 {
        (self.owned() as u128 * self.terms.floor_per_mille.min(1_000) as u128 / 1_000) as u64
    }

    /// Returns the amount lent at `now`.
    pub fn lent(&self, now: Micros) -> u64 {
        self.lent.iter().filter(|l| now < l.expires_at).map(|l| l.amount).sum()
    }

    /// Returns the amount borrowed at `now`.
    pub fn borrowed(&self, now: Micros) -> u64 {
        self.borrowed.iter().filter(|b| now < b.expires_at).map(|b| b.amount).sum()
    }

    /// Returns the amount that this member may spend at `now`.
    pub fn spendable(&self, now: Micros) -> u64 {
        let limited = self.rules.limit_after_start
            && now < self.started_at.saturating_add(self.terms.max_lease_lifetime());
        let own = if limited { self.floor() } else { self.owned() };
        own.saturating_sub(self.lent(now)) + self.borrowed(now)
    }

    /// Creates a lease request to `to`, or returns `None` while too many requests are pending or too many
    /// leases are held.
    pub fn request_lease(&mut self, now: Micros, to: &str, amount: u64, worth: u32) -> Option<LeaseRequest> {
        self.remove_expired(now);
        if amount == 0 || self.pending.len() >= MAX_PENDING_REQUESTS || self.borrowed.len() >= MAX_LEASES {
            return None;
        }
        self.number += 1;
        let (number, lease) = (self.number, self.terms.lease_time.min(MAX_LEASE_TIME));
        self.pending.push(PendingRequest { to: to.into(), number, sent_at: now, lease });
        Some(LeaseRequest { instance: self.instance, number, amount, lease, worth: worth.max(1) })
    }

    /// Returns whether a request to this member is pending or a lease from it is running.
    pub fn deals_with(&self, now: Micros, name: &str) -> bool {
        self.pending.iter().any(|a| &*a.to == name && now < a.sent_at + a.lease)
            || self.borrowed.iter().any(|b| &*b.from == name && now < b.expires_at)
    }

    /// Answers a lease request. A request may arrive twice, late, or from a process that no longer exists,
    /// and may ask for everything: it is granted only what can be spared, and each request yields one lease.
    pub fn handle_request(&mut self, now: Micros, from: &str, ask: &LeaseRequest) -> LeaseGrant {
        self.remove_expired(now);
        let &LeaseRequest { instance, number, amount, .. } = ask;
        let same_request = |l: &&LentLease| &*l.to == from && (l.instance, l.number) == (instance, number);
        if let Some(lent) = self.lent.iter().find(same_request) {
            return LeaseGrant { instance, number, amount: lent.amount, lease: lent.lease };
        }
        // A request for longer than the configured duration gets the configured duration.
        let lease = ask.lease.min(self.terms.lease_time);
        let start_limit_over = now >= self.started_at.saturating_add(self.terms.max_lease_lifetime());
        // A use of higher worth may take from what this member needs, in proportion to the ratio of the
        // worths.
        let reserved = self.need as u128 * u128::from(self.worth)
            / u128::from(ask.worth.clamp(1, 1_000).max(self.worth));
        let reserved = self.floor().max(reserved.min(u128::from(self.owned())) as u64);
        let spare = self.owned().saturating_sub(self.lent(now)).saturating_sub(reserved);
        let may_lend = start_limit_over && self.lent.len() < MAX_LEASES && lease > 0;
        let amount = if may_lend { amount.min(spare) } else { 0 };
        if amount > 0 {
            let expires_at = now + self.terms.lender_lease_time(lease);
            self.lent.push(LentLease { to: from.into(), instance, number, amount, lease, expires_at });
        }
        LeaseGrant { instance, number, amount, lease }
    }

    /// Applies the answer to a request; returns whether it brought a lease.
    pub fn handle_grant(&mut self, now: Micros, from: &str, grant: &LeaseGrant) -> bool {
        self.remove_expired(now);
        let own_instance = grant.instance == self.instance || !self.rules.check_instance;
        let index = self.pending.iter().position(|a| &*a.to == from && a.number == grant.number);
        let Some(index) = index.filter(|_| own_instance) else { return false };
        let PendingRequest { sent_at, lease, .. } = self.pending.remove(index);
        let counted_from = if self.rules.from_request { sent_at } else { now };
        let expires_at = counted_from + grant.lease.min(lease);
        if !self.rules.drop_expired {
            // Planted fault: earlier leases from this lender are extended to the end of the new one.
            self.borrowed
                .iter_mut()
                .filter(|b| &*b.from == from)
                .for_each(|b| b.expires_at = b.expires_at.max(expires_at));
        }
        let accepted = grant.amount > 0 && now < expires_at && self.borrowed.len() < MAX_LEASES;
        if accepted {
            self.borrowed.push(BorrowedLease { from: from.into(), amount: grant.amount, expires_at });
        }
        accepted
    }

    /// Returns when the spendable amount next changes without a message.
    pub fn next_change(&self, now: Micros) -> Micros {
        let lent = self.lent.iter().map(|l| l.expires_at);
        let ends = lent
            .chain(self.borrowed.iter().map(|b| b.expires_at))
            .chain([self.started_at + self.terms.max_lease_lifetime()]);
        ends.filter(|at| *at > now).min().unwrap_or(Micros::MAX)
    }

    /// Iterates over the running leases: whether lent, the other member, the amount, and the remaining time.
    pub fn leases(&self, now: Micros) -> impl Iterator<Item = (bool, &str, u64, Micros)> {
        let lent = self.lent.iter().map(|l| (true, &*l.to, l.amount, l.expires_at));
        let borrowed = self.borrowed.iter().map(|b| (false, &*b.from, b.amount, b.expires_at));
        let runs = move |(lent, who, amount, expires_at)| {
            (expires_at > now).then(|| (lent, who, amount, expires_at - now))
        };
        lent.chain(borrowed).filter_map(runs)
    }

    fn remove_expired(&mut self, now: Micros) {
        self.lent.retain(|l| now < l.expires_at);
        if self.rules.drop_expired {
            self.borrowed.retain(|b| now < b.expires_at);
        }
        self.pending.retain(|a| now < a.sent_at + a.lease);
    }
}

#[cfg(test)]
mod tests;
