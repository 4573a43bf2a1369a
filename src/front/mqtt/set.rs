//! The set of MQTT fronts, one for each configured broker, which follows changes of the configuration. The number of
//! brokers is bounded.
//!
//! A front that is no longer configured is drained: it takes no new requests, publishes all outstanding answers and
//! disconnects. If it is configured again before that, it serves again. A broker's session belongs to one connection at
//! a time, so a front with other options for the same session starts only after the old one has disconnected. A front is
//! drained for as long as its broker does not acknowledge all answers.

use super::front::Front;
use super::options::Options;
use crate::core::{FinalAnswer, Ticket};
use crate::counters::Counters;
use crate::front::{Intake, Invalid};
use crate::net::{Poll, PollEvent};
use std::rc::Rc;

/// Concurrent brokers.
const MAX_BROKERS: usize = 64;

/// The MQTT fronts.
pub struct Fronts {
    /// The number of the first front; the others are numbered consecutively.
    first: u8,
    slots: Vec<Option<Front>>,
    configured: Vec<Options>,
    stopping: bool,
    counters: Rc<Counters>,
}

impl Fronts {
    /// Creates an empty set.
    pub fn new(first: u8, counters: Rc<Counters>) -> Fronts {
        Fronts { first, slots: Vec::new(), configured: Vec::new(), stopping: false, counters }
    }

    /// Sets the configured brokers; fronts of all others are drained.
    pub fn set_brokers(&mut self, poll: &Poll, mut brokers: Vec<Options>) {
        brokers.truncate(MAX_BROKERS);
        self.configured = brokers;
        self.reconcile(poll);
        self.log_waiting();
    }

    /// Logs which configured brokers have no front yet.
    fn log_waiting(&self) {
        for options in &self.configured {
            if !self.slots.iter().flatten().any(|front| front.options() == options) {
                let (broker, client) = (options.broker, options.client_id.as_str());
                tracing::info!(%broker, client, "a configured broker waits until others have been drained");
            }
        }
    }

    /// Reconciles the fronts with the configured brokers, as far as possible now.
    fn reconcile(&mut self, poll: &Poll) {
        for slot in &mut self.slots {
            let Some(front) = slot else { continue };
            if self.configured.contains(front.options()) {
                if !self.stopping {
                    front.resume();
                }
                continue;
            }
            front.drain();
            if front.settled() {
                front.leave(poll);
                *slot = None;
            }
        }
        if self.stopping {
            return;
        }
        for options in &self.configured {
            let same_session = |f: &Front| {
                f.options().broker == options.broker && f.options().client_id == options.client_id
            };
            if self.slots.iter().flatten().any(same_session) {
                continue;
            }
            let slot = self.slots.iter().position(Option::is_none).unwrap_or(self.slots.len());
            if slot >= MAX_BROKERS {
                return;
            }
            if slot == self.slots.len() {
                self.slots.push(None);
            }
            let front = Front::new(self.first + slot as u8, options.clone(), self.counters.clone());
            self.slots[slot] = Some(front);
        }
    }

    fn front_mut(&mut self, number: u8) -> Option<&mut Front> {
        self.slots.get_mut(usize::from(number.checked_sub(self.first)?))?.as_mut()
    }

    /// Returns whether the number belongs to the range of MQTT fronts.
    pub fn owns(&self, number: u8) -> bool {
        number >= self.first
    }

    /// Returns whether there are no fronts.
    pub fn is_empty(&self) -> bool {
        self.slots.iter().all(Option::is_none)
    }

    /// Handles readiness of one of the connections.
    pub fn ready(&mut self, poll: &mut Poll, now: u64, unix_ms: u64, ready: PollEvent) {
        if let Some(front) = self.front_mut(ready.token.owner) {
            front.ready(poll, now, unix_ms, ready);
        }
    }

    /// Moves the requests that have arrived to the end of `into`, in order for each front.
    pub fn take_intake(&mut self, into: &mut Vec<Intake>) {
        self.slots.iter_mut().flatten().for_each(|f| into.append(&mut f.intake));
    }

    /// Delivers the final answer to a request.
    pub fn answer(&mut self, poll: &Poll, now: u64, ticket: Ticket, answer: FinalAnswer) {
        if let Some(front) = self.front_mut(ticket.front) {
            front.answer(poll, now, ticket, answer);
        }
    }

    /// Rejects a request that has an invalid field.
    pub fn invalid(&mut self, poll: &Poll, now: u64, ticket: Ticket, invalid: &Invalid) {
        if let Some(front) = self.front_mut(ticket.front) {
            front.invalid(poll, now, ticket, invalid);
        }
    }

    /// Maintains the connections and the fronts that are being drained.
    pub fn advance(&mut self, poll: &mut Poll, now: u64, unix_ms: u64) {
        self.slots.iter_mut().flatten().for_each(|f| f.advance(poll, now, unix_ms));
        self.reconcile(poll);
    }

    /// Returns when `advance` next has work to do.
    pub fn due(&self) -> u64 {
        self.slots.iter().flatten().map(Front::due).min().unwrap_or(u64::MAX)
    }

    /// Stops taking requests for good, since the process is about to exit; those already taken are still answered.
    pub fn stop(&mut self) {
        self.stopping = true;
        self.slots.iter_mut().flatten().for_each(Front::drain);
    }

    /// Returns whether the broker has acknowledged the answer to every request that the core was given.
    pub fn settled(&self) -> bool {
        self.slots.iter().flatten().all(Front::settled)
    }

    /// Disconnects from all brokers.
    pub fn disconnect(&mut self, poll: &Poll) {
        self.slots.iter_mut().flatten().for_each(|f| f.leave(poll));
    }
}

#[cfg(test)]
mod tests;
