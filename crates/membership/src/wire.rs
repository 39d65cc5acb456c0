//! Messages between servers, sealed with the fleet's key.
//!
//! A message is the format version (1 byte), a tag of the fleet (4 bytes), a keyed digest (16 bytes, BLAKE3) of all that
//! follows, and the rest in `postcard`, which encodes fields and variants by position: none may be moved, added in the
//! middle, or taken away. The length is bounded before any of it is read. Nothing inside is looked at before the digest
//! has been compared.

#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

use crate::identity::MemberName;
use crate::partition::PartitionStatus;

/// The version of the message format that this program writes and understands.
pub const FORMAT_VERSION: u8 = 1;
/// The longest datagram: under the smallest path MTU in common use, headers and seal included (RFC 8085, 3.2).
pub const MAX_DATAGRAM_LEN: usize = 1_400;
/// The longest message over a stream.
pub const MAX_MESSAGE_LEN: usize = 64 * 1_024;
/// The longest gossip message: leaves room in a datagram for the header, the sender's status and the seal.
pub const MAX_GOSSIP_LEN: usize = 1_100;

const TAG_LEN: usize = 4;
const MAC_LEN: usize = 16;
const SEAL_LEN: usize = 1 + TAG_LEN + MAC_LEN;

/// The key of one fleet, by which its messages are recognized.
#[derive(Clone)]
pub struct Key {
    tag: [u8; TAG_LEN],
    key: [u8; 32],
}

impl std::fmt::Debug for Key {
    /// Without the key itself.
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("Key")
    }
}

/// Why a message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RejectReason {
    /// Of another fleet.
    Foreign,
    /// The digest does not fit: damaged on its way, or sealed with another secret.
    Damaged,
    /// Of a format that this program does not know.
    Form,
    /// Longer than allowed.
    TooLong,
    /// It has come before.
    Replayed,
    /// From a process that a later one of its name has replaced.
    Superseded,
    /// Meant for an earlier process under this server's name.
    NotForUs,
    /// Its sender has not proven yet that it answers.
    Unproven,
    /// From a name that is not in the roster, while there is no room for more guests.
    NoRoom,
}

impl RejectReason {
    /// All reasons.
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

/// Sender and receiver of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The name of the sender.
    pub sender: MemberName,
    /// The start of the sending process, in Unix microseconds.
    pub boot_id: u64,
    /// The start of the process that it is for; 0 before that is known.
    pub receiver_boot_id: u64,
    /// The sequence number in the session.
    pub sequence: u64,
    /// It goes by datagram and by stream, so that it is to be expected twice.
    pub sent_twice: bool,
}

/// What a server says of itself with everything that it sends in a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SenderStatus {
    /// How long ago it last heard the receiver, in milliseconds; `u32::MAX` is never.
    pub heard_receiver_ms: u32,
    /// Digest of its view, see [`crate::view`].
    pub view_digest: u64,
    /// Its partition status.
    pub partition_status: PartitionStatus,
    /// How loaded it is, in percent.
    pub load_percent: u8,
    /// Its local health score, from 0 to 8, see [`crate::health`].
    pub health_score: u8,
    /// It will end soon: its graceful shutdown has begun.
    pub leaving: bool,
}

/// The program and configuration that a server runs. The names of the fields are those of the command line's `--json`.
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
    /// Digest of the configuration of distributed quotas; 0 where there is none.
    pub shares: u64,
}

/// One row of a view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewRow {
    /// The member.
    pub name: MemberName,
    /// The start of its process; 0 if it is not present.
    pub boot_id: u64,
    /// Whether it is held to be present.
    pub present: bool,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Handshake, first step: asks the receiver to prove that it answers now.
    Hello {
        /// To be returned in [`Body::Welcome`].
        nonce: u64,
    },
    /// Handshake, second step: proves the sender, and asks the receiver to prove itself.
    Welcome {
        /// The nonce of [`Body::Hello`].
        echoed_nonce: u64,
        /// To be returned in [`Body::Ready`].
        nonce: u64,
        /// What the sender runs.
        build_info: BuildInfo,
    },
    /// Handshake, third step: proves the sender.
    Ready {
        /// The nonce of [`Body::Welcome`].
        echoed_nonce: u64,
        /// What the sender runs.
        build_info: BuildInfo,
    },
    /// A later process has the receiver's name.
    Superseded {
        /// The start of that process, in Unix microseconds.
        by_boot_id: u64,
        /// How long ago it was last heard, in milliseconds.
        heard_ago_ms: u32,
    },
    /// Membership gossip, as `foca` writes it.
    Gossip(Vec<u8>),
    /// Nothing but the sender's status, and now and then what it runs.
    Heartbeat(Option<BuildInfo>),
    /// A message that other parts of the server exchange.
    Channel {
        /// Which part it is for.
        channel: u8,
        /// The content.
        payload: Vec<u8>,
    },
    /// Asks for the receiver's view.
    ViewRequest,
    /// The sender's view.
    View(Vec<ViewRow>),
}

/// A message, as it is sealed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Sender and receiver.
    pub header: Header,
    /// What the sender says of itself; `None` outside of a session.
    pub sender_status: Option<SenderStatus>,
    /// The content.
    pub body: Body,
}

impl Key {
    /// The key of a fleet, from its name and its secret.
    pub fn new(fleet: &str, secret: &str) -> Key {
        let material = [fleet.as_bytes(), &[0], secret.as_bytes()].concat();
        let key = blake3::derive_key("umberloom 2026 fleet messages", &material);
        let mut tag = [0; TAG_LEN];
        tag.copy_from_slice(&blake3::hash(fleet.as_bytes()).as_bytes()[..TAG_LEN]);
        Key { tag, key }
    }

    /// Seals a message; the result is ready to send.
    pub fn seal<T: Serialize>(&self, message: &T) -> Vec<u8> {
        let mut sealed = vec![FORMAT_VERSION];
        sealed.extend_from_slice(&self.tag);
        sealed.extend_from_slice(&[0; MAC_LEN]);
        // Only a type that serde can't describe could fail here, and there is none.
        let mut sealed = postcard::to_extend(message, sealed).unwrap_or_default();
        let digest = self.digest(sealed.get(SEAL_LEN..).unwrap_or_default());
        if let Some(mac) = sealed.get_mut(1 + TAG_LEN..SEAL_LEN) {
            mac.copy_from_slice(&digest.as_bytes()[..MAC_LEN]);
        }
        sealed
    }

    /// Opens a message of at most `max_len` bytes.
    ///
    /// # Errors
    ///
    /// Why it is not to be believed.
    pub fn open<T: for<'de> Deserialize<'de>>(
        &self,
        bytes: &[u8],
        max_len: usize,
    ) -> Result<T, RejectReason> {
        if bytes.len() > max_len {
            return Err(RejectReason::TooLong);
        }
        let (seal, content) = bytes.split_at_checked(SEAL_LEN).ok_or(RejectReason::Damaged)?;
        if seal[1..1 + TAG_LEN] != self.tag {
            return Err(RejectReason::Foreign);
        }
        // The seal is the same in all formats, so that damage and a newer program can be told apart.
        if self.digest(content).as_bytes()[..MAC_LEN] != seal[1 + TAG_LEN..] {
            return Err(RejectReason::Damaged);
        }
        if seal[0] != FORMAT_VERSION {
            return Err(RejectReason::Form);
        }
        postcard::from_bytes(content).map_err(|_| RejectReason::Form)
    }

    fn digest(&self, content: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.key, content)
    }
}

/// A digest by which two servers see whether they have the same text.
pub fn digest(text: &str) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(text.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(first)
}
