//! Which sequence numbers of a session have come: a sliding window, as in IPsec (RFC 4303, 3.4.3).

/// Numbers that may come out of order: what goes by stream alone may wait behind much that goes by datagram.
pub(super) const WINDOW: u64 = 1_024;
const WINDOW_WORDS: usize = (WINDOW / 64) as usize;

/// The highest number so far, and a bit for each of the numbers below it that are within [`WINDOW`].
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplayWindow {
    pub(super) highest: u64,
    /// Bits by number modulo [`WINDOW`].
    seen: [u64; WINDOW_WORDS],
}

impl Default for ReplayWindow {
    fn default() -> ReplayWindow {
        ReplayWindow { highest: 0, seen: [0; WINDOW_WORDS] }
    }
}

impl ReplayWindow {
    /// Takes a number in; false if it has come before, or is too old to tell.
    pub fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            // Bits of numbers that were skipped are free again.
            let first_new = (self.highest + 1).max((sequence + 1).saturating_sub(WINDOW));
            for skipped in first_new..=sequence {
                self.set_seen(skipped, false);
            }
            self.highest = sequence;
        } else if self.highest - sequence >= WINDOW || self.is_seen(sequence) {
            return false;
        }
        self.set_seen(sequence, true);
        true
    }

    fn is_seen(&self, sequence: u64) -> bool {
        self.seen[word_of(sequence)] >> (sequence % 64) & 1 == 1
    }

    fn set_seen(&mut self, sequence: u64, seen: bool) {
        let word = &mut self.seen[word_of(sequence)];
        let bit = sequence % 64;
        *word = *word & !(1 << bit) | u64::from(seen) << bit;
    }
}

fn word_of(sequence: u64) -> usize {
    (sequence % WINDOW / 64) as usize
}
