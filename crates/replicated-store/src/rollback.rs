//! Rollback detection: finds a replica whose disk was set back to an earlier state, by a backup or an older
//! machine image.
//!
//! A voter that has lost entries or votes that it acknowledged can cause two leaders of one term or the loss
//! of committed entries. So a replica that was read from disk takes no part in Raft until its peers have
//! reported the durable progress that they remember of it. If a peer remembers more progress than the replica
//! has, the replica was rolled back: it is quarantined, and its server comes back with a new replica id, as a
//! learner.
//!
//! Peers remember what the replica's last status reported. Not covered is what a replica made durable after
//! its last status and acknowledged only to a leader that has failed too; nor is a fleet in which all
//! processes have restarted.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use umberloom_membership::MemberName;

#[cfg(test)]
mod tests;

/// Upper bound of the number of remembered replicas; beyond it the one with the lowest id is dropped. Ids are
/// random, so the choice is arbitrary.
const MAX_REMEMBERED_REPLICAS: usize = 4_096;

/// Durable progress of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DurableProgress {
    /// Number of times that a process has started with the replica.
    pub starts: u64,
    /// The replica's durable term.
    pub term: u64,
    /// Index of the replica's last durable entry.
    pub last_index: u64,
}

impl DurableProgress {
    /// Whether a replica with the progress `self` can have `later` afterwards. Starts and terms never
    /// decrease. The index decreases only if a later leader has replaced entries, and then the term is a
    /// later one.
    pub fn can_precede(&self, later: &DurableProgress) -> bool {
        let index_can_precede = self.last_index <= later.last_index || self.term < later.term;
        self.starts <= later.starts && self.term <= later.term && index_can_precede
    }

    /// The later of both terms with its index, and the higher number of starts.
    fn furthest(self, other: DurableProgress) -> DurableProgress {
        let last_index = match self.term.cmp(&other.term) {
            Ordering::Greater => self.last_index,
            Ordering::Less => other.last_index,
            Ordering::Equal => self.last_index.max(other.last_index),
        };
        DurableProgress { starts: self.starts.max(other.starts), term: self.term.max(other.term), last_index }
    }
}

/// Durable progress of the other servers' replicas as this process remembers it, by replica id.
#[derive(Clone, Debug, Default)]
pub struct PeerProgress(BTreeMap<u64, DurableProgress>);

impl PeerProgress {
    /// Records the progress that a replica reports; remembered progress never decreases. Id 0, no replica, is
    /// ignored.
    pub fn record(&mut self, replica_id: u64, progress: DurableProgress) {
        if replica_id == 0 {
            return;
        }
        if self.0.len() >= MAX_REMEMBERED_REPLICAS && !self.0.contains_key(&replica_id) {
            self.0.pop_first();
        }
        let known = self.0.entry(replica_id).or_default();
        *known = known.furthest(progress);
    }

    /// The progress that is remembered of a replica.
    pub fn progress_of(&self, replica_id: u64) -> Option<DurableProgress> {
        self.0.get(&replica_id).copied()
    }
}

/// The rollback check of a replica that was read from disk.
#[derive(Clone, Debug)]
pub struct RollbackCheck {
    own_progress: DurableProgress,
    /// Progress of this replica that each member remembers; `None` if it remembers nothing.
    answers: BTreeMap<MemberName, Option<DurableProgress>>,
}

/// Result of the rollback check so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Too few members have answered.
    Undecided,
    /// The replica may take part in Raft.
    UpToDate,
    /// The replica was rolled back: a member remembers this progress, which the replica lacks.
    RolledBack(DurableProgress),
}

impl RollbackCheck {
    /// Starts the check of a replica that was read from disk with this progress.
    pub fn new(own_progress: DurableProgress) -> RollbackCheck {
        RollbackCheck { own_progress, answers: BTreeMap::new() }
    }

    /// Records the progress of this replica that a member remembers.
    pub fn handle_answer(&mut self, from: &MemberName, remembered: Option<DurableProgress>) {
        self.answers.insert(from.clone(), remembered);
    }

    /// Decides whether the replica may take part in Raft. `other_voters` are all voters but this replica.
    /// Enough of them to form a majority together with it must have answered.
    pub fn verdict(&self, other_voters: &[MemberName]) -> Verdict {
        let mut remembered = self.answers.values().flatten();
        if let Some(progress) = remembered.find(|progress| !progress.can_precede(&self.own_progress)) {
            return Verdict::RolledBack(*progress);
        }
        let answered = other_voters.iter().filter(|name| self.answers.contains_key(*name)).count();
        let required = other_voters.len().div_ceil(2);
        if answered >= required {
            Verdict::UpToDate
        } else {
            Verdict::Undecided
        }
    }
}
