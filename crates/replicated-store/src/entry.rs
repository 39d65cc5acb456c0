//! Log entries: an envelope that every program version can decode, around a payload whose format may be newer
//! than this program.
//!
//! An entry of a kind or format version that this program does not know is replicated and counted but not
//! applied, so that an older program in the fleet does not block the log. It stays in the log until a
//! snapshot replaces the entries up to it.

use serde::{Deserialize, Serialize};

/// Upper bound of one entry's payload in bytes. [`Entry::document`] keeps to it by writing documents longer
/// than [`PART_BYTES`] in parts; other entries are not checked against it.
pub const MAX_ENTRY_BYTES: usize = 32 << 10;
/// Length of one document part in bytes, and of the longest document that is written in a single entry.
pub const PART_BYTES: usize = MAX_ENTRY_BYTES / 2;
/// Upper bound of a document in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;
/// Upper bound of a document's name in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Id of an entry, drawn at random by its author. An entry that is proposed twice under one id is applied
/// once, as long as its outcome is remembered ([`crate::State::outcome`]).
pub type EntryId = u128;
/// The first 16 bytes of a BLAKE3 hash.
pub type Digest = [u8; 16];

/// Digest of a sequence of byte strings. The length of each is hashed too, so that other boundaries give
/// another digest.
pub fn digest(parts: &[&[u8]]) -> Digest {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes()).update(part);
    }
    let mut truncated = Digest::default();
    truncated.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    truncated
}

/// A log entry in its encoded form. `postcard` encodes it by position: the order of the fields is the stored
/// format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The entry's id.
    pub id: EntryId,
    /// Name of the server that proposed the entry.
    pub author: String,
    /// When it was proposed, by that server's clock, in Unix milliseconds. It is only displayed, never used
    /// for decisions.
    pub written_at_ms: u64,
    /// The kind of entry; see [`Envelope::decode`] for the kinds that this program knows.
    pub kind: u16,
    /// Format version of the payload.
    pub format_version: u16,
    /// The encoded payload.
    pub payload: Vec<u8>,
}

/// The content of an entry that this program can apply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A remark that is only added to the history.
    Note(String),
    /// One part of a document that is too long for one entry.
    Part(DocumentPart),
    /// A new version of a document.
    Document(DocumentUpdate),
}

/// A part of a document that is too long for one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentPart {
    /// Digest of the complete document.
    pub document_digest: Digest,
    /// Index of the part, from 0.
    pub index: u16,
    /// Content of the part; [`PART_BYTES`] long, the last part may be shorter.
    pub bytes: Vec<u8>,
}

/// A new version of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentUpdate {
    /// The document's name.
    pub name: String,
    /// The update is applied only if this is the document's current version; 0 means that the document must
    /// not exist. `None` applies it unconditionally.
    pub expected_version: Option<u64>,
    /// The new content.
    pub content: Content,
}

/// The new content of a document, or where to find it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// The content is in this entry.
    Inline(Vec<u8>),
    /// The content is in earlier [`Entry::Part`]s: the digest of the complete document, and the number of its
    /// parts.
    Parts(Digest, u16),
    /// The document is removed.
    Removed,
}

// The values of `Envelope::kind` that this program knows. They are part of the stored format.
const NOTE_KIND: u16 = 1;
const PART_KIND: u16 = 2;
const DOCUMENT_KIND: u16 = 3;
/// The format version in which this program writes each kind of entry.
const FORMAT_VERSION: u16 = 1;

impl Entry {
    /// Puts the entry into an envelope. `written_at_ms` is Unix time in milliseconds.
    pub fn to_envelope(&self, id: EntryId, author: &str, written_at_ms: u64) -> Envelope {
        let (kind, payload) = match self {
            Entry::Note(text) => (NOTE_KIND, postcard::to_allocvec(text)),
            Entry::Part(part) => (PART_KIND, postcard::to_allocvec(part)),
            Entry::Document(update) => (DOCUMENT_KIND, postcard::to_allocvec(update)),
        };
        Envelope {
            id,
            author: author.to_owned(),
            written_at_ms,
            kind,
            format_version: FORMAT_VERSION,
            // Encoding to memory cannot fail for these types.
            payload: payload.unwrap_or_default(),
        }
    }

    /// The entries that set a document's content, in the order in which they must be proposed.
    /// `expected_version` is that of [`DocumentUpdate::expected_version`].
    pub fn document(name: &str, bytes: Vec<u8>, expected_version: Option<u64>) -> Vec<Entry> {
        let update =
            |content| Entry::Document(DocumentUpdate { name: name.to_owned(), expected_version, content });
        if bytes.len() <= PART_BYTES {
            return vec![update(Content::Inline(bytes))];
        }
        let document_digest = digest(&[&bytes]);
        let part = |(index, bytes): (u16, &[u8])| {
            Entry::Part(DocumentPart { document_digest, index, bytes: bytes.to_vec() })
        };
        let mut entries: Vec<Entry> = (0u16..).zip(bytes.chunks(PART_BYTES)).map(part).collect();
        let count = entries.len() as u16;
        entries.push(update(Content::Parts(document_digest, count)));
        entries
    }
}

impl Envelope {
    /// Decodes the payload; `None` if a newer program wrote it, or if it is malformed.
    pub fn decode(&self) -> Option<Entry> {
        let payload = &self.payload;
        match (self.kind, self.format_version) {
            (NOTE_KIND, FORMAT_VERSION) => postcard::from_bytes(payload).ok().map(Entry::Note),
            (PART_KIND, FORMAT_VERSION) => postcard::from_bytes(payload).ok().map(Entry::Part),
            (DOCUMENT_KIND, FORMAT_VERSION) => postcard::from_bytes(payload).ok().map(Entry::Document),
            _ => None,
        }
    }

    /// Encodes the envelope as the data of a Raft log entry.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes an envelope from the data of a Raft log entry; `None` if the data is not an envelope.
    pub fn from_bytes(bytes: &[u8]) -> Option<Envelope> {
        postcard::from_bytes(bytes).ok()
    }

    /// Readable name of the entry's kind. It goes into the stored history, which must be the same at every
    /// replica: the texts must not change.
    pub fn kind_name(&self) -> &'static str {
        match (self.kind, self.format_version) {
            (NOTE_KIND, FORMAT_VERSION) => "note",
            (PART_KIND, FORMAT_VERSION) => "part of a document",
            (DOCUMENT_KIND, FORMAT_VERSION) => "document",
            _ => "of a newer program",
        }
    }
}
