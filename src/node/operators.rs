//! Carries out the requests of the operators' HTTP interface: readiness, reports, zone orders, and bans of executors.
//!
//! Given the orders that the interface has parsed; each gets one answer with a status and a text. Orders are few: the
//! interface limits its connections.

use super::Node;
use crate::admin::AdminCommand;
use crate::api::WorkerId;
use crate::counters::count;
use crate::net::{PollEvent, Token};
use tracing::info;

/// After this long without a list from elsewhere, a process counts as ready with the list in its configuration.
const LIST_WAIT_US: u64 = 3_000_000;

impl Node {
    /// Returns whether this process accepts requests: it has settings and an executor list, no handover to it is pending,
    /// and it is not shutting down.
    pub(super) fn is_ready(&self) -> bool {
        let list_known = self.list_known || self.now >= self.started + LIST_WAIT_US;
        list_known && !self.handover.awaits_state() && !self.unconfigured && self.shutdown_started.is_none()
    }

    /// Handles a ready descriptor of the operators' interface.
    pub(super) fn handle_operators_ready(&mut self, ready: PollEvent) {
        if let Some(door) = &mut self.admin {
            door.ready(&mut self.poll, self.now, ready);
            self.answer_operators();
        }
    }

    /// Carries out the orders that operators have sent, and answers them.
    pub(super) fn answer_operators(&mut self) {
        let Some(door) = &mut self.admin else { return };
        // Before the predecessor's state has arrived, this process does not have the ids that were listed there, so orders
        // about executors wait.
        let handover_pending = self.handover.awaits_state();
        let (deferred, orders) = std::mem::take(&mut door.commands).into_iter().partition(|(_, o)| {
            handover_pending
                && !matches!(
                    o,
                    AdminCommand::Ready | AdminCommand::Peers | AdminCommand::Budgets | AdminCommand::Zones
                )
        });
        door.commands = deferred;
        let orders: Vec<(Token, AdminCommand)> = orders;
        for (token, order) in orders {
            let (status, text) = match order {
                AdminCommand::Ready if self.is_ready() => (200, "ready".to_string()),
                AdminCommand::Ready => (503, "not ready".to_string()),
                AdminCommand::Peers => match &self.peers {
                    Some(peers) => (200, crate::peers::report(peers, self.now).to_string()),
                    None => {
                        (404, "this dispatcher has no peers: no [peers] in its operator's file".to_string())
                    }
                },
                AdminCommand::Budgets => match &self.overload {
                    Some(overload) => (200, crate::overload::report(overload, self.now).to_string()),
                    None => (404, "no [overload] in this dispatcher's operator's file".to_string()),
                },
                AdminCommand::Zones => match &mut self.zones {
                    Some(zones) => (200, crate::zones::report(zones, self.now).to_string()),
                    None => (404, crate::zones::ZoneError::Disabled.to_string()),
                },
                AdminCommand::Zone(zone, order) => self.order_zone(&zone, order),
                AdminCommand::Detach(id) => self.detach(&id),
                AdminCommand::Attach(id) => self.attach(&id),
            };
            if let Some(door) = &mut self.admin {
                door.answer(&self.poll, self.now, token, status, &text);
            }
        }
    }

    /// Returns whether the id is of no executor that was ever listed.
    fn never_listed(&self, id: &WorkerId) -> bool {
        !self.ever_listed.contains(id)
            && !self.bans.contains(id)
            && self.executors.iter().all(|e| e.id != *id)
    }

    /// Bans an executor; returns the status and text for the operator.
    fn detach(&mut self, id: &WorkerId) -> (u16, String) {
        if self.never_listed(id) {
            return (404, "never listed".to_string());
        }
        let newly_banned = !self.bans.contains(id);
        match self.bans.ban(id) {
            Ok(()) if newly_banned => {
                info!(instance = self.config.name, worker = &**id, reason = "door", "executor banned");
                count(&self.counters.bans_begun);
                self.publish_list();
                (200, "left out".to_string())
            }
            Ok(()) => (200, "left out already".to_string()),
            Err(e) => (500, format!("can't be kept: {e}")),
        }
    }

    /// Lifts an executor's ban; returns the status and text for the operator.
    fn attach(&mut self, id: &WorkerId) -> (u16, String) {
        if self.never_listed(id) {
            return (404, "never listed".to_string());
        }
        let was_banned = self.bans.contains(id);
        match self.bans.lift(id) {
            Ok(()) if was_banned => {
                self.record_ban_lifted(id.clone());
                self.publish_list();
                (200, "in use".to_string())
            }
            Ok(()) => (200, "in use already".to_string()),
            Err(e) => (500, format!("can't be kept: {e}")),
        }
    }

    /// Records the end of an executor's ban. It may have been restarted during the ban, so it counts as started now.
    pub(super) fn record_ban_lifted(&mut self, id: WorkerId) {
        info!(instance = self.config.name, worker = &*id, "executor ban lifted");
        count(&self.counters.bans_ended);
        self.ban_lifted_at.insert(id, self.now);
    }
}
