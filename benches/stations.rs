//! Stations that connect to the dispatcher itself, measured against the platform's front for the same work in one run:
//! processor time a request, and memory for sessions that are idle. Ends non-zero if a bound is missed.

use ochreward_rig::stand;

use ochreward_mqtt::packet::{Connect, Packet, Publish, decode};
use ochreward_mqtt::{Properties, Qos, Version};
use serde_json::{Value, json};
use stand::{Client, Names, Program, config, fields, file};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Requests of a round, how many are open at a time, and how often each front has its turn.
const REQUESTS: usize = 8_000;
const OPEN: usize = 16;
const ROUNDS: usize = 3;
/// Sessions that say nothing.
const IDLE: usize = 5_000;
/// Processor time of a trigger at QoS 1 against a request of the platform's front.
const MOST_RATIO: f64 = 1.5;
/// Memory of an idle session, in bytes.
const MOST_SESSION: f64 = 16_384.0;
const MOST: usize = 1 << 20;

fn main() {
    let began = Instant::now();
    let (executor, names) = (executor(), Names::start());
    names.set(2, &[("s0", executor, 0)]);
    let mut told = config(&[], &names);
    told["limits"]["sockets"] = json!(20_000);
    told["settings"]["orgs"] = json!([]);
    // No cold worker, which would be spared.
    told["settings"]["rules"] = json!({"cold_share": 1.0, "warm_after_us": 1, "fall_multiple": 1000.0});
    told["known"]["batch"][0]["topology"]["instances"] = json!([{"instanceId": "s0",
        "hostPort": executor.to_string(), "zone": "a", "machineType": "std", "cell": 0,
        "lifecycle": "in_service", "startedAtMs": 0}]);
    let hash = ochreward::front::stations::hash(b"p", b"0123456789abcdef").expect("a hash");
    let users = file(&format!("[user.u]\npassword = \"{hash}\"\npublish = [\"#\"]\nsubscribe = [\"#\"]\n"));
    let text = format!(
        "[stations]\nlisten = \"127.0.0.1:0\"\nusers = {:?}\nconnections = 8000\nsessions = 20000\nreceive_maximum = 64\n",
        users.display().to_string()
    );
    let operator = file(&text).display().to_string();
    let (program, stations) = Program::run_with_stations(&["run", "--operator", &operator], &told);
    let pid = program.child.id();

    let mut costs = [Vec::new(), Vec::new()];
    let mut rates = [Vec::new(), Vec::new()];
    // One at a time until run times are learned: what is expected of the unknown is refused beyond a few.
    let mut next = 1 + thrift(program.address, 1, 500, 1) as u64;
    // A first round of each warms up.
    for round in 0..=ROUNDS {
        for (front, (cost, rate)) in costs.iter_mut().zip(&mut rates).enumerate() {
            let (cpu, start) = (cpu_ms(pid), Instant::now());
            let answered = match front {
                0 => thrift(program.address, next, REQUESTS, OPEN),
                _ => station(stations, next),
            };
            next += REQUESTS as u64;
            assert_eq!(answered, REQUESTS, "all are served");
            if round > 0 {
                cost.push((cpu_ms(pid) - cpu) * 1e3 / REQUESTS as f64);
                rate.push(REQUESTS as f64 / start.elapsed().as_secs_f64());
            }
        }
    }
    let middle = |list: &mut Vec<f64>| {
        list.sort_by(f64::total_cmp);
        list[list.len() / 2]
    };
    let [thrift_cost, station_cost] = &mut costs;
    let (thrift_cost, station_cost) = (middle(thrift_cost), middle(station_cost));
    let [thrift_rate, station_rate] = &mut rates;
    println!("thrift_cpu {thrift_cost:.1} us/request");
    println!("station_cpu {station_cost:.1} us/request");
    println!("station_cpu_ratio {:.3} ratio", station_cost / thrift_cost);
    println!("thrift_rate {:.0} requests/s", middle(thrift_rate));
    println!("station_rate {:.0} requests/s", middle(station_rate));

    // Idle sessions, each on a connection of its own.
    let before = rss(pid);
    let start = Instant::now();
    let mut streams: Vec<TcpStream> = Vec::new();
    for n in 0..IDLE {
        let mut stream = TcpStream::connect(stations).expect("a connection");
        stream.write_all(&hello(&format!("idle-{n}"))).expect("sent");
        streams.push(stream);
        // Passwords wait in a queue with an end.
        if streams.len().is_multiple_of(128) {
            let from = streams.len() - 128;
            streams[from..].iter_mut().for_each(connack);
        }
    }
    let from = streams.len() - streams.len() % 128;
    streams[from..].iter_mut().for_each(connack);
    let each = (rss(pid) - before) / IDLE as f64;
    println!("idle_sessions {IDLE} sessions");
    println!("idle_session_memory {each:.0} bytes");
    println!("connects {:.0} connects/s", IDLE as f64 / start.elapsed().as_secs_f64());
    println!("run_time {:.1} s", began.elapsed().as_secs_f64());
    let bounds = [
        (station_cost / thrift_cost <= MOST_RATIO, "processor time of a trigger"),
        (each <= MOST_SESSION, "memory of an idle session"),
        (began.elapsed() < Duration::from_secs(50), "within 50 s"),
    ];
    let missed: Vec<&str> = bounds.into_iter().filter(|(holds, _)| !holds).map(|(_, what)| what).collect();
    if !missed.is_empty() {
        eprintln!("missed: {}", missed.join(", "));
        std::process::exit(1);
    }
}

/// Processor time of a process so far, in milliseconds.
fn cpu_ms(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).expect("a process");
    stat.split(' ').next().and_then(|ns| ns.parse::<f64>().ok()).expect("a time") / 1e6
}

fn rss(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a process");
    let line = status.lines().find(|l| l.starts_with("VmRSS")).expect("a size");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<f64>().ok()).expect("a number") * 1024.0
}

/// An executor that answers at once.
fn executor() -> SocketAddr {
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

fn thrift(to: SocketAddr, first: u64, requests: usize, open: usize) -> usize {
    let mut client = Client::connect(to);
    let (mut sent, mut answered) = (0, 0);
    while answered < requests {
        while sent < requests && sent - answered < open {
            let mut told = fields("flow-read", &format!("{:016x}", first + sent as u64), 20_000);
            told.remove("org");
            sent += 1;
            client.serve(sent as i32, &told, b"");
        }
        match client.receive() {
            Some((_, stand::Reply::Served(_))) => answered += 1,
            other => panic!("{other:?} after {answered}"),
        }
    }
    answered
}

fn hello(client: &str) -> Vec<u8> {
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
    Packet::Connect(Box::new(connect)).encode(Version::V5, MOST).expect("written")
}

fn connack(stream: &mut TcpStream) {
    stream.set_read_timeout(Some(stand::PATIENCE)).expect("a time-out");
    let mut bytes = [0; 512];
    let size = stream.read(&mut bytes).expect("an answer");
    let packet = decode(&bytes[..size], Version::V5, MOST).expect("a good packet");
    assert!(matches!(packet, Some((Packet::Connack(c), _)) if !c.reason.is_failure()));
}

fn station(to: SocketAddr, first: u64) -> usize {
    let mut stream = TcpStream::connect(to).expect("a connection");
    stream.set_nodelay(true).expect("set");
    stream.write_all(&hello("busy")).expect("sent");
    connack(&mut stream);
    let (mut sent, mut answered) = (0, 0);
    let mut buffer = Vec::new();
    let mut bytes = vec![0; 1 << 16];
    while answered < REQUESTS {
        while sent < REQUESTS && sent - answered < OPEN {
            let mut told = fields("flow-read", &format!("{:016x}", first + sent as u64), 20_000);
            told.remove("org");
            let properties = Properties { user: told.into_iter().collect(), ..Properties::default() };
            sent += 1;
            let id = (sent % 60_000 + 1) as u16;
            let publish = Publish {
                packet_id: id,
                qos: Qos::AtLeastOnce,
                topic: "in/busy".into(),
                properties,
                ..Publish::default()
            };
            let packet = Packet::Publish(Box::new(publish)).encode(Version::V5, MOST).expect("written");
            stream.write_all(&packet).expect("sent");
        }
        let count = stream.read(&mut bytes).expect("an answer");
        if count == 0 {
            return answered;
        }
        buffer.extend(&bytes[..count]);
        let mut done = 0;
        while let Some((packet, size)) = decode(&buffer[done..], Version::V5, MOST).expect("a good packet") {
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
