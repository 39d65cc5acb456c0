//! The store: rows by key in a single file, with a single writer.

use std::any::Any;
use std::fmt;
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};

use redb::{Database, ReadableDatabase, TableError};

use crate::batch::{end_of_space, row_key, WriteBatch};
use crate::database::{self, catch_damage, check_row, store_error, RowWriter, DIGEST_BYTES, ROWS};
use crate::disk::Disk;
use crate::error::StoreError;

/// The newest format version that this program writes and reads. It changes when the layout of the rows as a
/// whole changes; the format of a single row is up to the code that writes it.
pub const FORMAT_VERSION: u32 = 1;
/// Maximum number of quarantined files. When it is reached, no further file is quarantined and the store
/// stays closed.
const MAX_QUARANTINED_FILES: u32 = 16;

/// Key of the format version, in space 0, which holds the store's own metadata.
const FORMAT_KEY: &[u8] = b"\0form";
/// Key of the generation, in space 0.
const GENERATION_KEY: &[u8] = b"\0generation";

/// A migration from one format version to the next: returns the changes to make to a store.
pub type Migration = fn(&Store) -> Result<WriteBatch, StoreError>;

/// A row: its name within the space, and its value.
pub type Row = (Vec<u8>, Vec<u8>);

/// The configuration of a store: its location, maximum size and format.
#[derive(Clone, Debug)]
pub struct Config {
    /// The directory of the store; created if it does not exist.
    pub directory: PathBuf,
    /// Maximum size of all rows in bytes; the file may be about twice as large between two compactions.
    pub max_bytes: u64,
    /// The format version that this program writes.
    pub format_version: u32,
    /// Migrations: the first from version 1 to version 2, and so on. One fewer than `format_version`.
    pub migrations: Vec<Migration>,
}

impl Config {
    /// A store of up to 256 MiB in this directory.
    pub fn new(directory: impl Into<PathBuf>) -> Config {
        Config {
            directory: directory.into(),
            max_bytes: 256 << 20,
            format_version: FORMAT_VERSION,
            migrations: Vec::new(),
        }
    }

    /// The path of the file with the rows.
    pub fn file(&self) -> PathBuf {
        self.directory.join("rows.redb")
    }
}

/// A durable key-value store, which holds a lock on its directory while it is open.
pub struct Store {
    database: Database,
    config: Config,
    generation: u64,
    /// Size of all rows in bytes.
    bytes: u64,
    /// Keeps other processes from opening the store.
    _lock: Box<dyn Any + Send>,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("Store")
            .field("directory", &self.config.directory)
            .field("generation", &self.generation)
            .field("bytes", &self.bytes)
            .finish_non_exhaustive()
    }
}

impl Store {
    /// Opens the store in a directory, or creates it. An existing file is checked completely before anything
    /// is written.
    pub fn open(disk: &dyn Disk, config: &Config) -> Result<Store, StoreError> {
        let file = config.file();
        let directory = &config.directory;
        disk.create_directory(directory).map_err(open_error("make the folder", directory))?;
        let lock_file = directory.join("lock");
        let lock = disk.lock(&lock_file).map_err(open_error("lock", &lock_file))?;
        if !disk.exists(&file) {
            database::create(disk, config)?;
        }
        let disk_file = disk.open(&file, false).map_err(open_error("open", &file))?;
        database::check_file(&disk_file, &file)?;
        let database = database::open(&file, disk_file)?;
        let mut store = Store { database, config: config.clone(), generation: 0, bytes: 0, _lock: lock };
        store.load_and_migrate()?;
        Ok(store)
    }

    /// Reads the store's metadata and migrates it to the configured format version.
    fn load_and_migrate(&mut self) -> Result<(), StoreError> {
        let found = self.read_metadata(FORMAT_KEY)? as u32;
        let known = self.config.format_version;
        self.generation = self.read_metadata(GENERATION_KEY)?;
        if found > known {
            return Err(StoreError::UnsupportedFormat { file: self.config.file(), found, known });
        }
        self.bytes = self.count_bytes()?;
        if found == 0 {
            return self.write(&WriteBatch::new(), known, 0);
        }
        for version in found..known {
            let batch = match self.config.migrations.get(version as usize - 1) {
                Some(migrate) => migrate(self)?,
                None => WriteBatch::new(),
            };
            self.write(&batch, version + 1, self.generation)?;
        }
        Ok(())
    }

    /// Reads a number from the store's metadata; 0 if it does not exist.
    fn read_metadata(&self, key: &[u8]) -> Result<u64, StoreError> {
        let value = self.get_by_key(key)?;
        Ok(value.and_then(|bytes| bytes.try_into().ok()).map_or(0, u64::from_le_bytes))
    }

    /// The size of all rows in bytes. Reads every row, which checks its digest.
    fn count_bytes(&self) -> Result<u64, StoreError> {
        let mut bytes = 0;
        self.for_each_row(&[], None, &mut |key, value| {
            bytes += (key.len() + value.len() + DIGEST_BYTES) as u64;
            true
        })?;
        Ok(bytes)
    }

    /// Applies a batch atomically and returns the new generation once it is durable. After a
    /// [`StoreError::Io`] the store must be opened again, which shows whether the batch has been applied.
    pub fn commit(&mut self, batch: &WriteBatch) -> Result<u64, StoreError> {
        self.write(batch, self.config.format_version, self.generation + 1)?;
        Ok(self.generation)
    }

    fn write(&mut self, batch: &WriteBatch, format_version: u32, generation: u64) -> Result<(), StoreError> {
        let file = self.config.file();
        let max_bytes = self.config.max_bytes;
        let bytes = catch_damage(&file, || {
            let fail = |error: redb::Error| store_error(&file, "commit", error);
            let mut transaction = self.database.begin_write().map_err(|e| fail(e.into()))?;
            // Two syncs per commit: the second switches to the new state only once all of it is durable. A
            // state whose digests do not match is therefore damage, and never a power cut that can be rolled
            // back.
            transaction.set_two_phase_commit(true);
            transaction.set_quick_repair(true);
            let table = transaction.open_table(ROWS).map_err(|e| fail(e.into()))?;
            let mut rows = RowWriter { table, added_bytes: 0 };
            batch.changes().iter().try_for_each(|change| rows.apply(change)).map_err(|e| fail(e.into()))?;
            for (key, number) in [(FORMAT_KEY, u64::from(format_version)), (GENERATION_KEY, generation)] {
                rows.put(key, &number.to_le_bytes()).map_err(|e| fail(e.into()))?;
            }
            let added_bytes = rows.added_bytes;
            drop(rows);
            let bytes = (self.bytes as i64 + added_bytes).max(0) as u64;
            // A batch that removes more than it adds is always allowed; otherwise a full store could never
            // shrink.
            if added_bytes > 0 && bytes > max_bytes {
                transaction.abort().map_err(|e| fail(e.into()))?;
                return Err(StoreError::Full { bytes, max_bytes });
            }
            transaction.commit().map_err(|e| fail(e.into()))?;
            Ok(bytes)
        })?;
        self.bytes = bytes;
        self.generation = generation;
        Ok(())
    }

    /// The number of commits so far. If an earlier observation was higher, the store was rolled back to an
    /// older state.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Reads the value of a row.
    pub fn get(&self, space: u8, name: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        self.get_by_key(&row_key(space, name))
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

    /// Reads the rows of a space from `start` up to, but not including, `end` (or to the end of the space),
    /// in the order of their names. Stops before the rows exceed `max_bytes`, but returns at least one row if
    /// there is one.
    pub fn range(
        &self,
        space: u8,
        start: &[u8],
        end: Option<&[u8]>,
        max_bytes: usize,
    ) -> Result<Vec<Row>, StoreError> {
        let end = end.map_or_else(|| end_of_space(space), |end| row_key(space, end));
        let mut rows = Vec::new();
        let mut bytes = 0;
        self.for_each_row(&row_key(space, start), Some(&end), &mut |key, value| {
            bytes += key.len() + value.len();
            if bytes > max_bytes && !rows.is_empty() {
                return false;
            }
            rows.push((key[1..].to_vec(), value.to_vec()));
            true
        })?;
        Ok(rows)
    }

    /// Visits rows in the order of their keys until `visit` returns `false`. A row whose digest does not
    /// match is an error with the location of that row.
    fn for_each_row(
        &self,
        start: &[u8],
        end: Option<&[u8]>,
        visit: &mut dyn FnMut(&[u8], &[u8]) -> bool,
    ) -> Result<(), StoreError> {
        let file = self.config.file();
        catch_damage(&file, || {
            let fail = |error: redb::Error| store_error(&file, "read", error);
            let transaction = self.database.begin_read().map_err(|e| fail(e.into()))?;
            let table = match transaction.open_table(ROWS) {
                Ok(table) => table,
                Err(TableError::TableDoesNotExist(_)) => return Ok(()),
                Err(error) => return Err(fail(error.into())),
            };
            let range = match end {
                Some(end) if start >= end => return Ok(()),
                Some(end) => table.range(start..end),
                None => table.range(start..),
            };
            for row in range.map_err(|e| fail(e.into()))? {
                let (key, row) = row.map_err(|e| fail(e.into()))?;
                let value = check_row(&file, key.value(), row.value())?;
                if !visit(key.value(), value) {
                    return Ok(());
                }
            }
            Ok(())
        })
    }

    /// Reads all rows and checks all digests, to detect damage to rows that are otherwise not read.
    pub fn scrub(&mut self) -> Result<(), StoreError> {
        self.count_bytes()?;
        let file = self.config.file();
        catch_damage(&file, || database::check_integrity(&mut self.database, &file))
    }

    /// Frees the disk space of removed rows.
    pub fn compact(&mut self) -> Result<(), StoreError> {
        let file = self.config.file();
        catch_damage(&file, || {
            self.database.compact().map_err(|error| store_error(&file, "compact", error))?;
            Ok(())
        })
    }

    /// Renames the file of a store that can't be used, so that a new store can be created and the operator
    /// still has the old one. Returns the new path.
    pub fn quarantine(disk: &dyn Disk, config: &Config) -> Result<PathBuf, StoreError> {
        let file = config.file();
        let path = |number: u32| config.directory.join(format!("rows.redb.aside-{number}"));
        let Some(quarantined) = (1..=MAX_QUARANTINED_FILES).map(path).find(|path| !disk.exists(path)) else {
            let source = io::Error::other(format!(
                "{MAX_QUARANTINED_FILES} files are quarantined already; move them elsewhere"
            ));
            return Err(StoreError::Io { operation: "quarantine", file, source });
        };
        disk.rename(&file, &quarantined).map_err(StoreError::io("quarantine", &file))?;
        disk.sync_directory(&config.directory).map_err(StoreError::io("quarantine", &file))?;
        Ok(quarantined)
    }
}

/// Converts an error of opening a store into this crate's; some kinds of error have their own variant.
fn open_error(operation: &'static str, path: &Path) -> impl FnOnce(io::Error) -> StoreError {
    let path = path.to_owned();
    move |error| match error.kind() {
        ErrorKind::WouldBlock => StoreError::Locked { file: path },
        ErrorKind::NotADirectory | ErrorKind::AlreadyExists => StoreError::NotADirectory { path },
        _ => StoreError::Io { operation, file: path, source: error },
    }
}
