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
    pub replica_id: u64,
    /// Its server, and the zone of that.
    pub name: String,
    /// See `name`.
    pub zone: String,
    /// It votes now.
    pub is_voter: bool,
    /// Its server belongs to the fleet, as the leader was told.
    pub is_configured: bool,
    /// For how long it has not been heard of.
    pub silent_for: Micros,
    /// It has all but the last few entries.
    pub caught_up: bool,
    /// How sick and loaded it says it is; the lower the better.
    pub load: u32,
}

/// What the leader should do now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Take this copy in, to learn, in the place of those that its server had before.
    AddLearner(u64, Vec<u64>),
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
pub struct VoterPolicy {
    /// How many should vote: three or five.
    pub voters: usize,
    /// A voter silent for so long is replaced.
    pub replace_after: Micros,
    /// Silent for so long it does not count as there.
    pub reachable_within: Micros,
}

fn quorum(voters: usize) -> usize {
    voters / 2 + 1
}

/// Whether of these voters a majority is there.
fn has_quorum(all: &[Candidate], settings: &VoterPolicy, votes: impl Fn(&Candidate) -> bool) -> bool {
    let voters: Vec<&Candidate> = all.iter().filter(|c| votes(c)).collect();
    let there = voters.iter().filter(|c| c.silent_for < settings.reachable_within).count();
    !voters.is_empty() && there >= quorum(voters.len())
}

/// Whether a change keeps a majority before and after it.
fn keeps_quorum(all: &[Candidate], settings: &VoterPolicy, gain: Option<u64>, lose: &[u64]) -> bool {
    let after = |c: &Candidate| (c.is_voter || Some(c.replica_id) == gain) && !lose.contains(&c.replica_id);
    has_quorum(all, settings, |c| c.is_voter) && has_quorum(all, settings, after)
}

/// The change that is due, if one is. `asks` are copies that want to be taken in, with their servers' names.
pub fn next_change(
    settings: &VoterPolicy,
    all: &[Candidate],
    asks: &BTreeMap<String, u64>,
) -> Option<MembershipChange> {
    // A server that lost its disk comes back under a new number: its old one goes, whatever else is due.
    for (name, copy) in asks {
        if all.iter().any(|c| c.replica_id == *copy) {
            continue;
        }
        let old: Vec<u64> = all.iter().filter(|c| c.name == *name).map(|c| c.replica_id).collect();
        if keeps_quorum(all, settings, None, &old) {
            return Some(MembershipChange::AddLearner(*copy, old));
        }
    }
    if let Some(gone) =
        all.iter().find(|c| !c.is_configured && keeps_quorum(all, settings, None, &[c.replica_id]))
    {
        return Some(MembershipChange::Remove(gone.replica_id));
    }
    let voters: Vec<&Candidate> = all.iter().filter(|c| c.is_voter).collect();
    let zone = |zone: &str, but: Option<u64>| {
        voters.iter().filter(|c| c.zone == zone && Some(c.replica_id) != but).count()
    };
    let gone = voters.iter().filter(|c| c.silent_for >= settings.replace_after).max_by_key(|c| c.silent_for);
    let ready = all.iter().filter(|c| {
        !c.is_voter && c.is_configured && c.caught_up && c.silent_for < settings.reachable_within
    });
    let best = ready.min_by_key(|c| {
        // Another zone than the other voters first, then the healthiest, then the name.
        (zone(&c.zone, gone.map(|g| g.replica_id)), c.load, c.name.clone())
    });
    match (best, gone) {
        (Some(best), Some(gone))
            if keeps_quorum(all, settings, Some(best.replica_id), &[gone.replica_id]) =>
        {
            Some(MembershipChange::Replace(best.replica_id, gone.replica_id))
        }
        (Some(best), None)
            if voters.len() < settings.voters && keeps_quorum(all, settings, Some(best.replica_id), &[]) =>
        {
            Some(MembershipChange::Promote(best.replica_id))
        }
        (_, None) if voters.len() > settings.voters => {
            let extra = voters.iter().max_by_key(|c| (zone(&c.zone, None), c.load, c.name.clone()))?;
            keeps_quorum(all, settings, None, &[extra.replica_id])
                .then_some(MembershipChange::Demote(extra.replica_id))
        }
        _ => None,
    }
}

/// What an operator asks for by hand; an error says why not. As many vote afterwards as before, but for one too few: else
/// the rule would undo it. `leader` keeps its vote.
pub fn requested_change(
    settings: &VoterPolicy,
    all: &[Candidate],
    leader: u64,
    name: &str,
    votes: bool,
) -> Result<MembershipChange, String> {
    let found = all.iter().find(|c| c.name == name).ok_or(format!("{name} holds no copy"))?;
    if found.is_voter == votes {
        return Err(format!("{name} {} already", if votes { "votes" } else { "learns" }));
    }
    let there = |c: &&Candidate| c.silent_for < settings.reachable_within;
    let zone = |c: &Candidate| all.iter().filter(|o| o.is_voter && o.zone == c.zone).count();
    let change = if votes {
        if !found.caught_up {
            return Err(format!("{name} has not caught up"));
        }
        let few = all.iter().filter(|c| c.is_voter).count() < settings.voters;
        let voters = all.iter().filter(|c| c.is_voter && c.replica_id != leader);
        let other = voters.max_by_key(|c| (!there(c), zone(c), c.load, c.name.clone()));
        match other {
            Some(other) if !few => MembershipChange::Replace(found.replica_id, other.replica_id),
            _ => MembershipChange::Promote(found.replica_id),
        }
    } else {
        let ready = all.iter().filter(|c| !c.is_voter && c.caught_up).filter(there);
        let best = ready.min_by_key(|c| (zone(c), c.load, c.name.clone()));
        let best = best.ok_or("nobody else has caught up and could vote in its place")?;
        MembershipChange::Replace(best.replica_id, found.replica_id)
    };
    let (gain, lose) = match change {
        MembershipChange::Replace(new, old) => (new, vec![old]),
        _ => (found.replica_id, vec![]),
    };
    if !keeps_quorum(all, settings, Some(gain), &lose) {
        return Err("a majority of the voters would not be there after it".to_owned());
    }
    Ok(change)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const SETTINGS: VoterPolicy = VoterPolicy { voters: 3, replace_after: 30, reachable_within: 3 };

    fn one(copy: u64, zone: &str, votes: bool, silent: Micros) -> Candidate {
        let (name, zone) = (format!("n{copy}"), zone.to_owned());
        Candidate {
            replica_id: copy,
            name,
            zone,
            is_voter: votes,
            is_configured: true,
            silent_for: silent,
            caught_up: true,
            load: 0,
        }
    }

    #[test]
    fn what_is_due() {
        let none = BTreeMap::new();
        let asks = BTreeMap::from([("n2".to_owned(), 12)]);
        let three = || vec![one(1, "a", true, 0), one(2, "b", true, 0), one(3, "c", true, 0)];
        let with = |more: Candidate| [three(), vec![more]].concat();
        let silent = |n: usize, span: Micros, mut all: Vec<Candidate>| {
            all[n].silent_for = span;
            all
        };
        let cases = [
            // One founder, and one that has caught up.
            (vec![one(1, "a", true, 0), one(2, "b", false, 0)], &none, Some(MembershipChange::Promote(2))),
            (
                vec![one(1, "a", true, 0), Candidate { caught_up: false, ..one(2, "b", false, 0) }],
                &none,
                None,
            ),
            // Another zone first.
            (
                vec![one(1, "a", true, 0), one(2, "a", false, 0), one(3, "b", false, 0)],
                &none,
                Some(MembershipChange::Promote(3)),
            ),
            (with(one(4, "b", false, 0)), &none, None),
            // Gone, but not for long; for long; and with nobody to take its place.
            (silent(1, 20, with(one(4, "b", false, 0))), &none, None),
            (silent(1, 40, with(one(4, "b", false, 0))), &none, Some(MembershipChange::Replace(4, 2))),
            (silent(1, 40, three()), &none, None),
            // Two of three are gone: nothing may be changed.
            (silent(0, 40, silent(1, 40, with(one(4, "b", false, 0)))), &none, None),
            // A disk was lost: its server has a new number.
            (silent(1, 5, three()), &asks, Some(MembershipChange::AddLearner(12, vec![2]))),
            // With another voter gone, taking the old number out leaves one of two: it waits.
            (silent(0, 5, silent(1, 5, three())), &asks, None),
            ([three(), vec![one(4, "a", true, 0)]].concat(), &none, Some(MembershipChange::Demote(4))),
            // Taken out of the roster: it goes, unless that would cost a majority.
            (
                with(Candidate { is_configured: false, ..one(4, "b", false, 9) }),
                &none,
                Some(MembershipChange::Remove(4)),
            ),
            (
                vec![
                    one(1, "a", true, 0),
                    one(2, "b", true, 9),
                    Candidate { is_configured: false, ..one(3, "c", true, 0) },
                ],
                &none,
                None,
            ),
        ];
        for (all, asks, wanted) in cases {
            assert_eq!(next_change(&SETTINGS, &all, asks), wanted, "{all:?}");
        }
        let four = || with(one(4, "b", false, 0));
        let by_hand = |all: &[Candidate], name, votes| requested_change(&SETTINGS, all, 1, name, votes);
        assert_eq!(by_hand(&four(), "n4", true), Ok(MembershipChange::Replace(4, 3)));
        assert_eq!(by_hand(&silent(1, 9, four()), "n4", true), Ok(MembershipChange::Replace(4, 2)));
        assert_eq!(by_hand(&four(), "n2", false), Ok(MembershipChange::Replace(4, 2)));
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
            let (gain, lose) = match next_change(&SETTINGS, &all, &asks) {
                None => return Ok(()),
                Some(MembershipChange::AddLearner(_, old)) => (None, old),
                Some(MembershipChange::Promote(copy)) => (Some(copy), vec![]),
                Some(MembershipChange::Replace(new, old)) => (Some(new), vec![old]),
                Some(MembershipChange::Demote(copy) | MembershipChange::Remove(copy)) => (None, vec![copy]),
            };
            let count = |votes: &dyn Fn(&Candidate) -> bool| {
                let voters: Vec<_> = all.iter().filter(|c| votes(c)).collect();
                (voters.iter().filter(|c| c.silent_for < SETTINGS.reachable_within).count(), voters.len())
            };
            for (there, voters) in [
                count(&|c| c.is_voter),
                count(&|c| (c.is_voter || Some(c.replica_id) == gain) && !lose.contains(&c.replica_id)),
            ] {
                prop_assert!(2 * there > voters, "{there} of {voters}");
            }
        }
    }
}
