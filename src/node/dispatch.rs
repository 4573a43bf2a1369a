//! Carries messages between the fronts, the core and the executors until no queue holds any.
//!
//! Given the fronts' intake, the pool's reports and the core's commands; bounded by the fronts' and the pool's own limits.

use super::request_specs::build_job;
use super::{Node, STATIONS};
use crate::core::{Command, Ticket};
use crate::executor::Completion;
use crate::front::{Intake, Invalid, Submission};

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
                Intake::Submit(_) => true,
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
                let Intake::Submit(submission) = item else { continue };
                let Submission { ticket, sketch, body, delivery, refuse_after } = *submission;
                let class_removed = self.settings.removed_classes.contains(&sketch.class);
                match build_job(&self.settings, sketch, body, delivery, self.stalled_us) {
                    Ok(job) => match refuse_after {
                        Some(retry_after) => self.engine.refuse(self.now, ticket, job, retry_after),
                        None => self.engine.submit(self.now, ticket, job),
                    },
                    Err(invalid) => self.refuse_invalid(ticket, &invalid, class_removed),
                }
            }
            while let Some(command) = self.engine.commands.pop_front() {
                self.execute(command);
            }
        }
    }

    /// Ends a turn in which writes were held: reads the name service's answers once more, then writes. However long turns
    /// take, no write is held for longer than one of them.
    pub(super) fn release_held_writes(&mut self) {
        if !self.pool.has_held_writes() {
            return;
        }
        if self.resolver.read_pending(&mut self.poll, self.now) {
            self.list_changed();
        }
        self.pool.mark_list_read();
        self.pool.release_writes(&self.poll, self.now);
        self.deliver_messages();
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
