//! Voter selection: the leader decides which replicas are admitted, promoted, replaced and removed, one
//! change at a time.
//!
//! No change may lose the quorum: a majority of the voters before the change and a majority of those after it
//! must both be reachable now. A server has one replica: a new one replaces its old one.

use std::collections::BTreeMap;
use std::fmt;

use thiserror::Error;

use crate::Micros;

#[cfg(test)]
mod tests;

/// A replica as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Id of the replica.
    pub replica_id: u64,
    /// Name of the replica's server.
    pub name: String,
    /// Zone of the replica's server.
    pub zone: String,
    /// Whether the replica votes now.
    pub is_voter: bool,
    /// Whether the server is a configured member of the fleet.
    pub is_configured: bool,
    /// Time since the server was last heard from, in microseconds.
    pub silent_for: Micros,
    /// Whether the replica has all entries but the last few.
    pub caught_up: bool,
    /// Load that the server reports, in percent.
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
        /// Id of the new replica.
        replica_id: u64,
        /// Ids of earlier replicas of the same server, which are removed.
        replaces: Vec<u64>,
    },
    /// Makes a learner a voter.
    Promote {
        /// Id of the learner.
        replica_id: u64,
    },
    /// Makes a learner a voter and a voter a learner.
    Replace {
        /// Id of the learner that becomes a voter.
        new_voter: u64,
        /// Id of the voter that becomes a learner.
        old_voter: u64,
    },
    /// Makes a voter a learner.
    Demote {
        /// Id of the voter.
        replica_id: u64,
    },
    /// Removes a replica whose server is no longer configured.
    Remove {
        /// Id of the replica.
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
    /// Intended number of voters: three or five, or one in a trial.
    pub voters: usize,
    /// Silence after which a voter is replaced, in microseconds.
    pub replace_after: Micros,
    /// Silence from which on a replica counts as unreachable, in microseconds.
    pub reachable_within: Micros,
}

/// Why an operator's change of a voter is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum VoterChangeError {
    /// The server has no replica.
    #[error("{server} has no replica of the record")]
    NoReplica {
        /// Name of the server.
        server: String,
    },
    /// The server votes already.
    #[error("{server} votes already")]
    AlreadyVotes {
        /// Name of the server.
        server: String,
    },
    /// The server is a learner already.
    #[error("{server} is a learner already")]
    AlreadyLearns {
        /// Name of the server.
        server: String,
    },
    /// The server's replica lacks too many entries to vote.
    #[error("{server} has not caught up")]
    NotCaughtUp {
        /// Name of the server.
        server: String,
    },
    /// No reachable learner has caught up and could vote instead.
    #[error("no reachable learner has caught up and could vote in its place")]
    NoSuccessor,
    /// The voters would have no reachable majority before or after the change.
    #[error("a majority of the voters is not reachable, or would not be after the change")]
    QuorumLost,
}

/// The number of replicas in a majority of so many voters.
fn quorum(voters: usize) -> usize {
    voters / 2 + 1
}

/// Whether a majority of the candidates selected by `is_voter` is reachable.
fn has_quorum(candidates: &[Candidate], policy: &VoterPolicy, is_voter: impl Fn(&Candidate) -> bool) -> bool {
    let voters: Vec<&Candidate> = candidates.iter().filter(|candidate| is_voter(candidate)).collect();
    let reachable = voters.iter().filter(|voter| voter.is_reachable(policy)).count();
    !voters.is_empty() && reachable >= quorum(voters.len())
}

/// Whether a majority of the voters is reachable both before and after a change by which `gained` becomes a
/// voter and `lost` stop voting.
fn keeps_quorum(candidates: &[Candidate], policy: &VoterPolicy, gained: Option<u64>, lost: &[u64]) -> bool {
    let votes_after = |candidate: &Candidate| {
        let is_gained = Some(candidate.replica_id) == gained;
        (candidate.is_voter || is_gained) && !lost.contains(&candidate.replica_id)
    };
    has_quorum(candidates, policy, |candidate| candidate.is_voter)
        && has_quorum(candidates, policy, votes_after)
}

/// Number of voters in a zone, not counting the replica `except`.
fn voters_in_zone(candidates: &[Candidate], zone: &str, except: Option<u64>) -> usize {
    candidates
        .iter()
        .filter(|candidate| candidate.is_voter && candidate.zone == zone)
        .filter(|candidate| Some(candidate.replica_id) != except)
        .count()
}

/// The change that is due, if any. `join_requests` has the ids of the replicas that ask to be admitted, by
/// server name.
pub fn next_change(
    policy: &VoterPolicy,
    candidates: &[Candidate],
    join_requests: &BTreeMap<String, u64>,
) -> Option<MembershipChange> {
    admission(policy, candidates, join_requests)
        .or_else(|| removal(policy, candidates))
        .or_else(|| voter_change(policy, candidates))
}

/// Admits a replica that asks for it. A server that lost its disk comes back with a new replica; its old one
/// is removed in the same change. Admissions take precedence over all other changes.
fn admission(
    policy: &VoterPolicy,
    candidates: &[Candidate],
    join_requests: &BTreeMap<String, u64>,
) -> Option<MembershipChange> {
    let is_member = |id: u64| candidates.iter().any(|candidate| candidate.replica_id == id);
    let new_replicas = join_requests.iter().filter(|(_, id)| !is_member(**id));
    for (server, replica_id) in new_replicas {
        let old_replicas = candidates.iter().filter(|candidate| candidate.name == *server);
        let replaces: Vec<u64> = old_replicas.map(|candidate| candidate.replica_id).collect();
        if keeps_quorum(candidates, policy, None, &replaces) {
            return Some(MembershipChange::AddLearner { replica_id: *replica_id, replaces });
        }
    }
    None
}

/// Removes a replica whose server is no longer configured.
fn removal(policy: &VoterPolicy, candidates: &[Candidate]) -> Option<MembershipChange> {
    let can_be_removed = |candidate: &&Candidate| {
        !candidate.is_configured && keeps_quorum(candidates, policy, None, &[candidate.replica_id])
    };
    let candidate = candidates.iter().find(can_be_removed)?;
    Some(MembershipChange::Remove { replica_id: candidate.replica_id })
}

/// Replaces the voter that has been silent longest, or adds a voter if there are too few, or removes one if
/// there are too many.
fn voter_change(policy: &VoterPolicy, candidates: &[Candidate]) -> Option<MembershipChange> {
    let voters: Vec<&Candidate> = candidates.iter().filter(|candidate| candidate.is_voter).collect();
    let failed_voter = voters
        .iter()
        .filter(|voter| voter.silent_for >= policy.replace_after)
        .max_by_key(|voter| voter.silent_for);
    let successor = best_learner(policy, candidates, failed_voter.map(|voter| voter.replica_id));
    match (successor, failed_voter) {
        (Some(successor), Some(failed_voter)) => {
            let (new_voter, old_voter) = (successor.replica_id, failed_voter.replica_id);
            keeps_quorum(candidates, policy, Some(new_voter), &[old_voter])
                .then_some(MembershipChange::Replace { new_voter, old_voter })
        }
        (None, Some(_)) => None,
        (Some(successor), None)
            if voters.len() < policy.voters
                && keeps_quorum(candidates, policy, Some(successor.replica_id), &[]) =>
        {
            Some(MembershipChange::Promote { replica_id: successor.replica_id })
        }
        (_, None) if voters.len() > policy.voters => {
            let surplus = voters.iter().max_by_key(|voter| {
                (voters_in_zone(candidates, &voter.zone, None), voter.load, voter.name.clone())
            })?;
            let replica_id = surplus.replica_id;
            keeps_quorum(candidates, policy, None, &[replica_id])
                .then_some(MembershipChange::Demote { replica_id })
        }
        (_, None) => None,
    }
}

/// The learner that should become the next voter: from the zone with the fewest voters other than
/// `failed_voter`, then the least loaded, then the first by name.
fn best_learner<'a>(
    policy: &VoterPolicy,
    candidates: &'a [Candidate],
    failed_voter: Option<u64>,
) -> Option<&'a Candidate> {
    candidates
        .iter()
        .filter(|candidate| !candidate.is_voter && candidate.is_configured)
        .filter(|candidate| candidate.caught_up && candidate.is_reachable(policy))
        .min_by_key(|candidate| {
            (
                voters_in_zone(candidates, &candidate.zone, failed_voter),
                candidate.load,
                candidate.name.clone(),
            )
        })
}

/// The change that makes a server a voter or a learner on an operator's request. The number of voters stays
/// the same, since [`next_change`] would undo any other change; it grows by one only if there are too few
/// voters. `leader_id` stays a voter when another replica is promoted.
pub fn requested_change(
    policy: &VoterPolicy,
    candidates: &[Candidate],
    leader_id: u64,
    server: &str,
    is_voter: bool,
) -> Result<MembershipChange, VoterChangeError> {
    let server_name = || server.to_owned();
    let candidate = candidates.iter().find(|candidate| candidate.name == server);
    let candidate = candidate.ok_or_else(|| VoterChangeError::NoReplica { server: server_name() })?;
    let change = match (candidate.is_voter, is_voter) {
        (true, true) => return Err(VoterChangeError::AlreadyVotes { server: server_name() }),
        (false, false) => return Err(VoterChangeError::AlreadyLearns { server: server_name() }),
        (false, true) => requested_promotion(policy, candidates, leader_id, candidate)?,
        (true, false) => requested_demotion(policy, candidates, candidate)?,
    };
    let quorum_kept = match change {
        MembershipChange::Replace { new_voter, old_voter } => {
            keeps_quorum(candidates, policy, Some(new_voter), &[old_voter])
        }
        _ => keeps_quorum(candidates, policy, Some(candidate.replica_id), &[]),
    };
    if quorum_kept {
        Ok(change)
    } else {
        Err(VoterChangeError::QuorumLost)
    }
}

fn requested_promotion(
    policy: &VoterPolicy,
    candidates: &[Candidate],
    leader_id: u64,
    candidate: &Candidate,
) -> Result<MembershipChange, VoterChangeError> {
    if !candidate.caught_up {
        return Err(VoterChangeError::NotCaughtUp { server: candidate.name.clone() });
    }
    let voters = candidates.iter().filter(|other| other.is_voter);
    if voters.clone().count() < policy.voters {
        return Ok(MembershipChange::Promote { replica_id: candidate.replica_id });
    }
    let old_voter = voters.filter(|voter| voter.replica_id != leader_id).max_by_key(|voter| {
        let in_zone = voters_in_zone(candidates, &voter.zone, None);
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
    candidates: &[Candidate],
    candidate: &Candidate,
) -> Result<MembershipChange, VoterChangeError> {
    let successor = candidates
        .iter()
        .filter(|other| !other.is_voter && other.caught_up && other.is_reachable(policy))
        .min_by_key(|other| (voters_in_zone(candidates, &other.zone, None), other.load, other.name.clone()))
        .ok_or(VoterChangeError::NoSuccessor)?;
    Ok(MembershipChange::Replace { new_voter: successor.replica_id, old_voter: candidate.replica_id })
}
