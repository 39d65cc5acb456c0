//! Frames on the streams between servers, and the questions that operators ask there.
//!
//! A frame is its length (4 bytes, big endian, the kind included), its kind (1 byte) and its content. A longer one
//! than [`LONGEST`] ends the connection before any of it is read. All contents are sealed with the fleet's key.

use serde::{Deserialize, Serialize};
use umberloom_membership::{Evidence, MemberView, MessageCounts, PartitionStatus};
use umberloom_quota::QuotaStatus;

use crate::wire::replicated_store::{self, StoreRequest};

/// The longest content.
pub const MAX_CONTENT_BYTES: usize = umberloom_membership::wire::MAX_MESSAGE_LEN;
/// Bytes before the content.
pub const HEADER_BYTES: usize = 5;

/// What a frame carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// A message between members.
    Message,
    /// A question of an operator.
    Request,
    /// The answer to one.
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

/// Kind and length of what follows a head; `None` if it makes no sense.
pub fn parse_header(bytes: [u8; HEADER_BYTES]) -> Option<(FrameKind, usize)> {
    let [a, b, c, d, code] = bytes;
    let length = (u32::from_be_bytes([a, b, c, d]) as usize).checked_sub(1)?;
    Some((FrameKind::from_code(code)?, length)).filter(|_| length <= MAX_CONTENT_BYTES)
}

/// What an operator wants to know.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetRequestKind {
    /// Who is there.
    Members,
    /// Why this member is held for what it is.
    Explain(String),
    /// Something about the record.
    Store(StoreRequest),
}

/// A question; its number comes back with the answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetRequest {
    /// Drawn by who asks.
    pub number: u64,
    /// What is asked.
    pub kind: FleetRequestKind,
}

/// One server's view of its fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetView {
    /// The server that says so, and the start of its process.
    pub name: String,
    /// See `name`.
    pub boot: u64,
    /// How it stands.
    pub standing: PartitionStatus,
    /// How sick it is, from 0 to 8.
    pub sick: u32,
    /// Another process has its name.
    pub silenced: bool,
    /// The others.
    pub members: Vec<MemberView>,
    /// What is shared, by dependency.
    pub allowances: Vec<(String, QuotaStatus)>,
    /// Living members that have held another view for long, and where the views part.
    pub disagreements: Vec<(String, Vec<String>)>,
    /// Messages so far.
    pub counts: MessageCounts,
}

/// What comes back.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetReply {
    /// Who is there.
    Members(FleetView),
    /// Why; the evidence, newest reasons first.
    Explain(Vec<Evidence>),
    /// There is no member of that name: these are known.
    UnknownMember(Vec<String>),
    /// About the record.
    Store(replicated_store::StoreResponse),
}

/// An answer to the question of this number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetResponse {
    /// The number.
    pub number: u64,
    /// What was found.
    pub reply: FleetReply,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_frame_is_read_as_it_was_written_and_lengths_are_bounded() {
        let written = encode_frame(FrameKind::Request, b"abc");
        let start: [u8; HEADER_BYTES] = written[..HEADER_BYTES].try_into().expect("a head");
        assert_eq!(
            (parse_header(start), &written[HEADER_BYTES..]),
            (Some((FrameKind::Request, 3)), &b"abc"[..])
        );
        assert_eq!(parse_header([0, 0, 0, 0, 0]), None);
        assert_eq!(parse_header([0, 0, 0, 2, 9]), None);
        assert_eq!(parse_header([255, 255, 255, 255, 0]), None);
    }
}
