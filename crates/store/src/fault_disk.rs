//! A disk in memory whose faults are chosen: an operation fails, is cut short, or is the last before a power cut; of what
//! was written since the last sync any part survives, in any order; a sync may be a lie; bits may be turned over.
//!
//! The same seed and the same operations give the same disk, so that a failure found once is a test.

use std::any::Any;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};

use crate::disk::{Disk, DiskFile};

/// Parts of a write survive a power cut by themselves: a sector, as disks write it whole.
const SECTOR: usize = 512;

/// What is to go wrong, by the number of the operation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// At this operation the power is cut: it and all after it fail, until [`SimulatedDisk::cut_power`].
    pub power_cut_at: Option<u64>,
    /// This operation fails with this kind of error and does nothing.
    pub fails: Option<(u64, ErrorKind)>,
    /// This write writes its first half only, and fails.
    pub short_write_at: Option<u64>,
    /// All operations that write fail, with this kind of error.
    pub fail_writes: Option<ErrorKind>,
    /// Syncs return and do nothing.
    pub ignore_syncs: bool,
}

enum FileChange {
    Write(u64, Vec<u8>),
    SetLength(u64),
}

#[derive(Default)]
struct FileState {
    /// What a power cut leaves.
    durable: Vec<u8>,
    /// What has been written since, in order.
    unsynced: Vec<FileChange>,
    /// What a running process reads.
    current: Vec<u8>,
}

fn change(bytes: &mut Vec<u8>, change: &FileChange) {
    match change {
        FileChange::SetLength(len) => bytes.resize(*len as usize, 0),
        FileChange::Write(offset, data) => {
            let (from, to) = (*offset as usize, *offset as usize + data.len());
            if bytes.len() < to {
                bytes.resize(to, 0);
            }
            bytes[from..to].copy_from_slice(data);
        }
    }
}

struct DiskState {
    files: BTreeMap<PathBuf, FileState>,
    directories: BTreeSet<PathBuf>,
    /// Names given since the folder was synced: from, to.
    renamed: Vec<(PathBuf, PathBuf)>,
    locks: BTreeSet<PathBuf>,
    faults: Faults,
    operations: u64,
    power_off: bool,
    /// Counts power cuts: what was opened before one is gone.
    power_cuts: u64,
    bytes_written: u64,
    syncs: u64,
    random: ChaCha8Rng,
}

impl DiskState {
    /// Counts an operation, and says whether it goes wrong.
    fn begin_operation(&mut self, writes: bool) -> io::Result<()> {
        self.operations += 1;
        if self.power_off || self.faults.power_cut_at.is_some_and(|at| self.operations >= at) {
            self.power_off = true;
            return Err(io::Error::other("the power is off"));
        }
        if let Some((at, kind)) = self.faults.fails {
            if at == self.operations {
                return Err(kind.into());
            }
        }
        match self.faults.fail_writes {
            Some(kind) if writes => Err(kind.into()),
            _ => Ok(()),
        }
    }
}

/// The disk; clones are the same one.
#[derive(Clone)]
pub struct FaultInjectingDisk(Arc<Mutex<DiskState>>);

impl FaultInjectingDisk {
    /// An empty one; the seed chooses what survives power cuts.
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

    /// What is to go wrong from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// Operations so far.
    pub fn operations(&self) -> u64 {
        self.state().operations
    }

    /// Bytes written so far.
    pub fn bytes_written(&self) -> u64 {
        self.state().bytes_written
    }

    /// Syncs so far.
    pub fn syncs(&self) -> u64 {
        self.state().syncs
    }

    /// The power goes and comes back: of what was not synced some survives. Faults are over.
    pub fn cut_power(&self) {
        let mut inner = self.state();
        let inner = &mut *inner;
        (inner.power_off, inner.faults) = (false, Faults::default());
        inner.locks.clear();
        inner.power_cuts += 1;
        let random = &mut inner.random;
        // Names that were not synced may be the old ones again, the later ones first.
        let stay = random.random_range(0..=inner.renamed.len());
        for (from, to) in inner.renamed.drain(..).skip(stay).rev() {
            if let Some(node) = inner.files.remove(&to) {
                inner.files.insert(from, node);
            }
        }
        for node in inner.files.values_mut() {
            let mut left = Vec::new();
            for one in node.unsynced.drain(..) {
                match one {
                    FileChange::SetLength(len) => left.push(FileChange::SetLength(len)),
                    // Sectors of a write are on their own; so are writes among each other.
                    FileChange::Write(offset, data) => {
                        let sector = |(n, part): (usize, &[u8])| {
                            FileChange::Write(offset + (n * SECTOR) as u64, part.to_vec())
                        };
                        left.extend(data.chunks(SECTOR).enumerate().map(sector));
                    }
                }
            }
            // Of two writes to one place the later may have come first to the disk, and then be written over.
            let share = random.random_range(0.0..=1.0);
            left.retain(|_| random.random_bool(share));
            if random.random_bool(0.5) {
                for n in (1..left.len()).rev() {
                    left.swap(n, random.random_range(0..=n));
                }
            }
            left.iter().for_each(|one| change(&mut node.durable, one));
            node.current = node.durable.clone();
        }
    }

    /// Goes back to how the disk was at a time before: a backup was put in its place.
    pub fn image(&self) -> BTreeMap<PathBuf, Vec<u8>> {
        self.state().files.iter().map(|(path, node)| (path.clone(), node.current.clone())).collect()
    }

    /// Puts such an image in the place of all files.
    pub fn restore(&self, image: BTreeMap<PathBuf, Vec<u8>>) {
        let node =
            |bytes: Vec<u8>| FileState { durable: bytes.clone(), unsynced: Vec::new(), current: bytes };
        self.state().files = image.into_iter().map(|(path, bytes)| (path, node(bytes))).collect();
    }

    /// Turns a bit over, on the medium and for all who read.
    pub fn flip_bit(&self, file: &Path, byte: usize, bit: u8) {
        if let Some(node) = self.state().files.get_mut(file) {
            for bytes in [&mut node.durable, &mut node.current] {
                if let Some(place) = bytes.get_mut(byte) {
                    *place ^= 1 << bit;
                }
            }
        }
    }

    /// Bytes of a file.
    pub fn file_length(&self, file: &Path) -> usize {
        self.state().files.get(file).map_or(0, |node| node.current.len())
    }
}

impl Disk for FaultInjectingDisk {
    fn create_directory(&self, folder: &Path) -> io::Result<()> {
        let mut inner = self.state();
        inner.begin_operation(true)?;
        if inner.files.contains_key(folder) {
            return Err(ErrorKind::AlreadyExists.into());
        }
        inner.directories.insert(folder.to_owned());
        Ok(())
    }

    fn lock(&self, file: &Path) -> io::Result<Box<dyn Any + Send>> {
        let mut inner = self.state();
        inner.begin_operation(true)?;
        if !inner.locks.insert(file.to_owned()) {
            return Err(ErrorKind::WouldBlock.into());
        }
        Ok(Box::new(LockGuard { disk: self.clone(), file: file.to_owned(), life: inner.power_cuts }))
    }

    fn open(&self, file: &Path, make: bool) -> io::Result<Arc<dyn DiskFile>> {
        let mut inner = self.state();
        inner.begin_operation(false)?;
        if !inner.files.contains_key(file) {
            if !make {
                return Err(ErrorKind::NotFound.into());
            }
            inner.files.insert(file.to_owned(), FileState::default());
        }
        let life = inner.power_cuts;
        Ok(Arc::new(FaultInjectingFile { disk: self.clone(), file: file.to_owned(), life }))
    }

    fn exists(&self, file: &Path) -> bool {
        let inner = self.state();
        inner.files.contains_key(file) || inner.directories.contains(file)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut inner = self.state();
        inner.begin_operation(true)?;
        let node = inner.files.remove(from).ok_or(ErrorKind::NotFound)?;
        inner.files.insert(to.to_owned(), node);
        inner.renamed.push((from.to_owned(), to.to_owned()));
        Ok(())
    }

    fn sync_directory(&self, _: &Path) -> io::Result<()> {
        let mut inner = self.state();
        inner.begin_operation(true)?;
        if !inner.faults.ignore_syncs {
            inner.renamed.clear();
        }
        Ok(())
    }
}

struct LockGuard {
    disk: FaultInjectingDisk,
    file: PathBuf,
    life: u64,
}

impl Drop for LockGuard {
    fn drop(&mut self) {
        let mut inner = self.disk.state();
        if inner.power_cuts == self.life {
            inner.locks.remove(&self.file);
        }
    }
}

struct FaultInjectingFile {
    disk: FaultInjectingDisk,
    file: PathBuf,
    life: u64,
}

impl std::fmt::Debug for FaultInjectingFile {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "simulated {}", self.file.display())
    }
}

impl FaultInjectingFile {
    fn with<T>(&self, writes: bool, act: impl FnOnce(&mut DiskState) -> io::Result<T>) -> io::Result<T> {
        let mut inner = self.disk.state();
        if inner.power_cuts != self.life {
            return Err(io::Error::other("opened before the power was cut"));
        }
        inner.begin_operation(writes)?;
        act(&mut inner)
    }

    fn node<'i>(&self, inner: &'i mut DiskState) -> io::Result<&'i mut FileState> {
        inner.files.get_mut(&self.file).ok_or_else(|| ErrorKind::NotFound.into())
    }

    fn change(&self, one: FileChange) -> io::Result<()> {
        self.with(true, |inner| {
            let short = inner.faults.short_write_at == Some(inner.operations);
            let one = match one {
                FileChange::Write(offset, data) if short => {
                    FileChange::Write(offset, data[..data.len() / 2].to_vec())
                }
                other => other,
            };
            if let FileChange::Write(_, data) = &one {
                inner.bytes_written += data.len() as u64;
            }
            let node = self.node(inner)?;
            change(&mut node.current, &one);
            node.unsynced.push(one);
            if short {
                return Err(ErrorKind::WriteZero.into());
            }
            Ok(())
        })
    }
}

impl DiskFile for FaultInjectingFile {
    fn len(&self) -> io::Result<u64> {
        self.with(false, |inner| Ok(self.node(inner)?.current.len() as u64))
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.with(false, |inner| {
            let from = offset as usize;
            let bytes =
                self.node(inner)?.current.get(from..from + out.len()).ok_or(ErrorKind::UnexpectedEof)?;
            out.copy_from_slice(bytes);
            Ok(())
        })
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.change(FileChange::SetLength(len))
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.change(FileChange::Write(offset, data.to_vec()))
    }

    fn sync(&self) -> io::Result<()> {
        self.with(true, |inner| {
            inner.syncs += 1;
            if inner.faults.ignore_syncs {
                return Ok(());
            }
            let node = self.node(inner)?;
            node.durable = node.current.clone();
            node.unsynced.clear();
            Ok(())
        })
    }
}
