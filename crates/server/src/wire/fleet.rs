//! Frames on the streams between servers, and the operator requests that are served on the same port.
//!
//! A frame consists of its length (4 bytes, big endian, counting the kind and the content), its kind (1 byte)
//! and its content. A frame with more content than [`MAX_CONTENT_BYTES`] closes the connection before the
//! content is read. All contents are sealed with the fleet's key.

use serde::{Deserialize, Serialize};
use umberloom_membership::{Evidence, MemberView, MessageCounts, PartitionStatus};
use umberloom_quota::QuotaStatus;

use crate::wire::replicated_store::{self, StoreRequest};

/// Limit on the content of a frame, in bytes.
pub const MAX_CONTENT_BYTES: usize = umberloom_membership::wire::MAX_MESSAGE_LEN;
/// Size of the header of a frame, in bytes: the length and the kind.
pub const HEADER_BYTES: usize = 5;

/// The kind of a frame's content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// A message between members.
    Message,
    /// A request from an operator.
    Request,
    /// The response to an operator's request.
    Response,
}

impl FrameKind {
    fn code(self) -> u8 {
        match self {
            FrameKind::Message => 0,
            FrameKind::Request => 1,
            FrameKind::Response => 2,
        }
    }

    fn from_code(code: u8) -> Option<FrameKind> {
        [FrameKind::Message, FrameKind::Request, FrameKind::Response]
            .into_iter()
            .find(|kind| kind.code() == code)
    }
}

/// Encodes a frame.
pub fn encode_frame(kind: FrameKind, content: &[u8]) -> Vec<u8> {
    let length = (content.len() + 1) as u32;
    [&length.to_be_bytes()[..], &[kind.code()], content].concat()
}

/// Parses the header of a frame: its kind and the length of its content in bytes. Returns `None` for an
/// unknown kind and for a length that is out of range.
pub fn parse_header(bytes: [u8; HEADER_BYTES]) -> Option<(FrameKind, usize)> {
    let [a, b, c, d, code] = bytes;
    let length = (u32::from_be_bytes([a, b, c, d]) as usize).checked_sub(1)?;
    Some((FrameKind::from_code(code)?, length)).filter(|_| length <= MAX_CONTENT_BYTES)
}

/// The content of an operator's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetRequestKind {
    /// The members as this server sees them.
    Members,
    /// The evidence for the state of this member.
    Explain(String),
    /// A request about the replicated store.
    Store(StoreRequest),
}

/// An operator's request with its number, which the response repeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetRequest {
    /// The request number. The sender chooses it, and it should differ from those of other senders.
    pub number: u64,
    /// The request itself.
    pub kind: FleetRequestKind,
}

/// A server's view of its fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetView {
    /// The server whose view it is.
    pub name: String,
    /// Its boot id: the start of its process, in Unix microseconds.
    pub boot: u64,
    /// Its partition status.
    pub standing: PartitionStatus,
    /// Its health score, from 0 (healthy) to 8.
    pub sick: u32,
    /// Whether it is fenced: a newer process has its name.
    pub silenced: bool,
    /// The other members.
    pub members: Vec<MemberView>,
    /// The status of distributed quotas, by dependency.
    pub allowances: Vec<(String, QuotaStatus)>,
    /// Reachable members whose view has diverged from this server's for long, each with the differences.
    pub disagreements: Vec<(String, Vec<String>)>,
    /// Counts of the messages sent, received and rejected so far.
    pub counts: MessageCounts,
}

/// The content of a response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetReply {
    /// The members as the server sees them.
    Members(FleetView),
    /// The evidence, newest first.
    Explain(Vec<Evidence>),
    /// No member has the requested name; the names of the known members.
    UnknownMember(Vec<String>),
    /// The response to a request about the replicated store.
    Store(replicated_store::StoreResponse),
}

/// A response with the number of the request that it answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetResponse {
    /// The request number.
    pub number: u64,
    /// The response itself.
    pub reply: FleetReply,
}

#[cfg(test)]
mod tests;
