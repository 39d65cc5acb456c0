//! Log entries: an envelope that every program can read, around a payload that may be too new for this one.
//!
//! An entry of a kind or format that this program does not know is kept in its place, counted, and passed on; it is never
//! applied and never dropped, so that an older program in the fleet delays nothing and loses nothing.

use serde::{Deserialize, Serialize};

/// The longest payload of one entry; longer documents are written in parts.
pub const MAX_ENTRY_BYTES: usize = 32 << 10;
/// Bytes of one part of a document, and of the longest document that is written in one entry.
pub const PART_BYTES: usize = MAX_ENTRY_BYTES / 2;
/// The longest document.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;
/// The longest name of a document, and of its author.
pub const MAX_NAME_BYTES: usize = 128;

/// Drawn by the author; an entry that is proposed twice under one id is applied once.
pub type EntryId = u128;
/// The first bytes of a BLAKE3 digest.
pub type Digest = [u8; 16];

/// The digest of these parts; each goes in with its length.
pub fn digest(parts: &[&[u8]]) -> Digest {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes()).update(part);
    }
    let mut first = Digest::default();
    first.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    first
}

/// An entry as it stands in the log. `postcard` encodes it by position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The entry's id.
    pub id: EntryId,
    /// Name of the server that wrote it.
    pub author: String,
    /// When, by that server's clock, in Unix milliseconds: for people, never for decisions.
    pub written_at_ms: u64,
    /// The kind of entry.
    pub kind: u16,
    /// The version of the payload's format.
    pub format_version: u16,
    /// The payload, in that format.
    pub payload: Vec<u8>,
}

/// An entry that this program can apply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A remark, for the history.
    Note(String),
    /// A part of a document that is being written.
    Part(DocumentPart),
    /// A new version of a document.
    Document(DocumentUpdate),
}

/// A part of a document that is too long for one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentPart {
    /// Digest of the whole document.
    pub document_digest: Digest,
    /// Index of the part, from 0.
    pub index: u16,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// A new version of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentUpdate {
    /// The document's name.
    pub name: String,
    /// Written only if the document has this version now; 0 if it must not be there. `None`: written in any case.
    pub expected_version: Option<u64>,
    /// The new content.
    pub content: Content,
}

/// Where a document's new content is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// In this entry.
    Inline(Vec<u8>),
    /// In the entries before: the digest of the whole document, and the number of its parts.
    Parts(Digest, u16),
    /// There is none any more: the document is removed.
    Removed,
}

const NOTE: u16 = 1;
const PART: u16 = 2;
const DOCUMENT: u16 = 3;
/// The format version of each kind that this program writes.
const FORMAT_VERSION: u16 = 1;

impl Entry {
    /// Puts the entry into an envelope. `written_at_ms` is Unix time in milliseconds.
    pub fn to_envelope(&self, id: EntryId, author: &str, written_at_ms: u64) -> Envelope {
        let (kind, payload) = match self {
            Entry::Note(text) => (NOTE, postcard::to_allocvec(text)),
            Entry::Part(part) => (PART, postcard::to_allocvec(part)),
            Entry::Document(update) => (DOCUMENT, postcard::to_allocvec(update)),
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

    /// The entries by which a document takes on this content; see [`DocumentUpdate::expected_version`].
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
    /// Decodes the payload; `None` if it is of a newer program.
    pub fn decode(&self) -> Option<Entry> {
        let payload = &self.payload;
        match (self.kind, self.format_version) {
            (NOTE, FORMAT_VERSION) => postcard::from_bytes(payload).ok().map(Entry::Note),
            (PART, FORMAT_VERSION) => postcard::from_bytes(payload).ok().map(Entry::Part),
            (DOCUMENT, FORMAT_VERSION) => postcard::from_bytes(payload).ok().map(Entry::Document),
            _ => None,
        }
    }

    /// Encodes the envelope, as it stands in the log.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes an envelope from the log.
    pub fn from_bytes(bytes: &[u8]) -> Option<Envelope> {
        postcard::from_bytes(bytes).ok()
    }

    /// The kind of entry, for people.
    pub fn kind_name(&self) -> &'static str {
        match (self.kind, self.format_version) {
            (NOTE, FORMAT_VERSION) => "note",
            (PART, FORMAT_VERSION) => "part of a document",
            (DOCUMENT, FORMAT_VERSION) => "document",
            _ => "of a newer program",
        }
    }
}
