//! Handover between two processes of one dispatcher: the predecessor and its successor.
//!
//! Given the events of [`Handover`](crate::handover::Handover), passes state to a successor, takes the predecessor's over,
//! and keeps bans and the configuration version in step while both run. At most two processes run at a time.

use super::Node;
use super::listing::MAX_LISTED_IDS;
use crate::api::Class;
use crate::counters::count;
use crate::discovery::ListOrigin;
use crate::handover::{HandoverEvent, HandoverState};
use std::collections::BTreeSet;
use tracing::{info, warn};

/// How often the bans are reread while another process may change them, in microseconds.
const BANS_READ_INTERVAL_US: u64 = 50_000;

impl Node {
    /// Advances the handover, and takes over what the other process has changed.
    pub(super) fn advance_handover(&mut self) {
        if self.handover.other_process_runs() && self.now >= self.next_bans_read {
            self.next_bans_read = self.now + BANS_READ_INTERVAL_US;
            self.reload_bans();
            self.follow_other_process_version();
        }
        match self.handover.advance(self.now) {
            None => {}
            Some(HandoverEvent::SuccessorStarted) => {
                info!(instance = self.config.name, "a successor process has started");
                count(&self.counters.handovers_asked);
                self.send_state_to_successor();
                self.apply_settings(&[]);
            }
            Some(HandoverEvent::SuccessorGone) => {
                warn!(instance = self.config.name, "the successor process ended without taking over");
                self.reload_bans();
                self.apply_settings(&[]);
                // A version that came meanwhile may have changed them.
                self.connect_brokers();
            }
            Some(HandoverEvent::StateReceived(state)) => {
                self.adopt_predecessor_state(*state);
                self.update_accepting();
                self.answer_operators();
            }
            Some(HandoverEvent::StateMissed) => {
                warn!(instance = self.config.name, "the predecessor handed no state over in time");
                count(&self.counters.handovers_missed);
                self.update_accepting();
                self.answer_operators();
            }
            Some(HandoverEvent::PredecessorGone) => {
                info!(instance = self.config.name, "now the only process of this dispatcher");
                self.reload_bans();
                self.apply_settings(&[]);
                self.update_accepting();
                self.take_over_stream();
                self.connect_brokers();
                self.join_peers_after_handover();
                if let Err(reason) = self.open_station_listener() {
                    warn!(instance = self.config.name, %reason, "the listener for stations could not be opened");
                }
                self.answer_operators();
            }
        }
    }

    /// Takes over the bans that the other process has made or lifted.
    fn reload_bans(&mut self) {
        let changed = self.bans.reload();
        for id in &changed {
            self.ever_listed.insert(id.clone());
            if self.bans.contains(id) {
                count(&self.counters.bans_begun);
            } else {
                self.record_ban_lifted(id.clone());
            }
        }
        if !changed.is_empty() {
            self.publish_list();
        }
    }

    /// Writes this process's state for the successor.
    fn send_state_to_successor(&mut self) {
        let mut state = HandoverState::new(self.now, self.settings.classes.clone(), self.engine.learned());
        (state.serial, state.executors) = (self.resolver.serial(), self.executors.clone());
        state.ever_listed = self.ever_listed.iter().cloned().collect();
        state.worker_starts = self.worker_starts.to_vec();
        state.ban_lifted_at = self.ban_lifted_at.iter().map(|(id, at)| (id.clone(), *at)).collect();
        match self.handover.write_state(state) {
            Ok(()) => count(&self.counters.handovers_given),
            Err(e) => {
                count(&self.counters.handovers_missed);
                warn!(instance = self.config.name, reason = %e, "the state could not be handed over");
            }
        }
    }

    /// Continues from the predecessor's state.
    fn adopt_predecessor_state(&mut self, state: HandoverState) {
        self.clock.advance_to(state.clock_us);
        self.now = self.now.max(self.clock.read());
        let mut new_places = Vec::new();
        if self.engine.restore(self.now, state.learned) {
            count(&self.counters.handovers_taken);
            let default_classes = vec![Class::default(); state.classes.len()];
            new_places = self.settings.follow((&state.classes, &default_classes), &BTreeSet::new());
        } else {
            count(&self.counters.handovers_missed);
        }
        self.ever_listed.extend(state.ever_listed.into_iter().take(MAX_LISTED_IDS));
        self.ban_lifted_at.extend(state.ban_lifted_at);
        self.worker_starts.restore(state.worker_starts);
        if self.resolver.offer_list(self.now, ListOrigin::Predecessor, state.serial, state.executors) {
            self.executors = self.resolver.executors().to_vec();
        }
        self.list_known = true;
        self.apply_settings(&new_places);
        self.publish_list();
    }
}
