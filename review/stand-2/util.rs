//! Processes of the project, ports, folders, the record, and small helpers.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Writes `record.txt`: one line for each event, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn new(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.start.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:>7} ms  {}", text.as_ref());
    }
}

/// Returns an address on loopback whose port is free for TCP and UDP.
pub fn free_address() -> SocketAddr {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        if std::net::UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// The command of the deploy file that starts one real dispatcher.
pub fn run_command(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("deploy/balancer.toml");
    let line = text.lines().find(|l| l.starts_with("run = ")).expect("the key `run`");
    line.split('"').nth(1).expect("a command").to_string()
}

/// A process of the project, started by the command of the deploy file. It is killed when this is dropped.
pub struct Process {
    pub name: String,
    child: Child,
    output: Arc<Mutex<String>>,
}

impl Process {
    /// Starts `run` of the deploy file with further words, and with these variables.
    pub fn start(world: &World, name: &str, words: &str, variables: &[(&str, String)]) -> Process {
        let command = format!("{} {words}", run_command(&world.root));
        let mut shell = Command::new("/bin/sh");
        shell.arg("-c").arg(&command).current_dir(&world.root).stdin(Stdio::null());
        for name in ["TMPDIR", "ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_CONFIG", "ROUTER_OPS", "ROUTER_INHERITED_FD"] {
            shell.env_remove(name);
        }
        variables.iter().for_each(|(name, value)| { shell.env(name, value); });
        shell.stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = shell.spawn().expect("a process");
        remember(child.id());
        world.record.line(format!("start   {name}: {command} (process {})", child.id()));
        let output = Arc::new(Mutex::new(String::new()));
        let streams: [Box<dyn Read + Send>; 2] =
            [Box::new(child.stdout.take().unwrap()), Box::new(child.stderr.take().unwrap())];
        for mut stream in streams {
            let output = output.clone();
            let log = world.folder.join(format!("{name}.log"));
            std::thread::spawn(move || {
                let mut file = File::options().append(true).create(true).open(log).ok();
                let mut buffer = [0; 4096];
                while let Ok(size @ 1..) = stream.read(&mut buffer) {
                    output.lock().unwrap().push_str(&String::from_utf8_lossy(&buffer[..size]));
                    file.iter_mut().for_each(|f| drop(f.write_all(&buffer[..size])));
                }
            });
        }
        Process { name: name.to_string(), child, output }
    }

    /// Starts a dispatcher whose output and errors go to one pipe, which `cat` reads into a file.
    pub fn start_piped(world: &World, name: &str, variables: &[(&str, String)], log: &Path) -> Piped {
        let mut reader = Command::new("cat")
            .stdin(Stdio::piped())
            .stdout(File::create(log).expect("a log"))
            .spawn()
            .expect("a reader of the log");
        let pipe: std::os::fd::OwnedFd = reader.stdin.take().expect("a pipe").into();
        let command = run_command(&world.root);
        let mut shell = Command::new("/bin/sh");
        shell.arg("-c").arg(&command).current_dir(&world.root).stdin(Stdio::null());
        shell.env_remove("TMPDIR").env_remove("ROUTER_OPS").env_remove("ROUTER_INHERITED_FD");
        variables.iter().for_each(|(name, value)| { shell.env(name, value); });
        shell.stdout(pipe.try_clone().expect("a pipe")).stderr(pipe);
        let child = shell.spawn().expect("a process");
        remember(child.id());
        world.record.line(format!("start   {name}: {command} (process {})", child.id()));
        let process = Process { name: name.to_string(), child, output: Arc::default() };
        Piped { process, reader: reader.id(), reader_process: reader }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// What the process has written to standard output and error.
    pub fn output(&self) -> String {
        self.output.lock().unwrap().clone()
    }

    pub fn signal(&self, world: &World, signal: &str) {
        world.record.line(format!("signal  {signal} to {} (process {})", self.name, self.id()));
        signal_process(self.id(), signal);
    }

    /// Waits for the end of the process; returns its exit code, `None` if it did not end in time or was killed.
    pub fn wait(&mut self, patience_ms: u64) -> Option<i32> {
        let ended = until(patience_ms, || matches!(self.child.try_wait(), Ok(Some(_))));
        ended.then(|| self.child.wait().ok().and_then(|s| s.code())).flatten()
    }

    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

/// A process whose log is read by another process.
pub struct Piped {
    pub process: Process,
    pub reader: u32,
    reader_process: Child,
}

impl Drop for Piped {
    fn drop(&mut self) {
        let _ = self.reader_process.kill();
        let _ = self.reader_process.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The processes that have to end with this run.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Remembers a process that was started here, or by a process that was started here.
pub fn remember(id: u32) {
    let mut ids = PROCESSES.lock().unwrap();
    if !ids.contains(&id) {
        ids.push(id);
    }
}

/// Returns whether a process runs the project's program: ids may be used anew.
fn is_ours(id: u32) -> bool {
    std::fs::read_to_string(format!("/proc/{id}/cmdline")).is_ok_and(|line| line.contains("ochreward"))
}

/// Kills all processes that still run.
pub fn end_all() {
    let ids = PROCESSES.lock().unwrap().clone();
    ids.iter().filter(|id| is_ours(**id)).for_each(|id| signal_process(*id, "KILL"));
}

pub fn signal_process(id: u32, signal: &str) {
    let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{signal} {id}")).stderr(Stdio::null()).status();
}

/// Runs a command of the project to its end; returns its exit code and its output.
pub fn run_to_end(world: &World, words: &str) -> (i32, String) {
    let mut process = Process::start(world, "command", words, &[]);
    let code = process.wait(60_000).unwrap_or(-1);
    sleep_ms(50);
    let output = process.output();
    world.record.line(format!("command {words}: exit {code}\n{}", output.trim_end()));
    (code, output)
}

/// Waits until `holds`; returns whether it did in time.
pub fn until(patience_ms: u64, mut holds: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    loop {
        if holds() {
            return true;
        }
        if start.elapsed() >= Duration::from_millis(patience_ms) {
            return false;
        }
        sleep_ms(5);
    }
}

/// The place of one run: the repository's root, a temporary folder, and the record.
pub struct World {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub record: Record,
    /// Whether the disruption happens.
    pub trouble: bool,
}

impl World {
    pub fn new(case: &Path) -> World {
        let root = std::env::current_dir().expect("the root");
        let base = std::env::var("TMPDIR").unwrap_or("/tmp".to_string());
        let folder = PathBuf::from(base).join(format!("review-2-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
        let record = Record::new(case);
        record.line(format!("run     trouble {}", if trouble { "on" } else { "off" }));
        World { root, folder, record, trouble }
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.path(name);
        // Replaced at once, as an operator's tool does it.
        let part = self.path(&format!("{name}.part"));
        std::fs::write(&part, text).expect("a file");
        std::fs::rename(&part, &path).expect("a file");
        path.display().to_string()
    }
}

impl Drop for World {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Sends an HTTP request without a body; returns the status and the text of the answer.
pub fn http(to: SocketAddr, method: &str, path: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(2)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n\r\n").ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let status = text.split(' ').nth(1)?.parse().ok()?;
    Some((status, text.split_once("\r\n\r\n")?.1.to_string()))
}

/// A setting of a class.
pub struct Lane {
    pub name: &'static str,
    pub effect: &'static str,
    pub promise_ms: u64,
    pub deadline_ms: u64,
}

impl Lane {
    pub fn new(name: &'static str, effect: &'static str, deadline_ms: u64) -> Lane {
        Lane { name, effect, promise_ms: 800, deadline_ms }
    }
}

/// Returns the classes as a JSON array.
pub fn lanes_json(lanes: &[Lane]) -> String {
    let lane = |l: &Lane| {
        let window = if l.effect == "deduplicated" { 1_500_000 } else { 0 };
        format!(
            r#"{{"name":"{}","effect":"{}","key_scope":"all","promise_us":{},"deadline_us":{},"repeat_window_us":{window},"credit":1.0,"late_worth":0.2}}"#,
            l.name, l.effect, l.promise_ms * 1000, l.deadline_ms * 1000
        )
    };
    format!("[{}]", lanes.iter().map(lane).collect::<Vec<_>>().join(","))
}

/// Returns the configuration file of a dispatcher, with the settings of a small deployment.
pub fn config(
    name: &str,
    listen: SocketAddr,
    ops: SocketAddr,
    names: SocketAddr,
    workers: &[(&str, SocketAddr)],
    lanes: &[Lane],
) -> String {
    let instance = |(id, address): &(&str, SocketAddr)| {
        format!(
            r#"{{"instanceId":"{id}","hostPort":"{address}","zone":"hall-a","machineType":"std","cell":0,"lifecycle":"in_service","startedAtMs":0}}"#
        )
    };
    let instances = workers.iter().map(instance).collect::<Vec<_>>().join(",");
    let lanes = lanes_json(lanes);
    format!(
        r#"{{"name":"{name}","listen":"{listen}","seed":"8c1f30d27a5be964","ops":"{ops}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"names":"{names}",
"known":{{"offset":1,"batch":[{{"offset":1,"topology":{{"generation":1,"reset":true,"instances":[{instances}]}}}}]}},
"settings":{{"balancers":1,"me":0,"my_zone":0,"zones":["hall-a"],"kinds":["std"],"tick_us":4000,
"lanes":{lanes},
"orgs":[{{"name":"agua-costa","quota_per_s":1000.0}}],
"limits":{{"cancel":true,"may_duplicate":true,"send_cap":3,"retry_after":true,"max_retry_after_us":1000000,"connect_timeout_us":250000,"keepalive_us":15000000,"streams_per_conn":32,"max_open":20000}},
"rules":{{"cold_share":0.15,"warm_after_us":14000000,"fall_multiple":2.0,"fall_us":1500000,"stop_sending_within_us":250000}},
"family_info":{{"orders":true,"load_window_us":5000000,"loads_anyway":6,"loads_per_request":0.3,"keep_alive_us":9300000,"miss_mode":"load","tells_warm":true}}}}}}"#
    )
}
