//! Copies that differ: which one is wrong, and when nobody can tell.

use crate::entry::Digest;

/// What comparing has come to, for one copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No voter differs, or too few have been compared.
    NoDivergence,
    /// A majority of the voters agree with each other and not with us: these. Our copy is wrong.
    LocalDiverged(Vec<u64>),
    /// A majority agrees with us, and these don't: their copies are wrong.
    PeersDiverged(Vec<u64>),
    /// Copies differ and no majority agrees: nobody can tell which is right.
    NoMajority,
}

/// What is known of one other voter.
#[derive(Clone, Debug)]
pub struct PeerComparison {
    /// Its copy.
    pub replica_id: u64,
    /// Whether its digest at some index is the same as ours there; `None`: not compared.
    pub matches: Option<bool>,
    /// What it says now: the last entry that it applied, and the digest after that. Only two that say the same here agree;
    /// what they once found of each other may be from before one of them went wrong.
    pub position: (u64, Digest),
}

/// Decides; `others` are all voters but us, and `votes` says whether we are one more.
pub fn verdict(votes: bool, others: &[PeerComparison]) -> Verdict {
    let quorum = (others.len() + usize::from(votes)) / 2 + 1;
    let differ: Vec<&PeerComparison> = others.iter().filter(|other| other.matches == Some(false)).collect();
    if differ.is_empty() {
        return Verdict::NoDivergence;
    }
    let with_us = usize::from(votes) + others.iter().filter(|other| other.matches == Some(true)).count();
    if with_us >= quorum {
        return Verdict::PeersDiverged(differ.iter().map(|other| other.replica_id).collect());
    }
    // The largest group of those who differ from us and say the same.
    let group = |one: &&PeerComparison| -> Vec<u64> {
        differ.iter().filter(|other| other.position == one.position).map(|other| other.replica_id).collect()
    };
    let largest = differ.iter().map(group).max_by_key(Vec::len).unwrap_or_default();
    if largest.len() >= quorum {
        return Verdict::LocalDiverged(largest);
    }
    // As long as some voter could still tip it, nothing is said: one that was not compared, or two at different entries.
    let open = others.iter().filter(|other| other.matches.is_none()).count();
    let apart = differ.iter().any(|one| differ.iter().any(|other| one.position.0 != other.position.0));
    if with_us + open >= quorum || largest.len() + open >= quorum || apart {
        return Verdict::NoDivergence;
    }
    Verdict::NoMajority
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_majority_is_right_and_without_one_nobody_knows() {
        let other = |copy, same: Option<bool>, index, digest: u8| PeerComparison {
            replica_id: copy,
            matches: same,
            position: (index, [digest; 16]),
        };
        let (yes, no) = (Some(true), Some(false));
        let cases = [
            (vec![other(2, yes, 9, 1), other(3, yes, 9, 1)], true, Verdict::NoDivergence),
            (vec![other(2, yes, 9, 1), other(3, no, 9, 2)], true, Verdict::PeersDiverged(vec![3])),
            (vec![other(2, no, 9, 2), other(3, no, 9, 2)], true, Verdict::LocalDiverged(vec![2, 3])),
            // They differ from us and from each other.
            (vec![other(2, no, 9, 2), other(3, no, 9, 3)], true, Verdict::NoMajority),
            // At different entries nothing can be said of the two.
            (vec![other(2, no, 9, 2), other(3, no, 8, 3)], true, Verdict::NoDivergence),
            (vec![other(2, no, 9, 2), other(3, None, 0, 0)], true, Verdict::NoDivergence),
            (
                vec![other(2, no, 9, 2), other(3, no, 9, 2), other(4, yes, 9, 1), other(5, None, 0, 0)],
                true,
                Verdict::NoDivergence,
            ),
            (
                vec![other(2, no, 9, 2), other(3, no, 9, 2), other(4, no, 9, 2), other(5, yes, 9, 1)],
                true,
                Verdict::LocalDiverged(vec![2, 3, 4]),
            ),
            // One that learns counts for nothing itself.
            (
                vec![other(2, yes, 9, 1), other(3, no, 9, 2), other(4, no, 9, 2)],
                false,
                Verdict::LocalDiverged(vec![3, 4]),
            ),
        ];
        for (others, votes, wanted) in cases {
            assert_eq!(verdict(votes, &others), wanted, "{others:?}");
        }
    }
}
