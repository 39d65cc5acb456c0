//! Snapshots: fetching them from other members, installing them, and making them of this replica's state.

use std::rc::Rc;

use raft::eraftpb::{Message, Snapshot};
use raft::INVALID_INDEX;
use umberloom_membership::MemberName;
use umberloom_store::WriteBatch;

use super::{Event, Peer, Priority, Replica};
use crate::entry::Digest;
use crate::log::{chunk_batch, Manifest};
use crate::message::PeerMessage;
use crate::state::State;
use crate::transfer::{chunk, SnapshotChunk, SnapshotTransfer};
use crate::Micros;

/// Number of entries applied since the last snapshot after which a new one is made.
const COMPACT_AFTER_ENTRIES: u64 = 4_096;
/// Bytes of entries since the last snapshot after which a new one is made.
const COMPACT_AFTER_BYTES: u64 = 8 << 20;

/// A snapshot of which all chunks have been fetched.
struct FetchedSnapshot {
    manifest: Manifest,
    bytes: Rc<Vec<u8>>,
}

/// The state of requesting, fetching and installing snapshots.
pub(super) struct Snapshots {
    /// The transfer in progress, with the leader's message that offered the snapshot.
    pub(super) transfer: Option<(SnapshotTransfer, Message)>,
    /// Chunks that an earlier process has stored.
    pub(super) resumable_chunks: Vec<SnapshotChunk>,
    /// A completely fetched snapshot, until the library has it installed.
    fetched: Option<FetchedSnapshot>,
    /// Whether a snapshot must be requested from the leader in place of entries.
    pub(super) request_pending: bool,
    /// Whether chunks are made durable as they arrive.
    stores_chunks: bool,
    /// Snapshots that end before this index are not fetched.
    min_index: u64,
    /// Index of the last snapshot that was installed; 0 is none.
    installed_index: u64,
}

impl Snapshots {
    pub(super) fn new() -> Snapshots {
        Snapshots {
            transfer: None,
            resumable_chunks: Vec::new(),
            fetched: None,
            request_pending: false,
            stores_chunks: true,
            min_index: 0,
            installed_index: 0,
        }
    }
}

impl Replica {
    /// Called when received data did not fit on the disk: requests a snapshot that ends after the entry at
    /// `index`, as a later snapshot may be smaller. Its chunks are not stored as they arrive, since they
    /// would not fit beside the stored data.
    pub fn request_snapshot_after(&mut self, index: u64) {
        self.snapshots.request_pending = true;
        self.snapshots.stores_chunks = false;
        self.snapshots.min_index = index + 1;
    }

    /// Index of the last snapshot that was installed; 0 is none.
    pub fn installed_snapshot(&self) -> u64 {
        self.snapshots.installed_index
    }

    /// Handles a leader's offer of a snapshot. The library gets the offer only once all chunks have been
    /// fetched.
    pub(super) fn handle_snapshot_offer(&mut self, now: Micros, message: Message) {
        let Ok(manifest) = postcard::from_bytes::<Manifest>(&message.get_snapshot().data) else { return };
        let Some(node) = &self.node else { return };
        let index = message.get_snapshot().get_metadata().index;
        let committed = node.raft.raft_log.committed;
        if index < self.snapshots.min_index {
            // The snapshot that did not fit on the disk is offered again. Our status keeps reporting no
            // transfer, which makes the leader offer another one.
            return;
        }
        // The library installs no snapshot from before its commit index, and one that ends there only if it
        // has requested it.
        let is_requested = node.raft.pending_request_snapshot != INVALID_INDEX;
        if index < committed || (index == committed && !is_requested) {
            self.step(message);
            return;
        }
        match &mut self.snapshots.transfer {
            Some((transfer, offer)) if transfer.manifest() == manifest => *offer = message,
            _ => {
                let chunks = std::mem::take(&mut self.snapshots.resumable_chunks);
                let rate = self.config.catch_up_bytes_per_second;
                let transfer = SnapshotTransfer::new(now, manifest, rate, chunks);
                self.snapshots.transfer = transfer.map(|transfer| (transfer, message));
            }
        }
        self.continue_transfer(now);
    }

    /// Answers a peer's request for a chunk of the latest snapshot or a previous one.
    pub(super) fn handle_chunk_request(&mut self, from: &MemberName, digest: Digest, index: u32) {
        let Some(node) = &self.node else { return };
        let Some(snapshot) = node.store().snapshot_with_digest(&digest) else { return };
        let Some(bytes) = chunk(&snapshot, index) else { return };
        let reply = PeerMessage::Chunk(SnapshotChunk { digest, index, bytes: bytes.to_vec() });
        self.send(from, &reply, Priority::Snapshot);
    }

    /// Handles a received chunk.
    pub(super) fn handle_chunk(&mut self, now: Micros, chunk: &SnapshotChunk) {
        let Some((transfer, _)) = &mut self.snapshots.transfer else { return };
        if !transfer.handle_chunk(chunk.clone()) {
            return;
        }
        // Chunks are made durable so that the transfer resumes after the process is killed.
        if self.snapshots.stores_chunks {
            self.persist(chunk_batch(chunk));
        }
        self.continue_transfer(now);
    }

    /// Requests the next chunks, or passes the offer of a completely fetched snapshot to the library.
    pub(super) fn continue_transfer(&mut self, now: Micros) {
        let Some((transfer, offer)) = &mut self.snapshots.transfer else { return };
        let manifest = transfer.manifest();
        if let Some(bytes) = transfer.take_snapshot() {
            let took = now - transfer.started_at();
            let offer = offer.clone();
            self.snapshots.transfer = None;
            let index = offer.get_snapshot().get_metadata().index;
            self.emit(Event::CaughtUp { index, bytes: bytes.len() as u64, took });
            self.snapshots.fetched = Some(FetchedSnapshot { manifest, bytes: Rc::new(bytes) });
            self.step(offer);
            return;
        }
        if transfer.is_stalled(now) {
            // No member has this snapshot any more. Once our status reports no transfer, the leader offers
            // another one.
            self.snapshots.transfer = None;
            return;
        }
        let sources = snapshot_sources(self.peers.iter(), manifest, offer.from);
        for (source, index) in transfer.next_requests(now, &sources) {
            let request = PeerMessage::ChunkRequest { digest: manifest.digest, index };
            self.send(&source, &request, Priority::Entry);
        }
    }

    /// Replaces state and log by the fetched snapshot. `None` if it was not fetched or cannot be decoded; the
    /// replica is then restarted with what it has.
    pub(super) fn install_snapshot(&mut self, snapshot: &Snapshot) -> Option<WriteBatch> {
        let manifest = postcard::from_bytes::<Manifest>(&snapshot.data).ok();
        let fetched = self.snapshots.fetched.take().filter(|fetched| Some(fetched.manifest) == manifest);
        let Some(FetchedSnapshot { bytes, .. }) = fetched else {
            self.restart("the snapshot to be installed was not fetched".to_owned());
            return None;
        };
        let Some(state) = State::from_bytes(&bytes) else {
            self.restart("a fetched snapshot cannot be decoded".to_owned());
            return None;
        };
        let metadata = snapshot.get_metadata().clone();
        self.state = state;
        self.snapshots.installed_index = metadata.index;
        self.comparison.forget_matches();
        let batch = self.with_raft(|node| node.mut_store().install(metadata, bytes));
        Some(batch.unwrap_or_default())
    }

    /// Makes a snapshot of the state and removes the entries before it from the log.
    pub(super) fn make_snapshot(&mut self) {
        let index = self.state.applied;
        let state = self.state.to_bytes();
        let batch = self.with_raft(|node| node.mut_store().compact(index, state));
        if let Some(batch) = batch.filter(|batch| !batch.is_empty()) {
            self.persist(batch);
        }
    }

    /// Makes a snapshot if the log has become long, or if a member is waiting for a newer one.
    pub(super) fn compact_if_due(&mut self) {
        let Some(node) = &self.node else { return };
        let log = node.store();
        let applied_since = self.state.applied.saturating_sub(log.latest_snapshot().index);
        let is_log_long = applied_since >= COMPACT_AFTER_ENTRIES || log.entry_bytes() >= COMPACT_AFTER_BYTES;
        if applied_since > 0 && (is_log_long || log.is_snapshot_requested()) {
            self.make_snapshot();
        }
    }
}

/// The members that have this snapshot, the least loaded first and the leader last.
fn snapshot_sources<'a>(
    peers: impl Iterator<Item = (&'a MemberName, &'a Peer)>,
    manifest: Manifest,
    leader: u64,
) -> Vec<MemberName> {
    let mut sources: Vec<(&MemberName, &Peer)> =
        peers.filter(|(_, peer)| peer.status.snapshot.manifest == manifest).collect();
    sources.sort_by_key(|(_, peer)| (peer.status.replica_id == leader, peer.status.load_percent));
    sources.into_iter().map(|(name, _)| name.clone()).collect()
}
