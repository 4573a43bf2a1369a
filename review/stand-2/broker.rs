//! A stand-in of an MQTT 5.0 broker: sessions that outlive connections, QoS 0 and 1, redelivery with DUP, retained messages,
//! and the takeover of a session by a later connection. Stations publish to it directly.

use crate::util::{Record, unix_ms};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

#[derive(Clone, Debug, Default)]
pub struct Message {
    pub topic: String,
    pub retain: bool,
    pub response_topic: Option<String>,
    pub correlation: Option<Vec<u8>>,
    pub user: Vec<(String, String)>,
    pub payload: Vec<u8>,
}

impl Message {
    /// The value of a user property.
    pub fn user(&self, name: &str) -> Option<&str> {
        self.user.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

#[derive(Default)]
struct Session {
    /// The present connection, and its number.
    connection: Option<(usize, TcpStream)>,
    filters: Vec<(String, u8)>,
    /// Messages that were sent and not acknowledged, by packet id.
    unacknowledged: BTreeMap<u16, Message>,
    next_id: u16,
}

#[derive(Default)]
struct State {
    sessions: BTreeMap<String, Session>,
    retained: BTreeMap<String, Message>,
    /// All that clients published, in order.
    published: Vec<Message>,
    connects: usize,
}

#[derive(Clone)]
pub struct Broker {
    pub address: SocketAddr,
    name: String,
    record: Record,
    state: Arc<Mutex<State>>,
}

fn put_text(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend((bytes.len() as u16).to_be_bytes());
    out.extend(bytes);
}

fn put_length(out: &mut Vec<u8>, mut size: usize) {
    while size > 127 {
        out.push(size as u8 | 0x80);
        size >>= 7;
    }
    out.push(size as u8);
}

fn packet(head: u8, content: &[u8]) -> Vec<u8> {
    let mut out = vec![head];
    put_length(&mut out, content.len());
    out.extend(content);
    out
}

fn encode(m: &Message, id: u16, dup: bool, qos: u8) -> Vec<u8> {
    let mut properties = Vec::new();
    if let Some(topic) = &m.response_topic {
        properties.push(8);
        put_text(&mut properties, topic.as_bytes());
    }
    if let Some(data) = &m.correlation {
        properties.push(9);
        put_text(&mut properties, data);
    }
    for (name, value) in &m.user {
        properties.push(0x26);
        put_text(&mut properties, name.as_bytes());
        put_text(&mut properties, value.as_bytes());
    }
    let mut content = Vec::new();
    put_text(&mut content, m.topic.as_bytes());
    if qos > 0 {
        content.extend(id.to_be_bytes());
    }
    put_length(&mut content, properties.len());
    content.extend(properties);
    content.extend(&m.payload);
    packet(0x30 | u8::from(dup) << 3 | qos << 1 | u8::from(m.retain), &content)
}

/// Reads values from the front of a packet; what is missing reads as zeros.
struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> &'a [u8] {
        let (head, tail) = self.0.split_at(count.min(self.0.len()));
        self.0 = tail;
        head
    }

    fn number(&mut self, count: usize) -> usize {
        self.take(count).iter().fold(0, |n, b| n << 8 | usize::from(*b))
    }

    fn field(&mut self) -> Vec<u8> {
        let size = self.number(2);
        self.take(size).to_vec()
    }

    fn text(&mut self) -> String {
        String::from_utf8_lossy(&self.field()).to_string()
    }

    fn size(&mut self) -> usize {
        let (mut size, mut shift) = (0, 0);
        loop {
            let byte = self.number(1);
            size |= (byte & 0x7f) << shift;
            shift += 7;
            if byte & 0x80 == 0 {
                return size;
            }
        }
    }
}

fn matches(filter: &str, topic: &str) -> bool {
    filter.strip_suffix('#').map_or(filter == topic, |start| topic.starts_with(start))
}

impl Session {
    fn send(&mut self, bytes: &[u8]) {
        if let Some((_, stream)) = &mut self.connection {
            let _ = stream.write_all(bytes);
        }
    }

    fn deliver(&mut self, message: &Message, qos: u8) {
        if qos == 0 {
            return self.send(&encode(message, 0, false, 0));
        }
        self.next_id += 1;
        self.unacknowledged.insert(self.next_id, message.clone());
        let bytes = encode(message, self.next_id, false, 1);
        self.send(&bytes);
    }
}

impl Broker {
    pub fn start(name: &str, record: &Record) -> Broker {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("an address");
        let broker =
            Broker { address, name: name.to_string(), record: record.clone(), state: Arc::default() };
        let accepting = broker.clone();
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().map_while(Result::ok).enumerate() {
                let broker = accepting.clone();
                // Packets go out one by one, as a broker sends them: what waits for an acknowledgement of TCP would come late.
                let _ = stream.set_nodelay(true);
                std::thread::spawn(move || drop(broker.serve(number, stream)));
            }
        });
        broker
    }

    fn note(&self, text: String) {
        self.record.line(format!("{}  {text}", self.name));
    }

    fn serve(&self, number: usize, mut stream: TcpStream) -> std::io::Result<()> {
        let mut client = None;
        let result = self.read_packets(number, &mut stream, &mut client);
        if let Some(client) = client {
            let mut state = self.state.lock().unwrap();
            let session = state.sessions.entry(client.clone()).or_default();
            if session.connection.as_ref().is_some_and(|(n, _)| *n == number) {
                session.connection = None;
                drop(state);
                self.note(format!("connection {number} of {client} ended"));
            }
        }
        result
    }

    fn read_packets(&self, number: usize, stream: &mut TcpStream, client: &mut Option<String>) -> std::io::Result<()> {
        loop {
            let mut head = [0; 1];
            stream.read_exact(&mut head)?;
            let (mut size, mut shift) = (0, 0);
            loop {
                let mut byte = [0; 1];
                stream.read_exact(&mut byte)?;
                size |= usize::from(byte[0] & 0x7f) << shift;
                shift += 7;
                if byte[0] & 0x80 == 0 {
                    break;
                }
            }
            let mut content = vec![0; size];
            stream.read_exact(&mut content)?;
            match client {
                None if head[0] >> 4 == 1 => *client = Some(self.connect(number, stream, &content)?),
                None => return Ok(()),
                Some(client) => self.packet(number, client, head[0], &content),
            }
        }
    }

    fn connect(&self, number: usize, stream: &TcpStream, content: &[u8]) -> std::io::Result<String> {
        let mut r = Reader(content);
        r.text();
        r.number(1);
        let flags = r.number(1);
        r.number(2);
        let size = r.size();
        r.take(size);
        let client = r.text();
        let mut state = self.state.lock().unwrap();
        state.connects += 1;
        let clean = flags & 2 != 0;
        let present = !clean && state.sessions.contains_key(&client);
        if clean {
            state.sessions.remove(&client);
        }
        let session = state.sessions.entry(client.clone()).or_default();
        if let Some((old, mut old_stream)) = session.connection.take() {
            // Session taken over [MQTT-3.1.4-3].
            let _ = old_stream.write_all(&packet(0xe0, &[0x8e, 0]));
            let _ = old_stream.shutdown(Shutdown::Both);
            self.note(format!("connection {number} of {client} takes the session over from connection {old}"));
        }
        self.note(format!("connection {number} of {client} is up, session present: {present}"));
        session.connection = Some((number, stream.try_clone()?));
        session.send(&packet(0x20, &[u8::from(present), 0, 0]));
        for (id, message) in session.unacknowledged.clone() {
            self.note(format!("sends {} again, with DUP", message.topic));
            session.send(&encode(&message, id, true, 1));
        }
        Ok(client)
    }

    fn packet(&self, number: usize, client: &str, head: u8, content: &[u8]) {
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        let present = |s: &Session| s.connection.as_ref().is_some_and(|(n, _)| *n == number);
        if !state.sessions.get(client).is_some_and(present) {
            return;
        }
        let mut r = Reader(content);
        match head >> 4 {
            3 => {
                let qos = head >> 1 & 3;
                let mut m = Message { topic: r.text(), retain: head & 1 == 1, ..Message::default() };
                let id = if qos > 0 { r.take(2).to_vec() } else { Vec::new() };
                let size = r.size();
                let mut p = Reader(r.take(size));
                while !p.0.is_empty() {
                    match p.number(1) {
                        2 => drop(p.number(4)),
                        8 => m.response_topic = Some(p.text()),
                        9 => m.correlation = Some(p.field()),
                        0x26 => {
                            let name = p.text();
                            m.user.push((name, p.text()));
                        }
                        _ => break,
                    }
                }
                m.payload = r.0.to_vec();
                self.note(format!(
                    "connection {number} publishes on {}: status {}, why {}",
                    m.topic,
                    m.user("status").unwrap_or("-"),
                    m.user("why").unwrap_or("-")
                ));
                if m.retain {
                    state.retained.insert(m.topic.clone(), m.clone());
                }
                state.published.push(m.clone());
                for session in state.sessions.values_mut() {
                    if let Some(qos) = session.filters.iter().find(|(f, _)| matches(f, &m.topic)).map(|f| f.1) {
                        session.deliver(&m, qos);
                    }
                }
                if let (true, Some(session)) = (qos > 0, state.sessions.get_mut(client)) {
                    session.send(&packet(0x40, &id));
                }
            }
            4 => {
                let id = r.number(2) as u16;
                let found = state.sessions.get_mut(client).and_then(|s| s.unacknowledged.remove(&id));
                if let Some(message) = found {
                    self.note(format!("connection {number} acknowledges {}", message.topic));
                }
            }
            8 => {
                let id = r.take(2).to_vec();
                let size = r.size();
                r.take(size);
                let filter = r.text();
                let qos = r.number(1) as u8 & 3;
                let kept: Vec<Message> =
                    state.retained.values().filter(|m| matches(&filter, &m.topic)).cloned().collect();
                let Some(session) = state.sessions.get_mut(client) else { return };
                session.filters.retain(|(f, _)| *f != filter);
                session.send(&packet(0x90, &[id[0], id[1], 0, qos]));
                kept.iter().for_each(|message| session.deliver(message, qos));
                session.filters.push((filter, qos));
            }
            10 => {
                let id = r.take(2).to_vec();
                let size = r.size();
                r.take(size);
                let filter = r.text();
                let Some(session) = state.sessions.get_mut(client) else { return };
                session.filters.retain(|(f, _)| *f != filter);
                session.send(&packet(0xb0, &[id[0], id[1], 0, 0]));
            }
            12 => {
                if let Some(session) = state.sessions.get_mut(client) {
                    session.send(&packet(0xd0, &[]));
                }
            }
            14 => self.note(format!("connection {number} of {client} says goodbye")),
            _ => {}
        }
    }

    /// Returns whether a client is connected that subscribes to this filter at QoS 1.
    pub fn is_subscribed(&self, filter: &str) -> bool {
        let state = self.state.lock().unwrap();
        state.sessions.values().any(|s| s.connection.is_some() && s.filters.iter().any(|(f, q)| f == filter && *q == 1))
    }

    /// Publishes a trigger at QoS 1, as a station does: to every session that subscribes, connected or not.
    pub fn trigger(&self, topic: &str, class: &str, call: &str, ttl_ms: u64) -> String {
        let response = format!("stations/7/answers/{call}");
        let pair = |n: &str, v: &str| (n.to_string(), v.to_string());
        let message = Message {
            topic: topic.to_string(),
            response_topic: Some(response.clone()),
            correlation: Some(call.as_bytes().to_vec()),
            user: vec![
                pair("op", class),
                pair("call", call),
                pair("ttl", &ttl_ms.to_string()),
                pair("org", "agua-costa"),
                pair("row", "7f3a9c21e0b4d655"),
                pair("info", "memory_mb:512;lanes:2;load_ms:200"),
                pair("sent", &unix_ms().to_string()),
            ],
            payload: b"reading".to_vec(),
            retain: false,
        };
        self.note(format!("a station publishes trigger {call} ({class}), ttl {ttl_ms} ms"));
        let mut state = self.state.lock().unwrap();
        for session in state.sessions.values_mut() {
            if let Some(qos) = session.filters.iter().find(|(f, _)| matches(f, topic)).map(|f| f.1) {
                session.deliver(&message, qos);
            }
        }
        response
    }

    /// Returns the status of each answer that was published on a topic, in order.
    pub fn answers(&self, topic: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        let on_topic = state.published.iter().filter(|m| m.topic == topic);
        on_topic.map(|m| m.user("status").unwrap_or("-").to_string()).collect()
    }

    /// Returns how many triggers were sent and not acknowledged.
    pub fn unacknowledged(&self) -> usize {
        self.state.lock().unwrap().sessions.values().map(|s| s.unacknowledged.len()).sum()
    }
}
