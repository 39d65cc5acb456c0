//! Operators' requests about the replicated store and the responses, over the fleet's port. They are encoded by position:
//! the order of variants and fields is that of the wire.

use serde::{Deserialize, Serialize};
use umberloom_replicated_store::state::HistoryLine;
use umberloom_replicated_store::{Entry, EntryId, Outcome, ReplicaStatus};

/// The longest part of a document or an export in one response.
pub const MAX_PART_BYTES: usize = 32 << 10;

/// A request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// The status of this server's replica.
    Status,
    /// Read a document: the latest, confirmed by a majority, or as it is at this server.
    ReadDocument {
        /// Its name.
        name: String,
        /// Whether a majority has to confirm it.
        latest: bool,
        /// The first byte wanted.
        from: u64,
    },
    /// The newest lines of the history, at most so many.
    History(u32),
    /// Write an entry under this number. Sent twice it is applied once.
    Write {
        /// The number.
        id: EntryId,
        /// The entry.
        entry: Entry,
    },
    /// Make a member a voter, or a learner.
    SetVoter(String, bool),
    /// An export of all documents, from this byte on.
    Export(u64),
    /// Make this server's replica the whole store, where a majority of the voters is lost.
    Adopt,
}

/// A response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreResponse {
    /// The status.
    Status(Box<ReplicaStatus>),
    /// A document, or a part of it.
    Document {
        /// Its version.
        version: u64,
        /// The entry that wrote it.
        index: u64,
        /// The server by which it was written.
        by: String,
        /// Bytes in all.
        length: u64,
        /// The bytes from the first one wanted.
        part: Vec<u8>,
        /// How long ago this server heard from the leader, in milliseconds: a document that was not confirmed may be as
        /// old.
        age_ms: Option<u64>,
    },
    /// There is no such document; these exist.
    UnknownDocument(Vec<String>),
    /// The history, newest first.
    History(Vec<HistoryLine>),
    /// The outcome of a write.
    WriteOutcome(Outcome),
    /// The leader has accepted it.
    Accepted,
    /// A part of an export, and how long that is in all.
    ExportPart(Vec<u8>, u64),
    /// It can't be done, for this reason.
    Rejected(String),
}
