//! What members say to each other about the record.

use serde::{Deserialize, Serialize};
use umberloom_membership::MemberName;

use crate::entry::Digest;
use crate::log::Manifest;
use crate::rollback::DurableProgress;

/// One message. Seal, session and numbers against replays are the membership's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// What a member says of itself, now and then.
    Status(Box<StatusMessage>),
    /// A message of the library, for the copy of that number.
    Raft(u64, Vec<u8>),
    /// For that member, which the sender does not reach: pass it on, once.
    Relay(MemberName, Vec<u8>),
    /// Passed on: it is from that member and its process of that start.
    Relayed(MemberName, u64, Vec<u8>),
    /// To the leader: take this copy in; the sender stands in that zone.
    Join(u64, MemberName),
    /// To the leader: an operator wants this member to vote, or not to.
    SetVoter(MemberName, bool),
    /// A piece of a snapshot, please: of that digest, from this number.
    ChunkRequest(Digest, u32),
    /// It is this.
    Chunk(Digest, u32, Vec<u8>),
}

/// What a member says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusMessage {
    /// Its record and its copy; 0 is none.
    pub store_id: u64,
    /// See `record`.
    pub replica_id: u64,
    /// The record that its own went on from by an operator's word; 0 is none.
    pub adopted_from: u64,
    /// What it has made durable.
    pub durable: DurableProgress,
    /// Whether it takes part in votes.
    pub is_voter: bool,
    /// What it has applied, and the rolling digest after that.
    pub applied: u64,
    /// See `applied`.
    pub rolling_digest: Digest,
    /// Who leads, as it knows.
    pub leader: Option<MemberName>,
    /// Members that it reaches.
    pub reachable: Vec<MemberName>,
    /// What it remembers of the receiver's copy.
    pub receiver_progress: Option<DurableProgress>,
    /// It waits for pieces of a snapshot.
    pub fetching_snapshot: bool,
    /// The snapshot that it can give, and its index.
    pub snapshot: (u64, Manifest),
    /// How loaded it is, in percent.
    pub load_percent: u8,
}

/// A message's bytes.
pub fn encode(word: &PeerMessage) -> Vec<u8> {
    postcard::to_allocvec(word).unwrap_or_default()
}

/// What was said; `None`: nothing that this program understands.
pub fn decode(bytes: &[u8]) -> Option<PeerMessage> {
    postcard::from_bytes(bytes).ok()
}
