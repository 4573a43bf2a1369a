//! The fronts that speak MQTT, one for each broker, while the wanted brokers change.
//!
//! A front that is wanted no more takes nothing new, gives all the answers that it owes, and leaves its broker. A
//! broker's session belongs to one connection at a time, so that a front with other options for the same session
//! begins only once the old one has left.

use super::front::Front;
use super::options::Options;
use crate::core::{FinalAnswer, Ticket};
use crate::counters::Counters;
use crate::front::{Intake, Invalid};
use crate::net::{Poll, PollEvent};
use std::rc::Rc;

/// Brokers at a time.
const MOST: usize = 64;

/// The fronts.
pub struct Fronts {
    /// The number of the first front; they are numbered on from there.
    first: u8,
    slots: Vec<Option<Front>>,
    wanted: Vec<Options>,
    stopping: bool,
    counters: Rc<Counters>,
}

impl Fronts {
    /// No fronts yet.
    pub fn new(first: u8, counters: Rc<Counters>) -> Fronts {
        Fronts { first, slots: Vec::new(), wanted: Vec::new(), stopping: false, counters }
    }

    /// These brokers are to be taken from, and no others.
    pub fn set_brokers(&mut self, poll: &Poll, mut brokers: Vec<Options>) {
        brokers.truncate(MOST);
        self.wanted = brokers;
        self.follow(poll);
    }

    /// Brings the fronts closer to what is wanted.
    fn follow(&mut self, poll: &Poll) {
        for slot in &mut self.slots {
            let Some(front) = slot else { continue };
            if self.wanted.contains(front.options()) {
                continue;
            }
            front.stop();
            if front.settled() {
                front.leave(poll);
                *slot = None;
            }
        }
        if self.stopping {
            return;
        }
        for options in &self.wanted {
            let session = |f: &Front| {
                f.options().broker == options.broker && f.options().client_id == options.client_id
            };
            if self.slots.iter().flatten().any(session) {
                continue;
            }
            let place = self.slots.iter().position(Option::is_none).unwrap_or(self.slots.len());
            if place >= MOST {
                return;
            }
            if place == self.slots.len() {
                self.slots.push(None);
            }
            let front = Front::new(self.first + place as u8, options.clone(), self.counters.clone());
            self.slots[place] = Some(front);
        }
    }

    fn of(&mut self, number: u8) -> Option<&mut Front> {
        self.slots.get_mut(usize::from(number.checked_sub(self.first)?))?.as_mut()
    }

    /// Whether a front has this number.
    pub fn owns(&self, number: u8) -> bool {
        number >= self.first
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.slots.iter().all(Option::is_none)
    }

    /// Handles what happened to a connection.
    pub fn ready(&mut self, poll: &mut Poll, now: u64, unix_ms: u64, ready: PollEvent) {
        if let Some(front) = self.of(ready.token.owner) {
            front.ready(poll, now, unix_ms, ready);
        }
    }

    /// What clients asked, in order.
    pub fn take_intake(&mut self, into: &mut Vec<Intake>) {
        self.slots.iter_mut().flatten().for_each(|f| into.append(&mut f.intake));
    }

    /// Takes the final answer of a request.
    pub fn answer(&mut self, poll: &Poll, now: u64, ticket: Ticket, answer: FinalAnswer) {
        if let Some(front) = self.of(ticket.front) {
            front.answer(poll, now, ticket, answer);
        }
    }

    /// Says that a request can't be used.
    pub fn invalid(&mut self, poll: &Poll, now: u64, ticket: Ticket, invalid: &Invalid) {
        if let Some(front) = self.of(ticket.front) {
            front.invalid(poll, now, ticket, invalid);
        }
    }

    /// Looks after the connections, and after fronts that are on their way out.
    pub fn advance(&mut self, poll: &mut Poll, now: u64) {
        self.slots.iter_mut().flatten().for_each(|f| f.advance(poll, now));
        self.follow(poll);
    }

    /// When `advance` next has something to do.
    pub fn due(&self) -> u64 {
        self.slots.iter().flatten().map(Front::due).min().unwrap_or(u64::MAX)
    }

    /// Takes nothing more; what was taken is still answered.
    pub fn stop(&mut self) {
        self.stopping = true;
        self.slots.iter_mut().flatten().for_each(Front::stop);
    }

    /// Whether every message that the core had has its answer with its broker.
    pub fn settled(&self) -> bool {
        self.slots.iter().flatten().all(Front::settled)
    }

    /// Takes leave of all brokers.
    pub fn disconnect(&mut self, poll: &Poll) {
        self.slots.iter_mut().flatten().for_each(|f| f.leave(poll));
    }
}
