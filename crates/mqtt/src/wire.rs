//! Data representation (MQTT 5.0, section 1.5): integers, UTF-8 strings, binary data and variable byte integers, read
//! from received bytes with every length checked, and appended to an output buffer.

use crate::reason::Violation;

/// The largest variable byte integer.
pub const MOST_VARIABLE: u32 = 268_435_455;

const TRUNCATED: Violation = Violation::malformed("MQTT 1.5", "a truncated packet");

/// A cursor over the content of a packet; reading past the end is a [`Violation`].
#[derive(Clone)]
pub struct Reader<'a> {
    remaining: &'a [u8],
}

impl<'a> Reader<'a> {
    /// Returns a reader positioned at the first byte.
    pub fn new(bytes: &'a [u8]) -> Reader<'a> {
        Reader { remaining: bytes }
    }

    /// Returns the unread bytes.
    pub fn remaining(&self) -> &'a [u8] {
        self.remaining
    }

    /// Returns whether all bytes have been read.
    pub fn is_empty(&self) -> bool {
        self.remaining.is_empty()
    }

    /// Reads the next `count` bytes.
    pub fn take(&mut self, count: usize) -> Result<&'a [u8], Violation> {
        let (head, tail) = self.remaining.split_at_checked(count).ok_or(TRUNCATED)?;
        self.remaining = tail;
        Ok(head)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], Violation> {
        self.take(N)?.try_into().map_err(|_| TRUNCATED)
    }

    /// Reads one byte.
    pub fn u8(&mut self) -> Result<u8, Violation> {
        Ok(self.array::<1>()?[0])
    }

    /// Reads a two byte integer (1.5.2).
    pub fn u16(&mut self) -> Result<u16, Violation> {
        Ok(u16::from_be_bytes(self.array()?))
    }

    /// Reads a four byte integer (1.5.3).
    pub fn u32(&mut self) -> Result<u32, Violation> {
        Ok(u32::from_be_bytes(self.array()?))
    }

    /// Reads binary data (1.5.6).
    pub fn binary(&mut self) -> Result<&'a [u8], Violation> {
        let count = self.u16()?;
        self.take(usize::from(count))
    }

    /// Reads a UTF-8 encoded string (1.5.4), which holds no surrogates and no U+0000.
    pub fn string(&mut self) -> Result<&'a str, Violation> {
        let bytes = self.binary()?;
        let text = std::str::from_utf8(bytes)
            .map_err(|_| Violation::malformed("MQTT-1.5.4-1", "a string that is not well-formed UTF-8"))?;
        if text.contains('\0') {
            return Err(Violation::malformed("MQTT-1.5.4-2", "a string with a null character"));
        }
        Ok(text)
    }

    /// Reads a variable byte integer (1.5.5).
    pub fn variable_byte_integer(&mut self) -> Result<u32, Violation> {
        let (value, size) = decode_variable_byte_integer(self.remaining)?.ok_or(TRUNCATED)?;
        self.take(size)?;
        Ok(value)
    }
}

/// Decodes the variable byte integer at the start of `bytes` and returns it with its encoded size; `None` if more bytes
/// are needed.
pub fn decode_variable_byte_integer(bytes: &[u8]) -> Result<Option<(u32, usize)>, Violation> {
    let mut value = 0;
    for (index, byte) in bytes.iter().take(4).enumerate() {
        value |= u32::from(byte & 0x7f) << (7 * index);
        if byte & 0x80 == 0 {
            if index > 0 && *byte == 0 {
                let what = "a variable byte integer that is not minimally encoded";
                return Err(Violation::malformed("MQTT-1.5.5-1", what));
            }
            return Ok(Some((value, index + 1)));
        }
    }
    if bytes.len() >= 4 {
        return Err(Violation::malformed("MQTT 1.5.5", "a variable byte integer of more than four bytes"));
    }
    Ok(None)
}

/// Appends a variable byte integer; larger values are capped at [`MOST_VARIABLE`].
pub fn put_variable_byte_integer(out: &mut Vec<u8>, value: u32) {
    let mut remaining = value.min(MOST_VARIABLE);
    loop {
        let byte = (remaining & 0x7f) as u8;
        remaining >>= 7;
        out.push(if remaining > 0 { byte | 0x80 } else { byte });
        if remaining == 0 {
            return;
        }
    }
}

/// Appends binary data or a UTF-8 encoded string, truncated to 65,535 bytes. [`crate::Packet::encode`] returns an error
/// for longer values, so a truncated value is never sent.
pub fn put_binary(out: &mut Vec<u8>, bytes: &[u8]) {
    let bytes = &bytes[..bytes.len().min(usize::from(u16::MAX))];
    out.extend((bytes.len() as u16).to_be_bytes());
    out.extend(bytes);
}

#[cfg(test)]
mod tests;
