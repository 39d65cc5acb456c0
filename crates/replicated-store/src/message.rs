//! Messages about the store between members of the fleet. `postcard` encodes them by position: the order of
//! variants and fields is the wire format.

use serde::{Deserialize, Serialize};
use umberloom_membership::MemberName;

use crate::entry::Digest;
use crate::ids::StoreId;
use crate::log::Manifest;
use crate::rollback::DurableProgress;
use crate::transfer::SnapshotChunk;

/// A message to another member. The membership layer authenticates it and handles sessions and replay
/// protection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender's status, sent at each status interval.
    Status(Box<StatusMessage>),
    /// A message of the Raft library.
    Raft {
        /// Id of the receiving replica.
        to: u64,
        /// The library's message, encoded as protobuf.
        message: Vec<u8>,
    },
    /// Asks the receiver to relay a message to a member that the sender does not reach. A message is relayed
    /// once at most.
    Relay {
        /// The final receiver.
        to: MemberName,
        /// The encoded message.
        message: Vec<u8>,
    },
    /// A message that another member sent and the sender relays.
    Relayed {
        /// The original sender.
        from: MemberName,
        /// Boot id of the original sender's process.
        boot_id: u64,
        /// The encoded message.
        message: Vec<u8>,
    },
    /// Asks the leader to admit the sender's replica to the store.
    Join {
        /// The replica's id.
        replica_id: u64,
        /// The sender's zone.
        zone: MemberName,
    },
    /// Asks the leader to make a member a voter or a learner, on an operator's request.
    SetVoter {
        /// Name of the member.
        member: MemberName,
        /// `true` to make it a voter, `false` to make it a learner.
        is_voter: bool,
    },
    /// Requests a chunk of a snapshot.
    ChunkRequest {
        /// Digest of the snapshot.
        digest: Digest,
        /// Index of the chunk, from 0.
        index: u32,
    },
    /// A chunk of a snapshot.
    Chunk(SnapshotChunk),
}

/// The status that a member sends about itself and its replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusMessage {
    /// Id of the sender's store; 0 is none.
    pub store_id: StoreId,
    /// Id of the sender's replica; 0 is none.
    pub replica_id: u64,
    /// Id of the store from which the sender's store was adopted; 0 is none.
    pub adopted_from: StoreId,
    /// Durable progress of the sender's replica.
    pub durable: DurableProgress,
    /// Whether the sender's replica votes.
    pub is_voter: bool,
    /// Index of the last entry that the sender has applied.
    pub applied: u64,
    /// The rolling digest after that entry.
    pub rolling_digest: Digest,
    /// The leader, if the sender knows one.
    pub leader: Option<MemberName>,
    /// Members that the sender reaches directly.
    pub reachable: Vec<MemberName>,
    /// Durable progress of the receiver's replica as far as the sender remembers it; `None` if it remembers
    /// nothing.
    pub receiver_progress: Option<DurableProgress>,
    /// Whether the sender is fetching a snapshot.
    pub fetching_snapshot: bool,
    /// The latest snapshot that the sender can provide.
    pub snapshot: OfferedSnapshot,
    /// Load of the sender in percent.
    pub load_percent: u8,
}

/// A snapshot that a member can provide to others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OfferedSnapshot {
    /// Index of the last entry that the snapshot includes.
    pub index: u64,
    /// Digest and length of the snapshot.
    pub manifest: Manifest,
}

/// Encodes a message.
pub fn encode(message: &PeerMessage) -> Vec<u8> {
    // Encoding to memory cannot fail for these types.
    postcard::to_allocvec(message).unwrap_or_default()
}

/// Decodes a message; `None` if it is malformed or of a kind that this program does not know.
pub fn decode(bytes: &[u8]) -> Option<PeerMessage> {
    postcard::from_bytes(bytes).ok()
}
