//! The list of executors as all parts are told it: the name service's, less what bans leave out.

use super::Node;
use crate::api::{Listing, WorkerId};
use crate::counters::count;
use crate::names::{Executor, State};

/// Ids of executors that are known to have been listed.
pub(super) const MOST_LISTED: usize = 16_384;
/// How long an executor that was taken back is remembered as started anew, beyond the time to get warm.
const ATTACHED: u64 = 60_000_000;

impl Node {
    /// Goes on with the list that is in use now.
    pub(super) fn list_changed(&mut self) {
        count(&self.counters.lists_applied);
        self.executors = self.resolver.in_use().to_vec();
        self.relist();
    }

    /// Tells all parts the list, as the operators' bans leave it.
    pub(super) fn relist(&mut self) {
        let cold = self.now.saturating_sub(self.settings.module.warm_after + ATTACHED);
        // Danger: forgotten while it is listed, it would seem to have started anew, without its copies.
        let listed = |id: &WorkerId| self.executors.iter().any(|e| e.id == *id);
        self.attached.retain(|id, at| *at > cold || listed(id));
        let (bans, streamed) = (&self.bans, &self.streamed_bans);
        let standing = |e: &Executor| Executor {
            state: if bans.holds(&e.id) || streamed.contains(&e.id) { State::Draining } else { e.state },
            ..e.clone()
        };
        let executors: Vec<Executor> = self.executors.iter().map(standing).collect();
        if self.listed.len() < MOST_LISTED {
            self.listed.extend(executors.iter().map(|e| e.id.clone()));
        }
        self.pool.list(&executors);
        let listing = |e: &Executor| -> Listing {
            let started = (e.started_ms > 0).then(|| self.clock.from_unix_ms(e.started_ms));
            let ready_at = started.max(self.attached.get(&e.id).copied());
            self.settings.vocabulary.listing(e, ready_at)
        };
        let entries = executors.iter().map(listing).collect();
        if let Some(overload) = &mut self.overload {
            overload.listed(executors.iter().map(|e| e.id.clone()).collect());
        }
        if let Some(zones) = &mut self.zones {
            zones.listed(&executors, &self.settings.vocabulary.zones);
        }
        self.engine.list(self.now, entries);
    }
}
