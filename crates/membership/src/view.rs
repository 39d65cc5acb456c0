//! Views of the fleet and their comparison.
//!
//! A view has a row for each member of the roster, this server included, with whether the member is present
//! and the start of its process. Suspicions are left out because they often differ between members for a
//! short time. The views of two live members have *diverged* when their digests differ for longer than
//! [`crate::config::Timing::divergence_timeout`]; both views are then kept, so that an operator can see the
//! differences.

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;

use crate::identity::MemberName;
use crate::wire::ViewRow;
use crate::Micros;

/// Returns the digest of a view. The rows must be ordered by name.
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
    /// The rows, ordered by name; empty while the view has to be rebuilt.
    pub rows: Vec<ViewRow>,
    /// The digest of the rows, which is sent with each message of a session.
    pub digest: u64,
}

impl LocalView {
    /// Marks the rows as outdated. The digest stays until they are replaced.
    pub fn invalidate(&mut self) {
        self.rows.clear();
    }

    /// Replaces the rows, which must be ordered by name, and updates the digest.
    pub fn replace(&mut self, rows: Vec<ViewRow>) {
        self.digest = digest(&rows);
        self.rows = rows;
    }
}

/// A divergence between this server's view and that of a live member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewDivergence {
    /// The other member.
    pub peer: MemberName,
    /// Since when the views have differed.
    pub since: Micros,
    /// This server's view when the divergence was detected.
    pub ours: Vec<ViewRow>,
    /// The other member's view; empty until it has been received.
    pub theirs: Vec<ViewRow>,
}

impl ViewDivergence {
    /// Describes where the two views differ, one line for each member.
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
