//! The event loop of one dispatcher process.
//!
//! [`Node`] owns the poll set and every part that has sockets or timers: the fronts, the executor pool, the resolver of
//! the name service, the operators' HTTP interface, the configuration stream and the peers. Each turn it reads what has
//! arrived, passes it to the core ([`Engine`]), carries out the core's commands, and runs the timers that are due. The
//! numbers of connections and bytes are bounded by `limits`; time is read once a turn, in microseconds.

use crate::admin::AdminEndpoint;
use crate::api::WorkerId;
use crate::bans::Bans;
use crate::config::{Config, Settings};
use crate::core::Engine;
use crate::counters::{Counters, print_line, record_max};
use crate::discovery::{self, Executor, Resolver, WorkerStarts};
use crate::executor::Pool;
use crate::front::{mqtt, stations, thrift};
use crate::handover::Handover;
use crate::net::{Clock, Listener, Poll, PollEvent, SignalRequest, Signals};
use crate::overload::{self as load, Overload};
use crate::peers::{self, Peers};
use crate::versions::ConfigStream;
use crate::zones::{self as zone, Zones};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io;
use std::rc::Rc;
use tracing::info;

mod dispatch;
mod handover;
mod limits;
mod listing;
mod operators;
mod overload;
mod peering;
mod reload;
mod request_specs;
mod shutdown;
mod versions;
mod zones;

use limits::derive_limits;
use shutdown::LAST_REQUESTS_US;

// The owner in a poll token: the part that a ready descriptor belongs to.
const SIGNALS: u8 = 0;
const NAMES: u8 = 1;
const EXECUTORS: u8 = 2;
const THRIFT: u8 = 3;
const DOOR: u8 = 4;
const STREAM: u8 = 5;
const VERSION_THREAD: u8 = 6;
const STATIONS: u8 = 7;
const PEERS: u8 = 8;
/// The owner of the first MQTT front; the others follow.
const FIRST_MQTT: u8 = 16;
/// If the previous turn took this long, or the poll returned this much after its time-out, the loop counts as stalled: it
/// polls once more, so that everything that arrived during the stall is read before anything is acted on.
const STALL_US: u64 = 20_000;

/// A running dispatcher.
pub struct Node {
    poll: Poll,
    clock: Clock,
    /// The time of this turn, read once after the poll.
    now: u64,
    /// When this process started.
    started: u64,
    /// After a stall, the time since the previous read, in microseconds; else 0. A request read now may have waited this
    /// long, while its client's time runs from when it was sent.
    stalled_us: u64,
    config: Config,
    settings: Settings,
    engine: Engine,
    thrift: thrift::Front,
    mqtt: mqtt::Fronts,
    /// The brokers in the operator's file; those of the running configuration version replace them.
    file_brokers: Vec<mqtt::Options>,
    version_brokers: Option<Vec<mqtt::Options>>,
    /// Where stations connect; the listener opens once no other process of this dispatcher holds the address.
    station_options: Option<stations::Options>,
    stations: Option<stations::Front>,
    /// The subscription to the control service, if configuration is streamed.
    stream: Option<ConfigStream>,
    /// Executors that the running configuration version bans.
    version_bans: BTreeSet<WorkerId>,
    /// No settings have been received yet: no connections are accepted.
    unconfigured: bool,
    /// How other dispatchers are found. `peers` is set once no other process of this dispatcher is the group's member.
    peer_options: Option<peers::Options>,
    peers: Option<Peers>,
    overload: Option<Overload>,
    zones: Option<Zones>,
    admin: Option<AdminEndpoint>,
    bans: Bans,
    /// When the bans are next reread, while another process runs.
    next_bans_read: u64,
    handover: Handover,
    /// The executor list in use, and whether it can be relied on: it came from the name service, a peer, the predecessor, or
    /// the configuration of a process that started alone.
    executors: Vec<Executor>,
    list_known: bool,
    /// When the name service was last heard; the start of this process before that.
    names_heard_at: u64,
    /// Every executor id that has been listed; new lists add none once there are `MAX_LISTED_IDS`.
    ever_listed: BTreeSet<WorkerId>,
    /// When the process behind each executor's id started.
    worker_starts: WorkerStarts,
    /// When the first list of the name service came into use.
    service_list_at: Option<u64>,
    /// When each executor's ban ended: it counts as started cold at that time.
    ban_lifted_at: BTreeMap<WorkerId, u64>,
    pool: Pool,
    resolver: Resolver,
    signals: Signals,
    /// A descriptor held in reserve, so that a reload can open the configuration and a new resolver socket even when
    /// clients hold all the others. `None` during a reload, or if none could be opened.
    reserved_descriptor: Option<File>,
    /// When SIGTERM was received.
    shutdown_started: Option<u64>,
    counters: Rc<Counters>,
}

impl Node {
    /// Opens all sockets and starts every part; clients can connect from here on.
    pub fn new(
        mut config: Config,
        brokers: Vec<mqtt::Options>,
        stream_config: Option<&crate::config::Stream>,
        station_options: Option<stations::Options>,
        (peer_options, overload_options, zone_options): (
            Option<peers::Options>,
            Option<load::Options>,
            Option<zone::Options>,
        ),
        function_bytes: Option<usize>,
    ) -> io::Result<Node> {
        let clock = Clock::start();
        let now = clock.read();
        let mut poll = Poll::new()?;
        // Before the listener exists: an unhandled signal ends the process, and clients in the accept queue would be lost.
        let signals = Signals::new(&mut poll, SIGNALS)?;
        let counters = Rc::new(Counters::default());
        let listener = match config.inherited {
            Some(number) => Listener::from_inherited(&mut poll, THRIFT, number)?,
            None => Listener::bind(&mut poll, THRIFT, config.listen)?,
        };
        let handover = Handover::start(config.folder.clone(), now);
        let standby = handover.other_process_runs();
        let own_file = Node::own_file(&config);
        let mut started = versions::StreamStart::default();
        if let Some(stream_config) = stream_config {
            started = versions::start_stream(
                &mut poll,
                now,
                &mut config,
                (stream_config, own_file),
                standby,
                &counters,
            )?;
        }
        let settings = config.parts.settings.clone();
        let (bounds, pool_limits, front_limits, operator_connections) = derive_limits(
            &config,
            &settings,
            handover.other_process_runs(),
            station_options.as_ref().map_or(0, |o| o.connections),
        );
        let mut engine = Engine::new(&settings.module, config.seed, now, bounds, counters.clone());
        engine.set_max_function_bytes(limits::function_bytes(
            &config,
            function_bytes,
            handover.other_process_runs(),
        ));
        let pool = Pool::new(EXECUTORS, pool_limits, counters.clone());
        let service = crate::config::SERVICE;
        let (serial, executors) = std::mem::take(&mut config.initial_list);
        let start = discovery::InitialList { serial, executors, seed: config.seed, now };
        let resolver = Resolver::new(&mut poll, NAMES, config.names, service, start, counters.clone())?;
        let thrift = thrift::Front::new(THRIFT, listener, front_limits, counters.clone());
        let door = |ops| AdminEndpoint::new(&mut poll, DOOR, ops, operator_connections, counters.clone());
        let door = config.admin_address.map(door).transpose()?;
        let bans = Bans::open(config.folder.as_ref().map(|f| f.join("bans")));
        let executors = resolver.executors().to_vec();
        let mut node = Node {
            poll,
            clock,
            now,
            started: now,
            stalled_us: 0,
            settings,
            engine,
            thrift,
            mqtt: mqtt::Fronts::new(FIRST_MQTT, counters.clone()),
            file_brokers: brokers,
            station_options,
            stations: None,
            version_brokers: started.brokers,
            unconfigured: config.has_no_settings
                && started.stream.as_ref().is_some_and(|s| s.version().is_none()),
            stream: started.stream,
            version_bans: started.bans,
            peer_options,
            peers: None,
            overload: overload_options.map(|o| Overload::new(o, now << 12 | config.seed & 0xfff, now)),
            zones: None,
            admin: door,
            bans,
            next_bans_read: now,
            list_known: !handover.other_process_runs() && !executors.is_empty(),
            names_heard_at: now,
            handover,
            executors,
            ever_listed: BTreeSet::new(),
            worker_starts: WorkerStarts::default(),
            service_list_at: None,
            ban_lifted_at: BTreeMap::new(),
            pool,
            resolver,
            signals,
            reserved_descriptor: None,
            shutdown_started: None,
            counters,
            config,
        };
        if let Some(options) = zone_options {
            let home = node.peer_options.as_ref().map_or(String::new(), |p| p.zone.clone());
            node.zones = Some(Zones::new(&options, &node.settings.module, &home, now));
            node.engine.enable_tracing();
        }
        node.reserve_descriptor();
        node.divide_cold_budget();
        node.publish_list();
        node.update_accepting();
        node.connect_brokers();
        node.open_station_listener()?;
        node.join_peers()?;
        node.deliver_messages();
        Ok(node)
    }

    /// Returns the address that clients connect to.
    pub fn address(&self) -> Option<std::net::SocketAddr> {
        self.thrift.address()
    }

    /// Returns the address that stations connect to.
    pub fn station_address(&self) -> Option<std::net::SocketAddr> {
        self.stations.as_ref().and_then(stations::Front::address)
    }

    /// Returns the address of the operators' HTTP interface.
    pub fn admin_address(&self) -> Option<std::net::SocketAddr> {
        self.admin.as_ref().and_then(AdminEndpoint::address)
    }

    /// Returns the address at which other dispatchers reach this one.
    pub fn peer_address(&self) -> Option<std::net::SocketAddr> {
        self.peers.as_ref().map(Peers::address)
    }

    /// Serves until SIGTERM has been received and the shutdown that it starts is finished.
    pub fn run(&mut self) -> io::Result<()> {
        let mut events: Vec<PollEvent> = Vec::new();
        loop {
            let (last_read, wait_began) = (self.now, self.clock.read());
            let wait = self.next_deadline().saturating_sub(wait_began);
            record_max(&self.counters.loop_lag_most_us, wait_began - self.now);
            self.poll.wait(wait, &mut events)?;
            self.now = self.clock.read();
            // After a stall a client may have disconnected, and a timer that is now due would still send its request on:
            // poll again, so that the disconnect is read first.
            let overslept = self.now.saturating_sub(wait_began.saturating_add(wait));
            let stalled = (wait_began - last_read).max(overslept) >= STALL_US;
            self.stalled_us = if stalled { self.now - last_read } else { 0 };
            if self.stalled_us > 0 {
                events.clear();
                self.poll.wait(0, &mut events)?;
            }
            // Answers of the name service come first: a connection that becomes writable in the same turn writes what is queued
            // on it, and must not write to a worker that one of these answers marks as draining.
            events.sort_by_key(|ready| ready.token.owner != NAMES);
            self.pool.mark_list_read();
            // After a stall nothing is written until all input and all timers have been handled: an attempt queued for its
            // connection may by now be past its key's repeat window or its client's deadline.
            if stalled {
                self.pool.hold_writes();
            }
            // All input is read before any of it is acted on. Otherwise an executor's answer could cause a resend for a
            // client whose disconnect is read later in the turn, or a new request could go to an executor whose
            // close is read later.
            events.drain(..).for_each(|ready| self.handle_ready(ready));
            self.handle_signals();
            self.deliver_messages();
            self.engine.advance(self.now);
            self.pool.advance(self.now);
            self.thrift.advance(&mut self.poll, self.now);
            self.resolver.advance(&mut self.poll, self.now);
            if let Some(door) = &mut self.admin {
                door.advance(&mut self.poll, self.now);
            }
            self.advance_handover();
            self.advance_peers();
            self.deliver_peer_messages();
            self.advance_overload();
            self.advance_zones();
            self.update_budget();
            self.mqtt.advance(&mut self.poll, self.now, self.clock.unix_ms(self.now));
            self.advance_stream();
            if let Some(front) = &mut self.stations {
                front.advance(&mut self.poll, self.now);
            }
            self.deliver_messages();
            self.release_held_writes();
            self.log_cold_starts();
            if self.finish_shutdown() {
                return Ok(());
            }
        }
    }

    /// Returns the earliest time at which any part has a timer due.
    fn next_deadline(&self) -> u64 {
        let shutdown = self.shutdown_deadline();
        let bans = Some(self.next_bans_read).filter(|_| self.handover.other_process_runs());
        let door = self.admin.as_ref().map(AdminEndpoint::due);
        let optional =
            [self.engine.next_timer_at(), self.pool.due(), shutdown, bans, door, Some(self.handover.due())];
        let deadlines = optional.into_iter().flatten().chain([
            self.mqtt.due(),
            self.stream.as_ref().map_or(u64::MAX, ConfigStream::due),
            self.stations.as_ref().map_or(u64::MAX, stations::Front::due),
            self.peers_deadline().min(self.overload_deadline()).min(self.zones_deadline()),
        ]);
        deadlines.min().unwrap_or(u64::MAX).min(self.thrift.due()).min(self.resolver.next_query_at())
    }

    /// Returns the counters as one line.
    pub fn counters_line(&self) -> String {
        self.counters.log_events_dropped.set(crate::logs::dropped());
        if let Some(stream) = &self.stream {
            stream.update_staleness(self.clock.read());
        }
        self.counters.to_string()
    }

    /// Passes a ready descriptor to the part that owns it.
    fn handle_ready(&mut self, ready: PollEvent) {
        match ready.token.owner {
            NAMES => {
                if self.resolver.handle_event(&mut self.poll, self.now, ready) {
                    self.list_changed();
                }
                self.list_known |= self.counters.dns_answers.get() > 0;
                self.names_heard_at = self.now;
            }
            EXECUTORS => self.pool.handle_event(&mut self.poll, self.now, ready),
            THRIFT => self.thrift.ready(&mut self.poll, self.now, ready),
            DOOR => self.handle_operators_ready(ready),
            STREAM | VERSION_THREAD => self.handle_stream_ready(ready),
            PEERS => self.peers.iter_mut().for_each(|p| p.ready(&mut self.poll, self.now, ready)),
            STATIONS => {
                if let Some(front) = &mut self.stations {
                    let unix_ms = self.clock.unix_ms(self.now);
                    front.ready(&mut self.poll, self.now, unix_ms, ready);
                }
            }
            FIRST_MQTT.. => {
                let unix_ms = self.clock.unix_ms(self.now);
                self.mqtt.ready(&mut self.poll, self.now, unix_ms, ready);
            }
            _ => self.signals.drain_wakeup(ready.token),
        }
    }

    /// Carries out the signals that were received.
    fn handle_signals(&mut self) {
        for request in self.signals.take_requests() {
            match request {
                SignalRequest::Stop => self.start_shutdown(),
                SignalRequest::PrintCounters => print_line(self.counters_line()),
                SignalRequest::Reload => self.reload(),
            }
        }
    }

    /// Starts the shutdown; a repeated call changes nothing about its start time.
    fn start_shutdown(&mut self) {
        if self.shutdown_started.is_none() {
            info!(instance = self.config.name, followed = self.handover.has_successor(), "shutdown started");
        }
        self.shutdown_started.get_or_insert(self.now);
        if self.handover.has_successor() {
            // The successor accepts new connections from here on.
            self.thrift.close_listener(&self.poll);
            self.thrift.close_idle_connections(
                self.now,
                self.now + self.longest_deadline().saturating_sub(LAST_REQUESTS_US),
            );
        }
    }

    /// Accepts connections, or leaves them in the accept queue while the predecessor's state or the settings are missing.
    fn update_accepting(&mut self) {
        self.thrift.accepting(&self.poll, !self.handover.awaits_state() && !self.unconfigured);
    }

    /// Connects to the MQTT brokers that are configured now, unless another process of this dispatcher runs. A broker's
    /// session belongs to one process at a time: two would take it over from each other, and messages would arrive twice.
    fn connect_brokers(&mut self) {
        if !self.handover.other_process_runs() {
            let brokers = self.version_brokers.as_ref().unwrap_or(&self.file_brokers).clone();
            self.mqtt.set_brokers(&self.poll, brokers);
        }
    }

    /// Opens the listener for stations, unless another process of this dispatcher runs or the shutdown has started: only
    /// one process at a time can hold the address.
    fn open_station_listener(&mut self) -> io::Result<()> {
        if !self.handover.other_process_runs() && self.stations.is_none() && self.shutdown_started.is_none() {
            let front =
                |options| stations::Front::new(&mut self.poll, STATIONS, options, self.counters.clone());
            self.stations = self.station_options.clone().map(front).transpose()?;
        }
        Ok(())
    }
}
