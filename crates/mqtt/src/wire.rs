//! Values on the wire (MQTT 5.0, section 1.5): numbers, texts, binary data, variable byte integers.

use crate::reason::Violation;

/// The largest variable byte integer.
pub const MOST_VARIABLE: u32 = 268_435_455;

const SHORT: Violation = Violation::malformed("MQTT 1.5", "a packet that ends early");

/// Takes values off the front of a packet whose every length is checked.
#[derive(Clone)]
pub struct Reader<'a> {
    rest: &'a [u8],
}

impl<'a> Reader<'a> {
    /// A reader at the front.
    pub fn new(bytes: &'a [u8]) -> Reader<'a> {
        Reader { rest: bytes }
    }

    /// What has not been taken.
    pub fn rest(&self) -> &'a [u8] {
        self.rest
    }

    /// Whether nothing is left.
    pub fn is_empty(&self) -> bool {
        self.rest.is_empty()
    }

    /// The next bytes.
    pub fn take(&mut self, count: usize) -> Result<&'a [u8], Violation> {
        let (head, tail) = self.rest.split_at_checked(count).ok_or(SHORT)?;
        self.rest = tail;
        Ok(head)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], Violation> {
        self.take(N)?.try_into().map_err(|_| SHORT)
    }

    /// A byte.
    pub fn u8(&mut self) -> Result<u8, Violation> {
        Ok(self.array::<1>()?[0])
    }

    /// Two bytes (1.5.2).
    pub fn u16(&mut self) -> Result<u16, Violation> {
        Ok(u16::from_be_bytes(self.array()?))
    }

    /// Four bytes (1.5.3).
    pub fn u32(&mut self) -> Result<u32, Violation> {
        Ok(u32::from_be_bytes(self.array()?))
    }

    /// Binary data (1.5.6).
    pub fn binary(&mut self) -> Result<&'a [u8], Violation> {
        let count = self.u16()?;
        self.take(usize::from(count))
    }

    /// Text (1.5.4): UTF-8 without surrogates and without U+0000.
    pub fn text(&mut self) -> Result<&'a str, Violation> {
        let bytes = self.binary()?;
        let text = std::str::from_utf8(bytes)
            .map_err(|_| Violation::malformed("MQTT-1.5.4-1", "text that is not well-formed UTF-8"))?;
        if text.contains('\0') {
            return Err(Violation::malformed("MQTT-1.5.4-2", "text with a null character"));
        }
        Ok(text)
    }

    /// A variable byte integer (1.5.5).
    pub fn variable(&mut self) -> Result<u32, Violation> {
        let (value, used) = variable(self.rest)?.ok_or(SHORT)?;
        self.take(used)?;
        Ok(value)
    }
}

/// The variable byte integer at the front, and the bytes it takes, once it is whole.
pub fn variable(bytes: &[u8]) -> Result<Option<(u32, usize)>, Violation> {
    let mut value = 0;
    for (i, byte) in bytes.iter().take(4).enumerate() {
        value |= u32::from(byte & 0x7f) << (7 * i);
        if byte & 0x80 == 0 {
            if i > 0 && *byte == 0 {
                let what = "a variable byte integer with more bytes than it needs";
                return Err(Violation::malformed("MQTT-1.5.5-1", what));
            }
            return Ok(Some((value, i + 1)));
        }
    }
    if bytes.len() >= 4 {
        return Err(Violation::malformed("MQTT 1.5.5", "a variable byte integer of more than four bytes"));
    }
    Ok(None)
}

/// Appends a variable byte integer.
pub fn put_variable(out: &mut Vec<u8>, value: u32) {
    let mut left = value.min(MOST_VARIABLE);
    loop {
        let byte = (left & 0x7f) as u8;
        left >>= 7;
        out.push(if left > 0 { byte | 0x80 } else { byte });
        if left == 0 {
            return;
        }
    }
}

/// Appends binary data, or a text; what passes 65,535 bytes is cut off, which [`crate::Packet::encode`] never lets
/// come to pass.
pub fn put_binary(out: &mut Vec<u8>, bytes: &[u8]) {
    let bytes = &bytes[..bytes.len().min(usize::from(u16::MAX))];
    out.extend((bytes.len() as u16).to_be_bytes());
    out.extend(bytes);
}

#[cfg(test)]
mod tests;
