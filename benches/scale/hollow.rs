//! Hollow members: the program's own state machines (membership, budgets, zones) on real loopback sockets, without
//! clients or workers, many of them in one process. The benchmark controls a process by lines of JSON on its standard
//! input, each answered by one line on its standard output; the process ends when its standard input is closed.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use ochreward::api::{Outcome, Settings as ModuleSettings};
use ochreward::config::{Config, Operator};
use ochreward::core::AttemptTrace;
use ochreward::discovery::{Executor, ExecutorState};
use ochreward::overload::{self, Overload};
use ochreward::zones::{self, Zones};
use ochreward_membership::{Claim, Event, Identity, Membership, Record, Serving, State, wire};
use ochreward_net::{Interest, Poll, PollEvent};
use ochreward_rig::subscribers::{self, Subscribers};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, Write};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Most packets read from one member's socket before the next member is polled.
const MAX_READS_PER_TURN: usize = 64;
/// Interval at which a member refreshes the group view of its overload control; a real dispatcher does so on every use.
const VIEW_INTERVAL_US: u64 = 1_000_000;
/// Interval at which a member is fed synthetic attempts, in place of those of clients: one per worker, answered or failed.
const EVIDENCE_INTERVAL_US: u64 = 200_000;
/// Interval at which a member advances its zone state machine. The program does so ten times as often, at a cost that
/// grows with the size of the group and would limit a machine to a few hundred members; the real dispatchers include
/// that cost.
const ZONES_INTERVAL_US: u64 = 500_000;
/// Response time of the synthetic attempts.
const RESPONSE_TIME_US: u64 = 20_000;
/// Longest wait for socket events in one turn of the loop.
const MAX_WAIT_US: u64 = 1_000;

/// A member's description of itself, from which the others add it to their membership.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Its name.
    pub name: String,
    /// The address at which it receives packets.
    pub address: SocketAddr,
    /// Its instance number in the membership.
    pub instance: u64,
    /// Its first incarnation.
    pub incarnation: u64,
    /// Its zone.
    pub zone: String,
    /// The side that it is on when the group is partitioned, 0 or 1.
    pub half: usize,
}

/// Set-up of a process of hollow members.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Setup {
    /// The number of the process, part of the names of its members and subscribers.
    pub process: usize,
    /// Number of members in the process.
    pub members: usize,
    /// Number of dispatchers in the group, as the platform's settings have it.
    pub expected: usize,
    /// The zone of all its members.
    pub zone: String,
    /// The side of a partition that all its members are on.
    pub half: usize,
    /// The operator's file, with the sections that the real dispatchers have.
    pub operator: String,
    /// Ports to reuse, by member; if empty, any free ones.
    pub ports: Vec<u16>,
    /// The control service from which one subscriber per member streams; `None`: no subscribers.
    pub service: Option<SocketAddr>,
    /// Name, address and zone of each worker.
    pub workers: Vec<(String, SocketAddr, String)>,
}

/// A command to a process of hollow members.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    /// Adds these members; answered by one packet of each own member.
    Introduce(Vec<MemberInfo>),
    /// Delivers these packets, each with its source address, to every member as if received.
    #[serde(rename = "Hear")]
    DeliverPackets(Vec<(SocketAddr, String)>),
    /// Sends an empty message to each of these members.
    Greet(Vec<String>),
    /// Starts or ends a partition, in which packets from and to the other side are dropped.
    #[serde(rename = "Cut")]
    Partition(bool),
    /// Stops this member without notice to the others.
    Die(String),
    /// Lets the workers of this zone stop answering; `None`: all answer.
    LoseZone(Option<String>),
    /// Asks when each member marked the named member failed, in Unix microseconds.
    WhenFailed(String),
    /// Asks how many members each member counts as alive, itself included.
    Alive,
    /// Asks when subscribers applied versions since the previous command of this kind, in Unix microseconds.
    #[serde(rename = "Ran")]
    AppliedTimes,
    /// Asks for packets and bytes sent by all members, and the bytes of zone reports among them.
    Sent,
}

/// A response to a [`Command`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Response {
    /// Its members, sent unasked once at the start.
    Members(Vec<MemberInfo>),
    /// Packets in base64, each with its source address.
    Packets(Vec<(SocketAddr, String)>),
    /// The command was carried out.
    Done,
    /// Times in Unix microseconds.
    Times(Vec<u64>),
    /// Number of alive members, as each member counts them.
    Counts(Vec<usize>),
    /// Packets, bytes, and bytes of zone reports.
    Sent(u64, u64, u64),
}

struct Member {
    socket: UdpSocket,
    info: MemberInfo,
    membership: Membership,
    overload: Overload,
    zones: Zones,
    view: overload::GroupView,
    others: Vec<(Arc<str>, Arc<str>)>,
    next_view: u64,
    next_evidence: u64,
    next_zones: u64,
    zone_bytes: u64,
    failed_at: BTreeMap<Arc<str>, u64>,
    stopped: bool,
}

struct Process {
    setup: Setup,
    poll: Poll,
    started: Instant,
    members: Vec<Member>,
    sides: BTreeMap<SocketAddr, usize>,
    partitioned: bool,
    silent_zone: Option<String>,
    subscriber_events: Receiver<subscribers::Event>,
}

/// Returns the Unix time in microseconds.
pub fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}

/// Runs a process of hollow members until its standard input is closed.
pub fn run(setup: Setup) {
    let (sender, commands) = channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            let command: Command = serde_json::from_str(&line).expect("a valid command on standard input");
            if sender.send(command).is_err() {
                return;
            }
        }
    });
    let mut process = Process::new(setup);
    write_response(&Response::Members(process.members.iter().map(|m| m.info.clone()).collect()));
    let mut ready = Vec::new();
    loop {
        process.poll_once(&mut ready);
        loop {
            match commands.try_recv() {
                Ok(command) => write_response(&process.run_command(command)),
                Err(std::sync::mpsc::TryRecvError::Empty) => break,
                Err(std::sync::mpsc::TryRecvError::Disconnected) => return,
            }
        }
    }
}

fn write_response(response: &Response) {
    let line = serde_json::to_string(response).expect("the response serializes");
    writeln!(std::io::stdout().lock(), "{line}").expect("standard output is writable");
}

impl Process {
    fn new(setup: Setup) -> Process {
        let operator = Operator::read(&setup.operator).expect("valid operator's file in the set-up");
        let module =
            Config::read(include_str!("../../deploy/example.json")).expect("the shipped example reads");
        let mut poll = Poll::new().expect("creating the poller");
        let members = (0..setup.members)
            .map(|n| Member::new(&setup, &operator, &module.parts.settings.module, &mut poll, n));
        let members: Vec<Member> = members.collect();
        let (sender, subscriber_events) = channel();
        if let Some(service) = setup.service {
            let prefix = format!("h{}-", setup.process);
            let streams = subscribers::Setup { count: setup.members, prefix, service, backoff: (100, 2_000) };
            std::thread::spawn(move || Subscribers::new(&streams).run(&sender, &AtomicBool::new(false)));
        }
        Process {
            setup,
            poll,
            started: Instant::now(),
            members,
            sides: BTreeMap::new(),
            partitioned: false,
            silent_zone: None,
            subscriber_events,
        }
    }

    fn now(&self) -> u64 {
        // Starts at one hour instead of zero, so that the state machines can subtract intervals from the current time.
        3_600_000_000 + self.started.elapsed().as_micros() as u64
    }

    fn poll_once(&mut self, ready: &mut Vec<PollEvent>) {
        self.poll.wait(MAX_WAIT_US, ready).expect("polling the sockets");
        let now = self.now();
        for event in ready.drain(..) {
            let own = self.setup.half;
            let crosses_partition =
                |from: &SocketAddr| self.partitioned && self.sides.get(from).is_some_and(|half| *half != own);
            self.members[event.token.slot as usize].read(now, crosses_partition);
        }
        let crosses_partition = |to: &SocketAddr| {
            self.partitioned && self.sides.get(to).is_some_and(|half| *half != self.setup.half)
        };
        for member in self.members.iter_mut().filter(|m| !m.stopped) {
            member.advance(now, self.silent_zone.as_deref(), &self.setup.workers);
            member.send(crosses_partition);
        }
    }

    fn run_command(&mut self, command: Command) -> Response {
        let now = self.now();
        match command {
            Command::Introduce(others) => {
                self.sides.extend(others.iter().map(|o| (o.address, o.half)));
                let claims: Vec<Claim> = others.iter().map(claim).collect();
                let packets = self.members.iter_mut().filter_map(|m| m.add_members(now, &claims)).collect();
                Response::Packets(packets)
            }
            Command::DeliverPackets(packets) => {
                for (from, text) in packets {
                    let bytes = STANDARD.decode(text).expect("valid base64");
                    for member in &mut self.members {
                        member.membership.handle_packet(now, from, &bytes);
                        member.membership.packets.clear();
                    }
                }
                Response::Done
            }
            Command::Greet(names) => {
                for member in &mut self.members {
                    for name in &names {
                        member.membership.send_message(now, name, 0, Vec::new());
                    }
                    member.send(|_| false);
                }
                Response::Done
            }
            Command::Partition(partitioned) => {
                self.partitioned = partitioned;
                Response::Done
            }
            Command::Die(name) => {
                self.members.iter_mut().filter(|m| m.info.name == name).for_each(|m| m.stopped = true);
                Response::Done
            }
            Command::LoseZone(zone) => {
                self.silent_zone = zone;
                Response::Done
            }
            Command::WhenFailed(name) => {
                let alive = self.members.iter().filter(|m| !m.stopped);
                Response::Times(alive.filter_map(|m| m.failed_at.get(name.as_str()).copied()).collect())
            }
            Command::Alive => Response::Counts(
                self.members.iter().filter(|m| !m.stopped).map(|m| m.membership.up_count()).collect(),
            ),
            Command::AppliedTimes => {
                let applied = self.subscriber_events.try_iter().filter_map(|event| match event {
                    subscribers::Event::Ran(at) => Some(unix_us() - at.elapsed().as_micros() as u64),
                    subscribers::Event::Up(_) => None,
                });
                Response::Times(applied.collect())
            }
            Command::Sent => {
                let stats = self.members.iter().map(|m| (m.membership.stats(), m.zone_bytes));
                let (packets, bytes, zones) = stats.fold((0, 0, 0), |sum, (stats, zones)| {
                    (sum.0 + stats.sent, sum.1 + stats.sent_bytes, sum.2 + zones)
                });
                Response::Sent(packets, bytes, zones)
            }
        }
    }
}

fn claim(info: &MemberInfo) -> Claim {
    Claim {
        name: info.name.as_str().into(),
        address: info.address,
        instance: info.instance,
        incarnation: info.incarnation,
        state: State::Alive,
        record: record(&info.zone),
    }
}

fn record(zone: &str) -> Record {
    Record {
        zone: zone.into(),
        program: env!("CARGO_PKG_VERSION").into(),
        configuration: 0,
        serving: Serving::Serves,
    }
}

impl Member {
    fn new(setup: &Setup, operator: &Operator, module: &ModuleSettings, poll: &mut Poll, n: usize) -> Member {
        let port = setup.ports.get(n).copied().unwrap_or_default();
        let socket = UdpSocket::bind(("127.0.0.1", port)).expect("binding a UDP socket");
        socket.set_nonblocking(true).expect("setting the socket non-blocking");
        let token = poll.token(0, n);
        poll.add(&socket, token, Interest { read: true, write: false }).expect("registering the socket");
        let unix_ms = unix_us() / 1_000;
        let info = MemberInfo {
            name: format!("h{}-{n}", setup.process),
            address: socket.local_addr().expect("the socket's local address"),
            instance: unix_ms << 16 | (setup.process * setup.members + n) as u64 & 0xffff,
            incarnation: unix_ms,
            zone: setup.zone.clone(),
            half: setup.half,
        };
        let identity = Identity {
            name: info.name.as_str().into(),
            address: info.address,
            instance: info.instance,
            incarnation: unix_ms,
            record: record(&setup.zone),
        };
        let mut settings = operator.peers.clone().expect("a [peers] section").settings;
        settings.expected_members = setup.expected;
        // Spreads the probes over one period, as in a group that has been running for long.
        let now = 3_600_000_000 + (n as u64 * 7_919) % settings.probe_period;
        let seed = info.instance;
        let overload = Overload::new(operator.overload.clone().expect("an [overload] section"), seed, now);
        let mut zones =
            Zones::new(&operator.zones.clone().expect("a [zones] section"), module, &setup.zone, now);
        let names: BTreeSet<String> = setup.workers.iter().map(|(_, _, zone)| zone.clone()).collect();
        let executors: Vec<Executor> = setup.workers.iter().map(executor).collect();
        zones.set_executors(&executors, &names.into_iter().collect::<Vec<_>>());
        Member {
            membership: Membership::new(identity, settings, Vec::new(), seed, now),
            socket,
            info,
            overload,
            zones,
            view: overload::GroupView::default(),
            others: Vec::new(),
            next_view: 0,
            next_evidence: now,
            next_zones: now,
            zone_bytes: 0,
            failed_at: BTreeMap::new(),
            stopped: false,
        }
    }

    fn add_members(&mut self, now: u64, claims: &[Claim]) -> Option<(SocketAddr, String)> {
        self.membership.merge_introduced(now, claims.iter());
        self.membership.packets.clear();
        let own = self.info.name.as_str();
        let other = claims.iter().find(|c| &*c.name != own)?.name.clone();
        self.membership.send_message(now, &other, 0, Vec::new());
        let (_, packet) = self.membership.packets.pop_back()?;
        Some((self.info.address, STANDARD.encode(packet)))
    }

    fn read(&mut self, now: u64, crosses_partition: impl Fn(&SocketAddr) -> bool) {
        let mut buffer = [0; wire::MAX_PACKET_BYTES + 1];
        for _ in 0..MAX_READS_PER_TURN {
            let Ok((size, from)) = self.socket.recv_from(&mut buffer) else { break };
            if !self.stopped && !crosses_partition(&from) {
                self.membership.handle_packet(now, from, &buffer[..size]);
            }
        }
        while let Some(message) = self.membership.messages.pop_front() {
            match message.channel {
                overload::CHANNEL => {
                    if let Some(reply) = self.overload.handle_message(now, &message.from, &message.bytes) {
                        self.membership.send_message(now, &message.from, overload::CHANNEL, reply);
                    }
                }
                zones::CHANNEL => self.zones.handle_report(now, &message.from, &message.bytes),
                _ => {}
            }
        }
    }

    fn advance(&mut self, now: u64, silent_zone: Option<&str>, workers: &[(String, SocketAddr, String)]) {
        if self.membership.next_deadline() <= now {
            self.membership.advance(now);
        }
        if now >= self.next_view {
            self.next_view = now + VIEW_INTERVAL_US;
            self.refresh_view(now);
        }
        if now >= self.next_evidence {
            self.next_evidence = now + EVIDENCE_INTERVAL_US;
            self.feed_evidence(now, silent_zone, workers);
        }
        if self.overload.due(now) <= now {
            let view = self.view.clone();
            for (to, message) in self.overload.advance(now, &view) {
                self.membership.send_message(now, &to, overload::CHANNEL, message);
            }
        }
        if now >= self.next_zones {
            self.next_zones = now + ZONES_INTERVAL_US;
            let own = self.info.name.as_str().into();
            let home = self.info.zone.as_str().into();
            let share = 1_000_000 / (self.others.len() as u64 + 1);
            let view = zones::FleetView { own_name: own, home, others: self.others.clone(), share };
            for (to, report) in self.zones.advance(now, view) {
                self.zone_bytes += report.len() as u64;
                self.membership.send_message(now, &to, zones::CHANNEL, report);
                // The membership queues a bounded number of packets, so each report is sent at once.
                self.send(|_| false);
            }
        }
        let wall_time = unix_us();
        while let Some(event) = self.membership.events.pop_front() {
            match event {
                Event::Changed(name, _, State::Failed, _) => drop(self.failed_at.insert(name, wall_time)),
                Event::Changed(name, _, State::Alive, _) => drop(self.failed_at.remove(&name)),
                _ => {}
            }
        }
    }

    fn refresh_view(&mut self, now: u64) {
        let up = self.membership.members().filter(|m| m.is_up() && m.last_heard.is_some());
        self.others = up.map(|m| (m.name.clone(), m.record.zone.clone())).collect();
        let others = self.others.iter().map(|(name, _)| name.clone()).collect();
        let parts = self.membership.share_divisor(now);
        self.view = overload::GroupView { own: self.info.name.as_str().into(), parts, peers: others };
    }

    /// Feeds the zones one attempt per worker, as clients' requests would: failed in the silent zone, otherwise answered.
    fn feed_evidence(
        &mut self,
        now: u64,
        silent_zone: Option<&str>,
        workers: &[(String, SocketAddr, String)],
    ) {
        for (name, _, zone) in workers {
            let is_silent = silent_zone == Some(zone.as_str());
            let end = if is_silent {
                (Outcome::ConnectFailed, 0, None)
            } else {
                (Outcome::Ok, 0, Some(RESPONSE_TIME_US))
            };
            let sent = now.saturating_sub(RESPONSE_TIME_US);
            let worker: Arc<str> = name.as_str().into();
            self.zones.record_attempt(now, AttemptTrace { worker: worker.clone(), sent, end: None });
            self.zones.record_attempt(now, AttemptTrace { worker, sent, end: Some(end) });
        }
    }

    fn send(&mut self, crosses_partition: impl Fn(&SocketAddr) -> bool) {
        while let Some((to, packet)) = self.membership.packets.pop_front() {
            if !crosses_partition(&to) {
                // A failed send counts as a lost packet, which the protocol tolerates.
                let _ = self.socket.send_to(&packet, to);
            }
        }
    }
}

fn executor((id, address, zone): &(String, SocketAddr, String)) -> Executor {
    Executor {
        id: id.as_str().into(),
        address: *address,
        zone: zone.clone(),
        kind: "std".to_string(),
        cell: 0,
        state: ExecutorState::Ready,
        started_ms: 0,
        weight: 0,
    }
}

/// The benchmark's handle on a process of hollow members; kills the process when dropped.
pub struct Handle {
    child: std::process::Child,
    responses: Receiver<Response>,
    /// Its members.
    pub members: Vec<MemberInfo>,
    /// Its set-up, from which it can be restarted.
    pub setup: Setup,
}

impl Handle {
    /// Starts a process from this benchmark's own executable with `--hollow`; it ends with this process.
    pub fn start(setup: Setup) -> Handle {
        let own = std::env::current_exe().expect("the path of this executable");
        let mut command = ochreward_rig::stand::tied(own);
        command.arg("--hollow").arg(serde_json::to_string(&setup).expect("the set-up serializes"));
        command.stdin(std::process::Stdio::piped()).stdout(std::process::Stdio::piped());
        let mut child = command.spawn().expect("starting a process of hollow members");
        let (sender, responses) = channel();
        let lines = std::io::BufReader::new(child.stdout.take().expect("standard output is piped")).lines();
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let response: Response =
                    serde_json::from_str(&line).expect("a valid response of the hollow process");
                if sender.send(response).is_err() {
                    return;
                }
            }
        });
        let mut handle = Handle { child, responses, members: Vec::new(), setup };
        if let Response::Members(members) = handle.next_response() {
            handle.members = members;
        }
        handle
    }

    fn next_response(&self) -> Response {
        self.responses
            .recv_timeout(Duration::from_secs(60))
            .expect("a hollow process ended or did not respond within 60 s")
    }

    /// Sends a command; [`Handle::receive_response`] must follow.
    pub fn send_command(&mut self, command: &Command) {
        let stdin = self.child.stdin.as_mut().expect("standard input is piped");
        writeln!(stdin, "{}", serde_json::to_string(command).expect("the command serializes"))
            .expect("standard input is writable");
    }

    /// Waits for the response to the previous command.
    pub fn receive_response(&self) -> Response {
        self.next_response()
    }

    /// Sends a command and waits for its response.
    pub fn run_command(&mut self, command: &Command) -> Response {
        self.send_command(command);
        self.receive_response()
    }

    /// Kills the process and reaps it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.kill();
    }
}
