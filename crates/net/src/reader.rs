//! A reader of binary messages that checks every length.

use super::Malformed;

/// The unread rest of a message. Numbers are big-endian, as in all protocols here.
pub struct Reader<'a> {
    bytes: &'a [u8],
}

const ENDS_EARLY: Malformed = Malformed("a message that ends early");

impl<'a> Reader<'a> {
    /// Creates a reader at the start of a message.
    pub fn new(bytes: &'a [u8]) -> Reader<'a> {
        Reader { bytes }
    }

    /// Returns the bytes that are not read yet.
    pub fn rest(&self) -> &'a [u8] {
        self.bytes
    }

    /// Reads `count` bytes.
    pub fn take(&mut self, count: usize) -> Result<&'a [u8], Malformed> {
        let (head, tail) = self.bytes.split_at_checked(count).ok_or(ENDS_EARLY)?;
        self.bytes = tail;
        Ok(head)
    }

    /// Reads an array of the length that the caller's type has.
    pub fn array<const N: usize>(&mut self) -> Result<[u8; N], Malformed> {
        self.take(N)?.try_into().map_err(|_| ENDS_EARLY)
    }

    /// Reads one byte.
    pub fn u8(&mut self) -> Result<u8, Malformed> {
        Ok(self.array::<1>()?[0])
    }

    /// Reads a two-byte number.
    pub fn u16(&mut self) -> Result<u16, Malformed> {
        Ok(u16::from_be_bytes(self.array()?))
    }

    /// Reads a four-byte number.
    pub fn u32(&mut self) -> Result<u32, Malformed> {
        Ok(u32::from_be_bytes(self.array()?))
    }

    /// Reads `count` bytes of UTF-8 text.
    pub fn text(&mut self, count: usize) -> Result<String, Malformed> {
        let text = std::str::from_utf8(self.take(count)?).map_err(|_| Malformed("text that is not UTF-8"))?;
        Ok(text.to_string())
    }
}
