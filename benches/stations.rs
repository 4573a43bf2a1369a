//! Measures the MQTT front for stations that connect to the dispatcher directly, against the platform's front with the same
//! work in one run: processor time per request, and memory per idle session. Exits non-zero if a bound is missed.

use ochreward_rig::stand;

use ochreward_mqtt::packet::{Connect, Packet, Publish, decode};
use ochreward_mqtt::{Properties, Qos, Version};
use serde_json::{Value, json};
use stand::{Client, Names, Program, config, fields, file};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Requests per round, requests in flight at a time, and measured rounds of each front.
const REQUESTS_PER_ROUND: usize = 8_000;
const MAX_IN_FLIGHT: usize = 16;
const ROUNDS: usize = 3;
/// Number of idle sessions.
const IDLE_SESSIONS: usize = 5_000;
/// Bound on the processor time of a trigger at QoS 1 relative to that of a request of the platform's front.
const MAX_CPU_RATIO: f64 = 1.5;
/// Bound on the memory of an idle session, in bytes.
const MAX_SESSION_BYTES: f64 = 16_384.0;
/// Largest MQTT packet, in bytes.
const MAX_PACKET_BYTES: usize = 1 << 20;

fn main() {
    let started = Instant::now();
    let (executor_address, names) = (start_executor(), Names::start());
    names.set(2, &[("s0", executor_address, 0)]);
    let mut platform_config = config(&[], &names);
    platform_config["limits"]["sockets"] = json!(20_000);
    platform_config["settings"]["orgs"] = json!([]);
    // Counts the worker as warm at once: a cold worker would get a reduced share of the requests.
    platform_config["settings"]["rules"] =
        json!({"cold_share": 1.0, "warm_after_us": 1, "fall_multiple": 1000.0});
    platform_config["known"]["batch"][0]["topology"]["instances"] = json!([{"instanceId": "s0",
        "hostPort": executor_address.to_string(), "zone": "a", "machineType": "std", "cell": 0,
        "lifecycle": "in_service", "startedAtMs": 0}]);
    let hash = ochreward::front::stations::hash(b"p", b"0123456789abcdef").expect("a hash");
    let users = file(&format!("[user.u]\npassword = \"{hash}\"\npublish = [\"#\"]\nsubscribe = [\"#\"]\n"));
    let text = format!(
        "[stations]\nlisten = \"127.0.0.1:0\"\nusers = {:?}\nconnections = 8000\nsessions = 20000\nreceive_maximum = 64\n",
        users.display().to_string()
    );
    let operator = file(&text).display().to_string();
    let (program, stations) = Program::run_with_stations(&["run", "--operator", &operator], &platform_config);
    let pid = program.child.id();

    let mut costs = [Vec::new(), Vec::new()];
    let mut rates = [Vec::new(), Vec::new()];
    // Sends one request at a time until run times are learned: before that, more than a few in flight are refused.
    let mut next_id = 1 + run_thrift_requests(program.address, 1, 500, 1) as u64;
    // Round 0 of each front is warm-up.
    for round in 0..=ROUNDS {
        for (front, (cost, rate)) in costs.iter_mut().zip(&mut rates).enumerate() {
            let (cpu, start) = (cpu_ms(pid), Instant::now());
            let answered = match front {
                0 => run_thrift_requests(program.address, next_id, REQUESTS_PER_ROUND, MAX_IN_FLIGHT),
                _ => run_station_requests(stations, next_id),
            };
            next_id += REQUESTS_PER_ROUND as u64;
            assert_eq!(answered, REQUESTS_PER_ROUND, "all requests are served");
            if round > 0 {
                cost.push((cpu_ms(pid) - cpu) * 1e3 / REQUESTS_PER_ROUND as f64);
                rate.push(REQUESTS_PER_ROUND as f64 / start.elapsed().as_secs_f64());
            }
        }
    }
    let median = |list: &mut Vec<f64>| {
        list.sort_by(f64::total_cmp);
        list[list.len() / 2]
    };
    let [thrift_cost, station_cost] = &mut costs;
    let (thrift_cost, station_cost) = (median(thrift_cost), median(station_cost));
    let [thrift_rate, station_rate] = &mut rates;
    println!("thrift_cpu {thrift_cost:.1} us/request");
    println!("station_cpu {station_cost:.1} us/request");
    println!("station_cpu_ratio {:.3} ratio", station_cost / thrift_cost);
    println!("thrift_rate {:.0} requests/s", median(thrift_rate));
    println!("station_rate {:.0} requests/s", median(station_rate));

    // Opens idle sessions, each on a connection of its own.
    let before = resident_bytes(pid);
    let start = Instant::now();
    let mut streams: Vec<TcpStream> = Vec::new();
    for n in 0..IDLE_SESSIONS {
        let mut stream = TcpStream::connect(stations).expect("a connection");
        stream.write_all(&connect_packet(&format!("idle-{n}"))).expect("sent");
        streams.push(stream);
        // Waits for the answers every 128 connects, as the queue of password checks is bounded.
        if streams.len().is_multiple_of(128) {
            let from = streams.len() - 128;
            streams[from..].iter_mut().for_each(read_connack);
        }
    }
    let from = streams.len() - streams.len() % 128;
    streams[from..].iter_mut().for_each(read_connack);
    let bytes_per_session = (resident_bytes(pid) - before) / IDLE_SESSIONS as f64;
    println!("idle_sessions {IDLE_SESSIONS} sessions");
    println!("idle_session_memory {bytes_per_session:.0} bytes");
    println!("connects {:.0} connects/s", IDLE_SESSIONS as f64 / start.elapsed().as_secs_f64());
    println!("run_time {:.1} s", started.elapsed().as_secs_f64());
    let bounds = [
        (
            station_cost / thrift_cost <= MAX_CPU_RATIO,
            "processor time of a trigger relative to a request of the platform's front",
        ),
        (bytes_per_session <= MAX_SESSION_BYTES, "memory of an idle session"),
        (started.elapsed() < Duration::from_secs(50), "the benchmark takes less than 50 s"),
    ];
    let missed: Vec<&str> = bounds.into_iter().filter(|(met, _)| !met).map(|(_, what)| what).collect();
    if !missed.is_empty() {
        eprintln!("missed: {}", missed.join(", "));
        std::process::exit(1);
    }
}

/// Returns the processor time that a process has used so far, in milliseconds.
fn cpu_ms(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).expect("a process");
    stat.split(' ').next().and_then(|ns| ns.parse::<f64>().ok()).expect("a time") / 1e6
}

/// Returns the resident memory of a process, in bytes.
fn resident_bytes(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a process");
    let line = status.lines().find(|l| l.starts_with("VmRSS")).expect("a size");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<f64>().ok()).expect("a number") * 1024.0
}

/// Starts an executor that answers at once, and returns its address.
fn start_executor() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for connection in listener.incoming().map_while(Result::ok) {
            let _ = connection.set_nodelay(true);
            let mut back = connection.try_clone().expect("a connection");
            std::thread::spawn(move || {
                for line in BufReader::new(connection).lines().map_while(Result::ok) {
                    let line: Value = serde_json::from_str(&line).expect("JSON");
                    if line["verb"] == "go" {
                        let answer =
                            json!({"verb": "OK", "rid": line["rid"], "attrs": {"note": "up"}, "content": ""});
                        let _ = back.write_all(format!("{answer}\n").as_bytes());
                    }
                }
            });
        }
    });
    address
}

/// Sends requests to the platform's front with up to `max_in_flight` in flight, and returns the number served.
fn run_thrift_requests(to: SocketAddr, first: u64, requests: usize, max_in_flight: usize) -> usize {
    let mut client = Client::connect(to);
    let (mut sent, mut answered) = (0, 0);
    while answered < requests {
        while sent < requests && sent - answered < max_in_flight {
            let mut request = fields("flow-read", &format!("{:016x}", first + sent as u64), 20_000);
            request.remove("org");
            sent += 1;
            client.serve(sent as i32, &request, b"");
        }
        match client.receive() {
            Some((_, stand::Reply::Served(_))) => answered += 1,
            other => panic!("request was not served after {answered} others: {other:?}"),
        }
    }
    answered
}

/// Returns an encoded CONNECT packet of the client.
fn connect_packet(client: &str) -> Vec<u8> {
    let properties = Properties { session_expiry: Some(600), ..Properties::default() };
    let connect = Connect {
        version: Version::V5,
        clean_start: true,
        keep_alive: 60,
        properties,
        client_id: client.into(),
        will: None,
        user_name: Some("u".into()),
        password: Some(b"p".to_vec()),
    };
    Packet::Connect(Box::new(connect)).encode(Version::V5, MAX_PACKET_BYTES).expect("written")
}

/// Reads a CONNACK and checks that it accepts the connection.
fn read_connack(stream: &mut TcpStream) {
    stream.set_read_timeout(Some(stand::PATIENCE)).expect("a time-out");
    let mut bytes = [0; 512];
    let size = stream.read(&mut bytes).expect("an answer");
    let packet = decode(&bytes[..size], Version::V5, MAX_PACKET_BYTES).expect("a good packet");
    assert!(matches!(packet, Some((Packet::Connack(c), _)) if !c.reason.is_failure()));
}

/// Sends triggers at QoS 1 with up to [`MAX_IN_FLIGHT`] in flight, and returns the number served.
fn run_station_requests(to: SocketAddr, first: u64) -> usize {
    let mut stream = TcpStream::connect(to).expect("a connection");
    stream.set_nodelay(true).expect("set");
    stream.write_all(&connect_packet("busy")).expect("sent");
    read_connack(&mut stream);
    let (mut sent, mut answered) = (0, 0);
    let mut buffer = Vec::new();
    let mut bytes = vec![0; 1 << 16];
    while answered < REQUESTS_PER_ROUND {
        while sent < REQUESTS_PER_ROUND && sent - answered < MAX_IN_FLIGHT {
            let mut request = fields("flow-read", &format!("{:016x}", first + sent as u64), 20_000);
            request.remove("org");
            let properties = Properties { user: request.into_iter().collect(), ..Properties::default() };
            sent += 1;
            let id = (sent % 60_000 + 1) as u16;
            let publish = Publish {
                packet_id: id,
                qos: Qos::AtLeastOnce,
                topic: "in/busy".into(),
                properties,
                ..Publish::default()
            };
            let packet =
                Packet::Publish(Box::new(publish)).encode(Version::V5, MAX_PACKET_BYTES).expect("written");
            stream.write_all(&packet).expect("sent");
        }
        let count = stream.read(&mut bytes).expect("an answer");
        if count == 0 {
            return answered;
        }
        buffer.extend(&bytes[..count]);
        let mut done = 0;
        while let Some((packet, size)) =
            decode(&buffer[done..], Version::V5, MAX_PACKET_BYTES).expect("a good packet")
        {
            done += size;
            let Packet::Puback(ack) = packet else { return answered };
            if ack.properties.user("status") != Some("served") {
                return answered;
            }
            answered += 1;
        }
        buffer.drain(..done);
    }
    answered
}
