//! Reading a replica from the rows of a store.

use std::collections::VecDeque;

use protobuf::Message as _;
use raft::eraftpb::{Entry, HardState, SnapshotMetadata};
use thiserror::Error;
use umberloom_store::Row;

use super::{
    LogPosition, Manifest, ReplicaIdentity, ENTRIES, HARD_STATE_ROW, IDENTITY, IDENTITY_ROW, INCOMING_CHUNKS,
    SNAPSHOT, SNAPSHOT_METADATA_ROW,
};
use crate::state::State;
use crate::transfer::SnapshotChunk;

/// A replica as read from the on-disk store.
#[derive(Clone, Debug, Default)]
pub struct StoredReplica {
    /// Identity of the replica.
    pub identity: ReplicaIdentity,
    pub(super) hard_state: HardState,
    pub(super) snapshot_metadata: SnapshotMetadata,
    /// The snapshot's state; `None` without a snapshot.
    pub state: Option<State>,
    pub(super) snapshot_bytes: Vec<u8>,
    pub(super) manifest: Manifest,
    pub(super) entries: VecDeque<Entry>,
    /// Chunks of a snapshot whose transfer was not finished.
    pub incoming_chunks: Vec<SnapshotChunk>,
}

/// Why a replica cannot be read from the rows of a store.
#[derive(Debug, Error)]
pub enum StoredReplicaError {
    /// The identity cannot be decoded.
    #[error("the identity of the replica cannot be decoded: {0}")]
    Identity(#[source] postcard::Error),
    /// The Raft hard state cannot be decoded.
    #[error("the Raft hard state cannot be decoded: {0}")]
    HardState(#[source] protobuf::ProtobufError),
    /// The metadata of the snapshot cannot be decoded.
    #[error("the metadata of the snapshot cannot be decoded: {0}")]
    SnapshotMetadata(#[source] protobuf::ProtobufError),
    /// A log entry cannot be decoded.
    #[error("a log entry cannot be decoded: {0}")]
    Entry(#[source] protobuf::ProtobufError),
    /// An entry is missing.
    #[error("found entry {found}, expected entry {expected}")]
    MissingEntry {
        /// Index of the entry that was found.
        found: u64,
        /// Index of the entry that should be in its place.
        expected: u64,
    },
    /// The state of the snapshot cannot be decoded.
    #[error("the state of the snapshot cannot be decoded")]
    State,
    /// The state is not the one that the snapshot's metadata describe.
    #[error("the state after entry {applied}, but the snapshot ends at entry {snapshot}")]
    OtherState {
        /// Index of the last entry that the state includes.
        applied: u64,
        /// Index of the last entry that the snapshot includes by its metadata.
        snapshot: u64,
    },
    /// Entries at the end are missing.
    #[error("entry {commit} is committed, but the last one is {last}")]
    MissingCommitted {
        /// Index of the last entry that is known to be committed.
        commit: u64,
        /// Index of the last entry in the log.
        last: u64,
    },
    /// The terms of the entries are not in order.
    #[error("entry {index} is of term {term}, after an entry of term {previous}")]
    TermsOutOfOrder {
        /// Index of the entry.
        index: u64,
        /// Term of the entry.
        term: u64,
        /// Term of the entry or snapshot before it.
        previous: u64,
    },
}

impl StoredReplica {
    /// Reads a replica from all rows of [`super::KEYSPACES`]; `Ok(None)` if they have no identity. It can
    /// take long, so call it on the thread that reads the disk.
    pub fn read(rows: Vec<(u8, Vec<Row>)>) -> Result<Option<StoredReplica>, StoredReplicaError> {
        let mut stored = StoredReplica::default();
        let mut has_identity = false;
        let mut state = Vec::new();
        let mut entries = Vec::new();
        for (keyspace, rows) in rows {
            match keyspace {
                IDENTITY => has_identity |= stored.read_identity(&rows)?,
                SNAPSHOT => state = rows.into_iter().flat_map(|(_, chunk)| chunk).collect(),
                ENTRIES => entries = rows,
                INCOMING_CHUNKS => stored.incoming_chunks.extend(rows.into_iter().filter_map(read_chunk)),
                _ => {}
            }
        }
        stored.read_entries(&entries)?;
        if !state.is_empty() {
            stored.state = Some(State::from_bytes(&state).ok_or(StoredReplicaError::State)?);
            stored.manifest = Manifest::of(&state);
            stored.snapshot_bytes = state;
        }
        stored.check_consistency()?;
        Ok(has_identity.then_some(stored))
    }

    /// Checks what the Raft library relies on: state, snapshot, entries and hard state fit together.
    fn check_consistency(&self) -> Result<(), StoredReplicaError> {
        let applied = self.state.as_ref().map_or(0, |state| state.applied);
        let snapshot = self.snapshot_metadata.index;
        if applied != snapshot {
            return Err(StoredReplicaError::OtherState { applied, snapshot });
        }
        let (commit, last) = (self.hard_state.commit, self.last_position().index);
        if commit > last {
            return Err(StoredReplicaError::MissingCommitted { commit, last });
        }
        let mut previous = self.snapshot_metadata.term;
        for entry in &self.entries {
            let (index, term) = (entry.index, entry.term);
            if term < previous {
                return Err(StoredReplicaError::TermsOutOfOrder { index, term, previous });
            }
            previous = term;
        }
        Ok(())
    }

    /// Reads the identity and the Raft state. Returns whether the rows have an identity.
    fn read_identity(&mut self, rows: &[Row]) -> Result<bool, StoredReplicaError> {
        let mut has_identity = false;
        for (name, value) in rows {
            match name.as_slice() {
                IDENTITY_ROW => {
                    self.identity = postcard::from_bytes(value).map_err(StoredReplicaError::Identity)?;
                    has_identity = true;
                }
                HARD_STATE_ROW => {
                    self.hard_state =
                        HardState::parse_from_bytes(value).map_err(StoredReplicaError::HardState)?;
                }
                SNAPSHOT_METADATA_ROW => {
                    self.snapshot_metadata = SnapshotMetadata::parse_from_bytes(value)
                        .map_err(StoredReplicaError::SnapshotMetadata)?;
                }
                _ => {}
            }
        }
        Ok(has_identity)
    }

    /// Reads the entries after the snapshot; a gap between them is an error.
    fn read_entries(&mut self, rows: &[Row]) -> Result<(), StoredReplicaError> {
        let snapshot_index = self.snapshot_metadata.index;
        for (_, value) in rows {
            let entry = Entry::parse_from_bytes(value).map_err(StoredReplicaError::Entry)?;
            if entry.index <= snapshot_index {
                continue;
            }
            let expected = self.last_position().index + 1;
            if entry.index != expected {
                return Err(StoredReplicaError::MissingEntry { found: entry.index, expected });
            }
            self.entries.push_back(entry);
        }
        Ok(())
    }

    /// The current term and the index of the last entry.
    pub fn last_position(&self) -> LogPosition {
        let last_index = self.entries.back().map_or(self.snapshot_metadata.index, |entry| entry.index);
        LogPosition { term: self.hard_state.term, index: last_index }
    }
}

/// Decodes a chunk from its row, whose key is the digest of the snapshot and the index of the chunk. A
/// malformed index becomes `u32::MAX`, which no snapshot has.
fn read_chunk((name, bytes): Row) -> Option<SnapshotChunk> {
    let (digest, index) = name.split_first_chunk::<16>()?;
    let index = index.try_into().map_or(u32::MAX, u32::from_be_bytes);
    Some(SnapshotChunk { digest: *digest, index, bytes })
}
