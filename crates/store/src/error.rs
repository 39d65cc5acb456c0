//! Errors of a store, and what whoever meets them should do.

use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

/// The location of damage that is not that of one row.
pub(crate) const WHOLE_FILE: &str = "whole";

/// Why a store can't be opened or written.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process has it open. Wait for its end, or configure another directory.
    #[error("{}: another process has it open", .file.display())]
    Locked {
        /// The lock file.
        file: PathBuf,
    },
    /// What should be a directory is none.
    #[error("{}: expected a folder", .path.display())]
    NotADirectory {
        /// The path.
        path: PathBuf,
    },
    /// It was written by a newer program. Start that program.
    #[error("{}: form {found}, this program knows up to {known}", .file.display())]
    UnsupportedFormat {
        /// The file.
        file: PathBuf,
        /// The format version found.
        found: u32,
        /// The newest format version known.
        known: u32,
    },
    /// What is there is not what was written. Quarantine it ([`crate::Store::quarantine`]).
    #[error("{}: damaged at {location}: {reason}", .file.display())]
    Damaged {
        /// The file.
        file: PathBuf,
        /// Which row, or `whole`.
        location: String,
        /// What was found.
        reason: String,
    },
    /// The batch does not fit under the store's limit. Remove rows first.
    #[error("{bytes} bytes would be kept, {max_bytes} are allowed")]
    Full {
        /// Bytes that the store would hold.
        bytes: u64,
        /// The limit.
        max_bytes: u64,
    },
    /// The system refused an operation. A commit may or may not be there; open the store again to see.
    #[error("{}: {operation}: {source}", .file.display())]
    Io {
        /// What was being done.
        operation: &'static str,
        /// With which file or directory.
        file: PathBuf,
        /// The system's error.
        source: io::Error,
    },
}

impl StoreError {
    /// Whether the files are to be quarantined: nothing that this program does will make them readable.
    pub fn is_damage(&self) -> bool {
        matches!(self, StoreError::Damaged { .. })
    }

    /// Damage that is not that of one row.
    pub(crate) fn damaged_file(file: &Path, reason: impl Into<String>) -> StoreError {
        StoreError::Damaged { file: file.to_owned(), location: WHOLE_FILE.to_owned(), reason: reason.into() }
    }

    /// Turns the system's error of an operation on a file into this type.
    pub(crate) fn io(operation: &'static str, file: &Path) -> impl FnOnce(io::Error) -> StoreError {
        let file = file.to_owned();
        move |source| StoreError::Io { operation, file, source }
    }
}
