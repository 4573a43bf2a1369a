//! Carries messages between the fronts, the core and the executors until no queue holds any.
//!
//! Given the fronts' intake, the pool's reports and the core's commands; bounded by the fronts' and the pool's own limits.

use super::request_specs::build_job;
use super::{Node, STATIONS};
use crate::core::{Command, Ticket};
use crate::counters::record_max;
use crate::executor::Completion;
use crate::front::{Intake, Invalid};
use crate::net::PollEvent;
use std::io;
use tracing::{info, warn};

/// Further looks at everything that is ready, before held writes go out although the process stood still in the last look, too.
const MAX_LOOKS: usize = 3;
/// Held writes wait for an answer of the name service for this long, which is enough for a second query if the first is lost.
const MAX_LIST_WAIT_US: u64 = 250_000;

impl Node {
    /// Passes intake and reports to the core and carries out its commands, until all queues are empty.
    pub(super) fn deliver_messages(&mut self) {
        loop {
            let mut intake = std::mem::take(&mut self.thrift.intake);
            self.mqtt.take_intake(&mut intake);
            if let Some(front) = &mut self.stations {
                intake.append(&mut front.intake);
            }
            let reports = std::mem::take(&mut self.pool.completions);
            if intake.is_empty() && reports.is_empty() && self.engine.commands.is_empty() {
                return;
            }
            // Disconnects first, then ended attempts, then new requests, so that a decision on each takes account of the
            // earlier ones: no resend for a client that has gone, and no new request planned on an outdated executor state.
            intake.retain(|item| match item {
                Intake::Abandon(ticket) => {
                    self.engine.abandon(self.now, *ticket);
                    false
                }
                Intake::ClientClosed(ticket) => {
                    self.engine.client_closed(*ticket);
                    false
                }
                Intake::Submit { .. } => true,
            });
            for report in reports {
                match report {
                    Completion::Attempt(id, ended) => self.engine.attempt_ended(self.now, id, ended),
                    Completion::Order(order, outcome, replicas) => {
                        self.engine.load_order_ended(self.now, order, outcome, replicas)
                    }
                }
            }
            for item in intake {
                let Intake::Submit { ticket, sketch, body, age_us, again } = item else { continue };
                let class_removed = self.settings.removed_classes.contains(&sketch.class);
                match build_job(&self.settings, sketch, body, age_us.max(self.stalled_us), again) {
                    Ok(job) => self.engine.submit(self.now, ticket, job),
                    Err(invalid) => self.refuse_invalid(ticket, &invalid, class_removed),
                }
            }
            while let Some(command) = self.engine.commands.pop_front() {
                self.execute(command);
            }
        }
    }

    /// Ends a turn in which writes were held. If the turn took long, everything is looked at once more first: meanwhile a worker may
    /// have been drained, a client may have left, a key's window may have ended. However long turns take, writes are held for no
    /// more than [`MAX_LOOKS`] of them, and for [`MAX_LIST_WAIT_US`] more where a stall has made the list old.
    pub(super) fn release_held_writes(&mut self, events: &mut Vec<PollEvent>) -> io::Result<()> {
        for _ in 0..MAX_LOOKS {
            if !self.pool.has_held_writes() || !self.pool.is_list_read_old() {
                break;
            }
            let last_read = self.now;
            self.poll.wait(0, events)?;
            self.now = self.clock.read();
            record_max(&self.counters.loop_lag_most_us, self.now - last_read);
            self.stalled_us = self.now - last_read;
            self.take_turn(events, last_read, true);
        }
        if !self.pool.has_held_writes() {
            self.list_wait_ends = None;
            return Ok(());
        }
        if self.resolver.read_pending(&mut self.poll, self.now) {
            self.list_changed();
        }
        self.pool.mark_list_read();
        if self.list_wait_ends.is_some_and(|end| self.now < end) && self.resolver.is_stale(self.now) {
            return Ok(());
        }
        if self.list_wait_ends.take().is_some() {
            let (serial, list_age_ms) = (self.resolver.serial(), self.resolver.age(self.now) / 1_000);
            info!(serial, list_age_ms, "requests are sent again after the process stood still");
        }
        self.pool.release_writes(&self.poll, self.now);
        self.deliver_messages();
        Ok(())
    }

    /// After a stall in which the list has become old, lets held writes wait for the name service. The platform counts an event as
    /// announced 1.5 s after it happened, so that workers of an older list may no longer be sent anything. A list that was old
    /// before the stall is not waited for: then the name service is silent, and no wait would help.
    pub(super) fn await_list_after_stall(&mut self, last_read: u64) {
        let stale = self.resolver.is_stale(self.now);
        if self.list_wait_ends.is_none() && stale && !self.resolver.is_stale(last_read) {
            self.list_wait_ends = Some(self.now + MAX_LIST_WAIT_US);
            let (serial, list_age_ms) = (self.resolver.serial(), self.resolver.age(self.now) / 1_000);
            let stood_ms = (self.now - last_read) / 1_000;
            warn!(
                serial,
                list_age_ms,
                stood_ms,
                "the process stood still; nothing is sent until the name service has answered"
            );
        }
    }

    /// Carries out one command of the core.
    fn execute(&mut self, command: Command) {
        let (poll, now) = (&mut self.poll, self.now);
        match command {
            Command::Send { attempt, worker, wait, job } => {
                self.pool.send(poll, now, attempt, &worker, wait, &job)
            }
            Command::Cancel { attempt } => self.pool.cancel(poll, now, attempt),
            Command::CancelIfUnsent { attempt } => self.pool.cancel_if_unsent(attempt),
            Command::OrderLoad { order, worker, function, replicas } => {
                self.pool.load(poll, now, order, &worker, &function, replicas)
            }
            Command::Answer { ticket, answer } => {
                if self.mqtt.owns(ticket.front) {
                    self.mqtt.answer(poll, now, ticket, answer);
                } else if let Some(front) = self.stations.as_mut().filter(|_| ticket.front == STATIONS) {
                    front.answer(poll, now, ticket, answer);
                } else {
                    self.thrift.answer(poll, now, ticket, &answer);
                }
            }
        }
    }

    /// Refuses an invalid request at the front that it came from. `class_removed`: its class was removed from the settings,
    /// which its client may not have learned yet, so this does not count as an offence.
    fn refuse_invalid(&mut self, ticket: Ticket, invalid: &Invalid, class_removed: bool) {
        if self.mqtt.owns(ticket.front) {
            self.mqtt.invalid(&self.poll, self.now, ticket, invalid);
        } else if let Some(front) = self.stations.as_mut().filter(|_| ticket.front == STATIONS) {
            front.invalid(&mut self.poll, self.now, ticket, invalid);
        } else {
            self.thrift.invalid(&self.poll, self.now, ticket, invalid, !class_removed);
        }
    }
}
