//! One query over TCP (RFC 7766), asked where an answer over UDP says that it does not hold all.

use super::dns::{self, MOST_ANSWER};
use crate::net::{Callbacks, Closed, Link, Malformed, Poll, Ready, Ring};
use std::io;
use std::net::SocketAddr;

/// How long the answer is awaited, in microseconds.
const PATIENCE_US: u64 = 2_000_000;
/// Bytes that tell a message's size, before the message.
const SIZE_BYTES: usize = 2;
/// Bytes that the one query may take.
const MOST_QUERY: usize = 1_024;

/// Reads messages that are preceded by their size.
struct Messages;

impl Callbacks for Messages {
    type Out = Vec<Vec<u8>>;

    fn received(&mut self, input: &mut Ring, out: &mut Vec<Vec<u8>>) -> Result<(), Malformed> {
        let bytes = input.contiguous();
        let Some((size, rest)) = bytes.split_first_chunk::<SIZE_BYTES>() else { return Ok(()) };
        let size = usize::from(u16::from_be_bytes(*size));
        let Some(message) = rest.get(..size) else { return Ok(()) };
        out.push(message.to_vec());
        input.consume(SIZE_BYTES + size);
        Ok(())
    }
}

/// A query that is on its way over TCP.
pub struct Exchange {
    link: Link<Messages>,
    id: u16,
    asked_at: u64,
}

impl Exchange {
    /// Connects and asks.
    pub fn begin(
        poll: &mut Poll,
        (owner, slot): (u8, usize),
        server: SocketAddr,
        (now, id): (u64, u16),
        service: &str,
    ) -> io::Result<Exchange> {
        let token = poll.token(owner, slot);
        let limits = (SIZE_BYTES + MOST_ANSWER, MOST_QUERY);
        let mut link = Link::connect(poll, server, token, Messages, limits)?;
        let query = dns::query(id, service);
        let mut message = (query.len() as u16).to_be_bytes().to_vec();
        message.extend(query);
        if !link.io.queue(&message) {
            return Err(io::Error::other("the query is longer than its buffer"));
        }
        Ok(Exchange { link, id, asked_at: now })
    }

    /// Whether an event is this connection's.
    pub fn owns(&self, ready: Ready) -> bool {
        self.link.io.token() == ready.token
    }

    /// When the query was begun.
    pub fn asked_at(&self) -> u64 {
        self.asked_at
    }

    /// Whether its answer is awaited no longer.
    pub fn is_over(&self, now: u64) -> bool {
        now >= self.asked_at + PATIENCE_US
    }

    /// Handles what happened on the connection: its answer, once that has come whole.
    pub fn ready(&mut self, poll: &mut Poll, ready: Ready) -> Result<Option<Vec<u8>>, Closed> {
        let mut messages = Vec::new();
        let handled = self.link.ready(poll, ready, &mut messages);
        let answer = messages.into_iter().find(|m| dns::id(m) == Some(self.id));
        match (answer, handled) {
            (Some(answer), _) => Ok(Some(answer)),
            (None, Err(why)) => Err(why),
            (None, Ok(())) if self.link.io.ended => Err(Closed::Broken),
            (None, Ok(())) => Ok(None),
        }
    }
}
