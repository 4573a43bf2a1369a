//! The admin protocol between the command line and a running service: the framing of the stream with other messages, and
//! one request per connection. [`Client`] is its blocking client.

use ochreward_stream::wire::{self, Fault, MAX_FRAME_BYTES};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The maximum length of a published document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 16 << 20;
/// The time-out for connecting and for each read of an answer.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "kebab-case")]
pub enum Request {
    /// Sends a piece of the document for a later `Publish` or `Validate` on this connection.
    Piece {
        /// The piece.
        text: String,
    },
    /// Publishes the document that was sent in pieces.
    Publish {
        /// Without canary and waves.
        at_once: bool,
    },
    /// Validates the document that was sent in pieces.
    Validate {},
    /// Publishes the content of an earlier version again.
    Rollback {
        /// The earlier version's number.
        number: u64,
        /// Without canary and waves.
        at_once: bool,
    },
    /// Resumes a halted rollout without the instances that refused the version.
    Resume {},
    /// Returns the whole state of the service.
    Status {},
    /// Lists the published versions.
    History {},
    /// Returns a version's document.
    Show {
        /// The version's number.
        number: u64,
    },
    /// Returns the layer that each key of an instance's configuration comes from.
    Explain {
        /// The instance name.
        instance: String,
    },
    /// Subscribes to all events from now on.
    Watch {},
}

/// A message in answer to a request; long answers are sent in pieces.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "kebab-case")]
pub enum Answer {
    /// A piece of the answer's JSON text.
    Piece {
        /// The piece.
        text: String,
    },
    /// Ends the answer.
    Done {
        /// Whether the request was granted.
        ok: bool,
    },
    /// Reports an event to a watching client.
    Event {
        /// The event.
        event: Value,
    },
}

/// The reason why a request failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The service can't be reached, or closed the connection.
    #[error("the control service can't be reached, {0}: check that it runs and listens at this address")]
    Io(#[from] io::Error),
    /// The service sent something other than an answer.
    #[error("unexpected answer: check that a control service of this version listens at the address")]
    UnexpectedAnswer,
    /// The service refused the request, with this answer.
    #[error("{}: correct it and try again", refusal_text(.0))]
    Refused(Value),
}

/// Returns the reasons given in a refusal as text.
fn refusal_text(value: &Value) -> String {
    match value.get("faults").and_then(Value::as_array) {
        Some(faults) => {
            let line = |v: &Value| serde_json::from_value::<Fault>(v.clone()).ok().map(|v| v.to_string());
            faults.iter().filter_map(line).collect::<Vec<String>>().join("\n")
        }
        None => value.get("why").and_then(Value::as_str).unwrap_or("no").to_string(),
    }
}

/// A blocking connection to a service, for one request.
pub struct Client {
    stream: TcpStream,
}

impl Client {
    /// Connects to a service.
    pub fn connect(to: SocketAddr) -> Result<Client, Error> {
        let stream = TcpStream::connect_timeout(&to, TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        Ok(Client { stream })
    }

    fn send(&mut self, ask: &Request) -> Result<(), Error> {
        Ok(self.stream.write_all(&wire::encode_frame(ask))?)
    }

    fn receive(&mut self) -> Result<Answer, Error> {
        let mut header = [0; 4];
        self.stream.read_exact(&mut header)?;
        let length = u32::from_be_bytes(header) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(Error::UnexpectedAnswer);
        }
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body)?;
        wire::decode(&body).map_err(|_| Error::UnexpectedAnswer)
    }

    /// Sends a request, preceded by its document if there is one, and returns the answer.
    pub fn request(mut self, ask: &Request, document: Option<&str>) -> Result<Value, Error> {
        let document = document.unwrap_or_default();
        let mut from = 0;
        while from < document.len() {
            let text = wire::next_piece(document, from).to_string();
            from += text.len();
            self.send(&Request::Piece { text })?;
        }
        self.send(ask)?;
        let mut text = String::new();
        loop {
            match self.receive()? {
                Answer::Piece { text: piece } => text += &piece,
                Answer::Done { ok } => {
                    let value = serde_json::from_str(&text).map_err(|_| Error::UnexpectedAnswer)?;
                    return if ok { Ok(value) } else { Err(Error::Refused(value)) };
                }
                Answer::Event { .. } => return Err(Error::UnexpectedAnswer),
            }
        }
    }

    /// Calls `on_event` for each event until it returns false or the connection to the service ends.
    pub fn watch(mut self, mut on_event: impl FnMut(Value) -> bool) -> Result<(), Error> {
        self.stream.set_read_timeout(None)?;
        self.send(&Request::Watch {})?;
        loop {
            match self.receive()? {
                Answer::Event { event } if on_event(event.clone()) => {}
                Answer::Event { .. } => return Ok(()),
                _ => return Err(Error::UnexpectedAnswer),
            }
        }
    }
}
