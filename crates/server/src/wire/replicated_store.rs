//! What operators ask of the record, and what comes back, over the fleet's own port.

use serde::{Deserialize, Serialize};
use umberloom_replicated_store::state::HistoryLine;
use umberloom_replicated_store::{Entry, EntryId, Outcome, ReplicaStatus};

/// The longest part of a document or an export in one answer.
pub const MAX_PART_BYTES: usize = 32 << 10;

/// What is asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// How this server's part stands.
    Status,
    /// A document, from this byte on; the latest by the word of a majority, or as it is here.
    ReadDocument {
        /// Its name.
        name: String,
        /// See the variant.
        latest: bool,
        /// See the variant.
        from: u64,
    },
    /// The last lines of the history, so many.
    History(u32),
    /// Write an entry under this number; asked twice it is written once.
    Write {
        /// The number.
        id: EntryId,
        /// The entry.
        entry: Entry,
    },
    /// Let a member vote, or not.
    SetVoter(String, bool),
    /// A copy to keep, from this byte on.
    Export(u64),
    /// This server's copy is the record from now on.
    Adopt,
}

/// What comes back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreResponse {
    /// How it stands.
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
        /// The bytes from where it was asked.
        part: Vec<u8>,
        /// How long ago this server heard the leader, in milliseconds: as old may what it shows be, if the latest was not
        /// asked for.
        age_ms: Option<u64>,
    },
    /// There is no such document; these are there.
    UnknownDocument(Vec<String>),
    /// The history, newest first.
    History(Vec<HistoryLine>),
    /// What became of a write.
    WriteOutcome(Outcome),
    /// The leader sees to it.
    Accepted,
    /// A part of an export, and how long that is in all.
    ExportPart(Vec<u8>, u64),
    /// It can't be done: who says so is the server that was asked.
    Rejected(String),
}
