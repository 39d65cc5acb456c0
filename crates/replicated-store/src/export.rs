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
    pub exported_by: String,
    /// See `from`.
    pub applied: u64,
    /// See `from`.
    pub rolling_digest: Digest,
    /// The snapshot's state.
    pub snapshot: Vec<u8>,
    /// Entries since: index, what it is to the library (0: content), and bytes.
    pub entries: Vec<(u64, u64, Vec<u8>)>,
}

/// What a check found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verified {
    /// The record's number.
    pub store_id: u64,
    /// The index of the snapshot, and the last that was agreed on.
    pub snapshot_index: u64,
    /// See `from`.
    pub last_index: u64,
    /// Documents after that, with versions and lengths.
    pub documents: Vec<(String, u64, usize)>,
    /// Entries of newer programs.
    pub unsupported_entries: u64,
}

impl Export {
    /// As a file.
    pub fn to_bytes(&self) -> Vec<u8> {
        let content = postcard::to_allocvec(self).unwrap_or_default();
        [TITLE, &digest(&[&content]), &content].concat()
    }

    /// From a file; the error says what is wrong with it.
    pub fn from_bytes(bytes: &[u8]) -> Result<Export, String> {
        let rest = bytes.strip_prefix(TITLE).ok_or("it does not begin as an export of a record does")?;
        let (said, content) = rest.split_first_chunk::<16>().ok_or("it ends within its digest")?;
        if digest(&[content]) != *said {
            return Err("its digest does not fit: it was changed or cut short".to_owned());
        }
        postcard::from_bytes(content).map_err(|e| format!("it can't be read: {e}"))
    }

    /// Applies everything again and compares the rolling digest with what the server had.
    pub fn verify(&self) -> Result<Verified, String> {
        let mut state = State::from_bytes(&self.snapshot).ok_or("its state can't be read")?;
        let from = state.applied;
        for (index, kind, bytes) in &self.entries {
            if *index != state.applied + 1 {
                return Err(format!("entry {index} follows {}", state.applied));
            }
            // Changes of members roll the digest by their bytes; who they are is in the next snapshot.
            match kind {
                0 => drop(state.apply(*index, bytes)),
                _ => state.apply_members(*index, bytes, |_| {}),
            }
            if *kind == 0 && !bytes.is_empty() && Envelope::from_bytes(bytes).is_none() {
                return Err(format!("entry {index} has no envelope"));
            }
        }
        if (state.applied, state.rolling_digest) != (self.applied, self.rolling_digest) {
            return Err(format!(
                "after entry {} its digest is not what {} had",
                state.applied, self.exported_by
            ));
        }
        let documents = state.documents();
        let documents = documents.map(|(n, h)| (n.clone(), h.version, h.bytes.as_ref().map_or(0, Vec::len)));
        let (record, unknown) = (state.store_id, state.unsupported_entries);
        Ok(Verified {
            store_id: record,
            snapshot_index: from,
            last_index: state.applied,
            documents: documents.collect(),
            unsupported_entries: unknown,
        })
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
        let first = state.to_bytes();
        let entries: Vec<(u64, u64, Vec<u8>)> = (2..6)
            .map(|n| {
                (n, 0, Entry::document("x", vec![n as u8], None)[0].to_envelope(n.into(), "a", 0).to_bytes())
            })
            .collect();
        entries.iter().for_each(|(n, _, bytes)| drop(state.apply(*n, bytes)));
        let export = Export {
            exported_by: "a".into(),
            applied: 5,
            rolling_digest: state.rolling_digest,
            snapshot: first,
            entries,
        };
        let file = export.to_bytes();
        let read = Export::from_bytes(&file).expect("readable");
        let found = read.verify().expect("sound");
        assert_eq!((found.store_id, found.snapshot_index, found.last_index), (7, 1, 5));
        assert_eq!(found.documents, [("x".to_owned(), 4, 1)]);
        for byte in (0..file.len()).step_by(3) {
            let mut other = file.clone();
            other[byte] ^= 4;
            assert!(Export::from_bytes(&other).is_err(), "byte {byte}");
        }
        let mut less = export.clone();
        less.entries.remove(1);
        assert!(less.verify().is_err());
        less = export;
        less.entries.pop();
        assert!(less.verify().is_err_and(|why| why.contains("digest")));
    }
}
