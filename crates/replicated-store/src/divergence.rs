//! Comparison of replicas: which one is wrong, and when nobody can tell.

use crate::entry::Digest;

#[cfg(test)]
mod tests;

/// What the comparison has come to, for one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No voter differs, or too few have been compared.
    NoDivergence,
    /// A majority of the voters agree with each other and not with us: these. Our replica is wrong.
    LocalDiverged(Vec<u64>),
    /// A majority agrees with us, and these do not: their replicas are wrong.
    PeersDiverged(Vec<u64>),
    /// Replicas differ and no majority agrees: nobody can tell which is right.
    NoMajority,
}

/// How far a replica has applied the log, and to what result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Index of the last applied entry.
    pub applied: u64,
    /// The rolling digest after it.
    pub rolling_digest: Digest,
}

/// What is known of one other voter.
#[derive(Clone, Debug)]
pub struct PeerComparison {
    /// Its replica.
    pub replica_id: u64,
    /// Whether its digest at some index is the same as ours there; `None`: not compared.
    pub matches: Option<bool>,
    /// What it reports now. Only two that report the same here agree; what they once found of each other may be from
    /// before one of them went wrong.
    pub position: Position,
}

/// Compares this replica with `others`, which are all voters but it; `is_voter` says whether it is one more.
pub fn verdict(is_voter: bool, others: &[PeerComparison]) -> Verdict {
    let quorum = (others.len() + usize::from(is_voter)) / 2 + 1;
    let diverged: Vec<&PeerComparison> = others.iter().filter(|other| other.matches == Some(false)).collect();
    if diverged.is_empty() {
        return Verdict::NoDivergence;
    }
    let matching = others.iter().filter(|other| other.matches == Some(true)).count();
    let with_us = usize::from(is_voter) + matching;
    if with_us >= quorum {
        return Verdict::PeersDiverged(diverged.iter().map(|other| other.replica_id).collect());
    }
    let largest_group = largest_agreeing_group(&diverged);
    if largest_group.len() >= quorum {
        return Verdict::LocalDiverged(largest_group);
    }
    // As long as some voter could still decide it, there is no verdict: one that was not compared, or two at different
    // entries.
    let not_compared = others.iter().filter(|other| other.matches.is_none()).count();
    let indices_differ = diverged.windows(2).any(|pair| pair[0].position.applied != pair[1].position.applied);
    let undecided =
        with_us + not_compared >= quorum || largest_group.len() + not_compared >= quorum || indices_differ;
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
