//! Zones: what the machine is told of attempts and of others, and what the module is told of it.

use super::Node;
use crate::zones::{self, Order, View, ZoneError};

impl Node {
    /// Takes what became of attempts, does what is due.
    pub(super) fn zones_advance(&mut self) {
        let Some(zones) = &mut self.zones else { return };
        for trace in self.engine.traces.drain(..) {
            zones.seen(self.now, trace);
        }
        if zones.due() <= self.now {
            let share = |parts: usize| 1_000_000 / parts.max(1) as u64;
            let own = self.config.name.as_str().into();
            let expected = self.settings.module.balancers;
            let view = match &self.peers {
                Some(peers) => View {
                    own,
                    others: peers.up_with_zones(),
                    share: share(peers.division().map_or(expected, |d| d.parts)),
                    ..View::default()
                },
                None => View { own, share: share(expected), ..View::default() },
            };
            for (to, word) in zones.advance(self.now, view) {
                if let Some(peers) = &mut self.peers {
                    peers.tell_one(self.now, &to, zones::CHANNEL, word);
                }
            }
        }
        let (left, moves) = zones.counts();
        self.counters.zones_left.set(left);
        self.counters.zones_moves.set(moves);
    }

    /// An operator's word on a zone.
    pub(super) fn zone_said(&mut self, zone: &str, order: Option<(Order, u64)>) -> (u16, String) {
        let said = match &mut self.zones {
            Some(zones) => zones.say(self.now, zone, order),
            None => Err(ZoneError::Off),
        };
        match said {
            Ok(()) => (200, "done".to_string()),
            Err(why) => (404, why.to_string()),
        }
    }

    /// When the above next has something to do.
    pub(super) fn zones_due(&self) -> u64 {
        self.zones.as_ref().map_or(u64::MAX, zones::Zones::due)
    }
}
