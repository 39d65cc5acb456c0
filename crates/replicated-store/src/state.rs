//! The state machine: the state that results from applying the log's entries. Replicas that have applied the
//! same entries have the same state.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::entry::{
    digest, Content, Digest, DocumentPart, DocumentUpdate, Entry, EntryId, Envelope, MAX_DOCUMENT_BYTES,
    MAX_NAME_BYTES, PART_BYTES,
};
use crate::ids::StoreId;

#[cfg(test)]
mod tests;

/// Number of outcomes that are remembered, so that an entry proposed twice is applied once.
const MAX_REMEMBERED_OUTCOMES: usize = 4_096;
/// Number of history lines that are kept.
const MAX_HISTORY_LINES: usize = 512;
/// Number of characters of a note that go into its history line.
const MAX_NOTE_CHARS: usize = 200;
/// Upper bound of the number of documents, removed ones included.
const MAX_DOCUMENTS: usize = 256;
/// Upper bound of the length of all documents together, in bytes.
const MAX_TOTAL_BYTES: usize = 32 << 20;
/// Upper bound of the number of documents of which parts were applied but not the entry that completes them;
/// beyond it the oldest is dropped.
const MAX_UNFINISHED_DOCUMENTS: usize = 8;
/// Number of past rolling digests that are kept for the comparison with other replicas.
const MAX_REMEMBERED_DIGESTS: usize = 1_024;

/// The server of a replica. A server that lost its disk comes back with a new replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The server's name.
    pub name: String,
    /// The server's zone.
    pub zone: String,
}

/// The current version of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredDocument {
    /// Number of writes to the document since it was created; a removal counts as a write and does not reset
    /// it.
    pub version: u64,
    /// The content; `None` if the document was removed.
    pub bytes: Option<Vec<u8>>,
    /// Index of the entry that wrote this version.
    pub index: u64,
    /// Name of the server that wrote this version.
    pub author: String,
}

/// The outcome of applying an entry. The serialized names are those that `--json` prints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The entry was applied. The value is the document's new version, or 0 for an entry that does not
    /// complete a document.
    #[serde(rename = "Done")]
    Applied(u64),
    /// The document does not have the expected version but this one.
    Conflict(u64),
    /// The entry cannot be applied, for this reason.
    #[serde(rename = "Refused")]
    Rejected(String),
    /// A newer program wrote the entry: it is not applied.
    #[serde(rename = "Kept")]
    Unsupported,
}

/// A line of the history. The serialized names are those that `--json` prints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryLine {
    /// Index of the entry.
    pub index: u64,
    /// The server that proposed the entry, and when.
    #[serde(rename = "by")]
    pub author: Author,
    /// Description of the entry for operators.
    #[serde(rename = "what")]
    pub description: String,
    /// Outcome of the entry.
    pub outcome: Outcome,
}

/// The author of an entry and the time of the proposal; `--json` prints an array of both.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, u64)", into = "(String, u64)")]
pub struct Author {
    /// The server's name.
    pub server: String,
    /// The time by that server's clock, in Unix milliseconds.
    pub at_ms: u64,
}

impl From<(String, u64)> for Author {
    fn from((server, at_ms): (String, u64)) -> Author {
        Author { server, at_ms }
    }
}

impl From<Author> for (String, u64) {
    fn from(author: Author) -> (String, u64) {
        (author.server, author.at_ms)
    }
}

/// The state after a log entry. `postcard` encodes it by position on disk, in snapshots and in exports: the
/// order of the fields is the stored format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Id of the store, drawn when it was bootstrapped or adopted.
    pub store_id: StoreId,
    /// Id of the store from which this one was adopted; 0 is none.
    pub adopted_from: StoreId,
    /// Index of the last applied entry.
    pub applied: u64,
    /// Rolling digest of all entries and their outcomes.
    pub rolling_digest: Digest,
    /// Servers of the store's replicas, by replica id.
    pub members: BTreeMap<u64, Member>,
    documents: BTreeMap<String, StoredDocument>,
    /// Parts of documents that are not complete yet, by the digest of the complete document and the index of
    /// the part.
    unfinished_documents: VecDeque<(Digest, BTreeMap<u16, Vec<u8>>)>,
    recent_outcomes: VecDeque<(EntryId, Outcome)>,
    history: VecDeque<HistoryLine>,
    /// Number of entries of newer programs, which are not applied.
    pub unsupported_entries: u64,
    /// The rolling digests after the last entries, by index; not part of the encoded state.
    #[serde(skip)]
    recent_digests: VecDeque<(u64, Digest)>,
}

impl State {
    /// The first state of a new store, with the replica that bootstraps it as its only member.
    pub fn bootstrap(store_id: StoreId, replica_id: u64, member: Member) -> State {
        State {
            store_id,
            applied: 1,
            rolling_digest: digest(&[b"record", &store_id.0.to_le_bytes()]),
            members: BTreeMap::from([(replica_id, member)]),
            ..State::default()
        }
    }

    /// The first state of a new store that continues this one with a single member; a history line records
    /// the adoption.
    pub fn adopt(&self, store_id: StoreId, replica_id: u64, member: Member, at_ms: u64) -> State {
        let mut state = self.clone();
        let index = state.applied + 1;
        state.history.push_back(HistoryLine {
            index,
            author: Author { server: member.name.clone(), at_ms },
            description: format!("adopted from record {:016x}", self.store_id),
            outcome: Outcome::Applied(0),
        });
        state.adopted_from = self.store_id;
        state.store_id = store_id;
        state.members = BTreeMap::from([(replica_id, member)]);
        state.recent_digests.clear();
        state.advance_digest(index, &[b"adopted", &store_id.0.to_le_bytes()]);
        state
    }

    /// Applies the entry at this index. The result must be the same at every replica, so it depends on no
    /// clock and no random number. Returns `None` for data without an envelope, such as the Raft library's
    /// own empty entries.
    pub fn apply(&mut self, index: u64, bytes: &[u8]) -> Option<(EntryId, Outcome)> {
        let envelope = Envelope::from_bytes(bytes);
        let outcome = envelope.map(|envelope| (envelope.id, self.apply_envelope(index, &envelope)));
        let encoded_outcome = postcard::to_allocvec(&outcome).unwrap_or_default();
        self.advance_digest(index, &[bytes, &encoded_outcome]);
        outcome
    }

    /// Applies a membership change, whose encoded form `change` advances the rolling digest.
    pub fn apply_members(
        &mut self,
        index: u64,
        change: &[u8],
        apply_change: impl FnOnce(&mut BTreeMap<u64, Member>),
    ) {
        apply_change(&mut self.members);
        self.advance_digest(index, &[b"members", change]);
    }

    fn advance_digest(&mut self, index: u64, parts: &[&[u8]]) {
        let entry_digest = digest(parts);
        self.applied = index;
        self.rolling_digest = digest(&[&self.rolling_digest, &index.to_le_bytes(), &entry_digest]);
        push_bounded(&mut self.recent_digests, MAX_REMEMBERED_DIGESTS, (index, self.rolling_digest));
    }

    /// The rolling digest after the entry at this index, if it is among the last `MAX_REMEMBERED_DIGESTS`.
    pub fn digest_at(&self, index: u64) -> Option<Digest> {
        if index == self.applied {
            return Some(self.rolling_digest);
        }
        self.recent_digests
            .iter()
            .rev()
            .find(|(entry_index, _)| *entry_index == index)
            .map(|(_, digest)| *digest)
    }

    fn apply_envelope(&mut self, index: u64, envelope: &Envelope) -> Outcome {
        if let Some((_, outcome)) = self.recent_outcomes.iter().find(|(id, _)| *id == envelope.id) {
            return outcome.clone();
        }
        let entry = envelope.decode();
        let description = describe(entry.as_ref(), envelope);
        let is_part = matches!(entry, Some(Entry::Part(_)));
        let outcome = match entry {
            Some(Entry::Note(_)) => Outcome::Applied(0),
            Some(Entry::Part(part)) => self.store_part(part),
            Some(Entry::Document(update)) => self.update_document(index, &envelope.author, update),
            None => {
                self.unsupported_entries += 1;
                Outcome::Unsupported
            }
        };
        let remembered = (envelope.id, outcome.clone());
        push_bounded(&mut self.recent_outcomes, MAX_REMEMBERED_OUTCOMES, remembered);
        if !is_part {
            let author = Author { server: envelope.author.clone(), at_ms: envelope.written_at_ms };
            let line = HistoryLine { index, author, description, outcome: outcome.clone() };
            push_bounded(&mut self.history, MAX_HISTORY_LINES, line);
        }
        outcome
    }

    fn store_part(&mut self, part: DocumentPart) -> Outcome {
        let DocumentPart { document_digest, index, bytes } = part;
        let max_index = (MAX_DOCUMENT_BYTES / PART_BYTES) as u16;
        if index > max_index {
            return Outcome::Rejected(format!("piece {index}, {max_index} at most"));
        }
        let unfinished = &mut self.unfinished_documents;
        if !unfinished.iter().any(|(digest, _)| *digest == document_digest) {
            push_bounded(unfinished, MAX_UNFINISHED_DOCUMENTS, (document_digest, BTreeMap::new()));
        }
        if let Some((_, parts)) = unfinished.iter_mut().find(|(digest, _)| *digest == document_digest) {
            parts.insert(index, bytes);
        }
        Outcome::Applied(0)
    }

    fn update_document(&mut self, index: u64, author: &str, update: DocumentUpdate) -> Outcome {
        let DocumentUpdate { name, expected_version, content } = update;
        let version = self.get(&name).map_or(0, |document| document.version);
        if expected_version.is_some_and(|expected| expected != version) {
            return Outcome::Conflict(version);
        }
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return Outcome::Rejected(format!("a name has 1 to {MAX_NAME_BYTES} bytes"));
        }
        let bytes = match self.resolve_content(content) {
            Ok(bytes) => bytes,
            Err(reason) => return Outcome::Rejected(reason),
        };
        if let Err(reason) = self.check_limits(&name, bytes.as_deref()) {
            return Outcome::Rejected(reason);
        }
        // The version of a removed document counts too: its versions continue.
        let last_version = self.documents.get(&name).map_or(0, |document| document.version);
        let version = last_version + 1;
        self.documents.insert(name, StoredDocument { version, bytes, index, author: author.to_owned() });
        Outcome::Applied(version)
    }

    /// The bytes of a document's new content, `None` for a removal; an error if parts are missing.
    fn resolve_content(&mut self, content: Content) -> Result<Option<Vec<u8>>, String> {
        let (document_digest, count) = match content {
            Content::Removed => return Ok(None),
            Content::Inline(bytes) => return Ok(Some(bytes)),
            Content::Parts(document_digest, count) => (document_digest, count),
        };
        let unfinished = &mut self.unfinished_documents;
        let position = unfinished.iter().position(|(digest, _)| *digest == document_digest);
        let parts = position.and_then(|position| unfinished.remove(position)).map(|(_, parts)| parts);
        let bytes = parts.unwrap_or_default().into_values().collect::<Vec<_>>().concat();
        if digest(&[&bytes]) != document_digest {
            return Err(format!("not all of its {count} pieces are there"));
        }
        Ok(Some(bytes))
    }

    /// Checks that this content of a document keeps within all limits; the error names the limits.
    fn check_limits(&self, name: &str, bytes: Option<&[u8]>) -> Result<(), String> {
        let stored_bytes = |document: &StoredDocument| document.bytes.as_ref().map_or(0, Vec::len);
        let old = self.get(name).map_or(0, stored_bytes);
        let new = bytes.map_or(0, <[u8]>::len);
        let total: usize = self.documents.values().map(stored_bytes).sum();
        if new > MAX_DOCUMENT_BYTES || total - old + new > MAX_TOTAL_BYTES {
            return Err(format!("{new} bytes: {MAX_DOCUMENT_BYTES} a document, {MAX_TOTAL_BYTES} in all"));
        }
        if !self.documents.contains_key(name) && self.documents.len() == MAX_DOCUMENTS {
            return Err(format!("{MAX_DOCUMENTS} documents are there, more are not kept"));
        }
        Ok(())
    }

    /// The document of this name; `None` if it does not exist or was removed.
    pub fn get(&self, name: &str) -> Option<&StoredDocument> {
        self.documents.get(name).filter(|document| document.bytes.is_some())
    }

    /// All documents in the order of their names, without those that were removed.
    pub fn documents(&self) -> impl Iterator<Item = (&String, &StoredDocument)> {
        self.documents.iter().filter(|(_, document)| document.bytes.is_some())
    }

    /// The outcome of an entry, if it is among the last `MAX_REMEMBERED_OUTCOMES`.
    pub fn outcome(&self, id: EntryId) -> Option<&Outcome> {
        self.recent_outcomes.iter().rev().find(|(recent, _)| *recent == id).map(|(_, outcome)| outcome)
    }

    /// The last lines of the history, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &HistoryLine> {
        self.history.iter()
    }

    /// Encodes the state for the disk, snapshots and exports.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a state; `None` if the bytes are malformed.
    pub fn from_bytes(bytes: &[u8]) -> Option<State> {
        postcard::from_bytes(bytes).ok()
    }
}

/// Description of an entry for its history line.
fn describe(entry: Option<&Entry>, envelope: &Envelope) -> String {
    match entry {
        Some(Entry::Note(text)) => text.chars().take(MAX_NOTE_CHARS).collect(),
        Some(Entry::Document(update)) => format!("document {}", update.name),
        _ => envelope.kind_name().to_owned(),
    }
}

/// Appends to a queue of bounded length; if it is full the oldest item is dropped.
fn push_bounded<T>(queue: &mut VecDeque<T>, max_length: usize, item: T) {
    if queue.len() == max_length {
        queue.pop_front();
    }
    queue.push_back(item);
}
