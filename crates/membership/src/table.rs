//! The table of known members. It is given claims and merges those that supersede what it has; [`crate::Membership`]
//! acts on the changes. The number of members is bounded by [`crate::Settings::most_members`].

use crate::Micros;
use crate::wire::{BUCKETS, Claim, Record, ReplayWindow, State, bucket_of, claim_digest};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// The source of the information about a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A packet of the member itself.
    Direct,
    /// A claim by another member, or an introduction by the host.
    Told,
    /// A probe by this member that had no ack.
    Probe,
}

/// A member as this one's table has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The name.
    pub name: Arc<str>,
    /// The address at which it is reached.
    pub address: SocketAddr,
    /// The process.
    pub instance: u64,
    /// The incarnation of the newest claim about it.
    pub incarnation: u64,
    /// The state.
    pub state: State,
    /// The record that it publishes.
    pub record: Record,
    /// When it entered that state.
    pub since: Micros,
    /// The source of that state.
    pub source: Source,
    /// When the last packet from it was received; `None` if never.
    pub last_heard: Option<Micros>,
    /// When it last answered a probe of this member; `None` if never.
    pub last_answered: Option<Micros>,
    /// The digest of its view, from its last packet.
    pub digest: u64,
    /// The load from its last packet, in thousandths.
    pub load: u16,
    /// Whether it supports the comparison of tables by buckets.
    pub(crate) bucket_sync: BucketSync,
    pub(crate) replay_window: ReplayWindow,
    /// The suspicion, while the member is suspect.
    pub(crate) suspicion: Option<Suspicion>,
}

/// Whether a member supports the comparison of tables by buckets; the first release of the program did not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum BucketSync {
    #[default]
    Unknown,
    /// Bucket digests were sent, and none have been received yet.
    Requested,
    Supported,
}

/// A running suspicion (SWIM 4.2).
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Suspicion {
    pub started_at: Micros,
    pub min_duration: Micros,
    pub max_duration: Micros,
    /// The member that started the suspicion, and those that confirmed it.
    pub accusers: Vec<Arc<str>>,
}

impl Suspicion {
    /// Returns when it expires: the more confirmations, the sooner, down to the minimum at `max_confirmations`
    /// (Lifeguard, 'Dogpile').
    pub fn deadline(&self, max_confirmations: usize) -> Micros {
        let confirmations = self.accusers.len().saturating_sub(1).min(max_confirmations) as f64;
        let fraction =
            (confirmations + 1.0).ln() / (max_confirmations as f64 + 1.0).ln().max(f64::MIN_POSITIVE);
        let range = self.max_duration.saturating_sub(self.min_duration) as f64;
        self.started_at + self.max_duration.saturating_sub((range * fraction.min(1.0)) as Micros)
    }
}

impl Member {
    pub(crate) fn claim(&self) -> Claim {
        Claim {
            name: self.name.clone(),
            address: self.address,
            instance: self.instance,
            incarnation: self.incarnation,
            state: self.state,
            record: self.record.clone(),
        }
    }

    /// Returns whether the member is alive or suspect.
    pub fn is_up(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect)
    }
}

/// The effect of merging a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// The claim does not supersede what is known.
    Unchanged,
    /// A new member was added.
    Added,
    /// A member was updated; its previous state.
    Updated(State),
    /// The claim is about a new member, and the table is full.
    TableFull,
}

/// All other members.
#[derive(Default)]
pub(crate) struct Table {
    pub members: BTreeMap<Arc<str>, Member>,
    /// Incremented whenever the counts of members for a budget share may change.
    pub count_revision: u64,
    digest: u64,
    bucket_digests: [u32; BUCKETS],
    up: usize,
    failed: usize,
}

impl Table {
    /// Merges a claim if it supersedes what is known, in a table of at most `max_members`.
    pub fn merge(&mut self, now: Micros, claim: &Claim, source: Source, max_members: usize) -> Change {
        if let Some(member) = self.members.get(&claim.name) {
            let known = member.claim();
            if !claim.newer(&known) {
                return Change::Unchanged;
            }
            self.update_totals(&known, false);
            self.update_totals(claim, true);
            let (previous, restarted) = (known.state, known.instance != claim.instance);
            let Some(member) = self.members.get_mut(&claim.name) else { return Change::Unchanged };
            if restarted {
                (member.replay_window, member.last_heard, member.last_answered) =
                    (ReplayWindow::default(), None, None);
                member.bucket_sync = BucketSync::default();
            }
            if previous != claim.state || restarted {
                (member.since, member.source) = (now, source);
            }
            (member.address, member.instance) = (claim.address, claim.instance);
            (member.incarnation, member.state) = (claim.incarnation, claim.state);
            member.record = claim.record.clone();
            if claim.state != State::Suspect {
                member.suspicion = None;
            }
            return Change::Updated(previous);
        }
        if self.members.len() >= max_members && !self.evict_one() {
            return Change::TableFull;
        }
        self.update_totals(claim, true);
        let member = Member {
            name: claim.name.clone(),
            address: claim.address,
            instance: claim.instance,
            incarnation: claim.incarnation,
            state: claim.state,
            record: claim.record.clone(),
            since: now,
            source,
            last_heard: None,
            last_answered: None,
            digest: 0,
            load: 0,
            bucket_sync: BucketSync::default(),
            replay_window: ReplayWindow::default(),
            suspicion: None,
        };
        self.members.insert(claim.name.clone(), member);
        Change::Added
    }

    /// Removes a member.
    pub fn remove(&mut self, name: &str) {
        if let Some(member) = self.members.remove(name) {
            self.update_totals(&member.claim(), false);
        }
    }

    /// Evicts one member to make room, so that a malicious peer that claims thousands of members cannot displace real
    /// ones: first a member that never sent a packet, then the one that left or failed longest ago. Members that are up
    /// and have sent a packet are never evicted; returns false if there are no others.
    fn evict_one(&mut self) -> bool {
        let rank = |m: &&Member| (m.last_heard.is_some(), m.state != State::Left, m.since);
        let evicted = self.members.values().filter(|m| m.last_heard.is_none() || !m.is_up()).min_by_key(rank);
        let name = evicted.map(|m| m.name.clone());
        name.iter().for_each(|n| self.remove(n));
        name.is_some()
    }

    /// Adds a claim to the digests and counts, or removes it from them.
    fn update_totals(&mut self, claim: &Claim, adds: bool) {
        let digest = claim_digest(claim);
        self.digest ^= digest;
        self.bucket_digests[bucket_of(&claim.name)] ^= digest as u32;
        self.count_revision += 1;
        let counter = match claim.state {
            State::Alive | State::Suspect => &mut self.up,
            State::Failed => &mut self.failed,
            State::Left => return,
        };
        *counter = if adds { *counter + 1 } else { counter.saturating_sub(1) };
    }

    /// Returns the digest of all members, without the one that holds the table.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the digests of the members in each bucket ([`bucket_of`]).
    pub fn bucket_digests(&self) -> [u32; BUCKETS] {
        self.bucket_digests
    }

    /// Returns the numbers of members that are up (alive or suspect), and that have failed.
    pub fn counts(&self) -> (usize, usize) {
        (self.up, self.failed)
    }
}
