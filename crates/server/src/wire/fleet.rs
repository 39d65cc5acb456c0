//! Frames on the streams between servers, and operators' requests on the same port.
//!
//! A frame is its length (4 bytes, big endian, the kind included), its kind (1 byte) and its content. A longer one
//! than [`MAX_CONTENT_BYTES`] ends the connection before any of it is read. All contents are sealed with the fleet's key.

use serde::{Deserialize, Serialize};
use umberloom_membership::{Evidence, MemberView, MessageCounts, PartitionStatus};
use umberloom_quota::QuotaStatus;

use crate::wire::replicated_store::{self, StoreRequest};

/// The longest content.
pub const MAX_CONTENT_BYTES: usize = umberloom_membership::wire::MAX_MESSAGE_LEN;
/// Bytes of a frame before its content.
pub const HEADER_BYTES: usize = 5;

/// What a frame carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// A message between members.
    Message,
    /// A request of an operator.
    Request,
    /// The response to one.
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

/// A frame, ready to be written.
pub fn encode_frame(kind: FrameKind, content: &[u8]) -> Vec<u8> {
    let length = (content.len() + 1) as u32;
    [&length.to_be_bytes()[..], &[kind.code()], content].concat()
}

/// Kind and length of the content after this header; `None` if it is not valid.
pub fn parse_header(bytes: [u8; HEADER_BYTES]) -> Option<(FrameKind, usize)> {
    let [a, b, c, d, code] = bytes;
    let length = (u32::from_be_bytes([a, b, c, d]) as usize).checked_sub(1)?;
    Some((FrameKind::from_code(code)?, length)).filter(|_| length <= MAX_CONTENT_BYTES)
}

/// What an operator requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetRequestKind {
    /// The members as this server sees them.
    Members,
    /// The evidence for the state of this member.
    Explain(String),
    /// Something about the replicated store.
    Store(StoreRequest),
}

/// A request; its number comes back with the response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetRequest {
    /// Drawn at random by its sender.
    pub number: u64,
    /// What is requested.
    pub kind: FleetRequestKind,
}

/// One server's view of its fleet.
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
    /// Reachable members whose view has differed for long, and in what.
    pub disagreements: Vec<(String, Vec<String>)>,
    /// Messages so far.
    pub counts: MessageCounts,
}

/// What a response carries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetReply {
    /// Who is there.
    Members(FleetView),
    /// The evidence, newest first.
    Explain(Vec<Evidence>),
    /// There is no member of that name; these are known.
    UnknownMember(Vec<String>),
    /// About the replicated store.
    Store(replicated_store::StoreResponse),
}

/// The response to the request of this number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetResponse {
    /// The number.
    pub number: u64,
    /// Its content.
    pub reply: FleetReply,
}

#[cfg(test)]
mod tests;
