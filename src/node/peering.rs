//! The other dispatchers: when they are spoken to, and what the parts are told of them.

use super::{Node, PEERS};
use crate::counters::count;
use crate::handover::Word;
use crate::peers::{Peers, Start};
use ochreward_membership::Serving;
use std::io;
use tracing::{info, warn};

/// While peers are asked for the list, this often it is looked whether there are more to ask.
const SEEK_EVERY: u64 = 100_000;

impl Node {
    /// Begins to speak to other dispatchers. Danger: two processes of one dispatcher are one member; the one that others
    /// know speaks until it has gone.
    pub(super) fn meet(&mut self) -> io::Result<()> {
        let alone = !self.handover.shared() && self.peers.is_none() && self.draining.is_none();
        let Some(options) = self.company.as_ref().filter(|_| alone) else { return Ok(()) };
        let start = Start {
            name: &self.config.name,
            expected: self.settings.module.balancers,
            configuration: self.counters.version_number.get(),
            unix_ms: self.clock.unix_ms(self.now),
            seed: self.config.seed ^ u64::from(std::process::id()),
        };
        let peers = Peers::new(&mut self.poll, PEERS, options, &start, self.now, self.counters.clone())?;
        self.peers = Some(peers);
        Ok(())
    }

    /// The same once the other process has gone; without peers this one serves all the same.
    pub(super) fn meet_late(&mut self) {
        if let Err(reason) = self.meet() {
            warn!(instance = self.config.name, %reason, "other dispatchers can't be reached");
        }
    }

    pub(super) fn peers_advance(&mut self) {
        self.sightings();
        let Some(peers) = &mut self.peers else { return };
        let serving = if self.draining.is_some() { Serving::Drains } else { Serving::Serves };
        let load = self.engine.owed() * 1_000 / self.settings.max_open.max(1);
        peers.tell(serving, self.counters.version_number.get(), load.min(1_000) as u16);
        peers.advance(self.now);
        if let Some(division) = peers.news(self.now) {
            self.engine.divide(Some((division.alive, division.parts, division.place)));
        }
        self.give_word();
        self.seek_list();
    }

    /// When peers next have something to do.
    pub(super) fn peers_due(&self) -> u64 {
        let seek = if self.seeks_list() { self.now + SEEK_EVERY } else { u64::MAX };
        self.peers.as_ref().map_or(u64::MAX, |p| p.due().min(seek))
    }

    /// What connections to executors tell: the others hear of it, and what they tell is looked at.
    fn sightings(&mut self) {
        let seen = std::mem::take(&mut self.pool.sightings);
        if let Some(overload) = &mut self.overload {
            seen.iter().filter(|s| s.refused).for_each(|s| overload.refused(self.now, &s.worker));
        }
        let Some(peers) = &mut self.peers else { return };
        for sighting in seen {
            if sighting.looked {
                self.engine.unreached(self.now, &sighting.worker);
                peers.refused(self.now, &sighting.worker);
            } else {
                // Danger: what a look finds is what others have told. Told again it would go round without end.
                peers.sighted(self.now, &sighting.worker);
            }
        }
        while let Some(worker) = peers.look(self.now) {
            if self.pool.look(&mut self.poll, self.now, &worker) {
                count(&self.counters.hints_looks);
            }
        }
    }

    /// Tells a peer that starts what this dispatcher knows.
    fn give_word(&mut self) {
        let Some(peers) = &mut self.peers else { return };
        if !peers.wants_word(&self.poll, self.now) {
            return;
        }
        let mut word = Word::new(self.now, self.settings.classes.clone(), self.engine.learned());
        if self.known {
            (word.serial, word.executors) = (self.resolver.serial(), self.executors.clone());
            word.age = self.now.saturating_sub(self.heard_names);
        }
        peers.give_word(&self.poll, self.now, word.written());
    }

    /// No list is known, and the name service is silent.
    fn seeks_list(&self) -> bool {
        let silent = self.now >= self.started + Peers::patience() && self.counters.dns_answers.get() == 0;
        self.peers.is_some() && !self.known && silent && !self.handover.waits() && self.draining.is_none()
    }

    /// Takes the list from a peer. Danger: a peer may say anything. Its list stands in until the name service speaks, whose
    /// serials it does not touch; what it learned is taken where it fits these settings, and by its age.
    fn seek_list(&mut self) {
        if !self.seeks_list() {
            return;
        }
        let Some(peers) = &mut self.peers else { return };
        let Some((from, word)) = peers.seek_list(&mut self.poll, self.now) else { return };
        let behind = word.now.saturating_sub(self.now);
        let fits = word.classes == self.settings.classes;
        let learned = fits.then(|| word.learned.of_peer(behind)).flatten();
        let learned = learned.is_some_and(|l| self.engine.inherit(self.now, l));
        info!(
            instance = self.config.name,
            peer = &*from,
            serial = word.serial,
            age_ms = word.age / 1_000,
            executors = word.executors.len(),
            learned,
            "the name service is silent: goes on from a peer's list"
        );
        self.resolver.offer(self.now, "peer", word.serial, word.executors);
        (self.executors, self.known) = (self.resolver.in_use().to_vec(), true);
        self.apply(&[]);
        self.relist();
    }

    /// Says farewell, unless another process of this dispatcher goes on under its name.
    pub(super) fn part(&mut self) {
        if let Some(peers) = &mut self.peers
            && !self.handover.followed()
        {
            peers.leave(self.now);
        }
    }
}
