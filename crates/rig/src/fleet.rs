//! A group of real dispatchers that know each other, with workers, a name service and clients.

use crate::crossing::Crossing;
use crate::history::{History, judge};
use crate::load::{Asker, Manner, run_twice};
use crate::relay::Relay;
use crate::stand::{self, Names, PATIENCE, Program};
use crate::worker::{Power, Worker};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// The time of a suspicion at the longest, under the settings below and in a group of up to ten.
pub const SUSPICION: Duration = Duration::from_millis(1_600);
/// Nothing that a silent member does lands later than this.
pub const HOLD: Duration = Duration::from_millis(1_000);

/// What a fleet is made of, where it is not the usual.
pub struct Setup {
    /// The workers' power, and how many there are.
    pub power: Power,
    /// See `power`.
    pub workers: usize,
    /// `[overload]` of the operator's files; empty: none.
    pub overload: String,
    /// Those that have no `[overload]`, as an older version has not.
    pub older: Vec<usize>,
    /// What a request of each class is worth.
    pub credits: [f64; 3],
    /// Clients of each dispatcher, and how they behave.
    pub clients: usize,
    /// See `clients`.
    pub manner: Manner,
    /// Whether every request of a dispatcher that was not killed must be served.
    pub strict: bool,
    /// Zones, over which dispatchers and workers are spread in turn.
    pub zones: usize,
    /// `[zones]` of the operator's files; empty: none.
    pub zones_told: String,
    /// The time until a worker that starts is warm.
    pub warm: Duration,
}

impl Default for Setup {
    fn default() -> Setup {
        Setup {
            power: Power::default(),
            workers: 3,
            overload: String::new(),
            older: Vec::new(),
            credits: [1.0; 3],
            clients: 1,
            manner: Manner::default(),
            strict: true,
            zones: 1,
            zones_told: String::new(),
            warm: Duration::from_secs(14),
        }
    }
}

/// The fleet.
pub struct Fleet {
    /// What stands between the dispatchers.
    pub relay: Relay,
    /// What all said.
    pub history: History,
    /// The group's name, no other fleet's. Danger: an address of a fleet that has ended may be another's at once, and its last
    /// processes still speak to it.
    pub group: String,
    seed: u64,
    setup: Setup,
    began: Instant,
    /// The workers.
    pub workers: Vec<Worker>,
    /// What stands between dispatchers and workers.
    pub crossing: Crossing,
    /// Name services: that of the even dispatchers, and that of the odd ones.
    names: [Names; 2],
    /// The number of the last list that they told.
    serial: u32,
    /// A name service that says nothing, and those that are told of it and of no list.
    mute: UdpSocket,
    listless: Vec<bool>,
    programs: Vec<Option<Program>>,
    /// By the dispatcher that they ask.
    askers: Vec<Vec<Asker>>,
    /// Was killed, stopped, cut off or lost packets.
    faulty: Vec<bool>,
    /// Its clients may have lost a connection.
    killed: Vec<bool>,
    expected: usize,
}

/// A group's name that no other fleet has, in this process or another.
fn group() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    format!("g{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed))
}

/// A zone's name.
pub fn zone(n: usize) -> String {
    format!("zone-{}", char::from(b'a' + n as u8))
}

/// A dispatcher's name.
pub fn name(n: usize) -> String {
    format!("n{n}")
}

impl Fleet {
    /// Starts so many, all links whole, and waits until all see all.
    pub fn start(seed: u64, count: usize) -> Fleet {
        let fleet = Fleet::begin(seed, count, |_| {});
        fleet.until("all see all", |views| views.iter().all(|v| sees(v, count, 0)));
        fleet
    }

    /// The same, made of something else than the usual.
    pub fn made(seed: u64, count: usize, setup: Setup) -> Fleet {
        let fleet = Fleet::set_up(seed, count, setup, |_| {});
        fleet.until("all see all", |views| views.iter().all(|v| sees(v, count, 0)));
        fleet
    }

    /// Starts so many after `before` has put faults between them.
    pub fn begin(seed: u64, count: usize, before: impl FnOnce(&Relay)) -> Fleet {
        Fleet::set_up(seed, count, Setup::default(), before)
    }

    fn set_up(seed: u64, count: usize, setup: Setup, before: impl FnOnce(&Relay)) -> Fleet {
        let relay = Relay::start(count, seed);
        before(&relay);
        let workers: Vec<Worker> = (0..setup.workers).map(|_| Worker::with(setup.power)).collect();
        let to: Vec<SocketAddr> = workers.iter().map(|w| w.address).collect();
        // Only zones can be cut off from workers; else each is reached straight.
        let crossing = Crossing::start(if setup.zones > 1 { count } else { 0 }, &to);
        let mut fleet = Fleet {
            relay,
            history: History::default(),
            group: group(),
            seed,
            setup,
            began: Instant::now(),
            workers,
            crossing,
            names: [Names::start(), Names::start()],
            serial: 1,
            mute: UdpSocket::bind("127.0.0.1:0").expect("a socket"),
            listless: vec![false; count],
            programs: (0..count).map(|_| None).collect(),
            askers: Vec::new(),
            faulty: vec![false; count],
            killed: vec![false; count],
            expected: count,
        };
        for n in 0..count {
            fleet.launch(n);
            let to = fleet.programs[n].as_ref().map(|p| p.address);
            let clients = 0..fleet.setup.clients as u64;
            let salt = |c: u64| (seed << 10 | c << 4 | n as u64) & 0xffff;
            fleet.askers.push(clients.map(|c| Asker::start(salt(c), to, fleet.setup.manner)).collect());
        }
        fleet
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.programs.len()
    }

    /// A dispatcher's configuration.
    pub fn config(&self, n: usize) -> Value {
        let straight: Vec<_> = self.workers.iter().map(|w| w.address).collect();
        let addresses = if self.setup.zones > 1 { self.crossing.addresses(n) } else { &straight };
        let mut config = stand::config_at(addresses, &self.names[n % 2]);
        if self.setup.zones > 1 {
            let zones: Vec<String> = (0..self.setup.zones).map(zone).collect();
            config["settings"]["my_zone"] = json!(n % self.setup.zones);
            config["settings"]["zones"] = json!(zones);
            let list = &mut config["known"]["batch"][0]["topology"]["instances"];
            for w in 0..straight.len() {
                list[w]["zone"] = json!(zone(w % self.setup.zones));
            }
        }
        config["settings"]["rules"]["warm_after_us"] = json!(self.setup.warm.as_micros() as u64);
        config["name"] = json!(name(n));
        config["ops"] = json!("127.0.0.1:0");
        config["settings"]["balancers"] = json!(self.expected);
        config["settings"]["me"] = json!(n);
        for (class, credit) in self.setup.credits.iter().enumerate() {
            config["settings"]["lanes"][class]["credit"] = json!(credit);
        }
        if self.listless[n] {
            config["names"] = json!(self.mute.local_addr().expect("an address").to_string());
            config.as_object_mut().into_iter().for_each(|c| drop(c.remove("known")));
        }
        config
    }

    /// From its next start on, this one is told no list, and the name service says nothing to it.
    pub fn listless(&mut self, n: usize) {
        self.listless[n] = true;
    }

    /// Has the name services tell these lists under one number, to even and to odd dispatchers, and waits until all take it.
    pub fn lists_told(&mut self, lists: [&[(&str, SocketAddr, u16)]; 2]) {
        self.serial += 1;
        let before: Vec<u64> = (0..self.count()).map(|n| self.counter(n, "lists_applied")).collect();
        for (names, list) in self.names.iter().zip(lists) {
            names.set(self.serial, list);
        }
        let told = |n: &usize| self.programs[*n].is_some() && !self.listless[*n];
        self.until_so("the lists are in use", || {
            (0..self.count()).filter(told).all(|n| self.counter(n, "lists_applied") > before[n])
        });
    }

    /// One of a dispatcher's counters.
    pub fn counter(&self, n: usize, counter: &str) -> u64 {
        self.counters(n).get(counter).copied().unwrap_or_default()
    }

    /// All of them.
    pub fn counters(&self, n: usize) -> BTreeMap<String, u64> {
        self.programs[n].as_ref().map(Program::counters).unwrap_or_default()
    }

    /// Its process.
    pub fn process(&self, n: usize) -> Option<u32> {
        self.programs[n].as_ref().map(|p| p.child.id())
    }

    /// Where clients reach it.
    pub fn address(&self, n: usize) -> Option<SocketAddr> {
        self.programs[n].as_ref().map(|p| p.address)
    }

    /// A worker dies: what it held is lost.
    pub fn kill_worker(&mut self, w: usize) {
        self.note(json!({"kill worker": w}));
        self.workers[w].kill();
    }

    /// It stands again.
    pub fn restart_worker(&mut self, w: usize) {
        self.note(json!({"restart worker": w}));
        self.workers[w].restart();
    }

    /// Clients ask no more.
    pub fn quiet(&mut self) {
        for asker in self.askers.iter_mut().flat_map(|a| a.drain(..)) {
            let _books = asker.end();
        }
    }

    /// Clients ask for nothing that is never repeated, from now on; waits until none of it is open.
    pub fn hold_alerts(&self) {
        self.askers.iter().flatten().for_each(|a| a.hold_alerts(true));
        self.until_so("no alert is open", || !self.askers.iter().flatten().any(Asker::has_alert_open));
    }

    /// They ask for it again.
    pub fn let_alerts(&self) {
        self.askers.iter().flatten().for_each(|a| a.hold_alerts(false));
    }

    /// Waits until something holds that is observed elsewhere than in the views.
    pub fn until_so(&self, what: &str, holds: impl Fn() -> bool) {
        let began = Instant::now();
        while !holds() {
            if began.elapsed() >= PATIENCE {
                let zones: Vec<String> =
                    (0..self.count()).filter_map(|n| Some(self.zones(n)?.to_string())).collect();
                panic!("seed {}: never came: {what}\n{}\n{}", self.seed, self.history, zones.join("\n"));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        self.note(json!({"seen": what}));
    }

    /// Its operator's file.
    pub fn operator(&self, n: usize) -> PathBuf {
        let seeds: Vec<String> =
            (0..self.count().min(3)).map(|s| format!("{:?}", self.relay.address(s).to_string())).collect();
        let older = self.setup.older.contains(&n);
        let overload = if older { "" } else { &self.setup.overload };
        let (zones, home) = (if older { "" } else { &self.setup.zones_told }, zone(n % self.setup.zones));
        stand::file(&format!(
            "{overload}\n{zones}\n[peers]\ngroup = \"{}\"\nlisten = \"127.0.0.1:0\"\nreach = {{ {} = {:?} }}\nseeds = [{}]\nzone = \"{home}\"\nprobe_ms = 100\n\
             probe_timeout_ms = 40\nsync_ms = 200\nhold_ms = {}\njoin_patience_ms = 500\n",
            self.group,
            name(n),
            self.relay.address(n).to_string(),
            seeds.join(", "),
            HOLD.as_millis()
        ))
    }

    fn launch(&mut self, n: usize) {
        let mut command = stand::tied(stand::binary());
        command
            .args(["run", "--log-format", "json", "--operator"])
            .arg(self.operator(n))
            .stderr(Stdio::piped());
        let mut program = Program::launched(command, &self.config(n));
        self.adopt(n, &mut program);
        self.programs[n] = Some(program);
    }

    fn adopt(&self, n: usize, program: &mut Program) {
        self.history.follow(&name(n), program.child.stderr.take().expect("piped"));
        self.history.note("rig", json!({"started": name(n), "pid": program.child.id()}));
        self.relay.place(n, program.peers);
    }

    // ---- Faults ----

    /// Cuts these off from those, both ways.
    pub fn part(&mut self, here: &[usize], there: &[usize]) {
        self.note(json!({"part": [here, there]}));
        here.iter().chain(there).for_each(|n| self.faulty[*n] = true);
        self.relay.part(here, there);
    }

    /// Cuts the way from these to those.
    pub fn cut(&mut self, from: &[usize], to: &[usize]) {
        self.note(json!({"cut": [from, to]}));
        from.iter().chain(to).for_each(|n| self.faulty[*n] = true);
        self.relay.cut(from, to);
    }

    /// Loss, delay and doubling on every link.
    pub fn disturb(&mut self, loss: u32, delay: Duration, doubled: u32) {
        self.note(json!({"loss": loss, "delay_ms": delay.as_millis() as u64, "doubled": doubled}));
        self.faulty.fill(true);
        self.relay.faults(|f| (f.loss, f.delay, f.doubled) = (loss, delay, doubled));
    }

    /// All links are whole again.
    pub fn heal(&self) {
        self.note(json!("heal"));
        self.relay.heal();
    }

    fn moved(&self, n: usize, to: Option<SocketAddr>) {
        self.askers[n].iter().for_each(|a| a.moved(to));
    }

    /// Requests of its clients that were served until now.
    pub fn served(&self, n: usize) -> u64 {
        self.askers[n].iter().map(Asker::served).sum()
    }

    /// Served and refused, by class, of all its clients.
    pub fn classes(&self, n: usize) -> [[u64; 2]; 3] {
        let all = self.askers[n].iter().map(Asker::classes);
        all.fold([[0; 2]; 3], |sum, c| std::array::from_fn(|k| std::array::from_fn(|w| sum[k][w] + c[k][w])))
    }

    /// The clients of this one stop asking.
    pub fn silence(&mut self, n: usize) {
        for asker in self.askers[n].drain(..) {
            let [asked, served, other, broken] = asker.end();
            assert_eq!(asked, served + other + broken, "an answer is missing");
        }
    }

    /// All but so many clients of each dispatcher stop asking.
    pub fn fewer(&mut self, clients: usize) {
        for askers in &mut self.askers {
            for asker in askers.drain(clients.min(askers.len())..) {
                let [asked, served, other, broken] = asker.end();
                assert_eq!(asked, served + other + broken, "an answer is missing");
            }
        }
    }

    /// Tries at workers beyond the first of each request, and the time since the beginning.
    pub fn resent(&self) -> (u64, Duration) {
        let mut tries = BTreeMap::<String, u64>::new();
        for worker in &self.workers {
            for (rid, run) in worker.runs() {
                *tries.entry(rid).or_default() += u64::from(run.tries);
            }
        }
        (tries.values().map(|t| t - 1).sum(), self.began.elapsed())
    }

    /// What a dispatcher knows of budgets and the level.
    pub fn budgets(&self, n: usize) -> Option<Value> {
        self.programs[n].as_ref().and_then(Program::budgets_report)
    }

    /// What a dispatcher knows of zones.
    pub fn zones(&self, n: usize) -> Option<Value> {
        self.programs[n].as_ref().and_then(Program::zones_report)
    }

    /// Its step and epoch to a zone.
    pub fn step(&self, n: usize, of: usize) -> Option<(u64, u64)> {
        let report = self.zones(n)?;
        let own = zone(of);
        let told = report["zones"].as_array()?.iter().find(|h| h["zone"] == *own)?;
        told["step"].as_u64().zip(told["epoch"].as_u64())
    }

    /// Dispatchers that stand in a zone, or those that do not.
    pub fn of_zone(&self, of: usize, inside: bool) -> Vec<usize> {
        (0..self.count()).filter(|n| (n % self.setup.zones == of) == inside).collect()
    }

    /// Workers that stand in a zone.
    pub fn workers_of(&self, of: usize) -> Vec<usize> {
        (0..self.workers.len()).filter(|w| w % self.setup.zones == of).collect()
    }

    /// Calls a dispatcher's door; the status.
    pub fn call(&self, n: usize, method: &str, path: &str) -> u16 {
        self.programs[n].as_ref().map_or(0, |p| p.call(method, path))
    }

    /// SIGKILL.
    pub fn kill(&mut self, n: usize) {
        self.note(json!({"kill": name(n)}));
        (self.faulty[n], self.killed[n]) = (true, true);
        self.relay.place(n, None);
        self.moved(n, None);
        self.programs[n].take().into_iter().for_each(Program::kill);
    }

    /// SIGTERM, and waits for its end.
    pub fn end(&mut self, n: usize) {
        self.note(json!({"end": name(n)}));
        (self.faulty[n], self.killed[n]) = (true, true);
        // Its client goes elsewhere first, as balancers see to.
        self.moved(n, None);
        if let Some(program) = self.programs[n].take() {
            let (code, _) = program.end();
            assert_eq!(code, Some(0), "{} ends well", name(n));
        }
        self.relay.place(n, None);
    }

    /// Starts it again, knowing nothing.
    pub fn restart(&mut self, n: usize) {
        self.launch(n);
        self.moved(n, self.address(n));
    }

    /// Stands still: SIGSTOP.
    pub fn stop(&mut self, n: usize) {
        self.note(json!({"stop": name(n)}));
        self.faulty[n] = true;
        self.signal(n, rustix::process::Signal::STOP);
    }

    /// Goes on: SIGCONT.
    pub fn go_on(&self, n: usize) {
        self.note(json!({"go on": name(n)}));
        self.signal(n, rustix::process::Signal::CONT);
    }

    fn signal(&self, n: usize, signal: rustix::process::Signal) {
        self.programs[n].iter().for_each(|p| p.signal(signal));
    }

    /// A second process beside the one that runs under this name: it takes over, and the old one ends.
    pub fn upgrade(&mut self, n: usize, socket: &TcpListener, folder: &std::path::Path) {
        self.note(json!({"upgrade": name(n)}));
        self.faulty[n] = true;
        let operator = self.operator(n);
        let words = ["run", "--log-format", "json", "--operator", operator.to_str().expect("a path")];
        let mut next = Program::beside_told(&words, socket, folder, &self.config(n), Stdio::piped());
        self.history.follow(&name(n), next.child.stderr.take().expect("piped"));
        next.until_ready();
        if let Some(old) = self.programs[n].take() {
            let (code, _) = old.end();
            assert_eq!(code, Some(0), "the old process ends well");
        }
        // It speaks only once the other has gone, and says where.
        let began = Instant::now();
        loop {
            let view = next.peers_report();
            if let Some(address) = view.as_ref().and_then(|v| v["address"].as_str()) {
                next.peers = address.parse().ok();
                break;
            }
            assert!(began.elapsed() < PATIENCE, "the new process never meets others\n{}", self.history);
        }
        self.relay.place(n, next.peers);
        self.programs[n] = Some(next);
    }

    /// Replaces a process by one that shares a socket and a folder with its successors.
    pub fn share(&mut self, n: usize, socket: &TcpListener, folder: &std::path::Path) {
        self.end(n);
        let operator = self.operator(n);
        let words = ["run", "--log-format", "json", "--operator", operator.to_str().expect("a path")];
        let mut program = Program::beside_told(&words, socket, folder, &self.config(n), Stdio::piped());
        self.adopt(n, &mut program);
        let to = socket.local_addr().ok();
        self.programs[n] = Some(program);
        self.moved(n, to);
    }

    // ---- What is observed ----

    /// What a dispatcher knows.
    pub fn view(&self, n: usize) -> Value {
        let report = self.programs[n].as_ref().and_then(Program::peers_report);
        report.unwrap_or_else(|| panic!("{} tells nothing of its peers\n{}", name(n), self.history))
    }

    /// Of all that run.
    pub fn views(&self) -> Vec<Value> {
        (0..self.count()).filter(|n| self.programs[*n].is_some()).map(|n| self.view(n)).collect()
    }

    /// Waits until the views are so.
    pub fn until(&self, what: &str, holds: impl Fn(&[Value]) -> bool) {
        let began = Instant::now();
        loop {
            let views = self.views();
            if holds(&views) {
                return self.note(json!({"seen": what}));
            }
            if began.elapsed() > PATIENCE {
                let short = |v: &Value| {
                    let states: Vec<String> = v["members"]
                        .as_array()
                        .into_iter()
                        .flatten()
                        .map(|m| format!("{}={}", m["name"], m["state"]))
                        .collect();
                    format!(
                        "{} {} alive {} silent {} agreed {} parts {}: {}",
                        v["name"],
                        v["part"],
                        v["alive"],
                        v["silent"],
                        v["agreed"],
                        v["parts"],
                        states.join(" ")
                    )
                };
                let views: Vec<String> = views.iter().map(short).collect();
                panic!("seed {}: never came: {what}\n{}\n{}", self.seed, self.history, views.join("\n"));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// The same of some.
    pub fn until_of(&self, who: &[usize], what: &str, holds: impl Fn(&Value) -> bool) {
        let names: Vec<String> = who.iter().map(|n| name(*n)).collect();
        let own = |v: &Value| names.iter().any(|n| v["name"] == **n);
        self.until(what, |views| views.iter().filter(|v| own(v)).all(&holds));
    }

    /// The parts that all that run take of a common budget.
    pub fn shares(&self) -> f64 {
        self.views().iter().filter_map(|v| v["parts"].as_f64()).map(|parts| 1.0 / parts).sum()
    }

    /// Waits until clients of these have been served again, after whatever happened.
    pub fn until_served(&self, who: &[usize]) {
        let who: Vec<usize> = who.iter().copied().filter(|n| !self.askers[*n].is_empty()).collect();
        let before: Vec<u64> = who.iter().map(|n| self.served(*n)).collect();
        let began = Instant::now();
        while who.iter().zip(&before).any(|(n, before)| self.served(*n) < before + 3) {
            assert!(
                began.elapsed() < PATIENCE,
                "seed {}: clients are not served\n{}",
                self.seed,
                self.history
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn note(&self, what: Value) {
        self.history.note("rig", what);
    }

    /// Judges all: every request of a dispatcher that was not killed has its one answer, served; nothing unsafe ran twice;
    /// no panic; nobody sound was held failed by one that was sound.
    pub fn judge(mut self) {
        let all: Vec<usize> = (0..self.count()).filter(|n| self.programs[*n].is_some()).collect();
        self.until_served(&all);
        let tell = |why: String| format!("seed {}: {why}\n{}", self.seed, self.history);
        for (n, askers) in std::mem::take(&mut self.askers).into_iter().enumerate() {
            for asker in askers {
                let [asked, served, other, broken] = asker.end();
                let sum = served + other + broken;
                assert_eq!(asked, sum, "{}", tell(format!("an answer of {} is missing", name(n))));
                let may = self.killed[n] || !self.setup.strict;
                let well = other == 0 && broken == 0;
                assert!(may || well, "{}", tell(format!("of {asked}, {} has not served all", name(n))));
            }
        }
        assert_eq!(
            run_twice(&self.workers),
            Vec::<String>::new(),
            "{}",
            tell("unsafe requests ran twice".into())
        );
        if let Err(why) = judge(&self.history, &self.faulty, name) {
            panic!("{}", tell(why.to_string()));
        }
    }
}

/// Whether a view has so many alive, itself among them, and so many silent, and all that are alive agree.
pub fn sees(view: &Value, alive: usize, silent: usize) -> bool {
    view["alive"] == alive && view["silent"] == silent && view["agreed"] == true
}
