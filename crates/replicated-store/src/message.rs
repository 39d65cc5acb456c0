//! What members say to each other about the record.

use serde::{Deserialize, Serialize};
use umberloom_membership::MemberName;

use crate::entry::Digest;
use crate::log::Manifest;
use crate::rollback::Seen;

/// One message. Seal, session and numbers against replays are the membership's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// What a member says of itself, now and then.
    Status(Box<Status>),
    /// A message of the library, for the copy of that number.
    Raft(u64, Vec<u8>),
    /// For that member, which the sender does not reach: pass it on, once.
    Hop(MemberName, Vec<u8>),
    /// Passed on: it is from that member and its process of that start.
    Passed(MemberName, u64, Vec<u8>),
    /// To the leader: take this copy in; the sender stands in that zone.
    Join(u64, MemberName),
    /// To the leader: an operator wants this member to vote, or not to.
    Hand(MemberName, bool),
    /// A piece of a snapshot, please: of that digest, from this number.
    Ask(Digest, u32),
    /// It is this.
    Piece(Digest, u32, Vec<u8>),
}

/// What a member says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Its record and its copy; 0 is none.
    pub record: u64,
    /// See `record`.
    pub copy: u64,
    /// The record that its own went on from by an operator's word; 0 is none.
    pub from: u64,
    /// What it has made durable.
    pub seen: Seen,
    /// Whether it takes part in votes.
    pub votes: bool,
    /// What it has applied, and the rolling digest after that.
    pub applied: u64,
    /// See `applied`.
    pub chain: Digest,
    /// Who leads, as it knows.
    pub leader: Option<MemberName>,
    /// Members that it reaches.
    pub reaches: Vec<MemberName>,
    /// What it remembers of the receiver's copy.
    pub of_you: Option<Seen>,
    /// It waits for pieces of a snapshot.
    pub fetches: bool,
    /// The snapshot that it can give, and its index.
    pub snapshot: (u64, Manifest),
    /// How loaded it is, in percent.
    pub load: u8,
}

/// A message's bytes.
pub fn write(word: &PeerMessage) -> Vec<u8> {
    postcard::to_allocvec(word).unwrap_or_default()
}

/// What was said; `None`: nothing that this program understands.
pub fn read(bytes: &[u8]) -> Option<PeerMessage> {
    postcard::from_bytes(bytes).ok()
}
