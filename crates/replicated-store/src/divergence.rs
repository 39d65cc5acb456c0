//! Divergence detection: compares replicas, and decides which are wrong or that this cannot be decided.

use crate::entry::Digest;

#[cfg(test)]
mod tests;

/// Result of comparing this replica with the other voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No voter differs, or too few have been compared, or not at the same entry, for a decision.
    NoDivergence,
    /// This replica is wrong: these replicas agree with each other, differ from this one, and are a majority
    /// of the voters.
    LocalDiverged(Vec<u64>),
    /// These replicas are wrong: they differ from this one, with which a majority of the voters agrees.
    PeersDiverged(Vec<u64>),
    /// Replicas differ and no majority agrees, so it cannot be decided which are right.
    NoMajority,
}

/// The last applied entry of a replica and the rolling digest after it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Index of the last applied entry.
    pub applied: u64,
    /// Rolling digest after that entry.
    pub rolling_digest: Digest,
}

/// Comparison of this replica with one other voter.
#[derive(Clone, Debug)]
pub struct PeerComparison {
    /// Id of the voter's replica.
    pub replica_id: u64,
    /// Whether the voter's rolling digest at the index of its last status equals ours at that index; `None`
    /// if they were not compared.
    pub matches: Option<bool>,
    /// Position in the voter's last status. Two other voters agree only if their positions are the same; an
    /// earlier comparison between them may be from before one of them went wrong.
    pub position: Position,
}

/// Decides from the comparisons with `others`, which are all voters but this replica. `is_voter` says whether
/// this replica is a voter too.
pub fn verdict(is_voter: bool, others: &[PeerComparison]) -> Verdict {
    let quorum = (others.len() + usize::from(is_voter)) / 2 + 1;
    let diverged: Vec<&PeerComparison> = others.iter().filter(|other| other.matches == Some(false)).collect();
    if diverged.is_empty() {
        return Verdict::NoDivergence;
    }
    let matching = others.iter().filter(|other| other.matches == Some(true)).count();
    let agreeing_with_us = usize::from(is_voter) + matching;
    if agreeing_with_us >= quorum {
        return Verdict::PeersDiverged(diverged.iter().map(|other| other.replica_id).collect());
    }
    let largest_group = largest_agreeing_group(&diverged);
    if largest_group.len() >= quorum {
        return Verdict::LocalDiverged(largest_group);
    }
    // Undecided as long as further reports could give a majority: from voters that were not compared yet, or
    // from voters whose positions are at different entries.
    let not_compared = others.iter().filter(|other| other.matches.is_none()).count();
    let indices_differ = diverged.windows(2).any(|pair| pair[0].position.applied != pair[1].position.applied);
    let undecided = agreeing_with_us + not_compared >= quorum
        || largest_group.len() + not_compared >= quorum
        || indices_differ;
    if undecided {
        return Verdict::NoDivergence;
    }
    Verdict::NoMajority
}

/// The largest group of replicas that report the same position.
fn largest_agreeing_group(diverged: &[&PeerComparison]) -> Vec<u64> {
    let group_of = |position: Position| -> Vec<u64> {
        diverged.iter().filter(|other| other.position == position).map(|other| other.replica_id).collect()
    };
    diverged.iter().map(|other| group_of(other.position)).max_by_key(Vec::len).unwrap_or_default()
}
