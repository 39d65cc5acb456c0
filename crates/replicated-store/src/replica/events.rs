//! What a server is to the record, and what it tells of that.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::entry::Digest;
use crate::rollback::DurableProgress;
use crate::Micros;

/// What a server is to the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// It has no copy, and there is none to join, or none has taken it in yet.
    Outside,
    /// It has a copy that was on its disk, and asks others what they remember of it.
    Returning,
    /// It learns.
    Learner,
    /// It votes.
    Voter,
    /// It votes, and leads.
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

/// A change that an operator should be able to read of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A new record has begun, by its number: whatever an earlier one held is not in it.
    Bootstrapped(u64),
    /// This server is something else to the record.
    RoleChanged(Role, Role),
    /// Who leads now, by its own word or others'.
    LeaderChanged(Option<String>),
    /// A member is taken in, promoted, replaced or demoted.
    ConfigurationChange(String),
    /// Others remember this copy further than it is.
    RollbackDetected(DurableProgress),
    /// This copy is not the same as those of a majority.
    LocalDivergence(Vec<u64>),
    /// These copies are not the same as ours and a majority's.
    PeerDivergence(Vec<u64>),
    /// Copies differ and nobody can tell which is right: nothing more is written.
    Frozen,
    /// This copy is of another record than the one that is led now.
    Obsolete(u64, u64),
    /// Another record is led beside ours, which goes on: an operator decided for a copy that was only cut off.
    CompetingStore(u64, u64),
    /// The library could not go on with this copy.
    LogFailed(String),
    /// A snapshot has come: its index, bytes, and how long that took.
    CaughtUp(u64, u64, Micros),
}

/// Why something can't be written or read now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestError {
    /// This server has no part in the record (yet).
    Outside,
    /// Nobody leads, as far as it knows.
    NoLeader,
    /// Copies differ: an operator has to decide.
    Frozen,
    /// Too much waits already.
    Busy,
    /// It took too long; a write may still be applied.
    TimedOut,
    /// No rule allows it: why.
    NotAllowed(String),
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RequestError::Outside => f.write_str("this server has no part in the record"),
            RequestError::NoLeader => f.write_str("nobody leads the record, as far as this server knows"),
            RequestError::Frozen => {
                f.write_str("copies of the record differ, nothing is written until an operator decides")
            }
            RequestError::Busy => f.write_str("too much waits already"),
            RequestError::TimedOut => f.write_str("it took too long; a write may still be applied"),
            RequestError::NotAllowed(why) => f.write_str(why),
        }
    }
}

/// What became of a read of the latest state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Everything that was done before the read was asked for is in the state now.
    Ready,
    /// No majority has said so in time.
    Failed(RequestError),
}

/// How this server's part stands, for people.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// The record's number; 0 is none.
    #[serde(rename = "record")]
    pub store_id: u64,
    /// This copy's number.
    #[serde(rename = "copy")]
    pub replica_id: u64,
    /// What this server is to it.
    pub role: Role,
    /// The term.
    pub term: u64,
    /// Who leads, as it knows.
    pub leader: Option<String>,
    /// The last entry applied here, the last one known to be agreed on, and the last in the log.
    pub applied: u64,
    /// See `applied`.
    pub commit: u64,
    /// See `applied`.
    #[serde(rename = "last")]
    pub last_index: u64,
    /// How long ago a leader was heard, in milliseconds; by that the age of a local read is known.
    pub leader_heard_ms: Option<u64>,
    /// Digest after the last applied entry.
    #[serde(rename = "chain")]
    pub rolling_digest: Digest,
    /// All copies that belong to it.
    #[serde(rename = "copies")]
    pub replicas: Vec<ReplicaView>,
    /// Pieces of a snapshot that are there, of how many.
    pub catching_up: Option<(u32, u32)>,
    /// Entries kept for a newer program.
    #[serde(rename = "unknown")]
    pub unsupported_entries: u64,
    /// Nothing is written: copies differ.
    pub frozen: bool,
}

/// One copy, for people.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaView {
    /// Its number.
    #[serde(rename = "copy")]
    pub replica_id: u64,
    /// Its server, and the zone of that.
    #[serde(rename = "name")]
    pub server: String,
    /// See `name`.
    pub zone: String,
    /// Whether it votes.
    #[serde(rename = "votes")]
    pub is_voter: bool,
    /// What it last said that it had applied, and how long ago that was, in milliseconds.
    pub applied: Option<u64>,
    /// See `applied`.
    pub heard_ms: Option<u64>,
}
