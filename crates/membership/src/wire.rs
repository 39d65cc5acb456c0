//! Messages between servers, authenticated with the fleet's key.
//!
//! A message consists of a seal and its content. The seal has the format version (1 byte), a tag of the fleet
//! (4 bytes) and a keyed BLAKE3 digest of the content (16 bytes). The content is encoded with `postcard`,
//! which identifies fields and variants by their position: none may be moved, added in the middle or removed.
//! The length is checked before anything is read, and the content is decoded only after the digest has been
//! verified.

#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

use crate::identity::MemberName;
use crate::partition::PartitionStatus;

/// The version of the message format that this program writes and understands.
pub const FORMAT_VERSION: u8 = 1;
/// The longest datagram in bytes, including the seal. With the IP and UDP headers it stays below the smallest
/// path MTU in common use (RFC 8085, 3.2).
pub const MAX_DATAGRAM_LEN: usize = 1_400;
/// The longest message over a stream, in bytes.
pub const MAX_MESSAGE_LEN: usize = 64 * 1_024;
/// The longest gossip message in bytes. It leaves room in a datagram for the header, the sender's status and
/// the seal.
pub const MAX_GOSSIP_LEN: usize = 1_100;

/// The length of the fleet's tag in the seal, in bytes.
const TAG_LEN: usize = 4;
/// The length of the keyed digest in the seal, in bytes.
const MAC_LEN: usize = 16;
/// The length of the seal in bytes: format version, tag and digest.
const SEAL_LEN: usize = 1 + TAG_LEN + MAC_LEN;

/// The key of one fleet, which authenticates its messages.
#[derive(Clone)]
pub struct Key {
    tag: [u8; TAG_LEN],
    key: [u8; 32],
}

impl std::fmt::Debug for Key {
    /// Omits the secret bytes.
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("Key")
    }
}

/// Why a message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RejectReason {
    /// The message belongs to another fleet.
    Foreign,
    /// The digest does not match: the message was damaged in transit or sealed with another secret.
    Damaged,
    /// The message has a format that this program does not know.
    Form,
    /// The message is longer than allowed.
    TooLong,
    /// The message has been received before, is older than the replay window, or has this server's own name
    /// as its sender.
    Replayed,
    /// The sender has been replaced by a later process with the same name.
    Superseded,
    /// The message is addressed to another process with this server's name, such as an earlier one.
    NotForUs,
    /// The sender has not completed a handshake yet.
    Unproven,
    /// The sender is not in the roster, and there is no room for another guest or its name is too long.
    NoRoom,
}

impl RejectReason {
    /// All reasons, in their order.
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

/// The sender, the receiver and the sequence number of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The sender's name.
    pub sender: MemberName,
    /// When the sending process started, in Unix microseconds.
    pub boot_id: u64,
    /// When the receiving process started, in Unix microseconds; 0 while that is unknown.
    pub receiver_boot_id: u64,
    /// The sequence number within the session.
    pub sequence: u64,
    /// Whether the message is sent both by datagram and over a stream, so that a second copy is not a replay.
    pub sent_twice: bool,
}

/// What a server reports about itself with each message of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SenderStatus {
    /// How long ago the sender last heard the receiver, in milliseconds; `u32::MAX` means never.
    pub heard_receiver_ms: u32,
    /// The digest of the sender's view, see [`crate::view`].
    pub view_digest: u64,
    /// The sender's partition status.
    pub partition_status: PartitionStatus,
    /// The sender's load in percent.
    pub load_percent: u8,
    /// The sender's local health score, from 0 to 8, see [`crate::health`].
    pub health_score: u8,
    /// Whether the sender's graceful shutdown has begun.
    pub leaving: bool,
}

/// The program and configuration that a server runs. The field names are those of the command line's `--json`
/// output.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BuildInfo {
    /// The zone in which the server runs.
    pub zone: String,
    /// The version of the program.
    pub program: String,
    /// The digest of the platform's configuration.
    pub config: u64,
    /// The digest of the operator's configuration file without addresses.
    pub operator: u64,
    /// The digest of the configuration of distributed quotas; 0 if there are none.
    pub shares: u64,
}

/// One row of a view: the presence of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewRow {
    /// The member's name.
    pub name: MemberName,
    /// When its process started, in Unix microseconds; 0 if the member is not present.
    pub boot_id: u64,
    /// Whether the member counts as present.
    pub present: bool,
}

/// The body of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// First step of the handshake: asks the receiver to prove that it is live.
    Hello {
        /// The nonce that the receiver returns in [`Body::Welcome`].
        nonce: u64,
    },
    /// Second step of the handshake: proves that the sender is live and asks the receiver for the same.
    Welcome {
        /// The nonce of [`Body::Hello`].
        echoed_nonce: u64,
        /// The nonce that the receiver returns in [`Body::Ready`].
        nonce: u64,
        /// What the sender runs.
        build_info: BuildInfo,
    },
    /// Third step of the handshake: proves that the sender is live.
    Ready {
        /// The nonce of [`Body::Welcome`].
        echoed_nonce: u64,
        /// What the sender runs.
        build_info: BuildInfo,
    },
    /// Notifies the receiver that another process holds its name.
    Superseded {
        /// When that process started, in Unix microseconds.
        by_boot_id: u64,
        /// How long ago that process was last heard, in milliseconds.
        heard_ago_ms: u32,
    },
    /// A gossip message as encoded by `foca`.
    Gossip(Vec<u8>),
    /// Carries only the sender's status, and in some heartbeats the build info.
    Heartbeat(Option<BuildInfo>),
    /// A message between other components of the servers.
    Channel {
        /// The number of the channel, which identifies the component.
        channel: u8,
        /// The payload bytes.
        payload: Vec<u8>,
    },
    /// Requests the receiver's view.
    ViewRequest,
    /// The sender's view.
    View(Vec<ViewRow>),
}

/// The content of a sealed message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender, the receiver and the sequence number.
    pub header: Header,
    /// The sender's status; `None` in handshake messages, which are outside of a session.
    pub sender_status: Option<SenderStatus>,
    /// The body.
    pub body: Body,
}

impl Key {
    /// Derives the key of a fleet from its name and secret.
    pub fn new(fleet: &str, secret: &str) -> Key {
        let material = [fleet.as_bytes(), &[0], secret.as_bytes()].concat();
        let key = blake3::derive_key("umberloom 2026 fleet messages", &material);
        let mut tag = [0; TAG_LEN];
        tag.copy_from_slice(&blake3::hash(fleet.as_bytes()).as_bytes()[..TAG_LEN]);
        Key { tag, key }
    }

    /// Encodes and seals a message. Returns the bytes to send.
    pub fn seal<T: Serialize>(&self, message: &T) -> Vec<u8> {
        let mut sealed = vec![FORMAT_VERSION];
        sealed.extend_from_slice(&self.tag);
        sealed.extend_from_slice(&[0; MAC_LEN]);
        // Encoding fails only for types that `postcard` does not support; no message has one.
        let mut sealed = postcard::to_extend(message, sealed).unwrap_or_default();
        let digest = self.digest(sealed.get(SEAL_LEN..).unwrap_or_default());
        if let Some(mac) = sealed.get_mut(1 + TAG_LEN..SEAL_LEN) {
            mac.copy_from_slice(&digest.as_bytes()[..MAC_LEN]);
        }
        sealed
    }

    /// Verifies and decodes a message of at most `max_len` bytes.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the message is rejected.
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
        // The seal is the same in all formats. The digest is verified before the format version, so that a
        // damaged message is not taken for one of a newer program.
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

/// Returns the digest with which two servers compare a text, such as a configuration.
pub fn digest(text: &str) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(text.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(first)
}
