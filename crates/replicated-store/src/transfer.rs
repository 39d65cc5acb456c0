//! Snapshots in pieces: asked for by the one that needs them, so that its pace bounds the traffic.

use std::collections::{BTreeMap, BTreeSet};

use umberloom_membership::MemberName;

use crate::entry::{digest, Digest};
use crate::log::{Manifest, PIECE};
use crate::Micros;

/// Pieces that may be under way at once.
const WINDOW: usize = 4;
/// A piece that has not come by then is asked for again, from another member if there is one.
const AGAIN: Micros = 500_000;
/// Without a piece for so long it is given up: whoever offered it has another by then.
const STUCK: Micros = 6 * AGAIN;
/// The largest snapshot.
pub const LONGEST: u64 = 256 << 20;

/// A snapshot that is coming.
#[derive(Debug)]
pub struct Transfer {
    manifest: Manifest,
    pieces: BTreeMap<u32, Vec<u8>>,
    asked: BTreeMap<u32, (Micros, MemberName)>,
    /// Bytes a second, and when the next piece may be asked for.
    rate: u64,
    next: Micros,
    began: Micros,
    /// When a piece last came.
    came: Micros,
    /// Sources that sent what does not fit.
    bad: BTreeSet<MemberName>,
}

impl Transfer {
    /// Begins; pieces that had come before a restart count.
    pub fn new(
        now: Micros,
        manifest: Manifest,
        rate: u64,
        had: Vec<(Digest, u32, Vec<u8>)>,
    ) -> Option<Transfer> {
        if manifest.length == 0 || manifest.length > LONGEST {
            return None;
        }
        let mut transfer = Transfer {
            manifest,
            pieces: BTreeMap::new(),
            asked: BTreeMap::new(),
            rate: rate.max(PIECE as u64),
            next: now,
            began: now,
            came: now,
            bad: BTreeSet::new(),
        };
        for (of, number, bytes) in had {
            transfer.take(&of, number, bytes);
        }
        Some(transfer)
    }

    /// What it is.
    pub fn manifest(&self) -> Manifest {
        self.manifest
    }

    /// Pieces that are there, and how many there are in all.
    pub fn progress(&self) -> (u32, u32) {
        (self.pieces.len() as u32, self.manifest.pieces())
    }

    /// When it began.
    pub fn began(&self) -> Micros {
        self.began
    }

    /// Whether no piece has come for long.
    pub fn is_stuck(&self, now: Micros) -> bool {
        now >= self.came + STUCK
    }

    /// What to ask for now, and of whom; `sources` have it, the best one first.
    pub fn ask(&mut self, now: Micros, sources: &[MemberName]) -> Vec<(MemberName, u32)> {
        let mut out = Vec::new();
        self.asked.retain(|_, (at, _)| now < *at + AGAIN);
        let good: Vec<&MemberName> = sources.iter().filter(|name| !self.bad.contains(*name)).collect();
        let Some(first) = good.first().copied().or(sources.first()) else { return out };
        for number in 0..self.manifest.pieces() {
            if self.asked.len() >= WINDOW || now < self.next {
                break;
            }
            if self.pieces.contains_key(&number) || self.asked.contains_key(&number) {
                continue;
            }
            // One that did not answer in time may be gone: the next of the list gets its turn.
            let turn = (now / AGAIN) as usize % good.len().max(1);
            let from =
                if now >= self.began + 4 * AGAIN { good.get(turn).copied().unwrap_or(first) } else { first };
            self.asked.insert(number, (now, from.clone()));
            self.next = self.next.max(now.saturating_sub(AGAIN)) + PIECE as u64 * 1_000_000 / self.rate;
            out.push((from.clone(), number));
        }
        out
    }

    /// A piece has come; whether it was wanted.
    pub fn take(&mut self, of: &Digest, number: u32, bytes: Vec<u8>) -> bool {
        let wanted = *of == self.manifest.digest && number < self.manifest.pieces();
        let last = number + 1 == self.manifest.pieces();
        let rest = self.manifest.length as usize - number.min(self.manifest.pieces() - 1) as usize * PIECE;
        let length = if last { rest } else { PIECE };
        if !wanted || bytes.len() != length || self.pieces.contains_key(&number) {
            return false;
        }
        if let Some((at, _)) = self.asked.remove(&number) {
            self.came = self.came.max(at);
        }
        self.pieces.insert(number, bytes);
        true
    }

    /// The whole, once all pieces are there and fit; pieces that do not are asked for again.
    pub fn finish(&mut self) -> Option<Vec<u8>> {
        let (there, all) = self.progress();
        if there < all {
            return None;
        }
        let whole: Vec<u8> = self.pieces.values().flatten().copied().collect();
        if digest(&[&whole]) == self.manifest.digest {
            return Some(whole);
        }
        self.pieces.clear();
        None
    }
}

/// One piece of a snapshot's bytes.
pub fn piece(bytes: &[u8], number: u32) -> Option<&[u8]> {
    let from = number as usize * PIECE;
    let to = bytes.len().min(from + PIECE);
    bytes.get(from..to).filter(|piece| !piece.is_empty())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn pieces_come_at_a_bounded_rate_and_what_was_there_is_not_asked_for_again() {
        let bytes: Vec<u8> = (0..PIECE * 20 + 77).map(|n| (n % 253) as u8).collect();
        let manifest = Manifest::of(&bytes);
        let sources = [MemberName::from("a"), MemberName::from("b")];
        let had = vec![(manifest.digest, 3, piece(&bytes, 3).expect("there").to_vec())];
        let rate = 10 * PIECE as u64;
        let mut transfer = Transfer::new(0, manifest, rate, had).expect("a length");
        let (mut now, mut asked) = (0, 0);
        let whole = loop {
            now += 10_000;
            for (_, number) in transfer.ask(now, &sources) {
                asked += 1;
                assert_ne!(number, 3);
                // One in five is lost.
                if asked % 5 != 0 {
                    transfer.take(&manifest.digest, number, piece(&bytes, number).expect("there").to_vec());
                }
            }
            if let Some(whole) = transfer.finish() {
                break whole;
            }
            assert!(now < 20_000_000, "{:?}", transfer.progress());
        };
        assert!(whole == bytes);
        // 20 pieces at 10 a second, but for the half second that it may be ahead.
        assert!(now >= 1_200_000, "{now}");
        assert!(!transfer.take(&Digest::default(), 1, vec![0; PIECE]));
    }

    #[test]
    fn what_does_not_fit_together_is_asked_for_anew() {
        let bytes = vec![7; PIECE + 5];
        let manifest = Manifest::of(&bytes);
        let mut transfer = Transfer::new(0, manifest, 1 << 30, vec![]).expect("a length");
        assert!(
            transfer.take(&manifest.digest, 0, vec![8; PIECE])
                && transfer.take(&manifest.digest, 1, vec![7; 5])
        );
        assert_eq!((transfer.finish(), transfer.progress()), (None, (0, 2)));
        assert!(!transfer.take(&manifest.digest, 1, vec![7; 6]));
        assert!(Transfer::new(0, Manifest { length: LONGEST + 1, ..manifest }, 1, vec![]).is_none());
    }
}
