//! One query over TCP (RFC 7766), sent after an answer over UDP had its truncation flag set.

use super::dns::{self, MAX_MESSAGE_BYTES};
use crate::net::{Closed, Connection, Malformed, Poll, PollEvent, ProtocolHandler, Ring};
use std::io;
use std::net::SocketAddr;

/// How long the answer is awaited, in microseconds.
const ANSWER_TIMEOUT_US: u64 = 2_000_000;
/// Bytes of the length prefix of a message.
const LENGTH_PREFIX_BYTES: usize = 2;
/// Limit of the query with its length prefix, in bytes.
const MAX_QUERY_BYTES: usize = 1_024;

/// A reader of length-prefixed messages.
struct MessageReader;

impl ProtocolHandler for MessageReader {
    type Out = Vec<Vec<u8>>;

    fn on_received(&mut self, input: &mut Ring, out: &mut Vec<Vec<u8>>) -> Result<(), Malformed> {
        let bytes = input.contiguous();
        let Some((size, rest)) = bytes.split_first_chunk::<LENGTH_PREFIX_BYTES>() else { return Ok(()) };
        let size = usize::from(u16::from_be_bytes(*size));
        let Some(message) = rest.get(..size) else { return Ok(()) };
        out.push(message.to_vec());
        input.consume(LENGTH_PREFIX_BYTES + size);
        Ok(())
    }
}

/// An outstanding query over TCP, on a connection of its own.
pub struct TcpExchange {
    link: Connection<MessageReader>,
    id: u16,
    started_at: u64,
}

impl TcpExchange {
    /// Starts a connection to the server and queues the query on it.
    pub fn start(
        poll: &mut Poll,
        (owner, slot): (u8, usize),
        server: SocketAddr,
        (now, id): (u64, u16),
        service: &str,
    ) -> io::Result<TcpExchange> {
        let token = poll.token(owner, slot);
        let limits = (LENGTH_PREFIX_BYTES + MAX_MESSAGE_BYTES, MAX_QUERY_BYTES);
        let mut link = Connection::connect(poll, server, token, MessageReader, limits)?;
        let query = dns::encode_query(id, service);
        let mut message = (query.len() as u16).to_be_bytes().to_vec();
        message.extend(query);
        if !link.io.queue(&message) {
            return Err(io::Error::other("DNS query does not fit into the send buffer"));
        }
        Ok(TcpExchange { link, id, started_at: now })
    }

    /// Returns whether an event belongs to this connection.
    pub fn owns(&self, ready: PollEvent) -> bool {
        self.link.io.token() == ready.token
    }

    /// Returns when the query was started.
    pub fn started_at(&self) -> u64 {
        self.started_at
    }

    /// Returns whether the query has timed out.
    pub fn is_expired(&self, now: u64) -> bool {
        now >= self.started_at + ANSWER_TIMEOUT_US
    }

    /// Handles an event on the connection. Returns the answer once it has arrived whole.
    pub fn ready(&mut self, poll: &mut Poll, ready: PollEvent) -> Result<Option<Vec<u8>>, Closed> {
        let mut messages = Vec::new();
        let handled = self.link.handle_event(poll, ready, &mut messages);
        let answer = messages.into_iter().find(|m| dns::message_id(m) == Some(self.id));
        match (answer, handled) {
            (Some(answer), _) => Ok(Some(answer)),
            (None, Err(why)) => Err(why),
            (None, Ok(())) if self.link.io.read_closed => Err(Closed::Broken),
            (None, Ok(())) => Ok(None),
        }
    }
}
