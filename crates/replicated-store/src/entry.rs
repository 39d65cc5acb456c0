//! What can be written to the record: an envelope that every program can read, around a content that may be too new.
//!
//! An entry of a kind or form that this program does not know is kept in its place, counted, and passed on; it is never
//! applied and never dropped, so that an older program in the fleet holds up nothing and loses nothing.

use serde::{Deserialize, Serialize};

/// The longest content of one entry; documents are written in parts.
pub const MAX_ENTRY_BYTES: usize = 32 << 10;
/// The longest document.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;
/// The longest name of a document, and of who writes.
pub const MAX_NAME_BYTES: usize = 128;

/// Drawn by who writes; the same entry written twice is applied once.
pub type EntryId = u128;
/// First bytes of a BLAKE3 digest.
pub type Digest = [u8; 16];

/// A digest of these bytes.
pub fn digest(parts: &[&[u8]]) -> Digest {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes()).update(part);
    }
    let mut first = Digest::default();
    first.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    first
}

/// An entry as it stands in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Its number.
    pub id: EntryId,
    /// Who wrote it: a server's name.
    pub author: String,
    /// When, by that server's clock, in Unix milliseconds: for people, never for decisions.
    pub written_at_ms: u64,
    /// What it is about.
    pub kind: u16,
    /// The form of its content.
    pub format_version: u16,
    /// The content, in that form.
    pub payload: Vec<u8>,
}

/// What this program knows how to apply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A remark, for the history.
    Note(String),
    /// A piece of a document that is being written.
    Part(DocumentPart),
    /// A document takes on this content.
    Document(DocumentUpdate),
}

/// A piece of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentPart {
    /// Digest of the whole document.
    pub document_digest: Digest,
    /// Which piece, from 0.
    pub index: u16,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// A document's new version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentUpdate {
    /// Its name.
    pub name: String,
    /// Only if it has this version now; 0 is for one that is not there. Without it whatever is there.
    pub expected_version: Option<u64>,
    /// Its content, if that is short; else the pieces before have it.
    pub content: Content,
}

/// Where a document's content is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// Here.
    Inline(Vec<u8>),
    /// In so many pieces of a whole with this digest.
    Parts(Digest, u16),
    /// There is none any more: the document is taken out.
    Removed,
}

const NOTE: u16 = 1;
const PART: u16 = 2;
const DOCUMENT: u16 = 3;
/// The form of each kind that this program writes.
const FORMAT_VERSION: u16 = 1;

impl Entry {
    /// In its envelope.
    pub fn to_envelope(&self, id: EntryId, by: &str, at_ms: u64) -> Envelope {
        // Types without a serial form could fail here, and there are none.
        let (kind, content) = match self {
            Entry::Note(text) => (NOTE, postcard::to_allocvec(text)),
            Entry::Part(part) => (PART, postcard::to_allocvec(part)),
            Entry::Document(document) => (DOCUMENT, postcard::to_allocvec(document)),
        };
        Envelope {
            id,
            author: by.to_owned(),
            written_at_ms: at_ms,
            kind,
            format_version: FORMAT_VERSION,
            payload: content.unwrap_or_default(),
        }
    }

    /// The entries that make a document take on this content.
    pub fn document(name: &str, bytes: Vec<u8>, expected_version: Option<u64>) -> Vec<Entry> {
        let name = name.to_owned();
        if bytes.len() <= MAX_ENTRY_BYTES / 2 {
            return vec![Entry::Document(DocumentUpdate {
                name,
                expected_version,
                content: Content::Inline(bytes),
            })];
        }
        let whole = digest(&[&bytes]);
        let pieces = bytes.chunks(MAX_ENTRY_BYTES / 2).zip(0u16..);
        let mut all: Vec<Entry> = pieces
            .map(|(p, number)| {
                Entry::Part(DocumentPart { document_digest: whole, index: number, bytes: p.to_vec() })
            })
            .collect();
        let content = Content::Parts(whole, all.len() as u16);
        all.push(Entry::Document(DocumentUpdate { name, expected_version, content }));
        all
    }
}

impl Envelope {
    /// What it says; `None`: it is of a newer program.
    pub fn decode(&self) -> Option<Entry> {
        let content = &self.payload;
        match (self.kind, self.format_version) {
            (NOTE, FORMAT_VERSION) => postcard::from_bytes(content).ok().map(Entry::Note),
            (PART, FORMAT_VERSION) => postcard::from_bytes(content).ok().map(Entry::Part),
            (DOCUMENT, FORMAT_VERSION) => postcard::from_bytes(content).ok().map(Entry::Document),
            _ => None,
        }
    }

    /// Its bytes in the log.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// One read from the log.
    pub fn from_bytes(bytes: &[u8]) -> Option<Envelope> {
        postcard::from_bytes(bytes).ok()
    }

    /// Its kind, for people.
    pub fn kind_name(&self) -> &'static str {
        match (self.kind, self.format_version) {
            (NOTE, FORMAT_VERSION) => "note",
            (PART, FORMAT_VERSION) => "part of a document",
            (DOCUMENT, FORMAT_VERSION) => "document",
            _ => "of a newer program",
        }
    }
}
