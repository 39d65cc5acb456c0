//! Snapshots of this replica: fetched from others, installed, and made.

use std::rc::Rc;

use raft::eraftpb::{Message, SnapshotMetadata};
use umberloom_membership::MemberName;
use umberloom_store::WriteBatch;

use super::{Event, Peer, Priority, Replica};
use crate::entry::Digest;
use crate::log::{chunk_batch, Manifest};
use crate::message::PeerMessage;
use crate::state::State;
use crate::transfer::{chunk, SnapshotChunk, SnapshotTransfer};
use crate::Micros;

/// Entries applied since the last snapshot after which a new one is made, and bytes of them.
const COMPACT_AFTER_ENTRIES: u64 = 4_096;
const COMPACT_AFTER_BYTES: u64 = 8 << 20;

/// Snapshots on their way to this replica.
pub(super) struct Snapshots {
    /// The transfer under way, with the leader's offer that it answers.
    pub(super) transfer: Option<(SnapshotTransfer, Message)>,
    /// Chunks that a process before this one has stored.
    pub(super) resumable_chunks: Vec<SnapshotChunk>,
    /// Bytes of a complete transfer, until the library wants them installed.
    fetched: Option<Rc<Vec<u8>>>,
    /// A snapshot is to be requested from the leader in place of entries.
    pub(super) request_pending: bool,
    /// Whether chunks are made durable as they come.
    stores_chunks: bool,
    /// Snapshots of earlier entries than this one are not fetched.
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
    /// What was received has found no room on the disk: a snapshot of a later entry than this one is requested instead,
    /// which may be smaller. Its chunks are not stored then: they would not fit beside what is there.
    pub fn request_snapshot_after(&mut self, index: u64) {
        self.snapshots.request_pending = true;
        self.snapshots.stores_chunks = false;
        self.snapshots.min_index = index + 1;
    }

    /// Index of the last snapshot that was installed; 0 is none.
    pub fn installed_snapshot(&self) -> u64 {
        self.snapshots.installed_index
    }

    /// A leader offers a snapshot: its chunks are fetched before the library sees the offer.
    pub(super) fn handle_snapshot_offer(&mut self, now: Micros, message: Message) {
        let Ok(manifest) = postcard::from_bytes::<Manifest>(&message.get_snapshot().data) else { return };
        let Some(node) = &self.node else { return };
        let index = message.get_snapshot().get_metadata().index;
        let committed = node.raft.raft_log.committed;
        if index < self.snapshots.min_index {
            // The one that had no room, once more; the leader sees that we wait for nothing.
            return;
        }
        if index <= committed {
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

    /// A peer asks for a chunk of a snapshot that this replica has or had.
    pub(super) fn handle_chunk_request(&mut self, from: &MemberName, digest: Digest, index: u32) {
        let Some(node) = &self.node else { return };
        let Some(snapshot) = node.store().snapshot_with_digest(&digest) else { return };
        let Some(bytes) = chunk(&snapshot, index) else { return };
        let reply = PeerMessage::Chunk(SnapshotChunk { digest, index, bytes: bytes.to_vec() });
        self.send(from, &reply, Priority::Snapshot);
    }

    /// A chunk has come.
    pub(super) fn handle_chunk(&mut self, now: Micros, chunk: &SnapshotChunk) {
        let Some((transfer, _)) = &mut self.snapshots.transfer else { return };
        if !transfer.handle_chunk(chunk.clone()) {
            return;
        }
        // Durable, so that a process that is killed in the middle does not start from nothing.
        if self.snapshots.stores_chunks {
            self.persist(chunk_batch(chunk));
        }
        self.continue_transfer(now);
    }

    /// Requests the next chunks, or hands a complete snapshot to the library.
    pub(super) fn continue_transfer(&mut self, now: Micros) {
        let Some((transfer, offer)) = &mut self.snapshots.transfer else { return };
        if let Some(bytes) = transfer.take_snapshot() {
            let took = now - transfer.started_at();
            let offer = offer.clone();
            self.snapshots.transfer = None;
            let index = offer.get_snapshot().get_metadata().index;
            self.emit(Event::CaughtUp { index, bytes: bytes.len() as u64, took });
            self.snapshots.fetched = Some(Rc::new(bytes));
            self.step(offer);
            return;
        }
        if transfer.is_stalled(now) {
            // Nobody has this one any more: without it the leader sees that we wait for nothing, and offers another.
            self.snapshots.transfer = None;
            return;
        }
        let manifest = transfer.manifest();
        let sources = snapshot_sources(self.peers.iter(), manifest, offer.from);
        for (source, index) in transfer.next_requests(now, &sources) {
            let request = PeerMessage::ChunkRequest { digest: manifest.digest, index };
            self.send(&source, &request, Priority::Entry);
        }
    }

    /// Replaces state and log by the fetched snapshot; `None` if this replica has ended because it cannot be read.
    pub(super) fn install_snapshot(&mut self, metadata: SnapshotMetadata) -> Option<WriteBatch> {
        let fetched = self.snapshots.fetched.take();
        let state = fetched.as_ref().and_then(|bytes| State::from_bytes(bytes));
        let (Some(bytes), Some(state)) = (fetched, state) else {
            self.quarantine("a snapshot can't be read".to_owned());
            return None;
        };
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

    /// Makes a snapshot if the log has grown long, or if a member waits for a newer one.
    pub(super) fn compact_if_due(&mut self) {
        let Some(node) = &self.node else { return };
        let log = node.store();
        let applied_since = self.state.applied.saturating_sub(log.latest_snapshot().index);
        let is_long = applied_since >= COMPACT_AFTER_ENTRIES || log.entry_bytes() >= COMPACT_AFTER_BYTES;
        if applied_since > 0 && (is_long || log.is_snapshot_requested()) {
            self.make_snapshot();
        }
    }
}

/// Members that have this snapshot: the least loaded first, and the leader that offers it after those.
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
