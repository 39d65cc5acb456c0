//! Voter selection: which replicas are admitted, vote and are replaced, decided by the leader, one change at a time.
//!
//! No change is made that could cost a quorum: of the voters before and after it, taken by themselves, a majority must be
//! reachable now. A server has one replica: a new one takes the place of its old one.

use std::collections::BTreeMap;
use std::fmt;

use thiserror::Error;

use crate::Micros;

#[cfg(test)]
mod tests;

/// A replica as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its id.
    pub replica_id: u64,
    /// Its server's name.
    pub name: String,
    /// Its server's zone.
    pub zone: String,
    /// It votes now.
    pub is_voter: bool,
    /// Its server is configured as a member of the fleet.
    pub is_configured: bool,
    /// For how long it has not been heard from, in microseconds.
    pub silent_for: Micros,
    /// It has all but the last few entries.
    pub caught_up: bool,
    /// The load that it reports, in percent.
    pub load: u32,
}

impl Candidate {
    fn is_reachable(&self, policy: &VoterPolicy) -> bool {
        self.silent_for < policy.reachable_within
    }
}

/// A change of the members or their votes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Admits a replica as a learner.
    AddLearner {
        /// The new replica.
        replica_id: u64,
        /// The replicas that its server had before; they are removed.
        replaces: Vec<u64>,
    },
    /// A learner votes from now on.
    Promote {
        /// The learner.
        replica_id: u64,
    },
    /// One votes in the place of another, which becomes a learner.
    Replace {
        /// The learner that votes from now on.
        new_voter: u64,
        /// The voter that becomes a learner.
        old_voter: u64,
    },
    /// A voter becomes a learner.
    Demote {
        /// The voter.
        replica_id: u64,
    },
    /// Removes a replica whose server is not configured any more.
    Remove {
        /// The replica.
        replica_id: u64,
    },
}

impl fmt::Display for MembershipChange {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            MembershipChange::AddLearner { replica_id, replaces } => {
                write!(f, "add learner {replica_id:016x}")?;
                replaces.iter().try_for_each(|old| write!(f, ", remove {old:016x}"))
            }
            MembershipChange::Promote { replica_id } => write!(f, "promote {replica_id:016x}"),
            MembershipChange::Replace { new_voter, old_voter } => {
                write!(f, "promote {new_voter:016x}, demote {old_voter:016x}")
            }
            MembershipChange::Demote { replica_id } => write!(f, "demote {replica_id:016x}"),
            MembershipChange::Remove { replica_id } => write!(f, "remove {replica_id:016x}"),
        }
    }
}

/// The policy by which voters are selected.
#[derive(Clone, Copy, Debug)]
pub struct VoterPolicy {
    /// How many should vote: three or five.
    pub voters: usize,
    /// A voter that has been silent for so long is replaced, in microseconds.
    pub replace_after: Micros,
    /// A replica that has been silent for less counts as reachable, in microseconds.
    pub reachable_within: Micros,
}

/// Why an operator's change is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum VoterChangeError {
    /// The server has no replica.
    #[error("{server} holds no copy")]
    NoReplica {
        /// The server.
        server: String,
    },
    /// The server votes already.
    #[error("{server} votes already")]
    AlreadyVotes {
        /// The server.
        server: String,
    },
    /// The server is a learner already.
    #[error("{server} learns already")]
    AlreadyLearns {
        /// The server.
        server: String,
    },
    /// The server lacks entries.
    #[error("{server} has not caught up")]
    NotCaughtUp {
        /// The server.
        server: String,
    },
    /// No learner could take the vote.
    #[error("nobody else has caught up and could vote in its place")]
    NoSuccessor,
    /// The change would cost the quorum.
    #[error("a majority of the voters would not be there after it")]
    QuorumLost,
}

fn quorum(voters: usize) -> usize {
    voters / 2 + 1
}

/// Whether a majority of these voters is reachable.
fn has_quorum(all: &[Candidate], policy: &VoterPolicy, is_voter: impl Fn(&Candidate) -> bool) -> bool {
    let voters: Vec<&Candidate> = all.iter().filter(|candidate| is_voter(candidate)).collect();
    let reachable = voters.iter().filter(|voter| voter.is_reachable(policy)).count();
    !voters.is_empty() && reachable >= quorum(voters.len())
}

/// Whether a majority is reachable before and after a change.
fn keeps_quorum(all: &[Candidate], policy: &VoterPolicy, gained: Option<u64>, lost: &[u64]) -> bool {
    let votes_after = |candidate: &Candidate| {
        let is_gained = Some(candidate.replica_id) == gained;
        (candidate.is_voter || is_gained) && !lost.contains(&candidate.replica_id)
    };
    has_quorum(all, policy, |candidate| candidate.is_voter) && has_quorum(all, policy, votes_after)
}

/// Voters in a zone, apart from one.
fn voters_in_zone(all: &[Candidate], zone: &str, except: Option<u64>) -> usize {
    all.iter()
        .filter(|candidate| candidate.is_voter && candidate.zone == zone)
        .filter(|candidate| Some(candidate.replica_id) != except)
        .count()
}

/// The change that is due, if there is one. `join_requests` are replicas that want to be admitted, by their servers' names.
pub fn next_change(
    policy: &VoterPolicy,
    all: &[Candidate],
    join_requests: &BTreeMap<String, u64>,
) -> Option<MembershipChange> {
    admission(policy, all, join_requests)
        .or_else(|| removal(policy, all))
        .or_else(|| voter_change(policy, all))
}

/// A server that lost its disk comes back with a new replica: its old one goes, whatever else is due.
fn admission(
    policy: &VoterPolicy,
    all: &[Candidate],
    join_requests: &BTreeMap<String, u64>,
) -> Option<MembershipChange> {
    let is_member = |id: u64| all.iter().any(|candidate| candidate.replica_id == id);
    let new_replicas = join_requests.iter().filter(|(_, id)| !is_member(**id));
    for (server, replica_id) in new_replicas {
        let old_replicas = all.iter().filter(|candidate| candidate.name == *server);
        let replaces: Vec<u64> = old_replicas.map(|candidate| candidate.replica_id).collect();
        if keeps_quorum(all, policy, None, &replaces) {
            return Some(MembershipChange::AddLearner { replica_id: *replica_id, replaces });
        }
    }
    None
}

fn removal(policy: &VoterPolicy, all: &[Candidate]) -> Option<MembershipChange> {
    let can_be_removed = |candidate: &&Candidate| {
        !candidate.is_configured && keeps_quorum(all, policy, None, &[candidate.replica_id])
    };
    let candidate = all.iter().find(can_be_removed)?;
    Some(MembershipChange::Remove { replica_id: candidate.replica_id })
}

fn voter_change(policy: &VoterPolicy, all: &[Candidate]) -> Option<MembershipChange> {
    let voters: Vec<&Candidate> = all.iter().filter(|candidate| candidate.is_voter).collect();
    let failed = voters
        .iter()
        .filter(|voter| voter.silent_for >= policy.replace_after)
        .max_by_key(|voter| voter.silent_for);
    let successor = best_learner(policy, all, failed.map(|voter| voter.replica_id));
    match (successor, failed) {
        (Some(successor), Some(failed)) => {
            let (new_voter, old_voter) = (successor.replica_id, failed.replica_id);
            keeps_quorum(all, policy, Some(new_voter), &[old_voter])
                .then_some(MembershipChange::Replace { new_voter, old_voter })
        }
        (None, Some(_)) => None,
        (Some(successor), None)
            if voters.len() < policy.voters && keeps_quorum(all, policy, Some(successor.replica_id), &[]) =>
        {
            Some(MembershipChange::Promote { replica_id: successor.replica_id })
        }
        (_, None) if voters.len() > policy.voters => {
            let surplus = voters.iter().max_by_key(|voter| {
                (voters_in_zone(all, &voter.zone, None), voter.load, voter.name.clone())
            })?;
            let replica_id = surplus.replica_id;
            keeps_quorum(all, policy, None, &[replica_id]).then_some(MembershipChange::Demote { replica_id })
        }
        (_, None) => None,
    }
}

/// The learner that should vote next: in another zone than the other voters first, then the least loaded, then by name.
fn best_learner<'a>(
    policy: &VoterPolicy,
    all: &'a [Candidate],
    failed_voter: Option<u64>,
) -> Option<&'a Candidate> {
    all.iter()
        .filter(|candidate| !candidate.is_voter && candidate.is_configured)
        .filter(|candidate| candidate.caught_up && candidate.is_reachable(policy))
        .min_by_key(|candidate| {
            (voters_in_zone(all, &candidate.zone, failed_voter), candidate.load, candidate.name.clone())
        })
}

/// The change by which a server votes, or does not, as an operator wants. As many vote afterwards as before, but for one
/// too few: else [`next_change`] would undo it. `leader` keeps its vote.
pub fn requested_change(
    policy: &VoterPolicy,
    all: &[Candidate],
    leader: u64,
    server: &str,
    is_voter: bool,
) -> Result<MembershipChange, VoterChangeError> {
    let server_name = || server.to_owned();
    let candidate = all.iter().find(|candidate| candidate.name == server);
    let candidate = candidate.ok_or_else(|| VoterChangeError::NoReplica { server: server_name() })?;
    let change = match (candidate.is_voter, is_voter) {
        (true, true) => return Err(VoterChangeError::AlreadyVotes { server: server_name() }),
        (false, false) => return Err(VoterChangeError::AlreadyLearns { server: server_name() }),
        (false, true) => requested_promotion(policy, all, leader, candidate)?,
        (true, false) => requested_demotion(policy, all, candidate)?,
    };
    let keeps = match change {
        MembershipChange::Replace { new_voter, old_voter } => {
            keeps_quorum(all, policy, Some(new_voter), &[old_voter])
        }
        _ => keeps_quorum(all, policy, Some(candidate.replica_id), &[]),
    };
    if keeps {
        Ok(change)
    } else {
        Err(VoterChangeError::QuorumLost)
    }
}

fn requested_promotion(
    policy: &VoterPolicy,
    all: &[Candidate],
    leader: u64,
    candidate: &Candidate,
) -> Result<MembershipChange, VoterChangeError> {
    if !candidate.caught_up {
        return Err(VoterChangeError::NotCaughtUp { server: candidate.name.clone() });
    }
    let voters = all.iter().filter(|other| other.is_voter);
    if voters.clone().count() < policy.voters {
        return Ok(MembershipChange::Promote { replica_id: candidate.replica_id });
    }
    let old_voter = voters.filter(|voter| voter.replica_id != leader).max_by_key(|voter| {
        let in_zone = voters_in_zone(all, &voter.zone, None);
        (!voter.is_reachable(policy), in_zone, voter.load, voter.name.clone())
    });
    Ok(match old_voter {
        Some(old_voter) => {
            MembershipChange::Replace { new_voter: candidate.replica_id, old_voter: old_voter.replica_id }
        }
        None => MembershipChange::Promote { replica_id: candidate.replica_id },
    })
}

fn requested_demotion(
    policy: &VoterPolicy,
    all: &[Candidate],
    candidate: &Candidate,
) -> Result<MembershipChange, VoterChangeError> {
    let successor = all
        .iter()
        .filter(|other| !other.is_voter && other.caught_up && other.is_reachable(policy))
        .min_by_key(|other| (voters_in_zone(all, &other.zone, None), other.load, other.name.clone()))
        .ok_or(VoterChangeError::NoSuccessor)?;
    Ok(MembershipChange::Replace { new_voter: successor.replica_id, old_voter: candidate.replica_id })
}
