//! What can be wrong with a store, and what whoever meets it should do.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// Why a store can't be opened or written.
#[derive(Debug)]
pub enum StoreError {
    /// Another process has it open. Wait for its end, or name another folder.
    Locked(PathBuf),
    /// What should be a folder is none.
    NotADirectory(PathBuf),
    /// It was written by a newer program: its form, and the newest that this one knows. Start that program.
    UnsupportedFormat {
        /// The file.
        file: PathBuf,
        /// The form found.
        found: u32,
        /// The newest known.
        known: u32,
    },
    /// What is there is not what was written: where, and what was found. Set it aside ([`crate::Store::set_aside`]).
    Damaged {
        /// The file.
        file: PathBuf,
        /// Which row, or `whole`.
        location: String,
        /// What was found.
        reason: String,
    },
    /// The batch does not fit under the store's own bound. Take something out first.
    Full {
        /// Bytes that it would hold.
        bytes: u64,
        /// The bound.
        max_bytes: u64,
    },
    /// The system said no: to what, and why. The commit may or may not be there; open the store again to see.
    Io {
        /// What was being done.
        operation: &'static str,
        /// With which file or folder.
        file: PathBuf,
        /// What the system said.
        source: io::Error,
    },
}

impl StoreError {
    /// Whether the files are to be set aside: nothing that this program does will make them readable.
    pub fn is_damage(&self) -> bool {
        matches!(self, StoreError::Damaged { .. })
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StoreError::Locked(file) => write!(f, "{}: another process has it open", file.display()),
            StoreError::NotADirectory(file) => write!(f, "{}: expected a folder", file.display()),
            StoreError::UnsupportedFormat { file, found, known } => {
                write!(f, "{}: form {found}, this program knows up to {known}", file.display())
            }
            StoreError::Damaged { file, location: place, reason: what } => {
                write!(f, "{}: damaged at {place}: {what}", file.display())
            }
            StoreError::Full { bytes, max_bytes: most } => {
                write!(f, "{bytes} bytes would be kept, {most} are allowed")
            }
            StoreError::Io { operation: doing, file, source: why } => {
                write!(f, "{}: {doing}: {why}", file.display())
            }
        }
    }
}

impl std::error::Error for StoreError {}
