//! Takes things off the front of a message whose every length is checked.

use super::Malformed;

/// What is left of a message. Numbers are big-endian, as on all wires here.
pub struct Reader<'a> {
    bytes: &'a [u8],
}

const SHORT: Malformed = Malformed("a message that ends early");

impl<'a> Reader<'a> {
    /// A reader at the front of a message.
    pub fn new(bytes: &'a [u8]) -> Reader<'a> {
        Reader { bytes }
    }

    /// What has not been taken.
    pub fn rest(&self) -> &'a [u8] {
        self.bytes
    }

    /// The next bytes.
    pub fn take(&mut self, count: usize) -> Result<&'a [u8], Malformed> {
        let (head, tail) = self.bytes.split_at_checked(count).ok_or(SHORT)?;
        self.bytes = tail;
        Ok(head)
    }

    /// The next bytes, as many as the caller's type says.
    pub fn array<const N: usize>(&mut self) -> Result<[u8; N], Malformed> {
        self.take(N)?.try_into().map_err(|_| SHORT)
    }

    /// A byte.
    pub fn u8(&mut self) -> Result<u8, Malformed> {
        Ok(self.array::<1>()?[0])
    }

    /// Two bytes.
    pub fn u16(&mut self) -> Result<u16, Malformed> {
        Ok(u16::from_be_bytes(self.array()?))
    }

    /// Four bytes.
    pub fn u32(&mut self) -> Result<u32, Malformed> {
        Ok(u32::from_be_bytes(self.array()?))
    }

    /// So many bytes of text.
    pub fn text(&mut self, count: usize) -> Result<String, Malformed> {
        let text = std::str::from_utf8(self.take(count)?).map_err(|_| Malformed("text that is not UTF-8"))?;
        Ok(text.to_string())
    }
}
