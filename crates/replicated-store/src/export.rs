//! A copy of the record as a file, which can be checked without a server.
//!
//! The file is a line of text that says what it is, a digest of all that follows (16 bytes), and the rest in `postcard`:
//! the state of a snapshot and the entries that were agreed on since. Checking it applies those again.

use serde::{Deserialize, Serialize};

use crate::entry::{digest, Digest, Envelope};
use crate::state::State;

/// The first line.
const TITLE: &[u8] = b"umberloom record 1\n";

/// What a file holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// The server that it came from, and how that stood: the digest after its last applied entry.
    pub from: String,
    /// See `from`.
    pub applied: u64,
    /// See `from`.
    pub chain: Digest,
    /// The snapshot's state.
    pub state: Vec<u8>,
    /// Entries since: index, what it is to the library (0: content), and bytes.
    pub entries: Vec<(u64, u64, Vec<u8>)>,
}

/// What a check found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verified {
    /// The record's number.
    pub record: u64,
    /// The index of the snapshot, and the last that was agreed on.
    pub from: u64,
    /// See `from`.
    pub to: u64,
    /// Documents after that, with versions and lengths.
    pub documents: Vec<(String, u64, usize)>,
    /// Entries of newer programs.
    pub unknown: u64,
}

impl Export {
    /// As a file.
    pub fn bytes(&self) -> Vec<u8> {
        let content = postcard::to_allocvec(self).unwrap_or_default();
        [TITLE, &digest(&[&content]), &content].concat()
    }

    /// From a file; the error says what is wrong with it.
    pub fn read(bytes: &[u8]) -> Result<Export, String> {
        let rest = bytes.strip_prefix(TITLE).ok_or("it does not begin as an export of a record does")?;
        let (said, content) = rest.split_first_chunk::<16>().ok_or("it ends within its digest")?;
        if digest(&[content]) != *said {
            return Err("its digest does not fit: it was changed or cut short".to_owned());
        }
        postcard::from_bytes(content).map_err(|e| format!("it can't be read: {e}"))
    }

    /// Applies everything again and compares the rolling digest with what the server had.
    pub fn verify(&self) -> Result<Verified, String> {
        let mut state = State::read(&self.state).ok_or("its state can't be read")?;
        let from = state.index;
        for (index, kind, bytes) in &self.entries {
            if *index != state.index + 1 {
                return Err(format!("entry {index} follows {}", state.index));
            }
            // Changes of members roll the digest by their bytes; who they are is in the next snapshot.
            match kind {
                0 => drop(state.apply(*index, bytes)),
                _ => state.apply_members(*index, bytes, |_| {}),
            }
            if *kind == 0 && !bytes.is_empty() && Envelope::read(bytes).is_none() {
                return Err(format!("entry {index} has no envelope"));
            }
        }
        if (state.index, state.chain) != (self.applied, self.chain) {
            return Err(format!("after entry {} its digest is not what {} had", state.index, self.from));
        }
        let documents = state.documents();
        let documents = documents.map(|(n, h)| (n.clone(), h.version, h.bytes.as_ref().map_or(0, Vec::len)));
        let (record, unknown) = (state.record, state.unknown);
        Ok(Verified { record, from, to: state.index, documents: documents.collect(), unknown })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::entry::Entry;
    use crate::state::Member;

    #[test]
    fn a_file_is_checked_by_itself_and_any_change_is_seen() {
        let mut state = State::bootstrap(7, 1, Member { name: "a".into(), zone: String::new() });
        let first = state.bytes();
        let entries: Vec<(u64, u64, Vec<u8>)> = (2..6)
            .map(|n| (n, 0, Entry::document("x", vec![n as u8], None)[0].seal(n.into(), "a", 0).bytes()))
            .collect();
        entries.iter().for_each(|(n, _, bytes)| drop(state.apply(*n, bytes)));
        let export = Export { from: "a".into(), applied: 5, chain: state.chain, state: first, entries };
        let file = export.bytes();
        let read = Export::read(&file).expect("readable");
        let found = read.verify().expect("sound");
        assert_eq!((found.record, found.from, found.to), (7, 1, 5));
        assert_eq!(found.documents, [("x".to_owned(), 4, 1)]);
        for byte in (0..file.len()).step_by(3) {
            let mut other = file.clone();
            other[byte] ^= 4;
            assert!(Export::read(&other).is_err(), "byte {byte}");
        }
        let mut less = export.clone();
        less.entries.remove(1);
        assert!(less.verify().is_err());
        less = export;
        less.entries.pop();
        assert!(less.verify().is_err_and(|why| why.contains("digest")));
    }
}
