//! A connection's read buffer: it grows as needed and is compacted in place.

/// The least size of a buffer in use, to which one that was emptied shrinks.
const MIN_CAPACITY: usize = 2 * 1024;

/// Bytes that were read and not yet consumed.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    max_bytes: usize,
}

impl Buffer {
    /// An empty buffer that holds at most `most` bytes; it takes no memory yet.
    pub fn new(max_bytes: usize) -> Buffer {
        Buffer { bytes: Vec::new(), start: 0, end: 0, max_bytes }
    }

    /// The bytes that are there.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Takes `n` bytes off the front, or all where that is less.
    pub fn consume(&mut self, n: usize) {
        self.start = self.start.saturating_add(n).min(self.end);
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
            if self.bytes.len() > MIN_CAPACITY {
                self.bytes.truncate(MIN_CAPACITY);
                self.bytes.shrink_to_fit();
            }
        }
    }

    /// Room to read into, empty if the buffer may not grow any more. Unread bytes move to the front first, and only a
    /// buffer that is full to its last byte grows.
    pub fn spare_capacity(&mut self) -> &mut [u8] {
        if self.start > 0 {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
        }
        if self.end == self.bytes.len() {
            let size = (self.bytes.len() * 2).clamp(MIN_CAPACITY.min(self.max_bytes), self.max_bytes);
            self.bytes.resize(size, 0);
        }
        &mut self.bytes[self.end..]
    }

    /// Notes that `n` bytes were read into [`Buffer::spare_capacity`].
    pub fn advance(&mut self, n: usize) {
        self.end = (self.end + n).min(self.bytes.len());
    }

    /// Whether nothing more can be read before something is consumed.
    pub fn is_full(&self) -> bool {
        self.end - self.start >= self.max_bytes
    }

    /// Memory that it takes, in bytes.
    pub fn allocated_bytes(&self) -> usize {
        self.bytes.len()
    }

    #[cfg(test)]
    /// Adds bytes as if they had been read; `false` if there is no room for all of them.
    pub fn append(&mut self, mut bytes: &[u8]) -> bool {
        if self.end - self.start + bytes.len() > self.max_bytes {
            return false;
        }
        while !bytes.is_empty() {
            let space = self.spare_capacity();
            let n = space.len().min(bytes.len());
            space[..n].copy_from_slice(&bytes[..n]);
            bytes = &bytes[n..];
            self.advance(n);
        }
        true
    }
}

#[cfg(test)]
mod tests;
