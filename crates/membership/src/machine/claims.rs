//! Merging claims about members into the table: suspicion, confirmation and expiry (SWIM 4.2, Lifeguard), and
//! refutation of claims about this member. A claim may be forged, so its incarnation and its power to mark a member as
//! failed are bounded.

use super::{Event, MAX_INCARNATION_JUMP, Membership, SUSPICION_CONFIRMATIONS};
use crate::table::{Change, Member, Source, Suspicion};
use crate::wire::{Claim, State};
use std::sync::Arc;

impl Membership {
    /// Merges a claim made by `accuser` into the table, and gossips it if it is news.
    pub(super) fn apply_claim(&mut self, claim: &Claim, source: Source, accuser: &Arc<str>) {
        if claim.name == self.own.name {
            return self.handle_own_claim(claim);
        }
        let known = self.table.members.get(&claim.name);
        let base = known.map_or(self.own.incarnation, |m| m.incarnation);
        if claim.incarnation > base.saturating_add(MAX_INCARNATION_JUMP) {
            self.stats.implausible += 1;
            return;
        }
        let mut claim = claim.clone();
        if let Some(known) = known {
            // An independent accusation of the same incarnation confirms the suspicion and shortens it.
            if claim.state == State::Suspect
                && known.state == State::Suspect
                && claim.incarnation == known.incarnation
                && source == Source::Told
            {
                return self.confirm_suspicion(&claim.name, accuser);
            }
            // A malicious peer, or one that is itself partitioned, may report live members as failed. A member that
            // this one has received packets from recently becomes suspect at most, so that it can refute the claim.
            let heard_recently =
                known.last_heard.is_some_and(|at| at + self.settings.probe_period * 4 > self.now);
            if claim.state == State::Failed && source == Source::Told && known.is_up() && heard_recently {
                claim.state = State::Suspect;
            }
        } else if matches!(claim.state, State::Left) {
            return;
        }
        let change = self.table.merge(self.now, &claim, source, self.settings.max_members);
        let previous = match change {
            Change::Unchanged => return,
            Change::TableFull => {
                self.stats.claims_dropped_table_full += 1;
                return;
            }
            Change::Added => None,
            Change::Updated(state) => Some(state),
        };
        if claim.state == State::Suspect {
            self.start_suspicion(&claim.name, accuser);
        }
        if previous != Some(claim.state) {
            self.push_event(Event::Changed(claim.name.clone(), previous, claim.state, source));
        }
        self.gossip.add(claim);
    }

    /// Handles a claim about this member's name: refutes it with a higher incarnation, or detects that another process
    /// uses the same name.
    pub(super) fn handle_own_claim(&mut self, claim: &Claim) {
        if claim.incarnation > self.own.incarnation.saturating_add(MAX_INCARNATION_JUMP) {
            self.stats.implausible += 1;
            return;
        }
        let must_refute = claim.incarnation >= self.own.incarnation;
        if claim.instance != self.own.instance {
            if !must_refute {
                return;
            }
            // A remnant of an earlier process never returns with an incarnation above the one that refuted it; a live
            // process of the same name does each time.
            let times = match self.name_conflict {
                Some((instance, times)) if instance == claim.instance => times + 1,
                _ => 1,
            };
            self.name_conflict = Some((claim.instance, times));
            if times >= 2 && claim.state == State::Alive {
                if times == 2 {
                    self.stats.conflicts += 1;
                    self.push_event(Event::NameConflict(
                        self.own.name.clone(),
                        self.own.address,
                        claim.address,
                    ));
                }
                if claim.instance < self.own.instance {
                    if self.yielded_at.is_none() {
                        self.push_event(Event::NameYielded);
                    }
                    self.yielded_at = Some(self.now);
                    return;
                }
            }
        } else if claim.state == State::Alive || !must_refute {
            return;
        } else {
            self.stats.refutations += 1;
            self.health.degrade();
            self.push_event(Event::Refuted);
        }
        self.own.incarnation = claim.incarnation + 1;
        self.gossip.add(self.own.clone());
    }

    /// Starts the suspicion timer of a member.
    pub(super) fn start_suspicion(&mut self, name: &Arc<str>, accuser: &Arc<str>) {
        let (min_duration, max_duration) = self.settings.suspicion_bounds(self.table.counts().0);
        let (min_duration, max_duration) = (self.health.scale(min_duration), self.health.scale(max_duration));
        if let Some(member) = self.table.members.get_mut(name) {
            let accusers = vec![accuser.clone()];
            member.suspicion = Some(Suspicion { started_at: self.now, min_duration, max_duration, accusers });
            self.suspects.insert(name.clone());
        }
    }

    /// Records another accuser of a suspect, which shortens the suspicion.
    pub(super) fn confirm_suspicion(&mut self, name: &Arc<str>, accuser: &Arc<str>) {
        let Some(suspicion) = self.table.members.get_mut(name).and_then(|m| m.suspicion.as_mut()) else {
            return;
        };
        if suspicion.accusers.len() <= SUSPICION_CONFIRMATIONS && !suspicion.accusers.contains(accuser) {
            suspicion.accusers.push(accuser.clone());
        }
    }

    /// Marks suspects as failed whose suspicion has expired.
    pub(super) fn expire_suspicions(&mut self) {
        let members = &self.table.members;
        self.suspects.retain(|name| members.get(name).is_some_and(|m| m.suspicion.is_some()));
        let expired = |m: &&Member| {
            m.suspicion.as_ref().is_some_and(|s| s.deadline(SUSPICION_CONFIRMATIONS) <= self.now)
        };
        let heard_since = |m: &Member| {
            m.suspicion.as_ref().is_some_and(|s| m.last_heard.is_some_and(|at| at > s.started_at))
        };
        let due: Vec<(Claim, bool)> = (self.suspects.iter())
            .filter_map(|name| members.get(name))
            .filter(expired)
            .map(|m| (m.claim(), heard_since(m)))
            .collect();
        for (mut claim, heard) in due {
            // A member whose outbound packets are lost gets no acks and would mark all others as failed. A suspect that
            // a packet has been received from since is alive, so its suspicion restarts.
            if heard {
                let now = self.now;
                let member = self.table.members.get_mut(&claim.name);
                member.and_then(|m| m.suspicion.as_mut()).into_iter().for_each(|s| s.started_at = now);
                continue;
            }
            claim.state = State::Failed;
            let own = self.own.name.clone();
            self.apply_claim(&claim, Source::Probe, &own);
        }
    }
}
