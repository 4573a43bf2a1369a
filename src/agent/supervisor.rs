//! The agent's loop: instances, agent-check lines for balancers, HTTP for health checks and the command line.

use super::instance::{Managed, Wanted};
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
/// Listeners are numbered from here.
const LISTENERS: u8 = 4;

/// How often processes are looked after.
const EVERY: u64 = 50_000;
/// A connection that asks nothing, or takes no answer, for this long is closed.
const IDLE: u64 = 10_000_000;
/// Connections of each kind at a time.
const MOST: usize = 256;

/// Who asks for an agent-check line; what it sends does not matter.
struct Checker;

impl ProtocolHandler for Checker {
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
    instances: Vec<Managed>,
    /// The first answers HTTP; the others are the agent-checks of these instances.
    listeners: Vec<(Listener, Option<usize>)>,
    checks: Slab<(Connection<Checker>, u64)>,
    asking: Slab<(Connection<Http>, u64)>,
    signals: Signals,
    stopping: bool,
}

impl Supervisor {
    /// Listens; starts nothing yet.
    pub fn new(operator: Operator, file: PathBuf) -> io::Result<Supervisor> {
        let streams = operator.control.as_ref().is_some_and(|c| c.stream.is_some());
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
        let manage = |told| Managed::new(told, program.clone(), file.clone(), streams);
        let instances = agent.instances.iter().cloned().map(manage).collect();
        let (checks, asking) = (Slab::new(), Slab::new());
        let (clock, stopping) = (Clock::start(), false);
        Ok(Supervisor { poll, clock, agent, instances, listeners, checks, asking, signals, stopping })
    }

    /// Where it answers HTTP.
    pub fn address(&self) -> Option<std::net::SocketAddr> {
        self.listeners.first().and_then(|(l, _)| l.address().ok())
    }

    /// Runs until it is told to stop and all instances have ended.
    pub fn run(&mut self) -> io::Result<()> {
        let mut happened = Vec::new();
        loop {
            self.poll.wait(EVERY, &mut happened)?;
            let now = self.clock.read();
            for ready in happened.drain(..) {
                self.ready(now, ready);
            }
            self.obey_signals(now);
            for (slot, instance) in self.instances.iter_mut().enumerate() {
                instance.advance(&mut self.poll, now, &self.agent, (PROBES, slot));
            }
            self.checks.retain(|_, (link, since)| {
                now < *since + IDLE && !(link.io.unsent_bytes() == 0 && link.io.read_closed)
            });
            self.asking.retain(|_, (_, since)| now < *since + IDLE);
            if self.stopping && self.instances.iter().all(|i| !i.runs()) {
                return Ok(());
            }
        }
    }

    fn obey_signals(&mut self, now: u64) {
        for wish in self.signals.take_requests() {
            match wish {
                SignalRequest::Stop => {
                    self.stopping = true;
                    self.instances.iter_mut().for_each(|i| i.end_now(now));
                }
                SignalRequest::PrintCounters => print_line(self.status()),
                // The instances read their own configuration again; the agent's own stays.
                SignalRequest::Reload => self.instances.iter().for_each(Managed::reload),
            }
        }
    }

    fn ready(&mut self, now: u64, ready: PollEvent) {
        let slot = ready.token.slot as usize;
        match ready.token.owner {
            SIGNALS => self.signals.drain_wakeup(ready.token),
            PROBES => {
                if let Some(instance) = self.instances.get_mut(slot) {
                    instance.ready(&mut self.poll, now, ready);
                }
            }
            CHECKS => {
                let Some((link, _)) = self.checks.get_mut(slot) else { return };
                let result = link.handle_event(&mut self.poll, ready, &mut ());
                if result.is_err() || link.io.read_closed {
                    self.checks.try_remove(slot);
                }
            }
            HTTP => self.asked(now, slot, ready),
            _ => self.accept(now, ready),
        }
    }

    fn accept(&mut self, now: u64, ready: PollEvent) {
        let found =
            self.listeners.iter().find(|(l, _)| l.owns_token(ready.token)).map(|(l, i)| (l.accept(), *i));
        let Some((Accepted::Connection(fd), instance)) = found else { return };
        match instance {
            Some(instance) if self.checks.len() < MOST => {
                let line = self.line(instance);
                let entry = self.checks.vacant_entry();
                let token = self.poll.token(CHECKS, entry.key());
                if let Ok(mut link) = Connection::accepted(&self.poll, fd, token, Checker, (1024, 1024)) {
                    let _ = link.io.queue(line.as_bytes());
                    let _ = link.flush(&self.poll);
                    // Danger: a close while something the balancer sent is unread resets the connection, and
                    // the line may be lost. So only our side ends; the connection goes when the other does.
                    link.io.shutdown_write();
                    entry.insert((link, now));
                }
            }
            None if self.asking.len() < MOST => {
                let entry = self.asking.vacant_entry();
                let token = self.poll.token(HTTP, entry.key());
                if let Ok(link) =
                    Connection::accepted(&self.poll, fd, token, Http::default(), (MOST_CALL, 1 << 20))
                {
                    entry.insert((link, now));
                }
            }
            _ => {}
        }
    }

    /// The agent-check line of an instance. `up` undoes a `down` that a balancer was told before.
    fn line(&self, instance: usize) -> String {
        match self.instances[instance].word() {
            "ready" => "ready up\n".to_string(),
            word => format!("{word}\n"),
        }
    }

    fn asked(&mut self, now: u64, slot: usize, ready: PollEvent) {
        let Some((link, _)) = self.asking.get_mut(slot) else { return };
        let mut asked = Vec::new();
        let mut result = link.handle_event(&mut self.poll, ready, &mut asked);
        for request in asked {
            let (status, body) = match request {
                Ok(request) => self.answer(now, &request),
                Err(Bad(status)) => (status, "no HTTP call\n".to_string()),
            };
            if let Some((link, _)) = self.asking.get_mut(slot) {
                let _ = link.io.queue(&http::answer(status, &body));
                result = result.and_then(|()| link.flush(&self.poll));
            }
        }
        let Some((link, _)) = self.asking.get(slot) else { return };
        let answered = link.io.queued > 0 && link.io.unsent_bytes() == 0;
        if result.is_err() || answered || (link.io.read_closed && link.io.queued == 0) {
            self.asking.try_remove(slot);
        }
    }

    fn answer(&mut self, now: u64, asked: &Asked) -> (u16, String) {
        let mut parts = asked.path.trim_matches('/').splitn(2, '/');
        let (verb, name) = (parts.next().unwrap_or_default(), parts.next());
        let get = asked.method == "GET" || asked.method == "HEAD";
        let place = name.map(|n| self.instances.iter().position(|i| i.told.name == n));
        let health = |word: &str| (if word == "ready" { 200 } else { 503 }, format!("{word}\n"));
        let wanted = match verb {
            "health" if get => {
                return match place {
                    Some(Some(i)) => health(self.instances[i].word()),
                    Some(None) => (404, "no such instance\n".to_string()),
                    None if self.instances.iter().any(|i| i.word() == "ready") => health("ready"),
                    None => health("down"),
                };
            }
            "status" if get => return (200, self.status()),
            "drain" => Wanted::Drained,
            "ready" => Wanted::Ready,
            "restart" => Wanted::Restarted,
            "stop" => Wanted::Stopped,
            _ => return (404, "not found\n".to_string()),
        };
        if asked.method != "POST" {
            return (405, "POST is wanted\n".to_string());
        }
        let Some(Some(place)) = place else { return (404, "no such instance\n".to_string()) };
        if !self.stopping {
            self.instances[place].want(now, &self.agent, wanted);
        }
        (200, format!("{}\n", self.instances[place].word()))
    }

    /// One line an instance.
    fn status(&self) -> String {
        let mut out = String::new();
        for i in &self.instances {
            let pid = i.pid().map_or("-".to_string(), |p| p.to_string());
            let _ =
                writeln!(out, "{} {} {} pid={pid} starts={}", i.told.name, i.word(), i.told.listen, i.starts);
        }
        out
    }
}
