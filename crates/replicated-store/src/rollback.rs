//! Whether a copy was set back: a backup put in the place of the disk, a machine's image from before.
//!
//! A voter that has forgotten what it promised can make two leaders of one term or lose what was told to be done. So a
//! copy that begins does not take part before it has heard what others remember of it; one that they remember further
//! than it is has been set back: it is set aside and comes back under a new number, as a learner.
//!
//! What the others remember is as old as its last status at most; what a copy made durable within that time of its end,
//! and told to nobody but a leader that is gone too, is not covered. Nor is a fleet all of whose processes began anew.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use umberloom_membership::MemberName;

/// Copies that are remembered; beyond that the one with the lowest number goes, which is none in particular.
const MAX_REMEMBERED_REPLICAS: usize = 4_096;

/// How far a copy was.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DurableProgress {
    /// How often a process had begun with it.
    pub starts: u64,
    /// Its term.
    pub term: u64,
    /// Its last durable entry.
    pub last_index: u64,
}

impl DurableProgress {
    /// Whether a copy at `self` can have become one at `now`: starts and terms never fall. Entries may, when a later
    /// leader has others in their place: then the term is a later one.
    pub fn can_precede(&self, now: &DurableProgress) -> bool {
        self.starts <= now.starts
            && self.term <= now.term
            && (self.last_index <= now.last_index || self.term < now.term)
    }

    fn furthest(self, other: DurableProgress) -> DurableProgress {
        let last = match self.term.cmp(&other.term) {
            std::cmp::Ordering::Greater => self.last_index,
            std::cmp::Ordering::Less => other.last_index,
            std::cmp::Ordering::Equal => self.last_index.max(other.last_index),
        };
        DurableProgress {
            starts: self.starts.max(other.starts),
            term: self.term.max(other.term),
            last_index: last,
        }
    }
}

/// What this server remembers of the copies of others.
#[derive(Clone, Debug, Default)]
pub struct PeerProgress(BTreeMap<u64, DurableProgress>);

impl PeerProgress {
    /// A copy says how far it is.
    pub fn record(&mut self, copy: u64, seen: DurableProgress) {
        if copy == 0 {
            return;
        }
        if self.0.len() >= MAX_REMEMBERED_REPLICAS && !self.0.contains_key(&copy) {
            self.0.pop_first();
        }
        let known = self.0.entry(copy).or_default();
        *known = known.furthest(seen);
    }

    /// How far a copy was, as far as is remembered.
    pub fn progress_of(&self, copy: u64) -> Option<DurableProgress> {
        self.0.get(&copy).copied()
    }
}

/// A copy that has begun and waits to hear what others remember of it.
#[derive(Clone, Debug)]
pub struct RollbackCheck {
    own_progress: DurableProgress,
    answers: BTreeMap<MemberName, Option<DurableProgress>>,
}

/// What came of the question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Not enough have said something.
    Undecided,
    /// Take part.
    UpToDate,
    /// Somebody remembers it further than it is: so far.
    RolledBack(DurableProgress),
}

impl RollbackCheck {
    /// A copy that was read from a disk, this far.
    pub fn new(own_progress: DurableProgress) -> RollbackCheck {
        RollbackCheck { own_progress, answers: BTreeMap::new() }
    }

    /// A member says what it remembers.
    pub fn handle_answer(&mut self, from: &MemberName, of_us: Option<DurableProgress>) {
        self.answers.insert(from.clone(), of_us);
    }

    /// Whether it may take part, among voters of these names but its own: as many as make a majority with it must have
    /// said something, so that every majority that it was part of has one who would know.
    pub fn verdict(&self, others: &[MemberName]) -> Verdict {
        let mine = DurableProgress { starts: self.own_progress.starts, ..self.own_progress };
        let further = self.answers.values().flatten().find(|seen| !seen.can_precede(&mine));
        if let Some(seen) = further {
            return Verdict::RolledBack(*seen);
        }
        let said = others.iter().filter(|name| self.answers.contains_key(*name)).count();
        let needed = others.len().div_ceil(2);
        if said >= needed {
            Verdict::UpToDate
        } else {
            Verdict::Undecided
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn seen(starts: u64, term: u64, last: u64) -> DurableProgress {
        DurableProgress { starts, term, last_index: last }
    }

    #[test]
    fn what_others_remember_tells_one_that_was_set_back() {
        let others: Vec<MemberName> = ["b", "c", "d", "e"].map(MemberName::from).to_vec();
        // Its own state; what two of four others say; what comes of it.
        let cases = [
            (seen(3, 5, 90), [Some(seen(2, 5, 90)), Some(seen(2, 4, 80))], Verdict::UpToDate),
            (seen(3, 5, 90), [None, None], Verdict::UpToDate),
            (seen(3, 5, 90), [Some(seen(2, 6, 70)), None], Verdict::RolledBack(seen(2, 6, 70))),
            (seen(3, 5, 90), [None, Some(seen(2, 5, 91))], Verdict::RolledBack(seen(2, 5, 91))),
            (seen(3, 5, 90), [Some(seen(4, 5, 90)), None], Verdict::RolledBack(seen(4, 5, 90))),
            // A later leader has put others in the place of entries that were never committed.
            (seen(3, 6, 60), [Some(seen(2, 5, 70)), None], Verdict::UpToDate),
        ];
        for (mine, said, wanted) in cases {
            let mut returning = RollbackCheck::new(mine);
            assert_eq!(returning.verdict(&others), Verdict::Undecided);
            returning.handle_answer(&others[0], said[0]);
            returning.handle_answer(&others[1], said[1]);
            assert_eq!(returning.verdict(&others), wanted, "{mine:?} {said:?}");
        }
        assert_eq!(RollbackCheck::new(seen(1, 1, 1)).verdict(&[]), Verdict::UpToDate);
    }

    #[test]
    fn memory_goes_forward_and_has_a_bound() {
        let mut memory = PeerProgress::default();
        memory.record(7, seen(1, 4, 50));
        memory.record(7, seen(1, 3, 90));
        assert_eq!(memory.progress_of(7), Some(seen(1, 4, 50)));
        (1..=2 * MAX_REMEMBERED_REPLICAS as u64).for_each(|copy| memory.record(copy, seen(1, 1, 1)));
        assert_eq!(memory.0.len(), MAX_REMEMBERED_REPLICAS);
    }
}
