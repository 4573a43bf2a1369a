//! Carries messages between the fronts, the core and the executors until none is left.

use super::jobs::job;
use super::{Node, STATIONS};
use crate::core::{Command, Ticket};
use crate::executor::Report;
use crate::front::{Intake, Invalid};

impl Node {
    /// Carries everything to and fro until nothing is left to carry.
    pub(super) fn settle(&mut self) {
        loop {
            let mut intake = std::mem::take(&mut self.thrift.intake);
            self.mqtt.take_intake(&mut intake);
            if let Some(front) = &mut self.stations {
                intake.append(&mut front.intake);
            }
            let reports = std::mem::take(&mut self.pool.reports);
            if intake.is_empty() && reports.is_empty() && self.engine.commands.is_empty() {
                return;
            }
            // Who has gone first, then what has ended, then what is new: each knows of what came before it.
            intake.retain(|asked| match asked {
                Intake::Forget(ticket) => {
                    self.engine.forget(self.now, *ticket);
                    false
                }
                Intake::HungUp(ticket) => {
                    self.engine.hung_up(*ticket);
                    false
                }
                Intake::Serve { .. } => true,
            });
            for report in reports {
                match report {
                    Report::Attempt(id, ended) => self.engine.ended(self.now, id, ended),
                    Report::Order(order, outcome, copies) => {
                        self.engine.loaded(self.now, order, outcome, copies)
                    }
                }
            }
            for asked in intake {
                let Intake::Serve { ticket, sketch, body, age_us, again } = asked else { continue };
                let past = self.settings.past.contains(&sketch.class);
                match job(&self.settings, sketch, body, age_us.max(self.stood), again) {
                    Ok(job) => self.engine.take(self.now, ticket, job),
                    Err(invalid) => self.invalid(ticket, &invalid, past),
                }
            }
            while let Some(command) = self.engine.commands.pop_front() {
                self.command(command);
            }
        }
    }

    /// At the end of a turn: writes what has waited in it, once what the name service has told meanwhile is known. However long
    /// turns take, nothing waits for longer than one.
    pub(super) fn release_writes(&mut self) {
        if !self.pool.holds_writes() {
            return;
        }
        if self.resolver.read(&mut self.poll, self.now) {
            self.list_changed();
        }
        self.pool.list_was_read();
        self.pool.release_writes(&self.poll, self.now);
        self.settle();
    }

    fn command(&mut self, command: Command) {
        let (poll, now) = (&mut self.poll, self.now);
        match command {
            Command::Send { attempt, worker, wait, job } => {
                self.pool.send(poll, now, attempt, &worker, wait, &job)
            }
            Command::Halt { attempt } => self.pool.halt(poll, now, attempt),
            Command::Recall { attempt } => self.pool.recall(attempt),
            Command::Load { order, worker, function, copies } => {
                self.pool.load(poll, now, order, &worker, &function, copies)
            }
            Command::Answer { ticket, answer } => {
                if self.mqtt.has(ticket.front) {
                    self.mqtt.answer(poll, now, ticket, answer);
                } else if let Some(front) = self.stations.as_mut().filter(|_| ticket.front == STATIONS) {
                    front.answer(poll, now, ticket, answer);
                } else {
                    self.thrift.answer(poll, now, ticket, &answer);
                }
            }
        }
    }

    fn invalid(&mut self, ticket: Ticket, invalid: &Invalid, past: bool) {
        if self.mqtt.has(ticket.front) {
            self.mqtt.invalid(&self.poll, self.now, ticket, invalid);
        } else if let Some(front) = self.stations.as_mut().filter(|_| ticket.front == STATIONS) {
            front.invalid(&mut self.poll, self.now, ticket, invalid);
        } else {
            self.thrift.invalid(&self.poll, self.now, ticket, invalid, !past);
        }
    }
}
