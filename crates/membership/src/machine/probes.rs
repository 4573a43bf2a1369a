//! Probes of other members (SWIM 4.1), through others where there is no answer (SWIM 3.1), and those made for others.

use super::{LOSSY, MOST_SOUGHT, MOST_STRANGERS, Membership, Probe, Sought};
use crate::table::Source;
use crate::wire::{Body, State};
use std::net::SocketAddr;
use std::sync::Arc;

impl Membership {
    pub(super) fn probes(&mut self) {
        if let Some(probe) = self.probe.take_if(|p| p.until <= self.now) {
            self.unanswered(&probe);
        }
        if let Some(probe) = self.probe.as_mut().filter(|p| p.again.min(p.direct_until) <= self.now) {
            let asks = probe.direct_until <= self.now;
            if asks {
                // Through others drawn anew each time.
                probe.direct_until = probe.until;
                probe.through_others = true;
            }
            let again = probe.again <= self.now;
            if again {
                probe.again = self.now + self.set.probe_timeout;
                probe.repeated = true;
            }
            let (number, target, through) = (probe.number, probe.target.clone(), probe.through_others);
            if asks || (again && through) {
                self.ask_others(number, &target);
            }
            if again && let Some(address) = self.table.members.get(&target).map(|m| m.address) {
                self.send(address, &Body::Ping { number, target }, None);
            }
        }
        if self.probe.is_none() && self.now >= self.next_probe {
            // Each its own time: members that begin together must not probe together.
            let every = self.set.probe_every;
            self.next_probe = self.now + every - every / 10 + self.below(every / 5 + 1);
            self.begin_probe();
        }
        let old = self.now.saturating_sub(self.set.probe_every);
        self.sought.retain(|_, s| s.at >= old);
    }

    pub(super) fn begin_probe(&mut self) {
        if self.yielded.is_some() {
            return;
        }
        let target = loop {
            let Some(name) = self.round.pop() else {
                // Danger: a peer that claims thousands would keep us from probing real ones. Those that never spoke come
                // a few in a round.
                let up = |heard: bool| {
                    let of = self.members().filter(move |m| m.is_up() && m.heard.is_some() == heard);
                    of.map(|m| m.name.clone()).collect::<Vec<Arc<str>>>()
                };
                let (mut round, mut strangers) = (up(true), up(false));
                self.shuffle(&mut strangers);
                round.extend(strangers.into_iter().take(MOST_STRANGERS));
                if round.is_empty() {
                    return;
                }
                self.shuffle(&mut round);
                self.round = round;
                continue;
            };
            if let Some(member) = self.table.members.get(&name).filter(|m| m.is_up()) {
                break member.claim();
            }
        };
        let number = self.number();
        let direct = self.health.stretch(self.set.probe_timeout);
        let mut whole = self.health.stretch(self.set.probe_every).max(direct * 2);
        // Where packets get lost as a rule, a probe takes twice as long: accusations that are denied afterwards cost each
        // member packets by the size of the group.
        if self.repeats.count_ones() >= LOSSY {
            whole *= 2;
        }
        self.probe = Some(Probe {
            number,
            target: target.name.clone(),
            sent: self.now,
            direct_until: self.now + direct,
            through_others: false,
            again: self.now + self.set.probe_timeout,
            repeated: false,
            until: self.now + whole,
        });
        self.stats.probes += 1;
        // Lifeguard's buddy system: a suspect hears of it first, and can deny it.
        let first = Some(target.clone()).filter(|c| c.state == State::Suspect);
        self.send(target.address, &Body::Ping { number, target: target.name }, first);
    }

    pub(super) fn ask_others(&mut self, number: u64, target: &Arc<str>) {
        let Some(address) = self.table.members.get(target).map(|m| m.address) else { return };
        let mut others: Vec<SocketAddr> = self
            .members()
            .filter(|m| m.state == State::Alive && m.name != *target)
            .map(|m| m.address)
            .collect();
        self.shuffle(&mut others);
        for other in others.into_iter().take(self.set.indirect) {
            self.send(other, &Body::Seek { number, target: target.clone(), address }, None);
        }
    }

    pub(super) fn unanswered(&mut self, probe: &Probe) {
        self.stats.unanswered += 1;
        self.repeats = self.repeats << 1 | 1;
        self.recent = self.recent << 1 | 1;
        self.health.ill();
        let Some(member) = self.table.members.get(&probe.target).filter(|m| m.state == State::Alive) else {
            return;
        };
        if member.heard.is_some_and(|at| at >= probe.sent) {
            return;
        }
        let mut claim = member.claim();
        claim.state = State::Suspect;
        self.stats.accusations += 1;
        let own = self.own.name.clone();
        self.claim(&claim, Source::Probe, &own);
    }

    pub(super) fn answer(&mut self, number: u64, sender: &Arc<str>) {
        if let Some(sought) = self.sought.remove(&number) {
            return self.send(sought.asker, &Body::Ack { number: sought.number }, None);
        }
        let Some(probe) = self.probe.take_if(|p| p.number == number) else { return };
        self.health.well();
        self.repeats = self.repeats << 1 | u16::from(probe.repeated);
        self.recent <<= 1;
        if *sender == probe.target
            && let Some(member) = self.table.members.get_mut(sender)
        {
            member.answered = Some(self.now);
        }
        self.met();
    }

    /// Something of ours was heard and answered.
    pub(super) fn met(&mut self) {
        self.answered = Some(self.now);
        self.joined.get_or_insert(self.now);
    }

    pub(super) fn seek(&mut self, number: u64, asker: SocketAddr, target: Arc<str>) {
        // Danger: a peer could have this member send to anyone. Only those that the table has are asked, where it has them.
        let known = self.table.members.get(&target).filter(|m| m.state != State::Left).map(|m| m.address);
        let Some(known) = known.filter(|_| self.sought.len() < MOST_SOUGHT) else { return };
        let own = self.number();
        self.sought.insert(own, Sought { number, asker, at: self.now });
        self.send(known, &Body::Ping { number: own, target }, None);
    }
}
