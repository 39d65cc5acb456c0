//! Snapshots in pieces: asked for by the one that needs them, so that its pace bounds the traffic.

use std::collections::{BTreeMap, BTreeSet};

use umberloom_membership::MemberName;

use crate::entry::{digest, Digest};
use crate::log::{Manifest, CHUNK_BYTES};
use crate::Micros;

/// Pieces that may be under way at once.
const MAX_CHUNKS_IN_FLIGHT: usize = 4;
/// A piece that has not come by then is asked for again, from another member if there is one.
const CHUNK_TIMEOUT: Micros = 500_000;
/// Without a piece for so long it is given up: whoever offered it has another by then.
const STALL_TIMEOUT: Micros = 6 * CHUNK_TIMEOUT;
/// The largest snapshot.
pub const MAX_SNAPSHOT_BYTES: u64 = 256 << 20;

/// A snapshot that is coming.
#[derive(Debug)]
pub struct SnapshotTransfer {
    manifest: Manifest,
    chunks: BTreeMap<u32, Vec<u8>>,
    in_flight: BTreeMap<u32, (Micros, MemberName)>,
    /// Bytes a second, and when the next piece may be asked for.
    bytes_per_second: u64,
    next_request_at: Micros,
    started_at: Micros,
    /// When a piece last came.
    last_progress_at: Micros,
    /// Sources that sent what does not fit.
    bad_sources: BTreeSet<MemberName>,
}

impl SnapshotTransfer {
    /// Begins; pieces that had come before a restart count.
    pub fn new(
        now: Micros,
        manifest: Manifest,
        rate: u64,
        had: Vec<(Digest, u32, Vec<u8>)>,
    ) -> Option<SnapshotTransfer> {
        if manifest.length == 0 || manifest.length > MAX_SNAPSHOT_BYTES {
            return None;
        }
        let mut transfer = SnapshotTransfer {
            manifest,
            chunks: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            bytes_per_second: rate.max(CHUNK_BYTES as u64),
            next_request_at: now,
            started_at: now,
            last_progress_at: now,
            bad_sources: BTreeSet::new(),
        };
        for (of, number, bytes) in had {
            transfer.handle_chunk(&of, number, bytes);
        }
        Some(transfer)
    }

    /// What it is.
    pub fn manifest(&self) -> Manifest {
        self.manifest
    }

    /// Pieces that are there, and how many there are in all.
    pub fn progress(&self) -> (u32, u32) {
        (self.chunks.len() as u32, self.manifest.chunk_count())
    }

    /// When it began.
    pub fn started_at(&self) -> Micros {
        self.started_at
    }

    /// Whether no piece has come for long.
    pub fn is_stalled(&self, now: Micros) -> bool {
        now >= self.last_progress_at + STALL_TIMEOUT
    }

    /// What to ask for now, and of whom; `sources` have it, the best one first.
    pub fn next_requests(&mut self, now: Micros, sources: &[MemberName]) -> Vec<(MemberName, u32)> {
        let mut out = Vec::new();
        self.in_flight.retain(|_, (at, _)| now < *at + CHUNK_TIMEOUT);
        let good: Vec<&MemberName> =
            sources.iter().filter(|name| !self.bad_sources.contains(*name)).collect();
        let Some(first) = good.first().copied().or(sources.first()) else { return out };
        for number in 0..self.manifest.chunk_count() {
            if self.in_flight.len() >= MAX_CHUNKS_IN_FLIGHT || now < self.next_request_at {
                break;
            }
            if self.chunks.contains_key(&number) || self.in_flight.contains_key(&number) {
                continue;
            }
            // One that did not answer in time may be gone: the next of the list gets its turn.
            let turn = (now / CHUNK_TIMEOUT) as usize % good.len().max(1);
            let from = if now >= self.started_at + 4 * CHUNK_TIMEOUT {
                good.get(turn).copied().unwrap_or(first)
            } else {
                first
            };
            self.in_flight.insert(number, (now, from.clone()));
            self.next_request_at = self.next_request_at.max(now.saturating_sub(CHUNK_TIMEOUT))
                + CHUNK_BYTES as u64 * 1_000_000 / self.bytes_per_second;
            out.push((from.clone(), number));
        }
        out
    }

    /// A piece has come; whether it was wanted.
    pub fn handle_chunk(&mut self, of: &Digest, number: u32, bytes: Vec<u8>) -> bool {
        let wanted = *of == self.manifest.digest && number < self.manifest.chunk_count();
        let last = number + 1 == self.manifest.chunk_count();
        let rest = self.manifest.length as usize
            - number.min(self.manifest.chunk_count() - 1) as usize * CHUNK_BYTES;
        let length = if last { rest } else { CHUNK_BYTES };
        if !wanted || bytes.len() != length || self.chunks.contains_key(&number) {
            return false;
        }
        if let Some((at, _)) = self.in_flight.remove(&number) {
            self.last_progress_at = self.last_progress_at.max(at);
        }
        self.chunks.insert(number, bytes);
        true
    }

    /// The whole, once all pieces are there and fit; pieces that do not are asked for again.
    pub fn take_snapshot(&mut self) -> Option<Vec<u8>> {
        let (there, all) = self.progress();
        if there < all {
            return None;
        }
        let whole: Vec<u8> = self.chunks.values().flatten().copied().collect();
        if digest(&[&whole]) == self.manifest.digest {
            return Some(whole);
        }
        self.chunks.clear();
        None
    }
}

/// One piece of a snapshot's bytes.
pub fn chunk(bytes: &[u8], number: u32) -> Option<&[u8]> {
    let from = number as usize * CHUNK_BYTES;
    let to = bytes.len().min(from + CHUNK_BYTES);
    bytes.get(from..to).filter(|piece| !piece.is_empty())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn pieces_come_at_a_bounded_rate_and_what_was_there_is_not_asked_for_again() {
        let bytes: Vec<u8> = (0..CHUNK_BYTES * 20 + 77).map(|n| (n % 253) as u8).collect();
        let manifest = Manifest::of(&bytes);
        let sources = [MemberName::from("a"), MemberName::from("b")];
        let had = vec![(manifest.digest, 3, chunk(&bytes, 3).expect("there").to_vec())];
        let rate = 10 * CHUNK_BYTES as u64;
        let mut transfer = SnapshotTransfer::new(0, manifest, rate, had).expect("a length");
        let (mut now, mut asked) = (0, 0);
        let whole = loop {
            now += 10_000;
            for (_, number) in transfer.next_requests(now, &sources) {
                asked += 1;
                assert_ne!(number, 3);
                // One in five is lost.
                if asked % 5 != 0 {
                    transfer.handle_chunk(
                        &manifest.digest,
                        number,
                        chunk(&bytes, number).expect("there").to_vec(),
                    );
                }
            }
            if let Some(whole) = transfer.take_snapshot() {
                break whole;
            }
            assert!(now < 20_000_000, "{:?}", transfer.progress());
        };
        assert!(whole == bytes);
        // 20 pieces at 10 a second, but for the half second that it may be ahead.
        assert!(now >= 1_200_000, "{now}");
        assert!(!transfer.handle_chunk(&Digest::default(), 1, vec![0; CHUNK_BYTES]));
    }

    #[test]
    fn what_does_not_fit_together_is_asked_for_anew() {
        let bytes = vec![7; CHUNK_BYTES + 5];
        let manifest = Manifest::of(&bytes);
        let mut transfer = SnapshotTransfer::new(0, manifest, 1 << 30, vec![]).expect("a length");
        assert!(
            transfer.handle_chunk(&manifest.digest, 0, vec![8; CHUNK_BYTES])
                && transfer.handle_chunk(&manifest.digest, 1, vec![7; 5])
        );
        assert_eq!((transfer.take_snapshot(), transfer.progress()), (None, (0, 2)));
        assert!(!transfer.handle_chunk(&manifest.digest, 1, vec![7; 6]));
        assert!(SnapshotTransfer::new(0, Manifest { length: MAX_SNAPSHOT_BYTES + 1, ..manifest }, 1, vec![])
            .is_none());
    }
}
