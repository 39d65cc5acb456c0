//! A fault-injecting disk in memory. An operation can fail, be cut short, or be hit by a power cut. Of the
//! data written since the last sync, any subset survives a power cut, in any order. A sync can do nothing,
//! and bits can be flipped.
//!
//! The same seed and the same operations lead to the same disk, so that a failure found once can be
//! reproduced in a test.

use std::any::Any;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};

use crate::disk::{Disk, DiskFile};

/// Size of a sector in bytes. A disk writes a sector atomically; the sectors of one write survive a power cut
/// independently.
const SECTOR_BYTES: usize = 512;

/// Faults to inject. Operations are numbered from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// The power is cut at this operation: it and all later ones fail, until
    /// [`FaultInjectingDisk::cut_power`].
    pub power_cut_at: Option<u64>,
    /// This operation fails without doing anything.
    pub failure: Option<OperationFailure>,
    /// If this operation changes a file, it fails; a write has then written only the first half of its data.
    pub short_write_at: Option<u64>,
    /// All operations that write fail with this kind of error.
    pub fail_writes: Option<ErrorKind>,
    /// Syncs report success without doing anything.
    pub ignore_syncs: bool,
}

/// The failure of one operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OperationFailure {
    /// The number of the operation.
    pub at: u64,
    /// The kind of error.
    pub kind: ErrorKind,
}

/// A change to the contents of a file.
enum FileChange {
    Write { offset: u64, data: Vec<u8> },
    SetLength(u64),
}

impl FileChange {
    fn apply_to(&self, bytes: &mut Vec<u8>) {
        match self {
            FileChange::SetLength(len) => bytes.resize(*len as usize, 0),
            FileChange::Write { offset, data } => {
                let start = *offset as usize;
                let end = start + data.len();
                if bytes.len() < end {
                    bytes.resize(end, 0);
                }
                bytes[start..end].copy_from_slice(data);
            }
        }
    }

    /// Splits the change into parts that survive a power cut independently.
    fn into_sectors(self) -> Vec<FileChange> {
        match self {
            FileChange::Write { offset, data } => {
                let sector = |(index, bytes): (usize, &[u8])| FileChange::Write {
                    offset: offset + (index * SECTOR_BYTES) as u64,
                    data: bytes.to_vec(),
                };
                data.chunks(SECTOR_BYTES).enumerate().map(sector).collect()
            }
            set_length @ FileChange::SetLength(_) => vec![set_length],
        }
    }
}

#[derive(Default)]
struct FileState {
    /// The contents as of the last sync or power cut.
    durable: Vec<u8>,
    /// The changes since the last sync, in order.
    unsynced: Vec<FileChange>,
    /// The contents that a running process reads.
    current: Vec<u8>,
}

impl FileState {
    /// A file whose contents are durable.
    fn synced(bytes: Vec<u8>) -> FileState {
        FileState { durable: bytes.clone(), unsynced: Vec::new(), current: bytes }
    }

    /// Simulates a power cut: some of the unsynced changes survive, in any order.
    fn cut_power(&mut self, random: &mut ChaCha8Rng) {
        let mut surviving: Vec<FileChange> =
            self.unsynced.drain(..).flat_map(FileChange::into_sectors).collect();
        let surviving_share = random.random_range(0.0..=1.0);
        surviving.retain(|_| random.random_bool(surviving_share));
        // Two writes to the same offset may reach the disk in reverse order, so that the earlier one
        // overwrites the later one.
        if random.random_bool(0.5) {
            for index in (1..surviving.len()).rev() {
                surviving.swap(index, random.random_range(0..=index));
            }
        }
        surviving.iter().for_each(|change| change.apply_to(&mut self.durable));
        self.current.clone_from(&self.durable);
    }
}

struct DiskState {
    files: BTreeMap<PathBuf, FileState>,
    directories: BTreeSet<PathBuf>,
    /// Renames since the last sync of the directory, each as old and new path.
    renamed: Vec<(PathBuf, PathBuf)>,
    locks: BTreeSet<PathBuf>,
    faults: Faults,
    /// The number of operations so far.
    operations: u64,
    power_off: bool,
    /// The number of power cuts so far. Files and locks from before a power cut are invalid after it.
    power_cuts: u64,
    bytes_written: u64,
    syncs: u64,
    random: ChaCha8Rng,
}

impl DiskState {
    /// Counts an operation and injects the faults configured for it. `writes` says whether
    /// [`Faults::fail_writes`] applies to it.
    fn begin_operation(&mut self, writes: bool) -> io::Result<()> {
        self.operations += 1;
        if self.power_off || self.faults.power_cut_at.is_some_and(|at| self.operations >= at) {
            self.power_off = true;
            return Err(io::Error::other("the power is off"));
        }
        if let Some(failure) = self.faults.failure.filter(|failure| failure.at == self.operations) {
            return Err(failure.kind.into());
        }
        match self.faults.fail_writes {
            Some(kind) if writes => Err(kind.into()),
            _ => Ok(()),
        }
    }
}

/// A fault-injecting disk; clones share the same disk.
#[derive(Clone)]
pub struct FaultInjectingDisk(Arc<Mutex<DiskState>>);

impl FaultInjectingDisk {
    /// An empty disk; the seed determines what survives power cuts.
    pub fn new(seed: u64) -> FaultInjectingDisk {
        FaultInjectingDisk(Arc::new(Mutex::new(DiskState {
            files: BTreeMap::new(),
            directories: BTreeSet::new(),
            renamed: Vec::new(),
            locks: BTreeSet::new(),
            faults: Faults::default(),
            operations: 0,
            power_off: false,
            power_cuts: 0,
            bytes_written: 0,
            syncs: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        })))
    }

    fn state(&self) -> MutexGuard<'_, DiskState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the faults to inject from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// The number of operations so far.
    pub fn operations(&self) -> u64 {
        self.state().operations
    }

    /// The number of bytes written so far.
    pub fn bytes_written(&self) -> u64 {
        self.state().bytes_written
    }

    /// The number of file syncs so far.
    pub fn syncs(&self) -> u64 {
        self.state().syncs
    }

    /// Cuts the power and restores it: some of the unsynced changes survive. No more faults are injected
    /// afterwards.
    pub fn cut_power(&self) {
        let mut state = self.state();
        let state = &mut *state;
        state.power_off = false;
        state.faults = Faults::default();
        state.locks.clear();
        state.power_cuts += 1;
        // Unsynced renames may be undone, the latest first.
        let surviving = state.random.random_range(0..=state.renamed.len());
        for (from, to) in state.renamed.drain(..).skip(surviving).rev() {
            if let Some(file) = state.files.remove(&to) {
                state.files.insert(from, file);
            }
        }
        for file in state.files.values_mut() {
            file.cut_power(&mut state.random);
        }
    }

    /// A copy of all files with their current contents.
    pub fn image(&self) -> BTreeMap<PathBuf, Vec<u8>> {
        self.state().files.iter().map(|(path, file)| (path.clone(), file.current.clone())).collect()
    }

    /// Replaces all files with those of an image.
    pub fn restore(&self, image: BTreeMap<PathBuf, Vec<u8>>) {
        self.state().files =
            image.into_iter().map(|(path, bytes)| (path, FileState::synced(bytes))).collect();
    }

    /// Flips a bit of a file, in both its durable and its current contents.
    pub fn flip_bit(&self, file: &Path, byte: usize, bit: u8) {
        if let Some(file) = self.state().files.get_mut(file) {
            for bytes in [&mut file.durable, &mut file.current] {
                if let Some(byte) = bytes.get_mut(byte) {
                    *byte ^= 1 << bit;
                }
            }
        }
    }

    /// The length of a file in bytes; 0 if it does not exist.
    pub fn file_length(&self, file: &Path) -> usize {
        self.state().files.get(file).map_or(0, |file| file.current.len())
    }
}

impl Disk for FaultInjectingDisk {
    fn create_directory(&self, directory: &Path) -> io::Result<()> {
        let mut state = self.state();
        state.begin_operation(true)?;
        if state.files.contains_key(directory) {
            return Err(ErrorKind::AlreadyExists.into());
        }
        state.directories.insert(directory.to_owned());
        Ok(())
    }

    fn lock(&self, file: &Path) -> io::Result<Box<dyn Any + Send>> {
        let mut state = self.state();
        state.begin_operation(true)?;
        if !state.locks.insert(file.to_owned()) {
            return Err(ErrorKind::WouldBlock.into());
        }
        Ok(Box::new(LockGuard {
            disk: self.clone(),
            file: file.to_owned(),
            power_cuts_at_open: state.power_cuts,
        }))
    }

    fn open(&self, file: &Path, create: bool) -> io::Result<Arc<dyn DiskFile>> {
        let mut state = self.state();
        state.begin_operation(false)?;
        if !state.files.contains_key(file) {
            if !create {
                return Err(ErrorKind::NotFound.into());
            }
            state.files.insert(file.to_owned(), FileState::default());
        }
        let power_cuts_at_open = state.power_cuts;
        Ok(Arc::new(FaultInjectingFile { disk: self.clone(), file: file.to_owned(), power_cuts_at_open }))
    }

    fn exists(&self, file: &Path) -> bool {
        let state = self.state();
        state.files.contains_key(file) || state.directories.contains(file)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut state = self.state();
        state.begin_operation(true)?;
        let file = state.files.remove(from).ok_or(ErrorKind::NotFound)?;
        state.files.insert(to.to_owned(), file);
        state.renamed.push((from.to_owned(), to.to_owned()));
        Ok(())
    }

    fn sync_directory(&self, _: &Path) -> io::Result<()> {
        let mut state = self.state();
        state.begin_operation(true)?;
        if !state.faults.ignore_syncs {
            state.renamed.clear();
        }
        Ok(())
    }
}

/// A held lock, which is released on drop unless the power was cut meanwhile.
struct LockGuard {
    disk: FaultInjectingDisk,
    file: PathBuf,
    /// The number of power cuts when it was opened.
    power_cuts_at_open: u64,
}

impl Drop for LockGuard {
    fn drop(&mut self) {
        let mut state = self.disk.state();
        if state.power_cuts == self.power_cuts_at_open {
            state.locks.remove(&self.file);
        }
    }
}

struct FaultInjectingFile {
    disk: FaultInjectingDisk,
    file: PathBuf,
    /// The number of power cuts when it was opened.
    power_cuts_at_open: u64,
}

impl std::fmt::Debug for FaultInjectingFile {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "simulated {}", self.file.display())
    }
}

impl FaultInjectingFile {
    /// Runs an operation on the disk; fails if the power was cut since the file was opened.
    fn with_state<T>(
        &self,
        writes: bool,
        operation: impl FnOnce(&mut DiskState) -> io::Result<T>,
    ) -> io::Result<T> {
        let mut state = self.disk.state();
        if state.power_cuts != self.power_cuts_at_open {
            return Err(io::Error::other("opened before the power was cut"));
        }
        state.begin_operation(writes)?;
        operation(&mut state)
    }

    fn file_state<'s>(&self, state: &'s mut DiskState) -> io::Result<&'s mut FileState> {
        state.files.get_mut(&self.file).ok_or_else(|| ErrorKind::NotFound.into())
    }

    fn change(&self, change: FileChange) -> io::Result<()> {
        self.with_state(true, |state| {
            let is_short = state.faults.short_write_at == Some(state.operations);
            let change = match change {
                FileChange::Write { offset, mut data } if is_short => {
                    data.truncate(data.len() / 2);
                    FileChange::Write { offset, data }
                }
                other => other,
            };
            if let FileChange::Write { data, .. } = &change {
                state.bytes_written += data.len() as u64;
            }
            let file = self.file_state(state)?;
            change.apply_to(&mut file.current);
            file.unsynced.push(change);
            if is_short {
                return Err(ErrorKind::WriteZero.into());
            }
            Ok(())
        })
    }
}

impl DiskFile for FaultInjectingFile {
    fn len(&self) -> io::Result<u64> {
        self.with_state(false, |state| Ok(self.file_state(state)?.current.len() as u64))
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.with_state(false, |state| {
            let start = offset as usize;
            let bytes = self
                .file_state(state)?
                .current
                .get(start..start + out.len())
                .ok_or(ErrorKind::UnexpectedEof)?;
            out.copy_from_slice(bytes);
            Ok(())
        })
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.change(FileChange::SetLength(len))
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.change(FileChange::Write { offset, data: data.to_vec() })
    }

    fn sync(&self) -> io::Result<()> {
        self.with_state(true, |state| {
            state.syncs += 1;
            if state.faults.ignore_syncs {
                return Ok(());
            }
            let file = self.file_state(state)?;
            file.durable.clone_from(&file.current);
            file.unsynced.clear();
            Ok(())
        })
    }
}
