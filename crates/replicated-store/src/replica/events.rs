//! Roles, events and errors that a replica reports.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::StoreId;
use crate::rollback::DurableProgress;
use crate::voter_selection::MembershipChange;
use crate::Micros;

/// The role of this server's replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// It has no replica, or the leader has not admitted its replica yet.
    Outside,
    /// Its replica was read from disk and waits for the rollback check.
    Returning,
    /// It receives the log and does not vote.
    Learner,
    /// It votes.
    Voter,
    /// It votes and leads.
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

/// A change that an operator should be able to read about in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A new store has started; it has nothing of an earlier one, except after an adoption.
    Bootstrapped {
        /// The new store's id.
        store_id: StoreId,
    },
    /// This server's role has changed.
    RoleChanged {
        /// The role before.
        from: Role,
        /// The role now.
        to: Role,
    },
    /// Another leader is known, or none.
    LeaderChanged {
        /// The leader's name.
        leader: Option<String>,
    },
    /// This leader has proposed a membership change.
    ConfigurationChange {
        /// The proposed change.
        change: MembershipChange,
    },
    /// Peers remember more of this replica than it has.
    RollbackDetected {
        /// What they remember.
        remembered: DurableProgress,
    },
    /// This replica differs from a majority.
    LocalDivergence {
        /// Ids of the replicas in the majority.
        majority: Vec<u64>,
    },
    /// Other replicas differ from this one and a majority.
    PeerDivergence {
        /// Ids of the replicas that differ.
        replicas: Vec<u64>,
    },
    /// Replicas differ and no majority agrees: nothing more is written.
    Frozen,
    /// This replica belongs to a store that another one has replaced.
    Obsolete {
        /// Id of this replica's store.
        own_store: StoreId,
        /// Id of the store that has a leader.
        led_store: StoreId,
    },
    /// Another store has a leader besides this one, which goes on: an operator adopted a replica that was only cut off.
    CompetingStore {
        /// Id of this replica's store.
        own_store: StoreId,
        /// Id of the other store.
        led_store: StoreId,
    },
    /// The Raft library failed on this replica's log.
    LogFailed {
        /// The message of its panic.
        reason: String,
    },
    /// A snapshot has been fetched.
    CaughtUp {
        /// Index of the snapshot.
        index: u64,
        /// Its length.
        bytes: u64,
        /// How long the transfer took, in microseconds.
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
    /// Replicas differ: an operator has to decide.
    #[error("copies of the record differ, nothing is written until an operator decides")]
    Frozen,
    /// Too many requests wait already.
    #[error("too much waits already")]
    Busy,
    /// No answer in time; a write may still be applied.
    #[error("it took too long; a write may still be applied")]
    TimedOut,
    /// The request is not allowed in the present state.
    #[error("{0}")]
    NotAllowed(String),
}

/// The result of a linearizable read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The state has everything that was done before the read was requested.
    Ready,
    /// No majority has confirmed the read index in time.
    Failed(RequestError),
}
