//! Errors of a store, and how to handle them.

use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

/// The reported location of damage that can't be attributed to a single row.
pub(crate) const WHOLE_FILE: &str = "whole";

/// Why a store can't be opened, read or written.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process has the store open. Wait until that process ends, or configure another directory.
    #[error("{}: another process has it open", .file.display())]
    Locked {
        /// The lock file.
        file: PathBuf,
    },
    /// The path of the store's directory is not a directory.
    #[error("{}: expected a folder", .path.display())]
    NotADirectory {
        /// The path.
        path: PathBuf,
    },
    /// The store was written by a newer version of the program. Start that version.
    #[error("{}: form {found}, this program knows up to {known}", .file.display())]
    UnsupportedFormat {
        /// The file.
        file: PathBuf,
        /// The format version found.
        found: u32,
        /// The newest format version known.
        known: u32,
    },
    /// The file does not contain what was written. Quarantine it ([`crate::Store::quarantine`]).
    #[error("{}: damaged at {location}: {reason}", .file.display())]
    Damaged {
        /// The file.
        file: PathBuf,
        /// The damaged row, or `whole` if the damage can't be attributed to a single row.
        location: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The batch would exceed the store's size limit. Remove rows first.
    #[error("{bytes} bytes would be kept, {max_bytes} are allowed")]
    Full {
        /// Bytes that the store would hold with the batch.
        bytes: u64,
        /// The limit in bytes.
        max_bytes: u64,
    },
    /// A file operation failed. Whether a commit has been written is unknown; open the store again to find
    /// out.
    #[error("{}: {operation}: {source}", .file.display())]
    Io {
        /// The operation that failed.
        operation: &'static str,
        /// The file or directory that it was done on.
        file: PathBuf,
        /// The system's error.
        source: io::Error,
    },
}

impl StoreError {
    /// Whether the file is damaged and has to be quarantined: the program can't make it readable again.
    pub fn is_damage(&self) -> bool {
        matches!(self, StoreError::Damaged { .. })
    }

    /// Damage that can't be attributed to a single row.
    pub(crate) fn damaged_file(file: &Path, reason: impl Into<String>) -> StoreError {
        StoreError::Damaged { file: file.to_owned(), location: WHOLE_FILE.to_owned(), reason: reason.into() }
    }

    /// Converts the system's error of an operation on a file into this type.
    pub(crate) fn io(operation: &'static str, file: &Path) -> impl FnOnce(io::Error) -> StoreError {
        let file = file.to_owned();
        move |source| StoreError::Io { operation, file, source }
    }
}
