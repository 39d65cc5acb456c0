//! Write batches: changes of rows that are applied atomically.

/// The lowest space that users of the store can write to; space 0 holds the store's own metadata.
const FIRST_SPACE: u8 = 1;

/// A sequence of changes that is applied atomically, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteBatch {
    changes: Vec<Change>,
}

/// One change. Each key consists of the space, as one byte, and the name of the row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    Put {
        key: Vec<u8>,
        value: Vec<u8>,
    },
    Remove {
        key: Vec<u8>,
    },
    /// Removes the rows from `start` up to, but not including, `end`.
    RemoveRange {
        start: Vec<u8>,
        end: Vec<u8>,
    },
}

/// The key of a row. Space 0 is raised to 1, so that no user of the store can overwrite its metadata, such as
/// the format version.
pub(crate) fn row_key(space: u8, name: &[u8]) -> Vec<u8> {
    let mut key = Vec::with_capacity(name.len() + 1);
    key.push(space.max(FIRST_SPACE));
    key.extend_from_slice(name);
    key
}

/// The end key of a range that covers all rows of a space.
pub(crate) fn end_of_space(space: u8) -> Vec<u8> {
    vec![space.max(FIRST_SPACE).saturating_add(1)]
}

impl WriteBatch {
    /// An empty batch.
    pub fn new() -> WriteBatch {
        WriteBatch::default()
    }

    /// Writes a row; `space` is from 1 to 255.
    #[must_use]
    pub fn put(mut self, space: u8, name: &[u8], value: &[u8]) -> WriteBatch {
        self.changes.push(Change::Put { key: row_key(space, name), value: value.to_vec() });
        self
    }

    /// Removes a row.
    #[must_use]
    pub fn remove(mut self, space: u8, name: &[u8]) -> WriteBatch {
        self.changes.push(Change::Remove { key: row_key(space, name) });
        self
    }

    /// Removes the rows from `start` up to, but not including, `end`.
    #[must_use]
    pub fn remove_range(mut self, space: u8, start: &[u8], end: &[u8]) -> WriteBatch {
        self.changes.push(Change::RemoveRange { start: row_key(space, start), end: row_key(space, end) });
        self
    }

    /// Appends the changes of another batch.
    #[must_use]
    pub fn then(mut self, other: WriteBatch) -> WriteBatch {
        self.changes.extend(other.changes);
        self
    }

    /// Whether the batch has no changes.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    pub(crate) fn changes(&self) -> &[Change] {
        &self.changes
    }
}
