//! One dispatcher: the loop that carries what the fronts, the executors and the name service say to the core,
//! and what the core wants done back to them.

use crate::api::WorkerId;
use crate::bans::Bans;
use crate::config::{Config, Settings};
use crate::core::Engine;
use crate::counters::{Counters, most, say};
use crate::door::Door;
use crate::executor::Pool;
use crate::front::{mqtt, stations, thrift};
use crate::handover::Handover;
use crate::names::{self, Executor, Resolver};
use crate::net::{Clock, Listener, Poll, Ready, Signals, Wish};
use crate::overload::{self as load, Overload};
use crate::peers::{self, Peers};
use crate::versions::Stream;
use crate::zones::{self as zone, Zones};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io;
use std::rc::Rc;
use tracing::info;

mod beside;
mod dispatch;
mod jobs;
mod limits;
mod listing;
mod operators;
mod overload;
mod peering;
mod reload;
mod shutdown;
mod versions;
mod zones;

use limits::limits;
use shutdown::LAST_CALLS;

const SIGNALS: u8 = 0;
const NAMES: u8 = 1;
const EXECUTORS: u8 = 2;
const THRIFT: u8 = 3;
const DOOR: u8 = 4;
const STREAM: u8 = 5;
const KEEPER: u8 = 6;
const STATIONS: u8 = 7;
const PEERS: u8 = 8;
/// Fronts that speak MQTT are numbered from here.
const MQTT: u8 = 16;
/// A turn after one that took so long, or that begins this much later than it should have, in microseconds, first looks for
/// what came meanwhile.
const LATE: u64 = 20_000;

/// A running dispatcher.
pub struct Node {
    poll: Poll,
    clock: Clock,
    now: u64,
    started: u64,
    /// Where the process stood still before this turn: the time since it last read, in microseconds. What it reads now may
    /// have waited so long, and its clients count from when they sent.
    stood: u64,
    config: Config,
    settings: Settings,
    engine: Engine,
    thrift: thrift::Front,
    mqtt: mqtt::Fronts,
    /// Brokers of the operator's file, and those of a version, which take their place.
    brokers: Vec<mqtt::Options>,
    streamed_brokers: Option<Vec<mqtt::Options>>,
    /// Where stations connect, once no other process does that.
    listen: Option<stations::Options>,
    stations: Option<stations::Front>,
    /// Where configuration is streamed from.
    stream: Option<Stream>,
    /// Executors that the version in use leaves out.
    streamed_bans: BTreeSet<WorkerId>,
    /// There are no settings yet: nothing is taken.
    unconfigured: bool,
    /// How other dispatchers are found, and they themselves once no other process of this one speaks.
    company: Option<peers::Options>,
    peers: Option<Peers>,
    overload: Option<Overload>,
    zones: Option<Zones>,
    door: Option<Door>,
    bans: Bans,
    bans_at: u64,
    handover: Handover,
    /// The list as it was last told, and whether it is known to be that of now.
    executors: Vec<Executor>,
    known: bool,
    /// When the name service last answered, or this process began.
    heard_names: u64,
    /// Every id that was ever listed.
    listed: BTreeSet<WorkerId>,
    /// When executors that tell their start were first listed.
    first_listed: BTreeMap<WorkerId, u64>,
    /// When executors were taken back into use: they start cold.
    attached: BTreeMap<WorkerId, u64>,
    pool: Pool,
    resolver: Resolver,
    signals: Signals,
    /// Keeps a descriptor for reading a new configuration and moving to the name service that it tells of, however many
    /// clients there are; none while it is lent, or where none was left.
    spare: Option<File>,
    draining: Option<u64>,
    counters: Rc<Counters>,
}

impl Node {
    /// Sets everything up; listens from here on.
    pub fn new(
        mut config: Config,
        brokers: Vec<mqtt::Options>,
        told: Option<&crate::config::Stream>,
        listen: Option<stations::Options>,
        (company, budgets, zones): (Option<peers::Options>, Option<load::Options>, Option<zone::Options>),
        function_bytes: Option<usize>,
    ) -> io::Result<Node> {
        let clock = Clock::start();
        let now = clock.read();
        let mut poll = Poll::new()?;
        // Danger: a signal that comes before it is handled ends the process, with who waits at the listener.
        let signals = Signals::new(&mut poll, SIGNALS)?;
        let counters = Rc::new(Counters::default());
        let listener = match config.inherited {
            Some(number) => Listener::inherit(&mut poll, THRIFT, number)?,
            None => Listener::bind(&mut poll, THRIFT, config.listen)?,
        };
        let handover = Handover::begin(config.folder.clone(), now);
        let dormant = handover.shared();
        let own = Node::own_file(&config);
        let mut begun = versions::Begun::default();
        if let Some(told) = told {
            begun = versions::begin(&mut poll, now, &mut config, (told, own), dormant, &counters)?;
        }
        let settings = config.parts.settings.clone();
        let (bounds, pool_limits, front_limits, places) =
            limits(&config, &settings, handover.shared(), listen.as_ref().map_or(0, |l| l.connections));
        let mut engine = Engine::new(&settings.module, config.seed, now, bounds, counters.clone());
        engine.bound_functions(limits::function_bytes(&config, function_bytes, handover.shared()));
        let pool = Pool::new(EXECUTORS, pool_limits, counters.clone());
        let service = crate::config::SERVICE;
        let (serial, executors) = std::mem::take(&mut config.known);
        let start = names::Start { serial, executors, seed: config.seed, now };
        let resolver = Resolver::new(&mut poll, NAMES, config.names, service, start, counters.clone())?;
        let thrift = thrift::Front::new(THRIFT, listener, front_limits, counters.clone());
        let door = |ops| Door::new(&mut poll, DOOR, ops, places, counters.clone());
        let door = config.ops.map(door).transpose()?;
        let bans = Bans::open(config.folder.as_ref().map(|f| f.join("bans")));
        let executors = resolver.in_use().to_vec();
        let mut node = Node {
            poll,
            clock,
            now,
            started: now,
            stood: 0,
            settings,
            engine,
            thrift,
            mqtt: mqtt::Fronts::new(MQTT, counters.clone()),
            brokers,
            listen,
            stations: None,
            streamed_brokers: begun.brokers,
            unconfigured: config.bare && begun.stream.as_ref().is_some_and(|s| s.version().is_none()),
            stream: begun.stream,
            streamed_bans: begun.bans,
            company,
            peers: None,
            overload: budgets.map(|o| Overload::new(o, now << 12 | config.seed & 0xfff, now)),
            zones: None,
            door,
            bans,
            bans_at: now,
            known: !handover.shared() && !executors.is_empty(),
            heard_names: now,
            handover,
            executors,
            listed: BTreeSet::new(),
            first_listed: BTreeMap::new(),
            attached: BTreeMap::new(),
            pool,
            resolver,
            signals,
            spare: None,
            draining: None,
            counters,
            config,
        };
        if let Some(options) = zones {
            let home = node.company.as_ref().map_or(String::new(), |c| c.zone.clone());
            node.zones = Some(Zones::new(&options, &node.settings.module, &home, now));
            node.engine.trace();
        }
        node.spare();
        node.relist();
        node.open();
        node.trigger();
        node.invite()?;
        node.meet()?;
        node.settle();
        Ok(node)
    }

    /// The address that clients connect to.
    pub fn address(&self) -> Option<std::net::SocketAddr> {
        self.thrift.address()
    }

    /// The address that stations connect to.
    pub fn stations(&self) -> Option<std::net::SocketAddr> {
        self.stations.as_ref().and_then(stations::Front::address)
    }

    /// The address that operators call.
    pub fn door(&self) -> Option<std::net::SocketAddr> {
        self.door.as_ref().and_then(Door::address)
    }

    /// The address at which other dispatchers reach this one.
    pub fn peers(&self) -> Option<std::net::SocketAddr> {
        self.peers.as_ref().map(Peers::address)
    }

    /// Serves until SIGTERM, and until all is settled then.
    pub fn run(&mut self) -> io::Result<()> {
        let mut happened: Vec<Ready> = Vec::new();
        loop {
            let (read, began) = (self.now, self.clock.read());
            let wait = self.due().saturating_sub(began);
            most(&self.counters.loop_lag_most_us, began - self.now);
            self.poll.wait(wait, &mut happened)?;
            self.now = self.clock.read();
            // Danger: the process stood still; a client may have gone since, and what is due would send its request on.
            let overslept = self.now.saturating_sub(began.saturating_add(wait));
            let late = (began - read).max(overslept) >= LATE;
            self.stood = if late { self.now - read } else { 0 };
            if self.stood > 0 {
                happened.clear();
                self.poll.wait(0, &mut happened)?;
            }
            // Answers of the name service first: a connection that is ready in the same turn writes what waits on it, and must
            // not write to a worker that one of them tells to drain.
            happened.sort_by_key(|ready| ready.token.owner != NAMES);
            self.pool.list_was_read();
            // After the process stood still, nothing is written before all that was read and all timers have been acted on: what
            // waits for its connection may be past its key's window or its client's time by now.
            if late {
                self.pool.hold_writes();
            }
            // All is read before any of it is acted on. Danger: of what has come meanwhile, word that a client has gone may
            // lie behind an answer that would have its request sent on, and an executor's close behind a new request.
            happened.drain(..).for_each(|ready| self.ready(ready));
            self.obey_signals();
            self.settle();
            self.engine.advance(self.now);
            self.pool.advance(self.now);
            self.thrift.advance(&mut self.poll, self.now);
            self.resolver.advance(&mut self.poll, self.now);
            if let Some(door) = &mut self.door {
                door.advance(&mut self.poll, self.now);
            }
            self.beside();
            self.peers_advance();
            self.notes();
            self.overload_advance();
            self.zones_advance();
            self.budget_advance();
            self.mqtt.advance(&mut self.poll, self.now);
            self.stream_advance();
            if let Some(front) = &mut self.stations {
                front.advance(&mut self.poll, self.now);
            }
            self.settle();
            self.release_writes();
            if self.finished() {
                return Ok(());
            }
        }
    }

    /// When something is next to be done, whatever happens.
    fn due(&self) -> u64 {
        let grace = self.shutdown_due();
        let bans = Some(self.bans_at).filter(|_| self.handover.shared());
        let door = self.door.as_ref().map(Door::due);
        let parts = [self.engine.due(), self.pool.due(), grace, bans, door, Some(self.handover.due())];
        let own = parts.into_iter().flatten().chain([
            self.mqtt.due(),
            self.stream.as_ref().map_or(u64::MAX, Stream::due),
            self.stations.as_ref().map_or(u64::MAX, stations::Front::due),
            self.peers_due().min(self.overload_due()).min(self.zones_due()),
        ]);
        own.min().unwrap_or(u64::MAX).min(self.thrift.due()).min(self.resolver.due())
    }

    /// The counters, as one line.
    pub fn counters(&self) -> String {
        self.counters.log_events_dropped.set(crate::logs::dropped());
        if let Some(stream) = &self.stream {
            stream.tell_staleness(self.clock.read());
        }
        self.counters.to_string()
    }

    fn ready(&mut self, ready: Ready) {
        match ready.token.owner {
            NAMES => {
                if self.resolver.ready(&mut self.poll, self.now, ready) {
                    self.list_changed();
                }
                self.known |= self.counters.dns_answers.get() > 0;
                self.heard_names = self.now;
            }
            EXECUTORS => self.pool.ready(&mut self.poll, self.now, ready),
            THRIFT => self.thrift.ready(&mut self.poll, self.now, ready),
            DOOR => self.operators(ready),
            STREAM | KEEPER => self.stream_ready(ready),
            PEERS => self.peers.iter_mut().for_each(|p| p.ready(&mut self.poll, self.now, ready)),
            STATIONS => {
                if let Some(front) = &mut self.stations {
                    front.ready(&mut self.poll, self.now, ready);
                }
            }
            MQTT.. => {
                let unix_ms = self.clock.unix_ms(self.now);
                self.mqtt.ready(&mut self.poll, self.now, unix_ms, ready);
            }
            _ => self.signals.ready(ready.token),
        }
    }

    /// Does what signals have asked for.
    fn obey_signals(&mut self) {
        for wish in self.signals.asked() {
            match wish {
                Wish::Stop => self.begin_to_end(),
                Wish::Print => say(self.counters()),
                Wish::Reload => self.reload(),
            }
        }
    }

    /// Settles from here on.
    fn begin_to_end(&mut self) {
        if self.draining.is_none() {
            info!(instance = self.config.name, followed = self.handover.followed(), "settles and ends");
        }
        self.draining.get_or_insert(self.now);
        if self.handover.followed() {
            // The successor takes what comes from here on.
            self.thrift.shut(&self.poll);
            self.thrift.leave(self.now, self.now + self.longest().saturating_sub(LAST_CALLS));
        }
    }

    /// Takes connections, or leaves them to wait while there is nothing to serve them by.
    fn open(&mut self) {
        self.thrift.accepting(&self.poll, !self.handover.waits() && !self.unconfigured);
    }

    /// Begins to take triggers. Danger: a broker's session belongs to one process at a time; two would take it from
    /// each other, and messages would come twice.
    fn trigger(&mut self) {
        if !self.handover.shared() {
            let brokers = self.streamed_brokers.as_ref().unwrap_or(&self.brokers).clone();
            self.mqtt.want(&self.poll, brokers);
        }
    }

    /// Has stations connect here. Danger: the address is one process's at a time.
    fn invite(&mut self) -> io::Result<()> {
        if !self.handover.shared() && self.stations.is_none() && self.draining.is_none() {
            let front =
                |options| stations::Front::new(&mut self.poll, STATIONS, options, self.counters.clone());
            self.stations = self.listen.clone().map(front).transpose()?;
        }
        Ok(())
    }
}
