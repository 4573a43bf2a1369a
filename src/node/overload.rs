//! Connects overload control (budgets, circuit breakers, the fleet's shedding level) with peers and the decision module.
//!
//! Given the peers' messages and the core's record of answers; gives the module its budget every turn, and peers the
//! messages that the overload state machine emits.

use super::Node;
use crate::control::Budget;
use crate::overload::{self, GroupView, Overload};
use crate::zones;

impl Node {
    /// Delivers the messages of other dispatchers to the part that their channel belongs to.
    pub(super) fn deliver_peer_messages(&mut self) {
        let notes = self.peers.as_mut().map(|p| std::mem::take(&mut p.received_notes));
        for (channel, from, bytes) in notes.into_iter().flatten() {
            match channel {
                overload::CHANNEL => {
                    let answer =
                        self.overload.as_mut().and_then(|o| o.handle_message(self.now, &from, &bytes));
                    if let (Some(answer), Some(peers)) = (answer, &mut self.peers) {
                        peers.send_note(self.now, &from, overload::CHANNEL, answer);
                    }
                }
                zones::CHANNEL => {
                    self.zones.iter_mut().for_each(|z| z.handle_report(self.now, &from, &bytes))
                }
                _ => {}
            }
        }
    }

    /// Gives the decision module its budget and the share of traffic that each zone may get.
    pub(super) fn update_budget(&mut self) {
        if self.overload.is_none() && self.zones.is_none() {
            return;
        }
        let previous = self.engine.replace_budget(Budget::default());
        let mut next = self.overload.as_mut().map(|o| o.budget(self.now, &previous)).unwrap_or_default();
        if let Some(zones) = &mut self.zones {
            next.zone_gates = zones.request_gates(self.now, &previous.zone_gates);
        }
        self.engine.replace_budget(next);
        self.export_overload_counters();
    }

    /// Feeds the answers of executors to overload control, and runs its timer if due.
    pub(super) fn advance_overload(&mut self) {
        let Some(overload) = &mut self.overload else { return };
        for (worker, kind, took) in self.engine.answers.drain(..) {
            overload.record_answer(self.now, &worker, kind, took);
        }
        if overload.due(self.now) <= self.now {
            // Two processes of one dispatcher don't split the dispatcher's part of a budget: the process that is the group's
            // member has all of it, the other none.
            let balancers = if self.handover.other_process_runs() || self.peer_options.is_some() {
                0
            } else {
                self.settings.module.dispatcher_count
            };
            let own = self.config.name.as_str().into();
            let view = match &self.peers {
                Some(peers) => GroupView {
                    own,
                    parts: peers.division().map_or(0, |d| d.divisor),
                    peers: peers.reachable_peers(),
                },
                None => GroupView { own, parts: balancers, peers: Vec::new() },
            };
            for (to, message) in overload.advance(self.now, &view) {
                if let Some(peers) = &mut self.peers {
                    peers.send_note(self.now, &to, overload::CHANNEL, message);
                }
            }
        }
    }

    /// Copies the state of overload control to the counters.
    fn export_overload_counters(&mut self) {
        let Some(overload) = &self.overload else { return };
        let (stats, counters) = (overload.stats(), &self.counters);
        counters.overload_level.set(u64::from(overload.level()));
        counters.overload_shed.set(stats.shed);
        counters.resends_wanted.set(stats.resends_wanted);
        counters.resends_made.set(stats.resends_made);
        let (open, ramping) = overload.circuit_counts();
        counters.circuits_open.set(open as u64);
        counters.circuits_ramping.set(ramping as u64);
        counters.trials_made.set(stats.trials);
        counters.leases_lent.set(stats.lent);
        counters.leases_borrowed.set(stats.borrowed);
    }

    /// Returns when overload control's timer is next due.
    pub(super) fn overload_deadline(&self) -> u64 {
        self.overload.as_ref().map_or(u64::MAX, |o: &Overload| o.due(self.now))
    }
}
