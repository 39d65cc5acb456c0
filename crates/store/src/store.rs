//! Rows by key in one file, with one writer.

use std::any::Any;
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use redb::{Database, ReadableDatabase, TableDefinition};

use crate::backend::{FileBackend, OverlayBackend};
use crate::disk::{Disk, DiskFile};
use crate::error::StoreError;

/// The newest form that this program writes and reads. It changes with what the rows of a store mean as a whole; what
/// one row means is its owner's affair.
pub const FORMAT_VERSION: u32 = 1;
/// Copies that were set aside are numbered up to here; then none is set aside any more, and the store stays closed.
const MAX_QUARANTINED_FILES: u32 = 16;
/// Bytes of the digest before each value.
const DIGEST_BYTES: usize = 16;
/// Memory for pages: what a record of some MiB reads again and again.
const CACHE_BYTES: usize = 4 << 20;

const ROWS: TableDefinition<&[u8], &[u8]> = TableDefinition::new("rows");
/// Space 0 is the store's own.
const FORMAT_KEY: &[u8] = b"\0form";
const GENERATION_KEY: &[u8] = b"\0generation";

/// Brings a store from one form to the next: what to change, given what it holds.
pub type Migration = fn(&Store) -> Result<WriteBatch, StoreError>;

/// Where a store is, and how large it may become.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its folder, made if it is not there.
    pub directory: PathBuf,
    /// Bytes of rows that it holds at most; the file may be about twice as large between two compactions.
    pub max_bytes: u64,
    /// The form that this program writes.
    pub format_version: u32,
    /// Ways up: the first from form 1 to form 2, and so on. One fewer than `form`.
    pub migrations: Vec<Migration>,
}

impl Config {
    /// In this folder, with up to 256 MiB.
    pub fn new(folder: impl Into<PathBuf>) -> Config {
        Config {
            directory: folder.into(),
            max_bytes: 256 << 20,
            format_version: FORMAT_VERSION,
            migrations: Vec::new(),
        }
    }

    /// The file with the rows.
    pub fn file(&self) -> PathBuf {
        self.directory.join("rows.redb")
    }
}

/// Changes that happen together or not at all, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteBatch {
    changes: Vec<Change>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Change {
    Put(Vec<u8>, Vec<u8>),
    Remove(Vec<u8>),
    /// From the first key up to the second, that one not included.
    RemoveRange(Vec<u8>, Vec<u8>),
}

fn key(space: u8, name: &[u8]) -> Vec<u8> {
    // Space 0 is the store's own, so that no owner can write over its form.
    let mut key = Vec::with_capacity(name.len() + 1);
    key.push(space.max(1));
    key.extend_from_slice(name);
    key
}

impl WriteBatch {
    /// Nothing yet.
    pub fn new() -> WriteBatch {
        WriteBatch::default()
    }

    /// Writes a row; `space` is from 1 to 255.
    pub fn put(mut self, space: u8, name: &[u8], value: &[u8]) -> WriteBatch {
        self.changes.push(Change::Put(key(space, name), value.to_vec()));
        self
    }

    /// Takes a row out.
    pub fn remove(mut self, space: u8, name: &[u8]) -> WriteBatch {
        self.changes.push(Change::Remove(key(space, name)));
        self
    }

    /// Takes out the rows from `from` up to `to`, that one not included.
    pub fn remove_range(mut self, space: u8, from: &[u8], to: &[u8]) -> WriteBatch {
        self.changes.push(Change::RemoveRange(key(space, from), key(space, to)));
        self
    }

    /// Another batch, after this one.
    pub fn then(mut self, other: WriteBatch) -> WriteBatch {
        self.changes.extend(other.changes);
        self
    }

    /// Whether it changes nothing.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Bytes that it brings.
    pub fn bytes(&self) -> u64 {
        let one = |change: &Change| match change {
            Change::Put(key, value) => (key.len() + value.len() + DIGEST_BYTES) as u64,
            Change::Remove(key) => key.len() as u64,
            Change::RemoveRange(from, to) => (from.len() + to.len()) as u64,
        };
        self.changes.iter().map(one).sum()
    }
}

/// A row: the name within its space, and the value.
pub type Row = (Vec<u8>, Vec<u8>);

/// Rows that outlive the process. What was committed is durable.
pub struct Store {
    database: Database,
    config: Config,
    generation: u64,
    bytes: u64,
    _lock: Box<dyn Any + Send>,
}

impl std::fmt::Debug for Store {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let Store { config, generation, bytes, .. } = self;
        f.debug_struct("Store")
            .field("folder", &config.directory)
            .field("generation", generation)
            .field("bytes", bytes)
            .finish_non_exhaustive()
    }
}

/// What the embedded store's error means here.
fn store_error(file: &Path, doing: &'static str, error: impl Into<redb::Error>) -> StoreError {
    let file = file.to_owned();
    match error.into() {
        redb::Error::Io(why) if why.kind() == ErrorKind::InvalidData => {
            StoreError::Damaged { file, location: "whole".to_owned(), reason: why.to_string() }
        }
        redb::Error::Io(why) if why.kind() == ErrorKind::UnexpectedEof => {
            StoreError::Damaged { file, location: "whole".to_owned(), reason: "it ends too soon".to_owned() }
        }
        redb::Error::Io(why) => StoreError::Io { operation: doing, file, source: why },
        redb::Error::PreviousIo => StoreError::Io {
            operation: doing,
            file,
            source: io::Error::other("an operation before this one failed"),
        },
        redb::Error::DatabaseAlreadyOpen => StoreError::Locked(file),
        other => StoreError::Damaged { file, location: "whole".to_owned(), reason: other.to_string() },
    }
}

/// What reads a damaged file may fail an assertion inside; that is damage found, not a reason to end.
fn catch_damage<T>(file: &Path, act: impl FnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
    crate::panic_guard::catch_panic(act).unwrap_or_else(|what| {
        Err(StoreError::Damaged { file: file.to_owned(), location: "whole".to_owned(), reason: what })
    })
}

fn digest(key: &[u8], value: &[u8]) -> [u8; DIGEST_BYTES] {
    // The key is part of it, so that a value in another's place is seen as well.
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(key.len() as u32).to_le_bytes()).update(key).update(value);
    let mut first = [0; DIGEST_BYTES];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..DIGEST_BYTES]);
    first
}

impl Store {
    /// Opens the store of a folder, or makes it. What is found is checked whole before anything is written.
    pub fn open(disk: &dyn Disk, config: &Config) -> Result<Store, StoreError> {
        let (folder, file) = (&config.directory, config.file());
        let io = |doing, path: &Path| {
            let path = path.to_owned();
            move |why: io::Error| match why.kind() {
                ErrorKind::WouldBlock => StoreError::Locked(path),
                ErrorKind::NotADirectory | ErrorKind::AlreadyExists => StoreError::NotADirectory(path),
                _ => StoreError::Io { operation: doing, file: path, source: why },
            }
        };
        disk.create_directory(folder).map_err(io("make the folder", folder))?;
        let lock = folder.join("lock");
        let lock = disk.lock(&lock).map_err(io("lock", &lock))?;
        if !disk.exists(&file) {
            Store::create(disk, config)?;
        }
        let medium = disk.open(&file, false).map_err(io("open", &file))?;
        Store::check_file(&medium, &file)?;
        let database = catch_damage(&file, || {
            let made =
                Database::builder().set_cache_size(CACHE_BYTES).create_with_backend(FileBackend(medium));
            made.map_err(|e| store_error(&file, "open", e))
        })?;
        let mut store = Store { database, config: config.clone(), generation: 0, bytes: 0, _lock: lock };
        store.load_and_migrate()?;
        Ok(store)
    }

    /// Makes an empty one under another name first: one that a power cut has left half made would look like damage.
    fn create(disk: &dyn Disk, config: &Config) -> Result<(), StoreError> {
        let (file, half) = (config.file(), config.directory.join("rows.new"));
        let fail = |doing| {
            let file = half.clone();
            move |why| StoreError::Io { operation: doing, file, source: why }
        };
        let medium = disk.open(&half, true).map_err(fail("make"))?;
        medium.set_len(0).map_err(fail("empty"))?;
        let made =
            Database::builder().set_cache_size(CACHE_BYTES).create_with_backend(FileBackend(medium.clone()));
        drop(made.map_err(|e| store_error(&half, "make", e))?);
        medium.sync().map_err(fail("sync"))?;
        disk.rename(&half, &file).map_err(fail("rename"))?;
        disk.sync_directory(&config.directory).map_err(fail("sync the folder of"))
    }

    /// Whether the file is sound, without writing to it.
    fn check_file(medium: &Arc<dyn DiskFile>, file: &Path) -> Result<(), StoreError> {
        let damaged = |what: &str| StoreError::Damaged {
            file: file.to_owned(),
            location: "whole".to_owned(),
            reason: what.to_owned(),
        };
        if medium.is_empty().map_err(|why| StoreError::Io {
            operation: "read",
            file: file.to_owned(),
            source: why,
        })? {
            return Err(damaged("it is empty"));
        }
        catch_damage(file, || {
            let overlay = OverlayBackend::new(medium.clone()).map_err(|why| StoreError::Io {
                operation: "read",
                file: file.to_owned(),
                source: why,
            })?;
            let database = Database::builder().set_cache_size(CACHE_BYTES).create_with_backend(overlay);
            let mut database = database.map_err(|e| store_error(file, "read", e))?;
            match database.check_integrity() {
                Ok(true) => Ok(()),
                // It could be brought back to an earlier commit; that would lose what was told to be durable.
                Ok(false) => Err(damaged("its digests do not fit")),
                Err(e) => Err(store_error(file, "read", e)),
            }
        })
    }

    fn load_and_migrate(&mut self) -> Result<(), StoreError> {
        let number = |bytes: Vec<u8>| bytes.try_into().map(u64::from_le_bytes).unwrap_or(0);
        let form = self.get_by_key(FORMAT_KEY)?.map(number);
        self.generation = self.get_by_key(GENERATION_KEY)?.map_or(0, number);
        let (found, known) = (form.unwrap_or(0) as u32, self.config.format_version);
        if found > known {
            return Err(StoreError::UnsupportedFormat { file: self.config.file(), found, known });
        }
        self.bytes = self.count_bytes()?;
        if found == 0 {
            return self.write(&WriteBatch::new(), known, 0);
        }
        for form in found..known {
            let step = self.config.migrations.get(form as usize - 1).copied();
            let batch = step.map_or_else(|| Ok(WriteBatch::new()), |step| step(self))?;
            self.write(&batch, form + 1, self.generation)?;
        }
        Ok(())
    }

    /// Bytes of all rows; each is read and so checked.
    fn count_bytes(&self) -> Result<u64, StoreError> {
        let mut bytes = 0;
        self.for_each_row(&[], None, &mut |key, value| {
            bytes += (key.len() + value.len() + DIGEST_BYTES) as u64;
            true
        })?;
        Ok(bytes)
    }

    /// Changes rows, all of them or none, and returns once that is durable. After an error of the system the store has to
    /// be opened again: whether the batch is there is then seen.
    pub fn commit(&mut self, batch: WriteBatch) -> Result<u64, StoreError> {
        self.write(&batch, self.config.format_version, self.generation + 1)?;
        Ok(self.generation)
    }

    fn write(&mut self, batch: &WriteBatch, form: u32, generation: u64) -> Result<(), StoreError> {
        let file = self.config.file();
        let doing = "commit";
        let (mut bytes, most) = (self.bytes as i64, self.config.max_bytes);
        catch_damage(&file, || {
            let fail = |e: redb::Error| store_error(&file, doing, e);
            let mut transaction = self.database.begin_write().map_err(|e| fail(e.into()))?;
            // Two syncs a commit: the second flips to the new state only once all of it is durable, so that a state whose
            // digests do not fit is damage, and never taken for a cut that can be rolled back.
            transaction.set_two_phase_commit(true);
            transaction.set_quick_repair(true);
            {
                let mut rows = transaction.open_table(ROWS).map_err(|e| fail(e.into()))?;
                let size = |key: usize, value: usize| (key + value) as i64;
                for change in &batch.changes {
                    match change {
                        Change::Put(key, value) => {
                            let whole = [&digest(key, value)[..], value].concat();
                            let old = rows.insert(key.as_slice(), whole.as_slice());
                            let old = old.map_err(|e| fail(e.into()))?;
                            bytes += size(key.len(), whole.len());
                            bytes -= old.map_or(0, |old| size(key.len(), old.value().len()));
                        }
                        Change::Remove(key) => {
                            let old = rows.remove(key.as_slice()).map_err(|e| fail(e.into()))?;
                            bytes -= old.map_or(0, |old| size(key.len(), old.value().len()));
                        }
                        Change::RemoveRange(from, to) => {
                            let range = from.as_slice()..to.as_slice();
                            if from >= to {
                                continue;
                            }
                            rows.retain_in(range, |key, value| {
                                bytes -= size(key.len(), value.len());
                                false
                            })
                            .map_err(|e| fail(e.into()))?;
                        }
                    }
                }
                for (key, value) in [(FORMAT_KEY, u64::from(form)), (GENERATION_KEY, generation)] {
                    let value = value.to_le_bytes();
                    let whole = [&digest(key, &value)[..], &value].concat();
                    let old = rows.insert(key, whole.as_slice()).map_err(|e| fail(e.into()))?;
                    bytes += size(key.len(), whole.len());
                    bytes -= old.map_or(0, |old| size(key.len(), old.value().len()));
                }
            }
            // What takes out more than it brings is always possible: else a full store could never be less full.
            if bytes > self.bytes as i64 && bytes as u64 > most {
                transaction.abort().map_err(|e| fail(e.into()))?;
                return Err(StoreError::Full { bytes: bytes as u64, max_bytes: most });
            }
            transaction.commit().map_err(|e| fail(e.into()))
        })?;
        (self.bytes, self.generation) = (bytes.max(0) as u64, generation);
        Ok(())
    }

    /// How many commits there have been. Whoever remembers a higher one knows that this store was set back.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Bytes of all rows.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    fn get_by_key(&self, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        let mut found = None;
        let end = [key, &[0]].concat();
        self.for_each_row(key, Some(&end), &mut |_, value| {
            found = Some(value.to_vec());
            false
        })?;
        Ok(found)
    }

    /// A row's value.
    pub fn get(&self, space: u8, name: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        self.get_by_key(&key(space, name))
    }

    /// Rows of a space from `from` up to `to` (all, without it), in the order of their names, until `most` bytes.
    pub fn range(
        &self,
        space: u8,
        from: &[u8],
        to: Option<&[u8]>,
        most: usize,
    ) -> Result<Vec<Row>, StoreError> {
        let end = match to {
            Some(to) => key(space, to),
            None => vec![space.max(1).saturating_add(1)],
        };
        let (mut found, mut bytes) = (Vec::new(), 0);
        self.for_each_row(&key(space, from), Some(&end), &mut |key, value| {
            bytes += key.len() + value.len();
            if bytes > most && !found.is_empty() {
                return false;
            }
            found.push((key[1..].to_vec(), value.to_vec()));
            true
        })?;
        Ok(found)
    }

    /// Shows rows until one is enough; a value that is not what was written is damage at that row.
    fn for_each_row(
        &self,
        from: &[u8],
        to: Option<&[u8]>,
        show: &mut dyn FnMut(&[u8], &[u8]) -> bool,
    ) -> Result<(), StoreError> {
        let file = self.config.file();
        catch_damage(&file, || {
            let fail = |e: redb::Error| store_error(&file, "read", e);
            let read = self.database.begin_read().map_err(|e| fail(e.into()))?;
            let rows = match read.open_table(ROWS) {
                Ok(rows) => rows,
                Err(redb::TableError::TableDoesNotExist(_)) => return Ok(()),
                Err(e) => return Err(fail(e.into())),
            };
            let range = match to {
                Some(to) if from >= to => return Ok(()),
                Some(to) => rows.range(from..to),
                None => rows.range(from..),
            };
            for row in range.map_err(|e| fail(e.into()))? {
                let (name, whole) = row.map_err(|e| fail(e.into()))?;
                let (name, whole) = (name.value(), whole.value());
                let sound =
                    whole.split_at_checked(DIGEST_BYTES).filter(|(d, value)| **d == digest(name, value));
                let Some((_, value)) = sound else {
                    let place = format!("row {}", name.escape_ascii());
                    let what = "its digest does not fit".to_owned();
                    return Err(StoreError::Damaged { file: file.clone(), location: place, reason: what });
                };
                if !show(name, value) {
                    return Ok(());
                }
            }
            Ok(())
        })
    }

    /// Reads everything and compares all digests: what a medium has done to rows that nobody reads.
    pub fn scrub(&mut self) -> Result<(), StoreError> {
        let file = self.config.file();
        self.count_bytes()?;
        catch_damage(&file, || match self.database.check_integrity() {
            Ok(true) => Ok(()),
            Ok(false) => Err(StoreError::Damaged {
                file: file.clone(),
                location: "whole".to_owned(),
                reason: "its digests do not fit".to_owned(),
            }),
            Err(e) => Err(store_error(&file, "read", e)),
        })
    }

    /// Gives back what removed rows have left free.
    pub fn compact(&mut self) -> Result<(), StoreError> {
        let file = self.config.file();
        catch_damage(&file, || {
            self.database.compact().map(drop).map_err(|e| store_error(&file, "compact", e))
        })
    }

    /// Gives a store that can't be read another name, so that a new one can begin and the old one stays for the operator;
    /// says which name.
    pub fn quarantine(disk: &dyn Disk, config: &Config) -> Result<PathBuf, StoreError> {
        let file = config.file();
        let name = |n: u32| config.directory.join(format!("rows.redb.aside-{n}"));
        let Some(to) = (1..=MAX_QUARANTINED_FILES).map(name).find(|to| !disk.exists(to)) else {
            let why = io::Error::other(format!(
                "{MAX_QUARANTINED_FILES} have been set aside already; move them elsewhere"
            ));
            return Err(StoreError::Io { operation: "set aside", file, source: why });
        };
        let fail = |why| StoreError::Io { operation: "set aside", file: file.clone(), source: why };
        disk.rename(&file, &to).map_err(fail)?;
        disk.sync_directory(&config.directory).map_err(fail)?;
        Ok(to)
    }
}
