//! An export of the store as a file, which can be checked without a server.
//!
//! The file is a line of text that says what it is, a digest of all that follows (16 bytes), and the rest in `postcard`:
//! the state of a snapshot and the entries that were committed since. Checking it applies those again.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::entry::{digest, Digest, Envelope};
use crate::ids::StoreId;
use crate::state::State;

#[cfg(test)]
mod tests;

/// The first line.
const TITLE: &[u8] = b"umberloom record 1\n";
/// The kind of an entry with content; others change the members.
const CONTENT_KIND: u64 = 0;

/// Content of an export file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// The server that exported it.
    pub exported_by: String,
    /// Index of the last entry that it had applied.
    pub applied: u64,
    /// Its rolling digest after that entry.
    pub rolling_digest: Digest,
    /// The snapshot's state.
    pub snapshot: Vec<u8>,
    /// Entries since the snapshot.
    pub entries: Vec<ExportedEntry>,
}

/// A log entry in an export.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportedEntry {
    /// Its index in the log.
    pub index: u64,
    /// Its type in the Raft library; 0 is content.
    pub kind: u64,
    /// Its data.
    pub bytes: Vec<u8>,
}

/// The result of a check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verified {
    /// The store's id.
    pub store_id: StoreId,
    /// Index of the snapshot.
    pub snapshot_index: u64,
    /// Index of the last entry.
    pub last_index: u64,
    /// Documents after that entry: name, version and length. `--json` prints them as arrays.
    pub documents: Vec<(String, u64, usize)>,
    /// Entries of newer programs.
    pub unsupported_entries: u64,
}

/// Why a file is no sound export.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ExportError {
    /// The first line is missing.
    #[error("it does not begin as an export of a record does")]
    NotAnExport,
    /// The file is too short.
    #[error("it ends within its digest")]
    TooShort,
    /// The content is not what was exported.
    #[error("its digest does not fit: it was changed or cut short")]
    DigestMismatch,
    /// The content cannot be decoded.
    #[error("it can't be read: {0}")]
    Undecodable(#[from] postcard::Error),
    /// The state of the snapshot cannot be decoded.
    #[error("its state can't be read")]
    UndecodableState,
    /// An entry is missing, or one stands twice.
    #[error("entry {index} follows {previous}")]
    EntryOutOfOrder {
        /// The entry found.
        index: u64,
        /// The entry before it.
        previous: u64,
    },
    /// An entry has content that is no envelope.
    #[error("entry {index} has no envelope")]
    NoEnvelope {
        /// The entry.
        index: u64,
    },
    /// The entries do not lead to the state that the server had.
    #[error("after entry {index} its digest is not what {exported_by} had")]
    StateMismatch {
        /// The last entry.
        index: u64,
        /// The server that exported it.
        exported_by: String,
    },
}

impl ExportedEntry {
    /// Applies the entry to a state.
    pub fn apply_to(&self, state: &mut State) {
        if self.kind == CONTENT_KIND {
            state.apply(self.index, &self.bytes);
        } else {
            // Changes of members advance the digest by their bytes; who they are is in the next snapshot.
            state.apply_members(self.index, &self.bytes, |_| {});
        }
    }
}

impl Export {
    /// Encodes it as a file.
    pub fn to_bytes(&self) -> Vec<u8> {
        let content = postcard::to_allocvec(self).unwrap_or_default();
        [TITLE, &digest(&[&content]), &content].concat()
    }

    /// Decodes a file and checks its digest.
    pub fn from_bytes(bytes: &[u8]) -> Result<Export, ExportError> {
        let rest = bytes.strip_prefix(TITLE).ok_or(ExportError::NotAnExport)?;
        let (expected, content) = rest.split_first_chunk::<16>().ok_or(ExportError::TooShort)?;
        if digest(&[content]) != *expected {
            return Err(ExportError::DigestMismatch);
        }
        Ok(postcard::from_bytes(content)?)
    }

    /// Applies all entries again and compares the rolling digest with what the server had.
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
