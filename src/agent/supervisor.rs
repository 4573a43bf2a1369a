//! The agent's event loop: supervises the instances, serves agent-check lines to load balancers, and answers the HTTP
//! requests of health checks and the command line. The number of connections and their lifetime are bounded.

use super::instance::{ManagedInstance, TargetState};
use crate::config::{Agent, Operator};
use crate::counters::print_line;
use crate::http::{self, Asked, Bad, Http, MOST_CALL};
use crate::net::{
    Accepted, Clock, Connection, Listener, Malformed, Poll, PollEvent, ProtocolHandler, Ring, SignalRequest,
    Signals,
};
use slab::Slab;
use std::fmt::Write;
use std::io;
use std::path::PathBuf;

const SIGNALS: u8 = 0;
const PROBES: u8 = 1;
const CHECKS: u8 = 2;
const HTTP: u8 = 3;
/// The owner number of all listeners.
const LISTENERS: u8 = 4;

/// The longest wait for events, hence the period at which processes are checked.
const POLL_PERIOD_US: u64 = 50_000;
/// The maximum lifetime of a connection, whether it sends no request or does not read its answer.
const CONNECTION_TIMEOUT_US: u64 = 10_000_000;
/// The maximum number of concurrent connections of each kind.
const MAX_CONNECTIONS: usize = 256;

/// The protocol handler of an agent-check connection, which discards all input.
struct AgentCheck;

impl ProtocolHandler for AgentCheck {
    type Out = ();

    fn on_received(&mut self, input: &mut Ring, _: &mut ()) -> Result<(), Malformed> {
        input.consume(input.len());
        Ok(())
    }
}

/// The agent.
pub struct Supervisor {
    poll: Poll,
    clock: Clock,
    agent: Agent,
    instances: Vec<ManagedInstance>,
    /// The first serves HTTP; the others serve the agent checks of the instance at the given index.
    listeners: Vec<(Listener, Option<usize>)>,
    checks: Slab<(Connection<AgentCheck>, u64)>,
    http_clients: Slab<(Connection<Http>, u64)>,
    signals: Signals,
    stopping: bool,
}

impl Supervisor {
    /// Opens the listeners; starts no instance yet.
    pub fn new(operator: Operator, file: PathBuf) -> io::Result<Supervisor> {
        let uses_stream = operator.control.as_ref().is_some_and(|c| c.stream.is_some());
        let agent = operator.agent.ok_or_else(|| io::Error::other("the operator's file has no [agent]"))?;
        let mut poll = Poll::new()?;
        let program = std::env::current_exe()?;
        let mut listeners = vec![(Listener::bind(&mut poll, LISTENERS, agent.listen)?, None)];
        for (i, instance) in agent.instances.iter().enumerate() {
            if let Some(check) = instance.check {
                listeners.push((Listener::bind(&mut poll, LISTENERS, check)?, Some(i)));
            }
        }
        let signals = Signals::new(&mut poll, SIGNALS)?;
        let manage = |spec| ManagedInstance::new(spec, program.clone(), file.clone(), uses_stream);
        let instances = agent.instances.iter().cloned().map(manage).collect();
        let (checks, http_clients) = (Slab::new(), Slab::new());
        let (clock, stopping) = (Clock::start(), false);
        Ok(Supervisor { poll, clock, agent, instances, listeners, checks, http_clients, signals, stopping })
    }

    /// Returns the address of its HTTP endpoint.
    pub fn address(&self) -> Option<std::net::SocketAddr> {
        self.listeners.first().and_then(|(l, _)| l.address().ok())
    }

    /// Runs until a stop signal arrives and all instances have ended.
    pub fn run(&mut self) -> io::Result<()> {
        let mut events = Vec::new();
        loop {
            self.poll.wait(POLL_PERIOD_US, &mut events)?;
            let now = self.clock.read();
            for event in events.drain(..) {
                self.handle_event(now, event);
            }
            self.handle_signals(now);
            for (slot, instance) in self.instances.iter_mut().enumerate() {
                instance.advance(&mut self.poll, now, &self.agent, (PROBES, slot));
            }
            self.checks.retain(|_, (connection, since)| {
                now < *since + CONNECTION_TIMEOUT_US
                    && !(connection.io.unsent_bytes() == 0 && connection.io.read_closed)
            });
            self.http_clients.retain(|_, (_, since)| now < *since + CONNECTION_TIMEOUT_US);
            if self.stopping && self.instances.iter().all(|i| !i.is_running()) {
                return Ok(());
            }
        }
    }

    fn handle_signals(&mut self, now: u64) {
        for request in self.signals.take_requests() {
            match request {
                SignalRequest::Stop => {
                    self.stopping = true;
                    self.instances.iter_mut().for_each(|i| i.stop_now(now));
                }
                SignalRequest::PrintCounters => print_line(self.status()),
                // The instances reload their configuration; the agent's own is not reloaded.
                SignalRequest::Reload => self.instances.iter().for_each(ManagedInstance::reload),
            }
        }
    }

    fn handle_event(&mut self, now: u64, event: PollEvent) {
        let slot = event.token.slot as usize;
        match event.token.owner {
            SIGNALS => self.signals.drain_wakeup(event.token),
            PROBES => {
                if let Some(instance) = self.instances.get_mut(slot) {
                    instance.handle_event(&mut self.poll, now, event);
                }
            }
            CHECKS => {
                let Some((connection, _)) = self.checks.get_mut(slot) else { return };
                let result = connection.handle_event(&mut self.poll, event, &mut ());
                if result.is_err() || connection.io.read_closed {
                    self.checks.try_remove(slot);
                }
            }
            HTTP => self.handle_http(now, slot, event),
            _ => self.accept(now, event),
        }
    }

    fn accept(&mut self, now: u64, event: PollEvent) {
        let found =
            self.listeners.iter().find(|(l, _)| l.owns_token(event.token)).map(|(l, i)| (l.accept(), *i));
        let Some((Accepted::Connection(fd), instance)) = found else { return };
        match instance {
            Some(instance) if self.checks.len() < MAX_CONNECTIONS => {
                let line = self.agent_check_line(instance);
                let entry = self.checks.vacant_entry();
                let token = self.poll.token(CHECKS, entry.key());
                if let Ok(mut connection) =
                    Connection::accepted(&self.poll, fd, token, AgentCheck, (1024, 1024))
                {
                    let _ = connection.io.queue(line.as_bytes());
                    let _ = connection.flush(&self.poll);
                    // Closing a socket with unread input resets the connection, and the line could be lost. So
                    // only the sending side is shut down; the connection is dropped when the balancer closes.
                    connection.io.shutdown_write();
                    entry.insert((connection, now));
                }
            }
            None if self.http_clients.len() < MAX_CONNECTIONS => {
                let entry = self.http_clients.vacant_entry();
                let token = self.poll.token(HTTP, entry.key());
                if let Ok(connection) =
                    Connection::accepted(&self.poll, fd, token, Http::default(), (MOST_CALL, 1 << 20))
                {
                    entry.insert((connection, now));
                }
            }
            _ => {}
        }
    }

    /// Returns the agent-check line of an instance. `up` clears a `down` that was reported to a balancer before.
    fn agent_check_line(&self, instance: usize) -> String {
        match self.instances[instance].status() {
            "ready" => "ready up\n".to_string(),
            status => format!("{status}\n"),
        }
    }

    fn handle_http(&mut self, now: u64, slot: usize, event: PollEvent) {
        let Some((connection, _)) = self.http_clients.get_mut(slot) else { return };
        let mut requests = Vec::new();
        let mut result = connection.handle_event(&mut self.poll, event, &mut requests);
        for request in requests {
            let (status, body) = match request {
                Ok(request) => self.answer(now, &request),
                Err(Bad(status)) => (status, "no HTTP call\n".to_string()),
            };
            if let Some((connection, _)) = self.http_clients.get_mut(slot) {
                let _ = connection.io.queue(&http::answer(status, &body));
                result = result.and_then(|()| connection.flush(&self.poll));
            }
        }
        let Some((connection, _)) = self.http_clients.get(slot) else { return };
        let answered = connection.io.queued > 0 && connection.io.unsent_bytes() == 0;
        if result.is_err() || answered || (connection.io.read_closed && connection.io.queued == 0) {
            self.http_clients.try_remove(slot);
        }
    }

    fn answer(&mut self, now: u64, request: &Asked) -> (u16, String) {
        let mut parts = request.path.trim_matches('/').splitn(2, '/');
        let (verb, name) = (parts.next().unwrap_or_default(), parts.next());
        let get = request.method == "GET" || request.method == "HEAD";
        let index = name.map(|n| self.instances.iter().position(|i| i.spec.name == n));
        let health = |status: &str| (if status == "ready" { 200 } else { 503 }, format!("{status}\n"));
        let target = match verb {
            "health" if get => {
                return match index {
                    Some(Some(i)) => health(self.instances[i].status()),
                    Some(None) => (404, "no such instance\n".to_string()),
                    None if self.instances.iter().any(|i| i.status() == "ready") => health("ready"),
                    None => health("down"),
                };
            }
            "status" if get => return (200, self.status()),
            "drain" => TargetState::Drained,
            "ready" => TargetState::Ready,
            "restart" => TargetState::Restarted,
            "stop" => TargetState::Stopped,
            _ => return (404, "not found\n".to_string()),
        };
        if request.method != "POST" {
            return (405, "POST is wanted\n".to_string());
        }
        let Some(Some(index)) = index else { return (404, "no such instance\n".to_string()) };
        if !self.stopping {
            self.instances[index].set_target(now, &self.agent, target);
        }
        (200, format!("{}\n", self.instances[index].status()))
    }

    /// Returns one status line per instance.
    fn status(&self) -> String {
        let mut out = String::new();
        for i in &self.instances {
            let pid = i.pid().map_or("-".to_string(), |p| p.to_string());
            let _ = writeln!(
                out,
                "{} {} {} pid={pid} starts={}",
                i.spec.name,
                i.status(),
                i.spec.listen,
                i.starts
            );
        }
        out
    }
}
