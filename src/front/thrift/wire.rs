//! Framed Thrift, strict binary protocol: decodes calls and encodes replies, without I/O. The frame size and the nesting
//! depth of skipped values are bounded.

use crate::front::Fields;
use crate::net::{Malformed, Reader};

/// The largest accepted frame: a body of 16 KiB and its fields, with a margin.
pub const MAX_FRAME_BYTES: usize = 32 * 1024;
/// The deepest accepted nesting of skipped values.
const MAX_NESTING: usize = 16;

const STOP: u8 = 0;
const BOOL: u8 = 2;
const I32: u8 = 8;
const STRING: u8 = 11;
const STRUCT: u8 = 12;
const MAP: u8 = 13;

const CALL: u8 = 1;
const REPLY: u8 = 2;
const EXCEPTION: u8 = 3;
const ONEWAY: u8 = 4;

/// Application exception type of the Thrift specification: the method does not exist.
pub const UNKNOWN_METHOD: i32 = 1;
/// Application exception type: the sequence number is invalid.
pub const BAD_SEQUENCE_ID: i32 = 4;
/// Application exception type: a failure in the server.
pub const INTERNAL_ERROR: i32 = 6;
/// Application exception type: the arguments are invalid.
pub const PROTOCOL_ERROR: i32 = 7;

/// A message from a client.
#[derive(Debug, PartialEq)]
pub enum Call {
    /// A request.
    Serve {
        /// Its sequence number.
        seq: i32,
        /// Its fields.
        fields: Fields,
        /// Its body.
        body: Vec<u8>,
    },
    /// The client no longer waits for a request.
    Forget {
        /// The sequence number of that request.
        seq: i32,
    },
    /// A health check.
    IsWell {
        /// Its sequence number.
        seq: i32,
    },
    /// A call of a method that this service does not have.
    Unknown {
        /// Its sequence number.
        seq: i32,
        /// Its name.
        method: String,
    },
}

/// Decoding of Thrift's values.
trait Values<'a>: Sized {
    fn i32(&mut self) -> Result<i32, Malformed>;
    fn size(&mut self) -> Result<usize, Malformed>;
    fn binary(&mut self) -> Result<&'a [u8], Malformed>;
    fn string(&mut self) -> Result<String, Malformed>;
    fn strings(&mut self) -> Result<Fields, Malformed>;
    /// Calls `take` with the type and number of each field.
    fn fields(
        &mut self,
        take: impl FnMut(&mut Self, u8, i16) -> Result<(), Malformed>,
    ) -> Result<(), Malformed>;
    fn skip(&mut self, kind: u8, depth: usize) -> Result<(), Malformed>;
}

impl<'a> Values<'a> for Reader<'a> {
    fn i32(&mut self) -> Result<i32, Malformed> {
        Ok(i32::from_be_bytes(self.array()?))
    }

    fn size(&mut self) -> Result<usize, Malformed> {
        usize::try_from(self.i32()?).map_err(|_| Malformed("a negative length"))
    }

    fn binary(&mut self) -> Result<&'a [u8], Malformed> {
        let size = self.size()?;
        self.take(size)
    }

    fn string(&mut self) -> Result<String, Malformed> {
        let size = self.size()?;
        self.text(size)
    }

    fn strings(&mut self) -> Result<Fields, Malformed> {
        let (key, value, size) = (self.u8()?, self.u8()?, self.size()?);
        if size > 0 && (key, value) != (STRING, STRING) {
            return Err(Malformed("a map whose keys or values are not strings"));
        }
        // Nothing is preallocated by the announced size: a peer could announce any size without sending the data.
        let mut fields = Fields::new();
        for _ in 0..size {
            let key = self.string()?;
            fields.insert(key, self.string()?);
        }
        Ok(fields)
    }

    fn fields(
        &mut self,
        mut take: impl FnMut(&mut Self, u8, i16) -> Result<(), Malformed>,
    ) -> Result<(), Malformed> {
        loop {
            let kind = self.u8()?;
            if kind == STOP {
                return Ok(());
            }
            let number = i16::from_be_bytes(self.array()?);
            take(self, kind, number)?;
        }
    }

    fn skip(&mut self, kind: u8, depth: usize) -> Result<(), Malformed> {
        if depth > MAX_NESTING {
            return Err(Malformed("values nested too deeply"));
        }
        match kind {
            BOOL | 3 => self.take(1).map(drop),
            6 => self.take(2).map(drop),
            I32 => self.take(4).map(drop),
            4 | 10 => self.take(8).map(drop),
            STRING => self.binary().map(drop),
            STRUCT => self.fields(|r, kind, _| r.skip(kind, depth + 1)),
            MAP => {
                let (key, value, size) = (self.u8()?, self.u8()?, self.size()?);
                (0..size).try_for_each(|_| {
                    self.skip(key, depth + 1)?;
                    self.skip(value, depth + 1)
                })
            }
            14 | 15 => {
                let (kind, size) = (self.u8()?, self.size()?);
                (0..size).try_for_each(|_| self.skip(kind, depth + 1))
            }
            _ => Err(Malformed("a value of an unknown type")),
        }
    }
}

/// Returns the size of the frame at the start of `bytes`, including its four-byte length prefix, once it is complete.
pub fn frame_size(bytes: &[u8]) -> Result<Option<usize>, Malformed> {
    let Some(head) = bytes.first_chunk::<4>() else { return Ok(None) };
    let size = u32::from_be_bytes(*head) as usize;
    if size > MAX_FRAME_BYTES {
        return Err(Malformed("a frame larger than allowed"));
    }
    Ok((bytes.len() >= 4 + size).then_some(4 + size))
}

/// Decodes the message of a frame, given without its length prefix.
pub fn read_call(message: &[u8]) -> Result<Call, Malformed> {
    let mut r = Reader::new(message);
    let head = r.i32()? as u32;
    if head >> 16 != 0x8001 {
        return Err(Malformed("not the strict binary protocol"));
    }
    let kind = head as u8;
    if kind != CALL && kind != ONEWAY {
        return Err(Malformed("neither a call nor a oneway message"));
    }
    let method = r.string()?;
    let seq = r.i32()?;
    let (mut fields, mut body, mut target) = (Fields::new(), Vec::new(), None);
    let serve = method == "serve";
    r.fields(|r, kind, number| {
        match (kind, number) {
            (MAP, 1) if serve => fields = r.strings()?,
            (STRING, 2) if serve => body = r.binary()?.to_vec(),
            (I32, 1) if method == "forget" => target = Some(r.i32()?),
            _ => r.skip(kind, 0)?,
        }
        Ok(())
    })?;
    match method.as_str() {
        "serve" => Ok(Call::Serve { seq, fields, body }),
        "forget" => Ok(Call::Forget { seq: target.ok_or(Malformed("a 'forget' without its argument"))? }),
        "isWell" => Ok(Call::IsWell { seq }),
        _ => Ok(Call::Unknown { seq, method }),
    }
}

fn put_size(out: &mut Vec<u8>, size: usize) {
    out.extend((size as u32).to_be_bytes());
}

fn put_bytes(out: &mut Vec<u8>, bytes: &[u8]) {
    put_size(out, bytes.len());
    out.extend(bytes);
}

fn put_field(out: &mut Vec<u8>, kind: u8, number: i16) {
    out.push(kind);
    out.extend(number.to_be_bytes());
}

fn put_strings(out: &mut Vec<u8>, fields: &[(&str, &str)]) {
    out.extend([STRING, STRING]);
    put_size(out, fields.len());
    for (name, value) in fields {
        put_bytes(out, name.as_bytes());
        put_bytes(out, value.as_bytes());
    }
}

fn message(kind: u8, method: &str, seq: i32, content: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut out = vec![0; 4];
    out.extend((0x8001_0000 | u32::from(kind)).to_be_bytes());
    put_bytes(&mut out, method.as_bytes());
    out.extend(seq.to_be_bytes());
    content(&mut out);
    let size = (out.len() - 4) as u32;
    out[..4].copy_from_slice(&size.to_be_bytes());
    out
}

/// Encodes a reply with an `Answer`.
pub fn answer(method: &str, seq: i32, body: &[u8], healthy: bool) -> Vec<u8> {
    message(REPLY, method, seq, |out| {
        put_field(out, STRUCT, 0);
        put_field(out, STRING, 1);
        put_bytes(out, body);
        put_field(out, MAP, 2);
        put_strings(out, &[]);
        put_field(out, BOOL, 3);
        out.extend([u8::from(healthy), STOP, STOP]);
    })
}

fn declared_exception(seq: i32, number: i16, fields: &[(&str, &str)]) -> Vec<u8> {
    message(REPLY, "serve", seq, |out| {
        put_field(out, STRUCT, number);
        put_field(out, MAP, 1);
        put_strings(out, fields);
        out.extend([STOP, STOP]);
    })
}

/// Encodes a reply with `Trylater`; `pushback` is in milliseconds.
pub fn refused(seq: i32, pushback: Option<u64>) -> Vec<u8> {
    match pushback {
        Some(ms) => declared_exception(seq, 1, &[("pushback", &ms.to_string())]),
        None => declared_exception(seq, 1, &[]),
    }
}

/// Encodes a reply with `Aborted`.
pub fn failed(seq: i32, why: &str) -> Vec<u8> {
    declared_exception(seq, 2, &[("why", why)])
}

/// Encodes an application exception.
pub fn exception(method: &str, seq: i32, number: i32, text: &str) -> Vec<u8> {
    message(EXCEPTION, method, seq, |out| {
        put_field(out, STRING, 1);
        put_bytes(out, text.as_bytes());
        put_field(out, I32, 2);
        out.extend(number.to_be_bytes());
        out.push(STOP);
    })
}

/// Encodes a health check, as a client sends it.
pub fn ask_well() -> Vec<u8> {
    message(CALL, "isWell", 1, |out| {
        put_field(out, BOOL, 1);
        out.extend([1, STOP]);
    })
}

/// Decodes the answer to a health check at the start of `bytes`: the size of its frame, and whether the server is healthy.
pub fn read_well(bytes: &[u8]) -> Result<Option<(usize, bool)>, Malformed> {
    let Some(size) = frame_size(bytes)? else { return Ok(None) };
    let mut r = Reader::new(&bytes[4..size]);
    let head = r.i32()? as u32;
    r.string()?;
    r.i32()?;
    let mut healthy = false;
    if head as u8 == REPLY {
        r.fields(|r, kind, number| match (kind, number) {
            (STRUCT, 0) => r.fields(|r, kind, number| match (kind, number) {
                (BOOL, 3) => r.u8().map(|b| healthy = b == 1),
                _ => r.skip(kind, 0),
            }),
            _ => r.skip(kind, 0),
        })?;
    }
    Ok(Some((size, healthy)))
}

#[cfg(test)]
mod tests;
