//! A test MQTT 5 broker with sessions, retained messages and redelivery, and no more of the protocol than these need.

use crate::stand::PATIENCE;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};

/// A message held by the broker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Message {
    pub topic: String,
    pub retain: bool,
    pub response_topic: Option<String>,
    pub correlation: Option<Vec<u8>>,
    pub user: BTreeMap<String, String>,
    pub payload: Vec<u8>,
}

#[derive(Default)]
struct State {
    /// The connection of the only client.
    client: Option<TcpStream>,
    connects: usize,
    /// The client's subscriptions: filter and quality of service.
    filters: Vec<(String, u8)>,
    /// Messages sent to the client and not acknowledged, by packet id. They are resent with the DUP flag.
    unacknowledged: BTreeMap<u16, Message>,
    next_id: u16,
    acknowledged: usize,
    rejected: usize,
    retained: BTreeMap<String, Message>,
    /// Every message that the client published, in order.
    published: Vec<Message>,
    /// The number of the client's next messages to refuse.
    refuse: usize,
    refused: usize,
    /// Whether the client's messages are left unacknowledged.
    mute: bool,
    receive_maximum: u16,
}

type Shared = Arc<(Mutex<State>, Condvar)>;

/// A broker that runs in threads of the test process.
pub struct Broker {
    pub address: SocketAddr,
    shared: Shared,
}

fn put_field(out: &mut Vec<u8>, bytes: &[u8]) {
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
        put_field(&mut properties, topic.as_bytes());
    }
    if let Some(data) = &m.correlation {
        properties.push(9);
        put_field(&mut properties, data);
    }
    for (name, value) in &m.user {
        properties.push(0x26);
        put_field(&mut properties, name.as_bytes());
        put_field(&mut properties, value.as_bytes());
    }
    let mut content = Vec::new();
    put_field(&mut content, m.topic.as_bytes());
    if qos > 0 {
        content.extend(id.to_be_bytes());
    }
    put_length(&mut content, properties.len());
    content.extend(properties);
    content.extend(&m.payload);
    packet(0x30 | u8::from(dup) << 3 | qos << 1 | u8::from(m.retain), &content)
}

/// Reads values from the front of a packet.
struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> &'a [u8] {
        let (head, tail) = self.0.split_at(count);
        self.0 = tail;
        head
    }

    fn number(&mut self, count: usize) -> usize {
        self.take(count).iter().fold(0, |n, b| n << 8 | usize::from(*b))
    }

    fn field(&mut self) -> &'a [u8] {
        let size = self.number(2);
        self.take(size)
    }

    fn text(&mut self) -> String {
        String::from_utf8(self.field().to_vec()).expect("text")
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

/// Decodes a PUBLISH of the client into its packet id and message. An answer must have an expiry.
fn decode(head: u8, content: &[u8]) -> (u16, Message) {
    assert_eq!(head & 0x06, 2, "an answer is published at QoS 1");
    let mut r = Reader(content);
    let mut m = Message { topic: r.text(), retain: head & 1 == 1, ..Message::default() };
    let id = r.number(2) as u16;
    let size = r.size();
    let mut p = Reader(r.take(size));
    let mut expiry = None;
    while !p.0.is_empty() {
        match p.number(1) {
            2 => expiry = Some(p.number(4)),
            8 => m.response_topic = Some(p.text()),
            9 => m.correlation = Some(p.field().to_vec()),
            0x26 => {
                let name = p.text();
                m.user.insert(name, p.text());
            }
            other => panic!("unexpected property {other} in an answer"),
        }
    }
    assert!(expiry.is_some_and(|e| e > 0), "an answer without an expiry");
    m.payload = r.0.to_vec();
    (id, m)
}

fn matches(filter: &str, topic: &str) -> bool {
    filter.strip_suffix('#').map_or(filter == topic, |start| topic.starts_with(start))
}

impl State {
    fn send(&mut self, bytes: &[u8]) {
        if let Some(client) = &mut self.client {
            let _ = client.write_all(bytes);
        }
    }

    /// Sends a message to the client for the first time.
    fn deliver(&mut self, message: &Message, qos: u8) {
        if qos == 0 {
            return self.send(&encode(message, 0, false, 0));
        }
        self.next_id += 1;
        self.unacknowledged.insert(self.next_id, message.clone());
        assert!(
            self.unacknowledged.len() <= usize::from(self.receive_maximum),
            "the test exceeds the receive maximum"
        );
        self.send(&encode(message, self.next_id, false, 1));
    }

    fn packet(&mut self, head: u8, content: &[u8]) {
        let mut r = Reader(content);
        match head >> 4 {
            1 => {
                assert_eq!(&content[..7], b"\x00\x04MQTT\x05");
                assert_eq!(content[7] & 2, 0, "the client resumes its session");
                let mut p = Reader(&content[10..]);
                let size = p.size();
                let properties = p.take(size);
                let at = properties.iter().position(|b| *b == 0x21).expect("a receive maximum");
                self.receive_maximum = u16::from_be_bytes([properties[at + 1], properties[at + 2]]);
                self.connects += 1;
                self.send(&packet(0x20, &[u8::from(self.connects > 1), 0, 3, 0x21, 0, 16]));
                // Unacknowledged messages are resent with the DUP flag.
                for (id, message) in self.unacknowledged.clone() {
                    self.send(&encode(&message, id, true, 1));
                }
            }
            3 => {
                let (id, message) = decode(head, content);
                if self.refuse > 0 {
                    self.refuse -= 1;
                    self.refused += 1;
                    let [a, b] = id.to_be_bytes();
                    return self.send(&packet(0x40, &[a, b, 0x97, 0]));
                }
                self.published.push(message.clone());
                if message.retain && message.payload.is_empty() {
                    self.retained.remove(&message.topic);
                } else if message.retain {
                    self.retained.insert(message.topic.clone(), message.clone());
                }
                if !self.mute {
                    self.send(&packet(0x40, &id.to_be_bytes()));
                }
            }
            4 => {
                let id = r.number(2) as u16;
                assert!(self.unacknowledged.remove(&id).is_some(), "acknowledgement of an unknown packet id");
                self.acknowledged += 1;
                self.rejected += usize::from(r.0.first().is_some_and(|reason| *reason >= 0x80));
            }
            8 => {
                let id = r.take(2);
                let size = r.size();
                r.take(size);
                let filter = r.text();
                let qos = r.number(1) as u8 & 3;
                self.filters.retain(|(f, _)| *f != filter);
                self.send(&packet(0x90, &[id[0], id[1], 0, qos]));
                let kept = self.retained.values().filter(|m| matches(&filter, &m.topic)).cloned();
                for message in kept.collect::<Vec<_>>() {
                    self.deliver(&message, qos);
                }
                self.filters.push((filter, qos));
            }
            10 => {
                let id = r.take(2);
                let size = r.size();
                r.take(size);
                let filter = r.text();
                self.filters.retain(|(f, _)| *f != filter);
                self.send(&packet(0xb0, &[id[0], id[1], 0, 0]));
            }
            12 => self.send(&packet(0xd0, &[])),
            14 => {}
            other => panic!("unexpected packet type {other}"),
        }
    }
}

fn serve_client(mut stream: TcpStream, shared: &Shared) -> std::io::Result<()> {
    let own = stream.peer_addr()?;
    shared.0.lock().expect("the state").client = Some(stream.try_clone()?);
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
        let mut state = shared.0.lock().expect("the state");
        let current = state.client.as_ref().and_then(|c| c.peer_addr().ok());
        if current == Some(own) {
            state.packet(head[0], &content);
        }
        shared.1.notify_all();
    }
}

impl Broker {
    pub fn start() -> Broker {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("an address");
        let shared = Shared::default();
        let state = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let shared = state.clone();
                std::thread::spawn(move || {
                    let _ = serve_client(stream, &shared);
                });
            }
        });
        Broker { address, shared }
    }

    fn wait(&self, what: &str, holds: impl Fn(&State) -> bool) -> MutexGuard<'_, State> {
        let state = self.shared.0.lock().expect("the state");
        let (state, over) =
            self.shared.1.wait_timeout_while(state, PATIENCE, |s| !holds(s)).expect("the state");
        assert!(!over.timed_out(), "{what}: published {:#?}", state.published);
        state
    }

    /// Waits until the client has connected `connects` times and subscribed to its triggers.
    pub fn subscribed(&self, connects: usize) {
        let _state = self
            .wait("no subscription", |s| s.connects >= connects && s.filters.iter().any(|(_, q)| *q == 1));
    }

    /// Publishes a message as a station does.
    pub fn publish(&self, message: &Message) {
        let mut state = self.shared.0.lock().expect("the state");
        if message.retain {
            state.retained.insert(message.topic.clone(), message.clone());
        }
        if let Some(qos) = state.filters.iter().find(|(f, _)| matches(f, &message.topic)).map(|f| f.1) {
            state.deliver(message, qos);
        }
    }

    /// Waits until this many messages are acknowledged, and returns all answers published so far.
    pub fn answers(&self, acknowledged: usize) -> Vec<Message> {
        self.wait("not acknowledged", |s| s.acknowledged >= acknowledged).published.clone()
    }

    /// Waits until this many answers are published, acknowledged or not.
    pub fn published(&self, count: usize) -> Vec<Message> {
        self.wait("not published", |s| s.published.len() >= count).published.clone()
    }

    /// Returns the number of messages acknowledged with a failure reason.
    pub fn rejected(&self) -> usize {
        self.shared.0.lock().expect("the state").rejected
    }

    /// Returns the number of messages sent and not acknowledged.
    pub fn unacknowledged(&self) -> usize {
        self.shared.0.lock().expect("the state").unacknowledged.len()
    }

    /// Stops acknowledging answers, or resumes it.
    pub fn mute(&self, mute: bool) {
        self.shared.0.lock().expect("the state").mute = mute;
    }

    /// Refuses this many answers with the reason "quota exceeded".
    pub fn refuse(&self, count: usize) {
        self.shared.0.lock().expect("the state").refuse = count;
    }

    /// Returns the number of answers refused.
    pub fn refused(&self) -> usize {
        self.shared.0.lock().expect("the state").refused
    }

    /// Closes the client's connection.
    pub fn cut(&self) {
        let client = self.shared.0.lock().expect("the state").client.take();
        client.expect("a connection").shutdown(Shutdown::Both).expect("cut");
    }

    /// Sends the client a malformed packet.
    pub fn babble(&self) {
        self.shared.0.lock().expect("the state").send(&[0x30, 0xff, 0xff, 0xff, 0xff, 0xff]);
    }
}
