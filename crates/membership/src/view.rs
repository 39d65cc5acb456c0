//! Views, and whether two of them are the same.
//!
//! A view is a row for each member that the operator named, this server included: whether it is present, and as which
//! process. Suspicions are left out: they differ for a moment all the time. Two living members whose digests differ
//! for longer than [`crate::config::Timing::divergence_timeout`] have diverged, which is a condition with a name; both
//! views are then kept, so that an operator can see where they differ.

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;

use crate::identity::MemberName;
use crate::wire::ViewRow;
use crate::Micros;

/// The digest of a view whose rows are in the order of their names.
pub fn digest(rows: &[ViewRow]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for row in rows {
        hasher.update(&(row.name.len() as u32).to_le_bytes());
        hasher.update(row.name.as_bytes());
        hasher.update(&row.boot_id.to_le_bytes());
        hasher.update(&[u8::from(row.present)]);
    }
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// This server's own view.
#[derive(Debug, Default)]
pub(crate) struct LocalView {
    /// In the order of names; empty while the view has to be made anew.
    pub rows: Vec<ViewRow>,
    /// The digest of the rows, as it goes with each message.
    pub digest: u64,
}

impl LocalView {
    /// The rows are to be made anew; until then the digest stays.
    pub fn invalidate(&mut self) {
        self.rows.clear();
    }

    /// Takes new rows, in the order of names.
    pub fn replace(&mut self, rows: Vec<ViewRow>) {
        self.digest = digest(&rows);
        self.rows = rows;
    }
}

/// A living member whose view has differed from this server's for long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewDivergence {
    /// The member.
    pub peer: MemberName,
    /// Since when.
    pub since: Micros,
    /// Our view when it was found.
    pub ours: Vec<ViewRow>,
    /// Its view, once it has sent it.
    pub theirs: Vec<ViewRow>,
}

impl ViewDivergence {
    /// Where the two views differ, one line for each member.
    pub fn differences(&self) -> Vec<String> {
        let names: BTreeSet<&MemberName> =
            self.ours.iter().chain(&self.theirs).map(|row| &row.name).collect();
        names.into_iter().filter_map(|name| self.difference(name)).collect()
    }

    fn difference(&self, name: &MemberName) -> Option<String> {
        let ours = describe_row(&self.ours, name);
        let theirs = describe_row(&self.theirs, name);
        (ours != theirs).then(|| format!("{name}: {ours} here, {theirs} for {}", self.peer))
    }
}

fn describe_row(rows: &[ViewRow], name: &MemberName) -> String {
    match rows.iter().find(|row| row.name == *name) {
        None => "not in its roster".to_owned(),
        Some(row) if row.present => format!("there, started at {}", row.boot_id),
        Some(_) => "not there".to_owned(),
    }
}
