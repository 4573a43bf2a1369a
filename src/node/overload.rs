//! Budgets and the level of the fleet: what the machines are told, and what the module is told of them.

use super::Node;
use crate::control::Budget;
use crate::overload::{self, Overload, View};
use crate::zones;

impl Node {
    /// Hands out what other dispatchers said, by channel.
    pub(super) fn notes(&mut self) {
        let notes = self.peers.as_mut().map(|p| std::mem::take(&mut p.notes));
        for (channel, from, bytes) in notes.into_iter().flatten() {
            match channel {
                overload::CHANNEL => {
                    let answer = self.overload.as_mut().and_then(|o| o.heard(self.now, &from, &bytes));
                    if let (Some(answer), Some(peers)) = (answer, &mut self.peers) {
                        peers.tell_one(self.now, &from, overload::CHANNEL, answer);
                    }
                }
                zones::CHANNEL => self.zones.iter_mut().for_each(|h| h.heard(self.now, &from, &bytes)),
                _ => {}
            }
        }
    }

    /// Tells the module what it may spend, and what may go to each zone.
    pub(super) fn budget_advance(&mut self) {
        if self.overload.is_none() && self.zones.is_none() {
            return;
        }
        let last = self.engine.budget(Budget::default());
        let mut next = self.overload.as_mut().map(|o| o.budget(self.now, &last)).unwrap_or_default();
        if let Some(zones) = &mut self.zones {
            next.zones = zones.gates(self.now, &last.zones);
        }
        self.engine.budget(next);
        self.overload_count();
    }

    /// Does what is due.
    pub(super) fn overload_advance(&mut self) {
        let Some(overload) = &mut self.overload else { return };
        for (worker, kind, took) in self.engine.answers.drain(..) {
            overload.answered(self.now, &worker, kind, took);
        }
        if overload.due(self.now) <= self.now {
            // Two processes of one dispatcher share nothing here: the one that others know has its part, the other none.
            let alone = if self.handover.shared() || self.company.is_some() {
                0
            } else {
                self.settings.module.balancers
            };
            let own = self.config.name.as_str().into();
            let view = match &self.peers {
                Some(peers) => {
                    View { own, parts: peers.division().map_or(0, |d| d.parts), others: peers.up() }
                }
                None => View { own, parts: alone, others: Vec::new() },
            };
            for (to, word) in overload.advance(self.now, &view) {
                if let Some(peers) = &mut self.peers {
                    peers.tell_one(self.now, &to, overload::CHANNEL, word);
                }
            }
        }
    }

    fn overload_count(&mut self) {
        let Some(overload) = &self.overload else { return };
        let (stats, c) = (overload.stats(), &self.counters);
        c.overload_level.set(u64::from(overload.level()));
        c.overload_shed.set(stats.shed);
        c.resends_wanted.set(stats.wanted);
        c.resends_made.set(stats.resent);
        let (open, ramps) = overload.circuits();
        c.circuits_open.set(open as u64);
        c.circuits_ramping.set(ramps as u64);
        c.trials_made.set(stats.trials);
        c.leases_lent.set(stats.lent);
        c.leases_borrowed.set(stats.borrowed);
    }

    /// When the above next has something to do.
    pub(super) fn overload_due(&self) -> u64 {
        self.overload.as_ref().map_or(u64::MAX, |o: &Overload| o.due(self.now))
    }
}
