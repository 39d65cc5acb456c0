//! The sequence numbers of a session that have been received, as a sliding window like that of IPsec (RFC
//! 4303, 3.4.3).

/// The number of sequence numbers that may arrive out of order. Messages sent only over a stream may arrive
/// after many later datagrams.
pub(super) const WINDOW: u64 = 1_024;
/// The length of the window's bit set, in 64-bit words.
const WINDOW_WORDS: usize = (WINDOW / 64) as usize;

/// The highest number received so far, and a bit for each of the [`WINDOW`] numbers up to it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplayWindow {
    pub(super) highest: u64,
    /// A bit for each number, indexed by the number modulo [`WINDOW`].
    seen: [u64; WINDOW_WORDS],
}

impl Default for ReplayWindow {
    fn default() -> ReplayWindow {
        ReplayWindow { highest: 0, seen: [0; WINDOW_WORDS] }
    }
}

impl ReplayWindow {
    /// Records a number. Returns false if it has been received before or is too old to be in the window.
    pub fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            // The skipped numbers reuse the bits of numbers that have left the window.
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
