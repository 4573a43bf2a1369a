//! Measures streamed configuration: the time from publishing a version until it runs everywhere, the spread of reconnects
//! after an outage of the control service, and the effect of new versions on the latency of requests.
//!
//! 12 of the 200 streams belong to real dispatcher processes; the other 188 are the same subscriber run in this process,
//! each on a socket of its own, with a check that accepts every version. Exits non-zero if a bound is missed.

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
/// First and longest reconnect backoff, in milliseconds.
const BACKOFF: (u64, u64) = (100, 2_000);
/// Bound on the share of reconnects after an outage that fall into any one interval of 100 ms.
const MAX_RECONNECT_SHARE: f64 = 0.25;
/// Bound on p99 while versions are streamed relative to p99 while none is.
const MAX_P99_RATIO: f64 = 1.25;
/// Requests per second, and the length of a measurement block.
const REQUESTS_PER_S: u64 = 400;
const BLOCK: Duration = Duration::from_millis(1_500);
const BLOCKS: usize = 8;
/// Time that the executor takes to answer.
const RUN_TIME: Duration = Duration::from_millis(5);

fn main() {
    let started = Instant::now();
    let mut missed = Vec::new();
    let mut check_bound = |condition: bool, what: &str| {
        if !condition {
            missed.push(what.to_string());
        }
    };
    let store = folder();
    let service = start_service(&store, "127.0.0.1:0");
    let address = service.address;
    let executor = Executor::start();
    let names = Names::start();
    names.set(2, &[("s0", executor, 0)]);
    let programs: Vec<Program> = (0..REAL).map(|n| start_dispatcher(n, executor, &names, address)).collect();
    let (sender, events) = channel();
    let stop = Arc::new(AtomicBool::new(false));
    let fleet = std::thread::spawn({
        let stop = stop.clone();
        let setup = subscribers::Setup {
            count: SIMULATED,
            prefix: "s".to_string(),
            service: address,
            backoff: BACKOFF,
        };
        move || Subscribers::new(&setup).run(&sender, &stop)
    });
    let timeline: Arc<Mutex<Vec<Value>>> = Arc::default();
    watch(address, timeline.clone());
    wait_until("all streams are up", || instance_count(address) == REAL + SIMULATED);
    println!("streams_real {REAL} streams");
    println!("streams_simulated {SIMULATED} streams");

    // Time from publishing a version until it runs.
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
        wait_until("the real dispatchers run the version", || {
            running_count(address, &version) == REAL + SIMULATED
        });
        ran.extend(real_instance_times(&timeline, &version, start));
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
    check_bound(at(1.0) < 5_000.0, "a version runs everywhere within 5 s");

    // Reconnects after an outage of the control service.
    drop(service);
    while events.try_recv().is_ok() {}
    std::thread::sleep(Duration::from_secs(2));
    let restarted = Instant::now();
    let service = start_service(&store, &address.to_string());
    wait_until("all streams have reconnected", || connected_count(address) == REAL + SIMULATED);
    let all_back = restarted.elapsed();
    let mut bins: BTreeMap<u128, usize> = BTreeMap::new();
    while let Ok(event) = events.try_recv() {
        if let Event::Up(at) = event {
            *bins.entry(at.duration_since(restarted).as_millis() / 100).or_default() += 1;
        }
    }
    let connects: usize = bins.values().sum();
    let most_in_bin = bins.values().max().copied().unwrap_or_default();
    println!("outage_all_back {:.0} ms", all_back.as_secs_f64() * 1e3);
    println!("outage_connects_most_in_100ms {most_in_bin} connects");
    println!("outage_connects_most_share {:.3} share", most_in_bin as f64 / connects.max(1) as f64);
    check_bound(connects >= SIMULATED, "each simulated stream reconnects");
    check_bound(
        (most_in_bin as f64) < MAX_RECONNECT_SHARE * connects as f64,
        "largest share of reconnects within 100 ms",
    );
    watch(address, timeline.clone());

    // Requests while versions stream.
    let load = Load::start(programs[0].address);
    let mut histograms = [new_histogram(), new_histogram()];
    let mut max_open = 1_000;
    for block in 0..BLOCKS * 2 {
        let streams = block % 2 == 1;
        load.take_times();
        let end = Instant::now() + BLOCK;
        while Instant::now() < end {
            if streams {
                max_open += 1;
                publish(address, &format!("[fleet.settings.limits]\nmax_open = {max_open}\n"));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        // The first two blocks, one of each kind, are warm-up.
        if block > 1 {
            load.take_times()
                .into_iter()
                .for_each(|us| histograms[usize::from(streams)].saturating_record(us));
        }
    }
    // A large version, which a dispatcher must receive, hash, parse and store without blocking its event loop.
    let note = "n".repeat(10_000_000);
    let large_document = toml::to_string(&json!({"fleet": {"settings": {"note": note}}})).expect("TOML");
    load.take_times();
    let large_at = Instant::now();
    publish(address, &large_document);
    wait_until("the large version runs", || {
        count_instances(address, |i| {
            i["instance"] == "n00" && i["running"] == i["target"] && i["running"] != Value::Null
        }) == 1
    });
    let large_running = large_at.elapsed().as_secs_f64() * 1e3;
    std::thread::sleep(BLOCK / 4);
    let mut with_large = new_histogram();
    load.take_times().into_iter().for_each(|us| with_large.saturating_record(us));
    load.end();
    let ms = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1e3;
    let [quiet, busy] = &histograms;
    println!("requests_quiet {} requests", quiet.len());
    println!("requests_streaming {} requests", busy.len());
    println!("p99_quiet {:.2} ms", ms(quiet, 0.99));
    println!("p99_streaming {:.2} ms", ms(busy, 0.99));
    println!("p99_ratio {:.3} ratio", ms(busy, 0.99) / ms(quiet, 0.99));
    println!("large_version {:.2} MB", large_document.len() as f64 / 1e6);
    println!("large_version_running {large_running:.0} ms");
    println!("max_with_large_version {:.2} ms", with_large.max() as f64 / 1e3);
    println!("p99_with_large_version {:.2} ms", ms(&with_large, 0.99));
    check_bound(
        quiet.len() > 1_000 && busy.len() > 1_000,
        "more than 1,000 requests served in each kind of block",
    );
    check_bound(with_large.len() > 100, "more than 100 requests served during the large version");
    check_bound(
        ms(&with_large, 0.99) <= 4.0 * ms(quiet, 0.99),
        "p99 during the large version at most 4 times that while quiet",
    );
    check_bound(
        ms(busy, 0.99) / ms(quiet, 0.99) <= MAX_P99_RATIO,
        "p99 while streaming relative to p99 while quiet",
    );

    // The timeline of versions that each real instance reported as running.
    let events = timeline.lock().expect("a timeline").clone();
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("config_stream.jsonl");
    let mut out = std::fs::File::create(&path).expect("a file");
    events.iter().for_each(|e| writeln!(out, "{e}").expect("written"));
    print_timeline(&events);
    println!("timeline_events {} events", events.len());
    println!("run_time {:.1} s", started.elapsed().as_secs_f64());
    check_bound(started.elapsed() < Duration::from_secs(50), "the benchmark takes less than 50 s");
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

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < stand::PATIENCE, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

// ---- The service and the dispatchers ----

fn start_service(store: &Path, listen: &str) -> Program {
    let text = format!(
        "[control.service]\nlisten = {listen:?}\nstore = {:?}\nheartbeat_ms = 100\n[control.service.rollout]\nwaves = [1.0]\nwatch_ms = 0\n",
        store.display().to_string()
    );
    let path = file(&text).display().to_string();
    Program::run(&["control", "serve", "--log-level", "error", "--operator", &path], &json!({}))
}

fn start_dispatcher(n: usize, executor: SocketAddr, names: &Names, service: SocketAddr) -> Program {
    let mut platform_config = config(&[], names);
    platform_config["name"] = json!(format!("n{n:02}"));
    platform_config["known"]["batch"][0]["topology"]["instances"] = json!([{"instanceId": "s0",
        "hostPort": executor.to_string(), "zone": "a", "machineType": "std", "cell": 0,
        "lifecycle": "in_service", "startedAtMs": 0}]);
    let text = format!(
        "[control.stream]\nservices = [\"{service}\"]\nfolder = {:?}\nbackoff_first_ms = {}\nbackoff_last_ms = {}\ntrial_ms = 0\n",
        folder().display().to_string(),
        BACKOFF.0,
        BACKOFF.1
    );
    let path = file(&text).display().to_string();
    Program::run(&["run", "--log-level", "error", "--operator", &path], &platform_config)
}

fn ask(address: SocketAddr, ask: &Request, document: Option<&str>) -> Option<Value> {
    Admin::connect(address).ok()?.request(ask, document).ok()
}

fn publish(address: SocketAddr, document: &str) {
    ask(address, &Request::Publish { at_once: true }, Some(document)).expect("published");
}

fn count_instances(address: SocketAddr, which: impl Fn(&Value) -> bool) -> usize {
    let status = ask(address, &Request::Status {}, None).unwrap_or_default();
    status["instances"].as_array().map_or(0, |list| list.iter().filter(|i| which(i)).count())
}

fn instance_count(address: SocketAddr) -> usize {
    count_instances(address, |_| true)
}

fn connected_count(address: SocketAddr) -> usize {
    count_instances(address, |i| i["standing"] != "away")
}

fn running_count(address: SocketAddr, version: &str) -> usize {
    count_instances(address, |i| i["running"] == version)
}

/// Records all events of the control service, each with its time of receipt, on a thread of its own.
fn watch(address: SocketAddr, timeline: Arc<Mutex<Vec<Value>>>) {
    let (ready, watching) = channel();
    std::thread::spawn(move || {
        let client = Admin::connect(address).expect("a connection");
        let _ = ready.send(());
        let _ = client.watch(|mut event| {
            event["heard_us"] = json!(now_us());
            timeline.lock().expect("a timeline").push(event);
            true
        });
    });
    watching.recv().expect("the watch started");
}

/// Returns the time since its first call, in microseconds.
fn now_us() -> u64 {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_micros() as u64
}

/// Returns when the real instances ran the version, in milliseconds after `from`.
fn real_instance_times(timeline: &Mutex<Vec<Value>>, version: &str, from: Instant) -> Vec<f64> {
    let from = now_us() as f64 - from.elapsed().as_secs_f64() * 1e6;
    let events = timeline.lock().expect("a timeline");
    let real = events
        .iter()
        .filter(|e| e["running"] == version && e["instance"].as_str().is_some_and(|n| n.starts_with('n')));
    real.filter_map(|e| Some((e["heard_us"].as_f64()? - from) / 1e3)).collect()
}

/// Prints the first versions that each real instance ran, and checks that none went back to an older version.
fn print_timeline(events: &[Value]) {
    println!("first versions that each real instance ran, each with its start time (ms):");
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
        assert!(numbers.is_sorted(), "{name} went back to an older version: {row:?}");
        println!(
            "  {name}: {} ({} in all)",
            row.iter().take(8).cloned().collect::<Vec<_>>().join(" "),
            row.len()
        );
    }
}

// ---- Load ----

/// An executor that answers each request [`RUN_TIME`] after its arrival.
struct Executor;

impl Executor {
    fn start() -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("an address");
        std::thread::spawn(move || {
            for connection in listener.incoming().map_while(Result::ok) {
                let _ = connection.set_nodelay(true);
                let mut back = connection.try_clone().expect("a connection");
                let (sender, answers): (Sender<(Instant, String)>, _) = channel();
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
                            let _ = sender.send((Instant::now() + RUN_TIME, format!("{answer}\n")));
                        }
                    }
                });
            }
        });
        address
    }
}

/// An open-loop load generator: requests are sent at fixed times independent of earlier answers, and each is timed from
/// its scheduled time, so that delays in sending are counted.
struct Load {
    stop: Arc<AtomicBool>,
    times: Receiver<u64>,
    sender: std::thread::JoinHandle<()>,
}

impl Load {
    fn start(to: SocketAddr) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let (sender, times) = channel();
        let sent: Arc<Mutex<BTreeMap<(usize, i32), Instant>>> = Arc::default();
        let streams: Vec<TcpStream> = (0..4).map(|_| Client::connect(to).stream).collect();
        for (n, stream) in streams.iter().enumerate() {
            let mut client = Client { stream: stream.try_clone().expect("a connection") };
            let (sent, sender) = (sent.clone(), sender.clone());
            std::thread::spawn(move || {
                while let Some((seq, _)) = client.receive() {
                    if let Some(at) = sent.lock().expect("a map").remove(&(n, seq)) {
                        let _ = sender.send(at.elapsed().as_micros() as u64);
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
                    let due = start + Duration::from_micros(number * 1_000_000 / REQUESTS_PER_S);
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

    /// Takes the response times since the previous call, in microseconds.
    fn take_times(&self) -> Vec<u64> {
        self.times.try_iter().collect()
    }

    fn end(self) {
        self.stop.store(true, Ordering::SeqCst);
        self.sender.join().expect("the sender");
    }
}
