//! The interface between a store and the file system: every file operation is a method here.

use std::any::Any;
use std::fmt::Debug;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, ErrorKind};
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::sync::Arc;

/// An open file.
pub trait DiskFile: Debug + Send + Sync {
    /// The length of the file in bytes.
    fn len(&self) -> io::Result<u64>;
    /// Whether the file has no bytes.
    fn is_empty(&self) -> io::Result<bool> {
        Ok(self.len()? == 0)
    }
    /// Fills `out` with the bytes at this offset. Fails with `UnexpectedEof` if the file ends before `out` is
    /// full.
    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()>;
    /// Truncates the file, or extends it with zeros.
    fn set_len(&self, len: u64) -> io::Result<()>;
    /// Writes all of `data` at this offset.
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()>;
    /// Returns once all earlier writes are durable.
    fn sync(&self) -> io::Result<()>;
}

/// The file operations that a store needs.
pub trait Disk {
    /// Creates a directory and its parents. Succeeds if the directory exists; fails if there is a file at its
    /// path.
    fn create_directory(&self, directory: &Path) -> io::Result<()>;
    /// Locks a file. The lock is released when the returned value is dropped or the process ends in any way.
    /// Fails with `WouldBlock` if the file is locked already.
    fn lock(&self, file: &Path) -> io::Result<Box<dyn Any + Send>>;
    /// Opens a file for reading and writing; with `create` a missing file is created.
    fn open(&self, file: &Path, create: bool) -> io::Result<Arc<dyn DiskFile>>;
    /// Whether a file or directory with this path exists.
    fn exists(&self, file: &Path) -> bool;
    /// Renames a file.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
    /// Returns once the entries of a directory are durable.
    fn sync_directory(&self, directory: &Path) -> io::Result<()>;
}

/// The file system of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct RealDisk;

impl Disk for RealDisk {
    fn create_directory(&self, directory: &Path) -> io::Result<()> {
        std::fs::create_dir_all(directory)
    }

    fn lock(&self, file: &Path) -> io::Result<Box<dyn Any + Send>> {
        let file = OpenOptions::new().create(true).truncate(false).write(true).open(file)?;
        match file.try_lock() {
            Ok(()) => Ok(Box::new(file)),
            Err(TryLockError::WouldBlock) => Err(ErrorKind::WouldBlock.into()),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    fn open(&self, file: &Path, create: bool) -> io::Result<Arc<dyn DiskFile>> {
        let file = OpenOptions::new().read(true).write(true).create(create).truncate(false).open(file)?;
        Ok(Arc::new(RealFile(file)))
    }

    fn exists(&self, file: &Path) -> bool {
        // A file whose metadata can't be read counts as existing, so that it is not overwritten.
        file.symlink_metadata().map_or_else(|error| error.kind() != ErrorKind::NotFound, |_| true)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        std::fs::rename(from, to)
    }

    fn sync_directory(&self, directory: &Path) -> io::Result<()> {
        File::open(directory)?.sync_all()
    }
}

#[derive(Debug)]
struct RealFile(File);

impl DiskFile for RealFile {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.metadata()?.len())
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.0.read_exact_at(out, offset)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.0.set_len(len)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.0.write_all_at(data, offset)
    }

    fn sync(&self) -> io::Result<()> {
        self.0.sync_data()
    }
}
