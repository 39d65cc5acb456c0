//! What can be written to the record: an envelope that every program can read, around a content that may be too new.
//!
//! An entry of a kind or form that this program does not know is kept in its place, counted, and passed on; it is never
//! applied and never dropped, so that an older program in the fleet holds up nothing and loses nothing.

use serde::{Deserialize, Serialize};

/// The longest content of one entry; documents are written in parts.
pub const LONGEST: usize = 32 << 10;
/// The longest document.
pub const LONGEST_DOCUMENT: usize = 1 << 20;
/// The longest name of a document, and of who writes.
pub const LONGEST_NAME: usize = 128;

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
    pub by: String,
    /// When, by that server's clock, in Unix milliseconds: for people, never for decisions.
    pub at_ms: u64,
    /// What it is about.
    pub kind: u16,
    /// The form of its content.
    pub form: u16,
    /// The content, in that form.
    pub content: Vec<u8>,
}

/// What this program knows how to apply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A remark, for the history.
    Note(String),
    /// A piece of a document that is being written.
    Part(Part),
    /// A document takes on this content.
    Document(Document),
}

/// A piece of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Digest of the whole document.
    pub whole: Digest,
    /// Which piece, from 0.
    pub number: u16,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// A document's new version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Its name.
    pub name: String,
    /// Only if it has this version now; 0 is for one that is not there. Without it whatever is there.
    pub expect: Option<u64>,
    /// Its content, if that is short; else the pieces before have it.
    pub content: Content,
}

/// Where a document's content is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// Here.
    Here(Vec<u8>),
    /// In so many pieces of a whole with this digest.
    Parts(Digest, u16),
    /// There is none any more: the document is taken out.
    None,
}

const NOTE: u16 = 1;
const PART: u16 = 2;
const DOCUMENT: u16 = 3;
/// The form of each kind that this program writes.
const FORM: u16 = 1;

impl Entry {
    /// In its envelope.
    pub fn seal(&self, id: EntryId, by: &str, at_ms: u64) -> Envelope {
        // Types without a serial form could fail here, and there are none.
        let (kind, content) = match self {
            Entry::Note(text) => (NOTE, postcard::to_allocvec(text)),
            Entry::Part(part) => (PART, postcard::to_allocvec(part)),
            Entry::Document(document) => (DOCUMENT, postcard::to_allocvec(document)),
        };
        Envelope { id, by: by.to_owned(), at_ms, kind, form: FORM, content: content.unwrap_or_default() }
    }

    /// The entries that make a document take on this content.
    pub fn document(name: &str, bytes: Vec<u8>, expect: Option<u64>) -> Vec<Entry> {
        let name = name.to_owned();
        if bytes.len() <= LONGEST / 2 {
            return vec![Entry::Document(Document { name, expect, content: Content::Here(bytes) })];
        }
        let whole = digest(&[&bytes]);
        let pieces = bytes.chunks(LONGEST / 2).zip(0u16..);
        let mut all: Vec<Entry> =
            pieces.map(|(p, number)| Entry::Part(Part { whole, number, bytes: p.to_vec() })).collect();
        let content = Content::Parts(whole, all.len() as u16);
        all.push(Entry::Document(Document { name, expect, content }));
        all
    }
}

impl Envelope {
    /// What it says; `None`: it is of a newer program.
    pub fn open(&self) -> Option<Entry> {
        let content = &self.content;
        match (self.kind, self.form) {
            (NOTE, FORM) => postcard::from_bytes(content).ok().map(Entry::Note),
            (PART, FORM) => postcard::from_bytes(content).ok().map(Entry::Part),
            (DOCUMENT, FORM) => postcard::from_bytes(content).ok().map(Entry::Document),
            _ => None,
        }
    }

    /// Its bytes in the log.
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// One read from the log.
    pub fn read(bytes: &[u8]) -> Option<Envelope> {
        postcard::from_bytes(bytes).ok()
    }

    /// Its kind, for people.
    pub fn kind_name(&self) -> &'static str {
        match (self.kind, self.form) {
            (NOTE, FORM) => "note",
            (PART, FORM) => "part of a document",
            (DOCUMENT, FORM) => "document",
            _ => "of a newer program",
        }
    }
}
