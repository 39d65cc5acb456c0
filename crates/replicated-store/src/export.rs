//! An export of the store as a file, which can be verified without a server.
//!
//! The file has a title line, the digest of the bytes after it (16 bytes), and an [`Export`] encoded with
//! `postcard`: the state of a snapshot and the entries committed after it. Verification applies these entries
//! again.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::entry::{digest, Digest, Envelope};
use crate::ids::StoreId;
use crate::state::State;

#[cfg(test)]
mod tests;

/// The first line of the file.
const TITLE: &[u8] = b"umberloom record 1\n";
/// [`ExportedEntry::kind`] of entries with content; entries of other kinds change the members.
const CONTENT_KIND: u64 = 0;

/// Content of an export file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// Name of the server that made the export.
    pub exported_by: String,
    /// Index of the last entry that this server had applied.
    pub applied: u64,
    /// The server's rolling digest after that entry.
    pub rolling_digest: Digest,
    /// The encoded state of the snapshot.
    pub snapshot: Vec<u8>,
    /// The entries after the snapshot, in the order of the log.
    pub entries: Vec<ExportedEntry>,
}

/// A log entry in an export.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportedEntry {
    /// Index of the entry in the log.
    pub index: u64,
    /// Entry type of the Raft library; 0 is an entry with content.
    pub kind: u64,
    /// Data of the entry.
    pub bytes: Vec<u8>,
}

/// What the verification of an export has found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verified {
    /// The store's id.
    pub store_id: StoreId,
    /// Index of the last entry that the snapshot includes.
    pub snapshot_index: u64,
    /// Index of the last entry.
    pub last_index: u64,
    /// The documents after the last entry, each with its name, version and length in bytes. `--json` prints
    /// them as arrays.
    pub documents: Vec<(String, u64, usize)>,
    /// Number of entries of newer programs, which are not applied.
    pub unsupported_entries: u64,
}

/// Why a file is not a valid export.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ExportError {
    /// The title line is missing.
    #[error("the file is not an export of a record: its title line is missing")]
    NotAnExport,
    /// The file ends before the end of the digest.
    #[error("the file ends within its digest")]
    TooShort,
    /// The content was changed after the export.
    #[error("the digest does not match: the file was changed or truncated")]
    DigestMismatch,
    /// The content cannot be decoded.
    #[error("the content cannot be decoded: {0}")]
    Undecodable(#[from] postcard::Error),
    /// The state of the snapshot cannot be decoded.
    #[error("the state of the snapshot cannot be decoded")]
    UndecodableState,
    /// An entry is missing or occurs twice.
    #[error("entry {index} follows entry {previous}")]
    EntryOutOfOrder {
        /// Index of the entry that was found.
        index: u64,
        /// Index of the entry before it.
        previous: u64,
    },
    /// The content of an entry is not an envelope.
    #[error("the content of entry {index} is not an envelope")]
    NoEnvelope {
        /// Index of the entry.
        index: u64,
    },
    /// Applying the entries does not give the rolling digest that the server had.
    #[error("the rolling digest after entry {index} differs from that of {exported_by}")]
    StateMismatch {
        /// Index of the last entry.
        index: u64,
        /// Name of the server that made the export.
        exported_by: String,
    },
}

impl ExportedEntry {
    /// Applies the entry to a state.
    pub fn apply_to(&self, state: &mut State) {
        if self.kind == CONTENT_KIND {
            state.apply(self.index, &self.bytes);
        } else {
            // A membership change advances the digest by its bytes. The members themselves are not restored
            // here: the next snapshot has them.
            state.apply_members(self.index, &self.bytes, |_| {});
        }
    }
}

impl Export {
    /// Encodes the export as a file.
    pub fn to_bytes(&self) -> Vec<u8> {
        let content = postcard::to_allocvec(self).unwrap_or_default();
        [TITLE, &digest(&[&content]), &content].concat()
    }

    /// Decodes an export file and checks its digest.
    pub fn from_bytes(bytes: &[u8]) -> Result<Export, ExportError> {
        let after_title = bytes.strip_prefix(TITLE).ok_or(ExportError::NotAnExport)?;
        let (expected, content) = after_title.split_first_chunk::<16>().ok_or(ExportError::TooShort)?;
        if digest(&[content]) != *expected {
            return Err(ExportError::DigestMismatch);
        }
        Ok(postcard::from_bytes(content)?)
    }

    /// Applies all entries to the snapshot's state and compares the rolling digest with that of the server.
    pub fn verify(&self) -> Result<Verified, ExportError> {
        let mut state = State::from_bytes(&self.snapshot).ok_or(ExportError::UndecodableState)?;
        let snapshot_index = state.applied;
        for entry in &self.entries {
            let index = entry.index;
            if index != state.applied + 1 {
                return Err(ExportError::EntryOutOfOrder { index, previous: state.applied });
            }
            entry.apply_to(&mut state);
            let has_content = entry.kind == CONTENT_KIND && !entry.bytes.is_empty();
            if has_content && Envelope::from_bytes(&entry.bytes).is_none() {
                return Err(ExportError::NoEnvelope { index });
            }
        }
        if state.applied != self.applied || state.rolling_digest != self.rolling_digest {
            let exported_by = self.exported_by.clone();
            return Err(ExportError::StateMismatch { index: state.applied, exported_by });
        }
        let documents = state.documents().map(|(name, document)| {
            let length = document.bytes.as_ref().map_or(0, Vec::len);
            (name.clone(), document.version, length)
        });
        Ok(Verified {
            store_id: state.store_id,
            snapshot_index,
            last_index: state.applied,
            documents: documents.collect(),
            unsupported_entries: state.unsupported_entries,
        })
    }
}
