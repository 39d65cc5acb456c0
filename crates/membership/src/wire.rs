//! What servers say to each other, sealed with the fleet's key.
//!
//! A message is `form`, a tag of the fleet (4 bytes), a keyed digest (16 bytes, BLAKE3) of all that follows, and the
//! rest in `postcard`. Its length is bounded before any of it is read. Nothing inside is looked at before the digest
//! has been compared.

use serde::{Deserialize, Serialize};

use crate::identity::MemberName;
use crate::partition::PartitionStatus;

/// The form of messages that this program writes and understands.
pub const FORMAT_VERSION: u8 = 1;
/// The longest datagram: under the smallest path MTU in common use, headers and seal included (RFC 8085, 3.2).
pub const MAX_DATAGRAM_LEN: usize = 1_400;
/// The longest message over a stream.
pub const MAX_MESSAGE_LEN: usize = 64 * 1_024;
/// Room for what a member says of itself around a gossip message.
pub const MAX_GOSSIP_LEN: usize = 1_100;

const TAG: usize = 4;
const MAC: usize = 16;
const HEAD: usize = 1 + TAG + MAC;

/// What tells one fleet's messages from all others.
#[derive(Clone)]
pub struct Key {
    tag: [u8; TAG],
    key: [u8; 32],
}

/// Why a message was not believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RejectReason {
    /// Of another fleet, or under another secret's name.
    Foreign,
    /// Its digest does not fit.
    Damaged,
    /// Of a form that this program does not know.
    Form,
    /// Longer than allowed.
    TooLong,
    /// It came before.
    Replayed,
    /// From a process that another of its name has taken the place of.
    Superseded,
    /// Meant for an earlier process of this name.
    NotForUs,
    /// Its sender has not proven yet that it answers.
    Unproven,
    /// From a name that is not in the roster, with all places for guests taken.
    NoRoom,
}

impl RejectReason {
    /// All of them, as counted.
    pub const ALL: [RejectReason; 9] = [
        RejectReason::Foreign,
        RejectReason::Damaged,
        RejectReason::Form,
        RejectReason::TooLong,
        RejectReason::Replayed,
        RejectReason::Superseded,
        RejectReason::NotForUs,
        RejectReason::Unproven,
        RejectReason::NoRoom,
    ];
}

/// From whom a message is, and for whom.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Its sender.
    pub sender: MemberName,
    /// The start of the sending process.
    pub boot_id: u64,
    /// The start of the process that it is for; 0 before that is known.
    pub receiver_boot_id: u64,
    /// Its number in the session.
    pub sequence: u64,
    /// It goes by datagram and by stream, so that it is to be expected twice.
    pub sent_twice: bool,
}

/// What a server says of itself with everything it sends in a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SenderStatus {
    /// How long ago it last heard the receiver, in milliseconds; `u32::MAX` is never.
    pub heard_receiver_ms: u32,
    /// Digest of its view, see [`crate::view`].
    pub view_digest: u64,
    /// Its standing.
    pub partition_status: PartitionStatus,
    /// How loaded it is, in percent.
    pub load_percent: u8,
    /// How sick it is, from 0 to 8, see [`crate::health`].
    pub health_score: u8,
    /// It has been told to end.
    pub leaving: bool,
}

/// What a server is made of, so that others see who runs what.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BuildInfo {
    /// Its zone.
    pub zone: String,
    /// Version of the program.
    pub program: String,
    /// Digest of the platform's configuration.
    pub config: u64,
    /// Digest of the operator's file, but for addresses.
    pub operator: u64,
    /// Digest of what allowances that are shared go by; 0 where none is.
    pub shares: u64,
}

/// One line of a view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewRow {
    /// The member.
    pub name: MemberName,
    /// The start of its process; 0 if never seen.
    pub boot_id: u64,
    /// Whether it is held to be there.
    pub present: bool,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Who is there under your name? Answer with this number.
    Hello(u64),
    /// We are, by your number; answer with ours.
    Welcome(u64, u64, BuildInfo),
    /// So are we, by your number.
    Ready(u64, BuildInfo),
    /// Another process has your name, started then, last heard so many milliseconds ago.
    Superseded(u64, u32),
    /// Membership gossip, as `foca` writes it.
    Gossip(Vec<u8>),
    /// Nothing but the note, and now and then what the sender is made of.
    Heartbeat(Option<BuildInfo>),
    /// What others decide about, by the name of the matter.
    Channel(u8, Vec<u8>),
    /// What is your view?
    ViewRequest,
    /// It is this.
    View(Vec<ViewRow>),
}

/// A whole message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// From whom and for whom.
    pub header: Header,
    /// Within a session: what the sender says of itself.
    pub sender_status: Option<SenderStatus>,
    /// What it says.
    pub body: Body,
}

impl Key {
    /// The key of this fleet under this secret.
    pub fn new(fleet: &str, secret: &str) -> Key {
        let material = [fleet.as_bytes(), &[0], secret.as_bytes()].concat();
        let key = blake3::derive_key("umberloom 2026 fleet messages", &material);
        let mut tag = [0; TAG];
        tag.copy_from_slice(&blake3::hash(fleet.as_bytes()).as_bytes()[..TAG]);
        Key { tag, key }
    }

    /// A message, ready to send.
    pub fn seal<T: Serialize>(&self, message: &T) -> Vec<u8> {
        let mut out = vec![FORMAT_VERSION];
        out.extend_from_slice(&self.tag);
        out.extend_from_slice(&[0; MAC]);
        // Only a type without a serial form could fail here, and there is none.
        let mut out = postcard::to_extend(message, out).unwrap_or_default();
        let mac = self.mac(out.get(HEAD..).unwrap_or_default());
        if let Some(place) = out.get_mut(1 + TAG..HEAD) {
            place.copy_from_slice(&mac);
        }
        out
    }

    /// What was sealed, if it may be believed.
    pub fn open<T: for<'de> Deserialize<'de>>(&self, bytes: &[u8], most: usize) -> Result<T, RejectReason> {
        if bytes.len() > most {
            return Err(RejectReason::TooLong);
        }
        let (head, rest) = bytes.split_at_checked(HEAD).ok_or(RejectReason::Damaged)?;
        if head[1..1 + TAG] != self.tag {
            return Err(RejectReason::Foreign);
        }
        // The seal is the same in all forms, so that damage and a newer program can be told apart.
        if blake3::Hash::from(self.full(rest)).as_bytes()[..MAC] != head[1 + TAG..] {
            return Err(RejectReason::Damaged);
        }
        if head[0] != FORMAT_VERSION {
            return Err(RejectReason::Form);
        }
        postcard::from_bytes(rest).map_err(|_| RejectReason::Form)
    }

    fn full(&self, bytes: &[u8]) -> [u8; 32] {
        *blake3::keyed_hash(&self.key, bytes).as_bytes()
    }

    fn mac(&self, bytes: &[u8]) -> [u8; MAC] {
        let mut mac = [0; MAC];
        mac.copy_from_slice(&self.full(bytes)[..MAC]);
        mac
    }
}

/// A digest by which two servers see whether they have the same.
pub fn digest(text: &str) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(text.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(first)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn message(body: Body) -> Message {
        let head =
            Header { sender: "a".into(), boot_id: 7, receiver_boot_id: 8, sequence: 9, sent_twice: false };
        Message { header: head, sender_status: None, body }
    }

    #[test]
    fn what_is_foreign_damaged_or_too_new_is_told_apart() {
        let (key, other) = (Key::new("f", "s"), Key::new("g", "s"));
        let sealed = key.seal(&message(Body::Hello(5)));
        assert_eq!(key.open(&sealed, MAX_MESSAGE_LEN), Ok(message(Body::Hello(5))));
        assert_eq!(other.open::<Message>(&sealed, MAX_MESSAGE_LEN), Err(RejectReason::Foreign));
        assert_eq!(Key::new("f", "t").open::<Message>(&sealed, MAX_MESSAGE_LEN), Err(RejectReason::Damaged));
        assert_eq!(key.open::<Message>(&sealed, 10), Err(RejectReason::TooLong));
        let newer = [&[FORMAT_VERSION + 1], &sealed[1..]].concat();
        assert_eq!(key.open::<Message>(&newer, MAX_MESSAGE_LEN), Err(RejectReason::Form));
    }

    proptest! {
        /// No byte of a message can be changed unseen, and nothing that comes makes it panic.
        #[test]
        fn no_change_is_believed(place in 0usize..60, bit in 0u8..8, noise in prop::collection::vec(any::<u8>(), 0..200)) {
            let key = Key::new("f", "s");
            let mut sealed = key.seal(&message(Body::Channel(1, vec![3; 40])));
            let place = place % sealed.len();
            sealed[place] ^= 1 << bit;
            prop_assert!(key.open::<Message>(&sealed, MAX_MESSAGE_LEN).is_err());
            prop_assert!(key.open::<Message>(&noise, MAX_MESSAGE_LEN).is_err());
        }
    }
}
