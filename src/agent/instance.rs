//! One instance: its process, what it was last seen to be, and what is to become of it.

use super::probe::Prober;
use crate::config::{Agent, Instance};
use crate::counters::print_line;
use crate::front::thrift;
use crate::net::{Closed, Connection, Poll, PollEvent};
use rustix::process::{Pid, Signal, kill_process};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use tracing::warn;

/// The first wait before an instance that ended is started again; it doubles up to the last.
const BACKOFF_FIRST: u64 = 100_000;
const BACKOFF_LAST: u64 = 10_000_000;
/// One that ran this long starts again at once when it ends.
const STEADY: u64 = 10_000_000;

/// What is to become of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wanted {
    /// To run and take work.
    Ready,
    /// To run while balancers send nothing new.
    Drained,
    /// To end, and start again.
    Restarted,
    /// To end.
    Stopped,
}

/// An instance under the agent.
pub struct Managed {
    pub told: Instance,
    program: PathBuf,
    operator: PathBuf,
    /// The operator's file names a control service.
    streams: bool,
    pub wanted: Wanted,
    child: Option<Child>,
    started: u64,
    start_at: u64,
    backoff: u64,
    /// When SIGTERM is due, and SIGKILL; 0 once sent.
    term_at: Option<u64>,
    kill_at: Option<u64>,
    probe: Option<Connection<Prober>>,
    asked: u64,
    /// When it last said that it is well.
    well_at: Option<u64>,
    pub starts: u64,
}

impl Managed {
    pub fn new(told: Instance, program: PathBuf, operator: PathBuf, streams: bool) -> Managed {
        Managed {
            told,
            program,
            operator,
            streams,
            wanted: Wanted::Ready,
            child: None,
            started: 0,
            start_at: 0,
            backoff: BACKOFF_FIRST,
            term_at: None,
            kill_at: None,
            probe: None,
            asked: 0,
            well_at: None,
            starts: 0,
        }
    }

    /// The word for balancers.
    pub fn word(&self) -> &'static str {
        match self.wanted {
            _ if self.child.is_none() || self.well_at.is_none() => "down",
            Wanted::Ready => "ready",
            Wanted::Drained | Wanted::Restarted | Wanted::Stopped => "drain",
        }
    }

    /// Whether its process runs.
    pub fn runs(&self) -> bool {
        self.child.is_some()
    }

    /// The number of its process.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sets what is to become of it.
    pub fn want(&mut self, now: u64, agent: &Agent, wanted: Wanted) {
        self.wanted = wanted;
        match wanted {
            Wanted::Ready | Wanted::Drained => {
                if self.kill_at.is_none() {
                    self.term_at = None;
                }
                self.start_at = self.start_at.min(now);
            }
            Wanted::Restarted | Wanted::Stopped => {
                // Balancers are told first; the process ends once they have heard.
                self.term_at.get_or_insert(now + agent.drain);
            }
        }
    }

    /// Ends it without waiting for balancers: the agent itself is ending.
    pub fn end_now(&mut self, now: u64) {
        self.wanted = Wanted::Stopped;
        self.term_at = Some(now);
    }

    fn start(&mut self, now: u64) {
        let mut command = Command::new(&self.program);
        command.arg("run").arg("--with-parent");
        if self.told.mqtt || self.streams {
            command.arg("--operator").arg(&self.operator);
        }
        if !self.told.mqtt {
            command.arg("--without-mqtt");
        }
        command
            .env("ROUTER_NAME", &self.told.name)
            .env("ROUTER_LISTEN", self.told.listen.to_string())
            .env("ROUTER_CONFIG", &self.told.config)
            // What the agent itself was given can't be that of many.
            .env_remove("ROUTER_OPS")
            .env_remove("ROUTER_INHERITED_FD")
            .stdin(Stdio::null());
        (self.started, self.starts) = (now, self.starts + 1);
        match command.spawn() {
            Ok(child) => {
                print_line(format_args!("agent: {} started as process {}", self.told.name, child.id()));
                self.child = Some(child);
            }
            Err(e) => {
                warn!(instance = self.told.name, reason = %e, "an instance can't be started");
                self.wait(now);
            }
        }
    }

    fn wait(&mut self, now: u64) {
        if now >= self.started + STEADY {
            self.backoff = BACKOFF_FIRST;
        }
        self.start_at = now + self.backoff;
        self.backoff = (self.backoff * 2).min(BACKOFF_LAST);
    }

    fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(|c| Pid::from_raw(c.id() as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Has it read its configuration again. Danger: one that is not up yet has no handler for the signal, and
    /// would end of it; it reads the new file anyhow.
    pub fn reload(&self) {
        if self.well_at.is_some() {
            self.signal(Signal::HUP);
        }
    }

    /// Looks after the process, and asks whether it is well.
    pub fn advance(&mut self, poll: &mut Poll, now: u64, agent: &Agent, (owner, slot): (u8, usize)) {
        if let Some(child) = &mut self.child
            && let Ok(Some(status)) = child.try_wait()
        {
            print_line(format_args!("agent: {} ended: {status}", self.told.name));
            (self.child, self.probe, self.well_at) = (None, None, None);
            (self.term_at, self.kill_at) = (None, None);
            if self.wanted == Wanted::Restarted {
                (self.wanted, self.start_at) = (Wanted::Ready, now);
            } else {
                self.wait(now);
            }
        }
        if self.child.is_none() {
            if self.wanted != Wanted::Stopped && now >= self.start_at {
                self.start(now);
            }
            return;
        }
        if self.term_at.is_some_and(|at| now >= at) && self.kill_at.is_none() {
            self.signal(Signal::TERM);
            self.kill_at = Some(now + agent.stop_timeout);
        }
        if self.kill_at.is_some_and(|at| now >= at) {
            warn!(instance = self.told.name, "an instance did not end in time and is killed");
            self.signal(Signal::KILL);
            self.kill_at = Some(u64::MAX);
        }
        if self.well_at.is_some_and(|at| now >= at + agent.check_every + agent.check_timeout) {
            self.well_at = None;
        }
        if now >= self.asked + agent.check_every {
            self.asked = now;
            self.ask(poll, (owner, slot));
        }
    }

    fn ask(&mut self, poll: &mut Poll, (owner, slot): (u8, usize)) {
        if self.probe.is_none() {
            let token = poll.token(owner, slot);
            self.probe = Connection::connect(poll, self.told.listen, token, Prober, (4096, 4096)).ok();
        }
        let Some(link) = &mut self.probe else { return };
        // What does not fit, or can't be sent, has not been answered for long: a new connection is tried.
        if !link.io.queue(&thrift::ask_well()) || link.flush(poll).is_err() {
            self.probe = None;
        }
    }

    /// Handles what happened to the connection that asks.
    pub fn ready(&mut self, poll: &mut Poll, now: u64, ready: PollEvent) {
        let Some(link) = self.probe.as_mut().filter(|l| l.io.token() == ready.token) else { return };
        let mut answers = Vec::new();
        let result = link.handle_event(poll, ready, &mut answers);
        let result = if link.io.read_closed { Err(Closed::Broken) } else { result };
        if let Some(well) = answers.last() {
            self.well_at = well.then_some(now);
        }
        if let Err(why) = result {
            self.probe = None;
            if why == Closed::NoConnect {
                self.well_at = None;
            }
        }
    }
}
