//! Anti-entropy: periodic comparison of tables with other members, which merges the views after a partition heals. Also
//! removes members that left, and counts members for the budget share. Tables are compared by the digests of their
//! buckets; an exchange sends at most [`MAX_SYNC_PACKETS`] packets of claims.

use super::{MAX_SYNC_PACKETS, MAX_UNVERIFIED_PER_ROUND, Membership};
use crate::table::{BucketSync, Member};
use crate::wire::{self, BUCKETS, Body, Claim, State};
use std::net::SocketAddr;
use std::sync::Arc;

impl Membership {
    /// Starts a table exchange with a member that is up, and with a failed member or a seed, so that partitions heal.
    pub(super) fn sync_tables(&mut self) {
        if self.yielded_at.is_some() {
            return;
        }
        let heard = |m: &&Member| m.last_heard.is_some();
        let mut up: Vec<SocketAddr> =
            self.members().filter(|m| m.is_up()).filter(heard).map(|m| m.address).collect();
        if up.is_empty() {
            up = self.up_addresses();
        }
        let known: Vec<SocketAddr> = self.members().map(|m| m.address).collect();
        let failed = |was_heard: bool| {
            let failed = self
                .members()
                .filter(move |m| m.state == State::Failed && m.last_heard.is_some() == was_heard);
            failed.map(|m| m.address).collect::<Vec<SocketAddr>>()
        };
        // Failed members that never sent a packet may be forged: a few of them are candidates where there are no
        // others, or where the offset of the claim exchange is a multiple of four.
        let (mut unreachable, unverified) = (failed(true), failed(false));
        if unreachable.is_empty() || self.sync_offset.is_multiple_of(4) {
            unreachable.extend(unverified.into_iter().take(MAX_UNVERIFIED_PER_ROUND));
        }
        unreachable.extend(self.seeds.iter().filter(|s| !known.contains(s)));
        for mut list in [up, unreachable] {
            self.shuffle(&mut list);
            // A random choice reaches every unreachable member within some rounds, however many there are.
            let limit = if self.joined_at.is_some() { 1 } else { 3 };
            for to in list.into_iter().take(limit) {
                self.send(to, &Body::CompareDigest { answer: false }, None);
            }
        }
    }

    /// Returns the digest of each bucket of the table, with this member's own claim included.
    pub(super) fn bucket_digests(&self) -> [u32; BUCKETS] {
        let mut digests = self.table.bucket_digests();
        digests[wire::bucket_of(&self.own.name)] ^= wire::claim_digest(&self.own) as u32;
        digests
    }

    /// Sends the bucket digests to a member whose table differs; all claims too, if an earlier comparison had no reply.
    pub(super) fn compare_buckets(&mut self, to: SocketAddr, name: &Arc<str>) {
        let Some(member) = self.table.members.get_mut(name) else { return };
        let unanswered = member.bucket_sync == BucketSync::Requested;
        if member.bucket_sync == BucketSync::Unknown {
            member.bucket_sync = BucketSync::Requested;
        }
        let digests = self.bucket_digests().to_vec();
        self.send(to, &Body::CompareBuckets { digests, answer: false }, None);
        if unanswered {
            self.send_claims(to, |_| true);
        }
    }

    /// Sends the claims about the selected names, up to the limit of one exchange; the next exchange continues there.
    pub(super) fn send_claims(&mut self, to: SocketAddr, selected: impl Fn(&str) -> bool) {
        let listed = self.members().filter(|m| m.state != State::Left && selected(&m.name));
        let mut all: Vec<Claim> = listed.map(Member::claim).collect();
        if all.is_empty() {
            return;
        }
        let from = self.sync_offset % all.len();
        all.rotate_left(from);
        let mut rest = &all[..];
        for _ in 0..MAX_SYNC_PACKETS {
            if rest.is_empty() {
                break;
            }
            let count = self.enqueue_packet(to, &Body::Claims, rest);
            if count == 0 {
                break;
            }
            rest = &rest[count..];
        }
        self.sync_offset = if rest.is_empty() { 0 } else { from + all.len() - rest.len() };
    }

    /// Removes members that left longer ago than the retention period. Failed members stay: they may return, and keep
    /// their share of the budget.
    pub(super) fn remove_departed(&mut self) {
        let old =
            |m: &&Member| m.state == State::Left && m.since + self.settings.departed_retention <= self.now;
        let departed: Vec<Arc<str>> = self.members().filter(old).map(|m| m.name.clone()).collect();
        departed.iter().for_each(|name| self.table.remove(name));
    }

    /// Returns the numbers of members that are up, this one included, and of failed ones, as they count for a budget
    /// share. A malicious peer may claim thousands of members, so those that this member never received a packet from
    /// count only up to the number of instances that the platform expects.
    pub(super) fn share_counts(&mut self) -> (usize, usize) {
        let revision = self.table.count_revision;
        if let Some((_, counts)) = self.cached_counts.filter(|(at, _)| *at == revision) {
            return counts;
        }
        let (mut up, mut failed, mut unverified_up, mut unverified_failed) = (1, 0, 0, 0);
        for member in self.members() {
            match (member.state, member.last_heard.is_some()) {
                (State::Left, _) => {}
                (State::Failed, true) => failed += 1,
                (State::Failed, false) => unverified_failed += 1,
                (_, true) => up += 1,
                (_, false) => unverified_up += 1,
            }
        }
        let room = self.settings.expected_members.saturating_sub(up + failed);
        let counted_up = unverified_up.min(room);
        let counts = (up + counted_up, failed + unverified_failed.min(room - counted_up));
        self.cached_counts = Some((revision, counts));
        counts
    }
}
