//! Who is taken in, who votes and who is replaced: decided by the leader, one change at a time.
//!
//! No change is made that could cost a quorum: of the voters before and after it, taken by themselves, a majority must be
//! there now. A server is in the record once: under a new number it takes the place of its old one.

use std::collections::BTreeMap;

use crate::Micros;

/// A copy as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its number.
    pub copy: u64,
    /// Its server, and the zone of that.
    pub name: String,
    /// See `name`.
    pub zone: String,
    /// It votes now.
    pub votes: bool,
    /// Its server belongs to the fleet, as the leader was told.
    pub belongs: bool,
    /// For how long it has not been heard of.
    pub silent: Micros,
    /// It has all but the last few entries.
    pub caught_up: bool,
    /// How sick and loaded it says it is; the lower the better.
    pub burden: u32,
}

/// What the leader should do now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Take this copy in, to learn, in the place of those that its server had before.
    Admit(u64, Vec<u64>),
    /// Let it vote.
    Promote(u64),
    /// The first votes from now on in the place of the second, which learns.
    Replace(u64, u64),
    /// It learns from now on.
    Demote(u64),
    /// Its server does not belong to the fleet any more: it goes.
    Remove(u64),
}

/// What the rule goes by.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How many should vote: three or five.
    pub voters: usize,
    /// A voter silent for so long is replaced.
    pub replace_after: Micros,
    /// Silent for so long it does not count as there.
    pub there: Micros,
}

fn quorum(voters: usize) -> usize {
    voters / 2 + 1
}

/// Whether of these voters a majority is there.
fn holds(all: &[Candidate], settings: &Settings, votes: impl Fn(&Candidate) -> bool) -> bool {
    let voters: Vec<&Candidate> = all.iter().filter(|c| votes(c)).collect();
    let there = voters.iter().filter(|c| c.silent < settings.there).count();
    !voters.is_empty() && there >= quorum(voters.len())
}

/// Whether a change keeps a majority before and after it.
fn is_safe(all: &[Candidate], settings: &Settings, gain: Option<u64>, lose: &[u64]) -> bool {
    let after = |c: &Candidate| (c.votes || Some(c.copy) == gain) && !lose.contains(&c.copy);
    holds(all, settings, |c| c.votes) && holds(all, settings, after)
}

/// The change that is due, if one is. `asks` are copies that want to be taken in, with their servers' names.
pub fn due(settings: &Settings, all: &[Candidate], asks: &BTreeMap<String, u64>) -> Option<Change> {
    // A server that lost its disk comes back under a new number: its old one goes, whatever else is due.
    for (name, copy) in asks {
        if all.iter().any(|c| c.copy == *copy) {
            continue;
        }
        let old: Vec<u64> = all.iter().filter(|c| c.name == *name).map(|c| c.copy).collect();
        if is_safe(all, settings, None, &old) {
            return Some(Change::Admit(*copy, old));
        }
    }
    if let Some(gone) = all.iter().find(|c| !c.belongs && is_safe(all, settings, None, &[c.copy])) {
        return Some(Change::Remove(gone.copy));
    }
    let voters: Vec<&Candidate> = all.iter().filter(|c| c.votes).collect();
    let zone = |zone: &str, but: Option<u64>| {
        voters.iter().filter(|c| c.zone == zone && Some(c.copy) != but).count()
    };
    let gone = voters.iter().filter(|c| c.silent >= settings.replace_after).max_by_key(|c| c.silent);
    let ready = all.iter().filter(|c| !c.votes && c.belongs && c.caught_up && c.silent < settings.there);
    let best = ready.min_by_key(|c| {
        // Another zone than the other voters first, then the healthiest, then the name.
        (zone(&c.zone, gone.map(|g| g.copy)), c.burden, c.name.clone())
    });
    match (best, gone) {
        (Some(best), Some(gone)) if is_safe(all, settings, Some(best.copy), &[gone.copy]) => {
            Some(Change::Replace(best.copy, gone.copy))
        }
        (Some(best), None)
            if voters.len() < settings.voters && is_safe(all, settings, Some(best.copy), &[]) =>
        {
            Some(Change::Promote(best.copy))
        }
        (_, None) if voters.len() > settings.voters => {
            let extra = voters.iter().max_by_key(|c| (zone(&c.zone, None), c.burden, c.name.clone()))?;
            is_safe(all, settings, None, &[extra.copy]).then_some(Change::Demote(extra.copy))
        }
        _ => None,
    }
}

/// What an operator asks for by hand; an error says why not. As many vote afterwards as before, but for one too few: else
/// the rule would undo it. `leader` keeps its vote.
pub fn by_hand(
    settings: &Settings,
    all: &[Candidate],
    leader: u64,
    name: &str,
    votes: bool,
) -> Result<Change, String> {
    let found = all.iter().find(|c| c.name == name).ok_or(format!("{name} holds no copy"))?;
    if found.votes == votes {
        return Err(format!("{name} {} already", if votes { "votes" } else { "learns" }));
    }
    let there = |c: &&Candidate| c.silent < settings.there;
    let zone = |c: &Candidate| all.iter().filter(|o| o.votes && o.zone == c.zone).count();
    let change = if votes {
        if !found.caught_up {
            return Err(format!("{name} has not caught up"));
        }
        let few = all.iter().filter(|c| c.votes).count() < settings.voters;
        let voters = all.iter().filter(|c| c.votes && c.copy != leader);
        let other = voters.max_by_key(|c| (!there(c), zone(c), c.burden, c.name.clone()));
        match other {
            Some(other) if !few => Change::Replace(found.copy, other.copy),
            _ => Change::Promote(found.copy),
        }
    } else {
        let ready = all.iter().filter(|c| !c.votes && c.caught_up).filter(there);
        let best = ready.min_by_key(|c| (zone(c), c.burden, c.name.clone()));
        let best = best.ok_or("nobody else has caught up and could vote in its place")?;
        Change::Replace(best.copy, found.copy)
    };
    let (gain, lose) = match change {
        Change::Replace(new, old) => (new, vec![old]),
        _ => (found.copy, vec![]),
    };
    if !is_safe(all, settings, Some(gain), &lose) {
        return Err("a majority of the voters would not be there after it".to_owned());
    }
    Ok(change)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const SETTINGS: Settings = Settings { voters: 3, replace_after: 30, there: 3 };

    fn one(copy: u64, zone: &str, votes: bool, silent: Micros) -> Candidate {
        let (name, zone) = (format!("n{copy}"), zone.to_owned());
        Candidate { copy, name, zone, votes, belongs: true, silent, caught_up: true, burden: 0 }
    }

    #[test]
    fn what_is_due() {
        let none = BTreeMap::new();
        let asks = BTreeMap::from([("n2".to_owned(), 12)]);
        let three = || vec![one(1, "a", true, 0), one(2, "b", true, 0), one(3, "c", true, 0)];
        let with = |more: Candidate| [three(), vec![more]].concat();
        let silent = |n: usize, span: Micros, mut all: Vec<Candidate>| {
            all[n].silent = span;
            all
        };
        let cases = [
            // One founder, and one that has caught up.
            (vec![one(1, "a", true, 0), one(2, "b", false, 0)], &none, Some(Change::Promote(2))),
            (
                vec![one(1, "a", true, 0), Candidate { caught_up: false, ..one(2, "b", false, 0) }],
                &none,
                None,
            ),
            // Another zone first.
            (
                vec![one(1, "a", true, 0), one(2, "a", false, 0), one(3, "b", false, 0)],
                &none,
                Some(Change::Promote(3)),
            ),
            (with(one(4, "b", false, 0)), &none, None),
            // Gone, but not for long; for long; and with nobody to take its place.
            (silent(1, 20, with(one(4, "b", false, 0))), &none, None),
            (silent(1, 40, with(one(4, "b", false, 0))), &none, Some(Change::Replace(4, 2))),
            (silent(1, 40, three()), &none, None),
            // Two of three are gone: nothing may be changed.
            (silent(0, 40, silent(1, 40, with(one(4, "b", false, 0)))), &none, None),
            // A disk was lost: its server has a new number.
            (silent(1, 5, three()), &asks, Some(Change::Admit(12, vec![2]))),
            // With another voter gone, taking the old number out leaves one of two: it waits.
            (silent(0, 5, silent(1, 5, three())), &asks, None),
            ([three(), vec![one(4, "a", true, 0)]].concat(), &none, Some(Change::Demote(4))),
            // Taken out of the roster: it goes, unless that would cost a majority.
            (with(Candidate { belongs: false, ..one(4, "b", false, 9) }), &none, Some(Change::Remove(4))),
            (
                vec![
                    one(1, "a", true, 0),
                    one(2, "b", true, 9),
                    Candidate { belongs: false, ..one(3, "c", true, 0) },
                ],
                &none,
                None,
            ),
        ];
        for (all, asks, wanted) in cases {
            assert_eq!(due(&SETTINGS, &all, asks), wanted, "{all:?}");
        }
        let four = || with(one(4, "b", false, 0));
        let by_hand = |all: &[Candidate], name, votes| by_hand(&SETTINGS, all, 1, name, votes);
        assert_eq!(by_hand(&four(), "n4", true), Ok(Change::Replace(4, 3)));
        assert_eq!(by_hand(&silent(1, 9, four()), "n4", true), Ok(Change::Replace(4, 2)));
        assert_eq!(by_hand(&four(), "n2", false), Ok(Change::Replace(4, 2)));
        assert_eq!(by_hand(&three()[..2], "n1", true), Err("n1 votes already".to_owned()));
        assert!(by_hand(&three(), "n2", false).is_err_and(|why| why.contains("in its place")));
        assert!(by_hand(&silent(0, 9, silent(1, 9, four())), "n4", true).is_err());
    }

    proptest! {
        /// Whatever is there, no change leaves a majority of the voters away, before or after it.
        #[test]
        fn no_change_costs_a_quorum(drawn in prop::collection::vec((0u8..3, any::<bool>(), 0u64..50, any::<bool>()), 1..8),
            ask in 0usize..8) {
            let all: Vec<Candidate> = (1..).zip(&drawn).map(|(copy, (zone, votes, silent, caught_up))| Candidate {
                caught_up: *caught_up, ..one(copy, &zone.to_string(), *votes, *silent)
            }).collect();
            let asks = BTreeMap::from([(format!("n{ask}"), 99)]);
            let (gain, lose) = match due(&SETTINGS, &all, &asks) {
                None => return Ok(()),
                Some(Change::Admit(_, old)) => (None, old),
                Some(Change::Promote(copy)) => (Some(copy), vec![]),
                Some(Change::Replace(new, old)) => (Some(new), vec![old]),
                Some(Change::Demote(copy) | Change::Remove(copy)) => (None, vec![copy]),
            };
            let count = |votes: &dyn Fn(&Candidate) -> bool| {
                let voters: Vec<_> = all.iter().filter(|c| votes(c)).collect();
                (voters.iter().filter(|c| c.silent < SETTINGS.there).count(), voters.len())
            };
            for (there, voters) in [
                count(&|c| c.votes),
                count(&|c| (c.votes || Some(c.copy) == gain) && !lose.contains(&c.copy)),
            ] {
                prop_assert!(2 * there > voters, "{there} of {voters}");
            }
        }
    }
}
