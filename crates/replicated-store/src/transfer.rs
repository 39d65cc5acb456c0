//! Snapshot transfer: the receiver requests the chunks, so that its configured rate bounds the traffic.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use umberloom_membership::MemberName;

use crate::entry::{digest, Digest};
use crate::log::{Manifest, CHUNK_BYTES};
use crate::Micros;

#[cfg(test)]
mod tests;

/// Upper bound of the chunk requests in flight at once.
const MAX_CHUNKS_IN_FLIGHT: usize = 4;
/// A chunk that has not arrived after this time is requested again, in a long transfer from another member if
/// there is one.
const CHUNK_TIMEOUT: Micros = 500_000;
/// A transfer without progress for this long has stalled: the member that offered the snapshot has a newer
/// one by then.
const STALL_TIMEOUT: Micros = 6 * CHUNK_TIMEOUT;
/// After this time since the start of the transfer the sources take turns.
const ROTATE_SOURCES_AFTER: Micros = 4 * CHUNK_TIMEOUT;
/// Upper bound of a snapshot's length in bytes.
pub const MAX_SNAPSHOT_BYTES: u64 = 256 << 20;

/// A chunk of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Digest of the snapshot.
    pub digest: Digest,
    /// Index of the chunk, from 0.
    pub index: u32,
    /// Content of the chunk: [`CHUNK_BYTES`] long, the last chunk may be shorter.
    pub bytes: Vec<u8>,
}

/// A snapshot that is being fetched.
#[derive(Debug)]
pub struct SnapshotTransfer {
    manifest: Manifest,
    /// Received chunks by index.
    chunks: BTreeMap<u32, Vec<u8>>,
    /// Requested chunks that have not arrived, by index, with the time of the request.
    in_flight: BTreeMap<u32, Micros>,
    bytes_per_second: u64,
    next_request_at: Micros,
    started_at: Micros,
    /// Time of the latest request that was answered with its chunk in time; at first `started_at`.
    last_progress_at: Micros,
}

impl SnapshotTransfer {
    /// Starts a transfer, with the chunks that arrived before a restart. Chunks are requested at a rate of
    /// `bytes_per_second`, but at least one chunk per second. `None` if the snapshot is empty or too large.
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

    /// Digest and length of the snapshot.
    pub fn manifest(&self) -> Manifest {
        self.manifest
    }

    /// Number of received chunks, and the total number of chunks.
    pub fn progress(&self) -> (u32, u32) {
        (self.chunks.len() as u32, self.manifest.chunk_count())
    }

    /// When the transfer was started.
    pub fn started_at(&self) -> Micros {
        self.started_at
    }

    /// Whether no request made within the stall timeout was answered with its chunk in time.
    pub fn is_stalled(&self, now: Micros) -> bool {
        now >= self.last_progress_at + STALL_TIMEOUT
    }

    /// The chunks to request now, each with the member to request it from. `sources` are members that have
    /// the snapshot, the best one first.
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
            // Unused rate accumulates for one chunk timeout at most, so that no long burst follows a pause.
            let earliest = self.next_request_at.max(now.saturating_sub(CHUNK_TIMEOUT));
            self.next_request_at = earliest + CHUNK_BYTES as u64 * 1_000_000 / self.bytes_per_second;
            requests.push((source.clone(), index));
        }
        requests
    }

    /// The best source at first. In a long transfer the sources take turns, since a source that has not
    /// answered in time may have failed.
    fn choose_source<'s>(&self, now: Micros, sources: &'s [MemberName]) -> Option<&'s MemberName> {
        if now < self.started_at + ROTATE_SOURCES_AFTER {
            return sources.first();
        }
        let source_index = (now / CHUNK_TIMEOUT) as usize % sources.len().max(1);
        sources.get(source_index)
    }

    /// Stores a received chunk. Returns whether it belongs to this snapshot and was missing.
    pub fn handle_chunk(&mut self, chunk: SnapshotChunk) -> bool {
        let SnapshotChunk { digest, index, bytes } = chunk;
        let is_in_snapshot = digest == self.manifest.digest && index < self.manifest.chunk_count();
        if !is_in_snapshot || bytes.len() != self.chunk_length(index) || self.chunks.contains_key(&index) {
            return false;
        }
        if let Some(requested_at) = self.in_flight.remove(&index) {
            self.last_progress_at = self.last_progress_at.max(requested_at);
        }
        self.chunks.insert(index, bytes);
        true
    }

    /// Length in bytes of the chunk at this index.
    fn chunk_length(&self, index: u32) -> usize {
        let start = index as usize * CHUNK_BYTES;
        (self.manifest.length as usize - start).min(CHUNK_BYTES)
    }

    /// The snapshot, once all chunks have arrived and match the digest. If they do not match it, all are
    /// requested again.
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

/// The chunk of a snapshot at this index; `None` beyond the end.
pub fn chunk(snapshot: &[u8], index: u32) -> Option<&[u8]> {
    let start = index as usize * CHUNK_BYTES;
    let end = snapshot.len().min(start + CHUNK_BYTES);
    snapshot.get(start..end).filter(|bytes| !bytes.is_empty())
}
