//! Status reports for operators, exports, and checks of invariants.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::actions::MAX_QUEUED;
use super::{Replica, Role, MAX_PENDING_READS};
use crate::entry::Digest;
use crate::export::Export;
use crate::ids::StoreId;
use crate::state::{Member, State};
use crate::Micros;

/// Status of this server's replica for operators. The serialized names are those that `--json` prints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Id of the store; 0 is none.
    #[serde(rename = "record")]
    pub store_id: StoreId,
    /// Id of this replica; 0 is none.
    #[serde(rename = "copy")]
    pub replica_id: u64,
    /// Role of this replica.
    pub role: Role,
    /// The current term.
    pub term: u64,
    /// Name of the leader's server, if one is known.
    pub leader: Option<String>,
    /// Index of the last applied entry.
    pub applied: u64,
    /// Index of the last entry that is known to be committed.
    pub commit: u64,
    /// Index of the last entry in the log.
    #[serde(rename = "last")]
    pub last_index: u64,
    /// Time since the leader was last heard from, in milliseconds. A local read may be out of date by that
    /// much.
    pub leader_heard_ms: Option<u64>,
    /// The rolling digest after the last applied entry.
    #[serde(rename = "chain")]
    pub rolling_digest: Digest,
    /// All replicas of the store.
    #[serde(rename = "copies")]
    pub replicas: Vec<ReplicaView>,
    /// During a snapshot transfer: the number of received chunks, and the total number of chunks.
    pub catching_up: Option<(u32, u32)>,
    /// Number of entries of newer programs, which are not applied.
    #[serde(rename = "unknown")]
    pub unsupported_entries: u64,
    /// Whether writes are rejected because replicas differ and no majority agrees.
    pub frozen: bool,
}

/// One replica in a [`ReplicaStatus`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaView {
    /// Id of the replica.
    #[serde(rename = "copy")]
    pub replica_id: u64,
    /// Name of the replica's server.
    #[serde(rename = "name")]
    pub server: String,
    /// Zone of the replica's server.
    pub zone: String,
    /// Whether the replica votes.
    #[serde(rename = "votes")]
    pub is_voter: bool,
    /// Index of the last applied entry in the replica's last status.
    pub applied: Option<u64>,
    /// Time since that status was received, in milliseconds.
    pub heard_ms: Option<u64>,
}

/// A violated invariant, which indicates a bug.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvariantViolation {
    /// An applied entry is not in the log.
    #[error("applied entry {applied}, but the last entry in the log is {last_index}")]
    AppliedBeyondLog {
        /// Index of the last applied entry.
        applied: u64,
        /// Index of the last entry in the log.
        last_index: u64,
    },
    /// The Raft library counts on another last applied entry than the state has.
    #[error("applied entry {applied}, but the Raft library was told {told}")]
    AppliedUntold {
        /// Index of the last applied entry.
        applied: u64,
        /// Index of the last entry that the library was told to be applied.
        told: u64,
    },
    /// The replica leads although its rollback check has not finished.
    #[error("the replica leads before its rollback check has finished")]
    LeaderBeforeRollbackCheck,
    /// A queue is longer than its bound.
    #[error("a queue is too long: {reads} waiting reads, {actions} pending actions")]
    QueueTooLong {
        /// Number of waiting reads.
        reads: usize,
        /// Number of actions that the host has not taken yet.
        actions: usize,
    },
}

impl Replica {
    /// The state after the last applied entry.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// This server's role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Id of the replica; 0 is none.
    pub fn replica_id(&self) -> u64 {
        self.identity.replica_id
    }

    /// Id of the store; 0 is none.
    pub fn store_id(&self) -> StoreId {
        self.identity.store_id
    }

    /// The replica's status for operators.
    pub fn status(&self, now: Micros) -> ReplicaStatus {
        let node = self.node.as_ref();
        let replicas = self.state.members.iter().map(|(id, member)| self.replica_view(now, *id, member));
        let leader = &self.leader.name;
        ReplicaStatus {
            store_id: self.identity.store_id,
            replica_id: self.identity.replica_id,
            role: self.role,
            term: node.map_or(0, |node| node.raft.term),
            leader: leader.clone(),
            applied: self.state.applied,
            commit: node.map_or(0, |node| node.raft.raft_log.committed),
            last_index: node.map_or(0, |node| node.store().last_entry_index()),
            leader_heard_ms: leader.as_ref().map(|_| now.saturating_sub(self.leader.heard_at) / 1_000),
            rolling_digest: self.state.rolling_digest,
            replicas: replicas.collect(),
            catching_up: self.snapshots.transfer.as_ref().map(|(transfer, _)| transfer.progress()),
            unsupported_entries: self.state.unsupported_entries,
            frozen: self.comparison.frozen,
        }
    }

    fn replica_view(&self, now: Micros, replica_id: u64, member: &Member) -> ReplicaView {
        let peer = self.peers.get(member.name.as_str()).filter(|peer| peer.status.replica_id == replica_id);
        ReplicaView {
            replica_id,
            server: member.name.clone(),
            zone: member.zone.clone(),
            is_voter: self.is_voter(replica_id),
            applied: peer.map(|peer| peer.status.applied),
            heard_ms: peer.map(|peer| now.saturating_sub(peer.heard_at) / 1_000),
        }
    }

    /// An export of the state and log for an operator; `None` without a replica.
    pub fn export(&self) -> Option<Export> {
        let log = self.node.as_ref()?.store();
        Some(Export {
            exported_by: self.config.me.to_string(),
            applied: self.state.applied,
            rolling_digest: self.state.rolling_digest,
            snapshot: log.latest_snapshot().bytes.to_vec(),
            entries: log.entries_through(self.state.applied),
        })
    }

    /// Checks the invariants that hold between any two calls; tests call it after each call.
    pub fn check_invariants(&self) -> Result<(), InvariantViolation> {
        if let Some(node) = &self.node {
            let applied = self.state.applied;
            let last_index = node.store().last_entry_index();
            if applied > last_index {
                return Err(InvariantViolation::AppliedBeyondLog { applied, last_index });
            }
            let told = node.raft.raft_log.applied;
            if applied != told && !self.persistence.is_installing_snapshot() {
                return Err(InvariantViolation::AppliedUntold { applied, told });
            }
            if self.rollback_check.is_some() && self.role == Role::Leader {
                return Err(InvariantViolation::LeaderBeforeRollbackCheck);
            }
        }
        let reads = self.reads.len();
        let actions = self.actions.len();
        if reads > MAX_PENDING_READS || actions > MAX_QUEUED {
            return Err(InvariantViolation::QueueTooLong { reads, actions });
        }
        Ok(())
    }

    /// Flips a bit of the rolling digest, as faulty memory might. For tests that need a diverged replica.
    #[doc(hidden)]
    pub fn corrupt(&mut self, bit: u8) {
        self.state.rolling_digest[0] ^= 1 << bit;
    }
}
