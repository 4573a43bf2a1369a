//! The state of one connection to a broker: what the broker announced, and what is outstanding on either side. Packet ids
//! and everything else here are void once the connection ends.

use super::options::Options;
use super::packets;
use crate::net::{Connection, Malformed, ProtocolHandler, Ring};
use ochreward_mqtt::packet::{Packet, Publish};
use ochreward_mqtt::{Version, Violation, decode};
use std::collections::{BTreeSet, VecDeque};

/// Decodes the broker's packets.
pub(super) struct Decoder {
    pub max_packet_bytes: usize,
    /// A protocol violation by the broker, whose reason is sent in a DISCONNECT before the connection ends.
    pub violation: Option<Violation>,
}

impl ProtocolHandler for Decoder {
    type Out = Vec<Packet>;

    fn on_received(&mut self, input: &mut Ring, out: &mut Vec<Packet>) -> Result<(), Malformed> {
        let bytes = input.contiguous();
        let mut done = 0;
        loop {
            match decode(&bytes[done..], Version::V5, self.max_packet_bytes) {
                Ok(Some((packet, size))) => {
                    out.push(packet);
                    done += size;
                }
                Ok(None) => break,
                Err(violation) => {
                    self.violation = Some(violation);
                    return Err(Malformed(violation.description));
                }
            }
        }
        input.consume(done);
        Ok(())
    }
}

/// The purpose of a ping. The broker answers in order, so a PINGRESP shows that everything sent before it was answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Ping {
    /// Keeps the connection alive.
    KeepAlive,
    /// Marks the end of the record lookup of this message.
    RecordLookup(i64),
}

/// The limits that a broker announced in CONNACK.
#[derive(Clone, Copy, Debug)]
pub(super) struct BrokerLimits {
    /// Unacknowledged QoS 1 messages that it accepts.
    pub receive_maximum: u16,
    /// The largest packet that it accepts.
    pub maximum_packet: Option<u32>,
    /// The keep-alive that it requires, in seconds.
    pub keep_alive: Option<u16>,
}

/// The state of the current connection.
pub(super) struct Session {
    pub link: Connection<Decoder>,
    /// The limits from CONNACK; none before it arrives.
    pub broker_limits: Option<BrokerLimits>,
    /// When a packet that needs a response was last sent; none if no response is outstanding.
    pub awaiting_since: Option<u64>,
    /// When a packet was last sent.
    pub last_sent: u64,
    /// Pings without a response, in order.
    pub pings: VecDeque<Ping>,
    /// Record subscriptions without a SUBACK: packet id and message number.
    pub record_lookups: Vec<(u16, i64)>,
    /// Packet ids of messages received and not acknowledged.
    pub unacknowledged: BTreeSet<u16>,
    /// Messages received while draining, in order, until the broker is configured again. They are among the unacknowledged
    /// ones, so that the receive maximum bounds them; the broker delivers them again on its next connection.
    pub deferred: VecDeque<Publish>,
    /// Answers published and not acknowledged.
    pub unacknowledged_answers: usize,
    /// Packet ids of sent packets that await a response.
    pub used_ids: BTreeSet<u16>,
    next_id: u16,
}

impl Session {
    /// Creates the state of a connection on which a CONNECT has been queued.
    pub fn new(link: Connection<Decoder>, now: u64) -> Session {
        Session {
            link,
            broker_limits: None,
            awaiting_since: Some(now),
            last_sent: now,
            pings: VecDeque::new(),
            record_lookups: Vec::new(),
            unacknowledged: BTreeSet::new(),
            deferred: VecDeque::new(),
            unacknowledged_answers: 0,
            used_ids: BTreeSet::new(),
            next_id: 1,
        }
    }

    /// Returns a packet id that is not in use.
    pub fn next_packet_id(&mut self) -> u16 {
        // Packet ids wrap around: one still in use is skipped, since its acknowledgement would be taken for another's.
        // Far fewer are in use than exist, so the loop ends; 0 is not a valid id.
        while !self.used_ids.insert(self.next_id) {
            self.next_id = self.next_id.checked_add(1).unwrap_or(1);
        }
        self.next_id
    }

    /// Queues a packet; returns whether there was room for it.
    pub fn send(&mut self, now: u64, packet: &[u8]) -> bool {
        self.last_sent = now;
        self.link.io.queue(packet)
    }

    /// Sends a ping for this purpose.
    pub fn ping(&mut self, now: u64, ping: Ping) {
        if self.send(now, &packets::pingreq()) {
            self.pings.push_back(ping);
            self.awaiting_since = Some(now);
        }
    }

    /// Returns the keep-alive interval in force, in microseconds; 0 if there is none.
    pub fn keep_alive(&self, options: &Options) -> u64 {
        let server_keep_alive = self.broker_limits.as_ref().and_then(|b| b.keep_alive);
        u64::from(server_keep_alive.unwrap_or(options.keep_alive)) * 1_000_000
    }
}
