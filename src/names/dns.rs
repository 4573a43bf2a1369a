//! DNS messages (RFC 1035): writes the one query, reads the answers with every length and pointer bounded.

use super::{Executor, State};
use crate::api::WorkerId;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// The largest answer read, in bytes: what a datagram, and a message over TCP, may hold (RFC 1035, 4.2).
pub const MOST_ANSWER: usize = 65_535;
/// Jumps that a compressed name may take.
const MOST_JUMPS: usize = 32;
/// The longest name, in bytes.
const MOST_NAME: usize = 255;
/// The smallest record, in bytes: a root name, kind, class, time to live and the size of no data.
const LEAST_RECORD: usize = 11;
/// Records read of one answer: as many as the largest can hold.
const MOST_RECORDS: usize = MOST_ANSWER / LEAST_RECORD;

const A: u16 = 1;
const SOA: u16 = 6;
const TXT: u16 = 16;
const AAAA: u16 = 28;
const SRV: u16 = 33;

/// An answer that can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadAnswer(pub &'static str);

/// A readable answer.
#[derive(Debug, PartialEq)]
pub struct Answer {
    /// The query's id.
    pub id: u16,
    /// The number of the last event.
    pub serial: u32,
    /// The whole list.
    pub executors: Vec<Executor>,
}

/// A query for the service's SRV records.
pub fn query(id: u16, name: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(64);
    // Recursion is not wanted; one question, one additional record.
    for word in [id, 0, 1, 0, 0, 1] {
        out.extend(word.to_be_bytes());
    }
    for label in name.split('.') {
        out.push(label.len().min(63) as u8);
        out.extend(label.bytes().take(63));
    }
    out.push(0);
    out.extend(SRV.to_be_bytes());
    out.extend(1u16.to_be_bytes());
    // EDNS: answers of this size are taken.
    out.extend([0, 0, 41]);
    out.extend((MOST_ANSWER as u16).to_be_bytes());
    out.extend([0; 6]);
    out
}

/// The id of a message, if it has one.
pub fn id(message: &[u8]) -> Option<u16> {
    message.first_chunk::<2>().map(|b| u16::from_be_bytes(*b))
}

struct Reader<'a> {
    whole: &'a [u8],
    at: usize,
}

const SHORT: BadAnswer = BadAnswer("ends early");

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> Result<&'a [u8], BadAnswer> {
        let end = self.at.checked_add(count).ok_or(SHORT)?;
        let bytes = self.whole.get(self.at..end).ok_or(SHORT)?;
        self.at = end;
        Ok(bytes)
    }

    fn u16(&mut self) -> Result<u16, BadAnswer> {
        self.take(2)?.try_into().map(u16::from_be_bytes).map_err(|_| SHORT)
    }

    fn u32(&mut self) -> Result<u32, BadAnswer> {
        self.take(4)?.try_into().map(u32::from_be_bytes).map_err(|_| SHORT)
    }

    /// A name, in small letters. A pointer must lead backwards, so that no chain of them is endless.
    fn name(&mut self) -> Result<String, BadAnswer> {
        let (mut name, mut jumps, mut after, mut least) = (String::new(), 0, None, self.at);
        loop {
            let size = self.take(1)?[0];
            match size {
                0 => break,
                1..=63 => {
                    let label = self.take(usize::from(size))?;
                    if name.len() + label.len() + 1 > MOST_NAME {
                        return Err(BadAnswer("a name that is too long"));
                    }
                    if !name.is_empty() {
                        name.push('.');
                    }
                    let text = std::str::from_utf8(label).map_err(|_| BadAnswer("a name that is no text"))?;
                    name.push_str(&text.to_ascii_lowercase());
                }
                0xc0.. => {
                    let to = usize::from(u16::from_be_bytes([size & 0x3f, self.take(1)?[0]]));
                    after.get_or_insert(self.at);
                    jumps += 1;
                    if to >= least || jumps > MOST_JUMPS {
                        return Err(BadAnswer("a compression pointer that leads nowhere"));
                    }
                    (self.at, least) = (to, to);
                }
                _ => return Err(BadAnswer("a label of an unknown form")),
            }
        }
        self.at = after.unwrap_or(self.at);
        Ok(name)
    }
}

#[derive(Default)]
struct Host {
    address: Option<IpAddr>,
    texts: BTreeMap<String, String>,
}

/// The service's records of an answer, as far as they were read.
#[derive(Default)]
struct Records {
    id: u16,
    serial: Option<u32>,
    targets: Vec<Target>,
    hosts: BTreeMap<String, Host>,
}

/// What an SRV record tells.
struct Target {
    name: String,
    priority: u16,
    port: u16,
}

impl Target {
    fn state(&self) -> State {
        if self.priority == 0 { State::Ready } else { State::Draining }
    }
}

/// The first label of a target, which is a worker's id.
fn id_of(target: &str) -> &str {
    target.split('.').next().unwrap_or_default()
}

/// Whether the service says that the answer does not hold all, so that it should be asked over TCP (RFC 7766).
pub fn is_cut_off(message: &[u8]) -> bool {
    message.get(2).is_some_and(|flags| flags & 0x82 == 0x82)
}

/// Reads an answer about `service`.
pub fn read(message: &[u8], service: &str) -> Result<Answer, BadAnswer> {
    let mut records = Records::default();
    read_records(message, service, &mut records)?;
    if is_cut_off(message) {
        return Err(BadAnswer("cut off"));
    }
    let Records { id, serial, targets, hosts } = records;
    let executors: Result<_, _> = targets.into_iter().map(|target| executor(target, &hosts)).collect();
    Ok(Answer { id, serial: serial.ok_or(BadAnswer("no serial"))?, executors: executors? })
}

/// The workers that an answer tells to drain, as far as it can be read: of one that is cut off or breaks a rule, those in
/// the records before that. That a worker is absent from it tells nothing.
pub fn draining(message: &[u8], service: &str) -> Vec<WorkerId> {
    let mut records = Records::default();
    let _ = read_records(message, service, &mut records);
    let drains = records.targets.iter().filter(|t| t.state() == State::Draining);
    drains.map(|t| id_of(&t.name).into()).filter(|id: &WorkerId| !id.is_empty()).collect()
}

fn read_records(message: &[u8], service: &str, records: &mut Records) -> Result<(), BadAnswer> {
    let mut r = Reader { whole: message, at: 0 };
    records.id = r.u16()?;
    let flags = r.u16()?;
    if flags & 0x8000 == 0 {
        return Err(BadAnswer("a query"));
    }
    if flags & 0x000f != 0 {
        return Err(BadAnswer("an error"));
    }
    let mut counts = [0; 4];
    for count in &mut counts {
        *count = usize::from(r.u16()?);
    }
    for _ in 0..counts[0] {
        r.name()?;
        r.take(4)?;
    }
    let announced = counts[1] + counts[2] + counts[3];
    if announced > MOST_RECORDS {
        return Err(BadAnswer("too many records"));
    }
    for _ in 0..announced {
        read_record(&mut r, service, records)?;
    }
    Ok(())
}

fn read_record(r: &mut Reader, service: &str, records: &mut Records) -> Result<(), BadAnswer> {
    let owner = r.name()?;
    let (kind, _class, _ttl, size) = (r.u16()?, r.u16()?, r.u32()?, usize::from(r.u16()?));
    let end = r.at + size;
    if end > r.whole.len() {
        return Err(SHORT);
    }
    match kind {
        SRV if owner == service => {
            let (priority, _weight, port) = (r.u16()?, r.u16()?, r.u16()?);
            let name = r.name()?;
            records.targets.push(Target { name, priority, port });
        }
        SOA => {
            r.name()?;
            r.name()?;
            records.serial = Some(r.u32()?);
        }
        A if size == 4 => {
            let octets = <[u8; 4]>::try_from(r.take(4)?).map_err(|_| SHORT)?;
            records.host(owner).address = Some(IpAddr::V4(Ipv4Addr::from(octets)));
        }
        AAAA if size == 16 => {
            let octets = <[u8; 16]>::try_from(r.take(16)?).map_err(|_| SHORT)?;
            records.host(owner).address = Some(IpAddr::V6(Ipv6Addr::from(octets)));
        }
        TXT => {
            let host = records.host(owner);
            while r.at < end {
                let size = usize::from(r.take(1)?[0]);
                if let Ok(text) = std::str::from_utf8(r.take(size)?)
                    && let Some((name, value)) = text.split_once('=')
                {
                    host.texts.insert(name.to_string(), value.to_string());
                }
            }
        }
        _ => r.at = end,
    }
    if r.at > end {
        return Err(BadAnswer("a record longer than it says"));
    }
    r.at = end;
    Ok(())
}

impl Records {
    fn host(&mut self, owner: String) -> &mut Host {
        self.hosts.entry(owner).or_default()
    }
}

fn executor(target: Target, hosts: &BTreeMap<String, Host>) -> Result<Executor, BadAnswer> {
    let host = hosts.get(&target.name).ok_or(BadAnswer("a target without records"))?;
    let address = host.address.ok_or(BadAnswer("a target without an address"))?;
    let zone = target.name.split('.').nth(1).unwrap_or_default();
    let text = |name: &str| host.texts.get(name).map_or("", String::as_str);
    Ok(Executor {
        id: id_of(&target.name).into(),
        address: SocketAddr::new(address, target.port),
        zone: zone.to_string(),
        kind: text("kind").to_string(),
        cell: text("cell").parse().unwrap_or(0),
        state: target.state(),
        started_ms: text("started").parse().unwrap_or(0),
    })
}

#[cfg(test)]
mod tests;
