//! Rollback detection: a replica whose disk was set back, by a backup or an older machine image, is found out.
//!
//! A voter that has forgotten what it acknowledged can make two leaders of one term or lose committed entries. So a replica
//! that was read from disk takes no part before it has heard what others remember of it; one that they remember further
//! than it is was rolled back: it is quarantined, and its server comes back with a new replica id, as a learner.
//!
//! What the others remember is as old as its last status at most. What a replica made durable within that time of its end,
//! and acknowledged only to a leader that is gone too, is not covered. Nor is a fleet all of whose processes have restarted.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use umberloom_membership::MemberName;

#[cfg(test)]
mod tests;

/// Replicas that are remembered; beyond that the one with the lowest id goes. Ids are random, so that is none in particular.
const MAX_REMEMBERED_REPLICAS: usize = 4_096;

/// How far a replica has come, durably.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DurableProgress {
    /// How often a process has started with it.
    pub starts: u64,
    /// Its term.
    pub term: u64,
    /// Index of its last durable entry.
    pub last_index: u64,
}

impl DurableProgress {
    /// Whether a replica at `self` can have become one at `now`: starts and terms never fall. The index may, when a later
    /// leader has replaced entries: then the term is a later one.
    pub fn can_precede(&self, now: &DurableProgress) -> bool {
        let index_can_precede = self.last_index <= now.last_index || self.term < now.term;
        self.starts <= now.starts && self.term <= now.term && index_can_precede
    }

    fn furthest(self, other: DurableProgress) -> DurableProgress {
        let last_index = match self.term.cmp(&other.term) {
            Ordering::Greater => self.last_index,
            Ordering::Less => other.last_index,
            Ordering::Equal => self.last_index.max(other.last_index),
        };
        DurableProgress { starts: self.starts.max(other.starts), term: self.term.max(other.term), last_index }
    }
}

/// What this server remembers of the replicas of others, in memory.
#[derive(Clone, Debug, Default)]
pub struct PeerProgress(BTreeMap<u64, DurableProgress>);

impl PeerProgress {
    /// Records what a replica reports; what is remembered never falls. Id 0 is no replica.
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

    /// How far a replica was, as far as is remembered.
    pub fn progress_of(&self, replica_id: u64) -> Option<DurableProgress> {
        self.0.get(&replica_id).copied()
    }
}

/// The check of a replica that was read from disk.
#[derive(Clone, Debug)]
pub struct RollbackCheck {
    own_progress: DurableProgress,
    answers: BTreeMap<MemberName, Option<DurableProgress>>,
}

/// The result of the check so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Too few members have answered.
    Undecided,
    /// The replica may take part.
    UpToDate,
    /// Some member remembers it further than it is: this far.
    RolledBack(DurableProgress),
}

impl RollbackCheck {
    /// Starts the check of a replica that was read from disk with this progress.
    pub fn new(own_progress: DurableProgress) -> RollbackCheck {
        RollbackCheck { own_progress, answers: BTreeMap::new() }
    }

    /// A member says what it remembers of this replica.
    pub fn handle_answer(&mut self, from: &MemberName, remembered: Option<DurableProgress>) {
        self.answers.insert(from.clone(), remembered);
    }

    /// Whether the replica may take part. `other_voters` are all voters but itself: as many of them as make a majority with
    /// it must have answered, so that every majority that it was part of has one who would know.
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
