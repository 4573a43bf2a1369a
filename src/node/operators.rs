//! What operators ask for at the door, and executors that they take out of use.

use super::Node;
use crate::api::WorkerId;
use crate::counters::count;
use crate::door::Order;
use crate::net::{Ready, Token};
use tracing::info;

/// A successor to which nobody told the list serves by that of its configuration after this long.
const LIST_PATIENCE: u64 = 3_000_000;

impl Node {
    /// Whether this process serves, knows whom to send to, and nothing is still to be handed over to it.
    pub(super) fn is_ready(&self) -> bool {
        let known = self.known || self.now >= self.started + LIST_PATIENCE;
        known && !self.handover.waits() && !self.unconfigured && self.draining.is_none()
    }

    pub(super) fn operators(&mut self, ready: Ready) {
        if let Some(door) = &mut self.door {
            door.ready(&mut self.poll, self.now, ready);
            self.obey();
        }
    }

    /// Does what operators asked for.
    pub(super) fn obey(&mut self) {
        let Some(door) = &mut self.door else { return };
        // What the old process has seen listed is not known yet.
        let waits = self.handover.waits();
        let (later, orders) = std::mem::take(&mut door.orders).into_iter().partition(|(_, o)| {
            waits && !matches!(o, Order::Ready | Order::Peers | Order::Budgets | Order::Zones)
        });
        door.orders = later;
        let orders: Vec<(Token, Order)> = orders;
        for (token, order) in orders {
            let (status, text) = match order {
                Order::Ready if self.is_ready() => (200, "ready".to_string()),
                Order::Ready => (503, "not ready".to_string()),
                Order::Peers => match &self.peers {
                    Some(peers) => (200, crate::peers::report(peers, self.now).to_string()),
                    None => {
                        (404, "this dispatcher has no peers: no [peers] in its operator's file".to_string())
                    }
                },
                Order::Budgets => match &self.overload {
                    Some(overload) => (200, crate::overload::report(overload, self.now).to_string()),
                    None => (404, "no [overload] in this dispatcher's operator's file".to_string()),
                },
                Order::Zones => match &mut self.zones {
                    Some(zones) => (200, crate::zones::report(zones, self.now).to_string()),
                    None => (404, crate::zones::ZoneError::Off.to_string()),
                },
                Order::Zone(zone, order) => self.zone_said(&zone, order),
                Order::Detach(id) => self.detach(&id),
                Order::Attach(id) => self.attach(&id),
            };
            if let Some(door) = &mut self.door {
                door.answer(&self.poll, self.now, token, status, &text);
            }
        }
    }

    pub(super) fn unlisted(&self, id: &WorkerId) -> bool {
        !self.listed.contains(id) && !self.bans.holds(id) && self.executors.iter().all(|e| e.id != *id)
    }

    pub(super) fn detach(&mut self, id: &WorkerId) -> (u16, String) {
        if self.unlisted(id) {
            return (404, "never listed".to_string());
        }
        let began = !self.bans.holds(id);
        match self.bans.ban(id) {
            Ok(()) if began => {
                info!(
                    instance = self.config.name,
                    worker = &**id,
                    reason = "door",
                    "an executor is left out"
                );
                count(&self.counters.bans_begun);
                self.relist();
                (200, "left out".to_string())
            }
            Ok(()) => (200, "left out already".to_string()),
            Err(e) => (500, format!("can't be kept: {e}")),
        }
    }

    pub(super) fn attach(&mut self, id: &WorkerId) -> (u16, String) {
        if self.unlisted(id) {
            return (404, "never listed".to_string());
        }
        let ended = self.bans.holds(id);
        match self.bans.lift(id) {
            Ok(()) if ended => {
                self.back(id.clone());
                self.relist();
                (200, "in use".to_string())
            }
            Ok(()) => (200, "in use already".to_string()),
            Err(e) => (500, format!("can't be kept: {e}")),
        }
    }

    /// An executor is back in use. It was restarted meanwhile, and counts as started now.
    pub(super) fn back(&mut self, id: WorkerId) {
        info!(instance = self.config.name, worker = &*id, "an executor is back in use");
        count(&self.counters.bans_ended);
        self.attached.insert(id, self.now);
    }
}
