//! A group of real dispatcher processes with peering between them, and the stub workers, name services and clients that belong to
//! it. Messages between dispatchers pass through a [`Relay`], and with several zones those to workers through a [`Crossing`], so
//! that both can be cut. Waits are bounded by `PATIENCE`; at the end [`Fleet::judge`] checks the clients' counts and the merged
//! history.

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

/// The longest time from suspicion of a member to its failure, under the settings of `Fleet::operator` in a group of up to ten.
pub const SUSPICION: Duration = Duration::from_millis(1_600);
/// The `hold_ms` setting: no effect of a silent member arrives later than this.
pub const HOLD: Duration = Duration::from_millis(1_000);

/// The composition of a fleet.
pub struct Setup {
    /// The capacity of each worker.
    pub power: Power,
    /// The number of workers.
    pub workers: usize,
    /// The `[overload]` section of the operator's files; empty for none.
    pub overload: String,
    /// Dispatchers without `[overload]` and `[zones]`, like those of an older version.
    pub older: Vec<usize>,
    /// The credit of a request of each class.
    pub credits: [f64; 3],
    /// The number of clients of each dispatcher.
    pub clients: usize,
    /// The behaviour of the clients.
    pub manner: Manner,
    /// Whether every request to a dispatcher that was not killed must be served.
    pub strict: bool,
    /// The number of zones, to which dispatchers and workers are assigned in turn.
    pub zones: usize,
    /// The `[zones]` section of the operator's files; empty for none.
    pub zones_told: String,
    /// The time from a worker's start until it is warm.
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

/// A running group of dispatchers and its stubs.
pub struct Fleet {
    /// The relay for messages between dispatchers.
    pub relay: Relay,
    /// The merged events of all processes and of the test kit.
    pub history: History,
    /// The group's name, unique among all fleets. Addresses are reused at once, so the last processes of an ended fleet may still
    /// send to an address that now belongs to this one; the name makes their messages invalid.
    pub group: String,
    seed: u64,
    setup: Setup,
    began: Instant,
    /// The stub workers.
    pub workers: Vec<Worker>,
    /// The proxies between dispatchers and workers.
    pub crossing: Crossing,
    /// The name service of the even dispatchers and that of the odd ones.
    names: [Names; 2],
    /// The serial number of their current list.
    serial: u32,
    /// A socket that stands for a name service without answers.
    silent_names: UdpSocket,
    /// Whether a dispatcher is started without a list and with the silent name service.
    without_list: Vec<bool>,
    programs: Vec<Option<Program>>,
    /// The clients, by the dispatcher that they send to.
    askers: Vec<Vec<Asker>>,
    /// Whether a dispatcher was killed, stopped, cut off or lost packets.
    faulty: Vec<bool>,
    /// Whether a dispatcher was killed or ended, so that its clients may have lost a connection.
    killed: Vec<bool>,
    expected: usize,
}

/// Returns a group name that no other fleet has, in this process or another.
fn unique_group() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    format!("g{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Returns the name of the `n`th zone.
pub fn zone(n: usize) -> String {
    format!("zone-{}", char::from(b'a' + n as u8))
}

/// Returns the name of the `n`th dispatcher.
pub fn name(n: usize) -> String {
    format!("n{n}")
}

impl Fleet {
    /// Starts `count` dispatchers without faults, and waits until each lists all others as alive.
    pub fn start(seed: u64, count: usize) -> Fleet {
        let fleet = Fleet::begin(seed, count, |_| {});
        fleet.until("all see all", |views| views.iter().all(|v| sees(v, count, 0)));
        fleet
    }

    /// Like `start`, with this composition.
    pub fn made(seed: u64, count: usize, setup: Setup) -> Fleet {
        let fleet = Fleet::set_up(seed, count, setup, |_| {});
        fleet.until("all see all", |views| views.iter().all(|v| sees(v, count, 0)));
        fleet
    }

    /// Starts `count` dispatchers after `before` has set faults on the relay; does not wait.
    pub fn begin(seed: u64, count: usize, before: impl FnOnce(&Relay)) -> Fleet {
        Fleet::set_up(seed, count, Setup::default(), before)
    }

    fn set_up(seed: u64, count: usize, setup: Setup, before: impl FnOnce(&Relay)) -> Fleet {
        let relay = Relay::start(count, seed);
        before(&relay);
        let workers: Vec<Worker> = (0..setup.workers).map(|_| Worker::with(setup.power)).collect();
        let to: Vec<SocketAddr> = workers.iter().map(|w| w.address).collect();
        // Only fleets with several zones can cut dispatchers off from workers; the others connect directly.
        let crossing = Crossing::start(if setup.zones > 1 { count } else { 0 }, &to);
        let mut fleet = Fleet {
            relay,
            history: History::default(),
            group: unique_group(),
            seed,
            setup,
            began: Instant::now(),
            workers,
            crossing,
            names: [Names::start(), Names::start()],
            serial: 1,
            silent_names: UdpSocket::bind("127.0.0.1:0").expect("a socket"),
            without_list: vec![false; count],
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

    /// Returns the number of dispatchers, running or not.
    pub fn count(&self) -> usize {
        self.programs.len()
    }

    /// Returns the configuration of a dispatcher.
    pub fn config(&self, n: usize) -> Value {
        let direct: Vec<_> = self.workers.iter().map(|w| w.address).collect();
        let addresses = if self.setup.zones > 1 { self.crossing.addresses(n) } else { &direct };
        let mut config = stand::config_at(addresses, &self.names[n % 2]);
        if self.setup.zones > 1 {
            let zones: Vec<String> = (0..self.setup.zones).map(zone).collect();
            config["settings"]["my_zone"] = json!(n % self.setup.zones);
            config["settings"]["zones"] = json!(zones);
            let list = &mut config["known"]["batch"][0]["topology"]["instances"];
            for w in 0..direct.len() {
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
        if self.without_list[n] {
            config["names"] = json!(self.silent_names.local_addr().expect("an address").to_string());
            config.as_object_mut().into_iter().for_each(|c| drop(c.remove("known")));
        }
        config
    }

    /// From its next start on, the dispatcher has no initial list, and its name service does not answer.
    pub fn listless(&mut self, n: usize) {
        self.without_list[n] = true;
    }

    /// Sets the lists of the two name services, for even and odd dispatchers, under one new serial number, and waits until each
    /// running dispatcher with a name service has applied its list.
    pub fn lists_told(&mut self, lists: [&[(&str, SocketAddr, u16)]; 2]) {
        self.serial += 1;
        let before: Vec<u64> = (0..self.count()).map(|n| self.counter(n, "lists_applied")).collect();
        for (names, list) in self.names.iter().zip(lists) {
            names.set(self.serial, list);
        }
        let has_names = |n: &usize| self.programs[*n].is_some() && !self.without_list[*n];
        self.until_so("the lists are in use", || {
            (0..self.count()).filter(has_names).all(|n| self.counter(n, "lists_applied") > before[n])
        });
    }

    /// Returns one counter of a dispatcher; 0 if it is not running.
    pub fn counter(&self, n: usize, counter: &str) -> u64 {
        self.counters(n).get(counter).copied().unwrap_or_default()
    }

    /// Returns all counters of a dispatcher; none if it is not running.
    pub fn counters(&self, n: usize) -> BTreeMap<String, u64> {
        self.programs[n].as_ref().map(Program::counters).unwrap_or_default()
    }

    /// Returns the process id of a dispatcher.
    pub fn process(&self, n: usize) -> Option<u32> {
        self.programs[n].as_ref().map(|p| p.child.id())
    }

    /// Returns the address of a dispatcher for clients.
    pub fn address(&self, n: usize) -> Option<SocketAddr> {
        self.programs[n].as_ref().map(|p| p.address)
    }

    /// Kills a worker; its open requests are lost.
    pub fn kill_worker(&mut self, w: usize) {
        self.note(json!({"kill worker": w}));
        self.workers[w].kill();
    }

    /// Restarts a killed worker.
    pub fn restart_worker(&mut self, w: usize) {
        self.note(json!({"restart worker": w}));
        self.workers[w].restart();
    }

    /// Ends all clients.
    pub fn quiet(&mut self) {
        for asker in self.askers.iter_mut().flat_map(|a| a.drain(..)) {
            let _counts = asker.end();
        }
    }

    /// Stops requests of the at-most-once class, and waits until none is open.
    pub fn hold_alerts(&self) {
        self.askers.iter().flatten().for_each(|a| a.hold_alerts(true));
        self.until_so("no alert is open", || !self.askers.iter().flatten().any(Asker::has_alert_open));
    }

    /// Resumes requests of the at-most-once class.
    pub fn let_alerts(&self) {
        self.askers.iter().flatten().for_each(|a| a.hold_alerts(false));
    }

    /// Waits until a condition holds that is observed elsewhere than in the reports on peers.
    pub fn until_so(&self, what: &str, holds: impl Fn() -> bool) {
        let began = Instant::now();
        while !holds() {
            if began.elapsed() >= PATIENCE {
                let zones: Vec<String> =
                    (0..self.count()).filter_map(|n| Some(self.zones(n)?.to_string())).collect();
                panic!(
                    "seed {}: timed out waiting until: {what}\n{}\n{}",
                    self.seed,
                    self.history,
                    zones.join("\n")
                );
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        self.note(json!({"seen": what}));
    }

    /// Writes the operator's file of a dispatcher and returns its path.
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

    /// Cuts all links between the two sets of dispatchers, in both directions.
    pub fn part(&mut self, here: &[usize], there: &[usize]) {
        self.note(json!({"part": [here, there]}));
        here.iter().chain(there).for_each(|n| self.faulty[*n] = true);
        self.relay.part(here, there);
    }

    /// Cuts all links from the first set of dispatchers to the second, in that direction only.
    pub fn cut(&mut self, from: &[usize], to: &[usize]) {
        self.note(json!({"cut": [from, to]}));
        from.iter().chain(to).for_each(|n| self.faulty[*n] = true);
        self.relay.cut(from, to);
    }

    /// Sets loss, delay and duplication of datagrams on every link.
    pub fn disturb(&mut self, loss: u32, delay: Duration, doubled: u32) {
        self.note(json!({"loss": loss, "delay_ms": delay.as_millis() as u64, "doubled": doubled}));
        self.faulty.fill(true);
        self.relay.faults(|f| (f.loss, f.delay, f.doubled) = (loss, delay, doubled));
    }

    /// Removes all faults from the links.
    pub fn heal(&self) {
        self.note(json!("heal"));
        self.relay.heal();
    }

    fn moved(&self, n: usize, to: Option<SocketAddr>) {
        self.askers[n].iter().for_each(|a| a.moved(to));
    }

    /// Returns the number of requests of a dispatcher's clients served so far.
    pub fn served(&self, n: usize) -> u64 {
        self.askers[n].iter().map(Asker::served).sum()
    }

    /// Returns the numbers of served and refused requests of a dispatcher's clients, by class.
    pub fn classes(&self, n: usize) -> [[u64; 2]; 3] {
        let all = self.askers[n].iter().map(Asker::classes);
        all.fold([[0; 2]; 3], |sum, c| std::array::from_fn(|k| std::array::from_fn(|w| sum[k][w] + c[k][w])))
    }

    /// Ends the clients of a dispatcher, and checks that each of their requests ended.
    pub fn silence(&mut self, n: usize) {
        for asker in self.askers[n].drain(..) {
            let [asked, served, other, broken] = asker.end();
            assert_eq!(asked, served + other + broken, "a request has no recorded end");
        }
    }

    /// Ends all but `clients` clients of each dispatcher, and checks that each of their requests ended.
    pub fn fewer(&mut self, clients: usize) {
        for askers in &mut self.askers {
            for asker in askers.drain(clients.min(askers.len())..) {
                let [asked, served, other, broken] = asker.end();
                assert_eq!(asked, served + other + broken, "a request has no recorded end");
            }
        }
    }

    /// Returns the number of attempts at workers beyond the first of each request, and the time since the fleet's start.
    pub fn resent(&self) -> (u64, Duration) {
        let mut tries = BTreeMap::<String, u64>::new();
        for worker in &self.workers {
            for (rid, run) in worker.runs() {
                *tries.entry(rid).or_default() += u64::from(run.tries);
            }
        }
        (tries.values().map(|t| t - 1).sum(), self.began.elapsed())
    }

    /// Returns a dispatcher's report on budgets and the overload level.
    pub fn budgets(&self, n: usize) -> Option<Value> {
        self.programs[n].as_ref().and_then(Program::budgets_report)
    }

    /// Returns a dispatcher's report on zones.
    pub fn zones(&self, n: usize) -> Option<Value> {
        self.programs[n].as_ref().and_then(Program::zones_report)
    }

    /// Returns a dispatcher's step and epoch for a zone.
    pub fn step(&self, n: usize, of: usize) -> Option<(u64, u64)> {
        let report = self.zones(n)?;
        let zone_name = zone(of);
        let entry = report["zones"].as_array()?.iter().find(|h| h["zone"] == *zone_name)?;
        entry["step"].as_u64().zip(entry["epoch"].as_u64())
    }

    /// Returns the dispatchers inside a zone, or those outside.
    pub fn of_zone(&self, of: usize, inside: bool) -> Vec<usize> {
        (0..self.count()).filter(|n| (n % self.setup.zones == of) == inside).collect()
    }

    /// Returns the workers in a zone.
    pub fn workers_of(&self, of: usize) -> Vec<usize> {
        (0..self.workers.len()).filter(|w| w % self.setup.zones == of).collect()
    }

    /// Sends a request to a dispatcher's admin endpoint and returns the status code; 0 if it is not running.
    pub fn call(&self, n: usize, method: &str, path: &str) -> u16 {
        self.programs[n].as_ref().map_or(0, |p| p.call(method, path))
    }

    /// Kills a dispatcher by SIGKILL.
    pub fn kill(&mut self, n: usize) {
        self.note(json!({"kill": name(n)}));
        (self.faulty[n], self.killed[n]) = (true, true);
        self.relay.place(n, None);
        self.moved(n, None);
        self.programs[n].take().into_iter().for_each(Program::kill);
    }

    /// Ends a dispatcher by SIGTERM and waits for its exit with code 0.
    pub fn end(&mut self, n: usize) {
        self.note(json!({"end": name(n)}));
        (self.faulty[n], self.killed[n]) = (true, true);
        // The clients are disconnected first, as load balancers do before a planned stop.
        self.moved(n, None);
        if let Some(program) = self.programs[n].take() {
            let (code, _) = program.end();
            assert_eq!(code, Some(0), "{} exits with code 0", name(n));
        }
        self.relay.place(n, None);
    }

    /// Starts a dispatcher again, without any state.
    pub fn restart(&mut self, n: usize) {
        self.launch(n);
        self.moved(n, self.address(n));
    }

    /// Stops a dispatcher by SIGSTOP.
    pub fn stop(&mut self, n: usize) {
        self.note(json!({"stop": name(n)}));
        self.faulty[n] = true;
        self.signal(n, rustix::process::Signal::STOP);
    }

    /// Resumes a dispatcher by SIGCONT.
    pub fn go_on(&self, n: usize) {
        self.note(json!({"go on": name(n)}));
        self.signal(n, rustix::process::Signal::CONT);
    }

    fn signal(&self, n: usize, signal: rustix::process::Signal) {
        self.programs[n].iter().for_each(|p| p.signal(signal));
    }

    /// Starts a second process under the same name, waits until it is ready, and ends the old one, which it replaces.
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
            assert_eq!(code, Some(0), "the old process exits with code 0");
        }
        // The new process opens its peering socket only after the old one has exited, and then reports its address.
        let began = Instant::now();
        loop {
            let view = next.peers_report();
            if let Some(address) = view.as_ref().and_then(|v| v["address"].as_str()) {
                next.peers = address.parse().ok();
                break;
            }
            assert!(began.elapsed() < PATIENCE, "the new process did not start peering\n{}", self.history);
        }
        self.relay.place(n, next.peers);
        self.programs[n] = Some(next);
    }

    /// Replaces a process by one whose socket and state directory its successors will share.
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

    /// Returns a dispatcher's report on its peers.
    pub fn view(&self, n: usize) -> Value {
        let report = self.programs[n].as_ref().and_then(Program::peers_report);
        report.unwrap_or_else(|| panic!("{} gave no report on its peers\n{}", name(n), self.history))
    }

    /// Returns the reports of all running dispatchers.
    pub fn views(&self) -> Vec<Value> {
        (0..self.count()).filter(|n| self.programs[*n].is_some()).map(|n| self.view(n)).collect()
    }

    /// Waits until a condition holds for the reports of all running dispatchers.
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
                panic!(
                    "seed {}: timed out waiting until: {what}\n{}\n{}",
                    self.seed,
                    self.history,
                    views.join("\n")
                );
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until a condition holds for each report of these dispatchers.
    pub fn until_of(&self, who: &[usize], what: &str, holds: impl Fn(&Value) -> bool) {
        let names: Vec<String> = who.iter().map(|n| name(*n)).collect();
        let selected = |v: &Value| names.iter().any(|n| v["name"] == **n);
        self.until(what, |views| views.iter().filter(|v| selected(v)).all(&holds));
    }

    /// Returns the sum of the shares of a common budget that the running dispatchers take.
    pub fn shares(&self) -> f64 {
        self.views().iter().filter_map(|v| v["parts"].as_f64()).map(|parts| 1.0 / parts).sum()
    }

    /// Waits until the clients of each of these dispatchers have been served three more requests.
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

    /// Ends the clients and checks that every request got one answer, and a served one unless the dispatcher was killed or the setup
    /// is not strict; that no at-most-once request ran twice; that no process panicked; and that no dispatcher without faults
    /// declared another one without faults failed.
    pub fn judge(mut self) {
        let all: Vec<usize> = (0..self.count()).filter(|n| self.programs[*n].is_some()).collect();
        self.until_served(&all);
        let failure = |why: String| format!("seed {}: {why}\n{}", self.seed, self.history);
        for (n, askers) in std::mem::take(&mut self.askers).into_iter().enumerate() {
            for asker in askers {
                let [asked, served, other, broken] = asker.end();
                let sum = served + other + broken;
                assert_eq!(
                    asked,
                    sum,
                    "{}",
                    failure(format!("a request to {} has no recorded end", name(n)))
                );
                let may_fail = self.killed[n] || !self.setup.strict;
                let all_served = other == 0 && broken == 0;
                assert!(
                    may_fail || all_served,
                    "{}",
                    failure(format!("{} did not serve all {asked} requests", name(n)))
                );
            }
        }
        assert_eq!(
            run_twice(&self.workers),
            Vec::<String>::new(),
            "{}",
            failure("at-most-once requests ran twice".into())
        );
        if let Err(why) = judge(&self.history, &self.faulty, name) {
            panic!("{}", failure(why.to_string()));
        }
    }
}

/// Returns whether a report has this many members alive, itself among them, and this many silent, and all that are alive agree.
pub fn sees(view: &Value, alive: usize, silent: usize) -> bool {
    view["alive"] == alive && view["silent"] == silent && view["agreed"] == true
}
