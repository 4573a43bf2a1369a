//! The dispatcher as a child process, its configuration, and a stub executor whose lines the test answers itself. Names are
//! re-exported for the stub name service and the client. Every wait is bounded by [`PATIENCE`].

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use procfs::net::TcpNetEntry;
use procfs::process::{FDInfo, FDTarget};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

pub use crate::name_service::{ListEntry, Names, list_answer};
pub use crate::thrift_client::{Client, Reply, call, fields, message};

/// The timeout of every wait: far longer than any step takes, so that only a failure reaches it.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// The function that most tests request.
pub const FUNCTION: &str = "7f3a9c21e0b4d655";

/// Returns the name of the `n`th function; the first is [`FUNCTION`].
pub fn function(n: u64) -> String {
    let base = u64::from_str_radix(FUNCTION, 16).expect("hex");
    format!("{:016x}", base.wrapping_add(n))
}

/// Writes a new temporary file with a unique name and returns its path.
pub fn file(text: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    static FOLDER: std::sync::OnceLock<tempfile::TempDir> = std::sync::OnceLock::new();
    let folder = FOLDER.get_or_init(|| tempfile::tempdir().expect("a folder"));
    let path = folder.path().join(format!("{}-{number}", std::process::id()));
    std::fs::write(&path, text).expect("a file to write");
    path
}

/// Creates a new temporary directory and returns its path.
pub fn folder() -> PathBuf {
    let path = file("").with_extension("d");
    std::fs::create_dir_all(&path).expect("a folder");
    path
}

// ---- The dispatcher ----

/// Returns the dispatcher's executable, which cargo has built next to the running test or benchmark.
pub fn binary() -> PathBuf {
    try_binary().expect("the program, built beside this")
}

/// Returns the dispatcher's executable, if it has been built.
pub fn try_binary() -> Option<PathBuf> {
    let own = std::env::current_exe().ok()?;
    own.ancestors().skip(1).take(3).map(|dir| dir.join("ochreward")).find(|path| path.is_file())
}

/// Returns a command whose process the kernel kills when the thread that started it ends, in whatever way, even while the process
/// is stopped by a signal.
pub fn tied(program: impl AsRef<std::ffi::OsStr>) -> Command {
    let mut command = Command::new("setpriv");
    command.args(["--pdeathsig", "KILL", "--"]).arg(program);
    command
}

/// A running dispatcher process.
pub struct Program {
    pub child: Child,
    /// The address at which it accepts clients, from its first lines of output.
    pub address: SocketAddr,
    /// The path of its configuration file.
    pub path: PathBuf,
    /// The address of its admin endpoint, if it has one.
    pub door: Option<SocketAddr>,
    /// The address at which it accepts stations, if it does.
    pub stations: Option<SocketAddr>,
    /// The address at which it receives messages from other dispatchers, if it does.
    pub peers: Option<SocketAddr>,
    lines: Receiver<String>,
}

impl Program {
    pub fn start(config: &Value) -> Program {
        Program::run(&["run"], config)
    }

    pub fn run(words: &[&str], config: &Value) -> Program {
        let mut command = tied(binary());
        command.args(words);
        Program::spawn(command, config)
    }

    /// Starts a dispatcher that accepts stations, and returns it with its address for them.
    pub fn run_with_stations(words: &[&str], config: &Value) -> (Program, SocketAddr) {
        let program = Program::run(words, config);
        let stations = program.stations.expect("it takes stations");
        (program, stations)
    }

    /// Starts a dispatcher with this limit on file descriptors.
    pub fn limited(descriptors: u32, config: &Value) -> Program {
        let mut command = tied("/bin/sh");
        command.args(["-c", &format!("ulimit -n {descriptors}; exec {}", binary().display())]);
        Program::spawn(command, config)
    }

    /// Starts one of several processes of the same dispatcher, which share a state directory and the listening socket.
    pub fn beside(socket: &TcpListener, folder: &Path, config: &Value) -> Program {
        Program::beside_with(&[], socket, folder, config)
    }

    pub fn beside_with(words: &[&str], socket: &TcpListener, folder: &Path, config: &Value) -> Program {
        Program::beside_told(words, socket, folder, config, Stdio::inherit())
    }

    /// Like `beside_with`, with the process's standard error directed to `events`.
    pub fn beside_told(
        words: &[&str],
        socket: &TcpListener,
        folder: &Path,
        config: &Value,
        events: Stdio,
    ) -> Program {
        let mut command = tied("/bin/sh");
        command.stderr(events);
        // The shell moves the socket from standard input to the descriptor named in ROUTER_INHERITED_FD.
        let script = format!("exec 7<&0 </dev/null; exec {} \"$@\"", binary().display());
        command.args(["-c", &script, "sh"]).args(words);
        command.stdin(Stdio::from(OwnedFd::from(socket.try_clone().expect("a socket"))));
        command.env("ROUTER_INHERITED_FD", "7").env("TMPDIR", folder).env("ROUTER_OPS", "127.0.0.1:0");
        Program::launch(command, config)
    }

    /// Starts the dispatcher by a command that the caller has prepared.
    pub fn launched(command: Command, config: &Value) -> Program {
        Program::spawn(command, config)
    }

    /// Like `launched`, with a state directory that outlives the process.
    pub fn launched_in(mut command: Command, folder: &Path, config: &Value) -> Program {
        command.env_remove("ROUTER_OPS").env_remove("ROUTER_INHERITED_FD").env("TMPDIR", folder);
        Program::launch(command, config)
    }

    fn spawn(mut command: Command, config: &Value) -> Program {
        command.env_remove("TMPDIR").env_remove("ROUTER_OPS").env_remove("ROUTER_INHERITED_FD");
        Program::launch(command, config)
    }

    fn launch(mut command: Command, config: &Value) -> Program {
        let path = file(&config.to_string());
        let mut child = command
            .env_remove("ROUTER_NAME")
            .env_remove("ROUTER_LISTEN")
            .env("ROUTER_CONFIG", &path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let (line_sender, lines) = channel();
        let stdout = BufReader::new(child.stdout.take().expect("piped"));
        std::thread::spawn(move || {
            stdout.lines().map_while(Result::ok).try_for_each(|line| line_sender.send(line))
        });
        let address = |line: &str| line.rsplit(' ').next().and_then(|a| a.parse().ok()).expect("an address");
        let mut output = lines.recv_timeout(PATIENCE).expect("a first line");
        let (mut door, mut stations, mut peers) = (None, None, None);
        if output.contains("answers operators") {
            door = Some(address(&output));
            output = lines.recv_timeout(PATIENCE).expect("a line");
        }
        if output.contains("takes stations") {
            stations = Some(address(&output));
            output = lines.recv_timeout(PATIENCE).expect("a line");
        }
        if output.contains("meets others") {
            peers = Some(address(&output));
            output = lines.recv_timeout(PATIENCE).expect("a line");
        }
        Program { child, address: address(&output), path, door, stations, peers, lines }
    }

    /// Sends a request to the admin endpoint and returns the status code.
    pub fn call(&self, method: &str, path: &str) -> u16 {
        self.send_to_door(&format!("{method} {path} HTTP/1.1\r\nHost: door\r\n\r\n"))
    }

    /// Sends these bytes to the admin endpoint and returns the status code.
    pub fn send_to_door(&self, words: &str) -> u16 {
        let text = self.admin_request(words).expect("an answer");
        text.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or_else(|| panic!("no status: {text}"))
    }

    /// Returns its report on peers, if peering is configured.
    pub fn peers_report(&self) -> Option<Value> {
        let text = self.admin_request("GET /_peers HTTP/1.1\r\nHost: door\r\n\r\n").ok()?;
        let (head, body) = text.split_once("\r\n\r\n")?;
        head.contains(" 200 ").then(|| serde_json::from_str(body.trim_end()).ok()).flatten()
    }

    /// Returns its report on budgets and the overload level, if these are configured.
    pub fn budgets_report(&self) -> Option<Value> {
        let text = self.admin_request("GET /_budgets HTTP/1.1\r\nHost: door\r\n\r\n").ok()?;
        let (head, body) = text.split_once("\r\n\r\n")?;
        head.contains(" 200 ").then(|| serde_json::from_str(body.trim_end()).ok()).flatten()
    }

    /// Returns its report on zones, if zones are configured.
    pub fn zones_report(&self) -> Option<Value> {
        let text = self.admin_request("GET /_zones HTTP/1.1\r\nHost: door\r\n\r\n").ok()?;
        let (head, body) = text.split_once("\r\n\r\n")?;
        head.contains(" 200 ").then(|| serde_json::from_str(body.trim_end()).ok()).flatten()
    }

    fn admin_request(&self, words: &str) -> std::io::Result<String> {
        let mut stream = TcpStream::connect(self.door.expect("a door"))?;
        stream.set_read_timeout(Some(PATIENCE))?;
        stream.write_all(words.as_bytes())?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text)
    }

    /// Waits until it reports that it is ready.
    pub fn until_ready(&self) {
        let began = std::time::Instant::now();
        while self.call("GET", "/_ready") != 200 {
            assert!(began.elapsed() < PATIENCE, "the dispatcher did not become ready");
        }
    }

    pub fn signal(&self, signal: rustix::process::Signal) {
        let pid = rustix::process::Pid::from_raw(self.child.id() as i32).expect("a process");
        rustix::process::kill_process(pid, signal).expect("a signal");
    }

    /// Returns the next line of its standard output.
    pub fn line(&self) -> String {
        self.lines.recv_timeout(PATIENCE).expect("a line")
    }

    /// Stops the process, so that everything sent to it until `go_on` is handled in one iteration of its event loop. Returns once
    /// the kernel reports it as stopped.
    pub fn stand_still(&self) {
        self.signal(rustix::process::Signal::STOP);
        let process = procfs::process::Process::new(self.child.id() as i32).expect("a process");
        until("the process was not stopped", || process.stat().expect("its state").state == 'T');
    }

    /// Resumes the process once everything sent to it meanwhile has arrived at its sockets. Without this wait, on a busy machine a
    /// close still in transit would be handled an iteration later than the data sent before it.
    pub fn go_on(&self) {
        let local_addresses = self.local_addresses();
        until("data sent to the stopped process did not arrive", || {
            let in_transit = |e: &TcpNetEntry| e.tx_queue > 0 && local_addresses.contains(&e.remote_address);
            !procfs::net::tcp().expect("the system's connections").iter().any(in_transit)
        });
        self.signal(rustix::process::Signal::CONT);
    }

    /// Returns the local addresses of its TCP sockets.
    fn local_addresses(&self) -> BTreeSet<SocketAddr> {
        let process = procfs::process::Process::new(self.child.id() as i32).expect("a process");
        let socket = |fd: FDInfo| if let FDTarget::Socket(inode) = fd.target { Some(inode) } else { None };
        let fds = process.fd().expect("its descriptors");
        let sockets: BTreeSet<u64> = fds.filter_map(|fd| socket(fd.ok()?)).collect();
        let all = procfs::net::tcp().expect("the system's connections");
        all.iter().filter(|e| sockets.contains(&e.inode)).map(|e| e.local_address).collect()
    }

    /// Waits until the connection to it from this address has been reset at its end. The kernel's connection table is the only
    /// place where the arrival of a reset shows.
    pub fn until_reset(&self, from: SocketAddr) {
        until("the reset did not arrive", || {
            let all = procfs::net::tcp().expect("the system's connections");
            !all.iter().any(|e| e.remote_address == from && e.local_address.port() == self.address.port())
        });
    }

    /// Requests its counters by SIGUSR1 and returns them.
    pub fn counters(&self) -> BTreeMap<String, u64> {
        self.signal(rustix::process::Signal::USR1);
        counters(&self.line())
    }

    /// Sends SIGTERM, waits for the exit, and returns the exit code and the counters printed at exit.
    pub fn end(mut self) -> (Option<i32>, BTreeMap<String, u64>) {
        self.signal(rustix::process::Signal::TERM);
        let last = self.line();
        (self.child.wait().expect("an end").code(), counters(&last))
    }

    pub fn kill(mut self) {
        self.child.kill().expect("killed");
        self.child.wait().expect("an end");
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn counters(line: &str) -> BTreeMap<String, u64> {
    let pairs = line.strip_prefix("counters ").unwrap_or_else(|| panic!("no counters: {line}"));
    let pair = |p: &str| p.split_once('=').map(|(n, v)| (n.to_string(), v.parse().expect("a count")));
    pairs.split(' ').filter_map(pair).collect()
}

/// Waits until the counter `name` is above 0; `never` is the failure message.
pub fn until_counted(program: &Program, name: &str, never: &str) {
    until(never, || program.counters()[name] > 0);
}

/// Waits until a condition holds; `never` is the failure message.
pub fn until(never: &str, holds: impl Fn() -> bool) {
    let began = std::time::Instant::now();
    while !holds() {
        assert!(began.elapsed() < PATIENCE, "{never}");
        std::thread::yield_now();
    }
}

/// Returns a configuration whose initial list has these executors, all ready.
pub fn config(executors: &[&Executor], names: &Names) -> Value {
    config_at(&executors.iter().map(|e| e.address).collect::<Vec<_>>(), names)
}

/// Returns a configuration whose initial list has ready executors at these addresses.
pub fn config_at(executors: &[SocketAddr], names: &Names) -> Value {
    let instance = |(i, address): (usize, &SocketAddr)| {
        json!({"instanceId": format!("s{i}"), "hostPort": address.to_string(), "zone": "a", "machineType": "std",
               "cell": 0, "lifecycle": "in_service", "weight": 4, "startedAtMs": 0})
    };
    let instances: Vec<Value> = executors.iter().enumerate().map(instance).collect();
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "key_scope": "all", "promise_us": 800000, "deadline_us": 20000000,
               "repeat_window_us": 15000000, "credit": 1.0, "late_worth": 0.2})
    };
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "names": names.address.to_string(),
        "known": {"offset": 1, "batch": [
            {"offset": 1, "topology": {"generation": 1, "reset": true, "instances": instances}}]},
        "settings": {
            "balancers": 1, "me": 0, "my_zone": 0, "zones": ["a", "b"], "kinds": ["std"], "tick_us": 4000,
            "lanes": [class("flow-read", "idempotent"), class("level-log", "deduplicated"),
                      class("alert-send", "at_most_once")],
            "orgs": [{"name": "acme", "quota_per_s": 1000.0}],
            "limits": {"cancel": true, "may_duplicate": false, "send_cap": 3, "retry_after": true,
                       "max_retry_after_us": 1000000, "connect_timeout_us": 1000000, "keepalive_us": 15000000,
                       "streams_per_conn": 32, "max_open": 1000},
            "rules": {"cold_share": 0.15, "fall_multiple": 2.0, "fall_us": 1500000, "warm_after_us": 14000000},
            "family_info": {"keep_alive_us": 9300000, "tells_warm": true, "miss_mode": "load",
                            "notes_peers_in_hand": true}}})
}

// ---- Executors ----

/// A line that an executor received, and its connection.
pub struct Line {
    pub value: Value,
    pub connection: TcpStream,
}

impl Line {
    pub fn verb(&self) -> &str {
        self.value["verb"].as_str().unwrap_or_default()
    }

    pub fn answer(&mut self, verb: &str, attrs: Value, body: &[u8]) {
        assert!(self.try_answer(verb, attrs, body), "an answer sent");
    }

    /// Sends an answer to a dispatcher that may have exited; returns whether it could be written.
    pub fn try_answer(&mut self, verb: &str, attrs: Value, body: &[u8]) -> bool {
        let content = STANDARD.encode(body);
        let line = json!({"verb": verb, "rid": self.value["rid"], "attrs": attrs, "content": content});
        // One write: with several small ones, Nagle's algorithm delays each until the one before is acknowledged.
        self.connection.write_all(format!("{line}\n").as_bytes()).is_ok()
    }

    pub fn ok(&mut self, body: &[u8]) {
        self.answer("OK", json!({"note": "up"}), body);
    }

    pub fn body(&self) -> Vec<u8> {
        STANDARD.decode(self.value["content"].as_str().unwrap_or_default()).expect("base64")
    }
}

/// A stub executor that passes each received line to the test.
pub struct Executor {
    pub address: SocketAddr,
    lines: Receiver<Line>,
}

impl Executor {
    pub fn start() -> Executor {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("an address");
        let (line_sender, lines) = channel();
        std::thread::spawn(move || {
            for connection in listener.incoming().map_while(Result::ok) {
                let line_sender: Sender<Line> = line_sender.clone();
                std::thread::spawn(move || {
                    let reader = BufReader::new(connection.try_clone().expect("a connection"));
                    for line in reader.lines().map_while(Result::ok) {
                        let value = serde_json::from_str(&line).expect("JSON");
                        let connection = connection.try_clone().expect("a connection");
                        if line_sender.send(Line { value, connection }).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Executor { address, lines }
    }

    /// Returns the next line, waiting without a limit; `None` once no connection can deliver one.
    pub fn line(&self) -> Option<Line> {
        self.lines.recv().ok()
    }

    /// Returns the next request, skipping lines with other verbs.
    pub fn next(&self) -> Line {
        loop {
            let line = self.lines.recv_timeout(PATIENCE).expect("a line");
            if line.verb() == "go" {
                return line;
            }
        }
    }

    /// Returns a request if one has arrived.
    pub fn poll(&self) -> Option<Line> {
        self.lines.try_iter().find(|l| l.verb() == "go")
    }

    /// Returns the number of requests that have arrived and were not yet read.
    pub fn left(&self) -> usize {
        self.lines.try_iter().filter(|l| l.verb() == "go").count()
    }
}
