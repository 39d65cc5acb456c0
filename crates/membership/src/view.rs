//! Views, and whether two of them are the same.
//!
//! A view is a line for each member that the operator named, this server included: whether it is held to be there,
//! and by which process. Suspicions are left out: they differ for a moment all the time. Two living members whose
//! digests differ for longer than [`crate::config::Timing::disagree`] are in disagreement, which is a condition with
//! a name; both views are then kept, so that an operator can see where they part.

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

/// Two living members that have held different views for long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewDivergence {
    /// The other.
    pub peer: MemberName,
    /// Since when.
    pub since: Micros,
    /// Our view when it was found.
    pub ours: Vec<ViewRow>,
    /// Theirs, once they have told it.
    pub theirs: Vec<ViewRow>,
}

impl ViewDivergence {
    /// Where the two views part, one line each.
    pub fn differences(&self) -> Vec<String> {
        let word = |row: Option<&ViewRow>| match row {
            None => "not in its roster".to_owned(),
            Some(row) if row.present => format!("there, started at {}", row.boot_id),
            Some(_) => "not there".to_owned(),
        };
        let find = |rows: &[ViewRow], name: &MemberName| word(rows.iter().find(|r| r.name == *name));
        let names: std::collections::BTreeSet<&MemberName> =
            self.ours.iter().chain(&self.theirs).map(|row| &row.name).collect();
        let both = names.into_iter().map(|name| (name, find(&self.ours, name), find(&self.theirs, name)));
        both.filter(|(_, ours, theirs)| ours != theirs)
            .map(|(name, ours, theirs)| format!("{name}: {ours} here, {theirs} for {}", self.peer))
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_digest_tells_views_apart_and_differences_are_named() {
        let row = |name: &str, boot, there| ViewRow { name: name.into(), boot_id: boot, present: there };
        let (ours, theirs) =
            (vec![row("a", 1, true), row("b", 2, true)], vec![row("a", 1, true), row("b", 0, false)]);
        assert_eq!(digest(&ours), digest(&ours.clone()));
        assert_ne!(digest(&ours), digest(&theirs));
        let found = ViewDivergence { peer: "c".into(), since: 0, ours, theirs };
        assert_eq!(found.differences(), ["b: there, started at 2 here, not there for c"]);
    }
}
