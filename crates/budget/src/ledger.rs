//! What one member owns, has lent and has borrowed of a resource of the whole fleet.
//!
//! **Why the sum holds.** A part is owned by one member alone; who owns how much is the membership's to say, whose rules
//! keep the parts' sum at one. A lease moves an amount from its lender to its borrower. The borrower counts the lease's
//! time from when it *asked*, the lender from when it *granted*, which is later, and for longer by [`Terms::margin`], so
//! that clocks may run at different rates by half of that. So the borrower's lease is over, by its own clock, before the
//! lender counts the amount as its own again; and a grant that is late is worth nothing. A member that starts anew does not
//! know what an earlier process of its name had lent: until that must be over it spends only what is never lent.

use crate::Micros;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Leases held either way at the most.
pub const MOST_LEASES: usize = 512;
/// Questions that are open at the most.
pub const MOST_ASKED: usize = 16;
/// The longest lease, whatever an asker wants.
const MOST_LEASE: Micros = 60_000_000;

/// What a resource is, alike at all members. Units are the caller's: thousandths of something a second, or pieces held.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// All that there is.
    pub whole: u64,
    /// Of each member's part, so many thousandths are never lent.
    pub floor: u64,
    /// How long a lease lasts.
    pub lease: Micros,
    /// A use that began within a lease may go on for so long after it; none for rates.
    pub linger: Micros,
    /// A lender counts a lease for so many hundredths longer. Clocks may differ in rate by half of that.
    pub margin: u64,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms { whole: 0, floor: 500, lease: 2_000_000, linger: 0, margin: 5 }
    }
}

impl Terms {
    /// How long a lender counts a lease of this length.
    fn counted(&self, lease: Micros) -> Micros {
        lease + lease * self.margin / 100 + self.linger
    }

    /// After this nothing can be out that a member had lent.
    pub fn hold(&self) -> Micros {
        self.counted(MOST_LEASE.min(self.lease))
    }
}

/// What makes it safe; tests alone take others than these, to show that they are needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Rules {
    /// A lease counts from its question, not from the grant's arrival.
    pub from_question: bool,
    /// A member that starts spends only what is never lent, until what it may have lent is over.
    pub starts_low: bool,
    /// A lease that is over is over; else a further grant of the same lender makes it last on.
    pub ends: bool,
    /// A grant for an earlier process of the name is none.
    pub fenced: bool,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules { from_question: true, starts_low: true, ends: true, fenced: true }
    }
}

/// A question for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ask {
    /// The process that asks.
    pub instance: u64,
    /// Its number; none comes twice from one process.
    pub number: u64,
    /// How much is wanted.
    pub amount: u64,
    /// For how long.
    pub lease: Micros,
    /// What it is worth, against what the lender would use it for: 1 or more.
    pub worth: u32,
}

/// The answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Grant {
    /// The process that asked.
    pub instance: u64,
    /// The number of its question.
    pub number: u64,
    /// How much is lent; nothing is a no.
    pub amount: u64,
    /// For how long, from the question.
    pub lease: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Lent {
    to: Arc<str>,
    instance: u64,
    number: u64,
    amount: u64,
    lease: Micros,
    until: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Borrowed {
    from: Arc<str>,
    amount: u64,
    until: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Asked {
    to: Arc<str>,
    number: u64,
    at: Micros,
    lease: Micros,
}

/// The ledger of one resource at one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ledger {
    terms: Terms,
    rules: Rules,
    instance: u64,
    began: Micros,
    /// The whole goes into so many parts, of which one is this member's; 0: it has none yet.
    parts: u64,
    /// What this member itself needs, and what that is worth.
    need: u64,
    worth: u32,
    number: u64,
    lent: Vec<Lent>,
    borrowed: Vec<Borrowed>,
    asked: Vec<Asked>,
}

impl Ledger {
    /// That of a process which begins now; `instance` tells it from earlier ones of its name.
    pub fn new(terms: Terms, instance: u64, now: Micros) -> Ledger {
        Ledger {
            terms,
            rules: Rules::default(),
            instance,
            began: now,
            parts: 0,
            need: 0,
            worth: 1,
            number: 0,
            lent: Vec::new(),
            borrowed: Vec::new(),
            asked: Vec::new(),
        }
    }

    /// The same under other rules, for tests.
    pub fn with_rules(mut self, rules: Rules) -> Ledger {
        self.rules = rules;
        self
    }

    /// The whole goes into so many parts from now on. Danger: the caller sees to it that parts grow in number at once and
    /// shrink only after [`Terms::hold`], and that one that begins takes none for that long.
    pub fn divide(&mut self, parts: usize) {
        self.parts = parts as u64;
    }

    /// What this member needs itself, in the resource's units, and what that is worth: so much it does not lend to
    /// those who want it for no more.
    pub fn need(&mut self, amount: u64, worth: u32) {
        (self.need, self.worth) = (amount, worth.max(1));
    }

    /// What it owns.
    pub fn own(&self) -> u64 {
        self.terms.whole.checked_div(self.parts).unwrap_or(0)
    }

    /// What of that is never lent.
    pub fn floor(&self) -> u64 {
        (self.own() as u128 * self.terms.floor.min(1_000) as u128 / 1_000) as u64
    }

    /// What is lent out now.
    pub fn lent(&self, now: Micros) -> u64 {
        self.lent.iter().filter(|l| now < l.until).map(|l| l.amount).sum()
    }

    /// What is borrowed now.
    pub fn borrowed(&self, now: Micros) -> u64 {
        self.borrowed.iter().filter(|b| now < b.until).map(|b| b.amount).sum()
    }

    /// What this member may spend now.
    pub fn spendable(&self, now: Micros) -> u64 {
        let low = self.rules.starts_low && now < self.began.saturating_add(self.terms.hold());
        let own = if low { self.floor() } else { self.own() };
        own.saturating_sub(self.lent(now)) + self.borrowed(now)
    }

    /// Asks another for so much; none while too many questions are open, or too many leases held.
    pub fn ask(&mut self, now: Micros, to: &str, amount: u64, worth: u32) -> Option<Ask> {
        self.tidy(now);
        if amount == 0 || self.asked.len() >= MOST_ASKED || self.borrowed.len() >= MOST_LEASES {
            return None;
        }
        self.number += 1;
        let (number, lease) = (self.number, self.terms.lease.min(MOST_LEASE));
        self.asked.push(Asked { to: to.into(), number, at: now, lease });
        Some(Ask { instance: self.instance, number, amount, lease, worth: worth.max(1) })
    }

    /// Whether a question to this one is open, or a lease of it runs.
    pub fn deals_with(&self, now: Micros, name: &str) -> bool {
        self.asked.iter().any(|a| &*a.to == name && now < a.at + a.lease)
            || self.borrowed.iter().any(|b| &*b.from == name && now < b.until)
    }

    /// Answers another's question. Danger: a question may come twice, late, or from a process that is gone; and a peer may
    /// ask for everything. It gets what can be spared, and each question one lease.
    pub fn asked(&mut self, now: Micros, from: &str, ask: &Ask) -> Grant {
        self.tidy(now);
        let &Ask { instance, number, amount, .. } = ask;
        let same = |l: &&Lent| &*l.to == from && (l.instance, l.number) == (instance, number);
        if let Some(lent) = self.lent.iter().find(same) {
            return Grant { instance, number, amount: lent.amount, lease: lent.lease };
        }
        // One that asks for longer than is usual here gets the usual time.
        let lease = ask.lease.min(self.terms.lease);
        let begun = now >= self.began.saturating_add(self.terms.hold());
        // Who wants it for more may have of what this one needs, as much more as it is worth more.
        let kept = self.need as u128 * u128::from(self.worth)
            / u128::from(ask.worth.clamp(1, 1_000).max(self.worth));
        let kept = self.floor().max(kept.min(u128::from(self.own())) as u64);
        let spare = self.own().saturating_sub(self.lent(now)).saturating_sub(kept);
        let room = begun && self.lent.len() < MOST_LEASES && lease > 0;
        let amount = if room { amount.min(spare) } else { 0 };
        if amount > 0 {
            let until = now + self.terms.counted(lease);
            self.lent.push(Lent { to: from.into(), instance, number, amount, lease, until });
        }
        Grant { instance, number, amount, lease }
    }

    /// Takes an answer; whether it brought anything.
    pub fn granted(&mut self, now: Micros, from: &str, grant: &Grant) -> bool {
        self.tidy(now);
        let mine = grant.instance == self.instance || !self.rules.fenced;
        let place = self.asked.iter().position(|a| &*a.to == from && a.number == grant.number);
        let Some(place) = place.filter(|_| mine) else { return false };
        let Asked { at, lease, .. } = self.asked.remove(place);
        let began = if self.rules.from_question { at } else { now };
        let until = began + grant.lease.min(lease);
        if !self.rules.ends {
            // The planted fault: what this lender lent before lasts on with the new lease.
            self.borrowed.iter_mut().filter(|b| &*b.from == from).for_each(|b| b.until = b.until.max(until));
        }
        let brings = grant.amount > 0 && now < until && self.borrowed.len() < MOST_LEASES;
        if brings {
            self.borrowed.push(Borrowed { from: from.into(), amount: grant.amount, until });
        }
        brings
    }

    /// When what may be spent next changes by itself.
    pub fn due(&self, now: Micros) -> Micros {
        let lent = self.lent.iter().map(|l| l.until);
        let ends = lent.chain(self.borrowed.iter().map(|b| b.until)).chain([self.began + self.terms.hold()]);
        ends.filter(|at| *at > now).min().unwrap_or(Micros::MAX)
    }

    /// Leases that run: lent to whom, and borrowed from whom, how much, and how much longer.
    pub fn leases(&self, now: Micros) -> impl Iterator<Item = (bool, &str, u64, Micros)> {
        let lent = self.lent.iter().map(|l| (true, &*l.to, l.amount, l.until));
        let borrowed = self.borrowed.iter().map(|b| (false, &*b.from, b.amount, b.until));
        let runs = move |(lent, who, amount, until)| (until > now).then(|| (lent, who, amount, until - now));
        lent.chain(borrowed).filter_map(runs)
    }

    fn tidy(&mut self, now: Micros) {
        self.lent.retain(|l| now < l.until);
        if self.rules.ends {
            self.borrowed.retain(|b| now < b.until);
        }
        self.asked.retain(|a| now < a.at + a.lease);
    }
}

#[cfg(test)]
mod tests;
