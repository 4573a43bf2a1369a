//! The ring buffer of one direction of a connection: allocated on first use, bounded, given back when empty.

use std::collections::VecDeque;

/// An empty ring larger than this gives its memory back.
const KEPT: usize = 16 * 1024;

/// Bytes on their way in or out.
pub struct Ring {
    bytes: VecDeque<u8>,
    limit: usize,
}

impl Ring {
    /// An empty ring for at most `limit` bytes; allocates nothing.
    pub fn new(limit: usize) -> Ring {
        Ring { bytes: VecDeque::new(), limit }
    }

    /// The bytes held.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether it holds nothing.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The bytes that still fit.
    pub fn room(&self) -> usize {
        self.limit.saturating_sub(self.bytes.len())
    }

    /// Appends all of `data`, or nothing if it does not fit.
    #[must_use]
    pub fn push(&mut self, data: &[u8]) -> bool {
        if data.len() > self.room() {
            return false;
        }
        self.bytes.extend(data);
        true
    }

    /// What is held, in one piece.
    pub fn contiguous(&mut self) -> &[u8] {
        self.bytes.make_contiguous()
    }

    /// The first piece of what is held.
    pub fn front(&self) -> &[u8] {
        self.bytes.as_slices().0
    }

    /// Takes `count` bytes off the back.
    pub fn truncate(&mut self, count: usize) {
        self.bytes.truncate(self.bytes.len().saturating_sub(count));
    }

    /// Takes `count` bytes out, from `at` on.
    pub fn cut(&mut self, at: usize, count: usize) {
        let end = at.saturating_add(count).min(self.bytes.len());
        self.bytes.drain(at.min(end)..end);
    }

    /// Writes `data` over as many bytes that are held, from `at` on; false, and nothing is written, beyond the end.
    #[must_use]
    pub fn overwrite(&mut self, at: usize, data: &[u8]) -> bool {
        let Some(end) = at.checked_add(data.len()).filter(|end| *end <= self.bytes.len()) else {
            return false;
        };
        for (held, new) in self.bytes.range_mut(at..end).zip(data) {
            *held = *new;
        }
        true
    }

    /// Takes `count` bytes off the front.
    pub fn consume(&mut self, count: usize) {
        self.bytes.drain(..count.min(self.bytes.len()));
        if self.bytes.is_empty() && self.bytes.capacity() > KEPT {
            self.bytes = VecDeque::new();
        }
    }
}

#[cfg(test)]
mod tests;
