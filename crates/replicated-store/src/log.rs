//! The log in memory, as the Raft library's storage. The memory holds what the disk has or will have: each
//! change returns the write batch that makes it durable.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;

use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot, SnapshotMetadata};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};
use serde::{Deserialize, Serialize};
use umberloom_store::WriteBatch;

use crate::entry::{digest, Digest};
use crate::export::ExportedEntry;
use crate::ids::StoreId;
use crate::transfer::SnapshotChunk;

mod stored;

pub use stored::{StoredReplica, StoredReplicaError};

/// The keyspaces that a replica uses in its on-disk store: the replica's identity and Raft state, log entries
/// by index, the snapshot in chunks, and chunks of a snapshot that is being fetched.
pub const KEYSPACES: [u8; 4] = [1, 2, 3, 4];
const IDENTITY: u8 = KEYSPACES[0];
const ENTRIES: u8 = KEYSPACES[1];
const SNAPSHOT: u8 = KEYSPACES[2];
const INCOMING_CHUNKS: u8 = KEYSPACES[3];
/// Row of [`IDENTITY`] with the encoded [`ReplicaIdentity`].
const IDENTITY_ROW: &[u8] = b"copy";
/// Row of [`IDENTITY`] with Raft's hard state: term, vote and commit index.
const HARD_STATE_ROW: &[u8] = b"hard";
/// Row of [`IDENTITY`] with the snapshot's metadata: index, term, voters and learners.
const SNAPSHOT_METADATA_ROW: &[u8] = b"snapshot";
/// Length of one snapshot chunk in bytes, on disk and between members.
pub const CHUNK_BYTES: usize = 32 << 10;
/// Number of earlier snapshots that are kept in memory.
const MAX_PREVIOUS_SNAPSHOTS: usize = 2;

/// The identity of a replica, as it is stored on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaIdentity {
    /// Id of the replica's store; 0 while it has joined none.
    pub store_id: StoreId,
    /// Id of the replica, drawn when it was created; 0 is none.
    pub replica_id: u64,
    /// Name of the server that owns the replica, so that a directory copied to another server is detected.
    pub server: String,
    /// Number of times that a process has started with this replica.
    pub starts: u64,
}

/// Digest and length of a snapshot. A leader's offer has it in place of the snapshot's bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Digest of the snapshot's bytes.
    pub digest: Digest,
    /// Length of the snapshot in bytes.
    pub length: u64,
}

impl Manifest {
    /// The manifest of these bytes.
    pub fn of(bytes: &[u8]) -> Manifest {
        Manifest { digest: digest(&[bytes]), length: bytes.len() as u64 }
    }

    /// Number of chunks of the snapshot.
    pub fn chunk_count(&self) -> u32 {
        (self.length as usize).div_ceil(CHUNK_BYTES) as u32
    }
}

/// The end of a log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogPosition {
    /// The current term, which may be later than that of the last entry.
    pub term: u64,
    /// Index of the last entry.
    pub index: u64,
}

/// A snapshot in memory.
#[derive(Clone, Debug)]
pub struct LogSnapshot {
    /// Index of the last entry that the snapshot includes.
    pub index: u64,
    /// Digest and length of the snapshot.
    pub manifest: Manifest,
    /// The encoded state.
    pub bytes: Rc<Vec<u8>>,
}

/// The batch that writes a replica's identity.
pub fn identity_batch(identity: &ReplicaIdentity) -> WriteBatch {
    let row = postcard::to_allocvec(identity).unwrap_or_default();
    WriteBatch::new().put(IDENTITY, IDENTITY_ROW, &row)
}

/// The batch that writes a received snapshot chunk.
pub fn chunk_batch(chunk: &SnapshotChunk) -> WriteBatch {
    let key = [&chunk.digest[..], &chunk.index.to_be_bytes()].concat();
    WriteBatch::new().put(INCOMING_CHUNKS, &key, &chunk.bytes)
}

/// Removes the rows of the entries from `first` to `end`, `end` excluded.
fn remove_entries(batch: WriteBatch, first: u64, end: u64) -> WriteBatch {
    batch.remove_range(ENTRIES, &first.to_be_bytes(), &end.to_be_bytes())
}

fn snapshot_metadata(index: u64, term: u64, conf_state: ConfState) -> SnapshotMetadata {
    let mut metadata = SnapshotMetadata { index, term, ..SnapshotMetadata::default() };
    metadata.set_conf_state(conf_state);
    metadata
}

/// Removes the rows of all received snapshot chunks. Their keys have 20 bytes, so all are below the end key.
fn remove_incoming_chunks(batch: WriteBatch) -> WriteBatch {
    batch.remove_range(INCOMING_CHUNKS, &[0], &[255; 21])
}

/// The log in memory: a snapshot and the entries after it.
#[derive(Debug, Default)]
pub struct Log {
    hard_state: HardState,
    conf_state: ConfState,
    snapshot_metadata: SnapshotMetadata,
    snapshot_bytes: Rc<Vec<u8>>,
    manifest: Manifest,
    /// Earlier snapshots with their digests, for members that are still fetching one of them.
    previous_snapshots: VecDeque<(Digest, Rc<Vec<u8>>)>,
    entries: VecDeque<Entry>,
    /// A member needs a snapshot of this index or a later one; 0 if no member needs one.
    requested_snapshot: Cell<u64>,
}

impl Log {
    /// The log of a new store. `state` is its first state, after the entry at `index`; the bootstrapping
    /// replica is the only voter. The batch also removes all rows of an earlier store.
    pub fn bootstrap(replica_id: u64, index: u64, state: Vec<u8>) -> (Log, WriteBatch) {
        let mut conf_state = ConfState::default();
        conf_state.voters.push(replica_id);
        let metadata = snapshot_metadata(index, 1, conf_state);
        let mut log = Log::default();
        log.hard_state.term = 1;
        log.hard_state.commit = index;
        let removed = WriteBatch::new().remove_range(ENTRIES, &[0], &[255; 9]);
        let batch = remove_incoming_chunks(removed)
            .then(log.put_snapshot(metadata, Rc::new(state)))
            .then(log.hard_state_batch());
        (log, batch)
    }

    /// The log of a replica that was read from disk.
    pub fn load(stored: StoredReplica) -> Log {
        let StoredReplica { mut hard_state, snapshot_metadata, snapshot_bytes, manifest, entries, .. } =
            stored;
        // A change of the commit index alone is not made durable, so it can be behind the snapshot, which has
        // committed entries only.
        hard_state.commit = hard_state.commit.max(snapshot_metadata.index);
        Log {
            hard_state,
            conf_state: snapshot_metadata.get_conf_state().clone(),
            snapshot_metadata,
            snapshot_bytes: Rc::new(snapshot_bytes),
            manifest,
            entries,
            ..Log::default()
        }
    }

    fn hard_state_batch(&self) -> WriteBatch {
        let row = self.hard_state.write_to_bytes().unwrap_or_default();
        WriteBatch::new().put(IDENTITY, HARD_STATE_ROW, &row)
    }

    /// Appends entries and sets the hard state. Existing entries from the first new index on are replaced.
    pub fn append(&mut self, entries: Vec<Entry>, hard_state: Option<&HardState>) -> WriteBatch {
        let mut batch = WriteBatch::new();
        if let Some(first) = entries.first().map(|entry| entry.index) {
            let last = self.last_entry_index();
            // The replaced entries were never committed.
            self.entries.truncate((first.saturating_sub(self.snapshot_metadata.index + 1)) as usize);
            if last >= first {
                batch = remove_entries(batch, first, last + 1);
            }
        }
        for entry in entries {
            let row = entry.write_to_bytes().unwrap_or_default();
            batch = batch.put(ENTRIES, &entry.index.to_be_bytes(), &row);
            self.entries.push_back(entry);
        }
        if let Some(hard_state) = hard_state {
            self.hard_state = hard_state.clone();
            batch = batch.then(self.hard_state_batch());
        }
        batch
    }

    /// Sets the voters and learners.
    pub fn set_conf_state(&mut self, conf_state: ConfState) {
        self.conf_state = conf_state;
    }

    /// The voters and learners.
    pub fn conf_state(&self) -> &ConfState {
        &self.conf_state
    }

    /// Replaces the complete log by a fetched snapshot.
    pub fn install(&mut self, metadata: SnapshotMetadata, state: Rc<Vec<u8>>) -> WriteBatch {
        let first = self.snapshot_metadata.index;
        let last = self.last_entry_index();
        self.entries.clear();
        self.hard_state.commit = self.hard_state.commit.max(metadata.index);
        self.hard_state.term = self.hard_state.term.max(metadata.term);
        let removed = remove_incoming_chunks(remove_entries(WriteBatch::new(), first, last + 1));
        removed.then(self.put_snapshot(metadata, state)).then(self.hard_state_batch())
    }

    fn put_snapshot(&mut self, metadata: SnapshotMetadata, state: Rc<Vec<u8>>) -> WriteBatch {
        let row = metadata.write_to_bytes().unwrap_or_default();
        let mut batch = WriteBatch::new().remove_range(SNAPSHOT, &[0], &[255; 5]).put(
            IDENTITY,
            SNAPSHOT_METADATA_ROW,
            &row,
        );
        for (index, chunk) in (0u32..).zip(state.chunks(CHUNK_BYTES)) {
            batch = batch.put(SNAPSHOT, &index.to_be_bytes(), chunk);
        }
        self.previous_snapshots.push_back((self.manifest.digest, self.snapshot_bytes.clone()));
        if self.previous_snapshots.len() > MAX_PREVIOUS_SNAPSHOTS {
            self.previous_snapshots.pop_front();
        }
        self.conf_state = metadata.get_conf_state().clone();
        self.snapshot_metadata = metadata;
        self.manifest = Manifest::of(&state);
        self.snapshot_bytes = state;
        batch
    }

    /// Makes `state`, the state after the entry at `applied`, the snapshot, and removes the entries up to
    /// that one.
    pub fn compact(&mut self, applied: u64, state: Vec<u8>) -> WriteBatch {
        let Ok(term) = self.term(applied) else { return WriteBatch::new() };
        let first = self.snapshot_metadata.index + 1;
        self.entries.drain(..(applied - self.snapshot_metadata.index) as usize);
        let metadata = snapshot_metadata(applied, term, self.conf_state.clone());
        let removed = remove_entries(WriteBatch::new(), first, applied + 1);
        removed.then(self.put_snapshot(metadata, Rc::new(state)))
    }

    /// Whether a member is waiting for a newer snapshot than the current one.
    pub fn is_snapshot_requested(&self) -> bool {
        self.requested_snapshot.get() > self.snapshot_metadata.index
    }

    /// Index of the last entry.
    pub fn last_entry_index(&self) -> u64 {
        self.entries.back().map_or(self.snapshot_metadata.index, |entry| entry.index)
    }

    /// The current term and the index of the last entry.
    pub fn position(&self) -> LogPosition {
        LogPosition { term: self.hard_state.term, index: self.last_entry_index() }
    }

    /// Bytes of all entries after the snapshot.
    pub fn entry_bytes(&self) -> u64 {
        self.entries.iter().map(|entry| entry.data.len() as u64).sum()
    }

    /// The latest snapshot.
    pub fn latest_snapshot(&self) -> LogSnapshot {
        LogSnapshot {
            index: self.snapshot_metadata.index,
            manifest: self.manifest,
            bytes: self.snapshot_bytes.clone(),
        }
    }

    /// The bytes of the snapshot with this digest, if it is the latest one or one of the
    /// `MAX_PREVIOUS_SNAPSHOTS` before it.
    pub fn snapshot_with_digest(&self, digest: &Digest) -> Option<Rc<Vec<u8>>> {
        if self.manifest.digest == *digest {
            return Some(self.snapshot_bytes.clone());
        }
        let previous = self.previous_snapshots.iter().find(|(previous, _)| previous == digest);
        previous.map(|(_, bytes)| bytes.clone())
    }

    /// The entries after the snapshot up to and including this index, for an export.
    pub fn entries_through(&self, last_index: u64) -> Vec<ExportedEntry> {
        let entries = self.entries.iter().take_while(|entry| entry.index <= last_index);
        let export = |entry: &Entry| ExportedEntry {
            index: entry.index,
            kind: entry.get_entry_type() as u64,
            bytes: entry.data.to_vec(),
        };
        entries.map(export).collect()
    }

    /// The offset in `entries` of the entry at this index, which must be after the snapshot.
    fn offset(&self, index: u64) -> usize {
        (index - self.snapshot_metadata.index - 1) as usize
    }
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState { hard_state: self.hard_state.clone(), conf_state: self.conf_state.clone() })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.snapshot_metadata.index {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last_entry_index() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let mut entries: Vec<Entry> =
            self.entries.range(self.offset(low)..self.offset(high)).cloned().collect();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.snapshot_metadata.index {
            return Ok(self.snapshot_metadata.term);
        }
        if index < self.snapshot_metadata.index {
            return Err(Error::Store(StorageError::Compacted));
        }
        let entry = self.entries.get(self.offset(index));
        entry.map(|entry| entry.term).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.snapshot_metadata.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last_entry_index())
    }

    fn snapshot(&self, request_index: u64, to: u64) -> raft::Result<Snapshot> {
        let conf_state = self.snapshot_metadata.get_conf_state();
        let members = [&conf_state.voters, &conf_state.learners, &conf_state.learners_next];
        let includes_receiver = members.iter().any(|ids| ids.contains(&to));
        // A member that requests a snapshot by itself had no disk space for the previous one: it gets one
        // that includes all entries committed by now.
        let requested = if request_index > 0 { self.hard_state.commit.max(request_index) } else { 0 };
        let min_index = match self.requested_snapshot.get() {
            // A snapshot from before the receiver was admitted is of no use to the receiver.
            0 if !includes_receiver => self.snapshot_metadata.index + 1,
            0 => requested,
            pending => pending,
        };
        if self.snapshot_metadata.index < min_index {
            self.requested_snapshot.set(min_index);
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        self.requested_snapshot.set(0);
        let mut snapshot = Snapshot::default();
        snapshot.set_metadata(self.snapshot_metadata.clone());
        snapshot.data = postcard::to_allocvec(&self.manifest).unwrap_or_default().into();
        Ok(snapshot)
    }
}
