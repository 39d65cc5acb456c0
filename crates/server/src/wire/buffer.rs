//! A connection's read buffer: it grows as needed and is compacted in place.

/// The size in bytes of the first allocation, and the size that an emptied buffer shrinks to.
const MIN_CAPACITY: usize = 2 * 1024;

/// Bytes that were read from a connection and not yet consumed.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    max_bytes: usize,
}

impl Buffer {
    /// Returns an empty buffer that holds at most `max_bytes`. It allocates nothing until it is read into.
    pub fn new(max_bytes: usize) -> Buffer {
        Buffer { bytes: Vec::new(), start: 0, end: 0, max_bytes }
    }

    /// The bytes that were read and not yet consumed.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Removes `n` bytes from the front, or all of them if there are fewer. An emptied buffer releases the
    /// memory beyond [`MIN_CAPACITY`].
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

    /// Returns the space to read into; it is empty if the buffer is full and may not grow. Unread bytes are
    /// first moved to the front, and the buffer grows only if that leaves no space.
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

    /// Records that `n` bytes were read into [`Buffer::spare_capacity`].
    pub fn advance(&mut self, n: usize) {
        self.end = (self.end + n).min(self.bytes.len());
    }

    /// Whether the buffer has reached its limit: nothing more can be read until something is consumed.
    pub fn is_full(&self) -> bool {
        self.end - self.start >= self.max_bytes
    }

    /// Memory allocated for the buffer, in bytes.
    #[cfg(test)]
    pub fn allocated_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// Adds bytes as if they had been read. Returns `false`, and adds none, if they don't all fit.
    #[cfg(test)]
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
