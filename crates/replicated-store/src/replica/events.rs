//! Roles, events and errors that a replica reports.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::StoreId;
use crate::rollback::DurableProgress;
use crate::voter_selection::MembershipChange;
use crate::Micros;

/// The role of a server's replica in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// The server has no replica, or the leader has not admitted its replica yet.
    Outside,
    /// The replica was read from disk and waits for the rollback check.
    Returning,
    /// The replica receives the log and does not vote.
    Learner,
    /// The replica votes.
    Voter,
    /// The replica votes and is the leader.
    Leader,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Role::Outside => "outside",
            Role::Returning => "returning",
            Role::Learner => "learner",
            Role::Voter => "voter",
            Role::Leader => "leader",
        })
    }
}

/// A change that the host reports in the operator's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// This server has bootstrapped a new store. It is empty, or after an adoption continues an earlier
    /// store.
    Bootstrapped {
        /// The new store's id.
        store_id: StoreId,
    },
    /// The role of this server's replica has changed.
    RoleChanged {
        /// The role before.
        from: Role,
        /// The role now.
        to: Role,
    },
    /// The known leader has changed, or no leader is known any more.
    LeaderChanged {
        /// Name of the leader's server; `None` if no leader is known.
        leader: Option<String>,
    },
    /// This leader has proposed a membership change.
    ConfigurationChange {
        /// The proposed change.
        change: MembershipChange,
    },
    /// This replica was rolled back: another member remembers or counts on progress that it lacks.
    RollbackDetected {
        /// The progress that the other member remembers.
        remembered: DurableProgress,
    },
    /// This replica differs from a majority of the voters.
    LocalDivergence {
        /// Ids of the replicas in the majority.
        majority: Vec<u64>,
    },
    /// Other replicas differ from this one, with which a majority of the voters agrees.
    PeerDivergence {
        /// Ids of the replicas that differ.
        replicas: Vec<u64>,
    },
    /// Replicas differ and no majority agrees: writes are rejected until an operator decides.
    Frozen,
    /// This replica belongs to a store that another store has replaced.
    Obsolete {
        /// Id of this replica's store.
        own_store: StoreId,
        /// Id of the store that has a leader.
        led_store: StoreId,
    },
    /// Another store has a leader while this one continues: an operator adopted a replica that was only
    /// partitioned from the majority.
    CompetingStore {
        /// Id of this replica's store.
        own_store: StoreId,
        /// Id of the other store.
        led_store: StoreId,
    },
    /// The Raft library has panicked, and the replica starts again from its on-disk store.
    LibraryFailed {
        /// Message of the library's panic.
        reason: String,
    },
    /// This replica has fetched a complete snapshot.
    CaughtUp {
        /// Index of the last entry that the snapshot includes.
        index: u64,
        /// Length of the snapshot in bytes.
        bytes: u64,
        /// Duration of the transfer in microseconds.
        took: Micros,
    },
}

/// Why a request cannot be served now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
pub enum RequestError {
    /// This server is not part of the store, or not yet.
    #[error("this server has no part in the record")]
    Outside,
    /// No leader is known.
    #[error("nobody leads the record, as far as this server knows")]
    NoLeader,
    /// Replicas differ and no majority agrees: an operator has to decide.
    #[error("replicas of the record differ; writes are rejected until an operator decides")]
    Frozen,
    /// Too many requests are waiting.
    #[error("too many requests are waiting")]
    Busy,
    /// The request was not answered in time; a write may still be applied.
    #[error("it took too long; a write may still be applied")]
    TimedOut,
    /// The request is not allowed in the current state, for this reason.
    #[error("{0}")]
    NotAllowed(String),
}

/// The result of a linearizable read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The state includes every write that was acknowledged before the read was requested.
    Ready,
    /// The read failed: with [`RequestError::TimedOut`] if no read index was confirmed in time, or if the
    /// state did not reach it.
    Failed(RequestError),
}
