//! Connects the zones' state machine with attempts, peers and operators.
//!
//! Given the core's traces of attempts and the peers that are up; counts the results, sends the messages that the state
//! machine emits, and passes operators' orders on zones to it.

use super::Node;
use crate::zones::{self, FleetView, Order, ZoneError};

impl Node {
    /// Feeds the outcomes of attempts to the zones' state machine, and runs its timer if due.
    pub(super) fn advance_zones(&mut self) {
        let Some(zones) = &mut self.zones else { return };
        for trace in self.engine.traces.drain(..) {
            zones.record_attempt(self.now, trace);
        }
        if zones.due() <= self.now {
            let share = |parts: usize| 1_000_000 / parts.max(1) as u64;
            let own = self.config.name.as_str().into();
            let expected = self.settings.module.dispatcher_count;
            let view = match &self.peers {
                Some(peers) => FleetView {
                    own_name: own,
                    others: peers.reachable_peers_with_zones(),
                    share: share(peers.division().map_or(expected, |d| d.divisor)),
                    ..FleetView::default()
                },
                None => FleetView { own_name: own, share: share(expected), ..FleetView::default() },
            };
            for (to, word) in zones.advance(self.now, view) {
                if let Some(peers) = &mut self.peers {
                    peers.send_note(self.now, &to, zones::CHANNEL, word);
                }
            }
        }
        let (left, moves) = zones.restricted_zones_and_step_changes();
        self.counters.zones_left.set(left);
        self.counters.zones_moves.set(moves);
    }

    /// Carries out an operator's order on a zone; returns the status and text of the answer.
    pub(super) fn order_zone(&mut self, zone: &str, order: Option<(Order, u64)>) -> (u16, String) {
        let said = match &mut self.zones {
            Some(zones) => zones.set_order(self.now, zone, order),
            None => Err(ZoneError::Disabled),
        };
        match said {
            Ok(()) => (200, "done".to_string()),
            Err(why) => (404, why.to_string()),
        }
    }

    /// Returns when the zones' timer is next due.
    pub(super) fn zones_deadline(&self) -> u64 {
        self.zones.as_ref().map_or(u64::MAX, zones::Zones::due)
    }
}
