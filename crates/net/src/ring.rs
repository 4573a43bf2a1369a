//! The ring buffer of one direction of a connection: bounded, allocated on first use, and freed when it is empty and large.

use std::collections::VecDeque;

/// Capacity above which an empty ring frees its memory, in bytes.
const MAX_IDLE_CAPACITY_BYTES: usize = 16 * 1024;

/// A bounded queue of bytes.
pub struct Ring {
    bytes: VecDeque<u8>,
    limit: usize,
}

impl Ring {
    /// Creates an empty ring for at most `limit` bytes, without allocating.
    pub fn new(limit: usize) -> Ring {
        Ring { bytes: VecDeque::new(), limit }
    }

    /// Returns the number of bytes held.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether the ring is empty.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the number of bytes that still fit.
    pub fn free_space(&self) -> usize {
        self.limit.saturating_sub(self.bytes.len())
    }

    /// Appends all of `data`, or nothing if it does not fit. Returns whether it was appended.
    #[must_use]
    pub fn push(&mut self, data: &[u8]) -> bool {
        if data.len() > self.free_space() {
            return false;
        }
        self.bytes.extend(data);
        true
    }

    /// Returns all bytes held, as one slice.
    pub fn contiguous(&mut self) -> &[u8] {
        self.bytes.make_contiguous()
    }

    /// Returns the first contiguous part of the bytes held.
    pub fn front(&self) -> &[u8] {
        self.bytes.as_slices().0
    }

    /// Removes `count` bytes from the back.
    pub fn truncate(&mut self, count: usize) {
        self.bytes.truncate(self.bytes.len().saturating_sub(count));
    }

    /// Removes `count` bytes starting at `at`.
    pub fn remove_range(&mut self, at: usize, count: usize) {
        let end = at.saturating_add(count).min(self.bytes.len());
        self.bytes.drain(at.min(end)..end);
    }

    /// Overwrites the bytes starting at `at` with `data`. Returns false, and writes nothing, if they extend beyond the end.
    #[must_use]
    pub fn overwrite(&mut self, at: usize, data: &[u8]) -> bool {
        let Some(end) = at.checked_add(data.len()).filter(|end| *end <= self.bytes.len()) else {
            return false;
        };
        for (byte, replacement) in self.bytes.range_mut(at..end).zip(data) {
            *byte = *replacement;
        }
        true
    }

    /// Removes `count` bytes from the front.
    pub fn consume(&mut self, count: usize) {
        self.bytes.drain(..count.min(self.bytes.len()));
        if self.bytes.is_empty() && self.bytes.capacity() > MAX_IDLE_CAPACITY_BYTES {
            self.bytes = VecDeque::new();
        }
    }
}

#[cfg(test)]
mod tests;
