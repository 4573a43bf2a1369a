//! One dispatcher: the loop that carries what the fronts, the executors and the name service say to the core,
//! and what the core wants done back to them.

use crate::api::{Effect, Listing};
use crate::config::{Config, Settings};
use crate::core::{Bounds, Command, Engine, Job, Ticket};
use crate::counters::{Counters, count, most, say};
use crate::executor::{self, Pool, Report};
use crate::front::{Intake, Invalid, Sketch, mqtt, thrift};
use crate::names::{Executor, Resolver};
use crate::net::{Clock, Poll, Ready, Signals, Wish};
use std::io::{self, Write};
use std::rc::Rc;

const SIGNALS: u8 = 0;
const NAMES: u8 = 1;
const EXECUTORS: u8 = 2;
const THRIFT: u8 = 3;
/// Fronts that speak MQTT are numbered from here.
const MQTT: u8 = 16;

/// Kept off a request's time: the way to and from the client, and a late turn of the loop. The client's count
/// began when it sent.
const MARGIN: u64 = 10_000;
/// After SIGTERM, requests keep coming for this long and are served as always.
const GRACE: u64 = 750_000;
/// What is still unsettled this long after SIGTERM is given up: the longest deadline has passed.
const PATIENCE: u64 = 30_000_000;
/// The largest body of a request, or of an answer.
const MOST_BODY: usize = 16 * 1024;
/// The longest line that an executor's answer may take: its body in base64, and as much again.
const LEAST_LINE: usize = MOST_BODY / 3 * 4 * 2;
/// Descriptors kept for all that is no connection.
const RESERVED: usize = 32;

/// A running dispatcher.
pub struct Node {
    poll: Poll,
    clock: Clock,
    now: u64,
    settings: Settings,
    engine: Engine,
    thrift: thrift::Front,
    mqtt: Vec<mqtt::Front>,
    pool: Pool,
    resolver: Resolver,
    signals: Signals,
    draining: Option<u64>,
    counters: Rc<Counters>,
}

impl Node {
    /// Sets everything up; listens from here on.
    pub fn new(config: Config, brokers: Vec<mqtt::Options>) -> io::Result<Node> {
        let clock = Clock::start();
        let now = clock.read();
        let mut poll = Poll::new()?;
        let counters = Rc::new(Counters::default());
        let (bounds, pool_limits, front_limits) = limits(&config);
        let settings = config.settings;
        let engine = Engine::new(&settings.module, config.seed, now, bounds, counters.clone());
        let pool = Pool::new(EXECUTORS, pool_limits, counters.clone());
        let service = crate::config::SERVICE;
        let state = (config.known.0, config.seed);
        let resolver = Resolver::new(&mut poll, NAMES, config.names, service, state, counters.clone())?;
        let thrift = thrift::Front::new(&mut poll, THRIFT, config.listen, front_limits, counters.clone())?;
        let number = |(i, options)| mqtt::Front::new(MQTT + i as u8, options, counters.clone());
        let mqtt = brokers.into_iter().take(64).enumerate().map(number).collect();
        let signals = Signals::new(&mut poll, SIGNALS)?;
        let draining = None;
        let mut node = Node {
            poll,
            clock,
            now,
            settings,
            engine,
            thrift,
            mqtt,
            pool,
            resolver,
            signals,
            draining,
            counters,
        };
        node.list(&config.known.1);
        node.settle();
        Ok(node)
    }

    /// The address that clients connect to.
    pub fn address(&self) -> Option<std::net::SocketAddr> {
        self.thrift.address()
    }

    /// Serves until SIGTERM, and until all is settled then.
    pub fn run(&mut self) -> io::Result<()> {
        let mut happened: Vec<Ready> = Vec::new();
        loop {
            let wait = self.due().saturating_sub(self.clock.read());
            most(&self.counters.loop_lag_most_us, self.clock.read() - self.now);
            self.poll.wait(wait, &mut happened)?;
            self.now = self.clock.read();
            for ready in happened.drain(..) {
                self.ready(ready);
                self.settle();
            }
            self.engine.advance(self.now);
            self.pool.advance(self.now);
            self.thrift.advance(&mut self.poll, self.now);
            self.resolver.advance(self.now);
            self.mqtt.iter_mut().for_each(|f| f.advance(&mut self.poll, self.now));
            self.settle();
            if self.finished() {
                return Ok(());
            }
        }
    }

    /// When something is next to be done, whatever happens.
    fn due(&self) -> u64 {
        let grace = self.draining.map(|since| since + GRACE).filter(|end| *end > self.now);
        let parts = [self.engine.due(), self.pool.due(), grace];
        let own = parts.into_iter().flatten().chain(self.mqtt.iter().map(mqtt::Front::due));
        own.min().unwrap_or(u64::MAX).min(self.thrift.due()).min(self.resolver.due())
    }

    /// The counters, as one line.
    pub fn counters(&self) -> String {
        self.counters.to_string()
    }

    fn ready(&mut self, ready: Ready) {
        match ready.token.owner {
            NAMES => {
                if let Some(executors) = self.resolver.ready() {
                    count(&self.counters.lists_applied);
                    self.list(&executors);
                }
            }
            EXECUTORS => self.pool.ready(&mut self.poll, self.now, ready),
            THRIFT => self.thrift.ready(&mut self.poll, self.now, ready),
            owner @ MQTT.. => {
                let unix_ms = self.clock.unix_ms(self.now);
                if let Some(front) = self.mqtt.get_mut(usize::from(owner - MQTT)) {
                    front.ready(&mut self.poll, self.now, unix_ms, ready);
                }
            }
            _ => match self.signals.ready(ready.token) {
                Some(Wish::Stop) => {
                    self.draining.get_or_insert(self.now);
                }
                Some(Wish::Print) => say(&self.counters),
                Some(Wish::Reload) => self.reload(),
                None => {}
            },
        }
    }

    /// Reads the configuration again. Danger: a faulty one must cost nothing, so that nothing of it is taken
    /// before all of it has been checked.
    fn reload(&mut self) {
        let outcome = Config::from_environment().map_err(|e| e.to_string()).and_then(|c| self.adopt(c));
        match outcome {
            Ok(()) => {
                count(&self.counters.reloads);
                say("ochreward: the new configuration is in use");
            }
            Err(why) => {
                count(&self.counters.reloads_refused);
                let _ = writeln!(io::stderr(), "ochreward: the old configuration stays in use: {why}");
            }
        }
    }

    /// Goes on with a new configuration; requests, numbers and all that was learned stay.
    fn adopt(&mut self, config: Config) -> Result<(), String> {
        config.settings.follows(&self.settings).map_err(|e| e.to_string())?;
        self.resolver
            .move_to(&mut self.poll, config.names)
            .map_err(|e| format!("configuration, key 'names': {e}"))?;
        let (bounds, pool_limits, front_limits) = limits(&config);
        self.engine.configure(&config.settings.module, bounds);
        self.pool.bound(pool_limits);
        self.thrift.bound(front_limits);
        self.settings = config.settings;
        let (serial, executors) = config.known;
        if self.resolver.told(serial) {
            self.list(&executors);
        }
        Ok(())
    }

    fn list(&mut self, executors: &[Executor]) {
        self.pool.list(executors);
        let listing = |e: &Executor| -> Listing {
            let ready_at = (e.started_ms > 0).then(|| self.clock.from_unix_ms(e.started_ms));
            self.settings.vocabulary.listing(e, ready_at)
        };
        let entries = executors.iter().map(listing).collect();
        self.engine.list(self.now, entries);
    }

    /// Carries everything to and fro until nothing is left to carry.
    fn settle(&mut self) {
        loop {
            let mut intake = std::mem::take(&mut self.thrift.intake);
            self.mqtt.iter_mut().for_each(|f| intake.append(&mut f.intake));
            let reports = std::mem::take(&mut self.pool.reports);
            if intake.is_empty() && reports.is_empty() && self.engine.commands.is_empty() {
                return;
            }
            for report in reports {
                match report {
                    Report::Attempt(id, ended) => self.engine.ended(self.now, id, ended),
                    Report::Order(order, outcome, copies) => {
                        self.engine.loaded(self.now, order, outcome, copies)
                    }
                }
            }
            for asked in intake {
                match asked {
                    Intake::Serve { ticket, sketch, body, age_us, again } => {
                        match job(&self.settings, sketch, body, age_us, again) {
                            Ok(job) => self.engine.take(self.now, ticket, job),
                            Err(invalid) => self.invalid(ticket, &invalid),
                        }
                    }
                    Intake::Forget(ticket) => self.engine.forget(self.now, ticket),
                }
            }
            while let Some(command) = self.engine.commands.pop_front() {
                self.command(command);
            }
        }
    }

    fn command(&mut self, command: Command) {
        let (poll, now) = (&mut self.poll, self.now);
        match command {
            Command::Send { attempt, worker, wait, job } => {
                self.pool.send(poll, now, attempt, &worker, wait, &job)
            }
            Command::Halt { attempt } => self.pool.halt(poll, now, attempt),
            Command::Load { order, worker, function, copies } => {
                self.pool.load(poll, now, order, &worker, &function, copies)
            }
            Command::Answer { ticket, answer } => {
                match self.mqtt.get_mut(usize::from(ticket.front.wrapping_sub(MQTT))) {
                    Some(front) => front.answer(poll, now, ticket, answer),
                    None => self.thrift.answer(poll, now, ticket, &answer),
                }
            }
        }
    }

    fn invalid(&mut self, ticket: Ticket, invalid: &Invalid) {
        match self.mqtt.get_mut(usize::from(ticket.front.wrapping_sub(MQTT))) {
            Some(front) => front.invalid(&self.poll, self.now, ticket, invalid),
            None => self.thrift.invalid(&self.poll, self.now, ticket, invalid),
        }
    }

    fn finished(&mut self) -> bool {
        let Some(since) = self.draining else { return false };
        if self.now < since + GRACE {
            return false;
        }
        self.thrift.stop_listening();
        self.mqtt.iter_mut().for_each(mqtt::Front::stop);
        let settled =
            self.engine.owed() == 0 && !self.thrift.unsent() && self.mqtt.iter().all(mqtt::Front::settled);
        let over = settled || self.now >= since + PATIENCE;
        if over {
            self.mqtt.iter_mut().for_each(|f| f.leave(&self.poll));
        }
        over
    }
}

/// What bounds the parts, derived from the configuration.
fn limits(config: &Config) -> (Bounds, executor::Limits, thrift::Limits) {
    let settings = &config.settings;
    let (memory, sockets) = (config.resources.memory, config.resources.sockets);
    // Danger: usual clients hold a third at most, but those that ask once and stay, or say nothing, come on top;
    // with no room beyond the third, connections wait in the queue of the system while their time runs. So
    // executors are kept a quarter, many times what they need, and clients may have the rest.
    let executors = (sockets / 4).max(8);
    let clients = sockets.saturating_sub(executors + RESERVED).max(8);
    let bounds = Bounds {
        attempts: settings.module.max_attempts,
        load_wait: settings.load_wait,
        held_bytes: memory / 8,
        held_requests: settings.max_open,
        retry_after: settings.module.max_retry_after,
        send_lag: settings.connect_timeout + MARGIN,
    };
    let pool = executor::Limits {
        connections: executors,
        // Danger: answers that never end, on all connections at once, must not fill the memory.
        line: (memory / 4 / executors).clamp(LEAST_LINE, executor::MOST_LINE),
        streams: settings.streams_per_conn,
        connect_timeout: settings.connect_timeout,
        keepalive: settings.keepalive,
        classes: settings.classes.clone(),
        tells_warm: settings.tells_warm,
        tells_crowd: settings.tells_crowd,
    };
    (bounds, pool, thrift::Limits { connections: clients, unsent: memory / 8 })
}

/// A request's figures with the settings' names looked up.
fn job(settings: &Settings, sketch: Sketch, body: Vec<u8>, age_us: u64, again: bool) -> Result<Job, Invalid> {
    let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
    let class = place(&settings.classes, &sketch.class);
    let class = class.ok_or(Invalid { field: "op", why: "is no class of the settings" })?;
    // Danger: without its key a repeat of a keyed request is not dropped by anyone.
    if settings.module.classes[class].effect == Effect::Deduplicated && sketch.key.is_none() {
        return Err(Invalid { field: "dedupe", why: "is missing, and the class is keyed" });
    }
    // Danger: what is larger than the protocol allows may not be readable for an executor, which then closes a
    // connection that others' requests share.
    if body.len() > MOST_BODY {
        return Err(Invalid { field: "body", why: "is larger than 16 KiB" });
    }
    // A client waits for its class's time at the most; one that claims far more is not to be believed.
    if sketch.ttl_us > settings.module.classes[class].deadline.saturating_mul(2) {
        return Err(Invalid { field: "ttl", why: "is far longer than the class's time" });
    }
    let tenant = match &sketch.tenant {
        Some(name) => place(&settings.tenants, name).ok_or(Invalid { field: "org", why: "is no tenant" })?,
        None if settings.tenants.is_empty() => 0,
        None => return Err(Invalid { field: "org", why: "is missing" }),
    };
    Ok(Job {
        class,
        tenant,
        function: sketch.function,
        lanes: sketch.lanes,
        load_time: sketch.load_us,
        time_left: sketch.ttl_us.saturating_sub(age_us).saturating_sub(MARGIN),
        call: sketch.call,
        key: sketch.key,
        body,
        repeat: again.then_some(age_us),
    })
}
