//! Operator requests about the replicated store and their responses, served on the fleet's port. The encoding
//! is positional: the order of the variants and fields is part of the wire format.

use serde::{Deserialize, Serialize};
use umberloom_replicated_store::state::HistoryLine;
use umberloom_replicated_store::{Entry, EntryId, Outcome, ReplicaStatus};

/// Limit on the part of a document or an export in one response, in bytes.
pub const MAX_PART_BYTES: usize = 32 << 10;

/// An operator's request about the replicated store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// Get the status of this server's replica.
    Status,
    /// Read a document, either its latest version as confirmed by a majority or the version at this server.
    ReadDocument {
        /// The name of the document.
        name: String,
        /// Whether a majority has to confirm that the version is the latest.
        latest: bool,
        /// The offset of the first byte to return.
        from: u64,
    },
    /// Get the newest lines of the history, at most this many.
    History(u32),
    /// Write an entry. A request that is sent again with the same id is applied once.
    Write {
        /// The id of the entry.
        id: EntryId,
        /// The entry to write.
        entry: Entry,
    },
    /// Make the named member a voter (`true`) or a learner (`false`).
    SetVoter(String, bool),
    /// Get an export of all documents, from this byte offset on.
    Export(u64),
    /// Start a new store from this server's replica, where a majority of the voters is lost.
    Adopt,
}

/// The response to a [`StoreRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreResponse {
    /// The status of the server's replica.
    Status(Box<ReplicaStatus>),
    /// A document or a part of it.
    Document {
        /// The version of the document.
        version: u64,
        /// The log index of the entry that wrote this version.
        index: u64,
        /// The server that wrote this version.
        by: String,
        /// Size of the whole document, in bytes.
        length: u64,
        /// The bytes from the requested offset on.
        part: Vec<u8>,
        /// How long ago this server heard from the leader, in milliseconds. An unconfirmed document may be
        /// out of date by that time.
        age_ms: Option<u64>,
    },
    /// The document does not exist; the names of those that do.
    UnknownDocument(Vec<String>),
    /// Lines of the history, newest first.
    History(Vec<HistoryLine>),
    /// The outcome of a write.
    WriteOutcome(Outcome),
    /// The leader has accepted the request.
    Accepted,
    /// A part of an export, and the size of the whole export in bytes.
    ExportPart(Vec<u8>, u64),
    /// The request was rejected, for this reason.
    Rejected(String),
}
