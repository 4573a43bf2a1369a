//! The packet format: types, encoding and decoding. `docs/protocol/peers.md` describes the protocol.
//!
//! A packet consists of the two bytes `oP`, the version, a header, a body and claims in postcard's encoding (its wire
//! specification, version 1), and the CRC-32 (ISO-HDLC) of all preceding bytes, in little-endian order. The order of
//! fields and variants is the format. Invalid input yields a [`DecodeError`], never a panic.

use crate::Micros;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;

/// The largest packet, in bytes: fits one Ethernet frame.
pub const MAX_PACKET_BYTES: usize = 1_400;
/// The longest member name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// The longest text in a record, in bytes.
pub const MAX_TEXT_BYTES: usize = 32;
/// Buckets into which a table is split, by name, for comparison.
pub const BUCKETS: usize = 32;
/// The longest content of a note, in bytes.
pub const MAX_NOTE_BYTES: usize = 900;
/// The version of the packet format. Additions are new variants of [`Body`], which older members drop and count as
/// malformed. The version rises only with a release that still reads and sends the previous one, since members that
/// drop each other's packets would compute their budget shares without each other.
pub const VERSION: u8 = 1;
const MAGIC: [u8; 2] = *b"oP";

/// The state of a member. Of two claims of the same incarnation the one with the later variant takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// The member answers probes.
    Alive,
    /// A probe had no ack; the member may still refute the suspicion.
    Suspect,
    /// The suspicion expired without a refutation. The member may be dead, stopped, or partitioned.
    Failed,
    /// The member left on purpose.
    Left,
}

/// Whether a member accepts requests of clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Serving {
    /// It accepts requests.
    #[default]
    Serves,
    /// It drains: it exits once its open requests are settled.
    Drains,
    /// It has only just started (cold start).
    Cold,
}

/// What a member publishes about itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The zone.
    pub zone: Arc<str>,
    /// The program's version.
    pub program: Arc<str>,
    /// The version of the configuration; 0 for none.
    pub configuration: u64,
    /// Whether it accepts requests.
    pub serving: Serving,
}

/// A claim about a member. Claims are ordered by incarnation, then by process, then by [`State`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// The name.
    pub name: Arc<str>,
    /// The address at which it is reached.
    pub address: SocketAddr,
    /// The process: its start in Unix milliseconds times 65,536, plus a random remainder.
    pub instance: u64,
    /// Raised only by the member itself, whenever it refutes a claim or its record changes.
    pub incarnation: u64,
    /// The claimed state.
    pub state: State,
    /// The record that it publishes.
    pub record: Record,
}

impl Claim {
    /// Returns whether this claim supersedes another about the same name. Of two processes with the same incarnation
    /// the one that started later takes precedence.
    pub fn newer(&self, other: &Claim) -> bool {
        let precedence = |c: &Claim| (c.incarnation, c.instance, c.state);
        precedence(self) > precedence(other)
    }

    fn is_within_bounds(&self) -> bool {
        !self.name.is_empty()
            && self.name.len() <= MAX_NAME_BYTES
            && self.record.zone.len() <= MAX_TEXT_BYTES
            && self.record.program.len() <= MAX_TEXT_BYTES
    }
}

/// The kind of a packet and its content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// A probe: the target answers with an `Ack` of the same number.
    Ping {
        /// The probe number.
        number: u64,
        /// The name of the probed member; any other receiver ignores the packet.
        target: Arc<str>,
    },
    /// The acknowledgement of a `Ping`, or of the one sent for a `PingRequest`.
    Ack {
        /// The probe number.
        number: u64,
    },
    /// An indirect probe (SWIM's ping-req): the receiver pings the target and forwards its ack.
    #[serde(rename = "Seek")]
    PingRequest {
        /// The probe number.
        number: u64,
        /// The name of the probed member.
        target: Arc<str>,
        /// The address of the target in the sender's table; receivers use the one in their own table.
        address: SocketAddr,
    },
    /// Starts a table exchange by the header's digest. The member that started it continues with a `CompareBuckets` if
    /// the digest in the reply differs from its own.
    #[serde(rename = "Hello")]
    CompareDigest {
        /// Whether this is the reply to a `Hello`; a reply is not replied to.
        answer: bool,
    },
    /// Carries only claims.
    Claims,
    /// The digests of the [`BUCKETS`] buckets of the sender's table: the receiver sends its claims of those that
    /// differ.
    #[serde(rename = "Differ")]
    CompareBuckets {
        /// The digests, each truncated to 32 bits.
        #[serde(rename = "marks")]
        digests: Vec<u32>,
        /// Whether this is the reply to a `CompareBuckets`; a reply is not replied to.
        answer: bool,
    },
    /// A message between other parts of the program.
    #[serde(rename = "Note")]
    Message {
        /// The part of the program that it is for.
        channel: u8,
        /// The content, at most [`MAX_NOTE_BYTES`] bytes.
        bytes: Vec<u8>,
    },
}

impl Body {
    fn is_within_bounds(&self) -> bool {
        match self {
            Body::CompareBuckets { digests, .. } => digests.len() == BUCKETS,
            Body::Message { bytes, .. } => bytes.len() <= MAX_NOTE_BYTES,
            _ => true,
        }
    }
}

/// The sender, and a summary of its view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The hash of the group's name ([`group`]).
    pub group: u64,
    /// The sender's claim about itself.
    pub own: Claim,
    /// The sequence number of the sender's packet, for replay detection.
    #[serde(rename = "stamp")]
    pub sequence: u64,
    /// The digest of the sender's view.
    pub digest: u64,
    /// The number of members that are alive or suspect in the sender's view.
    pub alive: u16,
    /// The sender's load, in thousandths.
    pub load: u16,
}

/// A packet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// The sender.
    pub header: Header,
    /// The content.
    pub body: Body,
    /// Piggybacked claims.
    pub claims: Vec<Claim>,
}

/// Why a packet could not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Not a packet of this format, truncated, or corrupt.
    Malformed,
    /// A packet of this other version.
    OtherVersion(u8),
    /// A packet of another group.
    OtherGroup,
    /// An empty name, or a name, text, note or digest list out of bounds.
    OutOfBounds,
}

/// Returns the hash by which packets identify a group.
pub fn group_hash(name: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// Returns the bucket of a name.
pub fn bucket_of(name: &str) -> usize {
    let mut hasher = SipHasher13::new();
    name.hash(&mut hasher);
    (hasher.finish() % BUCKETS as u64) as usize
}

/// Returns what a claim contributes to the digest of a table.
pub fn claim_digest(claim: &Claim) -> u64 {
    let state_class = match claim.state {
        State::Alive | State::Suspect => 1_u8,
        State::Failed => 2,
        // Members remove a departed member at different times; counting it would make equal views differ.
        State::Left => return 0,
    };
    let mut hasher = SipHasher13::new();
    (&*claim.name, claim.instance, claim.incarnation, state_class).hash(&mut hasher);
    hasher.finish()
}

fn to_bytes<T: Serialize>(value: &T) -> Vec<u8> {
    // Serializing these types into memory cannot fail.
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Encodes a packet with as many of the first claims as fit. Returns it with the number of these claims.
pub fn encode(header: &Header, body: &Body, claims: &[Claim]) -> (Vec<u8>, usize) {
    let mut out = MAGIC.to_vec();
    out.push(VERSION);
    out.extend(to_bytes(header));
    out.extend(to_bytes(body));
    // postcard encodes a count of up to 127 in one byte; the checksum takes four. More than 127 claims never fit.
    let room = MAX_PACKET_BYTES.saturating_sub(out.len() + 4 + 1);
    let mut list = Vec::new();
    let mut count = 0;
    for claim in claims.iter().take(127) {
        let next = to_bytes(claim);
        if list.len() + next.len() > room {
            break;
        }
        list.extend(next);
        count += 1;
    }
    out.push(count as u8);
    out.extend(list);
    out.extend(crc32fast::hash(&out).to_le_bytes());
    (out, count)
}

/// Decodes a packet of the group, and checks its bounds.
pub fn decode(packet: &[u8], group: u64) -> Result<Packet, DecodeError> {
    if packet.len() > MAX_PACKET_BYTES || packet.len() < MAGIC.len() + 5 || packet[..2] != MAGIC {
        return Err(DecodeError::Malformed);
    }
    let (body, sum) = packet.split_at(packet.len() - 4);
    if crc32fast::hash(body).to_le_bytes() != sum {
        return Err(DecodeError::Malformed);
    }
    if body[2] != VERSION {
        return Err(DecodeError::OtherVersion(body[2]));
    }
    let decoded: Packet = postcard::from_bytes(&body[3..]).map_err(|_| DecodeError::Malformed)?;
    if decoded.header.group != group {
        return Err(DecodeError::OtherGroup);
    }
    if !decoded.header.own.is_within_bounds()
        || !decoded.body.is_within_bounds()
        || !decoded.claims.iter().all(Claim::is_within_bounds)
    {
        return Err(DecodeError::OutOfBounds);
    }
    Ok(decoded)
}

/// Replay detection for the packets of one process: a sliding window of 64 sequence numbers, within which packets may
/// arrive out of order.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplayWindow {
    highest: u64,
    /// A bit for each received number, counted down from the highest.
    seen: u64,
    /// When the last packet was accepted.
    pub accepted_at: Micros,
}

impl ReplayWindow {
    /// Records a sequence number. Returns false if it was seen before, or is older than the window.
    pub fn accept(&mut self, now: Micros, sequence: u64) -> bool {
        if sequence > self.highest {
            let ahead = sequence - self.highest;
            self.seen = if ahead >= 64 { 1 } else { self.seen << ahead | 1 };
            self.highest = sequence;
        } else {
            let behind = self.highest - sequence;
            if behind >= 64 || self.seen >> behind & 1 == 1 {
                return false;
            }
            self.seen |= 1 << behind;
        }
        self.accepted_at = now;
        true
    }
}

#[cfg(test)]
mod tests;
