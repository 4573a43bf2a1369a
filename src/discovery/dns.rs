//! DNS messages (RFC 1035): encodes the SRV query and parses its answers.
//!
//! Input is untrusted: every length, compression pointer and record count is checked against a bound.

use super::{Executor, ExecutorState};
use crate::api::WorkerId;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// Limit of an answer, in bytes: the most that a datagram, and a message over TCP, can hold (RFC 1035, 4.2).
pub const MAX_MESSAGE_BYTES: usize = 65_535;
/// Limit of compression pointers followed in one name.
const MAX_POINTER_JUMPS: usize = 32;
/// Limit of a name, in bytes (RFC 1035, 2.3.4).
const MAX_NAME_BYTES: usize = 255;
/// The smallest record, in bytes: a root name, type, class, time to live and a length of 0.
const MIN_RECORD_BYTES: usize = 11;
/// Limit of records in an answer: as many as the largest can hold.
const MAX_RECORDS: usize = MAX_MESSAGE_BYTES / MIN_RECORD_BYTES;

/// The flags QR and TC in the third byte of a message.
const TRUNCATED_RESPONSE: u8 = 0x82;

const TYPE_A: u16 = 1;
const TYPE_SOA: u16 = 6;
const TYPE_TXT: u16 = 16;
const TYPE_AAAA: u16 = 28;
const TYPE_SRV: u16 = 33;

/// An answer that could not be parsed; says why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidAnswer(pub &'static str);

/// A parsed answer.
#[derive(Debug, PartialEq)]
pub struct Answer {
    /// The message id, which is that of the query.
    pub id: u16,
    /// The number of the last event.
    pub serial: u32,
    /// The complete list.
    pub executors: Vec<Executor>,
}

/// Encodes a query for the SRV records of a service.
pub fn encode_query(id: u16, name: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(64);
    // Header: the id, no recursion desired, one question, one additional record.
    for word in [id, 0, 1, 0, 0, 1] {
        out.extend(word.to_be_bytes());
    }
    for label in name.split('.') {
        out.push(label.len().min(63) as u8);
        out.extend(label.bytes().take(63));
    }
    out.push(0);
    out.extend(TYPE_SRV.to_be_bytes());
    out.extend(1u16.to_be_bytes());
    // The EDNS option record announces the largest answer accepted.
    out.extend([0, 0, 41]);
    out.extend((MAX_MESSAGE_BYTES as u16).to_be_bytes());
    out.extend([0; 6]);
    out
}

/// Returns the id of a message, or `None` if it is too short for one.
pub fn message_id(message: &[u8]) -> Option<u16> {
    message.first_chunk::<2>().map(|b| u16::from_be_bytes(*b))
}

/// A cursor over a message.
struct Reader<'a> {
    message: &'a [u8],
    position: usize,
}

const ENDS_EARLY: InvalidAnswer = InvalidAnswer("ends early");

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> Result<&'a [u8], InvalidAnswer> {
        let end = self.position.checked_add(count).ok_or(ENDS_EARLY)?;
        let bytes = self.message.get(self.position..end).ok_or(ENDS_EARLY)?;
        self.position = end;
        Ok(bytes)
    }

    fn u16(&mut self) -> Result<u16, InvalidAnswer> {
        self.take(2)?.try_into().map(u16::from_be_bytes).map_err(|_| ENDS_EARLY)
    }

    fn u32(&mut self) -> Result<u32, InvalidAnswer> {
        self.take(4)?.try_into().map(u32::from_be_bytes).map_err(|_| ENDS_EARLY)
    }

    /// Reads a name and returns it in lower case. A compression pointer must point before the start of the labels that it
    /// ends, so that no chain of pointers is endless.
    fn name(&mut self) -> Result<String, InvalidAnswer> {
        let (mut name, mut jumps, mut resume_at, mut lowest) = (String::new(), 0, None, self.position);
        loop {
            let size = self.take(1)?[0];
            match size {
                0 => break,
                1..=63 => {
                    let label = self.take(usize::from(size))?;
                    if name.len() + label.len() + 1 > MAX_NAME_BYTES {
                        return Err(InvalidAnswer("a name that is too long"));
                    }
                    if !name.is_empty() {
                        name.push('.');
                    }
                    let text =
                        std::str::from_utf8(label).map_err(|_| InvalidAnswer("a name that is no text"))?;
                    name.push_str(&text.to_ascii_lowercase());
                }
                0xc0.. => {
                    let to = usize::from(u16::from_be_bytes([size & 0x3f, self.take(1)?[0]]));
                    resume_at.get_or_insert(self.position);
                    jumps += 1;
                    if to >= lowest || jumps > MAX_POINTER_JUMPS {
                        return Err(InvalidAnswer("a compression pointer that leads nowhere"));
                    }
                    (self.position, lowest) = (to, to);
                }
                _ => return Err(InvalidAnswer("a label of an unknown form")),
            }
        }
        self.position = resume_at.unwrap_or(self.position);
        Ok(name)
    }
}

/// The records of one host name.
#[derive(Default)]
struct Host {
    address: Option<IpAddr>,
    texts: BTreeMap<String, String>,
}

impl Host {
    /// Returns when the worker's process started, in Unix milliseconds; 0 for long ago.
    fn started_ms(&self) -> u64 {
        self.texts.get("started").and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// The records of an answer, as far as it was parsed.
#[derive(Default)]
struct Records {
    id: u16,
    serial: Option<u32>,
    targets: Vec<Target>,
    hosts: BTreeMap<String, Host>,
}

/// The data of an SRV record.
struct Target {
    name: String,
    priority: u16,
    weight: u16,
    port: u16,
}

impl Target {
    fn state(&self) -> ExecutorState {
        if self.priority == 0 { ExecutorState::Ready } else { ExecutorState::Draining }
    }
}

/// Returns the first label of a target, which is the worker's id.
fn worker_id(target: &str) -> &str {
    target.split('.').next().unwrap_or_default()
}

/// Returns whether the message is a response with the truncation flag set, so that the query should be repeated over TCP
/// (RFC 7766).
pub fn is_truncated(message: &[u8]) -> bool {
    message.get(2).is_some_and(|flags| flags & TRUNCATED_RESPONSE == TRUNCATED_RESPONSE)
}

/// Parses a complete answer about `service`.
pub fn parse_answer(message: &[u8], service: &str) -> Result<Answer, InvalidAnswer> {
    let mut records = Records::default();
    parse_records(message, service, &mut records)?;
    if is_truncated(message) {
        return Err(InvalidAnswer("cut off"));
    }
    let Records { id, serial, targets, hosts } = records;
    let executors: Result<_, _> = targets.into_iter().map(|target| to_executor(target, &hosts)).collect();
    Ok(Answer { id, serial: serial.ok_or(InvalidAnswer("no serial"))?, executors: executors? })
}

/// What a truncated or malformed answer shows of workers in the records before the fault. The absence of a worker from it means
/// nothing.
#[derive(Debug, Default, PartialEq)]
pub struct PartialAnswer {
    /// Workers listed as draining.
    pub draining: Vec<WorkerId>,
    /// Starts of workers, in Unix milliseconds.
    pub starts: Vec<(WorkerId, u64)>,
}

/// Parses an answer as far as possible.
pub fn parse_partial(message: &[u8], service: &str) -> PartialAnswer {
    let mut records = Records::default();
    let _ = parse_records(message, service, &mut records);
    let named = records.targets.iter().filter(|target| !worker_id(&target.name).is_empty());
    let mut partial = PartialAnswer::default();
    for target in named {
        let id: WorkerId = worker_id(&target.name).into();
        let started_ms = records.hosts.get(&target.name).map_or(0, Host::started_ms);
        if started_ms > 0 {
            partial.starts.push((id.clone(), started_ms));
        }
        if target.state() == ExecutorState::Draining {
            partial.draining.push(id);
        }
    }
    partial
}

/// Parses the records of an answer into `records`, up to the first fault.
fn parse_records(message: &[u8], service: &str, records: &mut Records) -> Result<(), InvalidAnswer> {
    let mut reader = Reader { message, position: 0 };
    records.id = reader.u16()?;
    let flags = reader.u16()?;
    if flags & 0x8000 == 0 {
        return Err(InvalidAnswer("a query"));
    }
    if flags & 0x000f != 0 {
        return Err(InvalidAnswer("an error"));
    }
    let mut counts = [0; 4];
    for count in &mut counts {
        *count = usize::from(reader.u16()?);
    }
    for _ in 0..counts[0] {
        reader.name()?;
        reader.take(4)?;
    }
    let record_count = counts[1] + counts[2] + counts[3];
    if record_count > MAX_RECORDS {
        return Err(InvalidAnswer("too many records"));
    }
    for _ in 0..record_count {
        parse_record(&mut reader, service, records)?;
    }
    Ok(())
}

fn parse_record(reader: &mut Reader, service: &str, records: &mut Records) -> Result<(), InvalidAnswer> {
    let owner = reader.name()?;
    let (record_type, _class, _ttl, size) =
        (reader.u16()?, reader.u16()?, reader.u32()?, usize::from(reader.u16()?));
    let end = reader.position + size;
    if end > reader.message.len() {
        return Err(ENDS_EARLY);
    }
    match record_type {
        TYPE_SRV if owner == service => {
            let (priority, weight, port) = (reader.u16()?, reader.u16()?, reader.u16()?);
            let name = reader.name()?;
            records.targets.push(Target { name, priority, weight, port });
        }
        TYPE_SOA => {
            reader.name()?;
            reader.name()?;
            records.serial = Some(reader.u32()?);
        }
        TYPE_A if size == 4 => {
            let octets = <[u8; 4]>::try_from(reader.take(4)?).map_err(|_| ENDS_EARLY)?;
            records.host(owner).address = Some(IpAddr::V4(Ipv4Addr::from(octets)));
        }
        TYPE_AAAA if size == 16 => {
            let octets = <[u8; 16]>::try_from(reader.take(16)?).map_err(|_| ENDS_EARLY)?;
            records.host(owner).address = Some(IpAddr::V6(Ipv6Addr::from(octets)));
        }
        TYPE_TXT => {
            let host = records.host(owner);
            while reader.position < end {
                let size = usize::from(reader.take(1)?[0]);
                if let Ok(text) = std::str::from_utf8(reader.take(size)?)
                    && let Some((name, value)) = text.split_once('=')
                {
                    host.texts.insert(name.to_string(), value.to_string());
                }
            }
        }
        _ => reader.position = end,
    }
    if reader.position > end {
        return Err(InvalidAnswer("a record longer than it says"));
    }
    reader.position = end;
    Ok(())
}

impl Records {
    /// Returns the records of a host, adding an empty entry for a new one.
    fn host(&mut self, owner: String) -> &mut Host {
        self.hosts.entry(owner).or_default()
    }
}

/// Combines an SRV target with the address and text records of its host.
fn to_executor(target: Target, hosts: &BTreeMap<String, Host>) -> Result<Executor, InvalidAnswer> {
    let host = hosts.get(&target.name).ok_or(InvalidAnswer("a target without records"))?;
    let address = host.address.ok_or(InvalidAnswer("a target without an address"))?;
    let zone = target.name.split('.').nth(1).unwrap_or_default();
    let text = |name: &str| host.texts.get(name).map_or("", String::as_str);
    Ok(Executor {
        id: worker_id(&target.name).into(),
        address: SocketAddr::new(address, target.port),
        zone: zone.to_string(),
        kind: text("kind").to_string(),
        cell: text("cell").parse().unwrap_or(0),
        state: target.state(),
        started_ms: host.started_ms(),
        weight: u32::from(target.weight),
    })
}

#[cfg(test)]
mod tests;
