//! Snapshot transfer: the receiver requests chunks, so that its rate bounds the traffic.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use umberloom_membership::MemberName;

use crate::entry::{digest, Digest};
use crate::log::{Manifest, CHUNK_BYTES};
use crate::Micros;

#[cfg(test)]
mod tests;

/// Chunk requests that may be in flight at once.
const MAX_CHUNKS_IN_FLIGHT: usize = 4;
/// A chunk that has not come by then is requested again, from another member if there is one.
const CHUNK_TIMEOUT: Micros = 500_000;
/// Without a chunk for so long the transfer has stalled: whoever offered the snapshot has another by then.
const STALL_TIMEOUT: Micros = 6 * CHUNK_TIMEOUT;
/// After this long the sources are tried in turn.
const ROTATE_SOURCES_AFTER: Micros = 4 * CHUNK_TIMEOUT;
/// The largest snapshot.
pub const MAX_SNAPSHOT_BYTES: u64 = 256 << 20;

/// A chunk of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Digest of the snapshot.
    pub digest: Digest,
    /// Index of the chunk, from 0.
    pub index: u32,
    /// Its bytes: [`CHUNK_BYTES`] of them, fewer in the last one.
    pub bytes: Vec<u8>,
}

/// A snapshot that is being fetched.
#[derive(Debug)]
pub struct SnapshotTransfer {
    manifest: Manifest,
    chunks: BTreeMap<u32, Vec<u8>>,
    /// Requested chunks that have not come, with the time of the request.
    in_flight: BTreeMap<u32, Micros>,
    bytes_per_second: u64,
    next_request_at: Micros,
    started_at: Micros,
    /// When the last chunk that came was requested.
    last_progress_at: Micros,
}

impl SnapshotTransfer {
    /// Starts a transfer; chunks that came before a restart count. `None` if the snapshot is empty or too large.
    pub fn new(
        now: Micros,
        manifest: Manifest,
        bytes_per_second: u64,
        resumable_chunks: Vec<SnapshotChunk>,
    ) -> Option<SnapshotTransfer> {
        if manifest.length == 0 || manifest.length > MAX_SNAPSHOT_BYTES {
            return None;
        }
        let mut transfer = SnapshotTransfer {
            manifest,
            chunks: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            bytes_per_second: bytes_per_second.max(CHUNK_BYTES as u64),
            next_request_at: now,
            started_at: now,
            last_progress_at: now,
        };
        for chunk in resumable_chunks {
            transfer.handle_chunk(chunk);
        }
        Some(transfer)
    }

    /// The snapshot's identity.
    pub fn manifest(&self) -> Manifest {
        self.manifest
    }

    /// Chunks that are there, and how many there are in all.
    pub fn progress(&self) -> (u32, u32) {
        (self.chunks.len() as u32, self.manifest.chunk_count())
    }

    /// When it was started.
    pub fn started_at(&self) -> Micros {
        self.started_at
    }

    /// Whether no chunk has come for long.
    pub fn is_stalled(&self, now: Micros) -> bool {
        now >= self.last_progress_at + STALL_TIMEOUT
    }

    /// The chunks to request now, and from whom. `sources` have the snapshot, the best one first.
    pub fn next_requests(&mut self, now: Micros, sources: &[MemberName]) -> Vec<(MemberName, u32)> {
        let mut requests = Vec::new();
        self.in_flight.retain(|_, requested_at| now < *requested_at + CHUNK_TIMEOUT);
        let Some(source) = self.choose_source(now, sources).cloned() else { return requests };
        for index in 0..self.manifest.chunk_count() {
            if self.in_flight.len() >= MAX_CHUNKS_IN_FLIGHT || now < self.next_request_at {
                break;
            }
            if self.chunks.contains_key(&index) || self.in_flight.contains_key(&index) {
                continue;
            }
            self.in_flight.insert(index, now);
            // The rate counts from at most one timeout ago, so that a pause allows no long burst.
            let earliest = self.next_request_at.max(now.saturating_sub(CHUNK_TIMEOUT));
            self.next_request_at = earliest + CHUNK_BYTES as u64 * 1_000_000 / self.bytes_per_second;
            requests.push((source.clone(), index));
        }
        requests
    }

    /// The best source; in a long transfer each in its turn, as one that did not answer in time may be gone.
    fn choose_source<'s>(&self, now: Micros, sources: &'s [MemberName]) -> Option<&'s MemberName> {
        if now < self.started_at + ROTATE_SOURCES_AFTER {
            return sources.first();
        }
        let turn = (now / CHUNK_TIMEOUT) as usize % sources.len().max(1);
        sources.get(turn)
    }

    /// Takes a chunk that has come; whether it was missing.
    pub fn handle_chunk(&mut self, chunk: SnapshotChunk) -> bool {
        let SnapshotChunk { digest, index, bytes } = chunk;
        let belongs = digest == self.manifest.digest && index < self.manifest.chunk_count();
        if !belongs || bytes.len() != self.chunk_length(index) || self.chunks.contains_key(&index) {
            return false;
        }
        if let Some(requested_at) = self.in_flight.remove(&index) {
            self.last_progress_at = self.last_progress_at.max(requested_at);
        }
        self.chunks.insert(index, bytes);
        true
    }

    /// Bytes of a chunk of this snapshot.
    fn chunk_length(&self, index: u32) -> usize {
        let start = index as usize * CHUNK_BYTES;
        (self.manifest.length as usize - start).min(CHUNK_BYTES)
    }

    /// The snapshot, once all chunks are there and match the digest; if they do not, all are requested again.
    pub fn take_snapshot(&mut self) -> Option<Vec<u8>> {
        let (present, total) = self.progress();
        if present < total {
            return None;
        }
        let bytes: Vec<u8> = self.chunks.values().flatten().copied().collect();
        if digest(&[&bytes]) == self.manifest.digest {
            return Some(bytes);
        }
        self.chunks.clear();
        None
    }
}

/// One chunk of a snapshot's bytes.
pub fn chunk(snapshot: &[u8], index: u32) -> Option<&[u8]> {
    let start = index as usize * CHUNK_BYTES;
    let end = snapshot.len().min(start + CHUNK_BYTES);
    snapshot.get(start..end).filter(|bytes| !bytes.is_empty())
}
