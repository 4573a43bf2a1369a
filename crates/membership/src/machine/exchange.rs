//! Tables compared with other members, so that cuts heal; and what is forgotten or counted of a table.

use super::{MOST_PAGES, MOST_STRANGERS, Membership};
use crate::table::{Compares, Member};
use crate::wire::{self, Body, Claim, MARKS, State};
use std::net::SocketAddr;
use std::sync::Arc;

impl Membership {
    /// Compares tables with one that is up, and with one that seems gone or a seed: so cuts heal.
    pub(super) fn sync(&mut self) {
        if self.yielded.is_some() {
            return;
        }
        let heard = |m: &&Member| m.heard.is_some();
        let mut up: Vec<SocketAddr> =
            self.members().filter(|m| m.is_up()).filter(heard).map(|m| m.address).collect();
        if up.is_empty() {
            up = self.up_addresses();
        }
        let known: Vec<SocketAddr> = self.members().map(|m| m.address).collect();
        let failed = |spoke: bool| {
            let of = self.members().filter(move |m| m.state == State::Failed && m.heard.is_some() == spoke);
            of.map(|m| m.address).collect::<Vec<SocketAddr>>()
        };
        // Of those that never spoke one is tried now and then, as they may be made up.
        let (mut lost, strangers) = (failed(true), failed(false));
        if lost.is_empty() || self.page.is_multiple_of(4) {
            lost.extend(strangers.into_iter().take(MOST_STRANGERS));
        }
        lost.extend(self.seeds.iter().filter(|s| !known.contains(s)));
        for mut list in [up, lost] {
            self.shuffle(&mut list);
            // Everyone that seems gone is tried within some rounds, however many there are.
            let most = if self.joined.is_some() { 1 } else { 3 };
            for to in list.into_iter().take(most) {
                self.send(to, &Body::Hello { answer: false }, None);
            }
        }
    }

    /// The digests of the parts of this member's view.
    pub(super) fn marks(&self) -> [u32; MARKS] {
        let mut marks = self.table.marks();
        marks[wire::mark_of(&self.own.name)] ^= wire::digest(&self.own) as u32;
        marks
    }

    /// Finds out with another in which parts the tables differ; or sends all, to one that does not know how.
    pub(super) fn differ(&mut self, to: SocketAddr, name: &Arc<str>) {
        let Some(member) = self.table.members.get_mut(name) else { return };
        let unanswered = member.compares == Compares::Asked;
        if member.compares == Compares::Untold {
            member.compares = Compares::Asked;
        }
        let marks = self.marks().to_vec();
        self.send(to, &Body::Differ { marks, answer: false }, None);
        if unanswered {
            self.pages(to, |_| true);
        }
    }

    /// Sends all such claims, or as many as an exchange may have.
    pub(super) fn pages(&mut self, to: SocketAddr, which: impl Fn(&str) -> bool) {
        let listed = self.members().filter(|m| m.state != State::Left && which(&m.name));
        let mut all: Vec<Claim> = listed.map(Member::claim).collect();
        if all.is_empty() {
            return;
        }
        let from = self.page % all.len();
        all.rotate_left(from);
        let mut rest = &all[..];
        for _ in 0..MOST_PAGES {
            if rest.is_empty() {
                break;
            }
            let count = self.post(to, &Body::Claims, rest);
            if count == 0 {
                break;
            }
            rest = &rest[count..];
        }
        self.page = if rest.is_empty() { 0 } else { from + all.len() - rest.len() };
    }

    /// Forgets those that left long ago. One that fell silent is kept: it may come back, and holds its part.
    pub(super) fn forget(&mut self) {
        let old = |m: &&Member| m.state == State::Left && m.since + self.set.forget <= self.now;
        let gone: Vec<Arc<str>> = self.members().filter(old).map(|m| m.name.clone()).collect();
        gone.iter().for_each(|name| self.table.forget(name));
    }

    /// Members that hear each other, this one among them, and silent ones, as they count for a share. Danger: a peer may
    /// claim thousands. Those that never spoke to this member count only as far as the platform expects so many.
    pub(super) fn counted(&mut self) -> (usize, usize) {
        let changes = self.table.changes;
        if let Some((_, counts)) = self.counted.filter(|(at, _)| *at == changes) {
            return counts;
        }
        let (mut up, mut silent, mut told_up, mut told_silent) = (1, 0, 0, 0);
        for member in self.members() {
            match (member.state, member.heard.is_some()) {
                (State::Left, _) => {}
                (State::Failed, true) => silent += 1,
                (State::Failed, false) => told_silent += 1,
                (_, true) => up += 1,
                (_, false) => told_up += 1,
            }
        }
        let room = self.set.expected.saturating_sub(up + silent);
        let up_too = told_up.min(room);
        let counts = (up + up_too, silent + told_silent.min(room - up_too));
        self.counted = Some((changes, counts));
        counts
    }
}
