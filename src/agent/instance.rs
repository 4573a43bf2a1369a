//! One instance under the agent: its process, its health as last observed, and its target state. Restarts use an
//! exponential backoff.

use super::probe::HealthProbe;
use crate::config::{Agent, Instance};
use crate::counters::print_line;
use crate::front::thrift;
use crate::net::{Closed, Connection, Poll, PollEvent};
use rustix::process::{Pid, Signal, kill_process};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use tracing::warn;

/// The restart backoff of an instance that ended; it doubles from the first up to the last.
const FIRST_BACKOFF_US: u64 = 100_000;
const MAX_BACKOFF_US: u64 = 10_000_000;
/// An instance that ran for this long is stable: its next restart uses the first backoff again.
const STABLE_RUN_US: u64 = 10_000_000;

/// The target state of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// Running and taking work.
    Ready,
    /// Running, while balancers send nothing new.
    Drained,
    /// Stopped once, then started again.
    Restarted,
    /// Stopped.
    Stopped,
}

/// An instance under the agent.
pub struct ManagedInstance {
    pub spec: Instance,
    program: PathBuf,
    operator: PathBuf,
    /// Whether the operator's file names a control service.
    uses_stream: bool,
    pub target: TargetState,
    child: Option<Child>,
    started_at: u64,
    start_at: u64,
    backoff: u64,
    /// When SIGTERM and SIGKILL are due; `kill_at` is `u64::MAX` once SIGKILL was sent.
    term_at: Option<u64>,
    kill_at: Option<u64>,
    probe: Option<Connection<HealthProbe>>,
    probed_at: u64,
    /// When it last answered a health check as healthy.
    healthy_at: Option<u64>,
    pub starts: u64,
}

impl ManagedInstance {
    pub fn new(spec: Instance, program: PathBuf, operator: PathBuf, uses_stream: bool) -> ManagedInstance {
        ManagedInstance {
            spec,
            program,
            operator,
            uses_stream,
            target: TargetState::Ready,
            child: None,
            started_at: 0,
            start_at: 0,
            backoff: FIRST_BACKOFF_US,
            term_at: None,
            kill_at: None,
            probe: None,
            probed_at: 0,
            healthy_at: None,
            starts: 0,
        }
    }

    /// Returns the status for balancers' agent checks.
    pub fn status(&self) -> &'static str {
        match self.target {
            _ if self.child.is_none() || self.healthy_at.is_none() => "down",
            TargetState::Ready => "ready",
            TargetState::Drained | TargetState::Restarted | TargetState::Stopped => "drain",
        }
    }

    /// Returns whether its process is running.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Returns its process id.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sets the target state.
    pub fn set_target(&mut self, now: u64, agent: &Agent, target: TargetState) {
        self.target = target;
        match target {
            TargetState::Ready | TargetState::Drained => {
                if self.kill_at.is_none() {
                    self.term_at = None;
                }
                self.start_at = self.start_at.min(now);
            }
            TargetState::Restarted | TargetState::Stopped => {
                // The drain status is reported to balancers first; SIGTERM follows after the drain time.
                self.term_at.get_or_insert(now + agent.drain);
            }
        }
    }

    /// Stops it without a drain, because the agent itself is ending.
    pub fn stop_now(&mut self, now: u64) {
        self.target = TargetState::Stopped;
        self.term_at = Some(now);
    }

    fn spawn(&mut self, now: u64) {
        let mut command = Command::new(&self.program);
        command.arg("run").arg("--with-parent");
        if self.spec.mqtt || self.uses_stream {
            command.arg("--operator").arg(&self.operator);
        }
        if !self.spec.mqtt {
            command.arg("--without-mqtt");
        }
        command
            .env("ROUTER_NAME", &self.spec.name)
            .env("ROUTER_LISTEN", self.spec.listen.to_string())
            .env("ROUTER_CONFIG", &self.spec.config)
            // An address or a descriptor given to the agent can't be shared by several instances.
            .env_remove("ROUTER_OPS")
            .env_remove("ROUTER_INHERITED_FD")
            .stdin(Stdio::null());
        (self.started_at, self.starts) = (now, self.starts + 1);
        match command.spawn() {
            Ok(child) => {
                print_line(format_args!("agent: {} started as process {}", self.spec.name, child.id()));
                self.child = Some(child);
            }
            Err(e) => {
                warn!(instance = self.spec.name, reason = %e, "failed to start an instance");
                self.schedule_restart(now);
            }
        }
    }

    fn schedule_restart(&mut self, now: u64) {
        if now >= self.started_at + STABLE_RUN_US {
            self.backoff = FIRST_BACKOFF_US;
        }
        self.start_at = now + self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF_US);
    }

    fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(|c| Pid::from_raw(c.id() as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Makes it reload its configuration. An instance that is not up yet has no handler for SIGHUP and would be ended
    /// by it; it is skipped, as it reads the new file at its start anyway.
    pub fn reload(&self) {
        if self.healthy_at.is_some() {
            self.signal(Signal::HUP);
        }
    }

    /// Reaps, starts or stops the process as due, and sends health checks.
    pub fn advance(&mut self, poll: &mut Poll, now: u64, agent: &Agent, (owner, slot): (u8, usize)) {
        if let Some(child) = &mut self.child
            && let Ok(Some(status)) = child.try_wait()
        {
            print_line(format_args!("agent: {} ended: {status}", self.spec.name));
            (self.child, self.probe, self.healthy_at) = (None, None, None);
            (self.term_at, self.kill_at) = (None, None);
            if self.target == TargetState::Restarted {
                (self.target, self.start_at) = (TargetState::Ready, now);
            } else {
                self.schedule_restart(now);
            }
        }
        if self.child.is_none() {
            if self.target != TargetState::Stopped && now >= self.start_at {
                self.spawn(now);
            }
            return;
        }
        if self.term_at.is_some_and(|at| now >= at) && self.kill_at.is_none() {
            self.signal(Signal::TERM);
            self.kill_at = Some(now + agent.stop_timeout);
        }
        if self.kill_at.is_some_and(|at| now >= at) {
            warn!(instance = self.spec.name, "an instance did not exit in time and is killed");
            self.signal(Signal::KILL);
            self.kill_at = Some(u64::MAX);
        }
        if self.healthy_at.is_some_and(|at| now >= at + agent.check_every + agent.check_timeout) {
            self.healthy_at = None;
        }
        if now >= self.probed_at + agent.check_every {
            self.probed_at = now;
            self.send_probe(poll, (owner, slot));
        }
    }

    fn send_probe(&mut self, poll: &mut Poll, (owner, slot): (u8, usize)) {
        if self.probe.is_none() {
            let token = poll.token(owner, slot);
            self.probe = Connection::connect(poll, self.spec.listen, token, HealthProbe, (4096, 4096)).ok();
        }
        let Some(connection) = &mut self.probe else { return };
        // A check that can't be queued or sent means that earlier ones went unanswered for long: the next check uses a
        // new connection.
        if !connection.io.queue(&thrift::ask_well()) || connection.flush(poll).is_err() {
            self.probe = None;
        }
    }

    /// Handles an event of the health-check connection.
    pub fn handle_event(&mut self, poll: &mut Poll, now: u64, event: PollEvent) {
        let Some(connection) = self.probe.as_mut().filter(|c| c.io.token() == event.token) else { return };
        let mut answers = Vec::new();
        let result = connection.handle_event(poll, event, &mut answers);
        let result = if connection.io.read_closed { Err(Closed::Broken) } else { result };
        if let Some(healthy) = answers.last() {
            self.healthy_at = healthy.then_some(now);
        }
        if let Err(why) = result {
            self.probe = None;
            if why == Closed::NoConnect {
                self.healthy_at = None;
            }
        }
    }
}
