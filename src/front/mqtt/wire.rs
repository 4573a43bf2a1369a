//! MQTT 5 control packets, as a client writes and reads them.

use crate::net::{Malformed, Reader};

const CONNECT: u8 = 1;
const CONNACK: u8 = 2;
const PUBLISH: u8 = 3;
const PUBACK: u8 = 4;
const SUBSCRIBE: u8 = 8;
const SUBACK: u8 = 9;
const UNSUBSCRIBE: u8 = 10;
const UNSUBACK: u8 = 11;
const PINGREQ: u8 = 12;
const PINGRESP: u8 = 13;
const DISCONNECT: u8 = 14;

/// PUBACK reason: done.
pub const SUCCESS: u8 = 0x00;
/// PUBACK reason: the message can't be used.
pub const PAYLOAD_INVALID: u8 = 0x99;

/// A message published.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Publish {
    /// It may have been sent before.
    pub dup: bool,
    /// It was kept by the broker, or is to be kept.
    pub retain: bool,
    /// Quality of service.
    pub qos: u8,
    /// The packet's number; 0 at QoS 0.
    pub id: u16,
    /// The topic.
    pub topic: String,
    /// Where the answer goes.
    pub response_topic: Option<String>,
    /// Given back with the answer.
    pub correlation: Option<Vec<u8>>,
    /// How long the broker keeps it, in seconds.
    pub expiry: Option<u32>,
    /// User properties, in order.
    pub user: Vec<(String, String)>,
    /// The body.
    pub payload: Vec<u8>,
}

/// What a broker says at connect.
#[derive(Clone, Debug, PartialEq)]
pub struct Connack {
    /// It holds a session of ours.
    pub session: bool,
    /// 0 if it takes us.
    pub reason: u8,
    /// QoS 1 messages that it takes unacknowledged.
    pub receive_maximum: u16,
    /// The best quality of service it offers.
    pub maximum_qos: u8,
    /// It keeps retained messages.
    pub retains: bool,
    /// The largest packet that it takes.
    pub maximum_packet: Option<u32>,
    /// The keep-alive that it wants, in seconds.
    pub keep_alive: Option<u16>,
}

/// A packet from a broker.
#[derive(Clone, Debug, PartialEq)]
pub enum Packet {
    /// The answer to a connect.
    Connack(Connack),
    /// A message.
    Publish(Publish),
    /// A message of ours was taken, or not.
    Puback { id: u16, reason: u8 },
    /// The answer to a subscription.
    Suback { id: u16, reason: u8 },
    /// The answer to the end of a subscription.
    Unsuback { id: u16 },
    /// The answer to a ping.
    Pingresp,
    /// The broker closes.
    Disconnect { reason: u8 },
}

const SHORT: Malformed = Malformed("an MQTT packet that ends early");

/// How MQTT puts values on the wire.
trait Values<'a>: Sized {
    fn binary(&mut self) -> Result<&'a [u8], Malformed>;
    fn string(&mut self) -> Result<String, Malformed>;
    fn length(&mut self) -> Result<usize, Malformed>;
    /// Calls `take` with each property; those that it does not care for are skipped by their type.
    fn properties(
        &mut self,
        take: impl FnMut(u8, &mut Reader<'a>) -> Result<bool, Malformed>,
    ) -> Result<(), Malformed>;
}

impl<'a> Values<'a> for Reader<'a> {
    fn binary(&mut self) -> Result<&'a [u8], Malformed> {
        let size = self.u16()?;
        self.take(usize::from(size))
    }

    fn string(&mut self) -> Result<String, Malformed> {
        let size = self.u16()?;
        self.text(usize::from(size))
    }

    fn length(&mut self) -> Result<usize, Malformed> {
        let (value, used) = length(self.rest())?.ok_or(SHORT)?;
        self.take(used)?;
        Ok(value)
    }

    fn properties(
        &mut self,
        mut take: impl FnMut(u8, &mut Reader<'a>) -> Result<bool, Malformed>,
    ) -> Result<(), Malformed> {
        let size = self.length()?;
        let mut r = Reader::new(self.take(size)?);
        while !r.rest().is_empty() {
            let id = r.u8()?;
            if take(id, &mut r)? {
                continue;
            }
            match id {
                0x01 | 0x17 | 0x19 | 0x24 | 0x25 | 0x28 | 0x29 | 0x2a => r.take(1).map(drop)?,
                0x13 | 0x21 | 0x22 | 0x23 => r.take(2).map(drop)?,
                0x02 | 0x11 | 0x18 | 0x27 => r.take(4).map(drop)?,
                0x0b => r.length().map(drop)?,
                0x26 => {
                    r.binary()?;
                    r.binary()?;
                }
                0x03 | 0x08 | 0x09 | 0x12 | 0x15 | 0x16 | 0x1a | 0x1c | 0x1f => r.binary().map(drop)?,
                _ => return Err(Malformed("an unknown MQTT property")),
            }
        }
        Ok(())
    }
}

/// A variable byte integer and the bytes it takes, once it is whole.
fn length(bytes: &[u8]) -> Result<Option<(usize, usize)>, Malformed> {
    let mut value = 0;
    for (i, byte) in bytes.iter().take(4).enumerate() {
        value |= usize::from(byte & 0x7f) << (7 * i);
        if byte & 0x80 == 0 {
            return Ok(Some((value, i + 1)));
        }
    }
    if bytes.len() >= 4 { Err(Malformed("an MQTT length of more than four bytes")) } else { Ok(None) }
}

/// The size of the whole packet at the front, and where its content begins, once all of it is there.
pub fn frame(bytes: &[u8], most: usize) -> Result<Option<(usize, usize)>, Malformed> {
    let Some((size, used)) = length(bytes.get(1..).unwrap_or_default())? else { return Ok(None) };
    let whole = 1 + used + size;
    if whole > most {
        return Err(Malformed("an MQTT packet larger than was allowed"));
    }
    Ok((bytes.len() >= whole).then_some((whole, 1 + used)))
}

/// Reads a packet: its first byte, and its content.
pub fn read(head: u8, content: &[u8]) -> Result<Packet, Malformed> {
    let mut r = Reader::new(content);
    match head >> 4 {
        CONNACK => connack(&mut r),
        PUBLISH => publish(head, r),
        PUBACK => {
            let id = r.u16()?;
            Ok(Packet::Puback { id, reason: if r.rest().is_empty() { SUCCESS } else { r.u8()? } })
        }
        SUBACK => {
            let id = r.u16()?;
            r.properties(|_, _| Ok(false))?;
            Ok(Packet::Suback { id, reason: r.u8()? })
        }
        UNSUBACK => Ok(Packet::Unsuback { id: r.u16()? }),
        PINGRESP => Ok(Packet::Pingresp),
        DISCONNECT => Ok(Packet::Disconnect { reason: if content.is_empty() { SUCCESS } else { r.u8()? } }),
        _ => Err(Malformed("an MQTT packet that no client is sent")),
    }
}

fn connack(r: &mut Reader) -> Result<Packet, Malformed> {
    let (flags, reason) = (r.u8()?, r.u8()?);
    let mut c = Connack {
        session: flags & 1 == 1,
        reason,
        receive_maximum: u16::MAX,
        maximum_qos: 2,
        retains: true,
        maximum_packet: None,
        keep_alive: None,
    };
    r.properties(|id, r| {
        match id {
            0x21 => c.receive_maximum = r.u16()?.max(1),
            0x24 => c.maximum_qos = r.u8()?,
            0x25 => c.retains = r.u8()? == 1,
            0x27 => c.maximum_packet = Some(r.u32()?),
            0x13 => c.keep_alive = Some(r.u16()?),
            _ => return Ok(false),
        }
        Ok(true)
    })?;
    Ok(Packet::Connack(c))
}

fn publish(head: u8, mut r: Reader) -> Result<Packet, Malformed> {
    let qos = head >> 1 & 3;
    if qos == 3 {
        return Err(Malformed("an MQTT message of QoS 3"));
    }
    let mut p = Publish { dup: head & 8 != 0, retain: head & 1 != 0, qos, ..Publish::default() };
    p.topic = r.string()?;
    p.id = if qos > 0 { r.u16()? } else { 0 };
    if qos > 0 && p.id == 0 {
        return Err(Malformed("an MQTT message numbered 0"));
    }
    r.properties(|id, r| {
        match id {
            0x02 => p.expiry = Some(r.u32()?),
            0x08 => p.response_topic = Some(r.string()?),
            0x09 => p.correlation = Some(r.binary()?.to_vec()),
            0x26 => p.user.push((r.string()?, r.string()?)),
            0x23 => return Err(Malformed("an MQTT topic alias that was not allowed")),
            _ => return Ok(false),
        }
        Ok(true)
    })?;
    p.payload = r.rest().to_vec();
    Ok(Packet::Publish(p))
}

/// How a client introduces itself.
#[derive(Clone, Debug)]
pub struct Connect<'a> {
    /// Its id; the session hangs on it.
    pub client_id: &'a str,
    /// Seconds between its signs of life.
    pub keep_alive: u16,
    /// Seconds for which the broker keeps the session.
    pub session_expiry: u32,
    /// Unacknowledged messages that it takes.
    pub receive_maximum: u16,
    /// The largest packet that it takes.
    pub maximum_packet: u32,
    /// Name and password.
    pub login: Option<(&'a str, &'a str)>,
}

fn put_length(out: &mut Vec<u8>, mut value: usize) {
    loop {
        let byte = (value & 0x7f) as u8;
        value >>= 7;
        out.push(if value > 0 { byte | 0x80 } else { byte });
        if value == 0 {
            return;
        }
    }
}

fn put_binary(out: &mut Vec<u8>, bytes: &[u8]) {
    let bytes = &bytes[..bytes.len().min(usize::from(u16::MAX))];
    out.extend((bytes.len() as u16).to_be_bytes());
    out.extend(bytes);
}

fn put_properties(out: &mut Vec<u8>, properties: &[u8]) {
    put_length(out, properties.len());
    out.extend(properties);
}

fn packet(head: u8, content: &[u8]) -> Vec<u8> {
    let mut out = vec![head];
    put_length(&mut out, content.len());
    out.extend(content);
    out
}

/// A CONNECT that resumes the session, if there is one.
pub fn connect(c: &Connect) -> Vec<u8> {
    let mut out = b"\x00\x04MQTT\x05".to_vec();
    out.push(if c.login.is_some() { 0xc0 } else { 0 });
    out.extend(c.keep_alive.to_be_bytes());
    let mut properties = vec![0x11];
    properties.extend(c.session_expiry.to_be_bytes());
    properties.push(0x21);
    properties.extend(c.receive_maximum.to_be_bytes());
    properties.push(0x27);
    properties.extend(c.maximum_packet.to_be_bytes());
    put_properties(&mut out, &properties);
    put_binary(&mut out, c.client_id.as_bytes());
    if let Some((name, password)) = c.login {
        put_binary(&mut out, name.as_bytes());
        put_binary(&mut out, password.as_bytes());
    }
    packet(CONNECT << 4, &out)
}

/// A PUBLISH.
pub fn publish_packet(p: &Publish) -> Vec<u8> {
    let mut out = Vec::with_capacity(p.payload.len() + 128);
    put_binary(&mut out, p.topic.as_bytes());
    if p.qos > 0 {
        out.extend(p.id.to_be_bytes());
    }
    let mut properties = Vec::new();
    if let Some(expiry) = p.expiry {
        properties.push(0x02);
        properties.extend(expiry.to_be_bytes());
    }
    if let Some(topic) = &p.response_topic {
        properties.push(0x08);
        put_binary(&mut properties, topic.as_bytes());
    }
    if let Some(correlation) = &p.correlation {
        properties.push(0x09);
        put_binary(&mut properties, correlation);
    }
    for (name, value) in &p.user {
        properties.push(0x26);
        put_binary(&mut properties, name.as_bytes());
        put_binary(&mut properties, value.as_bytes());
    }
    put_properties(&mut out, &properties);
    out.extend(&p.payload);
    packet(PUBLISH << 4 | u8::from(p.dup) << 3 | p.qos << 1 | u8::from(p.retain), &out)
}

/// A PUBACK.
pub fn puback(id: u16, reason: u8) -> Vec<u8> {
    let [a, b] = id.to_be_bytes();
    if reason == SUCCESS { packet(PUBACK << 4, &[a, b]) } else { packet(PUBACK << 4, &[a, b, reason, 0]) }
}

/// A SUBSCRIBE to one filter; what is retained is sent anew and marked as such.
pub fn subscribe(id: u16, filter: &str, qos: u8) -> Vec<u8> {
    // Retain as published: a message that its sender wants kept is marked also where it comes live.
    filter_packet(SUBSCRIBE, id, filter, &[qos | 0x08])
}

/// An UNSUBSCRIBE from one filter.
pub fn unsubscribe(id: u16, filter: &str) -> Vec<u8> {
    filter_packet(UNSUBSCRIBE, id, filter, &[])
}

fn filter_packet(kind: u8, id: u16, filter: &str, options: &[u8]) -> Vec<u8> {
    let mut out = id.to_be_bytes().to_vec();
    out.push(0);
    put_binary(&mut out, filter.as_bytes());
    out.extend(options);
    packet(kind << 4 | 2, &out)
}

/// A PINGREQ.
pub fn pingreq() -> Vec<u8> {
    packet(PINGREQ << 4, &[])
}

/// A DISCONNECT with the normal reason: the session stays.
pub fn disconnect() -> Vec<u8> {
    packet(DISCONNECT << 4, &[])
}

#[cfg(test)]
mod tests {
    use super::*;

    fn message() -> Publish {
        Publish {
            dup: true,
            retain: true,
            qos: 1,
            id: 7,
            topic: "t/1".into(),
            response_topic: Some("r/1".into()),
            correlation: Some(vec![0, 1]),
            expiry: Some(60),
            user: vec![("op".into(), "call".into())],
            payload: b"\x00body".to_vec(),
        }
    }

    fn reread(packet: &[u8]) -> Result<Packet, Malformed> {
        let (whole, start) = frame(packet, 1 << 16)?.ok_or(SHORT)?;
        read(packet[0], &packet[start..whole])
    }

    #[test]
    fn a_message_is_read_as_it_was_written() {
        assert_eq!(reread(&publish_packet(&message())), Ok(Packet::Publish(message())));
        assert_eq!(
            reread(&puback(7, PAYLOAD_INVALID)),
            Ok(Packet::Puback { id: 7, reason: PAYLOAD_INVALID })
        );
    }

    #[test]
    fn no_cut_or_bent_packet_panics_and_large_ones_are_refused() {
        let whole = publish_packet(&message());
        for at in 0..whole.len() {
            assert_eq!(frame(&whole[..at], 1 << 16), Ok(None));
            for value in 0..=255 {
                let mut bent = whole.clone();
                bent[at] = value;
                let _ = reread(&bent);
            }
        }
        assert!(frame(&whole, whole.len() - 1).is_err());
        assert!(frame(&[0x30, 0xff, 0xff, 0xff, 0xff], 1 << 16).is_err());
    }
}
