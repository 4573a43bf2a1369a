//! A blocking client for the dispatcher's Thrift protocol, and the encoding of its messages.

use crate::stand::{FUNCTION, PATIENCE};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

/// An answer to a client.
#[derive(Debug, PartialEq)]
pub enum Reply {
    Served(Vec<u8>),
    Well(bool),
    Refused(BTreeMap<String, String>),
    Failed,
    Exception(String),
}

/// A client with one connection. Methods named `try_` return errors, for a dispatcher that may have exited; the others panic.
pub struct Client {
    pub stream: TcpStream,
}

fn put_string(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend((bytes.len() as u32).to_be_bytes());
    out.extend(bytes);
}

/// Encodes a framed message.
pub fn call(kind: u8, method: &str, seq: i32, arguments: &[u8]) -> Vec<u8> {
    let mut message = vec![0x80, 1, 0, kind];
    put_string(&mut message, method.as_bytes());
    message.extend(seq.to_be_bytes());
    message.extend(arguments);
    let mut out = Vec::new();
    put_string(&mut out, &message);
    out
}

/// Returns the usual fields of a request.
pub fn fields(class: &str, id: &str, ttl_ms: u64) -> BTreeMap<String, String> {
    let mut fields: BTreeMap<String, String> = [
        ("op", class),
        ("call", id),
        ("ttl", &ttl_ms.to_string()),
        ("org", "acme"),
        ("row", FUNCTION),
        ("info", "memory_mb:512;lanes:2;load_ms:640"),
    ]
    .map(|(n, v)| (n.to_string(), v.to_string()))
    .into();
    if class == "level-log" {
        fields.insert("dedupe".to_string(), "5c0f6e1a2b3d4c59a8b7c6d5e4f30211".to_string());
    }
    fields
}

/// Encodes a framed request.
pub fn message(seq: i32, fields: &BTreeMap<String, String>, body: &[u8]) -> Vec<u8> {
    let mut out = vec![13, 0, 1, 11, 11];
    out.extend((fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        put_string(&mut out, name.as_bytes());
        put_string(&mut out, value.as_bytes());
    }
    out.extend([11, 0, 2]);
    put_string(&mut out, body);
    out.push(0);
    call(1, "serve", seq, &out)
}

impl Client {
    pub fn connect(to: SocketAddr) -> Client {
        let stream = TcpStream::connect(to).expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        Client { stream }
    }

    /// Connects to a dispatcher that may have exited.
    pub fn try_connect(to: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        Ok(Client { stream })
    }

    /// Sends a request to a dispatcher that may have exited.
    pub fn try_serve(
        &mut self,
        seq: i32,
        fields: &BTreeMap<String, String>,
        body: &[u8],
    ) -> std::io::Result<()> {
        self.stream.write_all(&message(seq, fields, body))
    }

    pub fn serve(&mut self, seq: i32, fields: &BTreeMap<String, String>, body: &[u8]) {
        self.stream.write_all(&message(seq, fields, body)).expect("sent");
    }

    pub fn forget(&mut self, own: i32, seq: i32) {
        self.try_forget(own, seq).expect("sent");
    }

    /// Cancels the request `seq` at a dispatcher that may have exited; `own` is the sequence number of the cancel message.
    pub fn try_forget(&mut self, own: i32, seq: i32) -> std::io::Result<()> {
        let mut out = vec![8, 0, 1];
        out.extend(seq.to_be_bytes());
        out.push(0);
        self.stream.write_all(&call(4, "forget", own, &out))
    }

    pub fn other(&mut self, method: &str, seq: i32) {
        self.try_other(method, seq).expect("sent");
    }

    /// Calls another method of a dispatcher that may have exited.
    pub fn try_other(&mut self, method: &str, seq: i32) -> std::io::Result<()> {
        self.stream.write_all(&call(1, method, seq, &[2, 0, 1, 1, 0]))
    }

    /// Returns the next answer; `None` once the connection has ended or the read has timed out.
    pub fn receive(&mut self) -> Option<(i32, Reply)> {
        let mut size = [0; 4];
        self.stream.read_exact(&mut size).ok()?;
        let mut message = vec![0; u32::from_be_bytes(size) as usize];
        self.stream.read_exact(&mut message).ok()?;
        let mut rest = &message[..];
        let mut take = |count: usize| {
            let (head, tail) = rest.split_at(count);
            rest = tail;
            head.to_vec()
        };
        let number = |bytes: &[u8]| u32::from_be_bytes(bytes.try_into().expect("four bytes"));
        let kind = take(4)[3];
        let size = number(&take(4)) as usize;
        let method = take(size);
        let seq = number(&take(4)) as i32;
        let text = |take: &mut dyn FnMut(usize) -> Vec<u8>| {
            let size = number(&take(4)) as usize;
            take(size)
        };
        let head = take(3);
        if kind == 3 {
            return Some((seq, Reply::Exception(String::from_utf8(text(&mut take)).expect("text"))));
        }
        assert_eq!((kind, head[0]), (2, 12), "a reply that holds a struct");
        let reply = match head[2] {
            0 => {
                take(3);
                let body = text(&mut take);
                // The headers of the map of fields and the flag after the body, ending with the flag and two stops.
                let end = take(3 + 6 + 3 + 1 + 2);
                if method == b"isWell" { Reply::Well(end[12] == 1) } else { Reply::Served(body) }
            }
            1 => {
                take(3 + 2);
                let count = number(&take(4));
                let mut pair = || (text(&mut take), text(&mut take));
                let pairs = (0..count).map(|_| pair());
                let utf8 = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
                Reply::Refused(pairs.map(|(n, v)| (utf8(n), utf8(v))).collect())
            }
            _ => Reply::Failed,
        };
        Some((seq, reply))
    }
}
