//! What others claim of members, and what this member answers to claims about itself.

use super::{ENOUGH, Event, MOST_AHEAD, Membership};
use crate::table::{Change, Member, Source, Suspicion};
use crate::wire::{Claim, State};
use std::sync::Arc;

impl Membership {
    pub(super) fn claim(&mut self, claim: &Claim, source: Source, by: &Arc<str>) {
        if claim.name == self.own.name {
            return self.about_own(claim);
        }
        let known = self.table.members.get(&claim.name);
        let base = known.map_or(self.own.incarnation, |m| m.incarnation);
        if claim.incarnation > base.saturating_add(MOST_AHEAD) {
            self.stats.absurd += 1;
            return;
        }
        let mut claim = claim.clone();
        if let Some(known) = known {
            // A second accuser shortens the suspicion.
            if claim.state == State::Suspect
                && known.state == State::Suspect
                && claim.incarnation == known.incarnation
                && source == Source::Told
            {
                return self.confirm(&claim.name, by);
            }
            // Danger: a peer that lies, or one that is cut off itself, calls others gone. Whom we hear ourselves is at
            // the most suspect, and may deny it.
            let heard = known.heard.is_some_and(|at| at + self.set.probe_every * 4 > self.now);
            if claim.state == State::Failed && source == Source::Told && known.is_up() && heard {
                claim.state = State::Suspect;
            }
        } else if matches!(claim.state, State::Left) {
            return;
        }
        let change = self.table.merge(self.now, &claim, source, self.set.most_members);
        let was = match change {
            Change::None => return,
            Change::Full => {
                self.stats.crowded += 1;
                return;
            }
            Change::New => None,
            Change::Was(state) => Some(state),
        };
        if claim.state == State::Suspect {
            self.suspect(&claim.name, by);
        }
        if was != Some(claim.state) {
            self.event(Event::Changed(claim.name.clone(), was, claim.state, source));
        }
        self.gossip.add(claim);
    }

    /// Somebody says something of this member.
    pub(super) fn about_own(&mut self, claim: &Claim) {
        if claim.incarnation > self.own.incarnation.saturating_add(MOST_AHEAD) {
            self.stats.absurd += 1;
            return;
        }
        let outdone = claim.incarnation >= self.own.incarnation;
        if claim.instance != self.own.instance {
            if !outdone {
                return;
            }
            // What is left of an earlier process never comes again with a higher incarnation; a twin does, each time.
            let times = match self.twin {
                Some((instance, times)) if instance == claim.instance => times + 1,
                _ => 1,
            };
            self.twin = Some((claim.instance, times));
            if times >= 2 && claim.state == State::Alive {
                if times == 2 {
                    self.stats.conflicts += 1;
                    self.event(Event::Conflict(self.own.name.clone(), self.own.address, claim.address));
                }
                if claim.instance < self.own.instance {
                    if self.yielded.is_none() {
                        self.event(Event::Yielded);
                    }
                    self.yielded = Some(self.now);
                    return;
                }
            }
        } else if claim.state == State::Alive || !outdone {
            return;
        } else {
            self.stats.denials += 1;
            self.health.ill();
            self.event(Event::Denied);
        }
        self.own.incarnation = claim.incarnation + 1;
        self.gossip.add(self.own.clone());
    }

    pub(super) fn suspect(&mut self, name: &Arc<str>, by: &Arc<str>) {
        let (least, most) = self.set.suspicion(self.table.counts().0);
        let (least, most) = (self.health.stretch(least), self.health.stretch(most));
        if let Some(member) = self.table.members.get_mut(name) {
            let by = vec![by.clone()];
            member.suspicion = Some(Suspicion { began: self.now, least, most, by });
            self.suspects.insert(name.clone());
        }
    }

    pub(super) fn confirm(&mut self, name: &Arc<str>, by: &Arc<str>) {
        let Some(suspicion) = self.table.members.get_mut(name).and_then(|m| m.suspicion.as_mut()) else {
            return;
        };
        if suspicion.by.len() <= ENOUGH && !suspicion.by.contains(by) {
            suspicion.by.push(by.clone());
        }
    }

    pub(super) fn suspicions(&mut self) {
        let members = &self.table.members;
        self.suspects.retain(|name| members.get(name).is_some_and(|m| m.suspicion.is_some()));
        let over = |m: &&Member| m.suspicion.as_ref().is_some_and(|s| s.due(ENOUGH) <= self.now);
        let due: Vec<(Claim, bool)> = (self.suspects.iter())
            .filter_map(|name| members.get(name))
            .filter(over)
            .map(|m| {
                (m.claim(), m.suspicion.as_ref().is_some_and(|s| m.heard.is_some_and(|at| at > s.began)))
            })
            .collect();
        for (mut claim, heard) in due {
            // Danger: one that hears and is not heard would call all others gone. Who speaks to us lives.
            if heard {
                let now = self.now;
                let member = self.table.members.get_mut(&claim.name);
                member.and_then(|m| m.suspicion.as_mut()).into_iter().for_each(|s| s.began = now);
                continue;
            }
            claim.state = State::Failed;
            let own = self.own.name.clone();
            self.claim(&claim, Source::Probe, &own);
        }
    }
}
