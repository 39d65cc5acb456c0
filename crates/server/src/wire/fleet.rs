//! Frames on the streams between servers, and the questions that operators ask there.
//!
//! A frame is its length (4 bytes, big endian, the kind included), its kind (1 byte) and its content. A longer one
//! than [`LONGEST`] ends the connection before any of it is read. All contents are sealed with the fleet's key.

use serde::{Deserialize, Serialize};
use umberloom_membership::{Evidence, MemberView, MessageCounts, PartitionStatus};
use umberloom_quota::QuotaStatus;

use crate::wire::record::{self, StoreQuestion};

/// The longest content.
pub const LONGEST: usize = umberloom_membership::wire::MAX_MESSAGE_LEN;
/// Bytes before the content.
pub const HEAD: usize = 5;

/// What a frame carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// A message between members.
    Message,
    /// A question of an operator.
    Question,
    /// The answer to one.
    Answer,
}

impl FrameKind {
    fn code(self) -> u8 {
        match self {
            FrameKind::Message => 0,
            FrameKind::Question => 1,
            FrameKind::Answer => 2,
        }
    }

    fn of(code: u8) -> Option<FrameKind> {
        [FrameKind::Message, FrameKind::Question, FrameKind::Answer]
            .into_iter()
            .find(|kind| kind.code() == code)
    }
}

/// A frame, ready to be written.
pub fn frame(kind: FrameKind, content: &[u8]) -> Vec<u8> {
    let length = (content.len() + 1) as u32;
    [&length.to_be_bytes()[..], &[kind.code()], content].concat()
}

/// Kind and length of what follows a head; `None` if it makes no sense.
pub fn head(bytes: [u8; HEAD]) -> Option<(FrameKind, usize)> {
    let [a, b, c, d, code] = bytes;
    let length = (u32::from_be_bytes([a, b, c, d]) as usize).checked_sub(1)?;
    Some((FrameKind::of(code)?, length)).filter(|_| length <= LONGEST)
}

/// What an operator wants to know.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuestionKind {
    /// Who is there.
    Members,
    /// Why this member is held for what it is.
    Explain(String),
    /// Something about the record.
    Record(StoreQuestion),
}

/// A question; its number comes back with the answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Drawn by who asks.
    pub number: u64,
    /// What is asked.
    pub what: QuestionKind,
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
pub enum Reply {
    /// Who is there.
    Members(FleetView),
    /// Why; the evidence, newest reasons first.
    Explain(Vec<Evidence>),
    /// There is no member of that name: these are known.
    Unknown(Vec<String>),
    /// About the record.
    Record(record::StoreAnswer),
}

/// An answer to the question of this number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The number.
    pub number: u64,
    /// What was found.
    pub reply: Reply,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_frame_is_read_as_it_was_written_and_lengths_are_bounded() {
        let written = frame(FrameKind::Question, b"abc");
        let start: [u8; HEAD] = written[..HEAD].try_into().expect("a head");
        assert_eq!((head(start), &written[HEAD..]), (Some((FrameKind::Question, 3)), &b"abc"[..]));
        assert_eq!(head([0, 0, 0, 0, 0]), None);
        assert_eq!(head([0, 0, 0, 2, 9]), None);
        assert_eq!(head([255, 255, 255, 255, 0]), None);
    }
}
