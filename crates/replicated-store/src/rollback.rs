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
const MOST: usize = 4_096;

/// How far a copy was.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Seen {
    /// How often a process had begun with it.
    pub starts: u64,
    /// Its term.
    pub term: u64,
    /// Its last durable entry.
    pub last: u64,
}

impl Seen {
    /// Whether a copy at `self` can have become one at `now`: starts and terms never fall. Entries may, when a later
    /// leader has others in their place: then the term is a later one.
    pub fn leads_to(&self, now: &Seen) -> bool {
        self.starts <= now.starts && self.term <= now.term && (self.last <= now.last || self.term < now.term)
    }

    fn further(self, other: Seen) -> Seen {
        let last = match self.term.cmp(&other.term) {
            std::cmp::Ordering::Greater => self.last,
            std::cmp::Ordering::Less => other.last,
            std::cmp::Ordering::Equal => self.last.max(other.last),
        };
        Seen { starts: self.starts.max(other.starts), term: self.term.max(other.term), last }
    }
}

/// What this server remembers of the copies of others.
#[derive(Clone, Debug, Default)]
pub struct Memory(BTreeMap<u64, Seen>);

impl Memory {
    /// A copy says how far it is.
    pub fn note(&mut self, copy: u64, seen: Seen) {
        if copy == 0 {
            return;
        }
        if self.0.len() >= MOST && !self.0.contains_key(&copy) {
            self.0.pop_first();
        }
        let known = self.0.entry(copy).or_default();
        *known = known.further(seen);
    }

    /// How far a copy was, as far as is remembered.
    pub fn of(&self, copy: u64) -> Option<Seen> {
        self.0.get(&copy).copied()
    }
}

/// A copy that has begun and waits to hear what others remember of it.
#[derive(Clone, Debug)]
pub struct Returning {
    at: Seen,
    heard: BTreeMap<MemberName, Option<Seen>>,
}

/// What came of the question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Not enough have said something.
    Wait,
    /// Take part.
    Sound,
    /// Somebody remembers it further than it is: so far.
    SetBack(Seen),
}

impl Returning {
    /// A copy that was read from a disk, this far.
    pub fn new(at: Seen) -> Returning {
        Returning { at, heard: BTreeMap::new() }
    }

    /// A member says what it remembers.
    pub fn hear(&mut self, from: &MemberName, of_us: Option<Seen>) {
        self.heard.insert(from.clone(), of_us);
    }

    /// Whether it may take part, among voters of these names but its own: as many as make a majority with it must have
    /// said something, so that every majority that it was part of has one who would know.
    pub fn verdict(&self, others: &[MemberName]) -> Verdict {
        let mine = Seen { starts: self.at.starts, ..self.at };
        let further = self.heard.values().flatten().find(|seen| !seen.leads_to(&mine));
        if let Some(seen) = further {
            return Verdict::SetBack(*seen);
        }
        let said = others.iter().filter(|name| self.heard.contains_key(*name)).count();
        let needed = others.len().div_ceil(2);
        if said >= needed {
            Verdict::Sound
        } else {
            Verdict::Wait
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn seen(starts: u64, term: u64, last: u64) -> Seen {
        Seen { starts, term, last }
    }

    #[test]
    fn what_others_remember_tells_one_that_was_set_back() {
        let others: Vec<MemberName> = ["b", "c", "d", "e"].map(MemberName::from).to_vec();
        // Its own state; what two of four others say; what comes of it.
        let cases = [
            (seen(3, 5, 90), [Some(seen(2, 5, 90)), Some(seen(2, 4, 80))], Verdict::Sound),
            (seen(3, 5, 90), [None, None], Verdict::Sound),
            (seen(3, 5, 90), [Some(seen(2, 6, 70)), None], Verdict::SetBack(seen(2, 6, 70))),
            (seen(3, 5, 90), [None, Some(seen(2, 5, 91))], Verdict::SetBack(seen(2, 5, 91))),
            (seen(3, 5, 90), [Some(seen(4, 5, 90)), None], Verdict::SetBack(seen(4, 5, 90))),
            // A later leader has put others in the place of entries that were never committed.
            (seen(3, 6, 60), [Some(seen(2, 5, 70)), None], Verdict::Sound),
        ];
        for (mine, said, wanted) in cases {
            let mut returning = Returning::new(mine);
            assert_eq!(returning.verdict(&others), Verdict::Wait);
            returning.hear(&others[0], said[0]);
            returning.hear(&others[1], said[1]);
            assert_eq!(returning.verdict(&others), wanted, "{mine:?} {said:?}");
        }
        assert_eq!(Returning::new(seen(1, 1, 1)).verdict(&[]), Verdict::Sound);
    }

    #[test]
    fn memory_goes_forward_and_has_a_bound() {
        let mut memory = Memory::default();
        memory.note(7, seen(1, 4, 50));
        memory.note(7, seen(1, 3, 90));
        assert_eq!(memory.of(7), Some(seen(1, 4, 50)));
        (1..=2 * MOST as u64).for_each(|copy| memory.note(copy, seen(1, 1, 1)));
        assert_eq!(memory.0.len(), MOST);
    }
}
