//! The library's storage: what is in memory is what the disk has or will have, and each change gives the batch for it.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;

use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot, SnapshotMetadata};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};
use serde::{Deserialize, Serialize};
use umberloom_store::{Batch, Row};

use crate::entry::{digest, Digest};
use crate::state::State;

/// The spaces of the store: what this copy is, the log by index, the snapshot in pieces, pieces that are still coming.
pub const SPACES: [u8; 4] = [1, 2, 3, 4];
const COPY: u8 = SPACES[0];
const ENTRIES: u8 = SPACES[1];
const SNAPSHOT: u8 = SPACES[2];
const COMING: u8 = SPACES[3];
/// Bytes of one piece of a snapshot, on disk and between members.
pub const PIECE: usize = 32 << 10;

/// Snapshots from before that are kept in memory.
const OLDER: usize = 2;

/// Which copy this is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Copy {
    /// The record; 0 while it has joined none.
    pub record: u64,
    /// Its own number, drawn when it began; 0 is none.
    pub id: u64,
    /// The server that it belongs to, so that a folder that was copied to another is seen.
    pub name: String,
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
    pub fn pieces(&self) -> u32 {
        (self.length as usize).div_ceil(PIECE) as u32
    }
}

/// What a store holds of a record.
#[derive(Clone, Debug, Default)]
pub struct StoredReplica {
    /// Which copy.
    pub copy: Copy,
    hard: HardState,
    meta: SnapshotMetadata,
    /// The state of the snapshot, its bytes and what they are known by.
    pub state: Option<State>,
    bytes: Vec<u8>,
    manifest: Manifest,
    entries: VecDeque<Entry>,
    /// Pieces that had come of a snapshot under way.
    pub coming: Vec<(Digest, u32, Vec<u8>)>,
}

impl StoredReplica {
    /// From all rows of [`SPACES`]; `Ok(None)`: there is no copy; an error says what makes no sense. It may take long, so
    /// whoever reads the disk does it, and not who decides.
    pub fn read(rows: Vec<(u8, Vec<Row>)>) -> Result<Option<StoredReplica>, String> {
        let (mut image, mut found, mut state) = (StoredReplica::default(), false, Vec::new());
        let mut entries = Vec::new();
        for (space, rows) in rows {
            match space {
                COPY => {
                    for (name, value) in rows {
                        match name.as_slice() {
                            b"copy" => {
                                image.copy =
                                    postcard::from_bytes(&value).map_err(|e| format!("copy: {e}"))?;
                                found = true;
                            }
                            b"hard" => {
                                let hard = HardState::parse_from_bytes(&value);
                                image.hard = hard.map_err(|e| format!("hard: {e}"))?;
                            }
                            b"snapshot" => {
                                let meta = SnapshotMetadata::parse_from_bytes(&value);
                                image.meta = meta.map_err(|e| format!("snapshot: {e}"))?;
                            }
                            _ => {}
                        }
                    }
                }
                SNAPSHOT => state = rows.into_iter().flat_map(|(_, piece)| piece).collect(),
                ENTRIES => entries = rows,
                COMING => {
                    for (name, piece) in rows {
                        if let Some((digest, number)) = name.split_first_chunk::<16>() {
                            let number = number.try_into().map(u32::from_be_bytes).unwrap_or(u32::MAX);
                            image.coming.push((*digest, number, piece));
                        }
                    }
                }
                _ => {}
            }
        }
        for (_, value) in entries {
            let entry = Entry::parse_from_bytes(&value).map_err(|e| format!("an entry: {e}"))?;
            let wanted = image.entries.back().map_or(image.meta.index + 1, |last| last.index + 1);
            if entry.index != wanted && entry.index > image.meta.index {
                return Err(format!("entry {} where {wanted} was expected", entry.index));
            }
            if entry.index > image.meta.index {
                image.entries.push_back(entry);
            }
        }
        if !state.is_empty() {
            image.state = Some(State::read(&state).ok_or("the state can't be read")?);
            (image.manifest, image.bytes) = (Manifest::of(&state), state);
        }
        Ok(found.then_some(image))
    }

    /// The last entry, and the term that it had seen.
    pub fn last(&self) -> (u64, u64) {
        (self.hard.term, self.entries.back().map_or(self.meta.index, |e| e.index))
    }
}

/// The row that says which copy this is.
pub fn copy_batch(copy: &Copy) -> Batch {
    Batch::new().put(COPY, b"copy", &postcard::to_allocvec(copy).unwrap_or_default())
}

/// The row of a piece that has come.
pub fn coming_batch(of: &Digest, number: u32, bytes: &[u8]) -> Batch {
    Batch::new().put(COMING, &[&of[..], &number.to_be_bytes()].concat(), bytes)
}

/// The log in memory.
#[derive(Debug, Default)]
pub struct Log {
    hard: HardState,
    conf: ConfState,
    meta: SnapshotMetadata,
    state: Rc<Vec<u8>>,
    manifest: Manifest,
    /// Snapshots from before, for those who still fetch one of them.
    older: VecDeque<(Digest, Rc<Vec<u8>>)>,
    entries: VecDeque<Entry>,
    /// Somebody needs a snapshot of this entry or a later one; 0 is nobody.
    wanted: Cell<u64>,
}

impl Log {
    /// A new record's, whose first state, after the entry of this index, is known to its founder alone. Whatever rows
    /// there are of another record go.
    pub fn bootstrap(founder: u64, index: u64, state: Vec<u8>) -> (Log, Batch) {
        let mut log = Log::default();
        (log.hard.term, log.hard.commit) = (1, index);
        let mut conf = ConfState::default();
        conf.voters.push(founder);
        let mut meta = SnapshotMetadata::default();
        (meta.index, meta.term) = (index, 1);
        meta.set_conf_state(conf);
        let gone = Batch::new().remove_range(ENTRIES, &[0], &[255; 9]).remove_range(COMING, &[0], &[255; 21]);
        let batch = gone.then(log.put_snapshot(meta, Rc::new(state))).then(log.hard_batch());
        (log, batch)
    }

    /// As it was on disk.
    pub fn load(image: StoredReplica) -> Log {
        let StoredReplica { mut hard, meta, bytes, manifest, entries, .. } = image;
        // A commit index alone is not made durable, and a snapshot is of what was agreed on.
        hard.commit = hard.commit.max(meta.index);
        let conf = meta.get_conf_state().clone();
        Log { hard, conf, meta, state: Rc::new(bytes), manifest, entries, ..Log::default() }
    }

    fn hard_batch(&self) -> Batch {
        Batch::new().put(COPY, b"hard", &self.hard.write_to_bytes().unwrap_or_default())
    }

    /// Takes up what a step of the library wants to be durable.
    pub fn append(&mut self, entries: Vec<Entry>, hard: Option<&HardState>) -> Batch {
        let mut batch = Batch::new();
        if let Some(first) = entries.first().map(|e| e.index) {
            let known = self.last();
            // What stood there before was never committed.
            self.entries.truncate((first.saturating_sub(self.meta.index + 1)) as usize);
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
            self.hard = hard.clone();
            batch = batch.then(self.hard_batch());
        }
        batch
    }

    /// Who votes and learns from now on.
    pub fn set_conf(&mut self, conf: ConfState) {
        self.conf = conf;
    }

    /// Who votes and learns.
    pub fn conf(&self) -> &ConfState {
        &self.conf
    }

    /// Replaces everything up to its index by a snapshot that came.
    pub fn install(&mut self, meta: SnapshotMetadata, state: Rc<Vec<u8>>) -> Batch {
        let (first, last) = (self.meta.index, self.last());
        self.entries.clear();
        self.hard.commit = self.hard.commit.max(meta.index);
        self.hard.term = self.hard.term.max(meta.term);
        let gone = Batch::new().remove_range(ENTRIES, &first.to_be_bytes(), &(last + 1).to_be_bytes());
        let done = gone.remove_range(COMING, &[0], &[255; 21]);
        done.then(self.put_snapshot(meta, state)).then(self.hard_batch())
    }

    fn put_snapshot(&mut self, meta: SnapshotMetadata, state: Rc<Vec<u8>>) -> Batch {
        self.conf = meta.get_conf_state().clone();
        let row = meta.write_to_bytes().unwrap_or_default();
        let mut batch = Batch::new().remove_range(SNAPSHOT, &[0], &[255; 5]).put(COPY, b"snapshot", &row);
        for (number, piece) in (0u32..).zip(state.chunks(PIECE)) {
            batch = batch.put(SNAPSHOT, &number.to_be_bytes(), piece);
        }
        self.older.push_back((self.manifest.digest, self.state.clone()));
        if self.older.len() > OLDER {
            self.older.pop_front();
        }
        (self.meta, self.manifest, self.state) = (meta, Manifest::of(&state), state);
        batch
    }

    /// Makes a snapshot of the state after `applied`, and takes the entries up to there out.
    pub fn compact(&mut self, applied: u64, state: Vec<u8>) -> Batch {
        let Ok(term) = self.term(applied) else { return Batch::new() };
        let first = self.meta.index + 1;
        self.entries.drain(..(applied - self.meta.index) as usize);
        let mut meta = SnapshotMetadata::default();
        (meta.index, meta.term) = (applied, term);
        meta.set_conf_state(self.conf.clone());
        let gone = Batch::new().remove_range(ENTRIES, &first.to_be_bytes(), &(applied + 1).to_be_bytes());
        gone.then(self.put_snapshot(meta, Rc::new(state)))
    }

    /// Whether a member waits for a newer snapshot.
    pub fn is_wanted(&self) -> bool {
        self.wanted.get() > self.meta.index
    }

    /// The last entry.
    pub fn last(&self) -> u64 {
        self.entries.back().map_or(self.meta.index, |e| e.index)
    }

    /// Entries since the snapshot, and their bytes.
    pub fn size(&self) -> (u64, u64) {
        let bytes = self.entries.iter().map(|e| e.data.len() as u64).sum();
        (self.entries.len() as u64, bytes)
    }

    /// The term that is durable, and the vote.
    pub fn hard(&self) -> &HardState {
        &self.hard
    }

    /// The snapshot: its index, what it is known by, and its bytes.
    pub fn snapshot_bytes(&self) -> (u64, Manifest, Rc<Vec<u8>>) {
        (self.meta.index, self.manifest, self.state.clone())
    }

    /// The bytes of the snapshot with this digest, if it is the last one or one shortly before.
    pub fn snapshot_by(&self, digest: &Digest) -> Option<Rc<Vec<u8>>> {
        if self.manifest.digest == *digest {
            return Some(self.state.clone());
        }
        self.older.iter().find(|(older, _)| older == digest).map(|(_, state)| state.clone())
    }

    /// What an operator's export holds: index, kind (0: content) and bytes of each entry since the snapshot, up to this one.
    pub fn entries_to(&self, last: u64) -> Vec<(u64, u64, Vec<u8>)> {
        let one = |e: &Entry| (e.index, e.get_entry_type() as u64, e.data.to_vec());
        self.entries.iter().take_while(|e| e.index <= last).map(one).collect()
    }
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState { hard_state: self.hard.clone(), conf_state: self.conf.clone() })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.meta.index {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let range = (low - self.meta.index - 1) as usize..(high - self.meta.index - 1) as usize;
        let mut found: Vec<Entry> = self.entries.range(range).cloned().collect();
        raft::util::limit_size(&mut found, max_size.into());
        Ok(found)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.meta.index {
            return Ok(self.meta.term);
        }
        if index < self.meta.index {
            return Err(Error::Store(StorageError::Compacted));
        }
        let entry = self.entries.get((index - self.meta.index - 1) as usize);
        entry.map(|e| e.term).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.meta.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, to: u64) -> raft::Result<Snapshot> {
        // One from before a member was taken in means nothing to it.
        let conf = self.meta.get_conf_state();
        let knows = [&conf.voters, &conf.learners, &conf.learners_next].iter().any(|ids| ids.contains(&to));
        // One that asks by itself has no room for what there was when it last tried: it gets what there is now.
        let asked = if request_index > 0 { self.hard.commit.max(request_index) } else { 0 };
        let needed = match self.wanted.get() {
            0 if !knows => self.meta.index + 1,
            0 => asked,
            before => before,
        };
        if self.meta.index < needed {
            self.wanted.set(needed);
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        self.wanted.set(0);
        let mut snapshot = Snapshot::default();
        snapshot.set_metadata(self.meta.clone());
        snapshot.data = postcard::to_allocvec(&self.manifest).unwrap_or_default().into();
        Ok(snapshot)
    }
}
