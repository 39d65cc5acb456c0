//! What the entries of the log come to, the same at every member that has applied as many of them.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::entry::{
    digest, Content, Digest, DocumentUpdate, Entry, EntryId, Envelope, MAX_DOCUMENT_BYTES, MAX_NAME_BYTES,
};

/// Ids that are remembered, so that an entry written twice is applied once.
const MAX_REMEMBERED_OUTCOMES: usize = 4_096;
/// Lines of history that are kept.
const MAX_HISTORY_LINES: usize = 512;
/// Documents.
const MAX_DOCUMENTS: usize = 256;
/// Bytes of all documents together.
const MAX_TOTAL_BYTES: usize = 32 << 20;
/// Documents whose pieces are there and whose last entry is not; the oldest goes first.
const MAX_UNFINISHED_DOCUMENTS: usize = 8;
/// The last digests that are kept, to be compared with those of others.
const MAX_REMEMBERED_DIGESTS: usize = 1_024;

/// A copy of the record: one server's, under a number that it drew. A server that has lost its disk has another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The server's name.
    pub name: String,
    /// Its zone.
    pub zone: String,
}

/// A document as it stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredDocument {
    /// How often it has been written since it was first there; goes on over taking out.
    pub version: u64,
    /// The content; `None` if it was taken out.
    pub bytes: Option<Vec<u8>>,
    /// The entry that wrote it.
    pub index: u64,
    /// Who wrote it.
    pub author: String,
}

/// What became of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It was applied; the version of the document, where it was about one.
    #[serde(rename = "Done")]
    Applied(u64),
    /// Another version is there: this one.
    Conflict(u64),
    /// It can't be applied: too large, too many, or pieces missing.
    #[serde(rename = "Refused")]
    Rejected(String),
    /// Kept for a newer program.
    #[serde(rename = "Kept")]
    Unsupported,
}

/// A line of the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryLine {
    /// Its place in the log.
    pub index: u64,
    /// Who wrote it, and when by that server's clock (Unix milliseconds).
    #[serde(rename = "by")]
    pub author: (String, u64),
    /// What it was, for people.
    #[serde(rename = "what")]
    pub description: String,
    /// What became of it.
    pub outcome: Outcome,
}

/// The state after some entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The number of this record, drawn when it was founded, and of the one that it went on from by an operator's word.
    pub store_id: u64,
    /// See `record`; 0 is none.
    pub adopted_from: u64,
    /// The last entry applied.
    pub applied: u64,
    /// Rolling digest of all entries and what became of them.
    pub rolling_digest: Digest,
    /// Copies, by their numbers.
    pub members: BTreeMap<u64, Member>,
    documents: BTreeMap<String, StoredDocument>,
    unfinished_documents: VecDeque<(Digest, BTreeMap<u16, Vec<u8>>)>,
    recent_outcomes: VecDeque<(EntryId, Outcome)>,
    history: VecDeque<HistoryLine>,
    /// Entries kept for a newer program.
    pub unsupported_entries: u64,
    #[serde(skip)]
    recent_digests: VecDeque<(u64, Digest)>,
}

impl State {
    /// The first state of a new record, as its founder makes it.
    pub fn bootstrap(store_id: u64, founder: u64, member: Member) -> State {
        let rolling_digest = digest(&[b"record", &store_id.to_le_bytes()]);
        let members = BTreeMap::from([(founder, member)]);
        State { store_id, applied: 1, rolling_digest, members, ..State::default() }
    }

    /// The first state of a new record that goes on from this one, with one member: a line of the history says so.
    pub fn adopt(&self, record: u64, founder: u64, member: Member, at_ms: u64) -> State {
        let mut state = self.clone();
        let what = format!("adopted from record {:016x}", self.store_id);
        let by = (member.name.clone(), at_ms);
        (state.adopted_from, state.store_id) = (self.store_id, record);
        state.members = BTreeMap::from([(founder, member)]);
        state.recent_digests.clear();
        let index = state.applied + 1;
        state.history.push_back(HistoryLine {
            index,
            author: by,
            description: what,
            outcome: Outcome::Applied(0),
        });
        state.advance_digest(index, &[b"adopted", &record.to_le_bytes()]);
        state
    }

    /// Applies the entry at this index; the same at every member, so no clock and no chance here.
    pub fn apply(&mut self, index: u64, bytes: &[u8]) -> Option<(EntryId, Outcome)> {
        let envelope = Envelope::from_bytes(bytes);
        // Without one: the library's own empty entries, and what nobody of this fleet can have written.
        let outcome = envelope.as_ref().map(|envelope| (envelope.id, self.apply_envelope(index, envelope)));
        let told = postcard::to_allocvec(&outcome).unwrap_or_default();
        self.advance_digest(index, &[bytes, &told]);
        outcome
    }

    /// Notes a change of who holds copies.
    pub fn apply_members(&mut self, index: u64, change: &[u8], act: impl FnOnce(&mut BTreeMap<u64, Member>)) {
        act(&mut self.members);
        self.advance_digest(index, &[b"members", change]);
    }

    fn advance_digest(&mut self, index: u64, parts: &[&[u8]]) {
        let inner = digest(parts);
        self.applied = index;
        self.rolling_digest = digest(&[&self.rolling_digest, &index.to_le_bytes(), &inner]);
        if self.recent_digests.len() == MAX_REMEMBERED_DIGESTS {
            self.recent_digests.pop_front();
        }
        self.recent_digests.push_back((index, self.rolling_digest));
    }

    /// The rolling digest after this entry, if that is among the last ones.
    pub fn digest_at(&self, index: u64) -> Option<Digest> {
        if index == self.applied {
            return Some(self.rolling_digest);
        }
        self.recent_digests.iter().rev().find(|(at, _)| *at == index).map(|(_, digest)| *digest)
    }

    fn apply_envelope(&mut self, index: u64, envelope: &Envelope) -> Outcome {
        if let Some((_, outcome)) = self.recent_outcomes.iter().find(|(id, _)| *id == envelope.id) {
            return outcome.clone();
        }
        let entry = envelope.decode();
        let what = match &entry {
            Some(Entry::Note(text)) => text.chars().take(200).collect(),
            Some(Entry::Document(document)) => format!("document {}", document.name),
            _ => envelope.kind_name().to_owned(),
        };
        let is_part = matches!(entry, Some(Entry::Part(_)));
        let outcome = match entry {
            Some(Entry::Note(_)) => Outcome::Applied(0),
            Some(Entry::Part(part)) => self.store_part(part.document_digest, part.index, part.bytes),
            Some(Entry::Document(document)) => self.update_document(index, &envelope.author, document),
            None => {
                self.unsupported_entries += 1;
                Outcome::Unsupported
            }
        };
        if self.recent_outcomes.len() == MAX_REMEMBERED_OUTCOMES {
            self.recent_outcomes.pop_front();
        }
        self.recent_outcomes.push_back((envelope.id, outcome.clone()));
        if !is_part {
            if self.history.len() == MAX_HISTORY_LINES {
                self.history.pop_front();
            }
            let by = (envelope.author.clone(), envelope.written_at_ms);
            self.history.push_back(HistoryLine {
                index,
                author: by,
                description: what,
                outcome: outcome.clone(),
            });
        }
        outcome
    }

    fn store_part(&mut self, whole: Digest, number: u16, bytes: Vec<u8>) -> Outcome {
        let most = (MAX_DOCUMENT_BYTES / (crate::entry::MAX_ENTRY_BYTES / 2)) as u16;
        if number > most {
            return Outcome::Rejected(format!("piece {number}, {most} at most"));
        }
        if !self.unfinished_documents.iter().any(|(digest, _)| *digest == whole) {
            if self.unfinished_documents.len() == MAX_UNFINISHED_DOCUMENTS {
                self.unfinished_documents.pop_front();
            }
            self.unfinished_documents.push_back((whole, BTreeMap::new()));
        }
        if let Some((_, pieces)) = self.unfinished_documents.iter_mut().find(|(digest, _)| *digest == whole) {
            pieces.insert(number, bytes);
        }
        Outcome::Applied(0)
    }

    fn update_document(&mut self, index: u64, by: &str, document: DocumentUpdate) -> Outcome {
        let DocumentUpdate { name, expected_version: expect, content } = document;
        let now = self.documents.get(&name);
        let present = now.filter(|held| held.bytes.is_some());
        let version = present.map_or(0, |held| held.version);
        if expect.is_some_and(|wanted| wanted != version) {
            return Outcome::Conflict(version);
        }
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return Outcome::Rejected(format!("a name has 1 to {MAX_NAME_BYTES} bytes"));
        }
        let bytes = match content {
            Content::Removed => None,
            Content::Inline(bytes) => Some(bytes),
            Content::Parts(whole, count) => {
                let place = self.unfinished_documents.iter().position(|(digest, _)| *digest == whole);
                let pieces =
                    place.and_then(|place| self.unfinished_documents.remove(place)).map(|(_, pieces)| pieces);
                let bytes = pieces.unwrap_or_default().into_values().collect::<Vec<_>>().concat();
                if digest(&[&bytes]) != whole {
                    return Outcome::Rejected(format!("not all of its {count} pieces are there"));
                }
                Some(bytes)
            }
        };
        let old = present.and_then(|held| held.bytes.as_ref()).map_or(0, Vec::len);
        let new = bytes.as_ref().map_or(0, Vec::len);
        let held: usize = self.documents.values().filter_map(|h| h.bytes.as_ref()).map(Vec::len).sum();
        if new > MAX_DOCUMENT_BYTES || held - old + new > MAX_TOTAL_BYTES {
            return Outcome::Rejected(format!(
                "{new} bytes: {MAX_DOCUMENT_BYTES} a document, {MAX_TOTAL_BYTES} in all"
            ));
        }
        if now.is_none() && self.documents.len() == MAX_DOCUMENTS {
            return Outcome::Rejected(format!("{MAX_DOCUMENTS} documents are there, more are not kept"));
        }
        let version = now.map_or(0, |held| held.version) + 1;
        self.documents.insert(name, StoredDocument { version, bytes, index, author: by.to_owned() });
        Outcome::Applied(version)
    }

    /// A document that is there.
    pub fn get(&self, name: &str) -> Option<&StoredDocument> {
        self.documents.get(name).filter(|held| held.bytes.is_some())
    }

    /// All documents that are there.
    pub fn documents(&self) -> impl Iterator<Item = (&String, &StoredDocument)> {
        self.documents.iter().filter(|(_, held)| held.bytes.is_some())
    }

    /// What became of an entry, if it is among the last ones.
    pub fn outcome(&self, id: EntryId) -> Option<&Outcome> {
        self.recent_outcomes.iter().rev().find(|(seen, _)| *seen == id).map(|(_, outcome)| outcome)
    }

    /// The last lines, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &HistoryLine> {
        self.history.iter()
    }

    /// As it goes to disk and to other members.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// One that was read.
    pub fn from_bytes(bytes: &[u8]) -> Option<State> {
        postcard::from_bytes(bytes).ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn apply(state: &mut State, id: u128, entry: &Entry) -> Outcome {
        let bytes = entry.to_envelope(id, "a", 0).to_bytes();
        state.apply(state.applied + 1, &bytes).expect("an entry").1
    }

    fn write(state: &mut State, id: u128, name: &str, bytes: Vec<u8>, expect: Option<u64>) -> Outcome {
        let all = Entry::document(name, bytes, expect);
        (0..).zip(&all).map(|(n, entry)| apply(state, id * 1_000 + n, entry)).last().expect("entries")
    }

    #[test]
    fn documents_have_versions_and_are_compared_and_set() {
        let mut state = State::bootstrap(1, 1, Member { name: "a".into(), zone: "z".into() });
        assert_eq!(write(&mut state, 1, "x", b"one".to_vec(), Some(0)), Outcome::Applied(1));
        assert_eq!(write(&mut state, 2, "x", b"two".to_vec(), Some(0)), Outcome::Conflict(1));
        assert_eq!(write(&mut state, 3, "x", b"two".to_vec(), Some(1)), Outcome::Applied(2));
        // The same entry once more: its first outcome, and nothing changes.
        assert_eq!(write(&mut state, 3, "x", b"two".to_vec(), Some(1)), Outcome::Applied(2));
        let gone = Entry::Document(DocumentUpdate {
            name: "x".into(),
            expected_version: None,
            content: Content::Removed,
        });
        assert_eq!((apply(&mut state, 9, &gone), state.get("x")), (Outcome::Applied(3), None));
        // Versions go on, so that one who saw version 2 does not take the new one for it.
        assert_eq!(write(&mut state, 10, "x", b"again".to_vec(), Some(0)), Outcome::Applied(4));
    }

    #[test]
    fn a_large_document_goes_in_pieces_and_a_missing_one_is_seen() {
        let mut state = State::bootstrap(1, 1, Member { name: "a".into(), zone: "z".into() });
        let large: Vec<u8> = (0..200_000u32).map(|n| (n % 251) as u8).collect();
        assert_eq!(write(&mut state, 1, "big", large.clone(), None), Outcome::Applied(1));
        assert_eq!(state.get("big").and_then(|h| h.bytes.clone()), Some(large.clone()));
        let mut all = Entry::document("big", [large, vec![1]].concat(), None);
        all.remove(2);
        let last = all.iter().zip(50..).map(|(e, id)| apply(&mut state, id, e)).last();
        assert!(matches!(last, Some(Outcome::Rejected(_))), "{last:?}");
        assert!(matches!(
            write(&mut state, 3, "big", vec![0; MAX_DOCUMENT_BYTES + 1], None),
            Outcome::Rejected(_)
        ));
    }

    #[test]
    fn what_a_newer_program_wrote_is_kept_and_rolls_the_digest() {
        let mut state = State::bootstrap(1, 1, Member { name: "a".into(), zone: "z".into() });
        let before = state.rolling_digest;
        let newer = Envelope {
            id: 5,
            author: "b".into(),
            written_at_ms: 1,
            kind: 900,
            format_version: 7,
            payload: vec![1, 2],
        };
        assert_eq!(state.apply(2, &newer.to_bytes()), Some((5, Outcome::Unsupported)));
        assert_eq!(
            (state.unsupported_entries, state.rolling_digest == before, state.digest_at(2)),
            (1, false, Some(state.rolling_digest))
        );
        let read = State::from_bytes(&state.to_bytes()).expect("readable");
        assert_eq!(
            (read.rolling_digest, read.unsupported_entries, read.outcome(5)),
            (state.rolling_digest, 1, Some(&Outcome::Unsupported))
        );
    }
}
