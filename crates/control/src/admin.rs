//! What the command line asks of a running service: the same frames as the stream, other messages, one question a
//! connection.

use ochreward_stream::wire::{self, Fault, MOST_FRAME};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The longest document that is published, in bytes.
pub const MOST_DOCUMENT: usize = 16 << 20;
/// The longest that an answer is waited for.
const PATIENCE: Duration = Duration::from_secs(30);

/// A question.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "kebab-case")]
pub enum Ask {
    /// A piece of the document that a later `Publish` or `Validate` on this connection is about.
    Piece {
        /// The piece.
        text: String,
    },
    /// Publishes the document sent before.
    Publish {
        /// Without canary and waves.
        at_once: bool,
    },
    /// Checks the document sent before.
    Validate {},
    /// Publishes the content of an earlier version again.
    Rollback {
        /// The earlier version's number.
        number: u64,
        /// Without canary and waves.
        at_once: bool,
    },
    /// Goes on with a halted rollout, without those who refused.
    Resume {},
    /// Everything that is known.
    Status {},
    /// The published versions.
    History {},
    /// A version's document.
    Show {
        /// Its number.
        number: u64,
    },
    /// Where each key of an instance comes from.
    Explain {
        /// The instance.
        instance: String,
    },
    /// Everything that happens from now on.
    Watch {},
}

/// An answer; long ones come in pieces.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "kebab-case")]
pub enum Answer {
    /// A piece of the answer's JSON text.
    Piece {
        /// The piece.
        text: String,
    },
    /// The answer is whole.
    Done {
        /// Yes or no.
        ok: bool,
    },
    /// Something happened, for those who watch.
    Event {
        /// What.
        event: Value,
    },
}

/// Why a question came to nothing.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The service can't be reached, or broke off.
    #[error("the control service can't be reached, {0}: see that it runs, and at this address")]
    Io(#[from] io::Error),
    /// What it sent is no answer.
    #[error("what came is no answer: see that a control service of this version listens there")]
    Nonsense,
    /// The answer is no; what it said.
    #[error("{}: correct it and ask again", told(.0))]
    No(Value),
}

/// The service's words for a no.
fn told(value: &Value) -> String {
    match value.get("faults").and_then(Value::as_array) {
        Some(faults) => {
            let line = |v: &Value| serde_json::from_value::<Fault>(v.clone()).ok().map(|v| v.to_string());
            faults.iter().filter_map(line).collect::<Vec<String>>().join("\n")
        }
        None => value.get("why").and_then(Value::as_str).unwrap_or("no").to_string(),
    }
}

/// A connection to a service, for one question.
pub struct Client {
    stream: TcpStream,
}

impl Client {
    /// Connects.
    pub fn connect(to: SocketAddr) -> Result<Client, Error> {
        let stream = TcpStream::connect_timeout(&to, PATIENCE)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        Ok(Client { stream })
    }

    fn send(&mut self, ask: &Ask) -> Result<(), Error> {
        Ok(self.stream.write_all(&wire::frame(ask))?)
    }

    fn receive(&mut self) -> Result<Answer, Error> {
        let mut head = [0; 4];
        self.stream.read_exact(&mut head)?;
        let length = u32::from_be_bytes(head) as usize;
        if length > MOST_FRAME {
            return Err(Error::Nonsense);
        }
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body)?;
        wire::parse(&body).map_err(|_| Error::Nonsense)
    }

    /// Asks, with a document where the question is about one.
    pub fn ask(mut self, ask: &Ask, document: Option<&str>) -> Result<Value, Error> {
        let document = document.unwrap_or_default();
        let mut from = 0;
        while from < document.len() {
            let text = wire::piece(document, from).to_string();
            from += text.len();
            self.send(&Ask::Piece { text })?;
        }
        self.send(ask)?;
        let mut text = String::new();
        loop {
            match self.receive()? {
                Answer::Piece { text: piece } => text += &piece,
                Answer::Done { ok } => {
                    let value = serde_json::from_str(&text).map_err(|_| Error::Nonsense)?;
                    return if ok { Ok(value) } else { Err(Error::No(value)) };
                }
                Answer::Event { .. } => return Err(Error::Nonsense),
            }
        }
    }

    /// Calls for each thing that happens, until the service goes or the callback says no.
    pub fn watch(mut self, mut each: impl FnMut(Value) -> bool) -> Result<(), Error> {
        self.stream.set_read_timeout(None)?;
        self.send(&Ask::Watch {})?;
        loop {
            match self.receive()? {
                Answer::Event { event } if each(event.clone()) => {}
                Answer::Event { .. } => return Ok(()),
                _ => return Err(Error::Nonsense),
            }
        }
    }
}
