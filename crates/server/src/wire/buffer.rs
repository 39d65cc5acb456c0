//! The one buffer of a connection: it grows as it needs and is compacted in place.

/// Smallest size to which a buffer grows, and back to which an empty one shrinks.
const MIN_CAPACITY: usize = 2 * 1024;

/// Bytes that were read and not yet used up.
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

    /// What is there.
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

    /// Room to read into: what is there moves to the front first, and only a buffer that is full to its
    /// last byte grows. Empty when it may not grow any more.
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

    /// Notes that `n` bytes were read into [`Buffer::space`].
    pub fn advance(&mut self, n: usize) {
        self.end = (self.end + n).min(self.bytes.len());
    }

    /// Whether nothing more can be read before something is consumed.
    pub fn is_full(&self) -> bool {
        self.end - self.start >= self.max_bytes
    }

    /// Memory that it takes.
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
mod tests {
    use super::*;

    #[test]
    fn grows_as_needed_up_to_its_bound() {
        let mut buffer = Buffer::new(5_000);
        assert_eq!(buffer.allocated_bytes(), 0);
        assert!(buffer.append(&[1; 1_500]));
        assert_eq!(buffer.allocated_bytes(), MIN_CAPACITY);
        assert!(buffer.append(&[2; 3_500]));
        assert_eq!(buffer.allocated_bytes(), 5_000);
        assert!(buffer.is_full() && buffer.spare_capacity().is_empty());
        assert!(!buffer.append(&[3]));
        assert_eq!(buffer.unread().iter().map(|&b| usize::from(b)).sum::<usize>(), 1_500 + 7_000);
    }

    #[test]
    fn what_is_left_moves_to_the_front_before_anything_grows() {
        let mut buffer = Buffer::new(1 << 20);
        for round in 0..1_000u32 {
            assert!(buffer.append(&round.to_be_bytes()));
            if round > 0 {
                assert_eq!(buffer.unread()[..4], (round - 1).to_be_bytes());
                buffer.consume(4);
            }
        }
        assert_eq!((buffer.allocated_bytes(), buffer.unread().len()), (MIN_CAPACITY, 4));
    }

    #[test]
    fn an_emptied_buffer_gives_its_memory_back() {
        let mut buffer = Buffer::new(1 << 20);
        assert!(buffer.append(&[0; 100_000]));
        buffer.consume(10);
        buffer.consume(usize::MAX);
        assert_eq!((buffer.unread().len(), buffer.allocated_bytes()), (0, MIN_CAPACITY));
    }
}
