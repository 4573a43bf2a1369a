//! Connects this dispatcher with its peers, the other dispatchers of the group.
//!
//! Given the membership's events and the pool's observations of executors; joins and leaves the group, exchanges
//! observations and state with peers, and divides work with them. At most one process of a dispatcher is a member.

use super::{Node, PEERS};
use crate::control::BudgetDivision;
use crate::counters::count;
use crate::discovery::ListOrigin;
use crate::handover::HandoverState;
use crate::peers::{InitialState, Peers};
use ochreward_membership::Serving;
use std::io;
use tracing::{info, warn};

/// How often to look for further peers to ask while the executor list is sought from them, in microseconds.
const PEER_SEARCH_INTERVAL_US: u64 = 100_000;

impl Node {
    /// Joins the group, unless another process of this dispatcher runs. Two processes of one dispatcher share one member
    /// name, so only one of them may send: the older one, until it has ended.
    pub(super) fn join_peers(&mut self) -> io::Result<()> {
        let may_join =
            !self.handover.other_process_runs() && self.peers.is_none() && self.shutdown_started.is_none();
        let Some(options) = self.peer_options.as_ref().filter(|_| may_join) else { return Ok(()) };
        let start = InitialState {
            name: &self.config.name,
            expected_instances: self.settings.module.dispatcher_count,
            configuration_version: self.counters.version_number.get(),
            unix_ms: self.clock.unix_ms(self.now),
            seed: self.config.seed ^ u64::from(std::process::id()),
        };
        let peers = Peers::new(&mut self.poll, PEERS, options, &start, self.now, self.counters.clone())?;
        self.peers = Some(peers);
        Ok(())
    }

    /// Joins the group after the other process has ended; a failure is logged, and the dispatcher serves without peers.
    pub(super) fn join_peers_after_handover(&mut self) {
        if let Err(reason) = self.join_peers() {
            warn!(instance = self.config.name, %reason, "could not join the group of dispatchers; serving without peers");
        }
    }

    /// Advances the membership, and applies what it reports to the parts.
    pub(super) fn advance_peers(&mut self) {
        self.exchange_executor_observations();
        let Some(peers) = &mut self.peers else { return };
        let serving = if self.shutdown_started.is_some() { Serving::Drains } else { Serving::Serves };
        let load = self.engine.open_requests() * 1_000 / self.settings.max_open.max(1);
        peers.announce(serving, self.counters.version_number.get(), load.min(1_000) as u16);
        peers.advance(self.now);
        if peers.changed_division(self.now).is_some() {
            self.divide_cold_budget();
        }
        self.send_state_to_peer();
        self.take_list_from_peer();
    }

    /// Passes this process's part of a cold worker's budget to the core: the dispatcher's part, or half of it while two
    /// processes of the dispatcher serve.
    pub(super) fn divide_cold_budget(&mut self) {
        let division = self.peers.as_ref().and_then(Peers::division);
        let of_group = division.map(|division| BudgetDivision {
            alive: division.alive,
            parts: division.divisor,
            part_index: division.part_index,
        });
        let count = self.settings.module.dispatcher_count;
        let by_settings =
            BudgetDivision { alive: count, parts: count, part_index: self.settings.module.own_index };
        let whole = of_group.unwrap_or(by_settings);
        let divided = if self.handover.other_process_runs() {
            whole.halved(self.handover.has_successor())
        } else {
            whole
        };
        if self.counters.cold_budget_parts.replace(divided.parts as u64) != divided.parts as u64 {
            let BudgetDivision { alive, parts, part_index } = divided;
            info!(alive, parts, part_index, "a cold worker's budget is divided anew");
        }
        self.engine.set_cold_budget_division(Some(divided));
    }

    /// Returns when the peers' timer is next due.
    pub(super) fn peers_deadline(&self) -> u64 {
        let search = if self.needs_list_from_peer() { self.now + PEER_SEARCH_INTERVAL_US } else { u64::MAX };
        self.peers.as_ref().map_or(u64::MAX, |p| p.due().min(search))
    }

    /// Shares what connections to executors have shown with the peers, and probes the executors that peers report as failed.
    fn exchange_executor_observations(&mut self) {
        let observations = std::mem::take(&mut self.pool.connection_failures);
        if let Some(overload) = &mut self.overload {
            observations
                .iter()
                .filter(|o| o.connect_refused)
                .for_each(|o| overload.connect_failed(self.now, &o.worker));
        }
        let Some(peers) = &mut self.peers else { return };
        for observation in observations {
            if observation.is_probe {
                self.engine.probe_failed(self.now, &observation.worker);
                peers.probe_refused(self.now, &observation.worker);
            } else {
                // Only first-hand observations are announced: the result of a probe that a peer's hint caused would be
                // passed around the group without end.
                peers.report_failure(self.now, &observation.worker);
            }
        }
        while let Some(worker) = peers.next_probe(self.now) {
            if self.pool.probe(&mut self.poll, self.now, &worker) {
                count(&self.counters.hints_looks);
            }
        }
    }

    /// Sends this dispatcher's state to a peer that is starting and has asked for it.
    fn send_state_to_peer(&mut self) {
        let Some(peers) = &mut self.peers else { return };
        if !peers.wants_snapshot(&self.poll, self.now) {
            return;
        }
        let mut state = HandoverState::new(self.now, self.settings.classes.clone(), self.engine.learned());
        if self.list_known {
            (state.serial, state.executors) = (self.resolver.serial(), self.executors.clone());
            state.list_age_us = self.now.saturating_sub(self.names_heard_at);
        }
        peers.send_snapshot(&self.poll, self.now, state.to_json());
    }

    /// Returns whether the list has to come from a peer: none is known, and the name service has not answered for too long.
    fn needs_list_from_peer(&self) -> bool {
        let silent = self.now >= self.started + Peers::name_service_silence_us()
            && self.counters.dns_answers.get() == 0;
        self.peers.is_some()
            && !self.list_known
            && silent
            && !self.handover.awaits_state()
            && self.shutdown_started.is_none()
    }

    /// Takes the executor list from a peer while the name service is silent. A peer's data is not trusted: its list is used
    /// only until the name service answers and does not advance that service's serial; what the peer has learned is taken
    /// only if its classes are the same, and is aged by the difference of the clocks.
    fn take_list_from_peer(&mut self) {
        if !self.needs_list_from_peer() {
            return;
        }
        let Some(peers) = &mut self.peers else { return };
        let Some((from, state)) = peers.poll_list_search(&mut self.poll, self.now) else { return };
        let clock_ahead = state.clock_us.saturating_sub(self.now);
        let same_classes = state.classes == self.settings.classes;
        let learned = same_classes.then(|| state.learned.from_peer(clock_ahead)).flatten();
        let learned = learned.is_some_and(|l| self.engine.restore(self.now, l));
        info!(
            instance = self.config.name,
            peer = &*from,
            serial = state.serial,
            age_ms = state.list_age_us / 1_000,
            executors = state.executors.len(),
            learned,
            "the name service is silent: goes on from a peer's list"
        );
        self.resolver.offer_list(self.now, ListOrigin::Peer, state.serial, state.executors);
        (self.executors, self.list_known) = (self.resolver.executors().to_vec(), true);
        self.apply_settings(&[]);
        self.publish_list();
    }

    /// Leaves the group, unless a successor process goes on under the same member name.
    pub(super) fn leave_peers(&mut self) {
        if let Some(peers) = &mut self.peers
            && !self.handover.has_successor()
        {
            peers.leave(self.now);
        }
    }
}
