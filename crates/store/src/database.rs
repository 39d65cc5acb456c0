//! The embedded database of a store: its files, its errors, and rows with digests.

use std::io::{self, ErrorKind};
use std::path::Path;
use std::sync::Arc;

use redb::{Database, StorageError, Table, TableDefinition};

use crate::backend::{FileBackend, OverlayBackend};
use crate::batch::Change;
use crate::disk::{Disk, DiskFile};
use crate::error::StoreError;
use crate::panic_guard::catch_panic;
use crate::store::Config;

/// Size of the page cache in bytes: enough for the pages that a store of a few MiB reads repeatedly.
const CACHE_BYTES: usize = 4 << 20;
/// Size in bytes of the digest that precedes each value.
pub(crate) const DIGEST_BYTES: usize = 16;

/// The table of all rows: the value of each key is preceded by its digest.
pub(crate) const ROWS: TableDefinition<&[u8], &[u8]> = TableDefinition::new("rows");

/// Converts an error of the embedded database into this crate's.
pub(crate) fn store_error(file: &Path, operation: &'static str, error: impl Into<redb::Error>) -> StoreError {
    match error.into() {
        redb::Error::Io(source) if source.kind() == ErrorKind::InvalidData => {
            StoreError::damaged_file(file, source.to_string())
        }
        redb::Error::Io(source) if source.kind() == ErrorKind::UnexpectedEof => {
            StoreError::damaged_file(file, "the file ends too early")
        }
        redb::Error::Io(source) => StoreError::io(operation, file)(source),
        redb::Error::PreviousIo => {
            StoreError::io(operation, file)(io::Error::other("an earlier operation failed"))
        }
        redb::Error::DatabaseAlreadyOpen => StoreError::Locked { file: file.to_owned() },
        other => StoreError::damaged_file(file, other.to_string()),
    }
}

/// Runs an operation on the database and reports a panic as damage. Reading a damaged file may fail an
/// assertion of the database, which must not end the process.
pub(crate) fn catch_damage<T>(
    file: &Path,
    operation: impl FnOnce() -> Result<T, StoreError>,
) -> Result<T, StoreError> {
    catch_panic(operation).unwrap_or_else(|message| Err(StoreError::damaged_file(file, message)))
}

/// Opens the database in a file that has passed [`check_file`].
pub(crate) fn open(file: &Path, disk_file: Arc<dyn DiskFile>) -> Result<Database, StoreError> {
    catch_damage(file, || {
        let backend = FileBackend(disk_file);
        let database = Database::builder().set_cache_size(CACHE_BYTES).create_with_backend(backend);
        database.map_err(|error| store_error(file, "open", error))
    })
}

/// Creates an empty database under a temporary name and renames it, as a file that a power cut has left
/// incomplete would be taken for damage.
pub(crate) fn create(disk: &dyn Disk, config: &Config) -> Result<(), StoreError> {
    let new_file = config.directory.join("rows.new");
    let disk_file = disk.open(&new_file, true).map_err(StoreError::io("make", &new_file))?;
    disk_file.set_len(0).map_err(StoreError::io("empty", &new_file))?;
    let backend = FileBackend(disk_file.clone());
    let database = Database::builder().set_cache_size(CACHE_BYTES).create_with_backend(backend);
    drop(database.map_err(|error| store_error(&new_file, "make", error))?);
    disk_file.sync().map_err(StoreError::io("sync", &new_file))?;
    disk.rename(&new_file, &config.file()).map_err(StoreError::io("rename", &new_file))?;
    disk.sync_directory(&config.directory).map_err(StoreError::io("sync the folder of", &new_file))
}

/// Checks the whole file without writing to it.
pub(crate) fn check_file(disk_file: &Arc<dyn DiskFile>, file: &Path) -> Result<(), StoreError> {
    if disk_file.is_empty().map_err(StoreError::io("read", file))? {
        return Err(StoreError::damaged_file(file, "the file is empty"));
    }
    catch_damage(file, || {
        let overlay = OverlayBackend::new(disk_file.clone()).map_err(StoreError::io("read", file))?;
        let database = Database::builder().set_cache_size(CACHE_BYTES).create_with_backend(overlay);
        let mut database = database.map_err(|error| store_error(file, "read", error))?;
        check_integrity(&mut database, file)
    })
}

/// Checks the database's own digests. A database that could only be repaired by going back to an earlier
/// commit counts as damaged too, as the repair would lose commits that were reported as durable.
pub(crate) fn check_integrity(database: &mut Database, file: &Path) -> Result<(), StoreError> {
    match database.check_integrity() {
        Ok(true) => Ok(()),
        Ok(false) => Err(StoreError::damaged_file(file, "the digests of the database do not match")),
        Err(error) => Err(store_error(file, "read", error)),
    }
}

/// The digest of a row. It covers the key, so that a value that is stored under another key is detected as
/// well.
fn digest(key: &[u8], value: &[u8]) -> [u8; DIGEST_BYTES] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(key.len() as u32).to_le_bytes()).update(key).update(value);
    let mut digest = [0; DIGEST_BYTES];
    digest.copy_from_slice(&hasher.finalize().as_bytes()[..DIGEST_BYTES]);
    digest
}

/// Returns the value of a row without its digest; an error if the digest does not match.
pub(crate) fn check_row<'r>(file: &Path, key: &[u8], row: &'r [u8]) -> Result<&'r [u8], StoreError> {
    match row.split_at_checked(DIGEST_BYTES) {
        Some((stored_digest, value)) if *stored_digest == digest(key, value) => Ok(value),
        _ => Err(StoreError::Damaged {
            file: file.to_owned(),
            location: format!("row {}", key.escape_ascii()),
            reason: "the digest of the row does not match".to_owned(),
        }),
    }
}

/// The size of a row in bytes, as it counts towards the store's limit.
fn row_bytes(key: &[u8], row: &[u8]) -> i64 {
    (key.len() + row.len()) as i64
}

/// Writes rows in a transaction and counts by how many bytes the table grows; negative if it shrinks.
pub(crate) struct RowWriter<'t> {
    pub(crate) table: Table<'t, &'static [u8], &'static [u8]>,
    pub(crate) added_bytes: i64,
}

impl RowWriter<'_> {
    pub(crate) fn apply(&mut self, change: &Change) -> Result<(), StorageError> {
        match change {
            Change::Put { key, value } => self.put(key, value),
            Change::Remove { key } => self.remove(key),
            Change::RemoveRange { start, end } if start < end => self.remove_range(start, end),
            Change::RemoveRange { .. } => Ok(()),
        }
    }

    pub(crate) fn put(&mut self, key: &[u8], value: &[u8]) -> Result<(), StorageError> {
        let row = [&digest(key, value)[..], value].concat();
        let old = self.table.insert(key, row.as_slice())?;
        self.added_bytes += row_bytes(key, &row);
        self.added_bytes -= old.map_or(0, |old| row_bytes(key, old.value()));
        Ok(())
    }

    fn remove(&mut self, key: &[u8]) -> Result<(), StorageError> {
        let old = self.table.remove(key)?;
        self.added_bytes -= old.map_or(0, |old| row_bytes(key, old.value()));
        Ok(())
    }

    fn remove_range(&mut self, start: &[u8], end: &[u8]) -> Result<(), StorageError> {
        let added_bytes = &mut self.added_bytes;
        self.table.retain_in(start..end, |key, row| {
            *added_bytes -= row_bytes(key, row);
            false
        })
    }
}
