//! Hollow members: the program's own state machines (membership, budgets, zones) on real loopback sockets, without
//! clients or workers, many of them in one process. A process is driven by lines of JSON on its standard input and answers
//! by lines on its standard output.

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

/// Packets read from one member's socket before the next member has its turn.
const MOST_READ: usize = 64;
/// How often a member renews what it tells its parts of the group: the real ones do so at each question.
const VIEW_EVERY_US: u64 = 1_000_000;
/// How often a member is told of answers of the workers, or of their silence, in place of clients.
const EVIDENCE_EVERY_US: u64 = 200_000;
/// How often a member looks at its zones. The program does so ten times as often, at a cost by the size of the group
/// that would keep a machine from bearing more than a few hundred members; the real ones show that cost.
const ZONES_EVERY_US: u64 = 500_000;
/// Run time of the answers that it is told of.
const ANSWER_US: u64 = 20_000;
/// A turn waits for so long at the most.
const TURN_US: u64 = 1_000;

/// A member as it tells others of itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Introduction {
    /// Its name.
    pub name: String,
    /// Where it is heard.
    pub address: SocketAddr,
    /// Its process, as the membership numbers it.
    pub instance: u64,
    /// Its first incarnation.
    pub incarnation: u64,
    /// Its zone.
    pub zone: String,
    /// The half of the group that it is in when the group is cut in two.
    pub half: usize,
}

/// What a process is made of.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Setup {
    /// The number of the process; names of members and of subscribers hold it.
    pub process: usize,
    /// Members.
    pub members: usize,
    /// All dispatchers of the group, as the platform's settings tell.
    pub expected: usize,
    /// The zone of all its members.
    pub zone: String,
    /// The half that they are in.
    pub half: usize,
    /// The operator's file, as the real ones have it.
    pub operator: String,
    /// Ports to use again, by member; empty: any.
    pub ports: Vec<u16>,
    /// The control service, where as many subscribers are to stream from one.
    pub service: Option<SocketAddr>,
    /// The workers, and the zone of each.
    pub workers: Vec<(String, SocketAddr, String)>,
}

/// What a process is asked.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Ask {
    /// Take these in; answered by one packet of each member.
    Introduce(Vec<Introduction>),
    /// Take these packets as if they had come: member by member, where from.
    Hear(Vec<(SocketAddr, String)>),
    /// Say something to each of these members.
    Greet(Vec<String>),
    /// Drop what comes from the other half, and send nothing there; or no more.
    Cut(bool),
    /// This member dies.
    Die(String),
    /// The workers of this zone answer no more; `None`: all answer.
    LoseZone(Option<String>),
    /// When each member came to hold that one for failed, in Unix microseconds.
    WhenFailed(String),
    /// How many members hold so many for alive, this one among them.
    Alive,
    /// When subscribers ran versions since this was last asked, in Unix microseconds.
    Ran,
    /// Packets and bytes sent by all members, and bytes of reports on zones among them.
    Sent,
}

/// What it answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Answer {
    /// Its members.
    Members(Vec<Introduction>),
    /// Packets, where from.
    Packets(Vec<(SocketAddr, String)>),
    /// It was done.
    Done,
    /// Times in Unix microseconds.
    Times(Vec<u64>),
    /// Alive, as each member sees it.
    Counts(Vec<usize>),
    /// Packets, bytes, and bytes of reports on zones.
    Sent(u64, u64, u64),
}

struct Member {
    socket: UdpSocket,
    introduction: Introduction,
    machine: Membership,
    overload: Overload,
    zones: Zones,
    view: overload::GroupView,
    others: Vec<(Arc<str>, Arc<str>)>,
    next_view: u64,
    next_evidence: u64,
    next_zones: u64,
    zone_bytes: u64,
    failed: BTreeMap<Arc<str>, u64>,
    dead: bool,
}

struct Process {
    setup: Setup,
    poll: Poll,
    started: Instant,
    members: Vec<Member>,
    halves: BTreeMap<SocketAddr, usize>,
    cut: bool,
    lost: Option<String>,
    ran: Receiver<subscribers::Event>,
}

/// The Unix time in microseconds.
pub fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}

/// A whole process: it ends with its standard input.
pub fn run(setup: Setup) {
    let (tell, asked) = channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            let ask: Ask = serde_json::from_str(&line).expect("a question");
            if tell.send(ask).is_err() {
                return;
            }
        }
    });
    let mut process = Process::new(setup);
    say(&Answer::Members(process.members.iter().map(|m| m.introduction.clone()).collect()));
    let mut happened = Vec::new();
    loop {
        process.turn(&mut happened);
        loop {
            match asked.try_recv() {
                Ok(ask) => say(&process.answer(ask)),
                Err(std::sync::mpsc::TryRecvError::Empty) => break,
                Err(std::sync::mpsc::TryRecvError::Disconnected) => return,
            }
        }
    }
}

fn say(answer: &Answer) {
    let line = serde_json::to_string(answer).expect("an answer");
    writeln!(std::io::stdout().lock(), "{line}").expect("standard output");
}

impl Process {
    fn new(setup: Setup) -> Process {
        let operator = Operator::read(&setup.operator).expect("the operator's file");
        let module = Config::read(include_str!("../../deploy/example.json")).expect("the shipped example");
        let mut poll = Poll::new().expect("a poll");
        let members = (0..setup.members)
            .map(|n| Member::new(&setup, &operator, &module.parts.settings.module, &mut poll, n));
        let members: Vec<Member> = members.collect();
        let (tell, ran) = channel();
        if let Some(service) = setup.service {
            let prefix = format!("h{}-", setup.process);
            let streams = subscribers::Setup { count: setup.members, prefix, service, backoff: (100, 2_000) };
            std::thread::spawn(move || Subscribers::new(&streams).run(&tell, &AtomicBool::new(false)));
        }
        Process {
            setup,
            poll,
            started: Instant::now(),
            members,
            halves: BTreeMap::new(),
            cut: false,
            lost: None,
            ran,
        }
    }

    fn now(&self) -> u64 {
        // Not zero: a machine that begins at zero has no past.
        3_600_000_000 + self.started.elapsed().as_micros() as u64
    }

    fn turn(&mut self, happened: &mut Vec<PollEvent>) {
        self.poll.wait(TURN_US, happened).expect("a wait");
        let now = self.now();
        for ready in happened.drain(..) {
            let own = self.setup.half;
            let crosses =
                |from: &SocketAddr| self.cut && self.halves.get(from).is_some_and(|half| *half != own);
            self.members[ready.token.slot as usize].read(now, crosses);
        }
        let crosses =
            |to: &SocketAddr| self.cut && self.halves.get(to).is_some_and(|half| *half != self.setup.half);
        for member in self.members.iter_mut().filter(|m| !m.dead) {
            member.advance(now, self.lost.as_deref(), &self.setup.workers);
            member.send(crosses);
        }
    }

    fn answer(&mut self, ask: Ask) -> Answer {
        let now = self.now();
        match ask {
            Ask::Introduce(others) => {
                self.halves.extend(others.iter().map(|o| (o.address, o.half)));
                let claims: Vec<Claim> = others.iter().map(claim).collect();
                let packets = self.members.iter_mut().filter_map(|m| m.introduce(now, &claims)).collect();
                Answer::Packets(packets)
            }
            Ask::Hear(packets) => {
                for (from, text) in packets {
                    let bytes = STANDARD.decode(text).expect("base64");
                    for member in &mut self.members {
                        member.machine.handle_packet(now, from, &bytes);
                        member.machine.packets.clear();
                    }
                }
                Answer::Done
            }
            Ask::Greet(names) => {
                for member in &mut self.members {
                    for name in &names {
                        member.machine.send_message(now, name, 0, Vec::new());
                    }
                    member.send(|_| false);
                }
                Answer::Done
            }
            Ask::Cut(cut) => {
                self.cut = cut;
                Answer::Done
            }
            Ask::Die(name) => {
                self.members.iter_mut().filter(|m| m.introduction.name == name).for_each(|m| m.dead = true);
                Answer::Done
            }
            Ask::LoseZone(zone) => {
                self.lost = zone;
                Answer::Done
            }
            Ask::WhenFailed(name) => {
                let alive = self.members.iter().filter(|m| !m.dead);
                Answer::Times(alive.filter_map(|m| m.failed.get(name.as_str()).copied()).collect())
            }
            Ask::Alive => Answer::Counts(
                self.members.iter().filter(|m| !m.dead).map(|m| m.machine.up_count()).collect(),
            ),
            Ask::Ran => {
                let ran = self.ran.try_iter().filter_map(|event| match event {
                    subscribers::Event::Ran(at) => Some(unix_us() - at.elapsed().as_micros() as u64),
                    subscribers::Event::Up(_) => None,
                });
                Answer::Times(ran.collect())
            }
            Ask::Sent => {
                let stats = self.members.iter().map(|m| (m.machine.stats(), m.zone_bytes));
                let (packets, bytes, zones) = stats.fold((0, 0, 0), |sum, (stats, zones)| {
                    (sum.0 + stats.sent, sum.1 + stats.sent_bytes, sum.2 + zones)
                });
                Answer::Sent(packets, bytes, zones)
            }
        }
    }
}

fn claim(of: &Introduction) -> Claim {
    Claim {
        name: of.name.as_str().into(),
        address: of.address,
        instance: of.instance,
        incarnation: of.incarnation,
        state: State::Alive,
        record: record(&of.zone),
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
        let socket = UdpSocket::bind(("127.0.0.1", port)).expect("a socket");
        socket.set_nonblocking(true).expect("a socket that does not block");
        let token = poll.token(0, n);
        poll.add(&socket, token, Interest { read: true, write: false }).expect("registered");
        let unix_ms = unix_us() / 1_000;
        let introduction = Introduction {
            name: format!("h{}-{n}", setup.process),
            address: socket.local_addr().expect("an address"),
            instance: unix_ms << 16 | (setup.process * setup.members + n) as u64 & 0xffff,
            incarnation: unix_ms,
            zone: setup.zone.clone(),
            half: setup.half,
        };
        let own = Identity {
            name: introduction.name.as_str().into(),
            address: introduction.address,
            instance: introduction.instance,
            incarnation: unix_ms,
            record: record(&setup.zone),
        };
        let mut settings = operator.peers.clone().expect("[peers]").settings;
        settings.expected_members = setup.expected;
        // Spread over a probe's time, as members that run for long are.
        let now = 3_600_000_000 + (n as u64 * 7_919) % settings.probe_period;
        let seed = introduction.instance;
        let overload = Overload::new(operator.overload.clone().expect("[overload]"), seed, now);
        let mut zones = Zones::new(&operator.zones.clone().expect("[zones]"), module, &setup.zone, now);
        let names: BTreeSet<String> = setup.workers.iter().map(|(_, _, zone)| zone.clone()).collect();
        let executors: Vec<Executor> = setup.workers.iter().map(executor).collect();
        zones.set_executors(&executors, &names.into_iter().collect::<Vec<_>>());
        Member {
            machine: Membership::new(own, settings, Vec::new(), seed, now),
            socket,
            introduction,
            overload,
            zones,
            view: overload::GroupView::default(),
            others: Vec::new(),
            next_view: 0,
            next_evidence: now,
            next_zones: now,
            zone_bytes: 0,
            failed: BTreeMap::new(),
            dead: false,
        }
    }

    fn introduce(&mut self, now: u64, claims: &[Claim]) -> Option<(SocketAddr, String)> {
        self.machine.merge_introduced(now, claims.iter());
        self.machine.packets.clear();
        let own = self.introduction.name.as_str();
        let other = claims.iter().find(|c| &*c.name != own)?.name.clone();
        self.machine.send_message(now, &other, 0, Vec::new());
        let (_, packet) = self.machine.packets.pop_back()?;
        Some((self.introduction.address, STANDARD.encode(packet)))
    }

    fn read(&mut self, now: u64, crosses: impl Fn(&SocketAddr) -> bool) {
        let mut buffer = [0; wire::MAX_PACKET_BYTES + 1];
        for _ in 0..MOST_READ {
            let Ok((size, from)) = self.socket.recv_from(&mut buffer) else { break };
            if !self.dead && !crosses(&from) {
                self.machine.handle_packet(now, from, &buffer[..size]);
            }
        }
        while let Some(note) = self.machine.messages.pop_front() {
            match note.channel {
                overload::CHANNEL => {
                    if let Some(answer) = self.overload.handle_message(now, &note.from, &note.bytes) {
                        self.machine.send_message(now, &note.from, overload::CHANNEL, answer);
                    }
                }
                zones::CHANNEL => self.zones.handle_report(now, &note.from, &note.bytes),
                _ => {}
            }
        }
    }

    fn advance(&mut self, now: u64, lost: Option<&str>, workers: &[(String, SocketAddr, String)]) {
        if self.machine.next_deadline() <= now {
            self.machine.advance(now);
        }
        if now >= self.next_view {
            self.next_view = now + VIEW_EVERY_US;
            self.renew_view(now);
        }
        if now >= self.next_evidence {
            self.next_evidence = now + EVIDENCE_EVERY_US;
            self.evidence(now, lost, workers);
        }
        if self.overload.due(now) <= now {
            let view = self.view.clone();
            for (to, word) in self.overload.advance(now, &view) {
                self.machine.send_message(now, &to, overload::CHANNEL, word);
            }
        }
        if now >= self.next_zones {
            self.next_zones = now + ZONES_EVERY_US;
            let own = self.introduction.name.as_str().into();
            let home = self.introduction.zone.as_str().into();
            let share = 1_000_000 / (self.others.len() as u64 + 1);
            let view = zones::FleetView { own_name: own, home, others: self.others.clone(), share };
            for (to, report) in self.zones.advance(now, view) {
                self.zone_bytes += report.len() as u64;
                self.machine.send_message(now, &to, zones::CHANNEL, report);
                // The machine keeps a bounded number of packets: they leave as they are made.
                self.send(|_| false);
            }
        }
        let own_time = unix_us();
        while let Some(event) = self.machine.events.pop_front() {
            match event {
                Event::Changed(name, _, State::Failed, _) => drop(self.failed.insert(name, own_time)),
                Event::Changed(name, _, State::Alive, _) => drop(self.failed.remove(&name)),
                _ => {}
            }
        }
    }

    fn renew_view(&mut self, now: u64) {
        let up = self.machine.members().filter(|m| m.is_up() && m.last_heard.is_some());
        self.others = up.map(|m| (m.name.clone(), m.record.zone.clone())).collect();
        let others = self.others.iter().map(|(name, _)| name.clone()).collect();
        let parts = self.machine.share_divisor(now);
        self.view = overload::GroupView { own: self.introduction.name.as_str().into(), parts, peers: others };
    }

    /// What clients' requests would have shown of the workers.
    fn evidence(&mut self, now: u64, lost: Option<&str>, workers: &[(String, SocketAddr, String)]) {
        for (name, _, zone) in workers {
            let gone = lost == Some(zone.as_str());
            let end =
                if gone { (Outcome::ConnectFailed, 0, None) } else { (Outcome::Ok, 0, Some(ANSWER_US)) };
            let sent = now.saturating_sub(ANSWER_US);
            let worker: Arc<str> = name.as_str().into();
            self.zones.record_attempt(now, AttemptTrace { worker: worker.clone(), sent, end: None });
            self.zones.record_attempt(now, AttemptTrace { worker, sent, end: Some(end) });
        }
    }

    fn send(&mut self, crosses: impl Fn(&SocketAddr) -> bool) {
        while let Some((to, packet)) = self.machine.packets.pop_front() {
            if !crosses(&to) {
                // One that does not go out is one that got lost.
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
    }
}

/// A process of hollow members, seen from the benchmark.
pub struct Handle {
    child: std::process::Child,
    answers: Receiver<Answer>,
    /// Its members.
    pub members: Vec<Introduction>,
    /// What it is made of.
    pub setup: Setup,
}

impl Handle {
    /// Starts one: this benchmark's own program, told to be hollow. It ends with this process.
    pub fn start(setup: Setup) -> Handle {
        let own = std::env::current_exe().expect("a path of our own");
        let mut command = ochreward_rig::stand::tied(own);
        command.arg("--hollow").arg(serde_json::to_string(&setup).expect("a setup"));
        command.stdin(std::process::Stdio::piped()).stdout(std::process::Stdio::piped());
        let mut child = command.spawn().expect("a process of hollow members");
        let (tell, answers) = channel();
        let lines = std::io::BufReader::new(child.stdout.take().expect("piped")).lines();
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let answer: Answer = serde_json::from_str(&line).expect("an answer");
                if tell.send(answer).is_err() {
                    return;
                }
            }
        });
        let mut handle = Handle { child, answers, members: Vec::new(), setup };
        if let Answer::Members(members) = handle.next() {
            handle.members = members;
        }
        handle
    }

    fn next(&self) -> Answer {
        self.answers.recv_timeout(Duration::from_secs(60)).expect("an answer of a hollow process")
    }

    /// Hands it a question; [`Handle::answer`] must follow.
    pub fn put(&mut self, ask: &Ask) {
        let stdin = self.child.stdin.as_mut().expect("piped");
        writeln!(stdin, "{}", serde_json::to_string(ask).expect("a question")).expect("its standard input");
    }

    /// What it answers to the question before.
    pub fn answer(&self) -> Answer {
        self.next()
    }

    /// Asks and waits.
    pub fn ask(&mut self, ask: &Ask) -> Answer {
        self.put(ask);
        self.answer()
    }

    /// Kills it.
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
