//! Rows by key in one file, with one writer.

use std::any::Any;
use std::fmt;
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};

use redb::{Database, ReadableDatabase, TableError};

use crate::batch::{end_of_space, row_key, WriteBatch};
use crate::database::{self, catch_damage, check_row, store_error, RowWriter, DIGEST_BYTES, ROWS};
use crate::disk::Disk;
use crate::error::StoreError;

/// The newest format version that this program writes and reads. It changes with what the rows of a store mean as a whole;
/// what one row means is its owner's affair.
pub const FORMAT_VERSION: u32 = 1;
/// Quarantined files are numbered up to here; then none is quarantined any more, and the store stays closed.
const MAX_QUARANTINED_FILES: u32 = 16;

/// Rows of the store itself, in space 0.
const FORMAT_KEY: &[u8] = b"\0form";
const GENERATION_KEY: &[u8] = b"\0generation";

/// Brings a store from one format version to the next: the changes to make, given what it holds.
pub type Migration = fn(&Store) -> Result<WriteBatch, StoreError>;

/// A row: the name within its space, and the value.
pub type Row = (Vec<u8>, Vec<u8>);

/// Where a store is, and how large it may become.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its directory, made if it is not there.
    pub directory: PathBuf,
    /// Bytes of rows that it holds at most; the file may be about twice as large between two compactions.
    pub max_bytes: u64,
    /// The format version that this program writes.
    pub format_version: u32,
    /// Migrations: the first from version 1 to version 2, and so on. One fewer than `format_version`.
    pub migrations: Vec<Migration>,
}

impl Config {
    /// In this directory, with up to 256 MiB.
    pub fn new(directory: impl Into<PathBuf>) -> Config {
        Config {
            directory: directory.into(),
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

/// Rows that outlive the process. What was committed is durable.
pub struct Store {
    database: Database,
    config: Config,
    generation: u64,
    /// Bytes of all rows.
    bytes: u64,
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
    /// Opens the store of a directory, or makes it. What is found is checked completely before anything is written.
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

    /// Reads the store's own rows and brings it to the present format version.
    fn load_and_migrate(&mut self) -> Result<(), StoreError> {
        let found = self.own_number(FORMAT_KEY)? as u32;
        let known = self.config.format_version;
        self.generation = self.own_number(GENERATION_KEY)?;
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

    /// A number of the store itself; 0 if it is not there.
    fn own_number(&self, key: &[u8]) -> Result<u64, StoreError> {
        let value = self.get_by_key(key)?;
        Ok(value.and_then(|bytes| bytes.try_into().ok()).map_or(0, u64::from_le_bytes))
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

    /// Changes rows, all of them or none, and returns the generation once that is durable. After an [`StoreError::Io`] the
    /// store has to be opened again: whether the batch is there is then seen.
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
            // Two syncs a commit: the second switches to the new state only once all of it is durable, so that a state
            // whose digests do not fit is damage, and never taken for a power cut that can be rolled back.
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
            // A batch that removes more than it adds is always possible: else a full store could never be less full.
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

    /// How many commits there have been. Whoever remembers a higher number knows that this store was set back.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// A row's value.
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

    /// Rows of a space from `start` up to `end` (all, without it), in the order of their names, until `max_bytes`; at least
    /// one, if there is one.
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

    /// Visits rows in the order of their keys until `visit` returns `false`. A value that is not what was written is damage
    /// at that row.
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

    /// Reads everything and compares all digests: finds what a disk has done to rows that nobody reads.
    pub fn scrub(&mut self) -> Result<(), StoreError> {
        self.count_bytes()?;
        let file = self.config.file();
        catch_damage(&file, || database::check_integrity(&mut self.database, &file))
    }

    /// Gives back the space of removed rows.
    pub fn compact(&mut self) -> Result<(), StoreError> {
        let file = self.config.file();
        catch_damage(&file, || {
            self.database.compact().map_err(|error| store_error(&file, "compact", error))?;
            Ok(())
        })
    }

    /// Gives a store that cannot be used another name, so that a new one can start and the old one stays for the operator;
    /// returns that name.
    pub fn quarantine(disk: &dyn Disk, config: &Config) -> Result<PathBuf, StoreError> {
        let file = config.file();
        let name = |number: u32| config.directory.join(format!("rows.redb.aside-{number}"));
        let Some(quarantined) = (1..=MAX_QUARANTINED_FILES).map(name).find(|name| !disk.exists(name)) else {
            let source = io::Error::other(format!(
                "{MAX_QUARANTINED_FILES} have been set aside already; move them elsewhere"
            ));
            return Err(StoreError::Io { operation: "set aside", file, source });
        };
        disk.rename(&file, &quarantined).map_err(StoreError::io("set aside", &file))?;
        disk.sync_directory(&config.directory).map_err(StoreError::io("set aside", &file))?;
        Ok(quarantined)
    }
}

/// Turns an error of opening a store into this crate's: some kinds say what stands in the way.
fn open_error(operation: &'static str, path: &Path) -> impl FnOnce(io::Error) -> StoreError {
    let path = path.to_owned();
    move |error| match error.kind() {
        ErrorKind::WouldBlock => StoreError::Locked { file: path },
        ErrorKind::NotADirectory | ErrorKind::AlreadyExists => StoreError::NotADirectory { path },
        _ => StoreError::Io { operation, file: path, source: error },
    }
}
