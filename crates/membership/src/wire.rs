//! The packet: what members tell each other, and how it is read. `docs/protocol/peers.md` has it in words.
//!
//! Two bytes `oP`, the version, a header and a body in postcard's encoding (its wire specification, version 1), and the
//! CRC-32 (ISO-HDLC) of all before it, least byte first. Whatever does not fit is an [`Unread`], never a panic.

use crate::Micros;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;

/// The largest packet, in bytes: fits one frame of the usual networks.
pub const MOST_PACKET: usize = 1_400;
/// The longest name, in bytes.
pub const MOST_NAME: usize = 64;
/// The longest text of a record, in bytes.
pub const MOST_TEXT: usize = 32;
/// Parts into which tables are split to be compared.
pub const MARKS: usize = 32;
/// The most bytes of a note.
pub const MOST_NOTE: usize = 900;
/// The version of the packet. What is added comes as further kinds of body, which older members drop, counted as damaged;
/// it rises only with a release that still reads and sends the former one, since members that drop each other's packets
/// would count without each other.
pub const VERSION: u8 = 1;
const MAGIC: [u8; 2] = *b"oP";

/// What is held of a member, in the order in which one word outdoes another of the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// It answers.
    Alive,
    /// It has not answered, and may say that it lives.
    Suspect,
    /// It has not answered nor said that it lives. It may be dead, stopped, or cut off.
    Failed,
    /// It left on purpose.
    Left,
}

/// What a member does for clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Serving {
    /// It takes requests.
    #[default]
    Serves,
    /// It ends once all is settled.
    Drains,
    /// It has only begun.
    Cold,
}

/// What a member tells of itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Its zone.
    pub zone: Arc<str>,
    /// The program's version.
    pub program: Arc<str>,
    /// The version of its configuration; 0 for none.
    pub configuration: u64,
    /// What it does for clients.
    pub serving: Serving,
}

/// A claim about a member: newer is what has the higher incarnation, then the later word of [`State`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// Its name.
    pub name: Arc<str>,
    /// Where it is heard.
    pub address: SocketAddr,
    /// The process: its start in Unix milliseconds times 65,536, and a random rest.
    pub instance: u64,
    /// Raised by the member alone, whenever it denies a claim or its record changes.
    pub incarnation: u64,
    /// What it is said to be.
    pub state: State,
    /// What it tells of itself.
    pub record: Record,
}

impl Claim {
    /// Whether this is newer than the other, about the same name. Two processes of one incarnation: the later began.
    pub fn newer(&self, other: &Claim) -> bool {
        let of = |c: &Claim| (c.incarnation, c.instance, c.state);
        of(self) > of(other)
    }

    fn fits(&self) -> bool {
        !self.name.is_empty()
            && self.name.len() <= MOST_NAME
            && self.record.zone.len() <= MOST_TEXT
            && self.record.program.len() <= MOST_TEXT
    }
}

/// What a packet is for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Answer with `Ack` of the same number, if this is your name.
    Ping {
        /// The number.
        number: u64,
        /// Who is asked.
        target: Arc<str>,
    },
    /// The answer to a `Ping`, or what came of a `Seek`.
    Ack {
        /// The number.
        number: u64,
    },
    /// Ping this one for me.
    Seek {
        /// The number.
        number: u64,
        /// Who.
        target: Arc<str>,
        /// Where.
        address: SocketAddr,
    },
    /// My table has this digest, the header's; send claims if yours differs.
    Hello {
        /// This answers a `Hello`: it asks for none in return.
        answer: bool,
    },
    /// Nothing but claims.
    Claims,
    /// The digests of the parts of my table, [`MARKS`] of them: send the claims of those in which yours differs.
    Differ {
        /// The digests, each cut to 32 bits.
        marks: Vec<u32>,
        /// This answers a `Differ`: it asks for none in return.
        answer: bool,
    },
    /// What other parts of the program tell each other; [`MOST_NOTE`] bytes at the most.
    Note {
        /// Which part.
        channel: u8,
        /// What it says.
        bytes: Vec<u8>,
    },
}

impl Body {
    fn fits(&self) -> bool {
        match self {
            Body::Differ { marks, .. } => marks.len() == MARKS,
            Body::Note { bytes, .. } => bytes.len() <= MOST_NOTE,
            _ => true,
        }
    }
}

/// Who sends, and how the group looks from there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The hash of the group's name.
    pub group: u64,
    /// The sender's claim about itself.
    pub own: Claim,
    /// Counts the sender's packets: an old one that comes again is a replay.
    pub stamp: u64,
    /// The digest of its table.
    pub digest: u64,
    /// Members that it holds for alive.
    pub alive: u16,
    /// Its load, in thousandths.
    pub load: u16,
}

/// A packet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// Who sends.
    pub header: Header,
    /// What for.
    pub body: Body,
    /// Claims passed on.
    pub claims: Vec<Claim>,
}

/// Why a packet was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// Not a packet of this kind, cut, or damaged.
    Garbage,
    /// Another version.
    Version(u8),
    /// Another group.
    Group,
    /// A name or text that is too long, or empty.
    Bounds,
}

/// The hash that stands for a group's name.
pub fn group(name: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// The part of a table that a name belongs to.
pub fn mark_of(name: &str) -> usize {
    let mut hasher = SipHasher13::new();
    name.hash(&mut hasher);
    (hasher.finish() % MARKS as u64) as usize
}

/// What a claim adds to a table's digest.
pub fn digest(claim: &Claim) -> u64 {
    let class = match claim.state {
        State::Alive | State::Suspect => 1_u8,
        State::Failed => 2,
        // Forgotten at different times: it must not keep tables apart.
        State::Left => return 0,
    };
    let mut hasher = SipHasher13::new();
    (&*claim.name, claim.instance, claim.incarnation, class).hash(&mut hasher);
    hasher.finish()
}

fn bytes<T: Serialize>(value: &T) -> Vec<u8> {
    // Nothing in a packet can fail to be written into memory.
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Writes a packet, leaving out the last claims that do not fit; the number of claims in it.
pub fn write(header: &Header, body: &Body, claims: &[Claim]) -> (Vec<u8>, usize) {
    let mut out = MAGIC.to_vec();
    out.push(VERSION);
    out.extend(bytes(header));
    out.extend(bytes(body));
    // The count takes one byte up to 127; more claims never fit.
    let room = MOST_PACKET.saturating_sub(out.len() + 4 + 1);
    let mut list = Vec::new();
    let mut count = 0;
    for claim in claims.iter().take(127) {
        let next = bytes(claim);
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

/// Reads a packet of the group.
pub fn read(packet: &[u8], group: u64) -> Result<Packet, Unread> {
    if packet.len() > MOST_PACKET || packet.len() < MAGIC.len() + 5 || packet[..2] != MAGIC {
        return Err(Unread::Garbage);
    }
    let (body, sum) = packet.split_at(packet.len() - 4);
    if crc32fast::hash(body).to_le_bytes() != sum {
        return Err(Unread::Garbage);
    }
    if body[2] != VERSION {
        return Err(Unread::Version(body[2]));
    }
    let read: Packet = postcard::from_bytes(&body[3..]).map_err(|_| Unread::Garbage)?;
    if read.header.group != group {
        return Err(Unread::Group);
    }
    if !read.header.own.fits() || !read.body.fits() || !read.claims.iter().all(Claim::fits) {
        return Err(Unread::Bounds);
    }
    Ok(read)
}

/// Tells replays: packets of one process are numbered, and may overtake each other a little.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Window {
    last: u64,
    seen: u64,
    /// When it last took one.
    pub at: Micros,
}

impl Window {
    /// Whether a packet with this number is new; it is taken note of.
    pub fn take(&mut self, now: Micros, stamp: u64) -> bool {
        if stamp > self.last {
            let ahead = stamp - self.last;
            self.seen = if ahead >= 64 { 1 } else { self.seen << ahead | 1 };
            self.last = stamp;
        } else {
            let behind = self.last - stamp;
            if behind >= 64 || self.seen >> behind & 1 == 1 {
                return false;
            }
            self.seen |= 1 << behind;
        }
        self.at = now;
        true
    }
}

#[cfg(test)]
mod tests;
