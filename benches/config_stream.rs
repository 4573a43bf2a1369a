//! Streamed configuration, measured: how fast a version runs everywhere, how reconnects spread after an outage, and
//! what versions cost the requests that are served meanwhile.
//!
//! 12 of the 200 streams are real dispatchers as processes; 188 are the same subscriber in this process, on sockets of
//! their own, which say yes to every check. Ends non-zero if a bound is missed.

use ochreward_rig::stand;

use hdrhistogram::Histogram;
use ochreward_control::admin::{Client as Admin, Request};
use ochreward_rig::subscribers::{self, Event, Subscribers};
use serde_json::{Value, json};
use stand::{Client, Names, Program, config, fields, file, folder};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const REAL: usize = 12;
const SIMULATED: usize = 188;
/// Waits after an outage, in milliseconds.
const BACKOFF: (u64, u64) = (100, 2_000);
/// No 100 ms may hold more than this share of the connects after an outage.
const MOST_SHARE: f64 = 0.25;
/// p99 while versions stream, against p99 while none does.
const MOST_RATIO: f64 = 1.25;
/// Requests a second, and how long a block of them lasts.
const RATE: u64 = 400;
const BLOCK: Duration = Duration::from_millis(1_500);
const BLOCKS: usize = 8;
/// How long the executor takes for an answer.
const RUN_TIME: Duration = Duration::from_millis(5);

fn main() {
    let began = Instant::now();
    let mut missed = Vec::new();
    let mut bound = |holds: bool, what: &str| {
        if !holds {
            missed.push(what.to_string());
        }
    };
    let store = folder();
    let service = serve(&store, "127.0.0.1:0");
    let address = service.address;
    let executor = Executor::start();
    let names = Names::start();
    names.set(2, &[("s0", executor, 0)]);
    let programs: Vec<Program> = (0..REAL).map(|n| dispatcher(n, executor, &names, address)).collect();
    let (tell, events) = channel();
    let stop = Arc::new(AtomicBool::new(false));
    let fleet = std::thread::spawn({
        let stop = stop.clone();
        let setup = subscribers::Setup {
            count: SIMULATED,
            prefix: "s".to_string(),
            service: address,
            backoff: BACKOFF,
        };
        move || Subscribers::new(&setup).run(&tell, &stop)
    });
    let timeline: Arc<Mutex<Vec<Value>>> = Arc::default();
    watch(address, timeline.clone());
    wait("all streams are up", || instances(address) == REAL + SIMULATED);
    println!("streams_real {REAL} streams");
    println!("streams_simulated {SIMULATED} streams");

    // From publishing to running.
    let mut times = Vec::new();
    for round in 0..3 {
        let start = Instant::now();
        publish(address, &format!("[fleet.settings.limits]\nmax_open = {}\n", 900 + round));
        let version = format!("1.{}", round + 1);
        let mut ran: Vec<f64> = Vec::new();
        while ran.len() < SIMULATED {
            if let Ok(Event::Ran(at)) = events.recv_timeout(stand::PATIENCE) {
                ran.push(at.duration_since(start).as_secs_f64() * 1e3);
            }
        }
        wait("the real ones run it", || runs(address, &version) == REAL + SIMULATED);
        ran.extend(real_times(&timeline, &version, start));
        ran.sort_by(f64::total_cmp);
        times.push(ran);
    }
    let at = |share: f64| {
        let of = |ran: &Vec<f64>| ran[((ran.len() - 1) as f64 * share) as usize];
        times.iter().map(of).fold(0.0, f64::max)
    };
    for (name, share) in [("50", 0.5), ("99", 0.99), ("100", 1.0)] {
        println!("publish_to_running_p{name} {:.1} ms", at(share));
    }
    bound(at(1.0) < 5_000.0, "a version ran everywhere within 5 s");

    // An outage.
    drop(service);
    while events.try_recv().is_ok() {}
    std::thread::sleep(Duration::from_secs(2));
    let back = Instant::now();
    let service = serve(&store, &address.to_string());
    wait("all streams are back", || instances_connected(address) == REAL + SIMULATED);
    let all_back = back.elapsed();
    let mut bins: BTreeMap<u128, usize> = BTreeMap::new();
    while let Ok(event) = events.try_recv() {
        if let Event::Up(at) = event {
            *bins.entry(at.duration_since(back).as_millis() / 100).or_default() += 1;
        }
    }
    let connects: usize = bins.values().sum();
    let most = bins.values().max().copied().unwrap_or_default();
    println!("outage_all_back {:.0} ms", all_back.as_secs_f64() * 1e3);
    println!("outage_connects_most_in_100ms {most} connects");
    println!("outage_connects_most_share {:.3} share", most as f64 / connects.max(1) as f64);
    bound(connects >= SIMULATED, "each stream came back");
    bound((most as f64) < MOST_SHARE * connects as f64, "reconnects spread");
    watch(address, timeline.clone());

    // Requests while versions stream.
    let load = Load::start(programs[0].address);
    let mut histograms = [new_histogram(), new_histogram()];
    let mut most_open = 1_000;
    for block in 0..BLOCKS * 2 {
        let streams = block % 2 == 1;
        load.record();
        let end = Instant::now() + BLOCK;
        while Instant::now() < end {
            if streams {
                most_open += 1;
                publish(address, &format!("[fleet.settings.limits]\nmax_open = {most_open}\n"));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        // The first block warms up.
        if block > 1 {
            load.record().into_iter().for_each(|us| histograms[usize::from(streams)].saturating_record(us));
        }
    }
    // And a large one, which must be carried, hashed, read and kept without holding the loop up.
    let note = "n".repeat(10_000_000);
    let large = toml::to_string(&json!({"fleet": {"settings": {"note": note}}})).expect("TOML");
    load.record();
    let large_at = Instant::now();
    publish(address, &large);
    wait("the large one runs", || {
        count(address, |i| {
            i["instance"] == "n00" && i["running"] == i["target"] && i["running"] != Value::Null
        }) == 1
    });
    let large_running = large_at.elapsed().as_secs_f64() * 1e3;
    std::thread::sleep(BLOCK / 4);
    let mut with_large = new_histogram();
    load.record().into_iter().for_each(|us| with_large.saturating_record(us));
    load.end();
    let ms = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1e3;
    let [quiet, busy] = &histograms;
    println!("requests_quiet {} requests", quiet.len());
    println!("requests_streaming {} requests", busy.len());
    println!("p99_quiet {:.2} ms", ms(quiet, 0.99));
    println!("p99_streaming {:.2} ms", ms(busy, 0.99));
    println!("p99_ratio {:.3} ratio", ms(busy, 0.99) / ms(quiet, 0.99));
    println!("large_version {:.2} MB", large.len() as f64 / 1e6);
    println!("large_version_running {large_running:.0} ms");
    println!("max_with_large_version {:.2} ms", with_large.max() as f64 / 1e3);
    println!("p99_with_large_version {:.2} ms", ms(&with_large, 0.99));
    bound(quiet.len() > 1_000 && busy.len() > 1_000, "enough requests were served");
    bound(with_large.len() > 100, "requests beside the large version");
    bound(ms(&with_large, 0.99) <= 4.0 * ms(quiet, 0.99), "p99 beside the large version");
    bound(ms(busy, 0.99) / ms(quiet, 0.99) <= MOST_RATIO, "p99 ratio");

    // Which version each real instance ran at each moment, by its own answers.
    let events = timeline.lock().expect("a timeline").clone();
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("config_stream.jsonl");
    let mut out = std::fs::File::create(&path).expect("a file");
    events.iter().for_each(|e| writeln!(out, "{e}").expect("written"));
    table(&events);
    println!("timeline_events {} events", events.len());
    println!("run_time {:.1} s", began.elapsed().as_secs_f64());
    bound(began.elapsed() < Duration::from_secs(50), "within 50 s");
    stop.store(true, Ordering::SeqCst);
    fleet.join().expect("the fleet");
    drop((programs, service));
    if !missed.is_empty() {
        eprintln!("missed: {}", missed.join(", "));
        std::process::exit(1);
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds")
}

fn wait(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < stand::PATIENCE, "never: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

// ---- The service and the dispatchers ----

fn serve(store: &Path, listen: &str) -> Program {
    let text = format!(
        "[control.service]\nlisten = {listen:?}\nstore = {:?}\nheartbeat_ms = 100\n[control.service.rollout]\nwaves = [1.0]\nwatch_ms = 0\n",
        store.display().to_string()
    );
    let path = file(&text).display().to_string();
    Program::run(&["control", "serve", "--log-level", "error", "--operator", &path], &json!({}))
}

fn dispatcher(n: usize, executor: SocketAddr, names: &Names, service: SocketAddr) -> Program {
    let mut told = config(&[], names);
    told["name"] = json!(format!("n{n:02}"));
    told["known"]["batch"][0]["topology"]["instances"] = json!([{"instanceId": "s0",
        "hostPort": executor.to_string(), "zone": "a", "machineType": "std", "cell": 0,
        "lifecycle": "in_service", "startedAtMs": 0}]);
    let text = format!(
        "[control.stream]\nservices = [\"{service}\"]\nfolder = {:?}\nbackoff_first_ms = {}\nbackoff_last_ms = {}\ntrial_ms = 0\n",
        folder().display().to_string(),
        BACKOFF.0,
        BACKOFF.1
    );
    let path = file(&text).display().to_string();
    Program::run(&["run", "--log-level", "error", "--operator", &path], &told)
}

fn ask(address: SocketAddr, ask: &Request, document: Option<&str>) -> Option<Value> {
    Admin::connect(address).ok()?.request(ask, document).ok()
}

fn publish(address: SocketAddr, document: &str) {
    ask(address, &Request::Publish { at_once: true }, Some(document)).expect("published");
}

fn count(address: SocketAddr, which: impl Fn(&Value) -> bool) -> usize {
    let status = ask(address, &Request::Status {}, None).unwrap_or_default();
    status["instances"].as_array().map_or(0, |list| list.iter().filter(|i| which(i)).count())
}

fn instances(address: SocketAddr) -> usize {
    count(address, |_| true)
}

fn instances_connected(address: SocketAddr) -> usize {
    count(address, |i| i["standing"] != "away")
}

fn runs(address: SocketAddr, version: &str) -> usize {
    count(address, |i| i["running"] == version)
}

/// Keeps all that the service tells, each with when it was heard.
fn watch(address: SocketAddr, timeline: Arc<Mutex<Vec<Value>>>) {
    let (ready, started) = channel();
    std::thread::spawn(move || {
        let client = Admin::connect(address).expect("a connection");
        let _ = ready.send(());
        let _ = client.watch(|mut event| {
            event["heard_us"] = json!(since_start());
            timeline.lock().expect("a timeline").push(event);
            true
        });
    });
    started.recv().expect("it watches");
}

fn since_start() -> u64 {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_micros() as u64
}

/// When the real instances ran the version, in milliseconds after a moment.
fn real_times(timeline: &Mutex<Vec<Value>>, version: &str, from: Instant) -> Vec<f64> {
    let from = since_start() as f64 - from.elapsed().as_secs_f64() * 1e6;
    let events = timeline.lock().expect("a timeline");
    let real = events
        .iter()
        .filter(|e| e["running"] == version && e["instance"].as_str().is_some_and(|n| n.starts_with('n')));
    real.filter_map(|e| Some((e["heard_us"].as_f64()? - from) / 1e3)).collect()
}

fn table(events: &[Value]) {
    println!("which version each real instance ran, from when on (ms), of the first versions:");
    for n in 0..REAL {
        let name = format!("n{n:02}");
        let mut row = Vec::new();
        let mut last = Value::Null;
        for event in events.iter().filter(|e| e["instance"] == name.as_str()) {
            if event["running"] != last {
                last = event["running"].clone();
                let at = event["heard_us"].as_f64().unwrap_or_default() / 1e3;
                row.push(format!("{}@{at:.0}", last.as_str().unwrap_or("-")));
            }
        }
        let numbers: Vec<u64> =
            row.iter().filter_map(|r| r.split('@').next()?.split_once('.')?.1.parse().ok()).collect();
        assert!(numbers.is_sorted(), "{name} went back: {row:?}");
        println!(
            "  {name}: {} ({} in all)",
            row.iter().take(8).cloned().collect::<Vec<_>>().join(" "),
            row.len()
        );
    }
}

// ---- Load ----

/// An executor that answers each request a fixed time after it came.
struct Executor;

impl Executor {
    fn start() -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("an address");
        std::thread::spawn(move || {
            for connection in listener.incoming().map_while(Result::ok) {
                let _ = connection.set_nodelay(true);
                let mut back = connection.try_clone().expect("a connection");
                let (tell, answers): (Sender<(Instant, String)>, _) = channel();
                std::thread::spawn(move || {
                    for (due, answer) in answers {
                        std::thread::sleep(due.saturating_duration_since(Instant::now()));
                        if back.write_all(answer.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
                std::thread::spawn(move || {
                    for line in BufReader::new(connection).lines().map_while(Result::ok) {
                        let line: Value = serde_json::from_str(&line).expect("JSON");
                        if line["verb"] == "go" {
                            let answer = json!({"verb": "OK", "rid": line["rid"], "attrs": {"note": "up"},
                                "content": ""});
                            let _ = tell.send((Instant::now() + RUN_TIME, format!("{answer}\n")));
                        }
                    }
                });
            }
        });
        address
    }
}

/// Requests at fixed moments, whatever becomes of earlier ones; each is timed from when it was meant to be sent.
struct Load {
    stop: Arc<AtomicBool>,
    times: Receiver<u64>,
    sender: std::thread::JoinHandle<()>,
}

impl Load {
    fn start(to: SocketAddr) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let (tell, times) = channel();
        let sent: Arc<Mutex<BTreeMap<(usize, i32), Instant>>> = Arc::default();
        let streams: Vec<TcpStream> = (0..4).map(|_| Client::connect(to).stream).collect();
        for (n, stream) in streams.iter().enumerate() {
            let mut client = Client { stream: stream.try_clone().expect("a connection") };
            let (sent, tell) = (sent.clone(), tell.clone());
            std::thread::spawn(move || {
                while let Some((seq, _)) = client.receive() {
                    if let Some(at) = sent.lock().expect("a map").remove(&(n, seq)) {
                        let _ = tell.send(at.elapsed().as_micros() as u64);
                    }
                }
            });
        }
        let sender = std::thread::spawn({
            let stop = stop.clone();
            move || {
                let mut streams = streams;
                let (start, mut number) = (Instant::now(), 0_u64);
                while !stop.load(Ordering::SeqCst) {
                    let due = start + Duration::from_micros(number * 1_000_000 / RATE);
                    std::thread::sleep(due.saturating_duration_since(Instant::now()));
                    let (n, seq) = ((number % 4) as usize, (number / 4) as i32 + 1);
                    sent.lock().expect("a map").insert((n, seq), due);
                    let fields = fields("flow-read", &format!("{number:016x}"), 2_000);
                    if streams[n].write_all(&stand::message(seq, &fields, b"")).is_err() {
                        return;
                    }
                    number += 1;
                }
                streams.iter().for_each(|s| drop(s.shutdown(std::net::Shutdown::Both)));
            }
        });
        Load { stop, times, sender }
    }

    /// The times since it was last asked, in microseconds.
    fn record(&self) -> Vec<u64> {
        self.times.try_iter().collect()
    }

    fn end(self) {
        self.stop.store(true, Ordering::SeqCst);
        self.sender.join().expect("the sender");
    }
}
