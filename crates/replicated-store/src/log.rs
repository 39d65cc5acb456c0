//! The library's storage: what is in memory is what the disk has or will have, and each change gives the batch for it.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;

use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot, SnapshotMetadata};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};
use serde::{Deserialize, Serialize};
use umberloom_store::{Row, WriteBatch};

use crate::entry::{digest, Digest};
use crate::state::State;

/// The spaces of the store: what this copy is, the log by index, the snapshot in pieces, pieces that are still coming.
pub const KEYSPACES: [u8; 4] = [1, 2, 3, 4];
const IDENTITY: u8 = KEYSPACES[0];
const ENTRIES: u8 = KEYSPACES[1];
const SNAPSHOT: u8 = KEYSPACES[2];
const INCOMING_CHUNKS: u8 = KEYSPACES[3];
/// Bytes of one piece of a snapshot, on disk and between members.
pub const CHUNK_BYTES: usize = 32 << 10;

/// Snapshots from before that are kept in memory.
const MAX_PREVIOUS_SNAPSHOTS: usize = 2;

/// Which copy this is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaIdentity {
    /// The record; 0 while it has joined none.
    pub store_id: u64,
    /// Its own number, drawn when it began; 0 is none.
    pub replica_id: u64,
    /// The server that it belongs to, so that a folder that was copied to another is seen.
    pub server: String,
    /// How often a process has begun with it.
    pub starts: u64,
}

/// A snapshot's identity, as it goes to others in place of the bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Of all bytes.
    pub digest: Digest,
    /// How many.
    pub length: u64,
}

impl Manifest {
    /// Of these bytes.
    pub fn of(bytes: &[u8]) -> Manifest {
        Manifest { digest: digest(&[bytes]), length: bytes.len() as u64 }
    }

    /// In how many pieces it goes.
    pub fn chunk_count(&self) -> u32 {
        (self.length as usize).div_ceil(CHUNK_BYTES) as u32
    }
}

/// What a store holds of a record.
#[derive(Clone, Debug, Default)]
pub struct StoredReplica {
    /// Which copy.
    pub identity: ReplicaIdentity,
    hard_state: HardState,
    snapshot_metadata: SnapshotMetadata,
    /// The state of the snapshot, its bytes and what they are known by.
    pub state: Option<State>,
    snapshot_bytes: Vec<u8>,
    manifest: Manifest,
    entries: VecDeque<Entry>,
    /// Pieces that had come of a snapshot under way.
    pub incoming_chunks: Vec<(Digest, u32, Vec<u8>)>,
}

impl StoredReplica {
    /// From all rows of [`SPACES`]; `Ok(None)`: there is no copy; an error says what makes no sense. It may take long, so
    /// whoever reads the disk does it, and not who decides.
    pub fn read(rows: Vec<(u8, Vec<Row>)>) -> Result<Option<StoredReplica>, String> {
        let (mut image, mut found, mut state) = (StoredReplica::default(), false, Vec::new());
        let mut entries = Vec::new();
        for (space, rows) in rows {
            match space {
                IDENTITY => {
                    for (name, value) in rows {
                        match name.as_slice() {
                            b"copy" => {
                                image.identity =
                                    postcard::from_bytes(&value).map_err(|e| format!("copy: {e}"))?;
                                found = true;
                            }
                            b"hard" => {
                                let hard = HardState::parse_from_bytes(&value);
                                image.hard_state = hard.map_err(|e| format!("hard: {e}"))?;
                            }
                            b"snapshot" => {
                                let meta = SnapshotMetadata::parse_from_bytes(&value);
                                image.snapshot_metadata = meta.map_err(|e| format!("snapshot: {e}"))?;
                            }
                            _ => {}
                        }
                    }
                }
                SNAPSHOT => state = rows.into_iter().flat_map(|(_, piece)| piece).collect(),
                ENTRIES => entries = rows,
                INCOMING_CHUNKS => {
                    for (name, piece) in rows {
                        if let Some((digest, number)) = name.split_first_chunk::<16>() {
                            let number = number.try_into().map(u32::from_be_bytes).unwrap_or(u32::MAX);
                            image.incoming_chunks.push((*digest, number, piece));
                        }
                    }
                }
                _ => {}
            }
        }
        for (_, value) in entries {
            let entry = Entry::parse_from_bytes(&value).map_err(|e| format!("an entry: {e}"))?;
            let wanted =
                image.entries.back().map_or(image.snapshot_metadata.index + 1, |last| last.index + 1);
            if entry.index != wanted && entry.index > image.snapshot_metadata.index {
                return Err(format!("entry {} where {wanted} was expected", entry.index));
            }
            if entry.index > image.snapshot_metadata.index {
                image.entries.push_back(entry);
            }
        }
        if !state.is_empty() {
            image.state = Some(State::from_bytes(&state).ok_or("the state can't be read")?);
            (image.manifest, image.snapshot_bytes) = (Manifest::of(&state), state);
        }
        Ok(found.then_some(image))
    }

    /// The last entry, and the term that it had seen.
    pub fn last(&self) -> (u64, u64) {
        (self.hard_state.term, self.entries.back().map_or(self.snapshot_metadata.index, |e| e.index))
    }
}

/// The row that says which copy this is.
pub fn identity_batch(copy: &ReplicaIdentity) -> WriteBatch {
    WriteBatch::new().put(IDENTITY, b"copy", &postcard::to_allocvec(copy).unwrap_or_default())
}

/// The row of a piece that has come.
pub fn chunk_batch(of: &Digest, number: u32, bytes: &[u8]) -> WriteBatch {
    WriteBatch::new().put(INCOMING_CHUNKS, &[&of[..], &number.to_be_bytes()].concat(), bytes)
}

/// The log in memory.
#[derive(Debug, Default)]
pub struct Log {
    hard_state: HardState,
    conf_state: ConfState,
    snapshot_metadata: SnapshotMetadata,
    snapshot_bytes: Rc<Vec<u8>>,
    manifest: Manifest,
    /// Snapshots from before, for those who still fetch one of them.
    previous_snapshots: VecDeque<(Digest, Rc<Vec<u8>>)>,
    entries: VecDeque<Entry>,
    /// Somebody needs a snapshot of this entry or a later one; 0 is nobody.
    requested_snapshot: Cell<u64>,
}

impl Log {
    /// A new record's, whose first state, after the entry of this index, is known to its founder alone. Whatever rows
    /// there are of another record go.
    pub fn bootstrap(founder: u64, index: u64, state: Vec<u8>) -> (Log, WriteBatch) {
        let mut log = Log::default();
        (log.hard_state.term, log.hard_state.commit) = (1, index);
        let mut conf = ConfState::default();
        conf.voters.push(founder);
        let mut meta = SnapshotMetadata::default();
        (meta.index, meta.term) = (index, 1);
        meta.set_conf_state(conf);
        let gone = WriteBatch::new().remove_range(ENTRIES, &[0], &[255; 9]).remove_range(
            INCOMING_CHUNKS,
            &[0],
            &[255; 21],
        );
        let batch = gone.then(log.put_snapshot(meta, Rc::new(state))).then(log.hard_state_batch());
        (log, batch)
    }

    /// As it was on disk.
    pub fn load(image: StoredReplica) -> Log {
        let StoredReplica {
            mut hard_state, snapshot_metadata, snapshot_bytes: bytes, manifest, entries, ..
        } = image;
        // A commit index alone is not made durable, and a snapshot is of what was agreed on.
        hard_state.commit = hard_state.commit.max(snapshot_metadata.index);
        let conf_state = snapshot_metadata.get_conf_state().clone();
        Log {
            hard_state,
            conf_state,
            snapshot_metadata,
            snapshot_bytes: Rc::new(bytes),
            manifest,
            entries,
            ..Log::default()
        }
    }

    fn hard_state_batch(&self) -> WriteBatch {
        WriteBatch::new().put(IDENTITY, b"hard", &self.hard_state.write_to_bytes().unwrap_or_default())
    }

    /// Takes up what a step of the library wants to be durable.
    pub fn append(&mut self, entries: Vec<Entry>, hard: Option<&HardState>) -> WriteBatch {
        let mut batch = WriteBatch::new();
        if let Some(first) = entries.first().map(|e| e.index) {
            let known = self.last_entry_index();
            // What stood there before was never committed.
            self.entries.truncate((first.saturating_sub(self.snapshot_metadata.index + 1)) as usize);
            if known >= first {
                batch = batch.remove_range(ENTRIES, &first.to_be_bytes(), &(known + 1).to_be_bytes());
            }
        }
        for entry in entries {
            batch =
                batch.put(ENTRIES, &entry.index.to_be_bytes(), &entry.write_to_bytes().unwrap_or_default());
            self.entries.push_back(entry);
        }
        if let Some(hard) = hard {
            self.hard_state = hard.clone();
            batch = batch.then(self.hard_state_batch());
        }
        batch
    }

    /// Who votes and learns from now on.
    pub fn set_conf_state(&mut self, conf: ConfState) {
        self.conf_state = conf;
    }

    /// Who votes and learns.
    pub fn conf_state(&self) -> &ConfState {
        &self.conf_state
    }

    /// Replaces everything up to its index by a snapshot that came.
    pub fn install(&mut self, meta: SnapshotMetadata, state: Rc<Vec<u8>>) -> WriteBatch {
        let (first, last) = (self.snapshot_metadata.index, self.last_entry_index());
        self.entries.clear();
        self.hard_state.commit = self.hard_state.commit.max(meta.index);
        self.hard_state.term = self.hard_state.term.max(meta.term);
        let gone = WriteBatch::new().remove_range(ENTRIES, &first.to_be_bytes(), &(last + 1).to_be_bytes());
        let done = gone.remove_range(INCOMING_CHUNKS, &[0], &[255; 21]);
        done.then(self.put_snapshot(meta, state)).then(self.hard_state_batch())
    }

    fn put_snapshot(&mut self, meta: SnapshotMetadata, state: Rc<Vec<u8>>) -> WriteBatch {
        self.conf_state = meta.get_conf_state().clone();
        let row = meta.write_to_bytes().unwrap_or_default();
        let mut batch =
            WriteBatch::new().remove_range(SNAPSHOT, &[0], &[255; 5]).put(IDENTITY, b"snapshot", &row);
        for (number, piece) in (0u32..).zip(state.chunks(CHUNK_BYTES)) {
            batch = batch.put(SNAPSHOT, &number.to_be_bytes(), piece);
        }
        self.previous_snapshots.push_back((self.manifest.digest, self.snapshot_bytes.clone()));
        if self.previous_snapshots.len() > MAX_PREVIOUS_SNAPSHOTS {
            self.previous_snapshots.pop_front();
        }
        (self.snapshot_metadata, self.manifest, self.snapshot_bytes) = (meta, Manifest::of(&state), state);
        batch
    }

    /// Makes a snapshot of the state after `applied`, and takes the entries up to there out.
    pub fn compact(&mut self, applied: u64, state: Vec<u8>) -> WriteBatch {
        let Ok(term) = self.term(applied) else { return WriteBatch::new() };
        let first = self.snapshot_metadata.index + 1;
        self.entries.drain(..(applied - self.snapshot_metadata.index) as usize);
        let mut meta = SnapshotMetadata::default();
        (meta.index, meta.term) = (applied, term);
        meta.set_conf_state(self.conf_state.clone());
        let gone =
            WriteBatch::new().remove_range(ENTRIES, &first.to_be_bytes(), &(applied + 1).to_be_bytes());
        gone.then(self.put_snapshot(meta, Rc::new(state)))
    }

    /// Whether a member waits for a newer snapshot.
    pub fn is_snapshot_requested(&self) -> bool {
        self.requested_snapshot.get() > self.snapshot_metadata.index
    }

    /// The last entry.
    pub fn last_entry_index(&self) -> u64 {
        self.entries.back().map_or(self.snapshot_metadata.index, |e| e.index)
    }

    /// Entries since the snapshot, and their bytes.
    pub fn size(&self) -> (u64, u64) {
        let bytes = self.entries.iter().map(|e| e.data.len() as u64).sum();
        (self.entries.len() as u64, bytes)
    }

    /// The term that is durable, and the vote.
    pub fn hard_state(&self) -> &HardState {
        &self.hard_state
    }

    /// The snapshot: its index, what it is known by, and its bytes.
    pub fn latest_snapshot(&self) -> (u64, Manifest, Rc<Vec<u8>>) {
        (self.snapshot_metadata.index, self.manifest, self.snapshot_bytes.clone())
    }

    /// The bytes of the snapshot with this digest, if it is the last one or one shortly before.
    pub fn snapshot_with_digest(&self, digest: &Digest) -> Option<Rc<Vec<u8>>> {
        if self.manifest.digest == *digest {
            return Some(self.snapshot_bytes.clone());
        }
        self.previous_snapshots.iter().find(|(older, _)| older == digest).map(|(_, state)| state.clone())
    }

    /// What an operator's export holds: index, kind (0: content) and bytes of each entry since the snapshot, up to this one.
    pub fn entries_through(&self, last: u64) -> Vec<(u64, u64, Vec<u8>)> {
        let one = |e: &Entry| (e.index, e.get_entry_type() as u64, e.data.to_vec());
        self.entries.iter().take_while(|e| e.index <= last).map(one).collect()
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
        let range = (low - self.snapshot_metadata.index - 1) as usize
            ..(high - self.snapshot_metadata.index - 1) as usize;
        let mut found: Vec<Entry> = self.entries.range(range).cloned().collect();
        raft::util::limit_size(&mut found, max_size.into());
        Ok(found)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.snapshot_metadata.index {
            return Ok(self.snapshot_metadata.term);
        }
        if index < self.snapshot_metadata.index {
            return Err(Error::Store(StorageError::Compacted));
        }
        let entry = self.entries.get((index - self.snapshot_metadata.index - 1) as usize);
        entry.map(|e| e.term).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.snapshot_metadata.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last_entry_index())
    }

    fn snapshot(&self, request_index: u64, to: u64) -> raft::Result<Snapshot> {
        // One from before a member was taken in means nothing to it.
        let conf = self.snapshot_metadata.get_conf_state();
        let knows = [&conf.voters, &conf.learners, &conf.learners_next].iter().any(|ids| ids.contains(&to));
        // One that asks by itself has no room for what there was when it last tried: it gets what there is now.
        let asked = if request_index > 0 { self.hard_state.commit.max(request_index) } else { 0 };
        let needed = match self.requested_snapshot.get() {
            0 if !knows => self.snapshot_metadata.index + 1,
            0 => asked,
            before => before,
        };
        if self.snapshot_metadata.index < needed {
            self.requested_snapshot.set(needed);
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        self.requested_snapshot.set(0);
        let mut snapshot = Snapshot::default();
        snapshot.set_metadata(self.snapshot_metadata.clone());
        snapshot.data = postcard::to_allocvec(&self.manifest).unwrap_or_default().into();
        Ok(snapshot)
    }
}
