//! The other process of this dispatcher: the one that this one follows, or that follows it.

use super::Node;
use super::listing::MOST_LISTED;
use crate::api::Class;
use crate::counters::count;
use crate::handover::{News, Word};
use std::collections::BTreeSet;
use tracing::{info, warn};

/// How often the bans are read while another process may change them.
const BANS_EVERY: u64 = 50_000;

impl Node {
    /// Looks after the process that this one follows, or that follows it.
    pub(super) fn beside(&mut self) {
        if self.handover.shared() && self.now >= self.bans_at {
            self.bans_at = self.now + BANS_EVERY;
            self.reread();
            self.stream_follow();
        }
        match self.handover.advance(self.now) {
            None => {}
            Some(News::Asked) => {
                info!(instance = self.config.name, "a successor runs");
                count(&self.counters.handovers_asked);
                self.hand_over();
                self.apply(&[]);
            }
            Some(News::Deserted) => {
                warn!(instance = self.config.name, "the successor has gone without taking over");
                self.reread();
                self.apply(&[]);
            }
            Some(News::Told(word)) => {
                self.take_over(*word);
                self.open();
                self.obey();
            }
            Some(News::Untold) => {
                warn!(instance = self.config.name, "the process before handed nothing over");
                count(&self.counters.handovers_missed);
                self.open();
                self.obey();
            }
            Some(News::Alone) => {
                info!(instance = self.config.name, "serves alone");
                self.reread();
                self.apply(&[]);
                self.open();
                self.stream_take_over();
                self.trigger();
                self.meet_late();
                if let Err(reason) = self.invite() {
                    warn!(instance = self.config.name, %reason, "stations can't connect here");
                }
                self.obey();
            }
        }
    }

    /// Takes over the bans that the other process has begun or ended.
    pub(super) fn reread(&mut self) {
        let changed = self.bans.reread();
        for id in &changed {
            self.listed.insert(id.clone());
            if self.bans.holds(id) {
                count(&self.counters.bans_begun);
            } else {
                self.back(id.clone());
            }
        }
        if !changed.is_empty() {
            self.relist();
        }
    }

    pub(super) fn hand_over(&mut self) {
        let mut word = Word::new(self.now, self.settings.classes.clone(), self.engine.learned());
        (word.serial, word.executors) = (self.resolver.serial(), self.executors.clone());
        word.listed = self.listed.iter().cloned().collect();
        word.attached = self.attached.iter().map(|(id, at)| (id.clone(), *at)).collect();
        match self.handover.tell(word) {
            Ok(()) => count(&self.counters.handovers_given),
            Err(e) => {
                count(&self.counters.handovers_missed);
                warn!(instance = self.config.name, reason = %e, "nothing could be handed over");
            }
        }
    }

    /// Goes on from what the old process knew.
    pub(super) fn take_over(&mut self, word: Word) {
        self.clock.catch_up(word.now);
        self.now = self.now.max(self.clock.read());
        let mut fresh = Vec::new();
        if self.engine.inherit(self.now, word.learned) {
            count(&self.counters.handovers_taken);
            let rules = vec![Class::default(); word.classes.len()];
            fresh = self.settings.follow((&word.classes, &rules), &BTreeSet::new());
        } else {
            count(&self.counters.handovers_missed);
        }
        self.listed.extend(word.listed.into_iter().take(MOST_LISTED));
        self.attached.extend(word.attached);
        if self.resolver.offer(self.now, "predecessor", word.serial, word.executors) {
            self.executors = self.resolver.in_use().to_vec();
        }
        self.known = true;
        self.apply(&fresh);
        self.relist();
    }
}
