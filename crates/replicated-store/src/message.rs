//! Messages between members about the store. `postcard` encodes them by position: the order of variants and fields is the
//! wire format.

use serde::{Deserialize, Serialize};
use umberloom_membership::MemberName;

use crate::entry::Digest;
use crate::ids::StoreId;
use crate::log::Manifest;
use crate::rollback::DurableProgress;
use crate::transfer::SnapshotChunk;

/// One message. Encryption, sessions and replay protection are the membership's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender's status, sent at each status interval.
    Status(Box<StatusMessage>),
    /// A message of the Raft library.
    Raft {
        /// The replica that it is for.
        to: u64,
        /// The library's message, in protobuf.
        message: Vec<u8>,
    },
    /// To be relayed, once, to a member that the sender does not reach.
    Relay {
        /// The receiver.
        to: MemberName,
        /// The encoded message.
        message: Vec<u8>,
    },
    /// A message that was relayed.
    Relayed {
        /// The original sender.
        from: MemberName,
        /// The start of its process.
        boot_id: u64,
        /// The encoded message.
        message: Vec<u8>,
    },
    /// To the leader: admit the sender's replica.
    Join {
        /// The replica's id.
        replica_id: u64,
        /// The sender's zone.
        zone: MemberName,
    },
    /// To the leader: an operator wants a member to vote, or not to.
    SetVoter {
        /// The member.
        member: MemberName,
        /// Whether it is to vote.
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

/// What a member reports of itself and its replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusMessage {
    /// Id of its store; 0 is none.
    pub store_id: StoreId,
    /// Id of its replica; 0 is none.
    pub replica_id: u64,
    /// Id of the store from which its own was adopted; 0 is none.
    pub adopted_from: StoreId,
    /// What it has made durable.
    pub durable: DurableProgress,
    /// Whether it votes.
    pub is_voter: bool,
    /// Index of the last entry that it has applied.
    pub applied: u64,
    /// The rolling digest after that entry.
    pub rolling_digest: Digest,
    /// The leader, if it knows one.
    pub leader: Option<MemberName>,
    /// Members that it reaches.
    pub reachable: Vec<MemberName>,
    /// What it remembers of the receiver's replica.
    pub receiver_progress: Option<DurableProgress>,
    /// It fetches a snapshot.
    pub fetching_snapshot: bool,
    /// The snapshot that it can give.
    pub snapshot: OfferedSnapshot,
    /// Its load in percent.
    pub load_percent: u8,
}

/// A snapshot that a member can give to others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OfferedSnapshot {
    /// Index of the last entry in it.
    pub index: u64,
    /// Its identity.
    pub manifest: Manifest,
}

/// Encodes a message.
pub fn encode(message: &PeerMessage) -> Vec<u8> {
    // Encoding to memory cannot fail for these types.
    postcard::to_allocvec(message).unwrap_or_default()
}

/// Decodes a message; `None` if this program does not understand it.
pub fn decode(bytes: &[u8]) -> Option<PeerMessage> {
    postcard::from_bytes(bytes).ok()
}
