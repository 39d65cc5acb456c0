//! The types exchanged between [`crate::Membership`] and its host: actions to carry out, events to log, and
//! received messages for other components of the server.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::identity::MemberName;
use crate::member::MemberState;
use crate::partition::PartitionStatus;
use crate::wire::RejectReason;

/// The most items in one queue of the [`Outbox`]. When it is full the oldest item is dropped, like a message
/// that the network loses.
pub(crate) const MAX_QUEUED: usize = 16_384;

/// The path on which a message arrived and can be answered. The number is assigned by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReturnPath {
    /// The message came as a datagram.
    Datagram(u64),
    /// The message came over a stream.
    Stream(u64),
}

/// A message that the host is to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send to the configured address of a peer as a datagram.
    Datagram {
        /// The peer.
        to: MemberName,
        /// The sealed message.
        bytes: Vec<u8>,
    },
    /// Send to the configured address of a peer over a stream.
    Stream {
        /// The peer.
        to: MemberName,
        /// The sealed message.
        bytes: Vec<u8>,
    },
    /// Like [`Action::Stream`], but after all other messages that are queued for that stream.
    Bulk {
        /// The peer.
        to: MemberName,
        /// The sealed message.
        bytes: Vec<u8>,
    },
    /// Send back on the path on which a message arrived.
    Reply {
        /// The path of the received message.
        path: ReturnPath,
        /// The sealed message.
        bytes: Vec<u8>,
    },
}

impl Action {
    /// The sealed message.
    pub fn bytes(&self) -> &[u8] {
        match self {
            Action::Datagram { bytes, .. }
            | Action::Stream { bytes, .. }
            | Action::Bulk { bytes, .. }
            | Action::Reply { bytes, .. } => bytes,
        }
    }
}

/// A change that is written to the log for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The state of a member has changed.
    MemberStateChanged {
        /// The member.
        name: MemberName,
        /// The previous state.
        from: MemberState,
        /// The new state.
        to: MemberState,
        /// Why it changed.
        cause: String,
    },
    /// This server's partition status has changed.
    PartitionStatusChanged {
        /// The previous status.
        from: PartitionStatus,
        /// The new status.
        to: PartitionStatus,
        /// Why it changed.
        cause: String,
    },
    /// Two live processes have used the same name.
    NameConflict {
        /// The name.
        name: MemberName,
        /// When the earlier process started, in Unix microseconds.
        earlier_boot_id: u64,
        /// When the later process started, in Unix microseconds; it now holds the name.
        later_boot_id: u64,
    },
    /// Another process holds this server's name: this server sends only handshakes from now on.
    Fenced {
        /// When the other process started, in Unix microseconds.
        by_boot_id: u64,
    },
    /// The process that held this server's name is gone; this server uses the name again.
    Unfenced {
        /// The new boot id of this server, in Unix microseconds.
        boot_id: u64,
    },
    /// The view of a live member has differed from this server's for
    /// [`crate::config::Timing::divergence_timeout`].
    ViewsDiverged {
        /// The member.
        peer: MemberName,
    },
    /// A member whose view had diverged has the same view again.
    ViewsConverged {
        /// The member.
        peer: MemberName,
    },
    /// Messages were rejected. There is at most one event per second for each reason.
    MessagesRejected {
        /// Why they were rejected.
        reason: RejectReason,
        /// The number of messages since the last event with this reason.
        count: u64,
        /// The sender's name as stated in the message, if it could be read. It is not verified.
        claimed_sender: Option<MemberName>,
    },
}

/// Message counts since the start of this process. The field names are those of the command line's `--json`
/// output.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageCounts {
    /// Messages sent, and their total length in bytes.
    pub sent: (u64, u64),
    /// Messages accepted, and their total length in bytes.
    pub heard: (u64, u64),
    /// Messages rejected, by reason.
    pub refused: BTreeMap<RejectReason, u64>,
    /// The number of stalls, in which this process did not run for longer than [`crate::STALL_THRESHOLD`].
    pub standstills: u64,
}

/// A message from a member on a channel that another component of the server uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedMessage {
    /// The sending member.
    pub from: MemberName,
    /// When the sending process started, in Unix microseconds.
    pub boot: u64,
    /// The number of the channel.
    pub channel: u8,
    /// The payload bytes.
    pub payload: Vec<u8>,
}

/// Bounded queues of actions, events and messages that the host has not taken yet.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    actions: VecDeque<Action>,
    events: VecDeque<Event>,
    messages: VecDeque<ReceivedMessage>,
}

impl Outbox {
    pub fn push_action(&mut self, action: Action) {
        push_bounded(&mut self.actions, action);
    }

    pub fn push_event(&mut self, event: Event) {
        push_bounded(&mut self.events, event);
    }

    pub fn push_message(&mut self, message: ReceivedMessage) {
        push_bounded(&mut self.messages, message);
    }

    pub fn take_actions(&mut self) -> Vec<Action> {
        self.actions.drain(..).collect()
    }

    pub fn take_events(&mut self) -> Vec<Event> {
        self.events.drain(..).collect()
    }

    pub fn take_messages(&mut self) -> Vec<ReceivedMessage> {
        self.messages.drain(..).collect()
    }

    /// Length of the longest queue.
    pub fn longest_queue(&self) -> usize {
        self.actions.len().max(self.events.len()).max(self.messages.len())
    }
}

fn push_bounded<T>(queue: &mut VecDeque<T>, item: T) {
    if queue.len() >= MAX_QUEUED {
        queue.pop_front();
    }
    queue.push_back(item);
}
