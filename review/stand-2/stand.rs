//! Stand-ins of the platform: a name service, executors and a client.

use crate::util::Record;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::Duration;

fn dns_name(name: &str) -> Vec<u8> {
    let mut out = Vec::new();
    for label in name.split('.') {
        out.push(label.len() as u8);
        out.extend(label.bytes());
    }
    out.push(0);
    out
}

/// The number of the last event, and the ids that drain.
type Drains = Arc<Mutex<(u32, Vec<String>)>>;

/// A name service over UDP. Its list holds the same executors at all times; some of them may drain.
pub struct Names {
    pub address: SocketAddr,
    drains: Drains,
}

impl Names {
    pub fn start(workers: &[(&str, SocketAddr)]) -> Names {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
        let address = socket.local_addr().expect("an address");
        let list: Vec<(String, SocketAddr)> = workers.iter().map(|(id, a)| (id.to_string(), *a)).collect();
        let drains: Drains = Arc::new(Mutex::new((1, Vec::new())));
        let present = drains.clone();
        std::thread::spawn(move || {
            let mut query = [0; 512];
            while let Ok((size, from)) = socket.recv_from(&mut query) {
                if size > 12 {
                    let (serial, draining) = present.lock().unwrap().clone();
                    let _ = socket.send_to(&answer(&query[..size], &list, serial, &draining), from);
                }
            }
        });
        Names { address, drains }
    }

    /// Tells of a change: from now on these executors drain, and no others.
    pub fn drain(&self, ids: &[&str]) {
        let mut drains = self.drains.lock().unwrap();
        *drains = (drains.0 + 1, ids.iter().map(|id| id.to_string()).collect());
    }
}

fn answer(query: &[u8], list: &[(String, SocketAddr)], serial: u32, draining: &[String]) -> Vec<u8> {
    let service = dns_name("_back._tcp.pool.lan");
    let mut out = query[..2].to_vec();
    out.extend([0x84, 0, 0, 1]);
    out.extend((list.len() as u16).to_be_bytes());
    out.extend([0, 1]);
    out.extend((2 * list.len() as u16).to_be_bytes());
    out.extend(&query[12..12 + service.len() + 4]);
    let record = |out: &mut Vec<u8>, owner: &[u8], kind: u8, data: &[u8]| {
        out.extend(owner);
        out.extend([0, kind, 0, 1, 0, 0, 0, 0]);
        out.extend((data.len() as u16).to_be_bytes());
        out.extend(data);
    };
    let host = |id: &str| dns_name(&format!("{id}.hall-a.hosts"));
    for (id, address) in list {
        let mut data = vec![0, u8::from(draining.contains(id)), 0, 40];
        data.extend(address.port().to_be_bytes());
        data.extend(host(id));
        record(&mut out, &service, 33, &data);
    }
    let mut soa = vec![0, 0];
    soa.extend(serial.to_be_bytes());
    soa.extend([0; 16]);
    record(&mut out, &service, 6, &soa);
    for (id, address) in list {
        let std::net::IpAddr::V4(ip) = address.ip() else { continue };
        record(&mut out, &host(id), 1, &ip.octets());
        let mut texts = Vec::new();
        for text in ["kind=std", "cell=0", "started=0"] {
            texts.push(text.len() as u8);
            texts.extend(text.bytes());
        }
        record(&mut out, &host(id), 16, &texts);
    }
    out
}

/// Returns the text of a member of a JSON line as the dispatcher writes it.
fn member<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let start = line.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = line[start..].trim_start();
    match rest.strip_prefix('"') {
        Some(text) => text.split('"').next(),
        None => rest.split([',', '}']).next().map(str::trim),
    }
}

/// What an executor does with a request: after so many milliseconds it answers with this word.
pub type Behaviour = Arc<dyn Fn(&str, usize) -> (u64, &'static str) + Send + Sync>;

/// The runs of all executors: for each request id its executors, in order.
pub type Runs = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

/// An executor, whose behaviour depends on the request's id and on how often that id has run anywhere before.
pub struct Executor {
    pub address: SocketAddr,
}

impl Executor {
    pub fn start(name: &str, record: &Record, runs: &Runs, behaviour: Behaviour) -> Executor {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("an address");
        let (name, record, runs) = (name.to_string(), record.clone(), runs.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (name, record, runs, behaviour) =
                    (name.clone(), record.clone(), runs.clone(), behaviour.clone());
                std::thread::spawn(move || serve(stream, &name, &record, &runs, &behaviour));
            }
        });
        Executor { address }
    }
}

fn serve(stream: TcpStream, name: &str, record: &Record, runs: &Runs, behaviour: &Behaviour) {
    let writer = Arc::new(Mutex::new(stream.try_clone().expect("a stream")));
    let send = |writer: &Arc<Mutex<TcpStream>>, line: String| drop(writer.lock().unwrap().write_all(line.as_bytes()));
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        let rid = member(&line, "rid").unwrap_or_default().to_string();
        match member(&line, "verb") {
            Some("go") => {
                let class = member(&line, "c").unwrap_or_default();
                let before = {
                    let mut runs = runs.lock().unwrap();
                    let of = runs.entry(rid.clone()).or_default();
                    of.push(name.to_string());
                    of.len() - 1
                };
                record.line(format!("run     {name} runs {rid} ({class}), number {} of its runs", before + 1));
                let (delay, word) = behaviour(&rid, before);
                let content = member(&line, "content").unwrap_or_default().to_string();
                let (writer, record, name) = (writer.clone(), record.clone(), name.to_string());
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_millis(delay));
                    let note = if word == "OK" { r#","attrs":{"note":"up"}"# } else { "" };
                    let content = if word == "OK" { format!(r#","content":"{content}""#) } else { String::new() };
                    record.line(format!("answer  {name} answers {word} for {rid}"));
                    let line = format!("{{\"verb\":\"{word}\",\"rid\":\"{rid}\"{note}{content}}}\n");
                    let _ = writer.lock().unwrap().write_all(line.as_bytes());
                });
            }
            Some("halt") => record.line(format!("halt    {name} is told to give {rid} up")),
            Some("stage") => send(&writer, format!("{{\"verb\":\"OK\",\"rid\":\"{rid}\",\"attrs\":{{\"pods\":1}}}}\n")),
            Some("ping" | "stat") => send(&writer, format!("{{\"verb\":\"UP\",\"rid\":\"{rid}\"}}\n")),
            _ => {}
        }
    }
}

/// The answer to a client.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Served,
    Refused,
    Failed,
    /// The connection ended, or nothing came in time.
    Nothing,
}

fn put(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend((bytes.len() as u32).to_be_bytes());
    out.extend(bytes);
}

/// Sends one request on a connection of its own, and waits for its answer.
pub fn ask(record: &Record, to: SocketAddr, class: &str, call: &str, ttl_ms: u64) -> Reply {
    let reply = try_ask(to, class, call, ttl_ms).unwrap_or(Reply::Nothing);
    record.line(format!("client  {call} ({class}) to {to}: {reply:?}"));
    reply
}

fn try_ask(to: SocketAddr, class: &str, call: &str, ttl_ms: u64) -> Option<Reply> {
    let ttl = ttl_ms.to_string();
    let fields = [
        ("op", class),
        ("call", call),
        ("ttl", &ttl),
        ("org", "agua-costa"),
        ("row", "7f3a9c21e0b4d655"),
        ("info", "memory_mb:512;lanes:2;load_ms:200"),
    ];
    let mut message = vec![0x80, 1, 0, 1];
    put(&mut message, b"serve");
    message.extend(1i32.to_be_bytes());
    message.extend([13, 0, 1, 11, 11]);
    message.extend((fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        put(&mut message, name.as_bytes());
        put(&mut message, value.as_bytes());
    }
    message.extend([11, 0, 2]);
    put(&mut message, b"reading");
    message.push(0);
    let mut frame = Vec::new();
    put(&mut frame, &message);
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(2)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(ttl_ms + 1_000))).ok()?;
    stream.write_all(&frame).ok()?;
    let mut size = [0; 4];
    stream.read_exact(&mut size).ok()?;
    let mut answer = vec![0; u32::from_be_bytes(size) as usize];
    stream.read_exact(&mut answer).ok()?;
    // Version, method `serve`, sequence number; then the type and the number of the first field.
    let kind = *answer.get(3)?;
    let field = *answer.get(4 + 4 + 5 + 4 + 2)?;
    Some(match (kind, field) {
        (2, 0) => Reply::Served,
        (2, 1) => Reply::Refused,
        _ => Reply::Failed,
    })
}
