//! Failure detection: direct probes in rounds (SWIM 4.3), indirect probes through other members where no ack arrives
//! (SWIM 3.1), and probes relayed for others. One probe is open at a time; its deadlines grow with the local health
//! score (Lifeguard).

use super::{LOSSY_RETRIES, MAX_RELAYED_PROBES, MAX_UNVERIFIED_PER_ROUND, Membership, Probe, RelayedProbe};
use crate::table::Source;
use crate::wire::{Body, State};
use std::net::SocketAddr;
use std::sync::Arc;

impl Membership {
    /// Fails, retries or escalates the open probe as its deadlines pass, and starts the next one when it is due.
    pub(super) fn run_probes(&mut self) {
        if let Some(probe) = self.probe.take_if(|p| p.deadline <= self.now) {
            self.fail_probe(&probe);
        }
        if let Some(probe) = self.probe.as_mut().filter(|p| p.retry_at.min(p.direct_deadline) <= self.now) {
            let escalates = probe.direct_deadline <= self.now;
            if escalates {
                // Each retry after this draws its relays anew.
                probe.direct_deadline = probe.deadline;
                probe.indirect = true;
            }
            let retries = probe.retry_at <= self.now;
            if retries {
                probe.retry_at = self.now + self.settings.probe_timeout;
                probe.retried = true;
            }
            let (number, target, indirect) = (probe.number, probe.target.clone(), probe.indirect);
            if escalates || (retries && indirect) {
                self.send_indirect_probes(number, &target);
            }
            if retries && let Some(address) = self.table.members.get(&target).map(|m| m.address) {
                self.send(address, &Body::Ping { number, target }, None);
            }
        }
        if self.probe.is_none() && self.now >= self.next_probe_at {
            // The period has a jitter of ±10 %, so that members started together do not probe in step.
            let period = self.settings.probe_period;
            self.next_probe_at = self.now + period - period / 10 + self.random_below(period / 5 + 1);
            self.start_probe();
        }
        let oldest = self.now.saturating_sub(self.settings.probe_period);
        self.relayed_probes.retain(|_, relayed| relayed.started_at >= oldest);
    }

    /// Probes the next member of the round, starting a new round where the last is over.
    pub(super) fn start_probe(&mut self) {
        if self.yielded_at.is_some() {
            return;
        }
        let target = loop {
            let Some(name) = self.probe_round.pop() else {
                // A malicious peer that claims thousands of members would keep this one from probing real ones, so a
                // round includes only a few members that never sent a packet.
                let up = |heard: bool| {
                    let selected =
                        self.members().filter(move |m| m.is_up() && m.last_heard.is_some() == heard);
                    selected.map(|m| m.name.clone()).collect::<Vec<Arc<str>>>()
                };
                let (mut round, mut unverified) = (up(true), up(false));
                self.shuffle(&mut unverified);
                round.extend(unverified.into_iter().take(MAX_UNVERIFIED_PER_ROUND));
                if round.is_empty() {
                    return;
                }
                self.shuffle(&mut round);
                self.probe_round = round;
                continue;
            };
            if let Some(member) = self.table.members.get(&name).filter(|m| m.is_up()) {
                break member.claim();
            }
        };
        let number = self.next_probe_number();
        let direct_timeout = self.health.scale(self.settings.probe_timeout);
        let mut timeout = self.health.scale(self.settings.probe_period).max(direct_timeout * 2);
        // On a lossy network a probe takes twice as long: each false suspicion and its refutation cost every member
        // packets in proportion to the size of the group.
        if self.retry_history.count_ones() >= LOSSY_RETRIES {
            timeout *= 2;
        }
        self.probe = Some(Probe {
            number,
            target: target.name.clone(),
            sent_at: self.now,
            direct_deadline: self.now + direct_timeout,
            indirect: false,
            retry_at: self.now + self.settings.probe_timeout,
            retried: false,
            deadline: self.now + timeout,
        });
        self.stats.probes += 1;
        // Lifeguard's buddy system: the ping to a suspect carries the suspicion first, so that it can refute it.
        let first = Some(target.clone()).filter(|c| c.state == State::Suspect);
        self.send(target.address, &Body::Ping { number, target: target.name }, first);
    }

    /// Asks random live members to probe the target.
    pub(super) fn send_indirect_probes(&mut self, number: u64, target: &Arc<str>) {
        let Some(address) = self.table.members.get(target).map(|m| m.address) else { return };
        let mut relays: Vec<SocketAddr> = self
            .members()
            .filter(|m| m.state == State::Alive && m.name != *target)
            .map(|m| m.address)
            .collect();
        self.shuffle(&mut relays);
        for relay in relays.into_iter().take(self.settings.indirect_probes) {
            self.send(relay, &Body::PingRequest { number, target: target.clone(), address }, None);
        }
    }

    /// Records a probe without an ack and suspects its target, unless a packet from it has arrived since.
    pub(super) fn fail_probe(&mut self, probe: &Probe) {
        self.stats.probes_failed += 1;
        self.retry_history = self.retry_history << 1 | 1;
        self.failure_history = self.failure_history << 1 | 1;
        self.health.degrade();
        let Some(member) = self.table.members.get(&probe.target).filter(|m| m.state == State::Alive) else {
            return;
        };
        if member.last_heard.is_some_and(|at| at >= probe.sent_at) {
            return;
        }
        let mut claim = member.claim();
        claim.state = State::Suspect;
        self.stats.suspicions_started += 1;
        let own = self.own.name.clone();
        self.apply_claim(&claim, Source::Probe, &own);
    }

    /// Handles an ack: forwards it to the requester of a relayed probe, or completes the open probe.
    pub(super) fn handle_ack(&mut self, number: u64, sender: &Arc<str>) {
        if let Some(relayed) = self.relayed_probes.remove(&number) {
            return self.send(relayed.requester, &Body::Ack { number: relayed.number }, None);
        }
        let Some(probe) = self.probe.take_if(|p| p.number == number) else { return };
        self.health.improve();
        self.retry_history = self.retry_history << 1 | u16::from(probe.retried);
        self.failure_history <<= 1;
        if *sender == probe.target
            && let Some(member) = self.table.members.get_mut(sender)
        {
            member.last_answered = Some(self.now);
        }
        self.record_reply();
    }

    /// Records that another member has received and answered a packet of this one.
    pub(super) fn record_reply(&mut self) {
        self.last_answered_at = Some(self.now);
        self.joined_at.get_or_insert(self.now);
    }

    /// Probes a member for `requester`. The request's address is ignored: a malicious peer could otherwise make this
    /// member send packets to any host. Only members of the table are probed, at the address in the table.
    pub(super) fn relay_probe(&mut self, number: u64, requester: SocketAddr, target: Arc<str>) {
        let known = self.table.members.get(&target).filter(|m| m.state != State::Left).map(|m| m.address);
        let Some(known) = known.filter(|_| self.relayed_probes.len() < MAX_RELAYED_PROBES) else { return };
        let own_number = self.next_probe_number();
        self.relayed_probes.insert(own_number, RelayedProbe { number, requester, started_at: self.now });
        self.send(known, &Body::Ping { number: own_number, target }, None);
    }
}
